/*
 * A limit on the sum of what requests hold; see memory-budget.h.
 */

#include "memory-budget.h"

/* Of the process's memory; the rest is its code, state and fragmentation. */
#define MEMORY_BUDGET_PERCENT 50
/* A level is left so many percent of the budget below its mark. */
#define MEMORY_HYSTERESIS_PERCENT 10

/* Marks of the levels, in percent of the budget. */
static const unsigned int marks[] = {
	[MEMORY_NORMAL] = 0,
	[MEMORY_HIGH] = 30,
	[MEMORY_CRITICAL] = 75,
	[MEMORY_FULL] = 90,
	[MEMORY_EXCEEDED] = 100,
};

static size_t
memory_bytes(const struct memory_budget *m, unsigned int percent)
{
	return m->size / 100 * percent;
}

void
memory_budget_init(struct memory_budget *m, size_t memory)
{
	*m = (struct memory_budget){ 0 };
	m->size = memory / 100 * MEMORY_BUDGET_PERCENT;
}

enum memory_level
memory_budget_set(struct memory_budget *m, size_t held)
{
	enum memory_level next;

	m->held = held;
	m->most = MAX(m->most, held);
	while (m->level < MEMORY_EXCEEDED &&
	       held >= memory_bytes(m, marks[m->level + 1]))
		m->level++;
	while (m->level > MEMORY_NORMAL) {
		next = m->level - 1;
		if (held >= memory_bytes(
				m, marks[m->level] - MEMORY_HYSTERESIS_PERCENT))
			break;
		m->level = next;
	}
	return m->level;
}

unsigned int
memory_budget_read_on(const struct memory_budget *m, size_t most)
{
	size_t mark = memory_bytes(m, marks[MEMORY_CRITICAL]);

	return m->held < mark ? (unsigned int)((mark - m->held) / most) : 0;
}

int
memory_holder_compare(const void *a, const void *b)
{
	const struct memory_holder *x = a, *y = b;

	if (x->progress != y->progress)
		return x->progress < y->progress ? -1 : 1;
	return (x->bytes < y->bytes) - (x->bytes > y->bytes);
}

int
memory_holder_compare_end(const void *a, const void *b)
{
	const struct memory_holder *x = a, *y = b;
	unsigned int m = g_bit_storage(x->bytes), n = g_bit_storage(y->bytes);

	if (m != n)
		return m > n ? -1 : 1;
	return (x->progress > y->progress) - (x->progress < y->progress);
}

size_t
memory_budget_excess(const struct memory_budget *m, enum memory_level level)
{
	size_t mark = memory_bytes(m, marks[level] - MEMORY_HYSTERESIS_PERCENT);

	return m->held > mark ? m->held - mark : 0;
}
