/*
 * Which runs are moved off servers that have turned slow, in virtual time.
 */

#include "run-move.h"
#include "run-pace.h"

#define SERVERS 10
#define STREAMS 40
#define SERVICE 1
#define EVENT_MS 70
#define SLOW_TIMES 5
#define SLOW_AT 1000
#define STEP_MS 5
#define COPY_MS 30
#define MOVE_MS 100
#define END_MS 8000
#define EVENTS 60
#define MEAN_MS (EVENTS * EVENT_MS)

struct stream {
	struct run_pace pace;
	unsigned int server;
	uint64_t made, of;
	msec next, moving_until, ended;
	unsigned int moves;
	unsigned int held; /* events that the node has not read yet */
};

struct world {
	struct stream streams[STREAMS];
	struct run_paces paces;
	unsigned int slow; /* servers, from the first */
	msec slow_until;
	msec pause_at, pause; /* of all servers */
	msec stall; /* the node reads nothing for so long from SLOW_AT on */
	unsigned int moving, moving_most;
};

static void
world_begin(struct world *w, unsigned int slow)
{
	unsigned int i;

	*w = (struct world){ .slow = slow, .slow_until = END_MS };
	for (i = 0; i < STREAMS; i++) {
		w->streams[i].server = i % SERVERS;
		w->streams[i].of = EVENTS;
		w->streams[i].next = 1 + i;
	}
}

static msec
world_event_ms(const struct world *w, const struct stream *s, msec now)
{
	bool slow =
	    s->server < w->slow && now >= SLOW_AT && now < w->slow_until;

	if (w->pause > 0 && now >= w->pause_at && now < w->pause_at + w->pause)
		return w->pause_at + w->pause - now + EVENT_MS;
	return slow ? EVENT_MS * SLOW_TIMES : EVENT_MS;
}

static void
stream_consider(struct world *w, struct stream *s, msec now, uint64_t made)
{
	struct run_move_pace v = { .made = made,
		.mean = MEAN_MS,
		.copy = COPY_MS,
		.deadline = END_MS,
		.running = STREAMS,
		.moving = w->moving };
	msec since;

	if (!run_pace_record(&s->pace, s->server + 1, now, made))
		return;
	run_paces_add(&w->paces, SERVICE, s->server + 1, now, s->pace.newest);
	v.pace = run_pace_kept(&s->pace, &since);
	v.usual = run_paces_usual(&w->paces, SERVICE, s->server + 1, since);
	if (s->moves > 0 || !run_move_choose_slow(&v, now))
		return;
	s->moves++;
	s->moving_until = now + MOVE_MS;
	w->moving++;
	w->moving_most = MAX(w->moving_most, w->moving);
}

/* An event has come; while the node stalls it is read later, with others. */
static void
stream_hear(struct world *w, struct stream *s, msec now)
{
	if (now >= SLOW_AT && now < SLOW_AT + w->stall) {
		s->held++;
		return;
	}
	for (; s->held > 0; s->held--) {
		if (s->moving_until == 0)
			stream_consider(w, s, now, s->made - s->held);
	}
	if (s->moving_until == 0)
		stream_consider(w, s, now, s->made);
}

static void
stream_step(struct world *w, struct stream *s, msec now)
{
	if (s->moving_until != 0 && now >= s->moving_until) {
		s->moving_until = 0;
		s->server = SERVERS - 1;
		w->moving--;
		s->next = now + EVENT_MS;
	}
	if (s->ended != 0 || now < s->next)
		return;
	s->made++;
	if (s->made == s->of) {
		s->ended = now;
		return;
	}
	s->next = now + world_event_ms(w, s, now);
	if (s->moving_until == 0)
		stream_hear(w, s, now);
}

/* Returns how many runs moved. */
static unsigned int
world_run(struct world *w)
{
	unsigned int i, moves = 0;
	msec now;

	for (now = STEP_MS; now < END_MS; now += STEP_MS) {
		for (i = 0; i < STREAMS; i++)
			stream_step(w, &w->streams[i], now);
	}
	for (i = 0; i < STREAMS; i++)
		moves += w->streams[i].moves;
	return moves;
}

/* Guards against moves after a stall of the node, whose events come at once. */
static void
test_node_stalls(void)
{
	struct world w;
	msec stall;

	for (stall = 100; stall <= 1000; stall += 100) {
		world_begin(&w, 0);
		w.stall = stall;
		g_assert_cmpuint(world_run(&w), ==, 0);
	}
}

/*
 * Guards against streams that miss their deadlines on a server that turned
 * slow, and against moves of others.
 */
static void
test_one_slow(void)
{
	struct world w;
	unsigned int i;

	world_begin(&w, 1);
	g_assert_cmpuint(world_run(&w), ==, STREAMS / SERVERS);
	for (i = 0; i < STREAMS; i++) {
		g_assert_cmpint(w.streams[i].ended, !=, 0);
		g_assert_cmpuint(w.streams[i].moves, ==, i % SERVERS == 0);
	}
}

/* Guards against moves from one overloaded server to another. */
static void
test_all_slow(void)
{
	struct world w;

	world_begin(&w, SERVERS);
	g_assert_cmpuint(world_run(&w), ==, 0);
	/* Most of them are. */
	world_begin(&w, SERVERS * 7 / 10);
	g_assert_cmpuint(world_run(&w), ==, 0);
}

/* Guards against moves as the node or all servers pause for a moment. */
static void
test_pause(void)
{
	struct world w;

	world_begin(&w, 0);
	w.pause_at = 2000;
	w.pause = 1000;
	g_assert_cmpuint(world_run(&w), ==, 0);
	/* One server. */
	world_begin(&w, 1);
	w.slow_until = SLOW_AT + 1;
	g_assert_cmpuint(world_run(&w), ==, 0);
}

/* Guards against moves of streams that end in time where they are. */
static void
test_near_end(void)
{
	struct world w;
	unsigned int i;

	world_begin(&w, 1);
	for (i = 0; i < STREAMS; i++)
		w.streams[i].made = EVENTS - 1 - SLOW_AT / EVENT_MS - 10;
	g_assert_cmpuint(world_run(&w), ==, 0);
}

/* Guards against a destination that is flooded. */
static void
test_many_runs(void)
{
	struct world w;
	unsigned int i, n = 0;

	world_begin(&w, 1);
	for (i = 0; i < STREAMS; i++) {
		if (i % 4 != 0)
			w.streams[i].server = 0;
		n += w.streams[i].server == 0;
	}
	world_run(&w);
	g_assert_cmpuint(n, >, STREAMS / 2);
	g_assert_cmpuint(w.moving_most, <=, STREAMS / 8);
	for (i = 0; i < STREAMS; i++)
		g_assert_cmpuint(w.streams[i].moves, <=, 1);
}

/* ---- one decision ---- */

static struct run_move_pace
slow_run(void)
{
	return (struct run_move_pace){ .pace = 350,
		.usual = 70,
		.made = 10,
		.mean = 4200,
		.copy = COPY_MS,
		.deadline = 6000,
		.running = 8 };
}

/* Guards against moves that can't help, or for which nothing is known. */
static void
test_behind(void)
{
	struct run_move_pace v = slow_run();

	g_assert_true(run_move_choose_slow(&v, 0));
	/* The other server would be too late as well. */
	g_assert_false(run_move_choose_slow(&v, 2000));
	v.usual = 0;
	g_assert_false(run_move_choose_slow(&v, 0));
	v = slow_run();
	v.copy = MSEC_NEVER;
	g_assert_false(run_move_choose_slow(&v, 0));
	v = slow_run();
	v.deadline = MSEC_NEVER;
	g_assert_false(run_move_choose_slow(&v, 0));
	v = slow_run();
	v.moving = 1;
	g_assert_false(run_move_choose_slow(&v, 0));
	/* Its caller expects few more events. */
	v = slow_run();
	v.expected = 15;
	g_assert_false(run_move_choose_slow(&v, 0));
	/* It is longer than others of its kind. */
	v = slow_run();
	v.made = 80;
	g_assert_true(run_move_choose_slow(&v, 0));
}

/* Guards against measurements of another service, server or time. */
static void
test_usual(void)
{
	struct run_paces s = { 0 };
	unsigned int i;

	for (i = 1; i <= 3; i++)
		run_paces_add(&s, SERVICE, i, 100, 10.0 * i);
	g_assert_cmpfloat(run_paces_usual(&s, SERVICE, 9, 0), ==, 20);
	g_assert_cmpfloat(run_paces_usual(&s, SERVICE, 3, 0), ==, 20);
	g_assert_cmpfloat(run_paces_usual(&s, SERVICE + 1, 9, 0), ==, 0);
	g_assert_cmpfloat(run_paces_usual(&s, SERVICE, 9, 100), ==, 0);
	/* One other server may be the one that differs. */
	run_paces_add(&s, SERVICE + 2, 1, 100, 10);
	g_assert_cmpfloat(run_paces_usual(&s, SERVICE + 2, 9, 0), ==, 0);
	/* The newest of a server counts. */
	run_paces_add(&s, SERVICE, 1, 110, 50);
	g_assert_cmpfloat(run_paces_usual(&s, SERVICE, 9, 0), ==, 30);
}

/* Guards against moves from a slow server to another slow one. */
static void
test_slow_servers(void)
{
	struct run_paces s = { 0 };
	name_id servers[2] = { 0 };
	unsigned int i;

	for (i = 1; i <= 3; i++)
		run_paces_add(&s, SERVICE, i, 100, 10.0 * i);
	g_assert_cmpuint(run_paces_slow(&s, SERVICE, 20, 0, servers, 2), ==, 2);
	g_assert_cmpuint(servers[0] + servers[1], ==, 2 + 3);
	g_assert_cmpuint(run_paces_slow(&s, SERVICE, 20, 0, servers, 1), ==, 1);
	g_assert_cmpuint(
	    run_paces_slow(&s, SERVICE, 20, 100, servers, 2), ==, 0);
	g_assert_cmpuint(
	    run_paces_slow(&s, SERVICE + 1, 20, 0, servers, 2), ==, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/run-pace/one-slow", test_one_slow);
	g_test_add_func("/run-pace/all-slow", test_all_slow);
	g_test_add_func("/run-pace/pause", test_pause);
	g_test_add_func("/run-pace/near-end", test_near_end);
	g_test_add_func("/run-pace/many-runs", test_many_runs);
	g_test_add_func("/run-pace/behind", test_behind);
	g_test_add_func("/run-pace/node-stalls", test_node_stalls);
	g_test_add_func("/run-pace/usual", test_usual);
	g_test_add_func("/run-pace/slow-servers", test_slow_servers);
	return g_test_run();
}
