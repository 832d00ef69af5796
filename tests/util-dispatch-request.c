/*
 * Callers and their requests; see util-dispatch.h.
 */

#include "util-dispatch-private.h"

#include <math.h>

/* The callers' patience against their target. */
#define PATIENCE 1.5
#define CONNECT_FAILS 20.0 /* ms */
#define ATTEMPTS_MAX 4

const struct world_class world_classes_usual[3] = {
	{ "replan", 0, true, 0, 2000, 150, 60000, 0.10, 200, 800 },
	{ "question", 1, false, 100, 3000, 150, 20000, 0.45, 60, 200 },
	{ "draft", 2, false, 200, 20000, 200, 180000, 0.45, 400, 1500 },
};

static unsigned int
world_node_any(struct world *w)
{
	unsigned int i, n;

	for (n = 0; n < 1000; n++) {
		i = g_rand_int_range(w->rand, 0, w->config.nodes);
		if (w->nodes[i].up && !w->nodes[i].leaving)
			return i;
	}
	g_assert_not_reached();
}

void
world_request_send(struct world *w, struct world_request *q)
{
	struct world_node *n;

	q->node = world_node_any(w);
	q->phase = WORLD_WAITING;
	q->engine = -1;
	q->attempts++;
	q->r.resumed = q->made > 0;
	n = &w->nodes[q->node];
	/* A paused node still takes connections; callers wait it out. */
	world_cpu_begin(n);
	dispatch_submit(&n->d, world_msec(w), &q->r);
	world_cpu_end(n);
	if (!n->paused)
		world_node_tick(n);
}

struct world_request *
world_submit(struct world *w, unsigned int class_index, unsigned int org,
    unsigned int tokens)
{
	const struct world_class *c = &w->config.classes[class_index];
	struct world_request *q = g_new0(struct world_request, 1);
	struct event *ev;

	q->w = w;
	q->class_index = class_index;
	q->tokens = MAX(1, tokens);
	q->arrived = w->now;
	q->first = -1;
	q->serial = ++w->serial;
	q->measured = w->measuring;
	q->r.service = name_hash(w->doc.service);
	q->r.class_index = class_index;
	q->r.organisation = org + 1;
	/* Prompts of one class differ by tens of times. */
	q->r.prompt_tokens =
	    (unsigned int)(c->prompt *
			   (0.1 - 0.9 * log(1 - g_rand_double(w->callers))));
	q->r.arrived = world_msec(w);
	q->r.deadline = MSEC_NEVER;
	if (q->measured) {
		w->stats[class_index].arrived++;
		w->org_arrived[org]++;
	}
	TAILQ_INSERT_TAIL(&w->requests, q, all);
	w->nrequests++;
	g_hash_table_insert(w->events->patience, &q->serial, q);
	g_hash_table_add(w->events->live, q);
	ev = world_event_add(
	    w, w->now + c->whole_answer * PATIENCE, EVENT_PATIENCE);
	ev->q = q;
	ev->serial = q->serial;
	world_request_send(w, q);
	return q;
}

void
world_request_arrive(struct world *w)
{
	double total = 0, pick, tokens, rate;
	unsigned int i, org;

	for (i = 0; i < w->config.nclasses; i++)
		total += w->config.classes[i].share * w->boost[i];
	rate = MAX(w->rate * total, 1e-9);
	world_event_add(w, w->now - log(1 - g_rand_double(w->callers)) / rate,
	    EVENT_ARRIVAL);
	if (w->rate == 0)
		return;
	pick = g_rand_double(w->callers) * total;
	for (i = 0; i + 1 < w->config.nclasses; i++) {
		pick -= w->config.classes[i].share * w->boost[i];
		if (pick < 0)
			break;
	}
	org = g_rand_double(w->callers) < w->flood_share
		  ? 0
		  : g_rand_int_range(w->callers, 0, w->config.orgs);
	if (w->quiet != 0 && org == w->quiet)
		org = 0;
	/* Long-tailed lengths: exponential over a third of the mean. */
	tokens = w->config.classes[i].tokens *
		 (1 - 2 * log(1 - g_rand_double(w->callers))) / 3;
	world_submit(w, i, org, (unsigned int)tokens);
}

static void
request_over(struct world *w, struct world_request *q)
{
	g_assert_null(q->r.priv);
	g_hash_table_remove(w->events->patience, &q->serial);
	g_hash_table_remove(w->events->live, q);
	TAILQ_REMOVE(&w->requests, q, all);
	w->nrequests--;
	g_free(q);
}

static bool
request_attained(const struct world_request *q, double now)
{
	const struct world_class *c = &q->w->config.classes[q->class_index];

	if (c->first_token > 0 && q->first - q->arrived > c->first_token)
		return false;
	if (c->whole_answer > 0 && now - q->arrived > c->whole_answer)
		return false;
	if (c->between_tokens == 0 || q->tokens < 2)
		return true;
	return (now - q->first) / (q->tokens - 1) <= c->between_tokens;
}

void
world_request_end(struct world *w, struct world_request *q)
{
	struct world_stats *s = &w->stats[q->class_index];
	struct world_node *n = &w->nodes[q->node];
	struct dispatch_result res = { .how = DISPATCH_OK };
	double ttft = q->first - q->arrived;

	world_engine_detach(w, q);
	res.first_token = (msec)(q->attempt_first - q->granted);
	res.stream = (msec)(w->now - q->attempt_first);
	res.tokens = q->made - q->made_before;
	world_cpu_begin(n);
	dispatch_done(&n->d, world_msec(w), &q->r, &res);
	world_cpu_end(n);
	if (!n->paused)
		world_node_tick(n);
	if (q->measured && q->serial > w->measured_from) {
		s->ended++;
		g_array_append_val(s->first_token, ttft);
	}
	if (w->measuring) {
		s->tokens += q->tokens;
		if (request_attained(q, w->now))
			s->tokens_attained += q->tokens;
	}
	if (q->measured && q->serial > w->measured_from &&
	    request_attained(q, w->now)) {
		s->attained++;
		w->org_attained[q->r.organisation - 1]++;
	}
	request_over(w, q);
}

void
world_request_failed(struct world *w, struct world_request *q)
{
	struct world_node *n = &w->nodes[q->node];
	struct dispatch_result res = { .how = DISPATCH_ENGINE_FAILED,
		.first_token = -1 };

	world_engine_detach(w, q);
	q->r.avoid = q->r.engine;
	world_cpu_begin(n);
	dispatch_done(&n->d, world_msec(w), &q->r, &res);
	world_cpu_end(n);
	if (!n->paused)
		world_node_tick(n);
	if (q->attempts < ATTEMPTS_MAX) {
		world_request_send(w, q);
		return;
	}
	if (q->measured)
		w->stats[q->class_index].failed++;
	w->tokens_wasted += q->made;
	request_over(w, q);
}

void
world_leave(struct world *w, struct world_request *q)
{
	struct world_node *n = &w->nodes[q->node];
	struct dispatch_result res = { .how = DISPATCH_CALLER_LEFT,
		.first_token = -1 };

	world_engine_detach(w, q);
	world_cpu_begin(n);
	if (q->phase == WORLD_RUNNING)
		dispatch_done(&n->d, world_msec(w), &q->r, &res);
	else
		dispatch_cancel(&n->d, world_msec(w), &q->r);
	world_cpu_end(n);
	if (!n->paused)
		world_node_tick(n);
	if (q->measured)
		w->stats[q->class_index].left++;
	w->tokens_wasted += q->made;
	request_over(w, q);
}

static int
world_engine_index(struct world *w, name_id id)
{
	struct world_engine *e = g_hash_table_lookup(w->events->engines, &id);

	return e == NULL ? -1 : (int)(e - w->engines);
}

void
world_request_granted(struct dispatch *d, struct dispatch_request *r)
{
	struct world_request *q = (struct world_request *)r;
	struct world *w = ((struct world_node *)d)->w;
	int e = world_engine_index(w, r->engine);
	struct event *ev;

	/* Not one that was refused or has left: those are freed. */
	g_assert_true(g_hash_table_contains(w->events->live, r));
	g_assert_cmpint(q->phase, ==, WORLD_WAITING);
	g_assert_cmpint(e, !=, -1);
	/* Not off the list, as far as the node could know. */
	g_assert_true(
	    !w->engines[e].unlisted ||
	    ((struct world_node *)d)->told < w->engines[e].unlisted_since);
	q->phase = WORLD_RUNNING;
	q->grants++;
	q->granted = w->now;
	q->made_before = q->made;
	q->attempt_first = -1;
	if (w->engines[e].down ||
	    w->engines[e].nwaiting + w->engines[e].nrunning >=
		4 * w->engines[e].batch_max) {
		ev = world_event_add(w, w->now + CONNECT_FAILS, EVENT_FAIL);
		ev->q = q;
		ev->serial = q->serial;
		ev->from = q->attempts;
		return;
	}
	world_engine_start(w, q, e);
}

void
world_request_refused(struct dispatch *d, struct dispatch_request *r,
    enum dispatch_refusal why, msec after)
{
	struct world_request *q = (struct world_request *)r;
	double waited = q->w->now - q->arrived;

	g_assert_true(g_hash_table_contains(
	    ((struct world_node *)d)->w->events->live, r));
	g_assert_cmpint(q->phase, ==, WORLD_WAITING);
	/* Never shed for a lower tier: with engines there, not at all. */
	if (q->w->config.classes[q->class_index].is_protected)
		g_assert_cmpint(why, ==, DISPATCH_NO_ENGINE);
	q->w->refused[why]++;
	if (q->measured) {
		q->w->stats[q->class_index].refused++;
		g_array_append_val(q->w->stats[q->class_index].refusal, waited);
	}
	q->w->tokens_wasted += q->made;
	request_over(q->w, q);
}
