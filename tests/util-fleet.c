/*
 * The simulated network for membership cores; see util-fleet.h.
 */

#include "util-fleet.h"

#include <string.h>

#define FLEET_KEY "a key for the simulated fleet"
#define FLEET_LIST_EVERY MSEC_SECOND
/* IP and UDP headers, which the network carries as well. */
#define FLEET_HEADERS 28

/* Something that happens at a node: a datagram comes, or its time is due. */
struct fleet_event {
	msec at;
	uint64_t number; /* keeps events of one time in order */
	unsigned int to;
	unsigned int from;
	size_t len; /* 0: the node's time is due */
	char *data;
};

static gint
fleet_event_compare(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct fleet_event *x = a, *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return (x->number > y->number) - (x->number < y->number);
}

static void
fleet_event_free(gpointer arg)
{
	struct fleet_event *e = arg;

	g_free(e->data);
	g_free(e);
}

static struct fleet_event *
fleet_event_add(struct fleet *f, msec at, unsigned int to)
{
	struct fleet_event *e = g_new0(struct fleet_event, 1);

	e->at = at;
	e->number = f->next_event++;
	e->to = to;
	g_tree_insert(f->events, e, e);
	return e;
}

static uint32_t
fleet_address(unsigned int i)
{
	return 0x0a000001 + i;
}

void
fleet_send(
    struct fleet_node *n, uint32_t address, uint16_t port, const sp_msg *msg)
{
	struct fleet *f = n->fleet;
	unsigned int to = address - fleet_address(0);
	struct fleet_event *e;
	struct net_frame frame;
	msec delay;

	g_assert_cmpuint(to, <, f->n);
	net_frame_init(&frame, name_hash(n->name), n->incarnation);
	g_assert_true(net_frame_add(&frame, msg));
	net_frame_seal(&frame, FLEET_KEY);
	n->datagrams_out++;
	n->bytes_out += frame.used + FLEET_HEADERS;
	if (to % FLEET_DOMAINS != n->index % FLEET_DOMAINS)
		n->bytes_across += frame.used + FLEET_HEADERS;
	if (n->region != f->nodes[to].region || !f->nodes[to].up)
		return;
	if (g_rand_int_range(f->rand, 0, 1000) < (gint32)f->loss_permille)
		return;
	delay = g_rand_int_range(
	    f->rand, (gint32)f->delay_min, (gint32)f->delay_max + 1);
	e = fleet_event_add(f, f->now + delay, to);
	e->from = n->index;
	e->len = frame.used;
	e->data = g_memdup2(frame.data, frame.used);
}

static void
fleet_op_send(
    struct members *ms, uint32_t address, uint16_t port, const sp_msg *msg)
{
	fleet_send(ms->arg, address, port, msg);
}

static void
fleet_op_changed(struct members *ms, const struct member *m)
{
	struct fleet_node *n = ms->arg;
	unsigned int i = m->address - fleet_address(0);
	uint64_t *known = &n->known_leaving[i];

	n->changes++;
	if (m == &n->members.self)
		n->incarnation = m->incarnation;
	if (m->leaving)
		*known = m->incarnation;
	else if (*known == m->incarnation && *known != 0)
		n->fleet->reverted++;
}

static const struct member_ops fleet_ops = { fleet_op_send, fleet_op_changed };

void
fleet_list_restore(struct fleet *f)
{
	struct vm *vm;
	unsigned int i;

	f->nshown = f->n;
	for (i = 0; i < f->n; i++) {
		vm = &f->shown[i];
		memset(vm, 0, sizeof *vm);
		g_strlcpy(vm->name, f->nodes[i].name, sizeof vm->name);
		g_strlcpy(vm->kind, "entry", sizeof vm->kind);
		g_snprintf(vm->domain, sizeof vm->domain, "hall-%u",
		    i % FLEET_DOMAINS);
		vm->address = fleet_address(i);
		vm->port = 7000;
	}
}

/* Millions of lines otherwise; warnings still fail the test. */
static void
fleet_log(
    const gchar *part, GLogLevelFlags level, const gchar *text, gpointer arg)
{
}

void
fleet_init(struct fleet *f, unsigned int n, uint32_t seed)
{
	unsigned int i;

	memset(f, 0, sizeof *f);
	g_log_set_handler(
	    "member", G_LOG_LEVEL_DEBUG | G_LOG_LEVEL_INFO, fleet_log, NULL);
	f->rand = g_rand_new_with_seed(seed);
	f->events =
	    g_tree_new_full(fleet_event_compare, NULL, NULL, fleet_event_free);
	f->now = 1000000;
	f->n = n;
	f->delay_min = 1;
	f->delay_max = 3;
	f->nodes = g_new0(struct fleet_node, n);
	f->shown = g_new0(struct vm, n);
	for (i = 0; i < n; i++) {
		f->nodes[i].fleet = f;
		f->nodes[i].index = i;
		f->nodes[i].known_leaving = g_new0(uint64_t, n);
		g_snprintf(
		    f->nodes[i].name, sizeof f->nodes[i].name, "entry-%u", i);
	}
	fleet_list_restore(f);
}

void
fleet_finish(struct fleet *f)
{
	unsigned int i;

	for (i = 0; i < f->n; i++) {
		if (f->nodes[i].up)
			members_finish(&f->nodes[i].members);
		g_free(f->nodes[i].known_leaving);
	}
	g_tree_unref(f->events);
	g_rand_free(f->rand);
	g_free(f->nodes);
	g_free(f->shown);
}

static void
fleet_tick(struct fleet_node *n)
{
	struct fleet *f = n->fleet;
	msec due;

	if (f->now >= n->next_list) {
		members_set_list(&n->members, f->now, f->shown, f->nshown);
		n->next_list = f->now + FLEET_LIST_EVERY;
	}
	due = MIN(members_tick(&n->members, f->now), n->next_list);
	g_assert_cmpint(due, >, f->now);
	if (due == n->due)
		return;
	n->due = due;
	fleet_event_add(f, due, n->index);
}

void
fleet_start(struct fleet *f, unsigned int i)
{
	struct fleet_node *n = &f->nodes[i];
	char domain[NAME_SIZE];
	struct member_config cfg = {
		.name = n->name,
		.domain = domain,
		.incarnation = ++n->incarnation,
		.address = fleet_address(i),
		.peer_port = 7000,
		.caller_port = 8000,
		.control_port = 9000,
		.seed = g_rand_int(f->rand),
	};

	g_assert_false(n->up);
	g_snprintf(domain, sizeof domain, "hall-%u", i % FLEET_DOMAINS);
	members_init(&n->members, &fleet_ops, &cfg, f->now);
	n->members.arg = n;
	memset(n->known_leaving, 0, f->n * sizeof *n->known_leaving);
	n->up = true;
	n->paused = false;
	n->due = 0;
	n->next_list = f->now;
	fleet_tick(n);
}

void
fleet_start_all(struct fleet *f)
{
	unsigned int i;

	for (i = 0; i < f->n; i++)
		fleet_start(f, i);
}

void
fleet_crash(struct fleet *f, unsigned int i)
{
	g_assert_true(f->nodes[i].up);
	members_finish(&f->nodes[i].members);
	f->nodes[i].up = false;
}

void
fleet_pause(struct fleet *f, unsigned int i)
{
	f->nodes[i].paused = true;
}

void
fleet_resume(struct fleet *f, unsigned int i)
{
	f->nodes[i].paused = false;
	fleet_tick(&f->nodes[i]);
}

static void
fleet_deliver(struct fleet_node *n, const struct fleet_event *e)
{
	struct fleet *f = n->fleet;
	sp_batch batch;
	u_int i;

	if (!net_decode(&batch, FLEET_KEY, e->data, e->len))
		g_error("the codec does not read what it wrote");
	n->bytes_in += e->len + FLEET_HEADERS;
	for (i = 0; i < batch.msgs.msgs_len; i++) {
		members_receive(&n->members, f->now, batch.from,
		    batch.incarnation, fleet_address(e->from), 7000,
		    &batch.msgs.msgs_val[i]);
		if (f->message != NULL)
			f->message(n, batch.from, &batch.msgs.msgs_val[i]);
	}
	net_batch_free(&batch);
}

/* A paused node's datagrams wait in its socket. */
static void
fleet_happen(struct fleet *f, struct fleet_event *e)
{
	struct fleet_node *n = &f->nodes[e->to];
	struct fleet_event *later;

	if (!n->up || (e->len == 0 && (n->paused || n->due != e->at)))
		return;
	if (n->paused) {
		later = fleet_event_add(f, e->at + 10, e->to);
		later->from = e->from;
		later->len = e->len;
		later->data = g_steal_pointer(&e->data);
		return;
	}
	if (e->len > 0)
		fleet_deliver(n, e);
	fleet_tick(n);
}

void
fleet_run(struct fleet *f, msec span)
{
	msec end = f->now + span;
	struct fleet_event *e;
	GTreeNode *first;

	while ((first = g_tree_node_first(f->events)) != NULL) {
		e = g_tree_node_key(first);
		if (e->at > end)
			break;
		g_tree_steal(f->events, e);
		f->now = e->at;
		fleet_happen(f, e);
		fleet_event_free(e);
	}
	f->now = end;
}

void
fleet_list_leaving(struct fleet *f, unsigned int i, bool leaving)
{
	unsigned int j;

	for (j = 0; j < f->nshown; j++) {
		if (strcmp(f->shown[j].name, f->nodes[i].name) == 0)
			f->shown[j].leaving = leaving;
	}
}

void
fleet_list_remove(struct fleet *f, unsigned int i)
{
	unsigned int j;

	for (j = 0; j < f->nshown; j++) {
		if (strcmp(f->shown[j].name, f->nodes[i].name) == 0)
			f->shown[j--] = f->shown[--f->nshown];
	}
}

struct member *
fleet_view(struct fleet *f, unsigned int a, unsigned int b)
{
	return members_find(&f->nodes[a].members, name_hash(f->nodes[b].name));
}

unsigned int
fleet_count(struct fleet *f, unsigned int b, enum member_state state)
{
	unsigned int a, count = 0;
	const struct member *m;

	for (a = 0; a < f->n; a++) {
		if (a == b || !f->nodes[a].up)
			continue;
		m = fleet_view(f, a, b);
		count += m != NULL && m->state == state;
	}
	return count;
}

unsigned int
fleet_up(const struct fleet *f)
{
	unsigned int i, up = 0;

	for (i = 0; i < f->n; i++)
		up += f->nodes[i].up;
	return up;
}

bool
fleet_agrees(struct fleet *f)
{
	const struct member *m;
	unsigned int a, b;

	for (a = 0; a < f->n; a++) {
		for (b = 0; b < f->n; b++) {
			if (a == b || !f->nodes[a].up)
				continue;
			m = fleet_view(f, a, b);
			if (!f->nodes[b].up) {
				if (m != NULL && m->state != MEMBER_DEAD)
					return false;
				continue;
			}
			if (m == NULL || m->state == MEMBER_DEAD ||
			    m->state == MEMBER_SUSPECT ||
			    m->incarnation != f->nodes[b].incarnation)
				return false;
		}
	}
	return true;
}

msec
fleet_run_until_agreed(struct fleet *f, msec span)
{
	msec start = f->now;

	while (f->now < start + span) {
		if (fleet_agrees(f))
			return f->now - start;
		fleet_run(f, 50);
	}
	return fleet_agrees(f) ? f->now - start : -1;
}

msec
fleet_run_until(
    struct fleet *f, unsigned int b, enum member_state state, msec span)
{
	unsigned int others = fleet_up(f) - (f->nodes[b].up ? 1 : 0);
	msec start = f->now;

	while (f->now < start + span) {
		if (fleet_count(f, b, state) == others)
			return f->now - start;
		fleet_run(f, 10);
	}
	return fleet_count(f, b, state) == others ? f->now - start : -1;
}
