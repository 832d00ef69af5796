/*
 * Messages between nodes: every encoded message is decoded, and nothing else is
 * accepted.
 */

#include "entry-list.h"
#include "net.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <poll.h>
#include <string.h>
#include <unistd.h>

#define KEY "0123456789abcdef"
#define LOOPBACK 0x7f000001U

static char name[] = "entry-1", domain[] = "hall-grandi";

/* One message of every kind, with its variable parts filled. */
static unsigned int
messages_make(sp_msg *msgs, sp_news *news, sp_load *load, sp_running_one *one)
{
	static const sp_kind kinds[] = { SP_PROBE, SP_PROBE_ACK,
		SP_PROBE_REQUEST, SP_SYNC, SP_SYNC_PAGE, SP_RESERVE, SP_GRANT,
		SP_REFUSE, SP_CANCEL, SP_DONE, SP_RUNNING, SP_PREEMPT,
		SP_SHARE };
	unsigned int i;

	*news = (sp_news){ .name = name,
		.domain = domain,
		.incarnation = 1ULL << 60,
		.refutation = 3,
		.state = SP_SUSPECT,
		.leaving = TRUE,
		.address = LOOPBACK,
		.peer_port = 7000,
		.caller_port = 8000,
		.control_port = 9000 };
	*load = (sp_load){ 5, 6, 7, 8 };
	*one = (sp_running_one){ 1, 2 };
	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		memset(&msgs[i], 0, sizeof msgs[i]);
		msgs[i].kind = kinds[i];
	}
	for (i = 0; i < 2; i++) {
		msgs[i].sp_msg_u.probe.news.news_len = 1;
		msgs[i].sp_msg_u.probe.news.news_val = news;
		msgs[i].sp_msg_u.probe.loads.loads_len = 1;
		msgs[i].sp_msg_u.probe.loads.loads_val = load;
	}
	msgs[4].sp_msg_u.sync_page.news.news_len = 1;
	msgs[4].sp_msg_u.sync_page.news.news_val = news;
	msgs[10].sp_msg_u.running.list.list_len = 1;
	msgs[10].sp_msg_u.running.list.list_val = one;
	return G_N_ELEMENTS(kinds);
}

static size_t
batch_make(char *buf, size_t size)
{
	sp_running_one one;
	sp_msg msgs[16];
	sp_batch batch;
	sp_news news;
	sp_load load;

	memset(&batch, 0, sizeof batch);
	batch.from = 99;
	batch.incarnation = 1234567890123ULL;
	batch.msgs.msgs_len = messages_make(msgs, &news, &load, &one);
	batch.msgs.msgs_val = msgs;
	return net_encode(&batch, KEY, buf, size);
}

static void
test_round_trip(void)
{
	char buf[NET_DATAGRAM_MAX], again[NET_DATAGRAM_MAX];
	sp_batch batch;
	sp_news *news;
	size_t len;

	len = batch_make(buf, sizeof buf);
	g_assert_cmpuint(len, >, 0);
	g_assert_true(net_decode(&batch, KEY, buf, len));
	g_assert_cmpuint(batch.from, ==, 99);
	g_assert_cmpuint(batch.incarnation, ==, 1234567890123ULL);
	g_assert_cmpuint(batch.msgs.msgs_len, ==, 13);
	news = batch.msgs.msgs_val[0].sp_msg_u.probe.news.news_val;
	g_assert_cmpstr(news->name, ==, name);
	g_assert_cmpstr(news->domain, ==, domain);
	g_assert_cmpuint(news->incarnation, ==, 1ULL << 60);
	g_assert_true(news->leaving);
	g_assert_cmpuint(net_encode(&batch, KEY, again, sizeof again), ==, len);
	g_assert_cmpmem(buf, len, again, len);
	net_batch_free(&batch);
}

/*
 * A datagram is truncated at any length, or has bytes appended. Each must be
 * detected; a part of a batch must never be processed.
 */
static void
test_truncated(void)
{
	char buf[NET_DATAGRAM_MAX + 8] = { 0 };
	sp_batch batch;
	size_t len, n;

	len = batch_make(buf, NET_DATAGRAM_MAX);
	for (n = 0; n < len + 8; n++) {
		if (n != len)
			g_assert_false(net_decode(&batch, KEY, buf, n));
	}
	g_assert_true(net_decode(&batch, KEY, buf, len));
	net_batch_free(&batch);
}

/*
 * A datagram is modified by someone without the key, or by a transmission
 * error: every bit of every byte must be checked, including the header and the
 * HMAC.
 */
static void
test_bit_flips(void)
{
	char buf[NET_DATAGRAM_MAX];
	sp_batch batch;
	size_t len, i;
	int bit;

	len = batch_make(buf, sizeof buf);
	for (i = 0; i < len; i++) {
		for (bit = 0; bit < 8; bit++) {
			buf[i] ^= (char)(1 << bit);
			g_assert_false(net_decode(&batch, KEY, buf, len));
			buf[i] ^= (char)(1 << bit);
		}
	}
	g_assert_false(net_decode(&batch, "0123456789abcdeg", buf, len));
}

/*
 * Nodes are upgraded one after the other to a program whose placement messages
 * have more fields. A new node that decoded an old node's request with the new
 * fields took a rank for a target, so messages of another version are not
 * decoded at all.
 */
static void
test_other_version(void)
{
	/* After xid, direction, RPC version and program; big-endian. */
	const size_t version_at = 16 + 3;
	struct net_frame f;
	sp_batch batch;

	f.used = batch_make(f.data, sizeof f.data);
	g_assert_true(net_decode(&batch, KEY, f.data, f.used));
	f.count = batch.msgs.msgs_len;
	net_batch_free(&batch);
	g_assert_cmpint(f.data[version_at], ==, SAVORY_VERSION_2);
	f.data[version_at]--;
	net_frame_seal(&f, KEY);
	g_assert_false(net_decode(&batch, KEY, f.data, f.used));
	f.data[version_at]++;
	net_frame_seal(&f, KEY);
	g_assert_true(net_decode(&batch, KEY, f.data, f.used));
	net_batch_free(&batch);
}

/*
 * A faulty node with the key sends authenticated garbage. The decoder must
 * refuse it and free all that it had allocated, at any byte.
 */
static void
test_authenticated_nonsense(void)
{
	struct net_frame f;
	sp_batch batch;
	unsigned int i, j;
	GRand *r = g_rand_new_with_seed(1);
	size_t len;

	for (i = 0; i < 20000; i++) {
		len = batch_make(f.data, sizeof f.data);
		f.used = len - 4 * (size_t)g_rand_int_range(r, 0, 30);
		f.count = (unsigned int)g_rand_int_range(r, 0, 80);
		for (j = 0; j < 3; j++)
			f.data[g_rand_int_range(r, 60, (gint32)f.used)] =
			    (char)g_rand_int(r);
		net_frame_seal(&f, KEY);
		if (net_decode(&batch, KEY, f.data, f.used))
			net_batch_free(&batch);
	}
	g_rand_free(r);
}

static void
test_oversize(void)
{
	sp_running_one many[SAVORY_RUNNING_MAX + 1] = { { 0 } };
	sp_news news[SAVORY_NEWS_MAX] = { { 0 } };
	char long_name[NAME_SIZE] = "";
	sp_msg large = { .kind = SP_SYNC_PAGE };
	sp_msg msg = { .kind = SP_RUNNING }, small = { .kind = SP_CANCEL };
	struct net_frame f;
	sp_batch batch = { 0 };
	char buf[64];
	size_t used;
	unsigned int i;

	memset(long_name, 'n', NAME_LEN);
	for (i = 0; i < SAVORY_NEWS_MAX; i++)
		news[i].name = news[i].domain = long_name;
	large.sp_msg_u.sync_page.news.news_val = news;
	large.sp_msg_u.sync_page.news.news_len = SAVORY_NEWS_MAX;
	net_frame_init(&f, 1, 1);
	used = f.used;
	g_assert_false(net_frame_add(&f, &large));
	g_assert_cmpuint(f.used, ==, used);
	g_assert_cmpuint(f.count, ==, 0);
	msg.sp_msg_u.running.list.list_val = many;
	msg.sp_msg_u.running.list.list_len = SAVORY_RUNNING_MAX + 1;
	g_assert_false(net_frame_add(&f, &msg));
	for (i = 0; i < SAVORY_BATCH_MAX; i++)
		g_assert_true(net_frame_add(&f, &small));
	g_assert_false(net_frame_add(&f, &small));
	batch.msgs.msgs_len = 1;
	batch.msgs.msgs_val = &small;
	g_assert_cmpuint(net_encode(&batch, KEY, buf, sizeof buf), ==, 0);
}

struct receiver {
	unsigned int count;
	name_id from;
	uint64_t incarnation;
	uint16_t port;
	uint32_t last_id;
};

static void
receiver_take(struct net *n, name_id from, uint64_t incarnation,
    uint32_t address, uint16_t port, const sp_msg *msg)
{
	struct receiver *r = n->arg;

	g_assert_cmpuint(address, ==, LOOPBACK);
	r->count++;
	r->from = from;
	r->incarnation = incarnation;
	r->port = port;
	r->last_id = msg->sp_msg_u.grant.id;
}

static const struct net_ops ops = { receiver_take };

static void
net_wait(struct net *n)
{
	struct pollfd p = { .fd = n->fd, .events = POLLIN };

	g_assert_cmpint(poll(&p, 1, 5000), ==, 1);
	net_read(n);
}

static void
test_loopback(void)
{
	struct receiver r = { 0 };
	sp_msg msg = { .kind = SP_GRANT };
	struct net a, b;
	unsigned int i;

	a.arg = b.arg = &r;
	g_assert_true(net_init(&a, &ops, LOOPBACK, 0, 11, 12, KEY));
	g_assert_true(net_init(&b, &ops, LOOPBACK, 0, 21, 22, KEY));
	for (i = 0; i < 100; i++) {
		msg.sp_msg_u.grant.id = i;
		net_send(&a, LOOPBACK, net_port(&b), &msg);
	}
	net_flush(&a);
	g_assert_cmpuint(a.counters.datagrams_out, ==, 2);
	while (r.count < 100)
		net_wait(&b);
	g_assert_cmpuint(r.from, ==, 11);
	g_assert_cmpuint(r.incarnation, ==, 12);
	g_assert_cmpuint(r.port, ==, net_port(&a));
	g_assert_cmpuint(r.last_id, ==, 99);
	g_assert_cmpuint(b.counters.bytes_in, ==, a.counters.bytes_out);
	net_flush(&a);
	g_assert_cmpuint(a.counters.datagrams_out, ==, 2);
	net_finish(&a);
	net_finish(&b);
}

/* Guards against bytes that are counted for the wrong subject or domain. */
static void
test_domains(void)
{
	static const uint16_t near = 7001, far = 7002;
	struct net_address own = { LOOPBACK, near };
	sp_msg place = { .kind = SP_PLACE_RETURN };
	sp_msg grant = { .kind = SP_GRANT };
	uint64_t(*by)[NET_DOMAINS], sum = 0;
	unsigned int i, k;
	struct net n;

	g_assert_true(net_init(&n, &ops, LOOPBACK, 0, 11, 12, KEY));
	by = n.counters.bytes_out_by;
	net_set_own_domain(&n, &own, 1);
	net_send(&n, LOOPBACK, near, &grant);
	net_send(&n, LOOPBACK, far, &place);
	net_send(&n, LOOPBACK, far, &place);
	net_flush(&n);
	for (i = 0; i < NET_SUBJECTS; i++) {
		for (k = 0; k < NET_DOMAINS; k++)
			sum += by[i][k];
	}
	g_assert_cmpuint(sum, ==, n.counters.bytes_out);
	g_assert_cmpuint(by[NET_DISPATCH][NET_OWN_DOMAIN], >, 0);
	g_assert_cmpuint(by[NET_DISPATCH][NET_OTHER_DOMAIN], ==, 0);
	g_assert_cmpuint(by[NET_PLACEMENT][NET_OWN_DOMAIN], ==, 0);
	g_assert_cmpuint(by[NET_PLACEMENT][NET_OTHER_DOMAIN], >, 0);
	g_assert_cmpuint(by[NET_HEADERS][NET_OWN_DOMAIN], ==,
	    by[NET_HEADERS][NET_OTHER_DOMAIN]);
	/* A node that is no longer in this domain. */
	net_set_own_domain(&n, NULL, 0);
	net_send(&n, LOOPBACK, near, &grant);
	net_flush(&n);
	g_assert_cmpuint(by[NET_DISPATCH][NET_OTHER_DOMAIN], >, 0);
	net_finish(&n);
}

/*
 * Guards against servers with long names of which other nodes are never told,
 * as the message does not fit a datagram.
 */
static void
test_longest_servers(void)
{
	char id[SAVORY_SERVER_NAME_MAX + 1], other[SAVORY_NAME_MAX + 1],
	    software[SAVORY_SOFTWARE_MAX + 1];
	sp_server list[LIST_SERVERS_PER_MESSAGE];
	sp_msg msg = { .kind = SP_LIST_PART };
	struct net_frame f;
	unsigned int i;

	memset(id, 'n', sizeof id - 1);
	memset(other, 'o', sizeof other - 1);
	memset(software, 's', sizeof software - 1);
	id[sizeof id - 1] = other[sizeof other - 1] = '\0';
	software[sizeof software - 1] = '\0';
	for (i = 0; i < G_N_ELEMENTS(list); i++)
		list[i] = (sp_server){ .name = id,
			.service = other,
			.domain = other,
			.software = software };
	msg.sp_msg_u.list_part.list.list_val = list;
	msg.sp_msg_u.list_part.list.list_len = G_N_ELEMENTS(list);
	net_frame_init(&f, 1, 1);
	g_assert_true(net_frame_add(&f, &msg));
	msg = (sp_msg){ .kind = SP_RELAY_SERVERS };
	msg.sp_msg_u.relay_servers.list.list_val = list;
	msg.sp_msg_u.relay_servers.list.list_len = G_N_ELEMENTS(list);
	net_frame_init(&f, 1, 1);
	g_assert_true(net_frame_add(&f, &msg));
}

/* Guards against a kind of message that is counted for another subject. */
static void
test_subjects(void)
{
	static const struct {
		enum sp_kind kind;
		enum net_subject subject;
	} kinds[] = { { SP_PROBE, NET_MEMBERSHIP },
		{ SP_SYNC_PAGE, NET_MEMBERSHIP }, { SP_RESERVE, NET_DISPATCH },
		{ SP_QUEUED, NET_DISPATCH }, { SP_SHARE, NET_LIMITS },
		{ SP_PLACE_ASK, NET_PLACEMENT },
		{ SP_PLACE_TELL, NET_PLACEMENT },
		{ SP_PLACE_TOOK, NET_PLACEMENT },
		{ SP_PLACE_STEP, NET_PLACEMENT },
		{ SP_PLACE_RETURN, NET_PLACEMENT }, { SP_RELAY_ASK, NET_RELAY },
		{ SP_RELAY_SERVERS, NET_RELAY }, { SP_OUTAGE_TELL, NET_RELAY },
		{ SP_LIST_PART, NET_RELAY }, { SP_DUTY_BEAT, NET_DUTIES },
		{ SP_DEMAND, NET_DUTIES }, { SP_START_ASK, NET_START },
		{ SP_TABLE_PART, NET_START }, { SP_POISON_TELL, NET_POISON },
		{ SP_POISON_DONE, NET_POISON },
		{ SP_STREAM_TELL, NET_VERSIONS },
		{ SP_STREAM_ANSWER, NET_VERSIONS } };
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		g_assert_cmpint(
		    net_subject_of(kinds[i].kind), ==, kinds[i].subject);
}

/*
 * The port is flooded with noise, with datagrams that are too long, and with
 * those of an installation with another key. All are counted and dropped.
 */
static void
test_strangers(void)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	struct receiver r = { 0 };
	sp_msg msg = { .kind = SP_GRANT };
	char noise[3000] = { 1 };
	struct net a, b;

	a.arg = b.arg = &r;
	g_assert_true(
	    net_init(&a, &ops, LOOPBACK, 0, 11, 12, "another key, as long"));
	g_assert_true(net_init(&b, &ops, LOOPBACK, 0, 21, 22, KEY));
	sin.sin_addr.s_addr = htonl(LOOPBACK);
	sin.sin_port = htons(net_port(&b));
	net_send(&a, LOOPBACK, net_port(&b), &msg);
	net_flush(&a);
	g_assert_cmpint(sendto(a.fd, noise, sizeof noise, 0,
			    (struct sockaddr *)&sin, sizeof sin),
	    ==, sizeof noise);
	g_assert_cmpint(
	    sendto(a.fd, noise, 0, 0, (struct sockaddr *)&sin, sizeof sin), ==,
	    0);
	while (b.counters.rejected < 3)
		net_wait(&b);
	g_assert_cmpuint(r.count, ==, 0);
	net_finish(&a);
	net_finish(&b);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/net/round-trip", test_round_trip);
	g_test_add_func("/net/truncated", test_truncated);
	g_test_add_func("/net/bit-flips", test_bit_flips);
	g_test_add_func(
	    "/net/authenticated-nonsense", test_authenticated_nonsense);
	g_test_add_func("/net/other-version", test_other_version);
	g_test_add_func("/net/oversize", test_oversize);
	g_test_add_func("/net/loopback", test_loopback);
	g_test_add_func("/net/domains", test_domains);
	g_test_add_func("/net/subjects", test_subjects);
	g_test_add_func("/net/longest-servers", test_longest_servers);
	g_test_add_func("/net/strangers", test_strangers);
	return g_test_run();
}
