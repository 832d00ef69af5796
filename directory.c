/*
 * The entry directory: chooses the entry VM that a caller should connect to.
 *
 * Each choice is the least loaded of a few candidates drawn at random. Choosing
 * the least loaded of all VMs would direct every caller to the same VM until
 * its next load report, and callers cache the answer (herding). As load reports
 * are delayed, each answer also adds to the load that is assumed for the chosen
 * VM until its next report.
 */

#define LOG_PART "directory"
#include "directory.h"

#include <string.h>

/* Callers cache an answer for this time plus a random part of up to as much,
   so that callers that came together do not return together. */
#define DIRECTORY_LIFETIME (8 * MSEC_SECOND)
/* Load that is assumed per answer until the next report. */
#define DIRECTORY_ANSWER_PERMILLE 5
/* Load penalty outside the preferred, or in the avoided, failure domain. */
#define DIRECTORY_DOMAIN_PERMILLE 200
/* Load of a member that has not reported yet. */
#define DIRECTORY_UNREPORTED_PERMILLE 500
/* Load of a member that accepts no requests: full, or not ready to serve. */
#define DIRECTORY_FULL_PERMILLE 1000

struct directory_choice {
	GPtrArray *candidates;	      /* struct member *, not chosen yet */
	const char *preferred_domain; /* failure domain, or "" */
	const char *avoided_domain;   /* failure domain, or "" */
	GRand *rand;
};

static void directory_collect_candidates(
    struct members *, enum member_state, bool, GPtrArray *);
static bool
directory_is_candidate(const struct member *, enum member_state, bool);
static unsigned int directory_effective_load(
    const struct directory_choice *, const struct member *);
static struct member *
directory_random_candidate(const struct directory_choice *, const char *);
static struct member *directory_take_best(struct directory_choice *);

static bool
directory_is_candidate(
    const struct member *m, enum member_state state, bool include_full)
{
	if (m->state != state || m->leaving || m->caller_port == 0)
		return false;
	return include_full || m->load_at == MSEC_NEVER ||
	       m->load_permille < DIRECTORY_FULL_PERMILLE;
}

static void
directory_collect_candidates(struct members *ms, enum member_state state,
    bool include_full, GPtrArray *candidates)
{
	struct member *m;

	if (directory_is_candidate(&ms->self, state, include_full))
		g_ptr_array_add(candidates, &ms->self);
	RB_FOREACH (m, member_tree, &ms->tree) {
		if (directory_is_candidate(m, state, include_full))
			g_ptr_array_add(candidates, m);
	}
}

static unsigned int
directory_effective_load(
    const struct directory_choice *c, const struct member *m)
{
	unsigned int load = DIRECTORY_UNREPORTED_PERMILLE;

	if (m->load_at != MSEC_NEVER)
		load = m->load_permille;
	load += m->answers_since_load * DIRECTORY_ANSWER_PERMILLE;
	if (*c->preferred_domain != '\0' &&
	    strcmp(m->domain, c->preferred_domain) != 0)
		load += DIRECTORY_DOMAIN_PERMILLE;
	if (*c->avoided_domain != '\0' &&
	    strcmp(m->domain, c->avoided_domain) == 0)
		load += DIRECTORY_DOMAIN_PERMILLE;
	return load;
}

/* A random candidate of the failure domain, or of all with ""; or NULL. */
static struct member *
directory_random_candidate(const struct directory_choice *c, const char *domain)
{
	struct member *m, *found = NULL;
	gint32 n = 0;
	guint i;

	if (*domain == '\0' && c->candidates->len > 0)
		return g_ptr_array_index(c->candidates,
		    g_rand_int_range(c->rand, 0, (gint32)c->candidates->len));
	for (i = 0; i < c->candidates->len; i++) {
		m = g_ptr_array_index(c->candidates, i);
		if (strcmp(m->domain, domain) != 0)
			continue;
		if (g_rand_int_range(c->rand, 0, ++n) == 0)
			found = m;
	}
	return found;
}

/*
 * Removes and returns the least loaded of four random candidates: two of the
 * preferred failure domain, so that a small domain is found among many members,
 * and two of all, so that the preferred domain is left when it is loaded.
 */
static struct member *
directory_take_best(struct directory_choice *c)
{
	struct member *m, *best = NULL;
	unsigned int i;

	for (i = 0; i < 4; i++) {
		m = directory_random_candidate(
		    c, i < 2 ? c->preferred_domain : "");
		if (m == NULL)
			continue;
		if (best == NULL || directory_effective_load(c, m) <
					directory_effective_load(c, best))
			best = m;
	}
	if (best != NULL)
		g_ptr_array_remove_fast(c->candidates, best);
	return best;
}

void
directory_choose(struct members *ms, const char *domain, GRand *rand,
    struct directory_answer *answer)
{
	g_autoptr(GPtrArray) candidates = g_ptr_array_new();
	struct directory_choice c = { candidates, domain, "", rand };
	unsigned int i;

	memset(answer, 0, sizeof *answer);
	answer->lifetime = DIRECTORY_LIFETIME + g_rand_int_range(rand, 0,
						    (gint32)DIRECTORY_LIFETIME);
	directory_collect_candidates(ms, MEMBER_ALIVE, false, candidates);
	if (candidates->len == 0)
		directory_collect_candidates(
		    ms, MEMBER_ALIVE, true, candidates);
	/* A suspect member is more likely slow than dead. */
	if (candidates->len == 0)
		directory_collect_candidates(
		    ms, MEMBER_SUSPECT, true, candidates);
	if ((answer->best = directory_take_best(&c)) == NULL) {
		log_debug("no entry VM accepts requests");
		return;
	}
	((struct member *)answer->best)->answers_since_load++;
	if (candidates->len < DIRECTORY_ALTERNATES) {
		g_ptr_array_set_size(candidates, 0);
		directory_collect_candidates(
		    ms, answer->best->state, true, candidates);
		g_ptr_array_remove_fast(
		    candidates, (struct member *)answer->best);
	}
	/* Alternates are for failures of the best VM or of its whole domain. */
	c.preferred_domain = "";
	c.avoided_domain = answer->best->domain;
	for (i = 0; i < DIRECTORY_ALTERNATES; i++)
		answer->alternates[i] = directory_take_best(&c);
	log_debug("chose %s", answer->best->name);
}
