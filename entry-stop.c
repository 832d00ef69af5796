/*
 * Planned stop of an entry VM: which requests it still accepts, and when the
 * process ends.
 */

#define LOG_PART "stop"
#include "entry.h"

/*
 * Callers cache this node's address for up to three seconds, and are served
 * until then if their requests can be finished. After that, once no request is
 * in flight and none has arrived for a while, idle connections are closed and
 * the process ends. Requests that are left shortly before the platform kills
 * the process are answered with an error.
 */
#define STOP_CALLERS_CACHE_MS 3000
#define STOP_MIN_MS (STOP_CALLERS_CACHE_MS + 500)
#define STOP_QUIET_MS 400
#define STOP_MARGIN_MS 500
#define STOP_DEFAULT_MS 8000
/* Minimum time for requests in flight after a paused VM resumes. */
#define STOP_AFTER_RESUME_MS 1000

void
entry_begin_stop(struct entry *e, msec now)
{
	if (e->phase == ENTRY_LEAVING)
		return;
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_STOPPING,
	    LOG_NUMBER(LOG_KEY_REQUESTS, e->njobs));
	e->phase = ENTRY_LEAVING;
	/*
	 * Count the time from before the wait for events: the signal may have
	 * been pending while the VM was paused, and the stop must not take
	 * longer than the platform allows.
	 */
	e->leaving_since = e->loop.previous_wait_start;
	e->stop_signal_read = now;
	e->source->ops->retract(e->source);
	entry_duty_leave(e, now);
	members_leave(&e->members, now);
	net_flush(&e->net);
}

/* When requests that are still in flight are ended. */
static msec
stop_cut_time(const struct entry *e)
{
	msec span = e->settings->stop_deadline;

	if (span == 0)
		span = STOP_DEFAULT_MS;
	return e->leaving_since + span - STOP_MARGIN_MS;
}

/*
 * Time to allow for a request that starts now, in ms; `most` is the time until
 * its deadline. While callers may still use this node's cached address, it is
 * an upper estimate of the durations of the route's requests, which a few
 * exceed; for streams, which cannot move to another node once they have begun,
 * hardly any. Later, and if the request may run only once, it is `most`: a
 * refusal costs its caller one more try, a cut leaves it without the outcome.
 */
static msec
stop_time_needed(
    const struct job *j, const struct entry_route_stats *k, msec now, msec most)
{
	if (k == NULL || j->route->kind == ROUTE_ONCE ||
	    now - j->owner->leaving_since >= STOP_CALLERS_CACHE_MS)
		return most;
	if (j->route->kind == ROUTE_STREAM)
		return duration_longest_estimate(&k->total_time, most);
	return duration_upper_estimate(&k->total_time, most);
}

/*
 * Rejects requests during a stop that might not finish before the process ends:
 * of those accepted seconds after the stop began, one in two hundred was cut
 * off. A caller that learns at once that nothing ran can use another node.
 */
bool
entry_stop_leaves_time(struct entry *e, struct job *j, msec now)
{
	msec left = stop_cut_time(e) - now, most = left + 1;
	struct entry_route_stats *k;

	if (e->phase != ENTRY_LEAVING)
		return true;
	if (j->deadline != MSEC_NEVER)
		most = j->deadline - now;
	k = entry_route_stats_find(e, j->route->name);
	j->time_needed = stop_time_needed(j, k, now, most);
	if (j->time_needed <= left)
		return true;
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_NO_TIME_LEFT,
	    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_ROUTE, j->route->name),
	    LOG_NUMBER(LOG_KEY_NEEDS_MS, j->time_needed),
	    LOG_NUMBER(LOG_KEY_STOP_MS, left),
	    LOG_NUMBER(LOG_KEY_SEEN, k != NULL ? k->total_time.samples : 0));
	return false;
}

void
entry_stop_tick(struct entry *e, msec now)
{
	if (e->phase != ENTRY_LEAVING)
		return;
	entry_duty_leave(e, now);
	/*
	 * After a pause of the VM it is unknown when the signal arrived. If it
	 * arrived at the end of the pause, the platform still allows the whole
	 * time, so requests in flight are not cut off at once.
	 */
	if (now >= stop_cut_time(e) &&
	    now - e->stop_signal_read >= STOP_AFTER_RESUME_MS) {
		job_stop_all(e, now);
		e->loop.stopping = true;
		return;
	}
	if (now - e->leaving_since < STOP_MIN_MS || e->njobs > 0 ||
	    now - e->last_request < STOP_QUIET_MS)
		return;
	caller_close_idle(e);
	if (e->ncallers == 0)
		e->loop.stopping = true;
}
