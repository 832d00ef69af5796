/*
 * Adaptive slot limit of one engine: how many requests run on it at once, from
 * their latency compared with the targets of their classes. Additive increase
 * while the engine is full and targets are met, doubling at the start;
 * multiplicative decrease when targets are missed; reduced to the number that
 * the engine really runs when requests wait inside it.
 */

#define LOG_PART "dispatch"
#include "dispatch-private.h"

#define SLOTS_START 4
#define SLOTS_MAX 1024
/* Minimum good samples in an epoch; one per slot if there are more slots. */
#define EPOCH_SAMPLES_MIN 4
/*
 * Samples of a class in an epoch that must miss targets before a decrease:
 * part of the limit, and minimum.
 */
#define MISS_FRACTION 0.15
#define MISS_MIN 2
/* Part of the first-token target that the engine itself may use. */
#define FIRST_TOKEN_SHARE 0.6
#define DECREASE 0.9
/*
 * Slots added per `limit` good samples: usually, and while recovering below
 * RECOVER_BELOW_FRACTION of the best limit.
 */
#define INCREASE 0.5
#define INCREASE_RECOVER 2
#define RECOVER_BELOW_FRACTION 0.8
#define BEST_LIMIT_DECAY 0.999
/*
 * A request has waited inside the engine if its first token takes longer than
 * this multiple of the usual time for its prompt and class (prompts may be
 * cached or not), plus these batch steps and ms.
 */
#define OVERDUE_FACTOR 3
#define OVERDUE_STEPS 6
#define OVERDUE_SLACK 50
/* Relative change of the first-token quartile per sample. */
#define QUARTILE_STEP 0.005
/*
 * Minimum part of the running requests that must be overdue; single requests
 * may be slow for other reasons.
 */
#define STALLED_FRACTION 0.06

static double sample_token_ms(const struct slots_sample *);
static double prompt_work(unsigned int);
static double
first_token_bound(const struct slots *, unsigned int, unsigned int);
static void quartile_update(double *, double);
static bool first_token_misses(struct slots *, const struct slots_sample *);
static bool answer_misses(const struct slots_sample *);
static void
slots_record_miss(struct slots *, msec, const struct slots_sample *);
static void slots_record_hit(struct slots *, bool);
static void slots_decrease(struct slots *, msec, double);
static void epoch_begin(struct slots *);

void
slots_init(struct slots *s, unsigned int hint, msec now)
{
	memset(s, 0, sizeof *s);
	s->limit = hint > 0 ? hint : SLOTS_START;
	s->slow_start = true;
	s->decreased = now;
}

unsigned int
slots_limit(const struct slots *s)
{
	return (unsigned int)s->limit;
}

static double
sample_token_ms(const struct slots_sample *sample)
{
	if (sample->tokens < 2)
		return 0;
	return (double)sample->stream / (sample->tokens - 1);
}

static double
prompt_work(unsigned int prompt)
{
	return prompt + PROMPT_BASE_TOKENS;
}

/* Maximum first-token time in ms of a request that did not wait. */
static double
first_token_bound(
    const struct slots *s, unsigned int class_index, unsigned int prompt)
{
	return s->prompt_token_ms[class_index] * prompt_work(prompt) *
		   OVERDUE_FACTOR +
	       s->token_ms * OVERDUE_STEPS + OVERDUE_SLACK;
}

/* Estimates the lower quartile: three times as large steps down as up. */
static void
quartile_update(double *quartile, double v)
{
	if (*quartile == 0)
		*quartile = v;
	else if (v > *quartile)
		*quartile *= 1 + QUARTILE_STEP;
	else
		*quartile /= 1 + 3 * QUARTILE_STEP;
}

static bool
first_token_misses(struct slots *s, const struct slots_sample *sample)
{
	msec target = sample->class->first_token;
	double bound;

	bound = first_token_bound(s, sample->class_index, sample->prompt);
	quartile_update(&s->prompt_token_ms[sample->class_index],
	    MAX(1, sample->first_token) / prompt_work(sample->prompt));
	if (target > 0 && sample->first_token > target * FIRST_TOKEN_SHARE)
		return true;
	/*
	 * Plain services, which have no token rate, have no predictable time.
	 */
	return s->token_ms > 0 && sample->first_token > bound;
}

static bool
answer_misses(const struct slots_sample *sample)
{
	const struct class *c = sample->class;

	if (c->between_tokens > 0 &&
	    sample_token_ms(sample) > c->between_tokens)
		return true;
	return sample->tokens < 2 && c->whole_answer > 0 &&
	       sample->first_token + sample->stream > c->whole_answer;
}

static void
epoch_begin(struct slots *s)
{
	s->epoch_samples = 0;
	memset(s->class_misses, 0, sizeof s->class_misses);
}

static void
slots_decrease(struct slots *s, msec now, double to)
{
	s->slow_start = false;
	s->limit = MAX(1, to);
	s->decreased = now;
	epoch_begin(s);
}

static void
slots_record_miss(struct slots *s, msec now, const struct slots_sample *sample)
{
	unsigned int least;

	/* Granted before the last decrease: not a result of the new limit. */
	if (sample->granted < s->decreased)
		return;
	least = MAX(MISS_MIN, (unsigned int)(s->limit * MISS_FRACTION));
	if (++s->class_misses[sample->class_index] >= least)
		slots_decrease(s, now, s->limit * DECREASE);
}

/*
 * Increases the limit only if the engine was full. Far below a recent good
 * limit it rises faster, as the cause of the decrease was probably temporary,
 * such as a second owner.
 */
static void
slots_record_hit(struct slots *s, bool full)
{
	double by = INCREASE / s->limit;

	if (s->slow_start)
		by = 1;
	else if (s->limit < s->best_limit * RECOVER_BELOW_FRACTION)
		by = INCREASE_RECOVER / s->limit;
	s->best_limit = MAX(s->limit, s->best_limit * BEST_LIMIT_DECAY);
	if (full)
		s->limit = MIN(s->limit + by, SLOTS_MAX);
	if (++s->epoch_samples >= MAX(EPOCH_SAMPLES_MIN, slots_limit(s)))
		epoch_begin(s);
}

void
slots_record_first_token(
    struct slots *s, msec now, const struct slots_sample *sample, bool full)
{
	average_add(&s->first_token, sample->first_token);
	if (first_token_misses(s, sample))
		slots_record_miss(s, now, sample);
	else
		slots_record_hit(s, full);
}

bool
slots_first_token_overdue(const struct slots *s, unsigned int class_index,
    unsigned int prompt, msec waited)
{
	if (s->prompt_token_ms[class_index] == 0 || s->token_ms == 0)
		return false;
	return waited > first_token_bound(s, class_index, prompt);
}

/*
 * Reduces the limit to the requests that are not stalled. Stalled requests,
 * without a first token long after the grant, queue inside the engine, where
 * they cannot move to another engine and may starve behind higher priorities.
 */
void
slots_record_stalled(
    struct slots *s, msec now, unsigned int running, unsigned int stalled)
{
	if (stalled == 0 || stalled < running * STALLED_FRACTION)
		return;
	/*
	 * If all are stalled, the whole engine is blocked and shows no limit. A
	 * decrease to one slot would let one stream with a slow caller fill
	 * the engine and all others be refused meanwhile, as the limit rises
	 * only with first tokens.
	 */
	if (stalled >= running)
		return;
	if (running - stalled >= slots_limit(s))
		return;
	slots_decrease(s, now, running - stalled);
}

/*
 * Records a whole answer; slots_record_first_token() has recorded its first
 * token.
 */
void
slots_record_answer(
    struct slots *s, msec now, const struct slots_sample *sample, bool full)
{
	double token_ms = sample_token_ms(sample);

	if (token_ms > 0)
		average_add(&s->token_ms, token_ms);
	average_add(
	    &s->request_ms, MAX(1, sample->first_token + sample->stream));
	average_add(&s->request_cost, MAX(1, sample->tokens));
	if (answer_misses(sample))
		slots_record_miss(s, now, sample);
}

/* A failure does not show the right limit; decrease it as a precaution. */
void
slots_record_failure(struct slots *s, msec now)
{
	slots_decrease(s, now, s->limit * DECREASE);
}
