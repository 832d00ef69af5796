/*
 * Tests the buffer of an answer between an engine's thread and the caller's
 * connection: which bytes it accepts, and when it pauses the engine.
 */

#include "daemon.h"

#include <string.h>

#define ATTEMPT 1
/* The largest block, in bytes, that libcurl passes to its write callback. */
#define CURL_BLOCK_BYTES (16 * 1024)

static unsigned int unpaused;

void
engine_unpause(struct engine_thread *t, struct call *c, unsigned int attempt)
{
	unpaused++;
}

static void
start_answer(struct answer *a)
{
	answer_init(a, NULL);
	answer_set_attempt(a, ATTEMPT);
	answer_head(a, ATTEMPT, 200, "text/event-stream");
}

static void
put_bytes(struct answer *a, size_t n)
{
	static const char bytes[ANSWER_PAUSE_BYTES];

	g_assert_cmpuint(n, <=, sizeof bytes);
	g_assert_cmpint(
	    answer_put(a, ATTEMPT, bytes, n, true), ==, ANSWER_ACCEPTED);
}

/*
 * Guards against lost bytes: a block of libcurl is put into the answer in two
 * parts if an event began in the block before. The second part was dropped when
 * the first one filled the answer.
 */
static void
test_two_parts(void)
{
	struct answer a;

	start_answer(&a);
	put_bytes(&a, ANSWER_PAUSE_BYTES - 10);
	g_assert_cmpint(answer_check_room(&a, ATTEMPT, 0), ==, ANSWER_ACCEPTED);
	put_bytes(&a, 100);
	put_bytes(&a, 200);
	g_assert_cmpuint(a.len - a.at, ==, ANSWER_PAUSE_BYTES + 290);
	answer_finish(&a);
}

/* Guards against an engine that fills the memory while the caller is slow. */
static void
test_held_back(void)
{
	struct answer a;
	unsigned int i;

	start_answer(&a);
	for (i = 0; answer_check_room(&a, ATTEMPT, 0) == ANSWER_ACCEPTED; i++) {
		g_assert_cmpuint(
		    i, <, 2 * ANSWER_PAUSE_BYTES / CURL_BLOCK_BYTES);
		put_bytes(&a, CURL_BLOCK_BYTES);
	}
	g_assert_cmpint(answer_check_room(&a, ATTEMPT, 0), ==, ANSWER_PAUSE);
	g_assert_true(a.paused);
	g_assert_cmpuint(
	    answer_buffered(&a), <=, ANSWER_PAUSE_BYTES + CURL_BLOCK_BYTES);
	answer_finish(&a);
	/* The event that began in the last block counts. */
	start_answer(&a);
	put_bytes(&a, ANSWER_PAUSE_BYTES - 10);
	g_assert_cmpint(answer_check_room(&a, ATTEMPT, 9), ==, ANSWER_ACCEPTED);
	g_assert_cmpint(answer_check_room(&a, ATTEMPT, 10), ==, ANSWER_PAUSE);
	answer_finish(&a);
}

/* Guards against bytes of an abandoned attempt among those of the next one. */
static void
test_old_attempt(void)
{
	struct answer a;

	start_answer(&a);
	answer_set_attempt(&a, ATTEMPT + 1);
	g_assert_cmpint(answer_check_room(&a, ATTEMPT, 0), ==, ANSWER_DROP);
	g_assert_cmpint(answer_put(&a, ATTEMPT, "x", 1, true), ==, ANSWER_DROP);
	g_assert_cmpuint(answer_buffered(&a), ==, 0);
	answer_finish(&a);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/answer/two-parts", test_two_parts);
	g_test_add_func("/answer/held-back", test_held_back);
	g_test_add_func("/answer/old-attempt", test_old_attempt);
	return g_test_run();
}
