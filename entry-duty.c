/*
 * Runs the usage and capacity duties on this node; see entry-duty.h.
 */

#define LOG_PART "duty"
#include "entry-duty-private.h"

#include <inttypes.h>
#include <string.h>

#define DUTY_TIMER_MS 100
/* Interval at which coordinators report demand to the duty's holder. */
#define DUTY_DEMAND_INTERVAL_MS 1000
/*
 * The counts of a window become final once all processes have reported theirs,
 * but not earlier than the minimum after the end of the window, and at the
 * latest after the maximum: counts missing by then belong to nodes that are
 * gone.
 */
#define DUTY_FINALIZE_MIN_MS 400
#define DUTY_FINALIZE_MAX_MS 3000
/* Delay before a failed report is retried. */
#define DUTY_REPORT_RETRY_MS 700
/*
 * Notes up to this size go with every renewal; larger ones with fewer renewals,
 * in proportion to their size.
 */
#define DUTY_NOTES_BYTES_PER_RENEWAL 8192
/* Longest time a leaving node waits for its pending calls. */
#define DUTY_LEAVE_MAX_MS 1000

static struct entry *
entry_of(const struct duty *d)
{
	return d->arg;
}

/* ---- operations of duty.c, usage.c and capacity.c ---- */

static void
duty_op_append(struct duty *d, uint64_t at, bool claim)
{
	struct entry *e = entry_of(d);
	struct entry_duty *x = e->duty;
	char *notes = NULL;
	size_t every;

	if (!claim && x->notes_loaded && x->renewals_until_notes-- == 0) {
		notes = duty_notes_write(e, msec_now());
		every = strlen(notes) / DUTY_NOTES_BYTES_PER_RENEWAL;
		x->renewals_until_notes = (unsigned int)every;
	}
	e->source->ops->duty_append(e->source, at, claim, notes);
	free(notes);
}

static void
duty_request_lookup(struct entry *e)
{
	struct entry_duty *x = e->duty;

	if (x->lookup_pending)
		return;
	x->lookup_pending = true;
	e->source->ops->duty_look(e->source);
}

static void
duty_op_look(struct duty *d)
{
	struct entry *e = entry_of(d);

	e->duty->core_waits_for_lookup = true;
	duty_request_lookup(e);
}

static void
duty_send_to_node(struct entry *e, name_id node, const sp_msg *msg)
{
	struct member *m = members_find(&e->members, node);

	if (m != NULL)
		net_send(&e->net, m->address, m->peer_port, msg);
}

static void
duty_op_send(struct duty *d, name_id node, const sp_msg *msg)
{
	duty_send_to_node(entry_of(d), node, msg);
}

/*
 * Discards the saved state: another node may hold the duty from now on and
 * change it.
 */
static void
duty_discard_state(struct entry_duty *x, msec now)
{
	g_clear_pointer(&x->needed_before_rewind, json_decref);
	duty_windows_clear(x);
	capacity_set_holder(&x->capacity, now, false);
}

/*
 * The log was restored from an older copy while this node's lease is still
 * valid. No other node can have held the duty in between, so the number of
 * servers needed is kept for the claim in the new era.
 */
static void
duty_keep_needed(struct entry *e, msec now)
{
	struct entry_duty *x = e->duty;
	unsigned int i;

	g_clear_pointer(&x->needed_before_rewind, json_decref);
	x->needed_before_rewind = duty_notes_capacity(&x->capacity);
	capacity_set_holder(&x->capacity, now, false);
	/* The records of these windows may be lost with the old era. */
	for (i = 0; i < x->usage.nwindows; i++)
		x->windows[i].saved = x->windows[i].in_pending_append = false;
}

/* The claim in the new era succeeded: continues with the state kept. */
static void
duty_resume(struct entry *e, msec now)
{
	struct entry_duty *x = e->duty;

	x->notes_loaded = true;
	capacity_set_holder(&x->capacity, now, e->settings->order_servers);
	duty_notes_read_capacity(&x->capacity, x->needed_before_rewind);
	g_clear_pointer(&x->needed_before_rewind, json_decref);
	duty_renew_now(&x->duty, now);
}

static void
duty_op_changed(struct duty *d, msec now, bool holds)
{
	struct entry *e = entry_of(d);
	struct entry_duty *x = e->duty;

	x->notes_loaded = false;
	x->renewals_until_notes = 0;
	if (holds && d->continues && x->needed_before_rewind != NULL)
		duty_resume(e, now);
	else if (!holds && duty_may_reclaim(d, now))
		duty_keep_needed(e, now);
	else
		duty_discard_state(x, now);
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_DUTY,
	    LOG_TEXT(LOG_KEY_STATE, holds ? "held" : "not held"),
	    LOG_NUMBER(LOG_KEY_TOKEN, d->token),
	    LOG_NUMBER(LOG_KEY_MS, d->counters.ms_without_holder));
}

static const struct duty_ops entry_duty_ops = { duty_op_append, duty_op_look,
	duty_op_send, duty_op_changed };

static void
usage_op_send(struct usage *u, name_id node, const sp_msg *msg)
{
	struct entry *e = u->arg;

	if (node == e->members.self.id)
		usage_receive(u, e->loop.now, node, e->incarnation, msg);
	else
		duty_send_to_node(e, node, msg);
}

static const struct usage_ops entry_usage_ops = { usage_op_send };

static void
capacity_op_order(struct capacity *c, const struct capacity_service *s,
    unsigned int domain, enum capacity_kind kind, unsigned int count)
{
	struct entry *e = c->arg;
	struct entry_duty *x = e->duty;
	struct server_order order = {
		.domain_index = domain, .kind = kind, .count = count
	};

	g_strlcpy(order.service, s->config.name, sizeof order.service);
	g_strlcpy(
	    order.domain, s->config.domains[domain].name, sizeof order.domain);
	x->orders_pending++;
	if (!e->source->ops->order_servers(e->source, &order)) {
		entry_duty_servers_ordered(
		    e, &order, DUTY_CALL_FAILED, e->loop.now);
		return;
	}
	entry_log(&e->log, e->loop.now, ENTRY_LOG_NEEDED, LOG_EVENT_ORDER,
	    LOG_TEXT(LOG_KEY_SERVICE, order.service),
	    LOG_TEXT(LOG_KEY_DOMAIN, order.domain),
	    LOG_TEXT(LOG_KEY_KIND,
		kind == CAPACITY_LASTING ? "lasting" : "reclaimable"),
	    LOG_NUMBER(LOG_KEY_COUNT, count),
	    LOG_NUMBER(LOG_KEY_READY, s->domains[domain].kinds[kind].ready),
	    LOG_NUMBER(LOG_KEY_NEEDED, s->needed),
	    LOG_NUMBER(LOG_KEY_TOKENS_PER_MS, (int64_t)s->tokens_per_ms),
	    LOG_NUMBER(LOG_KEY_RUNNING, (int64_t)s->running),
	    LOG_NUMBER(LOG_KEY_TOKEN, x->duty.token));
}

static void
capacity_op_taken_back(struct capacity *c, const struct capacity_service *s,
    unsigned int domain, unsigned int lost)
{
	struct entry *e = c->arg;

	entry_log(&e->log, e->loop.now, ENTRY_LOG_NEEDED, LOG_EVENT_TAKEN_BACK,
	    LOG_TEXT(LOG_KEY_SERVICE, s->config.name),
	    LOG_TEXT(LOG_KEY_DOMAIN, s->config.domains[domain].name),
	    LOG_NUMBER(LOG_KEY_COUNT, lost),
	    LOG_NUMBER(LOG_KEY_READY,
		s->domains[domain].kinds[CAPACITY_RECLAIMABLE].ready),
	    LOG_NUMBER(LOG_KEY_NEEDED, s->needed),
	    LOG_NUMBER(LOG_KEY_TOKENS_PER_MS, (int64_t)s->tokens_per_ms),
	    LOG_NUMBER(LOG_KEY_RUNNING, (int64_t)s->running));
}

static const struct capacity_ops entry_capacity_ops = { capacity_op_order,
	capacity_op_taken_back };

/* ---- results of calls by the source ---- */

void
entry_duty_appended(
    struct entry *e, enum duty_result how, uint64_t at, uint64_t end, msec now)
{
	struct entry_duty *x = e->duty;
	unsigned int i;

	for (i = 0; i < x->usage.nwindows; i++) {
		x->windows[i].saved =
		    x->windows[i].saved ||
		    (x->windows[i].in_pending_append && how == DUTY_ACCEPTED);
		x->windows[i].in_pending_append = false;
	}
	duty_appended(&x->duty, now, how, at, end);
}

void
entry_duty_claim_found(struct entry *e, bool ok, uint64_t claim, uint64_t end,
    const char *notes, msec now)
{
	struct entry_duty *x = e->duty;
	bool core = x->core_waits_for_lookup;

	x->lookup_pending = x->core_waits_for_lookup = false;
	if (core)
		duty_claim_found(&x->duty, now, ok, claim, end);
	/* The newest claim may be another node's. */
	if (!ok || x->notes_loaded || !duty_is_claim(&x->duty, claim))
		return;
	x->notes_loaded = true;
	capacity_set_holder(&x->capacity, now, e->settings->order_servers);
	duty_notes_read(e, notes, now);
}

void
entry_duty_usage_reported(struct entry *e, enum duty_call_result how, msec now)
{
	struct entry_duty *x = e->duty;
	struct duty_window *w = duty_window_slot(x, x->report_window);

	x->report_pending = false;
	x->next_report =
	    now + (how == DUTY_CALL_DONE ? 0 : DUTY_REPORT_RETRY_MS);
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_USAGE,
	    LOG_NUMBER(LOG_KEY_WINDOW, x->report_window),
	    LOG_TEXT(LOG_KEY_OUTCOME, how == DUTY_CALL_DONE	? "taken"
				      : how == DUTY_CALL_FENCED ? "fenced"
								: "no answer"),
	    LOG_NUMBER(LOG_KEY_LEFT_MS,
		duty_window_time_left(e, x->report_window, now)),
	    LOG_NUMBER(LOG_KEY_TOKEN, x->duty.token));
	if (how == DUTY_CALL_FENCED) {
		x->fenced++;
		duty_token_refused(&x->duty, now);
		return;
	}
	if (!w->used || w->number != x->report_window)
		return;
	if (how == DUTY_CALL_DONE) {
		x->reports++;
		w->done = true;
	} else {
		x->repeated++;
	}
}

void
entry_duty_servers_ordered(struct entry *e, const struct server_order *o,
    enum duty_call_result how, msec now)
{
	static const enum capacity_result results[] = {
		[DUTY_CALL_DONE] = CAPACITY_ACCEPTED,
		[DUTY_CALL_FENCED] = CAPACITY_NO_ANSWER,
		[DUTY_CALL_NONE_LEFT] = CAPACITY_UNAVAILABLE,
		[DUTY_CALL_FAILED] = CAPACITY_NO_ANSWER,
	};
	struct entry_duty *x = e->duty;

	x->orders_pending--;
	x->orders_taken += how == DUTY_CALL_DONE;
	x->orders_none += how == DUTY_CALL_NONE_LEFT;
	x->orders_failed += how == DUTY_CALL_FAILED;
	if (how != DUTY_CALL_DONE)
		entry_log(&e->log, now, ENTRY_LOG_NEEDED,
		    LOG_EVENT_ORDER_FAILED,
		    LOG_TEXT(LOG_KEY_SERVICE, o->service),
		    LOG_TEXT(LOG_KEY_DOMAIN, o->domain),
		    LOG_TEXT(LOG_KEY_REASON,
			how == DUTY_CALL_NONE_LEFT ? "none left"
			: how == DUTY_CALL_FENCED  ? "fenced"
						   : "no answer"),
		    LOG_NUMBER(LOG_KEY_COUNT, o->count));
	capacity_ordered(&x->capacity, now, name_hash(o->service),
	    o->domain_index, o->kind, o->count, results[how]);
	if (how != DUTY_CALL_FENCED)
		return;
	x->fenced++;
	duty_token_refused(&x->duty, now);
}

uint64_t
entry_duty_token(const struct entry *e, msec now)
{
	return duty_token(&e->duty->duty, now);
}

void
entry_duty_set_era(struct entry *e)
{
	if (e->duty != NULL)
		duty_set_era(&e->duty->duty, e->era.number);
}

void
entry_duty_log_rewound(struct entry *e, msec now)
{
	if (e->duty != NULL)
		duty_log_rolled_back(&e->duty->duty, now, e->era.number);
}

/* ---- messages from other nodes, counting, configuration ---- */

void
entry_duty_count_request(struct entry *e, const char *organisation, msec now)
{
	if (e->duty != NULL && organisation != NULL &&
	    e->duty->usage.window > 0)
		usage_began(&e->duty->usage, now, name_hash(organisation));
}

void
entry_duty_receive(struct entry *e, name_id from, uint64_t incarnation,
    const sp_msg *msg, msec now)
{
	struct entry_duty *x = e->duty;

	if (x == NULL)
		return;
	if (members_find(&e->members, from) == NULL) {
		log_debug(
		    "duty message from a node that is not a member dropped");
		x->duty.counters.dropped++;
		return;
	}
	if (msg->kind == SP_DUTY_BEAT)
		duty_receive(&x->duty, now, from, msg);
	else if (msg->kind == SP_DEMAND)
		capacity_receive(&x->capacity, now, from, msg);
	else if (x->usage.window > 0)
		usage_receive(&x->usage, now, from, incarnation, msg);
}

void
entry_duty_take_table(struct entry *e, const struct route_table *t)
{
	struct entry_duty *x = e->duty;
	struct capacity_config *scaling_configs;
	unsigned int i, n = 0;

	if (x == NULL)
		return;
	scaling_configs = g_new(struct capacity_config, MAX(t->nservices, 1));
	for (i = 0; i < t->nservices; i++) {
		if (t->services[i].scaling == NULL)
			continue;
		scaling_configs[n++] = *t->services[i].scaling;
		if (e->settings->order_servers)
			place_set_max_servers(&e->place, t->services[i].id,
			    t->services[i].scaling->maximum *
				t->services[i].scaling->ndomains);
	}
	capacity_set_config(&x->capacity, scaling_configs, n);
	g_free(scaling_configs);
}

/* ---- timer ---- */

/* Updates the candidates of the duty and the processes that count usage. */
static void
duty_push_nodes(struct entry *e)
{
	struct entry_duty *x = e->duty;
	struct duty_node *nodes;
	struct member *m;
	unsigned int n = 0, maximum = 1;

	RB_FOREACH (m, member_tree, &e->members.tree)
		maximum++;
	nodes = g_new(struct duty_node, maximum);
	x->processes = g_renew(struct usage_process, x->processes, maximum);
	nodes[n] = (struct duty_node){ e->members.self.id,
		name_hash(e->members.self.domain), e->phase == ENTRY_SERVING,
		entry_process_age(e->incarnation) };
	x->processes[n++] =
	    (struct usage_process){ e->members.self.id, e->incarnation };
	RB_FOREACH (m, member_tree, &e->members.tree) {
		if (m->state == MEMBER_DEAD)
			continue;
		nodes[n] = (struct duty_node){ m->id, name_hash(m->domain),
			m->state == MEMBER_ALIVE && !m->leaving &&
			    m->load_permille < 1000,
			entry_process_age(m->incarnation) };
		x->processes[n++] =
		    (struct usage_process){ m->id, m->incarnation };
	}
	x->nprocesses = n;
	duty_set_nodes(&x->duty, nodes, n);
	g_free(nodes);
}

/*
 * Sets the nodes that receive usage counts: the holder of the duty and its
 * standbys, so that a new holder already has the counts.
 */
static void
duty_push_keepers(struct entry *e)
{
	struct entry_duty *x = e->duty;
	name_id keepers[DUTY_STANDBYS + 1];
	unsigned int n;

	n = duty_list_candidates(&x->duty, keepers, G_N_ELEMENTS(keepers));
	usage_set_keepers(&x->usage, e->loop.now, keepers, n);
}

static void
duty_send_demand(struct entry *e, msec now)
{
	struct entry_duty *x = e->duty;
	sp_msg msg = { .kind = SP_DEMAND };
	sp_demand *d = &msg.sp_msg_u.demand;
	struct mix *m;

	if (now < x->next_demand || x->duty.holder == 0)
		return;
	x->next_demand = now + DUTY_DEMAND_INTERVAL_MS;
	RB_FOREACH (m, place_mixes, &e->place.all) {
		if (m->requests == 0)
			continue;
		d->service = m->service;
		d->requests = m->requests;
		d->tokens = m->tokens;
		d->urgent_tokens = m->urgent_tokens;
		d->running = mix_running(m);
		if (x->duty.holder == e->members.self.id)
			capacity_receive(
			    &x->capacity, now, e->members.self.id, &msg);
		else
			duty_send_to_node(e, x->duty.holder, &msg);
	}
}

static void
duty_finalize_window(struct entry *e, msec now)
{
	struct entry_duty *x = e->duty;
	uint64_t number;
	bool complete;
	msec ago;

	if (!usage_ended(&x->usage, now, x->processes, x->nprocesses, &number,
		&ago, &complete))
		return;
	if (ago < DUTY_FINALIZE_MIN_MS ||
	    (!complete && ago < DUTY_FINALIZE_MAX_MS))
		return;
	if (duty_window_time_left(e, number, now) <= 0) {
		x->missed++;
		usage_decided(&x->usage, number);
		return;
	}
	duty_window_set(x, number, duty_window_counts(e, number), false, false);
	x->renewals_until_notes = 0;
	duty_renew_now(&x->duty, now);
}

static void
duty_report_window(struct entry *e, msec now)
{
	struct entry_duty *x = e->duty;
	struct duty_window *w, *oldest = NULL;
	unsigned int i;

	for (i = 0; i < x->usage.nwindows; i++) {
		w = &x->windows[i];
		if (!w->used || w->done)
			continue;
		if (duty_window_time_left(e, w->number, now) <= 0) {
			w->done = true;
			x->missed++;
			continue;
		}
		if (w->saved && (oldest == NULL || w->number < oldest->number))
			oldest = w;
	}
	if (oldest == NULL || x->report_pending || now < x->next_report)
		return;
	x->report_pending = true;
	x->report_window = oldest->number;
	e->source->ops->report_usage(e->source, oldest->number, oldest->counts);
}

/* Orders nothing unless the list of servers is up to date. */
static void
duty_order_servers(struct entry *e, msec now)
{
	struct entry_duty *x = e->duty;
	struct server *v;

	if (!e->source_up || !servers_list_is_settled(&e->servers, now))
		return;
	x->capacity.nodes = x->nprocesses;
	capacity_clear_ready(&x->capacity, e->servers.complete);
	RB_FOREACH (v, server_tree, &e->servers.tree) {
		if (v->state == SERVER_READY)
			capacity_add_ready(&x->capacity, v->service, v->domain,
			    v->reclaimable ? CAPACITY_RECLAIMABLE
					   : CAPACITY_LASTING);
	}
	capacity_tick(&x->capacity, now);
}

static void
duty_timer(struct loop_timer *t, msec now)
{
	struct entry *e = t->arg;
	struct entry_duty *x = e->duty;

	loop_timer_set(&e->loop, t, now + DUTY_TIMER_MS);
	if (e->phase == ENTRY_STARTING)
		return;
	if (now >= x->next_node_update) {
		x->next_node_update = now + 5 * DUTY_TIMER_MS;
		duty_push_nodes(e);
	}
	duty_tick(&x->duty, now);
	duty_push_keepers(e);
	if (x->usage.window > 0)
		usage_tick(&x->usage, now, msec_wall());
	duty_send_demand(e, now);
	if (duty_token(&x->duty, now) == 0)
		return;
	if (!x->notes_loaded) {
		duty_request_lookup(e);
		return;
	}
	if (x->usage.window > 0) {
		duty_finalize_window(e, now);
		duty_report_window(e, now);
	}
	duty_order_servers(e, now);
}

bool
entry_duty_leave(struct entry *e, msec now)
{
	struct entry_duty *x = e->duty;

	if (x == NULL)
		return true;
	if (x->leaving_since == 0)
		x->leaving_since = now;
	if ((x->report_pending || x->orders_pending > 0 || x->duty.pending) &&
	    now - x->leaving_since < DUTY_LEAVE_MAX_MS)
		return false;
	duty_leave(&x->duty, now);
	return true;
}

void
entry_duty_init(struct entry *e, msec now)
{
	const struct settings *s = e->settings;
	struct entry_duty *x;

	if (s->duties.port == 0)
		return;
	x = e->duty = g_new0(struct entry_duty, 1);
	duty_init(
	    &x->duty, &entry_duty_ops, name_hash(s->node), s->duty_lease, now);
	x->duty.arg = e;
	usage_init(&x->usage, &entry_usage_ops, s->usage_window,
	    s->usage_lateness, now, msec_wall());
	x->windows = g_new0(struct duty_window, MAX(x->usage.nwindows, 1));
	x->usage.arg = e;
	capacity_init(&x->capacity, &entry_capacity_ops);
	x->capacity.limits = s->capacity;
	x->capacity.arg = e;
	loop_timer_init(&x->timer, duty_timer, e);
	loop_timer_set(&e->loop, &x->timer, now + DUTY_TIMER_MS);
}

void
entry_duty_finish(struct entry *e)
{
	struct entry_duty *x = e->duty;

	if (x == NULL)
		return;
	loop_timer_stop(&e->loop, &x->timer);
	g_clear_pointer(&x->needed_before_rewind, json_decref);
	duty_windows_clear(x);
	duty_finish(&x->duty);
	usage_finish(&x->usage);
	g_free(x->windows);
	capacity_finish(&x->capacity);
	g_free(x->processes);
	g_free(x);
	e->duty = NULL;
}

/* ---- metrics and dump ---- */

static void
metric(GString *s, const char *name, uint64_t n)
{
	g_string_append_printf(s,
	    "# TYPE savory_%s counter\nsavory_%s %" PRIu64 "\n", name, name, n);
}

void
entry_duty_metrics(const struct entry *e, GString *s)
{
	const struct entry_duty *x = e->duty;

	if (x == NULL)
		return;
	g_string_append_printf(s,
	    "# TYPE savory_duty_held gauge\nsavory_duty_held %d\n",
	    x->duty.token != 0);
	metric(s, "duty_claims_total", x->duty.counters.claims);
	metric(s, "duty_renewals_total", x->duty.counters.renewals);
	metric(s, "duty_lost_total", x->duty.counters.lost);
	metric(s, "duty_without_holder_ms_total",
	    (uint64_t)x->duty.counters.ms_without_holder);
	metric(s, "duty_fenced_total", x->fenced);
	metric(s, "duty_messages_dropped_total",
	    x->duty.counters.dropped + x->usage.counters.dropped +
		x->capacity.counters.dropped);
	metric(s, "usage_windows_reported_total", x->reports);
	metric(s, "usage_reports_repeated_total", x->repeated);
	metric(s, "usage_windows_missed_total", x->missed);
	metric(s, "usage_windows_skipped_total", x->skipped);
	metric(s, "usage_clock_jumps_total", x->usage.counters.jumps);
	metric(s, "server_orders_taken_total", x->orders_taken);
	metric(s, "server_orders_none_left_total", x->orders_none);
	metric(s, "server_orders_failed_total", x->orders_failed);
	metric(s, "capacity_losses_total", x->capacity.counters.losses);
	metric(
	    s, "capacity_servers_taken_back_total", x->capacity.counters.lost);
}

static void
dump_service(GString *s, const struct capacity_service *v)
{
	const struct capacity_pool *p;
	unsigned int i, k;

	g_string_append_printf(s,
	    "capacity %s needed %u lasting %u stand-ins %u tokens-per-ms %.1f "
	    "running %.0f\n",
	    v->config.name, v->needed, v->lasting, v->stand_ins,
	    v->tokens_per_ms, v->running);
	for (i = 0; i < v->config.ndomains; i++) {
		for (k = 0; k < CAPACITY_KINDS; k++) {
			p = &v->domains[i].kinds[k];
			g_string_append_printf(s,
			    "capacity %s in %s %s ready %u want %u ordered "
			    "%u\n",
			    v->config.name, v->config.domains[i].name,
			    k == CAPACITY_LASTING ? "lasting" : "reclaimable",
			    p->ready, p->target, p->ordered);
		}
	}
}

void
entry_duty_dump(const struct entry *e, GString *s, msec now)
{
	const struct entry_duty *x = e->duty;
	unsigned int i;

	if (x == NULL)
		return;
	g_string_append_printf(s,
	    "duty token %" PRIu64 " until-ms %" PRId64 " token-seen %" PRIu64
	    " end %" PRIu64 " standby %s read-back %s\n",
	    x->duty.token, x->duty.token != 0 ? x->duty.until - now : 0,
	    x->duty.token_seen, x->duty.end,
	    x->duty.standbys[0] == e->members.self.id ? "yes" : "no",
	    x->notes_loaded ? "yes" : "no");
	for (i = 0; i < x->usage.nwindows; i++) {
		if (x->windows[i].used)
			g_string_append_printf(s,
			    "usage window %" PRIu64 " saved %s done %s\n",
			    x->windows[i].number,
			    x->windows[i].saved ? "yes" : "no",
			    x->windows[i].done ? "yes" : "no");
	}
	for (i = 0; i < x->capacity.nservices; i++)
		dump_service(s, &x->capacity.services[i]);
}
