/*
 * Internal interface between the util-dispatch*.c files: events and their times
 * (util-dispatch.c), nodes, requests and engines.
 */

#ifndef UTIL_DISPATCH_PRIVATE_H
#define UTIL_DISPATCH_PRIVATE_H

#include "util-dispatch.h"

enum event_kind {
	EVENT_TICK,
	EVENT_MESSAGE,
	EVENT_STEP,
	EVENT_ARRIVAL,
	EVENT_REPORT,
	EVENT_PATIENCE,
	EVENT_FAIL,
	EVENT_CALL
};

struct event {
	RB_ENTRY(event) entry;
	double at;
	uint64_t seq;
	enum event_kind kind;
	unsigned int index; /* node or engine */
	uint64_t incarnation;
	unsigned int from;
	uint64_t serial;
	struct world_request *q;
	char *data; /* an encoded message */
	unsigned int len;
	void (*call)(struct world *);
};
RB_HEAD(event_tree, event);

struct world_events {
	struct event_tree tree;
	uint64_t seq;
	GHashTable *patience; /* live requests by serial, for late events */
	GHashTable *live;     /* live requests */
	GHashTable *nodes;    /* by id */
	GHashTable *engines;
};

/* The world owns the event until it is run, or taken over by a copy. */
struct event *world_event_add(struct world *, double, enum event_kind);
void world_event_free(struct event *);
msec world_msec(const struct world *);

void world_node_init(struct world *, unsigned int);
/* A message arrives, at a paused node at the end of its pause. */
void world_node_receive(struct world *, struct event *);
void world_node_deliver(
    struct world_node *, name_id, uint64_t, char *, unsigned int);
/* Runs the timers of a node and sets its next one. */
void world_node_tick(struct world_node *);
/* The time spent in dispatch itself, without the harness around it. */
void world_cpu_begin(struct world_node *);
void world_cpu_end(struct world_node *);

/* A request goes to a random node, anew or after its engine or node failed. */
void world_request_send(struct world *, struct world_request *);
void world_request_granted(struct dispatch *, struct dispatch_request *);
void world_request_refused(
    struct dispatch *, struct dispatch_request *, enum dispatch_refusal, msec);
/* The whole answer has come. */
void world_request_end(struct world *, struct world_request *);
/* The engine broke; the answer is resumed elsewhere, a few times. */
void world_request_failed(struct world *, struct world_request *);
/* A random caller comes, and the next one's time is set. */
void world_request_arrive(struct world *);

void world_engine_init(struct world *, unsigned int);
void world_engine_start(struct world *, struct world_request *, unsigned int);
/* One token for each stream in the batch. */
void world_engine_step(struct world *, unsigned int);
void world_engine_detach(struct world *, struct world_request *);
/* The engines' own reports of load, late by one round. */
void world_engines_report(struct world *);

#endif /* UTIL_DISPATCH_PRIVATE_H */
