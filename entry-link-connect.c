/*
 * New connections to backend servers and other nodes.
 */

#define LOG_PART "link"
#include "entry-link-private.h"

#include <sys/socket.h>

#include <netinet/in.h>

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include "tcp-options.h"

/* Idle time of a connection before its server is probed, in s. */
#define LINK_KEEPALIVE_S 1
#define LINK_HEAD_MAX 65536
#define LINK_BODY_MAX ((uint64_t)1 << 40)

static bool
link_bind_outgoing(const struct entry *e, int fd)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int on = 1;

	if (e->settings->outgoing_address == 0)
		return true;
	sin.sin_addr.s_addr = htonl(e->settings->outgoing_address);
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
	return bind(fd, (struct sockaddr *)&sin, sizeof sin) == 0;
}

int
link_open_socket(struct entry *e, uint32_t address, uint16_t port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int fd, error;

	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd == -1 || !link_bind_outgoing(e, fd)) {
		error = errno;
		log_warn("cannot create a socket: %s", g_strerror(error));
		if (fd != -1)
			close(fd);
		errno = error;
		return -1;
	}
	tcp_set_options(fd, LINK_KEEPALIVE_S, LINK_UNACKED_MS);
	sin.sin_addr.s_addr = htonl(address);
	sin.sin_port = htons(port);
	if (connect(fd, (struct sockaddr *)&sin, sizeof sin) == 0 ||
	    errno == EINPROGRESS)
		return fd;
	error = errno;
	close(fd);
	errno = error;
	return -1;
}

bool
link_leads_to_server(struct entry *e, const struct server *v)
{
	return servers_find(&e->servers, v->id) == v;
}

bool
link_begin_connect(struct link *k)
{
	struct entry *e = k->owner;
	struct server *v = k->server;
	int fd = link_open_socket(e, v->address, v->port);

	k->io = (struct loop_io){ link_ready, fd, 0 };
	if (fd == -1) {
		k->connect_refused = errno == ECONNREFUSED;
		server_doubt(v, e->loop.now);
		return false;
	}
	if (k->patient)
		tcp_set_unacked(fd, LINK_PATIENT_UNACKED_MS);
	k->starts = v->starts;
	k->known = false;
	k->connecting = true;
	link_set_list(k, &link_pool_of(v)->connecting);
	e->counters.connects++;
	return loop_watch(&e->loop, &k->io, EPOLLOUT);
}

void
link_discard(struct link *k, msec now)
{
	struct server *v = k->server;

	if (k->connect_refused && link_leads_to_server(k->owner, v))
		entry_poison_connection_refused(k->owner, v, now);
	k->job = NULL;
	link_free(k);
}

/* A node adds fields to the answer that it passes on. */
static void
link_init_reader(struct link *k)
{
	bool node = !link_leads_to_server(k->owner, k->server);

	http_reader_init(&k->reader, false,
	    LINK_HEAD_MAX + (node ? HANDOFF_HEAD_BYTES : 0), LINK_BODY_MAX,
	    link_answer_body, k);
	if (node)
		k->reader.fields_max = HTTP_FIELDS_MAX_NODES;
}

struct link *
link_connect(struct entry *e, struct server *v, bool patient, msec now)
{
	struct link *k = g_new0(struct link, 1);

	k->owner = e;
	k->server = v;
	k->patient = patient;
	k->domain = strcmp(v->domain, e->settings->domain) == 0
			? NET_OWN_DOMAIN
			: NET_OTHER_DOMAIN;
	v->links++;
	link_init_reader(k);
	loop_timer_init(&k->timer, link_timer, k);
	if (!link_begin_connect(k)) {
		link_discard(k, now);
		return NULL;
	}
	return k;
}

bool
link_connected(struct link *k)
{
	int error = 0;
	socklen_t len = sizeof error;

	if (getsockopt(k->io.fd, SOL_SOCKET, SO_ERROR, &error, &len) == -1 ||
	    error != 0) {
		log_debug("cannot connect to %s: %s", k->server->name,
		    g_strerror(error));
		k->connect_refused = error == ECONNREFUSED;
		server_doubt(k->server, k->owner->loop.now);
		return false;
	}
	k->connecting = false;
	link_set_list(k, &link_pool_of(k->server)->busy);
	loop_timer_stop(&k->owner->loop, &k->timer);
	return true;
}
