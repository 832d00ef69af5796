/*
 * Tests prompts that servers fetch from each other (place.h, prompt-fetch.h),
 * over several nodes in virtual time.
 */

#include "util-place-load.h"

static struct places ps;
static struct load load;

/* A burst on two subjects, with servers that keep what they have read. */
static void
load_run_hot(struct load_kind *k, bool transfers)
{
	load_start(&load, &ps);
	load_keep_prompts(&load);
	if (transfers)
		places_set_transfer(&ps);
	load_run(&load, k, 1, 8000);
	load_stop(&load);
}

/*
 * Guards against a burst on a few prompts that all waits for the servers which
 * have read them, while the others are idle.
 */
static void
test_hot_prompts(void)
{
	static const struct load_kind hot = { 220, 2, 13300, 3000, 2, 1500,
		1000, 0, 0, 0, 0 };
	struct load_kind without = hot, with = hot;

	load_run_hot(&without, false);
	load_run_hot(&with, true);
	g_test_message("refused %u, late %u of %u; with transfers %u, %u of %u",
	    without.refused, without.late, without.asked, with.refused,
	    with.late, with.asked);
	g_assert_cmpuint(with.refused * 20, <=, with.asked);
	g_assert_cmpuint(with.late * 20, <=, with.asked);
	g_assert_cmpuint(with.refused * 2, <, without.refused);
}

static void
transfer_submit(struct places_node *n, struct place_request *r, uint64_t prompt)
{
	places_fill_request(r, prompt, 3000);
	place_submit(&n->place, ps.now, r);
	places_run(&ps, 5);
}

/* Lets the coordinator know for long enough who holds which prompt. */
static void
transfer_age_coordinator(struct places_node *n)
{
	struct place_request r;
	unsigned int i;

	for (i = 0; i < 10; i++) {
		transfer_submit(n, &r, 1000 + i);
		place_end(&n->place, ps.now, &r, SERVER_NO_RESULT);
		places_run(&ps, 2000);
	}
}

/*
 * Guards against a prompt fetched from a server that is still reading it, or
 * that is down: the other server would wait for nothing.
 */
static void
test_fetch_source(void)
{
	struct place_request r[16], *first = &r[0];
	unsigned int i, fetches = 0;
	struct server *v;

	places_start(&ps, 1, 6);
	places_set_transfer(&ps);
	transfer_age_coordinator(&ps.nodes[0]);
	for (i = 0; i < G_N_ELEMENTS(r); i++) {
		if (i == 4)
			place_prompt_read(&ps.nodes[0].place, ps.now, first);
		transfer_submit(&ps.nodes[0], &r[i], 7);
		g_assert_true(i >= 4 || r[i].source == 0);
		g_assert_true(r[i].source == 0 || r[i].source == first->server);
		g_assert_true(r[i].source != r[i].server);
		fetches += r[i].source != 0;
	}
	g_assert_cmpuint(fetches, >, 0);
	v = servers_find(&ps.nodes[0].servers, first->server);
	server_record_result(v, ps.now, SERVER_DOWN);
	for (i = 1; i < G_N_ELEMENTS(r); i++) {
		place_end(&ps.nodes[0].place, ps.now, &r[i], SERVER_NO_RESULT);
		transfer_submit(&ps.nodes[0], &r[i], 7);
		g_assert_true(r[i].source != first->server);
	}
	places_stop(&ps);
}

/*
 * Guards against a prompt fetched from a server that has failed and has not
 * answered since, also after its rest: its process may have ended.
 */
static void
test_fetch_failed_source(void)
{
	struct place_request holder, r;
	unsigned int failures, i, fetches = 0;
	struct server *v;

	for (failures = 1; failures <= 4; failures++) {
		places_start(&ps, 1, 6);
		places_set_transfer(&ps);
		transfer_age_coordinator(&ps.nodes[0]);
		transfer_submit(&ps.nodes[0], &holder, 7);
		place_prompt_read(&ps.nodes[0].place, ps.now, &holder);
		v = servers_find(&ps.nodes[0].servers, holder.server);
		for (i = 0; i < failures; i++)
			server_record_result(v, ps.now, SERVER_FAILED);
		places_run(&ps, 2500);
		for (i = 0; i < 8; i++) {
			transfer_submit(&ps.nodes[0], &r, 7);
			g_assert_true(r.source != holder.server);
		}
		server_record_result(v, ps.now, SERVER_ANSWERED);
		for (i = 0; i < 8; i++) {
			transfer_submit(&ps.nodes[0], &r, 7);
			fetches += r.source == holder.server;
		}
		places_stop(&ps);
	}
	g_assert_cmpuint(fetches, >, 0);
}

/* Guards against copies that displace other prompts in small memory. */
static void
test_no_space(void)
{
	const struct prompt_transfer small = { 18432, 370000, 20000 };
	struct place_request r[16];
	unsigned int i;

	places_start(&ps, 1, 6);
	transfer_age_coordinator(&ps.nodes[0]);
	place_set_transfer(&ps.nodes[0].place, name_hash("svc"), &small);
	for (i = 0; i < G_N_ELEMENTS(r); i++) {
		transfer_submit(&ps.nodes[0], &r[i], 7);
		place_prompt_read(&ps.nodes[0].place, ps.now, &r[i]);
		/* A copy has no room, and reading again costs more. */
		g_assert_true(r[i].server == r[0].server);
	}
	places_stop(&ps);
}

/*
 * Guards against prompts read again while a coordinator is new, or none
 * answers: the home has probably read them.
 */
static void
test_guessed_source(void)
{
	struct place_request r[64];
	unsigned int i, k, guesses;
	name_id home = 0;

	for (k = 0; k < 2; k++) {
		places_start(&ps, k == 0 ? 1 : 2, 6);
		places_set_transfer(&ps);
		if (k == 1) {
			ps.nodes[0].place.alone_until = ps.now + 1000;
			ps.nodes[1].isolated = true;
		}
		guesses = 0;
		for (i = 0; i < G_N_ELEMENTS(r); i++) {
			transfer_submit(&ps.nodes[0], &r[i], 7);
			home = i == 0 ? r[0].server : home;
			g_assert_true(r[i].source == 0 || r[i].source == home);
			g_assert_true(r[i].source != r[i].server);
			guesses += r[i].source != 0;
		}
		g_assert_cmpuint(guesses, >, 0);
		places_stop(&ps);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/place/hot-prompts", test_hot_prompts);
	g_test_add_func("/place/fetch-source", test_fetch_source);
	g_test_add_func("/place/fetch-failed-source", test_fetch_failed_source);
	g_test_add_func("/place/no-space", test_no_space);
	g_test_add_func("/place/guessed-source", test_guessed_source);
	return g_test_run();
}
