/*
 * Byte queues: their contents, and what all of them have allocated.
 */

#include "buffer.h"

#include <string.h>

/* A byte is lost or out of order as the memory moves. */
static void
test_queue(void)
{
	struct buffer b = { 0 };
	unsigned int i;

	for (i = 0; i < 1000; i++)
		buffer_printf(&b, "%u,", i % 10);
	buffer_consume(&b, 1990);
	buffer_add_text(&b, "end");
	g_assert_cmpuint(buffer_length(&b), ==, 13);
	g_assert_cmpmem(buffer_bytes(&b), 13, "5,6,7,8,9,end", 13);
	buffer_consume(&b, 13);
	g_assert_null(b.data);
}

/* What buffers allocate is counted too high or too low. */
static void
test_allocated(void)
{
	struct buffer a = { 0 }, b = { 0 };

	g_assert_cmpuint(buffers_allocated(), ==, 0);
	buffer_reserve(&a, 100000);
	buffer_add_text(&b, "b");
	g_assert_cmpuint(buffers_allocated(), ==, a.size + b.size);
	buffer_reserve(&a, 300000);
	g_assert_cmpuint(buffers_allocated(), >=, 300000);
	buffer_consume(&b, 1);
	g_assert_cmpuint(buffers_allocated(), ==, a.size);
	buffer_finish(&a);
	buffer_finish(&a);
	g_assert_cmpuint(buffers_allocated(), ==, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/buffer/queue", test_queue);
	g_test_add_func("/buffer/allocated", test_allocated);
	return g_test_run();
}
