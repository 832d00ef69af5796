/*
 * Tests which requests nodes refuse when servers have too much to read
 * (server-limit.c), over several nodes in virtual time.
 */

#include "util-place-load.h"

#include <string.h>

static struct places ps;
static struct load load;

/* Requests that begin near the limit are in time. */
static void
train_in_time(void)
{
	static struct place_request r[24];
	unsigned int i, k;

	for (k = 0; k < 8; k++) {
		for (i = 0; i < G_N_ELEMENTS(r); i++) {
			places_fill_last_tier(&r[i], 0, 6000);
			place_submit(&ps.nodes[0].place, ps.now, &r[i]);
			places_run(&ps, 5);
		}
		for (i = 0; i < G_N_ELEMENTS(r); i++) {
			place_prompt_read(&ps.nodes[0].place, ps.now, &r[i]);
			place_end(
			    &ps.nodes[0].place, ps.now, &r[i], SERVER_ANSWERED);
		}
		places_run(&ps, 5);
	}
}

/* `times` admitted requests are late, one after the other. */
static void
train_late(unsigned int times)
{
	struct place_request r;
	unsigned int i;

	for (i = 0; i < times; i++) {
		places_fill_last_tier(&r, 0, 100);
		place_submit(&ps.nodes[0].place, ps.now, &r);
		places_run(&ps, 5);
		place_prompt_read(&ps.nodes[0].place, ps.now, &r);
		place_mark_late(&ps.nodes[0].place, ps.now, &r);
		place_mark_late(&ps.nodes[0].place, ps.now, &r);
		places_run(&ps, 5);
		place_end(&ps.nodes[0].place, ps.now, &r, SERVER_ANSWERED);
		places_run(&ps, 5);
	}
}

/* Sends 40 prompts of 100 ms to four servers; returns how many are refused. */
static unsigned int
submit_forty(struct place_request *r)
{
	unsigned int i, refused = 0;

	for (i = 0; i < 40; i++) {
		places_fill_last_tier(&r[i], 0, 6000);
		place_submit(&ps.nodes[i % 8].place, ps.now, &r[i]);
		places_run(&ps, 5);
		refused += place_queue_exceeds_limit(&r[i].queue);
	}
	return refused;
}

static void
end_forty(struct place_request *r)
{
	unsigned int i;

	for (i = 0; i < 40; i++)
		place_end(
		    &ps.nodes[i % 8].place, ps.now, &r[i], SERVER_NO_RESULT);
	places_run(&ps, 5);
}

/*
 * Guards against overloaded servers: when prompts queue at all servers of a
 * group and requests are late, further requests are refused. Not refused are a
 * more urgent request, which servers process first, one that meets a single
 * busy server under low load, and requests with the same queue if all are in
 * time.
 */
static void
test_turned_away(void)
{
	static struct place_request r[40];
	struct place_request urgent, lone;
	unsigned int i, refused;

	places_start(&ps, 8, 4);
	train_in_time();
	/* The last has 1,000 ms ahead of it, with a target of 2,500. */
	g_assert_cmpuint(submit_forty(r), ==, 0);
	end_forty(r);
	train_late(20);
	refused = submit_forty(r);
	/* After twelve, 300 ms are queued at each server. */
	g_assert_cmpuint(refused, >=, 22);
	g_assert_cmpuint(refused, <=, 28);
	places_fill_request(&urgent, 0, 1000);
	urgent.wish.rank = 1;
	urgent.wish.target = 400;
	place_submit(&ps.nodes[0].place, ps.now, &urgent);
	places_run(&ps, 5);
	g_assert_false(place_queue_exceeds_limit(&urgent.queue));
	place_end(&ps.nodes[0].place, ps.now, &urgent, SERVER_ANSWERED);
	end_forty(r);
	places_stop(&ps);

	places_start(&ps, 8, 4);
	train_late(20);
	for (i = 0; i < 6; i++) {
		places_fill_last_tier(&r[i], 7, 4000);
		place_submit(&ps.nodes[i % 8].place, ps.now, &r[i]);
		places_run(&ps, 5);
	}
	places_fill_last_tier(&lone, 7, 4000);
	place_submit(&ps.nodes[0].place, ps.now, &lone);
	places_run(&ps, 5);
	g_assert_false(place_queue_exceeds_limit(&lone.queue));
	place_end(&ps.nodes[0].place, ps.now, &lone, SERVER_ANSWERED);
	for (i = 0; i < 6; i++)
		place_end(
		    &ps.nodes[i % 8].place, ps.now, &r[i], SERVER_ANSWERED);
	places_stop(&ps);
}

/* A request of the last tier that meets more than its limit is refused. */
static void
load_refuse_one(const struct server_wish *w)
{
	static struct place_request r[40];
	struct place_request again;

	g_assert_cmpuint(submit_forty(r), >, 0);
	places_fill_last_tier(&again, 0, 6000);
	again.wish.repeat = w->repeat;
	place_submit(&ps.nodes[0].place, ps.now, &again);
	places_run(&ps, 5);
	g_assert_true(place_queue_exceeds_limit(&again.queue));
	place_end(&ps.nodes[0].place, ps.now, &again, SERVER_NO_RESULT);
	end_forty(r);
}

/*
 * Guards against a caller that returns after the coordinator which refused its
 * request has stopped, and counts as new.
 */
static void
test_returns_to_successor(void)
{
	const struct server_wish w = { .repeat = 4711 };
	unsigned int i, know = 0;

	places_start(&ps, 8, 4);
	train_late(20);
	load_refuse_one(&w);
	for (i = 0; i < ps.n; i++)
		know += returns_expected(
		    &ps.nodes[i].place.returns, ps.now, w.repeat);
	/* The coordinator and the one after it. */
	g_assert_cmpuint(know, ==, 2);
	places_stop(&ps);
}

/*
 * Guards against refused requests with short targets under low load. With
 * servers at a sixth of their capacity, requests with a target of 400 ms were
 * refused while prompts four times as long with a target of 1,200 ms were
 * admitted: 48 ms of queued work were more than 12% of the shorter target.
 */
static void
test_tight_target(void)
{
	struct load_kind kinds[] = {
		{ 31.3, 2, 6300, 2890, 332, 1200, 600, 0, 0, 0 },
		{ 22.2, 1, 568, 1800, 235, 400, 250, 0, 0, 0 },
		{ 11.0, 0, 172, 543, 77, 300, 150, 0, 0, 0 },
	};
	unsigned int i;

	load_run_all(&load, &ps, kinds, G_N_ELEMENTS(kinds));
	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		g_assert_cmpuint(kinds[i].asked, >=, 70);
		g_assert_cmpuint(kinds[i].refused, ==, 0);
		g_assert_cmpuint(kinds[i].late * 50, <=, kinds[i].asked);
	}
}

/*
 * The same when there are more of the least urgent prompts than the servers can
 * process: some of these are refused, and no more urgent request is.
 */
static void
test_tight_target_overload(void)
{
	struct load_kind kinds[] = {
		{ 140, 2, 6300, 2890, 332, 1200, 600, 0, 0, 0 },
		{ 22.2, 1, 568, 1800, 235, 400, 250, 0, 0, 0 },
		{ 11.0, 0, 172, 543, 77, 300, 150, 0, 0, 0 },
	};

	load_run_all(&load, &ps, kinds, G_N_ELEMENTS(kinds));
	g_assert_cmpuint(kinds[0].refused, >, 50);
	g_assert_cmpuint(kinds[1].refused, ==, 0);
	g_assert_cmpuint(kinds[2].refused, ==, 0);
	g_assert_cmpuint(kinds[1].late * 20, <=, kinds[1].asked);
	/* Most of the admitted ones are in time. */
	g_assert_cmpuint(
	    kinds[0].late * 4, <=, kinds[0].asked - kinds[0].refused);
}

/*
 * Guards against requests that are late at slow servers while others have room:
 * two of nine read half as fast.
 */
static void
test_slow_servers(void)
{
	struct load_kind kinds[] = {
		{ 45, 2, 6300, 6000, 332, 1200, 600, 0, 0, 0, 0 },
		{ 20, 1, 568, 1800, 235, 400, 250, 0, 0, 0, 0 },
	};
	unsigned int i, slow = 0, all = 0;
	struct server *v;

	load_start(&load, &ps);
	load.slow_servers = 2;
	load_run(&load, kinds, G_N_ELEMENTS(kinds), 10000);
	for (i = 0; i < load.n; i++) {
		v = servers_find(
		    &ps.nodes[0].servers, load.requests[i].place.server);
		if (v == NULL || load.requests[i].kind != &kinds[0])
			continue;
		all++;
		slow += load_speed(&load, v->id) < 1;
	}
	load_stop(&load);
	g_test_message("%u of %u at slow servers; late %u, %u", slow, all,
	    kinds[0].late, kinds[1].late);
	g_assert_cmpuint(kinds[0].late * 50, <=, kinds[0].asked);
	g_assert_cmpuint(kinds[1].late * 20, <=, kinds[1].asked);
}

/*
 * Guards against callers who return as told after a refusal and are refused
 * again, which ends their requests, while new ones are let in.
 */
static void
test_returns(void)
{
	struct load_kind kinds[] = {
		{ 150, 2, 6300, 2890, 332, 1200, 600, 0, 0, 0, 0 },
		{ 22.2, 1, 568, 1800, 235, 400, 250, 0, 0, 0, 0 },
	};

	load_start(&load, &ps);
	load.return_ms = 600;
	load_run(&load, kinds, G_N_ELEMENTS(kinds), 10000);
	load_stop(&load);
	g_test_message("asked %u, refused %u, lost %u, late %u", kinds[0].asked,
	    kinds[0].refused, kinds[0].lost, kinds[0].late);
	g_assert_cmpuint(kinds[0].refused, >, 100);
	/* Of those refused at first, less than half are refused again. */
	g_assert_cmpuint(
	    kinds[0].lost * 2, <, kinds[0].refused - kinds[0].lost);
	g_assert_cmpuint(kinds[1].refused, ==, 0);
	g_assert_cmpuint(kinds[1].late * 20, <=, kinds[1].asked);
}

/* Percentage of refused requests between two points in time. */
static unsigned int
load_refused_percent(const struct load_kind *then, const struct load_kind *now)
{
	return 100 * (now->refused - then->refused) /
	       (now->asked - then->asked);
}

/* Percentage of late requests among the admitted ones. */
static unsigned int
load_late_percent(const struct load_kind *then, const struct load_kind *now)
{
	unsigned int admitted =
	    now->asked - then->asked - (now->refused - then->refused);

	return 100 * (now->late - then->late) / MAX(admitted, 1);
}

/*
 * Guards against overloaded servers after the coordinator is killed in a burst.
 * Until the membership changes, each node decides by itself. Nodes then refused
 * no requests any more, so queues grew to seconds and streams were cut off at
 * their deadline, also long afterwards. Without an answer, a node must refuse
 * the same proportion of requests as the coordinator did before.
 */
static void
test_burst_coordinator_killed(void)
{
	struct load_kind kinds[] = {
		{ 480, 2, 630, 2890, 332, 1200, 600, 0, 0, 0 },
		{ 22.2, 1, 568, 1800, 235, 400, 250, 0, 0, 0 },
		{ 11.0, 0, 172, 543, 77, 300, 150, 0, 0, 0 },
	};
	struct load_kind start[G_N_ELEMENTS(kinds)];
	unsigned int before, late_before, i;

	load_start(&load, &ps);
	load_keep_prompts(&load);
	load_run(&load, kinds, G_N_ELEMENTS(kinds), 2000);
	memcpy(start, kinds, sizeof start);
	load_run(&load, kinds, G_N_ELEMENTS(kinds), 3000);
	before = load_refused_percent(&start[0], &kinds[0]);
	late_before = load_late_percent(&start[0], &kinds[0]);
	g_assert_cmpuint(before, >=, 25);

	load_kill_node(&load, places_coordinator(&ps));
	memcpy(start, kinds, sizeof start);
	load_run(&load, kinds, G_N_ELEMENTS(kinds), 2000);
	g_test_message("refused %u%% late %u%%, then %u%% and %u%%", before,
	    late_before, load_refused_percent(&start[0], &kinds[0]),
	    load_late_percent(&start[0], &kinds[0]));
	g_assert_cmpuint(
	    load_refused_percent(&start[0], &kinds[0]) * 4, >=, before * 3);
	g_assert_cmpuint(
	    load_late_percent(&start[0], &kinds[0]), <=, late_before + 15);
	/* More urgent requests are admitted as before. */
	for (i = 1; i < G_N_ELEMENTS(kinds); i++)
		g_assert_cmpuint(
		    load_refused_percent(&start[i], &kinds[i]), ==, 0);

	/* The membership changes: the next coordinator finds no long queues. */
	places_set_members(&ps);
	memcpy(start, kinds, sizeof start);
	load_run(&load, kinds, G_N_ELEMENTS(kinds), 2000);
	g_test_message("with the next coordinator: refused %u%% late %u%%",
	    load_refused_percent(&start[0], &kinds[0]),
	    load_late_percent(&start[0], &kinds[0]));
	g_assert_cmpuint(
	    load_late_percent(&start[0], &kinds[0]), <=, late_before + 15);
	load_stop(&load);
}

/*
 * Guards against overload when a coordinator restarts during a burst. Its
 * return takes seconds to reach all nodes, so half of them polled it and half
 * polled its successor. Each counted half of the load, and both together
 * admitted twice what the servers could process. It also had no record of the
 * prompts that servers had cached. It may coordinate only when all nodes must
 * have received its return.
 */
static void
test_burst_coordinator_returns(void)
{
	struct load_kind kinds[] = {
		{ 480, 2, 630, 2890, 332, 1200, 600, 0, 0, 0 },
		{ 22.2, 1, 568, 1800, 235, 400, 250, 0, 0, 0 },
		{ 11.0, 0, 172, 543, 77, 300, 150, 0, 0, 0 },
	};
	struct load_kind start[G_N_ELEMENTS(kinds)];
	struct places_node *n;
	unsigned int before, i;

	load_start(&load, &ps);
	load_keep_prompts(&load);
	load_run(&load, kinds, G_N_ELEMENTS(kinds), 2000);
	n = places_coordinator(&ps);
	load_kill_node(&load, n);
	places_set_members(&ps);
	load_run(&load, kinds, G_N_ELEMENTS(kinds), 2000);
	memcpy(start, kinds, sizeof start);
	load_run(&load, kinds, G_N_ELEMENTS(kinds), 1000);
	before = load_refused_percent(&start[0], &kinds[0]);
	g_assert_cmpuint(before, >=, 25);

	places_restart_node(n);
	places_set_members(&ps);
	memcpy(start, kinds, sizeof start);
	load_run(&load, kinds, G_N_ELEMENTS(kinds), 3000);
	g_test_message("refused %u%%, then %u%% late %u%%, coordinated %u",
	    before, load_refused_percent(&start[0], &kinds[0]),
	    load_late_percent(&start[0], &kinds[0]),
	    (unsigned int)n->place.counters.coordinated);
	g_assert_cmpuint(n->place.counters.coordinated, ==, 0);
	g_assert_cmpuint(
	    load_refused_percent(&start[0], &kinds[0]) * 4, >=, before * 3);

	/* All nodes have its return, and after a while it coordinates again. */
	n->rejoining = false;
	places_set_members(&ps);
	load_run(&load, kinds, G_N_ELEMENTS(kinds), 1000);
	g_assert_cmpuint(n->place.counters.coordinated, ==, 0);
	for (i = 0; i < 2; i++) {
		load_run(&load, kinds, G_N_ELEMENTS(kinds), 500);
		places_set_members(&ps);
	}
	load_run(&load, kinds, G_N_ELEMENTS(kinds), 500);
	g_assert_cmpuint(n->place.counters.coordinated, >, 0);
	load_stop(&load);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/place/turned-away", test_turned_away);
	g_test_add_func("/place/tight-target", test_tight_target);
	g_test_add_func(
	    "/place/tight-target-overload", test_tight_target_overload);
	g_test_add_func(
	    "/place/burst-coordinator-killed", test_burst_coordinator_killed);
	g_test_add_func(
	    "/place/burst-coordinator-returns", test_burst_coordinator_returns);
	g_test_add_func(
	    "/place/returns-to-successor", test_returns_to_successor);
	g_test_add_func("/place/slow-servers", test_slow_servers);
	g_test_add_func("/place/returns", test_returns);
	return g_test_run();
}
