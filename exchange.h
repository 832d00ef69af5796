/*
 * One HTTP call after the other to one address, on a connection that is kept:
 * for a service that is asked again and again, by long polls too.
 */

#ifndef EXCHANGE_H
#define EXCHANGE_H

#include "buffer.h"
#include "http-message.h"
#include "loop.h"
#include "savory.h"

struct exchange;

/* Of a header field's value; a longer one is cut. */
#define EXCHANGE_VALUE 32

/* The status and exchange->body, or status 0: there was no whole answer. */
typedef void (*exchange_done)(struct exchange *, unsigned int, msec);

struct exchange {
	struct loop_io io;
	struct loop *loop;
	uint32_t address; /* IPv4, host byte order */
	uint16_t port;
	exchange_done done;
	/*
	 * Asked when a connection stands and the first byte is about to go
	 * out, which may be long after the call: false, and it is not sent.
	 * NULL: always.
	 */
	bool (*sending)(struct exchange *, msec);
	void *arg;
	msec asked; /* when the call in hand, or the last one, was made */
	bool busy;
	struct buffer body; /* of the answer; good within done() */
	/* A header field whose value is wanted; NULL: none. */
	const char *field;
	char value[EXCHANGE_VALUE]; /* "" when it is missing, or there twice */
	/* Private from here. */
	struct http_reader reader;
	struct buffer request; /* kept until an answer begins */
	size_t written;
	struct loop_timer timer;
	bool connecting;
	bool reused;
	bool repeat; /* may be sent again on a new connection */
};

void exchange_init(struct exchange *, struct loop *, uint32_t, uint16_t,
    exchange_done, void *);
void exchange_finish(struct exchange *);
/*
 * Call with method, target, and a body of so many bytes. The answer must be
 * whole after `timeout`. A GET that finds its kept connection closed goes out
 * once more on a new one. Not while one is busy.
 */
void exchange_call(struct exchange *, const char *method, const char *target,
    const void *body, size_t, msec timeout);
/* The same with more header fields, each with its line end. */
void
exchange_call_fields(struct exchange *, const char *method, const char *target,
    const char *fields, const void *body, size_t, msec timeout);

#endif /* EXCHANGE_H */
