/*
 * Shares of organisations' limits; see share.h.
 *
 * Amounts are in 1/1000 of the limit's unit. Rates are enforced by a token
 * bucket that is filled at the rate of the allowance and has a capacity of one
 * second of it. Limits of requests and of work in flight are divided into whole
 * units; otherwise a limit below the number of nodes would give fractions that
 * admit nothing. Each node gets the integer quotient, and the nodes with the
 * lowest hashes get one unit more.
 */

#define LOG_PART "share"
#include "share-private.h"

#include <inttypes.h>
#include <string.h>

/* Organisations idle for this long are removed from memory. */
#define SHARE_IDLE (60 * MSEC_SECOND)

static int share_org_compare(struct share_org *, struct share_org *);

RB_PROTOTYPE(share_org_tree, share_org, entry, share_org_compare)
RB_GENERATE(share_org_tree, share_org, entry, share_org_compare)

static int
share_org_compare(struct share_org *a, struct share_org *b)
{
	if (a->service != b->service)
		return a->service < b->service ? -1 : 1;
	if (a->organisation != b->organisation)
		return a->organisation < b->organisation ? -1 : 1;
	return 0;
}

static gint
share_id_compare(gconstpointer a, gconstpointer b)
{
	name_id x = *(const name_id *)a, y = *(const name_id *)b;

	return (x > y) - (x < y);
}

void
shares_init(struct shares *sh, const struct share_ops *ops, name_id self,
    uint32_t seed, msec now)
{
	struct share_data *d;

	memset(sh, 0, sizeof *sh);
	sh->ops = ops;
	d = sh->priv = g_new0(struct share_data, 1);
	RB_INIT(&d->orgs);
	d->self = self;
	d->rand = g_rand_new_with_seed(seed);
	d->nodes = g_array_new(FALSE, FALSE, sizeof(name_id));
	/*
	 * After a restart of this node, loans from its previous process may
	 * still be in use, and other nodes may not know yet that it is back. So
	 * each share starts at 0 and is raised with the usual delay.
	 */
	d->startup_periods = SHARE_PERIODS;
	d->next_period = now + SHARE_PERIOD;
	d->next_window = now + SHARE_WINDOW;
	d->asks_left = SHARE_ASKS_MAX;
	/* Random, so answers to the previous process do not match. */
	d->seq = g_rand_int(d->rand);
}

void
share_expire_loans(struct share_part *part, msec now)
{
	struct share_loan *loan, *loan_next;
	struct share_borrowing *borrowing, *borrowing_next;

	TAILQ_FOREACH_SAFE (loan, &part->loans, entry, loan_next) {
		if (now < loan->until)
			continue;
		part->lent -= loan->amount;
		TAILQ_REMOVE(&part->loans, loan, entry);
		g_free(loan);
	}
	TAILQ_FOREACH_SAFE (
	    borrowing, &part->borrowings, entry, borrowing_next) {
		if (now >= borrowing->until) {
			part->borrowed -= borrowing->amount;
			borrowing->amount = 0;
		}
		if (now < borrowing->until ||
		    now < borrowing->asked + SHARE_LOAN_TERM)
			continue;
		TAILQ_REMOVE(&part->borrowings, borrowing, entry);
		g_free(borrowing);
	}
}

static void
share_org_free(struct share_data *d, struct share_org *o)
{
	unsigned int i;

	for (i = 0; i < SHARE_KINDS; i++)
		share_expire_loans(&o->parts[i], MSEC_NEVER);
	RB_REMOVE(share_org_tree, &d->orgs, o);
	d->norgs--;
	g_free(o);
}

void
shares_finish(struct shares *sh)
{
	struct share_data *d = sh->priv;
	struct share_org *o;

	while ((o = RB_MIN(share_org_tree, &d->orgs)) != NULL)
		share_org_free(d, o);
	g_array_unref(d->nodes);
	g_rand_free(d->rand);
	g_free(d);
	sh->priv = NULL;
}

unsigned int
shares_count(const struct shares *sh)
{
	return sh->priv->norgs;
}

uint64_t
share_rank(const struct share_org *o, name_id node)
{
	uint64_t h = node ^ o->organisation ^ (o->service << 1);

	h = (h ^ (h >> 33)) * 0xff51afd7ed558ccdULL;
	h = (h ^ (h >> 33)) * 0xc4ceb9fe1a85ec53ULL;
	return h ^ (h >> 33);
}

/* Compute the highest rank among the nodes that get one unit more. */
static void
share_set_owner_rank(const struct share_data *d, const struct share_org *o,
    struct share_part *part)
{
	unsigned int n = d->nodes->len, i, rest;
	g_autofree uint64_t *ranks = NULL;

	part->max_owner_rank = 0;
	if (n == 0 || (rest = part->limit / SHARE_UNIT % n) == 0)
		return;
	ranks = g_new(uint64_t, n);
	for (i = 0; i < n; i++)
		ranks[i] = share_rank(o, g_array_index(d->nodes, name_id, i));
	qsort(ranks, n, sizeof *ranks, share_id_compare);
	part->max_owner_rank = ranks[rest - 1];
}

static void
share_update_target(
    struct share_data *d, struct share_org *o, unsigned int kind)
{
	struct share_part *part = &o->parts[kind];
	unsigned int n = d->nodes->len;

	part->target = 0;
	part->max_owner_rank = 0;
	if (n > 0 && kind == SHARE_TOKENS) {
		part->max_owner_rank = UINT64_MAX;
		part->target = part->limit / n;
	} else if (n > 0) {
		share_set_owner_rank(d, o, part);
		part->target = part->limit / SHARE_UNIT / n * SHARE_UNIT;
		if (part->max_owner_rank != 0 &&
		    share_rank(o, d->self) <= part->max_owner_rank)
			part->target += SHARE_UNIT;
		if (part->limit / SHARE_UNIT >= n)
			part->max_owner_rank = UINT64_MAX;
	}
	if (!d->takes_work)
		part->target = 0;
	part->min_targets[0] = MIN(part->min_targets[0], part->target);
}

/*
 * Nodes may disagree about which of them take work: a node that another
 * considers dead may be alive, and a new node may use its share before all
 * others have reduced theirs. The shares would then add up to more than the
 * limit. The minimum target of the last SHARE_RAISE_DELAY keeps the smaller
 * share until the nodes agree and loans made from a larger share have expired.
 */
int64_t
share_base(const struct share_part *part)
{
	int64_t base = part->min_targets[0];
	unsigned int i;

	for (i = 1; i < SHARE_PERIODS; i++)
		base = MIN(base, part->min_targets[i]);
	return base;
}

int64_t
share_allowance(struct share_part *part, msec now)
{
	share_expire_loans(part, now);
	return MAX(0, share_base(part) - part->lent + part->borrowed);
}

/*
 * The allowance without loans that expire soon. Work may outlast the loan it
 * was admitted with; the lender would then admit other work while it still
 * runs, and more than the limit would be in flight. So no work is admitted with
 * a loan that expires soon, and running work counts as demand, so that the loan
 * is renewed in the remaining time.
 */
static int64_t
share_lasting_allowance(struct share_part *part, msec now)
{
	int64_t lasting = share_allowance(part, now);
	const struct share_borrowing *borrowing;

	TAILQ_FOREACH (borrowing, &part->borrowings, entry) {
		if (share_expires_within(borrowing, now, 3 * SHARE_WINDOW))
			lasting -= borrowing->amount;
	}
	return lasting;
}

void
share_fill_bucket(struct share_part *part, enum share_kind kind, msec now)
{
	int64_t rate = share_allowance(part, now), depth;

	if (kind == SHARE_IN_FLIGHT)
		return;
	/* At a rate below 1 per second the bucket still has room for one
	 * request. */
	depth =
	    kind == SHARE_REQUESTS && rate > 0 ? MAX(rate, SHARE_UNIT) : rate;
	part->level_fraction += rate * (now - part->filled);
	part->level += part->level_fraction / 1000;
	part->level_fraction %= 1000;
	part->level = MIN(part->level, MAX(depth, 0));
	part->filled = now;
}

/*
 * Initialise the targets of past periods for a new or changed limit, as if it
 * had been divided among the highest recent number of nodes.
 */
static void
share_init_targets(struct share_data *d, struct share_org *o, unsigned int kind)
{
	struct share_part *part = &o->parts[kind];
	unsigned int i, max_nodes = 1;
	int64_t past;

	part->min_targets[0] = INT64_MAX;
	share_update_target(d, o, kind);
	for (i = 0; i < SHARE_PERIODS; i++)
		max_nodes = MAX(max_nodes, d->max_nodes[i]);
	past = part->target;
	if (max_nodes > d->nodes->len)
		past = MIN(past, part->limit / max_nodes);
	for (i = 1; i < SHARE_PERIODS; i++) {
		/* Periods before start-up count as 0, see shares_init(). */
		part->min_targets[i] =
		    i + d->startup_periods > SHARE_PERIODS ? 0 : past;
	}
}

static void
share_set_limits(struct share_data *d, struct share_org *o, msec now,
    const struct doc_limits *limits)
{
	const unsigned int values[SHARE_KINDS] = { limits->requests_per_second,
		limits->tokens_per_second, limits->in_flight };
	struct share_part *part;
	unsigned int i;

	for (i = 0; i < SHARE_KINDS; i++) {
		part = &o->parts[i];
		if (part->limit == (int64_t)values[i] * SHARE_UNIT)
			continue;
		if (part->limit == 0)
			part->filled = now;
		share_fill_bucket(part, i, now);
		part->limit = (int64_t)values[i] * SHARE_UNIT;
		share_init_targets(d, o, i);
	}
}

struct share_org *
share_org_find(struct share_data *d, name_id service, name_id organisation)
{
	struct share_org find = { .service = service,
		.organisation = organisation };

	return RB_FIND(share_org_tree, &d->orgs, &find);
}

struct share_org *
share_org_get(
    struct shares *sh, msec now, name_id service, name_id organisation)
{
	struct share_data *d = sh->priv;
	struct share_org *o;
	struct doc_limits limits;
	unsigned int i;

	if (!sh->ops->limits(sh, service, organisation, &limits))
		return NULL;
	if ((o = share_org_find(d, service, organisation)) != NULL) {
		share_set_limits(d, o, now, &limits);
		return o;
	}
	o = g_new0(struct share_org, 1);
	o->service = service;
	o->organisation = organisation;
	o->last_use = now;
	for (i = 0; i < SHARE_KINDS; i++) {
		TAILQ_INIT(&o->parts[i].loans);
		TAILQ_INIT(&o->parts[i].borrowings);
	}
	share_set_limits(d, o, now, &limits);
	for (i = 0; i < SHARE_KINDS; i++)
		o->parts[i].level = share_allowance(&o->parts[i], now);
	RB_INSERT(share_org_tree, &d->orgs, o);
	d->norgs++;
	return o;
}

void
shares_set_nodes(
    struct shares *sh, msec now, const name_id *nodes, unsigned int n)
{
	struct share_data *d = sh->priv;
	g_autoptr(GArray) sorted = NULL;
	struct share_org *o;
	unsigned int i;

	sorted = g_array_new(FALSE, FALSE, sizeof(name_id));
	g_array_append_vals(sorted, nodes, n);
	g_array_sort(sorted, share_id_compare);
	if (d->nodes->len == n &&
	    memcmp(d->nodes->data, sorted->data, n * sizeof *nodes) == 0)
		return;
	g_array_set_size(d->nodes, 0);
	g_array_append_vals(d->nodes, sorted->data, n);
	d->takes_work = false;
	for (i = 0; i < n; i++)
		d->takes_work = d->takes_work || nodes[i] == d->self;
	d->max_nodes[0] = MAX(d->max_nodes[0], n);
	log_debug("%u nodes take work", n);
	RB_FOREACH (o, share_org_tree, &d->orgs) {
		for (i = 0; i < SHARE_KINDS; i++) {
			share_fill_bucket(&o->parts[i], i, now);
			share_update_target(d, o, i);
		}
	}
}

static bool
share_has_room(struct share_part *part, enum share_kind kind, msec now)
{
	if (part->limit == 0)
		return true;
	share_fill_bucket(part, kind, now);
	switch (kind) {
	case SHARE_REQUESTS:
		return part->level >= SHARE_UNIT;
	case SHARE_TOKENS:
		/*
		 * A request may be larger than a second's share, so the level
		 * may become negative.
		 */
		return part->level > 0;
	default:
		return part->used + SHARE_UNIT <=
		       share_lasting_allowance(part, now);
	}
}

bool
shares_admit(struct shares *sh, msec now, name_id service, name_id organisation,
    unsigned int tokens)
{
	struct share_org *o;
	struct share_part *p;
	bool room = true;
	unsigned int i;

	if ((o = share_org_get(sh, now, service, organisation)) == NULL)
		return true;
	o->last_use = now;
	p = o->parts;
	p[SHARE_REQUESTS].demand += SHARE_UNIT;
	p[SHARE_TOKENS].demand += (int64_t)tokens * SHARE_UNIT;
	for (i = 0; i < SHARE_KINDS; i++) {
		if (share_has_room(&p[i], i, now))
			continue;
		room = false;
		if (i == SHARE_IN_FLIGHT)
			p[i].demand += SHARE_UNIT;
		/* Request a loan now, rather than at the end of the window. */
		if (!p[i].asked && p[i].backoff == 0)
			share_request_loans(sh, now, o, i);
	}
	if (!room) {
		sh->counters.refused++;
		return false;
	}
	p[SHARE_REQUESTS].level -= SHARE_UNIT;
	p[SHARE_TOKENS].level -= (int64_t)tokens * SHARE_UNIT;
	p[SHARE_IN_FLIGHT].used += SHARE_UNIT;
	p[SHARE_IN_FLIGHT].peak =
	    MAX(p[SHARE_IN_FLIGHT].peak, p[SHARE_IN_FLIGHT].used);
	sh->counters.admitted++;
	return true;
}

void
shares_request_ended(struct shares *sh, msec now, name_id service,
    name_id organisation, unsigned int taken, unsigned int tokens)
{
	struct share_org *o;

	if ((o = share_org_find(sh->priv, service, organisation)) == NULL)
		return;
	o->last_use = now;
	o->parts[SHARE_TOKENS].level +=
	    ((int64_t)taken - (int64_t)tokens) * SHARE_UNIT;
	if (o->parts[SHARE_IN_FLIGHT].used >= SHARE_UNIT)
		o->parts[SHARE_IN_FLIGHT].used -= SHARE_UNIT;
}

int64_t
shares_allowance(struct shares *sh, msec now, name_id service,
    name_id organisation, enum share_kind kind)
{
	struct share_org *o;

	if ((o = share_org_get(sh, now, service, organisation)) == NULL)
		return 0;
	return share_allowance(&o->parts[kind], now);
}

static void
share_begin_period(struct share_data *d)
{
	struct share_part *part;
	struct share_org *o;
	unsigned int i;

	memmove(&d->max_nodes[1], &d->max_nodes[0],
	    (SHARE_PERIODS - 1) * sizeof d->max_nodes[0]);
	d->max_nodes[0] = d->nodes->len;
	if (d->startup_periods > 0)
		d->startup_periods--;
	RB_FOREACH (o, share_org_tree, &d->orgs) {
		for (i = 0; i < SHARE_KINDS; i++) {
			part = &o->parts[i];
			memmove(&part->min_targets[1], &part->min_targets[0],
			    (SHARE_PERIODS - 1) * sizeof part->min_targets[0]);
			part->min_targets[0] = part->target;
		}
	}
}

/* An organisation with loans is not idle; they are kept until they expire. */
static bool
share_is_idle(const struct share_org *o, msec now)
{
	const struct share_part *part;
	unsigned int i;

	if (now < o->last_use + SHARE_IDLE)
		return false;
	for (i = 0; i < SHARE_KINDS; i++) {
		part = &o->parts[i];
		if (part->used > 0 || part->lent > 0 || part->borrowed > 0)
			return false;
	}
	return true;
}

msec
shares_tick(struct shares *sh, msec now)
{
	struct share_data *d = sh->priv;
	struct share_org *o, *next;

	while (now >= d->next_period) {
		d->next_period += SHARE_PERIOD;
		share_begin_period(d);
	}
	if (now < d->next_window)
		return MIN(d->next_window, d->next_period);
	d->next_window = now + SHARE_WINDOW;
	d->asks_left = SHARE_ASKS_MAX;
	RB_FOREACH_SAFE (o, share_org_tree, &d->orgs, next) {
		share_begin_window(sh, now, o);
		if (!share_is_idle(o, now))
			continue;
		log_debug(
		    "removing idle organisation %" PRIx64, o->organisation);
		share_org_free(d, o);
	}
	return MIN(d->next_window, d->next_period);
}

void
shares_receive(struct shares *sh, msec now, name_id from, const sp_msg *msg)
{
	const sp_share *s = &msg->sp_msg_u.share;

	if (msg->kind != SP_SHARE || s->kind >= SHARE_KINDS)
		return;
	if (s->ask > 0)
		share_lend(sh, now, from, s);
	else
		share_receive_loan(sh, now, from, s);
}
