/*
 * Which node holds a duty that only one may have at a time, and the fencing
 * token that proves it. Nodes watch the holder by its beats; who takes over
 * appends to a log on the condition that it ends where the holder's newest
 * record ended. The log takes one append at a place, so the place is the token,
 * and it grows whatever the nodes believe of each other.
 *
 * The holder renews by another conditional append, and counts a renewal from
 * the moment it was sent. A node that has heard of a renewal waits for a whole
 * lease from then before it appends at the same place: if the holder has
 * renewed since, the log refuses; if not, its lease is over, by a clock that
 * runs on while a VM stands still.
 *
 * The log may go back to an older copy of itself and give its places out again;
 * see era.h. A token has the era before the place, so it grows all the same.
 * What was known of the log's end is void then: who wants to take over learns
 * it anew, and waits for a whole lease from there. Only the holder, while its
 * lease runs, may claim in the new era at once.
 *
 * A core without input or output.
 */

#ifndef DUTY_H
#define DUTY_H

#include "proto.h"
#include "savory.h"

/* Nodes that keep what the holder knows, and take over first. */
#define DUTY_STANDBYS 2

struct duty;

/* How an append ended. */
enum duty_result {
	DUTY_TAKEN,   /* its first record stands where it was to stand */
	DUTY_REFUSED, /* the log ends elsewhere; nothing was appended */
	DUTY_UNKNOWN  /* no answer: it may have been, or may be yet */
};

/* What the core calls; all must be given. None may call back. */
struct duty_ops {
	/* Append if the log ends there; duty_appended() says how it ended. */
	void (*append)(struct duty *, uint64_t at, bool claim);
	/* Find the newest claim in the log; then duty_looked(). */
	void (*look)(struct duty *);
	/* Send to a node; may be dropped. */
	void (*send)(struct duty *, name_id, const sp_msg *);
	/* We hold it from now on, or do not any more. */
	void (*changed)(struct duty *, msec, bool holds);
};

/* A node, ourselves too. */
struct duty_node {
	name_id id;
	name_id domain;
	bool takes_work;
	msec age; /* since its process began; less than 0: not known */
};

/* Counters; all only grow. */
struct duty_counters {
	uint64_t claims, renewals, refused, unknown;
	uint64_t lost;	  /* another holds it, or its token was refused */
	uint64_t lapsed;  /* the lease ended before a renewal */
	uint64_t rewound; /* the log went back while we held it */
	uint64_t dropped; /* messages that cannot be right */
	msec without;	  /* ms that no holder was known */
};

/* The core's state; one per node, in the embedder's memory. */
struct duty {
	const struct duty_ops *ops;
	name_id self;
	msec lease;
	msec started;
	unsigned int nnodes;
	struct duty_node *nodes;
	/* What we have heard. */
	name_id holder;	     /* 0: none */
	uint64_t token_seen; /* the greatest */
	uint64_t era;	     /* of the log */
	uint64_t end;	     /* of the log */
	msec end_at;	     /* when we heard so; MSEC_NEVER: never */
	bool released;	     /* its holder has given it up there */
	name_id standbys[DUTY_STANDBYS];
	/* Our own part. */
	uint64_t token; /* 0: we are not the holder */
	msec until;	/* end of our lease */
	/* The lease of an era that is over still runs; we may claim at once. */
	msec reclaim_until;
	bool continues; /* held without a break, in the era before too */
	bool leaving;
	bool pending; /* an append, or a look, is under way */
	msec sent_at;
	uint64_t sent_end;
	uint64_t sent_era; /* that the end was known in */
	msec next;	   /* no append before */
	msec next_beat;	   /* of the holder */
	msec stood_down;   /* takes nothing before */
	bool lapsed;
	msec ticked;
	struct duty_counters counters;
	void *arg; /* the embedder's */
};

/* For a node's id, with the lease in ms; the end. */
void duty_init(
    struct duty *, const struct duty_ops *, name_id self, msec lease, msec now);
void duty_finish(struct duty *);
/* All live nodes, ourselves among them. */
void duty_set_nodes(struct duty *, const struct duty_node *, unsigned int);
/*
 * The holder, if one is known, and those that would follow it, in their order;
 * how many of so many.
 */
unsigned int duty_first(const struct duty *, name_id *, unsigned int most);
/* A message of kind SP_DUTY_BEAT from a node that is a member. */
void duty_receive(struct duty *, msec, name_id from, const sp_msg *);
/*
 * An append ended: the place of its first record and the end after the last
 * when it was taken, the log's end when it was refused.
 */
void
duty_appended(struct duty *, msec, enum duty_result, uint64_t at, uint64_t end);
/* The newest claim stands there, and the log's end; false: no answer. */
void duty_looked(struct duty *, msec, bool ok, uint64_t claim, uint64_t end);
/* The first era of the log that is heard of. */
void duty_set_era(struct duty *, uint64_t era);
/*
 * The log has gone back and is of a new era: our token is void. The op
 * changed() says so; duty_reclaims() says then whether we are to hold it on.
 */
void duty_rewound(struct duty *, msec, uint64_t era);
bool duty_reclaims(const struct duty *, msec);
/* Is the newest claim in the log, at that place, ours? */
bool duty_is_claim(const struct duty *, uint64_t claim);
/* The platform has seen a greater token than ours. */
void duty_refused(struct duty *, msec);
/*
 * The token to act with now, or 0. To be asked right before each send, with
 * the time as it is then.
 */
uint64_t duty_token(const struct duty *, msec);
/* Is a record of ours to be appended now, beside the usual renewals? */
void duty_renew_now(struct duty *, msec);
/* We are leaving, and nothing of ours is under way: another takes over. */
void duty_leave(struct duty *, msec);
/* Do what is due; when to call it next. */
msec duty_tick(struct duty *, msec);

#endif /* DUTY_H */
