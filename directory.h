/*
 * Entry directory: chooses the entry VM that a caller should connect to, by
 * failure domain and load.
 */

#ifndef DIRECTORY_H
#define DIRECTORY_H

#include "member.h"
#include "savory.h"

/* Fallback VMs returned in addition to the best one. */
#define DIRECTORY_ALTERNATES 2

/* Result of directory_choose(); unused alternates are NULL. */
struct directory_answer {
	const struct member *best; /* NULL: no entry VM accepts requests */
	const struct member *alternates[DIRECTORY_ALTERNATES];
	msec lifetime; /* how long the caller may cache it */
};

/*
 * Chooses for a caller in a failure domain ("" if unknown). Alive members are
 * preferred; suspect ones are used only if no member is alive, leaving and dead
 * ones never. The pointers are valid until the next call of members_*().
 */
void directory_choose(
    struct members *, const char *, GRand *, struct directory_answer *);

#endif /* DIRECTORY_H */
