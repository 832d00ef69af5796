/*
 * Age of the last proof that the configuration in force on this node is the
 * newest one. Revoked keys must stop working within a time limit. A node that
 * was partitioned, paused or refused by the platform cannot tell whether a key
 * is still valid, so it must refuse all keys once its proof is too old.
 *
 * relay.c distributes such proofs between nodes.
 */

#ifndef FRESH_H
#define FRESH_H

#include "savory.h"

/* The newest proof of the local node. */
struct fresh {
	msec proof_at; /* time of the proof; MSEC_NEVER: none yet */
	msec bound;    /* validity of a proof; 0: unlimited */
};

/* Start without a proof; the bound is in ms. */
void fresh_init(struct fresh *, msec bound);
/*
 * The newest configuration was read and is in force; `asked` is when the read
 * request was sent. The answer may have been delayed, and the local node may
 * have been paused before it processed the answer, so only the time of the
 * request bounds the age of the data.
 */
void fresh_record_proof(struct fresh *, msec asked);
/* Whether keys may be accepted now: the proof is younger than the bound. */
bool fresh_is_valid(const struct fresh *, msec now);
/* Age of the proof in ms; MSEC_NEVER without one. */
msec fresh_age(const struct fresh *, msec now);

#endif /* FRESH_H */
