/*
 * A store that is restored from an older copy of itself (a new era): which of
 * its answers count, and when its contents are the newest again.
 */

#include "era.h"

#define REWRITE 5000

/* Older platforms send no era: it never changes. */
static void
test_without(void)
{
	struct era a;

	era_init(&a);
	g_assert_cmpint(era_check_answer(&a, 10, 0), ==, ERA_CURRENT);
	g_assert_cmpint(era_check_answer(&a, 20, 0), ==, ERA_CURRENT);
	g_assert_true(era_is_settled(&a, 20, REWRITE));
	g_assert_cmpuint(era_mix_mark(&a, 77), ==, 77);
	g_assert_cmpuint(era_age(&a, 30), ==, ERA_AGE_UNKNOWN);
	g_assert_cmpuint(era_token(0, 41), ==, 42);
}

/* The first era received is no change; it may have just begun. */
static void
test_first(void)
{
	struct era a;

	era_init(&a);
	g_assert_cmpint(era_check_answer(&a, 10, 7), ==, ERA_CURRENT);
	g_assert_cmpuint(a.number, ==, 7);
	g_assert_false(era_is_settled(&a, 10, REWRITE));
	g_assert_false(era_is_settled(&a, 10 + REWRITE - 1, REWRITE));
	g_assert_true(era_is_settled(&a, 10 + REWRITE, REWRITE));
	g_assert_cmpuint(a.counters.changes, ==, 0);
}

/*
 * Guards against an answer from before the change that is read after it and
 * proves old state.
 */
static void
test_in_flight(void)
{
	struct era a;

	era_init(&a);
	era_check_answer(&a, 10, 7);
	g_assert_cmpint(era_check_answer(&a, 20, 8), ==, ERA_INCREASED);
	g_assert_cmpint(era_check_answer(&a, 21, 8), ==, ERA_CURRENT);
	g_assert_cmpint(era_check_answer(&a, 22, 7), ==, ERA_OUTDATED);
	g_assert_cmpuint(a.number, ==, 8);
	g_assert_cmpuint(a.counters.old, ==, 1);
	/* Two changes in a row, and several while this node was cut off. */
	g_assert_cmpint(era_check_answer(&a, 30, 11), ==, ERA_INCREASED);
	g_assert_cmpuint(a.counters.changes, ==, 2);
}

/* Answers without an era, or with an impossible one, change nothing. */
static void
test_bad(void)
{
	struct era a;

	era_init(&a);
	era_check_answer(&a, 10, 7);
	g_assert_cmpint(era_check_answer(&a, 20, 0), ==, ERA_OUTDATED);
	g_assert_cmpint(
	    era_check_answer(&a, 20, ERA_MAX + 1), ==, ERA_OUTDATED);
	g_assert_cmpint(era_check_answer(&a, 20, UINT64_MAX), ==, ERA_OUTDATED);
	g_assert_cmpuint(a.counters.without_era, ==, 3);
	g_assert_cmpint(era_check_answer(&a, 30, 7), ==, ERA_CURRENT);
}

/* A platform that begins to send eras: records read before may be lost. */
static void
test_begins_to_name(void)
{
	struct era a;

	era_init(&a);
	era_check_answer(&a, 10, 0);
	g_assert_cmpint(era_check_answer(&a, 20, 1), ==, ERA_INCREASED);
}

/*
 * Guards against a key that works again although it was revoked, in the seconds
 * lost from the copy.
 */
static void
test_settled(void)
{
	struct era a;

	era_init(&a);
	era_check_answer(&a, 10, 7);
	era_check_answer(&a, 1000, 8);
	g_assert_false(era_is_settled(&a, 1000, REWRITE));
	g_assert_false(era_is_settled(&a, 1000 + REWRITE - 1, REWRITE));
	g_assert_true(era_is_settled(&a, 1000 + REWRITE, REWRITE));
}

/*
 * Guards against a node that starts after the change and takes the copy for the
 * newest state.
 */
static void
test_told(void)
{
	struct era a;

	era_init(&a);
	era_check_answer(&a, 9000, 8);
	era_set_min_age(&a, 9000, 7, 100);
	era_set_min_age(&a, 9000, 8, ERA_AGE_UNKNOWN);
	g_assert_false(era_is_settled(&a, 9000, REWRITE));
	era_set_min_age(&a, 9000, 8, 1500);
	g_assert_cmpuint(era_age(&a, 9000), ==, 1500);
	g_assert_false(era_is_settled(&a, 9000, REWRITE));
	g_assert_true(era_is_settled(&a, 7500 + REWRITE, REWRITE));
	/*
	 * A node that learned of the change later does not make it more recent.
	 */
	era_set_min_age(&a, 9000, 8, 300);
	g_assert_cmpuint(era_age(&a, 9000), ==, 1500);
}

/* Guards against a message of one era that is accepted as proof in another. */
static void
test_marks(void)
{
	struct era a, b;

	era_init(&a);
	era_init(&b);
	era_check_answer(&a, 10, 7);
	era_check_answer(&b, 10, 7);
	g_assert_cmpuint(era_mix_mark(&a, 5), ==, era_mix_mark(&b, 5));
	era_check_answer(&b, 20, 8);
	g_assert_cmpuint(era_mix_mark(&a, 5), !=, era_mix_mark(&b, 5));
}

/*
 * Guards against an offset that is assigned again and gives two holders one
 * token.
 */
static void
test_tokens(void)
{
	uint64_t old = era_token(7, 900), new = era_token(8, 3);

	g_assert_cmpuint(new, >, old);
	g_assert_cmpuint(era_token_era(new), ==, 8);
	g_assert_cmpuint(era_token_end(new), ==, 4);
	g_assert_cmpuint(era_token(8, 900), !=, old);
	g_assert_cmpuint(
	    era_token(ERA_MAX, UINT32_MAX - 1), <, (uint64_t)1 << 53);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/era/without", test_without);
	g_test_add_func("/era/first", test_first);
	g_test_add_func("/era/in-flight", test_in_flight);
	g_test_add_func("/era/bad", test_bad);
	g_test_add_func("/era/begins-to-name", test_begins_to_name);
	g_test_add_func("/era/settled", test_settled);
	g_test_add_func("/era/told", test_told);
	g_test_add_func("/era/marks", test_marks);
	g_test_add_func("/era/tokens", test_tokens);
	return g_test_run();
}
