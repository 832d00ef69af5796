/*
 * Readiness and directory listeners: whether this node is ready, and which
 * nodes a caller should use. The directory names only nodes of the caller's
 * failure domain while at least two of them take work, so that the caller has
 * an alternative when one fails.
 */

#define LOG_PART "query"
#include "entry.h"

/*
 * Maximum number of nodes in an answer, and minimum number of nodes in the
 * caller's failure domain for an answer with only these.
 */
#define QUERY_NODES_MAX 64
#define QUERY_DOMAIN_NODES_MIN 2
/*
 * How long callers may cache an answer. Some cache it three times as long, so
 * callers stop using a stopping node after three times this value.
 */
#define QUERY_CACHE_MS 1000
/*
 * A stopping node accepts new callers for so long, if it has time to finish
 * their requests.
 */
#define QUERY_LEAVING_MS 3000

static void query_request(struct caller *, msec);
static void query_ignore(struct caller *, msec);

const struct caller_ops query_caller_ops = { query_request, query_ignore,
	query_ignore, "query" };

static void
query_ignore(struct caller *c, msec now)
{
}

/* A node reports a load of 1,000 permille when it takes no work. */
static bool
member_takes_work(const struct member *m)
{
	if (m->state != MEMBER_ALIVE || m->leaving || m->caller_port == 0)
		return false;
	return m->load_at == MSEC_NEVER || m->load_permille < 1000;
}

static void
query_collect(struct entry *e, const char *domain, GPtrArray *nodes, msec now)
{
	struct member *m;

	if (entry_is_ready(e, now) &&
	    (domain == NULL || g_strcmp0(domain, e->members.self.domain) == 0))
		g_ptr_array_add(nodes, &e->members.self);
	RB_FOREACH (m, member_tree, &e->members.tree) {
		if (member_takes_work(m) &&
		    (domain == NULL || g_strcmp0(domain, m->domain) == 0))
			g_ptr_array_add(nodes, m);
	}
}

static bool
node_has_path(struct entry *e, const struct member *m)
{
	if (m == &e->members.self)
		return !reach_is_cut(&e->reach.core);
	return m->load_at == MSEC_NEVER ||
	       m->load_permille < ENTRY_LOAD_NO_PATH;
}

/*
 * Leave out nodes without a path to the servers, as the others serve requests
 * directly. They are kept if too few others would be left for all callers.
 */
static void
query_drop_without_path(struct entry *e, GPtrArray *nodes)
{
	guint i, with_path = 0;

	for (i = 0; i < nodes->len; i++)
		with_path += node_has_path(e, nodes->pdata[i]);
	if (with_path < QUERY_DOMAIN_NODES_MIN || with_path * 2 < nodes->len)
		return;
	for (i = nodes->len; i-- > 0;) {
		if (!node_has_path(e, nodes->pdata[i]))
			g_ptr_array_remove_index_fast(nodes, i);
	}
}

/* Keep a random subset, drawn anew for each answer. */
static void
query_sample(struct entry *e, GPtrArray *nodes)
{
	guint at;

	while (nodes->len > QUERY_NODES_MAX) {
		at = (guint)g_rand_int_range(e->rand, 0, (gint32)nodes->len);
		g_ptr_array_remove_index_fast(nodes, at);
	}
}

/*
 * When no node takes work, as while the platform is unreachable for all, name
 * all live nodes: they still serve routes that need no API key.
 */
static void
query_collect_live(struct entry *e, GPtrArray *nodes)
{
	struct member *m;

	if (e->phase == ENTRY_SERVING)
		g_ptr_array_add(nodes, &e->members.self);
	RB_FOREACH (m, member_tree, &e->members.tree) {
		if (m->state == MEMBER_ALIVE && !m->leaving)
			g_ptr_array_add(nodes, m);
	}
}

/*
 * When all nodes are stopping, as when a small fleet is restarted, name those
 * that began to stop less than QUERY_LEAVING_MS ago: they still accept callers.
 * Without this, every second look-up failed and callers without an address were
 * not served.
 */
static void
query_collect_leaving(struct entry *e, GPtrArray *nodes, msec now)
{
	struct member *m;

	if (e->phase == ENTRY_LEAVING &&
	    now - e->leaving_since < QUERY_LEAVING_MS)
		g_ptr_array_add(nodes, &e->members.self);
	RB_FOREACH (m, member_tree, &e->members.tree) {
		if (m->state == MEMBER_LEAVING && m->caller_port != 0 &&
		    now - m->state_since < QUERY_LEAVING_MS)
			g_ptr_array_add(nodes, m);
	}
}

static void
query_directory(struct caller *c, const char *domain, msec now)
{
	struct entry *e = c->owner;
	g_autoptr(GPtrArray) nodes = g_ptr_array_new();
	struct buffer body = { 0 };

	query_collect(e, domain, nodes, now);
	if (nodes->len < QUERY_DOMAIN_NODES_MIN) {
		g_ptr_array_set_size(nodes, 0);
		query_collect(e, NULL, nodes, now);
	}
	query_drop_without_path(e, nodes);
	if (nodes->len == 0)
		query_collect_live(e, nodes);
	if (nodes->len == 0)
		query_collect_leaving(e, nodes, now);
	query_sample(e, nodes);
	if (nodes->len == 0) {
		caller_answer(
		    c, now, 503, "Retry-After: 1\r\n", "text/plain", "", true);
		return;
	}
	e->wire->directory(&body, (const struct member *const *)nodes->pdata,
	    nodes->len, QUERY_CACHE_MS);
	buffer_add(&body, "", 1);
	caller_answer(
	    c, now, 200, "", e->wire->content_type, buffer_bytes(&body), true);
	buffer_finish(&body);
}

static void
query_request(struct caller *c, msec now)
{
	struct entry *e = c->owner;
	char domain[NAME_SIZE];

	switch (e->wire->query(c->reader.head, domain, sizeof domain)) {
	case WIRE_QUERY_READY:
		caller_answer(c, now, entry_is_ready(e, now) ? 200 : 503, "",
		    "text/plain", "", true);
		break;
	case WIRE_QUERY_DIRECTORY:
		query_directory(c, domain, now);
		break;
	case WIRE_QUERY_UNKNOWN:
		caller_answer(c, now, 404, "", "text/plain", "", true);
		break;
	}
}
