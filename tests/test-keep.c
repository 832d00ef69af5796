/*
 * Kept connections: how long, how many, and when they are proved.
 */

#include "keep.h"

/*
 * Guards against connections that are closed while their server would keep
 * them, and against a request that crosses the server's close.
 */
static void
test_idle_time(void)
{
	g_assert_cmpint(keep_idle_ms(10000, false), ==, 9500);
	g_assert_cmpint(keep_idle_ms(1000, false), ==, 500);
	g_assert_cmpint(keep_idle_ms(300, false), ==, 1);
	g_assert_cmpint(keep_idle_ms(0, false), ==, 3500);
	g_assert_cmpint(
	    keep_idle_ms(24 * 3600 * MSEC_SECOND, false), ==, 59500);
}

/* Guards against nodes that keep all connections of a server for themselves. */
static void
test_many_nodes(void)
{
	unsigned int limits[] = { 20, 100, 500, 1000 }, nodes, i;

	for (i = 0; i < G_N_ELEMENTS(limits); i++) {
		for (nodes = 0; nodes <= limits[i]; nodes++)
			g_assert_cmpuint(
			    keep_idle_most(limits[i], nodes) * MAX(nodes, 1),
			    <=, limits[i] / 2);
	}
	g_assert_cmpuint(keep_idle_most(600, 100), ==, 3);
	g_assert_cmpuint(keep_idle_most(100, 300), ==, 0);
	g_assert_cmpuint(keep_idle_most(0, 100), ==, 16);
	g_assert_cmpint(keep_idle_ms(10000, true), ==, 3500);
	g_assert_cmpint(keep_idle_ms(1000, true), ==, 500);
}

/*
 * Guards against a request that may run once and is lost on a connection that
 * died while it was idle.
 */
static void
test_proof(void)
{
	g_assert_false(keep_needs_proof(true, 0));
	g_assert_false(keep_needs_proof(true, KEEP_FRESH_MS - 1));
	g_assert_true(keep_needs_proof(true, KEEP_FRESH_MS));
	g_assert_false(keep_needs_proof(false, 5000));
}

/*
 * Guards against a request that is held for a path that never confirms, and
 * against long paths that are all given up before they can.
 */
static void
test_pauses(void)
{
	const msec paths[] = { 0, 1, 3, 20, 150 };
	msec waited, pause;
	unsigned int looks, i;

	for (i = 0; i < G_N_ELEMENTS(paths); i++) {
		for (waited = 0, looks = 0;
		     (pause = keep_proof_pause(waited, paths[i])) > 0; looks++)
			waited += pause;
		g_assert_cmpint(waited, ==,
		    MAX(KEEP_PROOF_MS, KEEP_PROOF_ROUND_TRIPS * paths[i]));
		g_assert_cmpuint(looks, <=, 8);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/keep/idle-time", test_idle_time);
	g_test_add_func("/keep/many-nodes", test_many_nodes);
	g_test_add_func("/keep/proof", test_proof);
	g_test_add_func("/keep/pauses", test_pauses);
	return g_test_run();
}
