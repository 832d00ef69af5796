/*
 * Outages of the platform; see outage.h.
 */

#include "outage.h"

void
outage_init(struct outage *o)
{
	o->served = MSEC_NEVER;
	o->steady = MSEC_NEVER;
}

void
outage_served(struct outage *o, msec at)
{
	outage_told(o, at, at);
}

void
outage_told(struct outage *o, msec from, msec to)
{
	if (to < from)
		return;
	if (o->served == MSEC_NEVER || from - o->served >= OUTAGE_MIN_MS) {
		o->steady = from;
		o->served = to;
		return;
	}
	/* Of the time before the last outage. */
	if (o->steady - to >= OUTAGE_MIN_MS)
		return;
	o->steady = MIN(o->steady, from);
	o->served = MAX(o->served, to);
}

bool
outage_is_on(const struct outage *o, msec now)
{
	return o->served == MSEC_NEVER || now - o->served >= OUTAGE_MIN_MS;
}

msec
outage_hold_end(const struct outage *o)
{
	return o->steady == MSEC_NEVER ? 0 : o->steady + OUTAGE_HOLD_MS;
}
