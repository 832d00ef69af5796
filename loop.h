/*
 * An event loop for one thread: descriptors through epoll, timers in a tree.
 * Timers fire after the events that were ready before them, as far as these
 * take a tenth of a second, so that nothing is timed out while its answer lies
 * unread because the process stood still. All structs are allocated by the
 * caller; only loop_run() blocks.
 */

#ifndef LOOP_H
#define LOOP_H

#include "savory.h"

#include <sys/epoll.h>

struct loop;

/* A watched descriptor; embedded as the first member of its owner. */
struct loop_io {
	/* Called with the EPOLL* bits that are ready. */
	void (*ready)(struct loop_io *, uint32_t);
	int fd;		 /* -1: not open */
	uint32_t events; /* EPOLL* bits watched; 0: not watched */
	uint64_t turn;	 /* private: the iteration that called it last */
};

/* A one-shot timer. */
struct loop_timer {
	RB_ENTRY(loop_timer) entry;
	void (*fire)(struct loop_timer *, msec);
	void *arg;
	msec due;
	bool set;
};
RB_HEAD(loop_timers, loop_timer);

struct loop {
	int epoll_fd;
	struct loop_timers timers;
	uint64_t turn; /* number of the current iteration */
	bool stopping;
	/*
	 * Called after each batch of events, of which an iteration may handle
	 * many; may be NULL.
	 */
	void (*batch_done)(struct loop *, msec);
	/* Called at the end of each iteration; may be NULL. */
	void (*iteration_done)(struct loop *, msec);
	void *arg;
	msec now; /* when this iteration's wait returned */
	/*
	 * When the previous iteration's wait started: the events of this
	 * iteration had not occurred yet. The end of that wait would not do,
	 * since a VM may be paused between the end of a wait and the reading of
	 * the clock.
	 */
	msec previous_wait_start;
	msec wait_start; /* when this iteration's wait started */
	/* Time so far in which the process did not run, as far as it shows. */
	msec lost;
};

bool loop_init(struct loop *);
void loop_finish(struct loop *);
/* Run until loop->stopping is set. */
void loop_run(struct loop *);

/* Watch a descriptor for EPOLL* bits, or change the bits. False on failure. */
bool loop_watch(struct loop *, struct loop_io *, uint32_t);
/* Close a descriptor. Its events that are already fetched are discarded. */
void loop_close(struct loop *, struct loop_io *);

void loop_timer_init(
    struct loop_timer *, void (*)(struct loop_timer *, msec), void *);
/* Set or move a timer; MSEC_NEVER stops it. */
void loop_timer_set(struct loop *, struct loop_timer *, msec);
void loop_timer_stop(struct loop *, struct loop_timer *);

#endif /* LOOP_H */
