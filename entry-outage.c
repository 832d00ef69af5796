/*
 * Outages of the platform, asked of and told to other nodes; see
 * entry-outage.h.
 */

#define LOG_PART "outage"
#include "entry.h"

/*
 * Nodes in each query, drawn anew each time: whoever is refused by the platform
 * itself knows no more than this node.
 */
#define OUTAGE_ASKED_NODES 3
#define OUTAGE_ASK_EVERY_MS 300

void
entry_outage_init(struct entry *e)
{
	e->outage = (struct entry_outage){ .asked = MSEC_NEVER };
	outage_init(&e->outage.core);
}

static void
outage_apply(struct entry *e, msec now)
{
	struct entry_outage *x = &e->outage;
	bool on = outage_is_on(&x->core, now);
	msec hold_end = outage_hold_end(&x->core);

	servers_set_outage(&e->servers, on, hold_end);
	if (on == x->is_on || e->phase == ENTRY_STARTING)
		return;
	x->is_on = on;
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_OUTAGE,
	    LOG_TEXT(LOG_KEY_STATE, on ? "begun" : "over"),
	    LOG_NUMBER(LOG_KEY_MS, MAX(hold_end - now, 0)));
}

void
entry_outage_served(struct entry *e, msec at, msec now)
{
	outage_served(&e->outage.core, at);
	outage_apply(e, now);
}

void
entry_outage_ask(struct entry *e, msec now)
{
	struct member *nodes[OUTAGE_ASKED_NODES];
	struct entry_outage *x = &e->outage;
	sp_msg msg = { .kind = SP_OUTAGE_ASK };
	unsigned int i, n;

	if (x->asked != MSEC_NEVER && now - x->asked < OUTAGE_ASK_EVERY_MS)
		return;
	x->asked = now;
	msg.sp_msg_u.outage_ask.seq = ++x->seq;
	n = entry_draw_nodes(e, nodes, G_N_ELEMENTS(nodes));
	for (i = 0; i < n; i++)
		entry_send_apart(
		    e, nodes[i]->address, nodes[i]->peer_port, &msg);
}

static void
outage_tell(struct entry *e, uint32_t address, uint16_t port,
    const sp_outage_ask *ask, msec now)
{
	const struct outage *o = &e->outage.core;
	sp_msg msg = { .kind = SP_OUTAGE_TELL };
	sp_outage_tell *t = &msg.sp_msg_u.outage_tell;

	if (o->served == MSEC_NEVER)
		return;
	t->seq = ask->seq;
	t->served_age_ms = (u_int)MIN(now - o->served, UINT32_MAX);
	t->steady_ms = (u_int)MIN(now - o->steady, UINT32_MAX);
	entry_send_apart(e, address, port, &msg);
}

/*
 * The answer was sent between the query and now. Both ends of the interval are
 * put where it is shortest.
 */
static void
outage_receive_tell(struct entry *e, const sp_outage_tell *t, msec now)
{
	struct entry_outage *x = &e->outage;

	if (t->seq != x->seq || x->asked == MSEC_NEVER)
		return;
	outage_told(&x->core, now - (msec)t->steady_ms,
	    x->asked - (msec)t->served_age_ms);
	outage_apply(e, now);
	servers_tick(&e->servers, now);
}

void
entry_outage_receive(struct entry *e, name_id from, uint32_t address,
    uint16_t port, const sp_msg *msg, msec now)
{
	if (members_find(&e->members, from) == NULL)
		return;
	if (msg->kind == SP_OUTAGE_ASK)
		outage_tell(e, address, port, &msg->sp_msg_u.outage_ask, now);
	else
		outage_receive_tell(e, &msg->sp_msg_u.outage_tell, now);
}

void
entry_outage_tick(struct entry *e, msec now)
{
	outage_apply(e, now);
	servers_tick(&e->servers, now);
	if (e->servers.nmissing > 0)
		entry_outage_ask(e, now);
}
