/*
 * What operators want in force: which request goes to which service, who may
 * ask, and what callers may send. One immutable table a version, shared by
 * reference count; a newer version is a new table. Without input or output.
 */

#ifndef ROUTE_H
#define ROUTE_H

#include "capacity.h"
#include "savory.h"

/* Services that one route may be split over. */
#define ROUTE_SPLITS_MAX 16
/* Priorities, and ranks at a server, are 0 to ROUTE_RANKS - 1; 0 is first. */
#define ROUTE_RANKS 10

/* What of a request may be repeated. */
enum route_kind {
	ROUTE_REPEATABLE, /* as often as need be */
	ROUTE_ONCE,	  /* at most one run */
	ROUTE_STREAM	  /* events; at most one run unless resumable */
};

/* One service's part of a route's requests. */
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
	msec timeout;	 /* the longest that a caller is kept waiting */
	msec target;	 /* an answer, or its first event, in time */
	msec gap_target; /* streams: between events; 0: none said */
	unsigned int attempts;
	unsigned int priority; /* 0 is first */
	bool anonymous;	       /* needs no key */
	bool resumable;	       /* streams: another server may go on */
	bool prompts;	       /* its requests say what their prompts hold */
	unsigned int nsplits;
	struct route_split splits[ROUTE_SPLITS_MAX];
};

/* What is said of a service's servers. */
struct route_service {
	char *name;
	name_id id;
	unsigned int connection_limit; /* of one server, all callers; 0: none */
	unsigned int slots;	       /* of one server; 0: not said */
	uint64_t memory_tokens;	       /* of one server; 0: not a model */
	unsigned int tokens_per_event; /* 0: not said */
	struct capacity_terms *scaling; /* NULL: its servers are not ordered */
};

/* Who may ask. */
struct route_organisation {
	char *name;
	bool has_priority;
	unsigned int priority; /* goes before the route's */
};

/* What callers may send, and how slowly. */
struct route_limits {
	unsigned int head_bytes;
	unsigned int body_bytes;
	msec head_timeout; /* from the first byte of a request to its last */
	msec idle_timeout; /* between requests on a connection */
};

/* All of one version. */
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
	bool keyed;	  /* requests need a key */
	GHashTable *keys; /* to the index of the organisation, plus 1 */
	GBytes *text;	  /* as its source gave it; NULL: not kept */
};

/* Empty, of version 0 and with one reference. Fill it, then complete it. */
struct route_table *route_table_new(void);
struct route *route_table_add_route(struct route_table *);
struct route_service *
route_table_add_service(struct route_table *, const char *);
struct route_organisation *
route_table_add_organisation(struct route_table *, const char *);
/* A key of the organisation that was added last. */
void route_table_add_key(struct route_table *, const char *);
/* Put it in order; nothing may be added after. */
void route_table_complete(struct route_table *);

/* One more reference; one less, and the end with the last. */
struct route_table *route_table_take(struct route_table *);
void route_table_drop(struct route_table *);

/* By Host field and path with or without a query; NULL: no route. */
const struct route *
route_find(const struct route_table *, const char *, const char *);
/* The organisation that holds a key, or NULL. */
const struct route_organisation *
route_organisation_of(const struct route_table *, const char *);
const struct route_service *
route_service_find(const struct route_table *, name_id);
bool route_has_service(const struct route *, name_id);
/* One of the route's services, by a number below 2^32 drawn at random. */
name_id route_service_draw(const struct route *, uint32_t);
/*
 * The place of a request among all that may run on one server: by its route's
 * priority, and where these are equal by its organisation's. 0 to
 * ROUTE_RANKS - 1; 0 is first.
 */
unsigned int route_rank(const struct route_table *, const struct route *,
    const struct route_organisation *);
/* May it run more than once? */
bool route_is_repeatable(const struct route *);

#endif /* ROUTE_H */
