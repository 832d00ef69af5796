/*
 * Leader election by conditional appends to a log; see duty.h.
 */

#define LOG_PART "duty"
#include "duty.h"
#include "era.h"

#include <inttypes.h>
#include <string.h>

#include <xxhash.h>

/* Renewals per lease; two in a row may fail. */
#define DUTY_RENEWALS 3
/* For clocks of VMs that run at different rates, and for orders in transit. */
#define DUTY_CLOCK_MARGIN_MS 300
/* Delay between successors, so that not all of them claim at once. */
#define DUTY_RANK_DELAY_MS 300
/* A node that starts has learnt of the other nodes and of a holder by then. */
#define DUTY_DISCOVERY_MS 1500
/* Delay after an append or search without an answer. */
#define DUTY_RETRY_MS 400
#define DUTY_TICK_MS 100

void
duty_init(struct duty *d, const struct duty_ops *ops, name_id self, msec lease,
    msec now)
{
	*d = (struct duty){ .ops = ops,
		.self = self,
		.lease = lease,
		.started = now,
		.end_known_at = MSEC_NEVER,
		.ticked = now };
}

void
duty_finish(struct duty *d)
{
	g_free(d->nodes);
	d->nodes = NULL;
	d->nnodes = 0;
}

/* ---- order of succession ---- */

static uint64_t
duty_weight(name_id node)
{
	return XXH64(&node, sizeof node, 7);
}

void
duty_set_nodes(struct duty *d, const struct duty_node *nodes, unsigned int n)
{
	g_free(d->nodes);
	d->nodes = g_memdup2(nodes, n * sizeof *nodes);
	d->nnodes = n;
}

static const struct duty_node *
duty_node_find(const struct duty *d, name_id id)
{
	unsigned int i;

	for (i = 0; i < d->nnodes; i++) {
		if (d->nodes[i].id == id)
			return &d->nodes[i];
	}
	return NULL;
}

static bool
duty_is_standby(const struct duty *d, name_id id)
{
	unsigned int i;

	for (i = 0; i < DUTY_STANDBYS; i++) {
		if (d->standbys[i] == id)
			return true;
	}
	return false;
}

/*
 * Sort key in the order of succession, lowest first: standbys, then other
 * nodes, each by weight. UINT64_MAX: not a successor.
 */
static uint64_t
duty_sort_key(const struct duty *d, const struct duty_node *n)
{
	if (!n->takes_work || n->id == d->holder)
		return UINT64_MAX;
	return (duty_weight(n->id) >> 1) |
	       (duty_is_standby(d, n->id) ? 0 : 1ULL << 63);
}

/* Number of successors before the local node. */
static unsigned int
duty_rank(const struct duty *d)
{
	const struct duty_node *own = duty_node_find(d, d->self);
	unsigned int i, before = 0;

	for (i = 0; own != NULL && i < d->nnodes; i++)
		before +=
		    duty_sort_key(d, &d->nodes[i]) < duty_sort_key(d, own);
	return before;
}

unsigned int
duty_list_candidates(const struct duty *d, name_id *first, unsigned int max)
{
	const struct duty_node *holder = duty_node_find(d, d->holder);
	uint64_t after = 0, order, best;
	unsigned int i, n = 0;
	name_id id = 0;

	if (holder != NULL && max > 0)
		first[n++] = holder->id;
	while (n < max) {
		best = UINT64_MAX;
		for (i = 0; i < d->nnodes; i++) {
			order = duty_sort_key(d, &d->nodes[i]);
			if (order <= after || order >= best)
				continue;
			best = order;
			id = d->nodes[i].id;
		}
		if (best == UINT64_MAX)
			break;
		first[n++] = id;
		after = best;
	}
	return n;
}

static bool
duty_takes_work(const struct duty *d)
{
	const struct duty_node *n = duty_node_find(d, d->self);

	return n != NULL && n->takes_work;
}

/*
 * Choose the next standby by weight. Nodes in a failure domain that is already
 * used come later; nodes younger than a lease come last.
 */
static name_id
duty_choose_standby(const struct duty *d, unsigned int nchosen)
{
	const struct duty_node *own = duty_node_find(d, d->self), *n, *o;
	uint64_t weight, least = UINT64_MAX;
	name_id best = 0;
	unsigned int i, j;

	for (i = 0; i < d->nnodes; i++) {
		n = &d->nodes[i];
		if (!n->takes_work || n->id == d->self)
			continue;
		weight = duty_weight(n->id) >> 2;
		if (own != NULL && n->domain == own->domain)
			weight |= 1ULL << 62;
		if (n->age >= 0 && n->age < d->lease + DUTY_CLOCK_MARGIN_MS)
			weight |= 1ULL << 63;
		for (j = 0; j < nchosen; j++) {
			o = duty_node_find(d, d->standbys[j]);
			if (o != NULL && n->domain == o->domain)
				weight |= 1ULL << 62;
			if (n->id == d->standbys[j])
				weight = UINT64_MAX;
		}
		if (weight < least) {
			least = weight;
			best = n->id;
		}
	}
	return best;
}

static void
duty_choose_standbys(struct duty *d)
{
	unsigned int i;

	memset(d->standbys, 0, sizeof d->standbys);
	for (i = 0; i < DUTY_STANDBYS; i++)
		d->standbys[i] = duty_choose_standby(d, i);
}

/* ---- holder ---- */

uint64_t
duty_token(const struct duty *d, msec now)
{
	return d->token != 0 && now < d->until ? d->token : 0;
}

static void
duty_step_down(struct duty *d, msec now)
{
	bool held = d->token != 0;

	d->token = 0;
	d->holder = 0;
	d->no_claim_before = now + d->lease + DUTY_CLOCK_MARGIN_MS;
	d->end_known_at = now;
	d->released = false;
	if (!held)
		return;
	d->counters.lost++;
	d->ops->changed(d, now, false);
}

void
duty_token_refused(struct duty *d, msec now)
{
	duty_step_down(d, now);
}

void
duty_set_era(struct duty *d, uint64_t era)
{
	d->era = era;
}

bool
duty_may_reclaim(const struct duty *d, msec now)
{
	return !d->leaving && now < d->reclaim_until;
}

void
duty_log_rolled_back(struct duty *d, msec now, uint64_t era)
{
	bool held = d->token != 0;

	log_debug("log rolled back, its era is now %" PRIu64, era);
	if (held)
		d->reclaim_until = d->until;
	d->era = era;
	d->token = 0;
	d->holder = 0;
	d->end = 0;
	d->end_known_at = now;
	d->released = false;
	d->next = now;
	if (!held)
		return;
	d->counters.rolled_back++;
	d->ops->changed(d, now, false);
}

bool
duty_is_claim(const struct duty *d, uint64_t claim)
{
	return d->token != 0 && era_token(d->era, claim) == d->token;
}

static void
duty_beat(struct duty *d, name_id hand_over)
{
	sp_msg msg = { .kind = SP_DUTY_BEAT };
	sp_duty_beat *b = &msg.sp_msg_u.duty_beat;
	unsigned int i;

	b->token = d->token;
	b->end = d->end;
	b->hand_over = hand_over;
	b->standbys.standbys_len = DUTY_STANDBYS;
	b->standbys.standbys_val = d->standbys;
	for (i = 0; i < d->nnodes; i++) {
		if (d->nodes[i].id != d->self)
			d->ops->send(d, d->nodes[i].id, &msg);
	}
}

static void
duty_append(struct duty *d, msec now, uint64_t at, bool claim)
{
	d->pending = true;
	d->sent_at = now;
	d->sent_end = at;
	d->sent_era = d->era;
	d->next = now + d->lease / DUTY_RENEWALS;
	if (claim)
		d->counters.claims++;
	else
		d->counters.renewals++;
	d->ops->append(d, at, claim);
}

static void
duty_append_accepted(struct duty *d, msec now, uint64_t at, uint64_t end)
{
	bool is_claim = d->token == 0;

	d->end = end;
	d->end_known_at = now;
	d->released = false;
	d->until = d->sent_at + d->lease;
	d->expired = false;
	if (is_claim) {
		d->continues = d->sent_at < d->reclaim_until;
		d->reclaim_until = 0;
		d->token = era_token(d->era, at);
		d->token_seen = MAX(d->token_seen, d->token);
		d->holder = d->self;
		d->ops->changed(d, now, true);
	}
	duty_choose_standbys(d);
	d->next_heartbeat = now;
}

void
duty_appended(struct duty *d, msec now, enum duty_result outcome, uint64_t at,
    uint64_t end)
{
	if (!d->pending)
		return;
	d->pending = false;
	/*
	 * This node began to leave while the append was in progress: it must
	 * not become the holder again.
	 */
	if (outcome == DUTY_ACCEPTED && d->leaving && d->token == 0)
		outcome = DUTY_UNKNOWN;
	/* The append was conditional on the log's end before the rollback. */
	if (outcome == DUTY_ACCEPTED && d->sent_era != d->era)
		outcome = DUTY_REFUSED;
	switch (outcome) {
	case DUTY_ACCEPTED:
		duty_append_accepted(d, now, at, end);
		return;
	case DUTY_UNKNOWN:
		d->counters.unknown++;
		d->next = now + DUTY_RETRY_MS;
		return;
	case DUTY_REFUSED:
		break;
	}
	d->counters.refused++;
	d->end = end;
	d->end_known_at = now;
	d->released = false;
	if (duty_may_reclaim(d, now))
		d->next = now;
	if (d->token == 0)
		return;
	/*
	 * Either an earlier renewal was appended although its answer was lost,
	 * or another node has claimed.
	 */
	d->pending = true;
	d->ops->find_claim(d);
}

void
duty_claim_found(
    struct duty *d, msec now, bool ok, uint64_t claim, uint64_t end)
{
	d->pending = false;
	if (!ok) {
		d->next = now + DUTY_RETRY_MS;
		return;
	}
	d->end = end;
	d->end_known_at = now;
	if (d->token != 0 && !duty_is_claim(d, claim)) {
		d->token_seen = MAX(d->token_seen, era_token(d->era, claim));
		duty_step_down(d, now);
	}
	d->next = now;
}

void
duty_renew_now(struct duty *d, msec now)
{
	if (d->token != 0)
		d->next = MIN(d->next, now);
}

void
duty_leave(struct duty *d, msec now)
{
	d->leaving = true;
	if (d->token == 0)
		return;
	/* While an append is in progress the log's end is unknown. */
	if (!d->pending && now < d->until)
		duty_beat(d, d->standbys[0]);
	duty_step_down(d, now);
}

/* ---- other nodes ---- */

/* Earliest time at which the local node may claim, as far as is known now. */
static msec
duty_claim_at(const struct duty *d)
{
	msec turn = (msec)duty_rank(d) * DUTY_RANK_DELAY_MS, at;

	/* A log that was rolled back may be empty while a lease still runs. */
	if (d->end_known_at == MSEC_NEVER && d->era != 0)
		at = d->started + d->lease + DUTY_CLOCK_MARGIN_MS + turn;
	else if (d->end_known_at == MSEC_NEVER)
		at = d->started + DUTY_DISCOVERY_MS + turn;
	/*
	 * The duty must not return at once to the node that released it, also
	 * when its process has restarted.
	 */
	else if (d->released)
		at = MAX(d->end_known_at + turn, d->started + d->lease);
	else
		at = d->end_known_at + d->lease + DUTY_CLOCK_MARGIN_MS + turn;
	return MAX(MAX(at, d->no_claim_before), d->next);
}

static void
duty_try_claim(struct duty *d, msec now)
{
	msec at = duty_may_reclaim(d, now) ? d->next : duty_claim_at(d);

	if (d->leaving || d->pending || !duty_takes_work(d) || now < at)
		return;
	/*
	 * If the end is unknown, append at 0: that succeeds in an empty log,
	 * and a refusal reports the end.
	 */
	duty_append(d, now, d->end_known_at == MSEC_NEVER ? 0 : d->end, true);
}

static bool
heartbeat_is_valid(const sp_duty_beat *b)
{
	return b->token > 0 && b->end >= era_token_end(b->token);
}

void
duty_receive(struct duty *d, msec now, name_id from, const sp_msg *msg)
{
	const sp_duty_beat *b = &msg->sp_msg_u.duty_beat;
	unsigned int i;

	if (!heartbeat_is_valid(b) || from == d->self) {
		d->counters.dropped++;
		return;
	}
	/* From an earlier holder, from an earlier era, or out of order. */
	if (b->token < d->token_seen || era_token_era(b->token) < d->era ||
	    (b->token == d->token_seen && b->end < d->end))
		return;
	if (d->token != 0)
		duty_step_down(d, now);
	d->token_seen = b->token;
	d->holder = b->hand_over != 0 ? 0 : from;
	d->end = b->end;
	d->end_known_at = now;
	d->released = b->hand_over != 0;
	for (i = 0; i < DUTY_STANDBYS; i++)
		d->standbys[i] = i < b->standbys.standbys_len
				     ? b->standbys.standbys_val[i]
				     : 0;
	if (b->hand_over == d->self)
		duty_try_claim(d, now);
}

static void
duty_tick_holder(struct duty *d, msec now)
{
	if (now >= d->until && !d->expired) {
		d->expired = true;
		d->counters.expired++;
	}
	if (!d->pending && now >= d->next)
		duty_append(d, now, d->end, false);
	/* Without a lease, send no heartbeat, so that others take over. */
	if (now >= d->next_heartbeat && now < d->until) {
		d->next_heartbeat = now + d->lease / DUTY_RENEWALS;
		duty_beat(d, 0);
	}
}

msec
duty_tick(struct duty *d, msec now)
{
	if (d->holder == 0 || (d->holder == d->self && now >= d->until))
		d->counters.ms_without_holder += now - d->ticked;
	d->ticked = now;
	if (d->token != 0)
		duty_tick_holder(d, now);
	else
		duty_try_claim(d, now);
	return now + DUTY_TICK_MS;
}
