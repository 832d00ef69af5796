/*
 * How long callers' connections may be idle while the limit changes
 * (idle-limit.c).
 */

#include "idle-limit.h"

#define LIMIT 8000
#define SHORT 500
#define CHANGE_BOUND 2000
/* Until callers go by a limit that is in force. */
#define KNOWN 3000

/* A raised limit that the node does not know yet. */
static void
test_unknown_limit(void)
{
	struct idle_limit l;

	idle_limit_init(&l, SHORT, CHANGE_BOUND);
	g_assert_cmpint(idle_limit_end(&l, 100, 100), >=, 100 + SHORT);
	/* Raised elsewhere at 100 + SHORT - 1, known here a bound later. */
	g_assert_cmpint(
	    idle_limit_end(&l, 100, 100), >, 100 + SHORT - 1 + CHANGE_BOUND);
	idle_limit_set(&l, 100 + SHORT - 1 + CHANGE_BOUND, LIMIT);
	g_assert_cmpint(idle_limit_end(&l, 100 + SHORT + CHANGE_BOUND, 100), >=,
	    100 + LIMIT);
}

/* A lowered limit that callers do not know yet. */
static void
test_lowered(void)
{
	struct idle_limit l;

	idle_limit_init(&l, LIMIT, CHANGE_BOUND);
	idle_limit_set(&l, 1000, SHORT);
	g_assert_cmpint(idle_limit_end(&l, 1000, 1000), >=, 1000 + LIMIT);
	g_assert_cmpint(
	    idle_limit_end(&l, 1000 + KNOWN - 1, 1000), >=, 1000 + LIMIT);
	g_assert_cmpint(idle_limit_end(&l, 1000 + KNOWN, 1000 + KNOWN), ==,
	    1000 + KNOWN + SHORT + CHANGE_BOUND);
}

/* Lowered in steps: the first of the limits still holds for some callers. */
static void
test_lowered_in_steps(void)
{
	struct idle_limit l;

	idle_limit_init(&l, LIMIT, CHANGE_BOUND);
	idle_limit_set(&l, 1000, 2000);
	idle_limit_set(&l, 1500, SHORT);
	g_assert_cmpint(idle_limit_end(&l, 2000, 2000), >=, 2000 + LIMIT);
	/* The first has been unknown to nobody for long; the second has not. */
	idle_limit_set(&l, 1000 + KNOWN, 2000);
	idle_limit_set(&l, 1000 + 2 * KNOWN, SHORT);
	g_assert_cmpint(idle_limit_end(&l, 1000 + 3 * KNOWN, 1000 + 3 * KNOWN),
	    ==, 1000 + 3 * KNOWN + SHORT + CHANGE_BOUND);
}

/* Lowered and raised again: the middle one shortens nothing. */
static void
test_raised_again(void)
{
	struct idle_limit l;

	idle_limit_init(&l, LIMIT, CHANGE_BOUND);
	idle_limit_set(&l, 1000, SHORT);
	idle_limit_set(&l, 1200, 4000);
	g_assert_cmpint(idle_limit_end(&l, 1300, 1300), >=, 1300 + LIMIT);
	g_assert_cmpint(idle_limit_end(&l, 1000 + KNOWN, 1300), ==,
	    1300 + 4000 + CHANGE_BOUND);
}

/*
 * Random changes: no connection may end before any caller's four fifths of a
 * limit that the caller may go by, nor stay for ever.
 */
static void
test_random(void)
{
	enum {
		CHANGES = 40,
		SPAN = 700
	};
	g_autoptr(GRand) rand = g_rand_new_with_seed(58);
	msec limits[CHANGES], now, since, end, longest;
	struct idle_limit l;
	unsigned int round, i, j;

	for (round = 0; round < 500; round++) {
		for (i = 0; i < CHANGES; i++)
			limits[i] = g_rand_int_range(rand, 100, LIMIT);
		idle_limit_init(&l, limits[0], CHANGE_BOUND);
		for (i = 1; i < CHANGES; i++) {
			now = (msec)i * SPAN;
			idle_limit_set(&l, now, limits[i]);
			since = now - g_rand_int_range(rand, 0, SPAN);
			longest = limits[i];
			/* Change j was in force until change j + 1. */
			for (j = 0; j < i; j++) {
				if (now < (msec)(j + 1) * SPAN + KNOWN)
					longest = MAX(longest, limits[j]);
			}
			end = idle_limit_end(&l, now, since);
			g_assert_cmpint(end, >=, since + longest);
			g_assert_cmpint(end, <=, since + LIMIT + CHANGE_BOUND);
		}
		end = idle_limit_end(&l, now + KNOWN, now + KNOWN);
		g_assert_cmpint(
		    end, ==, now + KNOWN + limits[CHANGES - 1] + CHANGE_BOUND);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/idle-limit/unknown", test_unknown_limit);
	g_test_add_func("/idle-limit/lowered", test_lowered);
	g_test_add_func("/idle-limit/lowered-in-steps", test_lowered_in_steps);
	g_test_add_func("/idle-limit/raised-again", test_raised_again);
	g_test_add_func("/idle-limit/random", test_random);
	return g_test_run();
}
