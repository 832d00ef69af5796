/*
 * Splitting an engine's stream: whatever the chunks, only whole events are
 * forwarded, and the count of tokens is exact.
 */

#include "sse.h"

#include <string.h>

struct seen {
	GString *bytes;
	unsigned int tokens;
};

static void
seen_event(void *arg, const char *p, size_t n, unsigned int tokens)
{
	struct seen *s = arg;

	g_string_append_len(s->bytes, p, (gssize)n);
	s->tokens += tokens;
	/* The output always ends with a whole event. */
	g_assert_cmpint(s->bytes->str[s->bytes->len - 1], ==, '\n');
}

static const char stream[] = ": hello\n\n"
			     "data: {\"index\":0}\n\n"
			     "data: {\"index\":1}\r\n\r\n"
			     "event: note\ndata: x\n\n"
			     "data: {\"index\":2}\n\n"
			     "data: [DONE]\n\n";

static void
test_every_chunking(void)
{
	struct seen seen;
	struct sse s;
	size_t step, at, n = strlen(stream);

	for (step = 1; step <= n; step++) {
		seen.bytes = g_string_new(NULL);
		seen.tokens = 0;
		sse_init(&s);
		for (at = 0; at < n; at += step)
			g_assert_true(sse_feed(&s, stream + at,
			    MIN(step, n - at), seen_event, &seen));
		g_assert_cmpstr(seen.bytes->str, ==, stream);
		g_assert_cmpuint(seen.tokens, ==, 3);
		g_assert_true(s.done);
		sse_finish(&s);
		g_string_free(seen.bytes, TRUE);
	}
}

/*
 * An engine crashes in the middle of an event. The caller must get the events
 * before it and no part of it, so that the stream can continue with the next
 * engine's token.
 */
static void
test_cut_inside_event(void)
{
	struct seen seen = { g_string_new(NULL), 0 };
	const char *cut = "data: {\"index\":0}\n\ndata: {\"ind";
	struct sse s;

	sse_init(&s);
	g_assert_true(sse_feed(&s, cut, strlen(cut), seen_event, &seen));
	g_assert_cmpstr(seen.bytes->str, ==, "data: {\"index\":0}\n\n");
	g_assert_cmpuint(seen.tokens, ==, 1);
	g_assert_false(s.done);
	sse_finish(&s);
	g_string_free(seen.bytes, TRUE);
}

/* Guards against unbounded memory for an engine that never ends an event. */
static void
test_endless_event(void)
{
	struct seen seen = { g_string_new(NULL), 0 };
	g_autofree char *block = g_malloc0(4096);
	struct sse s;
	unsigned int i;
	bool ok = true;

	memset(block, 'x', 4096);
	sse_init(&s);
	for (i = 0; ok && i < 1000; i++)
		ok = sse_feed(&s, block, 4096, seen_event, &seen);
	g_assert_false(ok);
	g_assert_true(s.malformed);
	g_assert_cmpuint(s.rest_len, <=, SSE_EVENT_MAX);
	sse_finish(&s);
	g_string_free(seen.bytes, TRUE);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sse/every-chunking", test_every_chunking);
	g_test_add_func("/sse/cut-inside-event", test_cut_inside_event);
	g_test_add_func("/sse/endless-event", test_endless_event);
	return g_test_run();
}
