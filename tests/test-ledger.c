/*
 * The ledger: claims, homes (the nodes that append the claims of a shard) and
 * the records read back, with an append log in memory.
 */

#define LOG_PART "test"
#include "ledger.h"

#include <stdlib.h>
#include <string.h>

#define RECORDS_MAX 4000
#define HOMES 3
#define REQUESTS_MAX 400
#define KEYS 12
#define SEEDS 60

/* The log: records that have landed, and appends still pending. */
struct fake_log {
	char *records[RECORDS_MAX];
	msec walls[RECORDS_MAX];
	unsigned int n;
	char *in_flight[64];
	unsigned int nin_flight;
};

enum request_state {
	REQUEST_WAITING,
	REQUEST_RAN,
	REQUEST_GIVEN_UP, /* its caller got "not run" or "unknown" */
};

struct request {
	struct ledger_claim claim;
	unsigned int key;
	enum request_state state;
	unsigned int answers, ours, undecided, not_appended;
	enum ledger_verdict verdict;
};

struct world {
	struct fake_log log;
	struct ledger_home homes[HOMES];
	struct request requests[REQUESTS_MAX];
	unsigned int nrequests;
	unsigned int runs[KEYS];
	msec now;
};

/* The entry node: runs the request on OURS unless it has given up. */
static void
world_answer(struct ledger_home *h, const struct ledger_claim *c,
    enum ledger_answer answer, enum ledger_verdict verdict,
    const struct ledger_claim *first)
{
	struct world *w = h->data;
	struct request *r = &w->requests[c->request];

	r->answers++;
	r->undecided += answer == LEDGER_UNDECIDED;
	r->not_appended += answer == LEDGER_NOT_APPENDED;
	if (answer != LEDGER_DECIDED)
		return;
	r->verdict = verdict;
	r->ours += verdict == LEDGER_FIRST;
	if (verdict != LEDGER_FIRST || r->state != REQUEST_WAITING)
		return;
	r->state = REQUEST_RAN;
	w->runs[r->key]++;
}

static const struct ledger_home_ops world_ops = { world_answer };

static void
world_init(struct world *w)
{
	unsigned int i;

	memset(w, 0, sizeof *w);
	w->now = 1000;
	for (i = 0; i < HOMES; i++)
		ledger_home_init(&w->homes[i], &world_ops, w);
}

static void
world_finish(struct world *w)
{
	unsigned int i;

	for (i = 0; i < HOMES; i++)
		ledger_home_finish(&w->homes[i]);
	for (i = 0; i < w->log.n; i++)
		free(w->log.records[i]);
	for (i = 0; i < w->log.nin_flight; i++)
		free(w->log.in_flight[i]);
}

static struct request *
request_new(struct world *w, unsigned int key)
{
	struct request *r = &w->requests[w->nrequests];
	char name[16];

	g_snprintf(name, sizeof name, "key-%u", key);
	r->key = key;
	r->claim.organisation = name_hash("seyra");
	ledger_key_hash(r->claim.organisation, name, r->claim.key);
	r->claim.body = key;
	r->claim.node = w->nrequests % 3 + 1;
	r->claim.incarnation = 1;
	r->claim.request = w->nrequests++;
	return r;
}

static void
log_append(struct world *w, char *record)
{
	g_assert_cmpuint(w->log.n, <, RECORDS_MAX);
	w->log.walls[w->log.n] = w->now;
	w->log.records[w->log.n++] = record;
}

static void
home_read(struct world *w, struct ledger_home *h, uint64_t to)
{
	uint64_t offset;

	while ((offset = h->fold.next) <= MIN(to, w->log.n))
		ledger_home_apply(h, offset, w->log.walls[offset - 1],
		    w->log.records[offset - 1],
		    strlen(w->log.records[offset - 1]));
}

/* Lets the homes append what is due, and read all records. */
static void
home_round(struct world *w, struct ledger_home *h)
{
	char id[LOG_ID_SIZE], *record;
	uint64_t batch;

	w->now += LEDGER_BATCH_WAIT;
	record = ledger_home_tick(h, w->now, id, &batch);
	if (record != NULL) {
		log_append(w, record);
		ledger_home_appended(h, batch, LEDGER_APPEND_DONE);
	}
	home_read(w, h, UINT64_MAX);
}

static void
test_first(void)
{
	struct world w;
	struct request *a, *b, *c;

	world_init(&w);
	a = request_new(&w, 1);
	b = request_new(&w, 1);
	c = request_new(&w, 1);
	c->claim.body = 99;
	ledger_home_claim(&w.homes[0], w.now, &a->claim);
	ledger_home_claim(&w.homes[0], w.now, &b->claim);
	ledger_home_claim(&w.homes[0], w.now, &c->claim);
	ledger_home_claim(&w.homes[0], w.now, &a->claim);
	home_round(&w, &w.homes[0]);
	g_assert_cmpuint(w.log.n, ==, 1);
	g_assert_cmpint(a->verdict, ==, LEDGER_FIRST);
	g_assert_cmpint(b->verdict, ==, LEDGER_NOT_FIRST);
	g_assert_cmpint(c->verdict, ==, LEDGER_OTHER_BODY);
	g_assert_cmpuint(a->answers, ==, 1);
	/* A claim of a taken key appends no record. */
	ledger_home_claim(&w.homes[0], w.now, &b->claim);
	g_assert_cmpuint(b->answers, ==, 2);
	g_assert_cmpuint(w.homes[0].npending, ==, 0);
	world_finish(&w);
}

static void
test_lost_answer(void)
{
	/*
	 * The log appends a batch, its answer is lost and the request times
	 * out. The caller gets that result and tries again with the same key.
	 * If the second request ran because the first "failed", a booking would
	 * be made twice when the first entry node has read its claim back.
	 */
	struct world w;
	struct request *a, *b;
	char id[LOG_ID_SIZE], *record;
	uint64_t batch;

	world_init(&w);
	a = request_new(&w, 1);
	b = request_new(&w, 1);
	ledger_home_claim(&w.homes[0], w.now, &a->claim);
	w.now += LEDGER_BATCH_WAIT;
	record = ledger_home_tick(&w.homes[0], w.now, id, &batch);
	g_assert_nonnull(record);
	ledger_home_appended(&w.homes[0], batch, LEDGER_APPEND_UNKNOWN);
	g_assert_cmpuint(a->answers, ==, 0);
	w.now += LEDGER_CLAIM_TIMEOUT;
	g_assert_null(ledger_home_tick(&w.homes[0], w.now, id, &batch));
	g_assert_cmpuint(a->undecided, ==, 1);
	log_append(&w, record);
	ledger_home_claim(&w.homes[1], w.now, &b->claim);
	home_round(&w, &w.homes[1]);
	g_assert_cmpint(b->verdict, ==, LEDGER_NOT_FIRST);
	g_assert_cmpuint(w.runs[1], ==, 0);
	world_finish(&w);
}

static void
test_abandon(void)
{
	/*
	 * The entry node gives a request up, answers "not run" and withdraws
	 * the claim; then the delayed claim lands. The caller's next try with
	 * the key must run and not be blocked for half an hour.
	 */
	struct world w;
	struct request *a, *b;
	struct ledger_claim end;
	char id[LOG_ID_SIZE], *delayed;
	uint64_t batch;

	world_init(&w);
	a = request_new(&w, 1);
	b = request_new(&w, 1);
	ledger_home_claim(&w.homes[0], w.now, &a->claim);
	w.now += LEDGER_BATCH_WAIT;
	delayed = ledger_home_tick(&w.homes[0], w.now, id, &batch);
	a->state = REQUEST_GIVEN_UP;
	end = a->claim;
	end.status = LEDGER_WITHDRAWN;
	ledger_home_claim(&w.homes[0], w.now, &end);
	home_round(&w, &w.homes[0]);
	log_append(&w, delayed);
	ledger_home_claim(&w.homes[0], w.now, &b->claim);
	home_round(&w, &w.homes[0]);
	g_assert_cmpuint(a->ours, ==, 0);
	g_assert_cmpint(b->verdict, ==, LEDGER_FIRST);
	g_assert_cmpuint(w.runs[1], ==, 1);
	world_finish(&w);
}

static void
test_ended(void)
{
	/*
	 * A retry gets the outcome of the first request; no outcome is ever
	 * changed.
	 */
	struct world w;
	struct request *a;
	struct ledger_claim end, *first;

	world_init(&w);
	a = request_new(&w, 1);
	ledger_home_claim(&w.homes[0], w.now, &a->claim);
	home_round(&w, &w.homes[0]);
	end = a->claim;
	end.status = 200;
	ledger_home_claim(&w.homes[0], w.now, &end);
	home_round(&w, &w.homes[0]);
	end.status = LEDGER_WITHDRAWN;
	ledger_home_claim(&w.homes[0], w.now, &end);
	home_round(&w, &w.homes[0]);
	first = ledger_fold_find(
	    &w.homes[0].fold, a->claim.organisation, a->claim.key);
	g_assert_nonnull(first);
	g_assert_cmpuint(first->status, ==, 200);
	world_finish(&w);
}

static void
test_blind(void)
{
	/*
	 * A VM becomes the home of a shard whose older records were dropped by
	 * retention early. A key claimed in one of them looks free, and running
	 * it would be a second run. For the length of a window no claim gets
	 * OURS.
	 */
	struct world w;
	struct request *a, *b;
	struct ledger_home *h;

	world_init(&w);
	h = &w.homes[1];
	a = request_new(&w, 1);
	b = request_new(&w, 2);
	ledger_fold_gap(&h->fold, 5, w.now);
	w.log.n = 0;
	while (w.log.n < 4)
		log_append(&w, strdup("{}"));
	ledger_home_claim(h, w.now, &a->claim);
	home_round(&w, h);
	g_assert_cmpint(a->verdict, ==, LEDGER_UNDECIDABLE);
	w.now += LEDGER_WINDOW + 1;
	ledger_home_claim(h, w.now, &b->claim);
	home_round(&w, h);
	g_assert_cmpint(b->verdict, ==, LEDGER_FIRST);
	g_assert_cmpuint(h->fold.count, ==, 1);
	world_finish(&w);
}

static void
test_down(void)
{
	/*
	 * The log is down. A claim that no append has carried is answered at
	 * once, as certainly not run; one that an append carried stays
	 * undecided.
	 */
	struct world w;
	struct request *a, *b, *c;
	char id[LOG_ID_SIZE], *record;
	uint64_t batch;

	world_init(&w);
	a = request_new(&w, 1);
	b = request_new(&w, 2);
	c = request_new(&w, 3);
	ledger_home_claim(&w.homes[0], w.now, &a->claim);
	w.now += LEDGER_BATCH_WAIT;
	record = ledger_home_tick(&w.homes[0], w.now, id, &batch);
	ledger_home_claim(&w.homes[0], w.now, &b->claim);
	ledger_home_set_log_down(&w.homes[0], true);
	g_assert_cmpuint(b->not_appended, ==, 1);
	ledger_home_claim(&w.homes[0], w.now, &c->claim);
	g_assert_cmpuint(c->not_appended, ==, 1);
	g_assert_cmpuint(a->answers, ==, 0);
	ledger_home_appended(&w.homes[0], batch, LEDGER_APPEND_FAILED);
	g_assert_cmpuint(a->not_appended, ==, 1);
	free(record);
	world_finish(&w);
}

static void
test_malformed(void)
{
	static const char *records[] = { "", "{}", "[]",
		"{\"format\":1,\"kind\":\"ledger-batch\",\"claims\":[]}",
		"{\"format\":1,\"kind\":\"ledger-batch\",\"claims\":[[]]}",
		("{\"format\":1,\"kind\":\"ledger-batch\",\"claims\":[[\"1\","
		 "\"2\",\"3\",\"4\",\"5\",6,7]]}") };
	struct ledger_fold f;
	unsigned int i;

	ledger_fold_init(&f);
	for (i = 0; i < G_N_ELEMENTS(records); i++)
		ledger_fold_apply(&f, i + 1, 0, records[i], strlen(records[i]));
	g_assert_cmpuint(f.skipped, ==, i);
	g_assert_cmpuint(f.count, ==, 0);
	ledger_fold_finish(&f);
}

/* Performs one random step. */
static void
world_step(struct world *w, GRand *rand)
{
	struct ledger_home *h = &w->homes[g_rand_int_range(rand, 0, HOMES)];
	struct request *r;
	struct ledger_claim end;
	char id[LOG_ID_SIZE], *record;
	uint64_t batch;
	unsigned int i;

	w->now += g_rand_int_range(rand, 0, 50);
	switch (g_rand_int_range(rand, 0, 9)) {
	case 0: /* a new request, to one home or to two */
		if (w->nrequests == REQUESTS_MAX)
			return;
		r = request_new(
		    w, (unsigned int)g_rand_int_range(rand, 0, KEYS));
		ledger_home_claim(h, w->now, &r->claim);
		if (g_rand_boolean(rand))
			ledger_home_claim(
			    &w->homes[g_rand_int_range(rand, 0, HOMES)], w->now,
			    &r->claim);
		return;
	case 1: /* the entry node gives up and may withdraw its claim */
		if (w->nrequests == 0)
			return;
		r = &w->requests[g_rand_int_range(
		    rand, 0, (gint32)w->nrequests)];
		if (r->state != REQUEST_WAITING)
			return;
		r->state = REQUEST_GIVEN_UP;
		end = r->claim;
		end.status = LEDGER_WITHDRAWN;
		if (g_rand_boolean(rand))
			ledger_home_claim(h, w->now, &end);
		return;
	case 2:
	case 3:
	case 4: /* a batch: lands, lands twice, fails, or stays pending */
		record = ledger_home_tick(h, w->now, id, &batch);
		if (record == NULL)
			return;
		i = (unsigned int)g_rand_int_range(rand, 0, 5);
		if (i == 0) {
			free(record);
			ledger_home_appended(h, batch, LEDGER_APPEND_FAILED);
		} else if (i == 1 && w->log.nin_flight < 64) {
			w->log.in_flight[w->log.nin_flight++] = record;
			ledger_home_appended(h, batch, LEDGER_APPEND_UNKNOWN);
		} else {
			if (i == 2)
				log_append(w, strdup(record));
			log_append(w, record);
			ledger_home_appended(h, batch, LEDGER_APPEND_DONE);
		}
		return;
	case 5: /* a delayed batch lands */
		if (w->log.nin_flight > 0)
			log_append(w, w->log.in_flight[--w->log.nin_flight]);
		return;
	case 6: /* a home is replaced and reads from the start */
		if (g_rand_int_range(rand, 0, 20) != 0)
			return;
		ledger_home_finish(h);
		ledger_home_init(h, &world_ops, w);
		return;
	default:
		home_read(w, h,
		    h->fold.next + (uint64_t)g_rand_int_range(rand, 0, 5));
	}
}

static void
test_property(void)
{
	/*
	 * Many entry nodes, three nodes that each act as the home, lost
	 * answers, appends that land late or twice, requests given up and
	 * claims withdrawn. A key that ran twice would be a booking made twice.
	 */
	struct world *w = g_new0(struct world, 1);
	unsigned int seed, i, ran = 0, free_again = 0;
	GRand *rand;

	for (seed = 0; seed < SEEDS; seed++) {
		rand = g_rand_new_with_seed(seed);
		world_init(w);
		for (i = 0; i < 4000; i++)
			world_step(w, rand);
		for (i = 0; i < KEYS; i++) {
			g_assert_cmpuint(w->runs[i], <=, 1);
			ran += w->runs[i];
		}
		for (i = 0; i < w->nrequests; i++)
			free_again += w->requests[i].verdict == LEDGER_FIRST &&
				      w->requests[i].state == REQUEST_GIVEN_UP;
		world_finish(w);
		g_rand_free(rand);
	}
	g_test_message("%u keys ran, %u came too late", ran, free_again);
	g_assert_cmpuint(ran, >, SEEDS * KEYS / 2);
	g_free(w);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ledger/first", test_first);
	g_test_add_func("/ledger/lost-answer", test_lost_answer);
	g_test_add_func("/ledger/abandon", test_abandon);
	g_test_add_func("/ledger/ended", test_ended);
	g_test_add_func("/ledger/blind", test_blind);
	g_test_add_func("/ledger/down", test_down);
	g_test_add_func("/ledger/malformed", test_malformed);
	g_test_add_func("/ledger/property", test_property);
	return g_test_run();
}
