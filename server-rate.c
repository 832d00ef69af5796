/*
 * Rate limit of a server; see server-rate.h.
 */

#include "server-rate.h"

/* Size of the token bucket: the tokens of this time, and at least two. */
#define RATE_BUCKET_MS 200
#define RATE_BUCKET_MIN 2
/* Part of the less urgent requests that may take the last token. */
#define RATE_LESS_URGENT_PART 0.25
/*
 * Maximum negative tokens, by requests that were sent without asking the
 * coordinator and reported to it afterwards.
 */
#define RATE_DEBT 2
/* Part of a server's rate limit that a young coordinator uses. */
#define RATE_YOUNG_COORDINATOR_PART 0.5
/* How long a server is short of its limit after the last refused request. */
#define RATE_SHORT_MS (3 * MSEC_SECOND)
/*
 * Part of a server's rate limit that all nodes together would use if they
 * decided without a coordinator.
 */
#define RATE_ALONE_PART 0.5
/*
 * A longer time between two calls of server_rate_allows_alone() means that the
 * node had a coordinator meanwhile.
 */
#define RATE_ALONE_MAX_GAP_MS (2 * MSEC_SECOND)

void
server_rate_reset(struct server_rate *r)
{
	*r = (struct server_rate){ .received = MSEC_NEVER };
}

static double
rate_bucket_size(const struct server_rate *r)
{
	return MAX(r->per_s * RATE_BUCKET_MS / MSEC_SECOND, RATE_BUCKET_MIN);
}

bool
server_rate_update(struct server_rate *r, msec now, msec then, double per_s)
{
	bool first = r->per_s == 0;

	if (r->received != MSEC_NEVER && then < r->received)
		return false;
	if (per_s > 0)
		per_s = MAX(per_s, SERVER_RATE_MIN);
	r->received = then;
	if (per_s == r->per_s)
		return false;
	r->per_s = per_s;
	r->since = now;
	r->sent = 0;
	if (first) {
		r->tokens = 0;
		r->filled = now;
		r->asked = now;
	}
	r->tokens = MIN(r->tokens, rate_bucket_size(r));
	return true;
}

static void
rate_fill(struct server_rate *r, msec now, double part)
{
	double more = part * r->per_s * (double)(now - r->filled) / MSEC_SECOND;

	r->tokens = MIN(r->tokens + MAX(more, 0), rate_bucket_size(r));
	r->filled = now;
}

bool
server_rate_allows(
    struct server_rate *r, msec now, bool young, bool urgent, double draw)
{
	bool leaves_one = !urgent && draw >= RATE_LESS_URGENT_PART;

	if (r->per_s == 0)
		return true;
	rate_fill(r, now, young ? RATE_YOUNG_COORDINATOR_PART : 1);
	if (r->tokens >= (leaves_one ? 2 : 1))
		return true;
	r->refused = now;
	return false;
}

bool
server_rate_is_short(const struct server_rate *r, msec now)
{
	return r->per_s > 0 && r->refused != 0 &&
	       now - r->refused < RATE_SHORT_MS;
}

void
server_rate_take(struct server_rate *r, msec now)
{
	if (r->per_s > 0)
		r->tokens = MAX(r->tokens - 1, -RATE_DEBT);
}

/*
 * Random, and unused shares are not saved: the saved shares of many nodes could
 * be used at the same time.
 */
bool
server_rate_allows_alone(
    struct server_rate *r, msec now, unsigned int nodes, double draw)
{
	msec span = now - r->asked;

	if (r->per_s == 0)
		return true;
	r->asked = now;
	if (span > RATE_ALONE_MAX_GAP_MS)
		return false;
	return draw < RATE_ALONE_PART * r->per_s / MAX(nodes, 1) *
			  (double)span / MSEC_SECOND;
}

msec
server_rate_wait(const struct server_rate *r)
{
	return r->per_s > 0 ? (msec)(MSEC_SECOND / r->per_s) : 0;
}
