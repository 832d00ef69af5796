/*
 * Tests the state machine of requests: the reported outcome must be true for
 * any order of events of the attempts.
 */

#include "request.h"

#include <stdlib.h>
#include <string.h>

#define RANDOM_EVENTS 1200000
#define RANDOM_SEED 20261202
#define ANSWER_TOKENS 8

/* A request, and what really happened to it at the backend servers. */
struct test_request {
	struct request request;
	unsigned int
	    executions; /* times that a backend server began to run it */
	unsigned int live_attempt; /* attempt that a backend server works on */
	unsigned int
	    stopped_attempt;	/* attempt stopped, its end still to come */
	unsigned int delivered; /* tokens passed to the caller, in order */
	unsigned int finish_calls;
	bool queued;   /* queued in dispatch */
	bool has_slot; /* a slot is held */
	bool whole;    /* an attempt ended with the whole answer */
};

static void op_submit(struct request *, msec);
static void op_withdraw(struct request *, msec);
static void op_start(struct request *, msec);
static void op_stop(struct request *, msec);
static void op_release(struct request *, msec, enum attempt_end);
static void op_finish(struct request *, msec);

static const struct request_ops request_test_ops = { op_submit, op_withdraw,
	op_start, op_stop, op_release, op_finish };

static void
op_submit(struct request *r, msec now)
{
	struct test_request *p = (struct test_request *)r;

	g_assert_false(p->queued);
	g_assert_false(p->has_slot);
	p->queued = true;
}

static void
op_withdraw(struct request *r, msec now)
{
	((struct test_request *)r)->queued = false;
}

static void
op_start(struct request *r, msec now)
{
	struct test_request *p = (struct test_request *)r;

	g_assert_cmpuint(r->attempt, >, p->live_attempt);
	g_assert_cmpuint(r->tokens, ==, p->delivered);
	p->live_attempt = r->attempt;
}

static void
op_stop(struct request *r, msec now)
{
	struct test_request *p = (struct test_request *)r;

	p->stopped_attempt = p->live_attempt;
}

static void
op_release(struct request *r, msec now, enum attempt_end how)
{
	struct test_request *p = (struct test_request *)r;

	g_assert_true(p->has_slot);
	p->has_slot = false;
}

/* Checks the outcome against what really happened. */
static void
op_finish(struct request *r, msec now)
{
	struct test_request *p = (struct test_request *)r;

	p->finish_calls++;
	g_assert_cmpuint(p->finish_calls, ==, 1);
	g_assert_false(p->has_slot);
	if (r->outcome == REQUEST_NOT_RUN) {
		g_assert_cmpuint(p->executions, ==, 0);
		g_assert_cmpuint(p->delivered, ==, 0);
	}
	if (r->outcome == REQUEST_RAN) {
		g_assert_true(p->whole);
		g_assert_cmpuint(p->delivered, ==, ANSWER_TOKENS);
	}
	if (!r->repeatable)
		g_assert_cmpuint(p->executions, <=, 1);
}

static void
test_request_init(struct test_request *p, struct request_shared *b,
    bool repeatable, bool resumable)
{
	memset(p, 0, sizeof *p);
	request_init(&p->request, b, repeatable, resumable);
}

static void
test_request_grant(struct test_request *p)
{
	p->queued = false;
	p->has_slot = true;
	request_granted(&p->request, 0);
}

/* The live attempt delivers up to `tokens` tokens, then ends. */
static void
test_request_run_attempt(
    struct test_request *p, unsigned int tokens, enum attempt_end how)
{
	unsigned int attempt = p->request.attempt;

	if (how != ATTEMPT_UNSENT && how != ATTEMPT_REJECTED)
		p->executions++;
	if (tokens > p->delivered)
		request_first(&p->request, 0, attempt);
	p->delivered = MAX(p->delivered, tokens);
	p->whole |= how == ATTEMPT_WHOLE;
	request_ended(&p->request, 0, attempt, how, p->delivered);
}

static void
test_whole(void)
{
	struct request_shared b;
	struct test_request p;

	request_shared_init(&b, &request_test_ops);
	test_request_init(&p, &b, true, true);
	request_go(&p.request, 0);
	test_request_grant(&p);
	test_request_run_attempt(&p, ANSWER_TOKENS, ATTEMPT_WHOLE);
	g_assert_cmpint(p.request.outcome, ==, REQUEST_RAN);
	g_assert_cmpuint(b.wasted_tokens, ==, 0);
}

/*
 * A server reads a booking and closes the connection. The outcome must not be
 * "not run", since the booking may have been made, and it must not be retried.
 */
static void
test_booking_read_then_closed(void)
{
	struct request_shared b;
	struct test_request p;

	request_shared_init(&b, &request_test_ops);
	test_request_init(&p, &b, false, false);
	request_go(&p.request, 0);
	test_request_grant(&p);
	test_request_run_attempt(&p, 0, ATTEMPT_BROKEN);
	g_assert_cmpint(p.request.outcome, ==, REQUEST_UNKNOWN);
	g_assert_cmpuint(p.request.attempts, ==, 1);
}

/*
 * Servers refuse the connection before a byte is written. The booking did not
 * run, so it may be sent to another server; if all refuse, the outcome is
 * "not run".
 */
static void
test_booking_refused(void)
{
	struct request_shared b;
	struct test_request p;

	request_shared_init(&b, &request_test_ops);
	test_request_init(&p, &b, false, false);
	request_go(&p.request, 0);
	while (p.finish_calls == 0) {
		test_request_grant(&p);
		test_request_run_attempt(&p, 0, ATTEMPT_UNSENT);
	}
	g_assert_cmpint(p.request.outcome, ==, REQUEST_NOT_RUN);
	g_assert_cmpuint(p.request.attempts, ==, REQUEST_ATTEMPTS_MAX);
}

/*
 * An engine crashes after three tokens of an answer. The stream must continue
 * at the fourth token, from another engine.
 */
static void
test_crash_mid_answer(void)
{
	struct request_shared b;
	struct test_request p;

	request_shared_init(&b, &request_test_ops);
	test_request_init(&p, &b, true, true);
	request_go(&p.request, 0);
	test_request_grant(&p);
	test_request_run_attempt(&p, 3, ATTEMPT_BROKEN);
	g_assert_true(p.queued);
	test_request_grant(&p);
	g_assert_cmpuint(p.request.tokens, ==, 3);
	test_request_run_attempt(&p, ANSWER_TOKENS, ATTEMPT_WHOLE);
	g_assert_cmpint(p.request.outcome, ==, REQUEST_RAN);
	g_assert_cmpuint(b.resumed, ==, 1);
}

/*
 * The same crash where engines cannot resume: the stream must end as broken
 * with the outcome "unknown", and not continue with another engine's different
 * text.
 */
static void
test_crash_not_resumable(void)
{
	struct request_shared b;
	struct test_request p;

	request_shared_init(&b, &request_test_ops);
	test_request_init(&p, &b, true, false);
	request_go(&p.request, 0);
	test_request_grant(&p);
	test_request_run_attempt(&p, 3, ATTEMPT_BROKEN);
	g_assert_cmpint(p.request.outcome, ==, REQUEST_UNKNOWN);
	g_assert_cmpint(p.request.code, ==, REQUEST_CODE_BROKEN);
	g_assert_cmpuint(b.wasted_tokens, ==, 3);
}

/*
 * Guards against retries that multiply an overload: if all engines fail at
 * once, each request would be tried four times without a budget.
 */
static void
test_retry_budget(void)
{
	struct request_shared b;
	struct test_request p;
	unsigned int i, n = 2000;

	request_shared_init(&b, &request_test_ops);
	for (i = 0; i < n; i++) {
		test_request_init(&p, &b, true, true);
		request_go(&p.request, 0);
		while (p.finish_calls == 0) {
			test_request_grant(&p);
			test_request_run_attempt(&p, 0, ATTEMPT_BROKEN);
		}
		g_assert_cmpint(p.request.outcome, ==, REQUEST_UNKNOWN);
	}
	g_assert_cmpuint(b.retries, <=,
	    REQUEST_RETRY_BURST + n * REQUEST_RETRY_PERMILLE / 1000);
}

/*
 * Guards against a late end of a stopped attempt that ends the attempt after
 * it: it must be counted and dropped.
 */
static void
test_late_end(void)
{
	struct request_shared b;
	struct test_request p;

	request_shared_init(&b, &request_test_ops);
	test_request_init(&p, &b, true, true);
	request_go(&p.request, 0);
	test_request_grant(&p);
	test_request_run_attempt(&p, 2, ATTEMPT_BROKEN);
	test_request_grant(&p);
	request_ended(&p.request, 0, 1, ATTEMPT_WHOLE, 5);
	g_assert_cmpuint(b.late, ==, 1);
	g_assert_cmpint(p.request.state, ==, REQUEST_DISPATCHED);
	test_request_run_attempt(&p, ANSWER_TOKENS, ATTEMPT_WHOLE);
	g_assert_cmpint(p.request.outcome, ==, REQUEST_RAN);
}

/* Applies one random event to the request. */
static void
test_request_random_event(struct test_request *p, GRand *rng)
{
	struct request *r = &p->request;
	unsigned int attempt = r->attempt;

	switch (g_rand_int_range(rng, 0, 12)) {
	case 0:
		request_go(r, 0);
		break;
	case 1:
	case 2:
		if (p->queued)
			test_request_grant(p);
		break;
	case 3:
		if (p->queued) {
			p->queued = false;
			request_refused(r, 0, REQUEST_CODE_OVERLOADED, 100);
		}
		break;
	case 4:
		if (p->has_slot)
			test_request_run_attempt(
			    p, p->delivered, ATTEMPT_UNSENT);
		break;
	case 5:
		if (p->has_slot)
			test_request_run_attempt(
			    p, p->delivered, ATTEMPT_REJECTED);
		break;
	case 6:
	case 7:
		if (p->has_slot)
			test_request_run_attempt(p,
			    (unsigned int)g_rand_int_range(
				rng, (gint)p->delivered, ANSWER_TOKENS + 1),
			    ATTEMPT_BROKEN);
		break;
	case 8:
		if (p->has_slot)
			test_request_run_attempt(
			    p, ANSWER_TOKENS, ATTEMPT_WHOLE);
		break;
	case 9:
		/* Late, repeated and wrong reports of other attempts. */
		request_ended(r, 0, attempt + 1, ATTEMPT_WHOLE, 99);
		if (attempt > 1)
			request_ended(r, 0, attempt - 1, ATTEMPT_BROKEN, 1);
		request_first(r, 0, attempt + 1);
		break;
	case 10:
		if (g_rand_int_range(rng, 0, 10) != 0)
			break;
		/* The server may still run the request. */
		if (p->has_slot)
			p->executions++;
		p->queued = false;
		request_caller_gone(r, 0);
		break;
	case 11:
		if (p->has_slot)
			request_preempt(r, 0);
		break;
	}
}

/* Applies RANDOM_EVENTS random events to requests of all kinds. */
static void
test_random(void)
{
	GRand *rng = g_rand_new_with_seed(RANDOM_SEED);
	struct request_shared b;
	struct test_request p;
	unsigned int i, done = 0;

	g_test_message("seed %u", RANDOM_SEED);
	request_shared_init(&b, &request_test_ops);
	test_request_init(&p, &b, true, true);
	for (i = 0; i < RANDOM_EVENTS; i++) {
		test_request_random_event(&p, rng);
		if (p.finish_calls == 0)
			continue;
		done++;
		test_request_random_event(&p, rng);
		test_request_init(
		    &p, &b, g_rand_boolean(rng), g_rand_boolean(rng));
	}
	g_assert_cmpuint(done, >, RANDOM_EVENTS / 100);
	g_assert_cmpuint(b.outcomes[REQUEST_RAN], >, 1000);
	g_assert_cmpuint(b.outcomes[REQUEST_NOT_RUN], >, 1000);
	g_assert_cmpuint(b.outcomes[REQUEST_UNKNOWN], >, 1000);
	g_rand_free(rng);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/request/whole", test_whole);
	g_test_add_func(
	    "/request/booking-read-then-closed", test_booking_read_then_closed);
	g_test_add_func("/request/booking-refused", test_booking_refused);
	g_test_add_func("/request/crash-mid-answer", test_crash_mid_answer);
	g_test_add_func(
	    "/request/crash-not-resumable", test_crash_not_resumable);
	g_test_add_func("/request/retry-budget", test_retry_budget);
	g_test_add_func("/request/late-end", test_late_end);
	g_test_add_func("/request/random", test_random);
	return g_test_run();
}
