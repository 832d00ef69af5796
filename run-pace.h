/*
 * How fast the events of running streams come. A node compares a stream with
 * those of the same service on other backend servers, at the same time: a
 * server that has turned slow differs from them, a service under overload does
 * not.
 *
 * Load that it answers: some of many servers get several times slower, with
 * streams that began before.
 *
 * The module does no I/O.
 */

#ifndef RUN_PACE_H
#define RUN_PACE_H

#include "savory.h"

/* A measurement covers at least this time and so many events. */
#define RUN_PACE_SPAN_MS 500
#define RUN_PACE_EVENTS 3
/* Measurements of other streams are compared for this time. */
#define RUN_PACE_KEEP_MS 1000
/* Newest measurements that a node keeps. */
#define RUN_PACES 32

/* Of one stream; all zero bytes: nothing is known. Paces in ms an event. */
struct run_pace {
	name_id server;
	bool begun;
	msec since, last; /* of the measurement: its begin, its last event */
	msec longest;	  /* pause in it */
	uint64_t first;	  /* number of events before it */
	uint64_t events;  /* number of events seen */
	double newest, before; /* the two last measurements; 0: none */
};

struct run_pace_sample {
	name_id service, server; /* 0: none */
	double pace;
	msec at;
};

/* Of the streams of a node; all zero bytes: none. */
struct run_paces {
	struct run_pace_sample samples[RUN_PACES];
	unsigned int next;
};

/* Measure anew: what comes next says nothing of the server's pace. */
void run_pace_restart(struct run_pace *);
/*
 * The stream on `server` has had so many events. Returns true if a measurement
 * is complete.
 */
bool
run_pace_record(struct run_pace *, name_id server, msec now, uint64_t events);
/*
 * The pace that the stream has kept for two measurements, the faster of them;
 * 0: not known.
 */
double run_pace_kept(const struct run_pace *);

void run_paces_add(
    struct run_paces *, name_id service, name_id server, msec now, double pace);
/*
 * The median, of two the slower, of the newest paces on other servers of the
 * service; 0: too few of them are known.
 */
double run_paces_usual(
    const struct run_paces *, name_id service, name_id except, msec now);

#endif /* RUN_PACE_H */
