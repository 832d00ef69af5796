/*
 * What the holder of the duty keeps: the usage windows with final counts, and
 * the notes that it saves in the log for the next holder.
 */

#define LOG_PART "duty"
#include "entry-duty-private.h"

#include <string.h>

struct duty_window *
duty_window_slot(struct entry_duty *x, uint64_t number)
{
	return &x->windows[number % x->usage.nwindows];
}

static void
window_clear(struct duty_window *w)
{
	if (w->counts != NULL)
		json_decref(w->counts);
	*w = (struct duty_window){ 0 };
}

void
duty_window_set(struct entry_duty *x, uint64_t number, json_t *counts,
    bool saved, bool done)
{
	struct duty_window *w = duty_window_slot(x, number);

	window_clear(w);
	*w = (struct duty_window){ true, number, counts, saved, done, false };
	usage_decided(&x->usage, number);
}

void
duty_windows_clear(struct entry_duty *x)
{
	unsigned int i;

	for (i = 0; i < x->usage.nwindows; i++)
		window_clear(&x->windows[i]);
}

msec
duty_window_time_left(const struct entry *e, uint64_t number, msec now)
{
	const struct entry_duty *x = e->duty;

	return (msec)(number + 1) * x->usage.window +
	       e->settings->usage_lateness - usage_true(&x->usage, now);
}

/*
 * Converts counts by name hash to counts by name. Counts of organisations that
 * the configuration no longer contains are dropped.
 */
static json_t *
counts_by_name(struct entry *e, GHashTable *sum)
{
	const struct route_table *t = e->table;
	json_t *counts = json_object();
	unsigned int i, n;
	name_id id;

	for (i = 0; t != NULL && i < t->norganisations; i++) {
		id = name_hash(t->organisations[i].name);
		n = GPOINTER_TO_UINT(g_hash_table_lookup(sum, &id));
		if (n > 0)
			json_object_set_new(
			    counts, t->organisations[i].name, json_integer(n));
	}
	return counts;
}

json_t *
duty_window_counts(struct entry *e, uint64_t number)
{
	GHashTable *sum = usage_sum(&e->duty->usage, number);
	json_t *counts = counts_by_name(e, sum);

	g_hash_table_unref(sum);
	return counts;
}

static json_t *
notes_windows(struct entry *e, msec now)
{
	struct entry_duty *x = e->duty;
	uint64_t current =
	    (uint64_t)(usage_true(&x->usage, now) / x->usage.window);
	json_t *list = json_array(), *counts;
	struct duty_window *w;
	uint64_t n;

	for (n = current - x->usage.nwindows + 2; n <= current; n++) {
		w = duty_window_slot(x, n);
		if (w->used && w->number == n) {
			w->in_pending_append = true;
			json_array_append_new(
			    list, json_pack("{s:I,s:b,s:b,s:O}", "window",
				      (json_int_t)n, "decided", 1, "done",
				      w->done, "counts", w->counts));
			continue;
		}
		counts = duty_window_counts(e, n);
		json_array_append_new(
		    list, json_pack("{s:I,s:b,s:o}", "window", (json_int_t)n,
			      "decided", 0, "counts", counts));
	}
	return list;
}

json_t *
duty_notes_capacity(const struct capacity *c)
{
	json_t *needed = json_object();
	unsigned int i;

	for (i = 0; i < c->nservices; i++)
		json_object_set_new(needed, c->services[i].config.name,
		    json_integer(c->services[i].needed));
	return needed;
}

char *
duty_notes_write(struct entry *e, msec now)
{
	struct entry_duty *x = e->duty;
	json_t *top;
	char *text;

	top = json_pack("{s:I,s:I,s:o,s:o}", "era", (json_int_t)e->era.number,
	    "at", (json_int_t)usage_true(&x->usage, now), "windows",
	    x->usage.window > 0 ? notes_windows(e, now) : json_array(),
	    "servers", duty_notes_capacity(&x->capacity));
	text = json_dumps(top, JSON_COMPACT);
	json_decref(top);
	return text;
}

static void
notes_read_window(struct entry *e, const json_t *o, msec at)
{
	struct entry_duty *x = e->duty;
	json_t *counts = json_object_get(o, "counts"), *count;
	uint64_t number =
	    (uint64_t)json_integer_value(json_object_get(o, "window"));
	const char *name;

	if (!json_is_object(counts) || number == 0 || x->usage.window == 0)
		return;
	if (json_is_true(json_object_get(o, "decided"))) {
		duty_window_set(x, number, json_incref(counts), true,
		    json_is_true(json_object_get(o, "done")));
		return;
	}
	json_object_foreach (counts, name, count)
		usage_set_previous_count(&x->usage, number, at, name_hash(name),
		    (unsigned int)CLAMP(
			json_integer_value(count), 0, G_MAXINT32));
}

void
duty_notes_read_capacity(struct capacity *c, const json_t *needed)
{
	struct capacity_service *s;
	json_int_t count;
	unsigned int i;

	for (i = 0; i < c->nservices; i++) {
		s = &c->services[i];
		count =
		    json_integer_value(json_object_get(needed, s->config.name));
		s->previous_needed = (unsigned int)CLAMP(count, 0, 1000000);
	}
}

/*
 * Guards against reporting a window twice with different counts. If the log was
 * restored from an older copy, the record of a report may have been lost with
 * the old era. Windows that ended before this era began and have no record are
 * marked as done; the notes pass this on to later holders.
 */
static void
windows_skip_unrecorded(struct entry *e, msec now)
{
	struct entry_duty *x = e->duty;
	msec wall = usage_true(&x->usage, now);
	uint64_t current = (uint64_t)(wall / x->usage.window), n;
	uint64_t begun =
	    (uint64_t)((wall - (now - e->era.since)) / x->usage.window);
	const struct duty_window *w;

	for (n = current - x->usage.nwindows + 2; n < begun; n++) {
		w = duty_window_slot(x, n);
		if (w->used && w->number == n)
			continue;
		duty_window_set(x, n, json_object(), false, true);
		x->skipped++;
	}
}

void
duty_notes_read(struct entry *e, const char *notes, msec now)
{
	struct entry_duty *x = e->duty;
	json_t *top = json_loads(notes, 0, NULL), *o;
	msec at = json_integer_value(json_object_get(top, "at"));
	uint64_t era =
	    (uint64_t)json_integer_value(json_object_get(top, "era"));
	size_t n;

	json_array_foreach (json_object_get(top, "windows"), n, o)
		notes_read_window(e, o, at);
	duty_notes_read_capacity(&x->capacity, json_object_get(top, "servers"));
	if (era != e->era.number && x->usage.window > 0)
		windows_skip_unrecorded(e, now);
	json_decref(top);
}
