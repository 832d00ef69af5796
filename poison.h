/*
 * Requests that end the process of the backend server that runs them (poison
 * messages, queries of death), and what names one of them however often its
 * caller sends it.
 */

#ifndef POISON_H
#define POISON_H

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

#endif /* POISON_H */
