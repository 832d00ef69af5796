/*
 * Duties that one node at a time does for all, on the node's side: duty.c says
 * who, usage.c what is reported, capacity.c what is ordered; the source carries
 * the calls out. Of no cost where no duties are set.
 */

#ifndef ENTRY_DUTY_H
#define ENTRY_DUTY_H

#include "capacity.h"
#include "duty.h"
#include "proto.h"
#include "usage.h"
#include "wire.h"

struct entry;
struct entry_duty;
struct route_table;

/* Does nothing when the settings name no duties; the end. */
void entry_duty_init(struct entry *, msec);
void entry_duty_finish(struct entry *);
/* What operators say of services whose servers are ordered. */
void entry_duty_take_table(struct entry *, const struct route_table *);
/* A request of an organisation (NULL: none) has begun to run at a server. */
void entry_duty_began(struct entry *, const char *organisation, msec);
/* A message of kind SP_DUTY_BEAT or above. */
void entry_duty_receive(
    struct entry *, name_id from, uint64_t incarnation, const sp_msg *, msec);
/* This node is leaving; false: not yet, a call of ours is under way. */
bool entry_duty_leave(struct entry *, msec);
/*
 * The name to act by, and the token; 0: nothing may be sent now. To be asked
 * when a connection stands, right before the first byte.
 */
uint64_t entry_duty_token(const struct entry *, msec);

/* From the source. */
void entry_duty_appended(
    struct entry *, enum duty_result, uint64_t at, uint64_t end, msec);
/* `notes` is the newest, "" when there is none. */
void entry_duty_looked(struct entry *, bool ok, uint64_t claim, uint64_t end,
    const char *notes, msec);
/* How a call to the platform ended. */
enum duty_call_result {
	DUTY_CALL_DONE,
	DUTY_CALL_FENCED, /* a greater token was seen */
	DUTY_CALL_NONE,	  /* there are none of what was ordered */
	DUTY_CALL_FAILED  /* not done, or not known */
};
void entry_duty_reported(struct entry *, enum duty_call_result, msec);
void entry_duty_ordered(
    struct entry *, const struct server_order *, enum duty_call_result, msec);

/* The first era of the source's log, and one that follows another. */
void entry_duty_set_era(struct entry *);
void entry_duty_rewound(struct entry *, msec);

void entry_duty_metrics(const struct entry *, GString *);
void entry_duty_dump(const struct entry *, GString *, msec);

#endif /* ENTRY_DUTY_H */
