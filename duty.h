/*
 * Leader election for a duty, a role that only one node may hold at a time, and
 * the fencing token of the holder. The holder broadcasts heartbeats. A node
 * that takes over appends a claim to a log on the condition that the log still
 * ends where the holder's newest record ended. The log accepts one append at
 * each offset, so the offset serves as the token: it grows even if the nodes
 * disagree about which of them are alive.
 *
 * The holder renews its lease by another conditional append; the lease runs
 * from the time at which that append was sent. A node that learns of a renewal
 * waits for a whole lease before it appends at the same offset. If the holder
 * has renewed in the meantime, the log refuses the append. If not, the lease
 * has expired, by a clock that also advances while the VM is suspended.
 *
 * The log may be restored from an older copy and then reuses offsets; see
 * era.h. The era is in the upper bits of the token, so tokens grow
 * nevertheless. The known end of the log is invalid after that: a node that
 * wants to take over reads the end again and waits for a whole lease from then
 * on. Only the holder may claim in the new era at once, while its lease runs.
 *
 * This module does no I/O.
 */

#ifndef DUTY_H
#define DUTY_H

#include "proto.h"
#include "savory.h"

/* Nodes that replicate the holder's state and are the first to take over. */
#define DUTY_STANDBYS 2

struct duty;

/* Outcome of a conditional append. */
enum duty_result {
	DUTY_ACCEPTED, /* its first record is at the expected offset */
	DUTY_REFUSED,  /* the log ends elsewhere; nothing was appended */
	DUTY_UNKNOWN   /* no answer: appended, not appended, or still to be */
};

/* Callbacks; all are required. None may call duty_*() functions. */
struct duty_ops {
	/* Append if the log ends at `at`; report by duty_appended(). */
	void (*append)(struct duty *, uint64_t at, bool claim);
	/* Find the newest claim in the log; report by duty_claim_found(). */
	void (*find_claim)(struct duty *);
	/* Send a message to a node; it may be lost. */
	void (*send)(struct duty *, name_id, const sp_msg *);
	/* The local node has become the holder, or has ceased to be. */
	void (*changed)(struct duty *, msec, bool holds);
};

/* A live node. */
struct duty_node {
	name_id id;
	name_id domain;
	bool takes_work;
	msec age; /* since its process started; negative: unknown */
};

/* Counters; none ever decreases. */
struct duty_counters {
	uint64_t claims, renewals, refused, unknown;
	uint64_t lost;	  /* another node took over, or the token was refused */
	uint64_t expired; /* the lease expired before a renewal */
	uint64_t rolled_back;	/* the log was rolled back at a holder */
	uint64_t dropped;	/* invalid messages */
	msec ms_without_holder; /* ms without a known holder of the duty */
};

/* State of the election on the local node; allocated by the caller. */
struct duty {
	const struct duty_ops *ops;
	name_id self;
	msec lease;
	msec started;
	unsigned int nnodes;
	struct duty_node *nodes;
	/* Learnt from heartbeats and from the log. */
	name_id holder;	     /* 0: none */
	uint64_t token_seen; /* greatest token seen */
	uint64_t era;	     /* of the log */
	uint64_t end;	     /* end offset of the log */
	msec end_known_at;   /* when `end` was learnt; MSEC_NEVER: never */
	bool released;	     /* the holder has released the duty at `end` */
	name_id standbys[DUTY_STANDBYS];
	/* State of the local node. */
	uint64_t token; /* 0: not the holder */
	msec until;	/* end of its lease */
	/*
	 * End of its lease from an era that is over. Until then it may claim
	 * again at once.
	 */
	msec reclaim_until;
	bool continues; /* held without interruption since an earlier era */
	bool leaving;
	bool pending; /* an append or a search for the newest claim runs */
	msec sent_at; /* time of the newest append */
	uint64_t sent_end;
	uint64_t sent_era;    /* era of the log when it was sent */
	msec next;	      /* earliest time of the next append */
	msec next_heartbeat;  /* next heartbeat, as the holder */
	msec no_claim_before; /* makes no claim before this time */
	bool expired;
	msec ticked;
	struct duty_counters counters;
	void *arg; /* for the caller's use */
};

/* `self` is the local node's id, the lease is in ms. */
void duty_init(
    struct duty *, const struct duty_ops *, name_id self, msec lease, msec now);
void duty_finish(struct duty *);
/* Set the list of live nodes; it includes the local node. */
void duty_set_nodes(struct duty *, const struct duty_node *, unsigned int);
/*
 * Write the holder, if one is known, and its successors in their order, at most
 * so many ids. Returns the number written.
 */
unsigned int
duty_list_candidates(const struct duty *, name_id *, unsigned int most);
/* Handle an SP_DUTY_BEAT message from a member. */
void duty_receive(struct duty *, msec, name_id from, const sp_msg *);
/*
 * Report the outcome of an append. DUTY_ACCEPTED: the offset of its first
 * record and the log's end after the last one. DUTY_REFUSED: the log's end.
 */
void
duty_appended(struct duty *, msec, enum duty_result, uint64_t at, uint64_t end);
/* Report the newest claim's offset and the log's end; !ok: no answer. */
void
duty_claim_found(struct duty *, msec, bool ok, uint64_t claim, uint64_t end);
/* Set the era of the log, as of the first answer. */
void duty_set_era(struct duty *, uint64_t era);
/*
 * The log was rolled back and has a new era, so the local node's token is
 * invalid. Calls changed() if this node was the holder; duty_may_reclaim() then
 * returns whether it will claim again before its lease expires.
 */
void duty_log_rolled_back(struct duty *, msec, uint64_t era);
bool duty_may_reclaim(const struct duty *, msec);
/* Is the claim at this offset, the newest in the log, the local node's? */
bool duty_is_claim(const struct duty *, uint64_t claim);
/* The platform has seen a greater token than the local node's. */
void duty_token_refused(struct duty *, msec);
/*
 * The fencing token to use now, or 0 if the local node has no valid lease. Call
 * this right before each send, with the current time.
 */
uint64_t duty_token(const struct duty *, msec);
/* Append now, without waiting for the next renewal; only for the holder. */
void duty_renew_now(struct duty *, msec);
/*
 * The local node is leaving and has no work of the duty in progress: hand over
 * to the first standby.
 */
void duty_leave(struct duty *, msec);
/* Run due work. Returns the time of the next call. */
msec duty_tick(struct duty *, msec);

#endif /* DUTY_H */
