/*
 * The wire format between nodes: an ONC RPC call header, an sp_batch, and a
 * truncated HMAC-SHA256 in the header's verifier. Does no I/O.
 *
 * The call header has a fixed length, as the credential is empty and the
 * verifier always has the length of the HMAC. So the HMAC is checked over the
 * raw bytes first, and the XDR decoders process only data from a holder of the
 * key.
 *
 * Replay: the HMAC covers the sender's id and incarnation, so a recorded
 * datagram cannot be passed off as another sender's, nor as one from a later
 * start of the same node. Within one incarnation it can be sent again, also to
 * another node. Messages are therefore idempotent: news is ordered by
 * incarnation and refutation, an acknowledgement must match an open probe,
 * dispatch messages have ids that are used once, and no address is learned from
 * a datagram's source. A replay can at most cause a reply.
 */

#define LOG_PART "net"
#include "net.h"
#include "mac.h"

#include <string.h>

/* Behind xid, direction, versions, procedure, credential, flavour, length. */
#define NET_MAC_OFFSET 40
#define NET_BODY_OFFSET (NET_MAC_OFFSET + MAC_SIZE)
/* Behind the sender's id and incarnation. */
#define NET_COUNT_OFFSET (NET_BODY_OFFSET + 16)
/* A private authentication flavour; registered ones are small numbers. */
#define NET_FLAVOUR 0x53415648

static void net_mac(const char *, const char *, size_t, uint8_t *);
static bool net_header_encode(XDR *);
static bool net_header_decode(XDR *);

static void
net_mac(const char *key, const char *data, size_t len, uint8_t *out)
{
	const struct mac_part parts[] = { { data, NET_MAC_OFFSET },
		{ data + NET_BODY_OFFSET, len - NET_BODY_OFFSET } };

	mac_sum(key, parts, G_N_ELEMENTS(parts), out);
}

static bool
net_header_encode(XDR *xdrs)
{
	char zeros[MAC_SIZE] = { 0 };
	struct rpc_msg call = { 0 };

	call.rm_direction = CALL;
	call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call.rm_call.cb_prog = SAVORY_PROGRAM;
	call.rm_call.cb_vers = SAVORY_VERSION_2;
	call.rm_call.cb_proc = SAVORY_BATCH;
	call.rm_call.cb_cred.oa_flavor = AUTH_NONE;
	call.rm_call.cb_verf.oa_flavor = NET_FLAVOUR;
	call.rm_call.cb_verf.oa_base = zeros;
	call.rm_call.cb_verf.oa_length = MAC_SIZE;
	return xdr_callmsg(xdrs, &call);
}

static bool
net_header_decode(XDR *xdrs)
{
	char cred[MAX_AUTH_BYTES], verf[MAX_AUTH_BYTES];
	struct rpc_msg call = { 0 };
	const struct call_body *body = &call.rm_call;

	call.rm_call.cb_cred.oa_base = cred;
	call.rm_call.cb_verf.oa_base = verf;
	if (!xdr_callmsg(xdrs, &call))
		return false;
	if (call.rm_direction != CALL || body->cb_rpcvers != RPC_MSG_VERSION)
		return false;
	if (body->cb_prog != SAVORY_PROGRAM ||
	    body->cb_vers != SAVORY_VERSION_2 || body->cb_proc != SAVORY_BATCH)
		return false;
	return body->cb_cred.oa_length == 0 &&
	       body->cb_verf.oa_flavor == NET_FLAVOUR &&
	       body->cb_verf.oa_length == MAC_SIZE;
}

void
net_frame_init(struct net_frame *f, name_id from, uint64_t incarnation)
{
	u_quad_t id = from, inc = incarnation;
	u_int none = 0;
	XDR xdrs;

	xdrmem_create(&xdrs, f->data, sizeof f->data, XDR_ENCODE);
	if (!net_header_encode(&xdrs) || !xdr_u_quad_t(&xdrs, &id) ||
	    !xdr_u_quad_t(&xdrs, &inc) || !xdr_u_int(&xdrs, &none))
		g_error("the call header is too large for a datagram");
	f->used = xdr_getpos(&xdrs);
	f->count = 0;
	xdr_destroy(&xdrs);
}

bool
net_frame_add(struct net_frame *f, const sp_msg *msg)
{
	XDR xdrs;
	bool ok;

	if (f->count == SAVORY_BATCH_MAX)
		return false;
	xdrmem_create(&xdrs, f->data + f->used,
	    (u_int)(sizeof f->data - f->used), XDR_ENCODE);
	/* XDR_ENCODE only reads the message, so the cast is safe. */
	ok = xdr_sp_msg(&xdrs, (sp_msg *)msg);
	if (ok) {
		f->used += xdr_getpos(&xdrs);
		f->count++;
	}
	xdr_destroy(&xdrs);
	return ok;
}

size_t
net_frame_seal(struct net_frame *f, const char *key)
{
	uint32_t count = g_htonl(f->count);
	uint8_t mac[MAC_SIZE];

	memcpy(f->data + NET_COUNT_OFFSET, &count, sizeof count);
	net_mac(key, f->data, f->used, mac);
	memcpy(f->data + NET_MAC_OFFSET, mac, sizeof mac);
	return f->used;
}

size_t
net_encode(const sp_batch *batch, const char *key, char *buf, size_t size)
{
	struct net_frame f;
	size_t n;
	u_int i;

	net_frame_init(&f, batch->from, batch->incarnation);
	for (i = 0; i < batch->msgs.msgs_len; i++) {
		if (!net_frame_add(&f, &batch->msgs.msgs_val[i]))
			return 0;
	}
	n = net_frame_seal(&f, key);
	if (n > size)
		return 0;
	memcpy(buf, f.data, n);
	return n;
}

bool
net_decode(sp_batch *batch, const char *key, const char *buf, size_t len)
{
	uint8_t mac[MAC_SIZE];
	XDR xdrs;
	bool ok;

	memset(batch, 0, sizeof *batch);
	if (len <= NET_COUNT_OFFSET || len > NET_DATAGRAM_MAX || len % 4 != 0)
		return false;
	net_mac(key, buf, len, mac);
	if (!mac_equal(mac, (const uint8_t *)buf + NET_MAC_OFFSET))
		return false;
	/* XDR_DECODE does not write to the buffer, so the cast is safe. */
	xdrmem_create(&xdrs, (char *)buf, (u_int)len, XDR_DECODE);
	ok = net_header_decode(&xdrs) && xdr_sp_batch(&xdrs, batch) &&
	     xdr_getpos(&xdrs) == len;
	xdr_destroy(&xdrs);
	if (!ok)
		net_batch_free(batch);
	return ok;
}

void
net_batch_free(sp_batch *batch)
{
	xdr_free((xdrproc_t)xdr_sp_batch, batch);
	memset(batch, 0, sizeof *batch);
}
