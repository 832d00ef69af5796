/*
 * The daemon's part of the ledger: selects the home node of each shard, claims
 * the keys of this node's calls, and handles the claims of other nodes in the
 * shards whose home this node is.
 *
 * A home only batches appends. The order of claims on the log decides, so two
 * nodes that both act as home of a shard are harmless.
 */

#define LOG_PART "ledger"
#include "daemon.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/* Time-out of an entry node's claim at the home. */
#define CLAIM_WAIT_MS (LEDGER_CLAIM_TIMEOUT + MSEC_SECOND)
#define CLAIM_RETRY_AFTER_MS 1000
#define APPEND_TIMEOUT_MS (10 * MSEC_SECOND)
/* The upper bits of an append's cookie hold its shard's number + 1. */
#define COOKIE_SHARD_SHIFT 56

/* The state of a shard; `home` is in use while this node is its home. */
struct ledger_shard {
	struct daemon *daemon;
	unsigned int number;
	struct ledger_home home;
	bool active;
	bool gap_checked;
};

/* Identifies a claim: key of the calls and queries that wait for a verdict. */
struct claim_id {
	name_id node;
	uint64_t incarnation;
	uint32_t request;
};

struct daemon_ledger {
	struct ledger_shard shards[LOG_LEDGER_SHARDS];
	GHashTable *waiting; /* struct claim_id to struct call */
	uint32_t next_request;
};

static void
ledger_home_answer(struct ledger_home *, const struct ledger_claim *,
    enum ledger_answer, enum ledger_verdict, const struct ledger_claim *);
static void ledger_apply_verdict(struct daemon *, struct call *, msec,
    enum ledger_answer, enum ledger_verdict, const struct ledger_claim *);
static void ledger_withdraw_claim(struct daemon *, struct call *, msec);
static struct call *
claim_remove_waiting(struct daemon *, const struct ledger_claim *);
static void query_answer(struct call *, enum ledger_answer, enum ledger_verdict,
    const struct ledger_claim *);

static const struct ledger_home_ops ledger_ops = {
	.answer = ledger_home_answer,
};

static const char *const answer_names[] = { "judged", "not-appended",
	"undecided" };
static const char *const verdict_names[] = { "ours", "later", "other-body",
	"too-old" };

/* ---- the home of a shard ---- */

static uint64_t
home_weight(name_id node, unsigned int shard)
{
	return XXH64(&node, sizeof node, shard);
}

/* Returns a shard's home among the nodes that take work; 0: there is none. */
static name_id
home_node(struct daemon *d, unsigned int shard)
{
	name_id best = d->state == DAEMON_LEAVING ? 0 : d->members.self.id;
	struct member *m;

	RB_FOREACH (m, member_tree, &d->members.tree) {
		if (m->state != MEMBER_ALIVE || m->leaving)
			continue;
		if (best == 0 ||
		    home_weight(m->id, shard) > home_weight(best, shard))
			best = m->id;
	}
	return best;
}

static void
shard_stream(unsigned int shard, char *name)
{
	g_snprintf(name, NAME_SIZE, LOG_STREAM_LEDGER, shard);
}

static void
shard_open(struct ledger_shard *s)
{
	char stream[NAME_SIZE];

	log_debug("home of shard %u", s->number);
	ledger_home_init(&s->home, &ledger_ops, s);
	ledger_home_set_log_down(&s->home, s->daemon->log_down);
	s->active = true;
	s->gap_checked = false;
	shard_stream(s->number, stream);
	log_io_follow(s->daemon->log, stream, 1);
}

static void
shard_close(struct ledger_shard *s)
{
	char stream[NAME_SIZE];

	log_debug("no longer home of shard %u", s->number);
	shard_stream(s->number, stream);
	log_io_unfollow(s->daemon->log, stream);
	s->active = false;
	ledger_home_finish(&s->home);
}

void
daemon_ledger_members(struct daemon *d)
{
	struct ledger_shard *s;
	unsigned int i;
	bool ours;

	for (i = 0; d->ledger != NULL && i < LOG_LEDGER_SHARDS; i++) {
		s = &d->ledger->shards[i];
		ours = home_node(d, i) == d->members.self.id;
		if (ours && !s->active)
			shard_open(s);
		else if (!ours && s->active)
			shard_close(s);
	}
}

/* ---- waiting claims ---- */

static guint
claim_id_hash(gconstpointer p)
{
	return (guint)XXH64(p, sizeof(struct claim_id), 0);
}

static gboolean
claim_id_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct claim_id)) == 0;
}

static void
claim_add_waiting(
    struct daemon *d, const struct ledger_claim *claim, struct call *c)
{
	struct claim_id *name = g_new0(struct claim_id, 1);
	struct call *older = claim_remove_waiting(d, claim);

	if (older != NULL) {
		/* The entry node repeated its query: end the first one. */
		if (older->kind == CALL_QUERY)
			query_answer(
			    older, LEDGER_UNDECIDED, LEDGER_UNDECIDABLE, NULL);
		call_drop(older);
	}
	name->node = claim->node;
	name->incarnation = claim->incarnation;
	name->request = claim->request;
	g_hash_table_replace(d->ledger->waiting, name, call_take(c));
}

/* Removes the call that waits for the claim; returns it and its reference. */
static struct call *
claim_remove_waiting(struct daemon *d, const struct ledger_claim *claim)
{
	struct claim_id name;
	struct call *c;

	memset(&name, 0, sizeof name);
	name.node = claim->node;
	name.incarnation = claim->incarnation;
	name.request = claim->request;
	c = g_hash_table_lookup(d->ledger->waiting, &name);
	if (c != NULL)
		g_hash_table_remove(d->ledger->waiting, &name);
	return c;
}

/* ---- messages between entry node and home ---- */

static json_t *
claim_to_json(const struct ledger_claim *c)
{
	return json_pack("[I, I, I, I, I, I, i, i]",
	    (json_int_t)c->organisation, (json_int_t)c->key[0],
	    (json_int_t)c->key[1], (json_int_t)c->body, (json_int_t)c->node,
	    (json_int_t)c->incarnation, (int)c->request, (int)c->status);
}

static bool
claim_from_json(const json_t *o, struct ledger_claim *c)
{
	json_int_t v[6];
	int request, status;

	*c = (struct ledger_claim){ 0 };
	if (json_unpack((json_t *)o, "[I, I, I, I, I, I, i, i!]", &v[0], &v[1],
		&v[2], &v[3], &v[4], &v[5], &request, &status) != 0)
		return false;
	c->organisation = (name_id)v[0];
	c->key[0] = (uint64_t)v[1];
	c->key[1] = (uint64_t)v[2];
	c->body = (uint64_t)v[3];
	c->node = (name_id)v[4];
	c->incarnation = (uint64_t)v[5];
	c->request = (uint32_t)request;
	c->status = (unsigned int)status;
	return true;
}

static int
name_index(const char *const *names, unsigned int n, const char *name)
{
	unsigned int i;

	for (i = 0; name != NULL && i < n; i++) {
		if (strcmp(names[i], name) == 0)
			return (int)i;
	}
	return -1;
}

/* Answers the query of another entry node with the verdict. */
static void
query_answer(struct call *c, enum ledger_answer answer,
    enum ledger_verdict verdict, const struct ledger_claim *first)
{
	g_autofree char *text = NULL;
	json_t *o;
	char *dump;

	o = json_pack("{s:s, s:s}", "answer", answer_names[answer], "verdict",
	    verdict_names[verdict]);
	if (first != NULL)
		json_object_set_new(o, "first", claim_to_json(first));
	dump = json_dumps(o, JSON_COMPACT);
	answer_text(&c->answer, 200, "application/json", dump);
	free(dump);
	json_decref(o);
}

/* POST /control/claim {"shard", "claim"}: another node's claim or its end. */
void
query_claim(struct daemon *d, struct call *c, msec now)
{
	struct ledger_claim claim;
	struct ledger_shard *s;
	json_t *body;
	json_int_t shard = -1;

	body = json_loadb(c->body != NULL ? c->body : "", c->body_len, 0, NULL);
	if (body != NULL)
		shard = json_integer_value(json_object_get(body, "shard"));
	if (shard < 0 || shard >= LOG_LEDGER_SHARDS ||
	    !claim_from_json(json_object_get(body, "claim"), &claim)) {
		json_decref(body);
		answer_text(&c->answer, 400, "application/json", "{}");
		return;
	}
	json_decref(body);
	s = &d->ledger->shards[shard];
	if (!s->active) {
		query_answer(c, LEDGER_NOT_APPENDED, LEDGER_UNDECIDABLE, NULL);
		return;
	}
	if (claim.status == 0)
		claim_add_waiting(d, &claim, c);
	ledger_home_claim(&s->home, now, &claim);
	if (claim.status != 0)
		answer_text(&c->answer, 200, "application/json", "{}");
}

/* The HTTP request to the home has ended, with or without an answer. */
static void
claim_post_done(struct daemon *d, struct fetch *f, msec now)
{
	struct call *c = f->arg, *waiting;
	struct ledger_claim first;
	const json_t *o = f->json;
	int answer = -1, verdict = -1;
	bool has_first;

	waiting = claim_remove_waiting(d, &c->claim);
	if (waiting == NULL)
		return;
	if (f->status == 200) {
		answer = name_index(answer_names, G_N_ELEMENTS(answer_names),
		    json_string_value(json_object_get(o, "answer")));
		verdict = name_index(verdict_names, G_N_ELEMENTS(verdict_names),
		    json_string_value(json_object_get(o, "verdict")));
	}
	has_first = claim_from_json(json_object_get(o, "first"), &first);
	if (answer < 0 || verdict < 0) {
		answer = f->sent ? LEDGER_UNDECIDED : LEDGER_NOT_APPENDED;
		verdict = LEDGER_UNDECIDABLE;
	}
	ledger_apply_verdict(d, c, now, (enum ledger_answer)answer,
	    (enum ledger_verdict)verdict, has_first ? &first : NULL);
	call_drop(waiting);
}

static void
claim_drop_call(void *arg)
{
	call_drop(arg);
}

static void
claim_end_post_done(struct daemon *d, struct fetch *f, msec now)
{
	log_debug("end of a claim sent to its home, status %ld", f->status);
}

/* Sends a claim, or its end with `c` NULL, to another node that is home. */
static void
claim_post(struct daemon *d, const struct member *m, unsigned int shard,
    const struct ledger_claim *claim, struct call *c)
{
	char at[ENDPOINT_SIZE];
	struct fetch *f = g_new0(struct fetch, 1);
	json_t *o = json_pack(
	    "{s:i, s:o}", "shard", (int)shard, "claim", claim_to_json(claim));
	char *text = json_dumps(o, JSON_COMPACT);

	f->url = g_strdup_printf("http://%s/control/claim",
	    endpoint_text(at, m->address, m->control_port));
	f->post = g_strdup(text);
	f->authorization = g_strdup(d->settings.peer_key);
	f->timeout = CLAIM_WAIT_MS;
	f->done = c != NULL ? claim_post_done : claim_end_post_done;
	f->arg = c != NULL ? call_take(c) : NULL;
	f->arg_free = claim_drop_call;
	free(text);
	json_decref(o);
	fetch_start(d, f);
}

/* Sends the claim to its shard's home, which may be this node. */
static bool
claim_send(struct daemon *d, msec now, unsigned int shard,
    const struct ledger_claim *claim, struct call *c)
{
	struct ledger_shard *s = &d->ledger->shards[shard];
	name_id home = home_node(d, shard);
	struct member *m;

	if (home == d->members.self.id && s->active) {
		ledger_home_claim(&s->home, now, claim);
		return true;
	}
	if ((m = members_find(&d->members, home)) == NULL)
		return false;
	claim_post(d, m, shard, claim, c);
	return true;
}

/* ---- claims of this node's calls ---- */

void
daemon_ledger_claim(struct daemon *d, struct call *c, msec now)
{
	struct ledger_claim *claim = &c->claim;

	claim->organisation = c->organisation;
	ledger_key_hash(c->organisation, c->key, claim->key);
	claim->body = c->body_hash;
	claim->node = d->members.self.id;
	claim->incarnation = d->incarnation;
	claim->request = ++d->ledger->next_request;
	c->claim_shard = ledger_shard(c->organisation, c->key);
	c->claimed = now;
	request_claim(&c->request);
	claim_add_waiting(d, claim, c);
	if (claim_send(d, now, c->claim_shard, claim, c))
		return;
	call_drop(claim_remove_waiting(d, claim));
	request_fail(
	    &c->request, now, REQUEST_CODE_CLAIM_FAILED, CLAIM_RETRY_AFTER_MS);
}

/*
 * A verdict to run is valid for a limited time: after it, other nodes may have
 * dropped the claim, and a run here could be the second one.
 */
bool
daemon_ledger_may_run(const struct call *c, msec now)
{
	return c->claim.request == 0 ||
	       now - c->claimed < LEDGER_VERDICT_VALIDITY;
}

/*
 * Withdraws this node's claim, so that the key can be used again. Only allowed
 * when the request has not run and never will.
 */
static void
ledger_withdraw_claim(struct daemon *d, struct call *c, msec now)
{
	struct ledger_claim end = c->claim;

	end.status = LEDGER_WITHDRAWN;
	claim_send(d, now, c->claim_shard, &end, NULL);
}

/* Withdraws the claim of an ended call if nothing ran. */
void
daemon_ledger_ended(struct daemon *d, struct call *c, msec now)
{
	if (c->claim.request == 0)
		return;
	if (c->request.outcome != REQUEST_NOT_RUN && c->request.attempts != 0)
		return;
	ledger_withdraw_claim(d, c, now);
}

/* Another node's claim came first: forwards the call to it if it still lives.
 */
static void
ledger_forward_to_first(struct daemon *d, struct call *c, msec now,
    const struct ledger_claim *first)
{
	struct member *m = NULL;

	if (first != NULL && first->node != d->members.self.id)
		m = members_find(&d->members, first->node);
	if (m == NULL || m->incarnation != first->incarnation ||
	    m->state == MEMBER_DEAD) {
		request_fail_unknown(
		    &c->request, now, REQUEST_CODE_CLAIM_UNKNOWN);
		return;
	}
	daemon_forward(d, c, m, now);
}

static void
ledger_apply_verdict(struct daemon *d, struct call *c, msec now,
    enum ledger_answer answer, enum ledger_verdict verdict,
    const struct ledger_claim *first)
{
	if (c->request.state != REQUEST_CLAIMING)
		return;
	log_debug_of(LOG_REQUEST, c->id, "%s: its claim is %s, %s", c->id,
	    answer_names[answer], verdict_names[verdict]);
	if (answer != LEDGER_DECIDED) {
		/*
		 * The call fails for good: a later verdict finds no waiting
		 * call. An earlier call with the key may have run, so the
		 * outcome is "unknown".
		 */
		request_fail(&c->request, now, REQUEST_CODE_CLAIM_FAILED,
		    CLAIM_RETRY_AFTER_MS);
		return;
	}
	switch (verdict) {
	case LEDGER_FIRST:
		/* No earlier call with the key has run. */
		c->request.maybe_ran = false;
		request_go(&c->request, now);
		break;
	case LEDGER_NOT_FIRST:
		ledger_forward_to_first(d, c, now, first);
		break;
	case LEDGER_OTHER_BODY:
		c->request.maybe_ran = false;
		request_fail(&c->request, now, REQUEST_CODE_OTHER_BODY, 0);
		break;
	case LEDGER_UNDECIDABLE:
		request_fail_unknown(
		    &c->request, now, REQUEST_CODE_CLAIM_UNKNOWN);
		break;
	}
}

static void
ledger_home_answer(struct ledger_home *h, const struct ledger_claim *claim,
    enum ledger_answer answer, enum ledger_verdict verdict,
    const struct ledger_claim *first)
{
	struct ledger_shard *s = h->data;
	struct daemon *d = s->daemon;
	struct call *c = claim_remove_waiting(d, claim);

	if (c == NULL)
		return;
	if (c->kind == CALL_QUERY)
		query_answer(c, answer, verdict, first);
	else
		ledger_apply_verdict(d, c, msec_now(), answer, verdict, first);
	call_drop(c);
}

/* ---- the log ---- */

static struct ledger_shard *
shard_of_stream(struct daemon *d, const char *stream)
{
	char name[NAME_SIZE];
	unsigned int i;

	for (i = 0; i < LOG_LEDGER_SHARDS; i++) {
		shard_stream(i, name);
		if (strcmp(name, stream) == 0)
			return &d->ledger->shards[i];
	}
	return NULL;
}

/*
 * A node that becomes home again reads the shard from its start, but may still
 * receive a page that it requested when it was home before. The new fold would
 * record the skipped entries as missing, and keys would be "unknown" for the
 * whole window.
 */
static bool
ledger_page_is_stale(const struct ledger_shard *s, const struct log_event *e)
{
	return e->from > MAX(s->home.fold.next, 1);
}

static void
ledger_page(struct ledger_shard *s, const struct log_page *p)
{
	unsigned int i;

	if (!s->gap_checked && p->first > 1)
		ledger_fold_gap(&s->home.fold, p->first,
		    p->nentries > 0
			? p->entries[0].wall
			: msec_wall() - s->daemon->settings.log_retention);
	s->gap_checked = true;
	for (i = 0; i < p->nentries; i++)
		ledger_home_apply(&s->home, p->entries[i].offset,
		    p->entries[i].wall, p->entries[i].data, p->entries[i].len);
}

/* True when the event belongs to the ledger. */
bool
daemon_ledger_log_event(struct daemon *d, const struct log_event *e)
{
	struct ledger_shard *s;
	uint64_t shard = e->cookie >> COOKIE_SHARD_SHIFT, batch;
	unsigned int i;

	if (e->kind == LOG_EVENT_DOWN || e->kind == LOG_EVENT_UP) {
		for (i = 0; i < LOG_LEDGER_SHARDS; i++) {
			s = &d->ledger->shards[i];
			if (s->active)
				ledger_home_set_log_down(
				    &s->home, e->kind == LOG_EVENT_DOWN);
		}
		return false;
	}
	if (e->kind == LOG_EVENT_PAGE) {
		s = shard_of_stream(d, e->stream);
		if (s != NULL && s->active && !ledger_page_is_stale(s, e))
			ledger_page(s, &e->page);
		return s != NULL;
	}
	if (shard == 0 || shard > LOG_LEDGER_SHARDS)
		return false;
	s = &d->ledger->shards[shard - 1];
	batch = e->cookie & ((UINT64_C(1) << COOKIE_SHARD_SHIFT) - 1);
	if (s->active)
		ledger_home_appended(&s->home, batch,
		    e->kind == LOG_EVENT_APPENDED ? LEDGER_APPEND_DONE
		    : e->kind == LOG_EVENT_APPEND_FAILED
			? LEDGER_APPEND_FAILED
			: LEDGER_APPEND_UNKNOWN);
	return true;
}

msec
daemon_ledger_tick(struct daemon *d, msec now)
{
	char id[LOG_ID_SIZE], stream[NAME_SIZE], *text;
	struct ledger_shard *s;
	msec next = MSEC_NEVER;
	uint64_t batch, cookie;
	unsigned int i;

	for (i = 0; i < LOG_LEDGER_SHARDS; i++) {
		s = &d->ledger->shards[i];
		if (!s->active)
			continue;
		while ((text = ledger_home_tick(&s->home, now, id, &batch)) !=
		       NULL) {
			shard_stream(i, stream);
			cookie =
			    (uint64_t)(i + 1) << COOKIE_SHARD_SHIFT | batch;
			daemon_metrics_append(d, METRICS_APPEND_LEDGER);
			if (!log_io_append(d->log, stream, text, id,
				APPEND_TIMEOUT_MS, cookie))
				ledger_home_appended(
				    &s->home, batch, LEDGER_APPEND_FAILED);
			free(text);
		}
		next = MIN(next, ledger_home_next(&s->home));
	}
	return next;
}

/* ---- start and end ---- */

void
daemon_ledger_init(struct daemon *d)
{
	unsigned int i;

	d->ledger = g_new0(struct daemon_ledger, 1);
	d->ledger->waiting =
	    g_hash_table_new_full(claim_id_hash, claim_id_equal, g_free, NULL);
	for (i = 0; i < LOG_LEDGER_SHARDS; i++) {
		d->ledger->shards[i].daemon = d;
		d->ledger->shards[i].number = i;
	}
	daemon_ledger_members(d);
}

void
daemon_ledger_finish(struct daemon *d)
{
	GHashTableIter it;
	gpointer c;
	unsigned int i;

	for (i = 0; i < LOG_LEDGER_SHARDS; i++) {
		if (d->ledger->shards[i].active)
			ledger_home_finish(&d->ledger->shards[i].home);
	}
	g_hash_table_iter_init(&it, d->ledger->waiting);
	while (g_hash_table_iter_next(&it, NULL, &c))
		call_drop(c);
	g_hash_table_destroy(d->ledger->waiting);
	g_free(d->ledger);
	d->ledger = NULL;
}
