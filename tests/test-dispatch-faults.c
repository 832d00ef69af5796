/*
 * Tests dispatch cores under load and faults, in virtual time: several nodes,
 * fake engines and lost messages. util-dispatch-request.c asserts that no
 * request is granted twice at a time or after its end, and that no protected
 * request is refused. Single messages are tested in test-dispatch.c.
 */

#define LOG_PART "test"
#include "dispatch-private.h"
#include "tests/util-dispatch.h"

#include <stdlib.h>

/* Each scenario runs with this many seeds. */
#define SEEDS 8

enum {
	REPLAN,
	QUESTION,
	DRAFT
};

/* For RB_FOREACH; dispatch-owner.c has the code. */
RB_PROTOTYPE(reservation_tree, reservation, entry, )

static void
drop_log_line(
    const gchar *domain, GLogLevelFlags level, const gchar *text, gpointer data)
{
}

static struct world_config
config(const char *policy)
{
	struct world_config c = { .policy = policy,
		.seed = 7,
		.nodes = 6,
		.engines = 12,
		.domains = 3,
		.orgs = 10,
		.classes = world_classes_usual,
		.nclasses = 3 };

	return c;
}

/* Runs at a load until a steady state, then begins to measure. */
static void
start_load(struct world *w, const struct world_config *c, double load)
{
	world_init(w, c);
	w->rate = world_capacity(w) * load;
	world_run(w, 60000);
	world_measure(w, true);
}

/* Lets all requests end; afterwards no state of them may be left. */
static void
drain_all(struct world *w)
{
	struct dispatch_data *p;
	GHashTableIter it;
	struct engine *e;
	unsigned int i;

	w->rate = 0;
	world_run(w, 400000);
	g_assert_cmpuint(w->nrequests, ==, 0);
	for (i = 0; i < w->config.nodes; i++) {
		if (!w->nodes[i].up)
			continue;
		p = w->nodes[i].d.priv;
		g_assert_cmpuint(g_hash_table_size(p->requests), ==, 0);
		g_assert_cmpuint(p->nwaiting, ==, 0);
		g_hash_table_iter_init(&it, p->engines);
		while (g_hash_table_iter_next(&it, NULL, (gpointer *)&e)) {
			g_assert_cmpuint(e->nrunning, ==, 0);
			if (e->owner_state == NULL)
				continue;
			g_assert_true(RB_EMPTY(&e->owner_state->tree));
			g_assert_cmpuint(e->owner_state->running, ==, 0);
			g_assert_cmpuint(e->owner_state->queue.count, ==, 0);
		}
	}
}

/* Totals over the seeds of one scenario. */
struct totals {
	unsigned int submitted[3], in_time[3], refused[3], failed[3];
	double tokens, wasted;
};

/* A scenario, and the bounds on its totals. */
struct scenario {
	/* Starts the load and runs until the end of the measurement. */
	void (*run)(struct world *, struct world_config *);
	double min_attained[3]; /* attained part of a class; 0: any */
	double wasted;		/* wasted part of the tokens, at most; 0: any */
	bool no_failures;	/* no stream may fail */
};

static void
totals_add(struct totals *t, const struct world *w)
{
	unsigned int i;

	for (i = REPLAN; i <= DRAFT; i++) {
		t->submitted[i] += w->stats[i].arrived;
		t->in_time[i] += w->stats[i].attained;
		t->refused[i] += w->stats[i].refused;
		t->failed[i] += w->stats[i].failed;
	}
	t->tokens += w->tokens_made;
	t->wasted += w->tokens_wasted;
}

static void
totals_check(const struct totals *t, const struct scenario *scenario)
{
	double attained_part;
	unsigned int i;

	for (i = REPLAN; i <= DRAFT; i++) {
		g_assert_cmpuint(t->submitted[i], >, 0);
		attained_part = t->in_time[i] / (double)t->submitted[i];
		g_test_message("%s: %u arrived, attained %.4f, refused %u, "
			       "failed %u",
		    world_classes_usual[i].name, t->submitted[i], attained_part,
		    t->refused[i], t->failed[i]);
		g_assert_cmpfloat(attained_part, >=, scenario->min_attained[i]);
		if (scenario->no_failures)
			g_assert_cmpuint(t->failed[i], ==, 0);
	}
	g_assert_cmpuint(t->refused[REPLAN], ==, 0);
	g_test_message("wasted part of tokens %.4f", t->wasted / t->tokens);
	if (scenario->wasted > 0)
		g_assert_cmpfloat(t->wasted / t->tokens, <, scenario->wasted);
}

/* The bounds apply to all seeds together: one has too few re-plans for 1 %. */
static void
test_scenario(gconstpointer data)
{
	const struct scenario *scenario = data;
	struct totals t = { 0 };
	struct world_config c;
	struct world w;
	uint32_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		c = config("owner");
		c.seed = seed;
		scenario->run(&w, &c);
		world_measure(&w, false);
		drain_all(&w);
		totals_add(&t, &w);
		world_finish(&w);
	}
	totals_check(&t, scenario);
}

/*
 * Guards against one class of requests that delays the others: drafts burst to
 * several times the engines' capacity, and re-plans and questions would wait
 * behind them for minutes.
 */
static void
run_burst(struct world *w, struct world_config *c)
{
	start_load(w, c, 0.6);
	w->boost[DRAFT] = 8;
	world_run(w, 120000);
	w->boost[DRAFT] = 1;
}

/*
 * Guards against late re-plans in a burst of re-plans beyond the engines'
 * capacity. None is refused. If they were ordered by deadline alone, those that
 * are already late would go first and nearly all would be late.
 */
static void
run_protected_burst(struct world *w, struct world_config *c)
{
	start_load(w, c, 0.5);
	w->boost[REPLAN] = 25;
	world_run(w, 60000);
	w->boost[REPLAN] = 1;
}

/*
 * Guards against slow answers when one engine becomes ten times slower and its
 * reports do not show it.
 */
static void
run_straggler(struct world *w, struct world_config *c)
{
	c->frozen_reports = true;
	start_load(w, c, 0.6);
	w->engines[1].slow = 10;
	world_run(w, 180000);
}

/*
 * Guards against callers that wait for grants that never come: an entry VM dies
 * with the full queues of its engines, and the other nodes must reserve again
 * with the new owners.
 */
static void
run_owner_dies(struct world *w, struct world_config *c)
{
	start_load(w, c, 1.5);
	world_node_crash(w, 1);
	world_run(w, 120000);
}

static void
owner_resume(struct world *w)
{
	world_node_pause(w, 1, false);
	world_node_forget(w, 1, false);
}

static void
owner_forgotten(struct world *w)
{
	world_node_forget(w, 1, true);
}

/*
 * Guards against requests that run twice: an entry VM is paused for 5 s, the
 * others remove it from the membership, and it then grants requests of its old
 * queue, since it still counts itself as the owner of its engines.
 */
static void
run_owner_paused(struct world *w, struct world_config *c)
{
	start_load(w, c, 1.2);
	world_node_pause(w, 1, true);
	world_after(w, 2000, owner_forgotten);
	world_after(w, 5000, owner_resume);
	world_run(w, 120000);
}

/*
 * Guards against all requests going to one engine when the engines' load
 * reports stop changing.
 */
static void
run_reports_frozen(struct world *w, struct world_config *c)
{
	c->frozen_reports = true;
	start_load(w, c, 0.8);
	world_run(w, 120000);
}

/*
 * Guards against one organisation that takes the capacity of the others: it
 * sends most of all requests, above the engines' capacity. In order of arrival,
 * the others' drafts would be refused as often as its own.
 */
static void
run_flood(struct world *w, struct world_config *c)
{
	unsigned int i;

	start_load(w, c, 2.0);
	w->flood_share = 0.8;
	world_run(w, 30000);
	/* Drafts of an organisation with few requests, during the overload. */
	w->quiet = 5;
	world_run(w, 30000);
	world_measure(w, true);
	for (i = 0; i < 200; i++) {
		world_run(w, 500);
		world_submit(w, DRAFT, 5, 200);
	}
	/* The last of them end and are counted. */
	world_run(w, 60000);
	g_test_message(
	    "organisation 5: %u of %u attained; organisation 0: %u of %u",
	    w->org_attained[5], w->org_arrived[5], w->org_attained[0],
	    w->org_arrived[0]);
	g_assert_cmpuint(w->org_arrived[5], ==, 200);
	g_assert_cmpfloat(
	    w->org_attained[5] / (double)w->org_arrived[5], >, 0.9);
}

/*
 * Guards against late re-plans when drafts and questions burst together and a
 * failure domain is lost with its entry VMs and engines.
 */
static void
run_two_bursts_domain_lost(struct world *w, struct world_config *c)
{
	start_load(w, c, 0.5);
	w->boost[DRAFT] = 5;
	w->boost[QUESTION] = 5;
	world_run(w, 10000);
	world_domain_lost(w, 2);
	world_run(w, 120000);
}

static void
membership_heal(struct world *w)
{
	world_tell(w);
}

/*
 * Guards against overloaded engines and requests that run twice while two entry
 * VMs both act as owner of the same engines, since changes of the membership
 * reach nodes at different times.
 */
static void
run_two_owners(struct world *w, struct world_config *c)
{
	struct dispatch_node some[3];
	unsigned int i;

	start_load(w, c, 1.0);
	for (i = 0; i < 3; i++) {
		some[i].id = w->nodes[i].id;
		some[i].incarnation = w->nodes[i].incarnation;
		some[i].domain = w->nodes[i].domain + 1;
		some[i].takes_work = true;
	}
	/* For 10 s, three nodes have a membership of only themselves. */
	for (i = 0; i < 3; i++)
		dispatch_set_nodes(&w->nodes[i].d, (msec)w->now, some, 3);
	world_after(w, 10000, membership_heal);
	world_run(w, 120000);
}

/*
 * Guards against hanging requests and leaked slots when UDP loses 5 % of the
 * messages and duplicates 5 %.
 */
static void
run_loss(struct world *w, struct world_config *c)
{
	c->loss = 0.05;
	c->twice = 0.05;
	start_load(w, c, 0.8);
	world_run(w, 120000);
}

/*
 * Guards against broken streams in a planned stop of an entry VM: the streams
 * of its callers end normally, and other nodes own its engines at once.
 */
static void
run_leave(struct world *w, struct world_config *c)
{
	start_load(w, c, 0.9);
	world_node_leave(w, 1);
	world_run(w, 120000);
}

/* ---- random faults ---- */

static void
check_engine(struct world *w, const struct engine *e)
{
	struct reservation *res;
	unsigned int running = 0, queued = 0;

	if (e->owner_state == NULL)
		return;
	g_assert_cmpuint(e->owner_state->queue.count, <=, QUEUE_MAX);
	if (w->nevents % 1000 != 0)
		return;
	RB_FOREACH (res, reservation_tree, &e->owner_state->tree) {
		running += res->state == RESERVATION_GRANTED;
		queued += res->state == RESERVATION_QUEUED;
	}
	g_assert_cmpuint(running, ==, e->owner_state->running);
	g_assert_cmpuint(queued, ==, e->owner_state->queue.count);
}

static void
check_all(struct world *w)
{
	GHashTableIter it;
	struct engine *e;
	unsigned int i;

	for (i = 0; i < w->config.nodes; i++) {
		if (!w->nodes[i].up)
			continue;
		g_hash_table_iter_init(&it, w->nodes[i].d.priv->engines);
		while (g_hash_table_iter_next(&it, NULL, (gpointer *)&e))
			check_engine(w, e);
	}
}

static unsigned int
count_live_nodes(const struct world *w)
{
	unsigned int i, n = 0;

	for (i = 0; i < w->config.nodes; i++)
		n += w->nodes[i].up && !w->nodes[i].paused &&
		     !w->nodes[i].leaving;
	return n;
}

static void
inject_random_fault(struct world *w)
{
	unsigned int n = g_rand_int_range(w->rand, 0, w->config.nodes);
	unsigned int e = g_rand_int_range(w->rand, 0, w->config.engines);
	struct world_node *node = &w->nodes[n];

	world_after(
	    w, g_rand_double_range(w->rand, 200, 4000), inject_random_fault);
	switch (g_rand_int_range(w->rand, 0, 9)) {
	case 0:
		if (node->up && count_live_nodes(w) > 2)
			world_node_crash(w, n);
		break;
	case 1:
		if (!node->up)
			world_node_start(w, n);
		break;
	case 2:
		if (node->up && !node->paused && count_live_nodes(w) > 2)
			world_node_pause(w, n, true);
		break;
	case 3:
		if (node->up && node->paused)
			world_node_pause(w, n, false);
		break;
	case 4:
		world_node_forget(w, n, g_rand_boolean(w->rand));
		break;
	case 5:
		world_engine_down(w, e, g_rand_boolean(w->rand));
		break;
	case 6:
		if (w->engines[e].down || g_rand_int_range(w->rand, 0, 4) == 0)
			world_engine_unlist(w, e, !w->engines[e].unlisted);
		break;
	case 7:
		w->engines[e].slow = w->engines[e].slow > 1 ? 1 : 10;
		break;
	default:
		w->boost[DRAFT] = g_rand_double_range(w->rand, 0, 4);
		break;
	}
}

/*
 * Runs a million events with crashes, pauses, partitions, slow engines, bursts
 * and lost or duplicate messages in random order, and checks the invariants
 * after each event.
 */
static void
test_random(void)
{
	struct world_config c = config("owner");
	uint64_t events = 0;
	struct world w;
	unsigned int i;

	c.loss = 0.02;
	c.twice = 0.02;
	for (c.seed = 100; events < 1000000; c.seed++) {
		world_init(&w, &c);
		w.rate = world_capacity(&w) * 0.8;
		w.check = check_all;
		world_after(&w, 1000, inject_random_fault);
		world_run(&w, 120000);
		events += w.nevents;
		/* All faults end; afterwards no state may be left. */
		world_stop_faults(&w);
		for (i = 0; i < c.engines; i++) {
			w.engines[i].down = w.engines[i].unlisted = false;
			w.engines[i].slow = 1;
		}
		for (i = 0; i < c.nodes; i++) {
			if (!w.nodes[i].up)
				world_node_start(&w, i);
			if (w.nodes[i].paused)
				world_node_pause(&w, i, false);
			w.nodes[i].known = true;
		}
		world_tell(&w);
		drain_all(&w);
		world_finish(&w);
	}
	g_test_message("%" PRIu64 " events, seeds 100 to %u", events, c.seed);
}

static const struct {
	const char *path;
	struct scenario scenario;
} scenarios[] = {
	{ "/dispatch/burst", { run_burst, { 0.99, 0.97, 0.1 } } },
	{ "/dispatch/protected-burst", { run_protected_burst, { 0.5 } } },
	{ "/dispatch/straggler", { run_straggler, { 0.98, 0.98, 0.97 } } },
	{ "/dispatch/owner-dies", { run_owner_dies, { 0.98, 0.97 }, 0.03 } },
	/* Callers at the paused node itself have to wait. */
	{ "/dispatch/owner-paused",
	    { run_owner_paused, { 0.95, 0.95 }, 0.03 } },
	{ "/dispatch/reports-frozen",
	    { run_reports_frozen, { 0.99, 0.99, 0.98 } } },
	{ "/dispatch/flood", { run_flood, { 0.99 } } },
	{ "/dispatch/two-bursts-domain-lost",
	    { run_two_bursts_domain_lost, { 0.97 }, 0.05 } },
	{ "/dispatch/two-owners", { run_two_owners, { 0.98, 0.95 } } },
	{ "/dispatch/loss", { run_loss, { 0.99, 0.98, 0.95 } } },
	{ "/dispatch/planned-stop",
	    { run_leave, { 0.98 }, .no_failures = true } },
};

/*
 * Guards against an engine limited to one slot by a single stalled stream. The
 * first token of a long stream was late and its caller read slowly; all other
 * requests were refused as "hopeless" until it ended, since it held the only
 * slot and the limit rises only with first tokens of further requests.
 */
static void
test_lone_stall(void)
{
	struct slots s;

	slots_init(&s, 8, 0);
	slots_record_stalled(&s, 1000, 1, 1);
	g_assert_cmpuint(slots_limit(&s), ==, 8);
	slots_record_stalled(&s, 2000, 3, 3);
	g_assert_cmpuint(slots_limit(&s), ==, 8);
	/* One stream progresses, so the others are queued in the engine. */
	slots_record_stalled(&s, 3000, 4, 3);
	g_assert_cmpuint(slots_limit(&s), ==, 1);
}

int
main(int argc, char **argv)
{
	unsigned int i;

	g_test_init(&argc, &argv, NULL);
	/* Drops the debug line for each of about a million decisions. */
	g_log_set_handler("dispatch", G_LOG_LEVEL_DEBUG, drop_log_line, NULL);
	for (i = 0; i < G_N_ELEMENTS(scenarios); i++)
		g_test_add_data_func(
		    scenarios[i].path, &scenarios[i].scenario, test_scenario);
	g_test_add_func("/dispatch/random", test_random);
	g_test_add_func("/dispatch/lone-stall", test_lone_stall);
	return g_test_run();
}
