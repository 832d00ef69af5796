/*
 * How much may be read before a request that is let in. Where servers are
 * asked for more than they can do, those that wait in their queues are late,
 * and what is read beside them makes streams pause: some must be turned away
 * so that the others are served in time. How many depends on the servers and
 * on the mix, so it is learned from how those that were let in fared.
 *
 * Without input or output.
 */

#ifndef SERVER_LIMIT_H
#define SERVER_LIMIT_H

#include "savory.h"

/* Of one service's servers of one sort, as their coordinator learned it. */
struct server_limit {
	double part;	/* of the target; 0: nothing was learned yet */
	uint64_t fared; /* requests that it was learned from */
};

/* Is a request that has so much ahead of it near the limit, both in ms? */
bool server_limit_is_near(msec ahead, msec limit);
/*
 * One that was let in was late, or served in time; `pressed`: it was near the
 * limit. Only the success of such a one shows that more could be let in: in
 * quiet times all are in time, whatever the limit, and a limit that rose with
 * them would let the whole beginning of a burst in.
 */
void server_limit_learn(struct server_limit *, bool late, bool pressed);
/*
 * The most that may be ahead of a request, in ms. The more urgent tiers are
 * not turned away for what was learned while a less urgent one can be.
 */
msec server_limit_ms(const struct server_limit *, msec target, bool last_tier);

/* What part of the target that is for the last tier, in percent. */
unsigned int server_limit_percent(const struct server_limit *);

/* What coordinators said lately of one kind of request, to a node that asks. */
struct server_told {
	msec at;		 /* the newest; 0: nothing yet */
	double away;		 /* part that was turned away, smoothed */
	msec wait, ahead, limit; /* of the newest of these */
};

/* One was told so; `away`: more is ahead than may be. */
void server_told_note(struct server_told *, msec now, bool away, msec wait,
    msec ahead, msec limit);
/*
 * Is one of which no coordinator says anything turned away? `draw` is even in
 * 0 to 1.
 */
bool server_told_away(const struct server_told *, msec now, double draw);

#endif /* SERVER_LIMIT_H */
