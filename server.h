/*
 * The node's table of backend servers: the entries of the platform, and the
 * load and health measured by the node's own requests. server-choose.c selects
 * the server of a request. The module does no I/O.
 */

#ifndef SERVER_H
#define SERVER_H

#include "prompt-fetch.h"
#include "savory.h"
#include "server-memory.h"
#include "server-pace.h"
#include "server-rate.h"
#include "server-room.h"
#include "server-sign.h"
#include "server-speed.h"
#include "server-version.h"

/* Size limit of names, which platforms choose; longer names are ignored. */
#define SERVER_NAME_SIZE 128
#define SERVER_RANKS 10
/* Size limit of software versions; longer ones are kept as by name_fit(). */
#define SERVER_SOFTWARE_SIZE 48

/* State of a server by the platform's list. */
enum server_state {
	SERVER_READY,
	SERVER_DRAINING, /* finishes its requests, gets no new ones */
	SERVER_GONE	 /* not listed any more; kept while links are open */
};

/* The platform's entry of a server. */
struct server_entry {
	const char *name;
	const char *service;
	const char *domain;
	uint32_t address; /* IPv4, host byte order */
	uint16_t port;
	unsigned int slots; /* concurrent requests; 0: not given */
	bool draining;
	msec leaves;  /* if draining: it stays for so many ms; 0: not given */
	int64_t born; /* start time in any unit; 0: not given */
	bool reclaimable; /* the platform may take the VM back at any time */
	const char *software; /* version of its software; NULL: not given */
};

/* Requests on a server. */
struct server_load {
	unsigned int running;
	uint64_t unread; /* prompt tokens of requests without a response */
	uint64_t unread_by[SERVER_RANKS]; /* the same, by rank */
};

/* A server: the platform's entry, and measurements of this node. */
struct server {
	RB_ENTRY(server) entry;
	name_id id;
	char name[SERVER_NAME_SIZE];
	uint64_t rank; /* pseudorandom, the same on every node */
	name_id service;
	char domain[NAME_SIZE];
	uint32_t address;
	uint16_t port;
	unsigned int slots;
	enum server_state state;
	bool reclaimable;
	int64_t born;
	/* Version of the process's software, and its hash; "" and 0: unknown.
	 */
	char software[SERVER_SOFTWARE_SIZE];
	name_id software_id;
	unsigned int starts; /* restarts of the process under this name */
	msec replaced_at; /* its process said that it is a newer one; 0: no */
	msec doubted_at;  /* a connection to it ended or was refused; 0 */
	/* An answer of this process says that it leaves, whatever is listed. */
	bool says_leaving;
	msec leaving_since; /* this node learned that it leaves; 0: it stays */
	msec leaves_at;	    /* as its entry says; 0: not given */
	/*
	 * It asked this node for no requests until then; after that it gets
	 * few until it answers one. 0: none.
	 */
	msec rest_until;
	bool missing; /* unlisted; SERVER_GONE after the hold */
	msec missing_since;
	msec missing_for; /* of that, while the platform was not away, in ms */
	msec gone_since;
	bool listed_again;	/* while SERVER_GONE; see servers_keep_gone() */
	struct server_load own; /* requests of this node */
	struct server_load all; /* of all nodes, as coordinator */
	msec fetches_until;	/* end of its transfers, as coordinator */
	struct server_speed speed; /* as coordinator */
	struct server_pace pace;   /* as coordinator */
	struct prompt_space space; /* memory in use, as coordinator */
	/* Measured by the requests of this node. */
	unsigned int failures; /* consecutive */
	msec resting_until;    /* chosen last before this, after failures */
	bool down;	       /* the last result was SERVER_DOWN */
	msec tried;	       /* last time it was chosen while down */
	/*
	 * By rank: send time of the newest request whose response has begun.
	 * An older request without a response was probably lost.
	 */
	msec begun_sent[SERVER_RANKS];
	msec received;		 /* last byte of a response */
	double first_ms;	 /* smoothed time to a response; 0: none yet */
	unsigned int links;	 /* connections of this node, busy and idle */
	struct server_rate rate; /* rate limit reported by the server */
	struct server_room room; /* while it says that it is brittle */
	struct server_sign sign; /* of its process, to this node */
	/* When added after servers_set_complete(), or restarted; 0: neither. */
	msec new_at;
	uint64_t sent_mark; /* server_mark() when last sent to other nodes */
	char service_name[NAME_SIZE];
	void *arg; /* for the caller */
};
/* By id. */
RB_HEAD(server_tree, server);
int server_compare(struct server *, struct server *);
RB_PROTOTYPE(server_tree, server, entry, server_compare)

/* Number of servers recorded after a connection timeout. */
#define SERVER_MISSED_MAX 8

/* Connection results, which show whether this node has network access. */
struct server_reach {
	/* The last servers with connection timeouts, each once, and when. */
	name_id missed[SERVER_MISSED_MAX];
	msec missed_at[SERVER_MISSED_MAX];
	unsigned int nmissed;
	/* Decaying counts of timeouts and of successes. */
	double misses, answers;
	msec at;
};

struct servers;

/* Callbacks. */
struct server_ops {
	/* The server's state changed, or its process was restarted. */
	void (*changed)(struct servers *, struct server *);
	/* The server is about to be freed. */
	void (*removed)(struct servers *, struct server *);
	/* Not listed any more, but kept in use for now; may be NULL. */
	void (*kept)(struct servers *, struct server *);
};

/* All servers; owned by the caller. */
struct servers {
	const struct server_ops *ops;
	struct server_tree tree;
	unsigned int count;
	struct server_memory memory;	 /* by requests of this node */
	struct server_memory all_memory; /* of all nodes, as coordinator */
	bool complete;			 /* set by servers_set_complete() */
	msec unlisted_kept_until; /* no server becomes SERVER_GONE before */
	/* Set by servers_set_outage(); the same, within a bound. */
	bool outage_is_on;
	msec outage_hold_end;
	msec ticked;	       /* last call of servers_tick() */
	unsigned int nmissing; /* at that call */
	msec retention;	      /* how long SERVER_GONE entries are kept, in ms */
	msec gone_kept_until; /* no server leaves SERVER_GONE before */
	struct server_reach reach;
	struct server_versions versions;
	msec listed_since; /* the first entry was read; 0: none yet */
	void *arg;	   /* for the caller */
};

/* Initialises an empty table; frees all servers. */
void servers_init(struct servers *, const struct server_ops *);
void servers_finish(struct servers *);
/* Returns a server by its id, or NULL. */
struct server *servers_find(struct servers *, name_id);
/* Identifies the server's process, the same on all nodes. */
uint64_t server_process_id(const struct server *);
/* Returns the server that runs this process, or NULL. */
struct server *servers_find_process(struct servers *, uint64_t);
/* Identifies the cache of the server's current process. */
uint64_t server_cache_id(const struct server *);
/* Adds a server or updates it by the platform's current entry. */
void servers_list(struct servers *, msec, const struct server_entry *);
/*
 * The server's process says that it was started at `born`, not when its entry
 * says: it is another one, of which nothing else is known until it is listed.
 */
void servers_replaced(struct servers *, msec, struct server *, int64_t born);
/* A connection to the server ended or was refused: its process may have. */
void server_doubt(struct server *, msec);
/* The first list was read completely: servers added from now on are new. */
void servers_set_complete(struct servers *);
/* The platform does not list the server any more. */
void servers_unlist(struct servers *, msec, const char *name);
/*
 * Keeps unlisted servers in use until the given time. Guards against a platform
 * outage: entries expire during it although the servers are healthy, and are
 * listed again soon after it.
 */
void servers_keep_unlisted(struct servers *, msec until);
/*
 * The same while the platform is away for all nodes and until the given time,
 * which may also be put forward. A server that is unlisted for
 * SERVER_MISSING_MS without an outage becomes SERVER_GONE all the same, so that
 * outages in quick succession do not keep it for ever.
 */
#define SERVER_MISSING_MS 4600
void servers_set_outage(struct servers *, bool is_on, msec hold_end);
/* Returns true if no server counts as present without being listed. */
bool servers_list_is_settled(const struct servers *, msec);
/*
 * Keeps servers in SERVER_GONE until the given time, even if they are listed,
 * unless their process was restarted. Guards against a platform that returns an
 * older list with servers that have stopped since. servers_set_retention() sets
 * for how many ms SERVER_GONE entries are kept.
 */
void servers_keep_gone(struct servers *, msec until);
void servers_set_retention(struct servers *, msec);
/*
 * State by the platform's list, without servers_keep_unlisted(),
 * servers_set_outage() and servers_keep_gone().
 */
enum server_state server_listed_as(const struct server *);
/*
 * Hash of the platform's list: the same on two nodes that have read the same
 * entries, also while one of them still uses an unlisted server.
 */
uint64_t servers_mark(struct servers *);
/* The server's term of that sum; 0 if it is not listed. */
uint64_t server_mark(const struct server *);
/* Runs due timers. */
void servers_tick(struct servers *, msec);

/* Result of an attempt. */
enum server_result {
	SERVER_ANSWERED, /* it answered */
	SERVER_FULL,	 /* refused: the server takes no more requests now */
	SERVER_FAILED,	 /* broken off, timed out or malformed response */
	SERVER_DOWN,	 /* no connection, or another server at the address */
	SERVER_NO_RESULT /* nothing learned, such as when the caller left */
};
void server_record_result(struct server *, msec, enum server_result);
/* Discards the failures of all servers: their cause was elsewhere. */
void servers_forget_failures(struct servers *);
/*
 * The server sent a byte of the response to a request of this rank; `sent`:
 * when the request was sent.
 */
void
server_response_received(struct server *, msec, unsigned int rank, msec sent);
/*
 * Returns true if the server has probably lost a request without a response:
 * it has begun to respond to a later request of the same or a less urgent rank,
 * or it has sent nothing for `silence` ms. A server that is only busy keeps the
 * request: another server would have to read the prompt again, and the request
 * would wait again.
 */
bool server_lost_request(
    const struct server *, msec, unsigned int rank, msec sent, msec silence);
/* A connection to a server was established, or a response began. */
void servers_reached(struct servers *, msec);
/* A connection attempt timed out. */
void servers_connect_timed_out(struct servers *, msec, const struct server *);
/*
 * Returns false if connections to several servers timed out in a short time and
 * hardly any succeeded: then the network link of this node is congested or
 * down.
 */
bool servers_in_reach(struct servers *, msec);
/* This node has learned that the server leaves. */
void server_set_leaving(struct server *, msec);
/*
 * Time at which a server that leaves ends at the earliest: as its entry says,
 * else `stay` ms after this node learned of it (0: not known). MSEC_NEVER: it
 * stays, or that is not known.
 */
msec server_leaves_at(const struct server *, msec stay);
/* Returns true if the server may get new requests. */
bool server_takes_work(const struct server *, msec);
/*
 * The list of servers counts as current for this time after it was confirmed. A
 * new version begins streams SERVER_VERSION_HOLD_MS after a node has learned of
 * it, which is not less, so that a node with a current list knows it by then.
 */
#define SERVER_LIST_AGE_MS SERVER_VERSION_HOLD_MS
/*
 * What the list, last confirmed as the newest at `confirmed` or MSEC_NEVER,
 * shows of the versions of a service's software. Only a list that was read long
 * enough ago shows all that began streams.
 */
enum version_view servers_version_view(
    const struct servers *, msec, name_id service, msec confirmed);
/*
 * Does the list show all versions of the service that count, also those that
 * left before this node's start?
 */
bool servers_know_versions(const struct servers *, msec, name_id service);
/*
 * For how many ms a version of a service's software counts after its last
 * server has left: as long as streams that it began may be resumed.
 */
void servers_keep_versions(struct servers *, msec);

/* ---- selection of a server: server-choose.c ---- */

/* Maximum number of servers that a request excludes. */
#define SERVER_AVOID_MAX 8

/* Requirements of a request. */
struct server_wish {
	name_id service;
	name_id route;
	uint64_t prompt;     /* hash of the shared prompt prefix; 0: none */
	unsigned int shared; /* prompt tokens of the shared prefix */
	unsigned int own;    /* prompt tokens after the prefix */
	msec gap_target;     /* longest pause between events, ms; 0: any */
	msec target;	     /* time to the first event, ms; 0: any */
	unsigned int rank;   /* 0 is most urgent */
	name_id software;    /* version that must serve it; 0: any */
	uint64_t repeat;     /* the same for a repetition; 0: not known */
	unsigned int navoid;
	name_id avoid[SERVER_AVOID_MAX]; /* servers tried already */
	/* Hash of the name of the organisation that it is sent for; 0: none. */
	name_id organisation;
};

/* State of the selecting node. */
struct server_view {
	bool all;	    /* as coordinator: use load of all nodes */
	bool young;	    /* coordinator for less than 15 s */
	name_id self;	    /* the node */
	const char *domain; /* the node's failure domain, or "" */
	bool light;	    /* use the quiet servers, see server-mix.h */
	unsigned int quiet; /* number of quiet servers */
	double hold_ms; /* mean time of a request on a server; 0: not known */
	unsigned int groups, group; /* of the service's servers; see place.h */
	unsigned int nodes;	    /* number of nodes */
	msec now;
	bool urgent;   /* no route of the service is more urgent */
	bool takeover; /* the previous coordinator may still be active */
	bool sole;     /* as coordinator for all nodes */
	double
	    mean_speed; /* of these servers, see server-speed.h; 0: not known */
	/* How servers transfer cached prompts; NULL: not at all. */
	const struct prompt_transfer *transfer;
};

/* Returns true unless another version of software must serve the request. */
bool server_suits(const struct server *, const struct server_wish *);
/* Number of the service's ready servers in the view's group. */
unsigned int servers_count_ready(
    struct servers *, name_id service, const struct server_view *);
/* The mean of these servers' speeds; 0: no servers. See server-speed.h. */
double servers_mean_speed(
    struct servers *, name_id service, const struct server_view *);
/* The same without servers that are short of their rate limit. */
unsigned int servers_count_unthrottled(
    struct servers *, name_id service, const struct server_view *);
/* Returns true if a ready server has no rate limit and is not excluded. */
bool servers_have_alternative(struct servers *, const struct server_wish *);
/* The same of servers that have given a sign of life; see server-sign.h. */
bool servers_have_lively(struct servers *, const struct server_wish *, msec);
/* Returns true if a ready server of the service says that it is brittle. */
bool servers_have_brittle(struct servers *, name_id service, msec);
/*
 * Time in ms until a request that found no server looks again, because one may
 * be listed or have room soon; 0: refuse it now, while that is still early.
 * `waited`: so far; `target`: of its first byte.
 */
msec servers_retry_ms(
    struct servers *, name_id service, msec now, msec waited, msec target);
/*
 * If all ready servers of a service have asked for rest: the shortest time
 * until one of them takes requests again, in ms; else 0.
 */
msec servers_rest_wait(struct servers *, name_id service, msec);
/* Returns the best server for a request, or NULL if none is available. */
struct server *server_choose(struct servers *, msec, const struct server_wish *,
    const struct server_view *, uint32_t draw);
/*
 * As coordinator: returns true if a stream on the server would probably have a
 * longer pause than its gap target.
 */
bool server_misses_gap(const struct server *, msec, const struct server_wish *);
/*
 * As coordinator: the server from which `v` should fetch the shared part of the
 * prompt, or NULL if `v` holds it or should read it.
 */
struct server *
server_fetch_source(struct servers *, msec, const struct server_wish *,
    const struct server_view *, const struct server *v);
/*
 * For a node that does not know which servers hold the prompt: the one that
 * most probably does, and from which `v` should fetch what it holds; NULL: the
 * node knows, or `v` should read the prompt.
 */
struct server *
server_guess_source(struct servers *, msec, const struct server_wish *,
    const struct server_view *, const struct server *v);
/*
 * If all ready servers of a service have a rate limit: the shortest time until
 * one of them takes another request, in ms; else 0.
 */
msec servers_rate_wait(struct servers *, name_id service);
/* Estimated time to read the unread prompts up to a rank, in ms. */
msec server_reading_ms(
    const struct server *, unsigned int rank, const struct server_view *);
/* The average over the view's servers, in ms; MSEC_NEVER: it has none. */
msec servers_reading_ms(struct servers *, name_id service, unsigned int rank,
    const struct server_view *);
/* Sets the rank of a new server. */
void server_set_rank(struct server *);
/* Returns the group of a server, less than `groups`. */
unsigned int server_group(const struct server *, unsigned int groups);

#endif /* SERVER_H */
