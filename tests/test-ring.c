/*
 * The ring buffer between threads: each item put arrives once, in each sender's
 * order, and putting into a full ring reports an error.
 */

#include "ring.h"

#include <pthread.h>

#define SENDERS 4
#define PARCELS_PER_SENDER 20000

struct parcel {
	unsigned int sender;
	unsigned int number;
};

struct sender {
	struct ring *ring;
	unsigned int number;
	struct parcel parcels[PARCELS_PER_SENDER];
};

static void *
sender_run(void *arg)
{
	struct sender *s = arg;
	unsigned int i;

	for (i = 0; i < PARCELS_PER_SENDER; i++) {
		s->parcels[i] = (struct parcel){ s->number, i };
		while (!ring_put(s->ring, &s->parcels[i]))
			g_thread_yield();
	}
	return NULL;
}

static void
test_many_senders(void)
{
	static struct sender senders[SENDERS];
	pthread_t threads[SENDERS];
	unsigned int next[SENDERS] = { 0 }, got = 0, i;
	struct parcel *p;
	struct ring r;

	g_assert_true(ring_init(&r, 1024));
	for (i = 0; i < SENDERS; i++) {
		senders[i].ring = &r;
		senders[i].number = i;
		pthread_create(&threads[i], NULL, sender_run, &senders[i]);
	}
	while (got < SENDERS * PARCELS_PER_SENDER) {
		if ((p = ring_get(&r)) == NULL) {
			g_thread_yield();
			continue;
		}
		g_assert_cmpuint(p->number, ==, next[p->sender]);
		next[p->sender]++;
		got++;
	}
	g_assert_null(ring_get(&r));
	for (i = 0; i < SENDERS; i++)
		pthread_join(threads[i], NULL);
	ring_finish(&r);
}

static void
test_full(void)
{
	struct ring r;
	int one = 1;
	unsigned int n = 0;

	g_assert_true(ring_init(&r, 8));
	while (n < 100 && ring_put(&r, &one))
		n++;
	g_assert_cmpuint(n, ==, 7);
	g_assert_true(ring_get(&r) == &one);
	g_assert_true(ring_put(&r, &one));
	ring_finish(&r);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ring/many-senders", test_many_senders);
	g_test_add_func("/ring/full", test_full);
	return g_test_run();
}
