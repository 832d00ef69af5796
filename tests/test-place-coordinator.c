/*
 * Tests place-coordinate.c when a coordinator is cut off, stops or hands over
 * to another, in virtual time.
 */

#include "util-place.h"

#define SERVERS 18

static struct places ps;

/*
 * Guards against delays when the coordinator is cut off: after some
 * milliseconds the node decides by itself, and after a few timeouts it stops
 * polling the coordinator for a while.
 */
static void
test_coordinator_lost(void)
{
	struct place_request r[20], last;
	msec most = 0, started_at;
	unsigned int i, n;

	places_start(&ps, 8, SERVERS);
	n = places_coordinator_index(&ps);
	ps.nodes[n].isolated = true;
	n = (n + 1) % 8;
	ps.nodes[n].place.counters.asked = 0;
	for (i = 0; i < G_N_ELEMENTS(r); i++) {
		places_fill_request(&r[i], 0, 100);
		started_at = ps.now;
		place_submit(&ps.nodes[n].place, ps.now, &r[i]);
		places_run(&ps, 80);
		g_assert_cmpuint(ps.nodes[n].decided, ==, i + 1);
		most = MAX(most, ps.nodes[n].decided_at - started_at);
	}
	g_assert_cmpint(most, <=, 80);
	g_assert_cmpuint(ps.nodes[n].place.counters.asked, <, 12);
	/* The membership changes, and another node coordinates. */
	places_set_members(&ps);
	places_run(&ps, 1500);
	ps.nodes[n].place.counters.alone = 0;
	places_fill_request(&last, 0, 100);
	place_submit(&ps.nodes[n].place, ps.now, &last);
	places_run(&ps, 10);
	g_assert_cmpuint(ps.nodes[n].place.counters.alone, ==, 0);
	places_stop(&ps);
}

/*
 * Guards against a new coordinator that treats full servers as idle: the other
 * nodes must report their running requests to it.
 */
static void
test_handover(void)
{
	static struct place_request r[72];
	unsigned int i, lost, total = 0;
	struct server *v;

	places_start(&ps, 8, SERVERS);
	for (i = 0; i < G_N_ELEMENTS(r); i++) {
		places_fill_request(&r[i], 0, 1000);
		place_submit(&ps.nodes[i % 8].place, ps.now, &r[i]);
		places_run(&ps, 3);
	}
	for (lost = 0; lost < 8; lost++) {
		if (ps.nodes[lost].place.counters.coordinated > 0)
			break;
	}
	ps.nodes[lost].isolated = true;
	places_set_members(&ps);
	places_run(&ps, 10);
	for (i = 0; i < 8; i++) {
		if (i == lost)
			continue;
		RB_FOREACH (v, server_tree, &ps.nodes[i].servers.tree)
			total += v->all.running;
	}
	g_assert_cmpuint(total, ==, 72 - 9);
	places_stop(&ps);
}

/* Guards against counts that remain when nodes no longer renew them. */
static void
test_node_dies(void)
{
	struct place_request r[8];
	struct server *v;
	unsigned int i, total;

	places_start(&ps, 8, SERVERS);
	for (i = 0; i < 8; i++) {
		places_fill_request(&r[i], 0, 1000);
		place_submit(&ps.nodes[i].place, ps.now, &r[i]);
	}
	places_run(&ps, 10);
	for (i = 0; i < 8; i++)
		ps.nodes[i].isolated = true;
	places_run(&ps, 32000);
	for (i = total = 0; i < 8; i++) {
		RB_FOREACH (v, server_tree, &ps.nodes[i].servers.tree)
			total += v->all.running;
	}
	g_assert_cmpuint(total, ==, 0);
	places_stop(&ps);
}

/* The number of running requests of a route that a coordinator counts. */
static unsigned int
node_running_count(struct places_node *n, name_id route)
{
	struct mix *m;
	unsigned int i;

	RB_FOREACH (m, place_mixes, &n->place.all) {
		for (i = 0; i < m->nroutes; i++) {
			if (m->routes[i].id == route)
				return m->routes[i].running;
		}
	}
	return 0;
}

/*
 * Guards against wrong counts after a handover of running streams. The
 * successor of a coordinator that leaves receives the running streams, but did
 * not count them, since their prompts were already processed. When they ended,
 * it subtracted later requests instead, and so kept too few quiet servers for
 * the route with short pauses: half of its streams exceeded their pause, one in
 * seven before.
 */
static void
test_handover_of_streams(void)
{
	static struct place_request old[160], young[160];
	struct places_node *n;
	unsigned int i;

	places_start(&ps, 8, SERVERS);
	for (i = 0; i < G_N_ELEMENTS(old); i++) {
		places_fill_request(&old[i], 0, i % 2 == 0 ? 400 : 6000);
		old[i].wish.route = 1 + i % 2;
		old[i].wish.gap_target = i % 2 == 0 ? 300 : 1200;
		place_submit(&ps.nodes[i % 8].place, ps.now, &old[i]);
		places_run(&ps, 5);
		place_prompt_read(&ps.nodes[i % 8].place, ps.now, &old[i]);
	}
	n = places_coordinator(&ps);
	g_assert_cmpuint(node_running_count(n, 1), ==, 80);
	n->leaving = true;
	places_set_members(&ps);
	places_run(&ps, 5);
	n = places_coordinator(&ps);
	for (i = 0; i < G_N_ELEMENTS(young); i++) {
		places_fill_request(&young[i], 0, i % 2 == 0 ? 400 : 6000);
		young[i].wish.route = 1 + i % 2;
		young[i].wish.gap_target = i % 2 == 0 ? 300 : 1200;
		place_submit(&ps.nodes[i % 8].place, ps.now, &young[i]);
		places_run(&ps, 5);
		place_prompt_read(&ps.nodes[i % 8].place, ps.now, &young[i]);
		/* The number of running requests is the same as before. */
		if (i == 1)
			g_assert_cmpuint(node_running_count(n, 1), ==, 80);
		place_end(
		    &ps.nodes[i % 8].place, ps.now, &old[i], SERVER_ANSWERED);
	}
	places_run(&ps, 5);
	g_assert_cmpuint(node_running_count(n, 1), ==, 80);
	g_assert_cmpuint(node_running_count(n, 2), ==, 80);
	for (i = 0; i < G_N_ELEMENTS(young); i++)
		place_end(
		    &ps.nodes[i % 8].place, ps.now, &young[i], SERVER_ANSWERED);
	places_run(&ps, 5);
	g_assert_cmpuint(node_running_count(n, 1), ==, 0);
	places_stop(&ps);
}

/*
 * Guards against a new coordinator that forgets which server holds a prompt
 * when a request that it took over ends.
 */
static void
test_handover_of_prompts(void)
{
	struct place_request r;
	struct places_node *n;

	places_start(&ps, 8, SERVERS);
	places_fill_request(&r, 7, 3000);
	place_submit(&ps.nodes[0].place, ps.now, &r);
	places_run(&ps, 5);
	place_prompt_read(&ps.nodes[0].place, ps.now, &r);
	places_run(&ps, 5);
	places_coordinator(&ps)->leaving = true;
	places_set_members(&ps);
	places_run(&ps, 5);
	n = places_coordinator(&ps);
	g_assert_false(n->leaving);
	place_end(&ps.nodes[0].place, ps.now, &r, SERVER_ANSWERED);
	places_run(&ps, 5);
	g_assert_true(server_memory_has_read(&n->servers.all_memory, ps.now,
	    server_cache_id(servers_find(&n->servers, r.server)), 7,
	    SERVER_MEMORY_KEPT_MS));
	places_stop(&ps);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/place/coordinator-lost", test_coordinator_lost);
	g_test_add_func("/place/handover", test_handover);
	g_test_add_func("/place/node-dies", test_node_dies);
	g_test_add_func("/place/handover-of-streams", test_handover_of_streams);
	g_test_add_func("/place/handover-of-prompts", test_handover_of_prompts);
	return g_test_run();
}
