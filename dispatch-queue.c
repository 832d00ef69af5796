/*
 * The queue of one engine: strict priority by tier except for a minimum (floor)
 * share of each class; within a class, weighted fair queueing between
 * organisations; within an organisation, earliest start limit first.
 */

#define LOG_PART "dispatch"
#include "dispatch-private.h"

#include <math.h>

/* Maximum floor credit of a class, in requests. */
#define FLOOR_CREDIT_MAX 3
/* Time constant in ms by which granted cost decays. */
#define GRANT_DECAY_MS 10000.0
/* Minimum part of an engine's rate that a class is expected to get, permille.
 */
#define RATE_MIN_PERMILLE 20
/* Grants to requests on time before one to a late request. */
#define LATE_INTERVAL 4
/* Maximum debt of a class that got more than its floor, in requests. */
#define FLOOR_DEBT_MAX 4

static int queue_compare(struct reservation *, struct reservation *);
static struct org_queue *
class_org(struct class_queue *, struct service *, name_id);
static struct reservation *org_first_on_time(struct org_queue *, msec);
static bool reservation_is_late(const struct reservation *, msec);
static struct reservation *class_head(struct class_queue *, msec);
static double class_granted(const struct class_queue *, msec);
static bool
reservation_precedes(const struct reservation *, const struct reservation *);

RB_PROTOTYPE(queue_tree, reservation, queue_entry, queue_compare)
RB_GENERATE(queue_tree, reservation, queue_entry, queue_compare)

static int
queue_compare(struct reservation *a, struct reservation *b)
{
	if (a->latest_start != b->latest_start)
		return a->latest_start < b->latest_start ? -1 : 1;
	if (a->seq != b->seq)
		return a->seq < b->seq ? -1 : 1;
	return 0;
}

void
queue_init(struct queue *q)
{
	unsigned int i;

	memset(q, 0, sizeof *q);
	for (i = 0; i < DOCUMENT_CLASSES_MAX; i++)
		TAILQ_INIT(&q->classes[i].orgs);
}

static struct org_queue *
class_org(struct class_queue *cq, struct service *s, name_id id)
{
	struct org_queue *oq;

	TAILQ_FOREACH (oq, &cq->orgs, entry) {
		if (oq->id == id)
			return oq;
	}
	oq = g_new0(struct org_queue, 1);
	oq->id = id;
	oq->weight = service_weight(s, id);
	/* Starts at the current virtual time: no credit for idle time. */
	oq->virtual_time = cq->virtual_time;
	RB_INIT(&oq->tree);
	TAILQ_INSERT_TAIL(&cq->orgs, oq, entry);
	return oq;
}

void
queue_insert(struct queue *q, struct service *s, struct reservation *res)
{
	struct class_queue *cq = &q->classes[res->class_index];

	/* A class with nothing queued keeps no credit. */
	if (cq->count == 0)
		cq->floor_credit = MIN(0, cq->floor_credit);
	cq->tier = res->tier;
	cq->is_protected = res->is_protected;
	cq->cost = MAX(res->cost, cq->cost * 0.9);
	cq->floor_permille = service_class(s, res->class_index)->floor_permille;
	res->seq = ++q->seq;
	res->org = class_org(cq, s, res->organisation);
	RB_INSERT(queue_tree, &res->org->tree, res);
	res->org->count++;
	cq->count++;
	q->count++;
}

void
queue_remove(struct queue *q, struct reservation *res)
{
	struct class_queue *cq = &q->classes[res->class_index];
	struct org_queue *oq = res->org;

	RB_REMOVE(queue_tree, &oq->tree, res);
	res->org = NULL;
	cq->count--;
	q->count--;
	if (--oq->count > 0)
		return;
	TAILQ_REMOVE(&cq->orgs, oq, entry);
	g_free(oq);
}

/* The first reservation that can still start in time, or NULL. */
static struct reservation *
org_first_on_time(struct org_queue *oq, msec now)
{
	struct reservation key = { .latest_start = now };

	return RB_NFIND(queue_tree, &oq->tree, &key);
}

static bool
reservation_is_late(const struct reservation *res, msec now)
{
	return res->latest_start < now;
}

/*
 * Requests that can still start in time go before late ones: by start limit
 * alone, late requests would go first in a burst and delay the others until all
 * miss their targets. A late one goes after LATE_INTERVAL others, so that it
 * runs.
 */
static struct reservation *
class_head(struct class_queue *cq, msec now)
{
	struct org_queue *oq, *best = NULL, *late = NULL;

	TAILQ_FOREACH (oq, &cq->orgs, entry) {
		if (org_first_on_time(oq, now) != NULL &&
		    (best == NULL || oq->virtual_time < best->virtual_time))
			best = oq;
		if (reservation_is_late(RB_MIN(queue_tree, &oq->tree), now) &&
		    (late == NULL || oq->virtual_time < late->virtual_time))
			late = oq;
	}
	if (late != NULL &&
	    (best == NULL || cq->grants_since_late >= LATE_INTERVAL))
		return RB_MIN(queue_tree, &late->tree);
	return best == NULL ? NULL : org_first_on_time(best, now);
}

static bool
reservation_precedes(const struct reservation *a, const struct reservation *b)
{
	if (a->tier != b->tier)
		return a->tier < b->tier;
	return a->latest_start < b->latest_start;
}

struct reservation *
queue_head(struct queue *q, unsigned int class_index, msec now)
{
	return class_head(&q->classes[class_index], now);
}

struct reservation *
queue_next(struct queue *q, const bool skip[DOCUMENT_CLASSES_MAX], msec now)
{
	struct reservation *res, *best = NULL, *owed = NULL;
	struct class_queue *cq;
	double most = 0;
	unsigned int i;

	for (i = 0; i < DOCUMENT_CLASSES_MAX; i++) {
		cq = &q->classes[i];
		if (cq->count == 0 || skip[i])
			continue;
		res = class_head(cq, now);
		if (cq->floor_credit >= res->cost && cq->floor_credit > most) {
			most = cq->floor_credit;
			owed = res;
		}
		if (best == NULL || reservation_precedes(res, best))
			best = res;
	}
	return owed != NULL ? owed : best;
}

/*
 * Every grant credits each waiting class with its floor share of the cost. A
 * class with credit for its next request goes first in any tier, so that higher
 * tiers that fill the engine do not starve it.
 */
void
queue_grant(struct queue *q, struct reservation *res, msec now)
{
	struct class_queue *cq;
	struct org_queue *oq = res->org;
	double cost = res->cost;
	unsigned int i;

	for (i = 0; i < DOCUMENT_CLASSES_MAX; i++) {
		cq = &q->classes[i];
		if (cq->count == 0 || cq->floor_permille == 0)
			continue;
		cq->floor_credit += cost * cq->floor_permille / 1000;
		cq->floor_credit =
		    MIN(cq->floor_credit, FLOOR_CREDIT_MAX * cq->cost);
	}
	cq = &q->classes[res->class_index];
	cq->floor_credit =
	    MAX(cq->floor_credit - cost, -FLOOR_DEBT_MAX * cq->cost);
	cq->granted = class_granted(cq, now) + cost;
	cq->granted_at = now;
	cq->grants_since_late =
	    reservation_is_late(res, now) ? 0 : cq->grants_since_late + 1;
	cq->virtual_time = oq->virtual_time;
	oq->virtual_time += cost / oq->weight;
	queue_remove(q, res);
}

struct reservation *
queue_victim(struct queue *q, unsigned int tier)
{
	struct class_queue *cq, *worst = NULL;
	struct org_queue *oq, *most = NULL;
	struct reservation *res;
	unsigned int i;

	for (i = 0; i < DOCUMENT_CLASSES_MAX; i++) {
		cq = &q->classes[i];
		if (cq->count == 0 || cq->tier <= tier)
			continue;
		if (cq->is_protected)
			continue;
		if (worst == NULL || cq->tier > worst->tier)
			worst = cq;
	}
	if (worst == NULL)
		return NULL;
	TAILQ_FOREACH (oq, &worst->orgs, entry) {
		if (most == NULL || (uint64_t)oq->count * most->weight >
					(uint64_t)most->count * oq->weight)
			most = oq;
	}
	res = RB_MAX(queue_tree, &most->tree);
	return res->exempt ? NULL : res;
}

static double
class_granted(const struct class_queue *cq, msec now)
{
	return cq->granted *
	       exp(-(double)(now - cq->granted_at) / GRANT_DECAY_MS);
}

/* Subtracts what higher tiers have used recently, down to the floor share. */
double
queue_class_rate(struct queue *q, struct service *s,
    const struct reservation *res, double rate, msec now)
{
	const struct class *c = service_class(s, res->class_index);
	double left = rate;
	unsigned int i;

	for (i = 0; i < DOCUMENT_CLASSES_MAX; i++) {
		if (q->classes[i].tier < res->tier)
			left -=
			    class_granted(&q->classes[i], now) / GRANT_DECAY_MS;
	}
	return MAX(
	    left, rate * MAX(c->floor_permille, RATE_MIN_PERMILLE) / 1000);
}

double
queue_cost_ahead(struct queue *q, const struct reservation *res)
{
	struct class_queue *cq;
	struct org_queue *oq;
	struct reservation *other;
	unsigned int mine = res->org != NULL ? res->org->count : 1;
	double sum = 0;
	unsigned int i;

	for (i = 0; i < DOCUMENT_CLASSES_MAX; i++) {
		cq = &q->classes[i];
		if (cq->count == 0 || cq->tier > res->tier)
			continue;
		TAILQ_FOREACH (oq, &cq->orgs, entry) {
			other = RB_MIN(queue_tree, &oq->tree);
			if (cq->tier == res->tier &&
			    oq->id != res->organisation)
				sum +=
				    MIN(oq->count, mine) * (double)other->cost;
			else
				sum += oq->count * (double)other->cost;
		}
	}
	return sum;
}
