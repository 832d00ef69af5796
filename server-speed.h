/*
 * How fast a backend server reads (prefills) prompts, compared with the others
 * of its service. Servers of one service may differ: the same queue of prompts
 * keeps one busy twice as long as another. The coordinator of a server measures
 * it by requests that it has placed.
 */

#ifndef SERVER_SPEED_H
#define SERVER_SPEED_H

#include "savory.h"

/* Measurements of a server; all zero bytes are none. */
struct server_speed {
	double ratio_sum, weight_sum; /* older ones count less */
};

/*
 * The server read a prompt in `ms`, where the servers of its service take
 * `expected` ms; 0: not known, and nothing is recorded.
 */
void server_speed_record(struct server_speed *, double expected, msec ms);
/*
 * The server's speed as a multiple of the expected one, drawn towards 1 while
 * there are few measurements.
 */
double server_speed_factor(const struct server_speed *);

#endif /* SERVER_SPEED_H */
