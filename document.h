/*
 * The service document: a team's configuration of its service. Parsed from
 * YAML, checked as a whole, immutable afterwards.
 */

#ifndef DOCUMENT_H
#define DOCUMENT_H

#include "savory.h"

/* Bounds on a document, so that every node can hold all of them. */
#define DOCUMENT_BYTES_MAX (256 * 1024)
#define DOCUMENT_CLASSES_MAX 16
#define DOCUMENT_TIERS_MAX 8

/* What serves the requests of a service. */
enum service_kind {
	SERVICE_MODEL, /* model engines, token streams */
	SERVICE_PLAIN  /* plain HTTP services */
};

/* What takes precedence when attainment and waste conflict. */
enum service_weighs {
	WEIGHS_ATTAINMENT,
	WEIGHS_WASTE
};

/* A model that the service uses, by the names that its engines use. */
struct doc_model {
	char name[NAME_SIZE];
	char version[NAME_SIZE];
};

/* A class of requests: its tier and its targets, in milliseconds. */
struct doc_class {
	char name[NAME_SIZE];
	unsigned int tier;	     /* 0 is the highest */
	bool is_protected;	     /* never shed for a lower tier */
	bool repeatable;	     /* may be run again */
	unsigned int floor_permille; /* least share of slots */
	msec first_token;	     /* target; 0 is none */
	msec between_tokens;
	msec whole_answer;
};

/* Limits of one organisation summed over all nodes; 0 is none. */
struct doc_limits {
	unsigned int requests_per_second;
	unsigned int tokens_per_second;
	unsigned int in_flight;
};

/* An organisation that may call: its key and its fair-share weight. */
struct doc_org {
	char name[NAME_SIZE];
	char key_sha256[65]; /* lower-case hex */
	unsigned int weight;
	struct doc_limits limits;
};

/* Traits of engines or plain backend servers, by name pattern (glob). */
struct doc_trait {
	char match[NAME_SIZE];
	bool fenced;	    /* refuses old fencing numbers */
	bool resumes;	    /* resumes a stream at an offset */
	unsigned int slots; /* initial estimate; 0 is unknown */
};

/* A whole document; arrays are in the order of the text. */
struct document {
	char service[NAME_SIZE];
	enum service_kind kind;
	enum service_weighs weighs;
	uint64_t version; /* set by the fold, not the text */
	struct doc_model *models;
	unsigned int nmodels;
	struct doc_class *classes;
	unsigned int nclasses;
	struct doc_org *orgs;
	unsigned int norgs;
	struct doc_trait *traits;
	unsigned int ntraits;
};

/*
 * Parse and check `text` of so many bytes. True when there is no finding;
 * otherwise the document is empty and every finding is added to the list,
 * with `file` as its file name. Call document_finish() in both cases.
 */
bool document_parse(
    struct document *, const char *, size_t, const char *, struct findings *);
void document_finish(struct document *);

/* Index of the class with this name, or -1. */
int document_class(const struct document *, const char *);
/*
 * The organisation with this key, or NULL. Every organisation's hash is
 * compared in constant time, so that timing reveals nothing about a key.
 */
const struct doc_org *
document_org_by_key(const struct document *, const char *);
/* Traits of the first pattern that matches this name, else defaults. */
struct doc_trait document_trait(const struct document *, const char *);

#endif /* DOCUMENT_H */
