/*
 * Stand-in for a plain service behind the router. It counts how often each
 * caller's call was executed, which proves calls that may not be repeated.
 */

#define LOG_PART "plainsvc"
#include "common-http.h"

#include <inttypes.h>
#include <stdlib.h>

#include <xxhash.h>

enum {
	OPT_WORK_MS = 0x100
};

static const struct argp_option plainsvc_options[] = {
	{ "work-ms", OPT_WORK_MS, "MS", 0, "Time that a call takes" }, {}
};

static struct fault plainsvc_faults[] = { { "delay_ms", FAULT_NUMBER },
	{ "down", FAULT_BOOL }, { "read_and_close", FAULT_NUMBER },
	{ "status", FAULT_NUMBER }, {} };

static struct http_server plainsvc_server;
static msec plainsvc_work;
static GHashTable *plainsvc_calls; /* executions by id */
static int64_t plainsvc_executed;
static int64_t plainsvc_twice;

static int
calls_of(const char *id)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(plainsvc_calls, id));
}

static void
call_count(const char *id)
{
	int n = calls_of(id) + 1;

	plainsvc_executed++;
	if (n == 2)
		plainsvc_twice++;
	g_hash_table_insert(plainsvc_calls, g_strdup(id), GINT_TO_POINTER(n));
}

static enum MHD_Result
call_answer(struct http_request *req, const char *id)
{
	unsigned int status;
	char hex[17];

	status = (unsigned int)fault_value(req->server, "status");
	snprintf(hex, sizeof hex, "%016" PRIx64,
	    XXH64(req->body->str, req->body->len, 0));
	return http_json(req, status == 0 ? 200 : status,
	    json_pack("{s:s?,s:s?,s:i,s:s,s:s,s:s}", "caller_id",
		http_header(req, "X-Caller-Id"), "request_id",
		http_header(req, "X-Request-Id"), "execution", calls_of(id),
		"method", req->method, "path", req->path, "body_xxh64", hex));
}

static enum MHD_Result
plainsvc_call(struct http_server *srv, struct http_request *req)
{
	const char *id = http_header(req, "X-Caller-Id");
	msec wait;

	if (id == NULL)
		id = http_header(req, "X-Request-Id");
	if (id == NULL)
		id = "";
	/* The first time here, not after the wait. */
	if (req->arg == NULL) {
		req->arg = req;
		call_count(id);
		if (fault_take(srv, "read_and_close"))
			return http_cut(req);
		wait = plainsvc_work + (msec)fault_value(srv, "delay_ms");
		if (http_delay(req, wait))
			return MHD_YES;
	}
	return call_answer(req, id);
}

static enum MHD_Result
plainsvc_handle(struct http_server *srv, struct http_request *req)
{
	const char *id;

	if (http_is(req, "GET", "/healthz"))
		return http_json(req, 200, json_pack("{s:s}", "state", "live"));
	if (http_is(req, "GET", "/stats/executions")) {
		id = http_query(req, "id");
		return http_json(req, 200,
		    json_pack(
			"{s:i}", "executions", calls_of(id == NULL ? "" : id)));
	}
	return plainsvc_call(srv, req);
}

static json_t *
plainsvc_stats(struct http_server *srv)
{
	return json_pack("{s:I,s:I}", "executed", (json_int_t)plainsvc_executed,
	    "twice", (json_int_t)plainsvc_twice);
}

static void
plainsvc_faulted(struct http_server *srv)
{
	if (fault_value(srv, "down") != 0)
		http_cut_all(srv);
}

static const struct http_ops plainsvc_ops = { .handle = plainsvc_handle,
	.stats = plainsvc_stats,
	.faulted = plainsvc_faulted };

static error_t
plainsvc_parse(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = state->input;
		return 0;
	case OPT_WORK_MS:
		plainsvc_work = strtol(arg, NULL, 10);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
main(int argc, char **argv)
{
	log_open("info", false);
	http_server_init(&plainsvc_server, &plainsvc_ops, plainsvc_faults);
	http_server_arguments(&plainsvc_server, plainsvc_options,
	    plainsvc_parse, "A stand-in for a plain service.", argc, argv);
	plainsvc_calls =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return http_server_run(&plainsvc_server);
}
