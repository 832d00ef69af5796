/*
 * Joined calls: a node keeps requests with a ticket or an Idempotency-Key, so
 * that a later call with the same one gets the first call's answer instead of a
 * second run.
 */

#ifndef DAEMON_JOIN_H
#define DAEMON_JOIN_H

#include "savory.h"

/* Keys and tickets in the table. */
#define JOIN_COUNT_MAX 4096
/* Bytes of finished answers; beyond it the oldest are removed. */
#define JOIN_BYTES_MAX (32 * 1024 * 1024)

struct call;
struct daemon;
struct join;

enum join_result {
	JOIN_FIRST,    /* first with this key: run it, then join_complete() */
	JOIN_WAITING,  /* gets the first call's answer when that ends */
	JOIN_ANSWERED, /* the first call's answer was copied to it */
	JOIN_ANSWER_UNKNOWN, /* it ran before, but no answer is kept */
	JOIN_OTHER_BODY,     /* the key belongs to another request */
	JOIN_FULL	     /* the table is full */
};

struct join_table;

struct join_table *join_table_new(void);
void join_table_free(struct join_table *);
/*
 * Look up the call by its organisation and its ticket or key. If it is not
 * found, enter it as the first when `fresh`; else it has run before:
 * JOIN_ANSWER_UNKNOWN.
 */
enum join_result
join_lookup_or_add(struct join_table *, struct call *, bool fresh);
/* The first call has ended: copies its answer to the waiting calls. */
void join_complete(struct join_table *, struct call *, msec);
/* Remove entries that ended longer ago than the last argument. */
void join_tick(struct join_table *, msec, msec);
/* Whether this node has a run or a kept answer for the key or ticket. */
bool join_exists(struct join_table *, const struct call *);
unsigned int join_count(const struct join_table *);

#endif /* DAEMON_JOIN_H */
