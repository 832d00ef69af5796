/*
 * Decisions on kept connections to servers: how long one may stay idle, how
 * many of them, and when its path is to be proved before a request that may run
 * only once is sent on it.
 */

#ifndef KEEP_H
#define KEEP_H

#include "savory.h"

/* Idle connections that a node keeps to all servers, beside its callers'. */
#define KEEP_IDLE_ALL 1024
/* A connection that was idle for less than this needs no proof. */
#define KEEP_FRESH_MS 300
/* How long the first bytes may be unconfirmed; more on paths that are long. */
#define KEEP_PROOF_MS 100
#define KEEP_PROOF_ROUND_TRIPS 4

/*
 * How long a connection may stay idle, in ms; `announced`: the idle timeout
 * that the server states, 0: none; `crowded`: keep_idle_most() is 0.
 */
msec keep_idle_ms(msec announced, bool crowded);
/*
 * How many idle connections a node may keep to one server. `limit`: connections
 * that the server accepts from all nodes, 0: not given. 0: there are more nodes
 * than connections; one may be kept for a short time.
 */
unsigned int keep_idle_most(unsigned int limit, unsigned int nodes);
/*
 * Whether a request must wait for a proof of the connection: it may run only
 * once, and the connection was idle for `idle` ms.
 */
bool keep_needs_proof(bool once, msec idle);
/*
 * Time until the next check of a proof that has lasted `waited` ms; 0: it has
 * failed. `round_trip`: of the path, in ms, 0: not known.
 */
msec keep_proof_pause(msec waited, msec round_trip);

#endif /* KEEP_H */
