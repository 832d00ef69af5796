/*
 * How old the proof is that the configuration in force here is the newest.
 * Where keys that are taken away must stop working within a bound, a node
 * that was cut off, paused or refused by the platform does not know whether a
 * key still holds; it must then refuse rather than let it through.
 */

#ifndef FRESH_H
#define FRESH_H

#include "savory.h"

/* A node's proof. */
struct fresh {
	msec proven; /* MSEC_NEVER: no proof yet */
	msec bound;  /* a proof holds for so long; 0: for ever */
};

/* Without a proof, with the bound in milliseconds. */
void fresh_init(struct fresh *, msec bound);
/*
 * The newest configuration was read, and is in force: when the read was sent.
 * An answer may have waited long on its way, and we may have been paused
 * before we read it, so only the moment of asking bounds its age.
 */
void fresh_prove(struct fresh *, msec asked);
/* May a key be honoured now? */
bool fresh_holds(const struct fresh *, msec now);
/* Age of the proof; MSEC_NEVER without one. */
msec fresh_age(const struct fresh *, msec now);

#endif /* FRESH_H */
