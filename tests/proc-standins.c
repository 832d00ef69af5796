/*
 * The stand-ins keep the platform's protocols of docs/PLATFORM.md, faults
 * included: what other tests conclude rests on that.
 */

#define LOG_PART "test"
#include "util-proc.h"

#include <inttypes.h>
#include <signal.h>
#include <string.h>

#include <curl/curl.h>
#include <xxhash.h>

#define RECORDS "/v1/streams/test.stream/records"
#define COMPLETIONS "/v1/chat/completions"
#define LONG_MS 10000
#define ENGINE_STOPS 200 /* tries; the fault is a race */
#define LAG_HUGE "60000" /* longer than any test */

/* One call made by a thread of its own. */
struct call {
	GThread *thread;
	unsigned int port;
	const char *method;
	const char *path;
	char *body;
	const char *const *headers;
	struct http_reply reply;
	msec ended;
};

static void *
call_run(void *arg)
{
	struct call *c = arg;

	http_call(&c->reply, c->method, c->port, c->path, c->body, c->headers);
	c->ended = msec_now();
	return NULL;
}

static void
call_start(struct call *c, const char *method, unsigned int port,
    const char *path, char *body, const char *const *headers)
{
	memset(c, 0, sizeof *c);
	c->method = method;
	c->port = port;
	c->path = path;
	c->body = body;
	c->headers = headers;
	c->thread = g_thread_new("call", call_run, c);
}

static void
call_join(struct call *c)
{
	g_thread_join(c->thread);
	g_free(c->body);
	c->body = NULL;
}

static int64_t
append(unsigned int port, const char *text)
{
	struct http_reply r;
	int64_t offset = -1;

	http_call(&r, "POST", port, RECORDS, text, NULL);
	if (r.status == 200)
		offset = json_integer_value(json_object_get(r.json, "offset"));
	else if (r.status != 0)
		offset = -r.status;
	http_reply_free(&r);
	return offset;
}

static const char *
record_text(const json_t *answer, size_t i)
{
	json_t *record = json_array_get(json_object_get(answer, "records"), i);

	return json_string_value(json_object_get(record, "data"));
}

/*
 * The writer sees its connection end and does not know whether the record is
 * in the log. It is: the append took effect and only the answer was lost.
 */
static void
test_log_lost_answer(void)
{
	struct proc p;
	json_t *v;

	proc_start(&p, "logsvc");
	g_assert_cmpint(append(p.port, "one"), ==, 1);
	http_fault(p.port, "{\"lose_answers\":1}");
	g_assert_cmpint(append(p.port, "two"), ==, -1);
	g_assert_cmpint(append(p.port, "three"), ==, 3);
	v = http_get_json(p.port, RECORDS "?from=2&max=1");
	g_assert_cmpuint(json_array_size(json_object_get(v, "records")), ==, 1);
	g_assert_cmpstr(record_text(v, 0), ==, "two");
	json_decref(v);
	g_assert_cmpint(http_get_number(p.port, "/stats", "appends"), ==, 3);
	g_assert_cmpint(proc_stop(&p), ==, 0);
}

static void
test_log_retention(void)
{
	struct proc p;
	json_t *v;
	int i;

	proc_start(&p, "logsvc");
	http_fault(p.port, "{\"retain_records\":3}");
	for (i = 1; i <= 5; i++)
		g_assert_cmpint(append(p.port, "x"), ==, i);
	v = http_get_json(p.port, RECORDS "?from=1");
	g_assert_cmpint(json_integer_value(json_object_get(v, "first")), ==, 3);
	g_assert_cmpint(json_integer_value(json_object_get(v, "next")), ==, 6);
	g_assert_cmpuint(json_array_size(json_object_get(v, "records")), ==, 3);
	json_decref(v);
	http_fault(p.port, "{\"retain_ms\":1}");
	g_usleep(20000);
	v = http_get_json(p.port, RECORDS "?from=1");
	g_assert_cmpint(json_integer_value(json_object_get(v, "first")), ==, 6);
	g_assert_cmpuint(json_array_size(json_object_get(v, "records")), ==, 0);
	json_decref(v);
	g_assert_cmpint(proc_stop(&p), ==, 0);
}

static void
test_log_waits(void)
{
	struct proc p;
	struct call c;
	msec start = msec_now();
	json_t *v;

	proc_start(&p, "logsvc");
	v = http_get_json(p.port, RECORDS "?from=1&wait_ms=50");
	g_assert_cmpint(msec_now() - start, >=, 50);
	g_assert_cmpint(json_integer_value(json_object_get(v, "next")), ==, 1);
	json_decref(v);
	call_start(
	    &c, "GET", p.port, RECORDS "?from=1&wait_ms=20000", NULL, NULL);
	g_usleep(50000);
	start = msec_now();
	append(p.port, "late");
	call_join(&c);
	g_assert_cmpstr(record_text(c.reply.json, 0), ==, "late");
	g_assert_cmpint(c.ended - start, <, LONG_MS);
	http_reply_free(&c.reply);
	g_assert_cmpint(proc_stop(&p), ==, 0);
}

/* Refused appends leave no record, whether over budget or in an outage. */
static void
test_log_refuses(void)
{
	int64_t offset, accepted = 0, refused = 0;
	struct proc p;
	int i;

	proc_start(&p, "logsvc");
	http_fault(p.port, "{\"appends_per_second\":2}");
	for (i = 0; i < 50; i++) {
		offset = append(p.port, "x");
		if (offset > 0) {
			accepted++;
			g_assert_cmpint(offset, ==, accepted);
		} else {
			g_assert_cmpint(offset, ==, -429);
			refused++;
		}
	}
	g_assert_cmpint(refused, >, 0);
	g_assert_cmpint(accepted, >, 0);
	http_fault(p.port, "{\"outage\":true,\"appends_per_second\":0}");
	g_assert_cmpint(append(p.port, "x"), ==, -503);
	http_fault(p.port, "{\"outage\":false}");
	g_assert_cmpint(append(p.port, "x"), ==, accepted + 1);
	g_assert_cmpint(
	    http_get_number(p.port, "/stats", "refused"), ==, refused);
	g_assert_cmpint(proc_stop(&p), ==, 0);
}

static void
test_fault_misspelt(void)
{
	struct http_reply r;
	struct proc p;

	proc_start(&p, "logsvc");
	http_call(&r, "POST", p.port, "/fault", "{\"outagee\":true}", NULL);
	g_assert_cmpint(r.status, ==, 400);
	http_reply_free(&r);
	http_call(&r, "POST", p.port, "/fault", "{\"outage\":3}", NULL);
	g_assert_cmpint(r.status, ==, 400);
	http_reply_free(&r);
	g_assert_cmpint(proc_stop(&p), ==, 0);
}

static size_t
vms_shown(unsigned int port)
{
	json_t *v = http_get_json(port, "/v1/vms");
	size_t n = json_array_size(json_object_get(v, "vms"));

	json_decref(v);
	return n;
}

static long
vm_put(unsigned int port, const char *path, const char *state)
{
	g_autofree char *body = NULL;
	struct http_reply r;
	long status;

	body = g_strdup_printf("{\"kind\":\"entry\",\"domain\":\"d1\","
			       "\"state\":\"%s\","
			       "\"address\":\"127.0.0.1:9\"}",
	    state);
	http_call(&r, "PUT", port, path, body, NULL);
	status = r.status;
	http_reply_free(&r);
	return status;
}

static void
test_vmlist_lags(void)
{
	struct proc p;

	proc_start(&p, "vmlist");
	g_assert_cmpint(vm_put(p.port, "/v1/vms/a", "live"), ==, 200);
	g_assert_cmpint(vm_put(p.port, "/v1/vms/b", "leaving"), ==, 200);
	g_assert_cmpint(vm_put(p.port, "/v1/vms/c", "unheard-of"), ==, 400);
	g_assert_cmpuint(vms_shown(p.port), ==, 2);
	http_fault(p.port, "{\"lag_ms\":" LAG_HUGE "}");
	g_assert_cmpuint(vms_shown(p.port), ==, 0);
	http_fault(p.port, "{\"lag_ms\":0,\"hide\":[\"a\"]}");
	g_assert_cmpuint(vms_shown(p.port), ==, 1);
	http_fault(p.port, "{\"hide\":[],\"empty\":true}");
	g_assert_cmpuint(vms_shown(p.port), ==, 0);
	g_assert_cmpint(proc_stop(&p), ==, 0);
}

static long
status_of(const char *method, unsigned int port, const char *path)
{
	struct http_reply r;
	long status;

	http_call(&r, method, port, path, NULL, NULL);
	status = r.status;
	http_reply_free(&r);
	return status;
}

static void
test_weights_limits(void)
{
	struct proc p;

	proc_start(&p, "weights");
	http_fault(p.port, "{\"missing\":[\"m/9\"]}");
	g_assert_cmpint(status_of("GET", p.port, "/v1/weights/m/9"), ==, 404);
	http_fault(p.port, "{\"loads_per_minute\":1}");
	g_assert_cmpint(status_of("GET", p.port, "/v1/weights/m/1"), ==, 200);
	g_assert_cmpint(status_of("GET", p.port, "/v1/weights/m/1"), ==, 429);
	http_fault(p.port, "{\"outage\":true}");
	g_assert_cmpint(status_of("GET", p.port, "/v1/weights/m/1"), ==, 503);
	g_assert_cmpint(proc_stop(&p), ==, 0);
}

/*
 * A call that may not be repeated is read by the service, whose answer never
 * comes. The caller who repeats it makes a second booking, and the counter
 * shows that.
 */
static void
test_plain_counts_twice(void)
{
	static const char *const headers[] = { "X-Caller-Id: booking-1", NULL };
	const char *path = "/stats/executions?id=booking-1";
	struct http_reply r;
	struct proc p;

	proc_start(&p, "plainsvc");
	http_fault(p.port, "{\"read_and_close\":1}");
	http_call(&r, "POST", p.port, "/book", "x", headers);
	g_assert_cmpint(r.status, ==, 0);
	http_reply_free(&r);
	g_assert_cmpint(http_get_number(p.port, path, "executions"), ==, 1);
	g_assert_cmpint(http_get_number(p.port, "/stats", "twice"), ==, 0);
	http_call(&r, "POST", p.port, "/book", "x", headers);
	g_assert_cmpint(r.status, ==, 200);
	g_assert_cmpint(
	    json_integer_value(json_object_get(r.json, "execution")), ==, 2);
	http_reply_free(&r);
	g_assert_cmpint(http_get_number(p.port, "/stats", "twice"), ==, 1);
	g_assert_cmpint(proc_stop(&p), ==, 0);
}

/* The engine. */

static char *
completion(const char *prompt, const char *user, int tokens)
{
	return g_strdup_printf("{\"model\":\"m\",\"stream\":true,"
			       "\"messages\":[{\"role\":\"user\","
			       "\"content\":\"%s\"}],\"user\":\"%s\","
			       "\"x_tokens\":%d}",
	    prompt, user, tokens);
}

static void
complete(struct http_reply *r, unsigned int port, const char *prompt,
    const char *user, int tokens, const char *const *headers)
{
	g_autofree char *body = completion(prompt, user, tokens);

	http_call(r, "POST", port, COMPLETIONS, body, headers);
}

static void
assert_token(const char *line, const char *prompt, int64_t k)
{
	json_t *v = json_loads(line, 0, NULL), *choice;
	char want[16];
	const char *got;

	snprintf(want, sizeof want, "%08" PRIx32 " ",
	    (uint32_t)XXH64(prompt, strlen(prompt), (XXH64_hash_t)k));
	choice = json_array_get(json_object_get(v, "choices"), 0);
	got = json_string_value(
	    json_object_get(json_object_get(choice, "delta"), "content"));
	g_assert_cmpstr(got, ==, want);
	g_assert_cmpint(json_integer_value(json_object_get(v, "index")), ==, k);
	json_decref(v);
}

/* So many right tokens from one index on, and [DONE] or not. */
static void
assert_stream(const char *text, const char *prompt, int64_t from, int64_t count,
    bool whole)
{
	g_auto(GStrv) lines = g_strsplit(text, "\n\n", 0);
	int64_t k = from;
	bool done = false;
	char **line;

	for (line = lines; *line != NULL; line++) {
		if (**line == '\0')
			continue;
		g_assert_false(done);
		g_assert_true(g_str_has_prefix(*line, "data: "));
		if (strcmp(*line, "data: [DONE]") == 0)
			done = true;
		else
			assert_token(*line + 6, prompt, k++);
	}
	g_assert_cmpint(k - from, ==, count);
	g_assert_true(done == whole);
}

static void
engine_start(struct proc *p, const char *token_ms, const char *batch_max)
{
	proc_start(p, "engine", "--model", "m@1", "--token-ms", token_ms,
	    "--batch-max", batch_max);
}

static void
test_engine_tokens(void)
{
	struct http_reply r;
	struct proc p;
	json_t *v;

	engine_start(&p, "1", "16");
	complete(&r, p.port, "a question", "u", 12, NULL);
	g_assert_cmpint(r.status, ==, 200);
	assert_stream(r.text, "a question", 0, 12, true);
	http_reply_free(&r);
	v = http_post_json(p.port, "/v1/completions",
	    "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":3}");
	g_assert_cmpint(json_integer_value(json_object_get(
			    json_object_get(v, "usage"), "completion_tokens")),
	    ==, 3);
	json_decref(v);
	http_call(&r, "POST", p.port, "/v1/completions",
	    "{\"model\":\"other\",\"prompt\":\"p\"}", NULL);
	g_assert_cmpint(r.status, ==, 404);
	http_reply_free(&r);
	g_assert_cmpint(proc_stop(&p), ==, 0);
}

/*
 * An engine crashes in the middle of an answer. The caller's stream must be
 * seen to break, and another engine continues it at the exact next token,
 * which is no second execution.
 */
static void
test_engine_crash_and_resume(void)
{
	static const char *const headers[] = { "X-Resume-At: 4", NULL };
	struct http_reply r;
	struct proc p, q;

	engine_start(&p, "1", "16");
	engine_start(&q, "1", "16");
	http_fault(p.port, "{\"crash_after\":4}");
	complete(&r, p.port, "route", "u", 10, NULL);
	g_assert_cmpint(r.curl, ==, CURLE_PARTIAL_FILE);
	assert_stream(r.text, "route", 0, 4, false);
	http_reply_free(&r);
	g_assert_cmpint(http_get_number(p.port, "/stats", "cut"), ==, 1);
	complete(&r, q.port, "route", "u", 10, headers);
	assert_stream(r.text, "route", 4, 6, true);
	http_reply_free(&r);
	g_assert_cmpint(
	    http_get_number(q.port, "/stats/executions?user=u", "executions"),
	    ==, 0);
	/* Only the next request was to crash. */
	complete(&r, p.port, "route", "u", 10, NULL);
	assert_stream(r.text, "route", 0, 10, true);
	http_reply_free(&r);
	g_assert_cmpint(http_get_number(p.port, "/stats", "twice"), ==, 1);
	g_assert_cmpint(proc_stop(&p), ==, 0);
	g_assert_cmpint(proc_stop(&q), ==, 0);
}

static void
test_engine_read_and_close(void)
{
	struct http_reply r;
	struct proc p;

	engine_start(&p, "1", "16");
	http_fault(p.port, "{\"read_and_close\":1}");
	complete(&r, p.port, "x", "once", 5, NULL);
	g_assert_cmpint(r.status, ==, 0);
	http_reply_free(&r);
	g_assert_cmpint(http_get_number(p.port, "/stats/executions?user=once",
			    "executions"),
	    ==, 1);
	g_assert_cmpint(proc_stop(&p), ==, 0);
}

/* What wait_until() asks for: a number of the stats that is reached. */
struct wanted {
	unsigned int port;
	const char *path, *key;
	int64_t number;
};

static bool
number_reached(void *arg)
{
	struct wanted *w = arg;

	return http_get_number(w->port, w->path, w->key) >= w->number;
}

static void
await(unsigned int port, const char *path, const char *key, int64_t number)
{
	struct wanted w = { port, path, key, number };

	g_assert_true(wait_until(number_reached, &w, LONG_MS));
}

/* Guards against a stand-in that SIGTERM kills right after it is ready. */
static void
test_engine_stop(void)
{
	struct proc engine;
	unsigned int i;

	for (i = 0; i < ENGINE_STOPS; i++) {
		proc_start(&engine, "engine", "--model", "m@1");
		g_assert_cmpint(proc_stop(&engine), ==, 0);
	}
}

static void
test_engine_cancel(void)
{
	static const char *const headers[] = { "X-Request-Id: r1",
		"X-Attempt: 2", NULL };
	struct http_reply r;
	struct proc p;
	struct call c;
	json_t *v;

	engine_start(&p, "5", "16");
	call_start(&c, "POST", p.port, COMPLETIONS,
	    completion("long", "u", 100000), headers);
	await(p.port, "/stats", "tokens", 3);
	http_call(&r, "POST", p.port, "/v1/cancel",
	    "{\"id\":\"r1\",\"attempt\":1}", NULL);
	g_assert_cmpint(r.status, ==, 404);
	http_reply_free(&r);
	v = http_post_json(
	    p.port, "/v1/cancel", "{\"id\":\"r1\",\"attempt\":2}");
	call_join(&c);
	g_assert_cmpint(c.reply.curl, ==, CURLE_PARTIAL_FILE);
	assert_stream(c.reply.text, "long", 0,
	    json_integer_value(json_object_get(v, "at")), false);
	json_decref(v);
	http_reply_free(&c.reply);
	g_assert_cmpint(http_get_number(p.port, "/stats", "cancelled"), ==, 1);
	g_assert_cmpint(proc_stop(&p), ==, 0);
}

/* The load program serves as a caller that can be killed. */
static void
caller_start(struct proc *p, unsigned int port, const char *seed)
{
	g_autofree char *to = g_strdup_printf("127.0.0.1:%u", port);
	const char *const args[] = { "--direct", to, "--model", "m", "--rate",
		"1000", "--seconds", "0.1", "--max-open", "1", "--class",
		"x=1:4:100000", "--seed", seed, NULL };

	proc_start_unready(p, "savory-load", args);
}

/* A caller that goes away ends its request, also one that waits inside. */
static void
test_engine_closed_connection(void)
{
	struct proc p, one, two;

	engine_start(&p, "5", "1");
	caller_start(&one, p.port, "1");
	await(p.port, "/stats", "running", 1);
	caller_start(&two, p.port, "2");
	await(p.port, "/v1/load", "waiting", 1);
	proc_kill(&two);
	await(p.port, "/stats", "cancelled", 1);
	proc_kill(&one);
	await(p.port, "/stats", "cancelled", 2);
	g_assert_cmpint(http_get_number(p.port, "/stats", "executed"), ==, 1);
	g_assert_cmpint(proc_stop(&p), ==, 0);
}

static void
test_engine_priority(void)
{
	static const char *const held[] = { "X-Request-Id: held", NULL };
	static const char *const low[] = { "X-Priority: 5", NULL };
	static const char *const high[] = { "X-Priority: 0", NULL };
	struct call first, late, urgent;
	struct proc p;

	engine_start(&p, "10", "1");
	call_start(&first, "POST", p.port, COMPLETIONS,
	    completion("a", "a", 100000), held);
	await(p.port, "/stats", "running", 1);
	call_start(
	    &late, "POST", p.port, COMPLETIONS, completion("b", "b", 100), low);
	await(p.port, "/v1/load", "waiting", 1);
	call_start(&urgent, "POST", p.port, COMPLETIONS,
	    completion("c", "c", 2), high);
	await(p.port, "/v1/load", "waiting", 2);
	json_decref(http_post_json(p.port, "/v1/cancel", "{\"id\":\"held\"}"));
	call_join(&first);
	call_join(&late);
	call_join(&urgent);
	g_assert_cmpint(urgent.ended, <, late.ended);
	http_reply_free(&first.reply);
	http_reply_free(&late.reply);
	http_reply_free(&urgent.reply);
	g_assert_cmpint(proc_stop(&p), ==, 0);
}

/* How long an answer of ten tokens takes. */
static msec
time_ten_tokens(unsigned int port)
{
	msec start = msec_now();
	struct http_reply r;

	complete(&r, port, "t", "t", 10, NULL);
	g_assert_cmpint(r.status, ==, 200);
	http_reply_free(&r);
	return msec_now() - start;
}

/*
 * A token takes longer the more streams there are, and on a straggler. Only
 * lower bounds: a busy machine makes anything slower.
 */
static void
test_engine_token_time(void)
{
	struct proc p;
	struct call c;

	proc_start(&p, "engine", "--model", "m@1", "--token-ms", "20",
	    "--batch-slope", "1");
	g_assert_cmpint(time_ten_tokens(p.port), >=, 10 * 20);
	http_fault(p.port, "{\"slow_factor\":3}");
	g_assert_cmpint(time_ten_tokens(p.port), >=, 10 * 20 * 3);
	http_fault(p.port, "{\"slow_factor\":1}");
	call_start(&c, "POST", p.port, COMPLETIONS,
	    completion("l", "l", 100000), NULL);
	await(p.port, "/stats", "running", 1);
	/*
	 * The first token may come with a step that is under way, and an
	 * engine that was held up makes good up to 100 ms.
	 */
	g_assert_cmpint(time_ten_tokens(p.port), >=, 9 * 20 * 2 - 100);
	proc_kill(&p);
	call_join(&c);
	http_reply_free(&c.reply);
}

static void
test_engine_load_lags(void)
{
	struct proc p;
	struct call c;

	engine_start(&p, "5", "16");
	call_start(&c, "POST", p.port, COMPLETIONS,
	    completion("l", "l", 100000), NULL);
	await(p.port, "/v1/load", "running", 1);
	http_fault(p.port, "{\"lag_ms\":" LAG_HUGE "}");
	g_assert_cmpint(http_get_number(p.port, "/v1/load", "running"), ==, 0);
	g_assert_cmpint(http_get_number(p.port, "/stats", "running"), ==, 1);
	http_fault(p.port, "{\"lag_ms\":0}");
	g_assert_cmpint(http_get_number(p.port, "/v1/load", "running"), ==, 1);
	http_fault(p.port, "{\"freeze_load\":true}");
	http_fault(p.port, "{\"down\":true}");
	call_join(&c);
	g_assert_cmpint(c.reply.curl, !=, CURLE_OK);
	http_reply_free(&c.reply);
	http_fault(p.port, "{\"down\":false}");
	g_assert_cmpint(http_get_number(p.port, "/v1/load", "running"), ==, 1);
	g_assert_cmpint(http_get_number(p.port, "/stats", "running"), ==, 0);
	g_assert_cmpint(proc_stop(&p), ==, 0);
}

static void
test_engine_down(void)
{
	struct http_reply r;
	struct proc p;

	engine_start(&p, "1", "16");
	http_fault(p.port, "{\"down\":true}");
	complete(&r, p.port, "x", "u", 2, NULL);
	g_assert_cmpint(r.status, ==, 0);
	http_reply_free(&r);
	g_assert_cmpint(http_get_number(p.port, "/stats", "executed"), ==, 0);
	http_fault(p.port, "{\"down\":false}");
	complete(&r, p.port, "x", "u", 2, NULL);
	assert_stream(r.text, "x", 0, 2, true);
	http_reply_free(&r);
	g_assert_cmpint(proc_stop(&p), ==, 0);
}

static void
assert_events(unsigned int port, size_t count, int64_t next)
{
	json_t *v = http_get_json(port, "/v1/cache/events?from=1");

	g_assert_cmpuint(
	    json_array_size(json_object_get(v, "events")), ==, count);
	g_assert_cmpint(
	    json_integer_value(json_object_get(v, "next")), ==, next);
	json_decref(v);
}

/* A lost event leaves a gap in the numbers, by which a reader can tell. */
static void
test_engine_cache_events(void)
{
	struct http_reply r;
	struct proc p;

	engine_start(&p, "0", "16");
	complete(&r, p.port, "one", "u", 1, NULL);
	http_reply_free(&r);
	complete(&r, p.port, "one", "u", 1, NULL);
	http_reply_free(&r);
	assert_events(p.port, 1, 2);
	http_fault(p.port, "{\"event_loss_permille\":1000}");
	complete(&r, p.port, "two", "u", 1, NULL);
	http_reply_free(&r);
	assert_events(p.port, 1, 3);
	http_fault(p.port, "{\"event_loss_permille\":0}");
	complete(&r, p.port, "three", "u", 1, NULL);
	http_reply_free(&r);
	assert_events(p.port, 2, 4);
	http_fault(p.port, "{\"event_lag_ms\":" LAG_HUGE "}");
	assert_events(p.port, 0, 1);
	g_assert_cmpint(proc_stop(&p), ==, 0);
}

static long
order(unsigned int port, int fencing, const char *model)
{
	g_autofree char *body = NULL;
	struct http_reply r;
	long status;

	body = g_strdup_printf("{\"fencing\":%d,\"holder\":\"n\","
			       "\"want\":[{\"model\":\"%s\","
			       "\"version\":\"1\"}],\"role\":\"both\"}",
	    fencing, model);
	http_call(&r, "POST", port, "/v1/orders", body, NULL);
	status = r.status;
	http_reply_free(&r);
	return status;
}

/*
 * A holder was paused, its lease lapsed, and it wakes and sends its old order.
 * An engine that checks fencing numbers refuses; one that does not obeys.
 */
static void
test_engine_fencing(void)
{
	struct proc p, q;

	proc_start(&p, "engine", "--model", "m@1", "--fencing");
	proc_start(&q, "engine", "--model", "m@1", "--no-fencing");
	g_assert_cmpint(order(p.port, 7, "m"), ==, 200);
	g_assert_cmpint(order(p.port, 6, "old"), ==, 409);
	g_assert_cmpint(order(p.port, 7, "m"), ==, 200);
	g_assert_cmpint(
	    http_get_number(p.port, "/v1/state", "stale_obeyed"), ==, 0);
	g_assert_cmpint(order(q.port, 7, "m"), ==, 200);
	g_assert_cmpint(order(q.port, 6, "old"), ==, 200);
	g_assert_cmpint(
	    http_get_number(q.port, "/v1/state", "stale_obeyed"), ==, 1);
	g_assert_cmpint(http_get_number(q.port, "/v1/state", "fencing"), ==, 7);
	g_assert_cmpint(proc_stop(&p), ==, 0);
	g_assert_cmpint(proc_stop(&q), ==, 0);
}

static bool
model_in_state(unsigned int port, const char *name, const char *state)
{
	json_t *v = http_get_json(port, "/v1/state"), *one;
	bool found = false;
	size_t i;

	json_array_foreach (json_object_get(v, "models"), i, one) {
		if (g_strcmp0(name,
			json_string_value(json_object_get(one, "model"))) == 0)
			found = g_strcmp0(state,
				    json_string_value(
					json_object_get(one, "state"))) == 0;
	}
	json_decref(v);
	return found;
}

static bool
model_is_ready(void *arg)
{
	return model_in_state(*(unsigned int *)arg, "m2", "ready");
}

static bool
model_has_failed(void *arg)
{
	return model_in_state(*(unsigned int *)arg, "gone", "failed");
}

static void
test_engine_loads(void)
{
	g_autofree char *url = NULL;
	struct proc store, p;

	proc_start(&store, "weights");
	url = g_strdup_printf("http://127.0.0.1:%u", store.port);
	proc_start(&p, "engine", "--weights", url);
	http_fault(store.port, "{\"outage\":true,\"missing\":[\"gone/1\"]}");
	g_assert_cmpint(order(p.port, 1, "m2"), ==, 200);
	g_assert_true(model_in_state(p.port, "m2", "loading"));
	http_fault(store.port, "{\"outage\":false}");
	g_assert_true(wait_until(model_is_ready, &p.port, LONG_MS));
	g_assert_cmpint(order(p.port, 2, "gone"), ==, 200);
	g_assert_true(wait_until(model_has_failed, &p.port, LONG_MS));
	g_assert_false(model_in_state(p.port, "m2", "ready"));
	g_assert_cmpint(proc_stop(&p), ==, 0);
	g_assert_cmpint(proc_stop(&store), ==, 0);
}

static void
test_engine_late_answer(void)
{
	msec start = msec_now();
	struct http_reply r;
	struct proc p;

	engine_start(&p, "0", "16");
	http_fault(p.port, "{\"late_answer_ms\":200}");
	complete(&r, p.port, "x", "u", 3, NULL);
	g_assert_cmpint(msec_now() - start, >=, 200);
	assert_stream(r.text, "x", 0, 3, true);
	http_reply_free(&r);
	g_assert_cmpint(proc_stop(&p), ==, 0);
}

/* The prefill of a prompt whose KV cache came over costs nothing. */
static void
test_engine_kv(void)
{
	static const char *const headers[] = { "X-Request-Id: r1", NULL };
	g_autofree char *kv = NULL;
	msec start;
	struct http_reply r;
	struct proc p, q;
	struct call c;
	json_t *v;

	engine_start(&p, "5", "16");
	/* The prompt is 4 tokens, so its prefill would take LONG_MS. */
	proc_start(&q, "engine", "--model", "m@1", "--token-ms", "0",
	    "--prefill-us", "2500000");
	call_start(&c, "POST", p.port, COMPLETIONS,
	    completion("prompt to export", "u", 100000), headers);
	await(p.port, "/stats", "tokens", 1);
	v = http_post_json(p.port, "/v1/kv/export", "{\"id\":\"r1\"}");
	g_assert_cmpint(json_integer_value(json_object_get(v, "at")), >=, 1);
	kv = json_dumps(v, 0);
	json_decref(v);
	json_decref(http_post_json(q.port, "/v1/kv/import", kv));
	start = msec_now();
	complete(&r, q.port, "prompt to export", "u", 1, NULL);
	g_assert_cmpint(msec_now() - start, <, LONG_MS);
	http_reply_free(&r);
	proc_kill(&p);
	call_join(&c);
	http_reply_free(&c.reply);
	g_assert_cmpint(proc_stop(&q), ==, 0);
}

/* A stream in flight does not keep a stand-in from ending. */
static void
test_engine_stops(void)
{
	struct proc p;
	struct call c;

	engine_start(&p, "5", "16");
	call_start(&c, "POST", p.port, COMPLETIONS,
	    completion("l", "l", 100000), NULL);
	await(p.port, "/stats", "tokens", 1);
	g_assert_cmpint(proc_stop(&p), ==, 0);
	call_join(&c);
	g_assert_cmpint(c.reply.curl, !=, CURLE_OK);
	http_reply_free(&c.reply);
}

/* A paused process gives no answer and goes on where it was. */
static void
test_proc_pause(void)
{
	struct proc p;
	struct call c;
	msec resumed;

	proc_start(&p, "logsvc");
	proc_pause(&p);
	call_start(&c, "GET", p.port, "/stats", NULL, NULL);
	g_usleep(100000);
	resumed = msec_now();
	proc_resume(&p);
	call_join(&c);
	g_assert_cmpint(c.reply.status, ==, 200);
	g_assert_cmpint(c.ended, >=, resumed);
	http_reply_free(&c.reply);
	proc_kill(&p);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/logsvc/lost-answer", test_log_lost_answer);
	g_test_add_func("/logsvc/retention", test_log_retention);
	g_test_add_func("/logsvc/waits", test_log_waits);
	g_test_add_func("/logsvc/refuses", test_log_refuses);
	g_test_add_func("/fault/misspelt", test_fault_misspelt);
	g_test_add_func("/vmlist/lags", test_vmlist_lags);
	g_test_add_func("/weights/limits", test_weights_limits);
	g_test_add_func("/plainsvc/counts-twice", test_plain_counts_twice);
	g_test_add_func("/engine/tokens", test_engine_tokens);
	g_test_add_func(
	    "/engine/crash-and-resume", test_engine_crash_and_resume);
	g_test_add_func("/engine/read-and-close", test_engine_read_and_close);
	g_test_add_func("/engine/stop", test_engine_stop);
	g_test_add_func("/engine/cancel", test_engine_cancel);
	g_test_add_func(
	    "/engine/closed-connection", test_engine_closed_connection);
	g_test_add_func("/engine/priority", test_engine_priority);
	g_test_add_func("/engine/token-time", test_engine_token_time);
	g_test_add_func("/engine/load-lags", test_engine_load_lags);
	g_test_add_func("/engine/down", test_engine_down);
	g_test_add_func("/engine/cache-events", test_engine_cache_events);
	g_test_add_func("/engine/fencing", test_engine_fencing);
	g_test_add_func("/engine/loads", test_engine_loads);
	g_test_add_func("/engine/late-answer", test_engine_late_answer);
	g_test_add_func("/engine/kv", test_engine_kv);
	g_test_add_func("/engine/stops", test_engine_stops);
	g_test_add_func("/proc/pause", test_proc_pause);
	return g_test_run();
}
