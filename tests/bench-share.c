/*
 * What shares of limits cost and reach, by the fleet's size: JSON lines. One
 * organisation asks for twice its limit on one node, on a few or on all; the
 * nodes agree on who takes work and hear each other after 2 ms.
 */

#include "share.h"

#include <malloc.h>
#include <stdlib.h>
#include <time.h>

#define STEP ((msec)10)
#define LIMIT 1000
#define SPAN (20 * MSEC_SECOND)

/* A message on its way: delivered in the next step. */
struct letter {
	name_id from, to;
	sp_msg msg;
};

static GArray *letters;
static uint64_t sent;

static void
op_send(struct shares *sh, name_id to, const sp_msg *msg)
{
	struct letter l = { *(name_id *)sh->arg, to, *msg };

	sent++;
	g_array_append_val(letters, l);
}

static bool
op_limits(struct shares *sh, name_id service, name_id organisation,
    struct doc_limits *limits)
{
	*limits = (struct doc_limits){ LIMIT, 0, 0 };
	return true;
}

static const struct share_ops ops = { op_send, op_limits };

static void
deliver(struct shares *sh, msec now)
{
	GArray *now_due = letters;
	struct letter *l;
	guint i;

	letters = g_array_new(FALSE, FALSE, sizeof(struct letter));
	for (i = 0; i < now_due->len; i++) {
		l = &g_array_index(now_due, struct letter, i);
		shares_receive(&sh[l->to - 1], now, l->from, &l->msg);
	}
	g_array_unref(now_due);
}

/* The organisation's callers use the first `used` of n nodes. */
static void
bench_reach(unsigned int n, unsigned int used)
{
	struct shares *sh = g_new0(struct shares, n);
	name_id *ids = g_new(name_id, n);
	uint64_t admitted = 0;
	unsigned int i, step;
	msec now = 0;
	size_t heap;

	letters = g_array_new(FALSE, FALSE, sizeof(struct letter));
	for (i = 0; i < n; i++)
		ids[i] = i + 1;
	heap = mallinfo2().uordblks;
	for (i = 0; i < n; i++) {
		shares_init(&sh[i], &ops, ids[i], i, now);
		sh[i].arg = &ids[i];
		shares_set_nodes(&sh[i], now, ids, n);
	}
	for (; now < SPAN + 15 * MSEC_SECOND; now += STEP) {
		if (now == 15 * MSEC_SECOND)
			sent = admitted = 0;
		deliver(sh, now);
		for (i = 0; i < n; i++)
			shares_tick(&sh[i], now);
		for (step = 0; step < 2 * LIMIT * STEP / 1000; step++) {
			i = (unsigned int)g_random_int_range(0, (gint32)used);
			admitted += shares_admit(&sh[i], now, 1, 2, 1);
		}
	}
	printf("{\"bench\":\"share-reach\",\"nodes\":%u,\"used\":%u,"
	       "\"admitted_permille_of_limit\":%.0f,"
	       "\"messages_per_used_node_per_s\":%.1f,"
	       "\"bytes_per_node\":%.0f}\n",
	    n, used, (double)admitted * 1e6 / (double)(LIMIT * SPAN),
	    (double)sent * 1000 / (double)(SPAN * used),
	    (double)(mallinfo2().uordblks - heap) / n);
	for (i = 0; i < n; i++)
		shares_finish(&sh[i]);
	g_array_unref(letters);
	g_free(ids);
	g_free(sh);
}

/* Heap of one organisation that is active on a node and has no loans. */
static void
bench_state(void)
{
	const unsigned int n = 1000;
	name_id self = 1;
	struct shares sh;
	unsigned int i;
	size_t heap;

	shares_init(&sh, &ops, self, 1, 0);
	sh.arg = &self;
	shares_set_nodes(&sh, 0, &self, 1);
	heap = mallinfo2().uordblks;
	for (i = 0; i < n; i++)
		shares_admit(&sh, 1, 1, i, 1);
	printf("{\"bench\":\"share-state\",\"bytes_per_organisation\":%zu}\n",
	    (mallinfo2().uordblks - heap) / n);
	shares_finish(&sh);
}

static void
bench_take(void)
{
	const unsigned int n = 2000000;
	name_id self = 1;
	struct timespec a, b;
	struct shares sh;
	unsigned int i;

	letters = g_array_new(FALSE, FALSE, sizeof(struct letter));
	shares_init(&sh, &ops, self, 1, 0);
	sh.arg = &self;
	shares_set_nodes(&sh, 0, &self, 1);
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &a);
	for (i = 0; i < n; i++)
		shares_admit(&sh, i / 100, 1, 2 + i % 10, 1);
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &b);
	printf("{\"bench\":\"share-take\",\"organisations\":10,"
	       "\"cpu_ns\":%.0f}\n",
	    ((double)(b.tv_sec - a.tv_sec) * 1e9 +
		(double)(b.tv_nsec - a.tv_nsec)) /
		n);
	shares_finish(&sh);
	g_array_unref(letters);
}

int
main(int argc, char **argv)
{
	static const unsigned int sizes[] = { 8, 32, 128, 350 };
	unsigned int i;

	g_random_set_seed(1);
	bench_take();
	bench_state();
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		bench_reach(sizes[i], 1);
		bench_reach(sizes[i], MIN(sizes[i], 10));
		bench_reach(sizes[i], sizes[i]);
	}
	return 0;
}
