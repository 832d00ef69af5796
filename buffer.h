/*
 * A byte queue in one contiguous allocation: appended at the end, consumed from
 * the start. An empty buffer holds no memory, since a node keeps thousands of
 * idle connections.
 */

#ifndef BUFFER_H
#define BUFFER_H

#include "savory.h"

/*
 * The unread bytes are data[at] to data[len - 1]; `size` bytes are allocated.
 * A zeroed struct is an empty buffer.
 */
struct buffer {
	char *data;
	size_t at, len, size;
};

/* Bytes that all buffers of the process have allocated, from any thread. */
size_t buffers_allocated(void);

/* Free the memory; the buffer is empty afterwards and may be used again. */
void buffer_finish(struct buffer *);
/*
 * Make room for so many bytes at the end and return where they go; report how
 * many were written there with buffer_commit().
 */
char *buffer_reserve(struct buffer *, size_t);
void buffer_commit(struct buffer *, size_t);
/* Append bytes, a string, or formatted text. */
void buffer_add(struct buffer *, const void *, size_t);
void buffer_add_text(struct buffer *, const char *);
void buffer_printf(struct buffer *, const char *, ...)
    __attribute__((format(printf, 2, 3)));
/* Append all of another buffer, which is empty afterwards. */
void buffer_move(struct buffer *, struct buffer *);
/* Remove so many bytes from the start; an emptied buffer frees its memory. */
void buffer_consume(struct buffer *, size_t);
/* The unread bytes, and their number. */
const char *buffer_bytes(const struct buffer *);
size_t buffer_length(const struct buffer *);

#endif /* BUFFER_H */
