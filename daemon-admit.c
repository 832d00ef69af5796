/*
 * Admission: decides by ticket and Idempotency-Key whether a request runs on
 * this node, joins an earlier run or is forwarded to another node. A request
 * that is not admitted is answered at once with its actual outcome.
 */

#define LOG_PART "admit"
#include "daemon.h"

#define ADMIT_RETRY_AFTER_MS 1000

static void admit_ticket(struct daemon *, struct call *, msec);
static void admit_join(struct daemon *, struct call *, msec, bool);
static void admit_refuse(struct call *, msec, enum request_code);
static void
admit_forward(struct daemon *, struct call *, const struct ticket *, msec);

/*
 * A caller sends the same ticket, or the same key of a request that must not
 * run twice, with each retry of one request. Until it is proven that no earlier
 * try has run, a failure must not be reported as "not run": the caller would
 * conclude that the booking of an earlier, perhaps successful try was not made.
 */
void
daemon_admit_begin(struct call *c)
{
	c->request.maybe_ran =
	    c->ticket != NULL || (c->key != NULL && !c->repeatable);
}

/* Lists other entry VMs to which the caller may send the request. */
static void
admit_alternates(struct daemon *d, struct call *c)
{
	struct directory_answer a;
	const struct member *to[1 + DIRECTORY_ALTERNATES];
	char at[ENDPOINT_SIZE], text[sizeof c->answer.alternates] = "";
	unsigned int i, n = 0;

	directory_choose(&d->members, d->settings.domain, d->rng, &a);
	to[0] = a.best;
	for (i = 0; i < DIRECTORY_ALTERNATES; i++)
		to[1 + i] = a.alternates[i];
	for (i = 0; i < G_N_ELEMENTS(to) && n < DIRECTORY_ALTERNATES; i++) {
		if (to[i] == NULL)
			continue;
		if (n++ != 0)
			g_strlcat(text, ", ", sizeof text);
		endpoint_text(at, to[i]->address, to[i]->caller_port);
		g_strlcat(text, at, sizeof text);
	}
	answer_alternates(&c->answer, text);
}

static void
admit_refuse_leaving(struct daemon *d, struct call *c, msec now)
{
	admit_alternates(d, c);
	request_fail(
	    &c->request, now, REQUEST_CODE_LEAVING, ADMIT_RETRY_AFTER_MS);
}

void
daemon_admit_refuse_late(struct daemon *d, struct call *c, msec now)
{
	d->stop_no_time++;
	log_debug_of(
	    LOG_REQUEST, c->id, "%s: no time left before the stop", c->id);
	admit_refuse_leaving(d, c, now);
}

/*
 * Checks new work against the stop and the organisation's limits. Retries of
 * admitted work skip these checks: they cost nothing, and this node may be the
 * only one that has their answer.
 */
static void
admit_new_work(struct daemon *d, struct call *c, msec now)
{
	if (daemon_stop_is_past_grace(d, now)) {
		admit_refuse_leaving(d, c, now);
		return;
	}
	if (!daemon_stop_has_time_for(d, c, STOP_REMAINING_WAIT_AND_RUN, now)) {
		daemon_admit_refuse_late(d, c, now);
		return;
	}
	if (daemon_limits_take(d, c, now))
		daemon_admit_continue(d, c, now);
}

void
daemon_admit(struct daemon *d, struct call *c, msec now)
{
	if (c->ticket != NULL)
		admit_ticket(d, c, now);
	else if (c->key != NULL && join_exists(d->joins, c))
		admit_join(d, c, now, false);
	else
		admit_new_work(d, c, now);
}

/* The call has passed the checks for new work. */
void
daemon_admit_continue(struct daemon *d, struct call *c, msec now)
{
	if (c->ticket != NULL || c->key != NULL)
		admit_join(d, c, now, true);
	else
		request_go(&c->request, now);
}

static void
admit_ticket(struct daemon *d, struct call *c, msec now)
{
	struct ticket t;

	switch (ticket_use(
	    &d->tickets, now, c->ticket, c->organisation, c->body_hash, &t)) {
	case TICKET_RUN:
		c->ticket_taken = true;
		c->request.maybe_ran = false;
		admit_new_work(d, c, now);
		break;
	case TICKET_USED:
		admit_join(d, c, now, false);
		break;
	case TICKET_OTHER_NODE:
		admit_forward(d, c, &t, now);
		break;
	case TICKET_OLD_INCARNATION:
	case TICKET_EXPIRED:
		request_fail_unknown(
		    &c->request, now, REQUEST_CODE_CLAIM_UNKNOWN);
		break;
	case TICKET_OTHER_BODY:
		admit_refuse(c, now, REQUEST_CODE_OTHER_BODY);
		break;
	case TICKET_OTHER_ORGANISATION:
	case TICKET_INVALID:
		admit_refuse(c, now, REQUEST_CODE_BAD_TICKET);
		break;
	}
}

/*
 * Only the node incarnation that issued a ticket records its use. If it is
 * gone, the request may or may not have run there: the outcome is "unknown".
 */
static void
admit_forward(
    struct daemon *d, struct call *c, const struct ticket *t, msec now)
{
	struct member *m = members_find(&d->members, name_hash(t->node));

	if (m == NULL || m->incarnation != t->incarnation ||
	    m->state == MEMBER_DEAD) {
		request_fail_unknown(
		    &c->request, now, REQUEST_CODE_CLAIM_UNKNOWN);
		return;
	}
	daemon_forward(d, c, m, now);
}

void
daemon_forward(
    struct daemon *d, struct call *c, const struct member *m, msec now)
{
	log_debug_of(
	    LOG_REQUEST, c->id, "%s is forwarded to %s", c->id, m->name);
	c->forward_to = m->id;
	/* It may have run there before, however this attempt ends. */
	c->request.maybe_ran = true;
	c->request.resumable = false;
	c->request.repeatable = false;
	request_go(&c->request, now);
}

/*
 * `fresh`: the ticket shows no earlier run. A used ticket whose first use is no
 * longer in the join table is never run again.
 */
static void
admit_join(struct daemon *d, struct call *c, msec now, bool fresh)
{
	switch (join_lookup_or_add(d->joins, c, fresh)) {
	case JOIN_FIRST:
		if (c->key != NULL && !c->repeatable)
			daemon_ledger_claim(d, c, now);
		else
			request_go(&c->request, now);
		break;
	case JOIN_WAITING:
		break;
	case JOIN_ANSWERED:
		daemon_call_joined(d, c, now);
		break;
	case JOIN_ANSWER_UNKNOWN:
		daemon_call_join_unknown(d, c, now);
		break;
	case JOIN_OTHER_BODY:
		admit_refuse(c, now, REQUEST_CODE_OTHER_BODY);
		break;
	case JOIN_FULL:
		request_fail(&c->request, now, REQUEST_CODE_OVERLOADED,
		    ADMIT_RETRY_AFTER_MS);
		break;
	}
}

/* The ticket or key is invalid or belongs to another request. */
static void
admit_refuse(struct call *c, msec now, enum request_code code)
{
	c->request.maybe_ran = false;
	request_fail(&c->request, now, code, 0);
}

/* A ticket whose call ended without a run may be used again. */
void
daemon_admit_ended(struct daemon *d, struct call *c)
{
	if (c->ticket_taken && c->request.outcome == REQUEST_NOT_RUN)
		ticket_mark_unused(&d->tickets, c->ticket);
}
