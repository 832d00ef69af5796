/*
 * Moves running streams off backend servers that leave or have turned slow; see
 * run-move.h and run-pace.h for the decisions. This part finds the destination,
 * calls the source and resumes the request.
 */

#ifndef ENTRY_MOVE_H
#define ENTRY_MOVE_H

#include "loop.h"
#include "run-move.h"
#include "run-pace.h"
#include "savory.h"

struct entry;
struct entry_move;
struct job;
struct place_request;
struct server;
struct wire_run_memory;
TAILQ_HEAD(entry_move_list, entry_move);

struct entry_moves {
	struct entry_move_list list;
	struct loop_timer timer; /* the next run is to be considered */
	struct run_paces paces;
	unsigned int moving_slow; /* moves off slow servers in progress */
	uint64_t begun_leaving, begun_slow, moved, returned; /* counters */
	uint64_t failed[RUN_MOVE_REASONS];
};

void entry_moves_init(struct entry *);
void entry_moves_finish(struct entry *);
/* A server leaves, or its state has changed otherwise. */
void entry_move_server_changed(struct entry *, struct server *, msec);
/* An event of the stream was forwarded: is it time to move its run? */
void entry_move_consider(struct job *, msec);
/* A byte of a server's answer has arrived. */
void entry_move_heard(struct job *, msec);
/*
 * The answer broke off. Returns true if the move handles it; false: handle it
 * as any broken answer.
 */
bool entry_move_broke(struct job *, msec);
/*
 * A server did not execute the request that was to resume the run. True if
 * another one has been sent; else the run is lost.
 */
bool entry_move_refused(struct job *, msec);
/* Placement decided. False if the request was not placed for a move. */
bool entry_move_placed(struct place_request *, struct server *, msec);
/* The current attempt is cancelled. */
void entry_move_cancel(struct job *, msec);
/* The source was told to stop the run, and the run is not resumed yet. */
bool entry_move_is_stopping(const struct job *);
/* The memory that the request's current attempt goes on from; NULL: none. */
const struct wire_run_memory *entry_move_memory(const struct job *);
void entry_moves_metrics(const struct entry *, GString *);

#endif /* ENTRY_MOVE_H */
