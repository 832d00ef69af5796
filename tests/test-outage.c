/*
 * Tests of outage.c: which spans count as an outage of the platform for all
 * nodes.
 */

#include "outage.h"

#include <glib.h>

static void
serve_until(struct outage *o, msec from, msec to, msec every)
{
	for (; from <= to; from += every)
		outage_served(o, from);
}

/* Guards against a failed call, or a late one, that counts as an outage. */
static void
test_failed_calls(void)
{
	struct outage o;

	outage_init(&o);
	serve_until(&o, 0, 10000, OUTAGE_MIN_MS - 1);
	g_assert_false(outage_is_on(&o, 10000));
	g_assert_cmpint(outage_hold_end(&o), ==, OUTAGE_HOLD_MS);
}

/* Guards against the loss of servers whose entries expire in an outage. */
static void
test_away_for_all(void)
{
	struct outage o;

	outage_init(&o);
	serve_until(&o, 0, 5000, 500);
	g_assert_false(outage_is_on(&o, 5000 + OUTAGE_MIN_MS - 1));
	g_assert_true(outage_is_on(&o, 5000 + OUTAGE_MIN_MS));
	outage_served(&o, 7500);
	g_assert_false(outage_is_on(&o, 7500));
	g_assert_cmpint(outage_hold_end(&o), ==, 7500 + OUTAGE_HOLD_MS);
	/* What is served and fails after it does not move the end. */
	serve_until(&o, 7600, 9500, 900);
	g_assert_cmpint(outage_hold_end(&o), ==, 7500 + OUTAGE_HOLD_MS);
}

/*
 * Guards against a node that is back in touch and keeps servers that left, as
 * it counts its own absence as an outage for all.
 */
static void
test_away_for_one(void)
{
	struct outage o;

	outage_init(&o);
	serve_until(&o, 0, 5000, 500);
	outage_served(&o, 18800);
	g_assert_cmpint(outage_hold_end(&o), ==, 18800 + OUTAGE_HOLD_MS);
	outage_told(&o, 1000, 18700);
	g_assert_cmpint(outage_hold_end(&o), <=, 1000 + OUTAGE_HOLD_MS);
	/* The same if another node is heard first. */
	serve_until(&o, 18900, 20000, 500);
	g_assert_true(outage_is_on(&o, 30000));
	outage_told(&o, 1000, 29900);
	g_assert_false(outage_is_on(&o, 30000));
	g_assert_cmpint(outage_hold_end(&o), <, 20000);
}

/* Guards against a hold that begins with this node's own first call. */
static void
test_end_told(void)
{
	struct outage o;

	outage_init(&o);
	serve_until(&o, 0, 5000, 500);
	outage_served(&o, 9800);
	outage_told(&o, 8000, 9700);
	g_assert_cmpint(outage_hold_end(&o), ==, 8000 + OUTAGE_HOLD_MS);
}

/* Guards against a node that was refused as well and is believed. */
static void
test_told_by_refused(void)
{
	struct outage o;

	outage_init(&o);
	serve_until(&o, 0, 5000, 500);
	outage_served(&o, 8000);
	outage_told(&o, 0, 5200);
	g_assert_cmpint(outage_hold_end(&o), ==, 8000 + OUTAGE_HOLD_MS);
	outage_told(&o, 9000, 8000);
	g_assert_cmpint(outage_hold_end(&o), ==, 8000 + OUTAGE_HOLD_MS);
}

/* A node that starts learns what the others know. */
static void
test_start(void)
{
	struct outage o;

	outage_init(&o);
	g_assert_true(outage_is_on(&o, 0));
	g_assert_cmpint(outage_hold_end(&o), ==, 0);
	outage_served(&o, 50000);
	g_assert_cmpint(outage_hold_end(&o), ==, 50000 + OUTAGE_HOLD_MS);
	outage_told(&o, 100, 49900);
	g_assert_cmpint(outage_hold_end(&o), ==, 100 + OUTAGE_HOLD_MS);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/outage/failed-calls", test_failed_calls);
	g_test_add_func("/outage/away-for-all", test_away_for_all);
	g_test_add_func("/outage/away-for-one", test_away_for_one);
	g_test_add_func("/outage/end-told", test_end_told);
	g_test_add_func("/outage/told-by-refused", test_told_by_refused);
	g_test_add_func("/outage/start", test_start);
	return g_test_run();
}
