/*
 * Probes and log of the path to the backend servers; see entry-reach.h.
 *
 * A probe is a question that a server answers at once, without a slot, on a
 * connection that is closed as soon as its answer begins.
 */

#define LOG_PART "reach"
#include "entry.h"

#include <sys/socket.h>

#include <errno.h>
#include <inttypes.h>
#include <unistd.h>

struct reach_probe {
	struct loop_io io;
	TAILQ_ENTRY(reach_probe) entry;
	struct entry *owner;
	name_id server;
	struct loop_timer timer;
	bool asked; /* connected, and the question was sent */
};

static unsigned int
reach_count_servers(struct entry *e)
{
	struct server *v;
	unsigned int n = 0;

	RB_FOREACH (v, server_tree, &e->servers.tree)
		n += v->state == SERVER_READY;
	return n;
}

static void
reach_arm_timer(struct entry *e)
{
	loop_timer_set(&e->loop, &e->reach.timer, reach_next(&e->reach.core));
}

/* ---- probes ---- */

static void
probe_end(struct reach_probe *p, enum reach_probe_result result, msec now)
{
	struct entry *e = p->owner;
	name_id server = p->server;

	loop_timer_stop(&e->loop, &p->timer);
	loop_close(&e->loop, &p->io);
	TAILQ_REMOVE(&e->reach.probes, p, entry);
	g_free(p);
	reach_probe_ended(
	    &e->reach.core, now, server, result, reach_count_servers(e));
	reach_arm_timer(e);
}

/* Its few bytes fit into the socket's buffer. */
static bool
probe_ask(struct reach_probe *p)
{
	struct buffer out = { 0 };
	size_t length;
	ssize_t n;

	p->owner->wire->probe(&out, false);
	length = buffer_length(&out);
	n = send(p->io.fd, buffer_bytes(&out), length, MSG_NOSIGNAL);
	buffer_finish(&out);
	p->asked = n == (ssize_t)length;
	return p->asked && loop_watch(&p->owner->loop, &p->io, EPOLLIN);
}

static void
probe_ready(struct loop_io *io, uint32_t events)
{
	struct reach_probe *p = (struct reach_probe *)io;
	msec now = p->owner->loop.now;
	int error = 0;
	socklen_t len = sizeof error;
	char byte;

	if (p->asked) {
		probe_end(p,
		    recv(io->fd, &byte, 1, 0) == 1 ? REACH_PROBE_ANSWERED
						   : REACH_PROBE_UNANSWERED,
		    now);
		return;
	}
	if (getsockopt(io->fd, SOL_SOCKET, SO_ERROR, &error, &len) == -1)
		error = errno;
	if (error == ETIMEDOUT)
		probe_end(p, REACH_PROBE_FAILED, now);
	else if (error != 0)
		probe_end(p, REACH_PROBE_REFUSED, now);
	else if (!probe_ask(p))
		probe_end(p, REACH_PROBE_UNANSWERED, now);
}

static void
probe_timed_out(struct loop_timer *t, msec now)
{
	struct reach_probe *p = t->arg;

	probe_end(
	    p, p->asked ? REACH_PROBE_UNANSWERED : REACH_PROBE_FAILED, now);
}

static void
probe_start(struct entry *e, const struct server *v, msec now)
{
	struct reach_probe *p = g_new0(struct reach_probe, 1);

	p->owner = e;
	p->server = v->id;
	p->io = (struct loop_io){ probe_ready, -1, 0 };
	loop_timer_init(&p->timer, probe_timed_out, p);
	TAILQ_INSERT_TAIL(&e->reach.probes, p, entry);
	reach_probe_started(&e->reach.core, now);
	e->counters.connects++;
	p->io.fd = link_open_socket(e, v->address, v->port);
	if (p->io.fd == -1 || !loop_watch(&e->loop, &p->io, EPOLLOUT)) {
		probe_end(p,
		    errno == ECONNREFUSED ? REACH_PROBE_REFUSED
					  : REACH_PROBE_FAILED,
		    now);
		return;
	}
	loop_timer_set(&e->loop, &p->timer, now + REACH_PROBE_TIMEOUT_MS);
}

/* Guards against a round that asks one server twice, and decides nothing. */
static bool
reach_is_probing(const struct entry *e, name_id server)
{
	const struct reach_probe *p;

	TAILQ_FOREACH (p, &e->reach.probes, entry) {
		if (p->server == server)
			return true;
	}
	return false;
}

/* The next server by id that may be probed; NULL: none. */
static struct server *
reach_next_server(struct entry *e, bool avoided_too, msec now)
{
	struct entry_reach *x = &e->reach;
	struct server find = { .id = x->last_probed + 1 }, *v;
	unsigned int i;

	v = RB_NFIND(server_tree, &e->servers.tree, &find);
	for (i = 0; i < e->servers.count; i++) {
		if (v == NULL)
			v = RB_MIN(server_tree, &e->servers.tree);
		if (v->state == SERVER_READY &&
		    (avoided_too || (!reach_avoids(&x->core, now, v->id) &&
					!reach_is_probing(e, v->id))))
			return v;
		v = RB_NEXT(server_tree, &e->servers.tree, v);
	}
	return NULL;
}

/* The server for the next probe; NULL: none may be probed. */
static struct server *
reach_choose_server(struct entry *e, msec now)
{
	name_id witness = reach_next_witness(&e->reach.core, now);
	struct server *v =
	    witness != 0 ? servers_find(&e->servers, witness) : NULL;

	if (v != NULL && v->state == SERVER_READY &&
	    !reach_is_probing(e, v->id))
		return v;
	if ((v = reach_next_server(e, false, now)) == NULL)
		v = reach_next_server(e, true, now);
	if (v != NULL)
		e->reach.last_probed = v->id;
	return v;
}

static void
reach_timer(struct loop_timer *t, msec now)
{
	struct entry *e = t->arg;
	struct entry_reach *x = &e->reach;
	struct server *v;

	reach_check_silence(&x->core, now, reach_count_servers(e));
	while (reach_probes_due(&x->core, now) > 0) {
		if ((v = reach_choose_server(e, now)) == NULL) {
			reach_probe_none(&x->core);
			break;
		}
		probe_start(e, v, now);
	}
	reach_arm_timer(e);
}

/* ---- results of requests ---- */

void
entry_reach_sent(struct entry *e, msec now)
{
	reach_sent(&e->reach.core, now);
	reach_arm_timer(e);
}

void
entry_reach_heard(struct entry *e, const struct server *v, bool first, msec now)
{
	if (first)
		reach_answered(&e->reach.core, now, v->id);
	else
		reach_heard(&e->reach.core, now);
}

void
entry_reach_failed(struct entry *e, const struct server *v,
    enum reach_failure_kind kind, msec now)
{
	e->reach.failed[kind]++;
	reach_failed(&e->reach.core, now, v->id, reach_count_servers(e));
	reach_arm_timer(e);
}

void
entry_reach_suspect(struct entry *e, msec now)
{
	reach_suspect(&e->reach.core, now, reach_count_servers(e));
	reach_arm_timer(e);
}

void
entry_reach_hurry(struct entry *e, msec now)
{
	reach_hurry(&e->reach.core, now);
	reach_arm_timer(e);
}

/* ---- state ---- */

static void
reach_log_changed(struct reach *r, msec now)
{
	struct entry *e = r->arg;
	msec age = r->answered_at != MSEC_NEVER ? now - r->answered_at : -1;

	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_PATH,
	    LOG_TEXT(LOG_KEY_STATE, r->cut ? "cut" : "works"),
	    LOG_NUMBER(LOG_KEY_COUNT, reach_count_failed(r, now)),
	    LOG_NUMBER(LOG_KEY_MS, age));
}

/* The failures so far were of the path, not of the servers. */
static void
reach_changed(struct reach *r, msec now)
{
	struct entry *e = r->arg;

	reach_log_changed(r, now);
	servers_forget_failures(&e->servers);
	if (r->cut)
		entry_handoff_path_cut(e, now);
}

static const struct reach_ops entry_reach_ops = { reach_changed };

void
entry_reach_init(struct entry *e)
{
	struct entry_reach *x = &e->reach;

	*x = (struct entry_reach){ 0 };
	reach_init(&x->core, &entry_reach_ops);
	x->core.arg = e;
	TAILQ_INIT(&x->probes);
	loop_timer_init(&x->timer, reach_timer, e);
}

void
entry_reach_finish(struct entry *e)
{
	struct reach_probe *p;

	loop_timer_stop(&e->loop, &e->reach.timer);
	while ((p = TAILQ_FIRST(&e->reach.probes)) != NULL) {
		loop_timer_stop(&e->loop, &p->timer);
		loop_close(&e->loop, &p->io);
		TAILQ_REMOVE(&e->reach.probes, p, entry);
		g_free(p);
	}
}

void
entry_reach_metrics(const struct entry *e, GString *s)
{
	static const char *const kinds[REACH_FAILED_KINDS] = { "refused",
		"timeout", "broken" };
	const struct entry_reach *x = &e->reach;
	const struct reach_counters *c = &x->core.counters;
	unsigned int i;

	g_string_append(s,
	    "# HELP savory_entry_connections_failed_total Connections to "
	    "servers that failed, by how.\n"
	    "# TYPE savory_entry_connections_failed_total counter\n");
	for (i = 0; i < REACH_FAILED_KINDS; i++)
		g_string_append_printf(s,
		    "savory_entry_connections_failed_total{how=\"%s\"} %" PRIu64
		    "\n",
		    kinds[i], x->failed[i]);
	g_string_append_printf(s,
	    "# HELP savory_entry_path_cut No server answers on new "
	    "connections of this node.\n"
	    "# TYPE savory_entry_path_cut gauge\n"
	    "savory_entry_path_cut %d\n"
	    "# HELP savory_entry_path_cuts_total Times that the path to all "
	    "servers was cut.\n"
	    "# TYPE savory_entry_path_cuts_total counter\n"
	    "savory_entry_path_cuts_total %" PRIu64 "\n"
	    "# HELP savory_entry_path_probes_total Questions to servers that "
	    "check the path.\n"
	    "# TYPE savory_entry_path_probes_total counter\n"
	    "savory_entry_path_probes_total %" PRIu64 "\n"
	    "# HELP savory_entry_path_probes_failed_total Those that failed.\n"
	    "# TYPE savory_entry_path_probes_failed_total counter\n"
	    "savory_entry_path_probes_failed_total %" PRIu64 "\n"
	    "# HELP savory_entry_path_silences_total Rounds of probes as no "
	    "server sent anything.\n"
	    "# TYPE savory_entry_path_silences_total counter\n"
	    "savory_entry_path_silences_total %" PRIu64 "\n",
	    reach_is_cut(&x->core), c->cuts, c->probes, c->probes_failed,
	    c->silences);
}

void
entry_reach_dump(const struct entry *e, GString *s, msec now)
{
	const struct reach *r = &e->reach.core;

	g_string_append_printf(s,
	    "path to servers %s, %u failed since the last answer, probes "
	    "%" PRIu64 " failed %" PRIu64 "\n",
	    reach_is_cut(r) ? "cut" : "works", reach_count_failed(r, now),
	    r->counters.probes, r->counters.probes_failed);
}
