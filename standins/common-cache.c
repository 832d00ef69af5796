/*
 * Prefix cache of the engine stand-in; see common-cache.h.
 */

#include "common-cache.h"

#include <inttypes.h>

#define CACHE_EVENTS_MAX 10000

void
cache_init(struct cache *c, unsigned int max, GRand *rand)
{
	TAILQ_INIT(&c->prefixes);
	TAILQ_INIT(&c->events);
	c->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
	c->max = max;
	c->event_count = 0;
	c->next_seq = 1;
	c->loss_permille = 0;
	c->rand = rand;
}

static void
cache_event_add(struct cache *c, uint64_t hash, bool add, msec now)
{
	struct cache_event *ev = g_new0(struct cache_event, 1);

	ev->seq = c->next_seq++;
	ev->when = now;
	ev->add = add;
	ev->hash = hash;
	ev->lost = g_rand_double_range(c->rand, 0, 1000) < c->loss_permille;
	TAILQ_INSERT_TAIL(&c->events, ev, entry);
	if (++c->event_count <= CACHE_EVENTS_MAX)
		return;
	ev = TAILQ_FIRST(&c->events);
	TAILQ_REMOVE(&c->events, ev, entry);
	c->event_count--;
	g_free(ev);
}

static void
cache_drop_oldest(struct cache *c, msec now)
{
	struct cache_prefix *p = TAILQ_FIRST(&c->prefixes);

	TAILQ_REMOVE(&c->prefixes, p, entry);
	g_hash_table_remove(c->by_hash, &p->hash);
	cache_event_add(c, p->hash, false, now);
	g_free(p);
}

bool
cache_use(struct cache *c, uint64_t hash, msec now)
{
	struct cache_prefix *p = g_hash_table_lookup(c->by_hash, &hash);

	if (p != NULL) {
		TAILQ_REMOVE(&c->prefixes, p, entry);
		TAILQ_INSERT_TAIL(&c->prefixes, p, entry);
		return true;
	}
	if (c->max == 0)
		return false;
	if (g_hash_table_size(c->by_hash) >= c->max)
		cache_drop_oldest(c, now);
	p = g_new0(struct cache_prefix, 1);
	p->hash = hash;
	TAILQ_INSERT_TAIL(&c->prefixes, p, entry);
	g_hash_table_insert(c->by_hash, &p->hash, p);
	cache_event_add(c, hash, true, now);
	return false;
}

json_t *
cache_events(struct cache *c, int64_t from, msec until, int64_t *next)
{
	json_t *list = json_array();
	struct cache_event *ev;
	char hex[17];

	*next = from;
	TAILQ_FOREACH (ev, &c->events, entry) {
		if (ev->when > until)
			break;
		if (ev->seq < from)
			continue;
		*next = ev->seq + 1;
		if (ev->lost)
			continue;
		snprintf(hex, sizeof hex, "%016" PRIx64, ev->hash);
		json_array_append_new(
		    list, json_pack("{s:I,s:s,s:s}", "seq", (json_int_t)ev->seq,
			      "kind", ev->add ? "add" : "drop", "prefix", hex));
	}
	return list;
}
