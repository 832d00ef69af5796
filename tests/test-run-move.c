/*
 * Which runs are moved off a server that leaves, and what follows from each
 * answer; in virtual time.
 */

#include "run-move.h"

#define RUNS 64
#define STAY_MS 3000
#define COPY_MS 30
#define STEP_MS 5
#define REST_STEP_MS 100
/* A deadline that plays no part. */
#define FAR 100000
/* A run whose rest is not known is moved if it lasts longer than this. */
#define UNSURE_REST_MS (STAY_MS - 4 * (COPY_MS + RUN_MOVE_STOP_MS))

/* ---- the load: many runs on one server that leaves ---- */

struct run {
	struct run_move move;
	msec ends; /* of its stream, if it is not moved */
	bool known;
	bool moved;
	msec answer_at; /* of the call in progress; 0: none */
	msec stopped_at, resumed_at;
};

struct world {
	struct run runs[RUNS];
	msec link_free; /* copies pass the source's link one by one */
};

static struct run_move_view
run_view(const struct run *r, msec now)
{
	return (struct run_move_view){ true, STAY_MS, STAY_MS,
		r->known ? r->ends - now : MSEC_NEVER, COPY_MS, FAR };
}

static void
run_call(struct world *w, struct run *r, msec now, msec takes)
{
	w->link_free = MAX(w->link_free, now) + takes;
	r->answer_at = w->link_free;
}

static void
run_do(struct world *w, struct run *r, msec now, enum run_move_step step)
{
	if (step == RUN_MOVE_COPY) {
		run_call(w, r, now, COPY_MS);
	} else if (step == RUN_MOVE_STOP) {
		r->stopped_at = now;
		run_call(w, r, now, 1);
	} else if (step == RUN_MOVE_RESUME) {
		r->moved = true;
		r->resumed_at = now;
	} else {
		g_assert_cmpint(step, ==, RUN_MOVE_WAIT);
	}
}

static void
run_step(struct world *w, struct run *r, msec now)
{
	struct run_move_view v = run_view(r, now);
	msec again;

	if (r->moved || (r->stopped_at == 0 && now >= r->ends))
		return;
	if (r->answer_at != 0 && now >= r->answer_at) {
		r->answer_at = 0;
		run_do(w, r, now,
		    run_move_answered(
			&r->move, now, RUN_MOVE_COPIED, true, true));
	}
	if (r->move.state == RUN_MOVE_IDLE && !r->moved &&
	    run_move_choose(&v, now, &again) == RUN_MOVE_NOW) {
		run_move_begin(&r->move, now, &v);
		run_do(w, r, now, run_move_placed(&r->move, now, true));
	}
}

/*
 * Guards against streams that end with their server, and against moves of
 * streams that would have ended before it.
 */
static void
test_many_runs(void)
{
	struct world w = { 0 };
	struct run *r;
	unsigned int i;
	msec now;

	for (i = 0; i < RUNS; i++) {
		w.runs[i].ends = REST_STEP_MS * (i + 1);
		w.runs[i].known = i % 2 == 0;
	}
	for (now = 0; now < STAY_MS; now += STEP_MS) {
		for (i = 0; i < RUNS; i++)
			run_step(&w, &w.runs[i], now);
	}
	for (i = 0; i < RUNS; i++) {
		r = &w.runs[i];
		if (r->ends > STAY_MS)
			g_assert_true(r->moved);
		else if (r->known || r->ends <= UNSURE_REST_MS)
			g_assert_false(r->moved);
		if (r->moved)
			g_assert_cmpint(r->resumed_at - r->stopped_at, <=,
			    RUN_MOVE_STOP_TIMEOUT_MS);
	}
}

/* ---- whether to move a run ---- */

static enum run_move_choice
choose(bool leaving, msec leaves_at, msec rest, msec copy, msec deadline)
{
	struct run_move_view v = { leaving, leaves_at, leaves_at, rest, copy,
		deadline };
	msec again;

	return run_move_choose(&v, 0, &again);
}

/*
 * Guards against moves of runs that would end in time or could not be moved
 * before the server ends, and against others that stay.
 */
static void
test_choose(void)
{
	g_assert_cmpint(choose(true, 3000, 4000, 30, FAR), ==, RUN_MOVE_NOW);
	g_assert_cmpint(choose(false, 3000, 4000, 30, FAR), ==, RUN_MOVE_STAY);
	g_assert_cmpint(
	    choose(true, MSEC_NEVER, 4000, 30, FAR), ==, RUN_MOVE_STAY);
	/* The caller gives up before the server ends. */
	g_assert_cmpint(choose(true, 3000, 4000, 30, 2900), ==, RUN_MOVE_STAY);
	/* It would not end in time. */
	g_assert_cmpint(choose(true, 320, 4000, 30, FAR), ==, RUN_MOVE_STAY);
	g_assert_cmpint(choose(true, 3000, 1000, 30, FAR), ==, RUN_MOVE_LATER);
	g_assert_cmpint(
	    choose(true, 3000, MSEC_NEVER, 30, FAR), ==, RUN_MOVE_LATER);
	g_assert_cmpint(
	    choose(true, 1000, MSEC_NEVER, 30, FAR), ==, RUN_MOVE_NOW);
	g_assert_cmpint(choose(true, 1000, 900, 30, FAR), ==, RUN_MOVE_STAY);
	g_assert_cmpint(choose(true, run_move_window(30), MSEC_NEVER, 30, FAR),
	    ==, RUN_MOVE_NOW);
}

/* ---- one run ---- */

static struct run_move
move_copying(void)
{
	struct run_move_view v = { true, STAY_MS, STAY_MS, MSEC_NEVER, COPY_MS,
		FAR };
	struct run_move m;

	run_move_begin(&m, 0, &v);
	g_assert_cmpint(run_move_placed(&m, 1, true), ==, RUN_MOVE_COPY);
	return m;
}

static struct run_move
move_stopping(void)
{
	struct run_move m = move_copying();

	g_assert_cmpint(run_move_answered(&m, 50, RUN_MOVE_COPIED, true, true),
	    ==, RUN_MOVE_STOP);
	g_assert_true(run_move_is_stopping(&m));
	return m;
}

/* Guards against a run in two places, where the source says that it has it. */
static void
test_busy_after_break(void)
{
	struct run_move m = move_stopping();

	g_assert_cmpint(run_move_broke(&m), ==, RUN_MOVE_WAIT);
	g_assert_cmpint(run_move_answered(&m, 60, RUN_MOVE_BUSY, true, true),
	    ==, RUN_MOVE_LOST);
}

/* Guards against a run that is stopped though it can't go on elsewhere. */
static void
test_harmless(void)
{
	static const enum run_move_answer answers[] = { RUN_MOVE_NO_RUN,
		RUN_MOVE_BUSY, RUN_MOVE_NO_ROOM, RUN_MOVE_NO_ANSWER };
	struct run_move m;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		m = move_copying();
		g_assert_cmpint(
		    run_move_answered(&m, 50, answers[i], false, false), ==,
		    RUN_MOVE_GIVE_UP);
	}
	/* The copy has no name, or the budget is used up. */
	m = move_copying();
	g_assert_cmpint(run_move_answered(&m, 50, RUN_MOVE_COPIED, false, true),
	    ==, RUN_MOVE_GIVE_UP);
	m = move_copying();
	g_assert_cmpint(run_move_answered(&m, 50, RUN_MOVE_COPIED, true, false),
	    ==, RUN_MOVE_GIVE_UP);
	g_assert_cmpint(m.reason, ==, RUN_MOVE_REASON_NO_BUDGET);
	m = move_copying();
	g_assert_cmpint(run_move_tick(&m, m.due), ==, RUN_MOVE_GIVE_UP);
	m = move_copying();
	g_assert_cmpint(run_move_broke(&m), ==, RUN_MOVE_LOST);
}

/* Guards against a destination that is not found until it is too late. */
static void
test_no_destination(void)
{
	struct run_move_view v = { true, STAY_MS, STAY_MS, MSEC_NEVER, COPY_MS,
		FAR };
	struct run_move m;

	run_move_begin(&m, 0, &v);
	g_assert_cmpint(run_move_placed(&m, 1, false), ==, RUN_MOVE_GIVE_UP);
	run_move_begin(&m, 0, &v);
	g_assert_cmpint(
	    run_move_placed(&m, STAY_MS - 1, true), ==, RUN_MOVE_GIVE_UP);
	run_move_begin(&m, 0, &v);
	g_assert_cmpint(run_move_tick(&m, 1), ==, RUN_MOVE_WAIT);
	g_assert_cmpint(run_move_tick(&m, m.due), ==, RUN_MOVE_GIVE_UP);
}

/*
 * Guards against one run on two servers: with the confirmation lost, it is
 * resumed only once its stream has ended.
 */
static void
test_confirmation_lost(void)
{
	struct run_move m = move_stopping();

	g_assert_cmpint(
	    run_move_answered(&m, 900, RUN_MOVE_NO_ANSWER, false, false), ==,
	    RUN_MOVE_WAIT);
	g_assert_cmpint(run_move_broke(&m), ==, RUN_MOVE_RESUME);
	m = move_stopping();
	g_assert_cmpint(run_move_broke(&m), ==, RUN_MOVE_WAIT);
	g_assert_cmpint(
	    run_move_answered(&m, 900, RUN_MOVE_NO_ANSWER, false, false), ==,
	    RUN_MOVE_RESUME);
	/* It goes on, so it was not stopped. */
	m = move_stopping();
	run_move_answered(&m, 900, RUN_MOVE_NO_ANSWER, false, false);
	g_assert_cmpint(run_move_heard(&m), ==, RUN_MOVE_GIVE_UP);
	m = move_stopping();
	run_move_answered(&m, 900, RUN_MOVE_NO_ANSWER, false, false);
	g_assert_cmpint(
	    run_move_tick(&m, 900 + RUN_MOVE_CLOSE_MS), ==, RUN_MOVE_GIVE_UP);
}

/* Guards against a run that is taken as lost when it ended just before. */
static void
test_ended_meanwhile(void)
{
	struct run_move m = move_stopping();

	g_assert_cmpint(
	    run_move_answered(&m, 60, RUN_MOVE_NO_RUN, false, false), ==,
	    RUN_MOVE_GIVE_UP);
	m = move_stopping();
	g_assert_cmpint(run_move_broke(&m), ==, RUN_MOVE_WAIT);
	g_assert_cmpint(
	    run_move_answered(&m, 60, RUN_MOVE_NO_RUN, false, false), ==,
	    RUN_MOVE_RESUME);
}

/* Guards against a stopped run that no server takes although one could. */
static void
test_refused(void)
{
	struct run_move m = move_stopping();

	g_assert_cmpint(run_move_answered(&m, 60, RUN_MOVE_NO_ROOM, true, true),
	    ==, RUN_MOVE_RETURN);
	g_assert_true(run_move_is_resuming(&m));
	g_assert_cmpint(run_move_refused(&m, 70, true), ==, RUN_MOVE_LOST);
	m = move_stopping();
	run_move_answered(&m, 60, RUN_MOVE_COPIED, true, true);
	g_assert_cmpint(run_move_refused(&m, 70, true), ==, RUN_MOVE_RETURN);
	m = move_stopping();
	run_move_answered(&m, 60, RUN_MOVE_COPIED, true, true);
	g_assert_cmpint(run_move_refused(&m, 70, false), ==, RUN_MOVE_LOST);
	/* The source takes no requests any more. */
	m = move_stopping();
	run_move_answered(&m, 60, RUN_MOVE_COPIED, true, true);
	g_assert_cmpint(run_move_refused(&m, STAY_MS, true), ==, RUN_MOVE_LOST);
	m = move_stopping();
	g_assert_cmpint(
	    run_move_answered(&m, STAY_MS, RUN_MOVE_NO_ROOM, true, true), ==,
	    RUN_MOVE_LOST);
	/* Nobody said that the source keeps the memory. */
	m = move_stopping();
	run_move_answered(&m, 60, RUN_MOVE_NO_ANSWER, false, false);
	run_move_broke(&m);
	g_assert_cmpint(run_move_refused(&m, 70, true), ==, RUN_MOVE_LOST);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/run-move/many-runs", test_many_runs);
	g_test_add_func("/run-move/choose", test_choose);
	g_test_add_func("/run-move/harmless", test_harmless);
	g_test_add_func("/run-move/no-destination", test_no_destination);
	g_test_add_func("/run-move/confirmation-lost", test_confirmation_lost);
	g_test_add_func("/run-move/ended-meanwhile", test_ended_meanwhile);
	g_test_add_func("/run-move/refused", test_refused);
	g_test_add_func("/run-move/busy-after-break", test_busy_after_break);
	return g_test_run();
}
