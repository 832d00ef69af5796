/*
 * Distribution of records of poison requests between nodes; see poison.h. Not
 * related to share.c, which divides limits of organisations among nodes.
 */

#define LOG_PART "poison"
#include "poison-private.h"

#include <string.h>

#include <xxhash.h>

/* Number of times that a change is sent, as messages may be lost; interval. */
#define SHARE_TELLS 2
#define SHARE_AGAIN_MS 300
/* Delay after which the deputy broadcasts too, as the owner may have failed. */
#define SHARE_DEPUTY_MS 200
/*
 * Minimum interval between two broadcasts, per receiving node. A node that owns
 * many records takes longer to send them instead of using more bandwidth.
 */
#define SHARE_PER_NODE_MS 1
/* Interval of the periodic messages to a random node. */
#define SHARE_SYNC_MS 500

/* A message with the memory for its records. */
struct share_message {
	sp_msg msg;
	sp_poison_record records[SAVORY_POISONS_MAX];
	sp_poison_life lives[SAVORY_POISONS_MAX][SAVORY_LIVES_MAX];
};

static void
message_init(struct share_message *m)
{
	m->msg = (sp_msg){ .kind = SP_POISON_TELL };
	m->msg.sp_msg_u.poison_tell.list.list_val = m->records;
}

/* False: the message is full. */
static bool
message_add(struct share_message *m, const struct poison_record *r, msec now)
{
	u_int *n = &m->msg.sp_msg_u.poison_tell.list.list_len;

	if (*n == SAVORY_POISONS_MAX)
		return false;
	record_encode(r, now, &m->records[*n], m->lives[*n]);
	(*n)++;
	return true;
}

static void
message_send(struct poisons *p, struct share_message *m, name_id to)
{
	if (m->msg.sp_msg_u.poison_tell.list.list_len == 0 || to == p->self)
		return;
	p->counters.told += m->msg.sp_msg_u.poison_tell.list.list_len;
	p->ops->send(p, to, &m->msg);
}

/* ---- owners ---- */

static uint64_t
share_weight(struct poison_id id, name_id node)
{
	uint64_t words[3] = { id.high, id.low, node };

	return XXH64(words, sizeof words, 7);
}

/* The two nodes of greatest weight, except for one node. */
static void
share_first(const struct poisons *p, struct poison_id id, name_id but,
    name_id *owner, name_id *deputy)
{
	uint64_t weight, most = 0, second = 0;
	unsigned int i;

	*owner = *deputy = 0;
	for (i = 0; i < p->nnodes; i++) {
		if (!p->nodes[i].owns || p->nodes[i].id == but)
			continue;
		weight = share_weight(id, p->nodes[i].id);
		if (*owner == 0 || weight > most) {
			*deputy = *owner;
			second = most;
			*owner = p->nodes[i].id;
			most = weight;
		} else if (*deputy == 0 || weight > second) {
			*deputy = p->nodes[i].id;
			second = weight;
		}
	}
}

void
share_owners(const struct poisons *p, struct poison_id id, name_id *owner,
    name_id *deputy)
{
	share_first(p, id, 0, owner, deputy);
	if (*owner == 0)
		*owner = p->self;
}

/* Whether all nodes are to receive the record. */
static bool
record_is_wide(const struct poison_record *r)
{
	return r->wide || record_ends(r) > 1;
}

/* Set how many times a record is still to be sent, and when. */
static void
share_set(
    struct poisons *p, struct poison_record *r, unsigned int tells, msec at)
{
	p->untold += (tells > 0) - (r->tells > 0);
	r->tells = tells;
	r->tell_at = tells > 0 ? at : MSEC_NEVER;
}

void
share_forget(struct poisons *p, struct poison_record *r)
{
	share_set(p, r, 0, 0);
}

void
share_changed(struct poisons *p, msec now, struct poison_record *r, bool ours)
{
	name_id owner, deputy;

	share_owners(p, r->id, &owner, &deputy);
	if (ours || (p->self == owner && record_is_wide(r)))
		share_set(p, r, SHARE_TELLS, now);
	else if (p->self == deputy && record_is_wide(r))
		share_set(p, r, 1, now + SHARE_DEPUTY_MS);
}

/* Send a record; returns true if it was sent to all nodes. */
static bool
share_tell(struct poisons *p, msec now, struct poison_record *r)
{
	struct share_message m;
	name_id owner, deputy;
	bool wide = false;
	unsigned int i;

	share_owners(p, r->id, &owner, &deputy);
	message_init(&m);
	message_add(&m, r, now);
	if ((p->self == owner || p->self == deputy) && record_is_wide(r)) {
		wide = r->wide = true;
		for (i = 0; i < p->nnodes; i++)
			message_send(p, &m, p->nodes[i].id);
	} else {
		message_send(p, &m, owner);
		if (deputy != 0)
			message_send(p, &m, deputy);
	}
	share_set(p, r, r->tells - 1, now + SHARE_AGAIN_MS);
	return wide;
}

/* ---- periodic work ---- */

/* Send the next few records, in the order of their ids, to a random node. */
static void
share_sync(struct poisons *p, msec now)
{
	struct poison_record find = { .id = p->synced }, *r;
	struct share_message m;
	unsigned int left;

	p->next_sync = now + SHARE_SYNC_MS;
	if (TAILQ_EMPTY(&p->high) || p->nnodes < 2)
		return;
	message_init(&m);
	r = RB_NFIND(poison_records, &p->tree, &find);
	for (left = p->count; left > 0; left--) {
		if (r == NULL)
			r = RB_MIN(poison_records, &p->tree);
		if (record_is_wide(r) && !message_add(&m, r, now))
			break;
		r = RB_NEXT(poison_records, &p->tree, r);
	}
	p->synced = r != NULL ? r->id : (struct poison_id){ 0 };
	message_send(p, &m,
	    p->nodes[g_rand_int_range(p->rand, 0, (gint32)p->nnodes)].id);
}

/* Send the due records of a list; returns true after a broadcast. */
static bool
share_list(struct poisons *p, struct poison_ages *list, msec now)
{
	struct poison_record *r;

	TAILQ_FOREACH (r, list, age) {
		if (now >= r->tell_at && share_tell(p, now, r))
			return true;
	}
	return false;
}

void
share_tick(struct poisons *p, msec now)
{
	if (now >= p->next_sync)
		share_sync(p, now);
	if (p->untold == 0 || now < p->next_wide)
		return;
	if (share_list(p, &p->high, now) || share_list(p, &p->low, now))
		p->next_wide = now + p->nnodes * SHARE_PER_NODE_MS;
}

msec
share_due(const struct poisons *p, msec now)
{
	const struct poison_record *r;
	msec due = p->next_sync;

	if (p->count == 0)
		return MSEC_NEVER;
	if (p->untold == 0)
		return due;
	TAILQ_FOREACH (r, &p->high, age)
		due = MIN(due, r->tell_at);
	TAILQ_FOREACH (r, &p->low, age)
		due = MIN(due, r->tell_at);
	return MAX(due, p->next_wide);
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
share_node_came(struct poisons *p, msec now, name_id node)
{
	struct poison_record *r;
	struct share_message m;
	name_id owner, deputy;

	message_init(&m);
	RB_FOREACH (r, poison_records, &p->tree) {
		share_first(p, r->id, node, &owner, &deputy);
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
	struct poison_node *before = p->nodes;
	name_id *came = g_new(name_id, MAX(n, 1));
	unsigned int i, ncame = 0;

	for (i = 0; i < n && p->count > 0; i++) {
		if (list[i].id != p->self && node_is_new(p, &list[i]))
			came[ncame++] = list[i].id;
	}
	p->nodes = nodes;
	p->nnodes = n;
	g_free(before);
	for (i = 0; i < ncame; i++)
		share_node_came(p, now, came[i]);
	g_free(came);
}
