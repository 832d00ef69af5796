/*
 * Tests fair-share.c: the factors of organisations' limits while room is short.
 */

#include "fair-share.h"

#include <string.h>

#define NOW 1000000
#define OTHERS 9
#define HOT 100

static struct fair_share shares;

/* All ask for 1,000 tokens, HOT for ten times that, and get this much of it. */
static void
shares_fill(unsigned int hot_admitted, unsigned int others_admitted)
{
	name_id i;

	memset(&shares, 0, sizeof shares);
	fair_share_ask(&shares, NOW, HOT, 10000);
	fair_share_admit(&shares, NOW, HOT, hot_admitted);
	for (i = 1; i <= OTHERS; i++) {
		fair_share_ask(&shares, NOW, i, 1000);
		fair_share_admit(&shares, NOW, i, others_admitted);
	}
	fair_share_set_short(&shares, NOW);
	g_assert_true(fair_share_applies(&shares, NOW));
}

/* Guards against a large load that gets as much of what it asks as others. */
static void
test_large(void)
{
	shares_fill(5000, 500);
	g_assert_cmpfloat(fair_share_factor(&shares, NOW, HOT), <, 0.5);
	g_assert_cmpfloat(fair_share_factor(&shares, NOW, 1), >, 1);
}

/* Guards against a large load that starves, or gets less than any other. */
static void
test_floor(void)
{
	/* Others have all of theirs: a third of its part is what it may get. */
	shares_fill(1000, 900);
	g_assert_cmpfloat(fair_share_factor(&shares, NOW, HOT), >, 1);
	/* Room for few: as much as each other one, and a third of its part. */
	shares_fill(100, 300);
	g_assert_cmpfloat(fair_share_factor(&shares, NOW, HOT), >, 1);
	g_assert_cmpfloat(fair_share_factor(&shares, NOW, 1), <, 1);
}

/* Guards against refusals by shares that divide nothing. */
static void
test_off(void)
{
	shares_fill(5000, 500);
	g_assert_true(fair_share_applies(&shares, NOW + 250));
	g_assert_false(fair_share_applies(&shares, NOW + 350));

	memset(&shares, 0, sizeof shares);
	fair_share_ask(&shares, NOW, HOT, 10000);
	fair_share_admit(&shares, NOW, HOT, 5000);
	fair_share_set_short(&shares, NOW);
	g_assert_false(fair_share_applies(&shares, NOW));
}

/*
 * Guards against an organisation that is cut down though all that was asked for
 * was admitted.
 */
static void
test_all_admitted(void)
{
	shares_fill(10000, 1000);
	g_assert_cmpfloat(fair_share_factor(&shares, NOW, HOT), >, 0.99);
	g_assert_cmpfloat(fair_share_factor(&shares, NOW, HOT), <, 1.01);
}

/* Guards against an old load that counts for ever. */
static void
test_decay(void)
{
	shares_fill(5000, 500);
	fair_share_set_short(&shares, NOW + 60000);
	g_assert_false(fair_share_applies(&shares, NOW + 60000));
}

/* Guards against a full table that loses the organisation with most load. */
static void
test_full(void)
{
	name_id i;

	shares_fill(5000, 500);
	for (i = 1000; i < 1000 + 4 * FAIR_SHARE_PLACES; i++)
		fair_share_ask(&shares, NOW, i, 10);
	fair_share_set_short(&shares, NOW + 200);
	g_assert_true(fair_share_applies(&shares, NOW + 200));
	g_assert_cmpfloat(fair_share_factor(&shares, NOW + 200, HOT), <, 0.5);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fair-share/large", test_large);
	g_test_add_func("/fair-share/floor", test_floor);
	g_test_add_func("/fair-share/off", test_off);
	g_test_add_func("/fair-share/all-admitted", test_all_admitted);
	g_test_add_func("/fair-share/decay", test_decay);
	g_test_add_func("/fair-share/full", test_full);
	return g_test_run();
}
