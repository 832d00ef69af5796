/*
 * Statistics of dispatch: moving averages, and a histogram of answer lengths
 * with four buckets per power of two. Its counts are halved at intervals, so
 * that it follows a change within a few hundred answers.
 */

#define LOG_PART "dispatch"
#include "dispatch-private.h"

/* Number of samples at which all counts are halved. */
#define LENGTH_SAMPLES_MAX 1000
/* Length in tokens assumed for a class without answers. */
#define LENGTH_DEFAULT 200

/* Weight of a new sample in the moving averages. */
#define GAIN 0.1

static unsigned int length_bucket(unsigned int);
static unsigned int length_value(unsigned int);

/* The two bits below the highest select the quarter of the power of two. */
static unsigned int
length_bucket(unsigned int n)
{
	unsigned int bits, bucket;

	if (n < 4)
		return n;
	bits = 31 - __builtin_clz(n);
	bucket = bits * 4 - 4 + ((n >> (bits - 2)) & 3);
	return MIN(bucket, LENGTH_BUCKETS - 1);
}

static unsigned int
length_value(unsigned int bucket)
{
	unsigned int bits;

	if (bucket < 4)
		return bucket;
	bits = bucket / 4 + 1;
	return (4 + bucket % 4) << (bits - 2);
}

void
lengths_add(struct lengths *l, unsigned int n)
{
	unsigned int i;

	l->count[length_bucket(n)]++;
	if (++l->total < LENGTH_SAMPLES_MAX)
		return;
	l->total = 0;
	for (i = 0; i < LENGTH_BUCKETS; i++) {
		l->count[i] /= 2;
		l->total += l->count[i];
	}
}

unsigned int
lengths_quantile(const struct lengths *l, unsigned int permille)
{
	uint64_t want = (uint64_t)l->total * permille / 1000, sum = 0;
	unsigned int i;

	if (l->total == 0)
		return LENGTH_DEFAULT;
	for (i = 0; i < LENGTH_BUCKETS; i++) {
		sum += l->count[i];
		if (sum > want)
			break;
	}
	return length_value(MIN(i, LENGTH_BUCKETS - 1));
}

unsigned int
lengths_mean(const struct lengths *l)
{
	uint64_t sum = 0;
	unsigned int i;

	if (l->total == 0)
		return LENGTH_DEFAULT;
	for (i = 0; i < LENGTH_BUCKETS; i++)
		sum += (uint64_t)l->count[i] * length_value(i);
	return (unsigned int)(sum / l->total);
}

void
average_add(double *a, double v)
{
	*a = *a == 0 ? v : *a + GAIN * (v - *a);
}
