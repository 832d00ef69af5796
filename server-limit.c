/*
 * What may be ahead of a request; see server-limit.h.
 */

#define LOG_PART "limit"
#include "server-limit.h"

#include <math.h>

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
/*
 * What was told is smoothed over so long. Shorter, a node goes for a second by
 * what it was told in one moment: of ten answers 61% were turned away where
 * coordinators did so to 83%.
 */
#define TOLD_SMOOTH_MS 1000.0
/*
 * What was told is good for so long. A node that is dead is known to be so
 * within a second or two, and the next coordinator answers then.
 */
#define TOLD_FOR_MS (3 * MSEC_SECOND)

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

void
server_told_note(struct server_told *t, msec now, bool away, msec wait,
    msec ahead, msec limit)
{
	double keep = exp(-(double)(now - t->at) / TOLD_SMOOTH_MS);

	if (t->at == 0 || now - t->at > TOLD_FOR_MS)
		keep = 0;
	t->away = t->away * keep + away * (1 - keep);
	t->at = now;
	if (!away)
		return;
	t->wait = wait;
	t->ahead = ahead;
	t->limit = limit;
}

bool
server_told_away(const struct server_told *t, msec now, double draw)
{
	return t->at != 0 && now - t->at <= TOLD_FOR_MS && draw < t->away;
}
