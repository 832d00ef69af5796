/*
 * The era of a store that may be restored from a copy some seconds old. On each
 * restore the store loses what it acknowledged after the copy was made, reuses
 * the same offsets, and increments its era. All its answers contain the era.
 *
 * Every reader and writer checks the era of an answer:
 *
 * - An answer of the newest known era is valid.
 * - The first answer of a greater era is valid, but everything read before it
 *   must be read again, at any offset: see ERA_INCREASED.
 * - An answer of a lesser era, or of none where others had one, is ignored: it
 *   was delayed, or does not come from the store.
 * - A store whose answers never contain an era is never rolled back: its era
 *   is 0.
 *
 * Writers need some time to write the lost data again. Until then, the newest
 * data in the store may be older than data that it once acknowledged: see
 * era_is_settled().
 *
 * This module does no I/O.
 */

#ifndef ERA_H
#define ERA_H

#include "savory.h"

/* Keeps tokens below 2^53, which every JSON parser represents exactly. */
#define ERA_MAX ((uint64_t)(1 << 21) - 1)
/* Age of an era while none is known. */
#define ERA_AGE_UNKNOWN UINT32_MAX

/* What to do with an answer of the store. */
enum era_verdict {
	ERA_CURRENT,   /* use it */
	ERA_INCREASED, /* use it, and read everything else again */
	ERA_OUTDATED   /* ignore it */
};

/* Counters; none ever decreases. */
struct era_counters {
	uint64_t changes; /* answers with a greater era than before */
	uint64_t old;	  /* answers of an earlier era */
	uint64_t
	    without_era; /* answers without an era from a store that has one */
};

/* The newest known era of one store. */
struct era {
	uint64_t number; /* 0: no answer contained an era */
	bool has_answer; /* an answer was received */
	msec since;	 /* latest time at which the era can have begun */
	struct era_counters counters;
};

/* No answer has been received yet. */
void era_init(struct era *);
/* Handle the era of an answer from the store; 0: none, or not readable. */
enum era_verdict era_check_answer(struct era *, msec now, uint64_t number);
/* Another node or the store reports that the era is at least so many ms old. */
void era_set_min_age(struct era *, msec now, uint64_t number, uint32_t age_ms);
/* Minimum age of the era in ms, for other nodes, or ERA_AGE_UNKNOWN. */
uint32_t era_age(const struct era *, msec now);
/*
 * Whether a read sent at the time `then` returned the newest data, if writers
 * restore lost data within `rewrite` ms after the store is rolled back. The
 * first era that a node learns of may have begun just before.
 */
bool era_is_settled(const struct era *, msec then, msec rewrite);
/*
 * Mix the era into a mark (a hash of read data that nodes compare), so that a
 * mark from one era never matches one from another.
 */
uint64_t era_mix_mark(const struct era *, uint64_t mark);

/*
 * A number that increases with the offset of a record in the log, also after
 * the log was rolled back and reuses offsets. Never 0.
 */
uint64_t era_token(uint64_t era, uint64_t place);
uint64_t era_token_era(uint64_t token);
/* The offset after the record, which is the lower half of the token. */
uint64_t era_token_end(uint64_t token);

#endif /* ERA_H */
