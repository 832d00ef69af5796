/*
 * Tests the record of requests that return after a refusal.
 */

#include "returns.h"

static struct returns table;

static void
test_once(void)
{
	returns_note(&table, 1000, 77);
	g_assert_true(returns_expected(&table, 1500, 77));
	g_assert_false(returns_expected(&table, 1500, 78));
	returns_remove(&table, 77);
	g_assert_false(returns_expected(&table, 1501, 77));
}

/* Guards against a request that is preferred long after its caller gave up. */
static void
test_old(void)
{
	returns_note(&table, 1000, 77);
	g_assert_true(returns_expected(&table, 11000, 77));
	g_assert_false(returns_expected(&table, 11001, 77));
}

/* Guards against requests without an identity that all count as one. */
static void
test_unknown(void)
{
	returns_note(&table, 1000, 0);
	g_assert_false(returns_expected(&table, 1000, 0));
}

/* Of two with one index the later counts; the other is new again. */
static void
test_collision(void)
{
	returns_note(&table, 1000, 5);
	returns_note(&table, 1000, 5 + RETURNS_PLACES);
	g_assert_false(returns_expected(&table, 1000, 5));
	returns_remove(&table, 5);
	g_assert_true(returns_expected(&table, 1000, 5 + RETURNS_PLACES));
}

/* Guards against callers that gain by coming back at once, again and again. */
static void
test_too_soon(void)
{
	returns_note(&table, 1000, 9);
	g_assert_true(returns_too_soon(&table, 1001, 9));
	returns_note(&table, 1150, 9);
	g_assert_true(returns_too_soon(&table, 1300, 9));
	g_assert_false(returns_too_soon(&table, 1350, 9));
	g_assert_false(returns_too_soon(&table, 1300, 10));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/returns/once", test_once);
	g_test_add_func("/returns/old", test_old);
	g_test_add_func("/returns/unknown", test_unknown);
	g_test_add_func("/returns/collision", test_collision);
	g_test_add_func("/returns/too-soon", test_too_soon);
	return g_test_run();
}
