/*
 * An incremental parser of successive HTTP/1.1 messages: the head is returned
 * whole, the body in pieces. http-parser does the framing. Input that this
 * library accepts but other parsers may interpret differently (bare line feeds,
 * folded fields, two lengths) is rejected here, since such a difference lets a
 * caller smuggle a second request through this node. Does no I/O.
 */

#ifndef HTTP_MESSAGE_H
#define HTTP_MESSAGE_H

#include "buffer.h"
#include "savory.h"

#include <http_parser.h>

/* Most that a reader's limit of a head can be. */
#define HTTP_HEAD_BYTES_MAX (2 << 20)
/* Heads with more fields are rejected. */
#define HTTP_FIELDS_MAX 128
/* The same between nodes, which add fields to what they pass on. */
#define HTTP_FIELDS_MAX_NODES 144

/* One header field; the strings point into the reader's memory. */
struct http_field {
	const char *name;
	const char *value;
};

/* A parsed head; valid until the reader is reset. */
struct http_head {
	const char *method; /* requests */
	const char *target;
	unsigned int status; /* responses */
	bool is_http_1_0;    /* HTTP/1.0 */
	bool keep_alive;     /* the connection persists after it */
	bool has_body;	     /* a length above 0, or chunked */
	bool has_length;     /* the head has a Content-Length */
	bool until_close;    /* the body ends when the connection closes */
	uint64_t length;     /* of the body, if sized */
	unsigned int nfields;
	struct http_field fields[HTTP_FIELDS_MAX_NODES];
};

/* How far a message has been parsed. */
enum http_stage {
	HTTP_STAGE_HEAD,
	HTTP_STAGE_BODY,
	HTTP_STAGE_COMPLETE, /* complete according to its framing */
	HTTP_STAGE_FAILED    /* see http_reader.error */
};

/* Why parsing failed. */
enum http_error {
	HTTP_ERROR_NONE,
	HTTP_ERROR_MALFORMED,
	HTTP_ERROR_HEAD_TOO_LARGE,
	HTTP_ERROR_BODY_TOO_LARGE,
	HTTP_ERROR_TRUNCATED /* the connection closed within the message */
};

struct http_reader;

/* Receives a piece of the body; the bytes are valid during the call only. */
typedef void (*http_body)(struct http_reader *, const char *, size_t);

/* The parser of one connection; allocated by the caller. */
struct http_reader {
	http_body body;
	void *arg;
	enum http_stage stage;
	enum http_error error;
	struct http_head *head;	 /* from HTTP_STAGE_BODY on */
	unsigned int fields_max; /* HTTP_FIELDS_MAX, unless set by the user */
	size_t head_max;
	uint64_t body_max;
	uint64_t body_len;     /* passed to body() so far */
	bool for_head_request; /* the response to a HEAD request: no body */
	/* Private from here. */
	struct http_parser parser;
	bool parsed_chunked;	/* how http-parser understood the head */
	uint64_t parsed_length; /* the same; UINT64_MAX: no length */
	struct buffer text;
	size_t line; /* offset in `text` at which the current line begins */
	unsigned int empty_lines; /* before the first line */
};

/* Parse requests or responses; head and body are limited to so many bytes. */
void http_reader_init(struct http_reader *, bool requests, size_t head_max,
    uint64_t body_max, http_body, void *arg);
void http_reader_finish(struct http_reader *);
/* Prepare for the next message on the same connection. */
void http_reader_reset(struct http_reader *);
/*
 * Parse bytes; returns how many were consumed. Stops after the head and after
 * the message, so that the caller can examine them before it continues.
 */
size_t http_reader_parse(struct http_reader *, const char *, size_t);
/*
 * Call when the peer has closed the connection in an orderly way; the stage is
 * HTTP_STAGE_COMPLETE or HTTP_STAGE_FAILED afterwards.
 */
void http_reader_close(struct http_reader *);
/* True while no byte of the next message has been received. */
bool http_reader_is_idle(const struct http_reader *);

/*
 * The value of the first field with this name, or NULL, and the number of such
 * fields. Names are compared without regard to case.
 */
const char *http_head_get(const struct http_head *, const char *);
unsigned int http_head_count(const struct http_head *, const char *);
/* True if a comma-separated field contains the token, ignoring case. */
bool http_head_has_token(const struct http_head *, const char *, const char *);
/* True for hop-by-hop fields: by their name, or listed in Connection. */
bool http_field_is_hop_by_hop(const struct http_head *, const char *);
/*
 * The status of a first line "HTTP/1.x status reason" without its line end. One
 * that is not of three digits, 100 to 599, is none: parsers differ in what they
 * make of it.
 */
bool http_status_parse(const char *, size_t, unsigned int *);
/* The reason phrase of a status. */
const char *http_status_text(unsigned int);

#endif /* HTTP_MESSAGE_H */
