/*
 * Expected durations of requests: without samples, after few samples, and when
 * the load changes.
 */

#include "duration.h"

#define TIMEOUT 12000

/* Without samples, the whole timeout of the caller may be needed. */
static void
test_unknown(void)
{
	struct duration d = { 0 };
	unsigned int i;

	g_assert_cmpint(duration_upper_estimate(&d, TIMEOUT), ==, TIMEOUT);
	for (i = 0; i < 7; i++)
		duration_add(&d, 10);
	g_assert_cmpint(duration_upper_estimate(&d, TIMEOUT), ==, TIMEOUT);
	g_assert_cmpint(duration_mean(&d, 0), ==, 0);
	duration_add(&d, 10);
	g_assert_cmpint(duration_upper_estimate(&d, TIMEOUT), <, TIMEOUT);
	g_assert_cmpint(duration_mean(&d, 0), ==, 10);
}

/*
 * Durations as of generated answers: most short, a few ten times as long.
 * Hardly any of the following requests may take longer than expected.
 */
static void
test_long_tail(void)
{
	g_autoptr(GRand) r = g_rand_new_with_seed(1);
	unsigned int longer = 0, i;
	struct duration d = { 0 };
	double u;
	msec took;

	for (i = 0; i < 20000; i++) {
		u = g_rand_double_range(r, 0.0001, 1);
		took = (msec)(400 * (1 / (0.25 + u)) + 3000 * u * u * u * u);
		if (i >= 100 && took > duration_upper_estimate(&d, TIMEOUT))
			longer++;
		duration_add(&d, took);
	}
	g_assert_cmpuint(longer, <, 20000 * 4 / 100);
}

/*
 * A stream of 2.4 s was cut off by a VM that had been stopped 5.1 s before it
 * took the request. The VM had started 11 s before, had seen 11 answers of the
 * kind, the first of them short, and expected 1.7 s: the first answer's part in
 * the estimate of the spread still had half its weight after ten more. After
 * few answers no more requests may exceed the expected duration than after
 * many.
 */
static void
test_few(void)
{
	g_autoptr(GRand) r = g_rand_new_with_seed(1);
	unsigned int longer = 0, start, i;
	struct duration d;
	msec took;

	for (start = 0; start < 2000; start++) {
		d = (struct duration){ 0 };
		for (i = 0; i < 16; i++) {
			took = g_rand_int_range(r, 4, 41) *
			       g_rand_int_range(r, 5, 61);
			if (i >= 8 &&
			    took > duration_upper_estimate(&d, TIMEOUT))
				longer++;
			duration_add(&d, took);
		}
	}
	g_test_message("%u of 16000 longer", longer);
	g_assert_cmpuint(longer, <, 16000 / 100);
}

/*
 * Servers become three times as slow: the estimate follows within 40 requests.
 */
static void
test_slower(void)
{
	struct duration d = { 0 };
	unsigned int i;

	for (i = 0; i < 200; i++)
		duration_add(&d, 1000 + i % 7 * 100);
	g_assert_cmpint(duration_upper_estimate(&d, TIMEOUT), <, 3000);
	for (i = 0; i < 40; i++)
		duration_add(&d, 3000 + i % 7 * 300);
	g_assert_cmpint(duration_upper_estimate(&d, TIMEOUT), >, 4800);
}

/*
 * Half of the requests end at their timeout. Those that were given up early
 * have no effect, those that were given up late raise the estimate.
 */
static void
test_given_up(void)
{
	struct duration d = { 0 };
	unsigned int i;

	for (i = 0; i < 100; i++) {
		duration_add(&d, 600);
		duration_add_lower_bound(&d, 100);
	}
	g_assert_cmpint(duration_upper_estimate(&d, TIMEOUT), <, 700);
	for (i = 0; i < 20; i++)
		duration_add_lower_bound(&d, 1500);
	g_assert_cmpint(duration_upper_estimate(&d, TIMEOUT), >, 2500);
}

/* Never longer than the caller's timeout. */
static void
test_bounded(void)
{
	struct duration d = { 0 };
	unsigned int i;

	for (i = 0; i < 50; i++)
		duration_add(&d, 1000000);
	g_assert_cmpint(duration_upper_estimate(&d, TIMEOUT), ==, TIMEOUT);
	g_assert_cmpint(duration_upper_estimate(&d, 0), ==, 0);
}

/* Guards against an estimate that forgets the few long requests of a kind. */
static void
test_longest(void)
{
	struct duration d = { 0 };
	unsigned int i;

	g_assert_cmpint(duration_longest_estimate(&d, TIMEOUT), ==, TIMEOUT);
	for (i = 0; i < 600; i++) {
		duration_add(&d, i % 50 == 20 ? 5000 : 300);
		if (i < 100)
			continue;
		g_assert_cmpint(
		    duration_longest_estimate(&d, TIMEOUT), >=, 5000);
		g_assert_cmpint(
		    duration_longest_estimate(&d, TIMEOUT), <, 6000);
	}
	g_assert_cmpint(duration_upper_estimate(&d, TIMEOUT), <, 5000);
	g_assert_cmpint(duration_longest_estimate(&d, 4000), ==, 4000);
	/* All are short from now on. */
	for (i = 0; i < 600; i++)
		duration_add(&d, 300);
	g_assert_cmpint(duration_longest_estimate(&d, TIMEOUT), <, 400);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/duration/unknown", test_unknown);
	g_test_add_func("/duration/long-tail", test_long_tail);
	g_test_add_func("/duration/few", test_few);
	g_test_add_func("/duration/slower", test_slower);
	g_test_add_func("/duration/given-up", test_given_up);
	g_test_add_func("/duration/bounded", test_bounded);
	g_test_add_func("/duration/longest", test_longest);
	return g_test_run();
}
