/*
 * Queue between threads; see ring.h.
 */

#define LOG_PART "ring"
#include "ring.h"

#include <sys/eventfd.h>

#include <stdlib.h>
#include <unistd.h>

/*
 * ThreadSanitizer does not support the memory fences of Concurrency Kit and
 * would report each transfer of a pointer as a data race. These annotations
 * declare the ordering that the ring guarantees.
 */
#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *);
void __tsan_release(void *);
#define RING_RELEASE(p) __tsan_release(p)
#define RING_ACQUIRE(p) __tsan_acquire(p)
#else
#define RING_RELEASE(p) ((void)(p))
#define RING_ACQUIRE(p) ((void)(p))
#endif

bool
ring_init(struct ring *r, unsigned int size)
{
	r->slots = calloc(size, sizeof *r->slots);
	if (r->slots == NULL)
		return false;
	r->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (r->wake_fd == -1) {
		free(r->slots);
		return false;
	}
	ck_ring_init(&r->ck, size);
	return true;
}

void
ring_finish(struct ring *r)
{
	close(r->wake_fd);
	free(r->slots);
}

bool
ring_put(struct ring *r, void *p)
{
	uint64_t one = 1;

	RING_RELEASE(p);
	if (!ck_ring_enqueue_mpsc(&r->ck, r->slots, p))
		return false;
	if (write(r->wake_fd, &one, sizeof one) == -1)
		log_debug("eventfd is already signalled");
	return true;
}

void *
ring_get(struct ring *r)
{
	void *p;

	if (!ck_ring_dequeue_mpsc(&r->ck, r->slots, &p))
		return NULL;
	RING_ACQUIRE(p);
	return p;
}

void
ring_clear_wake(struct ring *r)
{
	uint64_t n;

	if (read(r->wake_fd, &n, sizeof n) == -1)
		log_debug("eventfd was not signalled");
}
