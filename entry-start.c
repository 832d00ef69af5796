/*
 * Queries other nodes for the newest configuration version when this node
 * starts; see entry-start.h.
 */

#define LOG_PART "start"
#include "entry.h"

#include <string.h>

/*
 * Nodes queried in each round. The queries end after this many answers that
 * contain a version. Nodes that are starting themselves have none yet and may
 * be queried again in a later round.
 */
#define START_NODES_PER_ROUND 3
/* Interval of the rounds; an answer takes a few milliseconds. */
#define START_ROUND_INTERVAL_MS 60
/* Bound of all rounds, because no caller is served during them. */
#define START_QUERY_MAX_MS 400

static void
start_complete(struct entry *e, msec now)
{
	struct entry_start *s = &e->start;
	struct route_table *t = s->table;

	loop_timer_stop(&e->loop, &s->timer);
	s->done = true;
	s->querying = false;
	s->table = NULL;
	log_debug(
	    "%u nodes answered with a configuration version", s->informed);
	s->unanswered = s->informed == 0;
	if (t == NULL)
		return;
	entry_take_table(e, t, now);
	if (s->read_sent_at != MSEC_NEVER)
		entry_take_proof(e, s->read_sent_at);
}

static void
start_ask(struct entry *e, const struct vm *vm)
{
	sp_msg msg = { .kind = SP_START_ASK };

	msg.sp_msg_u.start_ask.seq = e->start.seq;
	net_send(&e->net, vm->address, vm->port, &msg);
}

static bool
start_has_enough_answers(const struct entry_start *s)
{
	return s->informed >= START_NODES_PER_ROUND ||
	       (s->nodes_listed &&
		   g_hash_table_size(s->responders) >= s->nodes->len);
}

static void
start_timer(struct loop_timer *t, msec now)
{
	struct entry *e = t->arg;
	struct entry_start *s = &e->start;
	guint i;

	if (now >= s->query_deadline || start_has_enough_answers(s)) {
		start_complete(e, now);
		return;
	}
	for (i = 0; i < MIN(START_NODES_PER_ROUND, s->nodes->len); i++) {
		start_ask(e, &g_array_index(s->nodes, struct vm, s->next));
		s->next = (s->next + 1) % s->nodes->len;
	}
	loop_timer_set(&e->loop, t, now + START_ROUND_INTERVAL_MS);
}

/* Nodes that start at the same time query different ones first. */
static void
start_shuffle(struct entry *e)
{
	GArray *nodes = e->start.nodes;
	struct vm *a, *b, vm;
	guint i;

	for (i = nodes->len; i > 1; i--) {
		a = &g_array_index(nodes, struct vm, i - 1);
		b = &g_array_index(
		    nodes, struct vm, g_rand_int_range(e->rand, 0, (gint32)i));
		vm = *a;
		*a = *b;
		*b = vm;
	}
}

/* Adds a node once; the local node is left out. */
static void
start_add_node(struct entry *e, const struct vm *vm)
{
	const struct settings *s = e->settings;
	GArray *nodes = e->start.nodes;
	const struct vm *known;
	guint i;

	if (vm->address == s->peer.address && vm->port == s->peer.port)
		return;
	for (i = 0; i < nodes->len; i++) {
		known = &g_array_index(nodes, struct vm, i);
		if (known->address == vm->address && known->port == vm->port)
			return;
	}
	g_array_append_val(nodes, *vm);
}

/*
 * Guards against a restored copy of the store that lists none of the running
 * nodes, because all were replaced in turn since the copy was made: no node
 * would be queried, and an older configuration would pass for the newest.
 */
static void
start_add_seeds(struct entry *e)
{
	const struct settings *s = e->settings;
	struct vm vm = { 0 };
	unsigned int i;

	for (i = 0; i < s->nseeds; i++) {
		vm.address = s->seeds[i].address;
		vm.port = s->seeds_port != 0 ? (uint16_t)s->seeds_port
					     : s->seeds[i].port;
		start_add_node(e, &vm);
	}
}

bool
entry_start_must_defer(const struct entry *e)
{
	return e->phase == ENTRY_STARTING && !e->start.done &&
	       e->era.number != 0;
}

void
entry_start_defer_table(struct entry *e, struct route_table *t, msec now)
{
	struct entry_start *s = &e->start;

	route_table_drop(s->table);
	s->table = t;
	if (s->querying)
		return;
	s->querying = true;
	s->query_deadline = now + START_QUERY_MAX_MS;
	start_add_seeds(e);
	e->source->ops->find_nodes(e->source);
	loop_timer_set(
	    &e->loop, &s->timer, s->nodes->len > 0 ? now : s->query_deadline);
}

void
entry_start_defer_proof(struct entry *e, msec read_sent_at)
{
	e->start.read_sent_at = read_sent_at;
}

void
entry_start_set_nodes(
    struct entry *e, const struct vm *vms, unsigned int n, msec now)
{
	struct entry_start *s = &e->start;
	unsigned int i;

	if (!s->querying || s->nodes_listed)
		return;
	s->nodes_listed = true;
	for (i = 0; i < n; i++) {
		if (strcmp(vms[i].name, e->settings->node) != 0)
			start_add_node(e, &vms[i]);
	}
	start_shuffle(e);
	loop_timer_set(&e->loop, &s->timer, now);
}

static void
start_send_answer(struct entry *e, uint32_t address, uint16_t port,
    const sp_start_ask *ask, msec now)
{
	sp_msg msg = { .kind = SP_START_TELL };
	sp_start_tell *t = &msg.sp_msg_u.start_tell;

	t->seq = ask->seq;
	t->era = e->era.number;
	t->era_age_ms = era_age(&e->era, now);
	t->newest_version = MAX(members_newest_version(&e->members),
	    e->table != NULL ? e->table->version : e->start.version);
	net_send(&e->net, address, port, &msg);
}

/*
 * An answer may arrive twice, or after the configuration is in force. In the
 * latter case a newer version in it still prevents a proof that the
 * configuration in force is the newest.
 */
static void
start_receive_answer(
    struct entry *e, name_id from, const sp_start_tell *t, msec now)
{
	struct entry_start *s = &e->start;
	bool first;

	if (t->seq != s->seq) {
		log_debug("answer with an unknown sequence number dropped");
		return;
	}
	first = g_hash_table_add(s->responders, g_memdup2(&from, sizeof from));
	s->informed += first && t->newest_version > 0;
	s->version = MAX(s->version, t->newest_version);
	era_set_min_age(&e->era, now, t->era, t->era_age_ms);
	if (s->querying && start_has_enough_answers(s))
		start_complete(e, now);
}

void
entry_start_receive(struct entry *e, name_id from, uint32_t address,
    uint16_t port, const sp_msg *msg, msec now)
{
	if (msg->kind == SP_START_ASK)
		start_send_answer(
		    e, address, port, &msg->sp_msg_u.start_ask, now);
	else
		start_receive_answer(e, from, &msg->sp_msg_u.start_tell, now);
}

void
entry_start_init(struct entry *e)
{
	e->start = (struct entry_start){ .seq = g_rand_int(e->rand),
		.nodes = g_array_new(FALSE, FALSE, sizeof(struct vm)),
		.responders = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, g_free, NULL),
		.read_sent_at = MSEC_NEVER };
	loop_timer_init(&e->start.timer, start_timer, e);
}

void
entry_start_finish(struct entry *e)
{
	loop_timer_stop(&e->loop, &e->start.timer);
	g_array_unref(e->start.nodes);
	g_hash_table_unref(e->start.responders);
	route_table_drop(e->start.table);
	e->start.table = NULL;
}
