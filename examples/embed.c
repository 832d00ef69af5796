/*
 * Embedding libsavorypier: two nodes in one program, each with a membership
 * core and a dispatch core. The cores do no input or output, so this program
 * gives them time, the VM list and each other's messages. Time is virtual: it
 * jumps to whatever is due next.
 *
 * One engine serves a service of three tiers. Dispatch begins with the one slot
 * that the document guesses, and learns from answers in time that there are
 * more. Requests come to both nodes while it is taken; they are granted by
 *tier.
 *
 *	cc $(pkg-config --cflags --libs savorypier) -o embed embed.c
 */

#include <savorypier/dispatch.h>
#include <savorypier/member.h>
#include <savorypier/net.h>

#include <stdlib.h>
#include <string.h>

#define NODES 2
#define JOBS 6U
#define LATENCY ((msec)1)  /* one way between the nodes */
#define ANSWER ((msec)200) /* how long the engine takes */
#define PEER_PORT 7000
#define CALLER_PORT 8000
#define KEY "0123456789abcdef"	       /* of messages between nodes */
#define ADDRESS(i) (0x0a000001U + (i)) /* 10.0.0.1 and on */
#define KEY_SHA256 \
	"345a935681e3e13c7bd2baaea250fe8f39b9f7c7e6e5255ca8b1d06405248c3d"

static const char document_text[] =
    "service: planner\n"
    "kind: model\n"
    "weighs: waste\n"
    "models:\n"
    "  - {name: tanker-planner, version: 2026-11}\n"
    "classes:\n"
    "  - {name: replan, tier: 0, targets: {whole_answer_ms: 60000}}\n"
    "  - {name: question, tier: 1, targets: {whole_answer_ms: 60000}}\n"
    "  - {name: draft, tier: 2, targets: {whole_answer_ms: 60000}}\n"
    "organisations:\n"
    "  - {name: works, key_sha256: " KEY_SHA256 "}\n"
    "backends:\n"
    "  - {match: \"*\", fenced: true, resumes: true, slots: 1}\n";

/* One node: its two cores and when they want to be called next. */
struct node {
	const char *name;
	unsigned int index;
	struct members members;
	struct dispatch dispatch;
	msec members_due;
	msec dispatch_due;
	bool changed; /* the membership, since dispatch was told */
};

/* A message under way, as the bytes of a datagram. */
struct datagram {
	TAILQ_ENTRY(datagram) entry;
	msec at;
	unsigned int from, to;
	size_t len;
	char data[NET_DATAGRAM_MAX];
};
TAILQ_HEAD(datagram_list, datagram);

/* A request, and the time at which the engine will be done with it. */
struct job {
	struct dispatch_request request;
	const char *name;
	struct node *node;
	msec ends; /* MSEC_NEVER: does not run */
};

static struct node nodes[NODES] = { { "entry-1", 0 }, { "entry-2", 1 } };
static struct datagram_list wire = TAILQ_HEAD_INITIALIZER(wire);
static struct job jobs[JOBS];
static unsigned int granted;
static struct document document;
static msec now = 1000; /* virtual time */

static void
fatal(const char *why)
{
	fprintf(stderr, "embed: %s\n", why);
	exit(1);
}

/* ---- the wire ---- */

/* The message is lent for the call only, so it is encoded at once. */
static void
wire_send(struct node *from, unsigned int to, const sp_msg *msg)
{
	struct datagram *d = g_new0(struct datagram, 1);
	struct net_frame frame;

	net_frame_init(&frame, name_hash(from->name), 1);
	if (to >= NODES || !net_frame_add(&frame, msg))
		fatal("a message that cannot be sent");
	d->len = net_frame_seal(&frame, KEY);
	memcpy(d->data, frame.data, d->len);
	d->at = now + LATENCY;
	d->from = from->index;
	d->to = to;
	TAILQ_INSERT_TAIL(&wire, d, entry);
}

/* Both cores see each message and take the kinds that are theirs. */
static void
wire_deliver(struct datagram *d)
{
	struct node *n = &nodes[d->to];
	sp_batch batch;
	unsigned int i;

	if (!net_decode(&batch, KEY, d->data, d->len))
		fatal("a datagram that cannot be read");
	for (i = 0; i < batch.msgs.msgs_len; i++) {
		const sp_msg *msg = &batch.msgs.msgs_val[i];

		members_receive(&n->members, now, batch.from, batch.incarnation,
		    ADDRESS(d->from), PEER_PORT, msg);
		dispatch_receive(
		    &n->dispatch, now, batch.from, batch.incarnation, msg);
	}
	net_batch_free(&batch);
	n->members_due = n->dispatch_due = now;
}

/* ---- what the cores call ---- */

static void
member_send(
    struct members *ms, uint32_t address, uint16_t port, const sp_msg *msg)
{
	wire_send(ms->arg, address - ADDRESS(0), msg);
}

static void
member_changed(struct members *ms, const struct member *m)
{
	struct node *n = ms->arg;

	printf("%s: %s is %s\n", n->name, m->name, member_state_name(m->state));
	n->changed = true;
}

static void
slot_send(struct dispatch *d, name_id to, const sp_msg *msg)
{
	unsigned int i;

	for (i = 0; i < NODES; i++) {
		if (name_hash(nodes[i].name) == to)
			wire_send(d->arg, i, msg);
	}
}

static void
slot_granted(struct dispatch *d, struct dispatch_request *r)
{
	struct job *j = r->arg;

	printf("%s: %s is granted after %d ms\n", j->node->name, j->name,
	    (int)(now - r->arrived));
	granted++;
	j->ends = now + ANSWER;
}

static void
slot_refused(struct dispatch *d, struct dispatch_request *r,
    enum dispatch_refusal why, msec after)
{
	fatal("a request was refused");
}

static void
slot_preempt(struct dispatch *d, struct dispatch_request *r)
{
	fatal("a request was preempted");
}

static const struct member_ops member_ops = { .send = member_send,
	.changed = member_changed };
static const struct dispatch_ops dispatch_ops = { .send = slot_send,
	.granted = slot_granted,
	.refused = slot_refused,
	.preempt = slot_preempt };

/* ---- the nodes ---- */

/* The platform's VM list says who may exist. */
static void
node_read_list(struct node *n)
{
	struct vm vms[NODES] = { 0 };
	unsigned int i;

	for (i = 0; i < NODES; i++) {
		g_strlcpy(vms[i].name, nodes[i].name, sizeof vms[i].name);
		g_strlcpy(vms[i].kind, "entry", sizeof vms[i].kind);
		g_strlcpy(vms[i].domain, "hall-grandi", sizeof vms[i].domain);
		vms[i].address = ADDRESS(i);
		vms[i].port = PEER_PORT;
	}
	members_set_list(&n->members, now, vms, NODES);
}

static void
node_start(struct node *n)
{
	const struct member_config mc = { .name = n->name,
		.domain = "hall-grandi",
		.incarnation = 1,
		.address = ADDRESS(n->index),
		.peer_port = PEER_PORT,
		.caller_port = CALLER_PORT,
		.seed = n->index + 1 };
	const struct dispatch_config dc = { .self = name_hash(n->name),
		.incarnation = 1,
		.domain = name_hash("hall-grandi"),
		.policy = "owner",
		.seed = n->index + 1 };
	const struct dispatch_engine engine = { .id = name_hash("engine-1"),
		.service = name_hash("planner"),
		.domain = name_hash("hall-grandi"),
		.slots_hint = 1 };

	members_init(&n->members, &member_ops, &mc, now);
	n->members.arg = n;
	if (!dispatch_init(&n->dispatch, &dispatch_ops, &dc, now))
		fatal("no such policy");
	n->dispatch.arg = n;
	node_read_list(n);
	dispatch_set_document(&n->dispatch, now, &document);
	dispatch_set_engines(&n->dispatch, now, &engine, 1);
	n->changed = true;
}

/* Dispatch is told of all nodes at once, this one among them. */
static void
node_tell_dispatch(struct node *n)
{
	struct dispatch_node list[NODES] = { 0 };
	struct member *m;
	unsigned int count = 0;

	list[count].id = name_hash(n->name);
	list[count].incarnation = 1;
	list[count].domain = name_hash("hall-grandi");
	list[count++].takes_work = true;
	RB_FOREACH (m, member_tree, &n->members.tree) {
		list[count].id = m->id;
		list[count].incarnation = m->incarnation;
		list[count].domain = name_hash(m->domain);
		list[count++].takes_work = m->state == MEMBER_ALIVE;
	}
	dispatch_set_nodes(&n->dispatch, now, list, count);
	n->changed = false;
}

static void
node_tick(struct node *n)
{
	if (n->members_due <= now)
		n->members_due = members_tick(&n->members, now);
	if (n->changed)
		node_tell_dispatch(n);
	n->dispatch_due = dispatch_tick(&n->dispatch, now);
}

/* ---- time ---- */

/* The request has had its answer: its slot is free again. */
static void
job_end(struct job *j)
{
	const struct dispatch_result result = { .how = DISPATCH_OK,
		.first_token = ANSWER / 2,
		.stream = ANSWER / 2,
		.tokens = 10 };

	j->ends = MSEC_NEVER;
	dispatch_done(&j->node->dispatch, now, &j->request, &result);
}

static msec
next_due(void)
{
	msec next = MSEC_NEVER;
	unsigned int i;

	if (!TAILQ_EMPTY(&wire))
		next = MIN(next, TAILQ_FIRST(&wire)->at);
	for (i = 0; i < JOBS; i++)
		next = MIN(next, jobs[i].ends);
	for (i = 0; i < NODES; i++) {
		next = MIN(next, nodes[i].members_due);
		next = MIN(next, nodes[i].dispatch_due);
	}
	return MAX(next, now);
}

static void
run_until(msec until)
{
	struct datagram *d;
	unsigned int i;

	while (now < until) {
		while ((d = TAILQ_FIRST(&wire)) != NULL && d->at <= now) {
			TAILQ_REMOVE(&wire, d, entry);
			wire_deliver(d);
			g_free(d);
		}
		for (i = 0; i < JOBS; i++) {
			if (jobs[i].ends <= now)
				job_end(&jobs[i]);
		}
		for (i = 0; i < NODES; i++)
			node_tick(&nodes[i]);
		/* Nothing may be due in the same millisecond for ever. */
		now = MIN(until, MAX(next_due(), now + 1));
	}
}

static void
submit(struct job *j, unsigned int node, const char *class)
{
	struct dispatch_request *r = &j->request;

	j->node = &nodes[node];
	j->name = class;
	r->service = name_hash("planner");
	r->class_index = (unsigned int)document_class(&document, class);
	r->document_version = document.version;
	r->organisation = name_hash("works");
	r->arrived = now;
	r->deadline = MSEC_NEVER;
	r->arg = j;
	dispatch_submit(&j->node->dispatch, now, r);
}

/* The document as the team would publish it. */
static void
document_load(void)
{
	struct findings findings;

	findings_init(&findings);
	if (!document_parse(&document, document_text, sizeof document_text - 1,
		"document", &findings)) {
		findings_print(&findings, stderr);
		fatal("the document has findings");
	}
	document.version = 1; /* else the log's offset */
	findings_finish(&findings);
}

int
main(void)
{
	unsigned int i;

	document_load();
	for (i = 0; i < JOBS; i++)
		jobs[i].ends = MSEC_NEVER;
	for (i = 0; i < NODES; i++)
		node_start(&nodes[i]);
	run_until(now + 5 * MSEC_SECOND);

	/* The first finds the slot free; the others wait and go by tier. */
	submit(&jobs[0], 0, "draft");
	run_until(now + 20);
	submit(&jobs[1], 0, "draft");
	submit(&jobs[2], 1, "question");
	submit(&jobs[3], 0, "question");
	submit(&jobs[4], 1, "replan");
	submit(&jobs[5], 0, "replan");
	run_until(now + 5 * MSEC_SECOND);

	for (i = 0; i < NODES; i++) {
		dispatch_finish(&nodes[i].dispatch);
		members_finish(&nodes[i].members);
	}
	document_finish(&document);
	printf("%u of %u granted\n", granted, JOBS);
	return granted == JOBS ? 0 : 1;
}
