/*
 * HTTP server for callers, the tool and peers: libmicrohttpd's callbacks. A
 * request is read whole, checked and prepared in the caller thread, then handed
 * to the core while its connection is suspended.
 */

#define LOG_PART "caller"
#include "daemon.h"
#include "daemon-route.h"

#include <sys/socket.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CALLER_IDLE_S 30
/*
 * Bytes of an answer that the kernel takes before its caller's side has room
 * for them. With megabytes, a caller who reads slowly lets nothing be written
 * for longer than CALLER_IDLE_S, and its connection counts as idle.
 */
#define CALLER_UNSENT_BYTES (64 * 1024)
#define CALLER_MEMORY (32 * 1024)
#define CALLER_BLOCK (16 * 1024)
#define CALLER_BACKLOG 1024
#define CALLER_BODY_SMALL (16 * 1024)
#define CONTROL_CONNECTIONS 256

static enum MHD_Result caller_handle(void *, struct MHD_Connection *,
    const char *, const char *, const char *, const char *, size_t *, void **);
static enum MHD_Result caller_respond(struct call *);
static void caller_completed(
    void *, struct MHD_Connection *, void **, enum MHD_RequestTerminationCode);

/* ---- the answer's head ---- */

static ssize_t
caller_read(void *arg, uint64_t pos, char *buf, size_t size)
{
	return answer_read(arg, buf, size);
}

static void
caller_read_done(void *arg)
{
	call_drop(arg);
}

/* With the answer's lock held. */
static void
caller_headers(struct call *c, struct MHD_Response *resp)
{
	struct answer *a = &c->answer;
	g_autofree char *after = NULL;

	MHD_add_response_header(
	    resp, MHD_HTTP_HEADER_CONTENT_TYPE, a->content_type);
	if (c->kind == CALL_REQUEST) {
		MHD_add_response_header(resp, "Savorypier-Request", c->id);
		/* The outcome of a stream follows in a trailer. */
		if (a->ended && !a->broken)
			MHD_add_response_header(resp, "Savorypier-Outcome",
			    request_outcome_name(a->outcome));
		else
			MHD_add_response_header(resp, MHD_HTTP_HEADER_TRAILER,
			    "Savorypier-Outcome");
	}
	if (a->retry_after > 0) {
		after = g_strdup_printf("%" G_GINT64_FORMAT,
		    (a->retry_after + MSEC_SECOND - 1) / MSEC_SECOND);
		MHD_add_response_header(
		    resp, MHD_HTTP_HEADER_RETRY_AFTER, after);
	}
	if (a->alternates[0] != '\0')
		MHD_add_response_header(
		    resp, "Savorypier-Alternates", a->alternates);
	if (a->close ||
	    g_atomic_int_get((gint *)&c->daemon->state) == DAEMON_LEAVING)
		MHD_add_response_header(
		    resp, MHD_HTTP_HEADER_CONNECTION, "close");
}

static enum MHD_Result
caller_respond(struct call *c)
{
	struct answer *a = &c->answer;
	struct MHD_Response *resp;
	enum MHD_Result ok;
	uint64_t size = MHD_SIZE_UNKNOWN;
	unsigned int status;

	pthread_mutex_lock(&a->lock);
	if (a->ended && !a->broken)
		size = a->len - a->at;
	resp = MHD_create_response_from_callback(
	    size, CALLER_BLOCK, caller_read, call_take(c), caller_read_done);
	caller_headers(c, resp);
	a->response = resp;
	status = a->status != 0 ? a->status : 502;
	pthread_mutex_unlock(&a->lock);
	ok = MHD_queue_response(a->connection, status, resp);
	MHD_destroy_response(resp);
	return ok;
}

/* ---- the request ---- */

/* Bytes that bodies may hold together; small ones find room beside large ones.
 */
static size_t
caller_bodies_max(const struct daemon *d, size_t size)
{
	return settings_memory(&d->settings,
	    size <= CALLER_BODY_SMALL ? SETTINGS_BODIES_PERCENT
				      : SETTINGS_LARGE_BODIES_PERCENT);
}

/* Grows the body's memory; false when all bodies hold too much. */
static bool
caller_reserve(struct call *c, size_t size)
{
	struct daemon *d = c->daemon;
	gsize more = size - c->body_size;

	if ((gsize)g_atomic_pointer_add(&d->body_bytes, more) + more >
	    caller_bodies_max(d, size)) {
		g_atomic_pointer_add(&d->body_bytes, -(gssize)more);
		return false;
	}
	c->body = g_realloc(c->body, size);
	c->body_size = size;
	return true;
}

/* The rest is read and dropped, so that the caller reads the answer. */
static void
caller_drop_body(struct call *c)
{
	call_free_body(c);
	c->body_dropped = true;
}

static void
caller_body(struct call *c, const char *data, size_t n)
{
	size_t max = c->daemon->settings.max_body_bytes;
	size_t need = c->body_len + n + 1;

	if (c->body_dropped)
		return;

	if (c->body_too_large || c->body_len + n > max) {
		/* The rest is read and dropped, so that the caller reads the
		 * answer. */
		call_free_body(c);
		c->body_too_large = true;
		return;
	}
	if (need > c->body_size &&
	    !caller_reserve(c, MAX(need, MIN(c->body_size * 2, max + 1)))) {
		caller_drop_body(c);
		return;
	}
	memcpy(c->body + c->body_len, data, n);
	c->body_len += n;
	c->body[c->body_len] = '\0';
}

static struct call *
caller_begin(struct daemon *d, struct MHD_Connection *connection,
    const char *url, const char *method)
{
	struct call *c = call_new(d, connection);

	c->method = g_strdup(method);
	c->path = g_strdup(url);
	g_atomic_int_inc(&d->unsent);
	return c;
}

/* Hands the call to the core; its connection is suspended. */
static enum MHD_Result
caller_submit(struct call *c)
{
	struct event e = { .kind = EVENT_CALL, .call = c };

	if (c->kind == CALL_REQUEST)
		daemon_watch_begin(c);
	event_post(c->daemon, &e);
	if (answer_wait(&c->answer))
		return caller_respond(c);
	return MHD_YES;
}

static enum MHD_Result
caller_handle(void *arg, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **state)
{
	const struct listener *l = arg;
	struct call *c = *state;

	if (c == NULL) {
		*state = caller_begin(l->daemon, connection, url, method);
		return MHD_YES;
	}
	if (*size != 0) {
		caller_body(c, data, *size);
		*size = 0;
		return MHD_YES;
	}
	if (!c->body_read) {
		c->body_read = true;
		c->arrived = msec_now();
		if (!route_prepare(l, c, connection))
			return caller_respond(c);
		return caller_submit(c);
	}
	/* Resumed: send the head, or wait on if it is not ready. */
	if (!answer_wait(&c->answer))
		return MHD_YES;
	return caller_respond(c);
}

static void
caller_completed(void *arg, struct MHD_Connection *connection, void **state,
    enum MHD_RequestTerminationCode why)
{
	struct call *c = *state;
	struct event e = { .kind = EVENT_CALL_GONE, .call = c };
	struct daemon *d;
	bool whole;

	if (c == NULL)
		return;
	d = c->daemon;
	daemon_watch_end(c);
	pthread_mutex_lock(&c->answer.lock);
	whole = c->answer.ended;
	c->answer.caller_left = !whole;
	c->answer.suspended = false;
	c->answer.connection = NULL;
	pthread_mutex_unlock(&c->answer.lock);
	if (!whole && c->body_read)
		event_post(d, &e);
	*state = NULL;
	call_drop(c);
	(void)g_atomic_int_dec_and_test(&d->unsent);
}

/* ---- start and stop ---- */

static void
caller_address(struct sockaddr_in *sin, const struct endpoint *at)
{
	*sin = (struct sockaddr_in){ .sin_family = AF_INET };
	sin->sin_port = htons(at->port);
	sin->sin_addr.s_addr = htonl(at->address);
}

static void
caller_connection_changed(void *arg, struct MHD_Connection *connection,
    void **context, enum MHD_ConnectionNotificationCode code)
{
	const union MHD_ConnectionInfo *info;
	int most = CALLER_UNSENT_BYTES;

	if (code != MHD_CONNECTION_NOTIFY_STARTED)
		return;
	info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	if (info != NULL && setsockopt(info->connect_fd, IPPROTO_TCP,
				TCP_NOTSENT_LOWAT, &most, sizeof most) == -1)
		log_debug("no limit of unsent bytes: %s", g_strerror(errno));
}

static struct MHD_Daemon *
caller_start(struct listener *l, const struct endpoint *at,
    unsigned int threads, unsigned int connections)
{
	struct MHD_OptionItem more[4] = { { MHD_OPTION_END, 0, NULL } };
	unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD |
			     MHD_ALLOW_SUSPEND_RESUME,
		     n = 0;
	struct sockaddr_in sin;

	caller_address(&sin, at);
	if (threads > 1)
		more[n++] =
		    (struct MHD_OptionItem){ MHD_OPTION_THREAD_POOL_SIZE,
			    threads, NULL };
	if (l->certificate != NULL) {
		flags |= MHD_USE_TLS;
		more[n++] = (struct MHD_OptionItem){ MHD_OPTION_HTTPS_MEM_CERT,
			0, l->certificate };
		more[n++] = (struct MHD_OptionItem){ MHD_OPTION_HTTPS_MEM_KEY,
			0, l->key };
	}
	more[n] = (struct MHD_OptionItem){ MHD_OPTION_END, 0, NULL };
	return MHD_start_daemon(flags, at->port, NULL, NULL, caller_handle, l,
	    MHD_OPTION_SOCK_ADDR, &sin, MHD_OPTION_CONNECTION_LIMIT,
	    connections, MHD_OPTION_CONNECTION_TIMEOUT, CALLER_IDLE_S,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CALLER_MEMORY,
	    MHD_OPTION_LISTEN_BACKLOG_SIZE, CALLER_BACKLOG,
	    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, MHD_OPTION_NOTIFY_COMPLETED,
	    caller_completed, NULL, MHD_OPTION_NOTIFY_CONNECTION,
	    caller_connection_changed, NULL, MHD_OPTION_ARRAY, more,
	    MHD_OPTION_END);
}

static bool
caller_read_tls(struct daemon *d, struct listener *l)
{
	g_autoptr(GError) error = NULL;

	if (d->settings.tls_certificate == NULL)
		return true;
	if (!g_file_get_contents(
		d->settings.tls_certificate, &l->certificate, NULL, &error) ||
	    !g_file_get_contents(d->settings.tls_key, &l->key, NULL, &error)) {
		log_warn("%s", error->message);
		return false;
	}
	return true;
}

bool
daemon_http_start(struct daemon *d)
{
	d->caller_listener = (struct listener){ .daemon = d };
	d->control_listener =
	    (struct listener){ .daemon = d, .is_control = true };
	if (!caller_read_tls(d, &d->caller_listener))
		return false;
	d->control_http = caller_start(
	    &d->control_listener, &d->settings.control, 1, CONTROL_CONNECTIONS);
	d->caller_http = caller_start(&d->caller_listener, &d->settings.caller,
	    d->settings.caller_threads, d->settings.max_connections);
	if (d->control_http == NULL || d->caller_http == NULL) {
		log_warn("cannot listen on an HTTP address");
		return false;
	}
	return true;
}

static int
caller_listen_fd(struct daemon *d)
{
	const union MHD_DaemonInfo *info;

	info = MHD_get_daemon_info(d->caller_http, MHD_DAEMON_INFO_LISTEN_FD);
	return info != NULL && info->listen_fd != MHD_INVALID_SOCKET
		   ? info->listen_fd
		   : -1;
}

/*
 * Stops accepting connections: the kernel refuses new ones, which proves to the
 * caller that nothing ran.
 *
 * MHD_quiesce_daemon() is not used: it and a busy worker both remove the socket
 * from the worker's epoll set, and the second removal aborts the process. The
 * socket is shut down instead. Workers then see it as always ready, so this is
 * called just before the end.
 */
void
daemon_http_quiesce(struct daemon *d)
{
	int fd = caller_listen_fd(d);

	if (fd != -1)
		shutdown(fd, SHUT_RD);
}

bool
daemon_http_has_waiting(struct daemon *d)
{
	struct pollfd p = { caller_listen_fd(d), POLLIN, 0 };

	return p.fd != -1 && poll(&p, 1, 0) == 1;
}

unsigned int
daemon_http_connections(struct daemon *d)
{
	const union MHD_DaemonInfo *info;

	info = MHD_get_daemon_info(
	    d->caller_http, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
	return info != NULL ? info->num_connections : 0;
}

void
daemon_http_stop(struct daemon *d)
{
	if (d->caller_http != NULL)
		MHD_stop_daemon(d->caller_http);
	if (d->control_http != NULL)
		MHD_stop_daemon(d->control_http);
	g_free(d->caller_listener.certificate);
	g_free(d->caller_listener.key);
}
