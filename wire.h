/*
 * The edges at which savorypier meets what speaks another way than it does:
 * how a caller's request and a backend server's answer say what the router
 * must know, and where configuration, backend servers and other nodes come
 * from. An implementation translates names, formats and calls; it decides
 * nothing.
 */

#ifndef WIRE_H
#define WIRE_H

#include "buffer.h"
#include "capacity.h"
#include "http-message.h"
#include "member.h"
#include "relay.h"
#include "route.h"
#include "savory.h"
#include "server.h"

#include <jansson.h>

#define WIRE_PARTS_MAX 32
#define WIRE_KEY_SIZE 256

/* One part of a prompt that others may share, in the order of the prompt. */
struct wire_part {
	uint64_t id;
	unsigned int tokens;
};

/* What a caller's head asks for. The text lies in the head's memory. */
struct wire_request {
	const char *id; /* the caller's name for it; "": none */
	const char *host;
	const char *path;	 /* with its query */
	char key[WIRE_KEY_SIZE]; /* what it proves itself by; "": nothing */
	msec deadline;		 /* how long the caller waits; 0: not said */
	uint64_t after;		 /* goes on after this event of a stream */
	unsigned int prompt_tokens, max_tokens; /* 0: not said */
	unsigned int nparts;
	struct wire_part parts[WIRE_PARTS_MAX];
};

/* What we say to a backend server beside what the caller said. */
struct wire_terms {
	msec deadline;		  /* how long we wait from now */
	const char *organisation; /* NULL: none */
	const char *server;	  /* nobody else may run it */
	bool ranked;
	unsigned int priority; /* 0 is first */
	bool resumed;
	uint64_t after; /* go on after this event */
};

/* Does an answer say how many requests its server takes? */
enum wire_rate {
	WIRE_RATE_NONE,
	WIRE_RATE_NAMED,
	WIRE_RATE_UNREADABLE
};

/* What the head of a backend server's answer says of it. */
struct wire_answer {
	bool ours;	   /* answers the request with that id */
	bool other;	   /* answers a request with another id */
	bool genuine;	   /* signed by a backend server */
	bool not_executed; /* did not run, and will not */
	bool encoded;	   /* not the bytes that the caller asked for */
	msec keeps_idle;   /* the connection may idle so long; 0: not said */
	enum wire_rate rate;
	double per_s; /* requests a second, where a rate is named; else 0 */
};

/* Who gets a field of a caller's head. */
enum wire_field {
	WIRE_FIELD_PASS,  /* the backend server */
	WIRE_FIELD_KEEP,  /* nobody: it is ours to set */
	WIRE_FIELD_KEY,	  /* nobody, where keys are in use */
	WIRE_FIELD_RESUME /* the backend server, unless we go on ourselves */
};

/* What the small listeners are asked for. */
enum wire_query {
	WIRE_QUERY_UNKNOWN,
	WIRE_QUERY_READY,
	WIRE_QUERY_DIRECTORY
};

struct wire_ops {
	/* False with a reason when the head cannot be understood. */
	bool (*request)(
	    const struct http_head *, struct wire_request *, const char **);
	enum wire_field (*field)(const char *);
	/* Header fields of an attempt, each with its line end. */
	void (*terms)(struct buffer *, const struct wire_terms *);
	void (*answer)(
	    const struct http_head *, const char *id, struct wire_answer *);
	/* Header fields of an answer of our own: the caller's id. */
	void (*own)(struct buffer *, const char *id);
	/* What a query asks; for the directory the caller's failure domain. */
	enum wire_query (*query)(const struct http_head *, char *, size_t);
	/* The directory's answer: members to use, and for how long. */
	void (*directory)(
	    struct buffer *, const struct member *const *, unsigned int, msec);
	const char *content_type; /* of the directory's answer */
};

struct entry;
struct source;

/* So many servers of a kind, of a service in a failure domain. */
struct server_order {
	char service[NAME_SIZE];
	char domain[NAME_SIZE];
	unsigned int domain_index; /* the core's */
	enum capacity_kind kind;
	unsigned int count;
};

/* Where state comes from. It calls the entry_take_*() of entry.h. */
struct source_ops {
	bool (*start)(struct source *);
	/* Once the node knows its state, or more of it, for others to find. */
	void (*announce)(struct source *);
	/* Others are not to find it any more. */
	void (*retract)(struct source *);
	/* Find those others, once more: entry_take_nodes(). */
	void (*find_nodes)(struct source *);
	/*
	 * What it reads from has come back from an older copy of itself: all
	 * is read anew, and what this node wrote there is written again.
	 */
	void (*rewound)(struct source *);
	/* There is news of a subject: look again when it is due. */
	void (*read)(struct source *, enum relay_subject);
	/*
	 * How far the servers' changes have been read, in a measure of the
	 * source's own, which only grows; 0: not known. And go on from there,
	 * as what lies before is in force.
	 */
	uint64_t (*servers_position)(const struct source *);
	void (*set_servers_position)(struct source *, uint64_t);
	/*
	 * The log of duties: append a claim or a renewal with notes (NULL:
	 * none) if the log ends there, then entry_duty_appended(); find the
	 * newest claim and notes, then entry_duty_looked().
	 */
	void (*duty_append)(
	    struct source *, uint64_t at, bool claim, const char *notes);
	void (*duty_look)(struct source *);
	/* Counts as JSON; then entry_duty_reported(). */
	void (*report_usage)(struct source *, uint64_t window, json_t *counts);
	/* False: not now; else entry_duty_ordered() follows. */
	bool (*order_servers)(struct source *, const struct server_order *);
	/* A configuration's text; NULL: it cannot be understood. */
	struct route_table *(*decode_table)(
	    struct source *, const char *, size_t);
	/* Its own counters, as text exposition. */
	void (*metrics)(const struct source *, GString *);
	void (*finish)(struct source *);
};

struct source {
	const struct source_ops *ops;
	struct entry *entry;
};

#endif /* WIRE_H */
