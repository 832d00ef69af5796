/*
 * Selection of a server at the node that received the request; see place.h.
 * place-coordinate.c has the coordinator's side.
 */

#define LOG_PART "place"
#include "place-private.h"

#include <string.h>

/*
 * Time limit of a coordinator's reply: a multiple of the smoothed round trip,
 * within these bounds.
 */
#define PLACE_REPLY_TIMEOUT_MIN_MS 20
#define PLACE_REPLY_TIMEOUT_MAX_MS 80
#define PLACE_REPLY_TIMEOUT_FACTOR 4
/* After this many missed replies in a row, do not ask for PLACE_ALONE_MS. */
#define PLACE_MISSED_MAX 6
#define PLACE_ALONE_MS 1000
/*
 * Guards against a network partition that looks like a smaller fleet: a
 * partitioned node would take its own requests for all traffic. It uses the
 * largest number of nodes seen in this period.
 */
#define PLACE_MAX_NODES_MS (30 * MSEC_SECOND)
#define PLACE_SWEEP_MS MSEC_SECOND
/*
 * Minimum process age of a coordinator: membership updates take up to 3 s to
 * reach all of 60 nodes while others join and leave. If fewer than one in
 * PLACE_COORDINATORS_ONE_IN nodes that take work are that old, all of them
 * coordinate, so that a few nodes do not decide for all.
 */
#define PLACE_COORDINATOR_AGE_MS (5 * MSEC_SECOND)
#define PLACE_COORDINATORS_ONE_IN 4

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
	RB_INIT(&p->records);
}

void
place_finish(struct place *p)
{
	place_records_free(p);
	place_mixes_free(&p->own);
	place_mixes_free(&p->all);
	g_free(p->nodes);
	p->nodes = NULL;
}

bool
place_queue_exceeds_limit(const struct place_queue *q)
{
	return q->limit > 0 && q->ahead > q->limit;
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
		.gap_ms = (u_int)w->gap_target,
		.target_ms = (u_int)w->target,
		.rank = w->rank,
		.software = w->software,
		.repeat = w->repeat,
		.organisation = w->organisation };
	/* XDR encoding only reads the list, but its type is not const. */
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
		.gap_target = m->gap_ms,
		.target = m->target_ms,
		.rank = m->rank,
		.software = m->software,
		.repeat = m->repeat,
		.organisation = m->organisation };
	w->navoid = MIN(m->avoid.avoid_len, SERVER_AVOID_MAX);
	if (w->navoid > 0)
		memcpy(
		    w->avoid, m->avoid.avoid_val, w->navoid * sizeof *w->avoid);
}

static void
place_send_step(
    struct place *p, msec now, struct place_request *r, enum sp_place_what what)
{
	sp_msg msg = { .kind = SP_PLACE_STEP };
	sp_place_step *step = &msg.sp_msg_u.place_step;

	if (r->id == 0)
		return;
	step->id = r->id;
	step->service = r->wish.service;
	step->what = what;
	/* The change of servers counts in the pause of a later attempt. */
	if (r->wish.navoid == 0)
		step->gap_ms = (u_int)r->gap;
	if (r->coordinator == p->self)
		place_step(p, now, p->self, step);
	else
		p->ops->send(p, r->coordinator, &msg);
}

/* ---- requests of this node ---- */

/* Counts the request on its server and reports the decision. */
static void
place_decide(
    struct place *p, msec now, struct place_request *r, struct server *v)
{
	if (v != NULL) {
		r->server = v->id;
		r->local = true;
		TAILQ_INSERT_TAIL(&p->running, r, entry);
		r->unread = true;
		place_load_add(
		    &v->own, r->wish.rank, r->wish.own + r->wish.shared);
		mix_started(place_traffic(&p->own, r->wish.service), now,
		    r->wish.route);
		if (r->wish.prompt != 0)
			server_memory_note(&p->servers->memory, now,
			    server_cache_id(v), r->wish.prompt);
	}
	p->ops->decided(p, r, v, now);
}

/* Reports a request to a coordinator that did not place it. */
static void
place_send_took(struct place *p, msec now, struct place_request *r)
{
	struct server *v = servers_find(p->servers, r->server);
	sp_msg msg = { .kind = SP_PLACE_TOOK };
	struct server_wish w = r->wish;

	if (v == NULL || r->id == 0)
		return;
	if (!r->unread)
		w.own = w.shared = 0;
	if (r->coordinator == p->self) {
		place_record_begin(p, now, p->self, r->id, v, &w, NULL, NULL);
		return;
	}
	msg.sp_msg_u.place_took.id = r->id;
	msg.sp_msg_u.place_took.server = v->id;
	wish_encode(&msg.sp_msg_u.place_took.wish, &w);
	p->ops->send(p, r->coordinator, &msg);
}

/*
 * Records whether the coordinator, which may be this node, reported a queue
 * beyond the limit.
 */
static void
place_note_reply(struct place *p, msec now, const struct place_request *r)
{
	const struct place_queue *q = &r->queue;
	struct server_refusals *t;

	/* A request that was sent before is always admitted. */
	if (r->wish.navoid > 0)
		return;
	t = mix_refusals(
	    place_traffic(&p->own, r->wish.service), r->wish.route);
	if (t != NULL)
		server_refusals_record(t, now, place_queue_exceeds_limit(q),
		    q->wait, q->ahead, q->limit);
}

/*
 * Guards against a burst that is admitted whole while coordinators do not
 * reply: without this, servers refused 11,138 of 44,430 arrivals, with it 396
 * of 29,122 (60 nodes restarted one every 0.27 s, 90 servers, six times the
 * load). A node cannot derive the queue lengths from its own requests, but
 * the traffic of the other nodes changes little within seconds, so it refuses
 * the same share of its requests as the coordinators did last.
 */
static bool
place_refuse_alone(struct place *p, msec now, struct place_request *r)
{
	const struct server_refusals *t = mix_refusals(
	    place_traffic(&p->own, r->wish.service), r->wish.route);

	if (r->wish.navoid > 0 || t == NULL ||
	    !server_refusals_apply(t, now, g_rand_double(p->rand)))
		return false;
	r->queue = (struct place_queue){ t->wait, t->ahead, t->limit, false };
	p->counters.alone_refused++;
	return true;
}

/*
 * Selects a server without the coordinator's reply, by the requests of this
 * node, and reports the choice to the coordinator.
 */
static void
place_decide_alone(struct place *p, msec now, struct place_request *r)
{
	unsigned int groups = place_count_groups(p, r->wish.service);
	unsigned int group = place_group(p, &r->wish, groups);
	struct server *v;

	v = place_choose_server(p, now, &r->wish, groups, group, &r->source);
	if (v == NULL && groups > 1)
		v = place_choose_server(p, now, &r->wish, 1, 0, &r->source);
	p->counters.alone++;
	/* A refused request reaches no server, so no coordinator counts it. */
	if (v != NULL && place_refuse_alone(p, now, r))
		r->id = 0;
	r->server = v != NULL ? v->id : 0;
	r->unread = true;
	place_send_took(p, now, r);
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
	unsigned int groups = place_count_groups(p, r->wish.service);
	unsigned int group = place_group(p, &r->wish, groups);
	struct server *v;

	r->waiting = r->local = r->unread = r->late = false;
	r->server = r->source = 0;
	r->gap = 0;
	r->queue = (struct place_queue){ 0 };
	if (p->policy != NULL) {
		r->id = 0;
		place_decide(p, now, r, place_pick_baseline(p, now, &r->wish));
		return;
	}
	if (++p->next_id == 0)
		p->next_id = 1;
	r->id = p->next_id;
	r->coordinator = place_coordinator(p, r->wish.service, group);
	place_count_request(p, now, &r->wish, false);
	if (r->coordinator == p->self) {
		v = place_coordinate_request(
		    p, now, p->self, r->id, &r->wish, &r->queue, &r->source);
		place_note_reply(p, now, r);
		/* Brittle servers without room get none, whoever chooses. */
		if (v == NULL &&
		    !servers_have_brittle(p->servers, r->wish.service, now))
			v = place_choose_server(
			    p, now, &r->wish, 1, 0, &r->source);
		place_decide(p, now, r, v);
	} else if (now < p->alone_until) {
		place_decide_alone(p, now, r);
	} else {
		place_ask(p, now, r);
	}
}

void
place_prompt_read(struct place *p, msec now, struct place_request *r)
{
	struct server *v;

	if (!r->unread)
		return;
	r->unread = false;
	if ((v = servers_find(p->servers, r->server)) != NULL)
		place_load_read(
		    &v->own, r->wish.rank, r->wish.own + r->wish.shared);
	place_send_step(p, now, r, SP_PLACE_READ);
}

void
place_hand_over(struct place *p, msec now, struct place_request *from,
    struct place_request *to)
{
	struct server *v = servers_find(p->servers, from->server);
	void *arg = to->arg;

	*to = *from;
	to->arg = arg;
	from->local = from->unread = false;
	from->id = 0;
	if (!to->local)
		return;
	TAILQ_REMOVE(&p->running, from, entry);
	TAILQ_INSERT_TAIL(&p->running, to, entry);
	if (!to->unread || v == NULL)
		return;
	place_load_read(&v->own, to->wish.rank, to->wish.own + to->wish.shared);
	to->unread = false;
	/* Not as read: the time would count as the server's reading speed. */
	place_send_took(p, now, to);
}

void
place_mark_late(struct place *p, msec now, struct place_request *r)
{
	if (r->late || !r->local)
		return;
	r->late = true;
	place_send_step(p, now, r, SP_PLACE_LATE);
}

void
place_mark_brittle(struct place *p, msec now, struct place_request *r)
{
	if (r->local)
		place_send_step(p, now, r, SP_PLACE_BRITTLE);
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
			place_load_read(&v->own, r->wish.rank,
			    r->wish.own + r->wish.shared);
		if (v != NULL) {
			place_load_end(&v->own);
			server_record_result(v, now, result);
			if (result == SERVER_FULL)
				server_room_rejected(&v->room, now, v->slots);
		}
		mix_ended(place_traffic(&p->own, r->wish.service), now,
		    r->wish.route);
	}
	r->local = r->unread = false;
	place_send_step(p, now, r, place_result_encode(result));
	r->id = 0;
}

static void
place_receive_reply(
    struct place *p, msec now, name_id from, const sp_place_tell *t)
{
	struct place_request *r;
	struct server *v;
	u_int i;

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
	r->queue = (struct place_queue){ t->wait_ms, t->ahead_ms, t->limit_ms,
		t->by_share };
	place_note_reply(p, now, r);
	p->round_trip += 0.1 * ((double)(now - r->asked) - p->round_trip);
	v = t->server != 0 ? servers_find(p->servers, t->server) : NULL;
	for (i = 0; i < t->rates.rates_len; i++)
		place_rate_receive(p, now, from, &t->rates.rates_val[i]);
	/* A new coordinator may not have the server's rate limit yet. */
	if (v != NULL && v->rate.per_s > 0 && !t->rated) {
		place_rate_received(p, now, v);
		v = NULL;
	}
	/* Brittle servers have no room left. */
	if (t->server == 0 &&
	    servers_have_brittle(p->servers, r->wish.service, now))
		place_decide(p, now, r, NULL);
	/* A server that this node knows to be draining is not used. */
	else if (v == NULL || !server_takes_work(v, now) ||
		 !server_suits(v, &r->wish))
		place_decide_alone(p, now, r);
	else {
		r->source = t->source;
		place_decide(p, now, r, v);
	}
}

/* As coordinator: replies to a query. */
static void
place_reply_to_query(
    struct place *p, msec now, name_id from, const sp_place_ask *ask)
{
	sp_msg msg = { .kind = SP_PLACE_TELL };
	sp_place_tell *t = &msg.sp_msg_u.place_tell;
	sp_place_rate rates[SAVORY_RATED_MAX];
	struct place_queue queue;
	name_id source;
	struct server_wish w;
	struct server *v;

	wish_decode(&w, &ask->wish);
	v = place_coordinate_request(
	    p, now, from, ask->id, &w, &queue, &source);
	t->id = ask->id;
	t->server = v != NULL ? v->id : 0;
	t->wait_ms = (u_int)queue.wait;
	t->ahead_ms = (u_int)queue.ahead;
	t->limit_ms = (u_int)queue.limit;
	t->by_share = queue.by_share;
	t->source = source;
	t->rated = v != NULL && v->rate.per_s > 0;
	t->rates.rates_val = rates;
	t->rates.rates_len = place_rates_list(p, now, &w, rates);
	p->ops->send(p, from, &msg);
}

void
place_receive(struct place *p, msec now, name_id from, const sp_msg *msg)
{
	const sp_place_return *back = &msg->sp_msg_u.place_return;
	const sp_place_took *took = &msg->sp_msg_u.place_took;
	const sp_place_step *step = &msg->sp_msg_u.place_step;
	const sp_place_ask *ask = &msg->sp_msg_u.place_ask;
	struct server_wish w;
	struct server *v;

	switch (msg->kind) {
	case SP_PLACE_ASK:
		place_reply_to_query(p, now, from, ask);
		break;
	case SP_PLACE_TELL:
		place_receive_reply(p, now, from, &msg->sp_msg_u.place_tell);
		break;
	case SP_PLACE_RETURN:
		returns_note(&p->returns, now, back->repeat);
		break;
	case SP_PLACE_TOOK:
		wish_decode(&w, &took->wish);
		place_count_request(p, now, &w, true);
		if ((v = servers_find(p->servers, took->server)) != NULL)
			place_record_begin(
			    p, now, from, took->id, v, &w, NULL, NULL);
		break;
	case SP_PLACE_STEP:
		place_step(p, now, from, step);
		break;
	case SP_PLACE_RATE:
		place_rate_receive(p, now, from, &msg->sp_msg_u.place_rate);
		break;
	default:
		break;
	}
}

/* ---- nodes ---- */

/* Reports a running request to the coordinator that its group has now. */
static void
place_update_coordinator(struct place *p, msec now, struct place_request *r)
{
	unsigned int groups = place_count_groups(p, r->wish.service);
	unsigned int group = place_group(p, &r->wish, groups);
	name_id to = place_coordinator(p, r->wish.service, group);

	if (r->id == 0 || to == r->coordinator)
		return;
	place_send_step(p, now, r, SP_PLACE_ENDED);
	r->coordinator = to;
	place_send_took(p, now, r);
}

/*
 * Guards against two coordinators of one group: without a minimum age, nodes
 * that have learned of a restarted node would use it at once while the others
 * still use the previous coordinator. Each of the two would count a part of
 * the load and admit requests for which there is no capacity. All nodes use
 * the age of its process, so they switch at the same time.
 */
static void
nodes_set_coordinators(struct place_node *nodes, unsigned int n)
{
	unsigned int i, takers = 0, grown = 0;

	for (i = 0; i < n; i++) {
		nodes[i].coordinates =
		    nodes[i].takes_work &&
		    (nodes[i].age < 0 ||
			nodes[i].age >= PLACE_COORDINATOR_AGE_MS);
		takers += nodes[i].takes_work;
		grown += nodes[i].coordinates;
	}
	if (grown * PLACE_COORDINATORS_ONE_IN >= takers)
		return;
	for (i = 0; i < n; i++)
		nodes[i].coordinates = nodes[i].takes_work;
}

static bool
nodes_equal(
    const struct place *p, const struct place_node *nodes, unsigned int n)
{
	unsigned int i;

	if (n != p->nnodes)
		return false;
	for (i = 0; i < n; i++) {
		if (nodes[i].id != p->nodes[i].id ||
		    nodes[i].takes_work != p->nodes[i].takes_work ||
		    nodes[i].coordinates != p->nodes[i].coordinates)
			return false;
	}
	return true;
}

void
place_set_nodes(
    struct place *p, msec now, const struct place_node *list, unsigned int n)
{
	struct place_node *nodes = g_memdup2(list, n * sizeof *list);
	struct place_request *r;

	if (n >= p->max_nodes || now - p->max_nodes_at >= PLACE_MAX_NODES_MS) {
		p->max_nodes = n;
		p->max_nodes_at = now;
	}
	nodes_set_coordinators(nodes, n);
	if (nodes_equal(p, nodes, n)) {
		g_free(nodes);
		return;
	}
	g_free(p->nodes);
	p->nodes = nodes;
	p->nnodes = n;
	TAILQ_FOREACH (r, &p->running, entry)
		place_update_coordinator(p, now, r);
	place_resend_rates(p, now);
}

/* ---- time ---- */

static msec
place_reply_timeout(const struct place *p)
{
	return CLAMP((msec)(p->round_trip * PLACE_REPLY_TIMEOUT_FACTOR),
	    PLACE_REPLY_TIMEOUT_MIN_MS, PLACE_REPLY_TIMEOUT_MAX_MS);
}

msec
place_tick(struct place *p, msec now)
{
	struct place_request *r;

	while ((r = TAILQ_FIRST(&p->waiting)) != NULL) {
		if (now - r->asked < place_reply_timeout(p))
			return r->asked + place_reply_timeout(p);
		TAILQ_REMOVE(&p->waiting, r, entry);
		r->waiting = false;
		if (++p->missed >= PLACE_MISSED_MAX) {
			log_debug("no answer from coordinators for a while");
			p->missed = 0;
			p->alone_until = now + PLACE_ALONE_MS;
		}
		place_decide_alone(p, now, r);
	}
	if (now >= p->next_sweep) {
		p->next_sweep = now + PLACE_SWEEP_MS;
		place_expire_records(p, now);
		if (now >= p->next_rates)
			place_resend_rates(p, now);
	}
	return p->next_sweep;
}
