/*
 * Planned stops with a stop deadline: what a node that leaves still takes, and
 * what it tells those that it does not take.
 */

#include "util-nodes.h"
#include "util-tool.h"

#include <signal.h>
#include <string.h>

#include <curl/curl.h>

/* Enough that the node knows how long a class's answers take. */
#define WARM 10
#define WARM_ROUNDS 3
/* At 5 ms a token: an answer of 1.5 s, and one of 50 ms. */
#define LONG_TOKENS 300
#define SHORT_TOKENS 10
#define MIDDLE_TOKENS 200
#define CUT_STREAMS 4
#define GRACE_MS 3500
#define DEADLINE_MS 4000
#define BRIEF_MS 2500
/* After the signal, such that a long answer would be cut. */
#define LATE_MS 2900
/* The VM list is read twice a second. */
#define LIST_MS 1200
/* A refusal comes at once. */
#define SOON_MS 800

static const struct nodes_config bounded = { .nodes = 2,
	.engines = 2,
	.settings = "leave_grace_ms: " G_STRINGIFY(
	    GRACE_MS) "\nstop_deadline_ms: " G_STRINGIFY(DEADLINE_MS) "\n" };

/* A deadline soon after the grace; one engine. */
static const struct nodes_config brief = { .nodes = 2,
	.engines = 1,
	.settings = "leave_grace_ms: 500\nstop_deadline_ms: " G_STRINGIFY(
	    BRIEF_MS) "\n",
	.engine_proxy = true,
	.log_proxy = true };

static void
ask(struct nodes *s, struct caller *c, unsigned int node, const char *class,
    const char *user, unsigned int tokens)
{
	caller_ask(c, s->entries[node].caller, user, tokens);
	/* In place of caller_ask()'s own. */
	c->headers[1] = class;
}

static void
warm_round(
    struct nodes *s, unsigned int node, const char *class, unsigned int tokens)
{
	struct caller c[WARM];
	char user[16];
	unsigned int i;

	for (i = 0; i < WARM; i++) {
		g_snprintf(user, sizeof user, "warm-%u", i);
		ask(s, &c[i], node, class, user, tokens);
		caller_start(&c[i]);
	}
	for (i = 0; i < WARM; i++) {
		caller_wait(&c[i]);
		caller_assert_whole(&c[i], tokens);
		caller_finish(&c[i]);
	}
}

/* The node has seen how long answers of the class take. */
static void
warm(struct nodes *s, unsigned int node, const char *class, unsigned int tokens)
{
	unsigned int i;

	for (i = 0; i < WARM_ROUNDS; i++)
		warm_round(s, node, class, tokens);
}

static void
wait_since(msec begin, msec span)
{
	msec left = begin + span - msec_now();

	if (left > 0)
		g_usleep((gulong)left * 1000);
}

/* Told at once that nothing ran, why, and where else to ask. */
static void
assert_turned_away(struct nodes *s, struct caller *c, msec asked)
{
	g_assert_cmpint(msec_now() - asked, <, SOON_MS);
	g_assert_cmpint(c->curl, ==, CURLE_OK);
	g_assert_cmpint(c->status, ==, 503);
	g_assert_cmpstr(c->outcome, ==, "not-run");
	g_assert_nonnull(strstr(c->text->str, "\"code\":\"leaving\""));
	g_assert_nonnull(strstr(c->head->str, "Savorypier-Alternates: "));
	g_assert_nonnull(strstr(c->head->str, "Connection: close"));
	g_assert_cmpint(nodes_executions(s, c->user), ==, 0);
}

/*
 * A caller's stream broke off: its VM had been told to stop before it took the
 * request, the answer takes 1.5 s, and the stop deadline was 1.1 s away. The VM
 * took whatever came until its grace was over. What can still end in time is
 * taken as before.
 */
static void
test_long_answer(void)
{
	static const char longs[] = "Savorypier-Class: driver-question";
	static const char shorts[] = "Savorypier-Class: foreman-question";
	struct caller early, late, quick;
	msec begin, asked;
	struct nodes s;

	nodes_up(&s, &bounded);
	warm(&s, 1, longs, LONG_TOKENS);
	warm(&s, 1, shorts, SHORT_TOKENS);
	proc_signal(&s.entries[1].proc, SIGTERM);
	begin = msec_now();
	ask(&s, &early, 1, longs, "early", LONG_TOKENS);
	caller_start(&early);
	caller_wait_bytes(&early, NODES_EVENT_BYTES);
	wait_since(begin, LATE_MS);
	ask(&s, &late, 1, longs, "late", LONG_TOKENS);
	asked = msec_now();
	caller_run(&late);
	assert_turned_away(&s, &late, asked);
	ask(&s, &quick, 1, shorts, "quick", SHORT_TOKENS);
	caller_run(&quick);
	caller_assert_whole(&quick, SHORT_TOKENS);
	caller_wait(&early);
	caller_assert_whole(&early, LONG_TOKENS);
	g_assert_cmpint(proc_wait(&s.entries[1].proc, PROC_STOP_MS), ==, 0);
	caller_finish(&early);
	caller_finish(&late);
	caller_finish(&quick);
	nodes_finish(&s);
}

/* A request that may run once is cut, as its class mostly takes less time. */
static void
test_once(void)
{
	static const char shorts[] = "Savorypier-Class: foreman-question";
	struct caller once, again;
	struct nodes s;
	msec begin, asked;

	nodes_up(&s, &bounded);
	warm(&s, 1, shorts, SHORT_TOKENS);
	proc_signal(&s.entries[1].proc, SIGTERM);
	begin = msec_now();
	wait_since(begin, LATE_MS);
	ask(&s, &once, 1, shorts, "once", SHORT_TOKENS);
	caller_add_header(&once, "Savorypier-Repeatable: no");
	caller_add_header(&once, "Savorypier-Deadline-Ms: 30000");
	asked = msec_now();
	caller_run(&once);
	assert_turned_away(&s, &once, asked);
	caller_finish(&once);
	ask(&s, &again, 1, shorts, "again", SHORT_TOKENS);
	caller_add_header(&again, "Savorypier-Deadline-Ms: 30000");
	caller_run(&again);
	caller_assert_whole(&again, SHORT_TOKENS);
	caller_finish(&again);
	nodes_finish(&s);
}

static const char unseen[] = "Savorypier-Class: foreman-question";

/*
 * A node leaves whose classes have not answered yet. It cannot tell how long
 * they take, so it goes by how long the caller will wait; of a caller who does
 * not say so it takes nothing.
 */
static void
turned_away_scenario(struct nodes *s)
{
	struct caller c[2];
	msec asked;
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(c); i++) {
		ask(s, &c[i], 1, unseen, "turned-away", SHORT_TOKENS);
		if (i == 0)
			caller_add_header(
			    &c[i], "Savorypier-Deadline-Ms: 30000");
		asked = msec_now();
		caller_run(&c[i]);
		assert_turned_away(s, &c[i], asked);
		caller_finish(&c[i]);
	}
	g_assert_cmpint(proc_wait(&s->entries[1].proc, PROC_STOP_MS), ==, 0);
}

static void
unseen_scenario(struct nodes *s)
{
	struct caller c;

	ask(s, &c, 1, unseen, "short", SHORT_TOKENS);
	caller_add_header(&c, "Savorypier-Deadline-Ms: 1000");
	caller_run(&c);
	caller_assert_whole(&c, SHORT_TOKENS);
	caller_finish(&c);
	/* One whole answer is too few to learn from. */
	turned_away_scenario(s);
}

static void
test_unseen_drain(void)
{
	/* An operator drains the node by the tool. */
	struct nodes s;

	nodes_up(&s, &bounded);
	g_assert_cmpint(tool_run("drain node-1", NULL, NULL), ==, 0);
	unseen_scenario(&s);
	nodes_finish(&s);
}

static void
test_unseen_list(void)
{
	/* The platform's VM list has the node as leaving. */
	struct nodes s;

	nodes_up(&s, &bounded);
	nodes_vm_entry(&s, 1, "leaving");
	g_usleep(LIST_MS * 1000);
	unseen_scenario(&s);
	nodes_finish(&s);
}

/* Another process under the node's name, at addresses of its own. */
static void
node_replace(struct nodes *s, unsigned int node, struct proc *p)
{
	g_autofree char *file = g_strdup_printf("%s/again.yaml", s->dir);
	const char *const args[] = { "--config", file, NULL };
	unsigned int from[] = { s->entries[node].caller,
		s->entries[node].control, s->entries[node].peer };
	unsigned int to[] = { port_free_tcp(), port_free_tcp(),
		port_free_udp() };
	g_autofree char *text = NULL;
	GString *changed;
	unsigned int i;

	g_assert_true(
	    g_file_get_contents(s->entries[node].file, &text, NULL, NULL));
	changed = g_string_new(text);
	for (i = 0; i < G_N_ELEMENTS(to); i++) {
		g_autofree char *a = g_strdup_printf(":%u", from[i]);
		g_autofree char *b = g_strdup_printf(":%u", to[i]);

		g_assert_cmpuint(g_string_replace(changed, a, b, 0), ==, 1);
	}
	g_assert_true(g_file_set_contents(file, changed->str, -1, NULL));
	g_string_free(changed, TRUE);
	proc_start_unready(p, "savorypierd", args);
}

static void
test_unseen_replaced(void)
{
	/*
	 * Another VM was started under the node's name. Callers that still
	 * have the old address are not taken by the node that leaves.
	 */
	struct nodes s;
	struct proc again;
	msec until = msec_now() + NODES_TIMEOUT;
	json_t *v;
	bool leaving = false;

	nodes_up(&s, &bounded);
	node_replace(&s, 1, &again);
	while (!leaving) {
		g_assert_cmpint(msec_now(), <, until);
		g_usleep(20 * 1000);
		v = nodes_control(&s, 1, "/control/status");
		leaving =
		    g_strcmp0(json_string_value(json_object_get(v, "state")),
			"leaving") == 0;
		json_decref(v);
	}
	turned_away_scenario(&s);
	proc_kill(&again);
	nodes_finish(&s);
}

static void
test_unbounded(void)
{
	/*
	 * Without a stop deadline every answer comes to its end, so a node
	 * that leaves takes what comes during its grace, as ever.
	 */
	const struct nodes_config config = {
		.nodes = 2, .engines = 2, .settings = "leave_grace_ms: 2000\n"
	};
	struct nodes s;
	struct caller c;

	nodes_up(&s, &config);
	proc_signal(&s.entries[1].proc, SIGTERM);
	g_usleep(1000 * 1000);
	caller_ask(&c, s.entries[1].caller, "unbounded", 2 * LONG_TOKENS);
	caller_run(&c);
	caller_assert_whole(&c, 2 * LONG_TOKENS);
	caller_finish(&c);
	g_assert_cmpint(proc_wait(&s.entries[1].proc, PROC_STOP_MS), ==, 0);
	nodes_finish(&s);
}

/* ---- attempts that begin later, while the node leaves ---- */

/*
 * All engines were away for a moment. A call waited for one at a node that was
 * told to stop, got it in the last half second, and was cut.
 */
static void
test_waits_for_engine(void)
{
	static const char class[] = "Savorypier-Class: replan";
	struct nodes s;
	struct caller c;
	msec begin;

	nodes_up(&s, &brief);
	warm(&s, 1, class, MIDDLE_TOKENS);
	nodes_vm_engine(&s, 0, "leaving");
	g_usleep(LIST_MS * 1000);
	ask(&s, &c, 1, class, "waits", MIDDLE_TOKENS);
	caller_start(&c);
	g_usleep(300 * 1000);
	begin = msec_now();
	proc_signal(&s.entries[1].proc, SIGTERM);
	wait_since(begin, BRIEF_MS - 1000);
	nodes_vm_engine(&s, 0, "live");
	caller_wait(&c);
	assert_turned_away(&s, &c, begin + BRIEF_MS - SOON_MS);
	g_assert_cmpint(proc_wait(&s.entries[1].proc, PROC_STOP_MS), ==, 0);
	caller_finish(&c);
	nodes_finish(&s);
}

/*
 * An engine broke a call off before its first token. The call's node had been
 * told to stop and tried again, with no time for the answer: the engine worked
 * for nothing, and the caller heard at the stop deadline what could be said at
 * once.
 */
static void
test_retry(void)
{
	const struct proxy_faults silent = {
		.cut_to_server = -1, .cut_to_client = -1, .blackhole = true
	};
	struct nodes s;
	struct caller c;
	msec begin;

	nodes_up(&s, &brief);
	proxy_set(s.engines[0].proxy, &silent);
	caller_ask(&c, s.entries[1].caller, "retry", 5000);
	caller_start(&c);
	g_usleep(300 * 1000);
	begin = msec_now();
	proc_signal(&s.entries[1].proc, SIGTERM);
	wait_since(begin, 300);
	proxy_cut_all(s.engines[0].proxy);
	proxy_set(s.engines[0].proxy, &proxy_no_faults);
	caller_wait(&c);
	g_assert_cmpint(msec_now() - begin, <, 300 + SOON_MS);
	g_assert_cmpint(c.status, ==, 502);
	g_assert_cmpstr(c.outcome, ==, "unknown");
	g_assert_nonnull(strstr(c.text->str, "\"code\":\"leaving\""));
	g_assert_nonnull(strstr(c.head->str, "Savorypier-Alternates: "));
	g_assert_cmpint(nodes_executions(&s, "retry"), ==, 0);
	g_assert_cmpint(proc_wait(&s.entries[1].proc, PROC_STOP_MS), ==, 0);
	caller_finish(&c);
	nodes_finish(&s);
}

static bool
stream_is_resumed(void *arg)
{
	return nodes_metric(arg, 1, "savory_resumed_total") == 1;
}

/*
 * A stream breaks on its engine while its node leaves. It is resumed, also when
 * the time may not suffice: the other choice is to break it off at once.
 */
static void
test_resumed(void)
{
	struct nodes s;
	struct caller c;

	nodes_up(&s, &brief);
	caller_ask(&c, s.entries[1].caller, "resumed", MIDDLE_TOKENS);
	caller_start(&c);
	caller_wait_bytes(&c, NODES_EVENT_BYTES);
	proc_signal(&s.entries[1].proc, SIGTERM);
	g_usleep(200 * 1000);
	proxy_cut_all(s.engines[0].proxy);
	/* While the stream goes on: the node ends with its last answer. */
	g_assert_true(wait_until(stream_is_resumed, &s, BRIEF_MS));
	g_assert_cmpint(g_atomic_int_get(&c.ended), ==, 0);
	caller_wait(&c);
	caller_assert_whole(&c, MIDDLE_TOKENS);
	g_assert_cmpint(proc_wait(&s.entries[1].proc, PROC_STOP_MS), ==, 0);
	caller_finish(&c);
	nodes_finish(&s);
}

/*
 * A booking's claim was on its way to the log when its node was told to stop.
 * The claim came back as the first, the booking was sent, and cut at the stop
 * deadline: nobody knew whether it stood.
 */
static void
test_claim(void)
{
	/* Its home is node-0, which stays. */
	static const char claim_key[] = "Idempotency-Key: leave-4";
	const struct proxy_faults slow = {
		.cut_to_server = -1, .cut_to_client = -1, .delay = 300
	};
	struct nodes s;
	struct caller c;
	msec begin;

	nodes_up(&s, &brief);
	http_fault(s.plain.proc.port, "{\"delay_ms\": 5000}");
	proxy_set(s.log.proxy, &slow);
	caller_book(&c, s.entries[1].caller, "claimed");
	caller_add_header(&c, claim_key);
	begin = msec_now();
	caller_start(&c);
	g_usleep(100 * 1000);
	proc_signal(&s.entries[1].proc, SIGTERM);
	caller_wait(&c);
	g_assert_cmpint(msec_now() - begin, <, BRIEF_MS);
	g_assert_cmpint(c.status, ==, 503);
	g_assert_cmpstr(c.outcome, ==, "not-run");
	g_assert_nonnull(strstr(c.text->str, "\"code\":\"leaving\""));
	g_assert_cmpint(proc_wait(&s.entries[1].proc, PROC_STOP_MS), ==, 0);
	g_assert_cmpint(nodes_plain_executions(&s, "claimed"), ==, 0);
	caller_finish(&c);
	nodes_finish(&s);
}

/*
 * A node that has just started holds calls until it has its share of their
 * organisation's limits. It was told to stop meanwhile: they were held on, and
 * heard at last that they were over a limit, or nothing.
 */
static void
test_held(void)
{
	struct nodes s;
	struct caller c;
	msec begin;

	nodes_up(&s, &brief);
	caller_ask(&c, s.entries[1].caller, "held", LONG_TOKENS);
	c.headers[0] = "Authorization: Bearer key-grandi-septic";
	caller_start(&c);
	g_usleep(300 * 1000);
	g_assert_cmpint(g_atomic_int_get(&c.ended), ==, 0);
	begin = msec_now();
	proc_signal(&s.entries[1].proc, SIGTERM);
	caller_wait(&c);
	assert_turned_away(&s, &c, begin);
	g_assert_cmpint(proc_wait(&s.entries[1].proc, PROC_STOP_MS), ==, 0);
	caller_finish(&c);
	nodes_finish(&s);
}

/* ---- requests forwarded between nodes ---- */

static char *
ticket_get(struct nodes *s, unsigned int node)
{
	const char *const headers[] = { "Authorization: Bearer " NODES_KEY,
		NULL };
	struct http_reply r;
	char *line;

	http_call(
	    &r, "POST", s->entries[node].caller, "/v1/tickets", "", headers);
	g_assert_cmpint(r.status, ==, 200);
	line = g_strdup_printf("Savorypier-Ticket: %s",
	    json_string_value(json_object_get(r.json, "ticket")));
	http_reply_free(&r);
	return line;
}

/*
 * A caller brings a ticket of another node to one that leaves, which sends the
 * call there and ends before the answer. It must say so at once: the caller can
 * go to the other node, and the ticket still stands for one run.
 */
static void
test_forwards(void)
{
	g_autofree char *ticket = NULL;
	struct nodes s;
	struct caller c, again;
	msec begin;

	nodes_up(&s, &brief);
	ticket = ticket_get(&s, 0);
	http_fault(s.plain.proc.port, "{\"delay_ms\": 5000}");
	proc_signal(&s.entries[1].proc, SIGTERM);
	g_usleep(300 * 1000);
	caller_book(&c, s.entries[1].caller, "forwarded");
	caller_add_header(&c, ticket);
	begin = msec_now();
	caller_run(&c);
	g_assert_cmpint(msec_now() - begin, <, SOON_MS);
	g_assert_cmpint(c.status, ==, 502);
	g_assert_cmpstr(c.outcome, ==, "unknown");
	g_assert_nonnull(strstr(c.text->str, "\"code\":\"leaving\""));
	g_assert_nonnull(strstr(c.head->str, "Savorypier-Alternates: "));
	http_fault(s.plain.proc.port, "{\"delay_ms\": 0}");
	caller_book(&again, s.entries[0].caller, "forwarded");
	caller_add_header(&again, ticket);
	caller_run(&again);
	g_assert_cmpstr(again.outcome, ==, "ran");
	g_assert_cmpint(nodes_plain_executions(&s, "forwarded"), ==, 1);
	g_assert_cmpint(proc_wait(&s.entries[1].proc, PROC_STOP_MS), ==, 0);
	caller_finish(&c);
	caller_finish(&again);
	nodes_finish(&s);
}

/*
 * A node leaves that has issued a ticket, and its caller brings it to another
 * node. What that one hears is the caller's answer: nothing ran. A caller that
 * will not wait for long is served, as its deadline goes along.
 */
static void
test_forwarded_to(void)
{
	g_autofree char *ticket = NULL;
	struct nodes s;
	struct caller c, again;
	msec begin;

	nodes_up(&s, &bounded);
	ticket = ticket_get(&s, 1);
	proc_signal(&s.entries[1].proc, SIGTERM);
	g_usleep(300 * 1000);
	caller_book(&c, s.entries[0].caller, "sent-on");
	caller_add_header(&c, ticket);
	begin = msec_now();
	caller_run(&c);
	g_assert_cmpint(msec_now() - begin, <, SOON_MS);
	g_assert_cmpint(c.status, ==, 503);
	g_assert_cmpstr(c.outcome, ==, "not-run");
	g_assert_cmpint(nodes_plain_executions(&s, "sent-on"), ==, 0);
	caller_book(&again, s.entries[0].caller, "sent-on");
	caller_add_header(&again, ticket);
	caller_add_header(&again, "Savorypier-Deadline-Ms: 1000");
	caller_run(&again);
	g_assert_cmpstr(again.outcome, ==, "ran");
	g_assert_cmpint(nodes_plain_executions(&s, "sent-on"), ==, 1);
	g_assert_cmpint(proc_wait(&s.entries[1].proc, PROC_STOP_MS), ==, 0);
	caller_finish(&c);
	caller_finish(&again);
	nodes_finish(&s);
}

/* ---- what is cut ---- */

/*
 * A stream is cut at the stop deadline. Its last event says so: without it the
 * caller sees a connection that breaks, as if the VM had crashed.
 */
static void
test_cut_is_told(void)
{
	struct nodes s;
	struct caller c[CUT_STREAMS];
	char user[16];
	unsigned int i;

	nodes_up(&s, &brief);
	for (i = 0; i < CUT_STREAMS; i++) {
		g_snprintf(user, sizeof user, "cut-%u", i);
		caller_ask(&c[i], s.entries[1].caller, user, 5000);
		caller_start(&c[i]);
	}
	for (i = 0; i < CUT_STREAMS; i++)
		caller_wait_bytes(&c[i], NODES_EVENT_BYTES);
	proc_signal(&s.entries[1].proc, SIGTERM);
	for (i = 0; i < CUT_STREAMS; i++) {
		caller_wait(&c[i]);
		caller_assert_broken(&c[i], "unknown");
		g_assert_nonnull(
		    strstr(c[i].text->str, "\"code\":\"leaving\""));
		caller_finish(&c[i]);
	}
	g_assert_cmpint(proc_wait(&s.entries[1].proc, PROC_STOP_MS), ==, 0);
	nodes_finish(&s);
}

/*
 * An operator allows a stop 1 s, less than the grace. The node went on until
 * the grace was over, when whoever stops it had long killed it, and took calls
 * all the while.
 */
static void
test_short_deadline(void)
{
	const struct nodes_config config = { .nodes = 2,
		.engines = 1,
		.settings = "leave_grace_ms: 3000\nstop_deadline_ms: 1000\n" };
	struct nodes s;
	struct caller c;
	msec begin;

	nodes_up(&s, &config);
	caller_ask(&c, s.entries[1].caller, "short-deadline", 5000);
	caller_start(&c);
	caller_wait_bytes(&c, 2 * NODES_EVENT_BYTES);
	begin = msec_now();
	proc_signal(&s.entries[1].proc, SIGTERM);
	caller_wait(&c);
	caller_assert_broken(&c, "unknown");
	g_assert_cmpint(msec_now() - begin, >=, 900);
	g_assert_cmpint(msec_now() - begin, <, 1000 + SOON_MS);
	g_assert_cmpint(proc_wait(&s.entries[1].proc, PROC_STOP_MS), ==, 0);
	g_assert_cmpint(msec_now() - begin, <, 2000 + SOON_MS);
	caller_finish(&c);
	nodes_finish(&s);
}

/* ---- what an operator sees ---- */

/*
 * An operator wants to know why callers are turned away by a node that leaves,
 * and how much time it has left. The metrics and the dump say so.
 */
static void
test_sight(void)
{
	static const char class[] = "Savorypier-Class: driver-question";
	struct nodes s;
	struct caller c;
	json_t *dump, *o;

	nodes_up(&s, &bounded);
	warm(&s, 1, class, SHORT_TOKENS);
	proc_signal(&s.entries[1].proc, SIGTERM);
	g_usleep(300 * 1000);
	ask(&s, &c, 1, "Savorypier-Class: replan", "sight", SHORT_TOKENS);
	caller_run(&c);
	g_assert_cmpstr(c.outcome, ==, "not-run");
	g_assert_cmpint(
	    nodes_metric(&s, 1, "savory_stop_no_time_total"), ==, 1);
	g_assert_cmpint(nodes_metric(&s, 1, "savory_stop_cut_total"), ==, 0);
	dump = nodes_control(&s, 1, "/control/dump/stop");
	o = json_object_get(dump, "stop");
	g_assert_true(json_is_true(json_object_get(o, "leaving")));
	g_assert_cmpint(
	    json_integer_value(json_object_get(o, "no_time")), ==, 1);
	g_assert_cmpint(
	    json_integer_value(json_object_get(o, "left_ms")), >, 0);
	g_assert_cmpint(
	    json_integer_value(json_object_get(o, "left_ms")), <, DEADLINE_MS);
	o = json_array_get(json_object_get(o, "classes"), 0);
	g_assert_cmpstr(json_string_value(json_object_get(o, "class")), ==,
	    "driver-question");
	g_assert_cmpint(json_integer_value(json_object_get(o, "seen")), ==,
	    WARM * WARM_ROUNDS);
	g_assert_cmpint(
	    json_integer_value(json_object_get(o, "lasts_ms")), >, 0);
	json_decref(dump);
	g_assert_cmpint(proc_wait(&s.entries[1].proc, PROC_STOP_MS), ==, 0);
	caller_finish(&c);
	nodes_finish(&s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/leave/long-answer", test_long_answer);
	g_test_add_func("/leave/once", test_once);
	g_test_add_func("/leave/unseen-drain", test_unseen_drain);
	g_test_add_func("/leave/unseen-list", test_unseen_list);
	g_test_add_func("/leave/unseen-replaced", test_unseen_replaced);
	g_test_add_func("/leave/unbounded", test_unbounded);
	g_test_add_func("/leave/waits-for-engine", test_waits_for_engine);
	g_test_add_func("/leave/retry", test_retry);
	g_test_add_func("/leave/resumed", test_resumed);
	g_test_add_func("/leave/claim", test_claim);
	g_test_add_func("/leave/held", test_held);
	g_test_add_func("/leave/forwards", test_forwards);
	g_test_add_func("/leave/forwarded-to", test_forwarded_to);
	g_test_add_func("/leave/cut-is-told", test_cut_is_told);
	g_test_add_func("/leave/short-deadline", test_short_deadline);
	g_test_add_func("/leave/sight", test_sight);
	return g_test_run();
}
