/*
 * Nodes, engines and documents of dispatch, and the routing of messages to its
 * two sides: dispatch-entry.c and dispatch-owner.c. See dispatch.h.
 */

#define LOG_PART "dispatch"
#include "dispatch-private.h"

static void peer_free(gpointer);
static void service_free(gpointer);
static void class_inherit(struct class *, const struct class *);
static struct peer *peer_get(struct dispatch *, name_id);
static void node_restarted(struct dispatch *, msec, name_id);
static void node_update(struct dispatch *, msec, const struct dispatch_node *);
static uint64_t owner_score(name_id, name_id);
static name_id owner_choose(struct dispatch *, const struct engine *);
static void owners_update(struct dispatch *, msec);
static void engine_set_owner(struct dispatch *, msec, struct engine *, name_id);
static void
engine_update(struct dispatch *, msec, const struct dispatch_engine *);
static void engine_remove(struct dispatch *, msec, struct engine *);
static void
dispatch_handle(struct dispatch *, msec, name_id, uint64_t, const sp_msg *);

/* ---- nodes ---- */

static void
peer_free(gpointer p)
{
	g_free(p);
}

static struct peer *
peer_get(struct dispatch *d, name_id id)
{
	struct peer *peer = g_hash_table_lookup(d->priv->peers, &id);

	if (peer != NULL)
		return peer;
	peer = g_new0(struct peer, 1);
	peer->id = id;
	g_hash_table_insert(d->priv->peers, &peer->id, peer);
	return peer;
}

/* Rendezvous hashing: the node with the highest score owns the engine. */
static uint64_t
owner_score(name_id engine, name_id node)
{
	uint64_t x = engine ^ (node * 0x9e3779b97f4a7c15ULL);

	x ^= x >> 30;
	x *= 0xbf58476d1ce4e5b9ULL;
	x ^= x >> 27;
	x *= 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

/* Prefers nodes that take work, and among them the engine's failure domain. */
static name_id
owner_choose(struct dispatch *d, const struct engine *e)
{
	GHashTableIter it;
	struct peer *peer;
	uint64_t score, best_score = 0;
	name_id best = 0;
	int rank, best_rank = -1;

	g_hash_table_iter_init(&it, d->priv->peers);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&peer)) {
		rank =
		    peer->takes_work ? (peer->domain == e->domain ? 2 : 1) : 0;
		score = owner_score(e->id, peer->id);
		if (rank < best_rank ||
		    (rank == best_rank && score <= best_score))
			continue;
		best = peer->id;
		best_rank = rank;
		best_score = score;
	}
	return best;
}

static void
engine_set_owner(struct dispatch *d, msec now, struct engine *e, name_id owner)
{
	name_id old = e->owner;

	if (old == owner)
		return;
	e->owner = owner;
	if (old == d->priv->self)
		owner_release(d, now, e, SP_NOT_OWNER);
	if (owner == d->priv->self)
		owner_acquire(d, now, e);
	entry_owner_changed(d, now, e, old);
}

static void
owners_update(struct dispatch *d, msec now)
{
	GHashTableIter it;
	struct engine *e;

	if (!d->priv->policy->owners)
		return;
	g_hash_table_iter_init(&it, d->priv->engines);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&e)) {
		if (!e->leaving && !e->gone)
			engine_set_owner(d, now, e, owner_choose(d, e));
	}
}

/* A restarted owner has lost its queues: sends it everything again. */
static void
node_restarted(struct dispatch *d, msec now, name_id id)
{
	GHashTableIter it;
	struct engine *e;

	g_hash_table_iter_init(&it, d->priv->engines);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&e)) {
		if (e->owner == id)
			entry_owner_changed(d, now, e, id);
	}
}

static void
node_update(struct dispatch *d, msec now, const struct dispatch_node *node)
{
	struct peer *peer = peer_get(d, node->id);
	uint64_t before = peer->incarnation;

	peer->listed = true;
	peer->domain = node->domain;
	peer->takes_work = node->takes_work;
	if (peer->id == d->priv->self) {
		peer->takes_work &= !d->priv->has_left;
		return;
	}
	if (node->incarnation <= before)
		return;
	peer->incarnation = node->incarnation;
	owner_release_node(d, now, peer->id, peer->incarnation);
	if (before != 0)
		node_restarted(d, now, peer->id);
}

void
dispatch_set_nodes(struct dispatch *d, msec now,
    const struct dispatch_node *nodes, unsigned int n)
{
	struct dispatch_data *p = d->priv;
	GHashTableIter it;
	struct peer *peer;
	unsigned int i;

	dispatch_enter(d);
	g_hash_table_iter_init(&it, p->peers);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&peer))
		peer->listed = peer->id == p->self;
	for (i = 0; i < n; i++)
		node_update(d, now, &nodes[i]);
	g_hash_table_iter_init(&it, p->peers);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&peer)) {
		if (peer->listed)
			continue;
		owner_release_node(d, now, peer->id, UINT64_MAX);
		g_hash_table_iter_remove(&it);
	}
	owners_update(d, now);
	dispatch_exit(d, now);
}

void
dispatch_leave(struct dispatch *d, msec now)
{
	dispatch_enter(d);
	d->priv->has_left = true;
	peer_get(d, d->priv->self)->takes_work = false;
	owners_update(d, now);
	dispatch_exit(d, now);
}

/* ---- services ---- */

static void
service_free(gpointer p)
{
	struct service *s = p;

	g_hash_table_destroy(s->weights);
	g_free(s);
}

struct service *
service_get(struct dispatch *d, name_id id)
{
	struct service *s = g_hash_table_lookup(d->priv->services, &id);
	unsigned int i;

	if (s != NULL)
		return s;
	s = g_new0(struct service, 1);
	s->id = id;
	s->weights =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	TAILQ_INIT(&s->engines);
	for (i = 0; i < DOCUMENT_CLASSES_MAX; i++)
		s->classes[i].tier = DOCUMENT_TIERS_MAX - 1;
	g_hash_table_insert(d->priv->services, &s->id, s);
	return s;
}

struct class *
service_class(struct service *s, unsigned int i)
{
	return &s->classes[MIN(i, DOCUMENT_CLASSES_MAX - 1)];
}

unsigned int
service_weight(struct service *s, name_id organisation)
{
	unsigned int w;

	w = GPOINTER_TO_UINT(g_hash_table_lookup(s->weights, &organisation));
	return w == 0 ? 1 : w;
}

/* Keeps the length statistics of a class of the same name. */
static void
class_inherit(struct class *c, const struct class *old)
{
	unsigned int i;

	for (i = 0; i < DOCUMENT_CLASSES_MAX; i++) {
		if (strcmp(old[i].name, c->name) == 0) {
			c->lengths = old[i].lengths;
			return;
		}
	}
}

void
dispatch_set_document(struct dispatch *d, msec now, const struct document *doc)
{
	struct service *s = service_get(d, name_hash(doc->service));
	const struct doc_class *from;
	struct class *to;
	name_id *key;
	struct class old[DOCUMENT_CLASSES_MAX];
	unsigned int i;

	memcpy(old, s->classes, sizeof old);
	memset(s->classes, 0, sizeof s->classes);
	s->kind = doc->kind;
	s->nclasses = MIN(doc->nclasses, DOCUMENT_CLASSES_MAX);
	for (i = 0; i < s->nclasses; i++) {
		from = &doc->classes[i];
		to = &s->classes[i];
		g_strlcpy(to->name, from->name, sizeof to->name);
		class_inherit(to, old);
		to->tier = from->tier;
		to->is_protected = from->is_protected;
		to->floor_permille = from->floor_permille;
		to->first_token = from->first_token;
		to->between_tokens = from->between_tokens;
		to->whole_answer = from->whole_answer;
	}
	for (; i < DOCUMENT_CLASSES_MAX; i++)
		s->classes[i].tier = DOCUMENT_TIERS_MAX - 1;
	g_hash_table_remove_all(s->weights);
	for (i = 0; i < doc->norgs; i++) {
		key = g_new(name_id, 1);
		*key = name_hash(doc->orgs[i].name);
		g_hash_table_insert(s->weights, key,
		    GUINT_TO_POINTER(MAX(1, doc->orgs[i].weight)));
	}
}

/* ---- engines ---- */

struct engine *
engine_find(struct dispatch *d, name_id id)
{
	struct engine *e = g_hash_table_lookup(d->priv->engines, &id);

	return e == NULL || e->gone ? NULL : e;
}

void
engine_free_unused(struct dispatch *d, struct engine *e)
{
	if (e->gone && e->nrunning == 0)
		g_hash_table_remove(d->priv->engines, &e->id);
}

static void
engine_update(struct dispatch *d, msec now, const struct dispatch_engine *from)
{
	struct dispatch_data *p = d->priv;
	struct engine *e = g_hash_table_lookup(p->engines, &from->id);

	if (e == NULL) {
		e = g_new0(struct engine, 1);
		e->id = from->id;
		e->gone = true;
		TAILQ_INIT(&e->running);
		g_hash_table_insert(p->engines, &e->id, e);
	}
	if (!e->gone && e->service->id != from->service)
		engine_remove(d, now, e);
	if (e->gone) {
		e->gone = false;
		e->service = service_get(d, from->service);
		TAILQ_INSERT_TAIL(&e->service->engines, e, entry);
		e->service->nengines++;
	}
	e->listed = true;
	e->domain = from->domain;
	e->slots_hint = from->slots_hint;
	if (!from->leaving || e->leaving) {
		e->leaving = from->leaving;
		return;
	}
	e->leaving = true;
	e->owner = 0;
	owner_release(d, now, e, SP_ENGINE_GONE);
	entry_engine_gone(d, now, e);
}

static void
engine_remove(struct dispatch *d, msec now, struct engine *e)
{
	owner_release(d, now, e, SP_ENGINE_GONE);
	e->owner = 0;
	e->gone = true;
	TAILQ_REMOVE(&e->service->engines, e, entry);
	e->service->nengines--;
	entry_engine_gone(d, now, e);
}

void
dispatch_set_engines(struct dispatch *d, msec now,
    const struct dispatch_engine *engines, unsigned int n)
{
	GHashTableIter it;
	struct engine *e;
	unsigned int i;

	dispatch_enter(d);
	g_hash_table_iter_init(&it, d->priv->engines);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&e))
		e->listed = false;
	for (i = 0; i < n; i++)
		engine_update(d, now, &engines[i]);
	g_hash_table_iter_init(&it, d->priv->engines);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&e)) {
		if (e->listed)
			continue;
		if (!e->gone)
			engine_remove(d, now, e);
		if (e->nrunning == 0)
			g_hash_table_iter_remove(&it);
	}
	owners_update(d, now);
	dispatch_exit(d, now);
}

void
dispatch_set_load(struct dispatch *d, msec now, name_id id,
    unsigned int running, unsigned int waiting)
{
	struct engine *e = engine_find(d, id);

	if (e == NULL)
		return;
	e->load_running = running;
	e->load_waiting = waiting;
}

/* ---- requests ---- */

void
dispatch_submit(struct dispatch *d, msec now, struct dispatch_request *r)
{
	struct dispatch_data *p = d->priv;
	struct dispatch_request_state *st;

	dispatch_enter(d);
	st = g_new0(struct dispatch_request_state, 1);
	st->request = r;
	st->service = service_get(d, r->service);
	st->class = service_class(st->service, r->class_index);
	st->phase = REQUEST_WAITING;
	st->latest_start = st->widen_at = st->retry_at = MSEC_NEVER;
	st->timer.at = MSEC_NEVER;
	r->id = ++p->next_id;
	r->engine = 0;
	r->priv = st;
	g_hash_table_insert(p->requests, GUINT_TO_POINTER(r->id), st);
	TAILQ_INSERT_TAIL(&p->waiting, st, entry);
	p->nwaiting++;
	d->counters.submitted++;
	p->policy->submit(d, now, st);
	dispatch_exit(d, now);
}

void
dispatch_cancel(struct dispatch *d, msec now, struct dispatch_request *r)
{
	if (r->priv == NULL)
		return;
	dispatch_enter(d);
	entry_cancel(d, now, r->priv);
	dispatch_exit(d, now);
}

void
dispatch_first_token(struct dispatch *d, msec now, struct dispatch_request *r)
{
	if (r->priv == NULL || r->priv->phase != REQUEST_GRANTED)
		return;
	d->priv->reports_first_token = true;
	if (r->priv->first_token < 0)
		r->priv->first_token = now - r->priv->granted;
}

void
dispatch_done(struct dispatch *d, msec now, struct dispatch_request *r,
    const struct dispatch_result *res)
{
	if (r->priv == NULL)
		return;
	dispatch_enter(d);
	entry_done(d, now, r->priv, res);
	dispatch_exit(d, now);
}

/* ---- messages ---- */

/*
 * Messages to the local node wait until the public call ends, because handling
 * them earlier could change lists that are being iterated.
 */
void
dispatch_post(struct dispatch *d, name_id to, const sp_msg *m)
{
	struct local_msg *l;

	if (to == 0)
		return;
	if (to != d->priv->self) {
		d->counters.sent[m->kind & 31]++;
		d->ops->send(d, to, m);
		return;
	}
	l = g_new(struct local_msg, 1);
	l->msg = *m;
	STAILQ_INSERT_TAIL(&d->priv->local, l, entry);
}

void
dispatch_enter(struct dispatch *d)
{
	d->priv->depth++;
}

void
dispatch_exit(struct dispatch *d, msec now)
{
	struct dispatch_data *p = d->priv;
	struct local_msg *l;

	while (p->depth == 1 && (l = STAILQ_FIRST(&p->local)) != NULL) {
		STAILQ_REMOVE_HEAD(&p->local, entry);
		dispatch_handle(d, now, p->self, p->incarnation, &l->msg);
		g_free(l);
	}
	p->depth--;
}

static void
dispatch_handle(struct dispatch *d, msec now, name_id from,
    uint64_t incarnation, const sp_msg *m)
{
	switch (m->kind) {
	case SP_RESERVE:
		owner_on_reserve(
		    d, now, from, incarnation, &m->sp_msg_u.reserve);
		break;
	case SP_CANCEL:
		owner_on_cancel(d, now, from, &m->sp_msg_u.cancel);
		break;
	case SP_DONE:
		owner_on_done(d, now, from, &m->sp_msg_u.done);
		break;
	case SP_RUNNING:
		owner_on_running(
		    d, now, from, incarnation, &m->sp_msg_u.running);
		break;
	case SP_GRANT:
		entry_on_grant(d, now, from, &m->sp_msg_u.grant);
		break;
	case SP_REFUSE:
		entry_on_refuse(d, now, from, &m->sp_msg_u.refuse);
		break;
	case SP_QUEUED:
		entry_on_queued(d, now, from, &m->sp_msg_u.queued);
		break;
	case SP_PREEMPT:
		entry_on_preempt(d, now, from, &m->sp_msg_u.preempt);
		break;
	default:
		break;
	}
}

/*
 * Ignores messages that a previous incarnation of a node sent before it
 * restarted: their ids now belong to other requests.
 */
void
dispatch_receive(struct dispatch *d, msec now, name_id from,
    uint64_t incarnation, const sp_msg *m)
{
	struct peer *peer;

	if (from == d->priv->self || !d->priv->policy->owners)
		return;
	dispatch_enter(d);
	peer = peer_get(d, from);
	if (incarnation > peer->incarnation) {
		peer->incarnation = incarnation;
		owner_release_node(d, now, from, incarnation);
	}
	if (incarnation == peer->incarnation)
		dispatch_handle(d, now, from, incarnation, m);
	dispatch_exit(d, now);
}

msec
dispatch_tick(struct dispatch *d, msec now)
{
	dispatch_enter(d);
	timers_run(d, now);
	dispatch_exit(d, now);
	return timers_next(d);
}

/* ---- start and end ---- */

bool
dispatch_init(struct dispatch *d, const struct dispatch_ops *ops,
    const struct dispatch_config *config, msec now)
{
	const struct policy *policy = policy_find(config->policy);
	struct dispatch_data *p;
	struct peer *self;

	if (policy == NULL)
		return false;
	memset(d, 0, sizeof *d);
	d->ops = ops;
	p = d->priv = g_new0(struct dispatch_data, 1);
	p->policy = policy;
	p->self = config->self;
	p->incarnation = config->incarnation;
	p->domain = config->domain;
	p->rand = g_rand_new_with_seed(config->seed);
	p->peers =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, peer_free);
	p->engines =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	p->services = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, service_free);
	p->requests = g_hash_table_new(NULL, NULL);
	TAILQ_INIT(&p->waiting);
	RB_INIT(&p->timers);
	STAILQ_INIT(&p->local);
	self = peer_get(d, p->self);
	self->incarnation = p->incarnation;
	self->domain = p->domain;
	self->takes_work = true;
	p->running_report_timer.at = p->expiry_timer.at = MSEC_NEVER;
	p->running_report_timer.fire = entry_report_due;
	p->expiry_timer.fire = owner_expire_due;
	if (policy->owners) {
		timer_set(
		    d, &p->running_report_timer, now + RUNNING_REPORT_INTERVAL);
		timer_set(d, &p->expiry_timer, now + EXPIRY_INTERVAL);
	}
	return true;
}

/* Frees requests that still wait or run; sends and reports nothing. */
void
dispatch_finish(struct dispatch *d)
{
	struct dispatch_data *p = d->priv;
	struct dispatch_request_state *st;
	struct local_msg *l;
	GHashTableIter it;
	struct engine *e;

	g_hash_table_iter_init(&it, p->requests);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&st)) {
		st->request->priv = NULL;
		g_free(st);
	}
	g_hash_table_iter_init(&it, p->engines);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&e))
		owner_free(e);
	while ((l = STAILQ_FIRST(&p->local)) != NULL) {
		STAILQ_REMOVE_HEAD(&p->local, entry);
		g_free(l);
	}
	g_hash_table_destroy(p->requests);
	g_hash_table_destroy(p->engines);
	g_hash_table_destroy(p->services);
	g_hash_table_destroy(p->peers);
	g_rand_free(p->rand);
	g_free(p);
	d->priv = NULL;
}
