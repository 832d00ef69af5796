/*
 * Limits of organisations across all nodes: the sum of the nodes' shares, and
 * the requests admitted, on the simulated network under loss, crashes, joins
 * and leaves.
 *
 * This tests share.c, which splits limits between nodes.
 */

#include "util-fleet.h"

#include "share.h"

#include <string.h>

#define NODES_MAX 20
#define SERVICE 1
#define ORG 2
#define STEP ((msec)10)
/* Every request ends within this many steps. */
#define REQUEST_STEPS_MAX 50
#define ANSWER_TOKENS 40

struct world {
	struct fleet fleet;
	struct shares shares[NODES_MAX];
	bool started[NODES_MAX];
	struct doc_limits limits;
	unsigned int per_second;    /* arriving requests */
	unsigned int skew_permille; /* fraction of them sent to node 0 */
	GRand *rand;
	unsigned int ending[NODES_MAX][REQUEST_STEPS_MAX]; /* by final step */
	unsigned int running[NODES_MAX];
	unsigned int step;
	/* Results of the run. */
	int64_t worst[SHARE_KINDS]; /* sum of allowances, permille */
	unsigned int most_running;
	uint64_t arrived, admitted;
	uint64_t messages;
};

static struct world w;

static unsigned int
world_index(const struct shares *sh)
{
	return (unsigned int)(sh - w.shares);
}

static void
op_send(struct shares *sh, name_id to, const sp_msg *msg)
{
	unsigned int i;

	w.messages++;
	for (i = 0; i < w.fleet.n; i++) {
		if (name_hash(w.fleet.nodes[i].name) == to)
			fleet_send(&w.fleet.nodes[world_index(sh)],
			    0x0a000001 + i, 7000, msg);
	}
}

static bool
op_limits(struct shares *sh, name_id service, name_id organisation,
    struct doc_limits *limits)
{
	*limits = w.limits;
	return service == SERVICE && organisation == ORG;
}

static const struct share_ops ops = { op_send, op_limits };

static void
world_message(struct fleet_node *n, name_id from, const sp_msg *msg)
{
	if (w.started[n->index])
		shares_receive(&w.shares[n->index], w.fleet.now, from, msg);
}

static void
world_start(unsigned int i)
{
	if (!w.fleet.nodes[i].up)
		fleet_start(&w.fleet, i);
	shares_init(&w.shares[i], &ops, name_hash(w.fleet.nodes[i].name), i,
	    w.fleet.now);
	w.started[i] = true;
	w.running[i] = 0;
	memset(w.ending[i], 0, sizeof w.ending[i]);
}

static void
world_crash(unsigned int i)
{
	fleet_crash(&w.fleet, i);
	shares_finish(&w.shares[i]);
	w.started[i] = false;
	w.running[i] = 0;
}

static void
world_init(unsigned int n, uint32_t seed, struct doc_limits limits)
{
	unsigned int i;

	memset(&w, 0, sizeof w);
	fleet_init(&w.fleet, n, seed);
	w.fleet.message = world_message;
	w.limits = limits;
	w.rand = g_rand_new_with_seed(seed);
	for (i = 0; i < n; i++)
		world_start(i);
}

static void
world_finish(void)
{
	unsigned int i;

	for (i = 0; i < w.fleet.n; i++) {
		if (w.started[i])
			shares_finish(&w.shares[i]);
	}
	fleet_finish(&w.fleet);
	g_rand_free(w.rand);
}

/* The nodes that, in this node's view, take work. */
static void
world_set_nodes(unsigned int i)
{
	struct members *ms = &w.fleet.nodes[i].members;
	name_id ids[NODES_MAX];
	struct member *m;
	unsigned int n = 0;

	if (!ms->self.leaving)
		ids[n++] = ms->self.id;
	RB_FOREACH (m, member_tree, &ms->tree) {
		if (!m->leaving && m->state != MEMBER_DEAD)
			ids[n++] = m->id;
	}
	shares_set_nodes(&w.shares[i], w.fleet.now, ids, n);
}

static void
world_request(void)
{
	unsigned int i = 0, end;

	w.arrived++;
	if (g_rand_int_range(w.rand, 0, 1000) >= (gint32)w.skew_permille)
		i = (unsigned int)g_rand_int_range(
		    w.rand, 0, (gint32)w.fleet.n);
	if (!w.started[i] || w.fleet.nodes[i].paused ||
	    w.fleet.nodes[i].members.self.leaving)
		return;
	if (!shares_admit(
		&w.shares[i], w.fleet.now, SERVICE, ORG, ANSWER_TOKENS))
		return;
	w.admitted++;
	w.running[i]++;
	end = w.step +
	      (unsigned int)g_rand_int_range(w.rand, 1, REQUEST_STEPS_MAX);
	w.ending[i][end % REQUEST_STEPS_MAX]++;
}

static void
world_end_requests(unsigned int i)
{
	unsigned int *n = &w.ending[i][w.step % REQUEST_STEPS_MAX];

	for (; *n > 0; (*n)--) {
		w.running[i]--;
		shares_request_ended(&w.shares[i], w.fleet.now, SERVICE, ORG,
		    ANSWER_TOKENS, ANSWER_TOKENS);
	}
}

static void
world_measure(void)
{
	const unsigned int limits[SHARE_KINDS] = { w.limits.requests_per_second,
		w.limits.tokens_per_second, w.limits.in_flight };
	unsigned int i, kind, running = 0;
	int64_t sum;

	for (kind = 0; kind < SHARE_KINDS; kind++) {
		if (limits[kind] == 0)
			continue;
		for (i = 0, sum = 0; i < w.fleet.n; i++) {
			if (w.started[i])
				sum += shares_allowance(&w.shares[i],
				    w.fleet.now, SERVICE, ORG, kind);
		}
		w.worst[kind] = MAX(w.worst[kind], sum / limits[kind]);
	}
	for (i = 0; i < w.fleet.n; i++)
		running += w.running[i];
	w.most_running = MAX(w.most_running, running);
}

static void
world_run(msec span)
{
	msec end = w.fleet.now + span;
	unsigned int i, due;

	while (w.fleet.now < end) {
		fleet_run(&w.fleet, STEP);
		w.step++;
		for (i = 0; i < w.fleet.n; i++) {
			if (!w.started[i] || w.fleet.nodes[i].paused)
				continue;
			world_end_requests(i);
			world_set_nodes(i);
			shares_tick(&w.shares[i], w.fleet.now);
		}
		due = (unsigned int)g_rand_int_range(
		    w.rand, 0, (gint32)(2 * w.per_second * STEP / 1000 + 1));
		for (i = 0; i < due; i++)
			world_request();
		world_measure();
	}
}

static void
world_reset(void)
{
	w.arrived = w.admitted = w.messages = 0;
	w.most_running = 0;
	memset(w.worst, 0, sizeof w.worst);
}

static double
world_rate(msec span)
{
	return (double)w.admitted * 1000 / (double)span;
}

/*
 * Callers of one organisation are spread over all nodes and send three times
 * its limit. Together they must get the limit, not the limit once per node, and
 * without a message for each request.
 */
static void
test_spread(void)
{
	double rate;

	world_init(8, 1, (struct doc_limits){ 200, 0, 0 });
	world_run(10 * MSEC_SECOND);
	w.per_second = 600;
	world_run(5 * MSEC_SECOND);
	world_reset();
	world_run(20 * MSEC_SECOND);
	rate = world_rate(20 * MSEC_SECOND);
	g_test_message("limit 200/s, admitted %.1f/s, shares at worst %d "
		       "permille, %.1f messages/s",
	    rate, (int)w.worst[0], (double)w.messages / 20);
	g_assert_cmpfloat(rate, >, 190);
	g_assert_cmpfloat(rate, <=, 201);
	g_assert_cmpint(w.worst[0], <=, 1000);
	world_finish();
}

/*
 * All callers of the organisation have one address and use one node. It alone
 * must come near the whole limit by borrowing what the others do not use, and
 * give it back soon when callers arrive elsewhere.
 */
static void
test_skew(void)
{
	double rate;

	world_init(8, 2, (struct doc_limits){ 200, 10000, 120 });
	world_run(10 * MSEC_SECOND);
	w.per_second = 300;
	w.skew_permille = 1000;
	world_run(10 * MSEC_SECOND);
	world_reset();
	world_run(20 * MSEC_SECOND);
	rate = world_rate(20 * MSEC_SECOND);
	g_test_message("all on one node: limit 200/s, admitted %.1f/s, shares "
		       "at worst %d permille, %.1f messages/s",
	    rate, (int)w.worst[0], (double)w.messages / 20);
	g_assert_cmpfloat(rate, >, 150);
	/*
	 * Lenders without callers of their own must keep track of their loans.
	 */
	world_run(100 * MSEC_SECOND);
	g_assert_cmpint(w.worst[0], <=, 1000);
	g_assert_cmpint(w.worst[1], <=, 1000);
	g_assert_cmpint(w.worst[2], <=, 1000);
	w.skew_permille = 0;
	/*
	 * The saved-up allowance of idle nodes, worth one second, is used
	 * first.
	 */
	world_run(15 * MSEC_SECOND);
	world_reset();
	world_run(20 * MSEC_SECOND);
	rate = world_rate(20 * MSEC_SECOND);
	g_test_message("evenly spread again: admitted %.1f/s", rate);
	g_assert_cmpfloat(rate, >, 180);
	g_assert_cmpfloat(rate, <=, 201);
	world_finish();
}

/*
 * An organisation may have three requests in flight on 8 nodes. An even split
 * gives each node less than one, so that no request would ever run.
 */
static void
test_small_limit(void)
{
	unsigned int seed;
	double rate;

	for (seed = 0; seed < 6; seed++) {
		world_init(8, seed, (struct doc_limits){ 0, 0, 3 });
		world_run(10 * MSEC_SECOND);
		w.per_second = 200;
		w.fleet.loss_permille = 20;
		world_run(5 * MSEC_SECOND);
		world_reset();
		world_run(20 * MSEC_SECOND);
		rate = world_rate(20 * MSEC_SECOND);
		g_test_message("3 in flight: most %u, admitted %.1f/s",
		    w.most_running, rate);
		g_assert_cmpuint(w.most_running, <=, 3);
		/*
		 * Three in flight of a quarter of a second each: at most 12 a
		 * second.
		 */
		g_assert_cmpfloat(rate, >, 6);
		g_assert_cmpint(w.worst[2], <=, 1000);
		world_finish();
	}
}

/*
 * Lenders and borrowers crash, restart, leave and are suspected while the
 * network loses one datagram in twenty. Shares lost with their holder must come
 * back, and at no moment may the shares in use add up to more than the limit,
 * as the organisation would be billed for more than it allowed.
 */
static void
test_churn(void)
{
	unsigned int seed, round, i, left = 0;
	GRand *r;

	for (seed = 0; seed < 4; seed++) {
		r = g_rand_new_with_seed(seed);
		world_init(8, seed, (struct doc_limits){ 200, 10000, 60 });
		world_run(10 * MSEC_SECOND);
		w.per_second = 500;
		w.skew_permille = 500;
		w.fleet.loss_permille = 50;
		left = 0;
		for (round = 0; round < 40; round++) {
			i = (unsigned int)g_rand_int_range(r, 0, 8);
			if (!w.started[i])
				world_start(i);
			else if (round % 10 == 9 && left++ < 2)
				members_leave(
				    &w.fleet.nodes[i].members, w.fleet.now);
			else if (round % 3 == 0)
				world_crash(i);
			world_run(g_rand_int_range(r, 100, 6000));
		}
		g_test_message("seed %u: shares at worst %d, %d, %d permille, "
			       "in flight at most %u of 60, admitted %.0f%% of "
			       "what came",
		    seed, (int)w.worst[0], (int)w.worst[1], (int)w.worst[2],
		    w.most_running,
		    100.0 * (double)w.admitted / (double)w.arrived);
		for (i = 0; i < SHARE_KINDS; i++)
			g_assert_cmpint(w.worst[i], <=, 1000);
		w.fleet.loss_permille = 0;
		for (i = 0; i < 8; i++) {
			if (w.started[i] &&
			    w.fleet.nodes[i].members.self.leaving)
				world_crash(i);
			if (!w.started[i])
				world_start(i);
		}
		world_run(15 * MSEC_SECOND);
		world_reset();
		world_run(10 * MSEC_SECOND);
		g_test_message("after: admitted %.1f/s of 200",
		    world_rate(10 * MSEC_SECOND));
		/*
		 * The in-flight limit, split into 7 or 8 per node, is reached
		 * first.
		 */
		g_assert_cmpfloat(world_rate(10 * MSEC_SECOND), >, 150);
		g_assert_cmpfloat(world_rate(10 * MSEC_SECOND), <=, 201);
		world_finish();
		g_rand_free(r);
	}
}

/*
 * A borrower is paused for ten seconds while it has a loan and resumes. The
 * lender uses its share again by then. The borrower must detect at once that
 * the loan has expired, independent of the lender's clock.
 */
static void
test_paused_borrower(void)
{
	int64_t before;

	world_init(8, 6, (struct doc_limits){ 200, 0, 0 });
	world_run(10 * MSEC_SECOND);
	w.per_second = 300;
	w.skew_permille = 1000;
	world_run(10 * MSEC_SECOND);
	before = shares_allowance(
	    &w.shares[0], w.fleet.now, SERVICE, ORG, SHARE_REQUESTS);
	g_assert_cmpint(before, >, 100 * 1000);
	world_reset();
	fleet_pause(&w.fleet, 0);
	world_run(10 * MSEC_SECOND);
	g_assert_cmpint(shares_allowance(&w.shares[0], w.fleet.now, SERVICE,
			    ORG, SHARE_REQUESTS),
	    <=, 25 * 1000);
	g_assert_cmpint(w.worst[0], <=, 1125);
	fleet_resume(&w.fleet, 0);
	world_finish();
}

static sp_msg captured_message;

static void
op_capture(struct shares *sh, name_id to, const sp_msg *msg)
{
	captured_message = *msg;
}

/* Two nodes whose shares have been raised; returns the time after that. */
static msec
pair_init(
    struct shares *lender, struct shares *borrower, struct doc_limits limits)
{
	static const struct share_ops capture_ops = { op_capture, op_limits };
	const name_id nodes[] = { 11, 12 };
	msec t = 0;

	w.limits = limits;
	shares_init(lender, &capture_ops, 11, 1, t);
	shares_init(borrower, &capture_ops, 12, 2, t);
	shares_set_nodes(lender, t, nodes, 2);
	shares_set_nodes(borrower, t, nodes, 2);
	for (t = 0; t < 10 * MSEC_SECOND; t += 250) {
		shares_tick(lender, t);
		shares_tick(borrower, t);
	}
	return t;
}

/*
 * A stream that takes minutes is admitted on a loan that is about to expire.
 * The lender gets its share back then and must not admit another request: one
 * more than the limit would be in flight for minutes.
 */
static void
test_lapsing_loan(void)
{
	struct shares lender, borrower;
	unsigned int i;
	msec t;

	t = pair_init(&lender, &borrower, (struct doc_limits){ 0, 0, 2 });
	for (i = 0; i < 2; i++)
		shares_admit(&borrower, t, SERVICE, ORG, 1);
	shares_receive(&lender, t, 12, &captured_message);
	g_assert_cmpuint(captured_message.sp_msg_u.share.give, ==, 1000);
	shares_receive(&borrower, t + 3, 11, &captured_message);
	g_assert_true(shares_admit(&borrower, t + 500, SERVICE, ORG, 1));
	shares_request_ended(&borrower, t + 1000, SERVICE, ORG, 1, 1);
	g_assert_false(shares_admit(
	    &borrower, t + SHARE_LOAN_TERM - 100, SERVICE, ORG, 1));
	g_assert_false(
	    shares_admit(&lender, t + SHARE_LOAN_TERM - 1, SERVICE, ORG, 1) &&
	    shares_admit(&lender, t + SHARE_LOAN_TERM - 1, SERVICE, ORG, 1));
	shares_finish(&lender);
	shares_finish(&borrower);
}

/*
 * The network is slow: the loan request takes 900 ms to the lender, the answer
 * as long back. A borrower that timed the loan from the answer would use it
 * while the lender uses it again.
 */
static void
test_late_answer(void)
{
	struct shares lender, borrower;
	unsigned int i;
	sp_msg ask;
	msec t;

	t = pair_init(&lender, &borrower, (struct doc_limits){ 20, 0, 0 });
	for (i = 0; i < 40; i++)
		shares_admit(&borrower, t, SERVICE, ORG, 1);
	shares_tick(&borrower, t);
	ask = captured_message;
	g_assert_cmpuint(ask.sp_msg_u.share.ask, >, 0);
	shares_receive(&lender, t + 900, 12, &ask);
	g_assert_cmpuint(captured_message.sp_msg_u.share.give, >, 0);
	while (shares_admit(&borrower, t + 1800, SERVICE, ORG, 1))
		;
	shares_receive(&borrower, t + 1800, 11, &captured_message);
	for (i = 0; shares_admit(&borrower, t + 1800, SERVICE, ORG, 1); i++)
		;
	g_assert_cmpuint(i, ==, captured_message.sp_msg_u.share.credit / 1000);
	g_assert_cmpuint(i, >, 0);
	/* A duplicate of the answer must not count twice. */
	shares_receive(&borrower, t + 1800, 11, &captured_message);
	g_assert_false(shares_admit(&borrower, t + 1800, SERVICE, ORG, 1));
	g_assert_cmpint(shares_allowance(&borrower, t + SHARE_LOAN_TERM - 1,
			    SERVICE, ORG, SHARE_REQUESTS),
	    ==, 10 * 1000 + (int)captured_message.sp_msg_u.share.give);
	g_assert_cmpint(shares_allowance(&borrower, t + SHARE_LOAN_TERM,
			    SERVICE, ORG, SHARE_REQUESTS),
	    ==, 10 * 1000);
	g_assert_cmpint(shares_allowance(&lender, t + 899 + SHARE_LOAN_TERM,
			    SERVICE, ORG, SHARE_REQUESTS),
	    <, 10 * 1000);
	g_assert_cmpint(shares_allowance(&lender, t + 900 + SHARE_LOAN_TERM,
			    SERVICE, ORG, SHARE_REQUESTS),
	    ==, 10 * 1000);
	shares_finish(&lender);
	shares_finish(&borrower);
}

/*
 * The fleet is partitioned in two, and each half goes on with the whole limit,
 * as it cannot know of the other. The bound is the limit times the number of
 * parts, and returns to the limit soon after the halves rejoin.
 */
static void
test_partition(void)
{
	unsigned int i;

	world_init(8, 4, (struct doc_limits){ 200, 0, 0 });
	world_run(10 * MSEC_SECOND);
	w.per_second = 600;
	for (i = 0; i < 8; i++)
		w.fleet.nodes[i].region = i % 2;
	world_run(30 * MSEC_SECOND);
	g_test_message(
	    "two partitions: shares at worst %d permille", (int)w.worst[0]);
	g_assert_cmpint(w.worst[0], <=, 2000);
	g_assert_cmpint(w.worst[0], >, 1900);
	for (i = 0; i < 8; i++)
		w.fleet.nodes[i].region = 0;
	world_run(15 * MSEC_SECOND);
	world_reset();
	world_run(10 * MSEC_SECOND);
	g_assert_cmpint(w.worst[0], <=, 1000);
	world_finish();
}

/* Organisations that are no longer active cost no memory. */
static void
test_memory(void)
{
	world_init(3, 5, (struct doc_limits){ 10, 0, 0 });
	world_run(10 * MSEC_SECOND);
	w.per_second = 20;
	world_run(5 * MSEC_SECOND);
	g_assert_cmpuint(shares_count(&w.shares[0]), ==, 1);
	w.per_second = 0;
	shares_tick(&w.shares[0], w.fleet.now + 90 * MSEC_SECOND);
	shares_tick(&w.shares[0], w.fleet.now + 91 * MSEC_SECOND);
	g_assert_cmpuint(shares_count(&w.shares[0]), ==, 0);
	g_assert_true(
	    shares_admit(&w.shares[0], w.fleet.now, SERVICE, ORG + 1, 5));
	g_assert_cmpuint(shares_count(&w.shares[0]), ==, 0);
	world_finish();
}

static bool
any_limits(struct shares *sh, name_id service, name_id organisation,
    struct doc_limits *limits)
{
	*limits = (struct doc_limits){ .requests_per_second = 20 };
	return true;
}

static void
no_send(struct shares *sh, name_id to, const sp_msg *msg)
{
}

/*
 * An organisation sends its first request some seconds after an entry VM has
 * started. A share waits until loans from before the start have expired; that
 * wait must count from the start of the VM, not from the first use of the
 * share, or the request is refused without need.
 */
static void
test_first_use_after_start(void)
{
	static const struct share_ops single_ops = { no_send, any_limits };
	const name_id self = 7;
	struct shares sh;
	msec now, early = 0, late = 0;

	shares_init(&sh, &single_ops, self, 1, 0);
	shares_set_nodes(&sh, 0, &self, 1);
	for (now = 0; now < 4 * SHARE_RAISE_DELAY; now += STEP) {
		shares_tick(&sh, now);
		if (early == 0 && shares_admit(&sh, now, SERVICE, ORG, 1))
			early = now;
		if (now >= SHARE_RAISE_DELAY / 2 && late == 0 &&
		    shares_admit(&sh, now, SERVICE, ORG + 1, 1))
			late = now;
	}
	g_assert_cmpint(early, >=, SHARE_RAISE_DELAY);
	g_assert_cmpint(late, >=, SHARE_RAISE_DELAY);
	g_assert_cmpint(late, <=, early);
	shares_finish(&sh);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/share/spread", test_spread);
	g_test_add_func("/share/skew", test_skew);
	g_test_add_func("/share/small-limit", test_small_limit);
	g_test_add_func("/share/churn", test_churn);
	g_test_add_func("/share/paused-borrower", test_paused_borrower);
	g_test_add_func("/share/lapsing-loan", test_lapsing_loan);
	g_test_add_func("/share/late-answer", test_late_answer);
	g_test_add_func("/share/partition", test_partition);
	g_test_add_func("/share/memory", test_memory);
	g_test_add_func(
	    "/share/first-use-after-start", test_first_use_after_start);
	return g_test_run();
}
