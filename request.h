/*
 * State machine of one caller's request, from its acceptance to its outcome.
 * Performs no I/O itself: events come in as calls, actions go out through
 * struct request_ops.
 *
 * The outcome reported to the caller is always one of these, and always true:
 *   ran      the whole answer of exactly one run was delivered
 *   not-run  no backend server has executed any part of it
 *   unknown  anything else
 */

#ifndef REQUEST_H
#define REQUEST_H

#include "savory.h"

/* Attempts of one request, first run and retries together. */
#define REQUEST_ATTEMPTS_MAX 4
/* Retries allowed per 1000 new requests of a service, and the maximum saved. */
#define REQUEST_RETRY_PERMILLE 100
#define REQUEST_RETRY_BURST 20

/* In chronological order. */
enum request_state {
	REQUEST_NEW,	    /* accepted, not yet waiting for anything */
	REQUEST_CLAIMING,   /* waits for the claim of its idempotency key */
	REQUEST_QUEUED,	    /* waits for a slot */
	REQUEST_DISPATCHED, /* sent to a backend server: may execute */
	REQUEST_STREAMING,  /* part of the answer has been passed on */
	REQUEST_DONE	    /* the outcome has been reported */
};

/* Outcome reported to the caller; see above. */
enum request_outcome {
	REQUEST_RAN,
	REQUEST_NOT_RUN,
	REQUEST_UNKNOWN
};

/* Reason of an outcome; request_code_name() returns its stable name. */
enum request_code {
	REQUEST_CODE_OK,
	REQUEST_CODE_OVERLOADED,     /* queues are full */
	REQUEST_CODE_HOPELESS,	     /* would miss its target or deadline */
	REQUEST_CODE_NO_BACKEND,     /* the service has no backend server */
	REQUEST_CODE_LIMITED,	     /* over the organisation's limit */
	REQUEST_CODE_UNREACHABLE,    /* no backend server could be reached */
	REQUEST_CODE_BACKEND_FAILED, /* failed before the answer began */
	REQUEST_CODE_BROKEN,	     /* failed in the middle of the answer */
	REQUEST_CODE_LEAVING,	     /* this entry VM is stopping */
	REQUEST_CODE_CLAIM_FAILED,   /* the log rejected the claim */
	REQUEST_CODE_CLAIM_UNKNOWN,  /* unknown whether the key's request ran */
	REQUEST_CODE_OTHER_BODY,     /* the key was used with another body */
	REQUEST_CODE_BAD_TICKET,     /* forged, or another organisation's */
	REQUEST_CODE_CALLER_GONE
};

/* How an attempt on a backend server ended. */
enum attempt_end {
	ATTEMPT_WHOLE,	  /* the whole answer was received */
	ATTEMPT_UNSENT,	  /* connection failed; no byte was sent */
	ATTEMPT_REJECTED, /* the engine reported that it did not run it */
	ATTEMPT_BROKEN	  /* anything else */
};

struct request;

/* Callbacks; all must be set. */
struct request_ops {
	/* Requests a slot; request_granted() or request_refused() follows. */
	void (*submit)(struct request *, msec);
	/* Cancels the request for a slot. */
	void (*withdraw)(struct request *, msec);
	/* Starts attempt r->attempt on the granted slot, at token r->tokens. */
	void (*start)(struct request *, msec);
	/* Stops the attempt; its later events are ignored. */
	void (*stop)(struct request *, msec);
	/* Frees the slot and reports how the attempt ended. */
	void (*release)(struct request *, msec, enum attempt_end);
	/* Reports the outcome to the caller. The last call for a request. */
	void (*finish)(struct request *, msec);
};

/* Retry budget and counters of one service, shared by its requests. */
struct request_shared {
	const struct request_ops *ops;
	unsigned int retry_credit; /* in 1/1000 of a retry */
	uint64_t retries;
	uint64_t retries_denied;
	uint64_t late;		/* events of attempts already abandoned */
	uint64_t wasted_tokens; /* generated, but not part of a whole answer */
	uint64_t resumed;
	uint64_t repeated; /* runs after one that may have executed */
	uint64_t outcomes[REQUEST_UNKNOWN + 1];
};

/* One request; allocated by the caller of this API. */
struct request {
	struct request_shared *shared;
	enum request_state state;
	bool repeatable;
	bool resumable;	       /* the backend servers can continue a stream */
	bool maybe_ran;	       /* some attempt may have executed */
	unsigned int attempt;  /* the current attempt; 0: none */
	unsigned int attempts; /* attempts started so far */
	unsigned int tokens;   /* of the answer, passed on to the caller */
	unsigned int repeats;  /* runs after one that may have executed */
	enum request_outcome outcome;
	enum request_code code;
	msec retry_after;
};

/* Initialise the book of a service, and a request of that service. */
void request_shared_init(struct request_shared *, const struct request_ops *);
void request_init(
    struct request *, struct request_shared *, bool repeatable, bool resumable);

/* Waits for the claim of its key, until request_go() or request_fail(). */
void request_claim(struct request *);
/* Requests a slot. */
void request_go(struct request *, msec);
/*
 * Fails it, with a retry delay in ms: not-run unless an attempt may have run.
 */
void request_fail(struct request *, msec, enum request_code, msec);
/* As request_fail(), but it may have run elsewhere: the outcome is unknown. */
void request_fail_unknown(struct request *, msec, enum request_code);
/* Ends it with the answer of another request with the same key. */
void request_joined(struct request *, msec, enum request_outcome);

/* The slot was granted, or refused with a retry delay in ms. */
void request_granted(struct request *, msec);
void request_refused(struct request *, msec, enum request_code, msec);
/* The first part of the answer has been passed on to the caller. */
void request_first(struct request *, msec, unsigned int attempt);
/* The attempt ended; `tokens` of the answer were passed on in total. */
void request_ended(struct request *, msec, unsigned int attempt,
    enum attempt_end, unsigned int tokens);
/* The node it was forwarded to has reported its outcome. */
void request_forwarded(
    struct request *, msec, unsigned int attempt, enum request_outcome);
/* Stops a stream that can be resumed, to free its slot for a higher tier. */
void request_preempt(struct request *, msec);
/* The caller has disconnected. */
void request_caller_gone(struct request *, msec);
/* The node has reached its stop deadline. */
void request_cut(struct request *, msec);

/* Stable names, used in answers and metrics. */
const char *request_outcome_name(enum request_outcome);
const char *request_code_name(enum request_code);

#endif /* REQUEST_H */
