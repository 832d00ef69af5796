/*
 * The membership table: members by id, their states, and the timers. The other
 * parts are member-news.c (gossip), member-probe.c (failure detection),
 * member-sync.c (full state transfer) and member-list.c (VM list).
 */

#define LOG_PART "member"
#include "member-private.h"

#include <inttypes.h>
#include <string.h>

#define MEMBER_PROBE_INTERVAL ((msec)300)
#define MEMBER_PROBE_TIMEOUT ((msec)150)
/*
 * A leaving node announces it twice. With 300 nodes and 1% datagram loss, some
 * nodes miss the first announcement, and received the state by probes only
 * after up to 3.7 s.
 */
#define MEMBER_REPEAT_ANNOUNCEMENT ((msec)200)
#define MEMBER_SUSPECT_TIMEOUT ((msec)1200)
#define MEMBER_LIST_LAG (30 * MSEC_SECOND)

static void members_check_pause(struct members *, msec);
static void members_expire_suspects(struct members *, msec);
static msec msec_or_default(msec, msec);

RB_GENERATE(member_tree, member, entry, member_compare)

int
member_compare(struct member *a, struct member *b)
{
	if (a->id == b->id)
		return 0;
	return a->id < b->id ? -1 : 1;
}

static msec
msec_or_default(msec value, msec otherwise)
{
	return value != 0 ? value : otherwise;
}

const char *
member_state_name(enum member_state state)
{
	switch (state) {
	case MEMBER_ALIVE:
		return "alive";
	case MEMBER_LEAVING:
		return "leaving";
	case MEMBER_SUSPECT:
		return "suspect";
	case MEMBER_DEAD:
		return "dead";
	}
	return "unknown";
}

void
members_init(struct members *ms, const struct member_ops *ops,
    const struct member_config *cfg, msec now)
{
	struct member_state_data *p;
	struct member *self = &ms->self;

	memset(ms, 0, sizeof *ms);
	ms->ops = ops;
	RB_INIT(&ms->tree);
	p = ms->priv = g_new0(struct member_state_data, 1);
	p->probe_interval =
	    msec_or_default(cfg->probe_interval, MEMBER_PROBE_INTERVAL);
	p->probe_timeout =
	    msec_or_default(cfg->probe_timeout, MEMBER_PROBE_TIMEOUT);
	p->suspect_timeout =
	    msec_or_default(cfg->suspect_timeout, MEMBER_SUSPECT_TIMEOUT);
	p->list_lag = msec_or_default(cfg->list_lag, MEMBER_LIST_LAG);
	p->rand = g_rand_new_with_seed(cfg->seed);
	p->probe_order = g_array_new(FALSE, FALSE, sizeof(name_id));
	TAILQ_INIT(&p->update_queue);
	TAILQ_INIT(&p->suspects);
	p->joining = true;
	p->next_announcement = MSEC_NEVER;
	p->update_requests_left = MEMBER_UPDATE_REQUESTS_MAX;
	/* Random offset: nodes that start together do not probe in sync. */
	p->next_probe =
	    now + g_rand_int_range(p->rand, 0, (gint32)p->probe_interval);
	p->next_sweep = now + MEMBER_SWEEP_INTERVAL;
	p->next_tick = p->next_probe;

	self->id = name_hash(cfg->name);
	g_strlcpy(self->name, cfg->name, sizeof self->name);
	g_strlcpy(self->domain, cfg->domain, sizeof self->domain);
	self->incarnation = cfg->incarnation;
	self->incarnation_since = now;
	self->state = MEMBER_ALIVE;
	self->state_since = now;
	self->address = cfg->address;
	self->peer_port = cfg->peer_port;
	self->caller_port = cfg->caller_port;
	self->control_port = cfg->control_port;
	self->load_at = now;
	member_queue_update(ms, self);
}

void
members_finish(struct members *ms)
{
	struct member_state_data *p = ms->priv;
	struct member *m;

	while ((m = RB_MIN(member_tree, &ms->tree)) != NULL)
		member_remove(ms, m);
	g_array_unref(p->probe_order);
	g_rand_free(p->rand);
	g_free(p);
	ms->priv = NULL;
}

struct member *
members_find(struct members *ms, name_id id)
{
	struct member find;

	find.id = id;
	return RB_FIND(member_tree, &ms->tree, &find);
}

bool
member_is_live(const struct member *m)
{
	return m->state != MEMBER_DEAD;
}

/* Adds a member in state MEMBER_DEAD with incarnation 0; NULL if full. */
struct member *
member_add(struct members *ms, msec now, name_id id, const char *name)
{
	struct member *m;

	if (ms->priv->members == MEMBERS_MAX) {
		log_warn(
		    "more than %d members, %s is ignored", MEMBERS_MAX, name);
		return NULL;
	}
	m = g_new0(struct member, 1);
	m->id = id;
	g_strlcpy(m->name, name, sizeof m->name);
	m->state = MEMBER_DEAD;
	m->state_since = now;
	m->load_at = MSEC_NEVER;
	RB_INSERT(member_tree, &ms->tree, m);
	ms->priv->has_unannounced = true;
	ms->priv->members++;
	return m;
}

void
member_remove(struct members *ms, struct member *m)
{
	struct member_state_data *p = ms->priv;

	member_unqueue_update(ms, m);
	if (m->state == MEMBER_SUSPECT)
		TAILQ_REMOVE(&p->suspects, m, suspect_entry);
	if (member_is_live(m))
		p->live--;
	RB_REMOVE(member_tree, &ms->tree, m);
	p->members--;
	g_free(m);
}

void
member_set_state(struct members *ms, msec now, struct member *m,
    enum member_state state, bool leaving)
{
	struct member_state_data *p = ms->priv;
	bool was_live = member_is_live(m);

	if (leaving && state == MEMBER_ALIVE)
		state = MEMBER_LEAVING;
	log_debug("%s is now %s, was %s", m->name, member_state_name(state),
	    member_state_name(m->state));
	m->leaving = leaving;
	if (state != m->state) {
		if (m->state == MEMBER_SUSPECT)
			TAILQ_REMOVE(&p->suspects, m, suspect_entry);
		if (state == MEMBER_SUSPECT)
			TAILQ_INSERT_TAIL(&p->suspects, m, suspect_entry);
		m->state = state;
		m->state_since = now;
	}
	if (m != &ms->self && member_is_live(m) != was_live) {
		p->live += was_live ? -1 : 1;
		if (!was_live)
			member_order_insert(ms, m);
	}
	member_queue_update(ms, m);
	ms->ops->changed(ms, m);
}

/*
 * Guards against a pause of this process: probe answers and refutations were
 * waiting unread in the meantime, and members would seem not to have answered.
 * A tick that is a whole probe period late indicates a pause; the pending probe
 * is then dropped and the timeouts of all suspects restart.
 */
static void
members_check_pause(struct members *ms, msec now)
{
	struct member_state_data *p = ms->priv;
	struct member *m;

	if (now - p->next_tick < p->probe_interval)
		return;
	log_debug("tick %" PRId64 " ms late, suspicion timeouts restarted",
	    now - p->next_tick);
	ms->counters.pauses++;
	p->probe.target = 0;
	TAILQ_FOREACH (m, &p->suspects, suspect_entry)
		m->state_since = now;
}

static void
members_expire_suspects(struct members *ms, msec now)
{
	struct member_state_data *p = ms->priv;
	struct member *m;

	while ((m = TAILQ_FIRST(&p->suspects)) != NULL) {
		if (now < m->state_since + p->suspect_timeout)
			return;
		ms->counters.died++;
		member_set_state(ms, now, m, MEMBER_DEAD, m->leaving);
	}
}

msec
members_tick(struct members *ms, msec now)
{
	struct member_state_data *p = ms->priv;
	struct member *m;
	msec due;

	if (p->has_unannounced)
		member_announce_all(ms, false);
	if (now >= p->next_announcement) {
		p->next_announcement = MSEC_NEVER;
		member_announce_all(ms, true);
	}
	members_check_pause(ms, now);
	members_expire_suspects(ms, now);
	member_probe_check(ms, now);
	if (now >= p->next_probe) {
		p->update_requests_left = MEMBER_UPDATE_REQUESTS_MAX;
		p->next_probe = now + p->probe_interval;
		member_probe_start(ms, now);
		if (p->joining || p->period % MEMBER_SYNC_PERIODS == 0)
			member_sync_start(ms, now);
		p->period++;
	}
	if (now >= p->next_sweep) {
		p->next_sweep = now + MEMBER_SWEEP_INTERVAL;
		member_remove_expired(ms, now);
	}
	due = MIN(member_probe_due(ms), p->next_sweep);
	due = MIN(due, p->next_announcement);
	if ((m = TAILQ_FIRST(&p->suspects)) != NULL)
		due = MIN(due, m->state_since + p->suspect_timeout);
	p->next_tick = due;
	return due;
}

/*
 * Handles a first message of an unknown incarnation. If the message contained
 * the sender's own update, the local node announces itself in return: of two
 * nodes that start together, the first announcement of one may arrive before
 * the other listens. Otherwise the update is requested. Requesting it from
 * every sender is too slow, as requests are limited per period: 300 nodes took
 * 23 s to know each other.
 */
static void
members_handle_unknown_sender(struct members *ms, name_id from,
    uint64_t incarnation, uint32_t address, uint16_t port, const sp_msg *msg)
{
	struct member *m = members_find(ms, from);

	if (m == NULL || m->incarnation < incarnation)
		member_request_update(ms, from, address, port);
	else if (msg->kind == SP_PROBE_ACK && !m->leaving &&
		 msg->sp_msg_u.probe_ack.on_behalf_of != ms->self.id)
		member_announce_to(ms, m, true);
}

void
members_receive(struct members *ms, msec now, name_id from,
    uint64_t incarnation, uint32_t address, uint16_t port, const sp_msg *msg)
{
	struct member *m;

	/* Incarnation 0 means that no message was received; no process has it.
	 */
	if (msg->kind > SP_SYNC_PAGE || from == ms->self.id || incarnation == 0)
		return;
	m = members_find(ms, from);
	if (m != NULL && incarnation < m->incarnation) {
		log_debug(
		    "message of an earlier process of %s ignored", m->name);
		return;
	}
	if (m != NULL && incarnation > m->incarnation)
		m = NULL;
	if (msg->kind == SP_SYNC || msg->kind == SP_SYNC_PAGE)
		member_sync_receive(ms, now, from, address, port, msg);
	else
		member_probe_receive(ms, now, m, from, address, port, msg);
	if (m == NULL)
		members_handle_unknown_sender(
		    ms, from, incarnation, address, port, msg);
}

void
members_set_self(struct members *ms, uint64_t version, unsigned int load)
{
	ms->self.document_version = version;
	ms->self.load_permille = load;
	ms->self.answers_since_load = 0;
	ms->priv->newest_version = MAX(ms->priv->newest_version, version);
}

uint64_t
members_newest_version(const struct members *ms)
{
	return ms->priv->newest_version;
}

void
members_leave(struct members *ms, msec now)
{
	if (ms->self.leaving)
		return;
	log_info("%s is leaving", ms->self.name);
	member_set_state(ms, now, &ms->self, MEMBER_ALIVE, true);
	member_announce_all(ms, true);
	ms->priv->next_announcement = now + MEMBER_REPEAT_ANNOUNCEMENT;
}

char *
members_dump(struct members *ms, msec now)
{
	const struct member_counters *c = &ms->counters;
	GString *s = g_string_new(NULL);
	struct member *m;

	g_string_append_printf(s,
	    "self %s domain %s incarnation %" PRIu64 " state %s\n",
	    ms->self.name, ms->self.domain, ms->self.incarnation,
	    member_state_name(ms->self.state));
	g_string_append_printf(s,
	    "members %u live %u newest-version %" PRIu64 "\n",
	    ms->priv->members, ms->priv->live, ms->priv->newest_version);
	RB_FOREACH (m, member_tree, &ms->tree)
		g_string_append_printf(s,
		    "member %s domain %s incarnation %" PRIu64
		    " state %s for-ms %" PRId64 "%s listed %s version %" PRIu64
		    " load-permille %u load-age-ms %" PRId64 "\n",
		    m->name, m->domain, m->incarnation,
		    member_state_name(m->state), now - m->state_since,
		    m->leaving ? " (leaving)" : "", m->listed ? "yes" : "no",
		    m->document_version, m->load_permille,
		    m->load_at == MSEC_NEVER ? -1 : now - m->load_at);
	g_string_append_printf(s,
	    "probes %" PRIu64 " failed %" PRIu64 " relayed %" PRIu64
	    " reconnects %" PRIu64 " suspected %" PRIu64 " died %" PRIu64
	    " refuted %" PRIu64 " syncs %" PRIu64 " lists-held %" PRIu64
	    " pauses %" PRIu64 "\n",
	    c->probes, c->probes_failed, c->relayed, c->reconnects,
	    c->suspected, c->died, c->refuted, c->syncs, c->lists_held,
	    c->pauses);
	return g_string_free(s, FALSE);
}
