/*
 * show, history, diff: print a service's document and its edits on the log.
 */

#define LOG_PART "show"
#include "cmd.h"

#include <inttypes.h>
#include <string.h>

static enum cmd_retval cmd_show_exec(struct cmd *);
static enum cmd_retval cmd_history_exec(struct cmd *);
static enum cmd_retval cmd_diff_exec(struct cmd *);

const struct cmd_entry cmd_show_entry = {
	.name = "show",
	.args = "SERVICE",
	.usage = "Print the document in force.",
	.min = 1,
	.max = 1,
	.exec = cmd_show_exec,
};

const struct cmd_entry cmd_history_entry = {
	.name = "history",
	.args = "SERVICE",
	.usage = "List the edits of a document that the log keeps.",
	.min = 1,
	.max = 1,
	.exec = cmd_history_exec,
};

const struct cmd_entry cmd_diff_entry = {
	.name = "diff",
	.args = "SERVICE A B",
	.usage = "Compare two versions of a document.",
	.min = 3,
	.max = 3,
	.exec = cmd_diff_exec,
};

const char *
cmd_log_url(const struct cmd *c)
{
	if (c->log_url == NULL)
		cmd_print_message("expected --log URL or SAVORYPIER_LOG");
	return c->log_url;
}

/* Read the log and run one of this file's commands on it. */
static enum cmd_retval
show_run(const struct cmd *c,
    enum cmd_retval (*fn)(const struct cmd *, struct edits *))
{
	const char *url = cmd_log_url(c);
	g_autoptr(GError) error = NULL;
	enum cmd_retval retval;
	struct edits e;

	if (url == NULL)
		return CMD_USAGE;
	edits_init(&e);
	if (edits_read(&e, url, &error)) {
		retval = fn(c, &e);
	} else {
		error->code = SAVORY_ERROR_UNREACHABLE;
		retval = cmd_fail(error);
	}
	edits_finish(&e);
	return retval;
}

static json_t *
version_json(const struct doc_version *v)
{
	return json_pack("{ss sI ss sI sb ss}", "service", v->service,
	    "version", (json_int_t)v->version, "by", v->by, "wall_ms",
	    (json_int_t)v->wall, "exact", (int)v->exact, "text", v->text);
}

static enum cmd_retval
show_document(const struct cmd *c, struct edits *e)
{
	const struct doc_version *v = doc_fold_find(&e->fold, c->args[0]);
	g_autofree char *time = NULL;

	if (v == NULL) {
		cmd_print_message(
		    "%s: the log contains no document", c->args[0]);
		return CMD_REFUSED;
	}
	if (c->json) {
		cmd_print_json(version_json(v));
		return CMD_OK;
	}
	time = cmd_time(v->wall);
	cmd_print_message("%s version %" PRIu64 " by %s of %s", v->service,
	    v->version, v->by, time);
	if (!v->exact)
		cmd_print_message(
		    "the log has deleted some records; a later version "
		    "may be in force");
	fputs(v->text, stdout);
	return CMD_OK;
}

static json_t *
edit_json(const struct edit *e)
{
	return json_pack("{sI sI ss ss sI ss}", "offset", (json_int_t)e->offset,
	    "base", (json_int_t)e->base, "verdict", verdict_name(e->verdict),
	    "by", e->by, "wall_ms", (json_int_t)e->wall, "id", e->id);
}

static void
edit_print(const struct edit *e)
{
	g_autofree char *time = cmd_time(e->wall);

	printf("%8" PRIu64 "  %s  %-8s  after %-8" PRIu64 "  %s\n", e->offset,
	    time, verdict_name(e->verdict), e->base, e->by);
}

static enum cmd_retval
show_history(const struct cmd *c, struct edits *e)
{
	json_t *all = json_array();
	const struct edit *one;
	unsigned int n = 0;

	TAILQ_FOREACH (one, &e->list, entry) {
		if (strcmp(one->service, c->args[0]) != 0)
			continue;
		n++;
		if (c->json)
			json_array_append_new(all, edit_json(one));
		else
			edit_print(one);
	}
	if (c->json)
		cmd_print_json(json_incref(all));
	json_decref(all);
	if (n == 0)
		cmd_print_message("%s: the log contains no edit", c->args[0]);
	return n == 0 ? CMD_REFUSED : CMD_OK;
}

/* The text of a version named on the command line, or NULL. */
static const char *
show_version(const struct cmd *c, struct edits *e, const char *number)
{
	const char *text = NULL;
	guint64 n;

	if (g_ascii_string_to_unsigned(number, 10, 1, INT64_MAX, &n, NULL))
		text = edits_text(e, c->args[0], n);
	if (text == NULL)
		cmd_print_message(
		    "%s: the log contains no version %s", c->args[0], number);
	return text;
}

static enum cmd_retval
show_diff(const struct cmd *c, struct edits *e)
{
	const char *a = show_version(c, e, c->args[1]);
	const char *b = show_version(c, e, c->args[2]);
	g_autofree char *diff = NULL, *a_name = NULL, *b_name = NULL;

	if (a == NULL || b == NULL)
		return CMD_REFUSED;
	a_name = g_strdup_printf("%s version %s", c->args[0], c->args[1]);
	b_name = g_strdup_printf("%s version %s", c->args[0], c->args[2]);
	diff = text_diff(a, b, a_name, b_name);
	if (c->json)
		cmd_print_json(json_pack("{ss}", "diff", diff));
	else
		fputs(diff, stdout);
	return CMD_OK;
}

static enum cmd_retval
cmd_show_exec(struct cmd *c)
{
	return show_run(c, show_document);
}

static enum cmd_retval
cmd_history_exec(struct cmd *c)
{
	return show_run(c, show_history);
}

static enum cmd_retval
cmd_diff_exec(struct cmd *c)
{
	return show_run(c, show_diff);
}
