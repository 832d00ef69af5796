/*
 * This node's share of the retry budget; see retry-budget.h.
 */

#define LOG_PART "retry"
#include "retry-budget.h"

#include <string.h>

/* Factor by which the nodes may grow before this node is notified of it. */
#define RETRY_NODES_GROWTH 2
/* Part of the permitted retries per request that a node uses, in percent. */
#define RETRY_USED_PERCENT 80

RB_GENERATE(retry_budgets, retry_budget, entry, retry_budget_compare)

int
retry_budget_compare(struct retry_budget *a, struct retry_budget *b)
{
	return a->service < b->service ? -1 : a->service > b->service;
}

void
retry_budget_init(struct retry_budget *b, name_id service, msec started)
{
	*b = (struct retry_budget){ .service = service, .started = started };
}

/* Clears the slices that have left the window; returns the current one. */
static unsigned int
budget_advance(
    struct retry_budget *b, const struct retry_budget_config *c, msec now)
{
	msec width = MAX(c->window / (RETRY_SLICES - 1), 1);
	int64_t slice = now / width;

	if (slice - b->slice >= RETRY_SLICES) {
		memset(b->requests, 0, sizeof b->requests);
		memset(b->retries, 0, sizeof b->retries);
		b->slice = slice;
	}
	while (b->slice < slice) {
		b->slice++;
		b->requests[b->slice % RETRY_SLICES] = 0;
		b->retries[b->slice % RETRY_SLICES] = 0;
	}
	return (unsigned int)(slice % RETRY_SLICES);
}

void
retry_budget_request(
    struct retry_budget *b, const struct retry_budget_config *c, msec now)
{
	b->requests[budget_advance(b, c, now)]++;
}

unsigned int
retry_budget_left(struct retry_budget *b, const struct retry_budget_config *c,
    msec now, unsigned int nodes)
{
	uint64_t requests = 0, used = 0, allowed;
	unsigned int i;

	budget_advance(b, c, now);
	for (i = 0; i < RETRY_SLICES; i++) {
		requests += b->requests[i];
		used += b->retries[i];
	}
	allowed = requests * c->permille * RETRY_USED_PERCENT / 100000;
	if (now - b->started >= c->window)
		allowed += c->fixed / (RETRY_NODES_GROWTH * MAX(nodes, 1));
	return allowed > used ? (unsigned int)(allowed - used) : 0;
}

bool
retry_budget_take(struct retry_budget *b, const struct retry_budget_config *c,
    msec now, unsigned int nodes)
{
	if (retry_budget_left(b, c, now, nodes) == 0) {
		b->denied++;
		return false;
	}
	b->retries[budget_advance(b, c, now)]++;
	b->taken++;
	return true;
}

void
retry_budget_give_back(
    struct retry_budget *b, const struct retry_budget_config *c, msec now)
{
	unsigned int i, slice = budget_advance(b, c, now) + RETRY_SLICES;

	/* From the newest slice on; it may have left the window. */
	for (i = 0; i < RETRY_SLICES; i++) {
		if (b->retries[(slice - i) % RETRY_SLICES] == 0)
			continue;
		b->retries[(slice - i) % RETRY_SLICES]--;
		return;
	}
}
