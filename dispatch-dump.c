/*
 * Prints the state of dispatch as text for operators.
 */

#define LOG_PART "dispatch"
#include "dispatch-private.h"

static void dump_queue(GString *, const struct engine *);
static void dump_engine(GString *, msec, const struct engine *);

/* Queued requests and floor credit of each class that has any queued. */
static void
dump_queue(GString *s, const struct engine *e)
{
	const struct class_queue *cq;
	unsigned int i;

	for (i = 0; i < DOCUMENT_CLASSES_MAX; i++) {
		cq = &e->owner_state->queue.classes[i];
		if (cq->count == 0)
			continue;
		g_string_append_printf(s, " %s %u owed %.0f",
		    service_class(e->service, i)->name, cq->count,
		    cq->floor_credit);
	}
}

static void
dump_engine(GString *s, msec now, const struct engine *e)
{
	const struct owner_state *o = e->owner_state;

	g_string_append_printf(s,
	    "engine %016" PRIx64 " owner %016" PRIx64
	    " ours-running %u slots-heard %u token-ms %.1f%s%s",
	    e->id, e->owner, e->nrunning, e->slots, e->token_ms,
	    e->leaving ? " leaving" : "", e->gone ? " gone" : "");
	if (now < e->failed_until)
		g_string_append_printf(
		    s, " avoided-ms %" PRId64, e->failed_until - now);
	if (o != NULL) {
		g_string_append_printf(s,
		    " owned running %u queued %u slots %.1f first-token-ms %.0f"
		    " failures %u",
		    o->running, o->queue.count, o->slots.limit,
		    o->slots.first_token, o->failures);
		dump_queue(s, e);
	}
	g_string_append_c(s, '\n');
}

char *
dispatch_dump(struct dispatch *d, msec now)
{
	struct dispatch_data *p = d->priv;
	GString *s = g_string_new(NULL);
	GHashTableIter it;
	struct peer *peer;
	struct engine *e;

	g_string_append_printf(s,
	    "policy %s waiting %u known-requests %u submitted %" PRIu64
	    " granted %" PRIu64 " refused %" PRIu64 " cancelled %" PRIu64 "\n",
	    p->policy->name, p->nwaiting, g_hash_table_size(p->requests),
	    d->counters.submitted, d->counters.granted, d->counters.refused,
	    d->counters.cancelled);
	g_hash_table_iter_init(&it, p->peers);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&peer))
		g_string_append_printf(s,
		    "node %016" PRIx64 " incarnation %" PRIu64 "%s\n", peer->id,
		    peer->incarnation, peer->takes_work ? "" : " no-work");
	g_hash_table_iter_init(&it, p->engines);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&e))
		dump_engine(s, now, e);
	return g_string_free(s, FALSE);
}
