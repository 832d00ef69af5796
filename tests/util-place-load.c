/*
 * A load on nodes that choose servers; see util-place-load.h.
 */

#include "util-place-load.h"

#include <string.h>

#define LOAD_TOKENS_PER_MS 93.6
#define LOAD_STREAM_MS 300
#define LOAD_NODES 8
#define LOAD_SERVERS 9

static uint64_t
cache_key(name_id server, uint64_t prompt)
{
	return server ^ (prompt * 0x9e3779b97f4a7c15ULL);
}

static bool
cache_has(const struct load *l, name_id server, uint64_t prompt)
{
	uint64_t key = cache_key(server, prompt);

	return l->cached_prompts != NULL &&
	       g_hash_table_contains(l->cached_prompts, &key);
}

static void
cache_add(struct load *l, name_id server, uint64_t prompt)
{
	uint64_t key = cache_key(server, prompt);

	if (l->cached_prompts != NULL)
		g_hash_table_add(
		    l->cached_prompts, g_memdup2(&key, sizeof key));
}

/* The next request that a server processes: the most urgent, then oldest. */
static struct load_request *
load_next_request(struct load *l, name_id server)
{
	struct load_request *best = NULL, *q;
	unsigned int i;

	for (i = 0; i < l->n; i++) {
		q = &l->requests[i];
		if (!q->active || q->unread <= 0 || q->place.server != server)
			continue;
		if (best == NULL || q->place.wish.rank < best->place.wish.rank)
			best = q;
	}
	return best;
}

double
load_speed(const struct load *l, name_id server)
{
	const struct server *v = servers_find(&l->ps->nodes[0].servers, server);

	return atoi(v->name + 1) < (int)l->slow_servers ? 0.5 : 1;
}

static void
load_process_prompts(struct load *l, name_id server)
{
	double can = LOAD_TOKENS_PER_MS * load_speed(l, server);
	struct load_request *q;

	while (can > 0 && (q = load_next_request(l, server)) != NULL) {
		if (q->unread > can) {
			q->unread -= can;
			return;
		}
		can -= q->unread;
		q->unread = 0;
		cache_add(l, server, q->place.wish.prompt);
		q->ends = l->ps->now + LOAD_STREAM_MS;
		place_prompt_read(&q->node->place, l->ps->now, &q->place);
	}
}

/* A random node that accepts callers. */
static struct places_node *
load_pick_node(struct load *l)
{
	struct places_node *n;

	do {
		n = &l->ps->nodes[g_rand_int_range(
		    l->ps->rand, 0, (gint32)l->ps->n)];
	} while (n->isolated || n->leaving);
	return n;
}

static void
load_submit(struct load *l, struct load_kind *k)
{
	struct load_request *q = &l->requests[l->n++];
	struct server_wish *w = &q->place.wish;

	*q = (struct load_request){ .load = l, .kind = k, .sent = l->ps->now };
	q->place.arg = q;
	q->node = load_pick_node(l);
	*w = (struct server_wish){ .service = name_hash("svc"),
		.route = k->rank + 1,
		.prompt = 1000 * (k->rank + 1) +
			  (unsigned int)g_rand_int_range(
			      l->ps->rand, 0, (gint32)k->subjects),
		.shared = k->shared,
		.own = k->own,
		.gap_target = k->gap,
		.target = k->target,
		.rank = k->rank,
		.repeat = (uint64_t)(q - l->requests) + 1 };
	k->asked++;
	place_submit(&q->node->place, l->ps->now, &q->place);
}

/* The caller repeats the request once. */
static void
load_refused(struct load_request *q)
{
	struct load *l = q->load;

	q->kind->refused++;
	if (l->return_ms == 0 || q->returned) {
		q->kind->lost++;
		return;
	}
	q->returned = true;
	q->returns_at = l->ps->now + l->return_ms;
}

/* The request starts at its server or is refused. */
static void
load_decided(struct place_request *r, struct server *v)
{
	struct load_request *q = r->arg;
	struct load *l;

	if (q == NULL)
		return;
	l = q->load;
	if (place_queue_exceeds_limit(&r->queue)) {
		place_end(&q->node->place, l->ps->now, r, SERVER_NO_RESULT);
		load_refused(q);
		return;
	}
	q->active = true;
	q->unread = v != NULL ? r->wish.own + r->wish.shared : 1;
	if (v != NULL && (cache_has(l, v->id, r->wish.prompt) ||
			     cache_has(l, r->source, r->wish.prompt)))
		q->unread = r->wish.own;
}

static void
load_step(struct load *l, struct load_kind *kinds, unsigned int nkinds)
{
	unsigned int i;
	struct server *v;

	for (i = 0; i < nkinds; i++) {
		if (g_rand_double(l->ps->rand) < kinds[i].per_s / 1000)
			load_submit(l, &kinds[i]);
	}
	g_assert_cmpuint(l->n, <, LOAD_REQUESTS_MAX - nkinds);
	for (i = 0; i < l->n; i++) {
		if (l->requests[i].returns_at != 0 &&
		    l->ps->now >= l->requests[i].returns_at) {
			l->requests[i].returns_at = 0;
			l->requests[i].node = load_pick_node(l);
			place_submit(&l->requests[i].node->place, l->ps->now,
			    &l->requests[i].place);
		}
	}
	/* Messages arrive without delay. */
	l->ps->delay = 0;
	places_run(l->ps, 1);
	for (i = 0; i < l->n; i++) {
		if (l->requests[i].active && l->requests[i].unread > 0 &&
		    l->ps->now - l->requests[i].sent ==
			l->requests[i].kind->target + 1) {
			l->requests[i].kind->late++;
			place_mark_late(&l->requests[i].node->place, l->ps->now,
			    &l->requests[i].place);
		}
	}
	RB_FOREACH (v, server_tree, &l->ps->nodes[0].servers.tree)
		load_process_prompts(l, v->id);
	for (i = 0; i < l->n; i++) {
		if (!l->requests[i].active || l->requests[i].unread > 0 ||
		    l->ps->now < l->requests[i].ends)
			continue;
		l->requests[i].active = false;
		place_end(&l->requests[i].node->place, l->ps->now,
		    &l->requests[i].place, SERVER_ANSWERED);
	}
}

void
load_start(struct load *l, struct places *ps)
{
	memset(l, 0, sizeof *l);
	l->ps = ps;
	places_start(ps, LOAD_NODES, LOAD_SERVERS);
	ps->decided = load_decided;
}

void
load_keep_prompts(struct load *l)
{
	l->cached_prompts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

void
load_run(
    struct load *l, struct load_kind *kinds, unsigned int nkinds, msec span)
{
	msec end;

	for (end = l->ps->now + span; l->ps->now < end;)
		load_step(l, kinds, nkinds);
}

void
load_stop(struct load *l)
{
	unsigned int i;

	for (i = 0; i < l->n; i++) {
		if (l->requests[i].active)
			place_end(&l->requests[i].node->place, l->ps->now,
			    &l->requests[i].place, SERVER_NO_RESULT);
	}
	places_run(l->ps, 5);
	places_stop(l->ps);
	g_clear_pointer(&l->cached_prompts, g_hash_table_unref);
}

void
load_run_all(struct load *l, struct places *ps, struct load_kind *kinds,
    unsigned int nkinds)
{
	load_start(l, ps);
	load_run(l, kinds, nkinds, 10000);
	load_stop(l);
}

void
load_kill_node(struct load *l, struct places_node *n)
{
	unsigned int i;

	n->isolated = true;
	for (i = 0; i < l->n; i++) {
		if (l->requests[i].node == n)
			l->requests[i].active = false;
	}
}
