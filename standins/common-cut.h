/*
 * A partition between a stand-in server and clients with addresses of their
 * own. Packets from these are lost as they arrive on a socket, so that open
 * connections stay silent and new ones are not established; or a device between
 * them accepts connections in the server's place, and then passes nothing on or
 * resets them.
 */

#ifndef COMMON_CUT_H
#define COMMON_CUT_H

#include "savory.h"

/* Clients that are cut off at the same time. */
#define CUT_MAX 32

/* What happens to a client's connections. */
enum cut_how {
	CUT_NONE,
	CUT_LOST,   /* packets are lost */
	CUT_SILENT, /* accepted, and then nothing passes */
	CUT_RESET,  /* accepted, and reset when it sends */
};

struct cut_client {
	uint32_t address; /* IPv4, host byte order */
	enum cut_how how;
};

struct cut {
	struct cut_client from[CUT_MAX];
	unsigned int n;
};

/* Cuts off an address in dotted notation, or ends that with CUT_NONE. */
void cut_set(struct cut *, const char *address, enum cut_how);
/*
 * The words "hang", "reset" and "new", where new connections are lost, and
 * "accept-hang" and "accept-reset"; CUT_NONE for all others.
 */
enum cut_how cut_parse(const char *);
/* Loses packets on a socket; connections accepted on it later inherit it. */
void cut_apply(const struct cut *, int fd);
/* Is it a connection from that address, in dotted notation? */
bool cut_is_from(int fd, const char *address);
/* How the peer of a connection is cut off. */
enum cut_how cut_find_peer(const struct cut *, int fd);

#endif /* COMMON_CUT_H */
