/*
 * Replays loads in which one organisation takes more than its share, in virtual
 * time: several nodes place prompts through coordinators on servers that read
 * one prompt after the other. See fair-share.h.
 */

#include "place.h"
#include "util-mail.h"

#include <string.h>

#define NODES 6
#define SERVERS_MAX 40
#define ORGANISATIONS 10
#define HOT 0 /* the organisation with the large load */
#define TOKENS 3000
#define TOKENS_PER_MS 60
#define STREAM_MS 100
#define TARGET_MS 1000
#define WARM_MS 6000
#define RUN_MS 40000
#define DETECTION_MS 1500 /* of a node that was killed */

struct world;

struct node {
	struct place place;
	struct servers servers;
	struct world *world;
	bool down;
};

struct request {
	struct place_request place;
	struct node *node;
	unsigned int organisation, repeats_left;
	msec sent, read_at, end_at, repeat_at; /* MSEC_NEVER: not due */
	bool measured;
};

/* What an organisation's callers asked for and were served in time. */
struct counts {
	unsigned int asked, served, late;
};

/* A load; zero is the usual one, with room for all. */
struct load {
	unsigned int servers;
	double usual_per_s;	  /* requests of each organisation */
	double hot_times;	  /* of that, sent by HOT */
	bool shares;		  /* between organisations */
	unsigned int hot_repeats; /* at once, of a refused request of HOT */
	msec return_ms;		  /* all callers return once; 0: none does */
	bool kill;		  /* the coordinator, in the middle */
};

struct world {
	struct load load;
	struct node nodes[NODES];
	struct mail mail;
	GRand *rand;
	GPtrArray *requests;
	GArray *decisions; /* servers, 0: refused */
	msec now, idle_at[SERVERS_MAX];
	uint64_t next_repeat;
	unsigned int unused_node; /* no caller uses it */
	bool measures;
	struct counts counts[ORGANISATIONS];
};

/* ---- callbacks ---- */

static void
op_send(struct place *p, name_id to, const sp_msg *msg)
{
	struct node *n = p->arg;
	struct world *w = n->world;
	unsigned int i;

	for (i = 0; i < NODES; i++) {
		if (w->nodes[i].place.self == to && !w->nodes[i].down)
			mail_send(&w->mail, w->now, n, &w->nodes[i], msg);
	}
}

/* The server reads the prompt after those that it has already. */
static void
request_start(struct world *w, struct request *q, const struct server *v)
{
	msec *idle_at = &w->idle_at[atoi(v->name + 1)];

	*idle_at = MAX(*idle_at, w->now) + TOKENS / TOKENS_PER_MS;
	q->read_at = *idle_at;
	if (q->measured)
		w->counts[q->organisation].served++;
	if (q->measured && q->read_at - q->sent > TARGET_MS)
		w->counts[q->organisation].late++;
}

static void
op_decided(struct place *p, struct place_request *r, struct server *v, msec now)
{
	struct request *q = r->arg;
	struct world *w = q->node->world;
	name_id chosen = v != NULL ? v->id : 0;

	if (v == NULL || place_queue_exceeds_limit(&r->queue)) {
		chosen = 0;
		place_end(p, now, r, SERVER_NO_RESULT);
		q->repeat_at = q->repeats_left > 0
				   ? now + MAX(w->load.return_ms, 1)
				   : MSEC_NEVER;
		q->end_at = q->repeats_left > 0 ? MSEC_NEVER : now;
	} else
		request_start(w, q, v);
	g_array_append_val(w->decisions, chosen);
}

static void
op_rated(struct place *p, struct server *v, msec now)
{
}

static void
op_server(struct servers *s, struct server *v)
{
}

static const struct place_ops place_ops = { op_send, op_decided, op_rated };
static const struct server_ops server_ops = { op_server, op_server };

/* ---- simulation ---- */

static void
world_set_members(struct world *w)
{
	struct place_node list[NODES];
	unsigned int i, n = 0;

	for (i = 0; i < NODES; i++) {
		if (!w->nodes[i].down)
			list[n++] = (struct place_node){ w->nodes[i].place.self,
				true, -1, false };
	}
	for (i = 0; i < NODES; i++) {
		if (!w->nodes[i].down)
			place_set_nodes(&w->nodes[i].place, w->now, list, n);
	}
}

static void
node_start(struct world *w, unsigned int i)
{
	struct node *n = &w->nodes[i];
	unsigned int k;
	char name[8];

	n->world = w;
	servers_init(&n->servers, &server_ops);
	for (k = 0; k < w->load.servers; k++) {
		struct server_entry e = { .name = name,
			.service = "model",
			.domain = "d",
			.address = 1 + k,
			.port = 80,
			.slots = 64,
			.born = 1 };

		g_snprintf(name, sizeof name, "s%u", k);
		servers_list(&n->servers, w->now, &e);
	}
	place_init(&n->place, &place_ops, &n->servers, 100 + i, "d", w->rand);
	n->place.arg = n;
	place_set_fair_shares(&n->place, w->load.shares);
}

static void
world_init(struct world *w, const struct load *l)
{
	unsigned int i;

	memset(w, 0, sizeof *w);
	w->load = *l;
	w->rand = g_rand_new_with_seed(7);
	w->requests = g_ptr_array_new_with_free_func(g_free);
	w->decisions = g_array_new(FALSE, FALSE, sizeof(name_id));
	mail_init(&w->mail, w->rand);
	w->now = 1000000;
	w->unused_node = NODES;
	for (i = 0; i < NODES; i++)
		node_start(w, i);
	world_set_members(w);
}

static void
world_finish(struct world *w)
{
	struct request *q;
	unsigned int i;

	for (i = 0; i < w->requests->len; i++) {
		q = g_ptr_array_index(w->requests, i);
		place_end(&q->node->place, w->now, &q->place, SERVER_NO_RESULT);
	}
	g_ptr_array_unref(w->requests);
	g_array_unref(w->decisions);
	for (i = 0; i < NODES; i++) {
		place_finish(&w->nodes[i].place);
		servers_finish(&w->nodes[i].servers);
	}
	mail_finish(&w->mail);
	g_rand_free(w->rand);
}

static void
node_receive(void *from, void *to, const sp_msg *msg)
{
	struct node *n = to;

	if (!n->down)
		place_receive(&n->place, n->world->now,
		    ((struct node *)from)->place.self, msg);
}

static void
request_new(struct world *w, unsigned int organisation)
{
	struct request *q = g_new0(struct request, 1);

	do
		q->node = &w->nodes[g_rand_int_range(w->rand, 0, NODES)];
	while (q->node == &w->nodes[w->unused_node % NODES] &&
	       w->unused_node < NODES);
	q->organisation = organisation;
	q->sent = w->now;
	q->read_at = q->end_at = q->repeat_at = MSEC_NEVER;
	q->measured = w->measures;
	q->repeats_left = organisation == HOT ? w->load.hot_repeats : 0;
	if (w->load.return_ms > 0)
		q->repeats_left = 1;
	w->counts[organisation].asked += w->measures;
	q->place.arg = q;
	q->place.wish = (struct server_wish){ .service = name_hash("model"),
		.route = 1,
		.prompt = w->next_repeat + 1,
		.shared = 1,
		.own = TOKENS - 1,
		.target = TARGET_MS,
		.gap_target = 1000,
		.rank = 2,
		.repeat = ++w->next_repeat,
		.organisation = organisation + 1 };
	g_ptr_array_add(w->requests, q);
	place_submit(&q->node->place, w->now, &q->place);
}

/* Returns false when the request has ended. */
static bool
request_tick(struct world *w, struct request *q)
{
	struct place *p = &q->node->place;

	if (w->now >= q->repeat_at) {
		q->repeat_at = MSEC_NEVER;
		q->repeats_left--;
		q->sent = w->now;
		place_submit(p, w->now, &q->place);
	}
	if (q->read_at != MSEC_NEVER && w->now == q->sent + TARGET_MS + 1)
		place_mark_late(p, w->now, &q->place);
	if (w->now >= q->read_at) {
		q->read_at = MSEC_NEVER;
		q->end_at = w->now + STREAM_MS;
		place_prompt_read(p, w->now, &q->place);
	}
	if (w->now < q->end_at)
		return true;
	place_end(p, w->now, &q->place, SERVER_ANSWERED);
	return false;
}

static void
world_run(struct world *w, msec span)
{
	msec until = w->now + span;
	double per_s;
	guint i;

	for (; w->now < until; w->now++) {
		mail_deliver(&w->mail, w->now, node_receive);
		for (i = w->requests->len; i-- > 0;) {
			if (!request_tick(w, g_ptr_array_index(w->requests, i)))
				g_ptr_array_remove_index_fast(w->requests, i);
		}
		for (i = 0; i < ORGANISATIONS; i++) {
			per_s = w->load.usual_per_s *
				(i == HOT ? w->load.hot_times : 1);
			if (g_rand_double(w->rand) < per_s / MSEC_SECOND)
				request_new(w, i);
		}
		for (i = 0; i < NODES; i++) {
			if (!w->nodes[i].down)
				place_tick(&w->nodes[i].place, w->now);
		}
	}
}

/* The node that coordinates most requests. */
static unsigned int
world_coordinator(const struct world *w)
{
	unsigned int i, best = 0;

	for (i = 1; i < NODES; i++) {
		if (w->nodes[i].place.counters.coordinated >
		    w->nodes[best].place.counters.coordinated)
			best = i;
	}
	return best;
}

/*
 * The coordinator ends. Until that is detected, nodes decide alone and know no
 * shares: these requests are not measured.
 */
static void
world_kill_coordinator(struct world *w)
{
	w->nodes[w->unused_node].down = true;
	w->measures = false;
	world_run(w, DETECTION_MS);
	w->measures = true;
	world_set_members(w);
}

static void
load_run(const struct load *l, struct world *w)
{
	world_init(w, l);
	world_run(w, 200);
	if (l->kill)
		w->unused_node = world_coordinator(w);
	world_run(w, WARM_MS);
	w->measures = true;
	world_run(w, RUN_MS / 2);
	if (l->kill)
		world_kill_coordinator(w);
	world_run(w, RUN_MS / 2);
}

/* ---- results ---- */

static struct counts
counts_sum(const struct counts *c, unsigned int from, unsigned int to)
{
	struct counts sum = { 0 };
	unsigned int i;

	for (i = from; i < to; i++) {
		sum.asked += c[i].asked;
		sum.served += c[i].served;
		sum.late += c[i].late;
	}
	return sum;
}

static double
counts_part(struct counts c)
{
	return (double)c.served / MAX(c.asked, 1);
}

/*
 * Runs a load with and without shares, and with the usual load of all, and
 * checks the bounds.
 */
static void
check_load(const struct load *l)
{
	struct load usual = *l, blind = *l;
	struct counts c[3][ORGANISATIONS], others[3], all[3];
	const struct load *loads[3] = { l, &blind, &usual };
	struct world w;
	unsigned int i;

	usual.hot_times = 1;
	blind.shares = false;
	for (i = 0; i < 3; i++) {
		load_run(loads[i], &w);
		memcpy(c[i], w.counts, sizeof c[i]);
		world_finish(&w);
		others[i] = counts_sum(c[i], 1, ORGANISATIONS);
		all[i] = counts_sum(c[i], 0, ORGANISATIONS);
		g_test_message("%s: large load %.3f, others %.3f, all %.3f; "
			       "served %u, late %u",
		    i == 0   ? "shares"
		    : i == 1 ? "none"
			     : "usual",
		    counts_part(c[i][HOT]), counts_part(others[i]),
		    counts_part(all[i]), all[i].served, all[i].late);
	}
	/* The others are hardly refused. */
	g_assert_cmpfloat(
	    counts_part(others[0]), >=, 0.9 * counts_part(others[2]));
	/* The large load keeps a share like theirs, and does not starve. */
	g_assert_cmpuint(
	    c[0][HOT].served * (ORGANISATIONS - 1), >=, others[0].served);
	g_assert_cmpfloat(counts_part(c[0][HOT]) * 3, >=, counts_part(all[0]));
	/* As much is read, and as much in time. */
	g_assert_cmpuint(all[0].served * 20, >=, all[1].served * 19);
	g_assert_cmpuint((all[0].served - all[0].late) * 20, >=,
	    (all[1].served - all[1].late) * 19);
}

/* ---- tests ---- */

/*
 * Servers read 20 prompts a second each, a little more than half of what all
 * ask for. At just a half, nine tenths of what the others ask for and the least
 * part of the large load would take all the room.
 */
static const struct load hot = {
	.servers = 8, .usual_per_s = 15.5, .hot_times = 10, .shares = true
};

/* Guards against one organisation that takes the room of all others. */
static void
test_hot(void)
{
	check_load(&hot);
}

/* The same with two groups of servers, each with its own coordinator. */
static void
test_hot_groups(void)
{
	struct load l = hot;

	l.servers = 40;
	l.usual_per_s *= 5;
	check_load(&l);
}

/* Guards against a successor that lets the large load take all again. */
static void
test_hot_killed(void)
{
	struct load l = hot;

	l.kill = true;
	check_load(&l);
}

/* Guards against callers that gain room by repeating at once. */
static void
test_repeats(void)
{
	struct load l = hot;

	l.hot_times = 4;
	l.usual_per_s = 19;
	l.hot_repeats = 5;
	check_load(&l);
}

/* Guards against returns as told that bring the large load past its share. */
static void
test_returns(void)
{
	struct load l = hot;

	l.return_ms = 500;
	check_load(&l);
}

/* Guards against shares that change decisions while there is room. */
static void
test_room(void)
{
	struct load l = { .servers = 8,
		.usual_per_s = 2.5,
		.hot_times = 10,
		.shares = true };
	struct world w[2];
	unsigned int i, k;

	for (i = 0; i < 2; i++) {
		l.shares = i == 0;
		load_run(&l, &w[i]);
		for (k = 0; k < w[i].decisions->len; k++)
			g_assert_cmpuint(
			    g_array_index(w[i].decisions, name_id, k), !=, 0);
	}
	g_assert_cmpmem(w[0].decisions->data,
	    w[0].decisions->len * sizeof(name_id), w[1].decisions->data,
	    w[1].decisions->len * sizeof(name_id));
	world_finish(&w[0]);
	world_finish(&w[1]);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/place-fair/hot", test_hot);
	g_test_add_func("/place-fair/hot-groups", test_hot_groups);
	g_test_add_func("/place-fair/hot-killed", test_hot_killed);
	g_test_add_func("/place-fair/repeats", test_repeats);
	g_test_add_func("/place-fair/returns", test_returns);
	g_test_add_func("/place-fair/room", test_room);
	return g_test_run();
}
