/*
 * Counters per class and their Prometheus text output; see metrics.h.
 */

#define LOG_PART "metrics"
#include "metrics.h"

#include <inttypes.h>
#include <string.h>

RB_GENERATE(metrics_tree, metrics_class, entry, metrics_compare)

static const msec metrics_bounds[METRICS_BUCKETS] = { 1, 2, 5, 10, 20, 35, 50,
	75, 100, 150, 200, 350, 500, 750, 1000, 1500, 2500, 5000, 10000, 30000,
	60000, 120000, 300000 };

static const char *const target_names[METRICS_TARGETS] = { "first_token",
	"between_tokens", "whole_answer" };
static const char *const append_names[METRICS_APPENDS] = { "documents",
	"ledger", "leases" };

static const struct metric_info metric_infos[METRIC_COUNT] = {
	[METRIC_REQUESTS] = { "requests_total", "counter",
	    "Requests by the outcome told to the caller." },
	[METRIC_ENDINGS] = { "endings_total", "counter",
	    "Requests by the reason for their end." },
	[METRIC_TARGET] = { "target_total", "counter",
	    "Whole answers that met or missed each target of their class." },
	[METRIC_ATTAINED] = { "attained_total", "counter",
	    "Whole answers that met all targets of their class." },
	[METRIC_FIRST_TOKEN] = { "first_token_ms", "histogram",
	    "From arrival to the first token passed on, whole answers." },
	[METRIC_BETWEEN_TOKENS] = { "between_tokens_ms", "histogram",
	    "Mean time between an answer's tokens, whole answers." },
	[METRIC_WHOLE] = { "whole_ms", "histogram",
	    "From arrival to the end, whole answers." },
	[METRIC_TOKENS] = { "tokens_total", "counter",
	    "Tokens of whole answers." },
	[METRIC_GOOD_TOKENS] = { "good_tokens_total", "counter",
	    "Tokens of answers that met all targets: goodput." },
	[METRIC_CLASS_WASTED_TOKENS] = { "class_wasted_tokens_total", "counter",
	    "Tokens passed on of answers that never became whole." },
	[METRIC_CLASS_REPEATED_RUNS] = { "class_repeated_runs_total", "counter",
	    "Runs from the start after one that may have executed." },
	[METRIC_APPENDS] = { "appends_total", "counter",
	    "Records this node asked to append to the log, by cause." },
	[METRIC_OPEN_REQUESTS] = { "open_requests", "gauge",
	    "Requests in hand now." },
	[METRIC_ANSWER_BYTES] = { "answer_bytes", "gauge",
	    "Bytes of answers that wait for callers who read slowly." },
	[METRIC_RETRIES] = { "retries_total", "counter",
	    "Second and later attempts." },
	[METRIC_RETRIES_DENIED] = { "retries_denied_total", "counter",
	    "Retries that the budget did not allow." },
	[METRIC_RESUMED] = { "resumed_total", "counter",
	    "Streams continued on another engine." },
	[METRIC_LATE_EVENTS] = { "late_events_total", "counter",
	    "Events of attempts already given up on; dropped." },
	[METRIC_WASTED_TOKENS] = { "wasted_tokens_total", "counter",
	    "Tokens made for nothing, late ones too, all classes." },
	[METRIC_REPEATED_RUNS] = { "repeated_runs_total", "counter",
	    "Runs from the start after one that may have executed, all." },
	[METRIC_STOP_NO_TIME] = { "stop_no_time_total", "counter",
	    "Requests turned away as this node would end before they do." },
	[METRIC_STOP_CUT] = { "stop_cut_total", "counter",
	    "Requests cut at the stop deadline." },
	[METRIC_SUBMITTED] = { "dispatch_submitted_total", "counter",
	    "Slots asked for." },
	[METRIC_GRANTED] = { "dispatch_granted_total", "counter",
	    "Slots granted." },
	[METRIC_REFUSED] = { "dispatch_refused_total", "counter",
	    "Slots refused, for any reason." },
	[METRIC_CANCELLED] = { "dispatch_cancelled_total", "counter",
	    "Slots no longer wanted." },
	[METRIC_EVICTED] = { "dispatch_evicted_total", "counter",
	    "Waiting requests that made room for a higher tier." },
	[METRIC_HOPELESS] = { "dispatch_hopeless_total", "counter",
	    "Requests refused because they would miss their deadline." },
	[METRIC_LIMITED] = { "dispatch_limited_total", "counter",
	    "Requests refused by their organisation's limit." },
	[METRIC_WIDENED] = { "dispatch_widened_total", "counter",
	    "Reservations extended to further engines." },
	[METRIC_DISPATCH_MESSAGES] = { "dispatch_messages_total", "counter",
	    "Messages sent by dispatch." },
	[METRIC_OWNER_CHANGES] = { "dispatch_owner_changes_total", "counter",
	    "Engines that changed their owner." },
	[METRIC_SHARE_ADMITTED] = { "share_admitted_total", "counter",
	    "Requests within their organisation's limits." },
	[METRIC_SHARE_REFUSED] = { "share_refused_total", "counter",
	    "Times a request was over this node's share of a limit." },
	[METRIC_SHARE_ASKED] = { "share_asked_total", "counter",
	    "Requests to other nodes for a loan." },
	[METRIC_SHARE_LENT] = { "share_lent_total", "counter",
	    "Loans given to other nodes." },
	[METRIC_SHARE_BORROWED] = { "share_borrowed_total", "counter",
	    "Loans got from other nodes." },
	[METRIC_PROBES] = { "member_probes_total", "counter",
	    "Probes of other nodes." },
	[METRIC_PROBES_FAILED] = { "member_probes_failed_total", "counter",
	    "Probes without an answer in time." },
	[METRIC_SUSPECTED] = { "member_suspected_total", "counter",
	    "Nodes that became suspect." },
	[METRIC_DIED] = { "member_died_total", "counter",
	    "Nodes that were declared dead." },
	[METRIC_REFUTED] = { "member_refuted_total", "counter",
	    "Times this node refuted a suspicion of itself." },
	[METRIC_LISTS_HELD] = { "member_lists_held_total", "counter",
	    "VM lists held back as implausible." },
	[METRIC_DATAGRAMS_IN] = { "net_datagrams_in_total", "counter",
	    "Datagrams from other nodes." },
	[METRIC_DATAGRAMS_OUT] = { "net_datagrams_out_total", "counter",
	    "Datagrams to other nodes." },
	[METRIC_BYTES_IN] = { "net_bytes_in_total", "counter",
	    "Bytes of UDP payload from other nodes." },
	[METRIC_BYTES_OUT] = { "net_bytes_out_total", "counter",
	    "Bytes of UDP payload to other nodes." },
	[METRIC_REJECTED] = { "net_rejected_total", "counter",
	    "Datagrams malformed or not authentic." },
	[METRIC_DROPPED] = { "net_dropped_total", "counter",
	    "Datagrams that the socket would not take." },
	[METRIC_CORE_CPU] = { "core_cpu_seconds_total", "counter",
	    "CPU time of the core thread, which makes the decisions." },
	[METRIC_PROCESS_CPU] = { "process_cpu_seconds_total", "counter",
	    "CPU time of all threads." },
	[METRIC_MEMORY_MAX] = { "memory_max_bytes", "gauge",
	    "Greatest resident memory since the start." },
};

int
metrics_compare(const struct metrics_class *a, const struct metrics_class *b)
{
	int c = strcmp(a->service, b->service);

	return c != 0 ? c : strcmp(a->name, b->name);
}

msec
metrics_bound(unsigned int i)
{
	return metrics_bounds[i];
}

void
metrics_observe(struct metrics_histogram *h, msec value)
{
	unsigned int i = 0;

	while (i < METRICS_BUCKETS && value > metrics_bounds[i])
		i++;
	h->counts[i]++;
	h->sum += (uint64_t)MAX(value, 0);
	h->count++;
}

void
metrics_init(struct metrics *m)
{
	memset(m, 0, sizeof *m);
	RB_INIT(&m->classes);
}

void
metrics_finish(struct metrics *m)
{
	struct metrics_class *c, *next;

	RB_FOREACH_SAFE (c, metrics_tree, &m->classes, next) {
		RB_REMOVE(metrics_tree, &m->classes, c);
		g_free(c);
	}
}

struct metrics_class *
metrics_class_get(struct metrics *m, const char *service, const char *name)
{
	struct metrics_class key = { 0 }, *c;

	g_strlcpy(key.service, service, sizeof key.service);
	g_strlcpy(key.name, name, sizeof key.name);
	if ((c = RB_FIND(metrics_tree, &m->classes, &key)) != NULL)
		return c;
	c = g_memdup2(&key, sizeof key);
	RB_INSERT(metrics_tree, &m->classes, c);
	return c;
}

/* Counts a value as within or beyond its target; returns true if there is no
 * target or it is met. */
static bool
metrics_count_target(
    struct metrics_class *c, enum metrics_target which, msec value, msec target)
{
	if (target == 0)
		return true;
	if (value <= target) {
		c->met[which]++;
		return true;
	}
	c->missed[which]++;
	return false;
}

/* Counts a complete answer: its times, its tokens and the targets it met. */
static void
metrics_count_complete(struct metrics_class *c, const struct doc_class *dc,
    const struct metrics_sample *s)
{
	msec first = (s->first != 0 ? s->first : s->ended) - s->arrived;
	msec whole = s->ended - s->arrived, between = 0;
	bool good;

	metrics_observe(&c->first_token, first);
	metrics_observe(&c->whole, whole);
	if (s->tokens > 1 && s->first != 0) {
		between = (s->ended - s->first) / (s->tokens - 1);
		metrics_observe(&c->between_tokens, between);
	}
	c->tokens += s->tokens;
	good = metrics_count_target(
	    c, METRICS_FIRST_TOKEN, first, dc->first_token);
	good &= metrics_count_target(
	    c, METRICS_BETWEEN_TOKENS, between, dc->between_tokens);
	good &= metrics_count_target(
	    c, METRICS_WHOLE_ANSWER, whole, dc->whole_answer);
	if (!good)
		return;
	c->attained++;
	c->good_tokens += s->tokens;
}

void
metrics_count_request(struct metrics *m, const char *service,
    const struct doc_class *dc, const struct metrics_sample *s)
{
	struct metrics_class *c = metrics_class_get(m, service, dc->name);

	c->outcomes[s->outcome]++;
	c->codes[s->code]++;
	c->repeated_runs += s->repeats;
	if (s->outcome == REQUEST_RAN)
		metrics_count_complete(c, dc, s);
	else
		c->wasted_tokens += s->tokens;
}

/* ---- text ---- */

const struct metric_info *
metric_info(enum metric which)
{
	return &metric_infos[which];
}

static void
text_add_header(GString *s, enum metric which)
{
	const struct metric_info *i = &metric_infos[which];

	g_string_append_printf(s, "# HELP savory_%s %s\n# TYPE savory_%s %s\n",
	    i->name, i->help, i->name, i->type);
}

/* One sample of a class; the extra labels each begin with a comma. */
static void
text_add_sample(GString *s, enum metric which, const struct metrics_class *c,
    const char *labels, uint64_t value)
{
	g_string_append_printf(s,
	    "savory_%s{service=\"%s\",class=\"%s\"%s} %" PRIu64 "\n",
	    metric_infos[which].name, c->service, c->name, labels, value);
}

static void
text_add_histogram(GString *s, enum metric which, const struct metrics_class *c,
    const struct metrics_histogram *h)
{
	const char *name = metric_infos[which].name;
	uint64_t sum = 0;
	unsigned int i;

	for (i = 0; i < METRICS_BUCKETS; i++) {
		sum += h->counts[i];
		g_string_append_printf(s,
		    "savory_%s_bucket{service=\"%s\",class=\"%s\","
		    "le=\"%" PRId64 "\"} %" PRIu64 "\n",
		    name, c->service, c->name, metrics_bounds[i], sum);
	}
	g_string_append_printf(s,
	    "savory_%s_bucket{service=\"%s\",class=\"%s\",le=\"+Inf\"} %" PRIu64
	    "\n"
	    "savory_%s_sum{service=\"%s\",class=\"%s\"} %" PRIu64 "\n"
	    "savory_%s_count{service=\"%s\",class=\"%s\"} %" PRIu64 "\n",
	    name, c->service, c->name, h->count, name, c->service, c->name,
	    h->sum, name, c->service, c->name, h->count);
}

static void
text_add_outcomes(GString *s, const struct metrics_class *c)
{
	char labels[64];
	unsigned int i;

	for (i = 0; i <= REQUEST_UNKNOWN; i++) {
		g_snprintf(labels, sizeof labels, ",outcome=\"%s\"",
		    request_outcome_name(i));
		text_add_sample(s, METRIC_REQUESTS, c, labels, c->outcomes[i]);
	}
}

static void
text_add_codes(GString *s, const struct metrics_class *c)
{
	char labels[64];
	unsigned int i;

	for (i = 0; i <= REQUEST_CODE_CALLER_GONE; i++) {
		if (c->codes[i] == 0)
			continue;
		g_snprintf(labels, sizeof labels, ",code=\"%s\"",
		    request_code_name(i));
		text_add_sample(s, METRIC_ENDINGS, c, labels, c->codes[i]);
	}
}

static void
text_add_targets(GString *s, const struct metrics_class *c)
{
	char labels[64];
	unsigned int i;

	for (i = 0; i < METRICS_TARGETS; i++) {
		if (c->met[i] + c->missed[i] == 0)
			continue;
		g_snprintf(labels, sizeof labels,
		    ",target=\"%s\",result=\"met\"", target_names[i]);
		text_add_sample(s, METRIC_TARGET, c, labels, c->met[i]);
		g_snprintf(labels, sizeof labels,
		    ",target=\"%s\",result=\"missed\"", target_names[i]);
		text_add_sample(s, METRIC_TARGET, c, labels, c->missed[i]);
	}
}

/* Appends all samples of one metric of a class. */
static void
text_add_metric(GString *s, enum metric which, const struct metrics_class *c)
{
	switch (which) {
	case METRIC_REQUESTS:
		text_add_outcomes(s, c);
		break;
	case METRIC_ENDINGS:
		text_add_codes(s, c);
		break;
	case METRIC_TARGET:
		text_add_targets(s, c);
		break;
	case METRIC_ATTAINED:
		text_add_sample(s, which, c, "", c->attained);
		break;
	case METRIC_FIRST_TOKEN:
		text_add_histogram(s, which, c, &c->first_token);
		break;
	case METRIC_BETWEEN_TOKENS:
		text_add_histogram(s, which, c, &c->between_tokens);
		break;
	case METRIC_WHOLE:
		text_add_histogram(s, which, c, &c->whole);
		break;
	case METRIC_TOKENS:
		text_add_sample(s, which, c, "", c->tokens);
		break;
	case METRIC_GOOD_TOKENS:
		text_add_sample(s, which, c, "", c->good_tokens);
		break;
	case METRIC_CLASS_WASTED_TOKENS:
		text_add_sample(s, which, c, "", c->wasted_tokens);
		break;
	case METRIC_CLASS_REPEATED_RUNS:
		text_add_sample(s, which, c, "", c->repeated_runs);
		break;
	default:
		break;
	}
}

void
metrics_text_classes(GString *s, struct metrics *m)
{
	struct metrics_class *c;
	enum metric which;
	unsigned int i;

	for (which = METRIC_REQUESTS; which < METRIC_APPENDS; which++) {
		text_add_header(s, which);
		RB_FOREACH (c, metrics_tree, &m->classes)
			text_add_metric(s, which, c);
	}
	text_add_header(s, METRIC_APPENDS);
	for (i = 0; i < METRICS_APPENDS; i++)
		g_string_append_printf(s,
		    "savory_%s{cause=\"%s\"} %" PRIu64 "\n",
		    metric_infos[METRIC_APPENDS].name, append_names[i],
		    m->appends[i]);
}

void
metrics_text_count(GString *s, enum metric which, uint64_t value)
{
	text_add_header(s, which);
	g_string_append_printf(
	    s, "savory_%s %" PRIu64 "\n", metric_infos[which].name, value);
}

void
metrics_text_seconds(GString *s, enum metric which, double seconds)
{
	text_add_header(s, which);
	g_string_append_printf(
	    s, "savory_%s %.6f\n", metric_infos[which].name, seconds);
}
