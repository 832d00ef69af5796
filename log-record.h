/*
 * Encoding of the records in the platform's log: JSON objects with a format
 * version, a kind and a unique id. Every fold (a state built from a stream's
 * records) counts and skips unknown kinds and newer format versions.
 */

#ifndef LOG_RECORD_H
#define LOG_RECORD_H

#include "savory.h"

#include <jansson.h>

/* The newest supported format, and limits in bytes. */
#define LOG_RECORD_FORMAT 1
#define LOG_RECORD_BYTES_MAX (1024 * 1024)
#define LOG_ID_SIZE 33 /* 32 hex digits */

/* One stream per subject, so that a node reads only those it needs. */
#define LOG_STREAM_DOCUMENTS "documents"
#define LOG_STREAM_LEASES "leases"
#define LOG_STREAM_LEDGER "ledger-%u" /* shard number */
#define LOG_LEDGER_SHARDS 16

/* Generate a unique id from the system's random numbers. */
void log_id_make(char[LOG_ID_SIZE]);
/* True for an id as log_id_make() generates it. */
bool log_id_valid(const char *);
/*
 * Decode a record. Returns its JSON object (a new reference) if it is well
 * formed, of a supported format and at most LOG_RECORD_BYTES_MAX long, or NULL.
 */
json_t *log_record_decode(const char *, size_t);
/* "kind" and "id" of a decoded record; never NULL ("" when missing). */
const char *log_record_kind(const json_t *);
const char *log_record_id(const json_t *);
/* A new record with format, kind and id set. */
json_t *log_record_new(const char *, const char *);
/* A member that must be an integer of at least 0; false if it is not. */
bool log_record_uint(const json_t *, const char *, uint64_t *);
/*
 * 64-bit hashes are encoded as 16 hex digits, since many JSON readers lose
 * precision in numbers above 2^53.
 */
bool log_record_hex(const json_t *, const char *, uint64_t *);
void log_record_set_hex(json_t *, const char *, uint64_t);
/*
 * Encode a record, releasing the reference to it. Returns the text to append,
 * which the caller frees with free(), or NULL if it exceeds
 * LOG_RECORD_BYTES_MAX.
 */
char *log_record_encode(json_t *);

#endif /* LOG_RECORD_H */
