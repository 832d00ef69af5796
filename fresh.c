/*
 * Age of the proof of the newest configuration; see fresh.h.
 */

#include "fresh.h"

void
fresh_init(struct fresh *f, msec bound)
{
	*f = (struct fresh){ MSEC_NEVER, bound };
}

void
fresh_prove(struct fresh *f, msec asked)
{
	if (f->proven == MSEC_NEVER || asked > f->proven)
		f->proven = asked;
}

msec
fresh_age(const struct fresh *f, msec now)
{
	return f->proven == MSEC_NEVER ? MSEC_NEVER : now - f->proven;
}

bool
fresh_holds(const struct fresh *f, msec now)
{
	if (f->proven == MSEC_NEVER)
		return false;
	return f->bound == 0 || now - f->proven < f->bound;
}
