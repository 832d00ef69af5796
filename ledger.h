/*
 * The ledger: at-most-once execution of requests with an Idempotency-Key and no
 * ticket, across crashes and restarts of any node. The entry node of a request
 * appends a claim on the key to the log. The claim with the lowest offset wins,
 * and a request is executed only after its own claim was read back as the first
 * one. This module does no I/O.
 *
 * ledger_fold: the claims of one shard, computed from its records in log order.
 * ledger_home: batches the claims of a shard on its home, the node that appends
 * them to the log. Two nodes may both act as the home of a shard; only the
 *order of the log counts.
 *
 * Records (see log-record.h):
 *
 * {"kind": "ledger-batch", "claims": [[organisation, key, body, node,
 *  incarnation, request, status], ...]}
 *	Hashes in hex. Status 0: a claim. LEDGER_WITHDRAWN: withdraws the
 *	claim of the same node, incarnation and request. Other values: how the
 *	request ended.
 *
 * Only the entry node of a request executes it. So only that node may answer
 * "not run" and withdraw its claim, and only once it is certain never to
 *execute the request. A home must not withdraw a claim by itself: another home
 *may have reported to the entry node that the claim was the first.
 */

#ifndef LEDGER_H
#define LEDGER_H

#include "log-record.h"
#include "savory.h"

/* How long a key stays claimed; shorter than the log's retention. */
#define LEDGER_WINDOW (30 * 60 * MSEC_SECOND)
#define LEDGER_KEY_MAX 200 /* bytes of an Idempotency-Key */
/* LEDGER_FIRST is valid for this long after the claim was made. */
#define LEDGER_VERDICT_VALIDITY (10 * 60 * MSEC_SECOND)

/* Status of a withdrawn claim: its request was not and will not be executed. */
#define LEDGER_WITHDRAWN 1

/* A claim of one key by one request of one entry node. */
struct ledger_claim {
	RB_ENTRY(ledger_claim) entry;
	TAILQ_ENTRY(ledger_claim) age_entry;
	name_id organisation;
	uint64_t key[2]; /* 128-bit hash of the key */
	uint64_t body;	 /* hash of the request's body */
	name_id node;	 /* entry node of the request */
	uint64_t incarnation;
	uint32_t request;    /* the request's number on its entry node */
	uint64_t offset;     /* of the record with the claim */
	msec wall;	     /* time of that record by the log's clock */
	unsigned int status; /* 0: not ended; else see the batch record */
};
RB_HEAD(ledger_claim_tree, ledger_claim);
TAILQ_HEAD(ledger_claim_list, ledger_claim);

/* Result for a claim by the order of the log. */
enum ledger_verdict {
	LEDGER_FIRST,	   /* this claim is the first: execute the request */
	LEDGER_NOT_FIRST,  /* another claim with the same body was first */
	LEDGER_OTHER_BODY, /* the first claim has another request body */
	LEDGER_UNDECIDABLE /* the fold cannot decide: answer "unknown" */
};

/* The claims of one shard within the window. */
struct ledger_fold {
	struct ledger_claim_tree claims;    /* first claims, by key */
	struct ledger_claim_tree withdrawn; /* withdrawn claims, by request */
	struct ledger_claim_list by_age;    /* of both trees, oldest first */
	uint64_t next;			    /* offset of the next record */
	unsigned int count;		    /* of both trees */
	uint64_t skipped;   /* records that are no valid batch */
	msec wall;	    /* newest time by the log's clock that was read */
	msec missing_until; /* records up to this time by its clock may be
			       missing */
};

/* Start with an empty fold; free it. */
void ledger_fold_init(struct ledger_fold *);
void ledger_fold_finish(struct ledger_fold *);
/* The shard of a key. */
unsigned int ledger_shard(name_id, const char *);
/*
 * Apply one record, a batch of claims and ends: offset, time by the log's
 * clock, data, length. Claims older than LEDGER_WINDOW expire here. This uses
 * the log's clock since the clocks of two nodes could differ on whether a key
 * is free.
 */
void
ledger_fold_apply(struct ledger_fold *, uint64_t, msec, const char *, size_t);
/*
 * Records before an offset are not available. The time is by the log's clock,
 * at or after the newest of these records: the time of the oldest available
 * record or, for an empty stream, the current time minus the log's retention.
 */
void ledger_fold_gap(struct ledger_fold *, uint64_t, msec);
/* Whether all records are known that matter for a claim of this log time. */
bool ledger_fold_can_decide(const struct ledger_fold *, msec);
struct ledger_claim *
ledger_fold_find(struct ledger_fold *, name_id, const uint64_t[2]);
/* Decide on a claim; only after the fold has applied the claim's record. */
enum ledger_verdict
ledger_fold_decide(struct ledger_fold *, const struct ledger_claim *);
void ledger_key_hash(name_id, const char *, uint64_t[2]);
/* Encode claims, and ends (claims with a status), as one record. */
char *
ledger_batch_encode(const struct ledger_claim *, unsigned int, const char *);
/*
 * ledger_fold_apply() in two steps, for the home: decode a record, which
 * returns an array of claims to be freed, and apply them.
 */
struct ledger_claim *ledger_fold_decode(
    struct ledger_fold *, uint64_t, msec, const char *, size_t, unsigned int *);
void ledger_fold_claims(
    struct ledger_fold *, uint64_t, msec, struct ledger_claim *, unsigned int);
/* The claims of a JSON record, to be freed; NULL if it is no valid batch. */
struct ledger_claim *ledger_batch_decode(const json_t *, unsigned int *);

/* A batch is appended after this time, or as soon as it is full. */
#define LEDGER_BATCH_WAIT ((msec)10)
#define LEDGER_BATCH_MAX 256
/* Limits the claims of a burst; further ones are rejected. */
#define LEDGER_PENDING_MAX 16384
#define LEDGER_CLAIM_TIMEOUT (4 * MSEC_SECOND)
#define LEDGER_END_TIMEOUT (60 * MSEC_SECOND)

/* The home's answer to a claim. */
enum ledger_answer {
	LEDGER_DECIDED,	     /* see the verdict */
	LEDGER_NOT_APPENDED, /* certainly not appended by this home */
	LEDGER_UNDECIDED     /* it may be in the log now or later */
};

/* Outcome of the append of a batch; corresponds to events of log-client.h. */
enum ledger_append_outcome {
	LEDGER_APPEND_DONE,
	LEDGER_APPEND_FAILED, /* certainly not appended */
	LEDGER_APPEND_UNKNOWN
};

/* A claim or end that this home has accepted and not finished yet. */
struct ledger_pending {
	RB_ENTRY(ledger_pending) entry;
	TAILQ_ENTRY(ledger_pending) list_entry;
	struct ledger_claim claim;
	uint64_t batch;	    /* number of its batch; 0: not in one yet */
	bool may_be_in_log; /* a record with it may be in the log */
	msec received_at;   /* time of arrival */
};
RB_HEAD(ledger_pending_tree, ledger_pending);
TAILQ_HEAD(ledger_pending_list, ledger_pending);

struct ledger_home;

/* Callbacks of a home. */
struct ledger_home_ops {
	/*
	 * Called once per claim with its answer. For LEDGER_DECIDED the verdict
	 * is valid, and the last argument is the first claim of the key or
	 * NULL.
	 */
	void (*answer)(struct ledger_home *, const struct ledger_claim *,
	    enum ledger_answer, enum ledger_verdict,
	    const struct ledger_claim *);
};

/* The home of one shard; set up by ledger_home_init(). */
struct ledger_home {
	const struct ledger_home_ops *ops;
	void *data; /* for the caller's use */
	struct ledger_fold fold;
	struct ledger_pending_tree pending;
	struct ledger_pending_list queued; /* not in a batch yet */
	struct ledger_pending_list sent;   /* in a batch */
	unsigned int npending;
	unsigned int nqueued;
	uint64_t last_batch;
	bool log_down; /* the log is unavailable */
};

/* Start with an empty fold; `data` of the home is the last argument. */
void
ledger_home_init(struct ledger_home *, const struct ledger_home_ops *, void *);
/* Answer every pending claim and free the home's memory. */
void ledger_home_finish(struct ledger_home *);
/* Accept a claim, or an end; ends get no answer. */
void ledger_home_claim(struct ledger_home *, msec, const struct ledger_claim *);
/*
 * Answer claims that timed out. If a batch is due, return the record to append
 * and store its id and its batch number, for ledger_home_appended(); else NULL.
 */
char *
ledger_home_tick(struct ledger_home *, msec, char[LOG_ID_SIZE], uint64_t *);
/* Time of the next call of ledger_home_tick(); MSEC_NEVER: none is needed. */
msec ledger_home_next(const struct ledger_home *);
void ledger_home_appended(
    struct ledger_home *, uint64_t, enum ledger_append_outcome);
/* Apply one record of the stream and answer the claims that it contains. */
void
ledger_home_apply(struct ledger_home *, uint64_t, msec, const char *, size_t);
/* The log is unavailable, or available again; claims are rejected meanwhile. */
void ledger_home_set_log_down(struct ledger_home *, bool);

RB_PROTOTYPE(ledger_claim_tree, ledger_claim, entry, claim_cmp)
RB_PROTOTYPE(ledger_pending_tree, ledger_pending, entry, pending_cmp)

#endif /* LEDGER_H */
