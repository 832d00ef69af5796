/*
 * Classes, organisations and bursts of load; see common-workload.h.
 */

#include "common-workload.h"

#include <math.h>
#include <string.h>

#define LENGTH_SIGMA 0.8 /* of the logarithm; p99 is 4.7 times the mean */

void
workload_init(struct workload *w)
{
	memset(w, 0, sizeof *w);
	TAILQ_INIT(&w->classes);
	TAILQ_INIT(&w->orgs);
	TAILQ_INIT(&w->bursts);
	w->rate = 10;
}

static double
field_number(char **fields, unsigned int n, unsigned int i, double dflt)
{
	return i < n && *fields[i] != '\0' ? g_ascii_strtod(fields[i], NULL)
					   : dflt;
}

/* NAME=SHARE[:prompt_tokens:tokens:ttft_ms:tbt_ms:whole_ms[:norepeat]] */
bool
workload_add_class(struct workload *w, const char *text)
{
	const char *eq = strchr(text, '=');
	g_auto(GStrv) f = NULL;
	struct load_class *c;
	unsigned int n;

	if (eq == NULL || eq == text)
		return false;
	f = g_strsplit(eq + 1, ":", 0);
	n = g_strv_length(f);
	c = g_new0(struct load_class, 1);
	c->number = w->class_count++;
	c->name = g_strndup(text, (gsize)(eq - text));
	c->share = field_number(f, n, 0, 1);
	c->prompt_tokens = field_number(f, n, 1, 64);
	c->tokens = field_number(f, n, 2, 16);
	c->ttft_ms = field_number(f, n, 3, 0);
	c->tbt_ms = field_number(f, n, 4, 0);
	c->whole_ms = field_number(f, n, 5, 0);
	c->norepeat = n > 6 && strcmp(f[6], "norepeat") == 0;
	TAILQ_INSERT_TAIL(&w->classes, c, entry);
	return c->share > 0 && c->prompt_tokens >= 1 && c->tokens >= 1;
}

/* NAME=KEY[:weight] */
bool
workload_add_org(struct workload *w, const char *text)
{
	const char *eq = strchr(text, '=');
	g_auto(GStrv) f = NULL;
	struct load_org *o;

	if (eq == NULL || eq == text)
		return false;
	f = g_strsplit(eq + 1, ":", 2);
	o = g_new0(struct load_org, 1);
	o->number = w->org_count++;
	o->name = g_strndup(text, (gsize)(eq - text));
	o->key = g_strdup(f[0] == NULL ? "" : f[0]);
	o->weight = field_number(f, g_strv_length(f), 1, 1);
	TAILQ_INSERT_TAIL(&w->orgs, o, entry);
	return o->weight > 0;
}

/* CLASS@START+LENGTH=FACTOR, in seconds */
bool
workload_add_burst(struct workload *w, const char *text)
{
	struct load_burst *b = g_new0(struct load_burst, 1);
	const char *at = strrchr(text, '@');
	char *end = NULL;

	TAILQ_INSERT_TAIL(&w->bursts, b, entry);
	b->class_name = g_strndup(text, at == NULL ? 0 : (gsize)(at - text));
	if (at == NULL)
		return false;
	b->start = g_ascii_strtod(at + 1, &end);
	if (*end != '+')
		return false;
	b->length = g_ascii_strtod(end + 1, &end);
	if (*end != '=')
		return false;
	b->factor = g_ascii_strtod(end + 1, &end);
	return *end == '\0' && b->factor >= 0;
}

static double
workload_share(const struct workload *w, const struct load_class *c)
{
	const struct load_class *one;
	double sum = 0;

	TAILQ_FOREACH (one, &w->classes, entry)
		sum += one->share;
	return c->share / sum;
}

double
workload_rate(const struct workload *w, const struct load_class *c, double at)
{
	double rate = w->rate * workload_share(w, c);
	const struct load_burst *b;

	TAILQ_FOREACH (b, &w->bursts, entry) {
		if (strcmp(b->class_name, c->name) == 0 && at >= b->start &&
		    at < b->start + b->length)
			rate *= b->factor;
	}
	return rate;
}

double
workload_rate_max(const struct workload *w, const struct load_class *c)
{
	double rate = w->rate * workload_share(w, c);
	const struct load_burst *b;

	TAILQ_FOREACH (b, &w->bursts, entry) {
		if (strcmp(b->class_name, c->name) == 0 && b->factor > 1)
			rate *= b->factor;
	}
	return rate;
}

const struct load_org *
workload_pick_org(const struct workload *w, GRand *rand)
{
	const struct load_org *o;
	double sum = 0, draw;

	TAILQ_FOREACH (o, &w->orgs, entry)
		sum += o->weight;
	draw = g_rand_double(rand) * sum;
	TAILQ_FOREACH (o, &w->orgs, entry) {
		draw -= o->weight;
		if (draw < 0)
			return o;
	}
	return TAILQ_LAST(&w->orgs, load_org_list);
}

static double
random_normal(GRand *rand)
{
	double u = 1 - g_rand_double(rand), v = g_rand_double(rand);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * v);
}

uint64_t
workload_length(GRand *rand, double mean)
{
	double mu = log(mean) - LENGTH_SIGMA * LENGTH_SIGMA / 2;
	double v = exp(mu + LENGTH_SIGMA * random_normal(rand));

	return (uint64_t)CLAMP(round(v), 1, WORKLOAD_LENGTH_MOST * mean);
}

double
workload_gap(GRand *rand, double rate)
{
	return -log(1 - g_rand_double(rand)) / rate;
}
