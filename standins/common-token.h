/*
 * The fixed function from (prompt, K) to token K of the answer. The engine
 * makes its answers with it and the load program checks every byte by it.
 */

#ifndef COMMON_TOKEN_H
#define COMMON_TOKEN_H

#include <stddef.h>
#include <stdint.h>

#define TOKEN_LEN 9 /* 8 hex digits and a space */
#define PREFIX_LEN 256

/* Writes TOKEN_LEN bytes and no NUL. */
void token_write(char *, const char *, size_t, uint64_t);
/* The prompt's tokens, taken as four bytes each. */
uint64_t prompt_tokens(size_t);
/* The hash of the prompt's first PREFIX_LEN bytes. */
uint64_t prompt_prefix(const char *, size_t);

#endif /* COMMON_TOKEN_H */
