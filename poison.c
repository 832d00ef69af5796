/*
 * Requests that end their servers; see poison.h.
 */

#define LOG_PART "poison"
#include "poison.h"

#include <inttypes.h>
#include <string.h>

#include <xxhash.h>

/* ---- names ---- */

/* With its length, so that no two fields can change places. */
static void
id_add(XXH3_state_t *s, const void *bytes, size_t n)
{
	uint64_t length = n;

	XXH3_128bits_update(s, &length, sizeof length);
	XXH3_128bits_update(s, bytes, n);
}

struct poison_id
poison_id_make(const char *key, const struct poison_request *r)
{
	XXH3_state_t *s = XXH3_createState();
	XXH128_hash_t sum;

	XXH3_128bits_reset_withSeed(s, XXH3_64bits(key, strlen(key)));
	id_add(s, r->method, strlen(r->method));
	id_add(s, r->host, strlen(r->host));
	id_add(s, r->path, strlen(r->path));
	id_add(s, r->caller, strlen(r->caller));
	id_add(s, r->body, r->length);
	sum = XXH3_128bits_digest(s);
	XXH3_freeState(s);
	return (struct poison_id){ sum.high64, sum.low64 };
}

bool
poison_id_equal(struct poison_id a, struct poison_id b)
{
	return a.high == b.high && a.low == b.low;
}

bool
poison_id_is_none(struct poison_id id)
{
	return id.high == 0 && id.low == 0;
}

void
poison_id_print(struct poison_id id, char text[POISON_ID_SIZE])
{
	g_snprintf(text, POISON_ID_SIZE, "%016" PRIx64, id.high);
}
