/*
 * Dispatch policies. "owner" is for production: engines have owners that
 * queue. The others are baselines for comparison: the entry node picks an
 * engine at once, and requests queue inside the engine.
 */

#define LOG_PART "dispatch"
#include "dispatch-private.h"

typedef struct engine *(*pick_fn)(
    struct dispatch *, struct dispatch_request_state *);

static bool
engine_usable(const struct engine *, const struct dispatch_request_state *);
static struct engine *engine_nth(struct dispatch_request_state *, unsigned int);
static unsigned int engine_count(const struct dispatch_request_state *);
static unsigned int engine_load(const struct engine *);
static void
pick_submit(struct dispatch *, msec, struct dispatch_request_state *, pick_fn);
static struct engine *
pick_random(struct dispatch *, struct dispatch_request_state *);
static struct engine *
pick_round_robin(struct dispatch *, struct dispatch_request_state *);
static struct engine *
pick_least_load(struct dispatch *, struct dispatch_request_state *);
static struct engine *
pick_two_choices(struct dispatch *, struct dispatch_request_state *);
static void
submit_random(struct dispatch *, msec, struct dispatch_request_state *);
static void
submit_round_robin(struct dispatch *, msec, struct dispatch_request_state *);
static void
submit_least_load(struct dispatch *, msec, struct dispatch_request_state *);
static void
submit_two_choices(struct dispatch *, msec, struct dispatch_request_state *);

static const struct policy policies[] = {
	{ "owner", entry_submit, true },
	{ "random", submit_random, false },
	{ "round-robin", submit_round_robin, false },
	{ "least-load", submit_least_load, false },
	{ "two-choices", submit_two_choices, false },
};

const struct policy *
policy_find(const char *name)
{
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(policies); i++) {
		if (strcmp(policies[i].name, name) == 0)
			return &policies[i];
	}
	return NULL;
}

static bool
engine_usable(const struct engine *e, const struct dispatch_request_state *st)
{
	return !e->leaving && e->id != st->request->avoid;
}

static unsigned int
engine_count(const struct dispatch_request_state *st)
{
	struct engine *e;
	unsigned int n = 0;

	TAILQ_FOREACH (e, &st->service->engines, entry)
		n += engine_usable(e, st);
	return n;
}

static struct engine *
engine_nth(struct dispatch_request_state *st, unsigned int n)
{
	struct engine *e;

	TAILQ_FOREACH (e, &st->service->engines, entry) {
		if (engine_usable(e, st) && n-- == 0)
			return e;
	}
	return NULL;
}

static unsigned int
engine_load(const struct engine *e)
{
	return e->load_running + e->load_waiting;
}

static void
pick_submit(struct dispatch *d, msec now, struct dispatch_request_state *st,
    pick_fn pick)
{
	struct engine *e = NULL;

	if (engine_count(st) > 0)
		e = pick(d, st);
	if (e == NULL) {
		entry_refuse(d, st, DISPATCH_NO_ENGINE, MSEC_SECOND);
		return;
	}
	entry_grant(d, now, st, e);
}

static struct engine *
pick_random(struct dispatch *d, struct dispatch_request_state *st)
{
	return engine_nth(
	    st, g_rand_int_range(d->priv->rand, 0, engine_count(st)));
}

static struct engine *
pick_round_robin(struct dispatch *d, struct dispatch_request_state *st)
{
	return engine_nth(st, st->service->next++ % engine_count(st));
}

/* Ties are broken at random so that nodes do not all pick the same engine. */
static struct engine *
pick_least_load(struct dispatch *d, struct dispatch_request_state *st)
{
	struct engine *e, *best = NULL;
	unsigned int ties = 0;

	TAILQ_FOREACH (e, &st->service->engines, entry) {
		if (!engine_usable(e, st))
			continue;
		if (best == NULL || engine_load(e) < engine_load(best)) {
			best = e;
			ties = 1;
		} else if (engine_load(e) == engine_load(best)) {
			if (g_rand_int_range(d->priv->rand, 0, ++ties) == 0)
				best = e;
		}
	}
	return best;
}

static struct engine *
pick_two_choices(struct dispatch *d, struct dispatch_request_state *st)
{
	struct engine *a = pick_random(d, st), *b = pick_random(d, st);

	return engine_load(b) < engine_load(a) ? b : a;
}

static void
submit_random(struct dispatch *d, msec now, struct dispatch_request_state *st)
{
	pick_submit(d, now, st, pick_random);
}

static void
submit_round_robin(
    struct dispatch *d, msec now, struct dispatch_request_state *st)
{
	pick_submit(d, now, st, pick_round_robin);
}

static void
submit_least_load(
    struct dispatch *d, msec now, struct dispatch_request_state *st)
{
	pick_submit(d, now, st, pick_least_load);
}

static void
submit_two_choices(
    struct dispatch *d, msec now, struct dispatch_request_state *st)
{
	pick_submit(d, now, st, pick_two_choices);
}
