/*
 * Stand-in for the weight store, whose loads are rate-limited.
 */

#define LOG_PART "weights"
#include "common-http.h"

#include <string.h>

#define WEIGHTS_PREFIX "/v1/weights/"
#define WEIGHTS_BYTES 1000000000

static struct fault weights_faults[] = { { "outage", FAULT_BOOL },
	{ "delay_ms", FAULT_NUMBER }, { "loads_per_minute", FAULT_NUMBER },
	{ "missing", FAULT_NAMES }, {} };

static struct http_server weights_server;
static int64_t weights_loads;
static int64_t weights_refused;
static double weights_budget; /* loads that may be made at once */
static msec weights_budget_at;

/* A token bucket that holds one load, or a second's worth if that is more. */
static bool
budget_take(double per_minute)
{
	msec now = msec_now();
	double most = MAX(per_minute / 60, 1);

	if (per_minute <= 0)
		return true;
	weights_budget +=
	    per_minute * (double)(now - weights_budget_at) / 60000;
	weights_budget_at = now;
	weights_budget = MIN(weights_budget, most);
	if (weights_budget < 1)
		return false;
	weights_budget--;
	return true;
}

static unsigned int
budget_wait(double per_minute)
{
	return 1 + (unsigned int)((1 - weights_budget) * 60 / per_minute);
}

static enum MHD_Result
weights_handle(struct http_server *srv, struct http_request *req)
{
	double per_minute = fault_value(srv, "loads_per_minute");
	const char *name;

	if (strcmp(req->method, "GET") != 0 ||
	    !g_str_has_prefix(req->path, WEIGHTS_PREFIX))
		return http_error(req, 404, "no such path");
	if (http_delay(req, (msec)fault_value(srv, "delay_ms")))
		return MHD_YES;
	if (fault_value(srv, "outage") != 0)
		return http_error(req, 503, "outage");
	name = req->path + strlen(WEIGHTS_PREFIX);
	if (strchr(name, '/') == NULL || fault_names(srv, "missing", name))
		return http_error(req, 404, "no such weights");
	if (!budget_take(per_minute)) {
		weights_refused++;
		return http_too_many(req, budget_wait(per_minute));
	}
	weights_loads++;
	return http_json(req, 200, json_pack("{s:i}", "bytes", WEIGHTS_BYTES));
}

static json_t *
weights_stats(struct http_server *srv)
{
	return json_pack("{s:I,s:I}", "loads", (json_int_t)weights_loads,
	    "refused", (json_int_t)weights_refused);
}

static const struct http_ops weights_ops = { .handle = weights_handle,
	.stats = weights_stats };

int
main(int argc, char **argv)
{
	log_open("info", false);
	http_server_init(&weights_server, &weights_ops, weights_faults);
	http_server_arguments(&weights_server, NULL, NULL,
	    "A stand-in for the weight store.", argc, argv);
	weights_budget = 1;
	weights_budget_at = msec_now();
	return http_server_run(&weights_server);
}
