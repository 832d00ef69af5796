/*
 * Tests the choice of servers while dozens of servers are added or removed.
 * Guards against long prompts that have to be processed again after each such
 * change, which delays all other requests on these servers.
 */

#include "place.h"

#include <math.h>

#define PROMPTS 300
#define SHARED 13000
#define OWN 1000
#define FEW 60
#define MANY 90
#define MOST 120
/* Tolerance for the random sample of 300 prompts. */
#define DRAWN 0.05
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
servers_to(struct world *w, unsigned int n)
{
	char name[16];
	unsigned int i;

	for (i = 0; i < MOST; i++) {
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
	servers_to(w, FEW);
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
world_kept(struct world *w)
{
	uint64_t tokens = w->place.counters.tokens;
	uint64_t kept = w->place.counters.tokens_kept;
	unsigned int i;

	for (i = 0; i < PROMPTS; i++) {
		struct place_request r = { .wish = {
					       .service = name_hash("model"),
					       .route = 1,
					       .prompt = 1000 + i,
					       .shared = SHARED,
					       .own = OWN } };

		place_submit(&w->place, w->now, &r);
		g_assert_nonnull(w->chosen);
		w->now += 5;
		place_prompt_read(&w->place, w->now, &r);
		place_end(&w->place, w->now, &r, SERVER_ANSWERED);
	}
	tokens = w->place.counters.tokens - tokens;
	kept = w->place.counters.tokens_kept - kept;
	return (double)kept / (double)(tokens - (uint64_t)PROMPTS * OWN);
}

/* Sends all prompts until the coordinator's records are complete. */
static void
world_warm(struct world *w)
{
	unsigned int i;

	for (i = 0; i < 12; i++)
		world_kept(w);
}

/* The group that weighted rendezvous hashing gives for these draws. */
static unsigned int
group_of(const double *sizes, const double *draws, unsigned int groups)
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
groups_uneven(struct world *w, unsigned int from, unsigned int to)
{
	unsigned int groups = MOST / PLACE_GROUP_SERVERS, i, j, moved = 0;
	double sizes[2][MOST] = { { 0 } }, draws[MOST];
	char name[16];

	servers_to(w, MAX(from, to));
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
		moved += group_of(sizes[0], draws, groups) !=
			 group_of(sizes[1], draws, groups);
	}
	return (double)moved / DRAWS;
}

static void
check_servers_come(struct world *w)
{
	double before, after;

	before = world_kept(w);
	servers_to(w, MANY);
	after = world_kept(w);
	g_test_message("cached part %.3f, then %.3f", before, after);
	g_assert_cmpfloat(
	    after, >=, before - groups_uneven(w, FEW, MANY) - DRAWN);
}

/* Guards against prompts processed again when the fleet grows by half. */
static void
test_servers_come(void)
{
	struct world w;

	world_init(&w, MOST);
	world_warm(&w);
	check_servers_come(&w);
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

	world_init(&w, MOST);
	world_kept(&w);
	check_servers_come(&w);
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

	world_init(&w, MOST);
	servers_to(&w, MANY);
	world_warm(&w);
	servers_to(&w, FEW);
	after = world_kept(&w);
	g_test_message("cached part %.3f", after);
	g_assert_cmpfloat(after, >=,
	    (double)FEW / MANY - groups_uneven(&w, MANY, FEW) - DRAWN);
	world_finish(&w);
}

/* Guards against groups with too few servers in a small fleet. */
static void
test_few_servers(void)
{
	struct world w;

	world_init(&w, MOST);
	servers_to(&w, 3);
	world_kept(&w);
	/* Nearly all pairs of server and prompt are stored. */
	g_assert_cmpfloat(world_kept(&w), >=, 0.95);
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
