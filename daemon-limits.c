/*
 * Limits of organisations on the core: an admitted request holds its part of
 * the limits until it ends; shares between nodes are share.c's.
 */

#define LOG_PART "limits"
#include "daemon.h"

#include <inttypes.h>
#include <string.h>

/* What a request is taken to make when its caller does not say. */
#define LIMITS_TOKENS_GUESS 256
#define LIMITS_RETRY_AFTER_MS 1000
/* Calls over a limit are held for a loan or the next unit: so long, so many,
 * looked at so often; and while a started node waits for its first share
 * (DAEMON_YOUNG_MS). */
#define LIMITS_LOAN_MS 300
#define LIMITS_HELD_MAX 256
#define LIMITS_LOOK_MS 5

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

/* Nodes that take work; tells shares of each change. */
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
			     ? MIN(c->slot.max_tokens, LIMITS_TOKENS_GUESS)
			     : LIMITS_TOKENS_GUESS;
	if (!shares_take(&d->shares, now, c->service, c->organisation, tokens))
		return false;
	c->limited = true;
	c->limited_tokens = tokens;
	return true;
}

/*
 * How long a call over the limit is held. A loan from another node comes
 * within milliseconds; a node that has just started has no share of its own
 * before SHARE_RAISE is over, and would refuse everybody meanwhile.
 */
static msec
limits_hold(const struct daemon *d, msec now)
{
	return MAX(now + LIMITS_LOAN_MS, d->started + DAEMON_YOUNG_MS);
}

static void
limits_refuse(struct call *c, msec now)
{
	log_debug("%s: its organisation is over a limit", c->id);
	request_fail(
	    &c->request, now, REQUEST_CODE_LIMITED, LIMITS_RETRY_AFTER_MS);
}

/* True when the call may go on now; else it waits, or has been refused. */
bool
daemon_limits_take(struct daemon *d, struct call *c, msec now)
{
	if (limits_try(d, c, now))
		return true;
	/*
	 * Guards a protected class: its organisation's limit may be used up
	 * by the organisation's own routine work, and refusing a re-plan then
	 * would be shedding it for a lower tier. It goes on, uncounted.
	 */
	if (c->doc->doc.classes[c->class_index].is_protected)
		return true;
	if (d->nheld >= LIMITS_HELD_MAX) {
		limits_refuse(c, now);
		return false;
	}
	c->held_until = limits_hold(d, now);
	log_debug_of(LOG_REQUEST, c->id,
	    "%s is held for its organisation's limit, %" PRId64 " ms at most",
	    c->id, c->held_until - now);
	d->nheld++;
	call_take(c);
	TAILQ_INSERT_TAIL(&d->held, c, held_entry);
	return false;
}

/* Try the calls that wait for a loan again; the next time to look. */
msec
daemon_limits_tick(struct daemon *d, msec now)
{
	struct call *c, *next;
	bool ok, time;

	TAILQ_FOREACH_SAFE (c, &d->held, held_entry, next) {
		/* Held in vain, it would hear of it at our stop deadline. */
		time = daemon_stop_leaves_time(d, c, STOP_AHEAD_WHOLE, now);
		ok = c->open && time && limits_try(d, c, now);
		if (c->open && time && !ok && now < c->held_until)
			continue;
		TAILQ_REMOVE(&d->held, c, held_entry);
		d->nheld--;
		log_debug_of(LOG_REQUEST, c->id,
		    "%s is held no more, %" PRId64 " ms after it came", c->id,
		    now - c->arrived);
		if (ok)
			daemon_admit_go(d, c, now);
		else if (c->open && !time)
			daemon_admit_leaving(d, c, now);
		else if (c->open)
			limits_refuse(c, now);
		call_drop(c);
	}
	return TAILQ_EMPTY(&d->held) ? MSEC_NEVER : now + LIMITS_LOOK_MS;
}

void
daemon_limits_done(struct daemon *d, struct call *c, msec now)
{
	if (!c->limited)
		return;
	c->limited = false;
	shares_done(&d->shares, now, c->service, c->organisation,
	    c->limited_tokens, c->request.tokens);
}
