/*
 * The speed at which a server reads prompts; see server-speed.h.
 */

#include "server-speed.h"

#include <glib.h>

/* Part of their weight that earlier measurements keep with each new one. */
#define SPEED_KEEP 0.9
/* Weight of the expected speed, in measurements. */
#define SPEED_PRIOR 5.0
/* Limit of a single measurement, as a multiple of the expected time. */
#define SPEED_RATIO_MAX 5.0

void
server_speed_record(struct server_speed *s, double expected, msec ms)
{
	double ratio;

	if (expected <= 0 || ms <= 0)
		return;
	ratio = (double)ms / expected;
	s->ratio_sum = s->ratio_sum * SPEED_KEEP +
		       CLAMP(ratio, 1 / SPEED_RATIO_MAX, SPEED_RATIO_MAX);
	s->weight_sum = s->weight_sum * SPEED_KEEP + 1;
}

double
server_speed_factor(const struct server_speed *s)
{
	return (s->weight_sum + SPEED_PRIOR) / (s->ratio_sum + SPEED_PRIOR);
}
