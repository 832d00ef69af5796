/*
 * Open-loop load for the router or for one engine: Poisson arrivals that do
 * not wait for answers, every token of every answer checked, and what each
 * class got. Each thread is a libcurl multi handle on epoll.
 */

#define LOG_PART "load"
#include "common-answer.h"
#include "common-result.h"

#include <sys/epoll.h>

#include <errno.h>
#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <argp.h>
#include <curl/curl.h>
#include <jansson.h>

#define LOAD_USEC 1000000
#define LOAD_EVENTS 256
#define LOAD_CACHED_CONNECTIONS 4096L
#define LOAD_ADDRESSES 8 /* an entry answer's address and alternates */
#define LOAD_ENTRY_TIMEOUT_MS 2000L
#define LOAD_ENTRY_RETRY_USEC 200000
#define LOAD_CONNECT_TIMEOUT_MS 1000L
#define LOAD_IDLE_USEC 100000

/* A caller of the service keeps one answer of the entry directory. */
struct caller {
	struct worker *worker;
	char *address[LOAD_ADDRESSES];
	unsigned int count;
	int64_t expires; /* us */
	CURL *fetch;	 /* under way, or NULL */
	GString *body;
};

/* What a transfer belongs to; the first member of both kinds of owner. */
struct transfer {
	void (*finished)(struct transfer *, CURL *, CURLcode);
};

struct caller_fetch {
	struct transfer transfer;
	struct caller *caller;
};

struct request {
	struct transfer transfer;
	TAILQ_ENTRY(request) entry;
	struct worker *worker;
	const struct load_class *class;
	const struct load_org *org;
	const struct caller *caller;
	unsigned int tried; /* addresses */
	char *user;
	GString *prompt;
	char *body;
	int64_t due, first, last; /* us */
	struct answer answer;
};
TAILQ_HEAD(request_list, request);

struct worker {
	unsigned int number;
	pthread_t thread;
	GRand *rand;
	CURLM *multi;
	int epfd;
	int64_t start, end, stop; /* us: arrivals from and to, drained by */
	int64_t curl_due;	  /* us; -1 for none */
	double *next;		  /* arrival by class, in seconds from start */
	struct curl_slist **headers; /* by class and organisation */
	struct caller *callers;
	GPtrArray *idle; /* easy handles */
	struct request_list requests;
	unsigned int open;
	uint64_t sequence;
	struct result result;
};

enum {
	OPT_ENTRY = 0x100,
	OPT_DIRECT,
	OPT_SERVICE,
	OPT_MODEL,
	OPT_ORG,
	OPT_CLASS,
	OPT_RATE,
	OPT_BURST,
	OPT_SECONDS,
	OPT_SEED,
	OPT_JSON,
	OPT_MAX_OPEN,
	OPT_THREADS,
	OPT_CALLERS,
	OPT_DRAIN,
	OPT_LOG
};

static const struct argp_option load_options[] = {
	{ "entry", OPT_ENTRY, "HOST:PORT", 0,
	    "Ask here for an entry address (repeatable)" },
	{ "direct", OPT_DIRECT, "HOST:PORT", 0,
	    "Send here without asking (repeatable)" },
	{ "service", OPT_SERVICE, "NAME", 0, "Service asked for" },
	{ "model", OPT_MODEL, "NAME", 0, "Model in each request" },
	{ "org", OPT_ORG, "NAME=KEY[:WEIGHT]", 0, "An organisation" },
	{ "class", OPT_CLASS,
	    "NAME=SHARE[:PROMPT_TOKENS:TOKENS:TTFT_MS:TBT_MS:WHOLE_MS"
	    "[:norepeat]]",
	    0, "A class of requests" },
	{ "rate", OPT_RATE, "R", 0, "Requests a second" },
	{ "burst", OPT_BURST, "CLASS@START+SECONDS=FACTOR", 0,
	    "More of a class for a while" },
	{ "seconds", OPT_SECONDS, "S", 0, "Length of the run" },
	{ "seed", OPT_SEED, "N", 0, "Of the random numbers" },
	{ "json", OPT_JSON, NULL, 0, "Report as one JSON object" },
	{ "max-open", OPT_MAX_OPEN, "N", 0, "Most requests at once" },
	{ "threads", OPT_THREADS, "N", 0, "Threads that share the load" },
	{ "callers", OPT_CALLERS, "N", 0, "Entry answers kept, per thread" },
	{ "drain", OPT_DRAIN, "S", 0, "Wait for answers after the run" },
	{ "log", OPT_LOG, "FILE", 0, "Write a JSON line for each request" }, {}
};

static struct workload load_work;
static GPtrArray *load_entries;
static GPtrArray *load_directs;
static const char *load_service;
static const char *load_model = "model";
static double load_seconds = 10;
static double load_drain = 30;
static uint32_t load_seed = 1;
static bool load_json;
static unsigned int load_max_open = 10000;
static unsigned int load_threads = 1;
static unsigned int load_callers = 16;
static FILE *load_log;
static struct worker *load_workers;
static struct result load_total;

static void request_finished(struct transfer *, CURL *, CURLcode);
static void request_unreachable(struct request *);

static int64_t
usec_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * LOAD_USEC + ts.tv_nsec / 1000;
}

/* Easy handles are kept: setting one up costs more than a short request. */
static CURL *
easy_get(struct worker *w, struct transfer *t)
{
	CURL *easy;

	if (w->idle->len > 0) {
		easy = g_ptr_array_remove_index(w->idle, w->idle->len - 1);
		curl_easy_reset(easy);
	} else
		easy = curl_easy_init();
	curl_easy_setopt(easy, CURLOPT_PRIVATE, t);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	return easy;
}

static void
easy_put(struct worker *w, CURL *easy)
{
	curl_multi_remove_handle(w->multi, easy);
	g_ptr_array_add(w->idle, easy);
}

/* The entry directory. */

static void
caller_keep(struct caller *c, const char *address)
{
	if (address != NULL && c->count < LOAD_ADDRESSES)
		c->address[c->count++] = g_strdup(address);
}

static void
caller_forget(struct caller *c)
{
	while (c->count > 0)
		g_free(c->address[--c->count]);
}

static void
caller_take(struct caller *c)
{
	json_t *v = json_loadb(c->body->str, c->body->len, 0, NULL), *one;
	const char *address = NULL;
	json_int_t lifetime = 0;
	size_t i;

	if (json_unpack(v, "{s:s,s:I}", "address", &address, "lifetime_ms",
		&lifetime) == 0) {
		caller_forget(c);
		caller_keep(c, address);
		json_array_foreach (json_object_get(v, "alternates"), i, one)
			caller_keep(c, json_string_value(one));
		c->expires = usec_now() + lifetime * 1000;
	}
	json_decref(v);
}

static void
caller_fetched(struct transfer *t, CURL *easy, CURLcode code)
{
	struct caller_fetch *f = (struct caller_fetch *)t;
	struct caller *c = f->caller;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	c->expires = usec_now() + LOAD_ENTRY_RETRY_USEC;
	if (code == CURLE_OK && status == 200)
		caller_take(c);
	easy_put(c->worker, easy);
	c->fetch = NULL;
	g_free(f);
}

static size_t
caller_read(char *data, size_t size, size_t n, void *arg)
{
	struct caller *c = arg;

	g_string_append_len(c->body, data, (gssize)(size * n));
	return size * n;
}

/* The old answer serves until the new one is there. */
static void
caller_refresh(struct caller *c, int64_t now)
{
	struct worker *w = c->worker;
	g_autofree char *url = NULL;
	struct caller_fetch *f;
	guint i;

	if (load_entries->len == 0 || c->fetch != NULL || now < c->expires)
		return;
	i = (guint)g_rand_int_range(w->rand, 0, (gint32)load_entries->len);
	url = g_strdup_printf("http://%s/v1/entry%s%s",
	    (char *)load_entries->pdata[i],
	    load_service == NULL ? "" : "?service=",
	    load_service == NULL ? "" : load_service);
	f = g_new0(struct caller_fetch, 1);
	f->transfer.finished = caller_fetched;
	f->caller = c;
	g_string_truncate(c->body, 0);
	c->fetch = easy_get(w, &f->transfer);
	curl_easy_setopt(c->fetch, CURLOPT_URL, url);
	curl_easy_setopt(c->fetch, CURLOPT_TIMEOUT_MS, LOAD_ENTRY_TIMEOUT_MS);
	curl_easy_setopt(c->fetch, CURLOPT_WRITEFUNCTION, caller_read);
	curl_easy_setopt(c->fetch, CURLOPT_WRITEDATA, c);
	curl_multi_add_handle(w->multi, c->fetch);
}

/* Requests. */

static size_t
request_read(char *data, size_t size, size_t n, void *arg)
{
	struct request *r = arg;
	struct class_result *res;
	uint64_t before = r->answer.tokens;
	int64_t now;

	answer_read(&r->answer, data, size * n);
	if (r->answer.tokens == before)
		return size * n;
	now = usec_now();
	res = &r->worker->result.classes[r->class->number];
	if (before == 0) {
		r->first = now;
		histogram_add(&res->ttft_us, (uint64_t)(now - r->due));
		before++;
	} else {
		histogram_add(&res->tbt_us, (uint64_t)(now - r->last));
		before++;
	}
	/* The others of one read came together. */
	for (; before < r->answer.tokens; before++)
		histogram_add(&res->tbt_us, 0);
	r->last = now;
	return size * n;
}

static size_t
request_header(char *data, size_t size, size_t n, void *arg)
{
	struct request *r = arg;

	answer_header(&r->answer, data, size * n);
	return size * n;
}

static const struct curl_slist *
request_headers(const struct request *r)
{
	return r->worker
	    ->headers[r->class->number * load_work.org_count + r->org->number];
}

/*
 * libcurl sends a request again by itself when a kept connection turns out
 * dead, which would look like a double run of the router's. A request that
 * may not be repeated therefore gets a connection of its own.
 */
static void
request_start(struct request *r)
{
	struct worker *w = r->worker;
	CURL *easy = easy_get(w, &r->transfer);
	g_autofree char *url = NULL;

	url = g_strdup_printf(
	    "http://%s/v1/chat/completions", r->caller->address[r->tried]);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, request_headers(r));
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, r->body);
	curl_easy_setopt(
	    easy, CURLOPT_CONNECTTIMEOUT_MS, LOAD_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, request_read);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, request_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, r);
	if (r->class->norepeat) {
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
	curl_multi_add_handle(w->multi, easy);
}

static char *
request_body(const struct request *r)
{
	return g_strdup_printf("{\"model\":\"%s\",\"stream\":true,"
			       "\"messages\":[{\"role\":\"user\","
			       "\"content\":\"%s\"}],\"user\":\"%s\","
			       "\"x_tokens\":%" PRIu64 ",\"max_tokens\":%.0f}",
	    load_model, r->prompt->str, r->user, r->answer.asked,
	    r->class->tokens * WORKLOAD_LENGTH_MOST);
}

static void
request_write_prompt(struct request *r)
{
	uint64_t n = workload_length(r->worker->rand, r->class->prompt_tokens);

	r->prompt = g_string_new(r->user);
	while (r->prompt->len < n * 4)
		g_string_append_printf(
		    r->prompt, " %08x", g_rand_int(r->worker->rand));
}

static void
request_new(struct worker *w, const struct load_class *class, int64_t due)
{
	struct request *r = g_new0(struct request, 1);
	int i = g_rand_int_range(w->rand, 0, (gint32)load_callers);

	r->transfer.finished = request_finished;
	r->worker = w;
	r->class = class;
	r->org = workload_pick_org(&load_work, w->rand);
	r->caller = &w->callers[i];
	r->due = due;
	r->user = g_strdup_printf("%s-%s-%u-%u-%" PRIu64, class->name,
	    r->org->name, load_seed, w->number, w->sequence++);
	request_write_prompt(r);
	answer_init(&r->answer, r->prompt->str, r->prompt->len,
	    workload_length(w->rand, class->tokens));
	r->body = request_body(r);
	TAILQ_INSERT_TAIL(&w->requests, r, entry);
	w->open++;
	w->result.classes[class->number].sent++;
	caller_refresh(&w->callers[i], usec_now());
	if (r->caller->count > 0)
		request_start(r);
	else
		request_unreachable(r);
}

static void
request_free(struct request *r)
{
	TAILQ_REMOVE(&r->worker->requests, r, entry);
	r->worker->open--;
	answer_finish(&r->answer);
	g_string_free(r->prompt, TRUE);
	g_free(r->user);
	g_free(r->body);
	g_free(r);
}

/* The targets that are set, of a whole answer. */
static bool
request_met_targets(const struct request *r, int64_t now)
{
	const struct load_class *c = r->class;
	double mean = 0;

	if (r->answer.tokens > 1)
		mean = (double)(r->last - r->first) / 1000 /
		       (double)(r->answer.tokens - 1);
	if (c->ttft_ms > 0 && (double)(r->first - r->due) > c->ttft_ms * 1000)
		return false;
	if (c->tbt_ms > 0 && mean > c->tbt_ms)
		return false;
	return c->whole_ms <= 0 || (double)(now - r->due) <= c->whole_ms * 1000;
}

static const char *
request_count(struct request *r, bool whole)
{
	struct class_result *res;
	struct result *all = &r->worker->result;
	const struct answer *a = &r->answer;

	res = &all->classes[r->class->number];
	if (a->crossed)
		all->crossed++;
	if (whole && answer_short(a))
		all->cut_short++;
	if (a->outcome == OUTCOME_NOT_RUN) {
		if (a->tokens > 0)
			all->not_run_with_tokens++;
		res->not_run++;
		return "not-run";
	}
	if (a->outcome == OUTCOME_UNKNOWN) {
		res->unknown++;
		return "unknown";
	}
	if (!whole) {
		res->broken++;
		return "broken";
	}
	res->ran++;
	if (!a->crossed && !answer_short(a) &&
	    request_met_targets(r, usec_now())) {
		res->attained++;
		res->good_tokens += a->tokens;
	}
	return "ran";
}

static void
request_write_log(
    const struct request *r, const char *outcome, long status, CURLcode code)
{
	if (load_log == NULL)
		return;
	fprintf(load_log,
	    "{\"user\":\"%s\",\"class\":\"%s\",\"outcome\":\"%s\","
	    "\"status\":%ld,\"curl\":%d,\"code\":\"%s\",\"tokens\":%" PRIu64
	    ",\"asked\":%" PRIu64 ",\"crossed\":%s}\n",
	    r->user, r->class->name, outcome, status, (int)code, r->answer.code,
	    r->answer.tokens, r->answer.asked,
	    r->answer.crossed ? "true" : "false");
}

/* No address took a connection, so nothing was sent. */
static void
request_unreachable(struct request *r)
{
	r->worker->result.classes[r->class->number].unreachable++;
	r->answer.outcome = OUTCOME_NOT_RUN;
	request_write_log(r, request_count(r, false), 0, CURLE_COULDNT_CONNECT);
	request_free(r);
}

/* Proven not sent: refused, or no connection within the time for it. */
static bool
request_unsent(CURL *easy, CURLcode code)
{
	curl_off_t connected = 0;

	if (code != CURLE_OPERATION_TIMEDOUT)
		return code == CURLE_COULDNT_CONNECT;
	curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connected);
	return connected == 0;
}

static void
request_finished(struct transfer *t, CURL *easy, CURLcode code)
{
	struct request *r = (struct request *)t;
	const char *outcome;
	long status = 0;
	bool unsent;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	unsent = request_unsent(easy, code);
	easy_put(r->worker, easy);
	if (unsent) {
		if (++r->tried < r->caller->count)
			request_start(r);
		else
			request_unreachable(r);
		return;
	}
	outcome = request_count(
	    r, code == CURLE_OK && status == 200 && r->answer.done);
	request_write_log(r, outcome, status, code);
	request_free(r);
}

/* Arrivals. */

static double
arrival_draw(struct worker *w, const struct load_class *c)
{
	return workload_gap(
	    w->rand, workload_rate_max(&load_work, c) / load_threads);
}

/* A Poisson process of the greatest rate, thinned to the rate at the time. */
static void
arrival_take(struct worker *w, const struct load_class *c)
{
	double at = w->next[c->number];
	double share =
	    workload_rate(&load_work, c, at) / workload_rate_max(&load_work, c);

	w->next[c->number] = at + arrival_draw(w, c);
	if (g_rand_double(w->rand) >= share)
		return;
	if (w->open >= load_max_open / load_threads) {
		w->result.held_back++;
		return;
	}
	request_new(w, c, w->start + (int64_t)(at * LOAD_USEC));
}

/* Send what is due; the time of the next. */
static int64_t
arrivals_run(struct worker *w, int64_t now)
{
	const struct load_class *c;
	int64_t due, first = INT64_MAX;

	TAILQ_FOREACH (c, &load_work.classes, entry) {
		for (;;) {
			due = w->start +
			      (int64_t)(w->next[c->number] * LOAD_USEC);
			if (due > now || due >= w->end)
				break;
			arrival_take(w, c);
		}
		if (due < w->end && due < first)
			first = due;
	}
	return first;
}

/* The event loop. */

static int
worker_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *known)
{
	struct worker *w = arg;
	struct epoll_event ev = { .data.fd = fd };

	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(w->epfd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		ev.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		ev.events |= EPOLLOUT;
	if (epoll_ctl(w->epfd, EPOLL_CTL_MOD, fd, &ev) == -1)
		epoll_ctl(w->epfd, EPOLL_CTL_ADD, fd, &ev);
	return 0;
}

static int
worker_timer(CURLM *multi, long ms, void *arg)
{
	struct worker *w = arg;

	w->curl_due = ms < 0 ? -1 : usec_now() + ms * 1000;
	return 0;
}

static void
worker_finish_transfers(struct worker *w)
{
	struct transfer *t;
	CURLMsg *msg;
	CURLcode code;
	CURL *easy;
	int left;

	while ((msg = curl_multi_info_read(w->multi, &left)) != NULL) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		easy = msg->easy_handle;
		code = msg->data.result;
		curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&t);
		t->finished(t, easy, code);
	}
}

static void
worker_events(struct worker *w, int64_t due)
{
	struct epoll_event evs[LOAD_EVENTS];
	int64_t span = MAX(due - usec_now(), 0);
	struct timespec ts = { span / LOAD_USEC, (span % LOAD_USEC) * 1000 };
	int i, n, flags, running;

	n = epoll_pwait2(w->epfd, evs, LOAD_EVENTS, &ts, NULL);
	for (i = 0; i < n; i++) {
		flags = 0;
		if (evs[i].events & EPOLLIN)
			flags |= CURL_CSELECT_IN;
		if (evs[i].events & EPOLLOUT)
			flags |= CURL_CSELECT_OUT;
		if (evs[i].events & (EPOLLERR | EPOLLHUP))
			flags |= CURL_CSELECT_ERR;
		curl_multi_socket_action(
		    w->multi, evs[i].data.fd, flags, &running);
	}
	if (w->curl_due != -1 && usec_now() >= w->curl_due) {
		w->curl_due = -1;
		curl_multi_socket_action(
		    w->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	}
	worker_finish_transfers(w);
}

/* Every caller has an address before the first arrival. */
static void
worker_find_entries(struct worker *w)
{
	unsigned int i, known = 0;

	while (known < load_callers && usec_now() < w->stop) {
		for (known = i = 0; i < load_callers; i++) {
			if (w->callers[i].count > 0)
				known++;
			else
				caller_refresh(&w->callers[i], usec_now());
		}
		worker_events(w, usec_now() + 1000);
	}
}

static void
worker_give_up(struct worker *w)
{
	struct request *r, *next;

	TAILQ_FOREACH_SAFE (r, &w->requests, entry, next) {
		w->result.unfinished++;
		request_write_log(
		    r, request_count(r, false), 0, CURLE_OPERATION_TIMEDOUT);
		request_free(r);
	}
}

static void *
worker_run(void *arg)
{
	struct worker *w = arg;
	const struct load_class *c;
	int64_t due, now;

	worker_find_entries(w);
	w->start = usec_now();
	w->end = w->start + (int64_t)(load_seconds * LOAD_USEC);
	w->stop = w->end + (int64_t)(load_drain * LOAD_USEC);
	TAILQ_FOREACH (c, &load_work.classes, entry)
		w->next[c->number] = arrival_draw(w, c);
	for (;;) {
		now = usec_now();
		if (now >= w->stop || (now >= w->end && w->open == 0))
			break;
		due = MIN(arrivals_run(w, now), now + LOAD_IDLE_USEC);
		if (w->curl_due != -1)
			due = MIN(due, w->curl_due);
		worker_events(w, due);
	}
	worker_give_up(w);
	return NULL;
}

static struct curl_slist *
worker_headers(const struct load_class *c, const struct load_org *o)
{
	g_autofree char *key =
	    g_strdup_printf("Authorization: Bearer %s", o->key);
	g_autofree char *class =
	    g_strdup_printf("Savorypier-Class: %s", c->name);
	struct curl_slist *list = NULL;

	list = curl_slist_append(list, "Content-Type: application/json");
	list = curl_slist_append(list, "Expect:");
	list = curl_slist_append(list, key);
	list = curl_slist_append(list, class);
	if (c->norepeat)
		list = curl_slist_append(list, "Savorypier-Repeatable: no");
	return list;
}

static void
worker_init_callers(struct worker *w)
{
	struct caller *c;
	unsigned int i;

	w->callers = g_new0(struct caller, load_callers);
	for (i = 0; i < load_callers; i++) {
		c = &w->callers[i];
		c->worker = w;
		c->body = g_string_new(NULL);
		if (load_directs->len > 0)
			caller_keep(
			    c, load_directs->pdata[i % load_directs->len]);
	}
}

static void
worker_init(struct worker *w, unsigned int number)
{
	const struct load_class *c;
	const struct load_org *o;

	w->number = number;
	w->rand = g_rand_new_with_seed(load_seed * 1000 + number);
	w->epfd = epoll_create1(EPOLL_CLOEXEC);
	w->curl_due = -1;
	w->stop = usec_now() + (int64_t)(load_drain * LOAD_USEC);
	w->idle = g_ptr_array_new();
	TAILQ_INIT(&w->requests);
	w->next = g_new0(double, load_work.class_count);
	result_init(&w->result, &load_work);
	w->headers = g_new0(
	    struct curl_slist *, load_work.class_count * load_work.org_count);
	TAILQ_FOREACH (c, &load_work.classes, entry) {
		TAILQ_FOREACH (o, &load_work.orgs, entry)
			w->headers[c->number * load_work.org_count +
				   o->number] = worker_headers(c, o);
	}
	worker_init_callers(w);
	w->multi = curl_multi_init();
	curl_multi_setopt(w->multi, CURLMOPT_SOCKETFUNCTION, worker_socket);
	curl_multi_setopt(w->multi, CURLMOPT_SOCKETDATA, w);
	curl_multi_setopt(w->multi, CURLMOPT_TIMERFUNCTION, worker_timer);
	curl_multi_setopt(w->multi, CURLMOPT_TIMERDATA, w);
	curl_multi_setopt(
	    w->multi, CURLMOPT_MAXCONNECTS, LOAD_CACHED_CONNECTIONS);
}

/* The command line. */

static void
parse_address(GPtrArray *list, char *arg, struct argp_state *state)
{
	if (strchr(arg, ':') == NULL)
		argp_error(state, "%s: not HOST:PORT", arg);
	g_ptr_array_add(list, arg);
}

static error_t
load_parse_work(int key, char *arg, struct argp_state *state)
{
	bool ok = true;

	switch (key) {
	case OPT_ORG:
		ok = workload_add_org(&load_work, arg);
		break;
	case OPT_CLASS:
		ok = workload_add_class(&load_work, arg);
		break;
	case OPT_BURST:
		ok = workload_add_burst(&load_work, arg);
		break;
	case OPT_RATE:
		load_work.rate = g_ascii_strtod(arg, NULL);
		ok = load_work.rate > 0;
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	if (!ok)
		argp_error(state, "%s: malformed", arg);
	return 0;
}

static unsigned int
parse_count(const char *arg, struct argp_state *state)
{
	unsigned long n = strtoul(arg, NULL, 10);

	if (n == 0 || n > 1000000)
		argp_error(state, "%s: not a count", arg);
	return (unsigned int)n;
}

static error_t
load_parse(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case OPT_ENTRY:
		parse_address(load_entries, arg, state);
		return 0;
	case OPT_DIRECT:
		parse_address(load_directs, arg, state);
		return 0;
	case OPT_SERVICE:
		load_service = arg;
		return 0;
	case OPT_MODEL:
		load_model = arg;
		return 0;
	case OPT_SECONDS:
		load_seconds = g_ascii_strtod(arg, NULL);
		return 0;
	case OPT_DRAIN:
		load_drain = g_ascii_strtod(arg, NULL);
		return 0;
	case OPT_SEED:
		load_seed = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPT_JSON:
		load_json = true;
		return 0;
	case OPT_MAX_OPEN:
		load_max_open = parse_count(arg, state);
		return 0;
	case OPT_THREADS:
		load_threads = parse_count(arg, state);
		return 0;
	case OPT_CALLERS:
		load_callers = parse_count(arg, state);
		return 0;
	case OPT_LOG:
		load_log = fopen(arg, "w");
		if (load_log == NULL)
			argp_failure(state, 1, errno, "%s", arg);
		return 0;
	case ARGP_KEY_END:
		if (load_entries->len + load_directs->len == 0)
			argp_error(state, "--entry or --direct is needed");
		return 0;
	default:
		return load_parse_work(key, arg, state);
	}
}

static const struct argp load_argp = { load_options, load_parse, NULL,
	"Open-loop load with every answer checked. "
	"The status is 2 when an answer was crossed or short." };

int
main(int argc, char **argv)
{
	unsigned int i;

	log_open("info", false);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	workload_init(&load_work);
	load_entries = g_ptr_array_new();
	load_directs = g_ptr_array_new();
	argp_parse(&load_argp, argc, argv, 0, NULL, NULL);
	if (load_work.class_count == 0)
		workload_add_class(&load_work, "default=1");
	if (load_work.org_count == 0)
		workload_add_org(&load_work, "org=key");
	result_init(&load_total, &load_work);
	load_workers = g_new0(struct worker, load_threads);
	for (i = 0; i < load_threads; i++) {
		worker_init(&load_workers[i], i);
		pthread_create(&load_workers[i].thread, NULL, worker_run,
		    &load_workers[i]);
	}
	for (i = 0; i < load_threads; i++) {
		pthread_join(load_workers[i].thread, NULL);
		result_merge(&load_total, &load_workers[i].result);
	}
	if (load_json)
		result_print_json(&load_total, load_seconds);
	else
		result_print(&load_total, load_seconds);
	if (load_log != NULL)
		fclose(load_log);
	return load_total.crossed + load_total.cut_short > 0 ? 2 : 0;
}
