/*
 * Tests how many servers are ordered. Guards against too few servers when load
 * rises or the platform reclaims those of a failure domain, and against
 * expensive servers that stay idle.
 *
 * A simulated platform executes the orders in virtual time: servers boot, are
 * reclaimed or are unavailable; replies get lost and orders take effect late.
 */

#include "capacity.h"

#include <stdlib.h>
#include <string.h>

#define DOMAINS 3
#define SERVERS_MAX 40
#define BOOT_MS 4000
#define STEP_MS 100
#define RECLAIMABLE_PRICE 0.2
/*
 * Load under which servers are taken back, the servers for its targets, and the
 * part of them up to which lasting ones stand in.
 */
#define LOSS_TOKENS_PER_MS 1400
#define LOSS_RUNNING 200
#define LOSS_NEED 59
#define LOSS_STAND_IN_PERCENT 75
#define LOSS_SERVED 45

struct late_order {
	msec at;
	unsigned int domain, count;
	enum capacity_kind kind;
};

/* The platform's servers of one kind in one domain. */
struct server_pool {
	unsigned int ready,
	    booting[BOOT_MS / STEP_MS + 1]; /* by steps until ready */
	msec unavailable_until;		    /* no new server until then */
};

struct world {
	struct capacity c;
	struct server_pool pools[DOMAINS][CAPACITY_KINDS];
	msec now;
	unsigned int
	    visible; /* known servers of each kind in a domain, at most */
	uint64_t requests;
	double tokens, urgent; /* total so far */
	GQueue late;
	GRand *rand;
	unsigned int lost_percent, orders;
	unsigned int servers_changed; /* servers added or removed by orders */
	unsigned int losses;	      /* domains reported as taken back */
	bool no_reports;	      /* coordinators report no demand */
	bool servers_incomplete;      /* not all servers are known yet */
};

static const char *const domain_names[DOMAINS] = { "hall-a", "hall-b",
	"hall-c" };

static unsigned int
pool_booting(const struct server_pool *s)
{
	unsigned int i, n = 0;

	for (i = 0; i < G_N_ELEMENTS(s->booting); i++)
		n += s->booting[i];
	return n;
}

static void
pool_set_count(struct server_pool *s, unsigned int count)
{
	unsigned int have = s->ready + pool_booting(s), i;

	if (count > have) {
		s->booting[BOOT_MS / STEP_MS] += count - have;
		return;
	}
	have -= count;
	for (i = G_N_ELEMENTS(s->booting); i-- > 0 && have > 0;) {
		unsigned int less = MIN(have, s->booting[i]);

		s->booting[i] -= less;
		have -= less;
	}
	s->ready -= MIN(have, s->ready);
}

static void
op_order(struct capacity *c, const struct capacity_service *s,
    unsigned int domain, enum capacity_kind kind, unsigned int count)
{
	struct world *w = c->arg;
	struct server_pool *server_pool = &w->pools[domain][kind];
	struct late_order *late;

	g_assert_cmpuint(domain, <, DOMAINS);
	w->orders++;
	if (g_rand_int_range(w->rand, 0, 100) < (gint32)w->lost_percent) {
		late = g_new(struct late_order, 1);
		*late = (struct late_order){ w->now + g_rand_int_range(
							  w->rand, 1000, 8000),
			domain, count, kind };
		g_queue_push_tail(&w->late, late);
		capacity_ordered(
		    c, w->now, s->id, domain, kind, count, CAPACITY_NO_ANSWER);
		return;
	}
	if (w->now < server_pool->unavailable_until &&
	    count > server_pool->ready) {
		capacity_ordered(c, w->now, s->id, domain, kind, count,
		    CAPACITY_UNAVAILABLE);
		return;
	}
	w->servers_changed += (unsigned int)abs(
	    (int)count - (int)(server_pool->ready + pool_booting(server_pool)));
	pool_set_count(server_pool, count);
	capacity_ordered(
	    c, w->now, s->id, domain, kind, count, CAPACITY_ACCEPTED);
}

static void
op_taken_back(struct capacity *c, const struct capacity_service *s,
    unsigned int domain, unsigned int lost)
{
	struct world *w = c->arg;

	(void)s;
	g_assert_cmpuint(domain, <, DOMAINS);
	g_assert_cmpuint(lost, >, 0);
	w->losses++;
}

static const struct capacity_ops ops = { op_order, op_taken_back };

static void
world_set_terms(struct world *w, double price, unsigned int maximum)
{
	struct capacity_config t = { .name = "model",
		.minimum = 1,
		.maximum = maximum,
		.boot = BOOT_MS,
		.reclaimable_price = price,
		.ndomains = DOMAINS };
	unsigned int i;

	for (i = 0; i < DOMAINS; i++) {
		g_strlcpy(t.domains[i].name, domain_names[i],
		    sizeof t.domains[i].name);
		t.domains[i].price = 1.0 + 0.1 * i;
	}
	capacity_set_config(&w->c, &t, 1);
}

static void
world_init(struct world *w, unsigned int lasting, double price)
{
	unsigned int i;

	*w = (struct world){ .now = 100000, .visible = SERVERS_MAX };
	w->rand = g_rand_new_with_seed(1);
	capacity_init(&w->c, &ops);
	w->c.arg = w;
	world_set_terms(w, price, SERVERS_MAX);
	for (i = 0; i < DOMAINS; i++)
		w->pools[i][CAPACITY_LASTING].ready = lasting;
	capacity_set_holder(&w->c, w->now, true);
}

static void
world_finish(struct world *w)
{
	capacity_finish(&w->c);
	g_queue_clear_full(&w->late, g_free);
	g_rand_free(w->rand);
}

static void
world_report(struct world *w, unsigned int running)
{
	sp_msg msg = { .kind = SP_DEMAND };
	sp_demand *d = &msg.sp_msg_u.demand;

	d->service = name_hash("model");
	d->requests = (u_int)w->requests;
	d->tokens = (uint64_t)w->tokens;
	d->urgent_tokens = (uint64_t)w->urgent;
	d->running = running;
	if (!w->no_reports)
		capacity_receive(&w->c, w->now, 1, &msg);
}

static void
world_run_platform(struct world *w)
{
	struct late_order *late;
	struct server_pool *p;
	unsigned int i, j, k;

	for (i = 0; i < DOMAINS; i++) {
		for (k = 0; k < CAPACITY_KINDS; k++) {
			struct server_pool *s = &w->pools[i][k];

			s->ready += s->booting[0];
			for (j = 0; j + 1 < G_N_ELEMENTS(s->booting); j++)
				s->booting[j] = s->booting[j + 1];
			s->booting[j] = 0;
		}
	}
	late = g_queue_peek_head(&w->late);
	if (late == NULL || late->at > w->now)
		return;
	g_queue_pop_head(&w->late);
	p = &w->pools[late->domain][late->kind];
	if (w->now >= p->unavailable_until || late->count <= p->ready)
		pool_set_count(p, late->count);
	g_free(late);
}

static void
world_step(struct world *w, double tokens_per_ms, unsigned int running)
{
	unsigned int i, k, n;

	w->now += STEP_MS;
	w->tokens += tokens_per_ms * STEP_MS;
	w->urgent += tokens_per_ms * STEP_MS / 20;
	w->requests += tokens_per_ms > 0;
	world_run_platform(w);
	if (w->now % 1000 == 0 && w->requests > 0)
		world_report(w, running);
	capacity_clear_ready(&w->c, !w->servers_incomplete);
	for (i = 0; i < DOMAINS; i++) {
		for (k = 0; k < CAPACITY_KINDS; k++) {
			for (n = 0; n < MIN(w->pools[i][k].ready, w->visible);
			     n++)
				capacity_add_ready(&w->c, name_hash("model"),
				    domain_names[i], k);
		}
	}
	capacity_tick(&w->c, w->now);
}

static unsigned int
world_count_ready(const struct world *w, enum capacity_kind kind)
{
	unsigned int i, n = 0;

	for (i = 0; i < DOMAINS; i++)
		n += w->pools[i][kind].ready;
	return n;
}

/* Returns the smallest number of ready servers during the run. */
static unsigned int
world_run(
    struct world *w, msec span, double tokens_per_ms, unsigned int running)
{
	msec end = w->now + span;
	unsigned int minimum = UINT_MAX;

	while (w->now < end) {
		world_step(w, tokens_per_ms, running);
		minimum = MIN(
		    minimum, world_count_ready(w, CAPACITY_LASTING) +
				 world_count_ready(w, CAPACITY_RECLAIMABLE));
	}
	return minimum;
}

/* All reclaimable servers of a domain leave, with those that are booting. */
static void
world_take_back(struct world *w, unsigned int domain, msec unavailable)
{
	struct server_pool *p = &w->pools[domain][CAPACITY_RECLAIMABLE];

	*p = (struct server_pool){ .unavailable_until = w->now + unavailable };
}

/* Starts a fleet of 60 servers and loads it for some seconds. */
static void
world_start_loaded(struct world *w)
{
	world_init(w, 20, RECLAIMABLE_PRICE);
	w->c.limits.stand_in_percent = LOSS_STAND_IN_PERCENT;
	world_run(w, 14000, 0, 0);
	world_run(w, 12000, LOSS_TOKENS_PER_MS, LOSS_RUNNING);
	g_assert_cmpuint(world_count_ready(w, CAPACITY_LASTING), ==, DOMAINS);
}

static unsigned int
world_count_all(const struct world *w)
{
	return world_count_ready(w, CAPACITY_LASTING) +
	       world_count_ready(w, CAPACITY_RECLAIMABLE);
}

/* Guards against a fleet that shrinks while lasting servers are replaced. */
static void
test_replace_lasting(void)
{
	struct world w;

	world_init(&w, 20, RECLAIMABLE_PRICE);
	g_assert_cmpuint(world_run(&w, 20000, 0, 0), >=, 60);
	g_assert_cmpuint(world_count_ready(&w, CAPACITY_LASTING), ==, DOMAINS);
	g_assert_cmpuint(world_count_ready(&w, CAPACITY_RECLAIMABLE), >=, 60);
	world_finish(&w);
}

/*
 * Guards against a reduced fleet after a start, when the holder discovers the
 * servers one by one.
 */
static void
test_known_one_by_one(void)
{
	struct world w;

	world_init(&w, 20, RECLAIMABLE_PRICE);
	for (w.visible = 2; w.visible < 20; w.visible++)
		g_assert_cmpuint(world_run(&w, 300, 0, 0), >=, 60);
	g_assert_cmpuint(world_run(&w, 20000, 0, 0), >=, 60);
	world_finish(&w);
}

/* Guards against thousands of changes at once, which all nodes must receive. */
static void
test_large_fleet(void)
{
	struct world w;
	unsigned int before, i;

	world_init(&w, 300, RECLAIMABLE_PRICE);
	w.visible = UINT_MAX;
	world_set_terms(&w, RECLAIMABLE_PRICE, 1000);
	capacity_set_holder(&w.c, w.now, true);
	for (i = 0; i < 120; i++) {
		before = w.servers_changed;
		g_assert_cmpuint(world_run(&w, 1000, 0, 0), >=, 900);
		g_assert_cmpuint(w.servers_changed - before, <=, 100);
	}
	g_assert_cmpuint(world_count_ready(&w, CAPACITY_LASTING), <, 100);
	world_finish(&w);
}

/*
 * Guards against a new holder that orders by the few servers it has read so
 * far.
 */
static void
test_new_holder_reads(void)
{
	struct world w;

	world_init(&w, 300, RECLAIMABLE_PRICE);
	world_set_terms(&w, RECLAIMABLE_PRICE, 1000);
	w.c.nodes = 300;
	w.c.services[0].previous_needed = 900;
	w.servers_incomplete = true;
	for (w.visible = 0; w.visible < 250; w.visible += 10)
		g_assert_cmpuint(world_run(&w, 300, 1400, 200), >=, 900);
	w.servers_incomplete = false;
	w.visible = UINT_MAX;
	g_assert_cmpuint(world_run(&w, 20000, 1400, 200), >=, 900);
	world_finish(&w);
}

/* Guards against too few servers when all of a domain are reclaimed. */
static void
test_domain_taken_back(void)
{
	struct world w;
	unsigned int n, i;

	world_init(&w, 20, RECLAIMABLE_PRICE);
	world_run(&w, 20000, 0, 0);
	world_run(&w, 40000, 1400, 200);
	n = w.c.services[0].needed;
	w.pools[1][CAPACITY_RECLAIMABLE].ready = 0;
	for (i = 0; i < DOMAINS; i++)
		w.pools[i][CAPACITY_RECLAIMABLE].unavailable_until =
		    i == 1 ? w.now + 10000 : 0;
	g_assert_cmpuint(world_run(&w, 9000, 1400, 200), >=, n - 1);
	world_run(&w, 20000, 1400, 200);
	g_assert_cmpuint(w.pools[1][CAPACITY_RECLAIMABLE].ready, >, 0);
	world_finish(&w);
}

/* Guards against oscillating orders while a domain has no servers available. */
static void
test_none_left(void)
{
	struct world w;
	unsigned int orders;

	world_init(&w, 20, RECLAIMABLE_PRICE);
	world_run(&w, 20000, 0, 0);
	world_run(&w, 40000, 1400, 200);
	w.pools[2][CAPACITY_RECLAIMABLE].ready = 0;
	w.pools[2][CAPACITY_RECLAIMABLE].unavailable_until = w.now + 20000;
	orders = w.orders;
	world_run(&w, 20000, 1400, 200);
	/* One try per 2.5 s in the empty domain, and one change per domain. */
	g_assert_cmpuint(w.orders - orders, <=, 20000 / 2500 + 1 + DOMAINS);
	world_finish(&w);
}

/* Guards against unserved load when no reclaimable servers are available. */
static void
test_all_taken_back(void)
{
	struct world w;
	unsigned int i;

	world_init(&w, 20, RECLAIMABLE_PRICE);
	world_run(&w, 20000, 0, 0);
	world_run(&w, 40000, 1400, 200);
	for (i = 0; i < DOMAINS; i++) {
		w.pools[i][CAPACITY_RECLAIMABLE].ready = 0;
		w.pools[i][CAPACITY_RECLAIMABLE].unavailable_until =
		    w.now + 30000;
	}
	world_run(&w, BOOT_MS + 2000, 1400, 200);
	g_assert_cmpuint(
	    world_count_ready(&w, CAPACITY_LASTING) * 60, >=, 1400);
	world_run(&w, 60000, 1400, 200);
	g_assert_cmpuint(world_count_ready(&w, CAPACITY_LASTING), <, 12);
	world_finish(&w);
}

/* Guards against orders that take effect late, twice or never. */
static void
test_lost_answers(void)
{
	struct world w;
	unsigned int i, k;

	world_init(&w, 20, RECLAIMABLE_PRICE);
	w.lost_percent = 60;
	world_run(&w, 60000, 1400, 200);
	w.lost_percent = 0;
	world_run(&w, 30000, 1400, 200);
	for (i = 0; i < DOMAINS; i++) {
		for (k = 0; k < CAPACITY_KINDS; k++)
			g_assert_cmpuint(w.pools[i][k].ready, ==,
			    w.c.services[0].domains[i].kinds[k].target);
	}
	world_finish(&w);
}

/* Guards against a reduced fleet while no demand is reported. */
static void
test_silence(void)
{
	struct world w;
	unsigned int n;

	world_init(&w, 20, RECLAIMABLE_PRICE);
	world_run(&w, 40000, 2000, 300);
	n = w.c.services[0].needed;
	w.no_reports = true;
	world_run(&w, 120000, 100, 10);
	g_assert_cmpuint(w.c.services[0].needed, ==, n);
	w.no_reports = false;
	world_run(&w, 120000, 100, 10);
	g_assert_cmpuint(w.c.services[0].needed, <, n / 4);
	world_finish(&w);
}

/* Guards against a slow reaction when the load doubles. */
static void
test_rise(void)
{
	struct world w;
	unsigned int n;

	world_init(&w, 10, RECLAIMABLE_PRICE);
	world_run(&w, 40000, 600, 100);
	n = w.c.services[0].needed;
	world_run(&w, 3000, 1200, 200);
	g_assert_cmpuint(w.c.services[0].needed, >=, 2 * n - 2);
	world_run(&w, BOOT_MS + 1000, 1200, 200);
	g_assert_cmpuint(
	    world_count_ready(&w, CAPACITY_RECLAIMABLE), >=, 2 * n - 2);
	world_finish(&w);
}

/* Guards against a fleet that shrinks between peaks in quick succession. */
static void
test_wave(void)
{
	struct world w;
	unsigned int orders, i;

	world_init(&w, 20, RECLAIMABLE_PRICE);
	for (i = 0; i < 6; i++) {
		world_run(&w, 6000, 1400, 200);
		world_run(&w, 6000, 500, 80);
	}
	orders = w.orders;
	for (i = 0; i < 6; i++) {
		world_run(&w, 6000, 1400, 200);
		world_run(&w, 6000, 500, 80);
	}
	g_assert_cmpuint(w.orders, ==, orders);
	world_finish(&w);
}

/*
 * Guards against a new holder that reduces the fleet to the servers it finds
 * after the loss of a domain.
 */
static void
test_new_holder(void)
{
	struct world w;
	unsigned int n;

	world_init(&w, 20, RECLAIMABLE_PRICE);
	world_run(&w, 60000, 1400, 200);
	n = w.c.services[0].needed;
	w.pools[0][CAPACITY_RECLAIMABLE].ready = 0;
	capacity_set_holder(&w.c, w.now, true);
	w.c.services[0].previous_needed = n;
	world_run(&w, 10000, 1400, 200);
	g_assert_cmpuint(w.c.services[0].needed, ==, n);
	g_assert_cmpuint(
	    world_count_ready(&w, CAPACITY_RECLAIMABLE), >=, n - 4);
	world_finish(&w);
}

/* Guards against a wrong fleet for a service with lasting servers only. */
static void
test_lasting_only(void)
{
	struct world w;

	world_init(&w, 20, 0);
	world_run(&w, 60000, 1400, 200);
	g_assert_cmpuint(world_count_ready(&w, CAPACITY_RECLAIMABLE), ==, 0);
	g_assert_cmpuint(
	    world_count_ready(&w, CAPACITY_LASTING), >=, 1400 / 24);
	world_run(&w, 120000, 200, 20);
	g_assert_cmpuint(world_count_ready(&w, CAPACITY_LASTING), <, 15);
	world_finish(&w);
}

/* Guards against impossible demand reports, which would order all servers. */
static void
test_wrong_demand(void)
{
	sp_msg msg = { .kind = SP_DEMAND };
	sp_demand *d = &msg.sp_msg_u.demand;
	struct world w;
	unsigned int n;

	world_init(&w, 20, RECLAIMABLE_PRICE);
	world_run(&w, 40000, 600, 100);
	n = w.c.services[0].needed;
	d->service = name_hash("another");
	capacity_receive(&w.c, w.now, 5, &msg);
	d->service = name_hash("model");
	capacity_receive(&w.c, w.now, 5, &msg);
	d->tokens = 1ULL << 60;
	capacity_receive(&w.c, w.now + 1000, 5, &msg);
	g_assert_cmpuint(w.c.counters.dropped, ==, 2);
	world_run(&w, 2000, 600, 100);
	g_assert_cmpuint(w.c.services[0].needed, <=, n + 1);
	world_finish(&w);
}

/*
 * Guards against too few servers for many seconds when two domains are taken
 * back, the second just after servers were ordered there.
 */
static void
test_two_domains_taken_back(void)
{
	struct world w;

	world_start_loaded(&w);
	world_take_back(&w, 1, 10000);
	world_run(&w, 800, LOSS_TOKENS_PER_MS, LOSS_RUNNING);
	world_take_back(&w, 2, 10000);
	world_run(&w, BOOT_MS + 500, LOSS_TOKENS_PER_MS, LOSS_RUNNING);
	g_assert_cmpuint(w.losses, ==, 2);
	g_assert_cmpuint(world_run(&w, 40000, LOSS_TOKENS_PER_MS, LOSS_RUNNING),
	    >=, LOSS_SERVED);
	g_assert_cmpuint(world_count_ready(&w, CAPACITY_LASTING), ==, DOMAINS);
	g_assert_cmpuint(world_count_all(&w), >=, LOSS_NEED);
	world_finish(&w);
}

/* Guards against more stand-ins than the load needs. */
static void
test_stand_ins_as_needed(void)
{
	struct world w;
	unsigned int before, i;

	world_start_loaded(&w);
	before = w.servers_changed;
	world_take_back(&w, 1, 10000);
	world_take_back(&w, 2, 10000);
	for (i = 0; i < 100; i++) {
		world_run(&w, STEP_MS, LOSS_TOKENS_PER_MS, LOSS_RUNNING);
		g_assert_cmpuint(
		    world_count_all(&w), <=, LOSS_SERVED + DOMAINS);
	}
	g_assert_cmpuint(w.servers_changed - before, <=, LOSS_SERVED);
	world_finish(&w);
}

/*
 * Guards against stand-ins that are removed at once when reclaimable servers
 * return, as these may be taken back again.
 */
static void
test_taken_back_again(void)
{
	struct world w;
	msec end;

	world_start_loaded(&w);
	world_take_back(&w, 1, 9000);
	world_take_back(&w, 2, 9000);
	for (end = w.now + 30000;
	     w.now < end && w.pools[1][CAPACITY_RECLAIMABLE].ready == 0;)
		world_step(&w, LOSS_TOKENS_PER_MS, LOSS_RUNNING);
	world_run(&w, BOOT_MS / 2, LOSS_TOKENS_PER_MS, LOSS_RUNNING);
	world_take_back(&w, 1, 10000);
	world_take_back(&w, 2, 10000);
	g_assert_cmpuint(world_run(&w, 20000, LOSS_TOKENS_PER_MS, LOSS_RUNNING),
	    >=, LOSS_SERVED);
	world_finish(&w);
}

/*
 * Guards against stand-ins that never come when their orders get no answer: an
 * order may be carried out 8 s late, over a newer one, and is then repeated.
 */
static void
test_loss_with_lost_answers(void)
{
	struct world w;

	world_start_loaded(&w);
	w.lost_percent = 60;
	world_take_back(&w, 1, 40000);
	world_take_back(&w, 2, 40000);
	world_run(&w, 10000, LOSS_TOKENS_PER_MS, LOSS_RUNNING);
	w.lost_percent = 0;
	world_run(
	    &w, 8000 + 2 * BOOT_MS + 2500, LOSS_TOKENS_PER_MS, LOSS_RUNNING);
	g_assert_cmpuint(world_run(&w, 10000, LOSS_TOKENS_PER_MS, LOSS_RUNNING),
	    >=, LOSS_SERVED);
	world_finish(&w);
}

/* Guards against servers that an order counts and that left before its answer.
 */
static void
test_answer_after_loss(void)
{
	struct world w;
	struct capacity_pool *p;

	world_start_loaded(&w);
	p = &w.c.services[0].domains[1].kinds[CAPACITY_RECLAIMABLE];
	world_take_back(&w, 1, 10000);
	world_take_back(&w, 2, 10000);
	world_step(&w, LOSS_TOKENS_PER_MS, LOSS_RUNNING);
	capacity_ordered(&w.c, w.now, name_hash("model"), 1,
	    CAPACITY_RECLAIMABLE, 39, CAPACITY_ACCEPTED);
	g_assert_false(p->is_ordered);
	while (w.now < p->avoided_until - STEP_MS) {
		world_step(&w, LOSS_TOKENS_PER_MS, LOSS_RUNNING);
		g_assert_cmpuint(p->target, ==, 0);
	}
	world_run(&w, 500, LOSS_TOKENS_PER_MS, LOSS_RUNNING);
	g_assert_cmpuint(world_count_all(&w), >=, LOSS_SERVED);
	world_finish(&w);
}

/*
 * Guards against a gap when the holder dies between the loss and its orders:
 * the next one knows neither the demand nor which domains were taken back.
 */
static void
test_new_holder_after_loss(void)
{
	struct world w;
	unsigned int n;

	world_start_loaded(&w);
	n = w.c.services[0].needed;
	world_take_back(&w, 1, 30000);
	world_take_back(&w, 2, 30000);
	capacity_set_holder(&w.c, w.now, true);
	w.c.services[0].previous_needed = n;
	world_run(&w, BOOT_MS + 500, LOSS_TOKENS_PER_MS, LOSS_RUNNING);
	g_assert_cmpuint(world_count_all(&w), >=, LOSS_SERVED);
	world_finish(&w);
}

/* Guards against a loss that is missed while the list is incomplete. */
static void
test_loss_unseen(void)
{
	struct world w;

	world_start_loaded(&w);
	w.servers_incomplete = true;
	world_take_back(&w, 1, 20000);
	world_take_back(&w, 2, 20000);
	world_run(&w, 3000, LOSS_TOKENS_PER_MS, LOSS_RUNNING);
	g_assert_cmpuint(w.losses, ==, 0);
	w.servers_incomplete = false;
	world_run(&w, BOOT_MS + 500, LOSS_TOKENS_PER_MS, LOSS_RUNNING);
	g_assert_cmpuint(w.losses, ==, 2);
	g_assert_cmpuint(world_count_all(&w), >=, LOSS_SERVED);
	world_finish(&w);
}

/* Guards against stand-ins for a peak that is over. */
static void
test_loss_after_peak(void)
{
	struct world w;

	world_init(&w, 20, RECLAIMABLE_PRICE);
	w.c.limits.stand_in_percent = LOSS_STAND_IN_PERCENT;
	world_run(&w, 14000, 0, 0);
	world_run(&w, 2000, 2 * LOSS_TOKENS_PER_MS, LOSS_RUNNING);
	world_run(&w, 10000, LOSS_TOKENS_PER_MS * 0.5, LOSS_RUNNING);
	world_take_back(&w, 2, 30000);
	world_run(&w, 10000, LOSS_TOKENS_PER_MS * 0.5, LOSS_RUNNING);
	g_assert_cmpuint(world_count_ready(&w, CAPACITY_LASTING), <=,
	    (unsigned int)DOMAINS * 2);
	g_assert_cmpuint(world_count_all(&w), >=, LOSS_NEED);
	world_finish(&w);
}

/* Guards against servers removed by our own orders that count as taken back. */
static void
test_own_reduction(void)
{
	struct world w;

	world_start_loaded(&w);
	w.lost_percent = 50;
	world_run(&w, 120000, 20, 2);
	g_assert_cmpuint(world_count_ready(&w, CAPACITY_RECLAIMABLE), <, 12);
	g_assert_cmpuint(w.losses, ==, 0);
	world_finish(&w);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/capacity/replace-lasting", test_replace_lasting);
	g_test_add_func("/capacity/known-one-by-one", test_known_one_by_one);
	g_test_add_func("/capacity/large-fleet", test_large_fleet);
	g_test_add_func("/capacity/new-holder-reads", test_new_holder_reads);
	g_test_add_func("/capacity/domain-taken-back", test_domain_taken_back);
	g_test_add_func("/capacity/none-left", test_none_left);
	g_test_add_func("/capacity/all-taken-back", test_all_taken_back);
	g_test_add_func("/capacity/lost-answers", test_lost_answers);
	g_test_add_func("/capacity/silence", test_silence);
	g_test_add_func("/capacity/rise", test_rise);
	g_test_add_func("/capacity/wave", test_wave);
	g_test_add_func("/capacity/new-holder", test_new_holder);
	g_test_add_func("/capacity/lasting-only", test_lasting_only);
	g_test_add_func("/capacity/wrong-demand", test_wrong_demand);
	g_test_add_func(
	    "/capacity/two-domains-taken-back", test_two_domains_taken_back);
	g_test_add_func(
	    "/capacity/stand-ins-as-needed", test_stand_ins_as_needed);
	g_test_add_func("/capacity/taken-back-again", test_taken_back_again);
	g_test_add_func(
	    "/capacity/loss-with-lost-answers", test_loss_with_lost_answers);
	g_test_add_func("/capacity/answer-after-loss", test_answer_after_loss);
	g_test_add_func(
	    "/capacity/new-holder-after-loss", test_new_holder_after_loss);
	g_test_add_func("/capacity/loss-unseen", test_loss_unseen);
	g_test_add_func("/capacity/loss-after-peak", test_loss_after_peak);
	g_test_add_func("/capacity/own-reduction", test_own_reduction);
	return g_test_run();
}
