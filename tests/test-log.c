/* Log lines in both formats, as written to standard error. */

#define LOG_PART "part"
#include "savory.h"

#include <string.h>
#include <unistd.h>

#include <glib/gstdio.h>
#include <jansson.h>

/* Runs `emit` with standard error redirected to a file; returns the output. */
static char *
capture_stderr(void (*emit)(void), bool json)
{
	g_autofree char *name = NULL;
	char *text = NULL;
	int fd, saved;

	fd = g_file_open_tmp("savory-log-XXXXXX", &name, NULL);
	g_assert_cmpint(fd, !=, -1);
	fflush(stderr);
	saved = dup(STDERR_FILENO);
	g_assert_cmpint(dup2(fd, STDERR_FILENO), !=, -1);
	log_open("info", json);
	emit();
	fflush(stderr);
	g_assert_cmpint(dup2(saved, STDERR_FILENO), !=, -1);
	close(saved);
	close(fd);
	g_assert_true(g_file_get_contents(name, &text, NULL, NULL));
	g_assert_no_errno(g_unlink(name));
	return text;
}

static void
assert_member(json_t *o, const char *key, const char *value)
{
	g_assert_cmpstr(json_string_value(json_object_get(o, key)), ==, value);
}

/* Checks that the text is one line of valid JSON, and parses it. */
static json_t *
json_line(const char *text)
{
	json_t *o;

	g_assert_nonnull(strchr(text, '\n'));
	g_assert_cmpint(strchr(text, '\n')[1], ==, '\0');
	o = json_loads(text, 0, NULL);
	if (o == NULL)
		g_error("not JSON: %s", text);
	return o;
}

static void
emit_node(void)
{
	log_info_of(LOG_NODE, "entry-2", "%s is gone", "entry-2");
	log_debug("not shown");
}

/* The name of a message's subject is found without parsing the message. */
static void
test_fields(void)
{
	g_autofree char *text = capture_stderr(emit_node, true);
	json_t *o = json_line(text);

	assert_member(o, "part", "part");
	assert_member(o, "level", "info");
	assert_member(o, "message", "entry-2 is gone");
	assert_member(o, "node", "entry-2");
	g_assert_true(json_is_integer(json_object_get(o, "time_ms")));
	g_assert_cmpuint(json_object_size(o), ==, 5);
	json_decref(o);
}

static void
test_text(void)
{
	g_autofree char *text = capture_stderr(emit_node, false);

	g_assert_cmpstr(text, ==, "part: entry-2 is gone\n");
}

static void
emit_odd(void)
{
	log_info("%s", "Höfði \"quoted\" \\ \x01 \t\nline");
}

/*
 * A log collector dropped lines as malformed: they quoted an engine's reply
 * with an umlaut or a control character, which were written as \303 or \001,
 * escapes of C that JSON does not have.
 */
static void
test_escapes(void)
{
	g_autofree char *text = capture_stderr(emit_odd, true);
	json_t *o = json_line(text);

	assert_member(o, "message", "Höfði \"quoted\" \\ \x01 \t\nline");
	json_decref(o);
}

static void
emit_invalid(void)
{
	log_info("cut in a character: %s", "H\xc3");
}

/* Bytes that are not UTF-8 are replaced, and the line is kept. */
static void
test_invalid(void)
{
	g_autofree char *text = capture_stderr(emit_invalid, true);
	json_t *o = json_line(text);

	assert_member(o, "message", "cut in a character: H\xef\xbf\xbd");
	json_decref(o);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/log/fields", test_fields);
	g_test_add_func("/log/text", test_text);
	g_test_add_func("/log/escapes", test_escapes);
	g_test_add_func("/log/invalid", test_invalid);
	return g_test_run();
}
