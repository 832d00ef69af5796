/*
 * The world of tests of poison requests; see util-poison.h.
 */

#include "util-poison.h"

#include <string.h>

/* The wall clock at the start of the world's. */
#define WALL_MS 1700000000000
#define WRITE_RETRY_MS 500

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

struct poison_id
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
	if (r->part != 0)
		return;
	if (r->poison != 0) {
		w->poisons_refused += refused;
		return;
	}
	w->wrongly += poison_is_condemned(&r->node->core, w->now, r->run.id);
	w->served += served;
	w->refused += refused;
	w->failed += !served && !refused;
}

static void
runs_end(struct request *r, msec now, bool broke)
{
	poison_run_end(&r->node->core, now, &r->part_run, broke);
	poison_run_end(&r->node->core, now, &r->run, broke);
}

/* It reaches a server. */
static void
request_send(struct world *w, struct request *r)
{
	struct seen *s = &w->poisons[r->poison];

	r->server = server_draw(w);
	r->attempts++;
	w->first_sent += r->poison == 0 && r->part == 0 && r->attempts == 1;
	if (r->server == NULL) {
		runs_end(r, w->now, false);
		request_over(w, r, false, false);
		return;
	}
	if (r->poison != 0 && s->third != 0 && w->now > s->third + STABLE_MS &&
	    !r->node->cut)
		s->later++;
	s = &w->parts[r->part];
	if (r->part != 0 && s->fifth != 0 && w->now > s->fifth + STABLE_MS &&
	    !r->node->cut)
		s->later++;
	r->begins = w->now + g_rand_int_range(w->rand, 20, 200);
	r->cleared = false;
	if (r->part != 0) {
		r->ends = r->begins + g_rand_int_range(w->rand, 30, 130);
		return;
	}
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

	w->held += v == POISON_HELD && r->poison == 0;
	if (v == POISON_SEND)
		request_go(w, r);
	else
		request_over(w, r, false, true);
}

static void
request_go(struct world *w, struct request *r)
{
	struct poison_id which;
	enum poison_verdict v;

	v = poison_ask_parts(
	    &r->node->core, w->now, &r->parts, &r->part_run, &which);
	if (v == POISON_SEND)
		v = poison_ask(&r->node->core, w->now, &r->run);
	if (v == POISON_SEND)
		request_send(w, r);
	else if (v != POISON_WAIT)
		request_over(w, r, false, true);
}

static bool
request_has_part(const struct request *r, struct poison_id id)
{
	unsigned int i;

	for (i = 0; i < r->parts.n; i++) {
		if (poison_id_equal(poison_part_id(r->parts.names[i]), id))
			return true;
	}
	return false;
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
		    r->server == NULL || (r->poison == 0 && r->part == 0) ||
		    !(poison_id_equal(r->run.id, id) ||
			request_has_part(r, id)))
			continue;
		runs_end(r, now, false);
		request_over(w, r, false, true);
	}
}

static void
node_cleared(struct poisons *p, struct poison_id id, msec now)
{
}

/* ---- the platform's store ---- */

msec
poison_world_wall(const struct world *w)
{
	return WALL_MS + w->now;
}

static void
node_unwritten(struct poisons *p, msec now)
{
	struct node *v = p->arg;
	char key[POISON_KEY_SIZE], *text;
	struct world *w = v->world;
	struct poison_id id;

	while (w->store != NULL && poisons_take_unwritten(p, now,
				       poison_world_wall(w), &id, &text)) {
		poison_key_print(id, key);
		w->writes++;
		w->written_bytes += sizeof key + (text ? strlen(text) : 0);
		if (v->store_cut) {
			poisons_write_again(p, id, now + WRITE_RETRY_MS);
			g_free(text);
		} else if (text != NULL) {
			g_hash_table_replace(w->store, g_strdup(key), text);
		} else {
			g_hash_table_remove(w->store, key);
		}
	}
}

void
poison_node_load(struct world *w, unsigned int i)
{
	gpointer key, text;
	GHashTableIter it;

	g_hash_table_iter_init(&it, w->store);
	while (g_hash_table_iter_next(&it, &key, &text))
		g_assert_true(poisons_load(&w->nodes[i].core, w->now,
		    poison_world_wall(w), key, text));
}

static const struct poison_ops node_ops = { node_send, node_decided,
	node_condemned, node_cleared, node_unwritten };

/* A part that ends servers stands at any place among the others. */
static void
request_draw_parts(struct world *w, struct request *r)
{
	uint64_t names[] = { PART_COMMON,
		PART_SOME +
		    (uint64_t)g_rand_int_range(w->rand, 0, PART_SOME_COUNT),
		PART_MANY +
		    (uint64_t)g_rand_int_range(w->rand, 0, PART_MANY_COUNT) };
	unsigned int i, place = (unsigned int)g_rand_int_range(w->rand, 0, 4);
	uint64_t drawn[G_N_ELEMENTS(names) + 1];
	unsigned int n = 0;

	for (i = 0; i <= G_N_ELEMENTS(names); i++) {
		if (i == place && r->part != 0)
			drawn[n++] = PART_DEADLY + r->part;
		if (i < G_N_ELEMENTS(names))
			drawn[n++] = names[i];
	}
	r->parts = poison_parts_make(drawn, n);
}

struct request *
poison_part_request_new(struct world *w, struct node *v, unsigned int part)
{
	struct request *r = g_new0(struct request, 1);

	r->node = v;
	r->part = part;
	r->run.arg = r->part_run.arg = r;
	r->run.id =
	    (struct poison_id){ 1 + g_rand_int(w->rand), g_rand_int(w->rand) };
	request_draw_parts(w, r);
	w->first += part == 0;
	g_ptr_array_add(w->requests, r);
	request_go(w, r);
	return r;
}

struct request *
poison_request_new(struct world *w, struct node *v, unsigned int poison)
{
	struct request *r;

	if (poison == 0 && w->has_parts)
		return poison_part_request_new(w, v, 0);
	r = g_new0(struct request, 1);
	r->node = v;
	r->poison = poison;
	r->run.arg = r->part_run.arg = r;
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

/* `by`: the request that ends it; NULL: it ends by itself. */
static void
server_end(struct world *w, struct server *v, const struct request *by)
{
	struct seen *s = &w->poisons[by != NULL ? by->poison : 0];
	uint64_t life = v->life;
	struct request *r;
	guint i, count = w->requests->len;

	if (++s->ended == POISON_ENDS)
		s->third = w->now;
	s = &w->parts[by != NULL ? by->part : 0];
	if (++s->ended == PART_BOUND_ENDS)
		s->fifth = w->now;
	v->back = w->now + SERVER_DOWN_MS;
	v->life = ++w->lives;
	for (i = 0; i < count; i++) {
		r = g_ptr_array_index(w->requests, i);
		if (r->done || r->server != v)
			continue;
		r->server = NULL;
		runs_end(r, w->now, true);
		poison_server_ended(&r->node->core, w->now, r->run.id, life);
		if (w->now < r->begins + BEGUN_MS)
			poison_parts_ended(&r->node->core, w->now, &r->parts,
			    life, w->now, SUSPECT_PARTS);
		poison_server_checked(&r->node->core, w->now, r->run.id);
		poison_server_checked(&r->node->core, w->now, r->part_run.id);
		if (r->attempts < ATTEMPTS)
			request_go(w, r);
		else
			request_over(w, r, false, false);
	}
}

void
poison_servers_end(struct world *w, unsigned int n)
{
	unsigned int i;

	for (i = 0; i < n; i++)
		if (w->servers[i].back <= w->now)
			server_end(w, &w->servers[i], NULL);
}

static void
servers_tick(struct world *w)
{
	unsigned int i;

	for (i = 0; i < w->servers_n && w->end_permille > 0; i++) {
		if (w->servers[i].back <= w->now &&
		    g_rand_int_range(w->rand, 0, 1000000) <
			(gint32)w->end_permille)
			server_end(w, &w->servers[i], NULL);
	}
}

static void
requests_tick(struct world *w)
{
	struct request *r;
	guint i;

	for (i = 0; i < w->requests->len; i++) {
		r = g_ptr_array_index(w->requests, i);
		if (r->done || r->server == NULL)
			continue;
		if (!r->cleared && w->now >= r->begins + BEGUN_MS) {
			r->cleared = true;
			poison_parts_answered(
			    &r->node->core, w->now, &r->parts, w->now);
		}
		if (w->now < r->ends)
			continue;
		if (r->poison != 0 || r->part != 0) {
			server_end(w, r->server, r);
			continue;
		}
		poison_answered(&r->node->core, w->now, r->run.id);
		poison_parts_answered(
		    &r->node->core, w->now, &r->parts, w->now);
		runs_end(r, w->now, false);
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
		if (!r->done || r->run.waiting || r->run.granted ||
		    r->part_run.waiting || r->part_run.granted)
			continue;
		poison_parts_drop(&r->parts);
		g_free(r);
		g_ptr_array_remove_index_fast(w->requests, i);
	}
}

/* ---- the world ---- */

void
poison_nodes_push(struct world *w)
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

void
poison_node_start(struct world *w, unsigned int i)
{
	struct node *v = &w->nodes[i];

	poisons_init(&v->core, &node_ops, 100 + i, w->rand);
	v->core.arg = v;
	v->world = w;
	v->incarnation++;
	v->down = false;
}

void
poison_node_kill(struct world *w, unsigned int i)
{
	struct node *v = &w->nodes[i];
	struct request *r;
	guint k;

	for (k = 0; k < w->requests->len; k++) {
		r = g_ptr_array_index(w->requests, k);
		if (r->node != v || r->done)
			continue;
		runs_end(r, w->now, false);
		request_over(w, r, false, false);
	}
	for (k = 0; k < w->requests->len; k++) {
		r = g_ptr_array_index(w->requests, k);
		if (r->node == v)
			runs_end(r, w->now, false);
	}
	poisons_finish(&v->core);
	v->down = true;
}

void
poison_world_init(
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
		poison_node_start(w, i);
	poison_nodes_push(w);
}

void
poison_world_finish(struct world *w)
{
	struct request *r;
	unsigned int i;
	guint k;

	for (k = 0; k < w->requests->len; k++) {
		r = g_ptr_array_index(w->requests, k);
		if (!r->node->down)
			runs_end(r, w->now, false);
	}
	for (i = 0; i < w->n; i++) {
		if (!w->nodes[i].down)
			poisons_finish(&w->nodes[i].core);
	}
	for (k = 0; k < w->requests->len; k++) {
		r = g_ptr_array_index(w->requests, k);
		poison_parts_drop(&r->parts);
		g_free(r);
	}
	g_ptr_array_unref(w->requests);
	mail_finish(&w->mail);
	g_clear_pointer(&w->store, g_hash_table_unref);
	g_rand_free(w->rand);
}

void
poison_world_run(struct world *w, msec span, unsigned int every,
    unsigned int poisons, unsigned int poison_every)
{
	msec until = w->now + span;
	double due = 0;
	unsigned int i;

	for (; w->now < until; w->now++) {
		mail_deliver(&w->mail, w->now, node_receive);
		requests_tick(w);
		servers_tick(w);
		if (every > 0 && w->now % every == 0)
			poison_request_new(w, node_draw(w), 0);
		due += w->burst;
		while (due >= 1) {
			poison_request_new(w, node_draw(w), 0);
			due -= 1;
		}
		for (i = 1; i <= poisons; i++) {
			if (w->now % poison_every == i * 37 % poison_every)
				poison_request_new(w, node_draw(w), i);
		}
		for (i = 1; i <= w->parts_n; i++) {
			if (w->now % w->part_every == i * 37 % w->part_every)
				poison_part_request_new(w, node_draw(w), i);
		}
		for (i = 0; i < w->n && w->now % 10 == 0; i++) {
			if (w->nodes[i].down)
				continue;
			poisons_tick(&w->nodes[i].core, w->now);
			node_unwritten(&w->nodes[i].core, w->now);
		}
		if (w->now % 100 == 0) {
			poison_nodes_push(w);
			requests_forget(w);
		}
	}
}

struct poison_parts
poison_test_parts(const uint64_t *names, unsigned int n)
{
	struct poison_parts parts = poison_parts_make(names, n);

	g_test_queue_destroy(
	    (GDestroyNotify)g_rc_box_release, (gpointer)parts.names);
	return parts;
}
