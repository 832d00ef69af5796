/*
 * How long a caller may leave a connection idle. The limit is part of the
 * configuration, and while that changes callers and nodes go by different
 * versions of it: callers may not know a lowered limit yet, and a node may not
 * know a raised one. A connection that ends by a limit its caller does not go
 * by takes a request with it.
 */

#ifndef IDLE_LIMIT_H
#define IDLE_LIMIT_H

#include "savory.h"

/* The limits that callers may go by; allocated by the caller. */
struct idle_limit {
	msec limit;	    /* in force on this node */
	msec earlier;	    /* the longest one before it; 0: none */
	msec earlier_until; /* callers may go by `earlier` until then */
	msec change_bound;  /* longest time until a change is in force */
};

/* The limit before there is a configuration, and the bound, in ms. */
void idle_limit_init(struct idle_limit *, msec limit, msec change_bound);
/* A configuration with this limit, in ms, is in force from now on. */
void idle_limit_set(struct idle_limit *, msec now, msec limit);
/*
 * When a connection that is idle since then may be closed. A later call may
 * return a later time, so call it again before the close.
 */
msec idle_limit_end(const struct idle_limit *, msec now, msec since);

#endif /* IDLE_LIMIT_H */
