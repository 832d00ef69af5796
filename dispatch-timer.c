/*
 * Timers of dispatch, in a tree ordered by due time.
 */

#define LOG_PART "dispatch"
#include "dispatch-private.h"

static int timer_compare(struct timer *, struct timer *);

RB_PROTOTYPE(timer_tree, timer, entry, timer_compare)
RB_GENERATE(timer_tree, timer, entry, timer_compare)

static int
timer_compare(struct timer *a, struct timer *b)
{
	if (a->at != b->at)
		return a->at < b->at ? -1 : 1;
	return a->seq < b->seq ? -1 : a->seq > b->seq;
}

void
timer_clear(struct dispatch *d, struct timer *t)
{
	if (t->at == MSEC_NEVER)
		return;
	RB_REMOVE(timer_tree, &d->priv->timers, t);
	t->at = MSEC_NEVER;
}

void
timer_set(struct dispatch *d, struct timer *t, msec at)
{
	timer_clear(d, t);
	if (at == MSEC_NEVER)
		return;
	t->at = at;
	t->seq = ++d->priv->timer_seq;
	RB_INSERT(timer_tree, &d->priv->timers, t);
}

void
timers_run(struct dispatch *d, msec now)
{
	struct timer *t;

	while ((t = RB_MIN(timer_tree, &d->priv->timers)) != NULL) {
		if (t->at > now)
			return;
		timer_clear(d, t);
		t->fire(d, now, t);
	}
}

msec
timers_next(struct dispatch *d)
{
	struct timer *t = RB_MIN(timer_tree, &d->priv->timers);

	return t == NULL ? MSEC_NEVER : t->at;
}
