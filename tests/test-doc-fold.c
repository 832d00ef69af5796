/*
 * The fold of service documents: single records first, then generated streams
 * that many folds read.
 */

#define LOG_PART "test"
#include "doc-fold.h"
#include "log-record.h"

#include <stdlib.h>
#include <string.h>

#define BODY                                             \
	"\nkind: plain\nclasses: [{name: c, tier: 0}]\n" \
	"organisations: [{name: o, key_sha256: "         \
	"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855}]\n"

#define STREAM_MAX 400
#define FOLDS_MAX 24
#define SEEDS 100

/* A log in memory; the record at offset N is at index N - 1. */
struct stream {
	char *records[STREAM_MAX];
	unsigned int n;
	enum doc_verdict truth[STREAM_MAX];
};

static char *
text_make(const char *service, unsigned int n)
{
	return g_strdup_printf("# %u\nservice: %s%s", n, service, BODY);
}

static void
stream_add(struct stream *s, char *record)
{
	g_assert_nonnull(record);
	g_assert_cmpuint(s->n, <, STREAM_MAX);
	s->records[s->n++] = record;
}

static void
stream_edit(
    struct stream *s, const char *service, uint64_t base, unsigned int n)
{
	g_autofree char *text = text_make(service, n);
	char id[LOG_ID_SIZE];

	log_id_make(id);
	stream_add(s, doc_edit_encode(service, base, "op", text, id));
}

static char *
checkpoint_make(struct doc_fold *f, const char *service)
{
	char id[LOG_ID_SIZE];

	log_id_make(id);
	return doc_checkpoint_encode(f, doc_fold_find(f, service), id);
}

static char *
index_make(struct doc_fold *f)
{
	char id[LOG_ID_SIZE];

	log_id_make(id);
	return doc_index_encode(f, id);
}

static void
stream_finish(struct stream *s)
{
	unsigned int i;

	for (i = 0; i < s->n; i++)
		free(s->records[i]);
	s->n = 0;
}

static enum doc_verdict
fold_one(struct doc_fold *f, const struct stream *s, uint64_t offset)
{
	const char *r;

	g_assert(offset >= 1 && offset <= s->n);
	r = s->records[offset - 1];
	return doc_fold_apply(f, offset, 1000 + (msec)offset, r, strlen(r));
}

static void
fold_to_end(struct doc_fold *f, const struct stream *s)
{
	while (f->next <= s->n)
		fold_one(f, s, f->next);
}

static uint64_t
version_of(struct doc_fold *f, const char *service)
{
	struct doc_version *v = doc_fold_find(f, service);

	return v != NULL ? v->version : 0;
}

static void
test_conflict(void)
{
	/*
	 * Two operators open version 1 and publish within the same second. The
	 * later publication must not silently undo the first: the first on the
	 * log wins, and the second operator learns of the winner.
	 */
	struct stream s = { 0 };
	struct doc_fold f;

	doc_fold_init(&f);
	stream_edit(&s, "yard-app", 0, 1);
	stream_edit(&s, "yard-app", 1, 2);
	stream_edit(&s, "yard-app", 1, 3);
	g_assert_cmpint(fold_one(&f, &s, 1), ==, DOC_ACCEPTED);
	g_assert_cmpint(fold_one(&f, &s, 2), ==, DOC_ACCEPTED);
	g_assert_cmpint(fold_one(&f, &s, 3), ==, DOC_CONFLICT);
	g_assert_cmpuint(version_of(&f, "yard-app"), ==, 2);
	g_assert_true(doc_fold_exact(&f));
	g_assert_cmpuint(doc_fold_sum(&f), ==, 2);
	doc_fold_finish(&f);
	stream_finish(&s);
}

static void
test_repeat(void)
{
	/*
	 * The log appends an edit, its answer is lost, and the tool sends it
	 * again after another operator's edit. The copy must neither come into
	 * force again nor make an accepted edit a "conflict" for the operator.
	 */
	struct stream s = { 0 };
	struct doc_fold f;
	g_autofree char *text = text_make("yard-app", 1);
	char id[LOG_ID_SIZE];

	log_id_make(id);
	doc_fold_init(&f);
	stream_add(&s, doc_edit_encode("yard-app", 0, "op", text, id));
	stream_edit(&s, "yard-app", 1, 2);
	stream_add(&s, doc_edit_encode("yard-app", 0, "op", text, id));
	fold_one(&f, &s, 1);
	fold_one(&f, &s, 2);
	g_assert_cmpint(fold_one(&f, &s, 3), ==, DOC_REPEATED);
	g_assert_cmpuint(version_of(&f, "yard-app"), ==, 2);
	doc_fold_finish(&f);
	stream_finish(&s);
}

static void
test_refused(void)
{
	/*
	 * A text with findings, or one for another service, is refused as well.
	 */
	static const char *texts[] = { "service: [", "service: other" BODY,
		"" };
	struct doc_fold f;
	char id[LOG_ID_SIZE], *r;
	unsigned int i;

	doc_fold_init(&f);
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		log_id_make(id);
		r = doc_edit_encode("yard-app", 0, "op", texts[i], id);
		g_assert_cmpint(doc_fold_apply(&f, f.next, 0, r, strlen(r)), ==,
		    DOC_REFUSED);
		free(r);
	}
	g_assert_null(doc_fold_find(&f, "yard-app"));
	doc_fold_finish(&f);
}

static void
test_skipped(void)
{
	/* Records that this version can't parse change nothing. */
	static const char *records[] = { "", "{", "[]", "\xff\xfe",
		"{\"format\":2,\"kind\":\"doc-edit\"}",
		"{\"format\":1,\"kind\":\"doc-edit\",\"id\":\"x\"}",
		"{\"format\":1,\"kind\":\"news\",\"id\":"
		"\"00000000000000000000000000000000\"}",
		"{\"format\":1,\"kind\":\"doc-edit\",\"id\":"
		"\"00000000000000000000000000000000\",\"service\":\"UP\","
		"\"base\":0,\"by\":\"\",\"text\":\"\"}",
		"{\"format\":1,\"kind\":\"doc-edit\",\"id\":"
		"\"00000000000000000000000000000000\",\"service\":\"a\","
		"\"base\":-1,\"by\":\"\",\"text\":\"\"}",
		"{\"format\":1,\"kind\":\"doc-index\",\"id\":"
		"\"00000000000000000000000000000000\",\"at\":0,"
		"\"services\":[\"b\",\"a\"]}" };
	struct doc_fold f;
	unsigned int i;

	doc_fold_init(&f);
	for (i = 0; i < G_N_ELEMENTS(records); i++)
		g_assert_cmpint(doc_fold_apply(&f, f.next, 0, records[i],
				    strlen(records[i])),
		    ==, DOC_SKIPPED);
	g_assert_true(doc_fold_exact(&f));
	doc_fold_finish(&f);
}

static void
test_late_checkpoint(void)
{
	/*
	 * A node's checkpoint of version 1 is delayed and lands after version 2
	 * was published. A node that starts now reads only the checkpoint and
	 * what follows; trusting the checkpoint would put version 1 in force
	 * again.
	 */
	struct stream s = { 0 };
	struct doc_fold full, late;

	doc_fold_init(&full);
	doc_fold_init(&late);
	stream_edit(&s, "yard-app", 0, 1);
	fold_to_end(&full, &s);
	char *delayed = checkpoint_make(&full, "yard-app");
	stream_edit(&s, "yard-app", 1, 2);
	stream_add(&s, delayed);
	g_assert_cmpint(fold_one(&full, &s, 2), ==, DOC_ACCEPTED);
	g_assert_cmpint(fold_one(&full, &s, 3), ==, DOC_STALE);
	g_assert_cmpuint(version_of(&full, "yard-app"), ==, 2);

	/*
	 * From the edit on: the checkpoint is unconfirmed, so nothing is
	 * certain.
	 */
	doc_fold_gap(&late, 2);
	g_assert_cmpint(fold_one(&late, &s, 2), ==, DOC_UNKNOWN);
	g_assert_true(RB_EMPTY(&late.services));
	fold_one(&late, &s, 3);
	g_assert_false(doc_fold_exact(&late));
	g_assert_false(doc_fold_find(&late, "yard-app")->exact);

	/*
	 * A new checkpoint resolves this, also for a fold that starts after the
	 * edit.
	 */
	stream_add(&s, checkpoint_make(&full, "yard-app"));
	g_assert_cmpint(fold_one(&late, &s, 4), ==, DOC_CHECKPOINT);
	g_assert_true(doc_fold_find(&late, "yard-app")->exact);
	g_assert_cmpuint(version_of(&late, "yard-app"), ==, 2);
	doc_fold_finish(&late);
	doc_fold_init(&late);
	doc_fold_gap(&late, 3);
	fold_one(&late, &s, 3);
	g_assert_cmpuint(version_of(&late, "yard-app"), ==, 1);
	g_assert_false(doc_fold_find(&late, "yard-app")->exact);
	fold_one(&late, &s, 4);
	g_assert_cmpuint(version_of(&late, "yard-app"), ==, 2);
	doc_fold_finish(&late);
	doc_fold_finish(&full);
	stream_finish(&s);
}

static void
test_index(void)
{
	/*
	 * All VMs are replaced after the first records were dropped by
	 * retention, and an operator publishes a new service. No node can tell
	 * whether it existed before, so none may accept it unless an index
	 * lists all services.
	 */
	struct stream s = { 0 };
	struct doc_fold full, late;

	doc_fold_init(&full);
	doc_fold_init(&late);
	stream_edit(&s, "yard-app", 0, 1);
	fold_to_end(&full, &s);
	stream_add(&s, checkpoint_make(&full, "yard-app"));
	fold_to_end(&full, &s);
	stream_add(&s, index_make(&full));
	stream_edit(&s, "alert-desk", 0, 4);
	doc_fold_gap(&late, 2);
	g_assert_cmpint(fold_one(&late, &s, 2), ==, DOC_CHECKPOINT);
	g_assert_false(late.complete);
	g_assert_cmpint(fold_one(&late, &s, 3), ==, DOC_CHECKPOINT);
	g_assert_true(doc_fold_exact(&late));
	g_assert_cmpint(fold_one(&late, &s, 4), ==, DOC_ACCEPTED);
	doc_fold_finish(&late);
	doc_fold_init(&late);
	doc_fold_gap(&late, 4);
	g_assert_cmpint(fold_one(&late, &s, 4), ==, DOC_UNKNOWN);
	doc_fold_finish(&late);
	doc_fold_finish(&full);
	stream_finish(&s);
}

static void
test_late_index(void)
{
	/*
	 * A node's index is delayed, and a service is created before the index
	 * lands. For a late reader that trusted the index, the service would
	 * not exist: it would accept a second creation, which is a conflict on
	 * every other node.
	 */
	struct stream s = { 0 };
	struct doc_fold full, late;
	char *delayed;
	uint64_t from;

	doc_fold_init(&full);
	stream_edit(&s, "yard-app", 0, 1);
	fold_to_end(&full, &s);
	delayed = index_make(&full);
	stream_edit(&s, "alert-desk", 0, 2);
	stream_add(&s, delayed);
	stream_edit(&s, "alert-desk", 0, 3);
	fold_to_end(&full, &s);
	g_assert_cmpuint(full.counts[DOC_CONFLICT], ==, 1);
	for (from = 2; from <= 3; from++) {
		doc_fold_init(&late);
		doc_fold_gap(&late, from);
		fold_to_end(&late, &s);
		g_assert_false(late.complete);
		g_assert_cmpuint(late.counts[DOC_ACCEPTED], ==, 0);
		doc_fold_finish(&late);
	}
	doc_fold_finish(&full);
	stream_finish(&s);
}

static void
test_import(void)
{
	/*
	 * A VM starts while the log is down. It takes over the state of its
	 * peers and continues from there when the log is back; a peer with a
	 * damaged or older copy changes nothing.
	 */
	struct stream s = { 0 };
	struct doc_fold full, fresh, old;
	json_t *o, *bad;

	doc_fold_init(&full);
	doc_fold_init(&fresh);
	doc_fold_init(&old);
	stream_edit(&s, "yard-app", 0, 1);
	stream_edit(&s, "yard-app", 1, 2);
	stream_edit(&s, "yard-app", 2, 3);
	fold_one(&old, &s, 1);
	fold_one(&full, &s, 1);
	fold_one(&full, &s, 2);
	o = doc_fold_export(&full);
	bad = json_deep_copy(o);
	json_object_set_new(json_array_get(json_object_get(bad, "services"), 0),
	    "text", json_string("other"));
	g_assert_false(doc_fold_import(&fresh, bad));
	g_assert_null(doc_fold_find(&fresh, "yard-app"));
	g_assert_true(doc_fold_import(&fresh, o));
	g_assert_cmpuint(version_of(&fresh, "yard-app"), ==, 2);
	json_decref(o);
	o = doc_fold_export(&old);
	g_assert_true(doc_fold_import(&fresh, o));
	g_assert_cmpuint(version_of(&fresh, "yard-app"), ==, 2);
	g_assert_cmpuint(fresh.next, ==, 3);
	g_assert_cmpint(fold_one(&fresh, &s, 1), ==, DOC_SKIPPED);
	g_assert_cmpint(fold_one(&fresh, &s, 3), ==, DOC_ACCEPTED);
	json_decref(o);
	json_decref(bad);
	doc_fold_finish(&full);
	doc_fold_finish(&fresh);
	doc_fold_finish(&old);
	stream_finish(&s);
}

static void
test_due(void)
{
	/*
	 * The newest edit of a service without changes nears the age at which
	 * the log drops it. Unless a checkpoint is written first, a VM that
	 * starts afterwards finds no document.
	 */
	struct doc_stream_range e = { 1, 2, 1001, 10000 };
	struct stream s = { 0 };
	struct doc_fold f;
	struct doc_version *v;

	doc_fold_init(&f);
	f.index_wall = 1001;
	stream_edit(&s, "yard-app", 0, 1);
	fold_to_end(&f, &s);
	g_assert_null(doc_fold_checkpoint_due(&f, &e));
	g_assert_false(doc_fold_index_due(&f, &e));
	e.wall = 7000;
	v = doc_fold_checkpoint_due(&f, &e);
	g_assert_nonnull(v);
	g_assert_true(doc_fold_index_due(&f, &e));
	stream_add(&s, checkpoint_make(&f, "yard-app"));
	g_assert_cmpint(
	    doc_fold_apply(&f, 2, 7000, s.records[1], strlen(s.records[1])), ==,
	    DOC_STALE);
	g_assert_null(doc_fold_checkpoint_due(&f, &e));
	/* The edit was dropped: a checkpoint is due at once. */
	e.first = e.next = 3;
	g_assert_true(doc_fold_checkpoint_due(&f, &e) == v);
	doc_fold_finish(&f);
	stream_finish(&s);
}

static const char *services[] = { "yard-app", "planner-llm", "alert-desk" };

/*
 * Adds one record of a random kind to a stream that `f` has folded to its end.
 */
static void
stream_grow(struct stream *s, struct doc_fold *f, GRand *rand, char **delayed)
{
	const char *service = services[g_rand_int_range(rand, 0, 3)];
	struct doc_version *v = doc_fold_find(f, service);
	uint64_t base = v != NULL ? v->version : 0;
	char id[LOG_ID_SIZE];

	switch (g_rand_int_range(rand, 0, 10)) {
	case 0:
	case 1:
	case 2:
		stream_edit(s, service, base, s->n);
		break;
	case 3: /* a wrong base */
		stream_edit(s, service, g_rand_int_range(rand, 0, 3), s->n);
		break;
	case 4: /* an edit sent again after a lost answer */
		if (s->n > 0)
			stream_add(s, strdup(s->records[g_rand_int_range(
					  rand, 0, (gint32)s->n)]));
		break;
	case 5: /* an invalid text */
		log_id_make(id);
		stream_add(s, doc_edit_encode(service, base, "op", "?", id));
		break;
	case 6:
		stream_add(s, strdup("{\"format\":1,\"kind\":\"new\"}"));
		break;
	case 7: /* a checkpoint, possibly delayed */
		if (v == NULL)
			break;
		if (*delayed == NULL && g_rand_boolean(rand))
			*delayed = checkpoint_make(f, service);
		else
			stream_add(s, checkpoint_make(f, service));
		break;
	case 8:
		if (*delayed == NULL && g_rand_boolean(rand))
			*delayed = index_make(f);
		else
			stream_add(s, index_make(f));
		break;
	default:
		if (*delayed != NULL)
			stream_add(s, *delayed);
		*delayed = NULL;
	}
}

static void
stream_generate(struct stream *s, GRand *rand)
{
	unsigned int want = (unsigned int)g_rand_int_range(rand, 20, 120), i;
	struct doc_fold f;
	char *delayed = NULL;

	s->n = 0;
	doc_fold_init(&f);
	while (s->n < want) {
		stream_grow(s, &f, rand, &delayed);
		while (f.next <= s->n) {
			i = (unsigned int)f.next - 1;
			s->truth[i] = fold_one(&f, s, f.next);
		}
	}
	g_assert_true(doc_fold_exact(&f));
	free(delayed);
	doc_fold_finish(&f);
}

/* No two accepted edits of a service have the same base. */
static void
check_bases(const struct stream *s)
{
	GHashTable *taken =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	unsigned int i;
	uint64_t base;
	json_t *o;

	for (i = 0; i < s->n; i++) {
		if (s->truth[i] != DOC_ACCEPTED)
			continue;
		o = log_record_decode(s->records[i], strlen(s->records[i]));
		g_assert_true(log_record_uint(o, "base", &base));
		g_assert_true(g_hash_table_add(
		    taken, g_strdup_printf("%s %" G_GUINT64_FORMAT,
			       json_string_value(json_object_get(o, "service")),
			       base)));
		json_decref(o);
	}
	g_hash_table_destroy(taken);
}

/*
 * One reader: starts at a random offset, misses records dropped by retention,
 * reads records again and imports state from a peer. Its verdicts on edits must
 * equal those of the fold that has read everything, or be "unknown".
 */
static unsigned int
check_reader(const struct stream *s, GRand *rand, struct doc_fold *peer)
{
	struct doc_fold f;
	struct doc_version *v;
	uint64_t held[3] = { 0 }, offset;
	enum doc_verdict verdict;
	unsigned int i, judged = 0;
	json_t *o;

	doc_fold_init(&f);
	while (f.next <= s->n) {
		if (g_rand_int_range(rand, 0, 20) == 0)
			doc_fold_gap(&f,
			    f.next + (uint64_t)g_rand_int_range(rand, 0, 6));
		if (g_rand_int_range(rand, 0, 20) == 0) {
			o = doc_fold_export(peer);
			g_assert_true(doc_fold_import(&f, o));
			json_decref(o);
		}
		if (f.next > s->n)
			break;
		offset = f.next;
		verdict = fold_one(&f, s, offset);
		if (verdict < DOC_CHECKPOINT) {
			g_assert_cmpint(verdict, ==, s->truth[offset - 1]);
			judged++;
		} else if (verdict == DOC_UNKNOWN)
			g_assert_cmpint(
			    s->truth[offset - 1], <, DOC_CHECKPOINT);
		if (offset > 1)
			g_assert_cmpint(
			    fold_one(&f, s, offset - 1), ==, DOC_SKIPPED);
		for (i = 0; i < 3; i++) {
			v = doc_fold_find(&f, services[i]);
			g_assert_cmpuint(
			    version_of(&f, services[i]), >=, held[i]);
			held[i] = v != NULL ? v->version : held[i];
		}
	}
	doc_fold_finish(peer);
	*peer = f;
	return judged;
}

/*
 * A reader that reports exact state agrees with the fold that read everything.
 */
static void
check_exact(const struct stream *s, struct doc_fold *f)
{
	struct doc_fold full;
	struct doc_version *v, *w;

	doc_fold_init(&full);
	while (full.next < f->next && full.next <= s->n)
		fold_one(&full, s, full.next);
	RB_FOREACH (v, doc_version_tree, &f->services) {
		w = doc_fold_find(&full, v->service);
		if (!v->exact)
			continue;
		g_assert_nonnull(w);
		g_assert_cmpuint(v->version, ==, w->version);
		g_assert_cmpstr(v->text, ==, w->text);
		g_assert_cmpuint(v->njudged_ids, ==, w->njudged_ids);
	}
	if (doc_fold_exact(f))
		g_assert_cmpuint(doc_fold_sum(f), ==, doc_fold_sum(&full));
	doc_fold_finish(&full);
}

static void
test_property(void)
{
	/*
	 * Nodes start at any time, miss records dropped by retention, and learn
	 * from each other and from checkpoints that were late or duplicated. If
	 * two of them reached different verdicts on one edit, two documents
	 * would be in force at once, and callers would see a class on one VM
	 * that does not exist on the next.
	 */
	struct stream s = { 0 };
	struct doc_fold peer;
	GRand *rand;
	unsigned int seed, i, judged = 0;

	for (seed = 0; seed < SEEDS; seed++) {
		rand = g_rand_new_with_seed(seed);
		stream_generate(&s, rand);
		check_bases(&s);
		doc_fold_init(&peer);
		for (i = 0; i < FOLDS_MAX; i++) {
			judged += check_reader(&s, rand, &peer);
			check_exact(&s, &peer);
		}
		doc_fold_finish(&peer);
		stream_finish(&s);
		g_rand_free(rand);
	}
	g_test_message("%u verdicts compared", judged);
	g_assert_cmpuint(judged, >, SEEDS * FOLDS_MAX);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/doc-fold/conflict", test_conflict);
	g_test_add_func("/doc-fold/repeat", test_repeat);
	g_test_add_func("/doc-fold/refused", test_refused);
	g_test_add_func("/doc-fold/skipped", test_skipped);
	g_test_add_func("/doc-fold/late-checkpoint", test_late_checkpoint);
	g_test_add_func("/doc-fold/index", test_index);
	g_test_add_func("/doc-fold/late-index", test_late_index);
	g_test_add_func("/doc-fold/import", test_import);
	g_test_add_func("/doc-fold/due", test_due);
	g_test_add_func("/doc-fold/property", test_property);
	return g_test_run();
}
