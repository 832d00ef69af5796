/*
 * The other nodes as carriers; see entry-carrier.h.
 */

#define LOG_PART "handoff"
#include "entry-carrier.h"

static struct entry_carrier *
carrier_get(struct entry *e, const struct member *m)
{
	struct entry_carrier *c;

	TAILQ_FOREACH (c, &e->handoff.carriers, entry) {
		if (c->server.id == m->id)
			break;
	}
	if (c == NULL) {
		c = g_new0(struct entry_carrier, 1);
		c->server.id = m->id;
		g_strlcpy(c->server.name, m->name, sizeof c->server.name);
		c->server.state = SERVER_READY;
		TAILQ_INSERT_TAIL(&e->handoff.carriers, c, entry);
	}
	/* Connections to an earlier process are not used any more. */
	if (c->incarnation != m->incarnation) {
		c->incarnation = m->incarnation;
		c->server.starts++;
		link_close_idle(e, &c->server);
	}
	c->server.address = m->address;
	c->server.port = m->peer_port;
	return c;
}

void
entry_carrier_avoid(
    struct entry_carrier *c, msec now, enum job_code why, bool began)
{
	enum handoff_failure f = HANDOFF_FAILED;

	if (why == JOB_STARTING)
		f = HANDOFF_BEHIND;
	else if (why == JOB_CARRIER_FULL)
		f = HANDOFF_FULL;
	else if (why == JOB_LEAVING)
		f = HANDOFF_LEAVING;
	else if (began)
		f = HANDOFF_CUT_OFF;
	handoff_rest_after(&c->rest, now, f);
}

static bool
member_may_carry(const struct member *m)
{
	if (m->state == MEMBER_LEAVING)
		return m->peer_port != 0;
	return m->state == MEMBER_ALIVE && m->peer_port != 0 &&
	       (m->load_at == MSEC_NEVER ||
		   m->load_permille < ENTRY_LOAD_NOT_READY);
}

struct entry_carrier *
entry_carrier_choose(struct entry *e, msec now)
{
	g_autoptr(GArray) list =
	    g_array_new(FALSE, FALSE, sizeof(struct handoff_candidate));
	struct handoff_candidate candidate;
	struct entry_carrier *c;
	struct member *m;
	int i;

	RB_FOREACH (m, member_tree, &e->members.tree) {
		if (!member_may_carry(m))
			continue;
		c = carrier_get(e, m);
		candidate = (struct handoff_candidate){ m->id, c->requests,
			now < c->rest.avoided_until,
			m->leaving || now < c->rest.last_resort_until ||
			    (m->load_at != MSEC_NEVER &&
				m->load_permille >= ENTRY_LOAD_NO_PATH) };
		g_array_append_val(list, candidate);
	}
	i = handoff_choose(
	    (struct handoff_candidate *)list->data, list->len, e->rand);
	if (i == -1)
		return NULL;
	m = members_find(
	    &e->members, g_array_index(list, struct handoff_candidate, i).id);
	return carrier_get(e, m);
}

void
entry_carriers_tick(struct entry *e)
{
	struct entry_carrier *c, *next;

	TAILQ_FOREACH_SAFE (c, &e->handoff.carriers, entry, next) {
		if (c->requests > 0 || c->server.links > 0 ||
		    members_find(&e->members, c->server.id) != NULL)
			continue;
		TAILQ_REMOVE(&e->handoff.carriers, c, entry);
		link_pool_free(&c->server);
		g_free(c);
	}
}

void
entry_carriers_finish(struct entry *e)
{
	struct entry_carrier *c;

	while ((c = TAILQ_FIRST(&e->handoff.carriers)) != NULL) {
		TAILQ_REMOVE(&e->handoff.carriers, c, entry);
		link_close_idle(e, &c->server);
		link_pool_free(&c->server);
		g_free(c);
	}
}
