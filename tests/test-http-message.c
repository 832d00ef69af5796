/*
 * HTTP messages that arrive in pieces, and ambiguous messages that two parsers
 * could read differently: each of these is refused, whatever the size of the
 * pieces.
 */

#include "http-message.h"

#include <string.h>

#define HEAD_MAX 1024
#define BODY_MAX 4096

struct body_collector {
	GString *body;
};

static void
collect_body(struct http_reader *r, const char *bytes, size_t n)
{
	struct body_collector *g = r->arg;

	g_string_append_len(g->body, bytes, (gssize)n);
}

/*
 * Feeds pieces of a given size until the message ends; returns the number of
 * bytes consumed.
 */
static size_t
feed_in_pieces(struct http_reader *r, const char *bytes, size_t n, size_t piece)
{
	size_t at = 0, step, took;

	while (at < n && r->stage < HTTP_STAGE_COMPLETE) {
		step = MIN(piece, n - at);
		took = http_reader_parse(r, bytes + at, step);
		at += took;
		if (took == 0 && r->stage < HTTP_STAGE_COMPLETE)
			break;
	}
	return at;
}

static void
check_refused(const char *text, size_t n, enum http_error error)
{
	static const size_t pieces[] = { 1, 3, 4096 };
	struct body_collector g = { g_string_new(NULL) };
	struct http_reader r;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(pieces); i++) {
		http_reader_init(
		    &r, true, HEAD_MAX, BODY_MAX, collect_body, &g);
		feed_in_pieces(&r, text, n, pieces[i]);
		g_assert_cmpint(r.stage, ==, HTTP_STAGE_FAILED);
		g_assert_cmpint(r.error, ==, error);
		http_reader_finish(&r);
	}
	g_string_free(g.body, TRUE);
}

#define REFUSED(text) \
	check_refused((text), sizeof(text) - 1, HTTP_ERROR_MALFORMED)

/*
 * Request smuggling: a request contains a second one, which a server that reads
 * the lengths differently would run.
 */
static void
test_smuggling(void)
{
	REFUSED(
	    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n");
	REFUSED("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
		"Content-Length: 3\r\n\r\n0\r\n\r\n");
	REFUSED("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
		"Content-Length: 5\r\n\r\nabcde");
	REFUSED("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
		"Content-Length: 3\r\n\r\nabc");
	REFUSED("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc");
	REFUSED(
	    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc");
	REFUSED("POST / HTTP/1.1\r\nHost: a\r\n"
		"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n");
	REFUSED("POST / HTTP/1.1\r\nHost: a\r\n"
		"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n");
	REFUSED("POST / HTTP/1.0\r\nHost: a\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
}

/* Guards against a body that is read as the next request. */
static void
test_connect(void)
{
	REFUSED("CONNECT /a HTTP/1.1\r\nHost: a\r\n"
		"Content-Length: 19\r\n\r\nPOST /b HTTP/1.1\r\n");
	REFUSED("CONNECT /a HTTP/1.1\r\nHost: a\r\n"
		"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n");
	REFUSED("CONNECT /a HTTP/1.1\r\nHost: a\r\n\r\n");
	REFUSED("CONNECT /a HTTP/1.0\r\nHost: a\r\nContent-Length: 1\r\n\r\na");
	REFUSED("CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n");
}

/* Guards against an upgrade that ends a request before its body. */
static void
test_upgrade(void)
{
	static const char head[] = "POST /a HTTP/1.1\r\nHost: a\r\n"
				   "Connection: upgrade\r\nUpgrade: b\r\n";
	static const char *const bodies[] = { "Content-Length: 3\r\n\r\nabc",
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
		"Connection: upgrade\r\nUpgrade: b\r\n\r\n" };
	struct http_reader r;
	size_t i, n;

	for (i = 0; i < G_N_ELEMENTS(bodies); i++) {
		struct body_collector g = { g_string_new(NULL) };
		g_autofree char *text =
		    g_strconcat(head, bodies[i], "GET", NULL);

		http_reader_init(
		    &r, true, HEAD_MAX, BODY_MAX, collect_body, &g);
		n = feed_in_pieces(&r, text, strlen(text), 7);
		g_assert_cmpint(r.stage, ==, HTTP_STAGE_COMPLETE);
		g_assert_cmpstr(g.body->str, ==, "abc");
		g_assert_cmpstr(text + n, ==, "GET");
		http_reader_finish(&r);
		g_string_free(g.body, TRUE);
	}
}

static void
test_heads(void)
{
	REFUSED("GET / HTTP/1.1\nHost: a\n\n");
	REFUSED("GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n");
	REFUSED("GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n");
	REFUSED("GET / HTTP/1.1\r\nHost : a\r\n\r\n");
	REFUSED("GET / HTTP/1.1\r\nHost: a\r\nX: b\0c\r\n\r\n");
	REFUSED("GET / HTTP/1.1\r\nHost: a\r\nX: b\rc\r\n\r\n");
	REFUSED("GET / HTTP/1.1\r\nHost: a\r\n: b\r\n\r\n");
	REFUSED("GET / HTTP/1.1\r\n\r\n");
	REFUSED("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n");
	REFUSED("GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n");
	REFUSED("GET / HTTP/2.0\r\nHost: a\r\n\r\n");
	REFUSED("GET  / HTTP/1.1\r\nHost: a\r\n\r\n");
}

static void
test_bounds(void)
{
	g_autofree char *large = g_strnfill(2 * HEAD_MAX, 'x');
	g_autofree char *head = NULL, *body = NULL;

	head = g_strdup_printf("GET / HTTP/1.1\r\nHost: a\r\nX: %s", large);
	check_refused(head, strlen(head), HTTP_ERROR_HEAD_TOO_LARGE);
	body = g_strdup_printf("POST / HTTP/1.1\r\nHost: a\r\n"
			       "Transfer-Encoding: chunked\r\n\r\n"
			       "800\r\n%s\r\n800\r\n%s\r\n1\r\nx\r\n0\r\n\r\n",
	    large, large);
	check_refused(body, strlen(body), HTTP_ERROR_BODY_TOO_LARGE);
}

/* Empty lines before a message never end. */
static void
test_empty_lines(void)
{
	static const char lines[] = "\r\n\r\n\r\n\r\n\r\n";

	check_refused(lines, strlen(lines), HTTP_ERROR_MALFORMED);
}

/* The second request of a pipeline is left until the first is answered. */
static void
test_pipeline(void)
{
	static const char text[] = "\r\nPOST /a?b HTTP/1.1\r\nHost: h:1\r\n"
				   "Content-Length: 3\r\nX:  y \r\n\r\nabc"
				   "POST /c HTTP/1.1\r\nHost: h\r\n"
				   "Transfer-Encoding: Chunked\r\n\r\n"
				   "2;e=1\r\nde\r\n0\r\n\r\nGET";
	size_t piece, at;

	for (piece = 1; piece < sizeof text; piece += 7) {
		struct body_collector g = { g_string_new(NULL) };
		struct http_reader r;

		http_reader_init(
		    &r, true, HEAD_MAX, BODY_MAX, collect_body, &g);
		at = feed_in_pieces(&r, text, sizeof text - 1, piece);
		g_assert_cmpint(r.stage, ==, HTTP_STAGE_COMPLETE);
		g_assert_cmpstr(r.head->method, ==, "POST");
		g_assert_cmpstr(r.head->target, ==, "/a?b");
		g_assert_cmpstr(http_head_get(r.head, "x"), ==, "y");
		g_assert_cmpstr(g.body->str, ==, "abc");
		http_reader_reset(&r);
		at +=
		    feed_in_pieces(&r, text + at, sizeof text - 1 - at, piece);
		g_assert_cmpint(r.stage, ==, HTTP_STAGE_COMPLETE);
		g_assert_cmpstr(g.body->str, ==, "abcde");
		g_assert_cmpstr(text + at, ==, "GET");
		http_reader_finish(&r);
		g_string_free(g.body, TRUE);
	}
}

static enum http_stage
answer_stage(const char *text, bool close, char **body)
{
	struct body_collector g = { g_string_new(NULL) };
	enum http_stage stage;
	struct http_reader r;

	http_reader_init(&r, false, HEAD_MAX, BODY_MAX, collect_body, &g);
	feed_in_pieces(&r, text, strlen(text), 5);
	if (close)
		http_reader_close(&r);
	stage = r.stage;
	http_reader_finish(&r);
	*body = g_string_free(g.body, FALSE);
	return stage;
}

/*
 * A server closes the connection early: its answer must not count as complete.
 * Without a length, only the orderly end of the connection completes it.
 */
static void
test_ends(void)
{
	static const struct {
		const char *text;
		bool close;
		enum http_stage stage;
		const char *body;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab", true,
		    HTTP_STAGE_FAILED, "ab" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "2\r\nab\r\n",
		    true, HTTP_STAGE_FAILED, "ab" },
		{ "HTTP/1.1 200 OK\r\n\r\nab", true, HTTP_STAGE_COMPLETE,
		    "ab" },
		{ "HTTP/1.1 200 OK\r\n\r\nab", false, HTTP_STAGE_BODY, "ab" },
		{ "HTTP/1.1 200 OK\r\nContent-Le", true, HTTP_STAGE_FAILED,
		    "" },
		{ "HTTP/1.1 204 No Content\r\n\r\n", false, HTTP_STAGE_COMPLETE,
		    "" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false,
		    HTTP_STAGE_COMPLETE, "" },
		{ "garbage that is no answer\r\n\r\n", false, HTTP_STAGE_FAILED,
		    "" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *body = NULL;
		enum http_stage stage;

		stage = answer_stage(cases[i].text, cases[i].close, &body);
		g_assert_cmpint(stage, ==, cases[i].stage);
		g_assert_cmpstr(body, ==, cases[i].body);
	}
}

/*
 * Guards against an answer whose body two parsers end in different places: the
 * bytes after it would be taken for the answer to another request.
 */
static void
test_answer_framing(void)
{
	static const struct {
		const char *text;
		enum http_stage stage;
		const char *body;
	} cases[] = {
		{ "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nab",
		    HTTP_STAGE_FAILED, "" },
		{ "HTTP/1.1 103 Early Hints\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		    HTTP_STAGE_FAILED, "" },
		{ "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nab",
		    HTTP_STAGE_FAILED, "" },
		{ "HTTP/1.1 204 No Content\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		    HTTP_STAGE_FAILED, "" },
		{ "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
		  "Upgrade: b\r\nContent-Length: 2\r\n\r\nab",
		    HTTP_STAGE_FAILED, "" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\t\r\n\r\n"
		  "2\r\nab\r\n0\r\n\r\n",
		    HTTP_STAGE_FAILED, "" },
		{ "HTTP/1.1 200 OK\r\nConnection: upgrade\r\nUpgrade: b\r\n"
		  "Content-Length: 2\r\n\r\nab",
		    HTTP_STAGE_COMPLETE, "ab" },
		{ "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n",
		    HTTP_STAGE_COMPLETE, "" },
		{ "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
		    HTTP_STAGE_COMPLETE, "" },
		{ "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
		    HTTP_STAGE_COMPLETE, "" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *body = NULL;
		enum http_stage stage;

		stage = answer_stage(cases[i].text, false, &body);
		g_assert_cmpint(stage, ==, cases[i].stage);
		g_assert_cmpstr(body, ==, cases[i].body);
	}
}

/* Guards against an answer whose status is none. */
static void
test_statuses(void)
{
	static const char *const good[] = { "100 Continue", "200 OK", "204 ",
		"200", "599 Odd" };
	static const char *const odd[] = { "000 Odd", "001 Odd", "099 Odd",
		"1 Odd", "20 Odd", "00200 OK", "0200 OK", "2000 OK", "600 Odd",
		"999 Odd", "2x0 OK", "200x OK", "-20 OK", "+200 OK", " 200 OK",
		"", "0x0c8 OK" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(good) + G_N_ELEMENTS(odd); i++) {
		bool is_good = i < G_N_ELEMENTS(good);
		g_autofree char *text =
		    g_strdup_printf("HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n",
			is_good ? good[i] : odd[i - G_N_ELEMENTS(good)]);
		g_autofree char *body = NULL;
		enum http_stage stage;

		g_test_message("%s", text);
		stage = answer_stage(text, false, &body);
		g_assert_cmpint(stage, ==,
		    is_good ? HTTP_STAGE_COMPLETE : HTTP_STAGE_FAILED);
	}
}

static void
test_hops(void)
{
	static const char text[] = "GET / HTTP/1.1\r\nHost: a\r\n"
				   "Connection: close, X-Mine\r\n"
				   "X-Mine: 1\r\nX-Other: 2\r\n\r\n";
	struct body_collector g = { g_string_new(NULL) };
	struct http_reader r;

	http_reader_init(&r, true, HEAD_MAX, BODY_MAX, collect_body, &g);
	feed_in_pieces(&r, text, sizeof text - 1, 100);
	g_assert_cmpint(r.stage, ==, HTTP_STAGE_COMPLETE);
	g_assert_true(http_field_is_hop_by_hop(r.head, "x-mine"));
	g_assert_true(http_field_is_hop_by_hop(r.head, "Transfer-Encoding"));
	g_assert_false(http_field_is_hop_by_hop(r.head, "X-Other"));
	g_assert_false(r.head->keep_alive);
	http_reader_finish(&r);
	g_string_free(g.body, TRUE);
}

/* Feeds it whole and in pieces; each time it has to end so. */
static void
check_long(const GString *text, enum http_stage stage)
{
	const size_t pieces[] = { 4096, text->len };
	struct body_collector g = { g_string_new(NULL) };
	struct http_reader r;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(pieces); i++) {
		http_reader_init(
		    &r, true, HTTP_HEAD_BYTES_MAX, BODY_MAX, collect_body, &g);
		feed_in_pieces(&r, text->str, text->len, pieces[i]);
		g_assert_cmpint(r.stage, ==, stage);
		http_reader_finish(&r);
	}
	g_string_free(g.body, TRUE);
}

/* Guards against a smaller limit of the parser's than the reader was given. */
static void
test_longest_head(void)
{
	static const char start[] = "GET / HTTP/1.1\r\nHost: h\r\nX: ";
	g_autoptr(GString) text = g_string_new(start);
	size_t most = HTTP_HEAD_BYTES_MAX - strlen("\r\n\r\n");

	while (text->len < most)
		g_string_append_c(text, 'v');
	g_string_append(text, "\r\n\r\n");
	check_long(text, HTTP_STAGE_COMPLETE);
	g_string_insert_c(text, (gssize)strlen(start), 'v');
	check_long(text, HTTP_STAGE_FAILED);
}

/* Guards against fields after a body without an end. */
static void
test_long_trailer(void)
{
	g_autoptr(GString) text =
	    g_string_new("POST / HTTP/1.1\r\nHost: h\r\n"
			 "Transfer-Encoding: chunked\r\n\r\n0\r\n");

	while (text->len < 2 * HTTP_HEAD_BYTES_MAX)
		g_string_append(text, "X: some value\r\n");
	check_long(text, HTTP_STAGE_FAILED);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-message/smuggling", test_smuggling);
	g_test_add_func("/http-message/connect", test_connect);
	g_test_add_func("/http-message/upgrade", test_upgrade);
	g_test_add_func("/http-message/heads", test_heads);
	g_test_add_func("/http-message/bounds", test_bounds);
	g_test_add_func("/http-message/empty-lines", test_empty_lines);
	g_test_add_func("/http-message/pipeline", test_pipeline);
	g_test_add_func("/http-message/ends", test_ends);
	g_test_add_func("/http-message/answer-framing", test_answer_framing);
	g_test_add_func("/http-message/statuses", test_statuses);
	g_test_add_func("/http-message/hops", test_hops);
	g_test_add_func("/http-message/longest-head", test_longest_head);
	g_test_add_func("/http-message/long-trailer", test_long_trailer);
	return g_test_run();
}
