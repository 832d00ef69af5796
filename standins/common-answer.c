/*
 * Checking streamed answers; see common-answer.h.
 */

#include "common-answer.h"

#include "common-token.h"

#include <string.h>
#include <strings.h>

#include <jansson.h>

#define ANSWER_OUTCOME_HEADER "savorypier-outcome:"

void
answer_init(struct answer *a, const char *prompt, size_t n, uint64_t asked)
{
	memset(a, 0, sizeof *a);
	a->prompt = prompt;
	a->prompt_len = n;
	a->asked = asked;
	a->line = g_string_new(NULL);
}

void
answer_finish(struct answer *a)
{
	g_string_free(a->line, TRUE);
}

static enum answer_outcome
outcome_parse(const char *text)
{
	if (g_strcmp0(text, "ran") == 0)
		return OUTCOME_RAN;
	if (g_strcmp0(text, "not-run") == 0)
		return OUTCOME_NOT_RUN;
	if (g_strcmp0(text, "unknown") == 0)
		return OUTCOME_UNKNOWN;
	return OUTCOME_NONE;
}

static void
answer_final_event(struct answer *a, const json_t *v)
{
	const char *code = json_string_value(json_object_get(v, "code"));

	a->outcome =
	    outcome_parse(json_string_value(json_object_get(v, "outcome")));
	if (code != NULL)
		g_strlcpy(a->code, code, sizeof a->code);
}

static void
answer_token(struct answer *a, const json_t *v)
{
	const json_t *index = json_object_get(v, "index");
	const json_t *choice = json_array_get(json_object_get(v, "choices"), 0);
	const json_t *text;
	char want[TOKEN_LEN];

	text = json_object_get(json_object_get(choice, "delta"), "content");
	if (json_string_length(text) == 0)
		return;
	token_write(want, a->prompt, a->prompt_len, a->tokens);
	if (json_string_length(text) != TOKEN_LEN ||
	    memcmp(json_string_value(text), want, TOKEN_LEN) != 0 ||
	    (json_is_integer(index) &&
		(uint64_t)json_integer_value(index) != a->tokens) ||
	    a->tokens >= a->asked || a->done) {
		a->crossed = true;
		return;
	}
	a->tokens++;
}

static void
answer_line(struct answer *a, const char *line, size_t n)
{
	json_t *v;

	if (n == 0) {
		a->in_event = false;
		return;
	}
	if (strcmp(line, "event: savorypier") == 0)
		a->in_event = true;
	if (strncmp(line, "data: ", 6) != 0)
		return;
	if (strcmp(line, "data: [DONE]") == 0) {
		a->done = true;
		return;
	}
	v = json_loadb(line + 6, n - 6, 0, NULL);
	if (a->in_event)
		answer_final_event(a, v);
	else if (v == NULL)
		a->crossed = true;
	else
		answer_token(a, v);
	json_decref(v);
}

void
answer_read(struct answer *a, const char *data, size_t n)
{
	const char *end;
	size_t len;

	while ((end = memchr(data, '\n', n)) != NULL) {
		len = (size_t)(end - data);
		g_string_append_len(a->line, data, (gssize)len);
		if (a->line->len > 0 && a->line->str[a->line->len - 1] == '\r')
			g_string_truncate(a->line, a->line->len - 1);
		answer_line(a, a->line->str, a->line->len);
		g_string_truncate(a->line, 0);
		data = end + 1;
		n -= len + 1;
	}
	g_string_append_len(a->line, data, (gssize)n);
}

void
answer_header(struct answer *a, const char *line, size_t n)
{
	size_t skip = strlen(ANSWER_OUTCOME_HEADER);
	g_autofree char *value = NULL;

	if (n < skip || strncasecmp(line, ANSWER_OUTCOME_HEADER, skip) != 0)
		return;
	value = g_strstrip(g_strndup(line + skip, n - skip));
	a->outcome = outcome_parse(value);
}

bool
answer_short(const struct answer *a)
{
	return a->done && !a->crossed && a->tokens < a->asked;
}
