/*
 * Short HTTP requests to the platform, peers and engines: one thread with a
 * libcurl loop hands the results to the core.
 */

#define LOG_PART "fetch"
#include "daemon.h"

#include <curl/curl.h>
#include <string.h>

#define FETCH_TEXT_MAX (16 * 1024 * 1024)
#define FETCH_POLL_MS 1000

TAILQ_HEAD(fetch_job_list, fetch_job);

struct fetch_thread {
	struct daemon *daemon;
	pthread_t thread;
	struct ring commands;
	CURLM *multi;
	struct fetch_job_list jobs;
	gint quit;
};

struct fetch_job {
	TAILQ_ENTRY(fetch_job) entry;
	struct fetch *fetch;
	CURL *easy;
	struct curl_slist *headers;
	GString *text;
};

static size_t
fetch_body(char *p, size_t size, size_t n, void *arg)
{
	struct fetch_job *j = arg;

	n *= size;
	if (j->text->len + n > FETCH_TEXT_MAX)
		return 0;
	g_string_append_len(j->text, p, (gssize)n);
	return n;
}

static void
fetch_begin(struct fetch_thread *t, struct fetch *f)
{
	struct fetch_job *j = g_new0(struct fetch_job, 1);
	g_autofree char *auth = NULL;

	j->fetch = f;
	j->text = g_string_new(NULL);
	j->easy = curl_easy_init();
	if (f->authorization != NULL) {
		auth = g_strdup_printf(
		    "Authorization: Bearer %s", f->authorization);
		j->headers = curl_slist_append(j->headers, auth);
	}
	j->headers = curl_slist_append(j->headers, "Expect:");
	curl_easy_setopt(j->easy, CURLOPT_URL, f->url);
	curl_easy_setopt(j->easy, CURLOPT_PRIVATE, j);
	curl_easy_setopt(j->easy, CURLOPT_HTTPHEADER, j->headers);
	curl_easy_setopt(j->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(j->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(j->easy, CURLOPT_TIMEOUT_MS, (long)f->timeout);
	curl_easy_setopt(j->easy, CURLOPT_WRITEFUNCTION, fetch_body);
	curl_easy_setopt(j->easy, CURLOPT_WRITEDATA, j);
	if (f->post != NULL)
		curl_easy_setopt(j->easy, CURLOPT_POSTFIELDS, f->post);
	curl_multi_add_handle(t->multi, j->easy);
	TAILQ_INSERT_TAIL(&t->jobs, j, entry);
}

static void
fetch_job_free(struct fetch_thread *t, struct fetch_job *j)
{
	TAILQ_REMOVE(&t->jobs, j, entry);
	curl_multi_remove_handle(t->multi, j->easy);
	curl_easy_cleanup(j->easy);
	curl_slist_free_all(j->headers);
	g_free(j);
}

static void
fetch_end(struct fetch_thread *t, struct fetch_job *j, CURLcode rc)
{
	struct event e = { .kind = EVENT_FETCHED, .fetch = j->fetch };
	struct fetch *f = j->fetch;

	f->sent = rc != CURLE_COULDNT_CONNECT;
	if (rc == CURLE_OK)
		curl_easy_getinfo(j->easy, CURLINFO_RESPONSE_CODE, &f->status);
	f->text_len = j->text->len;
	f->text = g_string_free(j->text, FALSE);
	if (f->status != 0)
		f->json = json_loadb(f->text, f->text_len, 0, NULL);
	fetch_job_free(t, j);
	event_post(t->daemon, &e);
}

/* The thread ends: nobody waits for these any more. */
static void
fetch_drop_all(struct fetch_thread *t)
{
	struct fetch_job *j, *next;
	struct fetch *f;

	while ((f = ring_get(&t->commands)) != NULL)
		fetch_free(f);
	TAILQ_FOREACH_SAFE (j, &t->jobs, entry, next) {
		f = j->fetch;
		g_string_free(j->text, TRUE);
		fetch_job_free(t, j);
		fetch_free(f);
	}
}

static void *
fetch_run(void *arg)
{
	struct fetch_thread *t = arg;
	struct fetch_job *j;
	struct fetch *f;
	CURLMsg *msg;
	CURLcode rc;
	int left, running;

	while (!g_atomic_int_get(&t->quit)) {
		while ((f = ring_get(&t->commands)) != NULL)
			fetch_begin(t, f);
		curl_multi_perform(t->multi, &running);
		while ((msg = curl_multi_info_read(t->multi, &left)) != NULL) {
			if (msg->msg != CURLMSG_DONE)
				continue;
			rc = msg->data.result;
			curl_easy_getinfo(
			    msg->easy_handle, CURLINFO_PRIVATE, &j);
			fetch_end(t, j, rc);
		}
		curl_multi_poll(t->multi, NULL, 0, FETCH_POLL_MS, NULL);
	}
	fetch_drop_all(t);
	return NULL;
}

struct fetch_thread *
fetch_thread_start(struct daemon *d)
{
	struct fetch_thread *t = g_new0(struct fetch_thread, 1);

	t->daemon = d;
	TAILQ_INIT(&t->jobs);
	t->multi = curl_multi_init();
	if (!ring_init(&t->commands, 1024))
		return NULL;
	if (pthread_create(&t->thread, NULL, fetch_run, t) != 0)
		return NULL;
	return t;
}

void
fetch_thread_stop(struct fetch_thread *t)
{
	g_atomic_int_set(&t->quit, 1);
	curl_multi_wakeup(t->multi);
	pthread_join(t->thread, NULL);
	curl_multi_cleanup(t->multi);
	ring_finish(&t->commands);
	g_free(t);
}

void
fetch_start(struct daemon *d, struct fetch *f)
{
	while (!ring_put(&d->fetch->commands, f))
		g_thread_yield();
	curl_multi_wakeup(d->fetch->multi);
}
