/*
 * How many servers of which kind a service has in each failure domain, ordered
 * by one node. Demand is what coordinators of placement count, so that a
 * decision needs no more messages than they and their number.
 *
 * Two kinds: lasting servers, and cheaper ones that the platform may take back,
 * all of a domain at once. The cheap ones carry the load and the spare for the
 * loss of one domain; a floor of lasting ones carries the most urgent requests
 * when all others go.
 *
 * Up at once, since a server serves a while after its order; down only by what
 * the peak of a longer time leaves over. Without fresh knowledge what is there
 * stays. An order is the whole number wanted, so one that is repeated, late or
 * lost ends at the right one.
 *
 * A core without input or output.
 */

#ifndef CAPACITY_H
#define CAPACITY_H

#include "proto.h"
#include "savory.h"

/* Beyond these, failure domains and services are left as they are. */
#define CAPACITY_DOMAINS_MAX 16
#define CAPACITY_SERVICES_MAX 16
/* Seconds of which the peaks are remembered. */
#define CAPACITY_PEAK_S 24

/* Of a server, by what it costs and who may take it. */
enum capacity_kind {
	CAPACITY_LASTING,
	CAPACITY_RECLAIMABLE,
	CAPACITY_KINDS
};

/* What the operators say of a service in a failure domain. */
struct capacity_domain_terms {
	char name[NAME_SIZE];
	double price; /* of a lasting server's second */
};

/* What they say of a service whose servers are ordered. */
struct capacity_terms {
	char name[NAME_SIZE];
	unsigned int least, most; /* of both kinds, in each domain */
	msec boot;		  /* from an order until it serves */
	double
	    reclaimable_price; /* part of a lasting one's; 0: none to be had */
	unsigned int ndomains;
	struct capacity_domain_terms domains[CAPACITY_DOMAINS_MAX];
};

/* What the settings allow. */
struct capacity_limits {
	unsigned int lasting_percent;	  /* of what is needed; the least */
	unsigned int reclaimable_percent; /* of all, the most */
	unsigned int spare_percent;	  /* for a burst */
};

/* A service's servers of one kind in one domain. */
struct capacity_place {
	unsigned int ready;
	unsigned int want, ordered; /* now; in the newest order that counts */
	bool is_ordered;	    /* any order of ours was taken */
	bool pending;		    /* an order without an answer yet */
	msec ordered_at;
	msec refused_until; /* none were to be had */
};

/* A service in one failure domain. */
struct capacity_domain {
	struct capacity_place kinds[CAPACITY_KINDS];
};

/* One coordinator's counts. */
struct capacity_report;

/* One service whose servers are ordered. */
struct capacity_service {
	name_id id;
	struct capacity_terms terms;
	struct capacity_domain domains[CAPACITY_DOMAINS_MAX];
	GHashTable *reports; /* node to struct capacity_report */
	/* By second, tokens and requests; the newest at `second`. */
	double peaks[CAPACITY_PEAK_S], urgent_peaks[CAPACITY_PEAK_S];
	double busy_peaks[CAPACITY_PEAK_S];
	msec second;
	msec asked;    /* when the first request was heard of; 0: none yet */
	msec reported; /* the newest report */
	/* What the newest decision went by. */
	double tokens_per_ms, urgent_part, running;
	unsigned int needed, lasting, held;
	/* Servers that stood there when we took over, in all and by kind. */
	unsigned int found, found_lasting, found_reclaimable;
	msec found_at;
	msec next_down, next_move;
};

struct capacity;

/* What the core calls; must be given. */
struct capacity_ops {
	/*
	 * Order so many of a kind for the service in the domain; then
	 * capacity_ordered(), which it may call at once.
	 */
	void (*order)(struct capacity *, const struct capacity_service *,
	    unsigned int domain, enum capacity_kind, unsigned int);
};

/* Counters; all only grow. */
struct capacity_counters {
	uint64_t orders, repeats, taken, refused, unanswered;
	uint64_t dropped; /* reports that cannot be right */
};

/* In the embedder's memory; acts only on the holder of the duty. */
struct capacity {
	const struct capacity_ops *ops;
	struct capacity_limits limits;
	unsigned int nservices;
	struct capacity_service *services;
	bool holds, knows_all;
	msec since;
	unsigned int nodes; /* that hear of servers */
	double changes;	    /* servers that may come or go now */
	msec ticked;
	struct capacity_counters counters;
	void *arg; /* the embedder's */
};

/* The defaults of the settings. */
extern const struct capacity_limits capacity_defaults;

/* Without services; the end. */
void capacity_init(struct capacity *, const struct capacity_ops *);
void capacity_finish(struct capacity *);
/* What operators say of all services whose servers are ordered. */
void capacity_set_terms(
    struct capacity *, const struct capacity_terms *, unsigned int);
/* We decide from now on, or do not any more. */
void capacity_hold(struct capacity *, msec, bool);
/*
 * Ready servers of a service, by domain and kind, as they are now. `all`: none
 * is left out; before that nothing is ordered.
 */
void capacity_clear_ready(struct capacity *, bool all);
void capacity_add_ready(
    struct capacity *, name_id service, const char *domain, enum capacity_kind);
/* A message of kind SP_DEMAND from a node that is a member. */
void capacity_receive(struct capacity *, msec, name_id from, const sp_msg *);
/* How an order ended: taken, refused as there are none, or no answer. */
enum capacity_result {
	CAPACITY_TAKEN,
	CAPACITY_NONE,
	CAPACITY_UNKNOWN
};
void
capacity_ordered(struct capacity *, msec, name_id service, unsigned int domain,
    enum capacity_kind, unsigned int, enum capacity_result);
/* Decide and order what is due. */
void capacity_tick(struct capacity *, msec);

#endif /* CAPACITY_H */
