/*
 * Inputs kept from fuzzing, run through the decoders of the table in
 * util-fuzz.c. An input that once caused a fault is named after it; the others
 * reach code that random bytes hardly reach. A crash or a sanitizer report
 * fails the test.
 */

#include "util-fuzz.h"

#include <glib.h>

static void
corpus_log(
    const gchar *part, GLogLevelFlags level, const gchar *text, gpointer arg)
{
}

static void
test_corpus(gconstpointer arg)
{
	const struct fuzz_target *t = arg;
	g_autofree char *path =
	    g_build_filename("tests", "corpus", t->name, NULL);
	g_autoptr(GError) error = NULL;
	GLogFunc old = g_log_set_default_handler(corpus_log, NULL);
	unsigned int n = 0;
	const char *name;
	char *file, *data;
	gsize len;
	GDir *dir;

	dir = g_dir_open(path, 0, &error);
	g_assert_no_error(error);
	while ((name = g_dir_read_name(dir)) != NULL) {
		file = g_build_filename(path, name, NULL);
		g_file_get_contents(file, &data, &len, &error);
		g_assert_no_error(error);
		t->run((const uint8_t *)data, len);
		g_free(data);
		g_free(file);
		n++;
	}
	g_dir_close(dir);
	g_log_set_default_handler(old, NULL);
	g_assert_cmpuint(n, >, 0);
}

int
main(int argc, char **argv)
{
	const struct fuzz_target *t;
	char *path;

	g_test_init(&argc, &argv, NULL);
	/* Decoders may log warnings about these inputs. */
	g_log_set_always_fatal(G_LOG_FATAL_MASK);
	for (t = fuzz_targets; t->name != NULL; t++) {
		path = g_strdup_printf("/fuzz-corpus/%s", t->name);
		g_test_add_data_func(path, t, test_corpus);
		g_free(path);
	}
	return g_test_run();
}
