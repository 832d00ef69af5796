/*
 * The settings, and the walker that reads every YAML file: valid input is
 * accepted, and all errors are reported at once with line and column.
 */

#include "settings.h"
#include "util-proc.h"

#include <string.h>

#define VALID_SETTINGS                                            \
	"node: entry-1\n"                                         \
	"domain: hall-grandi\n"                                   \
	"listen: {caller: 127.0.0.1:80, control: 127.0.0.1:81,\n" \
	"  peer: 10.0.0.1:82}\n"                                  \
	"platform: {log: 'http://127.0.0.1:1/', vm_list: "        \
	"'http://127.0.0.1:2',\n"                                 \
	"  weights: 'http://127.0.0.1:3/w/'}\n"

/*
 * Parses a text; returns the findings as "line:column text" lines, "" when
 * there are none.
 */
static char *
findings_of(const char *text, size_t len)
{
	GString *out = g_string_new(NULL);
	struct settings s;
	struct findings f;
	struct finding *one;
	bool ok;

	findings_init(&f);
	ok = settings_parse(&s, text, len, "s.yaml", &f);
	g_assert_cmpint(ok, ==, f.count == 0);
	TAILQ_FOREACH (one, &f.list, entry)
		g_string_append_printf(
		    out, "%u:%u %s\n", one->line, one->column, one->text);
	findings_finish(&f);
	settings_finish(&s);
	return g_string_free(out, FALSE);
}

static void
check(const char *text, const char *want)
{
	g_autofree char *got = findings_of(text, strlen(text));

	g_assert_cmpstr(got, ==, want);
}

/* The settings of both deployments pass the daemon's check. */
static void
test_deployments(void)
{
	static const struct {
		const char *file, *domain;
	} all[] = { { "examples/reykjavik/entry.yaml", "hall-grandi" },
		{ "examples/tas-south/entry.yaml", "hobart-a" } };
	struct settings s;
	struct findings f;
	unsigned int i;
	int rc;

	for (i = 0; i < G_N_ELEMENTS(all); i++) {
		const char *const args[] = { "--check", "--config", all[i].file,
			NULL };

		g_free(proc_run("savorypierd", args, &rc));
		g_assert_cmpint(rc, ==, 0);
		findings_init(&f);
		g_assert_true(settings_load(&s, all[i].file, &f));
		g_assert_cmpstr(s.domain, ==, all[i].domain);
		g_assert_true(s.log_json);
		findings_finish(&f);
		settings_finish(&s);
	}
}

static void
test_example(void)
{
	struct settings s;
	struct findings f;

	findings_init(&f);
	g_assert_true(settings_load(&s, "examples/savorypierd.yaml", &f));
	g_assert_cmpstr(s.node, ==, "entry-1");
	g_assert_cmpstr(s.domain, ==, "hall-grandi");
	g_assert_cmphex(s.caller.address, ==, 0x7f000001);
	g_assert_cmpuint(s.peer.port, ==, 8082);
	g_assert_cmpstr(s.weight_url, ==, "http://127.0.0.1:9003");
	settings_finish(&s);
	findings_finish(&f);
}

static void
test_defaults(void)
{
	static const char text[] =
	    VALID_SETTINGS "peer_key: 0123456789abcdef\n";
	struct settings s;
	struct findings f;

	findings_init(&f);
	g_assert_true(settings_parse(&s, text, strlen(text), "s.yaml", &f));
	g_assert_cmpstr(s.log_url, ==, "http://127.0.0.1:1");
	g_assert_cmpstr(s.weight_url, ==, "http://127.0.0.1:3/w");
	g_assert_cmpstr(s.peer_key, ==, "0123456789abcdef");
	g_assert_cmpstr(s.policy, ==, "owner");
	g_assert_cmpstr(s.log_level, ==, "info");
	g_assert_false(s.log_json);
	g_assert_cmpint(s.stop_deadline, ==, 0);
	g_assert_cmpint(s.leave_grace, ==, 3000);
	g_assert_cmpint(s.keep_answers, ==, 30000);
	g_assert_cmpint(s.log_retention, ==, 86400000);
	g_assert_cmpuint(s.max_connections, ==, 4096);
	g_assert_cmpuint(s.max_body_bytes, ==, 1048576);
	g_assert_cmpuint(s.memory_mb, ==, 256);
	g_assert_cmpuint(s.caller_threads, ==, 2);
	g_assert_cmpuint(s.engine_threads, ==, 2);
	g_assert_null(s.tls_certificate);
	settings_finish(&s);
	findings_finish(&f);
}

/*
 * Guards against a number of retries with a fraction, as a platform computes it
 * from the size of a fleet, that keeps every process from starting.
 */
static void
test_retry_fixed(void)
{
	static const char text[] = VALID_SETTINGS
	    "peer_key: 0123456789abcdef\nbounds: {retry_fixed: 38.297}\n";
	struct settings s;
	struct findings f;

	findings_init(&f);
	g_assert_true(settings_parse(&s, text, strlen(text), "s.yaml", &f));
	g_assert_cmpuint(s.retry_fixed, ==, 38);
	settings_finish(&s);
	findings_finish(&f);
	check(VALID_SETTINGS
	    "peer_key: 0123456789abcdef\nbounds: {retry_fixed: -0.5}\n",
	    "8:23 expected a number from 0 to 1e+06, got \"-0.5\"\n");
}

/* A body that is always refused for want of memory is allowed. */
static void
test_body_bytes(void)
{
	check(VALID_SETTINGS "peer_key: 0123456789abcdef\n"
			     "limits: {memory_mb: 32, body_bytes: 16777216}\n",
	    "8:37 body_bytes: expected at most 13421759 with memory_mb: 32\n");
}

static void
test_all_at_once(void)
{
	/*
	 * A settings file has many errors. If each run reported only one, a
	 * roll-out would take as many tries as there are errors; all must be
	 * reported at once, in the file's order, with line and column.
	 */
	check("node: Entry 1\n"
	      "domian: hall-grandi\n"
	      "listen:\n"
	      "  caller: localhost:80\n"
	      "  control: 127.0.0.1\n"
	      "  peer: 0.0.0.0:82\n"
	      "platform:\n"
	      "  log: https://127.0.0.1:1\n"
	      "  vm_list: [http://127.0.0.1:2]\n"
	      "peer_key: short\n"
	      "policy: fastest\n"
	      "limits: {connections: 0, body_bytes: many}\n"
	      "threads: {caller: \"2\", caller: 3}\n"
	      "log: {format: xml}\n"
	      "tls: {key: !!str k}\n",
	    "1:1 missing key \"domain\" in the settings\n"
	    "1:7 node: expected a name of at most 63 of a-z 0-9 . _ - that "
	    "starts with a letter or digit\n"
	    "2:1 unknown key \"domian\" in the settings, did you mean "
	    "\"domain\"?\n"
	    "4:11 expected an IPv4 number and a port like 192.0.2.1:8080, got "
	    "\"localhost:80\"\n"
	    "5:12 expected an IPv4 number and a port like 192.0.2.1:8080, got "
	    "\"127.0.0.1\"\n"
	    "6:9 expected an IPv4 number and a port like 192.0.2.1:8080, got "
	    "\"0.0.0.0:82\"\n"
	    "8:3 missing key \"weights\" in platform\n"
	    "8:8 expected a URL like http://192.0.2.1:8080, got "
	    "\"https://127.0.0.1:1\"\n"
	    "9:12 vm_list: expected a single value, got a list\n"
	    "10:11 peer_key: expected 16 bytes or more, got 5\n"
	    "11:9 policy: expected one of owner, random, round-robin, "
	    "least-load, two-choices, got \"fastest\"\n"
	    "12:23 connections: expected a number from 1 to 65536, got 0\n"
	    "12:38 body_bytes: expected a whole number, got \"many\"\n"
	    "13:19 caller: expected a whole number, got text \"2\"\n"
	    "13:24 \"caller\" appears twice in threads\n"
	    "14:15 format: expected one of text, json, got \"xml\"\n"
	    "15:6 missing key \"certificate\" in tls\n");
}

static void
test_peer_key(void)
{
	/*
	 * Two nodes with different keys drop each other's messages, and each
	 * holds the other dead. A key that is missing, given twice or not
	 * readable must therefore prevent the start instead of falling back to
	 * no key.
	 */
	check(VALID_SETTINGS,
	    "1:1 missing key \"peer_key\" or \"peer_key_file\" in the "
	    "settings\n");
	check(VALID_SETTINGS "peer_key: 0123456789abcdef\npeer_key_file: k\n",
	    "8:16 expected only one of peer_key and peer_key_file\n");
	check(VALID_SETTINGS "peer_key: 0123456789abcdef\n"
			     "outgoing_address: 0.0.0.0\n",
	    "8:19 expected an IPv4 number like 192.0.2.1, got \"0.0.0.0\"\n");
	check(VALID_SETTINGS "peer_key_file: no/such/file\n",
	    "7:16 peer_key_file: Failed to open file “./no/such/file”: No "
	    "such file or directory\n");
	check(VALID_SETTINGS "peer_key: 0123456789abcde\n",
	    "7:11 peer_key: expected 16 bytes or more, got 15\n");
}

static void
test_peer_key_file(void)
{
	g_autofree char *dir = g_dir_make_tmp("savory-XXXXXX", NULL);
	g_autofree char *key = g_build_filename(dir, "key", NULL);
	g_autofree char *file = g_build_filename(dir, "s.yaml", NULL);
	struct settings s;
	struct findings f;

	g_file_set_contents(key, "0123456789abcdef\n", -1, NULL);
	g_file_set_contents(
	    file, VALID_SETTINGS "peer_key_file: key\n", -1, NULL);
	findings_init(&f);
	g_assert_true(settings_load(&s, file, &f));
	g_assert_cmpstr(s.peer_key, ==, "0123456789abcdef");
	settings_finish(&s);
	findings_finish(&f);
	remove(key);
	remove(file);
	remove(dir);
}

static void
test_unreadable(void)
{
	struct settings s;
	struct findings f;

	findings_init(&f);
	g_assert_false(settings_load(&s, "examples/none.yaml", &f));
	g_assert_cmpuint(f.count, ==, 1);
	settings_finish(&s);
	findings_finish(&f);
}

static void
test_bad_bytes(void)
{
	/*
	 * A file saved as Latin-1, with a NUL and an escape character. The YAML
	 * reader stops at the first such byte, so the operator would find them
	 * one by one. All must be reported, along with the other errors.
	 */
	static const char text[] = "node: entr\xe9\ndomain: h\x1b\nx\0y: 1\n";
	g_autofree char *got = findings_of(text, sizeof text - 1);

	g_assert_true(g_str_has_prefix(got,
	    "1:1 missing key \"listen\" in the settings\n"
	    "1:1 missing key \"peer_key\" or \"peer_key_file\" in the "
	    "settings\n"
	    "1:1 missing key \"platform\" in the settings\n"
	    "1:11 expected UTF-8, got the byte 0xe9\n"
	    "2:10 expected text, got the control character U+001B\n"
	    "3:1 unknown key"));
	g_assert_nonnull(
	    strstr(got, "\n3:2 expected UTF-8, got the byte 0x00"));
}

/* Parts of prompts that an operator declares sound. */
static void
test_sound_parts(void)
{
	static const char text[] =
	    VALID_SETTINGS "peer_key: 0123456789abcdef\n"
			   "sound_parts: 5c1e07a2, 91BD3F06\n";
	struct findings f;
	struct settings s;

	findings_init(&f);
	g_assert_true(settings_parse(&s, text, strlen(text), "s.yaml", &f));
	g_assert_cmpuint(s.nsound_parts, ==, 2);
	g_assert_cmphex(s.sound_parts[0], ==, 0x5c1e07a2);
	g_assert_cmphex(s.sound_parts[1], ==, 0x91bd3f06);
	findings_finish(&f);
	settings_finish(&s);
	check(VALID_SETTINGS "peer_key: 0123456789abcdef\n"
			     "sound_parts: 5c,part\n",
	    "8:14 expected hexadecimal names of parts like 5c1e07a2,91bd3f06, "
	    "got \"part\"\n");
}

static void
test_alias_bomb(void)
{
	/*
	 * A short file whose aliases expand to 9^9 nodes ("billion laughs"), or
	 * refer to themselves. A walker that follows all of them hangs the
	 * daemon's start; this one stops at its bounds.
	 */
	GString *s = g_string_new("a: &a [x,x,x,x,x,x,x,x,x]\n");
	int c;

	for (c = 'b'; c < 'k'; c++)
		g_string_append_printf(s,
		    "%c: &%c [*%c,*%c,*%c,*%c,*%c,*%c,*%c,*%c,*%c]\n", c, c,
		    c - 1, c - 1, c - 1, c - 1, c - 1, c - 1, c - 1, c - 1,
		    c - 1);
	g_string_append(s, "node: *j\nlisten: &l {caller: *l}\n");
	g_autofree char *got = findings_of(s->str, s->len);
	g_assert_nonnull(
	    strstr(got, "node: expected a single value, got a list"));
	g_assert_nonnull(
	    strstr(got, "caller: expected a single value, got a map"));
	g_string_free(s, TRUE);
}

static void
test_bounds(void)
{
	g_autofree char *deep = g_strnfill(200, '[');
	g_autofree char *large = g_strnfill(65 * 1024, ' ');
	GString *many = g_string_new(NULL);
	unsigned int i;

	check(deep, "1:17 nested too deep, expected at most 16 levels\n");
	check(
	    large, "0:0 too large, expected at most 65536 bytes, got 66560\n");
	for (i = 0; i < 1000; i++)
		g_string_append_printf(many, "unknown-%u: 1\n", i);
	g_autofree char *got = findings_of(many->str, many->len);
	g_assert_true(
	    g_str_has_suffix(got, "0:0 more findings than the 200 shown\n"));
	g_string_truncate(many, 0);
	for (i = 0; i < 300; i++)
		g_string_append_printf(many, "k%u: &a%u 1\n", i, i);
	check(many->str, "257:7 too many anchors, expected at most 256\n");
	g_string_free(many, TRUE);
}

static void
test_corpus(void)
{
	static const struct {
		const char *text, *want;
	} corpus[] = {
		{ "", "1:1 expected a map, got an empty file\n" },
		{ "# only a comment\n",
		    "1:1 expected a map, got an empty file\n" },
		{ "---\n", "2:1 the settings: expected a map, got a single "
			   "value\n" },
		{ "- a\n", "1:1 the settings: expected a map, got a list\n" },
		{ "a: 1\n---\nb: 2\n",
		    "2:1 expected one document, got a second one\n" },
		{ "node: [1\n", "2:1 not YAML: did not find expected ',' or "
				"']' while parsing a flow sequence\n" },
		{ "a: *b\n", "1:4 not YAML: found undefined alias\n" },
		{ "a: \"x\n", "2:1 not YAML: found unexpected end of stream "
			      "while scanning a quoted scalar\n" },
		{ "\ta: 1\n", "1:1 not YAML: found character that cannot "
			      "start any token while scanning for the next "
			      "token\n" },
		{ "%YAML 3.0\n---\na: 1\n",
		    "1:1 not YAML: found incompatible YAML document\n" },
	};
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(corpus); i++)
		check(corpus[i].text, corpus[i].want);
}

static void
log_discard(
    const char *part, GLogLevelFlags level, const char *text, gpointer arg)
{
}

/* Random bytes result in findings, not in a crash or a hang. */
static void
test_noise(void)
{
	static const char base[] =
	    VALID_SETTINGS "peer_key: &k 0123456789abcdef\n"
			   "tls: {certificate: *k, key: \"\\0\"}\n";
	char text[sizeof base];
	unsigned int i, j;

	g_log_set_handler("yaml", G_LOG_LEVEL_DEBUG, log_discard, NULL);
	g_log_set_handler("settings", G_LOG_LEVEL_DEBUG, log_discard, NULL);
	for (i = 0; i < 20000; i++) {
		memcpy(text, base, sizeof base);
		for (j = g_test_rand_int_range(1, 6); j > 0; j--)
			text[g_test_rand_int_range(0, sizeof base - 1)] =
			    g_test_rand_int_range(0, 256);
		g_free(
		    findings_of(text, g_test_rand_int_range(0, sizeof base)));
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settings/sound-parts", test_sound_parts);
	g_test_add_func("/settings/example", test_example);
	g_test_add_func("/settings/deployments", test_deployments);
	g_test_add_func("/settings/defaults", test_defaults);
	g_test_add_func("/settings/body-bytes", test_body_bytes);
	g_test_add_func("/settings/all-at-once", test_all_at_once);
	g_test_add_func("/settings/peer-key", test_peer_key);
	g_test_add_func("/settings/peer-key-file", test_peer_key_file);
	g_test_add_func("/settings/unreadable", test_unreadable);
	g_test_add_func("/settings/bad-bytes", test_bad_bytes);
	g_test_add_func("/settings/alias-bomb", test_alias_bomb);
	g_test_add_func("/settings/bounds", test_bounds);
	g_test_add_func("/settings/retry-fixed", test_retry_fixed);
	g_test_add_func("/settings/corpus", test_corpus);
	g_test_add_func("/settings/noise", test_noise);
	return g_test_run();
}
