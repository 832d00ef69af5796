/*
 * The UDP socket for messages between nodes. Messages to one destination are
 * collected in a frame until the end of the loop's iteration, so that a busy
 * iteration costs a datagram and an HMAC per destination, not per message.
 */

#define LOG_PART "net"
#include "net.h"

#include <sys/socket.h>

#include <netinet/in.h>

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Datagrams read in one call, at most. */
#define NET_READ_MAX 512
/* Bytes for bursts while the loop is busy; the kernel may grant less. */
#define NET_SOCKET_BUFFER (1024 * 1024)

/* A destination with messages to send, or an unused entry of `spares`. */
struct net_peer {
	RB_ENTRY(net_peer) entry;
	LIST_ENTRY(net_peer) spare;
	uint32_t address;
	uint16_t port;
	enum net_domain domain;
	uint64_t bytes[NET_SUBJECTS]; /* of the frame */
	struct net_frame frame;
};
RB_HEAD(net_peer_tree, net_peer);
LIST_HEAD(net_peer_list, net_peer);

struct net_data {
	struct net_peer_tree waiting;
	struct net_peer_list spares;
	struct net_address *own_domain; /* in order */
	unsigned int nown_domain;
	name_id id;
	uint64_t incarnation;
	char *key;
};

static int net_peer_compare(struct net_peer *, struct net_peer *);
static struct net_peer *net_peer_get(struct net *, uint32_t, uint16_t);
static bool net_open(struct net *, uint32_t, uint16_t);
static void net_send_frame(struct net *, struct net_peer *);
static void
net_receive(struct net *, const struct sockaddr_in *, const char *, size_t);

RB_PROTOTYPE(net_peer_tree, net_peer, entry, net_peer_compare)
RB_GENERATE(net_peer_tree, net_peer, entry, net_peer_compare)

static int
net_peer_compare(struct net_peer *a, struct net_peer *b)
{
	if (a->address != b->address)
		return a->address < b->address ? -1 : 1;
	return (int)a->port - (int)b->port;
}

/* ---- counters by subject and failure domain ---- */

static const struct {
	enum sp_kind first; /* kind of the subject's range */
	const char *name;
} net_subjects[] = {
	[NET_MEMBERSHIP] = { SP_PROBE, "membership" },
	[NET_DISPATCH] = { SP_RESERVE, "dispatch" },
	[NET_LIMITS] = { SP_SHARE, "limits" },
	[NET_PLACEMENT] = { SP_PLACE_ASK, "placement" },
	[NET_RELAY] = { SP_RELAY_ASK, "relay" },
	[NET_DUTIES] = { SP_DUTY_BEAT, "duties" },
	[NET_START] = { SP_START_ASK, "start" },
	[NET_POISON] = { SP_POISON_TELL, "poison" },
	[NET_VERSIONS] = { SP_STREAM_TELL, "versions" },
	[NET_HEADERS] = { 0, "headers" },
};

enum net_subject
net_subject_of(enum sp_kind kind)
{
	unsigned int i;

	for (i = NET_HEADERS - 1; i > 0; i--) {
		if (kind >= net_subjects[i].first)
			break;
	}
	return i;
}

const char *
net_subject_name(enum net_subject subject)
{
	return net_subjects[subject].name;
}

static int
net_address_compare(const void *a, const void *b)
{
	const struct net_address *x = a, *y = b;

	if (x->address != y->address)
		return x->address < y->address ? -1 : 1;
	return (int)x->port - (int)y->port;
}

void
net_set_own_domain(
    struct net *n, const struct net_address *list, unsigned int count)
{
	struct net_data *d = n->priv;

	g_free(d->own_domain);
	d->own_domain = g_memdup2(list, count * sizeof *list);
	d->nown_domain = count;
	if (count > 0)
		qsort(d->own_domain, count, sizeof *list, net_address_compare);
}

static enum net_domain
net_domain_of(const struct net_data *d, uint32_t address, uint16_t port)
{
	struct net_address find = { address, port };

	if (d->nown_domain > 0 && bsearch(&find, d->own_domain, d->nown_domain,
				      sizeof find, net_address_compare) != NULL)
		return NET_OWN_DOMAIN;
	return NET_OTHER_DOMAIN;
}

static void
net_frame_begin(struct net *n, struct net_peer *p)
{
	memset(p->bytes, 0, sizeof p->bytes);
	net_frame_init(&p->frame, n->priv->id, n->priv->incarnation);
	p->bytes[NET_HEADERS] = p->frame.used;
}

static bool
net_peer_add(struct net_peer *p, const sp_msg *msg)
{
	size_t before = p->frame.used;

	if (!net_frame_add(&p->frame, msg))
		return false;
	p->bytes[net_subject_of(msg->kind)] += p->frame.used - before;
	return true;
}

static void
net_count_frame(struct net *n, const struct net_peer *p, size_t len)
{
	unsigned int i;

	n->counters.datagrams_out++;
	n->counters.bytes_out += len;
	for (i = 0; i < NET_SUBJECTS; i++)
		n->counters.bytes_out_by[i][p->domain] += p->bytes[i];
}

/* ---- the socket ---- */

static struct net_peer *
net_peer_get(struct net *n, uint32_t address, uint16_t port)
{
	struct net_data *d = n->priv;
	struct net_peer find = { .address = address, .port = port }, *p;

	if ((p = RB_FIND(net_peer_tree, &d->waiting, &find)) != NULL)
		return p;
	if ((p = LIST_FIRST(&d->spares)) != NULL)
		LIST_REMOVE(p, spare);
	else
		p = g_new0(struct net_peer, 1);
	p->address = address;
	p->port = port;
	p->domain = net_domain_of(d, address, port);
	net_frame_begin(n, p);
	RB_INSERT(net_peer_tree, &d->waiting, p);
	return p;
}

static bool
net_open(struct net *n, uint32_t address, uint16_t port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int size = NET_SOCKET_BUFFER;

	n->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (n->fd == -1) {
		log_warn("cannot create a UDP socket: %s", g_strerror(errno));
		return false;
	}
	if (setsockopt(n->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size) == -1)
		log_debug(
		    "cannot enlarge the receive buffer: %s", g_strerror(errno));
	sin.sin_addr.s_addr = htonl(address);
	sin.sin_port = htons(port);
	if (bind(n->fd, (struct sockaddr *)&sin, sizeof sin) == -1) {
		log_warn(
		    "cannot bind UDP port %u: %s", port, g_strerror(errno));
		close(n->fd);
		n->fd = -1;
		return false;
	}
	return true;
}

bool
net_init(struct net *n, const struct net_ops *ops, uint32_t address,
    uint16_t port, name_id id, uint64_t incarnation, const char *key)
{
	struct net_data *d;

	memset(&n->counters, 0, sizeof n->counters);
	n->ops = ops;
	n->priv = NULL;
	if (!net_open(n, address, port))
		return false;
	d = n->priv = g_new0(struct net_data, 1);
	RB_INIT(&d->waiting);
	LIST_INIT(&d->spares);
	d->id = id;
	d->incarnation = incarnation;
	d->key = g_strdup(key);
	return true;
}

void
net_set_incarnation(struct net *n, uint64_t incarnation)
{
	net_flush(n);
	n->priv->incarnation = incarnation;
}

void
net_finish(struct net *n)
{
	struct net_data *d = n->priv;
	struct net_peer *p;

	if (d == NULL)
		return;
	while ((p = RB_MIN(net_peer_tree, &d->waiting)) != NULL) {
		RB_REMOVE(net_peer_tree, &d->waiting, p);
		g_free(p);
	}
	while ((p = LIST_FIRST(&d->spares)) != NULL) {
		LIST_REMOVE(p, spare);
		g_free(p);
	}
	g_free(d->own_domain);
	g_free(d->key);
	g_free(d);
	n->priv = NULL;
	close(n->fd);
	n->fd = -1;
}

uint16_t
net_port(const struct net *n)
{
	struct sockaddr_in sin = { 0 };
	socklen_t len = sizeof sin;

	if (getsockname(n->fd, (struct sockaddr *)&sin, &len) == -1)
		return 0;
	return ntohs(sin.sin_port);
}

static void
net_send_frame(struct net *n, struct net_peer *p)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	size_t len = net_frame_seal(&p->frame, n->priv->key);

	sin.sin_addr.s_addr = htonl(p->address);
	sin.sin_port = htons(p->port);
	if (sendto(n->fd, p->frame.data, len, 0, (struct sockaddr *)&sin,
		sizeof sin) == -1) {
		/* The module that sent a message repeats it or times out. */
		log_debug("datagram dropped: %s", g_strerror(errno));
		n->counters.dropped++;
		return;
	}
	net_count_frame(n, p, len);
}

void
net_send(struct net *n, uint32_t address, uint16_t port, const sp_msg *msg)
{
	struct net_peer *p = net_peer_get(n, address, port);

	if (net_peer_add(p, msg))
		return;
	if (p->frame.count > 0) {
		net_send_frame(n, p);
		net_frame_begin(n, p);
		if (net_peer_add(p, msg))
			return;
	}
	log_warn(
	    "message of kind %d is too large for a datagram", (int)msg->kind);
	n->counters.oversize++;
}

void
net_flush(struct net *n)
{
	struct net_data *d = n->priv;
	struct net_peer *p;

	while ((p = RB_MIN(net_peer_tree, &d->waiting)) != NULL) {
		RB_REMOVE(net_peer_tree, &d->waiting, p);
		if (p->frame.count > 0)
			net_send_frame(n, p);
		LIST_INSERT_HEAD(&d->spares, p, spare);
	}
}

static void
net_receive(
    struct net *n, const struct sockaddr_in *sin, const char *buf, size_t len)
{
	sp_batch batch;
	u_int i;

	if (!net_decode(&batch, n->priv->key, buf, len)) {
		log_debug("datagram of %zu bytes rejected", len);
		n->counters.rejected++;
		return;
	}
	for (i = 0; i < batch.msgs.msgs_len; i++)
		n->ops->message(n, batch.from, batch.incarnation,
		    ntohl(sin->sin_addr.s_addr), ntohs(sin->sin_port),
		    &batch.msgs.msgs_val[i]);
	net_batch_free(&batch);
}

void
net_read(struct net *n)
{
	/* One byte more than allowed, to detect a datagram that is too long. */
	char buf[NET_DATAGRAM_MAX + 1];
	struct sockaddr_in sin = { 0 };
	socklen_t slen;
	ssize_t len;
	unsigned int i;

	for (i = 0; i < NET_READ_MAX; i++) {
		slen = sizeof sin;
		len = recvfrom(
		    n->fd, buf, sizeof buf, 0, (struct sockaddr *)&sin, &slen);
		if (len == -1)
			return;
		n->counters.datagrams_in++;
		n->counters.bytes_in += (uint64_t)len;
		net_receive(n, &sin, buf, (size_t)len);
	}
}
