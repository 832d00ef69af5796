/*
 * Shared by the files for poison requests: poison.c decides which requests may
 * be sent, poison-part.c judges parts of prompts, poison-record.c stores
 * records, poison-share.c exchanges records between nodes, and poison-store.c
 * says which the platform's store keeps.
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
enum poison_kind record_kind(const struct poison_record *);
/* Number of server ends in the record; of parts those at different moments. */
unsigned int record_ends(const struct poison_record *);
/* Are there enough of them to condemn it? */
bool record_has_enough(const struct poison_record *);
/* Must it be permitted by the owner? */
bool record_needs_permit(const struct poison_record *);
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
/*
 * Of a record that was merged: does the sender lack an answer that excuses ends
 * in the message?
 */
bool
record_corrects(const struct poison_record *, msec, const sp_poison_record *);

/* ---- parts: poison-part.c ---- */

/*
 * An end counts against a part only if no request with it was answered for so
 * long before: a part that ends servers is never answered, and one in much
 * traffic all the time.
 */
#define POISON_PART_PROOF_MS (2 * MSEC_SECOND)
/*
 * All nodes hear of a part from so many ends on: early enough to reply that
 * they answered it, and late enough that few sound parts get there.
 */
#define POISON_PART_BROADCAST_ENDS (POISON_PART_PERMIT_ENDS - 1)
/* Entries of the table of answers. */
#define POISON_ANSWERS_BITS 11
#define POISON_ANSWERS (1U << POISON_ANSWERS_BITS)
/* An answer to a request with more parts does not displace recent ones. */
#define POISON_ANSWERS_OF_ONE (POISON_ANSWERS / 16)
/* Ends of two processes within this time are one moment. */
#define POISON_MOMENT_MS 10
/* The last complete answer of this node with a part; MSEC_NEVER: none. */
msec part_answered_at(const struct poisons *, struct poison_id);
/* Can the ends in a part's record all be the work of other condemned parts? */
bool part_is_explained(const struct poisons *, const struct poison_record *);

/* ---- decisions: poison.c ---- */

void run_count(struct poisons *, struct poison_id, enum poison_verdict);
/* Ask for permission to send a suspect; see poison_ask(). */
enum poison_verdict run_request_permit(
    struct poisons *, msec, struct poison_run *, struct poison_record *);
/* A record has changed: its request or part may now be condemned or cleared. */
void record_changed(struct poisons *, msec, struct poison_record *,
    unsigned int ends_before, bool seen_here);

/* Merge a record that a node sent; 0: the platform's store. */
void
record_receive(struct poisons *, msec, name_id from, const sp_poison_record *);

/* ---- distribution: poison-share.c ---- */

/* The owner of a request, and its deputy; 0: there is no deputy. */
void poison_share_owners(
    const struct poisons *, struct poison_id, name_id *, name_id *);
/* Schedule sending a record that changed here (`seen_here`) or by a message. */
void poison_share_changed(
    struct poisons *, msec, struct poison_record *, bool seen_here);
/* Ends from which on all nodes are to receive a record, and the store keeps it.
 */
unsigned int poison_share_least(const struct poison_record *);
/* Send a record to one node. */
void
poison_share_reply(struct poisons *, msec, struct poison_record *, name_id);
/* A record is about to be freed. */
void poison_share_cancel(struct poisons *, struct poison_record *);
void poison_share_tick(struct poisons *, msec);
/* Time of the next call of poison_share_tick(). */
msec poison_share_next(const struct poisons *, msec);

/* ---- the platform's store: poison-store.c ---- */

/* A record has changed that had so many ends. */
void poison_store_changed(
    struct poisons *, msec, struct poison_record *, unsigned int ends_before);
/* A record is about to be freed. */
void poison_store_cancel(struct poisons *, struct poison_record *);

#endif /* POISON_PRIVATE_H */
