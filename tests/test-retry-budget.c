/*
 * Tests the retry budget that all nodes share: over any window the retries of
 * all nodes together stay within it, also while the older nodes do not count
 * nodes that have just joined.
 */

#include "retry-budget.h"

#include <string.h>

#define WINDOW ((msec)10000)

static const struct retry_budget_config config = { WINDOW, 200, 56 };

#define NODES_MAX 16
#define STEPS 6000
#define STEP_MS 10

/*
 * Guards against more retries than the budget allows: nodes retry as often as
 * they may, and the number of nodes doubles 15 s before the old nodes count the
 * new ones.
 */
static void
test_sum(void)
{
	struct retry_budget b[NODES_MAX];
	static unsigned int retried[STEPS], requested[STEPS];
	unsigned int i, t, live, retries, requests, counted_nodes, j;
	msec now;

	for (i = 0; i < NODES_MAX; i++)
		retry_budget_init(&b[i], 1, i < 8 ? -WINDOW : 30000);
	for (t = 0; t < STEPS; t++) {
		now = (msec)t * STEP_MS;
		live = now < 30000 ? 8 : 16;
		counted_nodes = now < 45000 ? 8 : 16;
		for (i = 0; i < live; i++) {
			if ((t + i) % 10 == 0) {
				retry_budget_request(&b[i], &config, now);
				requested[t]++;
			}
			retried[t] += retry_budget_take(
			    &b[i], &config, now, i < 8 ? counted_nodes : 16);
		}
		/* The window that ends at this step. */
		retries = requests = 0;
		for (j = t >= WINDOW / STEP_MS ? t - WINDOW / STEP_MS + 1 : 0;
		     j <= t; j++) {
			retries += retried[j];
			requests += requested[j];
		}
		g_assert_cmpuint(retries, <=, requests * 200 / 1000 + 56);
	}
	/* The budget must not be far too strict either. */
	g_assert_cmpuint(retries, >, requests * 150 / 1000);
}

/*
 * Guards against a restarted node that exceeds the budget: it does not know the
 * retries that it used before, so it must not retry for a whole window.
 */
static void
test_start(void)
{
	struct retry_budget b;

	retry_budget_init(&b, 1, 1000);
	g_assert_false(retry_budget_take(&b, &config, 1000, 8));
	g_assert_false(retry_budget_take(&b, &config, 10999, 8));
	g_assert_true(retry_budget_take(&b, &config, 11000, 8));
	g_assert_cmpuint(b.denied, ==, 2);
}

static void
test_long_silence(void)
{
	struct retry_budget b;
	unsigned int i;

	retry_budget_init(&b, 1, -WINDOW);
	for (i = 0; i < 100; i++)
		retry_budget_request(&b, &config, 0);
	g_assert_cmpuint(retry_budget_left(&b, &config, 10, 56), ==, 16);
	g_assert_cmpuint(
	    retry_budget_left(&b, &config, 100 * WINDOW, 56), ==, 0);
}

/* Guards against retries that are lost to attempts that reached no server. */
static void
test_give_back(void)
{
	struct retry_budget b;
	unsigned int i;

	retry_budget_init(&b, 1, -WINDOW);
	for (i = 0; i < 50; i++)
		retry_budget_request(&b, &config, 0);
	g_assert_cmpuint(retry_budget_left(&b, &config, 0, 56), ==, 8);
	for (i = 0; i < 8; i++)
		g_assert_true(retry_budget_take(&b, &config, 0, 56));
	g_assert_false(retry_budget_take(&b, &config, 0, 56));
	/* Taken in an earlier slice. */
	retry_budget_give_back(&b, &config, WINDOW / 2);
	g_assert_cmpuint(retry_budget_left(&b, &config, WINDOW / 2, 56), ==, 1);
	/* It has left the window. */
	retry_budget_give_back(&b, &config, 2 * WINDOW);
	g_assert_cmpuint(retry_budget_left(&b, &config, 2 * WINDOW, 56), ==, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/retry-budget/sum", test_sum);
	g_test_add_func("/retry-budget/start", test_start);
	g_test_add_func("/retry-budget/long-silence", test_long_silence);
	g_test_add_func("/retry-budget/give-back", test_give_back);
	return g_test_run();
}
