/*
 * Which backend server gets a request. Work that shares a long prompt goes
 * where the prompt was read before: rendezvous hashing (Thaler and
 * Ravishankar, 1998) gives every node the same home for it without a message.
 * A home that has much to read, or fails, loses to the next by cost.
 */

#define LOG_PART "choose"
#include "server.h"

#include <string.h>

#include <xxhash.h>

/* Prompt tokens read in a millisecond until a server has shown its own. */
#define CHOOSE_TOKENS_PER_MS 60.0
/*
 * Reading a shared part again delays all streams beside it, so it weighs more
 * than its own time.
 */
#define CHOOSE_AGAIN_TIMES 10.0
/* What a server has read is still there so long after its last use. */
#define CHOOSE_KEPT_MS 15000
/*
 * What one more request on a server costs the others, in milliseconds: 18 for 6
 * is 0.007 of worth more under twice the load (four sites of 9 to 18 servers,
 * 14 seeds each), 0 for 6 is 0.013 less.
 */
#define CHOOSE_RUNNING_MS 18.0
/* What a failure in the last requests costs, and a rest. */
#define CHOOSE_FAILURE_MS 400.0
#define CHOOSE_REST_MS 20000.0
/* One request in so long goes to a server that is down, of all nodes'. */
#define CHOOSE_TRY_MS 500
/* And at least one in so long of each node that decides alone. */
#define CHOOSE_TRY_MAX_MS (4 * MSEC_SECOND)
/* What a link to another failure domain costs. */
#define CHOOSE_DOMAIN_MS 2.0
/* Quiet servers of one group, at most. */
#define CHOOSE_QUIET_MAX 64
/*
 * A light request gains by a server with long prompts when its own are so far
 * behind. A long prompt on a server kept for light requests breaks all of
 * them, so it goes there only when it would hardly be served in time
 * elsewhere: under three times the load light requests were worth 0.74 with 8
 * seconds and 0.44 with 0.6 (60 nodes, 90 servers).
 */
#define CHOOSE_MIX_LIGHT_MS 600.0
#define CHOOSE_MIX_LONG_MS 8000.0

static bool
wish_avoids(const struct server_wish *w, name_id id)
{
	unsigned int i;

	for (i = 0; i < w->navoid; i++) {
		if (w->avoid[i] == id)
			return true;
	}
	return false;
}

static uint64_t
choose_weight(const struct server *v, uint64_t prompt)
{
	uint64_t words[2] = { v->id, prompt };

	return XXH64(words, sizeof words, 0);
}

void
server_set_rank(struct server *v)
{
	v->rank = XXH64(&v->id, sizeof v->id, 1);
}

/*
 * Jump consistent hash (Lamping and Veach, 2014): with one group more or less,
 * few servers change theirs. By a remainder all would, and every prompt would
 * be read again, each time that some servers crash.
 */
unsigned int
server_group(const struct server *v, unsigned int groups)
{
	uint64_t key = v->rank;
	int64_t group = -1, next = 0;

	while (next < (int64_t)groups) {
		group = next;
		key = key * 2862933555777941757ULL + 1;
		next = (int64_t)((double)(group + 1) *
				 ((double)(1LL << 31) /
				     (double)((key >> 33) + 1)));
	}
	return (unsigned int)MAX(group, 0);
}

static bool
choose_sees(
    const struct server *v, name_id service, const struct server_view *view)
{
	return v->service == service && v->state == SERVER_READY &&
	       (view->groups <= 1 ||
		   server_group(v, view->groups) == view->group);
}

/*
 * Can it be kept for a kind of request, or be a prompt's home? Not one that
 * takes hardly any: what belongs there would be strewn over all others.
 */
static bool
choose_keeps(
    const struct server *v, name_id service, const struct server_view *view)
{
	return choose_sees(v, service, view) &&
	       !server_rate_is_short(&v->rate, view->now);
}

unsigned int
servers_kept(struct servers *s, name_id service, const struct server_view *view)
{
	struct server *v;
	unsigned int n = 0;

	RB_FOREACH (v, server_tree, &s->tree)
		n += choose_keeps(v, service, view);
	return n;
}

unsigned int
servers_ready(
    struct servers *s, name_id service, const struct server_view *view)
{
	struct server *v;
	unsigned int n = 0;

	RB_FOREACH (v, server_tree, &s->tree)
		n += choose_sees(v, service, view);
	return n;
}

bool
servers_have_another(struct servers *s, const struct server_wish *w)
{
	const struct server_view whole = { .groups = 1 };
	struct server *v;

	RB_FOREACH (v, server_tree, &s->tree) {
		if (choose_sees(v, w->service, &whole) && v->rate.per_s == 0 &&
		    !wish_avoids(w, v->id))
			return true;
	}
	return false;
}

/*
 * The first `quiet` servers by rank are quiet: the highest of their ranks, or
 * 0 when there are none. Found once for a choice, since a service may have
 * hundreds of servers.
 */
static uint64_t
choose_quiet_rank(
    struct servers *s, name_id service, const struct server_view *view)
{
	uint64_t ranks[CHOOSE_QUIET_MAX];
	unsigned int n = 0, most = MIN(view->quiet, CHOOSE_QUIET_MAX), i;
	struct server *v;

	if (most == 0)
		return 0;
	RB_FOREACH (v, server_tree, &s->tree) {
		if (!choose_keeps(v, service, view))
			continue;
		if (n == most && v->rank >= ranks[n - 1])
			continue;
		for (i = n < most ? n++ : n - 1; i > 0; i--) {
			if (ranks[i - 1] < v->rank)
				break;
			ranks[i] = ranks[i - 1];
		}
		ranks[i] = v->rank;
	}
	return n > 0 ? ranks[n - 1] : 0;
}

/* The server that is thought of first for a prompt, or NULL. */
static const struct server *
choose_home(struct servers *s, const struct server_wish *w,
    const struct server_view *view, uint64_t quiet_rank)
{
	const struct server *best = NULL;
	uint64_t weight, most = 0;
	struct server *v;

	if (w->prompt == 0)
		return NULL;
	RB_FOREACH (v, server_tree, &s->tree) {
		if (!choose_keeps(v, w->service, view) ||
		    (v->rank <= quiet_rank) != view->light)
			continue;
		weight = choose_weight(v, w->prompt);
		if (best == NULL || weight > most) {
			best = v;
			most = weight;
		}
	}
	return best;
}

/*
 * A coordinator saw all requests, so it knows what a server has read. Another
 * node takes it that a home has read its prompts, by the requests of others,
 * and goes by its own requests beyond that.
 */
static bool
choose_has(struct servers *s, const struct server *v, msec now,
    const struct server_wish *w, const struct server_view *view,
    const struct server *home)
{
	if (view->all && server_memory_has(&s->all_memory, now, v->id,
			     w->prompt, CHOOSE_KEPT_MS))
		return true;
	if (view->all && !view->young)
		return false;
	/* A home that has just come has read nothing for others either. */
	if (v == home && v->new_at != 0 && now - v->new_at < CHOOSE_KEPT_MS)
		home = NULL;
	return v == home || server_memory_has(&s->memory, now, v->id, w->prompt,
				CHOOSE_KEPT_MS);
}

/*
 * A server that runs as many as it has slots begins the next when one ends:
 * with twelve slots that are held for 0.6 s, each further one waits 50 ms.
 */
static double
choose_slot_wait(const struct server *v, const struct server_load *l,
    const struct server_view *view)
{
	if (v->slots == 0 || l->running < v->slots)
		return 0;
	return (l->running - v->slots + 1) * view->hold_ms / v->slots;
}

static double
choose_cost(struct servers *s, const struct server *v, msec now,
    const struct server_wish *w, const struct server_view *view,
    const struct server *home, uint64_t quiet_rank)
{
	const struct server_load *l = view->all ? &v->all : &v->own;
	double tokens = (double)l->unread + w->own, cost;

	if (!choose_has(s, v, now, w, view, home))
		tokens += w->shared * (v == home ? 1.0 : CHOOSE_AGAIN_TIMES);
	cost = tokens / CHOOSE_TOKENS_PER_MS + l->running * CHOOSE_RUNNING_MS;
	cost += choose_slot_wait(v, l, view);
	cost += v->failures * CHOOSE_FAILURE_MS;
	if (now < v->resting_until)
		cost += CHOOSE_REST_MS;
	if (*view->domain != '\0' && strcmp(v->domain, view->domain) != 0)
		cost += CHOOSE_DOMAIN_MS;
	if (view->quiet > 0 && (v->rank <= quiet_rank) != view->light)
		cost += view->light ? CHOOSE_MIX_LIGHT_MS : CHOOSE_MIX_LONG_MS;
	return cost;
}

msec
server_reading(const struct server_load *l, unsigned int rank)
{
	uint64_t tokens = 0;
	unsigned int i;

	for (i = 0; i <= MIN(rank, SERVER_RANKS - 1); i++)
		tokens += l->unread_by[i];
	return (msec)((double)tokens / CHOOSE_TOKENS_PER_MS);
}

msec
servers_reading(struct servers *s, name_id service, unsigned int rank,
    const struct server_view *view)
{
	uint64_t quiet_rank = choose_quiet_rank(s, service, view);
	struct server *v;
	unsigned int n = 0;
	msec sum = 0;

	RB_FOREACH (v, server_tree, &s->tree) {
		if (!choose_sees(v, service, view) ||
		    (v->rank <= quiet_rank) != view->light || v->rate.per_s > 0)
			continue;
		sum += server_reading(view->all ? &v->all : &v->own, rank);
		n++;
	}
	return n > 0 ? sum / n : MSEC_NEVER;
}

/* By the rate that it names; see server-rate.h. */
static bool
choose_rate_allows(
    struct server *v, msec now, const struct server_view *view, uint64_t draw)
{
	double part = (double)draw / (double)UINT64_MAX;

	if (view->sole)
		return server_rate_allows(
		    &v->rate, now, view->began, view->urgent, part);
	return server_rate_alone(&v->rate, now, view->nodes, part);
}

/*
 * Guards against requests that all go to a server where nobody is, as it still
 * is listed and the others take no more: another process at its address had to
 * turn away each of them. A node that decides alone leaves room for the others.
 */
static bool
choose_tries(const struct server *v, msec now, const struct server_view *view)
{
	msec pause = CHOOSE_TRY_MS;

	if (!view->sole)
		pause = MIN(pause * MAX(view->nodes, 1), CHOOSE_TRY_MAX_MS);
	return !v->down || now - v->tried >= pause;
}

msec
servers_rate_wait(struct servers *s, name_id service)
{
	const struct server_view whole = { .groups = 1 };
	struct server *v;
	msec wait, least = 0;

	RB_FOREACH (v, server_tree, &s->tree) {
		if (!choose_sees(v, service, &whole))
			continue;
		if ((wait = server_rate_wait(&v->rate)) == 0)
			return 0;
		least = least == 0 ? wait : MIN(least, wait);
	}
	return least;
}

struct server *
server_choose(struct servers *s, msec now, const struct server_wish *w,
    const struct server_view *view, uint32_t draw)
{
	uint64_t quiet_rank = choose_quiet_rank(s, w->service, view);
	const struct server *home = choose_home(s, w, view, quiet_rank);
	struct server *v, *best = NULL;
	uint64_t tie, best_tie = 0;
	double cost, least = 0;

	RB_FOREACH (v, server_tree, &s->tree) {
		tie = choose_weight(v, draw);
		if (!choose_sees(v, w->service, view) ||
		    wish_avoids(w, v->id) || !choose_tries(v, now, view) ||
		    !choose_rate_allows(v, now, view, tie))
			continue;
		cost = choose_cost(s, v, now, w, view, home, quiet_rank);
		if (best != NULL && cost > least)
			continue;
		if (best != NULL && cost >= least && tie < best_tie)
			continue;
		best = v;
		least = cost;
		best_tie = tie;
	}
	if (best != NULL && best->down)
		best->tried = now;
	return best;
}
