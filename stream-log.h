/*
 * Records of streams as they stand in the platform's store: of each the
 * stream's id, its service, the version that began it and the ms for which it
 * may be resumed, 28 bytes in network byte order.
 */

#ifndef STREAM_LOG_H
#define STREAM_LOG_H

#include "buffer.h"
#include "proto.h"
#include "savory.h"

/* Of one record. */
#define STREAM_LOG_BYTES 28

/* Appends so many records. */
void stream_log_encode(struct buffer *, const sp_stream_record *, unsigned int);
/*
 * Reads a record from the start of `n` bytes; false if fewer are left than one
 * needs.
 */
bool stream_log_decode(const char *, size_t n, sp_stream_record *);

#endif /* STREAM_LOG_H */
