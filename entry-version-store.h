/*
 * What the platform's store keeps of software versions, so that it outlives all
 * nodes: the versions of each service (version-set.h). Two nodes write it, on
 * the condition that nothing was written since they read it.
 */

#ifndef ENTRY_VERSION_STORE_H
#define ENTRY_VERSION_STORE_H

#include "savory.h"

struct entry;

/* Monotonic counters. */
struct entry_version_store_counters {
	uint64_t reads, writes, conflicts, failed;
};

struct entry_version_store {
	bool was_read; /* this node has taken the sets that it found */
	bool busy;     /* a call is in progress */
	/* Hashes of what there is to write, and of what needs no write. */
	uint64_t wanted, done;
	msec retry_at;
	unsigned int failures; /* in a row */
	struct entry_version_store_counters counters;
};

void entry_version_store_tick(struct entry *, msec);
/*
 * Called by the source with the texts of the sets by the name of their service,
 * and the end offset of their log; NULL: it did not answer.
 */
void
entry_version_sets_read(struct entry *, GHashTable *texts, uint64_t end, msec);
/* Called by the source; `conflict`: another node has written since. */
void
entry_version_set_written(struct entry *, bool written, bool conflict, msec);
void entry_version_store_metrics(const struct entry *, GString *);

#endif /* ENTRY_VERSION_STORE_H */
