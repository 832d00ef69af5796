/*
 * What the files of the core for poison requests share: poison.c has the
 * decisions, poison-record.c what is known, poison-share.c what nodes tell
 * each other.
 */

#ifndef POISON_PRIVATE_H
#define POISON_PRIVATE_H

#include "poison.h"

/* ---- what is known: poison-record.c ---- */

int poison_record_compare(struct poison_record *, struct poison_record *);
RB_PROTOTYPE(poison_records, poison_record, entry, poison_record_compare)
struct poison_record *record_find(struct poisons *, struct poison_id);
/* A new one where there is none; another may have yielded. */
struct poison_record *record_take(struct poisons *, struct poison_id);
void records_free(struct poisons *);
/* Ends that speak against it. */
unsigned int record_ends(const struct poison_record *);
/* False when it was known, or it was served since. */
bool record_add_life(struct poisons *, struct poison_record *, uint64_t, msec);
/* It was answered whole; false when that clears nothing. */
bool record_add_served(struct poisons *, struct poison_record *, msec);
/* When a trial of a condemned one may be given. */
msec record_trial_at(const struct poison_record *);
bool record_is_condemned(const struct poison_record *, msec);
/* To the wire, with memory for its lives, and back into what is known. */
void record_encode(
    const struct poison_record *, msec, sp_poison_record *, sp_poison_life *);
bool record_merge(
    struct poisons *, msec, const sp_poison_record *, struct poison_record **);

/* ---- who is told: poison-share.c ---- */

/* The owner of a request, and its deputy: 0 when there is none. */
void
share_owners(const struct poisons *, struct poison_id, name_id *, name_id *);
/* It has changed, by what was seen here or told: pass it on as is due. */
void share_changed(struct poisons *, msec, struct poison_record *, bool ours);
/* It is about to go. */
void share_forget(struct poisons *, struct poison_record *);
void share_tick(struct poisons *, msec);
/* When the next tick has something to pass on. */
msec share_due(const struct poisons *, msec);

#endif /* POISON_PRIVATE_H */
