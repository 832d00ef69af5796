/*
 * Routes of the two HTTP listeners; see daemon-route.h.
 */

#define LOG_PART "route"
#include "daemon-route.h"

#include <gnutls/gnutls.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/* Bytes of the prompt's start that are hashed for prefix affinity; engines
 * hash the same number. */
#define ROUTE_PREFIX_BYTES 256
/* Estimates prompt tokens without a tokenizer. */
#define ROUTE_BYTES_PER_TOKEN 4
#define ROUTE_JOINING_RETRY_MS 1000
#define ROUTE_MEMORY_RETRY_MS 1000

struct route {
	const char *method; /* NULL is any */
	const char *path;
	bool is_prefix;
	bool is_control;
	bool (*prepare)(struct call *, struct MHD_Connection *);
	call_query query;
	const char *parameter; /* of the query string, for call.argument */
};

static bool route_read_keys(struct call *, struct MHD_Connection *);
static bool route_health(struct call *, struct MHD_Connection *);
static bool route_model(struct call *, struct MHD_Connection *);
static bool route_plain(struct call *, struct MHD_Connection *);
static bool route_ticket(struct call *, struct MHD_Connection *);

static const struct route routes[] = {
	{ "POST", "/v1/chat/completions", .prepare = route_model },
	{ "POST", "/v1/completions", .prepare = route_model },
	{ NULL, "/v1/services/", .is_prefix = true, .prepare = route_plain },
	{ "GET", "/v1/models", .query = query_models },
	{ "GET", "/v1/entry", .query = query_entry, .parameter = "domain" },
	{ "POST", "/v1/tickets", .prepare = route_ticket },
	{ "GET", "/metrics", .query = query_metrics },
	{ "GET", "/healthz", .prepare = route_health },
	{ "GET", "/readyz", .query = query_ready },
	{ "GET", "/control/status", .is_control = true, .query = query_status },
	{ "GET", "/control/dump", .is_control = true, .query = query_dump },
	{ "GET", "/control/dump/", .is_prefix = true, .is_control = true,
	    .query = query_dump },
	{ "POST", "/control/drain", .is_control = true, .query = query_drain },
	{ "POST", "/control/claim", .is_control = true, .query = query_claim },
	{ "GET", "/control/state", .is_control = true, .query = query_state },
};

/* Completes the answer with an error object; returns false. */
static bool
route_error(
    struct call *c, unsigned int status, const char *code, const char *message)
{
	g_autofree char *body = g_strdup_printf(
	    "{\"error\":{\"type\":\"savorypier\",\"code\":\"%s\","
	    "\"message\":\"%s\",\"outcome\":\"not-run\"}}\n",
	    code, message);

	log_debug("%s %s: %u %s", c->method, c->path, status, code);
	answer_text(&c->answer, status, "application/json", body);
	c->answer.outcome = REQUEST_NOT_RUN;
	return false;
}

/*
 * A node that is joining answers 503 instead of `status`: it may lack
 * documents, and a caller takes 404 and 401 as final.
 */
static bool
route_reject_unknown(
    struct call *c, unsigned int status, const char *code, const char *message)
{
	if (g_atomic_int_get((gint *)&c->daemon->state) != DAEMON_JOINING)
		return route_error(c, status, code, message);
	c->answer.retry_after = ROUTE_JOINING_RETRY_MS;
	return route_error(c, 503, "joining",
	    "This node has just started and does not know the services yet.");
}

static const char *
route_header(struct MHD_Connection *connection, const char *name)
{
	return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
}

static const char *
route_bearer(struct MHD_Connection *connection)
{
	const char *v = route_header(connection, "Authorization");

	if (v == NULL || g_ascii_strncasecmp(v, "Bearer ", 7) != 0)
		return NULL;
	return v + 7;
}

static bool
route_health(struct call *c, struct MHD_Connection *connection)
{
	answer_text(
	    &c->answer, 200, "application/json", "{\"state\":\"live\"}\n");
	return false;
}

/* ---- service, organisation and class ---- */

static void
route_id(struct call *c)
{
	struct daemon *d = c->daemon;

	g_snprintf(c->id, sizeof c->id, "%s-%" G_GINT64_MODIFIER "x-%u",
	    d->settings.node, d->incarnation,
	    (unsigned int)g_atomic_int_add((gint *)&d->next_call, 1));
}

static bool
route_has_model(const struct document *doc, const char *model)
{
	unsigned int i;

	for (i = 0; i < doc->nmodels; i++) {
		if (strcmp(doc->models[i].name, model) == 0)
			return true;
	}
	return false;
}

/* Finds the document of the named service, or of any that has the model. */
static struct doc_ref *
route_find(const struct doc_set *set, const char *service, const char *model)
{
	unsigned int i;

	if (service != NULL)
		return doc_set_find(set, service);
	for (i = 0; i < set->count; i++) {
		if (set->list[i]->doc.kind == SERVICE_MODEL &&
		    route_has_model(&set->list[i]->doc, model))
			return set->list[i];
	}
	return NULL;
}

/* Without a class header: the lowest tier, so that omitting it gives no
 * priority. Negative: no such class. */
static int
route_class(const struct document *doc, const char *name)
{
	unsigned int i;
	int low = 0;

	if (name != NULL)
		return document_class(doc, name);
	for (i = 1; i < doc->nclasses; i++) {
		if (doc->classes[i].tier > doc->classes[low].tier)
			low = (int)i;
	}
	return low;
}

static bool
route_repeatable(const struct doc_class *dc, struct MHD_Connection *connection)
{
	const char *v = route_header(connection, "Savorypier-Repeatable");

	if (v != NULL && g_ascii_strcasecmp(v, "no") == 0)
		return false;
	return dc->repeatable;
}

static msec
route_deadline(struct call *c, struct MHD_Connection *connection)
{
	const char *v = route_header(connection, "Savorypier-Deadline-Ms");
	guint64 ms;

	if (v == NULL ||
	    !g_ascii_string_to_unsigned(v, 10, 1, 24 * 3600 * 1000, &ms, NULL))
		return MSEC_NEVER;
	return c->arrived + (msec)ms;
}

/* Prepares a request to a model or plain service; takes the reference. */
static bool
route_request(
    struct call *c, struct MHD_Connection *connection, struct doc_ref *r)
{
	const struct doc_org *org;
	const char *key = route_bearer(connection);
	int class;

	c->doc = r;
	org = key != NULL ? document_org_by_key(&r->doc, key) : NULL;
	if (org == NULL)
		return route_reject_unknown(c, 401, "invalid_key",
		    "The key is not one of this service's organisations.");
	class =
	    route_class(&r->doc, route_header(connection, "Savorypier-Class"));
	if (class < 0)
		return route_reject_unknown(
		    c, 400, "unknown_class", "The service has no such class.");
	c->kind = CALL_REQUEST;
	c->class_index = (unsigned int)class;
	c->service = name_hash(r->doc.service);
	c->organisation = name_hash(org->name);
	c->repeatable = route_repeatable(&r->doc.classes[class], connection);
	c->slot.deadline = route_deadline(c, connection);
	route_id(c);
	return route_read_keys(c, connection);
}

/* Reads the ticket or key, and hashes the request to detect another body. */
static bool
route_read_keys(struct call *c, struct MHD_Connection *connection)
{
	const char *ticket = route_header(connection, "Savorypier-Ticket");
	const char *key = route_header(connection, "Idempotency-Key");
	XXH64_hash_t hash;

	if (key != NULL && (key[0] == '\0' || strlen(key) > LEDGER_KEY_MAX))
		return route_error(c, 400, "invalid_key_length",
		    "The Idempotency-Key is empty or too long.");
	if (ticket == NULL && key == NULL)
		return true;
	hash = XXH64(c->method, strlen(c->method), 0);
	hash = XXH64(c->path, strlen(c->path), hash);
	hash = XXH64(c->body != NULL ? c->body : "", c->body_len, hash);
	c->body_hash = hash;
	c->ticket = g_strdup(ticket);
	if (ticket == NULL)
		c->key = g_strdup(key);
	c->authorization = g_strdup(route_header(connection, "Authorization"));
	c->answer.keep_bytes = true;
	return true;
}

/* ---- tickets ---- */

/* Finds the organisation by its key in the documents of all services. */
static bool
route_ticket(struct call *c, struct MHD_Connection *connection)
{
	const char *key = route_bearer(connection);
	struct doc_set *set = doc_set_take(c->daemon);
	const struct doc_org *org = NULL;
	unsigned int i;

	for (i = 0; key != NULL && org == NULL && i < set->count; i++)
		org = document_org_by_key(&set->list[i]->doc, key);
	if (org != NULL)
		c->organisation = name_hash(org->name);
	doc_set_drop(set);
	if (org == NULL)
		return route_reject_unknown(c, 401, "invalid_key",
		    "The key is not one of an organisation's.");
	c->kind = CALL_QUERY;
	c->query = query_ticket;
	return true;
}

/* ---- model requests ---- */

/* Returns the prompt, or the text of the last message. */
static const char *
route_prompt(const json_t *body)
{
	const json_t *list = json_object_get(body, "messages"), *last;
	const char *text;

	if (json_is_array(list) && json_array_size(list) > 0) {
		last = json_array_get(list, json_array_size(list) - 1);
		text = json_string_value(json_object_get(last, "content"));
	} else
		text = json_string_value(json_object_get(body, "prompt"));
	return text != NULL ? text : "";
}

static bool
route_model_body(
    struct call *c, struct MHD_Connection *connection, const json_t *body)
{
	const char *model, *prompt, *service;
	struct doc_set *set;
	struct doc_ref *r;

	model = json_string_value(json_object_get(body, "model"));
	if (model == NULL)
		return route_error(
		    c, 400, "invalid_request", "The body has no model.");
	service = route_header(connection, "Savorypier-Service");
	set = doc_set_take(c->daemon);
	r = route_find(set, service, model);
	if (r != NULL)
		doc_ref_take(r);
	doc_set_drop(set);
	if (r == NULL)
		return route_reject_unknown(
		    c, 404, "unknown_model", "No service has this model.");
	if (!route_request(c, connection, r))
		return false;
	c->streamed = json_is_true(json_object_get(body, "stream"));
	prompt = route_prompt(body);
	c->slot.prefix =
	    XXH64(prompt, MIN(strlen(prompt), ROUTE_PREFIX_BYTES), 0);
	c->slot.prompt_tokens =
	    (unsigned int)(c->body_len / ROUTE_BYTES_PER_TOKEN);
	c->slot.max_tokens = (unsigned int)MAX(
	    json_integer_value(json_object_get(body, "max_tokens")), 0);
	return true;
}

static bool
route_model(struct call *c, struct MHD_Connection *connection)
{
	json_t *body;
	bool ok;

	body = json_loadb(c->body != NULL ? c->body : "", c->body_len, 0, NULL);
	if (!json_is_object(body)) {
		json_decref(body);
		return route_error(
		    c, 400, "invalid_json", "The body is not a JSON object.");
	}
	ok = route_model_body(c, connection, body);
	json_decref(body);
	if (!ok)
		return false;
	c->backend_path = g_strdup(c->path);
	c->content_type = g_strdup("application/json");
	return true;
}

/* ---- plain services ---- */

/* False for headers of the connection and those that this node sets. */
static bool
route_header_passes(const char *name)
{
	static const char *const kept[] = { "Authorization", "Connection",
		"Content-Length", "Content-Type", "Expect", "Host",
		"Keep-Alive", "Proxy-Authorization", "Proxy-Connection", "TE",
		"Trailer", "Transfer-Encoding", "Upgrade", "X-Request-Id",
		"X-Attempt", "X-Priority", "X-Resume-At", "Idempotency-Key" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kept); i++) {
		if (g_ascii_strcasecmp(name, kept[i]) == 0)
			return false;
	}
	return g_ascii_strncasecmp(name, "Savorypier-", 11) != 0;
}

static enum MHD_Result
route_collect_header(
    void *arg, enum MHD_ValueKind kind, const char *name, const char *value)
{
	struct call *c = arg;
	struct call_header *h;

	if (!route_header_passes(name) || value == NULL)
		return MHD_YES;
	h = g_new0(struct call_header, 1);
	h->line = g_strdup_printf("%s: %s", name, value);
	STAILQ_INSERT_TAIL(&c->headers, h, entry);
	return MHD_YES;
}

static enum MHD_Result
route_collect_query(
    void *arg, enum MHD_ValueKind kind, const char *name, const char *value)
{
	GString *s = arg;
	g_autofree char *n = g_uri_escape_string(name, NULL, false);

	g_string_append_printf(s, "%c%s", strchr(s->str, '?') ? '&' : '?', n);
	if (value != NULL) {
		g_autofree char *v = g_uri_escape_string(value, NULL, false);

		g_string_append_printf(s, "=%s", v);
	}
	return MHD_YES;
}

static bool
route_plain(struct call *c, struct MHD_Connection *connection)
{
	const char *name = c->path + strlen("/v1/services/");
	const char *rest = strchr(name, '/'), *type;
	g_autofree char *service = NULL;
	struct doc_set *set;
	struct doc_ref *r;
	GString *path;

	service = rest != NULL ? g_strndup(name, (gsize)(rest - name))
			       : g_strdup(name);
	set = doc_set_take(c->daemon);
	r = doc_set_find(set, service);
	if (r != NULL)
		doc_ref_take(r);
	doc_set_drop(set);
	if (r == NULL || r->doc.kind != SERVICE_PLAIN) {
		if (r != NULL)
			doc_ref_drop(r);
		return route_reject_unknown(
		    c, 404, "unknown_service", "There is no such service.");
	}
	c->plain = true;
	if (!route_request(c, connection, r))
		return false;
	path = g_string_new(NULL);
	g_string_append_uri_escaped(
	    path, rest != NULL ? rest : "/", "/:@!$&'()*+,;=", false);
	MHD_get_connection_values(
	    connection, MHD_GET_ARGUMENT_KIND, route_collect_query, path);
	c->backend_path = g_string_free(path, FALSE);
	MHD_get_connection_values(
	    connection, MHD_HEADER_KIND, route_collect_header, c);
	type = route_header(connection, "Content-Type");
	c->content_type = g_strdup(type);
	return true;
}

/* ---- finding the route ---- */

static bool
route_matches(const struct route *r, const struct listener *l, const char *path)
{
	if (r->is_control != l->is_control)
		return false;
	if (r->is_prefix)
		return strncmp(path, r->path, strlen(r->path)) == 0;
	return strcmp(path, r->path) == 0;
}

/* The tool and peers authenticate with the peer key. */
static bool
route_control_allowed(struct call *c, struct MHD_Connection *connection)
{
	const char *key = route_bearer(connection);
	const char *want = c->daemon->settings.peer_key;

	return key != NULL && strlen(key) == strlen(want) &&
	       gnutls_memcmp(key, want, strlen(want)) == 0;
}

static bool
route_run(
    const struct route *r, struct call *c, struct MHD_Connection *connection)
{
	const char *v;

	if (r->is_control && !route_control_allowed(c, connection))
		return route_error(c, 401, "invalid_key",
		    "The control interface needs the nodes' key.");
	if (r->prepare != NULL)
		return r->prepare(c, connection);
	c->kind = CALL_QUERY;
	c->query = r->query;
	if (r->is_prefix)
		c->argument = g_strdup(c->path + strlen(r->path));
	else if (r->parameter != NULL) {
		v = MHD_lookup_connection_value(
		    connection, MHD_GET_ARGUMENT_KIND, r->parameter);
		c->argument = g_strdup(v);
	}
	return true;
}

bool
route_prepare(
    const struct listener *l, struct call *c, struct MHD_Connection *connection)
{
	bool known = false;
	size_t i;

	if (c->body_too_large) {
		c->answer.close = true;
		return route_error(c, 413, "body_too_large",
		    "The body is larger than this system takes.");
	}
	if (c->body_dropped) {
		c->answer.close = true;
		c->answer.retry_after = ROUTE_MEMORY_RETRY_MS;
		return route_error(c, 503, "no_memory",
		    "Too many bodies are being sent to this node.");
	}
	for (i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (!route_matches(&routes[i], l, c->path))
			continue;
		known = true;
		if (routes[i].method == NULL ||
		    strcmp(routes[i].method, c->method) == 0)
			return route_run(&routes[i], c, connection);
	}
	if (known)
		return route_error(c, 405, "wrong_method",
		    "The path does not take this method.");
	return route_error(c, 404, "unknown_path", "There is no such path.");
}
