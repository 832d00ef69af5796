/*
 * What the platform's store keeps of requests and parts of prompts that end
 * backend servers (poison.h), so that it outlives all nodes: read once at the
 * start, written as it changes.
 */

#ifndef ENTRY_POISON_STORE_H
#define ENTRY_POISON_STORE_H

#include "poison.h"
#include "savory.h"

struct entry;

/* Most records of one write. */
#define POISON_WRITE_MAX 16

struct entry_poison_store {
	bool was_read; /* this node has taken the records that it found */
	bool busy;     /* a call is in progress */
	struct poison_id writing[POISON_WRITE_MAX];
	unsigned int nwriting;
	msec retry_at;
	unsigned int failures; /* in a row */
	/* Monotonic counters. */
	uint64_t reads, writes, failed;
};

void entry_poison_store_tick(struct entry *, msec);
/* The store was restored from an older copy: records are written again. */
void entry_poison_store_again(struct entry *, msec);
/*
 * Called by the source with the texts of the records by their keys; NULL: it
 * did not answer.
 */
void entry_suspects_read(struct entry *, GHashTable *texts, msec);
/* Called by the source when a write ends. */
void entry_suspects_written(struct entry *, bool ok, msec);
void entry_poison_store_metrics(const struct entry *, GString *);

#endif /* ENTRY_POISON_STORE_H */
