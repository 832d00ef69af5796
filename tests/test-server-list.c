/*
 * Entries of the platform's list of servers, after it came back from an older
 * copy.
 */

#include "server.h"

#define ADDRESS 0x7f000001U
#define KEPT_UNTIL 5000

static void
ignore(struct servers *s, struct server *v)
{
}

static const struct server_ops ops = { ignore, ignore };

static void
list(struct servers *s, msec now, const char *name, int64_t born, uint16_t port)
{
	struct server_entry e = { .name = name,
		.service = "svc",
		.domain = "z",
		.address = ADDRESS,
		.port = port,
		.slots = 1,
		.born = born };

	servers_list(s, now, &e);
}

static bool
takes_work(struct servers *s, msec now, const char *name)
{
	return server_takes_work(servers_find(s, name_hash(name)), now);
}

/* The list names a server again whose address another one has by now, and its
 * requests reach that one beside its own. */
static void
test_address_taken(void)
{
	struct servers s;

	servers_init(&s, &ops);
	servers_set_retention(&s, 10000);
	list(&s, 0, "i-2", 200, 80);
	servers_set_complete(&s);
	servers_keep_unlisted(&s, KEPT_UNTIL);
	servers_keep_gone(&s, KEPT_UNTIL);
	servers_unlist(&s, 100, "i-2");
	list(&s, 100, "i-1", 100, 80);
	g_assert_false(takes_work(&s, 100, "i-1"));
	g_assert_true(takes_work(&s, 100, "i-2"));
	/* One that is still listed later is no leftover. */
	servers_unlist(&s, KEPT_UNTIL, "i-2");
	servers_tick(&s, KEPT_UNTIL);
	g_assert_true(takes_work(&s, KEPT_UNTIL, "i-1"));
	g_assert_false(takes_work(&s, KEPT_UNTIL, "i-2"));
	servers_finish(&s);
}

/* The same where the older list was read first. */
static void
test_successor(void)
{
	struct servers s;

	servers_init(&s, &ops);
	servers_set_retention(&s, 10000);
	servers_set_complete(&s);
	servers_keep_gone(&s, KEPT_UNTIL);
	list(&s, 100, "i-1", 100, 80);
	g_assert_true(takes_work(&s, 100, "i-1"));
	list(&s, 200, "i-2", 200, 80);
	g_assert_false(takes_work(&s, 200, "i-1"));
	g_assert_true(takes_work(&s, 200, "i-2"));
	servers_finish(&s);
}

/* A server that comes meanwhile is left out, though nobody has its address. */
static void
test_others(void)
{
	struct servers s;

	servers_init(&s, &ops);
	list(&s, 0, "i-2", 200, 80);
	servers_set_complete(&s);
	servers_keep_gone(&s, KEPT_UNTIL);
	list(&s, 100, "i-3", 100, 81);
	list(&s, 100, "i-4", 300, 80);
	list(&s, 100, "i-5", 0, 80);
	g_assert_true(takes_work(&s, 100, "i-3"));
	g_assert_true(takes_work(&s, 100, "i-4"));
	g_assert_true(takes_work(&s, 100, "i-5"));
	list(&s, KEPT_UNTIL, "i-6", 100, 80);
	g_assert_true(takes_work(&s, KEPT_UNTIL, "i-6"));
	servers_finish(&s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/server-list/address-taken", test_address_taken);
	g_test_add_func("/server-list/successor", test_successor);
	g_test_add_func("/server-list/others", test_others);
	return g_test_run();
}
