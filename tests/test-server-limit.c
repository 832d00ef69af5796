/*
 * How much may be read before a request, learned from how others fared.
 */

#include "server-limit.h"

static void
fared(struct server_limit *l, unsigned int in_time, unsigned int late)
{
	unsigned int i;

	for (i = 0; i < in_time + late; i++)
		server_limit_learn(l, i % (in_time + late) < late, true);
}

/* Before anything is known: a quarter of the target, for the last tier. */
static void
test_start(void)
{
	struct server_limit l = { 0 };

	g_assert_cmpint(server_limit_ms(&l, 1000, true), ==, 250);
	g_assert_cmpint(server_limit_ms(&l, 1000, false), ==, 1000);
}

/*
 * Servers that do all in time: requests are let in up to their whole target
 * after a second of usual traffic, and never beyond it.
 */
static void
test_room(void)
{
	struct server_limit l = { 0 };

	fared(&l, 80, 0);
	g_assert_cmpint(server_limit_ms(&l, 1000, true), ==, 1000);
	fared(&l, 1000, 0);
	g_assert_cmpint(server_limit_ms(&l, 1000, true), ==, 1000);
}

/*
 * Servers whose streams pause beside the reading: all that are let in end
 * late. Some late ones are enough to let fewer in, and it never ends with
 * nobody let in, as then nothing would be learned any more.
 */
static void
test_harm(void)
{
	struct server_limit l = { 0 };

	fared(&l, 80, 0);
	fared(&l, 0, 14);
	g_assert_cmpint(server_limit_ms(&l, 1000, true), <=, 125);
	fared(&l, 0, 1000);
	g_assert_cmpint(server_limit_ms(&l, 1000, true), >=, 100);
	/* The more urgent are not turned away for it. */
	g_assert_cmpint(server_limit_ms(&l, 1000, false), ==, 1000);
	/* It passes. */
	fared(&l, 100, 0);
	g_assert_cmpint(server_limit_ms(&l, 1000, true), ==, 1000);
}

/*
 * A quiet morning, then all come at once. When the limit had risen with every
 * request that was in time, the burst's first seconds were let in whole, and
 * nearly all of these streams were cut off at their deadline.
 */
static void
test_quiet_says_nothing(void)
{
	struct server_limit l = { 0 };
	unsigned int i;

	for (i = 0; i < 1000; i++)
		server_limit_learn(&l, false, server_limit_is_near(20, 250));
	g_assert_cmpint(server_limit_ms(&l, 1000, true), ==, 250);
	g_assert_false(server_limit_is_near(125, 250));
	g_assert_true(server_limit_is_near(126, 250));
	g_assert_false(server_limit_is_near(1000, 0));
}

/* One late in thirty is no reason; one late in four is. */
static void
test_balance(void)
{
	struct server_limit few = { 0 }, many = { 0 };
	unsigned int i;

	for (i = 0; i < 100; i++) {
		fared(&few, 29, 1);
		fared(&many, 3, 1);
	}
	g_assert_cmpint(server_limit_ms(&few, 1000, true), >=, 900);
	g_assert_cmpint(server_limit_ms(&many, 1000, true), <=, 200);
}

/* No target is so short that nothing may be ahead: 0 would mean "any". */
static void
test_short(void)
{
	struct server_limit l = { 0 };

	fared(&l, 0, 100);
	g_assert_cmpint(server_limit_ms(&l, 1, true), ==, 1);
}

/*
 * What coordinators did a moment ago is done to as large a part of those of
 * whom none says anything: to nobody when nothing was told, nor when that is
 * long ago, and no single answer turns the rest.
 */
static void
test_told(void)
{
	struct server_told t = { 0 };
	msec now = 100000;
	unsigned int i;

	g_assert_false(server_told_away(&t, now, 0));
	/* Three of four, each 20 ms. */
	for (i = 0; i < 400; i++, now += 20)
		server_told_note(&t, now, i % 4 != 0, 900, 800, 300);
	g_assert_true(server_told_away(&t, now, 0.65));
	g_assert_false(server_told_away(&t, now, 0.85));
	server_told_note(&t, now, false, 10, 5, 300);
	g_assert_true(server_told_away(&t, now, 0.65));
	g_assert_cmpint(t.ahead, ==, 800);
	g_assert_cmpint(t.limit, ==, 300);
	g_assert_true(server_told_away(&t, now + 2900, 0.65));
	g_assert_false(server_told_away(&t, now + 3100, 0.65));
	/* After a pause the first answer says it all. */
	now += 10000;
	server_told_note(&t, now, false, 10, 5, 300);
	g_assert_false(server_told_away(&t, now, 0));
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
