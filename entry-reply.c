/*
 * Forwards a backend server's answer to the caller. A stream is forwarded in
 * whole events, so that it can break only between two events and another server
 * can resume it after the last one. Any other answer is buffered until it is
 * complete, up to a size limit, so that the request can be retried if the
 * answer breaks off.
 */

#define LOG_PART "reply"
#include "entry.h"
#include "event-stream.h"

#include <inttypes.h>
#include <string.h>

/* Larger answers are forwarded as they arrive. */
#define REPLY_BUFFER_MAX (256 * 1024)
/*
 * A longer event is taken as an error of the server, and so are as many bytes
 * that hold none.
 */
#define REPLY_EVENT_MAX (256 * 1024)

enum reply_class
reply_classify(const struct job *j, const struct http_head *h)
{
	struct wire_answer a;

	j->owner->wire->answer(h, j->request.id, &a);
	if (a.other)
		return REPLY_OTHER_REQUEST;
	/* A server that lacks the memory of the run answers 503. */
	if (a.not_executed ||
	    (h->status == 503 && entry_move_memory(j) != NULL))
		return REPLY_REJECTED;
	/*
	 * To the caller these statuses mean that nothing ran, which this answer
	 * does not confirm. 421 comes from another server that has the address
	 * now, so the request did not run.
	 */
	if (h->status == 429 || h->status == 503 || h->status == 408 ||
	    h->status == 421)
		return h->status == 421 ? REPLY_REJECTED : REPLY_INVALID;
	if (!a.ours || a.encoded || h->status < 200)
		return REPLY_INVALID;
	if (h->status < 300)
		return a.is_signed ? REPLY_FORWARD : REPLY_INVALID;
	return h->status >= 500 ? REPLY_SERVER_ERROR : REPLY_FORWARD;
}

void
reply_store_head(struct job *j, const struct http_head *h)
{
	const char *type = http_head_get(h, "Content-Type");
	struct wire_answer a;
	unsigned int i;

	j->owner->wire->answer(h, j->request.id, &a);
	j->weights = a.weights;
	buffer_finish(&j->fields);
	buffer_finish(&j->unsent_body);
	j->status = h->status;
	j->server_error = h->status >= 500;
	j->failure_stored = false;
	j->streamed = j->route->kind == ROUTE_STREAM && h->status < 300 &&
		      type != NULL &&
		      g_str_has_prefix(type, "text/event-stream");
	for (i = 0; i < h->nfields; i++) {
		/* Only carriers set these. */
		if (http_field_is_hop_by_hop(h, h->fields[i].name) ||
		    g_ascii_strcasecmp(
			h->fields[i].name, HANDOFF_OUTCOME_FIELD) == 0 ||
		    g_ascii_strcasecmp(
			h->fields[i].name, HANDOFF_SERVER_FIELD) == 0 ||
		    g_ascii_strcasecmp(
			h->fields[i].name, VERSION_SOFTWARE_FIELD) == 0)
			continue;
		buffer_add_text(&j->fields, h->fields[i].name);
		buffer_add(&j->fields, ": ", 2);
		buffer_add_text(&j->fields, h->fields[i].value);
		buffer_add(&j->fields, "\r\n", 2);
	}
}

/* A stopping node closes its connections, so that callers use other nodes. */
static bool
reply_keeps_connection(const struct job *j)
{
	return j->owner->phase == ENTRY_SERVING && j->head->keep_alive;
}

static void
reply_begin(struct job *j, msec now, bool whole)
{
	struct buffer *out = &j->caller->out;

	j->answer_began = true;
	j->first_at = now;
	buffer_printf(
	    out, "HTTP/1.1 %u %s\r\n", j->status, http_status_text(j->status));
	buffer_add(out, buffer_bytes(&j->fields), buffer_length(&j->fields));
	buffer_finish(&j->fields);
	if (j->carried && j->software_id != 0)
		buffer_printf(out, VERSION_SOFTWARE_FIELD ": %" PRIu64 "\r\n",
		    j->software_id);
	if (j->carried && j->server != NULL)
		buffer_printf(out, HANDOFF_SERVER_FIELD ": %" PRIu64 "\r\n",
		    server_process_id(j->server));
	j->keeps_connection = reply_keeps_connection(j);
	if (!j->keeps_connection)
		buffer_add_text(out, "Connection: close\r\n");
	j->chunked = !whole;
	if (whole)
		buffer_printf(out, "Content-Length: %zu\r\n\r\n",
		    buffer_length(&j->unsent_body));
	else
		buffer_add_text(out, "Transfer-Encoding: chunked\r\n\r\n");
}

static void
reply_forward(struct job *j, const char *bytes, size_t n, msec now)
{
	struct buffer *out = &j->caller->out;
	char size[24];

	if (n == 0)
		return;
	if (!j->answer_began)
		reply_begin(j, now, false);
	else
		j->gap = MAX(j->gap, now - j->forwarded_at);
	j->place.gap = j->gap;
	j->forwarded_at = now;
	g_snprintf(size, sizeof size, "%zx\r\n", n);
	buffer_add_text(out, size);
	buffer_add(out, bytes, n);
	buffer_add(out, "\r\n", 2);
	caller_flush(j->caller);
	if (j->link != NULL)
		link_pause(j->link, LINK_PAUSE_CALLER,
		    caller_unsent(j->caller) >
			entry_memory_high_water(j->owner));
}

/* Check that an event follows the last one that the caller was sent. */
static bool
reply_check_event(struct job *j, const char *event, size_t n)
{
	uint64_t number;
	bool first;

	j->no_event = event_has_field(event, n) ? 0 : j->no_event + n;
	if (!event_number(event, n, &number))
		return j->no_event <= REPLY_EVENT_MAX;
	first = j->order.count == 0;
	if (!event_order_add(&j->order, number)) {
		entry_log(&j->owner->log, j->owner->loop.now, ENTRY_LOG_NEEDED,
		    LOG_EVENT_EVENT_OUT_OF_ORDER,
		    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
		    LOG_NUMBER(LOG_KEY_LAST, j->order.last),
		    LOG_NUMBER(LOG_KEY_CAME, number));
		return false;
	}
	if (first)
		entry_version_begin(j, j->owner->loop.now);
	j->event_due = false;
	return true;
}

static bool
reply_forward_events(struct job *j, msec now)
{
	const char *bytes = buffer_bytes(&j->unsent_body);
	size_t left = buffer_length(&j->unsent_body), at = 0, n;
	bool good = true;

	while ((n = event_length(bytes + at, left - at)) > 0) {
		if (!(good = reply_check_event(j, bytes + at, n)))
			break;
		at += n;
	}
	reply_forward(j, bytes, at, now);
	if (at > 0)
		buffer_consume(&j->unsent_body, at);
	return good && buffer_length(&j->unsent_body) <= REPLY_EVENT_MAX;
}

bool
reply_body(struct job *j, const char *bytes, size_t n, msec now)
{
	j->caller->progress = now;
	buffer_add(&j->unsent_body, bytes, n);
	if (j->head->is_http_1_0)
		return buffer_length(&j->unsent_body) <= REPLY_WHOLE_MAX;
	if (j->streamed)
		return reply_forward_events(j, now);
	if (j->answer_began ||
	    buffer_length(&j->unsent_body) > REPLY_BUFFER_MAX) {
		reply_forward(j, buffer_bytes(&j->unsent_body),
		    buffer_length(&j->unsent_body), now);
		buffer_finish(&j->unsent_body);
	}
	return true;
}

static const char *
reply_framing(const struct http_head *h)
{
	if (h->until_close)
		return "close";
	return h->has_length ? "length" : "chunks";
}

/* Bytes of an event that has begun and is not complete. */
static size_t
reply_unfinished(const struct job *j)
{
	const char *bytes = buffer_bytes(&j->unsent_body);
	size_t left = buffer_length(&j->unsent_body), at = 0, n;

	while ((n = event_length(bytes + at, left - at)) > 0)
		at += n;
	return event_is_unfinished(bytes + at, left - at) ? left - at : 0;
}

void
reply_discard(struct job *j)
{
	j->event_due = j->streamed && (j->event_due || reply_unfinished(j) > 0);
	j->failure_stored = false;
	buffer_finish(&j->unsent_body);
	if (!j->answer_began)
		buffer_finish(&j->fields);
}

/*
 * Nothing came, though an earlier attempt broke off inside the next event, or
 * though nothing but the close of the connection ends the answer. One that the
 * caller resumes may have no event left.
 */
static bool
reply_lacks_event(const struct job *j, const struct http_head *h)
{
	if (buffer_length(&j->unsent_body) > 0)
		return false;
	return j->event_due ||
	       (h->until_close && !j->answer_began && j->request.after == 0);
}

enum reply_end
reply_end(const struct job *j, const struct http_head *h)
{
	if (j->streamed && (reply_unfinished(j) > 0 || reply_lacks_event(j, h)))
		return REPLY_END_BROKEN;
	return h->until_close ? REPLY_END_UNVERIFIED : REPLY_END_WHOLE;
}

void
reply_log_end(const struct job *j, const struct http_head *h, msec now)
{
	static const char *const names[] = {
		[REPLY_END_WHOLE] = "whole",
		[REPLY_END_UNVERIFIED] = "unverified",
		[REPLY_END_BROKEN] = "broken off",
	};
	enum reply_end how = reply_end(j, h);

	if (!j->streamed)
		return;
	if (how == REPLY_END_BROKEN)
		j->owner->counters.streams_broken++;
	entry_log(&j->owner->log, now,
	    how == REPLY_END_BROKEN ? ENTRY_LOG_NEEDED : ENTRY_LOG_ROUTINE,
	    LOG_EVENT_STREAM_ENDED, LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_SERVER, j->server_name),
	    LOG_TEXT(LOG_KEY_OUTCOME, names[how]),
	    LOG_TEXT(LOG_KEY_FRAMING, reply_framing(h)),
	    LOG_NUMBER(LOG_KEY_LAST, j->order.last),
	    LOG_NUMBER(LOG_KEY_UNFINISHED, reply_unfinished(j)));
}

bool
reply_finish(struct job *j, msec now)
{
	struct caller *c = j->caller;

	if (!j->answer_began) {
		reply_begin(j, now, true);
		/* A long body is not copied: its head is sent before. */
		if (buffer_length(&j->unsent_body) > REPLY_BUFFER_MAX)
			caller_flush(c);
		if (strcmp(j->head->method, "HEAD") != 0)
			buffer_move(&c->out, &j->unsent_body);
	} else {
		reply_forward(j, buffer_bytes(&j->unsent_body),
		    buffer_length(&j->unsent_body), now);
		caller_write_text(c, "0\r\n\r\n");
	}
	buffer_finish(&j->unsent_body);
	/*
	 * Use what the head announced, not the current phase: a caller that got
	 * no "Connection: close" sends its next request on this connection,
	 * where it would be read and discarded.
	 */
	caller_finish_answer(c, now, j->keeps_connection);
	return true;
}

void
reply_write_local(
    struct job *j, msec now, unsigned int status, msec retry_after, bool keep)
{
	struct buffer fields = { 0 };

	j->status = status;
	j->owner->wire->own(&fields, j->request.id);
	if (retry_after > 0)
		buffer_printf(&fields, "Retry-After: %.3f\r\n",
		    (double)retry_after / MSEC_SECOND);
	if (j->carried)
		buffer_printf(&fields, HANDOFF_OUTCOME_FIELD ": %s %s\r\n",
		    job_code_name(j->ended_as), j->may_have_run ? "yes" : "no");
	buffer_add(&fields, "", 1);
	caller_answer(j->caller, now, status, buffer_bytes(&fields),
	    "application/json", "{}", keep && reply_keeps_connection(j));
	buffer_finish(&fields);
}
