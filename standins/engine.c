/*
 * Stand-in for a model engine: streamed answers that any engine can resume,
 * orders, and the ways in which engines fail. The batch is common-batch.c.
 */

#define LOG_PART "engine"
#include "common-batch.h"
#include "common-models.h"
#include "common-token.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define ENGINE_EVENTS_POLL_MS 20 /* as lag makes events visible */
#define ENGINE_BLOCK 16384
#define ENGINE_LENGTH 16 /* of an answer, when the request does not say */
#define ENGINE_HELD_FACTOR 4

enum {
	OPT_SERVICE = 0x100,
	OPT_MODEL,
	OPT_TOKEN_MS,
	OPT_BATCH_SLOPE,
	OPT_PREFILL_US,
	OPT_BATCH_MAX,
	OPT_FENCING,
	OPT_NO_FENCING,
	OPT_WEIGHTS,
	OPT_LOAD_MS,
	OPT_CACHE
};

static const struct argp_option engine_options[] = {
	{ "service", OPT_SERVICE, "NAME", 0, "Service it belongs to" },
	{ "model", OPT_MODEL, "NAME@VERSION", 0, "Held from the start" },
	{ "token-ms", OPT_TOKEN_MS, "MS", 0, "Time of a lone stream's token" },
	{ "batch-slope", OPT_BATCH_SLOPE, "X", 0,
	    "Part of it that each further stream adds" },
	{ "prefill-us", OPT_PREFILL_US, "US", 0, "Time of a prompt token" },
	{ "batch-max", OPT_BATCH_MAX, "N", 0, "Streams decoded together" },
	{ "fencing", OPT_FENCING, NULL, 0, "Refuse orders with old numbers" },
	{ "no-fencing", OPT_NO_FENCING, NULL, 0, "Obey them" },
	{ "weights", OPT_WEIGHTS, "URL", 0, "Weight store" },
	{ "load-ms", OPT_LOAD_MS, "MS", 0, "Time to load a model" },
	{ "cache", OPT_CACHE, "N", 0, "Prompt prefixes kept" }, {}
};

static struct fault engine_faults[] = { { "slow_factor", FAULT_NUMBER, 1 },
	{ "crash_after", FAULT_NUMBER, -1 }, { "crash_permille", FAULT_NUMBER },
	{ "down", FAULT_BOOL }, { "freeze_load", FAULT_BOOL },
	{ "lag_ms", FAULT_NUMBER }, { "event_lag_ms", FAULT_NUMBER },
	{ "event_loss_permille", FAULT_NUMBER },
	{ "read_and_close", FAULT_NUMBER }, { "late_answer_ms", FAULT_NUMBER },
	{} };

static struct http_server engine_server;
static struct models engine_models;
static struct batch engine_batch;
static unsigned int engine_prefixes = 256;

/* Completions. */

static const char *
body_prompt(const json_t *body)
{
	json_t *list = json_object_get(body, "messages");
	json_t *last;

	if (json_is_string(json_object_get(body, "prompt")))
		return json_string_value(json_object_get(body, "prompt"));
	if (json_array_size(list) == 0)
		return NULL;
	last = json_array_get(list, json_array_size(list) - 1);
	return json_string_value(json_object_get(last, "content"));
}

static int64_t
body_length(const json_t *body)
{
	json_t *most = json_object_get(body, "max_tokens");
	json_t *want = json_object_get(body, "x_tokens");
	int64_t n = ENGINE_LENGTH;

	if (json_is_integer(want))
		n = json_integer_value(want);
	else if (json_is_integer(most))
		n = json_integer_value(most);
	if (json_is_integer(most))
		n = MIN(n, json_integer_value(most));
	return MAX(n, 0);
}

static int64_t
header_number(struct http_request *req, const char *name)
{
	const char *text = http_header(req, name);

	return text == NULL ? 0 : g_ascii_strtoll(text, NULL, 10);
}

/* What precedes the index in each event; it is the same for all tokens. */
static char *
stream_head(const char *id)
{
	json_t *v = json_string(id);
	char *text, *head;

	text = json_dumps(v, JSON_ENCODE_ANY);
	head = g_strdup_printf("data: {\"id\":%s,"
			       "\"object\":\"chat.completion.chunk\","
			       "\"index\":",
	    text == NULL ? "\"\"" : text);
	free(text);
	json_decref(v);
	return head;
}

static struct stream *
stream_new(struct http_request *req, const json_t *body)
{
	const char *id = http_header(req, "X-Request-Id"), *user;
	struct stream *s = g_new0(struct stream, 1);

	s->batch = &engine_batch;
	s->req = req;
	s->fd = http_fd(req);
	s->id = g_strdup(id == NULL ? "" : id);
	s->attempt = header_number(req, "X-Attempt");
	s->priority = header_number(req, "X-Priority");
	s->prompt = g_strdup(body_prompt(body));
	s->prompt_len = strlen(s->prompt);
	s->head = stream_head(s->id);
	s->first = s->index = MAX(header_number(req, "X-Resume-At"), 0);
	s->end = MAX(body_length(body), s->first);
	s->streamed = json_is_true(json_object_get(body, "stream"));
	s->answer_at =
	    req->arrived + (msec)fault_value(req->server, "late_answer_ms");
	s->out = g_string_new(NULL);
	user = json_string_value(json_object_get(body, "user"));
	if (user != NULL)
		s->user = batch_user(&engine_batch, user);
	return s;
}

static void
stream_echo(const struct stream *s, struct MHD_Response *resp)
{
	const char *attempt = http_header(s->req, "X-Attempt");

	MHD_add_response_header(resp, "X-Request-Id", s->id);
	if (attempt != NULL)
		MHD_add_response_header(resp, "X-Attempt", attempt);
}

/* Called by libmicrohttpd when it can send more. */
static ssize_t
stream_read(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct stream *s = arg;
	struct http_server *srv = s->req->server;
	ssize_t n = 0;

	pthread_mutex_lock(&srv->lock);
	if (s->sent < s->out->len) {
		n = (ssize_t)MIN(max, s->out->len - s->sent);
		memcpy(buf, s->out->str + s->sent, (size_t)n);
		s->sent += (size_t)n;
	} else if (s->state == STREAM_FINISHED)
		n = MHD_CONTENT_READER_END_OF_STREAM;
	else if (!stream_held(s) ||
		 http_park(s->req, MSEC_NEVER, NULL) == MHD_NO)
		n = MHD_CONTENT_READER_END_WITH_ERROR;
	if (s->sent == s->out->len) {
		g_string_truncate(s->out, 0);
		s->sent = 0;
	}
	pthread_mutex_unlock(&srv->lock);
	return n;
}

static json_t *
stream_whole(const struct stream *s)
{
	json_int_t in = (json_int_t)prompt_tokens(s->prompt_len);
	json_int_t out = s->end - s->first;

	return json_pack("{s:s,s:s,s:[{s:i,s:{s:s,s:s},s:s}],s:{s:I,s:I,s:I}}",
	    "id", s->id, "object", "chat.completion", "choices", "index", 0,
	    "message", "role", "assistant", "content", s->out->str,
	    "finish_reason", "stop", "usage", "prompt_tokens", in,
	    "completion_tokens", out, "total_tokens", in + out);
}

static enum MHD_Result
stream_answer(struct stream *s)
{
	struct MHD_Response *resp;

	if (msec_now() < s->answer_at)
		return http_park(s->req, s->answer_at, NULL);
	if (s->streamed) {
		resp = MHD_create_response_from_callback(
		    MHD_SIZE_UNKNOWN, ENGINE_BLOCK, stream_read, s, NULL);
		MHD_add_response_header(
		    resp, "Content-Type", "text/event-stream");
		stream_echo(s, resp);
		return http_send(s->req, 200, resp);
	}
	if (stream_held(s))
		return http_park(s->req, MSEC_NEVER, NULL);
	if (s->state != STREAM_FINISHED)
		return http_cut(s->req);
	resp = http_json_response(stream_whole(s));
	stream_echo(s, resp);
	return http_send(s->req, 200, resp);
}

static enum MHD_Result
stream_enter(struct stream *s)
{
	struct http_request *req = s->req;

	/* The caller cannot tell this from an engine that never read it. */
	if (fault_take(req->server, "read_and_close")) {
		stream_count_execution(s);
		s->state = STREAM_CUT;
		engine_batch.cut++;
		return http_cut(req);
	}
	batch_enter(&engine_batch, s);
	return stream_answer(s);
}

static enum MHD_Result
engine_complete(struct http_request *req)
{
	json_t *body;
	const char *model;
	enum MHD_Result ret;

	if (req->arg != NULL)
		return stream_answer(req->arg);
	body = json_loadb(req->body->str, req->body->len, 0, NULL);
	model = json_string_value(json_object_get(body, "model"));
	if (body_prompt(body) == NULL)
		ret = http_error(req, 400, "no prompt");
	else if (model == NULL || !models_ready(&engine_models, model))
		ret = http_error(req, 404, "model not loaded");
	else if (engine_batch.waiting_count + engine_batch.running_count >=
		 ENGINE_HELD_FACTOR * engine_batch.max)
		ret = http_error(req, 503, "engine is full");
	else {
		req->arg = stream_new(req, body);
		ret = stream_enter(req->arg);
	}
	json_decref(body);
	return ret;
}

/* Control. */

static enum MHD_Result
engine_cancel(struct http_request *req, const json_t *body)
{
	struct stream *s;

	s = batch_find(&engine_batch,
	    json_string_value(json_object_get(body, "id")),
	    json_object_get(body, "attempt"));
	if (s == NULL)
		return http_error(req, 404, "no such request");
	stream_end(s, STREAM_CANCELLED);
	batch_run(&engine_batch);
	return http_json(req, 200, json_pack("{s:I}", "at", s->index));
}

static enum MHD_Result
engine_order(struct http_request *req, const json_t *body)
{
	unsigned int status = models_order(&engine_models, body);

	return http_json(req, status,
	    json_pack("{s:I}", "highest", (json_int_t)engine_models.highest));
}

static enum MHD_Result
engine_kv_export(struct http_request *req, const json_t *body)
{
	struct stream *s;
	char hex[17];

	s = batch_find(&engine_batch,
	    json_string_value(json_object_get(body, "id")), NULL);
	if (s == NULL)
		return http_error(req, 404, "no such request");
	stream_kv(s, hex);
	return http_json(req, 200,
	    json_pack("{s:s,s:I}", "kv", hex, "at", (json_int_t)s->index));
}

static enum MHD_Result
engine_kv_import(struct http_request *req, const json_t *body)
{
	const char *kv = json_string_value(json_object_get(body, "kv"));

	if (kv == NULL)
		return http_error(req, 400, "no kv");
	g_hash_table_add(engine_batch.kv, g_strdup(kv));
	return http_json(req, 200, json_object());
}

static enum MHD_Result
engine_cache_events(struct http_request *req)
{
	msec lag = (msec)fault_value(req->server, "event_lag_ms");
	int64_t from = http_query_number(req, "from", 1), next;
	msec now = msec_now();
	msec until = req->arrived + http_query_number(req, "wait_ms", 0);
	json_t *list =
	    cache_events(&engine_batch.cache, from, now - lag, &next);

	if (json_array_size(list) == 0 && now < until) {
		json_decref(list);
		until = MIN(until, now + ENGINE_EVENTS_POLL_MS);
		return http_park(req, until, &engine_batch.cache);
	}
	return http_json(req, 200,
	    json_pack("{s:I,s:o}", "next", (json_int_t)next, "events", list));
}

static enum MHD_Result
engine_executions(struct http_request *req)
{
	const char *name = http_query(req, "user");
	struct user *u = NULL;

	if (name != NULL)
		u = g_hash_table_lookup(engine_batch.users, name);
	return http_json(req, 200,
	    json_pack("{s:I,s:I}", "executions",
		(json_int_t)(u == NULL ? 0 : u->executions), "tokens",
		(json_int_t)(u == NULL ? 0 : u->tokens)));
}

static enum MHD_Result
engine_get(struct http_server *srv, struct http_request *req)
{
	if (strcmp(req->path, "/v1/load") == 0)
		return http_json(req, 200, batch_load_json(&engine_batch));
	if (strcmp(req->path, "/v1/state") == 0)
		return http_json(req, 200, models_to_json(&engine_models));
	if (strcmp(req->path, "/v1/cache/events") == 0)
		return engine_cache_events(req);
	if (strcmp(req->path, "/stats/executions") == 0)
		return engine_executions(req);
	return http_error(req, 404, "no such path");
}

struct engine_route {
	const char *path;
	enum MHD_Result (*handle)(struct http_request *, const json_t *);
};

static const struct engine_route engine_routes[] = { { "/v1/cancel",
							 engine_cancel },
	{ "/v1/orders", engine_order }, { "/v1/kv/export", engine_kv_export },
	{ "/v1/kv/import", engine_kv_import } };

static enum MHD_Result
engine_handle(struct http_server *srv, struct http_request *req)
{
	enum MHD_Result ret;
	json_t *body;
	size_t i;

	if (strcmp(req->method, "GET") == 0)
		return engine_get(srv, req);
	if (http_is(req, "POST", "/v1/chat/completions") ||
	    http_is(req, "POST", "/v1/completions"))
		return engine_complete(req);
	for (i = 0; i < G_N_ELEMENTS(engine_routes); i++) {
		if (!http_is(req, "POST", engine_routes[i].path))
			continue;
		body = json_loadb(req->body->str, req->body->len, 0, NULL);
		ret = engine_routes[i].handle(req, body);
		json_decref(body);
		return ret;
	}
	return http_error(req, 404, "no such path");
}

static json_t *
engine_stats(struct http_server *srv)
{
	return json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "executed",
	    (json_int_t)engine_batch.executed, "finished",
	    (json_int_t)engine_batch.finished, "cancelled",
	    (json_int_t)engine_batch.cancelled, "cut",
	    (json_int_t)engine_batch.cut, "twice",
	    (json_int_t)engine_batch.twice, "tokens",
	    (json_int_t)engine_batch.tokens, "running",
	    (json_int_t)engine_batch.running_count);
}

static void
engine_faulted(struct http_server *srv)
{
	engine_batch.cache.loss_permille =
	    fault_value(srv, "event_loss_permille");
	if (fault_value(srv, "freeze_load") == 0)
		batch_freeze(&engine_batch);
	if (fault_value(srv, "down") != 0) {
		batch_cut(&engine_batch);
		http_cut_all(srv);
	}
}

static void
engine_done(struct http_server *srv, struct http_request *req)
{
	if (req->arg != NULL)
		stream_free(req->arg);
}

static void
engine_stopping(struct http_server *srv)
{
	batch_cut(&engine_batch);
}

static const struct http_ops engine_ops = { .handle = engine_handle,
	.stats = engine_stats,
	.faulted = engine_faulted,
	.done = engine_done,
	.stopping = engine_stopping };

static error_t
engine_parse(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = state->input;
		return 0;
	case OPT_SERVICE:
		return 0;
	case OPT_MODEL:
		models_hold(&engine_models, arg);
		return 0;
	case OPT_TOKEN_MS:
		engine_batch.token_us = g_ascii_strtod(arg, NULL) * 1000;
		return 0;
	case OPT_BATCH_SLOPE:
		engine_batch.slope = g_ascii_strtod(arg, NULL);
		return 0;
	case OPT_PREFILL_US:
		engine_batch.prefill_us = g_ascii_strtod(arg, NULL);
		return 0;
	case OPT_BATCH_MAX:
		engine_batch.max = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case OPT_FENCING:
	case OPT_NO_FENCING:
		engine_models.fencing = key == OPT_FENCING;
		return 0;
	case OPT_WEIGHTS:
		engine_models.weights = arg;
		return 0;
	case OPT_LOAD_MS:
		engine_models.load_time = strtol(arg, NULL, 10);
		return 0;
	case OPT_CACHE:
		engine_prefixes = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
main(int argc, char **argv)
{
	int status;

	log_open("info", false);
	http_server_init(&engine_server, &engine_ops, engine_faults);
	batch_init(&engine_batch, &engine_server);
	models_init(&engine_models, &engine_server.lock);
	http_server_arguments(&engine_server, engine_options, engine_parse,
	    "A stand-in for a model engine.", argc, argv);
	batch_start(&engine_batch, engine_prefixes);
	models_start(&engine_models);
	status = http_server_run(&engine_server);
	batch_finish(&engine_batch);
	return status;
}
