/*
 * Tests relay.c, by which nodes confirm to each other that their configuration
 * and list of servers are current. Guards against revoked keys that still work,
 * since a node accepted an outdated confirmation, and against changes that some
 * nodes never receive.
 */

#include "relay.h"

#include <string.h>

#define NODES 12
#define LARGE_FLEET_NODES 82
#define INTERVAL_MS 1000

struct world;

/* A simulated node. */
struct node {
	struct relay relay;
	struct world *world;
	uint64_t mark; /* version in force here */
	msec confirmed;
	unsigned int reads, looks;
	bool isolated; /* cut off from the other nodes */
	bool refused;  /* the platform refuses its reads */
	unsigned int refused_reads;
};

struct message {
	name_id from, to;
	sp_msg msg;
};

struct world {
	struct node nodes[LARGE_FLEET_NODES];
	unsigned int n;
	uint64_t newest_version; /* version at the platform */
	msec now;
	GQueue messages;
};

static struct node *
world_find_node(struct world *w, name_id id)
{
	unsigned int i;

	for (i = 0; i < w->n; i++) {
		if (w->nodes[i].relay.self == id)
			return &w->nodes[i];
	}
	return NULL;
}

static void
node_send(struct relay *r, name_id to, const sp_msg *msg)
{
	struct node *v = r->arg;
	struct message *p = g_new0(struct message, 1);

	*p = (struct message){ r->self, to, *msg };
	g_queue_push_tail(&v->world->messages, p);
}

static void
node_proven(struct relay *r, enum relay_subject s, msec then)
{
	struct node *v = r->arg;

	if (s == RELAY_CONFIGURATION)
		v->confirmed = MAX(v->confirmed, then);
}

static void
node_look(struct relay *r, enum relay_subject s, msec now)
{
	((struct node *)r->arg)->looks++;
}

static void
node_news(
    struct relay *r, enum relay_subject s, const name_id *to, unsigned int n)
{
}

static const struct relay_ops node_ops = { node_send, node_proven, node_look,
	node_news };

static void
world_init(struct world *w, unsigned int n)
{
	name_id ids[LARGE_FLEET_NODES];
	unsigned int i;

	memset(w, 0, sizeof *w);
	g_queue_init(&w->messages);
	w->n = n;
	w->newest_version = 1;
	w->now = 10000;
	for (i = 0; i < n; i++)
		ids[i] = 100 + i;
	for (i = 0; i < n; i++) {
		w->nodes[i].world = w;
		relay_init(&w->nodes[i].relay, &node_ops, ids[i], INTERVAL_MS);
		w->nodes[i].relay.arg = &w->nodes[i];
		relay_set_nodes(&w->nodes[i].relay, ids, n);
	}
}

static void
node_read(struct node *v, msec now)
{
	v->reads++;
	v->mark = v->world->newest_version;
	v->confirmed = now;
	relay_read_succeeded(&v->relay, now, RELAY_CONFIGURATION, v->mark, now);
	relay_read_succeeded(&v->relay, now, RELAY_SERVERS, 7, now);
}

static void
node_read_refused(struct node *v, msec now)
{
	v->refused_reads++;
	relay_read_failed(&v->relay, now, RELAY_CONFIGURATION);
}

static void
world_deliver(struct world *w)
{
	struct message *p;
	struct node *from, *to;

	while ((p = g_queue_pop_head(&w->messages)) != NULL) {
		from = world_find_node(w, p->from);
		to = world_find_node(w, p->to);
		if (!from->isolated && !to->isolated)
			relay_receive(&to->relay, w->now, p->from, &p->msg);
		g_free(p);
	}
}

/* Lets `ms` milliseconds pass; nodes read from the platform when due. */
static void
world_run(struct world *w, msec ms)
{
	msec end = w->now + ms;
	unsigned int i;

	for (; w->now < end; w->now += 10) {
		for (i = 0; i < w->n; i++) {
			relay_tick(&w->nodes[i].relay, w->now);
			if (relay_due(&w->nodes[i].relay, w->now,
				RELAY_CONFIGURATION) != 0)
				continue;
			if (w->nodes[i].refused)
				node_read_refused(&w->nodes[i], w->now);
			else
				node_read(&w->nodes[i], w->now);
		}
		world_deliver(w);
	}
}

static unsigned int
world_reads(const struct world *w)
{
	unsigned int i, n = 0;

	for (i = 0; i < w->n; i++)
		n += w->nodes[i].reads;
	return n;
}

static struct node *
world_reader(struct world *w)
{
	return world_find_node(w, w->nodes[0].relay.reader);
}

/* One node reads less than twice a second, and all have recent proofs. */
static void
test_one_reads(void)
{
	struct world w;
	unsigned int i, before;

	world_init(&w, NODES);
	world_run(&w, 2000);
	before = world_reads(&w);
	for (i = 0; i < 100; i++) {
		world_run(&w, 100);
		g_assert_cmpint(w.now - w.nodes[i % NODES].confirmed, <,
		    INTERVAL_MS * 14 / 10);
	}
	g_assert_cmpuint(world_reads(&w) - before, <=, 18);
	g_assert_cmpuint(world_reads(&w) - before, >=, 15);
}

/* A change is in force at all nodes soon after the reader has read it. */
static void
test_change(void)
{
	struct world w;
	unsigned int i;

	world_init(&w, NODES);
	world_run(&w, 5000);
	w.newest_version = 2;
	world_run(&w, 600);
	for (i = 0; i < NODES; i++)
		g_assert_cmpuint(w.nodes[i].mark, ==, 2);
}

/*
 * Guards against nodes that depend on a reader that is cut off. They must read
 * from the platform before their proofs grow old.
 */
static void
test_reader_cut(void)
{
	struct world w;
	unsigned int i, k;

	world_init(&w, NODES);
	world_run(&w, 5000);
	world_reader(&w)->isolated = true;
	w.newest_version = 3;
	for (k = 0; k < 50; k++) {
		world_run(&w, 100);
		for (i = 0; i < NODES; i++)
			g_assert_cmpint(w.now - w.nodes[i].confirmed, <,
			    INTERVAL_MS * 16 / 10);
	}
	for (i = 0; i < NODES; i++)
		g_assert_cmpuint(w.nodes[i].mark, ==, 3);
}

/*
 * Guards against a revoked key that still works: a paused node receives an
 * answer that was sent before the key was revoked. The answer must not prove
 * that the node's state is current.
 */
static void
test_answer_that_waited(void)
{
	struct world w;
	struct node *reader, *v;

	world_init(&w, 2);
	world_run(&w, 2000);
	reader = world_reader(&w);
	v = reader == &w.nodes[0] ? &w.nodes[1] : &w.nodes[0];
	v->relay.next_ask = 0;
	relay_tick(&v->relay, w.now);
	relay_receive(&reader->relay, w.now, v->relay.self,
	    &((struct message *)g_queue_peek_tail(&w.messages))->msg);
	w.newest_version = 2;
	w.now += 20000;
	world_deliver(&w);
	g_assert_cmpint(w.now - v->confirmed, >=, 20000);
	g_assert_cmpint(
	    relay_due(&v->relay, w.now, RELAY_CONFIGURATION), ==, 0);
}

/* An answer with another version proves nothing and makes the node read. */
static void
test_other_mark(void)
{
	struct world w;
	struct node *reader, *v;
	msec before;

	world_init(&w, 2);
	world_run(&w, 2000);
	reader = world_reader(&w);
	v = reader == &w.nodes[0] ? &w.nodes[1] : &w.nodes[0];
	w.newest_version = 9;
	before = v->confirmed;
	w.now += 300;
	node_read(reader, w.now);
	v->relay.next_ask = 0;
	relay_tick(&v->relay, w.now);
	world_deliver(&w);
	g_assert_cmpint(v->confirmed, ==, before);
	g_assert_cmpuint(v->looks, >, 0);
	g_assert_cmpint(
	    relay_due(&v->relay, w.now, RELAY_CONFIGURATION), ==, 0);
	node_read(v, w.now);
	g_assert_cmpint(relay_due(&v->relay, w.now, RELAY_CONFIGURATION), >, 0);
}

/*
 * Guards against reads without a pause while the configuration at the platform
 * cannot be parsed.
 */
static void
test_in_vain(void)
{
	struct world w;
	struct node *v;

	world_init(&w, 1);
	v = &w.nodes[0];
	relay_read_unusable(&v->relay, RELAY_CONFIGURATION, w.now);
	g_assert_cmpint(
	    relay_due(&v->relay, w.now, RELAY_CONFIGURATION), >=, 100);
}

/* A large fleet is divided into groups with different readers. */
static void
test_groups(void)
{
	struct relay r[300];
	GHashTable *readers = g_hash_table_new(g_int64_hash, g_int64_equal);
	name_id ids[300];
	char name[16];
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(r); i++) {
		g_snprintf(name, sizeof name, "node-%u", i);
		ids[i] = name_hash(name);
	}
	for (i = 0; i < G_N_ELEMENTS(r); i++) {
		relay_init(&r[i], &node_ops, ids[i], INTERVAL_MS);
		relay_set_nodes(&r[i], ids, G_N_ELEMENTS(r));
		g_hash_table_add(readers, &r[i].reader);
	}
	g_assert_cmpuint(g_hash_table_size(readers), >=, 5);
	g_assert_cmpuint(g_hash_table_size(readers), <=, 8);
	g_hash_table_unref(readers);
}

/*
 * Guards against needless reads: of 82 nodes, half called the platform every
 * 1.5 s for each subject. The node that they polled belonged to another group
 * and polled that group's reader itself, so its proofs were too old to pass on.
 */
static void
test_groups_read(void)
{
	static struct world w;
	unsigned int i, before;

	world_init(&w, LARGE_FLEET_NODES);
	world_run(&w, 3000);
	before = world_reads(&w);
	world_run(&w, 10000);
	/* Three groups with a reader each. */
	g_assert_cmpuint(world_reads(&w) - before, >=, 45);
	g_assert_cmpuint(world_reads(&w) - before, <=, 54);
	for (i = 0; i < w.n; i++)
		g_assert_cmpint(
		    w.now - w.nodes[i].confirmed, <, INTERVAL_MS * 14 / 10);
}

/*
 * Guards against needless retries: while the platform refused some nodes for
 * 8 s and served the others, the refused ones called it three times a second
 * for each subject, although the reader kept confirming that nothing had
 * changed.
 */
static void
test_turned_away_by_platform(void)
{
	static struct world w;
	struct relay *r;
	unsigned int i;

	world_init(&w, NODES);
	world_run(&w, 3000);
	i = &w.nodes[0] == world_reader(&w) ? 1 : 0;
	r = &w.nodes[i].relay;
	relay_read_failed(r, w.now, RELAY_CONFIGURATION);
	for (i = 0; i < 800; i++) {
		world_run(&w, 10);
		g_assert_cmpint(relay_due(r, w.now, RELAY_CONFIGURATION), >, 0);
	}
}

/* Limits the retries of a lone node while the platform is unavailable. */
static void
test_retries(void)
{
	struct relay r;
	msec now = 10000, wait, most = 0;
	unsigned int n = 0;

	relay_init(&r, &node_ops, 1, INTERVAL_MS);
	/* Before the first successful read, the node retries sooner. */
	relay_read_failed(&r, now, RELAY_CONFIGURATION);
	relay_read_failed(&r, now, RELAY_CONFIGURATION);
	wait = relay_due(&r, now, RELAY_CONFIGURATION);
	g_assert_cmpint(wait, >=, INTERVAL_MS / 4);
	g_assert_cmpint(wait, <=, INTERVAL_MS / 2);
	relay_read_succeeded(&r, now, RELAY_CONFIGURATION, 1, now);
	for (now += INTERVAL_MS; now < 22000; now += wait, n++) {
		relay_read_failed(&r, now, RELAY_CONFIGURATION);
		wait = relay_due(&r, now, RELAY_CONFIGURATION);
		most = MAX(most, wait);
	}
	g_assert_cmpuint(n, <=, 18);
	g_assert_cmpint(most, <=, INTERVAL_MS * 12 / 10);
	/* A successful read ends the retries. */
	relay_read_succeeded(&r, now, RELAY_CONFIGURATION, 1, now);
	g_assert_cmpint(relay_due(&r, now, RELAY_CONFIGURATION), ==,
	    INTERVAL_MS * 60 / 100);
}

/*
 * Guards against a group in which every node reads by itself while the platform
 * refuses the group's reader (here with a third of the nodes, for 9 s).
 */
static void
test_reader_turned_away(void)
{
	static struct world w;
	struct node *reader;
	unsigned int i, k, before, refused = 0;

	world_init(&w, RELAY_GROUP_NODES);
	world_run(&w, 3000);
	reader = world_reader(&w);
	for (i = 0; i < w.n; i++)
		w.nodes[i].refused = &w.nodes[i] == reader || i % 3 == 0;
	before = world_reads(&w);
	for (k = 0; k < 90; k++) {
		world_run(&w, 100);
		for (i = 0; i < w.n; i++)
			g_assert_cmpint(w.now - w.nodes[i].confirmed, <,
			    w.nodes[i].refused ? INTERVAL_MS * 4
					       : INTERVAL_MS * 2);
	}
	for (i = 0; i < w.n; i++)
		refused += w.nodes[i].refused_reads;
	/* Up to three rounds of all nodes until they poll one that can read. */
	g_assert_cmpuint(world_reads(&w) - before, <=, 3 * w.n + 18);
	g_assert_cmpuint(refused, <=, 4 * w.n);
	/* When the platform accepts the reader again, only the reader reads. */
	for (i = 0; i < w.n; i++)
		w.nodes[i].refused = false;
	world_run(&w, 30000);
	before = world_reads(&w);
	world_run(&w, 10000);
	g_assert_cmpuint(world_reads(&w) - before, <=, 18);
}

/*
 * Guards against a proof from before the platform lost records that is sent or
 * accepted afterwards: no proof counts until each node has read again.
 */
static void
test_forget(void)
{
	sp_msg msg = { .kind = SP_RELAY_TELL };
	name_id others[2] = { 1, 2 };
	struct world w = { .n = 0 };
	struct node v = { .world = &w };
	struct relay *r = &v.relay;

	g_queue_init(&w.messages);
	relay_init(r, &node_ops, 1, INTERVAL_MS);
	r->arg = &v;
	relay_set_nodes(r, others, 2);
	r->reader = 2;
	relay_read_succeeded(r, 1000, RELAY_CONFIGURATION, 7, 1000);
	relay_tick(r, 1100);
	relay_drop_confirmations(r);
	g_assert_cmpint(relay_due(r, 1200, RELAY_CONFIGURATION), ==, 0);
	msg.sp_msg_u.relay_tell.seq = r->seq;
	msg.sp_msg_u.relay_tell.known[RELAY_CONFIGURATION].mark = 7;
	relay_receive(r, 1200, 2, &msg);
	g_assert_cmpint(
	    r->known[RELAY_CONFIGURATION].confirmed, ==, MSEC_NEVER);
	g_assert_cmpint(v.confirmed, ==, 0);
	relay_read_succeeded(r, 1300, RELAY_CONFIGURATION, 7, 1250);
	g_assert_cmpint(r->known[RELAY_CONFIGURATION].confirmed, ==, 1250);
	g_queue_clear_full(&w.messages, g_free);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/relay/one-reads", test_one_reads);
	g_test_add_func("/relay/change", test_change);
	g_test_add_func("/relay/reader-cut", test_reader_cut);
	g_test_add_func("/relay/answer-that-waited", test_answer_that_waited);
	g_test_add_func("/relay/other-mark", test_other_mark);
	g_test_add_func("/relay/in-vain", test_in_vain);
	g_test_add_func("/relay/groups", test_groups);
	g_test_add_func("/relay/groups-read", test_groups_read);
	g_test_add_func(
	    "/relay/turned-away-by-platform", test_turned_away_by_platform);
	g_test_add_func("/relay/retries", test_retries);
	g_test_add_func("/relay/reader-turned-away", test_reader_turned_away);
	g_test_add_func("/relay/forget", test_forget);
	return g_test_run();
}
