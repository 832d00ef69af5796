/*
 * What is done before a request is sent: a kept connection proves that it leads
 * to the server, and a server is asked which process it is, or whether it runs.
 */

#define LOG_PART "link"
#include "entry-link-private.h"

#include <sys/socket.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <string.h>

#include "keep.h"

/* A server that is asked what it says of itself answers at once. */
#define LINK_TOLD_MS 250

bool
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

bool
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

bool
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

bool
link_prove_anew(struct link *k, msec now)
{
	k->owner->counters.proofs_failed++;
	return link_reopen(k, now);
}

void
link_proof_failed(struct link *k, msec now)
{
	if (!link_is_current(k))
		link_end(k, LINK_SERVER_LEAVING, now);
	else if (!link_prove_anew(k, now))
		link_fail(k, now);
}

void
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

void
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

void
link_await_told(struct link *k, msec now)
{
	if (k->asking)
		loop_timer_set(&k->owner->loop, &k->timer, now + LINK_TOLD_MS);
}

bool
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

void
link_await_sign_on(struct link *k, msec now)
{
	if (link_ask_again(k, now))
		return;
	if (k->ops->may_leave == NULL || k->ops->may_leave(k, now))
		link_end(k, LINK_SILENT, now);
	else
		link_await_told(k, now);
}

void
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
