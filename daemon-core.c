/*
 * The core loop: handles events of the other threads, messages of peers and
 * timers.
 */

#define LOG_PART "core"
#include "daemon.h"

#include <sys/epoll.h>
#include <sys/signalfd.h>

#include <signal.h>
#include <unistd.h>

/* Longest time between two runs of core_tick(). */
#define CORE_TICK_MS 100

static void core_event(struct daemon *, struct event *, msec);

void
event_post(struct daemon *d, const struct event *from)
{
	struct event *e = g_memdup2(from, sizeof *from);

	if (e->call != NULL)
		call_take(e->call);
	while (!ring_put(&d->events, e))
		g_thread_yield();
}

void
fetch_free(struct fetch *f)
{
	if (f->json != NULL)
		json_decref(f->json);
	if (f->arg != NULL && f->arg_free != NULL)
		f->arg_free(f->arg);
	g_free(f->url);
	g_free(f->post);
	g_free(f->authorization);
	g_free(f->text);
	g_free(f);
}

static void
core_fetched(struct daemon *d, struct fetch *f, msec now)
{
	f->done(d, f, now);
	fetch_free(f);
}

static void
core_event(struct daemon *d, struct event *e, msec now)
{
	switch (e->kind) {
	case EVENT_CALL:
		daemon_call_arrived(d, e->call, now);
		break;
	case EVENT_CALL_GONE:
		daemon_call_gone(d, e->call, now);
		break;
	case EVENT_FIRST:
		daemon_call_first(d, e, now);
		break;
	case EVENT_ENDED:
		daemon_call_ended(d, e, now);
		break;
	case EVENT_FETCHED:
		core_fetched(d, e->fetch, now);
		break;
	}
	if (e->call != NULL)
		call_drop(e->call);
	g_free(e);
}

static void
core_signal(struct daemon *d, msec now)
{
	struct signalfd_siginfo si;

	while (read(d->signal_fd, &si, sizeof si) == sizeof si) {
		if (si.ssi_signo == SIGHUP)
			log_info("settings are read at the start only");
		else
			/* A second one has no effect: it leaves already. */
			daemon_leave(d, now);
	}
}

static void
core_drain_rings(struct daemon *d)
{
	struct log_event *le;
	struct event *e;

	while ((e = ring_get(&d->events)) != NULL)
		core_event(d, e, msec_now());
	while ((le = ring_get(&d->log_events)) != NULL) {
		if (!daemon_ledger_log_event(d, le) &&
		    !daemon_placement_log_event(d, le, msec_now()))
			daemon_docs_log_event(d, le, msec_now());
		log_event_free(le);
	}
}

static void
core_ready(struct daemon *d, int fd)
{
	if (fd == d->net.fd)
		net_read(&d->net);
	else if (fd == d->events.wake_fd)
		ring_clear_wake(&d->events);
	else if (fd == d->log_events.wake_fd)
		ring_clear_wake(&d->log_events);
	else if (fd == d->signal_fd)
		core_signal(d, msec_now());
	else if (fd == d->watch_fd)
		daemon_watch_ready(d, msec_now());
}

static void
core_watch(struct daemon *d, int fd)
{
	struct epoll_event ev = { .events = EPOLLIN, .data.fd = fd };

	epoll_ctl(d->epoll_fd, EPOLL_CTL_ADD, fd, &ev);
}

static bool
core_open(struct daemon *d)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	d->signal_fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	d->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (d->signal_fd == -1 || d->epoll_fd == -1)
		return false;
	core_watch(d, d->watch_fd);
	core_watch(d, d->signal_fd);
	core_watch(d, d->net.fd);
	core_watch(d, d->events.wake_fd);
	core_watch(d, d->log_events.wake_fd);
	return true;
}

static int
core_tick(struct daemon *d, msec now)
{
	msec next = now + CORE_TICK_MS;

	next = MIN(next, members_tick(&d->members, now));
	next = MIN(next, dispatch_tick(&d->dispatch, now));
	next = MIN(next, shares_tick(&d->shares, now));
	next = MIN(next, daemon_limits_tick(d, now));
	next = MIN(next, daemon_ledger_tick(d, now));
	daemon_peers_tick(d, now);
	daemon_load_tick(d, now);
	daemon_placement_tick(d, now);
	daemon_docs_tick(d, now);
	join_tick(d->joins, now, d->settings.keep_answers);
	ticket_registry_tick(&d->tickets, now);
	daemon_stop_tick(d, now);
	net_flush(&d->net);
	return (int)MAX(next - now, 0);
}

bool
daemon_run(struct daemon *d)
{
	struct epoll_event events[16];
	int i, n, wait;

	if (!core_open(d))
		return false;
	while (!d->stopping) {
		wait = core_tick(d, msec_now());
		n = epoll_wait(d->epoll_fd, events, G_N_ELEMENTS(events), wait);
		for (i = 0; i < n; i++)
			core_ready(d, events[i].data.fd);
		core_drain_rings(d);
		net_flush(&d->net);
	}
	close(d->signal_fd);
	close(d->epoll_fd);
	return true;
}
