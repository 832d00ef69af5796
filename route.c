/*
 * Routing tables; see route.h.
 */

#define LOG_PART "route"
#include "route.h"

#include <stdlib.h>
#include <string.h>

/* Default limits. */
#define ROUTE_HEAD_BYTES 16384
#define ROUTE_BODY_BYTES (1024 * 1024)
#define ROUTE_HEAD_TIMEOUT (5 * MSEC_SECOND)
#define ROUTE_IDLE_TIMEOUT (15 * MSEC_SECOND)

struct route_table *
route_table_new(void)
{
	struct route_table *t = g_new0(struct route_table, 1);

	t->refs = 1;
	t->limits = (struct route_limits){ ROUTE_HEAD_BYTES, ROUTE_BODY_BYTES,
		ROUTE_HEAD_TIMEOUT, ROUTE_IDLE_TIMEOUT };
	t->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return t;
}

struct route *
route_table_add_route(struct route_table *t)
{
	t->routes = g_renew(struct route, t->routes, t->nroutes + 1);
	t->routes[t->nroutes] = (struct route){ .attempts = 1 };
	return &t->routes[t->nroutes++];
}

struct route_service *
route_table_add_service(struct route_table *t, const char *name)
{
	struct route_service *s;

	t->services =
	    g_renew(struct route_service, t->services, t->nservices + 1);
	s = &t->services[t->nservices++];
	*s = (struct route_service){ .name = g_strdup(name),
		.id = name_hash(name) };
	return s;
}

struct route_organisation *
route_table_add_organisation(struct route_table *t, const char *name)
{
	struct route_organisation *o;

	t->organisations = g_renew(
	    struct route_organisation, t->organisations, t->norganisations + 1);
	o = &t->organisations[t->norganisations++];
	*o = (struct route_organisation){ .name = g_strdup(name) };
	return o;
}

void
route_table_add_key(struct route_table *t, const char *key)
{
	g_hash_table_insert(
	    t->keys, g_strdup(key), GUINT_TO_POINTER(t->norganisations));
}

static int
route_compare(const void *a, const void *b)
{
	const struct route *x = a, *y = b;
	size_t n = strlen(x->prefix), m = strlen(y->prefix);

	return n == m ? 0 : n > m ? -1 : 1;
}

/* Inserts a priority into a sorted list without duplicates. */
static void
rank_add(struct route_table *t, unsigned int list, unsigned int priority)
{
	unsigned int *ranks = t->ranks[list], n = t->nranks[list], i;

	priority = MIN(priority, ROUTE_RANKS - 1);
	for (i = 0; i < n && ranks[i] < priority; i++)
		;
	if (i < n && ranks[i] == priority)
		return;
	memmove(&ranks[i + 1], &ranks[i], (n - i) * sizeof *ranks);
	ranks[i] = priority;
	t->nranks[list]++;
}

/* Index of a priority in its list; unlisted ones rank as the next listed. */
static unsigned int
rank_index(
    const struct route_table *t, unsigned int list, unsigned int priority)
{
	unsigned int i;

	for (i = 0; i + 1 < t->nranks[list]; i++) {
		if (t->ranks[list][i] >= priority)
			break;
	}
	return i;
}

unsigned int
route_rank(const struct route_table *t, const struct route *r,
    const struct route_organisation *o)
{
	unsigned int n = MAX(t->nranks[1], 1), rank, own = n - 1;

	if (o != NULL && o->has_priority)
		own = rank_index(t, 1, o->priority);
	rank = rank_index(t, 0, r->priority) * n + own;
	/* With more pairs than ranks, neighbouring pairs share a rank. */
	n *= t->nranks[0];
	return n <= ROUTE_RANKS ? rank : rank * ROUTE_RANKS / n;
}

void
route_table_complete(struct route_table *t)
{
	unsigned int i;

	for (i = 0; i < t->nroutes; i++)
		rank_add(t, 0, t->routes[i].priority);
	for (i = 0; i < t->norganisations; i++) {
		if (t->organisations[i].has_priority)
			rank_add(t, 1, t->organisations[i].priority);
	}
	if (t->nroutes > 0)
		qsort(t->routes, t->nroutes, sizeof *t->routes, route_compare);
}

struct route_table *
route_table_take(struct route_table *t)
{
	g_atomic_int_inc(&t->refs);
	return t;
}

void
route_table_drop(struct route_table *t)
{
	unsigned int i;

	if (t == NULL || !g_atomic_int_dec_and_test(&t->refs))
		return;
	for (i = 0; i < t->nroutes; i++) {
		g_free(t->routes[i].name);
		g_free(t->routes[i].host);
		g_free(t->routes[i].prefix);
	}
	for (i = 0; i < t->nservices; i++) {
		g_free(t->services[i].name);
		g_free(t->services[i].scaling);
	}
	for (i = 0; i < t->norganisations; i++)
		g_free(t->organisations[i].name);
	g_free(t->routes);
	g_free(t->services);
	g_free(t->organisations);
	g_hash_table_unref(t->keys);
	g_clear_pointer(&t->text, g_bytes_unref);
	g_free(t);
}

const struct route *
route_find(const struct route_table *t, const char *host, const char *path)
{
	size_t host_len = strcspn(host, ":"), path_len = strcspn(path, "?");
	const struct route *r;
	unsigned int i;
	size_t n;

	for (i = 0; i < t->nroutes; i++) {
		r = &t->routes[i];
		n = strlen(r->prefix);
		if (n > path_len || strncmp(r->prefix, path, n) != 0)
			continue;
		if (strlen(r->host) == host_len &&
		    g_ascii_strncasecmp(r->host, host, host_len) == 0)
			return r;
	}
	return NULL;
}

const struct route_organisation *
route_organisation_of(const struct route_table *t, const char *key)
{
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(t->keys, key));

	return n == 0 ? NULL : &t->organisations[n - 1];
}

const struct route_service *
route_service_find(const struct route_table *t, name_id id)
{
	unsigned int i;

	for (i = 0; i < t->nservices; i++) {
		if (t->services[i].id == id)
			return &t->services[i];
	}
	return NULL;
}

bool
route_has_service(const struct route *r, name_id service)
{
	unsigned int i;

	for (i = 0; i < r->nsplits; i++) {
		if (r->splits[i].service == service)
			return true;
	}
	return false;
}

name_id
route_service_draw(const struct route *r, uint32_t draw)
{
	uint64_t sum = 0, at;
	unsigned int i;

	for (i = 0; i < r->nsplits; i++)
		sum += r->splits[i].weight;
	if (sum == 0)
		return r->nsplits > 0 ? r->splits[0].service : 0;
	at = draw * sum >> 32;
	for (i = 0; at >= r->splits[i].weight; i++)
		at -= r->splits[i].weight;
	return r->splits[i].service;
}

bool
route_is_repeatable(const struct route *r)
{
	return r->kind == ROUTE_REPEATABLE ||
	       (r->kind == ROUTE_STREAM && r->resumable);
}
