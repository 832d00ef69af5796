/*
 * How many requests a second a backend server takes from all nodes together,
 * when it says so. A server in need names a rate in its answers, and stops to
 * name it when it has recovered.
 *
 * The coordinator of the server's group counts: it hears of all requests for
 * it. A node that has to decide by itself does without such a server, or keeps
 * to a small part of the rate that it saves up only while it is alone, so that
 * the sum holds however many are.
 *
 * A core without input or output.
 */

#ifndef SERVER_RATE_H
#define SERVER_RATE_H

#include "savory.h"

/* Requests a second below which nothing would ever show that it has ended. */
#define SERVER_RATE_LEAST 0.1

/* What is known of one server's. */
struct server_rate {
	double per_s; /* 0: it names none */
	msec heard;   /* the newest answer that says so; MSEC_NEVER: none yet */
	msec since;   /* it names one, the first or another */
	uint64_t sent; /* requests of this node since */
	bool odd;      /* it has named one that cannot be read */
};

/* A new process: it has named none. */
void server_rate_reset(struct server_rate *);
/*
 * An answer that came then names a rate; 0: none. False when nothing changes,
 * as with an answer that another has overtaken.
 */
bool server_rate_hear(struct server_rate *, msec then, double per_s);

#endif /* SERVER_RATE_H */
