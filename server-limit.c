/*
 * What may be ahead of a request; see server-limit.h.
 */

#define LOG_PART "limit"
#include "server-limit.h"

/*
 * Parts of the target. With less than the least, prompts are turned away that
 * a server could begin in the next moment; with all of it, they begin late.
 */
#define LIMIT_LEAST 0.12
#define LIMIT_MOST 1.0
/* Between what suits servers that suffer and what suits those that do not. */
#define LIMIT_START 0.25
/* Near is beyond this part of the limit. */
#define LIMIT_NEAR 0.5
/*
 * One in so many may be late before fewer are let in: 8 instead of 16 lost
 * 0.02 of worth on servers whose streams suffer (60 nodes, 90 servers, the
 * three worst loads) and gained nothing on those that do not.
 */
#define LIMIT_LATE_ONE_IN 16
/*
 * For each near the limit that was in time. From least to most in about a
 * hundred: a second of a burst.
 */
#define LIMIT_STEP 0.01

static double
limit_part(const struct server_limit *l)
{
	return l->part > 0 ? l->part : LIMIT_START;
}

bool
server_limit_is_near(msec ahead, msec limit)
{
	return limit > 0 && (double)ahead > (double)limit * LIMIT_NEAR;
}

void
server_limit_learn(struct server_limit *l, bool late, bool pressed)
{
	double part = limit_part(l);

	if (late)
		part -= LIMIT_STEP * (LIMIT_LATE_ONE_IN - 1);
	else if (pressed)
		part += LIMIT_STEP;
	l->part = CLAMP(part, LIMIT_LEAST, LIMIT_MOST);
	l->fared++;
}

msec
server_limit_ms(const struct server_limit *l, msec target, bool last_tier)
{
	double part = last_tier ? limit_part(l) : LIMIT_MOST;

	return MAX((msec)((double)target * part), 1);
}

unsigned int
server_limit_percent(const struct server_limit *l)
{
	return (unsigned int)(limit_part(l) * 100 + 0.5);
}
