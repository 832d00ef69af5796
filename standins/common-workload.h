/*
 * What the load program is asked to send: classes, organisations and bursts,
 * and the random draws from them.
 */

#ifndef COMMON_WORKLOAD_H
#define COMMON_WORKLOAD_H

#include "savory.h"

/* The longest length drawn, in means. */
#define WORKLOAD_LENGTH_MOST 20

struct load_class {
	TAILQ_ENTRY(load_class) entry;
	unsigned int number; /* from 0 */
	char *name;
	double share;
	double prompt_tokens, tokens;	  /* means */
	double ttft_ms, tbt_ms, whole_ms; /* targets; 0 is none */
	bool norepeat;
};
TAILQ_HEAD(load_class_list, load_class);

struct load_org {
	TAILQ_ENTRY(load_org) entry;
	unsigned int number; /* from 0 */
	char *name;
	char *key;
	double weight;
};
TAILQ_HEAD(load_org_list, load_org);

struct load_burst {
	TAILQ_ENTRY(load_burst) entry;
	char *class_name;
	double start, length; /* seconds */
	double factor;
};
TAILQ_HEAD(load_burst_list, load_burst);

struct workload {
	struct load_class_list classes;
	struct load_org_list orgs;
	struct load_burst_list bursts;
	unsigned int class_count, org_count;
	double rate; /* requests a second, of all classes */
};

void workload_init(struct workload *);
/* Each takes an argument's text; false if it is malformed. */
bool workload_add_class(struct workload *, const char *);
bool workload_add_org(struct workload *, const char *);
bool workload_add_burst(struct workload *, const char *);

/* A class's requests a second at a time in seconds, and its greatest. */
double
workload_rate(const struct workload *, const struct load_class *, double);
double workload_rate_max(const struct workload *, const struct load_class *);
const struct load_org *workload_pick_org(const struct workload *, GRand *);
/* A log-normal whole number of the given mean, at least 1. */
uint64_t workload_length(GRand *, double);
/* Seconds to the next of a Poisson process. */
double workload_gap(GRand *, double);

#endif /* COMMON_WORKLOAD_H */
