/*
 * Loans of parts of the shares of organisations' limits between nodes; see
 * share.h.
 */

#define LOG_PART "share"
#include "share-private.h"

#include <string.h>

/*
 * Loan requests per window for one limit: the number of nodes divided by
 * SHARE_NODES_PER_ASK, as more nodes have smaller shares, but at least
 * SHARE_ASKS_MIN.
 */
#define SHARE_NODES_PER_ASK 16
#define SHARE_ASKS_MIN 2
/* Random choices of a lender before all nodes are scanned. */
#define SHARE_RANDOM_TRIES 8
/* The wait between requests without a loan doubles up to 2^this windows. */
#define SHARE_BACKOFF_MAX 3

bool
share_expires_within(
    const struct share_borrowing *borrowing, msec now, msec span)
{
	return borrowing->amount > 0 && now >= borrowing->until - span;
}

/* Time before expiry at which loans are renewed; in flight allows retries. */
static msec
share_renewal_time(enum share_kind kind)
{
	return kind == SHARE_IN_FLIGHT ? 5 * SHARE_WINDOW : 2 * SHARE_WINDOW;
}

/*
 * The amount that this node lacks (positive) or can spare (negative). The
 * demand for rates includes a reserve of a quarter. With `lending` a further
 * reserve is kept.
 */
static int64_t
share_shortage(
    struct share_part *part, enum share_kind kind, msec now, bool lending)
{
	int64_t have = share_allowance(part, now), need;

	if (kind == SHARE_IN_FLIGHT)
		need = MAX(part->peak, part->last_peak) + part->demand;
	else
		need = MAX(part->rate, part->demand) * 5 / 4;
	/* Keep a reserve, so that the next local caller is not refused. */
	if (lending && kind != SHARE_IN_FLIGHT)
		need = MAX(need, share_base(part) / 8);
	return need - have;
}

/*
 * Whether a node can be asked for a loan: it has a share, and this node has
 * neither a loan from it nor a pending request to it.
 */
static bool
share_is_lender(const struct share_data *d, const struct share_org *o,
    const struct share_part *part, name_id id)
{
	const struct share_borrowing *borrowing;

	if (id == d->self || share_rank(o, id) > part->max_owner_rank)
		return false;
	TAILQ_FOREACH (borrowing, &part->borrowings, entry) {
		if (borrowing->node == id)
			return false;
	}
	return true;
}

static name_id
share_random_lender(struct share_data *d, const struct share_org *o,
    const struct share_part *part)
{
	name_id id, found = 0;
	gint32 n = 0;
	guint i;

	for (i = 0; i < SHARE_RANDOM_TRIES && d->nodes->len > 0; i++) {
		id = g_array_index(d->nodes, name_id,
		    g_rand_int_range(d->rand, 0, (gint32)d->nodes->len));
		if (share_is_lender(d, o, part, id))
			return id;
	}
	/* Few nodes have a share of a small limit, or most have lent it. */
	for (i = 0; i < d->nodes->len; i++) {
		id = g_array_index(d->nodes, name_id, i);
		if (!share_is_lender(d, o, part, id))
			continue;
		if (g_rand_int_range(d->rand, 0, ++n) == 0)
			found = id;
	}
	return found;
}

/* Choose a lender: to renew a loan that expires soon, else at random; or 0. */
static name_id
share_pick_lender(struct share_data *d, const struct share_org *o,
    unsigned int kind, msec now)
{
	const struct share_part *part = &o->parts[kind];
	const struct share_borrowing *borrowing, *next = NULL;
	msec soon = share_renewal_time(kind);

	/* Renew the loan that expires first. */
	TAILQ_FOREACH (borrowing, &part->borrowings, entry) {
		if (share_expires_within(borrowing, now, soon) &&
		    borrowing->asked != now &&
		    (next == NULL || borrowing->until < next->until))
			next = borrowing;
	}
	if (next != NULL)
		return next->node;
	return share_random_lender(d, o, part);
}

static void
share_request_loan(struct shares *sh, msec now, struct share_org *o,
    enum share_kind kind, name_id node)
{
	struct share_part *part = &o->parts[kind];
	struct share_borrowing *borrowing;
	int64_t ask;
	sp_msg msg;

	ask = share_shortage(part, kind, now, false);
	TAILQ_FOREACH (borrowing, &part->borrowings, entry) {
		if (borrowing->node == node)
			break;
	}
	if (borrowing == NULL) {
		borrowing = g_new0(struct share_borrowing, 1);
		borrowing->node = node;
		TAILQ_INSERT_TAIL(&part->borrowings, borrowing, entry);
	}
	/* Request the total amount, as the answer replaces the old loan. */
	ask = MIN(ask + borrowing->amount, part->limit);
	if (ask <= 0)
		return;
	if (kind != SHARE_TOKENS)
		ask = MAX(ask, SHARE_UNIT);
	borrowing->seq = ++sh->priv->seq;
	borrowing->asked = now;
	memset(&msg, 0, sizeof msg);
	msg.kind = SP_SHARE;
	msg.sp_msg_u.share.service = o->service;
	msg.sp_msg_u.share.organisation = o->organisation;
	msg.sp_msg_u.share.kind = kind;
	msg.sp_msg_u.share.seq = borrowing->seq;
	msg.sp_msg_u.share.ask = (u_int)MIN(ask, UINT32_MAX);
	sh->counters.asked++;
	sh->priv->asks_left--;
	sh->ops->send(sh, node, &msg);
}

void
share_request_loans(
    struct shares *sh, msec now, struct share_org *o, enum share_kind kind)
{
	struct share_data *d = sh->priv;
	struct share_part *part = &o->parts[kind];
	unsigned int turn, asks;
	name_id node;

	asks = MAX(SHARE_ASKS_MIN, d->nodes->len / SHARE_NODES_PER_ASK);
	part->asked = true;
	for (turn = 0; turn < asks && d->asks_left > 0; turn++) {
		node = share_pick_lender(d, o, kind, now);
		if (node != 0)
			share_request_loan(sh, now, o, kind, node);
	}
	part->backoff =
	    (1U << MIN(part->failed_windows, SHARE_BACKOFF_MAX)) - 1;
	part->failed_windows++;
}

void
share_begin_window(struct shares *sh, msec now, struct share_org *o)
{
	struct share_borrowing *borrowing;
	struct share_part *part;
	unsigned int i;
	int64_t renew;

	for (i = 0; i < SHARE_KINDS; i++) {
		part = &o->parts[i];
		if (part->limit == 0)
			continue;
		part->rate =
		    (part->rate * 3 + part->demand * 1000 / SHARE_WINDOW) / 4;
		share_expire_loans(part, now);
		renew = 0;
		TAILQ_FOREACH (borrowing, &part->borrowings, entry) {
			if (share_expires_within(
				borrowing, now, share_renewal_time(i)))
				renew += borrowing->amount;
		}
		if (part->backoff > 0 && renew == 0)
			part->backoff--;
		else if ((!part->asked || renew > 0) &&
			 share_shortage(part, i, now, false) + renew > 0)
			share_request_loans(sh, now, o, i);
		part->asked = false;
		part->demand = 0;
		part->last_peak = part->peak;
		part->peak = part->used;
	}
}

void
share_lend(struct shares *sh, msec now, name_id from, const sp_share *ask)
{
	struct share_org *o;
	struct share_part *part;
	struct share_loan *loan;
	int64_t spare, old, give;
	sp_msg msg;

	o = share_org_get(sh, now, ask->service, ask->organisation);
	if (o == NULL)
		return;
	part = &o->parts[ask->kind];
	share_fill_bucket(part, ask->kind, now);
	/* Negative if this node itself lacks some and wants part of a loan
	 * back. */
	spare = -share_shortage(part, ask->kind, now, true);
	TAILQ_FOREACH (loan, &part->loans, entry) {
		if (loan->node == from && loan->renewable)
			break;
	}
	old = loan != NULL ? loan->amount : 0;
	give = MIN((int64_t)ask->ask, spare + old);
	/*
	 * Borrowed amounts must not be lent on, and a loan from before this
	 * node's share was lowered must not be renewed in full.
	 */
	give = MIN(give, share_base(part) - (part->lent - old));
	if (ask->kind != SHARE_TOKENS)
		give -= give % SHARE_UNIT;
	if (give <= 0)
		return;
	/*
	 * This answer may be lost, so the borrower may use the old loan until
	 * it expires; keep the part of it that the new loan does not cover.
	 */
	if (loan != NULL && give < old) {
		loan->amount = old - give;
		loan->renewable = false;
		part->lent -= give;
		loan = NULL;
	}
	if (loan == NULL) {
		loan = g_new0(struct share_loan, 1);
		loan->node = from;
		loan->renewable = true;
		TAILQ_INSERT_TAIL(&part->loans, loan, entry);
	}
	part->lent += give - loan->amount;
	loan->amount = give;
	loan->until = now + SHARE_LOAN_TERM;
	memset(&msg, 0, sizeof msg);
	msg.kind = SP_SHARE;
	msg.sp_msg_u.share = *ask;
	msg.sp_msg_u.share.ask = 0;
	msg.sp_msg_u.share.give = (u_int)give;
	if (ask->kind != SHARE_IN_FLIGHT && give > old && part->level > 0) {
		msg.sp_msg_u.share.credit = (u_int)MIN(give - old, part->level);
		part->level -= msg.sp_msg_u.share.credit;
	}
	sh->counters.lent++;
	sh->ops->send(sh, from, &msg);
}

/*
 * The term of a loan runs from when this node sent its request, not from when
 * the answer arrived. The lender counts from a time between the two, so the
 * loan expires here first without a shared clock. An answer to an earlier
 * request than the last is ignored, as its start is not known any more.
 */
void
share_receive_loan(
    struct shares *sh, msec now, name_id from, const sp_share *give)
{
	struct share_org *o;
	struct share_borrowing *borrowing;
	struct share_part *part;

	o = share_org_find(sh->priv, give->service, give->organisation);
	if (o == NULL)
		return;
	part = &o->parts[give->kind];
	if (give->give > part->limit || give->credit > give->give)
		return;
	share_fill_bucket(part, give->kind, now);
	TAILQ_FOREACH (borrowing, &part->borrowings, entry) {
		if (borrowing->node == from && borrowing->seq == give->seq)
			break;
	}
	/* A duplicate of the answer would add the credit twice. */
	if (borrowing == NULL ||
	    borrowing->until == borrowing->asked + SHARE_LOAN_TERM)
		return;
	if (now >= borrowing->asked + SHARE_LOAN_TERM)
		return;
	part->borrowed += (int64_t)give->give - borrowing->amount;
	part->failed_windows = part->backoff = 0;
	borrowing->amount = give->give;
	borrowing->until = borrowing->asked + SHARE_LOAN_TERM;
	part->level += give->credit;
	sh->counters.borrowed++;
}
