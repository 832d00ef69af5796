/*
 * Life cycle of one request, from admission to its answer.
 *
 * The status of an error answer of this node reports whether a server may have
 * executed the request: 503 and 4xx mean that it did not and will not run, 502
 * and 504 that it may have run. Once a byte has been sent to a server the
 * request may have run, unless that server answers that it did not.
 */

#define LOG_PART "job"
#include "entry.h"

#include <netinet/in.h>

#include <inttypes.h>
#include <string.h>

/* Least Retry-After of answers with 503, if no other value below applies. */
#define JOB_RETRY_AFTER_MS 400
/* Retry-After while this node starts, or if other nodes can check the key. */
#define JOB_RETRY_SOON_MS 150
/*
 * Retry-After when no node will accept the request soon: the platform is
 * unreachable, or all nodes are stopping.
 */
#define JOB_RETRY_UNAVAILABLE_MS 1000
/*
 * Retry-After when another node would accept the request now: the time that the
 * caller needs for a new connection.
 */
#define JOB_RETRY_OTHER_NODE_MS 20
/*
 * Logged as needed: a request to a server without a sign of life for so long,
 * or by a list of servers that was confirmed so long ago.
 */
#define JOB_SILENT_NOTABLE_MS MSEC_SECOND
#define JOB_LIST_NOTABLE_MS (2 * MSEC_SECOND)

static void job_deadline_passed(struct loop_timer *, msec);
static void job_request(struct caller *, msec);

const struct caller_ops job_caller_ops = { job_request, job_caller_gone,
	job_caller_drained, "caller" };

const char *
job_code_name(enum job_code c)
{
	static const char *const names[JOB_CODES] = { "served", "server-error",
		"bad-request", "no-route", "no-key", "not-fresh", "starting",
		"no-server", "full", "overloaded", "unreachable", "no-budget",
		"broken", "timeout", "stopped", "leaving", "limited", "resting",
		"no-room", "poison", "no-path", "version", "carrier-full",
		"not-read", "no-memory", "caller-gone" };

	return names[c];
}

enum job_code
job_code_parse(const char *name)
{
	unsigned int i;

	for (i = 0; i < JOB_CODES; i++) {
		if (strcmp(job_code_name(i), name) == 0)
			return i;
	}
	return JOB_NO_SERVER;
}

/* ---- end of a request ---- */

/* A time span for the log, in ms; -1: none. */
static int64_t
job_span(msec span)
{
	return span == MSEC_NEVER ? -1 : span;
}

bool
job_is_head_request(const struct job *j)
{
	return strcmp(j->head->method, "HEAD") == 0;
}

bool
job_is_sent(const struct job *j)
{
	return j->kept_link != NULL || (j->link != NULL && j->link->sent);
}

const char *
job_fingerprint_text(const struct job *j, char text[POISON_ID_SIZE])
{
	if (poison_id_is_none(j->fingerprint))
		return NULL;
	poison_id_print(j->fingerprint, text);
	return text;
}

const char *
job_parts_text(const struct job *j, char text[JOB_PARTS_SIZE])
{
	unsigned int i, n = MIN(j->parts.n, JOB_PARTS_LOGGED);
	size_t used = 0;

	if (n == 0)
		return NULL;
	for (i = 0; i < n; i++)
		used += (size_t)g_snprintf(text + used, JOB_PARTS_SIZE - used,
		    "%s%" PRIx64, i > 0 ? "," : "", j->parts.names[i]);
	if (n < j->parts.n)
		g_snprintf(
		    text + used, JOB_PARTS_SIZE - used, ",+%u", j->parts.n - n);
	return text;
}

/* What its host has not acknowledged of the attempt that is given up. */
static void
job_note_held(struct job *j, const struct link *k)
{
	if (k != NULL && k->sent)
		j->held_bytes = link_unacknowledged(k);
}

/* Was it sent to a server that may have been leaving, or ended at one? */
static bool
job_server_is_doubtful(struct job *j)
{
	const struct server *v =
	    servers_find(&j->owner->servers, name_hash(j->server_name));

	if (j->sends == 0)
		return false;
	if (j->unlisted_for >= 0 || j->silent_for >= JOB_SILENT_NOTABLE_MS ||
	    j->list_age >= JOB_LIST_NOTABLE_MS)
		return true;
	return v == NULL || v->state != SERVER_READY || v->says_leaving;
}

static void
job_log(struct job *j, msec now, enum job_code code)
{
	struct entry *e = j->owner;
	enum entry_log_priority weight =
	    code == JOB_SERVED && !job_server_is_doubtful(j) ? ENTRY_LOG_ROUTINE
							     : ENTRY_LOG_NEEDED;
	const char *route = j->route != NULL ? j->route->name : NULL;
	const char *organisation =
	    j->organisation != NULL ? j->organisation->name : NULL;
	const char *last =
	    j->last != JOB_SERVED ? job_code_name(j->last) : NULL;
	const char *server = *j->server_name != '\0' ? j->server_name : NULL;
	const char *resumes = j->request.resumes ? j->request.began_as : NULL;
	const char *software = *j->software != '\0' ? j->software : NULL;
	const char *source = *j->source_name != '\0' ? j->source_name : NULL;
	const char *carrier = *j->carrier_name != '\0' ? j->carrier_name : NULL;
	char fingerprint[POISON_ID_SIZE];
	msec first = j->first_at != 0 ? j->first_at - j->arrived : MSEC_NEVER;
	msec left = j->deadline != MSEC_NEVER ? j->deadline - now : MSEC_NEVER;
	msec leaving =
	    j->arrived_during_stop ? j->arrived - e->leaving_since : MSEC_NEVER;

	job_note_held(j, j->carrier == NULL ? j->link : j->kept_link);
	entry_log(&e->log, now, weight, LOG_EVENT_REQUEST,
	    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_OUTCOME, job_code_name(code)),
	    LOG_NUMBER(LOG_KEY_STATUS, j->status),
	    LOG_TEXT(LOG_KEY_ROUTE, route),
	    LOG_TEXT(LOG_KEY_ORGANISATION, organisation),
	    LOG_TEXT(LOG_KEY_SAME, job_fingerprint_text(j, fingerprint)),
	    LOG_TEXT(LOG_KEY_RESUMES, resumes),
	    LOG_TEXT(LOG_KEY_SERVER, server), LOG_TEXT(LOG_KEY_SOURCE, source),
	    LOG_TEXT(LOG_KEY_SOFTWARE, software),
	    LOG_TEXT(LOG_KEY_CARRIER, carrier),
	    LOG_NUMBER(LOG_KEY_SENDS, j->sends),
	    LOG_NUMBER(LOG_KEY_RUNS, j->runs),
	    LOG_TEXT(LOG_KEY_MAY_HAVE_RUN, j->may_have_run ? "yes" : "no"),
	    LOG_TEXT(LOG_KEY_LAST, last),
	    LOG_NUMBER(LOG_KEY_FIRST_MS, job_span(first)),
	    LOG_NUMBER(LOG_KEY_GAP_MS, j->gap),
	    LOG_NUMBER(LOG_KEY_LIST_MS, j->sends > 0 ? j->list_age : -1),
	    LOG_NUMBER(
		LOG_KEY_UNLISTED_MS, j->sends > 0 ? j->unlisted_for : -1),
	    LOG_NUMBER(LOG_KEY_SILENT_MS, j->sends > 0 ? j->silent_for : -1),
	    LOG_NUMBER(LOG_KEY_HELD, j->held_bytes),
	    LOG_NUMBER(LOG_KEY_MS, now - j->arrived),
	    LOG_NUMBER(LOG_KEY_LEFT_MS, job_span(left)),
	    LOG_NUMBER(LOG_KEY_LEAVING_MS, job_span(leaving)),
	    LOG_NUMBER(LOG_KEY_NEEDS_MS, j->time_needed),
	    LOG_NUMBER(LOG_KEY_CONFIGURATION,
		e->table != NULL ? e->table->version : 0),
	    LOG_NUMBER(LOG_KEY_PROOF_MS, job_span(fresh_age(&e->fresh, now))));
}

void
job_release_server(struct job *j, msec now, enum server_result how)
{
	loop_timer_stop(&j->owner->loop, &j->silence_timer);
	place_end(&j->owner->place, now, &j->place, how);
	j->server = NULL;
	entry_poison_run_end(j, now, false);
}

void
job_abandon_link(struct job *j, msec now, struct link *k)
{
	if (k->sent) {
		job_note_held(j, k);
		entry_poison_request_abandoned(j, k->server, now);
		/* It may yet end its server; the next one waits for that. */
		entry_poison_run_end(j, now, true);
	}
	link_cancel(k);
}

void
job_cancel(struct job *j, msec now, enum server_result how)
{
	struct link *k = j->link, *kept = j->kept_link;

	entry_move_cancel(j, now);
	j->link = j->kept_link = NULL;
	j->check = NULL;
	if (k != NULL && j->carrier != NULL)
		link_cancel(k);
	else if (k != NULL)
		job_abandon_link(j, now, k);
	if (kept != NULL)
		job_abandon_link(j, now, kept);
	entry_handoff_release(j);
	job_release_server(j, now, how);
}

/* Update how long streams of the route take after their first event. */
static void
job_learn_stream_time(const struct job *j, msec now, enum job_code code)
{
	struct entry_route_stats *k;

	if (code != JOB_SERVED || !j->streamed || j->route == NULL)
		return;
	if ((k = entry_route_stats_find(j->owner, j->route->name)) != NULL)
		duration_add(&k->stream_time, now - j->first_at);
}

void
job_free(struct job *j, msec now, enum job_code code)
{
	struct entry *e = j->owner;

	entry_count(e, j, code, now);
	job_learn_stream_time(j, now, code);
	job_log(j, now, code);
	job_cancel(j, now, SERVER_NO_RESULT);
	loop_timer_stop(&e->loop, &j->timer);
	entry_version_release(j);
	route_table_drop(j->table);
	g_free(j->id);
	g_free(j->began_as);
	wire_request_finish(&j->request);
	poison_parts_drop(&j->parts);
	buffer_finish(&j->fields);
	buffer_finish(&j->unsent_body);
	TAILQ_REMOVE(&e->jobs, j, entry);
	e->njobs--;
	if (j->counted_as_carried)
		e->handoff.counters.carried--;
	if (j->caller != NULL)
		j->caller->job = NULL;
	g_free(j);
}

static unsigned int
job_status(const struct job *j, enum job_code code)
{
	if (j->may_have_run)
		return code == JOB_TIMEOUT || code == JOB_STOPPED ? 504 : 502;
	switch (code) {
	case JOB_BAD_REQUEST:
		return 400;
	case JOB_NO_ROUTE:
		return 404;
	case JOB_NO_KEY:
		return 401;
	default:
		return 503;
	}
}

/* Spread retries of callers that were refused at the same time. */
static msec
job_spread(struct entry *e, msec after)
{
	return after + g_rand_int_range(e->rand, 0, (gint32)after);
}

msec
job_retry_elsewhere(struct entry *e)
{
	return job_spread(e, entry_others_ready(e) ? JOB_RETRY_OTHER_NODE_MS
						   : JOB_RETRY_UNAVAILABLE_MS);
}

static msec
job_retry_after(struct job *j, enum job_code code)
{
	msec after = JOB_RETRY_AFTER_MS;

	if (j->has_outcome && j->retry_after > 0)
		return j->retry_after;
	if (code == JOB_LIMITED)
		after = MAX(servers_rate_wait(&j->owner->servers, j->service),
		    JOB_RETRY_AFTER_MS);
	else if (code == JOB_RESTING)
		after = MAX(servers_rest_wait(&j->owner->servers, j->service,
				j->owner->loop.now),
		    JOB_RETRY_AFTER_MS);
	else if (code == JOB_POISON)
		after = MAX(entry_poison_retry_after(j, j->owner->loop.now),
		    JOB_RETRY_UNAVAILABLE_MS);
	else if (code == JOB_LEAVING || code == JOB_STOPPED ||
		 code == JOB_NO_MEMORY)
		return job_retry_elsewhere(j->owner);
	else if (code == JOB_STARTING ||
		 (code == JOB_NOT_FRESH && entry_others_ready(j->owner)))
		after = JOB_RETRY_SOON_MS;
	else if (code == JOB_NOT_FRESH)
		after = JOB_RETRY_UNAVAILABLE_MS;
	return job_spread(j->owner, after);
}

void
job_fail(struct job *j, msec now, enum job_code code)
{
	struct caller *c = j->caller;
	unsigned int status = job_status(j, code);
	bool broken =
	    j->answer_began && code != JOB_TIMEOUT && code != JOB_STOPPED;

	j->ended_as = code;
	job_cancel(j, now,
	    code == JOB_TIMEOUT && j->may_have_run && !j->answer_began
		? SERVER_FAILED
		: SERVER_NO_RESULT);
	if (j->answer_began) {
		/* The job uses the caller, which is freed then. */
		job_free(j, now, broken ? JOB_BROKEN : code);
		caller_break_answer(c, now);
		return;
	}
	if (j->failure_stored)
		reply_finish(j, now);
	else
		reply_write_local(j, now, status,
		    status == 503 ? job_retry_after(j, code) : 0, true);
	job_free(j, now, code);
}

/* ---- admission ---- */

/* May its organisation send requests on the route now? */
static enum job_code
job_check_key(const struct job *j, msec now, const struct route *r,
    const struct route_organisation *o)
{
	struct entry *e = j->owner;

	if (!e->table->keyed || r->anonymous)
		return JOB_SERVED;
	/*
	 * Without a recent proof that the configuration is the newest, a key
	 * may have been revoked without this node's knowledge, so requests with
	 * a key are refused. An unknown key is not rejected as such either, as
	 * it may have been issued since.
	 */
	if (!fresh_is_valid(&e->fresh, now))
		return JOB_NOT_FRESH;
	return o == NULL ? JOB_NO_KEY : JOB_SERVED;
}

static void
job_take_table(
    struct job *j, const struct route *r, const struct route_organisation *o)
{
	if (j->table != j->owner->table) {
		route_table_drop(j->table);
		j->table = route_table_take(j->owner->table);
	}
	j->route = r;
	j->organisation = o;
}

enum job_code
job_admit(struct job *j, msec now)
{
	const struct route_table *t = j->owner->table;
	const struct route_organisation *o = NULL;
	const struct route *r;
	enum job_code code;

	if (t == NULL)
		return JOB_STARTING;
	r = route_find(t, j->request.host, j->request.path);
	if (r != NULL && t->keyed && !r->anonymous)
		o = route_organisation_of(t, j->request.key);
	code = r != NULL ? job_check_key(j, now, r, o) : JOB_NO_ROUTE;
	/* One that is refused later ends as what it was admitted as. */
	if (code == JOB_SERVED || j->route == NULL)
		job_take_table(j, r, o);
	return code;
}

static void
job_set_deadline(struct job *j, msec now)
{
	msec wait = j->route->timeout;

	/* The node that handed it off has applied its route's timeout. */
	if (j->request.deadline > 0 && (wait == 0 || j->carried))
		wait = j->request.deadline;
	else if (j->request.deadline > 0)
		wait = MIN(wait, j->request.deadline);
	j->deadline = wait > 0 ? j->arrived + wait : MSEC_NEVER;
	loop_timer_set(&j->owner->loop, &j->timer, j->deadline);
}

/*
 * Parts of the prompt that identify a request. The last one is its own or its
 * session's: a caller that sends the same again may name another. A body tells
 * requests apart that share the others.
 */
static unsigned int
job_count_identifying_parts(const struct job *j)
{
	unsigned int n = j->request.nparts;

	return n > 0 && buffer_length(&j->caller->body) > 0 ? n - 1 : n;
}

/* Set the poison ids; a caller without a key is identified by its address. */
static void
job_set_fingerprint(struct job *j, const struct handoff_terms *terms)
{
	struct caller *c = j->caller;
	char address[INET_ADDRSTRLEN] = "";
	struct wire_request *w = &j->request;
	struct poison_request r = { .method = j->head->method,
		.host = j->request.host,
		.path = j->request.path,
		.caller = address,
		.body = buffer_bytes(&c->body),
		.length = buffer_length(&c->body),
		.model = j->request.model,
		.prompt_tokens = j->request.prompt_tokens,
		.max_tokens = j->request.max_tokens,
		.parts = w->parts,
		.nparts = job_count_identifying_parts(j) };

	if (j->organisation != NULL)
		r.caller = j->organisation->name;
	else if (terms != NULL)
		r.caller = terms->caller;
	else
		caller_address(c, address);
	j->fingerprint = poison_id_make(j->owner->settings->peer_key, &r);
	/* The last part is the request's own. */
	if (w->nparts > 1)
		j->parts = poison_parts_make(w->parts, w->nparts - 1);
	wire_request_finish(w);
}

static void
job_request(struct caller *c, msec now)
{
	job_begin(c, now, NULL);
}

/* Take over what the node that handed the request off has decided. */
static void
job_take_terms(struct job *j, const struct handoff_terms *terms)
{
	if (terms == NULL)
		return;
	j->carried = true;
	j->counted = terms->counted;
	j->attempts_most = terms->attempts;
	j->software_id = terms->software;
}

void
job_begin(struct caller *c, msec now, const struct handoff_terms *terms)
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
	j->arrived_during_stop = e->phase == ENTRY_LEAVING;
	j->deadline = MSEC_NEVER;
	j->silent_for = j->held_bytes = -1;
	job_take_terms(j, terms);
	loop_timer_init(&j->timer, job_deadline_passed, j);
	loop_timer_init(&j->silence_timer, job_check_silence, j);
	TAILQ_INSERT_TAIL(&e->jobs, j, entry);
	e->njobs++;
	e->last_request = now;
	if (!e->wire->request(j->head, &j->request, &reason)) {
		entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_REFUSED,
		    LOG_TEXT(LOG_KEY_REASON, reason));
		j->request.id = "";
		job_fail(
		    j, now, terms != NULL ? JOB_NOT_READ : JOB_BAD_REQUEST);
		return;
	}
	/* The log line needs the id after the head has been freed. */
	j->request.id = j->id = g_strdup(j->request.id);
	j->request.began_as = j->began_as = g_strdup(j->request.began_as);
	event_order_init(&j->order, j->request.after);
	code = job_admit(j, now);
	if (terms != NULL)
		code = entry_handoff_admit(j, terms, code);
	if (code != JOB_SERVED) {
		job_fail(j, now, code);
		return;
	}
	job_set_fingerprint(j, terms);
	j->repeatable =
	    route_is_repeatable(j->route) && (terms == NULL || !terms->once);
	j->service = route_service_draw(j->route, g_rand_int(e->rand));
	job_set_deadline(j, now);
	if (!entry_stop_leaves_time(e, j, now)) {
		job_fail(j, now, JOB_LEAVING);
		return;
	}
	if (entry_version_admit(j, now))
		job_attempt(j, now);
}

/* ---- deadline and caller events ---- */

static void
job_deadline_passed(struct loop_timer *t, msec now)
{
	struct job *j = t->arg;

	if (job_is_sent(j)) {
		j->may_have_run = true;
		place_mark_late(&j->owner->place, now, &j->place);
	}
	job_fail(j, now, JOB_TIMEOUT);
}

void
job_caller_gone(struct caller *c, msec now)
{
	struct job *j = c->job;

	if (j != NULL)
		job_free(j, now, JOB_CALLER_GONE);
}

void
job_caller_drained(struct caller *c, msec now)
{
	if (c->job != NULL && c->job->link != NULL)
		link_pause(c->job->link, LINK_PAUSE_CALLER, false);
}

void
job_stop_all(struct entry *e, msec now)
{
	struct job *j, *next;

	/*
	 * The end of one request must not release a waiting one: the loop below
	 * frees jobs while it walks their list.
	 */
	poisons_hold_waiting(&e->poison.core);
	TAILQ_FOREACH_SAFE (j, &e->jobs, entry, next) {
		if (job_is_sent(j))
			j->may_have_run = true;
		job_fail(j, now, JOB_STOPPED);
	}
}
