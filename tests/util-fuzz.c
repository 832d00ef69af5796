/*
 * The table of decoders under fuzzing; see util-fuzz.h.
 */

#include "util-fuzz.h"

#include "member.h"
#include "net.h"
#include "share.h"
#include "ticket.h"

#include <stdlib.h>
#include <string.h>

#define FUZZ_KEY "0123456789abcdef"

static void fuzz_fail(const char *);
static void fuzz_net(const uint8_t *, size_t);
static void fuzz_ticket(const uint8_t *, size_t);

const struct fuzz_target fuzz_targets[] = {
	{ "net", fuzz_net },
	{ "ticket", fuzz_ticket },
	{ NULL, NULL },
};

const struct fuzz_target *
fuzz_target_find(const char *name)
{
	const struct fuzz_target *t;

	for (t = fuzz_targets; t->name != NULL; t++) {
		if (strcmp(t->name, name) == 0)
			return t;
	}
	return NULL;
}

/* libFuzzer keeps the input of an abort, but not that of a g_error(). */
static void
fuzz_fail(const char *what)
{
	fprintf(stderr, "%s\n", what);
	abort();
}

static void
fuzz_send(
    struct members *ms, uint32_t address, uint16_t port, const sp_msg *msg)
{
	struct net_frame f;

	net_frame_init(&f, ms->self.id, 1);
	if (!net_frame_add(&f, msg))
		fuzz_fail("a membership message fits no datagram");
}

static void
fuzz_changed(struct members *ms, const struct member *m)
{
	if (!name_valid(m->name) || m->incarnation == 0)
		fuzz_fail("a member without a name or an incarnation");
}

static const struct member_ops fuzz_ops = { fuzz_send, fuzz_changed };

static void
fuzz_share_send(struct shares *sh, name_id to, const sp_msg *msg)
{
	struct net_frame f;

	net_frame_init(&f, 1, 1);
	if (!net_frame_add(&f, msg))
		fuzz_fail("a share message fits no datagram");
}

static bool
fuzz_share_limits(
    struct shares *sh, name_id service, name_id org, struct doc_limits *limits)
{
	*limits = (struct doc_limits){ 10, 1000, 5 };
	return true;
}

static const struct share_ops fuzz_share_ops = { fuzz_share_send,
	fuzz_share_limits };

static void
fuzz_shares(const sp_batch *batch)
{
	const name_id nodes[] = { 1, 2, batch->from };
	struct shares sh;
	msec now = 1000;
	u_int i;

	shares_init(&sh, &fuzz_share_ops, 1, 1, now);
	shares_set_nodes(&sh, now, nodes, 3);
	shares_tick(&sh, now += 10 * MSEC_SECOND);
	for (i = 0; i < batch->msgs.msgs_len; i++) {
		shares_receive(&sh, now, batch->from, &batch->msgs.msgs_val[i]);
		shares_admit(&sh, now, 1, 1, 100);
		shares_tick(&sh, now += 300);
	}
	shares_tick(&sh, now + 100 * MSEC_SECOND);
	shares_finish(&sh);
}

static void
fuzz_members(const sp_batch *batch)
{
	struct member_config cfg = { .name = "entry-1",
		.domain = "hall-grandi",
		.incarnation = 7,
		.address = 1,
		.peer_port = 7000 };
	struct vm vms[2] = {
		{ "entry-1", "entry", "", "hall-grandi", false, 1, 7000 },
		{ "entry-2", "entry", "", "hall-hofdi", false, 2, 7000 },
	};
	struct members ms;
	msec now = 1000;
	u_int i;

	members_init(&ms, &fuzz_ops, &cfg, now);
	members_set_list(&ms, now, vms, 2);
	for (i = 0; i < batch->msgs.msgs_len; i++) {
		members_receive(&ms, now, batch->from, batch->incarnation, 2,
		    7000, &batch->msgs.msgs_val[i]);
		now += 200;
		members_tick(&ms, now);
	}
	now += 5 * MSEC_SECOND;
	members_tick(&ms, now);
	members_set_list(&ms, now, vms, 1);
	members_tick(&ms, now + 100 * MSEC_SECOND);
	g_free(members_dump(&ms, now));
	members_finish(&ms);
}

/* As it is, and as the body of a datagram by a holder of the key. */
static void
fuzz_net(const uint8_t *data, size_t len)
{
	struct net_frame f;
	sp_batch batch;
	size_t body;
	uint32_t count;

	if (net_decode(&batch, FUZZ_KEY, (const char *)data, len))
		net_batch_free(&batch);
	net_frame_init(&f, 0, 0);
	/* Sender, incarnation and number of messages come from the input. */
	body = f.used - 20;
	if (len < 20 || len > sizeof f.data - body)
		return;
	memcpy(f.data + body, data, len);
	f.used = body + len;
	memcpy(&count, data + 16, sizeof count);
	f.count = g_ntohl(count);
	net_frame_seal(&f, FUZZ_KEY);
	if (!net_decode(&batch, FUZZ_KEY, f.data, f.used))
		return;
	fuzz_members(&batch);
	fuzz_shares(&batch);
	net_batch_free(&batch);
}

static void
fuzz_ticket(const uint8_t *data, size_t len)
{
	g_autofree char *text = g_strndup((const char *)data, len);
	struct ticket_registry book;
	struct ticket ticket;

	ticket_registry_init(&book, "entry-1", 7, FUZZ_KEY);
	ticket_use(&book, 1000, text, 1, 2, &ticket);
	ticket_registry_finish(&book);
}
