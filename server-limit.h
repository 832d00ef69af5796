/*
 * Admission limit: how much unread prompt may be ahead of a request that is
 * admitted, as time to read it. Under overload, requests wait in the servers'
 * queues until they are late, and reading their prompts interrupts the running
 * streams. So some requests must be refused for the others to be served in
 * time. How many depends on the servers and on the traffic, so the limit is
 * adjusted by whether admitted requests were in time.
 *
 * The module does no I/O.
 */

#ifndef SERVER_LIMIT_H
#define SERVER_LIMIT_H

#include "savory.h"

/* A coordinator's limit for the quiet or the other servers of a service. */
struct server_limit {
	double part;	      /* of the target; 0: not adjusted yet */
	uint64_t adjustments; /* number of adjustments */
};

/* Returns true if `ahead` is near the limit; both in ms. */
bool server_limit_is_near(msec ahead, msec limit);
/*
 * Adjusts the limit after an admitted request was late or in time;
 * `near_limit`: it was admitted near the limit. Only such a request in time
 * raises the limit: at low load all requests are in time whatever the limit is,
 * and a limit raised by them would admit the whole beginning of a burst.
 */
void server_limit_adjust(struct server_limit *, bool late, bool near_limit);
/*
 * Returns the maximum time that may be ahead of a request, in ms. The adjusted
 * limit is applied to the least urgent tier only; the more urgent tiers are
 * limited by the whole target.
 */
msec server_limit_ms(const struct server_limit *, msec target, bool last_tier);

/* The limit of the least urgent tier in percent of the target. */
unsigned int server_limit_percent(const struct server_limit *);

/* Recent replies of coordinators for one route, on the node that asks them. */
struct server_refusals {
	msec at;		 /* of the last reply; 0: none yet */
	double refused;		 /* share of refused requests, smoothed */
	msec wait, ahead, limit; /* of the last refused request, in ms */
};

/* Records a reply; `refused`: the request was over the limit. */
void server_refusals_record(struct server_refusals *, msec now, bool refused,
    msec wait, msec ahead, msec limit);
/*
 * Returns true if a request without a coordinator's reply should be refused.
 * `draw`: a uniform random number from 0 to 1.
 */
bool
server_refusals_apply(const struct server_refusals *, msec now, double draw);

#endif /* SERVER_LIMIT_H */
