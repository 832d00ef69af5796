/*
 * Transfer of cached prompts between servers; see prompt-fetch.h.
 */

#include "prompt-fetch.h"

#include <glib.h>

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
