/*
 * Kept connections to servers; see keep.h.
 */

#include "keep.h"

/* Assumed idle timeout of a server that announces none. */
#define KEEP_IDLE_DEFAULT_MS 4000
#define KEEP_IDLE_MOST_MS (60 * MSEC_SECOND)
/* An idle connection is closed this long before the server's timeout. */
#define KEEP_IDLE_MARGIN_MS 500
/* Idle connections to a server that states no limit. */
#define KEEP_IDLE_LINKS 16
/* All nodes together keep one in so many of a server's connections idle. */
#define KEEP_IDLE_PART 2
#define KEEP_PROOF_FIRST_MS 1

msec
keep_idle_ms(msec announced, bool crowded)
{
	msec most = announced > 0 ? MIN(announced, KEEP_IDLE_MOST_MS)
				  : KEEP_IDLE_DEFAULT_MS;

	if (crowded)
		most = MIN(most, KEEP_IDLE_DEFAULT_MS);
	return MAX(most - KEEP_IDLE_MARGIN_MS, 1);
}

unsigned int
keep_idle_most(unsigned int limit, unsigned int nodes)
{
	unsigned int part;

	if (limit == 0)
		return KEEP_IDLE_LINKS;
	part = limit / KEEP_IDLE_PART / MAX(nodes, 1);
	return MIN(part, KEEP_IDLE_LINKS);
}

bool
keep_needs_proof(bool once, msec idle)
{
	return once && idle >= KEEP_FRESH_MS;
}

msec
keep_proof_pause(msec waited, msec round_trip)
{
	msec most = MAX(KEEP_PROOF_MS, KEEP_PROOF_ROUND_TRIPS * round_trip);
	msec step = waited + MAX(round_trip, KEEP_PROOF_FIRST_MS);

	return waited < most ? MIN(step, most - waited) : 0;
}
