/*
 * Autoscaling: how many servers of each kind a service has in each failure
 * domain. One node, the duty holder, decides and orders them. It learns the
 * demand from reports of the placement coordinators, so that the number of
 * messages grows only with the number of coordinators.
 *
 * There are two kinds: lasting servers, and cheaper reclaimable ones, which the
 * platform may take back, all of a domain at once. Reclaimable servers carry
 * the load, with a reserve for the loss of one domain; a minimum of lasting
 * ones serves the most urgent requests if all reclaimable ones are lost.
 *
 * Scaling up is immediate, because a new server takes time to boot. Scaling
 * down follows the peak of the last CAPACITY_PEAK_S seconds. Without recent
 * reports the number of servers is not reduced. An order contains the total
 * number wanted, so that repeated, late or lost orders converge.
 *
 * Load that it answers: all reclaimable servers of a domain leave at once while
 * the demand stays. The domain gets no new ones for a boot time. What the other
 * domains cannot give is ordered as lasting servers, up to stand_in_percent of
 * the recent need; these stay until enough reclaimable ones have been ready for
 * a boot time.
 *
 * Performs no I/O itself: orders go out through struct capacity_ops.
 */

#ifndef CAPACITY_H
#define CAPACITY_H

#include "proto.h"
#include "savory.h"

/* Failure domains and services beyond these are not scaled. */
#define CAPACITY_DOMAINS_MAX 16
#define CAPACITY_SERVICES_MAX 16
/* Seconds over which the peak demand is taken. */
#define CAPACITY_PEAK_S 24

/* Kinds of servers: permanent, and cheaper ones that may be taken back. */
enum capacity_kind {
	CAPACITY_LASTING,
	CAPACITY_RECLAIMABLE,
	CAPACITY_KINDS
};

/* Configuration of a service in a failure domain. */
struct capacity_domain_config {
	char name[NAME_SIZE];
	double price; /* of a lasting server, per second */
};

/* Configuration of a service that is scaled. */
struct capacity_config {
	char name[NAME_SIZE];
	unsigned int minimum, maximum; /* servers of both kinds, per domain */
	msec boot;		       /* from the order until it is ready */
	/* Price of a reclaimable server relative to a lasting one; 0: none. */
	double reclaimable_price;
	unsigned int ndomains;
	struct capacity_domain_config domains[CAPACITY_DOMAINS_MAX];
};

/* Limits from the settings. */
struct capacity_limits {
	unsigned int lasting_percent; /* minimum part of the servers needed */
	/* Percentage of the planned reclaimable servers that is ordered. */
	unsigned int reclaimable_percent;
	unsigned int spare_percent; /* added for bursts */
	/*
	 * Part of the need up to which lasting servers stand in for reclaimable
	 * ones that were taken back.
	 */
	unsigned int stand_in_percent;
};

/* A service's servers of one kind in one domain. */
struct capacity_pool {
	unsigned int ready;
	unsigned int target,
	    ordered;	 /* target now; in the last accepted order */
	bool is_ordered; /* the last order was accepted */
	bool pending;	 /* an order awaits its answer */
	msec ordered_at;
	msec refused_until; /* no orders before: none were available */
	unsigned int sent, sent_change; /* in the pending order */
	/* Reclaimable servers: for detecting that they are taken back. */
	unsigned int watched; /* ready servers at `watched_at` */
	msec watched_at;
	unsigned int reduced_to; /* least number in recent orders to reduce */
	msec reduced_until;	 /* these may still take effect */
	msec avoided_until;	 /* taken back: no new ones before */
};

/* A service in one failure domain. */
struct capacity_domain {
	struct capacity_pool kinds[CAPACITY_KINDS];
};

/* Last demand report of one coordinator. */
struct capacity_report;

/* A service that is scaled. */
struct capacity_service {
	name_id id;
	struct capacity_config config;
	struct capacity_domain domains[CAPACITY_DOMAINS_MAX];
	GHashTable *reports; /* node to struct capacity_report */
	/*
	 * Peak demand in each of the last seconds, the newest being `second`:
	 * tokens per ms in `peaks` and, of urgent requests, `urgent_peaks`;
	 * running requests in `busy_peaks`.
	 */
	double peaks[CAPACITY_PEAK_S], urgent_peaks[CAPACITY_PEAK_S];
	double busy_peaks[CAPACITY_PEAK_S];
	msec second;
	msec first_request_at; /* first report with requests; 0: none yet */
	msec reported_at;      /* time of the newest report */
	/* Inputs and results of the last decision. */
	double tokens_per_ms, urgent_part, running;
	unsigned int needed, lasting;
	/* `needed` as recorded by the previous duty holder; 0: none. */
	unsigned int previous_needed;
	/*
	 * Servers present when this node became duty holder, in all and by
	 * kind.
	 */
	unsigned int found_total, found_lasting, found_reclaimable;
	msec found_at;
	msec next_down, next_replace;
	/* Lasting servers that stand in for reclaimable ones, until then. */
	unsigned int stand_ins;
	msec stand_in_until;
};

struct capacity;

/* Callbacks; must be set. */
struct capacity_ops {
	/*
	 * Orders a total number of servers of a kind in the domain. Calls
	 * capacity_ordered() with the answer, possibly before it returns.
	 */
	void (*order)(struct capacity *, const struct capacity_service *,
	    unsigned int domain, enum capacity_kind, unsigned int);
	/* This many reclaimable servers of the domain left without an order. */
	void (*taken_back)(struct capacity *, const struct capacity_service *,
	    unsigned int domain, unsigned int);
};

/* Monotonic counters. */
struct capacity_counters {
	uint64_t orders, repeats, taken, refused, unanswered;
	uint64_t dropped; /* reports for unknown services or implausible */
	uint64_t losses;  /* times that a domain's servers were taken back */
	uint64_t lost;	  /* servers taken back */
};

/* Autoscaler state; the caller allocates it. Active only on the duty holder. */
struct capacity {
	const struct capacity_ops *ops;
	struct capacity_limits limits;
	unsigned int nservices;
	struct capacity_service *services;
	bool is_holder;		 /* this node is the duty holder */
	bool ready_complete;	 /* every ready server is counted */
	msec since;		 /* when `holds` was last set */
	unsigned int nodes;	 /* nodes notified of each server change */
	double change_allowance; /* server changes allowed now */
	msec ticked;
	struct capacity_counters counters;
	void *arg; /* for the callbacks */
};

/* Default limits. */
extern const struct capacity_limits capacity_defaults;

/* Initialise without services; free. */
void capacity_init(struct capacity *, const struct capacity_ops *);
void capacity_finish(struct capacity *);
/* Replaces the configuration of all services that are scaled. */
void capacity_set_config(
    struct capacity *, const struct capacity_config *, unsigned int);
/* Sets whether this node is the duty holder; resets the state. */
void capacity_set_holder(struct capacity *, msec, bool);
/*
 * Replace the counts of ready servers: clear, then add each ready server.
 * `complete`: every server is known; otherwise nothing is ordered.
 */
void capacity_clear_ready(struct capacity *, bool complete);
void capacity_add_ready(
    struct capacity *, name_id service, const char *domain, enum capacity_kind);
/* Handles a message of kind SP_DEMAND from a member node. */
void capacity_receive(struct capacity *, msec, name_id from, const sp_msg *);
/* Answers to an order: accepted, none available, or no answer. */
enum capacity_result {
	CAPACITY_ACCEPTED,
	CAPACITY_UNAVAILABLE,
	CAPACITY_NO_ANSWER
};
/* Reports the answer to an order of `count` servers in total. */
void
capacity_ordered(struct capacity *, msec, name_id service, unsigned int domain,
    enum capacity_kind, unsigned int count, enum capacity_result);
/* Decides on the number of servers and orders changes. */
void capacity_tick(struct capacity *, msec);

#endif /* CAPACITY_H */
