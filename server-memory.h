/*
 * A table of the prompts that each server has read and probably still holds in
 * its cache, as recorded from requests. (It has nothing to do with the memory
 * usage of servers.)
 */

#ifndef SERVER_MEMORY_H
#define SERVER_MEMORY_H

#include "savory.h"

/*
 * Number of table entries. Pairs of server and prompt with the same index
 * overwrite each other: one in sixteen of the 2,000 pairs that a group of 20
 * servers may have under load.
 */
#define SERVER_MEMORY_PLACES 16384

/* How long a server's cache holds a prompt after its last use. */
#define SERVER_MEMORY_KEPT_MS (15 * MSEC_SECOND)

/* The table; all zero bytes are an empty one. */
struct server_memory {
	struct {
		uint32_t key;
		uint32_t at; /* in tenths of a second; 0: empty */
		bool read;   /* completely; other servers can fetch it */
	} places[SERVER_MEMORY_PLACES];
};

/*
 * Records that a server reads the prompt, or uses its cached copy; `cache`: its
 * server_cache_id(), so that a restarted server holds nothing.
 */
void server_memory_note(
    struct server_memory *, msec, uint64_t cache, uint64_t prompt);
/* The server has read a prompt that was noted. */
void server_memory_note_read(
    struct server_memory *, uint64_t cache, uint64_t prompt);
/* Returns true if server_memory_has(), and it has read the whole prompt. */
bool server_memory_has_read(const struct server_memory *, msec, uint64_t cache,
    uint64_t prompt, msec within);
/* When the server used the prompt last; MSEC_NEVER: not recorded. */
msec server_memory_last_use(
    const struct server_memory *, uint64_t cache, uint64_t prompt);
/* Removes the record: the request ended before its prompt was read. */
void
server_memory_forget(struct server_memory *, uint64_t cache, uint64_t prompt);
/* Returns true if that was recorded within the last `within` ms. */
bool server_memory_has(const struct server_memory *, msec, uint64_t cache,
    uint64_t prompt, msec within);

#endif /* SERVER_MEMORY_H */
