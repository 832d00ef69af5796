/*
 * Prompts that servers have read; see server-memory.h.
 */

#include "server-memory.h"

#include <xxhash.h>

#define MEMORY_UNIT_MS 100

static uint64_t
memory_hash(uint64_t cache, uint64_t prompt)
{
	uint64_t words[2] = { cache, prompt };

	return XXH64(words, sizeof words, 2);
}

void
server_memory_note(
    struct server_memory *m, msec now, uint64_t cache, uint64_t prompt)
{
	uint64_t hash = memory_hash(cache, prompt);
	size_t i = hash % SERVER_MEMORY_PLACES;

	if (!server_memory_has(m, now, cache, prompt, SERVER_MEMORY_KEPT_MS))
		m->places[i].read = false;
	m->places[i].key = (uint32_t)(hash >> 32);
	m->places[i].at = (uint32_t)(now / MEMORY_UNIT_MS) + 1;
}

void
server_memory_note_read(
    struct server_memory *m, uint64_t cache, uint64_t prompt)
{
	uint64_t hash = memory_hash(cache, prompt);
	size_t i = hash % SERVER_MEMORY_PLACES;

	if (m->places[i].key == (uint32_t)(hash >> 32))
		m->places[i].read = true;
}

void
server_memory_forget(struct server_memory *m, uint64_t cache, uint64_t prompt)
{
	uint64_t hash = memory_hash(cache, prompt);
	size_t i = hash % SERVER_MEMORY_PLACES;

	if (m->places[i].key == (uint32_t)(hash >> 32))
		m->places[i].at = 0;
}

bool
server_memory_has(const struct server_memory *m, msec now, uint64_t cache,
    uint64_t prompt, msec within)
{
	uint64_t hash = memory_hash(cache, prompt);
	size_t i = hash % SERVER_MEMORY_PLACES;
	uint32_t at = m->places[i].at;

	if (at == 0 || m->places[i].key != (uint32_t)(hash >> 32))
		return false;
	return now - (msec)(at - 1) * MEMORY_UNIT_MS <= within;
}

bool
server_memory_has_read(const struct server_memory *m, msec now, uint64_t cache,
    uint64_t prompt, msec within)
{
	size_t i = memory_hash(cache, prompt) % SERVER_MEMORY_PLACES;

	return server_memory_has(m, now, cache, prompt, within) &&
	       m->places[i].read;
}

msec
server_memory_last_use(
    const struct server_memory *m, uint64_t cache, uint64_t prompt)
{
	uint64_t hash = memory_hash(cache, prompt);
	size_t i = hash % SERVER_MEMORY_PLACES;

	if (m->places[i].at == 0 || m->places[i].key != (uint32_t)(hash >> 32))
		return MSEC_NEVER;
	return (msec)(m->places[i].at - 1) * MEMORY_UNIT_MS;
}
