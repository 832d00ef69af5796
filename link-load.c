/*
 * How loaded a node's own link is; see link-load.h.
 */

#include "link-load.h"

#include <string.h>

void
link_load_init(struct link_load *l, msec now)
{
	*l = (struct link_load){ .least = MSEC_NEVER, .shortest = MSEC_NEVER };
}

void
link_load_stood(struct link_load *l, msec took)
{
}

void
link_load_tick(struct link_load *l, msec now, uint64_t tried)
{
}

static GPtrArray *
members_of_domain(const GPtrArray *all, const char *domain)
{
	GPtrArray *some = g_ptr_array_new();
	const struct member *m;
	guint i;

	for (i = 0; i < all->len; i++) {
		m = g_ptr_array_index(all, i);
		if (domain == NULL || strcmp(m->domain, domain) == 0)
			g_ptr_array_add(some, g_ptr_array_index(all, i));
	}
	return some;
}

GPtrArray *
link_load_choose(const GPtrArray *all, const char *domain, GRand *r)
{
	GPtrArray *some = members_of_domain(all, domain);

	if (some->len >= LINK_LOAD_LEAST_NAMED)
		return some;
	g_ptr_array_unref(some);
	return members_of_domain(all, NULL);
}
