/*
 * Parts of prompts that end the servers that begin to write on them, in virtual
 * time. Failures that users would see: one server after the other ends under
 * requests that are all different, or sound requests that share other parts
 * with them are refused.
 */

#include "util-poison.h"

#include <inttypes.h>

/* Requests with each deadly part, and sound ones, come at these intervals. */
#define PART_EVERY_MS 166
#define SOUND_EVERY_MS 16
/* Headers of a packet, and what all control traffic of a node may take. */
#define PACKET_BYTES 28
#define CONTROL_BYTES_PER_S 17000
/* From the fifth end on, or the last, until sound requests must begin. */
#define SETTLED_MS (2 * STABLE_MS)

static void
world_begin(struct world *w, unsigned int nodes, unsigned int servers,
    unsigned int parts, uint32_t seed)
{
	poison_world_init(w, nodes, servers, seed);
	w->has_parts = true;
	poison_world_run(w, 4000, SOUND_EVERY_MS, 0, 1);
	w->parts_n = parts;
	w->part_every = PART_EVERY_MS;
}

static void
check_parts(const struct world *w)
{
	unsigned int i;

	for (i = 1; i <= DEADLY_PARTS; i++) {
		g_test_message("part %u: %u servers ended, %u times later", i,
		    w->parts[i].ended, w->parts[i].later);
		g_assert_cmpuint(w->parts[i].later, <=, LATER_MAX);
	}
}

/* From now on for so long, no sound request is refused; nine in ten begin. */
static void
check_sound(struct world *w, msec span)
{
	unsigned int refused = w->refused;

	w->first = w->first_sent = 0;
	poison_world_run(w, span, SOUND_EVERY_MS, 0, 1);
	g_test_message("began %u of %u, refused %u", w->first_sent, w->first,
	    w->refused - refused);
	g_assert_cmpuint(w->first_sent * 10, >=, w->first * 9);
}

static void
play(unsigned int nodes, unsigned int servers, unsigned int parts,
    unsigned int lost_permille)
{
	struct world w;
	uint32_t seed;

	for (seed = 1; seed <= 5; seed++) {
		world_begin(&w, nodes, servers, parts, seed);
		w.mail.lost_permille = lost_permille;
		poison_world_run(&w, 3000 + SETTLED_MS, SOUND_EVERY_MS, 0, 1);
		check_sound(&w, 10000);
		check_parts(&w);
		poison_world_finish(&w);
	}
}

/* Guards against a part that ends one server after the other. */
static void
test_one(void)
{
	play(6, 12, 1, 0);
}

/* The same with three at once. */
static void
test_three(void)
{
	play(6, 24, 3, 0);
}

/* The same where a fifth of all messages between nodes is lost. */
static void
test_lost_messages(void)
{
	play(6, 12, 1, 200);
}

/* The same where requests with it come seldom, so that few ends count. */
static void
test_seldom(void)
{
	struct world w;

	world_begin(&w, 6, 12, 1, 1);
	w.part_every = 5000;
	poison_world_run(&w, 120 * MSEC_SECOND, SOUND_EVERY_MS, 0, 1);
	check_parts(&w);
	g_assert_cmpuint(w.parts[1].ended, <=, PART_BOUND_ENDS + LATER_MAX);
	poison_world_finish(&w);
}

/*
 * Guards against a part of all requests that is condemned where deadly ones
 * come so often that no server lives long enough to answer.
 */
static void
test_storm(gconstpointer every)
{
	struct world w;
	uint32_t seed;

	for (seed = 1; seed <= 5; seed++) {
		world_begin(&w, 6, 12, 3, seed);
		w.part_every = GPOINTER_TO_UINT(every);
		poison_world_run(&w, 7000 + SETTLED_MS, SOUND_EVERY_MS, 0, 1);
		check_sound(&w, 5000);
		check_parts(&w);
		poison_world_finish(&w);
	}
}

/* Guards against nodes that start, and know nothing of condemned parts. */
static void
test_restarts(void)
{
	struct world w;
	unsigned int i;
	uint32_t seed;

	for (seed = 1; seed <= 3; seed++) {
		world_begin(&w, 6, 12, 2, seed);
		poison_world_run(&w, 4000, SOUND_EVERY_MS, 0, 1);
		for (i = 0; i < 12; i++) {
			poison_node_kill(&w, i % 6);
			poison_world_run(&w, 300, SOUND_EVERY_MS, 0, 1);
			poison_node_start(&w, i % 6);
			poison_world_run(&w, 700, SOUND_EVERY_MS, 0, 1);
		}
		check_parts(&w);
		poison_world_finish(&w);
	}
}

static unsigned int
condemned_parts(const struct world *w)
{
	unsigned int i, n = 0;

	for (i = 0; i < w->n; i++)
		n += poison_count_condemned_parts(&w->nodes[i].core);
	return n;
}

/* Guards against verdicts on parts where servers end by themselves. */
static void
test_servers_end(void)
{
	static const unsigned int permille[] = { 60, 170, 400 };
	struct world w;
	unsigned int i;
	uint32_t seed;

	for (i = 0; i < G_N_ELEMENTS(permille); i++) {
		for (seed = 1; seed <= 5; seed++) {
			world_begin(&w, 6, 12, 0, seed);
			w.end_permille = permille[i];
			poison_world_run(&w, 30000, SOUND_EVERY_MS, 0, 1);
			g_test_message("%u servers ended, %u verdicts",
			    w.parts[0].ended, condemned_parts(&w));
			g_assert_cmpuint(condemned_parts(&w), ==, 0);
			poison_world_finish(&w);
		}
	}
}

/* Guards against verdicts where many servers end at one moment. */
static void
test_domain_lost(void)
{
	struct world w;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		world_begin(&w, 6, SERVERS, 0, seed);
		w.burst = 0.3;
		poison_world_run(&w, 3000, SOUND_EVERY_MS, 0, 1);
		poison_servers_end(&w, SERVERS * 3 / 4);
		poison_world_run(&w, 100, SOUND_EVERY_MS, 0, 1);
		poison_servers_end(&w, SERVERS);
		poison_world_run(&w, 5000, SOUND_EVERY_MS, 0, 1);
		g_assert_cmpuint(condemned_parts(&w), ==, 0);
		poison_world_finish(&w);
	}
}

/* ---- single records ---- */

#define PARTS(...)                                           \
	poison_test_parts((const uint64_t[]){ __VA_ARGS__ }, \
	    sizeof((uint64_t[]){ __VA_ARGS__ }) / sizeof(uint64_t))

/* Servers end under requests with these parts, at any node. */
static void
end_servers(struct world *w, struct poison_parts parts, unsigned int n)
{
	unsigned int i;

	for (i = 0; i < n; i++) {
		poison_parts_ended(&w->nodes[i % w->n].core, w->now, &parts,
		    ++w->lives, w->now, SUSPECT_PARTS);
		poison_world_run(w, 100, 0, 0, 1);
	}
}

static enum poison_verdict
judge(struct world *w, unsigned int node, struct poison_parts parts)
{
	struct poison_id which;

	return poison_judge_parts(&w->nodes[node].core, w->now, &parts, &which);
}

/*
 * Guards against a sound part that is refused for the rest of the day, as it
 * was met with the deadly one first: alone it is tried, and an answer clears it
 * at all nodes. The deadly one is refused with any other.
 */
static void
test_company(void)
{
	struct poison_parts sound = PARTS(7, 8);
	struct poison_run run = { 0 }, other = { 0 };
	struct poison_id which;
	struct world w;
	unsigned int i;

	poison_world_init(&w, 4, 4, 1);
	end_servers(&w, PARTS(7, 66), POISON_PART_ENDS);
	for (i = 0; i < w.n; i++) {
		g_assert_cmpint(
		    judge(&w, i, PARTS(7, 66)), ==, POISON_CONDEMNED);
		g_assert_cmpint(judge(&w, i, PARTS(8, 9)), ==, POISON_SEND);
		g_assert_cmpint(judge(&w, i, sound), ==, POISON_WAIT);
	}
	/* One request at a time over all nodes. */
	poison_ask_parts(&w.nodes[0].core, w.now, &sound, &run, &which);
	poison_ask_parts(&w.nodes[0].core, w.now, &sound, &other, &which);
	g_assert_false(other.granted);
	poison_run_end(&w.nodes[0].core, w.now, &other, false);
	poison_run_end(&w.nodes[0].core, w.now, &run, false);
	poison_parts_answered(&w.nodes[2].core, w.now, &sound, w.now);
	poison_world_run(&w, 1000, 0, 0, 1);
	for (i = 0; i < w.n; i++) {
		g_assert_cmpint(judge(&w, i, sound), ==, POISON_SEND);
		g_assert_cmpint(
		    judge(&w, i, PARTS(66, 9)), ==, POISON_CONDEMNED);
	}
	poison_world_finish(&w);
}

/*
 * Guards against ends that come after the verdict, of servers that ended
 * before it, and count as a failed trial of a sound part.
 */
static void
test_company_late_ends(void)
{
	struct poison_parts both = PARTS(7, 66), sound = PARTS(7, 8);
	struct poison_run run = { 0 };
	struct poison_id which;
	struct poisons *p;
	struct world w;

	poison_world_init(&w, 1, 4, 1);
	p = &w.nodes[0].core;
	end_servers(&w, both, POISON_PART_PERMIT_ENDS);
	g_assert_cmpint(
	    poison_ask_parts(p, w.now, &both, &run, &which), ==, POISON_SEND);
	g_assert_true(run.granted);
	end_servers(&w, both, POISON_PART_ENDS - POISON_PART_PERMIT_ENDS + 1);
	poison_run_end(p, w.now, &run, false);
	g_assert_cmpint(judge(&w, 0, both), ==, POISON_CONDEMNED);
	g_assert_cmpint(judge(&w, 0, sound), ==, POISON_WAIT);
	poison_world_finish(&w);
}

/* Guards against a deadly part that is tried again and again as explained. */
static void
test_company_guilty(void)
{
	struct world w;

	poison_world_init(&w, 4, 4, 1);
	end_servers(&w, PARTS(7, 66), POISON_PART_ENDS);
	g_assert_cmpint(judge(&w, 1, PARTS(66, 9)), ==, POISON_WAIT);
	end_servers(&w, PARTS(66, 9), 1);
	g_assert_cmpint(judge(&w, 1, PARTS(66, 9)), ==, POISON_CONDEMNED);
	g_assert_cmpint(judge(&w, 1, PARTS(7, 9)), ==, POISON_WAIT);
	poison_world_finish(&w);
}

/* Guards against a verdict that an operator cannot lift. */
static void
test_declared_sound(void)
{
	struct poison_parts parts = PARTS(7, 9), none = { 0 };
	struct world w;

	poison_world_init(&w, 2, 4, 1);
	end_servers(&w, PARTS(7), POISON_PART_ENDS);
	g_assert_cmpint(judge(&w, 0, parts), ==, POISON_CONDEMNED);
	poisons_set_sound_parts(&w.nodes[0].core, &parts);
	g_assert_cmpint(judge(&w, 0, parts), ==, POISON_SEND);
	g_assert_cmpint(judge(&w, 1, parts), ==, POISON_CONDEMNED);
	poisons_set_sound_parts(&w.nodes[0].core, &none);
	g_assert_cmpint(judge(&w, 0, parts), ==, POISON_CONDEMNED);
	poison_world_finish(&w);
}

/* Guards against ends that count though the part was answered shortly before.
 */
static void
test_answered_before(void)
{
	struct poison_parts hot = PARTS(7);
	struct world w;
	unsigned int i;

	poison_world_init(&w, 6, 4, 1);
	for (i = 0; i < 20; i++) {
		poison_parts_answered(&w.nodes[i % 6].core, w.now, &hot, w.now);
		end_servers(&w, hot, 3);
	}
	g_assert_cmpuint(condemned_parts(&w), ==, 0);
	end_servers(&w, hot, 30);
	g_assert_cmpuint(condemned_parts(&w), ==, 6);
	poison_world_finish(&w);
}

/* Guards against servers that end together and count as many. */
static void
test_one_moment(void)
{
	struct poison_parts parts = PARTS(7);
	struct world w;
	unsigned int i;

	poison_world_init(&w, 6, 4, 1);
	for (i = 0; i < 100; i++)
		poison_parts_ended(&w.nodes[i % 6].core, w.now, &parts,
		    ++w.lives, w.now, SUSPECT_PARTS);
	poison_world_run(&w, 1000, 0, 0, 1);
	g_assert_cmpuint(condemned_parts(&w), ==, 0);
	poison_world_finish(&w);
}

/* Parts that no other request has. */
static struct poison_parts
parts_new(uint64_t *name, unsigned int n)
{
	g_autofree uint64_t *names = g_new(uint64_t, n);
	unsigned int i;

	for (i = 0; i < n; i++)
		names[i] = (*name)++;
	return poison_parts_make(names, n);
}

/* Guards against a deadly part whose record made-up parts evict. */
static void
test_flood(void)
{
	struct poison_parts deadly = PARTS(66), flood;
	struct poisons *p;
	struct world w;
	uint64_t name = 1000;
	unsigned int i, k;

	poison_world_init(&w, 1, 4, 1);
	p = &w.nodes[0].core;
	for (i = 0; i < POISON_PART_ENDS; i++) {
		poison_parts_ended(
		    p, w.now, &deadly, ++w.lives, w.now, SUSPECT_PARTS);
		/* After the first end it is as suspect as they are. */
		for (k = 0; k < (i == 0 ? 50 : 1000); k++) {
			flood = parts_new(&name, 31);
			poison_parts_ended(
			    p, w.now, &flood, w.lives, w.now, SUSPECT_PARTS);
			poison_parts_drop(&flood);
		}
		w.now += 100;
	}
	g_assert_cmpint(judge(&w, 0, deadly), ==, POISON_CONDEMNED);
	g_assert_cmpuint(p->counts[POISON_KIND_PART], <=, POISON_PARTS_MAX);
	poison_world_finish(&w);
}

/*
 * Guards against the same by requests with as many parts as fit into a head:
 * each time LONG_REQUESTS of them run beside the deadly one.
 */
#define LONG_REQUESTS 128
#define LONG_PARTS 4000
#define LATE_PARTS 39
static void
test_flood_long(void)
{
	struct poison_parts flood[LONG_REQUESTS], deadly;
	uint64_t name = 1000, late[LATE_PARTS + 1];
	unsigned int i, k, ends = 0;
	struct poisons *p;
	struct world w;

	poison_world_init(&w, 1, 4, 1);
	p = &w.nodes[0].core;
	for (i = 0; i < LATE_PARTS; i++)
		late[i] = 100 + i;
	late[LATE_PARTS] = 66;
	deadly = poison_test_parts(late, LATE_PARTS + 1);
	do {
		w.lives++;
		for (k = 0; k < LONG_REQUESTS; k++)
			flood[k] = parts_new(&name, LONG_PARTS);
		poison_parts_ended(p, w.now, &deadly, w.lives, w.now, 0);
		poison_parts_ended(
		    p, w.now, &deadly, w.lives, w.now, SUSPECT_PARTS);
		for (k = 0; k < LONG_REQUESTS; k++) {
			poison_parts_ended(
			    p, w.now, &flood[k], w.lives, w.now, SUSPECT_PARTS);
			poison_parts_drop(&flood[k]);
		}
		w.now += 100;
	} while (judge(&w, 0, deadly) != POISON_CONDEMNED &&
		 ++ends < POISON_PART_ENDS);
	g_assert_cmpint(judge(&w, 0, deadly), ==, POISON_CONDEMNED);
	g_assert_cmpuint(p->counts[POISON_KIND_PART], <=, POISON_PARTS_MAX);
	poison_world_finish(&w);
}

/* Guards against part of a long prompt that is never a suspect. */
static void
test_any_of_many(void)
{
	uint64_t names[LONG_PARTS], name = 1000;
	struct poison_parts parts;
	struct poisons *p;
	struct world w;
	unsigned int i, k;

	poison_world_init(&w, 1, 4, 1);
	p = &w.nodes[0].core;
	/* One is common to all, and stands last. */
	for (i = 0; i < 2000 && judge(&w, 0, PARTS(66)) == POISON_SEND; i++) {
		for (k = 0; k < LONG_PARTS; k++)
			names[k] = name++;
		names[LONG_PARTS - 1] = 66;
		parts = poison_parts_make(names, LONG_PARTS);
		poison_parts_ended(
		    p, w.now, &parts, ++w.lives, w.now, SUSPECT_PARTS);
		poison_parts_drop(&parts);
		w.now += 100;
	}
	g_assert_cmpint(judge(&w, 0, PARTS(66)), !=, POISON_SEND);
	poison_world_finish(&w);
}

/*
 * Guards against a prompt of many parts whose answer makes this node forget
 * those that it has just had answers with.
 */
static void
test_answered_many(void)
{
	uint64_t name = 1000;
	struct poison_parts hot = PARTS(7), many;
	struct poisons *p;
	struct world w;

	poison_world_init(&w, 1, 4, 1);
	p = &w.nodes[0].core;
	poison_parts_answered(p, w.now, &hot, w.now);
	many = parts_new(&name, LONG_PARTS);
	poison_parts_answered(p, w.now, &many, w.now);
	poison_parts_drop(&many);
	poison_parts_ended(p, w.now, &hot, ++w.lives, w.now, SUSPECT_PARTS);
	g_assert_cmpuint(p->counts[POISON_KIND_PART], ==, 0);
	poison_world_finish(&w);
}

/* Guards against updates that exceed the bandwidth of a large fleet's links. */
static void
test_large(void)
{
	uint64_t bytes;
	struct world w;

	world_begin(&w, NODES_MAX, SERVERS, 3, 1);
	w.mail.sent = w.mail.bytes = 0;
	poison_world_run(&w, 8000, 2, 0, 1);
	check_parts(&w);
	bytes = (w.mail.bytes + w.mail.sent * PACKET_BYTES) / NODES_MAX / 8;
	g_test_message("%.1f messages, %" PRIu64 " bytes a node and second",
	    (double)w.mail.sent / NODES_MAX / 8, bytes);
	g_assert_cmpuint(bytes, <, CONTROL_BYTES_PER_S);
	poison_world_finish(&w);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/poison-part/one", test_one);
	g_test_add_func("/poison-part/three", test_three);
	g_test_add_func("/poison-part/lost-messages", test_lost_messages);
	g_test_add_func("/poison-part/seldom", test_seldom);
	/* Requests with deadly parts a second, beside 62 sound ones. */
	g_test_add_data_func(
	    "/poison-part/storm-90", GUINT_TO_POINTER(33), test_storm);
	g_test_add_data_func(
	    "/poison-part/storm-150", GUINT_TO_POINTER(20), test_storm);
	g_test_add_func("/poison-part/restarts", test_restarts);
	g_test_add_func("/poison-part/servers-end", test_servers_end);
	g_test_add_func("/poison-part/domain-lost", test_domain_lost);
	g_test_add_func("/poison-part/company", test_company);
	g_test_add_func(
	    "/poison-part/company-late-ends", test_company_late_ends);
	g_test_add_func("/poison-part/company-guilty", test_company_guilty);
	g_test_add_func("/poison-part/declared-sound", test_declared_sound);
	g_test_add_func("/poison-part/answered-before", test_answered_before);
	g_test_add_func("/poison-part/one-moment", test_one_moment);
	g_test_add_func("/poison-part/flood-long", test_flood_long);
	g_test_add_func("/poison-part/any-of-many", test_any_of_many);
	g_test_add_func("/poison-part/answered-many", test_answered_many);
	g_test_add_func("/poison-part/flood", test_flood);
	g_test_add_func("/poison-part/large", test_large);
	return g_test_run();
}
