/*
 * Signs of life of a backend server.
 */

#include "server-sign.h"

#include <glib.h>

/* Only what was sent since the last sign awaits one, from the first of it. */
static void
test_awaited(void)
{
	struct server_sign s = { 0 };

	g_assert_cmpint(server_sign_awaited(&s, 1000), ==, -1);
	server_sign_sent(&s, 1000);
	server_sign_sent(&s, 1300);
	g_assert_cmpint(server_sign_awaited(&s, 1500), ==, 500);
	server_sign_heard(&s);
	g_assert_cmpint(server_sign_awaited(&s, 9000), ==, -1);
	server_sign_sent(&s, 9000);
	g_assert_cmpint(server_sign_awaited(&s, 9000), ==, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/server-sign/awaited", test_awaited);
	return g_test_run();
}
