/*
 * The daemon's metrics: counts each request when it ends, and collects the
 * counters of all parts for /metrics. See metrics.h.
 */

#define LOG_PART "metrics"
#include "daemon.h"

#include <sys/resource.h>

void
daemon_metrics_ended(struct daemon *d, const struct call *c, msec now)
{
	const struct document *doc = &c->doc->doc;
	const struct metrics_sample sample = { .outcome = c->request.outcome,
		.code = c->request.code,
		.arrived = c->arrived,
		.first = c->first,
		.ended = now,
		.tokens = c->request.tokens,
		.repeats = c->request.repeats };

	metrics_count_request(
	    d->metrics, doc->service, &doc->classes[c->class_index], &sample);
}

void
daemon_metrics_append(struct daemon *d, enum metrics_append cause)
{
	d->metrics->appends[cause]++;
}

static uint64_t
metrics_answer_bytes(const struct daemon *d)
{
	struct call *c;
	uint64_t sum = 0;

	TAILQ_FOREACH (c, &d->calls, entry)
		sum += answer_buffered(&c->answer);
	return sum;
}

static void
metrics_text_requests(GString *s, const struct daemon *d)
{
	const struct request_shared *b = &d->book;

	metrics_text_count(s, METRIC_OPEN_REQUESTS, d->ncalls);
	metrics_text_count(s, METRIC_ANSWER_BYTES, metrics_answer_bytes(d));
	metrics_text_count(s, METRIC_RETRIES, b->retries);
	metrics_text_count(s, METRIC_RETRIES_DENIED, b->retries_denied);
	metrics_text_count(s, METRIC_RESUMED, b->resumed);
	metrics_text_count(s, METRIC_LATE_EVENTS, b->late);
	metrics_text_count(s, METRIC_WASTED_TOKENS, b->wasted_tokens);
	metrics_text_count(s, METRIC_REPEATED_RUNS, b->repeated);
	metrics_text_count(s, METRIC_STOP_NO_TIME, d->stop_no_time);
	metrics_text_count(s, METRIC_STOP_CUT, d->stop_cut);
}

static void
metrics_text_dispatch(GString *s, const struct dispatch_counters *dc)
{
	uint64_t sent = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(dc->sent); i++)
		sent += dc->sent[i];
	metrics_text_count(s, METRIC_SUBMITTED, dc->submitted);
	metrics_text_count(s, METRIC_GRANTED, dc->granted);
	metrics_text_count(s, METRIC_REFUSED, dc->refused);
	metrics_text_count(s, METRIC_CANCELLED, dc->cancelled);
	metrics_text_count(s, METRIC_EVICTED, dc->evicted);
	metrics_text_count(s, METRIC_HOPELESS, dc->hopeless);
	metrics_text_count(s, METRIC_LIMITED, dc->limited);
	metrics_text_count(s, METRIC_WIDENED, dc->widened);
	metrics_text_count(s, METRIC_DISPATCH_MESSAGES, sent);
	metrics_text_count(s, METRIC_OWNER_CHANGES, dc->owner_changes);
}

static void
metrics_text_shares(GString *s, const struct share_counters *sc)
{
	metrics_text_count(s, METRIC_SHARE_ADMITTED, sc->admitted);
	metrics_text_count(s, METRIC_SHARE_REFUSED, sc->refused);
	metrics_text_count(s, METRIC_SHARE_ASKED, sc->asked);
	metrics_text_count(s, METRIC_SHARE_LENT, sc->lent);
	metrics_text_count(s, METRIC_SHARE_BORROWED, sc->borrowed);
}

static void
metrics_text_members(GString *s, const struct member_counters *mc)
{
	metrics_text_count(s, METRIC_PROBES, mc->probes);
	metrics_text_count(s, METRIC_PROBES_FAILED, mc->probes_failed);
	metrics_text_count(s, METRIC_SUSPECTED, mc->suspected);
	metrics_text_count(s, METRIC_DIED, mc->died);
	metrics_text_count(s, METRIC_REFUTED, mc->refuted);
	metrics_text_count(s, METRIC_LISTS_HELD, mc->lists_held);
}

static void
metrics_text_net(GString *s, const struct net_counters *nc)
{
	metrics_text_count(s, METRIC_DATAGRAMS_IN, nc->datagrams_in);
	metrics_text_count(s, METRIC_DATAGRAMS_OUT, nc->datagrams_out);
	metrics_text_count(s, METRIC_BYTES_IN, nc->bytes_in);
	metrics_text_count(s, METRIC_BYTES_OUT, nc->bytes_out);
	metrics_text_count(s, METRIC_REJECTED, nc->rejected);
	metrics_text_count(s, METRIC_DROPPED, nc->dropped);
}

/* User and system time in seconds. */
static double
usage_seconds(const struct rusage *u)
{
	return (double)(u->ru_utime.tv_sec + u->ru_stime.tv_sec) +
	       (double)(u->ru_utime.tv_usec + u->ru_stime.tv_usec) / 1e6;
}

/* Runs on the core thread, so RUSAGE_THREAD is the core's time. */
static void
metrics_text_usage(GString *s)
{
	struct rusage thread = { 0 }, all = { 0 };

	getrusage(RUSAGE_THREAD, &thread);
	getrusage(RUSAGE_SELF, &all);
	metrics_text_seconds(s, METRIC_CORE_CPU, usage_seconds(&thread));
	metrics_text_seconds(s, METRIC_PROCESS_CPU, usage_seconds(&all));
	metrics_text_count(
	    s, METRIC_MEMORY_MAX, (uint64_t)all.ru_maxrss * 1024);
}

char *
daemon_metrics_text(const struct daemon *d)
{
	GString *s = g_string_new(NULL);

	metrics_text_classes(s, d->metrics);
	metrics_text_requests(s, d);
	metrics_text_dispatch(s, &d->dispatch.counters);
	metrics_text_shares(s, &d->shares.counters);
	metrics_text_members(s, &d->members.counters);
	metrics_text_net(s, &d->net.counters);
	metrics_text_usage(s);
	return g_string_free(s, FALSE);
}
