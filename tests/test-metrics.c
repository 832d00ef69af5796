/*
 * The counters and times recorded for a request, and the metrics text made from
 * them.
 */

#include "metrics.h"

#include <string.h>

static const struct doc_class question = {
	.name = "question", .first_token = 100, .between_tokens = 20
};

static char *
text_of(struct metrics *m)
{
	GString *s = g_string_new(NULL);

	metrics_text_classes(s, m);
	return g_string_free(s, FALSE);
}

static void
assert_line(const char *text, const char *line)
{
	g_autofree char *whole = g_strdup_printf("\n%s\n", line);

	if (strstr(text, whole) == NULL)
		g_error("no line \"%s\" in:\n%s", line, text);
}

/*
 * A complete answer of 11 tokens, the first after `first`, then one each 10 ms.
 */
static struct metrics_sample
answer(msec first, msec each)
{
	return (struct metrics_sample){ .outcome = REQUEST_RAN,
		.code = REQUEST_CODE_OK,
		.arrived = 1000,
		.first = 1000 + first,
		.ended = 1000 + first + 10 * each,
		.tokens = 11 };
}

/* Only targets that the class sets are evaluated, each by itself. */
static void
test_targets(void)
{
	struct metrics_sample good = answer(100, 20), late = answer(101, 20),
			      slow = answer(50, 21);
	struct metrics_class *c;
	struct metrics m;

	metrics_init(&m);
	metrics_count_request(&m, "s", &question, &good);
	metrics_count_request(&m, "s", &question, &late);
	metrics_count_request(&m, "s", &question, &slow);
	c = metrics_class_get(&m, "s", "question");
	g_assert_cmpuint(c->met[METRICS_FIRST_TOKEN], ==, 2);
	g_assert_cmpuint(c->missed[METRICS_FIRST_TOKEN], ==, 1);
	g_assert_cmpuint(c->met[METRICS_BETWEEN_TOKENS], ==, 2);
	g_assert_cmpuint(c->missed[METRICS_BETWEEN_TOKENS], ==, 1);
	g_assert_cmpuint(c->met[METRICS_WHOLE_ANSWER], ==, 0);
	g_assert_cmpuint(c->missed[METRICS_WHOLE_ANSWER], ==, 0);
	g_assert_cmpuint(c->attained, ==, 1);
	g_assert_cmpuint(c->tokens, ==, 33);
	g_assert_cmpuint(c->good_tokens, ==, 11);
	g_assert_cmpuint(c->between_tokens.count, ==, 3);
	g_assert_cmpuint(c->between_tokens.sum, ==, 61);
	metrics_finish(&m);
}

/* Goodput, attainment and times count complete answers only. */
static void
test_broken(void)
{
	struct metrics_sample s = answer(10, 10);
	struct metrics_class *c;
	struct metrics m;

	metrics_init(&m);
	s.outcome = REQUEST_UNKNOWN;
	s.code = REQUEST_CODE_BROKEN;
	s.repeats = 2;
	metrics_count_request(&m, "s", &question, &s);
	c = metrics_class_get(&m, "s", "question");
	g_assert_cmpuint(c->wasted_tokens, ==, 11);
	g_assert_cmpuint(c->repeated_runs, ==, 2);
	g_assert_cmpuint(c->tokens, ==, 0);
	g_assert_cmpuint(c->attained, ==, 0);
	g_assert_cmpuint(c->whole.count, ==, 0);
	metrics_finish(&m);
}

/* A plain service's answer has no token, and no time between tokens. */
static void
test_plain(void)
{
	static const struct doc_class alert = { .name = "alert",
		.whole_answer = 50 };
	struct metrics_sample s = {
		.outcome = REQUEST_RAN, .arrived = 1000, .ended = 1050
	};
	struct metrics_class *c;
	struct metrics m;

	metrics_init(&m);
	metrics_count_request(&m, "s", &alert, &s);
	c = metrics_class_get(&m, "s", "alert");
	g_assert_cmpuint(c->attained, ==, 1);
	g_assert_cmpuint(c->between_tokens.count, ==, 0);
	g_assert_cmpuint(c->met[METRICS_WHOLE_ANSWER], ==, 1);
	metrics_finish(&m);
}

/*
 * A value equal to a bound is in its bucket; buckets in the text are
 * cumulative.
 */
static void
test_histogram(void)
{
	struct metrics_histogram h = { 0 };
	unsigned int i;

	for (i = 1; i < METRICS_BUCKETS; i++)
		g_assert_cmpint(metrics_bound(i), >, metrics_bound(i - 1));
	metrics_observe(&h, metrics_bound(3));
	metrics_observe(&h, metrics_bound(3) + 1);
	metrics_observe(&h, metrics_bound(METRICS_BUCKETS - 1) + 1);
	metrics_observe(&h, -5); /* a clock that was read too late */
	g_assert_cmpuint(h.counts[3], ==, 1);
	g_assert_cmpuint(h.counts[4], ==, 1);
	g_assert_cmpuint(h.counts[METRICS_BUCKETS], ==, 1);
	g_assert_cmpuint(h.counts[0], ==, 1);
	g_assert_cmpuint(h.count, ==, 4);
	g_assert_cmpuint(h.sum, ==,
	    2 * metrics_bound(3) + 1 + metrics_bound(METRICS_BUCKETS - 1) + 1);
}

static void
test_text(void)
{
	struct metrics_sample s = answer(100, 20);
	g_autofree char *text = NULL;
	struct metrics m;

	metrics_init(&m);
	metrics_count_request(&m, "s", &question, &s);
	m.appends[METRICS_APPEND_LEDGER] = 3;
	text = text_of(&m);
	assert_line(text,
	    "savory_requests_total{service=\"s\",class=\"question\","
	    "outcome=\"ran\"} 1");
	assert_line(text,
	    "savory_target_total{service=\"s\",class=\"question\","
	    "target=\"first_token\",result=\"met\"} 1");
	assert_line(text,
	    "savory_first_token_ms_bucket{service=\"s\",class=\"question\","
	    "le=\"75\"} 0");
	assert_line(text,
	    "savory_first_token_ms_bucket{service=\"s\",class=\"question\","
	    "le=\"100\"} 1");
	assert_line(text,
	    "savory_between_tokens_ms_sum{service=\"s\",class=\"question\"} "
	    "20");
	assert_line(text, "savory_appends_total{cause=\"ledger\"} 3");
	assert_line(text, "# TYPE savory_whole_ms histogram");
	metrics_finish(&m);
}

/* Each metric has its name, a known type and a HELP text exactly once. */
static void
test_infos(void)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
	const struct metric_info *info;
	unsigned int i;

	for (i = 0; i < METRIC_COUNT; i++) {
		info = metric_info(i);
		g_assert_nonnull(info->name);
		g_assert_true(g_hash_table_add(seen, (char *)info->name));
		g_assert_true(g_str_has_suffix(info->help, "."));
		if (strcmp(info->type, "counter") == 0)
			g_assert_true(g_str_has_suffix(info->name, "_total"));
		else if (strcmp(info->type, "gauge") != 0)
			g_assert_cmpstr(info->type, ==, "histogram");
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/metrics/targets", test_targets);
	g_test_add_func("/metrics/broken", test_broken);
	g_test_add_func("/metrics/plain", test_plain);
	g_test_add_func("/metrics/histogram", test_histogram);
	g_test_add_func("/metrics/text", test_text);
	g_test_add_func("/metrics/infos", test_infos);
	return g_test_run();
}
