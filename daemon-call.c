/*
 * Calls on the core: carries out the operations of the request's state machine
 * from arrival through dispatch to the end.
 */

#define LOG_PART "call"
#include "daemon.h"

#include <stdlib.h>
#include <string.h>

static void call_submit(struct request *, msec);
static void call_withdraw(struct request *, msec);
static void call_start(struct request *, msec);
static void call_stop(struct request *, msec);
static void call_release(struct request *, msec, enum attempt_end);
static void call_finish(struct request *, msec);
static void call_close(struct call *);

const struct request_ops daemon_request_ops = {
	.submit = call_submit,
	.withdraw = call_withdraw,
	.start = call_start,
	.stop = call_stop,
	.release = call_release,
	.finish = call_finish,
};

#define call_of_request(r) \
	((struct call *)(void *)((char *)(r)-offsetof(struct call, request)))

struct call *
call_new(struct daemon *d, struct MHD_Connection *connection)
{
	struct call *c = g_new0(struct call, 1);

	c->refs = 1;
	c->daemon = d;
	c->watched_fd = -1;
	STAILQ_INIT(&c->headers);
	answer_init(&c->answer, connection);
	return c;
}

struct call *
call_take(struct call *c)
{
	g_atomic_int_inc(&c->refs);
	return c;
}

void
call_free_body(struct call *c)
{
	g_atomic_pointer_add(&c->daemon->body_bytes, -(gssize)c->body_size);
	g_free(c->body);
	c->body = NULL;
	c->body_len = c->body_size = 0;
}

void
call_drop(struct call *c)
{
	struct call_header *h;

	if (!g_atomic_int_dec_and_test(&c->refs))
		return;
	while ((h = STAILQ_FIRST(&c->headers)) != NULL) {
		STAILQ_REMOVE_HEAD(&c->headers, entry);
		g_free(h->line);
		g_free(h);
	}
	answer_finish(&c->answer);
	if (c->doc != NULL)
		doc_ref_drop(c->doc);
	g_free(c->method);
	g_free(c->path);
	g_free(c->backend_path);
	g_free(c->argument);
	g_free(c->content_type);
	g_free(c->ticket);
	g_free(c->key);
	g_free(c->authorization);
	call_free_body(c);
	g_free(c);
}

/* ---- operations of the request's state machine ---- */

/*
 * Returns the backend server that failed last, if the service has another one,
 * else 0. Avoiding the only server would leave the request without an answer,
 * or end it as "hopeless" although that server has recovered.
 */
static name_id
call_avoid(const struct call *c)
{
	struct daemon *d = c->daemon;
	struct backend *b;

	if (c->slot.engine == 0)
		return 0;
	RB_FOREACH (b, backend_tree, &d->backends) {
		if (b->id != c->slot.engine && !b->vm.leaving &&
		    name_hash(b->vm.service) == c->service)
			return c->slot.engine;
	}
	return 0;
}

/*
 * While this node leaves, an attempt must be able to end before the stop
 * deadline. A stream that is resumed is exempt: it can only go on or break.
 */
static bool
call_has_time(const struct call *c, enum stop_remaining ahead, msec now)
{
	return c->request.tokens != 0 ||
	       daemon_stop_has_time_for(c->daemon, c, ahead, now);
}

static void
call_submit(struct request *r, msec now)
{
	struct call *c = call_of_request(r);

	if (!call_has_time(c, STOP_REMAINING_WAIT_AND_RUN, now)) {
		daemon_admit_refuse_late(c->daemon, c, now);
		return;
	}
	if (c->forward_to != 0) {
		request_granted(r, now);
		return;
	}
	c->slot.service = c->service;
	c->slot.class_index = c->class_index;
	c->slot.document_version = c->doc->doc.version;
	c->slot.organisation = c->organisation;
	c->slot.arrived = c->arrived;
	c->slot.arg = c;
	c->slot.avoid = call_avoid(c);
	c->slot.engine = 0;
	c->slot.resumed = r->tokens != 0;
	c->slot_held = true;
	dispatch_submit(&c->daemon->dispatch, now, &c->slot);
}

static void
call_withdraw(struct request *r, msec now)
{
	struct call *c = call_of_request(r);

	c->slot_held = false;
	dispatch_cancel(&c->daemon->dispatch, now, &c->slot);
}

/* Sends the call to the node that issued its ticket or first claimed its key;
 * that node decides whether it runs. */
static void
call_forward(struct call *c, msec now)
{
	struct daemon *d = c->daemon;
	struct member *m = members_find(&d->members, c->forward_to);

	if (m == NULL) {
		request_ended(
		    &c->request, now, c->request.attempt, ATTEMPT_BROKEN, 0);
		return;
	}
	g_atomic_pointer_set(&c->thread, d->engines[0]);
	engine_start(c->thread, c, m->address, m->caller_port);
}

/*
 * An engine that cannot resume starts each answer from the beginning: with a
 * stream to resume it would send the first tokens a second time.
 */
static bool
call_can_resume_on(const struct call *c, const struct backend *b)
{
	if (c->plain || c->request.tokens == 0)
		return true;
	return document_trait(&c->doc->doc, b->vm.name).resumes;
}

static void
call_start(struct request *r, msec now)
{
	struct call *c = call_of_request(r);
	struct daemon *d = c->daemon;
	struct backend *b = daemon_backend_find(d, c->slot.engine);

	c->dispatched = now;
	if (c->forward_to != 0) {
		call_forward(c, now);
		return;
	}
	if (b == NULL || !call_can_resume_on(c, b) ||
	    !daemon_ledger_may_run(c, now)) {
		/* b is NULL if the server left the VM list after the grant. */
		request_ended(r, now, r->attempt, ATTEMPT_UNSENT, r->tokens);
		return;
	}
	g_atomic_pointer_set(&c->thread,
	    d->engines[d->engine_next++ % d->settings.engine_threads]);
	engine_start(c->thread, c, b->vm.address, b->vm.port);
}

static void
call_stop(struct request *r, msec now)
{
	struct call *c = call_of_request(r);

	if (c->thread != NULL)
		engine_cancel(c->thread, c, r->attempt);
}

static void
call_release(struct request *r, msec now, enum attempt_end how)
{
	struct call *c = call_of_request(r);
	struct dispatch_result res = { .first_token = -1 };

	res.how = how == ATTEMPT_WHOLE ? DISPATCH_OK : DISPATCH_ENGINE_FAILED;
	if (c->answer.caller_left)
		res.how = DISPATCH_CALLER_LEFT;
	if (c->first != 0) {
		res.first_token = c->first - c->dispatched;
		res.stream = now - c->first;
		res.tokens = r->tokens;
	}
	if (!c->slot_held)
		return;
	c->slot_held = false;
	dispatch_done(&c->daemon->dispatch, now, &c->slot, &res);
}

static void
call_finish(struct request *r, msec now)
{
	struct call *c = call_of_request(r);

	log_debug_of(LOG_REQUEST, c->id, "%s ends: %s, %s", c->id,
	    request_outcome_name(r->outcome), request_code_name(r->code));
	daemon_metrics_ended(c->daemon, c, now);
	daemon_stop_record_duration(c->daemon, c, now);
	answer_end(&c->answer, r);
	join_complete(c->daemon->joins, c, now);
	daemon_ledger_ended(c->daemon, c, now);
	daemon_admit_ended(c->daemon, c);
	call_close(c);
}

static void
call_close(struct call *c)
{
	struct daemon *d = c->daemon;

	if (!c->open)
		return;
	c->open = false;
	TAILQ_REMOVE(&d->calls, c, entry);
	d->ncalls--;
	daemon_limits_done(d, c, msec_now());
	call_drop(c);
}

/* ---- events ---- */

void
daemon_call_arrived(struct daemon *d, struct call *c, msec now)
{
	if (c->kind == CALL_QUERY) {
		c->query(d, c, now);
		return;
	}
	d->last_call = now;
	call_take(c);
	c->open = true;
	TAILQ_INSERT_TAIL(&d->calls, c, entry);
	d->ncalls++;
	request_init(&c->request, &d->book, c->repeatable, !c->plain);
	daemon_admit_begin(c);
	if (answer_is_gone(&c->answer))
		request_caller_gone(&c->request, now);
	else
		daemon_admit(d, c, now);
}

void
daemon_call_joined(struct daemon *d, struct call *c, msec now)
{
	request_joined(&c->request, now, c->answer.outcome);
}

void
daemon_call_join_unknown(struct daemon *d, struct call *c, msec now)
{
	request_fail_unknown(&c->request, now, REQUEST_CODE_CLAIM_UNKNOWN);
}

void
daemon_call_gone(struct daemon *d, struct call *c, msec now)
{
	if (c->kind != CALL_REQUEST || !c->open)
		return;
	if (c->join != NULL) {
		/* The caller may retry with its key: the run goes on. */
		log_debug_of(LOG_REQUEST, c->id,
		    "%s: the caller has left, the run goes on", c->id);
		return;
	}
	log_debug_of(LOG_REQUEST, c->id, "%s: the caller has left", c->id);
	request_caller_gone(&c->request, now);
}

void
daemon_call_first(struct daemon *d, const struct event *e, msec now)
{
	struct call *c = e->call;

	if (e->attempt == c->request.attempt) {
		if (c->first == 0)
			c->first = e->at;
		if (c->slot_held)
			dispatch_first_token(&d->dispatch, now, &c->slot);
	}
	request_first(&c->request, now, e->attempt);
}

void
daemon_call_ended(struct daemon *d, const struct event *e, msec now)
{
	struct request *r = &e->call->request;

	/*
	 * A body that is not an event stream cannot be resumed: a second run
	 * would put another start into the middle of the answer.
	 */
	if (e->end == ATTEMPT_BROKEN && answer_is_fixed(&e->call->answer))
		r->resumable = false;
	if (e->call->forward_to != 0 && e->end == ATTEMPT_WHOLE)
		request_forwarded(r, now, e->attempt, e->forwarded);
	else
		request_ended(r, now, e->attempt, e->end, e->tokens);
}

/*
 * Refuses queued calls that could not end before the stop deadline even if they
 * got a backend server now. They would be cut at the deadline, while another
 * node could run them in the meantime.
 */
void
daemon_call_refuse_late(struct daemon *d, msec now)
{
	struct call *c, *next;

	TAILQ_FOREACH_SAFE (c, &d->calls, entry, next) {
		if (c->request.state != REQUEST_QUEUED ||
		    call_has_time(c, STOP_REMAINING_RUN, now))
			continue;
		call_withdraw(&c->request, now);
		daemon_admit_refuse_late(d, c, now);
	}
}

/* ---- callbacks of dispatch ---- */

static enum request_code
call_refusal_code(enum dispatch_refusal why)
{
	switch (why) {
	case DISPATCH_QUEUE_FULL:
	case DISPATCH_EVICTED:
		return REQUEST_CODE_OVERLOADED;
	case DISPATCH_HOPELESS:
		return REQUEST_CODE_HOPELESS;
	case DISPATCH_NO_ENGINE:
		return REQUEST_CODE_NO_BACKEND;
	case DISPATCH_LIMITED:
		return REQUEST_CODE_LIMITED;
	}
	return REQUEST_CODE_OVERLOADED;
}

static void
slot_granted(struct dispatch *dp, struct dispatch_request *slot)
{
	struct call *c = slot->arg;
	msec now = msec_now();

	if (!call_has_time(c, STOP_REMAINING_RUN, now)) {
		call_withdraw(&c->request, now);
		daemon_admit_refuse_late(c->daemon, c, now);
		return;
	}
	request_granted(&c->request, now);
}

static void
slot_refused(struct dispatch *dp, struct dispatch_request *slot,
    enum dispatch_refusal why, msec after)
{
	struct call *c = slot->arg;

	c->slot_held = false;
	request_refused(&c->request, msec_now(), call_refusal_code(why), after);
}

static void
slot_preempt(struct dispatch *dp, struct dispatch_request *slot)
{
	struct call *c = slot->arg;

	request_preempt(&c->request, msec_now());
}

static void
slot_send(struct dispatch *dp, name_id node, const sp_msg *msg)
{
	daemon_peers_send(dp->arg, node, msg);
}

const struct dispatch_ops daemon_dispatch_ops = {
	.send = slot_send,
	.granted = slot_granted,
	.refused = slot_refused,
	.preempt = slot_preempt,
};
