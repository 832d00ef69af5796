/*
 * Joined calls; see daemon-join.h.
 */

#define LOG_PART "join"
#include "daemon-join.h"
#include "daemon.h"

#include <string.h>

#include <xxhash.h>

/* A key or ticket of an organisation, and the first call with it. */
struct join {
	RB_ENTRY(join) entry;
	TAILQ_ENTRY(join) age; /* ended ones, oldest first */
	name_id organisation;
	XXH128_hash_t key;
	uint64_t body;
	struct call *first; /* holds a reference */
	struct call_list waiting;
	bool ended;
	msec ended_at;
	size_t bytes; /* of its answer, once ended */
};
RB_HEAD(join_tree, join);
TAILQ_HEAD(join_list, join);

struct join_table {
	struct join_tree tree;
	struct join_list ended;
	unsigned int count;
	size_t bytes; /* of finished answers */
};

static int join_compare(const struct join *, const struct join *);
static void join_remove(struct join_table *, struct join *);

RB_PROTOTYPE(join_tree, join, entry, join_compare);
RB_GENERATE(join_tree, join, entry, join_compare);

static int
join_compare(const struct join *a, const struct join *b)
{
	if (a->organisation != b->organisation)
		return a->organisation < b->organisation ? -1 : 1;
	return XXH128_cmp(&a->key, &b->key);
}

struct join_table *
join_table_new(void)
{
	struct join_table *t = g_new0(struct join_table, 1);

	RB_INIT(&t->tree);
	TAILQ_INIT(&t->ended);
	return t;
}

void
join_table_free(struct join_table *t)
{
	struct join *j, *next;

	RB_FOREACH_SAFE (j, join_tree, &t->tree, next)
		join_remove(t, j);
	g_free(t);
}

static void
join_remove(struct join_table *t, struct join *j)
{
	struct call *c;

	while ((c = TAILQ_FIRST(&j->waiting)) != NULL) {
		TAILQ_REMOVE(&j->waiting, c, join_entry);
		call_drop(c);
	}
	RB_REMOVE(join_tree, &t->tree, j);
	if (j->ended) {
		TAILQ_REMOVE(&t->ended, j, age);
		t->bytes -= j->bytes;
	}
	t->count--;
	call_drop(j->first);
	g_free(j);
}

static void
join_make_key(struct join *key, const struct call *c)
{
	const char *text = c->ticket != NULL ? c->ticket : c->key;

	key->organisation = c->organisation;
	/* The seed keeps a ticket and a key of the same text apart. */
	key->key = XXH3_128bits_withSeed(text, strlen(text), c->ticket != NULL);
}

static enum join_result
join_add_first(struct join_table *t, const struct join *key, struct call *c)
{
	struct join *j;

	if (t->count >= JOIN_COUNT_MAX)
		return JOIN_FULL;
	j = g_memdup2(key, sizeof *key);
	j->first = call_take(c);
	j->body = c->body_hash;
	TAILQ_INIT(&j->waiting);
	RB_INSERT(join_tree, &t->tree, j);
	t->count++;
	c->join = j;
	return JOIN_FIRST;
}

enum join_result
join_lookup_or_add(struct join_table *t, struct call *c, bool fresh)
{
	struct join key = { 0 }, *j;

	join_make_key(&key, c);
	if ((j = RB_FIND(join_tree, &t->tree, &key)) == NULL)
		return fresh ? join_add_first(t, &key, c) : JOIN_ANSWER_UNKNOWN;
	if (j->body != c->body_hash) {
		log_debug_of(LOG_REQUEST, c->id,
		    "%s: its key belongs to another body", c->id);
		return JOIN_OTHER_BODY;
	}
	if (!j->ended) {
		log_debug_of(
		    LOG_REQUEST, c->id, "%s joins %s", c->id, j->first->id);
		call_take(c);
		TAILQ_INSERT_TAIL(&j->waiting, c, join_entry);
		return JOIN_WAITING;
	}
	if (!answer_copy(&c->answer, &j->first->answer))
		return JOIN_ANSWER_UNKNOWN;
	return JOIN_ANSWERED;
}

bool
join_exists(struct join_table *t, const struct call *c)
{
	struct join key = { 0 };

	join_make_key(&key, c);
	return RB_FIND(join_tree, &t->tree, &key) != NULL;
}

/*
 * Bounds the memory for kept answers: a burst of requests with keys and long
 * answers could otherwise take gigabytes. The oldest are removed first; later
 * calls with their keys are answered "unknown".
 */
static void
join_evict_oldest(struct join_table *t)
{
	struct join *j, *next;

	TAILQ_FOREACH_SAFE (j, &t->ended, age, next) {
		if (t->bytes <= JOIN_BYTES_MAX)
			return;
		join_remove(t, j);
	}
}

void
join_complete(struct join_table *t, struct call *first, msec now)
{
	struct join *j = first->join;
	struct call *c;

	if (j == NULL)
		return;
	first->join = NULL;
	while ((c = TAILQ_FIRST(&j->waiting)) != NULL) {
		TAILQ_REMOVE(&j->waiting, c, join_entry);
		if (answer_copy(&c->answer, &first->answer))
			daemon_call_joined(first->daemon, c, now);
		else
			daemon_call_join_unknown(first->daemon, c, now);
		call_drop(c);
	}
	if (first->request.outcome == REQUEST_NOT_RUN ||
	    first->request.attempts == 0) {
		/* Nothing ran: the key may be used again. */
		join_remove(t, j);
		return;
	}
	j->ended = true;
	j->ended_at = now;
	j->bytes = first->answer.size;
	t->bytes += j->bytes;
	TAILQ_INSERT_TAIL(&t->ended, j, age);
	join_evict_oldest(t);
}

void
join_tick(struct join_table *t, msec now, msec keep)
{
	struct join *j, *next;

	TAILQ_FOREACH_SAFE (j, &t->ended, age, next) {
		if (now - j->ended_at <= keep)
			return;
		join_remove(t, j);
	}
}

unsigned int
join_count(const struct join_table *t)
{
	return t->count;
}
