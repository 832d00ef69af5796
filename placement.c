/*
 * Placement of models on engines; see placement.h.
 *
 * A new version is rolled out to one engine first; once a load of it has
 * failed, it is not ordered on any other engine. An engine keeps the old
 * version in its wanted state until the new one is ready there, so that it
 * serves without a gap; if the new version fails, the old one stays loaded.
 */

#define LOG_PART "placement"
#include "placement.h"

#include <string.h>

static const struct placement_model *
engine_has(const struct placement_engine *, const struct doc_model *);
static bool
placement_is_bad(const struct placement *, const struct doc_model *);

void
placement_init(struct placement *p, const struct placement_ops *ops,
    const char *service, msec now)
{
	*p = (struct placement){ .ops = ops, .credit_at = now };
	g_strlcpy(p->service, service, sizeof p->service);
	TAILQ_INIT(&p->engines);
	p->load_credit = PLACEMENT_LOADS_BURST;
}

void
placement_finish(struct placement *p)
{
	struct placement_engine *e, *next;

	TAILQ_FOREACH_SAFE (e, &p->engines, entry, next) {
		TAILQ_REMOVE(&p->engines, e, entry);
		g_free(e);
	}
}

static bool
model_same(const char *name, const char *version, const struct doc_model *m)
{
	return strcmp(name, m->name) == 0 && strcmp(version, m->version) == 0;
}

void
placement_set_models(
    struct placement *p, const struct doc_model *models, unsigned int n)
{
	n = MIN(n, PLACEMENT_MODELS_MAX);
	if (n == p->nmodels &&
	    memcmp(p->models, models, n * sizeof *models) == 0)
		return;
	memset(p->models, 0, sizeof p->models);
	memcpy(p->models, models, n * sizeof *models);
	p->nmodels = n;
	p->nbad = 0;
}

/* ---- engines ---- */

struct placement_engine *
placement_find(struct placement *p, name_id id)
{
	struct placement_engine *e;

	TAILQ_FOREACH (e, &p->engines, entry) {
		if (e->id == id)
			return e;
	}
	return NULL;
}

void
placement_engines_begin(struct placement *p)
{
	struct placement_engine *e;

	TAILQ_FOREACH (e, &p->engines, entry)
		e->seen = false;
}

void
placement_engine_set(struct placement *p, name_id id, bool fenced, bool leaving)
{
	struct placement_engine *e = placement_find(p, id);

	if (e == NULL) {
		e = g_new0(struct placement_engine, 1);
		e->id = id;
		e->ordered_at = MSEC_NEVER;
		TAILQ_INSERT_TAIL(&p->engines, e, entry);
	}
	e->fenced = fenced;
	e->leaving = leaving;
	e->seen = true;
}

void
placement_engines_end(struct placement *p)
{
	struct placement_engine *e, *next;

	TAILQ_FOREACH_SAFE (e, &p->engines, entry, next) {
		if (e->seen)
			continue;
		TAILQ_REMOVE(&p->engines, e, entry);
		g_free(e);
	}
}

static void
placement_mark_bad(struct placement *p, const struct placement_model *has)
{
	struct doc_model *m;

	if (p->nbad == PLACEMENT_MODELS_MAX)
		return;
	m = &p->bad[p->nbad++];
	g_strlcpy(m->name, has->name, sizeof m->name);
	g_strlcpy(m->version, has->version, sizeof m->version);
	p->rolled_back++;
	log_warn("%s: %s %s failed to load, rollout stopped", p->service,
	    m->name, m->version);
}

void
placement_engine_state(struct placement *p, name_id id,
    const struct placement_model *has, unsigned int n)
{
	struct placement_engine *e = placement_find(p, id);
	struct doc_model m;
	unsigned int i;

	if (e == NULL)
		return;
	e->known = true;
	e->nhas = MIN(n, PLACEMENT_MODELS_MAX);
	memcpy(e->has, has, e->nhas * sizeof *has);
	for (i = 0; i < e->nhas; i++) {
		if (has[i].load != PLACEMENT_FAILED)
			continue;
		g_strlcpy(m.name, has[i].name, sizeof m.name);
		g_strlcpy(m.version, has[i].version, sizeof m.version);
		if (!placement_is_bad(p, &m))
			placement_mark_bad(p, &has[i]);
	}
}

/* ---- wanted state of an engine ---- */

static bool
placement_is_bad(const struct placement *p, const struct doc_model *m)
{
	unsigned int i;

	for (i = 0; i < p->nbad; i++) {
		if (model_same(m->name, m->version, &p->bad[i]))
			return true;
	}
	return false;
}

static const struct placement_model *
engine_has(const struct placement_engine *e, const struct doc_model *m)
{
	unsigned int i;

	for (i = 0; i < e->nhas; i++) {
		if (model_same(e->has[i].name, e->has[i].version, m))
			return &e->has[i];
	}
	return NULL;
}

static bool
engine_ready(const struct placement_engine *e, const struct doc_model *m)
{
	const struct placement_model *has = engine_has(e, m);

	return has != NULL && has->load == PLACEMENT_READY;
}

static void
engine_want(struct doc_model *want, unsigned int *n, const char *name,
    const char *version)
{
	unsigned int i;

	for (i = 0; i < *n; i++) {
		if (model_same(name, version, &want[i]))
			return;
	}
	if (*n == PLACEMENT_MODELS_MAX)
		return;
	memset(&want[*n], 0, sizeof want[*n]);
	g_strlcpy(want[*n].name, name, NAME_SIZE);
	g_strlcpy(want[*n].version, version, NAME_SIZE);
	(*n)++;
}

/* Ready versions of the model stay in the wanted state. */
static void
engine_want_old(const struct placement_engine *e, struct doc_model *want,
    unsigned int *n, const struct doc_model *m)
{
	unsigned int i;

	for (i = 0; i < e->nhas; i++) {
		if (strcmp(e->has[i].name, m->name) == 0 &&
		    e->has[i].load == PLACEMENT_READY)
			engine_want(want, n, e->has[i].name, e->has[i].version);
	}
}

/* Number of engines that were ordered to load it and do not have it ready. */
static unsigned int
placement_count_loading(const struct placement *p, const struct doc_model *m)
{
	const struct placement_engine *e;
	unsigned int i, n = 0;

	TAILQ_FOREACH (e, &p->engines, entry) {
		if (engine_ready(e, m))
			continue;
		for (i = 0; i < e->nwant; i++)
			n += model_same(m->name, m->version, &e->want[i]);
	}
	return n;
}

/* Number of engines that have it ready; `all`: that are not leaving. */
static unsigned int
placement_count_ready(
    const struct placement *p, const struct doc_model *m, unsigned int *all)
{
	const struct placement_engine *e;
	unsigned int n = 0;

	*all = 0;
	TAILQ_FOREACH (e, &p->engines, entry) {
		if (e->leaving)
			continue;
		(*all)++;
		n += engine_ready(e, m);
	}
	return n;
}

/*
 * Returns true if one more engine may load it now. The first engine loads it
 * alone, so that a version that fails to load costs no further capacity.
 */
static bool
placement_may_load(struct placement *p, const struct doc_model *m)
{
	unsigned int all, ready, most;

	if (placement_is_bad(p, m) || p->load_credit < 1)
		return false;
	ready = placement_count_ready(p, m, &all);
	most = ready == 0 ? 1 : MAX(all / PLACEMENT_ROLL_DIVISOR, 1);
	return placement_count_loading(p, m) < most;
}

static bool
engine_ordered(const struct placement_engine *e, const struct doc_model *m)
{
	unsigned int i;

	for (i = 0; i < e->nwant; i++) {
		if (model_same(m->name, m->version, &e->want[i]))
			return true;
	}
	return false;
}

/* Computes the wanted state of an engine; true if it is not empty. */
static bool
engine_plan(struct placement *p, struct placement_engine *e,
    struct doc_model *want, unsigned int *n)
{
	const struct doc_model *m;
	unsigned int i;

	*n = 0;
	for (i = 0; i < p->nmodels; i++) {
		m = &p->models[i];
		if (engine_ready(e, m)) {
			engine_want(want, n, m->name, m->version);
			continue;
		}
		engine_want_old(e, want, n, m);
		if (engine_ordered(e, m) && !placement_is_bad(p, m)) {
			engine_want(want, n, m->name, m->version);
		} else if (placement_may_load(p, m)) {
			p->load_credit -= 1;
			p->loads++;
			engine_want(want, n, m->name, m->version);
		}
	}
	return *n != 0;
}

/* Returns true if the engine has exactly these models, in any load state. */
static bool
engine_matches(const struct placement_engine *e, const struct doc_model *want,
    unsigned int n)
{
	unsigned int i;

	for (i = 0; i < n; i++) {
		if (engine_has(e, &want[i]) == NULL)
			return false;
	}
	return e->nhas == n;
}

static void
placement_refill_credit(struct placement *p, msec now)
{
	p->load_credit += (double)(now - p->credit_at) *
			  PLACEMENT_LOADS_PER_MINUTE / (60.0 * MSEC_SECOND);
	p->load_credit = MIN(p->load_credit, PLACEMENT_LOADS_BURST);
	p->credit_at = now;
}

static void
engine_round(struct placement *p, struct placement_engine *e, msec now)
{
	struct doc_model want[PLACEMENT_MODELS_MAX];
	unsigned int n;
	bool again;

	if (!e->known || e->leaving || !engine_plan(p, e, want, &n))
		return;
	again = e->ordered_at == MSEC_NEVER ||
		now - e->ordered_at >= PLACEMENT_ORDER_RESEND_MS;
	if (n == e->nwant && memcmp(want, e->want, n * sizeof *want) == 0 &&
	    (!again || engine_matches(e, want, n)))
		return;
	if (e->nwant == 0 && engine_matches(e, want, n)) {
		/* The previous lease holder has ordered this state already. */
		memcpy(e->want, want, n * sizeof *want);
		e->nwant = n;
		return;
	}
	memcpy(e->want, want, n * sizeof *want);
	e->nwant = n;
	if (!p->ops->order(p, e, now))
		return;
	e->ordered_at = now;
	p->orders++;
}

void
placement_round(struct placement *p, msec now)
{
	struct placement_engine *e;

	placement_refill_credit(p, now);
	TAILQ_FOREACH (e, &p->engines, entry)
		engine_round(p, e, now);
}

bool
placement_settled(const struct placement *p)
{
	const struct placement_engine *e;
	unsigned int i;

	TAILQ_FOREACH (e, &p->engines, entry) {
		if (e->leaving)
			continue;
		for (i = 0; i < p->nmodels; i++) {
			if (!engine_ready(e, &p->models[i]))
				return false;
		}
	}
	return true;
}
