/*
 * Internal interface between entry-attempt.c, entry-request.c and
 * entry-silence.c.
 */

#ifndef ENTRY_ATTEMPT_PRIVATE_H
#define ENTRY_ATTEMPT_PRIVATE_H

#include "entry.h"

/* The server that the request is for. */
void job_fill_wish(const struct job *, struct server_wish *);
/* Write the request as it is sent to a server. */
void
job_write_request(struct job *, msec, const struct server *, struct buffer *);
/* The connection of the attempt that was kept has broken; the link is freed. */
void job_kept_failed(struct job *, msec, const struct link *);
/* The server of the attempt that was kept has not executed it. */
void job_kept_refused(struct job *, msec, enum server_result);
/* The attempt was sent, or something of its answer came: wait for more. */
void job_arm_silence_timer(struct job *, msec);
/* The attempt's server fell silent, or its host did; it may go on later. */
void job_note_silent(struct job *, const struct server *);
/*
 * No other server takes the request: the silent one may be tried again, at
 * once or after a while. False if there is none.
 */
bool job_return_to_silent(struct job *);
bool job_wait_for_silent(struct job *, msec);
/* Has nothing been forwarded, or only events that another server resumes? */
bool job_can_go_on_elsewhere(const struct job *);
/*
 * Is another attempt possible after so many that may have run, apart from the
 * retry budget?
 */
bool job_could_retry(const struct job *, msec, unsigned int runs);
/* Take a retry from the budget; false, and logged, when none is left. */
bool job_take_budget(struct job *, msec, enum job_code why);
/* The current attempt may have run. */
void job_count_run(struct job *);
/* The current attempt has ended: start another one, or fail the request. */
void job_retry_or_fail(struct job *, msec, enum job_code);
/* The rest of a server's refusal does not come, or does not end. */
void job_leave_refusal(struct job *, msec);

#endif /* ENTRY_ATTEMPT_PRIVATE_H */
