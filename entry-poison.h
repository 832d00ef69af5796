/*
 * The node's side of requests that end their servers, see poison.h: whether a
 * server's process ended, what of ours was there, and what becomes of the
 * requests meanwhile.
 */

#ifndef ENTRY_POISON_H
#define ENTRY_POISON_H

#include "loop.h"
#include "poison.h"
#include "savory.h"
#include "server.h"

struct entry;
struct job;
struct server_check;
TAILQ_HEAD(server_checks, server_check);

/* Requests that left a server lately, whose end they may have caused. */
#define POISON_LEFT 64

struct poison_left {
	struct poison_id id;
	uint64_t life; /* of the server; 0: none */
	msec at;
};

struct entry_poison {
	struct poisons core;
	struct loop_timer timer;
	struct server_checks checks;
	struct poison_left left[POISON_LEFT];
	unsigned int next_left;
	uint64_t checked, ended; /* servers looked at, and found ended */
};

void entry_poison_init(struct entry *);
void entry_poison_finish(struct entry *);
/*
 * May a request go to a server now? False when it waits, and goes on by
 * itself, or has ended.
 */
bool entry_poison_admit(struct job *, msec);
/* Not while it has leave for a trial. */
bool entry_poison_refuses(const struct job *, msec);
/*
 * A request's connection to a server broke. The server is looked at, and the
 * request is suspect if it has ended. True when the request is to wait for
 * that: job_checked() follows.
 */
bool entry_poison_broke(struct job *, const struct server *, bool waits, msec);
/* It was given up while the server had it. */
void entry_poison_left(const struct job *, const struct server *, msec);
/* A server refused a connection: nobody is there. */
void entry_poison_refused(struct entry *, struct server *, msec);
/* What the platform says of it has changed. */
void entry_poison_listed(struct entry *, struct server *, msec);
/* Something is to be passed on, or waits: set the timer anew. */
void entry_poison_soon(struct entry *, msec);
/* The live nodes; see poisons_set_nodes(). */
void entry_poison_set_nodes(struct entry *, msec);
void entry_poison_metrics(const struct entry *, GString *);
void entry_poison_dump(const struct entry *, GString *, msec);

#endif /* ENTRY_POISON_H */
