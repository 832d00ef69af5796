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
};

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
