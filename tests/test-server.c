/*
 * Tests the table of backend servers: its updates by the platform's entries,
 * and the choice of a server for a request.
 */

#include "server.h"

#include <string.h>

static unsigned int changed_calls;

static void
op_changed(struct servers *s, struct server *v)
{
	changed_calls++;
}

static void
op_removed(struct servers *s, struct server *v)
{
}

static const struct server_ops ops = { op_changed, op_removed };

static void
list_server(
    struct servers *s, msec now, const char *name, bool draining, int64_t born)
{
	struct server_entry e = { .name = name,
		.service = "svc",
		.domain = "d1",
		.address = 1,
		.port = 80,
		.slots = 64,
		.draining = draining,
		.born = born };

	servers_list(s, now, &e);
}

/*
 * Guards against a time to leave that a stale entry extends, or that outlives
 * the process.
 */
static void
test_leaves_at(void)
{
	struct server_entry e = { .name = "a",
		.service = "svc",
		.domain = "d1",
		.draining = true,
		.born = 5 };
	struct servers s;
	struct server *v;

	servers_init(&s, &ops);
	list_server(&s, 10, "a", false, 5);
	v = servers_find(&s, name_hash("a"));
	g_assert_cmpint(server_leaves_at(v, 3000), ==, MSEC_NEVER);
	list_server(&s, 100, "a", true, 5);
	list_server(&s, 200, "a", true, 5);
	g_assert_cmpint(server_leaves_at(v, 3000), ==, 3100);
	g_assert_cmpint(server_leaves_at(v, 0), ==, MSEC_NEVER);
	e.leaves = 1000;
	servers_list(&s, 300, &e);
	servers_list(&s, 400, &e);
	g_assert_cmpint(server_leaves_at(v, 3000), ==, 1300);
	list_server(&s, 500, "a", false, 6);
	g_assert_cmpint(server_leaves_at(v, 3000), ==, MSEC_NEVER);
	servers_unlist(&s, 600, "a");
	g_assert_cmpint(server_leaves_at(v, 3000), ==, 3600);
	servers_finish(&s);
}

/* Guards against runs that move off a server whose entry had only expired. */
static void
test_listed_again(void)
{
	struct servers s;
	struct server *v;

	servers_init(&s, &ops);
	servers_set_retention(&s, 20000);
	list_server(&s, 10, "a", false, 5);
	v = servers_find(&s, name_hash("a"));
	servers_unlist(&s, 5000, "a");
	servers_tick(&s, 5001);
	g_assert_cmpint(server_leaves_at(v, 3000), !=, MSEC_NEVER);
	list_server(&s, 6000, "a", false, 5);
	g_assert_cmpint(v->state, ==, SERVER_READY);
	g_assert_cmpint(server_leaves_at(v, 3000), ==, MSEC_NEVER);
	list_server(&s, 60000, "a", true, 5);
	g_assert_cmpint(server_leaves_at(v, 3000), ==, 63000);
	servers_finish(&s);
}

static enum server_state
server_state_of(struct servers *s, const char *name)
{
	return servers_find(s, name_hash(name))->state;
}

/*
 * Guards against requests to a draining server, which would be cut off when it
 * ends: a stale or reordered entry must not make it ready again. Only an entry
 * of a new process does.
 */
static void
test_draining(void)
{
	struct servers s;

	servers_init(&s, &ops);
	list_server(&s, 0, "a", false, 5);
	list_server(&s, 1, "a", true, 5);
	list_server(&s, 2, "a", false, 5);
	g_assert_cmpint(server_state_of(&s, "a"), ==, SERVER_DRAINING);
	list_server(&s, 3, "a", false, 6);
	g_assert_cmpint(server_state_of(&s, "a"), ==, SERVER_READY);
	servers_finish(&s);
}

/*
 * Guards against the removal of all servers after an outage of the platform:
 * the entries of healthy servers have expired and return within two seconds.
 */
static void
test_hold(void)
{
	struct servers s;

	servers_init(&s, &ops);
	list_server(&s, 0, "a", false, 0);
	list_server(&s, 0, "b", false, 0);
	servers_keep_unlisted(&s, 3000);
	servers_unlist(&s, 1000, "a");
	servers_unlist(&s, 1000, "b");
	servers_tick(&s, 1001);
	g_assert_cmpint(server_state_of(&s, "a"), ==, SERVER_READY);
	list_server(&s, 2000, "a", false, 0);
	servers_tick(&s, 3000);
	g_assert_cmpint(server_state_of(&s, "a"), ==, SERVER_READY);
	/* The entry of the other server did not return. */
	servers_tick(&s, 3001);
	g_assert_null(servers_find(&s, name_hash("b")));
	/* Without a hold, the server is removed at once. */
	servers_unlist(&s, 4000, "a");
	servers_tick(&s, 4000);
	g_assert_null(servers_find(&s, name_hash("a")));
	servers_finish(&s);
}

/*
 * Guards against servers that are kept though they have left: an outage that
 * was none, and outages in quick succession.
 */
static void
test_outage_hold(void)
{
	struct servers s;
	msec now;

	servers_init(&s, &ops);
	list_server(&s, 0, "a", false, 0);
	list_server(&s, 0, "b", false, 0);
	servers_set_outage(&s, false, 5000);
	servers_unlist(&s, 1000, "a");
	servers_tick(&s, 1100);
	g_assert_cmpint(server_state_of(&s, "a"), ==, SERVER_READY);
	g_assert_false(servers_list_is_settled(&s, 1100));
	/* Another node was served all the while. */
	servers_set_outage(&s, false, 900);
	servers_tick(&s, 1200);
	g_assert_null(servers_find(&s, name_hash("a")));
	g_assert_true(servers_list_is_settled(&s, 1200));
	servers_set_outage(&s, true, 900);
	servers_unlist(&s, 2000, "b");
	for (now = 2000; now < 20000; now += 100)
		servers_tick(&s, now);
	g_assert_cmpint(server_state_of(&s, "b"), ==, SERVER_READY);
	for (; now < 20000 + SERVER_MISSING_MS; now += 100) {
		g_assert_cmpint(server_state_of(&s, "b"), ==, SERVER_READY);
		servers_set_outage(&s, false, now + 2300);
		servers_tick(&s, now);
	}
	servers_tick(&s, now);
	g_assert_null(servers_find(&s, name_hash("b")));
	servers_finish(&s);
}

/* Guards against requests to a server that has left, after an older list. */
static void
test_doubt(void)
{
	struct servers s;
	uint64_t gone, again;

	servers_init(&s, &ops);
	servers_set_retention(&s, 20000);
	list_server(&s, 0, "a", false, 5);
	list_server(&s, 0, "b", true, 5);
	list_server(&s, 0, "c", false, 9);
	servers_unlist(&s, 100, "a");
	servers_tick(&s, 200);
	servers_keep_gone(&s, 6000);
	gone = servers_mark(&s);
	list_server(&s, 1000, "a", false, 5);
	list_server(&s, 1000, "b", false, 5);
	/* An entry of an earlier process. */
	list_server(&s, 1000, "c", true, 4);
	again = servers_mark(&s);
	g_assert_cmpint(server_state_of(&s, "a"), ==, SERVER_GONE);
	g_assert_cmpint(server_state_of(&s, "b"), ==, SERVER_DRAINING);
	g_assert_cmpint(server_state_of(&s, "c"), ==, SERVER_READY);
	/* The mark includes the listed entry, as at nodes that trust the list.
	 */
	g_assert_cmpuint(again, !=, gone);
	servers_unlist(&s, 2000, "a");
	g_assert_cmpuint(servers_mark(&s), ==, gone);
	list_server(&s, 3000, "a", false, 5);
	list_server(&s, 3100, "a", true, 5);
	servers_tick(&s, 7000);
	g_assert_cmpint(server_state_of(&s, "a"), ==, SERVER_GONE);
	servers_finish(&s);
}

/* Guards against a server that returned and is never used again. */
static void
test_doubt_ends(void)
{
	struct servers s;

	servers_init(&s, &ops);
	servers_set_retention(&s, 20000);
	list_server(&s, 0, "a", false, 5);
	servers_unlist(&s, 100, "a");
	servers_keep_gone(&s, 6000);
	list_server(&s, 1000, "a", false, 5);
	servers_tick(&s, 5900);
	g_assert_cmpint(server_state_of(&s, "a"), ==, SERVER_GONE);
	servers_tick(&s, 6000);
	g_assert_cmpint(server_state_of(&s, "a"), ==, SERVER_READY);
	/* A new process with the same name is ready at once. */
	servers_unlist(&s, 7000, "a");
	servers_keep_gone(&s, 15000);
	list_server(&s, 8000, "a", false, 6);
	g_assert_cmpint(server_state_of(&s, "a"), ==, SERVER_READY);
	servers_finish(&s);
}

/*
 * Guards against a mark that covers servers held although they are unlisted:
 * nodes that accepted such a mark as current never learned that the server had
 * left.
 */
static void
test_mark_of_held(void)
{
	struct servers held, other;

	servers_init(&held, &ops);
	servers_init(&other, &ops);
	list_server(&held, 0, "a", false, 0);
	list_server(&held, 0, "b", false, 0);
	list_server(&other, 0, "a", false, 0);
	list_server(&other, 0, "b", false, 0);
	servers_keep_unlisted(&held, 3000);
	servers_unlist(&held, 1000, "a");
	servers_unlist(&other, 1000, "a");
	g_assert_cmpint(server_state_of(&held, "a"), ==, SERVER_READY);
	g_assert_cmpuint(servers_mark(&held), ==, servers_mark(&other));
	list_server(&held, 2000, "a", false, 0);
	g_assert_cmpuint(servers_mark(&held), !=, servers_mark(&other));
	servers_finish(&held);
	servers_finish(&other);
}

/* Results of an earlier process do not affect a new one. */
static void
test_anew(void)
{
	struct servers s;
	struct server *v;
	unsigned int i;

	servers_init(&s, &ops);
	list_server(&s, 0, "a", false, 5);
	v = servers_find(&s, name_hash("a"));
	for (i = 0; i < 5; i++)
		server_record_result(v, 100, SERVER_FAILED);
	g_assert_cmpint(v->resting_until, >, 100);
	changed_calls = 0;
	list_server(&s, 200, "a", false, 9);
	g_assert_cmpint(v->resting_until, ==, 0);
	g_assert_cmpuint(changed_calls, ==, 1);
	servers_finish(&s);
}

static const struct server_wish light = { .own = 1000, .shared = 300 };

static void
list_servers(struct servers *s, unsigned int n)
{
	char name[16];
	unsigned int i;

	for (i = 0; i < n; i++) {
		g_snprintf(name, sizeof name, "s%u", i);
		list_server(s, 0, name, false, 0);
	}
}

static struct server *
choose_server(
    struct servers *s, msec now, uint64_t prompt, const struct server_view *v)
{
	struct server_wish w = { .service = name_hash("svc"),
		.prompt = prompt,
		.shared = 13000,
		.own = 4000 };

	return server_choose(s, now, &w, v, 1);
}

/* How many of the requests, one each millisecond, go to server `v`. */
static unsigned int
count_chosen(struct servers *s, const struct server *v, msec from, msec until,
    const struct server_view *view)
{
	unsigned int n = 0;
	msec now;

	for (now = from; now < until; now++)
		n += choose_server(s, now, 0, view) == v;
	return n;
}

/*
 * Guards against a dead server that gets every request while the other servers
 * have reached the rate limits that they state. It may only be tried now and
 * then.
 */
static void
test_down(void)
{
	struct server_view view = { .domain = "",
		.groups = 1,
		.all = true,
		.sole = true,
		.nodes = 10 };
	struct server *down, *limited;
	struct servers s;

	servers_init(&s, &ops);
	list_server(&s, 0, "a", false, 5);
	list_server(&s, 0, "b", false, 5);
	down = servers_find(&s, name_hash("a"));
	limited = servers_find(&s, name_hash("b"));
	server_rate_update(&limited->rate, 1000, 1000, SERVER_RATE_MIN);
	server_record_result(down, 1000, SERVER_DOWN);
	g_assert_cmpuint(count_chosen(&s, down, 1000, 3000, &view), <=, 4);
	g_assert_cmpuint(count_chosen(&s, down, 3000, 5000, &view), >=, 3);
	/* A node that is not the only one to decide tries it less often. */
	view.sole = false;
	g_assert_cmpuint(count_chosen(&s, down, 5000, 9000, &view), <=, 1);
	view.sole = true;
	server_record_result(down, 9000, SERVER_FULL);
	g_assert_cmpuint(count_chosen(&s, down, 9000, 9100, &view), ==, 100);
	/* Also without any other server; a new process is used at once. */
	server_record_result(down, 10000, SERVER_DOWN);
	g_assert_cmpuint(count_chosen(&s, down, 10000, 10100, &view), <=, 1);
	list_server(&s, 10100, "a", false, 6);
	g_assert_cmpuint(count_chosen(&s, down, 10100, 10200, &view), ==, 100);
	servers_finish(&s);
}

/*
 * Guards against prompts sent to a server that starts again under its name as
 * if it still held them: all of them would be read again, one after another.
 */
static void
test_cache_of_restarted(void)
{
	struct server_view view = { .all = true, .domain = "", .groups = 1 };
	struct server *v, *home;
	struct servers s;

	servers_init(&s, &ops);
	list_server(&s, 0, "a", false, 5);
	list_server(&s, 0, "b", false, 5);
	home = choose_server(&s, 0, 7, &view);
	v = servers_find(
	    &s, name_hash(strcmp(home->name, "a") == 0 ? "b" : "a"));
	server_memory_note(&s.all_memory, 0, server_cache_id(v), 7);
	g_assert_true(choose_server(&s, 1, 7, &view) == v);
	list_server(&s, 2, v->name, false, 6);
	g_assert_true(choose_server(&s, 3, 7, &view) == home);
	servers_finish(&s);
}

/* A slow server is chosen last among equals, and is no quiet server. */
static void
test_slow(void)
{
	struct server_view view = { .all = true,
		.domain = "",
		.groups = 1,
		.quiet = 1,
		.light = true };
	struct server_wish w = { .service = name_hash("svc"), .own = 3000 };
	struct server *quiet, *other;
	struct servers s;
	unsigned int i;

	servers_init(&s, &ops);
	list_server(&s, 0, "a", false, 1);
	list_server(&s, 0, "b", false, 1);
	view.mean_speed = servers_mean_speed(&s, w.service, &view);
	quiet = server_choose(&s, 0, &w, &view, 1);
	other = servers_find(
	    &s, name_hash(strcmp(quiet->name, "a") == 0 ? "b" : "a"));
	for (i = 0; i < 30; i++)
		server_speed_record(&quiet->speed, 100, 300);
	view.mean_speed = servers_mean_speed(&s, w.service, &view);
	g_assert_true(server_choose(&s, 0, &w, &view, 1) == other);
	view.quiet = 0;
	quiet->all.unread = 3000;
	other->all.unread = 4000;
	g_assert_true(server_choose(&s, 0, &w, &view, 1) == other);
	other->all.unread = 12000;
	g_assert_true(server_choose(&s, 0, &w, &view, 1) == quiet);
	servers_finish(&s);
}

/* Two nodes without messages between them choose the same home server. */
static void
test_home(void)
{
	const struct server_view view = { .domain = "", .groups = 1 };
	unsigned int used = 0;
	struct servers a, b;
	struct server *v;
	uint64_t prompt;

	servers_init(&a, &ops);
	servers_init(&b, &ops);
	list_servers(&a, 18);
	list_servers(&b, 18);
	for (prompt = 1; prompt <= 200; prompt++) {
		v = choose_server(&a, 0, prompt, &view);
		g_assert_true(choose_server(&b, 0, prompt, &view)->id == v->id);
	}
	/* Every server is the home of some prompt. */
	RB_FOREACH (v, server_tree, &a.tree) {
		for (prompt = 1; prompt <= 200; prompt++) {
			if (choose_server(&a, 0, prompt, &view) == v) {
				used++;
				break;
			}
		}
	}
	g_assert_cmpuint(used, ==, 18);
	servers_finish(&a);
	servers_finish(&b);
}

/*
 * Guards against repeated processing of a prompt whose home has a long queue:
 * it goes to a second server, and then stays with the servers that have it.
 */
static void
test_second_choice(void)
{
	const struct server_view view = { .domain = "", .groups = 1 };
	struct server *home, *second;
	struct servers s;

	servers_init(&s, &ops);
	list_servers(&s, 18);
	home = choose_server(&s, 0, 7, &view);
	home->own.unread = 30000;
	g_assert_true(choose_server(&s, 0, 7, &view) == home);
	home->own.unread = 200000;
	second = choose_server(&s, 0, 7, &view);
	g_assert_true(second != home);
	server_memory_note(&s.memory, 0, second->id, 7);
	second->own.unread = 20000;
	g_assert_true(choose_server(&s, 1000, 7, &view) == second);
	home->own.unread = 0;
	g_assert_true(choose_server(&s, 1000, 7, &view) == home);
	servers_finish(&s);
}

/*
 * Guards against light streams paused by long prompts on the same server (a
 * fifth of the streams even under low load). Light requests and long prompts
 * use separate servers, and share them only when one side is overloaded.
 */
static void
test_parted(void)
{
	struct server_view heavy = { .domain = "", .groups = 1, .quiet = 3 };
	struct server_view quiet = heavy;
	struct server_wish w = light;
	GHashTable *a = g_hash_table_new(NULL, NULL);
	struct server *v;
	struct servers s;
	uint64_t i;

	quiet.light = true;
	w.service = name_hash("svc");
	servers_init(&s, &ops);
	list_servers(&s, 18);
	for (i = 0; i < 400; i++) {
		v = server_choose(&s, 0, &w, &quiet, (uint32_t)i);
		v->own.running++;
		g_hash_table_add(a, v);
	}
	g_assert_cmpuint(g_hash_table_size(a), >, 3);
	RB_FOREACH (v, server_tree, &s.tree)
		v->own.running = 0;
	g_hash_table_remove_all(a);
	for (i = 0; i < 60; i++) {
		v = server_choose(&s, 0, &w, &quiet, (uint32_t)i);
		v->own.running++;
		g_hash_table_add(a, v);
	}
	g_assert_cmpuint(g_hash_table_size(a), ==, 3);
	for (i = 1; i < 200; i++)
		g_assert_false(
		    g_hash_table_contains(a, choose_server(&s, 0, i, &heavy)));
	g_hash_table_unref(a);
	servers_finish(&s);
}

/*
 * Guards against a request being abandoned while it waits in the queue of an
 * overloaded server: in one burst, 530 of 4,900 requests were sent elsewhere
 * and processed twice. A request that the server lost must still be detected:
 * the server begins later, less urgent ones or sends nothing any more.
 */
static void
test_forgot(void)
{
	struct servers s;
	struct server *v;

	servers_init(&s, &ops);
	list_server(&s, 0, "a", false, 5);
	v = servers_find(&s, name_hash("a"));
	/* It answers earlier and more urgent ones: the request still waits. */
	server_response_received(v, 3900, 2, 900);
	server_response_received(v, 3950, 0, 3000);
	g_assert_false(server_lost_request(v, 4000, 2, 1000, 1000));
	/* It has begun a later, less urgent one. */
	server_response_received(v, 4010, 3, 1500);
	g_assert_true(server_lost_request(v, 4020, 2, 1000, 1000));
	g_assert_false(server_lost_request(v, 4020, 2, 1600, 1000));
	/* The server sends nothing any more. */
	g_assert_false(server_lost_request(v, 5000, 2, 1600, 1000));
	g_assert_true(server_lost_request(v, 5010, 2, 1600, 1000));
	servers_finish(&s);
}

static void
test_avoid(void)
{
	const struct server_view view = { .domain = "", .groups = 1 };
	struct server_wish w = { .service = name_hash("svc") };
	char last[SERVER_NAME_SIZE] = "";
	struct server *v;
	struct servers s;

	servers_init(&s, &ops);
	list_servers(&s, 3);
	while ((v = server_choose(&s, 0, &w, &view, 5)) != NULL) {
		g_assert_cmpuint(w.navoid, <, 3);
		w.avoid[w.navoid++] = v->id;
		g_strlcpy(last, v->name, sizeof last);
	}
	g_assert_cmpuint(w.navoid, ==, 3);
	g_assert_false(servers_have_alternative(&s, &w));
	/* The only remaining server drains. */
	w.navoid = 2;
	g_assert_true(servers_have_alternative(&s, &w));
	list_server(&s, 1, last, true, 0);
	g_assert_false(servers_have_alternative(&s, &w));
	g_assert_null(server_choose(&s, 1, &w, &view, 5));
	servers_finish(&s);
}

/*
 * Guards against a memory too small for the coordinator of a group, which has
 * about 400 prompts on several servers each. Prompts that it drops are sent
 * elsewhere and processed again.
 */
static void
test_memory_room(void)
{
	static struct server_memory m;
	unsigned int prompt, server, kept = 0;

	for (prompt = 1; prompt <= 400; prompt++) {
		for (server = 1; server <= 5; server++)
			server_memory_note(
			    &m, 1000, name_hash("v") + server, prompt * 977);
	}
	for (prompt = 1; prompt <= 400; prompt++) {
		for (server = 1; server <= 5; server++)
			kept += server_memory_has(&m, 1000,
			    name_hash("v") + server, prompt * 977, 5000);
	}
	g_assert_cmpuint(kept, >=, 1800);
}

/*
 * Guards against long prompts on the servers kept for light requests during a
 * burst, when the other servers have queues of 4 s.
 */
static void
test_mix_under_load(void)
{
	struct server_view view = {
		.all = true, .domain = "", .groups = 1, .quiet = 3
	};
	struct server_wish w = { .own = 17000 };
	struct servers s;
	struct server *v, *quiet;
	unsigned int i;

	w.service = name_hash("svc");
	servers_init(&s, &ops);
	list_servers(&s, 18);
	view.light = true;
	for (i = 0; i < 30; i++) {
		quiet = server_choose(&s, 0, &w, &view, i);
		quiet->missing_since = 1;
	}
	view.light = false;
	RB_FOREACH (v, server_tree, &s.tree)
		v->all.unread = v->missing_since != 0 ? 0 : 240000;
	for (i = 0; i < 20; i++) {
		v = server_choose(&s, 0, &w, &view, i);
		g_assert_cmpuint(v->all.unread, ==, 240000);
	}
	/* With extremely long queues they do get long prompts. */
	RB_FOREACH (v, server_tree, &s.tree) {
		if (v->all.unread != 0)
			v->all.unread = 1200000;
	}
	v = server_choose(&s, 0, &w, &view, 1);
	g_assert_cmpuint(v->all.unread, ==, 0);
	servers_finish(&s);
}

/*
 * Guards against servers that change their group when a service has one group
 * less: requests for the prompts that they have processed would go elsewhere.
 */
static void
test_groups_stay(void)
{
	struct server v = { 0 };
	unsigned int i, moved = 0, sizes[5] = { 0 };

	for (i = 0; i < 1000; i++) {
		v.id = name_hash("v") + i;
		server_set_rank(&v);
		moved += server_group(&v, 5) != server_group(&v, 4);
		sizes[server_group(&v, 5)]++;
	}
	g_assert_cmpuint(moved, <, 260);
	for (i = 0; i < 5; i++)
		g_assert_cmpuint(sizes[i], >, 140);
}

/*
 * Guards against requests that wait for a slot at the home of their prompt
 * while another server is idle: processing the prompt again there is quicker.
 */
static void
test_slots_full(void)
{
	struct server_wish w = { .service = name_hash("svc"),
		.prompt = 7,
		.shared = 3000,
		.own = 100 };
	struct server_view view = { .all = true, .domain = "", .groups = 1 };
	struct server *home, *other;
	struct servers s;

	servers_init(&s, &ops);
	list_server(&s, 0, "a", false, 1);
	list_server(&s, 0, "b", false, 1);
	home = server_choose(&s, 0, &w, &view, 1);
	server_memory_note(&s.all_memory, 0, home->id, w.prompt);
	other = servers_find(
	    &s, name_hash(strcmp(home->name, "a") == 0 ? "b" : "a"));
	home->slots = other->slots = 8;
	home->all.running = 8;
	/* The wait for a slot is 63 ms; processing again counts as 500. */
	view.hold_ms = 500;
	g_assert_true(server_choose(&s, 0, &w, &view, 1) == home);
	home->all.running = 20;
	g_assert_true(server_choose(&s, 0, &w, &view, 1) == other);
	/* The hold time or the number of slots is unknown. */
	view.hold_ms = 0;
	g_assert_true(server_choose(&s, 0, &w, &view, 1) == home);
	view.hold_ms = 500;
	home->slots = 0;
	g_assert_true(server_choose(&s, 0, &w, &view, 1) == home);
	servers_finish(&s);
}

/*
 * Guards against a node that reports healthy servers as down to the
 * coordinators when its own network link is congested. In one case no server
 * confirmed its connections in time for 10 s, and prompts were sent where they
 * had to be processed again. Single failed servers, also several at once, must
 * still be detected.
 */
static void
test_out_of_reach(void)
{
	struct servers s;
	struct server *v;
	unsigned int i;

	servers_init(&s, &ops);
	list_servers(&s, 12);
	g_assert_true(servers_in_reach(&s, 0));
	/* Only one server, however often, does not count. */
	v = RB_MIN(server_tree, &s.tree);
	for (i = 0; i < 20; i++)
		servers_connect_timed_out(&s, i, v);
	g_assert_true(servers_in_reach(&s, 20));
	/* Some servers do not answer; the others do. */
	for (i = 0; i < 40; i++) {
		if (i % 3 != 0)
			servers_reached(&s, 3000 + i * 10);
		else
			servers_connect_timed_out(&s, 3000 + i * 10, v);
		v = RB_NEXT(server_tree, &s.tree, v);
		if (v == NULL || i % 4 == 3)
			v = RB_MIN(server_tree, &s.tree);
		g_assert_true(servers_in_reach(&s, 3000 + i * 10));
	}
	/* No server answers. */
	v = RB_MIN(server_tree, &s.tree);
	for (i = 0; i < 3; i++) {
		g_assert_true(servers_in_reach(&s, 9000 + i));
		servers_connect_timed_out(&s, 9000 + i, v);
		v = RB_NEXT(server_tree, &s.tree, v);
	}
	g_assert_false(servers_in_reach(&s, 9003));
	/* More failures at one of them change nothing. */
	for (i = 0; i < 10; i++)
		servers_connect_timed_out(
		    &s, 9003, RB_MIN(server_tree, &s.tree));
	g_assert_false(servers_in_reach(&s, 9003));
	/* Some connections succeed. */
	for (i = 0; i < 6; i++)
		servers_reached(&s, 9100 + i);
	g_assert_true(servers_in_reach(&s, 9105));
	/* Low load: three servers fail, one each second. */
	for (i = 0; i < 3; i++) {
		servers_connect_timed_out(&s, 13000 + i * 1000, v);
		v = RB_NEXT(server_tree, &s.tree, v);
		g_assert_true(servers_in_reach(&s, 13000 + i * 1000));
	}
	/* Two failed servers are not tried again; the third keeps failing. */
	for (i = 0; i < 3; i++) {
		servers_connect_timed_out(&s, 18000, v);
		v = RB_NEXT(server_tree, &s.tree, v);
	}
	v = RB_MIN(server_tree, &s.tree);
	for (i = 0; i < 10; i++)
		servers_connect_timed_out(&s, 18000 + i * 300, v);
	g_assert_false(servers_in_reach(&s, 20700));
	/* The result expires without new failures. */
	for (i = 0; i < 12; i++, v = RB_NEXT(server_tree, &s.tree, v)) {
		if (v == NULL)
			v = RB_MIN(server_tree, &s.tree);
		servers_connect_timed_out(&s, 26000, v);
	}
	g_assert_false(servers_in_reach(&s, 26500));
	g_assert_true(servers_in_reach(&s, 28000));
	servers_finish(&s);
}

static void
list_software(struct servers *s, msec now, const char *software)
{
	struct server_entry e = { .name = "a",
		.service = "svc",
		.domain = "d1",
		.address = 1,
		.port = 80,
		.software = software };

	servers_list(s, now, &e);
}

/* Guards against a second version where a process came back with the same. */
static void
test_replaced_same(void)
{
	struct server_entry e = { .name = "a",
		.service = "svc",
		.domain = "d1",
		.born = 100,
		.software = "v1" };
	struct servers s;
	struct server *v;

	servers_init(&s, &ops);
	servers_keep_versions(&s, 26000);
	servers_list(&s, 10, &e);
	v = servers_find(&s, name_hash("a"));
	servers_replaced(&s, 1000, v, 200);
	servers_tick(&s, 1100);
	g_assert_true(server_versions_differ(&s.versions, 1100, v->service));
	e.born = 200;
	servers_list(&s, 1200, &e);
	g_assert_false(server_versions_differ(&s.versions, 1300, v->service));
	servers_finish(&s);
}

/* Guards against an old entry that names the version of a newer process. */
static void
test_replaced(void)
{
	struct server_entry e = { .name = "a",
		.service = "svc",
		.domain = "d1",
		.born = 100,
		.software = "v1" };
	struct server_wish w = { .service = name_hash("svc"),
		.software = name_hash("v1") };
	struct servers s;
	struct server *v;

	servers_init(&s, &ops);
	servers_list(&s, 10, &e);
	v = servers_find(&s, name_hash("a"));
	g_assert_true(server_suits(v, &w));
	servers_replaced(&s, 1000, v, 200);
	g_assert_false(server_suits(v, &w));
	servers_list(&s, 2000, &e);
	g_assert_false(server_suits(v, &w));
	e.born = 200;
	e.software = "v2";
	servers_list(&s, 3000, &e);
	w.software = name_hash("v2");
	g_assert_true(server_suits(v, &w));
	/* One that takes the place of a leaving one does not leave. */
	e.draining = true;
	servers_list(&s, 3400, &e);
	servers_replaced(&s, 3500, v, 400);
	e.born = 400;
	e.draining = false;
	servers_list(&s, 3600, &e);
	g_assert_true(server_takes_work(v, 3600));
	/* An entry that is still there much later is no old one. */
	e.born = 150;
	e.software = "v1";
	servers_list(&s, 20000, &e);
	g_assert_false(server_suits(v, &w));
	servers_finish(&s);
}

/* Guards against two processes under one name that are taken for one. */
static void
test_software(void)
{
	const struct server *v;
	struct servers s;
	uint64_t mark;

	servers_init(&s, &ops);
	list_software(&s, 0, NULL);
	v = servers_find(&s, name_hash("a"));
	g_assert_cmpuint(v->software_id, ==, 0);
	mark = servers_mark(&s);
	list_software(&s, 0, "v1");
	g_assert_cmpstr(v->software, ==, "v1");
	g_assert_cmpuint(v->starts, ==, 0);
	g_assert_cmpuint(servers_mark(&s), !=, mark);
	list_software(&s, 0, NULL);
	g_assert_cmpstr(v->software, ==, "v1");
	g_assert_cmpuint(v->starts, ==, 0);
	list_software(&s, 0, "v2");
	g_assert_cmpstr(v->software, ==, "v2");
	g_assert_cmpuint(v->starts, ==, 1);
	servers_finish(&s);
}

/* Guards against two versions that are one as their names are shortened. */
static void
test_software_long(void)
{
	static const char first[] =
	    "release-2026-12-07-of-the-model-engine-for-schedule-plans+build-1";
	static const char second[] =
	    "release-2026-12-07-of-the-model-engine-for-schedule-plans+build-2";
	g_autofree char *cut = g_strndup(first, SERVER_SOFTWARE_SIZE - 1);
	const struct server *v;
	struct servers s;
	name_id id;

	servers_init(&s, &ops);
	list_software(&s, 0, first);
	v = servers_find(&s, name_hash("a"));
	id = v->software_id;
	g_assert_cmpuint(id, !=, 0);
	list_software(&s, 1, first);
	g_assert_cmpuint(v->starts, ==, 0);
	list_software(&s, 2, second);
	g_assert_cmpuint(v->software_id, !=, id);
	g_assert_cmpuint(v->starts, ==, 1);
	id = v->software_id;
	list_software(&s, 3, cut);
	g_assert_cmpuint(v->software_id, !=, id);
	g_assert_cmpuint(v->starts, ==, 2);
	servers_finish(&s);
}

/* Guards against another node that takes one long version for another. */
static void
test_software_passed_on(void)
{
	static const char first[] =
	    "release-2026-12-07-of-the-model-engine-for-schedule-plans+build-1";
	g_autofree char *passed_on = NULL;
	struct servers here, there;
	uint64_t mark;

	servers_init(&here, &ops);
	servers_init(&there, &ops);
	list_software(&here, 0, first);
	mark = servers_mark(&here);
	passed_on = g_strdup(servers_find(&here, name_hash("a"))->software);
	list_software(&there, 0, passed_on);
	g_assert_cmpuint(servers_mark(&there), ==, mark);
	list_software(&there, 1, first);
	g_assert_cmpuint(servers_mark(&there), ==, mark);
	g_assert_cmpuint(servers_find(&there, name_hash("a"))->starts, ==, 0);
	servers_finish(&here);
	servers_finish(&there);
}

/* Guards against a node that is sure of one version without a list to show it.
 */
static void
test_version_view(void)
{
	const name_id svc = name_hash("svc");
	const msec kept = 26000, start = 500000;
	struct servers s;

	servers_init(&s, &ops);
	servers_keep_versions(&s, kept);
	/* No list was read. */
	g_assert_cmpint(servers_version_view(&s, start, svc, start), ==,
	    VERSION_VIEW_UNSURE);
	list_server(&s, start, "a", false, 5);
	/* Of the list so far, no server tells a version. */
	g_assert_cmpint(servers_version_view(&s, start, svc, start), ==,
	    VERSION_VIEW_UNSURE);
	servers_set_complete(&s);
	g_assert_cmpint(
	    servers_version_view(&s, start, svc, start), ==, VERSION_VIEW_ONE);
	/* A service without servers. */
	g_assert_cmpint(
	    servers_version_view(&s, start, name_hash("other"), start), ==,
	    VERSION_VIEW_UNSURE);
	list_software(&s, start, "v1");
	g_assert_cmpint(servers_version_view(&s, start, svc, start), ==,
	    VERSION_VIEW_SEVERAL);
	list_software(&s, start + kept - 1, "v1");
	g_assert_cmpint(servers_version_view(&s, start + kept - 1, svc, start),
	    ==, VERSION_VIEW_SEVERAL);
	g_assert_cmpint(
	    servers_version_view(&s, start + kept, svc, start + kept), ==,
	    VERSION_VIEW_ONE);
	g_assert_cmpint(servers_version_view(&s, start + kept, svc,
			    start + kept - SERVER_LIST_AGE_MS - 1),
	    ==, VERSION_VIEW_UNSURE);
	g_assert_cmpint(servers_version_view(&s, start + kept, svc, MSEC_NEVER),
	    ==, VERSION_VIEW_UNSURE);
	servers_finish(&s);
}

/* Guards against a list that is empty for long and shows no version. */
static void
test_version_view_empty(void)
{
	struct servers s;

	servers_init(&s, &ops);
	servers_keep_versions(&s, 26000);
	servers_set_complete(&s);
	g_assert_cmpint(
	    servers_version_view(&s, 500000, name_hash("svc"), 500000), ==,
	    VERSION_VIEW_UNSURE);
	servers_finish(&s);
}

/* When a node that reads its list at `listed` refuses; -1: never. */
static msec
start_refused_after(msec arrived, msec listed, msec target)
{
	struct servers s;
	msec now, wait = 0;

	servers_init(&s, &ops);
	for (now = arrived; now < listed; now += wait) {
		wait = servers_retry_ms(
		    &s, name_hash("svc"), now, now - arrived, target);
		if (wait == 0)
			break;
	}
	/* Nothing is held in vain once the list is known. */
	servers_set_complete(&s);
	g_assert_cmpint(
	    servers_retry_ms(&s, name_hash("svc"), now, 0, target), ==, 0);
	servers_finish(&s);
	return now < listed ? now - arrived : -1;
}

/*
 * Guards against refusals by all nodes of a fleet that starts at once: 300
 * nodes start within a second with empty tables and read their lists after 10
 * to 390 ms. What cannot be held is refused within an eighth of its target.
 */
static void
test_all_start(void)
{
	/* Two of the intervals at which a request looks again. */
	const msec step = 30;
	const msec target = 1600, early = target / 8;
	unsigned int i, refused = 0, asks = 0;
	msec started, listed, now, after;

	for (i = 0; i < 300; i++) {
		started = 1000 + (msec)i * MSEC_SECOND / 300;
		listed = started + 10 + (msec)(i % 20) * 20;
		for (now = started; now < listed; now += 50, asks++) {
			after = start_refused_after(now, listed, target);
			if (after < 0)
				continue;
			refused++;
			g_assert_cmpint(listed - now, >, early - step);
			g_assert_cmpint(after, <=, early);
			g_assert_cmpint(after, >, early - step);
		}
	}
	g_assert_cmpuint(refused, >, 0);
	g_assert_cmpuint(refused, <, asks / 2);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/server/cache-of-restarted", test_cache_of_restarted);
	g_test_add_func("/server/slow", test_slow);
	g_test_add_func("/server/draining", test_draining);
	g_test_add_func("/server/leaves-at", test_leaves_at);
	g_test_add_func("/server/listed-again", test_listed_again);
	g_test_add_func("/server/hold", test_hold);
	g_test_add_func("/server/outage-hold", test_outage_hold);
	g_test_add_func("/server/doubt", test_doubt);
	g_test_add_func("/server/doubt-ends", test_doubt_ends);
	g_test_add_func("/server/mark-of-held", test_mark_of_held);
	g_test_add_func("/server/anew", test_anew);
	g_test_add_func("/server/down", test_down);
	g_test_add_func("/server/home", test_home);
	g_test_add_func("/server/second-choice", test_second_choice);
	g_test_add_func("/server/parted", test_parted);
	g_test_add_func("/server/forgot", test_forgot);
	g_test_add_func("/server/avoid", test_avoid);
	g_test_add_func("/server/memory-room", test_memory_room);
	g_test_add_func("/server/slots-full", test_slots_full);
	g_test_add_func("/server/mix-under-load", test_mix_under_load);
	g_test_add_func("/server/groups-stay", test_groups_stay);
	g_test_add_func("/server/out-of-reach", test_out_of_reach);
	g_test_add_func("/server/software", test_software);
	g_test_add_func("/server/software-long", test_software_long);
	g_test_add_func("/server/software-passed-on", test_software_passed_on);
	g_test_add_func("/server/replaced", test_replaced);
	g_test_add_func("/server/replaced-same", test_replaced_same);
	g_test_add_func("/server/version-view", test_version_view);
	g_test_add_func("/server/version-view-empty", test_version_view_empty);
	g_test_add_func("/server/all-start", test_all_start);
	return g_test_run();
}
