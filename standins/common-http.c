/*
 * The HTTP server that all stand-ins share; see common-http.h. One lock
 * guards the server and the stand-in's own state, which keeps the stand-ins
 * simple. A timer thread wakes parked requests.
 */

#define LOG_PART "standin"
#include "common-http.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define HTTP_BODY_MAX (16 * 1024 * 1024)
#define HTTP_CONNECTIONS_MAX 30000
#define HTTP_BACKLOG 1024

enum {
	OPT_PORT = 'p',
	OPT_THREADS = 0x200
};

static const struct argp_option http_options[] = {
	{ "port", OPT_PORT, "N", 0, "Port to listen on; 0 picks a free one" },
	{ "threads", OPT_THREADS, "N", 0, "Threads that serve connections" }, {}
};

static error_t
http_parse(int key, char *arg, struct argp_state *state)
{
	struct http_server *srv = state->input;

	switch (key) {
	case OPT_PORT:
		srv->port = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case OPT_THREADS:
		srv->threads = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

const struct argp http_argp = { http_options, http_parse };

void
http_server_arguments(struct http_server *srv, const struct argp_option *opts,
    argp_parser_t parse, const char *doc, int argc, char **argv)
{
	static const struct argp_child children[] = { { &http_argp }, {} };
	struct argp argp = { opts, parse, NULL, doc, children };

	argp_parse(&argp, argc, argv, 0, NULL, srv);
}

/* The signals that end the program; blocked in all threads. */
static void
http_stop_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
}

void
http_server_init(
    struct http_server *srv, const struct http_ops *ops, struct fault *faults)
{
	pthread_condattr_t attr;
	sigset_t set;

	/* Before any thread, or SIGTERM may end the process through it. */
	http_stop_signals(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	memset(srv, 0, sizeof *srv);
	srv->ops = ops;
	srv->faults = faults;
	srv->threads = 1;
	srv->control_fd = -1;
	TAILQ_INIT(&srv->parked);
	TAILQ_INIT(&srv->connections);
	pthread_mutex_init(&srv->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&srv->timer_cond, &attr);
	pthread_condattr_destroy(&attr);
}

/* Fault switches. */

static struct fault *
fault_find(struct http_server *srv, const char *name)
{
	struct fault *f;

	for (f = srv->faults; f->name != NULL; f++) {
		if (strcmp(f->name, name) == 0)
			return f;
	}
	return NULL;
}

double
fault_value(struct http_server *srv, const char *name)
{
	struct fault *f = fault_find(srv, name);

	return f == NULL ? 0 : f->value;
}

void
fault_set(struct http_server *srv, const char *name, double value)
{
	struct fault *f = fault_find(srv, name);

	if (f != NULL)
		f->value = value;
}

bool
fault_take(struct http_server *srv, const char *name)
{
	struct fault *f = fault_find(srv, name);

	if (f == NULL || f->value < 1)
		return false;
	f->value--;
	return true;
}

bool
fault_names(struct http_server *srv, const char *name, const char *one)
{
	struct fault *f = fault_find(srv, name);
	json_t *item;
	size_t i;

	if (f == NULL || f->names == NULL)
		return false;
	json_array_foreach (f->names, i, item) {
		if (g_strcmp0(json_string_value(item), one) == 0)
			return true;
	}
	return false;
}

static json_t *
fault_to_json(const struct fault *f)
{
	if (f->type == FAULT_BOOL)
		return json_boolean(f->value != 0);
	if (f->type == FAULT_NAMES)
		return f->names == NULL ? json_array() : json_incref(f->names);
	if (f->value == (double)(json_int_t)f->value)
		return json_integer((json_int_t)f->value);
	return json_real(f->value);
}

static json_t *
faults_to_json(struct http_server *srv)
{
	json_t *all = json_object();
	const struct fault *f;

	for (f = srv->faults; f->name != NULL; f++)
		json_object_set_new(all, f->name, fault_to_json(f));
	return all;
}

static bool
fault_accepts(const struct fault *f, const json_t *v)
{
	switch (f->type) {
	case FAULT_BOOL:
		return json_is_boolean(v);
	case FAULT_NAMES:
		return json_is_array(v);
	default:
		return json_is_number(v);
	}
}

static void
fault_change(struct fault *f, json_t *v)
{
	if (f->type == FAULT_NAMES) {
		json_decref(f->names);
		f->names = json_incref(v);
	} else if (f->type == FAULT_BOOL)
		f->value = json_is_true(v);
	else
		f->value = json_number_value(v);
}

/* A misspelt switch must not pass: the test that set it would prove nothing. */
static enum MHD_Result
faults_post(struct http_server *srv, struct http_request *req)
{
	json_t *body = json_loadb(req->body->str, req->body->len, 0, NULL);
	const char *name;
	struct fault *f;
	json_t *v;

	json_object_foreach (body, name, v) {
		f = fault_find(srv, name);
		if (f == NULL || !fault_accepts(f, v)) {
			json_decref(body);
			return http_error(req, 400, "no such switch or value");
		}
	}
	if (!json_is_object(body)) {
		json_decref(body);
		return http_error(req, 400, "not a JSON object");
	}
	json_object_foreach (body, name, v)
		fault_change(fault_find(srv, name), v);
	json_decref(body);
	srv->control_fd = http_fd(req);
	if (srv->ops->faulted != NULL)
		srv->ops->faulted(srv);
	srv->control_fd = -1;
	return http_json(req, 200, faults_to_json(srv));
}

/* Answers. */

struct MHD_Response *
http_json_response(json_t *v)
{
	char *text = json_dumps(v, JSON_COMPACT);
	struct MHD_Response *resp;

	json_decref(v);
	if (text == NULL)
		text = strdup("null");
	resp = MHD_create_response_from_buffer(
	    strlen(text), text, MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(resp, "Content-Type", "application/json");
	return resp;
}

enum MHD_Result
http_send(
    struct http_request *req, unsigned int status, struct MHD_Response *resp)
{
	req->answer = resp;
	req->status = status;
	return MHD_YES;
}

enum MHD_Result
http_json(struct http_request *req, unsigned int status, json_t *v)
{
	return http_send(req, status, http_json_response(v));
}

enum MHD_Result
http_error(struct http_request *req, unsigned int status, const char *text)
{
	return http_json(
	    req, status, json_pack("{s:{s:s}}", "error", "message", text));
}

enum MHD_Result
http_too_many(struct http_request *req, unsigned int seconds)
{
	struct MHD_Response *resp;
	char text[16];

	resp = http_json_response(
	    json_pack("{s:{s:s}}", "error", "message", "over the limit"));
	snprintf(text, sizeof text, "%u", seconds);
	MHD_add_response_header(resp, "Retry-After", text);
	return http_send(req, 429, resp);
}

enum MHD_Result
http_cut(struct http_request *req)
{
	return MHD_NO;
}

void
http_cut_all(struct http_server *srv)
{
	struct http_connection *c;

	TAILQ_FOREACH (c, &srv->connections, entry) {
		if (c->fd != srv->control_fd)
			shutdown(c->fd, SHUT_RDWR);
	}
	http_wake_all(srv);
}

/* Parking. */

enum MHD_Result
http_park(struct http_request *req, msec until, const void *channel)
{
	struct http_server *srv = req->server;

	if (srv->stopping)
		return MHD_NO;
	req->parked = true;
	req->wake_at = until;
	req->channel = channel;
	TAILQ_INSERT_TAIL(&srv->parked, req, parked_entry);
	MHD_suspend_connection(req->conn);
	if (until != MSEC_NEVER)
		pthread_cond_signal(&srv->timer_cond);
	return MHD_YES;
}

bool
http_delay(struct http_request *req, msec delay)
{
	if (req->delayed || delay <= 0)
		return false;
	req->delayed = true;
	return http_park(req, req->arrived + delay, NULL) == MHD_YES;
}

void
http_wake(struct http_request *req)
{
	if (!req->parked)
		return;
	req->parked = false;
	TAILQ_REMOVE(&req->server->parked, req, parked_entry);
	MHD_resume_connection(req->conn);
}

void
http_wake_channel(struct http_server *srv, const void *channel)
{
	struct http_request *req, *next;

	TAILQ_FOREACH_SAFE (req, &srv->parked, parked_entry, next) {
		if (req->channel == channel)
			http_wake(req);
	}
}

void
http_wake_all(struct http_server *srv)
{
	struct http_request *req, *next;

	TAILQ_FOREACH_SAFE (req, &srv->parked, parked_entry, next)
		http_wake(req);
}

/* Wake what is due; the time of the next that will be. */
static msec
http_wake_due(struct http_server *srv)
{
	struct http_request *req, *next;
	msec now = msec_now(), first = MSEC_NEVER;

	TAILQ_FOREACH_SAFE (req, &srv->parked, parked_entry, next) {
		if (req->wake_at <= now)
			http_wake(req);
		else if (req->wake_at < first)
			first = req->wake_at;
	}
	return first;
}

static void
http_timer_sleep(struct http_server *srv, msec span)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += span / 1000;
	ts.tv_nsec += (span % 1000) * 1000000;
	if (ts.tv_nsec >= 1000000000) {
		ts.tv_sec++;
		ts.tv_nsec -= 1000000000;
	}
	pthread_cond_timedwait(&srv->timer_cond, &srv->lock, &ts);
}

static void *
http_timer_run(void *arg)
{
	struct http_server *srv = arg;
	msec first, span;

	pthread_mutex_lock(&srv->lock);
	while (!srv->stopping) {
		first = http_wake_due(srv);
		if (first == MSEC_NEVER) {
			pthread_cond_wait(&srv->timer_cond, &srv->lock);
			continue;
		}
		span = first - msec_now();
		if (span > 0)
			http_timer_sleep(srv, span);
	}
	pthread_mutex_unlock(&srv->lock);
	return NULL;
}

/* Requests. */

const char *
http_header(struct http_request *req, const char *name)
{
	return MHD_lookup_connection_value(req->conn, MHD_HEADER_KIND, name);
}

const char *
http_query(struct http_request *req, const char *name)
{
	return MHD_lookup_connection_value(
	    req->conn, MHD_GET_ARGUMENT_KIND, name);
}

int64_t
http_query_number(struct http_request *req, const char *name, int64_t dflt)
{
	const char *text = http_query(req, name);

	return text == NULL ? dflt : g_ascii_strtoll(text, NULL, 10);
}

bool
http_is(struct http_request *req, const char *method, const char *path)
{
	return strcmp(req->method, method) == 0 && strcmp(req->path, path) == 0;
}

int
http_fd(struct http_request *req)
{
	const union MHD_ConnectionInfo *info;

	info = MHD_get_connection_info(
	    req->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	return info == NULL ? -1 : info->connect_fd;
}

static struct http_request *
http_request_new(struct http_server *srv, struct MHD_Connection *conn,
    const char *method, const char *path)
{
	struct http_request *req = g_new0(struct http_request, 1);

	req->server = srv;
	req->conn = conn;
	req->method = g_strdup(method);
	req->path = g_strdup(path);
	req->body = g_string_new(NULL);
	req->arrived = msec_now();
	return req;
}

static enum MHD_Result
http_dispatch(struct http_server *srv, struct http_request *req)
{
	if (req->body->len > HTTP_BODY_MAX)
		return http_error(req, 413, "body too large");
	if (http_is(req, "GET", "/stats"))
		return http_json(req, 200, srv->ops->stats(srv));
	if (http_is(req, "GET", "/fault"))
		return http_json(req, 200, faults_to_json(srv));
	if (http_is(req, "POST", "/fault"))
		return faults_post(srv, req);
	/* The switches stay within reach, or a test could not undo it. */
	if (fault_value(srv, "down") != 0)
		return http_cut(req);
	return srv->ops->handle(srv, req);
}

/*
 * libmicrohttpd calls content readers with the response's own lock held, and
 * they take ours; so a response is not touched while we hold ours.
 */
static enum MHD_Result
http_queue(struct http_request *req)
{
	enum MHD_Result ret;

	if (req->answer == NULL)
		return MHD_YES;
	ret = MHD_queue_response(req->conn, req->status, req->answer);
	MHD_destroy_response(req->answer);
	req->answer = NULL;
	return ret;
}

static enum MHD_Result
http_access(void *arg, struct MHD_Connection *conn, const char *path,
    const char *method, const char *version, const char *data, size_t *size,
    void **state)
{
	struct http_server *srv = arg;
	struct http_request *req = *state;
	enum MHD_Result ret;

	if (req == NULL) {
		*state = http_request_new(srv, conn, method, path);
		return MHD_YES;
	}
	if (*size > 0) {
		if (req->body->len <= HTTP_BODY_MAX)
			g_string_append_len(req->body, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	pthread_mutex_lock(&srv->lock);
	ret = srv->stopping ? MHD_NO : http_dispatch(srv, req);
	pthread_mutex_unlock(&srv->lock);
	return ret == MHD_YES ? http_queue(req) : ret;
}

static void
http_completed(void *arg, struct MHD_Connection *conn, void **state,
    enum MHD_RequestTerminationCode code)
{
	struct http_server *srv = arg;
	struct http_request *req = *state;

	if (req == NULL)
		return;
	pthread_mutex_lock(&srv->lock);
	if (req->parked)
		TAILQ_REMOVE(&srv->parked, req, parked_entry);
	if (srv->ops->done != NULL)
		srv->ops->done(srv, req);
	pthread_mutex_unlock(&srv->lock);
	g_string_free(req->body, TRUE);
	g_free(req->method);
	g_free(req->path);
	g_free(req);
	*state = NULL;
}

static void
http_connected(void *arg, struct MHD_Connection *conn, void **ctx,
    enum MHD_ConnectionNotificationCode code)
{
	struct http_server *srv = arg;
	struct http_connection *c;

	pthread_mutex_lock(&srv->lock);
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		c = g_new0(struct http_connection, 1);
		c->fd = MHD_get_connection_info(
		    conn, MHD_CONNECTION_INFO_CONNECTION_FD)
			    ->connect_fd;
		TAILQ_INSERT_TAIL(&srv->connections, c, entry);
		*ctx = c;
	} else {
		c = *ctx;
		TAILQ_REMOVE(&srv->connections, c, entry);
		g_free(c);
	}
	pthread_mutex_unlock(&srv->lock);
}

static void
http_stop(struct http_server *srv)
{
	pthread_mutex_lock(&srv->lock);
	srv->stopping = true;
	if (srv->ops->stopping != NULL)
		srv->ops->stopping(srv);
	http_cut_all(srv);
	pthread_cond_signal(&srv->timer_cond);
	pthread_mutex_unlock(&srv->lock);
	pthread_join(srv->timer_thread, NULL);
	MHD_stop_daemon(srv->daemon);
}

static struct MHD_Daemon *
http_start(struct http_server *srv)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };

	sin.sin_port = htons((uint16_t)srv->port);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return MHD_start_daemon(
	    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
	    (uint16_t)srv->port, NULL, NULL, http_access, srv,
	    MHD_OPTION_SOCK_ADDR, &sin, MHD_OPTION_THREAD_POOL_SIZE,
	    srv->threads > 1 ? srv->threads : 0, MHD_OPTION_CONNECTION_LIMIT,
	    HTTP_CONNECTIONS_MAX, MHD_OPTION_LISTEN_BACKLOG_SIZE, HTTP_BACKLOG,
	    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, MHD_OPTION_NOTIFY_COMPLETED,
	    http_completed, srv, MHD_OPTION_NOTIFY_CONNECTION, http_connected,
	    srv, MHD_OPTION_END);
}

int
http_server_run(struct http_server *srv)
{
	sigset_t set;
	int sig;

	signal(SIGPIPE, SIG_IGN);
	http_stop_signals(&set);
	srv->daemon = http_start(srv);
	if (srv->daemon == NULL) {
		log_warn("cannot listen on port %u: %s", srv->port,
		    g_strerror(errno));
		return 1;
	}
	pthread_create(&srv->timer_thread, NULL, http_timer_run, srv);
	printf("ready %u\n",
	    MHD_get_daemon_info(srv->daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
	fflush(stdout);
	sigwait(&set, &sig);
	http_stop(srv);
	return 0;
}
