/*
 * Attempts of a request: writes the request for a backend server, bounds how
 * long the server may stay silent, interprets its answer or failure, and
 * decides whether to try another server.
 */

#define LOG_PART "attempt"
#include "entry.h"

#include <string.h>

/* Sends beyond the route's attempts, for servers that answer "not executed". */
#define JOB_EXTRA_SENDS 1
/* Percentage of the route's target after which a silent server is checked. */
#define JOB_PATIENCE_PERCENT 80
/* Interval between further checks, and least silence of a server taken as dead.
 */
#define JOB_LOOK_AGAIN_MS 250
#define JOB_SILENCE_MS 1000
/* Most that running streams slow down the reading of a prompt, as a factor. */
#define JOB_READING_TIMES 4
/* Longest prompt of a service that does not configure its servers' memory. */
#define JOB_TOKENS_MAX 1000000
/* A pause in a stream of more than this many times its target is a failure. */
#define JOB_GAP_TIMES 4
#define JOB_GAP_LEAST_MS 1200

static bool link_sending(struct link *, msec);
static bool link_head(struct link *, const struct http_head *, msec);
static void link_body(struct link *, const char *, size_t, msec);
static void link_whole(struct link *, msec);
static void link_ended(struct link *, enum link_end, msec);
static void job_next(struct job *, msec, enum job_code);

static const struct link_ops job_link_ops = { link_sending, link_head,
	link_body, link_whole, link_ended };

/*
 * Bound for the prompt length that a caller states. A request that states 4
 * billion tokens would count as ahead of all others of its tier, which would be
 * rejected while it waits. No server reads more than fits in its memory.
 */
static uint64_t
job_tokens_max(const struct job *j)
{
	const struct route_service *v =
	    route_service_find(j->table, j->service);

	if (v != NULL && v->memory_tokens > 0)
		return MIN(v->memory_tokens, JOB_TOKENS_MAX);
	return JOB_TOKENS_MAX;
}

static void
job_fill_wish(const struct job *j, struct server_wish *w)
{
	const struct wire_request *r = &j->request;
	uint64_t most = job_tokens_max(j), shared = 0;
	unsigned int i;

	*w = (struct server_wish){ .service = j->service,
		.route = name_hash(j->route->name),
		.gap_target = j->route->gap_target,
		.target = j->route->target,
		.rank = route_rank(j->table, j->route, j->organisation),
		.navoid = j->ntried };
	memcpy(w->avoid, j->tried, sizeof w->avoid);
	if (!j->route->has_prompt_parts)
		return;
	/* The last part of the prompt is not shared with other requests. */
	for (i = 0; i + 1 < r->nparts; i++) {
		w->prompt = w->prompt * 0x9e3779b97f4a7c15ULL + r->parts[i].id;
		shared += r->parts[i].tokens;
	}
	w->shared = (unsigned int)MIN(shared, most);
	if (r->prompt_tokens > shared)
		w->own = (unsigned int)MIN(
		    r->prompt_tokens - shared, most - w->shared);
}

/* Write the request as it is sent to a server. */
static void
job_write(struct job *j, msec now, const struct server *v, struct buffer *out)
{
	const struct http_head *h = j->head;
	struct wire_terms terms = { .deadline = j->deadline - now,
		.server = v->name,
		.ranked = j->route->has_prompt_parts,
		.priority = route_rank(j->table, j->route, j->organisation) };
	enum wire_field use;
	unsigned int i;

	if (j->deadline == MSEC_NEVER)
		terms.deadline = 0;
	if (j->organisation != NULL)
		terms.organisation = j->organisation->name;
	if (j->events > 0) {
		terms.resumed = true;
		terms.after = j->last_event;
	}
	buffer_printf(out, "%s %s HTTP/1.1\r\n", h->method, h->target);
	for (i = 0; i < h->nfields; i++) {
		use = j->owner->wire->field(h->fields[i].name);
		if (use == WIRE_FIELD_KEEP ||
		    (use == WIRE_FIELD_KEY && j->table->keyed) ||
		    (use == WIRE_FIELD_RESUME && terms.resumed) ||
		    http_field_is_hop(h, h->fields[i].name))
			continue;
		buffer_add_text(out, h->fields[i].name);
		buffer_add(out, ": ", 2);
		buffer_add_text(out, h->fields[i].value);
		buffer_add(out, "\r\n", 2);
	}
	j->owner->wire->terms(out, &terms);
	if (h->has_body || h->sized)
		buffer_printf(out, "Content-Length: %zu\r\n",
		    buffer_left(&j->caller->body));
	buffer_add(out, "\r\n", 2);
	if (buffer_left(&j->caller->body) > 0)
		buffer_add(out, buffer_bytes(&j->caller->body),
		    buffer_left(&j->caller->body));
}

/* How long the current server may be silent before it is checked, in ms. */
static msec
job_patience_ms(const struct job *j)
{
	msec wait = j->route->target * JOB_PATIENCE_PERCENT / 100;

	if (j->began)
		return MAX(
		    j->route->gap_target * JOB_GAP_TIMES, JOB_GAP_LEAST_MS);
	return wait > 0 ? wait : MSEC_NEVER;
}

/*
 * How long a server may send this node nothing before it is taken as dead, in
 * ms. In a large fleet each node has few requests on each server, so a server
 * that is reading prompts of other nodes' requests is silent too. The queue
 * known when the request was placed allows for them.
 */
static msec
job_silence_ms(const struct job *j)
{
	return MAX(JOB_SILENCE_MS, j->place.queue.wait * JOB_READING_TIMES);
}

static void
job_arm_patience(struct job *j, msec now)
{
	msec wait = job_patience_ms(j);

	if (!j->repeatable || wait == MSEC_NEVER)
		return;
	loop_timer_set(&j->owner->loop, &j->patience, now + wait);
}

/* Start an attempt on a server; false when no connection is possible. */
static bool
job_send(struct job *j, msec now, struct server *v)
{
	struct entry *e = j->owner;
	struct buffer request = { 0 };
	bool to_head = strcmp(j->head->method, "HEAD") == 0;

	if (j->ntried < SERVER_AVOID_MAX)
		j->tried[j->ntried++] = v->id;
	job_write(j, now, v, &request);
	j->link = link_send(
	    e, v, j, &job_link_ops, &request, to_head, !j->repeatable, now);
	buffer_finish(&request);
	if (j->link == NULL)
		return false;
	j->server = v;
	g_strlcpy(j->server_name, v->name, sizeof j->server_name);
	j->sends++;
	v->rate.sent++;
	j->sent_at = now;
	e->counters.attempts++;
	job_arm_patience(j, now);
	return true;
}

/*
 * Check the request against the configuration in force at this attempt: a key
 * or route may have been removed while the request waited, or while the process
 * was paused. False when the request has ended.
 */
static bool
job_admit_again(struct job *j, msec now)
{
	enum job_code code = job_admit(j, now);

	if (code == JOB_SERVED && j->deadline - now < JOB_LEAST_MS)
		code = JOB_TIMEOUT;
	else if (code == JOB_SERVED && entry_poison_refuses(j, now))
		code = JOB_POISON;
	/* A retry must end in time too; a stream that has begun continues. */
	else if (code == JOB_SERVED && !j->began &&
		 !entry_stop_leaves_time(j->owner, j, now))
		code = JOB_LEAVING;
	if (code != JOB_SERVED)
		job_fail(j, now, code);
	return code == JOB_SERVED;
}

void
job_attempt(struct job *j, msec now)
{
	struct entry *e = j->owner;

	if (j->ntried > 0 && !job_admit_again(j, now))
		return;
	if (!entry_poison_admit(j, now))
		return;
	if (!route_has_service(j->route, j->service))
		j->service = route_service_draw(j->route, g_rand_int(e->rand));
	job_fill_wish(j, &j->place.wish);
	place_submit(&e->place, now, &j->place);
}

/* Reject the request at once; nothing was sent. */
static void
job_turn_away(struct job *j, msec now)
{
	struct entry *e = j->owner;

	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_TURNED_AWAY,
	    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_NUMBER(LOG_KEY_AHEAD_MS, j->place.queue.ahead),
	    LOG_NUMBER(LOG_KEY_LIMIT_MS, j->place.queue.limit),
	    LOG_NUMBER(LOG_KEY_TARGET_MS, j->route->target));
	place_end(&e->place, now, &j->place, SERVER_NO_RESULT);
	job_fail(j, now, JOB_OVERLOADED);
}

/* The reason when placement finds no server. */
static enum job_code
job_without_server(const struct job *j)
{
	if (j->sends > 0)
		return j->last;
	return servers_rate_wait(&j->owner->servers, j->service) > 0
		   ? JOB_LIMITED
		   : JOB_NO_SERVER;
}

void
job_placed(struct place *p, struct place_request *r, struct server *v, msec now)
{
	struct job *j = r->arg;

	if (!job_admit_again(j, now))
		return;
	if (v == NULL) {
		job_fail(j, now, job_without_server(j));
		return;
	}
	if (!route_has_service(j->route, j->service)) {
		/* The route's services changed while the request waited. */
		place_end(p, now, r, SERVER_NO_RESULT);
		job_attempt(j, now);
		return;
	}
	if (j->sends == 0 && place_queue_exceeds_limit(&r->queue)) {
		job_turn_away(j, now);
		return;
	}
	if (job_send(j, now, v))
		return;
	poison_end(&j->owner->poison.core, now, &j->run, false);
	place_end(p, now, r, SERVER_DOWN);
	j->last = JOB_UNREACHABLE;
	if (j->ntried == SERVER_AVOID_MAX)
		job_fail(j, now, j->last);
	else
		job_attempt(j, now);
}

/* Is another attempt possible, apart from the retry budget? */
static bool
job_could_go_on(struct job *j, msec now)
{
	if (j->may_have_run && !j->repeatable)
		return false;
	if (j->began && (!j->streamed || j->events == 0))
		return false;
	if (j->ntried == SERVER_AVOID_MAX)
		return false;
	if (j->runs >= j->route->attempts ||
	    j->sends >= j->route->attempts + JOB_EXTRA_SENDS)
		return false;
	return j->deadline - now >= JOB_LEAST_MS;
}

/* Is another attempt allowed? Takes it from the retry budget. */
static bool
job_may_go_on(struct job *j, msec now, enum job_code why)
{
	struct entry *e = j->owner;

	if (!job_could_go_on(j, now))
		return false;
	if (j->arrivals == 0)
		return true;
	if (retry_budget_take(
		entry_budget(e, j->service), &e->budget, now, e->live_nodes)) {
		e->counters.retries++;
		return true;
	}
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_NO_RETRY_BUDGET,
	    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_LAST, job_code_name(why)));
	return false;
}

/* The current attempt has ended: start another one, or fail the request. */
static void
job_next(struct job *j, msec now, enum job_code why)
{
	struct server *v =
	    servers_find(&j->owner->servers, name_hash(j->server_name));
	char same[POISON_ID_SIZE];

	j->last = why;
	entry_log(&j->owner->log, now, ENTRY_LOG_NEEDED,
	    LOG_EVENT_ATTEMPT_FAILED, LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_SERVER, j->server_name),
	    LOG_TEXT(LOG_KEY_REASON, job_code_name(why)),
	    LOG_TEXT(LOG_KEY_SAME, job_same(j, same)),
	    LOG_NUMBER(LOG_KEY_RUNNING, v != NULL ? v->own.running : 0),
	    LOG_NUMBER(LOG_KEY_SENDS, j->sends),
	    LOG_NUMBER(LOG_KEY_MS, now - j->sent_at));
	if (entry_poison_refuses(j, now)) {
		job_fail(j, now, JOB_POISON);
		return;
	}
	if (!job_may_go_on(j, now, why)) {
		job_fail(j, now, why);
		return;
	}
	if (!j->server_error)
		reply_forget(j);
	job_attempt(j, now);
}

/* ---- callbacks of the link ---- */

static void
job_ran(struct job *j)
{
	j->may_have_run = true;
	j->runs++;
	j->arrivals++;
}

/* Check again: the process may have been paused while connecting. */
static bool
link_sending(struct link *k, msec now)
{
	servers_reached(&k->owner->servers, now);
	return job_admit_again(k->job, now);
}

/*
 * Status 421 means that the address now belongs to another server, while the
 * list entry of the crashed one has not expired. As these answers are immediate
 * and the server seems idle, it would get half of all requests, so it is
 * treated as one that accepts no connections.
 */
static enum server_result
job_refusal(const struct http_head *h)
{
	return h->status == 421 ? SERVER_DOWN : SERVER_FULL;
}

static bool
link_head(struct link *k, const struct http_head *h, msec now)
{
	struct job *j = k->job;

	servers_reached(&j->owner->servers, now);
	entry_rate_heard(k, h, now);
	switch (reply_judge(j, h)) {
	case REPLY_STRAY:
		entry_log(&j->owner->log, now, ENTRY_LOG_NEEDED,
		    LOG_EVENT_STRAY_ANSWER,
		    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
		    LOG_TEXT(LOG_KEY_SERVER, k->server->name));
		return false;
	case REPLY_REJECTED:
		j->refused_by_server = true;
		j->refusal = job_refusal(h);
		return true;
	case REPLY_RUBBISH:
		job_ran(j);
		job_cancel(j, now, SERVER_FAILED);
		job_next(j, now, JOB_BROKEN);
		return true;
	case REPLY_TAKE:
	case REPLY_FAILURE:
		break;
	}
	if (!j->began)
		reply_head(j, h);
	else if (h->status >= 300) {
		/* The answer does not resume the stream that has begun. */
		job_ran(j);
		job_cancel(j, now, SERVER_FAILED);
		job_next(j, now, JOB_BROKEN);
		return true;
	}
	if (!j->streamed)
		job_arm_patience(j, now);
	return true;
}

/*
 * Report a late server to placement at once: the first long pause shows that
 * the server has accepted too many requests, seconds before the stream ends.
 */
static void
job_watch_time(struct job *j, msec now, bool first)
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
		entry_duty_began(j->owner, j->organisation->name, now);
}

static void
link_body(struct link *k, const char *bytes, size_t n, msec now)
{
	struct job *j = k->job;
	bool first = !j->began;

	if (j->refused_by_server)
		return;
	job_began_to_run(j, now);
	place_prompt_read(&j->owner->place, now, &j->place);
	server_response_received(
	    j->server, now, j->place.wish.rank, j->sent_at);
	if (reply_body(j, bytes, n, now)) {
		job_watch_time(j, now, first);
		job_arm_patience(j, now);
		return;
	}
	job_ran(j);
	job_cancel(j, now, SERVER_FAILED);
	job_next(j, now, JOB_BROKEN);
}

static void
link_whole(struct link *k, msec now)
{
	struct job *j = k->job;

	j->link = NULL;
	if (j->refused_by_server) {
		j->refused_by_server = false;
		j->arrivals++;
		job_leave_server(j, now, j->refusal);
		job_next(j, now, JOB_FULL);
		return;
	}
	job_ran(j);
	job_began_to_run(j, now);
	poison_served(&j->owner->poison.core, now, j->same);
	if (j->server_error && j->repeatable) {
		job_leave_server(j, now, SERVER_ANSWERED);
		job_next(j, now, JOB_SERVER_ERROR);
		return;
	}
	reply_whole(j, now);
	job_leave_server(j, now, SERVER_ANSWERED);
	job_free(j, now, j->server_error ? JOB_SERVER_ERROR : JOB_SERVED);
}

/*
 * While this node's own network link is saturated, no connection is established
 * in time. The servers must not be marked as down then: within ten seconds one
 * node of sixty had marked most of ninety servers.
 */
static enum server_result
link_unheard(struct link *k, msec now)
{
	struct servers *s = &k->owner->servers;

	servers_connect_timed_out(s, now, k->server);
	return servers_in_reach(s, now) ? SERVER_DOWN : SERVER_NO_RESULT;
}

/* What the end of an attempt shows about the server. */
static enum server_result
link_result(struct link *k, enum link_end how, msec now)
{
	switch (how) {
	case LINK_LEFT:
		return SERVER_NO_RESULT;
	case LINK_UNHEARD:
		return link_unheard(k, now);
	case LINK_UNSENT:
		return SERVER_DOWN;
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
job_is_cut_off(struct job *j, msec now)
{
	return !j->began && !servers_in_reach(&j->owner->servers, now);
}

static void
link_ended(struct link *k, enum link_end how, msec now)
{
	struct job *j = k->job;

	j->link = NULL;
	j->refused_by_server = false;
	poison_end(&j->owner->poison.core, now, &j->run, how == LINK_BROKEN);
	job_leave_server(j, now, link_result(k, how, now));
	if (k->refused)
		entry_poison_refused(k->owner, k->server, now);
	if (how == LINK_BROKEN) {
		job_ran(j);
		if (!entry_poison_broke(
			j, k->server, job_could_go_on(j, now), now))
			job_next(j, now, JOB_BROKEN);
		return;
	}
	/* No byte was sent, so the attempt does not count. */
	j->sends--;
	if (how == LINK_UNHEARD && job_is_cut_off(j, now)) {
		j->last = JOB_UNREACHABLE;
		job_fail(j, now, JOB_UNREACHABLE);
		return;
	}
	job_next(j, now, JOB_UNREACHABLE);
}

void
job_checked(struct job *j, msec now)
{
	job_next(j, now, JOB_BROKEN);
}

/*
 * Is there another server? Without one, abandoning the current attempt would
 * turn an answer that may still arrive into a 502.
 */
static bool
job_has_another(struct job *j)
{
	struct server_wish w;

	job_fill_wish(j, &w);
	return servers_have_alternative(&j->owner->servers, &w);
}

/*
 * Can another attempt end before this node stops? A stream that has begun
 * continues in any case.
 */
static bool
job_has_time_for_another(struct job *j, msec now)
{
	j->is_last = !j->began && !entry_stop_leaves_time(j->owner, j, now);
	return !j->is_last;
}

/*
 * May the current server be given up as silent? Not while this node's own
 * network link is saturated: no server's bytes arrive then, and another server
 * would read the prompt again for an answer that comes no sooner. During a
 * burst with stopping nodes these were a third of the requests given up (60
 * nodes, 90 servers).
 */
static bool
job_is_forgotten(struct job *j, msec now)
{
	if (j->is_last || j->runs + 1 >= j->route->attempts)
		return false;
	if (!servers_in_reach(&j->owner->servers, now))
		return false;
	if (!j->began && !server_lost_request(j->server, now,
			     j->place.wish.rank, j->sent_at, job_silence_ms(j)))
		return false;
	return job_has_another(j);
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
	struct entry_kind *k;

	if (j->began || j->route->kind != ROUTE_STREAM ||
	    j->deadline == MSEC_NEVER)
		return false;
	k = entry_kind_find(j->owner, j->route->name);
	return k != NULL && duration_usual(&k->rest, 0) > j->deadline - now;
}

static void
job_give_up(struct job *j, msec now)
{
	entry_log(&j->owner->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_HOPELESS,
	    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_SERVER, j->server->name),
	    LOG_NUMBER(LOG_KEY_MS, now - j->sent_at),
	    LOG_NUMBER(LOG_KEY_LEFT_MS, j->deadline - now));
	job_ran(j);
	/* The server is busy, not faulty. */
	job_cancel(j, now, SERVER_NO_RESULT);
	job_fail(j, now, JOB_TIMEOUT);
}

static void
job_look_again(struct job *j, msec now)
{
	loop_timer_set(&j->owner->loop, &j->patience, now + JOB_LOOK_AGAIN_MS);
}

/* The server is silent: try another one if that is allowed. */
void
job_patience(struct loop_timer *t, msec now)
{
	struct job *j = t->arg;

	if (j->server == NULL || j->link == NULL)
		return;
	if (job_is_hopeless(j, now)) {
		job_give_up(j, now);
		return;
	}
	if (!job_is_forgotten(j, now) ||
	    retry_budget_left(entry_budget(j->owner, j->service),
		&j->owner->budget, now, j->owner->live_nodes) == 0 ||
	    !job_has_time_for_another(j, now)) {
		job_look_again(j, now);
		return;
	}
	entry_log(&j->owner->log, now, ENTRY_LOG_NEEDED,
	    LOG_EVENT_SERVER_SILENT, LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_SERVER, j->server->name),
	    LOG_NUMBER(LOG_KEY_MS, now - j->sent_at));
	job_ran(j);
	job_cancel(j, now, SERVER_FAILED);
	job_next(j, now, JOB_BROKEN);
}
