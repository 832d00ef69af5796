/*
 * The era of a store that may come back from a copy some seconds old. Each
 * time it does, it has lost what it acknowledged since that copy was made,
 * gives the same offsets out again, and counts one era more, which all its
 * answers name.
 *
 * Every reader and writer asks here what an answer is worth:
 *
 * - An answer of the newest era counts.
 * - The first of a greater era counts, and what was read before it has to be
 *   read anew, whatever its offset: see ERA_ROSE.
 * - One of a lesser era, or with none where others had one, says nothing: it
 *   has waited on its way, or is not the store's.
 * - A store that never names an era never goes back: its era is 0.
 *
 * Those who write to the store need a while to write again what was lost.
 * Until they had it, the newest that the store has may be older than what it
 * once acknowledged: see era_settled().
 *
 * A core without input or output.
 */

#ifndef ERA_H
#define ERA_H

#include "savory.h"

/* A token must stay under 2^53, so that it passes through any JSON. */
#define ERA_MAX ((uint64_t)(1 << 21) - 1)
/* The age of an era of which nothing has been heard. */
#define ERA_AGE_UNKNOWN UINT32_MAX

/* What an answer is worth. */
enum era_verdict {
	ERA_SAME, /* take it */
	ERA_ROSE, /* take it, and read all else anew */
	ERA_OLD	  /* nothing is to be learned from it */
};

/* Counters; all only grow. */
struct era_counters {
	uint64_t changes; /* answers that began an era */
	uint64_t old;	  /* answers of an era that is over */
	uint64_t unnamed; /* answers without an era where there are eras */
};

/* In the embedder's memory. */
struct era {
	uint64_t number; /* the newest; 0: none was ever named */
	bool heard;	 /* an answer has come */
	msec since;	 /* it has lasted since then at least */
	struct era_counters counters;
};

/* Nothing has been heard. */
void era_init(struct era *);
/* An answer of the store names this era; 0: it names none that can be read. */
enum era_verdict era_heard(struct era *, msec now, uint64_t number);
/* Another node, or the store, shows that the era has lasted so many ms. */
void era_told(struct era *, msec now, uint64_t number, uint32_t age_ms);
/* For other nodes: how long it has lasted at least, or ERA_AGE_UNKNOWN. */
uint32_t era_age(const struct era *, msec now);
/*
 * What a read that was sent then has found is the newest, given that what was
 * lost is written again within so many ms of the store's return. An era that is
 * met at the start may have begun just before.
 */
bool era_settled(const struct era *, msec then, msec rewrite);
/*
 * Marks are compared between nodes. Of two eras they differ, so that a word
 * about one proves nothing in the other.
 */
uint64_t era_mark(const struct era *, uint64_t mark);

/*
 * A number that grows with the place of a record in the log, also when the log
 * has gone back and gives that place out again. Never 0.
 */
uint64_t era_token(uint64_t era, uint64_t place);
uint64_t era_token_era(uint64_t token);
/* Offset after the record. */
uint64_t era_token_end(uint64_t token);

#endif /* ERA_H */
