/*
 * A queue of bytes in one block of memory: added at its end, taken from its
 * start. Empty buffers hold no memory, since a node keeps thousands of idle
 * connections.
 */

#ifndef BUFFER_H
#define BUFFER_H

#include "savory.h"

/* The bytes are data[at] to data[len - 1]. All zero is an empty buffer. */
struct buffer {
	char *data;
	size_t at, len, size;
};

/* Free what it holds; it is empty then. */
void buffer_finish(struct buffer *);
/* Room for so many bytes at the end; buffer_added() says how many came. */
char *buffer_room(struct buffer *, size_t);
void buffer_added(struct buffer *, size_t);
/* Append bytes, a string, or what printf would write. */
void buffer_add(struct buffer *, const void *, size_t);
void buffer_add_text(struct buffer *, const char *);
void buffer_printf(struct buffer *, const char *, ...)
    __attribute__((format(printf, 2, 3)));
/* Take so many from the start; the last one frees the memory. */
void buffer_drop(struct buffer *, size_t);
/* The bytes there, and how many. */
const char *buffer_bytes(const struct buffer *);
size_t buffer_left(const struct buffer *);

#endif /* BUFFER_H */
