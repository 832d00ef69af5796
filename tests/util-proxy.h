/*
 * A fault-injecting proxy on 127.0.0.1 as a thread of the test program, for
 * TCP or for UDP. Its faults are switched at run time and its random choices
 * come from a seed.
 */

#ifndef UTIL_PROXY_H
#define UTIL_PROXY_H

#include "savory.h"

enum proxy_kind {
	PROXY_TCP,
	PROXY_UDP
};

enum proxy_cut {
	PROXY_CUT_CLOSE, /* both directions, in order */
	PROXY_CUT_RESET, /* both, with a reset */
	PROXY_CUT_HALF	 /* only the direction that reached its bytes */
};

struct proxy_faults {
	msec delay; /* each way */

	/* TCP: connections are cut after so many bytes one way; -1 is off. */
	int64_t cut_to_server, cut_to_client;
	enum proxy_cut cut;
	bool refuse;	/* connections are refused; open ones go on */
	bool blackhole; /* connections open, nothing passes */
	/*
	 * Connections open, and of what clients send no segment arrives: their
	 * hosts get no acknowledgement, and repeat it.
	 */
	bool lose_data;
	/*
	 * Nothing passes: clients get this as soon as they send something, then
	 * an end, then a reset; NULL is off.
	 */
	const char *early_answer;

	/* UDP: shares of the datagrams. */
	unsigned int drop_permille;
	unsigned int duplicate_permille;
	unsigned int reorder_permille; /* held back behind those after them */
};

struct proxy_counters {
	uint64_t connections, cut;
	uint64_t datagrams, dropped, duplicated, reordered;
};

struct proxy;

/* No fault is on. */
extern const struct proxy_faults proxy_no_faults;

/*
 * Forward to a port on 127.0.0.1; the seed. A server that is not there looks
 * like a connection closed early; `refuse` gives a refused one.
 */
struct proxy *proxy_start(enum proxy_kind, unsigned int, uint32_t);
void proxy_stop(struct proxy *);
unsigned int proxy_port(const struct proxy *);
/* In force on return, for all that is read from then on. */
void proxy_set(struct proxy *, const struct proxy_faults *);
/* Cut every open connection. */
void proxy_cut_all(struct proxy *);
struct proxy_counters proxy_counters(struct proxy *);

#endif /* UTIL_PROXY_H */
