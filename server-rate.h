/*
 * Rate limit of a backend server: how many requests per second it accepts from
 * all nodes together. An overloaded server sends a limit in its responses, and
 * stops sending it when it has recovered.
 *
 * The coordinator of the server's group enforces the limit, as it counts all
 * requests for the server. It uses a token bucket that is empty at first, since
 * a new coordinator does not know the requests allowed by the previous one. A
 * node that decides without a coordinator allows its share of half the rate, at
 * random. So all nodes together send at most one and a half times the rate on
 * average, plus the size of a bucket.
 *
 * The module does no I/O.
 */

#ifndef SERVER_RATE_H
#define SERVER_RATE_H

#include "savory.h"

/*
 * Minimum in requests per second: the end of a limit is seen only in responses,
 * so some requests must be sent.
 */
#define SERVER_RATE_MIN 0.1
/* Limits from this value on are rejected as invalid. */
#define SERVER_RATE_MAX 1e12

/* Rate limit of a server. */
struct server_rate {
	double per_s;	 /* requests per second; 0: no limit */
	msec received;	 /* the last response used; MSEC_NEVER: none yet */
	msec since;	 /* last change of per_s */
	uint64_t sent;	 /* requests of this node since then */
	bool unreadable; /* the server has sent an unreadable limit */
	/* As coordinator: token bucket. */
	double tokens;
	msec filled;
	msec refused; /* the last request without a token; 0: none */
	/* Without a coordinator. */
	msec asked; /* last call of server_rate_allows_alone() */
};

/* Clears the limit, as for a new process of the server. */
void server_rate_reset(struct server_rate *);
/*
 * Sets the limit from a response received at `then`; 0: no limit. Returns false
 * if nothing changes, also for a response older than the last one used.
 */
bool
server_rate_update(struct server_rate *, msec now, msec then, double per_s);
/*
 * As coordinator: returns true if a request may be sent now. A young
 * coordinator uses half the rate, as the previous one may still be active. Most
 * less urgent requests (chosen by `draw`, uniform from 0 to 1) leave one token
 * for urgent ones; the others do not, so that no route is starved.
 */
bool server_rate_allows(
    struct server_rate *, msec, bool young, bool urgent, double draw);
/* As coordinator: returns true if the limit refused a request recently. */
bool server_rate_is_short(const struct server_rate *, msec);
/* As coordinator: takes a token for a request that is sent. */
void server_rate_take(struct server_rate *, msec);
/*
 * Without a coordinator: returns true if this node, one of `nodes`, may send a
 * request now. `draw`: uniform from 0 to 1.
 */
bool server_rate_allows_alone(
    struct server_rate *, msec, unsigned int nodes, double draw);
/* Mean time between two requests at this rate, in ms; 0: no limit. */
msec server_rate_wait(const struct server_rate *);

#endif /* SERVER_RATE_H */
