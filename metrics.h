/*
 * Counters and histograms per service and class, and their output in the text
 * exposition format of Prometheus. This module does no I/O. metric_info() and
 * docs/METRICS.md describe each metric.
 */

#ifndef METRICS_H
#define METRICS_H

#include "document.h"
#include "duration.h"
#include "request.h"
#include "savory.h"

/* Number of bucket bounds; one more bucket counts values above the last. */
#define METRICS_BUCKETS 23

/* Bucket i counts values above metrics_bound(i - 1) and up to metrics_bound(i)
 * milliseconds. */
struct metrics_histogram {
	uint64_t counts[METRICS_BUCKETS + 1];
	uint64_t sum;
	uint64_t count;
};

/* Latency targets that a class can have. */
enum metrics_target {
	METRICS_FIRST_TOKEN,
	METRICS_BETWEEN_TOKENS,
	METRICS_WHOLE_ANSWER,
	METRICS_TARGETS
};

/* Reasons to append a record to the log. */
enum metrics_append {
	METRICS_APPEND_DOCUMENTS, /* a checkpoint or an index */
	METRICS_APPEND_LEDGER,	  /* a batch of claims */
	METRICS_APPEND_LEASES,	  /* a claim, renewal or release */
	METRICS_APPENDS
};

/* Counters of one class of one service. */
struct metrics_class {
	RB_ENTRY(metrics_class) entry;
	char service[NAME_SIZE];
	char name[NAME_SIZE];
	uint64_t outcomes[REQUEST_UNKNOWN + 1];
	uint64_t codes[REQUEST_CODE_CALLER_GONE + 1];
	uint64_t met[METRICS_TARGETS];	  /* complete answers within it */
	uint64_t missed[METRICS_TARGETS]; /* complete answers beyond it */
	uint64_t attained;	/* complete answers that met all targets */
	uint64_t tokens;	/* of complete answers */
	uint64_t good_tokens;	/* of answers that met all targets */
	uint64_t wasted_tokens; /* forwarded, of incomplete answers */
	uint64_t repeated_runs;
	struct metrics_histogram first_token;
	struct metrics_histogram between_tokens;
	struct metrics_histogram whole;
	struct duration lasts; /* from arrival to the end of the answer */
	struct duration runs;  /* time of that on its backend server */
};
RB_HEAD(metrics_tree, metrics_class);
int metrics_compare(const struct metrics_class *, const struct metrics_class *);
RB_PROTOTYPE(metrics_tree, metrics_class, entry, metrics_compare)

/* The counters of a process. */
struct metrics {
	struct metrics_tree classes;
	uint64_t appends[METRICS_APPENDS];
};

/* Result of one request. Times are points in time, 0 if not reached. */
struct metrics_sample {
	enum request_outcome outcome;
	enum request_code code;
	msec arrived;
	msec first; /* first token forwarded */
	msec ended;
	unsigned int tokens;
	unsigned int repeats; /* runs after one that may have executed */
};

/* All metrics, in the order of the output. */
enum metric {
	METRIC_REQUESTS,
	METRIC_ENDINGS,
	METRIC_TARGET,
	METRIC_ATTAINED,
	METRIC_FIRST_TOKEN,
	METRIC_BETWEEN_TOKENS,
	METRIC_WHOLE,
	METRIC_TOKENS,
	METRIC_GOOD_TOKENS,
	METRIC_CLASS_WASTED_TOKENS,
	METRIC_CLASS_REPEATED_RUNS,
	METRIC_APPENDS,
	METRIC_OPEN_REQUESTS,
	METRIC_ANSWER_BYTES,
	METRIC_RETRIES,
	METRIC_RETRIES_DENIED,
	METRIC_RESUMED,
	METRIC_LATE_EVENTS,
	METRIC_WASTED_TOKENS,
	METRIC_REPEATED_RUNS,
	METRIC_STOP_NO_TIME,
	METRIC_STOP_CUT,
	METRIC_SUBMITTED,
	METRIC_GRANTED,
	METRIC_REFUSED,
	METRIC_CANCELLED,
	METRIC_EVICTED,
	METRIC_HOPELESS,
	METRIC_LIMITED,
	METRIC_WIDENED,
	METRIC_DISPATCH_MESSAGES,
	METRIC_OWNER_CHANGES,
	METRIC_SHARE_ADMITTED,
	METRIC_SHARE_REFUSED,
	METRIC_SHARE_ASKED,
	METRIC_SHARE_LENT,
	METRIC_SHARE_BORROWED,
	METRIC_PROBES,
	METRIC_PROBES_FAILED,
	METRIC_SUSPECTED,
	METRIC_DIED,
	METRIC_REFUTED,
	METRIC_LISTS_HELD,
	METRIC_DATAGRAMS_IN,
	METRIC_DATAGRAMS_OUT,
	METRIC_BYTES_IN,
	METRIC_BYTES_OUT,
	METRIC_REJECTED,
	METRIC_DROPPED,
	METRIC_CORE_CPU,
	METRIC_PROCESS_CPU,
	METRIC_MEMORY_MAX,
	METRIC_COUNT
};

/* The name without "savory_", the Prometheus type, and the HELP text. */
struct metric_info {
	const char *name;
	const char *type;
	const char *help;
};

/* The upper bound of a bucket, in milliseconds. */
msec metrics_bound(unsigned int);
/* Adds a value in milliseconds. */
void metrics_observe(struct metrics_histogram *, msec);
/* The counters of a class, created if they do not exist. */
struct metrics_class *
metrics_class_get(struct metrics *, const char *service, const char *name);
void metrics_init(struct metrics *);
void metrics_finish(struct metrics *);
/* Counts a request that has ended. */
void metrics_count_request(struct metrics *, const char *service,
    const struct doc_class *, const struct metrics_sample *);
const struct metric_info *metric_info(enum metric);
/* Append the metrics of all classes, and of log appends, to a string. */
void metrics_text_classes(GString *, struct metrics *);
/* Append a metric without labels: a count, or seconds. */
void metrics_text_count(GString *, enum metric, uint64_t);
void metrics_text_seconds(GString *, enum metric, double);

#endif /* METRICS_H */
