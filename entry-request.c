/*
 * What an attempt asks for: the wish for a server that placement is given, and
 * the request as it is sent to the server.
 */

#define LOG_PART "request"
#include "entry-attempt-private.h"

#include <string.h>

/* Longest prompt of a service that does not configure its servers' memory. */
#define JOB_PROMPT_TOKENS_MAX 1000000

/*
 * Bound for the prompt length that a caller states. A request that states 4
 * billion tokens would count as ahead of all others of its tier, which would be
 * rejected while it waits. No server reads more than fits in its memory.
 */
static uint64_t
job_prompt_tokens_max(const struct job *j)
{
	const struct route_service *v =
	    route_service_find(j->table, j->service);

	if (v != NULL && v->memory_tokens > 0)
		return MIN(v->memory_tokens, JOB_PROMPT_TOKENS_MAX);
	return JOB_PROMPT_TOKENS_MAX;
}

void
wire_request_finish(struct wire_request *r)
{
	g_free(r->parts);
	r->parts = NULL;
	r->nparts = 0;
}

void
job_fill_wish(const struct job *j, struct server_wish *w)
{
	const struct wire_request *r = &j->request;
	uint64_t most = job_prompt_tokens_max(j);
	unsigned int i;

	*w = (struct server_wish){ .service = j->service,
		.route = name_hash(j->route->name),
		.gap_target = j->route->gap_target,
		.target = j->route->target,
		.rank = route_rank(j->table, j->route, j->organisation),
		.software = j->software_id,
		.repeat = j->fingerprint.high ^ j->fingerprint.low,
		.organisation = j->organisation != NULL
				    ? name_hash(j->organisation->name)
				    : 0,
		.navoid = j->ntried };
	memcpy(w->avoid, j->tried, sizeof w->avoid);
	if (!j->route->has_prompt_parts)
		return;
	for (i = 0; i < j->parts.n; i++)
		w->prompt =
		    w->prompt * 0x9e3779b97f4a7c15ULL + j->parts.names[i];
	w->shared = (unsigned int)MIN(r->shared_tokens, most);
	if (r->prompt_tokens > r->shared_tokens)
		w->own = (unsigned int)MIN(
		    r->prompt_tokens - r->shared_tokens, most - w->shared);
}

void
job_fill_move_wish(const struct job *j, struct server_wish *w)
{
	job_fill_wish(j, w);
	/* The copy takes memory for the whole prompt. */
	w->own += w->shared;
	w->shared = 0;
	w->prompt = 0;
	if (j->server->software_id != 0)
		w->software = j->server->software_id;
}

void
job_write_head(const struct job *j, const struct wire_terms *terms,
    bool keep_key, struct buffer *out)
{
	const struct http_head *h = j->head;
	enum wire_field use;
	unsigned int i;

	buffer_printf(out, "%s %s HTTP/1.1\r\n", h->method, h->target);
	for (i = 0; i < h->nfields; i++) {
		use = j->owner->wire->field(h->fields[i].name);
		if (use == WIRE_FIELD_REMOVE ||
		    (use == WIRE_FIELD_API_KEY && !keep_key &&
			j->table->keyed) ||
		    (use == WIRE_FIELD_RESUME && terms->resumed) ||
		    g_ascii_strcasecmp(h->fields[i].name, HANDOFF_FIELD) == 0 ||
		    http_field_is_hop_by_hop(h, h->fields[i].name))
			continue;
		buffer_add_text(out, h->fields[i].name);
		buffer_add(out, ": ", 2);
		buffer_add_text(out, h->fields[i].value);
		buffer_add(out, "\r\n", 2);
	}
	j->owner->wire->terms(out, terms);
}

void
job_write_body(const struct job *j, struct buffer *out)
{
	const struct http_head *h = j->head;
	const struct buffer *body = &j->caller->body;

	if (h->has_body || h->has_length)
		buffer_printf(
		    out, "Content-Length: %zu\r\n", buffer_length(body));
	buffer_add(out, "\r\n", 2);
	if (buffer_length(body) > 0)
		buffer_add(out, buffer_bytes(body), buffer_length(body));
}

/* Time that a server, or another node, is given for the request, in ms. */
static msec
job_time_left(const struct job *j, msec now)
{
	return j->deadline != MSEC_NEVER ? MAX(j->deadline - now, 1) : 0;
}

void
job_set_resume_terms(const struct job *j, struct wire_terms *terms)
{
	terms->resumed = j->order.count > 0;
	terms->after = j->order.last;
}

/* The server that `to` is told to fetch the shared prompt from, or NULL. */
static const struct server *
job_fetch_source(const struct job *j, const struct server *to)
{
	struct server *v;

	if (j->place.source == 0 || entry_move_memory(j) != NULL)
		return NULL;
	v = servers_find(&j->owner->servers, j->place.source);
	if (v == NULL || v == to || v->service != to->service ||
	    v->state == SERVER_GONE || v->failures > 0)
		return NULL;
	return v;
}

void
job_write_request(
    struct job *j, msec now, const struct server *v, struct buffer *out)
{
	struct wire_terms terms = { .deadline = job_time_left(j, now),
		.server = v->name,
		.ranked = j->route->has_prompt_parts,
		.priority = route_rank(j->table, j->route, j->organisation) };

	if (j->organisation != NULL)
		terms.organisation = j->organisation->name;
	terms.source = job_fetch_source(j, v);
	g_strlcpy(j->source_name,
	    terms.source != NULL ? terms.source->name : "",
	    sizeof j->source_name);
	if ((terms.memory = entry_move_memory(j)) != NULL)
		terms.weights = j->weights;
	job_set_resume_terms(j, &terms);
	job_write_head(j, &terms, false, out);
	job_write_body(j, out);
}
