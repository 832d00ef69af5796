/*
 * Estimates for the transfer of a cached prompt prefix from one backend server
 * to another. On some services this takes far less time than to prefill (read)
 * the prefix again. A server's transfers run one after another.
 */

#ifndef PROMPT_FETCH_H
#define PROMPT_FETCH_H

#include "savory.h"

/* Configuration of a service's transfers. */
struct prompt_transfer {
	unsigned int token_bytes; /* of the cache per token; 0: no transfers */
	double link_mbps;	  /* of a server's link; 0: no transfers */
	uint64_t memory_tokens;	  /* of a server; 0: not known */
};

/*
 * Estimated use of a server's memory. Guards against copies that displace other
 * prompts, which are then read again.
 */
struct prompt_space {
	/* Tokens of the prefixes used in this period, and in the one before. */
	uint64_t used, used_before;
	int64_t period;
	uint64_t running; /* of running requests, beside shared prefixes */
};
/* Length of a period. */
#define PROMPT_SPACE_PERIOD_MS (15 * MSEC_SECOND)

/* A prefix was used whose last use was at `last`, MSEC_NEVER: not known. */
void prompt_space_use(
    struct prompt_space *, msec now, msec last, unsigned int tokens);
/* Returns true if a copy of so many tokens probably displaces nothing. */
bool prompt_space_has_room(const struct prompt_space *,
    const struct prompt_transfer *, msec now, unsigned int tokens);

/* Returns true if the service's servers can transfer prompts. */
bool prompt_transfer_possible(const struct prompt_transfer *);
/* Time to transfer a prefix, without waiting for others, in ms. */
double prompt_transfer_ms(const struct prompt_transfer *, unsigned int tokens);
/*
 * The same from now on, if the links of source and destination are busy until
 * the given times.
 */
double prompt_fetch_ms(const struct prompt_transfer *, msec now,
    msec source_until, msec destination_until, unsigned int tokens);

#endif /* PROMPT_FETCH_H */
