/*
 * The proof that a node's configuration is the newest (fresh.c). A caller with
 * a revoked key must be refused in time by a node that was partitioned, refused
 * by the platform or paused; the age of a proof counts from the sending of its
 * read.
 */

#include "fresh.h"

static void
test_age(void)
{
	struct fresh f;

	fresh_init(&f, 4000);
	g_assert_false(fresh_is_valid(&f, 0));
	g_assert_cmpint(fresh_age(&f, 5), ==, MSEC_NEVER);
	fresh_record_proof(&f, 1000);
	g_assert_true(fresh_is_valid(&f, 4999));
	g_assert_false(fresh_is_valid(&f, 5000));
	/* An older proof that arrives late changes nothing. */
	fresh_record_proof(&f, 500);
	g_assert_cmpint(fresh_age(&f, 1500), ==, 500);
}

/*
 * A paused process resumes with the answer to a read that it sent long before.
 */
static void
test_pause(void)
{
	struct fresh f;

	fresh_init(&f, 4000);
	fresh_record_proof(&f, 1000);
	fresh_record_proof(&f, 1200);
	g_assert_false(fresh_is_valid(&f, 9000));
	fresh_record_proof(&f, 9001);
	g_assert_true(fresh_is_valid(&f, 9002));
}

static void
test_without_bound(void)
{
	struct fresh f;

	fresh_init(&f, 0);
	g_assert_false(fresh_is_valid(&f, 10));
	fresh_record_proof(&f, 10);
	g_assert_true(fresh_is_valid(&f, 1000000));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fresh/age", test_age);
	g_test_add_func("/fresh/pause", test_pause);
	g_test_add_func("/fresh/without-bound", test_without_bound);
	return g_test_run();
}
