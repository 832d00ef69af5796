/*
 * The ids of a stream's events, which increase. Within one server's answer any
 * rise is taken; where another server goes on, the event that is due must
 * follow, as far as the ids before tell which one that is. Does no I/O.
 */

#ifndef EVENT_ORDER_H
#define EVENT_ORDER_H

#include "savory.h"

struct event_order {
	uint64_t last;	/* id of the last event */
	uint64_t count; /* of events */
	/* Private from here. */
	uint64_t step;	/* by which ids rise */
	bool irregular; /* they rise by several */
	bool joined;	/* the next event is another answer's first */
};

/* `after`: the stream goes on after this id; 0: it starts. */
void event_order_init(struct event_order *, uint64_t after);
/* From now on events are those of another answer. */
void event_order_join(struct event_order *);
/* The next event; false: it does not follow the last one. */
bool event_order_add(struct event_order *, uint64_t id);
/* Events up to the last one, with those that the stream goes on after. */
uint64_t event_order_made(const struct event_order *);

#endif /* EVENT_ORDER_H */
