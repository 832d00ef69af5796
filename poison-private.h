/*
 * Shared by the files for poison requests: poison.c decides which requests may
 * be sent, poison-record.c stores records, and poison-share.c exchanges records
 * between nodes.
 */

#ifndef POISON_PRIVATE_H
#define POISON_PRIVATE_H

#include "poison.h"

/* ---- records: poison-record.c ---- */

int poison_record_compare(struct poison_record *, struct poison_record *);
RB_PROTOTYPE(poison_records, poison_record, entry, poison_record_compare)
struct poison_record *record_find(struct poisons *, struct poison_id);
/* Find or create a record; may evict another one. */
struct poison_record *record_get(struct poisons *, struct poison_id);
void records_free(struct poisons *);
/* Number of server ends in the record. */
unsigned int record_ends(const struct poison_record *);
/* Add an ended process; false: known already, or older than `served`. */
bool record_add_end(struct poisons *, struct poison_record *, uint64_t, msec);
/* Add a complete answer; false: it removes no end. */
bool record_add_answer(struct poisons *, struct poison_record *, msec);
/* Time of the next trial of a condemned request. */
msec record_trial_at(const struct poison_record *);
bool record_is_condemned(const struct poison_record *, msec);
/*
 * Encode a record for a message, with the array for its processes; merge a
 * received record into the stored one, returned or NULL.
 */
void record_encode(
    const struct poison_record *, msec, sp_poison_record *, sp_poison_life *);
bool record_merge(
    struct poisons *, msec, const sp_poison_record *, struct poison_record **);

/* ---- distribution: poison-share.c ---- */

/* The owner of a request, and its deputy; 0: there is no deputy. */
void poison_share_owners(
    const struct poisons *, struct poison_id, name_id *, name_id *);
/* Schedule sending a record that changed here (`seen_here`) or by a message. */
void poison_share_changed(
    struct poisons *, msec, struct poison_record *, bool seen_here);
/* A record is about to be freed. */
void poison_share_cancel(struct poisons *, struct poison_record *);
void poison_share_tick(struct poisons *, msec);
/* Time of the next call of poison_share_tick(). */
msec poison_share_next(const struct poisons *, msec);

#endif /* POISON_PRIVATE_H */
