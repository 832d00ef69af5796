/*
 * How many attempts beyond the first a service may get. All nodes share one
 * allowance over a sliding window: a fraction of the requests and a fixed
 * part. Each node keeps to a share that is safe whatever the others do: the
 * fraction of its own requests, and an equal part of half of the fixed part,
 * so that the nodes may double before the sum is reached. A node that has
 * just started takes nothing of the fixed part for a window, as it does not
 * know what it used before. Of the fraction a part is left alone: requests
 * that we count and others do not, as of callers that had left, must not carry
 * the sum over the edge.
 */

#ifndef RETRY_BUDGET_H
#define RETRY_BUDGET_H

#include "savory.h"

/* The window is counted in so many slices. */
#define RETRY_SLICES 20

/* What all nodes share. */
struct retry_budget_config {
	msec window;
	unsigned int permille; /* retries for 1,000 requests */
	unsigned int fixed;    /* retries of all nodes beside those */
};

/* One service's. */
struct retry_budget {
	RB_ENTRY(retry_budget) entry;
	name_id service;
	msec started;
	int64_t slice; /* number of the newest */
	unsigned int requests[RETRY_SLICES];
	unsigned int retries[RETRY_SLICES];
	uint64_t taken, denied; /* counters */
};

/* Those of all services, by service. */
RB_HEAD(retry_budgets, retry_budget);
int retry_budget_compare(struct retry_budget *, struct retry_budget *);
RB_PROTOTYPE(retry_budgets, retry_budget, entry, retry_budget_compare)

/* Unused, for a service, on a node that started then. */
void retry_budget_init(struct retry_budget *, name_id service, msec started);
/* A caller's request for the service has come. */
void retry_budget_request(
    struct retry_budget *, const struct retry_budget_config *, msec);
/* Take one retry; `nodes` share the fixed part, we among them. */
bool retry_budget_take(struct retry_budget *,
    const struct retry_budget_config *, msec, unsigned int nodes);
/* What could be taken now. */
unsigned int retry_budget_left(struct retry_budget *,
    const struct retry_budget_config *, msec, unsigned int nodes);

#endif /* RETRY_BUDGET_H */
