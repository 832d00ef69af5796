/*
 * A node that starts while the store shows an older copy of itself. It would
 * take an older configuration for the newest, which its fellows know better:
 * it asks some of them before it goes by what it has read. Nobody answers when
 * all were killed together; then the store's word is all there is, and proves
 * nothing before what it may have lost had time to be written again.
 */

#ifndef ENTRY_START_H
#define ENTRY_START_H

#include "loop.h"
#include "member.h"
#include "proto.h"
#include "route.h"
#include "savory.h"

struct entry;

struct entry_start {
	struct loop_timer timer;
	bool asking;
	bool done;
	uint32_t seq;	   /* of the questions */
	msec until;	   /* they end then at the latest */
	uint64_t version;  /* the newest that any of them has heard of */
	bool listed;	   /* who may be asked is known */
	GArray *nodes;	   /* struct vm: these, in the order of asking */
	guint next;	   /* of them */
	GHashTable *told;  /* name_id: who has answered */
	unsigned int know; /* of these, who were no beginners themselves */
	bool unanswered;   /* nobody knew anything */
	struct route_table *table; /* read meanwhile; NULL: none */
	msec asked; /* the read that found none newer; MSEC_NEVER: none */
};

void entry_start_init(struct entry *);
void entry_start_finish(struct entry *);
/* Must a configuration wait? Not where the store has no eras. */
bool entry_start_waits(const struct entry *);
/* The one that waits, if any; takes over the reference. */
void entry_start_hold(struct entry *, struct route_table *, msec);
/* A read that was sent then found none newer. */
void entry_start_hold_proof(struct entry *, msec asked);
/* From the source: nodes that have announced themselves. */
void entry_start_nodes(struct entry *, const struct vm *, unsigned int, msec);
/* A message of kind SP_START_ASK or SP_START_TELL. */
void entry_start_receive(struct entry *, name_id from, uint32_t address,
    uint16_t port, const sp_msg *, msec);

#endif /* ENTRY_START_H */
