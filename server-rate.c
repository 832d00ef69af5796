/*
 * The rate of requests that a server names; see server-rate.h.
 */

#include "server-rate.h"

void
server_rate_reset(struct server_rate *r)
{
	*r = (struct server_rate){ .heard = MSEC_NEVER };
}

bool
server_rate_hear(struct server_rate *r, msec then, double per_s)
{
	if (r->heard != MSEC_NEVER && then < r->heard)
		return false;
	if (per_s > 0)
		per_s = MAX(per_s, SERVER_RATE_LEAST);
	r->heard = then;
	if (per_s == r->per_s)
		return false;
	r->per_s = per_s;
	r->since = then;
	r->sent = 0;
	return true;
}
