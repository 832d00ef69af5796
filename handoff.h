/*
 * Handing requests off to other nodes. A node without a path to the backend
 * servers sends its callers' requests to another node, the carrier, which
 * handles them as requests of its own callers: it checks keys, places and
 * retries them. The node that received a request answers for the caller's
 * connection, the deadline and what happens if the carrier fails.
 *
 * A request is handed off as the HTTP request of the caller with one more
 * field, HANDOFF_FIELD, whose code proves that it comes from a node of this
 * deployment. A carrier never hands a request off again.
 *
 * The module does no I/O.
 */

#ifndef HANDOFF_H
#define HANDOFF_H

#include "savory.h"

/* Field of a request that was handed off, and its longest value. */
#define HANDOFF_FIELD "Savory-Handoff"
#define HANDOFF_TEXT_SIZE 256
/* Most that a node adds to a head that it passes on to another one. */
#define HANDOFF_HEAD_BYTES 1024
/* Field of a carrier's own answers, which no server has given. */
#define HANDOFF_OUTCOME_FIELD "Savory-Outcome"
/* Field of an answer that a carrier passes on: its server's process. */
#define HANDOFF_SERVER_FIELD "Savory-Server"
/* Longest text of a caller's address. */
#define HANDOFF_CALLER_SIZE 48

/* Terms under which a carrier handles a request. */
struct handoff_terms {
	char node[NAME_SIZE];		  /* that received it */
	char caller[HANDOFF_CALLER_SIZE]; /* address of the caller */
	uint64_t configuration; /* in force there; not handled by an older */
	unsigned int attempts;	/* servers that it may be sent to */
	bool counted;		/* counted for the retry budget already */
	name_id software;	/* version that must serve it; 0: any */
	bool once;		/* it may run once, whatever its route says */
};

/* The request that the terms belong to. */
struct handoff_request {
	const char *method, *target;
	const void *body;
	size_t length;
};

/* Writes the value of HANDOFF_FIELD into HANDOFF_TEXT_SIZE bytes. */
void handoff_encode(const struct handoff_terms *, const char *key,
    const struct handoff_request *, char *);
/* Returns false if the value is malformed or not of this key and request. */
bool handoff_decode(struct handoff_terms *, const char *key,
    const struct handoff_request *, const char *);

/* Why a node did not carry a request. */
enum handoff_failure {
	HANDOFF_FAILED,	 /* not reached, refused, or no answer began */
	HANDOFF_BEHIND,	 /* it is about to have the newest configuration */
	HANDOFF_FULL,	 /* it carries as many as it takes */
	HANDOFF_LEAVING, /* it stops before that request would end */
	HANDOFF_CUT_OFF	 /* the answer had begun and broke off */
};

/* Times until which a node is used less after failures, in ms. */
struct handoff_rest {
	msec avoided_until;	/* not at all */
	msec last_resort_until; /* only if there is no other */
};

/* Sets how much less the node is used after a failure. */
void handoff_rest_after(struct handoff_rest *, msec, enum handoff_failure);

/* A node that may be a carrier. */
struct handoff_candidate {
	name_id id;
	unsigned int requests; /* handed off to it and not ended */
	bool avoided;	       /* it could not carry one a moment ago */
	/* It is stopping, broke an answer off, or reports a cut path. */
	bool last_resort;
};

/*
 * Returns the index of the carrier for a request, the one of two random
 * candidates with fewer requests, or -1 if there is none. Those of last
 * resort are tried only if there are no others: reports may be old, and a
 * stopping node may have time for the request.
 */
int handoff_choose(const struct handoff_candidate *, unsigned int, GRand *);

/*
 * Number of servers that a carrier may send a request to, of `left` attempts.
 * One is kept for the case that the carrier fails and does not tell how many
 * it has used.
 */
unsigned int handoff_attempts(unsigned int left);

/*
 * Returns true if a carrier that carries so many requests takes another one of
 * this rank (0 is most urgent). Less urgent requests leave room for others.
 */
bool handoff_admits(unsigned int carried, unsigned int rank);

#endif /* HANDOFF_H */
