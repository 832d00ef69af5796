/*
 * A partition from some clients; see common-cut.h. The kernel runs a socket's
 * filter on each packet that arrives for it.
 */

#define LOG_PART "standin"
#include "common-cut.h"

#include <sys/socket.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <linux/filter.h>

#include <errno.h>
#include <string.h>

/* Offset of the source address in the IP header. */
#define IP_SOURCE 12

void
cut_set(struct cut *c, const char *address, enum cut_how how)
{
	struct in_addr in;
	unsigned int i;

	if (inet_pton(AF_INET, address, &in) != 1)
		return;
	for (i = 0; i < c->n; i++) {
		if (c->from[i].address == ntohl(in.s_addr))
			c->from[i--] = c->from[--c->n];
	}
	if (how != CUT_NONE && c->n < CUT_MAX)
		c->from[c->n++] = (struct cut_client){ ntohl(in.s_addr), how };
}

enum cut_how
cut_parse(const char *word)
{
	if (strcmp(word, "hang") == 0 || strcmp(word, "reset") == 0 ||
	    strcmp(word, "new") == 0)
		return CUT_LOST;
	if (strcmp(word, "accept-hang") == 0)
		return CUT_SILENT;
	return strcmp(word, "accept-reset") == 0 ? CUT_RESET : CUT_NONE;
}

void
cut_apply(const struct cut *c, int fd)
{
	struct sock_filter code[CUT_MAX + 3];
	struct sock_fprog program = { 0, code };
	uint32_t lost[CUT_MAX];
	unsigned short n = 0;
	unsigned int i, nlost = 0;
	int none = 0;

	for (i = 0; i < c->n; i++) {
		if (c->from[i].how == CUT_LOST)
			lost[nlost++] = c->from[i].address;
	}
	if (nlost == 0) {
		setsockopt(
		    fd, SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof none);
		return;
	}
	code[n++] = (struct sock_filter)BPF_STMT(
	    BPF_LD | BPF_W | BPF_ABS, (uint32_t)SKF_NET_OFF + IP_SOURCE);
	for (i = 0; i < nlost; i++)
		code[n++] =
		    (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K,
			lost[i], (uint8_t)(nlost - i), 0);
	code[n++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, UINT32_MAX);
	code[n++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, 0);
	program.len = n;
	if (setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
		sizeof program) == -1)
		log_warn("cannot lose packets: %s", g_strerror(errno));
}

/* IPv4, host byte order; 0: not connected. */
static uint32_t
cut_peer_address(int fd)
{
	struct sockaddr_in sin = { 0 };
	socklen_t len = sizeof sin;

	if (getpeername(fd, (struct sockaddr *)&sin, &len) == -1)
		return 0;
	return ntohl(sin.sin_addr.s_addr);
}

bool
cut_is_from(int fd, const char *address)
{
	struct in_addr in;

	return inet_pton(AF_INET, address, &in) == 1 &&
	       cut_peer_address(fd) == ntohl(in.s_addr);
}

enum cut_how
cut_find_peer(const struct cut *c, int fd)
{
	uint32_t address = cut_peer_address(fd);
	unsigned int i;

	for (i = 0; i < c->n; i++) {
		if (c->from[i].address == address)
			return c->from[i].how;
	}
	return CUT_NONE;
}
