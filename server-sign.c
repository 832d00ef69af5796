/*
 * Signs of life of a backend server; see server-sign.h.
 */

#include "server-sign.h"

void
server_sign_sent(struct server_sign *s, msec now)
{
	if (!s->awaited)
		s->since = now;
	s->awaited = true;
}

void
server_sign_heard(struct server_sign *s)
{
	s->awaited = false;
}

msec
server_sign_awaited(const struct server_sign *s, msec now)
{
	return s->awaited ? now - s->since : -1;
}
