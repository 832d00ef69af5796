/*
 * Requests that end the servers that run them, on virtual time: many nodes
 * with messages that take a while and get lost, servers that end under some
 * requests and take with them whatever else is there. What a user would see
 * when it goes wrong: one caller's request takes down server after server, or
 * a request is turned away that never did any harm.
 */

#include "util-poison.h"

#include <inttypes.h>

static void
world_check(struct world *w, unsigned int poisons)
{
	unsigned int i;

	for (i = 1; i <= poisons; i++) {
		g_test_message("poison %u: %u servers ended, %u times later", i,
		    w->poisons[i].ended, w->poisons[i].later);
		g_assert_cmpuint(w->poisons[i].later, <=, LATER_MAX);
	}
	g_test_message("served %u, refused %u, failed %u, messages %" PRIu64,
	    w->served, w->refused, w->failed, w->mail.sent);
}

/* ---- tests ---- */

/* Guards against a request that ends one server after the other. */
static void
test_ends(void)
{
	struct world w;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		poison_world_init(&w, 6, 12, seed);
		poison_world_run(&w, 20000, 10, 3, 166);
		world_check(&w, 3);
		poison_world_finish(&w);
	}
}

/* Guards against news of it that gets lost on its way. */
static void
test_lost_messages(void)
{
	struct world w;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		poison_world_init(&w, 6, 12, seed);
		w.mail.lost_permille = 200;
		poison_world_run(&w, 20000, 10, 3, 166);
		world_check(&w, 3);
		poison_world_finish(&w);
	}
}

/* Guards against nodes that start and know nothing. */
static void
test_restarts(void)
{
	struct world w;
	unsigned int i;
	uint32_t seed;

	for (seed = 1; seed <= 5; seed++) {
		poison_world_init(&w, 6, 12, seed);
		poison_world_run(&w, 4000, 10, 2, 166);
		for (i = 0; i < 12; i++) {
			poison_node_kill(&w, i % 6);
			poison_world_run(&w, 300, 10, 2, 166);
			poison_node_start(&w, i % 6);
			poison_world_run(&w, 700, 10, 2, 166);
		}
		poison_world_run(&w, 6000, 10, 2, 166);
		world_check(&w, 2);
		poison_world_finish(&w);
	}
}

/* Guards against a node that was cut off and does not hear when it is back. */
static void
test_cut_off(void)
{
	struct world w;
	uint32_t seed;

	for (seed = 1; seed <= 5; seed++) {
		poison_world_init(&w, 6, 12, seed);
		w.nodes[seed % 6].cut = true;
		poison_world_run(&w, 5000, 10, 2, 166);
		w.nodes[seed % 6].cut = false;
		poison_nodes_push(&w);
		poison_world_run(&w, 10000, 10, 2, 166);
		world_check(&w, 2);
		poison_world_finish(&w);
	}
}

/*
 * Guards against requests that are turned away as they were beside: each is
 * another, and what is asked often is cleared by its answers.
 */
static void
test_innocent(void)
{
	struct world w;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		poison_world_init(&w, 6, 12, seed);
		poison_world_run(&w, 20000, 10, 2, 166);
		g_test_message("served %u, refused %u", w.served, w.refused);
		/* Two in a thousand, as callers count what is denied. */
		g_assert_cmpuint(w.refused * 500, <=, w.served + 500 * 5);
		poison_world_finish(&w);
	}
}

static struct poison_id
any_id(unsigned int n)
{
	return (struct poison_id){ 5, n };
}

/* Guards against memory that grows with the requests beside it. */
static void
test_bounded(void)
{
	struct world w;
	struct poisons *p;
	unsigned int i;

	poison_world_init(&w, 1, 1, 1);
	p = &w.nodes[0].core;
	for (i = 1; i <= POISON_ENDS; i++)
		poison_ended(p, w.now, any_id(1), i);
	for (i = 2; i < 10 * POISON_RECORDS_MAX; i++)
		poison_ended(p, w.now, any_id(i), 99);
	g_assert_cmpuint(p->count, ==, POISON_RECORDS_MAX);
	g_assert_cmpuint(p->counters.dropped, >, 0);
	g_assert_true(poison_is_condemned(p, w.now, any_id(1)));
	poison_world_finish(&w);
}

/*
 * Guards against a request that is refused for good, though the servers were
 * mended; and against trials that come as often as its copies.
 */
static void
test_trial(void)
{
	struct poison_run run = { .id = any_id(1) }, other = run;
	struct world w;
	struct poisons *p;
	unsigned int i;
	msec wait, next;

	poison_world_init(&w, 1, 1, 1);
	p = &w.nodes[0].core;
	for (i = 1; i <= POISON_ENDS; i++)
		poison_ended(p, w.now, any_id(1), i);
	g_assert_cmpint(poison_ask(p, w.now, &run), ==, POISON_NO);
	wait = poison_trial_in(p, w.now, any_id(1));
	g_assert_cmpint(wait, >=, 60 * MSEC_SECOND);
	w.now += wait;
	g_assert_cmpint(poison_ask(p, w.now, &run), ==, POISON_GO);
	g_assert_cmpint(poison_ask(p, w.now, &other), ==, POISON_WAIT);
	poison_end(p, w.now, &other, false);
	poison_end(p, w.now, &run, true);
	/* Not before it is known whether the server has ended. */
	g_assert_cmpint(poison_ask(p, w.now, &other), ==, POISON_WAIT);
	poison_end(p, w.now, &other, false);
	poison_ended(p, w.now, any_id(1), 90);
	poison_settled(p, w.now, any_id(1));
	g_assert_cmpint(poison_ask(p, w.now, &run), ==, POISON_NO);
	next = poison_trial_in(p, w.now, any_id(1));
	g_assert_cmpint(next, >, 2 * wait);
	w.now += next;
	g_assert_cmpint(poison_ask(p, w.now, &run), ==, POISON_GO);
	poison_served(p, w.now, any_id(1));
	poison_end(p, w.now, &run, false);
	g_assert_cmpuint(poison_ends(p, any_id(1)), ==, 0);
	g_assert_cmpint(poison_ask(p, w.now, &other), ==, POISON_GO);
	poison_world_finish(&w);
}

/* Guards against a whole answer that one node knows of and the others do not.
 */
static void
test_cleared_everywhere(void)
{
	struct world w;
	unsigned int i;

	poison_world_init(&w, 6, 12, 1);
	for (i = 1; i <= POISON_ENDS; i++)
		poison_ended(&w.nodes[i].core, w.now, any_id(1), i);
	poison_world_run(&w, 500, 0, 0, 1);
	for (i = 0; i < w.n; i++)
		g_assert_true(
		    poison_is_condemned(&w.nodes[i].core, w.now, any_id(1)));
	poison_served(&w.nodes[5].core, w.now, any_id(1));
	poison_world_run(&w, 1500, 0, 0, 1);
	for (i = 0; i < w.n; i++)
		g_assert_cmpuint(
		    poison_ends(&w.nodes[i].core, any_id(1)), ==, 0);
	/* An old word does not bring it back. */
	poison_world_run(&w, 5000, 0, 0, 1);
	g_assert_cmpuint(poison_ends(&w.nodes[0].core, any_id(1)), ==, 0);
	poison_world_finish(&w);
}

static void
condemn_everywhere(struct world *w, unsigned int n)
{
	unsigned int i;

	for (i = 1; i <= POISON_ENDS; i++)
		poison_ended(&w->nodes[i].core, w->now, any_id(n), i);
	poison_world_run(w, 60, 0, 0, 1);
	for (i = 0; i < w->n; i++)
		g_assert_true(
		    poison_is_condemned(&w->nodes[i].core, w->now, any_id(n)));
}

/* Guards against a process that has just started and knows nothing, whoever it
 * is. */
static void
test_started(void)
{
	struct world w;
	unsigned int i, n;

	poison_world_init(&w, 6, 12, 1);
	for (n = 1; n <= 5; n++)
		condemn_everywhere(&w, n);
	for (i = 0; i < w.n; i++) {
		poison_node_kill(&w, i);
		poison_world_run(&w, 200, 0, 0, 1);
		poison_node_start(&w, i);
		poison_nodes_push(&w);
		poison_world_run(&w, 20, 0, 0, 1);
		for (n = 1; n <= 5; n++)
			g_assert_true(poison_is_condemned(
			    &w.nodes[i].core, w.now, any_id(n)));
	}
	poison_world_finish(&w);
}

/* Guards against a node that news did not reach, though it is held alive. */
static void
test_missed(void)
{
	struct world w;
	unsigned int i;

	poison_world_init(&w, 6, 12, 1);
	w.nodes[4].deaf = true;
	for (i = 1; i <= POISON_ENDS; i++)
		poison_ended(&w.nodes[i].core, w.now, any_id(1), i);
	poison_world_run(&w, 2000, 0, 0, 1);
	g_assert_false(poison_is_condemned(&w.nodes[4].core, w.now, any_id(1)));
	w.nodes[4].deaf = false;
	poison_world_run(&w, STABLE_MS, 0, 0, 1);
	g_assert_true(poison_is_condemned(&w.nodes[4].core, w.now, any_id(1)));
	poison_world_finish(&w);
}

/* Guards against one message that is lost: it is sent again. */
static void
test_sent_again(void)
{
	struct world w;
	unsigned int i, n;

	poison_world_init(&w, 6, 12, 1);
	for (n = 1; n <= 20; n++) {
		w.mail.lost_permille = 1000;
		for (i = 1; i <= POISON_ENDS; i++)
			poison_ended(&w.nodes[i].core, w.now, any_id(n), i);
		poison_world_run(&w, 50, 0, 0, 1);
		w.mail.lost_permille = 0;
		poison_world_run(&w, 700, 0, 0, 1);
		for (i = 0; i < w.n; i++)
			g_assert_true(poison_is_condemned(
			    &w.nodes[i].core, w.now, any_id(n)));
	}
	poison_world_finish(&w);
}

/* Guards against a suspect that several nodes try at the same time. */
static void
test_one_at_a_time(void)
{
	struct request *first, *second;
	struct world w;

	poison_world_init(&w, 6, 12, 1);
	poison_ended(&w.nodes[1].core, w.now, poison_name(1), 1);
	poison_ended(&w.nodes[2].core, w.now, poison_name(1), 2);
	poison_world_run(&w, 60, 0, 0, 1);
	first = poison_request_new(&w, &w.nodes[3], 1);
	poison_world_run(&w, 15, 0, 0, 1);
	second = poison_request_new(&w, &w.nodes[4], 1);
	poison_world_run(&w, 15, 0, 0, 1);
	g_assert_cmpuint(first->attempts, ==, 1);
	g_assert_cmpuint(second->attempts, ==, 0);
	poison_world_run(&w, 600, 0, 0, 1);
	g_assert_cmpuint(w.poisons[1].ended, ==, 1);
	poison_world_finish(&w);
}

/* Guards against a node that comes back and knows only what was before. */
static void
test_old_word(void)
{
	struct world w;
	unsigned int i;

	poison_world_init(&w, 6, 12, 1);
	condemn_everywhere(&w, 1);
	w.nodes[5].cut = true;
	poison_nodes_push(&w);
	poison_served(&w.nodes[0].core, w.now, any_id(1));
	poison_world_run(&w, 1500, 0, 0, 1);
	w.nodes[5].cut = false;
	poison_nodes_push(&w);
	poison_world_run(&w, 4000, 0, 0, 1);
	for (i = 0; i < 5; i++)
		g_assert_cmpuint(
		    poison_ends(&w.nodes[i].core, any_id(1)), ==, 0);
	poison_world_finish(&w);
}

/* Guards against an owner that is gone: one end alone does not stop a request.
 */
static void
test_owner_silent(void)
{
	struct world w;
	struct request *r;
	unsigned int i;

	poison_world_init(&w, 2, 4, 1);
	for (i = 0; i < 2; i++)
		w.nodes[i].cut = true;
	poison_ended(&w.nodes[0].core, w.now, poison_name(1), 1);
	poison_ended(&w.nodes[1].core, w.now, poison_name(1), 1);
	for (i = 0; i < 2; i++) {
		r = poison_request_new(&w, &w.nodes[i], 1);
		poison_world_run(&w, 300, 0, 0, 1);
		g_assert_cmpuint(r->attempts, >, 0);
	}
	poison_world_finish(&w);
}

/* Guards against names that two different requests share. */
static void
test_names(void)
{
	struct poison_request a = { "POST", "h", "/p", "org", "body", 4 };
	struct poison_request b = a, c = a, d = a;
	struct poison_id id = poison_id_make("key", &a);

	b.caller = "other";
	c.path = "/pb";
	c.body = "ody";
	c.length = 3;
	g_assert_true(poison_id_equal(id, poison_id_make("key", &d)));
	g_assert_false(poison_id_equal(id, poison_id_make("key", &b)));
	g_assert_false(poison_id_equal(id, poison_id_make("key", &c)));
	g_assert_false(poison_id_equal(id, poison_id_make("another", &a)));
	g_assert_false(poison_id_is_none(id));
}

/* Guards against news of a large fleet that costs more than its links bear. */
static void
test_large(void)
{
	struct world w;

	poison_world_init(&w, NODES_MAX, SERVERS, 1);
	poison_world_run(&w, 8000, 5, 4, 166);
	world_check(&w, 4);
	g_test_message("%.0f messages a node and second",
	    (double)w.mail.sent / NODES_MAX / 8);
	g_assert_cmpuint(w.mail.sent / NODES_MAX / 8, <, 100);
	poison_world_finish(&w);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/poison/names", test_names);
	g_test_add_func("/poison/ends", test_ends);
	g_test_add_func("/poison/lost-messages", test_lost_messages);
	g_test_add_func("/poison/restarts", test_restarts);
	g_test_add_func("/poison/cut-off", test_cut_off);
	g_test_add_func("/poison/innocent", test_innocent);
	g_test_add_func("/poison/bounded", test_bounded);
	g_test_add_func("/poison/trial", test_trial);
	g_test_add_func("/poison/cleared-everywhere", test_cleared_everywhere);
	g_test_add_func("/poison/started", test_started);
	g_test_add_func("/poison/missed", test_missed);
	g_test_add_func("/poison/sent-again", test_sent_again);
	g_test_add_func("/poison/one-at-a-time", test_one_at_a_time);
	g_test_add_func("/poison/old-word", test_old_word);
	g_test_add_func("/poison/owner-silent", test_owner_silent);
	g_test_add_func("/poison/large", test_large);
	return g_test_run();
}
