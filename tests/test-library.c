/*
 * The installed library: its exported symbols are those of the public headers,
 * every declaration there has a comment, and a program outside the tree builds
 * and runs against an installed copy that is found through pkg-config only.
 */

#include "util-proc.h"

#include <string.h>

#include <glib/gstdio.h>

/*
 * Returns the standard output of a program; fails the test if the program
 * fails.
 */
static char *
shell(const char *line)
{
	char *argv[] = { (char *)"/bin/sh", (char *)"-ec", (char *)line, NULL };
	char *out = NULL;
	int status;

	g_assert_true(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL,
	    NULL, &out, NULL, &status, NULL));
	if (status != 0)
		g_error("%s: wait status %d\n%s", line, status, out);
	return out;
}

static const char *
build_dir(void)
{
	const char *b = g_getenv("SAVORY_BUILD");

	return b != NULL ? b : "build";
}

/* Returns "address" for "build-address", "" for the plain build. */
static const char *
build_san(void)
{
	const char *p = strrchr(build_dir(), '-');

	return p != NULL ? p + 1 : "";
}

/*
 * Returns a make command that is independent of the make that runs the tests.
 */
static char *
make_line(const char *args)
{
	g_autofree char *line = g_strdup_printf(
	    "env -u MAKEFLAGS -u MFLAGS -u MAKELEVEL make -s SAN=%s B=%s %s",
	    build_san(), build_dir(), args);

	return shell(line);
}

/* ---- symbols ---- */

/*
 * A function was added to a public header but not to the version script:
 * programs could not link against it. Or a private function is exported and
 * would have to be kept.
 */
static void
test_symbols(void)
{
	g_autofree char *want = make_line("symbols-print");
	g_autofree char *have = NULL;

	g_assert_true(
	    g_file_get_contents("libsavorypier.map", &have, NULL, NULL));
	if (strcmp(want, have) != 0)
		g_error("libsavorypier.map is outdated: run make symbols");
}

/* The linked library exports each listed symbol and no other. */
static void
test_exports(void)
{
	g_autofree char *line = g_strdup_printf(
	    "nm -D --defined-only %s/libsavorypier.so |"
	    "sed -n 's/.* [TDBR] \\(.*\\)/\\1/p' | sed 's/@.*//' |"
	    "grep -v '^LIBSAVORYPIER' | LC_ALL=C sort",
	    build_dir());
	g_autofree char *have = shell(line);
	g_autofree char *want =
	    shell("sed -n 's/^\\t\\t\\([A-Za-z_].*\\);/\\1/p' "
		  "libsavorypier.map | LC_ALL=C sort");

	if (strcmp(have, want) != 0)
		g_error("exported symbols differ from libsavorypier.map");
}

/* ---- comments ---- */

static int
braces(const char *line)
{
	int depth = 0;

	for (; *line != '\0'; line++)
		depth += (*line == '{') - (*line == '}');
	return depth;
}

/* Lines that need no comment. */
static bool
line_is_plain(const char *line)
{
	static const char *const plain[] = { "#ifndef ", "#include ", "#endif",
		"RB_PROTOTYPE" };
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(plain); i++) {
		if (g_str_has_prefix(line, plain[i]))
			return true;
	}
	if (g_str_has_prefix(line, "#define ") && g_str_has_suffix(line, "_H"))
		return true;
	/* A forward declaration, or the fallback of a per-file setting. */
	return g_regex_match_simple(
	    "^(struct \\w+;|#define LOG_PART .*)$", line, 0, 0);
}

/*
 * Fails at the first paragraph that neither opens with a comment nor has one on
 * each line.
 */
static void
header_check(const char *name)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	bool explained = false;
	int depth = 0;
	unsigned int i;

	g_assert_true(g_file_get_contents(name, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i] != NULL; i++) {
		if (depth == 0 && *lines[i] == '\0')
			explained = false;
		else if (g_str_has_prefix(lines[i], "/*"))
			explained = true;
		else if (depth == 0 && !explained && !line_is_plain(lines[i]) &&
			 strstr(lines[i], "/*") == NULL)
			g_error("%s:%u: comment missing", name, i + 1);
		depth += braces(lines[i]);
	}
}

static void
test_comments(void)
{
	g_autofree char *list = make_line("public-headers");
	g_auto(GStrv) names = g_strsplit(g_strstrip(list), " ", -1);
	unsigned int i;

	g_assert_cmpuint(g_strv_length(names), >, 10);
	for (i = 0; names[i] != NULL; i++) {
		/* proto.h is generated; its comments are in proto.x. */
		if (strcmp(names[i], "proto.h") != 0)
			header_check(names[i]);
	}
}

/* ---- an embedder ---- */

static char *
install_to(const char *dir)
{
	g_autofree char *args =
	    g_strdup_printf("install DESTDIR=%s PREFIX=/opt/savorypier", dir);

	g_free(make_line(args));
	return g_build_filename(dir, "opt/savorypier", NULL);
}

/* Removes a directory and its contents, and frees the name. */
static void
tree_remove(char *dir)
{
	g_autofree char *line = g_strdup_printf("rm -r %s", dir);

	g_free(shell(line));
	g_free(dir);
}

static const char *
embed_flags(void)
{
	if (strcmp(build_san(), "address") == 0)
		return "-fsanitize=address,undefined";
	if (strcmp(build_san(), "thread") == 0)
		return "-fsanitize=thread";
	return "";
}

/*
 * The library is installed, and the example is copied elsewhere and built
 * without access to the source tree.
 */
static void
test_embed(void)
{
	char *dir = dir_temporary();
	g_autofree char *root = install_to(dir);
	g_autofree char *line = g_strdup_printf(
	    "cp %s/share/savorypier/examples/embed.c %s && (cd %s &&"
	    "PKG_CONFIG_PATH=%s/lib/pkgconfig && export PKG_CONFIG_PATH &&"
	    "cc -std=gnu11 -Wall -Werror %s -o embed embed.c "
	    "$(pkg-config --cflags --libs savorypier)) &&"
	    "LD_LIBRARY_PATH=%s/lib %s/embed",
	    root, dir, dir, root, embed_flags(), root, dir);
	g_autofree char *out = shell(line);
	g_autofree char *want = NULL;

	g_assert_true(
	    g_file_get_contents("examples/embed.expected", &want, NULL, NULL));
	g_assert_cmpstr(out, ==, want);
	tree_remove(dir);
}

/* All installed files are in the directories that packagers expect. */
static void
test_install(void)
{
	static const char *const files[] = { "sbin/savorypierd",
		"sbin/savorypierd-entry", "bin/savorypier",
		"include/savorypier/savory.h", "include/savorypier/dispatch.h",
		"lib/libsavorypier.a", "lib/libsavorypier.so",
		"lib/libsavorypier.so.0", "lib/pkgconfig/savorypier.pc",
		"share/man/man1/savorypier.1",
		"share/man/man5/savorypier-document.5",
		"share/man/man8/savorypierd.8",
		"share/bash-completion/completions/savorypier",
		"share/savorypier/examples/savorypierd.yaml" };
	char *dir = dir_temporary();
	g_autofree char *root = install_to(dir);
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(files); i++) {
		g_autofree char *name = g_build_filename(root, files[i], NULL);

		if (g_access(name, R_OK) != 0)
			g_error("%s is not installed", files[i]);
	}
	tree_remove(dir);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/library/symbols", test_symbols);
	g_test_add_func("/library/exports", test_exports);
	g_test_add_func("/library/comments", test_comments);
	g_test_add_func("/library/install", test_install);
	g_test_add_func("/library/embed", test_embed);
	return g_test_run();
}
