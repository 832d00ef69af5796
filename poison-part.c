/*
 * Parts of prompts that terminate servers; see poison.h.
 *
 * All parts that are aboard a server at its end are suspects. A part that
 * terminates servers is never answered, and a sound one is again and again: an
 * end counts only if no node has answered a request with the part
 * since, nor shortly before. Each node remembers when it answered with which
 * part, and replies to a record that an answer of its own excuses; so no
 * message is needed for an answer.
 *
 * Suspects with some more ends are sent one request at a time, so that each
 * further end tells of one request, and an answer clears the part first.
 *
 * Parts that only ever came together look equally guilty. A part whose ends
 * other condemned parts explain is tried as soon as it comes without them, one
 * request at a time: an answer clears it, an end that the others do not explain
 * convicts it, as does a trial under which a server ends.
 */

#define LOG_PART "poison"
#include "poison-private.h"

/* The low half of the ids of parts; ids of requests are random. */
#define POISON_PART_LOW 0x7061727420697320ULL

struct poison_id
poison_part_id(uint64_t name)
{
	return (struct poison_id){ name, POISON_PART_LOW };
}

bool
poison_id_is_part(struct poison_id id)
{
	return id.low == POISON_PART_LOW;
}

static bool
parts_contain(const struct poison_parts *parts, struct poison_id id)
{
	unsigned int i;

	for (i = 0; parts != NULL && i < parts->n; i++) {
		if (poison_id_equal(parts->ids[i], id))
			return true;
	}
	return false;
}

/* ---- answers of this node ---- */

static struct poison_part_answer *
answer_slot(const struct poisons *p, uint64_t name)
{
	return &p->answers[(name * 0x9e3779b97f4a7c15ULL) >>
			   (64 - POISON_ANSWERS_BITS)];
}

msec
part_answered_at(const struct poisons *p, struct poison_id id)
{
	const struct poison_part_answer *a = answer_slot(p, id.high);

	return a->at != 0 && a->name == id.high ? a->at : MSEC_NEVER;
}

/* The record of a part has ends, and this answer may excuse them. */
static void
part_clear(struct poisons *p, msec now, struct poison_record *r, msec at)
{
	unsigned int before = record_ends(r);

	if (!record_add_answer(p, r, at))
		return;
	p->counters.parts_cleared++;
	record_changed(p, now, r, before, true);
}

void
poison_parts_answered(
    struct poisons *p, msec now, const struct poison_parts *parts, msec at)
{
	struct poison_record *r;
	unsigned int i;

	for (i = 0; i < parts->n; i++) {
		*answer_slot(p, parts->ids[i].high) =
		    (struct poison_part_answer){ parts->ids[i].high, at };
		if (p->counts[POISON_KIND_PART] == 0)
			continue;
		if ((r = record_find(p, parts->ids[i])) != NULL)
			part_clear(p, now, r, at);
	}
}

/* ---- ends ---- */

static void
part_ended(
    struct poisons *p, msec now, struct poison_id id, uint64_t life, msec at)
{
	msec answered = part_answered_at(p, id);
	struct poison_record *r;
	unsigned int before;

	if (parts_contain(&p->sound, id))
		return;
	p->counters.part_ends++;
	/* Parts in much traffic take no record. */
	if (record_find(p, id) == NULL && answered != MSEC_NEVER &&
	    answered + POISON_PART_PROOF_MS >= at)
		return;
	r = record_get(p, id);
	before = record_ends(r);
	if (record_add_end(p, r, life, at))
		record_changed(p, now, r, before, true);
}

void
poison_parts_ended(struct poisons *p, msec now,
    const struct poison_parts *parts, uint64_t life, msec at)
{
	unsigned int i;

	for (i = 0; i < parts->n; i++)
		part_ended(p, now, parts->ids[i], life, at);
}

/* ---- verdicts ---- */

void
poisons_set_sound_parts(struct poisons *p, const struct poison_parts *parts)
{
	p->sound = *parts;
}

unsigned int
poison_count_condemned_parts(const struct poisons *p)
{
	const struct poison_record *r;
	unsigned int n = 0;

	TAILQ_FOREACH (r, &p->lists[POISON_KIND_PART][POISON_ENDED_ENOUGH], age)
		n += record_has_enough(r);
	return n;
}

/*
 * Does a part's record have this end? A full record has dropped ends that came
 * after those that condemned the part.
 */
static bool
part_has_end(const struct poison_record *r, const struct poison_process *end)
{
	unsigned int i;

	for (i = 0; i < r->nlives; i++) {
		if (r->lives[i].life == end->life)
			return true;
	}
	return r->nlives == POISON_ENDS_STORED &&
	       end->ended_at >= r->lives[POISON_PART_ENDS - 1].ended_at &&
	       end->ended_at <= r->lives[r->nlives - 1].ended_at;
}

static bool
end_is_explained(const struct poisons *p, const struct poison_record *r,
    const struct poison_process *end, const struct poison_parts *except)
{
	const struct poison_record *other;

	TAILQ_FOREACH (
	    other, &p->lists[POISON_KIND_PART][POISON_ENDED_ENOUGH], age) {
		if (other != r && record_has_enough(other) &&
		    !parts_contain(except, other->id) &&
		    part_has_end(other, end))
			return true;
	}
	return false;
}

bool
part_is_explained(const struct poisons *p, const struct poison_record *r,
    const struct poison_parts *except)
{
	unsigned int i;

	if (r->failed_trials > 0)
		return false;
	for (i = 0; i < r->nlives; i++) {
		if (!end_is_explained(p, r, &r->lives[i], except))
			return false;
	}
	return true;
}

enum poison_verdict
poison_judge_parts(struct poisons *p, msec now,
    const struct poison_parts *parts, struct poison_id *which)
{
	enum poison_verdict v = POISON_SEND;
	const struct poison_record *r;
	unsigned int i;

	if (TAILQ_EMPTY(&p->lists[POISON_KIND_PART][POISON_ENDED_ENOUGH]))
		return POISON_SEND;
	for (i = 0; i < parts->n; i++) {
		if (parts_contain(&p->sound, parts->ids[i]))
			continue;
		r = record_find(p, parts->ids[i]);
		if (r == NULL || !record_needs_permit(r))
			continue;
		if (record_is_condemned(r, now) &&
		    !part_is_explained(p, r, parts)) {
			*which = r->id;
			return POISON_CONDEMNED;
		}
		if (v == POISON_SEND)
			*which = r->id;
		v = POISON_WAIT;
	}
	return v;
}

enum poison_verdict
poison_ask_parts(struct poisons *p, msec now, const struct poison_parts *parts,
    struct poison_run *run, struct poison_id *which)
{
	enum poison_verdict v;

	if (run->granted)
		return POISON_SEND;
	v = poison_judge_parts(p, now, parts, which);
	if (v == POISON_CONDEMNED)
		run_count(p, *which, v);
	if (v != POISON_WAIT)
		return v;
	run->id = *which;
	return run_request_permit(p, now, run, record_find(p, run->id));
}
