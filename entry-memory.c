/*
 * Holds the sum of what requests hold below a limit; see entry-memory.h.
 */

#define LOG_PART "memory"
#include "entry.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Answers that hold less are read on and kept. */
#define MEMORY_SMALL (16 * 1024)
/* Holders of less are not ended. */
#define MEMORY_END_MIN 1024
/* Bytes that a node reads at once while memory is short. */
#define MEMORY_READ 16384
/* An answer that others wait for is read for so long at a time. */
#define MEMORY_TURN_MS 2000
/* A caller that has taken nothing for so long does not read. */
#define MEMORY_REST_MS 500
/* While memory is short all holders are looked at so often, or so many bytes
 * later. */
#define MEMORY_CHECK_MS 50
#define MEMORY_CHECK_BYTES (1024 * 1024)

/* ---- what is held ---- */

/* Buffers, and the records of connections and requests themselves. */
static size_t
memory_held(const struct entry *e)
{
	return buffers_allocated() +
	       e->ncallers *
		   (sizeof(struct caller) + sizeof(struct http_head)) +
	       e->njobs * sizeof(struct job);
}

/* Of an answer that is being read, and kept until it or an event is whole. */
static size_t
memory_kept(const struct job *j)
{
	return j != NULL && !j->failure_stored ? buffer_length(&j->unsent_body)
					       : 0;
}

static size_t
memory_all(const struct caller *c)
{
	const struct link *k = c->job != NULL ? c->job->link : NULL;
	size_t n = caller_held(c);

	if (c->job != NULL)
		n += c->job->unsent_body.size;
	return k != NULL ? n + k->out.size + k->held.size : n;
}

/*
 * What its end would free: a request that is being read, an answer that its
 * caller does not take, or one that is kept, unless it can wait. Requests that
 * wait for their answers are not ended for others.
 */
static size_t
memory_endable(const struct caller *c, msec now, bool can_wait)
{
	bool rests = now - c->progress >= MEMORY_REST_MS;
	const struct job *j = c->job;

	if (c->out.size > MEMORY_SMALL && rests)
		return memory_all(c);
	/* What is unsent of the answer before it stays. */
	if (caller_is_reading(c))
		return caller_held(c) - c->out.size;
	return memory_kept(j) > MEMORY_SMALL && !can_wait ? memory_all(c) : 0;
}

/* ---- ending holders ---- */

static void
memory_end_job(struct entry *e, struct job *j, msec now)
{
	e->memory.ended++;
	if (job_is_sent(j))
		j->may_have_run = true;
	job_fail(j, now, JOB_NO_MEMORY);
}

static void
memory_end(struct caller *c, msec now)
{
	if (c->job != NULL) {
		memory_end_job(c->owner, c->job, now);
		return;
	}
	c->owner->memory.ended++;
	/* Else the answer before it is not taken. */
	if (caller_is_reading(c) && c->out.size <= MEMORY_SMALL)
		entry_memory_refuse(c, now);
	else
		caller_abort(c, now);
}

/* Holders of so much in all, in the order in which they are to be ended. */
static GArray *
memory_list_to_end(struct entry *e, msec now, bool any)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct memory_holder));
	bool can_wait = e->memory.budget.level < MEMORY_FULL;
	struct memory_holder h;
	struct caller *c;

	TAILQ_FOREACH (c, &e->callers, entry) {
		h = (struct memory_holder){
			any ? memory_all(c) : memory_endable(c, now, can_wait),
			c->progress, c
		};
		if (h.bytes >= MEMORY_END_MIN)
			g_array_append_val(list, h);
	}
	g_array_sort(list, memory_holder_compare_end);
	return list;
}

static size_t
memory_sum(const GArray *holders)
{
	size_t sum = 0;
	guint i;

	for (i = 0; i < holders->len; i++)
		sum += g_array_index(holders, struct memory_holder, i).bytes;
	return sum;
}

/*
 * Mark as many as free what it takes to leave a level; at the last one, any.
 * The end of one request may end others, and free their callers. So those that
 * are to be ended are moved to the head of the list, and taken from there.
 */
static void
memory_mark_to_end(struct entry *e, msec now, enum memory_level level)
{
	g_autoptr(GArray) list =
	    memory_list_to_end(e, now, level == MEMORY_EXCEEDED);
	size_t excess = memory_budget_excess(&e->memory.budget, level);
	bool enough = memory_sum(list) >= excess;
	size_t sum = 0;
	struct memory_holder *h;
	guint i;

	for (i = 0; i < list->len && sum < excess; i++) {
		h = &g_array_index(list, struct memory_holder, i);
		/* Small ones that move are not ended in vain. */
		if (!enough && h->bytes < MEMORY_SMALL &&
		    now - h->progress < MEMORY_REST_MS)
			continue;
		caller_mark_to_end(h->arg);
		sum += h->bytes;
	}
}

static void
memory_end_holders(struct entry *e, msec now, enum memory_level level)
{
	struct caller *c;

	memory_mark_to_end(e, now, level);
	while ((c = caller_take_to_end(e)) != NULL)
		memory_end(c, now);
	memory_budget_set(&e->memory.budget, memory_held(e));
}

/* ---- reading answers a few at a time ---- */

/*
 * Its place in the order of reading: first what has its turn, then by the end
 * of the last turn. What holds little has no turn.
 */
static msec
memory_turn(struct job *j, msec now)
{
	if (j->read_on_since == 0)
		return j->turn_ended;
	if (now - j->read_on_since < MEMORY_TURN_MS)
		return -1;
	j->read_on_since = 0;
	return j->turn_ended = now;
}

static void
memory_set_reading(struct job *j, msec now, bool on)
{
	if (!on)
		j->read_on_since = 0;
	else if (j->read_on_since == 0)
		j->read_on_since = now;
	link_pause(j->link, LINK_PAUSE_MEMORY, !on);
}

static GArray *
memory_list_kept(struct entry *e, msec now)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct memory_holder));
	struct memory_holder h;
	struct job *j;

	TAILQ_FOREACH (j, &e->jobs, entry) {
		if (j->link == NULL)
			continue;
		if (memory_kept(j) <= MEMORY_SMALL) {
			j->read_on_since = 0;
			link_pause(j->link, LINK_PAUSE_MEMORY, false);
			continue;
		}
		h = (struct memory_holder){ memory_kept(j), memory_turn(j, now),
			j };
		g_array_append_val(list, h);
	}
	g_array_sort(list, memory_holder_compare);
	return list;
}

/* A caller is taking a long answer, which frees its memory. */
static bool
memory_drains(const struct entry *e, msec now)
{
	const struct caller *c;

	TAILQ_FOREACH (c, &e->callers, entry) {
		if (c->out.size > MEMORY_SMALL &&
		    now - c->progress < MEMORY_REST_MS)
			return true;
	}
	return false;
}

/*
 * How many answers are read on. With room for none, one is, unless there will
 * be room in a moment.
 */
static unsigned int
memory_count_read_on(struct entry *e, msec now)
{
	struct entry_memory *m = &e->memory;
	/* A buffer is larger than what it holds by a quarter. */
	unsigned int n = memory_budget_read_on(
	    &m->budget, REPLY_WHOLE_MAX + REPLY_WHOLE_MAX / 4);

	if (n > 0) {
		m->none_read_since = 0;
		return n;
	}
	if (m->none_read_since == 0)
		m->none_read_since = now;
	return now - m->none_read_since >= MEMORY_TURN_MS ||
	       !memory_drains(e, now);
}

/*
 * The largest go on: they are the nearest to their end, or to their limit. One
 * that does not end in its turn waits for its next one.
 */
static void
memory_share_reading(struct entry *e, msec now)
{
	struct entry_memory *m = &e->memory;
	g_autoptr(GArray) list = memory_list_kept(e, now);
	unsigned int go_on = memory_count_read_on(e, now);
	guint i;

	m->waiting = list->len > go_on ? list->len - go_on : 0;
	for (i = 0; i < list->len; i++)
		memory_set_reading(
		    g_array_index(list, struct memory_holder, i).arg, now,
		    i < go_on);
}

static void
memory_read_all_on(struct entry *e)
{
	struct job *j;

	e->memory.waiting = 0;
	TAILQ_FOREACH (j, &e->jobs, entry) {
		j->read_on_since = 0;
		if (j->link != NULL)
			link_pause(j->link, LINK_PAUSE_MEMORY, false);
	}
}

/* ---- interface ---- */

static void
memory_log_level(struct entry *e, msec now, enum memory_level level)
{
	static const char *const names[] = {
		[MEMORY_NORMAL] = "normal",
		[MEMORY_HIGH] = "high",
		[MEMORY_CRITICAL] = "critical",
		[MEMORY_FULL] = "full",
		[MEMORY_EXCEEDED] = "exceeded",
	};

	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_MEMORY,
	    LOG_TEXT(LOG_KEY_STATE, names[level]),
	    LOG_NUMBER(LOG_KEY_BYTES, e->memory.budget.held),
	    LOG_NUMBER(LOG_KEY_REQUESTS, e->njobs));
}

/* Little has changed since all holders were looked at last. */
static bool
memory_is_checked(const struct entry_memory *m, msec now)
{
	return m->budget.level < MEMORY_CRITICAL &&
	       now - m->checked_at < MEMORY_CHECK_MS &&
	       m->budget.held < m->checked_held + MEMORY_CHECK_BYTES;
}

void
entry_memory_check(struct entry *e, msec now)
{
	struct entry_memory *m = &e->memory;
	enum memory_level before = m->budget.level;
	bool shared = before != MEMORY_NORMAL;

	memory_budget_set(&m->budget, memory_held(e));
	if (m->budget.level != MEMORY_NORMAL &&
	    (m->budget.level != before || !memory_is_checked(m, now))) {
		m->checked_at = now;
		m->checked_held = m->budget.held;
		memory_share_reading(e, now);
		shared = true;
		if (m->budget.level >= MEMORY_CRITICAL)
			memory_end_holders(e, now, MEMORY_CRITICAL);
		if (m->budget.level == MEMORY_EXCEEDED)
			memory_end_holders(e, now, MEMORY_EXCEEDED);
	}
	if (m->budget.level != before)
		memory_log_level(e, now, m->budget.level);
	/* Also if it fell as holders were ended. */
	if (m->budget.level == MEMORY_NORMAL && shared)
		memory_read_all_on(e);
}

bool
entry_memory_is_short(const struct entry *e)
{
	return e->memory.budget.level != MEMORY_NORMAL;
}

bool
entry_memory_is_full(const struct entry *e)
{
	return e->memory.budget.level >= MEMORY_FULL;
}

size_t
entry_memory_read_size(const struct entry *e, size_t most)
{
	return entry_memory_is_short(e) ? MIN(most, (size_t)MEMORY_READ) : most;
}

size_t
entry_memory_high_water(const struct entry *e)
{
	return entry_memory_is_short(e) ? CALLER_LOW_WATER : CALLER_HIGH_WATER;
}

void
entry_memory_refuse(struct caller *c, msec now)
{
	struct entry *e = c->owner;
	struct wire_request r = { 0 };
	struct buffer fields = { 0 };
	const char *reason = NULL;

	e->memory.refused++;
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_REFUSED,
	    LOG_NUMBER(LOG_KEY_STATUS, 503),
	    LOG_TEXT(LOG_KEY_KIND, c->ops->name),
	    LOG_TEXT(LOG_KEY_REASON, "no memory"));
	if (c->reader.head != NULL &&
	    e->wire->request(c->reader.head, &r, &reason))
		e->wire->own(&fields, r.id);
	wire_request_finish(&r);
	buffer_printf(&fields, "Retry-After: %.3f\r\n",
	    (double)job_retry_elsewhere(e) / MSEC_SECOND);
	caller_refuse(c, now, 503, JOB_CARRIER_FULL, &fields);
}

void
entry_memory_apply_settings(struct entry *e)
{
	struct memory_budget m;

	memory_budget_init(&m, (size_t)e->settings->memory_mb << 20);
	e->memory.budget.size = m.size;
}

void
entry_memory_init(struct entry *e)
{
	memory_budget_init(
	    &e->memory.budget, (size_t)e->settings->memory_mb << 20);
}

void
entry_memory_metrics(const struct entry *e, GString *s)
{
	const struct entry_memory *m = &e->memory;

	metrics_value(s, "memory_limit_bytes", "gauge",
	    "Memory that the process may use.",
	    (int64_t)e->settings->memory_mb << 20);
	metrics_value(s, "memory_budget_bytes", "gauge",
	    "Of it, what requests and answers may hold together.",
	    (int64_t)m->budget.size);
	metrics_value(s, "memory_held_bytes", "gauge", "What they hold.",
	    (int64_t)m->budget.held);
	metrics_value(s, "memory_held_most_bytes", "gauge",
	    "The most that they have held.", (int64_t)m->budget.most);
	metrics_value(s, "memory_level", "gauge",
	    "0 normal, 1 high, 2 critical, 3 full, 4 exceeded.",
	    m->budget.level);
	metrics_value(s, "memory_answers_waiting", "gauge",
	    "Answers that are not read on for want of memory.", m->waiting);
	metrics_value(s, "memory_ended_total", "counter",
	    "Requests and answers ended for want of memory.",
	    (int64_t)m->ended);
	metrics_value(s, "memory_refused_total", "counter",
	    "Requests refused for want of memory.", (int64_t)m->refused);
}
