/*
 * Estimates how long requests of one kind take, so that a node that is shutting
 * down can decide which requests it has time to finish. A smoothed mean and
 * mean deviation (Jacobson: "Congestion Avoidance and Control", 1988) follow a
 * change of load within a few dozen requests and store no single durations. Of
 * those the longest are kept as well: a few long ones hardly move the mean.
 *
 * Does no I/O.
 */

#ifndef DURATION_H
#define DURATION_H

#include "savory.h"

/* Allocated by the caller; a zeroed struct has no samples. */
struct duration {
	double mean, deviation; /* ms, smoothed */
	uint64_t samples;	/* samples */
	/* Longest of the newest samples, and of as many before them; ms. */
	msec longest, longest_before;
};

/* Add the duration of a finished request, in ms. */
void duration_add(struct duration *, msec);
/*
 * Add a request that was abandoned after so many ms: a lower bound of its
 * duration.
 */
void duration_add_lower_bound(struct duration *, msec);
/*
 * An upper estimate in ms that few requests exceed. At most `most`, which is
 * also returned while there are too few samples.
 */
msec duration_upper_estimate(const struct duration *, msec most);
/*
 * The same, and no less than the longest of the last few hundred requests took.
 */
msec duration_longest_estimate(const struct duration *, msec most);
/* The mean duration in ms; `unknown` while there are too few samples. */
msec duration_mean(const struct duration *, msec unknown);

#endif /* DURATION_H */
