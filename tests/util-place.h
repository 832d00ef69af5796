/*
 * Several nodes that choose servers through coordinators, in virtual time, with
 * delayed messages. One thread, one seed, no clock.
 */

#ifndef UTIL_PLACE_H
#define UTIL_PLACE_H

#include "place.h"

#define PLACES_NODES_MAX 64
#define PLACES_MESSAGES_MAX 65536

struct places;

struct places_node {
	struct place place;
	struct servers servers;
	struct places *ps;
	name_id id;
	bool isolated;	 /* cut off: receives and sends nothing */
	bool leaving;	 /* finishes its requests and does not coordinate */
	msec started_at; /* start of its process */
	/* Restarted, and not yet in the membership of odd nodes. */
	bool rejoining;
	unsigned int decided;
	struct server *last;
	msec decided_at;
};

struct places_message {
	msec due;
	unsigned int from, to;
	sp_msg msg;
	u_quad_t avoid[SERVER_AVOID_MAX];
};

struct places {
	struct places_node nodes[PLACES_NODES_MAX];
	unsigned int n;
	struct places_message messages[PLACES_MESSAGES_MAX];
	unsigned int nmessages;
	msec now;
	msec delay; /* of each message */
	uint64_t sent;
	GRand *rand;
	/* Called for each choice if not NULL. */
	void (*decided)(struct place_request *, struct server *);
};

/* Nodes n0, n1 ... and for each of them the servers s0, s1 ... of "svc". */
void places_start(struct places *, unsigned int, unsigned int);
void places_stop(struct places *);
/* Delivers messages and runs timers for a time. */
void places_run(struct places *, msec);
/* Gives all nodes that are not cut off their current membership. */
void places_set_members(struct places *);
/* Restarts a node's process, which loses its state. */
void places_restart_node(struct places_node *);
/* The coordinator: the node with the highest counts. */
struct places_node *places_coordinator(struct places *);
/* The index of the coordinator as the only node that decides at once. */
unsigned int places_coordinator_index(struct places *);
/* A request of "svc" with a prompt (0: not a shared one) and own tokens. */
void places_fill_request(struct place_request *, uint64_t, unsigned int);
/* The same in the least urgent tier, with the target of a long prompt. */
void places_fill_last_tier(struct place_request *, uint64_t, unsigned int);
/* Lets servers of "svc" fetch prompts from each other. */
void places_set_transfer(struct places *);

#endif /* UTIL_PLACE_H */
