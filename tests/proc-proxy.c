/*
 * The fault-injecting proxy does what it is told: a test that trusts a cut or
 * a lost datagram would prove nothing if the proxy let it pass.
 */

#define LOG_PART "test"
#include "util-proc.h"
#include "util-proxy.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>

#define STREAM "/v1/completions"
#define REQUEST                                              \
	"{\"model\":\"m\",\"stream\":true,\"prompt\":\"p\"," \
	"\"x_tokens\":50,\"user\":\"u\"}"
#define DATAGRAMS 200  /* fits a socket's usual buffer */
#define RECEIVE_MS 300 /* silence that ends a count */

/* An engine with a proxy in front of it. */
struct front {
	struct proc engine;
	struct proxy *proxy;
	struct proxy_faults faults;
};

static void
front_init(struct front *f)
{
	proc_start(&f->engine, "engine", "--model", "m@1", "--token-ms", "0");
	f->proxy = proxy_start(PROXY_TCP, f->engine.port, 1);
	f->faults = proxy_no_faults;
}

static void
front_finish(struct front *f)
{
	proxy_stop(f->proxy);
	g_assert_cmpint(proc_stop(&f->engine), ==, 0);
}

static void
front_call(struct front *f, struct http_reply *r)
{
	proxy_set(f->proxy, &f->faults);
	http_call(r, "POST", proxy_port(f->proxy), STREAM, REQUEST, NULL);
}

static void
assert_executed(struct front *f, int64_t n)
{
	g_assert_cmpint(
	    http_get_number(f->engine.port, "/stats", "executed"), ==, n);
}

static void
test_tcp_passes(void)
{
	struct http_reply whole, r;
	struct front f;
	msec start;

	front_init(&f);
	http_call(&whole, "POST", f.engine.port, STREAM, REQUEST, NULL);
	g_assert_cmpint(whole.status, ==, 200);
	start = msec_now();
	f.faults.delay = 100;
	front_call(&f, &r);
	g_assert_cmpint(msec_now() - start, >=, 2 * f.faults.delay);
	g_assert_cmpstr(r.text, ==, whole.text);
	http_reply_free(&r);
	http_reply_free(&whole);
	front_finish(&f);
}

static void
test_tcp_cut_answer(void)
{
	struct http_reply r;
	struct front f;

	front_init(&f);
	f.faults.cut_to_client = 500;
	front_call(&f, &r);
	g_assert_cmpint(r.curl, !=, CURLE_OK);
	g_assert_cmpuint(strlen(r.text), >, 0);
	g_assert_cmpuint(strlen(r.text), <, 500);
	http_reply_free(&r);
	f.faults.cut_to_client = 0;
	f.faults.cut = PROXY_CUT_RESET;
	front_call(&f, &r);
	g_assert_cmpint(r.status, ==, 0);
	g_assert_cmpuint(strlen(r.text), ==, 0);
	http_reply_free(&r);
	/* The engine ran both all the same. */
	assert_executed(&f, 2);
	g_assert_cmpuint(proxy_counters(f.proxy).cut, ==, 2);
	front_finish(&f);
}

static void
test_tcp_cut_request(void)
{
	struct http_reply r;
	struct front f;

	front_init(&f);
	f.faults.cut_to_server = 60;
	front_call(&f, &r);
	g_assert_cmpint(r.status, ==, 0);
	http_reply_free(&r);
	assert_executed(&f, 0);
	f.faults = proxy_no_faults;
	front_call(&f, &r);
	g_assert_cmpint(r.status, ==, 200);
	http_reply_free(&r);
	front_finish(&f);
}

static int
socket_connect(unsigned int port, int type)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	struct timeval tv = { 0, RECEIVE_MS * 1000 };
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);

	sin.sin_port = htons((uint16_t)port);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof tv);
	g_assert_no_errno(connect(fd, (struct sockaddr *)&sin, sizeof sin));
	return fd;
}

/*
 * One direction ends and the other stays open: the caller sees the end of
 * the answer while its connection still takes data.
 */
static void
test_tcp_half_close(void)
{
	const char *get = "GET /stats HTTP/1.1\r\nHost: x\r\n\r\n";
	ssize_t n, got = 0;
	struct front f;
	char buf[256];
	int fd, i;

	front_init(&f);
	f.faults.cut_to_client = 10;
	f.faults.cut = PROXY_CUT_HALF;
	proxy_set(f.proxy, &f.faults);
	fd = socket_connect(proxy_port(f.proxy), SOCK_STREAM);
	g_assert_cmpint(write(fd, get, strlen(get)), ==, strlen(get));
	for (i = 0; i < 100; i++) {
		n = read(fd, buf, sizeof buf);
		if (n == 0)
			break;
		got += n > 0 ? n : 0;
	}
	g_assert_cmpint(n, ==, 0);
	g_assert_cmpint(got, ==, 10);
	g_assert_cmpint(send(fd, "x", 1, MSG_NOSIGNAL), ==, 1);
	close(fd);
	front_finish(&f);
}

static void
test_tcp_refuse(void)
{
	struct http_reply r;
	struct front f;

	front_init(&f);
	f.faults.refuse = true;
	front_call(&f, &r);
	g_assert_cmpint(r.curl, ==, CURLE_COULDNT_CONNECT);
	http_reply_free(&r);
	f.faults.refuse = false;
	front_call(&f, &r);
	g_assert_cmpint(r.status, ==, 200);
	http_reply_free(&r);
	assert_executed(&f, 1);
	front_finish(&f);
}

/* The kernel gives these to whoever connects, or asks for any port. */
static unsigned int
kernel_ports_first(void)
{
	g_autofree char *text = NULL;

	g_assert_true(g_file_get_contents(
	    "/proc/sys/net/ipv4/ip_local_port_range", &text, NULL, NULL));
	return (unsigned int)strtoul(text, NULL, 10);
}

/* Guards against a port that is another program's after a refusal. */
static void
test_ports(void)
{
	unsigned int first = kernel_ports_first();
	struct proxy *tcp = proxy_start(PROXY_TCP, 9, 1);
	struct proxy *udp = proxy_start(PROXY_UDP, 9, 1);

	g_assert_cmpuint(proxy_port(tcp), <, first);
	g_assert_cmpuint(proxy_port(udp), <, first);
	proxy_stop(tcp);
	proxy_stop(udp);
}

static void *
blackhole_call(void *arg)
{
	struct front *f = arg;
	struct http_reply *r = g_new0(struct http_reply, 1);

	http_call(r, "POST", proxy_port(f->proxy), STREAM, REQUEST, NULL);
	return r;
}

/* Nothing passes until the hole is closed, and then all that waited does. */
static void
test_tcp_blackhole(void)
{
	struct http_reply *r;
	struct front f;
	GThread *thread;

	front_init(&f);
	f.faults.blackhole = true;
	proxy_set(f.proxy, &f.faults);
	thread = g_thread_new("call", blackhole_call, &f);
	g_usleep(200000);
	assert_executed(&f, 0);
	f.faults.blackhole = false;
	proxy_set(f.proxy, &f.faults);
	r = g_thread_join(thread);
	g_assert_cmpint(r->status, ==, 200);
	http_reply_free(r);
	g_free(r);
	front_finish(&f);
}

static void *
cut_call(void *arg)
{
	struct front *f = arg;
	struct http_reply *r = g_new0(struct http_reply, 1);

	http_call(r, "POST", proxy_port(f->proxy), STREAM,
	    "{\"model\":\"m\",\"stream\":true,\"prompt\":\"p\","
	    "\"x_tokens\":100000}",
	    NULL);
	return r;
}

static bool
engine_is_running(void *arg)
{
	struct front *f = arg;

	return http_get_number(f->engine.port, "/stats", "running") == 1;
}

static bool
engine_has_cancelled(void *arg)
{
	struct front *f = arg;

	return http_get_number(f->engine.port, "/stats", "cancelled") == 1;
}

static void
test_tcp_cut_now(void)
{
	struct http_reply *r;
	struct front f;
	GThread *thread;

	proc_start(&f.engine, "engine", "--model", "m@1", "--token-ms", "5");
	f.proxy = proxy_start(PROXY_TCP, f.engine.port, 1);
	thread = g_thread_new("call", cut_call, &f);
	g_assert_true(wait_until(engine_is_running, &f, 10000));
	proxy_cut_all(f.proxy);
	r = g_thread_join(thread);
	g_assert_cmpint(r->curl, !=, CURLE_OK);
	g_assert_true(wait_until(engine_has_cancelled, &f, 10000));
	http_reply_free(r);
	g_free(r);
	front_finish(&f);
}

/* UDP: a server socket of the test's own behind a proxy. */
struct wire {
	int server, client;
	struct proxy *proxy;
	struct proxy_faults faults;
	unsigned int received;
	unsigned int repeated; /* seen before */
	unsigned int late;     /* after a later one */
	bool seen[DATAGRAMS];
};

/*
 * All datagrams and their duplicates lie in the receiver's buffer until all are
 * sent. Linux counts a small one as 832 bytes and doubles what is asked for;
 * its default has room for 256.
 */
#define SERVER_ROOM (832 * 2 * DATAGRAMS)

static void
wire_init(struct wire *w, uint32_t seed)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	struct timeval tv = { 0, RECEIVE_MS * 1000 };
	socklen_t n = sizeof sin;
	int room = SERVER_ROOM;

	memset(w, 0, sizeof *w);
	w->server = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	setsockopt(w->server, SOL_SOCKET, SO_RCVBUF, &room, sizeof room);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_no_errno(bind(w->server, (struct sockaddr *)&sin, n));
	g_assert_no_errno(getsockname(w->server, (struct sockaddr *)&sin, &n));
	setsockopt(w->server, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof tv);
	w->proxy = proxy_start(PROXY_UDP, ntohs(sin.sin_port), seed);
	w->client = socket_connect(proxy_port(w->proxy), SOCK_DGRAM);
	w->faults = proxy_no_faults;
}

static void
wire_finish(struct wire *w)
{
	proxy_stop(w->proxy);
	close(w->client);
	close(w->server);
}

static void
wire_take(struct wire *w, unsigned int i, unsigned int *newest)
{
	g_assert_cmpuint(i, <, DATAGRAMS);
	w->received++;
	if (w->seen[i])
		w->repeated++;
	else if (i < *newest)
		w->late++;
	w->seen[i] = true;
	*newest = MAX(*newest, i);
}

/* Send all, then count what came. */
static void
wire_run(struct wire *w)
{
	unsigned int i, newest = 0;

	proxy_set(w->proxy, &w->faults);
	for (i = 0; i < DATAGRAMS; i++) {
		g_assert_cmpint(send(w->client, &i, sizeof i, 0), ==, sizeof i);
	}
	while (recv(w->server, &i, sizeof i, 0) == sizeof i)
		wire_take(w, i, &newest);
}

static void
test_udp_passes(void)
{
	struct sockaddr_in peer;
	socklen_t n = sizeof peer;
	struct wire w;
	int word = 7;

	wire_init(&w, 1);
	wire_run(&w);
	g_assert_cmpuint(w.received, ==, DATAGRAMS);
	g_assert_cmpuint(w.late + w.repeated, ==, 0);
	/* And back. */
	g_assert_cmpint(send(w.client, &word, sizeof word, 0), ==, sizeof word);
	g_assert_cmpint(recvfrom(w.server, &word, sizeof word, 0,
			    (struct sockaddr *)&peer, &n),
	    ==, sizeof word);
	word = 8;
	g_assert_cmpint(sendto(w.server, &word, sizeof word, 0,
			    (struct sockaddr *)&peer, n),
	    ==, sizeof word);
	word = 0;
	g_assert_cmpint(recv(w.client, &word, sizeof word, 0), ==, sizeof word);
	g_assert_cmpint(word, ==, 8);
	wire_finish(&w);
}

static void
test_udp_drops(void)
{
	struct proxy_counters c;
	struct wire w;

	wire_init(&w, 2);
	w.faults.drop_permille = 300;
	wire_run(&w);
	c = proxy_counters(w.proxy);
	g_assert_cmpuint(c.dropped, >, DATAGRAMS / 10);
	g_assert_cmpuint(w.received, ==, DATAGRAMS - c.dropped);
	wire_finish(&w);
	wire_init(&w, 2);
	w.faults.drop_permille = 1000;
	wire_run(&w);
	g_assert_cmpuint(w.received, ==, 0);
	wire_finish(&w);
}

static void
test_udp_duplicates(void)
{
	struct proxy_counters c;
	struct wire w;

	wire_init(&w, 3);
	w.faults.duplicate_permille = 300;
	wire_run(&w);
	c = proxy_counters(w.proxy);
	g_assert_cmpuint(c.duplicated, >, DATAGRAMS / 10);
	g_assert_cmpuint(w.repeated, ==, c.duplicated);
	g_assert_cmpuint(w.received, ==, DATAGRAMS + c.duplicated);
	wire_finish(&w);
}

static void
test_udp_reorders(void)
{
	struct wire w;

	wire_init(&w, 4);
	w.faults.reorder_permille = 200;
	wire_run(&w);
	g_assert_cmpuint(proxy_counters(w.proxy).reordered, >, DATAGRAMS / 20);
	g_assert_cmpuint(w.received, ==, DATAGRAMS);
	g_assert_cmpuint(w.late, >, 0);
	wire_finish(&w);
}

/* The same seed drops the same datagrams. */
static void
test_udp_seed(void)
{
	struct wire a, b;

	wire_init(&a, 5);
	a.faults.drop_permille = 500;
	wire_run(&a);
	wire_init(&b, 5);
	b.faults.drop_permille = 500;
	wire_run(&b);
	g_assert_cmpmem(a.seen, sizeof a.seen, b.seen, sizeof b.seen);
	wire_finish(&a);
	wire_finish(&b);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/tcp/passes", test_tcp_passes);
	g_test_add_func("/tcp/cut-answer", test_tcp_cut_answer);
	g_test_add_func("/tcp/cut-request", test_tcp_cut_request);
	g_test_add_func("/tcp/half-close", test_tcp_half_close);
	g_test_add_func("/tcp/refuse", test_tcp_refuse);
	g_test_add_func("/proxy/ports", test_ports);
	g_test_add_func("/tcp/blackhole", test_tcp_blackhole);
	g_test_add_func("/tcp/cut-now", test_tcp_cut_now);
	g_test_add_func("/udp/passes", test_udp_passes);
	g_test_add_func("/udp/drops", test_udp_drops);
	g_test_add_func("/udp/duplicates", test_udp_duplicates);
	g_test_add_func("/udp/reorders", test_udp_reorders);
	g_test_add_func("/udp/seed", test_udp_seed);
	return g_test_run();
}
