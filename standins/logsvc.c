/*
 * Stand-in for the platform's log service: append-only streams in memory, with
 * offsets, an append budget, retention, long-polled reads and outages.
 */

#define LOG_PART "logsvc"
#include "common-http.h"

#include <string.h>

#define LOG_RECORD_MAX (1024 * 1024)
#define LOG_READ_DEFAULT 1000

struct log_record {
	TAILQ_ENTRY(log_record) entry;
	int64_t offset;
	msec appended;
	msec wall;
	char *data;
};
TAILQ_HEAD(log_record_list, log_record);

struct log_stream {
	struct log_record_list records;
	int64_t count;
	int64_t next;
};

static struct fault logsvc_faults[] = { { "outage", FAULT_BOOL },
	{ "delay_ms", FAULT_NUMBER }, { "lose_answers", FAULT_NUMBER },
	{ "lose_permille", FAULT_NUMBER }, { "retain_records", FAULT_NUMBER },
	{ "retain_ms", FAULT_NUMBER },
	{ "appends_per_second", FAULT_NUMBER, 400 }, {} };

static struct http_server logsvc_server;
static GHashTable *logsvc_streams;
static GRand *logsvc_rand;
static int64_t logsvc_appends;
static int64_t logsvc_refused;
static int64_t logsvc_reads;
static double logsvc_budget; /* appends that may be made at once */
static msec logsvc_budget_at;

static struct log_stream *
stream_get(const char *name)
{
	struct log_stream *s = g_hash_table_lookup(logsvc_streams, name);

	if (s != NULL)
		return s;
	s = g_new0(struct log_stream, 1);
	TAILQ_INIT(&s->records);
	s->next = 1;
	g_hash_table_insert(logsvc_streams, g_strdup(name), s);
	return s;
}

static bool
stream_expired(const struct log_stream *s, const struct log_record *r)
{
	int64_t keep = (int64_t)fault_value(&logsvc_server, "retain_records");
	msec age = (msec)fault_value(&logsvc_server, "retain_ms");

	if (keep > 0 && s->count > keep)
		return true;
	return age > 0 && msec_now() - r->appended > age;
}

static void
stream_expire(struct log_stream *s)
{
	struct log_record *r, *next;

	TAILQ_FOREACH_SAFE (r, &s->records, entry, next) {
		if (!stream_expired(s, r))
			return;
		TAILQ_REMOVE(&s->records, r, entry);
		s->count--;
		g_free(r->data);
		g_free(r);
	}
}

static int64_t
stream_first(struct log_stream *s)
{
	stream_expire(s);
	return s->next - s->count;
}

/* Readers mostly ask for the newest, so the search goes from the end. */
static struct log_record *
stream_find(struct log_stream *s, int64_t from)
{
	struct log_record *r, *found = NULL;

	TAILQ_FOREACH_REVERSE (r, &s->records, log_record_list, entry) {
		if (r->offset < from)
			break;
		found = r;
	}
	return found;
}

/* A token bucket that holds one second's worth. */
static bool
budget_take(void)
{
	double rate = fault_value(&logsvc_server, "appends_per_second");
	msec now = msec_now();

	if (rate <= 0)
		return true;
	logsvc_budget += rate * (double)(now - logsvc_budget_at) / 1000;
	logsvc_budget_at = now;
	if (logsvc_budget > rate)
		logsvc_budget = rate;
	if (logsvc_budget < 1)
		return false;
	logsvc_budget--;
	return true;
}

static bool
answer_lost(void)
{
	double share = fault_value(&logsvc_server, "lose_permille");

	if (fault_take(&logsvc_server, "lose_answers"))
		return true;
	return g_rand_double_range(logsvc_rand, 0, 1000) < share;
}

static enum MHD_Result
records_append(struct http_request *req, const char *name)
{
	struct log_stream *s;
	struct log_record *r;

	if (req->body->len > LOG_RECORD_MAX)
		return http_error(req, 413, "record too large");
	if (!g_utf8_validate(req->body->str, (gssize)req->body->len, NULL))
		return http_error(req, 400, "record is not UTF-8");
	if (!budget_take()) {
		logsvc_refused++;
		return http_too_many(req, 1);
	}
	s = stream_get(name);
	r = g_new0(struct log_record, 1);
	r->offset = s->next++;
	r->appended = msec_now();
	r->wall = msec_wall();
	r->data = g_strdup(req->body->str);
	TAILQ_INSERT_TAIL(&s->records, r, entry);
	s->count++;
	logsvc_appends++;
	stream_expire(s);
	http_wake_channel(&logsvc_server, s);
	if (answer_lost())
		return http_cut(req);
	return http_json(req, 200, json_pack("{s:I}", "offset", r->offset));
}

static json_t *
record_to_json(const struct log_record *r)
{
	return json_pack("{s:I,s:I,s:s}", "offset", (json_int_t)r->offset,
	    "time_ms", (json_int_t)r->wall, "data", r->data);
}

static enum MHD_Result
records_read(struct http_request *req, const char *name)
{
	struct log_stream *s = stream_get(name);
	int64_t from = http_query_number(req, "from", 1);
	int64_t max = http_query_number(req, "max", LOG_READ_DEFAULT);
	msec until = req->arrived + http_query_number(req, "wait_ms", 0);
	struct log_record *r;
	json_t *list;

	stream_expire(s);
	r = stream_find(s, from);
	if (r == NULL && msec_now() < until)
		return http_park(req, until, s);
	logsvc_reads++;
	list = json_array();
	for (; r != NULL && max > 0; r = TAILQ_NEXT(r, entry), max--)
		json_array_append_new(list, record_to_json(r));
	return http_json(req, 200,
	    json_pack("{s:I,s:I,s:o}", "first", (json_int_t)stream_first(s),
		"next", (json_int_t)s->next, "records", list));
}

/* The STREAM of "/v1/streams/STREAM/records", or NULL. */
static char *
path_stream(const char *path)
{
	const char *prefix = "/v1/streams/", *suffix = "/records";
	size_t n;

	if (!g_str_has_prefix(path, prefix) || !g_str_has_suffix(path, suffix))
		return NULL;
	n = strlen(path) - strlen(prefix);
	if (n <= strlen(suffix))
		return NULL;
	return g_strndup(path + strlen(prefix), n - strlen(suffix));
}

static enum MHD_Result
logsvc_handle(struct http_server *srv, struct http_request *req)
{
	g_autofree char *name = path_stream(req->path);

	if (name == NULL)
		return http_error(req, 404, "no such path");
	if (http_delay(req, (msec)fault_value(srv, "delay_ms")))
		return MHD_YES;
	if (fault_value(srv, "outage") != 0)
		return http_error(req, 503, "outage");
	if (strcmp(req->method, "POST") == 0)
		return records_append(req, name);
	if (strcmp(req->method, "GET") == 0)
		return records_read(req, name);
	return http_error(req, 405, "GET or POST");
}

static json_t *
logsvc_stats(struct http_server *srv)
{
	json_t *streams = json_object();
	GHashTableIter it;
	gpointer name, value;
	struct log_stream *s;

	g_hash_table_iter_init(&it, logsvc_streams);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		s = value;
		json_object_set_new(streams, name,
		    json_pack("{s:I,s:I}", "first", (json_int_t)stream_first(s),
			"next", (json_int_t)s->next));
	}
	return json_pack("{s:I,s:I,s:I,s:o}", "appends",
	    (json_int_t)logsvc_appends, "refused", (json_int_t)logsvc_refused,
	    "reads", (json_int_t)logsvc_reads, "streams", streams);
}

/* An outage must reach readers that wait, too. */
static void
logsvc_faulted(struct http_server *srv)
{
	http_wake_all(srv);
}

static const struct http_ops logsvc_ops = { .handle = logsvc_handle,
	.stats = logsvc_stats,
	.faulted = logsvc_faulted };

int
main(int argc, char **argv)
{
	log_open("info", false);
	http_server_init(&logsvc_server, &logsvc_ops, logsvc_faults);
	http_server_arguments(&logsvc_server, NULL, NULL,
	    "A stand-in for the log service.", argc, argv);
	logsvc_streams = g_hash_table_new(g_str_hash, g_str_equal);
	logsvc_rand = g_rand_new_with_seed(1);
	logsvc_budget = fault_value(&logsvc_server, "appends_per_second");
	logsvc_budget_at = msec_now();
	return http_server_run(&logsvc_server);
}
