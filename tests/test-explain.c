/*
 * The `explain` command, from a request's id to the cause of its outcome, as in
 * docs/OPERATIONS.md: its examples are replayed from lines of a real run, and
 * its tables match the code.
 */

#include "cmd.h"
#include "entry-log.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

extern const struct cmd_entry cmd_explain_entry;

/* Returns the output of the command and its exit code. */
static char *
explain(const char *id, const char *file, enum cmd_retval *rc)
{
	struct cmd c = {
		.entry = &cmd_explain_entry, .args = { id, file }, .nargs = 2
	};
	FILE *fp = tmpfile();
	int saved = dup(STDOUT_FILENO);
	GString *s = g_string_new(NULL);
	char bytes[4096];
	size_t n;

	g_assert_nonnull(fp);
	fflush(stdout);
	dup2(fileno(fp), STDOUT_FILENO);
	*rc = cmd_explain_entry.exec(&c);
	fflush(stdout);
	dup2(saved, STDOUT_FILENO);
	close(saved);
	rewind(fp);
	while ((n = fread(bytes, 1, sizeof bytes, fp)) > 0)
		g_string_append_len(s, bytes, (gssize)n);
	fclose(fp);
	return g_string_free(s, FALSE);
}

static char *
page_read(void)
{
	g_autoptr(GError) error = NULL;
	char *text;

	g_file_get_contents("docs/OPERATIONS.md", &text, NULL, &error);
	g_assert_no_error(error);
	return text;
}

/* Each line that the command prints is on the page. */
static void
check_example(const char *id, const char *name, const char *cause)
{
	g_autofree char *file =
	    g_strdup_printf("tests/data/explain-%s.jsonl", name);
	g_autofree char *page = page_read(), *text = NULL;
	g_auto(GStrv) lines = NULL;
	enum cmd_retval rc;
	unsigned int i;

	text = explain(id, file, &rc);
	g_assert_cmpint(rc, ==, CMD_OK);
	g_assert_nonnull(strstr(text, cause));
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i] != NULL; i++) {
		if (strstr(page, lines[i]) == NULL)
			g_error("not in the page: %s", lines[i]);
	}
}

static void
test_examples(void)
{
	check_example("34536908729632f0", "refused", "reason full");
	check_example("fd1c5e2de35eb7a6", "broken", "reason broken");
	check_example("48715e12a1e56455", "not-fresh", "platform-lost");
	check_example("8738353752e5f463", "leaving", "no-time-left");
	check_example("5b0e77c1d2f94a36", "era", "state changed");
	check_example("s7-000358", "poison", "condemned");
	check_example("s7-001483", "part", "condemned  part");
}

/* An unknown id, a truncated file, and a missing file. */
static void
test_bad_input(void)
{
	g_autofree char *none = NULL, *cut = NULL, *missing = NULL;
	g_autofree char *text = NULL, *path = NULL;
	enum cmd_retval rc;
	gsize len;
	int fd;

	none = explain("0000", "tests/data/explain-broken.jsonl", &rc);
	g_assert_cmpint(rc, ==, CMD_REFUSED);
	g_assert_cmpstr(none, ==, "");
	g_assert_true(g_file_get_contents(
	    "tests/data/explain-broken.jsonl", &text, &len, NULL));
	fd = g_file_open_tmp("explain-XXXXXX", &path, NULL);
	g_assert_cmpint(fd, !=, -1);
	close(fd);
	g_assert_true(g_file_set_contents(path, text, (gssize)len - 40, NULL));
	cut = explain("fd1c5e2de35eb7a6", path, &rc);
	g_assert_nonnull(strstr(cut, "reason broken"));
	unlink(path);
	missing = explain("0000", path, &rc);
	g_assert_cmpint(rc, !=, CMD_OK);
	g_assert_cmpstr(missing, ==, "");
}

static void
test_tables(void)
{
	g_autofree char *page = page_read();
	unsigned int i;

	for (i = 0; i < LOG_EVENTS + LOG_KEYS; i++) {
		const struct entry_log_description *w =
		    i < LOG_EVENTS ? &entry_log_events[i]
				   : &entry_log_keys[i - LOG_EVENTS];
		g_autofree char *row =
		    g_strdup_printf("| `%s` | %s |", w->name, w->meaning);

		if (strstr(page, row) == NULL)
			g_error("not in the page: %s", row);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/explain/stories", test_examples);
	g_test_add_func("/explain/bad-input", test_bad_input);
	g_test_add_func("/explain/tables", test_tables);
	return g_test_run();
}
