/*
 * Messages between nodes on the wire: a batch as one ONC RPC call without a
 * reply, authenticated by a truncated HMAC-SHA256 in its verifier, in one UDP
 * datagram. The codec is without input or output; struct net is the socket.
 */

#ifndef NET_H
#define NET_H

#include "proto.h"
#include "savory.h"

/* Stays under the usual path MTU, so that no datagram is fragmented. */
#define NET_DATAGRAM_MAX 1400

/*
 * Encode a batch. The bytes used, or 0 when it does not fit. Key and its
 * length; buffer and its size.
 */
size_t net_encode(const sp_batch *, const char *, char *, size_t);
/*
 * Decode and authenticate. False for anything malformed, too large, of
 * another program or version, or with a wrong HMAC. Free with
 * net_batch_free().
 */
bool net_decode(sp_batch *, const char *, const char *, size_t);
void net_batch_free(sp_batch *);

/* A datagram that is being put together, message by message. */
struct net_frame {
	char data[NET_DATAGRAM_MAX];
	size_t used;
	unsigned int count;
};

/* Start it for a sender's node id and incarnation. */
void net_frame_init(struct net_frame *, name_id, uint64_t);
/* False when the message does not fit any more; the frame is as before. */
bool net_frame_add(struct net_frame *, const sp_msg *);
/* Put in the count and the HMAC; the bytes to send. */
size_t net_frame_seal(struct net_frame *, const char *);

struct net;

/* What the socket calls. */
struct net_ops {
	/* One authenticated message; called from net_read(). */
	void (*message)(struct net *, name_id, uint64_t, uint32_t, uint16_t,
	    const sp_msg *);
};

/* Counters; all only grow. Bytes are of UDP payload. */
struct net_counters {
	uint64_t datagrams_in, datagrams_out;
	uint64_t bytes_in, bytes_out;
	uint64_t rejected; /* failed net_decode() */
	uint64_t dropped;  /* the socket would not take them */
	uint64_t oversize; /* messages that fit no datagram */
};

/* One node's socket; set up by net_init(). */
struct net {
	const struct net_ops *ops;
	struct net_counters counters;
	int fd; /* non-blocking UDP */
	struct net_data *priv;
	void *arg;
};

/* Bind to address and port; our node id and incarnation; the key. */
bool net_init(struct net *, const struct net_ops *, uint32_t, uint16_t, name_id,
    uint64_t, const char *);
void net_finish(struct net *);
/* Our messages bear this incarnation from now on. */
void net_set_incarnation(struct net *, uint64_t);
/* The port it is bound to, for a bind to port 0; 0 on failure. */
uint16_t net_port(const struct net *);
/* Queue for an address; sent by net_flush(), many to a datagram. */
void net_send(struct net *, uint32_t, uint16_t, const sp_msg *);
void net_flush(struct net *);
/* Read what is there, up to a bound, so that a flood cannot keep us here. */
void net_read(struct net *);

#endif /* NET_H */
