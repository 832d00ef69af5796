/*
 * Runs the duties that only one entry node at a time performs for all nodes:
 * duty.c elects the holder, usage.c counts the usage that the holder
 * reports, and capacity.c computes how many backend servers it orders. The
 * source makes the calls to the platform. Nothing runs when the settings
 * configure no duties.
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

/* Does nothing when the settings configure no duties. */
void entry_duty_init(struct entry *, msec);
void entry_duty_finish(struct entry *);
/* Sets the scaling terms of services from a new configuration. */
void entry_duty_take_table(struct entry *, const struct route_table *);
/*
 * Counts a request of an organisation that a server has begun to run; ignored
 * if the organisation is NULL.
 */
void entry_duty_count_request(struct entry *, const char *organisation, msec);
/* Handles a message of kind SP_DUTY_BEAT, SP_USAGE_* or SP_DEMAND. */
void entry_duty_receive(
    struct entry *, name_id from, uint64_t incarnation, const sp_msg *, msec);
/*
 * Gives up the duty because this node is leaving. Returns false while a call to
 * the platform or an append is pending, for one second at most; the caller
 * retries later.
 */
bool entry_duty_leave(struct entry *, msec);
/*
 * Returns the fencing token, or 0 if this node may not act as the holder now.
 * Call it after the connection is established, right before the first byte is
 * sent.
 */
uint64_t entry_duty_token(const struct entry *, msec);

/*
 * Called by the source when a conditional append ends: the offset of its first
 * record and the end offset of the log.
 */
void entry_duty_appended(
    struct entry *, enum duty_result, uint64_t at, uint64_t end, msec);
/*
 * Called by the source with the offset of the newest claim in the log, the end
 * offset of the log and the newest notes ("" if there are none); `ok` is false
 * if the log did not answer.
 */
void entry_duty_claim_found(struct entry *, bool ok, uint64_t claim,
    uint64_t end, const char *notes, msec);
/* The result of a call to the platform. */
enum duty_call_result {
	DUTY_CALL_DONE,
	DUTY_CALL_FENCED,    /* the platform has seen a greater token */
	DUTY_CALL_NONE_LEFT, /* no servers of the ordered kind are left */
	DUTY_CALL_FAILED     /* the call failed or its result is unknown */
};
void entry_duty_usage_reported(struct entry *, enum duty_call_result, msec);
void entry_duty_servers_ordered(
    struct entry *, const struct server_order *, enum duty_call_result, msec);

/*
 * The first era of the source's log was observed; the log was restored from an
 * older copy and has a new era.
 */
void entry_duty_set_era(struct entry *);
void entry_duty_log_rewound(struct entry *, msec);

void entry_duty_metrics(const struct entry *, GString *);
void entry_duty_dump(const struct entry *, GString *, msec);

#endif /* ENTRY_DUTY_H */
