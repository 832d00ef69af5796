/*
 * How loaded a node's link is, and whom the directory names, in virtual time:
 * a fleet of nodes with small and large links under more than the small ones
 * carry, and the cases in which nothing may change.
 */

#include "link-load.h"

#include <string.h>

#define STEP 100 /* ms; a node looks after its state so often */
#define NODES 60
#define DOMAINS 3
#define CALLERS 237
/* Bytes of a request and its answer on a node's link, one way. */
#define REQUEST_BYTES 10000
#define SMALL_BYTES_MS 1250  /* 10 Mbit/s */
#define LARGE_BYTES_MS 25000 /* 200 Mbit/s */
/* A connection that takes longer is given up. */
#define CONNECT_MOST 600
#define CONNECT_FREE 3
/* Clients give up what waits longer: a queue grows no further. */
#define QUEUE_MOST 3000
/* Loads ride on probes and through others. */
#define NEWS_MS 1500

struct fleet_node {
	struct link_load link;
	struct member seen;		   /* as the directory has it */
	unsigned int told[NEWS_MS / STEP]; /* on their way there */
	double queue;			   /* bytes */
	unsigned int bytes_ms;
	uint64_t tried;
	unsigned int served, unreachable;
	bool out;
};

struct fleet_caller {
	GPtrArray *named;
	msec until;
	const char *domain;
};

struct fleet {
	struct fleet_node nodes[NODES];
	struct fleet_caller callers[CALLERS];
	GRand *rand;
	unsigned int news;
};

static const char *const domains[DOMAINS] = { "hall-a", "hall-b", "hall-c" };

static struct fleet *
fleet_new(unsigned int nlarge)
{
	struct fleet *f = g_new0(struct fleet, 1);
	struct fleet_node *n;
	unsigned int i;

	f->rand = g_rand_new_with_seed(41);
	for (i = 0; i < NODES; i++) {
		n = &f->nodes[i];
		link_load_init(&n->link, 0);
		g_strlcpy(n->seen.domain, domains[i % DOMAINS],
		    sizeof n->seen.domain);
		n->bytes_ms = i < nlarge ? LARGE_BYTES_MS : SMALL_BYTES_MS;
	}
	for (i = 0; i < CALLERS; i++)
		f->callers[i].domain = domains[i % DOMAINS];
	return f;
}

static void
fleet_free(struct fleet *f)
{
	unsigned int i;

	for (i = 0; i < CALLERS; i++)
		g_clear_pointer(&f->callers[i].named, g_ptr_array_unref);
	g_rand_free(f->rand);
	g_free(f);
}

static void
fleet_look_up(struct fleet *f, struct fleet_caller *c, msec now)
{
	g_autoptr(GPtrArray) all = g_ptr_array_new();
	unsigned int i;

	for (i = 0; i < NODES; i++) {
		if (!f->nodes[i].out)
			g_ptr_array_add(all, &f->nodes[i].seen);
	}
	g_clear_pointer(&c->named, g_ptr_array_unref);
	c->named = link_load_choose(all, c->domain, f->rand);
	g_assert_cmpuint(c->named->len, >=, 2);
	c->until = now + g_rand_int_range(f->rand, 1000, 3000);
}

static void
fleet_request(struct fleet *f, struct fleet_caller *c)
{
	struct member *m = g_ptr_array_index(c->named,
	    (guint)g_rand_int_range(f->rand, 0, (gint32)c->named->len));
	struct fleet_node *n =
	    (struct fleet_node *)((char *)m -
				  offsetof(struct fleet_node, seen));
	msec took = CONNECT_FREE + (msec)(n->queue / n->bytes_ms);

	n->tried++;
	n->queue = MIN(n->queue + REQUEST_BYTES, QUEUE_MOST * n->bytes_ms);
	if (took > CONNECT_MOST) {
		n->unreachable++;
		return;
	}
	n->served++;
	link_load_stood(&n->link, took);
}

static void
fleet_tick(struct fleet *f, msec now)
{
	struct fleet_node *n;
	unsigned int i, at = f->news++ % (NEWS_MS / STEP);

	for (i = 0; i < NODES; i++) {
		n = &f->nodes[i];
		n->queue = MAX(n->queue - STEP * n->bytes_ms, 0);
		link_load_tick(&n->link, now, n->tried);
		g_assert_cmpuint(n->link.permille, <, LINK_LOAD_NO_WORK);
		n->seen.load_permille = n->told[at];
		n->told[at] = n->link.permille;
	}
}

/* So many requests a second in all, from a point in time to another. */
static void
fleet_run(struct fleet *f, msec from, msec to, unsigned int per_s)
{
	struct fleet_caller *c;
	unsigned int i;
	msec now;

	for (now = from; now < to; now += STEP) {
		fleet_tick(f, now);
		for (i = 0; i < per_s * STEP / 1000; i++) {
			c = &f->callers[g_rand_int_range(f->rand, 0, CALLERS)];
			if (c->named == NULL || now >= c->until)
				fleet_look_up(f, c, now);
			fleet_request(f, c);
		}
	}
}

static void
fleet_count(struct fleet *f, unsigned int *served, unsigned int *unreachable)
{
	unsigned int i;

	*served = *unreachable = 0;
	for (i = 0; i < NODES; i++) {
		*served += f->nodes[i].served;
		*unreachable += f->nodes[i].unreachable;
		f->nodes[i].served = f->nodes[i].unreachable = 0;
	}
}

/*
 * Of 60 nodes 54 have links of 10 Mbit/s, six of 200 Mbit/s, and half of each
 * are stopped under six times the usual traffic. The directory names all that
 * are left alike: the small links are choked, and every second request there
 * waits for a connection that never comes, to server after server, while the
 * large links stand almost empty.
 */
static void
test_small_and_large(void)
{
	struct fleet *f = fleet_new(6);
	unsigned int served, unreachable, i;

	fleet_run(f, 0, 2000, 4000);
	fleet_count(f, &served, &unreachable);
	g_assert_cmpuint(unreachable, ==, 0);
	for (i = 0; i < NODES; i++)
		f->nodes[i].out = i / DOMAINS % 2 == 1;
	fleet_run(f, 2000, 14000, 4000);
	fleet_count(f, &served, &unreachable);
	g_test_message(
	    "first 12 s: %u of %u", unreachable, served + unreachable);
	fleet_run(f, 14000, 34000, 4000);
	fleet_count(f, &served, &unreachable);
	g_test_message("then: %u of %u", unreachable, served + unreachable);
	g_assert_cmpuint(unreachable, <, (served + unreachable) / 50);
	fleet_free(f);
}

/*
 * The large links are back to being as empty as the others soon after the
 * traffic falls: nobody is left out for what is over.
 */
static void
test_over(void)
{
	struct fleet *f = fleet_new(6);
	unsigned int i;

	for (i = 0; i < NODES; i++)
		f->nodes[i].out = i / DOMAINS % 2 == 1;
	fleet_run(f, 0, 10000, 4000);
	fleet_run(f, 10000, 65000, 400);
	for (i = 0; i < NODES; i++)
		g_assert_cmpuint(f->nodes[i].link.permille, <, 50);
	fleet_free(f);
}

/* All links alike and all choked: whom to leave out? Nobody. */
static void
test_alike(void)
{
	g_autoptr(GPtrArray) all = g_ptr_array_new(), some = NULL;
	g_autoptr(GRand) r = g_rand_new_with_seed(1);
	struct member m[6] = { 0 };
	unsigned int i;

	for (i = 0; i < 6; i++) {
		g_strlcpy(m[i].domain, domains[i / 2], sizeof m[i].domain);
		m[i].load_permille = 900;
		g_ptr_array_add(all, &m[i]);
	}
	some = link_load_choose(all, "hall-b", r);
	g_assert_cmpuint(some->len, ==, 2);
	g_assert_true(g_ptr_array_index(some, 0) == &m[2]);
	g_clear_pointer(&some, g_ptr_array_unref);
	some = link_load_choose(all, "hall-z", r);
	g_assert_cmpuint(some->len, ==, 6);
	g_clear_pointer(&some, g_ptr_array_unref);
	some = link_load_choose(all, NULL, r);
	g_assert_cmpuint(some->len, ==, 6);
}

/* The caller's own domain is kept to as long as two of it are free. */
static void
test_own_domain(void)
{
	g_autoptr(GPtrArray) all = g_ptr_array_new(), some = NULL;
	g_autoptr(GRand) r = g_rand_new_with_seed(1);
	unsigned int i, j, own = 0, named = 0;
	struct member m[12] = { 0 };

	for (i = 0; i < 12; i++) {
		g_strlcpy(m[i].domain, domains[i % 3], sizeof m[i].domain);
		m[i].load_permille = i % 3 == 0 && i >= 6 ? 999 : 0;
		g_ptr_array_add(all, &m[i]);
	}
	for (i = 0; i < 1000; i++) {
		g_clear_pointer(&some, g_ptr_array_unref);
		some = link_load_choose(all, "hall-a", r);
		for (j = 0; j < some->len; j++)
			own += g_ptr_array_index(some, j) == &m[0] ||
			       g_ptr_array_index(some, j) == &m[3];
		named += some->len;
	}
	g_assert_cmpuint(own, ==, 2000);
	g_assert_cmpuint(named, >, 2000);
	g_assert_cmpuint(named, <, 2600);
}

/*
 * A server that is gone, or one connection that took long, says nothing of the
 * link as long as others stand at once; nor do a few that fail.
 */
static void
test_one_server(void)
{
	struct link_load l;
	uint64_t tried = 0;
	unsigned int i;
	msec now;

	link_load_init(&l, 0);
	for (now = 0; now < 10000; now += STEP) {
		for (i = 0; i < 5; i++)
			link_load_stood(&l, i == 0 ? 20 : 580);
		tried += 50;
		link_load_tick(&l, now, tried);
		g_assert_cmpuint(l.permille, ==, 0);
	}
	for (; now < 20000; now += STEP) {
		tried += now % 500 == 0;
		link_load_tick(&l, now, tried);
		g_assert_cmpuint(l.permille, ==, 0);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/link-load/small-and-large", test_small_and_large);
	g_test_add_func("/link-load/over", test_over);
	g_test_add_func("/link-load/alike", test_alike);
	g_test_add_func("/link-load/own-domain", test_own_domain);
	g_test_add_func("/link-load/one-server", test_one_server);
	return g_test_run();
}
