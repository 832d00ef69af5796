/*
 * Proofs of the newest state, passed from node to node; see relay.h.
 */

#define LOG_PART "relay"
#include "relay.h"

#include <string.h>

#include <xxhash.h>

/*
 * Parts of `every`, in percent: between a reader's reads, between questions,
 * until one in vain is asked again, until a read of our own, and between reads
 * of many changes.
 */
#define RELAY_READ_PERCENT 60
#define RELAY_ASK_PERCENT 75
#define RELAY_AGAIN_PERCENT 25
#define RELAY_ALONE_PERCENT 150
#define RELAY_BURST_PERCENT 50
/*
 * The same after failures: doubled from the least to the most, and up to as
 * much again. With the time that a call without an answer takes (0.9 s) the
 * most stays under the 2.3 s for which a server that is not listed is held, so
 * that no hold lapses between two calls to a platform that is away.
 */
#define RELAY_RETRY_LEAST_PERCENT 25
#define RELAY_RETRY_MOST_PERCENT 60
/* Who did not ask for so many times `every` is not told of changes. */
#define RELAY_ASKER_TIMES 3
/* Who has asked twice within so many times `every` takes us for its reader. */
#define RELAY_ASKED_TIMES 2
/* Questions in vain until another candidate is asked, and for how long. */
#define RELAY_VAIN 3
#define RELAY_TURN_TIMES 20
/* An age that says: never known. */
#define RELAY_NEVER UINT32_MAX

void
relay_forget(struct relay *r)
{
	unsigned int i;

	for (i = 0; i < RELAY_SUBJECTS; i++)
		r->known[i] = (struct relay_known){ .mark = r->known[i].mark,
			.proven = MSEC_NEVER,
			.asked = -1,
			.look = -1 };
}

void
relay_init(
    struct relay *r, const struct relay_ops *ops, name_id self, msec every)
{
	*r = (struct relay){
		.ops = ops, .self = self, .every = every, .reader = self
	};
	relay_forget(r);
}

static uint64_t
relay_weight(name_id node, uint64_t group)
{
	uint64_t words[2] = { node, group };

	return XXH64(words, sizeof words, 5);
}

/* Those that read for a group, the first by weight; the others if it cannot. */
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

/* Ask the candidate whose turn it is; one that is new is asked soon. */
static void
relay_ask_turn(struct relay *r)
{
	name_id reader = r->candidates[r->turn];

	if (reader == 0) {
		r->turn = 0;
		reader = r->candidates[0] != 0 ? r->candidates[0] : r->self;
	}
	if (reader == r->reader)
		return;
	r->reader = reader;
	r->vain = 0;
	r->next_ask = 0;
}

/*
 * Guards against a group that reads for itself, each node, for as long as its
 * reader is turned away by the platform, or lost and not yet known to be.
 */
static void
relay_judge(struct relay *r, msec now)
{
	if (r->turn != 0 && now - r->turned >= r->every * RELAY_TURN_TIMES) {
		r->turn = 0;
		relay_ask_turn(r);
		return;
	}
	if (r->reader == r->self)
		r->vain = r->known[RELAY_TABLE].failures;
	else if (r->seq != 0 && !r->answered)
		r->vain++;
	if (r->vain < RELAY_VAIN)
		return;
	r->turn = (r->turn + 1) % RELAY_CANDIDATES;
	r->turned = now;
	relay_ask_turn(r);
}

/*
 * A node may be the reader of a group that it is not in itself. It must read
 * then: if it asked its own group's reader, what it knew would be too old for
 * those who ask it, and they would all read for themselves.
 */
void
relay_set_nodes(struct relay *r, const name_id *nodes, unsigned int n)
{
	unsigned int groups =
	    MAX(1, (n + RELAY_GROUP_NODES - 1) / RELAY_GROUP_NODES);
	uint64_t own = relay_weight(r->self, 0) % groups, group;
	name_id best[RELAY_CANDIDATES], first = r->candidates[0];

	memset(r->candidates, 0, sizeof r->candidates);
	for (group = 0; group < groups && n > 0; group++) {
		relay_candidates(nodes, n, group, best);
		if (group == own || best[0] == r->self)
			memcpy(r->candidates, best, sizeof best);
		if (best[0] == r->self)
			break;
	}
	if (r->candidates[0] != first)
		r->turn = 0;
	relay_ask_turn(r);
}

/* ---- what is known ---- */

static void
relay_fill(const struct relay *r, msec now, uint32_t seq, sp_msg *msg)
{
	sp_relay_tell *t = &msg->sp_msg_u.relay_tell;
	const struct relay_known *k;
	unsigned int i;

	msg->kind = SP_RELAY_TELL;
	t->seq = seq;
	for (i = 0; i < RELAY_SUBJECTS; i++) {
		k = &r->known[i];
		t->known[i].mark = k->mark;
		t->known[i].age_ms = k->proven == MSEC_NEVER
					 ? RELAY_NEVER
					 : (u_int)(now - k->proven);
	}
}

static void
relay_tell_askers(struct relay *r, msec now, enum relay_subject s)
{
	name_id askers[G_N_ELEMENTS(r->askers)];
	sp_msg msg = { 0 };
	unsigned int i, n = 0;

	relay_fill(r, now, 0, &msg);
	for (i = 0; i < G_N_ELEMENTS(r->askers); i++) {
		if (r->askers[i].node != 0 &&
		    now - r->askers[i].at <= r->every * RELAY_ASKER_TIMES)
			askers[n++] = r->askers[i].node;
	}
	r->ops->news(r, s, askers, n);
	for (i = 0; i < n; i++)
		r->ops->send(r, askers[i], &msg);
}

void
relay_read(
    struct relay *r, msec now, enum relay_subject s, uint64_t mark, msec asked)
{
	struct relay_known *k = &r->known[s];
	bool changed = k->proven != MSEC_NEVER && k->mark != mark;

	k->mark = mark;
	k->failures = 0;
	if (k->proven == MSEC_NEVER || asked > k->proven)
		k->proven = asked;
	relay_read_in_vain(r, s, asked);
	if (changed) {
		r->counters.news++;
		relay_tell_askers(r, now, s);
	}
}

void
relay_took(struct relay *r, enum relay_subject s, uint64_t mark)
{
	if (r->known[s].mark == mark)
		return;
	r->known[s].mark = mark;
	/* Its age is told with the next answer. */
	r->known[s].look = -1;
}

void
relay_read_in_vain(struct relay *r, enum relay_subject s, msec asked)
{
	r->known[s].asked = MAX(r->known[s].asked, asked);
	r->known[s].failures = 0;
}

void
relay_read_failed(struct relay *r, msec now, enum relay_subject s)
{
	struct relay_known *k = &r->known[s];
	msec wait = r->every * RELAY_RETRY_LEAST_PERCENT / 100,
	     most = r->every * RELAY_RETRY_MOST_PERCENT / 100;

	/* Nobody is served before the first read: it is not put off. */
	if (k->proven != MSEC_NEVER)
		wait = MIN(wait << MIN(k->failures, 4), most);
	k->failures++;
	/* Spread: nodes that failed together do not call together. */
	wait += (msec)(relay_weight(r->self, (uint64_t)now) % (wait + 1));
	k->retry_at = now + wait;
}

/* Others take us for their reader, though we do not. */
static bool
relay_is_asked(const struct relay *r, msec now)
{
	const struct relay_asker *a;
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(r->askers); i++) {
		a = &r->askers[i];
		if (a->before != 0 &&
		    now - a->before <= r->every * RELAY_ASKED_TIMES)
			return true;
	}
	return false;
}

/* When a read is due, but for failures of the last. */
static msec
relay_due_at(const struct relay *r, msec now, enum relay_subject s)
{
	const struct relay_known *k = &r->known[s];
	msec at = k->asked + r->every * RELAY_READ_PERCENT / 100;

	if (k->asked < 0)
		return 0;
	/*
	 * A read that was under way when we heard may have missed it. Changes
	 * come in bursts: one read for some of them.
	 */
	if (k->look > k->asked)
		return k->asked + r->every * RELAY_BURST_PERCENT / 100;
	/* Nothing is there to be read yet, and nobody waits for news of it. */
	if (k->proven == MSEC_NEVER)
		return k->asked + r->every;
	if (r->reader == r->self || relay_is_asked(r, now))
		return at;
	return MAX(at, k->proven + r->every * RELAY_ALONE_PERCENT / 100);
}

msec
relay_due(const struct relay *r, msec now, enum relay_subject s)
{
	const struct relay_known *k = &r->known[s];
	msec at = relay_due_at(r, now, s);

	if (k->failures > 0)
		at = MAX(at, k->retry_at);
	return MAX(at - now, 0);
}

/* ---- messages ---- */

static void
relay_note_asker(struct relay *r, msec now, name_id node)
{
	struct relay_asker *a, *oldest = &r->askers[0];
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(r->askers); i++) {
		a = &r->askers[i];
		if (a->node == node) {
			a->before = a->at;
			a->at = now;
			return;
		}
		if (a->at < oldest->at)
			oldest = a;
	}
	*oldest = (struct relay_asker){ node, now, 0 };
}

/*
 * The teller had this mark, and knew it for the newest, `age` before it
 * answered. It answered after we asked, so the proof is no older than our
 * asking less the age; when its answer came says nothing, since that may have
 * waited, or we may have been paused.
 */
static void
relay_take(struct relay *r, msec now, enum relay_subject s,
    const sp_relay_known *told, bool answer)
{
	struct relay_known *k = &r->known[s];
	msec then;

	if (told->age_ms == RELAY_NEVER || k->proven == MSEC_NEVER)
		return;
	if (told->mark != k->mark) {
		k->look = now;
		r->ops->look(r, s, now);
		return;
	}
	then = r->asked - told->age_ms;
	if (!answer || then <= k->proven)
		return;
	k->proven = then;
	r->counters.proofs++;
	r->ops->proven(r, s, then);
}

/* Before anybody has read anything there is nothing new to be told. */
static unsigned int
relay_vain(const struct relay *r, u_int age_ms)
{
	if (r->known[RELAY_TABLE].proven == MSEC_NEVER)
		return 0;
	return age_ms <= r->every ? 0 : r->vain + 1;
}

static void
relay_told(struct relay *r, msec now, name_id from, const sp_relay_tell *t)
{
	bool answer = from == r->reader && t->seq != 0 && t->seq == r->seq;
	unsigned int i;

	r->counters.told++;
	if (answer) {
		r->answered = true;
		r->vain = relay_vain(r, t->known[RELAY_TABLE].age_ms);
		if (r->vain == 0)
			r->next_ask =
			    r->asked + r->every * RELAY_ASK_PERCENT / 100;
	}
	for (i = 0; i < RELAY_SUBJECTS; i++)
		relay_take(r, now, i, &t->known[i], answer);
}

void
relay_receive(struct relay *r, msec now, name_id from, const sp_msg *msg)
{
	sp_msg reply = { 0 };

	switch (msg->kind) {
	case SP_RELAY_ASK:
		relay_note_asker(r, now, from);
		relay_fill(r, now, msg->sp_msg_u.relay_ask.seq, &reply);
		r->ops->send(r, from, &reply);
		break;
	case SP_RELAY_TELL:
		relay_told(r, now, from, &msg->sp_msg_u.relay_tell);
		break;
	default:
		break;
	}
}

msec
relay_tick(struct relay *r, msec now)
{
	sp_msg msg = { .kind = SP_RELAY_ASK };

	if (now < r->next_ask)
		return r->next_ask;
	relay_judge(r, now);
	r->next_ask = now + r->every *
				(r->reader == r->self ? RELAY_ASK_PERCENT
						      : RELAY_AGAIN_PERCENT) /
				100;
	if (r->reader == r->self)
		return r->next_ask;
	if (++r->seq == 0)
		r->seq = 1;
	r->answered = false;
	r->asked = now;
	r->counters.asked++;
	msg.sp_msg_u.relay_ask.seq = r->seq;
	r->ops->send(r, r->reader, &msg);
	return r->next_ask;
}
