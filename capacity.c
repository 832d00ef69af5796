/*
 * Autoscaling of servers; see capacity.h.
 */

#define LOG_PART "capacity"
#include "capacity.h"

#include <math.h>
#include <string.h>

/* Prompt tokens that a server processes per ms. */
#define CAPACITY_TOKENS_PER_MS 60.0
/*
 * Target part of the time that servers process prompts at the peak: streams on
 * a server miss their gap targets while it processes a prompt.
 */
#define CAPACITY_PREFILL_PERCENT 40.0
/*
 * Maximum part of the time for prompts; above it requests are late or refused,
 * so servers of any price are ordered.
 */
#define CAPACITY_PREFILL_MAX_PERCENT 90.0
/* Target number of streams per server at the peak. */
#define CAPACITY_STREAMS_PER_SERVER 16.0
/* Time after which a report is ignored; without any, no scaling down. */
#define CAPACITY_REPORT_TTL_MS 3000
/*
 * Time without new lasting servers after which a new holder's count is final.
 */
#define CAPACITY_SETTLE_MS 700
/* Steps down: interval, and part of the needed servers removed by each. */
#define CAPACITY_STEP_DOWN_MS 5000
#define CAPACITY_STEP_DOWN_PERCENT 20
/*
 * Lasting servers are replaced by reclaimable ones under load in steps:
 * interval, and the part of the lasting servers that each step replaces.
 */
#define CAPACITY_REPLACE_MS 2000
#define CAPACITY_REPLACE_PERCENT 25
/* Time after the boot time before missing servers are ordered again. */
#define CAPACITY_ORDER_TIMEOUT_MS 2500
/*
 * The reclaimable servers of a domain count as taken back if more than this
 * part of them stops being ready within this time, less those that recent
 * orders of ours may have removed.
 */
#define CAPACITY_LOSS_WINDOW_MS 2000
#define CAPACITY_LOSS_PERCENT 50
/* Time in which an order may still be carried out. */
#define CAPACITY_LATE_ORDER_MS 10000
/* Stand-ins are sized by the peak demand of the last so many seconds. */
#define CAPACITY_RECENT_S 6
/* Time without orders after none were available. */
#define CAPACITY_UNAVAILABLE_MS 2500
/* Minimum interval between orders of a kind in a domain. */
#define CAPACITY_ORDER_INTERVAL_MS 1000
/*
 * Limits on server changes, as every node must be notified of each, and all
 * nodes read the list again if that fails: notifications per second to all
 * nodes together, changes per second, and burst as a multiple of that rate.
 */
#define CAPACITY_NOTIFICATIONS_PER_S 2600.0
#define CAPACITY_CHANGES_PER_S 40.0
#define CAPACITY_CHANGES_BURST 1.5
/* Tokens per ms above which a report is implausible. */
#define CAPACITY_RATE_MAX 1e6

const struct capacity_limits capacity_defaults = { 5, 100, 0, 0 };

struct capacity_report {
	msec at;
	uint64_t tokens, urgent;
	double rate, urgent_rate; /* tokens per ms */
	unsigned int running;
};

void
capacity_init(struct capacity *c, const struct capacity_ops *ops)
{
	*c = (struct capacity){ .ops = ops, .limits = capacity_defaults };
}

static void
service_finish(struct capacity_service *s)
{
	g_hash_table_unref(s->reports);
}

void
capacity_finish(struct capacity *c)
{
	unsigned int i;

	for (i = 0; i < c->nservices; i++)
		service_finish(&c->services[i]);
	g_free(c->services);
	c->services = NULL;
	c->nservices = 0;
}

static struct capacity_service *
capacity_find(struct capacity *c, name_id id)
{
	unsigned int i;

	for (i = 0; i < c->nservices; i++) {
		if (c->services[i].id == id)
			return &c->services[i];
	}
	return NULL;
}

static bool
config_same_domains(
    const struct capacity_config *a, const struct capacity_config *b)
{
	unsigned int i;

	if (a->ndomains != b->ndomains)
		return false;
	for (i = 0; i < a->ndomains; i++) {
		if (strcmp(a->domains[i].name, b->domains[i].name) != 0)
			return false;
	}
	return true;
}

void
capacity_set_config(
    struct capacity *c, const struct capacity_config *config, unsigned int n)
{
	struct capacity_service *all, *old;
	unsigned int i;

	n = MIN(n, CAPACITY_SERVICES_MAX);
	all = g_new0(struct capacity_service, n);
	for (i = 0; i < n; i++) {
		old = capacity_find(c, name_hash(config[i].name));
		if (old != NULL &&
		    config_same_domains(&old->config, &config[i])) {
			all[i] = *old;
			g_hash_table_ref(all[i].reports);
		} else {
			all[i].id = name_hash(config[i].name);
			all[i].reports = g_hash_table_new_full(
			    g_int64_hash, g_int64_equal, g_free, g_free);
		}
		all[i].config = config[i];
	}
	capacity_finish(c);
	c->services = all;
	c->nservices = n;
}

void
capacity_set_holder(struct capacity *c, msec now, bool is_holder)
{
	unsigned int i, j, k;

	c->is_holder = is_holder;
	c->since = now;
	for (i = 0; i < c->nservices; i++) {
		struct capacity_service *s = &c->services[i];

		for (j = 0; j < CAPACITY_DOMAINS_MAX; j++) {
			for (k = 0; k < CAPACITY_KINDS; k++)
				s->domains[j].kinds[k] =
				    (struct capacity_pool){ 0 };
		}
		g_hash_table_remove_all(s->reports);
		memset(s->peaks, 0, sizeof s->peaks);
		memset(s->urgent_peaks, 0, sizeof s->urgent_peaks);
		memset(s->busy_peaks, 0, sizeof s->busy_peaks);
		s->first_request_at = s->reported_at = 0;
		s->found_total = s->found_lasting = s->found_reclaimable = 0;
		s->previous_needed = 0;
		s->stand_ins = 0;
		s->stand_in_until = 0;
	}
}

void
capacity_clear_ready(struct capacity *c, bool complete)
{
	unsigned int i, j, k;

	c->ready_complete = complete;
	for (i = 0; i < c->nservices; i++) {
		for (j = 0; j < CAPACITY_DOMAINS_MAX; j++) {
			for (k = 0; k < CAPACITY_KINDS; k++)
				c->services[i].domains[j].kinds[k].ready = 0;
		}
	}
}

void
capacity_add_ready(struct capacity *c, name_id service, const char *domain,
    enum capacity_kind kind)
{
	struct capacity_service *s = capacity_find(c, service);
	unsigned int i;

	if (s == NULL)
		return;
	for (i = 0; i < s->config.ndomains; i++) {
		if (strcmp(s->config.domains[i].name, domain) == 0)
			s->domains[i].kinds[kind].ready++;
	}
}

/* ---- demand ---- */

void
capacity_receive(struct capacity *c, msec now, name_id from, const sp_msg *msg)
{
	const sp_demand *m = &msg->sp_msg_u.demand;
	struct capacity_service *s = capacity_find(c, m->service);
	struct capacity_report *r;
	double span, rate = 0, urgent = 0;

	if (s == NULL) {
		c->counters.dropped++;
		return;
	}
	r = g_hash_table_lookup(s->reports, &from);
	if (r == NULL) {
		r = g_new0(struct capacity_report, 1);
		g_hash_table_insert(
		    s->reports, g_memdup2(&from, sizeof from), r);
	} else if (now > r->at && m->tokens >= r->tokens &&
		   m->urgent_tokens >= r->urgent) {
		span = (double)(now - r->at);
		rate = (double)(m->tokens - r->tokens) / span;
		urgent = (double)(m->urgent_tokens - r->urgent) / span;
	}
	if (rate > CAPACITY_RATE_MAX || urgent > rate) {
		log_info("ignored implausible demand of %.0f tokens/ms for %s",
		    rate, s->config.name);
		c->counters.dropped++;
		rate = urgent = 0;
	}
	*r = (struct capacity_report){ now, m->tokens, m->urgent_tokens, rate,
		urgent, m->running };
	s->reported_at = now;
	if (s->first_request_at == 0 && m->requests > 0)
		s->first_request_at = now;
}

/* Sums the recent reports of all coordinators. */
static void
service_sum_reports(struct capacity_service *s, msec now, double *rate,
    double *urgent, double *running)
{
	GHashTableIter i;
	gpointer value;

	*rate = *urgent = *running = 0;
	g_hash_table_iter_init(&i, s->reports);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		const struct capacity_report *r = value;

		if (now - r->at > CAPACITY_REPORT_TTL_MS)
			continue;
		*rate += r->rate;
		*urgent += r->urgent_rate;
		*running += r->running;
	}
}

static double
peak_value(const double *seconds)
{
	double maximum = 0;
	unsigned int i;

	for (i = 0; i < CAPACITY_PEAK_S; i++)
		maximum = MAX(maximum, seconds[i]);
	return maximum;
}

/* Peak of the last CAPACITY_RECENT_S seconds; the newest is `second`. */
static double
peak_recent(const double *seconds, msec second)
{
	double maximum = 0;
	unsigned int i;

	for (i = 0; i < CAPACITY_RECENT_S; i++)
		maximum = MAX(maximum,
		    seconds[(second + CAPACITY_PEAK_S - i) % CAPACITY_PEAK_S]);
	return maximum;
}

/* Records the current demand and updates the peaks. */
static void
service_record_demand(struct capacity_service *s, msec now)
{
	msec second = now / MSEC_SECOND;
	double rate, urgent, running;
	unsigned int at;

	for (; s->second < second; s->second++) {
		if (second - s->second > CAPACITY_PEAK_S)
			s->second = second - CAPACITY_PEAK_S;
		at = (unsigned int)((s->second + 1) % CAPACITY_PEAK_S);
		s->peaks[at] = s->urgent_peaks[at] = s->busy_peaks[at] = 0;
	}
	service_sum_reports(s, now, &rate, &urgent, &running);
	at = (unsigned int)(second % CAPACITY_PEAK_S);
	s->peaks[at] = MAX(s->peaks[at], rate);
	s->urgent_peaks[at] = MAX(s->urgent_peaks[at], urgent);
	s->busy_peaks[at] = MAX(s->busy_peaks[at], running);
	s->tokens_per_ms = peak_value(s->peaks);
	s->running = peak_value(s->busy_peaks);
}

/* ---- decisions ---- */

static unsigned int
service_ready(const struct capacity_service *s, enum capacity_kind kind)
{
	unsigned int i, n = 0;

	for (i = 0; i < s->config.ndomains; i++)
		n += s->domains[i].kinds[kind].ready;
	return n;
}

/* Servers that are ready or expected from an accepted order. */
static unsigned int
pool_expected(
    const struct capacity_service *s, const struct capacity_pool *p, msec now)
{
	if (now < p->avoided_until)
		return p->ready;
	if (p->pending)
		return MAX(p->sent, p->ready);
	if (p->is_ordered && now >= p->refused_until &&
	    now - p->ordered_at < s->config.boot + CAPACITY_ORDER_TIMEOUT_MS)
		return MAX(p->ordered, p->ready);
	return p->ready;
}

static unsigned int
service_expected(
    const struct capacity_service *s, msec now, enum capacity_kind kind)
{
	unsigned int i, n = 0;

	for (i = 0; i < s->config.ndomains; i++)
		n += pool_expected(s, &s->domains[i].kinds[kind], now);
	return n;
}

/*
 * Servers that were ready at `watched_at` and are not now, less those that
 * recent orders may have removed.
 */
static unsigned int
pool_lost(const struct capacity_pool *p, msec now)
{
	unsigned int kept = p->watched;

	if (now < p->reduced_until)
		kept = MIN(kept, p->reduced_to);
	return kept - MIN(kept, p->ready);
}

static void
pool_watch(struct capacity_pool *p, msec now)
{
	if (p->ready > p->watched ||
	    now - p->watched_at >= CAPACITY_LOSS_WINDOW_MS) {
		p->watched = p->ready;
		p->watched_at = now;
	}
}

/*
 * Servers that were taken back are not replaced by the platform, even if an
 * order for them was accepted just before: the order no longer counts.
 */
static void
pool_avoid(struct capacity_pool *p, msec now, msec span)
{
	p->is_ordered = false;
	p->avoided_until = now + span;
	p->watched = p->ready;
	p->watched_at = now;
}

static void
service_detect_loss(struct capacity *c, struct capacity_service *s, msec now)
{
	struct capacity_pool *p;
	unsigned int i, lost;
	bool known;

	for (i = 0; i < s->config.ndomains; i++) {
		p = &s->domains[i].kinds[CAPACITY_RECLAIMABLE];
		lost = pool_lost(p, now);
		if (lost * 100 > p->watched * CAPACITY_LOSS_PERCENT) {
			known = now < p->avoided_until;
			pool_avoid(p, now, s->config.boot);
			c->counters.lost += lost;
			c->counters.losses += !known;
			if (!known)
				c->ops->taken_back(c, s, i, lost);
		}
		pool_watch(p, now);
	}
}

/* Factor on the servers needed that makes up for the loss of one domain. */
static double
service_domain_loss_factor(const struct capacity_service *s)
{
	return s->config.ndomains > 1
		   ? (double)s->config.ndomains / (s->config.ndomains - 1)
		   : 1.0;
}

/*
 * Servers needed to process prompts at this rate, if each spends this
 * percentage of its time on prompts.
 */
static double
servers_for_rate(double tokens_per_ms, double percent)
{
	return tokens_per_ms / (CAPACITY_TOKENS_PER_MS * percent / 100);
}

static unsigned int
service_lasting_min(const struct capacity *c, const struct capacity_service *s)
{
	double urgent = servers_for_rate(
	    peak_value(s->urgent_peaks), CAPACITY_PREFILL_PERCENT);
	double part = s->needed * c->limits.lasting_percent / 100.0;

	if (s->config.reclaimable_price <= 0)
		return s->needed;
	return MAX((unsigned int)ceil(MAX(urgent, part)),
	    s->config.minimum * s->config.ndomains);
}

/* Servers for a demand in tokens per ms and in running requests. */
static unsigned int
servers_for_demand(const struct capacity *c, const struct capacity_service *s,
    double tokens_per_ms, double running)
{
	double reading =
	    servers_for_rate(tokens_per_ms, CAPACITY_PREFILL_PERCENT);
	double streams = running / CAPACITY_STREAMS_PER_SERVER;
	double n =
	    MAX(reading, streams) * (100 + c->limits.spare_percent) / 100;

	return MAX(
	    (unsigned int)ceil(n), s->config.minimum * s->config.ndomains);
}

static unsigned int
service_needed(const struct capacity *c, const struct capacity_service *s)
{
	return servers_for_demand(c, s, s->tokens_per_ms, s->running);
}

/*
 * Servers without which requests are refused after a loss: a part of those for
 * the recent demand with the usual reserve, as the prompts that lost servers
 * kept are read again. While no demand is known, a part of what was needed.
 */
static unsigned int
service_stand_in_need(
    const struct capacity *c, const struct capacity_service *s)
{
	double rate = peak_recent(s->peaks, s->second);
	double running = peak_recent(s->busy_peaks, s->second);
	double n = servers_for_demand(c, s, rate, running) *
		   service_domain_loss_factor(s);

	if (rate <= 0 || n > s->needed)
		n = s->needed;
	return (unsigned int)ceil(n * c->limits.stand_in_percent / 100);
}

/* Minimum servers for the load, of the expensive kind if necessary. */
static unsigned int
service_min_for_load(const struct capacity_service *s)
{
	unsigned int n = (unsigned int)ceil(
	    servers_for_rate(s->tokens_per_ms, CAPACITY_PREFILL_MAX_PERCENT));

	return MIN(n, s->needed);
}

static bool
pool_lacks(const struct capacity_pool *p, msec now)
{
	return now < p->avoided_until || now < p->refused_until;
}

/* True if some domain gets no new reclaimable servers now. */
static bool
service_lacks_reclaimable(const struct capacity_service *s, msec now)
{
	unsigned int i;

	for (i = 0; i < s->config.ndomains; i++) {
		if (pool_lacks(&s->domains[i].kinds[CAPACITY_RECLAIMABLE], now))
			return true;
	}
	return false;
}

/* Servers that are ready, expected or to be ordered now. */
static unsigned int
pool_planned(
    const struct capacity_service *s, const struct capacity_pool *p, msec now)
{
	return MAX(pool_expected(s, p, now), p->target);
}

static unsigned int
service_reclaimable_planned(const struct capacity_service *s, msec now)
{
	unsigned int i, n = 0;

	for (i = 0; i < s->config.ndomains; i++)
		n += pool_planned(
		    s, &s->domains[i].kinds[CAPACITY_RECLAIMABLE], now);
	return n;
}

/*
 * Lasting servers that stand in for reclaimable ones that were taken back or
 * refused. They stay for a boot time after the others have returned, as these
 * may be taken back again.
 */
static unsigned int
service_stand_ins(
    const struct capacity *c, struct capacity_service *s, msec now)
{
	unsigned int need = service_stand_in_need(c, s);
	unsigned int others = service_ready(s, CAPACITY_RECLAIMABLE);
	unsigned int coming = service_reclaimable_planned(s, now);
	unsigned int have = service_expected(s, now, CAPACITY_LASTING);
	unsigned int missing = need - MIN(need, others), n = 0;

	if (service_lacks_reclaimable(s, now))
		n = need - MIN(need, coming);
	if (n > 0 || (now < s->stand_in_until && missing > 0))
		s->stand_in_until = now + s->config.boot;
	s->stand_ins =
	    now < s->stand_in_until ? MIN(need, MAX(n, s->stand_ins)) : 0;
	/* Orders may be lost: what is still missing is ordered again. */
	return MIN(s->stand_ins, MAX(have, missing));
}

/*
 * Determines the servers present when this node became duty holder: the number
 * that the previous holder recorded, or the servers that this node finds. The
 * servers of a fleet that has just started become known one by one.
 */
static void
service_determine_found(struct capacity_service *s, msec now)
{
	unsigned int lasting = service_ready(s, CAPACITY_LASTING);

	if (s->found_total == 0)
		s->found_reclaimable =
		    (unsigned int)(service_ready(s, CAPACITY_RECLAIMABLE) /
				   service_domain_loss_factor(s));
	if (lasting > s->found_lasting) {
		s->found_lasting = lasting;
		s->found_at = now;
	}
	s->found_total = s->previous_needed != 0
			     ? s->previous_needed
			     : s->found_reclaimable + s->found_lasting;
}

/*
 * The servers that a new duty holder found have carried the load, so it plans
 * no fewer until it knows the peak demand.
 */
static void
service_decide_needed(
    const struct capacity *c, struct capacity_service *s, msec now)
{
	unsigned int needed = service_needed(c, s);
	bool known =
	    s->first_request_at != 0 &&
	    now - s->first_request_at >= CAPACITY_PEAK_S * MSEC_SECOND &&
	    now - s->reported_at < CAPACITY_REPORT_TTL_MS;

	if (!known)
		needed = MAX(MAX(needed, s->found_total), s->needed);
	/* Scale up at once, down in small steps. */
	if (needed >= s->needed) {
		s->needed = needed;
		s->next_down = now + CAPACITY_STEP_DOWN_MS;
	} else if (now >= s->next_down) {
		s->needed = MAX(needed,
		    s->needed -
			MAX(s->needed * CAPACITY_STEP_DOWN_PERCENT / 100, 1));
		s->next_down = now + CAPACITY_STEP_DOWN_MS;
	}
}

/*
 * Distributes a number of servers evenly over the domains, each up to its
 * capacity, with the remainder in the first. A domain where none are available
 * gets no new ones.
 */
static void
service_distribute_reclaimable(
    struct capacity_service *s, msec now, unsigned int total)
{
	unsigned int room[CAPACITY_DOMAINS_MAX], i, n, each, left = total;
	enum capacity_kind kind = CAPACITY_RECLAIMABLE;
	struct capacity_pool *p, *other;
	bool full = false;

	for (i = 0; i < s->config.ndomains; i++) {
		p = &s->domains[i].kinds[kind];
		other = &s->domains[i].kinds[CAPACITY_LASTING];
		p->target = 0;
		room[i] =
		    s->config.maximum -
		    MIN(s->config.maximum, MAX(other->target, other->ready));
		if (pool_lacks(p, now))
			room[i] = MIN(room[i], p->ready);
	}
	while (left > 0 && !full) {
		for (i = n = 0; i < s->config.ndomains; i++)
			n += room[i] > s->domains[i].kinds[kind].target;
		full = n == 0;
		each = n > 0 ? MAX(left / n, 1) : 0;
		for (i = 0; i < s->config.ndomains && left > 0; i++) {
			p = &s->domains[i].kinds[kind];
			n = MIN(
			    MIN(each, left), room[i] - MIN(room[i], p->target));
			p->target += n;
			left -= n;
		}
	}
	for (i = 0; i < s->config.ndomains; i++) {
		p = &s->domains[i].kinds[kind];
		/* While there are too few or just back, none are removed. */
		if (service_ready(s, kind) < total || now < s->stand_in_until)
			p->target = MAX(
			    p->target, MIN(pool_expected(s, p, now), room[i]));
	}
}

/* True if the domain's limit leaves a server to order beside those planned. */
static bool
domain_has_room(const struct capacity_service *s, msec now, unsigned int domain)
{
	const struct capacity_pool *pools = s->domains[domain].kinds;

	return pools[CAPACITY_LASTING].target +
		   pool_planned(s, &pools[CAPACITY_RECLAIMABLE], now) <
	       s->config.maximum;
}

/*
 * The domain in which to add or remove a server: the one with the fewest or
 * most; of equals, the cheapest or most expensive. A server is added only where
 * there is room, unless it may displace a reclaimable one.
 */
static struct capacity_pool *
lasting_choose_domain(
    struct capacity_service *s, msec now, bool more, bool displace)
{
	struct capacity_pool *p, *best = NULL;
	double price = 0, other;
	unsigned int i;

	for (i = 0; i < s->config.ndomains; i++) {
		p = &s->domains[i].kinds[CAPACITY_LASTING];
		other = s->config.domains[i].price;
		if (more ? p->target >= s->config.maximum
			 : p->target <= s->config.minimum)
			continue;
		if (more && !displace && !domain_has_room(s, now, i))
			continue;
		if (best != NULL && p->target != best->target &&
		    (p->target < best->target) != more)
			continue;
		if (best != NULL && p->target == best->target &&
		    (other < price) != more)
			continue;
		best = p;
		price = other;
	}
	return best;
}

/*
 * Distributes lasting servers, starting from those that are ready. The minimum
 * of them goes before reclaimable ones.
 */
static void
service_distribute_lasting(struct capacity_service *s, msec now,
    unsigned int total, unsigned int minimum)
{
	struct capacity_pool *p;
	unsigned int i, n = 0;
	bool more;

	for (i = 0; i < s->config.ndomains; i++) {
		p = &s->domains[i].kinds[CAPACITY_LASTING];
		p->target = p->ready;
		n += p->target;
	}
	while (n != total) {
		more = n < total;
		p = lasting_choose_domain(s, now, more, n < minimum);
		if (p == NULL)
			break;
		p->target += more ? 1 : -1U;
		n += more ? 1 : -1U;
	}
}

/*
 * Number of lasting servers. They are removed once reclaimable ones are ready,
 * gradually under load. New ones are ordered for the most urgent requests, if
 * the load could not be served otherwise, and in place of reclaimable ones that
 * were taken back.
 */
static unsigned int
service_lasting_target(struct capacity *c, struct capacity_service *s, msec now)
{
	unsigned int minimum = service_lasting_min(c, s);
	unsigned int essential = service_min_for_load(s);
	unsigned int others = service_ready(s, CAPACITY_RECLAIMABLE);
	unsigned int coming = service_expected(s, now, CAPACITY_RECLAIMABLE);
	unsigned int have = service_ready(s, CAPACITY_LASTING), n, step;

	n = MAX(minimum, essential - MIN(essential, coming));
	n = MAX(n, service_stand_ins(c, s, now));
	n = MAX(n, MIN(have, s->needed - MIN(s->needed, others)));
	if (n >= have)
		return n;
	if (now - s->found_at < CAPACITY_SETTLE_MS)
		return have;
	if (s->running <= 0)
		return n;
	step = MAX(have * CAPACITY_REPLACE_PERCENT / 100, 1);
	if (now < s->next_replace)
		return MAX(n, MIN(have, s->lasting));
	s->next_replace = now + CAPACITY_REPLACE_MS;
	return MAX(n, have - step);
}

static void
service_order_pool(struct capacity *c, struct capacity_service *s, msec now,
    unsigned int domain, enum capacity_kind kind)
{
	struct capacity_pool *p = &s->domains[domain].kinds[kind];
	msec late = s->config.boot + CAPACITY_ORDER_TIMEOUT_MS;
	bool repeat = p->is_ordered && p->target == p->ordered;
	unsigned int base = p->is_ordered ? p->ordered : p->ready;
	unsigned int change = MAX(base, p->target) - MIN(base, p->target);
	unsigned int count;

	if (p->pending || now - p->ordered_at < CAPACITY_ORDER_INTERVAL_MS ||
	    now < p->refused_until)
		return;
	if (p->target == p->ready && (!p->is_ordered || repeat))
		return;
	if (repeat && now - p->ordered_at < late)
		return;
	change = MIN(change, (unsigned int)c->change_allowance);
	count = p->target > base ? base + change : base - change;
	if (count != p->target && change == 0)
		return;
	c->change_allowance -= change;
	if (count < p->ready) {
		p->reduced_to =
		    now < p->reduced_until ? MIN(p->reduced_to, count) : count;
		p->reduced_until = now + CAPACITY_LATE_ORDER_MS;
	}
	p->sent = count;
	p->sent_change = change;
	p->pending = true;
	p->ordered_at = now;
	c->counters.orders++;
	c->counters.repeats += repeat;
	c->ops->order(c, s, domain, kind, count);
}

void
capacity_ordered(struct capacity *c, msec now, name_id service,
    unsigned int domain, enum capacity_kind kind, unsigned int count,
    enum capacity_result how)
{
	struct capacity_service *s = capacity_find(c, service);
	struct capacity_pool *p;

	if (s == NULL || domain >= s->config.ndomains)
		return;
	p = &s->domains[domain].kinds[kind];
	p->pending = false;
	switch (how) {
	case CAPACITY_ACCEPTED:
		/* One sent before its domain was taken back no longer counts,
		 * unless it reduces. */
		p->is_ordered = now >= p->avoided_until || count <= p->ready;
		p->ordered = count;
		c->counters.taken++;
		break;
	case CAPACITY_UNAVAILABLE:
		p->is_ordered = false;
		p->refused_until = now + CAPACITY_UNAVAILABLE_MS;
		c->change_allowance += p->sent_change;
		c->counters.refused++;
		break;
	case CAPACITY_NO_ANSWER:
		/* It may still be carried out: the target is ordered again. */
		p->is_ordered = false;
		c->counters.unanswered++;
		break;
	}
}

static void
service_tick(struct capacity *c, struct capacity_service *s, msec now)
{
	unsigned int i, reclaimable, maximum;

	service_record_demand(s, now);
	service_detect_loss(c, s, now);
	service_determine_found(s, now);
	if (s->found_total == 0)
		return;
	service_decide_needed(c, s, now);
	reclaimable = (unsigned int)ceil(
	    (s->needed - MIN(s->needed, service_lasting_min(c, s))) *
	    service_domain_loss_factor(s));
	maximum =
	    (unsigned int)(reclaimable * c->limits.reclaimable_percent / 100);
	if (s->config.reclaimable_price <= 0)
		maximum = 0;
	reclaimable = MIN(reclaimable, maximum);
	/*
	 * Stand-ins make up for what reclaimable servers cannot give, so those
	 * are distributed first; and again after, as lasting ones use up a
	 * domain's limit.
	 */
	service_distribute_reclaimable(s, now, reclaimable);
	s->lasting = service_lasting_target(c, s, now);
	service_distribute_lasting(
	    s, now, s->lasting, service_lasting_min(c, s));
	service_distribute_reclaimable(s, now, reclaimable);
	for (i = 0; i < s->config.ndomains; i++) {
		service_order_pool(c, s, now, i, CAPACITY_LASTING);
		service_order_pool(c, s, now, i, CAPACITY_RECLAIMABLE);
	}
}

void
capacity_tick(struct capacity *c, msec now)
{
	unsigned int i;
	double rate;

	/*
	 * A holder that has just started reads the servers one by one. An order
	 * based on an incomplete count could remove hundreds of servers.
	 */
	if (!c->is_holder || !c->ready_complete)
		return;
	rate = MIN(CAPACITY_NOTIFICATIONS_PER_S / MAX(c->nodes, 1),
	    CAPACITY_CHANGES_PER_S);
	c->change_allowance += (double)(now - c->ticked) * rate / MSEC_SECOND;
	c->change_allowance =
	    MIN(c->change_allowance, MAX(rate * CAPACITY_CHANGES_BURST, 1));
	c->ticked = now;
	for (i = 0; i < c->nservices; i++)
		service_tick(c, &c->services[i], now);
}
