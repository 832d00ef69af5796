/*
 * Requests that return after a refusal; see returns.h.
 */

#include "returns.h"

/* Callers are told to wait for longer than this. */
#define RETURNS_WAIT_MS 200
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

bool
returns_too_soon(const struct returns *r, msec now, uint64_t repeat)
{
	return returns_expected(r, now, repeat) &&
	       now - r->places[repeat % RETURNS_PLACES].at < RETURNS_WAIT_MS;
}

void
returns_remove(struct returns *r, uint64_t repeat)
{
	size_t i = repeat % RETURNS_PLACES;

	if (r->places[i].repeat == repeat)
		r->places[i].repeat = 0;
}
