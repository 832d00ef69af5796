/*
 * Poison requests: decides which requests may be sent, and when; see poison.h.
 */

#define LOG_PART "poison"
#include "poison-private.h"

#include <inttypes.h>
#include <string.h>

#include <xxhash.h>

/* Maximum wait of a run for permission. */
#define POISON_WAIT_MS 500
/* Interval and number of the requests to an owner that does not answer. */
#define POISON_ASK_MS 50
#define POISON_ASKS 2
/* Time to detect and report that a server that broke off has ended. */
#define POISON_SERVER_CHECK_MS 120
/* The owner considers a run over after this time without a message. */
#define POISON_RUN_MS (10 * MSEC_SECOND)

/* ---- ids ---- */

/* Hash the length too, so that different field boundaries differ. */
static void
hash_add(XXH3_state_t *s, const void *bytes, size_t n)
{
	uint64_t length = n;

	XXH3_128bits_update(s, &length, sizeof length);
	XXH3_128bits_update(s, bytes, n);
}

struct poison_id
poison_id_make(const char *key, const struct poison_request *r)
{
	XXH3_state_t *s = XXH3_createState();
	const char *model = r->model != NULL ? r->model : "";
	unsigned int tokens[2] = { r->prompt_tokens, r->max_tokens };
	XXH128_hash_t sum;

	XXH3_128bits_reset_withSeed(s, XXH3_64bits(key, strlen(key)));
	hash_add(s, r->method, strlen(r->method));
	hash_add(s, r->host, strlen(r->host));
	hash_add(s, r->path, strlen(r->path));
	hash_add(s, r->caller, strlen(r->caller));
	hash_add(s, r->body, r->length);
	hash_add(s, model, strlen(model));
	hash_add(s, tokens, sizeof tokens);
	hash_add(s, r->parts, r->nparts * sizeof *r->parts);
	sum = XXH3_128bits_digest(s);
	XXH3_freeState(s);
	return (struct poison_id){ sum.high64, sum.low64 };
}

bool
poison_id_equal(struct poison_id a, struct poison_id b)
{
	return a.high == b.high && a.low == b.low;
}

bool
poison_id_is_none(struct poison_id id)
{
	return id.high == 0 && id.low == 0;
}

void
poison_id_print(struct poison_id id, char text[POISON_ID_SIZE])
{
	g_snprintf(text, POISON_ID_SIZE,
	    poison_id_is_part(id) ? "%" PRIx64 : "%016" PRIx64, id.high);
}

const char *
poison_verdict_name(enum poison_verdict v)
{
	static const char *const names[] = { "go", "wait", "held",
		"condemned" };

	return names[v];
}

/* ---- runs ---- */

/* Whether a run of this node is granted, being released or asking the owner. */
static bool
run_is_active(struct poisons *p, struct poison_id id)
{
	const struct poison_release *out;
	const struct poison_run *run;

	TAILQ_FOREACH (run, &p->granted, entry) {
		if (poison_id_equal(run->id, id))
			return true;
	}
	TAILQ_FOREACH (run, &p->waiting, entry) {
		if (poison_id_equal(run->id, id) && run->owner != 0)
			return true;
	}
	TAILQ_FOREACH (out, &p->releases, entry) {
		if (poison_id_equal(out->id, id))
			return true;
	}
	return false;
}

/* The oldest waiting run of this node. */
static struct poison_run *
run_find_waiting(struct poisons *p, struct poison_id id)
{
	struct poison_run *run;

	TAILQ_FOREACH (run, &p->waiting, entry) {
		if (poison_id_equal(run->id, id))
			return run;
	}
	return NULL;
}

void
run_count(struct poisons *p, struct poison_id id, enum poison_verdict v)
{
	if (v == POISON_CONDEMNED && poison_id_is_part(id))
		p->counters.parts_refused++;
	else
		p->counters.refused += v == POISON_CONDEMNED;
	p->counters.held += v == POISON_HELD;
}

/* End the wait of a run. decided() may begin or end other runs. */
static void
run_decide(struct poisons *p, msec now, struct poison_run *run,
    enum poison_verdict v, bool granted)
{
	TAILQ_REMOVE(&p->waiting, run, entry);
	run->waiting = false;
	run->granted = granted;
	if (granted)
		TAILQ_INSERT_TAIL(&p->granted, run, entry);
	run_count(p, run->id, v);
	p->ops->decided(p, run, v, now);
}

/* End the wait of all runs of this node for a request. */
static void
runs_decide(
    struct poisons *p, msec now, struct poison_id id, enum poison_verdict v)
{
	struct poison_run *run;

	while ((run = run_find_waiting(p, id)) != NULL)
		run_decide(p, now, run, v, false);
}

static bool
node_is_live(const struct poisons *p, name_id node)
{
	unsigned int i;

	for (i = 0; i < p->nnodes; i++) {
		if (p->nodes[i].id == node)
			return true;
	}
	return false;
}

/*
 * As owner, permit a node to send a request if no other node does. A node sends
 * it once at a time, so if it asks again, its earlier run is over.
 */
static bool
owner_grants(struct poisons *p, msec now, struct poison_record *r, name_id node,
    uint32_t seq)
{
	bool free = r->granted_node == 0 || r->granted_node == node ||
		    now - r->granted_since >= POISON_RUN_MS ||
		    !node_is_live(p, r->granted_node);

	if (!free)
		return false;
	if (record_has_enough(r) &&
	    (r->granted_node != node || r->granted_seq != seq))
		p->counters.trials++;
	r->granted_node = node;
	r->granted_seq = seq;
	r->granted_since = now;
	return true;
}

static void
owner_releases(
    struct poisons *p, struct poison_id id, name_id node, uint32_t seq)
{
	struct poison_record *r = record_find(p, id);

	if (r != NULL && r->granted_node == node && r->granted_seq == seq)
		r->granted_node = 0;
}

static void
run_send_ask(struct poisons *p, msec now, struct poison_run *run)
{
	struct poison_record *r = record_find(p, run->id);
	sp_msg msg = { .kind = SP_POISON_ASK };
	sp_poison_life lives[SAVORY_LIVES_MAX];

	run->asked = now;
	run->unanswered_asks++;
	p->counters.asked++;
	msg.sp_msg_u.poison_ask.seq = run->seq;
	record_encode(r, now, &msg.sp_msg_u.poison_ask.record, lives);
	p->ops->send(p, run->owner, &msg);
}

/* Request permission for a run; true: granted at once. */
static bool
run_ask_owner(struct poisons *p, msec now, struct poison_run *run,
    struct poison_record *r)
{
	name_id deputy;

	poison_share_owners(p, run->id, &run->owner, &deputy);
	if (++p->seq == 0)
		p->seq = 1;
	run->seq = p->seq;
	run->unanswered_asks = 0;
	if (run->owner == p->self)
		return owner_grants(p, now, r, p->self, run->seq);
	run_send_ask(p, now, run);
	return false;
}

/* Let the next waiting run of this node proceed, if no other is active. */
static void
runs_resume(struct poisons *p, msec now, struct poison_id id)
{
	struct poison_run *run = run_find_waiting(p, id);
	struct poison_record *r = record_find(p, id);

	if (run == NULL || p->closed || run_is_active(p, id))
		return;
	if (r == NULL || !record_needs_permit(r))
		runs_decide(p, now, id, POISON_SEND);
	else if (run_ask_owner(p, now, run, r))
		run_decide(p, now, run, POISON_SEND, true);
}

enum poison_verdict
run_request_permit(struct poisons *p, msec now, struct poison_run *run,
    struct poison_record *r)
{
	run->owner = 0;
	run->since = now;
	if (!run_is_active(p, run->id) && run_ask_owner(p, now, run, r)) {
		run->granted = true;
		TAILQ_INSERT_TAIL(&p->granted, run, entry);
		return POISON_SEND;
	}
	run->waiting = true;
	TAILQ_INSERT_TAIL(&p->waiting, run, entry);
	return POISON_WAIT;
}

enum poison_verdict
poison_ask(struct poisons *p, msec now, struct poison_run *run)
{
	struct poison_record *r = record_find(p, run->id);

	if (run->granted || r == NULL || !record_needs_permit(r))
		return POISON_SEND;
	if (record_is_condemned(r, now)) {
		run_count(p, run->id, POISON_CONDEMNED);
		return POISON_CONDEMNED;
	}
	return run_request_permit(p, now, run, r);
}

/* Report to the owner that a run is over. */
static void
release_send(
    struct poisons *p, struct poison_id id, name_id owner, uint32_t seq)
{
	sp_msg msg = { .kind = SP_POISON_DONE };

	if (owner == p->self) {
		owner_releases(p, id, owner, seq);
	} else if (owner != 0) {
		msg.sp_msg_u.poison_done.seq = seq;
		msg.sp_msg_u.poison_done.high = id.high;
		msg.sp_msg_u.poison_done.low = id.low;
		p->ops->send(p, owner, &msg);
	}
}

static void
release_later(struct poisons *p, msec now, const struct poison_run *run)
{
	struct poison_release *out = g_new0(struct poison_release, 1);

	*out = (struct poison_release){ .id = run->id,
		.owner = run->owner,
		.seq = run->seq,
		.due = now + POISON_SERVER_CHECK_MS };
	TAILQ_INSERT_TAIL(&p->releases, out, entry);
}

static void
release_now(struct poisons *p, msec now, struct poison_release *out)
{
	struct poison_id id = out->id;

	TAILQ_REMOVE(&p->releases, out, entry);
	release_send(p, id, out->owner, out->seq);
	g_free(out);
	runs_resume(p, now, id);
}

/* All releases have the same delay, so the list is sorted by due time. */
static void
releases_tick(struct poisons *p, msec now)
{
	struct poison_release *out = TAILQ_FIRST(&p->releases);

	while (out != NULL && now >= out->due) {
		release_now(p, now, out);
		out = TAILQ_FIRST(&p->releases);
	}
}

void
poison_server_checked(struct poisons *p, msec now, struct poison_id id)
{
	struct poison_release *out;

	TAILQ_FOREACH (out, &p->releases, entry) {
		if (poison_id_equal(out->id, id)) {
			release_now(p, now, out);
			return;
		}
	}
}

void
poison_run_end(struct poisons *p, msec now, struct poison_run *run, bool broke)
{
	struct poison_id id = run->id;

	if (!run->waiting && !run->granted)
		return;
	TAILQ_REMOVE(run->waiting ? &p->waiting : &p->granted, run, entry);
	if (broke && run->granted)
		release_later(p, now, run);
	else
		release_send(p, id, run->owner, run->seq);
	run->waiting = run->granted = false;
	runs_resume(p, now, id);
}

/* ---- evidence ---- */

/* A condemned part is refused unless other parts explain its ends. */
static bool
record_refuses(const struct poisons *p, const struct poison_record *r, msec now)
{
	return record_is_condemned(r, now) &&
	       (record_kind(r) != POISON_KIND_PART || !part_is_explained(p, r));
}

void
record_changed(struct poisons *p, msec now, struct poison_record *r,
    unsigned int ends_before, bool seen_here)
{
	bool is_part = record_kind(r) == POISON_KIND_PART, needs_permit;
	unsigned int enough = is_part ? POISON_PART_ENDS : POISON_ENDS;
	bool had_enough = ends_before >= enough;
	struct poison_id id = r->id;

	poison_share_changed(p, now, r, seen_here);
	poison_store_changed(p, now, r, ends_before);
	if (record_has_enough(r)) {
		if (had_enough)
			r->failed_trials += r->granted_node != 0;
		else if (is_part)
			/* Further ends of before are no failed trial. */
			r->granted_node = 0;
		if (record_refuses(p, r, now))
			runs_decide(p, now, id, POISON_CONDEMNED);
		if (!had_enough) {
			p->counters.parts_condemned += is_part;
			p->counters.condemned += !is_part;
			p->ops->condemned(p, id, now);
		}
		return;
	}
	r->failed_trials = 0;
	needs_permit = record_needs_permit(r);
	if (had_enough)
		p->ops->cleared(p, id, now);
	if (!needs_permit)
		runs_decide(p, now, id, POISON_SEND);
}

void
poison_server_ended(
    struct poisons *p, msec now, struct poison_id id, uint64_t life)
{
	struct poison_record *r;
	unsigned int ends_before;

	if (poison_id_is_none(id))
		return;
	r = record_get(p, id);
	ends_before = record_ends(r);
	p->counters.ends++;
	if (record_add_end(p, r, life, now))
		record_changed(p, now, r, ends_before, true);
}

void
poison_answered(struct poisons *p, msec now, struct poison_id id)
{
	struct poison_record *r = record_find(p, id);
	unsigned int ends_before;

	if (r == NULL || (ends_before = record_ends(r)) == 0)
		return;
	p->counters.cleared++;
	if (record_add_answer(p, r, now))
		record_changed(p, now, r, ends_before, true);
}

unsigned int
poison_count_ends(struct poisons *p, struct poison_id id)
{
	const struct poison_record *r = record_find(p, id);

	return r != NULL ? record_ends(r) : 0;
}

bool
poison_is_condemned(struct poisons *p, msec now, struct poison_id id)
{
	const struct poison_record *r = record_find(p, id);

	return r != NULL && record_is_condemned(r, now);
}

msec
poison_trial_delay(struct poisons *p, msec now, struct poison_id id)
{
	const struct poison_record *r = record_find(p, id);

	return r != NULL ? MAX(record_trial_at(r) - now, 0) : 0;
}

/* ---- messages ---- */

void
record_receive(
    struct poisons *p, msec now, name_id from, const sp_poison_record *m)
{
	struct poison_id id = { m->high, m->low };
	unsigned int ends_before = poison_count_ends(p, id);
	struct poison_record *r;
	bool changed = record_merge(p, now, m, &r);

	if (r == NULL)
		return;
	if (from != 0 && record_kind(r) == POISON_KIND_PART &&
	    record_corrects(r, now, m))
		poison_share_reply(p, now, r, from);
	/* Last, as it may free the record. */
	if (changed)
		record_changed(p, now, r, ends_before, false);
}

static void
handle_ask(struct poisons *p, msec now, name_id from, const sp_poison_ask *ask)
{
	struct poison_id id = { ask->record.high, ask->record.low };
	sp_msg msg = { .kind = SP_POISON_ANSWER };
	sp_poison_answer *a = &msg.sp_msg_u.poison_answer;
	sp_poison_life lives[SAVORY_LIVES_MAX];
	struct poison_record *r;

	record_receive(p, now, from, &ask->record);
	if ((r = record_find(p, id)) == NULL)
		return;
	a->seq = ask->seq;
	if (record_refuses(p, r, now))
		a->verdict = SP_POISON_NO;
	else if (!record_needs_permit(r) ||
		 owner_grants(p, now, r, from, ask->seq))
		a->verdict = SP_POISON_GO;
	else
		a->verdict = SP_POISON_WAIT;
	record_encode(r, now, &a->record, lives);
	p->ops->send(p, from, &msg);
}

static void
handle_answer(
    struct poisons *p, msec now, name_id from, const sp_poison_answer *a)
{
	struct poison_run *run;

	TAILQ_FOREACH (run, &p->waiting, entry) {
		if (run->seq == a->seq && run->owner == from)
			break;
	}
	if (run == NULL)
		return;
	run->unanswered_asks = 0;
	if (a->verdict == SP_POISON_GO)
		run_decide(p, now, run, POISON_SEND, true);
	else if (a->verdict == SP_POISON_NO)
		run_decide(p, now, run, POISON_CONDEMNED, false);
	record_receive(p, now, from, &a->record);
}

void
poisons_receive(struct poisons *p, msec now, name_id from, const sp_msg *msg)
{
	const sp_poison_tell *t = &msg->sp_msg_u.poison_tell;
	const sp_poison_done *d = &msg->sp_msg_u.poison_done;
	u_int i;

	switch (msg->kind) {
	case SP_POISON_TELL:
		for (i = 0; i < t->list.list_len; i++)
			record_receive(p, now, from, &t->list.list_val[i]);
		break;
	case SP_POISON_ASK:
		handle_ask(p, now, from, &msg->sp_msg_u.poison_ask);
		break;
	case SP_POISON_ANSWER:
		handle_answer(p, now, from, &msg->sp_msg_u.poison_answer);
		break;
	case SP_POISON_DONE:
		owner_releases(
		    p, (struct poison_id){ d->high, d->low }, from, d->seq);
		break;
	default:
		break;
	}
}

/* ---- time ---- */

/*
 * Decide without the owner, which does not answer. After one end the request is
 * probably harmless and is sent; after more it would probably end a server.
 */
static void
run_decide_alone(struct poisons *p, msec now, struct poison_run *run)
{
	bool go = poison_count_ends(p, run->id) <= 1;

	p->counters.decided_alone++;
	run->owner = 0;
	run_decide(p, now, run, go ? POISON_SEND : POISON_HELD, go);
}

/* Returns true if the list of waiting runs may have changed. */
static bool
run_tick(struct poisons *p, msec now, struct poison_run *run)
{
	struct poison_record *r = record_find(p, run->id);

	if (now - run->since >= POISON_WAIT_MS) {
		release_send(p, run->id, run->owner, run->seq);
		run_decide(p, now, run, POISON_HELD, false);
		return true;
	}
	if (run->owner == 0) {
		if (run_find_waiting(p, run->id) != run ||
		    run_is_active(p, run->id))
			return false;
		runs_resume(p, now, run->id);
		return true;
	}
	if (run->owner == p->self) {
		if (r == NULL || !owner_grants(p, now, r, p->self, run->seq))
			return false;
		run_decide(p, now, run, POISON_SEND, true);
		return true;
	}
	if (now - run->asked < POISON_ASK_MS)
		return false;
	if (run->unanswered_asks >= POISON_ASKS) {
		run_decide_alone(p, now, run);
		return true;
	}
	run_send_ask(p, now, run);
	return false;
}

/* Restart after each decision, as that may change the list. */
static void
runs_tick(struct poisons *p, msec now)
{
	struct poison_run *run;
	bool again = true;

	while (again) {
		again = false;
		TAILQ_FOREACH (run, &p->waiting, entry) {
			if (now < run->next_check || !run->waiting)
				continue;
			run->next_check = now + POISON_ASK_MS;
			if (run_tick(p, now, run)) {
				again = true;
				break;
			}
		}
	}
}

msec
poisons_tick(struct poisons *p, msec now)
{
	msec due;

	releases_tick(p, now);
	runs_tick(p, now);
	poison_share_tick(p, now);
	due = poison_share_next(p, now);
	if (!TAILQ_EMPTY(&p->releases))
		due = MIN(due, TAILQ_FIRST(&p->releases)->due);
	if (!TAILQ_EMPTY(&p->waiting))
		due = MIN(due, now + POISON_ASK_MS);
	return due;
}

void
poisons_init(
    struct poisons *p, const struct poison_ops *ops, name_id self, GRand *rand)
{
	unsigned int kind, level;

	*p = (struct poisons){ .ops = ops, .self = self, .rand = rand };
	RB_INIT(&p->tree);
	for (kind = 0; kind < POISON_KINDS; kind++) {
		for (level = 0; level < POISON_LEVELS; level++)
			TAILQ_INIT(&p->lists[kind][level]);
	}
	p->answers = g_new0(struct poison_part_answer, POISON_ANSWERS);
	TAILQ_INIT(&p->waiting);
	TAILQ_INIT(&p->granted);
	TAILQ_INIT(&p->releases);
}

void
poisons_hold_waiting(struct poisons *p)
{
	p->closed = true;
}

void
poisons_finish(struct poisons *p)
{
	struct poison_release *out, *next;

	TAILQ_FOREACH_SAFE (out, &p->releases, entry, next)
		g_free(out);
	records_free(p);
	poison_parts_drop(&p->sound);
	g_free(p->answers);
	g_free(p->nodes);
	p->answers = NULL;
	p->nodes = NULL;
}

static void
record_dump(const struct poison_record *r, GString *s, msec now)
{
	char name[POISON_ID_SIZE];

	poison_id_print(r->id, name);
	g_string_append_printf(s,
	    "%s %s ends %u newest-ms %" PRId64 " condemned %s trial-ms %" PRId64
	    "\n",
	    record_kind(r) == POISON_KIND_PART ? "poison-part" : "poison", name,
	    record_ends(r), now - r->lives[r->nlives - 1].ended_at,
	    record_is_condemned(r, now) ? "yes" : "no",
	    MAX(record_trial_at(r) - now, 0));
}

void
poisons_dump(const struct poisons *p, GString *s, msec now)
{
	const struct poison_record *r;
	unsigned int kind, level;

	for (kind = 0; kind < POISON_KINDS; kind++) {
		for (level = POISON_LEVELS; level-- > POISON_ENDED_MORE;) {
			TAILQ_FOREACH (r, &p->lists[kind][level], age)
				record_dump(r, s, now);
		}
	}
	g_string_append_printf(s, "poison records %u parts %u waiting %s\n",
	    p->counts[POISON_KIND_REQUEST], p->counts[POISON_KIND_PART],
	    TAILQ_EMPTY(&p->waiting) ? "no" : "yes");
}
