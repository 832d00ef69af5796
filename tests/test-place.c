/*
 * Tests place.c, the choice of a server for each request, over several nodes in
 * virtual time, with delayed and lost messages. (placement.c, which loads
 * models on engines, is tested in test-placement.c.)
 */

#include "util-place.h"

#include <string.h>

#define SERVERS 18

static struct places ps;

/*
 * Guards against an uneven load when all nodes send long prompts at once: if
 * each node decided by its own requests alone, some servers would get too many.
 */
static void
test_even(void)
{
	static struct place_request r[144];
	unsigned int i, most = 0;
	struct server *v;

	places_start(&ps, 8, SERVERS);
	for (i = 0; i < G_N_ELEMENTS(r); i++) {
		places_fill_request(&r[i], 0, 4000);
		place_submit(&ps.nodes[i % 8].place, ps.now, &r[i]);
		if (i % 8 == 7)
			places_run(&ps, 5);
	}
	for (i = 0; i < ps.n; i++)
		g_assert_cmpuint(ps.nodes[i].decided, ==, 18);
	for (i = 0; i < ps.n; i++) {
		RB_FOREACH (v, server_tree, &ps.nodes[i].servers.tree)
			most = MAX(most, v->all.running);
	}
	g_assert_cmpuint(most, ==, 8);
	/* All counts return to 0. */
	for (i = 0; i < G_N_ELEMENTS(r); i++) {
		place_prompt_read(&ps.nodes[i % 8].place, ps.now, &r[i]);
		place_end(
		    &ps.nodes[i % 8].place, ps.now, &r[i], SERVER_NO_RESULT);
	}
	places_run(&ps, 5);
	for (i = 0; i < ps.n; i++) {
		RB_FOREACH (v, server_tree, &ps.nodes[i].servers.tree) {
			g_assert_cmpuint(v->all.running, ==, 0);
			g_assert_cmpuint(v->all.unread, ==, 0);
			g_assert_cmpuint(v->own.running, ==, 0);
			g_assert_cmpuint(v->own.unread, ==, 0);
		}
	}
	places_stop(&ps);
}

/* Guards against a prompt of all nodes that several servers process. */
static void
test_one_reader(void)
{
	struct place_request r;
	name_id where = 0;
	unsigned int i;

	places_start(&ps, 8, SERVERS);
	for (i = 0; i < 40; i++) {
		places_fill_request(&r, 77, 100);
		place_submit(&ps.nodes[i % 8].place, ps.now, &r);
		places_run(&ps, 5);
		if (i == 0)
			where = ps.nodes[0].last->id;
		g_assert_true(ps.nodes[i % 8].last->id == where);
		place_end(&ps.nodes[i % 8].place, ps.now, &r, SERVER_NO_RESULT);
	}
	places_stop(&ps);
}

/* Checks what all nodes together count on a server. */
static void
check_load(name_id server, unsigned int running, uint64_t unread)
{
	unsigned int i, sum = 0;
	uint64_t tokens = 0;
	struct server *v;

	for (i = 0; i < ps.n; i++) {
		v = servers_find(&ps.nodes[i].servers, server);
		sum += v->all.running;
		tokens += v->all.unread;
	}
	g_assert_cmpuint(sum, ==, running);
	g_assert_cmpuint(tokens, ==, unread);
}

/*
 * Guards against a run that is counted twice or not at all after its move, and
 * against a copy that counts as a prompt to be read.
 */
static void
test_hand_over(void)
{
	struct place_request r, copy;
	name_id from, to;

	places_start(&ps, 8, SERVERS);
	places_fill_request(&r, 0, 4000);
	place_submit(&ps.nodes[0].place, ps.now, &r);
	places_run(&ps, 5);
	from = r.server;
	place_prompt_read(&ps.nodes[0].place, ps.now, &r);
	places_fill_request(&copy, 0, 4000);
	copy.wish.navoid = 1;
	copy.wish.avoid[0] = from;
	place_submit(&ps.nodes[0].place, ps.now, &copy);
	places_run(&ps, 5);
	to = copy.server;
	g_assert_true(to != from);
	check_load(from, 1, 0);
	check_load(to, 1, 4000);
	place_end(&ps.nodes[0].place, ps.now, &r, SERVER_NO_RESULT);
	place_hand_over(&ps.nodes[0].place, ps.now, &copy, &r);
	place_end(&ps.nodes[0].place, ps.now, &copy, SERVER_NO_RESULT);
	places_run(&ps, 5);
	g_assert_true(r.server == to);
	check_load(from, 0, 0);
	check_load(to, 1, 0);
	place_end(&ps.nodes[0].place, ps.now, &r, SERVER_ANSWERED);
	places_run(&ps, 5);
	check_load(to, 0, 0);
	g_assert_cmpuint(
	    servers_find(&ps.nodes[0].servers, to)->own.running, ==, 0);
	places_stop(&ps);
}

/*
 * Guards against a crashed server that each node has to find by itself: the
 * coordinator must stop choosing it after the first reported failure. A request
 * that may be sent only twice could otherwise meet two crashed servers.
 */
static void
test_down(void)
{
	struct place_request r;
	struct server *v;
	unsigned int i, hits = 0;
	char down[SERVER_NAME_SIZE] = "";

	places_start(&ps, 8, SERVERS);
	for (i = 0; i < 400; i++) {
		places_fill_request(&r, 0, 100);
		place_submit(&ps.nodes[i % 8].place, ps.now, &r);
		places_run(&ps, 5);
		v = ps.nodes[i % 8].last;
		if (i == 0)
			g_strlcpy(down, v->name, sizeof down);
		if (strcmp(v->name, down) == 0) {
			hits++;
			place_end(
			    &ps.nodes[i % 8].place, ps.now, &r, SERVER_DOWN);
		} else {
			place_end(&ps.nodes[i % 8].place, ps.now, &r,
			    SERVER_ANSWERED);
		}
	}
	/* In 2,000 ms it is tried again now and then, not by each node. */
	g_assert_cmpuint(hits, <=, 4);
	places_stop(&ps);
}

/* Guards against the use of a draining server that the coordinator chose. */
static void
test_draining(void)
{
	struct place_request r;
	unsigned int n;
	uint64_t prompt;

	places_start(&ps, 2, 2);
	n = 1 - places_coordinator_index(&ps);
	servers_find(&ps.nodes[n].servers, name_hash("s0"))->state =
	    SERVER_DRAINING;
	/* The coordinator's state is older, so it chooses s0 for some. */
	for (prompt = 1; prompt <= 16; prompt++) {
		places_fill_request(&r, prompt, 100);
		place_submit(&ps.nodes[n].place, ps.now, &r);
		places_run(&ps, 20);
		g_assert_cmpuint(ps.nodes[n].decided, ==, prompt);
		g_assert_cmpstr(ps.nodes[n].last->name, ==, "s1");
		place_end(&ps.nodes[n].place, ps.now, &r, SERVER_NO_RESULT);
	}
	g_assert_cmpuint(ps.nodes[n].place.counters.alone, >, 0);
	places_stop(&ps);
}

/*
 * Guards against costs that grow with the fleet: with 60 nodes and 600 servers,
 * no node coordinates all requests, and a request takes a few messages.
 */
static void
test_large(void)
{
	struct place_request r;
	unsigned int i, most = 0;
	uint64_t before;

	places_start(&ps, 60, 600);
	before = ps.sent;
	for (i = 0; i < 1200; i++) {
		places_fill_request(&r, i, 100);
		place_submit(&ps.nodes[i % 60].place, ps.now, &r);
		places_run(&ps, 4);
		g_assert_nonnull(ps.nodes[i % 60].last);
		place_prompt_read(&ps.nodes[i % 60].place, ps.now, &r);
		place_end(
		    &ps.nodes[i % 60].place, ps.now, &r, SERVER_NO_RESULT);
	}
	g_assert_cmpuint((ps.sent - before) / 1200, <=, 4);
	for (i = 0; i < 60; i++)
		most = MAX(
		    most, (unsigned int)ps.nodes[i].place.counters.coordinated);
	g_assert_cmpuint(most, <, 300);
	places_stop(&ps);
}

/*
 * Guards against a node that treats a busy server as dead: with 60 nodes and
 * two servers, each node receives few answers. The node must get the expected
 * wait of a queued request; otherwise it sends the request elsewhere, where its
 * prompt is processed again and makes the queues longer.
 */
static void
test_busy_is_told(void)
{
	static struct place_request r[60];
	unsigned int i;

	places_start(&ps, 60, 2);
	for (i = 0; i < G_N_ELEMENTS(r); i++) {
		places_fill_request(&r[i], 0, 6000);
		place_submit(&ps.nodes[i].place, ps.now, &r[i]);
		places_run(&ps, 5);
	}
	/* 30 prompts per server, at 60 tokens per ms. */
	g_assert_cmpint(r[59].queue.wait, >=, 2500);
	g_assert_cmpint(r[59].queue.wait, <=, 3100);
	g_assert_cmpint(r[1].queue.wait, <=, 200);
	for (i = 0; i < G_N_ELEMENTS(r); i++)
		place_end(&ps.nodes[i].place, ps.now, &r[i], SERVER_ANSWERED);
	places_stop(&ps);
}

/*
 * Guards against a coordinator that places requests without a shared prompt on
 * servers of another group, whose load it does not know.
 */
static void
test_no_prompt_groups(void)
{
	struct place_request r[90];
	unsigned int i, know;
	struct server *v;

	places_start(&ps, 8, 45);
	for (i = 0; i < G_N_ELEMENTS(r); i++) {
		places_fill_last_tier(&r[i], 0, 100);
		r[i].wish.prompt = r[i].wish.shared = 0;
		place_submit(&ps.nodes[i % 8].place, ps.now, &r[i]);
		places_run(&ps, 5);
	}
	RB_FOREACH (v, server_tree, &ps.nodes[0].servers.tree) {
		for (i = know = 0; i < ps.n; i++)
			know += servers_find(&ps.nodes[i].servers, v->id)
				    ->all.running > 0;
		g_assert_cmpuint(know, <=, 1);
	}
	for (i = 0; i < G_N_ELEMENTS(r); i++)
		place_end(
		    &ps.nodes[i % 8].place, ps.now, &r[i], SERVER_ANSWERED);
	places_stop(&ps);
}

/* The highest pause that a node expects of a server. */
static double
node_expected_pause(const struct places_node *n)
{
	struct server *v;
	double most = 0;

	RB_FOREACH (v, server_tree, (struct server_tree *)&n->servers.tree)
		most = MAX(most, server_pace_expected(&v->pace, ps.now));
	return most;
}

/*
 * Guards against a coordinator that learns no pauses of other nodes' streams,
 * or counts the change of servers as a pause of the second one.
 */
static void
test_pauses(void)
{
	struct place_request r;
	unsigned int i, know = 0;

	places_start(&ps, 8, 4);
	places_fill_last_tier(&r, 0, 100);
	r.wish.navoid = 1;
	place_submit(&ps.nodes[0].place, ps.now, &r);
	places_run(&ps, 5);
	r.gap = 700;
	place_mark_late(&ps.nodes[0].place, ps.now, &r);
	place_end(&ps.nodes[0].place, ps.now, &r, SERVER_ANSWERED);
	places_run(&ps, 5);
	for (i = 0; i < ps.n; i++)
		g_assert_cmpfloat(node_expected_pause(&ps.nodes[i]), ==, 0);
	places_fill_last_tier(&r, 0, 100);
	place_submit(&ps.nodes[0].place, ps.now, &r);
	places_run(&ps, 5);
	r.gap = 300;
	place_mark_late(&ps.nodes[0].place, ps.now, &r);
	places_run(&ps, 5);
	for (i = 0; i < ps.n; i++)
		know += node_expected_pause(&ps.nodes[i]) > 300;
	g_assert_cmpuint(know, ==, 1);
	place_end(&ps.nodes[0].place, ps.now, &r, SERVER_ANSWERED);
	places_stop(&ps);
}

/*
 * Guards against a prompt that counts as cached though its request was refused
 * or abandoned before the server processed it. A prompt that another request
 * has processed meanwhile must stay cached.
 */
static void
test_never_read(void)
{
	struct place_request r;
	struct server *v;
	uint64_t unread = 0;
	unsigned int i;

	places_start(&ps, 1, 4);
	for (i = 0; i < 3; i++) {
		places_fill_request(&r, 7, 100);
		place_submit(&ps.nodes[0].place, ps.now, &r);
		unread = 0;
		RB_FOREACH (v, server_tree, &ps.nodes[0].servers.tree)
			unread += v->all.unread;
		/* The first ends unprocessed; the second is processed. */
		g_assert_cmpuint(unread, ==, i < 2 ? 13100 : 100);
		if (i > 0)
			place_prompt_read(&ps.nodes[0].place, ps.now, &r);
		place_end(&ps.nodes[0].place, ps.now, &r, SERVER_NO_RESULT);
	}
	places_stop(&ps);
}

/* Baselines use all servers, avoid tried ones and send no messages. */
static void
test_baselines(void)
{
	static const char *const names[] = { "random", "round-robin",
		"least-load", "two-choices" };
	static struct place_request r[64];
	struct server *first = NULL, *v;
	unsigned int i, k, used;

	for (k = 0; k < G_N_ELEMENTS(names); k++) {
		places_start(&ps, 1, 4);
		place_set_policy(&ps.nodes[0].place, names[k]);
		for (i = 0; i < G_N_ELEMENTS(r); i++) {
			places_fill_request(&r[i], 7, 4000);
			place_submit(&ps.nodes[0].place, ps.now, &r[i]);
			if (i == 0)
				first = ps.nodes[0].last;
		}
		used = 0;
		RB_FOREACH (v, server_tree, &ps.nodes[0].servers.tree) {
			used += v->own.running > 0;
			if (k == 1 || k == 2)
				g_assert_cmpuint(v->own.running, ==, 16);
		}
		g_assert_cmpuint(used, ==, 4);
		g_assert_cmpuint(ps.sent, ==, 0);
		for (i = 0; i < G_N_ELEMENTS(r); i++)
			place_end(
			    &ps.nodes[0].place, ps.now, &r[i], SERVER_ANSWERED);
		for (i = 0; i < 20; i++) {
			places_fill_request(&r[0], 7, 4000);
			r[0].wish.navoid = 1;
			r[0].wish.avoid[0] = first->id;
			place_submit(&ps.nodes[0].place, ps.now, &r[0]);
			g_assert_true(ps.nodes[0].last != first);
			place_end(
			    &ps.nodes[0].place, ps.now, &r[0], SERVER_ANSWERED);
		}
		places_stop(&ps);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/place/even", test_even);
	g_test_add_func("/place/one-reader", test_one_reader);
	g_test_add_func("/place/down", test_down);
	g_test_add_func("/place/draining", test_draining);
	g_test_add_func("/place/large", test_large);
	g_test_add_func("/place/busy-is-told", test_busy_is_told);
	g_test_add_func("/place/never-read", test_never_read);
	g_test_add_func("/place/hand-over", test_hand_over);
	g_test_add_func("/place/pauses", test_pauses);
	g_test_add_func("/place/no-prompt-groups", test_no_prompt_groups);
	g_test_add_func("/place/baselines", test_baselines);
	return g_test_run();
}
