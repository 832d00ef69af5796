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
/* How long an idle connection may be silent and is still taken as open. */
#define KEEP_FRESH_MS 300
/* How long the first bytes may be unconfirmed; more on paths that are long. */
#define KEEP_PROOF_MS 60
#define KEEP_PROOF_ROUND_TRIPS 4

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
/*
 * Returns true if the request, `once`: may run only once, must not be sent
 * whole on a connection that was idle for so many ms before the server has
 * confirmed a part of it.
 */
bool keep_needs_proof(bool once, msec idle);
/*
 * Time until the next look at whether it has, in ms; 0: it is given up.
 * `round_trip`: of the path, in ms, 0: not known.
 */
msec keep_proof_pause(msec waited, msec round_trip);

#endif /* KEEP_H */
