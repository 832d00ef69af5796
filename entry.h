/*
 * An entry VM as one process with one thread: callers on one side, backend
 * servers on the other. The way of a request, top down; each file calls
 * downward and hands results up through the ops of its caller:
 *
 *   entry-caller.c   a caller's connection: bytes to requests and back
 *   entry-job.c      the life of one request: admission, time, outcome
 *   entry-attempt.c  its attempts: what a server gets, and what comes of it
 *   entry-link.c     a connection to a server: one attempt's bytes
 *   entry-reply.c    what of a server's answer goes to the caller
 *   entry-poison.c   whether it ends the servers that run it
 *
 * Beside it: place.c and server-choose.c say which server; entry-state.c has
 * what is in force (configuration, servers, other nodes), entry-era.c what the
 * store's answers are worth, entry-start.c what others say at a start,
 * entry-table.c takes the configuration from another node, entry-query.c
 * answers readiness and the directory, entry-stop.c has the planned stop,
 * entry.c starts and ends it all.
 */

#ifndef ENTRY_H
#define ENTRY_H

#include "buffer.h"
#include "duration.h"
#include "entry-duty.h"
#include "entry-era.h"
#include "entry-log.h"
#include "entry-poison.h"
#include "entry-start.h"
#include "entry-table.h"
#include "fresh.h"
#include "http-message.h"
#include "loop.h"
#include "member.h"
#include "metrics.h"
#include "net.h"
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
struct job;
struct link;
TAILQ_HEAD(caller_list, caller);
TAILQ_HEAD(job_list, job);
TAILQ_HEAD(link_list, link);

/* ---- connections of callers: entry-caller.c ---- */

/* What takes the requests of a listener's connections. */
struct caller_ops {
	/* A whole request; caller->body has its body. */
	void (*request)(struct caller *, msec);
	/* The caller left, or the connection broke, while it waited. */
	void (*gone)(struct caller *, msec);
	/* What was written has gone out to under the low mark. */
	void (*drained)(struct caller *, msec);
};

struct listener_io {
	struct loop_io io;
	struct entry *entry;
	const struct caller_ops *ops;
	bool counts; /* its connections hold the end of a stop up */
};

struct caller {
	struct loop_io io;
	const struct caller_ops *ops;
	TAILQ_ENTRY(caller) entry;
	struct entry *owner;
	struct http_reader reader;
	struct buffer in; /* read, not parsed yet */
	struct buffer body;
	struct buffer out;
	struct loop_timer timer;
	struct job *job; /* the request in hand */
	bool busy;	 /* a request waits for its answer */
	bool closing;	 /* closes when all is written */
	bool shut;	 /* our side is closed; waits for the peer's */
	bool eof;	 /* the peer's side is closed */
	bool counts;
	msec accepted;
	uint64_t served;
};

bool caller_listen(struct entry *, struct listener_io *,
    const struct endpoint *, const struct caller_ops *, bool counts);
/* Bytes of an answer; caller_ended() after the last. */
void caller_write(struct caller *, const char *, size_t);
void caller_write_text(struct caller *, const char *);
/* Send what has been written. */
void caller_flush(struct caller *);
/* The answer is whole; the next request may come, or the connection ends. */
void caller_ended(struct caller *, msec, bool keep);
/* The answer breaks off: the caller must see that it is not whole. */
void caller_break(struct caller *, msec);
/* A whole answer of our own; the body may be "". Then caller_ended(). */
void caller_answer(struct caller *, msec, unsigned int status,
    const char *fields, const char *type, const char *body, bool keep);
/* The peer's address as text, INET_ADDRSTRLEN bytes; "" if it is not known. */
void caller_address(const struct caller *, char *);
/* Bytes written that have not gone out yet. */
size_t caller_backlog(const struct caller *);
/* Close connections that wait for nothing. */
void caller_close_idle(struct entry *);
/* Above the high mark a server's stream is paused, under the low it goes on. */
#define CALLER_HIGH (256 * 1024)
#define CALLER_LOW (64 * 1024)

/* ---- connections to backend servers: entry-link.c ---- */

/* How an attempt on a link ended without a whole answer. */
enum link_end {
	LINK_LEFT,    /* the server takes no more; nothing was handed over */
	LINK_UNSENT,  /* no byte of the request was handed over */
	LINK_UNHEARD, /* nor did the server answer when we connected */
	LINK_BROKEN   /* some may have been */
};

/* What hears of the attempt on a link. */
struct link_ops {
	/*
	 * A new connection stands and the request is about to go out on it:
	 * false when it may not any more; the link is gone then.
	 */
	bool (*sending)(struct link *, msec);
	/* The head of an answer; false: it is not for this request. */
	bool (*head)(struct link *, const struct http_head *, msec);
	void (*body)(struct link *, const char *, size_t, msec);
	/* The answer is whole; the link is no longer the job's. */
	void (*whole)(struct link *, msec);
	/* It ended before; the link is no longer the job's. */
	void (*ended)(struct link *, enum link_end, msec);
};

struct link {
	struct loop_io io;
	const struct link_ops *ops;
	TAILQ_ENTRY(link) entry; /* of the server's idle or connecting links */
	struct entry *owner;
	struct server *server;
	unsigned int starts; /* of the server, when it was connected */
	struct job *job;     /* NULL: idle */
	struct http_reader reader;
	struct buffer out;
	struct loop_timer timer;
	bool connecting;
	bool used;     /* an answer came on it before */
	bool sent;     /* a byte of the request was handed over */
	bool skip;     /* the answer in hand is for nobody */
	bool paused;   /* the caller does not read */
	bool refused;  /* by the server, when we connected */
	msec idle_max; /* may idle so long */
	msec idle_since;
};

/* What entry-link.c keeps of a server. */
struct link_pool {
	struct link_list idle, connecting;
	unsigned int nidle;
};

/*
 * Send a request to a server, on a kept connection or a new one. NULL when no
 * connection can be had; nothing was sent then. `fresh`: only on a connection
 * that certainly has not been closed by the server meanwhile.
 */
struct link *link_send(struct entry *, struct server *, struct job *,
    const struct link_ops *, struct buffer *request, bool to_head, bool fresh,
    msec);
/* Give the attempt up: the connection closes, so that the server stops. */
void link_cancel(struct link *);
void link_pause(struct link *, bool);
/* Close the idle links of a server. */
void link_close_idle(struct entry *, struct server *);
/*
 * The process that is there now takes no more work: idle links are closed, and
 * requests that wait for a connection to it go elsewhere at once.
 */
void link_leave(struct entry *, struct server *);
void link_pool_free(struct server *);

/* ---- requests: entry-job.c, entry-attempt.c, entry-reply.c ---- */

/* Why a request ended as it did. */
enum job_code {
	JOB_SERVED,	  /* a server's whole answer */
	JOB_SERVER_ERROR, /* a server's whole answer, a failure */
	JOB_BAD_REQUEST,
	JOB_NO_ROUTE,
	JOB_NO_KEY,	 /* the key is missing or unknown */
	JOB_NOT_FRESH,	 /* keys cannot be judged now */
	JOB_STARTING,	 /* no configuration yet */
	JOB_NO_SERVER,	 /* none is there, or all were tried */
	JOB_FULL,	 /* servers said that they take no more */
	JOB_OVERLOADED,	 /* too much is to be read before it */
	JOB_UNREACHABLE, /* no connection could be had */
	JOB_NO_BUDGET,	 /* another attempt was not allowed */
	JOB_BROKEN,	 /* a server broke off; it may have run */
	JOB_TIMEOUT,	 /* of the route, or the caller's deadline */
	JOB_STOPPED,	 /* this node ended before it */
	JOB_LEAVING,	 /* this node would end before it */
	JOB_LIMITED,	 /* no server takes another request now */
	JOB_POISON,	 /* it ends the servers that run it */
	JOB_CALLER_GONE,
	JOB_CODES
};
const char *job_code_name(enum job_code);

struct job {
	TAILQ_ENTRY(job) entry;
	struct entry *owner;
	struct caller *caller;
	struct wire_request request;
	char *id;		      /* request.id's own memory */
	const struct http_head *head; /* in the caller's reader */
	struct route_table *table;    /* a reference */
	const struct route *route;
	const struct route_organisation *organisation;
	struct poison_id same;	    /* however often its caller sends it */
	struct poison_run run;	    /* leave to send it, where it is suspect */
	struct server_check *check; /* that it waits for, or NULL */
	name_id service;
	msec arrived;
	msec deadline; /* a point: the caller's, or the route's timeout */
	struct loop_timer timer;    /* at the deadline */
	struct loop_timer patience; /* with the server in hand */
	struct link *link;	    /* the attempt in hand */
	struct server *server;	    /* its server */
	/* Name of the last server; "": none. */
	char server_name[SERVER_NAME_SIZE];
	struct place_request place;
	unsigned int sends;    /* requests handed to servers */
	unsigned int arrivals; /* of those that may have reached one */
	unsigned int runs;     /* of those that may have run */
	bool may_have_run;
	bool came_leaving; /* this node was leaving when it came */
	/* Hardly longer than that, when it began at a leaving node; or 0. */
	msec needs;
	bool repeatable;
	bool began_to_run;  /* a server sent a byte of its answer */
	bool is_last;	    /* the attempt in hand; none may follow */
	enum job_code last; /* why the last attempt ended */
	unsigned int ntried;
	name_id tried[SERVER_AVOID_MAX];
	/* The answer: entry-reply.c. */
	unsigned int status;
	bool began;	   /* the head is out to the caller */
	bool streamed;	   /* events, passed on one by one */
	bool chunked;	   /* to the caller */
	bool keeps;	   /* the connection, as its head said */
	bool server_error; /* a server's own failure is kept in `held` */
	bool refused_by_server;
	enum server_result refusal; /* what that says of it */
	msec sent_at, first_at;
	msec passed_at;	      /* the newest part of the answer */
	msec gap;	      /* longest pause between two */
	struct buffer fields; /* of the server's head, for the caller */
	struct buffer held;   /* body that is not passed on yet */
	uint64_t last_event;  /* passed on to the caller */
	uint64_t events;
};

extern const struct caller_ops job_caller_ops;
/* From placement: the server for a request, or NULL. */
void job_placed(struct place *, struct place_request *, struct server *, msec);
/* Its name for logs, or NULL: it has none yet. */
const char *job_same(const struct job *, char[POISON_ID_SIZE]);
/* May it pass by what is in force now? JOB_SERVED, or why not. */
enum job_code job_admit(struct job *, msec);
/* Less time than this and an attempt is not worth beginning. */
#define JOB_LEAST_MS 20
/* Begin an attempt, the first or another. */
void job_attempt(struct job *, msec);
/* What became of the server that broke off is known. */
void job_checked(struct job *, msec);
/* The timer on a silent server. */
void job_patience(struct loop_timer *, msec);
/* The server in hand is left; and its connection is closed. */
void job_leave_server(struct job *, msec, enum server_result);
void job_cancel(struct job *, msec, enum server_result);
/* The one answer, where no server's can be given; its end after any answer. */
void job_fail(struct job *, msec, enum job_code);
void job_free(struct job *, msec, enum job_code);
/* End what is in flight, at the end of a stop. */
void job_cut_all(struct entry *, msec);

/* What a server's answer means, for entry-job.c. */
enum reply_verdict {
	REPLY_TAKE,	/* pass it on */
	REPLY_STRAY,	/* for another request */
	REPLY_REJECTED, /* not executed: try elsewhere */
	REPLY_FAILURE,	/* its own failure: executed */
	REPLY_RUBBISH	/* not to be trusted; it may have run */
};
enum reply_verdict reply_judge(const struct job *, const struct http_head *);
/* Keep the head's fields for the caller. */
void reply_head(struct job *, const struct http_head *);
/* Body bytes; false when a stream does not go on where it must. */
bool reply_body(struct job *, const char *, size_t, msec);
/* All came: write the rest; the caller has the whole answer. */
bool reply_whole(struct job *, msec);
/* Forget what is not out yet, for another attempt. */
void reply_forget(struct job *);
/* An answer of our own. */
void
reply_own(struct job *, msec, unsigned int status, msec retry_after, bool keep);

/* ---- rates that servers name: entry-rate.c ---- */

/* The head of an answer to the link's job has come. */
void entry_rate_heard(struct link *, const struct http_head *, msec);
/* Another node has heard it. */
void entry_rate_told(struct place *, struct server *, msec);

/* ---- readiness and directory: entry-query.c ---- */

extern const struct caller_ops query_caller_ops;

/* ---- what is in force: entry-state.c ---- */

enum entry_phase {
	ENTRY_STARTING, /* no configuration yet */
	ENTRY_SERVING,
	ENTRY_LEAVING
};

/* What is counted of the requests of one route. */
struct entry_kind {
	RB_ENTRY(entry_kind) entry;
	char route[NAME_SIZE];
	uint64_t codes[JOB_CODES];
	struct metrics_histogram first, whole, gap;
	struct duration lasts; /* from arrival to the end of the answer */
	struct duration rest;  /* of streams, from the first event on */
};
RB_HEAD(entry_kinds, entry_kind);
int entry_kind_compare(struct entry_kind *, struct entry_kind *);
RB_PROTOTYPE(entry_kinds, entry_kind, entry, entry_kind_compare)
/* Routes beyond that are counted together only. */
#define ENTRY_KINDS_MAX 64

struct entry_counters {
	uint64_t codes[JOB_CODES];
	uint64_t attempts, retries, connects, reused, strays;
	uint64_t tables;
	uint64_t rates, rates_unreadable; /* changes that servers named */
};

struct entry {
	struct loop loop;
	struct settings *settings;
	const char *settings_file;
	int64_t settings_stamp; /* of the file as read last */
	msec settings_look;	/* when to look at it next */
	const struct wire_ops *wire;
	struct source *source;
	enum entry_phase phase;
	msec started;
	msec leaving_since;
	msec leaving_read; /* the signal; it may have waited since the above */
	msec last_request;
	uint64_t incarnation;
	struct route_table *table; /* NULL: none yet */
	struct fresh fresh;
	struct era era;	      /* of the source's store */
	uint64_t era_written; /* known to the source as settled; 0: none */
	struct entry_start start;
	struct entry_table handed; /* by another node */
	struct servers servers;
	struct place place;
	struct entry_poison poison;
	struct loop_timer place_timer;
	struct relay relay;
	struct loop_timer relay_timer;
	struct entry_duty *duty; /* NULL: there are none */
	struct members members;
	struct net net;
	struct loop_io net_io;
	struct loop_io signal_io;
	struct loop_timer tick;
	struct listener_io callers_io, ready_io, directory_io, metrics_io;
	struct caller_list callers;
	unsigned int ncallers;
	struct job_list jobs;
	unsigned int njobs;
	struct link *link_in_hand; /* its bytes are being read */
	struct retry_budgets budgets;
	struct retry_budget_config budget;
	unsigned int live_nodes; /* with us */
	bool source_up;
	msec source_lost; /* since when it does not answer */
	GRand *rand;
	struct entry_log log;
	struct entry_counters counters;
	struct entry_kinds kinds;
	unsigned int nkinds;
};

/* From the source: a newer configuration; takes over the reference. */
void entry_take_table(struct entry *, struct route_table *, msec);
/* The configuration in force is the newest; a read sent then said so. */
void entry_take_proof(struct entry *, msec asked);
/* A read came to its end, but what it brought cannot be put in force. */
void entry_take_nothing(struct entry *, enum relay_subject, msec asked);
/* The servers are the newest; a read sent then said so. */
void entry_take_servers(struct entry *, msec asked);
/* A read of a subject failed; entry_read_due() says when the next may be. */
void entry_read_failed(struct entry *, enum relay_subject, msec);
/* How long the next read of a subject can wait, in ms; 0: it is due. */
msec entry_read_due(const struct entry *, enum relay_subject, msec);
/* Other nodes that announced themselves. */
void entry_take_nodes(struct entry *, const struct vm *, unsigned int, msec);
/* The source does not answer, or answers again. */
void entry_source_down(struct entry *, msec, const char *why);
void entry_source_up(struct entry *, msec);

/* Since the process with an incarnation began, in ms. */
msec entry_age(uint64_t incarnation);
/* Is another node there that takes work? */
bool entry_others_ready(const struct entry *);
/* May callers be sent here? */
bool entry_is_ready(const struct entry *, msec);
struct retry_budget *entry_budget(struct entry *, name_id service);
bool entry_state_init(struct entry *, msec);
/* The bounds of the settings are in force from now on. */
void entry_state_apply(struct entry *);
void entry_state_tick(struct entry *, msec);
void entry_state_finish(struct entry *);
/* Placement has something due: set its timer anew. */
void entry_place_soon(struct entry *, msec);

/* ---- what other nodes know of the newest state: entry-relay.c ---- */

/* How often the list of nodes is to be read. */
msec entry_nodes_every(const struct entry *);
void entry_relay_servers(
    struct entry *, name_id from, const sp_relay_servers *, msec);
void entry_relay_init(struct entry *, msec);
/* The bounds of the settings are in force from now on. */
void entry_relay_apply(struct entry *);
void entry_relay_finish(struct entry *);

/* ---- metrics and dump: entry-metrics.c ---- */

extern const struct caller_ops metrics_caller_ops;
/* A request has ended. */
void entry_count(struct entry *, const struct job *, enum job_code, msec);
/* What is known of a route's requests; NULL: none has ended. */
struct entry_kind *entry_kind_find(struct entry *, const char *route);
void entry_kinds_free(struct entry *);

/* ---- a planned stop: entry-stop.c ---- */

/* It begins; nothing happens when it has begun before. */
void entry_leave(struct entry *, msec);
/* Can an attempt that begins now end before we do? */
bool entry_stop_leaves_time(struct entry *, struct job *, msec);
void entry_stop_tick(struct entry *, msec);

/* ---- the process: entry.c ---- */

/*
 * Run until SIGTERM and its end, with the settings of a file, which are read
 * again when it changes; the exit status.
 */
int entry_main(struct settings *, const char *file, const struct wire_ops *,
    struct source *);

/* ---- settings read again: entry-settings.c ---- */

/* After SIGHUP, or when the file has another stamp than last time. */
void entry_settings_read(struct entry *, msec);
void entry_settings_look(struct entry *, msec);

#endif /* ENTRY_H */
