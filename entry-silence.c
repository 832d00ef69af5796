/*
 * How long the server of an attempt may stay silent, and when it is given up
 * for another one.
 */

#define LOG_PART "silence"
#include "entry-attempt-private.h"

/* Percentage of the route's target after which a silent server is checked. */
#define JOB_SILENCE_CHECK_PERCENT 80
/* Interval between further checks, and least silence of a dead server. */
#define JOB_SILENCE_RECHECK_MS 250
/* Silence of the only server after which its connection is kept for longer. */
#define JOB_SILENCE_PATIENT_MS 1000
#define JOB_SERVER_DEAD_MS 1000
/* Most that running streams slow down the reading of a prompt, as a factor. */
#define JOB_READING_SLOWDOWN_MAX 4
/* A pause in a stream of more than this many times its target is a failure. */
#define JOB_GAP_TIMEOUT_FACTOR 4
#define JOB_GAP_TIMEOUT_MIN_MS 1200

/* How long the current server may be silent before it is checked, in ms. */
static msec
job_silence_check_ms(const struct job *j)
{
	msec wait = j->route->target * JOB_SILENCE_CHECK_PERCENT / 100;

	if (j->answer_began)
		return MAX(j->route->gap_target * JOB_GAP_TIMEOUT_FACTOR,
		    JOB_GAP_TIMEOUT_MIN_MS);
	return wait > 0 ? wait : MSEC_NEVER;
}

/*
 * How long a server may send this node nothing before it is taken as dead, in
 * ms. In a large fleet each node has few requests on each server, so a server
 * that is reading prompts of other nodes' requests is silent too. To allow for
 * them, the limit rises with the queue wait estimated when the request was
 * placed.
 */
static msec
job_server_dead_ms(const struct job *j)
{
	return MAX(
	    JOB_SERVER_DEAD_MS, j->place.queue.wait * JOB_READING_SLOWDOWN_MAX);
}

void
job_arm_silence_timer(struct job *j, msec now)
{
	msec wait = job_silence_check_ms(j);

	if (!j->repeatable)
		return;
	j->silence_due = wait != MSEC_NEVER ? now + wait : MSEC_NEVER;
	if (j->link != NULL)
		j->link->paused_ms = 0;
	loop_timer_set(&j->owner->loop, &j->silence_timer,
	    MIN(j->silence_due, now + JOB_SILENCE_PATIENT_MS));
}

/*
 * Is there another server? Without one, abandoning the current attempt would
 * turn an answer that may still arrive into a 502.
 */
static bool
job_has_other_server(struct job *j)
{
	struct server_wish w;

	job_fill_wish(j, &w);
	return servers_have_alternative(&j->owner->servers, &w);
}

/* Could the request go on at another server, if the current one is lost? */
static bool
job_may_go_on_elsewhere(struct job *j, msec now)
{
	if (j->no_retry || !job_could_retry(j, now, j->runs + 1))
		return false;
	return retry_budget_left(entry_budget(j->owner, j->service),
		   &j->owner->budget, now, j->owner->live_nodes) > 0 &&
	       job_has_other_server(j);
}

/* If nothing has taken it over, the silence may be a pause. */
static void
job_wait_for_only_server(struct job *j, msec now)
{
	if (j->carrier == NULL && (reach_is_cut(&j->owner->reach.core) ||
				      !job_may_go_on_elsewhere(j, now)))
		link_set_patient(j->link);
}

/*
 * Can another attempt end before this node stops? A stream that has begun
 * continues in any case.
 */
static bool
job_has_time_to_retry(struct job *j, msec now)
{
	j->no_retry =
	    !j->answer_began && !entry_stop_leaves_time(j->owner, j, now);
	return !j->no_retry;
}

/*
 * The path is cut: may another node handle the request? The node that handed it
 * off tries again itself. Kept connections may still work, unless nothing at
 * all is heard.
 */
static bool
job_may_leave_cut_path(struct job *j, msec now)
{
	msec silence = now - MAX(j->server->received, j->sent_at);

	if (!job_can_go_on_elsewhere(j))
		return false;
	if (silence < (reach_is_silent(&j->owner->reach.core, now)
			      ? REACH_SILENT_MS
			      : job_server_dead_ms(j)))
		return false;
	/* The node that handed it off has no path either, and fewer retries. */
	if (j->carried)
		return !reach_may_be_pause(&j->owner->reach.core, now);
	return !j->no_retry && j->runs + 1 < job_attempts_most(j) &&
	       entry_handoff_has_carrier(j, now);
}

/*
 * May the current server be given up as silent? Not while this node's own
 * network link is saturated: no server's bytes arrive then, and another server
 * would read the prompt again for an answer that comes no sooner. During a
 * burst with stopping nodes these were a third of the requests given up (60
 * nodes, 90 servers).
 */
static bool
job_may_abandon_server(struct job *j, msec now)
{
	if (reach_is_cut(&j->owner->reach.core))
		return job_may_leave_cut_path(j, now);
	if (j->no_retry || !job_could_retry(j, now, j->runs + 1))
		return false;
	if (!servers_in_reach(&j->owner->servers, now))
		return false;
	if (!j->answer_began &&
	    !server_lost_request(j->server, now, j->place.wish.rank, j->sent_at,
		job_server_dead_ms(j)))
		return false;
	return job_has_other_server(j);
}

/*
 * Is less time left until the deadline than streams of this route usually take
 * after their first event? Hardly any request that still waits in a server's
 * queue then is served in time, but the server reads the prompts of half of
 * them. Cancelling saves that work, and lets the caller retry earlier.
 */
static bool
job_is_hopeless(const struct job *j, msec now)
{
	struct entry_route_stats *k;

	if (j->answer_began || j->route->kind != ROUTE_STREAM ||
	    j->deadline == MSEC_NEVER)
		return false;
	k = entry_route_stats_find(j->owner, j->route->name);
	return k != NULL &&
	       duration_mean(&k->stream_time, 0) > j->deadline - now;
}

static void
job_cancel_hopeless(struct job *j, msec now)
{
	entry_log(&j->owner->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_HOPELESS,
	    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_SERVER, j->server->name),
	    LOG_NUMBER(LOG_KEY_MS, now - j->sent_at),
	    LOG_NUMBER(LOG_KEY_LEFT_MS, j->deadline - now));
	job_count_run(j);
	/* The server is busy, not faulty. */
	job_cancel(j, now, SERVER_NO_RESULT);
	job_fail(j, now, JOB_TIMEOUT);
}

static void
job_log_silence(struct job *j, msec now)
{
	entry_log(&j->owner->log, now, ENTRY_LOG_NEEDED,
	    LOG_EVENT_SERVER_SILENT, LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_SERVER, j->server->name),
	    LOG_NUMBER(LOG_KEY_MS, now - j->sent_at));
}

/* The silence counts without the time in which no bytes were read. */
static void
job_take_pauses(struct job *j)
{
	if (j->silence_due != MSEC_NEVER)
		j->silence_due += j->link->paused_ms;
	j->link->paused_ms = 0;
}

static void
job_recheck_silence_later(struct job *j, msec now)
{
	loop_timer_set(
	    &j->owner->loop, &j->silence_timer, now + JOB_SILENCE_RECHECK_MS);
}

/* ---- asking a carrier while the attempt goes on ---- */

/*
 * All servers may have paused, not the path: the other nodes then refuse, and
 * the server that has the request answers first.
 */
static void
job_ask_carrier(struct job *j, msec now)
{
	link_set_patient(j->link);
	/* A move that is still copying would resume the run beside a carrier.
	 */
	if (entry_move_memory(j) == NULL)
		entry_move_cancel(j, now);
	if (job_check_admission(j, now) == JOB_SERVED &&
	    job_take_budget(j, now, JOB_BROKEN) &&
	    entry_handoff_start(j, now)) {
		j->owner->handoff.counters.kept++;
		return;
	}
	job_give_back_retry(j, now);
	job_recheck_silence_later(j, now);
}

void
job_return_to_kept(struct job *j, msec now)
{
	struct link *k = j->link;

	if (k != NULL && k->sent)
		entry_handoff_count_runs(j);
	j->link = j->kept_link;
	j->sent_at = j->kept_sent_at;
	j->kept_link = NULL;
	if (k != NULL)
		link_cancel(k);
	entry_handoff_release(j);
}

void
job_stay_with_kept(struct job *j, msec now, msec pause)
{
	job_return_to_kept(j, now);
	job_give_back_retry(j, now);
	loop_timer_set(&j->owner->loop, &j->silence_timer, now + pause);
}

/* Nothing of it is forwarded any more. */
static void
job_end_kept(struct job *j, msec now, enum server_result how)
{
	entry_move_cancel(j, now);
	j->kept_link = NULL;
	job_count_run(j);
	job_release_server(j, now, how);
	if (!j->failure_stored)
		reply_discard(j);
}

void
job_give_up_kept(struct job *j, msec now, enum server_result how)
{
	job_abandon_link(j, now, j->kept_link);
	job_end_kept(j, now, how);
}

void
job_kept_refused(struct job *j, msec now, enum server_result how)
{
	entry_move_cancel(j, now);
	link_cancel(j->kept_link);
	j->kept_link = NULL;
	j->arrivals++;
	job_release_server(j, now, how);
}

void
job_kept_failed(struct job *j, msec now, const struct link *k)
{
	entry_poison_request_abandoned(j, k->server, now);
	entry_poison_run_end(j, now, true);
	job_end_kept(j, now, SERVER_NO_RESULT);
}

/* The server is silent: try another one if that is allowed. */
void
job_check_silence(struct loop_timer *t, msec now)
{
	struct job *j = t->arg;

	if (j->waits) {
		j->waits = false;
		job_attempt(j, now);
		return;
	}
	if (j->server == NULL || j->link == NULL || j->carrier != NULL)
		return;
	if (j->refused_by_server) {
		job_leave_refusal(j, now);
		return;
	}
	/* Its bytes are not read, or not yet: the silence is this node's. */
	if (j->link->paused != 0 ||
	    j->link->resumed_turn == j->owner->loop.turn) {
		job_recheck_silence_later(j, now);
		return;
	}
	job_take_pauses(j);
	/* Nothing was sent yet. */
	if (entry_move_is_stopping(j) || j->link->asking) {
		job_recheck_silence_later(j, now);
		return;
	}
	if (now < j->silence_due) {
		job_wait_for_only_server(j, now);
		loop_timer_set(
		    &j->owner->loop, &j->silence_timer, j->silence_due);
		return;
	}
	if (job_is_hopeless(j, now)) {
		job_cancel_hopeless(j, now);
		return;
	}
	if (!job_may_abandon_server(j, now) ||
	    retry_budget_left(entry_budget(j->owner, j->service),
		&j->owner->budget, now, j->owner->live_nodes) == 0 ||
	    !job_has_time_to_retry(j, now)) {
		job_wait_for_only_server(j, now);
		job_recheck_silence_later(j, now);
		return;
	}
	job_log_silence(j, now);
	if (reach_is_cut(&j->owner->reach.core) && !j->carried &&
	    j->link->sent) {
		job_ask_carrier(j, now);
		return;
	}
	job_count_run(j);
	job_note_silent(j, j->server);
	job_cancel(j, now, SERVER_FAILED);
	job_retry_or_fail(j, now, JOB_BROKEN);
}

bool
job_return_to_silent(struct job *j)
{
	unsigned int i;

	if (j->silent_server == 0)
		return false;
	for (i = 0; i < j->ntried; i++) {
		if (j->tried[i] == j->silent_server)
			j->tried[i] = j->tried[--j->ntried];
	}
	j->returned_to_silent = true;
	return true;
}

bool
job_wait_for_silent(struct job *j, msec now)
{
	const struct server *v =
	    servers_find(&j->owner->servers, j->silent_server);

	/* A request without an answer is refused early instead. */
	if (!j->answer_began || v == NULL || v->state != SERVER_READY ||
	    !job_return_to_silent(j))
		return false;
	j->waits = true;
	job_recheck_silence_later(j, now);
	return true;
}

void
job_note_silent(struct job *j, const struct server *v)
{
	if (j->repeatable)
		j->silent_server = v->id;
}
