/*
 * send: sends one request as a caller would, and prints the streamed answer
 * and then the outcome.
 */

#define LOG_PART "send"
#include "cmd.h"

#include <stdlib.h>
#include <string.h>

#define SEND_TIMEOUT (10 * 60 * MSEC_SECOND)
#define SEND_HEADERS_MAX 12
/* Longest event or whole answer in bytes that can be decoded. */
#define SEND_LINE_MAX (4 * 1024 * 1024)
#define OUTCOME_HEADER "savorypier-outcome:"

static enum cmd_retval cmd_send_exec(struct cmd *);

const struct cmd_entry cmd_send_entry = {
	.name = "send",
	.args = "PROMPT",
	.usage = "Send a request as a caller.",
	.min = 1,
	.max = 1,
	.options =
	    (const struct cmd_option[]){
		{ "to", "IP:PORT", "caller address (default: asks a node)" },
		{ "domain", "D", "failure domain to ask an address for" },
		{ "key", "KEY",
		    "organisation's key (default: "
		    "SAVORYPIER_KEY)" },
		{ "service", "NAME", "service to send to" },
		{ "class", "NAME", "class of the request" },
		{ "model", "NAME", "model to use" },
		{ "max-tokens", "N", "longest answer", true },
		{ "deadline-ms", "N", "answer is useless after that", true },
		{ "not-repeatable", NULL, "run at most once" },
		{ "idempotency-key", "KEY", "the same request, sent again" },
		{ "path", "PATH", "call a plain service; PROMPT is the body" },
		{ NULL } },
	.exec = cmd_send_exec,
};

/* Headers of the request and the strings that they own. */
struct send_headers {
	const char *list[SEND_HEADERS_MAX + 1];
	unsigned int n;
};

void
send_stream_init(
    struct send_stream *s, void (*token)(void *, const char *), void *arg)
{
	memset(s, 0, sizeof *s);
	s->line = g_string_new(NULL);
	s->token = token;
	s->arg = arg;
}

void
send_stream_finish(struct send_stream *s)
{
	g_string_free(s->line, TRUE);
	g_free(s->error);
}

/* Header or trailer line; a trailer's outcome replaces the header's. */
void
send_stream_header(struct send_stream *s, const char *data, size_t n)
{
	g_autofree char *line = g_strndup(data, n);
	size_t skip = strlen(OUTCOME_HEADER);

	g_strstrip(line);
	if (g_ascii_strncasecmp(line, OUTCOME_HEADER, skip) == 0)
		g_strlcpy(
		    s->outcome, g_strstrip(line + skip), sizeof s->outcome);
	if (g_ascii_strncasecmp(line, "content-type:", 13) == 0)
		s->is_events = strstr(line, "text/event-stream") != NULL;
}

static void
stream_error(struct send_stream *s, const json_t *o)
{
	const json_t *error = json_object_get(o, "error");
	const char *message =
	    json_string_value(json_object_get(error, "message"));

	if (error == NULL)
		return;
	g_free(s->error);
	s->error = g_strdup(message != NULL ? message : "an error");
}

static void
stream_outcome(struct send_stream *s, const json_t *o)
{
	const json_t *error_object = json_object_get(o, "error");
	const char *outcome = json_string_value(json_object_get(o, "outcome"));

	if (outcome == NULL)
		outcome =
		    json_string_value(json_object_get(error_object, "outcome"));
	if (outcome != NULL)
		g_strlcpy(s->outcome, outcome, sizeof s->outcome);
}

static void
stream_code(struct send_stream *s, const json_t *o)
{
	const json_t *error_object = json_object_get(o, "error");
	const char *code = json_string_value(json_object_get(o, "code"));

	if (code == NULL)
		code = json_string_value(json_object_get(error_object, "code"));
	if (code != NULL)
		g_strlcpy(s->code, code, sizeof s->code);
}

/* One JSON object: an event of a stream or the whole answer. */
static void
stream_object(struct send_stream *s, const char *text, size_t n)
{
	json_t *o = json_loadb(text, n, 0, NULL);
	const json_t *choice = json_array_get(json_object_get(o, "choices"), 0);
	const char *content = json_string_value(json_object_get(
	    json_object_get(choice, s->is_events ? "delta" : "message"),
	    "content"));

	if (content == NULL)
		content = json_string_value(json_object_get(choice, "text"));
	stream_error(s, o);
	stream_outcome(s, o);
	stream_code(s, o);
	if (content != NULL)
		s->token(s->arg, content);
	json_decref(o);
}

static void
stream_line(struct send_stream *s)
{
	const char *line = s->line->str;

	if (!g_str_has_prefix(line, "data:"))
		return;
	line += strlen("data:");
	while (*line == ' ')
		line++;
	if (strcmp(line, "[DONE]") == 0)
		s->done = true;
	else
		stream_object(s, line, strlen(line));
}

void
send_stream_body(struct send_stream *s, const char *data, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (!s->is_events || (data[i] != '\n' && data[i] != '\r')) {
			if (s->line->len < SEND_LINE_MAX)
				g_string_append_c(s->line, data[i]);
			continue;
		}
		stream_line(s);
		g_string_truncate(s->line, 0);
	}
}

void
send_stream_end(struct send_stream *s)
{
	json_t *o;

	if (s->is_events)
		return;
	s->done = true;
	o = json_loadb(s->line->str, s->line->len, 0, NULL);
	if (json_object_get(o, "choices") != NULL ||
	    json_object_get(o, "error") != NULL)
		stream_object(s, s->line->str, s->line->len);
	else if (s->line->len > 0)
		s->token(s->arg, s->line->str);
	json_decref(o);
}

/*
 * The outcome that the router reports decides. Without one a request that was
 * cut off, or ended without its last event, may have run: unknown, never
 * "ran".
 */
enum cmd_retval
send_retval(const struct send_stream *s, long status)
{
	if (strcmp(s->outcome, "not-run") == 0)
		return CMD_NOT_RUN;
	if (strcmp(s->outcome, "unknown") == 0)
		return CMD_UNKNOWN;
	if (status >= 400)
		return CMD_REFUSED;
	if (status == 0 || !s->done || s->error != NULL)
		return CMD_UNKNOWN;
	return CMD_OK;
}

static void
token_print(void *arg, const char *text)
{
	fputs(text, stdout);
	fflush(stdout);
}

static void
on_body(void *arg, const char *data, size_t n)
{
	send_stream_body(arg, data, n);
}

static void
on_header(void *arg, const char *data, size_t n)
{
	send_stream_header(arg, data, n);
}

static void
headers_add(struct send_headers *h, const char *name, const char *value)
{
	if (value != NULL && h->n < SEND_HEADERS_MAX)
		h->list[h->n++] = g_strdup_printf("%s: %s", name, value);
}

static void
headers_build(struct send_headers *h, const struct cmd *c)
{
	const char *key = cmd_value(c, "key");
	g_autofree char *bearer = NULL;

	if (key == NULL)
		key = g_getenv("SAVORYPIER_KEY");
	if (key != NULL)
		bearer = g_strconcat("Bearer ", key, NULL);
	headers_add(h, "Authorization", bearer);
	headers_add(h, "Content-Type", "application/json");
	headers_add(h, "Savorypier-Service", cmd_value(c, "service"));
	headers_add(h, "Savorypier-Class", cmd_value(c, "class"));
	headers_add(h, "Savorypier-Deadline-Ms", cmd_value(c, "deadline-ms"));
	headers_add(h, "Idempotency-Key", cmd_value(c, "idempotency-key"));
	if (cmd_value(c, "not-repeatable") != NULL)
		headers_add(h, "Savorypier-Repeatable", "no");
}

static void
headers_finish(struct send_headers *h)
{
	unsigned int i;

	for (i = 0; i < h->n; i++)
		g_free((char *)h->list[i]);
}

/* The body of a chat request; to be freed with free(). */
static char *
body_build(const struct cmd *c, const char *prompt)
{
	const char *model = cmd_value(c, "model");
	uint64_t most = cmd_number(c, "max-tokens", 0);
	json_t *o;
	char *text;

	o = json_pack("{sb s[{ss ss}]}", "stream", 1, "messages", "role",
	    "user", "content", prompt);
	if (model != NULL)
		json_object_set_new(o, "model", json_string(model));
	if (most != 0)
		json_object_set_new(
		    o, "max_tokens", json_integer((json_int_t)most));
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

/* The address to send to, from --to or a node's answer; NULL: none. */
static char *
send_address(const struct cmd *c, enum cmd_retval *retval)
{
	const char *to = cmd_value(c, "to"), *domain = cmd_value(c, "domain");
	g_autofree char *path = NULL;
	g_autoptr(GError) error = NULL;
	json_t *self, *o;
	char *address;

	if (to != NULL)
		return g_strdup(to);
	if ((self = cmd_status(c, retval)) == NULL)
		return NULL;
	path = g_strconcat(
	    "/v1/entry?domain=", domain != NULL ? domain : "", NULL);
	o = caller_call(
	    json_string_value(json_object_get(self, "caller")), path, &error);
	json_decref(self);
	address = g_strdup(json_string_value(json_object_get(o, "address")));
	json_decref(o);
	if (address != NULL)
		return address;
	cmd_print_message("no node accepts requests%s%s",
	    error != NULL ? ": " : "", error != NULL ? error->message : "");
	*retval = CMD_UNREACHABLE;
	return NULL;
}

static enum cmd_retval
send_perform(const struct cmd *c, const char *url, const char *body)
{
	struct send_headers headers = { 0 };
	struct send_stream s;
	struct http_call h = { "POST", url, headers.list, body, SEND_TIMEOUT,
		on_body, on_header, &s };
	g_autoptr(GError) error = NULL;
	enum cmd_retval retval;
	long status;

	send_stream_init(&s, token_print, NULL);
	headers_build(&headers, c);
	if ((status = http_perform(&h, &error)) != 0)
		send_stream_end(&s);
	putchar('\n');
	retval = send_retval(&s, status);
	if (error != NULL && error->code == SAVORY_ERROR_UNREACHABLE)
		retval = CMD_UNREACHABLE;
	if (s.error != NULL || error != NULL)
		cmd_print_message(
		    "%s", s.error != NULL ? s.error : error->message);
	cmd_print_message("status %ld, outcome %s%s%s", status,
	    *s.outcome != '\0' ? s.outcome : "not reported",
	    *s.code != '\0' ? ", code " : "", s.code);
	headers_finish(&headers);
	send_stream_finish(&s);
	return retval;
}

static enum cmd_retval
cmd_send_exec(struct cmd *c)
{
	const char *service = cmd_value(c, "service");
	const char *path = cmd_value(c, "path");
	enum cmd_retval retval = CMD_OK;
	g_autofree char *address = NULL, *url = NULL, *prompt = NULL;
	g_autoptr(GError) error = NULL;
	char *body;
	size_t n;

	if (path != NULL && service == NULL) {
		cmd_print_message("--path: expected --service too");
		return CMD_USAGE;
	}
	if (strcmp(c->args[0], "-") != 0)
		prompt = g_strdup(c->args[0]);
	else if ((prompt = cmd_read_file("-", &n, &error)) == NULL)
		return cmd_fail(error);
	if ((address = send_address(c, &retval)) == NULL)
		return retval;
	if (path != NULL) {
		url = g_strdup_printf("http://%s/v1/services/%s/%s", address,
		    service, path + (*path == '/'));
		return send_perform(c, url, prompt);
	}
	body = body_build(c, prompt);
	if (body == NULL) {
		cmd_print_message("the prompt is not UTF-8");
		return CMD_REFUSED;
	}
	url = g_strdup_printf("http://%s/v1/chat/completions", address);
	retval = send_perform(c, url, body);
	free(body);
	return retval;
}
