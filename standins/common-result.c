/*
 * Results of the load program; see common-result.h.
 */

#include "common-result.h"

#include <inttypes.h>

#include <jansson.h>

void
result_init(struct result *r, const struct workload *work)
{
	*r = (struct result){ .work = work };
	r->classes = g_new0(struct class_result, work->class_count);
}

static void
class_merge(struct class_result *to, const struct class_result *from)
{
	to->sent += from->sent;
	to->ran += from->ran;
	to->not_run += from->not_run;
	to->unknown += from->unknown;
	to->broken += from->broken;
	to->unreachable += from->unreachable;
	to->attained += from->attained;
	to->good_tokens += from->good_tokens;
	histogram_merge(&to->ttft_us, &from->ttft_us);
	histogram_merge(&to->tbt_us, &from->tbt_us);
}

void
result_merge(struct result *to, const struct result *from)
{
	unsigned int i;

	to->crossed += from->crossed;
	to->cut_short += from->cut_short;
	to->held_back += from->held_back;
	to->unfinished += from->unfinished;
	to->not_run_with_tokens += from->not_run_with_tokens;
	for (i = 0; i < to->work->class_count; i++)
		class_merge(&to->classes[i], &from->classes[i]);
}

static double
quantile_ms(const struct histogram *h, double share)
{
	return (double)histogram_quantile(h, share) / 1000;
}

static json_t *
quantiles_to_json(const struct histogram *h)
{
	return json_pack("{s:f,s:f,s:f}", "p50", quantile_ms(h, 0.5), "p95",
	    quantile_ms(h, 0.95), "p99", quantile_ms(h, 0.99));
}

static double
class_attainment(const struct class_result *c)
{
	return c->sent == 0 ? 0 : (double)c->attained / (double)c->sent;
}

static json_t *
class_to_json(const struct class_result *c, double seconds)
{
	return json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:o,s:o,s:f,s:f}", "sent",
	    (json_int_t)c->sent, "ran", (json_int_t)c->ran, "not_run",
	    (json_int_t)c->not_run, "unknown", (json_int_t)c->unknown, "broken",
	    (json_int_t)c->broken, "unreachable", (json_int_t)c->unreachable,
	    "ttft_ms", quantiles_to_json(&c->ttft_us), "tbt_ms",
	    quantiles_to_json(&c->tbt_us), "attainment", class_attainment(c),
	    "goodput", (double)c->good_tokens / seconds);
}

void
result_print_json(const struct result *r, double seconds)
{
	json_t *classes = json_object(), *all;
	const struct load_class *c;

	TAILQ_FOREACH (c, &r->work->classes, entry)
		json_object_set_new(classes, c->name,
		    class_to_json(&r->classes[c->number], seconds));
	all = json_pack("{s:f,s:I,s:I,s:I,s:I,s:I,s:o}", "seconds", seconds,
	    "crossed", (json_int_t)r->crossed, "short",
	    (json_int_t)r->cut_short, "held_back", (json_int_t)r->held_back,
	    "unfinished", (json_int_t)r->unfinished, "not_run_with_tokens",
	    (json_int_t)r->not_run_with_tokens, "classes", classes);
	json_dumpf(all, stdout, JSON_COMPACT | JSON_REAL_PRECISION(6));
	putchar('\n');
	json_decref(all);
}

void
result_print(const struct result *r, double seconds)
{
	const struct load_class *c;
	const struct class_result *k;

	printf("%-16s %8s %8s %8s %8s %8s  %-26s %-23s %8s %10s\n", "class",
	    "sent", "ran", "not run", "unknown", "broken",
	    "ttft p50/p95/p99 ms", "between p50/p95/p99 ms", "attained",
	    "goodput/s");
	TAILQ_FOREACH (c, &r->work->classes, entry) {
		k = &r->classes[c->number];
		printf("%-16s %8" PRIu64 " %8" PRIu64 " %8" PRIu64 " %8" PRIu64
		       " %8" PRIu64
		       "  %8.1f/%8.1f/%8.1f %7.1f/%7.1f/%7.1f %7.1f%% %10.1f\n",
		    c->name, k->sent, k->ran, k->not_run, k->unknown, k->broken,
		    quantile_ms(&k->ttft_us, 0.5),
		    quantile_ms(&k->ttft_us, 0.95),
		    quantile_ms(&k->ttft_us, 0.99),
		    quantile_ms(&k->tbt_us, 0.5), quantile_ms(&k->tbt_us, 0.95),
		    quantile_ms(&k->tbt_us, 0.99), 100 * class_attainment(k),
		    (double)k->good_tokens / seconds);
	}
	printf("crossed %" PRIu64 ", short %" PRIu64 ", held back %" PRIu64
	       ", unfinished %" PRIu64 ", not run with tokens %" PRIu64 "\n",
	    r->crossed, r->cut_short, r->held_back, r->unfinished,
	    r->not_run_with_tokens);
}
