/*
 * A duty has one holder at a time. Failures that users would see: two nodes
 * report different usage for one window or give servers contradictory orders,
 * or nobody performs the duty for a long time.
 *
 * Nodes and a log run in virtual time: appends take time, are executed late or
 * lose their answers; nodes are killed, paused, or cut off from each other or
 * from the log. Each node acts whenever it is permitted to. Nothing checks the
 * tokens. The log may be restored from an older copy of itself.
 */

#include "duty.h"
#include "era.h"

#include <string.h>

#define NODES 7
#define LEASE 3000
#define STEP 20
/* Longest time without a holder after a kill: lease, margin, some ticks. */
#define TAKEOVER_MAX (LEASE + 300 + 3 * 300 + 400)

struct world;

struct node {
	struct duty duty;
	struct world *world;
	unsigned int index;
	bool up, takes_work, cut_from_log, cut_from_nodes;
	msec paused_until;
	msec started_at;
	struct era era;
};

struct record {
	msec at;
	bool claim;
};

enum event_kind {
	EVENT_APPEND,
	EVENT_ANSWER,
	EVENT_MESSAGE,
	EVENT_STORE_ANSWER /* another answer of the log's store arrives */
};

struct event {
	msec at;
	enum event_kind kind;
	unsigned int node;
	msec started_at; /* start of the process that the event is for */
	uint64_t expected_offset, offset, end, era;
	bool claim, lost;
	enum duty_result result;
	bool is_look, ok;
	name_id from;
	sp_msg msg;
	u_quad_t standbys[SAVORY_STANDBYS_MAX];
};

struct world {
	struct node nodes[NODES];
	GRand *rand;
	msec now;
	GList *events;
	GArray *records; /* struct record; contents of the log */
	uint64_t era;
	unsigned int late_permille, lost_permille;
	bool down, rewinds;
	/* The last actions, by any node. */
	uint64_t token_acted;
	unsigned int last_actor, previous_actor; /* node index plus 1 */
	msec acted_at, previous_acted_at;
	unsigned int acts, changes;
	msec longest_without, without_since;
};

static uint64_t
log_claim(const struct world *w)
{
	uint64_t i;

	for (i = w->records->len; i-- > 0;) {
		if (g_array_index(w->records, struct record, i).claim)
			return i;
	}
	return 0;
}

static name_id
id_of(unsigned int i)
{
	char name[16];

	g_snprintf(name, sizeof name, "node-%u", i);
	return name_hash(name);
}

static void
event_add(struct world *w, struct event *e)
{
	w->events = g_list_append(w->events, g_memdup2(e, sizeof *e));
}

static void
op_append(struct duty *d, uint64_t at, bool claim)
{
	struct node *n = d->arg;
	struct world *w = n->world;
	struct event e = { .kind = EVENT_APPEND,
		.node = n->index,
		.started_at = n->started_at,
		.expected_offset = at,
		.claim = claim };
	gint32 r = g_rand_int_range(w->rand, 0, 1000);

	e.at = w->now + g_rand_int_range(w->rand, 2, 30);
	if (n->cut_from_log || w->down) {
		e.kind = EVENT_ANSWER;
		e.at = w->now + LEASE / 3;
		e.result = DUTY_UNKNOWN;
	} else if (r < (gint32)w->late_permille) {
		e.lost = true;
		e.at = w->now + g_rand_int_range(w->rand, 1000, 6000);
		event_add(w, &(struct event){ .kind = EVENT_ANSWER,
				 .node = n->index,
				 .started_at = n->started_at,
				 .at = w->now + LEASE / 3,
				 .result = DUTY_UNKNOWN });
	} else if (r < (gint32)(w->late_permille + w->lost_permille)) {
		e.lost = true;
		event_add(w, &(struct event){ .kind = EVENT_ANSWER,
				 .node = n->index,
				 .started_at = n->started_at,
				 .at = w->now + LEASE / 3,
				 .result = DUTY_UNKNOWN });
	}
	event_add(w, &e);
}

static void
op_look(struct duty *d)
{
	struct node *n = d->arg;
	struct world *w = n->world;

	event_add(w, &(struct event){ .kind = EVENT_ANSWER,
			 .node = n->index,
			 .started_at = n->started_at,
			 .is_look = true,
			 .ok = !n->cut_from_log && !w->down,
			 .at = w->now + 10,
			 .era = w->era,
			 .offset = log_claim(w),
			 .end = w->records->len });
}

static void
op_send(struct duty *d, name_id to, const sp_msg *msg)
{
	struct node *n = d->arg;
	struct world *w = n->world;
	struct event e = { .kind = EVENT_MESSAGE,
		.from = d->self,
		.msg = *msg,
		.at = w->now + g_rand_int_range(w->rand, 1, 5) };
	unsigned int i;

	if (n->cut_from_nodes || g_rand_int_range(w->rand, 0, 100) < 3)
		return;
	memcpy(e.standbys, msg->sp_msg_u.duty_beat.standbys.standbys_val,
	    msg->sp_msg_u.duty_beat.standbys.standbys_len * sizeof *e.standbys);
	for (i = 0; i < NODES; i++) {
		if (id_of(i) != to || !w->nodes[i].up)
			continue;
		e.node = i;
		e.started_at = w->nodes[i].started_at;
		event_add(w, &e);
	}
}

static void
op_changed(struct duty *d, msec now, bool holds)
{
	((struct node *)d->arg)->world->changes++;
}

static const struct duty_ops ops = { op_append, op_look, op_send, op_changed };

/* False if the answer belongs to an era that is over. */
static bool
node_process_era(struct node *n, uint64_t era)
{
	bool first = !n->era.has_answer;

	switch (era_check_answer(&n->era, n->world->now, era)) {
	case ERA_OUTDATED:
		return false;
	case ERA_INCREASED:
		duty_log_rolled_back(&n->duty, n->world->now, era);
		break;
	case ERA_CURRENT:
		if (first)
			duty_set_era(&n->duty, era);
		break;
	}
	return true;
}

static void
node_start(struct world *w, unsigned int i)
{
	struct node *n = &w->nodes[i];

	n->world = w;
	n->index = i;
	n->up = n->takes_work = true;
	n->cut_from_log = n->cut_from_nodes = false;
	n->paused_until = 0;
	n->started_at = w->now;
	duty_init(&n->duty, &ops, id_of(i), LEASE, w->now);
	n->duty.arg = n;
	era_init(&n->era);
	node_process_era(n, w->era);
}

static void
node_kill(struct world *w, unsigned int i)
{
	if (!w->nodes[i].up)
		return;
	duty_finish(&w->nodes[i].duty);
	w->nodes[i].up = false;
}

static void
world_init(struct world *w, uint32_t seed)
{
	unsigned int i;

	*w = (struct world){ .rand = g_rand_new_with_seed(seed), .era = 4 };
	w->records = g_array_new(FALSE, FALSE, sizeof(struct record));
	w->now = 1000000;
	w->without_since = w->now;
	for (i = 0; i < NODES; i++)
		node_start(w, i);
}

static void
world_finish(struct world *w)
{
	unsigned int i;

	for (i = 0; i < NODES; i++)
		node_kill(w, i);
	g_list_free_full(w->events, g_free);
	g_array_unref(w->records);
	g_rand_free(w->rand);
}

/*
 * Restores the log from a copy of the given age in ms; nodes that reach it
 * learn of the new era in time.
 */
static void
log_rewind(struct world *w, msec age)
{
	struct event e = { .kind = EVENT_STORE_ANSWER };
	unsigned int i;

	while (
	    w->records->len > 0 &&
	    g_array_index(w->records, struct record, w->records->len - 1).at >
		w->now - age)
		g_array_set_size(w->records, w->records->len - 1);
	e.era = ++w->era;
	for (i = 0; i < NODES; i++) {
		if (!w->nodes[i].up || w->nodes[i].cut_from_log)
			continue;
		e.node = i;
		e.started_at = w->nodes[i].started_at;
		e.at = w->now + g_rand_int_range(w->rand, 5, 1500);
		event_add(w, &e);
	}
}

static void
event_do(struct world *w, struct event *e)
{
	struct node *n = &w->nodes[e->node];

	if (e->kind == EVENT_APPEND) {
		struct event answer = { .kind = EVENT_ANSWER,
			.node = e->node,
			.started_at = e->started_at,
			.at = w->now + 2,
			.era = w->era,
			.result = DUTY_REFUSED };
		struct record r = { w->now, e->claim };

		if (w->records->len == e->expected_offset) {
			answer.result = DUTY_ACCEPTED;
			answer.offset = w->records->len;
			g_array_append_val(w->records, r);
		}
		answer.end = w->records->len;
		if (!e->lost)
			event_add(w, &answer);
		return;
	}
	if (!n->up || n->started_at != e->started_at)
		return;
	if (e->kind == EVENT_MESSAGE) {
		e->msg.sp_msg_u.duty_beat.standbys.standbys_val = e->standbys;
		if (!n->cut_from_nodes)
			duty_receive(&n->duty, w->now, e->from, &e->msg);
	} else if (e->kind == EVENT_STORE_ANSWER) {
		node_process_era(n, e->era);
	} else if (e->is_look) {
		e->ok = e->ok && node_process_era(n, e->era);
		duty_claim_found(&n->duty, w->now, e->ok, e->offset, e->end);
	} else {
		if (e->result != DUTY_UNKNOWN && !node_process_era(n, e->era))
			e->result = DUTY_UNKNOWN;
		duty_appended(&n->duty, w->now, e->result, e->offset, e->end);
	}
}

/*
 * Checks that tokens never decrease and that holders never alternate A, B, A
 * within a lease.
 */
static void
node_act(struct world *w, struct node *n, uint64_t token)
{
	g_assert_cmpuint(token, >=, w->token_acted);
	if (token == w->token_acted)
		g_assert_cmpuint(w->last_actor, ==, n->index + 1);
	if (w->last_actor != n->index + 1) {
		if (w->previous_actor == n->index + 1)
			g_assert_cmpint(
			    w->now - w->previous_acted_at, >=, LEASE);
		w->previous_actor = w->last_actor;
		w->previous_acted_at = w->acted_at;
	}
	w->token_acted = token;
	w->last_actor = n->index + 1;
	w->acted_at = w->now;
	w->acts++;
}

static void
world_step(struct world *w)
{
	struct duty_node all[NODES];
	unsigned int i, n = 0, acting = 0;
	GList *l, *next;
	uint64_t token;

	w->now += STEP;
	for (l = w->events; l != NULL; l = next) {
		struct event *e = l->data;

		next = l->next;
		if (e->at > w->now ||
		    (e->kind != EVENT_APPEND &&
			w->nodes[e->node].paused_until > w->now))
			continue;
		w->events = g_list_delete_link(w->events, l);
		event_do(w, e);
		g_free(e);
		/* Handling the event may have added others. */
		next = w->events;
	}
	for (i = 0; i < NODES; i++) {
		if (w->nodes[i].up)
			all[n++] = (struct duty_node){ id_of(i), i % 3,
				w->nodes[i].takes_work,
				w->now - w->nodes[i].started_at };
	}
	for (i = 0; i < NODES; i++) {
		struct node *v = &w->nodes[i];

		if (!v->up || v->paused_until > w->now)
			continue;
		duty_set_nodes(&v->duty, all, n);
		duty_tick(&v->duty, w->now);
		token = duty_token(&v->duty, w->now);
		if (token == 0)
			continue;
		acting++;
		node_act(w, v, token);
	}
	g_assert_cmpuint(acting, <=, 1);
	if (acting > 0)
		w->without_since = w->now;
	w->longest_without = MAX(w->longest_without, w->now - w->without_since);
}

static void
world_run(struct world *w, msec span)
{
	msec end = w->now + span;

	while (w->now < end)
		world_step(w);
}

static unsigned int
holder_of(struct world *w)
{
	unsigned int i;

	for (i = 0; i < NODES; i++) {
		if (w->nodes[i].up && duty_token(&w->nodes[i].duty, w->now))
			return i;
	}
	return NODES;
}

static void
world_settle(struct world *w)
{
	world_run(w, 12000);
	g_assert_cmpuint(holder_of(w), <, NODES);
	w->longest_without = 0;
	w->without_since = w->now;
}

/*
 * Guards against a fleet that has no holder after its start, or changes holders
 * without need.
 */
static void
test_start(void)
{
	struct world w;

	world_init(&w, 1);
	world_run(&w, 5000);
	g_assert_cmpuint(holder_of(&w), <, NODES);
	world_run(&w, 60000);
	g_assert_cmpuint(w.changes, ==, 1);
	world_finish(&w);
}

/* Guards against a duty that no node takes over after its holder was killed. */
static void
test_kill(void)
{
	struct world w;
	unsigned int seed;

	for (seed = 1; seed <= 20; seed++) {
		world_init(&w, seed);
		world_settle(&w);
		node_kill(&w, holder_of(&w));
		world_run(&w, 10000);
		g_assert_cmpint(w.longest_without, <=, TAKEOVER_MAX);
		world_finish(&w);
	}
}

/*
 * Guards against a planned stop that leaves the duty without a holder for a
 * lease.
 */
static void
test_hand_over(void)
{
	struct world w;
	unsigned int seed, h;

	for (seed = 1; seed <= 20; seed++) {
		world_init(&w, seed);
		world_settle(&w);
		h = holder_of(&w);
		w.nodes[h].takes_work = false;
		while (w.nodes[h].duty.pending)
			world_step(&w);
		duty_leave(&w.nodes[h].duty, w.now);
		world_run(&w, 5000);
		g_assert_cmpint(w.longest_without, <=, 1000);
		world_finish(&w);
	}
}

/*
 * Guards against a duty handed to a node that has held it within the last
 * lease.
 */
static void
test_hand_over_back(void)
{
	struct world w;
	unsigned int h, again;

	world_init(&w, 3);
	world_settle(&w);
	h = holder_of(&w);
	duty_leave(&w.nodes[h].duty, w.now);
	world_run(&w, 1500);
	again = holder_of(&w);
	g_assert_cmpuint(again, <, NODES);
	w.nodes[h].duty.leaving = false;
	duty_leave(&w.nodes[again].duty, w.now);
	world_run(&w, 8000);
	g_assert_cmpuint(holder_of(&w), <, NODES);
	world_finish(&w);
}

/*
 * Guards against a duty that returns within the lease to a VM whose process was
 * restarted meanwhile and has lost its state.
 */
static void
test_hand_over_to_restarted(void)
{
	struct world w;
	unsigned int seed, h, i;

	for (seed = 1; seed <= 40; seed++) {
		world_init(&w, seed);
		world_settle(&w);
		h = holder_of(&w);
		world_run(&w, (msec)seed * 25);
		node_kill(&w, h);
		world_run(&w, LEASE - 1400);
		node_start(&w, h);
		/*
		 * No other node can take the duty when the next holder leaves.
		 */
		for (i = 0; i < NODES; i++)
			w.nodes[i].takes_work = i == h || w.nodes[i].takes_work;
		while (holder_of(&w) == NODES)
			world_step(&w);
		for (i = 0; i < NODES; i++)
			w.nodes[i].takes_work = i == h;
		world_step(&w);
		i = holder_of(&w);
		while (w.nodes[i].duty.pending)
			world_step(&w);
		duty_leave(&w.nodes[i].duty, w.now);
		world_run(&w, 8000);
		world_finish(&w);
	}
}

/*
 * Guards against a holder that continues to act after a pause as long as its
 * lease.
 */
static void
test_pause(void)
{
	struct world w;
	unsigned int h;

	world_init(&w, 4);
	world_settle(&w);
	h = holder_of(&w);
	w.nodes[h].paused_until = w.now + 2 * LEASE + 1000;
	world_run(&w, 2 * LEASE);
	g_assert_cmpuint(holder_of(&w), !=, h);
	world_run(&w, 20000);
	world_finish(&w);
}

/*
 * Guards against a holder without access to the log that keeps other nodes from
 * taking over.
 */
static void
test_cut(void)
{
	struct world w;
	unsigned int h;

	world_init(&w, 5);
	world_settle(&w);
	h = holder_of(&w);
	w.nodes[h].cut_from_log = true;
	world_run(&w, 3 * LEASE);
	g_assert_cmpuint(holder_of(&w), !=, h);
	g_assert_cmpint(w.longest_without, <=, TAKEOVER_MAX);
	world_finish(&w);
}

/*
 * Guards against a holder that gives up because the answer to a renewal was
 * lost.
 */
static void
test_lost_renewal(void)
{
	struct world w;
	unsigned int h;

	world_init(&w, 6);
	world_settle(&w);
	h = holder_of(&w);
	w.lost_permille = 1000;
	world_run(&w, 1200);
	w.lost_permille = 0;
	world_run(&w, 5000);
	g_assert_cmpuint(holder_of(&w), ==, h);
	g_assert_cmpint(w.longest_without, <=, 1000);
	world_finish(&w);
}

/* Guards against a token that stays in use after the platform refused it. */
static void
test_refused(void)
{
	struct world w;
	uint64_t token;
	unsigned int h;

	world_init(&w, 7);
	world_settle(&w);
	h = holder_of(&w);
	token = w.nodes[h].duty.token;
	duty_token_refused(&w.nodes[h].duty, w.now);
	g_assert_cmpuint(duty_token(&w.nodes[h].duty, w.now), ==, 0);
	world_run(&w, 15000);
	g_assert_cmpuint(holder_of(&w), <, NODES);
	g_assert_cmpuint(w.nodes[holder_of(&w)].duty.token, >, token);
	world_finish(&w);
}

/*
 * Guards against tokens that restart from the beginning after all processes
 * were killed.
 */
static void
test_all_killed(void)
{
	struct world w;
	unsigned int i;
	uint64_t token;

	world_init(&w, 8);
	world_settle(&w);
	token = w.token_acted;
	for (i = 0; i < NODES; i++)
		node_kill(&w, i);
	world_run(&w, 1000);
	for (i = 0; i < NODES; i++)
		node_start(&w, i);
	world_run(&w, 15000);
	g_assert_cmpuint(holder_of(&w), <, NODES);
	g_assert_cmpuint(w.token_acted, >, token);
	world_finish(&w);
}

/*
 * Guards against an impossible beat, and against a beat of an earlier holder.
 */
static void
test_wrong_beats(void)
{
	struct world w;
	sp_msg msg = { .kind = SP_DUTY_BEAT };
	sp_duty_beat *b = &msg.sp_msg_u.duty_beat;
	struct duty *d;
	unsigned int h;

	world_init(&w, 9);
	world_settle(&w);
	h = holder_of(&w);
	d = &w.nodes[h].duty;
	b->end = 5;
	duty_receive(d, w.now, id_of((h + 1) % NODES), &msg);
	b->token = 9;
	duty_receive(d, w.now, id_of((h + 1) % NODES), &msg);
	g_assert_cmpuint(d->counters.dropped, ==, 2);
	b->token = d->token - (d->token > 1);
	b->end = d->end - 1;
	duty_receive(d, w.now, id_of((h + 1) % NODES), &msg);
	g_assert_cmpuint(duty_token(d, w.now), !=, 0);
	world_finish(&w);
}

/*
 * Guards against a duty without a holder after the log was restored from an
 * older copy.
 */
static void
test_rewound(void)
{
	struct world w;
	unsigned int seed, h;

	for (seed = 1; seed <= 20; seed++) {
		world_init(&w, seed);
		world_settle(&w);
		world_run(&w, 10000);
		h = holder_of(&w);
		w.longest_without = 0;
		log_rewind(&w, 1000 * (1 + seed % 10));
		world_run(&w, 15000);
		/*
		 * The holder claims again at once while its lease is still
		 * valid.
		 */
		g_assert_cmpuint(holder_of(&w), ==, h);
		g_assert_cmpint(w.longest_without, <=, LEASE);
		g_assert_true(w.nodes[h].duty.continues);
		world_finish(&w);
	}
}

/* Guards against a holder that is lost together with its claim in the log. */
static void
test_rewound_and_killed(void)
{
	struct world w;
	unsigned int seed;

	for (seed = 1; seed <= 20; seed++) {
		world_init(&w, seed);
		world_settle(&w);
		node_kill(&w, holder_of(&w));
		/* The copy is older than the first claim. */
		log_rewind(&w, seed % 2 == 0 ? 100000 : 3000);
		world_run(&w, 20000);
		g_assert_cmpuint(holder_of(&w), <, NODES);
		/*
		 * One lease for the old holder to expire, one from the new end.
		 */
		g_assert_cmpint(w.longest_without, <=, 2 * TAKEOVER_MAX);
		world_finish(&w);
	}
}

/*
 * Guards against a node that starts with a log restored to an empty copy and
 * takes the duty while the previous holder's lease is still valid.
 */
static void
test_rewound_to_nothing(void)
{
	struct world w;
	unsigned int seed, h, i;

	for (seed = 1; seed <= 40; seed++) {
		world_init(&w, seed);
		world_settle(&w);
		h = holder_of(&w);
		i = (h + 1 + seed % (NODES - 1)) % NODES;
		node_kill(&w, i);
		world_run(&w, (msec)seed * 20);
		/*
		 * The new node receives no messages, and neither does the
		 * holder.
		 */
		w.nodes[h].cut_from_log = true;
		log_rewind(&w, 100000);
		node_start(&w, i);
		w.nodes[i].cut_from_nodes = true;
		world_run(&w, 20000);
		world_finish(&w);
	}
}

/*
 * Guards against a beat that refers to a log that was restored from an older
 * copy since.
 */
static void
test_rewound_beats(void)
{
	struct world w;
	sp_msg msg = { .kind = SP_DUTY_BEAT };
	sp_duty_beat *b = &msg.sp_msg_u.duty_beat;
	struct duty *d;
	unsigned int h;

	world_init(&w, 12);
	world_settle(&w);
	h = holder_of(&w);
	d = &w.nodes[(h + 1) % NODES].duty;
	b->token = w.nodes[h].duty.token;
	b->end = w.nodes[h].duty.end + 50;
	duty_log_rolled_back(d, w.now, w.era + 1);
	duty_receive(d, w.now, id_of(h), &msg);
	g_assert_cmpuint(d->end, ==, 0);
	g_assert_cmpuint(d->holder, ==, 0);
	world_finish(&w);
}

static void
chaos_step(struct world *w)
{
	unsigned int i = (unsigned int)g_rand_int_range(w->rand, 0, NODES);
	unsigned int h = holder_of(w);
	struct node *n;

	/* Picks the holder more often than a uniform choice would. */
	if (h < NODES && g_rand_int_range(w->rand, 0, 3) == 0)
		i = h;
	n = &w->nodes[i];
	switch (g_rand_int_range(w->rand, 0, w->rewinds ? 11 : 9)) {
	case 9:
	case 10:
		log_rewind(w, g_rand_int_range(w->rand, 100, 10000));
		break;
	case 0:
		node_kill(w, i);
		break;
	case 1:
	case 2:
		if (!n->up)
			node_start(w, i);
		break;
	case 3:
		n->paused_until = w->now + g_rand_int_range(w->rand, 500, 9000);
		break;
	case 4:
		n->cut_from_log = !n->cut_from_log;
		break;
	case 5:
		n->cut_from_nodes = !n->cut_from_nodes;
		break;
	case 6:
		w->late_permille =
		    (unsigned int)g_rand_int_range(w->rand, 0, 300);
		w->lost_permille =
		    (unsigned int)g_rand_int_range(w->rand, 0, 300);
		break;
	case 7:
		w->down = !w->down;
		break;
	default:
		if (n->up && n->paused_until <= w->now) {
			duty_leave(&n->duty, w->now);
			node_kill(w, i);
		}
		break;
	}
}

static void
check_chaos(bool rewinds)
{
	struct world w;
	unsigned int seed, i;

	for (seed = 1; seed <= 200; seed++) {
		world_init(&w, seed);
		w.rewinds = rewinds;
		for (i = 0; i < 60; i++) {
			chaos_step(&w);
			world_run(&w, g_rand_int_range(w.rand, 20, 3000));
		}
		w.down = false;
		w.late_permille = w.lost_permille = 0;
		for (i = 0; i < NODES; i++) {
			w.nodes[i].cut_from_log = w.nodes[i].cut_from_nodes =
			    false;
			w.nodes[i].paused_until = 0;
			if (!w.nodes[i].up)
				node_start(&w, i);
		}
		world_run(&w, 25000);
		g_assert_cmpuint(holder_of(&w), <, NODES);
		world_finish(&w);
	}
}

/*
 * Guards against combinations of the faults above; afterwards there must be a
 * holder.
 */
static void
test_chaos(void)
{
	check_chaos(false);
}

/*
 * The same while the log is restored from older copies, at any time and twice
 * in a row.
 */
static void
test_chaos_rewound(void)
{
	check_chaos(true);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/duty/start", test_start);
	g_test_add_func("/duty/kill", test_kill);
	g_test_add_func("/duty/hand-over", test_hand_over);
	g_test_add_func("/duty/hand-over-back", test_hand_over_back);
	g_test_add_func(
	    "/duty/hand-over-to-restarted", test_hand_over_to_restarted);
	g_test_add_func("/duty/pause", test_pause);
	g_test_add_func("/duty/cut", test_cut);
	g_test_add_func("/duty/lost-renewal", test_lost_renewal);
	g_test_add_func("/duty/refused", test_refused);
	g_test_add_func("/duty/all-killed", test_all_killed);
	g_test_add_func("/duty/wrong-beats", test_wrong_beats);
	g_test_add_func("/duty/chaos", test_chaos);
	g_test_add_func("/duty/rewound", test_rewound);
	g_test_add_func("/duty/rewound-and-killed", test_rewound_and_killed);
	g_test_add_func("/duty/rewound-to-nothing", test_rewound_to_nothing);
	g_test_add_func("/duty/rewound-beats", test_rewound_beats);
	g_test_add_func("/duty/chaos-rewound", test_chaos_rewound);
	return g_test_run();
}
