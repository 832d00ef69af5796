/*
 * A byte queue in one contiguous allocation; see buffer.h.
 */

#include "buffer.h"

#include <ck_pr.h>
#include <stdarg.h>
#include <string.h>

#define BUFFER_SIZE_MIN 512
/* Larger buffers grow by a quarter, smaller ones to twice their size. */
#define BUFFER_SIZE_LARGE (256 * 1024)

static uint64_t buffers_bytes;

size_t
buffers_allocated(void)
{
	return (size_t)ck_pr_load_64(&buffers_bytes);
}

void
buffer_finish(struct buffer *b)
{
	ck_pr_sub_64(&buffers_bytes, b->size);
	g_free(b->data);
	*b = (struct buffer){ 0 };
}

static size_t
buffer_next_size(size_t size)
{
	return size >= BUFFER_SIZE_LARGE ? size + size / 4 : size * 2;
}

char *
buffer_reserve(struct buffer *b, size_t n)
{
	size_t need;

	if (b->at > 0 && b->len + n > b->size) {
		memmove(b->data, b->data + b->at, b->len - b->at);
		b->len -= b->at;
		b->at = 0;
	}
	need = b->len + n;
	if (need > b->size) {
		ck_pr_sub_64(&buffers_bytes, b->size);
		b->size =
		    MAX(MAX(need, buffer_next_size(b->size)), BUFFER_SIZE_MIN);
		ck_pr_add_64(&buffers_bytes, b->size);
		b->data = g_realloc(b->data, b->size);
	}
	return b->data + b->len;
}

void
buffer_commit(struct buffer *b, size_t n)
{
	b->len += n;
}

void
buffer_add(struct buffer *b, const void *bytes, size_t n)
{
	if (n == 0)
		return;
	memcpy(buffer_reserve(b, n), bytes, n);
	b->len += n;
}

void
buffer_move(struct buffer *to, struct buffer *from)
{
	if (buffer_length(to) == 0) {
		buffer_finish(to);
		*to = *from;
		*from = (struct buffer){ 0 };
		return;
	}
	buffer_add(to, buffer_bytes(from), buffer_length(from));
	buffer_finish(from);
}

void
buffer_add_text(struct buffer *b, const char *s)
{
	buffer_add(b, s, strlen(s));
}

void
buffer_printf(struct buffer *b, const char *fmt, ...)
{
	g_autofree char *s = NULL;
	va_list ap;

	va_start(ap, fmt);
	s = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	buffer_add_text(b, s);
}

void
buffer_consume(struct buffer *b, size_t n)
{
	b->at += n;
	if (b->at >= b->len)
		buffer_finish(b);
}

const char *
buffer_bytes(const struct buffer *b)
{
	return b->data + b->at;
}

size_t
buffer_length(const struct buffer *b)
{
	return b->len - b->at;
}
