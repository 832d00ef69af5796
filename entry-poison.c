/*
 * Suspect requests on an entry node: which may be sent, and what other nodes
 * are told; see entry-poison.h.
 */

#define LOG_PART "poison"
#include "entry.h"

#include <inttypes.h>
#include <string.h>

/* ---- requests ---- */

/* Logs a decision on a suspect; `part`: that decided it, or none. */
static void
suspect_log(
    struct job *j, msec now, enum poison_verdict v, struct poison_id part)
{
	struct poisons *p = &j->owner->poison.core;
	bool by_part = !poison_id_is_none(part);
	char name[POISON_ID_SIZE];

	poison_id_print(part, name);
	entry_log(&j->owner->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_SUSPECT,
	    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_OUTCOME, poison_verdict_name(v)),
	    LOG_TEXT(LOG_KEY_PART, by_part ? name : NULL),
	    LOG_NUMBER(LOG_KEY_ENDS,
		poison_count_ends(p, by_part ? part : j->fingerprint)));
}

bool
entry_poison_admit(struct job *j, msec now)
{
	struct entry *e = j->owner;
	struct poison_id part = { 0 };
	enum poison_verdict v;

	j->part_run.arg = j->run.arg = j;
	j->run.id = j->fingerprint;
	v = poison_ask_parts(
	    &e->poison.core, now, &j->parts, &j->part_run, &part);
	if (v == POISON_SEND) {
		part = (struct poison_id){ 0 };
		v = poison_ask(&e->poison.core, now, &j->run);
	}
	if (v == POISON_SEND)
		return true;
	suspect_log(j, now, v, part);
	if (v != POISON_WAIT)
		job_fail(j, now, JOB_POISON);
	else
		entry_poison_reschedule(e, now);
	return false;
}

/* `part` is set to a condemned part for which it has no permission. */
static bool
job_is_condemned_by_part(const struct job *j, msec now, struct poison_id *part)
{
	struct poison_id which;

	if (poison_judge_parts(&j->owner->poison.core, now, &j->parts,
		&which) != POISON_CONDEMNED)
		return false;
	if (j->part_run.granted && poison_id_equal(which, j->part_run.id))
		return false;
	*part = which;
	return true;
}

bool
entry_poison_refuses(struct job *j, msec now)
{
	struct poison_id part = { 0 };
	bool refused = job_is_condemned_by_part(j, now, &part);

	if (!refused)
		refused = !j->run.granted &&
			  poison_is_condemned(
			      &j->owner->poison.core, now, j->fingerprint);
	if (refused)
		suspect_log(j, now, POISON_CONDEMNED, part);
	return refused;
}

msec
entry_poison_retry_after(const struct job *j, msec now)
{
	struct poison_id part = j->fingerprint;

	job_is_condemned_by_part(j, now, &part);
	return poison_trial_delay(&j->owner->poison.core, now, part);
}

void
entry_poison_run_end(struct job *j, msec now, bool broke)
{
	struct poisons *p = &j->owner->poison.core;

	poison_run_end(p, now, &j->part_run, broke);
	poison_run_end(p, now, &j->run, broke);
}

static void
poison_op_send(struct poisons *p, name_id node, const sp_msg *msg)
{
	struct entry *e = p->arg;
	struct member *m = members_find(&e->members, node);

	if (m != NULL)
		net_send(&e->net, m->address, m->peer_port, msg);
}

static void
poison_op_decided(
    struct poisons *p, struct poison_run *run, enum poison_verdict v, msec now)
{
	struct job *j = run->arg;
	struct poison_id none = { 0 };

	suspect_log(j, now, v, run == &j->part_run ? run->id : none);
	if (v == POISON_SEND)
		job_attempt(j, now);
	else
		job_fail(j, now, JOB_POISON);
}

/*
 * Finds a condemned request that was sent to a server but not answered yet. One
 * with a condemned part whose ends another part explains goes on.
 */
static struct job *
poison_find_unanswered(struct entry *e, struct poison_id id, msec now)
{
	struct poison_id part;
	struct job *j;

	TAILQ_FOREACH (j, &e->jobs, entry) {
		if (j->link == NULL || j->began_to_run)
			continue;
		if (poison_id_is_part(id)
			? job_is_condemned_by_part(j, now, &part)
			: poison_id_equal(j->fingerprint, id))
			return j;
	}
	return NULL;
}

/* Logs a verdict on a request or part. */
static void
verdict_log(struct poisons *p, enum entry_log_event event, struct poison_id id,
    msec now)
{
	struct entry *e = p->arg;
	bool is_part = poison_id_is_part(id);
	char name[POISON_ID_SIZE];

	poison_id_print(id, name);
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, event,
	    LOG_TEXT(LOG_KEY_SAME, is_part ? NULL : name),
	    LOG_TEXT(LOG_KEY_PART, is_part ? name : NULL),
	    LOG_NUMBER(LOG_KEY_ENDS, poison_count_ends(p, id)));
}

/*
 * Fails the copies of a condemned request, or the requests with a condemned
 * part, that have no answer yet: they may be queued at a server and have not
 * ended it so far. One whose answer has begun goes on, because a complete
 * answer clears it.
 */
static void
poison_op_condemned(struct poisons *p, struct poison_id id, msec now)
{
	struct entry *e = p->arg;
	struct job *j;

	verdict_log(p, LOG_EVENT_CONDEMNED, id, now);
	while ((j = poison_find_unanswered(e, id, now)) != NULL) {
		j->may_have_run |= job_is_sent(j);
		job_fail(j, now, JOB_POISON);
	}
}

static void
poison_op_cleared(struct poisons *p, struct poison_id id, msec now)
{
	verdict_log(p, LOG_EVENT_CLEARED, id, now);
}

static void
poison_op_unwritten(struct poisons *p, msec now)
{
	entry_poison_store_tick(p->arg, now);
}

static const struct poison_ops entry_poison_ops = { poison_op_send,
	poison_op_decided, poison_op_condemned, poison_op_cleared,
	poison_op_unwritten };

/* ---- live nodes and timer ---- */

void
entry_poison_set_nodes(struct entry *e, msec now)
{
	struct poison_node *nodes;
	struct member *m;
	unsigned int n = 0;

	nodes = g_new0(struct poison_node, e->live_nodes + 1);
	nodes[n++] = (struct poison_node){ e->members.self.id, e->incarnation,
		e->phase == ENTRY_SERVING };
	RB_FOREACH (m, member_tree, &e->members.tree) {
		if (m->state == MEMBER_DEAD || n > e->live_nodes)
			continue;
		nodes[n++] = (struct poison_node){ m->id, m->incarnation,
			m->state == MEMBER_ALIVE && !m->leaving };
	}
	poisons_set_nodes(&e->poison.core, now, nodes, n);
	g_free(nodes);
}

void
entry_poison_set_sound_parts(struct entry *e)
{
	const struct settings *s = e->settings;
	struct poison_parts parts =
	    poison_parts_make(s->sound_parts, s->nsound_parts);

	poisons_set_sound_parts(&e->poison.core, &parts);
	poison_parts_drop(&parts);
}

static void
poison_timer(struct loop_timer *t, msec now)
{
	struct entry *e = t->arg;

	loop_timer_set(&e->loop, t, poisons_tick(&e->poison.core, now));
}

void
entry_poison_reschedule(struct entry *e, msec now)
{
	poison_timer(&e->poison.timer, now);
}

void
entry_poison_init(struct entry *e)
{
	struct entry_poison *x = &e->poison;

	*x = (struct entry_poison){ 0 };
	entry_poison_checks_init(e);
	poisons_init(
	    &x->core, &entry_poison_ops, name_hash(e->settings->node), e->rand);
	x->core.arg = e;
	entry_poison_set_sound_parts(e);
	loop_timer_init(&x->timer, poison_timer, e);
}

void
entry_poison_finish(struct entry *e)
{
	entry_poison_checks_finish(e);
	loop_timer_stop(&e->loop, &e->poison.timer);
	poisons_finish(&e->poison.core);
}

/* ---- metrics and dump ---- */

static void
metric(GString *s, const char *name, const char *type, uint64_t n)
{
	g_string_append_printf(s,
	    "# TYPE savory_entry_%s %s\nsavory_entry_%s %" PRIu64 "\n", name,
	    type, name, n);
}

void
entry_poison_metrics(const struct entry *e, GString *s)
{
	const struct entry_poison *x = &e->poison;
	const struct poison_counters *c = &x->core.counters;

	metric(
	    s, "poison_records", "gauge", x->core.counts[POISON_KIND_REQUEST]);
	metric(s, "poison_part_records", "gauge",
	    x->core.counts[POISON_KIND_PART]);
	metric(s, "poison_parts_condemned_now", "gauge",
	    poison_count_condemned_parts(&x->core));
	metric(s, "poison_part_suspicions_total", "counter", c->part_ends);
	metric(s, "poison_parts_cleared_total", "counter", c->parts_cleared);
	metric(
	    s, "poison_parts_condemned_total", "counter", c->parts_condemned);
	metric(s, "poison_parts_refused_total", "counter", c->parts_refused);
	metric(
	    s, "poison_servers_checked_total", "counter", x->servers_checked);
	metric(s, "poison_servers_ended_total", "counter", x->servers_ended);
	metric(s, "poison_suspicions_total", "counter", c->ends);
	metric(s, "poison_cleared_total", "counter", c->cleared);
	metric(s, "poison_condemned_total", "counter", c->condemned);
	metric(s, "poison_refused_total", "counter", c->refused);
	metric(s, "poison_held_total", "counter", c->held);
	metric(s, "poison_asked_total", "counter", c->asked);
	metric(s, "poison_alone_total", "counter", c->decided_alone);
	metric(s, "poison_trials_total", "counter", c->trials);
	metric(s, "poison_told_total", "counter", c->records_sent);
	metric(s, "poison_dropped_total", "counter", c->dropped);
}

void
entry_poison_dump(const struct entry *e, GString *s, msec now)
{
	poisons_dump(&e->poison.core, s, now);
}
