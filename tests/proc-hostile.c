/*
 * What strangers and careless clients send: each gets a truthful error or
 * nothing, and the callers beside them are served.
 */

#include "util-nodes.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define IDLE_CONNECTIONS 600
#define RESTING 80
#define RESTING_BYTES 900000
#define CHAT "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
#define KEY "Authorization: Bearer " NODES_KEY "\r\n"

static const struct nodes_config small = { .nodes = 1,
	.engines = 1,
	.settings = "leave_grace_ms: 500\nlimits: {body_bytes: 65536}\n" };

static void
assert_serves(struct nodes *s, const char *user)
{
	struct caller c;

	caller_ask(&c, s->entries[0].caller, user, 5);
	caller_run(&c);
	caller_assert_whole(&c, 5);
	caller_finish(&c);
}

/* Send it all; the answer begins with this status, or there is none for 0. */
static void
assert_status(struct nodes *s, const char *request, unsigned int status)
{
	g_autofree char *want = g_strdup_printf("HTTP/1.1 %u ", status);
	g_autofree char *text = NULL;
	int fd = raw_connect(s->entries[0].caller);

	raw_write(fd, request);
	text = raw_read(fd, "\r\n\r\n", 5000);
	close(fd);
	g_test_message("%.40s: %.60s", request, text);
	if (status != 0)
		g_assert_true(g_str_has_prefix(text, want));
}

static char *
request_with_body(const char *body)
{
	return g_strdup_printf(
	    CHAT KEY "Content-Length: %zu\r\n\r\n%s", strlen(body), body);
}

static void
assert_body_status(struct nodes *s, const char *body, unsigned int status)
{
	g_autofree char *request = request_with_body(body);

	assert_status(s, request, status);
}

static void
test_bodies(void)
{
	/*
	 * Clients send too much, no JSON, JSON of the wrong shape, and half a
	 * body. Each hears what is wrong (413, 400); no engine hears of it.
	 */
	g_autofree char *large = g_strnfill(70000, 'x');
	struct nodes s;

	nodes_up(&s, &small);
	assert_body_status(&s, large, 413);
	assert_body_status(&s, "", 400);
	assert_body_status(&s, "{", 400);
	assert_body_status(&s, "[1,2]", 400);
	assert_body_status(&s, "{\"model\":7}", 400);
	assert_body_status(&s, "{\"model\":\"no-such\"}", 404);
	assert_status(&s, CHAT KEY "Content-Length: 100\r\n\r\n{", 0);
	assert_status(&s, CHAT KEY "Content-Length: x\r\n\r\n{}", 400);
	assert_serves(&s, "after-bodies");
	g_assert_cmpint(nodes_engine_sum(&s, "executed"), ==, 1);
	nodes_finish(&s);
}

/* Bodies that are nearly whole, and rest, take the node's memory. */
static void
test_resting_bodies(void)
{
	static const struct nodes_config little = { .nodes = 1,
		.engines = 1,
		.settings = "leave_grace_ms: 500\n"
			    "limits: {body_bytes: 1048576, memory_mb: 32}\n" };
	g_autofree char *body = g_strnfill(RESTING_BYTES, 'x');
	g_autofree char *request = g_strdup_printf(
	    CHAT KEY "Content-Length: %d\r\n\r\n%s", RESTING_BYTES + 1, body);
	unsigned int i, refused = 0;
	int fds[RESTING];
	struct nodes s;

	nodes_up(&s, &little);
	for (i = 0; i < RESTING; i++) {
		fds[i] = raw_connect(s.entries[0].caller);
		raw_write(fds[i], request);
	}
	assert_serves(&s, "beside-resting-bodies");
	for (i = 0; i < RESTING; i++) {
		g_autofree char *answer = NULL;

		raw_write(fds[i], "x");
		answer = raw_read(fds[i], "\r\n\r\n", 5000);
		refused += g_str_has_prefix(answer, "HTTP/1.1 503");
		close(fds[i]);
	}
	/* Those that did not fit into half of the memory. */
	g_assert_cmpuint(refused, >=, RESTING - (16 << 20) / RESTING_BYTES);
	g_assert_cmpuint(refused, <, RESTING);
	assert_serves(&s, "after-resting-bodies");
	nodes_finish(&s);
}

/* Guards against a request in the body of CONNECT that engines execute. */
static void
test_connect(void)
{
	g_autofree char *hidden =
	    request_with_body("{\"model\":\"tanker-planner\"}");
	g_autofree char *request = NULL, *text = NULL;
	struct nodes s;
	int fd;

	nodes_up(&s, &small);
	request = g_strdup_printf(
	    "CONNECT /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" KEY
	    "Content-Length: %zu\r\n\r\n%s",
	    strlen(hidden), hidden);
	fd = raw_connect(s.entries[0].caller);
	raw_write(fd, request);
	text = raw_read(fd, "\r\n\r\n", 5000);
	g_test_message("%s", text);
	g_assert_true(g_str_has_prefix(text, "HTTP/1.1 405 "));
	assert_serves(&s, "after-connect");
	close(fd);
	g_assert_cmpint(nodes_engine_sum(&s, "executed"), ==, 1);
	nodes_finish(&s);
}

static void
test_keys(void)
{
	/*
	 * Somebody tries without a key, with a wrong one, with another scheme
	 * (401), and with a forged ticket (403). Nothing is run for any of
	 * them.
	 */
	static const char body[] = "{\"model\":\"tanker-planner\"}";
	static const char *const lines[] = { "", "Authorization: Bearer x\r\n",
		"Authorization: Bearer key-seyra-offic\r\n",
		"Authorization: Basic eDp5\r\n" };
	g_autofree char *forged = NULL;
	char *request;
	struct nodes s;
	unsigned int i;

	nodes_up(&s, &small);
	for (i = 0; i < G_N_ELEMENTS(lines); i++) {
		request =
		    g_strdup_printf(CHAT "%sContent-Length: %zu\r\n\r\n%s",
			lines[i], strlen(body), body);
		assert_status(&s, request, 401);
		g_free(request);
	}
	forged = g_strdup_printf(CHAT KEY
	    "Savorypier-Ticket: AAAA\r\nContent-Length: %zu\r\n\r\n%s",
	    strlen(body), body);
	assert_status(&s, forged, 403);
	g_assert_cmpint(nodes_engine_sum(&s, "executed"), ==, 0);
	nodes_finish(&s);
}

static void
test_large_header(void)
{
	/* A header larger than a connection's memory: 431, and no crash. */
	g_autofree char *large = g_strnfill(100000, 'h');
	g_autofree char *request = NULL;
	struct nodes s;

	nodes_up(&s, &small);
	request = g_strdup_printf("GET /v1/models HTTP/1.1\r\nHost: x\r\n"
				  "X-Large: %s\r\n\r\n",
	    large);
	assert_status(&s, request, 431);
	assert_serves(&s, "after-header");
	nodes_finish(&s);
}

static void
test_idle_connections(void)
{
	/*
	 * Hundreds of connections are opened; most say nothing, some send a
	 * header at a crawl. Others are served beside them, and a stop isn't
	 * held up by them.
	 */
	struct nodes s;
	int fd[IDLE_CONNECTIONS];
	unsigned int i;

	nodes_up(&s, &small);
	for (i = 0; i < IDLE_CONNECTIONS; i++) {
		fd[i] = raw_connect(s.entries[0].caller);
		if (i % 3 == 0)
			raw_write(fd[i], CHAT "X-Slow: ");
	}
	assert_serves(&s, "beside-idle");
	for (i = 0; i < IDLE_CONNECTIONS; i += 3)
		raw_write(fd[i], "a");
	proc_signal(&s.entries[0].proc, SIGTERM);
	g_assert_cmpint(proc_wait(&s.entries[0].proc, PROC_STOP_MS), ==, 0);
	for (i = 0; i < IDLE_CONNECTIONS; i++)
		close(fd[i]);
	nodes_finish(&s);
}

static void
test_kept_connection_leaving(void)
{
	/*
	 * A client keeps a connection; its VM begins to leave. A request on
	 * the kept connection after the grace hears "not-run", where else to
	 * ask, and that the connection closes.
	 */
	static const char body[] = "{\"model\":\"tanker-planner\"}";
	const struct nodes_config config = {
		.nodes = 2, .engines = 1, .settings = "leave_grace_ms: 500\n"
	};
	g_autofree char *request = request_with_body(body);
	g_autofree char *text = NULL, *alternate = NULL;
	struct nodes s;
	struct caller hold;
	int fd;

	nodes_up(&s, &config);
	alternate = g_strdup_printf(
	    "Savorypier-Alternates: 127.0.0.1:%u\r\n", s.entries[1].caller);
	caller_ask(&hold, s.entries[0].caller, "hold", 800);
	caller_start(&hold);
	caller_wait_bytes(&hold, 100);
	fd = raw_connect(s.entries[0].caller);
	raw_write(fd, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
	g_free(raw_read(fd, "live", 5000));
	proc_signal(&s.entries[0].proc, SIGTERM);
	g_usleep(1000 * 1000);
	raw_write(fd, request);
	text = raw_read(fd, "}}", 5000);
	g_test_message("%s", text);
	g_assert_true(g_str_has_prefix(text, "HTTP/1.1 503 "));
	g_assert_nonnull(strstr(text, "Savorypier-Outcome: not-run\r\n"));
	g_assert_nonnull(strstr(text, "Connection: close\r\n"));
	g_assert_nonnull(strstr(text, alternate));
	close(fd);
	caller_wait(&hold);
	caller_assert_whole(&hold, 800);
	caller_finish(&hold);
	g_assert_cmpint(proc_wait(&s.entries[0].proc, PROC_STOP_MS), ==, 0);
	nodes_finish(&s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/hostile/bodies", test_bodies);
	g_test_add_func("/hostile/resting-bodies", test_resting_bodies);
	g_test_add_func("/hostile/connect", test_connect);
	g_test_add_func("/hostile/keys", test_keys);
	g_test_add_func("/hostile/large-header", test_large_header);
	g_test_add_func("/hostile/idle-connections", test_idle_connections);
	g_test_add_func(
	    "/hostile/kept-connection-leaving", test_kept_connection_leaving);
	return g_test_run();
}
