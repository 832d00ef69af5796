/*
 * Records of suspect requests: the server processes that ended while executing
 * the request, and the time of its last complete answer. The result of merging
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

static struct poison_ages *
record_list(struct poisons *p, const struct poison_record *r)
{
	return r->listed_high ? &p->high : &p->low;
}

static void
record_free(struct poisons *p, struct poison_record *r)
{
	poison_share_cancel(p, r);
	TAILQ_REMOVE(record_list(p, r), r, age);
	RB_REMOVE(poison_records, &p->tree, r);
	p->count--;
	g_free(r);
}

void
records_free(struct poisons *p)
{
	struct poison_record *r;

	while ((r = RB_MIN(poison_records, &p->tree)) != NULL)
		record_free(p, r);
}

/*
 * Append a record to the list for the number of server processes that its
 * request ended: at most one, or more.
 */
static void
record_move_to_list(struct poisons *p, struct poison_record *r)
{
	TAILQ_REMOVE(record_list(p, r), r, age);
	r->listed_high = record_ends(r) > 1;
	TAILQ_INSERT_TAIL(record_list(p, r), r, age);
}

struct poison_record *
record_get(struct poisons *p, struct poison_id id)
{
	struct poison_record *r = record_find(p, id);

	if (r != NULL)
		return r;
	if (p->count == POISON_RECORDS_MAX) {
		p->counters.dropped++;
		record_free(p, TAILQ_EMPTY(&p->low) ? TAILQ_FIRST(&p->high)
						    : TAILQ_FIRST(&p->low));
	}
	r = g_new0(struct poison_record, 1);
	r->id = id;
	r->served = MSEC_NEVER;
	r->send_at = MSEC_NEVER;
	RB_INSERT(poison_records, &p->tree, r);
	TAILQ_INSERT_TAIL(&p->low, r, age);
	p->count++;
	return r;
}

unsigned int
record_ends(const struct poison_record *r)
{
	return r->nlives;
}

static bool
record_was_served_since(const struct poison_record *r, msec at)
{
	return r->served != MSEC_NEVER && r->served >= at;
}

/*
 * Make room for one more ended process: drops the oldest one after the first
 * POISON_ENDS.
 */
static void
record_make_room(struct poison_record *r)
{
	unsigned int at = POISON_ENDS;

	if (r->nlives < POISON_ENDS_STORED)
		return;
	memmove(&r->lives[at], &r->lives[at + 1],
	    (POISON_ENDS_STORED - at - 1) * sizeof *r->lives);
	r->nlives--;
}

bool
record_add_end(
    struct poisons *p, struct poison_record *r, uint64_t life, msec at)
{
	unsigned int i;

	if (record_was_served_since(r, at))
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

	if (record_was_served_since(r, at))
		return false;
	r->served = at;
	for (i = 0; i < r->nlives; i++) {
		if (r->lives[i].ended_at > at)
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

	if (r->nlives < POISON_ENDS)
		return 0;
	first = r->lives[POISON_ENDS - 1].ended_at + POISON_TRIAL_GRACE_MS;
	for (i = POISON_ENDS; i < r->nlives; i++) {
		if (r->lives[i].ended_at > first)
			wait *= POISON_TRIAL_FACTOR;
	}
	return r->lives[r->nlives - 1].ended_at + wait;
}

bool
record_is_condemned(const struct poison_record *r, msec now)
{
	return r->nlives >= POISON_ENDS && now < record_trial_at(r);
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
