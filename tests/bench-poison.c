/*
 * How often requests that end their servers are told from others, and what
 * that costs: servers that end, ordinary requests that are turned away. On
 * virtual time; a JSON line for each number of slots and of such requests.
 *
 *   bench-poison [SECONDS]
 */

#include "util-poison.h"

#include <stdio.h>
#include <stdlib.h>

#define NODES 6
#define BENCH_SERVERS 24
/* Between two copies of each. */
#define COPIES_MS 166
/* An ordinary request lasts for so long on average. */
#define LASTS_MS 800
#define SEEDS 3

/* What came of all seeds. */
struct sums {
	unsigned int served, wrongly, held, failed, ended, poisons, later;
};

static void
sums_add(struct sums *s, const struct world *w, unsigned int poisons)
{
	unsigned int i;

	s->served += w->served;
	s->wrongly += w->wrongly;
	s->held += w->held;
	s->failed += w->failed;
	for (i = 1; i <= poisons; i++) {
		s->poisons += w->poisons[i].ended > 0;
		s->ended += w->poisons[i].ended;
		s->later += w->poisons[i].later > LATER_MAX;
	}
}

int
main(int argc, char **argv)
{
	static const unsigned int slots[] = { 8, 64 };
	static const unsigned int poisons[] = { 0, 1, 5, 20, 50 };
	msec span = (argc > 1 ? atoi(argv[1]) : 20) * MSEC_SECOND;
	static struct world w;
	struct sums s;
	size_t i, k;
	uint32_t seed;

	for (i = 0; i < G_N_ELEMENTS(slots); i++) {
		for (k = 0; k < G_N_ELEMENTS(poisons); k++) {
			s = (struct sums){ 0 };
			for (seed = 1; seed <= SEEDS; seed++) {
				poison_world_init(
				    &w, NODES, BENCH_SERVERS, seed);
				/* Half of the slots are taken. */
				w.burst = (double)slots[i] * BENCH_SERVERS /
					  (2 * LASTS_MS);
				poison_world_run(
				    &w, span, 0, poisons[k], COPIES_MS);
				sums_add(&s, &w, poisons[k]);
				poison_world_finish(&w);
			}
			printf("{\"bench\":\"poison\",\"slots\":%u,"
			       "\"poisons\":%u,\"served\":%u,"
			       "\"condemned_wrongly\":%u,\"held\":%u,"
			       "\"failed\":%u,\"servers_ended_each\":%.2f,"
			       "\"sent_later\":%u}\n",
			    slots[i], poisons[k], s.served, s.wrongly, s.held,
			    s.failed,
			    s.poisons > 0 ? (double)s.ended / s.poisons : 0,
			    s.later);
			fflush(stdout);
		}
	}
	return 0;
}
