/*
 * Functions that the commands share: messages, files, times and HTTP.
 */

#define LOG_PART "tool"
#include "cmd.h"

#include <errno.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#define FILE_MAX (1024 * 1024)
#define ANSWER_MAX (16 * 1024 * 1024)
#define CONNECT_TIMEOUT (2 * MSEC_SECOND)
#define CONTROL_TIMEOUT (5 * MSEC_SECOND)
#define PARALLEL_THREADS 16

static size_t http_body(char *, size_t, size_t, void *);
static size_t http_header(char *, size_t, size_t, void *);

void
cmd_print_message(const char *fmt, ...)
{
	g_autofree char *text = NULL;
	va_list ap;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	fprintf(stderr, "savorypier: %s\n", text);
}

enum cmd_retval
cmd_fail(const GError *error)
{
	cmd_print_message("%s", error->message);
	if (error->domain != SAVORY_ERROR)
		return CMD_REFUSED;
	switch (error->code) {
	case SAVORY_ERROR_UNREACHABLE:
		return CMD_UNREACHABLE;
	case SAVORY_ERROR_UNKNOWN:
		return CMD_UNKNOWN;
	case SAVORY_ERROR_CONFLICT:
		return CMD_CONFLICT;
	default:
		return CMD_REFUSED;
	}
}

void
cmd_print_json(json_t *o)
{
	json_dumpf(o, stdout, JSON_INDENT(2) | JSON_ENCODE_ANY);
	putchar('\n');
	json_decref(o);
}

char *
cmd_time(msec wall)
{
	g_autoptr(GDateTime) t = g_date_time_new_from_unix_utc(wall / 1000);

	return t == NULL ? g_strdup("-")
			 : g_date_time_format(t, "%Y-%m-%dT%H:%M:%SZ");
}

char *
cmd_read_file(const char *name, size_t *len, GError **error)
{
	GString *s = g_string_new(NULL);
	char piece[8192];
	FILE *fp = stdin;
	size_t n;
	int failed;

	if (strcmp(name, "-") != 0)
		fp = fopen(name, "re");
	if (fp == NULL) {
		g_set_error(error, SAVORY_ERROR, SAVORY_ERROR_INVALID, "%s: %s",
		    name, g_strerror(errno));
		g_string_free(s, TRUE);
		return NULL;
	}
	while (s->len <= FILE_MAX && (n = fread(piece, 1, sizeof piece, fp)))
		g_string_append_len(s, piece, n);
	failed = ferror(fp);
	if (fp != stdin)
		fclose(fp);
	if (failed) {
		g_set_error(error, SAVORY_ERROR, SAVORY_ERROR_INVALID,
		    "%s: cannot be read", name);
		g_string_free(s, TRUE);
		return NULL;
	}
	*len = s->len;
	return g_string_free(s, FALSE);
}

static size_t
http_body(char *data, size_t size, size_t n, void *arg)
{
	const struct http_call *h = arg;

	if (h->body_fn != NULL)
		h->body_fn(h->arg, data, size * n);
	return size * n;
}

static size_t
http_header(char *data, size_t size, size_t n, void *arg)
{
	const struct http_call *h = arg;

	if (h->header_fn != NULL)
		h->header_fn(h->arg, data, size * n);
	return size * n;
}

static void
http_prepare(CURL *easy, const struct http_call *h, struct curl_slist *headers)
{
	curl_easy_setopt(easy, CURLOPT_URL, h->url);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, h->method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)h->timeout);
	curl_easy_setopt(
	    easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT);
	/*
	 * libcurl resends a request when a reused connection turns out to be
	 * closed. On a fresh connection it never does, so that a booking is
	 * sent only once.
	 */
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, http_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, h);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, http_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, h);
	if (h->body != NULL) {
		curl_easy_setopt(
		    easy, CURLOPT_POSTFIELDSIZE, (long)strlen(h->body));
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, h->body);
	}
}

long
http_perform(const struct http_call *h, GError **error)
{
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	CURL *easy = curl_easy_init();
	long status = 0, sent = 0;
	unsigned int i;
	CURLcode rc;

	for (i = 0; h->headers != NULL && h->headers[i] != NULL; i++)
		headers = curl_slist_append(headers, h->headers[i]);
	http_prepare(easy, h, headers);
	rc = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	if (rc == CURLE_OK)
		return status;
	g_set_error(error, SAVORY_ERROR,
	    sent == 0 ? SAVORY_ERROR_UNREACHABLE : SAVORY_ERROR_UNKNOWN,
	    "%s: %s", h->url, curl_easy_strerror(rc));
	return 0;
}

static void
answer_append(void *arg, const char *data, size_t n)
{
	GString *s = arg;

	if (s->len + n <= ANSWER_MAX)
		g_string_append_len(s, data, n);
}

/* The JSON object of an answer, or an error unless the status is 200. */
static json_t *
answer_json(const char *url, long status, const GString *s, GError **error)
{
	json_t *o = json_loadb(s->str, s->len, 0, NULL);
	const char *server_message = json_string_value(
	    json_object_get(json_object_get(o, "error"), "message"));

	if (status == 200 && json_is_object(o))
		return o;
	if (status == 200)
		g_set_error(error, SAVORY_ERROR, SAVORY_ERROR_UNKNOWN,
		    "%s: the answer is not a JSON object", url);
	else
		g_set_error(error, SAVORY_ERROR, SAVORY_ERROR_REFUSED,
		    "%s: status %ld%s%s", url, status,
		    server_message != NULL ? ": " : "",
		    server_message != NULL ? server_message : "");
	json_decref(o);
	return NULL;
}

static json_t *
json_call(const char *method, const char *url, const char *const *headers,
    GError **error)
{
	GString *s = g_string_new(NULL);
	struct http_call h = { method, url, headers, NULL, CONTROL_TIMEOUT,
		answer_append, NULL, s };
	json_t *o = NULL;
	long status;

	if ((status = http_perform(&h, error)) != 0)
		o = answer_json(url, status, s, error);
	g_string_free(s, TRUE);
	return o;
}

/* The peer key, from the file or the environment; "" without either. */
static char *
peer_key(const struct cmd *c, GError **error)
{
	const char *env = g_getenv("SAVORYPIER_PEER_KEY");
	size_t n;
	char *key;

	if (c->peer_key_file == NULL)
		return g_strdup(env != NULL ? env : "");
	key = cmd_read_file(c->peer_key_file, &n, error);
	return key == NULL ? NULL : g_strchomp(key);
}

json_t *
control_call(const struct cmd *c, const char *method, const char *address,
    const char *path, GError **error)
{
	g_autofree char *url = g_strdup_printf("http://%s%s", address, path);
	g_autofree char *key = peer_key(c, error);
	g_autofree char *header = NULL;
	const char *headers[] = { NULL, NULL };

	if (key == NULL)
		return NULL;
	header = g_strdup_printf("Authorization: Bearer %s", key);
	headers[0] = header;
	return json_call(method, url, headers, error);
}

json_t *
caller_call(const char *address, const char *path, GError **error)
{
	g_autofree char *url = g_strdup_printf("http://%s%s", address, path);

	return json_call("GET", url, NULL, error);
}

/* Items shared by several threads; each thread takes the next one. */
struct parallel_work {
	void **items;
	unsigned int n;
	unsigned int next; /* atomic */
	void (*fn)(void *);
};

static void *
parallel_work_run(void *arg)
{
	struct parallel_work *e = arg;
	unsigned int i;

	while ((i = __atomic_fetch_add(&e->next, 1, __ATOMIC_RELAXED)) < e->n)
		e->fn(e->items[i]);
	return NULL;
}

/* The calling thread works too, so no item is left if no thread starts. */
void
cmd_run_parallel(void **items, unsigned int n, void (*fn)(void *))
{
	struct parallel_work e = { items, n, 0, fn };
	pthread_t threads[PARALLEL_THREADS];
	unsigned int i, started = 0;

	while (
	    started < PARALLEL_THREADS && started + 1 < n &&
	    pthread_create(&threads[started], NULL, parallel_work_run, &e) == 0)
		started++;
	parallel_work_run(&e);
	for (i = 0; i < started; i++)
		pthread_join(threads[i], NULL);
}
