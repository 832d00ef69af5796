/*
 * What engines could do, and what callers got; see util-dispatch.h.
 */

#include "util-dispatch-private.h"

#include <math.h>
#include <string.h>

/* Streams of equal lengths at the batch that meets the usual targets. */
double
world_ceiling(struct world *w)
{
	struct world_engine *e;
	double best, sum = 0, token, strictest = INFINITY;
	unsigned int i, n;

	for (i = 0; i < w->config.nclasses; i++) {
		if (w->config.classes[i].between_tokens > 0)
			strictest =
			    MIN(strictest, w->config.classes[i].between_tokens);
	}
	for (i = 0; i < w->config.engines; i++) {
		e = &w->engines[i];
		if (e->down)
			continue;
		best = 0;
		for (n = 1; n <= e->batch_max; n++) {
			token =
			    e->token_ms * e->slow * (1 + e->slope * (n - 1));
			if (n > 1 && token > strictest)
				break;
			best = MAX(best, n / token);
		}
		sum += best;
	}
	return sum;
}

double
world_capacity(struct world *w)
{
	double tokens = 0, share = 0;
	unsigned int i;

	for (i = 0; i < w->config.nclasses; i++) {
		tokens +=
		    w->config.classes[i].share * w->config.classes[i].tokens;
		share += w->config.classes[i].share;
	}
	return world_ceiling(w) / (tokens / share);
}

void
world_measure(struct world *w, bool on)
{
	unsigned int i;

	w->measuring = on;
	if (!on)
		return;
	w->tokens_made = w->tokens_wasted = 0;
	w->measured_from = w->serial;
	memset(w->org_arrived, 0, sizeof w->org_arrived);
	memset(w->org_attained, 0, sizeof w->org_attained);
	for (i = 0; i < WORLD_CLASSES_MAX; i++) {
		g_array_free(w->stats[i].first_token, TRUE);
		g_array_free(w->stats[i].refusal, TRUE);
		memset(&w->stats[i], 0, sizeof w->stats[i]);
		w->stats[i].first_token =
		    g_array_new(FALSE, FALSE, sizeof(double));
		w->stats[i].refusal = g_array_new(FALSE, FALSE, sizeof(double));
	}
}

static gint
compare_double(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

double
world_quantile(GArray *a, double q)
{
	if (a->len == 0)
		return 0;
	g_array_sort(a, compare_double);
	return g_array_index(
	    a, double, MIN(a->len - 1, (unsigned int)(a->len * q)));
}
