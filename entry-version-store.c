/*
 * Software versions in the platform's store; see entry-version-store.h.
 */

#define LOG_PART "version"
#include "entry.h"
#include "stream-log.h"
#include "version-set.h"

#include <inttypes.h>

#include <xxhash.h>

/* Recorders that write the sets at once. */
#define STORE_WRITERS 2
/*
 * Each further recorder looks so much later whether that was done: those before
 * it may be cut off from the store.
 */
#define STORE_STEP_MS 500
/*
 * A version is left out of its set so long after it has stopped to count, as
 * nodes do not see the last server leave at the same moment.
 */
#define STORE_LEAVE_OUT_MS (10 * MSEC_SECOND)
/* First and longest pause after a failed call; up to as much is added. */
#define STORE_RETRY_MS 250
#define STORE_RETRY_MAX_MS 4000
/*
 * A log that is longer than what one read gives is read to its end by recorders
 * only. Nodes that start know by then whether they are.
 */
#define STORE_LOG_WAIT_MS 1500

static void
store_log(struct entry *e, msec now, const char *state, const char *service,
    const struct version_set *s)
{
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_VERSIONS,
	    LOG_TEXT(LOG_KEY_STATE, state), LOG_TEXT(LOG_KEY_SERVICE, service),
	    LOG_TEXT(LOG_KEY_OUTCOME, s->complete ? "complete" : "partial"),
	    LOG_NUMBER(LOG_KEY_COUNT, s->n), LOG_NUMBER(LOG_KEY_ERA, s->era));
}

static void
store_failed(struct entry *e, msec now)
{
	struct entry_version_store *x = &e->version_store;
	msec pause = MIN(
	    (msec)STORE_RETRY_MS << MIN(x->failures, 8), STORE_RETRY_MAX_MS);

	x->counters.failed++;
	x->failures++;
	x->retry_at = now + pause + g_rand_int_range(e->rand, 0, (gint32)pause);
}

/* ---- at the start ---- */

/*
 * Versions of a store that lost what was written last are reckoned with, but
 * there may be more.
 */
static void
store_take_set(struct entry *e, const char *service, const char *text, msec now)
{
	struct server_versions *vs = &e->servers.versions;
	name_id id = name_hash(service);
	struct version_set s;
	unsigned int i;

	if (!version_set_parse(&s, text)) {
		log_warn("versions of %s in the store are malformed", service);
		return;
	}
	for (i = 0; i < s.n; i++)
		server_versions_note(vs, now, id, s.list[i], false);
	s.complete = s.complete && s.era == e->era.number;
	if (s.complete)
		server_versions_set_known(vs, id);
	if (!s.complete || s.n > 1)
		e->version_store.log_wanted = true;
	store_log(e, now, "read", service, &s);
}

static void
store_take_sets(struct entry *e, GHashTable *texts, msec now)
{
	gpointer service, text;
	GHashTableIter it;

	e->version_store.was_read = true;
	/* Nothing began a stream before the deployment's first start. */
	if (g_hash_table_size(texts) == 0 && e->settings->first_start)
		server_versions_set_known(&e->servers.versions, 0);
	g_hash_table_iter_init(&it, texts);
	while (g_hash_table_iter_next(&it, &service, &text))
		store_take_set(e, service, text, now);
}

/* ---- the log of streams ---- */

void
entry_version_store_streams(
    struct entry *e, const sp_stream_record *list, unsigned int n)
{
	struct buffer bytes = { 0 };

	stream_log_encode(&bytes, list, n);
	e->source->ops->streams_append(
	    e->source, buffer_bytes(&bytes), buffer_length(&bytes));
	buffer_finish(&bytes);
}

void
entry_streams_appended(struct entry *e, bool ok, msec now)
{
	stream_versions_stored(&e->versions.core, now, ok);
	entry_versions_arm_timer(e);
}

void
entry_streams_take(struct entry *e, const char *bytes, size_t n, msec now)
{
	sp_stream_record m;

	for (; stream_log_decode(bytes, n, &m); bytes += STREAM_LOG_BYTES) {
		stream_versions_load(&e->versions.core, now, &m);
		n -= STREAM_LOG_BYTES;
	}
}

void
entry_streams_read(
    struct entry *e, bool ok, uint64_t next, uint64_t end, msec now)
{
	struct entry_version_store *x = &e->version_store;
	bool goes_on = ok && next < end;

	x->log_busy = false;
	x->log_was_read = ok && !goes_on;
	if (ok)
		x->log_at = next;
	x->log_retry_at = now + (goes_on ? STORE_LOG_WAIT_MS : STORE_RETRY_MS);
	if (goes_on && stream_versions_rank(&e->versions.core) != -1 &&
	    now - e->started > STORE_LOG_WAIT_MS)
		x->log_retry_at = now;
}

static void
store_read_log(struct entry *e, msec now)
{
	struct entry_version_store *x = &e->version_store;

	if (!x->log_wanted || x->log_busy || x->log_was_read ||
	    now < x->log_retry_at)
		return;
	if (x->log_at > 0 && stream_versions_rank(&e->versions.core) == -1)
		return;
	x->log_busy = true;
	e->source->ops->streams_read(e->source, x->log_at);
}

/* ---- writing ---- */

/* Has listed the servers for so long that others need not be kept. */
static bool
store_may_leave_out(const struct entry *e, msec now)
{
	const struct servers *s = &e->servers;

	return s->complete && s->listed_since != 0 &&
	       now - s->listed_since >= s->versions.kept + STORE_LEAVE_OUT_MS;
}

static struct version_set
store_seen(const struct entry *e, name_id service, msec now)
{
	const struct server_versions *vs = &e->servers.versions;
	struct version_set seen = { .era = e->era.number,
		.complete = servers_know_versions(&e->servers, now, service) };
	name_id list[SERVER_VERSIONS_MAX];
	unsigned int i, n;

	n = server_versions_since(vs, now, service,
	    vs->kept + STORE_LEAVE_OUT_MS, list, SERVER_VERSIONS_MAX);
	for (i = 0; i < n; i++)
		version_set_add(&seen, list[i]);
	return seen;
}

/* Does a route to the service have streams that can be resumed? */
static bool
store_is_for(const struct route_table *t, name_id service)
{
	unsigned int i;

	for (i = 0; i < t->nroutes; i++) {
		if (t->routes[i].kind == ROUTE_STREAM &&
		    t->routes[i].resumable &&
		    route_has_service(&t->routes[i], service))
			return true;
	}
	return false;
}

/* A hash of all that decides what is written. */
static uint64_t
store_wanted(const struct entry *e, msec now)
{
	const struct route_table *t = e->table;
	struct version_set seen;
	uint64_t h = store_may_leave_out(e, now);
	unsigned int i;

	for (i = 0; i < t->nservices; i++) {
		if (!store_is_for(t, t->services[i].id))
			continue;
		seen = store_seen(e, t->services[i].id, now);
		h ^= XXH64(seen.list, seen.n * sizeof seen.list[0],
		    t->services[i].id + seen.era + seen.complete);
	}
	return h != 0 ? h : 1;
}

/* False when the service's set stands as it should. */
static bool
store_write(struct entry *e, const char *service, const char *text,
    uint64_t end, msec now)
{
	struct version_set seen = store_seen(e, name_hash(service), now);
	struct version_set stored, next;
	g_autofree char *new_text = NULL;
	bool good = text != NULL && version_set_parse(&stored, text);

	if (seen.n == 0)
		return false;
	next = version_set_next(
	    good ? &stored : NULL, &seen, store_may_leave_out(e, now));
	if (good && version_set_is_equal(&stored, &next))
		return false;
	new_text = version_set_print(&next);
	store_log(e, now, "written", service, &next);
	e->version_store.busy = true;
	e->version_store.counters.writes++;
	e->source->ops->version_set_write(e->source, end, service, new_text);
	return true;
}

/* One service at a time: the next one after another read. */
static void
store_write_first(struct entry *e, GHashTable *texts, uint64_t end, msec now)
{
	const struct route_table *t = e->table;
	unsigned int i;

	for (i = 0; i < t->nservices; i++) {
		if (store_is_for(t, t->services[i].id) &&
		    store_write(e, t->services[i].name,
			g_hash_table_lookup(texts, t->services[i].name), end,
			now))
			return;
	}
	e->version_store.done = e->version_store.wanted;
}

void
entry_version_sets_read(
    struct entry *e, GHashTable *texts, uint64_t end, msec now)
{
	struct entry_version_store *x = &e->version_store;

	x->busy = false;
	if (texts == NULL) {
		store_failed(e, now);
		return;
	}
	x->failures = 0;
	if (!x->was_read) {
		store_take_sets(e, texts, now);
		store_read_log(e, now);
	} else if (e->table != NULL) {
		store_write_first(e, texts, end, now);
	}
}

void
entry_version_set_written(
    struct entry *e, bool written, bool conflict, msec now)
{
	struct entry_version_store *x = &e->version_store;

	x->busy = false;
	x->counters.conflicts += conflict;
	if (!written && !conflict)
		store_failed(e, now);
}

/* Is it this node's turn to write, if that is necessary? */
static bool
store_is_due(struct entry *e, msec now)
{
	struct entry_version_store *x = &e->version_store;
	int rank = stream_versions_rank(&e->versions.core);
	uint64_t wanted;

	if (rank == -1 || e->phase != ENTRY_SERVING || !e->servers.complete) {
		x->done = 0;
		return false;
	}
	wanted = store_wanted(e, now);
	if (wanted != x->wanted)
		x->wanted_since = now;
	x->wanted = wanted;
	if (wanted == x->done)
		return false;
	return rank < STORE_WRITERS ||
	       now - x->wanted_since >= rank * STORE_STEP_MS;
}

void
entry_version_store_tick(struct entry *e, msec now)
{
	struct entry_version_store *x = &e->version_store;

	store_read_log(e, now);
	if (x->busy || now < x->retry_at)
		return;
	if (x->was_read && !store_is_due(e, now))
		return;
	x->busy = true;
	x->counters.reads++;
	e->source->ops->version_sets_read(e->source);
}

void
entry_version_store_metrics(const struct entry *e, GString *s)
{
	const struct entry_version_store_counters *n =
	    &e->version_store.counters;

	g_string_append_printf(s,
	    "# HELP savory_entry_version_set_calls_total Reads and writes of "
	    "the versions that the store keeps, by their end.\n"
	    "# TYPE savory_entry_version_set_calls_total counter\n"
	    "savory_entry_version_set_calls_total{call=\"read\"} %" PRIu64 "\n"
	    "savory_entry_version_set_calls_total{call=\"write\"} %" PRIu64 "\n"
	    "savory_entry_version_set_calls_total{call=\"conflict\"} %" PRIu64
	    "\n"
	    "savory_entry_version_set_calls_total{call=\"failed\"} %" PRIu64
	    "\n",
	    n->reads, n->writes, n->conflicts, n->failed);
}
