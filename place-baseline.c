/*
 * Baseline policies for server selection without coordinators, for comparison
 * and as a fallback: each node selects a server at once by its own requests.
 */

#define LOG_PART "place"
#include "place-private.h"

#include <string.h>

struct place_policy {
	const char *name;
	/* Returns one of the `n` servers, n > 0. */
	struct server *(*pick)(struct place *, struct server **, unsigned int);
};

static struct server *
pick_random(struct place *p, struct server **list, unsigned int n)
{
	return list[g_rand_int_range(p->rand, 0, (gint32)n)];
}

static struct server *
pick_round_robin(struct place *p, struct server **list, unsigned int n)
{
	return list[p->next_pick++ % n];
}

static struct server *
pick_least_load(struct place *p, struct server **list, unsigned int n)
{
	unsigned int i,
	    first = (unsigned int)g_rand_int_range(p->rand, 0, (gint32)n);
	struct server *best = list[first];

	for (i = 1; i < n; i++) {
		if (list[(first + i) % n]->own.running < best->own.running)
			best = list[(first + i) % n];
	}
	return best;
}

static struct server *
pick_two_choices(struct place *p, struct server **list, unsigned int n)
{
	struct server *a = pick_random(p, list, n);
	struct server *b = pick_random(p, list, n);

	return b->own.running < a->own.running ? b : a;
}

static const struct place_policy policies[] = {
	{ "random", pick_random },
	{ "round-robin", pick_round_robin },
	{ "least-load", pick_least_load },
	{ "two-choices", pick_two_choices },
};

void
place_set_policy(struct place *p, const char *name)
{
	size_t i;

	p->policy = NULL;
	for (i = 0; i < G_N_ELEMENTS(policies); i++) {
		if (strcmp(policies[i].name, name) == 0)
			p->policy = &policies[i];
	}
}

static bool
baseline_excludes(const struct server_wish *w, name_id id)
{
	unsigned int i;

	for (i = 0; i < w->navoid; i++) {
		if (w->avoid[i] == id)
			return true;
	}
	return false;
}

struct server *
place_pick_baseline(struct place *p, msec now, const struct server_wish *w)
{
	struct server **list = g_new(struct server *, p->servers->count + 1);
	struct server *v, *picked = NULL;
	unsigned int n = 0;

	RB_FOREACH (v, server_tree, &p->servers->tree) {
		if (v->service == w->service && v->state == SERVER_READY &&
		    now >= v->resting_until && !baseline_excludes(w, v->id) &&
		    server_suits(v, w))
			list[n++] = v;
	}
	if (n > 0)
		picked = p->policy->pick(p, list, n);
	g_free(list);
	return picked;
}
