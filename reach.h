/*
 * Whether this node's network path to the backend servers works. A node can be
 * partitioned from all servers while callers, the platform and the other nodes
 * still reach it. Its own requests show that only one server at a time, so the
 * failures at all servers are collected here. A first failure starts a round of
 * probes, and so does a request while no server sends anything: questions that
 * a server answers at once, on new connections to servers that have not failed
 * lately. A connection alone proves nothing, as a device on the path may have
 * accepted it in the server's place.
 *
 * The path is cut when several servers have failed and none answered on a new
 * connection in between, including all probes of a round. While it is cut,
 * pairs of probes show when it works again; requests are not used for that.
 *
 * Most of the listed servers may be gone or refuse, for example after a failure
 * domain was taken down. So every other probe goes to a witness, a server that
 * has answered this node on a new connection before: if witnesses still answer,
 * the failures are the servers' own. A refused connection proves nothing, as a
 * partition may refuse connections, too.
 *
 * The module does no I/O.
 */

#ifndef REACH_H
#define REACH_H

#include "savory.h"

/* Number of servers that must fail before the path is cut; all if fewer. */
#define REACH_SERVERS 3
/* Probes of a round. */
#define REACH_PROBES 3
/* A probe that has no answer after this time has failed. */
#define REACH_PROBE_TIMEOUT_MS 400
/* Silence of all servers after a request was sent that starts a round. */
#define REACH_SILENT_MS 500
/*
 * A server with too many connections resets new ones. If any server has sent
 * something within this time, a probe without an answer shows no lost path.
 */
#define REACH_HEARD_MS 300
/* Minimum interval between rounds. */
#define REACH_ROUND_MS 1000
/* While the path is cut: interval between pairs, at least if requests wait. */
#define REACH_CUT_PROBE_MS 250
#define REACH_HURRY_MS 50
/*
 * After a cut, so many pairs follow each other at once while servers refuse
 * connections: most of those that are listed may be gone.
 */
#define REACH_SWEEP_PAIRS 32
/* A failure counts for this time. */
#define REACH_EVIDENCE_MS (4 * MSEC_SECOND)
/* All servers may be silent for so long after the cut, and go on. */
#define REACH_PAUSE_MS (2 * MSEC_SECOND)
/*
 * Number of servers that must answer before the path works again, and of probes
 * that are started together.
 */
#define REACH_BACK_SERVERS 2
/* Number of servers whose failures are kept, and of witnesses. */
#define REACH_FAILED_MAX 8
#define REACH_WITNESSES_MAX 8

/* The newest failure of a server. */
struct reach_failure {
	name_id server;
	msec at;
};

/* Monotonic counters. */
struct reach_counters {
	uint64_t failures; /* connections that failed or broke, of requests */
	uint64_t probes, probes_failed;
	uint64_t silences; /* rounds started as servers were silent */
	uint64_t cuts;
};

struct reach;

/* How a probe ended. */
enum reach_probe_result {
	REACH_PROBE_REFUSED,	/* refused or reset, not connected */
	REACH_PROBE_FAILED,	/* not connected in time */
	REACH_PROBE_UNANSWERED, /* connected; then silent, closed or reset */
	REACH_PROBE_ANSWERED,
};

/* Callback; required. */
struct reach_ops {
	/* reach_is_cut() has changed. May call functions of this module. */
	void (*changed)(struct reach *, msec);
};

/* State of one node; owned by the caller. */
struct reach {
	const struct reach_ops *ops;
	bool cut;
	msec since;   /* last change of `cut` */
	bool refused; /* a probe was refused since the last answer */
	/* Failures since the last answer, one entry per server. */
	struct reach_failure failed[REACH_FAILED_MAX];
	unsigned int nfailed;
	msec answered_at; /* last answer on a new connection, or MSEC_NEVER */
	msec heard_at;	  /* last bytes of any server, or MSEC_NEVER */
	/* A request was sent, and no server sent anything since; MSEC_NEVER. */
	msec silent_since;
	unsigned int probing; /* probes in progress */
	unsigned int wanted;  /* probes to start */
	msec next_probe;      /* no probes before */
	msec last_probe;      /* the last one was started */
	unsigned int sweep;   /* pairs that may still follow at once */
	/* While cut: a server that answered and has not failed since; 0. */
	name_id back;
	/* Servers that answered last on new connections. */
	name_id witnesses[REACH_WITNESSES_MAX];
	unsigned int nwitnesses;
	unsigned int next_kept;	   /* place of the next new one, if full */
	unsigned int next_witness; /* to be probed */
	bool other_due;		   /* the next probe is not for a witness */
	struct reach_counters counters;
	void *arg; /* for the caller */
};

/* Initialises the state of a path that works; the ops stay the caller's. */
void reach_init(struct reach *, const struct reach_ops *);
/* A request was sent to a server. */
void reach_sent(struct reach *, msec);
/* A server has sent something on a connection of a request. */
void reach_heard(struct reach *, msec);
/* A server's first answer on a new connection. */
void reach_answered(struct reach *, msec, name_id server);
/*
 * A request's connection to a server was refused, timed out or broke.
 * `nservers`: number of servers that may be used.
 */
void reach_failed(struct reach *, msec, name_id server, unsigned int nservers);
/*
 * Another node has lost its path: starts a round of probes if no server
 * answered on a new connection lately.
 */
void reach_suspect(struct reach *, msec, unsigned int nservers);
/*
 * Number of probes to start now. The caller starts each with
 * reach_probe_started(): at the server that reach_next_witness() names, if it
 * may be used, else at any, preferably one that reach_avoids() does not hold
 * back.
 */
unsigned int reach_probes_due(struct reach *, msec);
/* The witness that the next probe is for; 0: it is for another server. */
name_id reach_next_witness(struct reach *, msec);
/* One of the probes that are due is in progress. */
void reach_probe_started(struct reach *, msec);
/* While the path is cut: a request waits for it, so probe soon. */
void reach_hurry(struct reach *, msec);
/* No server can be probed: gives up what is due. */
void reach_probe_none(struct reach *);
/* A probe has ended; `nservers` as in reach_failed(). */
void reach_probe_ended(struct reach *, msec, name_id server,
    enum reach_probe_result, unsigned int nservers);
/* Starts a round of probes if servers have been silent for too long. */
void reach_check_silence(struct reach *, msec, unsigned int nservers);
/* The server has failed since the last answer. */
bool reach_has_failed(const struct reach *, msec, name_id server);
/*
 * Probes prefer other servers, as this one has failed. Not during a cut:
 * servers that failed answer again when it ends, and are asked in turn.
 */
bool reach_avoids(const struct reach *, msec, name_id server);
/* The path to all servers is cut. */
bool reach_is_cut(const struct reach *);
/*
 * The path was cut a moment ago, and no server refuses connections: they may
 * all have paused, for example on a host or switch that they share.
 */
bool reach_may_be_pause(const struct reach *, msec);
/* No server has sent anything lately, on kept connections either. */
bool reach_is_silent(const struct reach *, msec);
/*
 * The probes of a round are in progress and none was answered yet: it is not
 * known whether a failure is the server's or the path's.
 */
bool reach_in_doubt(const struct reach *);
/* Number of servers that have failed since the last answer. */
unsigned int reach_count_failed(const struct reach *, msec);
/* Time of the next probes or check; MSEC_NEVER: none are due. */
msec reach_next(const struct reach *);

#endif /* REACH_H */
