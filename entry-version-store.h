/*
 * What the platform's store keeps of software versions, so that it outlives all
 * nodes: the versions of each service (version-set.h), which two nodes write,
 * or others if these are cut off from the store, on the condition that nothing
 * was written since they read it; and the records of streams that began while a
 * service had several (stream-log.h).
 */

#ifndef ENTRY_VERSION_STORE_H
#define ENTRY_VERSION_STORE_H

#include "proto.h"
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
	msec wanted_since;
	msec retry_at;
	unsigned int failures; /* in a row */
	/* The log of streams as it was at the start. */
	bool log_wanted, log_busy, log_was_read;
	uint64_t log_at; /* the next record to read */
	msec log_retry_at;
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
/* Appends to the log of streams; stream_versions_stored() follows. */
void entry_version_store_streams(
    struct entry *, const sp_stream_record *, unsigned int);
/* Called by the source when an append to the log of streams ends. */
void entry_streams_appended(struct entry *, bool ok, msec);
/* Called by the source with the bytes of one record of that log. */
void entry_streams_take(struct entry *, const char *, size_t, msec);
/*
 * Called by the source when a read of that log ends; `next` is the record to
 * read next and `end` that which is written next.
 */
void
entry_streams_read(struct entry *, bool ok, uint64_t next, uint64_t end, msec);
void entry_version_store_metrics(const struct entry *, GString *);

#endif /* ENTRY_VERSION_STORE_H */
