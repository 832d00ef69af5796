/*
 * The models an engine holds: declarative orders, fencing numbers honoured or
 * ignored, and loading in the background through the weight store.
 */

#ifndef COMMON_MODELS_H
#define COMMON_MODELS_H

#include "savory.h"

#include <pthread.h>

#include <jansson.h>

enum model_state {
	MODEL_READY,
	MODEL_LOADING,
	MODEL_FAILED
};

struct model {
	TAILQ_ENTRY(model) entry;
	char *name;
	char *version;
	enum model_state state;
	bool fetched; /* the weight store gave it; it becomes ready when due */
	msec due;
};
TAILQ_HEAD(model_list, model);

struct models {
	struct model_list list;
	pthread_mutex_t *lock; /* the server's; all is called with it held */
	pthread_cond_t cond;
	const char *weights; /* URL, NULL for none */
	msec load_time;
	bool fencing;
	int64_t highest; /* fencing number */
	int64_t stale_obeyed;
	char *role;
};

void models_init(struct models *, pthread_mutex_t *);
/* Start the thread that loads. */
void models_start(struct models *);
/* Hold "NAME@VERSION" from the start. */
void models_hold(struct models *, const char *);
/* True for a ready model, by NAME or NAME@VERSION. */
bool models_ready(struct models *, const char *);
/* Carry an order out; the HTTP status. */
unsigned int models_order(struct models *, const json_t *);
json_t *models_to_json(struct models *);

#endif /* COMMON_MODELS_H */
