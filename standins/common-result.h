/*
 * What a run of the load program came to, by class, and its reports.
 */

#ifndef COMMON_RESULT_H
#define COMMON_RESULT_H

#include "common-histogram.h"
#include "common-workload.h"

struct class_result {
	uint64_t sent, ran, not_run, unknown, broken, unreachable, attained;
	uint64_t good_tokens;
	struct histogram ttft_us, tbt_us;
};

struct result {
	const struct workload *work;
	uint64_t crossed, cut_short, held_back, unfinished;
	/* Said not to have run, though tokens had come. */
	uint64_t not_run_with_tokens;
	struct class_result *classes;
};

/* Room for the workload's classes. */
void result_init(struct result *, const struct workload *);
void result_merge(struct result *, const struct result *);
/* On standard output, of a run of so many seconds. */
void result_print(const struct result *, double);
void result_print_json(const struct result *, double);

#endif /* COMMON_RESULT_H */
