/*
 * The life of one request, from its admission to its one answer.
 *
 * What the caller is told is true in every case: 429, 503 and 408 say that
 * nothing has run nor will; 502 and 504 say that something may have. A byte
 * handed to a server means that it may have run, until that server says that
 * it did not.
 */

#define LOG_PART "job"
#include "entry.h"

#include <string.h>

/* Less time than this and an attempt is not worth beginning. */
#define JOB_LEAST_MS 20
/* Nothing of a request that fails comes back sooner. */
#define JOB_RETRY_AFTER_MS 400
/* A node that starts knows more in a moment, and another knows now. */
#define JOB_SOON_RETRY_MS 150
/* The platform is away for all: nobody can judge keys for a while. */
#define JOB_AWAY_RETRY_MS 1000
/* Sends beyond the attempts allowed, for servers that said "not executed". */
#define JOB_EXTRA_SENDS 1
/* Part of the target after which a silent server is given up, percent. */
#define JOB_PATIENCE_PERCENT 80
/* A busy server is looked at again so often; one silent for so long is lost. */
#define JOB_LOOK_AGAIN_MS 250
#define JOB_SILENCE_MS 1000
/* Pauses in a stream beyond this many times its target are a silence. */
#define JOB_GAP_TIMES 4
#define JOB_GAP_LEAST_MS 1200

static void job_timer(struct loop_timer *, msec);
static void job_patience(struct loop_timer *, msec);
static void job_request(struct caller *, msec);
static void job_gone(struct caller *, msec);
static void job_drained(struct caller *, msec);
static bool link_head(struct link *, const struct http_head *, msec);
static void link_body(struct link *, const char *, size_t, msec);
static void link_whole(struct link *, msec);
static void link_ended(struct link *, enum link_end, msec);
static void job_attempt(struct job *, msec);
static void job_next(struct job *, msec, enum job_code);

const struct caller_ops job_caller_ops = { job_request, job_gone, job_drained };
static const struct link_ops job_link_ops = { link_head, link_body, link_whole,
	link_ended };

const char *
job_code_name(enum job_code c)
{
	static const char *const names[JOB_CODES] = { "served", "server-error",
		"bad-request", "no-route", "no-key", "not-fresh", "starting",
		"no-server", "full", "unreachable", "no-budget", "broken",
		"timeout", "caller-gone" };

	return names[c];
}

/* ---- the end ---- */

/* A span for the log: -1 stands for none. */
static int64_t
job_span(msec span)
{
	return span == MSEC_NEVER ? -1 : span;
}

static void
job_log(struct job *j, msec now, enum job_code code)
{
	struct entry *e = j->owner;
	enum entry_log_weight weight =
	    code == JOB_SERVED ? ENTRY_LOG_USUAL : ENTRY_LOG_NEEDED;
	const char *route = j->route != NULL ? j->route->name : NULL;
	const char *organisation =
	    j->organisation != NULL ? j->organisation->name : NULL;
	const char *last =
	    j->last != JOB_SERVED ? job_code_name(j->last) : NULL;
	const char *server = *j->server_name != '\0' ? j->server_name : NULL;
	msec first = j->first_at != 0 ? j->first_at - j->arrived : MSEC_NEVER;
	msec left = j->deadline != MSEC_NEVER ? j->deadline - now : MSEC_NEVER;

	entry_log(&e->log, now, weight, LOG_EVENT_REQUEST,
	    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_OUTCOME, job_code_name(code)),
	    LOG_NUMBER(LOG_KEY_STATUS, j->status),
	    LOG_TEXT(LOG_KEY_ROUTE, route),
	    LOG_TEXT(LOG_KEY_ORGANISATION, organisation),
	    LOG_TEXT(LOG_KEY_SERVER, server),
	    LOG_NUMBER(LOG_KEY_SENDS, j->sends),
	    LOG_NUMBER(LOG_KEY_RUNS, j->runs),
	    LOG_TEXT(LOG_KEY_MAY_HAVE_RUN, j->may_have_run ? "yes" : "no"),
	    LOG_TEXT(LOG_KEY_LAST, last),
	    LOG_NUMBER(LOG_KEY_FIRST_MS, job_span(first)),
	    LOG_NUMBER(LOG_KEY_GAP_MS, j->gap),
	    LOG_NUMBER(LOG_KEY_MS, now - j->arrived),
	    LOG_NUMBER(LOG_KEY_LEFT_MS, job_span(left)),
	    LOG_NUMBER(LOG_KEY_CONFIGURATION,
		e->table != NULL ? e->table->version : 0),
	    LOG_NUMBER(LOG_KEY_PROOF_MS, job_span(fresh_age(&e->fresh, now))));
}

/* Leave the server in hand. */
static void
job_leave_server(struct job *j, msec now, enum server_result how)
{
	loop_timer_stop(&j->owner->loop, &j->patience);
	place_end(&j->owner->place, now, &j->place, how);
	j->server = NULL;
}

static void
job_cancel(struct job *j, msec now, enum server_result how)
{
	struct link *k = j->link;

	j->link = NULL;
	if (k != NULL)
		link_cancel(k);
	job_leave_server(j, now, how);
}

static void
job_free(struct job *j, msec now, enum job_code code)
{
	struct entry *e = j->owner;

	entry_count(e, j, code, now);
	job_log(j, now, code);
	job_cancel(j, now, SERVER_UNKNOWN);
	loop_timer_stop(&e->loop, &j->timer);
	route_table_drop(j->table);
	g_free(j->id);
	buffer_finish(&j->fields);
	buffer_finish(&j->held);
	TAILQ_REMOVE(&e->jobs, j, entry);
	e->njobs--;
	if (j->caller != NULL)
		j->caller->job = NULL;
	g_free(j);
}

static unsigned int
job_status(const struct job *j, enum job_code code)
{
	switch (code) {
	case JOB_BAD_REQUEST:
		return 400;
	case JOB_NO_ROUTE:
		return 404;
	case JOB_NO_KEY:
		return 401;
	case JOB_TIMEOUT:
		return j->may_have_run ? 504 : 503;
	default:
		return j->may_have_run ? 502 : 503;
	}
}

static msec
job_retry_after(struct job *j, enum job_code code)
{
	msec after = JOB_RETRY_AFTER_MS;

	if (code == JOB_STARTING ||
	    (code == JOB_NOT_FRESH && entry_others_ready(j->owner)))
		after = JOB_SOON_RETRY_MS;
	else if (code == JOB_NOT_FRESH)
		after = JOB_AWAY_RETRY_MS;
	/* Spread, so that those refused together do not return together. */
	return after + g_rand_int_range(j->owner->rand, 0, (gint32)after);
}

/* The one answer, where no server's can be given. */
static void
job_fail(struct job *j, msec now, enum job_code code)
{
	struct caller *c = j->caller;
	unsigned int status = job_status(j, code);
	bool cut = j->began;

	job_cancel(j, now,
	    code == JOB_TIMEOUT && j->may_have_run && !j->began
		? SERVER_FAILED
		: SERVER_UNKNOWN);
	if (j->began)
		caller_break(c, now);
	else if (j->server_error && j->may_have_run)
		reply_whole(j, now);
	else
		reply_own(j, now, status,
		    status == 503 ? job_retry_after(j, code) : 0, true);
	job_free(j, now, cut && code != JOB_TIMEOUT ? JOB_BROKEN : code);
}

/* ---- admission ---- */

/* Look it up in what is in force now; the code when it may not pass. */
static enum job_code
job_admit(struct job *j, msec now)
{
	struct entry *e = j->owner;

	if (e->table == NULL)
		return JOB_STARTING;
	if (j->table != e->table) {
		route_table_drop(j->table);
		j->table = route_table_take(e->table);
	}
	j->route = route_find(j->table, j->request.host, j->request.path);
	j->organisation = NULL;
	if (j->route == NULL)
		return JOB_NO_ROUTE;
	if (!j->table->keyed || j->route->anonymous)
		return JOB_SERVED;
	j->organisation = route_organisation_of(j->table, j->request.key);
	/*
	 * Guards against a key that was taken away while we could not hear of
	 * it: without a proof young enough, nobody with a key passes. Nor is
	 * a key called unknown that may have been given since.
	 */
	if (!fresh_holds(&e->fresh, now))
		return JOB_NOT_FRESH;
	return j->organisation == NULL ? JOB_NO_KEY : JOB_SERVED;
}

static void
job_set_deadline(struct job *j, msec now)
{
	msec wait = j->route->timeout;

	if (j->request.deadline > 0)
		wait = wait > 0 ? MIN(wait, j->request.deadline)
				: j->request.deadline;
	j->deadline = wait > 0 ? j->arrived + wait : MSEC_NEVER;
	loop_timer_set(&j->owner->loop, &j->timer, j->deadline);
}

static void
job_request(struct caller *c, msec now)
{
	struct entry *e = c->owner;
	struct job *j = g_new0(struct job, 1);
	const char *reason = NULL;
	enum job_code code;

	j->owner = e;
	j->caller = c;
	j->place.arg = j;
	c->job = j;
	j->head = c->reader.head;
	j->arrived = now;
	j->deadline = MSEC_NEVER;
	loop_timer_init(&j->timer, job_timer, j);
	loop_timer_init(&j->patience, job_patience, j);
	TAILQ_INSERT_TAIL(&e->jobs, j, entry);
	e->njobs++;
	e->last_request = now;
	if (!e->wire->request(j->head, &j->request, &reason)) {
		entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_REFUSED,
		    LOG_TEXT(LOG_KEY_REASON, reason));
		j->request.id = "";
		job_fail(j, now, JOB_BAD_REQUEST);
		return;
	}
	/* The head goes when the answer is whole; the log line comes after. */
	j->request.id = j->id = g_strdup(j->request.id);
	j->last_event = j->request.after;
	if ((code = job_admit(j, now)) != JOB_SERVED) {
		job_fail(j, now, code);
		return;
	}
	j->repeatable = route_is_repeatable(j->route);
	j->service = route_service_draw(j->route, g_rand_int(e->rand));
	job_set_deadline(j, now);
	retry_budget_request(entry_budget(e, j->service), &e->budget, now);
	job_attempt(j, now);
}

/* ---- attempts ---- */

static void
job_fill_wish(const struct job *j, struct server_wish *w)
{
	const struct wire_request *r = &j->request;
	unsigned int i;

	*w = (struct server_wish){ .service = j->service,
		.route = name_hash(j->route->name),
		.out = r->max_tokens,
		.gap_target = j->route->gap_target,
		.rank = route_rank(j->table, j->route, j->organisation),
		.navoid = j->ntried };
	memcpy(w->avoid, j->tried, sizeof w->avoid);
	if (!j->route->prompts)
		return;
	/* The last part is the request's own. */
	for (i = 0; i + 1 < r->nparts; i++) {
		w->prompt = w->prompt * 0x9e3779b97f4a7c15ULL + r->parts[i].id;
		w->shared += r->parts[i].tokens;
	}
	if (r->prompt_tokens > w->shared)
		w->own = r->prompt_tokens - w->shared;
}

/* The bytes of the request as a server gets them. */
static void
job_write(struct job *j, msec now, const struct server *v, struct buffer *out)
{
	const struct http_head *h = j->head;
	struct wire_terms terms = { .deadline = j->deadline - now,
		.server = v->name,
		.ranked = j->route->prompts,
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

/* How long the server in hand may be silent before another is tried. */
static msec
job_patience_ms(const struct job *j)
{
	msec wait = j->route->target * JOB_PATIENCE_PERCENT / 100;

	if (j->began)
		return MAX(
		    j->route->gap_target * JOB_GAP_TIMES, JOB_GAP_LEAST_MS);
	return wait > 0 ? wait : MSEC_NEVER;
}

static void
job_arm_patience(struct job *j, msec now)
{
	msec wait = job_patience_ms(j);

	/* Without another attempt left, waiting on is all that can be done. */
	if (!j->repeatable || j->runs + 1 >= j->route->attempts ||
	    wait == MSEC_NEVER)
		return;
	loop_timer_set(&j->owner->loop, &j->patience, now + wait);
}

/* Send it to a server; true when one has it. */
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
	j->sent_at = now;
	e->counters.attempts++;
	job_arm_patience(j, now);
	return true;
}

/*
 * Guards against a key or route that was taken away while the request waited,
 * or while the whole process was paused: each attempt is judged by what is in
 * force when it is sent. False when the request has ended.
 */
static bool
job_admit_again(struct job *j, msec now)
{
	enum job_code code = job_admit(j, now);

	if (code == JOB_SERVED && j->deadline - now < JOB_LEAST_MS)
		code = JOB_TIMEOUT;
	if (code != JOB_SERVED)
		job_fail(j, now, code);
	return code == JOB_SERVED;
}

/* Ask for a server; job_placed() follows. */
static void
job_attempt(struct job *j, msec now)
{
	struct entry *e = j->owner;

	if (j->ntried > 0 && !job_admit_again(j, now))
		return;
	if (!route_has_service(j->route, j->service))
		j->service = route_service_draw(j->route, g_rand_int(e->rand));
	job_fill_wish(j, &j->place.wish);
	place_submit(&e->place, now, &j->place);
}

void
job_placed(struct place *p, struct place_request *r, struct server *v, msec now)
{
	struct job *j = r->arg;

	if (!job_admit_again(j, now))
		return;
	if (v == NULL) {
		job_fail(j, now, j->sends > 0 ? j->last : JOB_NO_SERVER);
		return;
	}
	if (!route_has_service(j->route, j->service)) {
		/* The route moved meanwhile. */
		place_end(p, now, r, SERVER_UNKNOWN);
		job_attempt(j, now);
		return;
	}
	if (job_send(j, now, v))
		return;
	place_end(p, now, r, SERVER_DOWN);
	j->last = JOB_UNREACHABLE;
	if (j->ntried == SERVER_AVOID_MAX)
		job_fail(j, now, j->last);
	else
		job_attempt(j, now);
}

/* May it go to another server after an attempt that ended so? */
static bool
job_may_go_on(struct job *j, msec now, enum job_code why)
{
	struct entry *e = j->owner;

	if (j->may_have_run && !j->repeatable)
		return false;
	if (j->began && (!j->streamed || j->events == 0))
		return false;
	if (j->ntried == SERVER_AVOID_MAX)
		return false;
	if (j->runs >= j->route->attempts ||
	    j->sends >= j->route->attempts + JOB_EXTRA_SENDS)
		return false;
	if (j->deadline - now < JOB_LEAST_MS)
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

/* The attempt in hand is over. */
static void
job_next(struct job *j, msec now, enum job_code why)
{
	j->last = why;
	entry_log(&j->owner->log, now, ENTRY_LOG_NEEDED,
	    LOG_EVENT_ATTEMPT_FAILED, LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_SERVER, j->server_name),
	    LOG_TEXT(LOG_KEY_REASON, job_code_name(why)),
	    LOG_NUMBER(LOG_KEY_SENDS, j->sends),
	    LOG_NUMBER(LOG_KEY_MS, now - j->sent_at));
	if (!job_may_go_on(j, now, why)) {
		job_fail(j, now, why);
		return;
	}
	if (!j->server_error)
		reply_forget(j);
	job_attempt(j, now);
}

/* ---- what the link says ---- */

static void
job_ran(struct job *j)
{
	j->may_have_run = true;
	j->runs++;
	j->arrivals++;
}

static bool
link_head(struct link *k, const struct http_head *h, msec now)
{
	struct job *j = k->job;

	switch (reply_judge(j, h)) {
	case REPLY_STRAY:
		entry_log(&j->owner->log, now, ENTRY_LOG_NEEDED,
		    LOG_EVENT_STRAY_ANSWER,
		    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
		    LOG_TEXT(LOG_KEY_SERVER, k->server->name));
		return false;
	case REPLY_REJECTED:
		j->refused_by_server = true;
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
		/* The stream that it was to go on with is another matter. */
		job_ran(j);
		job_cancel(j, now, SERVER_FAILED);
		job_next(j, now, JOB_BROKEN);
		return true;
	}
	if (!j->streamed)
		job_arm_patience(j, now);
	return true;
}

static void
link_body(struct link *k, const char *bytes, size_t n, msec now)
{
	struct job *j = k->job;

	if (j->refused_by_server)
		return;
	place_read(&j->owner->place, now, &j->place);
	server_heard(j->server, now, j->place.wish.rank, j->sent_at);
	if (reply_body(j, bytes, n, now)) {
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
		job_leave_server(j, now, SERVER_FULL);
		job_next(j, now, JOB_FULL);
		return;
	}
	job_ran(j);
	if (j->server_error && j->repeatable) {
		job_leave_server(j, now, SERVER_WELL);
		job_next(j, now, JOB_SERVER_ERROR);
		return;
	}
	reply_whole(j, now);
	job_leave_server(j, now, SERVER_WELL);
	job_free(j, now, j->server_error ? JOB_SERVER_ERROR : JOB_SERVED);
}

static void
link_ended(struct link *k, enum link_end how, msec now)
{
	struct job *j = k->job;

	j->link = NULL;
	j->refused_by_server = false;
	job_leave_server(
	    j, now, how == LINK_UNSENT ? SERVER_DOWN : SERVER_FAILED);
	if (how == LINK_UNSENT) {
		/* Nothing was handed over: it does not count as a send. */
		j->sends--;
		job_next(j, now, JOB_UNREACHABLE);
		return;
	}
	job_ran(j);
	job_next(j, now, JOB_BROKEN);
}

/* ---- time and the caller ---- */

static void
job_timer(struct loop_timer *t, msec now)
{
	struct job *j = t->arg;

	if (j->link != NULL && j->link->sent)
		j->may_have_run = true;
	job_fail(j, now, JOB_TIMEOUT);
}

/* The server is silent: if another attempt is allowed, it goes there. */
static void
job_patience(struct loop_timer *t, msec now)
{
	struct job *j = t->arg;

	if (j->server == NULL || j->link == NULL)
		return;
	if (!j->began && !server_forgot(j->server, now, j->place.wish.rank,
			     j->sent_at, JOB_SILENCE_MS)) {
		loop_timer_set(
		    &j->owner->loop, &j->patience, now + JOB_LOOK_AGAIN_MS);
		return;
	}
	if (retry_budget_left(entry_budget(j->owner, j->service),
		&j->owner->budget, now, j->owner->live_nodes) == 0)
		return;
	entry_log(&j->owner->log, now, ENTRY_LOG_NEEDED,
	    LOG_EVENT_SERVER_SILENT, LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_SERVER, j->server->name),
	    LOG_NUMBER(LOG_KEY_MS, now - j->sent_at));
	job_ran(j);
	job_cancel(j, now, SERVER_FAILED);
	job_next(j, now, JOB_BROKEN);
}

static void
job_gone(struct caller *c, msec now)
{
	struct job *j = c->job;

	if (j != NULL)
		job_free(j, now, JOB_CALLER_GONE);
}

static void
job_drained(struct caller *c, msec now)
{
	if (c->job != NULL && c->job->link != NULL)
		link_pause(c->job->link, false);
}

void
job_cut_all(struct entry *e, msec now)
{
	struct job *j, *next;

	TAILQ_FOREACH_SAFE (j, &e->jobs, entry, next) {
		if (j->link != NULL && j->link->sent)
			j->may_have_run = true;
		job_fail(j, now, JOB_TIMEOUT);
	}
}
