/*
 * Requests that crash the servers that run them, in virtual time: many nodes
 * whose messages are delayed and lost, and servers that crash under some
 * requests and end all other requests on them. Failures that users would see:
 * one request crashes server after server, or a harmless request is refused.
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

/* Guards against a request that crashes one server after the other. */
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

/* Guards against lost updates about such a request. */
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

/* Guards against nodes that start without knowledge of such requests. */
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

/*
 * Guards against a node that was partitioned and gets no updates after it is
 * reconnected.
 */
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
 * Guards against refusing requests that only ran on the same server at its
 * crash: each of them is different, and a frequent one is cleared by its
 * complete answers.
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
		/*
		 * At most two in a thousand refused, as callers count refusals.
		 */
		g_assert_cmpuint(w.refused * 500, <=, w.served + 500 * 5);
		poison_world_finish(&w);
	}
}

static struct poison_id
any_id(unsigned int n)
{
	return (struct poison_id){ 5, n };
}

/*
 * Guards against memory that grows with the requests that ran on crashed
 * servers.
 */
static void
test_bounded(void)
{
	struct world w;
	struct poisons *p;
	unsigned int i;

	poison_world_init(&w, 1, 1, 1);
	p = &w.nodes[0].core;
	for (i = 1; i <= POISON_ENDS; i++)
		poison_server_ended(p, w.now, any_id(1), i);
	for (i = 2; i < 10 * POISON_RECORDS_MAX; i++)
		poison_server_ended(p, w.now, any_id(i), 99);
	g_assert_cmpuint(
	    p->counts[POISON_KIND_REQUEST], ==, POISON_RECORDS_MAX);
	g_assert_cmpuint(p->counters.dropped, >, 0);
	g_assert_true(poison_is_condemned(p, w.now, any_id(1)));
	poison_world_finish(&w);
}

/*
 * Guards against a request that stays refused after the servers were repaired,
 * and against a trial for each of its copies.
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
		poison_server_ended(p, w.now, any_id(1), i);
	g_assert_cmpint(poison_ask(p, w.now, &run), ==, POISON_CONDEMNED);
	wait = poison_trial_delay(p, w.now, any_id(1));
	g_assert_cmpint(wait, >=, 60 * MSEC_SECOND);
	w.now += wait;
	g_assert_cmpint(poison_ask(p, w.now, &run), ==, POISON_SEND);
	g_assert_cmpint(poison_ask(p, w.now, &other), ==, POISON_WAIT);
	poison_run_end(p, w.now, &other, false);
	poison_run_end(p, w.now, &run, true);
	/* Not before the outcome of the trial on the server is known. */
	g_assert_cmpint(poison_ask(p, w.now, &other), ==, POISON_WAIT);
	poison_run_end(p, w.now, &other, false);
	poison_server_ended(p, w.now, any_id(1), 90);
	poison_server_checked(p, w.now, any_id(1));
	g_assert_cmpint(poison_ask(p, w.now, &run), ==, POISON_CONDEMNED);
	next = poison_trial_delay(p, w.now, any_id(1));
	g_assert_cmpint(next, >, 2 * wait);
	w.now += next;
	g_assert_cmpint(poison_ask(p, w.now, &run), ==, POISON_SEND);
	poison_answered(p, w.now, any_id(1));
	poison_run_end(p, w.now, &run, false);
	g_assert_cmpuint(poison_count_ends(p, any_id(1)), ==, 0);
	g_assert_cmpint(poison_ask(p, w.now, &other), ==, POISON_SEND);
	poison_world_finish(&w);
}

/* Guards against a complete answer that only one node has recorded. */
static void
test_cleared_everywhere(void)
{
	struct world w;
	unsigned int i;

	poison_world_init(&w, 6, 12, 1);
	for (i = 1; i <= POISON_ENDS; i++)
		poison_server_ended(&w.nodes[i].core, w.now, any_id(1), i);
	poison_world_run(&w, 500, 0, 0, 1);
	for (i = 0; i < w.n; i++)
		g_assert_true(
		    poison_is_condemned(&w.nodes[i].core, w.now, any_id(1)));
	poison_answered(&w.nodes[5].core, w.now, any_id(1));
	poison_world_run(&w, 1500, 0, 0, 1);
	for (i = 0; i < w.n; i++)
		g_assert_cmpuint(
		    poison_count_ends(&w.nodes[i].core, any_id(1)), ==, 0);
	/* A stale update does not restore the suspicion. */
	poison_world_run(&w, 5000, 0, 0, 1);
	g_assert_cmpuint(poison_count_ends(&w.nodes[0].core, any_id(1)), ==, 0);
	poison_world_finish(&w);
}

static void
condemn_everywhere(struct world *w, unsigned int n)
{
	unsigned int i;

	for (i = 1; i <= POISON_ENDS; i++)
		poison_server_ended(&w->nodes[i].core, w->now, any_id(n), i);
	poison_world_run(w, 60, 0, 0, 1);
	for (i = 0; i < w->n; i++)
		g_assert_true(
		    poison_is_condemned(&w->nodes[i].core, w->now, any_id(n)));
}

/*
 * Guards against a process that has just started without state, whichever node
 * it is.
 */
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

/* Guards against a node that missed an update although it is held alive. */
static void
test_missed(void)
{
	struct world w;
	unsigned int i;

	poison_world_init(&w, 6, 12, 1);
	w.nodes[4].deaf = true;
	for (i = 1; i <= POISON_ENDS; i++)
		poison_server_ended(&w.nodes[i].core, w.now, any_id(1), i);
	poison_world_run(&w, 2000, 0, 0, 1);
	g_assert_false(poison_is_condemned(&w.nodes[4].core, w.now, any_id(1)));
	w.nodes[4].deaf = false;
	poison_world_run(&w, STABLE_MS, 0, 0, 1);
	g_assert_true(poison_is_condemned(&w.nodes[4].core, w.now, any_id(1)));
	poison_world_finish(&w);
}

/* Guards against the loss of one message: it is sent again. */
static void
test_sent_again(void)
{
	struct world w;
	unsigned int i, n;

	poison_world_init(&w, 6, 12, 1);
	for (n = 1; n <= 20; n++) {
		w.mail.lost_permille = 1000;
		for (i = 1; i <= POISON_ENDS; i++)
			poison_server_ended(
			    &w.nodes[i].core, w.now, any_id(n), i);
		poison_world_run(&w, 50, 0, 0, 1);
		w.mail.lost_permille = 0;
		poison_world_run(&w, 700, 0, 0, 1);
		for (i = 0; i < w.n; i++)
			g_assert_true(poison_is_condemned(
			    &w.nodes[i].core, w.now, any_id(n)));
	}
	poison_world_finish(&w);
}

/* Guards against concurrent trials of one suspect request by several nodes. */
static void
test_one_at_a_time(void)
{
	struct request *first, *second;
	struct world w;

	poison_world_init(&w, 6, 12, 1);
	poison_server_ended(&w.nodes[1].core, w.now, poison_name(1), 1);
	poison_server_ended(&w.nodes[2].core, w.now, poison_name(1), 2);
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

/* Guards against a node that is reconnected with stale state. */
static void
test_stale_state(void)
{
	struct world w;
	unsigned int i;

	poison_world_init(&w, 6, 12, 1);
	condemn_everywhere(&w, 1);
	w.nodes[5].cut = true;
	poison_nodes_push(&w);
	poison_answered(&w.nodes[0].core, w.now, any_id(1));
	poison_world_run(&w, 1500, 0, 0, 1);
	w.nodes[5].cut = false;
	poison_nodes_push(&w);
	poison_world_run(&w, 4000, 0, 0, 1);
	for (i = 0; i < 5; i++)
		g_assert_cmpuint(
		    poison_count_ends(&w.nodes[i].core, any_id(1)), ==, 0);
	poison_world_finish(&w);
}

/*
 * Guards against a lost owner: a single crash does not get a request refused.
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
	poison_server_ended(&w.nodes[0].core, w.now, poison_name(1), 1);
	poison_server_ended(&w.nodes[1].core, w.now, poison_name(1), 1);
	for (i = 0; i < 2; i++) {
		r = poison_request_new(&w, &w.nodes[i], 1);
		poison_world_run(&w, 300, 0, 0, 1);
		g_assert_cmpuint(r->attempts, >, 0);
	}
	poison_world_finish(&w);
}

/* Guards against two different requests with the same identifier. */
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

/*
 * Guards against sound requests that are condemned with a deadly one, as they
 * have its body and differ in model, tokens or parts of the prompt alone.
 */
static void
test_names_of_prompts(void)
{
	static const uint64_t parts[] = { 1, 2, 3 }, others[] = { 1, 4, 3 };
	const struct poison_request a = { .method = "POST",
		.host = "h",
		.path = "/p",
		.caller = "org",
		.body = "body",
		.length = 4,
		.model = "m",
		.prompt_tokens = 100,
		.max_tokens = 10,
		.parts = parts,
		.nparts = 3 };
	struct poison_request b[] = { a, a, a, a, a };
	struct poison_id id = poison_id_make("key", &a);
	unsigned int i;

	b[0].model = "n";
	b[1].prompt_tokens = 101;
	b[2].max_tokens = 11;
	b[3].parts = others;
	b[4].nparts = 2;
	for (i = 0; i < G_N_ELEMENTS(b); i++)
		g_assert_false(
		    poison_id_equal(id, poison_id_make("key", &b[i])));
	g_assert_true(poison_id_equal(id, poison_id_make("key", &a)));
}

/*
 * Guards against updates in a large fleet that exceed the bandwidth of its
 * links.
 */
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
	g_test_add_func("/poison/names-of-prompts", test_names_of_prompts);
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
	g_test_add_func("/poison/old-word", test_stale_state);
	g_test_add_func("/poison/owner-silent", test_owner_silent);
	g_test_add_func("/poison/large", test_large);
	return g_test_run();
}
