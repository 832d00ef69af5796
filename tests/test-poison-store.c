/*
 * Requests, and parts of prompts, that end servers, after all nodes ended at
 * one moment: what the platform's store keeps, in virtual time.
 */

#include "util-poison.h"

#include <inttypes.h>

#define NODES 6
#define SOUND_EVERY_MS 16
/* So seldom come requests that end servers. */
#define DEADLY_EVERY_MS 4000
#define HEARD_MS 100
/* The nodes are away for so long. */
#define DOWN_MS 500
/* Requests that end servers beside parts, and how long, in a large fleet. */
#define POISONS 4
#define LARGE_MS 8000
/* Headers of a call, and what all control traffic of a node may take. */
#define CALL_BYTES 300
#define CONTROL_BYTES_PER_S 17000
#define HOUR_MS (60 * 60 * MSEC_SECOND)

static GHashTable *
store_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
world_begin(struct world *w, uint32_t seed)
{
	poison_world_init(w, NODES, 12, seed);
	w->has_parts = true;
	w->store = store_new();
	poison_world_run(w, 4000, SOUND_EVERY_MS, 0, 1);
	w->part_every = DEADLY_EVERY_MS;
}

/* The last end has just been heard of. */
static void
nodes_kill_all(struct world *w)
{
	unsigned int i;

	poison_world_run(w, HEARD_MS, 0, 0, 1);
	for (i = 0; i < w->n; i++)
		poison_node_kill(w, i);
	w->now += DOWN_MS;
}

static void
nodes_start_all(struct world *w)
{
	unsigned int i;

	for (i = 0; i < w->n; i++)
		poison_node_start(w, i);
	poison_nodes_push(w);
	for (i = 0; i < w->n; i++)
		poison_node_load(w, i);
}

/* Guards against a part that ends six more servers after a start of all. */
static void
test_part(void)
{
	struct world w;
	uint32_t seed;

	for (seed = 1; seed <= 5; seed++) {
		world_begin(&w, seed);
		w.parts_n = 1;
		while (w.parts[1].ended < POISON_PART_ENDS)
			poison_world_run(&w, 10, SOUND_EVERY_MS, 0, 1);
		nodes_kill_all(&w);
		nodes_start_all(&w);
		poison_world_run(&w, 40000, SOUND_EVERY_MS, 0, 1);
		g_test_message(
		    "%u ended, %u later", w.parts[1].ended, w.parts[1].later);
		g_assert_cmpuint(w.parts[1].later, <=, LATER_MAX);
		g_assert_cmpuint(w.parts[1].ended, ==, POISON_PART_ENDS);
		g_assert_cmpuint(w.refused, ==, 0);
		poison_world_finish(&w);
	}
}

/* The same of a request that always is the same. */
static void
test_request(void)
{
	struct world w;
	uint32_t seed;

	for (seed = 1; seed <= 5; seed++) {
		world_begin(&w, seed);
		while (w.poisons[1].ended < POISON_ENDS)
			poison_world_run(
			    &w, 10, SOUND_EVERY_MS, 1, DEADLY_EVERY_MS);
		nodes_kill_all(&w);
		nodes_start_all(&w);
		poison_world_run(&w, 40000, SOUND_EVERY_MS, 1, DEADLY_EVERY_MS);
		g_assert_cmpuint(w.poisons[1].ended, ==, POISON_ENDS);
		g_assert_cmpuint(w.poisons[1].later, ==, 0);
		g_assert_cmpuint(w.wrongly, ==, 0);
		poison_world_finish(&w);
	}
}

/* Guards against a count that begins anew while it is not complete. */
static void
test_before_verdict(void)
{
	struct world w;

	world_begin(&w, 1);
	w.parts_n = 1;
	while (w.parts[1].ended < POISON_PART_PERMIT_ENDS)
		poison_world_run(&w, 10, SOUND_EVERY_MS, 0, 1);
	nodes_kill_all(&w);
	nodes_start_all(&w);
	poison_world_run(&w, 40000, SOUND_EVERY_MS, 0, 1);
	g_assert_cmpuint(w.parts[1].ended, ==, POISON_PART_ENDS);
	poison_world_finish(&w);
}

static struct poison_parts
parts_one(uint64_t name)
{
	return poison_test_parts(&name, 1);
}

static void
part_ends(struct world *w, struct node *v, uint64_t name, unsigned int n)
{
	struct poison_parts parts = parts_one(name);

	for (; n > 0; n--) {
		poison_parts_ended(&v->core, w->now, &parts, ++w->lives, w->now,
		    SUSPECT_PARTS);
		poison_world_run(w, 1000, 0, 0, 1);
	}
}

/* Guards against a part that was cleared and is refused after a start of all.
 */
static void
test_cleared(void)
{
	struct poison_parts parts = parts_one(7);
	struct world w;

	world_begin(&w, 1);
	part_ends(&w, &w.nodes[0], 7, POISON_PART_ENDS);
	g_assert_cmpuint(g_hash_table_size(w.store), ==, 1);
	poison_parts_answered(&w.nodes[3].core, w.now, &parts, w.now);
	poison_world_run(&w, 4000, 0, 0, 1);
	g_assert_cmpuint(g_hash_table_size(w.store), ==, 0);
	poison_world_finish(&w);
}

/* Guards against a record that is lost where its owner cannot write it. */
static void
test_owner_cut(void)
{
	struct world w;
	unsigned int i;

	for (i = 0; i < NODES; i++) {
		world_begin(&w, 1);
		w.nodes[i].store_cut = true;
		part_ends(&w, &w.nodes[0], 7, POISON_PART_ENDS);
		poison_world_run(&w, 3000, 0, 0, 1);
		nodes_kill_all(&w);
		nodes_start_all(&w);
		g_assert_cmpuint(
		    poison_count_condemned_parts(&w.nodes[0].core), ==, 1);
		poison_world_finish(&w);
	}
}

/* Guards against a record that is not written again when a write failed. */
static void
test_write_again(void)
{
	struct world w;
	unsigned int i;

	world_begin(&w, 1);
	for (i = 0; i < NODES; i++)
		w.nodes[i].store_cut = true;
	part_ends(&w, &w.nodes[0], 7, POISON_PART_ENDS);
	g_assert_cmpuint(g_hash_table_size(w.store), ==, 0);
	for (i = 0; i < NODES; i++)
		w.nodes[i].store_cut = false;
	poison_world_run(&w, 3000, 0, 0, 1);
	g_assert_cmpuint(g_hash_table_size(w.store), ==, 1);
	poison_world_finish(&w);
}

/* Guards against records that the store lost as it came back from a copy. */
static void
test_restored(void)
{
	struct world w;
	unsigned int i;

	world_begin(&w, 1);
	part_ends(&w, &w.nodes[0], 7, POISON_PART_ENDS);
	g_hash_table_remove_all(w.store);
	for (i = 0; i < NODES; i++)
		poisons_write_all(&w.nodes[i].core, w.now);
	poison_world_run(&w, 3000, 0, 0, 1);
	g_assert_cmpuint(g_hash_table_size(w.store), ==, 1);
	poison_world_finish(&w);
}

/* Guards against writes where a sound part was at few servers that ended. */
static void
test_few_ends(void)
{
	struct world w;

	world_begin(&w, 1);
	part_ends(&w, &w.nodes[0], 7, 2);
	poison_world_run(&w, 3000, 0, 0, 1);
	g_assert_cmpuint(g_hash_table_size(w.store), ==, 0);
	poison_world_finish(&w);
}

/* Guards against writes that exceed the bandwidth of a large fleet's links. */
static void
test_large(void)
{
	uint64_t bytes;
	struct world w;

	poison_world_init(&w, NODES_MAX, SERVERS, 1);
	w.has_parts = true;
	w.store = store_new();
	w.parts_n = DEADLY_PARTS;
	w.part_every = 166;
	poison_world_run(&w, LARGE_MS, 2, POISONS, 166);
	bytes = (w.written_bytes + w.writes * CALL_BYTES) / NODES_MAX;
	g_test_message("%" PRIu64 " writes, %" PRIu64
		       " bytes a node in %d ms, %u records",
	    w.writes, bytes, LARGE_MS, g_hash_table_size(w.store));
	g_assert_cmpuint(bytes, <, CONTROL_BYTES_PER_S * LARGE_MS / 1000);
	poison_world_finish(&w);
}

static unsigned int
condemned_after(struct world *w, msec later)
{
	struct node *v = &w->nodes[0];
	gpointer key, text;
	GHashTableIter it;
	unsigned int n;

	poison_node_kill(w, 0);
	poison_node_start(w, 0);
	g_hash_table_iter_init(&it, w->store);
	while (g_hash_table_iter_next(&it, &key, &text))
		poisons_load(
		    &v->core, 1000, poison_world_wall(w) + later, key, text);
	n = poison_count_condemned_parts(&v->core);
	poison_node_kill(w, 0);
	poison_node_start(w, 0);
	return n;
}

/* Guards against ends that are older than the node's own clock, or to come. */
static void
test_clocks(void)
{
	struct world w;

	world_begin(&w, 1);
	part_ends(&w, &w.nodes[0], 7, POISON_PART_ENDS);
	g_assert_cmpuint(condemned_after(&w, 60 * MSEC_SECOND), ==, 1);
	g_assert_cmpuint(condemned_after(&w, -HOUR_MS), ==, 1);
	/* Too old to count. */
	g_assert_cmpuint(condemned_after(&w, 25 * HOUR_MS), ==, 0);
	poison_world_finish(&w);
}

/* Guards against records that nobody of ours wrote. */
static void
test_malformed(void)
{
	static const char key[] = "00000000000000070000000000000001";
	static const char *const texts[] = { "", "1 ", "2", "1 a", "1 a b",
		"1 a 1 b", "1 x 1", "1 a -5", "1 a 1  b 2",
		"1 1 1 2 1 3 1 4 1 5 1 6 1 7 1 8 1 9 1",
		"1 10000000000000000 5", "{\"a\":1}", "\xff\xfe" };
	static const char *const keys[] = { "", "7", "0000000000000007",
		"0000000000000007000000000000000x",
		"000000000000000700000000000000011" };
	struct world w;
	unsigned int i;

	world_begin(&w, 1);
	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		g_assert_false(poisons_load(
		    &w.nodes[0].core, w.now, w.now, key, texts[i]));
	for (i = 0; i < G_N_ELEMENTS(keys); i++)
		g_assert_false(poisons_load(
		    &w.nodes[0].core, w.now, w.now, keys[i], "1 a 1"));
	g_assert_true(
	    poisons_load(&w.nodes[0].core, w.now, w.now, key, "1 a 1 b 2"));
	g_assert_true(poisons_load(&w.nodes[0].core, w.now, w.now, key, "1"));
	poison_world_finish(&w);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/poison-store/part", test_part);
	g_test_add_func("/poison-store/request", test_request);
	g_test_add_func("/poison-store/before-verdict", test_before_verdict);
	g_test_add_func("/poison-store/cleared", test_cleared);
	g_test_add_func("/poison-store/owner-cut", test_owner_cut);
	g_test_add_func("/poison-store/write-again", test_write_again);
	g_test_add_func("/poison-store/restored", test_restored);
	g_test_add_func("/poison-store/few-ends", test_few_ends);
	g_test_add_func("/poison-store/large", test_large);
	g_test_add_func("/poison-store/clocks", test_clocks);
	g_test_add_func("/poison-store/malformed", test_malformed);
	return g_test_run();
}
