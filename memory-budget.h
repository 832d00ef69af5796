/*
 * A limit on what a process holds for all its requests together: how near it
 * is, which answers may be read on, and from which holder to take. The limits
 * of single requests do not bound their sum.
 *
 * Does no I/O and allocates nothing.
 */

#ifndef MEMORY_BUDGET_H
#define MEMORY_BUDGET_H

#include "savory.h"

/* How full the budget is. */
enum memory_level {
	MEMORY_NORMAL,
	MEMORY_HIGH,	 /* what can wait is not read on */
	MEMORY_CRITICAL, /* holders that do not progress are ended */
	MEMORY_FULL,	 /* no new request is taken */
	MEMORY_EXCEEDED	 /* any holder is ended */
};

struct memory_budget {
	size_t size; /* bytes that may be held */
	size_t held; /* bytes held now */
	size_t most; /* the most so far */
	enum memory_level level;
};

/* What a request, or an answer, holds. */
struct memory_holder {
	size_t bytes;
	msec progress; /* when its bytes moved last */
	void *arg;     /* the caller's */
};

/* The budget is that part of the memory that the process may use. */
void memory_budget_init(struct memory_budget *, size_t memory);
/*
 * Bytes are held now. A level is left only at some distance below the mark at
 * which it was reached.
 */
enum memory_level memory_budget_set(struct memory_budget *, size_t);
/*
 * How many answers of so many bytes at the most may be read on at the same time
 * without the critical level.
 */
unsigned int memory_budget_read_on(const struct memory_budget *, size_t most);
/* Order by `progress`, and the largest of equals first, for qsort(). */
int memory_holder_compare(const void *, const void *);
/*
 * Order in which to end holders, for qsort(): those of about the same size, up
 * to a factor of two, by how long their bytes have not moved; larger ones
 * first.
 */
int memory_holder_compare_end(const void *, const void *);
/* Bytes to free until a level is left. */
size_t memory_budget_excess(const struct memory_budget *, enum memory_level);

#endif /* MEMORY_BUDGET_H */
