/*
 * Graceful stop on SIGTERM, the tool's drain command, the VM list or a peer's
 * request: the node takes no new work after a grace period, finishes the
 * answers in flight, then ends.
 */

#define LOG_PART "stop"
#include "daemon.h"

#include <inttypes.h>

/* Time for kept connections without a request to close after the grace period.
 */
#define STOP_IDLE_CONNECTION_MS 1000
/* From the end of accepting connections, or the cut, to the end. */
#define STOP_FLUSH_MS 100
/* The node ends after this time without a call; the wait is at most the second.
 */
#define STOP_QUIET_MS 500
#define STOP_QUIET_MAX_MS 5000
/* Between two ticks that are further apart the process stood still. */
#define STOP_PAUSED_MS 1000
/* What came meanwhile is answered first, even after the stop deadline. */
#define STOP_AFTER_RESUME_MS 1000

void
daemon_leave(struct daemon *d, msec now)
{
	if (d->state == DAEMON_LEAVING)
		return;
	log_info("leaving, %u requests in flight", d->ncalls);
	g_atomic_int_set((gint *)&d->state, DAEMON_LEAVING);
	d->leaving_since = now;
	members_leave(&d->members, now);
	dispatch_leave(&d->dispatch, now);
	daemon_placement_leave(d, now);
	daemon_nodes_update(d, now);
}

bool
daemon_stop_is_past_grace(const struct daemon *d, msec now)
{
	return d->state == DAEMON_LEAVING &&
	       now - d->leaving_since >= d->settings.leave_grace;
}

static struct metrics_class *
stop_class(struct daemon *d, const struct call *c)
{
	const struct document *doc = &c->doc->doc;

	return metrics_class_get(
	    d->metrics, doc->service, doc->classes[c->class_index].name);
}

/*
 * Only requests that this node ran to their end are recorded: a joined answer
 * took no time here, and a request whose caller left early would have taken
 * longer.
 */
void
daemon_stop_record_duration(struct daemon *d, const struct call *c, msec now)
{
	if (c->request.outcome != REQUEST_RAN || c->request.attempts == 0 ||
	    c->forward_to != 0)
		return;
	duration_add(&stop_class(d, c)->lasts, now - c->arrived);
	if (c->request.attempts == 1)
		duration_add(&stop_class(d, c)->runs, now - c->dispatched);
}

/*
 * Callers use this node's address for a while after it starts to leave, and a
 * request admitted in the last seconds would be cut at the stop deadline. The
 * time that requests of the class rarely exceed must fit before the deadline;
 * else the caller is refused at once and can use another node. Without a stop
 * deadline every answer is finished.
 */
bool
daemon_stop_has_time_for(
    struct daemon *d, const struct call *c, enum stop_remaining ahead, msec now)
{
	struct metrics_class *mc;
	msec left, most;

	if (d->state != DAEMON_LEAVING || d->settings.stop_deadline == 0)
		return true;
	left = d->leaving_since + d->settings.stop_deadline - now;
	if (left <= 0)
		return false;
	/* No recorded duration and no deadline of the caller: no time. */
	most = left + 1;
	if (c->slot.deadline != MSEC_NEVER)
		most = c->slot.deadline - now;
	/* A refusal costs one more try, a cut the knowledge of the outcome. */
	if (!c->repeatable)
		return most <= left;
	mc = stop_class(d, c);
	return duration_upper_estimate(
		   ahead == STOP_REMAINING_RUN ? &mc->runs : &mc->lasts,
		   most) <= left;
}

/*
 * A caller that connects while the listener is shut down gets a reset: neither
 * a refusal nor an answer, so it cannot tell that nothing ran. The listener
 * therefore stays open until no calls arrive. Callers keep this node's address
 * for a while; each is answered "not run" with the addresses of other nodes.
 */
static bool
stop_is_quiet(struct daemon *d, msec since)
{
	if (since >= d->settings.leave_grace + STOP_QUIET_MAX_MS)
		return true;
	/* Once accepting has stopped, the socket is always ready. */
	if (d->quiesced_at == 0 && daemon_http_has_waiting(d))
		return false;
	return msec_now() - d->last_call >= STOP_QUIET_MS;
}

/*
 * An answer whose outcome is known may still have unsent bytes for a slow
 * caller: `unsent` falls only when libmicrohttpd has sent the whole answer.
 * Kept connections without a request get STOP_IDLE_CONNECTION_MS to send one;
 * its answer closes the connection.
 */
static bool
stop_is_done(struct daemon *d, msec since)
{
	if (d->ncalls != 0 || g_atomic_int_get(&d->unsent) != 0)
		return false;
	if (!stop_is_quiet(d, since))
		return false;
	if (since >= d->settings.leave_grace + STOP_IDLE_CONNECTION_MS)
		return true;
	return daemon_http_connections(d) == 0;
}

/* Stops accepting, then ends; the last connections still get their answers. */
static void
stop_end(struct daemon *d, msec now)
{
	if (d->quiesced_at == 0) {
		daemon_http_quiesce(d);
		d->quiesced_at = now;
	} else if (now - d->quiesced_at >= STOP_FLUSH_MS) {
		log_info("nothing in flight, ending; %" PRIu64
			 " requests were refused for lack of time",
		    d->stop_no_time);
		d->stopping = true;
	}
}

/*
 * The stop deadline has passed: ends every answer as broken, which also resumes
 * its connection. libmicrohttpd aborts the process if it is stopped while a
 * connection is suspended, as that of a caller waiting for an engine is.
 */
static void
stop_cut(struct daemon *d, msec now)
{
	struct call *c;

	log_warn("stop deadline reached, %u requests are cut, %" PRIu64
		 " were refused for lack of time",
	    d->ncalls, d->stop_no_time);
	while ((c = TAILQ_FIRST(&d->calls)) != NULL) {
		d->stop_cut++;
		log_info_of(LOG_REQUEST, c->id,
		    "%s is cut: %" PRId64 " ms old, %u tokens", c->id,
		    now - c->arrived, c->request.tokens);
		request_cut(&c->request, now);
	}
	daemon_http_quiesce(d);
	d->cut_at = now;
}

/*
 * The process ends STOP_FLUSH_MS after the cut: if it ended at once, the last
 * event of a stream or a whole answer would be lost, and the caller could not
 * tell the stop from a crashed VM.
 */
static void
stop_deadline_tick(struct daemon *d, msec now)
{
	if (d->cut_at == 0)
		stop_cut(d, now);
	else if (now - d->cut_at >= STOP_FLUSH_MS)
		d->stopping = true;
}

/*
 * Callers have connected while the process stood still, and their requests wait
 * in the kernel.
 */
static bool
stop_has_just_resumed(struct daemon *d, msec now)
{
	if (d->stop_ticked_at != 0 && now - d->stop_ticked_at >= STOP_PAUSED_MS)
		d->resumed_at = now;
	d->stop_ticked_at = now;
	return d->resumed_at != 0 && now - d->resumed_at < STOP_AFTER_RESUME_MS;
}

void
daemon_stop_tick(struct daemon *d, msec now)
{
	msec since = now - d->leaving_since;

	if (d->state != DAEMON_LEAVING || d->stopping)
		return;
	daemon_call_refuse_late(d, now);
	if (stop_has_just_resumed(d, now))
		return;
	if (d->cut_at == 0 && since >= d->settings.leave_grace &&
	    stop_is_done(d, since))
		stop_end(d, now);
	else if (d->settings.stop_deadline != 0 &&
		 since >= d->settings.stop_deadline)
		stop_deadline_tick(d, now);
}

/* Null: too few recorded durations. */
static json_t *
stop_duration(const struct duration *t)
{
	msec most = duration_upper_estimate(t, MSEC_NEVER);

	return most == MSEC_NEVER ? json_null() : json_integer(most);
}

static json_t *
stop_classes(const struct daemon *d)
{
	json_t *list = json_array();
	struct metrics_class *c;

	RB_FOREACH (c, metrics_tree, &d->metrics->classes)
		json_array_append_new(
		    list, json_pack("{s:s, s:s, s:I, s:o, s:o}", "service",
			      c->service, "class", c->name, "seen",
			      (json_int_t)c->lasts.samples, "lasts_ms",
			      stop_duration(&c->lasts), "runs_ms",
			      stop_duration(&c->runs)));
	return list;
}

json_t *
daemon_stop_dump(struct daemon *d, msec now)
{
	json_t *o = json_pack("{s:b, s:I, s:I, s:o}", "leaving",
	    d->state == DAEMON_LEAVING, "no_time", (json_int_t)d->stop_no_time,
	    "cut", (json_int_t)d->stop_cut, "classes", stop_classes(d));

	if (d->state != DAEMON_LEAVING)
		return o;
	json_object_set_new(
	    o, "since_ms", json_integer(now - d->leaving_since));
	if (d->settings.stop_deadline != 0)
		json_object_set_new(o, "left_ms",
		    json_integer(
			d->leaving_since + d->settings.stop_deadline - now));
	return o;
}
