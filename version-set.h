/*
 * The versions of a service's software at which streams may have begun that can
 * still be resumed, as a record that outlives all nodes. It is written when a
 * version appears, and again some time after the last server of one has left.
 * A node that has just started, and cannot know which versions left before,
 * learns it from there. Does no I/O.
 */

#ifndef VERSION_SET_H
#define VERSION_SET_H

#include "savory.h"

/* Versions of one service. */
#define VERSION_SET_MAX 16

/* The versions of one service. */
struct version_set {
	uint64_t era; /* of the store it was written to, see era.h; 0: none */
	/* No other version can have begun a stream that may be resumed. */
	bool complete;
	unsigned int n;
	name_id list[VERSION_SET_MAX]; /* in ascending order */
};

/* Adds a version; one that finds no room makes the set incomplete. */
void version_set_add(struct version_set *, name_id);
/* Reads the text of a record; false if it is malformed. */
bool version_set_parse(struct version_set *, const char *);
/* The text of a record, to be freed. */
char *version_set_print(const struct version_set *);
bool
version_set_is_equal(const struct version_set *, const struct version_set *);
/*
 * What a node that has seen versions is to write in place of the stored set
 * (NULL: none is stored). Unless it knows that the others can be left out, they
 * stay. What another era says is complete may lack what was lost with it.
 */
struct version_set version_set_next(const struct version_set *stored,
    const struct version_set *seen, bool leave_out_others);

#endif /* VERSION_SET_H */
