/*
 * Finds the events in a stream; see event-stream.h.
 */

#define LOG_PART "event"
#include "event-stream.h"

#include <stdlib.h>
#include <string.h>

/* The end of the line at p, and where the next one begins; NULL: no end. */
static const char *
line_end(const char *p, const char *end, const char **next)
{
	const char *lf = memchr(p, '\n', (size_t)(end - p));
	const char *cr = memchr(p, '\r', (size_t)((lf != NULL ? lf : end) - p));

	if (cr == NULL) {
		*next = lf != NULL ? lf + 1 : end;
		return lf;
	}
	*next = cr + 1 == lf ? lf + 1 : cr + 1;
	return cr;
}

size_t
event_length(const char *bytes, size_t n)
{
	const char *line = bytes, *end = bytes + n, *stop, *next;
	bool crlf = false;

	while (line < end && (stop = line_end(line, end, &next)) != NULL) {
		if (stop == line && crlf && *stop == '\r' && stop + 1 == end)
			return 0;
		if (stop == line)
			return (size_t)(next - bytes);
		crlf = next - stop == 2;
		line = next;
	}
	return 0;
}

bool
event_is_unfinished(const char *bytes, size_t n)
{
	const char *line = bytes, *end = bytes + n, *stop, *next;
	bool field = false;

	while (line < end) {
		if ((stop = line_end(line, end, &next)) == NULL)
			return true;
		field = stop > line && (field || *line != ':');
		line = next;
	}
	return field;
}

static bool
line_is_field(const char *line, size_t n)
{
	static const char *const names[] = { "data", "id", "event", "retry" };
	size_t i, len;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		len = strlen(names[i]);
		if (n >= len && memcmp(line, names[i], len) == 0 &&
		    (n == len || line[len] == ':'))
			return true;
	}
	return false;
}

bool
event_has_field(const char *event, size_t n)
{
	const char *line = event, *end = event + n, *stop, *next;

	while (line < end && (stop = line_end(line, end, &next)) != NULL) {
		if (line_is_field(line, (size_t)(stop - line)))
			return true;
		line = next;
	}
	return false;
}

bool
event_number(const char *event, size_t n, uint64_t *number)
{
	const char *line = event, *end = event + n, *stop, *next;

	while (line < end && (stop = line_end(line, end, &next)) != NULL) {
		if (stop - line > 3 && strncmp(line, "id:", 3) == 0) {
			*number = strtoull(line + 3, NULL, 10);
			return true;
		}
		line = next;
	}
	return false;
}
