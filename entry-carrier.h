/*
 * Which of the other nodes carries a request, and how long one is left alone
 * that could not. Internal to entry-handoff.c and entry-carrier.c.
 */

#ifndef ENTRY_CARRIER_H
#define ENTRY_CARRIER_H

#include "entry.h"

/* The carrier for the next request; NULL: no node may carry one now. */
struct entry_carrier *entry_carrier_choose(struct entry *, msec);
/*
 * It failed for this reason; `began`: after it had passed on an answer's head.
 */
void entry_carrier_avoid(
    struct entry_carrier *, msec, enum job_code why, bool began);
/* Forget carriers that are no members any more. */
void entry_carriers_tick(struct entry *);
void entry_carriers_finish(struct entry *);

#endif /* ENTRY_CARRIER_H */
