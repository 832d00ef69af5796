/*
 * Freshness checks shared between nodes. Each node must confirm, about once a
 * second, that its configuration and its list of servers are current. If each
 * node asked the platform, that would be the largest part of all calls. So a
 * few nodes (readers) poll the platform, and the others poll a reader for its
 * version marks and their ages. If a mark in the reply equals the local one,
 * the local state is confirmed as of that age; if it differs, the local node
 * reads from the platform. (entry-relay.c connects this module to the entry;
 * it does not forward requests of callers.)
 *
 * Readers are not elected. Each node polls the reader of its group, selected
 * by rendezvous hashing over the live nodes; any node replies with its own
 * marks, and ages add up along a chain of nodes. So if nodes disagree about
 * the membership, confirmations are older but never wrong. A node without a
 * confirmation in time reads from the platform itself. If the reader does not
 * reply, or has nothing recent because the platform refuses its calls, the
 * candidate with the next lower weight is polled, and a node that is polled
 * repeatedly begins to read. Until one of them has something recent, nodes
 * drawn anew for each query are polled as well: the platform may refuse all
 * candidates.
 *
 * The module does no I/O; messages go through struct relay_ops.
 */

#ifndef RELAY_H
#define RELAY_H

#include "proto.h"
#include "savory.h"

/* Nodes per reader. A larger group would load the reader's CPU. */
#define RELAY_GROUP_NODES 40

/* State whose freshness is checked. */
enum relay_subject {
	RELAY_CONFIGURATION, /* configuration; its mark is the version */
	RELAY_SERVERS,	     /* list of servers; its mark is servers_mark() */
	RELAY_SUBJECTS
};

/* Freshness of one subject on this node. */
struct relay_freshness {
	uint64_t mark;	/* identifies the local state */
	msec confirmed; /* last confirmed as current; MSEC_NEVER: never */
	msec asked;	/* start of this node's last finished read; -1: none */
	msec differed;	/* last message with another mark; -1: none */
	unsigned int failures; /* consecutive failed reads of this node */
	msec retry_at;	       /* no read before this, after failures */
};

/* A node that polls this node; it is notified of changes for a while. */
struct relay_poller {
	name_id node;
	msec at;     /* last query */
	msec before; /* the query before that one; 0: none */
};

/* Candidates for a group's reader. */
#define RELAY_CANDIDATES 3

/* Monotonic counters. */
struct relay_counters {
	uint64_t asked;	 /* queries sent */
	uint64_t told;	 /* replies and notifications received */
	uint64_t proofs; /* confirmations of a subject by these */
	uint64_t news;	 /* changes found by reads of this node */
};

struct relay;

/* Callbacks; all are required. */
struct relay_ops {
	/*
	 * Sends a message to a node; it may be lost. Must not call a function
	 * of this module.
	 */
	void (*send)(struct relay *, name_id, const sp_msg *);
	/* The local state of the subject was current at `then`. */
	void (*confirmed)(struct relay *, enum relay_subject, msec then);
	/* Another node reported a different mark: see relay_due(). */
	void (*differed)(struct relay *, enum relay_subject, msec);
	/*
	 * A read of this node found a change, and these nodes are about to be
	 * notified. If the change itself is sent to them now, they do not have
	 * to read it.
	 */
	void (*news)(
	    struct relay *, enum relay_subject, const name_id *, unsigned int);
};

/* State of the module; owned by the caller. */
struct relay {
	const struct relay_ops *ops;
	name_id self;
	msec every; /* target for the maximum age of a confirmation */
	struct relay_freshness known[RELAY_SUBJECTS];
	name_id reader; /* node that is polled; `self`: this node reads */
	name_id candidates[RELAY_CANDIDATES]; /* by weight; 0: none */
	/* Nodes drawn for the next query; 0: none. */
	name_id drawn[RELAY_CANDIDATES];
	unsigned int current; /* index of the reader in it */
	msec switched_at;     /* last change of `current` */
	/* Consecutive queries without a recent reply. */
	unsigned int unconfirmed;
	bool answered; /* the last query has a reply */
	uint32_t seq;  /* of the last query */
	msec asked;    /* when the last query was sent */
	msec next_ask;
	struct relay_poller pollers[RELAY_GROUP_NODES];
	struct relay_counters counters;
	void *arg; /* for the caller */
};

/*
 * Initialises without any confirmed state; the node reads by itself until
 * relay_set_nodes(). `every`: maximum age of confirmations in ms.
 */
void
relay_init(struct relay *, const struct relay_ops *, name_id self, msec every);
/* Sets the nodes that take work; may include the local node. */
void relay_set_nodes(struct relay *, const name_id *, unsigned int);
/*
 * A read of this node, started at `asked`, succeeded; `mark` identifies the
 * state that is now in use. If it changed, nodes that polled this node recently
 * are notified.
 */
void relay_read_succeeded(
    struct relay *, msec now, enum relay_subject, uint64_t mark, msec asked);
/* A read succeeded, but its result cannot be used. */
void relay_read_unusable(struct relay *, enum relay_subject, msec asked);
/*
 * A read of this node failed. The next read is delayed, longer each time, and
 * is not made while other nodes confirm the local state. Otherwise, nodes that
 * cannot reach the platform would call it several times a second.
 */
void relay_read_failed(struct relay *, msec now, enum relay_subject);
/* Returns the time until the next read of this node, in ms; 0: it is due. */
msec relay_due(const struct relay *, msec now, enum relay_subject);
/*
 * State received from another node is now in use. This does not confirm that
 * it is current.
 */
void relay_state_received(struct relay *, enum relay_subject, uint64_t mark);
/*
 * Drops all confirmations, including those from other nodes: everything must
 * be read again. The marks of the local state are kept until then.
 */
void relay_drop_confirmations(struct relay *);
/* Handles a message of kind SP_RELAY_ASK or SP_RELAY_TELL. */
void relay_receive(struct relay *, msec now, name_id from, const sp_msg *);
/* Sends a query if one is due; returns the time of the next call. */
msec relay_tick(struct relay *, msec now);

#endif /* RELAY_H */
