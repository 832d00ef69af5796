/*
 * Two homes of one ledger shard against the stand-in of the log service.
 */

#define LOG_PART "test"
#include "ledger.h"
#include "log-client.h"
#include "util-proc.h"

#include <poll.h>
#include <stdlib.h>
#include <string.h>

#define STREAM "ledger-0"
#define KEYS 150
#define HOMES 2
#define APPEND_TIMEOUT (3 * MSEC_SECOND)
#define RUN_TIME (20 * MSEC_SECOND)

struct rig_home {
	struct ledger_home home;
	struct ring events;
	struct log_io *io;
	unsigned int answers;
};

static unsigned int key_runs[KEYS];
static unsigned int key_judged[KEYS];

/* A request's number is its key's times HOMES, plus its home's. */
static void
home_answer(struct ledger_home *h, const struct ledger_claim *c,
    enum ledger_answer answer, enum ledger_verdict verdict,
    const struct ledger_claim *first)
{
	struct rig_home *r = h->data;

	r->answers++;
	if (answer != LEDGER_DECIDED)
		return;
	key_judged[c->request / HOMES]++;
	key_runs[c->request / HOMES] += verdict == LEDGER_FIRST;
}

static const struct ledger_home_ops home_ops = { home_answer };

static void
home_start(struct rig_home *r, const char *base)
{
	ledger_home_init(&r->home, &home_ops, r);
	g_assert_true(ring_init(&r->events, 64));
	r->io = log_io_start(base, &r->events, 100);
	log_io_follow(r->io, STREAM, 1);
}

static void
home_page(struct rig_home *r, const struct log_page *page)
{
	const struct log_entry *e;
	unsigned int i;

	for (i = 0; i < page->nentries; i++) {
		e = &page->entries[i];
		ledger_home_apply(
		    &r->home, e->offset, e->wall, e->data, e->len);
	}
}

static void
home_event(struct rig_home *r, struct log_event *e)
{
	switch (e->kind) {
	case LOG_EVENT_PAGE:
		home_page(r, &e->page);
		break;
	case LOG_EVENT_APPENDED:
		ledger_home_appended(&r->home, e->cookie, LEDGER_APPEND_DONE);
		break;
	case LOG_EVENT_APPEND_FAILED:
		ledger_home_appended(&r->home, e->cookie, LEDGER_APPEND_FAILED);
		break;
	case LOG_EVENT_APPEND_UNKNOWN:
		ledger_home_appended(
		    &r->home, e->cookie, LEDGER_APPEND_UNKNOWN);
		break;
	case LOG_EVENT_DOWN:
	case LOG_EVENT_UP:
		ledger_home_set_log_down(&r->home, e->kind == LOG_EVENT_DOWN);
		break;
	}
	log_event_free(e);
}

static void
home_run(struct rig_home *r)
{
	struct log_event *e;
	char id[LOG_ID_SIZE], *record;
	uint64_t batch;

	ring_clear_wake(&r->events);
	while ((e = ring_get(&r->events)) != NULL)
		home_event(r, e);
	record = ledger_home_tick(&r->home, msec_now(), id, &batch);
	if (record == NULL)
		return;
	if (!log_io_append(r->io, STREAM, record, id, APPEND_TIMEOUT, batch))
		ledger_home_appended(&r->home, batch, LEDGER_APPEND_FAILED);
	free(record);
}

static void
home_stop(struct rig_home *r)
{
	struct log_event *e;

	log_io_stop(r->io);
	while ((e = ring_get(&r->events)) != NULL)
		log_event_free(e);
	ring_finish(&r->events);
	ledger_home_finish(&r->home);
}

static void
claim_make(struct ledger_claim *c, unsigned int key, unsigned int home)
{
	char name[16];

	*c = (struct ledger_claim){ .organisation = 1,
		.body = key,
		.node = home + 1,
		.incarnation = 1,
		.request = key * HOMES + home };
	g_snprintf(name, sizeof name, "key-%u", key);
	ledger_key_hash(1, name, c->key);
}

static void
test_two_homes(void)
{
	/*
	 * A caller loses its answer and sends a booking again to another VM
	 * at the same moment. Two nodes take themselves for the home of its
	 * key, a third of the log's answers are lost, and the log goes away
	 * in between. Each key may be run by one of them at most.
	 */
	struct rig_home homes[HOMES] = { 0 };
	struct proc log;
	char *base;
	struct ledger_claim c;
	unsigned int key = 0, i, judged = 0, runs = 0;
	msec start, now;

	proc_start(&log, "logsvc");
	base = g_strdup_printf("http://127.0.0.1:%u", log.port);
	http_fault(log.port, "{\"lose_permille\": 333}");
	for (i = 0; i < HOMES; i++)
		home_start(&homes[i], base);
	start = msec_now();
	while ((now = msec_now()) < start + RUN_TIME &&
	       (homes[0].answers < KEYS || homes[1].answers < KEYS)) {
		for (; key < KEYS && key < (now - start) / 10; key++) {
			if (key == KEYS / 2)
				http_fault(log.port, "{\"outage\": true}");
			if (key == KEYS * 2 / 3)
				http_fault(log.port, "{\"outage\": false}");
			for (i = 0; i < HOMES; i++) {
				claim_make(&c, key, i);
				ledger_home_claim(&homes[i].home, now, &c);
			}
		}
		for (i = 0; i < HOMES; i++)
			home_run(&homes[i]);
		poll(NULL, 0, 2);
	}
	for (i = 0; i < HOMES; i++)
		home_stop(&homes[i]);
	proc_kill(&log);
	g_free(base);
	for (i = 0; i < KEYS; i++) {
		g_assert_cmpuint(key_runs[i], <=, 1);
		judged += key_judged[i] > 0;
		runs += key_runs[i];
	}
	g_assert_cmpuint(homes[0].answers, ==, KEYS);
	g_assert_cmpuint(homes[1].answers, ==, KEYS);
	g_test_message("%u of %u keys judged, %u run", judged, KEYS, runs);
	g_assert_cmpuint(judged, >, KEYS / 2);
	g_assert_cmpuint(runs, >, KEYS / 2);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* A log that is down is warned of, and is what is tested here. */
	g_log_set_always_fatal(G_LOG_FATAL_MASK);
	g_test_add_func("/ledger-home/two-homes", test_two_homes);
	return g_test_run();
}
