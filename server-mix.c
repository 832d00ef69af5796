/*
 * Separation of light requests from long prompts; see server-mix.h.
 */

#define LOG_PART "mix"
#include "server-mix.h"

#include <math.h>

/* Weight of the newest request in the smoothed prompt length. */
#define MIX_ALPHA 0.05
/*
 * A prompt counts as at most this multiple of its route's mean: a wrong, far
 * too high length must not make other routes light. Real prompts are up to 5
 * times as long as the mean.
 */
#define MIX_OUTLIER_TIMES 6
/*
 * A route is light if its mean prompt is shorter than this part of the longest
 * route's. With 0.3, routes with a quarter of the longest prompt used the quiet
 * servers, and streams with the shortest prompts missed their gap targets, so
 * that far fewer requests were served in time on servers that read 31 tokens
 * per ms (9 servers, twice the load). The second value adds hysteresis: with a
 * route that changes back and forth, fewer requests are served in time even at
 * low load.
 */
#define MIX_LIGHT_PART 0.18
#define MIX_LIGHT_KEEP_PART 0.22
/* Smoothing time of the running requests: bursts build up within seconds. */
#define MIX_BUSY_MS 2000.0
/*
 * Planned use of a quiet server's slots, so that a burst of twice the traffic
 * still fits.
 */
#define MIX_QUIET_SLOTS_PART 0.4
/*
 * Planned streams of a quiet server at most, however many slots it has: each
 * light request has a prompt too, and reading it interrupts the other streams.
 * Under twice the load, more requests are served in time with this maximum on
 * 18 servers of 64 slots; on 9 of them it makes no difference.
 */
#define MIX_STREAMS_MAX 16
#define MIX_SLOTS_DEFAULT 32
/* Maximum part of the servers that are quiet. */
#define MIX_QUIET_SERVERS_PART 0.34

static struct mix_route *
mix_find(const struct mix *m, name_id route)
{
	unsigned int i;

	for (i = 0; i < m->nroutes; i++) {
		if (m->routes[i].id == route)
			return (struct mix_route *)&m->routes[i];
	}
	return NULL;
}

/* Updates the smoothed number of running requests. */
static void
mix_update_busy(struct mix_route *r, msec now)
{
	double keep = exp(-(double)(now - r->busy_at) / MIX_BUSY_MS);

	r->busy = r->busy * keep + r->running * (1 - keep);
	r->busy_at = now;
}

static bool
mix_route_is_light(const struct mix *m, const struct mix_route *r)
{
	double longest = 0;
	unsigned int i;

	if (r->gap_target == 0)
		return false;
	for (i = 0; i < m->nroutes; i++) {
		/* Routes with the same or a lower target are not compared. */
		if (m->routes[i].gap_target > r->gap_target)
			longest = MAX(longest, m->routes[i].prompt_tokens);
	}
	return r->prompt_tokens <
	       longest * (r->light ? MIX_LIGHT_KEEP_PART : MIX_LIGHT_PART);
}

bool
mix_record_request(struct mix *m, msec now, name_id route, msec gap_target,
    unsigned int rank, unsigned int tokens)
{
	struct mix_route *r = mix_find(m, route);
	bool first = r == NULL;
	unsigned int i;

	if (first) {
		if (m->nroutes == MIX_ROUTES_MAX)
			return false;
		r = &m->routes[m->nroutes++];
		*r = (struct mix_route){
			.id = route, .prompt_tokens = tokens, .busy_at = now
		};
	}
	r->gap_target = gap_target;
	r->rank = MAX(r->rank, rank);
	r->prompt_tokens +=
	    MIX_ALPHA * (MIN(tokens, r->prompt_tokens * MIX_OUTLIER_TIMES + 1) -
			    r->prompt_tokens);
	for (i = 0; i < m->nroutes; i++)
		m->routes[i].light = mix_route_is_light(m, &m->routes[i]);
	return first;
}

bool
mix_started(struct mix *m, msec now, name_id route)
{
	struct mix_route *r = mix_find(m, route);

	if (r == NULL)
		return false;
	mix_update_busy(r, now);
	r->running++;
	return true;
}

void
mix_add_running(struct mix *m, msec now, name_id route, unsigned int running)
{
	struct mix_route *r = mix_find(m, route);

	if (r == NULL)
		return;
	r->running += running;
	r->busy = r->running;
	r->busy_at = now;
}

void
mix_ended(struct mix *m, msec now, name_id route)
{
	struct mix_route *r = mix_find(m, route);

	if (r == NULL || r->running == 0)
		return;
	mix_update_busy(r, now);
	r->running--;
}

void
mix_record_read(struct mix *m, name_id route, unsigned int tokens, msec ms)
{
	struct mix_route *r = mix_find(m, route);
	double each;

	if (r == NULL || tokens == 0)
		return;
	each = (double)ms / tokens;
	if (r->read_ms_per_token <= 0)
		r->read_ms_per_token = each;
	r->read_ms_per_token += MIX_ALPHA * (each - r->read_ms_per_token);
}

double
mix_expected_read_ms(const struct mix *m, name_id route, unsigned int tokens)
{
	const struct mix_route *r = mix_find(m, route);

	return r != NULL ? r->read_ms_per_token * tokens : 0;
}

void
mix_record_hold_time(struct mix *m, msec held)
{
	if (m->hold_ms <= 0)
		m->hold_ms = (double)held;
	m->hold_ms += MIX_ALPHA * ((double)held - m->hold_ms);
}

bool
mix_is_light(const struct mix *m, name_id route)
{
	const struct mix_route *r = mix_find(m, route);

	return r != NULL && r->light;
}

struct server_refusals *
mix_refusals(struct mix *m, name_id route)
{
	struct mix_route *r = mix_find(m, route);

	return r != NULL ? &r->refusals : NULL;
}

bool
mix_is_last_tier(const struct mix *m, name_id route)
{
	const struct mix_route *r = mix_find(m, route);
	unsigned int i;

	for (i = 0; r != NULL && i < m->nroutes; i++) {
		if (m->routes[i].rank > r->rank)
			return false;
	}
	return r != NULL;
}

bool
mix_is_first_tier(const struct mix *m, name_id route)
{
	const struct mix_route *r = mix_find(m, route);
	unsigned int i;

	for (i = 0; r != NULL && i < m->nroutes; i++) {
		if (m->routes[i].rank < r->rank)
			return false;
	}
	return r != NULL;
}

bool
mix_has_more_urgent(const struct mix *m, unsigned int rank)
{
	unsigned int i;

	for (i = 0; i < m->nroutes; i++) {
		if (m->routes[i].rank < rank)
			return true;
	}
	return false;
}

void
mix_add_demand(struct mix *m, name_id route, unsigned int tokens)
{
	m->requests++;
	m->tokens += tokens;
	if (mix_is_first_tier(m, route))
		m->urgent_tokens += tokens;
}

unsigned int
mix_running(const struct mix *m)
{
	unsigned int i, n = 0;

	for (i = 0; i < m->nroutes; i++)
		n += m->routes[i].running;
	return n;
}

unsigned int
mix_quiet_servers(struct mix *m, msec now, unsigned int nodes,
    unsigned int servers, unsigned int slots)
{
	double busy = 0, each;
	unsigned int i, n;

	for (i = 0; i < m->nroutes; i++) {
		if (!mix_is_light(m, m->routes[i].id))
			continue;
		mix_update_busy(&m->routes[i], now);
		busy += m->routes[i].busy;
	}
	if (busy <= 0.01 || servers < 2)
		return 0;
	each = (slots > 0 ? slots : MIX_SLOTS_DEFAULT) * MIX_QUIET_SLOTS_PART;
	each = MIN(each, MIX_STREAMS_MAX);
	n = (unsigned int)ceil(busy * nodes / each);
	return CLAMP(
	    n, 1, MAX((unsigned int)(servers * MIX_QUIET_SERVERS_PART), 1));
}
