/*
 * Percentiles by buckets; see common-histogram.h.
 */

#include "common-histogram.h"

/* Below HISTOGRAM_SUB exact; above, HISTOGRAM_SUB buckets a power of two. */
static unsigned int
histogram_bucket(uint64_t v)
{
	unsigned int shift, i;

	if (v < HISTOGRAM_SUB)
		return (unsigned int)v;
	shift = 63 - (unsigned int)__builtin_clzll(v) - HISTOGRAM_SUB_BITS;
	i = (shift + 1) * HISTOGRAM_SUB +
	    (unsigned int)((v >> shift) - HISTOGRAM_SUB);
	return i < HISTOGRAM_BUCKETS ? i : HISTOGRAM_BUCKETS - 1;
}

static uint64_t
histogram_value(unsigned int i)
{
	unsigned int shift;

	if (i < HISTOGRAM_SUB)
		return i;
	shift = i / HISTOGRAM_SUB - 1;
	return (uint64_t)(HISTOGRAM_SUB + i % HISTOGRAM_SUB) << shift;
}

void
histogram_add(struct histogram *h, uint64_t v)
{
	h->count[histogram_bucket(v)]++;
	h->total++;
}

void
histogram_merge(struct histogram *h, const struct histogram *from)
{
	unsigned int i;

	for (i = 0; i < HISTOGRAM_BUCKETS; i++)
		h->count[i] += from->count[i];
	h->total += from->total;
}

uint64_t
histogram_quantile(const struct histogram *h, double share)
{
	uint64_t below = 0, rank = (uint64_t)(share * (double)h->total);
	unsigned int i;

	for (i = 0; i < HISTOGRAM_BUCKETS; i++) {
		below += h->count[i];
		if (below > rank)
			return histogram_value(i);
	}
	return 0;
}
