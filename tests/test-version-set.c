/*
 * Records of the versions of a service's software that outlive all nodes.
 */

#include "version-set.h"

static struct version_set
set(uint64_t era, bool complete, name_id a, name_id b)
{
	struct version_set s = { .era = era, .complete = complete };

	if (a != 0)
		version_set_add(&s, a);
	if (b != 0)
		version_set_add(&s, b);
	return s;
}

static void
check_next(const struct version_set *stored, struct version_set seen,
    bool leave_out, struct version_set expected)
{
	struct version_set next = version_set_next(stored, &seen, leave_out);

	g_assert_true(version_set_is_equal(&next, &expected));
}

/* Guards against a record that is read as another one than was written. */
static void
test_text(void)
{
	struct version_set s = set(7, true, 0xfedcba9876543210, 3), back;
	g_autofree char *text = version_set_print(&s);

	g_assert_cmpstr(text, ==, "7 complete 3 fedcba9876543210");
	g_assert_true(version_set_parse(&back, text));
	g_assert_true(version_set_is_equal(&s, &back));
}

/* Guards against bytes of another writer that are taken for a record. */
static void
test_malformed(void)
{
	static const char *const texts[] = { "", "7", "x complete 3",
		"7 entire 3", "7 complete 0", "7 complete 3 ", "7 complete g",
		"-1 complete 3",
		"7 complete 1 2 3 4 5 6 7 8 9 a b c d e f 10 11" };
	struct version_set s;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		g_assert_false(version_set_parse(&s, texts[i]));
}

/* Guards against a version that a node leaves out as it has not seen it. */
static void
test_others_stay(void)
{
	struct version_set stored = set(1, true, 11, 12);

	check_next(&stored, set(1, false, 12, 0), false, set(1, true, 11, 12));
	check_next(&stored, set(1, false, 13, 11), true, set(1, false, 11, 13));
	check_next(NULL, set(1, false, 11, 0), false, set(1, false, 11, 0));
}

/* Guards against a copy of the store that counts as complete. */
static void
test_other_era(void)
{
	struct version_set stored = set(1, true, 11, 0);

	check_next(&stored, set(2, false, 12, 0), false, set(2, false, 11, 12));
	check_next(&stored, set(2, true, 12, 0), false, set(2, true, 11, 12));
}

/* Guards against a version that finds no room and is not missed. */
static void
test_full(void)
{
	struct version_set s = set(0, true, 0, 0);
	name_id v;

	for (v = 1; v <= VERSION_SET_MAX; v++)
		version_set_add(&s, v);
	version_set_add(&s, 5);
	g_assert_true(s.complete);
	version_set_add(&s, v);
	g_assert_false(s.complete);
	g_assert_cmpuint(s.n, ==, VERSION_SET_MAX);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/version-set/text", test_text);
	g_test_add_func("/version-set/malformed", test_malformed);
	g_test_add_func("/version-set/others-stay", test_others_stay);
	g_test_add_func("/version-set/other-era", test_other_era);
	g_test_add_func("/version-set/full", test_full);
	return g_test_run();
}
