/*
 * Tests placement.c, which orders engines to load and drop models (place.c
 * chooses the server of a request): the rollout of a new version over engines
 * that load slowly, fail or lose orders, and over a change of the lease holder.
 */

#include "placement.h"

#include <string.h>

#define ENGINES 8
#define LOAD_MS 4000
#define STEP_MS 200

/* A fake engine, with the state that it reports to placement. */
struct fake {
	struct placement_model has[PLACEMENT_MODELS_MAX];
	unsigned int nhas;
	msec ready_at[PLACEMENT_MODELS_MAX];
	bool fails; /* loading the version "bad" fails */
	bool deaf;  /* it receives no orders */
};

struct fleet {
	struct placement placement;
	struct fake engines[ENGINES];
	msec now;
	bool may_order;
	unsigned int orders;
	unsigned int least_serving; /* engines with some version ready */
	unsigned int most_loading;
};

static const struct doc_model old_model = { "planner", "1" };
static const struct doc_model new_model = { "planner", "2" };
static const struct doc_model bad_model = { "planner", "bad" };

static bool fleet_order(struct placement *, struct placement_engine *, msec);

static const struct placement_ops fleet_ops = { .order = fleet_order };

static int
fake_find(const struct fake *f, const struct doc_model *m)
{
	unsigned int i;

	for (i = 0; i < f->nhas; i++) {
		if (strcmp(f->has[i].name, m->name) == 0 &&
		    strcmp(f->has[i].version, m->version) == 0)
			return (int)i;
	}
	return -1;
}

static void
fake_load(struct fake *f, const struct doc_model *m, msec ready_at)
{
	struct placement_model *has = &f->has[f->nhas];

	memset(has, 0, sizeof *has);
	g_strlcpy(has->name, m->name, sizeof has->name);
	g_strlcpy(has->version, m->version, sizeof has->version);
	has->load = PLACEMENT_LOADING;
	f->ready_at[f->nhas++] = ready_at;
}

static void
fake_drop(struct fake *f, unsigned int i)
{
	f->nhas--;
	f->has[i] = f->has[f->nhas];
	f->ready_at[i] = f->ready_at[f->nhas];
}

static bool
fleet_order(struct placement *p, struct placement_engine *e, msec now)
{
	struct fleet *fl = p->arg;
	struct fake *f = &fl->engines[e->id - 1];
	unsigned int i, j;
	bool wanted;

	if (!fl->may_order)
		return false;
	fl->orders++;
	if (f->deaf)
		return true;
	for (i = f->nhas; i-- > 0;) {
		wanted = false;
		for (j = 0; j < e->nwant; j++)
			wanted |= fake_find(f, &e->want[j]) == (int)i;
		if (!wanted)
			fake_drop(f, i);
	}
	for (j = 0; j < e->nwant; j++) {
		if (fake_find(f, &e->want[j]) < 0)
			fake_load(f, &e->want[j], now + LOAD_MS);
	}
	return true;
}

static void
fake_step(struct fake *f, msec now)
{
	unsigned int i;

	for (i = 0; i < f->nhas; i++) {
		if (f->has[i].load != PLACEMENT_LOADING || now < f->ready_at[i])
			continue;
		f->has[i].load =
		    f->fails && strcmp(f->has[i].version, "bad") == 0
			? PLACEMENT_FAILED
			: PLACEMENT_READY;
	}
}

static void
fleet_watch(struct fleet *fl)
{
	unsigned int i, j, serving = 0, loading = 0;
	bool ready;

	for (i = 0; i < ENGINES; i++) {
		ready = false;
		for (j = 0; j < fl->engines[i].nhas; j++) {
			ready |= fl->engines[i].has[j].load == PLACEMENT_READY;
			loading +=
			    fl->engines[i].has[j].load == PLACEMENT_LOADING;
		}
		serving += ready;
	}
	fl->least_serving = MIN(fl->least_serving, serving);
	fl->most_loading = MAX(fl->most_loading, loading);
}

static void
fleet_run(struct fleet *fl, msec span)
{
	msec end = fl->now + span;
	unsigned int i;

	for (; fl->now < end; fl->now += STEP_MS) {
		for (i = 0; i < ENGINES; i++) {
			fake_step(&fl->engines[i], fl->now);
			placement_engine_state(&fl->placement, i + 1,
			    fl->engines[i].has, fl->engines[i].nhas);
		}
		placement_round(&fl->placement, fl->now);
		fleet_watch(fl);
	}
}

static void
fleet_holder(struct fleet *fl, const struct doc_model *m)
{
	unsigned int i;

	placement_init(&fl->placement, &fleet_ops, "planner-llm", fl->now);
	fl->placement.arg = fl;
	placement_set_models(&fl->placement, m, 1);
	placement_engines_begin(&fl->placement);
	for (i = 0; i < ENGINES; i++)
		placement_engine_set(&fl->placement, i + 1, true, false);
	placement_engines_end(&fl->placement);
}

/* All engines serve the old model; the lease holder wants `m`. */
static void
fleet_start(struct fleet *fl, const struct doc_model *m)
{
	unsigned int i;

	memset(fl, 0, sizeof *fl);
	fl->may_order = true;
	fl->least_serving = ENGINES;
	for (i = 0; i < ENGINES; i++) {
		fake_load(&fl->engines[i], &old_model, 0);
		fl->engines[i].has[0].load = PLACEMENT_READY;
	}
	fleet_holder(fl, m);
}

static unsigned int
fleet_ready(const struct fleet *fl, const struct doc_model *m)
{
	unsigned int i, n = 0;
	int at;

	for (i = 0; i < ENGINES; i++) {
		at = fake_find(&fl->engines[i], m);
		n += at >= 0 && fl->engines[i].has[at].load == PLACEMENT_READY;
	}
	return n;
}

/*
 * Guards against a rollout that leaves engines without a ready version, loads
 * on more than a quarter of them at once, or does not finish.
 */
static void
test_roll(void)
{
	struct fleet fl;

	fleet_start(&fl, &new_model);
	fleet_run(&fl, 60 * MSEC_SECOND);
	g_assert_cmpuint(fleet_ready(&fl, &new_model), ==, ENGINES);
	g_assert_cmpuint(fleet_ready(&fl, &old_model), ==, 0);
	g_assert_cmpuint(fl.least_serving, ==, ENGINES);
	g_assert_cmpuint(fl.most_loading, <=, ENGINES / PLACEMENT_ROLL_DIVISOR);
	g_assert_true(placement_settled(&fl.placement));
	placement_finish(&fl.placement);
}

/*
 * Guards against the rollout of a version that fails to load: only the first
 * engine tries it, all keep the old one, and there is no further try until the
 * document names another version.
 */
static void
test_bad_version(void)
{
	struct fleet fl;
	unsigned int i;

	fleet_start(&fl, &bad_model);
	for (i = 0; i < ENGINES; i++)
		fl.engines[i].fails = true;
	fleet_run(&fl, 60 * MSEC_SECOND);
	g_assert_cmpuint(fleet_ready(&fl, &old_model), ==, ENGINES);
	g_assert_cmpuint(fl.most_loading, ==, 1);
	g_assert_cmpuint(fl.placement.loads, ==, 1);
	g_assert_cmpuint(fl.placement.rolled_back, ==, 1);
	placement_set_models(&fl.placement, &new_model, 1);
	fleet_run(&fl, 60 * MSEC_SECOND);
	g_assert_cmpuint(fleet_ready(&fl, &new_model), ==, ENGINES);
	placement_finish(&fl.placement);
}

/*
 * Guards against an overloaded weight store: when all engines are replaced at
 * once and need the same weights, loads are limited to the store's rate.
 */
static void
test_load_rate(void)
{
	struct fleet fl;
	unsigned int i;

	fleet_start(&fl, &new_model);
	for (i = 0; i < ENGINES; i++)
		fl.engines[i].nhas = 0;
	fleet_run(&fl, 10 * MSEC_SECOND);
	g_assert_cmpuint(fl.placement.loads, <=,
	    PLACEMENT_LOADS_BURST + 10 * PLACEMENT_LOADS_PER_MINUTE / 60 + 1);
	fleet_run(&fl, 60 * MSEC_SECOND);
	g_assert_cmpuint(fleet_ready(&fl, &new_model), ==, ENGINES);
	placement_finish(&fl.placement);
}

/*
 * Guards against a rollout that stops after a lost order: since the engine's
 * reported state does not match, the order is repeated.
 */
static void
test_lost_order(void)
{
	struct fleet fl;

	fleet_start(&fl, &new_model);
	fl.engines[0].deaf = true;
	fleet_run(&fl, 10 * MSEC_SECOND);
	g_assert_cmpuint(fleet_ready(&fl, &new_model), ==, 0);
	g_assert_cmpuint(fl.orders, >, 1);
	fl.engines[0].deaf = false;
	fleet_run(&fl, 60 * MSEC_SECOND);
	g_assert_cmpuint(fleet_ready(&fl, &new_model), ==, ENGINES);
	placement_finish(&fl.placement);
}

/*
 * Guards against an unfinished rollout when the lease holder dies: the next
 * holder must finish it with only the engines' reported state.
 */
static void
test_holder_dies(void)
{
	struct fleet fl;

	fleet_start(&fl, &new_model);
	fleet_run(&fl, 9 * MSEC_SECOND);
	g_assert_cmpuint(fleet_ready(&fl, &new_model), >, 0);
	g_assert_cmpuint(fleet_ready(&fl, &new_model), <, ENGINES);
	placement_finish(&fl.placement);
	fleet_holder(&fl, &new_model);
	fleet_run(&fl, 60 * MSEC_SECOND);
	g_assert_cmpuint(fleet_ready(&fl, &new_model), ==, ENGINES);
	g_assert_cmpuint(fleet_ready(&fl, &old_model), ==, 0);
	g_assert_cmpuint(fl.least_serving, ==, ENGINES);
	placement_finish(&fl.placement);
}

/*
 * Guards against orders without a lease: engines keep their models, and the
 * rollout continues when the lease is regained.
 */
static void
test_no_lease(void)
{
	struct fleet fl;

	fleet_start(&fl, &new_model);
	fl.may_order = false;
	fleet_run(&fl, 20 * MSEC_SECOND);
	g_assert_cmpuint(fl.orders, ==, 0);
	g_assert_cmpuint(fleet_ready(&fl, &old_model), ==, ENGINES);
	fl.may_order = true;
	fleet_run(&fl, 60 * MSEC_SECOND);
	g_assert_cmpuint(fleet_ready(&fl, &new_model), ==, ENGINES);
	placement_finish(&fl.placement);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* The tests cause warnings about versions that fail to load. */
	g_log_set_always_fatal(G_LOG_LEVEL_ERROR);
	log_open("warning", false);
	g_test_add_func("/placement/roll", test_roll);
	g_test_add_func("/placement/bad-version", test_bad_version);
	g_test_add_func("/placement/load-rate", test_load_rate);
	g_test_add_func("/placement/lost-order", test_lost_order);
	g_test_add_func("/placement/holder-dies", test_holder_dies);
	g_test_add_func("/placement/no-lease", test_no_lease);
	return g_test_run();
}
