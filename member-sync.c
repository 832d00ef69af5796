/*
 * Sync: pulls another member's full membership table, page by page. A starting
 * node pulls all pages in a row. Later, one page is pulled periodically to
 * repair updates that gossip did not deliver. The answering node keeps no state
 * between pages.
 */

#define LOG_PART "member"
#include "member-private.h"

#include <string.h>

static void
sync_send_request(struct members *, uint32_t, uint16_t, uint64_t, unsigned int);
static void
sync_send_page(struct members *, uint32_t, uint16_t, const sp_sync *);
static void sync_handle_page(
    struct members *, msec, name_id, uint32_t, uint16_t, const sp_sync_page *);
static struct member *sync_next_member(struct members *, uint64_t);

static void
sync_send_request(struct members *ms, uint32_t address, uint16_t port,
    uint64_t after, unsigned int limit)
{
	sp_msg msg;

	memset(&msg, 0, sizeof msg);
	msg.kind = SP_SYNC;
	msg.sp_msg_u.sync.after = after;
	msg.sp_msg_u.sync.limit = limit;
	ms->counters.syncs++;
	ms->ops->send(ms, address, port, &msg);
}

/* A random member of the VM list, of the own failure domain if wanted. */
static struct member *
sync_random_listed(struct members *ms, bool near)
{
	struct member *m, *found = NULL;
	gint32 n = 0;

	RB_FOREACH (m, member_tree, &ms->tree) {
		if (near && !member_is_near(ms, m))
			continue;
		if (g_rand_int_range(ms->priv->rand, 0, ++n) == 0)
			found = m;
	}
	return found;
}

/*
 * Every other sync is with a member of the own failure domain, as a whole table
 * is many pages. The others repair what this domain has missed.
 */
static struct member *
sync_choose_peer(struct members *ms)
{
	struct member_state_data *p = ms->priv;
	bool near = !p->sync_any;
	struct member *m;

	p->sync_any = near;
	m = near ? member_random_near(ms) : member_random_live(ms, 0);
	if (m != NULL || p->live > 0)
		return m;
	/* No member is live yet. */
	if (near && (m = sync_random_listed(ms, true)) != NULL)
		return m;
	return sync_random_listed(ms, false);
}

void
member_sync_start(struct members *ms, msec now)
{
	struct member_state_data *p = ms->priv;
	struct member *m;

	if ((m = sync_choose_peer(ms)) == NULL)
		return;
	p->sync_peer = m->id;
	sync_send_request(
	    ms, m->address, m->peer_port, p->sync_after, SAVORY_NEWS_MAX);
}

/*
 * Requests the update about the sender itself from an unknown sender, or from
 * an unknown incarnation of a member. At most MEMBER_UPDATE_REQUESTS_MAX per
 * probe period.
 */
void
member_request_update(
    struct members *ms, name_id from, uint32_t address, uint16_t port)
{
	if (ms->priv->update_requests_left == 0)
		return;
	ms->priv->update_requests_left--;
	sync_send_request(ms, address, port, from - 1, 1);
}

/* The member, or the local node, with the least id above `after`. */
static struct member *
sync_next_member(struct members *ms, uint64_t after)
{
	struct member find, *m;

	if (after == UINT64_MAX)
		return NULL;
	find.id = after + 1;
	m = RB_NFIND(member_tree, &ms->tree, &find);
	if (ms->self.id > after && (m == NULL || ms->self.id < m->id))
		return &ms->self;
	return m;
}

static void
sync_send_page(
    struct members *ms, uint32_t address, uint16_t port, const sp_sync *sync)
{
	struct member_state_data *p = ms->priv;
	unsigned int limit = MIN(sync->limit, SAVORY_NEWS_MAX), n = 0;
	size_t bytes = 0;
	struct member *m;
	uint64_t at = sync->after;
	sp_msg msg;

	while ((m = sync_next_member(ms, at)) != NULL && n < limit) {
		if (m->incarnation != 0) {
			bytes += sizeof(sp_news) + strlen(m->name) +
				 strlen(m->domain);
			if (bytes > MEMBER_UPDATES_BYTES + sizeof(sp_news))
				break;
			member_make_update(m, &p->out_updates[n++]);
		}
		at = m->id;
	}
	memset(&msg, 0, sizeof msg);
	msg.kind = SP_SYNC_PAGE;
	msg.sp_msg_u.sync_page.after = sync->after;
	msg.sp_msg_u.sync_page.last = m == NULL ? 0 : at;
	msg.sp_msg_u.sync_page.news.news_val = p->out_updates;
	msg.sp_msg_u.sync_page.news.news_len = n;
	ms->ops->send(ms, address, port, &msg);
}

static void
sync_handle_page(struct members *ms, msec now, name_id from, uint32_t address,
    uint16_t port, const sp_sync_page *page)
{
	struct member_state_data *p = ms->priv;
	u_int i;

	if (p->joining)
		p->transmissions_max = MEMBER_SYNCED_TRANSMISSIONS;
	for (i = 0; i < page->news.news_len; i++)
		member_merge_update(ms, now, &page->news.news_val[i]);
	p->transmissions_max = 0;
	/* The page may also be an answer to member_request_update(). */
	if (p->sync_peer != from || p->sync_after != page->after)
		return;
	p->sync_peer = 0;
	p->sync_after = page->last;
	if (page->last == 0) {
		p->joining = false;
		return;
	}
	if (!p->joining)
		return;
	p->sync_peer = from;
	sync_send_request(ms, address, port, page->last, SAVORY_NEWS_MAX);
}

void
member_sync_receive(struct members *ms, msec now, name_id from,
    uint32_t address, uint16_t port, const sp_msg *msg)
{
	if (msg->kind == SP_SYNC)
		sync_send_page(ms, address, port, &msg->sp_msg_u.sync);
	else
		sync_handle_page(
		    ms, now, from, address, port, &msg->sp_msg_u.sync_page);
}
