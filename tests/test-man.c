/*
 * The manual pages and the completion match the code: exactly the commands and
 * options of the table, and the keys of the YAML schemas.
 */

#include "cmd.h"
#include "schemas.h"

#include <string.h>

static int
line_compare(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Sorts the lines and joins them, so that two lists compare as texts. */
static char *
lines_join(GPtrArray *lines)
{
	g_ptr_array_sort(lines, line_compare);
	g_ptr_array_add(lines, NULL);
	return g_strjoinv("\n", (char **)lines->pdata);
}

static char *
file_read(const char *name)
{
	char *text = NULL;

	g_assert_true(g_file_get_contents(name, &text, NULL, NULL));
	return text;
}

static void
options_expect(GPtrArray *want, const char *command, const struct cmd_option *o)
{
	for (; o != NULL && o->name != NULL; o++)
		g_ptr_array_add(want, g_strdup_printf("%s --%s%s%s", command,
					  o->name, o->arg != NULL ? " " : "",
					  o->arg != NULL ? o->arg : ""));
}

/* Returns the table's contents, a line for each command and each option. */
static char *
table_lines(void)
{
	g_autoptr(GPtrArray) want = g_ptr_array_new_with_free_func(g_free);
	const struct cmd_entry *e;
	unsigned int i;

	options_expect(want, "", cmd_globals);
	for (i = 0; (e = cmd_table[i]) != NULL; i++) {
		g_ptr_array_add(
		    want, g_strdup_printf("%s%s%s", e->name,
			      *e->args != '\0' ? " " : "", e->args));
		options_expect(want, e->name, e->options);
	}
	return lines_join(want);
}

/* Returns "NODE [PART]" for "Ar NODE Op Ar PART". */
static char *
macro_args(const char *macros)
{
	g_auto(GStrv) parts = g_strsplit(macros, "Op Ar ", 2);
	GString *s = g_string_new(parts[0]);

	if (parts[0] != NULL && parts[1] != NULL)
		g_string_append_printf(s, "[%s]", parts[1]);
	g_string_replace(s, "Ar ", "", 0);
	return g_string_free(s, FALSE);
}

/* Returns the page's contents in the same form. */
static char *
page_lines(const char *name)
{
	g_autoptr(GPtrArray) got = g_ptr_array_new_with_free_func(g_free);
	g_autofree char *text = file_read(name);
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	g_autofree char *command = g_strdup("");
	unsigned int i;

	for (i = 0; lines[i] != NULL; i++) {
		g_autofree char *args = macro_args(lines[i]);

		if (g_str_has_prefix(args, ".It Cm ")) {
			g_ptr_array_add(got, g_strdup(args + 7));
			g_free(command);
			command = g_strndup(args + 7, strcspn(args + 7, " "));
		}
		if (g_str_has_prefix(args, ".It Fl -"))
			g_ptr_array_add(
			    got, g_strdup_printf("%s --%s", command, args + 8));
	}
	return lines_join(got);
}

static void
test_tool(void)
{
	g_autofree char *want = table_lines();
	g_autofree char *got = page_lines("man/savorypier.1");

	g_assert_cmpstr(got, ==, want);
}

static void
test_exit_codes(void)
{
	g_autofree char *text = file_read("man/savorypier.1");
	const char *p = strstr(text, ".Sh EXIT STATUS");
	unsigned int i;

	for (i = CMD_OK; i <= CMD_NOT_RUN; i++) {
		g_autofree char *item = g_strdup_printf(".It %u\n", i);

		g_assert_nonnull(p);
		p = strstr(p, item);
	}
	g_assert_nonnull(p);
	g_assert_null(strstr(p, ".It 7"));
}

static void
keys_expect(GPtrArray *want, const struct walk_schema *schema, const char *dot)
{
	const struct walk_field *f;

	for (f = schema->fields; f->key != NULL; f++) {
		g_autofree char *key = g_strconcat(dot, f->key, NULL);
		g_autofree char *inner = g_strconcat(key, ".", NULL);

		g_ptr_array_add(want, g_strdup(key));
		if (f->schema != NULL)
			keys_expect(want, f->schema, inner);
	}
}

static void
check_keys(const char *name, const struct walk_schema *schema)
{
	g_autoptr(GPtrArray) want = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GPtrArray) got = g_ptr_array_new_with_free_func(g_free);
	g_autofree char *text = file_read(name);
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	g_autofree char *want_text = NULL, *got_text = NULL;
	unsigned int i;

	keys_expect(want, schema, "");
	for (i = 0; lines[i] != NULL; i++) {
		if (g_str_has_prefix(lines[i], ".It Ic "))
			g_ptr_array_add(got, g_strdup(lines[i] + 7));
	}
	want_text = lines_join(want);
	got_text = lines_join(got);
	g_assert_cmpstr(got_text, ==, want_text);
}

/* The daemon's manual page has exactly the "--option"s of its source. */
static void
test_daemon(void)
{
	g_autofree char *page = file_read("man/savorypierd.8");
	g_autofree char *code = file_read("daemon-main.c");
	g_autoptr(GRegex) option =
	    g_regex_new("\\{ \"([a-z-]+)\", '(.)', (\"FILE\")?", 0, 0, NULL);
	g_autoptr(GMatchInfo) match = NULL;
	unsigned int n = 0;
	const char *p;

	for (g_regex_match(option, code, 0, &match);
	     g_match_info_matches(match); g_match_info_next(match, NULL)) {
		g_autofree char *name = g_match_info_fetch(match, 1);
		g_autofree char *letter = g_match_info_fetch(match, 2);
		g_autofree char *arg = g_match_info_fetch(match, 3);
		g_autofree char *item =
		    g_strdup_printf(".It Fl %s , Fl -%s%s\n", letter, name,
			*arg != '\0' ? " Ar FILE" : "");

		g_assert_nonnull(strstr(page, item));
		n++;
	}
	for (p = page; (p = strstr(p, ".It Fl ")) != NULL; p++)
		n--;
	g_assert_cmpuint(n, ==, 0);
}

static void
test_settings(void)
{
	check_keys("man/savorypierd.8", &settings_schema);
}

static void
test_document(void)
{
	check_keys("man/savorypier-document.5", &document_schema);
}

static void
test_completion(void)
{
	g_autofree char *text = file_read("scripts/savorypier.bash");
	GString *all = g_string_new(NULL);
	const struct cmd_option *o;
	unsigned int i;

	for (i = 0; cmd_table[i] != NULL; i++) {
		GString *line = g_string_new(NULL);

		g_string_append_printf(
		    all, "%s%s", i > 0 ? " " : "", cmd_table[i]->name);
		for (o = cmd_table[i]->options; o != NULL && o->name; o++)
			g_string_append_printf(
			    line, "%s--%s", line->len > 0 ? " " : "", o->name);
		g_string_prepend(line, ") words=\"");
		g_string_prepend(line, cmd_table[i]->name);
		g_string_append(line, "\" ;;");
		g_assert_nonnull(strstr(text, line->str));
		g_string_free(line, TRUE);
	}
	g_string_prepend(all, "'') words=\"");
	g_string_append(all, "\" ;;");
	g_assert_nonnull(strstr(text, all->str));
	for (o = cmd_globals; o->name != NULL; o++)
		g_assert_nonnull(strstr(text, o->name));
	g_string_free(all, TRUE);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/man/tool", test_tool);
	g_test_add_func("/man/exit-codes", test_exit_codes);
	g_test_add_func("/man/daemon", test_daemon);
	g_test_add_func("/man/settings", test_settings);
	g_test_add_func("/man/document", test_document);
	g_test_add_func("/man/completion", test_completion);
	return g_test_run();
}
