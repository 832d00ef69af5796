/*
 * The entry directory: which VMs are offered to callers, and how callers spread
 * over them when they keep their answers and loads are known late.
 */

#include "directory.h"

#include <string.h>

#define NODES 8
#define CALLERS 4000

struct directory_world {
	struct members members;
	GRand *rand;
	msec now;
};

static void
op_send(struct members *ms, uint32_t address, uint16_t port, const sp_msg *msg)
{
}

static void
op_changed(struct members *ms, const struct member *m)
{
}

static const struct member_ops ops = { op_send, op_changed };
static char names[NODES][NAME_SIZE], domains[NODES][NAME_SIZE];

/* A probe from node i with its load and with updates about it. */
static void
world_receive_probe(struct directory_world *t, unsigned int i,
    sp_member_state state, unsigned int load)
{
	sp_msg msg = { .kind = SP_PROBE };
	sp_news news = { .name = names[i],
		.domain = domains[i],
		.incarnation = 1,
		.state = state,
		.address = 1 + i,
		.peer_port = 7000,
		.caller_port = 8000,
		.control_port = 9000 };

	msg.sp_msg_u.probe.news.news_val = &news;
	msg.sp_msg_u.probe.news.news_len = 1;
	msg.sp_msg_u.probe.self.load_permille = load;
	members_receive(
	    &t->members, t->now, name_hash(names[i]), 1, 1 + i, 7000, &msg);
}

/* Node 0 is the local node. Domains are hall-0 to hall-2. */
static void
world_init(struct directory_world *t, uint32_t seed)
{
	struct member_config cfg = { .incarnation = 1,
		.address = 1,
		.peer_port = 7000,
		.caller_port = 8000,
		.control_port = 9000,
		.seed = seed };
	unsigned int i;

	memset(t, 0, sizeof *t);
	t->now = 1000;
	t->rand = g_rand_new_with_seed(seed);
	for (i = 0; i < NODES; i++) {
		g_snprintf(names[i], NAME_SIZE, "entry-%u", i);
		g_snprintf(domains[i], NAME_SIZE, "hall-%u", i % 3);
	}
	cfg.name = names[0];
	cfg.domain = domains[0];
	members_init(&t->members, &ops, &cfg, t->now);
	for (i = 1; i < NODES; i++) {
		world_receive_probe(t, i, SP_ALIVE, 0);
		/* The load counts once its sender is known as a member. */
		t->now++;
		world_receive_probe(t, i, SP_ALIVE, 0);
	}
}

static void
world_finish(struct directory_world *t)
{
	members_finish(&t->members);
	g_rand_free(t->rand);
}

static unsigned int
node_index(const struct member *m)
{
	return m->address - 1;
}

/*
 * An operator stops a VM, another one crashes, a third is unreachable. A caller
 * that is sent to any of them loses time or is refused. None may be offered, as
 * best or as alternate.
 */
static void
test_only_working(void)
{
	struct directory_answer a;
	struct directory_world t;
	unsigned int i, j, n;

	world_init(&t, 1);
	world_receive_probe(&t, 1, SP_LEAVING, 0);
	world_receive_probe(&t, 2, SP_DEAD, 0);
	world_receive_probe(&t, 3, SP_SUSPECT, 0);
	members_leave(&t.members, t.now);
	for (i = 0; i < 2000; i++) {
		directory_choose(&t.members, i % 2 ? "hall-1" : "", t.rand, &a);
		g_assert_nonnull(a.best);
		g_assert_cmpuint(node_index(a.best), >=, 4);
		for (j = 0; j < DIRECTORY_ALTERNATES; j++) {
			n = node_index(a.alternates[j]);
			g_assert_cmpuint(n, >=, 4);
			g_assert_true(a.alternates[j] != a.best);
		}
		g_assert_true(a.alternates[0] != a.alternates[1]);
		g_assert_cmpint(a.lifetime, >=, 5 * MSEC_SECOND);
		g_assert_cmpint(a.lifetime, <=, 20 * MSEC_SECOND);
	}
	world_finish(&t);
}

/*
 * Guards against offering a member that has just started and reports that it is
 * full.
 */
static void
test_not_full(void)
{
	struct directory_answer a;
	struct directory_world t;
	unsigned int i;

	world_init(&t, 1);
	t.now++;
	for (i = 1; i < NODES - 1; i++)
		world_receive_probe(&t, i, SP_ALIVE, 1000);
	members_set_self(&t.members, 0, 1000);
	for (i = 0; i < 500; i++) {
		directory_choose(&t.members, i % 2 ? "hall-1" : "", t.rand, &a);
		g_assert_cmpuint(node_index(a.best), ==, NODES - 1);
	}
	/* A full VM is better than none. */
	world_receive_probe(&t, NODES - 1, SP_LEAVING, 0);
	directory_choose(&t.members, "", t.rand, &a);
	g_assert_nonnull(a.best);
	world_finish(&t);
}

/*
 * The local node is leaving and partitioned from all others. A suspect is a
 * better address than none, but once all others are held dead there is none.
 */
static void
test_nobody(void)
{
	struct directory_answer a;
	struct directory_world t;
	unsigned int i;

	world_init(&t, 1);
	members_leave(&t.members, t.now);
	for (i = 1; i < NODES; i++)
		world_receive_probe(&t, i, i < 3 ? SP_SUSPECT : SP_DEAD, 0);
	directory_choose(&t.members, "", t.rand, &a);
	g_assert_nonnull(a.best);
	g_assert_nonnull(a.alternates[0]);
	g_assert_null(a.alternates[1]);
	for (i = 1; i < NODES; i++)
		world_receive_probe(&t, i, SP_DEAD, 0);
	directory_choose(&t.members, "", t.rand, &a);
	g_assert_null(a.best);
	g_assert_null(a.alternates[0]);
	world_finish(&t);
}

/*
 * Callers name their failure domain. They get a VM in it while it is about as
 * loaded as the rest, and another when it is much more loaded. The first
 * alternate is mostly in another domain, as a domain can fail as a whole.
 */
static void
test_domain(void)
{
	unsigned int i, j, round, local, elsewhere;
	struct directory_answer a;
	struct directory_world t;

	for (round = 0; round < 2; round++) {
		world_init(&t, 3);
		local = elsewhere = 0;
		for (i = 0; i < 1000; i++) {
			t.now++;
			for (j = 1; j < NODES; j++)
				world_receive_probe(&t, j, SP_ALIVE,
				    j % 3 != 2	 ? 50
				    : round == 0 ? 150
						 : 900);
			directory_choose(&t.members, "hall-2", t.rand, &a);
			local += strcmp(a.best->domain, "hall-2") == 0;
			elsewhere += strcmp(a.alternates[0]->domain,
					 a.best->domain) != 0;
		}
		g_test_message("local %u of 1000, first alternate elsewhere %u",
		    local, elsewhere);
		if (round == 0)
			g_assert_cmpuint(local, >, 500);
		else
			/* One in 16 finds both random ones in its hall. */
			g_assert_cmpuint(local, <, 100);
		g_assert_cmpuint(elsewhere, >, 700);
		world_finish(&t);
	}
}

struct spread {
	unsigned int callers[NODES];
	unsigned int on[CALLERS];
	msec until[CALLERS];
};

static void
spread_move(struct spread *s, struct directory_world *t, unsigned int caller)
{
	struct directory_answer a;

	directory_choose(&t->members, "", t->rand, &a);
	s->callers[s->on[caller]] -= s->until[caller] != 0;
	s->on[caller] = node_index(a.best);
	s->callers[s->on[caller]]++;
	s->until[caller] = t->now + a.lifetime;
}

/*
 * All callers arrive within two seconds, keep their answer for its lifetime and
 * ask again; loads are known a second late. If all were given the least loaded
 * VM, it would get a whole second's callers, and the next VM those of the next
 * second (thundering herd). Measured as the maximum load over the mean.
 */
static void
test_no_herd(void)
{
	struct spread *s = g_new0(struct spread, 1);
	unsigned int i, step, busiest, worst = 0, reported[NODES] = { 0 };
	struct directory_world t;

	world_init(&t, 5);
	for (step = 0; step < 600; step++) {
		t.now += 100;
		for (i = 0; i < CALLERS; i++) {
			if (i < step * CALLERS / 20 && s->until[i] <= t.now)
				spread_move(s, &t, i);
		}
		for (i = 0, busiest = 0; i < NODES; i++)
			busiest = MAX(busiest, s->callers[i]);
		if (step >= 20)
			worst = MAX(worst, busiest * 100 * NODES / CALLERS);
		if (step % 10 != 0)
			continue;
		/* The load of a second ago is received now. */
		for (i = 0; i < NODES; i++) {
			if (i == 0)
				members_set_self(&t.members, 0, reported[i]);
			else
				world_receive_probe(
				    &t, i, SP_ALIVE, reported[i]);
			reported[i] = s->callers[i] * 500 * NODES / CALLERS;
		}
	}
	g_test_message("busiest VM at worst %u%% of the mean", worst);
	g_assert_cmpuint(worst, <, 150);
	world_finish(&t);
	g_free(s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/directory/only-working", test_only_working);
	g_test_add_func("/directory/not-full", test_not_full);
	g_test_add_func("/directory/nobody", test_nobody);
	g_test_add_func("/directory/domain", test_domain);
	g_test_add_func("/directory/no-herd", test_no_herd);
	return g_test_run();
}
