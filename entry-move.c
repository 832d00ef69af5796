/*
 * Moves of runs; see entry-move.h.
 *
 * A move belongs to its job until it has ended. It lives on without the job
 * until the source's answer has come and the copy that it names is freed.
 */

#define LOG_PART "move"
#include "entry.h"
#include "exchange.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

/* A call that frees a copy ends within this time. */
#define MOVE_DROP_TIMEOUT_MS 1000
/*
 * A server that leaves is sent requests for its stay divided by this: this node
 * may have learned late that it leaves, and connecting takes time.
 */
#define MOVE_SEND_DIVISOR 2
/* A copy between failure domains takes so many times the time within one. */
#define MOVE_DOMAIN_FACTOR 2

struct entry_move {
	TAILQ_ENTRY(entry_move) entry;
	struct entry *owner;
	struct job *job; /* NULL: the move has ended */
	struct run_move core;
	struct loop_timer timer; /* of the core; without a job: frees it */
	struct exchange call;	 /* to the source */
	struct place_request place;
	name_id source, destination;
	struct wire_run_memory memory;
	msec since;
	bool dropping; /* the copy is being freed, or needs not be */
	bool slow;     /* the source is slow and stays */
};

static void move_timer(struct loop_timer *, msec);
static void move_answered(struct exchange *, unsigned int, msec);
static void move_do(struct entry_move *, enum run_move_step, msec);

/* ---- beginning and end ---- */

static struct entry_move *
move_new(struct job *j, msec now)
{
	struct entry_move *m = g_new0(struct entry_move, 1);
	struct entry *e = j->owner;

	m->owner = e;
	m->job = j;
	j->move = m;
	j->move_counted = false;
	m->source = j->server->id;
	m->memory.address = j->server->address;
	m->memory.port = j->server->port;
	m->since = now;
	m->place.arg = j;
	loop_timer_init(&m->timer, move_timer, m);
	exchange_init(&m->call, &e->loop, j->server->address, j->server->port,
	    move_answered, m);
	TAILQ_INSERT_TAIL(&e->moves.list, m, entry);
	return m;
}

static void
move_free(struct entry_move *m)
{
	loop_timer_stop(&m->owner->loop, &m->timer);
	exchange_finish(&m->call);
	TAILQ_REMOVE(&m->owner->moves.list, m, entry);
	g_free(m);
}

/* Free the copy, then the move; not at once, the call may be on the stack. */
static void
move_drop(struct entry_move *m, msec now)
{
	struct buffer target = { 0 };

	if (m->call.busy)
		return;
	if (m->dropping || *m->memory.handle == '\0') {
		loop_timer_set(&m->owner->loop, &m->timer, now);
		return;
	}
	m->dropping = true;
	m->owner->wire->move_drop(&target, m->memory.handle);
	buffer_add(&target, "", 1);
	exchange_call(&m->call, "DELETE", buffer_bytes(&target), "", 0,
	    MOVE_DROP_TIMEOUT_MS);
	buffer_finish(&target);
}

/* The job goes on without the move. */
static void
move_detach(struct entry_move *m, msec now)
{
	struct job *j = m->job;

	m->job = NULL;
	j->move = NULL;
	m->owner->moves.moving_slow -= m->slow;
	loop_timer_stop(&m->owner->loop, &m->timer);
	place_end(&m->owner->place, now, &m->place, SERVER_NO_RESULT);
	move_drop(m, now);
}

static const char *
move_server_name(const struct entry_move *m, name_id id)
{
	const struct server *v = servers_find(&m->owner->servers, id);

	return v != NULL ? v->name : NULL;
}

static void
move_failed(struct entry_move *m, enum run_move_reason reason, msec now)
{
	struct entry *e = m->owner;

	e->moves.failed[reason]++;
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_RUN_MOVE_FAILED,
	    LOG_TEXT(LOG_KEY_REQUEST, m->job->request.id),
	    LOG_TEXT(LOG_KEY_SERVER, move_server_name(m, m->source)),
	    LOG_TEXT(LOG_KEY_REASON, run_move_reason_name(reason)),
	    LOG_NUMBER(LOG_KEY_LAST, m->job->order.last),
	    LOG_NUMBER(LOG_KEY_MS, now - m->since));
	move_detach(m, now);
}

/* The server that was sent the request answers it: the run goes on there. */
static void
move_succeeded(struct entry_move *m, msec now)
{
	struct entry *e = m->owner;
	bool moved = m->core.state == RUN_MOVE_RESUMING;

	if (moved)
		e->moves.moved++;
	else
		e->moves.returned++;
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_RUN_MOVED,
	    LOG_TEXT(LOG_KEY_REQUEST, m->job->request.id),
	    LOG_TEXT(LOG_KEY_SERVER, m->job->server_name),
	    LOG_NUMBER(LOG_KEY_LAST, m->job->order.last),
	    LOG_NUMBER(LOG_KEY_MS, now - m->since));
	m->dropping = true;
	move_detach(m, now);
}

/* ---- steps ---- */

/*
 * Take a send from the retry budget: the servers count each time that a request
 * reaches one.
 */
static bool
move_take_budget(struct entry_move *m, msec now)
{
	struct entry *e = m->owner;

	if (!retry_budget_take(entry_budget(e, m->job->service), &e->budget,
		now, e->live_nodes))
		return false;
	e->counters.retries++;
	return true;
}

static void
move_call(struct entry_move *m, bool last, msec now)
{
	struct server *to = servers_find(&m->owner->servers, m->destination);
	const struct wire_ops *wire = m->owner->wire;
	struct buffer body = { 0 };

	if (to == NULL) {
		move_do(m,
		    run_move_answered(
			&m->core, now, RUN_MOVE_NO_ANSWER, false, false),
		    now);
		return;
	}
	if (m->call.io.fd == -1)
		m->owner->counters.connects++;
	wire->move(&body, m->job->request.id, to, last);
	exchange_call_fields(&m->call, "POST", wire->move_target,
	    "Content-Type: application/json\r\n", buffer_bytes(&body),
	    buffer_length(&body), MAX(m->core.due - now, 1));
	buffer_finish(&body);
}

static void
move_resume(struct entry_move *m, name_id at, msec now)
{
	struct entry *e = m->owner;
	struct server *v = servers_find(&e->servers, at);
	struct job *j = m->job;

	if (at == m->destination) {
		place_end(&e->place, now, &j->place, SERVER_NO_RESULT);
		place_hand_over(&e->place, now, &m->place, &j->place);
	}
	/*
	 * The server that the run goes on at may have begun to leave. Until
	 * when a source that leaves is sent requests is decided in run-move.c.
	 */
	if (v != NULL && (at == m->destination || m->slow) &&
	    !server_takes_work(v, now))
		v = NULL;
	job_resume_run(j, now, v);
}

static void
move_do(struct entry_move *m, enum run_move_step step, msec now)
{
	struct job *j = m->job;

	loop_timer_stop(&m->owner->loop, &m->timer);
	switch (step) {
	case RUN_MOVE_WAIT:
		if (!m->call.busy)
			loop_timer_set(&m->owner->loop, &m->timer, m->core.due);
		break;
	case RUN_MOVE_COPY:
		move_call(m, false, now);
		break;
	case RUN_MOVE_STOP:
		j->move_tried = m->source;
		move_call(m, true, now);
		break;
	case RUN_MOVE_RESUME:
		move_resume(m, m->destination, now);
		break;
	case RUN_MOVE_RETURN:
		move_resume(m, m->source, now);
		break;
	case RUN_MOVE_GIVE_UP:
		move_failed(m, m->core.reason, now);
		break;
	case RUN_MOVE_LOST:
		move_failed(m, m->core.reason, now);
		job_run_lost(j, now);
		break;
	}
}

/* ---- answers of the source ---- */

static enum run_move_answer
move_decode(struct entry_move *m, unsigned int status)
{
	struct wire_run_answer a = { 0 };

	if (status == 200 || status == 503)
		m->owner->wire->move_answer(buffer_bytes(&m->call.body),
		    buffer_length(&m->call.body), &a);
	if (*a.handle != '\0')
		g_strlcpy(m->memory.handle, a.handle, sizeof m->memory.handle);
	switch (status) {
	case 200:
		return RUN_MOVE_COPIED;
	case 404:
		return RUN_MOVE_NO_RUN;
	case 409:
		return RUN_MOVE_BUSY;
	case 503:
		/* Without a handle the run was not stopped, or not for it. */
		if (m->core.state == RUN_MOVE_STOPPING && *a.handle == '\0')
			return RUN_MOVE_NO_ANSWER;
		return RUN_MOVE_NO_ROOM;
	default:
		return RUN_MOVE_NO_ANSWER;
	}
}

static void
move_answered(struct exchange *x, unsigned int status, msec now)
{
	struct entry_move *m = x->arg;
	enum run_move_answer a = move_decode(m, status);
	bool handle = *m->memory.handle != '\0', budget = false;

	if (m->job == NULL) {
		move_drop(m, now);
		return;
	}
	if (m->core.state == RUN_MOVE_COPYING && a == RUN_MOVE_COPIED && handle)
		budget = !entry_poison_refuses(m->job, now) &&
			 move_take_budget(m, now);
	move_do(m, run_move_answered(&m->core, now, a, handle, budget), now);
}

/* ---- whether to move a run ---- */

static const struct prompt_transfer *
move_transfer(const struct job *j)
{
	const struct route_service *v =
	    route_service_find(j->table, j->service);

	if (v == NULL || !prompt_transfer_possible(&v->transfer))
		return NULL;
	return &v->transfer;
}

/* Expected time to copy the run's memory, in ms. */
static msec
move_copy_ms(const struct job *j, const struct prompt_transfer *t)
{
	const struct route_service *v =
	    route_service_find(j->table, j->service);
	uint64_t tokens =
	    j->request.prompt_tokens + j->order.count * v->tokens_per_event;

	if (t->memory_tokens > 0)
		tokens = MIN(tokens, t->memory_tokens);
	tokens = MIN(tokens, G_MAXINT);
	return (msec)ceil(
	    MOVE_DOMAIN_FACTOR * prompt_transfer_ms(t, (unsigned int)tokens));
}

/* Expected time until the stream ends; MSEC_NEVER: not known. */
static msec
move_rest_ms(const struct job *j, msec now)
{
	const struct entry_route_stats *k =
	    entry_route_stats_find(j->owner, j->route->name);
	msec took = now - j->first_at, mean;

	if (k == NULL)
		return MSEC_NEVER;
	mean = duration_mean(&k->stream_time, MSEC_NEVER);
	return mean != MSEC_NEVER && mean > took ? mean - took : MSEC_NEVER;
}

/* May another server continue the stream as the same run? */
static bool
move_is_possible(const struct job *j)
{
	const struct entry *e = j->owner;

	if (j->move != NULL || j->link == NULL || j->carrier != NULL ||
	    j->carried)
		return false;
	if (j->server == NULL || !j->streamed || j->order.count == 0 ||
	    *j->request.id == '\0')
		return false;
	/* A server that was to resume the stream may not have answered yet. */
	if (j->attempt_began == 0 || j->link->reader.head == NULL ||
	    j->link->reader.head->until_close)
		return false;
	if (j->move_tried == j->server->id ||
	    j->link->starts != j->server->starts)
		return false;
	if (j->runs + 1 >= job_attempts_most(j) ||
	    j->ntried >= SERVER_AVOID_MAX)
		return false;
	if (reach_is_cut(&e->reach.core) || move_transfer(j) == NULL)
		return false;
	return j->server->software_id != 0 || entry_version_is_single(j);
}

/* A server that leaves is sent no requests after this; 0: not known. */
static msec
move_sends_until(const struct job *j)
{
	msec stay = j->owner->settings->server_stay;

	if (stay == 0)
		return 0;
	return j->server->leaving_since + stay / MOVE_SEND_DIVISOR;
}

/*
 * A VM that is taken back may end sooner than others. Where its entry, or the
 * node that passed it on, does not say when, the last moment for a move is now.
 */
static msec
move_leaves_at(const struct job *j, msec copy, msec now)
{
	const struct server *v = j->server;

	if (v->reclaimable && v->leaves_at == 0)
		return now + run_move_window(copy);
	return server_leaves_at(v, j->owner->settings->server_stay);
}

static struct run_move_view
move_view(const struct job *j, msec now)
{
	msec copy = move_copy_ms(j, move_transfer(j));

	return (struct run_move_view){
		.leaving = true,
		.leaves_at = move_leaves_at(j, copy, now),
		.sends_until = move_sends_until(j),
		.rest = move_rest_ms(j, now),
		.copy = copy,
		.deadline = j->deadline,
	};
}

/* Servers that are hardly faster than the source are no destinations. */
static void
move_avoid_slow(const struct job *j, struct server_wish *w)
{
	msec since;
	double pace = run_pace_kept(&j->pace, &since) / RUN_MOVE_SLOW_TIMES;

	w->navoid += run_paces_slow(&j->owner->moves.paces, j->service, pace,
	    since, w->avoid + w->navoid, SERVER_AVOID_MAX - w->navoid);
}

static void
move_begin(struct job *j, const struct run_move_view *view, msec now)
{
	struct entry *e = j->owner;
	struct entry_move *m = move_new(j, now);

	m->slow = !view->leaving;
	if (m->slow) {
		j->move_slow_tried = true;
		e->moves.moving_slow++;
		e->moves.begun_slow++;
	} else {
		e->moves.begun_leaving++;
		j->move_tried = j->server->id;
	}
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_RUN_MOVE_BEGUN,
	    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_SERVER, j->server->name),
	    LOG_TEXT(LOG_KEY_REASON, m->slow ? "slow" : "leaves"),
	    LOG_NUMBER(LOG_KEY_LAST, j->order.last),
	    LOG_NUMBER(LOG_KEY_LEFT_MS,
		j->deadline != MSEC_NEVER ? j->deadline - now : -1));
	run_move_begin(&m->core, now, view);
	loop_timer_set(&e->loop, &m->timer, m->core.due);
	job_fill_move_wish(j, &m->place.wish);
	if (m->slow)
		move_avoid_slow(j, &m->place.wish);
	place_submit(&e->place, now, &m->place);
}

static void
move_consider_leaving(struct job *j, msec now)
{
	struct entry *e = j->owner;
	struct run_move_view view = move_view(j, now);
	msec again;

	switch (run_move_choose(&view, now, &again)) {
	case RUN_MOVE_STAY:
		break;
	case RUN_MOVE_LATER:
		if (!e->moves.timer.set || again < e->moves.timer.due)
			loop_timer_set(&e->loop, &e->moves.timer, again);
		break;
	case RUN_MOVE_NOW:
		move_begin(j, &view, now);
		break;
	}
}

/* Of tokens, rounded up; 0: not known. */
static uint64_t
move_events(const struct job *j, unsigned int tokens)
{
	const struct route_service *v =
	    route_service_find(j->table, j->service);

	if (v == NULL || v->tokens_per_event == 0)
		return 0;
	return ((uint64_t)tokens + v->tokens_per_event - 1) /
	       v->tokens_per_event;
}

/* Returns true if a measurement of the stream's pace is complete. */
static bool
move_record_pace(struct job *j, msec now)
{
	/* All streams are measured, as others are compared with them. */
	if (!j->table->moves_when_slow || j->link == NULL || !j->streamed ||
	    j->order.count == 0)
		return false;
	/* The events of a caller that reads slowly wait for it. */
	if (j->link->paused != 0) {
		run_pace_restart(&j->pace);
		return false;
	}
	if (!run_pace_record(&j->pace, j->server->id, now, j->order.count))
		return false;
	run_paces_add(&j->owner->moves.paces, j->service, j->server->id, now,
	    j->pace.newest);
	return true;
}

static void
move_consider_slow(struct job *j, msec now)
{
	struct entry *e = j->owner;
	const struct entry_route_stats *k =
	    entry_route_stats_find(e, j->route->name);
	struct run_move_view view;
	msec since;
	struct run_move_pace pace = {
		.pace = run_pace_kept(&j->pace, &since),
		.made = event_order_made(&j->order),
		.expected = move_events(j, j->request.expected_tokens),
		.most = move_events(j, j->request.max_tokens),
		.mean = k != NULL ? duration_mean(&k->stream_time, MSEC_NEVER)
				  : MSEC_NEVER,
		.copy = move_copy_ms(j, move_transfer(j)),
		.deadline = j->deadline,
		.running = e->njobs,
		.moving = e->moves.moving_slow,
	};

	pace.usual =
	    run_paces_usual(&e->moves.paces, j->service, j->server->id, since);
	if (!run_move_choose_slow(&pace, now))
		return;
	view = run_move_slow_view(&pace, now);
	move_begin(j, &view, now);
}

void
entry_move_consider(struct job *j, msec now)
{
	bool measured;

	if (j->server == NULL || j->carrier != NULL)
		return;
	measured = move_record_pace(j, now);
	if (j->server->leaving_since != 0) {
		if (move_is_possible(j))
			move_consider_leaving(j, now);
	} else if (measured && j->route->moves_when_slow &&
		   !j->move_slow_tried && move_is_possible(j)) {
		move_consider_slow(j, now);
	}
}

static void
moves_consider_all(struct entry *e, const struct server *only, msec now)
{
	struct job *j, *next;

	TAILQ_FOREACH_SAFE (j, &e->jobs, entry, next) {
		if (j->server != NULL && (only == NULL || j->server == only))
			entry_move_consider(j, now);
	}
}

void
entry_move_server_changed(struct entry *e, struct server *v, msec now)
{
	if (v->leaving_since != 0)
		moves_consider_all(e, v, now);
}

static void
moves_timer(struct loop_timer *t, msec now)
{
	moves_consider_all(t->arg, NULL, now);
}

/* ---- events of the job ---- */

static void
move_timer(struct loop_timer *t, msec now)
{
	struct entry_move *m = t->arg;

	if (m->job == NULL)
		move_free(m);
	else
		move_do(m, run_move_tick(&m->core, now), now);
}

bool
entry_move_placed(struct place_request *r, struct server *v, msec now)
{
	struct job *j = r->arg;
	struct entry_move *m = j->move;

	if (r == &j->place)
		return false;
	m->destination = v != NULL ? v->id : 0;
	move_do(m,
	    run_move_placed(&m->core, now, v != NULL && v->id != m->source),
	    now);
	return true;
}

void
entry_move_heard(struct job *j, msec now)
{
	struct entry_move *m = j->move;

	if (m == NULL)
		return;
	if (run_move_is_resuming(&m->core))
		move_succeeded(m, now);
	else
		move_do(m, run_move_heard(&m->core), now);
}

bool
entry_move_broke(struct job *j, msec now)
{
	struct entry_move *m = j->move;
	enum run_move_step step;

	if (m == NULL)
		return false;
	step = run_move_broke(&m->core);
	if (step == RUN_MOVE_LOST) {
		move_failed(m, m->core.reason, now);
		return false;
	}
	move_do(m, step, now);
	return true;
}

bool
entry_move_refused(struct job *j, msec now)
{
	struct entry_move *m = j->move;
	enum run_move_step step;

	if (m == NULL || !run_move_is_resuming(&m->core))
		return false;
	step = run_move_refused(&m->core, now,
	    m->core.state == RUN_MOVE_RESUMING && move_take_budget(m, now));
	if (step == RUN_MOVE_LOST) {
		move_failed(m, m->core.reason, now);
		return false;
	}
	move_do(m, step, now);
	return true;
}

void
entry_move_cancel(struct job *j, msec now)
{
	if (j->move != NULL)
		move_failed(j->move, RUN_MOVE_REASON_ENDED, now);
}

bool
entry_move_is_stopping(const struct job *j)
{
	return j->move != NULL && run_move_is_stopping(&j->move->core);
}

const struct wire_run_memory *
entry_move_memory(const struct job *j)
{
	if (j->move == NULL || !run_move_is_resuming(&j->move->core))
		return NULL;
	return &j->move->memory;
}

/* ---- the node ---- */

void
entry_moves_init(struct entry *e)
{
	e->moves = (struct entry_moves){ 0 };
	TAILQ_INIT(&e->moves.list);
	loop_timer_init(&e->moves.timer, moves_timer, e);
}

void
entry_moves_finish(struct entry *e)
{
	struct entry_move *m, *next;

	loop_timer_stop(&e->loop, &e->moves.timer);
	TAILQ_FOREACH_SAFE (m, &e->moves.list, entry, next)
		move_free(m);
}

void
entry_moves_metrics(const struct entry *e, GString *s)
{
	const struct entry_moves *x = &e->moves;
	unsigned int i;

	g_string_append_printf(s,
	    "# HELP savory_entry_run_moves_total Moves of runs off servers, "
	    "begun, by why.\n"
	    "# TYPE savory_entry_run_moves_total counter\n"
	    "savory_entry_run_moves_total{reason=\"leaves\"} %" PRIu64 "\n"
	    "savory_entry_run_moves_total{reason=\"slow\"} %" PRIu64 "\n"
	    "# HELP savory_entry_runs_moved_total Runs that went on after a "
	    "move, by where.\n"
	    "# TYPE savory_entry_runs_moved_total counter\n"
	    "savory_entry_runs_moved_total{where=\"destination\"} %" PRIu64 "\n"
	    "savory_entry_runs_moved_total{where=\"source\"} %" PRIu64 "\n"
	    "# HELP savory_entry_run_moves_failed_total Moves that ended "
	    "otherwise, by reason.\n"
	    "# TYPE savory_entry_run_moves_failed_total counter\n",
	    x->begun_leaving, x->begun_slow, x->moved, x->returned);
	for (i = RUN_MOVE_REASON_NONE + 1; i < RUN_MOVE_REASONS; i++)
		g_string_append_printf(s,
		    "savory_entry_run_moves_failed_total{reason=\"%s\"} "
		    "%" PRIu64 "\n",
		    run_move_reason_name(i), x->failed[i]);
}
