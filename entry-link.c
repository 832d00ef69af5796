/*
 * Connections to backend servers, with one request at a time on each. A
 * connection returns to its server's pool of idle connections only if the
 * answer was complete by its framing, no byte followed it, and the server keeps
 * the connection open.
 */

#define LOG_PART "link"
#include "entry.h"

#include <sys/socket.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include "keep.h"
#include "tcp-options.h"

#define LINK_READ 65536
#define LINK_HEAD_MAX 65536
#define LINK_BODY_MAX ((uint64_t)1 << 40)
/*
 * Bytes of interim answers, and of late ones to others, that one request reads
 * past.
 */
#define LINK_DISCARD_MAX (1024 * 1024)
/* A server that is asked what it says of itself answers at once. */
#define LINK_TOLD_MS 250
/* Longest answer of a server that is asked what it says of itself. */
#define LINK_TOLD_MAX (64 * 1024)
/* Sent bytes unacknowledged for so long: the network path is lost. */
#define LINK_UNACKED_MS 1500
/*
 * A server whose answer has ended takes the rest of the request within this
 * time, or has broken off; and how often that is looked at.
 */
#define LINK_TAKE_MS (2 * MSEC_SECOND)
#define LINK_TAKE_CHECK_MS 5
/*
 * As a server leaves: no byte more of a request is acknowledged for so long, so
 * it is withdrawn; and of one that no other server can take over. A lost packet
 * is repeated within the first.
 */
#define LINK_HELD_MS 300
#define LINK_HELD_PATIENT_MS 800
/* Idle time of a connection before its server is probed, in s. */
#define LINK_KEEPALIVE_S 1
/*
 * The same of a request that no other server can take over, as it may run only
 * once or there is none. A sound server may be silent for seconds.
 */
#define LINK_PATIENT_UNACKED_MS (15 * MSEC_SECOND)

static unsigned char link_input[LINK_READ];

static void link_ready(struct loop_io *, uint32_t);
static void link_timer(struct loop_timer *, msec);
static bool link_ask_again(struct link *, msec);

static struct link_pool *
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

/* Move the link to another list of its server's pool; NULL: to none. */
static void
link_set_list(struct link *k, struct link_list *list)
{
	if (k->list != NULL)
		TAILQ_REMOVE(k->list, k, entry);
	k->list = list;
	if (list != NULL)
		TAILQ_INSERT_HEAD(list, k, entry);
}

static void
link_answer_body(struct http_reader *r, const char *bytes, size_t n)
{
	struct link *k = r->arg;

	if (k->asking) {
		if (!k->discard_answer &&
		    buffer_length(&k->told) + n <= LINK_TOLD_MAX)
			buffer_add(&k->told, bytes, n);
		return;
	}
	if (!k->discard_answer && k->job != NULL)
		k->ops->body(k, bytes, n, k->owner->loop.now);
}

/* Remove an idle link from its server's pool. */
static void
link_remove_idle(struct link_pool *p, struct link *k)
{
	link_set_list(k, NULL);
	p->nidle--;
	k->owner->idle_links--;
}

int64_t
link_unacknowledged(const struct link *k)
{
	return tcp_unacknowledged(k->io.fd);
}

/*
 * Guards against a request that was given up and runs later: after an orderly
 * close this host would go on sending what is unacknowledged. Where nothing is,
 * an orderly close is better, as it is repeated until it arrives.
 */
static void
link_give_up(struct link *k)
{
	struct entry_counters *c = &k->owner->counters;

	if (!k->sent || k->reader.stage == HTTP_STAGE_COMPLETE)
		return;
	if (link_unacknowledged(k) == 0) {
		c->given_up_taken++;
		return;
	}
	c->given_up_held++;
	tcp_set_reset(k->io.fd);
}

/* The link must not be in the pool. */
static void
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

static void
link_end(struct link *k, enum link_end how, msec now)
{
	if (k->job != NULL)
		k->ops->failed(k, how, now);
	link_free(k);
}

/* End the attempt without a complete answer and free the link. */
static void
link_fail(struct link *k, msec now)
{
	if (link_ask_again(k, now))
		return;
	link_end(k, k->sent ? LINK_BROKEN : LINK_UNSENT, now);
}

/* ---- connecting and sending ---- */

static bool
link_bind_outgoing(const struct entry *e, int fd)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int on = 1;

	if (e->settings->outgoing_address == 0)
		return true;
	sin.sin_addr.s_addr = htonl(e->settings->outgoing_address);
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
	return bind(fd, (struct sockaddr *)&sin, sizeof sin) == 0;
}

int
link_open_socket(struct entry *e, uint32_t address, uint16_t port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int fd, error;

	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd == -1 || !link_bind_outgoing(e, fd)) {
		error = errno;
		log_warn("cannot create a socket: %s", g_strerror(error));
		if (fd != -1)
			close(fd);
		errno = error;
		return -1;
	}
	tcp_set_options(fd, LINK_KEEPALIVE_S, LINK_UNACKED_MS);
	sin.sin_addr.s_addr = htonl(address);
	sin.sin_port = htons(port);
	if (connect(fd, (struct sockaddr *)&sin, sizeof sin) == 0 ||
	    errno == EINPROGRESS)
		return fd;
	error = errno;
	close(fd);
	errno = error;
	return -1;
}

/* A backend server, not another node. */
static bool
link_leads_to_server(struct entry *e, const struct server *v)
{
	return servers_find(&e->servers, v->id) == v;
}

/* Opens a socket to the link's server and waits for the connection. */
static bool
link_begin_connect(struct link *k)
{
	struct entry *e = k->owner;
	struct server *v = k->server;
	int fd = link_open_socket(e, v->address, v->port);

	k->io = (struct loop_io){ link_ready, fd, 0 };
	if (fd == -1) {
		k->connect_refused = errno == ECONNREFUSED;
		server_doubt(v, e->loop.now);
		return false;
	}
	if (k->patient)
		tcp_set_unacked(fd, LINK_PATIENT_UNACKED_MS);
	k->starts = v->starts;
	k->known = false;
	k->connecting = true;
	link_set_list(k, &link_pool_of(v)->connecting);
	e->counters.connects++;
	return loop_watch(&e->loop, &k->io, EPOLLOUT);
}

/* No connection can be begun, and the attempt has no link yet: free it. */
static void
link_discard(struct link *k, msec now)
{
	struct server *v = k->server;

	if (k->connect_refused && link_leads_to_server(k->owner, v))
		entry_poison_connection_refused(k->owner, v, now);
	k->job = NULL;
	link_free(k);
}

/* A node adds fields to the answer that it passes on. */
static void
link_init_reader(struct link *k)
{
	bool node = !link_leads_to_server(k->owner, k->server);

	http_reader_init(&k->reader, false,
	    LINK_HEAD_MAX + (node ? HANDOFF_HEAD_BYTES : 0), LINK_BODY_MAX,
	    link_answer_body, k);
	if (node)
		k->reader.fields_max = HTTP_FIELDS_MAX_NODES;
}

static struct link *
link_connect(struct entry *e, struct server *v, bool patient, msec now)
{
	struct link *k = g_new0(struct link, 1);

	k->owner = e;
	k->server = v;
	k->patient = patient;
	k->domain = strcmp(v->domain, e->settings->domain) == 0
			? NET_OWN_DOMAIN
			: NET_OTHER_DOMAIN;
	v->links++;
	link_init_reader(k);
	loop_timer_init(&k->timer, link_timer, k);
	if (!link_begin_connect(k)) {
		link_discard(k, now);
		return NULL;
	}
	return k;
}

/*
 * Has the server left an idle connection open? A close may have arrived that
 * the loop has not processed in this turn. A request sent after it cannot be
 * retried if it may run only once, and its caller would get 502. No data is
 * expected on an idle connection, so anything readable means that it is
 * unusable.
 */
static bool
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

static void
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

/* False when the link failed. */
static bool
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

/* ---- proving a kept connection ---- */

/*
 * Does the link lead to the server's current process, which accepts work? Other
 * connections are neither kept nor waited for: the request would go to a
 * stopping process, or to the next user of its address.
 */
static bool
link_is_current(const struct link *k)
{
	return server_takes_work(k->server, k->owner->loop.now) &&
	       k->starts == k->server->starts;
}

/* Length of the request's head without its last byte. */
static size_t
link_head_part(const struct buffer *out)
{
	const char *bytes = buffer_bytes(out);
	const char *end = memmem(bytes, buffer_length(out), "\r\n\r\n", 4);

	return end != NULL ? (size_t)(end - bytes) + 3 : 0;
}

/* Has the server's host received all that was sent? */
static bool
link_is_confirmed(const struct link *k)
{
	return link_unacknowledged(k) == 0;
}

/* Mean round trip to the server's host, in ms; 0: not known. */
static msec
link_round_trip(const struct link *k)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof info;

	if (getsockopt(k->io.fd, IPPROTO_TCP, TCP_INFO, &info, &len) == -1)
		return 0;
	return (info.tcpi_rtt + 999) / 1000;
}

/*
 * Send the head without its last byte: a server cannot run it, so the request
 * may go elsewhere if the connection turns out to be dead. The last byte sent
 * is a segment of its own, as hosts delay the acknowledgement of a single one
 * for 40 ms. False when nothing can be sent.
 */
static bool
link_begin_proof(struct link *k, msec now)
{
	const char *head = buffer_bytes(&k->out);
	size_t part = link_head_part(&k->out);
	ssize_t n, more;

	if (part < 2 || (n = send(k->io.fd, head, part - 1, MSG_NOSIGNAL)) <= 0)
		return false;
	more = send(k->io.fd, head + n, 1, MSG_NOSIGNAL);
	k->proof_bytes = (size_t)(n + MAX(more, 0));
	k->proof_since = now;
	link_watch(k);
	loop_timer_set(&k->owner->loop, &k->timer,
	    now + keep_proof_pause(0, link_round_trip(k)));
	return true;
}

/*
 * The connection is dead, and no server can have run what was sent on it:
 * connect again. False when that is not possible.
 */
static bool
link_reopen(struct link *k, msec now)
{
	struct entry *e = k->owner;

	k->proof_bytes = 0;
	k->used = false;
	loop_timer_stop(&e->loop, &k->timer);
	loop_close(&e->loop, &k->io);
	if (!link_begin_connect(k))
		return false;
	loop_timer_set(&e->loop, &k->timer, now + k->ops->connect_timeout);
	return true;
}

static bool
link_prove_anew(struct link *k, msec now)
{
	k->owner->counters.proofs_failed++;
	return link_reopen(k, now);
}

static void
link_proof_failed(struct link *k, msec now)
{
	if (!link_is_current(k))
		link_end(k, LINK_SERVER_LEAVING, now);
	else if (!link_prove_anew(k, now))
		link_fail(k, now);
}

static void
link_check_proof(struct link *k, msec now)
{
	struct entry *e = k->owner;
	msec pause = keep_proof_pause(now - k->proof_since, link_round_trip(k));

	if (!link_is_current(k)) {
		link_end(k, LINK_SERVER_LEAVING, now);
	} else if (link_is_open(k) && link_is_confirmed(k)) {
		buffer_consume(&k->out, k->proof_bytes);
		e->counters.request_bytes[k->domain] += k->proof_bytes;
		k->proof_bytes = 0;
		if (k->ops->may_send(k, now) && !link_flush(k))
			link_fail(k, now);
	} else if (pause == 0 || !link_is_open(k)) {
		link_proof_failed(k, now);
	} else {
		loop_timer_set(&e->loop, &k->timer, now + pause);
	}
}

/* ---- asking a server what it says of itself ---- */

static void
link_hold_request(struct link *k, const struct link_terms *terms)
{
	k->needs_known = terms->ask && !k->known;
	k->owner->counters.signs_asked += !k->needs_known;
	k->held = k->out;
	k->held_is_head = k->reader.for_head_request;
	k->out = (struct buffer){ 0 };
	k->reader.for_head_request = false;
	k->asking = true;
	k->owner->wire->probe(&k->out, true);
}

static void
link_await_told(struct link *k, msec now)
{
	if (k->asking)
		loop_timer_set(&k->owner->loop, &k->timer, now + LINK_TOLD_MS);
}

/* A kept connection may have been dead: ask on a new one. */
static bool
link_ask_again(struct link *k, msec now)
{
	if (!k->asking || !k->used)
		return false;
	http_reader_reset(&k->reader);
	buffer_finish(&k->told);
	buffer_finish(&k->out);
	k->owner->wire->probe(&k->out, true);
	k->timed_out = false;
	return link_reopen(k, now);
}

/* A process that only paused answers what it was asked as it goes on. */
static void
link_await_sign_on(struct link *k, msec now)
{
	if (link_ask_again(k, now))
		return;
	if (k->ops->may_leave == NULL || k->ops->may_leave(k, now))
		link_end(k, LINK_SILENT, now);
	else
		link_await_told(k, now);
}

/* The answer is complete: send the request on the same connection. */
static void
link_was_told(struct link *k, bool keep, msec now)
{
	bool good = k->reader.head->status == 200;

	loop_timer_stop(&k->owner->loop, &k->timer);
	/* Of a sign of life any answer is enough. */
	if (k->needs_known)
		good = k->ops->told(k, good ? buffer_bytes(&k->told) : NULL,
		    good ? buffer_length(&k->told) : 0, now);
	else
		good = link_is_current(k);
	buffer_finish(&k->told);
	k->asking = false;
	if (!good || (!keep && k->needs_known)) {
		link_end(k, LINK_SERVER_LEAVING, now);
		return;
	}
	http_reader_reset(&k->reader);
	k->reader.for_head_request = k->held_is_head;
	buffer_finish(&k->out);
	k->out = k->held;
	k->held = (struct buffer){ 0 };
	if (!keep) {
		if (!link_reopen(k, now))
			link_fail(k, now);
		return;
	}
	if (k->ops->may_send(k, now) && !link_flush(k))
		link_fail(k, now);
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

static bool
link_connected(struct link *k)
{
	int error = 0;
	socklen_t len = sizeof error;

	if (getsockopt(k->io.fd, SOL_SOCKET, SO_ERROR, &error, &len) == -1 ||
	    error != 0) {
		log_debug("cannot connect to %s: %s", k->server->name,
		    g_strerror(error));
		k->connect_refused = error == ECONNREFUSED;
		server_doubt(k->server, k->owner->loop.now);
		return false;
	}
	k->connecting = false;
	link_set_list(k, &link_pool_of(k->server)->busy);
	loop_timer_stop(&k->owner->loop, &k->timer);
	return true;
}

/* ---- answers ---- */

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

static void
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

/* The answer is complete; `rest` unexpected bytes follow it. */
static void
link_answer_complete(struct link *k, size_t rest, msec now)
{
	bool keep = k->reader.head->keep_alive &&
		    !k->reader.head->until_close && rest == 0 &&
		    buffer_length(&k->out) == 0 && link_is_current(k);

	if (k->asking) {
		link_was_told(k, keep, now);
		return;
	}
	keep = keep && k->owner->idle_links < KEEP_IDLE_ALL;
	keep = k->ops->complete(k, now) && keep;
	k->job = NULL;
	if (keep)
		link_to_pool(k, now);
	else
		link_free(k);
}

/*
 * The head of an answer is complete. A late extra answer to an earlier request
 * is recognised by the request id, read to its end and discarded. False when
 * the link cannot be used any more.
 */
static bool
link_answer_head(struct link *k, msec now)
{
	struct http_head *h = k->reader.head;

	/* After a 1xx status the final answer follows. */
	if (h->status < 200 || (!k->asking && !k->ops->head(k, h, now))) {
		k->discard_answer = true;
		k->owner->counters.strays += h->status >= 200;
		return !h->until_close;
	}
	k->discard_answer = false;
	return true;
}

/* False when a server sends too much that is not the answer. */
static bool
link_count_discarded(struct link *k, size_t n)
{
	if (k->discard_answer)
		k->discarded += n;
	return k->discarded <= LINK_DISCARD_MAX;
}

/* Parse bytes of an answer; may free the link. */
static void
link_parse(struct link *k, const char *bytes, size_t n, msec now)
{
	enum http_stage before;
	bool good = true;
	size_t took;

	k->owner->link_being_parsed = k;
	while (n > 0 && k->job != NULL) {
		before = k->reader.stage;
		took = http_reader_parse(&k->reader, bytes, n);
		bytes += took;
		n -= took;
		good = k->reader.stage != HTTP_STAGE_FAILED;
		if (good && before == HTTP_STAGE_HEAD &&
		    k->reader.stage >= HTTP_STAGE_BODY)
			good = link_answer_head(k, now);
		good = good && link_count_discarded(k, took);
		if (!good || k->job == NULL)
			break;
		if (k->reader.stage != HTTP_STAGE_COMPLETE)
			continue;
		if (!k->discard_answer)
			break;
		http_reader_reset(&k->reader);
	}
	k->owner->link_being_parsed = NULL;
	/* A callback may have cancelled this attempt. */
	if (k->job == NULL)
		link_free(k);
	else if (!good)
		link_fail(k, now);
	else if (k->reader.stage == HTTP_STAGE_COMPLETE)
		link_answer_complete(k, n, now);
}

/*
 * Guards against a part of a success that is passed on as whole: nothing but
 * the end of the connection ends it, and a server that has not taken the whole
 * request may go on to reset the connection.
 */
static bool
link_end_is_doubtful(const struct link *k)
{
	const struct http_head *h = k->reader.head;

	return h->until_close && h->status < 300 &&
	       (buffer_length(&k->out) > 0 || !link_is_confirmed(k));
}

static void
link_check_ended(struct link *k, msec now)
{
	if (!link_end_is_doubtful(k))
		link_answer_complete(k, 0, now);
	else if (now - k->ended_since >= LINK_TAKE_MS)
		link_fail(k, now);
	else
		loop_timer_set(
		    &k->owner->loop, &k->timer, now + LINK_TAKE_CHECK_MS);
}

/* The answer has ended: write the rest of the request. */
static void
link_ended_ready(struct link *k, uint32_t events, msec now)
{
	if ((events & (EPOLLERR | EPOLLHUP)) || !link_flush(k))
		link_fail(k, now);
	else
		link_check_ended(k, now);
}

static void
link_end_of_input(struct link *k, msec now)
{
	http_reader_close(&k->reader);
	if (k->reader.stage != HTTP_STAGE_COMPLETE || k->discard_answer) {
		link_fail(k, now);
		return;
	}
	if (!link_end_is_doubtful(k)) {
		link_answer_complete(k, 0, now);
		return;
	}
	k->ended = true;
	k->ended_since = now;
	link_watch(k);
	link_check_ended(k, now);
}

static void
link_read(struct link *k, msec now)
{
	ssize_t n;

	do {
		n = recv(k->io.fd, link_input,
		    entry_memory_read_size(k->owner, sizeof link_input), 0);
	} while (n == -1 && errno == EINTR);
	if (n == -1 && errno == EAGAIN)
		return;
	if (n <= 0)
		server_doubt(k->server, now);
	if (n == -1) {
		k->timed_out = errno == ETIMEDOUT;
		link_fail(k, now);
		return;
	}
	if (n == 0) {
		link_end_of_input(k, now);
		return;
	}
	k->owner->counters.answer_bytes[k->domain] += (uint64_t)n;
	if (k->starts == k->server->starts)
		server_sign_heard(&k->server->sign);
	link_parse(k, (const char *)link_input, (size_t)n, now);
}

static void
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

/* ---- a server that leaves ---- */

/* Bytes of the request that are on the way; 0: the host has taken all. */
static size_t
link_bytes_held(const struct link *k)
{
	int64_t unacknowledged = link_unacknowledged(k);

	if (!k->sent || k->ended || unacknowledged <= 0)
		return 0;
	return (size_t)unacknowledged + buffer_length(&k->out);
}

static void
link_check_held_later(struct link *k, msec now)
{
	loop_timer_set(&k->owner->loop, &k->timer,
	    now + (k->patient ? LINK_HELD_PATIENT_MS : LINK_HELD_MS));
}

/* Guards against a request that arrives long after its server has left. */
static void
link_check_held(struct link *k, msec now)
{
	size_t held = link_bytes_held(k);

	if (link_is_current(k) || held == 0) {
		k->held_bytes = 0;
	} else if (held < k->held_bytes) {
		k->held_bytes = held;
		link_check_held_later(k, now);
	} else {
		link_end(k, LINK_HELD, now);
	}
}

/* Its server takes no more work. The timers end it, on the next turn or later.
 */
static void
link_server_leaves(struct link *k, msec now)
{
	if (k->asking || k->proof_bytes > 0) {
		loop_timer_set(&k->owner->loop, &k->timer, now);
	} else if (k->held_bytes == 0) {
		k->held_bytes = link_bytes_held(k);
		if (k->held_bytes > 0)
			link_check_held_later(k, now);
	}
}

static void
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
