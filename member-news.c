/*
 * Gossip about members, piggybacked on probes: which of two updates is newer,
 * how an update is applied, and how updates are queued and sent. Loads and the
 * document version are piggybacked in the same way.
 *
 * Updates about one member are ordered by incarnation (start of the process),
 * then by refutation number, then by state: dead over suspect over alive.
 * `leaving` is outside that order: once true it stays true for the incarnation.
 */

#define LOG_PART "member"
#include "member-private.h"

#include <inttypes.h>
#include <string.h>

/* Bytes on the wire of one update without its two names. */
#define UPDATE_FIXED_BYTES 52

static unsigned int update_transmissions(const struct members *);
static unsigned int update_size(const sp_news *);
static bool update_is_valid(const sp_news *);
static unsigned int state_rank(enum member_state);
static void update_merge_self(struct members *, msec, const sp_news *);
static void update_apply(struct members *, msec, struct member *,
    const sp_news *, enum member_state, bool);
static void member_record_load(struct member *, msec, uint64_t, unsigned int);

/*
 * Transmissions after which an update has reached all members with high
 * probability. Guards against probes full of old news after the start of a
 * large fleet, behind which new deaths wait: news from announcements and the
 * first sync, which others have already, is sent fewer times.
 */
static unsigned int
update_transmissions(const struct members *ms)
{
	unsigned int n = 4 + 2 * g_bit_storage(ms->priv->live + 1);
	unsigned int most = ms->priv->transmissions_max;

	return most != 0 ? MIN(n, most) : n;
}

void
member_queue_update(struct members *ms, struct member *m)
{
	member_unqueue_update(ms, m);
	m->transmissions_left = update_transmissions(ms);
	TAILQ_INSERT_HEAD(&ms->priv->update_queue, m, update_entry);
}

void
member_unqueue_update(struct members *ms, struct member *m)
{
	if (m->transmissions_left == 0)
		return;
	m->transmissions_left = 0;
	TAILQ_REMOVE(&ms->priv->update_queue, m, update_entry);
}

/* Borrows the member's names; they are not copied. */
void
member_make_update(const struct member *m, sp_news *n)
{
	n->name = (char *)m->name;
	n->domain = (char *)m->domain;
	n->incarnation = m->incarnation;
	n->refutation = m->refutation;
	n->state = (sp_member_state)m->state;
	n->leaving = m->leaving;
	n->address = m->address;
	n->peer_port = m->peer_port;
	n->caller_port = m->caller_port;
	n->control_port = m->control_port;
}

static unsigned int
update_size(const sp_news *n)
{
	return UPDATE_FIXED_BYTES +
	       (unsigned int)((strlen(n->name) + 3) & ~3U) +
	       (unsigned int)((strlen(n->domain) + 3) & ~3U);
}

/*
 * Fills out_updates with the update about `about`, if any, then with queued
 * ones. `about` is the receiver when it is suspect or dead here, as it can
 * refute only what it receives, or the local node when the receiver's
 * incarnation is unknown.
 */
unsigned int
member_fill_updates(struct members *ms, const struct member *about)
{
	struct member_state_data *p = ms->priv;
	struct member_queue later;
	unsigned int n = 0, bytes = 0;
	struct member *m;

	TAILQ_INIT(&later);
	if (about != NULL) {
		member_make_update(about, &p->out_updates[n]);
		bytes += update_size(&p->out_updates[n++]);
	}
	while (n < SAVORY_NEWS_MAX &&
	       (m = TAILQ_FIRST(&p->update_queue)) != NULL) {
		member_make_update(m, &p->out_updates[n]);
		if (bytes + update_size(&p->out_updates[n]) >
		    MEMBER_UPDATES_BYTES)
			break;
		TAILQ_REMOVE(&p->update_queue, m, update_entry);
		if (--m->transmissions_left > 0)
			TAILQ_INSERT_TAIL(&later, m, update_entry);
		if (m == about)
			continue;
		bytes += update_size(&p->out_updates[n++]);
	}
	TAILQ_CONCAT(&p->update_queue, &later, update_entry);
	ms->counters.news_sent += n;
	return n;
}

/* The HMAC proves that a node sent the update, not that it is valid. */
static bool
update_is_valid(const sp_news *n)
{
	if (!name_valid(n->name) || !name_valid(n->domain))
		return false;
	if (n->incarnation == 0 || n->refutation == UINT32_MAX)
		return false;
	if ((unsigned int)n->state > SP_DEAD)
		return false;
	if (n->address == 0 || n->peer_port == 0)
		return false;
	return n->peer_port <= UINT16_MAX && n->caller_port <= UINT16_MAX &&
	       n->control_port <= UINT16_MAX;
}

static unsigned int
state_rank(enum member_state state)
{
	if (state == MEMBER_DEAD)
		return 2;
	return state == MEMBER_SUSPECT ? 1 : 0;
}

/*
 * Whether an update with a greater incarnation is about the previous process
 * of this node. Guards against a clock that was set back before this process
 * started: its incarnation is then less than that of the previous process, and
 * other members ignore its messages. Only a node that is still joining can be
 * in this case: once joined, its incarnation was the greatest.
 */
static bool
update_is_about_predecessor(const struct members *ms, const sp_news *n)
{
	const struct member *self = &ms->self;

	return ms->priv->joining && !self->leaving &&
	       n->address == self->address && n->peer_port == self->peer_port;
}

static void
update_merge_self(struct members *ms, msec now, const sp_news *n)
{
	struct member *self = &ms->self;

	if (n->incarnation > self->incarnation &&
	    update_is_about_predecessor(ms, n)) {
		log_info("an earlier process of %s had a greater incarnation, "
			 "using the next one",
		    self->name);
		self->incarnation = n->incarnation + 1;
		self->incarnation_since = now;
		self->refutation = 0;
		member_queue_update(ms, self);
		ms->ops->changed(ms, self);
		return;
	}
	if (n->incarnation > self->incarnation) {
		/*
		 * This VM was replaced by one of the same name while this
		 * process was paused or partitioned. Other members ignore its
		 * messages now, so it only finishes the requests it has.
		 */
		if (!self->leaving)
			log_warn("another node runs under the name %s, leaving",
			    self->name);
		members_leave(ms, now);
		return;
	}
	if (n->incarnation < self->incarnation) {
		member_queue_update(ms, self);
		return;
	}
	if (n->leaving && !self->leaving)
		members_leave(ms, now);
	if (state_rank((enum member_state)n->state) == 0)
		return;
	if (n->refutation >= self->refutation) {
		self->refutation = n->refutation + 1;
		ms->counters.refuted++;
		log_debug("refuting state %s of this node",
		    member_state_name((enum member_state)n->state));
	}
	/*
	 * The refutation is sent again also for a suspicion refuted before:
	 * all copies of the first refutation may have been lost in a partition.
	 */
	member_queue_update(ms, self);
}

static void
update_apply(struct members *ms, msec now, struct member *m, const sp_news *n,
    enum member_state state, bool leaving)
{
	if (n->incarnation > m->incarnation) {
		m->incarnation = n->incarnation;
		m->incarnation_since = now;
		m->load_at = MSEC_NEVER;
		m->answers_since_load = 0;
	}
	m->refutation = MAX(n->refutation, m->refutation);
	g_strlcpy(m->domain, n->domain, sizeof m->domain);
	m->caller_port = (uint16_t)n->caller_port;
	m->control_port = (uint16_t)n->control_port;
	if (!m->listed) {
		m->address = n->address;
		m->peer_port = (uint16_t)n->peer_port;
	}
	member_set_state(ms, now, m, state, leaving);
}

void
member_merge_update(struct members *ms, msec now, const sp_news *n)
{
	enum member_state state = (enum member_state)n->state;
	bool leaving = n->leaving || n->state == SP_LEAVING;
	struct member *m;
	name_id id;

	if (!update_is_valid(n))
		return;
	if (state == MEMBER_LEAVING)
		state = MEMBER_ALIVE;
	id = name_hash(n->name);
	if (id == ms->self.id) {
		update_merge_self(ms, now, n);
		return;
	}
	if ((m = members_find(ms, id)) == NULL) {
		if (state == MEMBER_DEAD)
			return;
		if ((m = member_add(ms, now, id, n->name)) == NULL)
			return;
	}
	if (n->incarnation < m->incarnation)
		return;
	if (n->incarnation > m->incarnation) {
		m->refutation = 0;
		update_apply(ms, now, m, n, state, leaving);
		return;
	}
	leaving = leaving || m->leaving;
	if (n->refutation > m->refutation ||
	    (n->refutation == m->refutation &&
		state_rank(state) > state_rank(m->state)))
		update_apply(ms, now, m, n, state, leaving);
	else if (leaving && !m->leaving)
		member_set_state(ms, now, m, m->state, true);
}

static void
member_record_load(
    struct member *m, msec at, uint64_t version, unsigned int load)
{
	if (m->load_at != MSEC_NEVER && at <= m->load_at)
		return;
	m->load_at = at;
	m->document_version = version;
	m->load_permille = load;
	m->answers_since_load = 0;
}

/*
 * Adds the loads of a few random members that have reported recently. The
 * number is constant so that messages do not grow with the fleet. In a large
 * fleet the loads of some members are therefore older than those of others,
 * which is enough for the choice between two random candidates (directory.c).
 */
unsigned int
member_fill_loads(struct members *ms, msec now, name_id receiver)
{
	struct member_state_data *p = ms->priv;
	unsigned int n = 0, tries, start, i;
	const struct member *m;
	sp_load *out;

	tries = MIN(p->probe_order->len, 4 * MEMBER_LOADS_PER_MESSAGE);
	if (tries == 0)
		return 0;
	start = (unsigned int)g_rand_int_range(
	    p->rand, 0, (gint32)p->probe_order->len);
	for (i = 0; i < tries && n < MEMBER_LOADS_PER_MESSAGE; i++) {
		m = members_find(ms, g_array_index(p->probe_order, name_id,
					 (start + i) % p->probe_order->len));
		if (m == NULL || !member_is_live(m) || m->id == receiver)
			continue;
		if (m->load_at == MSEC_NEVER ||
		    now - m->load_at > MEMBER_LOAD_MAX_AGE)
			continue;
		out = &p->out_loads[n++];
		out->node = m->id;
		out->document_version = m->document_version;
		out->load_permille = m->load_permille;
		out->age_ms = (u_int)(now - m->load_at);
	}
	return n;
}

void
member_merge_loads(
    struct members *ms, msec now, struct member *from, const sp_probe *probe)
{
	const sp_load *l;
	struct member *m;
	u_int i;

	ms->priv->newest_version =
	    MAX(ms->priv->newest_version, probe->newest_version);
	if (from != NULL) {
		member_record_load(from, now, probe->self.document_version,
		    probe->self.load_permille);
		/* The sender's own flag is used, as the update may be lost. */
		if (probe->self.leaving && !from->leaving)
			member_set_state(ms, now, from, from->state, true);
	}
	for (i = 0; i < probe->loads.loads_len; i++) {
		l = &probe->loads.loads_val[i];
		if (l->age_ms > MEMBER_LOAD_MAX_AGE)
			continue;
		if ((m = members_find(ms, l->node)) != NULL)
			member_record_load(m, now - l->age_ms,
			    l->document_version, l->load_permille);
	}
}
