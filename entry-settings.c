/*
 * Reloads the settings of a running entry VM after SIGHUP or when the file has
 * changed. Time limits and retry limits are applied; names and addresses need a
 * restart. If the file has errors, all settings stay as they are.
 */

#define LOG_PART "settings"
#include "entry.h"

#include <sys/stat.h>

#include <string.h>

/* Returns a value that changes with the file, or 0 if stat(2) fails. */
static int64_t
settings_stamp(const char *file)
{
	struct stat st;

	if (file == NULL || stat(file, &st) == -1)
		return 0;
	return (int64_t)st.st_mtim.tv_sec * 1000000000 + st.st_mtim.tv_nsec +
	       st.st_size + (int64_t)st.st_ino;
}

static bool
endpoint_equal(const struct endpoint *a, const struct endpoint *b)
{
	return a->address == b->address && a->port == b->port;
}

static bool
settings_need_restart(const struct settings *a, const struct settings *b)
{
	return strcmp(a->node, b->node) != 0 ||
	       strcmp(a->domain, b->domain) != 0 ||
	       !endpoint_equal(&a->caller, &b->caller) ||
	       !endpoint_equal(&a->peer, &b->peer) ||
	       !endpoint_equal(&a->ready, &b->ready) ||
	       !endpoint_equal(&a->directory, &b->directory) ||
	       !endpoint_equal(&a->metrics, &b->metrics) ||
	       !endpoint_equal(&a->store, &b->store);
}

static void
settings_copy_limits(struct settings *to, const struct settings *from)
{
	to->keys_fail_closed = from->keys_fail_closed;
	to->keys_bound = from->keys_bound;
	to->change_bound = from->change_bound;
	to->server_stay = from->server_stay;
	to->rewrite = from->rewrite;
	to->retry_permille = from->retry_permille;
	to->retry_fixed = from->retry_fixed;
	to->retry_window = from->retry_window;
	to->stop_deadline = from->stop_deadline;
	to->memory_mb = from->memory_mb;
	memcpy(to->sound_parts, from->sound_parts, sizeof to->sound_parts);
	to->nsound_parts = from->nsound_parts;
}

static void
settings_log(struct entry *e, msec now, const char *what)
{
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_RELOAD,
	    LOG_TEXT(LOG_KEY_REASON, what));
}

void
entry_settings_read(struct entry *e, msec now)
{
	const struct finding *one;
	struct findings findings;
	struct settings s;

	e->settings_stamp = settings_stamp(e->settings_file);
	findings_init(&findings);
	if (!settings_load(&s, e->settings_file, &findings)) {
		TAILQ_FOREACH (one, &findings.list, entry) {
			g_autofree char *text = g_strdup_printf(
			    "settings not changed; %s:%u:%u: %s", one->file,
			    one->line, one->column, one->text);

			settings_log(e, now, text);
		}
	} else {
		settings_log(e, now,
		    settings_need_restart(e->settings, &s)
			? "limits applied; names and addresses need a restart"
			: "settings applied");
		settings_copy_limits(e->settings, &s);
		entry_poison_set_sound_parts(e);
		entry_memory_apply_settings(e);
		entry_state_apply(e);
		settings_finish(&s);
	}
	findings_finish(&findings);
}

void
entry_settings_check(struct entry *e, msec now)
{
	int64_t stamp = settings_stamp(e->settings_file);

	if (stamp != 0 && stamp != e->settings_stamp) {
		/* The first check only records the stamp of the file. */
		if (e->settings_stamp == 0)
			e->settings_stamp = stamp;
		else
			entry_settings_read(e, now);
	}
}
