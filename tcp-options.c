/*
 * Options of a TCP connection; see tcp-options.h.
 */

#include "tcp-options.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <linux/sockios.h>

#define TCP_PROBE_INTERVAL_S 1
#define TCP_PROBES 2

void
tcp_set_unacked(int fd, int unacked)
{
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked, sizeof unacked);
}

int64_t
tcp_unacknowledged(int fd)
{
	int bytes = 0;

	return ioctl(fd, SIOCOUTQ, &bytes) == 0 ? bytes : -1;
}

void
tcp_set_reset(int fd)
{
	struct linger reset = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

void
tcp_set_options(int fd, int idle, int unacked)
{
	int on = 1, every = TCP_PROBE_INTERVAL_S, count = TCP_PROBES;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
	tcp_set_unacked(fd, unacked);
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &every, sizeof every);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
}
