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

#include <stdlib.h>
#include <string.h>

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

/* ---- sets of parts ---- */

static int
name_compare(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

struct poison_parts
poison_parts_make(const uint64_t *names, unsigned int n)
{
	uint64_t *copy;

	if (n == 0)
		return (struct poison_parts){ 0 };
	copy = g_rc_box_alloc(2 * n * sizeof *copy);
	memcpy(copy, names, n * sizeof *copy);
	memcpy(copy + n, names, n * sizeof *copy);
	qsort(copy + n, n, sizeof *copy, name_compare);
	return (struct poison_parts){ n, copy, copy + n };
}

struct poison_parts
poison_parts_share(const struct poison_parts *parts)
{
	if (parts->n > 0)
		g_rc_box_acquire((void *)parts->names);
	return *parts;
}

void
poison_parts_drop(struct poison_parts *parts)
{
	if (parts->n > 0)
		g_rc_box_release((void *)parts->names);
	*parts = (struct poison_parts){ 0 };
}

static bool
parts_contain(const struct poison_parts *parts, uint64_t name)
{
	return parts->n > 0 && bsearch(&name, parts->sorted, parts->n,
				   sizeof name, name_compare) != NULL;
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

/*
 * Guards against one prompt of very many parts that makes this node forget all
 * others: it takes the places of those only that prove nothing any more.
 */
static void
answer_note(struct poisons *p, uint64_t name, msec at, unsigned int nparts)
{
	struct poison_part_answer *a = answer_slot(p, name);

	if (nparts > POISON_ANSWERS_OF_ONE && a->at != 0 && a->name != name &&
	    a->at + POISON_PART_PROOF_MS >= at)
		return;
	*a = (struct poison_part_answer){ name, at };
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
		answer_note(p, parts->names[i], at, parts->n);
		if (p->counts[POISON_KIND_PART] == 0)
			continue;
		r = record_find(p, poison_part_id(parts->names[i]));
		if (r != NULL)
			part_clear(p, now, r, at);
	}
}

/* ---- ends ---- */

static void
part_add_end(struct poisons *p, msec now, struct poison_record *r,
    uint64_t life, msec at)
{
	unsigned int before = record_ends(r);

	if (!record_add_end(p, r, life, at))
		return;
	p->counters.part_ends++;
	record_changed(p, now, r, before, true);
}

/* May it have caused the end? One in much traffic takes no record. */
static bool
part_is_suspect(const struct poisons *p, uint64_t name, msec at)
{
	msec answered = part_answered_at(p, poison_part_id(name));

	return !parts_contain(&p->sound, name) &&
	       (answered == MSEC_NEVER || answered + POISON_PART_PROOF_MS < at);
}

/* Makes records of parts that have none, beginning at any of them. */
static void
parts_add_records(struct poisons *p, msec now, const struct poison_parts *parts,
    uint64_t life, msec at, unsigned int most)
{
	unsigned int i, from = 0;
	struct poison_id id;

	if (parts->n > most && most > 0)
		from = (unsigned int)g_rand_int_range(
		    p->rand, 0, (gint32)parts->n);
	for (i = 0; i < parts->n && most > 0; i++) {
		id = poison_part_id(parts->names[(from + i) % parts->n]);
		if (record_find(p, id) != NULL ||
		    !part_is_suspect(p, id.high, at))
			continue;
		part_add_end(p, now, record_get(p, id), life, at);
		most--;
	}
}

void
poison_parts_ended(struct poisons *p, msec now,
    const struct poison_parts *parts, uint64_t life, msec at,
    unsigned int most_new)
{
	struct poison_record *r;
	unsigned int i;

	for (i = 0; i < parts->n; i++) {
		r = record_find(p, poison_part_id(parts->names[i]));
		if (r != NULL && !parts_contain(&p->sound, parts->names[i]))
			part_add_end(p, now, r, life, at);
	}
	parts_add_records(p, now, parts, life, at, most_new);
}

/* ---- verdicts ---- */

void
poisons_set_sound_parts(struct poisons *p, const struct poison_parts *parts)
{
	poison_parts_drop(&p->sound);
	p->sound = poison_parts_share(parts);
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

/* Condemned parts that may explain the ends of others. */
struct explanations {
	unsigned int n;
	const struct poison_record **list;
};

/* All that are condemned but for those of `except`, which may be NULL. */
static struct explanations
explanations_find(const struct poisons *p, const struct poison_parts *except)
{
	GPtrArray *found = g_ptr_array_new();
	const struct poison_record *r;
	struct explanations x;

	TAILQ_FOREACH (r, &p->lists[POISON_KIND_PART][POISON_ENDED_ENOUGH], age)
		if (record_has_enough(r) &&
		    (except == NULL || !parts_contain(except, r->id.high)))
			g_ptr_array_add(found, (void *)r);
	x.n = found->len;
	x.list = (const struct poison_record **)g_ptr_array_free(found, FALSE);
	return x;
}

static bool
end_is_explained(const struct explanations *x, const struct poison_record *r,
    const struct poison_process *end)
{
	unsigned int i;

	for (i = 0; i < x->n; i++) {
		if (x->list[i] != r && part_has_end(x->list[i], end))
			return true;
	}
	return false;
}

static bool
ends_are_explained(const struct explanations *x, const struct poison_record *r)
{
	unsigned int i;

	if (r->failed_trials > 0)
		return false;
	for (i = 0; i < r->nlives; i++) {
		if (!end_is_explained(x, r, &r->lives[i]))
			return false;
	}
	return true;
}

bool
part_is_explained(const struct poisons *p, const struct poison_record *r)
{
	struct explanations x = explanations_find(p, NULL);
	bool explained = ends_are_explained(&x, r);

	g_free(x.list);
	return explained;
}

/* Is any part held back or condemned? Most prompts have more parts than are. */
static bool
parts_have_suspects(const struct poisons *p, const struct poison_parts *parts)
{
	const struct poison_record *r;

	TAILQ_FOREACH (r, &p->lists[POISON_KIND_PART][POISON_ENDED_ENOUGH], age)
		if (parts_contain(parts, r->id.high))
			return true;
	return false;
}

enum poison_verdict
poison_judge_parts(struct poisons *p, msec now,
    const struct poison_parts *parts, struct poison_id *which)
{
	enum poison_verdict v = POISON_SEND;
	const struct poison_record *r;
	struct explanations x;
	unsigned int i;

	if (!parts_have_suspects(p, parts))
		return POISON_SEND;
	x = explanations_find(p, parts);
	for (i = 0; i < parts->n && v != POISON_CONDEMNED; i++) {
		if (parts_contain(&p->sound, parts->names[i]))
			continue;
		r = record_find(p, poison_part_id(parts->names[i]));
		if (r == NULL || !record_needs_permit(r))
			continue;
		if (record_is_condemned(r, now) && !ends_are_explained(&x, r)) {
			*which = r->id;
			v = POISON_CONDEMNED;
		} else if (v == POISON_SEND) {
			*which = r->id;
			v = POISON_WAIT;
		}
	}
	g_free(x.list);
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
