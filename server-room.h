/*
 * Room of a brittle backend server. A server that says that it is brittle falls
 * over if it has to turn away more than some requests in a second for want of
 * room, whichever nodes send them, and it may let fewer wait at any time. So it
 * is sent only what it has slots for: such a request never waits there.
 *
 * The coordinator of the server's group enforces this, as it counts all
 * requests on the server; a node that decides without a coordinator uses its
 * share of the slots. A rejection shows that there is less room than slots, or
 * that other requests run there than those that are known, as after a change of
 * the coordinator: nothing is sent for a moment.
 *
 * The module does no I/O.
 */

#ifndef SERVER_ROOM_H
#define SERVER_ROOM_H

#include "savory.h"

/* A server counts as brittle for this time after the last answer with it. */
#define SERVER_BRITTLE_MS (3 * MSEC_SECOND)
/* Slots assumed for a server that does not report them. */
#define SERVER_SLOTS_DEFAULT 32

/* Room of a server; all zero: not brittle. */
struct server_room {
	msec brittle_until;
	msec reported;	   /* last report to the coordinator */
	unsigned int less; /* slots that are not used after rejections */
	msec changed;	   /* last change of `less` */
	msec rejected;	   /* last rejection; 0: none */
};

/* An answer says that the server is brittle. */
void server_room_update(struct server_room *, msec);
/* The server turned a request away for want of room. */
void server_room_rejected(struct server_room *, msec, unsigned int slots);
bool server_is_brittle(const struct server_room *, msec);
/*
 * May the server get a request, if so many run there? `nodes` that decide for
 * themselves use equal shares; 1 for a coordinator. Where there are more nodes
 * than slots, a part of them uses one: `draw`, from 0 to 1, is fixed for a node
 * and a server. Less urgent requests leave a slot of every
 * SERVER_URGENT_ONE_IN to urgent ones.
 */
#define SERVER_URGENT_ONE_IN 8
bool server_room_allows(struct server_room *, msec, unsigned int slots,
    unsigned int running, unsigned int nodes, double draw, bool urgent);

#endif /* SERVER_ROOM_H */
