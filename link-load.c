/*
 * How loaded a node's own link is; see link-load.h.
 */

#include "link-load.h"

#include <string.h>

/*
 * Five samples of the state's tick of 100 ms: long enough for some connections
 * to stand on a node in use, short beside the 1 s for which callers keep an
 * answer of the directory.
 */
#define LINK_LOAD_WINDOW 500
/*
 * With fewer connections begun in a window it says nothing: a single server
 * that is gone could be all that was tried.
 */
#define LINK_LOAD_LEAST_TRIED 8
/*
 * The shortest connection takes that much longer than ever: no queue yet. A
 * process that shares its processor sees connections up to some 20 ms late.
 */
#define LINK_LOAD_FREE 20
/*
 * From here on the load goes to the top within a window: a link is choked with
 * 600 ms, after which connections are given up, and gets there within a second
 * once it is given more than it carries.
 */
#define LINK_LOAD_CHOKED 100
#define LINK_LOAD_TOP 999
/*
 * A free window takes so much off, all within 50 s. Callers go by news and
 * answers that are up to 5 s old: a load that falls faster swings between
 * choked and deserted (of 80,000 connections of the load in test-link-load
 * 3,200 found no way with 8, 3,800 with 12, 11,600 with 24 and half the rise).
 */
#define LINK_LOAD_FALL 10U
/*
 * An answer names at least that part of those it could name, so that nobody
 * gets more than eight times its share, as a node that was just started beside
 * loaded ones would.
 */
#define LINK_LOAD_PART 8

/*
 * Whose load is that much above the least loaded one's is named only to fill
 * an answer up. Loads are known late: what others had heard was 350 on average
 * where it was 820 (permille, 60 nodes, from their logs).
 */
#define LINK_LOAD_LEFT_OUT 400

/* ---- a node's own link ---- */

void
link_load_init(struct link_load *l, msec now)
{
	*l = (struct link_load){ .least = MSEC_NEVER,
		.shortest = MSEC_NEVER,
		.ends = now + LINK_LOAD_WINDOW };
}

void
link_load_stood(struct link_load *l, msec took)
{
	l->shortest = MIN(l->shortest, took);
	l->least = MIN(l->least, took);
}

/* How long new connections waited in the window, up to LINK_LOAD_CHOKED. */
static msec
link_load_delay(const struct link_load *l, uint64_t tried)
{
	msec delay;

	if (tried - l->tried_before < LINK_LOAD_LEAST_TRIED)
		return 0;
	if (l->shortest == MSEC_NEVER)
		return LINK_LOAD_CHOKED;
	delay = l->shortest - l->least;
	return delay < LINK_LOAD_FREE ? 0 : MIN(delay, LINK_LOAD_CHOKED);
}

void
link_load_tick(struct link_load *l, msec now, uint64_t tried)
{
	msec delay;

	if (now < l->ends)
		return;
	delay = link_load_delay(l, tried);
	if (delay > 0)
		l->permille += (LINK_LOAD_TOP - l->permille) *
			       (unsigned int)delay / LINK_LOAD_CHOKED;
	else
		l->permille -= MIN(l->permille, LINK_LOAD_FALL);
	l->shortest = MSEC_NEVER;
	l->tried_before = tried;
	l->ends = now + LINK_LOAD_WINDOW;
}

/* ---- whom the directory names ---- */

/*
 * What is taken for the load of a member that has told none yet: the mean of
 * the others'. Right after a start its link is free, and while the others are
 * choked it is not so for long.
 */
static unsigned int
members_usual_load(const GPtrArray *members)
{
	unsigned int sum = 0, told = 0;
	const struct member *m;
	guint i;

	for (i = 0; i < members->len; i++) {
		m = g_ptr_array_index(members, i);
		if (m->load_at == MSEC_NEVER)
			continue;
		sum += m->load_permille;
		told++;
	}
	return told > 0 ? sum / told : 0;
}

static unsigned int
member_load(const struct member *m, unsigned int usual)
{
	return m->load_at == MSEC_NEVER ? usual : m->load_permille;
}

static unsigned int
members_least_load(const GPtrArray *members, unsigned int usual)
{
	unsigned int least = LINK_LOAD_NO_WORK;
	guint i;

	for (i = 0; i < members->len; i++)
		least = MIN(
		    least, member_load(g_ptr_array_index(members, i), usual));
	return least;
}

static GPtrArray *
members_of_domain(const GPtrArray *all, const char *domain)
{
	GPtrArray *some = g_ptr_array_new();
	const struct member *m;
	guint i;

	for (i = 0; i < all->len; i++) {
		m = g_ptr_array_index(all, i);
		if (domain == NULL || strcmp(m->domain, domain) == 0)
			g_ptr_array_add(some, g_ptr_array_index(all, i));
	}
	return some;
}

/*
 * Those whose load is at most so much, and some of the others, drawn at random,
 * where these are too few.
 */
static GPtrArray *
members_thin(
    const GPtrArray *members, unsigned int usual, unsigned int most, GRand *r)
{
	g_autoptr(GPtrArray) rest = g_ptr_array_new();
	GPtrArray *kept = g_ptr_array_new();
	guint i, least;

	for (i = 0; i < members->len; i++) {
		struct member *m = g_ptr_array_index(members, i);

		g_ptr_array_add(member_load(m, usual) <= most ? kept : rest, m);
	}
	least = MAX((members->len + LINK_LOAD_PART - 1) / LINK_LOAD_PART,
	    LINK_LOAD_LEAST_NAMED);
	while (kept->len < least && rest->len > 0) {
		i = (guint)g_rand_int_range(r, 0, (gint32)rest->len);
		g_ptr_array_add(kept, g_ptr_array_remove_index_fast(rest, i));
	}
	return kept;
}

/* How many are loaded at most so much. */
static unsigned int
members_free(const GPtrArray *members, unsigned int usual, unsigned int most)
{
	unsigned int n = 0;
	guint i;

	for (i = 0; i < members->len; i++)
		n += member_load(g_ptr_array_index(members, i), usual) <= most;
	return n;
}

GPtrArray *
link_load_choose(const GPtrArray *all, const char *domain, GRand *r)
{
	g_autoptr(GPtrArray) some = members_of_domain(all, domain);
	unsigned int usual = members_usual_load(all);
	unsigned int most =
	    members_least_load(all, usual) +
	    (unsigned int)g_rand_int_range(r, 0, LINK_LOAD_LEFT_OUT);

	/* A free one elsewhere is better than a choked one that is near. */
	if (members_free(some, usual, most) < LINK_LOAD_LEAST_NAMED) {
		g_ptr_array_unref(some);
		some = members_of_domain(all, NULL);
	}
	return members_thin(some, usual, most, r);
}
