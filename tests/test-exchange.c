/*
 * The HTTP client for one address (exchange.c): what becomes of calls that are
 * given up.
 */

#include "exchange.h"

#include <sys/socket.h>

#include <netinet/in.h>

#include <poll.h>
#include <unistd.h>

#include "util-proxy.h"

#define CALL_MS 300
/* The host would have repeated the call within this time. */
#define REPEATED_MS 3500

static unsigned int
listener_start(int *fd)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof sin;

	*fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(bind(*fd, (struct sockaddr *)&sin, sizeof sin), ==, 0);
	g_assert_cmpint(listen(*fd, 8), ==, 0);
	g_assert_cmpint(getsockname(*fd, (struct sockaddr *)&sin, &len), ==, 0);
	return ntohs(sin.sin_port);
}

static void
call_ended(struct exchange *x, unsigned int status, msec now)
{
	g_assert_cmpuint(status, ==, 0);
	x->loop->stopping = true;
}

/* Bytes that arrive on the first connection until it ends, or time is up. */
static size_t
bytes_arrived(int listener)
{
	int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
	struct pollfd p = { fd, POLLIN, 0 };
	size_t sum = 0;
	char bytes[512];
	ssize_t n;

	while (poll(&p, 1, REPEATED_MS) == 1 &&
	       (n = recv(fd, bytes, sizeof bytes, 0)) > 0)
		sum += (size_t)n;
	close(fd);
	return sum;
}

/* A call that was given up arrives later, and is executed after a newer one. */
static void
test_given_up(void)
{
	struct proxy_faults lose = proxy_no_faults;
	struct exchange x;
	struct proxy *p;
	struct loop l;
	int listener;

	lose.lose_data = true;
	p = proxy_start(PROXY_TCP, listener_start(&listener), 1);
	proxy_set(p, &lose);
	g_assert_true(loop_init(&l));
	exchange_init(
	    &x, &l, INADDR_LOOPBACK, (uint16_t)proxy_port(p), call_ended, NULL);
	exchange_call(&x, "POST", "/", "body", 4, CALL_MS);
	loop_run(&l);
	proxy_set(p, &proxy_no_faults);
	g_assert_cmpuint(bytes_arrived(listener), ==, 0);
	exchange_finish(&x);
	loop_finish(&l);
	proxy_stop(p);
	close(listener);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/exchange/given-up", test_given_up);
	return g_test_run();
}
