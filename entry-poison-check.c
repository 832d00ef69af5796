/*
 * Checks whether the process of a server has ended, and keeps the requests that
 * may have ended it; see entry-poison.h.
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
/* A server that lives for so long after an answer was not ended by it. */
#define POISON_OUTLIVE_MS 250
/*
 * For so long after the end of a process, servers are checked after answers
 * that end with their connections.
 */
#define POISON_ALERT_MS (30 * MSEC_SECOND)
/*
 * A part ends a server soon after the first byte of its answer. An answer that
 * has gone on for longer clears its request's parts as a complete one does.
 */
#define POISON_PART_BEGUN_MS 300

/*
 * Parts without a record that become suspects by the end of a process: of all
 * its requests together, and of one even if there are many of these.
 */
#define SUSPECT_PARTS_MAX 1024
#define SUSPECT_PARTS_LEAST 32

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
	GArray *requests;    /* struct poison_aboard: requests it was running */
	unsigned int nended; /* of them, since the process has ended */
};

static void check_connected(struct loop_io *, uint32_t);
static void check_state_timer(struct loop_timer *, msec);
static void check_wait_timer(struct loop_timer *, msec);
static void check_start_connection(struct server_check *, msec);

/* ---- requests that a process was running ---- */

static void
aboard_drop(struct poison_aboard *a)
{
	poison_parts_drop(&a->parts);
	*a = (struct poison_aboard){ 0 };
}

static GArray *
aboard_list_new(void)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct poison_aboard));

	g_array_set_clear_func(list, (GDestroyNotify)aboard_drop);
	return list;
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
		poison_server_checked(&e->poison.core, now, j->part_run.id);
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

/* Moves requests of an ended process to those that it was running. */
static void
check_take_aboard(struct server_check *c, struct poison_aboard *list,
    unsigned int n, msec since)
{
	unsigned int i;

	for (i = 0; i < n; i++) {
		if (list[i].process != c->process || list[i].at < since)
			continue;
		g_array_append_val(c->requests, list[i]);
		list[i] = (struct poison_aboard){ .at = list[i].at };
	}
}

/* `n`: requests that the process was running, as far as they are known. */
static void
suspect_add(struct entry *e, const struct poison_aboard *a, uint64_t process,
    unsigned int n, msec now)
{
	poison_server_ended(&e->poison.core, now, a->id, process);
	poison_parts_ended(&e->poison.core, now, &a->parts, process, a->at,
	    MAX(SUSPECT_PARTS_MAX / n, SUSPECT_PARTS_LEAST));
}

/*
 * Ends are first counted against the parts that have records, so that the new
 * records of some requests do not displace those of others.
 */
static void
suspects_add(struct server_check *c, const GArray *list, msec now)
{
	struct poisons *p = &c->owner->poison.core;
	const struct poison_aboard *a;
	guint i;

	for (i = 0; i < list->len; i++) {
		a = &g_array_index(list, struct poison_aboard, i);
		poison_parts_ended(p, now, &a->parts, c->process, a->at, 0);
	}
	for (i = 0; i < list->len; i++)
		suspect_add(c->owner,
		    &g_array_index(list, struct poison_aboard, i), c->process,
		    list->len, now);
	c->nended = list->len;
}

/* The process has ended: all requests that it was running are suspects. */
static void
check_process_ended(struct server_check *c, msec now)
{
	struct entry *e = c->owner;
	g_autoptr(GArray) requests = NULL;

	check_take_aboard(c, e->poison.abandoned, POISON_ABANDONED_MAX,
	    now - POISON_ABANDONED_MS);
	check_take_aboard(c, e->poison.answered, POISON_ANSWERED_MAX, 0);
	requests = c->requests;
	c->requests = aboard_list_new();
	c->state = CHECK_ENDED;
	e->poison.servers_ended++;
	e->poison.ended_at = now;
	loop_close(&e->loop, &c->io);
	loop_timer_set(&e->loop, &c->timer, now + CHECK_ENDED_KEEP_MS);
	if (requests->len > 0)
		entry_log(&e->log, now, ENTRY_LOG_NEEDED,
		    LOG_EVENT_SERVER_ENDED, LOG_TEXT(LOG_KEY_SERVER, c->name),
		    LOG_NUMBER(LOG_KEY_REQUESTS, requests->len),
		    LOG_NUMBER(LOG_KEY_MS, now - c->since));
	suspects_add(c, requests, now);
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
	c->requests = aboard_list_new();
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

/* Has the answer gone on for so long that its beginning did no harm? */
static bool
job_has_begun(const struct job *j, msec now)
{
	return j->attempt_began != 0 &&
	       now - j->attempt_began >= POISON_PART_BEGUN_MS;
}

/* What is recorded of a request if its server's process ends. */
static struct poison_aboard
aboard_of(const struct job *j, const struct server *v, msec now)
{
	struct poison_aboard a = {
		.id = j->fingerprint, .at = now, .process = server_process_id(v)
	};

	if (!job_has_begun(j, now))
		a.parts = poison_parts_share(&j->parts);
	return a;
}

/* The check of a server's process, begun if there is none. */
static struct server_check *
check_begin(struct entry *e, const struct server *v, msec now)
{
	struct server_check *c = check_find(e, server_process_id(v));

	if (c == NULL) {
		c = check_new(e, v, now);
		loop_timer_set(&e->loop, &c->timer, now + CHECK_FIRST_DELAY_MS);
		loop_timer_set(
		    &e->loop, &c->wait_timer, now + CHECK_REQUEST_WAIT_MS);
	}
	return c;
}

/*
 * Adds a request, which it takes over, to the check; false: the process is
 * known to have ended.
 */
static bool
check_add_request(struct server_check *c, struct poison_aboard *a, msec now)
{
	if (c->state != CHECK_ENDED) {
		g_array_append_vals(c->requests, a, 1);
		return true;
	}
	suspect_add(c->owner, a, c->process, ++c->nended, now);
	aboard_drop(a);
	return false;
}

bool
entry_poison_connection_broke(
    struct job *j, const struct server *v, bool waits, msec now)
{
	struct poison_aboard a;
	struct server_check *c;

	/* A server that is not ready ends as planned. */
	if (!server_takes_work(v, now) || poison_id_is_none(j->fingerprint))
		return false;
	a = aboard_of(j, v, now);
	c = check_begin(j->owner, v, now);
	if (!check_add_request(c, &a, now) || !waits || !c->wait_timer.set)
		return false;
	j->check = c;
	return true;
}

/* Its server has outlived the oldest answer. */
static void
answered_apply(struct entry *e, msec now)
{
	struct entry_poison *x = &e->poison;
	/* Its place may be taken meanwhile. */
	struct poison_aboard a = x->answered[x->first_answered];

	x->answered[x->first_answered] = (struct poison_aboard){ 0 };
	x->first_answered = (x->first_answered + 1) % POISON_ANSWERED_MAX;
	x->nanswered--;
	if (a.process != 0) {
		poison_answered(&x->core, now, a.id);
		poison_parts_answered(&x->core, now, &a.parts, a.at);
	}
	aboard_drop(&a);
}

static void
answered_timer(struct loop_timer *t, msec now)
{
	struct entry *e = t->arg;
	struct entry_poison *x = &e->poison;

	while (x->nanswered > 0 &&
	       now - x->answered[x->first_answered].at >= POISON_OUTLIVE_MS)
		answered_apply(e, now);
	if (x->nanswered > 0)
		loop_timer_set(&e->loop, t,
		    x->answered[x->first_answered].at + POISON_OUTLIVE_MS);
}

/* Takes the request over. */
static void
answered_add(struct entry *e, const struct poison_aboard *a, msec now)
{
	struct entry_poison *x = &e->poison;

	if (x->nanswered == POISON_ANSWERED_MAX)
		answered_apply(e, now);
	x->answered[(x->first_answered + x->nanswered++) %
		    POISON_ANSWERED_MAX] = *a;
	if (x->nanswered == 1)
		loop_timer_set(
		    &e->loop, &x->answered_timer, now + POISON_OUTLIVE_MS);
}

/* Has a server's process ended lately, under whatever? */
static bool
servers_end_now(const struct entry *e, msec now)
{
	return e->poison.servers_ended > 0 &&
	       now - e->poison.ended_at < POISON_ALERT_MS;
}

void
entry_poison_answered(
    struct job *j, const struct server *v, const struct http_head *h, msec now)
{
	struct entry *e = j->owner;
	struct poisons *p = &e->poison.core;
	struct poison_aboard a = { .at = now, .process = server_process_id(v) };

	/* A process that ends closes its connections in order as well. */
	if (h->until_close) {
		a.id = j->fingerprint;
		if (server_takes_work(v, now) && servers_end_now(e, now))
			check_begin(e, v, now);
	} else {
		poison_answered(p, now, j->fingerprint);
	}
	if (h->status < 300 && job_has_begun(j, now))
		poison_parts_answered(p, now, &j->parts, now);
	else if (h->status < 300)
		a.parts = poison_parts_share(&j->parts);
	if (h->until_close || a.parts.n > 0)
		answered_add(e, &a, now);
}

void
entry_poison_body_received(struct job *j, msec now)
{
	if (j->attempt_began == 0)
		j->attempt_began = now;
	if (j->parts_cleared || j->parts.n == 0 || !job_has_begun(j, now))
		return;
	j->parts_cleared = true;
	poison_parts_answered(&j->owner->poison.core, now, &j->parts, now);
}

void
entry_poison_request_abandoned(
    const struct job *j, const struct server *v, msec now)
{
	struct entry_poison *x = &j->owner->poison;

	if (!server_takes_work(v, now) || poison_id_is_none(j->fingerprint))
		return;
	aboard_drop(&x->abandoned[x->next_abandoned]);
	x->abandoned[x->next_abandoned] = aboard_of(j, v, now);
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

void
entry_poison_checks_init(struct entry *e)
{
	TAILQ_INIT(&e->poison.checks);
	loop_timer_init(&e->poison.answered_timer, answered_timer, e);
}

void
entry_poison_checks_finish(struct entry *e)
{
	struct entry_poison *x = &e->poison;
	struct server_check *c, *next;
	unsigned int i;

	TAILQ_FOREACH_SAFE (c, &x->checks, entry, next)
		check_free(c);
	for (i = 0; i < POISON_ABANDONED_MAX; i++)
		aboard_drop(&x->abandoned[i]);
	for (i = 0; i < POISON_ANSWERED_MAX; i++)
		aboard_drop(&x->answered[i]);
	loop_timer_stop(&e->loop, &x->answered_timer);
}
