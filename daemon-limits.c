/*
 * Limits of organisations on the core: an admitted request holds its part of
 * the limits until it ends. share.c divides the limits among the nodes.
 */

#define LOG_PART "limits"
#include "daemon.h"

#include <inttypes.h>
#include <string.h>

/* Tokens reserved for a request at most, and if it sets no maximum. */
#define LIMITS_DEFAULT_TOKENS 256
#define LIMITS_RETRY_AFTER_MS 1000
/* Calls over a limit are held until a loan or a new unit arrives: for how long,
 * how many, and how often they are retried. A node that has just started holds
 * them until its first share can arrive (DAEMON_SHARE_WAIT_MS). */
#define LIMITS_HOLD_MS 300
#define LIMITS_HELD_MAX 256
#define LIMITS_RETRY_MS 5

static void limits_send(struct shares *, name_id, const sp_msg *);
static bool limits_find(struct shares *, name_id, name_id, struct doc_limits *);

static const struct share_ops limits_ops = {
	.send = limits_send,
	.limits = limits_find,
};

static void
limits_send(struct shares *s, name_id node, const sp_msg *msg)
{
	daemon_peers_send(s->arg, node, msg);
}

/* The limits of the document in force now. */
static bool
limits_find(struct shares *s, name_id service, name_id organisation,
    struct doc_limits *limits)
{
	const struct daemon *d = s->arg;
	const struct document *doc;
	unsigned int i, j;

	for (i = 0; i < d->docs->count; i++) {
		doc = &d->docs->list[i]->doc;
		if (name_hash(doc->service) != service)
			continue;
		for (j = 0; j < doc->norgs; j++) {
			if (name_hash(doc->orgs[j].name) != organisation)
				continue;
			*limits = doc->orgs[j].limits;
			return true;
		}
	}
	return false;
}

void
daemon_limits_init(struct daemon *d, msec now)
{
	shares_init(&d->shares, &limits_ops, name_hash(d->settings.node),
	    g_rand_int(d->rng), now);
	d->shares.arg = d;
	TAILQ_INIT(&d->held);
}

/* Passes the nodes that take work to shares. */
void
daemon_limits_nodes(struct daemon *d, msec now,
    const struct dispatch_node *nodes, unsigned int n)
{
	name_id *ids = g_new0(name_id, n + 1);
	unsigned int i, count = 0;

	for (i = 0; i < n; i++) {
		if (nodes[i].takes_work)
			ids[count++] = nodes[i].id;
	}
	shares_set_nodes(&d->shares, now, ids, count);
	g_free(ids);
}

static bool
limits_try(struct daemon *d, struct call *c, msec now)
{
	unsigned int tokens = 0;

	if (!c->plain)
		tokens = c->slot.max_tokens != 0
			     ? MIN(c->slot.max_tokens, LIMITS_DEFAULT_TOKENS)
			     : LIMITS_DEFAULT_TOKENS;
	if (!shares_admit(&d->shares, now, c->service, c->organisation, tokens))
		return false;
	c->limited = true;
	c->limited_tokens = tokens;
	return true;
}

/*
 * Returns until when a call over the limit is held. A loan from another node
 * arrives within milliseconds; a node that has just started has no share of its
 * own until SHARE_RAISE_DELAY has passed, and would refuse all calls until
 * then.
 */
static msec
limits_hold_until(const struct daemon *d, msec now)
{
	return MAX(now + LIMITS_HOLD_MS, d->started + DAEMON_SHARE_WAIT_MS);
}

static void
limits_refuse(struct call *c, msec now)
{
	log_debug("%s: its organisation is over a limit", c->id);
	request_fail(
	    &c->request, now, REQUEST_CODE_LIMITED, LIMITS_RETRY_AFTER_MS);
}

/* True when the call may go on now; else it is held or has been refused. */
bool
daemon_limits_take(struct daemon *d, struct call *c, msec now)
{
	if (limits_try(d, c, now))
		return true;
	/*
	 * A protected class goes on without being counted: the organisation's
	 * own routine work may have used up the limit, and a refusal would shed
	 * a protected request in favour of a lower tier.
	 */
	if (c->doc->doc.classes[c->class_index].is_protected)
		return true;
	if (d->nheld >= LIMITS_HELD_MAX) {
		limits_refuse(c, now);
		return false;
	}
	c->unlisted_kept_until = limits_hold_until(d, now);
	log_debug_of(LOG_REQUEST, c->id,
	    "%s is held for its organisation's limit, %" PRId64 " ms at most",
	    c->id, c->unlisted_kept_until - now);
	d->nheld++;
	call_take(c);
	TAILQ_INSERT_TAIL(&d->held, c, held_entry);
	return false;
}

/* Retries the held calls; returns the time of the next retry. */
msec
daemon_limits_tick(struct daemon *d, msec now)
{
	struct call *c, *next;
	bool ok, time;

	TAILQ_FOREACH_SAFE (c, &d->held, held_entry, next) {
		/* A call without time is refused now, not at the deadline. */
		time = daemon_stop_has_time_for(
		    d, c, STOP_REMAINING_WAIT_AND_RUN, now);
		ok = c->open && time && limits_try(d, c, now);
		if (c->open && time && !ok && now < c->unlisted_kept_until)
			continue;
		TAILQ_REMOVE(&d->held, c, held_entry);
		d->nheld--;
		log_debug_of(LOG_REQUEST, c->id,
		    "%s is no longer held, %" PRId64 " ms after it arrived",
		    c->id, now - c->arrived);
		if (ok)
			daemon_admit_continue(d, c, now);
		else if (c->open && !time)
			daemon_admit_refuse_late(d, c, now);
		else if (c->open)
			limits_refuse(c, now);
		call_drop(c);
	}
	return TAILQ_EMPTY(&d->held) ? MSEC_NEVER : now + LIMITS_RETRY_MS;
}

void
daemon_limits_done(struct daemon *d, struct call *c, msec now)
{
	if (!c->limited)
		return;
	c->limited = false;
	shares_request_ended(&d->shares, now, c->service, c->organisation,
	    c->limited_tokens, c->request.tokens);
}
