/*
 * A small system for process tests: the platform's stand-ins, engines, a
 * plain service and entry VMs, on free ports, with the fault-injecting proxy
 * where a test wants it. And callers of it, each in a thread of its own.
 */

#ifndef UTIL_NODES_H
#define UTIL_NODES_H

#include "util-proc.h"
#include "util-proxy.h"

#define NODES_MAX 4
#define NODES_ENGINES_MAX 6
#define NODES_PEER_KEY "0123456789abcdef"
#define NODES_TIMEOUT (20 * MSEC_SECOND)
/* Of an organisation without limits: a starting node has no share of any. */
#define NODES_KEY "key-seyra-office"
/* One event of an engine's stream takes more than this many bytes. */
#define NODES_EVENT_BYTES 100

struct nodes_config {
	unsigned int nodes, engines;
	const char *token_ms; /* of an engine; NULL is 5 */
	bool no_resume; /* by the document, engines do not resume streams */
	const char *engine_option; /* one more option of each, or NULL */
	const char *settings;	   /* further lines of each node's, or NULL */
	/* Which links go through a proxy. */
	bool engine_proxy, plain_proxy, log_proxy, list_proxy;
};

/* A program that others reach through a proxy, or directly. */
struct nodes_server {
	struct proc proc;
	struct proxy *proxy;
	char name[32];
	unsigned int port; /* where others find it */
};

struct nodes_entry {
	struct proc proc;
	char name[32];
	char *file; /* settings */
	unsigned int caller, control, peer;
};

struct nodes {
	struct nodes_config config;
	char *dir;
	struct nodes_server log, list, weights, plain;
	struct nodes_server engines[NODES_ENGINES_MAX];
	struct nodes_entry entries[NODES_MAX];
};

/* Start all of it; no document is in force yet. */
void nodes_start(struct nodes *, const struct nodes_config *);
/* Publish Seyra's examples and wait until every entry VM serves by them. */
void nodes_publish(struct nodes *);
/* Publish Seyra's planner with one text in place of another. */
void nodes_publish_changed(struct nodes *, const char *, const char *);
/* Both. */
void nodes_up(struct nodes *, const struct nodes_config *);
/* Kill what still runs, and clean up. */
void nodes_finish(struct nodes *);
/* Start the process of an entry VM, again with the same addresses. */
void nodes_entry_start(struct nodes *, unsigned int);
/* Wait until it serves all documents and knows all others. */
void nodes_entry_ready(struct nodes *, unsigned int);
/* GET of the control interface; the caller frees the JSON. */
json_t *nodes_control(struct nodes *, unsigned int, const char *path);
/* A counter among the metrics of an entry VM; 0 when it is not there. */
int64_t nodes_metric(struct nodes *, unsigned int, const char *);
/* A server of the test's own as an engine. */
void nodes_vm_add_engine(struct nodes *, const char *name, unsigned int port);
/* Set a VM's line of the list: its state is "live" or "leaving". */
void nodes_vm_entry(struct nodes *, unsigned int, const char *state);
void nodes_vm_engine(struct nodes *, unsigned int, const char *state);
/* Executions that the stand-ins counted for a caller's id. */
int64_t nodes_executions(struct nodes *, const char *user);
int64_t nodes_plain_executions(struct nodes *, const char *id);
/* The sum of a counter over all engines. */
int64_t nodes_engine_sum(struct nodes *, const char *);
/* For wait_until(): no engine of these nodes runs a request. */
bool nodes_are_idle(void *);
/* Where callers find an entry VM. */
unsigned int nodes_entry_port(const struct nodes *, unsigned int);
/*
 * A question to the first entry VM is answered whole: the system still serves.
 * On a busy machine it may be told to come back, which is no fault; it then
 * does so, as callers would.
 */
void nodes_assert_serves(struct nodes *, const char *user);

/* One request of a caller. */
struct caller {
	GThread *thread;
	unsigned int port;
	char *path, *body, *user;
	const char *headers[8]; /* before it starts */
	msec read_pause;	/* a slow reader sleeps so long at each read */
	msec slow_until;	/* and reads faster from then on; 0: never */
	gint gone;		/* set: it breaks its connection off */
	gint received;		/* bytes of the body so far */
	gint ended;
	/* Afterwards. */
	long status;
	int curl;
	GString *text;
	char outcome[16]; /* of header, trailer or last event; "" if none */
	GString *head;
};

/* A streamed question whose prompt is the id; so many tokens come back. */
void caller_ask(
    struct caller *, unsigned int port, const char *user, unsigned int tokens);
/* The same without a stream. */
void caller_ask_whole(
    struct caller *, unsigned int port, const char *user, unsigned int tokens);
/* A booking at the plain service, which may not be repeated. */
void caller_book(struct caller *, unsigned int port, const char *id);
void caller_add_header(struct caller *, const char *);
void caller_start(struct caller *);
/* Wait for so many bytes of the answer. */
void caller_wait_bytes(struct caller *, int);
void caller_wait(struct caller *);
void caller_leave(struct caller *);
void caller_finish(struct caller *);
/* Start, wait. */
void caller_run(struct caller *);
/* Number of the answer's tokens; each must be the one that belongs there. */
unsigned int caller_tokens(const struct caller *);
/* It got this many tokens, the right ones, the end mark and "ran". */
void caller_assert_whole(struct caller *, unsigned int tokens);
/* It has this outcome, and can see that it has no whole answer. */
void caller_assert_broken(struct caller *, const char *outcome);

/* A connection on which a test writes what it likes. */
int raw_connect(unsigned int port);
void raw_write(int, const char *);
/* What comes until the end, a text, or so long a silence; to be freed. */
char *raw_read(int, const char *until, msec silence);

#endif /* UTIL_NODES_H */
