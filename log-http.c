/*
 * One HTTP request to the log service; see log-http.h.
 */

#define LOG_PART "log"
#include "log-http.h"

#include <inttypes.h>
#include <string.h>

#include <jansson.h>

#define CONNECT_TIMEOUT (2 * MSEC_SECOND)

static size_t http_write(char *, size_t, size_t, void *);
static void http_prepare(struct log_http *, msec);
static bool http_check_response(struct log_http *, CURLcode, GError **);
static bool page_entry_decode(struct log_entry *, const json_t *);

void
log_http_setup(void)
{
	static gsize done;

	if (g_once_init_enter(&done)) {
		curl_global_init(CURL_GLOBAL_DEFAULT);
		g_once_init_leave(&done, 1);
	}
}

static size_t
http_write(char *data, size_t size, size_t n, void *arg)
{
	struct log_http *h = arg;

	if (h->response->len + size * n > LOG_RESPONSE_BYTES_MAX)
		return 0;
	g_string_append_len(h->response, data, (gssize)(size * n));
	return size * n;
}

static void
http_prepare(struct log_http *h, msec timeout)
{
	log_http_setup();
	h->easy = curl_easy_init();
	if (h->easy == NULL)
		g_error("out of memory for a request to the log service");
	h->response = g_string_new(NULL);
	h->headers = NULL;
	h->error[0] = '\0';
	curl_easy_setopt(h->easy, CURLOPT_URL, h->url);
	curl_easy_setopt(h->easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(h->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(h->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h->easy, CURLOPT_TIMEOUT_MS, (long)MAX(timeout, 1));
	curl_easy_setopt(
	    h->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT);
	curl_easy_setopt(h->easy, CURLOPT_ERRORBUFFER, h->error);
	curl_easy_setopt(h->easy, CURLOPT_WRITEFUNCTION, http_write);
	curl_easy_setopt(h->easy, CURLOPT_WRITEDATA, h);
	curl_easy_setopt(h->easy, CURLOPT_PRIVATE, h);
}

void
log_http_append(struct log_http *h, const char *base, const char *stream,
    const char *text, msec timeout)
{
	h->url = g_strdup_printf("%s/v1/streams/%s/records", base, stream);
	http_prepare(h, timeout);
	/* "Expect: 100-continue" would cost a round trip for each record. */
	h->headers = curl_slist_append(NULL, "Expect:");
	h->headers =
	    curl_slist_append(h->headers, "Content-Type: application/json");
	curl_easy_setopt(h->easy, CURLOPT_HTTPHEADER, h->headers);
	curl_easy_setopt(h->easy, CURLOPT_POSTFIELDSIZE, (long)strlen(text));
	curl_easy_setopt(h->easy, CURLOPT_POSTFIELDS, text);
}

void
log_http_read(struct log_http *h, const char *base, const char *stream,
    uint64_t from, unsigned int most, msec wait, msec timeout)
{
	h->url = g_strdup_printf("%s/v1/streams/%s/records?from=%" PRIu64
				 "&max=%u&wait_ms=%" PRId64,
	    base, stream, from, most, wait);
	http_prepare(h, timeout);
}

/*
 * Classify a failed request as "certainly not appended" or "possibly appended".
 * It is certain only if the request was never sent, or if the response has a
 * status for which the service guarantees that nothing was appended. A
 * connection that broke after the request was sent appears as an empty response
 * or a timeout, and the append may have taken effect.
 */
static bool
http_check_response(struct log_http *h, CURLcode rc, GError **error)
{
	long status = 0, sent = 0;

	curl_easy_getinfo(h->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(h->easy, CURLINFO_REQUEST_SIZE, &sent);
	if (rc == CURLE_OK && status == 200)
		return true;
	if (rc != CURLE_OK) {
		g_set_error(error, SAVORY_ERROR,
		    sent == 0 ? SAVORY_ERROR_UNREACHABLE : SAVORY_ERROR_UNKNOWN,
		    "%s: %s", h->url,
		    h->error[0] != '\0' ? h->error : curl_easy_strerror(rc));
		return false;
	}
	if (status == 503)
		g_set_error(error, SAVORY_ERROR, SAVORY_ERROR_UNREACHABLE,
		    "%s: the log service is unavailable", h->url);
	else if (status >= 400 && status < 500)
		g_set_error(error, SAVORY_ERROR, SAVORY_ERROR_REFUSED,
		    "%s: status %ld", h->url, status);
	else
		g_set_error(error, SAVORY_ERROR, SAVORY_ERROR_UNKNOWN,
		    "%s: status %ld", h->url, status);
	return false;
}

uint64_t
log_http_append_result(struct log_http *h, CURLcode rc, GError **error)
{
	json_t *o;
	json_int_t offset;

	if (!http_check_response(h, rc, error))
		return 0;
	o = json_loadb(h->response->str, h->response->len, 0, NULL);
	offset = json_integer_value(json_object_get(o, "offset"));
	json_decref(o);
	if (offset > 0)
		return (uint64_t)offset;
	g_set_error(error, SAVORY_ERROR, SAVORY_ERROR_UNKNOWN,
	    "%s: the response has no offset", h->url);
	return 0;
}

bool
log_http_read_result(
    struct log_http *h, CURLcode rc, struct log_page *page, GError **error)
{
	*page = (struct log_page){ 0 };
	if (!http_check_response(h, rc, error))
		return false;
	if (log_page_decode(page, h->response->str, h->response->len))
		return true;
	g_set_error(error, SAVORY_ERROR, SAVORY_ERROR_UNKNOWN,
	    "%s: the response is not a page of records", h->url);
	return false;
}

msec
log_http_retry_after(const struct log_http *h)
{
	curl_off_t seconds = 0;

	curl_easy_getinfo(h->easy, CURLINFO_RETRY_AFTER, &seconds);
	return (msec)seconds * MSEC_SECOND;
}

void
log_http_finish(struct log_http *h)
{
	curl_easy_cleanup(h->easy);
	curl_slist_free_all(h->headers);
	g_string_free(h->response, TRUE);
	g_free(h->url);
	*h = (struct log_http){ 0 };
}

static bool
page_entry_decode(struct log_entry *e, const json_t *o)
{
	json_t *data = json_object_get(o, "data");
	json_int_t offset = json_integer_value(json_object_get(o, "offset"));

	if (offset <= 0 || !json_is_string(data))
		return false;
	e->offset = (uint64_t)offset;
	e->wall = json_integer_value(json_object_get(o, "time_ms"));
	e->len = json_string_length(data);
	e->data = g_memdup2(json_string_value(data), e->len + 1);
	return true;
}

bool
log_page_decode(struct log_page *page, const char *text, size_t len)
{
	json_t *o, *records, *one;
	json_int_t first, next;
	size_t i;
	bool ok;

	*page = (struct log_page){ 0 };
	o = json_loadb(text, len, JSON_ALLOW_NUL, NULL);
	first = json_integer_value(json_object_get(o, "first"));
	next = json_integer_value(json_object_get(o, "next"));
	records = json_object_get(o, "records");
	ok = first > 0 && next >= first && json_is_array(records);
	if (ok) {
		page->first = (uint64_t)first;
		page->next = (uint64_t)next;
		page->entries =
		    g_new0(struct log_entry, json_array_size(records));
		json_array_foreach (records, i, one) {
			if (!page_entry_decode(&page->entries[i], one)) {
				ok = false;
				break;
			}
			page->nentries++;
		}
	}
	json_decref(o);
	if (!ok)
		log_page_finish(page);
	return ok;
}

void
log_page_finish(struct log_page *page)
{
	unsigned int i;

	for (i = 0; i < page->nentries; i++)
		g_free(page->entries[i].data);
	g_free(page->entries);
	*page = (struct log_page){ 0 };
}
