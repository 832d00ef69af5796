/*
 * Parser of an engine's server-sent events; see sse.h.
 */

#define LOG_PART "sse"
#include "sse.h"
#include "event-stream.h"

#include <stdlib.h>
#include <string.h>

#define SSE_DATA "data:"
#define SSE_DONE "[DONE]"

static bool sse_append(struct sse *, const char *, size_t);

void
sse_init(struct sse *s)
{
	*s = (struct sse){ 0 };
}

void
sse_finish(struct sse *s)
{
	free(s->rest);
	s->rest = NULL;
}

/* Classify a complete event: a token, the end of the stream, or a comment. */
static void
sse_classify(struct sse *s, const char *p, size_t n, unsigned int *tokens)
{
	const size_t skip = strlen(SSE_DATA);

	if (n < skip || memcmp(p, SSE_DATA, skip) != 0)
		return;
	p += skip;
	n -= skip;
	while (n > 0 && *p == ' ') {
		p++;
		n--;
	}
	if (n >= strlen(SSE_DONE) &&
	    memcmp(p, SSE_DONE, strlen(SSE_DONE)) == 0) {
		s->done = true;
		return;
	}
	s->tokens++;
	(*tokens)++;
}

static bool
sse_append(struct sse *s, const char *p, size_t n)
{
	size_t size;

	if (n == 0)
		return true;
	if (s->rest_len + n > SSE_EVENT_MAX) {
		s->malformed = true;
		return false;
	}
	if (s->rest_len + n > s->rest_size) {
		size = MAX(s->rest_len + n, (size_t)512);
		s->rest = g_realloc(s->rest, size);
		s->rest_size = size;
	}
	memcpy(s->rest + s->rest_len, p, n);
	s->rest_len += n;
	return true;
}

/* Report all complete events at p; returns the bytes consumed. */
static size_t
sse_emit_events(struct sse *s, const char *p, size_t n,
    void (*event)(void *, const char *, size_t, unsigned int), void *arg)
{
	const char *at = p, *end = p + n;
	unsigned int tokens = 0;
	size_t length;

	while (
	    !s->done && (length = event_length(at, (size_t)(end - at))) > 0) {
		sse_classify(s, at, length, &tokens);
		at += length;
	}
	if (at != p)
		event(arg, p, (size_t)(at - p), tokens);
	return (size_t)(at - p);
}

bool
sse_feed(struct sse *s, const char *p, size_t n,
    void (*event)(void *, const char *, size_t, unsigned int), void *arg)
{
	size_t used;

	if (s->malformed)
		return false;
	if (s->done)
		return true;
	if (s->rest_len == 0) {
		used = sse_emit_events(s, p, n, event, arg);
		if (s->done)
			return true;
		return sse_append(s, p + used, n - used);
	}
	if (!sse_append(s, p, n))
		return false;
	used = sse_emit_events(s, s->rest, s->rest_len, event, arg);
	s->rest_len -= used;
	memmove(s->rest, s->rest + used, s->rest_len);
	return true;
}
