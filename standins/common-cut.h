/*
 * A partition between a stand-in server and clients with addresses of their
 * own: packets from these are lost as they arrive on a socket, so that open
 * connections stay silent and new ones are not established.
 */

#ifndef COMMON_CUT_H
#define COMMON_CUT_H

#include "savory.h"

/* Clients that are cut off at the same time. */
#define CUT_MAX 32

struct cut {
	uint32_t from[CUT_MAX]; /* IPv4, host byte order */
	unsigned int n;
};

/* Adds or removes an address in dotted notation. */
void cut_set(struct cut *, const char *address, bool on);
/* Loses packets on a socket; connections accepted on it later inherit it. */
void cut_apply(const struct cut *, int fd);
/* Returns true if the peer of a connection is cut off. */
bool cut_has_peer(const struct cut *, int fd);

#endif /* COMMON_CUT_H */
