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

static const struct relay_ops entry_relay_ops = { entry_relay_send,
	entry_relay_proven, entry_relay_look };

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
	/* Nobody has published a configuration yet. */
	if (e->table == NULL) {
		relay_read_in_vain(&e->relay, RELAY_TABLE, asked);
		return;
	}
	fresh_prove(&e->fresh, asked);
	relay_read(
	    &e->relay, e->loop.now, RELAY_TABLE, e->table->version, asked);
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
	    servers_mark(&e->servers), asked);
}

void
entry_read_failed(struct entry *e, enum relay_subject s, msec now)
{
	relay_read_failed(&e->relay, now, s);
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
