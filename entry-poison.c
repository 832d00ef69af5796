/*
 * Checks whether the process of a server has ended and handles suspect
 * requests; see entry-poison.h.
 */

#define LOG_PART "poison"
#include "entry.h"

#include <sys/socket.h>

#include <errno.h>
#include <inttypes.h>
#include <string.h>

#include <xxhash.h>

/*
 * A process that ends closes its connections before its listening socket, so
 * the first check begins after a delay, and a second one follows.
 */
#define CHECK_FIRST_DELAY_MS 5
#define CHECK_NEXT_DELAY_MS 40
#define CHECK_CONNECTIONS 2
/* Longest time that a request waits for the result of a check. */
#define CHECK_REQUEST_WAIT_MS 60
/* Timeout of the connection; the server counts as silent after it. */
#define CHECK_CONNECT_TIMEOUT_MS 300
/* Interval at which a refused check looks for the result of the probes. */
#define CHECK_PATH_INTERVAL_MS 10
/* The platform reports the end of a process within this time. */
#define CHECK_PLATFORM_WAIT_MS (10 * MSEC_SECOND)
/*
 * All connections to a process break within this time after its end; the
 * requests on them become suspects, too.
 */
#define CHECK_ENDED_KEEP_MS (2 * MSEC_SECOND)
/*
 * Requests abandoned at a server within this time before its end may have
 * caused it.
 */
#define POISON_ABANDONED_MS 2000

enum check_state {
	CHECK_DELAYED,	  /* waits for the delay of the next connection */
	CHECK_CONNECTING, /* the connection is being established */
	CHECK_REFUSED,	  /* refused; waits for the probes of the path */
	CHECK_SILENT,	  /* no answer; the platform's list decides */
	CHECK_ENDED	  /* the process has ended */
};

/* A check of a server's process after a connection to it broke. */
struct server_check {
	struct loop_io io;
	TAILQ_ENTRY(server_check) entry;
	struct entry *owner;
	name_id server;
	char name[SERVER_NAME_SIZE];
	uint64_t process; /* see server_process_id() */
	uint32_t address;
	uint16_t port;
	enum check_state state;
	unsigned int connections;     /* connections tried */
	struct loop_timer timer;      /* ends the state */
	struct loop_timer wait_timer; /* resumes the requests that wait */
	msec since;
	GArray *requests; /* struct poison_id: requests it was running */
};

static void check_connected(struct loop_io *, uint32_t);
static void check_state_timer(struct loop_timer *, msec);
static void check_wait_timer(struct loop_timer *, msec);
static void check_start_connection(struct server_check *, msec);

/* Hashes the identity of a server's process, the same on all nodes. */
static uint64_t
server_process_id(const struct server *v)
{
	uint64_t words[3] = { v->id, (uint64_t)v->born,
		((uint64_t)v->address << 16) | v->port };

	return XXH64(words, sizeof words, 8);
}

/* ---- results of a check ---- */

static struct job *
check_find_waiting_job(const struct server_check *c)
{
	struct job *j;

	TAILQ_FOREACH (j, &c->owner->jobs, entry) {
		if (j->check == c)
			return j;
	}
	return NULL;
}

/* Resumes the requests that wait for the result. */
static void
check_resume_requests(struct server_check *c, msec now)
{
	struct entry *e = c->owner;
	struct job *j;

	loop_timer_stop(&e->loop, &c->wait_timer);
	/* Start over each time: resuming one job may end others. */
	while ((j = check_find_waiting_job(c)) != NULL) {
		j->check = NULL;
		poison_server_checked(&e->poison.core, now, j->fingerprint);
		job_server_checked(j, now);
	}
}

static void
check_free(struct server_check *c)
{
	struct entry *e = c->owner;

	loop_timer_stop(&e->loop, &c->timer);
	loop_timer_stop(&e->loop, &c->wait_timer);
	loop_close(&e->loop, &c->io);
	TAILQ_REMOVE(&e->poison.checks, c, entry);
	g_array_unref(c->requests);
	g_free(c);
}

static void
check_add_abandoned(struct server_check *c, msec now)
{
	struct entry_poison *x = &c->owner->poison;
	unsigned int i;

	for (i = 0; i < POISON_ABANDONED_MAX; i++) {
		if (x->abandoned[i].process != c->process ||
		    now - x->abandoned[i].at > POISON_ABANDONED_MS)
			continue;
		g_array_append_val(c->requests, x->abandoned[i].id);
		x->abandoned[i].process = 0;
	}
}

/* The process has ended: all requests that it was running are suspects. */
static void
check_process_ended(struct server_check *c, msec now)
{
	struct entry *e = c->owner;
	g_autoptr(GArray) requests = NULL;
	guint i;

	check_add_abandoned(c, now);
	requests = c->requests;
	c->requests = g_array_new(FALSE, FALSE, sizeof(struct poison_id));
	c->state = CHECK_ENDED;
	e->poison.servers_ended++;
	loop_close(&e->loop, &c->io);
	loop_timer_set(&e->loop, &c->timer, now + CHECK_ENDED_KEEP_MS);
	if (requests->len > 0)
		entry_log(&e->log, now, ENTRY_LOG_NEEDED,
		    LOG_EVENT_SERVER_ENDED, LOG_TEXT(LOG_KEY_SERVER, c->name),
		    LOG_NUMBER(LOG_KEY_REQUESTS, requests->len),
		    LOG_NUMBER(LOG_KEY_MS, now - c->since));
	for (i = 0; i < requests->len; i++)
		poison_server_ended(&e->poison.core, now,
		    g_array_index(requests, struct poison_id, i), c->process);
	check_resume_requests(c, now);
}

/*
 * The server accepts connections, so its process probably has not ended:
 * resumes the requests, then checks once more.
 */
static void
check_server_accepts(struct server_check *c, msec now)
{
	struct entry *e = c->owner;

	check_resume_requests(c, now);
	loop_close(&e->loop, &c->io);
	if (c->connections == CHECK_CONNECTIONS) {
		check_free(c);
		return;
	}
	c->state = CHECK_DELAYED;
	loop_timer_set(&e->loop, &c->timer, now + CHECK_NEXT_DELAY_MS);
}

/* The check was inconclusive: wait for the platform's list to change. */
static void
check_server_silent(struct server_check *c, msec now)
{
	c->state = CHECK_SILENT;
	loop_close(&c->owner->loop, &c->io);
	loop_timer_set(
	    &c->owner->loop, &c->timer, now + CHECK_PLATFORM_WAIT_MS);
	check_resume_requests(c, now);
}

/*
 * The connection was refused. That shows the end of the process only if this
 * node reaches other servers; if its path is cut, all of them seem to end.
 */
static void
check_refused(struct server_check *c, msec now)
{
	const struct reach *r = &c->owner->reach.core;

	loop_close(&c->owner->loop, &c->io);
	if (reach_is_cut(r)) {
		check_server_silent(c, now);
	} else if (reach_in_doubt(r)) {
		c->state = CHECK_REFUSED;
		loop_timer_set(
		    &c->owner->loop, &c->timer, now + CHECK_PATH_INTERVAL_MS);
	} else {
		check_process_ended(c, now);
	}
}

static void
check_state_timer(struct loop_timer *t, msec now)
{
	struct server_check *c = t->arg;

	if (c->state == CHECK_DELAYED)
		check_start_connection(c, now);
	else if (c->state == CHECK_REFUSED)
		check_refused(c, now);
	else if (c->state == CHECK_CONNECTING)
		check_server_silent(c, now);
	else
		check_free(c);
}

static void
check_wait_timer(struct loop_timer *t, msec now)
{
	check_resume_requests(t->arg, now);
}

static void
check_connected(struct loop_io *io, uint32_t events)
{
	struct server_check *c = (struct server_check *)io;
	msec now = c->owner->loop.now;
	int error = 0;
	socklen_t len = sizeof error;

	if (getsockopt(io->fd, SOL_SOCKET, SO_ERROR, &error, &len) == -1 ||
	    error == 0 || error == ECONNRESET)
		check_server_accepts(c, now);
	else if (error == ECONNREFUSED)
		check_refused(c, now);
	else
		check_server_silent(c, now);
}

/* ---- checking a server ---- */

/*
 * Opens a new connection, because kept ones may be broken as well and the check
 * must not cost a request. If the process has ended, the connection is refused,
 * either by connect(2) itself or later.
 */
static enum check_state
check_connect(struct server_check *c)
{
	int fd = link_open_socket(c->owner, c->address, c->port);

	c->owner->counters.connects++;
	c->owner->poison.servers_checked++;
	if (fd == -1)
		return errno == ECONNREFUSED ? CHECK_REFUSED : CHECK_SILENT;
	c->io = (struct loop_io){ check_connected, fd, 0 };
	return loop_watch(&c->owner->loop, &c->io, EPOLLOUT) ? CHECK_CONNECTING
							     : CHECK_SILENT;
}

static struct server_check *
check_find(struct entry *e, uint64_t process)
{
	struct server_check *c;

	TAILQ_FOREACH (c, &e->poison.checks, entry) {
		if (c->process == process)
			return c;
	}
	return NULL;
}

static struct server_check *
check_new(struct entry *e, const struct server *v, msec now)
{
	struct server_check *c = g_new0(struct server_check, 1);

	c->io.fd = -1;
	c->owner = e;
	c->server = v->id;
	g_strlcpy(c->name, v->name, sizeof c->name);
	c->process = server_process_id(v);
	c->address = v->address;
	c->port = v->port;
	c->since = now;
	c->state = CHECK_DELAYED;
	c->requests = g_array_new(FALSE, FALSE, sizeof(struct poison_id));
	loop_timer_init(&c->timer, check_state_timer, c);
	loop_timer_init(&c->wait_timer, check_wait_timer, c);
	TAILQ_INSERT_TAIL(&e->poison.checks, c, entry);
	return c;
}

static void
check_start_connection(struct server_check *c, msec now)
{
	enum check_state state = check_connect(c);

	c->connections++;
	if (state == CHECK_REFUSED) {
		check_refused(c, now);
	} else if (state == CHECK_SILENT) {
		check_server_silent(c, now);
	} else {
		c->state = CHECK_CONNECTING;
		loop_timer_set(
		    &c->owner->loop, &c->timer, now + CHECK_CONNECT_TIMEOUT_MS);
	}
}

bool
entry_poison_connection_broke(
    struct job *j, const struct server *v, bool waits, msec now)
{
	struct entry *e = j->owner;
	struct server_check *c;

	/* A server that is not ready ends as planned. */
	if (!server_takes_work(v, now) || poison_id_is_none(j->fingerprint))
		return false;
	c = check_find(e, server_process_id(v));
	if (c != NULL && c->state == CHECK_ENDED) {
		poison_server_ended(
		    &e->poison.core, now, j->fingerprint, c->process);
		return false;
	}
	if (c == NULL) {
		c = check_new(e, v, now);
		loop_timer_set(&e->loop, &c->timer, now + CHECK_FIRST_DELAY_MS);
		loop_timer_set(
		    &e->loop, &c->wait_timer, now + CHECK_REQUEST_WAIT_MS);
	}
	g_array_append_val(c->requests, j->fingerprint);
	if (!waits || !c->wait_timer.set)
		return false;
	j->check = c;
	return true;
}

void
entry_poison_request_abandoned(
    const struct job *j, const struct server *v, msec now)
{
	struct entry_poison *x = &j->owner->poison;

	if (!server_takes_work(v, now) || poison_id_is_none(j->fingerprint))
		return;
	x->abandoned[x->next_abandoned] =
	    (struct poison_abandoned){ j->fingerprint, server_process_id(v),
		    now };
	x->next_abandoned = (x->next_abandoned + 1) % POISON_ABANDONED_MAX;
}

void
entry_poison_connection_refused(struct entry *e, struct server *v, msec now)
{
	struct server_check *c;

	if (!server_takes_work(v, now))
		return;
	if ((c = check_find(e, server_process_id(v))) == NULL)
		c = check_new(e, v, now);
	if (c->state != CHECK_ENDED && c->state != CHECK_REFUSED)
		check_refused(c, now);
}

/*
 * Resolves checks of a silent server. If the server is draining, its end was
 * planned; otherwise it is gone or was restarted, so the checked process has
 * ended. The server is matched by name, because `process` has changed already
 * if it was restarted.
 */
void
entry_poison_server_changed(struct entry *e, struct server *v, msec now)
{
	struct server_check *c, *next;

	TAILQ_FOREACH_SAFE (c, &e->poison.checks, entry, next) {
		if (c->server != v->id || c->state != CHECK_SILENT)
			continue;
		if (v->state == SERVER_DRAINING)
			check_free(c);
		else
			check_process_ended(c, now);
	}
}

/* ---- requests ---- */

bool
entry_poison_admit(struct job *j, msec now)
{
	struct entry *e = j->owner;
	enum poison_verdict v;

	j->run.id = j->fingerprint;
	j->run.arg = j;
	v = poison_ask(&e->poison.core, now, &j->run);
	if (v == POISON_SEND)
		return true;
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_SUSPECT,
	    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_OUTCOME, poison_verdict_name(v)),
	    LOG_NUMBER(LOG_KEY_ENDS,
		poison_count_ends(&e->poison.core, j->fingerprint)));
	if (v != POISON_WAIT)
		job_fail(j, now, JOB_POISON);
	else
		entry_poison_reschedule(e, now);
	return false;
}

bool
entry_poison_refuses(const struct job *j, msec now)
{
	return !j->run.granted &&
	       poison_is_condemned(&j->owner->poison.core, now, j->fingerprint);
}

static void
poison_op_send(struct poisons *p, name_id node, const sp_msg *msg)
{
	struct entry *e = p->arg;
	struct member *m = members_find(&e->members, node);

	if (m != NULL)
		net_send(&e->net, m->address, m->peer_port, msg);
}

static void
poison_op_decided(
    struct poisons *p, struct poison_run *run, enum poison_verdict v, msec now)
{
	struct job *j = run->arg;

	entry_log(&j->owner->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_SUSPECT,
	    LOG_TEXT(LOG_KEY_REQUEST, j->request.id),
	    LOG_TEXT(LOG_KEY_OUTCOME, poison_verdict_name(v)),
	    LOG_NUMBER(LOG_KEY_ENDS, poison_count_ends(p, j->fingerprint)));
	if (v == POISON_SEND)
		job_attempt(j, now);
	else
		job_fail(j, now, JOB_POISON);
}

/* Finds a request that was sent to a server but not answered yet. */
static struct job *
poison_find_unanswered(struct entry *e, struct poison_id id)
{
	struct job *j;

	TAILQ_FOREACH (j, &e->jobs, entry) {
		if (poison_id_equal(j->fingerprint, id) && j->link != NULL &&
		    !j->began_to_run)
			return j;
	}
	return NULL;
}

/*
 * Fails the copies of a condemned request that have no answer yet: they may be
 * queued at a server and have not ended it so far. A copy whose answer has
 * begun goes on, because a complete answer clears the request.
 */
static void
poison_op_condemned(struct poisons *p, struct poison_id id, msec now)
{
	struct entry *e = p->arg;
	char fingerprint[POISON_ID_SIZE];
	struct job *j;

	poison_id_print(id, fingerprint);
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_CONDEMNED,
	    LOG_TEXT(LOG_KEY_SAME, fingerprint),
	    LOG_NUMBER(LOG_KEY_ENDS, poison_count_ends(p, id)));
	while ((j = poison_find_unanswered(e, id)) != NULL) {
		j->may_have_run |= j->link->sent;
		job_fail(j, now, JOB_POISON);
	}
}

static const struct poison_ops entry_poison_ops = { poison_op_send,
	poison_op_decided, poison_op_condemned };

/* ---- live nodes and timer ---- */

void
entry_poison_set_nodes(struct entry *e, msec now)
{
	struct poison_node *nodes;
	struct member *m;
	unsigned int n = 0;

	nodes = g_new0(struct poison_node, e->live_nodes + 1);
	nodes[n++] = (struct poison_node){ e->members.self.id, e->incarnation,
		e->phase == ENTRY_SERVING };
	RB_FOREACH (m, member_tree, &e->members.tree) {
		if (m->state == MEMBER_DEAD || n > e->live_nodes)
			continue;
		nodes[n++] = (struct poison_node){ m->id, m->incarnation,
			m->state == MEMBER_ALIVE && !m->leaving };
	}
	poisons_set_nodes(&e->poison.core, now, nodes, n);
	g_free(nodes);
}

static void
poison_timer(struct loop_timer *t, msec now)
{
	struct entry *e = t->arg;

	loop_timer_set(&e->loop, t, poisons_tick(&e->poison.core, now));
}

void
entry_poison_reschedule(struct entry *e, msec now)
{
	poison_timer(&e->poison.timer, now);
}

void
entry_poison_init(struct entry *e)
{
	struct entry_poison *x = &e->poison;

	*x = (struct entry_poison){ 0 };
	TAILQ_INIT(&x->checks);
	poisons_init(
	    &x->core, &entry_poison_ops, name_hash(e->settings->node), e->rand);
	x->core.arg = e;
	loop_timer_init(&x->timer, poison_timer, e);
}

void
entry_poison_finish(struct entry *e)
{
	struct server_check *c, *next;

	TAILQ_FOREACH_SAFE (c, &e->poison.checks, entry, next)
		check_free(c);
	loop_timer_stop(&e->loop, &e->poison.timer);
	poisons_finish(&e->poison.core);
}

/* ---- metrics and dump ---- */

static void
metric(GString *s, const char *name, const char *type, uint64_t n)
{
	g_string_append_printf(s,
	    "# TYPE savory_entry_%s %s\nsavory_entry_%s %" PRIu64 "\n", name,
	    type, name, n);
}

void
entry_poison_metrics(const struct entry *e, GString *s)
{
	const struct entry_poison *x = &e->poison;
	const struct poison_counters *c = &x->core.counters;

	metric(s, "poison_records", "gauge", x->core.count);
	metric(
	    s, "poison_servers_checked_total", "counter", x->servers_checked);
	metric(s, "poison_servers_ended_total", "counter", x->servers_ended);
	metric(s, "poison_suspicions_total", "counter", c->ends);
	metric(s, "poison_cleared_total", "counter", c->cleared);
	metric(s, "poison_condemned_total", "counter", c->condemned);
	metric(s, "poison_refused_total", "counter", c->refused);
	metric(s, "poison_held_total", "counter", c->held);
	metric(s, "poison_asked_total", "counter", c->asked);
	metric(s, "poison_alone_total", "counter", c->decided_alone);
	metric(s, "poison_trials_total", "counter", c->trials);
	metric(s, "poison_told_total", "counter", c->records_sent);
	metric(s, "poison_dropped_total", "counter", c->dropped);
}

void
entry_poison_dump(const struct entry *e, GString *s, msec now)
{
	poisons_dump(&e->poison.core, s, now);
}
