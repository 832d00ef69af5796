/*
 * Answers of backend servers.
 */

#define LOG_PART "link"
#include "entry-link-private.h"

#include <sys/socket.h>

#include <errno.h>

#include "keep.h"

#define LINK_READ 65536
/*
 * Bytes of interim answers, and of late ones to others, that one request reads
 * past.
 */
#define LINK_DISCARD_MAX (1024 * 1024)
/* Longest answer of a server that is asked what it says of itself. */
#define LINK_TOLD_MAX (64 * 1024)
/*
 * A server whose answer has ended takes the rest of the request within this
 * time, or has broken off; and how often that is looked at.
 */
#define LINK_TAKE_MS (2 * MSEC_SECOND)
#define LINK_TAKE_CHECK_MS 5

static unsigned char link_input[LINK_READ];

void
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

void
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

void
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

void
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
