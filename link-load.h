/*
 * How loaded a node's own link is, and what the directory makes of it. A link
 * that is choked delays all new connections alike, so the shortest time that
 * connecting took within a window tells a standing queue from a single server
 * that does not answer, as the shortest sojourn does for CoDel (Nichols,
 * Jacobson: "Controlling Queue Delay", 2012). No bandwidth need be configured.
 *
 * Without input or output.
 */

#ifndef LINK_LOAD_H
#define LINK_LOAD_H

#include "member.h"
#include "savory.h"

/* A node that takes no work at all; a choked link is always less. */
#define LINK_LOAD_NO_WORK 1000
/* Fewest that an answer of the directory names, where there are so many. */
#define LINK_LOAD_LEAST_NAMED 2

/* One node's link, in the embedder's memory. */
struct link_load {
	unsigned int permille; /* 0: free; to 999 */
	msec least;	       /* connecting ever took; MSEC_NEVER: none did */
	/* The window in hand. */
	msec ends;
	msec shortest;	       /* MSEC_NEVER: no connection stood */
	uint64_t tried_before; /* connections begun until then */
};

void link_load_init(struct link_load *, msec now);
/* A connection to a backend server stands after so many ms. */
void link_load_stood(struct link_load *, msec took);
/* Time passes; the number of connections ever begun. */
void link_load_tick(struct link_load *, msec now, uint64_t tried);
/*
 * Which of the members that take work an answer of the directory names to a
 * caller in a failure domain (NULL: it did not say). A loaded one is left out
 * by chance, the more often the more its load exceeds that of the least loaded,
 * and so is a domain that is loaded as a whole. Where all loads are equal, all
 * of the caller's domain are named, or all where it has fewer than two.
 * Pointers to struct member; the caller frees the array.
 */
GPtrArray *link_load_choose(const GPtrArray *, const char *domain, GRand *);

#endif /* LINK_LOAD_H */
