/*
 * The daemon's log client: one thread follows streams by long polls and appends
 * records, over curl's multi interface, and passes events to the core loop.
 * Callers send commands through a ring, so that the thread shares only two
 * rings and a stop flag with them.
 */

#define LOG_PART "log"
#include "log-http.h"
#include "log-record.h"

#include <pthread.h>
#include <string.h>

#define COMMANDS_MAX 4096
/* Appends with a request in progress, at most. */
#define APPENDS_MAX 8
#define POLL_WAIT (4 * MSEC_SECOND)
#define POLL_TIMEOUT (POLL_WAIT + 3 * MSEC_SECOND)
#define REQUEST_TIMEOUT (5 * MSEC_SECOND)
#define BACKOFF_MIN ((msec)50)
#define BACKOFF_MAX (2 * MSEC_SECOND)
/* The service counts as down after so many consecutive failures. */
#define DOWN_AFTER 3
#define EVENT_RETRY ((msec)5)

enum command_kind {
	COMMAND_FOLLOW,
	COMMAND_UNFOLLOW,
	COMMAND_APPEND
};

struct command {
	enum command_kind kind;
	char stream[NAME_SIZE];
	uint64_t from;
	char *text;
	char id[LOG_ID_SIZE];
	msec until;
	uint64_t cookie;
};

enum op_state {
	OP_WAITING, /* for not_before, rate budget or a free append */
	OP_READING, /* a page of a followed stream */
	OP_APPENDING,
	OP_READING_BACK /* reading back to find the id */
};

/* A followed stream, or an append whose outcome is not known yet. */
struct op {
	TAILQ_ENTRY(op) entry;
	bool is_append;
	enum op_state state;
	bool read_back_next; /* read back before the next append */
	bool unknown;	     /* an earlier attempt may have been appended */
	char stream[NAME_SIZE];
	uint64_t from;		 /* next offset to read */
	uint64_t read_back_from; /* next offset to read back */
	unsigned int most;	 /* records requested by the next read */
	char *text;
	char id[LOG_ID_SIZE];
	uint64_t cookie;
	/* Offset of a retry, or 0; an earlier attempt may have a lower one. */
	uint64_t appended;
	msec until;
	msec not_before;
	msec backoff;
	struct log_http http;
};
TAILQ_HEAD(op_list, op);

/* An event that waits because the ring is full. */
struct pending_event {
	STAILQ_ENTRY(pending_event) entry;
	struct log_event *event;
};
STAILQ_HEAD(pending_list, pending_event);

struct log_io {
	char *base;
	struct ring *events;
	struct ring commands;
	pthread_t thread;
	gint stop;

	/* Used by the thread only. */
	CURLM *multi;
	struct op_list ops;
	unsigned int nappends; /* append requests in progress */
	unsigned int rate;     /* appends per second */
	double tokens;
	msec tokens_at;
	msec no_append_until;
	unsigned int failures;
	bool down;
	struct pending_list pending;
};

static void *io_main(void *);
static void io_command(struct log_io *, struct command *);
static void io_start_ops(struct log_io *, msec);
static void io_complete(struct log_io *, CURLMsg *);
static msec io_wait(const struct log_io *, msec);
static void io_emit(struct log_io *, struct log_event *);
static void io_flush(struct log_io *);
static void io_track_health(struct log_io *, const GError *);
static bool append_rate_take(struct log_io *, msec);
static struct log_event *event_new(enum log_event_kind, const struct op *);
static struct op *follow_find(const struct log_io *, const char *);
static void op_new(struct log_io *, const struct command *, uint64_t);
static void op_free(struct log_io *, struct op *);
static void op_start(struct log_io *, struct op *, msec);
static void op_backoff(struct op *, msec, msec);
static void
op_finish(struct log_io *, struct op *, enum log_event_kind, uint64_t);
static void op_time_out(struct log_io *, struct op *);
static void op_read_done(struct log_io *, struct op *, CURLcode, msec);
static void op_append_done(struct log_io *, struct op *, CURLcode, msec);
static void op_read_back_done(struct log_io *, struct op *, CURLcode, msec);

struct log_io *
log_io_start(const char *base, struct ring *events, unsigned int rate)
{
	struct log_io *io = g_new0(struct log_io, 1);

	log_http_setup();
	io->base = g_strdup(base);
	io->events = events;
	io->rate = MAX(rate, 1);
	io->tokens = io->rate;
	io->tokens_at = msec_now();
	TAILQ_INIT(&io->ops);
	STAILQ_INIT(&io->pending);
	io->multi = curl_multi_init();
	if (io->multi == NULL || !ring_init(&io->commands, COMMANDS_MAX))
		g_error("out of memory for the log thread");
	if (pthread_create(&io->thread, NULL, io_main, io) != 0)
		g_error("cannot create the log thread");
	return io;
}

void
log_io_stop(struct log_io *io)
{
	struct pending_event *pending;
	struct command *c;
	struct op *op;

	g_atomic_int_set(&io->stop, 1);
	curl_multi_wakeup(io->multi);
	pthread_join(io->thread, NULL);
	while ((op = TAILQ_FIRST(&io->ops)) != NULL)
		op_free(io, op);
	while ((c = ring_get(&io->commands)) != NULL) {
		g_free(c->text);
		g_free(c);
	}
	while ((pending = STAILQ_FIRST(&io->pending)) != NULL) {
		STAILQ_REMOVE_HEAD(&io->pending, entry);
		log_event_free(pending->event);
		g_free(pending);
	}
	curl_multi_cleanup(io->multi);
	ring_finish(&io->commands);
	g_free(io->base);
	g_free(io);
}

/* Queue a command for the thread; false if the ring is full. */
static bool
command_put(struct log_io *io, struct command *c)
{
	if (!ring_put(&io->commands, c)) {
		g_free(c->text);
		g_free(c);
		return false;
	}
	curl_multi_wakeup(io->multi);
	return true;
}

static struct command *
command_new(enum command_kind kind, const char *stream)
{
	struct command *c = g_new0(struct command, 1);

	c->kind = kind;
	g_strlcpy(c->stream, stream, sizeof c->stream);
	return c;
}

void
log_io_follow(struct log_io *io, const char *stream, uint64_t from)
{
	struct command *c = command_new(COMMAND_FOLLOW, stream);

	c->from = MAX(from, 1);
	if (!command_put(io, c))
		log_warn("command queue full: cannot follow %s", stream);
}

void
log_io_unfollow(struct log_io *io, const char *stream)
{
	if (!command_put(io, command_new(COMMAND_UNFOLLOW, stream)))
		log_warn(
		    "command queue full: cannot stop following %s", stream);
}

bool
log_io_append(struct log_io *io, const char *stream, const char *text,
    const char *id, msec timeout, uint64_t cookie)
{
	struct command *c = command_new(COMMAND_APPEND, stream);

	c->text = g_strdup(text);
	g_strlcpy(c->id, id, sizeof c->id);
	c->until = msec_now() + timeout;
	c->cookie = cookie;
	return command_put(io, c);
}

void
log_event_free(struct log_event *e)
{
	log_page_finish(&e->page);
	g_free(e);
}

static void *
io_main(void *arg)
{
	struct log_io *io = arg;
	struct command *c;
	CURLMsg *msg;
	msec now;
	int running, left;

	while (!g_atomic_int_get(&io->stop)) {
		while ((c = ring_get(&io->commands)) != NULL)
			io_command(io, c);
		now = msec_now();
		io_flush(io);
		io_start_ops(io, now);
		curl_multi_perform(io->multi, &running);
		while ((msg = curl_multi_info_read(io->multi, &left)) != NULL)
			io_complete(io, msg);
		curl_multi_poll(
		    io->multi, NULL, 0, (int)io_wait(io, msec_now()), NULL);
	}
	return NULL;
}

static struct op *
follow_find(const struct log_io *io, const char *stream)
{
	struct op *op;

	TAILQ_FOREACH (op, &io->ops, entry) {
		if (!op->is_append && strcmp(op->stream, stream) == 0)
			return op;
	}
	return NULL;
}

static void
io_command(struct log_io *io, struct command *c)
{
	struct op *op = follow_find(io, c->stream);

	if (c->kind == COMMAND_APPEND)
		op_new(io, c, op != NULL ? op->from : 1);
	else if (op != NULL)
		op_free(io, op);
	if (c->kind == COMMAND_FOLLOW)
		op_new(io, c, c->from);
	g_free(c->text);
	g_free(c);
}

/* Start every waiting operation that may start now, oldest first. */
static void
io_start_ops(struct log_io *io, msec now)
{
	struct op *op, *next;

	TAILQ_FOREACH_SAFE (op, &io->ops, entry, next) {
		if (op->state != OP_WAITING)
			continue;
		if (op->is_append && now >= op->until) {
			op_time_out(io, op);
			continue;
		}
		if (now < op->not_before)
			continue;
		/* Read no more pages while the event ring is full. */
		if (!op->is_append && !STAILQ_EMPTY(&io->pending))
			continue;
		op_start(io, op, now);
	}
}

static msec
io_wait(const struct log_io *io, msec now)
{
	const struct op *op;
	msec until = now + MSEC_SECOND;

	if (!STAILQ_EMPTY(&io->pending))
		until = now + EVENT_RETRY;
	TAILQ_FOREACH (op, &io->ops, entry) {
		/* The analyzer doesn't follow the links in TAILQ_REMOVE. */
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		if (op->state != OP_WAITING)
			continue;
		if (op->not_before > now)
			until = MIN(until, op->not_before);
		else if (op->is_append || !STAILQ_EMPTY(&io->pending))
			until = MIN(until, now + EVENT_RETRY);
		else
			/* A page has just arrived: read the next at once. */
			return 0;
	}
	return until - now;
}

static void
io_complete(struct log_io *io, CURLMsg *msg)
{
	struct log_http *http;
	struct op *op;
	CURLcode rc = msg->data.result;
	msec now = msec_now();

	curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, (char **)&http);
	op = (struct op *)((char *)http - offsetof(struct op, http));
	curl_multi_remove_handle(io->multi, msg->easy_handle);
	if (op->state == OP_READING)
		op_read_done(io, op, rc, now);
	else if (op->state == OP_APPENDING)
		op_append_done(io, op, rc, now);
	else
		op_read_back_done(io, op, rc, now);
}

/*
 * Pass an event to the core loop. If the ring is full because the core loop is
 * slow, the event waits in a list and no more pages are read meanwhile.
 * Events are never dropped, since the fold of a stream would miss the records
 * of a lost page.
 */
static void
io_emit(struct log_io *io, struct log_event *e)
{
	struct pending_event *pending;

	if (STAILQ_EMPTY(&io->pending) && ring_put(io->events, e))
		return;
	pending = g_new0(struct pending_event, 1);
	pending->event = e;
	STAILQ_INSERT_TAIL(&io->pending, pending, entry);
}

static void
io_flush(struct log_io *io)
{
	struct pending_event *pending;

	while ((pending = STAILQ_FIRST(&io->pending)) != NULL) {
		if (!ring_put(io->events, pending->event))
			return;
		STAILQ_REMOVE_HEAD(&io->pending, entry);
		g_free(pending);
	}
}

/* Track whether the service responds; a refusal counts as a response. */
static void
io_track_health(struct log_io *io, const GError *e)
{
	bool good = e == NULL || e->code == SAVORY_ERROR_REFUSED;

	io->failures = good ? 0 : io->failures + 1;
	if (good && io->down) {
		log_info("the log service responds again");
		io->down = false;
		io_emit(io, event_new(LOG_EVENT_UP, NULL));
	}
	if (!good && !io->down && io->failures >= DOWN_AFTER) {
		log_warn("the log service does not respond: %s", e->message);
		io->down = true;
		io_emit(io, event_new(LOG_EVENT_DOWN, NULL));
	}
}

/* Take a token from this node's share of the service's append rate. */
static bool
append_rate_take(struct log_io *io, msec now)
{
	double most = io->rate;

	if (now < io->no_append_until)
		return false;
	io->tokens += (double)(now - io->tokens_at) * io->rate / MSEC_SECOND;
	io->tokens = MIN(io->tokens, most);
	io->tokens_at = now;
	if (io->tokens < 1)
		return false;
	io->tokens -= 1;
	return true;
}

static struct log_event *
event_new(enum log_event_kind kind, const struct op *op)
{
	struct log_event *e = g_new0(struct log_event, 1);

	e->kind = kind;
	if (op != NULL) {
		g_strlcpy(e->stream, op->stream, sizeof e->stream);
		e->cookie = op->cookie;
	}
	return e;
}

/*
 * An append cannot have an offset below what this thread had already read of
 * the stream when it was first sent, so reading back starts at `from`.
 */
static void
op_new(struct log_io *io, const struct command *c, uint64_t from)
{
	struct op *op = g_new0(struct op, 1);

	op->is_append = c->kind == COMMAND_APPEND;
	g_strlcpy(op->stream, c->stream, sizeof op->stream);
	op->from = op->read_back_from = MAX(from, 1);
	op->most = LOG_READ_MAX;
	op->backoff = BACKOFF_MIN;
	op->text = g_strdup(c->text);
	memcpy(op->id, c->id, sizeof op->id);
	op->until = c->until;
	op->cookie = c->cookie;
	TAILQ_INSERT_TAIL(&io->ops, op, entry);
}

static void
op_free(struct log_io *io, struct op *op)
{
	if (op->http.easy != NULL) {
		curl_multi_remove_handle(io->multi, op->http.easy);
		log_http_finish(&op->http);
	}
	if (op->is_append && op->state != OP_WAITING)
		io->nappends--;
	TAILQ_REMOVE(&io->ops, op, entry);
	g_free(op->text);
	g_free(op);
}

static void
op_start(struct log_io *io, struct op *op, msec now)
{
	msec left = MIN(op->until - now, REQUEST_TIMEOUT);

	if (!op->is_append) {
		log_http_read(&op->http, io->base, op->stream, op->from,
		    op->most, POLL_WAIT, POLL_TIMEOUT);
		op->state = OP_READING;
	} else if (io->nappends >= APPENDS_MAX) {
		return;
	} else if (op->read_back_next) {
		log_http_read(&op->http, io->base, op->stream,
		    op->read_back_from, op->most, 0, left);
		op->state = OP_READING_BACK;
		io->nappends++;
	} else {
		if (!append_rate_take(io, now))
			return;
		log_http_append(
		    &op->http, io->base, op->stream, op->text, left);
		op->state = OP_APPENDING;
		io->nappends++;
	}
	curl_multi_add_handle(io->multi, op->http.easy);
}

/*
 * Wait between half and all of the backoff, so that nodes which failed together
 * don't retry together, and double it for the next time.
 */
static void
op_backoff(struct op *op, msec now, msec least)
{
	msec half = op->backoff / 2;

	op->not_before =
	    now + MAX(half + g_random_int_range(0, (gint32)half + 1), least);
	op->backoff = MIN(op->backoff * 2, BACKOFF_MAX);
}

static void
op_finish(
    struct log_io *io, struct op *op, enum log_event_kind kind, uint64_t offset)
{
	struct log_event *e = event_new(kind, op);

	e->offset = offset;
	op_free(io, op);
	io_emit(io, e);
}

/* End a timed-out append; report success or failure only if certain. */
static void
op_time_out(struct log_io *io, struct op *op)
{
	if (op->appended != 0) {
		op_finish(io, op, LOG_EVENT_APPENDED, op->appended);
		return;
	}
	log_debug("append to %s timed out, %s", op->stream,
	    op->unknown ? "outcome unknown" : "nothing appended");
	op_finish(io, op,
	    op->unknown ? LOG_EVENT_APPEND_UNKNOWN : LOG_EVENT_APPEND_FAILED,
	    0);
}

static void
op_read_done(struct log_io *io, struct op *op, CURLcode rc, msec now)
{
	struct log_event *e = event_new(LOG_EVENT_PAGE, op);
	GError *error = NULL;
	bool ok = log_http_read_result(&op->http, rc, &e->page, &error);

	e->from = op->from;
	log_http_finish(&op->http);
	op->state = OP_WAITING;
	io_track_health(io, error);
	if (!ok) {
		log_debug("reading %s failed: %s", op->stream, error->message);
		/* Long records may exceed a response: request one only. */
		if (rc == CURLE_WRITE_ERROR)
			op->most = 1;
		op_backoff(op, now, 0);
		g_error_free(error);
		log_event_free(e);
		return;
	}
	op->most = LOG_READ_MAX;
	op->backoff = BACKOFF_MIN;
	op->from = MAX(op->from, e->page.first);
	if (e->page.nentries > 0)
		op->from = e->page.entries[e->page.nentries - 1].offset + 1;
	io_emit(io, e);
}

static void
op_append_done(struct log_io *io, struct op *op, CURLcode rc, msec now)
{
	GError *error = NULL;
	uint64_t offset = log_http_append_result(&op->http, rc, &error);
	msec wait = log_http_retry_after(&op->http);

	log_http_finish(&op->http);
	op->state = OP_WAITING;
	io->nappends--;
	io_track_health(io, error);
	if (offset != 0 && !op->unknown) {
		op_finish(io, op, LOG_EVENT_APPENDED, offset);
		return;
	}
	if (offset != 0) {
		/* An earlier attempt may have a lower offset. */
		op->appended = offset;
		op->read_back_next = true;
		return;
	}
	log_debug("append to %s failed: %s", op->stream, error->message);
	if (error->code == SAVORY_ERROR_REFUSED && wait > 0)
		io->no_append_until = now + wait;
	if (error->code == SAVORY_ERROR_UNKNOWN) {
		op->unknown = true;
		op->read_back_next = true;
	}
	g_error_free(error);
	op_backoff(op, now, 0);
}

/*
 * Guards against a response that is lost after the record was appended, which
 * appears as a broken connection or a timeout. The stream is searched up to its
 * end for the record's id. If it is found, its first offset is the result. If
 * not, the record is sent again; should the first attempt still take effect,
 * this is harmless, as folds ignore ids that they have processed.
 */
static void
op_read_back_done(struct log_io *io, struct op *op, CURLcode rc, msec now)
{
	struct log_page page;
	GError *error = NULL;
	uint64_t offset;

	io->nappends--;
	op->state = OP_WAITING;
	if (!log_http_read_result(&op->http, rc, &page, &error)) {
		log_http_finish(&op->http);
		io_track_health(io, error);
		if (rc == CURLE_WRITE_ERROR)
			op->most = 1;
		g_error_free(error);
		op_backoff(op, now, 0);
		return;
	}
	log_http_finish(&op->http);
	io_track_health(io, NULL);
	op->most = LOG_READ_MAX;
	offset = log_page_find(&page, op->id);
	if (page.nentries > 0)
		op->read_back_from = page.entries[page.nentries - 1].offset + 1;
	if (page.nentries == 0 || op->read_back_from >= page.next) {
		op->read_back_next = false;
		op->read_back_from = op->from;
	}
	log_page_finish(&page);
	if (offset != 0)
		op_finish(io, op, LOG_EVENT_APPENDED, offset);
	else if (!op->read_back_next && op->appended != 0)
		op_finish(io, op, LOG_EVENT_APPENDED, op->appended);
}
