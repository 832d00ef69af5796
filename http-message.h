/*
 * Reads one HTTP/1.1 message after the other from bytes as they come: the
 * head whole, the body in pieces. Framing is http-parser's; what that library
 * lets pass and others might read otherwise (bare line feeds, folded fields,
 * two lengths) is refused here, since a message that two parsers read apart
 * lets a caller smuggle a second request past us. Without input or output.
 */

#ifndef HTTP_MESSAGE_H
#define HTTP_MESSAGE_H

#include "buffer.h"
#include "savory.h"

#include <http_parser.h>

/* Heads with more fields are refused. */
#define HTTP_FIELDS_MAX 128

/* One header field; the text lies in the reader's memory. */
struct http_field {
	const char *name;
	const char *value;
};

/* A head as read; good until the reader is reset. */
struct http_head {
	const char *method; /* requests */
	const char *target;
	unsigned int status; /* answers */
	bool old;	     /* HTTP/1.0 */
	bool keep_alive;     /* the connection goes on after it */
	bool has_body;	     /* a length above 0, or chunks */
	bool sized;	     /* the length stands in the head */
	bool to_the_end;     /* the body ends with the connection */
	uint64_t length;
	unsigned int nfields;
	struct http_field fields[HTTP_FIELDS_MAX];
};

/* Where a message stands. */
enum http_stage {
	HTTP_STAGE_HEAD,
	HTTP_STAGE_BODY,
	HTTP_STAGE_WHOLE, /* ended where its framing says */
	HTTP_STAGE_FAILED /* see http_reader.error */
};

/* Why it failed. */
enum http_error {
	HTTP_ERROR_NONE,
	HTTP_ERROR_MALFORMED,
	HTTP_ERROR_HEAD_TOO_LARGE,
	HTTP_ERROR_BODY_TOO_LARGE,
	HTTP_ERROR_CUT /* the connection ended in the middle */
};

struct http_reader;

/* Takes a piece of the body; the bytes are lent for the call. */
typedef void (*http_body)(struct http_reader *, const char *, size_t);

/* One connection's reader, in the embedder's memory. */
struct http_reader {
	http_body body;
	void *arg;
	enum http_stage stage;
	enum http_error error;
	struct http_head *head; /* from HTTP_STAGE_BODY on */
	size_t head_max;
	uint64_t body_max;
	uint64_t body_len; /* passed to body() so far */
	bool to_head;	   /* the answer to a HEAD request: no body */
	/* Private from here. */
	struct http_parser parser;
	struct buffer text;
	size_t line; /* where in the text the line in hand begins */
};

/* For requests or answers; bounds of head and body in bytes. */
void http_reader_init(struct http_reader *, bool requests, size_t head_max,
    uint64_t body_max, http_body, void *arg);
void http_reader_finish(struct http_reader *);
/* For the next message on the same connection. */
void http_reader_reset(struct http_reader *);
/*
 * Take bytes; returns how many. Stops after the head, and after the message,
 * so that the embedder looks before it goes on.
 */
size_t http_reader_take(struct http_reader *, const char *, size_t);
/* The peer closed in good order: the stage is WHOLE or FAILED after it. */
void http_reader_close(struct http_reader *);
/* True while no byte of a message has come. */
bool http_reader_is_idle(const struct http_reader *);

/* The first field with the name, in any case, or NULL; how many there are. */
const char *http_head_get(const struct http_head *, const char *);
unsigned int http_head_count(const struct http_head *, const char *);
/* True if a comma-separated field names the token, in any case. */
bool http_head_has_token(const struct http_head *, const char *, const char *);
/* True for fields that concern one connection only, by name or by Connection.
 */
bool http_field_is_hop(const struct http_head *, const char *);
/* The words for a status. */
const char *http_status_text(unsigned int);

#endif /* HTTP_MESSAGE_H */
