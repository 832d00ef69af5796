/*
 * check: prints all findings of a settings file or a service document.
 */

#define LOG_PART "check"
#include "cmd.h"
#include "settings.h"

#include <string.h>

static enum cmd_retval cmd_check_exec(struct cmd *);

const struct cmd_entry cmd_check_entry = {
	.name = "check",
	.args = "FILE",
	.usage = "Check a service document or a node's settings.",
	.min = 1,
	.max = 1,
	.exec = cmd_check_exec,
};

/* True when a line of the text starts with this key. */
static bool
text_has_key(const char *text, const char *key)
{
	g_autofree char *line = g_strconcat("\n", key, ":", NULL);

	return g_str_has_prefix(text, line + 1) || strstr(text, line) != NULL;
}

bool
check_is_settings(const char *text)
{
	if (text_has_key(text, "service"))
		return false;
	return text_has_key(text, "node") || text_has_key(text, "listen") ||
	       text_has_key(text, "platform");
}

static json_t *
findings_json(const struct findings *f)
{
	json_t *all = json_array();
	const struct finding *one;

	TAILQ_FOREACH (one, &f->list, entry)
		json_array_append_new(
		    all, json_pack("{ss si si ss}", "file", one->file, "line",
			     (int)one->line, "column", (int)one->column, "text",
			     one->text));
	return all;
}

static void
check_text(const char *file, const char *text, size_t len, struct findings *f)
{
	struct settings s;
	struct document d;

	if (check_is_settings(text)) {
		settings_parse(&s, text, len, file, f);
		settings_finish(&s);
		return;
	}
	document_parse(&d, text, len, file, f);
	document_finish(&d);
}

static enum cmd_retval
cmd_check_exec(struct cmd *c)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	struct findings f;
	size_t len;
	unsigned int n;

	text = cmd_read_file(c->args[0], &len, &error);
	if (text == NULL)
		return cmd_fail(error);
	findings_init(&f);
	check_text(c->args[0], text, len, &f);
	n = f.count;
	if (c->json)
		cmd_print_json(findings_json(&f));
	else
		findings_print(&f, stdout);
	findings_finish(&f);
	if (n == 0 && !c->json)
		printf("%s: no findings\n", c->args[0]);
	return n == 0 ? CMD_OK : CMD_REFUSED;
}
