/*
 * The daemon's main types. Its threads and the data that each uses:
 *
 *   core      one loop; owns membership, dispatch, folds and every request
 *   caller    libmicrohttpd's threads; read documents, fill in struct call,
 *             send answers to callers
 *   engine    one libcurl loop each; run attempts on backend servers
 *   fetch     one libcurl loop for short HTTP requests: VM list, peers, orders
 *   log       the thread of log-client.h
 *
 * They post typed events to the core on one ring; engine and fetch threads
 * receive commands on rings of their own. Nothing blocks the core.
 */

#ifndef DAEMON_H
#define DAEMON_H

#include "daemon-join.h"
#include "directory.h"
#include "dispatch.h"
#include "doc-fold.h"
#include "document.h"
#include "ledger.h"
#include "log-client.h"
#include "log-record.h"
#include "member.h"
#include "metrics.h"
#include "net.h"
#include "request.h"
#include "ring.h"
#include "savory.h"
#include "settings.h"
#include "share.h"
#include "sse.h"
#include "ticket.h"

#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>

#define DAEMON_RING_SIZE 65536
#define DAEMON_ID_SIZE 96
/* Time after its start in which a node may have no share of a limit yet. */
#define DAEMON_SHARE_WAIT_MS 6000
#define ENDPOINT_SIZE 24

struct daemon;
struct call;
struct engine_thread;
struct fetch_thread;

/* ---- documents in force, as caller threads see them ---- */

/* One parsed document; immutable, shared by reference count. */
struct doc_ref {
	gint refs;
	struct document doc;
};

/* All documents in force at one time; immutable, reference counted. */
struct doc_set {
	gint refs;
	unsigned int count;
	struct doc_ref **list;
};

struct doc_ref *doc_ref_new(void);
struct doc_ref *doc_ref_take(struct doc_ref *);
void doc_ref_drop(struct doc_ref *);
struct doc_set *doc_set_take(struct daemon *);
void doc_set_drop(struct doc_set *);
/* Core only: put a document in force, in place of its service's last one. */
void doc_set_publish(struct daemon *, struct doc_ref *);
struct doc_ref *doc_set_find(const struct doc_set *, const char *);

/* ---- the answer that a backend server sends to the caller ---- */

/* The engine's stream pauses at HIGH unsent bytes and resumes below LOW. */
#define ANSWER_PAUSE_BYTES (256 * 1024)
#define ANSWER_RESUME_BYTES (64 * 1024)
/* Longest answer kept for a later call with the same ticket or key. */
#define ANSWER_KEEP_MAX (256 * 1024)

enum answer_put {
	ANSWER_ACCEPTED,
	ANSWER_PAUSE, /* full: the reader resumes the stream later */
	ANSWER_DROP   /* the core has abandoned this attempt */
};

struct answer {
	pthread_mutex_t lock;
	struct MHD_Connection *connection;
	struct MHD_Response *response;
	unsigned int attempt; /* the only one that may write */
	unsigned int status;
	char content_type[128];
	char *bytes;
	size_t at, len, size;
	bool head_ready;  /* the head may be sent */
	bool ended;	  /* no more bytes follow */
	bool broken;	  /* the caller sees that it is incomplete */
	bool suspended;	  /* the caller's connection is suspended */
	bool paused;	  /* the engine's stream is paused */
	bool caller_left; /* the caller has disconnected */
	bool keep_bytes;  /* keep all bytes for later calls with the key */
	enum request_outcome outcome;
	enum request_code code;
	msec retry_after;
	char alternates[DIRECTORY_ALTERNATES * (ENDPOINT_SIZE + 2)];
	bool close; /* close the connection after this answer */
};

void answer_init(struct answer *, struct MHD_Connection *);
void answer_finish(struct answer *);
/* Core: let an attempt write; earlier attempts no longer can. */
void answer_set_attempt(struct answer *, unsigned int attempt);
/*
 * Engine threads: whether the next bytes may be put; `pending` bytes of an
 * unfinished event will be put before them. ANSWER_PAUSE: not until
 * the reader calls engine_unpause(). After ANSWER_ACCEPTED all bytes at hand
 * may be put, whatever their number.
 */
enum answer_put
answer_check_room(struct answer *, unsigned int attempt, size_t pending);
/* Append bytes; `head_now`: the head is sent with them. */
enum answer_put answer_put(
    struct answer *, unsigned int attempt, const char *, size_t, bool head_now);
/* Bytes not yet sent, or all bytes while they are kept. */
size_t answer_buffered(struct answer *);
/* Set status and type before the first bytes; false: attempt is abandoned. */
bool answer_head(struct answer *, unsigned int attempt, unsigned int status,
    const char *content_type);
/* The head is sent or may be, and it is not an event stream. */
bool answer_is_fixed(struct answer *);
bool answer_is_gone(struct answer *);
/* Core: other entry VMs for the caller; call it before answer_end(). */
void answer_alternates(struct answer *, const char *);
/* Core: set the outcome; writes an error body if no head was sent yet. */
void answer_end(struct answer *, const struct request *);
/* Copy the complete answer of another call; false if it was not kept. */
bool answer_copy(struct answer *, struct answer *from);
/* Set a complete answer that this node makes itself. */
void answer_text(
    struct answer *, unsigned int status, const char *type, const char *text);
/*
 * Caller threads: whether the head may be sent; if not, the connection is
 * suspended until it may.
 */
bool answer_wait(struct answer *);
ssize_t answer_read(struct call *, char *, size_t);

/* ---- calls ---- */

enum call_kind {
	CALL_REQUEST, /* for a backend server */
	CALL_QUERY    /* answered by the core */
};

typedef void (*call_query)(struct daemon *, struct call *, msec);

struct call_header {
	STAILQ_ENTRY(call_header) entry;
	char *line; /* "Name: value" */
};
STAILQ_HEAD(call_headers, call_header);

/*
 * One HTTP request of a caller, a peer or the tool. Filled in by a caller
 * thread, then handed to the core; reference counted between the threads.
 */
struct call {
	TAILQ_ENTRY(call) entry;      /* core: open calls */
	TAILQ_ENTRY(call) held_entry; /* held over a limit */
	TAILQ_ENTRY(call) join_entry; /* waits for the first call's answer */
	gint refs;
	struct daemon *daemon;
	enum call_kind kind;
	call_query query;
	char id[DAEMON_ID_SIZE];
	char *method;
	char *path;	    /* as the caller sent it */
	char *backend_path; /* as sent to the backend server */
	char *argument;	    /* of the query; see daemon-route.c */
	char *body;
	size_t body_len, body_size;
	bool body_read;
	bool body_too_large;
	bool body_dropped;	     /* for want of memory */
	struct call_headers headers; /* passed on to plain services */
	char *content_type;
	char *ticket;	     /* Savorypier-Ticket, or NULL */
	char *key;	     /* Idempotency-Key, or NULL */
	char *authorization; /* as received; only for forwarding */
	uint64_t body_hash;  /* of method, path and body */
	bool plain;	     /* for a plain service, not an engine */
	bool streamed;	     /* the body requests server-sent events */
	bool repeatable;
	struct doc_ref *doc; /* the version in force when it arrived */
	unsigned int class_index;
	name_id service;
	name_id organisation;
	msec arrived;
	struct answer answer;
	int watched_fd; /* its connection's socket, or -1; caller thread only */
	/* Core only from here. */
	struct request request;
	struct dispatch_request slot;
	struct engine_thread *thread; /* of the live attempt */
	msec dispatched;
	msec first;
	bool slot_held;
	struct join *join;	   /* set if it is the first with its key */
	bool ticket_taken;	   /* it was the first to use its ticket */
	struct ledger_claim claim; /* request 0: none was made */
	unsigned int claim_shard;
	msec claimed;
	name_id forward_to; /* the node that decides on it, or 0 */
	bool open;	    /* in the list of open calls */
	bool limited;	    /* holds a part of its organisation's limits */
	unsigned int limited_tokens;
	msec unlisted_kept_until;
};
TAILQ_HEAD(call_list, call);

bool daemon_watch_open(struct daemon *);
void daemon_watch_close(struct daemon *);
void daemon_watch_begin(struct call *);
void daemon_watch_end(struct call *);
void daemon_watch_ready(struct daemon *, msec);

struct call *call_new(struct daemon *, struct MHD_Connection *);
struct call *call_take(struct call *);
void call_drop(struct call *);
/* Free the request body before the call ends. */
void call_free_body(struct call *);

/* ---- events for the core ---- */

enum event_kind {
	EVENT_CALL,	 /* a call has been read and prepared */
	EVENT_CALL_GONE, /* its connection broke */
	EVENT_FIRST,	 /* first part of an answer passed on */
	EVENT_ENDED,	 /* an attempt ended */
	EVENT_FETCHED,	 /* a small exchange ended */
};

struct event {
	enum event_kind kind;
	struct call *call; /* holds a reference */
	unsigned int attempt;
	enum attempt_end end;
	unsigned int tokens;
	enum request_outcome forwarded; /* reported by the node forwarded to */
	msec at;
	struct fetch *fetch;
};

/* From any thread; waits when the core's ring is full. */
void event_post(struct daemon *, const struct event *);

/* ---- engine threads ---- */

struct engine_thread *engine_thread_start(struct daemon *);
void engine_thread_stop(struct engine_thread *);
/* Start the call's current attempt at an address. Core only. */
void engine_start(struct engine_thread *, struct call *, uint32_t, uint16_t);
/* Cancel an attempt; EVENT_ENDED still follows. Core only. */
void engine_cancel(struct engine_thread *, struct call *, unsigned int);
/* Resume a paused attempt: the answer has room again. Caller threads. */
void engine_unpause(struct engine_thread *, struct call *, unsigned int);

/* ---- short HTTP requests ---- */

/* One GET or POST; `done` runs on the core. */
struct fetch {
	char *url;
	char *post; /* NULL is GET */
	char *authorization;
	msec timeout;
	/* Not called when the core ends before the fetch does. */
	void (*done)(struct daemon *, struct fetch *, msec);
	void *arg;
	GDestroyNotify arg_free; /* of `arg`, with the fetch; NULL: not freed */
	/* The result. */
	bool sent;   /* the receiver may have acted on it */
	long status; /* 0: no answer */
	json_t *json;
	char *text;
	size_t text_len;
};

struct fetch_thread *fetch_thread_start(struct daemon *);
void fetch_thread_stop(struct fetch_thread *);
/* Free the fetch and its fields; not while it is in progress. */
void fetch_free(struct fetch *);
/* Start the fetch and take ownership of it; it is freed after done(). */
void fetch_start(struct daemon *, struct fetch *);

/* ---- backend servers, from the VM list ---- */

struct backend {
	RB_ENTRY(backend) entry;
	name_id id;
	struct vm vm;
};
RB_HEAD(backend_tree, backend);
int backend_compare(const struct backend *, const struct backend *);
RB_PROTOTYPE(backend_tree, backend, entry, backend_compare);

/* One of the two HTTP listeners: for callers, or for the tool and peers. */
struct listener {
	struct daemon *daemon;
	bool is_control;
	char *certificate; /* PEM; NULL: plain HTTP */
	char *key;
};

/* ---- the daemon ---- */

enum daemon_state {
	DAEMON_JOINING, /* has not yet read the documents and the VM list */
	DAEMON_SERVING,
	DAEMON_LEAVING
};

struct daemon {
	struct settings settings;
	uint64_t incarnation;
	enum daemon_state state; /* read by caller threads with g_atomic_int */
	msec started;
	msec leaving_since;
	msec last_call; /* arrival of the latest request */
	struct ring events;
	struct ring log_events;
	int epoll_fd;
	int watch_fd; /* callers' sockets: see daemon-watch.c */
	pthread_mutex_t watch_lock;
	int signal_fd;
	struct net net;
	struct members members;
	struct dispatch dispatch;
	struct shares shares;
	struct call_list held; /* over a limit, waiting for a loan or a unit */
	unsigned int nheld;
	struct doc_fold fold;
	bool documents_read; /* to the log's end, or from a peer */
	bool log_down;
	uint64_t log_first, log_next;
	msec checkpoint_check_at; /* next check whether one is due */
	bool checkpoint_was_due;  /* one was due at the last check */
	pthread_mutex_t docs_lock;
	struct doc_set *docs;
	struct log_io *log;
	struct engine_thread **engines;
	unsigned int engine_next;
	struct fetch_thread *fetch;
	struct MHD_Daemon *caller_http;
	struct MHD_Daemon *control_http;
	struct listener caller_listener;
	struct listener control_listener;
	msec stop_ticked_at;   /* last daemon_stop_tick(), or 0 */
	msec resumed_at;       /* the process had stood still until then */
	msec quiesced_at;      /* when accepting connections stopped, or 0 */
	msec cut_at;	       /* when the stop deadline cut the rest, or 0 */
	uint64_t stop_no_time; /* refused: could not end in time */
	uint64_t stop_cut;     /* requests cut at the deadline */
	gsize body_bytes;      /* allocated by request bodies; atomic */
	gint unsent;	       /* answers not yet sent completely; atomic */
	struct backend_tree backends;
	msec load_due;
	msec vm_list_due;
	bool leave_requested; /* the VM list or a peer requests it */
	bool vm_list_busy;
	bool vm_list_read;
	msec import_due;
	bool import_busy;
	struct request_shared book;
	struct call_list calls;
	unsigned int ncalls; /* open requests, for backend servers */
	uint32_t next_call;
	GRand *rng;
	struct metrics *metrics;
	struct join_table *joins;
	struct daemon_ledger *ledger;
	struct daemon_placement *placement;
	struct ticket_registry tickets;
	bool stopping; /* the loop ends */
};

/* daemon-core.c */
bool daemon_run(struct daemon *);
/* daemon-call.c: requests and their ops */
void daemon_call_arrived(struct daemon *, struct call *, msec);
extern const struct request_ops daemon_request_ops;
extern const struct dispatch_ops daemon_dispatch_ops;
void daemon_call_gone(struct daemon *, struct call *, msec);
/* Refuse queued calls that could not end before the stop deadline. */
void daemon_call_refuse_late(struct daemon *, msec);
void daemon_call_first(struct daemon *, const struct event *, msec);
void daemon_call_ended(struct daemon *, const struct event *, msec);
/* It was given another's answer, or that answer was not kept. */
void daemon_call_joined(struct daemon *, struct call *, msec);
void daemon_call_join_unknown(struct daemon *, struct call *, msec);
/* daemon-admit.c: tickets and keys decide whether it runs here */
void daemon_admit(struct daemon *, struct call *, msec);
/* Before anything can fail, and when the call has ended. */
void daemon_admit_begin(struct call *);
/* Its organisation's limits allow it. */
void daemon_admit_continue(struct daemon *, struct call *, msec);
void daemon_admit_ended(struct daemon *, struct call *);
/* Refuse a call that could not end before the stop; it holds no slot. */
void daemon_admit_refuse_late(struct daemon *, struct call *, msec);
/* Forward the call to the node that decides whether it runs. */
void
daemon_forward(struct daemon *, struct call *, const struct member *, msec);
/* daemon-ledger.c: claims of Idempotency-Keys through the log */
void daemon_ledger_init(struct daemon *);
void daemon_ledger_finish(struct daemon *);
void daemon_ledger_claim(struct daemon *, struct call *, msec);
void daemon_ledger_ended(struct daemon *, struct call *, msec);
bool daemon_ledger_may_run(const struct call *, msec);
void daemon_ledger_members(struct daemon *);
bool daemon_ledger_log_event(struct daemon *, const struct log_event *);
msec daemon_ledger_tick(struct daemon *, msec);
void query_claim(struct daemon *, struct call *, msec);
/* daemon-load.c: load reports, for the policies that use them */
void daemon_load_tick(struct daemon *, msec);
/* daemon-limits.c: limits of organisations */
void daemon_limits_init(struct daemon *, msec);
void daemon_limits_nodes(
    struct daemon *, msec, const struct dispatch_node *, unsigned int);
bool daemon_limits_take(struct daemon *, struct call *, msec);
msec daemon_limits_tick(struct daemon *, msec);
void daemon_limits_done(struct daemon *, struct call *, msec);
/* daemon-placement.c: leases, orders to engines */
void daemon_placement_init(struct daemon *);
void daemon_placement_finish(struct daemon *);
void daemon_placement_document(struct daemon *, const struct document *, msec);
void daemon_placement_tick(struct daemon *, msec);
void daemon_placement_leave(struct daemon *, msec);
bool
daemon_placement_log_event(struct daemon *, const struct log_event *, msec);
json_t *daemon_placement_dump(struct daemon *, msec);
/* daemon-peers.c: membership, net and the VM list */
bool daemon_peers_init(struct daemon *, msec);
void daemon_peers_tick(struct daemon *, msec);
void daemon_peers_finish(struct daemon *);
void daemon_peers_send(struct daemon *, name_id, const sp_msg *);
/* Update the documents and the load that this node reports to peers. */
void daemon_self_update(struct daemon *, msec);
/* Pass the list of nodes to dispatch, ledger and limits. */
void daemon_nodes_update(struct daemon *, msec);
void daemon_engines_update(struct daemon *, msec);
struct backend *daemon_backend_find(struct daemon *, name_id);
/* daemon-docs.c: the documents stream */
void daemon_docs_init(struct daemon *);
void daemon_docs_finish(struct daemon *);
void daemon_docs_log_event(struct daemon *, struct log_event *, msec);
void daemon_docs_tick(struct daemon *, msec);
/* daemon-metrics.c: counts ended requests and log appends; /metrics */
void daemon_metrics_ended(struct daemon *, const struct call *, msec);
void daemon_metrics_append(struct daemon *, enum metrics_append);
char *daemon_metrics_text(const struct daemon *);
/* daemon-stop.c: leaving and the end */
void daemon_leave(struct daemon *, msec);
/* The grace period of the leave is over: no new work is taken. */
bool daemon_stop_is_past_grace(const struct daemon *, msec);
/* The parts of a request that are still ahead. */
enum stop_remaining {
	STOP_REMAINING_WAIT_AND_RUN, /* its wait for a backend server, and its
					run */
	STOP_REMAINING_RUN	     /* its run */
};
/* Whether the call can end before the stop deadline. */
bool daemon_stop_has_time_for(
    struct daemon *, const struct call *, enum stop_remaining, msec);
/* Record the duration of an ended request for its class. */
void daemon_stop_record_duration(struct daemon *, const struct call *, msec);
void daemon_stop_tick(struct daemon *, msec);
/* The progress of the stop and the recorded durations, for the dump. */
json_t *daemon_stop_dump(struct daemon *, msec);
/* daemon-caller.c: HTTP server for callers, the tool and peers */
bool daemon_http_start(struct daemon *);
void daemon_http_quiesce(struct daemon *);
/* Do connections of callers wait to be accepted? */
bool daemon_http_has_waiting(struct daemon *);
unsigned int daemon_http_connections(struct daemon *);
void daemon_http_stop(struct daemon *);
/* daemon-query.c: requests that the core answers */
void query_entry(struct daemon *, struct call *, msec);
void query_models(struct daemon *, struct call *, msec);
void query_metrics(struct daemon *, struct call *, msec);
void query_ready(struct daemon *, struct call *, msec);
void query_status(struct daemon *, struct call *, msec);
void query_dump(struct daemon *, struct call *, msec);
void query_drain(struct daemon *, struct call *, msec);
void query_ticket(struct daemon *, struct call *, msec);
void query_state(struct daemon *, struct call *, msec);
/* "A.B.C.D:PORT" into a buffer of ENDPOINT_SIZE; returns it. */
char *endpoint_text(char *, uint32_t, uint16_t);

#endif /* DAEMON_H */
