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
struct fake_engine {
	struct placement_model model[PLACEMENT_MODELS_MAX];
	unsigned int nmodels;
	msec ready_at[PLACEMENT_MODELS_MAX];
	bool load_fails;   /* loading the version "bad" fails */
	bool loses_orders; /* it receives no orders */
};

struct fleet {
	struct placement placement;
	struct fake_engine engines[ENGINES];
	msec now;
	bool has_lease;
	unsigned int orders;
	unsigned int min_serving; /* engines with some version ready */
	unsigned int max_loading;
};

static const struct doc_model old_model = { "planner", "1" };
static const struct doc_model new_model = { "planner", "2" };
static const struct doc_model bad_model = { "planner", "bad" };

static bool fleet_order(struct placement *, struct placement_engine *, msec);

static const struct placement_ops fleet_ops = { .order = fleet_order };

static int
fake_engine_find_model(const struct fake_engine *f, const struct doc_model *m)
{
	unsigned int i;

	for (i = 0; i < f->nmodels; i++) {
		if (strcmp(f->model[i].name, m->name) == 0 &&
		    strcmp(f->model[i].version, m->version) == 0)
			return (int)i;
	}
	return -1;
}

static void
fake_engine_load(
    struct fake_engine *f, const struct doc_model *m, msec ready_at)
{
	struct placement_model *model = &f->model[f->nmodels];

	memset(model, 0, sizeof *model);
	g_strlcpy(model->name, m->name, sizeof model->name);
	g_strlcpy(model->version, m->version, sizeof model->version);
	model->load = PLACEMENT_LOADING;
	f->ready_at[f->nmodels++] = ready_at;
}

static void
fake_engine_drop(struct fake_engine *f, unsigned int i)
{
	f->nmodels--;
	f->model[i] = f->model[f->nmodels];
	f->ready_at[i] = f->ready_at[f->nmodels];
}

static bool
fleet_order(struct placement *p, struct placement_engine *e, msec now)
{
	struct fleet *fl = p->arg;
	struct fake_engine *f = &fl->engines[e->id - 1];
	unsigned int i, j;
	bool wanted;

	if (!fl->has_lease)
		return false;
	fl->orders++;
	if (f->loses_orders)
		return true;
	for (i = f->nmodels; i-- > 0;) {
		wanted = false;
		for (j = 0; j < e->nwant; j++)
			wanted |=
			    fake_engine_find_model(f, &e->want[j]) == (int)i;
		if (!wanted)
			fake_engine_drop(f, i);
	}
	for (j = 0; j < e->nwant; j++) {
		if (fake_engine_find_model(f, &e->want[j]) < 0)
			fake_engine_load(f, &e->want[j], now + LOAD_MS);
	}
	return true;
}

static void
fake_engine_step(struct fake_engine *f, msec now)
{
	unsigned int i;

	for (i = 0; i < f->nmodels; i++) {
		if (f->model[i].load != PLACEMENT_LOADING ||
		    now < f->ready_at[i])
			continue;
		f->model[i].load =
		    f->load_fails && strcmp(f->model[i].version, "bad") == 0
			? PLACEMENT_FAILED
			: PLACEMENT_READY;
	}
}

static void
fleet_record(struct fleet *fl)
{
	unsigned int i, j, serving = 0, loading = 0;
	bool ready;

	for (i = 0; i < ENGINES; i++) {
		ready = false;
		for (j = 0; j < fl->engines[i].nmodels; j++) {
			ready |=
			    fl->engines[i].model[j].load == PLACEMENT_READY;
			loading +=
			    fl->engines[i].model[j].load == PLACEMENT_LOADING;
		}
		serving += ready;
	}
	fl->min_serving = MIN(fl->min_serving, serving);
	fl->max_loading = MAX(fl->max_loading, loading);
}

static void
fleet_run(struct fleet *fl, msec span)
{
	msec end = fl->now + span;
	unsigned int i;

	for (; fl->now < end; fl->now += STEP_MS) {
		for (i = 0; i < ENGINES; i++) {
			fake_engine_step(&fl->engines[i], fl->now);
			placement_engine_state(&fl->placement, i + 1,
			    fl->engines[i].model, fl->engines[i].nmodels);
		}
		placement_round(&fl->placement, fl->now);
		fleet_record(fl);
	}
}

static void
fleet_start_holder(struct fleet *fl, const struct doc_model *m)
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
	fl->has_lease = true;
	fl->min_serving = ENGINES;
	for (i = 0; i < ENGINES; i++) {
		fake_engine_load(&fl->engines[i], &old_model, 0);
		fl->engines[i].model[0].load = PLACEMENT_READY;
	}
	fleet_start_holder(fl, m);
}

static unsigned int
fleet_count_ready(const struct fleet *fl, const struct doc_model *m)
{
	unsigned int i, n = 0;
	int at;

	for (i = 0; i < ENGINES; i++) {
		at = fake_engine_find_model(&fl->engines[i], m);
		n +=
		    at >= 0 && fl->engines[i].model[at].load == PLACEMENT_READY;
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
	g_assert_cmpuint(fleet_count_ready(&fl, &new_model), ==, ENGINES);
	g_assert_cmpuint(fleet_count_ready(&fl, &old_model), ==, 0);
	g_assert_cmpuint(fl.min_serving, ==, ENGINES);
	g_assert_cmpuint(fl.max_loading, <=, ENGINES / PLACEMENT_ROLL_DIVISOR);
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
		fl.engines[i].load_fails = true;
	fleet_run(&fl, 60 * MSEC_SECOND);
	g_assert_cmpuint(fleet_count_ready(&fl, &old_model), ==, ENGINES);
	g_assert_cmpuint(fl.max_loading, ==, 1);
	g_assert_cmpuint(fl.placement.loads, ==, 1);
	g_assert_cmpuint(fl.placement.rolled_back, ==, 1);
	placement_set_models(&fl.placement, &new_model, 1);
	fleet_run(&fl, 60 * MSEC_SECOND);
	g_assert_cmpuint(fleet_count_ready(&fl, &new_model), ==, ENGINES);
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
		fl.engines[i].nmodels = 0;
	fleet_run(&fl, 10 * MSEC_SECOND);
	g_assert_cmpuint(fl.placement.loads, <=,
	    PLACEMENT_LOADS_BURST + 10 * PLACEMENT_LOADS_PER_MINUTE / 60 + 1);
	fleet_run(&fl, 60 * MSEC_SECOND);
	g_assert_cmpuint(fleet_count_ready(&fl, &new_model), ==, ENGINES);
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
	fl.engines[0].loses_orders = true;
	fleet_run(&fl, 10 * MSEC_SECOND);
	g_assert_cmpuint(fleet_count_ready(&fl, &new_model), ==, 0);
	g_assert_cmpuint(fl.orders, >, 1);
	fl.engines[0].loses_orders = false;
	fleet_run(&fl, 60 * MSEC_SECOND);
	g_assert_cmpuint(fleet_count_ready(&fl, &new_model), ==, ENGINES);
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
	g_assert_cmpuint(fleet_count_ready(&fl, &new_model), >, 0);
	g_assert_cmpuint(fleet_count_ready(&fl, &new_model), <, ENGINES);
	placement_finish(&fl.placement);
	fleet_start_holder(&fl, &new_model);
	fleet_run(&fl, 60 * MSEC_SECOND);
	g_assert_cmpuint(fleet_count_ready(&fl, &new_model), ==, ENGINES);
	g_assert_cmpuint(fleet_count_ready(&fl, &old_model), ==, 0);
	g_assert_cmpuint(fl.min_serving, ==, ENGINES);
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
	fl.has_lease = false;
	fleet_run(&fl, 20 * MSEC_SECOND);
	g_assert_cmpuint(fl.orders, ==, 0);
	g_assert_cmpuint(fleet_count_ready(&fl, &old_model), ==, ENGINES);
	fl.has_lease = true;
	fleet_run(&fl, 60 * MSEC_SECOND);
	g_assert_cmpuint(fleet_count_ready(&fl, &new_model), ==, ENGINES);
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
