/*
 * Tests the measured speed of a server.
 */

#include "server-speed.h"

static double
speed_after(unsigned int n, double expected, msec ms)
{
	struct server_speed s = { 0 };

	while (n-- > 0)
		server_speed_record(&s, expected, ms);
	return server_speed_factor(&s);
}

/* Guards against a server that is judged by one slow answer. */
static void
test_steady(void)
{
	g_assert_cmpfloat(speed_after(0, 200, 400), ==, 1);
	g_assert_cmpfloat(speed_after(1, 200, 400), >, 0.8);
	g_assert_cmpfloat(speed_after(20, 200, 400), <, 0.65);
	g_assert_cmpfloat(speed_after(20, 200, 400), >, 0.5);
	g_assert_cmpfloat(speed_after(20, 200, 160), >, 1.1);
	g_assert_cmpfloat(speed_after(20, 200, 200), ==, 1);
}

/* Guards against a pause of the server or of this node that outweighs all. */
static void
test_outlier(void)
{
	struct server_speed s = { 0 };
	unsigned int i;

	server_speed_record(&s, 200, 60000);
	g_assert_cmpfloat(server_speed_factor(&s), >, 0.5);
	for (i = 0; i < 20; i++)
		server_speed_record(&s, 200, 200);
	g_assert_cmpfloat(server_speed_factor(&s), >, 0.9);
}

/* A server's speed may change fivefold; what it was counts less and less. */
static void
test_changes(void)
{
	struct server_speed s = { 0 };
	unsigned int i;

	for (i = 0; i < 30; i++)
		server_speed_record(&s, 200, 200);
	for (i = 0; i < 20; i++)
		server_speed_record(&s, 200, 1000);
	g_assert_cmpfloat(server_speed_factor(&s), <, 0.35);
	for (i = 0; i < 30; i++)
		server_speed_record(&s, 200, 200);
	g_assert_cmpfloat(server_speed_factor(&s), >, 0.85);
}

/* Nothing is known of such prompts yet. */
static void
test_unknown(void)
{
	g_assert_cmpfloat(speed_after(20, 0, 400), ==, 1);
	g_assert_cmpfloat(speed_after(20, 200, 0), ==, 1);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/server-speed/steady", test_steady);
	g_test_add_func("/server-speed/outlier", test_outlier);
	g_test_add_func("/server-speed/changes", test_changes);
	g_test_add_func("/server-speed/unknown", test_unknown);
	return g_test_run();
}
