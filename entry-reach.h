/*
 * The network path of an entry node to the backend servers: collects the
 * results of connections and opens probe connections, as reach.h decides.
 */

#ifndef ENTRY_REACH_H
#define ENTRY_REACH_H

#include "loop.h"
#include "reach.h"
#include "savory.h"
#include "server.h"

struct entry;
struct reach_probe;
TAILQ_HEAD(reach_probe_list, reach_probe);

/* How a connection to a server failed. */
enum reach_failure_kind {
	REACH_FAILED_REFUSED, /* refused or reset; nothing was sent */
	REACH_FAILED_TIMEOUT, /* not established in time; nothing was sent */
	REACH_FAILED_BROKEN,  /* it broke while a request was on it */
	REACH_FAILED_KINDS
};

struct entry_reach {
	struct reach core;
	struct loop_timer timer;
	struct reach_probe_list probes;
	name_id last_probed; /* probes go through the servers by id */
	uint64_t failed[REACH_FAILED_KINDS];
};

void entry_reach_init(struct entry *);
void entry_reach_finish(struct entry *);
/* A request was sent to a server. */
void entry_reach_sent(struct entry *, msec);
/* A server has sent something; `first`: on a new connection. */
void entry_reach_heard(struct entry *, const struct server *, bool first, msec);
/* A request's connection to a server failed. */
void entry_reach_failed(
    struct entry *, const struct server *, enum reach_failure_kind, msec);
/* Another node has lost its path to the servers. */
void entry_reach_suspect(struct entry *, msec);
/* A request waits for the path, which is cut. */
void entry_reach_hurry(struct entry *, msec);
void entry_reach_metrics(const struct entry *, GString *);
void entry_reach_dump(const struct entry *, GString *, msec);

#endif /* ENTRY_REACH_H */
