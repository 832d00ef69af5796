/*
 * The coordinator's side of server selection (see place.h): the groups of
 * servers and their coordinators, the requests counted on each server, and the
 * choice of a server.
 */

#define LOG_PART "place"
#include "place-private.h"

#include <math.h>
#include <string.h>

#include <xxhash.h>

/* Limit of a request that returns, as a multiple of that of a new one. */
#define PLACE_RETURN_LIMIT_TIMES 2
/* A counted request whose end was not reported is dropped after this. */
#define PLACE_RECORD_MS (30 * MSEC_SECOND)
/* A coordinator without a request for this long counts as a new one. */
#define PLACE_IDLE_MS (5 * MSEC_SECOND)
/* In this time after its start it may not know which prompts servers hold. */
#define PLACE_YOUNG_MS (15 * MSEC_SECOND)
/* In this time the previous coordinator may still be active. */
#define PLACE_TAKEOVER_MS (4 * MSEC_SECOND)
/* Maximum groups of a service; more servers make the groups larger. */
#define PLACE_GROUPS_MAX 64
/* Minimum ready servers per group if the service has a configured maximum. */
#define PLACE_GROUP_MIN_READY 6
/* Slots assumed if no server of the service reports its own. */
#define PLACE_SLOTS_DEFAULT 32

/* A request counted by a coordinator on a server. */
struct place_record {
	RB_ENTRY(place_record) entry;
	name_id node;
	uint32_t id;
	name_id server;
	uint64_t cache; /* of the server's process */
	name_id service;
	name_id route;
	uint64_t prompt;	/* shared prefix new to its server; 0: none */
	uint64_t shared_prompt; /* shared prefix; 0: none */
	/* Its server had no other prompt to read, and reads all of this one. */
	bool alone;
	bool read; /* its server has read the prompt */
	unsigned int rank;
	unsigned int tokens; /* unread prompt tokens */
	unsigned int own;    /* prompt tokens after the shared prefix */
	bool model;	     /* the request has a prompt */
	bool near_limit;     /* it was admitted near the limit */
	bool late;	     /* recorded as late in the limit */
	bool counted;	     /* as running in the statistics of its route */
	msec since;
};

static int place_record_compare(struct place_record *, struct place_record *);

RB_PROTOTYPE(place_records, place_record, entry, place_record_compare)
RB_GENERATE(place_records, place_record, entry, place_record_compare)
RB_GENERATE(place_mixes, mix, entry, place_mix_compare)

static int
place_record_compare(struct place_record *a, struct place_record *b)
{
	if (a->node != b->node)
		return a->node < b->node ? -1 : 1;
	return a->id < b->id ? -1 : a->id > b->id;
}

int
place_mix_compare(struct mix *a, struct mix *b)
{
	return a->service < b->service ? -1 : a->service > b->service;
}

struct mix *
place_traffic(struct place_mixes *all, name_id service)
{
	struct mix find = { .service = service }, *m;

	if ((m = RB_FIND(place_mixes, all, &find)) != NULL)
		return m;
	m = g_new0(struct mix, 1);
	m->service = service;
	RB_INSERT(place_mixes, all, m);
	return m;
}

void
place_mixes_free(struct place_mixes *all)
{
	struct mix *m;

	while ((m = RB_MIN(place_mixes, all)) != NULL) {
		RB_REMOVE(place_mixes, all, m);
		g_free(m->share);
		g_free(m);
	}
}

void
place_records_free(struct place *p)
{
	struct place_record *h;

	while ((h = RB_MIN(place_records, &p->records)) != NULL) {
		RB_REMOVE(place_records, &p->records, h);
		g_free(h);
	}
}

/* ---- groups and their coordinators ---- */

void
place_set_max_servers(struct place *p, name_id service, unsigned int most)
{
	place_traffic(&p->own, service)->servers_max = most;
}

void
place_set_transfer(
    struct place *p, name_id service, const struct prompt_transfer *t)
{
	place_traffic(&p->own, service)->transfer = *t;
}

void
place_set_fair_shares(struct place *p, bool fair_shares)
{
	p->fair_shares = fair_shares;
}

static unsigned int
groups_of(unsigned int servers)
{
	unsigned int n =
	    (servers + PLACE_GROUP_SERVERS - 1) / PLACE_GROUP_SERVERS;

	return CLAMP(n, 1, PLACE_GROUPS_MAX);
}

/*
 * A change of the number of groups moves a part of all prompts to other
 * servers, which read them again. So if the service has a configured maximum of
 * servers, the number of groups is computed from that maximum and not from the
 * ready servers, and is halved only while groups have too few ready servers.
 */
unsigned int
place_count_groups(struct place *p, name_id service)
{
	struct server_view whole = { .groups = 1 };
	unsigned int ready = servers_count_ready(p->servers, service, &whole);
	unsigned int most = place_traffic(&p->own, service)->servers_max, n;

	if (ready > most)
		return groups_of(ready);
	for (n = groups_of(most); n > 1 && ready < n * PLACE_GROUP_MIN_READY;)
		n = (n + 1) / 2;
	return n;
}

static uint64_t
place_weight(uint64_t a, uint64_t b, uint64_t c)
{
	uint64_t words[3] = { a, b, c };

	return XXH64(words, sizeof words, 4);
}

/* Counts the ready servers of each group. */
static void
place_group_sizes(
    struct place *p, name_id service, unsigned int groups, unsigned int *sizes)
{
	struct server *v;

	RB_FOREACH (v, server_tree, &p->servers->tree) {
		if (v->service == service && v->state == SERVER_READY)
			sizes[server_group(v, groups)]++;
	}
}

/*
 * Selects the group by the prompt's hash, or at random for a request without a
 * prompt. Groups are weighted by their size (weighted rendezvous hashing): a
 * group with 20 % more servers gets 20 % more prompts.
 */
unsigned int
place_group(struct place *p, const struct server_wish *w, unsigned int groups)
{
	unsigned int sizes[PLACE_GROUPS_MAX] = { 0 }, i, best = 0;
	double u, score, most = 0;
	uint64_t draw;

	if (groups <= 1)
		return 0;
	draw = w->prompt != 0 ? w->prompt
			      : ((uint64_t)g_rand_int(p->rand) << 1) + 1;
	place_group_sizes(p, w->service, groups, sizes);
	for (i = 0; i < groups; i++) {
		u = ((double)place_weight(draw, i, 0) + 1) /
		    18446744073709551616.0;
		score = -(double)sizes[i] / log(u);
		if (score > most) {
			most = score;
			best = i;
		}
	}
	return best;
}

/*
 * Returns the node other than `except` with the highest weight for a group;
 * this node if there is none.
 */
static name_id
place_best_coordinator(
    struct place *p, name_id service, unsigned int group, name_id except)
{
	uint64_t weight, most = 0;
	name_id best = p->self;
	unsigned int i;

	for (i = 0; i < p->nnodes; i++) {
		if (!p->nodes[i].coordinates || p->nodes[i].id == except)
			continue;
		weight = place_weight(p->nodes[i].id, service, group);
		if (weight >= most) {
			most = weight;
			best = p->nodes[i].id;
		}
	}
	return best;
}

name_id
place_coordinator(struct place *p, name_id service, unsigned int group)
{
	return place_best_coordinator(p, service, group, 0);
}

/*
 * As coordinator: the group of a request. One without a prompt may be of any;
 * of another's group this node does not know the load.
 */
static unsigned int
place_coordinated_group(
    struct place *p, const struct server_wish *w, unsigned int groups)
{
	unsigned int group = place_group(p, w, groups), i, other;

	for (i = 0; w->prompt == 0 && i < groups; i++) {
		other = (group + i) % groups;
		if (place_coordinator(p, w->service, other) == p->self)
			return other;
	}
	return group;
}

/* The node that would coordinate the group without this one. */
static name_id
place_successor(struct place *p, name_id service, unsigned int group)
{
	return place_best_coordinator(p, service, group, p->self);
}

/* ---- deciding ---- */

static unsigned int
place_service_slots(struct place *p, name_id service)
{
	struct server *v;

	RB_FOREACH (v, server_tree, &p->servers->tree) {
		if (v->service == service && v->slots > 0)
			return v->slots;
	}
	return PLACE_SLOTS_DEFAULT;
}

/*
 * Returns true if there is a coordinator for all nodes, or no other node. If
 * all nodes are stopping, none coordinates and each places its own requests
 * only; none may then use a server's whole rate limit.
 */
static bool
place_has_coordinator(const struct place *p)
{
	unsigned int i;

	for (i = 0; i < p->nnodes; i++) {
		if (p->nodes[i].coordinates)
			return true;
	}
	return p->nnodes <= 1;
}

/* `all`: as coordinator, by requests of all nodes; else of this node. */
static struct server_view
place_view(struct place *p, msec now, const struct server_wish *w, bool all,
    unsigned int groups, unsigned int group)
{
	struct mix *m = place_traffic(all ? &p->all : &p->own, w->service);
	struct server_view view = { .all = all,
		.self = p->self,
		.domain = all ? "" : p->domain,
		.hold_ms = m->hold_ms,
		.groups = groups,
		.group = group,
		.nodes = MAX(p->max_nodes, 1),
		.now = now,
		.transfer = &place_traffic(&p->own, w->service)->transfer };
	msec coordinates = now - p->coordinator_since;

	/* Only coordinators measure speeds. */
	if (all)
		view.mean_speed =
		    servers_mean_speed(p->servers, w->service, &view);
	view.sole = all && place_has_coordinator(p);
	view.young = coordinates < PLACE_YOUNG_MS;
	view.takeover = coordinates < PLACE_TAKEOVER_MS;
	/* A retried request counts as urgent. */
	view.urgent = w->navoid > 0 || !mix_has_more_urgent(m, w->rank);
	if (w->own + w->shared > 0) {
		view.light = mix_is_light(m, w->route);
		view.quiet = mix_quiet_servers(m, now,
		    all ? 1 : MAX(p->max_nodes, 1),
		    servers_count_unthrottled(p->servers, w->service, &view),
		    place_service_slots(p, w->service));
	}
	return view;
}

struct server *
place_choose_server(struct place *p, msec now, const struct server_wish *w,
    unsigned int groups, unsigned int group, name_id *source)
{
	struct server_view view = place_view(p, now, w, false, groups, group);
	struct server *v, *from;

	v = server_choose(p->servers, now, w, &view, g_rand_int(p->rand));
	from = v != NULL ? server_guess_source(p->servers, now, w, &view, v)
			 : NULL;
	*source = from != NULL ? from->id : 0;
	return v;
}

void
place_load_add(struct server_load *l, unsigned int rank, unsigned int tokens)
{
	l->running++;
	l->unread += tokens;
	l->unread_by[MIN(rank, SERVER_RANKS - 1)] += tokens;
}

void
place_load_read(struct server_load *l, unsigned int rank, unsigned int tokens)
{
	uint64_t *by = &l->unread_by[MIN(rank, SERVER_RANKS - 1)];

	l->unread -= MIN(l->unread, tokens);
	*by -= MIN(*by, tokens);
}

void
place_load_end(struct server_load *l)
{
	if (l->running > 0)
		l->running--;
}

/* ---- as coordinator ---- */

static struct place_record *
place_record_find(struct place *p, name_id node, uint32_t id)
{
	struct place_record find = { .node = node, .id = id };

	return RB_FIND(place_records, &p->records, &find);
}

static void
place_record_prompt_read(struct place *p, struct place_record *h)
{
	struct server *v = servers_find(p->servers, h->server);

	if (v != NULL)
		place_load_read(&v->all, h->rank, h->tokens);
	h->tokens = 0;
}

static void
place_record_end(struct place *p, msec now, struct place_record *h)
{
	struct server *v = servers_find(p->servers, h->server);

	/* The request ended before the server read its prompt. */
	if (!h->read && h->prompt != 0)
		server_memory_forget(
		    &p->servers->all_memory, h->cache, h->prompt);
	place_record_prompt_read(p, h);
	if (v != NULL) {
		place_load_end(&v->all);
		v->space.running -= MIN(v->space.running, h->own);
	}
	if (h->counted)
		mix_ended(place_traffic(&p->all, h->service), now, h->route);
	RB_REMOVE(place_records, &p->records, h);
	g_free(h);
}

/* The server is to fetch the shared part of the prompt from the source. */
static void
place_count_fetch(struct place *p, msec now, struct server *v,
    struct server *source, const struct server_wish *w)
{
	const struct prompt_transfer *t =
	    &place_traffic(&p->own, w->service)->transfer;
	msec end = now + (msec)prompt_fetch_ms(t, now, source->fetches_until,
			     v->fetches_until, w->shared);

	source->fetches_until = v->fetches_until = end;
	p->counters.fetches++;
	p->counters.tokens_fetched += w->shared;
}

/* The server reads the prompt, or uses its copy, from now on. */
static void
place_note_prompt(struct place *p, msec now, struct server *v,
    const struct place_record *h, const struct server_wish *w)
{
	struct server_memory *m = &p->servers->all_memory;

	prompt_space_use(&v->space, now,
	    server_memory_last_use(m, h->cache, w->prompt), w->shared);
	server_memory_note(m, now, h->cache, w->prompt);
	if (h->read)
		server_memory_note_read(m, h->cache, w->prompt);
}

/*
 * The shares that a request competes for; NULL: none. More urgent ranks have
 * none: a lower limit could refuse them while less urgent ones are admitted.
 */
static struct fair_share *
place_share(struct place *p, const struct server_wish *w)
{
	struct mix *m = place_traffic(&p->all, w->service);
	unsigned int i;

	if (!p->fair_shares || w->own + w->shared == 0)
		return NULL;
	for (i = 0; i < m->nroutes; i++) {
		if (m->routes[i].rank > w->rank)
			return NULL;
	}
	if (m->share == NULL)
		m->share = g_new0(struct fair_share, 1);
	return m->share;
}

/* Another node placed the request, so it was asked for and admitted. */
static void
place_count_share(struct place *p, msec now, const struct server_wish *w)
{
	struct fair_share *s = place_share(p, w);
	unsigned int tokens = w->own + w->shared;

	if (s == NULL)
		return;
	fair_share_ask(s, now, w->organisation, tokens);
	fair_share_admit(s, now, w->organisation, tokens);
}

struct place_record *
place_record_begin(struct place *p, msec now, name_id node, uint32_t id,
    struct server *v, const struct server_wish *w, const struct place_queue *q,
    struct server *source)
{
	bool refused = q != NULL && place_queue_exceeds_limit(q);
	struct mix *m = place_traffic(&p->all, w->service);
	struct place_record *h;

	if ((h = place_record_find(p, node, id)) != NULL)
		place_record_end(p, now, h);
	else if (q == NULL)
		place_count_share(p, now, w);
	h = g_new0(struct place_record, 1);
	h->node = node;
	h->id = id;
	h->server = v->id;
	h->cache = server_cache_id(v);
	h->service = w->service;
	h->route = w->route;
	h->rank = w->rank;
	if (RB_INSERT(place_records, &p->records, h) != NULL) {
		g_free(h);
		return NULL;
	}
	h->shared_prompt = w->prompt;
	h->tokens = w->own;
	h->model = w->own + w->shared > 0;
	/* Nodes report a request without tokens once its prompt is read. */
	h->read = !h->model;
	h->near_limit = q != NULL && server_limit_is_near(q->ahead, q->limit);
	if (!server_memory_has(&p->servers->all_memory, now, h->cache,
		w->prompt, SERVER_MEMORY_KEPT_MS))
		h->prompt = w->prompt;
	if (source != NULL)
		place_count_fetch(p, now, v, source, w);
	else if (h->prompt != 0)
		h->tokens += w->shared;
	if (h->model)
		mix_add_demand(m, w->route, h->tokens);
	p->counters.tokens += w->own + w->shared;
	if (source == NULL)
		p->counters.tokens_kept += w->own + w->shared - h->tokens;
	h->since = now;
	server_rate_take(&v->rate, now);
	place_load_add(&v->all, h->rank, h->tokens);
	h->alone = q != NULL && source == NULL && v->all.unread == h->tokens &&
		   (h->prompt != 0 || w->prompt == 0);
	h->own = w->own;
	v->space.running += w->own;
	if (refused)
		h->prompt = 0;
	else if (w->prompt != 0)
		place_note_prompt(p, now, v, h, w);
	h->counted = mix_started(m, now, w->route);
	p->counters.coordinated++;
	return h;
}

/*
 * Guards against a new coordinator that reserves no servers for streams with a
 * low gap target: nodes report their running requests to it, but it learns the
 * properties of their route only from the next new request.
 */
static void
place_records_count_running(
    struct place *p, msec now, name_id service, name_id route)
{
	struct place_record *h;
	unsigned int n = 0;

	RB_FOREACH (h, place_records, &p->records) {
		if (h->counted || h->service != service || h->route != route)
			continue;
		h->counted = true;
		n++;
	}
	mix_add_running(place_traffic(&p->all, service), now, route, n);
}

/* The first request of a route adds the route, whichever node placed it. */
void
place_count_request(
    struct place *p, msec now, const struct server_wish *w, bool all)
{
	struct mix *m = place_traffic(all ? &p->all : &p->own, w->service);

	if (w->own + w->shared == 0)
		return;
	if (mix_record_request(
		m, now, w->route, w->gap_target, w->rank, w->own + w->shared) &&
	    all)
		place_records_count_running(p, now, w->service, w->route);
}

/* Maximum time to read the prompts before a request, in ms; 0: no limit. */
static msec
coordinate_limit(
    struct mix *m, const struct server_wish *w, const struct server_view *view)
{
	/* A refused retry would waste the work of the server before. */
	if (w->target == 0 || w->navoid > 0 || w->own + w->shared == 0)
		return 0;
	return server_limit_ms(view->light ? &m->limit_light : &m->limit,
	    w->target, mix_is_last_tier(m, w->route));
}

/*
 * The limit by the share of the request's organisation; `limit` and `limit_new`
 * are without shares, as it is and for a new request. A request that returns
 * keeps its advantage over new ones of its organisation, unless its caller did
 * not wait as told: else an organisation gains room by repeating at once.
 */
static msec
coordinate_share_limit(struct place *p, msec now, const struct server_wish *w,
    msec limit, msec limit_new, bool is_return)
{
	struct fair_share *s = limit > 0 ? place_share(p, w) : NULL;
	bool soon = returns_too_soon(&p->returns, now, w->repeat);
	double by_share;

	if (s == NULL)
		return limit;
	if (!is_return)
		fair_share_ask(s, now, w->organisation, w->own + w->shared);
	if (!fair_share_applies(s, now))
		return limit;
	by_share = (double)(soon ? limit_new : limit) *
		   fair_share_factor(s, now, w->organisation);
	return CLAMP((msec)by_share, 1, w->target);
}

/* Counts the decision; `limit`: without shares. */
static void
coordinate_count_share(struct place *p, msec now, const struct server_wish *w,
    struct place_queue *q, msec limit)
{
	struct fair_share *s = limit > 0 ? place_share(p, w) : NULL;

	if (s == NULL)
		return;
	if (q->ahead > limit || place_queue_exceeds_limit(q))
		fair_share_set_short(s, now);
	if (!place_queue_exceeds_limit(q)) {
		fair_share_admit(s, now, w->organisation, w->own + w->shared);
		p->counters.share_admitted += q->ahead > limit;
		return;
	}
	q->by_share = q->ahead <= limit;
	p->counters.share_refused += q->by_share;
}

/* Sets the request's limit. */
static void
coordinate_set_limit(struct place *p, msec now, const struct server_wish *w,
    const struct server_view *view, bool is_return, struct place_queue *q)
{
	msec limit_new =
	    coordinate_limit(place_traffic(&p->all, w->service), w, view);
	msec limit = limit_new;

	/* A request that returns may have more ahead of it. */
	if (is_return)
		limit = MIN(limit * PLACE_RETURN_LIMIT_TIMES, w->target);
	q->limit =
	    coordinate_share_limit(p, now, w, limit, limit_new, is_return);
	coordinate_count_share(p, now, w, q, limit);
}

/*
 * The request is refused. Its repetition may come to any node, and by then this
 * one may have stopped, so its successor learns of it too.
 */
static void
coordinate_refused(
    struct place *p, msec now, const struct server_wish *w, unsigned int group)
{
	sp_msg msg = { .kind = SP_PLACE_RETURN };
	name_id next = place_successor(p, w->service, group);

	returns_note(&p->returns, now, w->repeat);
	msg.sp_msg_u.place_return.repeat = w->repeat;
	if (next != p->self && w->repeat != 0)
		p->ops->send(p, next, &msg);
}

static void
coordinate_returned(struct place *p, const struct server_wish *w)
{
	returns_remove(&p->returns, w->repeat);
	p->counters.returned++;
}

struct server *
place_coordinate_request(struct place *p, msec now, name_id node, uint32_t id,
    const struct server_wish *w, struct place_queue *q, name_id *source)
{
	unsigned int groups = place_count_groups(p, w->service);
	unsigned int group = place_coordinated_group(p, w, groups);
	bool is_return = returns_expected(&p->returns, now, w->repeat);
	struct server *v, *from = NULL, *guess = NULL;
	struct place_record *h;
	struct server_view view;

	*q = (struct place_queue){ 0 };
	*source = 0;
	if (now - p->last_coordinated_at > PLACE_IDLE_MS)
		p->coordinator_since = now;
	p->last_coordinated_at = now;
	place_count_request(p, now, w, true);
	view = place_view(p, now, w, true, groups, group);
	v = server_choose(p->servers, now, w, &view, g_rand_int(p->rand));
	if (v == NULL)
		return NULL;
	q->ahead = MIN(server_reading_ms(v, w->rank, &view),
	    servers_reading_ms(p->servers, w->service, w->rank, &view));
	coordinate_set_limit(p, now, w, &view, is_return, q);
	if (place_queue_exceeds_limit(q))
		coordinate_refused(p, now, w, group);
	else {
		if (is_return)
			coordinate_returned(p, w);
		p->counters.gaps_missed += server_misses_gap(v, now, w);
		from = server_fetch_source(p->servers, now, w, &view, v);
		if (from == NULL)
			guess =
			    server_guess_source(p->servers, now, w, &view, v);
	}
	h = place_record_begin(p, now, node, id, v, w, q, from);
	/* It may read less than its tokens. */
	if (h != NULL && guess != NULL)
		h->alone = false;
	q->wait = server_reading_ms(v, SERVER_RANKS, &view);
	if (from != NULL)
		q->wait += MAX(v->fetches_until - now, 0);
	if (from == NULL)
		from = guess;
	*source = from != NULL ? from->id : 0;
	return v;
}

/* Results of requests and their wire values. */
static const struct {
	enum server_result result;
	enum sp_place_what what;
} place_ends[] = {
	{ SERVER_ANSWERED, SP_PLACE_WELL },
	{ SERVER_FAILED, SP_PLACE_FAILED },
	{ SERVER_DOWN, SP_PLACE_DOWN },
	{ SERVER_FULL, SP_PLACE_FULL },
};

static enum server_result
place_result_decode(enum sp_place_what what)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(place_ends); i++) {
		if (place_ends[i].what == what)
			return place_ends[i].result;
	}
	return SERVER_NO_RESULT;
}

enum sp_place_what
place_result_encode(enum server_result result)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(place_ends); i++) {
		if (place_ends[i].result == result)
			return place_ends[i].what;
	}
	return SP_PLACE_ENDED;
}

/* Adjusts the admission limit by whether the request was served in time. */
static void
place_record_adjust_limit(struct place *p, struct place_record *h, bool late)
{
	struct mix *m = place_traffic(&p->all, h->service);

	if (!h->model || h->late)
		return;
	h->late = late;
	server_limit_adjust(
	    mix_is_light(m, h->route) ? &m->limit_light : &m->limit, late,
	    h->near_limit);
}

static void
place_record_result(struct server *v, msec now, enum server_result result)
{
	server_record_result(v, now, result);
	if (result == SERVER_FULL)
		server_room_rejected(&v->room, now, v->slots);
}

/*
 * Only a prompt that its server begins alone shows the speed; with others the
 * time depends on their order.
 */
static void
place_record_speed(struct place *p, msec now, const struct place_record *h)
{
	struct mix *m = place_traffic(&p->all, h->service);
	struct server *v = servers_find(p->servers, h->server);
	msec ms = now - h->since;

	if (v == NULL || h->cache != server_cache_id(v) || !h->alone ||
	    h->read || h->tokens == 0)
		return;
	server_speed_record(
	    &v->speed, mix_expected_read_ms(m, h->route, h->tokens), ms);
	mix_record_read(m, h->route, h->tokens, ms);
}

void
place_step(struct place *p, msec now, name_id node, const sp_place_step *step)
{
	struct place_record *h = place_record_find(p, node, step->id);
	enum sp_place_what what = step->what;
	struct server *v;

	if (h == NULL)
		return;
	v = servers_find(p->servers, h->server);
	if (v != NULL && h->cache == server_cache_id(v))
		server_pace_record(&v->pace, now, step->gap_ms);
	if (what == SP_PLACE_BRITTLE) {
		if (v != NULL)
			server_room_update(&v->room, now);
		return;
	}
	if (what == SP_PLACE_READ) {
		place_record_speed(p, now, h);
		server_memory_note_read(
		    &p->servers->all_memory, h->cache, h->shared_prompt);
		place_record_prompt_read(p, h);
		h->read = true;
		return;
	}
	if (what == SP_PLACE_LATE) {
		place_record_adjust_limit(p, h, true);
		return;
	}
	if (what == SP_PLACE_WELL) {
		place_record_adjust_limit(p, h, false);
		mix_record_hold_time(
		    place_traffic(&p->all, h->service), now - h->since);
	}
	/* place_end() has recorded the results of this node's requests. */
	if (v != NULL && node != p->self)
		place_record_result(v, now, place_result_decode(what));
	place_record_end(p, now, h);
}

/* Drops requests whose end was not reported, such as those of a dead node. */
void
place_expire_records(struct place *p, msec now)
{
	struct place_record *h, *next;

	RB_FOREACH_SAFE (h, place_records, &p->records, next) {
		if (now - h->since >= PLACE_RECORD_MS)
			place_record_end(p, now, h);
	}
}
