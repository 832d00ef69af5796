/*
 * Tests routing tables: the longest prefix wins, a key belongs to one
 * organisation, the weights of a split are kept, and ranks at a server follow
 * the order of priorities.
 */

#include "route.h"

static struct route_table *
table_new(void)
{
	static const struct {
		const char *host, *prefix, *service;
		unsigned int priority;
	} routes[] = {
		{ "a.example", "/", "all", 2 },
		{ "a.example", "/x/", "x", 1 },
		{ "a.example", "/x/y/", "y", 0 },
		{ "b.example", "/x/", "b", 2 },
	};
	struct route_table *t = route_table_new();
	struct route *r;
	size_t i;

	t->version = 7;
	for (i = 0; i < G_N_ELEMENTS(routes); i++) {
		r = route_table_add_route(t);
		r->name = g_strdup(routes[i].service);
		r->host = g_strdup(routes[i].host);
		r->prefix = g_strdup(routes[i].prefix);
		r->priority = routes[i].priority;
		r->splits[0].service = name_hash(routes[i].service);
		r->splits[0].weight = 1;
		r->nsplits = 1;
	}
	route_table_add_organisation(t, "first")->has_priority = true;
	route_table_add_key(t, "k1");
	route_table_add_key(t, "k2");
	route_table_add_organisation(t, "second")->has_priority = true;
	t->organisations[1].priority = 1;
	route_table_add_key(t, "k3");
	route_table_complete(t);
	return t;
}

static void
check_route(
    struct route_table *t, const char *host, const char *path, const char *name)
{
	const struct route *r = route_find(t, host, path);

	g_assert_cmpstr(r != NULL ? r->name : NULL, ==, name);
}

static void
test_find(void)
{
	struct route_table *t = table_new();

	check_route(t, "a.example", "/x/y/z", "y");
	check_route(t, "A.Example:8080", "/x/y/?q=/", "y");
	check_route(t, "a.example", "/x/z", "x");
	check_route(t, "a.example", "/x", "all");
	check_route(t, "a.example", "/other?/x/", "all");
	check_route(t, "b.example", "/x/", "b");
	check_route(t, "b.example", "/", NULL);
	check_route(t, "c.example", "/", NULL);
	check_route(t, "a.example.com", "/", NULL);
	route_table_drop(t);
}

static void
test_keys(void)
{
	struct route_table *t = table_new();

	g_assert_cmpstr(route_organisation_of(t, "k2")->name, ==, "first");
	g_assert_cmpstr(route_organisation_of(t, "k3")->name, ==, "second");
	g_assert_null(route_organisation_of(t, "k4"));
	g_assert_null(route_organisation_of(t, ""));
	route_table_drop(t);
}

static void
test_split(void)
{
	struct route r = { .nsplits = 3,
		.splits = { { 1, 90 }, { 2, 10 }, { 3, 0 } } };
	unsigned int n[4] = { 0 }, i;

	for (i = 0; i < 1000; i++)
		n[route_service_draw(&r, (uint32_t)(i * 4294967ULL))]++;
	g_assert_cmpuint(n[1], >=, 899);
	g_assert_cmpuint(n[1], <=, 901);
	g_assert_cmpuint(n[1] + n[2], ==, 1000);
	g_assert_cmpuint(route_service_draw(&r, UINT32_MAX), ==, 2);
	g_assert_true(route_has_service(&r, 3));
	g_assert_false(route_has_service(&r, 4));
}

/*
 * Guards against the preemption of urgent streams. A server short of memory
 * preempts the least urgent streams first, by the rank that the node sends.
 * With ranks in another order than the routes' priorities, an urgent stream was
 * preempted while less urgent ones ran on.
 */
static void
test_rank(void)
{
	struct route_table *t = table_new();
	const struct route_organisation *first = &t->organisations[0];
	const struct route_organisation *second = &t->organisations[1];
	const struct route *urgent = route_find(t, "a.example", "/x/y/");
	const struct route *usual = route_find(t, "a.example", "/x/");
	unsigned int a = route_rank(t, urgent, first);
	unsigned int b = route_rank(t, urgent, second);
	unsigned int c = route_rank(t, usual, first);

	g_assert_cmpuint(a, <, b);
	g_assert_cmpuint(b, <, c);
	g_assert_cmpuint(route_rank(t, urgent, NULL), <, c);
	g_assert_cmpuint(
	    route_rank(t, route_find(t, "b.example", "/x/"), second), <,
	    ROUTE_RANKS);
	route_table_drop(t);
}

/* With more pairs of priorities than ranks, neighbours share a rank. */
static void
test_rank_many(void)
{
	struct route_table *t = route_table_new();
	unsigned int i, j, rank, last = 0;
	struct route_organisation *o;

	for (i = 0; i < 8; i++) {
		route_table_add_route(t)->priority = i;
		o = route_table_add_organisation(t, "o");
		o->has_priority = true;
		o->priority = i;
	}
	for (i = 0; i < 8; i++) {
		t->routes[i].host = g_strdup("h");
		t->routes[i].prefix = g_strdup("/");
	}
	route_table_complete(t);
	for (i = 0; i < 8; i++) {
		for (j = 0; j < 8; j++) {
			rank =
			    route_rank(t, &t->routes[i], &t->organisations[j]);
			g_assert_cmpuint(rank, >=, last);
			g_assert_cmpuint(rank, <, ROUTE_RANKS);
			last = rank;
		}
	}
	route_table_drop(t);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/find", test_find);
	g_test_add_func("/route/keys", test_keys);
	g_test_add_func("/route/split", test_split);
	g_test_add_func("/route/rank", test_rank);
	g_test_add_func("/route/rank-many", test_rank_many);
	return g_test_run();
}
