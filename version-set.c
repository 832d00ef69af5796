/*
 * Versions of a service's software in the platform's store; see version-set.h.
 */

#define LOG_PART "version"
#include "version-set.h"

#include <inttypes.h>
#include <string.h>

/* A record's words before its versions: the era and one of these. */
#define VERSION_SET_COMPLETE "complete"
#define VERSION_SET_PARTIAL "partial"

void
version_set_add(struct version_set *s, name_id version)
{
	unsigned int i;

	for (i = 0; i < s->n && s->list[i] < version; i++)
		;
	if (i < s->n && s->list[i] == version)
		return;
	if (s->n == VERSION_SET_MAX) {
		s->complete = false;
		return;
	}
	memmove(&s->list[i + 1], &s->list[i], (s->n - i) * sizeof s->list[0]);
	s->list[i] = version;
	s->n++;
}

bool
version_set_parse(struct version_set *s, const char *text)
{
	g_auto(GStrv) words = g_strsplit(text, " ", -1);
	unsigned int i, n = g_strv_length(words);
	guint64 number;

	*s = (struct version_set){ 0 };
	if (n < 2 || n > 2 + VERSION_SET_MAX ||
	    !g_ascii_string_to_unsigned(
		words[0], 10, 0, G_MAXUINT64, &number, NULL))
		return false;
	s->era = number;
	s->complete = strcmp(words[1], VERSION_SET_COMPLETE) == 0;
	if (!s->complete && strcmp(words[1], VERSION_SET_PARTIAL) != 0)
		return false;
	for (i = 2; i < n; i++) {
		if (!g_ascii_string_to_unsigned(
			words[i], 16, 1, G_MAXUINT64, &number, NULL))
			return false;
		version_set_add(s, number);
	}
	return true;
}

char *
version_set_print(const struct version_set *s)
{
	GString *text = g_string_new(NULL);
	unsigned int i;

	g_string_append_printf(text, "%" PRIu64 " %s", s->era,
	    s->complete ? VERSION_SET_COMPLETE : VERSION_SET_PARTIAL);
	for (i = 0; i < s->n; i++)
		g_string_append_printf(text, " %" PRIx64, s->list[i]);
	return g_string_free(text, FALSE);
}

bool
version_set_is_equal(const struct version_set *a, const struct version_set *b)
{
	return a->era == b->era && a->complete == b->complete && a->n == b->n &&
	       memcmp(a->list, b->list, a->n * sizeof a->list[0]) == 0;
}

struct version_set
version_set_next(const struct version_set *stored,
    const struct version_set *seen, bool leave_out_others)
{
	struct version_set next = *seen;
	unsigned int i;

	if (stored == NULL || leave_out_others)
		return next;
	next.complete |= stored->complete && stored->era == seen->era;
	for (i = 0; i < stored->n; i++)
		version_set_add(&next, stored->list[i]);
	return next;
}
