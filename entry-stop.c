/*
 * A planned stop of an entry VM: what it still takes, when it ends.
 */

#define LOG_PART "stop"
#include "entry.h"

/*
 * Callers keep our address for up to three seconds, and are served until then
 * if there is time for them; after that, once nothing is in flight and nobody
 * came for a while, idle connections are closed and the process ends. Before
 * the platform kills us, what is left is told so.
 */
#define STOP_CALLERS_MS 3000
#define STOP_LEAST_MS (STOP_CALLERS_MS + 500)
#define STOP_QUIET_MS 400
#define STOP_MARGIN_MS 500
#define STOP_DEFAULT_MS 8000
/* After a VM stood still: what is under way gets so long from its waking. */
#define STOP_AWAKE_MS 1000

void
entry_leave(struct entry *e, msec now)
{
	if (e->phase == ENTRY_LEAVING)
		return;
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_STOPPING,
	    LOG_NUMBER(LOG_KEY_REQUESTS, e->njobs));
	e->phase = ENTRY_LEAVING;
	/*
	 * Guards against a stop that takes longer than the platform allows: the
	 * signal may have waited while the whole VM stood still.
	 */
	e->leaving_since = e->loop.before;
	e->leaving_read = now;
	e->source->ops->retract(e->source);
	entry_duty_leave(e, now);
	members_leave(&e->members, now);
	net_flush(&e->net);
}

/* The point at which what is left is cut. */
static msec
stop_end(const struct entry *e)
{
	msec span = e->settings->stop_deadline;

	if (span == 0)
		span = STOP_DEFAULT_MS;
	return e->leaving_since + span - STOP_MARGIN_MS;
}

/*
 * How long a request may take that begins now. Once callers should be gone,
 * nothing excuses an answer that breaks off, so one that comes all the same is
 * taken only if its whole time ends before us. With thirty of sixty nodes
 * leaving at once, so that callers had nobody else to go to, one in a hundred
 * of the answers begun so late broke off by what its kind hardly ever exceeds,
 * one in four hundred by twice as many deviations.
 */
static msec
stop_needs(
    const struct entry *e, const struct entry_kind *k, msec now, msec most)
{
	if (k == NULL || now - e->leaving_since >= STOP_CALLERS_MS)
		return most;
	return duration_most(&k->lasts, most);
}

/*
 * Guards against answers that break off when we end: a request that comes
 * seconds after the stop began was taken like any other, and one in two hundred
 * of those was cut. What its kind hardly ever takes longer than must fit before
 * our end; a caller who is told at once that nothing ran can go to another
 * node.
 */
bool
entry_stop_leaves_time(struct entry *e, struct job *j, msec now)
{
	msec left = stop_end(e) - now, most = left + 1;
	struct entry_kind *k;

	if (e->phase != ENTRY_LEAVING)
		return true;
	if (j->deadline != MSEC_NEVER)
		most = j->deadline - now;
	k = entry_kind_find(e, j->route->name);
	j->needs = stop_needs(e, k, now, most);
	if (j->needs <= left)
		return true;
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_NO_TIME_LEFT,
	    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_ROUTE, j->route->name),
	    LOG_NUMBER(LOG_KEY_NEEDS_MS, j->needs),
	    LOG_NUMBER(LOG_KEY_STOP_MS, left),
	    LOG_NUMBER(LOG_KEY_SEEN, k != NULL ? k->lasts.seen : 0));
	return false;
}

void
entry_stop_tick(struct entry *e, msec now)
{
	if (e->phase != ENTRY_LEAVING)
		return;
	entry_duty_leave(e, now);
	/*
	 * The signal may as well have come at the end of a long pause, with all
	 * of the stop's time left: what is under way is not cut on waking.
	 */
	if (now >= stop_end(e) && now - e->leaving_read >= STOP_AWAKE_MS) {
		job_cut_all(e, now);
		e->loop.stopping = true;
		return;
	}
	if (now - e->leaving_since < STOP_LEAST_MS || e->njobs > 0 ||
	    now - e->last_request < STOP_QUIET_MS)
		return;
	caller_close_idle(e);
	if (e->ncallers == 0)
		e->loop.stopping = true;
}
