/*
 * Placement of models: which models and versions each engine of a service
 * should have loaded, and the rolling update to a new version. (place.h is
 * about another matter: which server gets a request.) The module does no I/O;
 * the holder of the service's lease uses it.
 *
 * Orders are declarative: each contains the wanted state and is sent again
 * until the engine reports that state. So an order that is lost, duplicated or
 * sent by the previous lease holder is corrected in the next round.
 */

#ifndef PLACEMENT_H
#define PLACEMENT_H

#include "document.h"
#include "savory.h"

#define PLACEMENT_MODELS_MAX 8
/* At most this share of a service's engines changes its version at once. */
#define PLACEMENT_ROLL_DIVISOR 4
/* Rate limit of loads from the weight store, a token bucket. */
#define PLACEMENT_LOADS_PER_MINUTE 30
#define PLACEMENT_LOADS_BURST 4
/* An order whose result the engine does not report is sent again after this. */
#define PLACEMENT_ORDER_RESEND_MS (3 * MSEC_SECOND)

enum placement_load {
	PLACEMENT_READY,
	PLACEMENT_LOADING,
	PLACEMENT_FAILED
};

/* A model on an engine, as reported by the engine. */
struct placement_model {
	char name[NAME_SIZE];
	char version[NAME_SIZE];
	enum placement_load load;
};

struct placement_engine {
	TAILQ_ENTRY(placement_engine) entry;
	name_id id;
	bool fenced;
	bool leaving;
	bool known; /* its state has been read since it was added */
	unsigned int nhas;
	struct placement_model has[PLACEMENT_MODELS_MAX];
	/* The last order, and when it was sent; MSEC_NEVER: none. */
	unsigned int nwant;
	struct doc_model want[PLACEMENT_MODELS_MAX];
	msec ordered_at;
	bool seen; /* named since placement_engines_begin() */
};
TAILQ_HEAD(placement_engine_list, placement_engine);

struct placement;

struct placement_ops {
	/*
	 * Orders the engine to load engine->want. Returns false if no order
	 * may be sent now (the lease is not held); a later round tries again.
	 */
	bool (*order)(struct placement *, struct placement_engine *, msec);
};

struct placement {
	const struct placement_ops *ops;
	char service[NAME_SIZE];
	struct placement_engine_list engines;
	unsigned int nmodels;
	struct doc_model models[PLACEMENT_MODELS_MAX]; /* wanted now */
	/* Versions that failed to load: not ordered again. */
	unsigned int nbad;
	struct doc_model bad[PLACEMENT_MODELS_MAX];
	double load_credit;
	msec credit_at;
	uint64_t orders;
	uint64_t loads;
	uint64_t rolled_back;
	void *arg;
};

void placement_init(
    struct placement *, const struct placement_ops *, const char *, msec);
void placement_finish(struct placement *);
/*
 * Sets the models of the current document. A change clears the list of
 * versions that failed to load.
 */
void placement_set_models(
    struct placement *, const struct doc_model *, unsigned int);
/*
 * Replaces the list of engines: begin, one call for each engine, end. Engines
 * that were not named in between are removed.
 */
void placement_engines_begin(struct placement *);
void
placement_engine_set(struct placement *, name_id, bool fenced, bool leaving);
void placement_engines_end(struct placement *);
/* Records the models that an engine reports. */
void placement_engine_state(
    struct placement *, name_id, const struct placement_model *, unsigned int);
/* Sends the orders that are due. */
void placement_round(struct placement *, msec);
/* Returns true if all engines, except leaving ones, have all models ready. */
bool placement_settled(const struct placement *);
struct placement_engine *placement_find(struct placement *, name_id);

#endif /* PLACEMENT_H */
