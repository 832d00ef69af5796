/*
 * The documentation matches the program: metrics, files and commands. Guards
 * against a page that names a file or a command that no longer exists.
 */

#include "cmd.h"
#include "metrics.h"

#include <string.h>

#include <glob.h>

typedef void (*page_fn)(const char *page, const char *line);

static char *
file_read(const char *name)
{
	char *text = NULL;

	if (!g_file_get_contents(name, &text, NULL, NULL))
		g_error("%s cannot be read", name);
	return text;
}

static void
page_lines(const char *page, page_fn fn)
{
	g_autofree char *text = file_read(page);
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	unsigned int i;

	for (i = 0; lines[i] != NULL; i++)
		fn(page, lines[i]);
}

/* Calls a function for each line of README.md and of all pages in docs. */
static void
pages_lines(page_fn fn)
{
	glob_t found;
	size_t i;

	g_assert_cmpint(glob("docs/*.md", 0, NULL, &found), ==, 0);
	g_assert_cmpuint(found.gl_pathc, >, 3);
	for (i = 0; i < found.gl_pathc; i++)
		page_lines(found.gl_pathv[i], fn);
	globfree(&found);
	page_lines("README.md", fn);
}

/* ---- metrics ---- */

/* docs/METRICS.md has a row for each metric, in the order of the text. */
static void
test_metrics(void)
{
	g_autofree char *page = file_read("docs/METRICS.md");
	const struct metric_info *info;
	g_autoptr(GRegex) re =
	    g_regex_new("^\\| `savory_\\w+` \\| (counter|gauge|histogram) \\|",
		G_REGEX_MULTILINE, 0, NULL);
	g_autoptr(GMatchInfo) m = NULL;
	const char *at = page;
	unsigned int i, rows = 0;

	for (i = 0; i < METRIC_COUNT; i++) {
		g_autofree char *row = NULL;

		info = metric_info(i);
		row = g_strdup_printf("\n| `savory_%s` | %s | %s", info->name,
		    info->type, info->help);
		if ((at = strstr(at, row)) == NULL)
			g_error("METRICS.md: row missing or misplaced:%s", row);
	}
	g_regex_match(re, page, 0, &m);
	for (; g_match_info_matches(m); g_match_info_next(m, NULL))
		rows++;
	g_assert_cmpuint(rows, ==, METRIC_COUNT);
}

/*
 * Whether the source that prints an entry VM's own metrics contains the name.
 */
static bool
entry_has_metric(const char *name)
{
	static const char *const files[] = { "entry-metrics.c", "entry-duty.c",
		"entry-era.c", "entry-handoff.c", "entry-move.c",
		"entry-poison.c", "entry-poison-store.c", "entry-reach.c",
		"entry-version.c", "entry-version-store.c",
		"platform/store.c" };
	const char *bare = g_str_has_prefix(name, "entry_") ? name + 6 : name;
	g_autofree char *quoted = g_strdup_printf("\"%s\"", bare);
	g_autofree char *printed = g_strdup_printf("savory_%s ", name);
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(files); i++) {
		g_autofree char *text = NULL;

		g_assert_true(g_file_get_contents(files[i], &text, NULL, NULL));
		if (strstr(text, quoted) != NULL ||
		    strstr(text, printed) != NULL)
			return true;
	}
	return false;
}

/* All metric names on the pages are names of existing metrics. */
static void
line_metrics(const char *page, const char *line)
{
	g_autoptr(GRegex) re = g_regex_new(
	    "\\bsavory_([a-z_]+?)(_bucket|_sum|_count)?\\b", 0, 0, NULL);
	g_autoptr(GMatchInfo) m = NULL;
	unsigned int i;

	g_regex_match(re, line, 0, &m);
	for (; g_match_info_matches(m); g_match_info_next(m, NULL)) {
		g_autofree char *name = g_match_info_fetch(m, 1);

		for (i = 0; i < METRIC_COUNT; i++) {
			if (strcmp(metric_info(i)->name, name) == 0)
				break;
		}
		if (i == METRIC_COUNT && !entry_has_metric(name))
			g_error("%s: no metric savory_%s", page, name);
	}
}

static void
test_metric_names(void)
{
	pages_lines(line_metrics);
}

/* ---- files ---- */

/*
 * Whether the file exists in the tree's root or next to the page; `*` matches
 * any part.
 */
static bool
file_exists(const char *name)
{
	static const char *const places[] = { "", "docs/", "tests/", "models/",
		"examples/" };
	unsigned int i;
	glob_t found;
	int rc;

	for (i = 0; i < G_N_ELEMENTS(places); i++) {
		g_autofree char *path = g_strconcat(places[i], name, NULL);

		rc = glob(path, GLOB_BRACE, NULL, &found);
		if (rc == 0) {
			globfree(&found);
			return true;
		}
	}
	return false;
}

/* Each file name on the line that looks like a source, page, script or model
 * exists. */
static void
line_files(const char *page, const char *line)
{
	g_autoptr(GRegex) re = g_regex_new(
	    "(?<![\\w/.:<-])([\\w*][\\w*./"
	    "-]*\\.(?:c|h|x|md|pml|map|service|bash|in)"
	    "|(?:scripts|standins|tests|models|docs|examples|man|packaging)"
	    "/[\\w*./-]+)(?![\\w/])",
	    0, 0, NULL);
	g_autoptr(GMatchInfo) m = NULL;

	g_regex_match(re, line, 0, &m);
	for (; g_match_info_matches(m); g_match_info_next(m, NULL)) {
		g_autofree char *name = g_match_info_fetch(m, 1);

		if (g_str_has_suffix(name, "."))
			name[strlen(name) - 1] = '\0';
		if (!file_exists(name))
			g_error("%s: there is no file %s", page, name);
	}
}

static void
test_files(void)
{
	pages_lines(line_files);
}

/* ---- code ---- */

static bool
line_is_code(const char *line)
{
	return *line == '\0' || g_str_has_prefix(line, "    ");
}

/*
 * Returns the indented lines from here on without their indent, and advances
 * past them.
 */
static char *
code_block_read(char **lines, unsigned int *i)
{
	GString *s = g_string_new(NULL);

	for (; lines[*i] != NULL && line_is_code(lines[*i]); ++*i)
		g_string_append_printf(
		    s, "%s\n", *lines[*i] != '\0' ? lines[*i] + 4 : "");
	return g_strstrip(g_string_free(s, FALSE));
}

/* Code after "From `FILE`:" is in that file exactly as on the page. */
static void
test_style(void)
{
	g_autofree char *text = file_read("docs/STYLE.md");
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	unsigned int i, n = 0;

	for (i = 0; lines[i] != NULL; i++) {
		g_autofree char *name = NULL, *source = NULL, *code = NULL;

		if (!g_str_has_prefix(lines[i], "From `"))
			continue;
		name = g_strdup(lines[i++] + strlen("From `"));
		name[strcspn(name, "`")] = '\0';
		source = file_read(name);
		code = code_block_read(lines, &i);
		if (strstr(source, code) == NULL)
			g_error(
			    "%s lacks this code of STYLE.md:\n%s", name, code);
		n++;
		i--;
	}
	g_assert_cmpuint(n, >, 10);
}

/* ---- words ---- */

/* Returns all sources and headers of the root, concatenated. */
static char *
sources_read(void)
{
	GString *s = g_string_new(NULL);
	glob_t found;
	size_t i;

	g_assert_cmpint(glob("{*.c,*.h,*.x}", GLOB_BRACE, NULL, &found), ==, 0);
	for (i = 0; i < found.gl_pathc; i++) {
		g_autofree char *text = file_read(found.gl_pathv[i]);

		g_string_append(s, text);
	}
	globfree(&found);
	return g_string_free(s, FALSE);
}

/* Each word in the middle column of the glossary occurs in the code. */
static void
test_glossary(void)
{
	g_autoptr(GRegex) re =
	    g_regex_new("`(?:struct |enum )?([A-Za-z_]+)[^`]*`", 0, 0, NULL);
	g_autofree char *page = file_read("docs/GLOSSARY.md");
	g_autofree char *sources = sources_read();
	g_auto(GStrv) lines = g_strsplit(page, "\n", -1);
	unsigned int i;

	for (i = 0; lines[i] != NULL; i++) {
		g_auto(GStrv) cells = g_strsplit(lines[i], "|", -1);
		g_autoptr(GMatchInfo) m = NULL;

		if (g_strv_length(cells) < 4)
			continue;
		g_regex_match(re, cells[2], 0, &m);
		for (; g_match_info_matches(m); g_match_info_next(m, NULL)) {
			g_autofree char *word = g_match_info_fetch(m, 1);

			if (strstr(sources, word) == NULL)
				g_error(
				    "GLOSSARY.md: %s is not in the code", word);
		}
	}
}

/* ---- commands ---- */

static bool
option_is(const struct cmd_option *o, const char *name)
{
	for (; o != NULL && o->name != NULL; o++) {
		if (strcmp(o->name, name) == 0)
			return true;
	}
	return false;
}

/* Every "savorypier COMMAND ... --OPTION" on the page is in the table. */
static void
tool_check(const char *page, char **words)
{
	const struct cmd_entry *entry = NULL;
	unsigned int i;

	for (i = 1; words[i] != NULL; i++) {
		g_autofree char *name = g_strdup(words[i]);

		name[strcspn(name, "=")] = '\0';
		if (g_str_has_prefix(name, "--")) {
			if (!option_is(cmd_globals, name + 2) &&
			    (entry == NULL ||
				!option_is(entry->options, name + 2)))
				g_error("%s: no option %s", page, name);
		} else if (entry == NULL &&
			   !g_str_has_prefix(words[i - 1], "--")) {
			entry = cmd_find(name);
			if (entry == NULL)
				g_error("%s: no command %s", page, name);
		}
	}
}

/* Checks a command line of the page: its words up to a pipe or a comment. */
static void
command_check(const char *page, const char *text)
{
	g_autofree char *line = g_strndup(text, strcspn(text, "|#;&>"));
	g_auto(GStrv) words = NULL;
	g_autofree char *path = NULL;

	g_assert_true(g_shell_parse_argv(line, NULL, &words, NULL));
	if (strcmp(words[0], "savorypier") == 0)
		tool_check(page, words);
	path = g_build_filename(g_getenv("SAVORY_BUILD") != NULL
				    ? g_getenv("SAVORY_BUILD")
				    : "build",
	    words[0], NULL);
	if (!g_file_test(path, G_FILE_TEST_IS_EXECUTABLE))
		g_error("%s: there is no program %s", page, words[0]);
}

static void
make_check(const char *page, const char *target)
{
	g_autofree char *makefile = file_read("Makefile");
	g_autofree char *rule = g_strdup_printf("\n%.*s:",
	    (int)strspn(target, "abcdefghijklmnopqrstuvwxyz-"), target);

	if (strstr(makefile, rule) == NULL)
		g_error("%s: no target%s", page, rule);
}

/* Checks an indented line of a page, and the text in backticks. */
static void
line_commands(const char *page, const char *line)
{
	g_autoptr(GRegex) re =
	    g_regex_new("(?:^    (?:\\$ )?|`)((?:savorypierd?|savory-load) "
			"[^`]+|make [a-z][^`]*)",
		0, 0, NULL);
	g_autoptr(GMatchInfo) m = NULL;

	g_regex_match(re, line, 0, &m);
	for (; g_match_info_matches(m); g_match_info_next(m, NULL)) {
		g_autofree char *text = g_match_info_fetch(m, 1);

		if (g_str_has_prefix(text, "make "))
			make_check(page, text + strlen("make "));
		else
			command_check(page, text);
	}
}

static void
test_commands(void)
{
	pages_lines(line_commands);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pages/metrics", test_metrics);
	g_test_add_func("/pages/metric-names", test_metric_names);
	g_test_add_func("/pages/files", test_files);
	g_test_add_func("/pages/style", test_style);
	g_test_add_func("/pages/glossary", test_glossary);
	g_test_add_func("/pages/commands", test_commands);
	return g_test_run();
}
