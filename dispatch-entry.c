/*
 * The entry node's side of dispatch: reserves slots with the owners of several
 * engines for each request and takes the first grant. The routing of callers'
 * requests to backend servers is in entry.c.
 */

#define LOG_PART "dispatch"
#include "dispatch-private.h"

/* Time for the first owner to grant before more are tried, in ms. */
#define WIDEN_FIRST 10
/* Reservations to keep open after that. */
#define CANDIDATES_NORMAL 2
#define CANDIDATES_PROTECTED 4
/* Maximum for other classes; CANDIDATES_MAX for protected ones. */
#define CANDIDATES_NORMAL_MAX 4
/* Time without a grant before one or two owners are added; doubles. */
#define WIDEN_NORMAL (1 * MSEC_SECOND)
#define WIDEN_PROTECTED 200
/*
 * Interval in ms before a reservation is sent again; doubles up to the maximum.
 */
#define RESEND_MIN 300
#define RESEND_MAX 4800
/* The same after an SP_QUEUED reply, for requests that are never refused. */
#define RESEND_QUEUED 1000
/* An owner that has not replied for this time is given up, in ms. */
#define OWNER_TIMEOUT 900
/* Time before all owners are tried again once all have refused, in ms. */
#define RETRY_ROUND_DELAY 150
/* Refusals by owners after which an unprotected request is refused. */
#define REFUSALS_MAX 4
/* The same if more than REFUSED_FRACTION of its class are refused. */
#define REFUSALS_MAX_OVERLOAD 2
#define REFUSED_FRACTION 0.25
/* Minimum part of a target allowed for waiting, and part kept in reserve. */
#define SLACK_MIN 0.1
#define SLACK_RESERVE 0.15
/* Maximum retry delay reported to a refused caller. */
#define RETRY_DELAY_MAX (30 * MSEC_SECOND)
/*
 * Maximum wait in ms once the target has passed: long enough to send a lost
 * reservation again.
 */
#define LATE_WAIT_MAX 500
/* Time within which a broken stream should continue. */
#define RESUME_WAIT_MAX (2 * MSEC_SECOND)

static void request_timer_due(struct dispatch *, msec, struct timer *);
static void
request_timer_arm(struct dispatch *, struct dispatch_request_state *);
static void request_free(struct dispatch *, struct dispatch_request_state *);
static msec request_latest_start(msec, const struct dispatch_request_state *);
static void request_add_candidates(
    struct dispatch *, msec, struct dispatch_request_state *);
static bool
request_try_refuse(struct dispatch *, struct dispatch_request_state *);
static void
request_retry_round(struct dispatch *, msec, struct dispatch_request_state *);
static void request_reserve_candidates(
    struct dispatch *, msec, struct dispatch_request_state *);
static struct dispatch_request_state *
request_find(struct dispatch *, unsigned int);
static unsigned int candidates_max(const struct dispatch_request_state *);
static unsigned int refusals_max(const struct dispatch_request_state *);
static struct candidate *
candidate_find(struct dispatch_request_state *, name_id, name_id);
static void
candidate_remove(struct dispatch_request_state *, struct candidate *);
static bool candidate_is_unresponsive(
    msec, const struct dispatch_request_state *, const struct candidate *);
static void candidate_reserve(struct dispatch *, msec,
    struct dispatch_request_state *, struct candidate *);
static void
candidates_resend(struct dispatch *, msec, struct dispatch_request_state *);
static void candidates_cancel(
    struct dispatch *, struct dispatch_request_state *, const struct engine *);
static void send_cancel(struct dispatch *, name_id, name_id, unsigned int);
static unsigned int request_pack_class_first(
    const struct dispatch *, const struct dispatch_request_state *);
static void
entry_send_running(struct dispatch *, msec, struct engine *, const sp_msg *);

/* ---- reservations ---- */

static struct candidate *
candidate_find(struct dispatch_request_state *st, name_id engine, name_id owner)
{
	unsigned int i;

	for (i = 0; i < st->ncandidates; i++) {
		if (st->candidates[i].engine->id == engine &&
		    st->candidates[i].owner == owner)
			return &st->candidates[i];
	}
	return NULL;
}

static void
candidate_remove(struct dispatch_request_state *st, struct candidate *candidate)
{
	*candidate = st->candidates[--st->ncandidates];
}

static void
candidate_reserve(struct dispatch *d, msec now,
    struct dispatch_request_state *st, struct candidate *candidate)
{
	const struct dispatch_request *r = st->request;
	sp_msg m = { .kind = SP_RESERVE };
	sp_reserve *v = &m.sp_msg_u.reserve;

	v->engine = candidate->engine->id;
	v->id = r->id;
	v->class_index = r->class_index;
	v->tier = st->class->tier;
	if (st->class->is_protected)
		v->flags |= SAVORY_RESERVE_PROTECTED;
	if (r->resumed)
		v->flags |= SAVORY_RESERVE_RESUMED;
	v->organisation = r->organisation;
	v->prefix = r->prefix;
	v->prompt_tokens = r->prompt_tokens;
	v->expect_tokens = lengths_mean(&st->class->lengths);
	if (r->max_tokens > 0)
		v->expect_tokens = MIN(v->expect_tokens, r->max_tokens);
	v->waited_ms = (unsigned int)MAX(0, now - r->arrived);
	if (st->latest_start != MSEC_NEVER)
		v->start_ms =
		    (unsigned int)CLAMP(st->latest_start - now, 1, INT32_MAX);
	if (candidate->send_count == 0)
		candidate->sent = now;
	candidate->next_send =
	    now + MIN(RESEND_MIN << MIN(candidate->send_count, 4), RESEND_MAX);
	candidate->send_count++;
	dispatch_post(d, candidate->owner, &m);
}

static void
send_cancel(struct dispatch *d, name_id owner, name_id engine, unsigned int id)
{
	sp_msg m = { .kind = SP_CANCEL };

	m.sp_msg_u.cancel.engine = engine;
	m.sp_msg_u.cancel.id = id;
	dispatch_post(d, owner, &m);
}

static void
candidates_cancel(struct dispatch *d, struct dispatch_request_state *st,
    const struct engine *exempt)
{
	unsigned int i;

	for (i = 0; i < st->ncandidates; i++) {
		if (st->candidates[i].engine != exempt)
			send_cancel(d, st->candidates[i].owner,
			    st->candidates[i].engine->id, st->request->id);
	}
	st->ncandidates = 0;
}

/* ---- requests ---- */

/* If many of a class are refused, further owners are unlikely to grant. */
static unsigned int
refusals_max(const struct dispatch_request_state *st)
{
	if (st->class->refused_fraction > REFUSED_FRACTION)
		return REFUSALS_MAX_OVERLOAD;
	return REFUSALS_MAX;
}

static void
request_reserve_candidates(
    struct dispatch *d, msec now, struct dispatch_request_state *st)
{
	unsigned int candidates_wanted = st->candidates_wanted;
	struct engine *e;
	struct candidate *candidate;

	/* After enough refusals, wait only for the owners that remain. */
	if (!st->exempt && st->refusals >= refusals_max(st))
		candidates_wanted = st->ncandidates;
	while (st->ncandidates < MIN(candidates_wanted, CANDIDATES_MAX)) {
		e = choose_engine(d, now, st);
		if (e == NULL)
			break;
		candidate = &st->candidates[st->ncandidates++];
		memset(candidate, 0, sizeof *candidate);
		candidate->engine = e;
		candidate->owner = e->owner;
		candidate_reserve(d, now, st, candidate);
	}
	st->retry_at =
	    st->ncandidates == 0 ? now + RETRY_ROUND_DELAY : MSEC_NEVER;
}

/*
 * Latest time at which a start is useful: the class's targets and the caller's
 * deadline less the usual service time. A target that cannot be met even
 * without waiting still allows a short wait, so that an idle system runs the
 * request. So does a target that has passed because the request waited for its
 * organisation's limit or ran on a server that failed.
 */
static msec
request_latest_start(msec now, const struct dispatch_request_state *st)
{
	const struct dispatch_request *r = st->request;
	const struct service *s = st->service;
	const struct class *c = st->class;
	double run, slack;
	msec by = MSEC_NEVER, waited = now - r->arrived;

	if (r->resumed)
		return now + RESUME_WAIT_MAX;
	run = s->first_token + s->token_ms * lengths_quantile(&c->lengths, 500);
	if (c->first_token > 0) {
		slack = c->first_token * (1 - SLACK_RESERVE) - s->first_token;
		slack = MAX(slack, c->first_token * SLACK_MIN);
		by = MIN(by, r->arrived + (msec)slack);
	}
	if (c->whole_answer > 0) {
		slack = MAX(c->whole_answer - run, c->whole_answer * SLACK_MIN);
		by = MIN(by, r->arrived + (msec)slack);
	}
	by = MAX(by, now + MIN(waited, LATE_WAIT_MAX));
	if (r->deadline != MSEC_NEVER) {
		slack = r->deadline - now;
		slack = MAX(slack - run, slack * SLACK_MIN);
		by = MIN(by, now + (msec)MAX(slack, 1));
	}
	return by;
}

static void
request_free(struct dispatch *d, struct dispatch_request_state *st)
{
	struct dispatch_data *p = d->priv;

	timer_clear(d, &st->timer);
	if (st->phase == REQUEST_WAITING) {
		TAILQ_REMOVE(&p->waiting, st, entry);
		p->nwaiting--;
	} else {
		TAILQ_REMOVE(&st->engine->running, st, entry);
		st->engine->nrunning--;
		engine_free_unused(d, st->engine);
	}
	g_hash_table_remove(p->requests, GUINT_TO_POINTER(st->request->id));
	st->request->priv = NULL;
	g_free(st);
}

void
entry_refuse(struct dispatch *d, struct dispatch_request_state *st,
    enum dispatch_refusal why, msec after)
{
	struct dispatch_request *r = st->request;

	log_debug("request %u refused, reason %d, %u refusals by owners, start "
		  "limit %" PRId64 " ms after arrival",
	    r->id, why, st->refusals, st->latest_start - r->arrived);
	average_add(&st->class->refused_fraction, 1);
	candidates_cancel(d, st, NULL);
	request_free(d, st);
	d->counters.refused++;
	/* Jitter, so that callers refused together do not retry together. */
	after = MIN(after, RETRY_DELAY_MAX);
	after *= g_rand_double_range(d->priv->rand, 0.75, 1.25);
	d->ops->refused(d, r, why, after);
}

void
entry_grant(struct dispatch *d, msec now, struct dispatch_request_state *st,
    struct engine *e)
{
	struct dispatch_data *p = d->priv;

	candidates_cancel(d, st, e);
	timer_clear(d, &st->timer);
	average_add(&st->class->refused_fraction, 0);
	TAILQ_REMOVE(&p->waiting, st, entry);
	p->nwaiting--;
	st->phase = REQUEST_GRANTED;
	st->engine = e;
	st->granted = now;
	st->first_token = -1;
	TAILQ_INSERT_TAIL(&e->running, st, entry);
	e->nrunning++;
	st->request->engine = e->id;
	d->counters.granted++;
	log_debug("request %u runs on %" PRIx64 " after %" PRId64 " ms",
	    st->request->id, e->id, now - st->request->arrived);
	d->ops->granted(d, st->request);
}

void
entry_submit(struct dispatch *d, msec now, struct dispatch_request_state *st)
{
	if (st->service->nengines == 0) {
		entry_refuse(d, st, DISPATCH_NO_ENGINE, MSEC_SECOND);
		return;
	}
	st->candidates_wanted = 1;
	st->exempt = st->class->is_protected || st->request->resumed;
	st->latest_start = request_latest_start(now, st);
	st->widen_at = now + WIDEN_FIRST;
	st->timer.fire = request_timer_due;
	request_reserve_candidates(d, now, st);
	request_timer_arm(d, st);
}

static void
request_timer_arm(struct dispatch *d, struct dispatch_request_state *st)
{
	msec at = MIN(st->widen_at, st->retry_at);
	unsigned int i;

	if (!st->exempt)
		at = MIN(at, st->latest_start);
	for (i = 0; i < st->ncandidates; i++)
		at = MIN(at, st->candidates[i].next_send);
	timer_set(d, &st->timer, at);
}

/* After a reply the reservation is sent less often, so the limit is longer. */
static bool
candidate_is_unresponsive(msec now, const struct dispatch_request_state *st,
    const struct candidate *candidate)
{
	msec after = OWNER_TIMEOUT;

	if (candidate->replied_at != 0)
		after += st->exempt ? RESEND_QUEUED : RESEND_MAX;
	return now - MAX(candidate->sent, candidate->replied_at) >= after;
}

/*
 * Sends reservations again, and gives up owners that do not reply: such an
 * owner may be paused or disconnected before the membership detects it. Nothing
 * has run there, so reserving another engine is safe.
 */
static void
candidates_resend(
    struct dispatch *d, msec now, struct dispatch_request_state *st)
{
	struct candidate *candidate;
	unsigned int i = 0;

	while (i < st->ncandidates) {
		candidate = &st->candidates[i];
		if (candidate->next_send > now) {
			i++;
			continue;
		}
		if (candidate_is_unresponsive(now, st, candidate)) {
			log_debug("owner %" PRIx64 " does not reply",
			    candidate->owner);
			send_cancel(d, candidate->owner, candidate->engine->id,
			    st->request->id);
			choose_exclude(st, candidate->engine->id);
			candidate_remove(st, candidate);
			continue;
		}
		candidate_reserve(d, now, st, candidate);
		i++;
	}
}

static unsigned int
candidates_max(const struct dispatch_request_state *st)
{
	if (st->exempt)
		return CANDIDATES_MAX;
	if (st->class->refused_fraction > REFUSED_FRACTION)
		return CANDIDATES_NORMAL;
	return CANDIDATES_NORMAL_MAX;
}

static void
request_add_candidates(
    struct dispatch *d, msec now, struct dispatch_request_state *st)
{
	msec wait = st->exempt ? WIDEN_PROTECTED : WIDEN_NORMAL;

	if (st->candidates_wanted >= candidates_max(st)) {
		st->widen_at = MSEC_NEVER;
		return;
	}
	if (st->candidates_wanted == 1)
		st->candidates_wanted =
		    st->exempt ? CANDIDATES_PROTECTED : CANDIDATES_NORMAL;
	else
		st->candidates_wanted += st->exempt ? 2 : 1;
	st->widen_at = now + (wait << st->widened++);
	d->counters.widened++;
}

/*
 * All owners have refused. Returns true if the request was refused; protected
 * and resumed requests are not, they retry until they run or are cancelled.
 */
static bool
request_try_refuse(struct dispatch *d, struct dispatch_request_state *st)
{
	if (st->service->nengines == 0) {
		entry_refuse(d, st, DISPATCH_NO_ENGINE, MSEC_SECOND);
		return true;
	}
	if (st->exempt || st->refusals == 0)
		return false;
	entry_refuse(d, st, st->why, st->retry_after);
	return true;
}

/* Tries all engines again after all of them refused. */
static void
request_retry_round(
    struct dispatch *d, msec now, struct dispatch_request_state *st)
{
	if (request_try_refuse(d, st))
		return;
	st->ntried = 0;
	request_reserve_candidates(d, now, st);
	request_timer_arm(d, st);
}

static void
request_timer_due(struct dispatch *d, msec now, struct timer *t)
{
	struct dispatch_request_state *st = (struct dispatch_request_state *)t;

	if (!st->exempt && now >= st->latest_start) {
		d->counters.hopeless++;
		entry_refuse(
		    d, st, DISPATCH_HOPELESS, MAX(st->retry_after, 500));
		return;
	}
	if (now >= st->retry_at) {
		request_retry_round(d, now, st);
		return;
	}
	if (now >= st->widen_at)
		request_add_candidates(d, now, st);
	candidates_resend(d, now, st);
	request_reserve_candidates(d, now, st);
	request_timer_arm(d, st);
}

void
entry_cancel(struct dispatch *d, msec now, struct dispatch_request_state *st)
{
	d->counters.cancelled++;
	if (st->phase == REQUEST_GRANTED)
		send_cancel(
		    d, st->engine->owner, st->engine->id, st->request->id);
	candidates_cancel(d, st, NULL);
	request_free(d, st);
}

void
entry_done(struct dispatch *d, msec now, struct dispatch_request_state *st,
    const struct dispatch_result *res)
{
	struct engine *e = st->engine;
	sp_msg m = { .kind = SP_DONE };
	sp_done *v = &m.sp_msg_u.done;

	v->engine = e->id;
	v->id = st->request->id;
	v->ok = res->how == DISPATCH_OK		   ? 1
		: res->how == DISPATCH_CALLER_LEFT ? 2
						   : 0;
	v->first_token_ms = (unsigned int)MAX(0, res->first_token);
	v->tokens = res->tokens;
	v->stream_ms = (unsigned int)MAX(0, res->stream);
	choose_record_result(now, st, res);
	if (d->priv->policy->owners)
		dispatch_post(d, e->owner, &m);
	request_free(d, st);
}

/* ---- messages from owners ---- */

static struct dispatch_request_state *
request_find(struct dispatch *d, unsigned int id)
{
	return g_hash_table_lookup(d->priv->requests, GUINT_TO_POINTER(id));
}

/*
 * A grant is accepted only while the request has a reservation open with that
 * owner, so that no request runs twice. Late, duplicate or stale grants, such
 * as from a paused or a second owner, are returned with SP_CANCEL.
 */
void
entry_on_grant(struct dispatch *d, msec now, name_id from, const sp_grant *m)
{
	struct dispatch_request_state *st = request_find(d, m->id);
	struct engine *e = engine_find(d, m->engine);

	if (e != NULL) {
		e->slots = m->slots;
		if (m->token_us > 0)
			e->token_ms = m->token_us / 1000.0;
	}
	if (st != NULL && st->phase == REQUEST_GRANTED &&
	    st->engine->id == m->engine && st->engine->owner == from)
		return;
	if (st == NULL || st->phase != REQUEST_WAITING || e == NULL ||
	    e->leaving || candidate_find(st, m->engine, from) == NULL) {
		log_debug("grant of %u returned", m->id);
		send_cancel(d, from, m->engine, m->id);
		return;
	}
	entry_grant(d, now, st, e);
}

void
entry_on_refuse(struct dispatch *d, msec now, name_id from, const sp_refuse *m)
{
	struct dispatch_request_state *st = request_find(d, m->id);
	struct candidate *candidate;

	if (st == NULL || st->phase != REQUEST_WAITING)
		return;
	candidate = candidate_find(st, m->engine, from);
	if (candidate == NULL)
		return;
	candidate_remove(st, candidate);
	choose_exclude(st, m->engine);
	if (m->reason == SP_QUEUE_FULL || m->reason == SP_EVICTED ||
	    m->reason == SP_HOPELESS) {
		st->refusals++;
		st->why = m->reason == SP_HOPELESS  ? DISPATCH_HOPELESS
			  : m->reason == SP_EVICTED ? DISPATCH_EVICTED
						    : DISPATCH_QUEUE_FULL;
		st->retry_after = m->retry_after_ms;
	}
	if (st->ncandidates == 0 && st->refusals >= refusals_max(st) &&
	    request_try_refuse(d, st))
		return;
	request_reserve_candidates(d, now, st);
	if (st->ncandidates == 0 && request_try_refuse(d, st))
		return;
	request_timer_arm(d, st);
}

void
entry_on_queued(struct dispatch *d, msec now, name_id from, const sp_queued *m)
{
	struct dispatch_request_state *st = request_find(d, m->id);
	struct candidate *candidate;

	if (st == NULL || st->phase != REQUEST_WAITING)
		return;
	candidate = candidate_find(st, m->engine, from);
	if (candidate == NULL)
		return;
	candidate->replied_at = now;
	candidate->next_send = now + (st->exempt ? RESEND_QUEUED : RESEND_MAX);
	st->retry_after = m->wait_ms;
}

void
entry_on_preempt(
    struct dispatch *d, msec now, name_id from, const sp_preempt *m)
{
	struct dispatch_request_state *st = request_find(d, m->id);

	if (st == NULL || st->phase != REQUEST_GRANTED ||
	    st->engine->id != m->engine || st->engine->owner != from ||
	    st->class->is_protected)
		return;
	d->ops->preempt(d, st->request);
}

/* ---- changes of engines and owners ---- */

void
entry_engine_gone(struct dispatch *d, msec now, struct engine *e)
{
	struct dispatch_request_state *st, *next;
	unsigned int i;

	TAILQ_FOREACH_SAFE (st, &d->priv->waiting, entry, next) {
		for (i = 0; i < st->ncandidates; i++) {
			if (st->candidates[i].engine == e)
				break;
		}
		if (i == st->ncandidates)
			continue;
		candidate_remove(st, &st->candidates[i]);
		request_reserve_candidates(d, now, st);
		request_timer_arm(d, st);
	}
}

/*
 * The queue of the old owner may be lost. Reservations are sent to the new
 * owner at once, and running requests are reported to it first, so that its
 * counts are correct before it grants.
 */
void
entry_owner_changed(struct dispatch *d, msec now, struct engine *e, name_id old)
{
	struct dispatch_request_state *st;
	struct candidate *candidate;

	entry_report_running(d, now, e);
	TAILQ_FOREACH (st, &d->priv->waiting, entry) {
		candidate = candidate_find(st, e->id, old);
		if (candidate == NULL)
			continue;
		if (old != e->owner &&
		    g_hash_table_contains(d->priv->peers, &old))
			send_cancel(d, old, e->id, st->request->id);
		candidate->owner = e->owner;
		candidate->send_count = 0;
		candidate->replied_at = 0;
		candidate_reserve(d, now, st, candidate);
		request_timer_arm(d, st);
	}
}

static unsigned int
request_pack_class_first(
    const struct dispatch *d, const struct dispatch_request_state *st)
{
	unsigned int first = 0;

	if (!d->priv->reports_first_token)
		first = FIRST_TOKEN_UNREPORTED;
	else if (st->first_token >= 0)
		first = MIN(st->first_token + 1, FIRST_TOKEN_UNREPORTED - 1);
	return first << 8 | st->request->class_index;
}

/* To the local node directly: the list is on the stack and cannot be queued. */
static void
entry_send_running(
    struct dispatch *d, msec now, struct engine *e, const sp_msg *m)
{
	if (e->owner != d->priv->self) {
		dispatch_post(d, e->owner, m);
		return;
	}
	owner_on_running(
	    d, now, d->priv->self, d->priv->incarnation, &m->sp_msg_u.running);
}

/* Reports this node's running requests on the engine to its owner. */
void
entry_report_running(struct dispatch *d, msec now, struct engine *e)
{
	sp_running_one list[SAVORY_RUNNING_MAX];
	struct dispatch_request_state *st;
	sp_msg m = { .kind = SP_RUNNING };
	sp_running *v = &m.sp_msg_u.running;

	if (e->nrunning == 0 || e->owner == 0)
		return;
	v->engine = e->id;
	v->slots = e->slots;
	v->list.list_val = list;
	TAILQ_FOREACH (st, &e->running, entry) {
		list[v->list.list_len].id = st->request->id;
		list[v->list.list_len].class_first =
		    request_pack_class_first(d, st);
		if (++v->list.list_len < SAVORY_RUNNING_MAX)
			continue;
		entry_send_running(d, now, e, &m);
		v->list.list_len = 0;
	}
	if (v->list.list_len > 0)
		entry_send_running(d, now, e, &m);
}

void
entry_report_due(struct dispatch *d, msec now, struct timer *t)
{
	GHashTableIter it;
	struct engine *e;

	g_hash_table_iter_init(&it, d->priv->engines);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&e))
		entry_report_running(d, now, e);
	timer_set(d, t, now + RUNNING_REPORT_INTERVAL);
}
