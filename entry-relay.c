/*
 * The entry VM's side of relay.c, which shares reads of the platform among the
 * nodes: decides when this node reads the platform itself. Changes of the
 * server list are passed on in entry-list.c.
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

static void
entry_relay_news(
    struct relay *r, enum relay_subject s, const name_id *to, unsigned int n)
{
	if (s == RELAY_SERVERS)
		entry_list_send_changes(entry_of_relay(r), to, n);
}

static const struct relay_ops entry_relay_ops = { entry_relay_send,
	entry_relay_proven, entry_relay_read_source, entry_relay_news };

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
