/*
 * What fails; see util-dispatch.h.
 */

#include "util-dispatch-private.h"

#include <math.h>

/* How long until others notice a dead node, and the list a dead engine; ms. */
#define NODE_NOTICE 2000.0
#define LIST_NOTICE 10000.0

static void
notice_nodes(struct world *w)
{
	unsigned int i;

	for (i = 0; i < w->config.nodes; i++)
		w->nodes[i].known = w->nodes[i].up;
	world_tell(w);
}

static void
notice_engines(struct world *w)
{
	unsigned int i;

	for (i = 0; i < w->config.engines; i++)
		w->engines[i].unlisted = w->engines[i].down;
	world_tell(w);
}

/* Its callers find their connection broken and ask another node. */
void
world_node_crash(struct world *w, unsigned int i)
{
	struct world_node *n = &w->nodes[i];
	struct world_request *q, *next;

	dispatch_finish(&n->d);
	n->up = false;
	TAILQ_FOREACH_SAFE (q, &w->requests, all, next) {
		if (q->node != i)
			continue;
		world_engine_detach(w, q);
		if (q->phase == WORLD_RUNNING) {
			w->tokens_wasted += q->made;
			q->made = 0;
			q->first = -1;
		}
		world_request_send(w, q);
	}
	world_after(w, NODE_NOTICE, notice_nodes);
}

void
world_node_start(struct world *w, unsigned int i)
{
	world_node_init(w, i);
	world_tell(w);
}

void
world_node_pause(struct world *w, unsigned int i, bool paused)
{
	struct world_node *n = &w->nodes[i];
	struct event *ev;
	unsigned int k;

	n->paused = paused;
	if (paused)
		return;
	n->tick_at = INFINITY;
	world_node_tick(n);
	for (k = 0; k < n->held->len; k++) {
		ev = g_ptr_array_index(n->held, k);
		world_node_deliver(n, w->nodes[ev->from].id, ev->incarnation,
		    ev->data, ev->len);
		world_event_free(ev);
	}
	g_ptr_array_set_size(n->held, 0);
}

void
world_node_leave(struct world *w, unsigned int i)
{
	w->nodes[i].leaving = true;
	dispatch_leave(&w->nodes[i].d, world_msec(w));
	world_tell(w);
}

void
world_node_forget(struct world *w, unsigned int i, bool forget)
{
	w->nodes[i].known = !forget;
	world_tell(w);
}

void
world_engine_down(struct world *w, unsigned int i, bool down)
{
	struct world_engine *e = &w->engines[i];
	struct world_request *q;

	e->down = down;
	if (!down)
		return;
	while ((q = TAILQ_FIRST(&e->running)) != NULL ||
	       (q = TAILQ_FIRST(&e->waiting)) != NULL)
		world_request_failed(w, q);
}

void
world_engine_unlist(struct world *w, unsigned int i, bool unlisted)
{
	w->engines[i].unlisted = unlisted;
	world_tell(w);
}

void
world_domain_lost(struct world *w, unsigned int domain)
{
	unsigned int i;

	for (i = 0; i < w->config.engines; i++) {
		if (w->engines[i].domain == domain)
			w->engines[i].down = true;
	}
	for (i = 0; i < w->config.nodes; i++) {
		if (w->nodes[i].domain == domain && w->nodes[i].up)
			world_node_crash(w, i);
	}
	for (i = 0; i < w->config.engines; i++) {
		if (w->engines[i].domain == domain)
			world_engine_down(w, i, true);
	}
	world_after(w, LIST_NOTICE, notice_engines);
}
