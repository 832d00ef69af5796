/*
 * The fault-injecting proxy of the tests; see util-proxy.h. One thread polls
 * all sockets of a proxy. A link is one client's way to the server and back;
 * each of its two directions is a queue of pieces with the time when they go.
 */

#define LOG_PART "proxy"
#include "util-proxy.h"

#include "util-proc.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#define PROXY_EARLY_RESET_MS 2
/* Offset of an IP packet's length in it, and the most of one without data. */
#define PROXY_IP_LENGTH 2
#define PROXY_NO_DATA_MAX 60
#define PROXY_EARLY_ROOM 16384
#define PROXY_PIECE_MAX 65536
#define PROXY_QUEUE_MAX (1024 * 1024) /* then reading waits */
#define PROXY_REORDER_MS 20
#define PROXY_BACKLOG 512
#define PROXY_IDLE_MS 1000

struct piece {
	TAILQ_ENTRY(piece) entry;
	msec due;
	size_t len, sent;
	char data[];
};
TAILQ_HEAD(piece_list, piece);

struct direction {
	int from, to;
	struct piece_list queue;
	size_t queued;
	int64_t passed; /* bytes read */
	bool ended;	/* nothing more is read */
	bool shut;	/* the end was passed on */
	bool cut;	/* it ended by a cut */
};

enum {
	TO_SERVER,
	TO_CLIENT
};

struct link {
	TAILQ_ENTRY(link) entry;
	int client; /* UDP: -1, as clients share the proxy's socket */
	int server;
	struct sockaddr_in peer; /* UDP: the client */
	struct direction way[2];
	bool dead;
};
TAILQ_HEAD(link_list, link);

/* What differs between TCP and UDP. */
struct proxy_ops {
	int type; /* of socket */
	void (*accept)(struct proxy *);
	/* The link and one of its directions. */
	void (*read)(struct proxy *, struct link *, int);
	void (*write)(struct proxy *, struct link *, int, msec);
	void (*free)(struct proxy *, struct link *);
};

struct proxy {
	const struct proxy_ops *ops;
	unsigned int port, target;
	int listener; /* -1 while connections are refused */
	int wake;
	pthread_t thread;
	pthread_mutex_t lock; /* guards what follows */
	pthread_cond_t applied_cond;
	unsigned int changes, applied; /* of faults and orders to cut */
	bool stopping, cut_all;
	struct proxy_faults faults;
	struct proxy_counters counters;
	struct link_list links;
	GRand *rand;
};

const struct proxy_faults proxy_no_faults = { .cut_to_server = -1,
	.cut_to_client = -1 };

static struct sockaddr_in
proxy_address(unsigned int port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };

	sin.sin_port = htons((uint16_t)port);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return sin;
}

static int
proxy_socket(const struct proxy *x)
{
	return socket(AF_INET, x->ops->type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

static void
proxy_listen(struct proxy *x)
{
	struct sockaddr_in sin = proxy_address(x->port);
	int one = 1;

	x->listener = proxy_socket(x);
	setsockopt(x->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
	g_assert_no_errno(
	    bind(x->listener, (struct sockaddr *)&sin, sizeof sin));
	if (x->ops->type == SOCK_STREAM)
		g_assert_no_errno(listen(x->listener, PROXY_BACKLOG));
}

static void
direction_init(struct direction *d, int from, int to)
{
	d->from = from;
	d->to = to;
	TAILQ_INIT(&d->queue);
}

static void
direction_put(struct direction *d, const char *data, size_t n, msec due)
{
	struct piece *p = g_malloc(sizeof *p + n);

	p->due = due;
	p->len = n;
	p->sent = 0;
	memcpy(p->data, data, n);
	TAILQ_INSERT_TAIL(&d->queue, p, entry);
	d->queued += n;
}

static void
direction_drop(struct direction *d, struct piece *p)
{
	TAILQ_REMOVE(&d->queue, p, entry);
	d->queued -= p->len;
	g_free(p);
}

static void
direction_finish(struct direction *d)
{
	struct piece *p, *next;

	TAILQ_FOREACH_SAFE (p, &d->queue, entry, next)
		direction_drop(d, p);
}

static struct link *
link_new(struct proxy *x, int client, int server)
{
	struct link *l = g_new0(struct link, 1);

	l->client = client;
	l->server = server;
	direction_init(&l->way[TO_SERVER], client, server);
	direction_init(&l->way[TO_CLIENT], server, client);
	TAILQ_INSERT_TAIL(&x->links, l, entry);
	x->counters.connections++;
	return l;
}

static void
link_free(struct proxy *x, struct link *l)
{
	TAILQ_REMOVE(&x->links, l, entry);
	direction_finish(&l->way[TO_SERVER]);
	direction_finish(&l->way[TO_CLIENT]);
	close(l->server);
	g_free(l);
}

static void
link_reset(const struct link *l)
{
	struct linger hard = { 1, 0 };

	setsockopt(l->client, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
	setsockopt(l->server, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
}

/* TCP. */

/* Of what arrives for the socket: nothing but connections is let through. */
static void
tcp_filter(int fd, bool lose_data)
{
	struct sock_filter code[] = {
		BPF_STMT(BPF_LD | BPF_H | BPF_ABS,
		    (uint32_t)SKF_NET_OFF + PROXY_IP_LENGTH),
		BPF_JUMP(BPF_JMP | BPF_JGT | BPF_K, PROXY_NO_DATA_MAX, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	struct sock_fprog program = { G_N_ELEMENTS(code), code };
	int none = 0;

	if (lose_data)
		setsockopt(
		    fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
	else
		setsockopt(
		    fd, SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof none);
}

static void
tcp_filter_all(struct proxy *x)
{
	struct link *l;

	if (x->listener != -1)
		tcp_filter(x->listener, x->faults.lose_data);
	TAILQ_FOREACH (l, &x->links, entry)
		tcp_filter(l->client, x->faults.lose_data);
}

static void
tcp_accept(struct proxy *x)
{
	struct sockaddr_in sin = proxy_address(x->target);
	int client, server, room = PROXY_EARLY_ROOM;

	client = accept4(x->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (client == -1)
		return;
	tcp_filter(client, x->faults.lose_data);
	/* Or the kernel takes a whole request that is not read at once. */
	if (x->faults.early_answer != NULL)
		setsockopt(client, SOL_SOCKET, SO_RCVBUF, &room, sizeof room);
	server = proxy_socket(x);
	if (connect(server, (struct sockaddr *)&sin, sizeof sin) == -1 &&
	    errno != EINPROGRESS) {
		close(server);
		close(client);
		return;
	}
	link_new(x, client, server);
}

/* How many of n bytes may pass before the cut. */
static size_t
tcp_allowed(
    const struct proxy *x, const struct direction *d, bool to_server, size_t n)
{
	int64_t limit;

	limit = to_server ? x->faults.cut_to_server : x->faults.cut_to_client;
	if (limit < 0 || d->passed + (int64_t)n <= limit)
		return n;
	return (size_t)MAX(limit - d->passed, 0);
}

static void
tcp_answer_early(struct proxy *x, struct link *l)
{
	const char *text = x->faults.early_answer;

	send(l->client, text, strlen(text), MSG_NOSIGNAL);
	shutdown(l->client, SHUT_WR);
	g_usleep(PROXY_EARLY_RESET_MS * 1000);
	link_reset(l);
	l->dead = true;
	x->counters.cut++;
}

static void
tcp_read(struct proxy *x, struct link *l, int which)
{
	struct direction *d = &l->way[which];
	char buf[PROXY_PIECE_MAX];
	ssize_t got;
	size_t n;

	if (d->ended)
		return;
	if (which == TO_SERVER && x->faults.early_answer != NULL) {
		tcp_answer_early(x, l);
		return;
	}
	got = recv(d->from, buf, sizeof buf, 0);
	if (got == -1 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got <= 0) {
		d->ended = true;
		l->dead = l->dead || got == -1;
		return;
	}
	n = tcp_allowed(x, d, which == TO_SERVER, (size_t)got);
	d->passed += (int64_t)n;
	if (n > 0)
		direction_put(d, buf, n, msec_now() + x->faults.delay);
	if (n < (size_t)got) {
		d->ended = d->cut = true;
		x->counters.cut++;
	}
}

static void
tcp_end(struct proxy *x, struct link *l, struct direction *d)
{
	d->shut = true;
	if (!d->cut || x->faults.cut == PROXY_CUT_HALF) {
		shutdown(d->to, SHUT_WR);
		l->dead = l->dead ||
			  (l->way[TO_SERVER].shut && l->way[TO_CLIENT].shut);
		return;
	}
	if (x->faults.cut == PROXY_CUT_RESET)
		link_reset(l);
	l->dead = true;
}

static void
tcp_write(struct proxy *x, struct link *l, int which, msec now)
{
	struct direction *d = &l->way[which];
	struct piece *p, *next;
	ssize_t n;

	TAILQ_FOREACH_SAFE (p, &d->queue, entry, next) {
		if (p->due > now)
			return;
		n = send(
		    d->to, p->data + p->sent, p->len - p->sent, MSG_NOSIGNAL);
		if (n == -1 && errno != EAGAIN && errno != EINTR)
			l->dead = true;
		if (n == -1)
			return;
		p->sent += (size_t)n;
		if (p->sent < p->len)
			return;
		direction_drop(d, p);
	}
	if (d->ended && !d->shut)
		tcp_end(x, l, d);
}

static void
tcp_free(struct proxy *x, struct link *l)
{
	close(l->client);
	link_free(x, l);
}

static const struct proxy_ops tcp_ops = { SOCK_STREAM, tcp_accept, tcp_read,
	tcp_write, tcp_free };

/* UDP. */

static bool
udp_chance(struct proxy *x, unsigned int permille)
{
	return (unsigned int)g_rand_int_range(x->rand, 0, 1000) < permille;
}

static void
udp_queue(struct proxy *x, struct direction *d, const char *data, size_t n)
{
	msec due = msec_now() + x->faults.delay;

	x->counters.datagrams++;
	if (udp_chance(x, x->faults.drop_permille)) {
		x->counters.dropped++;
		return;
	}
	if (udp_chance(x, x->faults.reorder_permille)) {
		x->counters.reordered++;
		due += PROXY_REORDER_MS;
	}
	direction_put(d, data, n, due);
	if (!udp_chance(x, x->faults.duplicate_permille))
		return;
	x->counters.duplicated++;
	direction_put(d, data, n, due);
}

/* Each client gets a socket of its own, so that answers find their way. */
static struct link *
udp_link(struct proxy *x, const struct sockaddr_in *peer)
{
	struct sockaddr_in sin = proxy_address(x->target);
	struct link *l;
	int server;

	TAILQ_FOREACH (l, &x->links, entry) {
		if (l->peer.sin_port == peer->sin_port &&
		    l->peer.sin_addr.s_addr == peer->sin_addr.s_addr)
			return l;
	}
	server = proxy_socket(x);
	g_assert_no_errno(connect(server, (struct sockaddr *)&sin, sizeof sin));
	l = link_new(x, -1, server);
	l->peer = *peer;
	return l;
}

static void
udp_accept(struct proxy *x)
{
	char buf[PROXY_PIECE_MAX];
	struct sockaddr_in peer = { 0 };
	socklen_t size = sizeof peer;
	ssize_t n;

	n = recvfrom(
	    x->listener, buf, sizeof buf, 0, (struct sockaddr *)&peer, &size);
	if (n >= 0)
		udp_queue(
		    x, &udp_link(x, &peer)->way[TO_SERVER], buf, (size_t)n);
}

/* Only from the server; udp_accept() reads what clients send. */
static void
udp_read(struct proxy *x, struct link *l, int which)
{
	char buf[PROXY_PIECE_MAX];
	ssize_t n = recv(l->server, buf, sizeof buf, 0);

	if (n >= 0)
		udp_queue(x, &l->way[which], buf, (size_t)n);
}

static void
udp_send(const struct proxy *x, const struct link *l, int which,
    const struct piece *p)
{
	const struct sockaddr *peer = (const struct sockaddr *)&l->peer;
	ssize_t n;

	if (which == TO_SERVER)
		n = send(l->server, p->data, p->len, 0);
	else
		n = sendto(
		    x->listener, p->data, p->len, 0, peer, sizeof l->peer);
	if (n == -1)
		log_debug("datagram not sent: %s", g_strerror(errno));
}

static void
udp_write(struct proxy *x, struct link *l, int which, msec now)
{
	struct direction *d = &l->way[which];
	struct piece *p, *next;

	TAILQ_FOREACH_SAFE (p, &d->queue, entry, next) {
		if (p->due > now)
			continue;
		udp_send(x, l, which, p);
		direction_drop(d, p);
	}
}

static const struct proxy_ops udp_ops = { SOCK_DGRAM, udp_accept, udp_read,
	udp_write, link_free };

/* The loop. */

static void
proxy_apply_cut(struct proxy *x)
{
	struct link *l;

	if (!x->cut_all)
		return;
	x->cut_all = false;
	TAILQ_FOREACH (l, &x->links, entry) {
		if (x->faults.cut == PROXY_CUT_RESET)
			link_reset(l);
		l->dead = true;
		x->counters.cut++;
	}
}

static void
proxy_apply(struct proxy *x)
{
	if (x->faults.refuse && x->listener != -1) {
		close(x->listener);
		x->listener = -1;
	}
	if (x->listener == -1 && !x->faults.refuse)
		proxy_listen(x);
	proxy_apply_cut(x);
	if (x->applied != x->changes) {
		if (x->ops == &tcp_ops)
			tcp_filter_all(x);
		x->applied = x->changes;
		pthread_cond_broadcast(&x->applied_cond);
	}
}

static void
proxy_write(struct proxy *x, msec now)
{
	struct link *l, *next;
	int i;

	TAILQ_FOREACH_SAFE (l, &x->links, entry, next) {
		for (i = 0; i < 2 && !x->faults.blackhole; i++)
			x->ops->write(x, l, i, now);
		if (l->dead)
			x->ops->free(x, l);
	}
}

static short
proxy_events(const struct proxy *x, const struct link *l, int which, msec now)
{
	const struct direction *in = &l->way[which];
	const struct direction *out = &l->way[!which];
	const struct piece *p = TAILQ_FIRST(&out->queue);
	short events = 0;

	if (x->faults.blackhole)
		return 0;
	if (!in->ended && in->queued < PROXY_QUEUE_MAX)
		events |= POLLIN;
	if (x->ops->type == SOCK_STREAM && p != NULL && p->due <= now)
		events |= POLLOUT;
	return events;
}

/* Milliseconds until a piece is due. */
static int
proxy_timeout(const struct proxy *x, msec now)
{
	msec due = now + PROXY_IDLE_MS;
	const struct link *l;
	const struct piece *p;
	int i;

	TAILQ_FOREACH (l, &x->links, entry) {
		for (i = 0; i < 2 && !x->faults.blackhole; i++) {
			TAILQ_FOREACH (p, &l->way[i].queue, entry) {
				/* Due already: POLLOUT tells of it. */
				if (p->due > now && p->due < due)
					due = p->due;
			}
		}
	}
	return (int)(due - now);
}

static struct pollfd *
proxy_pollfds(const struct proxy *x, msec now, nfds_t *n)
{
	GArray *fds = g_array_new(FALSE, TRUE, sizeof(struct pollfd));
	const struct link *l;
	struct pollfd fd = { .fd = x->wake, .events = POLLIN };

	/* GLib's locks round the array's head are not instrumented. */
	*n = 2;
	g_array_append_val(fds, fd);
	fd.fd = x->listener;
	g_array_append_val(fds, fd);
	TAILQ_FOREACH (l, &x->links, entry) {
		*n += 2;
		fd.events = proxy_events(x, l, TO_SERVER, now);
		/* Without events a hang-up would still be reported. */
		fd.fd = fd.events != 0 ? l->client : -1;
		g_array_append_val(fds, fd);
		fd.events = proxy_events(x, l, TO_CLIENT, now);
		fd.fd = fd.events != 0 ? l->server : -1;
		g_array_append_val(fds, fd);
	}
	return (struct pollfd *)g_array_free(fds, FALSE);
}

static void
proxy_read(struct proxy *x, const struct pollfd *fds)
{
	const struct pollfd *fd = fds + 2;
	struct link *l;

	TAILQ_FOREACH (l, &x->links, entry) {
		if (fd[0].revents & ~POLLOUT)
			x->ops->read(x, l, TO_SERVER);
		if (fd[1].revents & ~POLLOUT)
			x->ops->read(x, l, TO_CLIENT);
		fd += 2;
	}
	/* Last, since it may add links that were not polled. */
	if (fds[1].revents != 0)
		x->ops->accept(x);
}

static void *
proxy_run(void *arg)
{
	struct proxy *x = arg;
	struct pollfd *fds;
	uint64_t count;
	nfds_t n;
	int timeout;
	msec now;

	pthread_mutex_lock(&x->lock);
	while (!x->stopping) {
		proxy_apply(x);
		/*
		 * One time for all three: a piece that fell due between two
		 * readings would be neither written nor waited for.
		 */
		now = msec_now();
		proxy_write(x, now);
		fds = proxy_pollfds(x, now, &n);
		timeout = proxy_timeout(x, now);
		pthread_mutex_unlock(&x->lock);
		poll(fds, n, timeout);
		if (read(x->wake, &count, sizeof count) == -1)
			count = 0;
		pthread_mutex_lock(&x->lock);
		proxy_read(x, fds);
		g_free(fds);
	}
	pthread_mutex_unlock(&x->lock);
	return NULL;
}

static void
proxy_wake(struct proxy *x)
{
	uint64_t one = 1;

	if (write(x->wake, &one, sizeof one) == -1)
		log_debug("wake-up is already pending");
}

struct proxy *
proxy_start(enum proxy_kind kind, unsigned int target, uint32_t seed)
{
	struct proxy *x = g_new0(struct proxy, 1);

	x->ops = kind == PROXY_TCP ? &tcp_ops : &udp_ops;
	/* Not of those that the kernel would hand out while it refuses. */
	x->port = kind == PROXY_TCP ? port_free_tcp() : port_free_udp();
	x->target = target;
	x->faults = proxy_no_faults;
	x->rand = g_rand_new_with_seed(seed);
	TAILQ_INIT(&x->links);
	pthread_mutex_init(&x->lock, NULL);
	pthread_cond_init(&x->applied_cond, NULL);
	x->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	proxy_listen(x);
	g_assert_cmpint(pthread_create(&x->thread, NULL, proxy_run, x), ==, 0);
	return x;
}

void
proxy_stop(struct proxy *x)
{
	struct link *l, *next;

	pthread_mutex_lock(&x->lock);
	x->stopping = true;
	pthread_mutex_unlock(&x->lock);
	proxy_wake(x);
	pthread_join(x->thread, NULL);
	TAILQ_FOREACH_SAFE (l, &x->links, entry, next)
		x->ops->free(x, l);
	if (x->listener != -1)
		close(x->listener);
	close(x->wake);
	pthread_cond_destroy(&x->applied_cond);
	pthread_mutex_destroy(&x->lock);
	g_rand_free(x->rand);
	g_free(x);
}

unsigned int
proxy_port(const struct proxy *x)
{
	return x->port;
}

/* A test goes on only when its change is in force. Lock held. */
static void
proxy_await(struct proxy *x)
{
	unsigned int mine = ++x->changes;

	proxy_wake(x);
	while ((int)(x->applied - mine) < 0)
		pthread_cond_wait(&x->applied_cond, &x->lock);
}

void
proxy_set(struct proxy *x, const struct proxy_faults *faults)
{
	pthread_mutex_lock(&x->lock);
	x->faults = *faults;
	proxy_await(x);
	pthread_mutex_unlock(&x->lock);
}

void
proxy_cut_all(struct proxy *x)
{
	pthread_mutex_lock(&x->lock);
	x->cut_all = true;
	proxy_await(x);
	pthread_mutex_unlock(&x->lock);
}

struct proxy_counters
proxy_counters(struct proxy *x)
{
	struct proxy_counters c;

	pthread_mutex_lock(&x->lock);
	c = x->counters;
	pthread_mutex_unlock(&x->lock);
	return c;
}
