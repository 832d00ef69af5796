/*
 * Paces of running streams; see run-pace.h.
 */

#include "run-pace.h"

#include <stdlib.h>

/* A pace is compared with those of at least this many other servers. */
#define PACE_SERVERS_MIN 2

void
run_pace_restart(struct run_pace *p)
{
	*p = (struct run_pace){ .server = p->server };
}

static void
span_begin(struct run_pace_span *s, msec now, uint64_t events)
{
	*s = (struct run_pace_span){ .since = now, .first = events };
}

/*
 * An event has come. Returns the pace if the measurement is complete, else 0.
 * The longest pause is left out: one alone is not the server's pace.
 */
static double
span_record(
    struct run_pace_span *s, msec now, const struct run_pace *p, msec at_least)
{
	msec span = now - s->since;
	uint64_t events = p->events - s->first;

	s->longest = MAX(s->longest, now - p->last);
	if (span < at_least || events < RUN_PACE_EVENTS)
		return 0;
	return MAX((double)(span - s->longest), 1) / (double)(events - 1);
}

static void
pace_record_long(struct run_pace *p, msec now)
{
	double pace = span_record(&p->long_span, now, p, RUN_PACE_LONG_MS);

	if (pace == 0)
		return;
	p->pace_before = p->pace;
	p->pace = pace;
	p->since = p->long_span.since;
	span_begin(&p->long_span, now, p->events);
}

/*
 * Ends the short measurement with the event before this one, once a later one
 * shows that no more came with it: the events of a burst belong to the pause
 * before it.
 */
static bool
pace_end_short(struct run_pace *p, msec now)
{
	msec span = p->last - p->short_span.since;
	uint64_t made = p->events - p->short_span.first;

	if (now == p->last || span < RUN_PACE_SHORT_MS ||
	    made < RUN_PACE_EVENTS)
		return false;
	p->newest = (double)span / (double)made;
	span_begin(&p->short_span, p->last, p->events);
	return true;
}

bool
run_pace_record(struct run_pace *p, name_id server, msec now, uint64_t events)
{
	bool done;

	if (p->server != server)
		*p = (struct run_pace){ .server = server };
	if (p->begun && events == p->events)
		return false;
	if (!p->begun) {
		p->begun = true;
		p->last = now;
		p->events = events;
		span_begin(&p->short_span, now, events);
		span_begin(&p->long_span, now, events);
		return false;
	}
	done = pace_end_short(p, now);
	p->events = events;
	pace_record_long(p, now);
	p->last = now;
	return done;
}

double
run_pace_kept(const struct run_pace *p, msec *since)
{
	*since = p->since;
	return MIN(p->pace, p->pace_before);
}

/* Of the same server, else the oldest. */
static struct run_pace_sample *
paces_slot(struct run_paces *s, name_id service, name_id server)
{
	struct run_pace_sample *x, *oldest = &s->samples[0];
	unsigned int i;

	for (i = 0; i < RUN_PACES; i++) {
		x = &s->samples[i];
		if (x->service == service && x->server == server)
			return x;
		if (x->at < oldest->at)
			oldest = x;
	}
	return oldest;
}

void
run_paces_add(
    struct run_paces *s, name_id service, name_id server, msec now, double pace)
{
	*paces_slot(s, service, server) =
	    (struct run_pace_sample){ service, server, pace, now };
}

static int
pace_compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

double
run_paces_usual(
    const struct run_paces *s, name_id service, name_id except, msec since)
{
	const struct run_pace_sample *x;
	double paces[RUN_PACES];
	unsigned int i, n = 0;

	for (i = 0; i < RUN_PACES; i++) {
		x = &s->samples[i];
		if (x->at > since && x->service == service &&
		    x->server != except)
			paces[n++] = x->pace;
	}
	if (n < PACE_SERVERS_MIN)
		return 0;
	qsort(paces, n, sizeof *paces, pace_compare);
	return paces[n / 2];
}

unsigned int
run_paces_slow(const struct run_paces *s, name_id service, double pace,
    msec since, name_id *servers, unsigned int most)
{
	const struct run_pace_sample *x;
	unsigned int i, n = 0;

	for (i = 0; i < RUN_PACES && n < most; i++) {
		x = &s->samples[i];
		if (x->at > since && x->service == service && x->pace >= pace)
			servers[n++] = x->server;
	}
	return n;
}
