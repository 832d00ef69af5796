/*
 * Requests that are handed off: the field that proves where they come from, the
 * choice of a carrier, and what a carrier takes.
 */

#include "handoff.h"

#include <string.h>

#define KEY "a-key-of-sixteen-bytes"
#define CANDIDATES 10

static const struct handoff_request request = { "POST", "/a/b", "body", 4 };
static const struct handoff_terms terms = { "n-1", "192.0.2.7", 17, 2, true, 9,
	true };

static void
test_field(void)
{
	struct handoff_terms got;
	char text[HANDOFF_TEXT_SIZE];

	handoff_encode(&terms, KEY, &request, text);
	g_assert_true(handoff_decode(&got, KEY, &request, text));
	g_assert_cmpstr(got.node, ==, "n-1");
	g_assert_cmpstr(got.caller, ==, "192.0.2.7");
	g_assert_cmpuint(got.configuration, ==, 17);
	g_assert_cmpuint(got.attempts, ==, 2);
	g_assert_true(got.counted);
	g_assert_cmpuint(got.software, ==, 9);
	g_assert_true(got.once);
}

/* Guards against a caller that writes the field itself, or copies one. */
static void
test_forged(void)
{
	const struct handoff_request others[] = { { "GET", "/a/b", "body", 4 },
		{ "POST", "/a/c", "body", 4 }, { "POST", "/a/b", "bodY", 4 },
		{ "POST", "/a/b", "body", 3 } };
	struct handoff_terms got;
	char text[HANDOFF_TEXT_SIZE];
	size_t i, n;

	handoff_encode(&terms, KEY, &request, text);
	n = strlen(text);
	for (i = 0; i < G_N_ELEMENTS(others); i++)
		g_assert_false(handoff_decode(&got, KEY, &others[i], text));
	g_assert_false(
	    handoff_decode(&got, "another-key-of-16", &request, text));
	for (i = 0; i < n; i++) {
		text[i] ^= 1;
		g_assert_false(handoff_decode(&got, KEY, &request, text));
		text[i] ^= 1;
	}
	for (i = 0; i < n; i++) {
		g_autofree char *part = g_strndup(text, i);

		g_assert_false(handoff_decode(&got, KEY, &request, part));
	}
	g_assert_true(handoff_decode(&got, KEY, &request, text));
}

/* Guards against one carrier that gets all requests. */
static void
test_spread(void)
{
	struct handoff_candidate c[CANDIDATES] = { 0 };
	GRand *rand = g_rand_new_with_seed(7);
	unsigned int i;

	for (i = 0; i < 1000; i++)
		c[handoff_choose(c, CANDIDATES, rand)].requests++;
	for (i = 0; i < CANDIDATES; i++) {
		g_assert_cmpuint(c[i].requests, >, 80);
		g_assert_cmpuint(c[i].requests, <, 120);
	}
	g_rand_free(rand);
}

/* Guards against requests that go to nodes without a path in turn. */
static void
test_only_one_left(void)
{
	struct handoff_candidate c[CANDIDATES] = { 0 };
	GRand *rand = g_rand_new_with_seed(7);
	unsigned int i;

	for (i = 0; i < CANDIDATES; i++)
		c[i].last_resort = i != 4;
	c[4].requests = 300;
	for (i = 0; i < 100; i++)
		g_assert_cmpint(handoff_choose(c, CANDIDATES, rand), ==, 4);
	c[4].avoided = true;
	g_assert_cmpint(handoff_choose(c, CANDIDATES, rand), !=, 4);
	for (i = 0; i < CANDIDATES; i++)
		c[i].avoided = true;
	g_assert_cmpint(handoff_choose(c, CANDIDATES, rand), ==, -1);
	g_assert_cmpint(handoff_choose(c, 0, rand), ==, -1);
	g_rand_free(rand);
}

/* What a node knows of two others at `now`; the second one has no path. */
static void
candidates_at(
    struct handoff_candidate c[2], const struct handoff_rest r[2], msec now)
{
	unsigned int i;

	for (i = 0; i < 2; i++) {
		c[i] = (struct handoff_candidate){ 0 };
		c[i].avoided = now < r[i].avoided_until;
		c[i].last_resort = i == 1 || now < r[i].last_resort_until;
	}
}

/*
 * Guards against requests refused although a node has a path, as an answer that
 * it carried broke off: its server ended, or the time of that request.
 */
static void
test_broke_off(void)
{
	struct handoff_candidate c[2];
	struct handoff_rest r[2] = { 0 };
	GRand *rand = g_rand_new_with_seed(7);
	msec now;
	int i;

	for (now = 5000; now < 8000; now += 10) {
		if (now % 500 == 0)
			handoff_rest_after(&r[0], now, HANDOFF_CUT_OFF);
		candidates_at(c, r, now);
		/* A node without a path refuses at once. */
		if ((i = handoff_choose(c, 2, rand)) == 1) {
			handoff_rest_after(&r[1], now, HANDOFF_FAILED);
			candidates_at(c, r, now);
			i = handoff_choose(c, 2, rand);
		}
		g_assert_cmpint(i, ==, 0);
	}
	g_rand_free(rand);
}

/* Guards against a node that breaks answers off and gets more than others. */
static void
test_broke_off_rests(void)
{
	struct handoff_candidate c[2];
	struct handoff_rest r[2] = { 0 };
	GRand *rand = g_rand_new_with_seed(7);
	msec now;

	handoff_rest_after(&r[0], 5000, HANDOFF_CUT_OFF);
	for (now = 5000; now < 7000; now += 10) {
		candidates_at(c, r, now);
		c[1].last_resort = false;
		c[1].requests = 300;
		g_assert_cmpint(
		    handoff_choose(c, 2, rand), ==, now < 6000 ? 1 : 0);
	}
	g_rand_free(rand);
}

/* Guards against nodes that are asked again at once, or for too long not. */
static void
test_rests(void)
{
	static const struct {
		enum handoff_failure why;
		msec span;
	} cases[] = { { HANDOFF_FAILED, 1000 }, { HANDOFF_BEHIND, 30 },
		{ HANDOFF_FULL, 200 }, { HANDOFF_LEAVING, 30 } };
	struct handoff_rest r;
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		r = (struct handoff_rest){ 0 };
		handoff_rest_after(&r, 5000, cases[i].why);
		g_assert_cmpint(r.avoided_until, ==, 5000 + cases[i].span);
	}
}

/* Guards against more attempts than the route allows after a carrier's end. */
static void
test_attempts(void)
{
	unsigned int all, left, used;

	for (all = 2; all < 6; all++) {
		for (left = all; left > 0; left -= used) {
			used = handoff_attempts(left);
			g_assert_cmpuint(used, >, 0);
			g_assert_cmpuint(used, <=, left);
		}
	}
	g_assert_cmpuint(handoff_attempts(1), ==, 1);
	g_assert_cmpuint(handoff_attempts(3), ==, 2);
}

/* Guards against urgent requests that find a carrier full of others. */
static void
test_urgent_first(void)
{
	unsigned int carried = 0, rank;

	for (rank = 9; rank > 0; rank--) {
		while (handoff_admits(carried, rank))
			carried++;
		g_assert_true(handoff_admits(carried, 0));
	}
	while (handoff_admits(carried, 0))
		carried++;
	g_assert_cmpuint(carried, ==, 512);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/handoff/field", test_field);
	g_test_add_func("/handoff/forged", test_forged);
	g_test_add_func("/handoff/spread", test_spread);
	g_test_add_func("/handoff/only-one-left", test_only_one_left);
	g_test_add_func("/handoff/broke-off", test_broke_off);
	g_test_add_func("/handoff/broke-off-rests", test_broke_off_rests);
	g_test_add_func("/handoff/rests", test_rests);
	g_test_add_func("/handoff/attempts", test_attempts);
	g_test_add_func("/handoff/urgent-first", test_urgent_first);
	return g_test_run();
}
