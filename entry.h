/*
 * Entry VM: a single-threaded process that forwards requests of callers to
 * backend servers. A request passes through these files from top to bottom;
 * each file calls those below it and returns results through the callbacks
 * (struct *_ops) of the file above:
 *
 *   entry-caller.c   connections of callers: parses requests, writes answers
 *   entry-job.c      life cycle of one request: admission, deadline, outcome
 *   entry-attempt.c  attempts of a request on backend servers, and retries;
 *                    entry-request.c writes what is sent, entry-silence.c
 *                    gives silent servers up
 *   entry-link.c     connections to servers: transfers one attempt's bytes
 *   entry-reply.c    forwards a server's answer to the caller
 *   entry-poison.c   holds back requests that crash the servers that run them
 *   entry-poison-check.c  checks whether the process of a server has ended
 *   entry-move.c     moves running streams off servers that leave
 *   entry-handoff.c  requests that other nodes carry for this one, and its own
 *                    for them; entry-carrier.c chooses the node
 *
 * Other files:
 *
 *   place.c, server-choose.c  choose the server of a request
 *   entry-state.c    the state in force: configuration, servers, other nodes
 *   entry-era.c      whether answers of the platform's store can be trusted
 *   entry-start.c    asks other nodes for newer state at startup
 *   entry-relay.c    shares reads of the platform among the nodes; relay.c is
 *                    the protocol without I/O
 *   entry-table.c    transfer of the configuration between nodes
 *   entry-rate.c     rate limits that servers report
 *   entry-reach.c    whether the network path to the servers works
 *   entry-query.c    readiness and directory listeners
 *   entry-version.c  versions of software that may resume a stream
 *   entry-version-store.c  what the platform's store keeps of them
 *   entry-poison-store.c  and of requests that end servers
 *   entry-memory.c   limit on what all requests hold together
 *   entry-stop.c     planned stop
 *   entry.c          process start, tick and shutdown
 */

#ifndef ENTRY_H
#define ENTRY_H

#include "buffer.h"
#include "duration.h"
#include "entry-duty.h"
#include "entry-era.h"
#include "entry-list.h"
#include "entry-log.h"
#include "entry-memory.h"
#include "entry-move.h"
#include "handoff.h"
#include "entry-outage.h"
#include "entry-poison.h"
#include "entry-poison-store.h"
#include "entry-reach.h"
#include "entry-start.h"
#include "entry-table.h"
#include "entry-version.h"
#include "entry-version-store.h"
#include "event-order.h"
#include "fresh.h"
#include "http-message.h"
#include "idle-limit.h"
#include "loop.h"
#include "member.h"
#include "metrics.h"
#include "net.h"
#include "outage.h"
#include "place.h"
#include "poison.h"
#include "relay.h"
#include "retry-budget.h"
#include "route.h"
#include "savory.h"
#include "server.h"
#include "settings.h"
#include "wire.h"

struct caller;
struct entry_carrier;
struct job;
struct link;
TAILQ_HEAD(caller_list, caller);
TAILQ_HEAD(job_list, job);
TAILQ_HEAD(link_list, link);

/* ---- outcomes: entry-job.c ---- */

/* Outcome of a request or an attempt. */
enum job_code {
	JOB_SERVED,	  /* a server's complete answer */
	JOB_SERVER_ERROR, /* a server's complete answer with status 5xx */
	JOB_BAD_REQUEST,
	JOB_NO_ROUTE,
	JOB_NO_KEY,	  /* the key is missing or unknown */
	JOB_NOT_FRESH,	  /* no recent proof that the keys are current */
	JOB_STARTING,	  /* no configuration yet */
	JOB_NO_SERVER,	  /* no server exists, or all were tried */
	JOB_FULL,	  /* servers rejected it without running it */
	JOB_OVERLOADED,	  /* the queue of prompts before it is too long */
	JOB_UNREACHABLE,  /* connecting to the server failed */
	JOB_NO_BUDGET,	  /* the retry budget is used up */
	JOB_BROKEN,	  /* a server's answer failed; it may have run */
	JOB_TIMEOUT,	  /* of the route, or the caller's deadline */
	JOB_STOPPED,	  /* this node's stop ended it */
	JOB_LEAVING,	  /* this node stops before it could end */
	JOB_LIMITED,	  /* the servers' rate limits allow none now */
	JOB_RESTING,	  /* all servers have asked for rest */
	JOB_NO_ROOM,	  /* brittle servers have no room for it */
	JOB_POISON,	  /* it crashes the servers that run it */
	JOB_NO_PATH,	  /* no server accepts connections of this node */
	JOB_VERSION,	  /* which version began the stream is not known */
	JOB_CARRIER_FULL, /* the node carries too many for other nodes */
	JOB_NOT_READ,	  /* a carrier could not read it as a request */
	JOB_NO_MEMORY,	  /* this node holds too much */
	JOB_CALLER_GONE,  /* the caller disconnected */
	JOB_CODES
};
const char *job_code_name(enum job_code);
/* The code with a name; JOB_NO_SERVER if there is none. */
enum job_code job_code_parse(const char *);

/* ---- connections of callers: entry-caller.c ---- */

/* Callbacks of the code that handles the requests of a listener. */
struct caller_ops {
	/* A complete request has been read; caller->body contains its body. */
	void (*request)(struct caller *, msec);
	/* The caller disconnected before its answer was complete. */
	void (*gone)(struct caller *, msec);
	/* The unsent bytes have fallen below CALLER_LOW_WATER. */
	void (*drained)(struct caller *, msec);
	const char *name; /* of the kind of caller, for the log */
	/* Limits of its requests; NULL: those of the configuration. */
	const struct route_limits *limits;
	unsigned int fields_max; /* of a head; 0: HTTP_FIELDS_MAX */
	/* Append fields to the refusal of what was not read; NULL: none. */
	void (*add_refusal_fields)(struct buffer *, enum job_code);
};

struct listener_io {
	struct loop_io io;
	struct entry *entry;
	const struct caller_ops *ops;
	bool delays_stop; /* a planned stop waits for its connections */
};

struct caller {
	struct loop_io io;
	const struct caller_ops *ops;
	TAILQ_ENTRY(caller) entry;
	struct entry *owner;
	struct http_reader reader;
	struct buffer in; /* read but not parsed */
	struct buffer body;
	struct buffer out;
	struct loop_timer timer;
	struct job *job;   /* the current request, or NULL */
	bool busy;	   /* a request waits for its answer */
	bool closing;	   /* closes when all is written */
	bool write_closed; /* the sending side is closed; waits for the peer */
	bool eof;	   /* the peer has closed its sending side */
	bool delays_stop;  /* from the listener */
	bool to_end;	   /* see caller_mark_to_end() */
	bool behind;	   /* not all that had arrived was read */
	msec accepted;	   /* time of accept() */
	msec idle_since;   /* the last answer, or accept() */
	msec progress;	   /* bytes of its request or answer moved last */
	/* First byte of the request being read, and loop.lost at that time. */
	msec request_began, lost_before;
	msec delayed;	    /* of it, bytes waited so long for this node */
	uint64_t served;    /* answers completed */
	uint64_t discarded; /* bytes read after the last answer */
};

/* Idle time and limits of a caller while there is no configuration, in ms. */
#define CALLER_TIMEOUT_MS 10000

bool caller_listen(struct entry *, struct listener_io *,
    const struct endpoint *, const struct caller_ops *, bool delays_stop);
/* Append bytes of an answer; call caller_finish_answer() after the last. */
void caller_write(struct caller *, const char *, size_t);
void caller_write_text(struct caller *, const char *);
/* Send what has been written. */
void caller_flush(struct caller *);
/*
 * The answer is complete. With `keep` the connection may be used for the next
 * request, else it is closed.
 */
void caller_finish_answer(struct caller *, msec, bool keep);
/* Close the connection so that the caller sees an incomplete answer. */
void caller_break_answer(struct caller *, msec);
/*
 * Write a complete answer of this node and call caller_finish_answer().
 * `fields` are header lines that end with CR LF; the body may be "".
 */
void caller_answer(struct caller *, msec, unsigned int status,
    const char *fields, const char *type, const char *body, bool keep);
/*
 * The same of a request that is still being read, which is dropped; the
 * connection is closed afterwards. Takes over the contents of `fields`.
 */
void caller_refuse(struct caller *, msec, unsigned int status, enum job_code,
    struct buffer *fields);
/* Close the connection at once; a request in progress is abandoned. */
void caller_abort(struct caller *, msec);
/* The caller's request or answer is to be ended; the next such caller. */
void caller_mark_to_end(struct caller *);
struct caller *caller_take_to_end(struct entry *);
/* Has a request begun to arrive that is not complete? */
bool caller_is_reading(const struct caller *);
/* Bytes that its buffers have allocated. */
size_t caller_held(const struct caller *);
/* The peer's address as text, in INET_ADDRSTRLEN bytes; "" if unknown. */
void caller_address(const struct caller *, char *);
/* Number of bytes written but not yet sent. */
size_t caller_unsent(const struct caller *);
/*
 * Close the connections without a request whose answers have arrived; call
 * again for the others.
 */
void caller_close_idle(struct entry *);
/*
 * Unsent bytes above which reading from the server is paused, and below which
 * it continues.
 */
#define CALLER_HIGH_WATER (256 * 1024)
#define CALLER_LOW_WATER (64 * 1024)

/* ---- connections to backend servers: entry-link.c ---- */

/* How an attempt on a link ended without a whole answer. */
enum link_end {
	/* The process stops taking work, or is another one; nothing was sent.
	 */
	LINK_SERVER_LEAVING,
	LINK_UNSENT,		/* the connection failed; nothing was sent */
	LINK_CONNECT_TIMED_OUT, /* connecting timed out; nothing was sent */
	LINK_SILENT, /* the process gave no sign of life; nothing was sent */
	LINK_BROKEN, /* bytes of the request may have reached the server */
	/*
	 * The process stops taking work, and its host has not acknowledged all
	 * of the request: withdrawn, but its bytes may have reached the server.
	 */
	LINK_HELD
};

/* Callbacks for the attempt on a link. */
struct link_ops {
	/*
	 * The connection is new or was proved, and what is left of the request
	 * is about to be sent. False when it must not be; the link is freed
	 * then.
	 */
	bool (*may_send)(struct link *, msec);
	/* The head of an answer. False when it answers another request. */
	bool (*head)(struct link *, const struct http_head *, msec);
	void (*body)(struct link *, const char *, size_t, msec);
	/*
	 * The answer is complete by its framing; the link no longer belongs to
	 * the job. False when the server broke it off nevertheless: the
	 * connection is not used again.
	 */
	bool (*complete)(struct link *, msec);
	/* The attempt failed; the link no longer belongs to the job. */
	void (*failed)(struct link *, enum link_end, msec);
	msec connect_timeout; /* of a new connection, in ms */
	/*
	 * What the server says of itself, when it was asked before the request
	 * is sent; NULL: nothing of use. Returns true if the request may be
	 * sent on this connection. Only for link_send() with `ask`.
	 */
	bool (*told)(struct link *, const char *, size_t, msec);
	/*
	 * The server's process gives no sign of life. False if the request
	 * waits for one on; NULL: it never does.
	 */
	bool (*may_leave)(struct link *, msec);
};

struct link {
	struct loop_io io;
	const struct link_ops *ops;
	TAILQ_ENTRY(link) entry;
	struct link_list *list; /* of link_pool that it is in; NULL: none */
	struct entry *owner;
	struct server *server;
	unsigned int starts;	/* the server's `starts` at connect() */
	enum net_domain domain; /* the server's */
	struct job *job;	/* NULL: idle */
	struct http_reader reader;
	struct buffer out;
	struct loop_timer timer;
	bool connecting;
	bool used;	       /* it has carried a complete answer */
	bool sent;	       /* a byte of the request was sent */
	bool discard_answer;   /* the current answer is discarded */
	size_t discarded;      /* bytes discarded since the request */
	unsigned int paused;   /* LINK_PAUSE_*: why it is not read on */
	msec paused_at;	       /* since when it is paused */
	msec paused_ms;	       /* pauses before, since its bytes came last */
	uint64_t resumed_turn; /* iteration of the loop that ended the last */
	bool connect_refused;  /* the server refused the connection */
	bool timed_out;	       /* the server's host acknowledged nothing */
	bool patient;	       /* the server may be silent for seconds */
	msec idle_limit;       /* longest idle time before it is closed */
	msec idle_since;
	/*
	 * Bytes of a request that were sent as a proof of the connection and
	 * must be confirmed before the rest is sent; they stay in `out`. 0:
	 * none.
	 */
	size_t proof_bytes;
	msec proof_since;
	/*
	 * Bytes of the request that the server's host had not acknowledged as
	 * its process was about to leave; 0: none.
	 */
	size_t held_bytes;
	/* The answer has ended, and the server has not taken the request. */
	bool ended;
	msec ended_since;
	bool asking;	    /* what the server says of itself is awaited */
	bool needs_known;   /* of that, which process it is */
	bool known;	    /* its process is the listed one, as it has said */
	struct buffer held; /* the request, meanwhile */
	bool held_is_head;  /* its method is HEAD */
	struct buffer told; /* what the server said so far */
};

/* A server's links; in server->arg. */
struct link_pool {
	struct link_list idle, connecting, busy;
	unsigned int nidle;
};

/* How a request is sent on a link. */
struct link_terms {
	bool is_head; /* its method is HEAD */
	/*
	 * It may run only once, so a connection that was idle for a while has
	 * to prove first that it leads to the server.
	 */
	bool once;
	/*
	 * The server is asked first what it says of itself, unless the
	 * connection is known; see link_ops.told.
	 */
	bool ask;
	/*
	 * The server's process may stand still: it is asked first, on any
	 * connection, as what its host takes is read once it goes on.
	 */
	bool await_sign;
};

/*
 * Send a request to a server, on an idle connection or a new one. NULL when
 * that fails. Takes over the buffer's contents.
 */
struct link *link_send(struct entry *, struct server *, struct job *,
    const struct link_ops *, struct buffer *request, const struct link_terms *,
    msec);
/* Bytes that the server's host has not acknowledged; -1: not known. */
int64_t link_unacknowledged(const struct link *);
/* Cancel the attempt: closes the connection, so that the server stops work. */
void link_cancel(struct link *);
/* Why reading from a server stops: any of these. */
#define LINK_PAUSE_CALLER 1 /* the caller does not read fast enough */
#define LINK_PAUSE_MEMORY 2 /* other answers are read first */
/* Stop or continue reading from the server for a reason. */
void link_pause(struct link *, unsigned int why, bool);
/* Keep the connection while its server's host is silent for some seconds. */
void link_set_patient(struct link *);
/* Close the idle links of a server. */
void link_close_idle(struct entry *, struct server *);
/*
 * The server's current process takes no more work: close idle links, and end
 * attempts that are still connecting with LINK_SERVER_LEAVING.
 */
void link_close_stale(struct entry *, struct server *);
void link_pool_free(struct server *);
/*
 * A socket that connects to an address and port (host byte order) without
 * blocking, from the configured local address; -1 with errno on failure.
 */
int link_open_socket(struct entry *, uint32_t, uint16_t);

/* ---- requests: entry-job.c, entry-attempt.c, entry-reply.c ---- */

struct job {
	TAILQ_ENTRY(job) entry;
	struct entry *owner;
	struct caller *caller;
	struct wire_request request;
	char *id;		      /* owned copy of request.id */
	char *began_as;		      /* and of request.began_as */
	const struct http_head *head; /* owned by the caller's reader */
	struct route_table *table;    /* a counted reference */
	const struct route *route;
	const struct route_organisation *organisation;
	struct poison_id fingerprint; /* equal for repetitions by one caller */
	struct poison_parts parts;    /* of its prompt, that others may share */
	/* Permission to send, if it is suspect, and if a part of it is. */
	struct poison_run run, part_run;
	struct entry_move *move; /* of its run, or NULL */
	/* Server of the last move off a leaving one, or of the last stop. */
	name_id move_tried;
	bool move_slow_tried;	    /* a move off a slow server was begun */
	struct run_pace pace;	    /* of its events */
	bool move_counted;	    /* `runs` has the run that is being moved */
	struct server_check *check; /* the check it waits for, or NULL */
	name_id service;
	msec arrived;
	msec deadline; /* absolute: the caller's, or the route's timeout */
	struct loop_timer timer;	 /* fires at the deadline */
	struct loop_timer silence_timer; /* checks for a silent server */
	/* The server has been silent for too long then, unless none may be. */
	msec silence_due;
	name_id silent_server;	 /* the last one given up as silent; 0: none */
	bool returned_to_silent; /* it may be sent there once more */
	struct link *link;	 /* of the current attempt, or NULL */
	struct server *server;	 /* of the current attempt, or NULL */
	/* Name of the last attempt's server; "": none. */
	char server_name[SERVER_NAME_SIZE];
	/* Name of the server that it was told to fetch from; "": none. */
	char source_name[SERVER_NAME_SIZE];
	/* Version of that server's software; "": unknown. */
	char software[SERVER_SOFTWARE_SIZE];
	struct place_request place;
	/* Version that began the stream; 0: none yet, or unknown. */
	name_id software_id;
	struct stream_query version_query;
	name_id carrier_software; /* that the carrier names */
	/*
	 * Attempts on other nodes (entry-handoff.c): the current carrier or
	 * NULL, the last one's name, carriers tried, attempts on servers that
	 * the current one may use.
	 */
	struct entry_carrier *carrier;
	char carrier_name[NAME_SIZE];
	unsigned int handoffs;
	unsigned int handoff_attempts;
	/* The carrier's own answer, if it is one. */
	bool has_outcome, outcome_may_have_run;
	enum job_code outcome;
	msec retry_after;   /* that it names, in ms; 0: none */
	bool carrier_began; /* the carrier passed on an answer's head */
	/*
	 * The attempt on `server`, which has fallen silent, while a carrier is
	 * asked; NULL: none.
	 */
	struct link *kept_link;
	msec kept_sent_at;
	bool retry_taken; /* from the budget, and nothing was sent since */
	/* This node is the carrier. */
	bool carried;
	bool counted_as_carried;    /* in the number of carried requests */
	unsigned int attempts_most; /* allowed to this node; 0: as the route */
	bool waits; /* for the path, a carrier or room; see job_attempt() */
	unsigned int path_waits;  /* times that it has waited */
	bool counted;		  /* in the retry budget */
	unsigned int unreachable; /* connections that failed, unsent */
	enum job_code ended_as;	  /* for an answer of this node */
	unsigned int sends;	  /* attempts started */
	unsigned int arrivals;	  /* attempts that may have reached a server */
	unsigned int runs;	  /* attempts that may have run */
	bool may_have_run;
	bool arrived_during_stop; /* it arrived during this node's stop */
	/* Time allowed for it during this node's stop, in ms; else 0. */
	msec time_needed;
	bool repeatable;    /* may run more than once */
	bool began_to_run;  /* a server sent a byte of an answer */
	bool no_retry;	    /* no attempt may follow the current one */
	enum job_code last; /* why the last attempt ended */
	unsigned int ntried;
	name_id tried[SERVER_AVOID_MAX];
	/* The answer: entry-reply.c. */
	unsigned int status;
	bool answer_began;     /* the head was written to the caller */
	bool streamed;	       /* forwarded event by event */
	bool chunked;	       /* written in chunked transfer coding */
	bool keeps_connection; /* the head announced a kept connection */
	bool server_error;     /* the server's answer has status 5xx */
	bool failure_stored;   /* a complete one, sent if no attempt succeeds */
	bool refused_by_server;		   /* the current attempt did not run */
	enum server_result refusal_result; /* how to count the refusal */
	msec sent_at, first_at; /* of the attempt; of the answer's head */
	msec list_age;	   /* of the server list at the attempt; -1: unproven */
	msec unlisted_for; /* the server, at the attempt, in ms; -1: listed */
	msec silent_for;   /* server_sign_awaited() at the attempt */
	/* Unacknowledged as the last attempt was given up; -1: none was. */
	int64_t held_bytes;
	bool parts_cleared;   /* by the attempt\'s answer */
	msec attempt_began;   /* first byte of the attempt's answer; 0: none */
	msec forwarded_at;    /* the newest part was forwarded */
	msec gap;	      /* longest pause between two forwarded parts */
	struct buffer fields; /* header lines for the caller */
	struct buffer unsent_body; /* body bytes not forwarded yet */
	/* Since when it is read while memory is short; 0: it is not. */
	msec read_on_since;
	msec turn_ended;  /* that it was read for; 0: it had none */
	uint64_t weights; /* version that began the answer; 0: not told */
	bool event_due;	  /* an attempt broke off inside the next event */
	struct event_order order; /* of the events forwarded */
	size_t no_event;	  /* bytes forwarded since the last event */
};

extern const struct caller_ops job_caller_ops;
/*
 * Begin a caller's request; `terms`: of another node that handed it off, or
 * NULL.
 */
void job_begin(struct caller *, msec, const struct handoff_terms *);
/* Callbacks of callers and of nodes that hand requests off. */
void job_caller_gone(struct caller *, msec);
void job_caller_drained(struct caller *, msec);
/* Called by placement with the server for a request, or NULL. */
void job_placed(struct place *, struct place_request *, struct server *, msec);
/* Names of the prompt parts that others may share, for logs; NULL: none. */
#define JOB_PARTS_LOGGED 64
#define JOB_PARTS_SIZE ((JOB_PARTS_LOGGED + 1) * 17)
const char *job_parts_text(const struct job *, char[JOB_PARTS_SIZE]);
/* The poison id as text for logs, or NULL if it is not set yet. */
const char *job_fingerprint_text(const struct job *, char[POISON_ID_SIZE]);
/*
 * Look up the request's route and key in the configuration in force now.
 * JOB_SERVED when it is admitted, else the reason for the refusal; a request
 * that was admitted before keeps the route that it was admitted on.
 */
enum job_code job_admit(struct job *, msec);
/* Least time until the deadline for which an attempt is started. */
#define JOB_ATTEMPT_MIN_MS 20
bool job_is_head_request(const struct job *);
/* May a server be running it now? */
bool job_is_sent(const struct job *);
/* Start the first or another attempt; job_placed() may follow. */
void job_attempt(struct job *, msec);
/*
 * Check the request against the configuration in force at this attempt: a key
 * or route may have been removed while the request waited, or while the process
 * was paused. One whose answer has begun keeps what it was admitted on. False
 * when the request has ended.
 */
bool job_recheck_admission(struct job *, msec);
/* The same without ending the request: JOB_SERVED, or why it would end. */
enum job_code job_check_admission(struct job *, msec);
/*
 * Write the request's head without its last empty line: `keep_key` false
 * removes the API key if the configuration has keys.
 */
void job_write_head(const struct job *, const struct wire_terms *,
    bool keep_key, struct buffer *);
/* Set where an interrupted stream resumes. */
void job_set_resume_terms(const struct job *, struct wire_terms *);
/* Write the body's length, the empty line and the body. */
void job_write_body(const struct job *, struct buffer *);
/*
 * The attempt that was kept while a carrier was asked is the current one again.
 */
void job_return_to_kept(struct job *, msec);
/* Give up the attempt that was kept; the carrier goes on. */
void job_give_up_kept(struct job *, msec, enum server_result);
/*
 * No carrier took it over: after a pause ask another one, or wait for the
 * server.
 */
void job_stay_with_kept(struct job *, msec now, msec pause);
/* A retry that was taken from the budget for a carrier has not run. */
void job_give_back_retry(struct job *, msec);
/* The attempt on a carrier failed: start another attempt, or fail. */
void job_handoff_failed(struct job *, msec, enum job_code);
/* Leave a server to which nothing was sent, and start another attempt. */
void job_leave_server(struct job *, msec);
/* Servers that the request may be sent to from here. */
unsigned int job_attempts_most(const struct job *);
/* What a server must have to which the request's run is moved. */
void job_fill_move_wish(const struct job *, struct server_wish *);
/*
 * Close what is left of the current attempt, whose run has stopped, and send
 * the request to a server that has the run's memory; NULL: it is not known any
 * more. entry_move_refused() follows if that is not possible. The request may
 * have ended afterwards.
 */
void job_resume_run(struct job *, msec, struct server *);
/* The run was to be moved and runs nowhere: start another attempt, or fail. */
void job_run_lost(struct job *, msec);
/* The check of a server whose connection broke has ended. */
void job_server_checked(struct job *, msec);
/* Timer callback: the server of the current attempt is silent, or the wait for
 * a path has ended. */
void job_check_silence(struct loop_timer *, msec);
/* End the current attempt in placement. */
void job_release_server(struct job *, msec, enum server_result);
/* Close the connection of an attempt on a server. */
void job_abandon_link(struct job *, msec, struct link *);
/* End the current attempt in placement, and close its connections. */
void job_cancel(struct job *, msec, enum server_result);
/* Answer the caller with an error, or break off the answer; then free. */
void job_fail(struct job *, msec, enum job_code);
/* Count and log the outcome, and free the request. */
void job_free(struct job *, msec, enum job_code);
/* Retry-After of a request that other nodes may take, in ms. */
msec job_retry_elsewhere(struct entry *);
/* End all requests in flight, at the end of a stop. */
void job_stop_all(struct entry *, msec);

/* Longer answers to callers of HTTP/1.0, who get only whole ones, fail. */
#define REPLY_WHOLE_MAX ((size_t)8 * 1024 * 1024)

/* Classification of a server's answer by its head. */
enum reply_class {
	REPLY_FORWARD,	     /* forward it */
	REPLY_OTHER_REQUEST, /* answers another request */
	REPLY_REJECTED,	     /* not executed: try another server */
	REPLY_SERVER_ERROR,  /* executed, with status 5xx */
	REPLY_INVALID	     /* invalid or unsigned; it may have run */
};
enum reply_class reply_classify(const struct job *, const struct http_head *);
/* Store the answer's status and header fields for the caller. */
void reply_store_head(struct job *, const struct http_head *);
/*
 * Body bytes. False when a resumed stream skips or repeats an event, or an
 * event is too long.
 */
bool reply_body(struct job *, const char *, size_t, msec);
/* What an answer is whose message is complete by its framing. */
enum reply_end {
	REPLY_END_WHOLE,
	/*
	 * Nothing but the close of its connection ended it. It is forwarded as
	 * complete, as servers may end their answers in this way.
	 */
	REPLY_END_UNVERIFIED,
	REPLY_END_BROKEN /* a stream that lacks the end of an event, or one */
};
enum reply_end reply_end(const struct job *, const struct http_head *);
/* Log, and count, how a stream ended whose message is complete. */
void reply_log_end(const struct job *, const struct http_head *, msec);
/* The server's answer is complete: write the rest of it. Returns true. */
bool reply_finish(struct job *, msec);
/* Discard what has not been forwarded, before another attempt. */
void reply_discard(struct job *);
/* Write an answer of this node; `retry_after` in ms, 0: none. */
void reply_write_local(
    struct job *, msec, unsigned int status, msec retry_after, bool keep);

/* ---- requests of other nodes: entry-handoff.c ---- */

#include "entry-handoff.h"

extern const struct caller_ops handoff_caller_ops;

/* ---- rate limits that servers report: entry-rate.c ---- */

/*
 * Read from the head of an answer of a server's current process, also one that
 * another node passes on, its rate limit and whether it leaves.
 */
void entry_answer_read(
    struct job *, struct server *, const struct http_head *, msec);
/* Read from one on a link whether its server asks for rest. */
void entry_rest_read(struct link *, const struct http_head *, msec);
/* The same: whether its server is brittle (server-room.h). */
void entry_room_read(struct link *, const struct http_head *, msec);
/* Placement received a server's rate limit from another node: log it. */
void entry_rate_log_received(struct place *, struct server *, msec);

/* ---- readiness and directory: entry-query.c ---- */

extern const struct caller_ops query_caller_ops;

/* ---- the state in force: entry-state.c ---- */

/*
 * Loads in permille that a node reports while it is not ready, and while it has
 * no path to the servers.
 */
#define ENTRY_LOAD_NOT_READY 1000
#define ENTRY_LOAD_NO_PATH 900

enum entry_phase {
	ENTRY_STARTING, /* no configuration yet */
	ENTRY_SERVING,
	ENTRY_LEAVING
};

/* Statistics of the requests of one route. */
struct entry_route_stats {
	RB_ENTRY(entry_route_stats) entry;
	char route[NAME_SIZE];
	uint64_t codes[JOB_CODES];
	/* Times to the first byte and to the end; longest pauses; in ms. */
	struct metrics_histogram first, complete, gap;
	struct duration total_time; /* from arrival to the end of the answer */
	struct duration
	    stream_time; /* streams: from the first event to the end */
};
RB_HEAD(entry_route_stats_tree, entry_route_stats);
int entry_route_stats_compare(
    struct entry_route_stats *, struct entry_route_stats *);
RB_PROTOTYPE(
    entry_route_stats_tree, entry_route_stats, entry, entry_route_stats_compare)
/* Further routes are counted only in the totals of all routes. */
#define ENTRY_ROUTE_STATS_MAX 64

struct entry_counters {
	uint64_t codes[JOB_CODES];
	uint64_t attempts, retries, connects, reused, strays, proofs_failed;
	uint64_t tables;	  /* configurations put in force */
	uint64_t idle_closed;	  /* connections of callers */
	uint64_t discarded;	  /* the same, with bytes discarded */
	uint64_t streams_broken;  /* though complete by their framing */
	uint64_t rests;		  /* that servers asked for */
	uint64_t servers_leaving; /* by their answers */
	/* Attempts given up after the server's host took all of the request. */
	uint64_t given_up_taken;
	uint64_t given_up_held; /* before: bytes were unacknowledged */
	uint64_t signs_asked;	/* of life, before a request is sent */
	uint64_t rates, rates_unreadable; /* changed rate limits; invalid */
	/* On connections to servers, by the server's failure domain. */
	uint64_t request_bytes[NET_DOMAINS], answer_bytes[NET_DOMAINS];
};

struct entry {
	struct loop loop;
	struct settings *settings;
	const char *settings_file;
	int64_t settings_stamp; /* modification time when read last */
	msec settings_check_at; /* time of the next check for changes */
	const struct wire_ops *wire;
	struct source *source;
	enum entry_phase phase;
	msec started;
	msec leaving_since;    /* earliest time at which the signal arrived */
	msec stop_signal_read; /* time at which the signal was read */
	msec last_request;
	uint64_t incarnation;
	struct route_table *table; /* NULL: none yet */
	struct idle_limit idle;	   /* of callers' connections */
	struct fresh fresh;
	struct era era;	       /* of the platform's store */
	uint64_t era_recorded; /* settled era recorded in the store; 0: none */
	struct entry_start start;
	struct entry_table_transfer table_transfer;
	struct servers servers;
	/* Node that told what is being changed in `servers`; NULL: none. */
	const char *servers_told_by;
	bool own_domain_changed; /* tell the socket; see net_set_own_domain() */
	struct place place;
	struct entry_poison poison;
	struct entry_reach reach;
	struct entry_handoff handoff;
	struct entry_versions versions;
	struct entry_version_store version_store;
	struct entry_poison_store poison_store;
	struct entry_moves moves;
	struct entry_memory memory;
	struct loop_timer place_timer;
	struct relay relay;
	struct loop_timer relay_timer;
	struct entry_outage outage;
	struct entry_list list;
	struct entry_duty *duty; /* NULL: no duties configured */
	struct members members;
	struct net net;
	struct loop_io net_io;
	struct loop_io signal_io;
	struct loop_timer tick;
	struct listener_io callers_io, ready_io, directory_io, metrics_io;
	struct listener_io peers_io; /* requests of other nodes */
	struct caller_list callers;
	unsigned int ncallers;
	struct job_list jobs;
	unsigned int njobs;
	struct link
	    *link_being_parsed;	 /* being parsed by link_parse(), or NULL */
	unsigned int idle_links; /* to all servers */
	struct retry_budgets budgets;
	struct retry_budget_config budget;
	unsigned int live_nodes; /* including this one */
	bool source_up;
	msec source_lost_since; /* since when the source does not answer */
	GRand *rand;
	struct entry_log log;
	struct entry_counters counters;
	struct entry_route_stats_tree route_stats;
	unsigned int nroute_stats;
};

/* The source read a newer configuration; takes over the reference. */
void entry_take_table(struct entry *, struct route_table *, msec);
/* A read sent at `asked` showed that the configuration is the newest. */
void entry_take_proof(struct entry *, msec asked);
/* A read sent at `asked` succeeded, but its result cannot be put in force. */
void entry_take_unusable(struct entry *, enum relay_subject, msec asked);
/* A read sent at `asked` showed that the server list is the newest. */
void entry_take_servers(struct entry *, msec asked);
/*
 * Time since the server list was last proven to be the newest, in ms; -1:
 * never.
 */
msec entry_list_age(const struct entry *, msec);
/* A read of a subject failed; entry_read_due() returns when to retry. */
void entry_read_failed(struct entry *, enum relay_subject, msec);
/* Time until the next read of a subject, in ms; 0: it is due. */
msec entry_read_due(const struct entry *, enum relay_subject, msec);
/* The list of nodes that announced themselves on the platform. */
void entry_take_nodes(struct entry *, const struct vm *, unsigned int, msec);
/* The source stopped answering (`why`), or answers again. */
void entry_source_down(struct entry *, msec, const char *why);
void entry_source_up(struct entry *, msec);

/* Age of the process with an incarnation (its start in µs), in ms. */
msec entry_process_age(uint64_t incarnation);
/* Send a message to another node; it may be lost. */
void entry_send(struct entry *, name_id, const sp_msg *);
/*
 * The same in a datagram of its own: older versions of the program reject a
 * batch with a kind of message that they do not know.
 */
void entry_send_apart(
    struct entry *, uint32_t address, uint16_t port, const sp_msg *);
/* Draws up to `most` of the nodes that are alive; returns how many. */
unsigned int
entry_draw_nodes(struct entry *, struct member **, unsigned int most);
/* Does another node take work? */
bool entry_others_ready(const struct entry *);
/* Can this node serve callers, including those with a key? */
bool entry_is_ready(const struct entry *, msec);
struct retry_budget *entry_budget(struct entry *, name_id service);
bool entry_state_init(struct entry *, msec);
/* Apply changed settings. */
void entry_state_apply(struct entry *);
void entry_state_tick(struct entry *, msec);
void entry_state_finish(struct entry *);
/* Set placement's timer to the next time at which it has work due. */
void entry_place_arm_timer(struct entry *, msec);

/* ---- shared reads of the platform: entry-relay.c ---- */

/* Interval between reads of the list of nodes, in ms. */
msec entry_nodes_interval(const struct entry *);
void entry_relay_init(struct entry *, msec);
/* Apply changed settings. */
void entry_relay_apply_settings(struct entry *);
void entry_relay_finish(struct entry *);

/* ---- metrics and dump: entry-metrics.c ---- */

extern const struct caller_ops metrics_caller_ops;
/* Write one metric without labels; `type` is "counter" or "gauge". */
void metrics_value(
    GString *, const char *name, const char *type, const char *help, int64_t);
/* Count a request that has ended. */
void entry_count(struct entry *, const struct job *, enum job_code, msec);
/* Statistics of a route; NULL: no request has been counted. */
struct entry_route_stats *
entry_route_stats_find(struct entry *, const char *route);
void entry_route_stats_free(struct entry *);

/* ---- planned stop: entry-stop.c ---- */

/* Begin the stop; does nothing if it has begun already. */
void entry_begin_stop(struct entry *, msec);
/* Can an attempt that starts now end before this process? Logs if not. */
bool entry_stop_leaves_time(struct entry *, struct job *, msec);
void entry_stop_tick(struct entry *, msec);

/* ---- the process: entry.c ---- */

/*
 * Run until a planned stop has ended. The settings file is read again when it
 * changes. Returns the exit status.
 */
int entry_main(struct settings *, const char *file, const struct wire_ops *,
    struct source *);

/* ---- reload of the settings: entry-settings.c ---- */

/* Reload at once, or only if the file's modification time has changed. */
void entry_settings_read(struct entry *, msec);
void entry_settings_check(struct entry *, msec);

#endif /* ENTRY_H */
