/*
 * Detects callers that disconnect while their request waits.
 *
 * libmicrohttpd does not poll suspended connections, and a connection is
 * suspended until its answer is ready. A disconnect would be noticed only then,
 * after a server has worked for nothing. So the core polls these sockets
 * itself, only for the end of their input.
 */

#define LOG_PART "watch"
#include "daemon.h"

#include <sys/epoll.h>

#include <unistd.h>

/* Disconnected callers handled per call; the next call handles the rest. */
#define WATCH_BATCH 64

static int watch_collect_left(struct daemon *, struct call **);

bool
daemon_watch_open(struct daemon *d)
{
	pthread_mutex_init(&d->watch_lock, NULL);
	d->watch_fd = epoll_create1(EPOLL_CLOEXEC);
	return d->watch_fd != -1;
}

void
daemon_watch_close(struct daemon *d)
{
	if (d->watch_fd != -1)
		close(d->watch_fd);
	pthread_mutex_destroy(&d->watch_lock);
}

/*
 * Called by the connection's own thread, so that the socket cannot have been
 * closed and reused.
 */
void
daemon_watch_begin(struct call *c)
{
	const union MHD_ConnectionInfo *info;
	struct epoll_event ev = { .events = EPOLLRDHUP | EPOLLONESHOT,
		.data.ptr = c };

	info = MHD_get_connection_info(
	    c->answer.connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	if (info == NULL)
		return;
	c->watched_fd = info->connect_fd;
	if (epoll_ctl(c->daemon->watch_fd, EPOLL_CTL_ADD, c->watched_fd, &ev) !=
	    0) {
		log_warn("%s: cannot watch its caller's connection: %s", c->id,
		    g_strerror(errno));
		c->watched_fd = -1;
	}
}

/*
 * Called by the connection's own thread before its socket is closed. The core
 * takes its references under the same lock, so that no call is freed while the
 * core uses it.
 */
void
daemon_watch_end(struct call *c)
{
	struct daemon *d = c->daemon;

	if (c->watched_fd == -1)
		return;
	pthread_mutex_lock(&d->watch_lock);
	epoll_ctl(d->watch_fd, EPOLL_CTL_DEL, c->watched_fd, NULL);
	c->watched_fd = -1;
	pthread_mutex_unlock(&d->watch_lock);
}

/* Stores references to calls whose callers disconnected; returns their number.
 */
static int
watch_collect_left(struct daemon *d, struct call **left)
{
	struct epoll_event ev[WATCH_BATCH];
	int i, n;

	pthread_mutex_lock(&d->watch_lock);
	n = epoll_wait(d->watch_fd, ev, WATCH_BATCH, 0);
	for (i = 0; i < n; i++)
		left[i] = call_take(ev[i].data.ptr);
	pthread_mutex_unlock(&d->watch_lock);
	return n;
}

void
daemon_watch_ready(struct daemon *d, msec now)
{
	struct call *left[WATCH_BATCH];
	int i, n = watch_collect_left(d, left);

	for (i = 0; i < n; i++) {
		pthread_mutex_lock(&left[i]->answer.lock);
		left[i]->answer.caller_left = !left[i]->answer.ended;
		pthread_mutex_unlock(&left[i]->answer.lock);
		daemon_call_gone(d, left[i], now);
		call_drop(left[i]);
	}
}
