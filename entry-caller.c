/*
 * Connections of callers: reads requests, handles one at a time, and writes the
 * answers. The connection is also watched while a request is being handled, so
 * that a disconnect is noticed at once. A caller that closes only its sending
 * side cannot be told from one that disconnected, and is treated as such.
 */

#define LOG_PART "caller"
#include "entry.h"
#include "tcp-options.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <linux/sockios.h>

#include <errno.h>
#include <string.h>
#include <unistd.h>

#define CALLER_LISTEN_BACKLOG 1024
#define CALLER_READ_SIZE 16384
/* Most that is read of one caller on one turn of the loop. */
#define CALLER_READ_TURN 65536
/* The same while memory is short. */
#define CALLER_READ_SHORT 4096
/* Most pipelined bytes that are buffered while a request is answered. */
#define CALLER_PIPELINED_MAX 65536
/* A peer that acknowledges no sent bytes for so long is taken as gone. */
#define CALLER_UNACKED_MS 4000
/* Idle time of a connection before its peer is probed, in s. */
#define CALLER_KEEPALIVE_S 2
/*
 * The same once the answer is whole. The kernel also counts the time in which a
 * caller that reads slowly takes nothing, and no server works for it any more.
 */
#define CALLER_ANSWERED_UNACKED_MS (60 * MSEC_SECOND)
/* After shutdown of the sending side, the peer has so long to close. */
#define CALLER_LINGER_MS 500
/* A new connection is not closed as idle before this age. */
#define CALLER_IDLE_CLOSE_MIN_AGE_MS 500
/* Limits of a request while this node has no configuration. */
#define CALLER_HEAD_MAX 16384
#define CALLER_BODY_MAX (4 * 1024 * 1024)

static void caller_ready(struct loop_io *, uint32_t);
static void caller_parse(struct caller *, msec);
static void caller_timer(struct loop_timer *, msec);

/* ---- opening and closing ---- */

/* What came after the last answer: no request was made of it. */
static void
caller_log_discarded(const struct caller *c)
{
	struct entry *e = c->owner;

	if (c->discarded == 0)
		return;
	e->counters.discarded++;
	entry_log(&e->log, e->loop.now, ENTRY_LOG_NEEDED,
	    LOG_EVENT_BYTES_DISCARDED, LOG_NUMBER(LOG_KEY_UNREAD, c->discarded),
	    LOG_NUMBER(LOG_KEY_SERVED, c->served),
	    LOG_NUMBER(LOG_KEY_MS, e->loop.now - c->idle_since));
}

static void
caller_free(struct caller *c)
{
	struct entry *e = c->owner;

	caller_log_discarded(c);
	loop_timer_stop(&e->loop, &c->timer);
	loop_close(&e->loop, &c->io);
	http_reader_finish(&c->reader);
	buffer_finish(&c->in);
	buffer_finish(&c->body);
	buffer_finish(&c->out);
	TAILQ_REMOVE(&e->callers, c, entry);
	if (c->delays_stop)
		e->ncallers--;
	g_free(c);
}

void
caller_abort(struct caller *c, msec now)
{
	if (c->busy) {
		c->busy = false;
		c->ops->gone(c, now);
	}
	caller_free(c);
}

void
caller_break_answer(struct caller *c, msec now)
{
	c->busy = false;
	/* With all bytes sent, close without a reset, so that they arrive. */
	if (buffer_length(&c->out) == 0 && !c->write_closed) {
		shutdown(c->io.fd, SHUT_WR);
		c->write_closed = c->closing = true;
		loop_timer_set(
		    &c->owner->loop, &c->timer, now + CALLER_LINGER_MS);
		loop_watch(&c->owner->loop, &c->io, EPOLLIN | EPOLLRDHUP);
		return;
	}
	tcp_set_reset(c->io.fd);
	caller_free(c);
}

static struct route_limits
caller_limits(const struct caller *c)
{
	const struct route_table *t = c->owner->table;
	const struct route_limits limits = { CALLER_HEAD_MAX, CALLER_BODY_MAX,
		CALLER_TIMEOUT_MS, CALLER_TIMEOUT_MS };

	if (c->ops->limits != NULL)
		return *c->ops->limits;
	return t != NULL ? t->limits : limits;
}

/* When the caller's connection, idle now, may be closed. */
static msec
caller_idle_end(const struct caller *c, msec now)
{
	if (c->ops->limits != NULL)
		return c->idle_since + c->ops->limits->idle_timeout;
	return idle_limit_end(&c->owner->idle, now, c->idle_since);
}

static void
caller_body(struct http_reader *r, const char *bytes, size_t n)
{
	struct caller *c = r->arg;

	buffer_add(&c->body, bytes, n);
}

static void
caller_new(struct listener_io *li, int fd)
{
	struct entry *e = li->entry;
	struct caller *c = g_new0(struct caller, 1);
	struct route_limits limits;

	c->io = (struct loop_io){ caller_ready, fd, 0 };
	c->ops = li->ops;
	c->owner = e;
	c->delays_stop = li->delays_stop;
	c->accepted = c->idle_since = c->progress = e->loop.now;
	limits = caller_limits(c);
	http_reader_init(&c->reader, true, limits.head_bytes, limits.body_bytes,
	    caller_body, c);
	if (c->ops->fields_max > 0)
		c->reader.fields_max = c->ops->fields_max;
	loop_timer_init(&c->timer, caller_timer, c);
	TAILQ_INSERT_TAIL(&e->callers, c, entry);
	if (c->delays_stop)
		e->ncallers++;
	tcp_set_options(fd, CALLER_KEEPALIVE_S, CALLER_UNACKED_MS);
	loop_timer_set(&e->loop, &c->timer, caller_idle_end(c, e->loop.now));
	if (!loop_watch(&e->loop, &c->io, EPOLLIN | EPOLLRDHUP))
		caller_free(c);
}

static void
listener_ready(struct loop_io *io, uint32_t events)
{
	struct listener_io *li = (struct listener_io *)io;
	int fd;

	while ((fd = accept4(
		    io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) != -1)
		caller_new(li, fd);
	if (errno != EAGAIN && errno != ECONNABORTED && errno != EINTR)
		log_warn("cannot accept a connection: %s", g_strerror(errno));
}

bool
caller_listen(struct entry *e, struct listener_io *li,
    const struct endpoint *at, const struct caller_ops *ops, bool delays_stop)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int fd, on = 1;

	*li = (struct listener_io){ { listener_ready, -1, 0 }, e, ops,
		delays_stop };
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd == -1)
		return false;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
	sin.sin_addr.s_addr = htonl(at->address);
	sin.sin_port = htons(at->port);
	if (bind(fd, (struct sockaddr *)&sin, sizeof sin) == -1 ||
	    listen(fd, CALLER_LISTEN_BACKLOG) == -1) {
		log_warn("cannot listen on port %u: %s", at->port,
		    g_strerror(errno));
		close(fd);
		return false;
	}
	li->io.fd = fd;
	return loop_watch(&e->loop, &li->io, EPOLLIN);
}

void
caller_address(const struct caller *c, char *text)
{
	struct sockaddr_in sin = { 0 };
	socklen_t len = sizeof sin;

	*text = '\0';
	if (getpeername(c->io.fd, (struct sockaddr *)&sin, &len) == 0)
		inet_ntop(
		    AF_INET, &sin.sin_addr, text, (socklen_t)INET_ADDRSTRLEN);
}

/* ---- reading ---- */

/* May bytes of later requests be read ahead? */
static bool
caller_reads_ahead(const struct caller *c)
{
	return !entry_memory_is_short(c->owner) &&
	       buffer_length(&c->in) < CALLER_PIPELINED_MAX;
}

static void
caller_watch(struct caller *c)
{
	uint32_t events = EPOLLRDHUP;

	if (!c->eof && (!c->busy || caller_reads_ahead(c)))
		events |= EPOLLIN;
	if (c->eof)
		events = 0;
	if (buffer_length(&c->out) > 0)
		events |= EPOLLOUT;
	/* epoll reports errors and hang-ups in any case. */
	loop_watch(&c->owner->loop, &c->io, events | EPOLLERR);
}

static unsigned int
caller_error_status(enum http_error error)
{
	switch (error) {
	case HTTP_ERROR_HEAD_TOO_LARGE:
		return 431;
	case HTTP_ERROR_BODY_TOO_LARGE:
		return 413;
	default:
		return 400;
	}
}

/* Answer an invalid request with an error, then close. */
static void
caller_reject(struct caller *c, msec now, unsigned int status)
{
	struct buffer fields = { 0 };

	entry_log(&c->owner->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_REFUSED,
	    LOG_NUMBER(LOG_KEY_STATUS, status),
	    LOG_TEXT(LOG_KEY_KIND, c->ops->name),
	    LOG_TEXT(LOG_KEY_REASON, "not a valid HTTP/1.1 request"));
	caller_refuse(c, now, status, JOB_NOT_READ, &fields);
}

void
caller_refuse(struct caller *c, msec now, unsigned int status,
    enum job_code why, struct buffer *fields)
{
	c->busy = true;
	buffer_finish(&c->in);
	if (c->ops->add_refusal_fields != NULL)
		c->ops->add_refusal_fields(fields, why);
	buffer_add(fields, "", 1);
	caller_answer(
	    c, now, status, buffer_bytes(fields), "text/plain", "", false);
	buffer_finish(fields);
}

/* Those that are marked stand first. */
void
caller_mark_to_end(struct caller *c)
{
	struct entry *e = c->owner;

	c->to_end = true;
	TAILQ_REMOVE(&e->callers, c, entry);
	TAILQ_INSERT_HEAD(&e->callers, c, entry);
}

struct caller *
caller_take_to_end(struct entry *e)
{
	struct caller *c = TAILQ_FIRST(&e->callers);

	if (c == NULL || !c->to_end)
		return NULL;
	c->to_end = false;
	TAILQ_REMOVE(&e->callers, c, entry);
	TAILQ_INSERT_TAIL(&e->callers, c, entry);
	return c;
}

bool
caller_is_reading(const struct caller *c)
{
	return !c->busy && !c->closing && !http_reader_is_idle(&c->reader);
}

size_t
caller_held(const struct caller *c)
{
	return c->in.size + c->body.size + c->out.size + c->reader.text.size;
}

static void
caller_request_complete(struct caller *c, msec now)
{
	c->busy = true;
	if (c->served > 0)
		tcp_set_unacked(c->io.fd, CALLER_UNACKED_MS);
	loop_timer_stop(&c->owner->loop, &c->timer);
	c->ops->request(c, now);
}

/* The head is complete: check the announced body length, answer "Expect". */
static void
caller_head_complete(struct caller *c, msec now)
{
	const struct http_head *h = c->reader.head;

	if (h->has_length && h->length > c->reader.body_max) {
		caller_reject(c, now, 413);
		return;
	}
	if (h->has_body && http_head_has_token(h, "Expect", "100-continue")) {
		caller_write_text(c, "HTTP/1.1 100 Continue\r\n\r\n");
		caller_flush(c);
	}
}

static void
caller_request_begins(struct caller *c, msec now)
{
	c->request_began = now;
	c->lost_before = c->owner->loop.lost;
	c->delayed = 0;
	c->reader.head_max = c->reader.body_max = 0;
	loop_timer_set(
	    &c->owner->loop, &c->timer, now + caller_limits(c).head_timeout);
}

/* Limits that are lowered while a request is read do not hold for it. */
static void
caller_raise_limits(struct caller *c)
{
	struct route_limits limits = caller_limits(c);
	struct http_reader *r = &c->reader;

	r->head_max = MAX(r->head_max, limits.head_bytes);
	r->body_max = MAX(r->body_max, limits.body_bytes);
}

static void
caller_parse(struct caller *c, msec now)
{
	enum http_stage before;
	size_t n;

	while (!c->busy && !c->closing && buffer_length(&c->in) > 0) {
		before = c->reader.stage;
		if (http_reader_is_idle(&c->reader))
			caller_request_begins(c, now);
		caller_raise_limits(c);
		n = http_reader_parse(
		    &c->reader, buffer_bytes(&c->in), buffer_length(&c->in));
		if (c->reader.stage == HTTP_STAGE_FAILED) {
			caller_reject(
			    c, now, caller_error_status(c->reader.error));
			return;
		}
		buffer_consume(&c->in, n);
		if (before == HTTP_STAGE_HEAD &&
		    c->reader.stage >= HTTP_STAGE_BODY && c->delays_stop &&
		    entry_memory_is_full(c->owner)) {
			entry_memory_refuse(c, now);
			return;
		}
		if (before == HTTP_STAGE_HEAD &&
		    c->reader.stage == HTTP_STAGE_BODY)
			caller_head_complete(c, now);
		if (c->reader.stage == HTTP_STAGE_COMPLETE && !c->closing)
			caller_request_complete(c, now);
	}
}

/* Since the last reading, bytes of the request have waited for this node. */
static void
caller_count_delay(struct caller *c, msec now)
{
	if (c->behind)
		c->delayed += now - MAX(c->progress, c->request_began);
	c->behind = false;
}

/* False when the caller is freed. */
static bool
caller_read(struct caller *c, msec now)
{
	/* What is discarded is read fast, before the connection ends. */
	bool is_short = entry_memory_is_short(c->owner) && !c->closing;
	size_t size = is_short ? CALLER_READ_SHORT : CALLER_READ_SIZE;
	size_t most = is_short ? CALLER_READ_SHORT : CALLER_READ_TURN;
	size_t took = 0;
	ssize_t n;

	caller_count_delay(c, now);
	/* The rest is read on the next turn, after what others have sent. */
	while (took < most) {
		if (c->busy && !caller_reads_ahead(c))
			return true;
		n = recv(c->io.fd, buffer_reserve(&c->in, size), size, 0);
		if (n > 0) {
			buffer_commit(&c->in, (size_t)n);
			c->progress = now;
			took += (size_t)n;
			if (c->closing) {
				c->discarded += (uint64_t)n;
				buffer_finish(&c->in);
			}
			if ((size_t)n < size)
				return true;
			continue;
		}
		if (buffer_length(&c->in) == 0)
			buffer_finish(&c->in);
		if (n == -1 && errno == EINTR)
			continue;
		if (n == -1 && errno == EAGAIN)
			return true;
		if (n == -1) {
			caller_abort(c, now);
			return false;
		}
		c->eof = true;
		return true;
	}
	c->behind = true;
	return true;
}

/*
 * The peer has closed its side. A busy one is not read to its end, as it may
 * have sent much ahead. Of another one nothing must be begun: if this process
 * stood still, its requests have lain here since before it gave them up.
 */
static bool
caller_has_given_up(const struct caller *c)
{
	if (c->busy)
		return true;
	return !c->closing && !c->write_closed && buffer_length(&c->out) == 0;
}

static void
caller_ready(struct loop_io *io, uint32_t events)
{
	struct caller *c = (struct caller *)io;
	struct entry *e = c->owner;
	msec now = e->loop.now;

	if (events & EPOLLERR) {
		caller_abort(c, now);
		return;
	}
	if ((events & (EPOLLRDHUP | EPOLLHUP)) && caller_has_given_up(c)) {
		caller_abort(c, now);
		return;
	}
	if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP)) && !c->eof &&
	    !caller_read(c, now))
		return;
	if (c->eof &&
	    (c->busy || c->write_closed || buffer_length(&c->out) == 0)) {
		caller_abort(c, now);
		return;
	}
	/* caller_flush() and what a request calls may free it. */
	if (events & EPOLLOUT) {
		caller_flush(c);
		return;
	}
	if (!c->busy)
		caller_parse(c, now);
	caller_watch(c);
}

/* Bytes have arrived that no request was made of yet. */
static bool
caller_has_unread(const struct caller *c)
{
	char byte;

	return buffer_length(&c->in) > 0 ||
	       recv(c->io.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Close a connection that has been idle for too long. */
static void
caller_idle_ended(struct caller *c, msec now)
{
	struct entry *e = c->owner;
	msec end = caller_idle_end(c, now);

	/*
	 * Longer limits have come into force since the timer was set, or a
	 * request has just arrived.
	 */
	if (now < end || caller_has_unread(c)) {
		loop_timer_set(&e->loop, &c->timer, MAX(end, now + 1));
		return;
	}
	e->counters.idle_closed += c->delays_stop;
	if (c->delays_stop)
		entry_log(&e->log, now, ENTRY_LOG_ROUTINE,
		    LOG_EVENT_IDLE_CLOSED,
		    LOG_NUMBER(LOG_KEY_MS, now - c->idle_since),
		    LOG_NUMBER(
			LOG_KEY_IDLE_LIMIT_MS, caller_limits(c).idle_timeout),
		    LOG_NUMBER(LOG_KEY_CONFIGURATION,
			e->table != NULL ? e->table->version : 0),
		    LOG_NUMBER(LOG_KEY_SERVED, c->served));
	caller_abort(c, now);
}

/*
 * When the request is late: the time in which this node did not run, or did not
 * take the bytes that had arrived, is not the caller's.
 */
static msec
caller_request_end(const struct caller *c)
{
	return c->request_began + caller_limits(c).head_timeout + c->delayed +
	       c->owner->loop.lost - c->lost_before;
}

/*
 * The request did not arrive in the time that it had when it began. What has
 * arrived is read first; without end, a caller that trickles could go on so.
 */
static void
caller_request_late(struct caller *c, msec now)
{
	msec end = caller_request_end(c);
	msec last = end + caller_limits(c).head_timeout;

	if (now < end || (now < last && caller_has_unread(c)))
		loop_timer_set(&c->owner->loop, &c->timer, MAX(end, now + 1));
	else
		caller_reject(c, now, 408);
}

static void
caller_timer(struct loop_timer *t, msec now)
{
	struct caller *c = t->arg;

	if (!c->closing && !c->busy && buffer_length(&c->in) > 0) {
		caller_parse(c, now);
		caller_watch(c);
		return;
	}
	if (!c->closing && !c->busy && !http_reader_is_idle(&c->reader)) {
		caller_request_late(c, now);
		return;
	}
	if (c->closing)
		caller_abort(c, now);
	else
		caller_idle_ended(c, now);
}

/* ---- writing ---- */

size_t
caller_unsent(const struct caller *c)
{
	return buffer_length(&c->out);
}

void
caller_write(struct caller *c, const char *bytes, size_t n)
{
	buffer_add(&c->out, bytes, n);
}

void
caller_write_text(struct caller *c, const char *s)
{
	buffer_add_text(&c->out, s);
}

/* All is written: close the sending side and wait for the peer to close. */
static void
caller_close_write(struct caller *c, msec now)
{
	/*
	 * close() with unread bytes resets the connection, and the peer may
	 * lose the answer. So only the sending side is closed, and what still
	 * arrives is read and discarded.
	 */
	shutdown(c->io.fd, SHUT_WR);
	c->write_closed = true;
	loop_timer_set(&c->owner->loop, &c->timer, now + CALLER_LINGER_MS);
}

void
caller_flush(struct caller *c)
{
	msec now = c->owner->loop.now;
	size_t before = buffer_length(&c->out);
	ssize_t n;

	while (buffer_length(&c->out) > 0) {
		n = send(c->io.fd, buffer_bytes(&c->out),
		    buffer_length(&c->out), MSG_NOSIGNAL);
		if (n == -1 && errno == EINTR)
			continue;
		if (n == -1 && errno == EAGAIN)
			break;
		if (n <= 0) {
			/*
			 * The caller is freed on the next turn of the loop,
			 * when epoll reports the error: the functions that call
			 * this one still use it.
			 */
			buffer_finish(&c->out);
			break;
		}
		buffer_consume(&c->out, (size_t)n);
		c->progress = now;
	}
	if (before >= CALLER_LOW_WATER &&
	    buffer_length(&c->out) < CALLER_LOW_WATER && c->busy)
		c->ops->drained(c, now);
	if (c->closing && !c->write_closed && buffer_length(&c->out) == 0)
		caller_close_write(c, now);
	caller_watch(c);
}

void
caller_finish_answer(struct caller *c, msec now, bool keep)
{
	struct entry *e = c->owner;

	c->busy = false;
	c->served++;
	c->idle_since = now;
	buffer_finish(&c->body);
	if (!keep || c->reader.stage != HTTP_STAGE_COMPLETE ||
	    !c->reader.head->keep_alive)
		c->closing = true;
	if (!c->closing) {
		http_reader_reset(&c->reader);
		loop_timer_set(&e->loop, &c->timer, caller_idle_end(c, now));
	} else {
		loop_timer_set(
		    &e->loop, &c->timer, now + CALLER_ANSWERED_UNACKED_MS);
	}
	tcp_set_unacked(c->io.fd, CALLER_ANSWERED_UNACKED_MS);
	caller_flush(c);
	/* Handle pipelined requests on the next turn, without recursion. */
	if (!c->closing && buffer_length(&c->in) > 0)
		loop_timer_set(&e->loop, &c->timer, now);
}

void
caller_answer(struct caller *c, msec now, unsigned int status,
    const char *fields, const char *type, const char *body, bool keep)
{
	keep = keep && c->reader.stage == HTTP_STAGE_COMPLETE &&
	       c->reader.head->keep_alive;
	buffer_printf(
	    &c->out, "HTTP/1.1 %u %s\r\n", status, http_status_text(status));
	if (*body != '\0')
		buffer_printf(&c->out, "Content-Type: %s\r\n", type);
	buffer_printf(&c->out, "%s%sContent-Length: %zu\r\n\r\n", fields,
	    keep ? "" : "Connection: close\r\n", strlen(body));
	if (c->reader.head == NULL || c->reader.head->method == NULL ||
	    strcmp(c->reader.head->method, "HEAD") != 0)
		caller_write_text(c, body);
	caller_finish_answer(c, now, keep);
}

/* The caller's host has confirmed all answers. */
static bool
caller_has_delivered(const struct caller *c)
{
	int unconfirmed = 0;

	return buffer_length(&c->out) == 0 &&
	       ioctl(c->io.fd, SIOCOUTQ, &unconfirmed) == 0 && unconfirmed == 0;
}

void
caller_close_idle(struct entry *e)
{
	struct caller *c, *next;

	TAILQ_FOREACH_SAFE (c, &e->callers, entry, next) {
		if (c->busy || c->closing || !c->delays_stop ||
		    !http_reader_is_idle(&c->reader) || caller_has_unread(c))
			continue;
		/*
		 * A first request may be on its way. It would be read and
		 * discarded after the close, and the caller get no answer.
		 */
		if (c->served == 0 &&
		    e->loop.now - c->accepted < CALLER_IDLE_CLOSE_MIN_AGE_MS)
			continue;
		/*
		 * With nothing left to deliver, close at once: a request that
		 * crosses the close is reset, which tells the caller that
		 * nobody has read it.
		 */
		if (caller_has_delivered(c))
			caller_free(c);
	}
}
