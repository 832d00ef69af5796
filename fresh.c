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
fresh_record_proof(struct fresh *f, msec asked)
{
	if (f->proof_at == MSEC_NEVER || asked > f->proof_at)
		f->proof_at = asked;
}

msec
fresh_age(const struct fresh *f, msec now)
{
	return f->proof_at == MSEC_NEVER ? MSEC_NEVER : now - f->proof_at;
}

bool
fresh_is_valid(const struct fresh *f, msec now)
{
	if (f->proof_at == MSEC_NEVER)
		return false;
	return f->bound == 0 || now - f->proof_at < f->bound;
}
