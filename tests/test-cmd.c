/*
 * The command-line tool without its I/O: command lines, verdicts on edits and
 * their exit codes, diffs, combined reports of nodes, streams and metrics.
 */

#include "cmd.h"
#include "log-record.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#define FLAGS ARGP_SILENT

#define DOC(rest)                                                            \
	"service: s\nkind: plain\nclasses: [{name: c, tier: 0}]\n"           \
	"organisations: [{name: a, key_sha256: "                             \
	"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef}]" \
	"\n" rest

/* Parses a command line given as one string. */
static bool
parse(struct cmd *c, const char *line)
{
	g_auto(GStrv) argv = g_strsplit(line, " ", -1);
	bool ok = cmd_parse(c, (int)g_strv_length(argv), argv, FLAGS);
	unsigned int i;

	/* The parsed command points into argv, so argv is kept for the test. */
	for (i = 0; i < c->nargs; i++)
		c->args[i] = g_intern_string(c->args[i]);
	for (i = 0; i < CMD_OPTIONS_MAX; i++)
		c->values[i] = g_intern_string(c->values[i]);
	c->log_url = g_intern_string(c->log_url);
	c->control = g_intern_string(c->control);
	return ok;
}

/* Parses a command line that must be valid. */
static void
parse_good(struct cmd *c, const char *line)
{
	bool ok = parse(c, line);

	g_assert_true(ok);
}

static void
test_command_line(void)
{
	struct cmd c;

	parse_good(&c, "savorypier --log http://l publish f.yaml "
		       "--base 17 --json --by me");
	g_assert_cmpstr(c.entry->name, ==, "publish");
	g_assert_cmpstr(c.args[0], ==, "f.yaml");
	g_assert_cmpuint(c.nargs, ==, 1);
	g_assert_cmpuint(cmd_number(&c, "base", 0), ==, 17);
	g_assert_cmpstr(cmd_value(&c, "by"), ==, "me");
	g_assert_null(cmd_value(&c, "id"));
	g_assert_cmpstr(c.log_url, ==, "http://l");
	g_assert_true(c.json);
	parse_good(&c, "savorypier diff s 1 2 --log http://m");
	g_assert_cmpuint(c.nargs, ==, 3);
	g_assert_cmpstr(c.log_url, ==, "http://m");
	g_assert_false(c.json);
	parse_good(&c, "savorypier send --not-repeatable -- --x");
	g_assert_cmpstr(c.args[0], ==, "--x");
	g_assert_nonnull(cmd_value(&c, "not-repeatable"));
}

static void
test_bad_command_line(void)
{
	static const char *const lines[] = { "savorypier", "savorypier nothing",
		"savorypier publish", "savorypier publish a b",
		"savorypier publish a --base x",
		"savorypier publish a --base -1", "savorypier --what status",
		"savorypier status --what", "savorypier status node",
		"savorypier diff s 1" };
	struct cmd c;
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(lines); i++) {
		if (parse(&c, lines[i]))
			g_error("parsed: %s", lines[i]);
	}
}

static void
test_environment(void)
{
	struct cmd c;

	g_setenv("SAVORYPIER_LOG", "http://env", TRUE);
	g_setenv("SAVORYPIER_CONTROL", "127.0.0.1:1", TRUE);
	parse_good(&c, "savorypier status");
	g_assert_cmpstr(c.log_url, ==, "http://env");
	g_assert_cmpstr(c.control, ==, "127.0.0.1:1");
	parse_good(&c, "savorypier --log http://arg status");
	g_assert_cmpstr(c.log_url, ==, "http://arg");
	g_unsetenv("SAVORYPIER_LOG");
	g_unsetenv("SAVORYPIER_CONTROL");
}

static void
edit(struct edits *e, uint64_t offset, uint64_t base, const char *by,
    const char *text, const char *id)
{
	char *record = doc_edit_encode("s", base, by, text, id);

	edits_apply(e, offset, 1000, record, strlen(record));
	free(record);
}

static void
test_verdicts(void)
{
	/*
	 * Two operators edit version 1 at the same moment. Both appends
	 * succeed; the order in the log decides which wins. The tool of the
	 * other one must print "conflict", show the winning edit, and do the
	 * same when the publication is tried again with its id.
	 */
	char a[LOG_ID_SIZE], b[LOG_ID_SIZE], c[LOG_ID_SIZE], d[LOG_ID_SIZE];
	struct edits e;

	log_id_make(a);
	log_id_make(b);
	log_id_make(c);
	log_id_make(d);
	edits_init(&e);
	edit(&e, 1, 0, "anna", DOC(""), a);
	edit(&e, 2, 1, "bjork", DOC("# b\n"), b);
	edit(&e, 3, 1, "carl", DOC("# c\n"), c);
	edit(&e, 4, 2, "carl", DOC("nonsense: 1\n"), d);
	edit(&e, 5, 1, "carl", DOC("# c\n"), c);
	g_assert_cmpint(publish_retval(edits_find_id(&e, a)->verdict), ==, 0);
	g_assert_cmpint(publish_retval(edits_find_id(&e, b)->verdict), ==, 0);
	g_assert_cmpint(publish_retval(edits_find_id(&e, c)->verdict), ==, 3);
	g_assert_cmpint(publish_retval(edits_find_id(&e, d)->verdict), ==, 1);
	g_assert_cmpuint(edits_find_id(&e, c)->offset, ==, 3);
	g_assert_cmpuint(doc_fold_find(&e.fold, "s")->version, ==, 2);
	g_assert_cmpstr(edits_text(&e, "s", 1), ==, DOC(""));
	g_assert_cmpstr(edits_text(&e, "s", 2), ==, DOC("# b\n"));
	g_assert_null(edits_text(&e, "t", 2));
	edits_finish(&e);
}

static void
test_verdict_of_aged_log(void)
{
	/*
	 * The log dropped the edit in force before a checkpoint followed, and
	 * an operator publishes. The log no longer shows whether the base was
	 * in force, so the result is "unknown", not "accepted".
	 */
	char id[LOG_ID_SIZE];
	struct edits e;

	log_id_make(id);
	edits_init(&e);
	edit(&e, 7, 3, "anna", DOC(""), id);
	g_assert_cmpint(
	    publish_retval(edits_find_id(&e, id)->verdict), ==, CMD_UNKNOWN);
	edits_finish(&e);
}

static void
check_diff(const char *a, const char *b, const char *want)
{
	g_autofree char *got = text_diff(a, b, "A", "B");

	g_assert_cmpstr(got, ==, want);
}

static void
test_diff(void)
{
	check_diff("a\nb\n", "a\nb\n", "");
	check_diff("", "a\n", "--- A\n+++ B\n@@ -0,0 +1,1 @@\n+a\n");
	check_diff("a\n", "", "--- A\n+++ B\n@@ -1,1 +0,0 @@\n-a\n");
	check_diff("a\nb\nc\n", "a\nx\nc\n",
	    "--- A\n+++ B\n@@ -1,3 +1,3 @@\n a\n-b\n+x\n c\n");
	check_diff("1\n2\n3\n4\n5\n6\n7\n8\n9\n", "0\n1\n2\n3\n4\n5\n6\n7\n8\n",
	    "--- A\n+++ B\n@@ -1,3 +1,4 @@\n+0\n 1\n 2\n 3\n"
	    "@@ -6,4 +7,3 @@\n 6\n 7\n 8\n-9\n");
}

/* Returns the '-' or the '+' side of a diff with full context. */
static char *
diff_side(const char *diff, char sign)
{
	g_auto(GStrv) lines = g_strsplit(diff, "\n", -1);
	GString *s = g_string_new(NULL);
	unsigned int i;

	/* Equal texts have no diff, not even its two header lines. */
	for (i = 2; i < g_strv_length(lines); i++) {
		if (*lines[i] == ' ' || *lines[i] == sign)
			g_string_append_printf(s, "%s\n", lines[i] + 1);
	}
	return g_string_free(s, FALSE);
}

/* The diff of any two short texts contains both. */
static void
test_diff_random(void)
{
	unsigned int i, j;
	GString *a = g_string_new(NULL), *b = g_string_new(NULL);

	for (i = 0; i < 5000; i++) {
		g_string_truncate(a, 0);
		g_string_truncate(b, 0);
		for (j = 0; j < 8; j++) {
			g_string_append(a, g_test_rand_bit() ? "x\n" : "y\n");
			g_string_append(b, g_test_rand_bit() ? "x\n" : "z\n");
		}
		g_autofree char *diff = text_diff(a->str, b->str, "A", "B");
		g_autofree char *old = diff_side(diff, '-');
		g_autofree char *new = diff_side(diff, '+');
		if (*diff == '\0')
			continue;
		/* Common lines far from a change are left out at the ends. */
		g_assert_nonnull(strstr(a->str, old));
		g_assert_nonnull(strstr(b->str, new));
	}
	g_string_free(a, TRUE);
	g_string_free(b, TRUE);
}

static void
test_diff_large(void)
{
	GString *a = g_string_new(NULL), *b = g_string_new(NULL);
	unsigned int i;

	for (i = 0; i < 3000; i++) {
		g_string_append_printf(a, "a%u\n", i);
		g_string_append_printf(b, "b%u\n", i);
	}
	g_autofree char *diff = text_diff(a->str, b->str, "A", "B");
	g_autofree char *new = diff_side(diff, '+');
	g_assert_cmpstr(new, ==, b->str);
	g_string_free(a, TRUE);
	g_string_free(b, TRUE);
}

static void
test_in_force(void)
{
	/*
	 * A document was accepted as version 9. One node still has 7, one does
	 * not answer and one is dead: "in force on 1 of 3", and the two that
	 * lag are named. The dead one does not count.
	 */
	g_autofree char *text = NULL;
	json_t *members, *statuses, *lines;

	members = json_loads("[{\"name\": \"a\", \"state\": \"alive\"},"
			     " {\"name\": \"b\", \"state\": \"alive\"},"
			     " {\"name\": \"c\", \"state\": \"suspect\"},"
			     " {\"name\": \"d\", \"state\": \"dead\"}]",
	    0, NULL);
	statuses = json_loads(
	    "{\"a\": {\"documents\": [{\"service\": \"s\", \"version\": 9}]},"
	    " \"b\": {\"documents\": [{\"service\": \"s\", \"version\": 7}]}}",
	    0, NULL);
	lines = status_documents(members, statuses);
	text = json_dumps(lines, JSON_COMPACT | JSON_SORT_KEYS);
	g_assert_cmpstr(text, ==,
	    "[{\"behind\":[\"b\",\"c\"],\"in_force\":1,\"of\":3,"
	    "\"service\":\"s\",\"version\":9}]");
	json_decref(lines);
	json_decref(statuses);
	json_decref(members);
}

static void
test_check_kind(void)
{
	g_assert_true(check_is_settings("node: a\n"));
	g_assert_true(check_is_settings("# x\nlisten: {}\n"));
	g_assert_false(check_is_settings("service: s\n"));
	g_assert_false(check_is_settings("# x\nkind: plain\nservice: s\n"));
	g_assert_false(check_is_settings(""));
}

static void
token_append(void *arg, const char *text)
{
	g_string_append(arg, text);
}

/*
 * Reads an answer in pieces of `step` bytes; returns the exit code and the
 * text.
 */
static enum cmd_retval
stream(const char *headers, const char *body, long status, size_t step,
    const char *want)
{
	GString *got = g_string_new(NULL);
	g_auto(GStrv) lines = g_strsplit(headers, "|", -1);
	struct send_stream s;
	enum cmd_retval retval;
	size_t i, n = strlen(body);

	send_stream_init(&s, token_append, got);
	for (i = 0; lines[i] != NULL; i++)
		send_stream_header(&s, lines[i], strlen(lines[i]));
	for (i = 0; i < n; i += step)
		send_stream_body(&s, body + i, MIN(step, n - i));
	if (status != 0)
		send_stream_end(&s);
	retval = send_retval(&s, status);
	g_assert_cmpstr(got->str, ==, want);
	send_stream_finish(&s);
	g_string_free(got, TRUE);
	return retval;
}

#define EVENTS "Content-Type: text/event-stream\r\n"
#define TOKEN(t) "data: {\"choices\":[{\"delta\":{\"content\":\"" t "\"}}]}\n\n"

static void
test_send(void)
{
	/*
	 * An answer breaks off after two tokens: the connection closes before
	 * the last event. The part received looks like a short answer; the
	 * result must be "unknown", and "ran" only for a complete answer.
	 */
	static const char whole[] = TOKEN("a ") TOKEN("b ") "data: [DONE]\n\n";
	static const char broken[] = TOKEN("a ") TOKEN("b ");
	static const char error[] =
	    TOKEN("a ") "data: {\"error\":{\"message\":\"engine lost\"},"
			"\"outcome\":\"unknown\"}\n\n";
	size_t step;

	for (step = 1; step < 80; step += 13) {
		g_assert_cmpint(
		    stream(EVENTS, whole, 200, step, "a b "), ==, CMD_OK);
		g_assert_cmpint(
		    stream(EVENTS, broken, 200, step, "a b "), ==, CMD_UNKNOWN);
		g_assert_cmpint(
		    stream(EVENTS, broken, 0, step, "a b "), ==, CMD_UNKNOWN);
		g_assert_cmpint(
		    stream(EVENTS, error, 200, step, "a "), ==, CMD_UNKNOWN);
	}
	g_assert_cmpint(stream(EVENTS "|savorypier-outcome: ran\r\n", whole,
			    200, 9, "a b "),
	    ==, CMD_OK);
	g_assert_cmpint(stream("Savorypier-Outcome: not-run\r\n",
			    "{\"error\":{\"message\":\"full\"}}", 503, 9, ""),
	    ==, CMD_NOT_RUN);
	g_assert_cmpint(
	    stream("X: y\r\n", "{\"error\":{}}", 401, 9, ""), ==, CMD_REFUSED);
	g_assert_cmpint(stream("Content-Type: application/json\r\n",
			    "{\"choices\":[{\"message\":"
			    "{\"content\":\"hi\"}}]}",
			    200, 5, "hi"),
	    ==, CMD_OK);
	g_assert_cmpint(
	    stream("X: y\r\n", "plain", 200, 2, "plain"), ==, CMD_OK);
	g_assert_cmpint(stream("X: y\r\n", "", 0, 1, ""), ==, CMD_UNKNOWN);
}

/* A request that was not run, with no reason given. */
static void
test_send_code(void)
{
	static const char *const bodies[] = {
		"{\"error\":{\"code\":\"hopeless\",\"message\":\"no\"}}",
		"{\"outcome\":\"not-run\",\"code\":\"hopeless\"}",
	};
	struct send_stream s;
	GString *got;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bodies); i++) {
		got = g_string_new(NULL);
		send_stream_init(&s, token_append, got);
		s.is_events = i == 1;
		if (s.is_events)
			send_stream_body(&s, "data: ", 6);
		send_stream_body(&s, bodies[i], strlen(bodies[i]));
		send_stream_body(&s, "\n\n", 2);
		send_stream_end(&s);
		g_assert_cmpstr(s.code, ==, "hopeless");
		send_stream_finish(&s);
		g_string_free(got, TRUE);
	}
}

static void
test_top(void)
{
	static const char before[] =
	    "# HELP x\n"
	    "savory_requests_total{service=\"s\",class=\"c\",outcome=\"ran\"} "
	    "10\n"
	    "savory_first_token_ms_bucket{service=\"s\",class=\"c\",le=\"50\"} "
	    "10\n"
	    "savory_first_token_ms_bucket{service=\"s\",class=\"c\","
	    "le=\"+Inf\"} 10\n";
	static const char now[] =
	    "savory_requests_total{outcome=\"ran\",class=\"c\",service=\"s\"} "
	    "30\n"
	    "savory_requests_total{service=\"s\",class=\"c\","
	    "outcome=\"not-run\"} 4\n"
	    "savory_first_token_ms_bucket{service=\"s\",class=\"c\",le=\"50\"} "
	    "21\n"
	    "savory_first_token_ms_bucket{service=\"s\",class=\"c\","
	    "le=\"100\"} 29\n"
	    "savory_first_token_ms_bucket{service=\"s\",class=\"c\","
	    "le=\"+Inf\"} 30\n"
	    "savory_requests_total{service=\"s\"} 1\nbad{ 1\nbad} 2\n";
	struct top a, b;

	top_init(&a);
	top_init(&b);
	top_add(&a, before);
	top_add(&b, now);
	g_autofree char *table = top_table(&b, &a, 2000);
	g_auto(GStrv) lines = g_strsplit(table, "\n", -1);
	g_assert_cmpstr(lines[1], ==,
	    "s                    c                         10.0       2.0"
	    "       0.0       50      100");
	g_assert_cmpstr(lines[2], ==, "");
	top_finish(&a);
	top_finish(&b);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cmd/command-line", test_command_line);
	g_test_add_func("/cmd/bad-command-line", test_bad_command_line);
	g_test_add_func("/cmd/environment", test_environment);
	g_test_add_func("/cmd/verdicts", test_verdicts);
	g_test_add_func("/cmd/verdict-of-aged-log", test_verdict_of_aged_log);
	g_test_add_func("/cmd/diff", test_diff);
	g_test_add_func("/cmd/diff-random", test_diff_random);
	g_test_add_func("/cmd/diff-large", test_diff_large);
	g_test_add_func("/cmd/in-force", test_in_force);
	g_test_add_func("/cmd/check-kind", test_check_kind);
	g_test_add_func("/cmd/send", test_send);
	g_test_add_func("/cmd/send-code", test_send_code);
	g_test_add_func("/cmd/top", test_top);
	return g_test_run();
}
