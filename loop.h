/*
 * One thread's event loop: descriptors through epoll, timers in a tree. All
 * structs are in the embedder's memory; nothing here blocks but loop_run().
 */

#ifndef LOOP_H
#define LOOP_H

#include "savory.h"

#include <sys/epoll.h>

struct loop;

/* A descriptor that is watched; first member of what owns it. */
struct loop_io {
	/* EPOLL* bits that came true. */
	void (*ready)(struct loop_io *, uint32_t);
	int fd; /* -1: not watched */
	uint32_t events;
};

/* Something to be done once, at a point in time. */
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
	bool stopping;
	/* Called at the end of each turn; may be NULL. */
	void (*turn)(struct loop *, msec);
	void *arg;
	msec now; /* when this turn began */
	/*
	 * When the wait of the turn before was begun: what this turn has in
	 * hand was not there yet. Not when that turn began: a VM may stand
	 * still between the end of a wait and the look at the clock.
	 */
	msec before;
	msec waiting; /* when this turn's wait was begun */
};

bool loop_init(struct loop *);
void loop_finish(struct loop *);
/* Until loop->stopping. */
void loop_run(struct loop *);

/* Watch a descriptor for EPOLL* bits; again to change them. */
bool loop_watch(struct loop *, struct loop_io *, uint32_t);
/* Stop watching and close it. Events already taken are not handed over. */
void loop_close(struct loop *, struct loop_io *);

void loop_timer_init(
    struct loop_timer *, void (*)(struct loop_timer *, msec), void *);
/* Set or move it; MSEC_NEVER takes it back. */
void loop_timer_set(struct loop *, struct loop_timer *, msec);
void loop_timer_stop(struct loop *, struct loop_timer *);

#endif /* LOOP_H */
