/*
 * Which servers of a service are kept free of long prompts. While a server
 * reads a long prompt, every stream on it gets its tokens in the pauses
 * between two pieces of the prompt; streams with short prompts and little
 * patience then miss their pauses, and they are the most. A few servers, the
 * same for every node without a message, are left to them.
 */

#ifndef SERVER_MIX_H
#define SERVER_MIX_H

#include "savory.h"
#include "server-limit.h"

/* Routes of a service beyond these are not light. */
#define MIX_ROUTES_MAX 32

/* What one kind of request of a service was like, here. */
struct mix_route {
	name_id id;
	msec gap_target;      /* 0: it does not mind pauses */
	unsigned int rank;    /* the highest seen; 0 is most urgent */
	double prompt_tokens; /* smoothed */
	bool light;	      /* short beside the others' */
	unsigned int running; /* on its servers now */
	double busy;	      /* running, smoothed over time */
	msec busy_at;
	struct server_told told; /* by coordinators */
};

/* One service's. */
struct mix {
	RB_ENTRY(mix) entry;
	name_id service;
	unsigned int servers_most; /* that it may get; 0: not said */
	unsigned int nroutes;
	struct mix_route routes[MIX_ROUTES_MAX];
	double hold_ms; /* smoothed, how long one is on its server; 0: none */
	/* In all: requests, their tokens to read, and of the first tier. */
	unsigned int requests;
	uint64_t tokens, urgent_tokens;
	/* Of the servers left to light requests, and of the others. */
	struct server_limit limit_light, limit;
};

/* A request of a route with so many prompt tokens has come; is it the first? */
bool mix_request(struct mix *, msec, name_id route, msec gap_target,
    unsigned int rank, unsigned int tokens);
/*
 * One of them is sent to a server, or has left it. False for a route that was
 * never seen: it is not counted, and must not be counted off.
 */
bool mix_started(struct mix *, msec, name_id route);
void mix_ended(struct mix *, msec, name_id route);
/* So many have been running for a while, though the route is new here. */
void mix_adopt(struct mix *, msec, name_id route, unsigned int running);
/* One that was answered had been on its server for so long. */
void mix_held(struct mix *, msec);
/*
 * Is it a route of short prompts that minds pauses, beside longer ones? One
 * that was never seen is not.
 */
bool mix_is_light(const struct mix *, name_id route);
/* What coordinators said of a route, or NULL: it was never seen. */
struct server_told *mix_told(struct mix *, name_id route);
/* Is none of the service's routes less urgent, or more? */
bool mix_is_last_tier(const struct mix *, name_id route);
bool mix_is_first_tier(const struct mix *, name_id route);
/* Has it a kind that is more urgent than a rank? */
bool mix_has_more_urgent(const struct mix *, unsigned int rank);
/* One of a route came, with so many tokens that its server has not read. */
void mix_demand(struct mix *, name_id route, unsigned int tokens);
/* How many of its requests run. */
unsigned int mix_running(const struct mix *);
/*
 * How many of the service's servers are left to light requests, when so many
 * nodes see the same traffic: 0 while there is nothing to part.
 */
unsigned int mix_quiet_servers(struct mix *, msec, unsigned int nodes,
    unsigned int servers, unsigned int slots);

#endif /* SERVER_MIX_H */
