/*
 * Reacts to eras of the platform's store; see entry-era.h.
 */

#define LOG_PART "era"
#include "entry.h"

#include <inttypes.h>

/*
 * Time for all nodes to read what was written again after the store's return.
 */
#define ERA_READ_DELAY_MS 1000
/*
 * Greatest age of a restored copy: it may list servers that went away within
 * this time.
 */
#define ERA_COPY_AGE_MAX_MS 20000

static void
entry_era_log(struct entry *e, msec now, const char *state)
{
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_ERA,
	    LOG_TEXT(LOG_KEY_STATE, state),
	    LOG_NUMBER(LOG_KEY_ERA, e->era.number),
	    LOG_NUMBER(
		LOG_KEY_VERSION, e->table != NULL ? e->table->version : 0),
	    LOG_NUMBER(LOG_KEY_PROOF_MS, fresh_age(&e->fresh, now)));
}

static void
entry_era_first_seen(struct entry *e, msec now)
{
	if (e->era.number == 0)
		return;
	servers_set_retention(&e->servers, ERA_COPY_AGE_MAX_MS);
	entry_duty_set_era(e);
}

/*
 * The store was restored from an older copy. What was read before stays in
 * force, but is no longer proven to be the newest. Servers that are missing
 * from the list stay in use, because they may not have registered again yet;
 * servers that are known to be gone are not taken back from the older list.
 */
static void
entry_era_changed(struct entry *e, msec now)
{
	msec until = now + e->settings->rewrite + ERA_READ_DELAY_MS;

	servers_set_retention(&e->servers, ERA_COPY_AGE_MAX_MS);
	servers_keep_unlisted(&e->servers, until);
	servers_keep_gone(&e->servers, until);
	relay_drop_confirmations(&e->relay);
	entry_duty_log_rewound(e, now);
	stream_versions_store_again(&e->versions.core);
	entry_poison_store_again(e, now);
	e->source->ops->store_restored(e->source);
	entry_era_log(e, now, "changed");
}

enum era_verdict
entry_era_observe(struct entry *e, uint64_t number, msec now)
{
	bool first = !e->era.has_answer;
	enum era_verdict verdict = era_check_answer(&e->era, now, number);

	switch (verdict) {
	case ERA_CURRENT:
		if (first)
			entry_era_first_seen(e, now);
		break;
	case ERA_INCREASED:
		entry_era_changed(e, now);
		break;
	case ERA_OUTDATED:
		entry_log(&e->log, now, ENTRY_LOG_ROUTINE, LOG_EVENT_ERA,
		    LOG_TEXT(LOG_KEY_STATE, number == 0 ? "not named" : "over"),
		    LOG_NUMBER(LOG_KEY_ERA, number));
		break;
	}
	return verdict;
}

/*
 * If keys need not fail closed, a starting node that received no information
 * about the era from other nodes treats it as settled and accepts keys at once.
 */
static bool
entry_era_assumed_settled(const struct entry *e)
{
	return e->start.unanswered && !e->settings->keys_fail_closed &&
	       e->era.counters.changes == 0;
}

bool
entry_era_proves_newest(const struct entry *e, msec read_sent_at)
{
	uint64_t newest =
	    MAX(members_newest_version(&e->members), e->start.version);

	if (e->era.number == 0)
		return true;
	return (era_is_settled(&e->era, read_sent_at, e->settings->rewrite) ||
		   entry_era_assumed_settled(e)) &&
	       e->table->version >= newest;
}

void
entry_era_settled_recorded(struct entry *e, uint64_t number, msec now)
{
	if (number != e->era.number || entry_era_settled(e, now) != 0)
		return;
	era_set_min_age(&e->era, now, number, (uint32_t)e->settings->rewrite);
	/* Reads sent before this point prove nothing: read again. */
	e->source->ops->read(e->source, RELAY_CONFIGURATION);
}

uint64_t
entry_era_settled(const struct entry *e, msec now)
{
	return era_is_settled(&e->era, now, e->settings->rewrite)
		   ? e->era.number
		   : 0;
}

/*
 * Guards against all nodes rejecting keys after all processes were killed
 * together: without the record in the store no node could tell how old the era
 * is.
 */
void
entry_era_tick(struct entry *e, msec now)
{
	uint64_t settled = entry_era_settled(e, now);

	if (e->phase != ENTRY_SERVING || settled == e->era_recorded)
		return;
	e->era_recorded = settled;
	if (settled != 0)
		e->source->ops->announce(e->source);
}

uint64_t
entry_era_mix_into_mark(const struct entry *e, uint64_t mark)
{
	return era_mix_mark(&e->era, mark);
}

void
entry_era_metrics(const struct entry *e, GString *s, msec now)
{
	const struct era_counters *c = &e->era.counters;

	metrics_value(s, "store_era", "gauge",
	    "Of the platform's store; 0: it names none.",
	    (int64_t)e->era.number);
	metrics_value(s, "store_settled", "gauge",
	    "What it lost had time to be written again.",
	    era_is_settled(&e->era, now, e->settings->rewrite));
	metrics_value(s, "store_changes_total", "counter",
	    "Times that it came back from an older copy.", (int64_t)c->changes);
	metrics_value(s, "store_old_answers_total", "counter",
	    "Answers of an era that is over, not believed.", (int64_t)c->old);
	metrics_value(s, "store_unnamed_answers_total", "counter",
	    "Answers without an era, not believed.", (int64_t)c->without_era);
}

void
entry_era_dump(const struct entry *e, GString *s, msec now)
{
	if (e->era.number == 0)
		return;
	g_string_append_printf(s,
	    "store era %" PRIu64 " age-ms %" PRId64 " settled %s changes "
	    "%" PRIu64 " newest-heard %" PRIu64 "\n",
	    e->era.number, now - e->era.since,
	    era_is_settled(&e->era, now, e->settings->rewrite) ? "yes" : "no",
	    e->era.counters.changes,
	    MAX(members_newest_version(&e->members), e->start.version));
}
