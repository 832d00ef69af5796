/*
 * Which server has read which prompt, as far as our own requests showed: a
 * server keeps what it has read while nothing newer needs the room.
 */

#ifndef SERVER_MEMORY_H
#define SERVER_MEMORY_H

#include "savory.h"

/*
 * A table of this many places; two prompts that share a place push each other
 * out: of the 2,000 pairs that a group of 20 servers may have under load, one
 * in sixteen.
 */
#define SERVER_MEMORY_PLACES 16384

/* The table; all zero is empty. */
struct server_memory {
	struct {
		uint32_t key;
		uint32_t at; /* in tenths of a second; 0: empty */
	} places[SERVER_MEMORY_PLACES];
};

/* The server has read the prompt, or used what it had of it. */
void server_memory_note(
    struct server_memory *, msec, name_id server, uint64_t prompt);
/* It did not, after all. */
void
server_memory_forget(struct server_memory *, name_id server, uint64_t prompt);
/* Did it within the last so many ms? */
bool server_memory_has(const struct server_memory *, msec, name_id server,
    uint64_t prompt, msec within);

#endif /* SERVER_MEMORY_H */
