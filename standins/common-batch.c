/*
 * Continuous batching of the engine stand-in; see common-batch.h.
 */

#define LOG_PART "batch"
#include "common-batch.h"

#include "common-token.h"

#include <inttypes.h>
#include <poll.h>
#include <string.h>
#include <time.h>

#include <xxhash.h>

#define BATCH_USEC 1000000
#define BATCH_POLL_USEC 20000  /* between looks for closed connections */
#define BATCH_LATE_USEC 100000 /* a clock further behind is set anew */
#define BATCH_LOADS_KEPT 20000
#define BATCH_LOAD_STEP 2      /* ms between two kept loads */
#define BATCH_CACHED_SHARE 0.1 /* of the prefill, for a cached prefix */

static int64_t
usec_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * BATCH_USEC + ts.tv_nsec / 1000;
}

/* Load reports. */

static void
load_keep(struct batch *b)
{
	struct load *l = TAILQ_LAST(&b->loads, load_list);
	msec now = msec_now();

	if (l == NULL || now - l->when >= BATCH_LOAD_STEP) {
		l = g_new0(struct load, 1);
		l->when = now;
		TAILQ_INSERT_TAIL(&b->loads, l, entry);
		b->loads_count++;
	}
	l->running = b->running_count;
	l->waiting = b->waiting_count;
	l->tokens = b->tokens;
	if (b->loads_count <= BATCH_LOADS_KEPT)
		return;
	l = TAILQ_FIRST(&b->loads);
	TAILQ_REMOVE(&b->loads, l, entry);
	b->loads_count--;
	g_free(l);
}

static struct load
load_at(struct batch *b, msec when)
{
	static const struct load none;
	struct load *l;

	TAILQ_FOREACH_REVERSE (l, &b->loads, load_list, entry) {
		if (l->when <= when)
			return *l;
	}
	return none;
}

json_t *
batch_load_json(struct batch *b)
{
	struct load l = b->frozen;

	if (fault_value(b->server, "freeze_load") == 0)
		l = load_at(
		    b, msec_now() - (msec)fault_value(b->server, "lag_ms"));
	return json_pack("{s:I,s:I,s:I}", "running", (json_int_t)l.running,
	    "waiting", (json_int_t)l.waiting, "tokens", (json_int_t)l.tokens);
}

/* Executions by caller's id. */

struct user *
batch_user(struct batch *b, const char *name)
{
	struct user *u = g_hash_table_lookup(b->users, name);

	if (u != NULL)
		return u;
	u = g_new0(struct user, 1);
	g_hash_table_insert(b->users, g_strdup(name), u);
	return u;
}

/*
 * An execution counts once work begins, so a request that is cancelled while
 * it still waits inside has not run.
 */
void
stream_count_execution(const struct stream *s)
{
	struct batch *b = s->batch;

	b->executed++;
	if (s->first != 0 || s->user == NULL)
		return;
	if (++s->user->executions == 2)
		b->twice++;
}

/* Streams. */

bool
stream_held(const struct stream *s)
{
	return s->state == STREAM_WAITING || s->state == STREAM_RUNNING;
}

static void
stream_unlink(struct stream *s)
{
	struct batch *b = s->batch;

	if (s->state == STREAM_WAITING) {
		TAILQ_REMOVE(&b->waiting, s, entry);
		b->waiting_count--;
	} else if (s->state == STREAM_RUNNING) {
		TAILQ_REMOVE(&b->running, s, entry);
		b->running_count--;
	}
}

void
stream_end(struct stream *s, enum stream_state state)
{
	struct batch *b = s->batch;

	if (!stream_held(s))
		return;
	stream_unlink(s);
	s->state = state;
	if (state == STREAM_FINISHED)
		b->finished++;
	else if (state == STREAM_CANCELLED)
		b->cancelled++;
	else
		b->cut++;
	http_wake(s->req);
}

void
stream_free(struct stream *s)
{
	stream_end(s, STREAM_CANCELLED);
	g_string_free(s->out, TRUE);
	g_free(s->id);
	g_free(s->prompt);
	g_free(s->head);
	g_free(s);
}

static void
stream_put_token(struct stream *s)
{
	struct batch *b = s->batch;
	char text[TOKEN_LEN];

	token_write(text, s->prompt, s->prompt_len, (uint64_t)s->index);
	if (s->streamed) {
		g_string_append_printf(s->out,
		    "%s%" PRId64 ",\"choices\":[{\"index\":0,"
		    "\"delta\":{\"content\":\"",
		    s->head, s->index);
		g_string_append_len(s->out, text, TOKEN_LEN);
		g_string_append(s->out, "\"}}]}\n\n");
	} else
		g_string_append_len(s->out, text, TOKEN_LEN);
	s->index++;
	b->tokens++;
	if (s->user != NULL)
		s->user->tokens++;
}

/* One token, or the end when there is none to make. */
static void
stream_step(struct stream *s)
{
	if (s->index == s->crash_at) {
		stream_end(s, STREAM_CUT);
		return;
	}
	if (s->index < s->end)
		stream_put_token(s);
	if (s->index < s->end || s->index == s->crash_at) {
		http_wake(s->req);
		return;
	}
	if (s->streamed)
		g_string_append(s->out, "data: [DONE]\n\n");
	stream_end(s, STREAM_FINISHED);
}

void
stream_kv(const struct stream *s, char *hex)
{
	snprintf(hex, 17, "%016" PRIx64, XXH64(s->prompt, s->prompt_len, 0));
}

static int64_t
stream_prefill(struct stream *s)
{
	struct batch *b = s->batch;
	double us = (double)prompt_tokens(s->prompt_len) * b->prefill_us;
	char hex[17];

	stream_kv(s, hex);
	if (cache_use(
		&b->cache, prompt_prefix(s->prompt, s->prompt_len), msec_now()))
		us *= BATCH_CACHED_SHARE;
	if (g_hash_table_remove(b->kv, hex))
		us = 0;
	return (int64_t)(us * fault_value(b->server, "slow_factor"));
}

static void
stream_plan_crash(struct stream *s)
{
	struct batch *b = s->batch;
	double after = fault_value(b->server, "crash_after");
	double share = fault_value(b->server, "crash_permille");

	s->crash_at = -1;
	if (after >= 0) {
		s->crash_at = s->first + (int64_t)after;
		fault_set(b->server, "crash_after", -1);
	} else if (g_rand_double_range(b->rand, 0, 1000) < share)
		s->crash_at = s->first + (int64_t)(g_rand_double(b->rand) *
						   (double)(s->end - s->first));
}

/* The batch. */

static int64_t
batch_step_usec(struct batch *b)
{
	double others = b->running_count > 0 ? b->running_count - 1 : 0;

	return (int64_t)(b->token_us * (1 + b->slope * others) *
			 fault_value(b->server, "slow_factor"));
}

static struct stream *
batch_next(struct batch *b)
{
	struct stream *s, *best = NULL;

	TAILQ_FOREACH (s, &b->waiting, entry) {
		if (best == NULL || s->priority < best->priority)
			best = s;
	}
	return best;
}

static void
batch_admit(struct batch *b, int64_t now)
{
	struct stream *s;
	int64_t first;

	while (b->running_count < b->max) {
		s = batch_next(b);
		if (s == NULL)
			return;
		stream_unlink(s);
		s->state = STREAM_RUNNING;
		TAILQ_INSERT_TAIL(&b->running, s, entry);
		b->running_count++;
		stream_count_execution(s);
		s->prefill_until = now + stream_prefill(s);
		/* Nobody waits for another's long prefill. */
		first = s->prefill_until + batch_step_usec(b);
		if (b->running_count == 1 || first < b->next_step)
			b->next_step = first;
	}
}

/* With a token time of 0 an answer is made at one go. */
static void
batch_run_at_once(struct batch *b, int64_t now)
{
	struct stream *s, *next;

	TAILQ_FOREACH_SAFE (s, &b->running, entry, next) {
		if (s->prefill_until > now)
			continue;
		while (s->state == STREAM_RUNNING)
			stream_step(s);
	}
}

static void
batch_run_step(struct batch *b, int64_t now)
{
	struct stream *s, *next;

	if (b->running_count == 0 || now < b->next_step)
		return;
	TAILQ_FOREACH_SAFE (s, &b->running, entry, next) {
		if (s->prefill_until <= now)
			stream_step(s);
	}
	b->next_step += batch_step_usec(b);
	if (now - b->next_step > BATCH_LATE_USEC)
		b->next_step = now;
}

void
batch_run(struct batch *b)
{
	int64_t now = usec_now();

	batch_admit(b, now);
	if (b->token_us > 0)
		batch_run_step(b, now);
	else
		batch_run_at_once(b, now);
	batch_admit(b, now);
	load_keep(b);
}

/* When the decoding thread has to look again. */
static int64_t
batch_due(struct batch *b, int64_t now)
{
	int64_t due = now + BATCH_POLL_USEC;
	struct stream *s;

	if (b->running_count > 0 && b->token_us > 0)
		return MIN(due, b->next_step);
	TAILQ_FOREACH (s, &b->running, entry)
		due = MIN(due, s->prefill_until);
	return due;
}

static unsigned int
batch_add_fds(struct stream_list *list, struct pollfd *fds, struct stream **who,
    unsigned int n)
{
	struct stream *s;

	TAILQ_FOREACH (s, list, entry) {
		fds[n] = (struct pollfd){ .fd = s->fd, .events = POLLRDHUP };
		who[n++] = s;
	}
	return n;
}

/*
 * A suspended connection is not read, so a caller that goes away would only
 * be noticed at the second token after it, and while waiting never.
 */
static void
batch_drop_closed(struct batch *b)
{
	unsigned int i, n = b->waiting_count + b->running_count;
	struct pollfd *fds = g_new0(struct pollfd, n + 1);
	struct stream **who = g_new0(struct stream *, n + 1);

	n = batch_add_fds(&b->waiting, fds, who, 0);
	n = batch_add_fds(&b->running, fds, who, n);
	if (poll(fds, n, 0) <= 0)
		n = 0;
	for (i = 0; i < n; i++) {
		if (fds[i].revents != 0)
			stream_end(who[i], STREAM_CANCELLED);
	}
	g_free(fds);
	g_free(who);
}

static void *
batch_thread(void *arg)
{
	struct batch *b = arg;
	struct http_server *srv = b->server;
	int64_t due, now, polled = 0;
	struct timespec ts;

	pthread_mutex_lock(&srv->lock);
	while (!srv->stopping) {
		if (b->waiting_count + b->running_count == 0) {
			pthread_cond_wait(&b->cond, &srv->lock);
			continue;
		}
		due = batch_due(b, usec_now());
		ts.tv_sec = due / BATCH_USEC;
		ts.tv_nsec = (due % BATCH_USEC) * 1000;
		pthread_cond_timedwait(&b->cond, &srv->lock, &ts);
		now = usec_now();
		if (now - polled >= BATCH_POLL_USEC) {
			batch_drop_closed(b);
			polled = now;
		}
		batch_run(b);
	}
	pthread_mutex_unlock(&srv->lock);
	return NULL;
}

struct stream *
batch_find(struct batch *b, const char *id, const json_t *attempt)
{
	struct stream_list *lists[] = { &b->waiting, &b->running };
	struct stream *s;
	size_t i;

	for (i = 0; id != NULL && i < G_N_ELEMENTS(lists); i++) {
		TAILQ_FOREACH (s, lists[i], entry) {
			if (strcmp(s->id, id) != 0)
				continue;
			if (!json_is_integer(attempt) ||
			    s->attempt == json_integer_value(attempt))
				return s;
		}
	}
	return NULL;
}

void
batch_enter(struct batch *b, struct stream *s)
{
	stream_plan_crash(s);
	TAILQ_INSERT_TAIL(&b->waiting, s, entry);
	b->waiting_count++;
	batch_run(b);
	if (stream_held(s))
		pthread_cond_signal(&b->cond);
}

void
batch_cut(struct batch *b)
{
	struct stream *s, *next;

	TAILQ_FOREACH_SAFE (s, &b->waiting, entry, next)
		stream_end(s, STREAM_CUT);
	TAILQ_FOREACH_SAFE (s, &b->running, entry, next)
		stream_end(s, STREAM_CUT);
	pthread_cond_signal(&b->cond);
}

void
batch_freeze(struct batch *b)
{
	b->frozen = load_at(b, msec_now());
}

void
batch_init(struct batch *b, struct http_server *srv)
{
	pthread_condattr_t attr;

	memset(b, 0, sizeof *b);
	b->server = srv;
	b->token_us = 20000;
	b->slope = 0.02;
	b->prefill_us = 50;
	b->max = 16;
	TAILQ_INIT(&b->waiting);
	TAILQ_INIT(&b->running);
	TAILQ_INIT(&b->loads);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&b->cond, &attr);
	pthread_condattr_destroy(&attr);
	b->rand = g_rand_new_with_seed(1);
	b->users = g_hash_table_new(g_str_hash, g_str_equal);
	b->kv = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
batch_start(struct batch *b, unsigned int prefixes)
{
	cache_init(&b->cache, prefixes, b->rand);
	pthread_create(&b->thread, NULL, batch_thread, b);
}

void
batch_finish(struct batch *b)
{
	pthread_join(b->thread, NULL);
}
