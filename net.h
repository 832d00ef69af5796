/*
 * Messages between nodes: a UDP datagram carries a batch of them as one ONC RPC
 * call without a reply, authenticated by a truncated HMAC-SHA256 in its
 * verifier. The codec (net-codec.c) does no I/O; struct net is the socket.
 */

#ifndef NET_H
#define NET_H

#include "proto.h"
#include "savory.h"

/* Stays under the usual path MTU, so that no datagram is fragmented. */
#define NET_DATAGRAM_MAX 1400

/*
 * Encode a batch with a key into a buffer of so many bytes. Returns the bytes
 * used, or 0 if it does not fit.
 */
size_t net_encode(const sp_batch *, const char *, char *, size_t);
/*
 * Authenticate and decode a datagram. False if it is malformed, too large, of
 * another program or version, or has a wrong HMAC. Free the batch with
 * net_batch_free().
 */
bool net_decode(sp_batch *, const char *, const char *, size_t);
void net_batch_free(sp_batch *);

/* A datagram under construction, message by message. */
struct net_frame {
	char data[NET_DATAGRAM_MAX];
	size_t used;
	unsigned int count;
};

/* Start a datagram of a sender with this node id and incarnation. */
void net_frame_init(struct net_frame *, name_id, uint64_t);
/* Add a message. False if it does not fit; the frame is then unchanged. */
bool net_frame_add(struct net_frame *, const sp_msg *);
/* Set the message count and the HMAC; returns the number of bytes to send. */
size_t net_frame_seal(struct net_frame *, const char *);

struct net;

/* Callbacks of the socket. */
struct net_ops {
	/*
	 * Receives an authenticated message from net_read(): the sender's node
	 * id, incarnation, address and port.
	 */
	void (*message)(struct net *, name_id, uint64_t, uint32_t, uint16_t,
	    const sp_msg *);
};

/* What messages are about; each has a range of kinds. */
enum net_subject {
	NET_MEMBERSHIP,
	NET_DISPATCH,
	NET_LIMITS,
	NET_PLACEMENT,
	NET_RELAY,
	NET_DUTIES,
	NET_START, /* of a node, and configurations from other nodes */
	NET_POISON,
	NET_VERSIONS, /* of backend servers' software, by stream */
	NET_HEADERS,  /* of datagrams; no message has this subject */
	NET_SUBJECTS
};
enum net_subject net_subject_of(enum sp_kind);
const char *net_subject_name(enum net_subject);

/* Where the destination is; index of net_counters.bytes_out_by. */
enum net_domain {
	NET_OWN_DOMAIN,
	NET_OTHER_DOMAIN, /* or not known */
	NET_DOMAINS
};

/* Counters since the start. Bytes are of UDP payload. */
struct net_counters {
	uint64_t datagrams_in, datagrams_out;
	uint64_t bytes_in, bytes_out;
	uint64_t bytes_out_by[NET_SUBJECTS][NET_DOMAINS];
	uint64_t rejected; /* failed net_decode() */
	uint64_t dropped;  /* datagrams that could not be sent */
	uint64_t oversize; /* messages too large for a datagram */
};

/* One node's socket; set up by net_init(). */
struct net {
	const struct net_ops *ops;
	struct net_counters counters;
	int fd; /* non-blocking UDP */
	struct net_data *priv;
	void *arg;
};

/* Bind to an address and port: this node's id and incarnation, the key. */
bool net_init(struct net *, const struct net_ops *, uint32_t, uint16_t, name_id,
    uint64_t, const char *);
void net_finish(struct net *);
/* Send messages with this incarnation from now on. */
void net_set_incarnation(struct net *, uint64_t);
/* An address in host byte order. */
struct net_address {
	uint32_t address;
	uint16_t port;
};
/* Sets the nodes in this node's failure domain, for the counters. */
void net_set_own_domain(struct net *, const struct net_address *, unsigned int);
/* The bound port, also after a bind to port 0; 0 on failure. */
uint16_t net_port(const struct net *);
/* Queue a message for an address and port; net_flush() sends the batches. */
void net_send(struct net *, uint32_t, uint16_t, const sp_msg *);
void net_flush(struct net *);
/* Read the pending datagrams, limited so that a flood can't block the loop. */
void net_read(struct net *);

#endif /* NET_H */
