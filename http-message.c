/*
 * An incremental HTTP/1.1 parser; see http-message.h.
 */

#define LOG_PART "http"
#include "http-message.h"

#include <stdlib.h>
#include <string.h>

#define HTTP_TCHARS                                           \
	"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz" \
	"ABCDEFGHIJKLMNOPQRSTUVWXYZ"

/* Of "HTTP/1.1 ". */
#define HTTP_VERSION_BYTES 9
/* Empty lines that may precede a message. */
#define HTTP_EMPTY_LINES_MAX 4

static int on_headers_complete_cb(struct http_parser *);
static int on_body_cb(struct http_parser *, const char *, size_t);
static int on_message_complete_cb(struct http_parser *);

static const struct http_parser_settings parser_settings = {
	.on_headers_complete = on_headers_complete_cb,
	.on_body = on_body_cb,
	.on_message_complete = on_message_complete_cb,
};

/* ---- callbacks of http-parser ---- */

static int
on_headers_complete_cb(struct http_parser *p)
{
	struct http_reader *r = p->data;

	r->head->keep_alive = http_should_keep_alive(p) != 0;
	r->stage = HTTP_STAGE_BODY;
	r->parsed_chunked = (p->flags & F_CHUNKED) != 0;
	r->parsed_length = p->content_length;
	/* 1: no body follows, whatever the head contains. */
	return r->for_head_request || p->status_code == 304 ? 1 : 0;
}

static int
on_body_cb(struct http_parser *p, const char *bytes, size_t n)
{
	struct http_reader *r = p->data;

	r->body_len += n;
	if (r->body_len > r->body_max) {
		r->error = HTTP_ERROR_BODY_TOO_LARGE;
		return 1;
	}
	r->body(r, bytes, n);
	return 0;
}

static int
on_message_complete_cb(struct http_parser *p)
{
	struct http_reader *r = p->data;

	r->stage = HTTP_STAGE_COMPLETE;
	http_parser_pause(p, 1);
	return 0;
}

/* ---- init and finish ---- */

/* The parser's own limit is the process's; each reader has one of its own. */
static void
parser_raise_limit(void)
{
	static gsize done;

	if (g_once_init_enter(&done)) {
		http_parser_set_max_header_size(HTTP_HEAD_BYTES_MAX);
		g_once_init_leave(&done, 1);
	}
}

void
http_reader_init(struct http_reader *r, bool requests, size_t head_max,
    uint64_t body_max, http_body body, void *arg)
{
	*r = (struct http_reader){ .body = body,
		.arg = arg,
		.fields_max = HTTP_FIELDS_MAX,
		.head_max = head_max,
		.body_max = body_max };
	parser_raise_limit();
	http_parser_init(&r->parser, requests ? HTTP_REQUEST : HTTP_RESPONSE);
	r->parser.data = r;
}

void
http_reader_finish(struct http_reader *r)
{
	buffer_finish(&r->text);
	g_free(r->head);
	r->head = NULL;
}

void
http_reader_reset(struct http_reader *r)
{
	enum http_parser_type type = r->parser.type;

	http_reader_finish(r);
	r->stage = HTTP_STAGE_HEAD;
	r->error = HTTP_ERROR_NONE;
	r->body_len = 0;
	r->line = 0;
	r->empty_lines = 0;
	http_parser_init(&r->parser, type);
	r->parser.data = r;
}

bool
http_reader_is_idle(const struct http_reader *r)
{
	return r->stage == HTTP_STAGE_HEAD && buffer_length(&r->text) == 0;
}

static size_t
reader_fail(struct http_reader *r, enum http_error error)
{
	r->stage = HTTP_STAGE_FAILED;
	if (r->error == HTTP_ERROR_NONE)
		r->error = error;
	return 0;
}

/* ---- the head ---- */

/* Split "name: value" in place; false if the field is malformed. */
static bool
field_split(char *line, size_t n, struct http_field *f)
{
	size_t name = strspn(line, HTTP_TCHARS), i;
	char *value;

	if (name == 0 || line[name] != ':')
		return false;
	for (i = name; i < n; i++) {
		if ((guchar)line[i] < ' ' && line[i] != '\t')
			return false;
		if (line[i] == 0x7f)
			return false;
	}
	line[name] = '\0';
	value = line + name + 1;
	value += strspn(value, " \t");
	f->name = line;
	f->value = g_strchomp(value);
	return true;
}

bool
http_status_parse(const char *line, size_t n, unsigned int *status)
{
	const char *s = line + HTTP_VERSION_BYTES;

	if (n < HTTP_VERSION_BYTES + 3 || strncmp(line, "HTTP/1.", 7) != 0 ||
	    (line[7] != '0' && line[7] != '1') || line[8] != ' ' ||
	    !g_ascii_isdigit(s[0]) || !g_ascii_isdigit(s[1]) ||
	    !g_ascii_isdigit(s[2]))
		return false;
	if (n > HTTP_VERSION_BYTES + 3 && s[3] != ' ')
		return false;
	*status = (unsigned int)(s[0] - '0') * 100 +
		  (unsigned int)(s[1] - '0') * 10 + (unsigned int)(s[2] - '0');
	return *status >= 100 && *status < 600;
}

/* Split "METHOD target HTTP/1.x" or "HTTP/1.x status reason" in place. */
static bool
start_split(struct http_reader *r, char *line, size_t n)
{
	struct http_head *h = r->head;
	char *a = strchr(line, ' '), *b;
	size_t i;

	for (i = 0; i < n; i++) {
		if ((guchar)line[i] < ' ' || line[i] == 0x7f)
			return false;
	}
	if (a == NULL)
		return false;
	if (r->parser.type == HTTP_RESPONSE) {
		h->is_http_1_0 = g_str_has_prefix(line, "HTTP/1.0 ");
		return http_status_parse(line, n, &h->status);
	}
	if ((b = strchr(a + 1, ' ')) == NULL || a[1] != '/')
		return false;
	h->is_http_1_0 = strcmp(b, " HTTP/1.0") == 0;
	if (!h->is_http_1_0 && strcmp(b, " HTTP/1.1") != 0)
		return false;
	*a = *b = '\0';
	h->method = line;
	h->target = a + 1;
	/* Its target is no path, and what follows its head is no body. */
	return strcmp(h->method, "CONNECT") != 0;
}

/*
 * Guards against request smuggling: where parsers disagree about the end of a
 * body, a request hidden in it would be executed. A message has one length or
 * chunked coding, never both, and neither twice.
 */
static bool
head_framing(struct http_reader *r)
{
	struct http_head *h = r->head;
	unsigned int lengths = http_head_count(h, "Content-Length");
	unsigned int codings = http_head_count(h, "Transfer-Encoding");
	const char *s;

	if (lengths > 1 || codings > 1 || (lengths > 0 && codings > 0))
		return false;
	if (codings > 0) {
		s = http_head_get(h, "Transfer-Encoding");
		if (g_ascii_strcasecmp(s, "chunked") != 0 || h->is_http_1_0)
			return false;
		h->has_body = true;
	}
	if (lengths > 0) {
		s = http_head_get(h, "Content-Length");
		if (!g_ascii_string_to_unsigned(
			s, 10, 0, G_MAXINT64, &h->length, NULL))
			return false;
		h->has_length = true;
		h->has_body = h->length > 0;
	}
	if (r->parser.type == HTTP_REQUEST)
		return http_head_count(h, "Host") == 1 ||
		       (h->is_http_1_0 && http_head_count(h, "Host") == 0);
	/* These have no body, though http-parser would read one. */
	if (h->has_body && (h->status < 200 || h->status == 204))
		return false;
	h->until_close = lengths == 0 && codings == 0 && !r->for_head_request &&
			 h->status >= 200 && h->status != 204 &&
			 h->status != 304;
	return true;
}

/*
 * Guards against request smuggling by a head that http-parser, which delimits
 * the body, has understood differently: the rest of the body would be read as
 * the next message.
 */
static bool
head_framing_is_agreed(const struct http_reader *r)
{
	const struct http_head *h = r->head;
	bool chunked = h->has_body && !h->has_length;
	uint64_t length = h->has_length ? h->length : UINT64_MAX;
	bool bodiless = r->for_head_request || h->status == 304;
	bool body_follows = !bodiless && (h->has_body || h->until_close);

	return r->parsed_chunked == chunked && r->parsed_length == length &&
	       (r->stage == HTTP_STAGE_BODY) == body_follows;
}

static bool
head_split(struct http_reader *r)
{
	char *line = r->text.data, *end = line + r->text.len, *crlf;
	struct http_head *h = r->head;

	for (; line < end; line = crlf + 2) {
		if ((crlf = memmem(line, (size_t)(end - line), "\r\n", 2)) ==
		    NULL)
			return false;
		if (crlf == line)
			return h->nfields > 0 || h->status != 0 ||
			       h->method != NULL;
		*crlf = '\0';
		if (line == r->text.data) {
			if (!start_split(r, line, (size_t)(crlf - line)))
				return false;
			continue;
		}
		if (h->nfields == r->fields_max)
			return false;
		if (!field_split(
			line, (size_t)(crlf - line), &h->fields[h->nfields]))
			return false;
		h->nfields++;
	}
	return false;
}

/* The head is complete: parse it with http-parser, then check and split it. */
static void
reader_finish_head(struct http_reader *r)
{
	size_t n = buffer_length(&r->text), took;

	r->head = g_new0(struct http_head, 1);
	took = http_parser_execute(
	    &r->parser, &parser_settings, buffer_bytes(&r->text), n);
	if (took < n || r->stage == HTTP_STAGE_HEAD ||
	    (HTTP_PARSER_ERRNO(&r->parser) != HPE_OK &&
		HTTP_PARSER_ERRNO(&r->parser) != HPE_PAUSED)) {
		reader_fail(r, HTTP_ERROR_MALFORMED);
		return;
	}
	if (!head_split(r) || !head_framing(r) || !head_framing_is_agreed(r))
		reader_fail(r, HTTP_ERROR_MALFORMED);
}

/* Copy up to the end of the head; a bare line feed makes it malformed. */
static size_t
reader_parse_head(struct http_reader *r, const char *bytes, size_t n)
{
	const char *lf;
	size_t at = 0, step;

	while (at < n) {
		lf = memchr(bytes + at, '\n', n - at);
		step = lf != NULL ? (size_t)(lf - bytes) - at + 1 : n - at;
		if (r->text.len + step > r->head_max)
			return reader_fail(r, HTTP_ERROR_HEAD_TOO_LARGE);
		buffer_add(&r->text, bytes + at, step);
		at += step;
		if (lf == NULL)
			break;
		if (r->text.len - r->line < 2 ||
		    r->text.data[r->text.len - 2] != '\r')
			return reader_fail(r, HTTP_ERROR_MALFORMED);
		if (r->text.len - r->line == 2) {
			if (r->line > 0) {
				reader_finish_head(r);
				return at;
			}
			/* A few empty lines before the first are ignored. */
			if (++r->empty_lines > HTTP_EMPTY_LINES_MAX)
				return reader_fail(r, HTTP_ERROR_MALFORMED);
			buffer_finish(&r->text);
		}
		r->line = r->text.len;
	}
	return at;
}

size_t
http_reader_parse(struct http_reader *r, const char *bytes, size_t n)
{
	size_t took;

	if (r->stage == HTTP_STAGE_HEAD)
		return reader_parse_head(r, bytes, n);
	if (r->stage != HTTP_STAGE_BODY || n == 0)
		return 0;
	took = http_parser_execute(&r->parser, &parser_settings, bytes, n);
	if (r->stage == HTTP_STAGE_COMPLETE)
		return took;
	if (HTTP_PARSER_ERRNO(&r->parser) != HPE_OK)
		reader_fail(r, HTTP_ERROR_MALFORMED);
	return took;
}

void
http_reader_close(struct http_reader *r)
{
	if (r->stage == HTTP_STAGE_COMPLETE || r->stage == HTTP_STAGE_FAILED)
		return;
	if (r->stage == HTTP_STAGE_BODY)
		http_parser_execute(&r->parser, &parser_settings, NULL, 0);
	if (r->stage != HTTP_STAGE_COMPLETE)
		reader_fail(r, HTTP_ERROR_TRUNCATED);
}

/* ---- access to a head ---- */

const char *
http_head_get(const struct http_head *h, const char *name)
{
	unsigned int i;

	for (i = 0; i < h->nfields; i++) {
		if (g_ascii_strcasecmp(h->fields[i].name, name) == 0)
			return h->fields[i].value;
	}
	return NULL;
}

unsigned int
http_head_count(const struct http_head *h, const char *name)
{
	unsigned int i, n = 0;

	for (i = 0; i < h->nfields; i++) {
		if (g_ascii_strcasecmp(h->fields[i].name, name) == 0)
			n++;
	}
	return n;
}

static bool
list_has_token(const char *list, const char *token)
{
	size_t n = strlen(token), len;

	while (*list != '\0') {
		list += strspn(list, ", \t");
		len = strcspn(list, ", \t");
		if (len == n && g_ascii_strncasecmp(list, token, n) == 0)
			return true;
		list += len;
	}
	return false;
}

bool
http_head_has_token(
    const struct http_head *h, const char *name, const char *token)
{
	unsigned int i;

	for (i = 0; i < h->nfields; i++) {
		if (g_ascii_strcasecmp(h->fields[i].name, name) == 0 &&
		    list_has_token(h->fields[i].value, token))
			return true;
	}
	return false;
}

bool
http_field_is_hop_by_hop(const struct http_head *h, const char *name)
{
	static const char *const hops[] = { "Connection", "Keep-Alive",
		"Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"TE", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hops); i++) {
		if (g_ascii_strcasecmp(hops[i], name) == 0)
			return true;
	}
	return http_head_has_token(h, "Connection", name);
}

const char *
http_status_text(unsigned int status)
{
	return http_status_str((enum http_status)status);
}
