/*
 * Requests that were sent and that their server may still find: what this host
 * goes on sending after they were given up, or after the server has left.
 */

#define LOG_PART "link"
#include "entry-link-private.h"

#include "tcp-options.h"

/*
 * As a server leaves: no byte more of a request is acknowledged for so long, so
 * it is withdrawn; and of one that no other server can take over. A lost packet
 * is repeated within the first.
 */
#define LINK_HELD_MS 300
#define LINK_HELD_PATIENT_MS 800

int64_t
link_unacknowledged(const struct link *k)
{
	return tcp_unacknowledged(k->io.fd);
}

void
link_give_up(struct link *k)
{
	struct entry_counters *c = &k->owner->counters;

	if (!k->sent || k->reader.stage == HTTP_STAGE_COMPLETE)
		return;
	if (link_unacknowledged(k) == 0) {
		c->given_up_taken++;
		return;
	}
	c->given_up_held++;
	tcp_set_reset(k->io.fd);
}

/* Bytes of the request that are on the way; 0: the host has taken all. */
static size_t
link_bytes_held(const struct link *k)
{
	int64_t unacknowledged = link_unacknowledged(k);

	if (!k->sent || k->ended || unacknowledged <= 0)
		return 0;
	return (size_t)unacknowledged + buffer_length(&k->out);
}

static void
link_check_held_later(struct link *k, msec now)
{
	loop_timer_set(&k->owner->loop, &k->timer,
	    now + (k->patient ? LINK_HELD_PATIENT_MS : LINK_HELD_MS));
}

void
link_check_held(struct link *k, msec now)
{
	size_t held = link_bytes_held(k);

	if (link_is_current(k) || held == 0) {
		k->held_bytes = 0;
	} else if (held < k->held_bytes) {
		k->held_bytes = held;
		link_check_held_later(k, now);
	} else {
		link_end(k, LINK_HELD, now);
	}
}

void
link_server_leaves(struct link *k, msec now)
{
	if (k->asking || k->proof_bytes > 0) {
		loop_timer_set(&k->owner->loop, &k->timer, now);
	} else if (k->held_bytes == 0) {
		k->held_bytes = link_bytes_held(k);
		if (k->held_bytes > 0)
			link_check_held_later(k, now);
	}
}
