/*
 * Connections to backend servers, with one request at a time on each. A
 * connection returns to its server's pool of idle connections only if the
 * answer was complete by its framing, no byte followed it, and the server keeps
 * the connection open.
 */

#define LOG_PART "link"
#include "entry-link-private.h"

#include <sys/socket.h>

#include <errno.h>
#include <string.h>

#include "keep.h"
#include "tcp-options.h"

struct link_pool *
link_pool_of(struct server *v)
{
	struct link_pool *p = v->arg;

	if (p == NULL) {
		p = v->arg = g_new0(struct link_pool, 1);
		TAILQ_INIT(&p->idle);
		TAILQ_INIT(&p->connecting);
		TAILQ_INIT(&p->busy);
	}
	return p;
}

void
link_set_list(struct link *k, struct link_list *list)
{
	if (k->list != NULL)
		TAILQ_REMOVE(k->list, k, entry);
	k->list = list;
	if (list != NULL)
		TAILQ_INSERT_HEAD(list, k, entry);
}

/* Remove an idle link from its server's pool. */
static void
link_remove_idle(struct link_pool *p, struct link *k)
{
	link_set_list(k, NULL);
	p->nidle--;
	k->owner->idle_links--;
}

void
link_free(struct link *k)
{
	struct entry *e = k->owner;
	struct server *v = k->server;

	link_give_up(k);
	link_set_list(k, NULL);
	loop_timer_stop(&e->loop, &k->timer);
	loop_close(&e->loop, &k->io);
	http_reader_finish(&k->reader);
	buffer_finish(&k->out);
	buffer_finish(&k->held);
	buffer_finish(&k->told);
	v->links--;
	g_free(k);
}

void
link_end(struct link *k, enum link_end how, msec now)
{
	if (k->job != NULL)
		k->ops->failed(k, how, now);
	link_free(k);
}

void
link_fail(struct link *k, msec now)
{
	if (link_ask_again(k, now))
		return;
	link_end(k, k->sent ? LINK_BROKEN : LINK_UNSENT, now);
}

bool
link_is_open(const struct link *k)
{
	char byte;

	return recv(k->io.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == -1 &&
	       errno == EAGAIN;
}

/* Take the idle link that was used last; NULL: none can be used. */
static struct link *
link_take_idle(struct entry *e, struct server *v, msec now)
{
	struct link_pool *p = link_pool_of(v);
	struct link *k, *next;

	TAILQ_FOREACH_SAFE (k, &p->idle, entry, next) {
		link_remove_idle(p, k);
		if (now - k->idle_since >= k->idle_limit || !link_is_open(k)) {
			link_free(k);
			continue;
		}
		e->counters.reused++;
		link_set_list(k, &p->busy);
		return k;
	}
	return NULL;
}

void
link_watch(struct link *k)
{
	uint32_t events = 0;

	if (k->paused == 0 && !k->ended)
		events |= EPOLLIN | EPOLLRDHUP;
	if (k->connecting ||
	    (buffer_length(&k->out) > 0 && k->proof_bytes == 0))
		events |= EPOLLOUT;
	loop_watch(&k->owner->loop, &k->io, events | EPOLLERR);
}

bool
link_flush(struct link *k)
{
	ssize_t n;

	while (buffer_length(&k->out) > 0) {
		n = send(k->io.fd, buffer_bytes(&k->out),
		    buffer_length(&k->out), MSG_NOSIGNAL);
		if (n == -1 && errno == EINTR)
			continue;
		if (n == -1 && errno == EAGAIN)
			break;
		if (n <= 0)
			return false;
		if (!k->asking && !k->sent)
			server_sign_sent(&k->server->sign, k->owner->loop.now);
		k->sent = !k->asking;
		k->owner->counters.request_bytes[k->domain] += (uint64_t)n;
		buffer_consume(&k->out, (size_t)n);
	}
	link_watch(k);
	return true;
}

struct link *
link_send(struct entry *e, struct server *v, struct job *j,
    const struct link_ops *ops, struct buffer *request,
    const struct link_terms *terms, msec now)
{
	struct link *k = link_take_idle(e, v, now);
	msec idle = k != NULL ? now - k->idle_since : 0;
	bool sent, patient = terms->once && link_leads_to_server(e, v);

	if (k == NULL && (k = link_connect(e, v, patient, now)) == NULL)
		return NULL;
	if (patient)
		link_set_patient(k);
	k->job = j;
	k->ops = ops;
	k->sent = false;
	k->paused = 0;
	k->paused_ms = 0;
	k->discarded = 0;
	k->held_bytes = 0;
	k->reader.for_head_request = terms->is_head;
	k->out = *request;
	*request = (struct buffer){ 0 };
	if ((terms->ask && !k->known) || terms->await_sign)
		link_hold_request(k, terms);
	/*
	 * A failure here is returned as NULL: the job cannot handle a callback
	 * before this function returns.
	 */
	if (k->connecting)
		loop_timer_set(&e->loop, &k->timer, now + ops->connect_timeout);
	if (!k->connecting) {
		loop_timer_stop(&e->loop, &k->timer);
		link_await_told(k, now);
		sent = keep_needs_proof(terms->once, idle)
			   ? link_begin_proof(k, now) || link_prove_anew(k, now)
			   : link_flush(k);
		if (!sent) {
			link_discard(k, now);
			return NULL;
		}
	}
	return k;
}

/* How many idle links to the server this node may keep. */
static unsigned int
link_idle_most(const struct entry *e, const struct server *v)
{
	const struct route_service *s =
	    e->table != NULL ? route_service_find(e->table, v->service) : NULL;

	return keep_idle_most(
	    s != NULL ? s->connection_limit : 0, e->place.max_nodes);
}

/* Close the links that have been idle the longest, beyond so many. */
static void
link_shrink_pool(struct link_pool *p, unsigned int most)
{
	struct link *k, *next;
	unsigned int i = 0;

	TAILQ_FOREACH_SAFE (k, &p->idle, entry, next) {
		if (i++ < most)
			continue;
		link_remove_idle(p, k);
		link_free(k);
	}
}

void
link_to_pool(struct link *k, msec now)
{
	struct link_pool *p = link_pool_of(k->server);
	struct wire_answer a;

	k->owner->wire->answer(k->reader.head, "", &a);
	k->idle_limit = keep_idle_ms(
	    a.keep_alive_timeout, link_idle_most(k->owner, k->server) == 0);
	k->idle_since = now;
	k->used = true;
	if (k->patient)
		tcp_set_unacked(k->io.fd, LINK_UNACKED_MS);
	k->patient = false;
	k->paused = 0;
	http_reader_reset(&k->reader);
	link_set_list(k, &p->idle);
	p->nidle++;
	k->owner->idle_links++;
	loop_timer_set(&k->owner->loop, &k->timer, now + k->idle_limit);
	link_watch(k);
	link_shrink_pool(p, MAX(link_idle_most(k->owner, k->server), 1));
}

void
link_ready(struct loop_io *io, uint32_t events)
{
	struct link *k = (struct link *)io;
	msec now = k->owner->loop.now;

	/* Any event on an idle connection means that it is unusable. */
	if (k->job == NULL) {
		server_doubt(k->server, now);
		link_remove_idle(link_pool_of(k->server), k);
		link_free(k);
		return;
	}
	if (k->ended) {
		link_ended_ready(k, events, now);
		return;
	}
	if (k->connecting) {
		if (!link_connected(k)) {
			link_fail(k, now);
			return;
		}
		link_await_told(k, now);
		if (k->ops->may_send(k, now) && !link_flush(k))
			link_fail(k, now);
		return;
	}
	/* No server answers a part of a head: the connection has ended. */
	if (k->proof_bytes > 0) {
		link_proof_failed(k, now);
		return;
	}
	/* Read first even on an error: a reset may follow a complete answer. */
	if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
		link_read(k, now);
		return;
	}
	if ((events & EPOLLOUT) && !link_flush(k))
		link_fail(k, now);
}

void
link_timer(struct loop_timer *t, msec now)
{
	struct link *k = t->arg;

	if (k->job == NULL) {
		link_remove_idle(link_pool_of(k->server), k);
		link_free(k);
	} else if (k->asking && !link_is_current(k)) {
		link_end(k, LINK_SERVER_LEAVING, now);
	} else if (k->asking && !k->connecting && !k->needs_known) {
		link_await_sign_on(k, now);
	} else if (k->connecting || k->asking) {
		if (!link_ask_again(k, now))
			link_end(k, LINK_CONNECT_TIMED_OUT, now);
	} else if (k->proof_bytes > 0) {
		link_check_proof(k, now);
	} else if (k->ended) {
		link_check_ended(k, now);
	} else if (k->held_bytes > 0) {
		link_check_held(k, now);
	}
}

void
link_cancel(struct link *k)
{
	k->job = NULL;
	/* While link_parse() parses bytes of this link, it frees the link. */
	if (k->owner->link_being_parsed != k)
		link_free(k);
}

void
link_pause(struct link *k, unsigned int why, bool paused)
{
	unsigned int before = k->paused;

	k->paused = paused ? before | why : before & ~why;
	if ((k->paused == 0) == (before == 0))
		return;
	if (k->paused != 0) {
		k->paused_at = k->owner->loop.now;
	} else {
		k->paused_ms += k->owner->loop.now - k->paused_at;
		k->resumed_turn = k->owner->loop.turn;
	}
	link_watch(k);
}

void
link_set_patient(struct link *k)
{
	if (!k->patient)
		tcp_set_unacked(k->io.fd, LINK_PATIENT_UNACKED_MS);
	k->patient = true;
}

void
link_close_idle(struct entry *e, struct server *v)
{
	struct link_pool *p = link_pool_of(v);
	struct link *k, *next;

	TAILQ_FOREACH_SAFE (k, &p->idle, entry, next) {
		link_remove_idle(p, k);
		link_free(k);
	}
}

void
link_close_stale(struct entry *e, struct server *v)
{
	struct link_pool *p = link_pool_of(v);
	struct link *k, *next;

	link_close_idle(e, v);
	/*
	 * The requests of these connections go to other servers, as no server
	 * is tried twice. Later requests may use the server's new process.
	 */
	TAILQ_FOREACH_SAFE (k, &p->connecting, entry, next) {
		if (!link_is_current(k))
			link_end(k, LINK_SERVER_LEAVING, e->loop.now);
	}
	TAILQ_FOREACH (k, &p->busy, entry) {
		if (!link_is_current(k))
			link_server_leaves(k, e->loop.now);
	}
}

void
link_pool_free(struct server *v)
{
	g_free(v->arg);
	v->arg = NULL;
}
