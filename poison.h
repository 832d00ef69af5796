/*
 * Detects poison requests (poison messages, queries of death): requests that
 * terminate the process of the backend server that executes them. If a node
 * retries such a request on the next server, or its caller sends it through
 * another node, it can terminate one server after the other.
 *
 * Records are stored by a hash of the request's contents. The only evidence is
 * that a server process ended while it was executing the request; a complete
 * answer clears the record. All requests in progress on a server that ends
 * become suspects, and most of them are harmless. So a suspect is sent again,
 * but only once at a time across all nodes, which attributes a further end to
 * it. After POISON_ENDS ends it is condemned: it is not sent, except for trials
 * at intervals that grow.
 *
 * There is no leader. Each request has an owner and a deputy among the live
 * nodes, chosen by rendezvous hashing. Both receive each end. The owner decides
 * which node may send a suspect. From the second end on, all nodes receive the
 * record. Records are sets of ended processes and are merged by union, so
 * reordered, repeated or lost messages have no lasting effect. New nodes
 * receive the records, and each node periodically sends some to another one.
 *
 * Requests that are all different can have a part of their prompts in common
 * that terminates servers. So the same records are kept of the parts that
 * prompts share. Many parts are aboard a server that ends, and some are in most
 * of the traffic, so that ends alone prove little: only ends without an answer
 * count, see poison-part.c. A suspect part delays nothing at first; from
 * POISON_PART_PERMIT_ENDS ends on requests with it are sent one at a time, and
 * after POISON_PART_ENDS it is condemned, and they are not sent.
 *
 * This module does no I/O.
 */

#ifndef POISON_H
#define POISON_H

#include "proto.h"
#include "savory.h"

/*
 * Hash of a request's contents; equal for repeated attempts, and on all nodes
 * with the same key. All zero: none.
 */
struct poison_id {
	uint64_t high, low;
};

/* The hashed contents of a request; the caller keeps the memory. */
struct poison_request {
	const char *method, *host, *path; /* with its query */
	const char *caller;		  /* identity of the caller */
	const void *body;
	size_t length;	   /* bytes of it */
	const char *model; /* NULL: none */
	/* Tokens of the prompt, and to generate at most; 0: not given. */
	unsigned int prompt_tokens, max_tokens;
	const uint64_t *parts; /* all parts of the prompt, in order */
	unsigned int nparts;
};

/* Compute an id; the key is secret, so that callers cannot cause collisions. */
struct poison_id poison_id_make(const char *key, const struct poison_request *);
bool poison_id_equal(struct poison_id, struct poison_id);
bool poison_id_is_none(struct poison_id);
/*
 * Format for logs and dumps: 16 hexadecimal digits and NUL; of parts, as
 * callers name them.
 */
#define POISON_ID_SIZE 17
void poison_id_print(struct poison_id, char[POISON_ID_SIZE]);

/* The parts of a request's prompt that other requests may share, by name. */
struct poison_parts {
	unsigned int n;
	const uint64_t *names;	/* in the prompt's order */
	const uint64_t *sorted; /* the same, ascending */
};

/* Copies the names; users share the copy, which the last of them frees. */
struct poison_parts poison_parts_make(const uint64_t *names, unsigned int n);
struct poison_parts poison_parts_share(const struct poison_parts *);
void poison_parts_drop(struct poison_parts *);

/* The id of a part by its name in requests; logs show that name. */
struct poison_id poison_part_id(uint64_t name);
bool poison_id_is_part(struct poison_id);

/* Server processes that a request ends before it is condemned. */
#define POISON_ENDS 3
/*
 * The same for a part, and from how many on requests with it are sent one at a
 * time over all nodes. Ends at one moment count as one.
 */
#define POISON_PART_ENDS 6
#define POISON_PART_PERMIT_ENDS 4
/* Maximum number of ended processes in a record: the first and the newest. */
#define POISON_ENDS_STORED 8
/*
 * Maximum number of records of requests, and of parts. The oldest record with
 * the fewest ended processes is evicted first, condemned ones last.
 */
#define POISON_RECORDS_MAX 1024
#define POISON_PARTS_MAX 8192

/* Whether a request may be sent to a server. */
enum poison_verdict {
	POISON_SEND,
	POISON_WAIT,	 /* not decided yet; decided() follows */
	POISON_HELD,	 /* no decision in time, do not send */
	POISON_CONDEMNED /* condemned */
};
const char *poison_verdict_name(enum poison_verdict);

/* A server process that ended. */
struct poison_process {
	uint64_t life; /* identifies the process */
	msec ended_at;
};

/* What a record is of. */
enum poison_kind {
	POISON_KIND_REQUEST,
	POISON_KIND_PART,
	POISON_KINDS
};

/* Lists of records, in the order of eviction. */
enum poison_level {
	POISON_ENDED_NONE, /* cleared */
	POISON_ENDED_ONCE,
	POISON_ENDED_MORE,
	POISON_ENDED_ENOUGH, /* to be condemned, or a part to be held back */
	POISON_LEVELS
};

/* The last answer of this node with a part. Private. */
struct poison_part_answer {
	uint64_t name;
	msec at; /* 0: unused */
};

/* The record of one request or part. Private to poison*.c. */
struct poison_record {
	RB_ENTRY(poison_record) entry;
	TAILQ_ENTRY(poison_record) age; /* newest last */
	struct poison_id id;
	struct poison_process
	    lives[POISON_ENDS_STORED]; /* since `served`, by time */
	unsigned int nlives;
	msec served;		 /* last complete answer; MSEC_NEVER: never */
	enum poison_level level; /* the list of struct poisons it is in */
	/* Number of times it is still to be sent to others, and when. */
	unsigned int sends_left;
	msec send_at;
	bool broadcast; /* it was sent to all nodes */
	msec write_at;	/* to the platform's store; MSEC_NEVER: not */
	/* On the owner: the node that may send the request now. */
	name_id granted_node; /* 0: none */
	uint32_t granted_seq;
	msec granted_since;
	unsigned int failed_trials; /* servers ended during a permission */
};
RB_HEAD(poison_records, poison_record);
TAILQ_HEAD(poison_ages, poison_record);

/* A request of this node to be sent; allocated by the caller. */
struct poison_run {
	TAILQ_ENTRY(poison_run) entry;
	struct poison_id id;
	void *arg;
	/* Private from here. */
	bool waiting; /* for the owner or for another run of the request */
	bool granted; /* it may be sent, as the only one */
	name_id owner;
	uint32_t seq;
	unsigned int
	    unanswered_asks; /* number of unanswered SP_POISON_ASK messages */
	msec asked;	     /* time of the last one */
	msec since;	     /* start of the wait */
	msec next_check;     /* next check */
};
TAILQ_HEAD(poison_runs, poison_run);

/* A permission that is returned to the owner after a delay. Private. */
struct poison_release {
	TAILQ_ENTRY(poison_release) entry;
	struct poison_id id;
	name_id owner;
	uint32_t seq;
	msec due;
};
TAILQ_HEAD(poison_releases, poison_release);

struct poisons;

/* Callbacks; all are required. */
struct poison_ops {
	/* Send a message, which may be lost. Must not call this module. */
	void (*send)(struct poisons *, name_id, const sp_msg *);
	/* The verdict on a run for which poison_ask() returned POISON_WAIT. */
	void (*decided)(
	    struct poisons *, struct poison_run *, enum poison_verdict, msec);
	/* A request or part was condemned, here or by another node. */
	void (*condemned)(struct poisons *, struct poison_id, msec);
	/* A complete answer cleared a condemned request or part. */
	void (*cleared)(struct poisons *, struct poison_id, msec);
	/* A record is to be written: poisons_take_unwritten(), and no more. */
	void (*unwritten)(struct poisons *, msec);
};

/* A live node. */
struct poison_node {
	name_id id;
	uint64_t incarnation;
	bool may_own; /* may be an owner: has taken work for some time */
};

/* Counters; none ever decreases. */
struct poison_counters {
	uint64_t ends;		/* of servers during requests of this node */
	uint64_t condemned;	/* requests, by this or another node */
	uint64_t cleared;	/* suspects, by a complete answer */
	uint64_t refused, held; /* runs that were not sent */
	uint64_t asked;		/* SP_POISON_ASK messages sent */
	uint64_t decided_alone; /* decisions without the owner's answer */
	uint64_t trials;	/* permitted as owner */
	uint64_t dropped;	/* evicted records */
	uint64_t records_sent;	/* records sent to other nodes */
	/* The same of parts. */
	uint64_t part_ends, parts_condemned, parts_cleared, parts_refused;
};

/* State of the local node; allocated by the caller. */
struct poisons {
	const struct poison_ops *ops;
	name_id self;
	GRand *rand;
	struct poison_records tree;
	struct poison_ages lists[POISON_KINDS]
				[POISON_LEVELS]; /* oldest first */
	unsigned int counts[POISON_KINDS];
	struct poison_parts sound;	    /* as an operator declared */
	struct poison_part_answer *answers; /* a table by hash of the name */
	bool closed;			    /* see poisons_hold_waiting() */
	unsigned int nunsent;	 /* records still to be sent to other nodes */
	unsigned int nunwritten; /* records still to be written */
	bool loading;		 /* a record of the platform's store */
	struct poison_runs waiting, granted;
	struct poison_releases releases;
	struct poison_node *nodes;
	unsigned int nnodes;
	uint32_t seq;
	msec next_sync;
	msec next_broadcast;	    /* earliest time of the next broadcast */
	struct poison_id sync_from; /* where the next periodic message starts */
	struct poison_counters counters;
	void *arg; /* for the caller's use */
};

/* `self` is the local node's id. Before poisons_finish() all runs must end. */
void poisons_init(
    struct poisons *, const struct poison_ops *, name_id self, GRand *);
void poisons_finish(struct poisons *);
/* From now on, let no waiting run proceed when another run ends. */
void poisons_hold_waiting(struct poisons *);
/* Set all live nodes. Sends records to nodes that are new or restarted. */
void poisons_set_nodes(
    struct poisons *, msec, const struct poison_node *, unsigned int);

/*
 * Request permission to send a run to a server. POISON_WAIT: decided() follows,
 * unless poison_run_end() is called first. A granted run keeps its permission.
 */
enum poison_verdict poison_ask(struct poisons *, msec, struct poison_run *);
/*
 * A run has ended or was cancelled. Must not be called for the same run from
 * decided(). `broke`: its server closed the connection. Then the next run waits
 * until poison_server_checked() or a timeout, as the server may have ended.
 */
void poison_run_end(struct poisons *, msec, struct poison_run *, bool broke);
/* It is now known whether the server that broke off has ended. */
void poison_server_checked(struct poisons *, msec, struct poison_id);
/* A server process ended while it was executing the request. */
void
poison_server_ended(struct poisons *, msec, struct poison_id, uint64_t life);
/* A server answered the request completely. */
void poison_answered(struct poisons *, msec, struct poison_id);
/* Whether the request is condemned and no trial is due. */
bool poison_is_condemned(struct poisons *, msec, struct poison_id);
/* Number of server ends in the request's record. */
unsigned int poison_count_ends(struct poisons *, struct poison_id);
/* Time in ms until a trial of a condemned request is permitted; 0: now. */
msec poison_trial_delay(struct poisons *, msec, struct poison_id);
/* ---- parts of prompts ---- */

/*
 * May a request with these parts be sent? POISON_WAIT: with the owner's
 * permission; see poison_ask_parts(). `which` is the part that decided.
 */
enum poison_verdict poison_judge_parts(struct poisons *, msec,
    const struct poison_parts *, struct poison_id *which);
/* As poison_ask(), for the parts of a request; the run is for one of them. */
enum poison_verdict poison_ask_parts(struct poisons *, msec,
    const struct poison_parts *, struct poison_run *, struct poison_id *which);
/*
 * A server process ended at `at` before it had answered a request with these
 * parts for some time. That counts against those that have a record, and for
 * so many others, drawn at random, a record is made.
 */
void poison_parts_ended(struct poisons *, msec, const struct poison_parts *,
    uint64_t life, msec at, unsigned int most_new);
/*
 * At `at` a server had answered such a request, completely and successfully, or
 * for some time.
 */
void poison_parts_answered(
    struct poisons *, msec, const struct poison_parts *, msec at);
/*
 * Parts that are never held back or condemned on this node, as an operator
 * declared them sound; replaces the last such list.
 */
void poisons_set_sound_parts(struct poisons *, const struct poison_parts *);
/* Number of parts that are condemned. */
unsigned int poison_count_condemned_parts(const struct poisons *);

/* ---- records in the platform's store, which outlive all nodes ---- */

/* The key of a record: 32 hexadecimal digits and NUL. */
#define POISON_KEY_SIZE 33
void poison_key_print(struct poison_id, char[POISON_KEY_SIZE]);
/*
 * The next record that this node is to write now, as its owner or deputy, and
 * its text, allocated; NULL: it is to be deleted. `wall` is the wall clock in
 * ms. False: there is none.
 */
bool poisons_take_unwritten(
    struct poisons *, msec, msec wall, struct poison_id *, char **text);
/* A record was not written: it is taken again from `at` on. */
void poisons_write_again(struct poisons *, struct poison_id, msec at);
/* The store has lost what was written last: all is written again from `at`. */
void poisons_write_all(struct poisons *, msec at);
/* Takes a record of the store; false: it is malformed. */
bool poisons_load(
    struct poisons *, msec, msec wall, const char *key, const char *text);

/* Handle an SP_POISON_* message from a node. */
void poisons_receive(struct poisons *, msec, name_id, const sp_msg *);
/* Run due work. Returns the time of the next call. */
msec poisons_tick(struct poisons *, msec);
/* Write a line for each record with several ends, and one for the totals. */
void poisons_dump(const struct poisons *, GString *, msec);

#endif /* POISON_H */
