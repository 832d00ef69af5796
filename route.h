/*
 * Routing tables from the operators' configuration: which requests go to which
 * service, which organisations may send them, and limits on requests. A table
 * is immutable and reference-counted; each configuration version has its own.
 */

#ifndef ROUTE_H
#define ROUTE_H

#include "capacity.h"
#include "prompt-fetch.h"
#include "savory.h"

/* Maximum services that one route may be split over. */
#define ROUTE_SPLITS_MAX 16
/* Priorities, and ranks at a server, are 0 to ROUTE_RANKS - 1; 0 is highest. */
#define ROUTE_RANKS 10

/* Whether the requests of a route may run more than once. */
enum route_kind {
	ROUTE_REPEATABLE, /* any number of runs */
	ROUTE_ONCE,	  /* at most one run */
	ROUTE_STREAM	  /* event stream; at most one run unless resumable */
};

/* A service and the part of a route's requests that it receives. */
struct route_split {
	name_id service;
	unsigned int weight;
};

/* Requests of one host below one path. */
struct route {
	char *name;
	char *host;   /* lower case, without a port */
	char *prefix; /* begins and ends with a slash */
	enum route_kind kind;
	msec timeout; /* maximum time until the caller gets an answer */
	msec target;  /* latency target of an answer, or of its first event */
	msec gap_target; /* streams: target between events; 0: none */
	unsigned int attempts;
	unsigned int priority; /* 0 is highest */
	bool anonymous;	       /* needs no key */
	bool resumable;	       /* streams: another server can continue one */
	bool moves_when_slow;  /* streams: off servers that have turned slow */
	bool
	    has_prompt_parts; /* its requests list the parts of their prompts */
	unsigned int nsplits;
	struct route_split splits[ROUTE_SPLITS_MAX];
};

/* Configuration of a service's servers. */
struct route_service {
	char *name;
	name_id id;
	unsigned int connection_limit; /* of one server, all callers; 0: none */
	unsigned int slots;	       /* of one server; 0: not set */
	uint64_t memory_tokens;	       /* of one server; 0: not a model */
	unsigned int tokens_per_event; /* 0: not set */
	struct prompt_transfer transfer; /* of prompts between its servers */
	struct capacity_config *scaling; /* NULL: no scaling */
};

/* An organisation that may send requests. */
struct route_organisation {
	char *name;
	bool has_priority;
	unsigned int priority; /* see route_rank() */
};

/* Largest limits that a configuration may set, in bytes. */
#define ROUTE_HEAD_BYTES_MAX (1 << 20)
#define ROUTE_BODY_BYTES_MAX (1 << 30)

/* Limits on callers' requests. */
struct route_limits {
	unsigned int head_bytes;
	unsigned int body_bytes;
	msec head_timeout; /* from the first byte of a request to its last */
	msec idle_timeout; /* between requests on a connection */
};

/* The routing table of one configuration version. */
struct route_table {
	gint refs;
	uint64_t version;
	struct route_limits limits;
	unsigned int nroutes, nservices, norganisations;
	struct route *routes; /* longest prefix first */
	struct route_service *services;
	struct route_organisation *organisations;
	unsigned int nranks[2]; /* private: see route_rank() */
	unsigned int ranks[2][ROUTE_RANKS];
	bool moves_when_slow; /* a route has it */
	bool keyed;	      /* requests need a key */
	GHashTable *keys;     /* key to index of the organisation plus 1 */
	GBytes *text;	      /* source text; NULL: not kept */
};

/*
 * Returns an empty table of version 0 with one reference. Fill it, then call
 * route_table_complete().
 */
struct route_table *route_table_new(void);
struct route *route_table_add_route(struct route_table *);
struct route_service *
route_table_add_service(struct route_table *, const char *);
struct route_organisation *
route_table_add_organisation(struct route_table *, const char *);
/* Adds an API key of the organisation that was added last. */
void route_table_add_key(struct route_table *, const char *);
/* Sorts the routes and priorities; nothing may be added afterwards. */
void route_table_complete(struct route_table *);

/* Take and drop a reference; the last drop frees the table. */
struct route_table *route_table_take(struct route_table *);
void route_table_drop(struct route_table *);

/* Finds by Host field and path with or without a query; NULL: no route. */
const struct route *
route_find(const struct route_table *, const char *, const char *);
/* The organisation that holds a key, or NULL. */
const struct route_organisation *
route_organisation_of(const struct route_table *, const char *);
const struct route_service *
route_service_find(const struct route_table *, name_id);
bool route_has_service(const struct route *, name_id);
/*
 * Chooses one of the route's services by weight; takes a uniform random number.
 */
name_id route_service_draw(const struct route *, uint32_t);
/*
 * Rank of a request at a server, 0 (highest) to ROUTE_RANKS - 1: by the
 * priority of its route, and among equal ones by that of its organisation.
 */
unsigned int route_rank(const struct route_table *, const struct route *,
    const struct route_organisation *);
/* Whether its requests may run more than once. */
bool route_is_repeatable(const struct route *);

#endif /* ROUTE_H */
