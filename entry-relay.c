/*
 * The entry VM's side of relay.c, which shares reads of the platform among the
 * nodes: passes changes of the server list to the nodes that poll this one,
 * applies those that this node receives, and decides when this node reads the
 * platform itself.
 */

#define LOG_PART "relay"
#include "entry.h"

/*
 * A proof that the state is the newest is dated by the time at which the read
 * was sent. Frequent short reads thus keep it younger than long polls do, with
 * the same number of calls. The maximum age of the state is these percentages
 * of the bounds on revoked keys and on configuration changes: a node whose
 * reader stops answering reads the platform itself at 1.5 times that age.
 */
#define RELAY_KEYS_BOUND_PERCENT 25
#define RELAY_CHANGE_BOUND_PERCENT 45
#define RELAY_AGE_MAX_MS 1000

/* Servers in one message: fits a datagram even with names of maximum length. */
#define RELAY_SERVERS_PER_MESSAGE 4
/*
 * When more servers change at once, it is cheaper for each node to read the
 * list than to be sent the changes.
 */
#define RELAY_SERVERS_SENT_MAX 32
/* Interval between reads of the server list before a configuration exists. */
#define RELAY_SERVERS_UNUSED_MS 5000
/*
 * Intervals between reads of the node list, for readers and for other nodes.
 * Nodes learn of each other by gossip; the list is needed only to rejoin parts
 * of a partitioned fleet, for which one reader in each part is enough. The
 * other nodes read it too, in case the readers cannot reach the platform.
 */
#define RELAY_NODES_INTERVAL_READER_MS 15000
#define RELAY_NODES_INTERVAL_OTHERS_MS 120000

static struct entry *
entry_of_relay(struct relay *r)
{
	return r->arg;
}

static void
entry_relay_send(struct relay *r, name_id node, const sp_msg *msg)
{
	entry_send(entry_of_relay(r), node, msg);
}

static void
entry_relay_proven(struct relay *r, enum relay_subject s, msec then)
{
	struct entry *e = entry_of_relay(r);

	entry_outage_served(e, then, e->loop.now);
	if (s == RELAY_CONFIGURATION)
		fresh_record_proof(&e->fresh, then);
}

static void
entry_relay_read_source(struct relay *r, enum relay_subject s, msec now)
{
	struct entry *e = entry_of_relay(r);

	e->source->ops->read(e->source, s);
}

/* ---- changes of the server list, passed between nodes ---- */

static void
server_encode(sp_server *m, const struct server *v)
{
	*m = (sp_server){ .name = (char *)v->name,
		.service = (char *)v->service_name,
		.domain = (char *)v->domain,
		.address = v->address,
		.port = v->port,
		.slots = v->slots,
		.born = (uint64_t)v->born,
		.state = (sp_server_state)server_listed_as(v),
		.reclaimable = v->reclaimable,
		.software = (char *)v->software };
}

static void
relay_send_all(
    struct relay *r, const name_id *to, unsigned int n, const sp_msg *msg)
{
	unsigned int i;

	for (i = 0; i < n; i++)
		entry_relay_send(r, to[i], msg);
}

/* Number of servers that changed since the last message about them. */
static unsigned int
servers_count_changed(struct servers *all)
{
	struct server *v;
	unsigned int n = 0;

	RB_FOREACH (v, server_tree, &all->tree)
		n += server_mark(v) != v->sent_mark;
	return n;
}

/*
 * Sends changed servers to the nodes that poll this one, so that not every node
 * reads the platform for each server that is added or removed. Each message
 * names the state of the whole list that it applies to. If it arrives late, or
 * an earlier one was lost, the receiver ignores it and reads the platform.
 */
static void
entry_relay_send_servers(
    struct relay *r, enum relay_subject s, const name_id *to, unsigned int n)
{
	struct entry *e = entry_of_relay(r);
	sp_server list[RELAY_SERVERS_PER_MESSAGE];
	sp_msg msg = { .kind = SP_RELAY_SERVERS };
	sp_relay_servers *m = &msg.sp_msg_u.relay_servers;
	struct server *v;
	uint64_t mark = 0, own;

	if (s != RELAY_SERVERS)
		return;
	RB_FOREACH (v, server_tree, &e->servers.tree)
		mark += v->sent_mark;
	if (mark == 0 ||
	    servers_count_changed(&e->servers) > RELAY_SERVERS_SENT_MAX) {
		RB_FOREACH (v, server_tree, &e->servers.tree)
			v->sent_mark = server_mark(v);
		return;
	}
	m->before = entry_era_mix_into_mark(e, mark);
	m->list.list_val = list;
	RB_FOREACH (v, server_tree, &e->servers.tree) {
		own = server_mark(v);
		if (own == v->sent_mark)
			continue;
		server_encode(&list[m->list.list_len++], v);
		mark += own - v->sent_mark;
		v->sent_mark = own;
		if (m->list.list_len < RELAY_SERVERS_PER_MESSAGE)
			continue;
		m->after = entry_era_mix_into_mark(e, mark);
		relay_send_all(r, to, n, &msg);
		m->before = m->after;
		m->list.list_len = 0;
	}
	m->after = entry_era_mix_into_mark(e, mark);
	m->position = e->source->ops->servers_position(e->source);
	relay_send_all(r, to, n, &msg);
}

static bool
server_is_valid(const sp_server *m)
{
	return *m->name != '\0' && *m->service != '\0' && m->address != 0 &&
	       m->port > 0 && m->port <= UINT16_MAX &&
	       (unsigned int)m->state <= SP_SERVER_GONE;
}

static void
server_apply_change(struct entry *e, const sp_server *m, msec now)
{
	struct server_entry entry = { .name = m->name,
		.service = m->service,
		.domain = m->domain,
		.address = m->address,
		.port = (uint16_t)m->port,
		.slots = m->slots,
		.draining = m->state == SP_SERVER_DRAINING,
		.born = (int64_t)m->born,
		.reclaimable = m->reclaimable,
		.software = m->software };

	if (m->state == SP_SERVER_GONE)
		servers_unlist(&e->servers, now, m->name);
	else
		servers_list(&e->servers, now, &entry);
}

static const char *
relay_node_name(const struct entry *e, name_id node)
{
	struct member *m = members_find((struct members *)&e->members, node);

	return m != NULL ? m->name : "?";
}

void
entry_relay_receive_servers(
    struct entry *e, name_id from, const sp_relay_servers *m, msec now)
{
	uint64_t mark = entry_era_mix_into_mark(e, servers_mark(&e->servers));
	u_int i;

	if (from != e->relay.reader || m->before != mark)
		return;
	for (i = 0; i < m->list.list_len; i++) {
		if (!server_is_valid(&m->list.list_val[i]))
			return;
	}
	e->servers_told_by = relay_node_name(e, from);
	for (i = 0; i < m->list.list_len; i++)
		server_apply_change(e, &m->list.list_val[i], now);
	e->servers_told_by = NULL;
	mark = entry_era_mix_into_mark(e, servers_mark(&e->servers));
	if (mark != m->after)
		return;
	relay_state_received(&e->relay, RELAY_SERVERS, mark);
	if (m->position > 0)
		e->source->ops->set_servers_position(e->source, m->position);
}

static const struct relay_ops entry_relay_ops = { entry_relay_send,
	entry_relay_proven, entry_relay_read_source, entry_relay_send_servers };

static msec
entry_relay_max_age(const struct entry *e)
{
	msec every = RELAY_AGE_MAX_MS, change = e->settings->change_bound;

	if (e->fresh.bound != 0)
		every =
		    MIN(every, e->fresh.bound * RELAY_KEYS_BOUND_PERCENT / 100);
	return MAX(MIN(every, change * RELAY_CHANGE_BOUND_PERCENT / 100), 1);
}

void
entry_take_proof(struct entry *e, msec asked)
{
	if (entry_start_must_defer(e))
		entry_start_defer_proof(e, asked);
	/*
	 * No configuration has been published yet, or the store may have lost
	 * the newest one.
	 */
	if (e->table == NULL || !entry_era_proves_newest(e, asked)) {
		relay_read_unusable(&e->relay, RELAY_CONFIGURATION, asked);
		return;
	}
	fresh_record_proof(&e->fresh, asked);
	relay_read_succeeded(&e->relay, e->loop.now, RELAY_CONFIGURATION,
	    entry_era_mix_into_mark(e, e->table->version), asked);
}

void
entry_take_unusable(struct entry *e, enum relay_subject s, msec asked)
{
	relay_read_unusable(&e->relay, s, asked);
}

void
entry_take_servers(struct entry *e, msec asked)
{
	relay_read_succeeded(&e->relay, e->loop.now, RELAY_SERVERS,
	    entry_era_mix_into_mark(e, servers_mark(&e->servers)), asked);
}

msec
entry_list_age(const struct entry *e, msec now)
{
	msec at = e->relay.known[RELAY_SERVERS].confirmed;

	return at != MSEC_NEVER ? now - at : -1;
}

void
entry_read_failed(struct entry *e, enum relay_subject s, msec now)
{
	relay_read_failed(&e->relay, now, s);
	if (s == RELAY_CONFIGURATION)
		entry_table_request(e, now);
}

/* Servers are not used before there is a configuration. */
msec
entry_read_due(const struct entry *e, enum relay_subject s, msec now)
{
	msec due = relay_due(&e->relay, now, s);

	return e->table == NULL && s == RELAY_SERVERS
		   ? MAX(due, RELAY_SERVERS_UNUSED_MS)
		   : due;
}

msec
entry_nodes_interval(const struct entry *e)
{
	return e->relay.reader == e->relay.self
		   ? RELAY_NODES_INTERVAL_READER_MS
		   : RELAY_NODES_INTERVAL_OTHERS_MS;
}

static void
entry_relay_timer(struct loop_timer *t, msec now)
{
	struct entry *e = t->arg;

	loop_timer_set(&e->loop, t, relay_tick(&e->relay, now));
}

void
entry_relay_apply_settings(struct entry *e)
{
	e->relay.every = entry_relay_max_age(e);
}

void
entry_relay_init(struct entry *e, msec now)
{
	relay_init(&e->relay, &entry_relay_ops, name_hash(e->settings->node),
	    entry_relay_max_age(e));
	e->relay.arg = e;
	loop_timer_init(&e->relay_timer, entry_relay_timer, e);
	loop_timer_set(&e->loop, &e->relay_timer, now);
}

void
entry_relay_finish(struct entry *e)
{
	loop_timer_stop(&e->loop, &e->relay_timer);
}
