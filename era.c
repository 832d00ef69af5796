/*
 * Detects that the store was rolled back, from the era in its answers; see
 * era.h.
 */

#include "era.h"

#include <xxhash.h>

/* Bits of a token that contain the offset in the log. */
#define ERA_TOKEN_BITS 32
#define ERA_TOKEN_PLACE (((uint64_t)1 << ERA_TOKEN_BITS) - 1)

void
era_init(struct era *a)
{
	*a = (struct era){ .since = MSEC_NEVER };
}

static void
era_begin(struct era *a, msec now, uint64_t number)
{
	a->number = number;
	a->has_answer = true;
	a->since = now;
}

enum era_verdict
era_check_answer(struct era *a, msec now, uint64_t number)
{
	if (number > ERA_MAX)
		number = 0;
	if (!a->has_answer) {
		era_begin(a, now, number);
		return ERA_CURRENT;
	}
	if (number == a->number)
		return ERA_CURRENT;
	if (number == 0) {
		a->counters.without_era++;
		return ERA_OUTDATED;
	}
	if (number < a->number) {
		a->counters.old++;
		return ERA_OUTDATED;
	}
	era_begin(a, now, number);
	a->counters.changes++;
	return ERA_INCREASED;
}

void
era_set_min_age(struct era *a, msec now, uint64_t number, uint32_t age_ms)
{
	if (!a->has_answer || number != a->number || age_ms == ERA_AGE_UNKNOWN)
		return;
	a->since = MIN(a->since, now - age_ms);
}

uint32_t
era_age(const struct era *a, msec now)
{
	if (a->number == 0)
		return ERA_AGE_UNKNOWN;
	return (uint32_t)CLAMP(now - a->since, 0, (msec)ERA_AGE_UNKNOWN - 1);
}

bool
era_is_settled(const struct era *a, msec then, msec rewrite)
{
	return a->number == 0 || then >= a->since + rewrite;
}

uint64_t
era_mix_mark(const struct era *a, uint64_t mark)
{
	return a->number == 0 ? mark
			      : mark ^ XXH64(&a->number, sizeof a->number, 11);
}

uint64_t
era_token(uint64_t era, uint64_t place)
{
	return (era << ERA_TOKEN_BITS) | ((place + 1) & ERA_TOKEN_PLACE);
}

uint64_t
era_token_era(uint64_t token)
{
	return token >> ERA_TOKEN_BITS;
}

uint64_t
era_token_end(uint64_t token)
{
	return token & ERA_TOKEN_PLACE;
}
