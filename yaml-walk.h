/*
 * Walks a YAML file by a schema: fills a struct and collects every finding
 * with its line, its column and what was expected there. A finding ends
 * neither the walk nor the map that contains it, so that one run reports all
 * errors of the file.
 */

#ifndef YAML_WALK_H
#define YAML_WALK_H

#include "savory.h"

#include <yaml.h>

/*
 * Bounds on the work for one file. An alias is followed like the node it
 * refers to, and counts again each time: the bound on visits stops a few
 * lines of nested aliases from expanding to billions of nodes.
 */
#define WALK_DEPTH_MAX 16
#define WALK_VISITS_MAX 65536
#define WALK_FINDINGS_MAX 200
/* libyaml searches anchors linearly, so their cost is quadratic. */
#define WALK_ANCHORS_MAX 256

/* Size of a WALK_CHOICE_NAME field, including the NUL. */
#define WALK_CHOICE_NAME_SIZE 16

enum walk_type {
	WALK_NAME,	   /* char[NAME_SIZE], by name_valid() */
	WALK_STRING,	   /* char *, not empty */
	WALK_CHOICE_NAME,  /* char[WALK_CHOICE_NAME_SIZE], one of the choices */
	WALK_CHOICE_INDEX, /* an enum, by the index of the choice */
	WALK_UINT,	   /* unsigned int */
	WALK_MSEC,	   /* msec */
	WALK_BOOL,	   /* bool */
	WALK_CUSTOM,	   /* scalar, by parse() */
	WALK_MAP,	   /* a map into a struct at the offset */
	WALK_LIST	   /* of maps; an array at the offset */
};

struct walk;
struct walk_schema;

struct walk_field {
	const char *key;
	enum walk_type type;
	bool required;
	size_t offset;		    /* in the map's struct */
	int64_t min, max;	    /* of a number, or items in a list */
	const char *const *choices; /* ends with NULL */
	void (*parse)(struct walk *, const yaml_node_t *, void *);
	const struct walk_schema *schema; /* MAP and LIST */
	size_t count_offset;		  /* LIST: unsigned int */
};

struct walk_schema {
	const char *what;		 /* name in findings: "a class" */
	size_t size;			 /* of the struct, for lists */
	const struct walk_field *fields; /* ends with a NULL key */
	/* Checks over several fields, after they are filled; may be NULL. */
	void (*check)(struct walk *, yaml_node_t *, void *);
};

/*
 * Parse a text and fill the struct, which holds the defaults: schema, struct,
 * text, its length, greatest length (bytes), file name, findings. True when
 * there is no finding. Findings are added in the order of the file. The
 * caller frees the filled fields in both cases.
 */
bool walk_run(const struct walk_schema *, void *, const char *, size_t, size_t,
    const char *, struct findings *);

/* For parse() and check(): add a finding at a node. */
void walk_add_finding(struct walk *, const yaml_node_t *, const char *, ...)
    __attribute__((format(printf, 3, 4)));
/* The value of a key in a map, or NULL. */
yaml_node_t *walk_child(struct walk *, const yaml_node_t *, const char *);
/* An item of a list, or NULL. */
yaml_node_t *walk_item(struct walk *, const yaml_node_t *, unsigned int);
/* The text of a scalar. */
const char *walk_text(const yaml_node_t *);
/* Name of the walked file. */
const char *walk_file(const struct walk *);

#endif /* YAML_WALK_H */
