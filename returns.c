/*
 * Requests that return after a refusal; see returns.h.
 */

#include "returns.h"

/* Callers that have not returned by then have given up. */
#define RETURNS_KEPT_MS (10 * MSEC_SECOND)

void
returns_note(struct returns *r, msec now, uint64_t repeat)
{
	size_t i = repeat % RETURNS_PLACES;

	if (repeat == 0)
		return;
	r->places[i].repeat = repeat;
	r->places[i].at = now;
}

bool
returns_expected(const struct returns *r, msec now, uint64_t repeat)
{
	size_t i = repeat % RETURNS_PLACES;

	return repeat != 0 && r->places[i].repeat == repeat &&
	       now - r->places[i].at <= RETURNS_KEPT_MS;
}

void
returns_remove(struct returns *r, uint64_t repeat)
{
	size_t i = repeat % RETURNS_PLACES;

	if (r->places[i].repeat == repeat)
		r->places[i].repeat = 0;
}
