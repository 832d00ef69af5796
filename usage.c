/*
 * Counts of requests that began to run; see usage.h.
 */

#define LOG_PART "usage"
#include "usage.h"

#include <stdlib.h>
#include <string.h>

/* Interval at which changed counts are sent. */
#define USAGE_SEND_MS 500
/* Times that all counts of an ended window are sent, as datagrams get lost. */
#define USAGE_FINAL_SENDS 3
/* Change of the wall clock in one tick that counts as a jump. */
#define USAGE_JUMP_MS 100
/* Minimum clock difference that is corrected. */
#define USAGE_CLOCK_TOLERANCE_MS 150
/* Time for which a received clock reading is used. */
#define USAGE_CLOCK_TTL_MS (10 * MSEC_SECOND)
/* Minimum number of other clocks for a correction. */
#define USAGE_CLOCKS_MIN 3
/* Maximum plausible count of a process in a window. */
#define USAGE_COUNT_MAX 10000000

/* Counts of a window received from one process. */
struct usage_received {
	name_id node;
	uint64_t incarnation;
	bool last;	    /* the window had ended when it sent them */
	unsigned int total; /* total that it reported */
	unsigned int sum;   /* sum of the counts received */
	GHashTable *counts;
};

static void
received_free(void *p)
{
	struct usage_received *t = p;

	g_hash_table_unref(t->counts);
	g_free(t);
}

static GHashTable *
table_new(GDestroyNotify value_free)
{
	return g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, value_free);
}

static unsigned int
table_get(GHashTable *t, name_id id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(t, &id));
}

static void
table_set(GHashTable *t, name_id id, unsigned int n)
{
	g_hash_table_insert(t, g_memdup2(&id, sizeof id), GUINT_TO_POINTER(n));
}

/* ---- windows ---- */

static void
window_clear(struct usage_window *w)
{
	if (w->own != NULL) {
		g_hash_table_unref(w->own);
		g_hash_table_unref(w->dirty);
		g_hash_table_unref(w->nodes);
		g_hash_table_unref(w->previous_counts);
	}
	*w = (struct usage_window){ 0 };
}

static void
window_begin(struct usage_window *w, uint64_t number)
{
	window_clear(w);
	w->used = true;
	w->number = number;
	w->own = table_new(NULL);
	w->dirty = table_new(NULL);
	w->nodes = table_new(received_free);
	w->previous_counts = table_new(NULL);
}

static uint64_t
usage_number(const struct usage *u, msec now)
{
	return (uint64_t)(usage_true(u, now) / u->window);
}

/* Returns NULL for a window that is no longer kept or lies in the future. */
static struct usage_window *
usage_window(struct usage *u, msec now, uint64_t number)
{
	uint64_t current = usage_number(u, now);
	struct usage_window *w = &u->windows[number % u->nwindows];

	if (number > current + 1 || number + u->nwindows <= current)
		return NULL;
	/* A corrected clock may have gone back. */
	if (w->used && w->number > number)
		return NULL;
	if (!w->used || w->number < number)
		window_begin(w, number);
	return w;
}

void
usage_init(struct usage *u, const struct usage_ops *ops, msec window,
    msec lateness, msec now, msec wall)
{
	*u = (struct usage){ .ops = ops,
		.window = window,
		.raw_offset = wall - now,
		.offset = wall - now };
	u->clocks = table_new(g_free);
	if (window <= 0)
		return;
	/*
	 * The current one, the next (for fast clocks), and those not due yet.
	 */
	u->nwindows =
	    (unsigned int)CLAMP(lateness / window + 3, 4, USAGE_WINDOWS_MAX);
	u->windows = g_new0(struct usage_window, u->nwindows);
}

void
usage_finish(struct usage *u)
{
	unsigned int i;

	if (u->clocks == NULL)
		return;
	for (i = 0; i < u->nwindows; i++)
		window_clear(&u->windows[i]);
	g_free(u->windows);
	u->windows = NULL;
	g_hash_table_unref(u->clocks);
	u->clocks = NULL;
}

msec
usage_true(const struct usage *u, msec now)
{
	return now + u->offset;
}

void
usage_began(struct usage *u, msec now, name_id organisation)
{
	struct usage_window *w = usage_window(u, now, usage_number(u, now));

	if (w == NULL)
		return;
	w->total++;
	table_set(w->own, organisation, table_get(w->own, organisation) + 1);
	table_set(w->dirty, organisation, 1);
}

/* ---- sending counts ---- */

/* Sends the counts of the organisations in `which`, split into messages. */
static void
counts_send(struct usage *u, name_id to, sp_msg *msg, GHashTable *which,
    GHashTable *counts)
{
	sp_usage_counts *m = &msg->sp_msg_u.usage_counts;
	sp_usage_count list[SAVORY_COUNTS_MAX];
	GHashTableIter i;
	gpointer key;
	bool more;

	m->list.list_val = list;
	g_hash_table_iter_init(&i, which);
	more = g_hash_table_iter_next(&i, &key, NULL);
	do {
		m->list.list_len = 0;
		while (more && m->list.list_len < SAVORY_COUNTS_MAX) {
			list[m->list.list_len++] =
			    (sp_usage_count){ *(name_id *)key,
				    table_get(counts, *(name_id *)key) };
			more = g_hash_table_iter_next(&i, &key, NULL);
		}
		u->ops->send(u, to, msg);
	} while (more);
}

static void
window_send(struct usage *u, msec now, struct usage_window *w,
    GHashTable *which, name_id to, bool last)
{
	sp_msg msg = { .kind = SP_USAGE_COUNTS };
	sp_usage_counts *m = &msg.sp_msg_u.usage_counts;

	m->window = w->number;
	m->wall_ms = (uint64_t)(now + u->raw_offset);
	m->last = last;
	m->total = w->total;
	counts_send(u, to, &msg, which, w->own);
}

/*
 * Forwards all counts received to a new keeper: nodes that have since stopped
 * sent theirs only to the previous keepers.
 */
static void
usage_forward(struct usage *u, msec now, name_id to)
{
	sp_msg msg = { .kind = SP_USAGE_COUNTS };
	sp_usage_counts *m = &msg.sp_msg_u.usage_counts;
	struct usage_window *w;
	GHashTableIter it;
	gpointer value;
	unsigned int i;

	m->wall_ms = (uint64_t)(now + u->raw_offset);
	for (i = 0; i < u->nwindows; i++) {
		w = &u->windows[i];
		if (!w->used || w->decided)
			continue;
		g_hash_table_iter_init(&it, w->nodes);
		while (g_hash_table_iter_next(&it, NULL, &value)) {
			const struct usage_received *t = value;

			m->node = t->node;
			m->incarnation = t->incarnation;
			m->window = w->number;
			m->last = t->last;
			m->total = t->total;
			counts_send(u, to, &msg, t->counts, t->counts);
		}
	}
}

static void
usage_send_counts(struct usage *u, msec now)
{
	uint64_t current = usage_number(u, now);
	struct usage_window *w;
	unsigned int i, j;
	bool last;

	for (i = 0; i < u->nwindows; i++) {
		w = &u->windows[i];
		if (!w->used || w->number > current)
			continue;
		last = w->number < current;
		if (last ? w->final_sends == USAGE_FINAL_SENDS
			 : g_hash_table_size(w->dirty) == 0)
			continue;
		for (j = 0; j < u->nkeepers; j++)
			window_send(u, now, w, last ? w->own : w->dirty,
			    u->keepers[j], last);
		if (u->nkeepers == 0)
			continue;
		g_hash_table_remove_all(w->dirty);
		w->final_sends += last;
	}
}

static bool
usage_has_keeper(const struct usage *u, name_id id)
{
	unsigned int i;

	for (i = 0; i < u->nkeepers; i++) {
		if (u->keepers[i] == id)
			return true;
	}
	return false;
}

void
usage_set_keepers(
    struct usage *u, msec now, const name_id *keepers, unsigned int n)
{
	GHashTableIter it;
	unsigned int i;
	gpointer key;

	n = MIN(n, USAGE_KEEPERS_MAX);
	if (n == u->nkeepers &&
	    memcmp(keepers, u->keepers, n * sizeof *keepers) == 0)
		return;
	for (i = 0; i < n; i++) {
		if (!usage_has_keeper(u, keepers[i]))
			usage_forward(u, now, keepers[i]);
	}
	memcpy(u->keepers, keepers, n * sizeof *keepers);
	u->nkeepers = n;
	for (i = 0; i < u->nwindows; i++) {
		if (!u->windows[i].used)
			continue;
		u->windows[i].final_sends = 0;
		g_hash_table_iter_init(&it, u->windows[i].own);
		while (g_hash_table_iter_next(&it, &key, NULL))
			table_set(u->windows[i].dirty, *(name_id *)key, 1);
	}
}

/* Opens the window even without requests, so that a zero total is sent. */
static void
usage_open_window(struct usage *u, msec now)
{
	usage_window(u, now, usage_number(u, now));
}

/* ---- time ---- */

static int
compare_msec(const void *a, const void *b)
{
	msec x = *(const msec *)a, y = *(const msec *)b;

	return x < y ? -1 : x > y;
}

/*
 * Median of the leads of the nodes' clocks over the local one, which is
 * included with a lead of 0.
 */
static msec
usage_clock_lead_median(struct usage *u, msec now, unsigned int *n)
{
	struct usage_clock_reading *seen;
	GHashTableIter i;
	gpointer value;
	msec *all, median;

	all = g_new(msec, g_hash_table_size(u->clocks) + 1);
	*n = 0;
	all[(*n)++] = 0;
	g_hash_table_iter_init(&i, u->clocks);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		seen = value;
		if (now - seen->at > USAGE_CLOCK_TTL_MS)
			g_hash_table_iter_remove(&i);
		else
			all[(*n)++] = seen->ahead;
	}
	qsort(all, *n, sizeof *all, compare_msec);
	median = all[*n / 2];
	g_free(all);
	return median;
}

static void
usage_set_time(struct usage *u, msec offset)
{
	if (llabs(offset - u->offset) < USAGE_CLOCK_TOLERANCE_MS)
		return;
	log_info("time was off by %" G_GINT64_FORMAT " ms, corrected",
	    u->offset - offset);
	u->offset = offset;
	u->counters.corrections++;
}

/* A keeper, which receives many clocks, corrects those that differ. */
static void
usage_synchronise(struct usage *u, msec now)
{
	sp_msg msg = { .kind = SP_USAGE_TIME };
	GHashTableIter i;
	unsigned int n;
	gpointer key;
	msec median;

	median = usage_clock_lead_median(u, now, &n);
	if (n <= USAGE_CLOCKS_MIN)
		return;
	usage_set_time(u, u->raw_offset + median);
	if (median == 0)
		return;
	msg.sp_msg_u.usage_time.wall_ms = (uint64_t)usage_true(u, now);
	g_hash_table_iter_init(&i, u->clocks);
	while (g_hash_table_iter_next(&i, &key, NULL)) {
		struct usage_clock_reading *seen =
		    g_hash_table_lookup(u->clocks, key);

		if (llabs(seen->ahead - median) >= USAGE_CLOCK_TOLERANCE_MS)
			u->ops->send(u, *(name_id *)key, &msg);
	}
}

/* Sends the time to a node whose clock is off, also if the local is right. */
static void
usage_send_time(struct usage *u, msec now, name_id node, msec ahead)
{
	sp_msg msg = { .kind = SP_USAGE_TIME };
	unsigned int n;
	msec median = usage_clock_lead_median(u, now, &n);

	if (n <= USAGE_CLOCKS_MIN ||
	    llabs(ahead - median) < USAGE_CLOCK_TOLERANCE_MS)
		return;
	msg.sp_msg_u.usage_time.wall_ms = (uint64_t)usage_true(u, now);
	u->ops->send(u, node, &msg);
}

static void
usage_record_clock(struct usage *u, msec now, name_id node, msec wall)
{
	struct usage_clock_reading *seen = g_new(struct usage_clock_reading, 1);

	*seen = (struct usage_clock_reading){ now, wall - now - u->raw_offset };
	g_hash_table_insert(u->clocks, g_memdup2(&node, sizeof node), seen);
	usage_send_time(u, now, node, seen->ahead);
}

msec
usage_tick(struct usage *u, msec now, msec wall)
{
	msec raw_offset = wall - now;

	/* After a jump of the wall clock, follow the monotonic clock. */
	if (llabs(raw_offset - u->raw_offset) > USAGE_JUMP_MS) {
		u->counters.jumps += raw_offset != u->jumped_offset;
		u->jumped_offset = raw_offset;
	} else {
		u->offset += raw_offset - u->raw_offset;
		u->raw_offset = raw_offset;
	}
	usage_open_window(u, now);
	if (now >= u->next_send_at) {
		u->next_send_at = now + USAGE_SEND_MS;
		usage_synchronise(u, now);
		usage_send_counts(u, now);
	}
	return u->next_send_at;
}

/* ---- as a keeper ---- */

static bool
counts_are_valid(const sp_usage_counts *m)
{
	u_int i;

	for (i = 0; i < m->list.list_len; i++) {
		if (m->list.list_val[i].count > USAGE_COUNT_MAX)
			return false;
	}
	return m->total <= USAGE_COUNT_MAX;
}

static struct usage_received *
window_received(struct usage_window *w, name_id node, uint64_t incarnation)
{
	uint64_t key = node ^ (incarnation * 0x9e3779b97f4a7c15ULL);
	struct usage_received *t = g_hash_table_lookup(w->nodes, &key);

	if (t != NULL)
		return t;
	t = g_new0(struct usage_received, 1);
	t->node = node;
	t->incarnation = incarnation;
	t->counts = table_new(NULL);
	g_hash_table_insert(w->nodes, g_memdup2(&key, sizeof key), t);
	return t;
}

static void
usage_receive_counts(struct usage *u, msec now, name_id from,
    uint64_t incarnation, const sp_usage_counts *m)
{
	struct usage_window *w;
	struct usage_received *t;
	unsigned int had;
	u_int i;

	usage_record_clock(u, now, from, (msec)m->wall_ms);
	if (m->node != 0) {
		from = m->node;
		incarnation = m->incarnation;
	}
	w = usage_window(u, now, m->window);
	if (w == NULL || !counts_are_valid(m)) {
		log_debug("ignored counts of window %" G_GUINT64_FORMAT,
		    (guint64)m->window);
		u->counters.dropped++;
		return;
	}
	t = window_received(w, from, incarnation);
	t->last = t->last || m->last;
	t->total = MAX(t->total, m->total);
	for (i = 0; i < m->list.list_len; i++) {
		const sp_usage_count *c = &m->list.list_val[i];

		had = table_get(t->counts, c->organisation);
		if (c->count <= had)
			continue;
		t->sum += c->count - had;
		table_set(t->counts, c->organisation, c->count);
	}
}

void
usage_receive(struct usage *u, msec now, name_id from, uint64_t incarnation,
    const sp_msg *msg)
{
	if (msg->kind == SP_USAGE_COUNTS)
		usage_receive_counts(
		    u, now, from, incarnation, &msg->sp_msg_u.usage_counts);
	else if (msg->kind == SP_USAGE_TIME)
		usage_set_time(u, (msec)msg->sp_msg_u.usage_time.wall_ms - now);
}

/* ---- as the duty holder: totals of a window ---- */

static bool
window_is_whole(
    struct usage_window *w, const struct usage_process *p, unsigned int n)
{
	struct usage_received *t;
	unsigned int i;

	for (i = 0; i < n; i++) {
		t = window_received(w, p[i].node, p[i].incarnation);
		if (!t->last || t->sum < t->total)
			return false;
	}
	return true;
}

bool
usage_ended(struct usage *u, msec now, const struct usage_process *p,
    unsigned int n, uint64_t *number, msec *ago, bool *whole)
{
	uint64_t current = usage_number(u, now);
	struct usage_window *w, *oldest = NULL;
	unsigned int i;

	for (i = 0; i < u->nwindows; i++) {
		w = &u->windows[i];
		if (!w->used || w->decided || w->number >= current ||
		    w->number + u->nwindows <= current)
			continue;
		if (oldest == NULL || w->number < oldest->number)
			oldest = w;
	}
	if (oldest == NULL)
		return false;
	*number = oldest->number;
	*ago = usage_true(u, now) - (msec)(oldest->number + 1) * u->window;
	*whole = window_is_whole(oldest, p, n);
	return true;
}

/*
 * Takes the maximum of the received counts and the base of a previous holder,
 * plus the counts of processes that started after the base was recorded.
 */
GHashTable *
usage_sum(struct usage *u, uint64_t number)
{
	struct usage_window *w = &u->windows[number % u->nwindows];
	GHashTable *sum = table_new(NULL), *late = table_new(NULL);
	GHashTableIter i, j;
	gpointer value, org, count;

	if (!w->used || w->number != number)
		goto out;
	g_hash_table_iter_init(&i, w->nodes);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		struct usage_received *t = value;
		GHashTable *to =
		    w->previous_at != 0 &&
			    (msec)(t->incarnation / 1000) > w->previous_at
			? late
			: sum;

		g_hash_table_iter_init(&j, t->counts);
		while (g_hash_table_iter_next(&j, &org, &count))
			table_set(to, *(name_id *)org,
			    table_get(to, *(name_id *)org) +
				GPOINTER_TO_UINT(count));
	}
	g_hash_table_iter_init(&j, w->previous_counts);
	while (g_hash_table_iter_next(&j, &org, &count))
		table_set(sum, *(name_id *)org,
		    MAX(table_get(sum, *(name_id *)org),
			GPOINTER_TO_UINT(count)));
	g_hash_table_iter_init(&j, late);
	while (g_hash_table_iter_next(&j, &org, &count))
		table_set(sum, *(name_id *)org,
		    table_get(sum, *(name_id *)org) + GPOINTER_TO_UINT(count));
out:
	g_hash_table_unref(late);
	return sum;
}

void
usage_decided(struct usage *u, uint64_t number)
{
	struct usage_window *w = &u->windows[number % u->nwindows];

	if (w->used && w->number > number)
		return;
	if (!w->used || w->number < number)
		window_begin(w, number);
	w->decided = true;
}

void
usage_set_previous_count(struct usage *u, uint64_t number, msec wall,
    name_id organisation, unsigned int count)
{
	struct usage_window *w = &u->windows[number % u->nwindows];

	if (w->used && w->number > number)
		return;
	if (!w->used || w->number < number)
		window_begin(w, number);
	w->previous_at = wall;
	table_set(w->previous_counts, organisation, count);
}
