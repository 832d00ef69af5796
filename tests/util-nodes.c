/*
 * A small system for process tests; see util-nodes.h.
 */

#define LOG_PART "test"
#include "util-nodes.h"
#include "util-tool.h"

#include <sys/socket.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <inttypes.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>
#include <xxhash.h>

#define NODES_POLL_US 20000
#define NODES_DOCUMENTS 2
#define NODES_SERVICE "planner-llm"
#define NODES_MODEL "tanker-planner@2026-11"
/* Quote, 8 digits, space. */
#define TOKEN_TEXT 10
#define CALLER_TIMEOUT_MS 60000L

static void
server_start(struct nodes_server *s, const char *name, bool proxied,
    const char *program, const char *const *args)
{
	g_strlcpy(s->name, name, sizeof s->name);
	proc_start_argv(&s->proc, program, args);
	s->port = s->proc.port;
	if (!proxied)
		return;
	s->proxy = proxy_start(PROXY_TCP, s->proc.port, 1);
	s->port = proxy_port(s->proxy);
}

static void
server_finish(struct nodes_server *s)
{
	if (s->proc.pid != 0) {
		proc_resume(&s->proc);
		proc_kill(&s->proc);
	}
	if (s->proxy != NULL)
		proxy_stop(s->proxy);
}

static void
vm_put(struct nodes *s, const char *name, const char *kind, const char *service,
    unsigned int port, const char *state)
{
	g_autofree char *path = g_strdup_printf("/v1/vms/%s", name);
	g_autofree char *body = g_strdup_printf(
	    "{\"name\":\"%s\",\"kind\":\"%s\"%s%s%s,\"domain\":\"hall-grandi\","
	    "\"state\":\"%s\",\"address\":\"127.0.0.1:%u\"}",
	    name, kind, *service != '\0' ? ",\"service\":\"" : "", service,
	    *service != '\0' ? "\"" : "", state, port);
	struct http_reply r;

	http_call(&r, "PUT", s->list.proc.port, path, body, NULL);
	g_assert_cmpint(r.status, ==, 200);
	http_reply_free(&r);
}

void
nodes_vm_entry(struct nodes *s, unsigned int i, const char *state)
{
	struct nodes_entry *e = &s->entries[i];

	vm_put(s, e->name, "entry", "", e->peer, state);
}

void
nodes_vm_engine(struct nodes *s, unsigned int i, const char *state)
{
	struct nodes_server *e = &s->engines[i];

	vm_put(s, e->name, "engine", NODES_SERVICE, e->port, state);
}

void
nodes_vm_add_engine(struct nodes *s, const char *name, unsigned int port)
{
	vm_put(s, name, "engine", NODES_SERVICE, port, "live");
}

/* ---- start and end ---- */

static void
platform_start(struct nodes *s)
{
	const struct nodes_config *c = &s->config;

	server_start(&s->log, "log", c->log_proxy, "logsvc", NULL);
	server_start(&s->list, "list", c->list_proxy, "vmlist", NULL);
	server_start(&s->weights, "weights", false, "weights", NULL);
}

static void
backends_start(struct nodes *s)
{
	const char *ms = s->config.token_ms != NULL ? s->config.token_ms : "5";
	const char *const args[] = { "--service", NODES_SERVICE, "--model",
		NODES_MODEL, "--token-ms", ms, s->config.engine_option, NULL };
	char name[32];
	unsigned int i;

	for (i = 0; i < s->config.engines; i++) {
		g_snprintf(name, sizeof name, "planner-new-%u", i + 1);
		server_start(&s->engines[i], name, s->config.engine_proxy,
		    "engine", args);
		nodes_vm_engine(s, i, "live");
	}
	server_start(
	    &s->plain, "yard-1", s->config.plain_proxy, "plainsvc", NULL);
	vm_put(s, s->plain.name, "plain", "yard-app", s->plain.port, "live");
}

static void
entry_configure(struct nodes *s, unsigned int i)
{
	struct nodes_entry *e = &s->entries[i];
	g_autofree char *text = NULL;

	g_snprintf(e->name, sizeof e->name, "node-%u", i);
	e->file = g_strdup_printf("%s/%s.yaml", s->dir, e->name);
	e->caller = port_free_tcp();
	e->control = port_free_tcp();
	e->peer = port_free_udp();
	text = g_strdup_printf(
	    "node: %s\ndomain: hall-grandi\n"
	    "listen: {caller: 127.0.0.1:%u, control: 127.0.0.1:%u,\n"
	    "  peer: 127.0.0.1:%u}\n"
	    "platform: {log: http://127.0.0.1:%u,\n"
	    "  vm_list: http://127.0.0.1:%u, weights: http://127.0.0.1:%u}\n"
	    "peer_key: " NODES_PEER_KEY "\nlog: {level: %s}\n%s",
	    e->name, e->caller, e->control, e->peer, s->log.port, s->list.port,
	    s->weights.port,
	    g_getenv("SAVORY_TEST_LOG") != NULL ? g_getenv("SAVORY_TEST_LOG")
						: "warning",
	    s->config.settings != NULL ? s->config.settings
				       : "leave_grace_ms: 500\n");
	g_assert_true(g_file_set_contents(e->file, text, -1, NULL));
}

void
nodes_entry_start(struct nodes *s, unsigned int i)
{
	const char *const args[] = { "--config", s->entries[i].file, NULL };

	proc_start_unready(&s->entries[i].proc, "savorypierd", args);
}

void
nodes_start(struct nodes *s, const struct nodes_config *config)
{
	g_autofree char *url = NULL, *control = NULL;
	unsigned int i;

	*s = (struct nodes){ .config = *config };
	s->dir = dir_temporary();
	platform_start(s);
	backends_start(s);
	for (i = 0; i < config->nodes; i++) {
		entry_configure(s, i);
		nodes_vm_entry(s, i, "live");
	}
	for (i = 0; i < config->nodes; i++)
		nodes_entry_start(s, i);
	url = g_strdup_printf("http://127.0.0.1:%u", s->log.proc.port);
	control = g_strdup_printf("127.0.0.1:%u", s->entries[0].control);
	g_setenv("SAVORYPIER_LOG", url, TRUE);
	g_setenv("SAVORYPIER_CONTROL", control, TRUE);
	g_setenv("SAVORYPIER_PEER_KEY", NODES_PEER_KEY, TRUE);
}

void
nodes_publish_changed(struct nodes *s, const char *from, const char *to)
{
	g_autofree char *file = g_build_filename(s->dir, "planner.yaml", NULL);
	g_autofree char *args = g_strdup_printf("publish %s", file);
	g_autofree char *text = NULL;
	GString *changed;

	g_assert_true(g_file_get_contents(
	    "examples/seyra-planner.yaml", &text, NULL, NULL));
	changed = g_string_new(text);
	g_assert_cmpuint(g_string_replace(changed, from, to, 0), >, 0);
	g_assert_true(g_file_set_contents(file, changed->str, -1, NULL));
	g_string_free(changed, TRUE);
	g_assert_cmpint(tool_run(args, NULL, NULL), ==, 0);
}

void
nodes_publish(struct nodes *s)
{
	unsigned int i;

	if (s->config.no_resume)
		nodes_publish_changed(s, "resumes: true", "resumes: false");
	else
		g_assert_cmpint(
		    tool_run("publish examples/seyra-planner.yaml", NULL, NULL),
		    ==, 0);
	g_assert_cmpint(
	    tool_run("publish examples/seyra-yard.yaml", NULL, NULL), ==, 0);
	for (i = 0; i < s->config.nodes; i++)
		nodes_entry_ready(s, i);
}

void
nodes_up(struct nodes *s, const struct nodes_config *config)
{
	nodes_start(s, config);
	nodes_publish(s);
}

void
nodes_finish(struct nodes *s)
{
	unsigned int i;

	for (i = 0; i < s->config.nodes; i++) {
		if (s->entries[i].proc.pid != 0) {
			proc_resume(&s->entries[i].proc);
			proc_kill(&s->entries[i].proc);
		}
		g_free(s->entries[i].file);
	}
	for (i = 0; i < s->config.engines; i++)
		server_finish(&s->engines[i]);
	server_finish(&s->plain);
	server_finish(&s->weights);
	server_finish(&s->list);
	server_finish(&s->log);
	dir_remove(s->dir);
}

/* ---- what the nodes and the stand-ins say ---- */

static json_t *
control_try(struct nodes *s, unsigned int i, const char *path)
{
	const char *const headers[] = { "Authorization: Bearer " NODES_PEER_KEY,
		NULL };
	struct http_reply r;
	json_t *v;

	http_call(&r, "GET", s->entries[i].control, path, NULL, headers);
	v = r.status == 200 ? json_incref(r.json) : NULL;
	http_reply_free(&r);
	return v;
}

json_t *
nodes_control(struct nodes *s, unsigned int i, const char *path)
{
	json_t *v = control_try(s, i, path);

	g_assert_nonnull(v);
	return v;
}

static unsigned int
count_alive(const json_t *members)
{
	const char *state;
	unsigned int n = 0;
	json_t *m;
	size_t i;

	json_array_foreach (members, i, m) {
		state = json_string_value(json_object_get(m, "state"));
		n += g_strcmp0(state, "alive") == 0;
	}
	return n;
}

static bool
entry_is_ready(struct nodes *s, unsigned int i)
{
	json_t *v = control_try(s, i, "/control/status");
	unsigned int j, running = 0;
	bool ok;

	for (j = 0; j < s->config.nodes; j++)
		running += s->entries[j].proc.pid != 0;
	ok = v != NULL &&
	     g_strcmp0(json_string_value(json_object_get(v, "state")),
		 "serving") == 0 &&
	     json_array_size(json_object_get(v, "documents")) ==
		 NODES_DOCUMENTS &&
	     json_array_size(json_object_get(v, "engines")) ==
		 s->config.engines + 1 &&
	     count_alive(json_object_get(v, "members")) == running;
	json_decref(v);
	return ok;
}

void
nodes_entry_ready(struct nodes *s, unsigned int i)
{
	msec until = msec_now() + NODES_TIMEOUT;

	while (!entry_is_ready(s, i)) {
		if (msec_now() > until)
			g_error("%s does not serve", s->entries[i].name);
		g_usleep(NODES_POLL_US);
	}
}

int64_t
nodes_metric(struct nodes *s, unsigned int i, const char *name)
{
	g_autofree char *line = g_strdup_printf("\n%s ", name);
	struct http_reply r;
	const char *at;
	int64_t n;

	http_call(&r, "GET", s->entries[i].caller, "/metrics", NULL, NULL);
	g_assert_cmpint(r.status, ==, 200);
	at = strstr(r.text, line);
	n = at != NULL ? g_ascii_strtoll(at + strlen(line), NULL, 10) : 0;
	http_reply_free(&r);
	return n;
}

int64_t
nodes_executions(struct nodes *s, const char *user)
{
	g_autofree char *path =
	    g_strdup_printf("/stats/executions?user=%s", user);
	int64_t n = 0;
	unsigned int i;

	for (i = 0; i < s->config.engines; i++) {
		if (s->engines[i].proc.pid != 0)
			n += http_get_number(
			    s->engines[i].proc.port, path, "executions");
	}
	return n;
}

int64_t
nodes_plain_executions(struct nodes *s, const char *id)
{
	g_autofree char *path = g_strdup_printf("/stats/executions?id=%s", id);

	return http_get_number(s->plain.proc.port, path, "executions");
}

int64_t
nodes_engine_sum(struct nodes *s, const char *key)
{
	int64_t n = 0;
	unsigned int i;

	for (i = 0; i < s->config.engines; i++)
		n += http_get_number(s->engines[i].proc.port, "/stats", key);
	return n;
}

bool
nodes_are_idle(void *arg)
{
	return nodes_engine_sum(arg, "running") == 0;
}

unsigned int
nodes_entry_port(const struct nodes *s, unsigned int i)
{
	return s->entries[i].caller;
}

/* ---- callers ---- */

void
caller_add_header(struct caller *c, const char *line)
{
	unsigned int i = 0;

	while (c->headers[i] != NULL)
		i++;
	g_assert_cmpuint(i, <, G_N_ELEMENTS(c->headers) - 1);
	c->headers[i] = line;
}

static void
caller_init(struct caller *c, unsigned int port, const char *user)
{
	*c = (struct caller){ .port = port };
	c->user = g_strdup(user);
	c->text = g_string_new(NULL);
	c->head = g_string_new(NULL);
	caller_add_header(c, "Authorization: Bearer " NODES_KEY);
}

static void
caller_question(struct caller *c, unsigned int port, const char *user,
    unsigned int tokens, bool streamed)
{
	caller_init(c, port, user);
	c->path = g_strdup("/v1/chat/completions");
	c->body = g_strdup_printf(
	    "{\"model\":\"tanker-planner\",\"stream\":%s,\"user\":\"%s\","
	    "\"x_tokens\":%u,\"messages\":[{\"role\":\"user\","
	    "\"content\":\"%s\"}]}",
	    streamed ? "true" : "false", user, tokens, user);
	caller_add_header(c, "Savorypier-Class: driver-question");
}

void
caller_ask(
    struct caller *c, unsigned int port, const char *user, unsigned int tokens)
{
	caller_question(c, port, user, tokens, true);
}

void
caller_ask_whole(
    struct caller *c, unsigned int port, const char *user, unsigned int tokens)
{
	caller_question(c, port, user, tokens, false);
}

void
caller_book(struct caller *c, unsigned int port, const char *id)
{
	static char line[8][64];
	static unsigned int next;
	char *l = line[next++ % G_N_ELEMENTS(line)];

	caller_init(c, port, id);
	c->path = g_strdup("/v1/services/yard-app/book");
	c->body = g_strdup("{\"slot\":7}");
	caller_add_header(c, "Savorypier-Class: booking");
	g_snprintf(l, sizeof line[0], "X-Caller-Id: %s", id);
	caller_add_header(c, l);
}

static size_t
caller_read(char *data, size_t size, size_t n, void *arg)
{
	struct caller *c = arg;

	n *= size;
	g_string_append_len(c->text, data, (gssize)n);
	g_atomic_int_set(&c->received, (gint)c->text->len);
	if (c->read_pause > 0 &&
	    (c->slow_until == 0 || msec_now() < c->slow_until))
		g_usleep((gulong)c->read_pause * 1000);
	return g_atomic_int_get(&c->gone) != 0 ? 0 : n;
}

static size_t
caller_read_head(char *data, size_t size, size_t n, void *arg)
{
	static const char name[] = "Savorypier-Outcome:";
	struct caller *c = arg;
	g_autofree char *line = g_strndup(data, size * n);

	g_string_append(c->head, line);
	if (g_ascii_strncasecmp(line, name, sizeof name - 1) == 0)
		g_strlcpy(c->outcome, g_strstrip(line + sizeof name - 1),
		    sizeof c->outcome);
	return size * n;
}

static int
caller_progress(
    void *arg, curl_off_t a, curl_off_t b, curl_off_t d, curl_off_t e)
{
	struct caller *c = arg;

	return g_atomic_int_get(&c->gone);
}

/* A stream that broke says so in its last event. */
static void
caller_find_event(struct caller *c)
{
	static const char mark[] = "event: savorypier\ndata: {\"outcome\":\"";
	const char *at = strstr(c->text->str, mark), *end;

	if (at == NULL)
		return;
	at += sizeof mark - 1;
	end = strchr(at, '"');
	g_assert_nonnull(end);
	g_strlcpy(
	    c->outcome, at, MIN(sizeof c->outcome, (size_t)(end - at) + 1));
}

static void *
caller_thread(void *arg)
{
	struct caller *c = arg;
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	g_autofree char *url =
	    g_strdup_printf("http://127.0.0.1:%u%s", c->port, c->path);
	CURL *easy = curl_easy_init();
	unsigned int i;

	for (i = 0; c->headers[i] != NULL; i++)
		list = curl_slist_append(list, c->headers[i]);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, CALLER_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, c->body);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, caller_read);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, caller_read_head);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, caller_progress);
	curl_easy_setopt(easy, CURLOPT_XFERINFODATA, c);
	c->curl = (int)curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &c->status);
	caller_find_event(c);
	g_test_message("%s: status %ld, curl %d, outcome \"%s\", %zu bytes",
	    c->user, c->status, c->curl, c->outcome, c->text->len);
	curl_slist_free_all(list);
	curl_easy_cleanup(easy);
	g_atomic_int_set(&c->ended, 1);
	return NULL;
}

void
caller_start(struct caller *c)
{
	c->thread = g_thread_new("caller", caller_thread, c);
}

void
caller_wait(struct caller *c)
{
	g_thread_join(c->thread);
	c->thread = NULL;
}

void
caller_run(struct caller *c)
{
	caller_start(c);
	caller_wait(c);
}

void
caller_wait_bytes(struct caller *c, int n)
{
	msec until = msec_now() + NODES_TIMEOUT;

	while (g_atomic_int_get(&c->received) < n) {
		if (msec_now() > until || g_atomic_int_get(&c->ended) != 0)
			g_error("%s: only %d of %d bytes", c->user,
			    g_atomic_int_get(&c->received), n);
		g_usleep(1000);
	}
}

void
caller_leave(struct caller *c)
{
	g_atomic_int_set(&c->gone, 1);
	caller_wait(c);
}

void
caller_finish(struct caller *c)
{
	if (c->thread != NULL)
		caller_leave(c);
	g_free(c->path);
	g_free(c->body);
	g_free(c->user);
	g_string_free(c->text, TRUE);
	g_string_free(c->head, TRUE);
}

unsigned int
caller_tokens(const struct caller *c)
{
	const char *at = c->text->str, *end = at + c->text->len;
	char want[16];
	unsigned int k;

	for (k = 0; (at = g_strstr_len(at, end - at, "\"content\"")) != NULL;
	     k++) {
		at += strlen("\"content\"");
		at = strchr(at, '"');
		/* A break may fall within a token. */
		if (at == NULL || end - at < TOKEN_TEXT)
			break;
		g_snprintf(want, sizeof want, "%08" PRIx32 " ",
		    (uint32_t)XXH64(c->user, strlen(c->user), k));
		if (strncmp(at + 1, want, strlen(want)) != 0)
			g_error("%s: token %u is %.9s, not %s", c->user, k,
			    at + 1, want);
	}
	return k;
}

void
caller_assert_whole(struct caller *c, unsigned int tokens)
{
	g_assert_cmpint(c->curl, ==, CURLE_OK);
	g_assert_cmpint(c->status, ==, 200);
	g_assert_cmpstr(c->outcome, ==, "ran");
	g_assert_cmpuint(caller_tokens(c), ==, tokens);
	g_assert_nonnull(strstr(c->text->str, "data: [DONE]\n\n"));
}

void
caller_assert_broken(struct caller *c, const char *outcome)
{
	g_assert_cmpstr(c->outcome, ==, outcome);
	g_assert_null(strstr(c->text->str, "[DONE]"));
	g_assert_true(c->curl != CURLE_OK || c->status >= 400);
}

void
nodes_assert_serves(struct nodes *s, const char *user)
{
	struct caller c;
	unsigned int tries;

	for (tries = 0; tries < 20; tries++) {
		caller_ask(&c, nodes_entry_port(s, 0), user, 5);
		caller_run(&c);
		if (strcmp(c.outcome, "not-run") != 0)
			break;
		g_test_message("%ld: %s", c.status, c.text->str);
		caller_finish(&c);
		g_usleep(G_USEC_PER_SEC / 2);
	}
	g_assert_cmpuint(tries, <, 20);
	caller_assert_whole(&c, 5);
	caller_finish(&c);
}

/* ---- raw connections ---- */

int
raw_connect(unsigned int port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sin.sin_port = htons((uint16_t)port);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(fd, !=, -1);
	g_assert_no_errno(connect(fd, (struct sockaddr *)&sin, sizeof sin));
	return fd;
}

void
raw_write(int fd, const char *text)
{
	size_t len = strlen(text);
	ssize_t n;

	while (len > 0 && (n = send(fd, text, len, MSG_NOSIGNAL)) > 0) {
		text += n;
		len -= (size_t)n;
	}
}

char *
raw_read(int fd, const char *until, msec silence)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	GString *text = g_string_new(NULL);
	char buf[4096];
	ssize_t n;

	while (poll(&p, 1, (int)silence) > 0) {
		if ((n = read(fd, buf, sizeof buf)) <= 0)
			break;
		g_string_append_len(text, buf, n);
		if (until != NULL && strstr(text->str, until) != NULL)
			break;
	}
	return g_string_free(text, FALSE);
}
