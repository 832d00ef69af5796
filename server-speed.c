/*
 * The speed at which a server reads prompts; see server-speed.h.
 */

#include "server-speed.h"

#include <glib.h>

/* Shorter work is dominated by the network and the server's other delays. */
#define SPEED_TOKENS_MIN 3000
/* Part that earlier measurements keep with each new one. */
#define SPEED_KEEP 0.9
/* Weight of the default, in tokens: about one long prompt. */
#define SPEED_PRIOR_TOKENS 16000.0
/* Bounds as multiples of the default. */
#define SPEED_MIN_FACTOR 0.2
#define SPEED_MAX_FACTOR 4.0

void
server_speed_record(struct server_speed *s, unsigned int tokens, msec ms)
{
	if (tokens < SPEED_TOKENS_MIN || ms <= 0)
		return;
	s->tokens = s->tokens * SPEED_KEEP + tokens;
	s->ms = s->ms * SPEED_KEEP + (double)ms;
}

double
server_speed_tokens_per_ms(const struct server_speed *s)
{
	double speed = (s->tokens + SPEED_PRIOR_TOKENS) /
		       (s->ms + SPEED_PRIOR_TOKENS / SERVER_SPEED_DEFAULT);

	return CLAMP(speed, SERVER_SPEED_DEFAULT * SPEED_MIN_FACTOR,
	    SERVER_SPEED_DEFAULT * SPEED_MAX_FACTOR);
}
