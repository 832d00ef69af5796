/*
 * Versions of software at which streams began; see entry-version.h.
 */

#define LOG_PART "version"
#include "entry.h"

#include <inttypes.h>
#include <string.h>

/* Time in which callers may resume a stream, if nothing tells a longer one. */
#define VERSION_STREAM_MS (20 * MSEC_SECOND)
/* Streams still begin at a server that has left for this long. */
#define VERSION_LEFT_MS (4 * MSEC_SECOND)

static struct entry *
entry_of_versions(struct stream_versions_state *s)
{
	return s->arg;
}

static void
version_send(struct stream_versions_state *s, name_id node, const sp_msg *msg)
{
	entry_send(entry_of_versions(s), node, msg);
}

/* ---- this node's view ---- */

static enum version_view
version_view(const struct entry *e, name_id service, msec now)
{
	return servers_version_view(
	    &e->servers, now, service, e->relay.known[RELAY_SERVERS].confirmed);
}

static enum version_view
version_view_op(struct stream_versions_state *s, name_id service)
{
	const struct entry *e = entry_of_versions(s);

	return version_view(e, service, e->loop.now);
}

/* ---- verdicts ---- */

/* The version's name, if a server that is known has it. */
static const char *
version_name(struct entry *e, name_id software)
{
	struct server *v;

	RB_FOREACH (v, server_tree, &e->servers.tree) {
		if (software != 0 && v->software_id == software)
			return v->software;
	}
	return NULL;
}

static void
version_log(const struct job *j, enum stream_verdict v, msec now)
{
	struct entry *e = j->owner;

	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_STREAM_VERSION,
	    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_RESUMES, j->request.began_as),
	    LOG_TEXT(LOG_KEY_OUTCOME, stream_verdict_name(v)),
	    LOG_TEXT(LOG_KEY_SOFTWARE, version_name(e, j->software_id)),
	    LOG_NUMBER(LOG_KEY_COUNT, j->version_query.nanswered),
	    LOG_NUMBER(LOG_KEY_MS, now - j->arrived));
}

/*
 * The service has one version: later attempts must not go to another one that
 * has appeared by then.
 */
static void
version_bind_only(struct job *j, msec now)
{
	j->software_id =
	    server_versions_only(&j->owner->servers.versions, now, j->service);
}

/* False when the request has failed. */
static bool
version_apply(struct job *j, enum stream_verdict v, msec now)
{
	const struct stream_query *q = &j->version_query;

	if (v == STREAM_BOUND && !route_has_service(j->route, q->service))
		v = STREAM_UNKNOWN;
	if (v == STREAM_FREE &&
	    version_view(j->owner, j->service, now) == VERSION_VIEW_SEVERAL)
		v = STREAM_UNKNOWN;
	if (v == STREAM_FREE)
		version_bind_only(j, now);
	if (v == STREAM_BOUND) {
		j->service = q->service;
		j->software_id = q->software;
	}
	version_log(j, v, now);
	if (v != STREAM_UNKNOWN)
		return true;
	job_fail(j, now, JOB_VERSION);
	return false;
}

static void
version_decided(struct stream_versions_state *s, struct stream_query *q,
    enum stream_verdict v, msec now)
{
	struct job *j = q->arg;

	/* The configuration may have changed meanwhile. */
	if (job_recheck_admission(j, now) && version_apply(j, v, now))
		job_attempt(j, now);
}

static void
version_store(struct stream_versions_state *s, const sp_stream_record *list,
    unsigned int n)
{
	entry_version_store_streams(entry_of_versions(s), list, n);
}

static const struct stream_version_ops version_ops = { version_send,
	version_decided, version_view_op, version_store };

static const char *
version_organisation(const struct job *j)
{
	return j->organisation != NULL ? j->organisation->name : "";
}

static bool
version_matters(const struct job *j)
{
	return j->route->kind == ROUTE_STREAM && j->route->resumable;
}

bool
entry_version_admit(struct job *j, msec now)
{
	struct entry *e = j->owner;
	struct stream_query *q = &j->version_query;
	enum stream_verdict v;

	if (!version_matters(j) || !j->request.resumes || j->software_id != 0)
		return true;
	*q = (struct stream_query){ .service = j->service,
		.view = version_view(e, j->service, now),
		.arg = j };
	if (*j->request.began_as != '\0')
		q->id = stream_id_make(
		    version_organisation(j), j->request.began_as);
	if (q->view == VERSION_VIEW_ONE &&
	    server_versions_untold(&e->servers.versions, j->service))
		return true;
	v = stream_query_ask(&e->versions.core, now, q);
	if (v != STREAM_WAIT)
		return version_apply(j, v, now);
	loop_timer_set(
	    &e->loop, &e->versions.timer, MIN(e->versions.timer.due, q->next));
	return false;
}

bool
entry_version_needs_process(const struct job *j)
{
	/* Memory of a run goes with the process that holds it. */
	return version_matters(j) && j->software_id != 0 &&
	       (j->request.resumes || j->answer_began) &&
	       entry_move_memory(j) == NULL;
}

/*
 * A server that does not say when it was started: its process is the listed one
 * if nothing happened to its connections since the list was confirmed.
 */
static bool
version_process_is_listed(
    const struct entry *e, const struct server *v, msec now)
{
	msec confirmed = e->relay.known[RELAY_SERVERS].confirmed;

	return confirmed != MSEC_NEVER && confirmed > v->doubted_at &&
	       now - confirmed <= SERVER_LIST_AGE_MS;
}

bool
entry_version_told(struct link *k, const char *bytes, size_t n, msec now)
{
	struct entry *e = k->owner;
	struct server *v = k->server;
	int64_t born;

	if (bytes == NULL || v->born == 0 ||
	    !e->wire->process_start(bytes, n, &born))
		return version_process_is_listed(e, v, now);
	if (born == v->born) {
		k->known = true;
		return true;
	}
	e->versions.replaced++;
	servers_replaced(&e->servers, now, v, born);
	return false;
}

void
entry_versions_arm_timer(struct entry *e)
{
	msec due = stream_versions_store_due(&e->versions.core);

	if (due < e->versions.timer.due)
		loop_timer_set(&e->loop, &e->versions.timer, due);
}

/* A caller comes back within its deadline, also after the route's timeout. */
static msec
version_stream_span(const struct job *j)
{
	msec span = MAX(j->request.deadline, j->route->timeout);

	return span > 0 ? span : VERSION_STREAM_MS;
}

void
entry_version_begin(struct job *j, msec now)
{
	struct entry *e = j->owner;

	if (!version_matters(j) || j->software_id != 0)
		return;
	j->software_id =
	    j->carrier != NULL ? j->carrier_software : j->server->software_id;
	/* What resumes an earlier one is named by that one's id. */
	if (j->software_id == 0 || j->carried || j->request.resumes ||
	    *j->request.id == '\0')
		return;
	stream_version_begin(&e->versions.core, now,
	    stream_id_make(version_organisation(j), j->request.id), j->service,
	    j->software_id, j->arrived + version_stream_span(j));
	entry_versions_arm_timer(e);
}

bool
entry_version_is_clear(const struct job *j)
{
	return j->software_id != 0 || !version_matters(j) ||
	       version_view(j->owner, j->service, j->owner->loop.now) !=
		   VERSION_VIEW_SEVERAL;
}

bool
entry_version_is_single(const struct job *j)
{
	return version_view(j->owner, j->service, j->owner->loop.now) ==
	       VERSION_VIEW_ONE;
}

void
entry_version_release(struct job *j)
{
	stream_query_cancel(&j->owner->versions.core, &j->version_query);
}

/* ---- the node ---- */

void
entry_versions_receive(
    struct entry *e, name_id from, const sp_msg *msg, msec now)
{
	stream_versions_receive(&e->versions.core, now, from, msg);
}

void
entry_versions_take_table(struct entry *e)
{
	const struct route *r;
	msec most = VERSION_STREAM_MS;
	unsigned int i;

	for (i = 0; i < e->table->nroutes; i++) {
		r = &e->table->routes[i];
		if (r->kind == ROUTE_STREAM && r->resumable)
			most = MAX(most, r->timeout);
	}
	servers_keep_versions(
	    &e->servers, most + VERSION_LEFT_MS + SERVER_LIST_AGE_MS);
}

void
entry_versions_set_nodes(struct entry *e)
{
	g_autoptr(GArray) list =
	    g_array_new(FALSE, FALSE, sizeof(struct stream_node));
	struct stream_node node;
	struct member *m;

	RB_FOREACH (m, member_tree, &e->members.tree) {
		if (m->state == MEMBER_DEAD)
			continue;
		node = (struct stream_node){ m->id,
			m->state == MEMBER_ALIVE && !m->leaving };
		g_array_append_val(list, node);
	}
	stream_versions_set_nodes(&e->versions.core,
	    (const struct stream_node *)list->data, list->len);
}

static void
versions_timer(struct loop_timer *t, msec now)
{
	struct entry *e = t->arg;

	loop_timer_set(
	    &e->loop, t, stream_versions_tick(&e->versions.core, now));
}

void
entry_versions_init(struct entry *e)
{
	stream_versions_init(
	    &e->versions.core, &version_ops, name_hash(e->settings->node));
	e->versions.core.arg = e;
	loop_timer_init(&e->versions.timer, versions_timer, e);
	loop_timer_set(&e->loop, &e->versions.timer, e->loop.now);
}

void
entry_versions_finish(struct entry *e)
{
	loop_timer_stop(&e->loop, &e->versions.timer);
	stream_versions_finish(&e->versions.core);
}

void
entry_versions_metrics(const struct entry *e, GString *s)
{
	const struct stream_version_counters *n = &e->versions.core.counters;

	g_string_append_printf(s,
	    "# HELP savory_entry_stream_records Versions of streams kept.\n"
	    "# TYPE savory_entry_stream_records gauge\n"
	    "savory_entry_stream_records %u\n"
	    "# HELP savory_entry_stream_records_told_total Sent to keepers.\n"
	    "# TYPE savory_entry_stream_records_told_total counter\n"
	    "savory_entry_stream_records_told_total %" PRIu64 "\n"
	    "# HELP savory_entry_stream_records_dropped_total For want of "
	    "room.\n"
	    "# TYPE savory_entry_stream_records_dropped_total counter\n"
	    "savory_entry_stream_records_dropped_total %" PRIu64 "\n"
	    "# HELP savory_entry_stream_records_stored_total Written to the "
	    "platform's store.\n"
	    "# TYPE savory_entry_stream_records_stored_total counter\n"
	    "savory_entry_stream_records_stored_total %" PRIu64 "\n"
	    "# HELP savory_entry_stream_stores_failed_total Writes that "
	    "failed.\n"
	    "# TYPE savory_entry_stream_stores_failed_total counter\n"
	    "savory_entry_stream_stores_failed_total %" PRIu64 "\n"
	    "# HELP savory_entry_stream_records_loaded_total Read from the "
	    "store at the start.\n"
	    "# TYPE savory_entry_stream_records_loaded_total counter\n"
	    "savory_entry_stream_records_loaded_total %" PRIu64 "\n"
	    "# HELP savory_entry_stream_asked_total Nodes asked for a "
	    "record.\n"
	    "# TYPE savory_entry_stream_asked_total counter\n"
	    "savory_entry_stream_asked_total %" PRIu64 "\n"
	    "# HELP savory_entry_stream_verdicts_total Streams taken up, by "
	    "whether a version is bound.\n"
	    "# TYPE savory_entry_stream_verdicts_total counter\n"
	    "savory_entry_stream_verdicts_total{verdict=\"bound\"} %" PRIu64
	    "\n"
	    "savory_entry_stream_verdicts_total{verdict=\"free\"} %" PRIu64 "\n"
	    "savory_entry_stream_verdicts_total{verdict=\"unknown\"} %" PRIu64
	    "\n"
	    "# HELP savory_entry_servers_replaced_total Servers that said "
	    "they were another process than listed.\n"
	    "# TYPE savory_entry_servers_replaced_total counter\n"
	    "savory_entry_servers_replaced_total %" PRIu64 "\n",
	    e->versions.core.count, n->told, n->dropped, n->stored,
	    n->store_failed, n->loaded, n->asked, n->bound, n->free, n->unknown,
	    e->versions.replaced);
}
