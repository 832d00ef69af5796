/*
 * The limit on what all requests hold together.
 */

#include "memory-budget.h"

#include <stdlib.h>

#define MEMORY (200 * 1000 * 1000)
#define BUDGET (MEMORY / 2)
#define PERCENT (BUDGET / 100)

/* A node that holds much goes on as if it held little, or the reverse. */
static void
test_levels(void)
{
	struct memory_budget m;

	memory_budget_init(&m, MEMORY);
	g_assert_cmpint(memory_budget_set(&m, 0), ==, MEMORY_NORMAL);
	g_assert_cmpint(memory_budget_set(&m, 29 * PERCENT), ==, MEMORY_NORMAL);
	g_assert_cmpint(memory_budget_set(&m, 30 * PERCENT), ==, MEMORY_HIGH);
	g_assert_cmpint(
	    memory_budget_set(&m, 75 * PERCENT), ==, MEMORY_CRITICAL);
	g_assert_cmpint(memory_budget_set(&m, 90 * PERCENT), ==, MEMORY_FULL);
	g_assert_cmpint(
	    memory_budget_set(&m, 130 * PERCENT), ==, MEMORY_EXCEEDED);
	g_assert_cmpint(memory_budget_set(&m, 0), ==, MEMORY_NORMAL);
	g_assert_cmpuint(m.most, ==, 130 * PERCENT);
}

/* A node near a mark takes requests and refuses them in quick turn. */
static void
test_hysteresis(void)
{
	struct memory_budget m;

	memory_budget_init(&m, MEMORY);
	memory_budget_set(&m, 91 * PERCENT);
	g_assert_cmpint(memory_budget_set(&m, 81 * PERCENT), ==, MEMORY_FULL);
	g_assert_cmpint(
	    memory_budget_set(&m, 79 * PERCENT), ==, MEMORY_CRITICAL);
	g_assert_cmpint(
	    memory_budget_set(&m, 66 * PERCENT), ==, MEMORY_CRITICAL);
	g_assert_cmpint(memory_budget_set(&m, 64 * PERCENT), ==, MEMORY_HIGH);
	g_assert_cmpint(memory_budget_set(&m, 19 * PERCENT), ==, MEMORY_NORMAL);
}

/* So many answers are read on that they exceed the budget. */
static void
test_read_on(void)
{
	struct memory_budget m;

	memory_budget_init(&m, MEMORY);
	memory_budget_set(&m, 55 * PERCENT);
	g_assert_cmpuint(memory_budget_read_on(&m, 5 * PERCENT), ==, 4);
	g_assert_cmpuint(memory_budget_read_on(&m, 30 * PERCENT), ==, 0);
	memory_budget_set(&m, 95 * PERCENT);
	g_assert_cmpuint(memory_budget_read_on(&m, PERCENT), ==, 0);
}

/* A request that progresses is ended before one that rests. */
static void
test_end_order(void)
{
	struct memory_holder h[] = { { 100, 1, NULL }, { 900, 50, NULL },
		{ 1000, 60, NULL }, { 600, 40, NULL }, { 400, 2, NULL } };

	qsort(h, 5, sizeof *h, memory_holder_compare_end);
	g_assert_cmpuint(h[0].bytes, ==, 600);
	g_assert_cmpuint(h[1].bytes, ==, 900);
	g_assert_cmpuint(h[2].bytes, ==, 1000);
	g_assert_cmpuint(h[3].bytes, ==, 400);
	g_assert_cmpuint(h[4].bytes, ==, 100);
}

/* So little is freed that the level stays, or more than that takes. */
static void
test_excess(void)
{
	struct memory_budget m;

	memory_budget_init(&m, MEMORY);
	memory_budget_set(&m, 80 * PERCENT);
	g_assert_cmpuint(
	    memory_budget_excess(&m, MEMORY_CRITICAL), ==, 15 * PERCENT);
	memory_budget_set(
	    &m, 80 * PERCENT - memory_budget_excess(&m, MEMORY_CRITICAL) - 1);
	g_assert_cmpint(m.level, ==, MEMORY_HIGH);
	g_assert_cmpuint(memory_budget_excess(&m, MEMORY_CRITICAL), ==, 0);
}

/* An answer that had its turn is read before one that had none. */
static void
test_order(void)
{
	struct memory_holder h[] = { { 900, 7, NULL }, { 100, 0, NULL },
		{ 200, 0, NULL }, { 300, -1, NULL } };

	qsort(h, 4, sizeof *h, memory_holder_compare);
	g_assert_cmpuint(h[0].bytes, ==, 300);
	g_assert_cmpuint(h[1].bytes, ==, 200);
	g_assert_cmpuint(h[2].bytes, ==, 100);
	g_assert_cmpuint(h[3].bytes, ==, 900);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/memory-budget/levels", test_levels);
	g_test_add_func("/memory-budget/hysteresis", test_hysteresis);
	g_test_add_func("/memory-budget/read-on", test_read_on);
	g_test_add_func("/memory-budget/end-order", test_end_order);
	g_test_add_func("/memory-budget/excess", test_excess);
	g_test_add_func("/memory-budget/order", test_order);
	return g_test_run();
}
