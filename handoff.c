/*
 * Requests that are handed off to other nodes; see handoff.h.
 */

#define LOG_PART "handoff"
#include "handoff.h"
#include "mac.h"

#include <inttypes.h>
#include <string.h>

#define HANDOFF_VERSION "3"
/* Words of the field before its code. */
#define HANDOFF_WORDS 8
/*
 * Requests that a carrier carries at a time, which bounds its memory; requests
 * of rank r leave r / HANDOFF_RANKS of them to more urgent ones.
 */
#define HANDOFF_CARRIED_MAX 512
#define HANDOFF_RANKS 4
/* Time for which a node that failed is avoided, or used as a last resort. */
#define HANDOFF_AVOID_MS 1000
/*
 * The same for one that is about to have the newest configuration, or that may
 * take another request.
 */
#define HANDOFF_AVOID_BEHIND_MS 30
/* The same for one that carries as many as it takes. */
#define HANDOFF_AVOID_FULL_MS 200

/* ---- the field ---- */

/* The code over the words of the field and the request, as hexadecimal. */
static void
handoff_code(const char *key, const char *words,
    const struct handoff_request *r, char hex[2 * MAC_SIZE + 1])
{
	/* A line feed occurs in none of the parts but the body. */
	const struct mac_part parts[] = { { words, strlen(words) }, { "\n", 1 },
		{ r->method, strlen(r->method) }, { "\n", 1 },
		{ r->target, strlen(r->target) }, { "\n", 1 },
		{ r->length > 0 ? r->body : "", r->length } };
	uint8_t code[MAC_SIZE];
	unsigned int i;

	mac_sum(key, parts, G_N_ELEMENTS(parts), code);
	for (i = 0; i < MAC_SIZE; i++)
		g_snprintf(hex + 2 * i, 3, "%02x", code[i]);
}

void
handoff_encode(const struct handoff_terms *t, const char *key,
    const struct handoff_request *r, char *text)
{
	char words[HANDOFF_TEXT_SIZE], hex[2 * MAC_SIZE + 1];

	g_snprintf(words, sizeof words,
	    HANDOFF_VERSION " %s %s %" PRIu64 " %u %u %" PRIu64 " %u", t->node,
	    *t->caller != '\0' ? t->caller : "-", t->configuration, t->attempts,
	    t->counted, t->software, t->once);
	handoff_code(key, words, r, hex);
	g_snprintf(text, HANDOFF_TEXT_SIZE, "%s %s", words, hex);
}

static bool
number_parse(const char *s, uint64_t most, uint64_t *n)
{
	return g_ascii_string_to_unsigned(s, 10, 0, most, n, NULL);
}

static bool
words_parse(struct handoff_terms *t, char **w)
{
	uint64_t attempts, counted, once;

	*t = (struct handoff_terms){ 0 };
	if (g_strv_length(w) != HANDOFF_WORDS ||
	    strcmp(w[0], HANDOFF_VERSION) != 0 || !name_valid(w[1]) ||
	    strlen(w[2]) >= sizeof t->caller ||
	    !number_parse(w[3], UINT64_MAX, &t->configuration) ||
	    !number_parse(w[4], G_MAXUINT, &attempts) || attempts == 0 ||
	    !number_parse(w[5], 1, &counted) ||
	    !number_parse(w[6], UINT64_MAX, &t->software) ||
	    !number_parse(w[7], 1, &once))
		return false;
	g_strlcpy(t->node, w[1], sizeof t->node);
	if (strcmp(w[2], "-") != 0)
		g_strlcpy(t->caller, w[2], sizeof t->caller);
	t->attempts = (unsigned int)attempts;
	t->counted = counted != 0;
	t->once = once != 0;
	return true;
}

bool
handoff_decode(struct handoff_terms *t, const char *key,
    const struct handoff_request *r, const char *text)
{
	const char *space = strrchr(text, ' ');
	g_autofree char *words = NULL;
	g_auto(GStrv) list = NULL;
	char hex[2 * MAC_SIZE + 1];

	if (space == NULL || strlen(text) >= HANDOFF_TEXT_SIZE ||
	    strlen(space + 1) != 2 * MAC_SIZE)
		return false;
	words = g_strndup(text, (gsize)(space - text));
	handoff_code(key, words, r, hex);
	/* Two codes of MAC_SIZE hexadecimal digits each. */
	if (!mac_equal((uint8_t *)hex, (const uint8_t *)space + 1) ||
	    !mac_equal((uint8_t *)hex + MAC_SIZE,
		(const uint8_t *)space + 1 + MAC_SIZE))
		return false;
	list = g_strsplit(words, " ", -1);
	return words_parse(t, list);
}

/* ---- the choice of a carrier ---- */

void
handoff_rest_after(struct handoff_rest *r, msec now, enum handoff_failure why)
{
	switch (why) {
	case HANDOFF_BEHIND:
		r->avoided_until = now + HANDOFF_AVOID_BEHIND_MS;
		break;
	case HANDOFF_FULL:
		r->avoided_until = now + HANDOFF_AVOID_FULL_MS;
		break;
	case HANDOFF_FAILED:
		r->avoided_until = now + HANDOFF_AVOID_MS;
		break;
	case HANDOFF_LEAVING:
		/* Shorter requests may end in time; others ask elsewhere. */
		r->avoided_until = now + HANDOFF_AVOID_BEHIND_MS;
		r->last_resort_until = now + HANDOFF_AVOID_MS;
		break;
	case HANDOFF_CUT_OFF:
		/* The server may have ended, or the time of that request. */
		r->last_resort_until = now + HANDOFF_AVOID_MS;
		break;
	}
}

static int
choose_among(const struct handoff_candidate *c, unsigned int n, GRand *rand,
    bool last_resort)
{
	int first = -1, second = -1;
	gint32 seen = 0;
	unsigned int i;

	/* Two at random, of those that qualify. */
	for (i = 0; i < n; i++) {
		if (c[i].avoided || c[i].last_resort != last_resort)
			continue;
		seen++;
		if (first == -1)
			first = (int)i;
		else if (second == -1)
			second = (int)i;
		else if (g_rand_int_range(rand, 0, seen) < 2) {
			if (g_rand_boolean(rand))
				first = (int)i;
			else
				second = (int)i;
		}
	}
	if (second == -1)
		return first;
	if (c[first].requests == c[second].requests)
		return g_rand_boolean(rand) ? first : second;
	return c[first].requests < c[second].requests ? first : second;
}

int
handoff_choose(const struct handoff_candidate *c, unsigned int n, GRand *rand)
{
	int i = choose_among(c, n, rand, false);

	return i != -1 ? i : choose_among(c, n, rand, true);
}

unsigned int
handoff_attempts(unsigned int left)
{
	return MAX(left, 2) - 1;
}

bool
handoff_admits(unsigned int carried, unsigned int rank)
{
	rank = MIN(rank, HANDOFF_RANKS - 1);
	return carried <
	       HANDOFF_CARRIED_MAX * (HANDOFF_RANKS - rank) / HANDOFF_RANKS;
}
