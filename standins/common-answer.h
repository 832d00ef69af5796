/*
 * A caller's view of one streamed answer: server-sent events parsed as they
 * come, and every token checked against the function of common-token.h.
 */

#ifndef COMMON_ANSWER_H
#define COMMON_ANSWER_H

#include "savory.h"

enum answer_outcome {
	OUTCOME_NONE, /* nothing was said */
	OUTCOME_RAN,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN
};

struct answer {
	const char *prompt;
	size_t prompt_len;
	uint64_t tokens; /* right ones so far */
	uint64_t asked;
	bool crossed;  /* a token of another answer, or out of order */
	bool done;     /* [DONE] was seen */
	bool in_event; /* of savorypier */
	enum answer_outcome outcome;
	char code[NAME_SIZE]; /* of the final event */
	GString *line;
};

/* The prompt stays the caller's; it asked for so many tokens. */
void answer_init(struct answer *, const char *, size_t, uint64_t);
void answer_finish(struct answer *);
void answer_read(struct answer *, const char *, size_t);
/* Take a header or trailer line, for the outcome in it. */
void answer_header(struct answer *, const char *, size_t);
/* It claims to be whole, yet lacks tokens. */
bool answer_short(const struct answer *);

#endif /* COMMON_ANSWER_H */
