/*
 * Paces of running streams; see run-pace.h.
 */

#include "run-pace.h"

#include <stdlib.h>

/* Servers that a stream's own is compared with, at least. */
#define PACE_SERVERS_MIN 2

void
run_pace_restart(struct run_pace *p)
{
	*p = (struct run_pace){ .server = p->server };
}

static void
pace_begin(struct run_pace *p, msec now, uint64_t events)
{
	p->begun = true;
	p->since = p->last = now;
	p->longest = 0;
	p->first = p->events = events;
}

bool
run_pace_record(struct run_pace *p, name_id server, msec now, uint64_t events)
{
	msec span;

	if (p->server != server) {
		*p = (struct run_pace){ .server = server };
	}
	if (!p->begun) {
		pace_begin(p, now, events);
		return false;
	}
	if (events == p->events)
		return false;
	p->longest = MAX(p->longest, now - p->last);
	p->last = now;
	p->events = events;
	span = now - p->since;
	if (span < RUN_PACE_SPAN_MS || events - p->first < RUN_PACE_EVENTS)
		return false;
	p->before = p->newest;
	/* Without the longest pause: one alone is not the server's pace. */
	p->newest = MAX((double)(span - p->longest), 1) /
		    (double)(events - p->first - 1);
	pace_begin(p, now, events);
	return true;
}

double
run_pace_kept(const struct run_pace *p)
{
	return MIN(p->newest, p->before);
}

void
run_paces_add(
    struct run_paces *s, name_id service, name_id server, msec now, double pace)
{
	s->samples[s->next] =
	    (struct run_pace_sample){ service, server, pace, now };
	s->next = (s->next + 1) % RUN_PACES;
}

static int
pace_compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

double
run_paces_usual(
    const struct run_paces *s, name_id service, name_id except, msec now)
{
	const struct run_pace_sample *x;
	name_id servers[RUN_PACES];
	double paces[RUN_PACES];
	unsigned int i, k, n = 0;

	/* From the newest: one for each server. */
	for (i = 1; i <= RUN_PACES; i++) {
		x = &s->samples[(s->next + RUN_PACES - i) % RUN_PACES];
		if (x->server == 0 || now - x->at > RUN_PACE_KEEP_MS)
			break;
		if (x->service != service || x->server == except)
			continue;
		for (k = 0; k < n && servers[k] != x->server; k++)
			;
		if (k < n)
			continue;
		servers[n] = x->server;
		paces[n++] = x->pace;
	}
	if (n < PACE_SERVERS_MIN)
		return 0;
	qsort(paces, n, sizeof *paces, pace_compare);
	return paces[n / 2];
}
