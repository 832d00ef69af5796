/*
 * Handing requests off to other nodes, and carrying theirs; see
 * entry-handoff.h.
 *
 * An attempt on a carrier is an attempt like one on a server, with these
 * differences: the carrier's own answers name their outcome, so that it is
 * known whether the request may have run, and the result says nothing about any
 * server.
 */

#define LOG_PART "handoff"
#include "entry-carrier.h"

#include <stdlib.h>
#include <string.h>

/* Nodes that one request is handed off to, one after the other. */
#define HANDOFF_CARRIERS_MAX 3
/* Connections of a request that fail before it goes to another node. */
#define HANDOFF_UNREACHABLE 2
/* Other nodes are a few milliseconds away. */
#define HANDOFF_CONNECT_TIMEOUT_MS 200
/* The carrier's answer is to arrive before the deadline passes here. */
#define HANDOFF_DEADLINE_MARGIN_MS 20
/* Longest Retry-After of a carrier that is passed on, in seconds. */
#define HANDOFF_RETRY_AFTER_MAX_S 60.0
/* A request that a node refuses as such goes to the next one so much later. */
#define HANDOFF_REFUSED_PAUSE_MS 250
/* Idle time of other nodes' connections: longer than they keep them. */
#define HANDOFF_IDLE_MS 10000
/* From the first byte of another node's request to its last. */
#define HANDOFF_READ_MS 10000
/* A node that had an older configuration has the newest after this time. */
#define HANDOFF_BEHIND_MS 200

static bool carrier_may_send(struct link *, msec);
static bool carrier_head(struct link *, const struct http_head *, msec);
static void carrier_body(struct link *, const char *, size_t, msec);
static bool carrier_complete(struct link *, msec);
static void carrier_failed(struct link *, enum link_end, msec);

static const struct link_ops carrier_link_ops = { carrier_may_send,
	carrier_head, carrier_body, carrier_complete, carrier_failed,
	HANDOFF_CONNECT_TIMEOUT_MS, NULL };

/* ---- sending ---- */

/*
 * Attempts on servers that the route still allows, beside one that was sent and
 * has not ended.
 */
static unsigned int
job_attempts_left(const struct job *j)
{
	unsigned int used = j->runs + (j->carrier == NULL && job_is_sent(j));

	return used < j->route->attempts ? j->route->attempts - used : 0;
}

bool
entry_handoff_possible(const struct job *j)
{
	return !j->carried && j->handoffs < HANDOFF_CARRIERS_MAX &&
	       job_attempts_left(j) > 0;
}

bool
entry_handoff_has_carrier(const struct job *j, msec now)
{
	return entry_handoff_possible(j) &&
	       entry_carrier_choose(j->owner, now) != NULL;
}

bool
entry_handoff_others_lack_path(const struct entry *e, msec now)
{
	msec told = e->handoff.no_path_at;

	return told != 0 && now - told < REACH_PAUSE_MS;
}

bool
entry_handoff_others_are_behind(const struct entry *e, msec now)
{
	msec told = e->handoff.behind_at;

	return told != 0 && now - told < HANDOFF_BEHIND_MS;
}

bool
entry_handoff_wanted(const struct job *j)
{
	if (!entry_handoff_possible(j))
		return false;
	return reach_is_cut(&j->owner->reach.core) ||
	       j->unreachable >= HANDOFF_UNREACHABLE;
}

static void
handoff_write_request(struct job *j, msec now, struct buffer *out)
{
	struct wire_terms terms = { 0 };
	struct handoff_terms ht = { .configuration = j->table->version,
		.attempts = j->handoff_attempts,
		.counted = j->counted,
		.software = j->software_id,
		.once = !j->repeatable };
	struct handoff_request r = { j->head->method, j->head->target,
		buffer_bytes(&j->caller->body),
		buffer_length(&j->caller->body) };
	char text[HANDOFF_TEXT_SIZE];

	if (j->deadline != MSEC_NEVER)
		terms.deadline =
		    MAX(j->deadline - now - HANDOFF_DEADLINE_MARGIN_MS, 1);
	g_strlcpy(ht.node, j->owner->settings->node, sizeof ht.node);
	caller_address(j->caller, ht.caller);
	handoff_encode(&ht, j->owner->settings->peer_key, &r, text);
	job_set_resume_terms(j, &terms);
	job_write_head(j, &terms, true, out);
	buffer_printf(out, HANDOFF_FIELD ": %s\r\n", text);
	job_write_body(j, out);
}

/* Send to one carrier; false when it cannot be reached. */
static bool
handoff_send(struct job *j, msec now, struct entry_carrier *c)
{
	struct entry *e = j->owner;
	struct buffer request = { 0 };
	struct link_terms terms = { .is_head = job_is_head_request(j),
		.once = !j->repeatable };
	struct link *k;

	j->handoff_attempts = handoff_attempts(job_attempts_left(j));
	handoff_write_request(j, now, &request);
	k = link_send(
	    e, &c->server, j, &carrier_link_ops, &request, &terms, now);
	buffer_finish(&request);
	if (k == NULL) {
		entry_carrier_avoid(c, now, JOB_UNREACHABLE, false);
		return false;
	}
	if (j->link == NULL)
		entry_poison_run_end(j, now, false);
	j->kept_link = j->link;
	j->kept_sent_at = j->sent_at;
	event_order_join(&j->order);
	j->link = k;
	j->carrier = c;
	j->sent_at = now;
	j->has_outcome = false;
	j->carrier_began = false;
	g_strlcpy(j->carrier_name, c->server.name, sizeof j->carrier_name);
	c->requests++;
	e->handoff.counters.handed_off++;
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_HANDED_OFF,
	    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_CARRIER, c->server.name),
	    LOG_TEXT(LOG_KEY_REASON,
		reach_is_cut(&e->reach.core) ? "path cut" : "unreachable"),
	    LOG_NUMBER(LOG_KEY_RUNS, j->runs));
	return true;
}

bool
entry_handoff_start(struct job *j, msec now)
{
	struct entry_carrier *c;

	while (j->handoffs < HANDOFF_CARRIERS_MAX &&
	       (c = entry_carrier_choose(j->owner, now)) != NULL) {
		j->handoffs++;
		if (handoff_send(j, now, c))
			return true;
	}
	j->owner->handoff.counters.without_carrier++;
	return false;
}

void
entry_handoff_release(struct job *j)
{
	if (j->carrier != NULL)
		j->carrier->requests--;
	j->carrier = NULL;
}

/* ---- the carrier's answer ---- */

void
entry_handoff_count_runs(struct job *j)
{
	j->may_have_run = true;
	j->retry_taken = false;
	j->counted = true;
	j->runs += j->handoff_attempts;
	j->arrivals++;
}

/* Without this carrier: with the attempt that was kept, or a new one. */
static void
handoff_go_on(struct job *j, msec now, enum job_code why)
{
	if (j->kept_link != NULL) {
		job_stay_with_kept(j, now, 0);
		return;
	}
	job_give_back_retry(j, now);
	entry_handoff_release(j);
	job_handoff_failed(j, now, why);
}

static void
handoff_fail(struct job *j, msec now, enum job_code why)
{
	struct entry *e = j->owner;
	struct entry_carrier *c = j->carrier;

	e->handoff.counters.failed++;
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_CARRIER_FAILED,
	    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_CARRIER, c->server.name),
	    LOG_TEXT(LOG_KEY_REASON, job_code_name(why)),
	    LOG_TEXT(LOG_KEY_MAY_HAVE_RUN, j->may_have_run ? "yes" : "no"),
	    LOG_NUMBER(LOG_KEY_MS, now - j->sent_at));
	entry_carrier_avoid(c, now, why, j->carrier_began);
	if (why == JOB_NO_PATH)
		e->handoff.no_path_at = now;
	if (why == JOB_STARTING)
		e->handoff.behind_at = now;
	/* It is asked again; nothing was tried. */
	if (why == JOB_STARTING || (j->kept_link != NULL && j->retry_taken))
		j->handoffs--;
	handoff_go_on(j, now, why);
}

static bool
carrier_may_send(struct link *k, msec now)
{
	struct job *j = k->job;

	if (j->kept_link == NULL)
		return job_recheck_admission(j, now);
	if (job_check_admission(j, now) == JOB_SERVED)
		return true;
	job_stay_with_kept(j, now, 0);
	return false;
}

/*
 * An answer that the carrier made itself: "CODE yes" or "CODE no", whether the
 * request may have run.
 */
static bool
carrier_read_outcome(struct job *j, const struct http_head *h)
{
	const char *s = http_head_get(h, HANDOFF_OUTCOME_FIELD);
	const char *after = http_head_get(h, "Retry-After");
	g_auto(GStrv) words = NULL;

	if (s == NULL)
		return false;
	words = g_strsplit(s, " ", 2);
	j->has_outcome = true;
	j->outcome = job_code_parse(words[0]);
	/* Without a clear "no" the request may have run. */
	j->outcome_may_have_run = g_strcmp0(words[1], "no") != 0;
	j->retry_after = 0;
	if (after != NULL)
		j->retry_after = (msec)(CLAMP(g_ascii_strtod(after, NULL), 0,
					    HANDOFF_RETRY_AFTER_MAX_S) *
					MSEC_SECOND);
	return true;
}

/* A number that the carrier adds to a server's answer; 0: none. */
static uint64_t
carrier_read_number(const struct http_head *h, const char *field)
{
	const char *s = http_head_get(h, field);
	guint64 n;

	if (s != NULL &&
	    g_ascii_string_to_unsigned(s, 10, 0, G_MAXUINT64, &n, NULL))
		return n;
	return 0;
}

/*
 * Guards against requests to a server that has said in an answer which this
 * node passed on that it leaves, once the node reaches it again.
 */
static void
carrier_read_server(struct job *j, const struct http_head *h, msec now)
{
	uint64_t process = carrier_read_number(h, HANDOFF_SERVER_FIELD);
	struct server *v = servers_find_process(&j->owner->servers, process);

	if (process != 0 && v != NULL)
		entry_answer_read(j, v, h, now);
}

static void
carrier_answer_broken(struct job *j, msec now)
{
	struct link *k = j->link;

	if (k->sent)
		entry_handoff_count_runs(j);
	j->link = NULL;
	link_cancel(k);
	handoff_fail(j, now, JOB_BROKEN);
}

static bool
carrier_head(struct link *k, const struct http_head *h, msec now)
{
	struct job *j = k->job;

	if (carrier_read_outcome(j, h))
		return true;
	switch (reply_classify(j, h)) {
	case REPLY_OTHER_REQUEST:
		return false;
	case REPLY_REJECTED:
	case REPLY_INVALID:
		carrier_answer_broken(j, now);
		return true;
	case REPLY_FORWARD:
	case REPLY_SERVER_ERROR:
		break;
	}
	j->carrier_software = carrier_read_number(h, VERSION_SOFTWARE_FIELD);
	carrier_read_server(j, h, now);
	if (j->answer_began && h->status >= 300) {
		carrier_answer_broken(j, now);
		return true;
	}
	if (j->kept_link != NULL)
		job_give_up_kept(j, now, SERVER_NO_RESULT);
	j->carrier_began = true;
	if (!j->answer_began)
		reply_store_head(j, h);
	return true;
}

static void
carrier_body(struct link *k, const char *bytes, size_t n, msec now)
{
	struct job *j = k->job;

	if (!j->has_outcome && !reply_body(j, bytes, n, now))
		carrier_answer_broken(j, now);
}

/* Could another node carry a request that this one refused? */
static bool
outcome_is_of_carrier(enum job_code code)
{
	return code == JOB_NO_PATH || code == JOB_CARRIER_FULL ||
	       code == JOB_STARTING || code == JOB_NOT_FRESH ||
	       code == JOB_LEAVING || code == JOB_NO_MEMORY ||
	       code == JOB_NOT_READ || code == JOB_STOPPED;
}

/* It lost its path, or its stop ended what it was running. */
static bool
outcome_is_end_of_carrier(enum job_code code)
{
	return code == JOB_NO_PATH || code == JOB_STOPPED;
}

static void
carrier_end_with_outcome(struct job *j, msec now)
{
	if (j->outcome_may_have_run) {
		entry_handoff_count_runs(j);
	} else if (outcome_is_of_carrier(j->outcome)) {
		handoff_fail(j, now, j->outcome);
		return;
	}
	if (j->kept_link != NULL) {
		job_stay_with_kept(j, now,
		    j->outcome_may_have_run ? 0 : HANDOFF_REFUSED_PAUSE_MS);
		return;
	}
	/* Another node, or this one, may still have it run. */
	if (outcome_is_end_of_carrier(j->outcome) && j->repeatable) {
		handoff_go_on(j, now, JOB_BROKEN);
		return;
	}
	entry_handoff_release(j);
	job_fail(j, now, j->outcome);
}

static bool
carrier_complete(struct link *k, msec now)
{
	struct job *j = k->job;

	j->link = NULL;
	if (j->has_outcome) {
		carrier_end_with_outcome(j, now);
		return true;
	}
	entry_handoff_count_runs(j);
	reply_log_end(j, k->reader.head, now);
	if (reply_end(j, k->reader.head) == REPLY_END_BROKEN) {
		handoff_fail(j, now, JOB_BROKEN);
		return false;
	}
	reply_finish(j, now);
	entry_handoff_release(j);
	job_free(j, now, j->server_error ? JOB_SERVER_ERROR : JOB_SERVED);
	return true;
}

static void
carrier_failed(struct link *k, enum link_end how, msec now)
{
	struct job *j = k->job;

	j->link = NULL;
	if (how == LINK_BROKEN)
		entry_handoff_count_runs(j);
	handoff_fail(j, now, how == LINK_BROKEN ? JOB_BROKEN : JOB_UNREACHABLE);
}

/* ---- changes of the path and of carriers ---- */

/*
 * Requests whose connection to a server is being established or proved: nothing
 * that a server can run was sent, and neither will succeed.
 */
static bool
job_is_connecting(const struct job *j)
{
	return j->link != NULL && j->carrier == NULL &&
	       (j->link->connecting || j->link->proof_bytes > 0 ||
		   j->link->asking);
}

static struct job *
handoff_find_connecting(struct entry *e)
{
	struct job *j;

	TAILQ_FOREACH (j, &e->jobs, entry) {
		if (job_is_connecting(j) && entry_handoff_wanted(j))
			return j;
	}
	return NULL;
}

static void
handoff_timer(struct loop_timer *t, msec now)
{
	struct entry *e = t->arg;
	struct job *j;

	/* Start over each time: the end of one job may end others. */
	while (reach_is_cut(&e->reach.core) &&
	       (j = handoff_find_connecting(e)) != NULL)
		job_leave_server(j, now);
}

void
entry_handoff_path_cut(struct entry *e, msec now)
{
	/* Not at once: a callback of one of these links may be running. */
	loop_timer_set(&e->loop, &e->handoff.timer, now);
}

/* A carrier that has died or is silent, though its connection is open. */
static bool
carrier_is_lost(struct entry *e, const struct job *j)
{
	const struct member *m =
	    members_find(&e->members, j->carrier->server.id);

	if (m == NULL || m->state == MEMBER_DEAD ||
	    m->incarnation != j->carrier->incarnation)
		return true;
	return m->state == MEMBER_SUSPECT && j->repeatable && !j->answer_began;
}

static struct job *
handoff_find_lost(struct entry *e)
{
	struct job *j;

	TAILQ_FOREACH (j, &e->jobs, entry) {
		if (j->carrier != NULL && j->link != NULL &&
		    carrier_is_lost(e, j))
			return j;
	}
	return NULL;
}

void
entry_handoff_tick(struct entry *e, msec now)
{
	struct job *j;

	while ((j = handoff_find_lost(e)) != NULL)
		carrier_answer_broken(j, now);
	entry_carriers_tick(e);
}

void
entry_handoff_init(struct entry *e)
{
	e->handoff = (struct entry_handoff){ 0 };
	TAILQ_INIT(&e->handoff.carriers);
	loop_timer_init(&e->handoff.timer, handoff_timer, e);
}

void
entry_handoff_finish(struct entry *e)
{
	loop_timer_stop(&e->loop, &e->handoff.timer);
	entry_carriers_finish(e);
}

/* ---- carrying ---- */

static void handoff_request(struct caller *, msec);
static void handoff_add_outcome(struct buffer *, enum job_code);

/*
 * The node that speaks to the caller has applied the limits of its
 * configuration, which may be another one.
 */
static const struct route_limits handoff_limits = { ROUTE_HEAD_BYTES_MAX +
							HANDOFF_HEAD_BYTES,
	ROUTE_BODY_BYTES_MAX, HANDOFF_READ_MS, HANDOFF_IDLE_MS };

G_STATIC_ASSERT(
    ROUTE_HEAD_BYTES_MAX + HANDOFF_HEAD_BYTES <= HTTP_HEAD_BYTES_MAX);

const struct caller_ops handoff_caller_ops = { handoff_request, job_caller_gone,
	job_caller_drained, "node", &handoff_limits, HTTP_FIELDS_MAX_NODES,
	handoff_add_outcome };

/* Nothing was made of the request, so nothing can have run. */
static void
handoff_add_outcome(struct buffer *fields, enum job_code why)
{
	buffer_printf(
	    fields, HANDOFF_OUTCOME_FIELD ": %s no\r\n", job_code_name(why));
}

static void
handoff_request(struct caller *c, msec now)
{
	struct entry *e = c->owner;
	const struct http_head *h = c->reader.head;
	const char *text = http_head_get(h, HANDOFF_FIELD);
	struct handoff_request r = { h->method, h->target,
		buffer_bytes(&c->body), buffer_length(&c->body) };
	struct handoff_terms terms;
	struct buffer fields = { 0 };

	if (text == NULL || http_head_count(h, HANDOFF_FIELD) != 1 ||
	    !handoff_decode(&terms, e->settings->peer_key, &r, text)) {
		entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_REFUSED,
		    LOG_TEXT(LOG_KEY_REASON,
			"not handed off by a node of this deployment"));
		caller_refuse(c, now, 403, JOB_NOT_READ, &fields);
		return;
	}
	job_begin(c, now, &terms);
}

/*
 * A route or key that is missing here may be in the newer configuration of the
 * node that received the request.
 */
static bool
carrier_is_behind(const struct job *j, const struct handoff_terms *terms)
{
	return j->table == NULL || j->table->version < terms->configuration;
}

enum job_code
entry_handoff_admit(
    struct job *j, const struct handoff_terms *terms, enum job_code code)
{
	struct entry *e = j->owner;
	struct entry_handoff_counters *n = &e->handoff.counters;

	entry_reach_suspect(e, e->loop.now);
	if (carrier_is_behind(j, terms))
		code = JOB_STARTING;
	if ((code == JOB_SERVED || code == JOB_STARTING) &&
	    reach_is_cut(&e->reach.core))
		code = JOB_NO_PATH;
	else if (code == JOB_SERVED &&
		 !handoff_admits(n->carried,
		     route_rank(j->table, j->route, j->organisation)))
		code = JOB_CARRIER_FULL;
	entry_log(&e->log, e->loop.now, ENTRY_LOG_ROUTINE, LOG_EVENT_CARRIED,
	    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_NAME, terms->node),
	    LOG_TEXT(LOG_KEY_OUTCOME,
		code == JOB_SERVED ? "accepted" : job_code_name(code)));
	if (code != JOB_SERVED) {
		n->refused++;
		return code;
	}
	n->taken++;
	n->carried++;
	j->counted_as_carried = true;
	return JOB_SERVED;
}

/* ---- metrics ---- */

void
entry_handoff_metrics(const struct entry *e, GString *s)
{
	const struct entry_handoff_counters *n = &e->handoff.counters;

	metrics_value(s, "handed_off_total", "counter",
	    "Requests sent to other nodes.", (int64_t)n->handed_off);
	metrics_value(s, "handoffs_failed_total", "counter",
	    "Those that the node refused or broke off.", (int64_t)n->failed);
	metrics_value(s, "handoffs_without_carrier_total", "counter",
	    "No node could be reached.", (int64_t)n->without_carrier);
	metrics_value(s, "handoffs_kept_total", "counter",
	    "Attempts on silent servers kept while a node was asked.",
	    (int64_t)n->kept);
	metrics_value(s, "handoffs_kept_answered_total", "counter",
	    "Those whose server answered first.", (int64_t)n->kept_answered);
	metrics_value(s, "path_waits_total", "counter",
	    "Waits for servers that may all have paused.",
	    (int64_t)n->path_waits);
	metrics_value(s, "carried", "gauge",
	    "Requests of other nodes in flight.", n->carried);
	metrics_value(s, "carried_total", "counter",
	    "Accepted from other nodes.", (int64_t)n->taken);
	metrics_value(s, "carried_refused_total", "counter",
	    "Refused to other nodes.", (int64_t)n->refused);
}
