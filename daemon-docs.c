/*
 * Documents in force. The core folds the records of the documents stream and
 * publishes an immutable, reference-counted set to the caller threads.
 */

#define LOG_PART "docs"
#include "daemon.h"

#include <string.h>

/* Longest random delay before a checkpoint, so that mostly one node writes it.
 */
#define DOCS_CHECKPOINT_WAIT_MS 3000

static void docs_refresh(struct daemon *);
static void docs_page(struct daemon *, const struct log_page *, msec);

struct doc_ref *
doc_ref_new(void)
{
	struct doc_ref *r = g_new0(struct doc_ref, 1);

	r->refs = 1;
	return r;
}

struct doc_ref *
doc_ref_take(struct doc_ref *r)
{
	g_atomic_int_inc(&r->refs);
	return r;
}

void
doc_ref_drop(struct doc_ref *r)
{
	if (!g_atomic_int_dec_and_test(&r->refs))
		return;
	document_finish(&r->doc);
	g_free(r);
}

/* Returns the current set; it does not change until the reader drops it. */
struct doc_set *
doc_set_take(struct daemon *d)
{
	struct doc_set *s;

	pthread_mutex_lock(&d->docs_lock);
	s = d->docs;
	g_atomic_int_inc(&s->refs);
	pthread_mutex_unlock(&d->docs_lock);
	return s;
}

void
doc_set_drop(struct doc_set *s)
{
	unsigned int i;

	if (!g_atomic_int_dec_and_test(&s->refs))
		return;
	for (i = 0; i < s->count; i++)
		doc_ref_drop(s->list[i]);
	g_free(s->list);
	g_free(s);
}

struct doc_ref *
doc_set_find(const struct doc_set *s, const char *service)
{
	unsigned int i;

	for (i = 0; i < s->count; i++) {
		if (strcmp(s->list[i]->doc.service, service) == 0)
			return s->list[i];
	}
	return NULL;
}

void
doc_set_publish(struct daemon *d, struct doc_ref *r)
{
	struct doc_set *old = d->docs, *new = g_new0(struct doc_set, 1);
	unsigned int i;

	new->refs = 1;
	new->list = g_new0(struct doc_ref *, old->count + 1);
	for (i = 0; i < old->count; i++) {
		if (strcmp(old->list[i]->doc.service, r->doc.service) != 0)
			new->list[new->count++] = doc_ref_take(old->list[i]);
	}
	new->list[new->count++] = r;
	pthread_mutex_lock(&d->docs_lock);
	d->docs = new;
	pthread_mutex_unlock(&d->docs_lock);
	doc_set_drop(old);
}

void
daemon_docs_init(struct daemon *d)
{
	pthread_mutex_init(&d->docs_lock, NULL);
	d->docs = g_new0(struct doc_set, 1);
	d->docs->refs = 1;
	doc_fold_init(&d->fold);
}

void
daemon_docs_finish(struct daemon *d)
{
	doc_set_drop(d->docs);
	doc_fold_finish(&d->fold);
	pthread_mutex_destroy(&d->docs_lock);
}

/* Puts a folded version in force, unless it or a newer one already is. */
static void
docs_put_in_force(struct daemon *d, const struct doc_version *v, msec now)
{
	struct doc_ref *held = doc_set_find(d->docs, v->service), *r;
	struct findings findings;

	if (held != NULL && held->doc.version >= v->version)
		return;
	r = doc_ref_new();
	findings_init(&findings);
	if (!document_parse(
		&r->doc, v->text, strlen(v->text), v->service, &findings)) {
		log_warn_of(LOG_SERVICE, v->service,
		    "version %" G_GUINT64_FORMAT " of %s does not parse",
		    v->version, v->service);
		doc_ref_drop(r);
	} else {
		r->doc.version = v->version;
		log_info_of(LOG_SERVICE, v->service,
		    "%s: version %" G_GUINT64_FORMAT " in force", v->service,
		    v->version);
		dispatch_set_document(&d->dispatch, now, &r->doc);
		daemon_placement_document(d, &r->doc, now);
		doc_set_publish(d, r);
	}
	findings_finish(&findings);
}

static void
docs_refresh(struct daemon *d)
{
	struct doc_version *v;
	msec now = msec_now();

	RB_FOREACH (v, doc_version_tree, &d->fold.services)
		docs_put_in_force(d, v, now);
	daemon_self_update(d, now);
	/* The documents' traits set the initial slots of an engine. */
	daemon_engines_update(d, now);
}

static void
docs_page(struct daemon *d, const struct log_page *p, msec now)
{
	enum doc_verdict v;
	unsigned int i;

	if (!doc_fold_gap(&d->fold, p->first)) {
		log_warn("document records before offset %" G_GUINT64_FORMAT
			 " are no longer in the log",
		    p->first);
	}
	for (i = 0; i < p->nentries; i++) {
		v = doc_fold_apply(&d->fold, p->entries[i].offset,
		    p->entries[i].wall, p->entries[i].data, p->entries[i].len);
		log_debug("record %" G_GUINT64_FORMAT ": verdict %d",
		    p->entries[i].offset, v);
	}
	d->log_first = p->first;
	d->log_next = p->next;
	if (d->fold.next >= p->next && doc_fold_exact(&d->fold) &&
	    !d->documents_read) {
		log_info("read all documents up to offset %" G_GUINT64_FORMAT,
		    p->next);
		d->documents_read = true;
	}
	docs_refresh(d);
}

void
daemon_docs_log_event(struct daemon *d, struct log_event *e, msec now)
{
	switch (e->kind) {
	case LOG_EVENT_PAGE:
		if (strcmp(e->stream, LOG_STREAM_DOCUMENTS) == 0)
			docs_page(d, &e->page, now);
		break;
	case LOG_EVENT_DOWN:
		log_warn("the log does not answer");
		d->log_down = true;
		break;
	case LOG_EVENT_UP:
		log_info("the log answers");
		d->log_down = false;
		break;
	case LOG_EVENT_APPENDED:
		log_debug("appended at %" G_GUINT64_FORMAT, e->offset);
		break;
	case LOG_EVENT_APPEND_FAILED:
	case LOG_EVENT_APPEND_UNKNOWN:
		log_warn_of(LOG_STREAM, e->stream, "an append to %s has failed",
		    e->stream);
		break;
	}
}

/* ---- import from a peer, until the documents are read ---- */

static void
docs_imported(struct daemon *d, struct fetch *f, msec now)
{
	d->import_busy = false;
	if (f->status != 200 || f->json == NULL)
		return;
	if (!doc_fold_import(&d->fold, json_object_get(f->json, "fold"))) {
		log_warn("a peer's documents are malformed");
		return;
	}
	docs_refresh(d);
	if (json_is_true(json_object_get(f->json, "caught_up"))) {
		if (!d->documents_read)
			log_info("imported the documents from a peer");
		d->documents_read = true;
	}
}

static struct member *
docs_random_peer(struct daemon *d)
{
	struct member *m, *pick = NULL;
	gint n = 0;

	RB_FOREACH (m, member_tree, &d->members.tree) {
		if (m->state == MEMBER_DEAD || m->control_port == 0)
			continue;
		if (g_rand_int_range(d->rng, 0, ++n) == 0)
			pick = m;
	}
	return pick;
}

static void
docs_import(struct daemon *d)
{
	struct member *m = docs_random_peer(d);
	char at[ENDPOINT_SIZE];
	struct fetch *f;

	if (m == NULL)
		return;
	f = g_new0(struct fetch, 1);
	f->url = g_strdup_printf("http://%s/control/state",
	    endpoint_text(at, m->address, m->control_port));
	f->authorization = g_strdup(d->settings.peer_key);
	f->timeout = 2 * MSEC_SECOND;
	f->done = docs_imported;
	d->import_busy = true;
	fetch_start(d, f);
}

/* Returns the record that is due: a service's checkpoint or the index; or NULL.
 */
static char *
docs_checkpoint_text(struct daemon *d, const char *id)
{
	struct doc_stream_range edges = {
		.first = d->log_first, .next = d->log_next, .wall = msec_wall()
	};
	struct doc_version *v = doc_fold_checkpoint_due(&d->fold, &edges);

	if (v != NULL) {
		log_info_of(
		    LOG_SERVICE, v->service, "checkpoint of %s", v->service);
		return doc_checkpoint_encode(&d->fold, v, id);
	}
	if (doc_fold_index_due(&d->fold, &edges))
		return doc_index_encode(&d->fold, id);
	return NULL;
}

/*
 * The node whose random delay ends first writes the checkpoint. Two checkpoints
 * or a late one are harmless: only a closed one (doc-fold.h) counts.
 */
static void
docs_checkpoint(struct daemon *d, msec now)
{
	g_autofree char *text = NULL;
	char id[LOG_ID_SIZE];

	if (d->log_down || !d->documents_read || now < d->checkpoint_check_at)
		return;
	log_id_make(id);
	text = docs_checkpoint_text(d, id);
	d->checkpoint_check_at =
	    now + g_rand_int_range(d->rng, 1, DOCS_CHECKPOINT_WAIT_MS);
	if (text == NULL)
		return;
	if (!d->checkpoint_was_due) {
		/* It became due only now: give other nodes time to write it. */
		d->checkpoint_was_due = true;
		return;
	}
	d->checkpoint_was_due = false;
	daemon_metrics_append(d, METRICS_APPEND_DOCUMENTS);
	log_io_append(
	    d->log, LOG_STREAM_DOCUMENTS, text, id, 10 * MSEC_SECOND, 0);
}

void
daemon_docs_tick(struct daemon *d, msec now)
{
	docs_checkpoint(d, now);
	if (now < d->import_due || d->import_busy)
		return;
	d->import_due = now + MSEC_SECOND;
	if (!d->documents_read)
		docs_import(d);
	/* Without the VM list there is no backend server to send requests to.
	 */
	if (d->documents_read && d->vm_list_read &&
	    d->state == DAEMON_JOINING) {
		log_info("serving");
		g_atomic_int_set((gint *)&d->state, DAEMON_SERVING);
	}
}
