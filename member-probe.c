/*
 * SWIM's failure detector. One member is probed per period, in a shuffled
 * order over all live members, which bounds the time between two probes of a
 * member. A member that does not answer in time is probed indirectly, through
 * a few other members; without an answer by the end of the period it becomes
 * suspect. Dead members that are still on the VM list are probed from time to
 * time, so that the two sides of a network partition reconnect.
 */

#define LOG_PART "member"
#include "member-private.h"

#include <string.h>

/* Random draws to find a live member. */
#define RANDOM_TRIES 16
/* Of a node's probes one in this many goes to another failure domain. */
#define PROBE_ACROSS_ONE_IN 4
/* Live members in its failure domain from which a node prefers them. */
#define DOMAIN_LARGE 8

static void order_shuffle(struct members *);
static struct member *probe_next_target(struct members *);
static struct member *random_dead_listed(struct members *);
static void probe_dead_member(struct members *, msec);
static void probe_request_indirect(struct members *, msec);
static void
probe_fill(struct members *, msec, sp_probe *, const struct member *, name_id);
static void probe_ack(struct members *, msec, const struct member *, name_id,
    uint32_t, uint16_t, uint32_t, name_id);
static void probe_handle_request(
    struct members *, msec, uint32_t, uint16_t, const sp_probe_request *);
static void probe_handle_ack(struct members *, msec, name_id, const sp_probe *);

bool
member_is_near(const struct members *ms, const struct member *m)
{
	return strcmp(m->domain, ms->self.domain) == 0;
}

bool
member_domain_is_large(const struct members *ms)
{
	return ms->priv->order_own >= DOMAIN_LARGE;
}

/* Starts a new round over the live members, in random order. */
static void
order_shuffle(struct members *ms)
{
	struct member_state_data *p = ms->priv;
	struct member *m;
	name_id *a, id;
	guint i, j;

	g_array_set_size(p->probe_order, 0);
	p->next_in_order = 0;
	p->order_own = 0;
	RB_FOREACH (m, member_tree, &ms->tree) {
		if (!member_is_live(m))
			continue;
		g_array_append_val(p->probe_order, m->id);
		p->order_own += member_is_near(ms, m);
	}
	a = (name_id *)(void *)p->probe_order->data;
	for (i = p->probe_order->len; i > 1; i--) {
		j = (guint)g_rand_int_range(p->rand, 0, (gint32)i);
		id = a[i - 1];
		a[i - 1] = a[j];
		a[j] = id;
	}
}

/* Inserts into the rest of the round, so that a new member is probed soon. */
void
member_order_insert(struct members *ms, const struct member *m)
{
	struct member_state_data *p = ms->priv;
	name_id id = m->id;
	guint i;

	for (i = 0; i < p->probe_order->len; i++) {
		if (g_array_index(p->probe_order, name_id, i) == id)
			return;
	}
	i = (guint)g_rand_int_range(
	    p->rand, (gint32)p->next_in_order, (gint32)p->probe_order->len + 1);
	g_array_insert_val(p->probe_order, i, id);
	p->order_own += member_is_near(ms, m);
}

/* Whether a member of another failure domain is suspect. */
static bool
probe_suspects_across(const struct members *ms)
{
	const struct member *m;

	TAILQ_FOREACH (m, &ms->priv->suspects, suspect_entry) {
		if (!member_is_near(ms, m))
			return true;
	}
	return false;
}

/*
 * Whether a member is left out of this round. Each node is watched by the
 * members of its failure domain; only a part of the probes goes to others,
 * enough to notice that a whole domain is lost or cut off. When one of their
 * members is suspect, all are probed, so that the rest of a lost domain is
 * found at once.
 */
static bool
probe_skips(struct members *ms, const struct member *m, bool all)
{
	struct member_state_data *p = ms->priv;
	unsigned int others = p->probe_order->len - p->order_own;
	double part;

	if (all || others == 0 || member_is_near(ms, m))
		return false;
	part = (double)p->order_own / ((PROBE_ACROSS_ONE_IN - 1.0) * others);
	return g_rand_double(p->rand) >= part;
}

static struct member *
probe_next_target(struct members *ms)
{
	struct member_state_data *p = ms->priv;
	bool all = !member_domain_is_large(ms) || probe_suspects_across(ms);
	unsigned int rounds = 0;
	struct member *m;
	name_id id;

	while (rounds < 2) {
		if (p->next_in_order >= p->probe_order->len) {
			order_shuffle(ms);
			rounds++;
			if (p->probe_order->len == 0)
				return NULL;
		}
		id = g_array_index(p->probe_order, name_id, p->next_in_order++);
		m = members_find(ms, id);
		if (m != NULL && member_is_live(m) && !probe_skips(ms, m, all))
			return m;
	}
	return NULL;
}

/* A random alive or leaving member other than `except`, or NULL. */
struct member *
member_random_live(struct members *ms, name_id except)
{
	struct member_state_data *p = ms->priv;
	struct member *m;
	unsigned int i, at;

	for (i = 0; i < RANDOM_TRIES && p->probe_order->len > 0; i++) {
		at = (unsigned int)g_rand_int_range(
		    p->rand, 0, (gint32)p->probe_order->len);
		m = members_find(
		    ms, g_array_index(p->probe_order, name_id, at));
		if (m == NULL || m->id == except)
			continue;
		if (m->state == MEMBER_ALIVE || m->state == MEMBER_LEAVING)
			return m;
	}
	return NULL;
}

/* The same, of the own failure domain if that is large. */
struct member *
member_random_near(struct members *ms)
{
	struct member *m;
	unsigned int i;

	for (i = 0; i < RANDOM_TRIES && member_domain_is_large(ms); i++) {
		m = member_random_live(ms, 0);
		if (m != NULL && member_is_near(ms, m))
			return m;
	}
	return member_random_live(ms, 0);
}

static void
probe_fill(struct members *ms, msec now, sp_probe *probe,
    const struct member *to, name_id to_id)
{
	struct member_state_data *p = ms->priv;
	const struct member *about = NULL;

	if (to == NULL || to->incarnation == 0)
		about = &ms->self;
	else if (to->state == MEMBER_SUSPECT || to->state == MEMBER_DEAD)
		about = to;
	probe->self.document_version = ms->self.document_version;
	probe->self.load_permille = ms->self.load_permille;
	probe->self.leaving = ms->self.leaving;
	probe->newest_version = p->newest_version;
	probe->loads.loads_val = p->out_loads;
	probe->loads.loads_len = member_fill_loads(ms, now, to_id);
	probe->news.news_val = p->out_updates;
	probe->news.news_len = member_fill_updates(ms, about);
}

void
member_probe_send(struct members *ms, msec now, struct member *m, uint32_t seq)
{
	sp_msg msg;

	memset(&msg, 0, sizeof msg);
	msg.kind = SP_PROBE;
	msg.sp_msg_u.probe.seq = seq;
	probe_fill(ms, now, &msg.sp_msg_u.probe, m, m->id);
	ms->counters.probes++;
	ms->ops->send(ms, m->address, m->peer_port, &msg);
}

/*
 * Sends the local node's state only: 211 bytes on the wire, 63 KB for a fleet
 * of 300. The message is an unsolicited ack, as receivers do not answer acks.
 * In the answer to an announcement on_behalf_of names the receiver, which then
 * need not announce itself again.
 */
void
member_announce_to(struct members *ms, struct member *m, bool answer)
{
	sp_news self;
	sp_msg msg;

	memset(&msg, 0, sizeof msg);
	member_make_update(&ms->self, &self);
	msg.kind = SP_PROBE_ACK;
	msg.sp_msg_u.probe_ack.self.document_version =
	    ms->self.document_version;
	msg.sp_msg_u.probe_ack.self.load_permille = ms->self.load_permille;
	msg.sp_msg_u.probe_ack.self.leaving = ms->self.leaving;
	msg.sp_msg_u.probe_ack.newest_version = ms->priv->newest_version;
	msg.sp_msg_u.probe_ack.on_behalf_of = answer ? m->id : 0;
	msg.sp_msg_u.probe_ack.news.news_val = &self;
	msg.sp_msg_u.probe_ack.news.news_len = 1;
	m->announced = true;
	ms->ops->send(ms, m->address, m->peer_port, &msg);
}

/*
 * Announces the local node directly, as gossip by probes reaches the last of
 * 60 nodes only after 2.8 s. Until then, callers are still sent to a leaving
 * node, for longer than it can serve them; a restarted node gets no requests,
 * and nodes that do not all know it disagree on the coordinators. Announcements
 * that are lost are repaired by the probes.
 */
void
member_announce_all(struct members *ms, bool again)
{
	struct member *m;

	ms->priv->has_unannounced = false;
	RB_FOREACH (m, member_tree, &ms->tree) {
		if (m->announced && !again)
			continue;
		if (member_is_live(m) || m->listed)
			member_announce_to(ms, m, false);
	}
}

/* A dead listed member, chosen uniformly at random, or NULL. */
static struct member *
random_dead_listed(struct members *ms)
{
	struct member *m, *found = NULL;
	gint32 n = 0;

	RB_FOREACH (m, member_tree, &ms->tree) {
		if (!m->listed || m->state != MEMBER_DEAD)
			continue;
		if (g_rand_int_range(ms->priv->rand, 0, ++n) == 0)
			found = m;
	}
	return found;
}

static void
probe_dead_member(struct members *ms, msec now)
{
	struct member_state_data *p = ms->priv;
	struct member *m;

	if (p->members == p->live)
		return;
	if (p->live > 0 && p->period % MEMBER_RECONNECT_PERIODS != 0)
		return;
	if ((m = random_dead_listed(ms)) == NULL)
		return;
	ms->counters.reconnects++;
	member_probe_send(ms, now, m, ++p->seq);
}

void
member_probe_start(struct members *ms, msec now)
{
	struct member_state_data *p = ms->priv;
	struct member *m;

	probe_dead_member(ms, now);
	memset(&p->probe, 0, sizeof p->probe);
	if ((m = probe_next_target(ms)) == NULL)
		return;
	p->probe.target = m->id;
	p->probe.incarnation = m->incarnation;
	p->probe.seq = ++p->seq;
	p->probe.sent = now;
	member_probe_send(ms, now, m, p->probe.seq);
}

static void
probe_request_indirect(struct members *ms, msec now)
{
	struct member_state_data *p = ms->priv;
	name_id asked[MEMBER_INDIRECT_PROBES] = { 0 };
	unsigned int i, j, n = 0;
	struct member *m;
	sp_msg msg;

	for (i = 0;
	     i < 2 * MEMBER_INDIRECT_PROBES && n < MEMBER_INDIRECT_PROBES;
	     i++) {
		if ((m = member_random_live(ms, p->probe.target)) == NULL)
			return;
		for (j = 0; j < n && asked[j] != m->id; j++)
			;
		if (j < n)
			continue;
		asked[n++] = m->id;
		memset(&msg, 0, sizeof msg);
		msg.kind = SP_PROBE_REQUEST;
		msg.sp_msg_u.probe_request.seq = p->probe.seq;
		msg.sp_msg_u.probe_request.target = p->probe.target;
		ms->ops->send(ms, m->address, m->peer_port, &msg);
	}
}

/*
 * Checks the pending probe: requests indirect probes at its timeout, makes the
 * target suspect at the end of the period.
 */
void
member_probe_check(struct members *ms, msec now)
{
	struct member_state_data *p = ms->priv;
	struct member_probe *probe = &p->probe;
	struct member *m;

	if (probe->target == 0 || probe->acked)
		return;
	m = members_find(ms, probe->target);
	/* A probe of the previous process says nothing about a new one. */
	if (m == NULL || m->state == MEMBER_DEAD ||
	    m->incarnation != probe->incarnation) {
		probe->target = 0;
		return;
	}
	if (!probe->relayed && now >= probe->sent + p->probe_timeout) {
		probe->relayed = true;
		member_probe_send(ms, now, m, probe->seq);
		probe_request_indirect(ms, now);
	}
	if (now < p->next_probe)
		return;
	probe->target = 0;
	ms->counters.probes_failed++;
	if (m->state == MEMBER_SUSPECT)
		return;
	ms->counters.suspected++;
	member_set_state(ms, now, m, MEMBER_SUSPECT, m->leaving);
	/* Informs the suspect at once, to leave it time to refute. */
	member_probe_send(ms, now, m, ++p->seq);
}

msec
member_probe_due(const struct members *ms)
{
	const struct member_state_data *p = ms->priv;
	const struct member_probe *probe = &p->probe;

	if (probe->target == 0 || probe->acked || probe->relayed)
		return p->next_probe;
	return MIN(p->next_probe, probe->sent + p->probe_timeout);
}

static void
probe_ack(struct members *ms, msec now, const struct member *to, name_id to_id,
    uint32_t address, uint16_t port, uint32_t seq, name_id on_behalf_of)
{
	sp_msg msg;

	memset(&msg, 0, sizeof msg);
	msg.kind = SP_PROBE_ACK;
	msg.sp_msg_u.probe_ack.seq = seq;
	msg.sp_msg_u.probe_ack.on_behalf_of = on_behalf_of;
	probe_fill(ms, now, &msg.sp_msg_u.probe_ack, to, to_id);
	ms->ops->send(ms, address, port, &msg);
}

static void
probe_handle_request(struct members *ms, msec now, uint32_t address,
    uint16_t port, const sp_probe_request *req)
{
	struct member_state_data *p = ms->priv;
	struct member *m = members_find(ms, req->target);
	struct indirect_probe *r;

	if (m == NULL)
		return;
	r = &p->indirect_probes[p->next_indirect_probe++ %
				MEMBER_INDIRECT_PENDING_MAX];
	r->seq = ++p->seq;
	r->requester_seq = req->seq;
	r->address = address;
	r->port = port;
	r->target = m->id;
	ms->counters.relayed++;
	member_probe_send(ms, now, m, r->seq);
}

static void
probe_handle_ack(
    struct members *ms, msec now, name_id from, const sp_probe *ack)
{
	struct member_state_data *p = ms->priv;
	struct indirect_probe *r;
	unsigned int i;

	if (p->probe.target != 0 && ack->seq == p->probe.seq &&
	    (from == p->probe.target || ack->on_behalf_of == p->probe.target)) {
		p->probe.acked = true;
		return;
	}
	for (i = 0; i < MEMBER_INDIRECT_PENDING_MAX; i++) {
		r = &p->indirect_probes[i];
		if (r->seq == 0 || r->seq != ack->seq || r->target != from)
			continue;
		r->seq = 0;
		probe_ack(ms, now, NULL, 0, r->address, r->port,
		    r->requester_seq, from);
		return;
	}
}

/* Whether the message is from member_announce_to(): acks of probes have a
 * sequence number other than 0. */
static bool
probe_is_announcement(const sp_msg *msg)
{
	return msg->kind == SP_PROBE_ACK && msg->sp_msg_u.probe_ack.seq == 0;
}

/* `m` is the sender, or NULL if that incarnation of it is unknown. */
void
member_probe_receive(struct members *ms, msec now, struct member *m,
    name_id from, uint32_t address, uint16_t port, const sp_msg *msg)
{
	const sp_probe *probe = &msg->sp_msg_u.probe;
	u_int i;

	if (msg->kind == SP_PROBE_REQUEST) {
		probe_handle_request(
		    ms, now, address, port, &msg->sp_msg_u.probe_request);
		return;
	}
	/*
	 * The load in an announcement is ignored. Guards against nodes that
	 * others take as full for long after a start of the whole fleet: a node
	 * is announced before it serves, and in a large fleet its next load
	 * report arrives up to 45 s later.
	 */
	member_merge_loads(
	    ms, now, probe_is_announcement(msg) ? NULL : m, probe);
	if (probe_is_announcement(msg))
		ms->priv->transmissions_max = MEMBER_ANNOUNCED_TRANSMISSIONS;
	for (i = 0; i < probe->news.news_len; i++)
		member_merge_update(ms, now, &probe->news.news_val[i]);
	ms->priv->transmissions_max = 0;
	if (msg->kind == SP_PROBE_ACK)
		probe_handle_ack(ms, now, from, probe);
	else
		probe_ack(ms, now, members_find(ms, from), from, address, port,
		    probe->seq, 0);
}
