/*
 * Message authentication codes; see mac.h.
 */

#define LOG_PART "mac"
#include "mac.h"

#include <string.h>

void
mac_sum(const char *key, const struct mac_part *parts, unsigned int n,
    uint8_t out[MAC_SIZE])
{
	uint8_t whole[32];
	gsize size = sizeof whole;
	unsigned int i;
	GHmac *hmac;

	hmac = g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)key, strlen(key));
	for (i = 0; i < n; i++)
		g_hmac_update(hmac, parts[i].data, (gssize)parts[i].len);
	g_hmac_get_digest(hmac, whole, &size);
	g_hmac_unref(hmac);
	memcpy(out, whole, MAC_SIZE);
}

bool
mac_equal(const uint8_t *a, const uint8_t *b)
{
	volatile uint8_t diff = 0;
	unsigned int i;

	for (i = 0; i < MAC_SIZE; i++)
		diff |= a[i] ^ b[i];
	return diff == 0;
}
