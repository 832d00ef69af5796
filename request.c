/*
 * The request's state machine; see request.h.
 */

#define LOG_PART "request"
#include "request.h"

static void request_finish(
    struct request *, msec, enum request_outcome, enum request_code, msec);
static void request_retry(struct request *, msec, enum request_code);
static bool request_retry_take(struct request_shared *);

#define RETRY_COST 1000

void
request_shared_init(struct request_shared *b, const struct request_ops *ops)
{
	*b = (struct request_shared){ .ops = ops };
	b->retry_credit = REQUEST_RETRY_BURST * RETRY_COST;
}

void
request_init(struct request *r, struct request_shared *b, bool repeatable,
    bool resumable)
{
	*r = (struct request){ .shared = b,
		.state = REQUEST_NEW,
		.repeatable = repeatable,
		.resumable = resumable };
	b->retry_credit = MIN(b->retry_credit + REQUEST_RETRY_PERMILLE,
	    REQUEST_RETRY_BURST * RETRY_COST);
}

void
request_claim(struct request *r)
{
	g_assert(r->state == REQUEST_NEW);
	r->state = REQUEST_CLAIMING;
}

void
request_go(struct request *r, msec now)
{
	if (r->state != REQUEST_NEW && r->state != REQUEST_CLAIMING)
		return;
	r->state = REQUEST_QUEUED;
	r->shared->ops->submit(r, now);
}

static void
request_finish(struct request *r, msec now, enum request_outcome outcome,
    enum request_code code, msec retry_after)
{
	r->state = REQUEST_DONE;
	r->attempt = 0;
	r->outcome = outcome;
	r->code = code;
	r->retry_after = retry_after;
	r->shared->outcomes[outcome]++;
	if (outcome != REQUEST_RAN)
		r->shared->wasted_tokens += r->tokens;
	r->shared->ops->finish(r, now);
}

void
request_fail(struct request *r, msec now, enum request_code code, msec after)
{
	enum request_outcome o = REQUEST_NOT_RUN;

	if (r->state == REQUEST_DONE)
		return;
	if (r->maybe_ran)
		o = REQUEST_UNKNOWN;
	request_finish(r, now, o, code, after);
}

void
request_fail_unknown(struct request *r, msec now, enum request_code code)
{
	r->maybe_ran = true;
	request_fail(r, now, code, 0);
}

void
request_joined(struct request *r, msec now, enum request_outcome outcome)
{
	if (r->state != REQUEST_NEW)
		return;
	request_finish(r, now, outcome, REQUEST_CODE_OK, 0);
}

void
request_granted(struct request *r, msec now)
{
	if (r->state != REQUEST_QUEUED)
		return;
	/*
	 * The state changes before any byte is sent. Otherwise a failure in
	 * between could report "not run" for a request that has run.
	 */
	r->state = REQUEST_DISPATCHED;
	r->attempt = ++r->attempts;
	if (r->tokens != 0)
		r->shared->resumed++;
	else if (r->maybe_ran) {
		r->repeats++;
		r->shared->repeated++;
	}
	r->shared->ops->start(r, now);
}

void
request_refused(struct request *r, msec now, enum request_code code, msec after)
{
	if (r->state != REQUEST_QUEUED)
		return;
	request_fail(r, now, code, after);
}

void
request_first(struct request *r, msec now, unsigned int attempt)
{
	if (attempt != r->attempt || r->state != REQUEST_DISPATCHED) {
		r->shared->late++;
		return;
	}
	r->maybe_ran = true;
	r->state = REQUEST_STREAMING;
}

/*
 * Limits retries to a fraction of new requests. Without the limit, engines that
 * fail under load receive the load again from every entry node and stay down.
 */
static bool
request_retry_take(struct request_shared *b)
{
	if (b->retry_credit < RETRY_COST) {
		b->retries_denied++;
		return false;
	}
	b->retry_credit -= RETRY_COST;
	b->retries++;
	return true;
}

static void
request_retry(struct request *r, msec now, enum request_code code)
{
	if (r->attempts >= REQUEST_ATTEMPTS_MAX) {
		log_debug("no retry: attempt limit reached");
		request_fail(r, now, code, MSEC_SECOND);
		return;
	}
	if (!request_retry_take(r->shared)) {
		log_debug("no retry: retry budget exhausted");
		request_fail(r, now, code, MSEC_SECOND);
		return;
	}
	r->state = REQUEST_QUEUED;
	r->attempt = 0;
	r->shared->ops->submit(r, now);
}

/* Handles the end of an attempt that may have executed. */
static void
request_broken(struct request *r, msec now)
{
	r->maybe_ran = true;
	if (!r->repeatable) {
		request_fail(r, now,
		    r->tokens == 0 ? REQUEST_CODE_BACKEND_FAILED
				   : REQUEST_CODE_BROKEN,
		    0);
		return;
	}
	if (r->state == REQUEST_STREAMING && !r->resumable) {
		/*
		 * Part of the answer was sent, and another run may differ from
		 * it, so the answer ends incomplete.
		 */
		request_fail(r, now, REQUEST_CODE_BROKEN, 0);
		return;
	}
	request_retry(r, now,
	    r->tokens == 0 ? REQUEST_CODE_BACKEND_FAILED : REQUEST_CODE_BROKEN);
}

void
request_ended(struct request *r, msec now, unsigned int attempt,
    enum attempt_end how, unsigned int tokens)
{
	if (attempt != r->attempt || r->state == REQUEST_DONE) {
		/* Abandoned earlier; its further tokens are wasted. */
		r->shared->late++;
		if (tokens > r->tokens)
			r->shared->wasted_tokens += tokens - r->tokens;
		return;
	}
	r->tokens = tokens;
	r->shared->ops->release(r, now, how);
	switch (how) {
	case ATTEMPT_WHOLE:
		request_finish(r, now, REQUEST_RAN, REQUEST_CODE_OK, 0);
		break;
	case ATTEMPT_UNSENT:
	case ATTEMPT_REJECTED:
		request_retry(r, now, REQUEST_CODE_UNREACHABLE);
		break;
	case ATTEMPT_BROKEN:
		request_broken(r, now);
		break;
	}
}

void
request_forwarded(struct request *r, msec now, unsigned int attempt,
    enum request_outcome outcome)
{
	if (attempt != r->attempt || r->state == REQUEST_DONE) {
		r->shared->late++;
		return;
	}
	r->shared->ops->release(r, now, ATTEMPT_WHOLE);
	request_finish(r, now, outcome, REQUEST_CODE_OK, 0);
}

void
request_preempt(struct request *r, msec now)
{
	if (r->state != REQUEST_STREAMING || !r->resumable || !r->repeatable)
		return;
	r->shared->ops->stop(r, now);
}

/* Ends the request in any state. */
static void
request_abandon(struct request *r, msec now, enum request_code code)
{
	switch (r->state) {
	case REQUEST_NEW:
	case REQUEST_CLAIMING:
		break;
	case REQUEST_QUEUED:
		r->shared->ops->withdraw(r, now);
		break;
	case REQUEST_DISPATCHED:
	case REQUEST_STREAMING:
		r->maybe_ran = true;
		r->shared->ops->stop(r, now);
		r->shared->ops->release(r, now, ATTEMPT_BROKEN);
		break;
	case REQUEST_DONE:
		return;
	}
	request_fail(r, now, code, 0);
}

void
request_caller_gone(struct request *r, msec now)
{
	request_abandon(r, now, REQUEST_CODE_CALLER_GONE);
}

void
request_cut(struct request *r, msec now)
{
	request_abandon(r, now, REQUEST_CODE_LEAVING);
}

const char *
request_outcome_name(enum request_outcome o)
{
	static const char *const names[] = { "ran", "not-run", "unknown" };

	return names[o];
}

const char *
request_code_name(enum request_code c)
{
	static const char *const names[] = { "ok", "overloaded", "hopeless",
		"no_backend", "limited", "unreachable", "backend_failed",
		"broken", "leaving", "claim_failed", "claim_unknown",
		"other_body", "bad_ticket", "caller_gone" };

	return names[c];
}
