/*
 * The node's side of the store's era, see era.h: what is done when the store
 * has come back from an older copy of itself, and what its answers prove then.
 */

#ifndef ENTRY_ERA_H
#define ENTRY_ERA_H

#include "era.h"
#include "savory.h"

struct entry;

/*
 * From the source: an answer of its store names this era; 0: none that can be
 * read. When the era rose the source is told to read all anew.
 */
enum era_verdict entry_take_era(struct entry *, uint64_t number, msec);
/*
 * Is the configuration in force the newest, if a read that was sent then found
 * no newer one?
 */
bool entry_era_proves(const struct entry *, msec asked);
/*
 * From the source: its store holds a record that says that this era had
 * settled.
 */
void entry_era_vouched(struct entry *, uint64_t number, msec);
/* The era, if it is known to have settled; for such a record. Else 0. */
uint64_t entry_era_settled(const struct entry *, msec);
/* Once an era has settled, the source writes that down. */
void entry_era_tick(struct entry *, msec);
/* A mark of this era, to be compared with other nodes'. */
uint64_t entry_era_mark(const struct entry *, uint64_t mark);
void entry_era_metrics(const struct entry *, GString *, msec);
void entry_era_dump(const struct entry *, GString *, msec);

#endif /* ENTRY_ERA_H */
