/*
 * An engine's cache of prompt prefixes in limited memory, least recently used
 * dropped first, and the events about it, which come late and with gaps.
 */

#ifndef COMMON_CACHE_H
#define COMMON_CACHE_H

#include "savory.h"

#include <jansson.h>

struct cache_prefix {
	TAILQ_ENTRY(cache_prefix) entry;
	uint64_t hash;
};
TAILQ_HEAD(cache_prefix_list, cache_prefix);

struct cache_event {
	TAILQ_ENTRY(cache_event) entry;
	int64_t seq;
	msec when;
	bool add;
	bool lost; /* leaves a gap in the sequence numbers */
	uint64_t hash;
};
TAILQ_HEAD(cache_event_list, cache_event);

struct cache {
	struct cache_prefix_list prefixes; /* oldest first */
	GHashTable *by_hash;
	unsigned int max;
	struct cache_event_list events;
	unsigned int event_count;
	int64_t next_seq;
	double loss_permille;
	GRand *rand;
};

void cache_init(struct cache *, unsigned int, GRand *);
/* Use a prefix; true if it was cached already. */
bool cache_use(struct cache *, uint64_t, msec);
/*
 * Events from a sequence number that are no younger than the given time, and
 * the number after the last of them.
 */
json_t *cache_events(struct cache *, int64_t, msec, int64_t *);

#endif /* COMMON_CACHE_H */
