/*
 * What membership sends between failure domains, and what it notices there, on
 * a simulated network of many nodes in three domains.
 */

#include "util-fleet.h"

#define NODES 120
#define LOST 1 /* the domain that fails */

/* From the loss of a domain until every other node knows all of it. */
#define LOSS_MAX (15 * MSEC_SECOND)
/* Until all nodes agree again, as in test-member.c. */
#define AGREED_MAX (30 * MSEC_SECOND)
/* What a node sends at most while nothing happens. */
#define CALM_BYTES_PER_S 4096
#define MEASURED_SECONDS 10

static void
domains_start(struct fleet *f, unsigned int n)
{
	fleet_init(f, n, 1);
	fleet_start_all(f);
	g_assert_cmpint(fleet_run_until_agreed(f, 30 * MSEC_SECOND), >=, 0);
	fleet_run(f, 2 * MSEC_SECOND);
}

static bool
in_lost(unsigned int i)
{
	return i % FLEET_DOMAINS == LOST;
}

/* Sums and resets the counters. */
static void
bytes_take(struct fleet *f, uint64_t *out, uint64_t *across)
{
	unsigned int i;

	*out = *across = 0;
	for (i = 0; i < f->n; i++) {
		*out += f->nodes[i].bytes_out;
		*across += f->nodes[i].bytes_across;
		f->nodes[i].bytes_out = f->nodes[i].bytes_across = 0;
	}
}

/* Whether all nodes outside of the lost domain hold all of it dead. */
static bool
lost_is_known(struct fleet *f)
{
	unsigned int a, b;

	for (a = 0; a < f->n; a++) {
		for (b = 0; b < f->n && !in_lost(a); b++) {
			if (in_lost(b) &&
			    fleet_view(f, a, b)->state != MEMBER_DEAD)
				return false;
		}
	}
	return true;
}

static msec
run_until_lost_is_known(struct fleet *f)
{
	msec start = f->now;

	while (!lost_is_known(f) && f->now < start + LOSS_MAX)
		fleet_run(f, 50);
	return lost_is_known(f) ? f->now - start : -1;
}

/* Guards against probes of a calm fleet that mostly cross between domains. */
static void
test_calm(void)
{
	uint64_t out, across;
	struct fleet f;

	domains_start(&f, NODES);
	bytes_take(&f, &out, &across);
	fleet_run(&f, MEASURED_SECONDS * MSEC_SECOND);
	bytes_take(&f, &out, &across);
	g_test_message("%.0f of %.0f bytes/s a node go across",
	    (double)across / NODES / MEASURED_SECONDS,
	    (double)out / NODES / MEASURED_SECONDS);
	g_assert_cmpuint(across * 3, <, out);
	fleet_finish(&f);
}

/* Guards against a lost domain that is noticed late as few probes go there. */
static void
test_lost(void)
{
	struct fleet f;
	unsigned int i;
	msec took;

	domains_start(&f, NODES);
	for (i = LOST; i < f.n; i += FLEET_DOMAINS)
		fleet_crash(&f, i);
	took = run_until_lost_is_known(&f);
	g_test_message("known after %d ms", (int)took);
	g_assert_cmpint(took, >=, 0);
	fleet_finish(&f);
}

/* Guards against a domain that stays apart after its links have returned. */
static void
test_cut_off(void)
{
	struct fleet f;
	unsigned int i;
	msec took;

	domains_start(&f, NODES);
	for (i = LOST; i < f.n; i += FLEET_DOMAINS)
		f.nodes[i].region = 1;
	took = run_until_lost_is_known(&f);
	g_test_message("known after %d ms", (int)took);
	g_assert_cmpint(took, >=, 0);
	for (i = LOST; i < f.n; i += FLEET_DOMAINS)
		f.nodes[i].region = 0;
	took = fleet_run_until_agreed(&f, AGREED_MAX);
	g_test_message("together after %d ms", (int)took);
	g_assert_cmpint(took, >=, 0);
	fleet_finish(&f);
}

/*
 * Guards against a start whose news fills all probes for minutes: it went on
 * between domains, and deaths waited behind it.
 */
static void
test_news_of_start(void)
{
	uint64_t out, across;
	struct fleet f;

	domains_start(&f, 300);
	fleet_run(&f, 30 * MSEC_SECOND);
	bytes_take(&f, &out, &across);
	fleet_run(&f, MEASURED_SECONDS * MSEC_SECOND);
	bytes_take(&f, &out, &across);
	g_test_message(
	    "%.0f bytes/s a node", (double)out / f.n / MEASURED_SECONDS);
	g_assert_cmpuint(
	    out, <, (uint64_t)f.n * MEASURED_SECONDS * CALM_BYTES_PER_S);
	fleet_finish(&f);
}

static unsigned int announcements;

static void
count_announcement(struct fleet_node *n, name_id from, const sp_msg *msg)
{
	announcements +=
	    msg->kind == SP_PROBE_ACK && msg->sp_msg_u.probe_ack.seq == 0;
}

/* Guards against a started node that announces itself again to each answer. */
static void
test_answers(void)
{
	struct fleet f;

	fleet_init(&f, 2, 1);
	fleet_start(&f, 0);
	fleet_run(&f, 30);
	f.message = count_announcement;
	announcements = 0;
	fleet_start(&f, 1);
	fleet_run(&f, 30);
	g_assert_true(fleet_agrees(&f));
	g_assert_cmpuint(announcements, ==, 2);
	fleet_finish(&f);
}

/*
 * Guards against announcements that are repaired too seldom: more than half of
 * a large fleet is killed and starts again while datagrams are lost.
 */
static void
test_restart_under_loss(void)
{
	struct fleet f;
	unsigned int i;
	msec took;

	domains_start(&f, 300);
	f.loss_permille = 10;
	for (i = 0; i < f.n; i++) {
		if (i % 9 < 5)
			fleet_crash(&f, i);
	}
	fleet_run(&f, 2 * MSEC_SECOND);
	for (i = 0; i < f.n; i++) {
		if (!f.nodes[i].up)
			fleet_start(&f, i);
	}
	took = fleet_run_until_agreed(&f, AGREED_MAX);
	g_test_message("agreed after %d ms", (int)took);
	g_assert_cmpint(took, >=, 0);
	fleet_finish(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/member-domain/calm", test_calm);
	g_test_add_func("/member-domain/lost", test_lost);
	g_test_add_func("/member-domain/cut-off", test_cut_off);
	g_test_add_func("/member-domain/news-of-start", test_news_of_start);
	g_test_add_func("/member-domain/answers", test_answers);
	g_test_add_func(
	    "/member-domain/restart-under-loss", test_restart_under_loss);
	return g_test_run();
}
