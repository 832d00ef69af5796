/*
 * Decisions about the move of a run; see run-move.h.
 */

#include "run-move.h"

/*
 * Copies of several runs wait for each other on the servers' links, so the last
 * moment for one is so many times its own time before the server ends.
 */
#define RUN_MOVE_QUEUE_FACTOR 4
/* Time allowed for a move off a slow server, in times of move_span(). */
#define RUN_MOVE_SLOW_SPANS 2
/* Of the open requests of a node, one in so many moves at a time. */
#define RUN_MOVE_SLOW_SHARE 8
/* A stream is expected to make its events so far, divided by this, again. */
#define RUN_MOVE_REST_DIVISOR 2

const char *
run_move_reason_name(enum run_move_reason reason)
{
	static const char *const names[RUN_MOVE_REASONS] = { "none",
		"no-server", "no-budget", "no-run", "busy", "no-room",
		"no-answer", "refused", "ended" };

	return names[reason];
}

/* Least time from the first request to copy until the run is resumed. */
static msec
move_span(msec copy)
{
	return copy + RUN_MOVE_STOP_MS;
}

msec
run_move_window(msec copy)
{
	return RUN_MOVE_QUEUE_FACTOR * move_span(copy);
}

enum run_move_choice
run_move_choose(const struct run_move_view *v, msec now, msec *again)
{
	msec stays, last;

	if (!v->leaving || v->leaves_at == MSEC_NEVER ||
	    v->copy == MSEC_NEVER || v->deadline <= v->leaves_at)
		return RUN_MOVE_STAY;
	stays = v->leaves_at - now;
	if (stays < move_span(v->copy))
		return RUN_MOVE_STAY;
	if (v->rest != MSEC_NEVER && v->rest > stays)
		return RUN_MOVE_NOW;
	last = v->leaves_at - run_move_window(v->copy);
	if (now < last) {
		*again = last;
		return RUN_MOVE_LATER;
	}
	return v->rest == MSEC_NEVER ? RUN_MOVE_NOW : RUN_MOVE_STAY;
}

/* Events that are expected of the run. */
static double
move_rest_events(const struct run_move_pace *v)
{
	double made = (double)v->made, rest;
	double mean = v->mean != MSEC_NEVER ? (double)v->mean / v->usual : 0;

	if (v->expected > v->made)
		rest = (double)(v->expected - v->made);
	else
		rest = MAX(mean - made, made / RUN_MOVE_REST_DIVISOR);
	if (v->most > 0)
		rest = MIN(rest, (double)v->most - made);
	return rest;
}

bool
run_move_choose_slow(const struct run_move_pace *v, msec now)
{
	double rest, left = (double)(v->deadline - now);

	if (v->deadline == MSEC_NEVER || v->copy == MSEC_NEVER)
		return false;
	if (v->usual <= 0 || v->pace < RUN_MOVE_SLOW_TIMES * v->usual)
		return false;
	if (v->moving >= MAX(v->running / RUN_MOVE_SLOW_SHARE, 1))
		return false;
	rest = move_rest_events(v);
	if (rest * v->pace <= left)
		return false;
	return (double)(RUN_MOVE_SLOW_SPANS * move_span(v->copy)) +
		   rest * v->usual <=
	       left;
}

struct run_move_view
run_move_slow_view(const struct run_move_pace *v, msec now)
{
	return (struct run_move_view){
		.leaves_at = MIN(v->deadline, now + run_move_window(v->copy)),
		.sends_until = v->deadline,
		.rest = MSEC_NEVER,
		.copy = v->copy,
		.deadline = v->deadline,
	};
}

static void
move_wait(struct run_move *m, enum run_move_state state, msec due)
{
	m->state = state;
	m->due = due;
}

static enum run_move_step
move_end(
    struct run_move *m, enum run_move_reason reason, enum run_move_step step)
{
	move_wait(m, RUN_MOVE_IDLE, MSEC_NEVER);
	m->reason = reason;
	return step;
}

void
run_move_begin(struct run_move *m, msec now, const struct run_move_view *v)
{
	*m = (struct run_move){ .leaves_at = v->leaves_at,
		.sends_until = v->sends_until,
		.copy = v->copy };
	move_wait(m, RUN_MOVE_PLACING, now + RUN_MOVE_PLACE_TIMEOUT_MS);
}

enum run_move_step
run_move_placed(struct run_move *m, msec now, bool found)
{
	msec until = m->leaves_at - RUN_MOVE_STOP_MS;

	if (!found || now >= until)
		return move_end(m, RUN_MOVE_REASON_NO_SERVER, RUN_MOVE_GIVE_UP);
	move_wait(m, RUN_MOVE_COPYING, until);
	return RUN_MOVE_COPY;
}

static enum run_move_step
move_resume(struct run_move *m)
{
	move_wait(m, RUN_MOVE_RESUMING, MSEC_NEVER);
	return RUN_MOVE_RESUME;
}

/* The source keeps the memory of a run that it has stopped. */
static enum run_move_step
move_return(struct run_move *m, msec now)
{
	if (now >= m->sends_until)
		return move_end(m, RUN_MOVE_REASON_REFUSED, RUN_MOVE_LOST);
	move_wait(m, RUN_MOVE_RETURNING, MSEC_NEVER);
	return RUN_MOVE_RETURN;
}

static enum run_move_reason
move_reason(enum run_move_answer a)
{
	static const enum run_move_reason reasons[] = {
		/* Without a handle. */
		[RUN_MOVE_COPIED] = RUN_MOVE_REASON_NO_ANSWER,
		[RUN_MOVE_NO_RUN] = RUN_MOVE_REASON_NO_RUN,
		[RUN_MOVE_BUSY] = RUN_MOVE_REASON_BUSY,
		[RUN_MOVE_NO_ROOM] = RUN_MOVE_REASON_NO_ROOM,
		[RUN_MOVE_NO_ANSWER] = RUN_MOVE_REASON_NO_ANSWER,
	};

	return reasons[a];
}

static enum run_move_step
move_copied(struct run_move *m, msec now, enum run_move_answer a, bool handle,
    bool budget)
{
	if (a != RUN_MOVE_COPIED || !handle)
		return move_end(m, move_reason(a), RUN_MOVE_GIVE_UP);
	if (!budget)
		return move_end(m, RUN_MOVE_REASON_NO_BUDGET, RUN_MOVE_GIVE_UP);
	move_wait(
	    m, RUN_MOVE_STOPPING, now + RUN_MOVE_STOP_TIMEOUT_MS + m->copy);
	return RUN_MOVE_STOP;
}

static enum run_move_step
move_stopped(struct run_move *m, msec now, enum run_move_answer a)
{
	switch (a) {
	case RUN_MOVE_COPIED:
		m->stopped = true;
		return move_resume(m);
	case RUN_MOVE_NO_ROOM:
		m->stopped = true;
		return move_return(m, now);
	case RUN_MOVE_BUSY:
		/*
		 * The source still has the run: nothing resumes from the copy.
		 * If the stream broke, the route's rules for that hold.
		 */
		return move_end(m, RUN_MOVE_REASON_BUSY,
		    m->broke ? RUN_MOVE_LOST : RUN_MOVE_GIVE_UP);
	case RUN_MOVE_NO_RUN:
		/* Its last bytes are on their way. */
		if (!m->broke)
			return move_end(m, move_reason(a), RUN_MOVE_GIVE_UP);
		return move_resume(m);
	case RUN_MOVE_NO_ANSWER:
		break;
	}
	if (m->broke)
		return move_resume(m);
	move_wait(m, RUN_MOVE_UNSURE, now + RUN_MOVE_CLOSE_MS);
	return RUN_MOVE_WAIT;
}

enum run_move_step
run_move_answered(struct run_move *m, msec now, enum run_move_answer a,
    bool handle, bool budget)
{
	if (m->state == RUN_MOVE_COPYING)
		return move_copied(m, now, a, handle, budget);
	if (m->state == RUN_MOVE_STOPPING)
		return move_stopped(m, now, a);
	return RUN_MOVE_WAIT;
}

enum run_move_step
run_move_heard(struct run_move *m)
{
	if (m->state != RUN_MOVE_UNSURE)
		return RUN_MOVE_WAIT;
	return move_end(m, RUN_MOVE_REASON_NO_ANSWER, RUN_MOVE_GIVE_UP);
}

enum run_move_step
run_move_broke(struct run_move *m)
{
	if (m->state == RUN_MOVE_UNSURE)
		return move_resume(m);
	if (m->state == RUN_MOVE_STOPPING) {
		m->broke = true;
		return RUN_MOVE_WAIT;
	}
	return move_end(m, RUN_MOVE_REASON_ENDED, RUN_MOVE_LOST);
}

enum run_move_step
run_move_refused(struct run_move *m, msec now, bool budget)
{
	if (m->state == RUN_MOVE_RESUMING && m->stopped && budget)
		return move_return(m, now);
	return move_end(m, RUN_MOVE_REASON_REFUSED, RUN_MOVE_LOST);
}

enum run_move_step
run_move_tick(struct run_move *m, msec now)
{
	if (m->due == MSEC_NEVER || now < m->due)
		return RUN_MOVE_WAIT;
	switch (m->state) {
	case RUN_MOVE_PLACING:
		return run_move_placed(m, now, false);
	case RUN_MOVE_COPYING:
	case RUN_MOVE_STOPPING:
		return run_move_answered(
		    m, now, RUN_MOVE_NO_ANSWER, false, false);
	case RUN_MOVE_UNSURE:
		return run_move_heard(m);
	default:
		return RUN_MOVE_WAIT;
	}
}

bool
run_move_is_stopping(const struct run_move *m)
{
	return m->state == RUN_MOVE_STOPPING || m->state == RUN_MOVE_UNSURE;
}

bool
run_move_is_resuming(const struct run_move *m)
{
	return m->state == RUN_MOVE_RESUMING || m->state == RUN_MOVE_RETURNING;
}
