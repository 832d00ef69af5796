/*
 * The answer to a call: a buffer that an engine thread or the core fills and
 * the libmicrohttpd thread of the caller's connection reads.
 */

#define LOG_PART "answer"
#include "daemon.h"

#include <stdlib.h>
#include <string.h>

#define ANSWER_EVENTS "text/event-stream"

static void answer_append(struct answer *, const char *, size_t);
static void answer_wake(struct answer *);
static void answer_error_body(struct answer *, const struct request *);

void
answer_init(struct answer *a, struct MHD_Connection *c)
{
	*a = (struct answer){ .connection = c };
	pthread_mutex_init(&a->lock, NULL);
}

void
answer_finish(struct answer *a)
{
	pthread_mutex_destroy(&a->lock);
	free(a->bytes);
}

static void
answer_append(struct answer *a, const char *p, size_t n)
{
	if (n == 0)
		return;
	if (a->at == a->len && !a->keep_bytes)
		a->at = a->len = 0;
	if (a->len + n > a->size) {
		a->size = MAX(a->size * 2, a->len + n);
		a->bytes = g_realloc(a->bytes, a->size);
	}
	memcpy(a->bytes + a->len, p, n);
	a->len += n;
	if (a->len > ANSWER_KEEP_MAX)
		a->keep_bytes = false;
}

/* Resumes the caller's connection. The answer's lock is held. */
static void
answer_wake(struct answer *a)
{
	if (!a->suspended)
		return;
	a->suspended = false;
	MHD_resume_connection(a->connection);
}

void
answer_set_attempt(struct answer *a, unsigned int attempt)
{
	pthread_mutex_lock(&a->lock);
	a->attempt = attempt;
	if (!a->head_ready) {
		a->at = 0;
		a->len = 0;
	}
	a->paused = false;
	pthread_mutex_unlock(&a->lock);
}

/*
 * Only the attempt that the core allowed last may write: late bytes of an
 * abandoned attempt would otherwise mix with those of its successor.
 */
static bool
answer_accepts(const struct answer *a, unsigned int attempt)
{
	return attempt == a->attempt && !a->ended &&
	       (!a->caller_left || a->keep_bytes);
}

enum answer_put
answer_check_room(struct answer *a, unsigned int attempt, size_t pending)
{
	enum answer_put put = ANSWER_ACCEPTED;

	pthread_mutex_lock(&a->lock);
	if (!answer_accepts(a, attempt))
		put = ANSWER_DROP;
	else if (a->len - a->at + pending >= ANSWER_PAUSE_BYTES &&
		 a->head_ready && !a->caller_left) {
		a->paused = true;
		put = ANSWER_PAUSE;
	}
	pthread_mutex_unlock(&a->lock);
	return put;
}

enum answer_put
answer_put(struct answer *a, unsigned int attempt, const char *p, size_t n,
    bool head_now)
{
	enum answer_put put = ANSWER_ACCEPTED;

	pthread_mutex_lock(&a->lock);
	if (!answer_accepts(a, attempt))
		put = ANSWER_DROP;
	else {
		answer_append(a, p, n);
		if (head_now || a->len - a->at >= ANSWER_PAUSE_BYTES)
			a->head_ready = true;
		if (a->head_ready)
			answer_wake(a);
	}
	pthread_mutex_unlock(&a->lock);
	return put;
}

size_t
answer_buffered(struct answer *a)
{
	size_t held;

	pthread_mutex_lock(&a->lock);
	held = a->keep_bytes ? a->len : a->len - a->at;
	pthread_mutex_unlock(&a->lock);
	return held;
}

/* Sets the head. It is sent with the first bytes of a stream, else with the
 * whole body. */
bool
answer_head(struct answer *a, unsigned int attempt, unsigned int status,
    const char *content_type)
{
	bool live;

	pthread_mutex_lock(&a->lock);
	live = answer_accepts(a, attempt);
	if (live && !a->head_ready) {
		a->status = status;
		g_strlcpy(
		    a->content_type, content_type, sizeof a->content_type);
	}
	pthread_mutex_unlock(&a->lock);
	return live;
}

static unsigned int
answer_error_status(const struct request *r)
{
	switch (r->code) {
	case REQUEST_CODE_LIMITED:
		return MHD_HTTP_TOO_MANY_REQUESTS;
	case REQUEST_CODE_OTHER_BODY:
		return MHD_HTTP_CONFLICT;
	case REQUEST_CODE_BAD_TICKET:
		return MHD_HTTP_FORBIDDEN;
	default:
		return r->outcome == REQUEST_NOT_RUN
			   ? MHD_HTTP_SERVICE_UNAVAILABLE
			   : MHD_HTTP_BAD_GATEWAY;
	}
}

static bool
answer_is_events(const struct answer *a)
{
	return strncmp(a->content_type, ANSWER_EVENTS, strlen(ANSWER_EVENTS)) ==
	       0;
}

bool
answer_is_fixed(struct answer *a)
{
	bool is;

	pthread_mutex_lock(&a->lock);
	is = a->head_ready && !answer_is_events(a);
	pthread_mutex_unlock(&a->lock);
	return is;
}

bool
answer_is_gone(struct answer *a)
{
	bool is;

	pthread_mutex_lock(&a->lock);
	is = a->caller_left;
	pthread_mutex_unlock(&a->lock);
	return is;
}

/* Writes the error object with its stable code. */
static void
answer_error_body(struct answer *a, const struct request *r)
{
	g_autofree char *body = NULL;

	a->status = answer_error_status(r);
	g_strlcpy(a->content_type, "application/json", sizeof a->content_type);
	body = g_strdup_printf("{\"error\":{\"type\":\"savorypier\","
			       "\"code\":\"%s\",\"message\":\"%s\","
			       "\"outcome\":\"%s\"}}\n",
	    request_code_name(r->code),
	    r->outcome == REQUEST_NOT_RUN ? "The request was not run."
					  : "It is not known whether the "
					    "request ran.",
	    request_outcome_name(r->outcome));
	a->at = a->len = 0;
	answer_append(a, body, strlen(body));
}

void
answer_alternates(struct answer *a, const char *text)
{
	pthread_mutex_lock(&a->lock);
	g_strlcpy(a->alternates, text, sizeof a->alternates);
	pthread_mutex_unlock(&a->lock);
}

void
answer_end(struct answer *a, const struct request *r)
{
	g_autofree char *event = NULL;

	pthread_mutex_lock(&a->lock);
	if (a->ended) {
		/* answer_copy() has already filled it from the call with the
		 * same key. */
		pthread_mutex_unlock(&a->lock);
		return;
	}
	a->outcome = r->outcome;
	a->code = r->code;
	a->retry_after = r->retry_after;
	a->attempt = 0;
	/* With code OK the answer, whatever its outcome, is from another
	 * node. */
	if (r->outcome != REQUEST_RAN && r->code != REQUEST_CODE_OK) {
		if (!a->head_ready)
			answer_error_body(a, r);
		else {
			event = g_strdup_printf(
			    "event: savorypier\ndata: {\"outcome\":\"%s\","
			    "\"code\":\"%s\"}\n\n",
			    request_outcome_name(r->outcome),
			    request_code_name(r->code));
			if (answer_is_events(a))
				answer_append(a, event, strlen(event));
			a->broken = true;
		}
	}
	a->ended = true;
	a->head_ready = true;
	answer_wake(a);
	pthread_mutex_unlock(&a->lock);
}

bool
answer_copy(struct answer *to, struct answer *from)
{
	bool ok;

	pthread_mutex_lock(&from->lock);
	ok = from->ended && from->keep_bytes;
	pthread_mutex_unlock(&from->lock);
	if (!ok)
		return false;
	/* `from` has ended, so it is no longer written to. */
	pthread_mutex_lock(&to->lock);
	to->status = from->status;
	g_strlcpy(
	    to->content_type, from->content_type, sizeof to->content_type);
	to->at = to->len = 0;
	answer_append(to, from->bytes, from->len);
	to->outcome = from->outcome;
	to->code = from->code;
	to->retry_after = from->retry_after;
	g_strlcpy(to->alternates, from->alternates, sizeof to->alternates);
	to->broken = from->broken;
	to->ended = true;
	to->head_ready = true;
	answer_wake(to);
	pthread_mutex_unlock(&to->lock);
	return true;
}

void
answer_text(
    struct answer *a, unsigned int status, const char *type, const char *text)
{
	pthread_mutex_lock(&a->lock);
	a->status = status;
	g_strlcpy(a->content_type, type, sizeof a->content_type);
	a->at = a->len = 0;
	answer_append(a, text, strlen(text));
	a->outcome = REQUEST_RAN;
	a->ended = true;
	a->head_ready = true;
	answer_wake(a);
	pthread_mutex_unlock(&a->lock);
}

bool
answer_wait(struct answer *a)
{
	bool ready;

	pthread_mutex_lock(&a->lock);
	ready = a->head_ready;
	if (!ready && !a->suspended) {
		a->suspended = true;
		MHD_suspend_connection(a->connection);
	}
	pthread_mutex_unlock(&a->lock);
	return ready;
}

/* Called by libmicrohttpd for the next bytes of the body. */
ssize_t
answer_read(struct call *c, char *buf, size_t size)
{
	struct answer *a = &c->answer;
	struct engine_thread *thread = NULL;
	unsigned int attempt = 0;
	ssize_t n;

	pthread_mutex_lock(&a->lock);
	n = (ssize_t)MIN(size, a->len - a->at);
	if (n > 0) {
		memcpy(buf, a->bytes + a->at, (size_t)n);
		a->at += (size_t)n;
	} else if (a->ended && a->broken)
		n = MHD_CONTENT_READER_END_WITH_ERROR;
	else if (a->ended) {
		/* A trailer: only sent when the answer is chunked. */
		MHD_add_response_footer(a->response, "Savorypier-Outcome",
		    request_outcome_name(a->outcome));
		n = MHD_CONTENT_READER_END_OF_STREAM;
	} else if (!a->suspended) {
		a->suspended = true;
		MHD_suspend_connection(a->connection);
	}
	if (a->paused && a->len - a->at < ANSWER_RESUME_BYTES) {
		a->paused = false;
		thread = g_atomic_pointer_get(&c->thread);
		attempt = a->attempt;
	}
	pthread_mutex_unlock(&a->lock);
	if (thread != NULL)
		engine_unpause(thread, c, attempt);
	return n;
}
