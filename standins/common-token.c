/*
 * Tokens of the stand-in's answers; see common-token.h.
 */

#include "common-token.h"

#include <xxhash.h>

void
token_write(char *buf, const char *prompt, size_t n, uint64_t k)
{
	static const char digits[] = "0123456789abcdef";
	uint32_t low = (uint32_t)XXH64(prompt, n, k);
	int i;

	for (i = 7; i >= 0; i--) {
		buf[i] = digits[low & 15];
		low >>= 4;
	}
	buf[8] = ' ';
}

uint64_t
prompt_tokens(size_t n)
{
	return (n + 3) / 4;
}

uint64_t
prompt_prefix(const char *prompt, size_t n)
{
	return XXH64(prompt, n < PREFIX_LEN ? n : PREFIX_LEN, 0);
}
