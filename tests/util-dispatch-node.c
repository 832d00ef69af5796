/*
 * The nodes, and the messages between them; see util-dispatch.h.
 */

#include "util-dispatch-private.h"

#include <math.h>
#include <string.h>
#include <time.h>

/* One way between nodes, ms. */
#define NET_DELAY 1.0

void
world_cpu_begin(struct world_node *n)
{
	struct timespec ts;

	if (!n->w->config.count_cpu)
		return;
	clock_gettime(CLOCK_MONOTONIC, &ts);
	n->cpu_since = ts.tv_sec * 1e9 + ts.tv_nsec;
}

void
world_cpu_end(struct world_node *n)
{
	struct timespec ts;

	if (!n->w->config.count_cpu)
		return;
	clock_gettime(CLOCK_MONOTONIC, &ts);
	n->cpu_ns += ts.tv_sec * 1e9 + ts.tv_nsec - n->cpu_since;
}

static int
world_node_index(struct world *w, name_id id)
{
	struct world_node *n = g_hash_table_lookup(w->events->nodes, &id);

	return n == NULL ? -1 : (int)n->index;
}

static void
ops_deliver(struct world_node *n, int i, const char *buf, unsigned int len)
{
	struct world *w = n->w;
	unsigned int copies = 1;
	struct event *ev;

	if (i == -1 || g_rand_double(w->rand) < w->config.loss)
		return;
	if (g_rand_double(w->rand) < w->config.twice)
		copies = 2;
	while (copies-- > 0) {
		ev = world_event_add(w,
		    w->now + NET_DELAY * (0.5 + g_rand_double(w->rand)),
		    EVENT_MESSAGE);
		ev->index = i;
		ev->from = n->index;
		ev->incarnation = n->incarnation;
		ev->len = len;
		ev->data = g_memdup2(buf, ev->len);
	}
}

static void
ops_send(struct dispatch *d, name_id to, const sp_msg *m)
{
	struct world_node *n = (struct world_node *)d;
	struct world *w = n->w;
	int i = world_node_index(w, to);
	char buf[4096];
	XDR x;

	xdrmem_create(&x, buf, sizeof buf, XDR_ENCODE);
	g_assert_true(xdr_sp_msg(&x, (sp_msg *)m));
	n->bytes_out += xdr_getpos(&x);
	n->messages_out++;
	world_cpu_end(n);
	ops_deliver(n, i, buf, xdr_getpos(&x));
	world_cpu_begin(n);
}

static void
ops_preempt(struct dispatch *d, struct dispatch_request *r)
{
}

static const struct dispatch_ops ops = { ops_send, world_request_granted,
	world_request_refused, ops_preempt };

void
world_node_deliver(struct world_node *n, name_id from, uint64_t incarnation,
    char *data, unsigned int len)
{
	sp_msg m;
	XDR x;

	memset(&m, 0, sizeof m);
	xdrmem_create(&x, data, len, XDR_DECODE);
	g_assert_true(xdr_sp_msg(&x, &m));
	world_cpu_begin(n);
	dispatch_receive(&n->d, world_msec(n->w), from, incarnation, &m);
	world_cpu_end(n);
	xdr_free((xdrproc_t)xdr_sp_msg, (char *)&m);
	world_node_tick(n);
}

void
world_node_receive(struct world *w, struct event *ev)
{
	struct world_node *n = &w->nodes[ev->index];
	struct event *held;

	if (!n->up)
		return;
	if (n->paused) {
		held = g_memdup2(ev, sizeof *ev);
		ev->data = NULL;
		g_ptr_array_add(n->held, held);
		return;
	}
	world_node_deliver(
	    n, w->nodes[ev->from].id, ev->incarnation, ev->data, ev->len);
}

void
world_node_tick(struct world_node *n)
{
	struct world *w = n->w;
	struct event *ev;
	msec at;

	world_cpu_begin(n);
	at = dispatch_tick(&n->d, world_msec(w));
	world_cpu_end(n);
	if (at == MSEC_NEVER || (double)at >= n->tick_at)
		return;
	n->tick_at = at;
	ev = world_event_add(w, at, EVENT_TICK);
	ev->index = n->index;
	ev->incarnation = n->incarnation;
}

void
world_node_init(struct world *w, unsigned int i)
{
	struct world_node *n = &w->nodes[i];
	struct dispatch_config c = { .self = n->id,
		.domain = n->domain + 1,
		.policy = w->config.policy };

	n->incarnation++;
	c.incarnation = n->incarnation;
	c.seed = w->config.seed * 1000 + i + n->incarnation * 100;
	n->up = n->known = true;
	n->paused = n->leaving = false;
	n->tick_at = INFINITY;
	g_assert_true(dispatch_init(&n->d, &ops, &c, world_msec(w)));
	dispatch_set_document(&n->d, world_msec(w), &w->doc);
}

void
world_tell(struct world *w)
{
	struct dispatch_node nodes[WORLD_NODES_MAX];
	struct dispatch_engine engines[WORLD_ENGINES_MAX];
	unsigned int i, nn = 0, ne = 0;

	for (i = 0; i < w->config.nodes; i++) {
		if (!w->nodes[i].known)
			continue;
		nodes[nn].id = w->nodes[i].id;
		nodes[nn].incarnation = w->nodes[i].incarnation;
		nodes[nn].domain = w->nodes[i].domain + 1;
		nodes[nn++].takes_work = !w->nodes[i].leaving;
	}
	w->tells++;
	for (i = 0; i < w->config.engines; i++) {
		if (w->engines[i].unlisted) {
			if (w->engines[i].unlisted_since == 0)
				w->engines[i].unlisted_since = w->tells;
			continue;
		}
		w->engines[i].unlisted_since = 0;
		memset(&engines[ne], 0, sizeof engines[ne]);
		engines[ne].id = w->engines[i].id;
		engines[ne].service = name_hash(w->doc.service);
		engines[ne].slots_hint = w->config.slots_hint;
		engines[ne++].domain = w->engines[i].domain + 1;
	}
	for (i = 0; i < w->config.nodes; i++) {
		if (!w->nodes[i].up || w->nodes[i].paused)
			continue;
		dispatch_set_nodes(&w->nodes[i].d, world_msec(w), nodes, nn);
		dispatch_set_engines(
		    &w->nodes[i].d, world_msec(w), engines, ne);
		w->nodes[i].told = w->tells;
		world_node_tick(&w->nodes[i]);
	}
}
