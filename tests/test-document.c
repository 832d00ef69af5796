/*
 * The service document: the examples are valid, and all errors in a text are
 * reported at once with line and column.
 */

#include "document.h"

#include <string.h>

#define HASH "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde"

#define ORGS               \
	"organisations:\n" \
	"  - {name: a, key_sha256: " HASH "0}\n"

static char *
findings_of(const char *text, size_t len)
{
	GString *out = g_string_new(NULL);
	struct document d;
	struct findings f;
	struct finding *one;
	bool ok;

	findings_init(&f);
	ok = document_parse(&d, text, len, "d.yaml", &f);
	g_assert_cmpint(ok, ==, f.count == 0);
	g_assert_true(ok || (d.classes == NULL && d.norgs == 0));
	TAILQ_FOREACH (one, &f.list, entry)
		g_string_append_printf(
		    out, "%u:%u %s\n", one->line, one->column, one->text);
	findings_finish(&f);
	document_finish(&d);
	return g_string_free(out, FALSE);
}

static void
check(const char *text, const char *want)
{
	g_autofree char *got = findings_of(text, strlen(text));

	g_assert_cmpstr(got, ==, want);
}

static void
document_load(struct document *d, const char *file)
{
	g_autofree char *text = NULL;
	struct findings f;
	gsize len;

	g_assert_true(g_file_get_contents(file, &text, &len, NULL));
	findings_init(&f);
	if (!document_parse(d, text, len, file, &f))
		findings_print(&f, stderr);
	g_assert_cmpuint(f.count, ==, 0);
	findings_finish(&f);
}

static void
test_examples(void)
{
	static const struct {
		const char *file, *service;
		enum service_kind kind;
		enum service_weighs weighs;
		unsigned int nclasses;
	} all[] = {
		{ "examples/seyra-planner.yaml", "planner-llm", SERVICE_MODEL,
		    WEIGHS_WASTE, 4 },
		{ "examples/seyra-yard.yaml", "yard-app", SERVICE_PLAIN,
		    WEIGHS_WASTE, 2 },
		{ "examples/kellaway-briefing.yaml", "briefing-model",
		    SERVICE_MODEL, WEIGHS_ATTAINMENT, 3 },
		{ "examples/kellaway-alerts.yaml", "alert-desk", SERVICE_PLAIN,
		    WEIGHS_ATTAINMENT, 3 },
	};
	g_autofree char *key = NULL;
	struct document d;
	unsigned int i, j;

	for (i = 0; i < G_N_ELEMENTS(all); i++) {
		document_load(&d, all[i].file);
		g_assert_cmpstr(d.service, ==, all[i].service);
		g_assert_cmpint(d.kind, ==, all[i].kind);
		g_assert_cmpint(d.weighs, ==, all[i].weighs);
		g_assert_cmpuint(d.nclasses, ==, all[i].nclasses);
		g_assert_cmpuint(d.norgs, ==, 10);
		for (j = 0; j < d.norgs; j++) {
			g_free(key);
			key = g_strconcat("key-", d.orgs[j].name, NULL);
			g_assert_true(
			    document_org_by_key(&d, key) == &d.orgs[j]);
		}
		g_assert_null(document_org_by_key(&d, "key-nobody"));
		document_finish(&d);
	}
}

static void
test_values(void)
{
	const struct doc_class *c;
	struct document d;
	int i;

	document_load(&d, "examples/seyra-planner.yaml");
	i = document_class(&d, "replan");
	g_assert_cmpint(i, ==, 0);
	c = &d.classes[i];
	g_assert_cmpuint(c->tier, ==, 0);
	g_assert_true(c->is_protected);
	g_assert_true(c->repeatable);
	g_assert_cmpuint(c->floor_permille, ==, 100);
	g_assert_cmpint(c->first_token, ==, 1500);
	g_assert_cmpint(c->between_tokens, ==, 120);
	g_assert_cmpint(c->whole_answer, ==, 60000);
	g_assert_cmpint(document_class(&d, "none"), ==, -1);
	g_assert_cmpuint(d.orgs[0].weight, ==, 4);
	g_assert_cmpuint(d.orgs[4].weight, ==, 1);
	g_assert_cmpuint(d.orgs[4].limits.in_flight, ==, 60);
	g_assert_cmpstr(d.models[0].version, ==, "2026-11");
	g_assert_false(document_trait(&d, "planner-old-3").fenced);
	g_assert_cmpuint(document_trait(&d, "planner-old-3").slots, ==, 2);
	g_assert_true(document_trait(&d, "planner-new-3").fenced);
	document_finish(&d);
}

static void
test_repeatable_default(void)
{
	/*
	 * A document does not state whether calls to a booking service may be
	 * repeated. A retry after a lost answer would book twice, so the
	 * default is "no" for a plain service, and "yes" only for a model.
	 */
	static const char plain[] = "service: s\nkind: plain\n"
				    "classes: [{name: c, tier: 0}]\n" ORGS;
	static const char model[] = "service: s\n"
				    "models: [{name: m, version: 1}]\n"
				    "classes: [{name: c, tier: 0}]\n" ORGS;
	struct document d;
	struct findings f;

	findings_init(&f);
	g_assert_true(document_parse(&d, plain, strlen(plain), "d", &f));
	g_assert_false(d.classes[0].repeatable);
	g_assert_false(document_trait(&d, "x").fenced);
	document_finish(&d);
	g_assert_true(document_parse(&d, model, strlen(model), "d", &f));
	g_assert_true(d.classes[0].repeatable);
	document_finish(&d);
	findings_finish(&f);
}

static void
test_all_at_once(void)
{
	/*
	 * An operator publishes an edit with several errors. If each run
	 * reported only one, mending them would take as many runs; each is
	 * reported with its line and column in one run, and nothing of the
	 * document is used.
	 */
	check("service: Planner\n"
	      "kind: modle\n"
	      "clases: []\n"
	      "models:\n"
	      "  - {name: m, version: 1}\n"
	      "  - {name: m, version: 2}\n"
	      "classes:\n"
	      "  - name: a\n"
	      "    tier: 8\n"
	      "    targets: {first_token_ms: 0, whole_answer_ms: -5}\n"
	      "  - name: a\n"
	      "    tier: 1\n"
	      "    protected: yes\n"
	      "    floor: 60%\n"
	      "    targets:\n"
	      "      first_token_ms: 900\n"
	      "      between_tokens_ms: 901\n"
	      "      whole_answer_ms: 800\n"
	      "  - name: b\n"
	      "    tier: 0\n"
	      "    floor: 40.1%\n"
	      "  - name: c\n"
	      "    tier: 2\n"
	      "    protected: true\n"
	      "    floor: 0.05\n"
	      "organisations:\n"
	      "  - {name: x, key_sha256: " HASH "0, weight: 0}\n"
	      "  - {name: x, key_sha256: " HASH "1}\n"
	      "  - {name: y, key_sha256: " HASH "0}\n"
	      "  - {name: z, key_sha256: key-z, limits: {rps: 1}}\n"
	      "backends:\n"
	      "  - {match: 'a b', slots: 0}\n",
	    "1:10 service: expected a name of at most 63 of a-z 0-9 . _ - "
	    "that starts with a letter or digit\n"
	    "2:7 kind: expected one of model, plain, got \"modle\"\n"
	    "3:1 unknown key \"clases\" in the document, did you mean "
	    "\"classes\"?\n"
	    "6:12 name: m appears twice in models\n"
	    "9:11 tier: expected a number from 0 to 7, got 8\n"
	    "10:31 first_token_ms: expected a number from 1 to 86400000, got "
	    "0\n"
	    "10:51 whole_answer_ms: expected a number from 1 to 86400000, got "
	    "-5\n"
	    "11:11 name: a appears twice in classes\n"
	    "13:16 protected: expected true or false, got \"yes\"\n"
	    "16:23 first_token_ms: expected at most whole_answer_ms, 800, got "
	    "900\n"
	    "17:26 between_tokens_ms: expected at most whole_answer_ms, 800, "
	    "got 901\n"
	    "21:12 floor: expected at most 100% over all classes, got 100.1% "
	    "up to here\n"
	    "23:11 tier: expected a protected class in a tier no lower than "
	    "unprotected \"a\" in 0, got 2\n"
	    "25:12 floor: expected a percentage from 0% to 100% in steps of "
	    "0.1, got \"0.05\"\n"
	    "27:101 weight: expected a number from 1 to 1000, got 0\n"
	    "28:12 name: x appears twice in organisations\n"
	    "29:27 key_sha256: this hash appears twice in organisations\n"
	    "30:27 key_sha256: expected the 64 lower-case hex digits of the "
	    "key's SHA-256\n"
	    "30:43 unknown key \"rps\" in limits\n"
	    "32:13 match: expected a pattern of at most 63 of a-z 0-9 . _ - * "
	    "? [ ] !, got \"a b\"\n"
	    "32:27 slots: expected a number from 1 to 1024, got 0\n");
}

static void
test_kinds(void)
{
	check("service: s\nclasses: [{name: c, tier: 0}]\n" ORGS,
	    "1:1 missing key \"models\" in the document of a model service\n");
	check("service: s\nkind: plain\nmodels: [{name: m, version: 1}]\n"
	      "classes:\n"
	      "  - {name: c, tier: 0, targets: {first_token_ms: 1}}\n" ORGS,
	    "3:9 models: a plain service has none\n"
	    "5:33 targets: a plain service has no tokens, expected only "
	    "whole_answer_ms\n");
	check("service: s\nkind: plain\nclasses: []\n",
	    "1:1 missing key \"organisations\" in the document\n"
	    "3:10 classes: expected 1 to 16 items, got 0\n");
}

static void
test_protected_below(void)
{
	/*
	 * Re-plans are protected but have a lower tier than driver questions.
	 * Under overload the tiers would shed the re-plan and the protection
	 * would forbid it; the contradiction is reported before the document is
	 * in force.
	 */
	check("service: s\nkind: plain\nclasses:\n"
	      "  - {name: replan, tier: 1, protected: true}\n"
	      "  - {name: driver, tier: 0}\n"
	      "  - {name: other, tier: 1}\n" ORGS,
	    "4:26 tier: expected a protected class in a tier no lower than "
	    "unprotected \"driver\" in 0, got 1\n");
	check("service: s\nkind: plain\nclasses:\n"
	      "  - {name: replan, tier: 1, protected: true}\n"
	      "  - {name: other, tier: 1}\n" ORGS,
	    "");
}

static void
test_too_many(void)
{
	GString *s = g_string_new("service: s\nkind: plain\nclasses:\n");
	unsigned int i;

	for (i = 0; i < 17; i++)
		g_string_append_printf(s, "  - {name: c%u, tier: 1}\n", i);
	g_string_append(s, ORGS);
	check(s->str, "4:3 classes: expected 1 to 16 items, got 17\n");
	g_string_free(s, TRUE);
}

static void
test_wide_aliases(void)
{
	/*
	 * A text of 18 KB whose thousand organisations are all aliases of one
	 * map of a thousand keys: a million YAML nodes to walk, on each VM at
	 * each publication. The walk ends at its bound with a finding.
	 */
	GString *s = g_string_new("service: s\nkind: plain\n"
				  "classes: [{name: c, tier: 0}]\n"
				  "organisations:\n  - &a {");
	unsigned int i;

	for (i = 0; i < 1000; i++)
		g_string_append_printf(s, "k%u: 1, ", i);
	g_string_append(s, "}\n");
	for (i = 0; i < 1000; i++)
		g_string_append(s, "  - *a\n");
	g_autofree char *got = findings_of(s->str, s->len);
	g_assert_nonnull(strstr(got, "unknown key \"k0\""));
	g_assert_nonnull(strstr(got,
	    "too many values with aliases followed, expected at most "
	    "65536\n"));
	g_assert_true(
	    g_str_has_suffix(got, "0:0 more findings than the 200 shown\n"));
	g_string_free(s, TRUE);
}

static void
test_many_backends(void)
{
	GString *s = g_string_new("service: s\nkind: plain\n"
				  "classes: [{name: c, tier: 0}]\n"
				  "backends:\n");
	unsigned int i;

	for (i = 0; i < 256; i++)
		g_string_append(s, "  - {match: '*'}\n");
	g_string_append(s, ORGS);
	check(s->str, "");
	g_string_free(s, TRUE);
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
	g_autofree char *base = NULL, *text = NULL;
	unsigned int i, j;
	gsize len;

	g_log_set_handler("yaml", G_LOG_LEVEL_DEBUG, log_discard, NULL);
	g_log_set_handler("document", G_LOG_LEVEL_DEBUG, log_discard, NULL);
	g_assert_true(g_file_get_contents(
	    "examples/kellaway-briefing.yaml", &base, &len, NULL));
	for (i = 0; i < 5000; i++) {
		g_free(text);
		text = g_strndup(base, len);
		for (j = g_test_rand_int_range(1, 6); j > 0; j--)
			text[g_test_rand_int_range(0, len)] =
			    g_test_rand_int_range(0, 256);
		g_free(findings_of(text, len));
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/document/examples", test_examples);
	g_test_add_func("/document/values", test_values);
	g_test_add_func(
	    "/document/repeatable-default", test_repeatable_default);
	g_test_add_func("/document/all-at-once", test_all_at_once);
	g_test_add_func("/document/kinds", test_kinds);
	g_test_add_func("/document/protected-below", test_protected_below);
	g_test_add_func("/document/too-many", test_too_many);
	g_test_add_func("/document/wide-aliases", test_wide_aliases);
	g_test_add_func("/document/many-backends", test_many_backends);
	g_test_add_func("/document/noise", test_noise);
	return g_test_run();
}
