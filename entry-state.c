/*
 * The state of an entry node: the configuration in force and whether it is
 * proven to be the newest, the backend servers, the other nodes, the
 * connection to the source, and the readiness of this node.
 */

#define LOG_PART "state"
#include "entry.h"

#include <string.h>

/* Interval of the periodic state update. */
#define STATE_TICK_MS 100
/*
 * A proof expires this long before its bound, because a request is sent and
 * read by its server only after its key was checked, and because the clocks of
 * two VMs run at different rates.
 */
#define STATE_PROOF_MARGIN_MS 700

struct retry_budget *
entry_budget(struct entry *e, name_id service)
{
	struct retry_budget find = { .service = service }, *b;

	if ((b = RB_FIND(retry_budgets, &e->budgets, &find)) != NULL)
		return b;
	b = g_new0(struct retry_budget, 1);
	retry_budget_init(b, service, e->started);
	RB_INSERT(retry_budgets, &e->budgets, b);
	return b;
}

/* ---- backend servers ---- */

static void
state_server_changed(struct servers *s, struct server *v)
{
	struct entry *e = s->arg;

	entry_log(&e->log, e->loop.now, ENTRY_LOG_NEEDED, LOG_EVENT_SERVER,
	    LOG_TEXT(LOG_KEY_SERVER, v->name),
	    LOG_TEXT(LOG_KEY_STATE, v->state == SERVER_READY	  ? "ready"
				    : v->state == SERVER_DRAINING ? "draining"
								  : "gone"),
	    LOG_TEXT(LOG_KEY_SOFTWARE, v->software),
	    LOG_TEXT(LOG_KEY_TOLD_BY, e->servers_told_by),
	    LOG_NUMBER(LOG_KEY_LIST_MS, entry_list_age(e, e->loop.now)),
	    LOG_NUMBER(LOG_KEY_RUNNING, v->own.running));
	entry_poison_server_changed(e, v, e->loop.now);
	link_close_stale(e, v);
	entry_move_server_changed(e, v, e->loop.now);
}

static void
state_server_removed(struct servers *s, struct server *v)
{
	link_close_idle(s->arg, v);
	link_pool_free(v);
}

static void
state_server_kept(struct servers *s, struct server *v)
{
	struct entry *e = s->arg;

	entry_log(&e->log, e->loop.now, ENTRY_LOG_NEEDED, LOG_EVENT_SERVER_KEPT,
	    LOG_TEXT(LOG_KEY_SERVER, v->name),
	    LOG_TEXT(LOG_KEY_TOLD_BY, e->servers_told_by),
	    LOG_NUMBER(LOG_KEY_LIST_MS, entry_list_age(e, e->loop.now)),
	    LOG_NUMBER(LOG_KEY_RUNNING, v->own.running));
	entry_outage_ask(e, e->loop.now);
}

static const struct server_ops state_server_ops = { state_server_changed,
	state_server_removed, state_server_kept };

/* ---- other nodes ---- */

static void
state_member_send(
    struct members *ms, uint32_t address, uint16_t port, const sp_msg *msg)
{
	struct entry *e = ms->arg;

	net_send(&e->net, address, port, msg);
}

static void
state_member_changed(struct members *ms, const struct member *m)
{
	struct entry *e = ms->arg;

	if (m == &ms->self && m->incarnation != e->incarnation) {
		e->incarnation = m->incarnation;
		net_set_incarnation(&e->net, m->incarnation);
	}
	e->own_domain_changed = true;
	entry_log(&e->log, e->loop.now, ENTRY_LOG_NEEDED, LOG_EVENT_NODE,
	    LOG_TEXT(LOG_KEY_NAME, m->name),
	    LOG_TEXT(LOG_KEY_STATE, member_state_name(m->state)));
}

static const struct member_ops state_member_ops = { state_member_send,
	state_member_changed };

static void
state_message(struct net *net, name_id from, uint64_t incarnation,
    uint32_t address, uint16_t port, const sp_msg *msg)
{
	struct entry *e = net->arg;

	if (msg->kind >= SP_STREAM_TELL)
		entry_versions_receive(e, from, msg, msec_now());
	else if (msg->kind >= SP_POISON_TELL)
		poisons_receive(&e->poison.core, msec_now(), from, msg);
	else if (msg->kind == SP_START_ASK || msg->kind == SP_START_TELL)
		entry_start_receive(e, from, address, port, msg, msec_now());
	else if (msg->kind == SP_TABLE_ASK || msg->kind == SP_TABLE_PART)
		entry_table_receive(e, from, address, port, msg, msec_now());
	else if (msg->kind < SP_RESERVE)
		members_receive(&e->members, msec_now(), from, incarnation,
		    address, port, msg);
	else if (msg->kind >= SP_DUTY_BEAT)
		entry_duty_receive(e, from, incarnation, msg, msec_now());
	else if (msg->kind == SP_OUTAGE_ASK || msg->kind == SP_OUTAGE_TELL)
		entry_outage_receive(e, from, address, port, msg, msec_now());
	else if (msg->kind == SP_RELAY_SERVERS)
		entry_list_receive_changes(
		    e, from, &msg->sp_msg_u.relay_servers, msec_now());
	else if (msg->kind == SP_LIST_ASK || msg->kind == SP_LIST_PART)
		entry_list_receive(e, from, address, port, msg, msec_now());
	else if (msg->kind >= SP_RELAY_ASK)
		relay_receive(&e->relay, msec_now(), from, msg);
	else
		place_receive(&e->place, msec_now(), from, msg);
}

static const struct net_ops state_net_ops = { state_message };

static void
state_net_ready(struct loop_io *io, uint32_t events)
{
	struct entry *e =
	    (struct entry *)((char *)io - offsetof(struct entry, net_io));

	net_read(&e->net);
}

/* ---- placement ---- */

void
entry_send(struct entry *e, name_id node, const sp_msg *msg)
{
	struct member *m = members_find(&e->members, node);

	if (m != NULL)
		net_send(&e->net, m->address, m->peer_port, msg);
}

void
entry_send_apart(
    struct entry *e, uint32_t address, uint16_t port, const sp_msg *msg)
{
	net_flush(&e->net);
	net_send(&e->net, address, port, msg);
	net_flush(&e->net);
}

unsigned int
entry_draw_nodes(struct entry *e, struct member **nodes, unsigned int most)
{
	unsigned int seen = 0, at;
	struct member *m;

	RB_FOREACH (m, member_tree, &e->members.tree) {
		if (m->state != MEMBER_ALIVE)
			continue;
		at = seen < most ? seen
				 : (unsigned int)g_rand_int_range(
				       e->rand, 0, (gint32)seen + 1);
		if (at < most)
			nodes[at] = m;
		seen++;
	}
	return MIN(seen, most);
}

static void
state_place_send(struct place *p, name_id node, const sp_msg *msg)
{
	entry_send(p->arg, node, msg);
}

static const struct place_ops state_place_ops = { state_place_send, job_placed,
	entry_rate_log_received };

static void
state_place_timer(struct loop_timer *t, msec now)
{
	struct entry *e = t->arg;

	loop_timer_set(&e->loop, t, place_tick(&e->place, now));
}

void
entry_place_arm_timer(struct entry *e, msec now)
{
	state_place_timer(&e->place_timer, now);
}

/*
 * An incarnation is the wall clock in microseconds at the start of a process.
 * The age is negative if that node's clock is ahead of the local one.
 */
msec
entry_process_age(uint64_t incarnation)
{
	return (g_get_real_time() - (int64_t)incarnation) / 1000;
}

/* Tells the socket which nodes are in this node's failure domain. */
static void
state_push_own_domain(struct entry *e)
{
	struct net_address *list;
	struct member *m;
	unsigned int n = 0;

	if (!e->own_domain_changed)
		return;
	e->own_domain_changed = false;
	list = g_new(struct net_address, e->live_nodes);
	RB_FOREACH (m, member_tree, &e->members.tree) {
		if (m->state != MEMBER_DEAD &&
		    strcmp(m->domain, e->members.self.domain) == 0)
			list[n++] =
			    (struct net_address){ m->address, m->peer_port };
	}
	net_set_own_domain(&e->net, list, n);
	g_free(list);
}

/*
 * Passes the live nodes to placement, relay and poison detection. Nodes that
 * take work can be coordinators; this node takes work while it is serving.
 */
static void
state_push_nodes(struct entry *e, msec now)
{
	struct place_node *nodes;
	name_id *takers;
	unsigned int n = 1, ntakers = 0, i;
	struct member *m;

	RB_FOREACH (m, member_tree, &e->members.tree)
		n++;
	nodes = g_new0(struct place_node, n);
	nodes[0] =
	    (struct place_node){ e->members.self.id, e->phase == ENTRY_SERVING,
		    entry_process_age(e->incarnation), false };
	e->live_nodes = 1;
	n = 1;
	RB_FOREACH (m, member_tree, &e->members.tree) {
		if (m->state == MEMBER_DEAD)
			continue;
		e->live_nodes++;
		nodes[n++] = (struct place_node){ m->id,
			m->state == MEMBER_ALIVE && !m->leaving,
			entry_process_age(m->incarnation), false };
	}
	state_push_own_domain(e);
	place_set_nodes(&e->place, now, nodes, n);
	takers = g_new(name_id, n);
	for (i = 0; i < n; i++) {
		if (nodes[i].takes_work)
			takers[ntakers++] = nodes[i].id;
	}
	relay_set_nodes(&e->relay, takers, ntakers);
	entry_poison_set_nodes(e, now);
	entry_versions_set_nodes(e);
	g_free(takers);
	g_free(nodes);
}

void
entry_take_nodes(
    struct entry *e, const struct vm *vms, unsigned int n, msec now)
{
	members_set_list(&e->members, now, vms, n);
	entry_start_set_nodes(e, vms, n, now);
}

/* ---- the source ---- */

static void
state_set_transfers(struct entry *e, const struct route_table *t)
{
	unsigned int i;

	for (i = 0; i < t->nservices; i++)
		place_set_transfer(
		    &e->place, t->services[i].id, &t->services[i].transfer);
}

void
entry_take_table(struct entry *e, struct route_table *t, msec now)
{
	/* Never go back to an older version, even if the platform does. */
	if (e->table != NULL && t->version <= e->table->version) {
		route_table_drop(t);
		return;
	}
	if (entry_start_must_defer(e)) {
		entry_start_defer_table(e, t, now);
		return;
	}
	/* Other nodes have a newer version, which the store has lost. */
	if (e->table == NULL && t->version < e->start.version) {
		entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_ERA,
		    LOG_TEXT(LOG_KEY_STATE, "older configuration"),
		    LOG_NUMBER(LOG_KEY_ERA, e->era.number),
		    LOG_NUMBER(LOG_KEY_VERSION, t->version));
		route_table_drop(t);
		return;
	}
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_CONFIGURATION,
	    LOG_NUMBER(LOG_KEY_VERSION, t->version),
	    LOG_NUMBER(LOG_KEY_ROUTES, t->nroutes),
	    LOG_NUMBER(LOG_KEY_SERVICES, t->nservices),
	    LOG_NUMBER(LOG_KEY_ORGANISATIONS, t->norganisations),
	    LOG_NUMBER(LOG_KEY_IDLE_LIMIT_MS, t->limits.idle_timeout));
	route_table_drop(e->table);
	e->table = t;
	idle_limit_set(&e->idle, now, t->limits.idle_timeout);
	entry_duty_take_table(e, t);
	state_set_transfers(e, t);
	entry_versions_take_table(e);
	e->counters.tables++;
	if (e->phase == ENTRY_STARTING) {
		e->phase = ENTRY_SERVING;
		e->source->ops->read(e->source, RELAY_SERVERS);
		e->era_recorded = entry_era_settled(e, now);
		e->source->ops->announce(e->source);
	}
}

bool
entry_others_ready(const struct entry *e)
{
	struct member *m;

	RB_FOREACH (m, member_tree, (struct member_tree *)&e->members.tree) {
		if (m->state == MEMBER_ALIVE && !m->leaving &&
		    m->load_permille < ENTRY_LOAD_NOT_READY)
			return true;
	}
	return false;
}

void
entry_source_down(struct entry *e, msec now, const char *why)
{
	if (!e->source_up)
		return;
	e->source_up = false;
	e->source_lost_since = now;
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_PLATFORM_LOST,
	    LOG_TEXT(LOG_KEY_REASON, why),
	    LOG_NUMBER(LOG_KEY_PROOF_MS, fresh_age(&e->fresh, now)));
}

void
entry_source_up(struct entry *e, msec now)
{
	entry_outage_served(e, now, now);
	if (e->source_up)
		return;
	e->source_up = true;
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_PLATFORM_BACK,
	    LOG_NUMBER(LOG_KEY_MS, now - e->source_lost_since));
}

bool
entry_is_ready(const struct entry *e, msec now)
{
	if (e->phase != ENTRY_SERVING || e->table == NULL)
		return false;
	return !e->table->keyed || fresh_is_valid(&e->fresh, now);
}

/* ---- start, timer, stop ---- */

void
entry_state_apply(struct entry *e)
{
	const struct settings *s = e->settings;

	e->fresh.bound = s->keys_fail_closed
			     ? MAX(s->keys_bound - STATE_PROOF_MARGIN_MS, 1)
			     : 0;
	e->idle.change_bound = s->change_bound;
	e->budget = (struct retry_budget_config){ s->retry_window,
		s->retry_permille, s->retry_fixed };
	entry_relay_apply_settings(e);
}

bool
entry_state_init(struct entry *e, msec now)
{
	const struct settings *s = e->settings;
	struct member_config mc = { .name = s->node,
		.domain = s->domain,
		.incarnation = e->incarnation,
		.address = s->peer.address,
		.peer_port = s->peer.port,
		.caller_port = s->caller.port,
		.control_port = s->control.port,
		.seed = g_rand_int(e->rand) };

	RB_INIT(&e->budgets);
	fresh_init(&e->fresh, 0);
	era_init(&e->era);
	idle_limit_init(&e->idle, CALLER_TIMEOUT_MS, s->change_bound);
	entry_start_init(e);
	entry_table_init(e);
	entry_relay_init(e, now);
	entry_outage_init(e);
	entry_list_init(e);
	entry_state_apply(e);
	servers_init(&e->servers, &state_server_ops);
	e->servers.arg = e;
	place_init(&e->place, &state_place_ops, &e->servers, name_hash(s->node),
	    s->domain, e->rand);
	e->place.arg = e;
	place_set_policy(&e->place, s->policy);
	place_set_fair_shares(&e->place, s->fair_shares);
	entry_poison_init(e);
	entry_reach_init(e);
	entry_handoff_init(e);
	entry_versions_init(e);
	entry_moves_init(e);
	loop_timer_init(&e->place_timer, state_place_timer, e);
	loop_timer_set(&e->loop, &e->place_timer, now);
	e->live_nodes = 1;
	e->net.arg = e;
	if (!net_init(&e->net, &state_net_ops, s->peer.address, s->peer.port,
		name_hash(s->node), e->incarnation, s->peer_key))
		return false;
	members_init(&e->members, &state_member_ops, &mc, now);
	e->members.arg = e;
	entry_duty_init(e, now);
	e->net_io = (struct loop_io){ state_net_ready, e->net.fd, 0 };
	return loop_watch(&e->loop, &e->net_io, EPOLLIN);
}

/* The load that this node reports. */
static unsigned int
state_load(const struct entry *e, msec now)
{
	if (!entry_is_ready(e, now))
		return ENTRY_LOAD_NOT_READY;
	return reach_is_cut(&e->reach.core) ? ENTRY_LOAD_NO_PATH : 0;
}

void
entry_state_tick(struct entry *e, msec now)
{
	entry_outage_tick(e, now);
	entry_list_tick(e, now);
	entry_era_tick(e, now);
	entry_version_store_tick(e, now);
	entry_poison_store_tick(e, now);
	members_set_self(&e->members, e->table != NULL ? e->table->version : 0,
	    state_load(e, now));
	entry_handoff_tick(e, now);
	/* Other nodes learn of this node once it can serve. */
	if (e->phase != ENTRY_STARTING)
		members_tick(&e->members, now);
	state_push_nodes(e, now);
	net_flush(&e->net);
}

void
entry_state_finish(struct entry *e)
{
	struct retry_budget *b;

	while ((b = RB_MIN(retry_budgets, &e->budgets)) != NULL) {
		RB_REMOVE(retry_budgets, &e->budgets, b);
		g_free(b);
	}
	entry_duty_finish(e);
	entry_poison_finish(e);
	entry_moves_finish(e);
	entry_reach_finish(e);
	entry_handoff_finish(e);
	entry_versions_finish(e);
	place_finish(&e->place);
	entry_relay_finish(e);
	entry_start_finish(e);
	entry_table_finish(e);
	loop_timer_stop(&e->loop, &e->place_timer);
	servers_finish(&e->servers);
	members_finish(&e->members);
	net_finish(&e->net);
	route_table_drop(e->table);
	e->table = NULL;
}
