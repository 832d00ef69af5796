/*
 * What the folds cost: time a record, bytes a document and a claim, and what
 * batching saves. Prints one JSON object a line.
 */

#define LOG_PART "bench"
#include "doc-fold.h"
#include "ledger.h"
#include "log-record.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define BODY                                             \
	"\nkind: plain\nclasses: [{name: c, tier: 0}]\n" \
	"organisations: [{name: o, key_sha256: "         \
	"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855}]\n"

static double
cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static size_t
heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

static char *
document_make(const char *service, size_t size)
{
	GString *s = g_string_new("service: ");

	g_string_append(s, service);
	g_string_append(s, BODY);
	while (s->len + 64 < size)
		g_string_append(s,
		    "# A line of comment, as operators write them all over.\n");
	return g_string_free(s, FALSE);
}

static void
bench_documents(unsigned int services, size_t size)
{
	struct doc_fold f;
	char id[LOG_ID_SIZE], name[NAME_SIZE], **records;
	char *text;
	size_t before, after, wire = 0;
	double t0, t1;
	unsigned int i;

	records = g_new0(char *, services);
	for (i = 0; i < services; i++) {
		g_snprintf(name, sizeof name, "service-%u", i);
		log_id_make(id);
		text = document_make(name, size);
		records[i] = doc_edit_encode(name, 0, "operator", text, id);
		wire += strlen(records[i]);
		g_free(text);
	}
	before = heap_bytes();
	doc_fold_init(&f);
	t0 = cpu_us();
	for (i = 0; i < services; i++)
		doc_fold_apply(&f, i + 1, 0, records[i], strlen(records[i]));
	t1 = cpu_us();
	after = heap_bytes();
	g_assert_cmpuint(f.counts[DOC_ACCEPTED], ==, services);
	printf("{\"bench\":\"doc-fold\",\"services\":%u,\"text_bytes\":%zu,"
	       "\"record_bytes\":%zu,\"us_per_record\":%.1f,"
	       "\"state_bytes_per_document\":%zu}\n",
	    services, size, wire / services, (t1 - t0) / services,
	    (after - before) / services);
	doc_fold_finish(&f);
	for (i = 0; i < services; i++)
		free(records[i]);
	g_free(records);
}

static void
claim_fill(struct ledger_claim *c, unsigned int i)
{
	char key[32];

	*c = (struct ledger_claim){ .organisation = 1,
		.body = i,
		.node = i % 350,
		.incarnation = 1,
		.request = i };
	g_snprintf(key, sizeof key, "key-%u", i);
	ledger_key_hash(1, key, c->key);
}

static void
bench_claims(unsigned int claims, unsigned int batch)
{
	struct ledger_fold f;
	struct ledger_claim *list = g_new0(struct ledger_claim, batch);
	char id[LOG_ID_SIZE], **records;
	unsigned int nrecords = claims / batch, i, j;
	size_t before, after, wire = 0;
	double t0, t1, t2;

	records = g_new0(char *, nrecords);
	t0 = cpu_us();
	for (i = 0; i < nrecords; i++) {
		for (j = 0; j < batch; j++)
			claim_fill(&list[j], i * batch + j);
		log_id_make(id);
		records[i] = ledger_batch_encode(list, batch, id);
		wire += strlen(records[i]);
	}
	before = heap_bytes();
	ledger_fold_init(&f);
	t1 = cpu_us();
	for (i = 0; i < nrecords; i++)
		ledger_fold_apply(
		    &f, i + 1, 1000, records[i], strlen(records[i]));
	t2 = cpu_us();
	after = heap_bytes();
	g_assert_cmpuint(f.count, ==, nrecords * batch);
	printf("{\"bench\":\"ledger-fold\",\"claims\":%u,\"batch\":%u,"
	       "\"record_bytes_per_claim\":%zu,\"encode_us_per_claim\":%.2f,"
	       "\"fold_us_per_claim\":%.2f,\"state_bytes_per_claim\":%zu}\n",
	    f.count, batch, wire / f.count, (t1 - t0) / f.count,
	    (t2 - t1) / f.count, (after - before) / f.count);
	ledger_fold_finish(&f);
	for (i = 0; i < nrecords; i++)
		free(records[i]);
	g_free(records);
	g_free(list);
}

static void
home_answer(struct ledger_home *h, const struct ledger_claim *c,
    enum ledger_answer answer, enum ledger_verdict verdict,
    const struct ledger_claim *first)
{
	g_assert_cmpint(answer, ==, LEDGER_DECIDED);
	g_assert_cmpint(verdict, ==, LEDGER_FIRST);
}

static const struct ledger_home_ops home_ops = { home_answer };

/* Claims come in evenly for ten seconds; how many appends does that take? */
static void
bench_home(unsigned int per_second)
{
	struct ledger_home h;
	struct ledger_claim c;
	char id[LOG_ID_SIZE], *record;
	unsigned int claims = 0, appends = 0;
	uint64_t batch;
	double t0 = cpu_us(), t1;
	msec now;

	ledger_home_init(&h, &home_ops, NULL);
	for (now = 0; now < 10 * MSEC_SECOND; now++) {
		while (claims < per_second * (double)now / 1000) {
			claim_fill(&c, claims++);
			ledger_home_claim(&h, now, &c);
		}
		record = ledger_home_tick(&h, now, id, &batch);
		if (record == NULL)
			continue;
		appends++;
		ledger_home_appended(&h, batch, LEDGER_APPEND_DONE);
		ledger_home_apply(
		    &h, appends, 1000 + now, record, strlen(record));
		free(record);
	}
	t1 = cpu_us();
	printf("{\"bench\":\"ledger-home\",\"claims_per_second\":%u,"
	       "\"appends_per_second\":%.1f,\"claims_per_append\":%.1f,"
	       "\"us_per_claim\":%.2f}\n",
	    per_second, appends / 10.0, (double)claims / appends,
	    (t1 - t0) / claims);
	ledger_home_finish(&h);
}

int
main(void)
{
	log_open("warning", false);
	bench_documents(1, 2 * 1024);
	bench_documents(10, 2 * 1024);
	bench_documents(100, 2 * 1024);
	bench_documents(10, 32 * 1024);
	bench_documents(10, 250 * 1024);
	bench_claims(20000, 1);
	bench_claims(20000, 10);
	bench_claims(20000, 100);
	bench_claims(100000, 100);
	bench_home(10);
	bench_home(100);
	bench_home(1000);
	bench_home(10000);
	return 0;
}
