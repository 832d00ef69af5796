/*
 * Tickets and Idempotency-Keys with real processes and faults: one run for all
 * who ask with the same one, counted at the stand-ins.
 */

#include "util-nodes.h"

#include <signal.h>
#include <string.h>

/* One event of the engine takes more than this many bytes. */
#define EVENT_BYTES 100
/* Answers are kept for 30 s. */
#define JOIN_KEPT_S 32

static const struct nodes_config one_one = {
	.nodes = 1, .engines = 1, .engine_proxy = true, .plain_proxy = true
};
static const struct nodes_config two_two = { .nodes = 2, .engines = 2 };

static char *
ticket_get(struct nodes *s, unsigned int i)
{
	const char *const headers[] = { "Authorization: Bearer " NODES_KEY,
		NULL };
	struct http_reply r;
	char *line;

	http_call(
	    &r, "POST", nodes_entry_port(s, i), "/v1/tickets", "", headers);
	g_assert_cmpint(r.status, ==, 200);
	line = g_strdup_printf("Savorypier-Ticket: %s",
	    json_string_value(json_object_get(r.json, "ticket")));
	http_reply_free(&r);
	return line;
}

static void
ticket_registry(struct nodes *s, unsigned int i, const char *ticket,
    const char *body, struct caller *c)
{
	caller_book(c, nodes_entry_port(s, i), "by-ticket");
	caller_add_header(c, ticket);
	if (body != NULL) {
		g_free(c->body);
		c->body = g_strdup(body);
	}
	caller_run(c);
}

static void
test_ticket_use(void)
{
	/*
	 * A booking is sent with a ticket. Its caller hears nothing and asks
	 * again, at the same VM and at another: always the one booking's
	 * answer. Another body or another organisation's key is refused.
	 */
	g_autofree char *ticket = NULL, *first = NULL;
	struct nodes s;
	struct caller c;
	unsigned int i;

	nodes_up(&s, &two_two);
	ticket = ticket_get(&s, 0);
	for (i = 0; i < 4; i++) {
		ticket_registry(&s, i % 2, ticket, NULL, &c);
		g_assert_cmpint(c.status, ==, 200);
		g_assert_cmpstr(c.outcome, ==, "ran");
		if (first == NULL)
			first = g_strdup(c.text->str);
		g_assert_cmpstr(c.text->str, ==, first);
		caller_finish(&c);
	}
	for (i = 0; i < 2; i++) {
		ticket_registry(&s, i, ticket, "{\"slot\":8}", &c);
		g_assert_cmpint(c.status, >=, 400);
		g_assert_cmpstr(c.outcome, !=, "ran");
		caller_finish(&c);
	}
	caller_book(&c, nodes_entry_port(&s, 0), "by-ticket");
	c.headers[0] = "Authorization: Bearer key-grandi-septic";
	caller_add_header(&c, ticket);
	caller_run(&c);
	g_assert_cmpint(c.status, >=, 400);
	g_assert_cmpstr(c.outcome, !=, "ran");
	caller_finish(&c);
	g_assert_cmpint(nodes_plain_executions(&s, "by-ticket"), ==, 1);
	nodes_finish(&s);
}

static void
test_ticket_joins(void)
{
	/*
	 * Two callers bring one ticket while the booking is still at work.
	 * The second waits for the first one's answer, at the other VM too.
	 */
	g_autofree char *ticket = NULL;
	struct nodes s;
	struct caller c[3];
	unsigned int i;

	nodes_up(&s, &two_two);
	http_fault(s.plain.proc.port, "{\"delay_ms\": 500}");
	ticket = ticket_get(&s, 0);
	for (i = 0; i < 3; i++) {
		caller_book(&c[i], nodes_entry_port(&s, i == 2), "joined");
		caller_add_header(&c[i], ticket);
		caller_start(&c[i]);
	}
	for (i = 0; i < 3; i++) {
		caller_wait(&c[i]);
		g_assert_cmpint(c[i].status, ==, 200);
		g_assert_cmpstr(c[i].outcome, ==, "ran");
		g_assert_cmpstr(c[i].text->str, ==, c[0].text->str);
	}
	for (i = 0; i < 3; i++)
		caller_finish(&c[i]);
	g_assert_cmpint(nodes_plain_executions(&s, "joined"), ==, 1);
	nodes_finish(&s);
}

static void
test_ticket_forwarded_failure(void)
{
	/*
	 * A ticket is used at another VM than its own, and the booking there
	 * ends as "unknown". The VM in the middle must say the same, not
	 * "ran" because it got some answer.
	 */
	g_autofree char *ticket = NULL;
	struct nodes s;
	struct caller c;

	nodes_up(&s, &two_two);
	http_fault(s.plain.proc.port, "{\"read_and_close\": 1}");
	ticket = ticket_get(&s, 0);
	ticket_registry(&s, 1, ticket, NULL, &c);
	caller_assert_broken(&c, "unknown");
	caller_finish(&c);
	g_assert_cmpint(nodes_plain_executions(&s, "by-ticket"), ==, 1);
	nodes_finish(&s);
}

static void
test_ticket_after_kill(void)
{
	/*
	 * The VM that issued the ticket crashes after the booking and comes
	 * back. Nobody knows any more whether the ticket was used, so that
	 * both VMs say "unknown" and nothing is booked again.
	 */
	g_autofree char *ticket = NULL;
	struct nodes s;
	struct caller c;
	unsigned int i;

	nodes_up(&s, &two_two);
	ticket = ticket_get(&s, 0);
	ticket_registry(&s, 0, ticket, NULL, &c);
	g_assert_cmpstr(c.outcome, ==, "ran");
	caller_finish(&c);
	proc_kill(&s.entries[0].proc);
	ticket_registry(&s, 1, ticket, NULL, &c);
	caller_assert_broken(&c, "unknown");
	caller_finish(&c);
	nodes_entry_start(&s, 0);
	nodes_entry_ready(&s, 0);
	for (i = 0; i < 2; i++) {
		ticket_registry(&s, i, ticket, NULL, &c);
		caller_assert_broken(&c, "unknown");
		caller_finish(&c);
	}
	g_assert_cmpint(nodes_plain_executions(&s, "by-ticket"), ==, 1);
	nodes_finish(&s);
}

static void
test_ticket_after_refused(void)
{
	/*
	 * A booking with a ticket meets a service that refuses connections:
	 * "not-run". The caller may ask again with the same ticket; once the
	 * service is back the booking is made, once.
	 */
	struct proxy_faults f = {
		.cut_to_server = -1, .cut_to_client = -1, .refuse = true
	};
	g_autofree char *ticket = NULL;
	struct nodes s;
	struct caller c;
	unsigned int i;

	nodes_up(&s, &one_one);
	proxy_set(s.plain.proxy, &f);
	ticket = ticket_get(&s, 0);
	ticket_registry(&s, 0, ticket, NULL, &c);
	caller_assert_broken(&c, "not-run");
	caller_finish(&c);
	proxy_set(s.plain.proxy, &proxy_no_faults);
	for (i = 0; i < 100; i++) {
		ticket_registry(&s, 0, ticket, NULL, &c);
		if (strcmp(c.outcome, "not-run") != 0)
			break;
		caller_finish(&c);
		g_usleep(100 * 1000);
	}
	g_assert_cmpstr(c.outcome, ==, "ran");
	caller_finish(&c);
	g_assert_cmpint(nodes_plain_executions(&s, "by-ticket"), ==, 1);
	nodes_finish(&s);
}

static void
test_ticket_late_use(void)
{
	/*
	 * A caller comes back with its ticket when the kept answer is gone.
	 * The booking must not be made again, only because nobody remembers
	 * its answer: "unknown".
	 */
	g_autofree char *ticket = NULL;
	struct nodes s;
	struct caller c;

	nodes_up(&s, &one_one);
	ticket = ticket_get(&s, 0);
	ticket_registry(&s, 0, ticket, NULL, &c);
	g_assert_cmpstr(c.outcome, ==, "ran");
	caller_finish(&c);
	g_usleep(JOIN_KEPT_S * G_USEC_PER_SEC);
	ticket_registry(&s, 0, ticket, NULL, &c);
	caller_assert_broken(&c, "unknown");
	caller_finish(&c);
	g_assert_cmpint(nodes_plain_executions(&s, "by-ticket"), ==, 1);
	nodes_finish(&s);
}

static void
test_ticket_leaving(void)
{
	/*
	 * A booking was made with a ticket; its VM is leaving and takes no
	 * work any more while a long answer holds it. Another use of the
	 * ticket gets the booking's answer, never "not-run".
	 */
	g_autofree char *ticket = NULL;
	struct nodes s;
	struct caller c, hold;

	nodes_up(&s, &one_one);
	ticket = ticket_get(&s, 0);
	ticket_registry(&s, 0, ticket, NULL, &c);
	g_assert_cmpstr(c.outcome, ==, "ran");
	caller_finish(&c);
	caller_ask(&hold, nodes_entry_port(&s, 0), "hold", 400);
	caller_start(&hold);
	caller_wait_bytes(&hold, EVENT_BYTES);
	proc_signal(&s.entries[0].proc, SIGTERM);
	g_usleep(300 * 1000);
	ticket_registry(&s, 0, ticket, NULL, &c);
	if (c.status != 0)
		g_assert_cmpstr(c.outcome, ==, "ran");
	caller_finish(&c);
	caller_wait(&hold);
	caller_assert_whole(&hold, 400);
	caller_finish(&hold);
	g_assert_cmpint(nodes_plain_executions(&s, "by-ticket"), ==, 1);
	g_assert_cmpint(proc_wait(&s.entries[0].proc, PROC_STOP_MS), ==, 0);
	nodes_finish(&s);
}

static void
test_key_joins(void)
{
	/*
	 * A caller asks with an Idempotency-Key, loses patience, breaks off
	 * and comes back. Its first run goes on and it gets that run's
	 * answer; with the key and another body it is refused.
	 */
	struct nodes s;
	struct caller c, again;

	nodes_up(&s, &one_one);
	caller_ask(&c, nodes_entry_port(&s, 0), "keyed", 100);
	caller_add_header(&c, "Idempotency-Key: k-1");
	caller_start(&c);
	caller_wait_bytes(&c, 3 * EVENT_BYTES);
	caller_leave(&c);
	caller_ask(&again, nodes_entry_port(&s, 0), "keyed", 100);
	caller_add_header(&again, "Idempotency-Key: k-1");
	caller_run(&again);
	caller_assert_whole(&again, 100);
	caller_finish(&again);
	caller_ask(&again, nodes_entry_port(&s, 0), "keyed", 101);
	caller_add_header(&again, "Idempotency-Key: k-1");
	caller_run(&again);
	g_assert_cmpint(again.status, >=, 400);
	caller_finish(&again);
	caller_finish(&c);
	g_assert_cmpint(nodes_executions(&s, "keyed"), ==, 1);
	nodes_finish(&s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/tickets/use", test_ticket_use);
	g_test_add_func("/tickets/joins", test_ticket_joins);
	g_test_add_func(
	    "/tickets/forwarded-failure", test_ticket_forwarded_failure);
	g_test_add_func("/tickets/after-kill", test_ticket_after_kill);
	g_test_add_func("/tickets/after-refused", test_ticket_after_refused);
	g_test_add_func("/tickets/late-use", test_ticket_late_use);
	g_test_add_func("/tickets/leaving", test_ticket_leaving);
	g_test_add_func("/tickets/key-joins", test_key_joins);
	return g_test_run();
}
