/*
 * How fast a backend server reads (prefills) prompts. Servers of one service
 * differ: the same queue of prompts keeps one busy twice as long as another.
 * The coordinator of a server measures it by the requests that it has placed.
 */

#ifndef SERVER_SPEED_H
#define SERVER_SPEED_H

#include "savory.h"

/* Speed assumed until a server is measured, in prompt tokens per ms. */
#define SERVER_SPEED_DEFAULT 60.0

/* Measurements of a server; all zero bytes are none. */
struct server_speed {
	double tokens, ms; /* read, and in which time; older ones count less */
};

/*
 * The server has begun to answer a request `ms` after it was placed; `tokens`:
 * prompt tokens that it had to read until then.
 */
void server_speed_record(struct server_speed *, unsigned int tokens, msec ms);
/* The server's speed in prompt tokens per ms. */
double server_speed_tokens_per_ms(const struct server_speed *);

#endif /* SERVER_SPEED_H */
