/*
 * Reads the edits on the log, each with the verdict that every node's fold
 * reaches.
 */

#define LOG_PART "edits"
#include "cmd.h"
#include "log-client.h"
#include "log-record.h"

#include <string.h>

#define READ_TIMEOUT (10 * MSEC_SECOND)

static const char *const verdict_names[] = { [DOC_ACCEPTED] = "accepted",
	[DOC_CONFLICT] = "conflict",
	[DOC_REPEATED] = "repeated",
	[DOC_REFUSED] = "refused",
	[DOC_CHECKPOINT] = "checkpoint",
	[DOC_STALE] = "checkpoint",
	[DOC_UNKNOWN] = "unknown",
	[DOC_SKIPPED] = "skipped" };

const char *
verdict_name(enum doc_verdict verdict)
{
	return verdict_names[verdict];
}

void
edits_init(struct edits *e)
{
	doc_fold_init(&e->fold);
	TAILQ_INIT(&e->list);
}

void
edits_finish(struct edits *e)
{
	struct edit *one;

	while ((one = TAILQ_FIRST(&e->list)) != NULL) {
		TAILQ_REMOVE(&e->list, one, entry);
		g_free(one->id);
		g_free(one->service);
		g_free(one->by);
		g_free(one->text);
		g_free(one);
	}
	doc_fold_finish(&e->fold);
}

static char *
record_text(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return g_strdup(s != NULL ? s : "");
}

void
edits_apply(
    struct edits *e, uint64_t offset, msec wall, const char *data, size_t len)
{
	enum doc_verdict verdict;
	struct edit *one;
	json_t *o;

	verdict = doc_fold_apply(&e->fold, offset, wall, data, len);
	if (verdict == DOC_SKIPPED || verdict == DOC_CHECKPOINT ||
	    verdict == DOC_STALE)
		return;
	if ((o = log_record_decode(data, len)) == NULL)
		return;
	one = g_new0(struct edit, 1);
	one->offset = offset;
	one->wall = wall;
	one->verdict = verdict;
	log_record_uint(o, "base", &one->base);
	one->id = g_strdup(log_record_id(o));
	one->service = record_text(o, "service");
	one->by = record_text(o, "by");
	one->text = record_text(o, "text");
	TAILQ_INSERT_TAIL(&e->list, one, entry);
	json_decref(o);
}

struct edit *
edits_find_id(const struct edits *e, const char *id)
{
	struct edit *one;

	TAILQ_FOREACH (one, &e->list, entry) {
		if (strcmp(one->id, id) == 0)
			return one;
	}
	return NULL;
}

const char *
edits_text(struct edits *e, const char *service, uint64_t version)
{
	const struct doc_version *v = doc_fold_find(&e->fold, service);
	const struct edit *one;

	if (v != NULL && v->version == version)
		return v->text;
	TAILQ_FOREACH (one, &e->list, entry) {
		if (one->offset == version &&
		    strcmp(one->service, service) == 0)
			return one->text;
	}
	return NULL;
}

bool
edits_read(struct edits *e, const char *url, GError **error)
{
	struct log_page page;
	struct log_entry *one;
	unsigned int i, n;
	uint64_t end;

	do {
		if (!log_read(url, LOG_STREAM_DOCUMENTS, e->fold.next, 0,
			READ_TIMEOUT, &page, error))
			return false;
		if (page.first > e->fold.next)
			doc_fold_gap(&e->fold, page.first);
		for (i = 0; i < page.nentries; i++) {
			one = &page.entries[i];
			edits_apply(
			    e, one->offset, one->wall, one->data, one->len);
		}
		n = page.nentries;
		end = page.next;
		log_page_finish(&page);
	} while (n > 0 && e->fold.next < end);
	log_debug("read the documents to their end");
	return true;
}
