/*
 * Records of suspect requests and parts: the server processes that ended while
 * executing it, and the time of its last complete answer. The result of merging
 * records does not depend on their order.
 */

#define LOG_PART "poison"
#include "poison-private.h"

#include <string.h>

/* Delay of the first trial of a condemned request after its last end. */
#define POISON_TRIAL_MS (10 * 60 * MSEC_SECOND)
/* Factor by which the delay grows with each failed trial. */
#define POISON_TRIAL_FACTOR 4
/* Ends later than this after the condemning one count as failed trials. */
#define POISON_TRIAL_GRACE_MS (60 * MSEC_SECOND)
/* Age in messages for MSEC_NEVER. */
#define POISON_AGE_NEVER UINT32_MAX

RB_GENERATE(poison_records, poison_record, entry, poison_record_compare)

int
poison_record_compare(struct poison_record *a, struct poison_record *b)
{
	if (a->id.high != b->id.high)
		return a->id.high < b->id.high ? -1 : 1;
	return a->id.low < b->id.low ? -1 : a->id.low > b->id.low;
}

struct poison_record *
record_find(struct poisons *p, struct poison_id id)
{
	struct poison_record find = { .id = id };

	return RB_FIND(poison_records, &p->tree, &find);
}

enum poison_kind
record_kind(const struct poison_record *r)
{
	return poison_id_is_part(r->id) ? POISON_KIND_PART
					: POISON_KIND_REQUEST;
}

static struct poison_ages *
record_list(struct poisons *p, const struct poison_record *r)
{
	return &p->lists[record_kind(r)][r->level];
}

static void
record_free(struct poisons *p, struct poison_record *r)
{
	poison_share_cancel(p, r);
	poison_store_cancel(p, r);
	TAILQ_REMOVE(record_list(p, r), r, age);
	RB_REMOVE(poison_records, &p->tree, r);
	p->counts[record_kind(r)]--;
	g_free(r);
}

void
records_free(struct poisons *p)
{
	struct poison_record *r;

	while ((r = RB_MIN(poison_records, &p->tree)) != NULL)
		record_free(p, r);
}

/* Append a record to the list for the number of its ends. */
static void
record_move_to_list(struct poisons *p, struct poison_record *r)
{
	unsigned int ends = record_ends(r);

	TAILQ_REMOVE(record_list(p, r), r, age);
	if (record_has_enough(r) ||
	    (record_kind(r) == POISON_KIND_PART && record_needs_permit(r)))
		r->level = POISON_ENDED_ENOUGH;
	else
		r->level = MIN(ends, POISON_ENDED_MORE);
	TAILQ_INSERT_TAIL(record_list(p, r), r, age);
}

/* Free the record of a kind that is missed least. */
static void
record_evict(struct poisons *p, enum poison_kind kind)
{
	unsigned int level = POISON_ENDED_NONE;

	while (TAILQ_EMPTY(&p->lists[kind][level]))
		level++;
	p->counters.dropped++;
	record_free(p, TAILQ_FIRST(&p->lists[kind][level]));
}

struct poison_record *
record_get(struct poisons *p, struct poison_id id)
{
	static const unsigned int most[POISON_KINDS] = { POISON_RECORDS_MAX,
		POISON_PARTS_MAX };
	struct poison_record *r = record_find(p, id);
	enum poison_kind kind;

	if (r != NULL)
		return r;
	r = g_new0(struct poison_record, 1);
	r->id = id;
	kind = record_kind(r);
	if (p->counts[kind] == most[kind])
		record_evict(p, kind);
	r->served =
	    kind == POISON_KIND_PART ? part_answered_at(p, id) : MSEC_NEVER;
	r->send_at = r->write_at = MSEC_NEVER;
	RB_INSERT(poison_records, &p->tree, r);
	TAILQ_INSERT_TAIL(record_list(p, r), r, age);
	p->counts[kind]++;
	return r;
}

/* ---- ends ---- */

static unsigned int
record_ends_enough(const struct poison_record *r)
{
	return record_kind(r) == POISON_KIND_PART ? POISON_PART_ENDS
						  : POISON_ENDS;
}

/*
 * Does an end count, after the last one that does? Servers that end at the same
 * moment have a cause in common.
 */
static bool
end_counts(const struct poison_record *r, unsigned int at, msec last)
{
	return at == 0 || record_kind(r) != POISON_KIND_PART ||
	       r->lives[at].ended_at - last >= POISON_MOMENT_MS;
}

/* The time of the n-th end that counts; MSEC_NEVER: there are fewer. */
static msec
record_end_at(const struct poison_record *r, unsigned int n)
{
	unsigned int i, counted = 0;
	msec last = 0;

	for (i = 0; i < r->nlives; i++) {
		if (!end_counts(r, i, last))
			continue;
		last = r->lives[i].ended_at;
		if (++counted == n)
			return last;
	}
	return MSEC_NEVER;
}

unsigned int
record_ends(const struct poison_record *r)
{
	unsigned int n = 0;

	if (record_kind(r) != POISON_KIND_PART)
		return r->nlives;
	while (n < r->nlives && record_end_at(r, n + 1) != MSEC_NEVER)
		n++;
	return n;
}

bool
record_has_enough(const struct poison_record *r)
{
	return record_ends(r) >= record_ends_enough(r);
}

bool
record_needs_permit(const struct poison_record *r)
{
	if (record_kind(r) == POISON_KIND_PART)
		return record_ends(r) >= POISON_PART_PERMIT_ENDS;
	return r->nlives > 0;
}

/* Is an end at `at` excused by an answer at `served`? */
static bool
answer_excuses(const struct poison_record *r, msec served, msec at)
{
	msec proof =
	    record_kind(r) == POISON_KIND_PART ? POISON_PART_PROOF_MS : 0;

	return served != MSEC_NEVER && served + proof >= at;
}

/*
 * The end to drop for another one: one that does not count, else the oldest
 * after those that condemn it.
 */
static unsigned int
record_end_to_drop(const struct poison_record *r)
{
	unsigned int i;
	msec last = 0;

	for (i = 0; i < r->nlives; i++) {
		if (!end_counts(r, i, last))
			return i;
		last = r->lives[i].ended_at;
	}
	return record_ends_enough(r);
}

static void
record_make_room(struct poison_record *r)
{
	unsigned int at;

	if (r->nlives < POISON_ENDS_STORED)
		return;
	at = record_end_to_drop(r);
	memmove(&r->lives[at], &r->lives[at + 1],
	    (POISON_ENDS_STORED - at - 1) * sizeof *r->lives);
	r->nlives--;
}

bool
record_add_end(
    struct poisons *p, struct poison_record *r, uint64_t life, msec at)
{
	unsigned int i;

	if (answer_excuses(r, r->served, at))
		return false;
	for (i = 0; i < r->nlives; i++) {
		if (r->lives[i].life == life)
			return false;
	}
	record_make_room(r);
	for (i = r->nlives; i > 0 && r->lives[i - 1].ended_at > at; i--)
		r->lives[i] = r->lives[i - 1];
	r->lives[i] = (struct poison_process){ life, at };
	r->nlives++;
	record_move_to_list(p, r);
	return true;
}

bool
record_add_answer(struct poisons *p, struct poison_record *r, msec at)
{
	unsigned int i, kept = 0;

	if (r->served != MSEC_NEVER && r->served >= at)
		return false;
	r->served = at;
	for (i = 0; i < r->nlives; i++) {
		if (!answer_excuses(r, at, r->lives[i].ended_at))
			r->lives[kept++] = r->lives[i];
	}
	if (kept == r->nlives)
		return false;
	r->nlives = kept;
	record_move_to_list(p, r);
	return true;
}

msec
record_trial_at(const struct poison_record *r)
{
	msec wait = POISON_TRIAL_MS, first;
	unsigned int i;

	if (!record_has_enough(r))
		return 0;
	first = record_end_at(r, record_ends_enough(r)) + POISON_TRIAL_GRACE_MS;
	for (i = 0; i < r->nlives; i++) {
		if (r->lives[i].ended_at > first)
			wait *= POISON_TRIAL_FACTOR;
	}
	return r->lives[r->nlives - 1].ended_at + wait;
}

bool
record_is_condemned(const struct poison_record *r, msec now)
{
	return record_has_enough(r) && now < record_trial_at(r);
}

/* ---- messages ---- */

static uint32_t
age_encode(msec at, msec now)
{
	if (at == MSEC_NEVER || now - at >= (msec)POISON_AGE_NEVER)
		return POISON_AGE_NEVER;
	return (uint32_t)MAX(now - at, 0);
}

void
record_encode(const struct poison_record *r, msec now, sp_poison_record *m,
    sp_poison_life *lives)
{
	unsigned int i;

	*m = (sp_poison_record){ .high = r->id.high, .low = r->id.low };
	m->lives.lives_val = lives;
	m->lives.lives_len = r->nlives;
	m->served_age_ms = age_encode(r->served, now);
	for (i = 0; i < r->nlives; i++)
		lives[i] = (sp_poison_life){ r->lives[i].life,
			age_encode(r->lives[i].ended_at, now) };
}

/* Returns true if the record has changed. */
bool
record_merge(struct poisons *p, msec now, const sp_poison_record *m,
    struct poison_record **found)
{
	struct poison_id id = { m->high, m->low };
	struct poison_record *r;
	bool changed = false;
	unsigned int i;

	*found = NULL;
	if (poison_id_is_none(id) ||
	    (m->lives.lives_len == 0 && record_find(p, id) == NULL))
		return false;
	*found = r = record_get(p, id);
	if (m->served_age_ms != POISON_AGE_NEVER)
		changed = record_add_answer(p, r, now - m->served_age_ms);
	for (i = 0; i < m->lives.lives_len; i++)
		changed |= record_add_end(p, r, m->lives.lives_val[i].life,
		    now - m->lives.lives_val[i].age_ms);
	return changed;
}

bool
record_corrects(
    const struct poison_record *r, msec now, const sp_poison_record *m)
{
	msec theirs = MSEC_NEVER;
	unsigned int i;
	msec at;

	if (m->served_age_ms != POISON_AGE_NEVER)
		theirs = now - m->served_age_ms;
	for (i = 0; i < m->lives.lives_len; i++) {
		at = now - m->lives.lives_val[i].age_ms;
		if (answer_excuses(r, r->served, at) &&
		    !answer_excuses(r, theirs, at))
			return true;
	}
	return false;
}
