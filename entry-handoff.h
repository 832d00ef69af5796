/*
 * Requests of an entry node that other nodes carry, and those that it carries
 * for them; see handoff.h. They go over HTTP on the TCP port with the number of
 * the node's peer port.
 */

#ifndef ENTRY_HANDOFF_H
#define ENTRY_HANDOFF_H

#include "handoff.h"
#include "loop.h"
#include "server.h"

struct entry;
struct job;

/* Another node as a carrier; the connections to it are links to `server`. */
struct entry_carrier {
	struct server server; /* address and name of the node */
	TAILQ_ENTRY(entry_carrier) entry;
	uint64_t incarnation;
	unsigned int requests; /* handed off to it and not ended */
	struct handoff_rest rest;
	bool found; /* it is a member; for entry_handoff_tick() */
};
TAILQ_HEAD(entry_carrier_list, entry_carrier);

/* Counters; monotonic except `carried`. */
struct entry_handoff_counters {
	unsigned int carried; /* requests of other nodes in flight here */
	uint64_t handed_off, failed, without_carrier;
	uint64_t taken, refused;
	uint64_t kept;		/* attempts on silent servers, meanwhile */
	uint64_t kept_answered; /* those whose server answered first */
	uint64_t path_waits;	/* waits, as the servers may have paused */
};

struct entry_handoff {
	struct entry_carrier_list carriers;
	struct loop_timer timer;
	msec no_path_at; /* another node had no path either; 0: never */
	msec behind_at;	 /* another node had an older configuration; 0: never */
	struct entry_handoff_counters counters;
};

void entry_handoff_init(struct entry *);
void entry_handoff_finish(struct entry *);
/* May another node carry the request, as far as this node's limits go? */
bool entry_handoff_possible(const struct job *);
/* The same, and there is such a node. */
bool entry_handoff_has_carrier(const struct job *, msec);
/* Has another node lately said that it has no path to the servers, either? */
bool entry_handoff_others_lack_path(const struct entry *, msec);
/* Has another node just said that it has an older configuration? */
bool entry_handoff_others_are_behind(const struct entry *, msec);
/* Should the request's next attempt be on another node? */
bool entry_handoff_wanted(const struct job *);
/*
 * Hands the request off. A current attempt on a server is kept until the
 * carrier answers. False when no node can be reached; the request is then as
 * before.
 */
bool entry_handoff_start(struct job *, msec);
/*
 * The carrier, or servers that it sent the request to, may have run it.
 */
void entry_handoff_count_runs(struct job *);
/* The request's attempt on its carrier has ended. */
void entry_handoff_release(struct job *);
/* The path to the servers was cut: requests that wait for one go elsewhere. */
void entry_handoff_path_cut(struct entry *, msec);
/* Give up carriers that have died. */
void entry_handoff_tick(struct entry *, msec);
/*
 * May this node carry the request, of which job_admit() said this? JOB_SERVED,
 * or the reason for the refusal.
 */
enum job_code
entry_handoff_admit(struct job *, const struct handoff_terms *, enum job_code);
void entry_handoff_metrics(const struct entry *, GString *);

#endif /* ENTRY_HANDOFF_H */
