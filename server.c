/*
 * The table of backend servers; see server.h.
 */

#define LOG_PART "server"
#include "server.h"

#include <math.h>
#include <string.h>

#include <xxhash.h>

/*
 * A server that failed this many times in a row is avoided for a time that
 * doubles with each further failure. On some services one request in seven
 * fails normally, so a single failure is not enough.
 */
#define SERVER_FAILURES_MAX 3
#define SERVER_REST_MS 500
#define SERVER_REST_MAX_MS (4 * MSEC_SECOND)
/* Entries of a process that has been replaced are read for so long. */
#define SERVER_REPLACED_MS (10 * MSEC_SECOND)
/* Decay time of the counts in struct server_reach. */
#define REACH_DECAY_MS 1000
/*
 * The node has lost its network access if connections to this many servers
 * timed out, and timeouts outnumber successes by this factor: if only some
 * servers crash together, others still respond.
 */
#define REACH_SERVERS 3
#define REACH_FACTOR 3
/*
 * Minimum number of timeouts before the node concludes that it has lost its
 * network access: with fewer, a node with few requests may have chosen only
 * crashed servers.
 */
#define REACH_MISSES_MIN 2

/* A longer time between two ticks is a pause of this process. */
#define SERVER_TICK_MAX_MS 200

/* Distance of the cache ids of a server's processes; odd, so none repeats. */
#define CACHE_ID_STEP 0x9e3779b97f4a7c15ULL

RB_GENERATE(server_tree, server, entry, server_compare)

int
server_compare(struct server *a, struct server *b)
{
	return a->id < b->id ? -1 : a->id > b->id;
}

void
servers_init(struct servers *s, const struct server_ops *ops)
{
	*s = (struct servers){ .ops = ops };
	RB_INIT(&s->tree);
}

static void
servers_remove(struct servers *s, struct server *v)
{
	s->ops->removed(s, v);
	RB_REMOVE(server_tree, &s->tree, v);
	s->count--;
	g_free(v);
}

void
servers_finish(struct servers *s)
{
	struct server *v;

	while ((v = RB_MIN(server_tree, &s->tree)) != NULL)
		servers_remove(s, v);
}

struct server *
servers_find(struct servers *s, name_id id)
{
	struct server find = { .id = id };

	return RB_FIND(server_tree, &s->tree, &find);
}

/* Clears measurements that belong to the server's previous process. */
static void
server_reset(struct server *v)
{
	v->failures = 0;
	v->resting_until = 0;
	v->down = false;
	v->first_ms = 0;
	v->speed = (struct server_speed){ 0 };
	v->pace = (struct server_pace){ 0 };
	v->space.used = v->space.used_before = 0;
	v->fetches_until = 0;
	v->received = 0;
	server_rate_reset(&v->rate);
	v->room = (struct server_room){ 0 };
	v->sign = (struct server_sign){ 0 };
	v->says_leaving = false;
	v->leaving_since = v->leaves_at = 0;
	v->rest_until = 0;
	memset(v->begun_sent, 0, sizeof v->begun_sent);
}

uint64_t
server_process_id(const struct server *v)
{
	uint64_t words[3] = { v->id, (uint64_t)v->born,
		((uint64_t)v->address << 16) | v->port };

	return XXH64(words, sizeof words, 8);
}

struct server *
servers_find_process(struct servers *s, uint64_t process)
{
	struct server *v;

	RB_FOREACH (v, server_tree, &s->tree) {
		if (server_process_id(v) == process)
			return v;
	}
	return NULL;
}

uint64_t
server_cache_id(const struct server *v)
{
	return v->id + v->starts * CACHE_ID_STEP;
}

static void
server_set_software(struct server *v, const char *software)
{
	name_fit(
	    v->software, sizeof v->software, software != NULL ? software : "");
	v->software_id = *v->software != '\0' ? name_hash(v->software) : 0;
}

/*
 * A process's software does not change, so another version means another
 * process. An entry without one tells nothing new.
 */
static bool
server_software_differs(const struct server *v, const char *software)
{
	char fitted[SERVER_SOFTWARE_SIZE];

	if (software == NULL || *software == '\0' || v->software_id == 0)
		return false;
	name_fit(fitted, sizeof fitted, software);
	return strcmp(fitted, v->software) != 0;
}

static struct server *
servers_add(
    struct servers *s, msec now, const struct server_entry *e, name_id id)
{
	struct server *v = g_new0(struct server, 1);

	v->id = id;
	g_strlcpy(v->name, e->name, sizeof v->name);
	server_set_rank(v);
	server_rate_reset(&v->rate);
	v->born = e->born;
	server_set_software(v, e->software);
	v->new_at = s->complete ? now : 0;
	v->address = e->address;
	v->port = e->port;
	RB_INSERT(server_tree, &s->tree, v);
	s->count++;
	log_info_of(LOG_NODE, v->name, "%s of %s added", v->name, e->service);
	return v;
}

void
servers_keep_versions(struct servers *s, msec span)
{
	s->versions.kept = span;
}

bool
servers_know_versions(const struct servers *s, msec now, name_id service)
{
	if (!s->complete)
		return false;
	if (server_versions_are_known(&s->versions, service))
		return true;
	return s->listed_since != 0 &&
	       now - s->listed_since >= s->versions.kept;
}

enum version_view
servers_version_view(
    const struct servers *s, msec now, name_id service, msec confirmed)
{
	if (server_versions_differ(&s->versions, now, service))
		return VERSION_VIEW_SEVERAL;
	if (s->complete && server_versions_untold(&s->versions, service))
		return VERSION_VIEW_ONE;
	if (confirmed != MSEC_NEVER && now - confirmed <= SERVER_LIST_AGE_MS &&
	    servers_know_versions(s, now, service))
		return VERSION_VIEW_ONE;
	return VERSION_VIEW_UNSURE;
}

static void
server_note_version(struct servers *s, const struct server *v, msec now)
{
	if (v->state != SERVER_GONE)
		server_versions_note(
		    &s->versions, now, v->service, v->software_id, s->complete);
}

/* Its entry is back: it had only expired, unless the process says otherwise. */
static void
server_set_staying(struct server *v)
{
	v->leaves_at = 0;
	if (!v->says_leaving)
		v->leaving_since = 0;
}

/* The entry of the previous process, from an older list. */
static bool
server_entry_is_old(
    const struct servers *s, const struct server *v, msec now, int64_t born)
{
	if (born == 0 || born >= v->born)
		return false;
	return now < s->gone_kept_until ||
	       (v->replaced_at != 0 &&
		   now - v->replaced_at < SERVER_REPLACED_MS);
}

void
servers_replaced(struct servers *s, msec now, struct server *v, int64_t born)
{
	log_info_of(LOG_NODE, v->name, "%s is another process", v->name);
	server_reset(v);
	server_set_software(v, NULL);
	/* The process before may have been leaving. */
	if (v->state == SERVER_DRAINING)
		v->state = SERVER_READY;
	v->starts++;
	v->new_at = now;
	v->born = born;
	v->replaced_at = now;
	s->ops->changed(s, v);
}

/*
 * The version of a process that replaced another is told: what counted as a
 * version of its own meanwhile was none, unless another server tells none.
 */
static void
servers_drop_untold(struct servers *s, name_id service)
{
	struct server *v;

	RB_FOREACH (v, server_tree, &s->tree) {
		if (v->service == service && v->software_id == 0 &&
		    v->state != SERVER_GONE)
			return;
	}
	server_versions_drop(&s->versions, service, 0);
}

void
server_doubt(struct server *v, msec now)
{
	v->doubted_at = now;
}

/* A server with the same address began later: this one's process has ended. */
static bool
servers_address_is_taken(struct servers *s, const struct server *v)
{
	struct server *w;

	RB_FOREACH (w, server_tree, &s->tree) {
		if (w != v && w->address == v->address && w->port == v->port &&
		    w->state != SERVER_GONE && v->born != 0 &&
		    w->born > v->born)
			return true;
	}
	return false;
}

/*
 * A server that is unknown here, in an older list than the one that named its
 * successor: requests to it would reach that one. It is used if it stays.
 */
static bool
servers_hold_back(
    struct servers *s, struct server *v, msec now, const struct server_entry *e)
{
	if (now >= s->gone_kept_until || !servers_address_is_taken(s, v))
		return false;
	v->state = SERVER_GONE;
	v->gone_since = now;
	v->listed_again = !e->draining;
	return true;
}

static void
server_set_gone(struct servers *s, struct server *v, msec now)
{
	if (v->state == SERVER_GONE)
		return;
	log_info_of(LOG_NODE, v->name, "%s removed", v->name);
	v->missing = false;
	v->state = SERVER_GONE;
	server_set_leaving(v, now);
	v->gone_since = now;
	s->ops->changed(s, v);
}

/* The same if the older list was read first, and its successor comes now. */
static void
servers_hold_back_older(struct servers *s, const struct server *v, msec now)
{
	struct server *w;

	if (now >= s->gone_kept_until)
		return;
	RB_FOREACH (w, server_tree, &s->tree) {
		if (w == v || w->address != v->address || w->port != v->port ||
		    w->born == 0 || w->born >= v->born ||
		    w->state == SERVER_GONE)
			continue;
		w->listed_again = w->state == SERVER_READY && !w->missing;
		server_set_gone(s, w, now);
	}
}

void
servers_list(struct servers *s, msec now, const struct server_entry *e)
{
	name_id id = name_hash(e->name);
	struct server *v = servers_find(s, id);
	enum server_state state = e->draining ? SERVER_DRAINING : SERVER_READY;
	bool anew, untold, unknown = v == NULL;

	if (strlen(e->name) >= SERVER_NAME_SIZE)
		return;
	if (s->listed_since == 0)
		s->listed_since = now;
	if (unknown)
		v = servers_add(s, now, e, id);
	if (server_entry_is_old(s, v, now, e->born))
		return;
	anew = (e->born != 0 && e->born != v->born) ||
	       e->address != v->address || e->port != v->port ||
	       server_software_differs(v, e->software);
	v->service = name_hash(e->service);
	name_fit(v->service_name, sizeof v->service_name, e->service);
	name_fit(v->domain, sizeof v->domain, e->domain);
	v->address = e->address;
	v->port = e->port;
	v->slots = e->slots;
	v->reclaimable = e->reclaimable;
	v->missing = false;
	if (unknown && servers_hold_back(s, v, now, e))
		return;
	untold = v->replaced_at != 0 && v->software_id == 0;
	if (anew || v->software_id == 0)
		server_set_software(v, e->software);
	if (untold && v->software_id != 0)
		servers_drop_untold(s, v->service);
	server_note_version(s, v, now);
	if (anew) {
		log_info_of(LOG_NODE, v->name, "%s restarted", v->name);
		server_reset(v);
		v->starts++;
		v->new_at = now;
		v->born = e->born;
	}
	if (v->state == SERVER_GONE && !anew && now < s->gone_kept_until) {
		v->listed_again = !e->draining;
		return;
	}
	/* A process never leaves the draining state. */
	if (v->state == SERVER_DRAINING && !anew)
		state = SERVER_DRAINING;
	if (state == SERVER_DRAINING)
		server_set_leaving(v, now);
	else
		server_set_staying(v);
	/* An entry may be read again later, with the same span. */
	if (e->draining && e->leaves > 0 &&
	    (v->leaves_at == 0 || now + e->leaves < v->leaves_at))
		v->leaves_at = now + e->leaves;
	if (state == v->state && !anew) {
		if (unknown)
			servers_hold_back_older(s, v, now);
		return;
	}
	if (state != v->state)
		log_info_of(LOG_NODE, v->name, "%s is %s", v->name,
		    state == SERVER_READY ? "ready" : "draining");
	v->state = state;
	s->ops->changed(s, v);
	if (unknown)
		servers_hold_back_older(s, v, now);
}

void
servers_set_complete(struct servers *s)
{
	s->complete = true;
}

static bool
server_is_kept(const struct servers *s, const struct server *v, msec now)
{
	if (now < s->unlisted_kept_until)
		return true;
	if (v->missing && v->missing_for >= SERVER_MISSING_MS)
		return false;
	return s->outage_is_on || now < s->outage_hold_end;
}

void
servers_unlist(struct servers *s, msec now, const char *name)
{
	struct server *v = servers_find(s, name_hash(name));

	if (v == NULL)
		return;
	v->listed_again = false;
	if (v->state == SERVER_GONE)
		return;
	if (!server_is_kept(s, v, now)) {
		server_set_gone(s, v, now);
		return;
	}
	if (v->missing)
		return;
	log_info_of(LOG_NODE, v->name, "%s not listed, kept for now", v->name);
	v->missing = true;
	v->missing_since = now;
	v->missing_for = 0;
	s->nmissing++;
	if (s->ops->kept != NULL)
		s->ops->kept(s, v);
}

void
servers_keep_unlisted(struct servers *s, msec until)
{
	s->unlisted_kept_until = MAX(s->unlisted_kept_until, until);
}

void
servers_set_outage(struct servers *s, bool is_on, msec hold_end)
{
	s->outage_is_on = is_on;
	s->outage_hold_end = hold_end;
}

bool
servers_list_is_settled(const struct servers *s, msec now)
{
	return !s->outage_is_on &&
	       now >= MAX(s->unlisted_kept_until, s->outage_hold_end);
}

void
servers_keep_gone(struct servers *s, msec until)
{
	s->gone_kept_until = MAX(s->gone_kept_until, until);
}

void
servers_set_retention(struct servers *s, msec span)
{
	s->retention = span;
}

enum server_state
server_listed_as(const struct server *v)
{
	if (v->listed_again)
		return SERVER_READY;
	return v->missing ? SERVER_GONE : v->state;
}

uint64_t
server_mark(const struct server *v)
{
	uint64_t words[7] = { v->id, v->service,
		((uint64_t)v->address << 16) | v->port, server_listed_as(v),
		(uint64_t)v->born, v->slots, v->software_id };

	if (server_listed_as(v) == SERVER_GONE)
		return 0;
	return XXH64(words, sizeof words, 6);
}

uint64_t
servers_mark(struct servers *s)
{
	uint64_t mark = 0;
	struct server *v;

	RB_FOREACH (v, server_tree, &s->tree)
		mark += server_mark(v);
	return mark;
}

/* The server is still listed after the period set by servers_keep_gone(). */
static void
server_set_ready(struct servers *s, struct server *v)
{
	log_info_of(LOG_NODE, v->name, "%s added again", v->name);
	v->listed_again = false;
	server_set_staying(v);
	v->state = SERVER_READY;
	s->ops->changed(s, v);
}

void
servers_tick(struct servers *s, msec now)
{
	msec span = CLAMP(now - s->ticked, 0, SERVER_TICK_MAX_MS);
	struct server *v, *next;

	s->ticked = now;
	s->nmissing = 0;
	RB_FOREACH_SAFE (v, server_tree, &s->tree, next) {
		server_note_version(s, v, now);
		if (v->missing && !s->outage_is_on)
			v->missing_for += span;
		if (v->missing && !server_is_kept(s, v, now))
			server_set_gone(s, v, now);
		s->nmissing += v->missing;
		if (v->listed_again && now >= s->gone_kept_until)
			server_set_ready(s, v);
		if (v->state == SERVER_GONE && v->links == 0 &&
		    !v->listed_again && now - v->gone_since >= s->retention)
			servers_remove(s, v);
	}
}

void
server_record_result(struct server *v, msec now, enum server_result how)
{
	unsigned int n;

	if (how != SERVER_NO_RESULT)
		v->down = how == SERVER_DOWN;
	switch (how) {
	case SERVER_ANSWERED:
		v->failures = 0;
		v->resting_until = 0;
		if (now >= v->rest_until)
			v->rest_until = 0;
		break;
	case SERVER_FAILED:
		n = ++v->failures;
		if (n < SERVER_FAILURES_MAX)
			break;
		n = MIN(n - SERVER_FAILURES_MAX, 8);
		v->resting_until =
		    now + MIN(SERVER_REST_MS << n, SERVER_REST_MAX_MS);
		log_debug("%s failed %u times, avoided", v->name, v->failures);
		break;
	case SERVER_DOWN:
		/* Nothing listens at the address: one failure is enough. */
		v->failures = MAX(v->failures + 1, SERVER_FAILURES_MAX);
		n = MIN(v->failures - SERVER_FAILURES_MAX, 8);
		v->resting_until =
		    now + MIN(SERVER_REST_MS << n, SERVER_REST_MAX_MS);
		break;
	case SERVER_FULL:
	case SERVER_NO_RESULT:
		break;
	}
}

void
servers_forget_failures(struct servers *s)
{
	struct server *v;

	RB_FOREACH (v, server_tree, &s->tree) {
		v->failures = 0;
		v->resting_until = 0;
		v->down = false;
	}
}

void
server_response_received(
    struct server *v, msec now, unsigned int rank, msec sent)
{
	rank = MIN(rank, SERVER_RANKS - 1);
	v->received = now;
	v->begun_sent[rank] = MAX(v->begun_sent[rank], sent);
}

bool
server_lost_request(const struct server *v, msec now, unsigned int rank,
    msec sent, msec silence)
{
	unsigned int i;

	for (i = MIN(rank, SERVER_RANKS - 1); i < SERVER_RANKS; i++) {
		if (v->begun_sent[i] > sent)
			return true;
	}
	return now - MAX(v->received, sent) >= silence;
}

/* ---- network access of this node ---- */

static void
reach_decay(struct server_reach *r, msec now)
{
	double left = exp(-(double)(now - r->at) / REACH_DECAY_MS);

	r->misses *= left;
	r->answers *= left;
	r->at = now;
}

/*
 * Number of servers with connection timeouts. A server is avoided for up to
 * SERVER_REST_MAX_MS after them, so there is no newer result until then.
 */
static unsigned int
reach_count_missed(const struct server_reach *r, msec now)
{
	unsigned int i, count = 0;

	for (i = 0; i < r->nmissed; i++)
		count += now - r->missed_at[i] < SERVER_REST_MAX_MS;
	return count;
}

/* Index of the server in the list, or a free one, or that of the oldest. */
static unsigned int
reach_index(struct server_reach *r, name_id id)
{
	unsigned int i, oldest = 0;

	for (i = 0; i < r->nmissed; i++) {
		if (r->missed[i] == id)
			return i;
		if (r->missed_at[i] < r->missed_at[oldest])
			oldest = i;
	}
	return r->nmissed < SERVER_MISSED_MAX ? r->nmissed++ : oldest;
}

void
servers_reached(struct servers *s, msec now)
{
	reach_decay(&s->reach, now);
	s->reach.answers++;
}

void
servers_connect_timed_out(struct servers *s, msec now, const struct server *v)
{
	struct server_reach *r = &s->reach;
	unsigned int at = reach_index(r, v->id);

	reach_decay(r, now);
	r->misses++;
	r->missed[at] = v->id;
	r->missed_at[at] = now;
}

bool
servers_in_reach(struct servers *s, msec now)
{
	reach_decay(&s->reach, now);
	return reach_count_missed(&s->reach, now) < REACH_SERVERS ||
	       s->reach.misses < REACH_MISSES_MIN ||
	       s->reach.misses <= REACH_FACTOR * s->reach.answers;
}

void
server_set_leaving(struct server *v, msec now)
{
	if (v->leaving_since == 0)
		v->leaving_since = now;
}

msec
server_leaves_at(const struct server *v, msec stay)
{
	if (v->leaving_since == 0)
		return MSEC_NEVER;
	if (v->leaves_at != 0)
		return v->leaves_at;
	return stay > 0 ? v->leaving_since + stay : MSEC_NEVER;
}

bool
server_takes_work(const struct server *v, msec now)
{
	return v->state == SERVER_READY && !v->says_leaving &&
	       now >= v->rest_until;
}
