/*
 * Transfer of the configuration (struct route_table) between nodes. A node that
 * the platform refuses learns from the nodes that it polls that a configuration
 * other than its own is in force. Without the transfer it could
 * not serve callers with an API key until the platform accepts it again.
 */

#ifndef ENTRY_TABLE_H
#define ENTRY_TABLE_H

#include "proto.h"
#include "savory.h"

struct entry;

/* A configuration's text as received so far. */
struct entry_table_transfer {
	uint64_t version; /* 0: none */
	uint32_t total;	  /* bytes of the whole text */
	GByteArray *text; /* `total` bytes; missing parts are undefined */
	uint64_t parts;	  /* bit mask of the parts received */
	uint64_t taken, dropped; /* counters: configurations */
};

void entry_table_init(struct entry *);
void entry_table_finish(struct entry *);
/*
 * Request the configuration from some nodes, if one has reported a different
 * one.
 */
void entry_table_request(struct entry *, msec);
/* Handle a message of kind SP_TABLE_ASK or SP_TABLE_PART from a node. */
void entry_table_receive(struct entry *, name_id from, uint32_t address,
    uint16_t port, const sp_msg *, msec);

#endif /* ENTRY_TABLE_H */
