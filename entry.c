/*
 * Process of an entry VM: start, signals, periodic tick and shutdown of the
 * parts that entry.h lists. dispatch-entry.c is unrelated: it belongs to the
 * dispatch core of daemon.c.
 */

#define LOG_PART "entry"
#include "entry.h"

#include <sys/signalfd.h>

#include <errno.h>
#include <malloc.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#define ENTRY_TICK_MS 100
/* Interval between checks of the settings file for changes. */
#define ENTRY_SETTINGS_CHECK_MS 1000
#define ENTRY_MMAP_BYTES (128 * 1024)

static void
entry_signal(struct loop_io *io, uint32_t events)
{
	struct entry *e =
	    (struct entry *)((char *)io - offsetof(struct entry, signal_io));
	struct signalfd_siginfo si;

	while (read(io->fd, &si, sizeof si) == sizeof si) {
		if (si.ssi_signo == SIGHUP)
			entry_settings_read(e, e->loop.now);
		else
			entry_begin_stop(e, e->loop.now);
	}
}

/* main() has blocked them. */
static bool
entry_watch_signals(struct entry *e)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	e->signal_io = (struct loop_io){ entry_signal,
		signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC), 0 };
	return e->signal_io.fd != -1 &&
	       loop_watch(&e->loop, &e->signal_io, EPOLLIN);
}

static void
entry_tick(struct loop_timer *t, msec now)
{
	struct entry *e = t->arg;

	entry_state_tick(e, now);
	entry_stop_tick(e, now);
	if (now >= e->settings_check_at) {
		e->settings_check_at = now + ENTRY_SETTINGS_CHECK_MS;
		entry_settings_check(e, now);
	}
	loop_timer_set(&e->loop, t, now + ENTRY_TICK_MS);
}

static void
entry_batch_end(struct loop *l, msec now)
{
	entry_memory_check(l->arg, now);
}

static void
entry_turn_end(struct loop *l, msec now)
{
	struct entry *e = l->arg;

	entry_place_arm_timer(e, now);
	entry_poison_reschedule(e, now);
	net_flush(&e->net);
	entry_log_flush(&e->log);
}

static bool
entry_listen(struct entry *e)
{
	const struct settings *s = e->settings;

	if (s->metrics.port != 0 &&
	    !caller_listen(
		e, &e->metrics_io, &s->metrics, &metrics_caller_ops, false))
		return false;
	if (!caller_listen(
		e, &e->peers_io, &s->peer, &handoff_caller_ops, true))
		return false;
	return caller_listen(
		   e, &e->ready_io, &s->ready, &query_caller_ops, false) &&
	       caller_listen(e, &e->directory_io, &s->directory,
		   &query_caller_ops, false) &&
	       caller_listen(
		   e, &e->callers_io, &s->caller, &job_caller_ops, true);
}

static bool
entry_start(struct entry *e)
{
	msec now = msec_now();

	e->started = now;
	e->incarnation = (uint64_t)g_get_real_time();
	e->rand = g_rand_new();
	TAILQ_INIT(&e->callers);
	TAILQ_INIT(&e->jobs);
	RB_INIT(&e->route_stats);
	if (!loop_init(&e->loop))
		return false;
	e->loop.batch_done = entry_batch_end;
	e->loop.iteration_done = entry_turn_end;
	e->loop.arg = e;
	entry_log_init(&e->log, e->settings->node);
	entry_memory_init(e);
	if (!entry_watch_signals(e) || !entry_state_init(e, now) ||
	    !entry_listen(e))
		return false;
	loop_timer_init(&e->tick, entry_tick, e);
	loop_timer_set(&e->loop, &e->tick, now);
	e->source->entry = e;
	return e->source->ops->start(e->source);
}

static void
entry_finish(struct entry *e)
{
	e->source->ops->finish(e->source);
	entry_state_finish(e);
	entry_route_stats_free(e);
	entry_log_finish(&e->log);
	loop_close(&e->loop, &e->signal_io);
	loop_finish(&e->loop);
	g_rand_free(e->rand);
}

int
entry_main(struct settings *s, const char *file, const struct wire_ops *wire,
    struct source *source)
{
	static struct entry e;

	e.settings = s;
	e.settings_file = file;
	e.wire = wire;
	e.source = source;
	/*
	 * Large buffers have mappings of their own, so that what is freed goes
	 * back to the system; glibc would raise this limit as they come.
	 */
	mallopt(M_MMAP_THRESHOLD, ENTRY_MMAP_BYTES);
	if (!entry_start(&e)) {
		log_warn("startup failed");
		return EXIT_FAILURE;
	}
	entry_log(&e.log, msec_now(), ENTRY_LOG_NEEDED, LOG_EVENT_STARTED,
	    LOG_TEXT(LOG_KEY_VERSION, SAVORY_VERSION),
	    LOG_TEXT(LOG_KEY_DOMAIN, s->domain));
	entry_log_flush(&e.log);
	loop_run(&e.loop);
	entry_log(&e.log, msec_now(), ENTRY_LOG_NEEDED, LOG_EVENT_STOPPED,
	    LOG_NUMBER(LOG_KEY_SERVED, e.counters.codes[JOB_SERVED]));
	entry_finish(&e);
	return EXIT_SUCCESS;
}
