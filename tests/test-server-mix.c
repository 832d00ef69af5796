/*
 * Tests which routes count as light, and how many servers are kept for light
 * requests ("quiet servers").
 */

#include "server-mix.h"

enum {
	LONG = 1,
	MIDDLE,
	SHORT
};

static void
add_requests(struct mix *m, unsigned int n)
{
	unsigned int i;

	for (i = 0; i < n; i++) {
		mix_record_request(m, 0, LONG, 1000, 0, 17000);
		mix_record_request(m, 0, MIDDLE, 400, 0, 9000);
		mix_record_request(m, 0, SHORT, 250, 0, 1400);
	}
}

static void
test_light(void)
{
	struct mix m = { 0 };

	add_requests(&m, 10);
	g_assert_true(mix_is_light(&m, SHORT));
	g_assert_false(mix_is_light(&m, MIDDLE));
	g_assert_false(mix_is_light(&m, LONG));
	g_assert_false(mix_is_light(&m, 99));
}

/*
 * Guards against medium prompts on quiet servers. With prompts of 700, 2,400
 * and 9,200 tokens, those of 2,400 went there too, and on servers that process
 * prompts slowly each one paused the light streams beyond the allowed pause.
 */
static void
test_quarter(void)
{
	struct mix m = { 0 };
	unsigned int i;

	for (i = 0; i < 10; i++) {
		mix_record_request(&m, 0, LONG, 600, 2, 9200);
		mix_record_request(&m, 0, MIDDLE, 250, 1, 2400);
		mix_record_request(&m, 0, SHORT, 150, 0, 700);
	}
	g_assert_true(mix_is_light(&m, SHORT));
	g_assert_false(mix_is_light(&m, MIDDLE));
}

/* Guards against a route near the bound that alternates with each prompt. */
static void
test_steady(void)
{
	struct mix m = { 0 };
	unsigned int i, changes = 0;
	bool light, was;

	add_requests(&m, 100);
	was = mix_is_light(&m, SHORT);
	for (i = 0; i < 2000; i++) {
		/* The short prompts are 0.16 and 0.2 of the longest. */
		mix_record_request(&m, 0, LONG, 1000, 2, 17000);
		mix_record_request(
		    &m, 0, SHORT, 250, 0, i / 40 % 2 ? 3400 : 2720);
		light = mix_is_light(&m, SHORT);
		changes += light != was;
		was = light;
	}
	g_assert_cmpuint(changes, <=, 1);
}

/*
 * Guards against a false prompt size. After one caller had stated 4 billion
 * tokens, medium prompts counted as light for some hundred requests and went to
 * the quiet servers.
 */
static void
test_false_size(void)
{
	struct mix m = { 0 };
	unsigned int i;

	for (i = 0; i < 100; i++) {
		mix_record_request(&m, 0, LONG, 600, 2, 9200);
		mix_record_request(&m, 0, MIDDLE, 250, 1, 2400);
	}
	mix_record_request(&m, 0, LONG, 600, 2, G_MAXUINT);
	g_assert_false(mix_is_light(&m, MIDDLE));
	/* The average still follows prompts that become longer for good. */
	for (i = 0; i < 300; i++)
		mix_record_request(&m, 0, LONG, 600, 2, 90000);
	g_assert_cmpfloat(m.routes[0].prompt_tokens, >, 80000);
	/* It also follows when the first prompt was empty. */
	m = (struct mix){ 0 };
	for (i = 0; i < 600; i++)
		mix_record_request(&m, 0, LONG, 600, 2, i == 0 ? 0 : 9200);
	g_assert_cmpfloat(m.routes[0].prompt_tokens, >, 8000);
}

/* No route is light if there is only one, or if all allow the same pause. */
static void
test_alone(void)
{
	struct mix m = { 0 };

	mix_record_request(&m, 0, SHORT, 250, 0, 1400);
	g_assert_false(mix_is_light(&m, SHORT));
	mix_record_request(&m, 0, LONG, 250, 0, 17000);
	g_assert_false(mix_is_light(&m, SHORT));
	g_assert_cmpuint(mix_quiet_servers(&m, 0, 1, 18, 64), ==, 0);
}

/* The last tier consists of all routes with the least urgent priority. */
static void
test_last_tier(void)
{
	struct mix m = { 0 };

	g_assert_false(mix_is_last_tier(&m, LONG));
	mix_record_request(&m, 0, SHORT, 250, 1, 1400);
	g_assert_true(mix_is_last_tier(&m, SHORT));
	mix_record_request(&m, 0, LONG, 1000, 2, 17000);
	mix_record_request(&m, 0, MIDDLE, 400, 2, 9000);
	g_assert_false(mix_is_last_tier(&m, SHORT));
	g_assert_true(mix_is_last_tier(&m, LONG));
	g_assert_true(mix_is_last_tier(&m, MIDDLE));
}

/*
 * Guards against too few quiet servers where servers have many slots: 50 light
 * streams shared two servers, so each new prompt paused 24 others. The number
 * of slots limits how many streams run, not how many prompts can be processed
 * beside them without harm.
 */
static void
test_many_slots(void)
{
	struct mix m = { 0 };
	unsigned int i;

	add_requests(&m, 10);
	for (i = 0; i < 50; i++)
		mix_started(&m, 0, SHORT);
	g_assert_cmpuint(mix_quiet_servers(&m, 20000, 1, 18, 64), ==, 4);
	g_assert_cmpuint(mix_quiet_servers(&m, 20000, 1, 18, 512), ==, 4);
	/* With few slots, the slots are the limit. */
	g_assert_cmpuint(mix_quiet_servers(&m, 20000, 1, 90, 12), ==, 11);
}

/* Quiet servers are added within 2 s of a burst and released after it. */
static void
test_burst(void)
{
	struct mix m = { 0 };
	unsigned int i;

	add_requests(&m, 10);
	for (i = 0; i < 20; i++)
		mix_started(&m, 0, SHORT);
	g_assert_cmpuint(mix_quiet_servers(&m, 10000, 1, 18, 64), ==, 2);
	for (i = 0; i < 80; i++)
		mix_started(&m, 10000, SHORT);
	g_assert_cmpuint(mix_quiet_servers(&m, 12000, 1, 18, 64), >=, 5);
	/* At most a third of the servers are quiet. */
	for (i = 0; i < 800; i++)
		mix_started(&m, 12000, SHORT);
	g_assert_cmpuint(mix_quiet_servers(&m, 20000, 1, 18, 64), ==, 6);
	for (i = 0; i < 890; i++)
		mix_ended(&m, 20000, SHORT);
	g_assert_cmpuint(mix_quiet_servers(&m, 32000, 1, 18, 64), ==, 1);
}

/* The hold time is set by the first request and then follows the others. */
static void
test_held(void)
{
	struct mix m = { 0 };
	unsigned int i;

	mix_record_hold_time(&m, 600);
	g_assert_cmpfloat(m.hold_ms, ==, 600);
	for (i = 0; i < 100; i++)
		mix_record_hold_time(&m, 2000);
	g_assert_cmpfloat(m.hold_ms, >, 1900);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/server-mix/light", test_light);
	g_test_add_func("/server-mix/quarter", test_quarter);
	g_test_add_func("/server-mix/steady", test_steady);
	g_test_add_func("/server-mix/false-size", test_false_size);
	g_test_add_func("/server-mix/alone", test_alone);
	g_test_add_func("/server-mix/last-tier", test_last_tier);
	g_test_add_func("/server-mix/many-slots", test_many_slots);
	g_test_add_func("/server-mix/burst", test_burst);
	g_test_add_func("/server-mix/held", test_held);
	return g_test_run();
}
