/*
 * Enforces the limits of organisations across all nodes without a message per
 * request. Each node that takes work has an equal share of each limit and
 * admits requests against it locally. A node whose share is too small borrows
 * unused parts of the shares of other nodes. A loan expires by itself at both
 * nodes, first at the borrower, so neither a lost message nor the failure of a
 * node can leave an amount in use twice.
 *
 * While the nodes agree on which of them take work, the shares add up to at
 * most the limit. A share is lowered at once and raised with a delay, so this
 * also applies while nodes join, leave, fail or restart. After a network
 * partition each side uses the whole limit. This module does no I/O.
 *
 * poison-share.c is unrelated; it exchanges records of poison requests.
 */

#ifndef SHARE_H
#define SHARE_H

#include "document.h"
#include "proto.h"
#include "savory.h"

/*
 * Term of a loan, and delay before a share is raised. The delay is longer by
 * the time that a change of nodes takes to reach all nodes.
 */
#define SHARE_LOAN_TERM (2 * MSEC_SECOND)
#define SHARE_RAISE_DELAY (4 * MSEC_SECOND)

/* The kinds of limits, one for each member of struct doc_limits. */
enum share_kind {
	SHARE_REQUESTS,	 /* per second */
	SHARE_TOKENS,	 /* per second */
	SHARE_IN_FLIGHT, /* concurrent requests */
	SHARE_KINDS
};

struct shares;

/* Callbacks; both are required. */
struct share_ops {
	/* Send to a node; may be dropped. Must not call back. */
	void (*send)(struct shares *, name_id, const sp_msg *);
	/* The limits in force of a service's organisation; false: none. */
	bool (*limits)(struct shares *, name_id, name_id, struct doc_limits *);
};

/* Counters; none ever decreases. */
struct share_counters {
	uint64_t admitted, refused;
	uint64_t asked, lent, borrowed;
};

/* The shares of the local node; allocated by the caller. */
struct shares {
	const struct share_ops *ops;
	struct share_counters counters;
	struct share_data *priv;
	void *arg; /* the embedder's */
};

/* Arguments: the local node's id, a random seed, the time. */
void
shares_init(struct shares *, const struct share_ops *, name_id, uint32_t, msec);
void shares_finish(struct shares *);
/* Set all nodes that take work; includes the local node if it does. */
void shares_set_nodes(struct shares *, msec, const name_id *, unsigned int);
/*
 * Admit a request of a service's organisation with an estimated number of
 * tokens; false if the organisation is over a limit. For each admitted request
 * call shares_request_ended() when it ends.
 */
bool shares_admit(struct shares *, msec, name_id, name_id, unsigned int);
/* A request ended; with the estimated and the actual number of its tokens. */
void shares_request_ended(
    struct shares *, msec, name_id, name_id, unsigned int, unsigned int);
/* Handle an authenticated SP_SHARE message from a node. */
void shares_receive(struct shares *, msec, name_id, const sp_msg *);
/* Run due work. Returns the time of the next call. */
msec shares_tick(struct shares *, msec);
/* What the local node may use now, in 1/1000 units; for dumps and tests. */
int64_t
shares_allowance(struct shares *, msec, name_id, name_id, enum share_kind);
/* Number of organisations in memory. */
unsigned int shares_count(const struct shares *);

#endif /* SHARE_H */
