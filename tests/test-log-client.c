/*
 * The log's client without a log: decoding of answers, classification of
 * errors, and the daemon's thread when no server is listening.
 */

#define LOG_PART "test"
#include "log-http.h"
#include "log-record.h"

#include <sys/socket.h>

#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* A socket bound but not listening: connections to it are refused. */
static int
closed_port(char **base)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t n = sizeof sin;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&sin, n), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)&sin, &n), ==, 0);
	*base = g_strdup_printf("http://127.0.0.1:%u", ntohs(sin.sin_port));
	return fd;
}

static struct log_event *
event_wait(struct ring *r, msec timeout)
{
	struct pollfd pfd = { .fd = r->wake_fd, .events = POLLIN };
	msec until = msec_now() + timeout;
	struct log_event *e;

	while ((e = ring_get(r)) == NULL && msec_now() < until) {
		poll(&pfd, 1, (int)(until - msec_now()));
		ring_clear_wake(r);
	}
	return e;
}

static void
test_record(void)
{
	char id[LOG_ID_SIZE], *text;
	uint64_t n = 0;
	json_t *o;

	log_id_make(id);
	g_assert_true(log_id_valid(id));
	g_assert_false(log_id_valid("x"));
	o = log_record_new("doc-edit", id);
	log_record_set_hex(o, "hash", UINT64_MAX);
	text = log_record_encode(o);
	o = log_record_decode(text, strlen(text));
	g_assert_cmpstr(log_record_kind(o), ==, "doc-edit");
	g_assert_cmpstr(log_record_id(o), ==, id);
	g_assert_true(log_record_hex(o, "hash", &n));
	g_assert_cmpuint(n, ==, UINT64_MAX);
	json_decref(o);
	free(text);
	o = log_record_new("doc-edit", id);
	text = g_strnfill(LOG_RECORD_BYTES_MAX, 'x');
	json_object_set_new(o, "text", json_string(text));
	g_assert_null(log_record_encode(o));
	g_free(text);
}

static void
test_page(void)
{
	static const char *bad[] = { "", "[]", "{}",
		"{\"first\":0,\"next\":1,\"records\":[]}",
		"{\"first\":5,\"next\":4,\"records\":[]}",
		"{\"first\":1,\"next\":2,\"records\":[{\"offset\":1}]}",
		/* NOLINTNEXTLINE(bugprone-suspicious-missing-comma) */
		"{\"first\":1,\"next\":2,\"records\":[{\"offset\":1,"
		"\"data\":\"a\"},{\"offset\":0,\"data\":\"b\"}]}" };
	static const char good[] =
	    "{\"first\":3,\"next\":5,\"records\":[{\"offset\":4,"
	    "\"time_ms\":9,\"data\":\"abc\"}]}";
	struct log_page page;
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_false(log_page_decode(&page, bad[i], strlen(bad[i])));
	g_assert_true(log_page_decode(&page, good, strlen(good)));
	g_assert_cmpuint(page.first, ==, 3);
	g_assert_cmpuint(page.nentries, ==, 1);
	g_assert_cmpstr(page.entries[0].data, ==, "abc");
	g_assert_cmpint(page.entries[0].wall, ==, 9);
	log_page_finish(&page);
}

static void
test_unreachable(void)
{
	/*
	 * No server is listening. The result must be that certainly nothing was
	 * published, not "unknown".
	 */
	GError *e = NULL;
	char *base;
	int fd = closed_port(&base);

	g_assert_cmpuint(log_append(base, "s", "{}", 500, &e), ==, 0);
	g_assert_error(e, SAVORY_ERROR, SAVORY_ERROR_UNREACHABLE);
	g_clear_error(&e);
	g_assert_cmpuint(
	    log_append_id(base, "s", "{}", "id", 1, 300, &e), ==, 0);
	g_assert_error(e, SAVORY_ERROR, SAVORY_ERROR_UNREACHABLE);
	g_error_free(e);
	g_free(base);
	close(fd);
}

static void
test_silent(void)
{
	/*
	 * The log accepts the connection and the request but sends no answer.
	 * It may have appended, so the result is "unknown".
	 */
	GError *e = NULL;
	char *base;
	int fd = closed_port(&base);

	g_assert_cmpint(listen(fd, 8), ==, 0);
	g_assert_cmpuint(log_append(base, "s", "{}", 200, &e), ==, 0);
	g_assert_error(e, SAVORY_ERROR, SAVORY_ERROR_UNKNOWN);
	g_error_free(e);
	g_free(base);
	close(fd);
}

static void
test_io_unreachable(void)
{
	/*
	 * A daemon starts while the log is down. It reports the log as down,
	 * its append ends as certainly not made, and it stops at once although
	 * a poll and an append are in progress.
	 */
	struct ring events;
	struct log_io *io;
	struct log_event *e;
	bool down = false, failed = false;
	char *base;
	int fd = closed_port(&base);
	msec t0;

	g_assert_true(ring_init(&events, 64));
	io = log_io_start(base, &events, 10);
	log_io_follow(io, "documents", 1);
	g_assert_true(log_io_append(io, "documents", "{}", "id", 400, 7));
	while (!(down && failed) &&
	       (e = event_wait(&events, 5 * MSEC_SECOND)) != NULL) {
		down |= e->kind == LOG_EVENT_DOWN;
		failed |= e->kind == LOG_EVENT_APPEND_FAILED && e->cookie == 7;
		log_event_free(e);
	}
	g_assert_true(down && failed);
	g_assert_cmpint(listen(fd, 8), ==, 0);
	g_assert_true(log_io_append(io, "documents", "{}", "id", 9000, 8));
	g_usleep(300000);
	t0 = msec_now();
	log_io_stop(io);
	g_assert_cmpint(msec_now() - t0, <, 500);
	while ((e = ring_get(&events)) != NULL)
		log_event_free(e);
	ring_finish(&events);
	g_free(base);
	close(fd);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* The log that is down causes the warnings expected here. */
	g_log_set_always_fatal(G_LOG_FATAL_MASK);
	g_test_add_func("/log-client/record", test_record);
	g_test_add_func("/log-client/page", test_page);
	g_test_add_func("/log-client/unreachable", test_unreachable);
	g_test_add_func("/log-client/silent", test_silent);
	g_test_add_func("/log-client/io-unreachable", test_io_unreachable);
	return g_test_run();
}
