/*
 * Fair shares of organisations while room is short. Load that it answers: one
 * organisation sends many times its usual load, or its callers repeat refused
 * requests at once. Requests are refused by what is ahead of them, whoever sent
 * them, so that organisation takes the room of all others.
 *
 * Each organisation's share is what it asked for, up to a level that is the
 * same for all (max-min fairness), measured in prompt tokens of the last
 * seconds. Requests of an organisation that got less than its share may have
 * more ahead of them than the others, and those of one that got more, less.
 * Shares only divide what was admitted, so about as much is admitted as before.
 *
 * The module does no I/O.
 */

#ifndef FAIR_SHARE_H
#define FAIR_SHARE_H

#include "savory.h"

/*
 * Number of table entries. An organisation that finds no free one takes, of the
 * few that it may use, the one whose organisation asked for least.
 */
#define FAIR_SHARE_PLACES 1024

/* Prompt tokens of an organisation's requests; older ones count less. */
struct fair_share_entry {
	name_id organisation; /* 0: requests without one */
	bool used;
	double asked, admitted;
	msec at; /* time of both sums */
};

/* The requests of one rank for a service; all zero bytes are none. */
struct fair_share {
	struct fair_share_entry entries[FAIR_SHARE_PLACES];
	msec short_at;	      /* last set by fair_share_set_short() */
	msec level_at;	      /* when the next two were computed; 0: never */
	double level;	      /* the most of a share, in tokens */
	double admitted_part; /* of all that was asked for */
	unsigned int asking;  /* organisations that asked for something */
};

/* A request with so many prompt tokens arrived; repetitions do not count. */
void fair_share_ask(
    struct fair_share *, msec, name_id organisation, unsigned int tokens);
/* It was admitted. */
void fair_share_admit(
    struct fair_share *, msec, name_id organisation, unsigned int tokens);
/*
 * A request is refused now, or would be without shares: room counts as short
 * for some time.
 */
void fair_share_set_short(struct fair_share *, msec);
/* Returns true if room is short and several organisations ask for it. */
bool fair_share_applies(struct fair_share *, msec);
/*
 * If so: by how much to multiply the limit of the organisation's request, which
 * has been counted by fair_share_ask().
 */
double fair_share_factor(struct fair_share *, msec, name_id organisation);

#endif /* FAIR_SHARE_H */
