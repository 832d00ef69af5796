/*
 * Fair shares of organisations while room is short; see fair-share.h.
 */

#include "fair-share.h"

#include <math.h>

/* Smoothing time of what was asked for and admitted. */
#define SHARE_SMOOTH_MS 4000.0
/* Room counts as short for this time. */
#define SHARE_SHORT_MS 300
/* The level is computed at most once in this time. */
#define SHARE_LEVEL_MS 100
/* Halvings of the range in which the level lies. */
#define SHARE_LEVEL_STEPS 20
/*
 * Each organisation's share is at least this part of what it would get if all
 * were admitted equally often, so that none starves.
 */
#define SHARE_FLOOR_PART (1.0 / 3)
/* Change of the factor for what was admitted, as a part of the share. */
#define SHARE_GAIN 4.0
/* Bounds of the factor. */
#define SHARE_FACTOR_MIN 0.4
#define SHARE_FACTOR_MAX 1.1
/* Organisations that asked for less in the last seconds do not count. */
#define SHARE_TOKENS_MIN 1.0
/* Table entries that an organisation may use. */
#define SHARE_PROBES 8

static void
entry_decay(struct fair_share_entry *e, msec now)
{
	double keep = exp(-(double)(now - e->at) / SHARE_SMOOTH_MS);

	e->asked *= keep;
	e->admitted *= keep;
	e->at = now;
}

/* The organisation's entry, or the one that it should take. */
static struct fair_share_entry *
entry_find(struct fair_share *s, msec now, name_id organisation)
{
	struct fair_share_entry *e, *best = NULL;
	unsigned int i;

	for (i = 0; i < SHARE_PROBES; i++) {
		e = &s->entries[(organisation + i) % FAIR_SHARE_PLACES];
		if (!e->used)
			return e;
		entry_decay(e, now);
		if (e->organisation == organisation)
			return e;
		if (best == NULL || e->asked < best->asked)
			best = e;
	}
	return best;
}

static struct fair_share_entry *
entry_get(struct fair_share *s, msec now, name_id organisation)
{
	struct fair_share_entry *e = entry_find(s, now, organisation);

	if (!e->used || e->organisation != organisation)
		*e = (struct fair_share_entry){
			.organisation = organisation, .used = true, .at = now
		};
	return e;
}

void
fair_share_ask(
    struct fair_share *s, msec now, name_id organisation, unsigned int tokens)
{
	entry_get(s, now, organisation)->asked += tokens;
}

void
fair_share_admit(
    struct fair_share *s, msec now, name_id organisation, unsigned int tokens)
{
	entry_get(s, now, organisation)->admitted += tokens;
}

void
fair_share_set_short(struct fair_share *s, msec now)
{
	s->short_at = now;
}

static double
entry_share(
    const struct fair_share *s, const struct fair_share_entry *e, double level)
{
	return MAX(MIN(e->asked, level),
	    e->asked * s->admitted_part * SHARE_FLOOR_PART);
}

static double
shares_sum(const struct fair_share *s, double level)
{
	double sum = 0;
	unsigned int i;

	for (i = 0; i < FAIR_SHARE_PLACES; i++)
		sum += entry_share(s, &s->entries[i], level);
	return sum;
}

/* Finds the level at which the shares add up to what was admitted. */
static void
level_update(struct fair_share *s, msec now)
{
	double low = 0, high = 0, asked = 0, admitted = 0;
	unsigned int i;

	s->asking = 0;
	for (i = 0; i < FAIR_SHARE_PLACES; i++) {
		if (!s->entries[i].used)
			continue;
		entry_decay(&s->entries[i], now);
		s->asking += s->entries[i].asked >= SHARE_TOKENS_MIN;
		asked += s->entries[i].asked;
		admitted += s->entries[i].admitted;
		high = MAX(high, s->entries[i].asked);
	}
	s->admitted_part = asked > 0 ? MIN(admitted / asked, 1) : 1;
	for (i = 0; i < SHARE_LEVEL_STEPS; i++) {
		s->level = (low + high) / 2;
		if (shares_sum(s, s->level) < admitted)
			low = s->level;
		else
			high = s->level;
	}
	s->level = high;
	s->level_at = now;
}

bool
fair_share_applies(struct fair_share *s, msec now)
{
	if (s->short_at == 0 || now - s->short_at > SHARE_SHORT_MS)
		return false;
	if (s->level_at == 0 || now - s->level_at >= SHARE_LEVEL_MS)
		level_update(s, now);
	return s->asking > 1;
}

double
fair_share_factor(struct fair_share *s, msec now, name_id organisation)
{
	const struct fair_share_entry *e = entry_get(s, now, organisation);
	double share = entry_share(s, e, s->level);

	if (share <= 0)
		return 1;
	return CLAMP(1 + SHARE_GAIN * (1 - e->admitted / share),
	    SHARE_FACTOR_MIN, SHARE_FACTOR_MAX);
}
