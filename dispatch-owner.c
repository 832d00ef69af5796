/*
 * The owner's side of dispatch: for each engine that this node owns, keeps the
 * queued and granted reservations and grants slots as they become free.
 */

#define LOG_PART "dispatch"
#include "dispatch-private.h"

/* Time in ms that a new owner waits for reports of running requests. */
#define TAKEOVER_HOLD 200
/* Time in which it adopts the previous owner's slot limit from them. */
#define TAKEOVER_ADOPT (2 * MSEC_SECOND)
/* Requests queue with several owners, so that part of a queue is cancelled. */
#define DUPLICATE_RESERVATIONS 1.5
/* Pause in ms of a failing engine: first and maximum. */
#define FAILURE_PAUSE_MIN 500
#define FAILURE_PAUSE_MAX (15 * MSEC_SECOND)
/* Wait after which a request may run on an engine too slow for its class. */
#define SLOW_ENGINE_WAIT (1 * MSEC_SECOND)
#define RETRY_DELAY_MIN 500
#define RETRY_DELAY_MAX (30 * MSEC_SECOND)

static int reservation_compare(struct reservation *, struct reservation *);
static struct reservation *
reservation_find(struct owner_state *, name_id, unsigned int);
static struct reservation *reservation_add(
    struct owner_state *, name_id, uint64_t, const sp_running_one *);
static void reservation_free(struct owner_state *, struct reservation *);
static struct engine *engine_owned(struct dispatch *, name_id);
static void owner_refuse(
    struct dispatch *, name_id, name_id, unsigned int, enum sp_refusal, msec);
static void owner_send_grant(
    struct dispatch *, struct engine *, const struct reservation *);
static void
owner_grant(struct dispatch *, msec, struct engine *, struct reservation *);
static void owner_grant_free_slots(struct dispatch *, msec, struct engine *);
static unsigned int engine_slot_limit(const struct engine *);
static bool owner_has_slot(struct engine *, msec);
static void
owner_skip_classes(struct engine *, msec, bool[DOCUMENT_CLASSES_MAX]);
static void owner_pause_ended(struct dispatch *, msec, struct timer *);
static double engine_token_rate(const struct engine *);
static msec
owner_expected_wait(struct engine *, const struct reservation *, msec);
static msec retry_after(msec);
static bool owner_evict_for(
    struct dispatch *, msec, struct engine *, const struct reservation *);
static void owner_repeat_reply(
    struct dispatch *, msec, struct engine *, struct reservation *);
static void
owner_enqueue(struct dispatch *, msec, struct engine *, struct reservation *);
static void owner_send_queued(
    struct dispatch *, msec, struct engine *, struct reservation *);
static void owner_record_failure(struct dispatch *, msec, struct engine *);
static bool engine_is_full(const struct engine *);
static void sample_init(struct slots_sample *, const struct engine *,
    const struct reservation *, unsigned int);
static void owner_record_first_token(
    msec, struct engine *, struct reservation *, unsigned int);
static void owner_expire(struct dispatch *, msec, struct engine *);

RB_PROTOTYPE(reservation_tree, reservation, entry, reservation_compare)
RB_GENERATE(reservation_tree, reservation, entry, reservation_compare)

static int
reservation_compare(struct reservation *a, struct reservation *b)
{
	if (a->node != b->node)
		return a->node < b->node ? -1 : 1;
	if (a->id != b->id)
		return a->id < b->id ? -1 : 1;
	return 0;
}

static struct reservation *
reservation_find(struct owner_state *o, name_id node, unsigned int id)
{
	struct reservation key = { .node = node, .id = id };

	return RB_FIND(reservation_tree, &o->tree, &key);
}

static void
reservation_free(struct owner_state *o, struct reservation *res)
{
	if (res->state == RESERVATION_QUEUED)
		queue_remove(&o->queue, res);
	else
		o->running--;
	RB_REMOVE(reservation_tree, &o->tree, res);
	g_free(res);
}

/* Adds one that another owner granted; not yet counted as running. */
static struct reservation *
reservation_add(struct owner_state *o, name_id node, uint64_t incarnation,
    const sp_running_one *one)
{
	struct reservation *res;

	res = g_new0(struct reservation, 1);
	res->node = node;
	res->incarnation = incarnation;
	res->id = one->id;
	res->class_index =
	    MIN(one->class_first & 0xff, DOCUMENT_CLASSES_MAX - 1);
	res->first_recorded = true;
	res->state = RESERVATION_ADOPTED;
	RB_INSERT(reservation_tree, &o->tree, res);
	return res;
}

static struct engine *
engine_owned(struct dispatch *d, name_id id)
{
	struct engine *e = engine_find(d, id);

	return e == NULL || e->owner_state == NULL ? NULL : e;
}

static void
owner_refuse(struct dispatch *d, name_id node, name_id engine, unsigned int id,
    enum sp_refusal why, msec after)
{
	sp_msg m = { .kind = SP_REFUSE };

	m.sp_msg_u.refuse.engine = engine;
	m.sp_msg_u.refuse.id = id;
	m.sp_msg_u.refuse.reason = why;
	m.sp_msg_u.refuse.retry_after_ms = (unsigned int)after;
	dispatch_post(d, node, &m);
}

static void
owner_send_grant(
    struct dispatch *d, struct engine *e, const struct reservation *res)
{
	sp_msg m = { .kind = SP_GRANT };

	m.sp_msg_u.grant.engine = e->id;
	m.sp_msg_u.grant.id = res->id;
	m.sp_msg_u.grant.slots = slots_limit(&e->owner_state->slots);
	m.sp_msg_u.grant.token_us =
	    (unsigned int)(e->owner_state->slots.token_ms * 1000);
	dispatch_post(d, res->node, &m);
}

static void
owner_grant(
    struct dispatch *d, msec now, struct engine *e, struct reservation *res)
{
	queue_grant(&e->owner_state->queue, res, now);
	res->state = RESERVATION_GRANTED;
	res->renewed_at = now;
	res->granted = now;
	e->owner_state->running++;
	owner_send_grant(d, e, res);
	log_debug("engine %" PRIx64 " grants to %u, class %u, %u running",
	    e->id, res->id, res->class_index, e->owner_state->running);
}

/* The configured slots of a plain backend server are a hard limit. */
static unsigned int
engine_slot_limit(const struct engine *e)
{
	unsigned int n = slots_limit(&e->owner_state->slots);

	if (e->service->kind == SERVICE_PLAIN && e->slots_hint > 0)
		return MIN(n, e->slots_hint);
	return n;
}

static bool
owner_has_slot(struct engine *e, msec now)
{
	struct owner_state *o = e->owner_state;

	if (e->leaving || now < o->hold_until || now < o->failed_until)
		return false;
	/* After a failure one request at a time, until one succeeds. */
	if (o->failures > 0)
		return o->running == 0;
	return o->running < engine_slot_limit(e);
}

/* Resumes granting after a pause. */
static void
owner_pause_ended(struct dispatch *d, msec now, struct timer *t)
{
	owner_grant_free_slots(d, now, ((struct owner_state *)t)->engine);
}

/*
 * Skips classes whose between-tokens target the engine misses, and protected
 * classes if it has failed since its last success: their requests may still get
 * a better engine. Requests that have waited SLOW_ENGINE_WAIT are not skipped,
 * and other classes probe the engine.
 */
static void
owner_skip_classes(struct engine *e, msec now, bool skip[DOCUMENT_CLASSES_MAX])
{
	struct owner_state *o = e->owner_state;
	struct reservation *res;
	struct class *c;
	unsigned int i;

	for (i = 0; i < DOCUMENT_CLASSES_MAX; i++) {
		c = service_class(e->service, i);
		skip[i] = (o->failures > 0 && c->is_protected) ||
			  (c->between_tokens > 0 &&
			      o->slots.token_ms > c->between_tokens);
		if (!skip[i])
			continue;
		res = queue_head(&o->queue, i, now);
		skip[i] = res != NULL && now - res->queued < SLOW_ENGINE_WAIT;
	}
}

static void
owner_grant_free_slots(struct dispatch *d, msec now, struct engine *e)
{
	struct owner_state *o = e->owner_state;
	struct reservation *res;
	bool skip[DOCUMENT_CLASSES_MAX];

	while (o->queue.count > 0 && owner_has_slot(e, now)) {
		owner_skip_classes(e, now, skip);
		res = queue_next(&o->queue, skip, now);
		if (res == NULL)
			break;
		owner_grant(d, now, e, res);
	}
}

/* Tokens per ms that the engine generates when full; 0: unknown. */
static double
engine_token_rate(const struct engine *e)
{
	const struct slots *s = &e->owner_state->slots;

	if (s->request_ms == 0)
		return 0;
	return s->limit * s->request_cost / s->request_ms;
}

static msec
owner_expected_wait(struct engine *e, const struct reservation *res, msec now)
{
	struct queue *q = &e->owner_state->queue;
	double rate = engine_token_rate(e);

	if (rate == 0)
		return 0;
	rate = queue_class_rate(q, e->service, res, rate, now);
	return (msec)(queue_cost_ahead(q, res) / rate / DUPLICATE_RESERVATIONS);
}

static msec
retry_after(msec wait)
{
	return CLAMP(wait, RETRY_DELAY_MIN, RETRY_DELAY_MAX);
}

/*
 * If the queue is full, evicts a reservation of a lower tier, never a protected
 * one. Returns false if there is none.
 */
static bool
owner_evict_for(struct dispatch *d, msec now, struct engine *e,
    const struct reservation *res)
{
	struct reservation *victim;

	if (e->owner_state->queue.count < QUEUE_MAX)
		return true;
	victim = queue_victim(&e->owner_state->queue, res->tier);
	if (victim == NULL)
		return false;
	d->counters.evicted++;
	owner_refuse(d, victim->node, e->id, victim->id, SP_EVICTED,
	    retry_after(owner_expected_wait(e, victim, now)));
	reservation_free(e->owner_state, victim);
	return true;
}

/* A reservation sent again: repeats the reply, which may have been lost. */
static void
owner_repeat_reply(
    struct dispatch *d, msec now, struct engine *e, struct reservation *res)
{
	res->renewed_at = now;
	if (res->state == RESERVATION_GRANTED)
		owner_send_grant(d, e, res);
	else
		owner_send_queued(d, now, e, res);
}

/* Reports the expected wait; the entry node sends again less often then. */
static void
owner_send_queued(
    struct dispatch *d, msec now, struct engine *e, struct reservation *res)
{
	sp_msg m = { .kind = SP_QUEUED };

	m.sp_msg_u.queued.engine = e->id;
	m.sp_msg_u.queued.id = res->id;
	m.sp_msg_u.queued.wait_ms =
	    (unsigned int)owner_expected_wait(e, res, now);
	dispatch_post(d, res->node, &m);
}

static void
owner_enqueue(
    struct dispatch *d, msec now, struct engine *e, struct reservation *res)
{
	struct owner_state *o = e->owner_state;
	msec wait;

	if (!owner_evict_for(d, now, e, res)) {
		owner_refuse(d, res->node, e->id, res->id, SP_QUEUE_FULL,
		    retry_after(owner_expected_wait(e, res, now)));
		g_free(res);
		return;
	}
	RB_INSERT(reservation_tree, &o->tree, res);
	queue_insert(&o->queue, e->service, res);
	owner_grant_free_slots(d, now, e);
	if (res->state != RESERVATION_QUEUED)
		return;
	wait = owner_expected_wait(e, res, now);
	if (res->exempt || res->latest_start == MSEC_NEVER ||
	    now + wait <= res->latest_start) {
		owner_send_queued(d, now, e, res);
		return;
	}
	/* It could not start in time: refuse it now. */
	d->counters.hopeless++;
	log_debug("engine %" PRIx64 " refuses %u, expected wait %" PRId64 " ms",
	    e->id, res->id, wait);
	owner_refuse(d, res->node, e->id, res->id, SP_HOPELESS,
	    retry_after(wait - (res->latest_start - now)));
	reservation_free(o, res);
}

void
owner_on_reserve(struct dispatch *d, msec now, name_id node,
    uint64_t incarnation, const sp_reserve *m)
{
	struct engine *e = engine_owned(d, m->engine);
	struct reservation *res;

	if (e == NULL || e->leaving) {
		owner_refuse(d, node, m->engine, m->id,
		    e == NULL ? SP_NOT_OWNER : SP_ENGINE_GONE, 0);
		return;
	}
	res = reservation_find(e->owner_state, node, m->id);
	if (res != NULL) {
		owner_repeat_reply(d, now, e, res);
		return;
	}
	res = g_new0(struct reservation, 1);
	res->node = node;
	res->incarnation = incarnation;
	res->id = m->id;
	res->state = RESERVATION_QUEUED;
	res->class_index = MIN(m->class_index, DOCUMENT_CLASSES_MAX - 1);
	res->tier = m->tier;
	res->is_protected = (m->flags & SAVORY_RESERVE_PROTECTED) != 0;
	res->exempt =
	    res->is_protected || (m->flags & SAVORY_RESERVE_RESUMED) != 0;
	res->organisation = m->organisation;
	res->prompt = m->prompt_tokens;
	res->cost = MAX(1, m->expect_tokens);
	res->latest_start = m->start_ms == 0 ? MSEC_NEVER : now + m->start_ms;
	res->renewed_at = res->queued = now;
	owner_enqueue(d, now, e, res);
}

void
owner_on_cancel(struct dispatch *d, msec now, name_id node, const sp_cancel *m)
{
	struct engine *e = engine_owned(d, m->engine);
	struct reservation *res;

	if (e == NULL)
		return;
	res = reservation_find(e->owner_state, node, m->id);
	if (res == NULL)
		return;
	reservation_free(e->owner_state, res);
	owner_grant_free_slots(d, now, e);
}

static void
owner_record_failure(struct dispatch *d, msec now, struct engine *e)
{
	struct owner_state *o = e->owner_state;
	msec pause;

	slots_record_failure(&o->slots, now);
	if (now < o->failed_until)
		return;
	pause = FAILURE_PAUSE_MIN << MIN(o->failures, 5);
	o->failures++;
	o->failed_until = now + MIN(pause, FAILURE_PAUSE_MAX);
	timer_set(d, &o->wake, o->failed_until);
	log_debug("engine %" PRIx64 " failed, next try in %" PRId64 " ms",
	    e->id, o->failed_until - now);
}

static bool
engine_is_full(const struct engine *e)
{
	return e->owner_state->running >= engine_slot_limit(e);
}

static void
sample_init(struct slots_sample *one, const struct engine *e,
    const struct reservation *res, unsigned int first_token)
{
	memset(one, 0, sizeof *one);
	one->class = service_class(e->service, res->class_index);
	one->class_index = res->class_index;
	one->prompt = res->prompt;
	one->granted = res->granted;
	one->first_token = first_token;
}

/* Records a request's first token, once. */
static void
owner_record_first_token(msec now, struct engine *e, struct reservation *res,
    unsigned int first_token)
{
	struct slots_sample one;

	if (res->first_recorded)
		return;
	res->first_recorded = true;
	sample_init(&one, e, res, first_token);
	slots_record_first_token(
	    &e->owner_state->slots, now, &one, engine_is_full(e));
}

void
owner_on_done(struct dispatch *d, msec now, name_id node, const sp_done *m)
{
	struct engine *e = engine_owned(d, m->engine);
	struct reservation *res;
	struct slots_sample one;

	if (e == NULL)
		return;
	res = reservation_find(e->owner_state, node, m->id);
	if (res == NULL || res->state != RESERVATION_GRANTED)
		return;
	if (m->ok == 0) {
		owner_record_failure(d, now, e);
	} else if (m->ok == 1) {
		e->owner_state->failures = 0;
		sample_init(&one, e, res, m->first_token_ms);
		one.stream = m->stream_ms;
		one.tokens = m->tokens;
		owner_record_first_token(now, e, res, m->first_token_ms);
		slots_record_answer(
		    &e->owner_state->slots, now, &one, engine_is_full(e));
	}
	reservation_free(e->owner_state, res);
	owner_grant_free_slots(d, now, e);
}

/*
 * Renews the grants of an entry node. Requests that it reports as running
 * occupy slots also if a previous owner granted them, whose counts are lost.
 */
void
owner_on_running(struct dispatch *d, msec now, name_id node,
    uint64_t incarnation, const sp_running *m)
{
	struct engine *e = engine_owned(d, m->engine);
	struct reservation *res;
	unsigned int i, first;

	if (e == NULL)
		return;
	for (i = 0; i < m->list.list_len; i++) {
		res = reservation_find(
		    e->owner_state, node, m->list.list_val[i].id);
		if (res == NULL)
			res = reservation_add(e->owner_state, node, incarnation,
			    &m->list.list_val[i]);
		else if (res->state == RESERVATION_QUEUED)
			queue_remove(&e->owner_state->queue, res);
		if (res->state != RESERVATION_GRANTED) {
			res->state = RESERVATION_GRANTED;
			res->granted = now;
			e->owner_state->running++;
		}
		res->renewed_at = now;
		first = m->list.list_val[i].class_first >> 8;
		res->reports_first = first != FIRST_TOKEN_UNREPORTED;
		if (first != 0 && first != FIRST_TOKEN_UNREPORTED)
			owner_record_first_token(now, e, res, first - 1);
	}
	if (now < e->owner_state->adopt_limit_until &&
	    m->slots > e->owner_state->slots.limit)
		e->owner_state->slots.limit = m->slots;
	owner_grant_free_slots(d, now, e);
}

void
owner_acquire(struct dispatch *d, msec now, struct engine *e)
{
	struct owner_state *o;

	if (e->owner_state != NULL)
		return;
	o = e->owner_state = g_new0(struct owner_state, 1);
	RB_INIT(&o->tree);
	queue_init(&o->queue);
	slots_init(&o->slots, e->slots_hint, now);
	o->engine = e;
	o->wake.at = MSEC_NEVER;
	o->wake.fire = owner_pause_ended;
	if (g_hash_table_size(d->priv->peers) > 1) {
		o->hold_until = now + TAKEOVER_HOLD;
		o->adopt_limit_until = now + TAKEOVER_ADOPT;
		timer_set(d, &o->wake, o->hold_until);
	}
	d->counters.owner_changes++;
	log_debug("now owner of engine %" PRIx64, e->id);
}

void
owner_release(
    struct dispatch *d, msec now, struct engine *e, enum sp_refusal why)
{
	struct reservation *res;

	if (e->owner_state == NULL)
		return;
	RB_FOREACH (res, reservation_tree, &e->owner_state->tree) {
		if (res->state == RESERVATION_QUEUED)
			owner_refuse(d, res->node, e->id, res->id, why, 0);
	}
	timer_clear(d, &e->owner_state->wake);
	owner_free(e);
	log_debug("no longer owner of engine %" PRIx64, e->id);
}

/* Frees an owned engine's state without sending refusals. */
void
owner_free(struct engine *e)
{
	struct reservation *res;

	if (e->owner_state == NULL)
		return;
	while ((res = RB_MIN(reservation_tree, &e->owner_state->tree)) != NULL)
		reservation_free(e->owner_state, res);
	g_free(e->owner_state);
	e->owner_state = NULL;
}

/* Frees the reservations of an entry node that died or restarted. */
void
owner_release_node(
    struct dispatch *d, msec now, name_id node, uint64_t incarnation)
{
	GHashTableIter it;
	struct engine *e;
	struct reservation *res, *next;

	g_hash_table_iter_init(&it, d->priv->engines);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&e)) {
		if (e->owner_state == NULL)
			continue;
		RB_FOREACH_SAFE (
		    res, reservation_tree, &e->owner_state->tree, next) {
			if (res->node == node && res->incarnation < incarnation)
				reservation_free(e->owner_state, res);
		}
		owner_grant_free_slots(d, now, e);
	}
}

/*
 * Drops reservations that were not sent again or renewed in time, so that lost
 * messages and failed entry nodes do not leak slots.
 */
static void
owner_expire(struct dispatch *d, msec now, struct engine *e)
{
	struct owner_state *o = e->owner_state;
	struct reservation *res, *next;
	unsigned int stalled = 0;
	msec expiry;

	RB_FOREACH_SAFE (res, reservation_tree, &o->tree, next) {
		expiry = res->state == RESERVATION_QUEUED ? QUEUED_EXPIRY
							  : GRANT_EXPIRY;
		if (res->state == RESERVATION_GRANTED && res->reports_first &&
		    !res->first_recorded &&
		    slots_first_token_overdue(&o->slots, res->class_index,
			res->prompt, res->renewed_at - res->granted))
			stalled++;
		if (res->node == d->priv->self ||
		    now - res->renewed_at < expiry)
			continue;
		log_debug(
		    "engine %" PRIx64 " drops %u: not renewed", e->id, res->id);
		reservation_free(o, res);
	}
	slots_record_stalled(&o->slots, now, o->running, stalled);
	owner_grant_free_slots(d, now, e);
}

void
owner_expire_due(struct dispatch *d, msec now, struct timer *t)
{
	GHashTableIter it;
	struct engine *e;

	g_hash_table_iter_init(&it, d->priv->engines);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&e)) {
		if (e->owner_state != NULL)
			owner_expire(d, now, e);
	}
	timer_set(d, t, now + EXPIRY_INTERVAL);
}
