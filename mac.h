/*
 * Message authentication codes with the key shared by all nodes: HMAC-SHA256
 * truncated to 128 bits.
 */

#ifndef MAC_H
#define MAC_H

#include "savory.h"

#define MAC_SIZE 16

/* A contiguous part of the authenticated bytes. */
struct mac_part {
	const void *data;
	size_t len;
};

/* Compute the code over the parts, in order. */
void mac_sum(
    const char *key, const struct mac_part *, unsigned int, uint8_t[MAC_SIZE]);
/* Compare in constant time, so that a code can't be guessed byte by byte. */
bool mac_equal(const uint8_t *, const uint8_t *);

#endif /* MAC_H */
