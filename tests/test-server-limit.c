/*
 * Tests the limit on the queued prompt work ahead of a request, which is
 * learned from how many earlier requests were late.
 */

#include "server-limit.h"

static void
adjustments(struct server_limit *l, unsigned int in_time, unsigned int late)
{
	unsigned int i;

	for (i = 0; i < in_time + late; i++)
		server_limit_adjust(l, i % (in_time + late) < late, true);
}

/* Before any result, the limit of the last tier is a quarter of its target. */
static void
test_start(void)
{
	struct server_limit l = { 0 };

	g_assert_cmpint(server_limit_ms(&l, 1000, true), ==, 250);
	g_assert_cmpint(server_limit_ms(&l, 1000, false), ==, 1000);
}

/*
 * If all requests are in time, the limit rises to the whole target after about
 * a second of usual traffic, and never beyond it.
 */
static void
test_room(void)
{
	struct server_limit l = { 0 };

	adjustments(&l, 80, 0);
	g_assert_cmpint(server_limit_ms(&l, 1000, true), ==, 1000);
	adjustments(&l, 1000, 0);
	g_assert_cmpint(server_limit_ms(&l, 1000, true), ==, 1000);
}

/*
 * Servers on which prompt processing pauses running streams, so that all
 * admitted requests are late. A few late ones must lower the limit, but never
 * so far that nothing is admitted, since then the limit could not recover.
 */
static void
test_harm(void)
{
	struct server_limit l = { 0 };

	adjustments(&l, 80, 0);
	adjustments(&l, 0, 14);
	g_assert_cmpint(server_limit_ms(&l, 1000, true), <=, 125);
	adjustments(&l, 0, 1000);
	g_assert_cmpint(server_limit_ms(&l, 1000, true), >=, 100);
	/* More urgent requests keep their limit. */
	g_assert_cmpint(server_limit_ms(&l, 1000, false), ==, 1000);
	/* The limit recovers. */
	adjustments(&l, 100, 0);
	g_assert_cmpint(server_limit_ms(&l, 1000, true), ==, 1000);
}

/*
 * Guards against a limit that rises under low load. When every request in time
 * raised it, all requests of the first seconds of a later burst were admitted,
 * and nearly all of these streams were cut off at their deadline. Only requests
 * near the limit may raise it.
 */
static void
test_quiet_says_nothing(void)
{
	struct server_limit l = { 0 };
	unsigned int i;

	for (i = 0; i < 1000; i++)
		server_limit_adjust(&l, false, server_limit_is_near(20, 250));
	g_assert_cmpint(server_limit_ms(&l, 1000, true), ==, 250);
	g_assert_false(server_limit_is_near(125, 250));
	g_assert_true(server_limit_is_near(126, 250));
	g_assert_false(server_limit_is_near(1000, 0));
}

/* One late request in 30 does not lower the limit; one in four does. */
static void
test_balance(void)
{
	struct server_limit few = { 0 }, many = { 0 };
	unsigned int i;

	for (i = 0; i < 100; i++) {
		adjustments(&few, 29, 1);
		adjustments(&many, 3, 1);
	}
	g_assert_cmpint(server_limit_ms(&few, 1000, true), >=, 900);
	g_assert_cmpint(server_limit_ms(&many, 1000, true), <=, 200);
}

/* The limit is at least 1 ms even for the shortest target: 0 means no limit. */
static void
test_short(void)
{
	struct server_limit l = { 0 };

	adjustments(&l, 0, 100);
	g_assert_cmpint(server_limit_ms(&l, 1, true), ==, 1);
}

/*
 * Requests for which no coordinator answers are refused in the same proportion
 * as coordinators have refused others lately: none without answers or if the
 * last answer is old, and a single answer does not change the proportion much.
 */
static void
test_told(void)
{
	struct server_refusals t = { 0 };
	msec now = 100000;
	unsigned int i;

	g_assert_false(server_refusals_apply(&t, now, 0));
	/* Three of four answers are refusals, one answer each 20 ms. */
	for (i = 0; i < 400; i++, now += 20)
		server_refusals_record(&t, now, i % 4 != 0, 900, 800, 300);
	g_assert_true(server_refusals_apply(&t, now, 0.65));
	g_assert_false(server_refusals_apply(&t, now, 0.85));
	server_refusals_record(&t, now, false, 10, 5, 300);
	g_assert_true(server_refusals_apply(&t, now, 0.65));
	g_assert_cmpint(t.ahead, ==, 800);
	g_assert_cmpint(t.limit, ==, 300);
	g_assert_true(server_refusals_apply(&t, now + 2900, 0.65));
	g_assert_false(server_refusals_apply(&t, now + 3100, 0.65));
	/* After a pause, the first answer alone sets the proportion. */
	now += 10000;
	server_refusals_record(&t, now, false, 10, 5, 300);
	g_assert_false(server_refusals_apply(&t, now, 0));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/server-limit/start", test_start);
	g_test_add_func("/server-limit/room", test_room);
	g_test_add_func("/server-limit/harm", test_harm);
	g_test_add_func(
	    "/server-limit/quiet-says-nothing", test_quiet_says_nothing);
	g_test_add_func("/server-limit/balance", test_balance);
	g_test_add_func("/server-limit/short", test_short);
	g_test_add_func("/server-limit/told", test_told);
	return g_test_run();
}
