/*
 * Models and orders of the engine stand-in; see common-models.h.
 */

#define LOG_PART "models"
#include "common-models.h"

#include <string.h>
#include <time.h>

#include <curl/curl.h>

#define MODELS_POLL_MS 5
#define MODELS_RETRY_MS 500
#define MODELS_TIMEOUT_MS 5000L

void
models_init(struct models *ms, pthread_mutex_t *lock)
{
	memset(ms, 0, sizeof *ms);
	TAILQ_INIT(&ms->list);
	ms->lock = lock;
	ms->fencing = true;
	ms->role = g_strdup("both");
	pthread_cond_init(&ms->cond, NULL);
}

static struct model *
model_find(struct models *ms, const char *name, const char *version)
{
	struct model *m;

	TAILQ_FOREACH (m, &ms->list, entry) {
		if (strcmp(m->name, name) != 0)
			continue;
		if (version == NULL || strcmp(m->version, version) == 0)
			return m;
	}
	return NULL;
}

static struct model *
model_add(struct models *ms, const char *name, const char *version)
{
	struct model *m = g_new0(struct model, 1);

	m->name = g_strdup(name);
	m->version = g_strdup(version);
	TAILQ_INSERT_TAIL(&ms->list, m, entry);
	return m;
}

static void
model_free(struct models *ms, struct model *m)
{
	TAILQ_REMOVE(&ms->list, m, entry);
	g_free(m->name);
	g_free(m->version);
	g_free(m);
}

void
models_hold(struct models *ms, const char *text)
{
	g_auto(GStrv) part = g_strsplit(text, "@", 2);

	model_add(ms, part[0], part[1] == NULL ? "1" : part[1]);
}

bool
models_ready(struct models *ms, const char *text)
{
	g_auto(GStrv) part = g_strsplit(text, "@", 2);
	struct model *m;

	TAILQ_FOREACH (m, &ms->list, entry) {
		if (m->state != MODEL_READY || strcmp(m->name, part[0]) != 0)
			continue;
		if (part[1] == NULL || strcmp(m->version, part[1]) == 0)
			return true;
	}
	return false;
}

static bool
order_wants(const json_t *want, const struct model *m)
{
	const char *name, *version;
	json_t *one;
	size_t i;

	json_array_foreach (want, i, one) {
		if (json_unpack(one, "{s:s,s:s}", "model", &name, "version",
			&version) == 0 &&
		    strcmp(name, m->name) == 0 &&
		    strcmp(version, m->version) == 0)
			return true;
	}
	return false;
}

static void
order_apply(struct models *ms, const json_t *want)
{
	const char *name, *version;
	struct model *m, *next;
	json_t *one;
	size_t i;

	TAILQ_FOREACH_SAFE (m, &ms->list, entry, next) {
		if (!order_wants(want, m))
			model_free(ms, m);
	}
	json_array_foreach (want, i, one) {
		if (json_unpack(one, "{s:s,s:s}", "model", &name, "version",
			&version) != 0)
			continue;
		m = model_find(ms, name, version);
		if (m == NULL)
			m = model_add(ms, name, version);
		else if (m->state != MODEL_FAILED)
			continue;
		m->state = MODEL_LOADING;
		m->fetched = false;
		m->due = 0;
	}
	pthread_cond_signal(&ms->cond);
}

unsigned int
models_order(struct models *ms, const json_t *order)
{
	json_int_t number = 0;
	const char *role = NULL;
	json_t *want = NULL;

	if (json_unpack((json_t *)order, "{s:I,s?o,s?s}", "fencing", &number,
		"want", &want, "role", &role) != 0)
		return 400;
	if (number < ms->highest) {
		if (ms->fencing)
			return 409;
		ms->stale_obeyed++;
	} else
		ms->highest = number;
	if (json_is_array(want))
		order_apply(ms, want);
	if (role != NULL) {
		g_free(ms->role);
		ms->role = g_strdup(role);
	}
	return 200;
}

json_t *
models_to_json(struct models *ms)
{
	static const char *const states[] = { "ready", "loading", "failed" };
	json_t *list = json_array();
	struct model *m;

	TAILQ_FOREACH (m, &ms->list, entry) {
		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s}", "model", m->name, "version",
			m->version, "state", states[m->state]));
	}
	return json_pack("{s:o,s:s,s:I,s:I}", "models", list, "role", ms->role,
	    "fencing", (json_int_t)ms->highest, "stale_obeyed",
	    (json_int_t)ms->stale_obeyed);
}

static size_t
load_ignore_body(char *data, size_t size, size_t n, void *arg)
{
	return size * n;
}

/* Ask the weight store; the status, and after how long to ask again. */
static long
load_fetch(const char *url, msec *retry)
{
	CURL *curl = curl_easy_init();
	curl_off_t after = 0;
	long status = 0;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, MODELS_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, load_ignore_body);
	if (curl_easy_perform(curl) == CURLE_OK) {
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
		curl_easy_getinfo(curl, CURLINFO_RETRY_AFTER, &after);
	}
	*retry = after > 0 ? after * 1000 : MODELS_RETRY_MS;
	curl_easy_cleanup(curl);
	return status;
}

static void
load_result(struct models *ms, struct model *m, long status, msec retry)
{
	msec now = msec_now();

	if (status == 200) {
		m->fetched = true;
		m->due = now + ms->load_time;
	} else if (status == 404)
		m->state = MODEL_FAILED;
	else
		m->due = now + retry;
}

/* The lock is given up while the weight store is asked. */
static void
load_step(struct models *ms, struct model *m)
{
	g_autofree char *name = NULL, *version = NULL, *url = NULL;
	long status = 200;
	msec retry = 0;

	if (m->fetched) {
		m->state = MODEL_READY;
		return;
	}
	name = g_strdup(m->name);
	version = g_strdup(m->version);
	if (ms->weights != NULL) {
		url = g_strdup_printf(
		    "%s/v1/weights/%s/%s", ms->weights, name, version);
		pthread_mutex_unlock(ms->lock);
		status = load_fetch(url, &retry);
		pthread_mutex_lock(ms->lock);
	}
	/* A newer order may have dropped it meanwhile. */
	m = model_find(ms, name, version);
	if (m != NULL && m->state == MODEL_LOADING)
		load_result(ms, m, status, retry);
}

static struct model *
load_next(struct models *ms, bool *any)
{
	struct model *m;
	msec now = msec_now();

	*any = false;
	TAILQ_FOREACH (m, &ms->list, entry) {
		if (m->state != MODEL_LOADING)
			continue;
		*any = true;
		if (m->due <= now)
			return m;
	}
	return NULL;
}

static void *
load_run(void *arg)
{
	struct models *ms = arg;
	struct timespec ts = { 0, MODELS_POLL_MS * 1000000 };
	struct model *m;
	bool any;

	pthread_mutex_lock(ms->lock);
	for (;;) {
		m = load_next(ms, &any);
		if (m != NULL)
			load_step(ms, m);
		else if (!any)
			pthread_cond_wait(&ms->cond, ms->lock);
		else {
			pthread_mutex_unlock(ms->lock);
			nanosleep(&ts, NULL);
			pthread_mutex_lock(ms->lock);
		}
	}
	return NULL;
}

void
models_start(struct models *ms)
{
	pthread_t thread;

	pthread_create(&thread, NULL, load_run, ms);
	pthread_detach(thread);
}
