/*
 * News about members: which of two pieces is newer, what follows from it, and
 * how it rides on the probes. Also the loads and the document version that
 * ride along.
 *
 * Order of news about one member: first the incarnation (start of the
 * process), then the refutation, then dead over suspect over alive. `leaving`
 * is outside that order: once true it stays so for the incarnation.
 */

#define LOG_PART "member"
#include "member-private.h"

#include <inttypes.h>
#include <string.h>

/* Size on the wire of one piece of news without its two names. */
#define NEWS_FIXED 52

static unsigned int news_copies(const struct members *);
static unsigned int news_size(const sp_news *);
static bool news_valid(const sp_news *);
static unsigned int news_rank(enum member_state);
static void news_merge_self(struct members *, msec, const sp_news *);
static void news_apply(struct members *, msec, struct member *, const sp_news *,
    enum member_state, bool);
static void loads_note(struct member *, msec, uint64_t, unsigned int);

/* Enough copies that the news reaches everyone with high probability. */
static unsigned int
news_copies(const struct members *ms)
{
	return 4 + 2 * g_bit_storage(ms->priv->live + 1);
}

void
member_news_queue(struct members *ms, struct member *m)
{
	member_news_drop(ms, m);
	m->news_left = news_copies(ms);
	TAILQ_INSERT_HEAD(&ms->priv->news, m, news_entry);
}

void
member_news_drop(struct members *ms, struct member *m)
{
	if (m->news_left == 0)
		return;
	m->news_left = 0;
	TAILQ_REMOVE(&ms->priv->news, m, news_entry);
}

/* The names are lent, not copied. */
void
member_news_of(const struct member *m, sp_news *n)
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
news_size(const sp_news *n)
{
	return NEWS_FIXED + (unsigned int)((strlen(n->name) + 3) & ~3U) +
	       (unsigned int)((strlen(n->domain) + 3) & ~3U);
}

/*
 * `about` is the receiver, or ourselves for one that does not know us: a
 * receiver held as suspect or dead must hear of it, or it cannot refute.
 */
unsigned int
member_news_fill(struct members *ms, const struct member *about)
{
	struct member_state_data *p = ms->priv;
	struct member_queue later;
	unsigned int n = 0, bytes = 0;
	struct member *m;

	TAILQ_INIT(&later);
	if (about != NULL) {
		member_news_of(about, &p->out_news[n]);
		bytes += news_size(&p->out_news[n++]);
	}
	while (n < SAVORY_NEWS_MAX && (m = TAILQ_FIRST(&p->news)) != NULL) {
		member_news_of(m, &p->out_news[n]);
		if (bytes + news_size(&p->out_news[n]) > MEMBER_NEWS_BYTES)
			break;
		TAILQ_REMOVE(&p->news, m, news_entry);
		if (--m->news_left > 0)
			TAILQ_INSERT_TAIL(&later, m, news_entry);
		if (m == about)
			continue;
		bytes += news_size(&p->out_news[n++]);
	}
	TAILQ_CONCAT(&p->news, &later, news_entry);
	ms->counters.news_sent += n;
	return n;
}

/* The HMAC proves a node wrote it, not that the node is free of faults. */
static bool
news_valid(const sp_news *n)
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
news_rank(enum member_state state)
{
	if (state == MEMBER_DEAD)
		return 2;
	return state == MEMBER_SUSPECT ? 1 : 0;
}

/*
 * Guards against a clock that was set back before we started: our number is
 * then less than that of the process before us, and nobody listens to us.
 * Whoever has been a member of the fleet had the greatest number then.
 */
static bool
news_of_predecessor(const struct members *ms, const sp_news *n)
{
	const struct member *self = &ms->self;

	return ms->priv->joining && !self->leaving &&
	       n->address == self->address && n->peer_port == self->peer_port;
}

static void
news_merge_self(struct members *ms, msec now, const sp_news *n)
{
	struct member *self = &ms->self;

	if (n->incarnation > self->incarnation && news_of_predecessor(ms, n)) {
		log_info("an earlier %s had the greater number", self->name);
		self->incarnation = n->incarnation + 1;
		self->incarnation_since = now;
		self->refutation = 0;
		member_news_queue(ms, self);
		ms->ops->changed(ms, self);
		return;
	}
	if (n->incarnation > self->incarnation) {
		/*
		 * Our VM was replaced under our name while we were paused or
		 * cut off. Nobody listens to us any more; finishing what we
		 * have is all that is left.
		 */
		if (!self->leaving)
			log_warn("another node runs as %s", self->name);
		members_leave(ms, now);
		return;
	}
	if (n->incarnation < self->incarnation) {
		member_news_queue(ms, self);
		return;
	}
	if (n->leaving && !self->leaving)
		members_leave(ms, now);
	if (news_rank((enum member_state)n->state) == 0)
		return;
	if (n->refutation >= self->refutation) {
		self->refutation = n->refutation + 1;
		ms->counters.refuted++;
		log_debug("refutes being %s",
		    member_state_name((enum member_state)n->state));
	}
	/*
	 * Our answer goes out also when the accusation is an old one: all
	 * copies of the first may have been lost in a partition.
	 */
	member_news_queue(ms, self);
}

static void
news_apply(struct members *ms, msec now, struct member *m, const sp_news *n,
    enum member_state state, bool leaving)
{
	if (n->incarnation > m->incarnation) {
		m->incarnation = n->incarnation;
		m->incarnation_since = now;
		m->load_at = MSEC_NEVER;
		m->offered = 0;
	}
	m->refutation = MAX(n->refutation, m->refutation);
	g_strlcpy(m->domain, n->domain, sizeof m->domain);
	m->caller_port = (uint16_t)n->caller_port;
	m->control_port = (uint16_t)n->control_port;
	if (!m->listed) {
		m->address = n->address;
		m->peer_port = (uint16_t)n->peer_port;
	}
	member_set(ms, now, m, state, leaving);
}

void
member_news_merge(struct members *ms, msec now, const sp_news *n)
{
	enum member_state state = (enum member_state)n->state;
	bool leaving = n->leaving || n->state == SP_LEAVING;
	struct member *m;
	name_id id;

	if (!news_valid(n))
		return;
	if (state == MEMBER_LEAVING)
		state = MEMBER_ALIVE;
	id = name_hash(n->name);
	if (id == ms->self.id) {
		news_merge_self(ms, now, n);
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
		news_apply(ms, now, m, n, state, leaving);
		return;
	}
	leaving = leaving || m->leaving;
	if (n->refutation > m->refutation ||
	    (n->refutation == m->refutation &&
		news_rank(state) > news_rank(m->state)))
		news_apply(ms, now, m, n, state, leaving);
	else if (leaving && !m->leaving)
		member_set(ms, now, m, m->state, true);
}

static void
loads_note(struct member *m, msec at, uint64_t version, unsigned int load)
{
	if (m->load_at != MSEC_NEVER && at <= m->load_at)
		return;
	m->load_at = at;
	m->document_version = version;
	m->load_permille = load;
	m->offered = 0;
}

/*
 * A few loads of others, drawn at random among those heard of lately. A
 * message stays the same size in any fleet, so in a large one a node knows
 * the loads of some members well and of others less, which is all that a
 * choice between two random candidates needs.
 */
unsigned int
member_loads_fill(struct members *ms, msec now, name_id receiver)
{
	struct member_state_data *p = ms->priv;
	unsigned int n = 0, tries, start, i;
	const struct member *m;
	sp_load *out;

	tries = MIN(p->order->len, 4 * MEMBER_LOADS);
	if (tries == 0)
		return 0;
	start =
	    (unsigned int)g_rand_int_range(p->rand, 0, (gint32)p->order->len);
	for (i = 0; i < tries && n < MEMBER_LOADS; i++) {
		m = members_find(ms, g_array_index(p->order, name_id,
					 (start + i) % p->order->len));
		if (m == NULL || !member_is_live(m) || m->id == receiver)
			continue;
		if (m->load_at == MSEC_NEVER ||
		    now - m->load_at > MEMBER_LOAD_LIFE)
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
member_loads_merge(
    struct members *ms, msec now, struct member *from, const sp_probe *probe)
{
	const sp_load *l;
	struct member *m;
	u_int i;

	ms->priv->newest_version =
	    MAX(ms->priv->newest_version, probe->newest_version);
	if (from != NULL) {
		loads_note(from, now, probe->self.document_version,
		    probe->self.load_permille);
		/* Known even if every copy of that news was lost. */
		if (probe->self.leaving && !from->leaving)
			member_set(ms, now, from, from->state, true);
	}
	for (i = 0; i < probe->loads.loads_len; i++) {
		l = &probe->loads.loads_val[i];
		if (l->age_ms > MEMBER_LOAD_LIFE)
			continue;
		if ((m = members_find(ms, l->node)) != NULL)
			loads_note(m, now - l->age_ms, l->document_version,
			    l->load_permille);
	}
}
