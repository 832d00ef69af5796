/*
 * Versions of software seen at the servers of services.
 */

#include "server-version.h"

#define KEPT_MS 10000

/* Guards against a version that is forgotten while its streams may go on. */
static void
test_kept(void)
{
	struct server_versions vs = { .kept = KEPT_MS };

	server_versions_note(&vs, 100, 1, 11, false);
	server_versions_note(&vs, 100, 2, 12, false);
	g_assert_false(server_versions_differ(&vs, 100, 1));
	g_assert_false(server_versions_untold(&vs, 1));
	server_versions_note(&vs, 200, 1, 12, true);
	g_assert_true(server_versions_differ(&vs, 200, 1));
	g_assert_false(server_versions_differ(&vs, 200, 2));
	server_versions_note(&vs, KEPT_MS, 1, 12, true);
	g_assert_true(server_versions_differ(&vs, KEPT_MS + 99, 1));
	g_assert_cmpuint(server_versions_only(&vs, KEPT_MS + 99, 1), ==, 0);
	g_assert_false(server_versions_differ(&vs, KEPT_MS + 100, 1));
	g_assert_cmpuint(server_versions_only(&vs, KEPT_MS + 100, 1), ==, 12);
}

/* Guards against a new version that is used before other nodes know of it. */
static void
test_held(void)
{
	struct server_versions vs = { .kept = KEPT_MS };

	server_versions_note(&vs, 100, 1, 11, true);
	g_assert_false(server_version_is_held(&vs, 100, 1, 11));
	server_versions_note(&vs, 200, 1, 12, true);
	g_assert_true(server_version_is_held(&vs, 200, 1, 12));
	g_assert_false(server_version_is_held(&vs, 200, 1, 11));
	server_versions_note(&vs, 300, 1, 12, true);
	g_assert_false(
	    server_version_is_held(&vs, 200 + SERVER_VERSION_HOLD_MS, 1, 12));
	/* At the start of a node all are new. */
	server_versions_note(&vs, 400, 1, 13, false);
	g_assert_false(server_version_is_held(&vs, 400, 1, 13));
}

/*
 * Guards against servers without a version that count as one of another, and
 * against a service without servers that counts as one whose servers tell none.
 */
static void
test_untold(void)
{
	struct server_versions vs = { .kept = KEPT_MS };

	g_assert_false(server_versions_untold(&vs, 1));
	server_versions_note(&vs, 100, 2, 0, false);
	g_assert_false(server_versions_untold(&vs, 1));
	server_versions_note(&vs, 100, 1, 0, false);
	g_assert_true(server_versions_untold(&vs, 1));
	g_assert_cmpuint(server_versions_only(&vs, 100, 1), ==, 0);
	g_assert_false(server_versions_differ(&vs, 100, 1));
	server_versions_note(&vs, 100, 1, 11, false);
	g_assert_cmpuint(server_versions_only(&vs, 100, 1), ==, 0);
	g_assert_false(server_versions_untold(&vs, 1));
	g_assert_true(server_versions_differ(&vs, 100, 1));
}

/* Guards against a node that stood still and knows of no version lately. */
static void
test_paused(void)
{
	struct server_versions vs = { .kept = KEPT_MS };

	server_versions_note(&vs, 100, 1, 11, false);
	server_versions_note(&vs, 100, 1, 12, false);
	g_assert_false(server_versions_differ(&vs, 100 + KEPT_MS, 1));
	g_assert_false(server_versions_untold(&vs, 1));
}

/* Guards against more versions than are kept that are taken for one. */
static void
test_full(void)
{
	struct server_versions vs = { .kept = KEPT_MS };
	unsigned int i;

	for (i = 0; i <= SERVER_VERSIONS_MAX; i++)
		server_versions_note(&vs, 100 + i, 1 + i, 11, false);
	g_assert_true(server_versions_differ(&vs, 200, 1));
	g_assert_true(server_versions_differ(&vs, 200, 9));
	g_assert_false(server_versions_differ(&vs, 2 * KEPT_MS, 9));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/server-version/kept", test_kept);
	g_test_add_func("/server-version/held", test_held);
	g_test_add_func("/server-version/untold", test_untold);
	g_test_add_func("/server-version/paused", test_paused);
	g_test_add_func("/server-version/full", test_full);
	return g_test_run();
}
