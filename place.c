/*
 * Placement by coordinators; see place.h.
 */

#define LOG_PART "place"
#include "place.h"

#include <string.h>

#include <xxhash.h>

/* An answer that is not there by then is not waited for. */
#define PLACE_WAIT_LEAST_MS 20
#define PLACE_WAIT_MOST_MS 80
#define PLACE_WAIT_TIMES 4
/* So many answers missed in a row, and nobody is asked for a while. */
#define PLACE_MISSED_MAX 6
#define PLACE_ALONE_MS 1000
/* What a coordinator has not heard of for so long has ended. */
#define PLACE_HOLD_MS (30 * MSEC_SECOND)
/*
 * Guards against a partition that looks like a smaller fleet: a node that is
 * cut off from the others would think that its own requests are all there
 * are. It goes by the most nodes it saw in so long.
 */
#define PLACE_FLEET_MS (30 * MSEC_SECOND)
/* A coordinator that was not asked for so long knows nothing any more. */
#define PLACE_IDLE_MS (5 * MSEC_SECOND)
/* One that began later than that may not know what servers have read. */
#define PLACE_YOUNG_MS (15 * MSEC_SECOND)
#define PLACE_SWEEP_MS MSEC_SECOND
/* Slots of a server that does not say. */
#define PLACE_SLOTS 32

/* One request that a coordinator counts on a server. */
struct place_hold {
	RB_ENTRY(place_hold) entry;
	name_id node;
	uint32_t id;
	name_id server;
	name_id service;
	name_id route;
	unsigned int tokens; /* of its prompt, while it is not read */
	msec since;
};

static int hold_compare(struct place_hold *, struct place_hold *);
static int place_mix_compare(struct mix *, struct mix *);

RB_PROTOTYPE(place_holds, place_hold, entry, hold_compare)
RB_GENERATE(place_holds, place_hold, entry, hold_compare)
RB_PROTOTYPE(place_mixes, mix, entry, place_mix_compare)
RB_GENERATE(place_mixes, mix, entry, place_mix_compare)

static int
hold_compare(struct place_hold *a, struct place_hold *b)
{
	if (a->node != b->node)
		return a->node < b->node ? -1 : 1;
	return a->id < b->id ? -1 : a->id > b->id;
}

static int
place_mix_compare(struct mix *a, struct mix *b)
{
	return a->service < b->service ? -1 : a->service > b->service;
}

static struct mix *
place_mix(struct place_mixes *all, name_id service)
{
	struct mix find = { .service = service }, *m;

	if ((m = RB_FIND(place_mixes, all, &find)) != NULL)
		return m;
	m = g_new0(struct mix, 1);
	m->service = service;
	RB_INSERT(place_mixes, all, m);
	return m;
}

static void
place_mixes_free(struct place_mixes *all)
{
	struct mix *m;

	while ((m = RB_MIN(place_mixes, all)) != NULL) {
		RB_REMOVE(place_mixes, all, m);
		g_free(m);
	}
}

void
place_init(struct place *p, const struct place_ops *ops, struct servers *s,
    name_id self, const char *domain, GRand *rand)
{
	*p = (struct place){
		.ops = ops, .servers = s, .self = self, .rand = rand
	};
	g_strlcpy(p->domain, domain, sizeof p->domain);
	TAILQ_INIT(&p->waiting);
	TAILQ_INIT(&p->running);
	RB_INIT(&p->own);
	RB_INIT(&p->all);
	RB_INIT(&p->holds);
}

void
place_finish(struct place *p)
{
	struct place_hold *h;

	while ((h = RB_MIN(place_holds, &p->holds)) != NULL) {
		RB_REMOVE(place_holds, &p->holds, h);
		g_free(h);
	}
	place_mixes_free(&p->own);
	place_mixes_free(&p->all);
	g_free(p->nodes);
	p->nodes = NULL;
}

/* ---- groups and their coordinators ---- */

static unsigned int
place_groups(struct place *p, name_id service)
{
	struct server_view whole = { .groups = 1 };
	unsigned int n = servers_ready(p->servers, service, &whole);

	return MAX((n + PLACE_GROUP_SERVERS - 1) / PLACE_GROUP_SERVERS, 1);
}

static uint64_t
place_weight(uint64_t a, uint64_t b, uint64_t c)
{
	uint64_t words[3] = { a, b, c };

	return XXH64(words, sizeof words, 4);
}

/* Where a prompt is read, or any group for a request without one. */
static unsigned int
place_group(struct place *p, const struct server_wish *w, unsigned int groups)
{
	unsigned int i, best = 0;

	if (groups <= 1)
		return 0;
	if (w->prompt == 0)
		return (unsigned int)g_rand_int_range(
		    p->rand, 0, (gint32)groups);
	for (i = 1; i < groups; i++) {
		if (place_weight(w->prompt, i, 0) >
		    place_weight(w->prompt, best, 0))
			best = i;
	}
	return best;
}

static name_id
place_coordinator(struct place *p, name_id service, unsigned int group)
{
	uint64_t weight, most = 0;
	name_id best = p->self;
	unsigned int i;

	for (i = 0; i < p->nnodes; i++) {
		if (!p->nodes[i].takes_work)
			continue;
		weight = place_weight(p->nodes[i].id, service, group);
		if (weight >= most) {
			most = weight;
			best = p->nodes[i].id;
		}
	}
	return best;
}

/* ---- deciding ---- */

static unsigned int
place_slots(struct place *p, name_id service)
{
	struct server *v;

	RB_FOREACH (v, server_tree, &p->servers->tree) {
		if (v->service == service && v->slots > 0)
			return v->slots;
	}
	return PLACE_SLOTS;
}

/* `all`: as coordinator, by all nodes' requests; else by our own. */
static struct server *
place_choose(struct place *p, msec now, const struct server_wish *w, bool all,
    unsigned int groups, unsigned int group)
{
	struct mix *m = place_mix(all ? &p->all : &p->own, w->service);
	struct server_view view = { .all = all,
		.domain = all ? "" : p->domain,
		.young = now - p->coordinates_since < PLACE_YOUNG_MS,
		.groups = groups,
		.group = group };

	if (w->own + w->shared > 0) {
		view.light = mix_is_light(m, w->route);
		view.quiet =
		    mix_quiet_servers(m, now, all ? 1 : MAX(p->fleet, 1),
			servers_ready(p->servers, w->service, &view),
			place_slots(p, w->service));
	}
	return server_choose(p->servers, now, w, &view, g_rand_int(p->rand));
}

/* Count a request on a server, or take it off again. */
static void
load_add(struct server_load *l, unsigned int tokens)
{
	l->running++;
	l->unread += tokens;
}

static void
load_read(struct server_load *l, unsigned int tokens)
{
	l->unread -= MIN(l->unread, tokens);
}

static void
load_end(struct server_load *l)
{
	if (l->running > 0)
		l->running--;
}

/* ---- as coordinator ---- */

static struct place_hold *
hold_find(struct place *p, name_id node, uint32_t id)
{
	struct place_hold find = { .node = node, .id = id };

	return RB_FIND(place_holds, &p->holds, &find);
}

static void
hold_read(struct place *p, struct place_hold *h)
{
	struct server *v = servers_find(p->servers, h->server);

	if (v != NULL)
		load_read(&v->all, h->tokens);
	h->tokens = 0;
}

static void
hold_end(struct place *p, msec now, struct place_hold *h)
{
	struct server *v = servers_find(p->servers, h->server);

	hold_read(p, h);
	if (v != NULL)
		load_end(&v->all);
	mix_ended(place_mix(&p->all, h->service), now, h->route);
	RB_REMOVE(place_holds, &p->holds, h);
	g_free(h);
}

static void
hold_begin(struct place *p, msec now, name_id node, uint32_t id,
    struct server *v, const struct server_wish *w)
{
	struct mix *m = place_mix(&p->all, w->service);
	struct place_hold *h;

	if ((h = hold_find(p, node, id)) != NULL)
		hold_end(p, now, h);
	h = g_new0(struct place_hold, 1);
	h->node = node;
	h->id = id;
	h->server = v->id;
	h->service = w->service;
	h->route = w->route;
	h->tokens = w->own;
	if (!server_memory_has(
		&p->servers->all_memory, now, v->id, w->prompt, PLACE_HOLD_MS))
		h->tokens += w->shared;
	p->counters.tokens += w->own + w->shared;
	p->counters.tokens_kept += w->own + w->shared - h->tokens;
	h->since = now;
	RB_INSERT(place_holds, &p->holds, h);
	load_add(&v->all, h->tokens);
	if (w->prompt != 0)
		server_memory_note(
		    &p->servers->all_memory, now, v->id, w->prompt);
	mix_started(m, now, w->route);
	p->counters.coordinated++;
}

/* A kind of request is known by its first, whoever placed it. */
static void
place_seen(struct place_mixes *mixes, msec now, const struct server_wish *w)
{
	if (w->own + w->shared > 0)
		mix_request(place_mix(mixes, w->service), now, w->route,
		    w->gap_target, w->own + w->shared);
}

static struct server *
place_coordinate(struct place *p, msec now, name_id node, uint32_t id,
    const struct server_wish *w)
{
	unsigned int groups = place_groups(p, w->service);
	unsigned int group = place_group(p, w, groups);
	struct server *v;

	if (now - p->coordinated_at > PLACE_IDLE_MS)
		p->coordinates_since = now;
	p->coordinated_at = now;
	place_seen(&p->all, now, w);
	v = place_choose(p, now, w, true, groups, group);
	if (v != NULL)
		hold_begin(p, now, node, id, v, w);
	return v;
}

/* How a request ended, on the wire and back. */
static const struct {
	enum server_result result;
	enum sp_place_what what;
} place_ends[] = {
	{ SERVER_WELL, SP_PLACE_WELL },
	{ SERVER_FAILED, SP_PLACE_FAILED },
	{ SERVER_DOWN, SP_PLACE_DOWN },
};

static enum server_result
place_result(enum sp_place_what what)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(place_ends); i++) {
		if (place_ends[i].what == what)
			return place_ends[i].result;
	}
	return SERVER_UNKNOWN;
}

static enum sp_place_what
place_what(enum server_result result)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(place_ends); i++) {
		if (place_ends[i].result == result)
			return place_ends[i].what;
	}
	return SP_PLACE_ENDED;
}

static void
place_step(struct place *p, msec now, name_id node, uint32_t id,
    enum sp_place_what what)
{
	struct place_hold *h = hold_find(p, node, id);
	struct server *v;

	if (h == NULL)
		return;
	if (what == SP_PLACE_READ) {
		hold_read(p, h);
		return;
	}
	/* Our own requests have taught us already. */
	v = servers_find(p->servers, h->server);
	if (v != NULL && node != p->self)
		server_learn(v, now, place_result(what));
	hold_end(p, now, h);
}

/* ---- messages ---- */

static void
wish_encode(sp_place_wish *m, const struct server_wish *w)
{
	*m = (sp_place_wish){ .service = w->service,
		.route = w->route,
		.prompt = w->prompt,
		.shared = w->shared,
		.own = w->own,
		.out = w->out,
		.gap_ms = (u_int)w->gap_target,
		.rank = w->rank };
	/* An encoder only reads; its signature serves both directions. */
	m->avoid.avoid_len = w->navoid;
	m->avoid.avoid_val = (u_quad_t *)w->avoid;
}

static void
wish_decode(struct server_wish *w, const sp_place_wish *m)
{
	*w = (struct server_wish){ .service = m->service,
		.route = m->route,
		.prompt = m->prompt,
		.shared = m->shared,
		.own = m->own,
		.out = m->out,
		.gap_target = m->gap_ms,
		.rank = m->rank };
	w->navoid = MIN(m->avoid.avoid_len, SERVER_AVOID_MAX);
	memcpy(w->avoid, m->avoid.avoid_val, w->navoid * sizeof *w->avoid);
}

static void
place_tell_step(
    struct place *p, msec now, struct place_request *r, enum sp_place_what what)
{
	sp_msg msg = { .kind = SP_PLACE_STEP };

	if (r->id == 0)
		return;
	if (r->coordinator == p->self) {
		place_step(p, now, p->self, r->id, what);
		return;
	}
	msg.sp_msg_u.place_step.id = r->id;
	msg.sp_msg_u.place_step.service = r->wish.service;
	msg.sp_msg_u.place_step.what = what;
	p->ops->send(p, r->coordinator, &msg);
}

/* ---- as the node of the request ---- */

/* It goes to the server: count it among our own. */
static void
place_decide(
    struct place *p, msec now, struct place_request *r, struct server *v)
{
	if (v != NULL) {
		r->server = v->id;
		r->local = true;
		TAILQ_INSERT_TAIL(&p->running, r, entry);
		r->unread = true;
		load_add(&v->own, r->wish.own + r->wish.shared);
		mix_started(
		    place_mix(&p->own, r->wish.service), now, r->wish.route);
		if (r->wish.prompt != 0)
			server_memory_note(
			    &p->servers->memory, now, v->id, r->wish.prompt);
	}
	p->ops->decided(p, r, v, now);
}

/* The coordinator hears of a request that it did not place itself. */
static void
place_tell_took(struct place *p, msec now, struct place_request *r)
{
	struct server *v = servers_find(p->servers, r->server);
	sp_msg msg = { .kind = SP_PLACE_TOOK };
	struct server_wish w = r->wish;

	if (v == NULL || r->id == 0)
		return;
	if (!r->unread)
		w.own = w.shared = 0;
	if (r->coordinator == p->self) {
		hold_begin(p, now, p->self, r->id, v, &w);
		return;
	}
	msg.sp_msg_u.place_took.id = r->id;
	msg.sp_msg_u.place_took.server = v->id;
	wish_encode(&msg.sp_msg_u.place_took.wish, &w);
	p->ops->send(p, r->coordinator, &msg);
}

/* Without an answer: by our own requests, and the coordinator hears of it. */
static void
place_alone(struct place *p, msec now, struct place_request *r)
{
	unsigned int groups = place_groups(p, r->wish.service);
	unsigned int group = place_group(p, &r->wish, groups);
	struct server *v;

	v = place_choose(p, now, &r->wish, false, groups, group);
	if (v == NULL && groups > 1)
		v = place_choose(p, now, &r->wish, false, 1, 0);
	p->counters.alone++;
	r->server = v != NULL ? v->id : 0;
	r->unread = true;
	place_tell_took(p, now, r);
	place_decide(p, now, r, v);
}

static void
place_ask(struct place *p, msec now, struct place_request *r)
{
	sp_msg msg = { .kind = SP_PLACE_ASK };

	r->waiting = true;
	r->asked = now;
	TAILQ_INSERT_TAIL(&p->waiting, r, entry);
	msg.sp_msg_u.place_ask.id = r->id;
	wish_encode(&msg.sp_msg_u.place_ask.wish, &r->wish);
	p->ops->send(p, r->coordinator, &msg);
	p->counters.asked++;
}

void
place_submit(struct place *p, msec now, struct place_request *r)
{
	unsigned int groups = place_groups(p, r->wish.service);
	unsigned int group = place_group(p, &r->wish, groups);
	struct server *v;

	r->waiting = r->local = r->unread = false;
	r->server = 0;
	if (++p->next_id == 0)
		p->next_id = 1;
	r->id = p->next_id;
	r->coordinator = place_coordinator(p, r->wish.service, group);
	place_seen(&p->own, now, &r->wish);
	if (r->coordinator == p->self) {
		v = place_coordinate(p, now, p->self, r->id, &r->wish);
		if (v == NULL)
			v = place_choose(p, now, &r->wish, false, 1, 0);
		place_decide(p, now, r, v);
	} else if (now < p->alone_until) {
		place_alone(p, now, r);
	} else {
		place_ask(p, now, r);
	}
}

void
place_read(struct place *p, msec now, struct place_request *r)
{
	struct server *v;

	if (!r->unread)
		return;
	r->unread = false;
	if ((v = servers_find(p->servers, r->server)) != NULL)
		load_read(&v->own, r->wish.own + r->wish.shared);
	place_tell_step(p, now, r, SP_PLACE_READ);
}

void
place_end(struct place *p, msec now, struct place_request *r,
    enum server_result result)
{
	struct server *v;

	if (r->waiting)
		TAILQ_REMOVE(&p->waiting, r, entry);
	r->waiting = false;
	if (r->local) {
		TAILQ_REMOVE(&p->running, r, entry);
		v = servers_find(p->servers, r->server);
		if (v != NULL && r->unread)
			load_read(&v->own, r->wish.own + r->wish.shared);
		if (v != NULL) {
			load_end(&v->own);
			server_learn(v, now, result);
		}
		mix_ended(
		    place_mix(&p->own, r->wish.service), now, r->wish.route);
	}
	r->local = r->unread = false;
	place_tell_step(p, now, r, place_what(result));
	r->id = 0;
}

static void
place_answered(struct place *p, msec now, name_id from, const sp_place_tell *t)
{
	struct place_request *r;
	struct server *v;

	TAILQ_FOREACH (r, &p->waiting, entry) {
		if (r->id == t->id && r->coordinator == from)
			break;
	}
	if (r == NULL) {
		p->counters.late++;
		return;
	}
	TAILQ_REMOVE(&p->waiting, r, entry);
	r->waiting = false;
	p->missed = 0;
	p->counters.answered++;
	p->round_trip += 0.1 * ((double)(now - r->asked) - p->round_trip);
	v = t->server != 0 ? servers_find(p->servers, t->server) : NULL;
	/* What we know of draining servers goes before another's choice. */
	if (v == NULL || v->state != SERVER_READY)
		place_alone(p, now, r);
	else
		place_decide(p, now, r, v);
}

void
place_receive(struct place *p, msec now, name_id from, const sp_msg *msg)
{
	const sp_place_took *took = &msg->sp_msg_u.place_took;
	const sp_place_step *step = &msg->sp_msg_u.place_step;
	const sp_place_ask *ask = &msg->sp_msg_u.place_ask;
	sp_msg reply = { .kind = SP_PLACE_TELL };
	struct server_wish w;
	struct server *v;

	switch (msg->kind) {
	case SP_PLACE_ASK:
		wish_decode(&w, &ask->wish);
		v = place_coordinate(p, now, from, ask->id, &w);
		reply.sp_msg_u.place_tell.id = ask->id;
		reply.sp_msg_u.place_tell.server = v != NULL ? v->id : 0;
		p->ops->send(p, from, &reply);
		break;
	case SP_PLACE_TELL:
		place_answered(p, now, from, &msg->sp_msg_u.place_tell);
		break;
	case SP_PLACE_TOOK:
		wish_decode(&w, &took->wish);
		place_seen(&p->all, now, &w);
		if ((v = servers_find(p->servers, took->server)) != NULL)
			hold_begin(p, now, from, took->id, v, &w);
		break;
	case SP_PLACE_STEP:
		place_step(p, now, from, step->id, step->what);
		break;
	default:
		break;
	}
}

/* ---- nodes ---- */

/* Another node coordinates from now on: it hears what runs. */
static void
place_move(struct place *p, msec now, struct place_request *r)
{
	unsigned int groups = place_groups(p, r->wish.service);
	unsigned int group = place_group(p, &r->wish, groups);
	name_id to = place_coordinator(p, r->wish.service, group);

	if (r->id == 0 || to == r->coordinator)
		return;
	place_tell_step(p, now, r, SP_PLACE_ENDED);
	r->coordinator = to;
	place_tell_took(p, now, r);
}

static bool
nodes_same(
    const struct place *p, const struct place_node *nodes, unsigned int n)
{
	unsigned int i;

	if (n != p->nnodes)
		return false;
	for (i = 0; i < n; i++) {
		if (nodes[i].id != p->nodes[i].id ||
		    nodes[i].takes_work != p->nodes[i].takes_work)
			return false;
	}
	return true;
}

void
place_set_nodes(
    struct place *p, msec now, const struct place_node *nodes, unsigned int n)
{
	struct place_request *r;

	if (n >= p->fleet || now - p->fleet_at >= PLACE_FLEET_MS) {
		p->fleet = n;
		p->fleet_at = now;
	}
	if (nodes_same(p, nodes, n))
		return;
	g_free(p->nodes);
	p->nodes = g_memdup2(nodes, n * sizeof *nodes);
	p->nnodes = n;
	TAILQ_FOREACH (r, &p->running, entry)
		place_move(p, now, r);
}

/* ---- time ---- */

static msec
place_patience(const struct place *p)
{
	return CLAMP((msec)(p->round_trip * PLACE_WAIT_TIMES),
	    PLACE_WAIT_LEAST_MS, PLACE_WAIT_MOST_MS);
}

/* Requests end without a word when their node does. */
static void
place_sweep(struct place *p, msec now)
{
	struct place_hold *h, *next;

	RB_FOREACH_SAFE (h, place_holds, &p->holds, next) {
		if (now - h->since >= PLACE_HOLD_MS)
			hold_end(p, now, h);
	}
}

msec
place_tick(struct place *p, msec now)
{
	struct place_request *r;

	while ((r = TAILQ_FIRST(&p->waiting)) != NULL) {
		if (now - r->asked < place_patience(p))
			return r->asked + place_patience(p);
		TAILQ_REMOVE(&p->waiting, r, entry);
		r->waiting = false;
		if (++p->missed >= PLACE_MISSED_MAX) {
			log_debug("no answer from coordinators for a while");
			p->missed = 0;
			p->alone_until = now + PLACE_ALONE_MS;
		}
		place_alone(p, now, r);
	}
	if (now >= p->next_sweep) {
		p->next_sweep = now + PLACE_SWEEP_MS;
		place_sweep(p, now);
	}
	return p->next_sweep;
}
