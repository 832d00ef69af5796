/*
 * A configuration from another node, for one that the platform turns away: it
 * hears from its reader that there is another than its own, and could not go on
 * to serve callers with a key before the platform takes it again.
 */

#ifndef ENTRY_TABLE_H
#define ENTRY_TABLE_H

#include "proto.h"
#include "savory.h"

struct entry;

/* What has come of a text so far. */
struct entry_table {
	uint64_t version; /* 0: none */
	uint32_t total;	  /* bytes of the whole text */
	GByteArray *text; /* as long, with gaps */
	uint64_t parts;	  /* a bit for each that has come */
	uint64_t taken, dropped;
};

void entry_table_init(struct entry *);
void entry_table_finish(struct entry *);
/* Ask our reader for a newer one, if we have been told that there is one. */
void entry_table_ask(struct entry *, msec);
/* A message of kind SP_TABLE_ASK or SP_TABLE_PART. */
void entry_table_receive(struct entry *, name_id from, uint32_t address,
    uint16_t port, const sp_msg *, msec);

#endif /* ENTRY_TABLE_H */
