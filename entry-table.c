/*
 * Transfer of the configuration between nodes; see entry-table.h. The text is
 * split into parts of one datagram each, which may arrive out of order. Lost
 * parts are requested again after the next failed read of the platform.
 */

#define LOG_PART "table"
#include "entry.h"

#include <string.h>

/*
 * Nodes in each request, drawn anew: the node that this one polls may be
 * refused by the platform as well.
 */
#define TABLE_ASKED_NODES 3
/* Longer texts are not transferred: the part mask has 64 bits. */
#define TABLE_TEXT_MAX (64 * SAVORY_TABLE_PART_MAX)

void
entry_table_init(struct entry *e)
{
	e->table_transfer =
	    (struct entry_table_transfer){ .text = g_byte_array_new() };
}

void
entry_table_finish(struct entry *e)
{
	g_byte_array_unref(e->table_transfer.text);
}

static void
table_transfer_reset(struct entry_table_transfer *t)
{
	t->version = 0;
	t->total = 0;
	t->parts = 0;
	g_byte_array_set_size(t->text, 0);
}

/*
 * Has another node reported a different configuration since this node's last
 * complete read?
 */
static bool
other_table_reported(const struct entry *e)
{
	const struct relay_freshness *k = &e->relay.known[RELAY_CONFIGURATION];

	return e->table != NULL && k->differed >= 0 && k->differed > k->asked;
}

void
entry_table_request(struct entry *e, msec now)
{
	struct entry_table_transfer *t = &e->table_transfer;
	struct member *nodes[TABLE_ASKED_NODES + 1];
	sp_msg msg = { .kind = SP_TABLE_ASK };
	sp_table_ask *ask = &msg.sp_msg_u.table_ask;
	unsigned int i, n;

	if (!other_table_reported(e))
		return;
	ask->have = e->table->version;
	ask->want = t->version;
	ask->parts = t->parts;
	n = entry_draw_nodes(e, nodes, TABLE_ASKED_NODES);
	nodes[n] = members_find(&e->members, e->relay.reader);
	n += nodes[n] != NULL;
	for (i = 0; i < n; i++)
		entry_send_apart(
		    e, nodes[i]->address, nodes[i]->peer_port, &msg);
}

static uint32_t
part_length(uint32_t total, uint32_t part)
{
	return MIN(total - part * SAVORY_TABLE_PART_MAX, SAVORY_TABLE_PART_MAX);
}

/* Is the text short enough, and the part as long as its index requires? */
static bool
part_is_valid(const sp_table_part *p)
{
	return p->total > 0 && p->total <= TABLE_TEXT_MAX &&
	       p->part < (p->total + SAVORY_TABLE_PART_MAX - 1) /
			     SAVORY_TABLE_PART_MAX &&
	       p->bytes.bytes_len == part_length(p->total, p->part);
}

static bool
table_is_complete(const struct entry_table_transfer *t)
{
	uint32_t n =
	    (t->total + SAVORY_TABLE_PART_MAX - 1) / SAVORY_TABLE_PART_MAX;

	return t->parts == UINT64_MAX >> (64 - n);
}

static void
table_send_parts(
    struct entry *e, uint32_t address, uint16_t port, const sp_table_ask *ask)
{
	const struct route_table *t = e->table;
	sp_msg msg = { .kind = SP_TABLE_PART };
	sp_table_part *p = &msg.sp_msg_u.table_part;
	uint64_t got;
	const char *text;
	gsize size, at;

	if (t == NULL || t->text == NULL || t->version <= ask->have)
		return;
	text = g_bytes_get_data(t->text, &size);
	if (size > TABLE_TEXT_MAX)
		return;
	got = ask->want == t->version ? ask->parts : 0;
	p->table = t->version;
	p->total = (u_int)size;
	for (at = 0; at < size; at += SAVORY_TABLE_PART_MAX) {
		p->part = (u_int)(at / SAVORY_TABLE_PART_MAX);
		if ((got >> p->part & 1) != 0)
			continue;
		p->bytes.bytes_len = part_length(p->total, p->part);
		p->bytes.bytes_val = (char *)text + at;
		net_send(&e->net, address, port, &msg);
	}
}

/*
 * Put the received configuration in force. Receiving it does not prove that it
 * is the newest one. The proof is the answers of the reader, the node that
 * reads the platform for the others (relay.h).
 */
static void
table_apply(struct entry *e, msec now)
{
	struct entry_table_transfer *t = &e->table_transfer;
	struct route_table *table;
	uint64_t version = t->version;

	table = e->source->ops->decode_table(
	    e->source, (const char *)t->text->data, t->text->len);
	table_transfer_reset(t);
	if (table == NULL || table->version != version) {
		t->dropped++;
		route_table_drop(table);
		return;
	}
	t->taken++;
	entry_take_table(e, table, now);
	relay_state_received(&e->relay, RELAY_CONFIGURATION,
	    entry_era_mix_into_mark(e, e->table->version));
}

static void
table_receive_part(struct entry *e, const sp_table_part *p, msec now)
{
	struct entry_table_transfer *t = &e->table_transfer;

	if (e->table == NULL || p->table <= e->table->version)
		return;
	if (!part_is_valid(p)) {
		t->dropped++;
		return;
	}
	if (t->version != p->table || t->total != p->total) {
		table_transfer_reset(t);
		t->version = p->table;
		t->total = p->total;
		g_byte_array_set_size(t->text, p->total);
	}
	memcpy(t->text->data + p->part * SAVORY_TABLE_PART_MAX,
	    p->bytes.bytes_val, p->bytes.bytes_len);
	t->parts |= (uint64_t)1 << p->part;
	if (table_is_complete(t))
		table_apply(e, now);
}

void
entry_table_receive(struct entry *e, name_id from, uint32_t address,
    uint16_t port, const sp_msg *msg, msec now)
{
	if (msg->kind == SP_TABLE_ASK) {
		if (members_find(&e->members, from) != NULL)
			table_send_parts(
			    e, address, port, &msg->sp_msg_u.table_ask);
		return;
	}
	if (members_find(&e->members, from) != NULL) {
		table_receive_part(e, &msg->sp_msg_u.table_part, now);
		return;
	}
	log_debug("dropped a configuration part from an unknown node");
	e->table_transfer.dropped++;
}
