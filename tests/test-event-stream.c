/*
 * Where events end, whatever the line ends and however the bytes arrive.
 */

#include "event-stream.h"

#include <string.h>

static void
check_length(const char *bytes, size_t want)
{
	g_assert_cmpuint(event_length(bytes, strlen(bytes)), ==, want);
}

static void
check_unfinished(const char *bytes, bool want)
{
	g_assert_cmpint(event_is_unfinished(bytes, strlen(bytes)), ==, want);
}

static void
test_line_ends(void)
{
	check_length("id: 1\ndata: a\n\nid: 2\n", 15);
	check_length("id: 1\r\ndata: a\r\n\r\nid", 18);
	check_length("id: 1\rdata: a\r\rid", 15);
	check_length("id: 1\ndata: a\r\n\nid", 16);
	check_length("id: 1\rdata: a\n\rid", 15);
	check_length("data: a\r", 0);
	check_length("data: a\r\n", 0);
	check_length("data: a\n", 0);
	check_length("\ndata: a\n\n", 1);
	check_length(": only a comment\n\n", 18);
}

/* Guards against the LF of an empty line that comes alone. */
static void
test_last_lf_later(void)
{
	check_length("data: a\r\n\r", 0);
	check_length("data: a\r\n\r\n", 11);
	check_length("data: a\r\r", 9);
}

/* Guards against a stream that is taken for whole inside an event. */
static void
test_unfinished(void)
{
	check_unfinished("", false);
	check_unfinished("i", true);
	check_unfinished("id: 4\n", true);
	check_unfinished("id: 4\r\nda", true);
	check_unfinished("id: 4\r", true);
	check_unfinished("data: whole line, no empty one\n", true);
	check_unfinished(": comment\ndata: a\n", true);
	check_unfinished("data: a\n: comment\n", true);
	check_unfinished(": cut comm", true);
}

static void
test_finished(void)
{
	check_unfinished("\n", false);
	check_unfinished("\r\n\r\n", false);
	check_unfinished(": comment\n", false);
	check_unfinished(": comment\r: another\r\n", false);
	check_unfinished("data: a\r\n\r", false);
}

static void
check_number(const char *event, bool has, uint64_t want)
{
	uint64_t number = 0;

	g_assert_cmpint(event_number(event, strlen(event), &number), ==, has);
	g_assert_cmpuint(number, ==, want);
}

static void
test_number(void)
{
	check_number("id: 17\ndata: a\n\n", true, 17);
	check_number("data: a\rid: 3\r\r", true, 3);
	check_number("data: a\r\nid:4\r\n\r\n", true, 4);
	check_number("data: id: 4\n\n", false, 0);
	check_number(": id: 4\n\n", false, 0);
}

/* Bytes that are no events pass as a stream. */
static void
test_field(void)
{
	g_assert_true(event_has_field("data: a\n\n", 9));
	g_assert_true(event_has_field("data\n\n", 6));
	g_assert_true(event_has_field("x: 1\r\nid: 1\r\n\r\n", 15));
	g_assert_false(event_has_field(": data: a\n\n", 11));
	g_assert_false(event_has_field("database\n\n", 10));
	g_assert_false(event_has_field("\n", 1));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/event-stream/line-ends", test_line_ends);
	g_test_add_func("/event-stream/last-lf-later", test_last_lf_later);
	g_test_add_func("/event-stream/unfinished", test_unfinished);
	g_test_add_func("/event-stream/finished", test_finished);
	g_test_add_func("/event-stream/number", test_number);
	g_test_add_func("/event-stream/field", test_field);
	return g_test_run();
}
