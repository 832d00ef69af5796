/*
 * Requests that end the servers that run them, on virtual time: many nodes
 * with messages that take a while and get lost, servers that end under some
 * requests and take with them whatever else is there. What a user would see
 * when it goes wrong: one caller's request takes down server after server, or
 * a request is turned away that never did any harm.
 */

#include "poison.h"
#include "util-mail.h"

#include <inttypes.h>
#include <string.h>

#define NODES_MAX 350
#define SERVERS 40
#define SERVER_DOWN_MS 3500
#define ATTEMPTS 3
#define STABLE_MS 3000
#define LATER_MAX 3
#define POISONS_MAX 8

struct world;

struct node {
	struct poisons core;
	struct world *world;
	uint64_t incarnation;
	bool cut;  /* hears and says nothing, and the others know */
	bool deaf; /* messages to it are lost */
	bool down; /* its process is away */
};

struct server {
	uint64_t life;
	msec back;
};

/* A caller's request at a node. */
struct request {
	struct poison_run run;
	struct node *node;
	struct server *server; /* NULL: at none */
	unsigned int poison;   /* from 1 on; 0: it does no harm */
	unsigned int attempts;
	msec ends; /* it, or its server */
	bool done;
};

struct seen {
	unsigned int ended, later;
	msec third;
};

struct world {
	struct node nodes[NODES_MAX];
	unsigned int n, servers_n;
	struct server servers[SERVERS];
	struct seen poisons[POISONS_MAX + 1];
	GPtrArray *requests;
	struct mail mail;
	GRand *rand;
	msec now;
	uint64_t lives;
	unsigned int served, refused, failed; /* that do no harm */
	unsigned int poisons_refused;
};

/* ---- messages ---- */

static void
node_send(struct poisons *p, name_id to, const sp_msg *msg)
{
	struct node *v = p->arg;
	struct world *w = v->world;
	struct node *other;
	unsigned int i;

	for (i = 0; i < w->n; i++) {
		other = &w->nodes[i];
		if (other->core.self == to && !v->cut && !other->cut &&
		    !other->deaf && !other->down)
			mail_send(&w->mail, w->now, v, other, msg);
	}
}

static void
node_receive(void *from, void *to, const sp_msg *msg)
{
	struct node *v = to;

	if (!v->down && !v->cut)
		poisons_receive(&v->core, v->world->now,
		    ((struct node *)from)->core.self, msg);
}

/* ---- requests ---- */

static void request_go(struct world *, struct request *);

static struct poison_id
poison_name(unsigned int n)
{
	return (struct poison_id){ 77, n };
}

static struct server *
server_draw(struct world *w)
{
	struct server *v;
	unsigned int i;

	for (i = 0; i < 200; i++) {
		v = &w->servers[g_rand_int_range(
		    w->rand, 0, (gint32)w->servers_n)];
		if (v->back <= w->now)
			return v;
	}
	return NULL;
}

static void
request_over(struct world *w, struct request *r, bool served, bool refused)
{
	r->done = true;
	r->server = NULL;
	if (r->poison != 0) {
		w->poisons_refused += refused;
		return;
	}
	w->served += served;
	w->refused += refused;
	w->failed += !served && !refused;
}

/* It reaches a server. */
static void
request_send(struct world *w, struct request *r)
{
	struct seen *s = &w->poisons[r->poison];

	r->server = server_draw(w);
	r->attempts++;
	if (r->server == NULL) {
		poison_end(&r->node->core, w->now, &r->run, false);
		request_over(w, r, false, false);
		return;
	}
	if (r->poison != 0 && s->third != 0 && w->now > s->third + STABLE_MS &&
	    !r->node->cut)
		s->later++;
	r->ends =
	    w->now + (r->poison != 0 ? g_rand_int_range(w->rand, 50, 400)
				     : g_rand_int_range(w->rand, 100, 1500));
}

static void
node_decided(
    struct poisons *p, struct poison_run *run, enum poison_verdict v, msec now)
{
	struct world *w = ((struct node *)p->arg)->world;
	struct request *r = run->arg;

	if (v == POISON_GO)
		request_go(w, r);
	else
		request_over(w, r, false, true);
}

static void
request_go(struct world *w, struct request *r)
{
	enum poison_verdict v = poison_ask(&r->node->core, w->now, &r->run);

	if (v == POISON_GO)
		request_send(w, r);
	else if (v != POISON_WAIT)
		request_over(w, r, false, true);
}

static void
node_condemned(struct poisons *p, struct poison_id id, msec now)
{
	struct world *w = ((struct node *)p->arg)->world;
	struct request *r;
	guint i;

	for (i = 0; i < w->requests->len; i++) {
		r = g_ptr_array_index(w->requests, i);
		if (r->node->core.self != p->self || r->done ||
		    r->server == NULL || !poison_id_equal(r->run.id, id) ||
		    r->poison == 0)
			continue;
		poison_end(p, now, &r->run, false);
		request_over(w, r, false, true);
	}
}

static const struct poison_ops node_ops = { node_send, node_decided,
	node_condemned };

static struct request *
request_new(struct world *w, struct node *v, unsigned int poison)
{
	struct request *r = g_new0(struct request, 1);

	r->node = v;
	r->poison = poison;
	r->run.arg = r;
	r->run.id = poison != 0 ? poison_name(poison)
				: (struct poison_id){ 1 + g_rand_int(w->rand),
					  g_rand_int(w->rand) };
	g_ptr_array_add(w->requests, r);
	request_go(w, r);
	return r;
}

static struct node *
node_draw(struct world *w)
{
	struct node *v;

	do
		v = &w->nodes[g_rand_int_range(w->rand, 0, (gint32)w->n)];
	while (v->down);
	return v;
}

/* ---- servers ---- */

static void
server_end(struct world *w, struct server *v, const struct request *by)
{
	struct seen *s = &w->poisons[by->poison];
	uint64_t life = v->life;
	struct request *r;
	guint i, count = w->requests->len;

	if (++s->ended == POISON_ENDS)
		s->third = w->now;
	v->back = w->now + SERVER_DOWN_MS;
	v->life = ++w->lives;
	for (i = 0; i < count; i++) {
		r = g_ptr_array_index(w->requests, i);
		if (r->done || r->server != v)
			continue;
		r->server = NULL;
		poison_end(&r->node->core, w->now, &r->run, true);
		poison_ended(&r->node->core, w->now, r->run.id, life);
		poison_settled(&r->node->core, w->now, r->run.id);
		if (r->attempts < ATTEMPTS)
			request_go(w, r);
		else
			request_over(w, r, false, false);
	}
}

static void
requests_tick(struct world *w)
{
	struct request *r;
	guint i;

	for (i = 0; i < w->requests->len; i++) {
		r = g_ptr_array_index(w->requests, i);
		if (r->done || r->server == NULL || w->now < r->ends)
			continue;
		if (r->poison != 0) {
			server_end(w, r->server, r);
			continue;
		}
		poison_served(&r->node->core, w->now, r->run.id);
		poison_end(&r->node->core, w->now, &r->run, false);
		request_over(w, r, true, false);
	}
}

static void
requests_forget(struct world *w)
{
	struct request *r;
	guint i;

	for (i = w->requests->len; i-- > 0;) {
		r = g_ptr_array_index(w->requests, i);
		if (!r->done || r->run.waiting || r->run.granted)
			continue;
		g_free(r);
		g_ptr_array_remove_index_fast(w->requests, i);
	}
}

/* ---- the world ---- */

static void
nodes_push(struct world *w)
{
	struct poison_node list[NODES_MAX];
	unsigned int i, k, n;

	for (i = 0; i < w->n; i++) {
		n = 0;
		for (k = 0; k < w->n; k++) {
			if (w->nodes[k].down ||
			    (k != i && (w->nodes[k].cut || w->nodes[i].cut)))
				continue;
			list[n++] = (struct poison_node){ w->nodes[k].core.self,
				w->nodes[k].incarnation, true };
		}
		if (!w->nodes[i].down)
			poisons_set_nodes(&w->nodes[i].core, w->now, list, n);
	}
}

static void
node_start(struct world *w, unsigned int i)
{
	struct node *v = &w->nodes[i];

	poisons_init(&v->core, &node_ops, 100 + i, w->rand);
	v->core.arg = v;
	v->world = w;
	v->incarnation++;
	v->down = false;
}

/* Its process ends, with all that it had in hand. */
static void
node_kill(struct world *w, unsigned int i)
{
	struct node *v = &w->nodes[i];
	struct request *r;
	guint k;

	for (k = 0; k < w->requests->len; k++) {
		r = g_ptr_array_index(w->requests, k);
		if (r->node != v || r->done)
			continue;
		poison_end(&v->core, w->now, &r->run, false);
		request_over(w, r, false, false);
	}
	for (k = 0; k < w->requests->len; k++) {
		r = g_ptr_array_index(w->requests, k);
		if (r->node == v)
			poison_end(&v->core, w->now, &r->run, false);
	}
	poisons_finish(&v->core);
	v->down = true;
}

static void
world_init(
    struct world *w, unsigned int nodes, unsigned int servers, uint32_t seed)
{
	unsigned int i;

	memset(w, 0, sizeof *w);
	w->rand = g_rand_new_with_seed(seed);
	w->requests = g_ptr_array_new();
	mail_init(&w->mail, w->rand);
	w->now = 1000000;
	w->n = nodes;
	w->servers_n = servers;
	for (i = 0; i < servers; i++)
		w->servers[i].life = ++w->lives;
	for (i = 0; i < nodes; i++)
		node_start(w, i);
	nodes_push(w);
}

static void
world_finish(struct world *w)
{
	struct request *r;
	unsigned int i;
	guint k;

	for (k = 0; k < w->requests->len; k++) {
		r = g_ptr_array_index(w->requests, k);
		if (!r->node->down)
			poison_end(&r->node->core, w->now, &r->run, false);
	}
	for (i = 0; i < w->n; i++) {
		if (!w->nodes[i].down)
			poisons_finish(&w->nodes[i].core);
	}
	for (k = 0; k < w->requests->len; k++)
		g_free(g_ptr_array_index(w->requests, k));
	g_ptr_array_unref(w->requests);
	mail_finish(&w->mail);
	g_rand_free(w->rand);
}

/*
 * So many ms, with ordinary requests and copies of so many poisons at such
 * intervals; 0: none.
 */
static void
world_run(struct world *w, msec span, unsigned int every, unsigned int poisons,
    unsigned int poison_every)
{
	msec until = w->now + span;
	unsigned int i;

	for (; w->now < until; w->now++) {
		mail_deliver(&w->mail, w->now, node_receive);
		requests_tick(w);
		if (every > 0 && w->now % every == 0)
			request_new(w, node_draw(w), 0);
		for (i = 1; i <= poisons; i++) {
			if (w->now % poison_every == i * 37 % poison_every)
				request_new(w, node_draw(w), i);
		}
		for (i = 0; i < w->n && w->now % 10 == 0; i++) {
			if (!w->nodes[i].down)
				poisons_tick(&w->nodes[i].core, w->now);
		}
		if (w->now % 100 == 0) {
			nodes_push(w);
			requests_forget(w);
		}
	}
}

static void
world_check(struct world *w, unsigned int poisons)
{
	unsigned int i;

	for (i = 1; i <= poisons; i++) {
		g_test_message("poison %u: %u servers ended, %u times later", i,
		    w->poisons[i].ended, w->poisons[i].later);
		g_assert_cmpuint(w->poisons[i].later, <=, LATER_MAX);
	}
	g_test_message("served %u, refused %u, failed %u, messages %" PRIu64,
	    w->served, w->refused, w->failed, w->mail.sent);
}

/* ---- tests ---- */

/* Guards against a request that ends one server after the other. */
static void
test_ends(void)
{
	struct world w;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		world_init(&w, 6, 12, seed);
		world_run(&w, 20000, 10, 3, 166);
		world_check(&w, 3);
		world_finish(&w);
	}
}

/* Guards against news of it that gets lost on its way. */
static void
test_lost_messages(void)
{
	struct world w;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		world_init(&w, 6, 12, seed);
		w.mail.lost_permille = 200;
		world_run(&w, 20000, 10, 3, 166);
		world_check(&w, 3);
		world_finish(&w);
	}
}

/* Guards against nodes that start and know nothing. */
static void
test_restarts(void)
{
	struct world w;
	unsigned int i;
	uint32_t seed;

	for (seed = 1; seed <= 5; seed++) {
		world_init(&w, 6, 12, seed);
		world_run(&w, 4000, 10, 2, 166);
		for (i = 0; i < 12; i++) {
			node_kill(&w, i % 6);
			world_run(&w, 300, 10, 2, 166);
			node_start(&w, i % 6);
			world_run(&w, 700, 10, 2, 166);
		}
		world_run(&w, 6000, 10, 2, 166);
		world_check(&w, 2);
		world_finish(&w);
	}
}

/* Guards against a node that was cut off and does not hear when it is back. */
static void
test_cut_off(void)
{
	struct world w;
	uint32_t seed;

	for (seed = 1; seed <= 5; seed++) {
		world_init(&w, 6, 12, seed);
		w.nodes[seed % 6].cut = true;
		world_run(&w, 5000, 10, 2, 166);
		w.nodes[seed % 6].cut = false;
		nodes_push(&w);
		world_run(&w, 10000, 10, 2, 166);
		world_check(&w, 2);
		world_finish(&w);
	}
}

/*
 * Guards against requests that are turned away as they were beside: each is
 * another, and what is asked often is cleared by its answers.
 */
static void
test_innocent(void)
{
	struct world w;
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		world_init(&w, 6, 12, seed);
		world_run(&w, 20000, 10, 2, 166);
		g_test_message("served %u, refused %u", w.served, w.refused);
		/* Two in a thousand, as callers count what is denied. */
		g_assert_cmpuint(w.refused * 500, <=, w.served + 500 * 5);
		world_finish(&w);
	}
}

static struct poison_id
any_id(unsigned int n)
{
	return (struct poison_id){ 5, n };
}

/* Guards against memory that grows with the requests beside it. */
static void
test_bounded(void)
{
	struct world w;
	struct poisons *p;
	unsigned int i;

	world_init(&w, 1, 1, 1);
	p = &w.nodes[0].core;
	for (i = 1; i <= POISON_ENDS; i++)
		poison_ended(p, w.now, any_id(1), i);
	for (i = 2; i < 10 * POISON_RECORDS_MAX; i++)
		poison_ended(p, w.now, any_id(i), 99);
	g_assert_cmpuint(p->count, ==, POISON_RECORDS_MAX);
	g_assert_cmpuint(p->counters.dropped, >, 0);
	g_assert_true(poison_is_condemned(p, w.now, any_id(1)));
	world_finish(&w);
}

/*
 * Guards against a request that is refused for good, though the servers were
 * mended; and against trials that come as often as its copies.
 */
static void
test_trial(void)
{
	struct poison_run run = { .id = any_id(1) }, other = run;
	struct world w;
	struct poisons *p;
	unsigned int i;
	msec wait, next;

	world_init(&w, 1, 1, 1);
	p = &w.nodes[0].core;
	for (i = 1; i <= POISON_ENDS; i++)
		poison_ended(p, w.now, any_id(1), i);
	g_assert_cmpint(poison_ask(p, w.now, &run), ==, POISON_NO);
	wait = poison_trial_in(p, w.now, any_id(1));
	g_assert_cmpint(wait, >=, 60 * MSEC_SECOND);
	w.now += wait;
	g_assert_cmpint(poison_ask(p, w.now, &run), ==, POISON_GO);
	g_assert_cmpint(poison_ask(p, w.now, &other), ==, POISON_WAIT);
	poison_end(p, w.now, &other, false);
	poison_end(p, w.now, &run, true);
	/* Not before it is known whether the server has ended. */
	g_assert_cmpint(poison_ask(p, w.now, &other), ==, POISON_WAIT);
	poison_end(p, w.now, &other, false);
	poison_ended(p, w.now, any_id(1), 90);
	poison_settled(p, w.now, any_id(1));
	g_assert_cmpint(poison_ask(p, w.now, &run), ==, POISON_NO);
	next = poison_trial_in(p, w.now, any_id(1));
	g_assert_cmpint(next, >, 2 * wait);
	w.now += next;
	g_assert_cmpint(poison_ask(p, w.now, &run), ==, POISON_GO);
	poison_served(p, w.now, any_id(1));
	poison_end(p, w.now, &run, false);
	g_assert_cmpuint(poison_ends(p, any_id(1)), ==, 0);
	g_assert_cmpint(poison_ask(p, w.now, &other), ==, POISON_GO);
	world_finish(&w);
}

/* Guards against a whole answer that one node knows of and the others do not.
 */
static void
test_cleared_everywhere(void)
{
	struct world w;
	unsigned int i;

	world_init(&w, 6, 12, 1);
	for (i = 1; i <= POISON_ENDS; i++)
		poison_ended(&w.nodes[i].core, w.now, any_id(1), i);
	world_run(&w, 500, 0, 0, 1);
	for (i = 0; i < w.n; i++)
		g_assert_true(
		    poison_is_condemned(&w.nodes[i].core, w.now, any_id(1)));
	poison_served(&w.nodes[5].core, w.now, any_id(1));
	world_run(&w, 1500, 0, 0, 1);
	for (i = 0; i < w.n; i++)
		g_assert_cmpuint(
		    poison_ends(&w.nodes[i].core, any_id(1)), ==, 0);
	/* An old word does not bring it back. */
	world_run(&w, 5000, 0, 0, 1);
	g_assert_cmpuint(poison_ends(&w.nodes[0].core, any_id(1)), ==, 0);
	world_finish(&w);
}

static void
condemn_everywhere(struct world *w, unsigned int n)
{
	unsigned int i;

	for (i = 1; i <= POISON_ENDS; i++)
		poison_ended(&w->nodes[i].core, w->now, any_id(n), i);
	world_run(w, 60, 0, 0, 1);
	for (i = 0; i < w->n; i++)
		g_assert_true(
		    poison_is_condemned(&w->nodes[i].core, w->now, any_id(n)));
}

/* Guards against a process that has just started and knows nothing, whoever it
 * is. */
static void
test_started(void)
{
	struct world w;
	unsigned int i, n;

	world_init(&w, 6, 12, 1);
	for (n = 1; n <= 5; n++)
		condemn_everywhere(&w, n);
	for (i = 0; i < w.n; i++) {
		node_kill(&w, i);
		world_run(&w, 200, 0, 0, 1);
		node_start(&w, i);
		nodes_push(&w);
		world_run(&w, 20, 0, 0, 1);
		for (n = 1; n <= 5; n++)
			g_assert_true(poison_is_condemned(
			    &w.nodes[i].core, w.now, any_id(n)));
	}
	world_finish(&w);
}

/* Guards against a node that news did not reach, though it is held alive. */
static void
test_missed(void)
{
	struct world w;
	unsigned int i;

	world_init(&w, 6, 12, 1);
	w.nodes[4].deaf = true;
	for (i = 1; i <= POISON_ENDS; i++)
		poison_ended(&w.nodes[i].core, w.now, any_id(1), i);
	world_run(&w, 2000, 0, 0, 1);
	g_assert_false(poison_is_condemned(&w.nodes[4].core, w.now, any_id(1)));
	w.nodes[4].deaf = false;
	world_run(&w, STABLE_MS, 0, 0, 1);
	g_assert_true(poison_is_condemned(&w.nodes[4].core, w.now, any_id(1)));
	world_finish(&w);
}

/* Guards against one message that is lost: it is sent again. */
static void
test_sent_again(void)
{
	struct world w;
	unsigned int i, n;

	world_init(&w, 6, 12, 1);
	for (n = 1; n <= 20; n++) {
		w.mail.lost_permille = 1000;
		for (i = 1; i <= POISON_ENDS; i++)
			poison_ended(&w.nodes[i].core, w.now, any_id(n), i);
		world_run(&w, 50, 0, 0, 1);
		w.mail.lost_permille = 0;
		world_run(&w, 700, 0, 0, 1);
		for (i = 0; i < w.n; i++)
			g_assert_true(poison_is_condemned(
			    &w.nodes[i].core, w.now, any_id(n)));
	}
	world_finish(&w);
}

/* Guards against a suspect that several nodes try at the same time. */
static void
test_one_at_a_time(void)
{
	struct request *first, *second;
	struct world w;

	world_init(&w, 6, 12, 1);
	poison_ended(&w.nodes[1].core, w.now, poison_name(1), 1);
	poison_ended(&w.nodes[2].core, w.now, poison_name(1), 2);
	world_run(&w, 60, 0, 0, 1);
	first = request_new(&w, &w.nodes[3], 1);
	world_run(&w, 15, 0, 0, 1);
	second = request_new(&w, &w.nodes[4], 1);
	world_run(&w, 15, 0, 0, 1);
	g_assert_cmpuint(first->attempts, ==, 1);
	g_assert_cmpuint(second->attempts, ==, 0);
	world_run(&w, 600, 0, 0, 1);
	g_assert_cmpuint(w.poisons[1].ended, ==, 1);
	world_finish(&w);
}

/* Guards against a node that comes back and knows only what was before. */
static void
test_old_word(void)
{
	struct world w;
	unsigned int i;

	world_init(&w, 6, 12, 1);
	condemn_everywhere(&w, 1);
	w.nodes[5].cut = true;
	nodes_push(&w);
	poison_served(&w.nodes[0].core, w.now, any_id(1));
	world_run(&w, 1500, 0, 0, 1);
	w.nodes[5].cut = false;
	nodes_push(&w);
	world_run(&w, 4000, 0, 0, 1);
	for (i = 0; i < 5; i++)
		g_assert_cmpuint(
		    poison_ends(&w.nodes[i].core, any_id(1)), ==, 0);
	world_finish(&w);
}

/* Guards against an owner that is gone: one end alone does not stop a request.
 */
static void
test_owner_silent(void)
{
	struct world w;
	struct request *r;
	unsigned int i;

	world_init(&w, 2, 4, 1);
	for (i = 0; i < 2; i++)
		w.nodes[i].cut = true;
	poison_ended(&w.nodes[0].core, w.now, poison_name(1), 1);
	poison_ended(&w.nodes[1].core, w.now, poison_name(1), 1);
	for (i = 0; i < 2; i++) {
		r = request_new(&w, &w.nodes[i], 1);
		world_run(&w, 300, 0, 0, 1);
		g_assert_cmpuint(r->attempts, >, 0);
	}
	world_finish(&w);
}

/* Guards against names that two different requests share. */
static void
test_names(void)
{
	struct poison_request a = { "POST", "h", "/p", "org", "body", 4 };
	struct poison_request b = a, c = a, d = a;
	struct poison_id id = poison_id_make("key", &a);

	b.caller = "other";
	c.path = "/pb";
	c.body = "ody";
	c.length = 3;
	g_assert_true(poison_id_equal(id, poison_id_make("key", &d)));
	g_assert_false(poison_id_equal(id, poison_id_make("key", &b)));
	g_assert_false(poison_id_equal(id, poison_id_make("key", &c)));
	g_assert_false(poison_id_equal(id, poison_id_make("another", &a)));
	g_assert_false(poison_id_is_none(id));
}

/* Guards against news of a large fleet that costs more than its links bear. */
static void
test_large(void)
{
	struct world w;

	world_init(&w, NODES_MAX, SERVERS, 1);
	world_run(&w, 8000, 5, 4, 166);
	world_check(&w, 4);
	g_test_message("%.0f messages a node and second",
	    (double)w.mail.sent / NODES_MAX / 8);
	g_assert_cmpuint(w.mail.sent / NODES_MAX / 8, <, 100);
	world_finish(&w);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/poison/names", test_names);
	g_test_add_func("/poison/ends", test_ends);
	g_test_add_func("/poison/lost-messages", test_lost_messages);
	g_test_add_func("/poison/restarts", test_restarts);
	g_test_add_func("/poison/cut-off", test_cut_off);
	g_test_add_func("/poison/innocent", test_innocent);
	g_test_add_func("/poison/bounded", test_bounded);
	g_test_add_func("/poison/trial", test_trial);
	g_test_add_func("/poison/cleared-everywhere", test_cleared_everywhere);
	g_test_add_func("/poison/started", test_started);
	g_test_add_func("/poison/missed", test_missed);
	g_test_add_func("/poison/sent-again", test_sent_again);
	g_test_add_func("/poison/one-at-a-time", test_one_at_a_time);
	g_test_add_func("/poison/old-word", test_old_word);
	g_test_add_func("/poison/owner-silent", test_owner_silent);
	g_test_add_func("/poison/large", test_large);
	return g_test_run();
}
