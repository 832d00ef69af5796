/*
 * Leases kept in the log, and the local node's claims; see lease.h.
 */

#define LOG_PART "lease"
#include "lease.h"

#include <inttypes.h>
#include <string.h>

static int lease_cmp(struct lease *, struct lease *);
static struct lease *lease_get(struct lease_fold *, const char *, bool);
static void lease_free(struct lease_fold *, struct lease *);
static bool fold_has_no_lease(const struct lease_fold *, const struct lease *);
static bool
claim_accepted(const struct lease_fold *, const struct lease *, uint64_t);
static bool claim_replaces_unresolved(const struct lease *, uint64_t);
static void claim_store_unresolved(struct lease *, uint64_t, uint64_t);
static void claim_rejected(
    struct lease_fold *, struct lease *, const char *, uint64_t, uint64_t);
static void fold_claim(struct lease_fold *, msec, uint64_t, const json_t *);
static void fold_release(struct lease_fold *, const json_t *);
static bool
record_decode(const json_t *, const char **, uint64_t *, name_id *, uint64_t *);
static json_t *record_new(
    const char *, const char *, uint64_t, name_id, uint64_t, const char *);
static bool client_holds(const struct lease_client *, msec);
static bool client_is_holder(const struct lease_client *, const struct lease *);
static void
client_claim_accepted(struct lease_client *, msec, const struct lease *);

RB_GENERATE(lease_tree, lease, entry, lease_cmp)

static int
lease_cmp(struct lease *a, struct lease *b)
{
	return strcmp(a->service, b->service);
}

void
lease_fold_init(struct lease_fold *f)
{
	*f = (struct lease_fold){ .next = 1, .missing_until = -MSEC_NEVER };
	RB_INIT(&f->leases);
}

void
lease_fold_finish(struct lease_fold *f)
{
	struct lease *l;

	while ((l = RB_ROOT(&f->leases)) != NULL)
		lease_free(f, l);
}

static struct lease *
lease_get(struct lease_fold *f, const char *service, bool create)
{
	struct lease *l, key;

	g_strlcpy(key.service, service, sizeof key.service);
	l = RB_FIND(lease_tree, &f->leases, &key);
	if (l != NULL || !create)
		return l;
	l = g_new0(struct lease, 1);
	g_strlcpy(l->service, service, sizeof l->service);
	RB_INSERT(lease_tree, &f->leases, l);
	return l;
}

static void
lease_free(struct lease_fold *f, struct lease *l)
{
	RB_REMOVE(lease_tree, &f->leases, l);
	g_free(l);
}

struct lease *
lease_fold_find(struct lease_fold *f, const char *service)
{
	struct lease *l = lease_get(f, service, false);

	return l != NULL && l->certain ? l : NULL;
}

void
lease_fold_gap(struct lease_fold *f, msec now, uint64_t first, msec wall)
{
	struct lease *l;

	if (first <= f->next)
		return;
	log_info("lease records before offset %" PRIu64 " are missing", first);
	f->next = first;
	f->missing_until = MAX(f->missing_until, wall);
	f->gap_at = now;
	while ((l = RB_ROOT(&f->leases)) != NULL) {
		/* The analyzer loses the tree's links in RB_REMOVE. */
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		lease_free(f, l);
	}
}

void
lease_fold_apply(struct lease_fold *f, msec now, uint64_t offset, msec wall,
    const char *data, size_t len)
{
	json_t *o;

	if (offset < f->next)
		return;
	if (offset > f->next)
		lease_fold_gap(f, now, offset, wall);
	f->next = offset + 1;
	f->wall = MAX(f->wall, wall);
	o = log_record_decode(data, len);
	if (strcmp(log_record_kind(o), "lease-claim") == 0)
		fold_claim(f, now, offset, o);
	else if (strcmp(log_record_kind(o), "lease-release") == 0)
		fold_release(f, o);
	else
		f->skipped++;
	json_decref(o);
}

static bool
record_decode(const json_t *o, const char **service, uint64_t *replaces,
    name_id *holder, uint64_t *incarnation)
{
	*service = json_string_value(json_object_get(o, "service"));
	return *service != NULL && name_valid(*service) &&
	       log_record_uint(o, "replaces", replaces) &&
	       log_record_hex(o, "holder", holder) &&
	       log_record_hex(o, "incarnation", incarnation);
}

/* Whether there is certainly no lease in force at the newest record's time. */
static bool
fold_has_no_lease(const struct lease_fold *f, const struct lease *l)
{
	if (l != NULL && f->wall - l->wall <= LEASE_MAX_AGE)
		return false;
	return (l != NULL && l->certain) ||
	       f->missing_until < f->wall - LEASE_MAX_AGE;
}

/* Whether this is the first claim that replaces an unresolved claim. */
static bool
claim_replaces_unresolved(const struct lease *l, uint64_t replaces)
{
	bool found = false;
	unsigned int i;

	for (i = 0; i < l->nunresolved; i++) {
		if (l->unresolved[i].replaces == replaces)
			return false;
		found |= l->unresolved[i].offset == replaces;
	}
	return found;
}

/*
 * Store a claim while the record in force is unknown. If the oldest one is
 * dropped, a claim that replaces it stays unresolved too; all claims that
 * replace a younger one are still stored.
 */
static void
claim_store_unresolved(struct lease *l, uint64_t offset, uint64_t replaces)
{
	if (l->nunresolved == LEASE_UNRESOLVED_MAX) {
		l->nunresolved--;
		memmove(&l->unresolved[0], &l->unresolved[1],
		    l->nunresolved * sizeof l->unresolved[0]);
	}
	l->unresolved[l->nunresolved].offset = offset;
	l->unresolved[l->nunresolved].replaces = replaces;
	l->nunresolved++;
}

static bool
claim_accepted(
    const struct lease_fold *f, const struct lease *l, uint64_t replaces)
{
	if (fold_has_no_lease(f, l))
		return replaces == 0;
	if (l == NULL)
		return false;
	if (l->certain)
		return replaces == l->fencing;
	return claim_replaces_unresolved(l, replaces);
}

/* Handle a claim that is rejected, or unresolved. */
static void
claim_rejected(struct lease_fold *f, struct lease *l, const char *service,
    uint64_t offset, uint64_t replaces)
{
	if (fold_has_no_lease(f, l)) {
		/* The lease has been forgotten; the next claim replaces 0. */
		if (l != NULL)
			lease_free(f, l);
		return;
	}
	if (l != NULL && l->certain)
		return;
	l = lease_get(f, service, true);
	claim_store_unresolved(l, offset, replaces);
	l->wall = f->wall;
}

static void
fold_claim(struct lease_fold *f, msec now, uint64_t offset, const json_t *o)
{
	const char *service;
	uint64_t replaces, incarnation, term;
	name_id holder;
	struct lease *l;

	/* Challengers wait at most LEASE_TERM, so a longer term is invalid. */
	if (!record_decode(o, &service, &replaces, &holder, &incarnation) ||
	    !log_record_uint(o, "term_ms", &term) || term > LEASE_TERM) {
		f->skipped++;
		return;
	}
	l = lease_get(f, service, false);
	if (!claim_accepted(f, l, replaces)) {
		log_debug(
		    "claim %" PRIu64 " on %s not accepted", offset, service);
		claim_rejected(f, l, service, offset, replaces);
		return;
	}
	l = lease_get(f, service, true);
	l->certain = true;
	l->nunresolved = 0;
	l->fencing = offset;
	l->holder = holder;
	l->incarnation = incarnation;
	l->released = false;
	l->term = (msec)term;
	l->read_at = now;
	l->wall = f->wall;
	g_strlcpy(l->id, log_record_id(o), sizeof l->id);
	log_debug("claim %" PRIu64 " on %s accepted", offset, service);
}

static void
fold_release(struct lease_fold *f, const json_t *o)
{
	const char *service;
	uint64_t replaces, incarnation;
	name_id holder;
	struct lease *l;

	if (!record_decode(o, &service, &replaces, &holder, &incarnation)) {
		f->skipped++;
		return;
	}
	l = lease_fold_find(f, service);
	if (l != NULL && l->fencing == replaces && l->holder == holder &&
	    l->incarnation == incarnation)
		l->released = true;
}

static json_t *
record_new(const char *kind, const char *service, uint64_t replaces,
    name_id holder, uint64_t incarnation, const char *id)
{
	json_t *o = log_record_new(kind, id);

	json_object_set_new(o, "service", json_string(service));
	json_object_set_new(o, "replaces", json_integer((json_int_t)replaces));
	log_record_set_hex(o, "holder", holder);
	log_record_set_hex(o, "incarnation", incarnation);
	return o;
}

char *
lease_claim_encode(const char *service, uint64_t replaces, name_id holder,
    uint64_t incarnation, msec term, const char *id)
{
	json_t *o = record_new(
	    "lease-claim", service, replaces, holder, incarnation, id);

	json_object_set_new(o, "term_ms", json_integer(term));
	return log_record_encode(o);
}

char *
lease_release_encode(const char *service, uint64_t replaces, name_id holder,
    uint64_t incarnation, const char *id)
{
	return log_record_encode(record_new(
	    "lease-release", service, replaces, holder, incarnation, id));
}

void
lease_client_init(struct lease_client *u, const char *service, name_id self,
    uint64_t incarnation)
{
	*u = (struct lease_client){ .self = self, .incarnation = incarnation };
	g_strlcpy(u->service, service, sizeof u->service);
}

static bool
client_holds(const struct lease_client *u, msec now)
{
	return u->fencing != 0 && now < u->until;
}

static bool
client_is_holder(const struct lease_client *u, const struct lease *l)
{
	return l->holder == u->self && l->incarnation == u->incarnation &&
	       !l->released;
}

/*
 * Nodes share no clock, and the holder may be paused. The holder counts its
 * term from before it sent the claim. A challenger counts it from when it read
 * the claim, which is later, and adds a margin for clock drift. So a challenger
 * claims only after the term has ended at the holder, also if the record
 * reached the challenger late.
 */
enum lease_action
lease_client_tick(const struct lease_client *u, msec now, struct lease_fold *f,
    uint64_t *replaces)
{
	struct lease *l = lease_fold_find(f, u->service);

	if (u->leaving)
		return LEASE_NOTHING;
	/* A claim appended later than this leaves too little of its term. */
	if (u->pending && now < u->sent_at + LEASE_TERM / 2)
		return LEASE_NOTHING;
	if (l == NULL) {
		/*
		 * If records may be missing, an unknown lease may exist: wait
		 * until the folds of all nodes have dropped it.
		 */
		if (f->missing_until != -MSEC_NEVER &&
		    now < f->gap_at + LEASE_MAX_AGE + LEASE_CLOCK_MARGIN)
			return LEASE_NOTHING;
		*replaces = 0;
		return LEASE_CLAIM;
	}
	*replaces = l->fencing;
	if (client_is_holder(u, l) && client_holds(u, now))
		return u->until - now < LEASE_TERM * 2 / 3 ? LEASE_RENEW
							   : LEASE_NOTHING;
	if (client_is_holder(u, l) || l->released ||
	    now >= l->read_at + l->term + LEASE_CLOCK_MARGIN)
		return LEASE_CLAIM;
	return LEASE_NOTHING;
}

void
lease_client_claim_sent(struct lease_client *u, msec now, struct lease_fold *f,
    uint64_t replaces, const char *id)
{
	struct lease *l = lease_fold_find(f, u->service);

	u->pending = true;
	u->replaces = replaces;
	u->replaces_released = l != NULL && l->released;
	u->sent_at = now;
	g_strlcpy(u->id, id, sizeof u->id);
}

/*
 * Engines that do not check fencing numbers would execute a delayed order of
 * the previous holder after one of this holder. So this node waits for a term
 * and the longest order before its first order to them; only for the longest
 * order if the previous holder released the lease.
 */
static void
client_claim_accepted(struct lease_client *u, msec now, const struct lease *l)
{
	bool held = client_holds(u, now);

	u->fencing = l->fencing;
	u->until = u->sent_at + l->term;
	if (held)
		return;
	u->unfenced_orders_from = now + LEASE_ORDER_TIMEOUT;
	if (!u->replaces_released)
		u->unfenced_orders_from += LEASE_TERM + LEASE_CLOCK_MARGIN;
	log_info("%s: lease acquired, fencing number %" PRIu64, u->service,
	    u->fencing);
}

/*
 * A claim that timed out and was sent again may have been accepted in its first
 * copy. The term of that copy began earlier than that of the second, so orders
 * near its end would overlap with those of the next holder. Only the claim that
 * was sent last starts a term. If an earlier one was accepted, this node is the
 * holder in the fold, but has to claim again before it sends orders.
 */
void
lease_client_fold_changed(
    struct lease_client *u, msec now, struct lease_fold *f)
{
	struct lease *l = lease_fold_find(f, u->service);

	if (l == NULL) {
		/* A claim on a forgotten record cannot be accepted. */
		u->fencing = 0;
		u->pending = u->pending && u->replaces == 0;
		return;
	}
	if (u->pending && l->fencing != u->replaces) {
		u->pending = false;
		if (!u->leaving && client_is_holder(u, l) &&
		    strcmp(u->id, l->id) == 0)
			client_claim_accepted(u, now, l);
	}
	if (l->fencing != u->fencing || l->released)
		u->fencing = 0;
}

void
lease_client_claim_failed(struct lease_client *u)
{
	u->pending = false;
}

void
lease_client_release(struct lease_client *u)
{
	u->fencing = 0;
	u->until = 0;
	u->leaving = true;
}

/* A holder that was paused finds here that its term has ended. */
bool
lease_client_may_order(const struct lease_client *u, msec now, bool fenced)
{
	if (u->fencing == 0 || now + LEASE_ORDER_TIMEOUT > u->until)
		return false;
	return fenced || now >= u->unfenced_orders_from;
}
