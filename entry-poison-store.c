/*
 * Records of poison requests in the platform's store; see entry-poison-store.h.
 */

#define LOG_PART "poison"
#include "entry.h"

#include <inttypes.h>

/* First and longest pause after a failed call; up to as much is added. */
#define STORE_RETRY_MS 250
#define STORE_RETRY_MAX_MS 4000
/* Records are written again over this time after the store was restored. */
#define STORE_AGAIN_SPREAD_MS 2000

static void
store_failed(struct entry *e, msec now)
{
	struct entry_poison_store *x = &e->poison_store;
	msec pause = MIN(
	    (msec)STORE_RETRY_MS << MIN(x->failures, 8), STORE_RETRY_MAX_MS);

	x->failed++;
	x->failures++;
	x->retry_at = now + pause + g_rand_int_range(e->rand, 0, (gint32)pause);
}

static void
store_read(struct entry *e)
{
	e->poison_store.busy = true;
	e->poison_store.reads++;
	e->source->ops->suspects_read(e->source);
}

static void
store_write(struct entry *e, msec now)
{
	struct entry_poison_store *x = &e->poison_store;
	struct source_record list[POISON_WRITE_MAX];
	char keys[POISON_WRITE_MAX][POISON_KEY_SIZE];
	unsigned int i, n = 0;

	while (n < POISON_WRITE_MAX &&
	       poisons_take_unwritten(&e->poison.core, now, msec_wall(),
		   &x->writing[n], &list[n].text)) {
		poison_key_print(x->writing[n], keys[n]);
		list[n].key = keys[n];
		n++;
	}
	if (n == 0)
		return;
	x->nwriting = n;
	x->busy = true;
	x->writes++;
	e->source->ops->suspects_write(e->source, list, n);
	for (i = 0; i < n; i++)
		g_free(list[i].text);
}

void
entry_poison_store_tick(struct entry *e, msec now)
{
	struct entry_poison_store *x = &e->poison_store;

	if (x->busy || now < x->retry_at)
		return;
	if (x->was_read)
		store_write(e, now);
	else
		store_read(e);
}

void
entry_poison_store_again(struct entry *e, msec now)
{
	poisons_write_all(&e->poison.core,
	    now + g_rand_int_range(e->rand, 0, STORE_AGAIN_SPREAD_MS));
}

void
entry_suspects_read(struct entry *e, GHashTable *texts, msec now)
{
	struct entry_poison_store *x = &e->poison_store;
	msec wall = msec_wall();
	gpointer key, text;
	GHashTableIter it;

	x->busy = false;
	if (texts == NULL) {
		store_failed(e, now);
		return;
	}
	x->failures = 0;
	x->was_read = true;
	g_hash_table_iter_init(&it, texts);
	while (g_hash_table_iter_next(&it, &key, &text)) {
		if (!poisons_load(&e->poison.core, now, wall, key, text))
			log_warn("record %.40s in the store is malformed",
			    (const char *)key);
	}
	if (g_hash_table_size(texts) > 0)
		entry_log(&e->log, now, ENTRY_LOG_NEEDED,
		    LOG_EVENT_SUSPECTS_READ,
		    LOG_NUMBER(LOG_KEY_COUNT, g_hash_table_size(texts)));
	entry_poison_reschedule(e, now);
}

void
entry_suspects_written(struct entry *e, bool ok, msec now)
{
	struct entry_poison_store *x = &e->poison_store;
	unsigned int i;

	x->busy = false;
	if (ok) {
		x->failures = 0;
		store_write(e, now);
		return;
	}
	store_failed(e, now);
	for (i = 0; i < x->nwriting; i++)
		poisons_write_again(
		    &e->poison.core, x->writing[i], x->retry_at);
}

void
entry_poison_store_metrics(const struct entry *e, GString *s)
{
	const struct entry_poison_store *x = &e->poison_store;

	g_string_append_printf(s,
	    "# HELP savory_entry_poison_store_calls_total Reads and writes of "
	    "the requests and parts that end servers, in the platform's "
	    "store.\n"
	    "# TYPE savory_entry_poison_store_calls_total counter\n"
	    "savory_entry_poison_store_calls_total{call=\"read\"} %" PRIu64 "\n"
	    "savory_entry_poison_store_calls_total{call=\"write\"} %" PRIu64
	    "\n"
	    "savory_entry_poison_store_calls_total{call=\"failed\"} %" PRIu64
	    "\n",
	    x->reads, x->writes, x->failed);
}
