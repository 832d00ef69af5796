/*
 * The daemon's settings: YAML, checked as a whole before anything starts.
 */

#ifndef SETTINGS_H
#define SETTINGS_H

#include "capacity.h"
#include "savory.h"

#define SETTINGS_SEEDS_MAX 16
#define SETTINGS_SOUND_PARTS_MAX 31

/*
 * Percentages of the memory that request bodies may hold together, and those
 * that are large, without a store.
 */
#define SETTINGS_BODIES_PERCENT 50
#define SETTINGS_LARGE_BODIES_PERCENT 40

/* An IPv4 address and port, host byte order. */
struct endpoint {
	uint32_t address;
	uint16_t port;
};

struct settings {
	char node[NAME_SIZE];
	char domain[NAME_SIZE];	   /* failure domain */
	struct endpoint caller;	   /* HTTP for callers */
	struct endpoint control;   /* HTTP for the tool and peers */
	struct endpoint peer;	   /* UDP between nodes; with a store TCP too */
	struct endpoint ready;	   /* HTTP, readiness; only with a store */
	struct endpoint directory; /* HTTP, node selection; only with a store */
	struct endpoint metrics;   /* HTTP, metrics and dump; port 0: none */
	struct endpoint store;	   /* the platform's store; port 0: a log */
	/*
	 * With a store: local address of connections to backend servers and
	 * other nodes; 0: the system chooses.
	 */
	uint32_t outgoing_address;
	/* Peer addresses of nodes to try first; they may be out of date. */
	struct endpoint seeds[SETTINGS_SEEDS_MAX];
	unsigned int nseeds;
	unsigned int seeds_port; /* replaces the seeds' ports; 0: none */
	bool first_start; /* of the whole deployment: nothing ran before */
	/* Parts of prompts that an operator declares sound; see poison.h. */
	uint64_t sound_parts[SETTINGS_SOUND_PARTS_MAX];
	unsigned int nsound_parts;
	char *log_url;	    /* log service, without last / */
	msec log_retention; /* how long the log keeps records */
	char *vm_list_url;
	char *weight_url;
	char *peer_key; /* HMAC key, 16 bytes or more */
	char log_level[16];
	bool log_json;
	char policy[16];    /* dispatch policy; "owner" */
	msec stop_deadline; /* 0: wait for every answer */
	msec leave_grace;   /* time from leaving to refusing requests */
	msec keep_answers;  /* for retries with an idempotency key */
	unsigned int max_connections;
	unsigned int max_body_bytes;
	unsigned int memory_mb; /* that the process may use */
	unsigned int caller_threads;
	unsigned int engine_threads;
	/* With a store: the platform's guarantees and requirements. */
	bool keys_fail_closed; /* refuse keys that may be revoked */
	msec keys_bound;       /* longest time until a revoked key is refused */
	msec change_bound;     /* longest time until a change is in force */
	/* Servers stay for so long after the notice that they leave; 0: not
	 * known. */
	msec server_stay;
	msec rewrite; /* longest time until lost entries are rewritten */
	unsigned int retry_permille; /* retries allowed per 1,000 requests */
	unsigned int retry_fixed;    /* plus so many for all nodes together */
	msec retry_window;
	/* Duties that one node at a time has; port 0: there are none. */
	struct endpoint duties; /* address that their calls are sent to */
	msec duty_lease;
	msec usage_window; /* 0: usage is not reported */
	msec usage_lateness;
	bool order_servers;
	bool fair_shares; /* of organisations, while room is short */
	struct capacity_limits capacity;
	char *tls_certificate; /* files; NULL: plain HTTP */
	char *tls_key;
};

/*
 * Like document_parse(): True when there is no finding. Sets defaults first.
 * Call settings_finish() in both cases.
 */
bool settings_parse(
    struct settings *, const char *, size_t, const char *, struct findings *);
/* Read and parse a file; an unreadable file is a finding too. */
bool settings_load(struct settings *, const char *, struct findings *);
void settings_finish(struct settings *);
/* So many percent of the memory that the process may use, in bytes. */
size_t settings_memory(const struct settings *, unsigned int percent);

#endif /* SETTINGS_H */
