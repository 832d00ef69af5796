/*
 * The backend servers as this node knows them: what the platform says of
 * each, and what our own requests showed. A core without input or output;
 * server-choose.c decides which one gets a request.
 */

#ifndef SERVER_H
#define SERVER_H

#include "savory.h"
#include "server-memory.h"
#include "server-rate.h"

/* Platforms name their servers as they like; longer names are refused. */
#define SERVER_NAME_SIZE 128
#define SERVER_RANKS 10

/* What the platform says of a server. */
enum server_state {
	SERVER_READY,
	SERVER_DRAINING, /* finishes what it has */
	SERVER_GONE	 /* not listed any more; kept while links are open */
};

/* What the platform says of one. */
struct server_entry {
	const char *name;
	const char *service;
	const char *domain;
	uint32_t address; /* IPv4, host byte order */
	uint16_t port;
	unsigned int slots; /* 0: not said */
	bool draining;
	int64_t born;	  /* when it started, in any unit; 0: not said */
	bool reclaimable; /* the platform may take it back at any time */
};

/* What runs on a server. */
struct server_load {
	unsigned int running;
	uint64_t unread; /* prompt tokens without an answer yet */
	uint64_t unread_by[SERVER_RANKS]; /* the same, by rank */
};

/* A server: the platform's words, and what our requests showed. */
struct server {
	RB_ENTRY(server) entry;
	name_id id;
	char name[SERVER_NAME_SIZE];
	uint64_t rank; /* the same on every node, by no order */
	name_id service;
	char domain[NAME_SIZE];
	uint32_t address;
	uint16_t port;
	unsigned int slots;
	enum server_state state;
	bool reclaimable;
	int64_t born;
	unsigned int starts; /* grows with each process under the name */
	bool missing;	     /* not listed; gone when the hold ends */
	msec missing_since;
	msec gone_since;
	bool listed_again;	/* in doubt; see servers_doubt() */
	struct server_load own; /* of our requests */
	struct server_load all; /* of all nodes', for a coordinator */
	/* From our own requests. */
	unsigned int failures; /* in a row */
	msec resting_until;    /* the last choice before, after failures */
	bool down;	       /* nobody has answered there since */
	msec tried;	       /* while it is down: last chosen */
	/*
	 * By rank: when the newest request was sent that the server has begun
	 * to answer. An older one without an answer was passed over.
	 */
	msec begun_sent[SERVER_RANKS];
	msec heard;		 /* the newest byte of an answer */
	double first_ms;	 /* smoothed time to an answer; 0: none yet */
	unsigned int links;	 /* connections of ours, used and idle */
	struct server_rate rate; /* that it says it takes */
	msec new_at;   /* came while all others were known; 0: before */
	uint64_t told; /* its part of the mark as nodes were told */
	char service_name[NAME_SIZE];
	void *arg; /* the embedder's */
};
/* By id. */
RB_HEAD(server_tree, server);
int server_compare(struct server *, struct server *);
RB_PROTOTYPE(server_tree, server, entry, server_compare)

/* Servers that are remembered as not having answered when we connected. */
#define SERVER_MISSED_MAX 8

/* What connecting shows of our own path to the servers. */
struct server_reach {
	/* The last that did not answer, each once, and when. */
	name_id missed[SERVER_MISSED_MAX];
	msec missed_at[SERVER_MISSED_MAX];
	unsigned int nmissed;
	/* Smoothed: how often one did not answer, and how often one did. */
	double misses, answers;
	msec at;
};

struct servers;

/* What the table calls; both must be given. */
struct server_ops {
	/* It drains, is gone, or started anew under its name. */
	void (*changed)(struct servers *, struct server *);
	/* Its memory is about to go. */
	void (*removed)(struct servers *, struct server *);
};

/* All servers; in the embedder's memory. */
struct servers {
	const struct server_ops *ops;
	struct server_tree tree;
	unsigned int count;
	struct server_memory memory;	 /* by our requests */
	struct server_memory all_memory; /* by all nodes', for a coordinator */
	bool whole;			 /* all that there were are known */
	msec held_until;		 /* no server is taken as gone before */
	msec remember;			 /* ms that one that is gone is kept */
	msec doubted_until;		 /* nor as back, once it was gone */
	struct server_reach reach;	 /* by our requests */
	void *arg;			 /* the embedder's */
};

/* Empty; its end; one by id, or NULL. */
void servers_init(struct servers *, const struct server_ops *);
void servers_finish(struct servers *);
struct server *servers_find(struct servers *, name_id);
/* What the platform now says of a server. */
void servers_list(struct servers *, msec, const struct server_entry *);
/* All that the platform lists is known: what comes from now on is new. */
void servers_set_whole(struct servers *);
/* The platform does not list it any more. */
void servers_unlist(struct servers *, msec, const char *name);
/*
 * Guards against a platform that was away: entries lapse meanwhile although
 * the servers are well, and are back soon after its return. Until the point
 * in time, a server that is not listed stays in use.
 */
void servers_hold(struct servers *, msec until);
/*
 * Guards against a platform that shows an older list again, with entries of
 * servers that have left since: until the point in time, one that we know to
 * be gone stays so, unless it has started anew. Servers that are gone are
 * remembered for so many ms.
 */
void servers_doubt(struct servers *, msec until);
void servers_remember(struct servers *, msec);
/* What the platform says of it, whatever we hold on to or doubt. */
enum server_state server_listed_as(const struct server *);
/*
 * Names what the platform says of all servers: the same on two nodes that have
 * read the same entries, also while one holds a server that is not listed.
 */
uint64_t servers_mark(struct servers *);
/* One server's part of it: the mark is the sum; 0 when it is not listed. */
uint64_t server_mark(const struct server *);
/* Do what is due. */
void servers_tick(struct servers *, msec);

/* How an attempt ended, for what is learned of its server. */
enum server_result {
	SERVER_WELL,   /* it answered */
	SERVER_FULL,   /* it said that it takes no more now */
	SERVER_FAILED, /* it broke off, was silent or answered rubbish */
	SERVER_DOWN,   /* it takes no connection, or another is there */
	SERVER_UNKNOWN /* our caller left, or we gave up */
};
void server_learn(struct server *, msec, enum server_result);
/* It sent a byte of the answer to a request of a rank, sent then. */
void server_heard(struct server *, msec, unsigned int rank, msec sent);
/*
 * Is a request that was sent then, and has no answer, likely never to get
 * one? So it is when younger ones that are no more urgent were begun, or when
 * the server has been silent altogether. A server that is only busy keeps
 * it: sent elsewhere it would be read again, and wait again.
 */
bool server_forgot(
    const struct server *, msec, unsigned int rank, msec sent, msec silence);
/* One answered: a connection to it stands, or its answer begins. */
void servers_reached(struct servers *, msec);
/* One did not answer in time when we connected. */
void servers_missed(struct servers *, msec, const struct server *);
/*
 * Do servers answer us? False when several did not in a short time, and hardly
 * any other did: then it is our own link that is full, or cut.
 */
bool servers_in_reach(struct servers *, msec);
/* May it get new work? */
bool server_takes_work(const struct server *, msec);

/* ---- the choice: server-choose.c ---- */

/* Servers that a request may avoid. */
#define SERVER_AVOID_MAX 8

/* What a request needs. */
struct server_wish {
	name_id service;
	name_id route;
	uint64_t prompt;     /* hash of the shared part; 0: none */
	unsigned int shared; /* tokens of the shared part */
	unsigned int own;    /* tokens beside it */
	msec gap_target;     /* longest pause in time; 0: any */
	msec target;	     /* to the answer's first event; 0: any */
	unsigned int rank;   /* 0 is first */
	unsigned int navoid;
	name_id avoid[SERVER_AVOID_MAX]; /* tried already */
};

/* From where a choice is made. */
struct server_view {
	bool all;	    /* as coordinator: of all nodes' requests */
	bool young;	    /* but not for long */
	const char *domain; /* ours, or "" */
	bool light;	    /* goes to the quiet servers: server-mix.h */
	unsigned int quiet; /* how many these are */
	double hold_ms; /* how long a request is on a server; 0: not known */
	unsigned int groups, group; /* of the service's servers; see place.h */
	unsigned int nodes;	    /* that there are */
	msec now;
	bool urgent; /* no other kind of the service is more urgent */
	bool began;  /* as coordinator: another may not know yet */
	bool sole;   /* as coordinator: all nodes ask us */
};

/* How many servers of a service, in the view's group, take work. */
unsigned int
servers_ready(struct servers *, name_id service, const struct server_view *);
/* The same of those that take as much as they are given. */
unsigned int
servers_kept(struct servers *, name_id service, const struct server_view *);
/* Is one there that takes work, of those that a request does not avoid? */
bool servers_have_another(struct servers *, const struct server_wish *);
/* The best server for it, or NULL when there is none at all. */
struct server *server_choose(struct servers *, msec, const struct server_wish *,
    const struct server_view *, uint32_t draw);
/*
 * Where all ready servers of a service name a rate: until one of them takes
 * another request, in ms; else 0.
 */
msec servers_rate_wait(struct servers *, name_id service);
/* How long it takes to read what it was given up to a rank, in ms. */
msec server_reading(const struct server_load *, unsigned int rank);
/* The same of a view's servers on average; MSEC_NEVER: it has none. */
msec servers_reading(struct servers *, name_id service, unsigned int rank,
    const struct server_view *);
/* For a server that is new in the table. */
void server_set_rank(struct server *);
/* Its group, of so many. */
unsigned int server_group(const struct server *, unsigned int groups);

#endif /* SERVER_H */
