/*
 * Splits an engine's stream of server-sent events into complete events, so that
 * an interrupted stream ends between two tokens and can be resumed at the next
 * token.
 */

#ifndef SSE_H
#define SSE_H

#include "savory.h"

/* Bytes of an event, at most; a longer one makes the stream malformed. */
#define SSE_EVENT_MAX (64 * 1024)

/* The state of one stream; allocated by the caller. */
struct sse {
	char *rest; /* start of an incomplete event */
	size_t rest_len;
	size_t rest_size;
	unsigned int tokens; /* complete events with data, except [DONE] */
	bool done;	     /* [DONE] has been received */
	bool malformed;	     /* malformed: the attempt has failed */
};

/* Initialise the state of a new stream; free its memory. */
void sse_init(struct sse *);
void sse_finish(struct sse *);
/*
 * Process received bytes. Calls `event` with each run of complete events: the
 * unchanged bytes and the number of tokens in them. False once the stream is
 * malformed.
 */
bool sse_feed(struct sse *, const char *, size_t,
    void (*event)(void *, const char *, size_t, unsigned int), void *);

#endif /* SSE_H */
