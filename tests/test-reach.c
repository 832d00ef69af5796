/*
 * Whether a node finds in time that its path to all servers is cut, and not
 * when only some servers have failed. In virtual time: probes are answered,
 * refused, or time out as the world says.
 */

#include "reach.h"

#include <string.h>

#define SERVERS 16
/* From this time on a node is judged by what it serves during a cut. */
#define STABLE_MS 3000

/* How a server takes new connections. */
enum taking {
	TAKES,
	REFUSES,
	SILENT,
	ACCEPTS_SILENT, /* connects, and never answers */
	ACCEPTS_RESETS	/* connects, and resets what is sent */
};

struct probe {
	name_id server;
	msec ends;
	enum reach_probe_result result;
};

struct world {
	struct reach reach; /* first, see world_changed() */
	enum taking servers[SERVERS];
	unsigned int nservers; /* of them */
	struct probe probes[32];
	unsigned int nprobes, next, changes, started;
	msec now;
};

static void
world_changed(struct reach *r, msec now)
{
	((struct world *)r)->changes++;
}

static const struct reach_ops world_ops = { world_changed };

static void
world_init(struct world *w)
{
	memset(w, 0, sizeof *w);
	w->nservers = SERVERS;
	reach_init(&w->reach, &world_ops);
	w->now = 10000;
}

static void
world_set(struct world *w, unsigned int from, unsigned int to, enum taking how)
{
	for (; from < to; from++)
		w->servers[from] = how;
}

static void
world_probe(struct world *w)
{
	static const enum reach_probe_result results[] = {
		[TAKES] = REACH_PROBE_ANSWERED,
		[REFUSES] = REACH_PROBE_REFUSED,
		[SILENT] = REACH_PROBE_FAILED,
		[ACCEPTS_SILENT] = REACH_PROBE_UNANSWERED,
		[ACCEPTS_RESETS] = REACH_PROBE_UNANSWERED,
	};
	name_id witness = reach_next_witness(&w->reach, w->now);
	unsigned int i = (unsigned int)witness - 1, tries;
	bool times_out;

	for (tries = 0; witness == 0 && tries < 2 * w->nservers; tries++) {
		i = w->next++ % w->nservers;
		if (tries >= w->nservers ||
		    !reach_avoids(&w->reach, w->now, i + 1))
			break;
	}
	w->started++;
	reach_probe_started(&w->reach, w->now);
	times_out = w->servers[i] == SILENT || w->servers[i] == ACCEPTS_SILENT;
	w->probes[w->nprobes++] = (struct probe){ i + 1,
		w->now + (times_out ? REACH_PROBE_TIMEOUT_MS : 2),
		results[w->servers[i]] };
}

/* One millisecond. */
static void
world_step(struct world *w)
{
	struct probe p;
	unsigned int i, due;

	w->now++;
	reach_check_silence(&w->reach, w->now, w->nservers);
	for (i = 0; i < w->nprobes;) {
		p = w->probes[i];
		if (p.ends > w->now) {
			i++;
			continue;
		}
		w->probes[i] = w->probes[--w->nprobes];
		reach_probe_ended(
		    &w->reach, w->now, p.server, p.result, w->nservers);
	}
	for (due = reach_probes_due(&w->reach, w->now); due > 0; due--)
		world_probe(w);
}

static void
world_run(struct world *w, msec span)
{
	msec end = w->now + span;

	while (w->now < end)
		world_step(w);
}

/* A request's connection to one server fails now. */
static void
world_fail(struct world *w, unsigned int server)
{
	reach_failed(&w->reach, w->now, server + 1, w->nservers);
}

/* Guards against a node that asks each server in turn during a partition. */
static void
test_all_silent(void)
{
	struct world w;

	world_init(&w);
	world_set(&w, 0, SERVERS, SILENT);
	world_fail(&w, 0);
	world_run(&w, REACH_PROBE_TIMEOUT_MS + 10);
	g_assert_true(reach_is_cut(&w.reach));
	g_assert_cmpuint(w.started, <=, REACH_PROBES);
}

/*
 * Guards against a cut whose end is noticed seconds late, as one of the few
 * servers that have not failed is asked again and again: two must answer.
 */
static void
test_cut_ends_soon(void)
{
	struct world w;

	world_init(&w);
	w.nservers = REACH_FAILED_MAX + 1;
	world_set(&w, 0, SERVERS, ACCEPTS_SILENT);
	world_fail(&w, 0);
	world_run(&w, 2660);
	g_assert_true(reach_is_cut(&w.reach));
	world_set(&w, 0, SERVERS, TAKES);
	world_run(&w, REACH_PROBE_TIMEOUT_MS + 2 * REACH_CUT_PROBE_MS);
	g_assert_false(reach_is_cut(&w.reach));
}

/* Guards against resets that never count as a lost path. */
static void
test_all_refuse(void)
{
	struct world w;

	world_init(&w);
	world_set(&w, 0, SERVERS, REFUSES);
	world_fail(&w, 0);
	world_run(&w, 10);
	g_assert_true(reach_is_cut(&w.reach));
	g_assert_cmpuint(w.reach.counters.cuts, ==, 1);
}

/* Guards against crashed servers that are taken for a lost path. */
static void
test_some_crash(void)
{
	struct world w;
	unsigned int i;

	world_init(&w);
	world_set(&w, 0, 8, REFUSES);
	w.next = 8;
	for (i = 0; i < 40; i++) {
		world_fail(&w, i % 8);
		world_run(&w, 50);
		g_assert_false(reach_is_cut(&w.reach));
	}
	/* A round a second at most. */
	g_assert_cmpuint(w.started, <=, 2 * REACH_PROBES + REACH_PROBES);
}

/* A request in 50 ms to a server that is gone, and to one that answers. */
static void
world_serve(struct world *w, unsigned int gone, unsigned int rounds)
{
	unsigned int i;

	for (i = 0; i < rounds; i++) {
		world_fail(w, i % gone);
		if (!reach_is_cut(&w->reach))
			reach_answered(
			    &w->reach, w->now, gone + 1 + i % (SERVERS - gone));
		world_run(w, 25);
		world_fail(w, (i + 1) % gone);
		world_run(w, 25);
	}
}

/* Guards against a path that is taken for cut as most servers are gone. */
static void
test_most_gone(void)
{
	struct world w;
	unsigned int i;

	world_init(&w);
	world_set(&w, 0, SERVERS - 2, REFUSES);
	reach_answered(&w.reach, w.now, SERVERS);
	world_serve(&w, SERVERS - 2, 400);
	g_assert_cmpuint(w.reach.counters.cuts, ==, 0);
	/* The path is cut all the same when it is. */
	world_set(&w, 0, SERVERS, REFUSES);
	for (i = 0; i < STABLE_MS / 2 / 50; i++) {
		world_fail(&w, SERVERS - 1);
		world_run(&w, 50);
	}
	g_assert_true(reach_is_cut(&w.reach));
}

/* Guards against a node that starts so and never finds those that serve. */
static void
test_most_gone_at_start(void)
{
	struct world w;
	unsigned int i;

	world_init(&w);
	world_set(&w, 0, SERVERS - 2, REFUSES);
	for (i = 0; i < STABLE_MS / 50; i++) {
		world_fail(&w, i % (SERVERS - 2));
		world_run(&w, 50);
	}
	g_assert_false(reach_is_cut(&w.reach));
	g_assert_cmpuint(w.reach.counters.cuts, ==, 1);
}

/* Guards against the same for seconds, as it asks two of them at a time. */
static void
test_most_gone_at_start_long(void)
{
	struct world w;
	msec begin;

	world_init(&w);
	world_set(&w, 0, SERVERS - 2, REFUSES);
	begin = w.now;
	do {
		world_fail(&w, 0);
		world_fail(&w, 1);
		world_run(&w, 10);
	} while (w.reach.counters.cuts == 0);
	world_run(&w, 100);
	g_assert_false(reach_is_cut(&w.reach));
	g_assert_cmpint(w.now - begin, <, REACH_CUT_PROBE_MS);
}

/* Guards against a storm of probes where all connections are refused. */
static void
test_refused_sweep(void)
{
	struct world w;

	world_init(&w);
	world_set(&w, 0, SERVERS, REFUSES);
	while (!reach_is_cut(&w.reach)) {
		world_fail(&w, 0);
		world_run(&w, 10);
	}
	world_run(&w, STABLE_MS);
	w.started = 0;
	world_run(&w, MSEC_SECOND);
	g_assert_cmpuint(w.started, <=,
	    REACH_BACK_SERVERS * MSEC_SECOND / REACH_CUT_PROBE_MS);
}

/* Guards against one service that is down as a whole. */
static void
test_one_service_down(void)
{
	struct world w;
	unsigned int i;

	world_init(&w);
	world_set(&w, 0, 4, REFUSES);
	for (i = 0; i < 200; i++) {
		world_fail(&w, i % 4);
		world_run(&w, 20);
	}
	g_assert_false(reach_is_cut(&w.reach));
}

/* Guards against a device that accepts connections and resets them. */
static void
test_accept_reset(void)
{
	struct world w;

	world_init(&w);
	world_set(&w, 0, SERVERS, ACCEPTS_RESETS);
	reach_heard(&w.reach, w.now - 100);
	world_fail(&w, 0);
	world_run(&w, REACH_ROUND_MS + 10);
	/* Another server was heard just before; the next round tells. */
	g_assert_false(reach_is_cut(&w.reach));
	world_fail(&w, 1);
	world_run(&w, 100);
	g_assert_true(reach_is_cut(&w.reach));
	world_set(&w, 0, SERVERS, TAKES);
	world_run(&w, 500);
	g_assert_false(reach_is_cut(&w.reach));
}

/* Guards against a device that accepts connections and passes nothing on. */
static void
test_accept_silent(void)
{
	struct world w;

	world_init(&w);
	world_set(&w, 0, SERVERS, ACCEPTS_SILENT);
	reach_sent(&w.reach, w.now);
	world_run(&w, REACH_SILENT_MS + REACH_PROBE_TIMEOUT_MS + 10);
	g_assert_true(reach_is_cut(&w.reach));
	/* Connections that are accepted do not end the cut. */
	world_run(&w, 4000);
	g_assert_true(reach_is_cut(&w.reach));
	world_set(&w, 0, SERVERS, TAKES);
	world_run(&w, 500);
	g_assert_false(reach_is_cut(&w.reach));
}

/* Guards against servers full of connections that are taken for a lost path. */
static void
test_connection_limit(void)
{
	struct world w;
	unsigned int i;

	world_init(&w);
	world_set(&w, 0, SERVERS, ACCEPTS_RESETS);
	for (i = 0; i < 100; i++) {
		world_fail(&w, i % SERVERS);
		reach_heard(&w.reach, w.now);
		world_run(&w, 100);
		g_assert_false(reach_is_cut(&w.reach));
	}
}

/* Guards against a round for each answer that takes its time. */
static void
test_slow_answers(void)
{
	struct world w;
	unsigned int i;

	world_init(&w);
	for (i = 0; i < 10; i++) {
		reach_sent(&w.reach, w.now);
		world_run(&w, REACH_SILENT_MS - 10);
		reach_heard(&w.reach, w.now);
	}
	g_assert_cmpuint(w.started, ==, 0);
	/* One round for a request that waits long. */
	reach_sent(&w.reach, w.now);
	world_run(&w, 10000);
	g_assert_cmpuint(w.started, <=, REACH_PROBES);
	g_assert_false(reach_is_cut(&w.reach));
}

/* Guards against new connections that fail while kept ones still answer. */
static void
test_doubt(void)
{
	struct world w;

	world_init(&w);
	world_set(&w, 0, SERVERS, SILENT);
	g_assert_false(reach_in_doubt(&w.reach));
	world_fail(&w, 3);
	g_assert_true(reach_in_doubt(&w.reach));
	world_run(&w, REACH_PROBE_TIMEOUT_MS + 10);
	g_assert_false(reach_in_doubt(&w.reach));
	g_assert_true(reach_is_cut(&w.reach));
	/* A connection that was begun before does not end the cut. */
	reach_answered(&w.reach, w.now, 1);
	g_assert_true(reach_is_cut(&w.reach));
}

/* Guards against a cut that outlasts the partition, or ends by one server. */
static void
test_back(void)
{
	struct world w;

	world_init(&w);
	world_set(&w, 0, SERVERS, SILENT);
	world_fail(&w, 0);
	world_run(&w, 12000);
	g_assert_true(reach_is_cut(&w.reach));
	/* Probes are bounded while it lasts. */
	g_assert_cmpuint(w.started, <=,
	    REACH_PROBES + REACH_BACK_SERVERS * (12000 / REACH_CUT_PROBE_MS));
	world_set(&w, 2, 3, TAKES);
	world_run(&w, 4000);
	g_assert_true(reach_is_cut(&w.reach));
	world_set(&w, 0, SERVERS, TAKES);
	world_run(&w, 500);
	g_assert_false(reach_is_cut(&w.reach));
	g_assert_cmpuint(w.changes, ==, 2);
}

/* Guards against a second cut that is found later than the first. */
static void
test_series(void)
{
	struct world w;
	unsigned int i;

	world_init(&w);
	for (i = 0; i < 5; i++) {
		world_set(&w, 0, SERVERS, i % 2 ? REFUSES : SILENT);
		world_fail(&w, i);
		world_run(&w, 500);
		world_fail(&w, i + 5);
		world_run(&w, STABLE_MS / 2);
		g_assert_true(reach_is_cut(&w.reach));
		world_set(&w, 0, SERVERS, TAKES);
		world_run(&w, 1500);
		g_assert_false(reach_is_cut(&w.reach));
	}
}

/* Guards against a deployment with fewer servers than a round has probes. */
static void
test_one_server(void)
{
	struct world w;
	struct reach *r = &w.reach;

	world_init(&w);
	reach_failed(r, 100, 1, 1);
	g_assert_cmpuint(reach_probes_due(r, 100), ==, 1);
	reach_probe_started(r, 100);
	reach_probe_ended(r, 102, 1, REACH_PROBE_FAILED, 1);
	g_assert_true(reach_is_cut(r));
	g_assert_cmpuint(reach_probes_due(r, 102), ==, 0);
	g_assert_cmpuint(reach_probes_due(r, 102 + REACH_CUT_PROBE_MS), >, 0);
	reach_probe_started(r, 102 + REACH_CUT_PROBE_MS);
	reach_probe_ended(r, 500, 1, REACH_PROBE_ANSWERED, 1);
	g_assert_false(reach_is_cut(r));
	g_assert_cmpint(reach_next(r), ==, MSEC_NEVER);
}

/* Guards against waits for servers that are gone or silent for long. */
static void
test_pause(void)
{
	struct world w;
	msec cut;

	world_init(&w);
	g_assert_false(reach_may_be_pause(&w.reach, w.now));
	world_set(&w, 0, SERVERS, SILENT);
	reach_suspect(&w.reach, w.now, SERVERS);
	world_run(&w, REACH_PROBE_TIMEOUT_MS + 10);
	cut = w.reach.since;
	g_assert_true(reach_may_be_pause(&w.reach, cut + REACH_PAUSE_MS - 1));
	g_assert_false(reach_may_be_pause(&w.reach, cut + REACH_PAUSE_MS));
	world_set(&w, 0, SERVERS, REFUSES);
	world_run(&w, REACH_CUT_PROBE_MS + 10);
	g_assert_false(reach_may_be_pause(&w.reach, w.now));
	world_set(&w, 0, SERVERS, TAKES);
	world_run(&w, 1500);
	g_assert_false(reach_is_cut(&w.reach));
	g_assert_false(w.reach.refused);
}

/* Guards against idle nodes that take requests and find out one by one. */
static void
test_suspect(void)
{
	struct world w;

	world_init(&w);
	world_set(&w, 0, SERVERS, SILENT);
	reach_suspect(&w.reach, w.now, SERVERS);
	world_run(&w, REACH_PROBE_TIMEOUT_MS + 10);
	g_assert_true(reach_is_cut(&w.reach));
	/* One that was just answered does not probe. */
	world_init(&w);
	reach_answered(&w.reach, w.now, 1);
	reach_suspect(&w.reach, w.now + 10, SERVERS);
	world_run(&w, 100);
	g_assert_cmpuint(w.started, ==, 0);
}

/* Guards against requests that are refused long after the path is back. */
static void
test_hurry(void)
{
	struct world w;

	world_init(&w);
	world_set(&w, 0, SERVERS, SILENT);
	world_fail(&w, 0);
	world_run(&w, 3000);
	g_assert_true(reach_is_cut(&w.reach));
	world_set(&w, 0, SERVERS, TAKES);
	reach_hurry(&w.reach, w.now);
	world_run(&w, REACH_HURRY_MS + 5);
	g_assert_false(reach_is_cut(&w.reach));
}

/* Guards against old failures that are added up over a quiet time. */
static void
test_evidence_expires(void)
{
	struct world w;

	world_init(&w);
	world_fail(&w, 0);
	world_run(&w, 100);
	world_fail(&w, 1);
	world_run(&w, REACH_EVIDENCE_MS);
	g_assert_cmpuint(reach_count_failed(&w.reach, w.now), ==, 0);
	g_assert_false(reach_has_failed(&w.reach, w.now, 2));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/reach/cut-ends-soon", test_cut_ends_soon);
	g_test_add_func("/reach/all-silent", test_all_silent);
	g_test_add_func("/reach/all-refuse", test_all_refuse);
	g_test_add_func("/reach/some-crash", test_some_crash);
	g_test_add_func("/reach/most-gone", test_most_gone);
	g_test_add_func("/reach/most-gone-at-start", test_most_gone_at_start);
	g_test_add_func(
	    "/reach/most-gone-at-start-long", test_most_gone_at_start_long);
	g_test_add_func("/reach/refused-sweep", test_refused_sweep);
	g_test_add_func("/reach/one-service-down", test_one_service_down);
	g_test_add_func("/reach/accept-reset", test_accept_reset);
	g_test_add_func("/reach/accept-silent", test_accept_silent);
	g_test_add_func("/reach/connection-limit", test_connection_limit);
	g_test_add_func("/reach/slow-answers", test_slow_answers);
	g_test_add_func("/reach/doubt", test_doubt);
	g_test_add_func("/reach/back", test_back);
	g_test_add_func("/reach/series", test_series);
	g_test_add_func("/reach/one-server", test_one_server);
	g_test_add_func("/reach/pause", test_pause);
	g_test_add_func("/reach/suspect", test_suspect);
	g_test_add_func("/reach/hurry", test_hurry);
	g_test_add_func("/reach/evidence-expires", test_evidence_expires);
	return g_test_run();
}
