/*
 * Counts of values in buckets that widen with the value, so that percentiles
 * are right to about 2% at any scale.
 */

#ifndef COMMON_HISTOGRAM_H
#define COMMON_HISTOGRAM_H

#include <stdint.h>

#define HISTOGRAM_SUB_BITS 6
#define HISTOGRAM_SUB (1 << HISTOGRAM_SUB_BITS)
#define HISTOGRAM_BUCKETS (HISTOGRAM_SUB * 40)

/* All zero is the empty histogram. */
struct histogram {
	uint64_t total;
	uint64_t count[HISTOGRAM_BUCKETS];
};

void histogram_add(struct histogram *, uint64_t);
void histogram_merge(struct histogram *, const struct histogram *);
/* The value below which the share (0 to 1) of all lies; 0 when empty. */
uint64_t histogram_quantile(const struct histogram *, double);

#endif /* COMMON_HISTOGRAM_H */
