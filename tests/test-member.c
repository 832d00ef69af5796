/*
 * Membership cores on a simulated network: what each node learns, and within
 * which time, under loss, delay, partitions, pauses and restarts.
 */

#include "util-fleet.h"

#include <inttypes.h>
#include <string.h>

#define SEEDS 5

static const unsigned int sizes[] = { 3, 8, 17, 40 };

/* Prints the seed on failure, so that the run can be repeated. */
#define assert_within(what, took, bound, n, seed)                         \
	do {                                                              \
		if ((took) < 0 || (took) > (bound))                       \
			g_error("%s took %d ms, %u nodes, seed %u", what, \
			    (int)(took), (n), (seed));                    \
	} while (0)

static void
fleet_ready(struct fleet *f, unsigned int n, uint32_t seed)
{
	msec took;

	fleet_init(f, n, seed);
	fleet_start_all(f);
	took = fleet_run_until_agreed(f, 10 * MSEC_SECOND);
	assert_within("start", took, 10 * MSEC_SECOND, n, seed);
	/*
	 * Two intervals of reading the VM list, so that every node has read it.
	 */
	fleet_run(f, 2 * MSEC_SECOND);
}

/*
 * A whole fleet starts at once with nothing but the VM list. Each node must
 * know all others and their ports before it can name them to callers.
 */
static void
test_start(void)
{
	struct fleet f;
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		fleet_ready(&f, sizes[i], i);
		g_assert_cmpuint(fleet_view(&f, 0, 1)->caller_port, ==, 8000);
		g_assert_cmpuint(fleet_view(&f, 0, 1)->control_port, ==, 9000);
		fleet_finish(&f);
	}
}

/*
 * An entry VM loses power without notice, and callers sent to it would time
 * out. All other nodes must detect this within a few seconds at any fleet size,
 * and with 2% loss must not hold any other node dead permanently.
 */
static void
test_dead(void)
{
	struct fleet f;
	unsigned int i, seed;
	msec took;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (seed = 0; seed < SEEDS; seed++) {
			fleet_ready(&f, sizes[i], seed);
			f.loss_permille = 20;
			fleet_crash(&f, 1);
			took = fleet_run_until(&f, 1, MEMBER_DEAD, 8000);
			assert_within("death", took, 5000, sizes[i], seed);
			took = fleet_run_until_agreed(&f, 5000);
			assert_within("agreement", took, 5000, sizes[i], seed);
			fleet_finish(&f);
		}
	}
}

/*
 * The network loses one datagram in five for a minute, so nodes are wrongly
 * suspected all the time. Each must refute it in time: hardly any may be held
 * dead, and none for long.
 */
static void
test_loss(void)
{
	uint64_t died = 0, refuted = 0;
	struct fleet f;
	unsigned int i;
	msec took;

	fleet_ready(&f, 12, 7);
	f.loss_permille = 200;
	fleet_run(&f, 60 * MSEC_SECOND);
	for (i = 0; i < f.n; i++) {
		died += f.nodes[i].members.counters.died;
		refuted += f.nodes[i].members.counters.refuted;
	}
	g_test_message("refuted %d, held dead %d", (int)refuted, (int)died);
	g_assert_cmpuint(refuted, >, 10);
	g_assert_cmpuint(died, <=, 2);
	f.loss_permille = 0;
	took = fleet_run_until_agreed(&f, 10 * MSEC_SECOND);
	assert_within("recovery", took, 10 * MSEC_SECOND, f.n, 7U);
	fleet_finish(&f);
}

/*
 * A VM is paused by its host for 20 seconds and then resumes; the others hold
 * it dead by then. It must not suspect the others because of its own pause, nor
 * stay dead in their view.
 */
static void
test_paused_node_refutes(void)
{
	struct fleet f;
	unsigned int i, seed;
	msec took;

	for (seed = 0; seed < SEEDS; seed++) {
		fleet_ready(&f, 8, seed);
		fleet_pause(&f, 3);
		fleet_run(&f, 20 * MSEC_SECOND);
		g_assert_cmpuint(fleet_count(&f, 3, MEMBER_DEAD), ==, 7);
		fleet_resume(&f, 3);
		took = fleet_run_until_agreed(&f, 10 * MSEC_SECOND);
		assert_within("return", took, 10 * MSEC_SECOND, 8U, seed);
		g_assert_cmpuint(f.nodes[3].members.counters.died, ==, 0);
		g_assert_cmpuint(f.nodes[3].members.counters.pauses, >, 0);
		for (i = 0; i < f.n; i++) {
			if (i != 3)
				g_assert_cmpuint(
				    f.nodes[i].members.counters.died, <=, 1);
		}
		g_assert_cmpuint(fleet_view(&f, 0, 3)->incarnation, ==, 1);
		fleet_finish(&f);
	}
}

/*
 * An operator stops a VM, and its process announces that it is leaving. Every
 * node must stop sending it new callers within a few seconds, but still hold it
 * alive, as it is finishing its answers.
 */
static void
test_leaving(void)
{
	struct fleet f;
	unsigned int i, seed;
	msec took;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (seed = 0; seed < SEEDS; seed++) {
			fleet_ready(&f, sizes[i], seed);
			members_leave(&f.nodes[2].members, f.now);
			took = fleet_run_until(&f, 2, MEMBER_LEAVING, 5000);
			assert_within("leaving", took, 3000, sizes[i], seed);
			fleet_run(&f, 30 * MSEC_SECOND);
			g_assert_cmpuint(fleet_count(&f, 2, MEMBER_LEAVING), ==,
			    sizes[i] - 1);
			g_assert_cmpuint(f.reverted, ==, 0);
			fleet_finish(&f);
		}
	}
}

/*
 * Callers were sent to a VM until 6.5 s after its stop, when it had no time
 * left for them. Callers keep an answer that names a VM for 3 s, and other VMs
 * went on giving such answers: only three learned of the stop at once, half of
 * sixty after 1.1 s, the last after 7 s. The VM takes callers for 3.5 s, so all
 * nodes must learn of the stop within half a second.
 */
static void
test_leaving_at_once(void)
{
	static const unsigned int fleets[] = { 8, 60, 300 };
	struct fleet f;
	unsigned int i, seed;
	uint64_t out;
	msec took;

	for (i = 0; i < G_N_ELEMENTS(fleets); i++) {
		for (seed = 0; seed < 2; seed++) {
			fleet_init(&f, fleets[i], seed);
			fleet_start_all(&f);
			took = fleet_run_until_agreed(&f, 60 * MSEC_SECOND);
			assert_within(
			    "start", took, 60 * MSEC_SECOND, fleets[i], seed);
			out = f.nodes[2].bytes_out;
			members_leave(&f.nodes[2].members, f.now);
			out = f.nodes[2].bytes_out - out;
			g_test_message("%u nodes: %" PRIu64
				       " bytes, start %" PRId64,
			    fleets[i], out, took);
			took = fleet_run_until(&f, 2, MEMBER_LEAVING, 5000);
			assert_within("leaving", took, 500, fleets[i], seed);
			fleet_finish(&f);
		}
	}
}

/*
 * The same with 1% loss of datagrams. The stop was announced once; nodes that
 * missed the announcement learned of it from probes, at the end of a long queue
 * of updates: of 300 nodes some went on naming the VM for 3.7 s.
 */
static void
test_leaving_under_loss(void)
{
	struct fleet f;
	unsigned int seed;
	msec took;

	for (seed = 0; seed < 6; seed++) {
		fleet_init(&f, 300, seed);
		fleet_start_all(&f);
		took = fleet_run_until_agreed(&f, 60 * MSEC_SECOND);
		assert_within("start", took, 60 * MSEC_SECOND, 300U, seed);
		f.loss_permille = 10;
		fleet_run(&f, MSEC_SECOND);
		members_leave(&f.nodes[2].members, f.now);
		took = fleet_run_until(&f, 2, MEMBER_LEAVING, 8000);
		assert_within("leaving", took, 500, 300U, seed);
		fleet_finish(&f);
	}
}

/*
 * Sixty VMs are restarted, one every 270 ms. A restarted VM got no work for 1.5
 * s, until half of the others had learned of it from probes; for as long they
 * disagreed about which node coordinates the placement of a request. Each must
 * know within half a second, and the nodes of a fleet of 300 that starts at
 * once must know each other within the 12 s in which it has to serve again.
 */
static void
test_return_at_once(void)
{
	static const unsigned int fleets[] = { 8, 60, 300 };
	struct fleet f;
	unsigned int i, seed;
	msec took;

	for (i = 0; i < G_N_ELEMENTS(fleets); i++) {
		for (seed = 0; seed < 2; seed++) {
			fleet_init(&f, fleets[i], seed);
			fleet_start_all(&f);
			took = fleet_run_until_agreed(&f, 60 * MSEC_SECOND);
			g_test_message("%u nodes: %d ms", fleets[i], (int)took);
			assert_within(
			    "start", took, 12 * MSEC_SECOND, fleets[i], seed);
			members_leave(&f.nodes[2].members, f.now);
			fleet_run(&f, 4 * MSEC_SECOND);
			fleet_crash(&f, 2);
			fleet_run(&f, 600);
			fleet_start(&f, 2);
			took = fleet_run_until_agreed(&f, 10 * MSEC_SECOND);
			assert_within("return", took, 500, fleets[i], seed);
			fleet_finish(&f);
		}
	}
}

/*
 * Guards against a restarted node that is suspected for the silence of its
 * previous process, once the fleet is calm and a suspicion spreads at once.
 */
static void
test_restart_not_suspected(void)
{
	struct fleet f;
	unsigned int i;
	msec took;

	fleet_ready(&f, 60, 1);
	fleet_run(&f, 90 * MSEC_SECOND);
	for (i = 0; i < 40; i++) {
		members_leave(&f.nodes[i].members, f.now);
		fleet_run(&f, 4 * MSEC_SECOND);
		fleet_crash(&f, i);
		fleet_run(&f, 600);
		fleet_start(&f, i);
		took = fleet_run_until_agreed(&f, 10 * MSEC_SECOND);
		assert_within("return", took, 500, f.n, 1U);
		fleet_run(&f, 4 * MSEC_SECOND);
	}
	fleet_finish(&f);
}

/*
 * A leaving node is suspected because of loss, held dead during a pause, and
 * refutes. If the refutation set it back to "alive", it would get new work just
 * before it exits.
 */
static void
test_leaving_survives_refutation(void)
{
	struct fleet f;
	unsigned int seed;

	for (seed = 0; seed < SEEDS; seed++) {
		fleet_ready(&f, 8, seed);
		members_leave(&f.nodes[2].members, f.now);
		fleet_run(&f, 200);
		f.loss_permille = 200;
		fleet_pause(&f, 2);
		fleet_run(&f, 5 * MSEC_SECOND);
		fleet_resume(&f, 2);
		fleet_run(&f, 30 * MSEC_SECOND);
		f.loss_permille = 0;
		fleet_run(&f, 10 * MSEC_SECOND);
		g_assert_cmpuint(fleet_count(&f, 2, MEMBER_LEAVING), ==, 7);
		g_assert_cmpuint(f.reverted, ==, 0);
		fleet_finish(&f);
	}
}

/*
 * The platform marks a VM as leaving before its process knows. One node reads
 * the list first. All nodes must learn of it soon, including the marked one,
 * and the VM must stay leaving when the mark disappears from the list.
 */
static void
test_leaving_from_list(void)
{
	struct fleet f;
	msec took;

	fleet_ready(&f, 8, 1);
	fleet_list_leaving(&f, 4, true);
	took = fleet_run_until(&f, 4, MEMBER_LEAVING, 5000);
	assert_within("mark", took, 2000, 8U, 1U);
	fleet_run(&f, 2 * MSEC_SECOND);
	g_assert_true(f.nodes[4].members.self.leaving);
	fleet_list_leaving(&f, 4, false);
	fleet_run(&f, 30 * MSEC_SECOND);
	g_assert_cmpuint(fleet_count(&f, 4, MEMBER_LEAVING), ==, 7);
	g_assert_cmpuint(f.reverted, ==, 0);
	fleet_finish(&f);
}

/*
 * A leaving VM is replaced under its old name while the list still shows the
 * old one as leaving. The mark must not carry over to the new process, unless
 * the list keeps the mark: then it applies to the new process.
 */
static void
test_restart_replaces(void)
{
	struct fleet f;

	fleet_ready(&f, 8, 3);
	fleet_list_leaving(&f, 5, true);
	fleet_run(&f, 3 * MSEC_SECOND);
	fleet_crash(&f, 5);
	fleet_run(&f, 500);
	fleet_start(&f, 5);
	g_assert_cmpint(fleet_run_until_agreed(&f, 10 * MSEC_SECOND), >=, 0);
	fleet_run(&f, 5 * MSEC_SECOND);
	g_assert_cmpuint(fleet_count(&f, 5, MEMBER_ALIVE), ==, 7);
	g_assert_cmpuint(fleet_view(&f, 0, 5)->incarnation, ==, 2);
	fleet_run(&f, 40 * MSEC_SECOND);
	g_assert_cmpuint(fleet_count(&f, 5, MEMBER_LEAVING), ==, 7);
	g_assert_cmpuint(f.reverted, ==, 0);
	fleet_finish(&f);
}

/*
 * A node crashes and restarts before any other node has missed it. Work bound
 * to the first process must not be attributed to the second: all nodes must see
 * the new incarnation and ignore late updates about the old one.
 */
static void
test_quick_restart(void)
{
	struct fleet f;
	unsigned int seed;
	msec took;

	for (seed = 0; seed < SEEDS; seed++) {
		fleet_ready(&f, 8, seed);
		fleet_crash(&f, 0);
		fleet_run(&f, 100);
		fleet_start(&f, 0);
		took = fleet_run_until_agreed(&f, 5 * MSEC_SECOND);
		assert_within("restart", took, 5 * MSEC_SECOND, 8U, seed);
		fleet_finish(&f);
	}
}

/*
 * All nodes of a large fleet are killed and restart together. None takes work
 * at first, and each stated this in its reply to the first message of others;
 * it was held as not taking work until it was next probed, with 300 nodes for
 * up to 45 s, and callers were sent to the few others. An update on a node's
 * state must not carry its load.
 */
static void
test_ready_after_start(void)
{
	const struct member *m;
	unsigned int a, b, held = 0;
	struct fleet f;

	fleet_init(&f, 60, 1);
	for (a = 0; a < f.n; a++) {
		fleet_start(&f, a);
		members_set_self(&f.nodes[a].members, 1, 1000);
	}
	fleet_run(&f, 20);
	for (a = 0; a < f.n; a++)
		members_set_self(&f.nodes[a].members, 1, 0);
	fleet_run(&f, 480);
	for (a = 0; a < f.n; a++) {
		for (b = 0; b < f.n; b++) {
			m = a != b ? fleet_view(&f, a, b) : NULL;
			if (m != NULL && m->load_at != MSEC_NEVER &&
			    m->load_permille >= 1000)
				held++;
		}
	}
	g_test_message("%u of %u held as full", held, f.n * (f.n - 1));
	g_assert_cmpuint(held, <, f.n);
	fleet_finish(&f);
}

/*
 * Guards against a node that leaves permanently because the previous process
 * had a greater incarnation number, from a clock that was set back since.
 */
static void
test_clock_set_back(void)
{
	struct fleet f;
	unsigned int i;

	fleet_init(&f, 8, 1);
	for (i = 0; i < f.n; i++)
		f.nodes[i].incarnation = 100;
	fleet_start_all(&f);
	fleet_run(&f, 20 * MSEC_SECOND);
	fleet_crash(&f, 5);
	fleet_run(&f, MSEC_SECOND);
	f.nodes[5].incarnation = 50;
	fleet_start(&f, 5);
	fleet_run(&f, 10 * MSEC_SECOND);
	g_assert_cmpuint(fleet_count(&f, 5, MEMBER_ALIVE), ==, 7);
	g_assert_false(f.nodes[5].members.self.leaving);
	fleet_finish(&f);
}

/*
 * Two halves of the fleet cannot reach each other for an hour, and each works
 * on holding the other dead. When the network is repaired, all must rejoin
 * without help, although dead nodes are not probed in the usual rounds.
 */
static void
test_partition(void)
{
	struct fleet f;
	unsigned int i;
	msec took;

	fleet_ready(&f, 8, 11);
	for (i = 0; i < f.n; i++)
		f.nodes[i].region = i % 2;
	fleet_run(&f, 3600 * MSEC_SECOND);
	g_assert_cmpuint(fleet_count(&f, 0, MEMBER_DEAD), ==, 4);
	g_assert_cmpuint(fleet_count(&f, 0, MEMBER_ALIVE), ==, 3);
	for (i = 0; i < f.n; i++)
		f.nodes[i].region = 0;
	took = fleet_run_until_agreed(&f, 60 * MSEC_SECOND);
	g_test_message("rejoined after %d ms", (int)took);
	assert_within("joining", took, 30 * MSEC_SECOND, f.n, 11U);
	fleet_finish(&f);
}

/*
 * The platform's list is suddenly empty, then contains two of eight VMs, while
 * all are alive. Applying it would break up the fleet, so it is held back and
 * this is reported; no node is lost, and a crash is still detected.
 */
static void
test_list_held_back(void)
{
	struct members *ms;
	struct fleet f;
	unsigned int i;

	fleet_ready(&f, 8, 2);
	ms = &f.nodes[0].members;
	f.nshown = 0;
	g_assert_false(members_set_list(ms, f.now, f.shown, 0));
	fleet_run(&f, 90 * MSEC_SECOND);
	g_assert_true(fleet_agrees(&f));
	fleet_list_restore(&f);
	for (i = 2; i < 8; i++)
		fleet_list_remove(&f, i);
	g_assert_false(members_set_list(ms, f.now, f.shown, f.nshown));
	fleet_run(&f, 90 * MSEC_SECOND);
	g_assert_true(fleet_agrees(&f));
	g_assert_true(fleet_view(&f, 0, 7)->listed);
	g_assert_cmpuint(ms->counters.lists_held, >, 0);
	fleet_crash(&f, 7);
	g_assert_cmpint(
	    fleet_run_until(&f, 7, MEMBER_DEAD, 8 * MSEC_SECOND), >=, 0);
	fleet_finish(&f);
}

/*
 * A new VM starts before the platform's list contains it. It reads a list with
 * the others; they learn of it from its own messages and must keep it as a
 * member. It is removed only when it is both off the list and dead.
 */
static void
test_list_lags(void)
{
	struct fleet f;
	unsigned int i;

	fleet_init(&f, 6, 9);
	fleet_list_remove(&f, 5);
	for (i = 0; i < 5; i++)
		fleet_start(&f, i);
	fleet_run(&f, 5 * MSEC_SECOND);
	fleet_start(&f, 5);
	g_assert_cmpint(fleet_run_until_agreed(&f, 5 * MSEC_SECOND), >=, 0);
	fleet_run(&f, 120 * MSEC_SECOND);
	g_assert_cmpuint(fleet_count(&f, 5, MEMBER_ALIVE), ==, 5);
	g_assert_false(fleet_view(&f, 0, 5)->listed);
	/* And it was not removed and added again in between. */
	g_assert_cmpint(
	    f.now - fleet_view(&f, 0, 5)->state_since, >, 110 * MSEC_SECOND);
	fleet_crash(&f, 5);
	fleet_run(&f, 120 * MSEC_SECOND);
	for (i = 0; i < 5; i++)
		g_assert_null(fleet_view(&f, i, 5));
	/* A listed node is kept, as it may be started again. */
	fleet_crash(&f, 4);
	fleet_run(&f, 120 * MSEC_SECOND);
	g_assert_cmpint(fleet_view(&f, 0, 4)->state, ==, MEMBER_DEAD);
	fleet_list_remove(&f, 4);
	fleet_run(&f, 120 * MSEC_SECOND);
	g_assert_null(fleet_view(&f, 0, 4));
	fleet_finish(&f);
}

/*
 * A VM is paused, replaced under its name, and then resumes. It must not
 * compete with the new process for the name, but detect that it was replaced
 * and finish.
 */
static void
test_replaced_while_paused(void)
{
	struct fleet f;
	struct members *old;
	sp_msg msg = { .kind = SP_PROBE };
	sp_news news = { 0 };

	fleet_ready(&f, 4, 5);
	old = &f.nodes[2].members;
	news.name = f.nodes[2].name;
	news.domain = old->self.domain;
	news.incarnation = 2;
	news.address = old->self.address;
	news.peer_port = 7000;
	msg.sp_msg_u.probe.news.news_len = 1;
	msg.sp_msg_u.probe.news.news_val = &news;
	g_test_expect_message("member", G_LOG_LEVEL_WARNING, "*another node*");
	members_receive(old, f.now, name_hash(f.nodes[0].name), 1,
	    f.nodes[0].members.self.address, 7000, &msg);
	g_test_assert_expected_messages();
	g_assert_true(old->self.leaving);
	g_assert_cmpuint(old->self.incarnation, ==, 1);
	fleet_finish(&f);
}

static unsigned int single_sent;

static void
single_send(
    struct members *ms, uint32_t address, uint16_t port, const sp_msg *msg)
{
	single_sent++;
}

static void
single_changed(struct members *ms, const struct member *m)
{
}

static const struct member_ops single_ops = { single_send, single_changed };

/* A probe from entry-2 with an update about itself, unless refutation is -1. */
static void
single_receive_probe(struct members *ms, uint64_t incarnation, int refutation,
    sp_member_state state, bool leaving, unsigned int load)
{
	char name[] = "entry-2", domain[] = "hall-1";
	sp_msg msg = { .kind = SP_PROBE };
	sp_news news = { .name = name,
		.domain = domain,
		.incarnation = incarnation,
		.refutation = (u_int)refutation,
		.state = state,
		.leaving = leaving,
		.address = 2,
		.peer_port = 7000 };

	msg.sp_msg_u.probe.news.news_val = &news;
	msg.sp_msg_u.probe.news.news_len = refutation >= 0;
	msg.sp_msg_u.probe.self.load_permille = load;
	members_receive(
	    ms, 2000 + load, name_hash(name), incarnation, 2, 7000, &msg);
}

static void
single_init(struct members *ms)
{
	struct member_config cfg = { .name = "entry-1",
		.domain = "hall-0",
		.incarnation = 1,
		.address = 1,
		.peer_port = 7000 };

	members_init(ms, &single_ops, &cfg, 1000);
}

/*
 * A VM is leaving. Nodes that do not know this yet keep reporting that it is
 * alive, suspect, or has refuted a suspicion. Each of these is a newer update
 * about its liveness, but none may get it new work again.
 */
static void
test_leaving_is_sticky(void)
{
	struct members ms;
	struct member *m;

	single_init(&ms);
	single_receive_probe(&ms, 5, 0, SP_ALIVE, true, 0);
	m = members_find(&ms, name_hash("entry-2"));
	g_assert_cmpint(m->state, ==, MEMBER_LEAVING);
	single_receive_probe(&ms, 5, 0, SP_SUSPECT, false, 0);
	g_assert_cmpint(m->state, ==, MEMBER_SUSPECT);
	g_assert_true(m->leaving);
	single_receive_probe(&ms, 5, 1, SP_ALIVE, false, 0);
	g_assert_cmpint(m->state, ==, MEMBER_LEAVING);
	single_receive_probe(&ms, 5, 1, SP_DEAD, false, 0);
	single_receive_probe(&ms, 5, 2, SP_ALIVE, false, 0);
	g_assert_cmpint(m->state, ==, MEMBER_LEAVING);
	/* Only a new process under this name is not leaving. */
	single_receive_probe(&ms, 6, 0, SP_ALIVE, false, 0);
	g_assert_cmpint(m->state, ==, MEMBER_ALIVE);
	g_assert_false(m->leaving);
	members_finish(&ms);
}

/*
 * A node was restarted, and datagrams of its earlier process arrive late or
 * replayed. They must not be answered, nor count as updates or load of the new
 * process.
 */
static void
test_earlier_incarnation(void)
{
	struct members ms;
	struct member *m;

	single_init(&ms);
	single_receive_probe(&ms, 6, 0, SP_ALIVE, false, 10);
	single_receive_probe(&ms, 6, -1, SP_ALIVE, false, 20);
	m = members_find(&ms, name_hash("entry-2"));
	g_assert_cmpuint(m->load_permille, ==, 20);
	single_sent = 0;
	single_receive_probe(&ms, 5, 9, SP_DEAD, true, 900);
	g_assert_cmpuint(single_sent, ==, 0);
	g_assert_cmpuint(m->load_permille, ==, 20);
	g_assert_cmpint(m->state, ==, MEMBER_ALIVE);
	g_assert_cmpuint(m->incarnation, ==, 6);
	members_finish(&ms);
}

/*
 * A document is accepted, and one node reads it first. All nodes must learn of
 * the newest version within a few probe periods, or a lagging reader serves the
 * old document without knowing. The same holds for loads, on which the
 * directory depends.
 */
static void
test_versions_and_loads(void)
{
	unsigned int i, j, fresh;
	const struct member *m;
	struct fleet f;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		fleet_ready(&f, sizes[i], i);
		for (j = 0; j < f.n; j++)
			members_set_self(&f.nodes[j].members, 10, 100 + j);
		members_set_self(&f.nodes[1].members, 77, 101);
		fleet_run(&f, 3 * MSEC_SECOND);
		for (j = 0; j < f.n; j++)
			g_assert_cmpuint(
			    members_newest_version(&f.nodes[j].members), ==,
			    77);
		fresh = 0;
		for (j = 1; j < f.n; j++) {
			m = fleet_view(&f, 0, j);
			fresh += m->load_permille == 100 + j;
		}
		g_test_message("%u of %u loads after 3 s", fresh, f.n - 1);
		g_assert_cmpuint(fresh * 10, >=, (f.n - 1) * 7);
		fleet_finish(&f);
	}
}

/*
 * Random loss, crashes, restarts, pauses and a partition. Whatever happened
 * before, after 30 seconds without faults all nodes agree, no live node is held
 * dead, and no leaving mark was ever taken back.
 */
static void
test_chaos(void)
{
	struct fleet f;
	unsigned int seed, step, i;
	GRand *r;

	for (seed = 0; seed < 2 * SEEDS; seed++) {
		r = g_rand_new_with_seed(seed);
		fleet_ready(&f, 9, seed);
		f.loss_permille = 50;
		f.delay_max = 60;
		for (step = 0; step < 60; step++) {
			i = (unsigned int)g_rand_int_range(r, 0, 9);
			if (!f.nodes[i].up)
				fleet_start(&f, i);
			else if (f.nodes[i].paused)
				fleet_resume(&f, i);
			else if (step % 5 == 0)
				fleet_pause(&f, i);
			else if (step % 5 == 1)
				fleet_crash(&f, i);
			else if (step % 5 == 2)
				f.nodes[i].region = 1 - f.nodes[i].region;
			else if (step % 15 == 3)
				members_leave(&f.nodes[i].members, f.now);
			fleet_run(&f, g_rand_int_range(r, 50, 4000));
		}
		f.loss_permille = 0;
		for (i = 0; i < f.n; i++) {
			f.nodes[i].region = 0;
			if (f.nodes[i].up && f.nodes[i].paused)
				fleet_resume(&f, i);
		}
		fleet_run(&f, 30 * MSEC_SECOND);
		if (!fleet_agrees(&f) || f.reverted != 0)
			g_error("seed %u: no agreement or %u reverted", seed,
			    f.reverted);
		fleet_finish(&f);
		g_rand_free(r);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/member/start", test_start);
	g_test_add_func("/member/dead", test_dead);
	g_test_add_func("/member/loss", test_loss);
	g_test_add_func("/member/paused-refutes", test_paused_node_refutes);
	g_test_add_func("/member/leaving", test_leaving);
	g_test_add_func("/member/leaving-at-once", test_leaving_at_once);
	g_test_add_func("/member/return-at-once", test_return_at_once);
	g_test_add_func(
	    "/member/restart-not-suspected", test_restart_not_suspected);
	g_test_add_func("/member/leaving-under-loss", test_leaving_under_loss);
	g_test_add_func("/member/leaving-survives-refutation",
	    test_leaving_survives_refutation);
	g_test_add_func("/member/leaving-from-list", test_leaving_from_list);
	g_test_add_func("/member/restart-replaces", test_restart_replaces);
	g_test_add_func("/member/quick-restart", test_quick_restart);
	g_test_add_func("/member/ready-after-start", test_ready_after_start);
	g_test_add_func("/member/clock-set-back", test_clock_set_back);
	g_test_add_func("/member/partition", test_partition);
	g_test_add_func("/member/list-held-back", test_list_held_back);
	g_test_add_func("/member/list-lags", test_list_lags);
	g_test_add_func(
	    "/member/replaced-while-paused", test_replaced_while_paused);
	g_test_add_func("/member/leaving-is-sticky", test_leaving_is_sticky);
	g_test_add_func(
	    "/member/earlier-incarnation", test_earlier_incarnation);
	g_test_add_func("/member/versions-and-loads", test_versions_and_loads);
	g_test_add_func("/member/chaos", test_chaos);
	return g_test_run();
}
