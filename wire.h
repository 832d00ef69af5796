/*
 * The interfaces between the router and a platform: struct wire_ops for the
 * HTTP conventions of callers and backend servers, struct source_ops for the
 * configuration, the list of backend servers and the discovery of other nodes.
 * An implementation translates names, formats and calls; it takes no routing
 * decisions.
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

#define WIRE_HANDLE_SIZE 64

/*
 * A caller's request, decoded from its head; strings point into the head. Ends
 * with wire_request_finish().
 */
struct wire_request {
	const char *id; /* the caller's request id; "": none */
	const char *host;
	const char *path; /* including the query */
	const char *key;  /* the caller's API key; "": none */
	msec deadline;	  /* ms that the caller waits; 0: not given */
	uint64_t after;	  /* resume a stream after this event; 0: start */
	/*
	 * It resumes a stream that an earlier request of the caller began, with
	 * this id; "": not given, or not clear.
	 */
	bool resumes;
	const char *began_as;
	const char *model; /* that is to answer; "": not given */
	unsigned int prompt_tokens, max_tokens; /* 0: not given */
	unsigned int expected_tokens; /* of output, an estimate; 0: not given */
	/* Ids of the prompt's parts, in order; the last one is its own. */
	unsigned int nparts;
	uint64_t *parts;
	uint64_t shared_tokens; /* of all parts but the last */
};

void wire_request_finish(struct wire_request *);

/* Memory of a run that servers keep, see run-move.h. */
struct wire_run_memory {
	uint32_t address; /* of the server where the run was, host byte order */
	uint16_t port;
	char handle[WIRE_HANDLE_SIZE]; /* its name of the memory; "": none */
};

/* The answer to a call that moves a run. */
struct wire_run_answer {
	char handle[WIRE_HANDLE_SIZE]; /* "": none */
};

/*
 * What this node adds to a caller's request for the backend server, or for
 * another node that handles it.
 */
struct wire_terms {
	msec deadline;		  /* ms that this node waits; 0: no limit */
	const char *organisation; /* NULL: none */
	const char *server; /* the only one that may execute it; NULL: any */
	/* It fetches the shared part of the prompt from this one; NULL: reads
	 * it. */
	const struct server *source;
	bool ranked;	       /* `priority` applies */
	unsigned int priority; /* 0 is first */
	/* It goes on from this memory of its run; NULL: none. */
	const struct wire_run_memory *memory;
	uint64_t weights; /* version of the weights to run with; 0: any */
	bool resumed;	  /* this node resumes an interrupted stream */
	uint64_t after;	  /* if resumed: after this event */
};

/* Whether a response states the request rate that its server accepts. */
enum wire_rate {
	WIRE_RATE_NONE,
	WIRE_RATE_GIVEN,
	WIRE_RATE_UNREADABLE
};

/* What the head of a backend server's response states. */
struct wire_answer {
	bool ours;	   /* has the id of the request */
	bool other;	   /* has the id of another request */
	bool is_signed;	   /* signed by a backend server */
	bool not_executed; /* the request was not and will not be executed */
	bool encoded;	   /* has a Content-Encoding */
	uint64_t weights;  /* version of the weights; 0: not given */
	msec keep_alive_timeout; /* ms the connection may idle; 0: not given */
	msec retry_after; /* ms without requests that it asks for; 0: none */
	bool leaving;	  /* the server says that it leaves */
	bool brittle;	  /* the server may fall over if it rejects too many */
	enum wire_rate rate;
	double per_s; /* requests per second with WIRE_RATE_GIVEN, else 0 */
};

/* What happens to a header field of a caller's request. */
enum wire_field {
	WIRE_FIELD_FORWARD, /* forwarded to the backend server */
	WIRE_FIELD_REMOVE,  /* removed: only this node sets it */
	WIRE_FIELD_API_KEY, /* removed if the configuration has API keys */
	WIRE_FIELD_RESUME   /* removed if this node resumes the stream */
};

/* The request types of the readiness and directory listeners. */
enum wire_query {
	WIRE_QUERY_UNKNOWN,
	WIRE_QUERY_READY,
	WIRE_QUERY_DIRECTORY
};

struct wire_ops {
	/*
	 * Decode a caller's head. False and a reason if it is invalid; then
	 * nothing has to be finished.
	 */
	bool (*request)(
	    const struct http_head *, struct wire_request *, const char **);
	/* How to treat the header field with this name. */
	enum wire_field (*field)(const char *);
	/* Append header fields to a request for a server, each with CRLF. */
	void (*terms)(struct buffer *, const struct wire_terms *);
	/* Decode a backend server's head as a response to the request `id`. */
	void (*answer)(
	    const struct http_head *, const char *id, struct wire_answer *);
	/*
	 * Append a request that a backend server answers at once: it neither
	 * takes a slot nor has any effect. `keep`: requests follow it on the
	 * connection.
	 */
	void (*probe)(struct buffer *, bool keep);
	/*
	 * From the answer to that question: when the server's process was
	 * started, as struct server_entry has it; false if it is not told.
	 */
	bool (*process_start)(const char *, size_t, int64_t *);
	/*
	 * The call that copies the memory of a run to another server: its
	 * target and body. With `last` the run is stopped first.
	 */
	const char *move_target;
	void (*move)(
	    struct buffer *, const char *id, const struct server *, bool last);
	/* Decode its answer's body. */
	void (*move_answer)(const char *, size_t, struct wire_run_answer *);
	/* Append the target of the call (DELETE) that frees such a copy. */
	void (*move_drop)(struct buffer *, const char *handle);
	/* Append the caller's request id to a response made by this node. */
	void (*own)(struct buffer *, const char *id);
	/*
	 * The type of a request to a listener; for the directory also copies
	 * the caller's failure domain into the buffer.
	 */
	enum wire_query (*query)(const struct http_head *, char *, size_t);
	/* Encode the directory: nodes to use, and for how many ms. */
	void (*directory)(
	    struct buffer *, const struct member *const *, unsigned int, msec);
	const char *content_type; /* of the directory's response */
};

struct entry;
struct source;

/* The wanted number of servers of a kind for a service in a failure domain. */
struct server_order {
	char service[NAME_SIZE];
	char domain[NAME_SIZE];
	unsigned int domain_index; /* used by the core, see capacity.h */
	enum capacity_kind kind;
	unsigned int count; /* in total, not in addition */
};

/* A record that the source keeps, and its text; NULL: deleted. */
struct source_record {
	char *key, *text;
};

/*
 * The platform's source of configuration, backend servers and nodes. It
 * delivers what it reads through entry_take_*() of entry.h.
 */
struct source_ops {
	/* Begin to read; false on failure. */
	bool (*start)(struct source *);
	/*
	 * Register this node for discovery by others; called when it has loaded
	 * its state, and again when it has loaded more of it.
	 */
	void (*announce)(struct source *);
	/* Remove this node from discovery. */
	void (*retract)(struct source *);
	/* Discover the other nodes again: entry_take_nodes(). */
	void (*find_nodes)(struct source *);
	/*
	 * The platform's store was restored from an older copy (see era.h):
	 * read everything again, and repeat what this node wrote to it.
	 */
	void (*store_restored)(struct source *);
	/* A subject has changed: read it again when a read is due. */
	void (*read)(struct source *, enum relay_subject);
	/*
	 * The position up to which changes of the servers have been read, in a
	 * unit of the source that only grows; 0: unknown. Setting it makes the
	 * source continue there, as all earlier changes have been applied.
	 */
	uint64_t (*servers_position)(const struct source *);
	void (*set_servers_position)(struct source *, uint64_t);
	/*
	 * The log of duties (see duty.h). duty_append() appends a claim or a
	 * renewal with notes (NULL: none) only if the log ends at `at`, then
	 * calls entry_duty_appended(). duty_look() finds the newest claim and
	 * notes, then calls entry_duty_claim_found().
	 */
	void (*duty_append)(
	    struct source *, uint64_t at, bool claim, const char *notes);
	void (*duty_look)(struct source *);
	/*
	 * The versions of services' software that the store keeps. A write
	 * takes effect only if their log ends at `at`. They end with
	 * entry_version_sets_read() and entry_version_set_written().
	 */
	void (*version_sets_read)(struct source *);
	void (*version_set_write)(struct source *, uint64_t at,
	    const char *service, const char *text);
	/*
	 * The log of streams: appends a record; reads records from this one
	 * on, each of which entry_streams_take() gets. They end with
	 * entry_streams_appended() and entry_streams_read().
	 */
	void (*streams_append)(struct source *, const void *, size_t);
	void (*streams_read)(struct source *, uint64_t from);
	/*
	 * Records of requests that end servers, by their keys; of one without
	 * a text the key is deleted. They end with entry_suspects_read() and
	 * entry_suspects_written().
	 */
	void (*suspects_read)(struct source *);
	void (*suspects_write)(
	    struct source *, const struct source_record *, unsigned int);
	/* Report a window's counts; then calls entry_duty_usage_reported(). */
	void (*report_usage)(struct source *, uint64_t window, json_t *counts);
	/* False: not possible now; else entry_duty_servers_ordered() is called
	 * later.
	 */
	bool (*order_servers)(struct source *, const struct server_order *);
	/* Decode the text of a configuration; NULL if it is invalid. */
	struct route_table *(*decode_table)(
	    struct source *, const char *, size_t);
	/* Append the source's own metrics in the text exposition format. */
	void (*metrics)(const struct source *, GString *);
	void (*finish)(struct source *);
};

struct source {
	const struct source_ops *ops;
	struct entry *entry;
};

#endif /* WIRE_H */
