/*
 * Room of brittle servers: how many requests one gets, from coordinators and
 * from nodes that decide alone, and after rejections.
 */

#include "server-room.h"

#define SLOTS 16

static unsigned int
room_of(struct server_room *r, msec now, unsigned int nodes, bool urgent)
{
	unsigned int n = 0;

	while (
	    n < 1000 && server_room_allows(r, now, SLOTS, n, nodes, 0, urgent))
		n++;
	return n;
}

/* Guards against requests that wait at a server that lets none wait. */
static void
test_slots(void)
{
	struct server_room r = { 0 };

	g_assert_cmpuint(room_of(&r, 0, 1, true), ==, 1000);
	server_room_update(&r, 0);
	g_assert_cmpuint(room_of(&r, 0, 1, true), ==, SLOTS);
	/* Urgent requests find room among others. */
	g_assert_cmpuint(room_of(&r, 0, 1, false), ==, 14);
	/* Nodes that decide alone share it. */
	g_assert_cmpuint(room_of(&r, 0, 4, true), ==, 4);
	g_assert_true(server_room_allows(&r, 0, 0, 31, 1, 0, true));
	g_assert_false(server_room_allows(&r, 0, 0, 32, 1, 0, true));
}

/* Guards against many nodes without a coordinator that use a slot each. */
static void
test_many_nodes(void)
{
	struct server_room r = { 0 };
	unsigned int i, used = 0;

	server_room_update(&r, 0);
	for (i = 0; i < 100; i++) {
		used += server_room_allows(
		    &r, 0, SLOTS, 0, 100, (double)i / 100, true);
		g_assert_false(server_room_allows(
		    &r, 0, SLOTS, 1, 100, (double)i / 100, true));
	}
	g_assert_cmpuint(used, ==, SLOTS);
}

/* Guards against a server that is spared long after it has recovered. */
static void
test_ends(void)
{
	struct server_room r = { 0 };

	server_room_update(&r, 0);
	server_room_rejected(&r, 1000, SLOTS);
	g_assert_true(server_is_brittle(&r, SERVER_BRITTLE_MS - 1));
	g_assert_false(server_is_brittle(&r, SERVER_BRITTLE_MS));
	server_room_update(&r, 10000);
	g_assert_cmpuint(room_of(&r, 10000, 1, true), ==, SLOTS);
}

/* Guards against rejections that go on at the same pace. */
static void
test_rejections(void)
{
	struct server_room r = { 0 };
	unsigned int before = SLOTS, room, i;

	server_room_rejected(&r, 0, SLOTS);
	g_assert_cmpuint(room_of(&r, 0, 1, true), ==, 1000);
	for (i = 1; i <= 40; i++) {
		server_room_update(&r, i * 300);
		server_room_rejected(&r, i * 300, SLOTS);
		/* Those that were sent together count once. */
		server_room_rejected(&r, i * 300 + 1, SLOTS);
		g_assert_cmpuint(room_of(&r, i * 300 + 1, 1, true), ==, 0);
		room = room_of(&r, i * 300 + 299, 1, true);
		g_assert_cmpuint(room, >=, 1);
		g_assert_cmpuint(room, <=, before);
		g_assert_cmpuint(before - room, <=, 2);
		before = room;
	}
	g_assert_cmpuint(before, ==, 1);
	for (i = 0; i < 40; i++) {
		server_room_update(&r, 13000 + i * 1000);
		room_of(&r, 13000 + i * 1000, 1, true);
	}
	g_assert_cmpuint(room_of(&r, 53000, 1, true), ==, SLOTS);
}

/*
 * Guards against a coordinator that does not know what runs on a full server,
 * and tries one request after the other until it falls over.
 */
static void
test_unknown_requests(void)
{
	struct server_room r = { 0 };
	unsigned int rejected = 0;
	msec now;

	server_room_update(&r, 1000);
	for (now = 1000; now < 2000; now += 10) {
		if (!server_room_allows(&r, now, 2, 0, 1, 0, true))
			continue;
		server_room_rejected(&r, now, 2);
		rejected++;
	}
	g_assert_cmpuint(rejected, <=, 4);
	/* Nodes that decide alone reach no more together. */
	rejected = 0;
	server_room_update(&r, 2000);
	for (now = 2000; now < 3000; now += 10) {
		if (!server_room_allows(&r, now, 2, 0, 4, 0, true))
			continue;
		server_room_rejected(&r, now, 2);
		rejected++;
	}
	g_assert_cmpuint(rejected, <=, 1);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/server-room/slots", test_slots);
	g_test_add_func("/server-room/many-nodes", test_many_nodes);
	g_test_add_func("/server-room/ends", test_ends);
	g_test_add_func("/server-room/rejections", test_rejections);
	g_test_add_func("/server-room/unknown-requests", test_unknown_requests);
	return g_test_run();
}
