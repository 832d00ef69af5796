/*
 * Requests that the core answers without a backend server: the entry directory,
 * models, tickets, metrics, and the tool's status, dump and drain.
 */

#define LOG_PART "query"
#include "daemon.h"

#include <stdlib.h>
#include <string.h>

static void query_json(struct call *, unsigned int, json_t *);
static const char *query_state_name(const struct daemon *);

/* Takes the reference. */
static void
query_json(struct call *c, unsigned int status, json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT);

	answer_text(&c->answer, status, "application/json", text);
	free(text);
	json_decref(o);
}

static const char *
query_state_name(const struct daemon *d)
{
	switch (d->state) {
	case DAEMON_JOINING:
		return "joining";
	case DAEMON_SERVING:
		return "serving";
	case DAEMON_LEAVING:
		return "leaving";
	}
	return "unknown";
}

static json_t *
query_endpoint(uint32_t address, uint16_t port)
{
	char at[ENDPOINT_SIZE];

	return json_string(endpoint_text(at, address, port));
}

void
query_entry(struct daemon *d, struct call *c, msec now)
{
	struct directory_answer a;
	json_t *o, *alternates;
	unsigned int i;

	directory_choose(
	    &d->members, c->argument != NULL ? c->argument : "", d->rng, &a);
	if (a.best == NULL) {
		query_json(c, 503,
		    json_pack("{s:{s:s, s:s}}", "error", "code", "no_entry",
			"message", "No entry VM takes work."));
		return;
	}
	alternates = json_array();
	for (i = 0; i < DIRECTORY_ALTERNATES; i++) {
		if (a.alternates[i] == NULL)
			continue;
		json_array_append_new(
		    alternates, query_endpoint(a.alternates[i]->address,
				    a.alternates[i]->caller_port));
	}
	o = json_pack("{s:o, s:s, s:o, s:I}", "address",
	    query_endpoint(a.best->address, a.best->caller_port), "node",
	    a.best->name, "alternates", alternates, "lifetime_ms",
	    (json_int_t)a.lifetime);
	query_json(c, 200, o);
}

void
query_models(struct daemon *d, struct call *c, msec now)
{
	json_t *list = json_array();
	unsigned int i, j;

	for (i = 0; i < d->docs->count; i++) {
		const struct document *doc = &d->docs->list[i]->doc;

		for (j = 0; j < doc->nmodels; j++)
			json_array_append_new(
			    list, json_pack("{s:s, s:s, s:s}", "id",
				      doc->models[j].name, "object", "model",
				      "owned_by", doc->service));
	}
	query_json(
	    c, 200, json_pack("{s:s, s:o}", "object", "list", "data", list));
}

void
query_metrics(struct daemon *d, struct call *c, msec now)
{
	g_autofree char *text = daemon_metrics_text(d);

	answer_text(&c->answer, 200, "text/plain; version=0.0.4", text);
}

void
query_ready(struct daemon *d, struct call *c, msec now)
{
	query_json(c, d->state == DAEMON_SERVING ? 200 : 503,
	    json_pack("{s:s}", "state", query_state_name(d)));
}

static json_t *
query_documents(struct daemon *d)
{
	json_t *list = json_array();
	unsigned int i;

	for (i = 0; i < d->docs->count; i++)
		json_array_append_new(
		    list, json_pack("{s:s, s:I}", "service",
			      d->docs->list[i]->doc.service, "version",
			      (json_int_t)d->docs->list[i]->doc.version));
	return list;
}

static json_t *
query_member(const struct member *m)
{
	return json_pack("{s:s, s:s, s:s, s:o, s:o, s:I, s:I, s:i}", "name",
	    m->name, "state", member_state_name(m->state), "domain", m->domain,
	    "caller", query_endpoint(m->address, m->caller_port), "control",
	    query_endpoint(m->address, m->control_port), "incarnation",
	    (json_int_t)m->incarnation, "document_version",
	    (json_int_t)m->document_version, "load_permille",
	    (int)m->load_permille);
}

static json_t *
query_members(struct daemon *d)
{
	json_t *list = json_array();
	struct member *m;

	json_array_append_new(list, query_member(&d->members.self));
	RB_FOREACH (m, member_tree, &d->members.tree)
		json_array_append_new(list, query_member(m));
	return list;
}

static json_t *
query_engines(struct daemon *d)
{
	json_t *list = json_array();
	struct backend *b;

	RB_FOREACH (b, backend_tree, &d->backends)
		json_array_append_new(
		    list, json_pack("{s:s, s:s, s:s, s:s, s:s, s:o}", "name",
			      b->vm.name, "kind", b->vm.kind, "service",
			      b->vm.service, "domain", b->vm.domain, "state",
			      b->vm.leaving ? "leaving" : "live", "address",
			      query_endpoint(b->vm.address, b->vm.port)));
	return list;
}

static json_t *
query_status_json(struct daemon *d)
{
	return json_pack(
	    "{s:s, s:s, s:I, s:s, s:o, s:o, s:b, s:i, s:o, s:o, s:o}", "node",
	    d->settings.node, "domain", d->settings.domain, "incarnation",
	    (json_int_t)d->incarnation, "state", query_state_name(d), "caller",
	    query_endpoint(d->settings.caller.address, d->settings.caller.port),
	    "control",
	    query_endpoint(
		d->settings.control.address, d->settings.control.port),
	    "log_down", d->log_down, "open_requests", (int)d->ncalls,
	    "documents", query_documents(d), "members", query_members(d),
	    "engines", query_engines(d));
}

void
query_status(struct daemon *d, struct call *c, msec now)
{
	query_json(c, 200, query_status_json(d));
}

static json_t *
query_calls(struct daemon *d, msec now)
{
	static const char *const states[] = { "new", "claiming", "queued",
		"dispatched", "streaming", "done" };
	json_t *list = json_array();
	struct call *c;

	TAILQ_FOREACH (c, &d->calls, entry)
		json_array_append_new(
		    list, json_pack("{s:s, s:s, s:s, s:i, s:i, s:I}", "id",
			      c->id, "state", states[c->request.state], "class",
			      c->doc->doc.classes[c->class_index].name,
			      "attempt", (int)c->request.attempt, "tokens",
			      (int)c->request.tokens, "age_ms",
			      (json_int_t)(now - c->arrived)));
	return list;
}

static json_t *
query_lines(char *text)
{
	json_t *list = json_array();
	char **lines = g_strsplit(text, "\n", -1);
	unsigned int i;

	for (i = 0; lines[i] != NULL; i++) {
		if (lines[i][0] != '\0')
			json_array_append_new(list, json_string(lines[i]));
	}
	g_strfreev(lines);
	g_free(text);
	return list;
}

static json_t *
query_dump_part(struct daemon *d, const char *part, msec now)
{
	if (strcmp(part, "status") == 0)
		return query_status_json(d);
	if (strcmp(part, "calls") == 0)
		return query_calls(d, now);
	if (strcmp(part, "dispatch") == 0)
		return query_lines(dispatch_dump(&d->dispatch, now));
	if (strcmp(part, "members") == 0)
		return query_lines(members_dump(&d->members, now));
	if (strcmp(part, "placement") == 0)
		return daemon_placement_dump(d, now);
	if (strcmp(part, "stop") == 0)
		return daemon_stop_dump(d, now);
	if (strcmp(part, "documents") == 0)
		return doc_fold_export(&d->fold);
	if (strcmp(part, "metrics") == 0)
		return query_lines(daemon_metrics_text(d));
	return NULL;
}

/* Answers with all parts of the dump, or with the named one. */
void
query_dump(struct daemon *d, struct call *c, msec now)
{
	static const char *const parts[] = { "status", "calls", "members",
		"dispatch", "placement", "stop", "documents", "metrics" };
	json_t *o = json_object(), *part;
	size_t i;

	if (c->argument != NULL && c->argument[0] != '\0') {
		if ((part = query_dump_part(d, c->argument, now)) == NULL) {
			json_decref(o);
			query_json(c, 404,
			    json_pack("{s:{s:s, s:s}}", "error", "code",
				"no_part", "message", "No such part."));
			return;
		}
		json_object_set_new(o, c->argument, part);
		query_json(c, 200, o);
		return;
	}
	for (i = 0; i < G_N_ELEMENTS(parts); i++)
		json_object_set_new(
		    o, parts[i], query_dump_part(d, parts[i], now));
	query_json(c, 200, o);
}

void
query_drain(struct daemon *d, struct call *c, msec now)
{
	daemon_leave(d, now);
	query_json(c, 200, json_pack("{s:s}", "state", query_state_name(d)));
}

void
query_ticket(struct daemon *d, struct call *c, msec now)
{
	char text[TICKET_SIZE];

	ticket_issue(&d->tickets, now, c->organisation, text);
	query_json(c, 200,
	    json_pack("{s:s, s:s, s:o, s:I}", "ticket", text, "node",
		d->settings.node, "address",
		query_endpoint(
		    d->settings.caller.address, d->settings.caller.port),
		"lifetime_ms", (json_int_t)TICKET_LIFETIME));
}

/* The folded documents, for a node that has not read them from the log yet. */
void
query_state(struct daemon *d, struct call *c, msec now)
{
	query_json(c, 200,
	    json_pack("{s:o, s:b}", "fold", doc_fold_export(&d->fold),
		"caught_up", d->documents_read));
}
