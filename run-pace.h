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

/* Events of a measurement, at least. */
#define RUN_PACE_EVENTS 2
/* A measurement that other streams are compared with takes at least this. */
#define RUN_PACE_SHORT_MS 150
/* One that shows a stream to be slow. */
#define RUN_PACE_LONG_MS 500
/* Servers whose newest measurement a node keeps. */
#define RUN_PACES 32

/* A measurement in progress. */
struct run_pace_span {
	msec since;
	msec longest;	/* pause in it */
	uint64_t first; /* number of events when it began */
};

/* Of one stream; all zero bytes: nothing is known. Paces in ms an event. */
struct run_pace {
	name_id server;
	bool begun;
	msec last;	 /* event */
	uint64_t events; /* number of events seen */
	struct run_pace_span short_span, long_span;
	double newest; /* the last short measurement; 0: none */
	/* The last long measurement and the one before it; 0: none. */
	double pace, pace_before;
	msec since; /* begin of the last one */
};

/* The newest pace of a stream of a service on one server. */
struct run_pace_sample {
	name_id service, server;
	double pace;
	msec at;
};

/* Of the streams of a node, one a server; all zero bytes: none. */
struct run_paces {
	struct run_pace_sample samples[RUN_PACES];
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
 * The pace that the stream has kept for two long measurements, the faster of
 * them, 0: not known; and the begin of the last one. The one before may have
 * begun while its server was as fast as others.
 */
double run_pace_kept(const struct run_pace *, msec *since);

/* A stream on the server had this pace, in ms an event. */
void run_paces_add(
    struct run_paces *, name_id service, name_id server, msec now, double pace);
/*
 * The median, of two the slower, of the newest paces on other servers of the
 * service that were measured after `since`; 0: too few of them are known.
 */
double run_paces_usual(
    const struct run_paces *, name_id service, name_id except, msec since);
/*
 * Servers of the service with a pace of `pace` or slower, measured after
 * `since`: at most `most`. Returns their number.
 */
unsigned int run_paces_slow(const struct run_paces *, name_id service,
    double pace, msec since, name_id *servers, unsigned int most);

#endif /* RUN_PACE_H */
