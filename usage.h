/*
 * Usage counts: the number of requests of each organisation that began to run
 * in each time window, over all nodes, reported once per window. A node counts
 * its own requests and sends its counts to a few keepers as they grow: the duty
 * holder and the nodes that would succeed it, so that no counts are lost when a
 * node or the holder fails. Messages contain totals, so that duplicates change
 * nothing.
 *
 * Windows are aligned to true time: the wall clock corrected by the median of
 * all nodes' clocks. A jump of the local wall clock is ignored; a clock that
 * was wrong when the process started is corrected.
 *
 * Performs no I/O itself: messages go out through struct usage_ops.
 */

#ifndef USAGE_H
#define USAGE_H

#include "proto.h"
#include "savory.h"

/* Maximum windows kept. */
#define USAGE_WINDOWS_MAX 64
#define USAGE_KEEPERS_MAX 4

struct usage;

/* Callbacks; must be set. */
struct usage_ops {
	/* Sends to a node, possibly the local one; delivery not guaranteed. */
	void (*send)(struct usage *, name_id, const sp_msg *);
};

/* Counts of one window at this node. */
struct usage_window {
	uint64_t number; /* true time divided by the window length */
	bool used;
	/* Requests that began at this node. */
	GHashTable *own;   /* organisation to count */
	GHashTable *dirty; /* organisations with unsent counts */
	unsigned int total;
	/* Times that all counts were sent after the window's end. */
	unsigned int final_sends;
	/* As a keeper: counts received from each process. */
	GHashTable *nodes;
	/* Counts recorded by a previous holder, and when in true time. */
	GHashTable *previous_counts;
	msec previous_at;
	bool decided; /* its final counts are fixed */
};

/* Difference of another node's wall clock from the local one. */
struct usage_clock_reading {
	msec at;
	msec ahead;
};

/* Monotonic counters. */
struct usage_counters {
	/* Messages with implausible counts or for a window that is not kept. */
	uint64_t dropped;
	uint64_t jumps;	      /* of the local wall clock */
	uint64_t corrections; /* of the true time */
};

/* State of one node; the caller allocates it. */
struct usage {
	const struct usage_ops *ops;
	msec window;
	/* Wall clock minus monotonic clock: without jumps, and as corrected. */
	msec raw_offset, offset;
	msec jumped_offset; /* wall clock minus monotonic clock since a jump */
	GHashTable *clocks; /* node to struct usage_clock_reading */
	unsigned int nwindows; /* kept, including the current one */
	struct usage_window *windows;
	name_id keepers[USAGE_KEEPERS_MAX];
	unsigned int nkeepers;
	msec next_send_at; /* when to send counts next */
	struct usage_counters counters;
	void *arg; /* for the callbacks */
};

/*
 * Initialise for windows of `window` ms (0: disabled) that are reported
 * `lateness` ms after their end, with the wall clock in ms since 1970; free.
 */
void usage_init(struct usage *, const struct usage_ops *, msec window,
    msec lateness, msec now, msec wall);
void usage_finish(struct usage *);
/* Returns the estimated true time in ms since 1970. */
msec usage_true(const struct usage *, msec now);
/* Counts a request of an organisation that began to run. */
void usage_began(struct usage *, msec now, name_id organisation);
/* Sets the keepers; new ones are sent all counts that this node has. */
void usage_set_keepers(struct usage *, msec now, const name_id *, unsigned int);
/* Handles a message of kind SP_USAGE_* from a process of a member node. */
void usage_receive(struct usage *, msec now, name_id from, uint64_t incarnation,
    const sp_msg *);
/* Sends what is due; takes the wall clock, returns when to call it next. */
msec usage_tick(struct usage *, msec now, msec wall);

/* ---- as the holder ---- */

/* A process whose counts are expected. */
struct usage_process {
	name_id node;
	uint64_t incarnation;
};
/*
 * Finds the oldest window that has ended and is not decided; false: none.
 * `ago`: ms since its end. `whole`: the processes have sent all their counts.
 */
bool usage_ended(struct usage *, msec now, const struct usage_process *,
    unsigned int, uint64_t *number, msec *ago, bool *whole);
/* Counts of a window by organisation: name_id to guint; freed by the caller. */
GHashTable *usage_sum(struct usage *, uint64_t number);
/* Marks a window as decided, by this holder or a previous one. */
void usage_decided(struct usage *, uint64_t number);
/* Sets the count that a previous holder recorded at `wall` in true time. */
void usage_set_previous_count(struct usage *, uint64_t number, msec wall,
    name_id organisation, unsigned int count);

#endif /* USAGE_H */
