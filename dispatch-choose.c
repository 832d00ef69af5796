/*
 * Chooses the engine that an entry node reserves: at random, weighted by the
 * capacity of each engine and its recent performance for this node.
 */

#define LOG_PART "dispatch"
#include "dispatch-private.h"

/* Part of the first-token target that the engine itself may use. */
#define FIRST_TOKEN_FRACTION 0.6
/*
 * Factors on the weight of an engine that misses the targets, and of one that
 * failed recently.
 */
#define UNSUITED_WEIGHT_FACTOR 0.02
#define FAILED_WEIGHT_FACTOR 0.001
/* Slots assumed for an engine that has not reported any. */
#define SLOTS_ASSUMED 4
/* How long an engine is avoided after a failure, in ms: first and maximum. */
#define FAILURE_PAUSE_MIN 300
#define FAILURE_PAUSE_MAX (10 * MSEC_SECOND)

static bool
request_has_tried(const struct dispatch_request_state *, const struct engine *);
static bool engine_meets_targets(
    const struct dispatch_request_state *, const struct engine *);
static bool engine_is_candidate(
    const struct dispatch_request_state *, const struct engine *);
static double engine_weight(
    msec, const struct dispatch_request_state *, const struct engine *);

static bool
request_has_tried(
    const struct dispatch_request_state *st, const struct engine *e)
{
	unsigned int i;

	for (i = 0; i < st->ntried; i++) {
		if (st->tried[i] == e->id)
			return true;
	}
	for (i = 0; i < st->ncandidates; i++) {
		if (st->candidates[i].engine == e)
			return true;
	}
	return false;
}

/*
 * Whether the engine can meet the targets, by its measured speed: a long prompt
 * on a slow engine misses the first-token target even without waiting.
 */
static bool
engine_meets_targets(
    const struct dispatch_request_state *st, const struct engine *e)
{
	const struct class *c = st->class;
	double first, whole;

	first = e->prompt_token_ms *
		(st->request->prompt_tokens + PROMPT_BASE_TOKENS);
	whole = first + e->token_ms * lengths_quantile(&c->lengths, 800);
	if (c->first_token > 0 && first > c->first_token * FIRST_TOKEN_FRACTION)
		return false;
	if (c->between_tokens > 0 && e->token_ms > c->between_tokens)
		return false;
	return c->whole_answer == 0 || whole <= c->whole_answer;
}

/* The engine to avoid is used if the service has no other. */
static bool
engine_is_candidate(
    const struct dispatch_request_state *st, const struct engine *e)
{
	if (e->leaving || e->owner == 0 || request_has_tried(st, e))
		return false;
	return e->id != st->request->avoid || st->service->nengines == 1;
}

/* Weight in the random choice: slots divided by the time per token. */
static double
engine_weight(
    msec now, const struct dispatch_request_state *st, const struct engine *e)
{
	double w = e->slots > 0 ? e->slots : SLOTS_ASSUMED;

	if (e->slots == 0 && e->slots_hint > 0)
		w = e->slots_hint;
	if (e->token_ms > 0)
		w /= e->token_ms;
	else if (st->service->token_ms > 0)
		w /= st->service->token_ms;
	if (!engine_meets_targets(st, e))
		w *= UNSUITED_WEIGHT_FACTOR;
	if (now < e->failed_until)
		w *= FAILED_WEIGHT_FACTOR;
	return w;
}

struct engine *
choose_engine(struct dispatch *d, msec now, struct dispatch_request_state *st)
{
	struct engine *e, *best = NULL;
	double w, sum = 0;

	TAILQ_FOREACH (e, &st->service->engines, entry) {
		if (!engine_is_candidate(st, e))
			continue;
		w = engine_weight(now, st, e);
		sum += w;
		/*
		 * Weighted reservoir sampling: keeps e with probability w /
		 * sum.
		 */
		if (best == NULL || g_rand_double(d->priv->rand) * sum < w)
			best = e;
	}
	return best;
}

void
choose_exclude(struct dispatch_request_state *st, name_id id)
{
	if (st->ntried < TRIED_MAX)
		st->tried[st->ntried++] = id;
}

void
choose_record_result(msec now, struct dispatch_request_state *st,
    const struct dispatch_result *res)
{
	struct engine *e = st->engine;
	struct service *s = st->service;
	unsigned int prompt = st->request->prompt_tokens + PROMPT_BASE_TOKENS;
	double token_ms, first = MAX(1, res->first_token);

	if (res->how == DISPATCH_ENGINE_FAILED) {
		e->failed_until =
		    now + MIN(FAILURE_PAUSE_MIN << MIN(e->failures, 6),
			      FAILURE_PAUSE_MAX);
		e->failures++;
		return;
	}
	if (res->how != DISPATCH_OK)
		return;
	e->failures = 0;
	lengths_add(&st->class->lengths, res->tokens);
	average_add(&s->first_token, first);
	average_add(&e->prompt_token_ms, first / prompt);
	if (res->tokens < 2)
		return;
	token_ms = (double)res->stream / (res->tokens - 1);
	average_add(&s->token_ms, token_ms);
	average_add(&e->token_ms, token_ms);
}
