/*
 * Routes an HTTP request by path and method: authorization, checks and the
 * preparation of a call for the core. Runs in caller threads.
 */

#ifndef DAEMON_ROUTE_H
#define DAEMON_ROUTE_H

#include "daemon.h"

/*
 * Check the call and fill in the fields that the core needs. False when the
 * answer is already complete (an error, or a fixed answer).
 */
bool
route_prepare(const struct listener *, struct call *, struct MHD_Connection *);

#endif /* DAEMON_ROUTE_H */
