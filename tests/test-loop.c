/*
 * The event loop (loop.c): the order of events and timers.
 */

#include "loop.h"

#include <sys/wait.h>

#include <signal.h>
#include <unistd.h>

/* More than one call takes from the kernel. */
#define MANY 500
/* The process does not run for so long. */
#define HELD_UP_MS 300

struct peer {
	struct loop_io io;
	struct loop_timer timer;
	struct loop *loop;
	int write_fd;
	bool answered;
};

static unsigned int nanswered, ntimed_out;

static void
peer_ready(struct loop_io *io, uint32_t events)
{
	struct peer *p = (struct peer *)io;
	char byte;

	g_assert_cmpint(read(io->fd, &byte, 1), ==, 1);
	loop_timer_stop(p->loop, &p->timer);
	p->answered = true;
	if (++nanswered == MANY)
		p->loop->stopping = true;
}

static void
peer_timed_out(struct loop_timer *t, msec now)
{
	struct peer *p = t->arg;

	ntimed_out++;
	p->loop->stopping = true;
}

static void
peer_open(struct peer *p, struct loop *l)
{
	int fds[2];

	g_assert_cmpint(pipe(fds), ==, 0);
	*p = (struct peer){
		.io = { peer_ready, fds[0], 0 }, .loop = l, .write_fd = fds[1]
	};
	g_assert_true(loop_watch(l, &p->io, EPOLLIN));
	loop_timer_init(&p->timer, peer_timed_out, p);
}

static void
peer_close(struct peer *p)
{
	loop_timer_stop(p->loop, &p->timer);
	loop_close(p->loop, &p->io);
	close(p->write_fd);
}

/* What has arrived is timed out, as the process stood still. */
static void
test_events_before_timers(void)
{
	static struct peer peers[MANY];
	struct loop l;
	unsigned int i;

	nanswered = ntimed_out = 0;
	g_assert_true(loop_init(&l));
	for (i = 0; i < MANY; i++) {
		peer_open(&peers[i], &l);
		loop_timer_set(&l, &peers[i].timer, msec_now() + 1);
		g_assert_cmpint(write(peers[i].write_fd, "x", 1), ==, 1);
	}
	g_usleep(20 * 1000);
	loop_run(&l);
	g_assert_cmpuint(ntimed_out, ==, 0);
	g_assert_cmpuint(nanswered, ==, MANY);
	for (i = 0; i < MANY; i++)
		peer_close(&peers[i]);
	loop_finish(&l);
}

/* Each event takes a millisecond. */
static void
peer_stays_ready(struct loop_io *io, uint32_t events)
{
	nanswered++;
	g_usleep(1000);
}

/* Descriptors that are always ready hold timers up. */
static void
test_timers_beside_busy(void)
{
	static struct peer peers[MANY];
	struct loop l;
	unsigned int i;

	nanswered = ntimed_out = 0;
	g_assert_true(loop_init(&l));
	for (i = 0; i < MANY; i++) {
		peer_open(&peers[i], &l);
		peers[i].io.ready = peer_stays_ready;
		g_assert_cmpint(write(peers[i].write_fd, "x", 1), ==, 1);
	}
	loop_timer_set(&l, &peers[0].timer, msec_now());
	loop_run(&l);
	g_assert_cmpuint(ntimed_out, ==, 1);
	/* Two batches that go past the bound, where all would take 500 ms. */
	g_assert_cmpuint(nanswered, <, MANY / 2);
	for (i = 0; i < MANY; i++)
		peer_close(&peers[i]);
	loop_finish(&l);
}

static void
loop_ends(struct loop_timer *t, msec now)
{
	struct loop *l = t->arg;

	l->stopping = true;
}

static void
loop_is_held_up(struct loop_timer *t, msec now)
{
	g_usleep(HELD_UP_MS * 1000);
}

/* How much of the time the loop takes as lost. */
static msec
loop_lost(void (*fire)(struct loop_timer *, msec))
{
	struct loop_timer held_up, end;
	struct loop l;

	g_assert_true(loop_init(&l));
	loop_timer_init(&held_up, fire, &l);
	loop_timer_init(&end, loop_ends, &l);
	loop_timer_set(&l, &held_up, l.now + 1);
	loop_timer_set(&l, &end, l.now + 3 * (msec)HELD_UP_MS);
	loop_run(&l);
	loop_finish(&l);
	return l.lost;
}

/* A callback that took the process's time counts as time of others. */
static void
test_lost_in_step(void)
{
	msec lost = loop_lost(loop_is_held_up);

	g_assert_cmpint(lost, >=, HELD_UP_MS / 2);
	g_assert_cmpint(lost, <, 2 * HELD_UP_MS);
}

static pid_t stopper;

/* Another process stops this one, and lets it go on. */
static void
loop_is_stopped(struct loop_timer *t, msec now)
{
	pid_t self = getpid();

	stopper = fork();
	if (stopper != 0)
		return;
	usleep(HELD_UP_MS / 3 * 1000);
	kill(self, SIGSTOP);
	usleep(HELD_UP_MS * 1000);
	kill(self, SIGCONT);
	_exit(0);
}

/* Time in which a process was stopped while it waited counts as its wait. */
static void
test_lost_in_wait(void)
{
	msec lost = loop_lost(loop_is_stopped);

	g_assert_cmpint(waitpid(stopper, NULL, 0), ==, stopper);
	g_assert_cmpint(lost, >=, HELD_UP_MS);
	g_assert_cmpint(lost, <, 3 * HELD_UP_MS);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/loop/events-before-timers", test_events_before_timers);
	g_test_add_func("/loop/timers-beside-busy", test_timers_beside_busy);
	g_test_add_func("/loop/lost-in-step", test_lost_in_step);
	g_test_add_func("/loop/lost-in-wait", test_lost_in_wait);
	return g_test_run();
}
