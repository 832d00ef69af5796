/*
 * Estimates of request durations; see duration.h.
 */

#include "duration.h"

#include <math.h>

/* With fewer samples the deviation is meaningless. */
#define DURATION_SAMPLES_MIN 8
/* Weight of the newest sample; a larger one doubles the estimate's noise. */
#define DURATION_ALPHA 0.0625
/*
 * Deviations above the mean for the upper estimate. With 5, between 1.0 and
 * 3.7% of the responses of nine kinds exceed it (37,000 responses from the logs
 * of rolling restarts of 60 and 82 nodes).
 */
#define DURATION_DEVIATIONS 5
/* Samples after which the longest one is forgotten: from one to two times. */
#define DURATION_LONGEST_SAMPLES 256
/* The next long request may take a little longer than the longest one. */
#define DURATION_LONGEST_MARGIN_PERCENT 10

static void
duration_add_longest(struct duration *d, msec took)
{
	if (d->samples % DURATION_LONGEST_SAMPLES == 0) {
		d->longest_before = d->longest;
		d->longest = 0;
	}
	d->longest = MAX(d->longest, took);
}

void
duration_add(struct duration *d, msec took)
{
	double alpha, off;

	duration_add_longest(d, took);
	if (d->samples++ == 0) {
		d->mean = (double)took;
		d->deviation = (double)took / 2;
		return;
	}
	/*
	 * The first samples have equal weight. Otherwise a short first response
	 * keeps the estimate too low when it is first used, after 8 responses:
	 * of the 9th to 16th responses of a kind 2.1% exceeded it (3,245 from
	 * node logs), with equal weights 0.5%.
	 */
	alpha = MAX(DURATION_ALPHA, 1.0 / d->samples);
	off = (double)took - d->mean;
	d->deviation += alpha * (fabs(off) - d->deviation);
	d->mean += alpha * off;
}

void
duration_add_lower_bound(struct duration *d, msec took)
{
	/* A lower bound below the mean carries no information. */
	if ((double)took > d->mean)
		duration_add(d, took);
}

msec
duration_upper_estimate(const struct duration *d, msec most)
{
	msec longest;

	if (d->samples < DURATION_SAMPLES_MIN)
		return most;
	longest = (msec)ceil(d->mean + DURATION_DEVIATIONS * d->deviation);
	return MIN(longest, most);
}

msec
duration_longest_estimate(const struct duration *d, msec most)
{
	msec longest = MAX(d->longest, d->longest_before);

	longest += longest * DURATION_LONGEST_MARGIN_PERCENT / 100;
	return MIN(MAX(longest, duration_upper_estimate(d, most)), most);
}

msec
duration_mean(const struct duration *d, msec unknown)
{
	return d->samples < DURATION_SAMPLES_MIN ? unknown : (msec)d->mean;
}
