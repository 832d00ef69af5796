/*
 * The blocking log client of the tool and the tests; see log-client.h.
 */

#define LOG_PART "log"
#include "log-http.h"
#include "log-record.h"

#include <string.h>

#define ATTEMPT_TIMEOUT (5 * MSEC_SECOND)
#define BACKOFF_MIN ((msec)50)
#define BACKOFF_MAX ((msec)1000)

static bool entry_has_id(const struct log_entry *, const char *);
static void backoff_wait(msec *, msec);

uint64_t
log_append(const char *base, const char *stream, const char *text, msec timeout,
    GError **error)
{
	struct log_http h;
	uint64_t offset;

	log_http_append(&h, base, stream, text, timeout);
	offset = log_http_append_result(&h, curl_easy_perform(h.easy), error);
	log_http_finish(&h);
	return offset;
}

bool
log_read(const char *base, const char *stream, uint64_t from, msec wait,
    msec timeout, struct log_page *page, GError **error)
{
	struct log_http h;
	bool ok;

	log_http_read(&h, base, stream, from, LOG_READ_MAX, wait, timeout);
	ok = log_http_read_result(&h, curl_easy_perform(h.easy), page, error);
	log_http_finish(&h);
	return ok;
}

static bool
entry_has_id(const struct log_entry *e, const char *id)
{
	json_t *o = log_record_decode(e->data, e->len);
	bool same = o != NULL && strcmp(log_record_id(o), id) == 0;

	json_decref(o);
	return same;
}

uint64_t
log_page_find(const struct log_page *page, const char *id)
{
	unsigned int i;

	for (i = 0; i < page->nentries; i++) {
		if (entry_has_id(&page->entries[i], id))
			return page->entries[i].offset;
	}
	return 0;
}

bool
log_find_id(const char *base, const char *stream, const char *id, uint64_t from,
    msec until, uint64_t *offset, GError **error)
{
	struct log_page page;
	uint64_t next;

	*offset = 0;
	for (;;) {
		if (!log_read(base, stream, from, 0,
			MIN(until - msec_now(), ATTEMPT_TIMEOUT), &page, error))
			return false;
		*offset = log_page_find(&page, id);
		if (page.nentries > 0)
			from = page.entries[page.nentries - 1].offset + 1;
		next = page.nentries > 0 ? page.next : from;
		log_page_finish(&page);
		if (*offset != 0 || from >= next)
			return true;
	}
}

/* Wait between half and all of the backoff, so that clients don't synchronise.
 */
static void
backoff_wait(msec *backoff, msec until)
{
	msec left = until - msec_now();
	msec wait = *backoff / 2 + g_random_int_range(0, (gint32)*backoff / 2);

	if (left > 0)
		g_usleep((gulong)MIN(wait, left) * 1000);
	*backoff = MIN(*backoff * 2, BACKOFF_MAX);
}

/*
 * Guards against a response that is lost after the append took effect, which
 * appears as a timeout or a broken connection. The stream is then read back to
 * look for the id. If the id is not there yet, appending again is harmless,
 * since every fold of the stream ignores ids that it has processed. An attempt
 * with an unknown outcome may still take effect later, so after one the result
 * is never "not appended".
 */
uint64_t
log_append_id(const char *base, const char *stream, const char *text,
    const char *id, uint64_t from, msec timeout, GError **error)
{
	msec until = msec_now() + timeout, backoff = BACKOFF_MIN;
	bool unknown = false;
	uint64_t offset, first;
	GError *e = NULL;

	for (;;) {
		g_clear_error(&e);
		offset = log_append(base, stream, text,
		    MIN(until - msec_now(), ATTEMPT_TIMEOUT), &e);
		if (offset != 0 && !unknown)
			return offset;
		if (offset == 0 && e->code == SAVORY_ERROR_UNKNOWN)
			unknown = true;
		if (unknown && msec_now() < until &&
		    log_find_id(base, stream, id, from, until, &first, NULL) &&
		    first != 0) {
			g_clear_error(&e);
			return first;
		}
		if (offset != 0)
			return offset;
		if (msec_now() >= until)
			break;
		backoff_wait(&backoff, until);
	}
	if (unknown)
		e->code = SAVORY_ERROR_UNKNOWN;
	g_propagate_error(error, e);
	return 0;
}
