/*
 * What other nodes know of the newest state, and what they hear from us: the
 * node's side of relay.c. Decides when the source is to be read.
 */

#define LOG_PART "relay"
#include "entry.h"

/*
 * A proof is dated by the asking, so reading at once and often keeps it
 * younger than long waits for news do, with the same number of calls. What is
 * known is kept younger than these parts of the bounds on keys and on changes:
 * a node whose reader fell silent reads by itself at one and a half times that.
 */
#define RELAY_KEYS_PERCENT 25
#define RELAY_CHANGE_PERCENT 45
#define RELAY_MOST_MS 1000

/* Servers in one message: as long names as there may be still fit. */
#define RELAY_SERVERS_EACH 4
/* More that change together are cheaper read by each node than sent to each. */
#define RELAY_SERVERS_NEWS 32
/* Between two reads of servers that nobody needs yet. */
#define RELAY_UNUSED_MS 5000
/*
 * Nodes tell each other of nodes. The list joins parts of the fleet that have
 * lost each other, for which it is enough that one node of a part reads it;
 * the others' reads are for a fleet whose readers cannot.
 */
#define RELAY_NODES_MS 15000
#define RELAY_NODES_OTHERS_MS 120000

static struct entry *
entry_of_relay(struct relay *r)
{
	return r->arg;
}

static void
entry_relay_send(struct relay *r, name_id node, const sp_msg *msg)
{
	struct entry *e = entry_of_relay(r);
	struct member *m = members_find(&e->members, node);

	if (m != NULL)
		net_send(&e->net, m->address, m->peer_port, msg);
}

static void
entry_relay_proven(struct relay *r, enum relay_subject s, msec then)
{
	if (s == RELAY_TABLE)
		fresh_prove(&entry_of_relay(r)->fresh, then);
}

static void
entry_relay_look(struct relay *r, enum relay_subject s, msec now)
{
	struct entry *e = entry_of_relay(r);

	e->source->ops->read(e->source, s);
}

/* ---- changes of servers, passed on ---- */

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
		.reclaimable = v->reclaimable };
}

static void
relay_send_all(
    struct relay *r, const name_id *to, unsigned int n, const sp_msg *msg)
{
	unsigned int i;

	for (i = 0; i < n; i++)
		entry_relay_send(r, to[i], msg);
}

/* How many have changed since nodes were told. */
static unsigned int
servers_untold(struct servers *all)
{
	struct server *v;
	unsigned int n = 0;

	RB_FOREACH (v, server_tree, &all->tree)
		n += server_mark(v) != v->told;
	return n;
}

/*
 * Guards against a read of the platform by every node for each server that
 * comes or goes. Each message stands for itself: it says which state of all
 * servers it follows, so that one that is late, or whose forerunner was lost,
 * changes nothing and the node reads by itself.
 */
static void
entry_relay_news(
    struct relay *r, enum relay_subject s, const name_id *to, unsigned int n)
{
	struct entry *e = entry_of_relay(r);
	sp_server list[RELAY_SERVERS_EACH];
	sp_msg msg = { .kind = SP_RELAY_SERVERS };
	sp_relay_servers *m = &msg.sp_msg_u.relay_servers;
	struct server *v;
	uint64_t mark = 0, own;

	if (s != RELAY_SERVERS)
		return;
	RB_FOREACH (v, server_tree, &e->servers.tree)
		mark += v->told;
	if (mark == 0 || servers_untold(&e->servers) > RELAY_SERVERS_NEWS) {
		RB_FOREACH (v, server_tree, &e->servers.tree)
			v->told = server_mark(v);
		return;
	}
	m->before = entry_era_mark(e, mark);
	m->list.list_val = list;
	RB_FOREACH (v, server_tree, &e->servers.tree) {
		own = server_mark(v);
		if (own == v->told)
			continue;
		server_encode(&list[m->list.list_len++], v);
		mark += own - v->told;
		v->told = own;
		if (m->list.list_len < RELAY_SERVERS_EACH)
			continue;
		m->after = entry_era_mark(e, mark);
		relay_send_all(r, to, n, &msg);
		m->before = m->after;
		m->list.list_len = 0;
	}
	m->after = entry_era_mark(e, mark);
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
server_take(struct entry *e, const sp_server *m, msec now)
{
	struct server_entry entry = { .name = m->name,
		.service = m->service,
		.domain = m->domain,
		.address = m->address,
		.port = (uint16_t)m->port,
		.slots = m->slots,
		.draining = m->state == SP_SERVER_DRAINING,
		.born = (int64_t)m->born,
		.reclaimable = m->reclaimable };

	if (m->state == SP_SERVER_GONE)
		servers_unlist(&e->servers, now, m->name);
	else
		servers_list(&e->servers, now, &entry);
}

void
entry_relay_servers(
    struct entry *e, name_id from, const sp_relay_servers *m, msec now)
{
	uint64_t mark = entry_era_mark(e, servers_mark(&e->servers));
	u_int i;

	if (from != e->relay.reader || m->before != mark)
		return;
	for (i = 0; i < m->list.list_len; i++) {
		if (!server_is_valid(&m->list.list_val[i]))
			return;
	}
	for (i = 0; i < m->list.list_len; i++)
		server_take(e, &m->list.list_val[i], now);
	mark = entry_era_mark(e, servers_mark(&e->servers));
	if (mark != m->after)
		return;
	relay_took(&e->relay, RELAY_SERVERS, mark);
	if (m->position > 0)
		e->source->ops->set_servers_position(e->source, m->position);
}

static const struct relay_ops entry_relay_ops = { entry_relay_send,
	entry_relay_proven, entry_relay_look, entry_relay_news };

static msec
entry_relay_every(const struct entry *e)
{
	msec every = RELAY_MOST_MS, change = e->settings->change_bound;

	if (e->fresh.bound != 0)
		every = MIN(every, e->fresh.bound * RELAY_KEYS_PERCENT / 100);
	return MAX(MIN(every, change * RELAY_CHANGE_PERCENT / 100), 1);
}

void
entry_take_proof(struct entry *e, msec asked)
{
	if (entry_start_waits(e))
		entry_start_hold_proof(e, asked);
	/* Nobody has published one yet, or the newest may be lost. */
	if (e->table == NULL || !entry_era_proves(e, asked)) {
		relay_read_in_vain(&e->relay, RELAY_TABLE, asked);
		return;
	}
	fresh_prove(&e->fresh, asked);
	relay_read(&e->relay, e->loop.now, RELAY_TABLE,
	    entry_era_mark(e, e->table->version), asked);
}

void
entry_take_nothing(struct entry *e, enum relay_subject s, msec asked)
{
	relay_read_in_vain(&e->relay, s, asked);
}

void
entry_take_servers(struct entry *e, msec asked)
{
	relay_read(&e->relay, e->loop.now, RELAY_SERVERS,
	    entry_era_mark(e, servers_mark(&e->servers)), asked);
}

void
entry_read_failed(struct entry *e, enum relay_subject s, msec now)
{
	relay_read_failed(&e->relay, now, s);
	if (s == RELAY_TABLE)
		entry_table_ask(e, now);
}

/* Until there is a configuration nobody is served, and no server used. */
msec
entry_read_due(const struct entry *e, enum relay_subject s, msec now)
{
	msec due = relay_due(&e->relay, now, s);

	return e->table == NULL && s == RELAY_SERVERS
		   ? MAX(due, RELAY_UNUSED_MS)
		   : due;
}

msec
entry_nodes_every(const struct entry *e)
{
	return e->relay.reader == e->relay.self ? RELAY_NODES_MS
						: RELAY_NODES_OTHERS_MS;
}

static void
entry_relay_timer(struct loop_timer *t, msec now)
{
	struct entry *e = t->arg;

	loop_timer_set(&e->loop, t, relay_tick(&e->relay, now));
}

/* The bounds of the settings are in force from now on. */
void
entry_relay_apply(struct entry *e)
{
	e->relay.every = entry_relay_every(e);
}

void
entry_relay_init(struct entry *e, msec now)
{
	relay_init(&e->relay, &entry_relay_ops, name_hash(e->settings->node),
	    entry_relay_every(e));
	e->relay.arg = e;
	loop_timer_init(&e->relay_timer, entry_relay_timer, e);
	loop_timer_set(&e->loop, &e->relay_timer, now);
}

void
entry_relay_finish(struct entry *e)
{
	loop_timer_stop(&e->loop, &e->relay_timer);
}
