/*
 * Transfer of cached prompts between servers; see prompt-fetch.h.
 */

#include "prompt-fetch.h"

#include <glib.h>

/* Part of the memory that may be in use; outputs need the rest. */
#define SPACE_USED_PART 0.75
/* Time to begin a transfer, whatever its size. */
#define TRANSFER_SETUP_MS 3.0
#define BITS_PER_BYTE 8
/* A link of one Mbit/s transfers so many bits in a millisecond. */
#define MBPS_BITS_PER_MS 1000.0

bool
prompt_transfer_possible(const struct prompt_transfer *t)
{
	return t != NULL && t->token_bytes > 0 && t->link_mbps > 0;
}

double
prompt_transfer_ms(const struct prompt_transfer *t, unsigned int tokens)
{
	double bits = (double)tokens * t->token_bytes * BITS_PER_BYTE;

	return TRANSFER_SETUP_MS + bits / (t->link_mbps * MBPS_BITS_PER_MS);
}

double
prompt_fetch_ms(const struct prompt_transfer *t, msec now, msec source_until,
    msec destination_until, unsigned int tokens)
{
	msec wait = MAX(source_until, destination_until) - now;

	return (double)MAX(wait, 0) + prompt_transfer_ms(t, tokens);
}

static int64_t
space_period(msec at)
{
	return at / PROMPT_SPACE_PERIOD_MS;
}

void
prompt_space_use(
    struct prompt_space *s, msec now, msec last, unsigned int tokens)
{
	int64_t period = space_period(now);

	if (period != s->period) {
		s->used_before = period == s->period + 1 ? s->used : 0;
		s->used = 0;
		s->period = period;
	}
	if (last == MSEC_NEVER || space_period(last) != period)
		s->used += tokens;
}

bool
prompt_space_has_room(const struct prompt_space *s,
    const struct prompt_transfer *t, msec now, unsigned int tokens)
{
	int64_t age = space_period(now) - s->period;
	uint64_t used = age == 0   ? MAX(s->used, s->used_before)
			: age == 1 ? s->used
				   : 0;

	if (t->memory_tokens == 0)
		return true;
	return (double)(used + s->running + tokens) <=
	       (double)t->memory_tokens * SPACE_USED_PART;
}
