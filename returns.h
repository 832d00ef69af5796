/*
 * Requests that a coordinator refused for want of room, and that their callers
 * repeat. Without a record, a repeated request competes with new ones and may
 * be refused again, which ends it. With it, more may be ahead of it than of a
 * new one.
 *
 * The module does no I/O.
 */

#ifndef RETURNS_H
#define RETURNS_H

#include "savory.h"

/*
 * Number of table entries. Requests with the same index overwrite each other;
 * the one that is overwritten counts as new.
 */
#define RETURNS_PLACES 4096

/* The table; all zero bytes are an empty one. */
struct returns {
	struct {
		uint64_t repeat;
		msec at;
	} places[RETURNS_PLACES];
};

/* A request was refused; `repeat` identifies its repetitions, 0: nothing. */
void returns_note(struct returns *, msec, uint64_t repeat);
/* Returns true if the request was refused a short time ago. */
bool returns_expected(const struct returns *, msec, uint64_t repeat);
/*
 * Returns true if an expected request comes back sooner than its caller was
 * told to.
 */
bool returns_too_soon(const struct returns *, msec, uint64_t repeat);
/* The request was admitted: its next repetition counts as new. */
void returns_remove(struct returns *, uint64_t repeat);

#endif /* RETURNS_H */
