/*
 * The lease on a service's placement, kept in the log: a claim contains the
 * offset of the lease record that it replaces, and of several claims that
 * replace the same record the first one is accepted. The fencing number is the
 * offset of the accepted claim. This module does no I/O.
 *
 * A fold is the state computed from the records read so far, in log order.
 *
 * Records (see log-record.h):
 *
 * {"kind": "lease-claim", "service", "replaces", "holder", "incarnation",
 *  "term_ms"}
 *	Accepted if it replaces the record in force: 0 if there is none, or
 *	if the last one is older than LEASE_MAX_AGE by the log's clock.
 * {"kind": "lease-release", "service", "replaces", "holder", "incarnation"}
 *	Written by the holder; a claim that replaces a released lease need
 *	not wait until its term ends.
 *
 * A fold that misses earlier records cannot determine the record in force until
 * it reads a claim that replaces another claim it has read: the writer of the
 * later claim had a complete fold, in which the earlier one was in force.
 */

#ifndef LEASE_H
#define LEASE_H

#include "log-record.h"
#include "savory.h"

/* Term of a claim or renewal. */
#define LEASE_TERM (10 * MSEC_SECOND)
/* Exceeds the drift between the clocks of two nodes over a term. */
#define LEASE_CLOCK_MARGIN (2 * MSEC_SECOND)
/* Maximum time from the check of an order to its last effect. */
#define LEASE_ORDER_TIMEOUT (2 * MSEC_SECOND)
/* Every fold forgets a lease of this age; far below the log's retention. */
#define LEASE_MAX_AGE (120 * MSEC_SECOND)
#define LEASE_UNRESOLVED_MAX 8

/* The lease of one service in the fold. */
struct lease {
	RB_ENTRY(lease) entry;
	char service[NAME_SIZE];
	bool certain;	  /* the record in force is known */
	uint64_t fencing; /* offset of the accepted claim; 0: none */
	name_id holder;
	uint64_t incarnation;
	bool released;
	msec term;
	msec read_at;	      /* when this node read the claim */
	msec wall;	      /* time of the last claim by the log's clock */
	char id[LOG_ID_SIZE]; /* of the accepted claim */
	/* Claims read while the record in force was unknown. */
	struct {
		uint64_t offset;
		uint64_t replaces;
	} unresolved[LEASE_UNRESOLVED_MAX];
	unsigned int nunresolved;
};
RB_HEAD(lease_tree, lease);

/* The leases of all services. */
struct lease_fold {
	struct lease_tree leases;
	uint64_t next;
	uint64_t skipped;
	msec wall;	    /* newest time by the log's clock that was read */
	msec missing_until; /* records up to this time by its clock may be
			       missing */
	msec gap_at;	    /* when this node detected the gap */
};

/* Start with an empty fold; free it. */
void lease_fold_init(struct lease_fold *);
void lease_fold_finish(struct lease_fold *);
/* Apply a record: local time, offset, time by the log's clock, data, length. */
void lease_fold_apply(
    struct lease_fold *, msec, uint64_t, msec, const char *, size_t);
/*
 * Records before an offset are not available. Arguments: the local time, the
 * offset, and a time by the log's clock at or after the newest of these
 * records; see ledger_fold_gap().
 */
void lease_fold_gap(struct lease_fold *, msec, uint64_t, msec);
/* The lease in force for a service, or NULL if there is none or unknown. */
struct lease *lease_fold_find(struct lease_fold *, const char *);
/*
 * Encode a claim or renewal: service, offset of the replaced record, holder,
 * incarnation, term in ms, record id.
 */
char *lease_claim_encode(
    const char *, uint64_t, name_id, uint64_t, msec, const char *);
char *
lease_release_encode(const char *, uint64_t, name_id, uint64_t, const char *);

/* What a node has to do for the lease of one service. */
enum lease_action {
	LEASE_NOTHING,
	LEASE_CLAIM, /* append a claim that replaces `replaces` */
	LEASE_RENEW  /* the same, while holding the lease */
};

/* State of the local node as holder or challenger; see lease_client_init(). */
struct lease_client {
	char service[NAME_SIZE];
	name_id self;
	uint64_t incarnation;
	uint64_t fencing;	/* 0: this node does not hold the lease */
	msec until;		/* end of its term, if it holds the lease */
	bool leaving;		/* released; makes no further claim */
	bool pending;		/* a claim was sent and not read back yet */
	char id[LOG_ID_SIZE];	/* record id of that claim */
	uint64_t replaces;	/* offset of the record that it replaces */
	bool replaces_released; /* that record had been released */
	msec sent_at; /* time before the append of the claim was sent */
	msec unfenced_orders_from; /* from then on it may order from engines
			       without fencing */
};

/* Arguments: the service, the local node's id and its incarnation. */
void lease_client_init(struct lease_client *, const char *, name_id, uint64_t);
/* Return what to do now; stores the offset of the record to replace. */
enum lease_action lease_client_tick(
    const struct lease_client *, msec, struct lease_fold *, uint64_t *);
/*
 * Call right before a claim is sent, with the time, the offset of the replaced
 * record and the claim's record id.
 */
void lease_client_claim_sent(
    struct lease_client *, msec, struct lease_fold *, uint64_t, const char *);
/* Update the state after a record was applied to the fold. */
void
lease_client_fold_changed(struct lease_client *, msec, struct lease_fold *);
/* The claim was certainly not appended; the lease is unchanged. */
void lease_client_claim_failed(struct lease_client *);
/* Call before a release is appended: forbids any further order or claim. */
void lease_client_release(struct lease_client *);
/* Whether an order may be sent now; last: the engine checks fencing numbers. */
bool lease_client_may_order(const struct lease_client *, msec, bool);

RB_PROTOTYPE(lease_tree, lease, entry, lease_cmp)

#endif /* LEASE_H */
