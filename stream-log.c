/*
 * Records of streams in the platform's store; see stream-log.h.
 */

#include "stream-log.h"

#include <endian.h>
#include <string.h>

/* The layout of a record. */
struct stream_log_record {
	uint64_t id, service, software;
	uint32_t left_ms;
} __attribute__((packed));
_Static_assert(
    sizeof(struct stream_log_record) == STREAM_LOG_BYTES, "record size");

void
stream_log_encode(
    struct buffer *b, const sp_stream_record *list, unsigned int n)
{
	struct stream_log_record r;
	unsigned int i;

	for (i = 0; i < n; i++) {
		r = (struct stream_log_record){ htobe64(list[i].id),
			htobe64(list[i].service), htobe64(list[i].software),
			htobe32(list[i].left_ms) };
		buffer_add(b, &r, sizeof r);
	}
}

bool
stream_log_decode(const char *bytes, size_t n, sp_stream_record *m)
{
	struct stream_log_record r;

	if (n < sizeof r)
		return false;
	memcpy(&r, bytes, sizeof r);
	*m = (sp_stream_record){ .id = be64toh(r.id),
		.service = be64toh(r.service),
		.software = be64toh(r.software),
		.left_ms = be32toh(r.left_ms) };
	return true;
}
