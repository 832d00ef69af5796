/*
 * The entry VM's side of outage.h: tells apart calls to the platform that fail
 * for this node alone from an outage for all. Before a server without an entry
 * is kept for an outage, other nodes are asked whether the platform served
 * them meanwhile.
 */

#ifndef ENTRY_OUTAGE_H
#define ENTRY_OUTAGE_H

#include "outage.h"
#include "proto.h"
#include "savory.h"

struct entry;

struct entry_outage {
	struct outage core;
	bool is_on; /* as logged */
	uint32_t seq;
	msec asked; /* last query; MSEC_NEVER: none */
};

void entry_outage_init(struct entry *);
/* The platform served a node `at`. */
void entry_outage_served(struct entry *, msec at, msec now);
/* Asks some other nodes, not more often than they are to answer. */
void entry_outage_ask(struct entry *, msec);
/* Handles a message of kind SP_OUTAGE_ASK or SP_OUTAGE_TELL. */
void entry_outage_receive(struct entry *, name_id from, uint32_t address,
    uint16_t port, const sp_msg *, msec);
void entry_outage_tick(struct entry *, msec);

#endif /* ENTRY_OUTAGE_H */
