/*
 * Tests the estimates for copies of cached prompts: time of a transfer, and
 * memory that a server has left for one.
 */

#include "prompt-fetch.h"

/* 18 kB a token over 370 Gbit/s: 13,300 tokens take some 8 ms. */
static const struct prompt_transfer fast = { 18432, 370000, 557164 };

static void
test_possible(void)
{
	const struct prompt_transfer no_bytes = { 0, 370000, 0 };
	const struct prompt_transfer no_link = { 18432, 0, 0 };

	g_assert_true(prompt_transfer_possible(&fast));
	g_assert_false(prompt_transfer_possible(NULL));
	g_assert_false(prompt_transfer_possible(&no_bytes));
	g_assert_false(prompt_transfer_possible(&no_link));
}

/*
 * Guards against many copies of one prompt that all wait for one link while
 * reading the prompt would be quicker.
 */
static void
test_links(void)
{
	double alone = prompt_transfer_ms(&fast, 13300);

	g_assert_cmpfloat(alone, >, 8);
	g_assert_cmpfloat(alone, <, 9);
	g_assert_cmpfloat(
	    prompt_fetch_ms(&fast, 1000, 900, 0, 13300), ==, alone);
	g_assert_cmpfloat(
	    prompt_fetch_ms(&fast, 1000, 1500, 0, 13300), ==, alone + 500);
	g_assert_cmpfloat(
	    prompt_fetch_ms(&fast, 1000, 1200, 1700, 13300), ==, alone + 700);
}

/*
 * Guards against copies into full memory: each displaces another prompt, which
 * is read again.
 */
static void
test_space(void)
{
	struct prompt_space s = { 0 };
	msec now = 100 * PROMPT_SPACE_PERIOD_MS;
	unsigned int i;

	for (i = 0; i < 30; i++) {
		g_assert_true(prompt_space_has_room(&s, &fast, now, 13300));
		prompt_space_use(&s, now, MSEC_NEVER, 13300);
		/* Further uses take no memory. */
		prompt_space_use(&s, now + 1, now, 13300);
	}
	g_assert_cmpuint(s.used, ==, 30 * 13300);
	s.running = 20000;
	g_assert_false(prompt_space_has_room(&s, &fast, now, 13300));
	/* Running requests have ended. */
	s.running = 0;
	g_assert_true(prompt_space_has_room(&s, &fast, now, 13300));
	/* What was used in the last period is still there, then it ages. */
	s.running = 20000;
	now += PROMPT_SPACE_PERIOD_MS;
	g_assert_false(prompt_space_has_room(&s, &fast, now, 13300));
	prompt_space_use(&s, now, now - PROMPT_SPACE_PERIOD_MS, 13300);
	g_assert_false(prompt_space_has_room(&s, &fast, now, 13300));
	now += PROMPT_SPACE_PERIOD_MS;
	g_assert_true(prompt_space_has_room(&s, &fast, now, 13300));
}

/* A service that does not configure its servers' memory. */
static void
test_space_unknown(void)
{
	const struct prompt_transfer t = { 18432, 370000, 0 };
	struct prompt_space s = { 0 };

	prompt_space_use(&s, 1000, MSEC_NEVER, UINT_MAX);
	g_assert_true(prompt_space_has_room(&s, &t, 1000, UINT_MAX));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/prompt-fetch/possible", test_possible);
	g_test_add_func("/prompt-fetch/links", test_links);
	g_test_add_func("/prompt-fetch/space", test_space);
	g_test_add_func("/prompt-fetch/space-unknown", test_space_unknown);
	return g_test_run();
}
