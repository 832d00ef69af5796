/*
 * Placement on the core: claims the lease of each model service through the
 * log and, while this node holds it, polls the engines' states and sends them
 * orders. placement.c computes the orders.
 *
 * Only a few candidate nodes per service read the lease stream and may claim,
 * so the cost of the stream does not grow with the number of nodes.
 */

#define LOG_PART "placement"
#include "daemon.h"
#include "lease.h"
#include "placement.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#define PLACEMENT_CANDIDATES 3
/* A candidate waits this time for each candidate of higher rank to claim. */
#define CANDIDATE_WAIT_MS (3 * MSEC_SECOND)
#define STATE_EVERY_MS 1000
#define STATE_EVERY_SETTLED_MS 5000
#define STATE_TIMEOUT_MS 1000
#define ROUND_EVERY_MS 200
#define CLAIM_TIMEOUT_MS (5 * MSEC_SECOND)
/* Marks lease appends in cookies; daemon-ledger.c uses 1 to 16 there. */
#define COOKIE_LEASE (UINT64_C(32) << 56)

struct placed_service {
	TAILQ_ENTRY(placed_service) entry;
	struct daemon *daemon;
	struct lease_client user;
	struct placement placement;
	uint64_t cookie;
	msec claimable_since; /* MSEC_NEVER: not claimable */
	msec state_due;
	msec round_due;
	bool held; /* at the last tick, to log changes */
};
TAILQ_HEAD(placed_list, placed_service);

struct daemon_placement {
	struct lease_fold fold;
	struct placed_list services;
	uint64_t next_cookie;
	bool following;
	bool gap_checked;
};

static bool placed_order(struct placement *, struct placement_engine *, msec);

static const struct placement_ops placed_ops = { .order = placed_order };

/* ---- candidates ---- */

/* Returns how many live nodes rank before this node for the service. */
static unsigned int
candidate_rank(struct daemon *d, const char *service)
{
	name_id id = name_hash(service), self = d->members.self.id;
	uint64_t ours = XXH64(&self, sizeof self, id);
	struct member *m;
	unsigned int rank = 0;

	RB_FOREACH (m, member_tree, &d->members.tree) {
		if (m->state == MEMBER_ALIVE && !m->leaving &&
		    XXH64(&m->id, sizeof m->id, id) > ours)
			rank++;
	}
	return rank;
}

static void
leases_follow(struct daemon *d, bool wanted)
{
	struct daemon_placement *dp = d->placement;

	if (wanted == dp->following)
		return;
	dp->following = wanted;
	if (!wanted) {
		log_io_unfollow(d->log, LOG_STREAM_LEASES);
		lease_fold_finish(&dp->fold);
		lease_fold_init(&dp->fold);
		return;
	}
	dp->gap_checked = false;
	log_io_follow(d->log, LOG_STREAM_LEASES, 1);
}

/* ---- services ---- */

static struct placed_service *
placed_find(struct daemon_placement *dp, const char *service)
{
	struct placed_service *s;

	TAILQ_FOREACH (s, &dp->services, entry) {
		if (strcmp(s->user.service, service) == 0)
			return s;
	}
	return NULL;
}

/* A document came into force: the engines should load its models. */
void
daemon_placement_document(
    struct daemon *d, const struct document *doc, msec now)
{
	struct daemon_placement *dp = d->placement;
	struct placed_service *s;

	if (doc->kind != SERVICE_MODEL)
		return;
	if ((s = placed_find(dp, doc->service)) == NULL) {
		s = g_new0(struct placed_service, 1);
		s->daemon = d;
		s->claimable_since = MSEC_NEVER;
		lease_client_init(
		    &s->user, doc->service, d->members.self.id, d->incarnation);
		placement_init(&s->placement, &placed_ops, doc->service, now);
		s->placement.arg = s;
		TAILQ_INSERT_TAIL(&dp->services, s, entry);
	}
	placement_set_models(&s->placement, doc->models, doc->nmodels);
}

static void
placed_engines(struct placed_service *s)
{
	struct daemon *d = s->daemon;
	struct doc_ref *r = doc_set_find(d->docs, s->user.service);
	struct backend *b;

	placement_engines_begin(&s->placement);
	RB_FOREACH (b, backend_tree, &d->backends) {
		if (r == NULL || strcmp(b->vm.kind, "engine") != 0 ||
		    strcmp(b->vm.service, s->user.service) != 0)
			continue;
		placement_engine_set(&s->placement, b->id,
		    document_trait(&r->doc, b->vm.name).fenced, b->vm.leaving);
	}
	placement_engines_end(&s->placement);
}

/* ---- states of the engines ---- */

struct state_query {
	char service[NAME_SIZE];
	name_id engine;
};

static bool
state_decode(const json_t *o, struct placement_model *m)
{
	const char *name, *version, *state;

	if (json_unpack((json_t *)o, "{s:s, s:s, s:s}", "model", &name,
		"version", &version, "state", &state) != 0)
		return false;
	memset(m, 0, sizeof *m);
	name_fit(m->name, sizeof m->name, name);
	name_fit(m->version, sizeof m->version, version);
	m->load = strcmp(state, "ready") == 0	 ? PLACEMENT_READY
		  : strcmp(state, "failed") == 0 ? PLACEMENT_FAILED
						 : PLACEMENT_LOADING;
	return true;
}

static void
state_fetched(struct daemon *d, struct fetch *f, msec now)
{
	struct state_query *q = f->arg;
	struct placement_model has[PLACEMENT_MODELS_MAX];
	struct placed_service *s = placed_find(d->placement, q->service);
	json_t *list = json_object_get(f->json, "models"), *one;
	unsigned int n = 0;
	size_t i;

	if (s != NULL && f->status == 200 && json_is_array(list)) {
		json_array_foreach (list, i, one) {
			if (n < PLACEMENT_MODELS_MAX &&
			    state_decode(one, &has[n]))
				n++;
		}
		placement_engine_state(&s->placement, q->engine, has, n);
	}
}

static void
state_poll(struct placed_service *s, const struct placement_engine *e)
{
	struct backend *b = daemon_backend_find(s->daemon, e->id);
	char at[ENDPOINT_SIZE];
	struct state_query *q;
	struct fetch *f;

	if (b == NULL)
		return;
	q = g_new0(struct state_query, 1);
	g_strlcpy(q->service, s->user.service, sizeof q->service);
	q->engine = e->id;
	f = g_new0(struct fetch, 1);
	f->url = g_strdup_printf(
	    "http://%s/v1/state", endpoint_text(at, b->vm.address, b->vm.port));
	f->timeout = STATE_TIMEOUT_MS;
	f->done = state_fetched;
	f->arg = q;
	f->arg_free = g_free;
	fetch_start(s->daemon, f);
}

/* ---- orders ---- */

static void
order_done(struct daemon *d, struct fetch *f, msec now)
{
	if (f->status == 409)
		log_warn(
		    "an engine refused an order: it has seen a newer lease");
	else if (f->status != 200)
		log_info("an order returned status %ld", f->status);
}

static char *
order_text(struct placed_service *s, const struct placement_engine *e)
{
	json_t *want = json_array(), *o;
	unsigned int i;
	char *text;

	for (i = 0; i < e->nwant; i++)
		json_array_append_new(
		    want, json_pack("{s:s, s:s}", "model", e->want[i].name,
			      "version", e->want[i].version));
	o = json_pack("{s:I, s:s, s:o, s:s}", "fencing",
	    (json_int_t)s->user.fencing, "holder", s->daemon->settings.node,
	    "want", want, "role", "both");
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

/*
 * The remaining term is checked right before each order, because a holder that
 * was paused may have lost its lease meanwhile. The clock runs on during a
 * pause, and the term must cover the time-out of the order.
 */
static bool
placed_order(struct placement *p, struct placement_engine *e, msec now)
{
	struct placed_service *s = p->arg;
	struct backend *b = daemon_backend_find(s->daemon, e->id);
	char at[ENDPOINT_SIZE], *text;
	struct fetch *f;

	if (b == NULL ||
	    !lease_client_may_order(&s->user, msec_now(), e->fenced))
		return false;
	text = order_text(s, e);
	log_info_of(LOG_NODE, b->vm.name, "%s: ordered %s", b->vm.name, text);
	f = g_new0(struct fetch, 1);
	f->url = g_strdup_printf("http://%s/v1/orders",
	    endpoint_text(at, b->vm.address, b->vm.port));
	f->post = g_strdup(text);
	f->timeout = LEASE_ORDER_TIMEOUT;
	f->done = order_done;
	free(text);
	fetch_start(s->daemon, f);
	return true;
}

/* ---- the lease ---- */

static bool
placed_may_claim(struct placed_service *s, msec now, unsigned int rank)
{
	if (s->claimable_since == MSEC_NEVER)
		s->claimable_since = now;
	return now - s->claimable_since >= (msec)rank * CANDIDATE_WAIT_MS;
}

static void
placed_claim(struct placed_service *s, msec now, uint64_t replaces)
{
	struct daemon *d = s->daemon;
	char id[LOG_ID_SIZE], *text;

	log_id_make(id);
	text = lease_claim_encode(s->user.service, replaces, d->members.self.id,
	    d->incarnation, LEASE_TERM, id);
	s->cookie = COOKIE_LEASE | ++d->placement->next_cookie;
	lease_client_claim_sent(
	    &s->user, now, &d->placement->fold, replaces, id);
	daemon_metrics_append(d, METRICS_APPEND_LEASES);
	if (!log_io_append(d->log, LOG_STREAM_LEASES, text, id,
		CLAIM_TIMEOUT_MS, s->cookie))
		lease_client_claim_failed(&s->user);
	free(text);
}

static void
placed_lease(struct placed_service *s, msec now, unsigned int rank)
{
	uint64_t replaces;

	switch (lease_client_tick(
	    &s->user, now, &s->daemon->placement->fold, &replaces)) {
	case LEASE_NOTHING:
		s->claimable_since = MSEC_NEVER;
		break;
	case LEASE_CLAIM:
		if (rank < PLACEMENT_CANDIDATES &&
		    placed_may_claim(s, now, rank))
			placed_claim(s, now, replaces);
		break;
	case LEASE_RENEW:
		placed_claim(s, now, replaces);
		break;
	}
}

static void
placed_tick(struct placed_service *s, msec now)
{
	bool held = s->user.fencing != 0 && now < s->user.until;
	struct placement_engine *e;

	if (held != s->held) {
		log_info_of(LOG_SERVICE, s->user.service, "%s: the lease is %s",
		    s->user.service, held ? "ours" : "no longer ours");
		s->held = held;
	}
	if (!held || now < s->round_due)
		return;
	s->round_due = now + ROUND_EVERY_MS;
	placed_engines(s);
	if (now >= s->state_due) {
		s->state_due = now + (placement_settled(&s->placement)
					     ? STATE_EVERY_SETTLED_MS
					     : STATE_EVERY_MS);
		TAILQ_FOREACH (e, &s->placement.engines, entry)
			state_poll(s, e);
	}
	placement_round(&s->placement, now);
}

void
daemon_placement_tick(struct daemon *d, msec now)
{
	struct placed_service *s;
	unsigned int rank;
	bool wanted = false;

	TAILQ_FOREACH (s, &d->placement->services, entry) {
		rank = candidate_rank(d, s->user.service);
		wanted |= rank < PLACEMENT_CANDIDATES || s->held;
		if (d->placement->following && d->state == DAEMON_SERVING)
			placed_lease(s, now, rank);
		placed_tick(s, now);
	}
	leases_follow(d, wanted);
}

/* Releases the leases on a planned stop, so that their terms need not expire.
 */
void
daemon_placement_leave(struct daemon *d, msec now)
{
	struct placed_service *s;
	char id[LOG_ID_SIZE], *text;

	TAILQ_FOREACH (s, &d->placement->services, entry) {
		if (s->user.fencing == 0)
			continue;
		log_id_make(id);
		text = lease_release_encode(s->user.service, s->user.fencing,
		    d->members.self.id, d->incarnation, id);
		lease_client_release(&s->user);
		daemon_metrics_append(d, METRICS_APPEND_LEASES);
		log_io_append(d->log, LOG_STREAM_LEASES, text, id,
		    CLAIM_TIMEOUT_MS, COOKIE_LEASE);
		free(text);
	}
}

/* ---- the log ---- */

static void
leases_page(struct daemon *d, const struct log_page *p, msec now)
{
	struct daemon_placement *dp = d->placement;
	struct placed_service *s;
	unsigned int i;

	if (!dp->gap_checked && p->first > 1)
		lease_fold_gap(&dp->fold, now, p->first,
		    p->nentries > 0 ? p->entries[0].wall
				    : msec_wall() - d->settings.log_retention);
	dp->gap_checked = true;
	for (i = 0; i < p->nentries; i++)
		lease_fold_apply(&dp->fold, now, p->entries[i].offset,
		    p->entries[i].wall, p->entries[i].data, p->entries[i].len);
	TAILQ_FOREACH (s, &dp->services, entry)
		lease_client_fold_changed(&s->user, now, &dp->fold);
}

/* True when the event belongs to the lease stream. */
bool
daemon_placement_log_event(
    struct daemon *d, const struct log_event *e, msec now)
{
	struct placed_service *s;

	if (strcmp(e->stream, LOG_STREAM_LEASES) != 0)
		return false;
	if (e->kind == LOG_EVENT_PAGE &&
	    e->from <= MAX(d->placement->fold.next, 1))
		leases_page(d, &e->page, now);
	if (e->kind == LOG_EVENT_APPEND_FAILED) {
		TAILQ_FOREACH (s, &d->placement->services, entry) {
			if (s->cookie == e->cookie)
				lease_client_claim_failed(&s->user);
		}
	}
	return true;
}

/* Returns an array with an object per service, for dumps. */
json_t *
daemon_placement_dump(struct daemon *d, msec now)
{
	json_t *list = json_array();
	struct placed_service *s;

	TAILQ_FOREACH (s, &d->placement->services, entry)
		json_array_append_new(list,
		    json_pack("{s:s, s:b, s:I, s:I, s:I, s:I, s:I, s:b}",
			"service", s->user.service, "lease_held", (int)s->held,
			"fencing", (json_int_t)s->user.fencing, "term_left_ms",
			(json_int_t)(s->held ? s->user.until - now : 0),
			"orders", (json_int_t)s->placement.orders, "loads",
			(json_int_t)s->placement.loads, "rolled_back",
			(json_int_t)s->placement.rolled_back, "settled",
			(int)placement_settled(&s->placement)));
	return list;
}

void
daemon_placement_init(struct daemon *d)
{
	d->placement = g_new0(struct daemon_placement, 1);
	lease_fold_init(&d->placement->fold);
	TAILQ_INIT(&d->placement->services);
}

void
daemon_placement_finish(struct daemon *d)
{
	struct placed_service *s, *next;

	TAILQ_FOREACH_SAFE (s, &d->placement->services, entry, next) {
		placement_finish(&s->placement);
		g_free(s);
	}
	lease_fold_finish(&d->placement->fold);
	g_free(d->placement);
}
