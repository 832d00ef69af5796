/*
 * Exchange of servers' rate limits between the nodes that receive them in
 * responses and the coordinators that enforce them; see server-rate.h.
 */

#define LOG_PART "place"
#include "place-private.h"

/* Interval of repeated reports, as messages may be lost. */
#define RATE_RESEND_MS (5 * MSEC_SECOND)
/* How long the removal of a rate limit is included in replies. */
#define RATE_REMOVED_MS (5 * MSEC_SECOND)
/* A rate limit without an update for this long is not reported any more. */
#define RATE_EXPIRE_MS (5 * 60 * MSEC_SECOND)

static void
rate_encode(const struct server *v, msec now, sp_place_rate *m)
{
	m->server = v->id;
	m->born = (uint64_t)v->born;
	m->per_s = v->rate.per_s;
	m->age_ms = (u_int)(now - v->rate.received);
}

static void
rate_send(struct place *p, msec now, const struct server *v, name_id to)
{
	sp_msg msg = { .kind = SP_PLACE_RATE };

	rate_encode(v, now, &msg.sp_msg_u.place_rate);
	p->ops->send(p, to, &msg);
}

/* The server has a rate limit, or had one until RATE_REMOVED_MS ago. */
static bool
rate_is_reportable(const struct server *v, msec now)
{
	return v->rate.received != MSEC_NEVER &&
	       (v->rate.per_s > 0 ||
		   (v->rate.since != 0 &&
		       now - v->rate.since < RATE_REMOVED_MS));
}

/* Continues after the server that was listed last. */
unsigned int
place_rates_list(
    struct place *p, msec now, const struct server_wish *w, sp_place_rate *out)
{
	struct server find = { .id = p->last_listed_rate + 1 }, *v;
	unsigned int n = 0, left;

	if (now - p->rates_at >= RATE_EXPIRE_MS)
		return 0;
	v = RB_NFIND(server_tree, &p->servers->tree, &find);
	for (left = p->servers->count; left > 0 && n < SAVORY_RATED_MAX;
	     left--) {
		if (v == NULL)
			v = RB_MIN(server_tree, &p->servers->tree);
		if (v->service == w->service && rate_is_reportable(v, now)) {
			rate_encode(v, now, &out[n++]);
			p->last_listed_rate = v->id;
			p->rates_at = now;
		}
		v = RB_NEXT(server_tree, &p->servers->tree, v);
	}
	return n;
}

static void
rate_send_to_coordinator(struct place *p, msec now, const struct server *v)
{
	unsigned int groups = place_count_groups(p, v->service);
	name_id to = place_coordinator(
	    p, v->service, groups > 1 ? server_group(v, groups) : 0);

	if (to != p->self)
		rate_send(p, now, v, to);
}

void
place_rate_received(struct place *p, msec now, const struct server *v)
{
	p->rates_at = now;
	rate_send_to_coordinator(p, now, v);
}

void
place_resend_rates(struct place *p, msec now)
{
	struct server *v;

	p->next_rates = now + RATE_RESEND_MS;
	if (now - p->rates_at >= RATE_EXPIRE_MS)
		return;
	RB_FOREACH (v, server_tree, &p->servers->tree) {
		if (v->rate.received != MSEC_NEVER && v->rate.since != 0 &&
		    now - v->rate.received < RATE_EXPIRE_MS)
			rate_send_to_coordinator(p, now, v);
	}
}

/* A sender with an outdated rate limit is sent the newer one. */
void
place_rate_receive(
    struct place *p, msec now, name_id from, const sp_place_rate *m)
{
	struct server *v = servers_find(p->servers, m->server);
	msec then = now - (msec)m->age_ms;

	if (v == NULL || (uint64_t)v->born != m->born ||
	    !(m->per_s >= 0 && m->per_s < SERVER_RATE_MAX))
		return;
	if (v->rate.received != MSEC_NEVER && then < v->rate.received) {
		if (v->rate.per_s != m->per_s)
			rate_send(p, now, v, from);
		return;
	}
	if (!server_rate_update(&v->rate, now, then, m->per_s))
		return;
	p->rates_at = now;
	p->ops->rate_changed(p, v, now);
}
