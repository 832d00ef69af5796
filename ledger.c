/*
 * The ledger's fold, which finds the first claim of each key; see ledger.h.
 */

#define LOG_PART "ledger"
#include "ledger.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/* Indexes of the members of a claim's array in a record. */
enum claim_member {
	MEMBER_ORGANISATION,
	MEMBER_KEY,
	MEMBER_BODY,
	MEMBER_NODE,
	MEMBER_INCARNATION,
	MEMBER_REQUEST,
	MEMBER_STATUS,
	MEMBER_COUNT
};

static int claim_cmp(struct ledger_claim *, struct ledger_claim *);
static bool
claim_same_request(const struct ledger_claim *, const struct ledger_claim *);
static struct ledger_claim *
claim_find_withdrawn(struct ledger_fold *, const struct ledger_claim *);
static void claim_insert(struct ledger_fold *, struct ledger_claim_tree *,
    const struct ledger_claim *);
static void claim_remove(struct ledger_fold *, struct ledger_claim *);
static void fold_expire(struct ledger_fold *);
static void fold_claim(struct ledger_fold *, const struct ledger_claim *);
static void fold_end(struct ledger_fold *, const struct ledger_claim *);
static bool hex_decode(const json_t *, unsigned int, uint64_t *);
static bool claim_decode(struct ledger_claim *, const json_t *);

RB_GENERATE(ledger_claim_tree, ledger_claim, entry, claim_cmp)

/*
 * Sort by key, then by request. The tree of first claims contains one claim per
 * key and is searched with a request of zero.
 */
static int
claim_cmp(struct ledger_claim *a, struct ledger_claim *b)
{
	const uint64_t l[] = { a->organisation, a->key[0], a->key[1], a->node,
		a->incarnation, a->request };
	const uint64_t r[] = { b->organisation, b->key[0], b->key[1], b->node,
		b->incarnation, b->request };
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(l); i++) {
		if (l[i] != r[i])
			return l[i] < r[i] ? -1 : 1;
	}
	return 0;
}

static bool
claim_same_request(const struct ledger_claim *a, const struct ledger_claim *b)
{
	return a->node == b->node && a->incarnation == b->incarnation &&
	       a->request == b->request;
}

void
ledger_fold_init(struct ledger_fold *f)
{
	*f = (struct ledger_fold){ 0 };
	RB_INIT(&f->claims);
	RB_INIT(&f->withdrawn);
	TAILQ_INIT(&f->by_age);
	f->next = 1;
	f->missing_until = -MSEC_NEVER;
}

void
ledger_fold_finish(struct ledger_fold *f)
{
	struct ledger_claim *c;

	while ((c = TAILQ_FIRST(&f->by_age)) != NULL)
		claim_remove(f, c);
}

void
ledger_key_hash(name_id organisation, const char *key, uint64_t hash[2])
{
	XXH128_hash_t h = XXH3_128bits_withSeed(key, strlen(key), organisation);

	hash[0] = h.high64;
	hash[1] = h.low64;
}

unsigned int
ledger_shard(name_id organisation, const char *key)
{
	uint64_t hash[2];

	ledger_key_hash(organisation, key, hash);
	return (unsigned int)(hash[0] % LOG_LEDGER_SHARDS);
}

struct ledger_claim *
ledger_fold_find(
    struct ledger_fold *f, name_id organisation, const uint64_t key[2])
{
	struct ledger_claim want = { .organisation = organisation,
		.key = { key[0], key[1] } };
	struct ledger_claim *c;

	c = RB_NFIND(ledger_claim_tree, &f->claims, &want);
	if (c == NULL || c->organisation != organisation ||
	    c->key[0] != key[0] || c->key[1] != key[1])
		return NULL;
	return c;
}

static struct ledger_claim *
claim_find_withdrawn(struct ledger_fold *f, const struct ledger_claim *c)
{
	struct ledger_claim want = *c;

	return RB_FIND(ledger_claim_tree, &f->withdrawn, &want);
}

static void
claim_insert(struct ledger_fold *f, struct ledger_claim_tree *tree,
    const struct ledger_claim *c)
{
	struct ledger_claim *copy = g_memdup2(c, sizeof *c);

	RB_INSERT(ledger_claim_tree, tree, copy);
	TAILQ_INSERT_TAIL(&f->by_age, copy, age_entry);
	f->count++;
}

static void
claim_remove(struct ledger_fold *f, struct ledger_claim *c)
{
	struct ledger_claim_tree *tree =
	    c->status == LEDGER_WITHDRAWN ? &f->withdrawn : &f->claims;

	RB_REMOVE(ledger_claim_tree, tree, c);
	TAILQ_REMOVE(&f->by_age, c, age_entry);
	f->count--;
	g_free(c);
}

static void
fold_expire(struct ledger_fold *f)
{
	struct ledger_claim *c, *next;

	TAILQ_FOREACH_SAFE (c, &f->by_age, age_entry, next) {
		if (f->wall - c->wall <= LEDGER_WINDOW)
			return;
		claim_remove(f, c);
	}
}

/*
 * An entry node may withdraw a claim while the append is still in progress, so
 * that the log has the claim after its withdrawal. That would leave a key that
 * no node executes and no request can use. So withdrawn claims are stored, and
 * a later record of such a claim is ignored.
 */
static void
fold_claim(struct ledger_fold *f, const struct ledger_claim *c)
{
	if (claim_find_withdrawn(f, c) != NULL ||
	    ledger_fold_find(f, c->organisation, c->key) != NULL)
		return;
	claim_insert(f, &f->claims, c);
}

static void
fold_end(struct ledger_fold *f, const struct ledger_claim *c)
{
	struct ledger_claim *first;

	first = ledger_fold_find(f, c->organisation, c->key);
	if (first != NULL && !claim_same_request(first, c))
		first = NULL;
	if (c->status != LEDGER_WITHDRAWN) {
		if (first != NULL && first->status == 0)
			first->status = c->status;
		return;
	}
	/* A request that ended was executed; its claim cannot be withdrawn. */
	if (first != NULL && first->status != 0)
		return;
	if (first != NULL)
		claim_remove(f, first);
	if (claim_find_withdrawn(f, c) == NULL)
		claim_insert(f, &f->withdrawn, c);
}

void
ledger_fold_claims(struct ledger_fold *f, uint64_t offset, msec wall,
    struct ledger_claim *claims, unsigned int n)
{
	unsigned int i;

	/* If the log's clock steps back, claims must not become younger. */
	f->wall = MAX(f->wall, wall);
	fold_expire(f);
	for (i = 0; i < n; i++) {
		claims[i].offset = offset;
		claims[i].wall = f->wall;
		if (claims[i].status == 0)
			fold_claim(f, &claims[i]);
		else
			fold_end(f, &claims[i]);
	}
}

void
ledger_fold_apply(struct ledger_fold *f, uint64_t offset, msec wall,
    const char *data, size_t len)
{
	struct ledger_claim *claims;
	unsigned int n = 0;

	claims = ledger_fold_decode(f, offset, wall, data, len, &n);
	if (claims != NULL)
		ledger_fold_claims(f, offset, wall, claims, n);
	free(claims);
}

struct ledger_claim *
ledger_fold_decode(struct ledger_fold *f, uint64_t offset, msec wall,
    const char *data, size_t len, unsigned int *n)
{
	struct ledger_claim *claims = NULL;
	json_t *o;

	if (offset < f->next)
		return NULL;
	if (offset > f->next)
		ledger_fold_gap(f, offset, wall);
	f->next = offset + 1;
	o = log_record_decode(data, len);
	if (o != NULL)
		claims = ledger_batch_decode(o, n);
	if (claims == NULL)
		f->skipped++;
	json_decref(o);
	return claims;
}

void
ledger_fold_gap(struct ledger_fold *f, uint64_t first, msec wall)
{
	if (first <= f->next)
		return;
	log_info(
	    "ledger records are missing; keys claimed up to %" G_GINT64_FORMAT
	    " ms are unknown",
	    wall);
	f->next = first;
	f->missing_until = MAX(f->missing_until, wall);
}

bool
ledger_fold_can_decide(const struct ledger_fold *f, msec wall)
{
	return f->missing_until < wall - LEDGER_WINDOW;
}

/*
 * A home may start to read a stream whose earlier records are gone. A key that
 * was claimed in one of them would look free, and its request would be executed
 * twice. So LEDGER_FIRST is returned only if all records within LEDGER_WINDOW
 * before the claim have been read.
 */
enum ledger_verdict
ledger_fold_decide(struct ledger_fold *f, const struct ledger_claim *c)
{
	struct ledger_claim *first;

	first = ledger_fold_find(f, c->organisation, c->key);
	if (first == NULL)
		return LEDGER_UNDECIDABLE;
	if (first->body != c->body)
		return LEDGER_OTHER_BODY;
	if (!claim_same_request(first, c))
		return LEDGER_NOT_FIRST;
	return ledger_fold_can_decide(f, first->wall) ? LEDGER_FIRST
						      : LEDGER_UNDECIDABLE;
}

char *
ledger_batch_encode(
    const struct ledger_claim *claims, unsigned int n, const char *id)
{
	json_t *o = log_record_new("ledger-batch", id), *a = json_array();
	const struct ledger_claim *c;
	char hex[MEMBER_REQUEST][33];
	unsigned int i;

	for (i = 0; i < n; i++) {
		c = &claims[i];
		g_snprintf(hex[MEMBER_ORGANISATION], 33,
		    "%016" G_GINT64_MODIFIER "x", c->organisation);
		g_snprintf(hex[MEMBER_KEY], 33,
		    "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
		    c->key[0], c->key[1]);
		g_snprintf(hex[MEMBER_BODY], 33, "%016" G_GINT64_MODIFIER "x",
		    c->body);
		g_snprintf(hex[MEMBER_NODE], 33, "%016" G_GINT64_MODIFIER "x",
		    c->node);
		g_snprintf(hex[MEMBER_INCARNATION], 33,
		    "%016" G_GINT64_MODIFIER "x", c->incarnation);
		json_array_append_new(
		    a, json_pack("[s,s,s,s,s,I,I]", hex[MEMBER_ORGANISATION],
			   hex[MEMBER_KEY], hex[MEMBER_BODY], hex[MEMBER_NODE],
			   hex[MEMBER_INCARNATION], (json_int_t)c->request,
			   (json_int_t)c->status));
	}
	json_object_set_new(o, "claims", a);
	return log_record_encode(o);
}

/* Decode 64-bit words of 16 hex digits each. */
static bool
hex_decode(const json_t *o, unsigned int words, uint64_t *out)
{
	const char *s = json_string_value(o);
	char word[17];
	unsigned int i;

	if (s == NULL || strlen(s) != 16 * words ||
	    strspn(s, "0123456789abcdef") != 16 * words)
		return false;
	for (i = 0; i < words; i++) {
		g_strlcpy(word, s + 16 * i, sizeof word);
		out[i] = g_ascii_strtoull(word, NULL, 16);
	}
	return true;
}

static bool
claim_decode(struct ledger_claim *c, const json_t *a)
{
	const json_t *request = json_array_get(a, MEMBER_REQUEST);
	const json_t *status = json_array_get(a, MEMBER_STATUS);

	if (json_array_size(a) != MEMBER_COUNT ||
	    !hex_decode(
		json_array_get(a, MEMBER_ORGANISATION), 1, &c->organisation) ||
	    !hex_decode(json_array_get(a, MEMBER_KEY), 2, c->key) ||
	    !hex_decode(json_array_get(a, MEMBER_BODY), 1, &c->body) ||
	    !hex_decode(json_array_get(a, MEMBER_NODE), 1, &c->node) ||
	    !hex_decode(
		json_array_get(a, MEMBER_INCARNATION), 1, &c->incarnation) ||
	    !json_is_integer(request) || !json_is_integer(status) ||
	    json_integer_value(request) < 0 ||
	    json_integer_value(request) > UINT32_MAX ||
	    json_integer_value(status) < 0 ||
	    json_integer_value(status) > UINT16_MAX)
		return false;
	c->request = (uint32_t)json_integer_value(request);
	c->status = (unsigned int)json_integer_value(status);
	return true;
}

/* If any claim of a batch is invalid, the whole batch is ignored. */
struct ledger_claim *
ledger_batch_decode(const json_t *o, unsigned int *n)
{
	const json_t *a = json_object_get(o, "claims"), *one;
	struct ledger_claim *claims;
	size_t i;

	if (strcmp(log_record_kind(o), "ledger-batch") != 0 ||
	    json_array_size(a) == 0 || json_array_size(a) > LEDGER_BATCH_MAX)
		return NULL;
	claims = calloc(json_array_size(a), sizeof *claims);
	if (claims == NULL)
		return NULL;
	json_array_foreach (a, i, one) {
		if (!claim_decode(&claims[i], one)) {
			free(claims);
			return NULL;
		}
	}
	*n = (unsigned int)json_array_size(a);
	return claims;
}
