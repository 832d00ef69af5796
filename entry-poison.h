/*
 * Detection of poison requests on an entry node; see poison.h. When a
 * connection to a backend server breaks, this node checks whether the server's
 * process has ended, reports the requests that it was running as suspects, and
 * holds requests back until the result is known.
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

/*
 * Number of requests remembered after they were abandoned at a server: they may
 * still cause the end of its process.
 */
#define POISON_ABANDONED_MAX 64

/* A request at a server, and when its attempt ended. */
struct poison_aboard {
	struct poison_id id;
	struct poison_parts parts;
	msec at;
	uint64_t process; /* process of the server; 0: unused */
};

/*
 * Number of answers that wait until their servers have outlived them, see
 * entry_poison_answered().
 */
#define POISON_ANSWERED_MAX 256

struct entry_poison {
	struct poisons core;
	struct loop_timer timer;
	struct server_checks checks;
	struct poison_aboard abandoned[POISON_ABANDONED_MAX];
	unsigned int next_abandoned;
	/* A ring; all answers wait for the same time. */
	struct poison_aboard answered[POISON_ANSWERED_MAX];
	unsigned int first_answered, nanswered;
	struct loop_timer answered_timer;
	/* Connections tried to check servers, processes found ended. */
	uint64_t servers_checked, servers_ended;
	msec ended_at; /* the last of these */
};

/* Checks of servers' processes, and requests at these: entry-poison-check.c. */
void entry_poison_checks_init(struct entry *);
void entry_poison_checks_finish(struct entry *);

void entry_poison_init(struct entry *);
void entry_poison_finish(struct entry *);
/*
 * Returns true if a request may be sent to a server now. Otherwise the request
 * either waits and is resumed by a later decision, or has failed.
 */
bool entry_poison_admit(struct job *, msec);
/*
 * Returns true if the request is condemned, unless it has been granted a trial.
 */
bool entry_poison_refuses(struct job *, msec);
/* Time in ms after which a refused request may be sent again. */
msec entry_poison_retry_after(const struct job *, msec);
/* The attempt has ended, see poison_run_end(). */
void entry_poison_run_end(struct job *, msec, bool broke);
/* Bytes of an answer's body came; begins or continues the attempt's answer. */
void entry_poison_body_received(struct job *, msec);
/*
 * A server's answer is complete. It clears the request's parts once the server
 * has outlived it: a process that ends may have finished a short answer before.
 */
void entry_poison_answered(
    struct job *, const struct server *, const struct http_head *, msec);
/*
 * The connection of a request to a server broke: starts a check of the server's
 * process. The request becomes a suspect if the process has ended. `waits`: the
 * request can wait for the result. Returns true if it has to; then
 * job_server_checked() is called.
 */
bool entry_poison_connection_broke(
    struct job *, const struct server *, bool waits, msec);
/* A request was abandoned while the server was running it. */
void
entry_poison_request_abandoned(const struct job *, const struct server *, msec);
/* A server refused a connection: its process has ended. */
void entry_poison_connection_refused(struct entry *, struct server *, msec);
/* The state of a server in the platform's list has changed. */
void entry_poison_server_changed(struct entry *, struct server *, msec);
/* Updates the timer after new work for poison.c. */
void entry_poison_reschedule(struct entry *, msec);
/* Applies the parts that the settings declare sound. */
void entry_poison_set_sound_parts(struct entry *);
/* Passes the live nodes to poisons_set_nodes(). */
void entry_poison_set_nodes(struct entry *, msec);
void entry_poison_metrics(const struct entry *, GString *);
void entry_poison_dump(const struct entry *, GString *, msec);

#endif /* ENTRY_POISON_H */
