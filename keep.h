/*
 * Decisions on kept connections to servers: how long one may stay idle, and how
 * many of them.
 */

#ifndef KEEP_H
#define KEEP_H

#include "savory.h"

/* Idle connections that a node keeps to all servers, beside its callers'. */
#define KEEP_IDLE_ALL 1024
/*
 * How long a connection may stay idle, in ms; `announced`: the idle timeout
 * that the server states, 0: none.
 */
msec keep_idle_ms(msec announced);
/*
 * How many idle connections a node may keep to one server. `limit`: connections
 * that the server accepts from all nodes, 0: not given.
 */
unsigned int keep_idle_most(unsigned int limit, unsigned int nodes);

#endif /* KEEP_H */
