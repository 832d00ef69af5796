/*
 * Rate limits that backend servers report in the headers of their answers, and
 * whether they are brittle, as received by this node; server-rate.h and
 * server-room.h apply them.
 */

#define LOG_PART "rate"
#include "entry.h"

#define RATE_TEXT_SIZE 24
/* Interval of reports of a brittle server to its coordinator. */
#define ROOM_REPORT_MS 500

static void
rate_log(struct entry *e, const struct server *v, const char *rate,
    uint64_t sent, msec now)
{
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_RATE,
	    LOG_TEXT(LOG_KEY_SERVER, v->name), LOG_TEXT(LOG_KEY_RATE, rate),
	    LOG_NUMBER(LOG_KEY_SENT, (int64_t)sent));
}

static void
rate_log_value(struct entry *e, const struct server *v, uint64_t sent, msec now)
{
	char text[RATE_TEXT_SIZE] = "none";

	if (v->rate.per_s > 0)
		g_snprintf(text, sizeof text, "%.3f", v->rate.per_s);
	rate_log(e, v, text, sent, now);
}

/* Log an unreadable rate once for each process of the server. */
static void
rate_log_unreadable(struct entry *e, struct server *v, msec now)
{
	e->counters.rates_unreadable++;
	if (!v->rate.unreadable)
		rate_log(e, v, "unreadable", v->rate.sent, now);
	v->rate.unreadable = true;
}

static void
entry_rate_read(
    struct job *j, struct server *v, const struct http_head *h, msec now)
{
	struct entry *e = j->owner;
	uint64_t sent = v->rate.sent;
	struct wire_answer a;

	e->wire->answer(h, j->request.id, &a);
	/*
	 * Ignore answers of another server (421), to another request, or
	 * neither signed nor marked as not executed.
	 */
	if (h->status == 421 || a.other || (!a.is_signed && !a.not_executed))
		return;
	if (a.rate == WIRE_RATE_UNREADABLE) {
		rate_log_unreadable(e, v, now);
		return;
	}
	if (!server_rate_update(&v->rate, now, now, a.per_s))
		return;
	e->counters.rates++;
	rate_log_value(e, v, sent, now);
	place_rate_received(&e->place, now, v);
}

void
entry_rest_read(struct link *k, const struct http_head *h, msec now)
{
	struct entry *e = k->owner;
	struct server *v = k->server;
	struct wire_answer a;

	e->wire->answer(h, k->job->request.id, &a);
	if (h->status != 503 || !a.not_executed || a.retry_after == 0 ||
	    k->starts != v->starts || a.other)
		return;
	/* Refusals of one moment come in a row. */
	if (now >= v->rest_until) {
		e->counters.rests++;
		entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_REST,
		    LOG_TEXT(LOG_KEY_SERVER, v->name),
		    LOG_NUMBER(LOG_KEY_MS, a.retry_after),
		    LOG_NUMBER(LOG_KEY_RUNNING, v->own.running));
	}
	v->rest_until = MAX(v->rest_until, now + a.retry_after);
	link_close_stale(e, v);
}

static void
entry_leaving_read(
    struct job *j, struct server *v, const struct http_head *h, msec now)
{
	struct entry *e = j->owner;
	struct wire_answer a;

	e->wire->answer(h, j->request.id, &a);
	if (!a.leaving || h->status == 421 || a.other || v->says_leaving)
		return;
	entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_SERVER_LEAVING,
	    LOG_TEXT(LOG_KEY_SERVER, v->name),
	    LOG_NUMBER(LOG_KEY_RUNNING, v->own.running));
	e->counters.servers_leaving++;
	v->says_leaving = true;
	server_set_leaving(v, now);
	link_close_stale(e, v);
	entry_move_server_changed(e, v, now);
}

void
entry_room_read(struct link *k, const struct http_head *h, msec now)
{
	struct entry *e = k->owner;
	struct server *v = k->server;
	struct wire_answer a;

	e->wire->answer(h, k->job->request.id, &a);
	if (!a.brittle || h->status == 421 || k->starts != v->starts ||
	    a.other || (!a.is_signed && !a.not_executed))
		return;
	if (!server_is_brittle(&v->room, now))
		entry_log(&e->log, now, ENTRY_LOG_NEEDED, LOG_EVENT_BRITTLE,
		    LOG_TEXT(LOG_KEY_SERVER, v->name),
		    LOG_NUMBER(LOG_KEY_RUNNING, v->own.running));
	server_room_update(&v->room, now);
	if (now - v->room.reported < ROOM_REPORT_MS)
		return;
	v->room.reported = now;
	place_mark_brittle(&e->place, now, &k->job->place);
}

void
entry_answer_read(
    struct job *j, struct server *v, const struct http_head *h, msec now)
{
	entry_rate_read(j, v, h, now);
	entry_leaving_read(j, v, h, now);
}

void
entry_rate_log_received(struct place *p, struct server *v, msec now)
{
	rate_log_value(p->arg, v, 0, now);
}
