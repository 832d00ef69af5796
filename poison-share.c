/*
 * Distribution of records of poison requests between nodes; see poison.h. Not
 * related to share.c, which divides limits of organisations among nodes.
 */

#define LOG_PART "poison"
#include "poison-private.h"

#include <string.h>

#include <xxhash.h>

/* Number of times that a change is sent, as messages may be lost; interval. */
#define POISON_SENDS 2
#define POISON_RESEND_MS 300
/* Delay after which the deputy broadcasts too, as the owner may have failed. */
#define POISON_DEPUTY_DELAY_MS 200
/*
 * Minimum interval between two broadcasts, per receiving node. A node that owns
 * many records takes longer to send them instead of using more bandwidth.
 */
#define POISON_BROADCAST_PER_NODE_MS 1
/* Interval of the periodic messages to a random node. */
#define POISON_SYNC_MS 500

/* A message with the memory for its records. */
struct poison_message {
	sp_msg msg;
	sp_poison_record records[SAVORY_POISONS_MAX];
	sp_poison_life lives[SAVORY_POISONS_MAX][SAVORY_LIVES_MAX];
};

static void
message_init(struct poison_message *m)
{
	m->msg = (sp_msg){ .kind = SP_POISON_TELL };
	m->msg.sp_msg_u.poison_tell.list.list_val = m->records;
}

/* False: the message is full. */
static bool
message_add(struct poison_message *m, const struct poison_record *r, msec now)
{
	u_int *n = &m->msg.sp_msg_u.poison_tell.list.list_len;

	if (*n == SAVORY_POISONS_MAX)
		return false;
	record_encode(r, now, &m->records[*n], m->lives[*n]);
	(*n)++;
	return true;
}

static void
message_send(struct poisons *p, struct poison_message *m, name_id to)
{
	if (m->msg.sp_msg_u.poison_tell.list.list_len == 0 || to == p->self)
		return;
	p->counters.records_sent += m->msg.sp_msg_u.poison_tell.list.list_len;
	p->ops->send(p, to, &m->msg);
}

void
poison_share_reply(
    struct poisons *p, msec now, struct poison_record *r, name_id to)
{
	struct poison_message m;

	message_init(&m);
	message_add(&m, r, now);
	message_send(p, &m, to);
}

static unsigned int
records_count(const struct poisons *p)
{
	return p->counts[POISON_KIND_REQUEST] + p->counts[POISON_KIND_PART];
}

/* Whether there may be records that all nodes are to receive. */
static bool
poisons_have_for_all(const struct poisons *p)
{
	unsigned int kind, level;

	for (kind = 0; kind < POISON_KINDS; kind++) {
		for (level = POISON_ENDED_MORE; level < POISON_LEVELS;
		     level++) {
			if (!TAILQ_EMPTY(&p->lists[kind][level]))
				return true;
		}
	}
	return false;
}

/* ---- owners ---- */

static uint64_t
poison_owner_weight(struct poison_id id, name_id node)
{
	uint64_t words[3] = { id.high, id.low, node };

	return XXH64(words, sizeof words, 7);
}

/* The two nodes of greatest weight, except for one node. */
static void
poison_choose_owners(const struct poisons *p, struct poison_id id,
    name_id except, name_id *owner, name_id *deputy)
{
	uint64_t weight, best_weight = 0, second_weight = 0;
	unsigned int i;

	*owner = *deputy = 0;
	for (i = 0; i < p->nnodes; i++) {
		if (!p->nodes[i].may_own || p->nodes[i].id == except)
			continue;
		weight = poison_owner_weight(id, p->nodes[i].id);
		if (*owner == 0 || weight > best_weight) {
			*deputy = *owner;
			second_weight = best_weight;
			*owner = p->nodes[i].id;
			best_weight = weight;
		} else if (*deputy == 0 || weight > second_weight) {
			*deputy = p->nodes[i].id;
			second_weight = weight;
		}
	}
}

void
poison_share_owners(const struct poisons *p, struct poison_id id,
    name_id *owner, name_id *deputy)
{
	poison_choose_owners(p, id, 0, owner, deputy);
	if (*owner == 0)
		*owner = p->self;
}

unsigned int
poison_share_least(const struct poison_record *r)
{
	return record_kind(r) == POISON_KIND_PART ? POISON_PART_BROADCAST_ENDS
						  : 2;
}

/* Whether all nodes are to receive the record. */
static bool
record_is_for_all(const struct poison_record *r)
{
	return r->broadcast || record_ends(r) >= poison_share_least(r);
}

/* Set how many times a record is still to be sent, and when. */
static void
poison_share_schedule(struct poisons *p, struct poison_record *r,
    unsigned int sends_left, msec at)
{
	p->nunsent += (sends_left > 0) - (r->sends_left > 0);
	r->sends_left = sends_left;
	r->send_at = sends_left > 0 ? at : MSEC_NEVER;
}

void
poison_share_cancel(struct poisons *p, struct poison_record *r)
{
	poison_share_schedule(p, r, 0, 0);
}

void
poison_share_changed(
    struct poisons *p, msec now, struct poison_record *r, bool seen_here)
{
	name_id owner, deputy;

	poison_share_owners(p, r->id, &owner, &deputy);
	if (seen_here || (p->self == owner && record_is_for_all(r)))
		poison_share_schedule(p, r, POISON_SENDS, now);
	else if (p->self == deputy && record_is_for_all(r))
		poison_share_schedule(p, r, 1, now + POISON_DEPUTY_DELAY_MS);
}

/* Send a record; returns true if it was sent to all nodes. */
static bool
poison_share_send(struct poisons *p, msec now, struct poison_record *r)
{
	struct poison_message m;
	name_id owner, deputy;
	bool broadcast = false;
	unsigned int i;

	poison_share_owners(p, r->id, &owner, &deputy);
	message_init(&m);
	message_add(&m, r, now);
	if ((p->self == owner || p->self == deputy) && record_is_for_all(r)) {
		broadcast = r->broadcast = true;
		for (i = 0; i < p->nnodes; i++)
			message_send(p, &m, p->nodes[i].id);
	} else {
		message_send(p, &m, owner);
		if (deputy != 0)
			message_send(p, &m, deputy);
	}
	poison_share_schedule(p, r, r->sends_left - 1, now + POISON_RESEND_MS);
	return broadcast;
}

/* ---- periodic work ---- */

/* Send the next few records, in the order of their ids, to a random node. */
static void
poison_share_sync(struct poisons *p, msec now)
{
	struct poison_record find = { .id = p->sync_from }, *r;
	struct poison_message m;
	unsigned int left;

	p->next_sync = now + POISON_SYNC_MS;
	if (p->nnodes < 2 || !poisons_have_for_all(p))
		return;
	message_init(&m);
	r = RB_NFIND(poison_records, &p->tree, &find);
	for (left = records_count(p); left > 0; left--) {
		if (r == NULL)
			r = RB_MIN(poison_records, &p->tree);
		if (record_is_for_all(r) && !message_add(&m, r, now))
			break;
		r = RB_NEXT(poison_records, &p->tree, r);
	}
	p->sync_from = r != NULL ? r->id : (struct poison_id){ 0 };
	message_send(p, &m,
	    p->nodes[g_rand_int_range(p->rand, 0, (gint32)p->nnodes)].id);
}

/* Send the due records of a list; returns true after a broadcast. */
static bool
poison_share_send_due(struct poisons *p, struct poison_ages *list, msec now)
{
	struct poison_record *r;

	TAILQ_FOREACH (r, list, age) {
		if (now >= r->send_at && poison_share_send(p, now, r))
			return true;
	}
	return false;
}

void
poison_share_tick(struct poisons *p, msec now)
{
	unsigned int kind, level;

	if (now >= p->next_sync)
		poison_share_sync(p, now);
	if (p->nunsent == 0 || now < p->next_broadcast)
		return;
	for (level = POISON_LEVELS; level-- > 0;) {
		for (kind = 0; kind < POISON_KINDS; kind++) {
			if (!poison_share_send_due(
				p, &p->lists[kind][level], now))
				continue;
			p->next_broadcast =
			    now + p->nnodes * POISON_BROADCAST_PER_NODE_MS;
			return;
		}
	}
}

msec
poison_share_next(const struct poisons *p, msec now)
{
	const struct poison_record *r;
	unsigned int kind, level;
	msec due = p->next_sync;

	if (records_count(p) == 0)
		return MSEC_NEVER;
	if (p->nunsent == 0)
		return due;
	for (kind = 0; kind < POISON_KINDS; kind++) {
		for (level = 0; level < POISON_LEVELS; level++) {
			TAILQ_FOREACH (r, &p->lists[kind][level], age)
				due = MIN(due, r->send_at);
		}
	}
	return MAX(due, p->next_broadcast);
}

/* ---- nodes ---- */

/* Whether a node is new or has restarted. */
static bool
node_is_new(const struct poisons *p, const struct poison_node *n)
{
	unsigned int i;

	for (i = 0; i < p->nnodes; i++) {
		if (p->nodes[i].id == n->id)
			return p->nodes[i].incarnation != n->incarnation;
	}
	return true;
}

/*
 * Send records to a new node. They are sent by the owner and the deputy,
 * computed without the new node.
 */
static void
poison_share_send_to_new(struct poisons *p, msec now, name_id node)
{
	struct poison_record *r;
	struct poison_message m;
	name_id owner, deputy;

	message_init(&m);
	RB_FOREACH (r, poison_records, &p->tree) {
		poison_choose_owners(p, r->id, node, &owner, &deputy);
		if ((p->self != owner && p->self != deputy) ||
		    record_ends(r) == 0)
			continue;
		if (!message_add(&m, r, now)) {
			message_send(p, &m, node);
			message_init(&m);
			message_add(&m, r, now);
		}
	}
	message_send(p, &m, node);
}

void
poisons_set_nodes(
    struct poisons *p, msec now, const struct poison_node *list, unsigned int n)
{
	struct poison_node *nodes = g_memdup2(list, n * sizeof *list);
	struct poison_node *old_nodes = p->nodes;
	name_id *added = g_new(name_id, MAX(n, 1));
	unsigned int i, nadded = 0;

	for (i = 0; i < n && records_count(p) > 0; i++) {
		if (list[i].id != p->self && node_is_new(p, &list[i]))
			added[nadded++] = list[i].id;
	}
	p->nodes = nodes;
	p->nnodes = n;
	g_free(old_nodes);
	for (i = 0; i < nadded; i++)
		poison_share_send_to_new(p, now, added[i]);
	g_free(added);
}
