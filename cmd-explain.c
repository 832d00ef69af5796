/*
 * explain: prints one request's events from the logs of several nodes. Besides
 * the request's own lines it shows related changes: of the backend servers
 * that it used, the platform and the configuration. Of a request that was
 * refused for a part of its prompt it shows the ends that condemned the part.
 */

#define LOG_PART "explain"
#include "cmd.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Related events are shown from so long before the request's first line. */
#define EXPLAIN_BEFORE_MS 6000

static enum cmd_retval cmd_explain_exec(struct cmd *);

const struct cmd_entry cmd_explain_entry = {
	.name = "explain",
	.args = "ID FILE...",
	.usage = "Tell a request's story from the logs of nodes.",
	.min = 2,
	.max = CMD_ARGS_MAX,
	.exec = cmd_explain_exec,
};

/* One line of a log. */
struct log_line {
	json_t *json;
	int64_t time;
	const char *event;
	const char *node;
	const char *request; /* request id; NULL: none */
	const char *server;  /* NULL: none */
	const char *same; /* fingerprint of the request's content; NULL: none */
	const char *part; /* of prompts, that servers ended under; NULL: none */
	const char *parts; /* of the request's prompt; NULL: none */
};

static const char *
line_text(const json_t *o, const char *key)
{
	return json_string_value(json_object_get(o, key));
}

/* Lines may have a prefix added by a log collector. */
static void
explain_read(const char *name, const char *text, GArray *lines)
{
	g_auto(GStrv) all = g_strsplit(text, "\n", -1);
	unsigned int i, ninvalid = 0;
	struct log_line l;
	char *at;

	for (i = 0; all[i] != NULL; i++) {
		if ((at = strchr(all[i], '{')) == NULL)
			continue;
		l.json = json_loads(at, JSON_DISABLE_EOF_CHECK, NULL);
		l.event = line_text(l.json, "event");
		l.node = line_text(l.json, "node");
		if (l.event == NULL || l.node == NULL) {
			json_decref(l.json);
			ninvalid++;
			continue;
		}
		l.time = json_integer_value(json_object_get(l.json, "time_ms"));
		l.request = line_text(l.json, "request");
		l.server = line_text(l.json, "server");
		l.same = line_text(l.json, "same");
		l.part = line_text(l.json, "part");
		l.parts = line_text(l.json, "parts");
		g_array_append_val(lines, l);
	}
	if (ninvalid > 0)
		cmd_print_message(
		    "%s: %u lines are not valid log events", name, ninvalid);
}

static int
line_compare(const void *a, const void *b)
{
	const struct log_line *x = a, *y = b;

	return x->time < y->time ? -1 : x->time > y->time;
}

/* The earliest time of the request, its arrival if logged; -1: no line. */
static int64_t
explain_begin(const GArray *lines, const char *id, int64_t *end)
{
	const struct log_line *l;
	int64_t begin = -1, at;
	guint i;

	for (i = 0; i < lines->len; i++) {
		l = &g_array_index(lines, struct log_line, i);
		if (g_strcmp0(l->request, id) != 0)
			continue;
		at = l->time;
		if (strcmp(l->event, "request") == 0)
			at -=
			    json_integer_value(json_object_get(l->json, "ms"));
		if (begin == -1 || at < begin)
			begin = at;
		*end = l->time;
	}
	return begin;
}

static bool
explain_used_server(const GArray *lines, const char *id, const char *server)
{
	const struct log_line *l;
	guint i;

	for (i = 0; server != NULL && i < lines->len; i++) {
		l = &g_array_index(lines, struct log_line, i);
		if (g_strcmp0(l->request, id) == 0 &&
		    g_strcmp0(l->server, server) == 0)
			return true;
	}
	return false;
}

/* True when the request has this fingerprint; retries share it. */
static bool
explain_has_fingerprint(const GArray *lines, const char *id, const char *same)
{
	const struct log_line *l;
	guint i;

	for (i = 0; same != NULL && i < lines->len; i++) {
		l = &g_array_index(lines, struct log_line, i);
		if (g_strcmp0(l->request, id) == 0 &&
		    g_strcmp0(l->same, same) == 0)
			return true;
	}
	return false;
}

/* True for a line of another or no request that may explain this one. */
static bool
explain_is_related(const GArray *lines, const struct log_line *l,
    const char *id, const char *node)
{
	static const char *const node_events[] = { "configuration",
		"configuration-unreadable", "era", "platform-lost", "path",
		"platform-back", "started", "stopping", "stopped",
		"log-dropped" };
	size_t i;

	if (l->request != NULL)
		return strcmp(l->event, "attempt-failed") == 0 &&
		       explain_has_fingerprint(lines, id, l->same);
	if (l->server != NULL)
		return explain_used_server(lines, id, l->server);
	if (l->same != NULL)
		return explain_has_fingerprint(lines, id, l->same);
	if (g_strcmp0(l->node, node) != 0)
		return false;
	for (i = 0; i < G_N_ELEMENTS(node_events); i++) {
		if (strcmp(l->event, node_events[i]) == 0)
			return true;
	}
	return false;
}

/* The part of its prompt that the request was held back or refused for. */
static const char *
explain_part(const GArray *lines, const char *id)
{
	const struct log_line *l;
	guint i;

	for (i = 0; i < lines->len; i++) {
		l = &g_array_index(lines, struct log_line, i);
		if (g_strcmp0(l->request, id) == 0 && l->part != NULL)
			return l->part;
	}
	return NULL;
}

/*
 * True for the verdicts on a part of prompts, and for the attempts that broke
 * under requests with it.
 */
static bool
explain_is_about_part(const struct log_line *l, const char *part)
{
	g_auto(GStrv) parts = NULL;

	if (part == NULL)
		return false;
	if (l->request == NULL)
		return g_strcmp0(l->part, part) == 0;
	if (l->parts == NULL || strcmp(l->event, "attempt-failed") != 0 ||
	    g_strcmp0(line_text(l->json, "reason"), "broken") != 0)
		return false;
	parts = g_strsplit(l->parts, ",", -1);
	return g_strv_contains((const gchar *const *)parts, part);
}

static void
explain_print(const struct log_line *l, int64_t begin)
{
	const char *key;
	json_t *value;

	printf(
	    "%+8" PRId64 " ms  %-24s %s", l->time - begin, l->node, l->event);
	json_object_foreach (l->json, key, value) {
		char *text;

		if (strcmp(key, "time_ms") == 0 || strcmp(key, "node") == 0 ||
		    strcmp(key, "event") == 0 || strcmp(key, "request") == 0 ||
		    json_is_null(value))
			continue;
		text = json_dumps(value, JSON_ENCODE_ANY);
		printf("  %s %s", key,
		    json_is_string(value) ? json_string_value(value) : text);
		free(text);
	}
	printf("\n");
}

static const char *
explain_node(const GArray *lines, const char *id)
{
	const struct log_line *l;
	guint i;

	for (i = 0; i < lines->len; i++) {
		l = &g_array_index(lines, struct log_line, i);
		if (g_strcmp0(l->request, id) == 0)
			return l->node;
	}
	return NULL;
}

static enum cmd_retval
explain_lines(GArray *lines, const char *id)
{
	int64_t begin, end = 0;
	const struct log_line *l;
	const char *node, *part;
	guint i;

	g_array_sort(lines, line_compare);
	if ((begin = explain_begin(lines, id, &end)) == -1) {
		cmd_print_message(
		    "no line for request %s; lines about successful requests "
		    "may be left out",
		    id);
		return CMD_REFUSED;
	}
	node = explain_node(lines, id);
	part = explain_part(lines, id);
	for (i = 0; i < lines->len; i++) {
		l = &g_array_index(lines, struct log_line, i);
		if (l->time > end)
			continue;
		if (g_strcmp0(l->request, id) == 0 ||
		    explain_is_about_part(l, part) ||
		    (l->time >= begin - EXPLAIN_BEFORE_MS &&
			explain_is_related(lines, l, id, node)))
			explain_print(l, begin);
	}
	return CMD_OK;
}

static enum cmd_retval
cmd_explain_exec(struct cmd *c)
{
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(struct log_line));
	enum cmd_retval rc = CMD_OK;
	unsigned int i;

	for (i = 1; i < c->nargs && rc == CMD_OK; i++) {
		g_autoptr(GError) error = NULL;
		g_autofree char *text = NULL;

		if (!g_file_get_contents(c->args[i], &text, NULL, &error))
			rc = cmd_fail(error);
		else
			explain_read(c->args[i], text, lines);
	}
	if (rc == CMD_OK)
		rc = explain_lines(lines, c->args[0]);
	for (i = 0; i < lines->len; i++)
		json_decref(g_array_index(lines, struct log_line, i).json);
	g_array_unref(lines);
	return rc;
}
