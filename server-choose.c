/*
 * Selects the backend server of a request. Requests that share a long prompt
 * prefix go to a server that has read it before: rendezvous hashing (Thaler and
 * Ravishankar, 1998) gives every node the same home server for the prefix
 * without a message. If the home has many unread tokens or fails, a server with
 * a lower cost is selected.
 */

#define LOG_PART "choose"
#include "server.h"

#include <string.h>

#include <xxhash.h>

/* Assumed prefill speed of a server in prompt tokens per millisecond. */
#define CHOOSE_TOKENS_PER_MS 60.0
/*
 * Weight of reading a shared prefix again: it costs more than its own time, as
 * it delays all other streams of the server.
 */
#define CHOOSE_REREAD_FACTOR 10.0
/*
 * Cost of a further copy of a prefix, as a part of the time to read it: it
 * displaces as many tokens of other prompts, which are read again when needed.
 */
#define CHOOSE_COPY_FACTOR 0.8
/*
 * Cost of each running request to the others, in milliseconds. Under twice the
 * load, more requests are served in time with 18 than with 6, and fewer with 0
 * (four sites of 9 to 18 servers).
 */
#define CHOOSE_RUNNING_MS 18.0
/* Cost of each consecutive failure, and of a server that rests after them. */
#define CHOOSE_FAILURE_MS 400.0
#define CHOOSE_REST_MS 20000.0
/* Interval of attempts on a server that is down, for all nodes together. */
#define CHOOSE_TRY_MS 500
/* Maximum interval for each node that decides without a coordinator. */
#define CHOOSE_TRY_MAX_MS (4 * MSEC_SECOND)
/* Requests of this node on a server after its rest, until it answers one. */
#define CHOOSE_RESTED_REQUESTS 2
/* Cost of a server in another failure domain. */
#define CHOOSE_DOMAIN_MS 2.0
/* A server is slow below this part of the mean speed of its group. */
#define CHOOSE_SLOW_PART 0.75
/* Maximum number of quiet servers in a group. */
#define CHOOSE_QUIET_MAX 64
/*
 * Cost of a light request on a server that is not quiet, and of a long prompt
 * on a quiet server. A long prompt delays all light requests on its server, so
 * it goes to a quiet one only if it would hardly be served in time elsewhere:
 * under three times the load far more light requests are served in time with 8
 * seconds than with 0.6 (60 nodes, 90 servers).
 */
#define CHOOSE_LIGHT_OFF_QUIET_MS 600.0
#define CHOOSE_LONG_ON_QUIET_MS 8000.0
/* Cost of a server on which the stream would miss its gap target. */
#define CHOOSE_PAUSE_MS 300.0
/* Cost of a stream on a version that other nodes may not know yet. */
#define CHOOSE_HELD_VERSION_MS 20000.0
/* Interval at which a request without a server looks for one. */
#define CHOOSE_WAIT_STEP_MS 15
/* A refusal within this part of the target is early. */
#define CHOOSE_EARLY_PART 8

static bool
wish_excludes(const struct server_wish *w, name_id id)
{
	unsigned int i;

	for (i = 0; i < w->navoid; i++) {
		if (w->avoid[i] == id)
			return true;
	}
	return false;
}

bool
server_suits(const struct server *v, const struct server_wish *w)
{
	return w->software == 0 || w->software == v->software_id;
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
 * Jump consistent hash (Lamping and Veach, 2014): if the number of groups
 * changes by one, few servers change their group. With a modulo nearly all
 * would, and every prompt would be read again whenever some servers crash.
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
choose_in_view(
    const struct server *v, name_id service, const struct server_view *view)
{
	return v->service == service && server_takes_work(v, view->now) &&
	       (view->groups <= 1 ||
		   server_group(v, view->groups) == view->group);
}

/*
 * Returns true if the server may be a quiet server or the home of a prompt. One
 * that is short of its rate limit may not: it would refuse most of these
 * requests, and they would spread over all other servers.
 */
static bool
choose_is_unthrottled(
    const struct server *v, name_id service, const struct server_view *view)
{
	return choose_in_view(v, service, view) &&
	       !server_rate_is_short(&v->rate, view->now);
}

unsigned int
servers_count_unthrottled(
    struct servers *s, name_id service, const struct server_view *view)
{
	struct server *v;
	unsigned int n = 0;

	RB_FOREACH (v, server_tree, &s->tree)
		n += choose_is_unthrottled(v, service, view);
	return n;
}

double
servers_mean_speed(
    struct servers *s, name_id service, const struct server_view *view)
{
	struct server *v;
	unsigned int n = 0;
	double sum = 0;

	RB_FOREACH (v, server_tree, &s->tree) {
		if (!choose_in_view(v, service, view))
			continue;
		sum += server_speed_factor(&v->speed);
		n++;
	}
	return n > 0 ? sum / n : 0;
}

unsigned int
servers_count_ready(
    struct servers *s, name_id service, const struct server_view *view)
{
	struct server *v;
	unsigned int n = 0;

	RB_FOREACH (v, server_tree, &s->tree)
		n += choose_in_view(v, service, view);
	return n;
}

static bool
choose_is_alternative(const struct server *v, const struct server_wish *w)
{
	const struct server_view whole = { .groups = 1 };

	return choose_in_view(v, w->service, &whole) && v->rate.per_s == 0 &&
	       !wish_excludes(w, v->id) && server_suits(v, w);
}

bool
servers_have_alternative(struct servers *s, const struct server_wish *w)
{
	struct server *v;

	RB_FOREACH (v, server_tree, &s->tree) {
		if (choose_is_alternative(v, w))
			return true;
	}
	return false;
}

bool
servers_have_lively(struct servers *s, const struct server_wish *w, msec now)
{
	struct server *v;

	RB_FOREACH (v, server_tree, &s->tree) {
		if (choose_is_alternative(v, w) && !v->down &&
		    server_sign_awaited(&v->sign, now) < SERVER_SIGN_WAIT_MS)
			return true;
	}
	return false;
}

/* Prompt tokens that a server reads per ms, by its speed among the others. */
static double
choose_tokens_per_ms(const struct server *v, const struct server_view *view)
{
	if (view->mean_speed <= 0)
		return CHOOSE_TOKENS_PER_MS;
	return CHOOSE_TOKENS_PER_MS * server_speed_factor(&v->speed) /
	       view->mean_speed;
}

/*
 * Rank by which quiet servers are selected: slow servers come last, as a light
 * request on one waits too long for its tokens beside others' prompts.
 */
static uint64_t
choose_rank(const struct server *v, const struct server_view *view)
{
	bool slow = server_speed_factor(&v->speed) <
		    view->mean_speed * CHOOSE_SLOW_PART;

	return v->rank / 2 + (slow ? UINT64_MAX / 2 : 0);
}

/*
 * The first `quiet` servers by rank are quiet. Returns the highest of their
 * ranks, or 0 if there are none. Computed once per selection, since a service
 * may have hundreds of servers.
 */
static uint64_t
choose_quiet_rank(
    struct servers *s, name_id service, const struct server_view *view)
{
	uint64_t ranks[CHOOSE_QUIET_MAX], rank;
	unsigned int n = 0, most = MIN(view->quiet, CHOOSE_QUIET_MAX), i;
	struct server *v;

	if (most == 0)
		return 0;
	RB_FOREACH (v, server_tree, &s->tree) {
		if (!choose_is_unthrottled(v, service, view))
			continue;
		rank = choose_rank(v, view);
		if (n == most && rank >= ranks[n - 1])
			continue;
		for (i = n < most ? n++ : n - 1; i > 0; i--) {
			if (ranks[i - 1] < rank)
				break;
			ranks[i] = ranks[i - 1];
		}
		ranks[i] = rank;
	}
	return n > 0 ? ranks[n - 1] : 0;
}

/* Returns the home server of a prompt, or NULL. */
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
		if (!choose_is_unthrottled(v, w->service, view) ||
		    (choose_rank(v, view) <= quiet_rank) != view->light)
			continue;
		weight = choose_weight(v, w->prompt);
		if (best == NULL || weight > most) {
			best = v;
			most = weight;
		}
	}
	return best;
}

/* A server that is new cannot have read the prompt for other nodes. */
static bool
choose_is_new(const struct server *v, msec now)
{
	return v->new_at != 0 && now - v->new_at < SERVER_MEMORY_KEPT_MS;
}

/*
 * Returns true if the server probably holds the prompt in its cache. A
 * coordinator has counted all requests, so its records are complete. Any other
 * node assumes that requests of other nodes have brought the prompt to its home
 * server, and uses the records of its own requests for the other servers.
 */
static bool
choose_has_prompt(struct servers *s, const struct server *v, msec now,
    const struct server_wish *w, const struct server_view *view,
    const struct server *home)
{
	if (view->all &&
	    server_memory_has(&s->all_memory, now, server_cache_id(v),
		w->prompt, SERVER_MEMORY_KEPT_MS))
		return true;
	if (view->all && !view->young)
		return false;
	if (v == home && choose_is_new(v, now))
		home = NULL;
	return v == home ||
	       server_memory_has(&s->memory, now, server_cache_id(v), w->prompt,
		   SERVER_MEMORY_KEPT_MS);
}

/*
 * Returns true unless the server is probably unable to send a prompt. After a
 * failure it has to answer first, or prove to be another process: the end of
 * its rest does not show that it runs.
 */
static bool
choose_can_send(const struct server *v, const struct server_wish *w)
{
	return v->state != SERVER_GONE && v->failures == 0 &&
	       !wish_excludes(w, v->id);
}

/*
 * As coordinator: the server that holds the prompt and can send it soonest;
 * NULL: none, or servers do not transfer prompts.
 */
static struct server *
choose_source(struct servers *s, msec now, const struct server_wish *w,
    const struct server_view *view)
{
	struct server *v, *best = NULL;

	if (!view->all || w->prompt == 0 ||
	    !prompt_transfer_possible(view->transfer))
		return NULL;
	RB_FOREACH (v, server_tree, &s->tree) {
		if (v->service != w->service || !choose_can_send(v, w) ||
		    !server_memory_has_read(&s->all_memory, now,
			server_cache_id(v), w->prompt, SERVER_MEMORY_KEPT_MS))
			continue;
		if (best == NULL || v->fetches_until < best->fetches_until)
			best = v;
	}
	return best;
}

static double
choose_fetch_ms(const struct server *v, const struct server *source,
    const struct server_wish *w, const struct server_view *view)
{
	return prompt_fetch_ms(view->transfer, view->now, source->fetches_until,
	    v->fetches_until, w->shared);
}

static bool
choose_has_space(const struct server *v, const struct server_wish *w,
    const struct server_view *view)
{
	return prompt_space_has_room(
	    &v->space, view->transfer, view->now, w->shared);
}

/* Cost of the shared part of the prompt on a server, in ms. */
static double
choose_prompt_cost(struct servers *s, const struct server *v, msec now,
    const struct server_wish *w, const struct server_view *view,
    const struct server *home, const struct server *source)
{
	double cost;

	if (choose_has_prompt(s, v, now, w, view, home))
		return 0;
	cost = w->shared * (v == home ? 1.0 : CHOOSE_REREAD_FACTOR) /
	       choose_tokens_per_ms(v, view);
	if (source != NULL && source != v && choose_has_space(v, w, view))
		cost = MIN(cost, choose_fetch_ms(v, source, w, view) +
				     CHOOSE_COPY_FACTOR * w->shared /
					 choose_tokens_per_ms(v, view));
	return cost;
}

/*
 * Estimated wait for a slot, in ms. A server with all slots in use begins the
 * next request when one ends: with twelve slots that are held for 0.6 s, each
 * further request waits 50 ms.
 */
static double
choose_slot_wait(const struct server *v, const struct server_load *l,
    const struct server_view *view)
{
	if (v->slots == 0 || l->running < v->slots)
		return 0;
	return (l->running - v->slots + 1) * view->hold_ms / v->slots;
}

bool
server_misses_gap(const struct server *v, msec now, const struct server_wish *w)
{
	return w->gap_target > 0 &&
	       server_pace_expected(&v->pace, now) > (double)w->gap_target;
}

static double
choose_cost(struct servers *s, const struct server *v, msec now,
    const struct server_wish *w, const struct server_view *view,
    const struct server *home, const struct server *source, uint64_t quiet_rank)
{
	const struct server_load *l = view->all ? &v->all : &v->own;
	double tokens = (double)l->unread + w->own, cost;

	cost = tokens / choose_tokens_per_ms(v, view) +
	       l->running * CHOOSE_RUNNING_MS;
	cost += choose_prompt_cost(s, v, now, w, view, home, source);
	cost += choose_slot_wait(v, l, view);
	if (view->all && server_misses_gap(v, now, w))
		cost += CHOOSE_PAUSE_MS;
	cost += v->failures * CHOOSE_FAILURE_MS;
	if (now < v->resting_until)
		cost += CHOOSE_REST_MS;
	if (w->gap_target > 0 && w->software == 0 &&
	    server_version_is_held(
		&s->versions, now, v->service, v->software_id))
		cost += CHOOSE_HELD_VERSION_MS;
	if (*view->domain != '\0' && strcmp(v->domain, view->domain) != 0)
		cost += CHOOSE_DOMAIN_MS;
	if (view->quiet > 0 &&
	    (choose_rank(v, view) <= quiet_rank) != view->light)
		cost += view->light ? CHOOSE_LIGHT_OFF_QUIET_MS
				    : CHOOSE_LONG_ON_QUIET_MS;
	return cost;
}

msec
server_reading_ms(
    const struct server *v, unsigned int rank, const struct server_view *view)
{
	const struct server_load *l = view->all ? &v->all : &v->own;
	uint64_t tokens = 0;
	unsigned int i;

	for (i = 0; i <= MIN(rank, SERVER_RANKS - 1); i++)
		tokens += l->unread_by[i];
	return (msec)((double)tokens / choose_tokens_per_ms(v, view));
}

msec
servers_reading_ms(struct servers *s, name_id service, unsigned int rank,
    const struct server_view *view)
{
	uint64_t quiet_rank = choose_quiet_rank(s, service, view);
	struct server *v;
	unsigned int n = 0;
	msec sum = 0;

	RB_FOREACH (v, server_tree, &s->tree) {
		if (!choose_in_view(v, service, view) ||
		    (choose_rank(v, view) <= quiet_rank) != view->light ||
		    v->rate.per_s > 0)
			continue;
		sum += server_reading_ms(v, rank, view);
		n++;
	}
	return n > 0 ? sum / n : MSEC_NEVER;
}

/* Returns true if the server's rate limit allows it; see server-rate.h. */
static bool
choose_rate_allows(
    struct server *v, msec now, const struct server_view *view, uint64_t draw)
{
	double part = (double)draw / (double)UINT64_MAX;

	if (view->sole)
		return server_rate_allows(
		    &v->rate, now, view->takeover, view->urgent, part);
	return server_rate_allows_alone(&v->rate, now, view->nodes, part);
}

/* Returns true if the server has room, in case that it is brittle. */
static bool
choose_room_allows(struct server *v, msec now, const struct server_view *view)
{
	unsigned int nodes = view->sole ? 1 : view->nodes;
	unsigned int running = v->own.running;

	/* A new coordinator does not know all that runs. */
	if (view->sole)
		running = MAX(running, v->all.running);
	/* The previous coordinator may still place requests. */
	if (view->sole && view->takeover)
		nodes = 2;
	return server_room_allows(&v->room, now, v->slots, running, nodes,
	    (double)choose_weight(v, view->self) / (double)UINT64_MAX,
	    view->urgent);
}

/* Guards against all requests at once at the end of a server's rest. */
static bool
choose_rest_allows(const struct server *v)
{
	return v->rest_until == 0 || v->own.running < CHOOSE_RESTED_REQUESTS;
}

msec
servers_rest_wait(struct servers *s, name_id service, msec now)
{
	struct server *v;
	msec least = 0;

	RB_FOREACH (v, server_tree, &s->tree) {
		if (v->service != service || v->state != SERVER_READY ||
		    v->says_leaving)
			continue;
		if (now >= v->rest_until)
			return 0;
		least = least == 0 ? v->rest_until - now
				   : MIN(least, v->rest_until - now);
	}
	return least;
}

bool
servers_have_brittle(struct servers *s, name_id service, msec now)
{
	const struct server_view whole = { .groups = 1 };
	struct server *v;

	RB_FOREACH (v, server_tree, &s->tree) {
		if (choose_in_view(v, service, &whole) &&
		    server_is_brittle(&v->room, now))
			return true;
	}
	return false;
}

/*
 * A node that starts reads the list in parts, and the servers of a service may
 * be in the last one. Guards against refusals by all nodes of a fleet that
 * starts at once, whose lists arrive late.
 */
msec
servers_retry_ms(
    struct servers *s, name_id service, msec now, msec waited, msec target)
{
	if (s->complete && !servers_have_brittle(s, service, now))
		return 0;
	return waited + CHOOSE_WAIT_STEP_MS > target / CHOOSE_EARLY_PART
		   ? 0
		   : CHOOSE_WAIT_STEP_MS;
}

/*
 * Limits attempts on a server that is down. Guards against sending all requests
 * to a crashed server that is still listed while the others are full: each was
 * refused by another process at its address. A node that decides without a
 * coordinator waits longer, as the other nodes try the server too.
 */
static bool
choose_may_try(const struct server *v, msec now, const struct server_view *view)
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
		if (!choose_in_view(v, service, &whole))
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
	const struct server *source = choose_source(s, now, w, view);
	struct server *v, *best = NULL;
	uint64_t tie, best_tie = 0;
	double cost, least = 0;

	RB_FOREACH (v, server_tree, &s->tree) {
		tie = choose_weight(v, draw);
		if (!choose_in_view(v, w->service, view) ||
		    wish_excludes(w, v->id) || !server_suits(v, w) ||
		    !choose_may_try(v, now, view) ||
		    !choose_rate_allows(v, now, view, tie) ||
		    !choose_room_allows(v, now, view) || !choose_rest_allows(v))
			continue;
		cost =
		    choose_cost(s, v, now, w, view, home, source, quiet_rank);
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

struct server *
server_fetch_source(struct servers *s, msec now, const struct server_wish *w,
    const struct server_view *view, const struct server *v)
{
	struct server *source = choose_source(s, now, w, view);

	if (source == NULL || source == v ||
	    server_memory_has(&s->all_memory, now, server_cache_id(v),
		w->prompt, SERVER_MEMORY_KEPT_MS) ||
	    choose_fetch_ms(v, source, w, view) >=
		w->shared / choose_tokens_per_ms(v, view))
		return NULL;
	return source;
}

struct server *
server_guess_source(struct servers *s, msec now, const struct server_wish *w,
    const struct server_view *view, const struct server *v)
{
	const struct server *home;

	if ((view->all && !view->young) || w->prompt == 0 ||
	    !prompt_transfer_possible(view->transfer))
		return NULL;
	home = choose_home(s, w, view, choose_quiet_rank(s, w->service, view));
	if (home == NULL || home == v || choose_is_new(home, now) ||
	    !choose_can_send(home, w) ||
	    choose_has_prompt(s, v, now, w, view, home) ||
	    prompt_transfer_ms(view->transfer, w->shared) >=
		w->shared / choose_tokens_per_ms(v, view))
		return NULL;
	return servers_find(s, home->id);
}
