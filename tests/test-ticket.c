/*
 * Tickets: a request runs once, on the incarnation that issued the ticket, for
 * the organisation and the body of its first use, and before the ticket
 * expires.
 */

#include "ticket.h"

#include <string.h>

#define KEY "0123456789abcdef"
#define ORG 77
#define BODY 4711

struct fixture {
	struct ticket_registry book;
	struct ticket ticket;
	char text[TICKET_SIZE];
	msec now;
};

static void
setup(struct fixture *x, gconstpointer arg)
{
	x->now = 5000;
	ticket_registry_init(&x->book, "entry-1", 42, KEY);
	ticket_issue(&x->book, x->now, ORG, x->text);
}

static void
teardown(struct fixture *x, gconstpointer arg)
{
	ticket_registry_finish(&x->book);
}

static enum ticket_verdict
use(struct fixture *x, name_id org, uint64_t body)
{
	return ticket_use(&x->book, x->now, x->text, org, body, &x->ticket);
}

/*
 * The answer to a booking is lost, and the app sends the request again with its
 * ticket. The booking must not be made twice: the second use is detected and
 * finds the first by its serial.
 */
static void
test_once(struct fixture *x, gconstpointer arg)
{
	unsigned int i;

	g_assert_cmpint(use(x, ORG, BODY), ==, TICKET_RUN);
	g_assert_cmpstr(x->ticket.node, ==, "entry-1");
	g_assert_cmpuint(x->ticket.incarnation, ==, 42);
	g_assert_cmpuint(x->ticket.serial, ==, 0);
	for (i = 0; i < 3; i++)
		g_assert_cmpint(use(x, ORG, BODY), ==, TICKET_USED);
	g_assert_cmpuint(x->ticket.serial, ==, 0);
}

/*
 * The first request with a ticket is refused because its VM is full, so nothing
 * ran. The app sends it again with the same ticket, and it runs then, once.
 */
static void
test_unuse(struct fixture *x, gconstpointer arg)
{
	g_assert_cmpint(use(x, ORG, BODY), ==, TICKET_RUN);
	ticket_mark_unused(&x->book, x->text);
	ticket_mark_unused(&x->book, "no ticket");
	g_assert_cmpint(use(x, ORG, BODY + 1), ==, TICKET_RUN);
	g_assert_cmpint(use(x, ORG, BODY + 1), ==, TICKET_USED);
}

/*
 * An app uses the ticket of one booking for another by mistake. It is no retry,
 * so it must not run; with the answer of the first, the second booking would
 * seem made. It must be an error of its own.
 */
static void
test_other_body(struct fixture *x, gconstpointer arg)
{
	g_assert_cmpint(use(x, ORG, BODY), ==, TICKET_RUN);
	g_assert_cmpint(use(x, ORG, BODY + 1), ==, TICKET_OTHER_BODY);
	g_assert_cmpint(use(x, ORG, BODY), ==, TICKET_USED);
}

/*
 * Another organisation obtains a ticket. It must neither use it up nor learn
 * whether it was used.
 */
static void
test_foreign(struct fixture *x, gconstpointer arg)
{
	g_assert_cmpint(use(x, ORG + 1, BODY), ==, TICKET_OTHER_ORGANISATION);
	g_assert_cmpint(use(x, ORG, BODY), ==, TICKET_RUN);
	g_assert_cmpint(use(x, ORG + 1, BODY), ==, TICKET_OTHER_ORGANISATION);
}

/*
 * Each character of the text replaced by every other one, and each shorter
 * text: none may be accepted as a ticket, whichever field is affected.
 */
static void
test_forged(struct fixture *x, gconstpointer arg)
{
	static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmn"
				      "opqrstuvwxyz0123456789-_=+/ ";
	size_t n = strlen(x->text), i, j;
	char good;

	for (i = 0; i < n; i++) {
		good = x->text[i];
		for (j = 0; j < sizeof letters; j++) {
			if (letters[j] == good)
				continue;
			x->text[i] = letters[j];
			g_assert_cmpint(use(x, ORG, BODY), ==, TICKET_INVALID);
		}
		x->text[i] = good;
	}
	x->text[n] = 'A';
	x->text[n + 1] = '\0';
	g_assert_cmpint(use(x, ORG, BODY), ==, TICKET_INVALID);
	memset(x->text, 'A', sizeof x->text - 1);
	x->text[sizeof x->text - 1] = '\0';
	g_assert_cmpint(use(x, ORG, BODY), ==, TICKET_INVALID);
}

/* A ticket issued under another key, as by a node of another installation. */
static void
test_other_key(struct fixture *x, gconstpointer arg)
{
	struct ticket_registry other;

	ticket_registry_init(&other, "entry-1", 42, "another key, as long");
	g_assert_cmpint(
	    ticket_use(&other, x->now, x->text, ORG, BODY, &x->ticket), ==,
	    TICKET_INVALID);
	ticket_registry_finish(&other);
}

/*
 * The node crashes after it ran a request, and restarts without its record of
 * used tickets, so it must not run the ticket; nor may any other node. Both
 * must name the node that issued it.
 */
static void
test_other_incarnation(struct fixture *x, gconstpointer arg)
{
	struct ticket_registry again, other;

	g_assert_cmpint(use(x, ORG, BODY), ==, TICKET_RUN);
	ticket_registry_init(&again, "entry-1", 43, KEY);
	g_assert_cmpint(
	    ticket_use(&again, x->now, x->text, ORG, BODY, &x->ticket), ==,
	    TICKET_OLD_INCARNATION);
	ticket_registry_finish(&again);
	ticket_registry_init(&other, "entry-2", 42, KEY);
	g_assert_cmpint(
	    ticket_use(&other, x->now, x->text, ORG, BODY, &x->ticket), ==,
	    TICKET_OTHER_NODE);
	g_assert_cmpstr(x->ticket.node, ==, "entry-1");
	ticket_registry_finish(&other);
}

/*
 * A client sends a retry many hours later. The use is no longer on record; the
 * ticket must be expired, not run again.
 */
static void
test_expiry(struct fixture *x, gconstpointer arg)
{
	char unused[TICKET_SIZE];

	ticket_issue(&x->book, x->now, ORG, unused);
	x->now += TICKET_LIFETIME - 1;
	g_assert_cmpint(use(x, ORG, BODY), ==, TICKET_RUN);
	ticket_registry_tick(&x->book, x->now);
	g_assert_cmpint(use(x, ORG, BODY), ==, TICKET_USED);
	x->now += 1;
	g_assert_cmpint(
	    ticket_use(&x->book, x->now, unused, ORG, BODY, &x->ticket), ==,
	    TICKET_EXPIRED);
	ticket_registry_tick(&x->book, x->now);
	g_assert_cmpint(use(x, ORG, BODY), ==, TICKET_EXPIRED);
}

/*
 * Callers fetch tickets and use few of them, then all of them, for longer than
 * a ticket's lifetime. Memory must stay bounded, at the cost of early expiry,
 * never of a second run.
 */
static void
test_memory(struct fixture *x, gconstpointer arg)
{
	char(*texts)[TICKET_SIZE] = g_malloc_n(2000, sizeof *texts);
	unsigned int i, n = 33 * TICKET_BLOCKS_MAX;
	size_t empty = ticket_registry_memory(&x->book);

	for (i = 0; i < 100000; i++)
		ticket_issue(&x->book, x->now, ORG, texts[i % 2000]);
	g_assert_cmpuint(ticket_registry_memory(&x->book), ==, empty);
	g_assert_cmpint(use(x, ORG, BODY), ==, TICKET_RUN);
	/* The worst case: one ticket of each block is used. */
	for (i = 0; i < n; i++) {
		ticket_issue(&x->book, x->now, ORG, texts[0]);
		if (i % 32 != 0)
			continue;
		memcpy(texts[1], texts[0], TICKET_SIZE);
		g_assert_cmpint(ticket_use(&x->book, x->now, texts[0], ORG,
				    BODY, &x->ticket),
		    ==, TICKET_RUN);
	}
	g_test_message(
	    "%zu bytes at the bound", ticket_registry_memory(&x->book));
	g_assert_cmpuint(ticket_registry_memory(&x->book), <, 12 << 20);
	g_assert_cmpint(
	    ticket_use(&x->book, x->now, texts[1], ORG, BODY, &x->ticket), ==,
	    TICKET_USED);
	/* The record of the first use was dropped to make room. */
	g_assert_cmpint(use(x, ORG, BODY), ==, TICKET_EXPIRED);
	x->now += TICKET_LIFETIME;
	ticket_registry_tick(&x->book, x->now);
	g_assert_cmpuint(ticket_registry_memory(&x->book), ==, empty);
	g_free(texts);
}

static void
add(const char *path, void (*test)(struct fixture *, gconstpointer))
{
	g_test_add(path, struct fixture, NULL, setup, test, teardown);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add("/ticket/once", test_once);
	add("/ticket/unuse", test_unuse);
	add("/ticket/other-body", test_other_body);
	add("/ticket/foreign", test_foreign);
	add("/ticket/forged", test_forged);
	add("/ticket/other-key", test_other_key);
	add("/ticket/other-incarnation", test_other_incarnation);
	add("/ticket/expiry", test_expiry);
	add("/ticket/memory", test_memory);
	return g_test_run();
}
