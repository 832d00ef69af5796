/*
 * The memory that an entry VM holds for all its requests, against what it may
 * use; memory-budget.h decides. Near the limit, answers that are kept whole are
 * read on a few at a time, so that the others wait at their servers; then
 * holders whose bytes do not move are ended, the largest first; then new
 * requests are refused before they are read.
 */

#ifndef ENTRY_MEMORY_H
#define ENTRY_MEMORY_H

#include "memory-budget.h"

struct caller;
struct entry;
struct job;

struct entry_memory {
	struct memory_budget budget;
	msec checked_at;      /* when all holders were looked at last */
	size_t checked_held;  /* bytes held then */
	unsigned int waiting; /* answers that are not read on */
	msec none_read_since; /* none is, until callers have taken theirs; 0 */
	/* Requests and answers ended, requests refused. */
	uint64_t ended, refused;
};

void entry_memory_init(struct entry *);
/* Apply changed settings. */
void entry_memory_apply_settings(struct entry *);
/* After each batch of events; may end requests. */
void entry_memory_check(struct entry *, msec);
/* Is what can wait not to be read? */
bool entry_memory_is_short(const struct entry *);
/* Must new requests be refused? */
bool entry_memory_is_full(const struct entry *);
/* Bytes to read at once from a server, of so many at the most. */
size_t entry_memory_read_size(const struct entry *, size_t most);
/* Unsent bytes of an answer above which its server is not read on. */
size_t entry_memory_high_water(const struct entry *);
/*
 * Refuse the request whose head has been read, or that is being read: it has
 * not run. The connection is closed afterwards.
 */
void entry_memory_refuse(struct caller *, msec);
void entry_memory_metrics(const struct entry *, GString *);

#endif /* ENTRY_MEMORY_H */
