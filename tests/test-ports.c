/*
 * Ports that test programs draw at the same time.
 */

#include "util-proc.h"

#include <sys/wait.h>

#include <signal.h>
#include <unistd.h>

#define PROGRAMS 30
#define DRAWN 150

/* Draws in a process of its own, which holds its ports until it is told. */
static pid_t
draw_in_child(int out, int until)
{
	unsigned int ports[DRAWN], i;
	pid_t pid = fork();
	char byte;

	if (pid != 0)
		return pid;
	for (i = 0; i < DRAWN; i++)
		ports[i] = i % 3 == 0 ? port_free_peer() : port_free_tcp();
	if (write(out, ports, sizeof ports) != sizeof ports)
		_exit(1);
	_exit(read(until, &byte, 1) == 0 ? 0 : 1);
}

static bool
ports_read(int fd, unsigned int *ports)
{
	size_t got = 0, all = DRAWN * sizeof *ports;
	ssize_t n;

	while (got < all && (n = read(fd, (char *)ports + got, all - got)) > 0)
		got += (size_t)n;
	return got == all;
}

/*
 * Guards against a node that cannot start again, or a caller that reaches
 * another program, as two test programs have drawn one port.
 */
static void
test_programs(void)
{
	static bool taken[65536];
	unsigned int ports[DRAWN], i, k, twice = 0;
	int out[2], until[2], status;
	pid_t pids[PROGRAMS];

	g_assert_cmpint(pipe(out), ==, 0);
	g_assert_cmpint(pipe(until), ==, 0);
	for (i = 0; i < PROGRAMS; i++) {
		pids[i] = draw_in_child(out[1], until[0]);
		g_assert_cmpint(pids[i], >, 0);
		g_assert_true(ports_read(out[0], ports));
		for (k = 0; k < DRAWN; k++) {
			twice += taken[ports[k]];
			taken[ports[k]] = true;
		}
	}
	close(until[1]);
	for (i = 0; i < PROGRAMS; i++) {
		kill(pids[i], SIGKILL);
		waitpid(pids[i], &status, 0);
	}
	g_assert_cmpuint(twice, ==, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ports/programs", test_programs);
	return g_test_run();
}
