/*
 * How many requests of each organisation began to run in each window of true
 * time, over all nodes, reported once a window. A node counts its own and tells
 * a few keepers its counts as they grow: the holder of the duty and those that
 * would follow it, so that neither a node nor the holder takes its counts along
 * when it dies. What is said is in all, so a second copy changes nothing.
 *
 * Windows go by true time. A wall clock that jumps moves nothing; one that was
 * wrong when the process began is set right by what the other nodes have.
 *
 * A core without input or output.
 */

#ifndef USAGE_H
#define USAGE_H

#include "proto.h"
#include "savory.h"

/* Windows that are remembered, at most. */
#define USAGE_WINDOWS_MAX 64
#define USAGE_KEEPERS_MAX 4

struct usage;

/* What the core calls; must be given. */
struct usage_ops {
	/* Send to a node, ourselves too; may be dropped. */
	void (*send)(struct usage *, name_id, const sp_msg *);
};

/* One window as this node knows it. */
struct usage_window {
	uint64_t number;
	bool used;
	/* Our own. */
	GHashTable *own;   /* organisation to count */
	GHashTable *dirty; /* organisations not told yet */
	unsigned int total;
	unsigned int told_last; /* times that all was told after its end */
	/* As a keeper: what each process has told. */
	GHashTable *nodes;
	/* What a holder before us wrote down, and when by true time. */
	GHashTable *base;
	msec base_at;
	bool decided;
};

/* What another node's clock differs from ours by. */
struct usage_clock_seen {
	msec at;
	msec ahead;
};

/* Counters; all only grow. */
struct usage_counters {
	uint64_t dropped; /* messages that cannot be right */
	uint64_t jumps;	  /* of our wall clock */
	uint64_t set;	  /* times that we took another time */
};

/* In the embedder's memory; one per node. */
struct usage {
	const struct usage_ops *ops;
	msec window;
	/* Wall clock less our own clock: as it was last, and as we use it. */
	msec raw, offset;
	msec jumped;	       /* the former as it is now, after a jump */
	GHashTable *clocks;    /* node to struct usage_clock_seen */
	unsigned int nwindows; /* remembered, the running one among them */
	struct usage_window *windows;
	name_id keepers[USAGE_KEEPERS_MAX];
	unsigned int nkeepers;
	msec next_tell;
	struct usage_counters counters;
	void *arg; /* the embedder's */
};

/*
 * For windows of so many ms that are due so long after their end, with the wall
 * clock in ms since 1970; the end.
 */
void usage_init(struct usage *, const struct usage_ops *, msec window,
    msec lateness, msec now, msec wall);
void usage_finish(struct usage *);
/* True time in ms since 1970, as well as we know it. */
msec usage_true(const struct usage *, msec now);
/* A request of an organisation began to run. */
void usage_began(struct usage *, msec now, name_id organisation);
/* Who keeps counts from now on; one that is new is told all that we know. */
void usage_set_keepers(struct usage *, msec now, const name_id *, unsigned int);
/* A message of kind SP_USAGE_* from a process of a node that is a member. */
void usage_receive(struct usage *, msec now, name_id from, uint64_t incarnation,
    const sp_msg *);
/* Do what is due, with the wall clock; when to call it next. */
msec usage_tick(struct usage *, msec now, msec wall);

/* ---- as the holder ---- */

/* A process that should have told its counts. */
struct usage_process {
	name_id node;
	uint64_t incarnation;
};
/*
 * The oldest window that ended so long ago and is not decided; false: none.
 * `whole`: all of the processes have told all of theirs.
 */
bool usage_ended(struct usage *, msec now, const struct usage_process *,
    unsigned int, uint64_t *number, msec *ago, bool *whole);
/* Counts of a window by organisation: name_id to guint; freed by the caller. */
GHashTable *usage_sum(struct usage *, uint64_t number);
/* It is decided, here or by the holder before us. */
void usage_decided(struct usage *, uint64_t number);
/* What a holder before us had counted of it, at a point of true time. */
void usage_base(struct usage *, uint64_t number, msec wall,
    name_id organisation, unsigned int count);

#endif /* USAGE_H */
