/*
 * Statistics of a service's traffic by route, and the number of its servers
 * that are reserved for light requests (quiet servers). While a server reads a
 * long prompt, its streams get tokens only between two chunks of that prompt.
 * Streams with short prompts and a low gap target then miss that target, and
 * they are the majority. So long prompts avoid a few servers, which all nodes
 * select alike without a message (see server-choose.c).
 */

#ifndef SERVER_MIX_H
#define SERVER_MIX_H

#include "fair-share.h"
#include "prompt-fetch.h"
#include "savory.h"
#include "server-limit.h"

/* Maximum routes per service; further routes are ignored and never light. */
#define MIX_ROUTES_MAX 32

/* Statistics of a route's requests. */
struct mix_route {
	name_id id;
	msec gap_target;      /* longest pause of a stream, ms; 0: any */
	unsigned int rank;    /* the highest seen; 0 is most urgent */
	double prompt_tokens; /* mean, smoothed */
	bool light;	      /* low gap target and short prompts */
	unsigned int running; /* on servers now */
	double busy;	      /* `running` smoothed over time */
	msec busy_at;
	struct server_refusals refusals; /* replies of coordinators */
	double read_ms_per_token; /* of its prompts, smoothed; 0: none yet */
};

/* Statistics of a service. */
struct mix {
	RB_ENTRY(mix) entry;
	name_id service;
	unsigned int servers_max;	 /* configured maximum; 0: none */
	struct prompt_transfer transfer; /* as configured */
	unsigned int nroutes;
	struct mix_route routes[MIX_ROUTES_MAX];
	double hold_ms; /* smoothed time of a request on a server; 0: none */
	/* Totals: requests, unread prompt tokens, those of the first tier. */
	unsigned int requests;
	uint64_t tokens, urgent_tokens;
	/* Admission limits of the quiet servers and of the others. */
	struct server_limit limit_light, limit;
	/* Of requests of the least urgent rank; NULL: none yet. */
	struct fair_share *share;
};

/* Records a request; returns true if it is the first of its route. */
bool mix_record_request(struct mix *, msec, name_id route, msec gap_target,
    unsigned int rank, unsigned int tokens);
/*
 * A request was sent to a server, or has left it. mix_started() returns false
 * for an unknown route: the request is not counted, and mix_ended() must not be
 * called for it.
 */
bool mix_started(struct mix *, msec, name_id route);
void mix_ended(struct mix *, msec, name_id route);
/* Adds requests of a new route that were running before it was known. */
void mix_add_running(struct mix *, msec, name_id route, unsigned int running);
/* A server read so many prompt tokens of a route's request in so many ms. */
void mix_record_read(struct mix *, name_id route, unsigned int tokens, msec ms);
/* The time in ms that this takes on the service's servers; 0: not known. */
double
mix_expected_read_ms(const struct mix *, name_id route, unsigned int tokens);
/* Records the time in ms that an answered request was on its server. */
void mix_record_hold_time(struct mix *, msec);
/*
 * Returns true if the route has a gap target and its prompts are much shorter
 * than those of a route with a higher gap target; false if it is unknown.
 */
bool mix_is_light(const struct mix *, name_id route);
/* Replies of coordinators for a route; NULL if it is unknown. */
struct server_refusals *mix_refusals(struct mix *, name_id route);
/* Returns true if no route of the service is less urgent, or more urgent. */
bool mix_is_last_tier(const struct mix *, name_id route);
bool mix_is_first_tier(const struct mix *, name_id route);
/* Returns true if a route of the service is more urgent than the rank. */
bool mix_has_more_urgent(const struct mix *, unsigned int rank);
/* Adds a request and its unread prompt tokens to the totals. */
void mix_add_demand(struct mix *, name_id route, unsigned int tokens);
/* Number of running requests of the service. */
unsigned int mix_running(const struct mix *);
/*
 * Returns how many of the service's servers to reserve for light requests, if
 * `nodes` nodes have the same traffic; 0 if no light requests are running.
 */
unsigned int mix_quiet_servers(struct mix *, msec, unsigned int nodes,
    unsigned int servers, unsigned int slots);

#endif /* SERVER_MIX_H */
