/*
 * Tests the choice of servers while dozens of servers are added or removed.
 * Guards against long prompts that have to be processed again after each such
 * change, which delays all other requests on these servers.
 */

#include "place.h"

#include <math.h>

#define PROMPTS 300
#define SHARED_TOKENS 13000
#define OWN_TOKENS 1000
#define SERVERS_FEW 60
#define SERVERS_MANY 90
#define SERVERS_MAX 120
/* Tolerance for the random sample of 300 prompts. */
#define SAMPLE_TOLERANCE 0.05
#define DRAWS 10000

struct world {
	struct place place;
	struct servers servers;
	GRand *rand;
	msec now;
	struct server *chosen;
};

static void
op_send(struct place *p, name_id to, const sp_msg *msg)
{
}

static void
op_decided(struct place *p, struct place_request *r, struct server *v, msec now)
{
	((struct world *)p->arg)->chosen = v;
}

static const struct place_ops ops = { op_send, op_decided };

static void
server_changed(struct servers *s, struct server *v)
{
}

static const struct server_ops server_ops = { server_changed, server_changed };

static void
world_set_servers(struct world *w, unsigned int n)
{
	char name[16];
	unsigned int i;

	for (i = 0; i < SERVERS_MAX; i++) {
		struct server_entry e = { .name = name,
			.service = "model",
			.domain = "d",
			.address = 1 + i,
			.port = 80,
			.slots = 64,
			.born = 1 };

		g_snprintf(name, sizeof name, "s-%u", i);
		if (i < n)
			servers_list(&w->servers, w->now, &e);
		else
			servers_unlist(&w->servers, w->now, name);
	}
	servers_tick(&w->servers, w->now);
}

static void
world_init(struct world *w, unsigned int most)
{
	struct place_node self = { name_hash("n"), true, -1, false };

	*w = (struct world){ .now = 100000, .rand = g_rand_new_with_seed(1) };
	servers_init(&w->servers, &server_ops);
	place_init(&w->place, &ops, &w->servers, name_hash("n"), "d", w->rand);
	w->place.arg = w;
	place_set_nodes(&w->place, w->now, &self, 1);
	if (most > 0)
		place_set_max_servers(&w->place, name_hash("model"), most);
	world_set_servers(w, SERVERS_FEW);
	servers_set_complete(&w->servers);
}

static void
world_finish(struct world *w)
{
	place_finish(&w->place);
	servers_finish(&w->servers);
	g_rand_free(w->rand);
}

/*
 * Sends each prompt once; returns the part of the shared tokens that went to a
 * server which had processed them before.
 */
static double
world_cached_part(struct world *w)
{
	uint64_t tokens = w->place.counters.tokens;
	uint64_t cached = w->place.counters.tokens_kept;
	unsigned int i;

	for (i = 0; i < PROMPTS; i++) {
		struct place_request r = { .wish = {
					       .service = name_hash("model"),
					       .route = 1,
					       .prompt = 1000 + i,
					       .shared = SHARED_TOKENS,
					       .own = OWN_TOKENS } };

		place_submit(&w->place, w->now, &r);
		g_assert_nonnull(w->chosen);
		w->now += 5;
		place_prompt_read(&w->place, w->now, &r);
		place_end(&w->place, w->now, &r, SERVER_ANSWERED);
	}
	tokens = w->place.counters.tokens - tokens;
	cached = w->place.counters.tokens_kept - cached;
	return (double)cached /
	       (double)(tokens - (uint64_t)PROMPTS * OWN_TOKENS);
}

/* Sends all prompts until the coordinator's records are complete. */
static void
world_warm_up(struct world *w)
{
	unsigned int i;

	for (i = 0; i < 12; i++)
		world_cached_part(w);
}

/* The group that weighted rendezvous hashing gives for these draws. */
static unsigned int
choose_group(const double *sizes, const double *draws, unsigned int groups)
{
	unsigned int i, best = 0;

	for (i = 1; i < groups; i++) {
		if (-sizes[i] / log(draws[i]) > -sizes[best] / log(draws[best]))
			best = i;
	}
	return best;
}

/* The part of prompts whose group changes with the sizes of the groups. */
static double
groups_moved_part(struct world *w, unsigned int from, unsigned int to)
{
	unsigned int groups = SERVERS_MAX / PLACE_GROUP_SERVERS, i, j,
		     moved = 0;
	double sizes[2][SERVERS_MAX] = { { 0 } }, draws[SERVERS_MAX];
	char name[16];

	world_set_servers(w, MAX(from, to));
	for (i = 0; i < MAX(from, to); i++) {
		const struct server *v;

		g_snprintf(name, sizeof name, "s-%u", i);
		v = servers_find(&w->servers, name_hash(name));
		sizes[0][server_group(v, groups)] += i < from;
		sizes[1][server_group(v, groups)] += i < to;
	}
	for (j = 0; j < DRAWS; j++) {
		for (i = 0; i < groups; i++)
			draws[i] = g_rand_double_range(w->rand, 1e-9, 1);
		moved += choose_group(sizes[0], draws, groups) !=
			 choose_group(sizes[1], draws, groups);
	}
	return (double)moved / DRAWS;
}

static void
check_servers_added(struct world *w)
{
	double before, after;

	before = world_cached_part(w);
	world_set_servers(w, SERVERS_MANY);
	after = world_cached_part(w);
	g_test_message("cached part %.3f, then %.3f", before, after);
	g_assert_cmpfloat(after, >=,
	    before - groups_moved_part(w, SERVERS_FEW, SERVERS_MANY) -
		SAMPLE_TOLERANCE);
}

/* Guards against prompts processed again when the fleet grows by half. */
static void
test_servers_come(void)
{
	struct world w;

	world_init(&w, SERVERS_MAX);
	world_warm_up(&w);
	check_servers_added(&w);
	world_finish(&w);
}

/*
 * The same with a coordinator that has seen each prompt only once: it must not
 * assume that new servers have processed prompts.
 */
static void
test_servers_come_to_young(void)
{
	struct world w;

	world_init(&w, SERVERS_MAX);
	world_cached_part(&w);
	check_servers_added(&w);
	world_finish(&w);
}

/*
 * Guards against more repeated processing than for the prompts of the removed
 * servers.
 */
static void
test_servers_go(void)
{
	double after;
	struct world w;

	world_init(&w, SERVERS_MAX);
	world_set_servers(&w, SERVERS_MANY);
	world_warm_up(&w);
	world_set_servers(&w, SERVERS_FEW);
	after = world_cached_part(&w);
	g_test_message("cached part %.3f", after);
	g_assert_cmpfloat(after, >=,
	    (double)SERVERS_FEW / SERVERS_MANY -
		groups_moved_part(&w, SERVERS_MANY, SERVERS_FEW) -
		SAMPLE_TOLERANCE);
	world_finish(&w);
}

/* Guards against groups with too few servers in a small fleet. */
static void
test_few_servers(void)
{
	struct world w;

	world_init(&w, SERVERS_MAX);
	world_set_servers(&w, 3);
	world_cached_part(&w);
	/* Nearly all pairs of server and prompt are stored. */
	g_assert_cmpfloat(world_cached_part(&w), >=, 0.95);
	world_finish(&w);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/place-changes/servers-come", test_servers_come);
	g_test_add_func(
	    "/place-changes/servers-come-to-young", test_servers_come_to_young);
	g_test_add_func("/place-changes/servers-go", test_servers_go);
	g_test_add_func("/place-changes/few-servers", test_few_servers);
	return g_test_run();
}
