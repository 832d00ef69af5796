/*
 * publish: appends a service document to the log and prints its verdict, which
 * depends on the log's order and not on this tool.
 */

#define LOG_PART "publish"
#include "cmd.h"
#include "log-client.h"
#include "log-record.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define APPEND_TIMEOUT (15 * MSEC_SECOND)
/* Interval and time limit of polling a node when the log lacks records. */
#define VERSION_POLL_INTERVAL ((msec)200)
#define VERSION_POLL_TIMEOUT (5 * MSEC_SECOND)

static enum cmd_retval cmd_publish_exec(struct cmd *);

const struct cmd_entry cmd_publish_entry = {
	.name = "publish",
	.args = "FILE",
	.usage = "Publish a service document.",
	.min = 1,
	.max = 1,
	.options =
	    (const struct cmd_option[]){
		{ "base", "N", "version that was edited (default: in force)",
		    true },
		{ "id", "ID", "retry the publication with this id" },
		{ "by", "NAME", "who publishes (default: user@host)" },
		{ "timeout-ms", "N", "how long to try (default 15000)", true },
		{ NULL } },
	.exec = cmd_publish_exec,
};

/* One publication in progress. */
struct publish {
	const char *file;
	const char *url;
	char *text;
	size_t len;
	char service[NAME_SIZE];
	char id[LOG_ID_SIZE];
	uint64_t base;
	struct edits edits;
};

/* Check the text before publishing, to print the findings to its author. */
static bool
publish_check(struct publish *p)
{
	struct findings f;
	struct document d;
	bool ok;

	findings_init(&f);
	ok = document_parse(&d, p->text, p->len, p->file, &f);
	findings_print(&f, stderr);
	if (ok)
		g_strlcpy(p->service, d.service, sizeof p->service);
	else
		cmd_print_message("%u findings, nothing published", f.count);
	document_finish(&d);
	findings_finish(&f);
	return ok;
}

static char *
publish_by(const struct cmd *c)
{
	const char *by = cmd_value(c, "by");

	if (by != NULL)
		return g_strdup(by);
	return g_strdup_printf("%s@%s", g_get_user_name(), g_get_host_name());
}

/* Report a conflict: the version in force and its diff to this text. */
static void
publish_conflict(struct publish *p, json_t *o)
{
	const struct doc_version *v = doc_fold_find(&p->edits.fold, p->service);
	g_autofree char *name = NULL, *time = NULL, *diff = NULL;
	json_t *winner;

	if (v == NULL)
		return;
	time = cmd_time(v->wall);
	name = g_strdup_printf(
	    "version %" PRIu64 " (in force, by %s)", v->version, v->by);
	diff = text_diff(v->text, p->text, name, p->file);
	winner = json_pack("{sI ss sI}", "version", (json_int_t)v->version,
	    "by", v->by, "wall_ms", (json_int_t)v->wall);
	json_object_set_new(o, "winner", winner);
	json_object_set_new(o, "diff", json_string(diff));
	cmd_print_message("conflict: version %" PRIu64
			  " by %s of %s is in force, not "
			  "%" PRIu64 ", which was edited",
	    v->version, v->by, time, p->base);
	fputs(diff, stderr);
}

static void
publish_unknown(const struct publish *p, const char *why)
{
	cmd_print_message(
	    "unknown whether %s was published: %s", p->service, why);
	cmd_print_message(
	    "to find out, or to publish it once, run: savorypier publish "
	    "--id %s --base %" PRIu64 " %s",
	    p->id, p->base, p->file);
}

static void
publish_print_verdict(const struct publish *p, const struct edit *e)
{
	switch (e->verdict) {
	case DOC_ACCEPTED:
		cmd_print_message("%s: accepted as version %" PRIu64
				  ", after %" PRIu64,
		    p->service, e->offset, e->base);
		break;
	case DOC_CONFLICT:
		break;
	case DOC_REFUSED:
		cmd_print_message(
		    "%s: refused, the nodes found errors in it", p->service);
		break;
	default:
		publish_unknown(
		    p, "the log has deleted the records that decide it");
		break;
	}
}

/* The version in force on the node at --control; 0: none or no --control. */
static uint64_t
publish_query_version(const struct cmd *c, const char *service)
{
	json_t *self, *d;
	uint64_t version = 0;
	size_t i;

	if (c->control == NULL)
		return 0;
	self = control_call(c, "GET", c->control, "/control/status", NULL);
	json_array_foreach (json_object_get(self, "documents"), i, d) {
		if (g_strcmp0(json_string_value(json_object_get(d, "service")),
			service) == 0)
			version =
			    json_integer_value(json_object_get(d, "version"));
	}
	json_decref(self);
	return version;
}

/*
 * The log has deleted the records that decide this edit, but nodes have read
 * them. A node with the edit's version in force accepted it; any other
 * version proves nothing, since the node may lag behind.
 */
static bool
publish_is_in_force(const struct cmd *c, const struct edit *e)
{
	msec until = msec_now() + VERSION_POLL_TIMEOUT;

	while (c->control != NULL && msec_now() < until) {
		if (publish_query_version(c, e->service) == e->offset)
			return true;
		g_usleep((gulong)VERSION_POLL_INTERVAL * 1000);
	}
	return false;
}

/* Print the verdict on an edit from the log. */
static enum cmd_retval
publish_verdict(const struct cmd *c, struct publish *p, struct edit *e)
{
	json_t *o;

	if (e->verdict == DOC_UNKNOWN && publish_is_in_force(c, e))
		e->verdict = DOC_ACCEPTED;
	o = json_pack("{ss ss sI sI ss}", "service", p->service, "verdict",
	    verdict_name(e->verdict), "version", (json_int_t)e->offset, "base",
	    (json_int_t)e->base, "id", p->id);

	publish_print_verdict(p, e);
	if (e->verdict == DOC_CONFLICT)
		publish_conflict(p, o);
	if (c->json)
		cmd_print_json(o);
	else
		json_decref(o);
	return publish_retval(e->verdict);
}

/* Determine the version that the text is based on. */
static bool
publish_base(const struct cmd *c, struct publish *p)
{
	const struct doc_version *v = doc_fold_find(&p->edits.fold, p->service);
	bool known = v != NULL ? v->exact : p->edits.fold.complete;

	p->base = v != NULL ? v->version : 0;
	if (cmd_value(c, "base") != NULL) {
		p->base = cmd_number(c, "base", 0);
		return true;
	}
	if (known)
		return true;
	if ((p->base = publish_query_version(c, p->service)) != 0)
		return true;
	cmd_print_message(
	    "the log has deleted records, so the version of %s in force is "
	    "unknown: give --base, or --control to query a node; nothing "
	    "published",
	    p->service);
	return false;
}

enum cmd_retval
publish_retval(enum doc_verdict verdict)
{
	switch (verdict) {
	case DOC_ACCEPTED:
		return CMD_OK;
	case DOC_CONFLICT:
		return CMD_CONFLICT;
	case DOC_REFUSED:
		return CMD_REFUSED;
	default:
		return CMD_UNKNOWN;
	}
}

static enum cmd_retval
publish_json_unknown(const struct cmd *c, const struct publish *p)
{
	if (c->json)
		cmd_print_json(
		    json_pack("{ss ss sI ss}", "service", p->service, "verdict",
			"unknown", "base", (json_int_t)p->base, "id", p->id));
	return CMD_UNKNOWN;
}

/* Append the edit, then read the log to determine its verdict. */
static enum cmd_retval
publish_append(const struct cmd *c, struct publish *p)
{
	g_autofree char *by = publish_by(c);
	g_autoptr(GError) error = NULL;
	struct edit *e;
	uint64_t offset;
	char *record;

	record = doc_edit_encode(p->service, p->base, by, p->text, p->id);
	if (record == NULL) {
		cmd_print_message("%s: too large for the log", p->file);
		return CMD_REFUSED;
	}
	offset = log_append_id(p->url, LOG_STREAM_DOCUMENTS, record, p->id,
	    p->edits.fold.next,
	    (msec)cmd_number(c, "timeout-ms", APPEND_TIMEOUT), &error);
	free(record);
	if (offset == 0 && error->code != SAVORY_ERROR_UNKNOWN) {
		cmd_print_message("nothing published");
		return cmd_fail(error);
	}
	if (offset != 0 && edits_read(&p->edits, p->url, &error) &&
	    (e = edits_find_id(&p->edits, p->id)) != NULL)
		return publish_verdict(c, p, e);
	publish_unknown(p, error != NULL
			       ? error->message
			       : "the log has already deleted its record");
	return publish_json_unknown(c, p);
}

static enum cmd_retval
publish_run(const struct cmd *c, struct publish *p)
{
	const char *id = cmd_value(c, "id");
	struct edit *e;
	g_autoptr(GError) error = NULL;

	if ((p->text = cmd_read_file(p->file, &p->len, &error)) == NULL)
		return cmd_fail(error);
	if (!publish_check(p))
		return CMD_REFUSED;
	log_id_make(p->id);
	if (id != NULL)
		g_strlcpy(p->id, id, sizeof p->id);
	if (!edits_read(&p->edits, p->url, &error)) {
		/* A read changes nothing, so it certainly took no effect. */
		error->code = SAVORY_ERROR_UNREACHABLE;
		cmd_print_message("nothing published");
		return cmd_fail(error);
	}
	if ((e = edits_find_id(&p->edits, p->id)) != NULL) {
		p->base = e->base;
		return publish_verdict(c, p, e);
	}
	if (!publish_base(c, p))
		return CMD_REFUSED;
	return publish_append(c, p);
}

static enum cmd_retval
cmd_publish_exec(struct cmd *c)
{
	const char *id = cmd_value(c, "id");
	struct publish p = { .file = c->args[0] };
	enum cmd_retval retval;

	if ((p.url = cmd_log_url(c)) == NULL)
		return CMD_USAGE;
	if (id != NULL && !log_id_valid(id)) {
		cmd_print_message(
		    "--id: expected the id that an earlier run printed");
		return CMD_USAGE;
	}
	edits_init(&p.edits);
	retval = publish_run(c, &p);
	edits_finish(&p.edits);
	g_free(p.text);
	return retval;
}
