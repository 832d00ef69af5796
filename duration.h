/*
 * How long requests of one kind take, as seen lately, so that a node that is
 * about to end can tell which it is able to finish. A mean and a mean deviation
 * (Jacobson: "Congestion Avoidance and Control", 1988) follow a change of load
 * within a few dozen requests and need no memory of single ones.
 *
 * Without input or output.
 */

#ifndef DURATION_H
#define DURATION_H

#include "savory.h"

/* In the embedder's memory; all zero is one that has seen nothing. */
struct duration {
	double mean, deviation; /* ms, smoothed */
	uint64_t seen;
};

/* One took so long. */
void duration_learn(struct duration *, msec);
/* One was given up after so long: it would have taken longer still. */
void duration_learn_at_least(struct duration *, msec);
/*
 * Hardly one takes longer than that, in ms. Never more than `most`, which
 * stands as long as too few were seen.
 */
msec duration_most(const struct duration *, msec most);
/* The usual one, in ms; `unknown` as long as too few were seen. */
msec duration_usual(const struct duration *, msec unknown);

#endif /* DURATION_H */
