/*
 * The daemon's settings: YAML, checked as a whole before anything starts.
 */

#ifndef SETTINGS_H
#define SETTINGS_H

#include "capacity.h"
#include "savory.h"

#define SETTINGS_SEEDS_MAX 16

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
	struct endpoint peer;	   /* UDP between nodes */
	struct endpoint ready;	   /* HTTP, readiness; with a store only */
	struct endpoint directory; /* HTTP, which node to use; the same */
	struct endpoint metrics;   /* HTTP, metrics and dump; port 0: none */
	struct endpoint store;	   /* the platform's store; port 0: a log */
	/* Nodes that may be there, by their `peer`; they may be stale. */
	struct endpoint seeds[SETTINGS_SEEDS_MAX];
	unsigned int nseeds;
	unsigned int seeds_port; /* in place of theirs; 0: none */
	char *log_url;		 /* log service, without last / */
	msec log_keeps;		 /* how long the log keeps records */
	char *vm_list_url;
	char *weight_url;
	char *peer_key; /* HMAC key, 16 bytes or more */
	char log_level[16];
	bool log_json;
	char policy[16];    /* dispatch policy; "owner" */
	msec stop_deadline; /* 0: waits for every answer */
	msec leave_grace;   /* refuses after this, leaving */
	msec keep_answers;  /* for callers that come back with a key */
	unsigned int max_connections;
	unsigned int max_body_bytes;
	unsigned int caller_threads;
	unsigned int engine_threads;
	/* With a store: what the platform promises and asks. */
	bool keys_fail_closed;	     /* a key taken away stops for sure */
	msec keys_bound;	     /* within so long */
	msec change_bound;	     /* a change is in force within so long */
	msec rewrite;		     /* what the store lost is written again */
	unsigned int retry_permille; /* retries for 1,000 requests */
	unsigned int retry_fixed;    /* and so many of all nodes together */
	msec retry_window;
	/* Duties of one node at a time; port 0: there are none. */
	struct endpoint duties; /* where their calls go */
	msec duty_lease;
	msec usage_window; /* 0: usage is not reported */
	msec usage_lateness;
	bool order_servers;
	struct capacity_limits capacity;
	char *tls_certificate; /* files; NULL: plain HTTP */
	char *tls_key;
};

/* As document_parse(). Defaults are set first. */
bool settings_parse(
    struct settings *, const char *, size_t, const char *, struct findings *);
/* Read the file, then parse it; an unreadable file is a finding too. */
bool settings_load(struct settings *, const char *, struct findings *);
void settings_finish(struct settings *);

#endif /* SETTINGS_H */
