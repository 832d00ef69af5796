/*
 * Computes which service document is in force; see doc-fold.h for the records
 * and for when a fold can judge them.
 */

#define LOG_PART "doc"
#include "doc-fold.h"
#include "log-record.h"

#include <inttypes.h>
#include <string.h>

#include <xxhash.h>

/* A checkpoint's or a peer's state of one service, before it is checked. */
struct doc_snapshot {
	const char *service;
	uint64_t at;
	uint64_t version;
	const char *text;
	const char *by;
	msec wall;
	const json_t *judged_ids;
	uint64_t anchor; /* as in struct doc_version */
	msec anchor_wall;
};

static int doc_version_cmp(struct doc_version *, struct doc_version *);
static struct doc_version *version_get(struct doc_fold *, const char *, bool);
static void version_free(struct doc_fold *, struct doc_version *);
static void tree_free(struct doc_fold *, struct doc_version_tree *);
static void version_set(struct doc_fold *, struct doc_version *, uint64_t,
    const char *, const char *, msec);
static struct doc_version_tree *
version_tree(struct doc_fold *, const struct doc_version *);
static void judged_ids_clear(struct doc_version *);
static void judged_ids_add(struct doc_version *, const char *);
static bool judged_ids_contain(const struct doc_version *, const char *);
static json_t *judged_ids_encode(const struct doc_version *);
static bool judged_ids_valid(const json_t *);
static enum doc_verdict
apply_record(struct doc_fold *, uint64_t, msec, const json_t *);
static enum doc_verdict
apply_edit(struct doc_fold *, uint64_t, msec, const json_t *);
static enum doc_verdict judge_edit(
    struct doc_fold *, struct doc_version *, uint64_t, msec, const json_t *);
static enum doc_verdict
apply_checkpoint(struct doc_fold *, uint64_t, msec, const json_t *);
static enum doc_verdict
apply_index(struct doc_fold *, uint64_t, msec, const json_t *);
static bool snapshot_decode(struct doc_snapshot *, const json_t *);
static enum doc_verdict
snapshot_apply(struct doc_fold *, const struct doc_snapshot *, bool);
static bool index_agrees(struct doc_fold *, const json_t *);
static bool index_valid(const json_t *);
static void index_set_services(struct doc_fold *, const json_t *);
static bool fold_has_exact_version(const struct doc_fold *);
static bool text_accepted(const char *, const char *);
static bool anchor_due(uint64_t, msec, const struct doc_stream_range *);
static json_t *version_export(const struct doc_version *);
static bool import_valid(const json_t *);
static void import_replace(struct doc_fold *, const json_t *);
static void import_merge(struct doc_fold *, const json_t *);
static void import_index(struct doc_fold *, const json_t *, const json_t *);
static bool import_keeps_versions(struct doc_fold *, const json_t *);
static void version_encode(const struct doc_version *, json_t *);

RB_GENERATE(doc_version_tree, doc_version, entry, doc_version_cmp)

static int
doc_version_cmp(struct doc_version *a, struct doc_version *b)
{
	return strcmp(a->service, b->service);
}

void
doc_fold_init(struct doc_fold *f)
{
	*f = (struct doc_fold){ 0 };
	RB_INIT(&f->services);
	RB_INIT(&f->unknown);
	/* Before the first record no service exists, so the fold is exact. */
	f->next = f->read_from = f->index_anchor = 1;
	f->complete = true;
}

static void
tree_free(struct doc_fold *f, struct doc_version_tree *tree)
{
	struct doc_version *v;

	while ((v = RB_ROOT(tree)) != NULL) {
		/* The analyzer can't follow the tree's links in RB_REMOVE. */
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		version_free(f, v);
	}
}

void
doc_fold_finish(struct doc_fold *f)
{
	tree_free(f, &f->services);
	tree_free(f, &f->unknown);
}

/* The tree that contains a service; `services` has those with a document. */
static struct doc_version_tree *
version_tree(struct doc_fold *f, const struct doc_version *v)
{
	return v->version != 0 ? &f->services : &f->unknown;
}

static struct doc_version *
version_get(struct doc_fold *f, const char *service, bool create)
{
	struct doc_version *v, key;

	g_strlcpy(key.service, service, sizeof key.service);
	v = RB_FIND(doc_version_tree, &f->services, &key);
	if (v == NULL)
		v = RB_FIND(doc_version_tree, &f->unknown, &key);
	if (v != NULL || !create)
		return v;
	v = g_new0(struct doc_version, 1);
	g_strlcpy(v->service, service, sizeof v->service);
	TAILQ_INIT(&v->judged_ids);
	RB_INSERT(doc_version_tree, &f->unknown, v);
	return v;
}

static void
version_free(struct doc_fold *f, struct doc_version *v)
{
	RB_REMOVE(doc_version_tree, version_tree(f, v), v);
	judged_ids_clear(v);
	g_free(v->text);
	g_free(v->by);
	g_free(v);
}

static void
version_set(struct doc_fold *f, struct doc_version *v, uint64_t version,
    const char *text, const char *by, msec wall)
{
	RB_REMOVE(doc_version_tree, version_tree(f, v), v);
	v->version = version;
	RB_INSERT(doc_version_tree, version_tree(f, v), v);
	g_free(v->text);
	v->text = g_strdup(text);
	g_free(v->by);
	v->by = g_strdup(by);
	v->wall = wall;
}

static void
judged_ids_clear(struct doc_version *v)
{
	struct doc_edit_id *s;

	while ((s = TAILQ_FIRST(&v->judged_ids)) != NULL) {
		TAILQ_REMOVE(&v->judged_ids, s, entry);
		g_free(s->id);
		g_free(s);
	}
	v->njudged_ids = 0;
}

static void
judged_ids_add(struct doc_version *v, const char *id)
{
	struct doc_edit_id *s;

	s = g_new0(struct doc_edit_id, 1);
	s->id = g_strdup(id);
	TAILQ_INSERT_TAIL(&v->judged_ids, s, entry);
	if (v->njudged_ids < DOC_FOLD_JUDGED_IDS_MAX) {
		v->njudged_ids++;
		return;
	}
	s = TAILQ_FIRST(&v->judged_ids);
	TAILQ_REMOVE(&v->judged_ids, s, entry);
	g_free(s->id);
	g_free(s);
}

static bool
judged_ids_contain(const struct doc_version *v, const char *id)
{
	const struct doc_edit_id *s;

	TAILQ_FOREACH (s, &v->judged_ids, entry) {
		if (strcmp(s->id, id) == 0)
			return true;
	}
	return false;
}

static json_t *
judged_ids_encode(const struct doc_version *v)
{
	const struct doc_edit_id *s;
	json_t *a = json_array();

	TAILQ_FOREACH (s, &v->judged_ids, entry)
		json_array_append_new(a, json_string(s->id));
	return a;
}

static bool
judged_ids_valid(const json_t *a)
{
	const json_t *one;
	size_t i;

	if (!json_is_array(a) || json_array_size(a) > DOC_FOLD_JUDGED_IDS_MAX)
		return false;
	json_array_foreach (a, i, one) {
		if (!json_is_string(one) ||
		    !log_id_valid(json_string_value(one)))
			return false;
	}
	return true;
}

enum doc_verdict
doc_fold_apply(
    struct doc_fold *f, uint64_t offset, msec wall, const char *data, size_t n)
{
	enum doc_verdict verdict;
	json_t *o;

	/* Two reads may overlap; each record is folded once. */
	if (offset < f->next)
		return DOC_SKIPPED;
	if (offset > f->next)
		doc_fold_gap(f, offset);
	f->next = offset + 1;
	o = log_record_decode(data, n);
	verdict = o == NULL ? DOC_SKIPPED : apply_record(f, offset, wall, o);
	json_decref(o);
	f->counts[verdict]++;
	log_debug("record %" PRIu64 ": verdict %d", offset, verdict);
	return verdict;
}

static enum doc_verdict
apply_record(struct doc_fold *f, uint64_t offset, msec wall, const json_t *o)
{
	const char *kind = log_record_kind(o);

	if (!log_id_valid(log_record_id(o)))
		return DOC_SKIPPED;
	if (strcmp(kind, "doc-edit") == 0)
		return apply_edit(f, offset, wall, o);
	if (strcmp(kind, "doc-checkpoint") == 0)
		return apply_checkpoint(f, offset, wall, o);
	if (strcmp(kind, "doc-index") == 0)
		return apply_index(f, offset, wall, o);
	return DOC_SKIPPED;
}

static enum doc_verdict
apply_edit(struct doc_fold *f, uint64_t offset, msec wall, const json_t *o)
{
	const char *service = json_string_value(json_object_get(o, "service"));
	struct doc_version *v;
	uint64_t base;

	if (service == NULL || !name_valid(service) ||
	    !log_record_uint(o, "base", &base) ||
	    !json_is_string(json_object_get(o, "by")) ||
	    !json_is_string(json_object_get(o, "text")))
		return DOC_SKIPPED;
	if (base == 0)
		f->last_create = offset;
	v = version_get(f, service, !f->complete);
	if (v == NULL || v->exact)
		return judge_edit(f, v, offset, wall, o);
	/*
	 * The fold lacks earlier records of this service, so it can't tell
	 * whether the base was in force. A guess could leave two nodes with
	 * different documents in force at one offset.
	 */
	v->last_edit = offset;
	return DOC_UNKNOWN;
}

/* Judge an edit of an exact service; `v` is NULL when none exists. */
static enum doc_verdict
judge_edit(struct doc_fold *f, struct doc_version *v, uint64_t offset,
    msec wall, const json_t *o)
{
	const char *service = json_string_value(json_object_get(o, "service"));
	const char *text = json_string_value(json_object_get(o, "text"));
	const char *id = log_record_id(o);
	uint64_t base = 0;

	log_record_uint(o, "base", &base);
	if (v != NULL) {
		v->last_edit = offset;
		if (judged_ids_contain(v, id))
			return DOC_REPEATED;
		judged_ids_add(v, id);
	}
	if (base != (v != NULL ? v->version : 0))
		return DOC_CONFLICT;
	if (!text_accepted(service, text))
		return DOC_REFUSED;
	if (v == NULL) {
		v = version_get(f, service, true);
		v->exact = true;
		v->last_edit = offset;
		v->anchor = f->index_anchor;
		v->anchor_wall = f->index_wall;
		judged_ids_add(v, id);
	}
	version_set(f, v, offset, text,
	    json_string_value(json_object_get(o, "by")), wall);
	return DOC_ACCEPTED;
}

/* Depends only on the text, so that all nodes reach the same result. */
static bool
text_accepted(const char *service, const char *text)
{
	struct findings findings;
	struct document d;
	size_t n = strlen(text);
	bool ok;

	if (n > DOCUMENT_BYTES_MAX)
		return false;
	findings_init(&findings);
	ok = document_parse(&d, text, n, service, &findings) &&
	     strcmp(d.service, service) == 0;
	document_finish(&d);
	findings_finish(&findings);
	return ok;
}

static bool
snapshot_decode(struct doc_snapshot *c, const json_t *o)
{
	json_t *wall = json_object_get(o, "wall_ms");

	*c = (struct doc_snapshot){ 0 };
	c->service = json_string_value(json_object_get(o, "service"));
	c->text = json_string_value(json_object_get(o, "text"));
	c->by = json_string_value(json_object_get(o, "by"));
	c->judged_ids = json_object_get(o, "seen");
	c->wall = json_integer_value(wall);
	return c->service != NULL && name_valid(c->service) &&
	       c->text != NULL && strlen(c->text) <= DOCUMENT_BYTES_MAX &&
	       c->by != NULL && json_is_integer(wall) &&
	       judged_ids_valid(c->judged_ids) &&
	       log_record_uint(o, "version", &c->version) && c->version > 0;
}

static enum doc_verdict
apply_checkpoint(
    struct doc_fold *f, uint64_t offset, msec wall, const json_t *o)
{
	struct doc_snapshot c;

	if (!snapshot_decode(&c, o) || !log_record_uint(o, "at", &c.at) ||
	    c.at >= offset || c.version > c.at)
		return DOC_SKIPPED;
	c.anchor = c.at + 1;
	c.anchor_wall = wall;
	return snapshot_apply(f, &c, true);
}

/*
 * Handles two failures. A checkpoint is delayed past a new edit, and applying
 * it would restore the older document: an edit after its `at` makes it an
 * open one, whose version a fold may hold but not as exact. Or records between
 * its `at` and this fold's start are deleted, and one of them may be an edit:
 * then it is open too. A closed checkpoint states what is in force at this
 * offset, so it agrees with every exact fold.
 */
static enum doc_verdict
snapshot_apply(struct doc_fold *f, const struct doc_snapshot *c, bool is_exact)
{
	struct doc_version *v = version_get(f, c->service, !f->complete);
	const json_t *id;
	bool closed, newer;
	size_t i;

	if (v == NULL)
		return DOC_STALE;
	closed = is_exact && f->read_from <= c->at + 1 && v->last_edit <= c->at;
	if (v->exact) {
		if (closed && c->version == v->version &&
		    c->anchor > v->anchor) {
			v->anchor = c->anchor;
			v->anchor_wall = c->anchor_wall;
		}
		return DOC_STALE;
	}
	if (c->version < v->version || (!closed && c->version == v->version))
		return DOC_STALE;
	newer = c->version > v->version;
	if (newer)
		version_set(f, v, c->version, c->text, c->by, c->wall);
	if (closed) {
		v->exact = true;
		v->anchor = c->anchor;
		v->anchor_wall = c->anchor_wall;
	}
	judged_ids_clear(v);
	json_array_foreach (c->judged_ids, i, id)
		judged_ids_add(v, json_string_value(id));
	return DOC_CHECKPOINT;
}

/*
 * True when an index agrees with this fold: it lists every service with a
 * document and, when the fold is complete, no other.
 */
static bool
index_agrees(struct doc_fold *f, const json_t *names)
{
	const json_t *name;
	struct doc_version *v;
	size_t i, common = 0, known = 0;

	json_array_foreach (names, i, name) {
		v = version_get(f, json_string_value(name), false);
		common += v != NULL && (v->version != 0 || f->complete);
	}
	RB_FOREACH (v, doc_version_tree, &f->services)
		known++;
	RB_FOREACH (v, doc_version_tree, &f->unknown)
		known += f->complete;
	return common == known &&
	       (!f->complete || json_array_size(names) == known);
}

static bool
index_valid(const json_t *names)
{
	const json_t *name;
	const char *last = "";
	size_t i;

	if (!json_is_array(names))
		return false;
	/* Sorted, so that no name appears twice. */
	json_array_foreach (names, i, name) {
		if (!json_is_string(name) ||
		    !name_valid(json_string_value(name)) ||
		    strcmp(last, json_string_value(name)) >= 0)
			return false;
		last = json_string_value(name);
	}
	return true;
}

/* Services outside the index do not exist; the others get checkpoints. */
static void
index_set_services(struct doc_fold *f, const json_t *names)
{
	struct doc_version *v, *next;
	const json_t *name;
	size_t i;

	json_array_foreach (names, i, name) {
		v = version_get(f, json_string_value(name), true);
		v->listed_by_index = true;
	}
	RB_FOREACH_SAFE (v, doc_version_tree, &f->unknown, next) {
		if (!v->listed_by_index)
			version_free(f, v);
	}
	f->complete = true;
}

static enum doc_verdict
apply_index(struct doc_fold *f, uint64_t offset, msec wall, const json_t *o)
{
	const json_t *names = json_object_get(o, "services");
	bool was_complete = f->complete;
	uint64_t at;

	if (!log_record_uint(o, "at", &at) || at >= offset ||
	    !index_valid(names))
		return DOC_SKIPPED;
	/* Open, as for checkpoints: a service may have been created since. */
	if (f->read_from > at + 1 || f->last_create > at)
		return DOC_STALE;
	if (!index_agrees(f, names))
		return DOC_STALE;
	if (!was_complete)
		index_set_services(f, names);
	f->index_anchor = MAX(f->index_anchor, at + 1);
	f->index_wall = wall;
	return was_complete ? DOC_STALE : DOC_CHECKPOINT;
}

struct doc_version *
doc_fold_find(struct doc_fold *f, const char *service)
{
	struct doc_version *v;

	if (!name_valid(service))
		return NULL;
	v = version_get(f, service, false);
	return v != NULL && v->version != 0 ? v : NULL;
}

bool
doc_fold_gap(struct doc_fold *f, uint64_t first)
{
	struct doc_version *v;

	if (first <= f->next)
		return true;
	log_info("documents stream: records %" PRIu64 " to %" PRIu64
		 " were deleted before they were read",
	    f->next, first - 1);
	f->next = f->read_from = first;
	f->complete = false;
	RB_FOREACH (v, doc_version_tree, &f->services)
		v->exact = false;
	tree_free(f, &f->unknown);
	return false;
}

static bool
fold_has_exact_version(const struct doc_fold *f)
{
	struct doc_fold *g = (struct doc_fold *)f;
	struct doc_version *v;

	RB_FOREACH (v, doc_version_tree, &g->services) {
		if (v->exact)
			return true;
	}
	return false;
}

bool
doc_fold_exact(const struct doc_fold *f)
{
	struct doc_fold *g = (struct doc_fold *)f;
	struct doc_version *v;

	if (!f->complete || !RB_EMPTY(&f->unknown))
		return false;
	RB_FOREACH (v, doc_version_tree, &g->services) {
		if (!v->exact)
			return false;
	}
	return true;
}

char *
doc_edit_encode(const char *service, uint64_t base, const char *by,
    const char *text, const char *id)
{
	json_t *o;

	if (strlen(text) > DOCUMENT_BYTES_MAX)
		return NULL;
	o = log_record_new("doc-edit", id);
	json_object_set_new(o, "service", json_string(service));
	json_object_set_new(o, "base", json_integer((json_int_t)base));
	/* A JSON string has to be UTF-8. */
	if (json_object_set_new(o, "by", json_string(by)) != 0 ||
	    json_object_set_new(o, "text", json_string(text)) != 0) {
		json_decref(o);
		return NULL;
	}
	return log_record_encode(o);
}

static void
version_encode(const struct doc_version *v, json_t *o)
{
	json_object_set_new(o, "service", json_string(v->service));
	json_object_set_new(o, "version", json_integer((json_int_t)v->version));
	json_object_set_new(o, "text", json_string(v->text));
	json_object_set_new(o, "by", json_string(v->by));
	json_object_set_new(o, "wall_ms", json_integer(v->wall));
	json_object_set_new(o, "seen", judged_ids_encode(v));
}

char *
doc_checkpoint_encode(
    const struct doc_fold *f, const struct doc_version *v, const char *id)
{
	json_t *o;

	if (!v->exact)
		return NULL;
	o = log_record_new("doc-checkpoint", id);
	json_object_set_new(o, "at", json_integer((json_int_t)f->next - 1));
	version_encode(v, o);
	return log_record_encode(o);
}

char *
doc_index_encode(const struct doc_fold *f, const char *id)
{
	struct doc_fold *g = (struct doc_fold *)f;
	struct doc_version *v;
	json_t *o, *names;

	if (!f->complete || !RB_EMPTY(&f->unknown))
		return NULL;
	o = log_record_new("doc-index", id);
	json_object_set_new(o, "at", json_integer((json_int_t)f->next - 1));
	names = json_array();
	RB_FOREACH (v, doc_version_tree, &g->services)
		json_array_append_new(names, json_string(v->service));
	json_object_set_new(o, "services", names);
	return log_record_encode(o);
}

/*
 * Due when a late reader can't use the record any more, or the record has
 * reached half of the maximum age, or lies in the oldest quarter of the kept
 * records. The last rule needs that some records have already aged out.
 */
static bool
anchor_due(uint64_t anchor, msec wall, const struct doc_stream_range *e)
{
	if (anchor < e->first)
		return true;
	if (e->age_max != 0 && wall != 0 && e->wall - wall > e->age_max / 2)
		return true;
	return e->first > 1 && anchor - e->first < (e->next - e->first) / 4;
}

struct doc_version *
doc_fold_checkpoint_due(struct doc_fold *f, const struct doc_stream_range *e)
{
	struct doc_version *v, *found = NULL;

	RB_FOREACH (v, doc_version_tree, &f->services) {
		if (!v->exact || !anchor_due(v->anchor, v->anchor_wall, e))
			continue;
		if (found == NULL || v->anchor < found->anchor)
			found = v;
	}
	return found;
}

bool
doc_fold_index_due(const struct doc_fold *f, const struct doc_stream_range *e)
{
	return f->complete && RB_EMPTY(&f->unknown) && f->next > 1 &&
	       anchor_due(f->index_anchor, f->index_wall, e);
}

static json_t *
version_export(const struct doc_version *v)
{
	json_t *o = json_object();

	version_encode(v, o);
	log_record_set_hex(o, "text_xxh64", XXH64(v->text, strlen(v->text), 0));
	json_object_set_new(o, "exact", json_boolean(v->exact));
	json_object_set_new(
	    o, "last_edit", json_integer((json_int_t)v->last_edit));
	json_object_set_new(o, "anchor", json_integer((json_int_t)v->anchor));
	json_object_set_new(o, "anchor_wall", json_integer(v->anchor_wall));
	return o;
}

json_t *
doc_fold_export(const struct doc_fold *f)
{
	struct doc_fold *g = (struct doc_fold *)f;
	struct doc_version *v;
	json_t *o = json_object(), *a = json_array();

	RB_FOREACH (v, doc_version_tree, &g->services)
		json_array_append_new(a, version_export(v));
	json_object_set_new(o, "format", json_integer(LOG_RECORD_FORMAT));
	json_object_set_new(o, "next", json_integer((json_int_t)f->next));
	json_object_set_new(o, "exact", json_boolean(doc_fold_exact(f)));
	json_object_set_new(
	    o, "last_create", json_integer((json_int_t)f->last_create));
	json_object_set_new(
	    o, "index_anchor", json_integer((json_int_t)f->index_anchor));
	json_object_set_new(o, "index_wall", json_integer(f->index_wall));
	json_object_set_new(o, "services", a);
	return o;
}

static bool
import_valid(const json_t *o)
{
	const json_t *a = json_object_get(o, "services"), *one;
	struct doc_snapshot c;
	uint64_t next, n, hash;
	size_t i;

	if (json_integer_value(json_object_get(o, "format")) !=
		LOG_RECORD_FORMAT ||
	    !log_record_uint(o, "next", &next) || next == 0 ||
	    !log_record_uint(o, "last_create", &n) ||
	    !log_record_uint(o, "index_anchor", &n) || !json_is_array(a))
		return false;
	json_array_foreach (a, i, one) {
		if (!snapshot_decode(&c, one) || c.version >= next ||
		    !log_record_uint(one, "last_edit", &n) ||
		    !log_record_uint(one, "anchor", &n) ||
		    !log_record_hex(one, "text_xxh64", &hash) ||
		    hash != XXH64(c.text, strlen(c.text), 0))
			return false;
	}
	return true;
}

/* Replace this fold's state by the peer's, including the offset. */
static void
import_replace(struct doc_fold *f, const json_t *o)
{
	const json_t *a = json_object_get(o, "services"), *one, *id;
	struct doc_snapshot c;
	struct doc_version *v;
	size_t i, j;

	doc_fold_finish(f);
	log_record_uint(o, "next", &f->next);
	f->read_from = f->next;
	f->complete = json_is_true(json_object_get(o, "exact"));
	log_record_uint(o, "last_create", &f->last_create);
	log_record_uint(o, "index_anchor", &f->index_anchor);
	f->index_wall = json_integer_value(json_object_get(o, "index_wall"));
	json_array_foreach (a, i, one) {
		snapshot_decode(&c, one);
		v = version_get(f, c.service, true);
		version_set(f, v, c.version, c.text, c.by, c.wall);
		v->exact = json_is_true(json_object_get(one, "exact"));
		log_record_uint(one, "last_edit", &v->last_edit);
		log_record_uint(one, "anchor", &v->anchor);
		v->anchor_wall =
		    json_integer_value(json_object_get(one, "anchor_wall"));
		judged_ids_clear(v);
		json_array_foreach (c.judged_ids, j, id)
			judged_ids_add(v, json_string_value(id));
	}
}

/* The peer has read no further: its state is applied like checkpoints. */
static void
import_merge(struct doc_fold *f, const json_t *o)
{
	const json_t *a = json_object_get(o, "services"), *one;
	struct doc_snapshot c;
	json_t *names = json_array();
	size_t i;

	json_array_foreach (a, i, one) {
		snapshot_decode(&c, one);
		log_record_uint(o, "next", &c.at);
		c.at--;
		log_record_uint(one, "anchor", &c.anchor);
		c.anchor_wall =
		    json_integer_value(json_object_get(one, "anchor_wall"));
		snapshot_apply(
		    f, &c, json_is_true(json_object_get(one, "exact")));
		json_array_append(names, json_object_get(one, "service"));
	}
	import_index(f, o, names);
	json_decref(names);
}

/* An exact peer's services also serve as an index; see apply_index(). */
static void
import_index(struct doc_fold *f, const json_t *o, const json_t *names)
{
	uint64_t next = 0;

	log_record_uint(o, "next", &next);
	if (f->complete || !json_is_true(json_object_get(o, "exact")) ||
	    f->read_from > next || f->last_create >= next ||
	    !index_valid(names) || !index_agrees(f, names))
		return;
	index_set_services(f, names);
	log_record_uint(o, "index_anchor", &f->index_anchor);
	f->index_wall = json_integer_value(json_object_get(o, "index_wall"));
}

/* True when the export has every service of this fold, at no lower version. */
static bool
import_keeps_versions(struct doc_fold *f, const json_t *o)
{
	const json_t *a = json_object_get(o, "services"), *one;
	struct doc_snapshot c;
	struct doc_version *v;
	unsigned int held = 0, kept = 0;
	size_t i;

	RB_FOREACH (v, doc_version_tree, &f->services)
		held++;
	json_array_foreach (a, i, one) {
		snapshot_decode(&c, one);
		v = doc_fold_find(f, c.service);
		kept += v != NULL && v->version <= c.version;
	}
	return held == kept;
}

/*
 * A fold's versions always come from offsets below `next`. A fold with an
 * exact service therefore takes nothing from a peer that has read further
 * without being exact: it would hold a version that it has yet to judge.
 */
bool
doc_fold_import(struct doc_fold *f, const json_t *o)
{
	bool is_exact = json_is_true(json_object_get(o, "exact"));
	uint64_t next;

	if (!import_valid(o))
		return false;
	log_record_uint(o, "next", &next);
	if (next <= f->next) {
		import_merge(f, o);
		return true;
	}
	if (!is_exact &&
	    (fold_has_exact_version(f) || !import_keeps_versions(f, o)))
		return true;
	/* An exact peer that lacks a version of this fold is in error. */
	if (!import_keeps_versions(f, o))
		return false;
	import_replace(f, o);
	return true;
}

uint64_t
doc_fold_sum(const struct doc_fold *f)
{
	struct doc_fold *g = (struct doc_fold *)f;
	struct doc_version *v;
	uint64_t sum = 0;

	RB_FOREACH (v, doc_version_tree, &g->services)
		sum += v->version;
	return sum;
}
