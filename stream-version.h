/*
 * Which version of a service's software began a stream. Where servers of
 * several versions serve side by side, a stream may be resumed only by the
 * version that began it, also if the caller resumes it at another node.
 *
 * When a stream begins, its node sends a record to two other nodes, the
 * keepers, selected by rendezvous hashing over the live nodes, and keeps one
 * itself. A node that is asked to resume it and has no record asks the likely
 * keepers, then more nodes. Without a record the request is not run: not
 * knowing a version must not be taken for any of them. Records are lost with a
 * node, or with messages; a caller is then refused, and nothing is mixed.
 *
 * A node whose view of the servers may be old, or that has just started, cannot
 * know alone that there is only one version; it asks, too, and sends records as
 * if there were several. One that sees one version in a current list asks the
 * likely keepers, too: its list may be a second or two behind theirs.
 *
 * When all nodes end at one moment, their records are gone. While a service has
 * several versions, a few nodes, the recorders, therefore write the records of
 * all to a log in the platform's store; nodes that start read it.
 *
 * The module does no I/O; messages go through struct stream_version_ops.
 */

#ifndef STREAM_VERSION_H
#define STREAM_VERSION_H

#include "proto.h"
#include "savory.h"
#include "server-version.h"

/* Nodes that keep a record, beside the one at which the stream began. */
#define STREAM_KEEPERS 2
/* Nodes that are asked first: keepers, or those chosen before a change. */
#define STREAM_ASKED_FIRST 4
/* Nodes that are asked at most. */
#define STREAM_ASKED_MAX 32
/* Queries that wait at a time. */
#define STREAM_QUERIES_MAX 256
/* Records of one node. */
#define STREAM_RECORDS_MAX 131072
/* Records that are written to the platform's store at a time. */
#define STREAM_STORED_MAX 4096
/* A record is kept no longer than this. */
#define STREAM_RECORD_MAX_MS (2 * 60 * MSEC_SECOND)

/* Identifies a stream: a hash of its organisation and request id. */
typedef uint64_t stream_id;

/* A record of the version that began a stream. Private. */
struct stream_record {
	RB_ENTRY(stream_record) entry;
	TAILQ_ENTRY(stream_record) age; /* oldest first */
	stream_id id;
	name_id service;
	name_id software; /* 0: two streams have the id */
	msec until;
	bool own;  /* it began at this node */
	bool sent; /* to the keepers */
	/* To be written to the platform's store for another node. */
	bool for_other;
	bool stored;  /* in the platform's store, or with a node that writes */
	bool storing; /* being written */
};
/* By id. */
RB_HEAD(stream_record_tree, stream_record);
int stream_record_compare(struct stream_record *, struct stream_record *);
RB_PROTOTYPE(stream_record_tree, stream_record, entry, stream_record_compare)
TAILQ_HEAD(stream_record_list, stream_record);

/* The answer to a query. */
enum stream_verdict {
	STREAM_WAIT,   /* decided() follows */
	STREAM_BOUND,  /* only servers of query->software may resume it */
	STREAM_FREE,   /* the service has one version */
	STREAM_UNKNOWN /* it must not be resumed */
};
const char *stream_verdict_name(enum stream_verdict);

/* A stream to be resumed at this node. Owned by the caller. */
struct stream_query {
	TAILQ_ENTRY(stream_query) entry;
	stream_id id;		/* 0: the request does not tell */
	name_id service;	/* with STREAM_BOUND: the one that began it */
	enum version_view view; /* of this node */
	name_id software;	/* set with STREAM_BOUND */
	void *arg;
	/* Private from here. */
	bool waiting;
	uint32_t seq;
	unsigned int rounds;
	msec next;
	name_id asked[STREAM_ASKED_MAX];
	bool answered[STREAM_ASKED_MAX];
	unsigned int nnodes, nasked, nanswered;
	bool sure_of_one, several; /* other nodes' views */
};
TAILQ_HEAD(stream_query_list, stream_query);

/* Nodes that write to the platform's store for all nodes. */
#define STREAM_RECORDERS 24

/* Another live node. */
struct stream_node {
	name_id id;
	bool keeps; /* it takes work, so it may be a keeper */
};

struct stream_versions_state;

/* Callbacks; all but store() are required. */
struct stream_version_ops {
	/* Sends a message to a node; it may be lost. Must not call back. */
	void (*send)(struct stream_versions_state *, name_id, const sp_msg *);
	/* The verdict on a query for which STREAM_WAIT was returned. */
	void (*decided)(struct stream_versions_state *, struct stream_query *,
	    enum stream_verdict, msec);
	/* This node's view of a service. */
	enum version_view (*view)(
	    struct stream_versions_state *, name_id service);
	/*
	 * Appends records to a log that outlives all nodes; then
	 * stream_versions_stored() follows. NULL: there is none.
	 */
	void (*store)(struct stream_versions_state *, const sp_stream_record *,
	    unsigned int);
};

/* Monotonic counters. */
struct stream_version_counters {
	uint64_t recorded;	       /* streams that began here */
	uint64_t told;		       /* records sent to keepers */
	uint64_t kept;		       /* records received */
	uint64_t asked;		       /* messages of queries sent */
	uint64_t bound, free, unknown; /* verdicts */
	uint64_t dropped;	       /* records dropped for want of room */
	uint64_t stored, store_failed; /* records written, failed writes */
	uint64_t loaded;	       /* records read from the store */
};

/* State of one node; owned by the caller. */
struct stream_versions_state {
	const struct stream_version_ops *ops;
	name_id self;
	struct stream_record_tree tree;
	struct stream_record_list ages;
	unsigned int count;
	struct stream_query_list queries;
	struct stream_node *nodes;
	unsigned int nnodes;
	name_id recorders[STREAM_RECORDERS]; /* the same at all nodes */
	unsigned int nrecorders;
	unsigned int nqueries;
	uint32_t seq;
	msec next_share;
	/* There may be records to write to the platform's store, and when. */
	bool to_store;
	msec next_store;
	unsigned int storing;	     /* records being written */
	unsigned int store_failures; /* in a row */
	struct stream_version_counters counters;
	void *arg; /* for the caller */
};

/* Initialises without records; `self` is the local node. */
void stream_versions_init(struct stream_versions_state *,
    const struct stream_version_ops *, name_id self);
/* All queries must have ended. */
void stream_versions_finish(struct stream_versions_state *);
/* Sets the other live nodes. */
void stream_versions_set_nodes(
    struct stream_versions_state *, const struct stream_node *, unsigned int);
/* This node's place among the recorders; -1: it is none. */
int stream_versions_rank(const struct stream_versions_state *);
/* The write that store() has begun ends. */
void stream_versions_stored(struct stream_versions_state *, msec, bool ok);
/* When the tick is due for a write to the store; MSEC_NEVER: it is not. */
msec stream_versions_store_due(const struct stream_versions_state *);
/* What was written may be lost: write it again. */
void stream_versions_store_again(struct stream_versions_state *);
/* Takes a record that was read from the platform's store. */
void stream_versions_load(
    struct stream_versions_state *, msec, const sp_stream_record *);
/* Never 0. `organisation`: "" if there is none. */
stream_id stream_id_make(const char *organisation, const char *request);
/*
 * A stream's first event is about to be forwarded; it came from this version
 * (0: unknown). `until`: it is not resumed later. Keepers are told at once, or
 * as soon as this node is not sure that the service has one version.
 */
void stream_version_begin(struct stream_versions_state *, msec, stream_id,
    name_id service, name_id software, msec until);
/*
 * Which version may resume the stream? STREAM_WAIT: decided() follows, unless
 * stream_query_cancel() is called first.
 */
enum stream_verdict
stream_query_ask(struct stream_versions_state *, msec, struct stream_query *);
void stream_query_cancel(struct stream_versions_state *, struct stream_query *);
/* Handles a message of a kind SP_STREAM_*. */
void stream_versions_receive(
    struct stream_versions_state *, msec, name_id from, const sp_msg *);
/* Runs due timers; returns the time of the next call. */
msec stream_versions_tick(struct stream_versions_state *, msec);

#endif /* STREAM_VERSION_H */
