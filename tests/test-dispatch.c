/*
 * Tests the dispatch core: how one node reacts to single messages. Load and
 * faults of several nodes are in test-dispatch-faults.c.
 */

#define LOG_PART "test"
#include "dispatch.h"

#include <string.h>

#define SERVICE "planner-llm"
#define SELF 1
#define OTHER_NODE 2
#define ENGINE 77
#define SENT_MAX 64

/* A dispatch core, with a record of its messages and callbacks. */
struct fixture {
	struct dispatch d; /* first */
	struct document doc;
	struct doc_class classes[2];
	struct {
		name_id to;
		sp_msg msg;
	} sent[SENT_MAX];
	unsigned int nsent;
	unsigned int granted, refused;
	enum dispatch_refusal refusal;
	msec retry_after;
};

static void
on_send(struct dispatch *d, name_id to, const sp_msg *m)
{
	struct fixture *f = (struct fixture *)d;

	g_assert_cmpuint(f->nsent, <, SENT_MAX);
	f->sent[f->nsent].to = to;
	f->sent[f->nsent++].msg = *m;
}

static void
on_granted(struct dispatch *d, struct dispatch_request *r)
{
	((struct fixture *)d)->granted++;
}

static void
on_refused(struct dispatch *d, struct dispatch_request *r,
    enum dispatch_refusal refusal, msec retry_after)
{
	((struct fixture *)d)->refused++;
	((struct fixture *)d)->refusal = refusal;
	((struct fixture *)d)->retry_after = retry_after;
}

static void
on_preempt(struct dispatch *d, struct dispatch_request *r)
{
}

static const struct dispatch_ops ops = { on_send, on_granted, on_refused,
	on_preempt };

/* The engine is owned by this or the other node, by its failure domain. */
static void
fixture_init(struct fixture *f, name_id engine_domain, unsigned int slots)
{
	struct dispatch_config c = { .self = SELF,
		.incarnation = 5,
		.domain = SELF,
		.policy = "owner",
		.seed = 1 };
	struct dispatch_node nodes[] = { { SELF, 5, SELF, true },
		{ OTHER_NODE, 9, OTHER_NODE, true } };
	struct dispatch_engine e = { .id = ENGINE,
		.service = name_hash(SERVICE),
		.domain = engine_domain,
		.slots_hint = slots };

	memset(f, 0, sizeof *f);
	g_strlcpy(f->doc.service, SERVICE, sizeof f->doc.service);
	f->doc.classes = f->classes;
	f->doc.nclasses = 2;
	f->classes[0].is_protected = true;
	f->classes[1].tier = 1;
	f->classes[1].first_token = 1000;
	g_assert_true(dispatch_init(&f->d, &ops, &c, 0));
	dispatch_set_document(&f->d, 0, &f->doc);
	dispatch_set_nodes(&f->d, 0, nodes, 2);
	dispatch_set_engines(&f->d, 0, &e, 1);
	dispatch_tick(&f->d, 1000);
}

static void
request_init(struct dispatch_request *r, unsigned int class_index, msec now)
{
	memset(r, 0, sizeof *r);
	r->service = name_hash(SERVICE);
	r->class_index = class_index;
	r->arrived = now;
	r->deadline = MSEC_NEVER;
}

static unsigned int
sent_count(const struct fixture *f, sp_kind kind)
{
	unsigned int i, n = 0;

	for (i = 0; i < f->nsent; i++)
		n += f->sent[i].msg.kind == kind;
	return n;
}

static void
receive_reserve(struct fixture *f, msec now, uint64_t incarnation,
    unsigned int id, unsigned int tier)
{
	sp_msg m = { .kind = SP_RESERVE };

	m.sp_msg_u.reserve.engine = ENGINE;
	m.sp_msg_u.reserve.id = id;
	m.sp_msg_u.reserve.class_index = tier;
	m.sp_msg_u.reserve.tier = tier;
	m.sp_msg_u.reserve.expect_tokens = 100;
	dispatch_receive(&f->d, now, OTHER_NODE, incarnation, &m);
}

static void
receive_grant(struct fixture *f, msec now, unsigned int id)
{
	sp_msg m = { .kind = SP_GRANT };

	m.sp_msg_u.grant.engine = ENGINE;
	m.sp_msg_u.grant.id = id;
	m.sp_msg_u.grant.slots = 4;
	dispatch_receive(&f->d, now, OTHER_NODE, 9, &m);
}

static void
test_own_engine(void)
{
	struct dispatch_result res = { .how = DISPATCH_OK,
		.first_token = 10,
		.stream = 100,
		.tokens = 10 };
	struct dispatch_request r, second;
	struct fixture f;

	fixture_init(&f, SELF, 1);
	request_init(&r, 1, 1000);
	dispatch_submit(&f.d, 1000, &r);
	g_assert_cmpuint(f.granted, ==, 1);
	g_assert_cmpuint(r.engine, ==, ENGINE);
	request_init(&second, 1, 1000);
	dispatch_submit(&f.d, 1000, &second);
	g_assert_cmpuint(f.granted, ==, 1);
	dispatch_done(&f.d, 1200, &r, &res);
	g_assert_cmpuint(f.granted, ==, 2);
	dispatch_cancel(&f.d, 1300, &second);
	g_assert_cmpuint(f.nsent, ==, 0);
	dispatch_finish(&f.d);
}

static void
test_no_engine(void)
{
	struct dispatch_request r;
	struct fixture f;

	fixture_init(&f, SELF, 1);
	request_init(&r, 0, 1000);
	r.service = name_hash("unheard-of");
	dispatch_submit(&f.d, 1000, &r);
	g_assert_cmpuint(f.refused, ==, 1);
	g_assert_cmpint(f.refusal, ==, DISPATCH_NO_ENGINE);
	dispatch_finish(&f.d);
}

/*
 * Guards against a leaked slot when a reservation arrives twice, as the entry
 * node received no answer and sent it again, or UDP duplicated it.
 */
static void
test_reserve_twice(void)
{
	struct fixture f;

	fixture_init(&f, SELF, 2);
	receive_reserve(&f, 1000, 9, 1, 1);
	receive_reserve(&f, 1001, 9, 1, 1);
	g_assert_cmpuint(sent_count(&f, SP_GRANT), ==, 2);
	/* The second slot is still free; there is no third. */
	receive_reserve(&f, 1002, 9, 2, 1);
	g_assert_cmpuint(sent_count(&f, SP_GRANT), ==, 3);
	receive_reserve(&f, 1003, 9, 3, 1);
	g_assert_cmpuint(sent_count(&f, SP_GRANT), ==, 3);
	g_assert_cmpuint(sent_count(&f, SP_QUEUED), ==, 1);
	receive_reserve(&f, 1253, 9, 3, 1);
	g_assert_cmpuint(sent_count(&f, SP_QUEUED), ==, 2);
	g_assert_cmpuint(f.nsent, ==, 5);
	dispatch_finish(&f.d);
}

/*
 * Guards against a new request being mistaken for an old one: an entry VM
 * restarts and uses request number 1 again, and a delayed message of its
 * earlier process arrives.
 */
static void
test_old_incarnation(void)
{
	struct fixture f;

	fixture_init(&f, SELF, 1);
	receive_reserve(&f, 1000, 9, 1, 1);
	g_assert_cmpuint(sent_count(&f, SP_GRANT), ==, 1);
	receive_reserve(&f, 1001, 9, 2, 1);
	/* The slot of the earlier incarnation is free at once. */
	receive_reserve(&f, 1002, 10, 1, 1);
	g_assert_cmpuint(sent_count(&f, SP_GRANT), ==, 2);
	g_assert_cmpuint(sent_count(&f, SP_QUEUED), ==, 1);
	receive_reserve(&f, 1003, 9, 3, 1);
	g_assert_cmpuint(f.nsent, ==, 3);
	dispatch_finish(&f.d);
}

/*
 * Guards against a request that runs twice: an owner is paused for some seconds
 * and then grants its queued requests, which the entry node has meanwhile run
 * elsewhere or reported as "not run".
 */
static void
test_stale_grant(void)
{
	struct dispatch_request r;
	struct fixture f;
	unsigned int id;

	fixture_init(&f, OTHER_NODE, 1);
	request_init(&r, 1, 1000);
	dispatch_submit(&f.d, 1000, &r);
	g_assert_cmpuint(sent_count(&f, SP_RESERVE), ==, 1);
	id = r.id;
	dispatch_cancel(&f.d, 1100, &r);
	g_assert_cmpuint(sent_count(&f, SP_CANCEL), ==, 1);
	receive_grant(&f, 6000, id);
	g_assert_cmpuint(f.granted, ==, 0);
	g_assert_cmpuint(sent_count(&f, SP_CANCEL), ==, 2);
	dispatch_finish(&f.d);
}

/* A duplicate grant neither starts the request again nor is returned. */
static void
test_grant_twice(void)
{
	struct dispatch_request r;
	struct fixture f;

	fixture_init(&f, OTHER_NODE, 1);
	request_init(&r, 1, 1000);
	dispatch_submit(&f.d, 1000, &r);
	receive_grant(&f, 1001, r.id);
	receive_grant(&f, 1002, r.id);
	g_assert_cmpuint(f.granted, ==, 1);
	g_assert_cmpuint(sent_count(&f, SP_CANCEL), ==, 0);
	dispatch_finish(&f.d);
}

/*
 * Guards against a request of a low tier that waits until its deadline although
 * it can no longer meet its target: it is refused early, with a time to retry.
 */
static void
test_hopeless(void)
{
	struct dispatch_request r;
	struct fixture f;
	msec at;

	fixture_init(&f, OTHER_NODE, 1);
	request_init(&r, 1, 1000);
	dispatch_submit(&f.d, 1000, &r);
	for (at = 1000; at < 2000 && f.refused == 0; at += 10)
		dispatch_tick(&f.d, at);
	g_assert_cmpuint(f.refused, ==, 1);
	g_assert_cmpint(f.refusal, ==, DISPATCH_HOPELESS);
	g_assert_cmpint(at, <, 2000);
	g_assert_cmpint(f.retry_after, >, 0);
	dispatch_finish(&f.d);
}

/*
 * Guards against a stream that is cut off: when it resumes after the failure of
 * its engine while all engines are full, refusing it like a new request would
 * waste the tokens that it already has.
 */
static void
test_resumed(void)
{
	struct dispatch_request r;
	struct fixture f;
	sp_msg m = { .kind = SP_REFUSE };
	msec at;

	fixture_init(&f, OTHER_NODE, 1);
	request_init(&r, 1, 1000);
	r.resumed = true;
	dispatch_submit(&f.d, 1000, &r);
	m.sp_msg_u.refuse.engine = ENGINE;
	m.sp_msg_u.refuse.id = r.id;
	m.sp_msg_u.refuse.reason = SP_QUEUE_FULL;
	dispatch_receive(&f.d, 1001, OTHER_NODE, 9, &m);
	for (at = 1001; at < 3500; at += 10)
		dispatch_tick(&f.d, at);
	g_assert_cmpuint(f.refused, ==, 0);
	receive_grant(&f, 3500, r.id);
	g_assert_cmpuint(f.granted, ==, 1);
	dispatch_finish(&f.d);
}

/*
 * Guards against a caller that waits for a paused owner: the owner has queued
 * the request and then stops. Within 3 s the entry node finds that repeated
 * reservations are not answered, and cancels them.
 */
static void
test_silent_owner(void)
{
	struct dispatch_request r;
	struct fixture f;
	sp_msg m = { .kind = SP_QUEUED };
	msec at;

	fixture_init(&f, OTHER_NODE, 1);
	request_init(&r, 0, 1000);
	dispatch_submit(&f.d, 1000, &r);
	m.sp_msg_u.queued.engine = ENGINE;
	m.sp_msg_u.queued.id = r.id;
	dispatch_receive(&f.d, 1002, OTHER_NODE, 9, &m);
	for (at = 1002; at < 4000 && sent_count(&f, SP_CANCEL) == 0; at += 10)
		dispatch_tick(&f.d, at);
	g_assert_cmpuint(sent_count(&f, SP_CANCEL), ==, 1);
	/* There is no other engine, so it sends a new reservation. */
	for (f.nsent = 0; at < 4500; at += 10)
		dispatch_tick(&f.d, at);
	g_assert_cmpuint(sent_count(&f, SP_RESERVE), >, 0);
	g_assert_cmpuint(f.refused, ==, 0);
	dispatch_finish(&f.d);
}

/* An engine to avoid is used if there is no other. */
static void
test_avoid_only(void)
{
	struct dispatch_request r;
	struct fixture f;

	fixture_init(&f, SELF, 1);
	request_init(&r, 0, 1000);
	r.avoid = ENGINE;
	dispatch_submit(&f.d, 1000, &r);
	g_assert_cmpuint(f.granted, ==, 1);
	dispatch_finish(&f.d);
}

/* In a full queue, a request of a higher tier replaces one of the lowest. */
static void
test_evict(void)
{
	struct fixture f;
	unsigned int i;

	fixture_init(&f, SELF, 1);
	for (i = 1; i <= 600; i++) {
		receive_reserve(&f, 1000, 9, i, 3);
		f.nsent = 0;
	}
	receive_reserve(&f, 1001, 9, 1000, 3);
	g_assert_cmpuint(sent_count(&f, SP_REFUSE), ==, 1);
	g_assert_cmpuint(f.sent[0].msg.sp_msg_u.refuse.id, ==, 1000);
	g_assert_cmpint(
	    f.sent[0].msg.sp_msg_u.refuse.reason, ==, SP_QUEUE_FULL);
	f.nsent = 0;
	receive_reserve(&f, 1001, 9, 1001, 1);
	g_assert_cmpuint(sent_count(&f, SP_REFUSE), ==, 1);
	g_assert_cmpuint(f.sent[0].msg.sp_msg_u.refuse.id, !=, 1001);
	g_assert_cmpint(f.sent[0].msg.sp_msg_u.refuse.reason, ==, SP_EVICTED);
	dispatch_finish(&f.d);
}

/*
 * Guards against more concurrent calls than a plain service takes: the number
 * of slots that its document states is a limit there, not an initial estimate.
 */
static void
test_plain_bound(void)
{
	struct dispatch_result res = { .how = DISPATCH_OK, .first_token = 5 };
	struct dispatch_request r[40];
	struct fixture f;
	unsigned int i;

	fixture_init(&f, SELF, 4);
	f.doc.kind = SERVICE_PLAIN;
	f.classes[1].first_token = 0;
	dispatch_set_document(&f.d, 1000, &f.doc);
	for (i = 0; i < 40; i++) {
		request_init(&r[i], 1, 1000);
		dispatch_submit(&f.d, 1000, &r[i]);
	}
	g_assert_cmpuint(f.granted, ==, 4);
	for (i = 0; i < 30; i++) {
		dispatch_done(&f.d, 1010 + i, &r[i], &res);
		g_assert_cmpuint(f.granted, ==, i + 5);
	}
	dispatch_finish(&f.d);
}

/*
 * Guards against the refusal of a request that reaches dispatch after its
 * target has passed, since it waited for its organisation's limit or its server
 * failed: a free engine must still take it.
 */
static void
test_late_at_first(void)
{
	struct dispatch_request r;
	struct fixture f;

	fixture_init(&f, OTHER_NODE, 4);
	request_init(&r, 1, 1000);
	dispatch_submit(&f.d, 4000, &r);
	dispatch_tick(&f.d, 4000);
	dispatch_tick(&f.d, 4050);
	g_assert_cmpuint(f.refused, ==, 0);
	receive_grant(&f, 4050, r.id);
	g_assert_cmpuint(f.granted, ==, 1);
	dispatch_finish(&f.d);
}

/* Such a late request is refused if no engine takes it soon. */
static void
test_late_and_busy(void)
{
	struct dispatch_request r;
	struct fixture f;

	fixture_init(&f, OTHER_NODE, 4);
	request_init(&r, 1, 1000);
	dispatch_submit(&f.d, 4000, &r);
	dispatch_tick(&f.d, 4600);
	g_assert_cmpuint(f.refused, ==, 1);
	g_assert_cmpint(f.refusal, ==, DISPATCH_HOPELESS);
	dispatch_finish(&f.d);
}

/* A node that leaves refuses queued and new reservations at once. */
static void
test_leave(void)
{
	struct fixture f;

	fixture_init(&f, SELF, 1);
	receive_reserve(&f, 1000, 9, 1, 1);
	receive_reserve(&f, 1000, 9, 2, 1);
	f.nsent = 0;
	dispatch_leave(&f.d, 1001);
	g_assert_cmpuint(sent_count(&f, SP_REFUSE), ==, 1);
	g_assert_cmpint(f.sent[0].msg.sp_msg_u.refuse.reason, ==, SP_NOT_OWNER);
	receive_reserve(&f, 1002, 9, 3, 1);
	g_assert_cmpuint(sent_count(&f, SP_REFUSE), ==, 2);
	dispatch_finish(&f.d);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatch/own-engine", test_own_engine);
	g_test_add_func("/dispatch/no-engine", test_no_engine);
	g_test_add_func("/dispatch/reserve-twice", test_reserve_twice);
	g_test_add_func("/dispatch/old-incarnation", test_old_incarnation);
	g_test_add_func("/dispatch/stale-grant", test_stale_grant);
	g_test_add_func("/dispatch/grant-twice", test_grant_twice);
	g_test_add_func("/dispatch/hopeless", test_hopeless);
	g_test_add_func("/dispatch/resumed", test_resumed);
	g_test_add_func("/dispatch/silent-owner", test_silent_owner);
	g_test_add_func("/dispatch/avoid-only", test_avoid_only);
	g_test_add_func("/dispatch/evict", test_evict);
	g_test_add_func("/dispatch/plain-bound", test_plain_bound);
	g_test_add_func("/dispatch/late-at-first", test_late_at_first);
	g_test_add_func("/dispatch/late-and-busy", test_late_and_busy);
	g_test_add_func("/dispatch/leave", test_leave);
	return g_test_run();
}
