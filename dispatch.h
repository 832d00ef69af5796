/*
 * Dispatch: decides which engine runs each request, and when. Every engine is
 * owned by one entry VM, which queues reservations and grants slots. An entry
 * node sends reservations to the owners of a few candidate engines and runs the
 * request on the first engine granted. Performs no I/O itself: messages and
 * decisions go out through struct dispatch_ops.
 */

#ifndef DISPATCH_H
#define DISPATCH_H

#include "document.h"
#include "member.h"
#include "proto.h"
#include "savory.h"

struct dispatch;
struct dispatch_request;

/* Why a request was refused. */
enum dispatch_refusal {
	DISPATCH_QUEUE_FULL, /* the queues of the engines are full */
	DISPATCH_EVICTED,    /* displaced by a higher tier */
	DISPATCH_HOPELESS,   /* would miss its target or deadline */
	DISPATCH_NO_ENGINE,  /* the service has no engine */
	DISPATCH_LIMITED     /* the organisation is over its limit */
};

/*
 * One request waiting for a slot or holding one. The caller owns the memory
 * and keeps it until dispatch_done(), dispatch_cancel() or ops->refused().
 */
struct dispatch_request {
	TAILQ_ENTRY(dispatch_request) entry;
	/* Set by the caller before dispatch_submit(). */
	name_id service;
	unsigned int class_index;
	uint64_t document_version;
	name_id organisation;
	uint64_t prefix; /* hash of the prompt's start; 0: none */
	unsigned int prompt_tokens;
	unsigned int max_tokens; /* 0: unknown */
	msec arrived;
	msec deadline; /* point in time; MSEC_NEVER: none */
	name_id avoid; /* engine not to use; 0: none */
	bool resumed;  /* continues a stream: not refused for load */
	void *arg;
	/* Read by the caller. */
	unsigned int id;
	name_id engine; /* engine granted; 0: none */
	/* Private to dispatch from here. */
	struct dispatch_request_state *priv;
};

/* Callbacks; all must be set. */
struct dispatch_ops {
	/*
	 * Sends a message to a node; delivery is not guaranteed. Must not
	 * call dispatch functions.
	 */
	void (*send)(struct dispatch *, name_id, const sp_msg *);
	/* Starts the request on r->engine. */
	void (*granted)(struct dispatch *, struct dispatch_request *);
	/* Reports a refusal, with a retry delay in ms or 0. */
	void (*refused)(struct dispatch *, struct dispatch_request *,
	    enum dispatch_refusal, msec);
	/* Asks to stop this running stream for a higher tier. */
	void (*preempt)(struct dispatch *, struct dispatch_request *);
};

/* An engine or a plain backend server, from the VM list. */
struct dispatch_engine {
	name_id id;
	name_id service;
	name_id domain;
	bool leaving;		 /* gets no new work */
	unsigned int slots_hint; /* slots configured; 0: unknown */
};

/* A node of the membership list, which includes the local node. */
struct dispatch_node {
	name_id id;
	uint64_t incarnation;
	name_id domain;
	bool takes_work; /* alive; not leaving, not dead */
};

/* How a request ended on its engine. */
struct dispatch_result {
	enum {
		DISPATCH_OK,		/* the whole answer was received */
		DISPATCH_ENGINE_FAILED, /* refused, crashed or broke off */
		DISPATCH_CALLER_LEFT	/* caller disconnected or cancelled */
	} how;
	msec first_token; /* ms after the grant; -1: none */
	msec stream;	  /* ms from first to last token */
	unsigned int tokens;
};

/* The local node's identity and policy; copied by dispatch_init(). */
struct dispatch_config {
	name_id self;
	uint64_t incarnation;
	name_id domain;
	const char *policy; /* owner, random, round-robin,
			       least-load, two-choices */
	uint32_t seed;
};

/* Monotonic counters. */
struct dispatch_counters {
	uint64_t submitted, granted, refused, cancelled;
	uint64_t evicted, hopeless, limited, widened;
	uint64_t sent[32]; /* messages by sp_kind */
	uint64_t owner_changes;
};

/*
 * Dispatch state of one node; the caller allocates it. Owners are chosen by
 * rendezvous hashing (Thaler and Ravishankar, 1998).
 */
struct dispatch {
	const struct dispatch_ops *ops;
	struct dispatch_counters counters;
	struct dispatch_data *priv;
	void *arg; /* for the callbacks */
};

/* Returns false when the policy name is unknown. */
bool dispatch_init(struct dispatch *, const struct dispatch_ops *,
    const struct dispatch_config *, msec);
void dispatch_finish(struct dispatch *);

/* Replaces the set of nodes, which includes the local node. */
void dispatch_set_nodes(
    struct dispatch *, msec, const struct dispatch_node *, unsigned int);
/* Replaces the set of engines of all services. */
void dispatch_set_engines(
    struct dispatch *, msec, const struct dispatch_engine *, unsigned int);
/* Applies the classes and organisation weights of a service; copies them. */
void dispatch_set_document(struct dispatch *, msec, const struct document *);
/* Load report of an engine, possibly outdated: running and waiting requests. */
void
dispatch_set_load(struct dispatch *, msec, name_id, unsigned int, unsigned int);

/*
 * Requests a slot. May call ops->granted() or ops->refused() before returning.
 */
void dispatch_submit(struct dispatch *, msec, struct dispatch_request *);
/* Withdraws a request that waits, or that holds a slot it has not used. */
void dispatch_cancel(struct dispatch *, msec, struct dispatch_request *);
/*
 * Reports the first token of a granted request. Optional: without it, owners
 * learn only from complete answers.
 */
void dispatch_first_token(struct dispatch *, msec, struct dispatch_request *);
/* Reports how a granted request ended on its engine. */
void dispatch_done(struct dispatch *, msec, struct dispatch_request *,
    const struct dispatch_result *);

/* Handles an authenticated message from a node with this incarnation. */
void
dispatch_receive(struct dispatch *, msec, name_id, uint64_t, const sp_msg *);
/* Runs timers that are due; returns when to call it next. */
msec dispatch_tick(struct dispatch *, msec);
/* Gives up ownership of all engines, before a planned stop. */
void dispatch_leave(struct dispatch *, msec);
/* Returns the state as text; the caller frees it. */
char *dispatch_dump(struct dispatch *, msec);

#endif /* DISPATCH_H */
