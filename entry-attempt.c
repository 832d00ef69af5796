/*
 * Attempts of a request: chooses a backend server, sends the request to it,
 * interprets its answer or failure, and decides whether to try another server.
 * What is sent is written in entry-request.c; how long the server may stay
 * silent is decided in entry-silence.c.
 */

#define LOG_PART "attempt"
#include "entry-attempt-private.h"

#include <string.h>

/* Attempts beyond the route's, for servers that answer "not executed". */
#define JOB_EXTRA_ATTEMPTS 1
/* The body of a refusal comes at once, or is not waited for. */
#define JOB_REFUSAL_BODY_MS 100
/* Servers are a few milliseconds away; a later connection is not expected. */
#define JOB_CONNECT_TIMEOUT_MS 600
/* A request without a path to the servers waits for so long. */
#define JOB_PATH_WAIT_MS 60
/*
 * Waits of one that other nodes carry once they have the configuration: longer
 * than the pause after which nodes ask each other for a newer one.
 */
#define JOB_PATH_WAITS_MOST 12

static bool attempt_may_send(struct link *, msec);
static bool attempt_head(struct link *, const struct http_head *, msec);
static void attempt_body(struct link *, const char *, size_t, msec);
static bool attempt_complete(struct link *, msec);
static void attempt_failed(struct link *, enum link_end, msec);
static bool attempt_may_leave(struct link *, msec);

static const struct link_ops job_link_ops = { attempt_may_send, attempt_head,
	attempt_body, attempt_complete, attempt_failed, JOB_CONNECT_TIMEOUT_MS,
	entry_version_told, attempt_may_leave };

/* Start an attempt on a server; false when no connection is possible. */
static bool
job_send(struct job *j, msec now, struct server *v)
{
	struct entry *e = j->owner;
	struct buffer request = { 0 };
	struct link_terms terms = { .is_head = job_is_head_request(j),
		.once = !j->repeatable,
		.ask = entry_version_needs_process(j) };
	msec silent_for = server_sign_awaited(&v->sign, now);

	terms.await_sign = silent_for >= SERVER_SIGN_WAIT_MS;
	if (j->ntried < SERVER_AVOID_MAX)
		j->tried[j->ntried++] = v->id;
	job_write_request(j, now, v, &request);
	event_order_join(&j->order);
	j->link = link_send(e, v, j, &job_link_ops, &request, &terms, now);
	buffer_finish(&request);
	if (j->link == NULL)
		return false;
	if (j->silent_server == v->id)
		j->silent_server = 0;
	j->server = v;
	g_strlcpy(j->server_name, v->name, sizeof j->server_name);
	g_strlcpy(j->software, v->software, sizeof j->software);
	j->sends++;
	j->retry_taken = j->retry_taken && !j->link->sent;
	v->rate.sent++;
	j->sent_at = now;
	j->list_age = entry_list_age(e, now);
	j->unlisted_for = v->missing ? now - v->missing_since : -1;
	j->silent_for = silent_for;
	j->attempt_began = 0;
	j->parts_cleared = false;
	e->counters.attempts++;
	entry_reach_sent(e, now);
	job_arm_silence_timer(j, now);
	return true;
}

enum job_code
job_check_admission(struct job *j, msec now)
{
	/* A later configuration does not take back an answer that has begun. */
	enum job_code code = j->answer_began ? JOB_SERVED : job_admit(j, now);

	if (code == JOB_SERVED && j->deadline - now < JOB_ATTEMPT_MIN_MS)
		code = JOB_TIMEOUT;
	else if (code == JOB_SERVED && entry_poison_refuses(j, now))
		code = JOB_POISON;
	/* A retry must end in time too; a stream that has begun continues. */
	else if (code == JOB_SERVED && !j->answer_began &&
		 !entry_stop_leaves_time(j->owner, j, now))
		code = JOB_LEAVING;
	return code;
}

bool
job_recheck_admission(struct job *j, msec now)
{
	enum job_code code = job_check_admission(j, now);

	if (code != JOB_SERVED)
		job_fail(j, now, code);
	return code == JOB_SERVED;
}

/* Count the request for the retry budget, at one node only. */
static void
job_count_request(struct job *j, msec now)
{
	struct entry *e = j->owner;

	if (!j->counted)
		retry_budget_request(
		    entry_budget(e, j->service), &e->budget, now);
	j->counted = true;
}

/*
 * No other node carries the request. Probes show within this time if the path
 * has come back; a request that is refused later than that is held in vain,
 * unless other nodes have no path either and the servers may have paused: then
 * no node can serve it any sooner.
 */
static void
job_wait_for_path(struct job *j, msec now)
{
	bool behind = entry_handoff_others_are_behind(j->owner, now);
	unsigned int most = behind ? JOB_PATH_WAITS_MOST : 1;
	bool pause = reach_may_be_pause(&j->owner->reach.core, now) &&
		     entry_handoff_others_lack_path(j->owner, now);

	/* A stream that has begun can go on through this node only. */
	if (j->carried ||
	    (j->path_waits >= most && !pause && !j->answer_began)) {
		job_fail(j, now, JOB_NO_PATH);
		return;
	}
	/* Carriers without a path are asked anew after a while. */
	if (pause || j->answer_began) {
		j->handoffs = 0;
		j->owner->handoff.counters.path_waits++;
	}
	j->waits = true;
	j->path_waits++;
	entry_reach_hurry(j->owner, now);
	loop_timer_set(
	    &j->owner->loop, &j->silence_timer, now + JOB_PATH_WAIT_MS);
}

void
job_attempt(struct job *j, msec now)
{
	struct entry *e = j->owner;

	if ((j->ntried > 0 || j->handoffs > 0 || j->path_waits > 0) &&
	    !job_recheck_admission(j, now))
		return;
	if (entry_handoff_wanted(j) && entry_handoff_start(j, now))
		return;
	if (reach_is_cut(&e->reach.core)) {
		job_wait_for_path(j, now);
		return;
	}
	job_count_request(j, now);
	if (!entry_poison_admit(j, now))
		return;
	if (!route_has_service(j->route, j->service))
		j->service = route_service_draw(j->route, g_rand_int(e->rand));
	job_fill_wish(j, &j->place.wish);
	place_submit(&e->place, now, &j->place);
}

/* Reject the request at once; nothing was sent. */
static void
job_reject_overloaded(struct job *j, msec now)
{
	struct entry *e = j->owner;

	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_TURNED_AWAY,
	    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_NUMBER(LOG_KEY_AHEAD_MS, j->place.queue.ahead),
	    LOG_NUMBER(LOG_KEY_LIMIT_MS, j->place.queue.limit),
	    LOG_NUMBER(LOG_KEY_TARGET_MS, j->route->target),
	    LOG_TEXT(LOG_KEY_ORGANISATION,
		j->organisation != NULL ? j->organisation->name : NULL),
	    LOG_NUMBER(LOG_KEY_BY_SHARE, j->place.queue.by_share));
	place_end(&e->place, now, &j->place, SERVER_NO_RESULT);
	job_fail(j, now, JOB_OVERLOADED);
}

/* The reason when placement finds no server. */
static enum job_code
job_no_server_code(const struct job *j)
{
	if (!j->may_have_run && servers_rest_wait(&j->owner->servers,
				    j->service, j->owner->loop.now) > 0)
		return JOB_RESTING;
	if (j->sends > 0)
		return j->last;
	if (servers_have_brittle(
		&j->owner->servers, j->service, j->owner->loop.now))
		return JOB_NO_ROOM;
	return servers_rate_wait(&j->owner->servers, j->service) > 0
		   ? JOB_LIMITED
		   : JOB_NO_SERVER;
}

/* Waits in steps for a server that may be usable soon. */
static bool
job_wait_for_server(struct job *j, msec now)
{
	msec wait = servers_retry_ms(&j->owner->servers, j->service, now,
	    now - j->arrived, j->route->target);

	if (wait == 0)
		return false;
	place_end(&j->owner->place, now, &j->place, SERVER_NO_RESULT);
	j->waits = true;
	loop_timer_set(&j->owner->loop, &j->silence_timer, now + wait);
	return true;
}

/*
 * No server is left, and some could not be reached from here: another node may
 * reach them.
 */
static bool
job_ask_other_node(struct job *j, msec now)
{
	return j->unreachable > 0 && entry_handoff_possible(j) &&
	       entry_handoff_start(j, now);
}

void
job_placed(struct place *p, struct place_request *r, struct server *v, msec now)
{
	struct job *j = r->arg;

	if (entry_move_placed(r, v, now) || !job_recheck_admission(j, now))
		return;
	if (reach_is_cut(&j->owner->reach.core)) {
		/* The path was cut while the request waited. */
		place_end(p, now, r, SERVER_NO_RESULT);
		job_attempt(j, now);
		return;
	}
	if (v == NULL) {
		if (job_wait_for_server(j, now))
			return;
		if (job_wait_for_silent(j, now)) {
			place_end(p, now, r, SERVER_NO_RESULT);
			return;
		}
		if (!job_ask_other_node(j, now))
			job_fail(j, now, job_no_server_code(j));
		return;
	}
	if (!route_has_service(j->route, j->service)) {
		/* The route's services changed while the request waited. */
		place_end(p, now, r, SERVER_NO_RESULT);
		job_attempt(j, now);
		return;
	}
	if (j->sends == 0 && place_queue_exceeds_limit(&r->queue)) {
		job_reject_overloaded(j, now);
		return;
	}
	if (job_send(j, now, v))
		return;
	entry_reach_failed(j->owner, v, REACH_FAILED_REFUSED, now);
	entry_poison_run_end(j, now, false);
	place_end(p, now, r, SERVER_DOWN);
	j->last = JOB_UNREACHABLE;
	j->unreachable++;
	if (j->ntried == SERVER_AVOID_MAX)
		job_fail(j, now, j->last);
	else
		job_attempt(j, now);
}

unsigned int
job_attempts_most(const struct job *j)
{
	if (j->attempts_most > 0)
		return MIN(j->attempts_most, j->route->attempts);
	return j->route->attempts;
}

bool
job_can_go_on_elsewhere(const struct job *j)
{
	if (!j->answer_began)
		return true;
	return j->streamed && j->order.count > 0 && entry_version_is_clear(j);
}

bool
job_could_retry(const struct job *j, msec now, unsigned int runs)
{
	if (!job_can_go_on_elsewhere(j))
		return false;
	if (j->ntried == SERVER_AVOID_MAX)
		return false;
	if (runs >= job_attempts_most(j) ||
	    j->sends >= job_attempts_most(j) + JOB_EXTRA_ATTEMPTS +
			    j->returned_to_silent)
		return false;
	return j->deadline - now >= JOB_ATTEMPT_MIN_MS;
}

/* Is another attempt possible, apart from the retry budget? */
static bool
job_can_retry(const struct job *j, msec now)
{
	if (j->may_have_run && !j->repeatable)
		return false;
	return job_could_retry(j, now, j->runs);
}

/*
 * Is another attempt allowed? It counts against the retry budget if an earlier
 * one may have reached a server.
 */
static bool
job_take_retry(struct job *j, msec now, enum job_code why)
{
	if (!job_can_retry(j, now))
		return false;
	return j->arrivals == 0 || job_take_budget(j, now, why);
}

bool
job_take_budget(struct job *j, msec now, enum job_code why)
{
	struct entry *e = j->owner;

	if (retry_budget_take(
		entry_budget(e, j->service), &e->budget, now, e->live_nodes)) {
		e->counters.retries++;
		j->retry_taken = true;
		return true;
	}
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_NO_RETRY_BUDGET,
	    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_LAST, job_code_name(why)));
	return false;
}

void
job_retry_or_fail(struct job *j, msec now, enum job_code why)
{
	struct server *v =
	    servers_find(&j->owner->servers, name_hash(j->server_name));
	char fingerprint[POISON_ID_SIZE], parts[JOB_PARTS_SIZE];

	j->last = why;
	if (why == JOB_FULL)
		job_return_to_silent(j);
	entry_log(&j->owner->log, now, ENTRY_LOG_NEEDED,
	    LOG_EVENT_ATTEMPT_FAILED, LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_SERVER, j->server_name),
	    LOG_TEXT(LOG_KEY_REASON, job_code_name(why)),
	    LOG_TEXT(LOG_KEY_SAME, job_fingerprint_text(j, fingerprint)),
	    LOG_TEXT(LOG_KEY_PARTS, job_parts_text(j, parts)),
	    LOG_NUMBER(LOG_KEY_RUNNING, v != NULL ? v->own.running : 0),
	    LOG_NUMBER(LOG_KEY_SENDS, j->sends),
	    LOG_NUMBER(LOG_KEY_LIST_MS, j->list_age),
	    LOG_NUMBER(LOG_KEY_UNLISTED_MS, j->unlisted_for),
	    LOG_NUMBER(LOG_KEY_SILENT_MS, j->silent_for),
	    LOG_NUMBER(LOG_KEY_HELD, j->held_bytes),
	    LOG_NUMBER(LOG_KEY_MS, now - j->sent_at));
	if (entry_poison_refuses(j, now)) {
		job_fail(j, now, JOB_POISON);
		return;
	}
	if (!job_take_retry(j, now, why)) {
		job_fail(j, now, why);
		return;
	}
	if (!j->failure_stored)
		reply_discard(j);
	job_attempt(j, now);
}

void
job_count_run(struct job *j)
{
	j->may_have_run = true;
	j->runs++;
	j->arrivals++;
}

/* Close what is left of an attempt whose run has stopped. */
static void
job_close_stopped_run(struct job *j)
{
	if (j->link != NULL)
		link_cancel(j->link);
	j->link = NULL;
	if (!j->move_counted)
		job_count_run(j);
	j->move_counted = true;
	loop_timer_stop(&j->owner->loop, &j->silence_timer);
	reply_discard(j);
}

void
job_resume_run(struct job *j, msec now, struct server *v)
{
	job_close_stopped_run(j);
	if (!job_recheck_admission(j, now))
		return;
	if (v != NULL && job_send(j, now, v))
		return;
	job_release_server(j, now, SERVER_NO_RESULT);
	if (!entry_move_refused(j, now))
		job_run_lost(j, now);
}

void
job_run_lost(struct job *j, msec now)
{
	job_close_stopped_run(j);
	job_release_server(j, now, SERVER_NO_RESULT);
	job_retry_or_fail(j, now, JOB_BROKEN);
}

/* ---- callbacks of the link ---- */

/*
 * Check again whether the request may be sent: the process may have been paused
 * while connecting.
 */
static bool
attempt_may_send(struct link *k, msec now)
{
	servers_reached(&k->owner->servers, now);
	if (!job_recheck_admission(k->job, now))
		return false;
	/* The request follows, not the question before it. */
	if (!k->asking)
		k->job->retry_taken = false;
	return true;
}

/*
 * Status 421 means that the address now belongs to another server, while the
 * list entry of the crashed one has not expired. As these answers are immediate
 * and the server seems idle, it would get half of all requests, so it is
 * treated as one that accepts no connections.
 */
static enum server_result
job_refusal_result(const struct http_head *h)
{
	return h->status == 421 ? SERVER_DOWN : SERVER_FULL;
}

/* Its server goes on before a carrier that was asked has begun. */
static void
attempt_heard(struct link *k, msec now)
{
	struct job *j = k->job;

	if (k != j->kept_link)
		return;
	j->owner->handoff.counters.kept_answered++;
	job_return_to_kept(j, now);
	job_give_back_retry(j, now);
	job_arm_silence_timer(j, now);
}

/* The answer's class; one that does not resume the stream is of no use. */
static enum reply_class
attempt_classify(const struct job *j, const struct http_head *h)
{
	enum reply_class class = reply_classify(j, h);

	if ((class == REPLY_FORWARD || class == REPLY_SERVER_ERROR) &&
	    j->answer_began && h->status >= 300)
		return REPLY_INVALID;
	return class;
}

/* The server of a kept attempt does not serve it; the carrier goes on. */
static bool
attempt_kept_useless(
    struct link *k, const struct http_head *h, enum reply_class class, msec now)
{
	struct job *j = k->job;

	if (k != j->kept_link)
		return false;
	if (class == REPLY_REJECTED)
		job_kept_refused(j, now, job_refusal_result(h));
	else if (class == REPLY_INVALID)
		job_give_up_kept(j, now, SERVER_FAILED);
	return class == REPLY_REJECTED || class == REPLY_INVALID;
}

static bool
attempt_head(struct link *k, const struct http_head *h, msec now)
{
	struct job *j = k->job;
	enum reply_class class = attempt_classify(j, h);

	servers_reached(&j->owner->servers, now);
	entry_reach_heard(j->owner, k->server, !k->used, now);
	if (k->starts == k->server->starts)
		entry_answer_read(j, k->server, h, now);
	entry_room_read(k, h, now);
	entry_rest_read(k, h, now);
	if (attempt_kept_useless(k, h, class, now))
		return true;
	if (class != REPLY_OTHER_REQUEST)
		attempt_heard(k, now);
	switch (class) {
	case REPLY_OTHER_REQUEST:
		entry_log(&j->owner->log, now, ENTRY_LOG_NEEDED,
		    LOG_EVENT_STRAY_ANSWER,
		    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
		    LOG_TEXT(LOG_KEY_SERVER, k->server->name));
		return false;
	case REPLY_REJECTED:
		j->refused_by_server = true;
		j->refusal_result = entry_move_memory(j) != NULL
					? SERVER_NO_RESULT
					: job_refusal_result(h);
		loop_timer_set(&j->owner->loop, &j->silence_timer,
		    now + JOB_REFUSAL_BODY_MS);
		return true;
	case REPLY_INVALID:
		job_count_run(j);
		job_cancel(j, now, SERVER_FAILED);
		job_retry_or_fail(j, now, JOB_BROKEN);
		return true;
	case REPLY_FORWARD:
	case REPLY_SERVER_ERROR:
		break;
	}
	if (!j->answer_began)
		reply_store_head(j, h);
	if (!j->streamed)
		job_arm_silence_timer(j, now);
	return true;
}

/*
 * Report a late server to placement at once: the first long pause shows that
 * the server has accepted too many requests, seconds before the stream ends.
 */
static void
job_report_late(struct job *j, msec now, bool first)
{
	bool late = j->gap > j->route->gap_target && j->route->gap_target > 0;

	if (first && j->route->target > 0)
		late = late || now - j->sent_at > j->route->target;
	if (late)
		place_mark_late(&j->owner->place, now, &j->place);
}

/* Count the request's usage once, even if several attempts run. */
static void
job_began_to_run(struct job *j, msec now)
{
	if (j->began_to_run)
		return;
	j->began_to_run = true;
	if (j->organisation != NULL)
		entry_duty_count_request(j->owner, j->organisation->name, now);
}

static void
attempt_body(struct link *k, const char *bytes, size_t n, msec now)
{
	struct job *j = k->job;
	bool first = !j->answer_began;

	attempt_heard(k, now);
	if (j->refused_by_server)
		return;
	entry_poison_body_received(j, now);
	entry_move_heard(j, now);
	job_began_to_run(j, now);
	entry_reach_heard(j->owner, k->server, false, now);
	/* An error does not show that the server has read the prompt. */
	if (j->status < 300)
		place_prompt_read(&j->owner->place, now, &j->place);
	server_response_received(
	    j->server, now, j->place.wish.rank, j->sent_at);
	if (reply_body(j, bytes, n, now)) {
		job_report_late(j, now, first);
		job_arm_silence_timer(j, now);
		entry_move_consider(j, now);
		return;
	}
	job_count_run(j);
	job_cancel(j, now, SERVER_FAILED);
	job_retry_or_fail(j, now, JOB_BROKEN);
}

/* The server broke off what may have run: resume it, or fail the request. */
static void
attempt_broke_off(struct link *k, msec now)
{
	struct job *j = k->job;

	job_count_run(j);
	if (!entry_poison_connection_broke(
		j, k->server, job_can_retry(j, now), now))
		job_retry_or_fail(j, now, JOB_BROKEN);
}

/* The server has refused the request, which has not run. */
static void
job_refused(struct job *j, msec now)
{
	j->refused_by_server = false;
	j->arrivals++;
	job_release_server(j, now, j->refusal_result);
	if (!entry_move_refused(j, now))
		job_retry_or_fail(j, now, JOB_FULL);
}

void
job_leave_refusal(struct job *j, msec now)
{
	link_cancel(j->link);
	j->link = NULL;
	job_refused(j, now);
}

static bool
attempt_complete(struct link *k, msec now)
{
	struct job *j = k->job;

	attempt_heard(k, now);
	j->link = NULL;
	if (j->refused_by_server) {
		job_refused(j, now);
		return true;
	}
	if (reply_end(j, k->reader.head) == REPLY_END_BROKEN &&
	    entry_move_broke(j, now))
		return false;
	reply_log_end(j, k->reader.head, now);
	if (reply_end(j, k->reader.head) == REPLY_END_BROKEN) {
		entry_poison_run_end(j, now, true);
		job_release_server(j, now, SERVER_FAILED);
		attempt_broke_off(k, now);
		return false;
	}
	job_count_run(j);
	entry_move_heard(j, now);
	job_began_to_run(j, now);
	entry_poison_answered(j, k->server, k->reader.head, now);
	/* What has begun to be forwarded is not stored: it ends whole. */
	if (j->server_error && j->repeatable && !j->answer_began) {
		j->failure_stored = true;
		job_release_server(j, now, SERVER_ANSWERED);
		job_retry_or_fail(j, now, JOB_SERVER_ERROR);
		return true;
	}
	reply_finish(j, now);
	job_release_server(j, now, SERVER_ANSWERED);
	job_free(j, now, j->server_error ? JOB_SERVER_ERROR : JOB_SERVED);
	return true;
}

/*
 * While this node's own network link is saturated, no connection is established
 * in time. The servers must not be marked as down then: within ten seconds one
 * node of sixty had marked most of ninety servers.
 */
static enum server_result
attempt_connect_timed_out(struct link *k, msec now)
{
	struct servers *s = &k->owner->servers;

	servers_connect_timed_out(s, now, k->server);
	return servers_in_reach(s, now) ? SERVER_DOWN : SERVER_NO_RESULT;
}

/* What the end of an attempt shows about the server. */
static enum server_result
attempt_server_result(struct link *k, enum link_end how, msec now)
{
	/* Its cause is the path. */
	if (reach_is_cut(&k->owner->reach.core))
		return SERVER_NO_RESULT;
	switch (how) {
	case LINK_SERVER_LEAVING:
		return SERVER_NO_RESULT;
	case LINK_CONNECT_TIMED_OUT:
		return attempt_connect_timed_out(k, now);
	case LINK_UNSENT:
	case LINK_SILENT:
		return SERVER_DOWN;
	case LINK_HELD:
		return SERVER_NO_RESULT;
	case LINK_BROKEN:
		break;
	}
	return SERVER_FAILED;
}

/*
 * Fail the request at once while this node's own network link is saturated.
 * Otherwise it waits for one connection after the other: eight servers were
 * tried for 600 ms each, and the caller learned after 4.8 s that nothing had
 * run. With an early answer it has time to use another node. A stream that has
 * begun can only continue through this node, so it is retried.
 */
static bool
job_network_is_saturated(struct job *j, msec now)
{
	return !j->answer_began && !servers_in_reach(&j->owner->servers, now);
}

/* What the end of an attempt shows about the path to all servers. */
static void
attempt_report_path(struct link *k, enum link_end how, msec now)
{
	static const enum reach_failure_kind kinds[] = {
		[LINK_UNSENT] = REACH_FAILED_REFUSED,
		[LINK_CONNECT_TIMED_OUT] = REACH_FAILED_TIMEOUT,
		[LINK_SILENT] = REACH_FAILED_TIMEOUT,
		[LINK_BROKEN] = REACH_FAILED_BROKEN,
		[LINK_HELD] = REACH_FAILED_TIMEOUT,
	};

	if (how != LINK_SERVER_LEAVING)
		entry_reach_failed(k->owner, k->server, kinds[how], now);
}

/* Only for a server that may answer sooner: all may have paused together. */
static bool
attempt_may_leave(struct link *k, msec now)
{
	struct server_wish w;

	job_fill_wish(k->job, &w);
	return servers_have_lively(&k->owner->servers, &w, now);
}

static void
attempt_failed(struct link *k, enum link_end how, msec now)
{
	struct job *j = k->job;

	if (k == j->kept_link) {
		attempt_report_path(k, how, now);
		job_kept_failed(j, now, k);
		return;
	}
	j->link = NULL;
	/* The head of the refusal has come; the rest says nothing. */
	if (j->refused_by_server) {
		job_refused(j, now);
		return;
	}
	if (how == LINK_BROKEN && entry_move_broke(j, now))
		return;
	entry_poison_run_end(j, now, how == LINK_BROKEN || how == LINK_HELD);
	attempt_report_path(k, how, now);
	job_release_server(j, now, attempt_server_result(k, how, now));
	if (k->connect_refused)
		entry_poison_connection_refused(k->owner, k->server, now);
	if (k->timed_out ||
	    (how == LINK_CONNECT_TIMED_OUT && j->returned_to_silent))
		job_note_silent(j, k->server);
	if (how == LINK_BROKEN) {
		j->held_bytes = link_unacknowledged(k);
		attempt_broke_off(k, now);
		return;
	}
	if (how == LINK_HELD) {
		j->held_bytes = link_unacknowledged(k);
		job_count_run(j);
		job_retry_or_fail(j, now, JOB_BROKEN);
		return;
	}
	/* No byte was sent, so the attempt does not count. */
	j->sends--;
	job_give_back_retry(j, now);
	j->unreachable += how != LINK_SERVER_LEAVING && how != LINK_SILENT;
	if (entry_move_refused(j, now))
		return;
	if (how == LINK_CONNECT_TIMED_OUT && job_network_is_saturated(j, now) &&
	    !entry_handoff_wanted(j)) {
		j->last = JOB_UNREACHABLE;
		if (!job_ask_other_node(j, now))
			job_fail(j, now, JOB_UNREACHABLE);
		return;
	}
	job_retry_or_fail(j, now, JOB_UNREACHABLE);
}

void
job_leave_server(struct job *j, msec now)
{
	/* Its cause is the path: the server may be tried again. */
	if (j->ntried > 0 && j->tried[j->ntried - 1] == j->server->id)
		j->ntried--;
	j->sends--;
	j->unreachable++;
	job_give_back_retry(j, now);
	job_cancel(j, now, SERVER_NO_RESULT);
	job_retry_or_fail(j, now, JOB_UNREACHABLE);
}

void
job_give_back_retry(struct job *j, msec now)
{
	struct entry *e = j->owner;

	if (j->retry_taken)
		retry_budget_give_back(
		    entry_budget(e, j->service), &e->budget, now);
	j->retry_taken = false;
}

void
job_handoff_failed(struct job *j, msec now, enum job_code why)
{
	j->last = why;
	/* Neither servers nor other nodes are reached: the link is saturated.
	 */
	if (why == JOB_UNREACHABLE && job_network_is_saturated(j, now) &&
	    !reach_is_cut(&j->owner->reach.core)) {
		job_fail(j, now, why);
		return;
	}
	if (!job_take_retry(j, now, why)) {
		job_fail(j, now, why);
		return;
	}
	if (!j->failure_stored)
		reply_discard(j);
	job_attempt(j, now);
}

void
job_server_checked(struct job *j, msec now)
{
	job_retry_or_fail(j, now, JOB_BROKEN);
}
