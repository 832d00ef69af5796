/*
 * Freshness checks shared between nodes; see relay.h.
 */

#define LOG_PART "relay"
#include "relay.h"

#include <string.h>

#include <xxhash.h>

/*
 * Intervals in percent of `every`: between a reader's reads, between queries,
 * until the next query if the last one confirmed nothing, from the last
 * confirmation until this node reads itself, and between reads during a burst
 * of changes.
 */
#define RELAY_READ_INTERVAL_PERCENT 60
#define RELAY_POLL_PERCENT 75
#define RELAY_REPOLL_PERCENT 25
#define RELAY_UNCONFIRMED_PERCENT 150
#define RELAY_BURST_PERCENT 50
/*
 * Delay of a read after failures, in percent of `every`: doubled from the least
 * to the most, plus a jitter of up to as much again. With the timeout of a call
 * (0.9 s) the maximum stays below the 2.3 s for which an unlisted server is
 * kept, so that no such period ends between two calls to an unreachable
 * platform.
 */
#define RELAY_RETRY_MIN_PERCENT 25
#define RELAY_RETRY_MAX_PERCENT 60
/* Nodes that polled within this multiple of `every` are notified of changes. */
#define RELAY_POLLER_TTL_TIMES 3
/*
 * A node that polled twice within this multiple of `every` uses the local node
 * as its reader.
 */
#define RELAY_POLLED_TIMES 2
/*
 * Queries without a recent reply until the next candidate is polled, and how
 * long that candidate is used, in multiples of `every`.
 */
#define RELAY_UNCONFIRMED_MAX 3
#define RELAY_CANDIDATE_TIMES 20
/* Age on the wire of a subject that was never confirmed. */
#define RELAY_AGE_UNKNOWN UINT32_MAX

void
relay_drop_confirmations(struct relay *r)
{
	unsigned int i;

	for (i = 0; i < RELAY_SUBJECTS; i++)
		r->known[i] =
		    (struct relay_freshness){ .mark = r->known[i].mark,
			    .confirmed = MSEC_NEVER,
			    .asked = -1,
			    .differed = -1 };
}

void
relay_init(
    struct relay *r, const struct relay_ops *ops, name_id self, msec every)
{
	*r = (struct relay){
		.ops = ops, .self = self, .every = every, .reader = self
	};
	relay_drop_confirmations(r);
}

static uint64_t
relay_weight(name_id node, uint64_t group)
{
	uint64_t words[2] = { node, group };

	return XXH64(words, sizeof words, 5);
}

/* The candidates for a group's reader in descending order of weight. */
static void
relay_candidates(
    const name_id *nodes, unsigned int n, uint64_t group, name_id *best)
{
	uint64_t weights[RELAY_CANDIDATES] = { 0 }, weight;
	unsigned int i, k, j;

	memset(best, 0, RELAY_CANDIDATES * sizeof *best);
	for (i = 0; i < n; i++) {
		weight = relay_weight(nodes[i], group + 1);
		for (k = 0; k < RELAY_CANDIDATES; k++) {
			if (best[k] == 0 || weight > weights[k])
				break;
		}
		for (j = RELAY_CANDIDATES; j-- > k + 1;) {
			best[j] = best[j - 1];
			weights[j] = weights[j - 1];
		}
		if (k < RELAY_CANDIDATES) {
			best[k] = nodes[i];
			weights[k] = weight;
		}
	}
}

/* Sets the reader to the current candidate; a new one is polled at once. */
static void
relay_set_reader(struct relay *r)
{
	name_id reader = r->candidates[r->current];

	if (reader == 0) {
		r->current = 0;
		reader = r->candidates[0] != 0 ? r->candidates[0] : r->self;
	}
	if (reader == r->reader)
		return;
	r->reader = reader;
	r->unconfirmed = 0;
	r->next_ask = 0;
}

/*
 * Changes to the next candidate after several queries without a recent reply.
 * Guards against a group whose nodes all read for themselves while their reader
 * is refused by the platform, or dead and still listed as a member.
 */
static void
relay_check_reader(struct relay *r, msec now)
{
	if (r->current != 0 &&
	    now - r->switched_at >= r->every * RELAY_CANDIDATE_TIMES) {
		r->current = 0;
		relay_set_reader(r);
		return;
	}
	if (r->reader == r->self)
		r->unconfirmed = r->known[RELAY_CONFIGURATION].failures;
	else if (r->seq != 0 && !r->answered)
		r->unconfirmed++;
	if (r->unconfirmed < RELAY_UNCONFIRMED_MAX)
		return;
	r->current = (r->current + 1) % RELAY_CANDIDATES;
	r->switched_at = now;
	relay_set_reader(r);
}

/*
 * A node may be the reader of a group of which it is not a member. It must read
 * from the platform then: if it polled its own group's reader, its state would
 * be too old for the nodes that poll it, and they would all read for
 * themselves.
 */
void
relay_set_nodes(struct relay *r, const name_id *nodes, unsigned int n)
{
	unsigned int groups =
	    MAX(1, (n + RELAY_GROUP_NODES - 1) / RELAY_GROUP_NODES);
	uint64_t own = relay_weight(r->self, 0) % groups, group;
	name_id best[RELAY_CANDIDATES], first = r->candidates[0];

	relay_candidates(nodes, n, ~(uint64_t)r->seq, r->drawn);
	memset(r->candidates, 0, sizeof r->candidates);
	for (group = 0; group < groups && n > 0; group++) {
		relay_candidates(nodes, n, group, best);
		if (group == own || best[0] == r->self)
			memcpy(r->candidates, best, sizeof best);
		if (best[0] == r->self)
			break;
	}
	if (r->candidates[0] != first)
		r->current = 0;
	relay_set_reader(r);
}

/* ---- local state ---- */

static void
relay_encode_marks(const struct relay *r, msec now, uint32_t seq, sp_msg *msg)
{
	sp_relay_tell *t = &msg->sp_msg_u.relay_tell;
	const struct relay_freshness *k;
	unsigned int i;

	msg->kind = SP_RELAY_TELL;
	t->seq = seq;
	for (i = 0; i < RELAY_SUBJECTS; i++) {
		k = &r->known[i];
		t->known[i].mark = k->mark;
		t->known[i].age_ms = k->confirmed == MSEC_NEVER
					 ? RELAY_AGE_UNKNOWN
					 : (u_int)(now - k->confirmed);
	}
}

static void
relay_notify_pollers(struct relay *r, msec now, enum relay_subject s)
{
	name_id pollers[G_N_ELEMENTS(r->pollers)];
	sp_msg msg = { 0 };
	unsigned int i, n = 0;

	relay_encode_marks(r, now, 0, &msg);
	for (i = 0; i < G_N_ELEMENTS(r->pollers); i++) {
		if (r->pollers[i].node != 0 &&
		    now - r->pollers[i].at <= r->every * RELAY_POLLER_TTL_TIMES)
			pollers[n++] = r->pollers[i].node;
	}
	r->ops->news(r, s, pollers, n);
	for (i = 0; i < n; i++)
		r->ops->send(r, pollers[i], &msg);
}

void
relay_read_succeeded(
    struct relay *r, msec now, enum relay_subject s, uint64_t mark, msec asked)
{
	struct relay_freshness *k = &r->known[s];
	bool changed = k->confirmed != MSEC_NEVER && k->mark != mark;

	k->mark = mark;
	k->failures = 0;
	if (k->confirmed == MSEC_NEVER || asked > k->confirmed)
		k->confirmed = asked;
	relay_read_unusable(r, s, asked);
	if (changed) {
		r->counters.news++;
		relay_notify_pollers(r, now, s);
	}
}

void
relay_state_received(struct relay *r, enum relay_subject s, uint64_t mark)
{
	if (r->known[s].mark == mark)
		return;
	r->known[s].mark = mark;
	/* The reader's next reply confirms the new mark. */
	r->known[s].differed = -1;
}

void
relay_read_unusable(struct relay *r, enum relay_subject s, msec asked)
{
	r->known[s].asked = MAX(r->known[s].asked, asked);
	r->known[s].failures = 0;
}

void
relay_read_failed(struct relay *r, msec now, enum relay_subject s)
{
	struct relay_freshness *k = &r->known[s];
	msec wait = r->every * RELAY_RETRY_MIN_PERCENT / 100,
	     most = r->every * RELAY_RETRY_MAX_PERCENT / 100;

	/*
	 * The delay does not grow before the first successful read, as the node
	 * cannot serve without one.
	 */
	if (k->confirmed != MSEC_NEVER)
		wait = MIN(wait << MIN(k->failures, 4), most);
	k->failures++;
	/* Jitter, so that nodes that failed together do not retry together. */
	wait += (msec)(relay_weight(r->self, (uint64_t)now) % (wait + 1));
	k->retry_at = now + wait;
}

/* Returns true if other nodes use the local node as their reader. */
static bool
relay_has_pollers(const struct relay *r, msec now)
{
	const struct relay_poller *a;
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(r->pollers); i++) {
		a = &r->pollers[i];
		if (a->before != 0 &&
		    now - a->before <= r->every * RELAY_POLLED_TIMES)
			return true;
	}
	return false;
}

/* When a read is due, without the delay after failures. */
static msec
relay_due_at(const struct relay *r, msec now, enum relay_subject s)
{
	const struct relay_freshness *k = &r->known[s];
	msec at = k->asked + r->every * RELAY_READ_INTERVAL_PERCENT / 100;

	if (k->asked < 0)
		return 0;
	/*
	 * A read that had started before the other mark was received may not
	 * contain the change. Changes come in bursts, so one read serves
	 * several of them.
	 */
	if (k->differed > k->asked)
		return k->asked + r->every * RELAY_BURST_PERCENT / 100;
	/* No read has given a usable state yet. */
	if (k->confirmed == MSEC_NEVER)
		return k->asked + r->every;
	if (r->reader == r->self || relay_has_pollers(r, now))
		return at;
	return MAX(
	    at, k->confirmed + r->every * RELAY_UNCONFIRMED_PERCENT / 100);
}

msec
relay_due(const struct relay *r, msec now, enum relay_subject s)
{
	const struct relay_freshness *k = &r->known[s];
	msec at = relay_due_at(r, now, s);

	if (k->failures > 0)
		at = MAX(at, k->retry_at);
	return MAX(at - now, 0);
}

/* ---- messages ---- */

static void
relay_note_poller(struct relay *r, msec now, name_id node)
{
	struct relay_poller *a, *oldest = &r->pollers[0];
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(r->pollers); i++) {
		a = &r->pollers[i];
		if (a->node == node) {
			a->before = a->at;
			a->at = now;
			return;
		}
		if (a->at < oldest->at)
			oldest = a;
	}
	*oldest = (struct relay_poller){ node, now, 0 };
}

/*
 * Handles a mark received from another node. That node had confirmed the mark
 * `age_ms` before it sent the reply, and it sent the reply after the local
 * query. So the state was current at some time after the query minus the age.
 * The time at which the reply arrived must not be used: the reply may have been
 * delayed, or the local process paused.
 */
static void
relay_compare_mark(struct relay *r, msec now, enum relay_subject s,
    const sp_relay_known *told, bool answer)
{
	struct relay_freshness *k = &r->known[s];
	msec then;

	if (told->age_ms == RELAY_AGE_UNKNOWN || k->confirmed == MSEC_NEVER)
		return;
	if (told->mark != k->mark) {
		k->differed = now;
		r->ops->differed(r, s, now);
		return;
	}
	then = r->asked - told->age_ms;
	if (!answer || then <= k->confirmed)
		return;
	k->confirmed = then;
	r->counters.proofs++;
	r->ops->confirmed(r, s, then);
}

/*
 * New value of `unconfirmed` after a reply; 0 while the local node has no
 * confirmed state, since in a new deployment no node has any yet.
 */
static unsigned int
relay_unconfirmed(const struct relay *r, u_int age_ms)
{
	if (r->known[RELAY_CONFIGURATION].confirmed == MSEC_NEVER)
		return 0;
	return age_ms <= r->every ? 0 : r->unconfirmed + 1;
}

static void
relay_receive_marks(
    struct relay *r, msec now, name_id from, const sp_relay_tell *t)
{
	bool answer = t->seq != 0 && t->seq == r->seq;
	unsigned int i;

	r->counters.told++;
	if (answer && from == r->reader) {
		r->answered = true;
		r->unconfirmed =
		    relay_unconfirmed(r, t->known[RELAY_CONFIGURATION].age_ms);
		if (r->unconfirmed == 0)
			r->next_ask =
			    r->asked + r->every * RELAY_POLL_PERCENT / 100;
	}
	for (i = 0; i < RELAY_SUBJECTS; i++)
		relay_compare_mark(r, now, i, &t->known[i], answer);
}

void
relay_receive(struct relay *r, msec now, name_id from, const sp_msg *msg)
{
	sp_msg reply = { 0 };

	switch (msg->kind) {
	case SP_RELAY_ASK:
		relay_note_poller(r, now, from);
		relay_encode_marks(r, now, msg->sp_msg_u.relay_ask.seq, &reply);
		r->ops->send(r, from, &reply);
		break;
	case SP_RELAY_TELL:
		relay_receive_marks(r, now, from, &msg->sp_msg_u.relay_tell);
		break;
	default:
		break;
	}
}

/*
 * The reader, and drawn nodes as well if the last query brought nothing recent
 * or reads of this node fail.
 */
static void
relay_send_query(struct relay *r)
{
	sp_msg msg = { .kind = SP_RELAY_ASK };
	unsigned int i;

	msg.sp_msg_u.relay_ask.seq = r->seq;
	if (r->reader != r->self)
		r->ops->send(r, r->reader, &msg);
	for (i = 0; i < RELAY_CANDIDATES && r->unconfirmed > 0; i++) {
		if (r->drawn[i] != 0 && r->drawn[i] != r->self &&
		    r->drawn[i] != r->reader)
			r->ops->send(r, r->drawn[i], &msg);
	}
}

msec
relay_tick(struct relay *r, msec now)
{
	if (now < r->next_ask)
		return r->next_ask;
	relay_check_reader(r, now);
	r->next_ask = now + r->every *
				(r->reader == r->self ? RELAY_POLL_PERCENT
						      : RELAY_REPOLL_PERCENT) /
				100;
	if (r->reader == r->self && r->unconfirmed == 0)
		return r->next_ask;
	if (++r->seq == 0)
		r->seq = 1;
	r->answered = false;
	r->asked = now;
	r->counters.asked++;
	relay_send_query(r);
	return r->next_ask;
}
