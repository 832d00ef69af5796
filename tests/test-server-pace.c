/*
 * Tests the pauses that are learned of servers, and the choice of a server for
 * streams by them.
 */

#include "server.h"

#define SERVERS 8
#define FAST_SERVERS 2
#define FAST_SPEED 2.0
#define SLOW_SPEED 0.8
/* Of a server of speed 1. */
#define TOKENS_PER_MS 60.0
#define PAUSE_BESIDE_PROMPT_MS 200.0
#define PAUSE_ALONE_MS 10
#define STREAM_MS 400
#define REQUESTS 4096

/* Guards against one good or bad stream that decides for a server. */
static void
test_learns(void)
{
	struct server_pace p = { 0 };
	unsigned int i;

	g_assert_cmpfloat(server_pace_expected(&p, 1000), ==, 0);
	server_pace_record(&p, 1000, 0);
	g_assert_cmpfloat(server_pace_expected(&p, 1000), ==, 0);
	for (i = 0; i < 40; i++)
		server_pace_record(&p, 1000, i % 2 ? 90 : 110);
	g_assert_cmpfloat(server_pace_expected(&p, 1000), >, 110);
	g_assert_cmpfloat(server_pace_expected(&p, 1000), <, 140);
	server_pace_record(&p, 1000, 250);
	g_assert_cmpfloat(server_pace_expected(&p, 1000), <, 250);
	for (i = 0; i < 8; i++)
		server_pace_record(&p, 1000, 250);
	g_assert_cmpfloat(server_pace_expected(&p, 1000), >, 200);
}

/* Guards against a server that is avoided for good after slow seconds. */
static void
test_expires(void)
{
	struct server_pace p = { 0 };

	server_pace_record(&p, 1000, 400);
	g_assert_cmpfloat(server_pace_expected(&p, 1000), >, 400);
	g_assert_cmpfloat(server_pace_expected(&p, 9000), <, 100);
}

/* Guards against a node that was paused and takes all servers as slow. */
static void
test_outlier(void)
{
	struct server_pace p = { 0 };
	unsigned int i;

	for (i = 0; i < 40; i++)
		server_pace_record(&p, 1000, 50);
	server_pace_record(&p, 1000, 60000);
	g_assert_cmpfloat(server_pace_expected(&p, 1000), <, 150);
}

/* ---- a load on servers of two speeds ---- */

struct stream {
	name_id server;
	double unread;
	msec gap_target, gap, ends; /* ends: 0 while it is read */
	unsigned int own;
	bool active;
};

static struct stream streams[REQUESTS];
static unsigned int nstreams;

static void
op_ignore(struct servers *s, struct server *v)
{
}

static const struct server_ops ops = { op_ignore, op_ignore };

static double
load_speed(const struct server *v)
{
	return v->address <= FAST_SERVERS ? FAST_SPEED : SLOW_SPEED;
}

static void
load_begin(struct servers *s, msec now, msec gap_target, unsigned int own)
{
	struct server_wish w = { .service = name_hash("svc"),
		.route = own,
		.own = own,
		.gap_target = gap_target };
	struct server_view view = { .all = true,
		.domain = "",
		.groups = 1,
		.nodes = 1,
		.now = now,
		.sole = true };
	struct stream *r = &streams[nstreams++];
	struct server *v = server_choose(s, now, &w, &view, nstreams);

	g_assert_cmpuint(nstreams, <, REQUESTS);
	*r = (struct stream){ .server = v->id,
		.unread = own,
		.gap_target = gap_target,
		.own = own,
		.active = true };
	v->all.running++;
	v->all.unread += own;
}

/* Reads prompts for a ms, the oldest first. False if there are none. */
static bool
load_read(struct server *v, msec now)
{
	double can = TOKENS_PER_MS * load_speed(v);
	unsigned int i;

	if (v->all.unread == 0)
		return false;
	for (i = 0; i < nstreams && can > 0; i++) {
		struct stream *r = &streams[i];
		double part = MIN(r->unread, can);

		if (!r->active || r->server != v->id || r->unread <= 0)
			continue;
		r->unread -= part;
		can -= part;
		if (r->unread > 0)
			continue;
		r->ends = now + STREAM_MS;
		v->all.unread -= r->own;
	}
	return true;
}

/* One ms of a server's streams; the number of those that ended late. */
static unsigned int
load_stream(struct server *v, msec now, bool learns)
{
	bool reads = load_read(v, now);
	msec pause = PAUSE_ALONE_MS;
	unsigned int i, late = 0;

	if (reads)
		pause = (msec)(PAUSE_BESIDE_PROMPT_MS / load_speed(v));
	for (i = 0; i < nstreams; i++) {
		struct stream *r = &streams[i];

		if (!r->active || r->server != v->id || r->ends == 0)
			continue;
		r->gap = MAX(r->gap, pause);
		if (now < r->ends)
			continue;
		r->active = false;
		v->all.running--;
		late += r->gap > r->gap_target;
		if (learns)
			server_pace_record(&v->pace, now, r->gap);
	}
	return late;
}

/* Runs 6 s of the load; the number of streams that had a pause too long. */
static unsigned int
load_run(bool learns)
{
	struct server_entry e = {
		.service = "svc", .domain = "d", .port = 80, .slots = 64
	};
	unsigned int i, late = 0;
	struct servers s;
	struct server *v;
	msec now;

	nstreams = 0;
	servers_init(&s, &ops);
	for (i = 0; i < SERVERS; i++) {
		g_autofree char *name = g_strdup_printf("i-%u", i);

		e.name = name;
		e.address = i + 1;
		servers_list(&s, 1, &e);
	}
	for (now = 1; now < 6 * MSEC_SECOND; now++) {
		if (now % 9 == 0)
			load_begin(&s, now, 1000, 4000);
		if (now % 20 == 0)
			load_begin(&s, now, 200, 500);
		RB_FOREACH (v, server_tree, &s.tree)
			late += load_stream(v, now, learns);
	}
	servers_finish(&s);
	return late;
}

/*
 * Guards against streams with a low gap target on servers where they miss it
 * beside long prompts, while faster servers would keep it.
 */
static void
test_load(void)
{
	unsigned int without = load_run(false), with = load_run(true);

	g_test_message("late in their pauses: %u, without %u", with, without);
	g_assert_cmpuint(without, >, 100);
	g_assert_cmpuint(with * 4, <, without);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/server-pace/learns", test_learns);
	g_test_add_func("/server-pace/expires", test_expires);
	g_test_add_func("/server-pace/outlier", test_outlier);
	g_test_add_func("/server-pace/load", test_load);
	return g_test_run();
}
