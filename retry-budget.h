/*
 * Retry budget of a service. All nodes share one allowance over a sliding
 * window: a fraction of the requests plus a fixed number. Each node uses a
 * share that is safe whatever the others do: the fraction of its own requests,
 * and an equal part of half the fixed number, so that the number of nodes may
 * double before the total is exceeded. A node that has just started uses none
 * of the fixed number for one window, as it does not know what it used before
 * the restart. Part of the fraction stays unused, because a node may count
 * requests that others do not, such as those of callers that disconnected.
 */

#ifndef RETRY_BUDGET_H
#define RETRY_BUDGET_H

#include "savory.h"

/* Slices into which the window is divided for counting. */
#define RETRY_SLICES 20

/* Allowance of all nodes together. */
struct retry_budget_config {
	msec window;
	unsigned int permille; /* retries for 1,000 requests */
	unsigned int fixed;    /* further retries, of all nodes, per window */
};

/* This node's use of the budget of one service. */
struct retry_budget {
	RB_ENTRY(retry_budget) entry;
	name_id service;
	msec started;  /* when this node started */
	int64_t slice; /* number of the newest slice */
	unsigned int requests[RETRY_SLICES];
	unsigned int retries[RETRY_SLICES];
	uint64_t taken, denied; /* counters */
};

/* The budgets of all services, by service. */
RB_HEAD(retry_budgets, retry_budget);
int retry_budget_compare(struct retry_budget *, struct retry_budget *);
RB_PROTOTYPE(retry_budgets, retry_budget, entry, retry_budget_compare)

/* Initialises an unused budget on a node that started at `started`. */
void retry_budget_init(struct retry_budget *, name_id service, msec started);
/* Counts a caller's request for the service. */
void retry_budget_request(
    struct retry_budget *, const struct retry_budget_config *, msec);
/*
 * Takes one retry if allowed; `nodes` share the fixed part, this one included.
 */
bool retry_budget_take(struct retry_budget *,
    const struct retry_budget_config *, msec, unsigned int nodes);
/* The retry that was taken last did not reach a server. */
void retry_budget_give_back(
    struct retry_budget *, const struct retry_budget_config *, msec);
/* Number of retries that could be taken now. */
unsigned int retry_budget_left(struct retry_budget *,
    const struct retry_budget_config *, msec, unsigned int nodes);

#endif /* RETRY_BUDGET_H */
