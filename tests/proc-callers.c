/*
 * The commands of docs/CALLERS.md against real processes: each runs as
 * printed, and what comes back is what the page shows. "..." on the page
 * stands for whatever varies.
 */

#include "metrics.h"
#include "share.h"
#include "util-nodes.h"

#include <string.h>

#define PAGE "docs/CALLERS.md"
#define INDENT "    "
#define PROMPT INDENT "$ "
#define MARK "\n@@@@\n"

/* One command of the page and what it shows of the output. */
struct example {
	GString *command;
	GString *output;
};

static struct example *
example_new(void)
{
	struct example *e = g_new0(struct example, 1);

	e->command = g_string_new(NULL);
	e->output = g_string_new(NULL);
	return e;
}

static void
example_free(void *p)
{
	struct example *e = p;

	g_string_free(e->command, TRUE);
	g_string_free(e->output, TRUE);
	g_free(e);
}

/* Does the command go on in the next line? Quotes may span lines. */
static bool
command_is_open(const GString *command)
{
	g_auto(GStrv) words = NULL;
	size_t i, quotes = 0, parens = 0;

	for (i = 0; i < command->len; i++) {
		quotes += command->str[i] == '\'';
		parens += command->str[i] == '(';
		parens -= command->str[i] == ')' && parens > 0;
	}
	return quotes % 2 == 1 || g_str_has_suffix(command->str, "\\\n") ||
	       g_str_has_suffix(command->str, "|\n");
}

static GPtrArray *
page_examples(void)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(example_free);
	struct example *e = NULL;
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	unsigned int i;

	g_assert_true(g_file_get_contents(PAGE, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i] != NULL; i++) {
		if (g_str_has_prefix(lines[i], PROMPT)) {
			e = example_new();
			g_ptr_array_add(list, e);
			g_string_append_printf(
			    e->command, "%s\n", lines[i] + strlen(PROMPT));
		} else if (!g_str_has_prefix(lines[i], INDENT))
			continue;
		else if (e != NULL)
			g_string_append_printf(command_is_open(e->command)
						   ? e->command
						   : e->output,
			    "%s\n", lines[i] + strlen(INDENT));
	}
	return list;
}

/* All commands in one shell, with a mark after each. */
static char *
examples_run(const GPtrArray *list, unsigned int port)
{
	GString *script = g_string_new(NULL);
	char *argv[] = { (char *)"/bin/sh", (char *)"-c", NULL, NULL };
	char *out = NULL;
	unsigned int i;

	g_string_printf(script, "ENTRY=127.0.0.1:%u\n", port);
	for (i = 0; i < list->len; i++) {
		const struct example *e = g_ptr_array_index(list, i);

		g_string_append_printf(
		    script, "%sprintf '\\n@@@@\\n'\n", e->command->str);
	}
	argv[2] = script->str;
	g_assert_true(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL,
	    NULL, &out, NULL, NULL, NULL));
	g_string_free(script, TRUE);
	return out;
}

/* Lines as on a page: no carriage returns, no empty ones. */
static char *
output_plain(const char *text)
{
	g_auto(GStrv) lines = g_strsplit_set(text, "\r\n", -1);
	GString *s = g_string_new(NULL);
	unsigned int i;

	for (i = 0; lines[i] != NULL; i++) {
		if (*lines[i] != '\0')
			g_string_append_printf(s, "%s\n", lines[i]);
	}
	return g_string_free(s, FALSE);
}

static void
example_check(const struct example *e, const char *got)
{
	g_autofree char *plain = output_plain(got);
	g_autofree char *want = output_plain(e->output->str);
	g_auto(GStrv) parts = g_strsplit(want, "...", -1);
	g_autofree char *pattern = g_strjoinv("*", parts);

	if (!g_pattern_match_simple(pattern, plain))
		g_error("%s\nshows:\n%s\non the page:\n%s", e->command->str,
		    plain, want);
}

/*
 * Nodes that have just joined hold requests until they have a share of the
 * limits, which takes seconds, and refuse those whose target is shorter;
 * callers ask again, as the page tells them. Here: until none has been
 * refused for longer than a share takes.
 */
static void
system_settle(struct nodes *s)
{
	msec until = msec_now() + NODES_TIMEOUT, calm = msec_now();
	struct caller c;
	unsigned int i = 0;

	while (msec_now() - calm < SHARE_RAISE_DELAY + MSEC_SECOND) {
		g_assert_cmpint(msec_now(), <, until);
		caller_ask(
		    &c, s->entries[i++ % s->config.nodes].caller, "settle", 1);
		caller_run(&c);
		if (strcmp(c.outcome, "ran") != 0)
			calm = msec_now();
		caller_finish(&c);
		g_usleep(100 * 1000);
	}
}

static void
test_examples(void)
{
	const struct nodes_config config = { .nodes = 2, .engines = 2 };
	g_autoptr(GPtrArray) list = page_examples();
	g_auto(GStrv) outputs = NULL;
	g_autofree char *all = NULL;
	struct nodes s;
	unsigned int i;

	g_assert_cmpuint(list->len, >, 5);
	nodes_up(&s, &config);
	system_settle(&s);
	all = examples_run(list, s.entries[0].caller);
	outputs = g_strsplit(all, MARK, -1);
	g_assert_cmpuint(g_strv_length(outputs), ==, list->len + 1);
	for (i = 0; i < list->len; i++)
		example_check(g_ptr_array_index(list, i), outputs[i]);
	nodes_finish(&s);
}

/* A node's text has every metric that docs/METRICS.md explains, once. */
static void
test_metrics(void)
{
	const struct nodes_config config = { .nodes = 1, .engines = 1 };
	struct http_reply r;
	struct nodes s;
	unsigned int i;

	nodes_up(&s, &config);
	http_call(&r, "GET", s.entries[0].caller, "/metrics", NULL, NULL);
	g_assert_cmpint(r.status, ==, 200);
	for (i = 0; i < METRIC_COUNT; i++) {
		const struct metric_info *info = metric_info(i);
		g_autofree char *type = g_strdup_printf(
		    "# TYPE savory_%s %s\n", info->name, info->type);
		const char *at = strstr(r.text, type);

		if (at == NULL || strstr(at + 1, type) != NULL)
			g_error("savory_%s is not there once", info->name);
	}
	http_reply_free(&r);
	nodes_finish(&s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/callers/examples", test_examples);
	g_test_add_func("/callers/metrics", test_metrics);
	return g_test_run();
}
