/*
 * Handling of the era of the platform's store on an entry node (see era.h):
 * what this node does when the store was restored from an older copy, and when
 * an answer of the store proves that the configuration in force is the newest.
 */

#ifndef ENTRY_ERA_H
#define ENTRY_ERA_H

#include "era.h"
#include "savory.h"

struct entry;

/*
 * Called by the source with the era in an answer of its store; 0 if the answer
 * has none or it is unreadable. If the era is greater than the one known, the
 * source's rewound() operation is called, which reads everything again.
 */
enum era_verdict entry_era_observe(struct entry *, uint64_t number, msec);
/*
 * Returns true if a read sent at time `read_sent_at` that found no newer
 * configuration proves that the one in force is the newest.
 */
bool entry_era_proves_newest(const struct entry *, msec read_sent_at);
/*
 * Called by the source when its store contains a record that this era has
 * settled: all that was lost with the previous era had time to be written
 * again.
 */
void entry_era_settled_recorded(struct entry *, uint64_t number, msec);
/* Returns the era if it is known to have settled, otherwise 0. */
uint64_t entry_era_settled(const struct entry *, msec);
/* Makes the source write the record once an era has settled. */
void entry_era_tick(struct entry *, msec);
/* Mixes the era into a mark, so that marks of two eras never match. */
uint64_t entry_era_mix_into_mark(const struct entry *, uint64_t mark);
void entry_era_metrics(const struct entry *, GString *, msec);
void entry_era_dump(const struct entry *, GString *, msec);

#endif /* ENTRY_ERA_H */
