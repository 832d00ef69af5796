/*
 * When the platform was last away for all nodes, as far as this node can tell.
 * A call that fails shows only that the platform did not serve this node, and
 * other nodes may be served all the while. So an outage is a span in which
 * nobody is known to have been served: neither this node nor one that told it
 * so. The state is one interval without an outage, up to the last time at which
 * somebody was served.
 *
 * During an outage the entries of healthy servers expire. They are back within
 * two seconds of its end, so for OUTAGE_HOLD_MS from then a server without an
 * entry counts as present. This module does no I/O.
 */

#ifndef OUTAGE_H
#define OUTAGE_H

#include "savory.h"

/*
 * Shorter spans are no outage. An entry lives for three heartbeats of 1.2 s or
 * more, so none expires if the servers miss the platform for less than two.
 */
#define OUTAGE_MIN_MS 1800
#define OUTAGE_HOLD_MS 2300

struct outage {
	msec served; /* somebody was served then; MSEC_NEVER: nobody yet */
	msec steady; /* start of the interval that ends at `served` */
};

void outage_init(struct outage *);
/* This node was served, or a proof of another node shows that one was. */
void outage_served(struct outage *, msec at);
/*
 * Another node knows of no outage between these times, and that somebody was
 * served at the latter. Intervals that overlap are joined, as are those closer
 * than OUTAGE_MIN_MS.
 */
void outage_told(struct outage *, msec from, msec to);
/* Has nobody been served for a while? */
bool outage_is_on(const struct outage *, msec now);
/* End of the time in which servers without an entry count as present. */
msec outage_hold_end(const struct outage *);

#endif /* OUTAGE_H */
