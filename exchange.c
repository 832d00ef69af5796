/*
 * An HTTP client on one persistent connection; see exchange.h.
 */

#define LOG_PART "exchange"
#include "exchange.h"
#include "tcp-options.h"

#include <sys/socket.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <errno.h>
#include <string.h>

#define EXCHANGE_HEAD_MAX 16384
#define EXCHANGE_BODY_MAX ((uint64_t)8 * 1024 * 1024)
#define EXCHANGE_READ_BYTES 32768
/* The path counts as lost when sent bytes stay unacknowledged for so long. */
#define EXCHANGE_ACK_TIMEOUT_MS 1500
/* Idle time of a connection before its peer is probed, in s. */
#define EXCHANGE_KEEPALIVE_S 1

static void exchange_ready(struct loop_io *, uint32_t);
static void exchange_timer(struct loop_timer *, msec);

static void
exchange_body(struct http_reader *r, const char *bytes, size_t n)
{
	struct exchange *x = r->arg;

	buffer_add(&x->body, bytes, n);
}

void
exchange_init(struct exchange *x, struct loop *l, uint32_t address,
    uint16_t port, exchange_done done, void *arg)
{
	*x = (struct exchange){ .io = { exchange_ready, -1, 0 },
		.loop = l,
		.address = address,
		.port = port,
		.done = done,
		.arg = arg };
	http_reader_init(&x->reader, false, EXCHANGE_HEAD_MAX,
	    EXCHANGE_BODY_MAX, exchange_body, x);
	loop_timer_init(&x->timer, exchange_timer, x);
}

/*
 * Guards against a call that was given up and is executed after a newer one:
 * this host would go on sending what the peer's has not acknowledged.
 */
static void
exchange_give_up(struct exchange *x)
{
	if (x->busy && x->io.fd != -1 && tcp_unacknowledged(x->io.fd) != 0)
		tcp_set_reset(x->io.fd);
	loop_close(x->loop, &x->io);
}

void
exchange_finish(struct exchange *x)
{
	loop_timer_stop(x->loop, &x->timer);
	exchange_give_up(x);
	http_reader_finish(&x->reader);
	buffer_finish(&x->request);
	buffer_finish(&x->body);
}

static bool
exchange_connect(struct exchange *x)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int fd;

	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd == -1)
		return false;
	tcp_set_options(fd, EXCHANGE_KEEPALIVE_S, EXCHANGE_ACK_TIMEOUT_MS);
	sin.sin_addr.s_addr = htonl(x->address);
	sin.sin_port = htons(x->port);
	x->io.fd = fd;
	x->io.events = 0;
	x->connecting = true;
	x->reused = false;
	if (connect(fd, (struct sockaddr *)&sin, sizeof sin) == -1 &&
	    errno != EINPROGRESS) {
		loop_close(x->loop, &x->io);
		return false;
	}
	return loop_watch(x->loop, &x->io, EPOLLOUT);
}

static void
exchange_copy_field(struct exchange *x, unsigned int status)
{
	const char *value = NULL;

	if (status != 0 && x->field != NULL &&
	    http_head_count(x->reader.head, x->field) == 1)
		value = http_head_get(x->reader.head, x->field);
	g_strlcpy(x->value, value != NULL ? value : "", sizeof x->value);
}

/* End the request; the connection is kept only after a complete response. */
static void
exchange_end(struct exchange *x, unsigned int status, msec now)
{
	bool keep = status != 0 && x->reader.head->keep_alive &&
		    !x->reader.head->until_close;

	loop_timer_stop(x->loop, &x->timer);
	buffer_finish(&x->request);
	exchange_copy_field(x, status);
	http_reader_reset(&x->reader);
	if (!keep)
		loop_close(x->loop, &x->io);
	x->busy = false;
	x->done(x, status, now);
	if (!x->busy)
		buffer_finish(&x->body);
}

static void
exchange_fail(struct exchange *x, msec now)
{
	bool again = x->may_repeat && x->reused &&
		     http_reader_is_idle(&x->reader) && x->body.len == 0;

	exchange_give_up(x);
	http_reader_reset(&x->reader);
	x->may_repeat = false;
	if (again) {
		x->written = 0;
		if (exchange_connect(x))
			return;
	}
	exchange_end(x, 0, now);
}

static void
exchange_write(struct exchange *x, msec now)
{
	const char *bytes = buffer_bytes(&x->request);
	size_t n = buffer_length(&x->request);
	ssize_t wrote;

	if (x->written == 0 && x->sending != NULL &&
	    !x->sending(x, msec_now())) {
		x->may_repeat = false;
		exchange_fail(x, now);
		return;
	}
	while (x->written < n) {
		wrote = send(
		    x->io.fd, bytes + x->written, n - x->written, MSG_NOSIGNAL);
		if (wrote == -1 && errno == EINTR)
			continue;
		if (wrote == -1 && errno == EAGAIN)
			break;
		if (wrote <= 0) {
			exchange_fail(x, now);
			return;
		}
		x->written += (size_t)wrote;
	}
	loop_watch(x->loop, &x->io,
	    EPOLLIN | (x->written < n ? (uint32_t)EPOLLOUT : 0));
}

void
exchange_call(struct exchange *x, const char *method, const char *target,
    const void *body, size_t n, msec timeout)
{
	exchange_call_fields(x, method, target,
	    n > 0 ? "Content-Type: application/octet-stream\r\n" : "", body, n,
	    timeout);
}

void
exchange_call_fields(struct exchange *x, const char *method, const char *target,
    const char *fields, const void *body, size_t n, msec timeout)
{
	struct in_addr in = { htonl(x->address) };
	char host[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &in, host, sizeof host);
	buffer_finish(&x->body);
	buffer_printf(&x->request, "%s %s HTTP/1.1\r\nHost: %s:%u\r\n%s",
	    method, target, host, x->port, fields);
	if (n > 0)
		buffer_printf(&x->request, "Content-Length: %zu\r\n", n);
	buffer_add_text(&x->request, "\r\n");
	buffer_add(&x->request, body, n);
	x->busy = true;
	x->may_repeat = strcmp(method, "GET") == 0;
	x->written = 0;
	x->asked = msec_now();
	loop_timer_set(x->loop, &x->timer, x->asked + timeout);
	if (x->io.fd != -1) {
		x->reused = true;
		/* epoll reports at once that the socket is writable. */
		loop_watch(x->loop, &x->io, EPOLLIN | EPOLLOUT);
		return;
	}
	/* A failure is reported by the timer, never from within this call. */
	if (!exchange_connect(x))
		loop_timer_set(x->loop, &x->timer, x->asked);
}

static void
exchange_read(struct exchange *x, msec now)
{
	char bytes[EXCHANGE_READ_BYTES];
	size_t at = 0, took;
	ssize_t n;

	n = recv(x->io.fd, bytes, sizeof bytes, 0);
	if (n == -1 && (errno == EAGAIN || errno == EINTR))
		return;
	if (!x->busy || n == -1) {
		/* While idle: the peer closed it or sent unrequested bytes. */
		if (x->busy)
			exchange_fail(x, now);
		else
			loop_close(x->loop, &x->io);
		return;
	}
	if (n == 0) {
		http_reader_close(&x->reader);
		if (x->reader.stage == HTTP_STAGE_COMPLETE)
			exchange_end(x, x->reader.head->status, now);
		else
			exchange_fail(x, now);
		return;
	}
	while (at < (size_t)n && x->reader.stage < HTTP_STAGE_COMPLETE) {
		took =
		    http_reader_parse(&x->reader, bytes + at, (size_t)n - at);
		at += took;
	}
	if (x->reader.stage == HTTP_STAGE_FAILED || at < (size_t)n)
		exchange_fail(x, now);
	else if (x->reader.stage == HTTP_STAGE_COMPLETE)
		exchange_end(x, x->reader.head->status, now);
}

static void
exchange_ready(struct loop_io *io, uint32_t events)
{
	struct exchange *x = (struct exchange *)io;
	msec now = x->loop->now;
	int error = 0;
	socklen_t len = sizeof error;

	if (x->connecting) {
		if (getsockopt(io->fd, SOL_SOCKET, SO_ERROR, &error, &len) ==
			-1 ||
		    error != 0) {
			exchange_fail(x, now);
			return;
		}
		x->connecting = false;
	}
	if (events & (EPOLLIN | EPOLLERR | EPOLLHUP)) {
		exchange_read(x, now);
		return;
	}
	if (x->busy)
		exchange_write(x, now);
}

static void
exchange_timer(struct loop_timer *t, msec now)
{
	struct exchange *x = t->arg;

	x->may_repeat = false;
	exchange_fail(x, now);
}
