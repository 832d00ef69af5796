/*
 * top: shows request rates and first-token times by class live, summed over
 * the nodes' metrics.
 */

#define LOG_PART "top"
#include "cmd.h"

#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TOP_EVERY ((msec)2000)
#define TOP_BUCKETS_MAX 64
#define TOP_TEXT_MAX (4 * 1024 * 1024)
#define REQUESTS "savory_requests_total{"
#define FIRST_TOKEN "savory_first_token_ms_bucket{"

enum top_outcome {
	TOP_RAN,
	TOP_NOT_RUN,
	TOP_UNKNOWN,
	TOP_OUTCOMES
};

/* Number of requests with a first token within `le` ms; cumulative. */
struct top_bucket {
	double le;
	uint64_t n;
};

struct top_class {
	TAILQ_ENTRY(top_class) entry;
	char service[NAME_SIZE];
	char name[NAME_SIZE];
	uint64_t outcomes[TOP_OUTCOMES];
	struct top_bucket buckets[TOP_BUCKETS_MAX];
	unsigned int nbuckets;
};

static enum cmd_retval cmd_top_exec(struct cmd *);

const struct cmd_entry cmd_top_entry = {
	.name = "top",
	.args = "",
	.usage = "Show the classes live.",
	.options =
	    (const struct cmd_option[]){
		{ "every-ms", "N", "time between samples (default 2000)",
		    true },
		{ "count", "N", "end after so many samples (default: never)",
		    true },
		{ NULL } },
	.exec = cmd_top_exec,
};

static int
top_class_cmp(const struct top_class *a, const struct top_class *b)
{
	int n = strcmp(a->service, b->service);

	return n != 0 ? n : strcmp(a->name, b->name);
}

static const struct top_class *
top_find(const struct top *t, const struct top_class *key)
{
	const struct top_class *c;

	TAILQ_FOREACH (c, &t->classes, entry) {
		if (top_class_cmp(c, key) == 0)
			return c;
	}
	return NULL;
}

void
top_init(struct top *t)
{
	TAILQ_INIT(&t->classes);
}

void
top_finish(struct top *t)
{
	struct top_class *c;

	while ((c = TAILQ_FIRST(&t->classes)) != NULL) {
		TAILQ_REMOVE(&t->classes, c, entry);
		g_free(c);
	}
}

/* Copy the value of a label from the text between the braces. */
static bool
label_get(const char *labels, const char *name, char *out, size_t size)
{
	size_t n = strlen(name);
	const char *p, *end;

	for (p = labels; (p = strstr(p, name)) != NULL; p += n) {
		if (p != labels && p[-1] != ',' && p[-1] != ' ')
			continue;
		if (p[n] != '=' || p[n + 1] != '"')
			continue;
		p += n + 2;
		if ((end = strchr(p, '"')) == NULL)
			return false;
		g_strlcpy(out, p, MIN(size, (size_t)(end - p) + 1));
		return true;
	}
	return false;
}

static struct top_class *
top_get(struct top *t, const char *labels)
{
	struct top_class *c, *next, key;

	if (!label_get(labels, "service", key.service, sizeof key.service) ||
	    !label_get(labels, "class", key.name, sizeof key.name))
		return NULL;
	TAILQ_FOREACH (next, &t->classes, entry) {
		if (top_class_cmp(next, &key) >= 0)
			break;
	}
	if (next != NULL && top_class_cmp(next, &key) == 0)
		return next;
	c = g_new0(struct top_class, 1);
	g_strlcpy(c->service, key.service, sizeof c->service);
	g_strlcpy(c->name, key.name, sizeof c->name);
	if (next != NULL)
		TAILQ_INSERT_BEFORE(next, c, entry);
	else
		TAILQ_INSERT_TAIL(&t->classes, c, entry);
	return c;
}

static void
top_add_requests(struct top *t, const char *labels, uint64_t n)
{
	struct top_class *c = top_get(t, labels);
	char outcome[16];

	if (c == NULL || !label_get(labels, "outcome", outcome, sizeof outcome))
		return;
	if (strcmp(outcome, "ran") == 0)
		c->outcomes[TOP_RAN] += n;
	else if (strcmp(outcome, "not-run") == 0)
		c->outcomes[TOP_NOT_RUN] += n;
	else
		c->outcomes[TOP_UNKNOWN] += n;
}

/* Find or insert the bucket with this bound, sorted; NULL: array is full. */
static struct top_bucket *
bucket_get(struct top_class *c, double le)
{
	unsigned int i = 0;

	while (i < c->nbuckets && c->buckets[i].le < le)
		i++;
	if (i < c->nbuckets && c->buckets[i].le <= le)
		return &c->buckets[i];
	if (c->nbuckets == TOP_BUCKETS_MAX)
		return NULL;
	memmove(&c->buckets[i + 1], &c->buckets[i],
	    (c->nbuckets - i) * sizeof c->buckets[0]);
	c->nbuckets++;
	c->buckets[i] = (struct top_bucket){ le, 0 };
	return &c->buckets[i];
}

static void
top_add_bucket(struct top *t, const char *labels, uint64_t n)
{
	struct top_class *c = top_get(t, labels);
	struct top_bucket *b;
	char le[32];

	if (c == NULL || !label_get(labels, "le", le, sizeof le))
		return;
	b = bucket_get(
	    c, strcmp(le, "+Inf") == 0 ? INFINITY : g_ascii_strtod(le, NULL));
	if (b != NULL)
		b->n += n;
}

static void
top_add_line(struct top *t, char *line)
{
	char *labels = strchr(line, '{'), *end = strrchr(line, '}');
	uint64_t n;

	if (labels == NULL || end == NULL)
		return;
	n = (uint64_t)g_ascii_strtod(end + 1, NULL);
	*end = '\0';
	if (g_str_has_prefix(line, REQUESTS))
		top_add_requests(t, labels + 1, n);
	else if (g_str_has_prefix(line, FIRST_TOKEN))
		top_add_bucket(t, labels + 1, n);
}

void
top_add(struct top *t, const char *text)
{
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	unsigned int i;

	for (i = 0; lines[i] != NULL; i++)
		top_add_line(t, lines[i]);
}

/* 0 for a lower count, after a node has restarted or is missing. */
static uint64_t
count_since(uint64_t now, uint64_t before)
{
	return now > before ? now - before : 0;
}

static uint64_t
bucket_count(const struct top_class *c, double le)
{
	unsigned int i;

	for (i = 0; c != NULL && i < c->nbuckets; i++) {
		if (c->buckets[i].le >= le)
			return c->buckets[i].n;
	}
	return 0;
}

/* Print the bucket bound of a quantile; "-" without first tokens. */
static void
quantile_print(GString *s, const struct top_class *c,
    const struct top_class *before, double share)
{
	uint64_t total, n;
	unsigned int i;
	double le;

	total = c->nbuckets == 0 ? 0
				 : count_since(c->buckets[c->nbuckets - 1].n,
				       bucket_count(before, INFINITY));
	for (i = 0; total > 0 && i < c->nbuckets; i++) {
		le = c->buckets[i].le;
		n = count_since(c->buckets[i].n, bucket_count(before, le));
		if ((double)n < share * (double)total)
			continue;
		if (isinf(le))
			break;
		g_string_append_printf(s, " %8.0f", le);
		return;
	}
	g_string_append_printf(s, " %8s", total > 0 ? "more" : "-");
}

static void
class_print(GString *s, const struct top_class *c,
    const struct top_class *before, msec span)
{
	double rate;
	unsigned int i;

	g_string_append_printf(s, "%-20s %-20s", c->service, c->name);
	for (i = 0; i < TOP_OUTCOMES; i++) {
		rate = (double)count_since(c->outcomes[i],
			   before != NULL ? before->outcomes[i] : 0) *
		       1000 / (double)MAX(span, 1);
		g_string_append_printf(s, " %9.1f", rate);
	}
	quantile_print(s, c, before, 0.5);
	quantile_print(s, c, before, 0.95);
	g_string_append_c(s, '\n');
}

char *
top_table(const struct top *now, const struct top *before, msec span)
{
	GString *s = g_string_new(NULL);
	const struct top_class *c;

	g_string_printf(s, "%-20s %-20s %9s %9s %9s %8s %8s\n", "SERVICE",
	    "CLASS", "RAN/S", "NOT-RUN/S", "UNKNOWN/S", "P50-MS", "P95-MS");
	TAILQ_FOREACH (c, &now->classes, entry)
		class_print(
		    s, c, before != NULL ? top_find(before, c) : NULL, span);
	return g_string_free(s, FALSE);
}

/* One node's metrics text. */
struct top_fetch {
	const char *address;
	GString *text;
};

static void
fetch_body(void *arg, const char *data, size_t n)
{
	GString *s = arg;

	if (s->len + n <= TOP_TEXT_MAX)
		g_string_append_len(s, data, n);
}

static void
fetch_run(void *item)
{
	struct top_fetch *f = item;
	g_autofree char *url = g_strdup_printf("http://%s/metrics", f->address);
	struct http_call h = { "GET", url, NULL, NULL, 2 * MSEC_SECOND,
		fetch_body, NULL, f->text };

	if (http_perform(&h, NULL) != 200)
		g_string_truncate(f->text, 0);
}

/* Sum the metrics of all nodes that respond. */
static void
top_sample(struct top *t, const json_t *members)
{
	size_t i, n = json_array_size(members);
	struct top_fetch *all = g_new0(struct top_fetch, n + 1);
	void **items = g_new0(void *, n + 1);
	unsigned int nitems = 0;

	for (i = 0; i < n; i++) {
		all[i].address = json_string_value(
		    json_object_get(json_array_get(members, i), "caller"));
		all[i].text = g_string_new(NULL);
		if (all[i].address != NULL)
			items[nitems++] = &all[i];
	}
	cmd_run_parallel(items, nitems, fetch_run);
	for (i = 0; i < n; i++) {
		top_add(t, all[i].text->str);
		g_string_free(all[i].text, TRUE);
	}
	g_free(items);
	g_free(all);
}

static void
top_show(const struct top *now, const struct top *before, msec span)
{
	g_autofree char *table = top_table(now, before, span);

	/* Cursor home, then clear what is below. */
	if (isatty(STDOUT_FILENO))
		fputs("\033[H\033[J", stdout);
	fputs(table, stdout);
	fflush(stdout);
}

static enum cmd_retval
cmd_top_exec(struct cmd *c)
{
	msec every = (msec)cmd_number(c, "every-ms", TOP_EVERY);
	uint64_t i, count = cmd_number(c, "count", 0);
	enum cmd_retval retval = CMD_OK;
	struct top samples[2];
	struct top *now, *before = NULL;
	msec at = 0, last;
	json_t *self;

	for (i = 0; count == 0 || i <= count; i++) {
		if ((self = cmd_status(c, &retval)) == NULL)
			break;
		now = &samples[i % 2];
		last = at;
		at = msec_now();
		top_init(now);
		top_sample(now, json_object_get(self, "members"));
		json_decref(self);
		if (before != NULL) {
			top_show(now, before, at - last);
			top_finish(before);
		}
		before = now;
		if (count == 0 || i < count)
			g_usleep((gulong)MAX(every, 100) * 1000);
	}
	if (before != NULL)
		top_finish(before);
	return retval;
}
