/*
 * Engine threads: each runs attempts on backend servers with libcurl's event
 * interface on its own epoll loop, and appends the received bytes to the calls'
 * answers. Commands come from the core and from caller threads.
 */

#define LOG_PART "engine"
#include "daemon.h"
#include "http-message.h"
#include "tcp-options.h"

#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <netinet/in.h>

#include <linux/sockios.h>

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ENGINE_EVENTS 256
#define ENGINE_CONNECT_TIMEOUT_MS 2000L
/* A backend server that sends nothing for this time has failed. */
#define ENGINE_SILENCE_S 60L
#define ENGINE_HOSTS_MAX 4096L

enum command_kind {
	COMMAND_START,
	COMMAND_CANCEL,
	COMMAND_UNPAUSE,
	COMMAND_QUIT
};

struct command {
	enum command_kind kind;
	struct call *call; /* holds a reference */
	unsigned int attempt;
	uint32_t address;
	uint16_t port;
	unsigned int tier;
	unsigned int resume_at;
};

/* One attempt of a call on a backend server. */
struct attempt {
	TAILQ_ENTRY(attempt) entry;
	struct engine_thread *thread;
	struct call *call;
	unsigned int number;
	unsigned int resume_at;
	CURL *easy;
	struct curl_slist *headers;
	struct sse sse;
	char echo[DAEMON_ID_SIZE]; /* the X-Request-Id that the server returned
				    */
	char content_type[128];
	char outcome[16]; /* Savorypier-Outcome of the node forwarded to */
	long status;
	bool head_whole;  /* the final headers are complete */
	bool is_framed;	  /* they say where the body ends */
	bool unconfirmed; /* as it was closed, not all sent had arrived */
	bool is_stream;
	bool passed; /* EVENT_FIRST has been posted */
	bool cancelled;
	bool paused;
};
TAILQ_HEAD(attempt_list, attempt);

struct engine_thread {
	struct daemon *daemon;
	pthread_t thread;
	struct ring commands;
	CURLM *multi;
	int epoll_fd;
	msec timeout_at;
	struct attempt_list attempts;
	bool quit;
};

static void attempt_end_with(struct attempt *, CURLcode);
static bool attempt_ready(struct attempt *);

/* ---- libcurl's callbacks ---- */

static int
engine_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *known)
{
	struct engine_thread *t = arg;
	struct epoll_event ev = { 0 };

	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(t->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	ev.data.fd = fd;
	if (what & CURL_POLL_IN)
		ev.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		ev.events |= EPOLLOUT;
	if (known == NULL) {
		curl_multi_assign(t->multi, fd, t);
		if (epoll_ctl(t->epoll_fd, EPOLL_CTL_ADD, fd, &ev) == 0)
			return 0;
	}
	epoll_ctl(t->epoll_fd, EPOLL_CTL_MOD, fd, &ev);
	return 0;
}

static int
engine_timer(CURLM *multi, long ms, void *arg)
{
	struct engine_thread *t = arg;

	t->timeout_at = ms < 0 ? MSEC_NEVER : msec_now() + ms;
	return 0;
}

/* libcurl names no socket while a transfer runs, but its local port. */
static bool
attempt_has_port(const struct attempt *a, long port)
{
	long own = 0;

	curl_easy_getinfo(a->easy, CURLINFO_LOCAL_PORT, &own);
	return own == port;
}

/* Keeps of the attempt what only its open socket tells. */
static int
engine_close_socket(void *arg, curl_socket_t fd)
{
	struct engine_thread *t = arg;
	struct sockaddr_in sin = { 0 };
	socklen_t len = sizeof sin;
	struct attempt *a;
	int unsent = 0;
	bool confirmed;

	confirmed = ioctl(fd, SIOCOUTQ, &unsent) == 0 && unsent == 0;
	if (!confirmed && getsockname(fd, (struct sockaddr *)&sin, &len) == 0) {
		TAILQ_FOREACH (a, &t->attempts, entry) {
			if (!attempt_has_port(a, ntohs(sin.sin_port)))
				continue;
			a->unconfirmed = true;
			/* This host would go on sending what is given up. */
			if (a->cancelled || !a->head_whole)
				tcp_set_reset(fd);
		}
	}
	return close(fd);
}

/* The attempt runs on a model engine: not on a plain service or another node.
 */
static bool
attempt_is_engine(const struct attempt *a)
{
	return !a->call->plain && a->call->forward_to == 0;
}

static bool
header_begins(const char *p, size_t n, const char *name)
{
	size_t len = strlen(name);

	return n > len && g_ascii_strncasecmp(p, name, len) == 0;
}

static bool
header_match(const char *p, size_t n, const char *name, char *out, size_t size)
{
	size_t len = strlen(name);

	if (!header_begins(p, n, name))
		return false;
	p += len;
	n -= len;
	while (n > 0 && (*p == ' ' || *p == '\t')) {
		p++;
		n--;
	}
	while (n > 0 && (p[n - 1] == '\r' || p[n - 1] == '\n'))
		n--;
	n = MIN(n, size - 1);
	memcpy(out, p, n);
	out[n] = '\0';
	return true;
}

/* libcurl hands on answers whose status is none. */
static bool
attempt_status(const char *p, size_t n)
{
	unsigned int status;

	while (n > 0 && (p[n - 1] == '\r' || p[n - 1] == '\n'))
		n--;
	return http_status_parse(p, n, &status);
}

static size_t
attempt_header(char *p, size_t size, size_t n, void *arg)
{
	struct attempt *a = arg;

	n *= size;
	if (n > 5 && strncmp(p, "HTTP/", 5) == 0 && !attempt_status(p, n))
		return 0;
	/* Interim answers (1xx) have headers too; trailers may follow the
	 * final ones. */
	if (n > 5 && strncmp(p, "HTTP/", 5) == 0)
		a->head_whole = a->is_framed = false;
	else if (n <= 2 && (n == 0 || p[0] == '\r' || p[0] == '\n'))
		a->head_whole = true;
	a->is_framed |= header_begins(p, n, "Content-Length:") ||
			header_begins(p, n, "Transfer-Encoding:");
	if (header_match(p, n, "X-Request-Id:", a->echo, sizeof a->echo))
		return n;
	if (a->call->forward_to != 0 &&
	    header_match(
		p, n, "Savorypier-Outcome:", a->outcome, sizeof a->outcome))
		return n;
	header_match(
	    p, n, "Content-Type:", a->content_type, sizeof a->content_type);
	return n;
}

/*
 * Reads the status and headers once the first byte of the body arrives. False
 * when the answer is not for this attempt or the attempt is abandoned.
 */
static bool
attempt_ready(struct attempt *a)
{
	struct call *c = a->call;

	if (a->status != 0)
		return true;
	curl_easy_getinfo(a->easy, CURLINFO_RESPONSE_CODE, &a->status);
	/*
	 * An engine that mixes up two connections would send one caller the
	 * text of another. If the returned id is not this call's, the attempt
	 * counts as broken.
	 */
	if (!c->plain && c->forward_to == 0 && a->echo[0] != '\0' &&
	    strcmp(a->echo, c->id) != 0) {
		log_warn_of(LOG_REQUEST, a->call->id,
		    "answer with the id %s received for request %s", a->echo,
		    c->id);
		return false;
	}
	a->is_stream = strncmp(a->content_type, "text/event-stream", 17) == 0;
	if (attempt_is_engine(a) && a->status >= 500)
		return true; /* not sent to the caller; see
				attempt_classify_end() */
	return answer_head(&c->answer, a->number, (unsigned int)a->status,
	    a->content_type[0] != '\0' ? a->content_type
				       : "application/octet-stream");
}

static void
attempt_first(struct attempt *a)
{
	struct event e = { .kind = EVENT_FIRST,
		.call = a->call,
		.attempt = a->number,
		.at = msec_now() };

	if (a->passed)
		return;
	a->passed = true;
	event_post(a->thread->daemon, &e);
}

/* Appends one or more complete server-sent events to the answer. */
static void
attempt_events(void *arg, const char *p, size_t n, unsigned int tokens)
{
	struct attempt *a = arg;

	if (a->sse.tokens != 0 || a->sse.done)
		attempt_first(a);
	answer_put(&a->call->answer, a->number, p, n, true);
}

static size_t
attempt_body(char *p, size_t size, size_t n, void *arg)
{
	struct attempt *a = arg;
	enum answer_put put;

	n *= size;
	if (!attempt_ready(a))
		return 0;
	if (attempt_is_engine(a) && a->status >= 500)
		return n;
	put = answer_check_room(&a->call->answer, a->number, a->sse.rest_len);
	if (put == ANSWER_PAUSE) {
		a->paused = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	if (put == ANSWER_DROP)
		return 0;
	if (a->is_stream)
		return sse_feed(&a->sse, p, n, attempt_events, a) ? n : 0;
	attempt_first(a);
	answer_put(&a->call->answer, a->number, p, n, false);
	return n;
}

/* ---- attempts ---- */

static void attempt_add_header(struct attempt *a, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
attempt_add_header(struct attempt *a, const char *fmt, ...)
{
	g_autofree char *line = NULL;
	va_list ap;

	va_start(ap, fmt);
	line = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	a->headers = curl_slist_append(a->headers, line);
}

/* Adds the headers that the node forwarded to needs. */
static void
attempt_forward_headers(struct attempt *a)
{
	struct call *c = a->call;
	msec left = c->slot.deadline - msec_now();

	if (c->ticket != NULL)
		attempt_add_header(a, "Savorypier-Ticket: %s", c->ticket);
	if (c->key != NULL)
		attempt_add_header(a, "Idempotency-Key: %s", c->key);
	attempt_add_header(a, "Savorypier-Service: %s", c->doc->doc.service);
	attempt_add_header(a, "Savorypier-Class: %s",
	    c->doc->doc.classes[c->class_index].name);
	attempt_add_header(
	    a, "Savorypier-Repeatable: %s", c->repeatable ? "yes" : "no");
	if (c->slot.deadline != MSEC_NEVER)
		attempt_add_header(a,
		    "Savorypier-Deadline-Ms: %" G_GINT64_FORMAT, MAX(left, 1));
	attempt_add_header(a, "Authorization: %s", c->authorization);
}

static void
attempt_set_headers(struct attempt *a, const struct command *cmd)
{
	struct call *c = a->call;
	struct call_header *h;

	if (c->forward_to != 0)
		attempt_forward_headers(a);
	attempt_add_header(a, "X-Request-Id: %s", c->id);
	attempt_add_header(a, "X-Attempt: %u", a->number);
	attempt_add_header(a, "X-Priority: %u", cmd->tier);
	if (cmd->resume_at != 0)
		attempt_add_header(a, "X-Resume-At: %u", cmd->resume_at);
	if (c->content_type != NULL)
		attempt_add_header(a, "Content-Type: %s", c->content_type);
	STAILQ_FOREACH (h, &c->headers, entry)
		a->headers = curl_slist_append(a->headers, h->line);
	/* Suppresses "Expect: 100-continue": no round trip or time-out. */
	a->headers = curl_slist_append(a->headers, "Expect:");
}

static void
attempt_set_options(struct attempt *a, const struct command *cmd)
{
	struct call *c = a->call;
	char url[ENDPOINT_SIZE];
	g_autofree char *full = NULL;

	endpoint_text(url, cmd->address, cmd->port);
	full = g_strdup_printf(
	    "http://%s%s", url, c->forward_to != 0 ? c->path : c->backend_path);
	curl_easy_setopt(a->easy, CURLOPT_URL, full);
	curl_easy_setopt(a->easy, CURLOPT_PRIVATE, a);
	curl_easy_setopt(a->easy, CURLOPT_HTTPHEADER, a->headers);
	curl_easy_setopt(a->easy, CURLOPT_CUSTOMREQUEST, c->method);
	if (c->body_len != 0 || strcmp(c->method, "POST") == 0) {
		curl_easy_setopt(a->easy, CURLOPT_POSTFIELDS,
		    c->body != NULL ? c->body : "");
		curl_easy_setopt(a->easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)c->body_len);
	}
	if (strcmp(c->method, "HEAD") == 0)
		curl_easy_setopt(a->easy, CURLOPT_NOBODY, 1L);
	curl_easy_setopt(a->easy, CURLOPT_HEADERFUNCTION, attempt_header);
	curl_easy_setopt(a->easy, CURLOPT_HEADERDATA, a);
	curl_easy_setopt(a->easy, CURLOPT_WRITEFUNCTION, attempt_body);
	curl_easy_setopt(a->easy, CURLOPT_WRITEDATA, a);
	curl_easy_setopt(
	    a->easy, CURLOPT_CLOSESOCKETFUNCTION, engine_close_socket);
	curl_easy_setopt(a->easy, CURLOPT_CLOSESOCKETDATA, a->thread);
	curl_easy_setopt(a->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(a->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(a->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(a->easy, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(
	    a->easy, CURLOPT_CONNECTTIMEOUT_MS, ENGINE_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(a->easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
	curl_easy_setopt(a->easy, CURLOPT_LOW_SPEED_TIME, ENGINE_SILENCE_S);
	/*
	 * libcurl repeats a request when a reused connection turns out to be
	 * closed, though the server may have read the first copy: the request
	 * would run twice. A request that must not be repeated gets a new
	 * connection, which is not reused.
	 */
	if (!c->repeatable) {
		curl_easy_setopt(a->easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(a->easy, CURLOPT_FORBID_REUSE, 1L);
	}
}

static void
attempt_begin(struct engine_thread *t, const struct command *cmd)
{
	struct attempt *a = g_new0(struct attempt, 1);

	a->thread = t;
	a->call = call_take(cmd->call);
	a->number = cmd->attempt;
	a->resume_at = cmd->resume_at;
	sse_init(&a->sse);
	a->easy = curl_easy_init();
	attempt_set_headers(a, cmd);
	attempt_set_options(a, cmd);
	TAILQ_INSERT_TAIL(&t->attempts, a, entry);
	curl_multi_add_handle(t->multi, a->easy);
}

/*
 * Guards against a part of a success that is passed on as whole: nothing but
 * the end of the connection ends it, and a server that has not taken the whole
 * request may go on to reset the connection.
 */
static bool
attempt_end_is_doubtful(const struct attempt *a)
{
	curl_off_t sent = 0;

	if (a->is_framed || a->status >= 300 || a->status == 204 ||
	    strcmp(a->call->method, "HEAD") == 0)
		return false;
	curl_easy_getinfo(a->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
	return a->unconfirmed || sent < (curl_off_t)a->call->body_len;
}

/* Classifies the end of the attempt by the result of the transfer. */
static enum attempt_end
attempt_classify_end(const struct attempt *a, CURLcode rc)
{
	long connects = 0;

	if (rc == CURLE_COULDNT_CONNECT) {
		/* No connection was made: nothing was sent. */
		return ATTEMPT_UNSENT;
	}
	if (rc == CURLE_OPERATION_TIMEDOUT) {
		curl_off_t t = 0;

		curl_easy_getinfo(a->easy, CURLINFO_CONNECT_TIME_T, &t);
		curl_easy_getinfo(a->easy, CURLINFO_NUM_CONNECTS, &connects);
		return t == 0 && connects != 0 ? ATTEMPT_UNSENT
					       : ATTEMPT_BROKEN;
	}
	if (a->is_stream && a->sse.done && !a->sse.malformed)
		return ATTEMPT_WHOLE;
	if (rc != CURLE_OK || a->cancelled)
		return ATTEMPT_BROKEN;
	/*
	 * If the connection closes within the headers, libcurl reports a
	 * complete answer without a body; it must not be taken as whole.
	 */
	if (!a->head_whole || attempt_end_is_doubtful(a))
		return ATTEMPT_BROKEN;
	if (attempt_is_engine(a) && (a->status == 503 || a->status == 404))
		return ATTEMPT_REJECTED;
	if (attempt_is_engine(a) && a->status >= 500)
		return ATTEMPT_BROKEN;
	/* A stream without its end mark is incomplete. */
	return a->is_stream ? ATTEMPT_BROKEN : ATTEMPT_WHOLE;
}

static void
attempt_end_with(struct attempt *a, CURLcode rc)
{
	struct engine_thread *t = a->thread;
	struct event e = { .kind = EVENT_ENDED,
		.call = a->call,
		.attempt = a->number,
		.at = msec_now() };

	if (rc == CURLE_OK && a->status == 0)
		attempt_ready(a);
	e.end = attempt_classify_end(a, rc);
	if (a->outcome[0] != '\0')
		e.forwarded = strcmp(a->outcome, "ran") == 0 ? REQUEST_RAN
			      : strcmp(a->outcome, "not-run") == 0
				  ? REQUEST_NOT_RUN
				  : REQUEST_UNKNOWN;
	else
		e.forwarded = REQUEST_UNKNOWN;
	e.tokens = a->resume_at + a->sse.tokens;
	log_debug_of(LOG_REQUEST, a->call->id,
	    "%s attempt %u: curl %d, status %ld, end %d, %u tokens",
	    a->call->id, a->number, rc, a->status, e.end, e.tokens);
	event_post(t->daemon, &e);
	curl_multi_remove_handle(t->multi, a->easy);
	curl_easy_cleanup(a->easy);
	curl_slist_free_all(a->headers);
	sse_finish(&a->sse);
	TAILQ_REMOVE(&t->attempts, a, entry);
	call_drop(a->call);
	g_free(a);
}

static struct attempt *
attempt_find(struct engine_thread *t, const struct call *c, unsigned int number)
{
	struct attempt *a;

	TAILQ_FOREACH (a, &t->attempts, entry) {
		if (a->call == c && a->number == number)
			return a;
	}
	return NULL;
}

/* ---- the loop ---- */

static void
engine_command(struct engine_thread *t, struct command *cmd)
{
	struct attempt *a = NULL;

	if (cmd->kind == COMMAND_CANCEL || cmd->kind == COMMAND_UNPAUSE)
		a = attempt_find(t, cmd->call, cmd->attempt);
	switch (cmd->kind) {
	case COMMAND_START:
		attempt_begin(t, cmd);
		break;
	case COMMAND_CANCEL:
		if (a == NULL)
			break;
		a->cancelled = true;
		attempt_end_with(a, CURLE_ABORTED_BY_CALLBACK);
		break;
	case COMMAND_UNPAUSE:
		if (a == NULL || !a->paused)
			break;
		a->paused = false;
		curl_easy_pause(a->easy, CURLPAUSE_CONT);
		break;
	case COMMAND_QUIT:
		t->quit = true;
		break;
	}
	if (cmd->call != NULL)
		call_drop(cmd->call);
	g_free(cmd);
}

static void
engine_reap(struct engine_thread *t)
{
	struct attempt *a;
	CURLMsg *msg;
	CURLcode rc;
	int left;

	while ((msg = curl_multi_info_read(t->multi, &left)) != NULL) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		rc = msg->data.result;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &a);
		attempt_end_with(a, rc);
	}
}

static int
engine_timeout(const struct engine_thread *t)
{
	msec left;

	if (t->timeout_at == MSEC_NEVER)
		return -1;
	left = t->timeout_at - msec_now();
	return (int)CLAMP(left, 0, 60 * MSEC_SECOND);
}

static void
engine_socket_ready(struct engine_thread *t, const struct epoll_event *ev)
{
	int flags = 0, running;

	if (ev->events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		flags |= CURL_CSELECT_IN;
	if (ev->events & EPOLLOUT)
		flags |= CURL_CSELECT_OUT;
	if (ev->events & EPOLLERR)
		flags |= CURL_CSELECT_ERR;
	curl_multi_socket_action(t->multi, ev->data.fd, flags, &running);
}

static void
engine_once(struct engine_thread *t)
{
	struct epoll_event events[ENGINE_EVENTS];
	struct command *cmd;
	int i, n, running;

	n = epoll_wait(t->epoll_fd, events, ENGINE_EVENTS, engine_timeout(t));
	for (i = 0; i < n; i++) {
		if (events[i].data.fd == t->commands.wake_fd)
			ring_clear_wake(&t->commands);
		else
			engine_socket_ready(t, &events[i]);
	}
	if (t->timeout_at != MSEC_NEVER && msec_now() >= t->timeout_at) {
		t->timeout_at = MSEC_NEVER;
		curl_multi_socket_action(
		    t->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	}
	engine_reap(t);
	while ((cmd = ring_get(&t->commands)) != NULL)
		engine_command(t, cmd);
	engine_reap(t);
}

static void *
engine_run(void *arg)
{
	struct engine_thread *t = arg;

	while (!t->quit)
		engine_once(t);
	return NULL;
}

struct engine_thread *
engine_thread_start(struct daemon *d)
{
	struct engine_thread *t = g_new0(struct engine_thread, 1);
	struct epoll_event ev = { .events = EPOLLIN };

	t->daemon = d;
	t->timeout_at = MSEC_NEVER;
	TAILQ_INIT(&t->attempts);
	if (!ring_init(&t->commands, DAEMON_RING_SIZE))
		return NULL;
	t->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	ev.data.fd = t->commands.wake_fd;
	epoll_ctl(t->epoll_fd, EPOLL_CTL_ADD, ev.data.fd, &ev);
	t->multi = curl_multi_init();
	curl_multi_setopt(t->multi, CURLMOPT_SOCKETFUNCTION, engine_socket);
	curl_multi_setopt(t->multi, CURLMOPT_SOCKETDATA, t);
	curl_multi_setopt(t->multi, CURLMOPT_TIMERFUNCTION, engine_timer);
	curl_multi_setopt(t->multi, CURLMOPT_TIMERDATA, t);
	curl_multi_setopt(t->multi, CURLMOPT_MAXCONNECTS, ENGINE_HOSTS_MAX);
	if (pthread_create(&t->thread, NULL, engine_run, t) != 0)
		return NULL;
	return t;
}

static void
engine_send(struct engine_thread *t, const struct command *from)
{
	struct command *cmd = g_memdup2(from, sizeof *from);

	if (cmd->call != NULL)
		call_take(cmd->call);
	while (!ring_put(&t->commands, cmd))
		g_thread_yield();
}

void
engine_thread_stop(struct engine_thread *t)
{
	struct command quit = { .kind = COMMAND_QUIT };
	struct attempt *a, *next;

	engine_send(t, &quit);
	pthread_join(t->thread, NULL);
	TAILQ_FOREACH_SAFE (a, &t->attempts, entry, next)
		attempt_end_with(a, CURLE_ABORTED_BY_CALLBACK);
	curl_multi_cleanup(t->multi);
	close(t->epoll_fd);
	ring_finish(&t->commands);
	g_free(t);
}

void
engine_start(
    struct engine_thread *t, struct call *c, uint32_t address, uint16_t port)
{
	struct command cmd = { .kind = COMMAND_START,
		.call = c,
		.attempt = c->request.attempt,
		.address = address,
		.port = port,
		.tier = c->doc->doc.classes[c->class_index].tier,
		.resume_at = c->request.tokens };

	answer_set_attempt(&c->answer, c->request.attempt);
	engine_send(t, &cmd);
}

void
engine_cancel(struct engine_thread *t, struct call *c, unsigned int attempt)
{
	struct command cmd = {
		.kind = COMMAND_CANCEL, .call = c, .attempt = attempt
	};

	engine_send(t, &cmd);
}

void
engine_unpause(struct engine_thread *t, struct call *c, unsigned int attempt)
{
	struct command cmd = {
		.kind = COMMAND_UNPAUSE, .call = c, .attempt = attempt
	};

	engine_send(t, &cmd);
}
