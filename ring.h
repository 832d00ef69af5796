/*
 * A bounded multi-producer, single-consumer queue of pointers: Concurrency
 * Kit's ring buffer with an eventfd that wakes the consumer.
 */

#ifndef RING_H
#define RING_H

#include "savory.h"

#include <ck_ring.h>

/* The queue; allocated by the caller. */
struct ring {
	ck_ring_t ck;
	ck_ring_buffer_t *slots;
	int wake_fd; /* readable while the queue may contain pointers */
};

/* The size is a power of two. False: no memory or no eventfd. */
bool ring_init(struct ring *, unsigned int);
void ring_finish(struct ring *);
/* Add a pointer; from any thread. False: the ring is full. */
bool ring_put(struct ring *, void *);
/* Remove the oldest pointer; consumer thread only. NULL when empty. */
void *ring_get(struct ring *);
/* Reset the eventfd; the consumer calls it before it empties the ring. */
void ring_clear_wake(struct ring *);

#endif /* RING_H */
