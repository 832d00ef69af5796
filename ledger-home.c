/*
 * The home of a ledger shard: collects claims into batch records and answers
 * them when the records are read back from the log; see ledger.h.
 */

#define LOG_PART "ledger"
#include "ledger.h"

#include <stdlib.h>
#include <string.h>

static int pending_cmp(struct ledger_pending *, struct ledger_pending *);
static struct ledger_pending *
pending_find(struct ledger_home *, const struct ledger_claim *);
static void pending_free(struct ledger_home *, struct ledger_pending *);
static void pending_requeue(struct ledger_home *, struct ledger_pending *);
static void pending_abort(struct ledger_home *, struct ledger_pending *);
static void claim_answer(
    struct ledger_home *, const struct ledger_claim *, enum ledger_answer);
static void home_expire(struct ledger_home *, msec);
static msec pending_deadline(const struct ledger_pending *);
static void
list_expire(struct ledger_home *, struct ledger_pending_list *, msec);

RB_GENERATE(ledger_pending_tree, ledger_pending, entry, pending_cmp)

/* Sort by request and status: a claim and its end are separate entries. */
static int
pending_cmp(struct ledger_pending *a, struct ledger_pending *b)
{
	const uint64_t l[] = { a->claim.node, a->claim.incarnation,
		a->claim.request, a->claim.status, a->claim.key[0],
		a->claim.key[1] };
	const uint64_t r[] = { b->claim.node, b->claim.incarnation,
		b->claim.request, b->claim.status, b->claim.key[0],
		b->claim.key[1] };
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(l); i++) {
		if (l[i] != r[i])
			return l[i] < r[i] ? -1 : 1;
	}
	return 0;
}

void
ledger_home_init(
    struct ledger_home *h, const struct ledger_home_ops *ops, void *data)
{
	*h = (struct ledger_home){ .ops = ops, .data = data };
	ledger_fold_init(&h->fold);
	RB_INIT(&h->pending);
	TAILQ_INIT(&h->queued);
	TAILQ_INIT(&h->sent);
}

void
ledger_home_finish(struct ledger_home *h)
{
	struct ledger_pending *p;

	while ((p = TAILQ_FIRST(&h->queued)) != NULL)
		pending_abort(h, p);
	while ((p = TAILQ_FIRST(&h->sent)) != NULL)
		pending_abort(h, p);
	ledger_fold_finish(&h->fold);
}

static struct ledger_pending *
pending_find(struct ledger_home *h, const struct ledger_claim *c)
{
	struct ledger_pending want = { .claim = *c };

	return RB_FIND(ledger_pending_tree, &h->pending, &want);
}

static void
pending_free(struct ledger_home *h, struct ledger_pending *p)
{
	RB_REMOVE(ledger_pending_tree, &h->pending, p);
	if (p->batch == 0) {
		TAILQ_REMOVE(&h->queued, p, list_entry);
		h->nqueued--;
	} else
		TAILQ_REMOVE(&h->sent, p, list_entry);
	h->npending--;
	g_free(p);
}

static void
claim_answer(struct ledger_home *h, const struct ledger_claim *c,
    enum ledger_answer answer)
{
	enum ledger_verdict verdict = LEDGER_UNDECIDABLE;
	struct ledger_claim *first = NULL;

	if (c->status != 0)
		return;
	if (answer == LEDGER_DECIDED) {
		first = ledger_fold_find(&h->fold, c->organisation, c->key);
		verdict = ledger_fold_decide(&h->fold, c);
	}
	log_debug(
	    "claim %u: answer %d, verdict %d", c->request, answer, verdict);
	h->ops->answer(h, c, answer, verdict, first);
}

/*
 * Finish an entry that timed out, or when the home stops or the log is down. A
 * claim that was in a record may still be appended, and another home may read
 * it back as the first, so it is undecided. Any other claim is certainly not in
 * the log.
 */
static void
pending_abort(struct ledger_home *h, struct ledger_pending *p)
{
	struct ledger_claim c = p->claim;
	enum ledger_answer answer =
	    p->may_be_in_log ? LEDGER_UNDECIDED : LEDGER_NOT_APPENDED;

	pending_free(h, p);
	claim_answer(h, &c, answer);
}

void
ledger_home_claim(struct ledger_home *h, msec now, const struct ledger_claim *c)
{
	struct ledger_pending *p;

	/* The entry node sent the claim again, as the answer took long. */
	if (pending_find(h, c) != NULL)
		return;
	/*
	 * If the key is already claimed, answer without a further record. The
	 * first claim may be this one, appended by another home and read here.
	 */
	if (c->status == 0 &&
	    ledger_fold_find(&h->fold, c->organisation, c->key) != NULL) {
		claim_answer(h, c, LEDGER_DECIDED);
		return;
	}
	if (h->npending >= LEDGER_PENDING_MAX ||
	    (h->log_down && c->status == 0)) {
		claim_answer(h, c, LEDGER_NOT_APPENDED);
		return;
	}
	p = g_new0(struct ledger_pending, 1);
	p->claim = *c;
	p->received_at = now;
	RB_INSERT(ledger_pending_tree, &h->pending, p);
	TAILQ_INSERT_TAIL(&h->queued, p, list_entry);
	h->npending++;
	h->nqueued++;
}

static msec
pending_deadline(const struct ledger_pending *p)
{
	return p->received_at + (p->claim.status == 0 ? LEDGER_CLAIM_TIMEOUT
						      : LEDGER_END_TIMEOUT);
}

static void
list_expire(struct ledger_home *h, struct ledger_pending_list *list, msec now)
{
	struct ledger_pending *p, *next;

	TAILQ_FOREACH_SAFE (p, list, list_entry, next) {
		if (now >= pending_deadline(p))
			pending_abort(h, p);
	}
}

static void
home_expire(struct ledger_home *h, msec now)
{
	list_expire(h, &h->queued, now);
	list_expire(h, &h->sent, now);
}

char *
ledger_home_tick(
    struct ledger_home *h, msec now, char id[LOG_ID_SIZE], uint64_t *batch)
{
	struct ledger_claim claims[LEDGER_BATCH_MAX];
	struct ledger_pending *p;
	unsigned int n = 0;

	home_expire(h, now);
	p = TAILQ_FIRST(&h->queued);
	if (p == NULL || h->log_down ||
	    (h->nqueued < LEDGER_BATCH_MAX &&
		now < p->received_at + LEDGER_BATCH_WAIT))
		return NULL;
	*batch = ++h->last_batch;
	while (n < LEDGER_BATCH_MAX && (p = TAILQ_FIRST(&h->queued)) != NULL) {
		TAILQ_REMOVE(&h->queued, p, list_entry);
		h->nqueued--;
		p->batch = *batch;
		p->may_be_in_log = true;
		TAILQ_INSERT_TAIL(&h->sent, p, list_entry);
		claims[n++] = p->claim;
	}
	log_id_make(id);
	return ledger_batch_encode(claims, n, id);
}

msec
ledger_home_next(const struct ledger_home *h)
{
	const struct ledger_pending *p;
	msec next = MSEC_NEVER;

	p = TAILQ_FIRST(&h->queued);
	if (p != NULL)
		next = h->log_down ? pending_deadline(p)
				   : p->received_at + LEDGER_BATCH_WAIT;
	TAILQ_FOREACH (p, &h->sent, list_entry)
		next = MIN(next, pending_deadline(p));
	return next;
}

/* Ends are sent again after a failure, as no caller waits for an answer. */
static void
pending_requeue(struct ledger_home *h, struct ledger_pending *p)
{
	TAILQ_REMOVE(&h->sent, p, list_entry);
	p->batch = 0;
	TAILQ_INSERT_TAIL(&h->queued, p, list_entry);
	h->nqueued++;
}

/*
 * After a successful append the claims are answered when they are read back
 * from the log. An append with unknown outcome may succeed at any later time,
 * so its claims stay pending until they are read back or time out.
 */
void
ledger_home_appended(
    struct ledger_home *h, uint64_t batch, enum ledger_append_outcome outcome)
{
	struct ledger_pending *p, *next;

	if (outcome == LEDGER_APPEND_DONE)
		return;
	TAILQ_FOREACH_SAFE (p, &h->sent, list_entry, next) {
		if (p->batch != batch)
			continue;
		if (p->claim.status != 0) {
			pending_requeue(h, p);
			continue;
		}
		if (outcome == LEDGER_APPEND_UNKNOWN)
			continue;
		p->may_be_in_log = false;
		pending_abort(h, p);
	}
}

void
ledger_home_apply(struct ledger_home *h, uint64_t offset, msec wall,
    const char *data, size_t len)
{
	struct ledger_claim *claims;
	struct ledger_pending *p;
	unsigned int i, n = 0;

	claims = ledger_fold_decode(&h->fold, offset, wall, data, len, &n);
	if (claims == NULL)
		return;
	ledger_fold_claims(&h->fold, offset, wall, claims, n);
	for (i = 0; i < n; i++) {
		p = pending_find(h, &claims[i]);
		if (p == NULL)
			continue;
		pending_free(h, p);
		claim_answer(h, &claims[i], LEDGER_DECIDED);
	}
	free(claims);
}

void
ledger_home_set_log_down(struct ledger_home *h, bool log_down)
{
	struct ledger_pending *p, *next;

	h->log_down = log_down;
	if (!log_down)
		return;
	/* Claims that were in no record are certainly not in the log. */
	TAILQ_FOREACH_SAFE (p, &h->queued, list_entry, next) {
		if (p->claim.status == 0)
			pending_abort(h, p);
	}
}
