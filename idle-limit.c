/*
 * The idle time of callers' connections; see idle-limit.h.
 */

#include "idle-limit.h"

/* Callers may learn of a configuration so long after the nodes. */
#define IDLE_LIMIT_CALLERS_LAG_MS MSEC_SECOND

void
idle_limit_init(struct idle_limit *l, msec limit, msec change_bound)
{
	*l =
	    (struct idle_limit){ .limit = limit, .change_bound = change_bound };
}

/* The longest limit that callers may go by now. */
static msec
idle_limit_longest(const struct idle_limit *l, msec now)
{
	return now < l->earlier_until ? MAX(l->limit, l->earlier) : l->limit;
}

void
idle_limit_set(struct idle_limit *l, msec now, msec limit)
{
	msec longest = idle_limit_longest(l, now);

	if (limit < l->limit)
		l->earlier_until =
		    now + l->change_bound + IDLE_LIMIT_CALLERS_LAG_MS;
	l->earlier = longest;
	l->limit = limit;
}

msec
idle_limit_end(const struct idle_limit *l, msec now, msec since)
{
	/* A raised limit is in force here within change_bound. */
	return since + idle_limit_longest(l, now) + l->change_bound;
}
