/*
 * Requests that end the process of the backend server that runs them (poison
 * messages, queries of death). Sent again and again, by a node that goes to
 * the next server or by a caller that asks another node, one of them ends
 * every server there is.
 *
 * What is known of a request is kept under a name of what it asks. Evidence is
 * only that a server's process ended while the request was there; a whole
 * answer clears it. Whatever was there at the end is suspect, and most of that
 * is innocent: a suspect is sent again, but one at a time over all nodes, so
 * that each further end tells. After three ends it is condemned and not sent,
 * but for a trial after a long time that grows with each.
 *
 * Nobody is elected. Each request has an owner among the live nodes, by
 * rendezvous hashing, and a deputy: both hear of each end, the owner says who
 * may send a suspect, and from the second end on all nodes are told. Records
 * are merged as sets of processes that ended, so that any order, a repeat or a
 * loss of messages changes nothing for good; nodes that are new are told, and
 * all pass on what they know now and then.
 *
 * A core without input or output.
 */

#ifndef POISON_H
#define POISON_H

#include "proto.h"
#include "savory.h"

/*
 * Names a request by what it asks, not by the attempt of its caller: the same
 * on all nodes that share a key. All zero: none.
 */
struct poison_id {
	uint64_t high, low;
};

/* What a request asks; the text is lent. */
struct poison_request {
	const char *method, *host, *path; /* with its query */
	const char *caller;		  /* who sends it */
	const void *body;
	size_t length; /* bytes of it */
};

/* By a key that callers do not know, so that none can make another's name. */
struct poison_id poison_id_make(const char *key, const struct poison_request *);
bool poison_id_equal(struct poison_id, struct poison_id);
bool poison_id_is_none(struct poison_id);
/* As logs and dumps have it, 16 hexadecimal digits and the end. */
#define POISON_ID_SIZE 17
void poison_id_print(struct poison_id, char[POISON_ID_SIZE]);

/* Servers that ended under a request before it is condemned. */
#define POISON_ENDS 3
/* Ends that are remembered: the first ones and the newest. */
#define POISON_LIVES 8
/* Requests that are remembered; the least suspect, then the oldest, yield. */
#define POISON_RECORDS_MAX 1024

/* May it be sent to a server? */
enum poison_verdict {
	POISON_GO,
	POISON_WAIT, /* the same is under way; decided() follows */
	POISON_HELD, /* it was for too long */
	POISON_NO    /* condemned */
};
const char *poison_verdict_name(enum poison_verdict);

/* The process of a server that ended. */
struct poison_life {
	uint64_t life;
	msec at;
};

/* What is known of one request. Private to poison*.c. */
struct poison_record {
	RB_ENTRY(poison_record) entry;
	TAILQ_ENTRY(poison_record) age; /* the newest last */
	struct poison_id id;
	struct poison_life lives[POISON_LIVES]; /* since served, by time */
	unsigned int nlives;
	msec served;	  /* MSEC_NEVER: never */
	bool listed_high; /* in which of the lists of age */
	/* Still to be passed on, and when. */
	unsigned int tells;
	msec tell_at;
	bool wide; /* all nodes were told once */
	/* As owner: who may send it now. */
	name_id runner; /* 0: nobody */
	uint32_t runner_seq;
	msec runner_since;
};
RB_HEAD(poison_records, poison_record);
TAILQ_HEAD(poison_ages, poison_record);

/* A request of this node that wants to be sent; in the embedder's memory. */
struct poison_run {
	TAILQ_ENTRY(poison_run) entry;
	struct poison_id id;
	void *arg;
	/* Private from here. */
	bool waiting; /* for an answer, or its turn */
	bool granted; /* it is under way as the only one */
	name_id owner;
	uint32_t seq;
	unsigned int asks; /* without an answer */
	msec asked;
	msec since;
	msec looked; /* not before that again */
};
TAILQ_HEAD(poison_runs, poison_run);

/* Leave that is given back a little later. Private. */
struct poison_release {
	TAILQ_ENTRY(poison_release) entry;
	struct poison_id id;
	name_id owner;
	uint32_t seq;
	msec due;
};
TAILQ_HEAD(poison_releases, poison_release);

struct poisons;

/* What the core calls; all must be given. */
struct poison_ops {
	/* Send to a node; may be dropped. Must not call back. */
	void (*send)(struct poisons *, name_id, const sp_msg *);
	/* Of a run that had to wait. */
	void (*decided)(
	    struct poisons *, struct poison_run *, enum poison_verdict, msec);
	/* It has just been condemned, here or by another node. */
	void (*condemned)(struct poisons *, struct poison_id, msec);
};

/* A live node, ourselves too. */
struct poison_node {
	name_id id;
	uint64_t incarnation;
	bool owns; /* takes work, and has for a while */
};

/* Counters; all only grow. */
struct poison_counters {
	uint64_t ends;		/* of servers, under requests of this node */
	uint64_t condemned;	/* requests, as known here */
	uint64_t cleared;	/* of suspects, by a whole answer */
	uint64_t refused, held; /* runs that were not sent */
	uint64_t asked, alone;	/* owners; decided without their answer */
	uint64_t trials;	/* given as owner */
	uint64_t dropped;	/* records that yielded to others */
	uint64_t told;		/* records sent to other nodes */
};

/* The core's state; one per node, in the embedder's memory. */
struct poisons {
	const struct poison_ops *ops;
	name_id self;
	GRand *rand;
	struct poison_records tree;
	/* Those with one end, and those with more. */
	struct poison_ages low, high;
	unsigned int count;
	bool closed;
	unsigned int untold; /* records that are still to be passed on */
	struct poison_runs waiting, granted;
	struct poison_releases releases;
	struct poison_node *nodes;
	unsigned int nnodes;
	uint32_t seq;
	msec next_sync;
	msec next_wide;		 /* no message to all nodes before */
	struct poison_id synced; /* passed on last */
	struct poison_counters counters;
	void *arg; /* the embedder's */
};

/* Start for a node's id; the end. No run may be left then. */
void poisons_init(
    struct poisons *, const struct poison_ops *, name_id self, GRand *);
void poisons_finish(struct poisons *);
/* None that waits goes on from now on. */
void poisons_close(struct poisons *);
/* All live nodes. A new process among them is told what it should know. */
void poisons_set_nodes(
    struct poisons *, msec, const struct poison_node *, unsigned int);

/*
 * May a run be sent to a server now? POISON_WAIT: decided() follows, unless
 * poison_end() takes it back. A run that has been given leave keeps it.
 */
enum poison_verdict poison_ask(struct poisons *, msec, struct poison_run *);
/*
 * It is not under way any more, or not wanted. Not to be called in decided()
 * for the same run. When its server broke off, the next waits until it is known
 * whether the server has ended.
 */
void poison_end(struct poisons *, msec, struct poison_run *, bool broke);
/* It is known whether the server that broke off has ended. */
void poison_settled(struct poisons *, msec, struct poison_id);
/* The process of a server ended while the request was there. */
void poison_ended(struct poisons *, msec, struct poison_id, uint64_t life);
/* A server answered it whole. */
void poison_served(struct poisons *, msec, struct poison_id);
/* Condemned, and no trial is due? */
bool poison_is_condemned(struct poisons *, msec, struct poison_id);
/* Ends of servers that speak against it. */
unsigned int poison_ends(struct poisons *, struct poison_id);
/* Until a trial of a condemned request may be given, in ms; 0: now. */
msec poison_trial_in(struct poisons *, msec, struct poison_id);
/* From a node. */
void poisons_receive(struct poisons *, msec, name_id, const sp_msg *);
/* Do what is due; the point at which to call it next. */
msec poisons_tick(struct poisons *, msec);
/* The whole state as text, a line each. */
void poisons_dump(const struct poisons *, GString *, msec);

#endif /* POISON_H */
