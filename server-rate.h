/*
 * How many requests a second a backend server takes from all nodes together,
 * when it says so. A server in need names a rate in its answers, and stops to
 * name it when it has recovered.
 *
 * The coordinator of the server's group counts, as it hears of all requests
 * for it: a token bucket that is empty at first, as a new coordinator does not
 * know what the one before gave away. A node that has to decide by itself
 * keeps to its part of half the rate, by chance. So the sum is the rate and a
 * half at the most, on average, and what a bucket holds.
 *
 * A core without input or output.
 */

#ifndef SERVER_RATE_H
#define SERVER_RATE_H

#include "savory.h"

/* Requests a second below which nothing would ever show that it has ended. */
#define SERVER_RATE_LEAST 0.1
/* More than any server takes. */
#define SERVER_RATE_MOST 1e12

/* What is known of one server's. */
struct server_rate {
	double per_s; /* 0: it names none */
	msec heard;   /* the newest answer that says so; MSEC_NEVER: none yet */
	msec since;   /* it names one, the first or another */
	uint64_t sent; /* requests of this node since */
	bool odd;      /* it has named one that cannot be read */
	/* As coordinator. */
	double tokens;
	msec filled;
	msec refused; /* the newest request that it did not take; 0: none */
	/* While deciding alone. */
	msec asked;
};

/* A new process: it has named none. */
void server_rate_reset(struct server_rate *);
/*
 * An answer that came then names a rate; 0: none. False when nothing changes,
 * as with an answer that another has overtaken.
 */
bool server_rate_hear(struct server_rate *, msec now, msec then, double per_s);
/*
 * As coordinator: may a request go there now? A young coordinator gives half
 * of the rate, as another may not know yet. Most requests that are less urgent
 * than others leave one for these, by a draw from 0 to 1; the rest see to it
 * that no kind gets nothing.
 */
bool server_rate_allows(
    struct server_rate *, msec, bool young, bool urgent, double draw);
/* As coordinator: does it take less than it would be given? */
bool server_rate_is_short(const struct server_rate *, msec);
/* As coordinator: one goes there. */
void server_rate_take(struct server_rate *, msec);
/* Alone, as one of so many nodes: may one go there? By a draw from 0 to 1. */
bool
server_rate_alone(struct server_rate *, msec, unsigned int nodes, double draw);
/* Until a coordinator would allow one more, in ms, by the rate alone. */
msec server_rate_wait(const struct server_rate *);

#endif /* SERVER_RATE_H */
