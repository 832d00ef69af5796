/*
 * The event loop; see loop.h.
 */

#define LOG_PART "loop"
#include "loop.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

#define LOOP_BATCH 64
/* Timers wait for so long at the most, in ms, while events are handled. */
#define LOOP_TURN_MS 100
/* A step that takes so much longer than it should was held up. */
#define LOOP_HELD_UP_MS 100
/* The longest wait, also without a timer. */
#define LOOP_IDLE_MS 1000

static int loop_timer_compare(struct loop_timer *, struct loop_timer *);

RB_PROTOTYPE(loop_timers, loop_timer, entry, loop_timer_compare)
RB_GENERATE(loop_timers, loop_timer, entry, loop_timer_compare)

/* Events of the current iteration, so that loop_close() can discard some. */
static __thread struct epoll_event batch[LOOP_BATCH];
static __thread int batch_len;

static int
loop_timer_compare(struct loop_timer *a, struct loop_timer *b)
{
	if (a->due != b->due)
		return a->due < b->due ? -1 : 1;
	return (uintptr_t)a < (uintptr_t)b ? -1 : (uintptr_t)a > (uintptr_t)b;
}

bool
loop_init(struct loop *l)
{
	*l = (struct loop){ 0 };
	RB_INIT(&l->timers);
	l->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	l->now = msec_now();
	return l->epoll_fd != -1;
}

void
loop_finish(struct loop *l)
{
	if (l->epoll_fd != -1)
		close(l->epoll_fd);
	l->epoll_fd = -1;
}

bool
loop_watch(struct loop *l, struct loop_io *io, uint32_t events)
{
	struct epoll_event ev = { .events = events, .data.ptr = io };
	int op = io->events != 0 ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;

	if (io->events == events)
		return true;
	if (epoll_ctl(l->epoll_fd, op, io->fd, &ev) == -1) {
		log_warn(
		    "cannot watch a file descriptor: %s", g_strerror(errno));
		return false;
	}
	io->events = events;
	return true;
}

void
loop_close(struct loop *l, struct loop_io *io)
{
	int i;

	if (io->fd == -1)
		return;
	for (i = 0; i < batch_len; i++) {
		if (batch[i].data.ptr == io)
			batch[i].data.ptr = NULL;
	}
	close(io->fd);
	io->fd = -1;
	io->events = 0;
}

void
loop_timer_init(
    struct loop_timer *t, void (*fire)(struct loop_timer *, msec), void *arg)
{
	*t = (struct loop_timer){ .fire = fire, .arg = arg };
}

void
loop_timer_stop(struct loop *l, struct loop_timer *t)
{
	if (!t->set)
		return;
	RB_REMOVE(loop_timers, &l->timers, t);
	t->set = false;
}

void
loop_timer_set(struct loop *l, struct loop_timer *t, msec due)
{
	loop_timer_stop(l, t);
	if (due == MSEC_NEVER)
		return;
	t->due = due;
	t->set = true;
	RB_INSERT(loop_timers, &l->timers, t);
}

static int
loop_wait_ms(struct loop *l, msec start)
{
	struct loop_timer *t = RB_MIN(loop_timers, &l->timers);

	l->wait_start = start;
	if (t == NULL)
		return LOOP_IDLE_MS;
	return (int)CLAMP(t->due - l->wait_start, 0, LOOP_IDLE_MS);
}

static void
loop_fire_timers(struct loop *l)
{
	struct loop_timer *t;

	while (
	    (t = RB_MIN(loop_timers, &l->timers)) != NULL && t->due <= l->now) {
		loop_timer_stop(l, t);
		t->fire(t, l->now);
	}
}

static void
loop_count_lost(struct loop *l, msec span, msec expected)
{
	if (span - expected > LOOP_HELD_UP_MS)
		l->lost += span - expected;
}

/* Wait for events, or only look. */
static int
loop_wait(struct loop *l, bool waits)
{
	msec start = msec_now();
	int most = waits ? loop_wait_ms(l, start) : 0;
	int n;

	loop_count_lost(l, start - l->now, LOOP_TURN_MS);
	n = epoll_wait(l->epoll_fd, batch, LOOP_BATCH, most);
	l->now = msec_now();
	/* Only a process that was stopped is interrupted. */
	if (n == -1 && errno == EINTR)
		l->lost += l->now - start;
	else
		loop_count_lost(l, l->now - start, most);
	return n;
}

/* Fetch the events that are ready; the first batch of a turn waits for some. */
static int
loop_fetch(struct loop *l, bool first)
{
	int n;

	/*
	 * Retry after a signal, without firing timers: a process that is
	 * stopped and continued is interrupted here, and timeouts would discard
	 * responses that are waiting to be read.
	 */
	do {
		n = loop_wait(l, first);
	} while (n == -1 && errno == EINTR);
	return MAX(n, 0);
}

/*
 * Handle one batch. False when it was the last of this turn: the kernel goes
 * round the ready descriptors, so one that comes again was behind all others.
 */
static bool
loop_handle_batch(struct loop *l, bool first)
{
	struct loop_io *io;
	bool more;
	int i;

	batch_len = loop_fetch(l, first);
	more = batch_len == LOOP_BATCH;
	for (i = 0; i < batch_len; i++) {
		if ((io = batch[i].data.ptr) == NULL)
			continue;
		more = more && io->turn != l->turn;
		io->turn = l->turn;
		io->ready(io, batch[i].events);
	}
	batch_len = 0;
	if (l->batch_done != NULL)
		l->batch_done(l, l->now);
	return more;
}

void
loop_run(struct loop *l)
{
	msec turn_end;
	bool more;

	l->wait_start = msec_now();
	while (!l->stopping) {
		l->previous_wait_start = l->wait_start;
		l->turn++;
		more = loop_handle_batch(l, true);
		turn_end = l->now + LOOP_TURN_MS;
		while (more && !l->stopping && l->now < turn_end)
			more = loop_handle_batch(l, false);
		loop_fire_timers(l);
		if (l->iteration_done != NULL)
			l->iteration_done(l, l->now);
	}
}
