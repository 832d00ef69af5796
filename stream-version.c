/*
 * Which version of a service's software began a stream; see stream-version.h.
 */

#define LOG_PART "stream"
#include "stream-version.h"

#include <string.h>

#include <xxhash.h>

/* Time for the answers to each round of a query. */
#define STREAM_ROUND_MS 40
#define STREAM_ROUNDS 3
/* Of a node that sees one version in a current list. */
#define STREAM_ROUNDS_IN_STEP 2
/* Records live this much longer than their streams may be resumed. */
#define STREAM_RECORD_MARGIN_MS 500
/* Interval of the search for records that keepers have to be told. */
#define STREAM_SHARE_MS 200
/* Least interval of a node's writes to the platform's store. */
#define STREAM_STORE_MS 100
/* Writes of all recorders. */
#define STREAM_STORES_PER_S 120
/* Longest interval after failures. */
#define STREAM_STORE_MAX_MS (4 * MSEC_SECOND)
/* Recorders that are asked for a record first, beside the likely keepers. */
#define STREAM_ASKED_RECORDERS 2
/* Takes the place of a stream's id in the choice of recorders. */
#define STREAM_RECORDER_SEED 0

RB_GENERATE(stream_record_tree, stream_record, entry, stream_record_compare)

int
stream_record_compare(struct stream_record *a, struct stream_record *b)
{
	return a->id < b->id ? -1 : a->id > b->id;
}

const char *
stream_verdict_name(enum stream_verdict v)
{
	static const char *const names[] = { "waits", "bound", "free",
		"unknown" };

	return names[v];
}

stream_id
stream_id_make(const char *organisation, const char *request)
{
	uint64_t words[2] = { XXH64(organisation, strlen(organisation), 0),
		XXH64(request, strlen(request), 0) };
	stream_id id = XXH64(words, sizeof words, 0);

	return id != 0 ? id : 1;
}

void
stream_versions_init(struct stream_versions_state *s,
    const struct stream_version_ops *ops, name_id self)
{
	*s = (struct stream_versions_state){ .ops = ops, .self = self };
	RB_INIT(&s->tree);
	TAILQ_INIT(&s->ages);
	TAILQ_INIT(&s->queries);
}

/* ---- records ---- */

static struct stream_record *
record_find(struct stream_versions_state *s, stream_id id)
{
	struct stream_record find = { .id = id };

	return RB_FIND(stream_record_tree, &s->tree, &find);
}

static void
record_remove(struct stream_versions_state *s, struct stream_record *r)
{
	RB_REMOVE(stream_record_tree, &s->tree, r);
	TAILQ_REMOVE(&s->ages, r, age);
	s->count--;
	g_free(r);
}

/* Two callers may use one id: then neither stream's version is clear. */
static struct stream_record *
record_put(struct stream_versions_state *s, msec now, stream_id id,
    name_id service, name_id software, msec until)
{
	struct stream_record *r = record_find(s, id);

	until = MIN(until, now + STREAM_RECORD_MAX_MS);
	if (r != NULL) {
		if (r->software != software)
			r->software = 0;
		r->until = MAX(r->until, until);
		return r;
	}
	if (s->count == STREAM_RECORDS_MAX) {
		s->counters.dropped++;
		record_remove(s, TAILQ_FIRST(&s->ages));
	}
	r = g_new0(struct stream_record, 1);
	r->id = id;
	r->service = service;
	r->software = software;
	r->until = until;
	RB_INSERT(stream_record_tree, &s->tree, r);
	TAILQ_INSERT_TAIL(&s->ages, r, age);
	s->count++;
	return r;
}

void
stream_versions_finish(struct stream_versions_state *s)
{
	while (!TAILQ_EMPTY(&s->ages))
		record_remove(s, TAILQ_FIRST(&s->ages));
	g_free(s->nodes);
	s->nodes = NULL;
}

static void
record_encode(const struct stream_record *r, msec now, sp_stream_record *m)
{
	*m = (sp_stream_record){ .id = r->id,
		.service = r->service,
		.software = r->software,
		.left_ms = (u_int)MAX(r->until - now, 0) };
}

/* ---- nodes ---- */

static uint64_t
keeper_weight(stream_id id, name_id node)
{
	uint64_t words[2] = { id, node };

	return XXH64(words, sizeof words, 11);
}

/*
 * Inserts a name into a list of `n` names by descending weight, of which it
 * keeps the first `most`; returns the list's new length.
 */
static unsigned int
names_insert(name_id *best, uint64_t *weights, unsigned int n,
    unsigned int most, name_id name, uint64_t weight)
{
	unsigned int k;

	if (n == most && weight <= weights[n - 1])
		return n;
	for (k = n < most ? n++ : n - 1; k > 0; k--) {
		if (weights[k - 1] >= weight)
			break;
		weights[k] = weights[k - 1];
		best[k] = best[k - 1];
	}
	weights[k] = weight;
	best[k] = name;
	return n;
}

/* The nodes of greatest weight, in order; returns their number. */
static unsigned int
nodes_choose(const struct stream_versions_state *s, stream_id id, bool keepers,
    name_id *best, unsigned int most)
{
	uint64_t weights[STREAM_ASKED_MAX] = { 0 };
	unsigned int i, n = 0;

	for (i = 0; i < s->nnodes; i++) {
		if (!keepers || s->nodes[i].keeps)
			n = names_insert(best, weights, n, most, s->nodes[i].id,
			    keeper_weight(id, s->nodes[i].id));
	}
	return n;
}

static void
recorders_choose(struct stream_versions_state *s)
{
	uint64_t weights[STREAM_RECORDERS] = { 0 };
	unsigned int i, n;

	n = names_insert(s->recorders, weights, 0, STREAM_RECORDERS, s->self,
	    keeper_weight(STREAM_RECORDER_SEED, s->self));
	for (i = 0; i < s->nnodes; i++) {
		if (s->nodes[i].keeps)
			n = names_insert(s->recorders, weights, n,
			    STREAM_RECORDERS, s->nodes[i].id,
			    keeper_weight(
				STREAM_RECORDER_SEED, s->nodes[i].id));
	}
	s->nrecorders = n;
}

int
stream_versions_rank(const struct stream_versions_state *s)
{
	unsigned int i;

	for (i = 0; i < s->nrecorders; i++) {
		if (s->recorders[i] == s->self)
			return (int)i;
	}
	return -1;
}

void
stream_versions_set_nodes(struct stream_versions_state *s,
    const struct stream_node *nodes, unsigned int n)
{
	unsigned int i;

	g_free(s->nodes);
	s->nodes = g_new(struct stream_node, MAX(n, 1));
	s->nnodes = 0;
	for (i = 0; i < n; i++) {
		if (nodes[i].id != s->self)
			s->nodes[s->nnodes++] = nodes[i];
	}
	recorders_choose(s);
}

static void
record_tell(struct stream_versions_state *s, msec now, struct stream_record *r)
{
	sp_msg msg = { .kind = SP_STREAM_TELL };
	name_id keepers[STREAM_KEEPERS];
	sp_stream_record m;
	unsigned int i, n;

	record_encode(r, now, &m);
	msg.sp_msg_u.stream_tell.list.list_val = &m;
	msg.sp_msg_u.stream_tell.list.list_len = 1;
	n = nodes_choose(s, r->id, true, keepers, STREAM_KEEPERS);
	for (i = 0; i < n; i++)
		s->ops->send(s, keepers[i], &msg);
	s->counters.told += n;
	r->sent = true;
}

void
stream_version_begin(struct stream_versions_state *s, msec now, stream_id id,
    name_id service, name_id software, msec until)
{
	enum version_view view = s->ops->view(s, service);
	struct stream_record *r =
	    record_put(s, now, id, service, software, until);

	s->counters.recorded++;
	r->own = true;
	s->to_store |= view == VERSION_VIEW_SEVERAL;
	if (view != VERSION_VIEW_ONE)
		record_tell(s, now, r);
}

/*
 * Records of streams that began while this node was sure that their service had
 * one version.
 */
static void
records_share(struct stream_versions_state *s, msec now)
{
	struct stream_record *r;
	enum version_view view;

	if (now < s->next_share)
		return;
	s->next_share = now + STREAM_SHARE_MS;
	TAILQ_FOREACH (r, &s->ages, age) {
		if (!r->own || r->until <= now || (r->sent && r->stored))
			continue;
		view = s->ops->view(s, r->service);
		if (!r->sent && view != VERSION_VIEW_ONE)
			record_tell(s, now, r);
		s->to_store |= !r->stored && view == VERSION_VIEW_SEVERAL;
	}
}

/* ---- the platform's store ---- */

static bool
record_is_to_store(
    struct stream_versions_state *s, const struct stream_record *r, msec now)
{
	if (r->stored || r->storing || r->until <= now)
		return false;
	return r->for_other ||
	       (r->own && s->ops->view(s, r->service) == VERSION_VIEW_SEVERAL);
}

/* The one of the recorders that writes for this node. */
static name_id
recorder_choose(const struct stream_versions_state *s)
{
	name_id best = 0;
	uint64_t weight, most = 0;
	unsigned int i;

	for (i = 0; i < s->nrecorders; i++) {
		weight = keeper_weight(s->self, s->recorders[i]);
		if (best == 0 || weight > most) {
			best = s->recorders[i];
			most = weight;
		}
	}
	return best;
}

static msec
store_interval(const struct stream_versions_state *s)
{
	return MAX(
	    s->nrecorders * MSEC_SECOND / STREAM_STORES_PER_S, STREAM_STORE_MS);
}

/* Encodes records that are to be stored; returns their number. */
static unsigned int
records_take(struct stream_versions_state *s, msec now, sp_stream_record *list,
    unsigned int most)
{
	struct stream_record *r;
	unsigned int n = 0;

	TAILQ_FOREACH (r, &s->ages, age) {
		if (n == most)
			break;
		if (!record_is_to_store(s, r, now))
			continue;
		record_encode(r, now, &list[n++]);
		r->storing = true;
	}
	return n;
}

/* What was taken is stored, or is to be taken again. */
static void
records_taken(struct stream_versions_state *s, bool ok)
{
	struct stream_record *r;

	TAILQ_FOREACH (r, &s->ages, age) {
		if (r->storing)
			r->stored = ok;
		r->storing = false;
	}
}

static void
records_write(struct stream_versions_state *s, msec now)
{
	sp_stream_record *list = g_new(sp_stream_record, STREAM_STORED_MAX);

	s->storing = records_take(s, now, list, STREAM_STORED_MAX);
	s->to_store = s->storing == STREAM_STORED_MAX;
	if (s->storing > 0)
		s->ops->store(s, list, s->storing);
	g_free(list);
}

/* A message that is lost costs the records in the store, not at the keepers. */
static void
records_send_to_recorder(struct stream_versions_state *s, msec now)
{
	sp_stream_record list[SAVORY_STREAMS_MAX];
	name_id to = recorder_choose(s);
	sp_msg msg = { .kind = SP_STREAM_STORE };
	unsigned int n;

	msg.sp_msg_u.stream_store.list.list_val = list;
	while ((n = records_take(s, now, list, SAVORY_STREAMS_MAX)) > 0) {
		msg.sp_msg_u.stream_store.list.list_len = n;
		s->ops->send(s, to, &msg);
	}
	records_taken(s, true);
}

msec
stream_versions_store_due(const struct stream_versions_state *s)
{
	if (!s->to_store || s->storing > 0 || s->ops->store == NULL ||
	    s->nrecorders == 0)
		return MSEC_NEVER;
	return s->next_store;
}

/* Streams that began before there was a second version are written, too. */
static void
records_store(struct stream_versions_state *s, msec now)
{
	if (now < stream_versions_store_due(s))
		return;
	s->to_store = false;
	s->next_store = now + store_interval(s);
	if (stream_versions_rank(s) != -1)
		records_write(s, now);
	else
		records_send_to_recorder(s, now);
}

void
stream_versions_stored(struct stream_versions_state *s, msec now, bool ok)
{
	records_taken(s, ok);
	if (ok) {
		s->counters.stored += s->storing;
		s->store_failures = 0;
	} else {
		s->to_store = true;
		s->counters.store_failed++;
		s->next_store =
		    now + MIN(store_interval(s) << MIN(s->store_failures, 8),
			      STREAM_STORE_MAX_MS);
		s->store_failures++;
	}
	s->storing = 0;
}

void
stream_versions_store_again(struct stream_versions_state *s)
{
	struct stream_record *r;

	s->to_store = true;
	TAILQ_FOREACH (r, &s->ages, age)
		r->stored = false;
}

void
stream_versions_load(
    struct stream_versions_state *s, msec now, const sp_stream_record *m)
{
	struct stream_record *r = record_put(
	    s, now, m->id, m->service, m->software, now + m->left_ms);

	r->stored = true;
	s->counters.loaded++;
}

/* ---- queries ---- */

static void
query_send(
    struct stream_versions_state *s, const struct stream_query *q, name_id node)
{
	sp_msg msg = { .kind = SP_STREAM_ASK };

	msg.sp_msg_u.stream_ask.seq = q->seq;
	msg.sp_msg_u.stream_ask.id = q->id;
	msg.sp_msg_u.stream_ask.service = q->service;
	s->ops->send(s, node, &msg);
	s->counters.asked++;
}

/* Asks the likely keepers, then more nodes and again those that are silent. */
static void
query_round(struct stream_versions_state *s, msec now, struct stream_query *q)
{
	unsigned int i;

	q->nasked =
	    q->rounds == 0 ? MIN(q->nnodes, STREAM_ASKED_FIRST) : q->nnodes;
	for (i = 0; i < q->nasked; i++) {
		if (!q->answered[i])
			query_send(s, q, q->asked[i]);
	}
	q->rounds++;
	q->next = now + STREAM_ROUND_MS;
}

/* Puts recorders behind the likely keepers: they may have read the store. */
static void
query_add_recorders(
    const struct stream_versions_state *s, struct stream_query *q)
{
	uint64_t weights[STREAM_ASKED_RECORDERS] = { 0 };
	name_id best[STREAM_ASKED_RECORDERS];
	unsigned int i, n = 0;

	if (q->nnodes < STREAM_ASKED_MAX)
		return;
	for (i = 0; i < s->nrecorders; i++) {
		if (s->recorders[i] != s->self)
			n = names_insert(best, weights, n,
			    STREAM_ASKED_RECORDERS, s->recorders[i],
			    keeper_weight(q->id, s->recorders[i]));
	}
	memcpy(&q->asked[STREAM_ASKED_FIRST], best, n * sizeof best[0]);
}

static enum stream_verdict
verdict_count(struct stream_versions_state *s, enum stream_verdict v)
{
	if (v == STREAM_BOUND)
		s->counters.bound++;
	else if (v == STREAM_FREE)
		s->counters.free++;
	else if (v == STREAM_UNKNOWN)
		s->counters.unknown++;
	return v;
}

static enum stream_verdict
record_verdict(const struct stream_record *r, struct stream_query *q)
{
	q->software = r->software;
	q->service = r->service;
	return r->software != 0 ? STREAM_BOUND : STREAM_UNKNOWN;
}

/*
 * Nobody has a record. A stream's version is then known only if another node is
 * sure that there is one: nodes that are all unsure may all have missed the
 * version that began it. A request that does not tell which stream it takes up
 * can have no record; it goes on if most of the others answered and none has
 * seen a second version.
 */
static enum stream_verdict
query_without_record(
    const struct stream_versions_state *s, const struct stream_query *q)
{
	if (q->view == VERSION_VIEW_SEVERAL || q->several)
		return STREAM_UNKNOWN;
	if (q->sure_of_one || q->view == VERSION_VIEW_ONE)
		return STREAM_FREE;
	if (q->id == 0 && (q->nnodes == 0 || 2 * q->nanswered > q->nasked))
		return STREAM_FREE;
	return STREAM_UNKNOWN;
}

enum stream_verdict
stream_query_ask(
    struct stream_versions_state *s, msec now, struct stream_query *q)
{
	struct stream_record *r;

	q->waiting = false;
	if (q->id == 0 && q->view == VERSION_VIEW_ONE)
		return STREAM_FREE;
	if (q->id != 0 && (r = record_find(s, q->id)) != NULL && r->until > now)
		return verdict_count(s, record_verdict(r, q));
	q->nasked = q->nanswered = q->rounds = 0;
	q->nnodes = nodes_choose(s, q->id, false, q->asked, STREAM_ASKED_MAX);
	query_add_recorders(s, q);
	q->sure_of_one = q->several = false;
	memset(q->answered, 0, sizeof q->answered);
	if (q->nnodes == 0 || s->nqueries == STREAM_QUERIES_MAX ||
	    (q->id == 0 && q->view == VERSION_VIEW_SEVERAL))
		return verdict_count(s, query_without_record(s, q));
	if (++s->seq == 0)
		s->seq = 1;
	q->seq = s->seq;
	q->waiting = true;
	TAILQ_INSERT_TAIL(&s->queries, q, entry);
	s->nqueries++;
	query_round(s, now, q);
	return STREAM_WAIT;
}

void
stream_query_cancel(struct stream_versions_state *s, struct stream_query *q)
{
	if (!q->waiting)
		return;
	TAILQ_REMOVE(&s->queries, q, entry);
	s->nqueries--;
	q->waiting = false;
}

static void
query_decide(struct stream_versions_state *s, msec now, struct stream_query *q,
    enum stream_verdict v)
{
	stream_query_cancel(s, q);
	verdict_count(s, v);
	s->ops->decided(s, q, v, now);
}

/* All that can be asked have answered without a record, or time is up. */
static void
query_next(struct stream_versions_state *s, msec now, struct stream_query *q)
{
	bool all = q->nanswered == q->nasked;
	unsigned int most = q->view == VERSION_VIEW_ONE && !q->several
				? STREAM_ROUNDS_IN_STEP
				: STREAM_ROUNDS;

	if (q->rounds >= most ||
	    (all &&
		(q->nasked == q->nnodes || (q->view != VERSION_VIEW_SEVERAL &&
					       q->sure_of_one && !q->several))))
		query_decide(s, now, q, query_without_record(s, q));
	else
		query_round(s, now, q);
}

static void
query_answered(struct stream_versions_state *s, msec now, name_id from,
    const sp_stream_answer *a)
{
	struct stream_record r = { .software = a->record.software,
		.service = a->record.service };
	struct stream_query *q;
	unsigned int i;

	TAILQ_FOREACH (q, &s->queries, entry) {
		if (q->seq == a->seq)
			break;
	}
	if (q == NULL)
		return;
	if (a->known && a->record.id == q->id) {
		record_put(s, now, q->id, r.service, r.software,
		    now + a->record.left_ms);
		query_decide(s, now, q, record_verdict(&r, q));
		return;
	}
	for (i = 0; i < q->nasked; i++) {
		if (q->asked[i] != from || q->answered[i])
			continue;
		q->answered[i] = true;
		q->nanswered++;
		q->sure_of_one |= a->view == SP_STREAM_ONE;
		q->several |= a->view == SP_STREAM_SEVERAL;
	}
	if (q->nanswered == q->nasked)
		query_next(s, now, q);
}

static void
ask_received(struct stream_versions_state *s, msec now, name_id from,
    const sp_stream_ask *ask)
{
	static const sp_stream_view views[] = {
		[VERSION_VIEW_ONE] = SP_STREAM_ONE,
		[VERSION_VIEW_UNSURE] = SP_STREAM_UNSURE,
		[VERSION_VIEW_SEVERAL] = SP_STREAM_SEVERAL,
	};
	struct stream_record *r = record_find(s, ask->id);
	sp_msg msg = { .kind = SP_STREAM_ANSWER };
	sp_stream_answer *a = &msg.sp_msg_u.stream_answer;

	a->seq = ask->seq;
	a->view = views[s->ops->view(s, ask->service)];
	a->known = r != NULL && r->until > now;
	if (a->known)
		record_encode(r, now, &a->record);
	s->ops->send(s, from, &msg);
}

static void
tell_received(struct stream_versions_state *s, msec now,
    const sp_stream_tell *t, bool to_store)
{
	const sp_stream_record *m;
	struct stream_record *r;
	u_int i;

	for (i = 0; i < t->list.list_len; i++) {
		m = &t->list.list_val[i];
		r = record_put(
		    s, now, m->id, m->service, m->software, now + m->left_ms);
		r->for_other |= to_store;
		s->to_store |= to_store;
		s->counters.kept++;
	}
}

void
stream_versions_receive(
    struct stream_versions_state *s, msec now, name_id from, const sp_msg *msg)
{
	switch (msg->kind) {
	case SP_STREAM_TELL:
		tell_received(s, now, &msg->sp_msg_u.stream_tell, false);
		break;
	case SP_STREAM_STORE:
		tell_received(s, now, &msg->sp_msg_u.stream_store, true);
		break;
	case SP_STREAM_ASK:
		ask_received(s, now, from, &msg->sp_msg_u.stream_ask);
		break;
	case SP_STREAM_ANSWER:
		query_answered(s, now, from, &msg->sp_msg_u.stream_answer);
		break;
	default:
		break;
	}
}

/*
 * Records are in the order of their arrival, not of their ends: those behind a
 * longer one wait for it.
 */
static void
records_expire(struct stream_versions_state *s, msec now)
{
	struct stream_record *r, *next;

	TAILQ_FOREACH_SAFE (r, &s->ages, age, next) {
		if (r->until + STREAM_RECORD_MARGIN_MS > now)
			return;
		record_remove(s, r);
	}
}

static struct stream_query *
query_find_due(struct stream_versions_state *s, msec now)
{
	struct stream_query *q;

	TAILQ_FOREACH (q, &s->queries, entry) {
		if (q->next <= now)
			return q;
	}
	return NULL;
}

msec
stream_versions_tick(struct stream_versions_state *s, msec now)
{
	struct stream_query *q;
	msec due;

	records_share(s, now);
	records_store(s, now);
	/* Start over each time: a decision may end other queries. */
	while ((q = query_find_due(s, now)) != NULL)
		query_next(s, now, q);
	due = s->next_share;
	due = MIN(due, stream_versions_store_due(s));
	TAILQ_FOREACH (q, &s->queries, entry)
		due = MIN(due, q->next);
	records_expire(s, now);
	return due;
}
