/*
 * The log of an entry VM: lines that can be parsed whatever they quote, a
 * bounded volume that drops lines on failures last, and no blocking when
 * nothing reads the output.
 */

#include "entry-log.h"

#include <fcntl.h>
#include <jansson.h>
#include <string.h>
#include <unistd.h>

static int pipe_fds[2];

static void
log_to_pipe(struct entry_log *l)
{
	g_assert_cmpint(pipe2(pipe_fds, O_NONBLOCK), ==, 0);
	entry_log_init(l, "node-1");
	l->fd = pipe_fds[1];
}

static char *
pipe_text(void)
{
	GString *s = g_string_new(NULL);
	char bytes[4096];
	ssize_t n;

	while ((n = read(pipe_fds[0], bytes, sizeof bytes)) > 0)
		g_string_append_len(s, bytes, n);
	return g_string_free(s, FALSE);
}

static void
pipe_close(struct entry_log *l)
{
	close(pipe_fds[0]);
	close(pipe_fds[1]);
	buffer_finish(&l->out);
}

static void
test_line(void)
{
	struct entry_log l;
	g_autofree char *text = NULL;
	json_t *o;

	log_to_pipe(&l);
	entry_log(&l, 0, ENTRY_LOG_NEEDED, LOG_EVENT_REFUSED,
	    LOG_TEXT(LOG_KEY_REQUEST, "a\"b\\c\n\x01\xff"),
	    LOG_NUMBER(LOG_KEY_STATUS, 503), LOG_TEXT(LOG_KEY_ROUTE, NULL));
	entry_log_flush(&l);
	text = pipe_text();
	o = json_loads(text, 0, NULL);
	g_assert_nonnull(o);
	g_assert_cmpstr(
	    json_string_value(json_object_get(o, "event")), ==, "refused");
	g_assert_cmpstr(json_string_value(json_object_get(o, "request")), ==,
	    "a\"b\\c\n\x01\xc3\xbf");
	g_assert_cmpint(
	    json_integer_value(json_object_get(o, "status")), ==, 503);
	g_assert_true(json_is_null(json_object_get(o, "route")));
	json_decref(o);
	pipe_close(&l);
}

static unsigned int
count(const char *text, const char *word)
{
	unsigned int n = 0;

	for (; (text = strstr(text, word)) != NULL; text++)
		n++;
	return n;
}

/*
 * Under load the lines on failures are kept, and the number of dropped lines is
 * logged.
 */
static void
test_volume(void)
{
	struct entry_log l;
	g_autofree char *text = NULL;
	unsigned int i;

	log_to_pipe(&l);
	for (i = 0; i < 2000; i++) {
		entry_log(&l, i / 2, ENTRY_LOG_ROUTINE, LOG_EVENT_REQUEST,
		    LOG_TEXT(LOG_KEY_OUTCOME, "served"));
		if (i % 10 == 0)
			entry_log(&l, i / 2, ENTRY_LOG_NEEDED,
			    LOG_EVENT_REQUEST,
			    LOG_TEXT(LOG_KEY_OUTCOME, "broken"));
	}
	entry_log_flush(&l);
	text = pipe_text();
	g_assert_cmpuint(count(text, "broken"), ==, 200);
	g_assert_cmpuint(count(text, "served"), <, 1000);
	g_assert_cmpuint(count(text, "log-dropped"), ==, 1);
	pipe_close(&l);
}

/* Without a reader nothing blocks, and memory stays bounded. */
static void
test_no_reader(void)
{
	struct entry_log l;
	g_autofree char *text = NULL;
	unsigned int i;

	log_to_pipe(&l);
	for (i = 0; i < 20000; i++) {
		entry_log(&l, i * 10, ENTRY_LOG_NEEDED, LOG_EVENT_REQUEST,
		    LOG_TEXT(LOG_KEY_OUTCOME, "broken"));
		entry_log_flush(&l);
	}
	g_assert_cmpuint(l.dropped, >, 0);
	g_assert_cmpuint(l.out.size, <, 512 * 1024);
	/*
	 * The reader is back and gets the rest, with the number of dropped
	 * lines.
	 */
	do {
		g_free(text);
		text = pipe_text();
		entry_log_flush(&l);
	} while (count(text, "log-dropped") == 0 && *text != '\0');
	g_assert_cmpuint(count(text, "log-dropped"), ==, 1);
	pipe_close(&l);
}

/* Every event and key has a description. */
static void
test_descriptions(void)
{
	unsigned int i;

	for (i = 0; i < LOG_EVENTS; i++) {
		g_assert_nonnull(entry_log_events[i].name);
		g_assert_nonnull(entry_log_events[i].meaning);
	}
	for (i = 0; i < LOG_KEYS; i++) {
		g_assert_nonnull(entry_log_keys[i].name);
		g_assert_nonnull(entry_log_keys[i].meaning);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry-log/line", test_line);
	g_test_add_func("/entry-log/volume", test_volume);
	g_test_add_func("/entry-log/no-reader", test_no_reader);
	g_test_add_func("/entry-log/words", test_descriptions);
	return g_test_run();
}
