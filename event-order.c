/*
 * The ids of a stream's events; see event-order.h.
 */

#define LOG_PART "event"
#include "event-order.h"

void
event_order_init(struct event_order *o, uint64_t after)
{
	*o = (struct event_order){ .last = after, .step = 1 };
}

void
event_order_join(struct event_order *o)
{
	o->joined = o->count > 0;
}

/* The first two events tell the step, the others whether it stays. */
static void
order_learn(struct event_order *o, uint64_t id)
{
	if (o->count >= 2)
		o->irregular |= id - o->last != o->step;
	else if (id > o->last)
		o->step = id - o->last;
}

bool
event_order_add(struct event_order *o, uint64_t id)
{
	if (o->count > 0 && id <= o->last)
		return false;
	if (o->joined && !o->irregular && id - o->last != o->step)
		return false;
	order_learn(o, id);
	o->joined = false;
	o->last = id;
	o->count++;
	return true;
}

uint64_t
event_order_made(const struct event_order *o)
{
	return o->irregular ? o->count : o->last / o->step;
}
