/*
 * Leases: the fold, and nodes with different clocks, pauses and delays of the
 * log.
 */

#define LOG_PART "test"
#include "lease.h"

#include <stdlib.h>
#include <string.h>

#define RECORDS_MAX 2000
#define NODES 3
#define SERVICE "planner-llm"
#define SEEDS 100

struct node {
	struct lease_fold fold;
	struct lease_client user;
	double clock_rate;    /* relative to true time */
	msec clock_offset;    /* offset to true time */
	msec paused_until;    /* true time */
	char *pending_append; /* record, or NULL */
	msec pending_until;
};

struct world {
	msec now; /* true time, which the log uses */
	char *records[RECORDS_MAX];
	msec walls[RECORDS_MAX];
	uint64_t n;
	struct node nodes[NODES];
	bool log_down;
	/* Orders given; highest fencing number sent to unfenced engines. */
	uint64_t highest_unfenced;
	unsigned int orders, stale_unfenced, terms;
};

static msec
node_now(const struct world *w, const struct node *n)
{
	return n->clock_offset + (msec)((double)w->now * n->clock_rate);
}

static void
world_init(struct world *w)
{
	unsigned int i;

	memset(w, 0, sizeof *w);
	w->now = 100000;
	for (i = 0; i < NODES; i++) {
		lease_fold_init(&w->nodes[i].fold);
		lease_client_init(&w->nodes[i].user, SERVICE, i + 1, 1);
		w->nodes[i].clock_rate = 1;
	}
}

static void
world_finish(struct world *w)
{
	unsigned int i;

	for (i = 0; i < NODES; i++) {
		lease_fold_finish(&w->nodes[i].fold);
		free(w->nodes[i].pending_append);
	}
	for (i = 0; i < w->n; i++)
		free(w->records[i]);
}

static void
log_append(struct world *w, char *record)
{
	g_assert_cmpuint(w->n, <, RECORDS_MAX);
	w->walls[w->n] = w->now;
	w->records[w->n++] = record;
}

static void
node_read(struct world *w, struct node *n)
{
	uint64_t offset;

	while ((offset = n->fold.next) <= w->n)
		lease_fold_apply(&n->fold, node_now(w, n), offset,
		    w->walls[offset - 1], w->records[offset - 1],
		    strlen(w->records[offset - 1]));
	lease_client_fold_changed(&n->user, node_now(w, n), &n->fold);
}

/* Claims or renews the lease if it is due; the append lands after `delay`. */
static enum lease_action
node_tick(struct world *w, struct node *n, msec delay)
{
	char id[LOG_ID_SIZE];
	uint64_t replaces;
	enum lease_action act;

	act = lease_client_tick(&n->user, node_now(w, n), &n->fold, &replaces);
	if (act == LEASE_NOTHING || n->pending_append != NULL)
		return act;
	log_id_make(id);
	lease_client_claim_sent(
	    &n->user, node_now(w, n), &n->fold, replaces, id);
	n->pending_append = lease_claim_encode(
	    SERVICE, replaces, n->user.self, 1, LEASE_TERM, id);
	n->pending_until = w->now + delay;
	return act;
}

static void
node_append_pending(struct world *w, struct node *n)
{
	if (n->pending_append != NULL && w->now >= n->pending_until &&
	    !w->log_down) {
		log_append(w, n->pending_append);
		n->pending_append = NULL;
	}
}

static void
check_tick(struct world *w, struct node *n, enum lease_action want)
{
	enum lease_action act = node_tick(w, n, 0);

	g_assert_cmpint(act, ==, want);
}

/* Claims, and has the claim land and read back at once. */
static void
node_claim(struct world *w, struct node *n)
{
	enum lease_action act = node_tick(w, n, 0);

	g_assert_cmpint(act, !=, LEASE_NOTHING);
	node_append_pending(w, n);
	node_read(w, n);
}

static void
test_crossing(void)
{
	/*
	 * Two nodes find the lease free and claim it at the same time. Both
	 * would place models; only the one whose claim is first in the log may.
	 */
	struct world w;
	struct node *a = &w.nodes[0], *b = &w.nodes[1];

	world_init(&w);
	node_tick(&w, a, 0);
	node_tick(&w, b, 0);
	node_append_pending(&w, a);
	node_append_pending(&w, b);
	node_read(&w, a);
	node_read(&w, b);
	g_assert_cmpuint(a->user.fencing, ==, 1);
	g_assert_cmpuint(b->user.fencing, ==, 0);
	g_assert_true(lease_client_may_order(&a->user, w.now, true));
	g_assert_false(lease_client_may_order(&a->user, w.now, false));
	g_assert_false(lease_client_may_order(&b->user, w.now, true));
	check_tick(&w, b, LEASE_NOTHING);
	w.now += LEASE_TERM / 2;
	check_tick(&w, a, LEASE_RENEW);
	node_append_pending(&w, a);
	node_read(&w, a);
	g_assert_cmpuint(a->user.fencing, ==, 3);
	world_finish(&w);
}

static void
test_paused(void)
{
	/*
	 * The holder's VM is paused for a minute while giving an order and
	 * resumes with a lease that it holds valid. Its next order would undo
	 * what the new holder has placed; it must detect that its term is over.
	 */
	struct world w;
	struct node *a = &w.nodes[0], *b = &w.nodes[1];

	world_init(&w);
	node_claim(&w, a);
	node_read(&w, b);
	w.now += LEASE_TERM + LEASE_CLOCK_MARGIN - 1;
	check_tick(&w, b, LEASE_NOTHING);
	w.now += 1;
	node_claim(&w, b);
	g_assert_cmpuint(b->user.fencing, ==, 2);
	g_assert_false(lease_client_may_order(&a->user, w.now, true));
	/*
	 * Engines that don't check the fencing number get orders only after a
	 * further term.
	 */
	g_assert_true(lease_client_may_order(&b->user, w.now, true));
	g_assert_false(lease_client_may_order(&b->user, w.now, false));
	node_read(&w, a);
	g_assert_cmpuint(a->user.fencing, ==, 0);
	world_finish(&w);
}

static void
test_release(void)
{
	/*
	 * A VM that leaves releases the lease, and the next holder need not
	 * wait.
	 */
	struct world w;
	struct node *a = &w.nodes[0], *b = &w.nodes[1];
	char id[LOG_ID_SIZE];

	world_init(&w);
	node_claim(&w, a);
	log_id_make(id);
	log_append(&w, lease_release_encode(SERVICE, 1, a->user.self, 1, id));
	lease_client_release(&a->user);
	g_assert_false(lease_client_may_order(&a->user, w.now, true));
	/*
	 * The release is not read back yet: the fold still shows this node as
	 * holder.
	 */
	lease_client_fold_changed(&a->user, w.now, &a->fold);
	check_tick(&w, a, LEASE_NOTHING);
	node_read(&w, b);
	node_claim(&w, b);
	g_assert_cmpuint(b->user.fencing, ==, 3);
	w.now += LEASE_ORDER_TIMEOUT;
	g_assert_true(lease_client_may_order(&b->user, w.now, false));
	world_finish(&w);
}

static void
test_log_down(void)
{
	/*
	 * The log is down for a whole term. Nobody can renew, so the holder
	 * stops giving orders. When the log is back, a claim from that time
	 * which lands late must not give its node a term that is already over.
	 */
	struct world w;
	struct node *a = &w.nodes[0];

	world_init(&w);
	node_claim(&w, a);
	w.now += LEASE_TERM / 2;
	w.log_down = true;
	check_tick(&w, a, LEASE_RENEW);
	w.now += LEASE_TERM;
	g_assert_false(lease_client_may_order(&a->user, w.now, true));
	w.log_down = false;
	node_append_pending(&w, a);
	node_read(&w, a);
	g_assert_false(lease_client_may_order(&a->user, w.now, true));
	node_claim(&w, a);
	g_assert_true(lease_client_may_order(&a->user, w.now, true));
	world_finish(&w);
}

static void
test_sent_again(void)
{
	/*
	 * A claim's answer is lost and the node claims again, although the
	 * first claim was appended long before. Its term must not be counted
	 * from the second.
	 */
	struct world w;
	struct node *a = &w.nodes[0];
	char *first;

	world_init(&w);
	node_tick(&w, a, 0);
	first = a->pending_append;
	a->pending_append = NULL;
	log_append(&w, first);
	w.now += LEASE_TERM - 1;
	node_tick(&w, a, 0);
	g_assert_nonnull(a->pending_append);
	node_read(&w, a);
	g_assert_cmpuint(a->user.fencing, ==, 0);
	node_append_pending(&w, a);
	node_read(&w, a);
	g_assert_cmpuint(a->user.fencing, ==, 0);
	node_claim(&w, a);
	g_assert_cmpuint(a->user.fencing, ==, 3);
	world_finish(&w);
}

static void
test_late_reader(void)
{
	/*
	 * A VM starts after the first claims were dropped by retention. It must
	 * not treat the lease as free, and learns the holder from the renewals.
	 */
	struct world w;
	struct node *a = &w.nodes[0], *b = &w.nodes[1];
	unsigned int i;

	world_init(&w);
	node_claim(&w, a);
	for (i = 0; i < 3; i++) {
		w.now += LEASE_TERM / 2;
		node_claim(&w, a);
	}
	lease_fold_gap(&b->fold, node_now(&w, b), 3, w.walls[2]);
	lease_fold_apply(
	    &b->fold, w.now, 3, w.walls[2], w.records[2], strlen(w.records[2]));
	g_assert_null(lease_fold_find(&b->fold, SERVICE));
	check_tick(&w, b, LEASE_NOTHING);
	node_read(&w, b);
	g_assert_cmpuint(lease_fold_find(&b->fold, SERVICE)->fencing, ==, 4);
	/* Long after, no lease is in force in any fold. */
	w.now += LEASE_MAX_AGE + LEASE_CLOCK_MARGIN + 1;
	node_claim(&w, b);
	if (b->user.fencing == 0)
		node_claim(&w, b);
	g_assert_cmpuint(b->user.fencing, !=, 0);
	node_read(&w, a);
	g_assert_cmpuint(
	    lease_fold_find(&a->fold, SERVICE)->fencing, ==, b->user.fencing);
	world_finish(&w);
}

/*
 * Only one node may order at a time; fencing numbers sent to unfenced engines
 * never decrease.
 */
static void
world_check(struct world *w)
{
	struct node *n;
	unsigned int i, may = 0;

	for (i = 0; i < NODES; i++) {
		n = &w->nodes[i];
		if (w->now < n->paused_until ||
		    !lease_client_may_order(&n->user, node_now(w, n), true))
			continue;
		may++;
		w->orders++;
		if (!lease_client_may_order(&n->user, node_now(w, n), false))
			continue;
		if (n->user.fencing < w->highest_unfenced)
			w->stale_unfenced++;
		w->highest_unfenced = MAX(w->highest_unfenced, n->user.fencing);
	}
	g_assert_cmpuint(may, <=, 1);
	g_assert_cmpuint(w->stale_unfenced, ==, 0);
}

static void
world_step(struct world *w, GRand *rand)
{
	struct node *n = &w->nodes[g_rand_int_range(rand, 0, NODES)];
	unsigned int i;

	w->now += g_rand_int_range(rand, 0, 200);
	for (i = 0; i < NODES; i++)
		node_append_pending(w, &w->nodes[i]);
	switch (g_rand_int_range(rand, 0, 200)) {
	case 0:
		n->paused_until = w->now + g_rand_int_range(rand, 0, 60000);
		break;
	case 1:
		w->log_down = !w->log_down;
		break;
	case 2: /* replaced: reads from a later record */
		lease_fold_finish(&n->fold);
		lease_fold_init(&n->fold);
		lease_client_init(&n->user, SERVICE, n->user.self, 1);
		if (w->n > 2)
			lease_fold_gap(&n->fold, node_now(w, n), w->n - 1,
			    w->walls[w->n - 2]);
		break;
	default:
		if (w->now < n->paused_until)
			return;
		if (!w->log_down && g_rand_boolean(rand))
			node_read(w, n);
		else
			node_tick(w, n, g_rand_int_range(rand, 0, 3000));
	}
	world_check(w);
}

static void
test_property(void)
{
	/*
	 * Clocks up to 8 % apart in speed and hours apart in time, pauses,
	 * outages, slow appends, replaced nodes. Two nodes that may order at
	 * the same time would undo each other's placement.
	 */
	struct world *w = g_new0(struct world, 1);
	unsigned int seed, i, orders = 0;
	GRand *rand;

	for (seed = 0; seed < SEEDS; seed++) {
		rand = g_rand_new_with_seed(seed);
		world_init(w);
		for (i = 0; i < NODES; i++) {
			w->nodes[i].clock_rate =
			    g_rand_double_range(rand, 0.96, 1.04);
			w->nodes[i].clock_offset =
			    g_rand_int_range(rand, 0, 1000000000);
		}
		for (i = 0; i < 8000 && w->n < RECORDS_MAX - NODES; i++)
			world_step(w, rand);
		orders += w->orders;
		world_finish(w);
		g_rand_free(rand);
	}
	g_test_message("a node could order in %u checks", orders);
	g_assert_cmpuint(orders, >, SEEDS * 100);
	g_free(w);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lease/crossing", test_crossing);
	g_test_add_func("/lease/paused", test_paused);
	g_test_add_func("/lease/release", test_release);
	g_test_add_func("/lease/log-down", test_log_down);
	g_test_add_func("/lease/sent-again", test_sent_again);
	g_test_add_func("/lease/late-reader", test_late_reader);
	g_test_add_func("/lease/property", test_property);
	return g_test_run();
}
