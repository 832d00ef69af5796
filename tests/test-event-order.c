/*
 * Ids of events, in one answer and where another server goes on.
 */

#include "event-order.h"

static void
add_all(struct event_order *o, const uint64_t *ids, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		g_assert_true(event_order_add(o, ids[i]));
}
#define ADD(o, ...)                               \
	add_all((o), (uint64_t[]){ __VA_ARGS__ }, \
	    sizeof((uint64_t[]){ __VA_ARGS__ }) / sizeof(uint64_t))

/* Guards against streams that are broken off as their ids rise by more. */
static void
test_rising(void)
{
	struct event_order o;

	event_order_init(&o, 0);
	ADD(&o, 10, 20, 30, 40);
	g_assert_cmpuint(event_order_made(&o), ==, 4);
	event_order_init(&o, 0);
	ADD(&o, 1, 11, 21);
	event_order_init(&o, 0);
	ADD(&o, 0, 1, 2);
	event_order_init(&o, 0);
	ADD(&o, 3, 4, 9, 100);
	g_assert_cmpuint(event_order_made(&o), ==, 4);
	event_order_init(&o, 12);
	ADD(&o, 13, 14);
	g_assert_cmpuint(event_order_made(&o), ==, 14);
	g_assert_cmpuint(o.count, ==, 2);
	g_assert_cmpuint(o.last, ==, 14);
}

/* Guards against an event that comes twice, or back. */
static void
test_falling(void)
{
	struct event_order o;

	event_order_init(&o, 0);
	ADD(&o, 5, 6);
	g_assert_false(event_order_add(&o, 6));
	g_assert_false(event_order_add(&o, 5));
	g_assert_false(event_order_add(&o, 0));
	ADD(&o, 7);
}

static void
check_joined(struct event_order *o, uint64_t due)
{
	event_order_join(o);
	g_assert_false(event_order_add(o, o->last));
	g_assert_false(event_order_add(o, due - 1));
	g_assert_false(event_order_add(o, due + 1));
	g_assert_true(event_order_add(o, due));
}

/* Guards against another server that leaves an event out, or repeats one. */
static void
test_joined(void)
{
	struct event_order o;

	event_order_init(&o, 0);
	ADD(&o, 1);
	check_joined(&o, 2);
	check_joined(&o, 3);
	ADD(&o, 4, 5);
	check_joined(&o, 6);
	event_order_init(&o, 0);
	ADD(&o, 10, 20);
	check_joined(&o, 30);
	event_order_init(&o, 7);
	event_order_join(&o);
	ADD(&o, 8);
	check_joined(&o, 9);
}

/* Where ids tell no step, any rise is taken. */
static void
test_joined_irregular(void)
{
	struct event_order o;

	event_order_init(&o, 0);
	ADD(&o, 1, 2, 4);
	event_order_join(&o);
	g_assert_false(event_order_add(&o, 4));
	ADD(&o, 9);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/event-order/rising", test_rising);
	g_test_add_func("/event-order/falling", test_falling);
	g_test_add_func("/event-order/joined", test_joined);
	g_test_add_func("/event-order/joined-irregular", test_joined_irregular);
	return g_test_run();
}
