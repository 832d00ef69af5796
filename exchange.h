/*
 * An HTTP client for one address: one request at a time on a persistent
 * connection, for services that are called repeatedly, including by long polls.
 */

#ifndef EXCHANGE_H
#define EXCHANGE_H

#include "buffer.h"
#include "http-message.h"
#include "loop.h"
#include "savory.h"

struct exchange;

/* Bytes kept of a header field's value; a longer value is truncated. */
#define EXCHANGE_VALUE_SIZE 32

/*
 * Called when the request ends: with the response's status and exchange->body,
 * or with status 0 if no complete response arrived.
 */
typedef void (*exchange_done)(struct exchange *, unsigned int, msec);

struct exchange {
	struct loop_io io;
	struct loop *loop;
	uint32_t address; /* IPv4, host byte order */
	uint16_t port;
	exchange_done done;
	/*
	 * Called when the connection is established and the first byte is
	 * about to be sent, which may be long after exchange_call(). If it
	 * returns false, the request is not sent. NULL: always send.
	 */
	bool (*sending)(struct exchange *, msec);
	void *arg;
	msec asked; /* when the current or last exchange_call() was made */
	bool busy;  /* a request is in progress */
	struct buffer body; /* of the response; valid within done() */
	/* The header field to copy from the response; NULL: none. */
	const char *field;
	char value[EXCHANGE_VALUE_SIZE]; /* "" when the field is missing or
					  * repeated
					  */
	/* Private from here. */
	struct http_reader reader;
	struct buffer request; /* kept for a repeat until the request ends */
	size_t written;
	struct loop_timer timer;
	bool connecting;
	bool reused;	 /* the connection has carried an earlier request */
	bool may_repeat; /* the request may be sent again on a new connection */
};

void exchange_init(struct exchange *, struct loop *, uint32_t, uint16_t,
    exchange_done, void *);
void exchange_finish(struct exchange *);
/*
 * Send a request with a method, a target and a body of so many bytes. It fails
 * unless the response is complete within `timeout` ms. A GET whose persistent
 * connection turns out to be closed is sent once more on a new one. Must not be
 * called while `busy`.
 */
void exchange_call(struct exchange *, const char *method, const char *target,
    const void *body, size_t, msec timeout);
/* The same with additional header fields, each ending in CRLF. */
void
exchange_call_fields(struct exchange *, const char *method, const char *target,
    const char *fields, const void *body, size_t, msec timeout);

#endif /* EXCHANGE_H */
