/*
 * Records of poison requests in the platform's store, which outlive all nodes:
 * which node writes them, and their text. See poison.h.
 *
 * A text is a version, then for each ended process its id in hexadecimal and
 * the wall clock of its end in ms.
 */

#define LOG_PART "poison"
#include "poison-private.h"

#include <inttypes.h>
#include <string.h>

#define STORE_FORMAT "1"
/* The deputy writes a record, too, as its owner may be cut off from the store.
 */
#define STORE_DEPUTY_DELAY_MS (2 * MSEC_SECOND)
/* A record counts no more when its last end was so long ago. */
#define STORE_AGE_MAX_MS (24 * 60 * 60 * MSEC_SECOND)

void
poison_key_print(struct poison_id id, char key[POISON_KEY_SIZE])
{
	g_snprintf(
	    key, POISON_KEY_SIZE, "%016" PRIx64 "%016" PRIx64, id.high, id.low);
}

static bool
key_parse(const char *key, struct poison_id *id)
{
	g_autofree char *high = g_strndup(key, 16);

	return strlen(key) == POISON_KEY_SIZE - 1 &&
	       g_ascii_string_to_unsigned(
		   high, 16, 0, G_MAXUINT64, &id->high, NULL) &&
	       g_ascii_string_to_unsigned(
		   key + 16, 16, 0, G_MAXUINT64, &id->low, NULL);
}

/* ---- writing ---- */

static void
record_schedule_write(struct poisons *p, struct poison_record *r, msec at)
{
	p->nunwritten += (at != MSEC_NEVER) - (r->write_at != MSEC_NEVER);
	r->write_at = at;
}

void
poison_store_cancel(struct poisons *p, struct poison_record *r)
{
	record_schedule_write(p, r, MSEC_NEVER);
}

/* As its owner or deputy, write the record from `at` on. */
static void
record_write_at(struct poisons *p, struct poison_record *r, msec at)
{
	name_id owner, deputy;

	poison_share_owners(p, r->id, &owner, &deputy);
	if (p->self == deputy)
		at += STORE_DEPUTY_DELAY_MS;
	if (p->self == owner || p->self == deputy)
		record_schedule_write(p, r, MIN(at, r->write_at));
}

void
poison_store_changed(struct poisons *p, msec now, struct poison_record *r,
    unsigned int ends_before)
{
	unsigned int ends = MAX(ends_before, record_ends(r));

	if (p->loading || ends < poison_share_least(r))
		return;
	record_write_at(p, r, now);
	if (r->write_at <= now)
		p->ops->unwritten(p, now);
}

static char *
record_print(const struct poison_record *r, msec now, msec wall)
{
	GString *text = g_string_new(STORE_FORMAT);
	unsigned int i;

	for (i = 0; i < r->nlives; i++)
		g_string_append_printf(text, " %" PRIx64 " %" PRId64,
		    r->lives[i].life, wall - (now - r->lives[i].ended_at));
	return g_string_free(text, FALSE);
}

static struct poison_record *
record_find_unwritten(struct poisons *p, msec now)
{
	unsigned int kind, level;
	struct poison_record *r;

	for (kind = 0; kind < POISON_KINDS; kind++) {
		for (level = 0; level < POISON_LEVELS; level++) {
			TAILQ_FOREACH (r, &p->lists[kind][level], age) {
				if (r->write_at <= now)
					return r;
			}
		}
	}
	return NULL;
}

bool
poisons_take_unwritten(
    struct poisons *p, msec now, msec wall, struct poison_id *id, char **text)
{
	struct poison_record *r;

	if (p->nunwritten == 0 || (r = record_find_unwritten(p, now)) == NULL)
		return false;
	record_schedule_write(p, r, MSEC_NEVER);
	*id = r->id;
	*text = record_ends(r) >= poison_share_least(r)
		    ? record_print(r, now, wall)
		    : NULL;
	return true;
}

void
poisons_write_again(struct poisons *p, struct poison_id id, msec at)
{
	struct poison_record *r = record_find(p, id);

	if (r != NULL)
		record_schedule_write(p, r, MIN(at, r->write_at));
}

void
poisons_write_all(struct poisons *p, msec at)
{
	struct poison_record *r;

	RB_FOREACH (r, poison_records, &p->tree) {
		if (r->broadcast || record_ends(r) >= poison_share_least(r))
			record_write_at(p, r, at);
	}
}

/* ---- reading ---- */

/*
 * The ends' ages; if the writer's clock is ahead of this one, the newest end
 * is now, and the others are as long before it as they were.
 */
static void
record_set_ages(sp_poison_record *m, const gint64 *ended_at, msec wall)
{
	gint64 newest = G_MININT64, age;
	u_int i;

	for (i = 0; i < m->lives.lives_len; i++)
		newest = MAX(newest, ended_at[i]);
	for (i = 0; i < m->lives.lives_len; i++) {
		age = MAX(newest, wall) - ended_at[i];
		m->lives.lives_val[i].age_ms =
		    (u_int)MIN(age, STORE_AGE_MAX_MS);
	}
}

static bool
record_parse(
    sp_poison_record *m, sp_poison_life *lives, msec wall, const char *text)
{
	g_auto(GStrv) words = g_strsplit(text, " ", -1);
	unsigned int i, n = g_strv_length(words);
	gint64 ended_at[SAVORY_LIVES_MAX];
	u_int *k = &m->lives.lives_len;
	guint64 life;

	if (n % 2 == 0 || n > 1 + 2 * SAVORY_LIVES_MAX ||
	    strcmp(words[0], STORE_FORMAT) != 0)
		return false;
	m->lives.lives_val = lives;
	for (i = 1; i < n; i += 2, (*k)++) {
		if (!g_ascii_string_to_unsigned(
			words[i], 16, 0, G_MAXUINT64, &life, NULL) ||
		    !g_ascii_string_to_signed(
			words[i + 1], 10, 0, G_MAXINT64, &ended_at[*k], NULL))
			return false;
		lives[*k].life = life;
	}
	record_set_ages(m, ended_at, wall);
	return true;
}

static bool
record_is_recent(const sp_poison_record *m)
{
	u_int i;

	for (i = 0; i < m->lives.lives_len; i++) {
		if (m->lives.lives_val[i].age_ms < STORE_AGE_MAX_MS)
			return true;
	}
	return false;
}

bool
poisons_load(
    struct poisons *p, msec now, msec wall, const char *key, const char *text)
{
	sp_poison_life lives[SAVORY_LIVES_MAX];
	sp_poison_record m = { .served_age_ms = UINT32_MAX };
	struct poison_id id;

	if (!key_parse(key, &id) || !record_parse(&m, lives, wall, text))
		return false;
	if (!record_is_recent(&m))
		return true;
	m.high = id.high;
	m.low = id.low;
	p->loading = true;
	record_receive(p, now, 0, &m);
	p->loading = false;
	return true;
}
