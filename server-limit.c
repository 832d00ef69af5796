/*
 * Admission limit; see server-limit.h.
 */

#define LOG_PART "limit"
#include "server-limit.h"

#include <math.h>

/*
 * Bounds in parts of the target. Below the minimum, requests are refused that a
 * server could begin at once; at the whole target, requests begin late.
 */
#define LIMIT_MIN_TARGET_PART 0.12
#define LIMIT_MAX_TARGET_PART 1.0
/*
 * Initial value: a compromise between servers on which reading a prompt
 * interrupts the running streams, and servers on which it does not.
 */
#define LIMIT_INITIAL_TARGET_PART 0.25
/* Requests beyond this part of the limit are near it. */
#define LIMIT_NEAR 0.5
/*
 * One request in this many may be late before the limit falls. With 8 instead
 * of 16, fewer requests are served in time under the worst loads on servers
 * where reading a prompt interrupts the running streams (60 nodes, 90 servers),
 * and no more on other servers.
 */
#define LIMIT_LATE_ONE_IN 16
/*
 * Increase for each request near the limit that was in time. About a hundred
 * of them, one second of a burst, raise it from the minimum to the maximum.
 */
#define LIMIT_STEP 0.01
/*
 * Smoothing time of the share of refused requests. With a shorter time the
 * share depends on a few replies: with ten replies, nodes refused 61% where
 * coordinators refused 83%.
 */
#define REFUSALS_SMOOTH_MS 1000.0
/*
 * How long the recorded share of refused requests is used without new replies.
 * A dead coordinator is detected within one or two seconds, and then the next
 * coordinator replies.
 */
#define REFUSALS_VALID_MS (3 * MSEC_SECOND)

static double
limit_part(const struct server_limit *l)
{
	return l->part > 0 ? l->part : LIMIT_INITIAL_TARGET_PART;
}

bool
server_limit_is_near(msec ahead, msec limit)
{
	return limit > 0 && (double)ahead > (double)limit * LIMIT_NEAR;
}

void
server_limit_adjust(struct server_limit *l, bool late, bool near_limit)
{
	double part = limit_part(l);

	if (late)
		part -= LIMIT_STEP * (LIMIT_LATE_ONE_IN - 1);
	else if (near_limit)
		part += LIMIT_STEP;
	l->part = CLAMP(part, LIMIT_MIN_TARGET_PART, LIMIT_MAX_TARGET_PART);
	l->adjustments++;
}

msec
server_limit_ms(const struct server_limit *l, msec target, bool last_tier)
{
	double part = last_tier ? limit_part(l) : LIMIT_MAX_TARGET_PART;

	return MAX((msec)((double)target * part), 1);
}

unsigned int
server_limit_percent(const struct server_limit *l)
{
	return (unsigned int)(limit_part(l) * 100 + 0.5);
}

void
server_refusals_record(struct server_refusals *t, msec now, bool refused,
    msec wait, msec ahead, msec limit)
{
	double keep = exp(-(double)(now - t->at) / REFUSALS_SMOOTH_MS);

	if (t->at == 0 || now - t->at > REFUSALS_VALID_MS)
		keep = 0;
	t->refused = t->refused * keep + refused * (1 - keep);
	t->at = now;
	if (!refused)
		return;
	t->wait = wait;
	t->ahead = ahead;
	t->limit = limit;
}

bool
server_refusals_apply(const struct server_refusals *t, msec now, double draw)
{
	return t->at != 0 && now - t->at <= REFUSALS_VALID_MS &&
	       draw < t->refused;
}
