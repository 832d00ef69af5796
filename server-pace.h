/*
 * The longest pause that a new stream on a backend server is likely to have.
 * While a server reads a prompt, its streams get their tokens between the
 * chunks of that prompt. How long this takes differs between the servers of a
 * service, and a stream may miss its gap target on one and keep it on another
 * with the same queue. The coordinator of a server learns it from the streams
 * that it has placed.
 *
 * Load that it answers: bursts of long prompts beside streams with a lower gap
 * target, on servers of which some are faster.
 *
 * The module does no I/O.
 */

#ifndef SERVER_PACE_H
#define SERVER_PACE_H

#include "savory.h"

/* Pauses of a server's streams; all zero bytes are no measurement. */
struct server_pace {
	double pause;	  /* longest of a stream, smoothed, in ms */
	double deviation; /* from it, smoothed, in ms */
	msec at;	  /* last measurement; 0: none */
};

/*
 * Records the longest pause so far of a stream that runs, or of one that has
 * ended; 0: it had none.
 */
void server_pace_record(struct server_pace *, msec now, msec pause);
/* The pause that few new streams will exceed, in ms; 0: not known. */
double server_pace_expected(const struct server_pace *, msec now);

#endif /* SERVER_PACE_H */
