/*
 * Room of a brittle server; see server-room.h.
 */

#include "server-room.h"

/* Rejections within this time are counted as one: they were sent together. */
#define ROOM_REJECTED_MS 100
/*
 * Time after a rejection for which nothing is sent; longer for nodes that
 * decide alone, as all of them may be turned away.
 */
#define ROOM_PAUSE_MS 250
#define ROOM_PAUSE_MAX_MS (2 * MSEC_SECOND)
/* A slot that was given up is used again after this time. */
#define ROOM_BACK_MS MSEC_SECOND
/* Part of the slots that one rejection costs. */
#define ROOM_LESS_PART 8

void
server_room_update(struct server_room *r, msec now)
{
	if (!server_is_brittle(r, now)) {
		r->less = 0;
		r->changed = now;
	}
	r->brittle_until = now + SERVER_BRITTLE_MS;
}

bool
server_is_brittle(const struct server_room *r, msec now)
{
	return now < r->brittle_until;
}

void
server_room_rejected(struct server_room *r, msec now, unsigned int slots)
{
	if (!server_is_brittle(r, now))
		return;
	r->rejected = now;
	if (r->less > 0 && now - r->changed < ROOM_REJECTED_MS)
		return;
	slots = slots > 0 ? slots : SERVER_SLOTS_DEFAULT;
	r->less = MIN(r->less + MAX(slots / ROOM_LESS_PART, 1), slots - 1);
	r->changed = now;
}

static void
room_grow(struct server_room *r, msec now)
{
	if (r->less > 0 && now - r->changed >= ROOM_BACK_MS) {
		r->less--;
		r->changed = now;
	}
}

static bool
room_pauses(const struct server_room *r, msec now, unsigned int nodes)
{
	return r->rejected != 0 &&
	       now - r->rejected <
		   MIN(ROOM_PAUSE_MS * (msec)nodes, ROOM_PAUSE_MAX_MS);
}

bool
server_room_allows(struct server_room *r, msec now, unsigned int slots,
    unsigned int running, unsigned int nodes, double draw, bool urgent)
{
	unsigned int room;

	if (!server_is_brittle(r, now))
		return true;
	room_grow(r, now);
	nodes = MAX(nodes, 1);
	if (room_pauses(r, now, nodes))
		return false;
	slots = slots > 0 ? slots : SERVER_SLOTS_DEFAULT;
	room = slots - MIN(r->less, slots - 1);
	if (!urgent)
		room -= room / SERVER_URGENT_ONE_IN;
	if (room >= nodes)
		return running < room / nodes;
	return running == 0 && draw * nodes < room;
}
