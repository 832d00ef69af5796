/*
 * The engines, with continuous batching; see util-dispatch.h.
 */

#include "util-dispatch-private.h"

#define REPORT_EVERY 1000.0 /* ms */

void
world_engine_init(struct world *w, unsigned int i)
{
	static const struct {
		double token_ms, slope, prefill_us;
		unsigned int batch_max;
	} kinds[] = { { 12, 0.03, 50, 24 }, { 20, 0.05, 100, 16 },
		{ 30, 0.08, 200, 10 }, { 60, 0.12, 400, 6 } };
	struct world_engine *e = &w->engines[i];
	unsigned int k = w->config.uniform ? 1 : i % G_N_ELEMENTS(kinds);

	g_snprintf(e->name, sizeof e->name, "engine-%u", i);
	e->id = name_hash(e->name);
	e->domain = i % w->config.domains;
	e->token_ms = kinds[k].token_ms;
	e->slope = kinds[k].slope;
	e->prefill_us = kinds[k].prefill_us;
	e->batch_max = kinds[k].batch_max;
	e->slow = 1;
	TAILQ_INIT(&e->running);
	TAILQ_INIT(&e->waiting);
	g_hash_table_insert(w->events->engines, &e->id, e);
}

void
world_engine_detach(struct world *w, struct world_request *q)
{
	struct world_engine *e;

	if (q->engine == -1)
		return;
	e = &w->engines[q->engine];
	q->engine = -1;
	if (q->batched) {
		TAILQ_REMOVE(&e->running, q, engine_entry);
		e->nrunning--;
		q->batched = false;
		return;
	}
	TAILQ_REMOVE(&e->waiting, q, engine_entry);
	e->nwaiting--;
}

/* Waiting ones join the batch; their prefill goes on beside it. */
static void
engine_admit(struct world *w, struct world_engine *e)
{
	struct world_request *q;

	while (e->nrunning < e->batch_max &&
	       (q = TAILQ_FIRST(&e->waiting)) != NULL) {
		TAILQ_REMOVE(&e->waiting, q, engine_entry);
		e->nwaiting--;
		TAILQ_INSERT_TAIL(&e->running, q, engine_entry);
		e->nrunning++;
		q->batched = true;
		q->prefill_until = w->now + q->r.prompt_tokens * e->prefill_us /
						1000 * e->slow;
	}
}

void
world_engine_start(struct world *w, struct world_request *q, unsigned int i)
{
	struct world_engine *e = &w->engines[i];
	struct world_request *other;
	unsigned int tier = w->config.classes[q->class_index].tier;
	struct event *ev;

	q->engine = i;
	q->batched = false;
	TAILQ_FOREACH (other, &e->waiting, engine_entry) {
		if (w->config.classes[other->class_index].tier > tier)
			break;
	}
	if (other != NULL)
		TAILQ_INSERT_BEFORE(other, q, engine_entry);
	else
		TAILQ_INSERT_TAIL(&e->waiting, q, engine_entry);
	e->nwaiting++;
	if (e->stepping)
		return;
	e->stepping = true;
	engine_admit(w, e);
	ev = world_event_add(w, w->now + e->token_ms * e->slow, EVENT_STEP);
	ev->index = i;
}

void
world_engine_step(struct world *w, unsigned int i)
{
	struct world_engine *e = &w->engines[i];
	struct world_request *q, *next;
	struct event *ev;
	double ms;

	TAILQ_FOREACH_SAFE (q, &e->running, engine_entry, next) {
		if (q->prefill_until > w->now)
			continue;
		q->made++;
		e->tokens++;
		w->tokens_made++;
		if (q->attempt_first < 0) {
			q->attempt_first = w->now;
			world_cpu_begin(&w->nodes[q->node]);
			if (!w->config.untold)
				dispatch_first_token(
				    &w->nodes[q->node].d, world_msec(w), &q->r);
			world_cpu_end(&w->nodes[q->node]);
		}
		if (q->first < 0)
			q->first = w->now;
		q->last = w->now;
		if (q->made >= q->tokens)
			world_request_end(w, q);
	}
	engine_admit(w, e);
	if (e->nrunning == 0) {
		e->stepping = false;
		return;
	}
	ms = e->token_ms * (1 + e->slope * (e->nrunning - 1)) * e->slow;
	ev = world_event_add(w, w->now + ms, EVENT_STEP);
	ev->index = i;
}

void
world_engines_report(struct world *w)
{
	unsigned int i, k;

	world_event_add(w, w->now + REPORT_EVERY, EVENT_REPORT);
	for (i = 0; i < w->config.engines; i++) {
		for (k = 0; k < w->config.nodes; k++) {
			if (w->nodes[k].up && !w->nodes[k].paused)
				dispatch_set_load(&w->nodes[k].d, world_msec(w),
				    w->engines[i].id, w->engines[i].report, 0);
		}
		if (!w->config.frozen_reports)
			w->engines[i].report =
			    w->engines[i].nrunning + w->engines[i].nwaiting;
	}
}
