/*
 * Pauses of streams by server; see server-pace.h.
 */

#include "server-pace.h"

#include <math.h>

/* Weight of the newest measurement. */
#define PACE_ALPHA 0.25
/* Deviations above the smoothed pause that few streams exceed. */
#define PACE_DEVIATIONS 2.0
/* Limit of one measurement: this node, and not the server, may have paused. */
#define PACE_OUTLIER_TIMES 3.0
/* Without measurements the expected pause falls to 1/e in this time. */
#define PACE_KEEP_MS (3.0 * MSEC_SECOND)

void
server_pace_record(struct server_pace *p, msec now, msec pause)
{
	double difference;

	if (pause <= 0)
		return;
	if (p->at == 0) {
		p->pause = (double)pause;
		p->deviation = p->pause / 2;
	}
	difference =
	    MIN((double)pause, p->pause * PACE_OUTLIER_TIMES) - p->pause;
	p->pause += PACE_ALPHA * difference;
	p->deviation += PACE_ALPHA * (fabs(difference) - p->deviation);
	p->at = now;
}

double
server_pace_expected(const struct server_pace *p, msec now)
{
	if (p->at == 0)
		return 0;
	return (p->pause + PACE_DEVIATIONS * p->deviation) *
	       exp(-(double)(now - p->at) / PACE_KEEP_MS);
}
