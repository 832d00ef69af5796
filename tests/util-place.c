/*
 * Nodes that choose servers in virtual time; see util-place.h.
 */

#include "util-place.h"

#include <string.h>

static struct places_node *
node_of(struct place *p)
{
	return p->arg;
}

static void
net_send_message(struct place *p, name_id to, const sp_msg *msg)
{
	struct places_node *from = node_of(p);
	struct places *ps = from->ps;
	sp_place_wish *w;
	unsigned int i;

	ps->sent++;
	for (i = 0; i < ps->n && ps->nodes[i].id != to; i++)
		;
	if (i == ps->n || from->isolated || ps->nodes[i].isolated)
		return;
	g_assert_cmpuint(ps->nmessages, <, PLACES_MESSAGES_MAX);
	ps->messages[ps->nmessages] =
	    (struct places_message){ ps->now + ps->delay,
		    (unsigned int)(from - ps->nodes), i, *msg, { 0 } };
	if (msg->kind == SP_PLACE_ASK || msg->kind == SP_PLACE_TOOK) {
		w = msg->kind == SP_PLACE_ASK
			? &ps->messages[ps->nmessages]
			       .msg.sp_msg_u.place_ask.wish
			: &ps->messages[ps->nmessages]
			       .msg.sp_msg_u.place_took.wish;
		memcpy(ps->messages[ps->nmessages].avoid, w->avoid.avoid_val,
		    w->avoid.avoid_len * sizeof(u_quad_t));
		w->avoid.avoid_val = ps->messages[ps->nmessages].avoid;
	}
	ps->nmessages++;
}

static void
node_decided(
    struct place *p, struct place_request *r, struct server *v, msec now)
{
	struct places_node *n = node_of(p);

	n->decided++;
	n->last = v;
	n->decided_at = now;
	if (n->ps->decided != NULL)
		n->ps->decided(r, v);
}

static const struct place_ops ops = { net_send_message, node_decided };

static void
server_changed(struct servers *s, struct server *v)
{
}

static const struct server_ops server_ops = { server_changed, server_changed };

/* Gives a node its current membership. */
static void
node_set_members(struct places_node *to)
{
	struct places *ps = to->ps;
	struct place_node list[PLACES_NODES_MAX];
	unsigned int i, n = 0;

	for (i = 0; i < ps->n; i++) {
		if (ps->nodes[i].isolated ||
		    (ps->nodes[i].rejoining && (to - ps->nodes) % 2 == 1 &&
			&ps->nodes[i] != to))
			continue;
		list[n++] =
		    (struct place_node){ ps->nodes[i].id, !ps->nodes[i].leaving,
			    ps->now - ps->nodes[i].started_at, false };
	}
	place_set_nodes(&to->place, ps->now, list, n);
}

void
places_set_members(struct places *ps)
{
	unsigned int i;

	for (i = 0; i < ps->n; i++) {
		if (!ps->nodes[i].isolated)
			node_set_members(&ps->nodes[i]);
	}
}

void
places_restart_node(struct places_node *n)
{
	struct places *ps = n->ps;
	struct server *v;

	place_finish(&n->place);
	memset(&n->servers.memory, 0, sizeof n->servers.memory);
	memset(&n->servers.all_memory, 0, sizeof n->servers.all_memory);
	RB_FOREACH (v, server_tree, &n->servers.tree)
		v->own = v->all = (struct server_load){ 0 };
	place_init(&n->place, &ops, &n->servers, n->id, "d", ps->rand);
	n->place.arg = n;
	n->started_at = ps->now;
	n->isolated = false;
	n->rejoining = true;
}

void
places_start(struct places *ps, unsigned int n, unsigned int servers)
{
	char name[16];
	unsigned int i, j;

	ps->rand = g_rand_new_with_seed(1);
	ps->n = n;
	ps->nmessages = 0;
	ps->now = 100000;
	ps->delay = 1;
	ps->decided = NULL;
	ps->sent = 0;
	for (i = 0; i < n; i++) {
		ps->nodes[i] = (struct places_node){ .ps = ps };
		g_snprintf(name, sizeof name, "n%u", i);
		ps->nodes[i].id = name_hash(name);
		servers_init(&ps->nodes[i].servers, &server_ops);
		for (j = 0; j < servers; j++) {
			struct server_entry e = { .name = name,
				.service = "svc",
				.domain = "d",
				.address = 1,
				.port = 1,
				.slots = 64 };

			g_snprintf(name, sizeof name, "s%u", j);
			servers_list(&ps->nodes[i].servers, 0, &e);
		}
		place_init(&ps->nodes[i].place, &ops, &ps->nodes[i].servers,
		    ps->nodes[i].id, "d", ps->rand);
		ps->nodes[i].place.arg = &ps->nodes[i];
	}
	places_set_members(ps);
}

void
places_stop(struct places *ps)
{
	unsigned int i;

	for (i = 0; i < ps->n; i++) {
		place_finish(&ps->nodes[i].place);
		servers_finish(&ps->nodes[i].servers);
	}
	g_rand_free(ps->rand);
}

void
places_run(struct places *ps, msec span)
{
	msec end = ps->now + span;
	struct places_message m;
	unsigned int i;

	for (; ps->now < end; ps->now++) {
		for (i = 0; i < ps->nmessages;) {
			if (ps->messages[i].due > ps->now) {
				i++;
				continue;
			}
			m = ps->messages[i];
			ps->messages[i] = ps->messages[--ps->nmessages];
			if (m.msg.kind == SP_PLACE_ASK)
				m.msg.sp_msg_u.place_ask.wish.avoid.avoid_val =
				    m.avoid;
			if (m.msg.kind == SP_PLACE_TOOK)
				m.msg.sp_msg_u.place_took.wish.avoid.avoid_val =
				    m.avoid;
			if (!ps->nodes[m.to].isolated)
				place_receive(&ps->nodes[m.to].place, ps->now,
				    ps->nodes[m.from].id, &m.msg);
		}
		for (i = 0; i < ps->n; i++)
			place_tick(&ps->nodes[i].place, ps->now);
	}
}

struct places_node *
places_coordinator(struct places *ps)
{
	struct places_node *best = NULL;
	unsigned int i, most = 0, all;
	struct server *v;

	for (i = 0; i < ps->n; i++) {
		all = 0;
		RB_FOREACH (v, server_tree, &ps->nodes[i].servers.tree)
			all += v->all.running;
		if (!ps->nodes[i].isolated && !ps->nodes[i].leaving &&
		    all > most) {
			best = &ps->nodes[i];
			most = all;
		}
	}
	g_assert_nonnull(best);
	return best;
}

unsigned int
places_coordinator_index(struct places *ps)
{
	struct place_request r;
	unsigned int i;
	bool at_once;

	for (i = 0; i < ps->n; i++) {
		places_fill_request(&r, 0, 100);
		ps->nodes[i].decided = 0;
		place_submit(&ps->nodes[i].place, ps->now, &r);
		at_once = ps->nodes[i].decided == 1;
		places_run(ps, 5);
		place_end(&ps->nodes[i].place, ps->now, &r, SERVER_NO_RESULT);
		ps->nodes[i].decided = 0;
		if (at_once)
			return i;
	}
	g_assert_not_reached();
}

void
places_fill_request(struct place_request *r, uint64_t prompt, unsigned int own)
{
	*r = (struct place_request){ 0 };
	r->wish.service = name_hash("svc");
	r->wish.route = 1;
	r->wish.gap_target = 1000;
	r->wish.prompt = prompt;
	r->wish.shared = prompt != 0 ? 13000 : 0;
	r->wish.own = own;
}

void
places_fill_last_tier(
    struct place_request *r, uint64_t prompt, unsigned int own)
{
	places_fill_request(r, prompt, own);
	r->wish.rank = 5;
	r->wish.target = 2500;
}

void
places_set_transfer(struct places *ps)
{
	const struct prompt_transfer t = { 18432, 370000, 557164 };
	unsigned int i;

	for (i = 0; i < ps->n; i++)
		place_set_transfer(&ps->nodes[i].place, name_hash("svc"), &t);
}
