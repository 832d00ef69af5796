/*
 * Serves the metrics of an entry VM in the Prometheus text format (/metrics)
 * and its state as text (/dump) on the metrics address. docs/OPERATIONS.md
 * describes each metric.
 */

#define LOG_PART "metrics"
#include "entry.h"

#include <inttypes.h>
#include <string.h>

static void metrics_answer_request(struct caller *, msec);
static void metrics_ignore(struct caller *, msec);

const struct caller_ops metrics_caller_ops = { metrics_answer_request,
	metrics_ignore, metrics_ignore, "metrics" };

int
entry_route_stats_compare(
    struct entry_route_stats *a, struct entry_route_stats *b)
{
	return strcmp(a->route, b->route);
}

RB_GENERATE(
    entry_route_stats_tree, entry_route_stats, entry, entry_route_stats_compare)

struct entry_route_stats *
entry_route_stats_find(struct entry *e, const char *route)
{
	struct entry_route_stats find;

	name_fit(find.route, sizeof find.route, route);
	return RB_FIND(entry_route_stats_tree, &e->route_stats, &find);
}

void
entry_count(struct entry *e, const struct job *j, enum job_code code, msec now)
{
	struct entry_route_stats *k;

	e->counters.codes[code]++;
	if (j->route == NULL)
		return;
	if ((k = entry_route_stats_find(e, j->route->name)) == NULL) {
		if (e->nroute_stats == ENTRY_ROUTE_STATS_MAX)
			return;
		e->nroute_stats++;
		k = g_new0(struct entry_route_stats, 1);
		name_fit(k->route, sizeof k->route, j->route->name);
		RB_INSERT(entry_route_stats_tree, &e->route_stats, k);
	}
	k->codes[code]++;
	if (j->first_at != 0)
		metrics_observe(&k->first, j->first_at - j->arrived);
	if (code == JOB_SERVED)
		metrics_observe(&k->complete, now - j->arrived);
	if (code == JOB_SERVED)
		duration_add(&k->total_time, now - j->arrived);
	else if ((code == JOB_TIMEOUT && j->may_have_run) ||
		 (code == JOB_CALLER_GONE && j->sends > 0))
		duration_add_lower_bound(&k->total_time, now - j->arrived);
	if (j->gap > 0)
		metrics_observe(&k->gap, j->gap);
}

void
entry_route_stats_free(struct entry *e)
{
	struct entry_route_stats *k;

	while ((k = RB_MIN(entry_route_stats_tree, &e->route_stats)) != NULL) {
		RB_REMOVE(entry_route_stats_tree, &e->route_stats, k);
		g_free(k);
	}
}

/* ---- text exposition ---- */

static void
text_head(GString *s, const char *name, const char *type, const char *help)
{
	g_string_append_printf(s,
	    "# HELP savory_entry_%s %s\n# TYPE savory_entry_%s %s\n", name,
	    help, name, type);
}

void
metrics_value(GString *s, const char *name, const char *type, const char *help,
    int64_t value)
{
	text_head(s, name, type, help);
	g_string_append_printf(s, "savory_entry_%s %" PRId64 "\n", name, value);
}

static void
text_codes(GString *s, struct entry *e)
{
	struct entry_route_stats *k;
	unsigned int i;

	text_head(s, "requests_total", "counter", "Requests by route and end.");
	RB_FOREACH (k, entry_route_stats_tree, &e->route_stats) {
		for (i = 0; i < JOB_CODES; i++) {
			if (k->codes[i] == 0)
				continue;
			g_string_append_printf(s,
			    "savory_entry_requests_total{route=\"%s\","
			    "end=\"%s\"} %" PRIu64 "\n",
			    k->route, job_code_name(i), k->codes[i]);
		}
	}
	text_head(s, "ends_total", "counter", "Requests by end, all routes.");
	for (i = 0; i < JOB_CODES; i++)
		g_string_append_printf(s,
		    "savory_entry_ends_total{end=\"%s\"} %" PRIu64 "\n",
		    job_code_name(i), e->counters.codes[i]);
}

static void
text_buckets(GString *s, const char *name, const struct entry_route_stats *k,
    const struct metrics_histogram *h)
{
	uint64_t sum = 0;
	unsigned int i;

	for (i = 0; i < METRICS_BUCKETS; i++) {
		sum += h->counts[i];
		g_string_append_printf(s,
		    "savory_entry_%s_bucket{route=\"%s\",le=\"%" PRId64
		    "\"} %" PRIu64 "\n",
		    name, k->route, metrics_bound(i), sum);
	}
	g_string_append_printf(s,
	    "savory_entry_%s_bucket{route=\"%s\",le=\"+Inf\"} %" PRIu64 "\n"
	    "savory_entry_%s_sum{route=\"%s\"} %" PRIu64 "\n"
	    "savory_entry_%s_count{route=\"%s\"} %" PRIu64 "\n",
	    name, k->route, h->count, name, k->route, h->sum, name, k->route,
	    h->count);
}

static void
text_histograms(GString *s, struct entry *e)
{
	struct entry_route_stats *k;

	text_head(s, "first_ms", "histogram", "Arrival to first byte.");
	RB_FOREACH (k, entry_route_stats_tree, &e->route_stats)
		text_buckets(s, "first_ms", k, &k->first);
	text_head(s, "whole_ms", "histogram", "Arrival to the whole answer.");
	RB_FOREACH (k, entry_route_stats_tree, &e->route_stats)
		text_buckets(s, "whole_ms", k, &k->complete);
	text_head(s, "gap_ms", "histogram", "Longest pause in a stream.");
	RB_FOREACH (k, entry_route_stats_tree, &e->route_stats)
		text_buckets(s, "gap_ms", k, &k->gap);
}

static void
text_servers(GString *s, struct entry *e)
{
	unsigned int n[3] = { 0 }, resting = 0, rated = 0, brittle = 0;
	struct server *v;

	RB_FOREACH (v, server_tree, &e->servers.tree) {
		n[v->state]++;
		resting += v->resting_until > e->loop.now;
		rated += v->rate.per_s > 0;
		brittle += server_is_brittle(&v->room, e->loop.now);
	}
	text_head(s, "servers", "gauge", "Backend servers by state.");
	g_string_append_printf(s,
	    "savory_entry_servers{state=\"ready\"} %u\n"
	    "savory_entry_servers{state=\"draining\"} %u\n"
	    "savory_entry_servers{state=\"gone\"} %u\n",
	    n[SERVER_READY], n[SERVER_DRAINING], n[SERVER_GONE]);
	metrics_value(s, "servers_rated", "gauge",
	    "Backend servers that name the rate of requests they take.", rated);
	metrics_value(s, "servers_brittle", "gauge",
	    "Backend servers that say that they are brittle.", brittle);
	metrics_value(s, "servers_resting", "gauge",
	    "Backend servers that get less after failures.", resting);
}

static void
text_bytes(GString *s, struct entry *e)
{
	static const char *domains[NET_DOMAINS] = { "own", "other" };
	unsigned int i, k;

	text_head(s, "net_bytes_out_total", "counter",
	    "Bytes to other nodes, by subject and failure domain.");
	for (i = 0; i < NET_SUBJECTS; i++) {
		for (k = 0; k < NET_DOMAINS; k++)
			g_string_append_printf(s,
			    "savory_entry_net_bytes_out_total{subject=\"%s\","
			    "domain=\"%s\"} %" PRIu64 "\n",
			    net_subject_name(i), domains[k],
			    e->net.counters.bytes_out_by[i][k]);
	}
	text_head(s, "server_bytes_total", "counter",
	    "Bytes of requests and answers on connections to backend servers, "
	    "by failure domain.");
	for (k = 0; k < NET_DOMAINS; k++)
		g_string_append_printf(s,
		    "savory_entry_server_bytes_total{part=\"requests\","
		    "domain=\"%s\"} %" PRIu64 "\n"
		    "savory_entry_server_bytes_total{part=\"answers\","
		    "domain=\"%s\"} %" PRIu64 "\n",
		    domains[k], e->counters.request_bytes[k], domains[k],
		    e->counters.answer_bytes[k]);
}

/* Returns the name of a service, or "?" if the configuration has none. */
static const char *
service_name(const struct entry *e, name_id service)
{
	const struct route_service *v =
	    e->table != NULL ? route_service_find(e->table, service) : NULL;

	return v != NULL ? v->name : "?";
}

static void
text_budgets(GString *s, struct entry *e, msec now)
{
	struct retry_budget *b;

	text_head(s, "retries_left", "gauge", "What the share allows now.");
	RB_FOREACH (b, retry_budgets, &e->budgets) {
		g_string_append_printf(s,
		    "savory_entry_retries_left{service=\"%s\"} %u\n",
		    service_name(e, b->service),
		    retry_budget_left(b, &e->budget, now, e->live_nodes));
	}
}

static void
text_limits(GString *s, struct entry *e)
{
	struct mix *m;

	text_head(s, "limit_percent", "gauge",
	    "Part of the target that may lie ahead of the last tier, as "
	    "learned here as coordinator.");
	RB_FOREACH (m, place_mixes, &e->place.all) {
		if (m->nroutes == 0)
			continue;
		g_string_append_printf(s,
		    "savory_entry_limit_percent{service=\"%s\","
		    "servers=\"quiet\"} %u\n"
		    "savory_entry_limit_percent{service=\"%s\","
		    "servers=\"others\"} %u\n",
		    service_name(e, m->service),
		    server_limit_percent(&m->limit_light),
		    service_name(e, m->service),
		    server_limit_percent(&m->limit));
	}
}

static void
text_state(GString *s, struct entry *e, msec now)
{
	msec age = fresh_age(&e->fresh, now);

	metrics_value(s, "ready", "gauge", "Callers may be sent here.",
	    entry_is_ready(e, now));
	metrics_value(s, "configuration_version", "gauge", "In force.",
	    e->table != NULL ? (int64_t)e->table->version : 0);
	metrics_value(s, "proof_age_ms", "gauge",
	    "Age of the proof that it is the newest; -1: none.",
	    age == MSEC_NEVER ? -1 : age);
	metrics_value(
	    s, "platform_up", "gauge", "The platform answers.", e->source_up);
	metrics_value(s, "platform_outage", "gauge",
	    "The platform serves no node, as far as this one knows.",
	    e->outage.is_on);
	metrics_value(s, "servers_kept", "gauge",
	    "Servers in use though they are not listed any more.",
	    e->servers.nmissing);
	metrics_value(
	    s, "nodes", "gauge", "Live nodes, with this one.", e->live_nodes);
	metrics_value(s, "requests_open", "gauge", "In flight.", e->njobs);
	metrics_value(
	    s, "callers", "gauge", "Connections of callers.", e->ncallers);
}

static void
text_callers(GString *s, struct entry *e)
{
	const struct entry_counters *c = &e->counters;

	metrics_value(s, "callers_idle_closed_total", "counter",
	    "Connections of callers that were idle for too long.",
	    (int64_t)c->idle_closed);
	metrics_value(s, "callers_discarded_total", "counter",
	    "Connections of callers closed with bytes that got no answer.",
	    (int64_t)c->discarded);
}

/* What other nodes are asked and tell. */
static void
text_nodes_counters(GString *s, const struct entry *e)
{
	const struct relay_counters *r = &e->relay.counters;

	metrics_value(s, "relay_asked_total", "counter",
	    "Other nodes asked what they know.", (int64_t)r->asked);
	metrics_value(s, "relay_told_total", "counter",
	    "Answers and news from other nodes.", (int64_t)r->told);
	metrics_value(s, "relay_proofs_total", "counter",
	    "Of these, proofs that what is in force here is the newest.",
	    (int64_t)r->proofs);
	metrics_value(s, "configurations_handed_total", "counter",
	    "Taken up from another node, as the platform turned us away.",
	    (int64_t)e->table_transfer.taken);
	metrics_value(s, "configurations_handed_dropped_total", "counter",
	    "Not asked for, or not to be understood.",
	    (int64_t)e->table_transfer.dropped);
	metrics_value(s, "list_parts_total", "counter",
	    "Parts of the list of servers taken from other nodes.",
	    (int64_t)e->list.parts);
	metrics_value(s, "list_parts_dropped_total", "counter",
	    "Not asked for, not newer, or not to be understood.",
	    (int64_t)e->list.dropped);
	metrics_value(s, "relay_news_total", "counter",
	    "Changes read here that others were told of.", (int64_t)r->news);
}

static void
text_counters(GString *s, struct entry *e)
{
	const struct entry_counters *c = &e->counters;
	const struct place_counters *p = &e->place.counters;

	metrics_value(s, "attempts_total", "counter", "Sent to servers.",
	    (int64_t)c->attempts);
	metrics_value(s, "rests_total", "counter",
	    "Times that a server asked for no requests.", (int64_t)c->rests);
	metrics_value(s, "servers_leaving_total", "counter",
	    "Servers whose answers said that they leave.",
	    (int64_t)c->servers_leaving);
	metrics_value(s, "retries_total", "counter", "Beyond the first.",
	    (int64_t)c->retries);
	metrics_value(s, "connects_total", "counter", "New connections.",
	    (int64_t)c->connects);
	metrics_value(s, "reused_total", "counter", "Kept connections used.",
	    (int64_t)c->reused);
	metrics_value(s, "kept_unproved_total", "counter",
	    "Kept connections that did not confirm a request's first bytes.",
	    (int64_t)c->proofs_failed);
	metrics_value(s, "signs_asked_total", "counter",
	    "Servers asked for a sign of life before a request.",
	    (int64_t)c->signs_asked);
	metrics_value(s, "given_up_taken_total", "counter",
	    "Attempts given up that the server's host had taken.",
	    (int64_t)c->given_up_taken);
	metrics_value(s, "given_up_held_total", "counter",
	    "Attempts given up with bytes that no host had acknowledged.",
	    (int64_t)c->given_up_held);
	metrics_value(s, "streams_broken_off_total", "counter",
	    "Streams that were complete by their framing alone.",
	    (int64_t)c->streams_broken);
	metrics_value(s, "strays_total", "counter", "Answers to nobody.",
	    (int64_t)c->strays);
	metrics_value(s, "server_rates_total", "counter",
	    "Rates that servers named, changed or took back.",
	    (int64_t)c->rates);
	metrics_value(s, "server_rates_unreadable_total", "counter",
	    "Answers with a rate that cannot be read.",
	    (int64_t)c->rates_unreadable);
	metrics_value(s, "configurations_total", "counter", "Taken up.",
	    (int64_t)c->tables);
	metrics_value(s, "placements_asked_total", "counter",
	    "Coordinators asked.", (int64_t)p->asked);
	metrics_value(s, "placements_alone_total", "counter",
	    "Placed without a coordinator's answer.", (int64_t)p->alone);
	metrics_value(s, "placements_alone_away_total", "counter",
	    "Of these, turned away as coordinators had done a moment before.",
	    (int64_t)p->alone_refused);
	metrics_value(s, "placements_made_total", "counter",
	    "Placed here as coordinator.", (int64_t)p->coordinated);
	metrics_value(s, "placements_returned_total", "counter",
	    "Admitted here as coordinator after an earlier refusal.",
	    (int64_t)p->returned);
	metrics_value(s, "placements_share_refused_total", "counter",
	    "Refused here as coordinator by their organisations' shares only.",
	    (int64_t)p->share_refused);
	metrics_value(s, "placements_share_admitted_total", "counter",
	    "Admitted here as coordinator by their organisations' shares only.",
	    (int64_t)p->share_admitted);
	metrics_value(s, "prompt_tokens_total", "counter",
	    "Prompt tokens of requests placed here as coordinator.",
	    (int64_t)p->tokens);
	metrics_value(s, "prompt_tokens_kept_total", "counter",
	    "Of these, thought to be kept by the server.",
	    (int64_t)p->tokens_kept);
	metrics_value(s, "placements_gap_missed_total", "counter",
	    "Streams placed where their pauses will probably be too long.",
	    (int64_t)p->gaps_missed);
	metrics_value(s, "prompt_fetches_total", "counter",
	    "Requests for which a server was to fetch a cached prompt.",
	    (int64_t)p->fetches);
	metrics_value(s, "prompt_tokens_fetched_total", "counter",
	    "Prompt tokens that servers were to fetch from others.",
	    (int64_t)p->tokens_fetched);
	metrics_value(
	    s, "log_lines_total", "counter", "Written.", (int64_t)e->log.lines);
	metrics_value(s, "log_dropped_total", "counter", "Left out.",
	    (int64_t)e->log.dropped);
}

static void
metrics_text(GString *s, struct entry *e, msec now)
{
	text_state(s, e, now);
	text_codes(s, e);
	text_histograms(s, e);
	text_servers(s, e);
	text_budgets(s, e, now);
	text_limits(s, e);
	text_callers(s, e);
	text_counters(s, e);
	text_nodes_counters(s, e);
	text_bytes(s, e);
	e->source->ops->metrics(e->source, s);
	entry_era_metrics(e, s, now);
	entry_poison_metrics(e, s);
	entry_reach_metrics(e, s);
	entry_handoff_metrics(e, s);
	entry_versions_metrics(e, s);
	entry_version_store_metrics(e, s);
	entry_poison_store_metrics(e, s);
	entry_moves_metrics(e, s);
	entry_memory_metrics(e, s);
	entry_duty_metrics(e, s);
}

/* ---- the dump ---- */

static void
dump_servers(GString *s, struct entry *e, msec now)
{
	static const char *const states[] = { "ready", "draining", "gone" };
	struct server *v;

	RB_FOREACH (v, server_tree, &e->servers.tree)
		g_string_append_printf(s,
		    "server %s domain %s state %s slots %u running %u "
		    "unread %" PRIu64 " all-running %u all-unread %" PRIu64
		    " failures %u rests-ms %" PRId64 " links %u rate %.3f\n",
		    v->name, v->domain, states[v->state], v->slots,
		    v->own.running, v->own.unread, v->all.running,
		    v->all.unread, v->failures, MAX(v->resting_until - now, 0),
		    v->links, v->rate.per_s);
}

/*
 * How long requests of each route last; a leaving node accepts only requests
 * that are expected to end before its stop deadline.
 */
static void
dump_kinds(GString *s, struct entry *e)
{
	struct entry_route_stats *k;

	RB_FOREACH (k, entry_route_stats_tree, &e->route_stats)
		g_string_append_printf(s,
		    "route %s lasts-ms %.0f deviation-ms %.0f seen %" PRIu64
		    "\n",
		    k->route, k->total_time.mean, k->total_time.deviation,
		    k->total_time.samples);
}

/* Limits and prompt lengths that this node has learned as coordinator. */
static void
dump_mixes(GString *s, struct entry *e)
{
	struct mix_route *r;
	struct mix *m;
	unsigned int i;

	RB_FOREACH (m, place_mixes, &e->place.all) {
		if (m->nroutes == 0)
			continue;
		g_string_append_printf(s,
		    "limits of %s: quiet servers %u%% learned from %" PRIu64
		    ", others %u%% from %" PRIu64 "\n",
		    service_name(e, m->service),
		    server_limit_percent(&m->limit_light),
		    m->limit_light.adjustments, server_limit_percent(&m->limit),
		    m->limit.adjustments);
		for (i = 0; i < m->nroutes; i++) {
			r = &m->routes[i];
			g_string_append_printf(s,
			    "kind %" PRIx64 " of %s: prompt %.0f light %s "
			    "rank %u running %u\n",
			    r->id, service_name(e, m->service),
			    r->prompt_tokens, r->light ? "yes" : "no", r->rank,
			    r->running);
		}
	}
}

static void
dump_jobs(GString *s, struct entry *e, msec now)
{
	struct job *j;

	TAILQ_FOREACH (j, &e->jobs, entry)
		g_string_append_printf(s,
		    "request %s route %s server %s age-ms %" PRId64
		    " sends %u began %s\n",
		    j->request.id, j->route != NULL ? j->route->name : "-",
		    *j->server_name != '\0' ? j->server_name : "-",
		    now - j->arrived, j->sends, j->answer_began ? "yes" : "no");
}

static void
metrics_dump(GString *s, struct entry *e, msec now)
{
	static const char *const phases[] = { "starting", "serving",
		"leaving" };
	g_autofree char *members = members_dump(&e->members, now);

	g_string_append_printf(s,
	    "node %s domain %s phase %s ready %s configuration %" PRIu64
	    " proof-ms %" PRId64 "\n",
	    e->settings->node, e->settings->domain, phases[e->phase],
	    entry_is_ready(e, now) ? "yes" : "no",
	    e->table != NULL ? e->table->version : 0,
	    e->fresh.proof_at == MSEC_NEVER ? -1 : now - e->fresh.proof_at);
	entry_era_dump(e, s, now);
	dump_servers(s, e, now);
	dump_kinds(s, e);
	dump_mixes(s, e);
	dump_jobs(s, e, now);
	entry_duty_dump(e, s, now);
	entry_poison_dump(e, s, now);
	entry_reach_dump(e, s, now);
	g_string_append(s, members);
}

static void
metrics_ignore(struct caller *c, msec now)
{
}

static void
metrics_answer_request(struct caller *c, msec now)
{
	g_autoptr(GString) s = g_string_new(NULL);
	const char *target = c->reader.head->target;
	unsigned int status = 200;

	if (strcmp(target, "/metrics") == 0)
		metrics_text(s, c->owner, now);
	else if (strcmp(target, "/dump") == 0)
		metrics_dump(s, c->owner, now);
	else
		status = 404;
	caller_answer(c, now, status, "", "text/plain", s->str, true);
}
