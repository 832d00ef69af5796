/*
 * The list of servers, passed between nodes; see entry-list.h.
 */

#define LOG_PART "list"
#include "entry.h"

#include <string.h>

/*
 * When more servers change at once, it is cheaper for each node to read the
 * list than to be sent the changes.
 */
#define LIST_CHANGES_SENT_MAX 32
/* Nodes in each query, drawn anew each time, as some may be refused as well. */
#define LIST_ASKED_NODES 3
#define LIST_ASK_EVERY_MS 300
/* Messages in reply to one query. The next query is for what is left. */
#define LIST_PARTS_SENT_MAX 64
/* Others are asked when a list is unconfirmed for so long, in % of `every`. */
#define LIST_UNCONFIRMED_PERCENT 150
/* Range of an id: its first bits, so many. */
#define LIST_RANGE_BITS 4

_Static_assert(SAVORY_LIST_RANGES == 1 << LIST_RANGE_BITS, "ranges by bits");

/* ---- servers in messages ---- */

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

static bool
servers_are_valid(const sp_server *list, u_int n)
{
	const sp_server *m;

	for (m = list; m < list + n; m++) {
		if (*m->name == '\0' || *m->service == '\0' ||
		    m->address == 0 || m->port == 0 || m->port > UINT16_MAX ||
		    (unsigned int)m->state > SP_SERVER_GONE)
			return false;
	}
	return true;
}

static void
server_apply(struct entry *e, const sp_server *m, msec now)
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
list_node_name(struct entry *e, name_id node)
{
	struct member *m = members_find(&e->members, node);

	return m != NULL ? m->name : "?";
}

/* The mark of the whole list, with the era. */
static uint64_t
list_mark(struct entry *e)
{
	return entry_era_mix_into_mark(e, servers_mark(&e->servers));
}

/* The list is now that of a read up to this position. */
static void
list_received(struct entry *e, uint64_t mark, uint64_t position)
{
	relay_state_received(&e->relay, RELAY_SERVERS, mark);
	if (position > 0)
		e->source->ops->set_servers_position(e->source, position);
}

/* ---- changes ---- */

static void
list_send_all(
    struct entry *e, const name_id *to, unsigned int n, const sp_msg *msg)
{
	unsigned int i;

	for (i = 0; i < n; i++)
		entry_send(e, to[i], msg);
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
 * Each message names the state of the whole list that it applies to. If it
 * arrives late, or an earlier one was lost, the receiver ignores it and reads
 * the platform.
 */
void
entry_list_send_changes(struct entry *e, const name_id *to, unsigned int n)
{
	sp_server list[LIST_SERVERS_PER_MESSAGE];
	sp_msg msg = { .kind = SP_RELAY_SERVERS };
	sp_relay_servers *m = &msg.sp_msg_u.relay_servers;
	struct server *v;
	uint64_t mark = 0, own;

	RB_FOREACH (v, server_tree, &e->servers.tree)
		mark += v->sent_mark;
	if (mark == 0 ||
	    servers_count_changed(&e->servers) > LIST_CHANGES_SENT_MAX) {
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
		if (m->list.list_len < LIST_SERVERS_PER_MESSAGE)
			continue;
		m->after = entry_era_mix_into_mark(e, mark);
		list_send_all(e, to, n, &msg);
		m->before = m->after;
		m->list.list_len = 0;
	}
	m->after = entry_era_mix_into_mark(e, mark);
	m->position = e->source->ops->servers_position(e->source);
	list_send_all(e, to, n, &msg);
}

void
entry_list_receive_changes(
    struct entry *e, name_id from, const sp_relay_servers *m, msec now)
{
	uint64_t mark;
	u_int i;

	if (from != e->relay.reader || m->before != list_mark(e) ||
	    !servers_are_valid(m->list.list_val, m->list.list_len))
		return;
	e->servers_told_by = list_node_name(e, from);
	for (i = 0; i < m->list.list_len; i++)
		server_apply(e, &m->list.list_val[i], now);
	e->servers_told_by = NULL;
	mark = list_mark(e);
	if (mark == m->after)
		list_received(e, mark, m->position);
}

/* ---- what differs, on request ---- */

static unsigned int
list_range(name_id id)
{
	return (unsigned int)(id >> (64 - LIST_RANGE_BITS));
}

static name_id
list_range_first(unsigned int range)
{
	return (name_id)range << (64 - LIST_RANGE_BITS);
}

static name_id
list_range_last(unsigned int range)
{
	return list_range_first(range) + (UINT64_MAX >> LIST_RANGE_BITS);
}

static void
list_mark_ranges(struct entry *e, uint64_t *marks)
{
	struct server *v;

	memset(marks, 0, SAVORY_LIST_RANGES * sizeof *marks);
	RB_FOREACH (v, server_tree, &e->servers.tree)
		marks[list_range(v->id)] += server_mark(v);
}

/*
 * Position in the platform's log up to which the list is known; 0: it is being
 * read anew.
 */
static uint64_t
list_position(const struct entry *e)
{
	uint64_t position = e->source->ops->servers_position(e->source);
	uint64_t told = UINT64_MAX;
	unsigned int i;

	if (position == 0 || !e->servers.complete)
		return 0;
	for (i = 0; i < SAVORY_LIST_RANGES; i++)
		told = MIN(told, e->list.applied[i]);
	return MAX(position, told);
}

void
entry_list_init(struct entry *e)
{
	e->list = (struct entry_list){ .asked = MSEC_NEVER };
}

void
entry_list_reset(struct entry *e)
{
	memset(e->list.applied, 0, sizeof e->list.applied);
}

bool
entry_list_is_newer(const struct entry *e, const char *name, uint64_t position)
{
	return position < e->list.applied[list_range(name_hash(name))];
}

static void
list_ask(struct entry *e, msec now)
{
	struct member *nodes[LIST_ASKED_NODES];
	sp_msg msg = { .kind = SP_LIST_ASK };
	sp_list_ask *ask = &msg.sp_msg_u.list_ask;
	unsigned int i, n;

	e->list.asked = now;
	ask->seq = ++e->list.seq;
	ask->position = list_position(e);
	list_mark_ranges(e, ask->marks);
	n = entry_draw_nodes(e, nodes, G_N_ELEMENTS(nodes));
	for (i = 0; i < n; i++)
		entry_send_apart(
		    e, nodes[i]->address, nodes[i]->peer_port, &msg);
}

/* Sends a range in parts that join; returns how many there were. */
static unsigned int
list_tell_range(struct entry *e, uint32_t address, uint16_t port,
    unsigned int range, sp_msg *msg)
{
	sp_list_part *p = &msg->sp_msg_u.list_part;
	sp_server list[LIST_SERVERS_PER_MESSAGE];
	struct server find = { .id = list_range_first(range) }, *v;
	unsigned int sent = 0;

	p->first = find.id;
	p->list.list_val = list;
	p->list.list_len = 0;
	for (v = RB_NFIND(server_tree, &e->servers.tree, &find);
	     v != NULL && list_range(v->id) == range;
	     v = RB_NEXT(server_tree, &e->servers.tree, v)) {
		if (server_listed_as(v) == SERVER_GONE)
			continue;
		if (p->list.list_len == LIST_SERVERS_PER_MESSAGE) {
			p->last = v->id - 1;
			net_send(&e->net, address, port, msg);
			sent++;
			p->first = v->id;
			p->list.list_len = 0;
		}
		server_encode(&list[p->list.list_len++], v);
	}
	p->last = list_range_last(range);
	net_send(&e->net, address, port, msg);
	p->list.list_val = NULL;
	return sent + 1;
}

static void
list_tell(
    struct entry *e, uint32_t address, uint16_t port, const sp_list_ask *ask)
{
	uint64_t position = list_position(e), marks[SAVORY_LIST_RANGES];
	sp_msg msg = { .kind = SP_LIST_PART };
	sp_list_part *p = &msg.sp_msg_u.list_part;
	unsigned int range, sent = 0;

	if (position <= ask->position)
		return;
	p->seq = ask->seq;
	p->era = e->era.number;
	p->position = position;
	p->mark = list_mark(e);
	list_mark_ranges(e, marks);
	net_flush(&e->net);
	for (range = 0;
	     range < SAVORY_LIST_RANGES && sent < LIST_PARTS_SENT_MAX;
	     range++) {
		if (marks[range] != ask->marks[range])
			sent += list_tell_range(e, address, port, range, &msg);
	}
	net_flush(&e->net);
}

static bool
part_names(const sp_list_part *p, const char *name)
{
	u_int i;

	for (i = 0; i < p->list.list_len; i++) {
		if (strcmp(p->list.list_val[i].name, name) == 0)
			return true;
	}
	return false;
}

static void
part_apply(struct entry *e, const sp_list_part *p, msec now)
{
	struct server find = { .id = p->first }, *v;
	u_int i;

	for (v = RB_NFIND(server_tree, &e->servers.tree, &find);
	     v != NULL && v->id <= p->last;
	     v = RB_NEXT(server_tree, &e->servers.tree, v)) {
		if (server_listed_as(v) != SERVER_GONE &&
		    !part_names(p, v->name))
			servers_unlist(&e->servers, now, v->name);
	}
	for (i = 0; i < p->list.list_len; i++)
		server_apply(e, &p->list.list_val[i], now);
}

/*
 * Only a list that was read further than this node's own: an older one would
 * bring back servers that have left.
 */
static bool
part_is_newer(const struct entry *e, const sp_list_part *p)
{
	uint64_t own = e->source->ops->servers_position(e->source);
	unsigned int range = list_range(p->first);

	return p->seq == e->list.seq && p->era == e->era.number && own > 0 &&
	       p->first <= p->last && list_range(p->last) == range &&
	       p->position > own && p->position >= e->list.applied[range] &&
	       servers_are_valid(p->list.list_val, p->list.list_len);
}

static void
list_receive_part(
    struct entry *e, name_id from, const sp_list_part *p, msec now)
{
	unsigned int i;

	if (!part_is_newer(e, p)) {
		e->list.dropped++;
		return;
	}
	e->list.parts++;
	e->list.applied[list_range(p->first)] = p->position;
	e->servers_told_by = list_node_name(e, from);
	part_apply(e, p, now);
	e->servers_told_by = NULL;
	if (list_mark(e) != p->mark)
		return;
	for (i = 0; i < SAVORY_LIST_RANGES; i++)
		e->list.applied[i] = p->position;
	list_received(e, p->mark, p->position);
}

void
entry_list_receive(struct entry *e, name_id from, uint32_t address,
    uint16_t port, const sp_msg *msg, msec now)
{
	if (members_find(&e->members, from) == NULL)
		return;
	if (msg->kind == SP_LIST_ASK)
		list_tell(e, address, port, &msg->sp_msg_u.list_ask);
	else
		list_receive_part(e, from, &msg->sp_msg_u.list_part, now);
}

/*
 * The list is not confirmed in time, or another one was reported that the
 * platform does not let this node read.
 */
static bool
list_must_ask(const struct entry *e, msec now)
{
	const struct relay_freshness *k = &e->relay.known[RELAY_SERVERS];

	if (k->confirmed == MSEC_NEVER || list_position(e) == 0)
		return false;
	if (k->failures > 0 && k->differed > k->asked)
		return true;
	return now - k->confirmed >=
	       e->relay.every * LIST_UNCONFIRMED_PERCENT / 100;
}

void
entry_list_tick(struct entry *e, msec now)
{
	if (!list_must_ask(e, now))
		return;
	if (e->list.asked == MSEC_NEVER ||
	    now - e->list.asked >= LIST_ASK_EVERY_MS)
		list_ask(e, now);
}
