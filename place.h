/*
 * Selects the backend server of each request. (placement.h is about another
 * matter: which models are loaded on which engines.)
 *
 * A coordinator node decides for all requests for a group of servers. Without
 * one, each node would see its own requests only: nodes would send long
 * prompts to the same server, have shared prompt prefixes read again, and
 * disagree about which servers are reserved for light requests. A decision by
 * the coordinator costs a round trip between nodes.
 *
 * A coordinator has no persistent state: it is selected by rendezvous hashing
 * over the live nodes, counts the requests reported to it, and drops entries
 * that expire. A node that gets no reply in time selects a server from its own
 * requests and reports the choice to the coordinator.
 *
 * The module does no I/O; messages go through struct place_ops.
 */

#ifndef PLACE_H
#define PLACE_H

#include "proto.h"
#include "returns.h"
#include "savory.h"
#include "server-mix.h"
#include "server.h"

/*
 * Maximum servers per coordinator. A larger service is divided into groups,
 * each with its own coordinator, so that no node handles all requests.
 */
#define PLACE_GROUP_SERVERS 20

/*
 * Estimated time to prefill (read) the unread prompts when a request was
 * placed, in ms; 0: not known.
 */
struct place_queue {
	msec wait;  /* on its server, including the request itself */
	msec ahead; /* of prompts at least as urgent, before it: on its
		       server, or the average of the servers that it
		       may use, if that is less */
	msec limit; /* maximum for `ahead`; 0: no limit */
	/* Only its organisation's share makes `ahead` exceed `limit`. */
	bool by_share;
};

/*
 * Returns true if `ahead` exceeds `limit`, so that the request should be
 * refused. See server-limit.h.
 */
bool place_queue_exceeds_limit(const struct place_queue *);

/* A request that waits for a server or runs on one. Owned by the caller. */
struct place_request {
	TAILQ_ENTRY(place_request) entry;
	struct server_wish wish;
	void *arg;
	struct place_queue queue; /* set when decided() is called */
	/* Server to fetch the shared part of the prompt from; 0: none. */
	name_id source;
	/* Longest pause of the stream so far, in ms; set by the caller. */
	msec gap;
	/* Private from here. */
	uint32_t id;	     /* 0: not reported to any coordinator */
	name_id coordinator; /* node that counts the request */
	msec asked;	     /* when the coordinator was asked */
	bool waiting;	     /* for the coordinator's reply */
	bool local;  /* counted in the server's `own` load and in `running` */
	bool unread; /* the server has not read the prompt yet */
	bool late;   /* reported as late to the coordinator */
	name_id server;
};
TAILQ_HEAD(place_requests, place_request);

struct place_record;
struct place_policy;
/* Requests counted by a coordinator; traffic statistics by service. */
RB_HEAD(place_records, place_record);
RB_HEAD(place_mixes, mix);
int place_mix_compare(struct mix *, struct mix *);
RB_PROTOTYPE(place_mixes, mix, entry, place_mix_compare)

struct place;

/* Callbacks; all are required. */
struct place_ops {
	/*
	 * Sends a message to a node; it may be lost. Must not call a function
	 * of this module.
	 */
	void (*send)(struct place *, name_id, const sp_msg *);
	/* A server was selected; NULL: none is available. */
	void (*decided)(
	    struct place *, struct place_request *, struct server *, msec);
	/* Another node reported a changed rate limit of a server. */
	void (*rate_changed)(struct place *, struct server *, msec);
};

/* A node of the membership; the local node is one of them. */
struct place_node {
	name_id id;
	bool takes_work;
	msec age;	  /* of its process in ms; less than 0: not known */
	bool coordinates; /* private: may be a coordinator */
};

/* Monotonic counters. */
struct place_counters {
	/*
	 * Queries sent to coordinators, replies in time, late replies,
	 * decisions without a coordinator, requests counted as coordinator.
	 */
	uint64_t asked, answered, late, alone, coordinated;
	uint64_t returned;	/* admitted on their return after a refusal */
	uint64_t alone_refused; /* of `alone`: refused at the last known rate */
	/* As coordinator: only their organisations' shares refused these, or
	   admitted them. */
	uint64_t share_refused, share_admitted;
	/*
	 * As coordinator: prompt tokens, and those of them that the server
	 * had already read.
	 */
	uint64_t tokens, tokens_kept;
	/* As coordinator: streams placed where they probably miss their gap
	 * target. */
	uint64_t gaps_missed;
	/* Requests whose server was to fetch a prompt, and its tokens. */
	uint64_t fetches, tokens_fetched;
};

/* State of the module; one per node. Owned by the caller. */
struct place {
	const struct place_ops *ops;
	struct servers *servers;
	name_id self;
	char domain[NAME_SIZE];
	GRand *rand;
	unsigned int nnodes;
	struct place_node *nodes;
	unsigned int max_nodes; /* largest recent number of nodes */
	msec max_nodes_at;
	msec last_coordinated_at; /* last request placed as coordinator */
	msec coordinator_since;	  /* when this node became a coordinator */
	uint32_t next_id;
	struct place_requests waiting; /* for a coordinator's reply */
	struct place_requests running; /* on a server */
	double round_trip;	       /* smoothed, ms */
	unsigned int missed;	       /* consecutive replies missed */
	msec next_sweep;
	msec next_rates;	  /* when rate limits are sent again */
	msec rates_at;		  /* last rate limit received or listed */
	name_id last_listed_rate; /* server whose rate limit was listed last */
	msec alone_until;	  /* coordinators are not asked before */
	/* Traffic of this node, and of all nodes as coordinator. */
	struct place_mixes own, all;
	struct place_records records; /* as coordinator */
	struct returns returns;	      /* requests that it refused */
	struct place_counters counters;
	void *arg;			   /* for the caller */
	const struct place_policy *policy; /* NULL: coordinators decide */
	bool fair_shares;		   /* between organisations */
	unsigned int next_pick;		   /* for round-robin */
};

/* Initialises the module for a node's id and failure domain. */
void place_init(struct place *, const struct place_ops *, struct servers *,
    name_id self, const char *domain, GRand *);
/*
 * Sets how servers are selected: "owner" (by coordinators) or a baseline
 * without coordinators: "random", "round-robin", "least-load", "two-choices".
 */
void place_set_policy(struct place *, const char *);
/*
 * Sets whether coordinators divide room that is short between organisations;
 * see fair-share.h. The default is not to.
 */
void place_set_fair_shares(struct place *, bool);
void place_finish(struct place *);
/* Sets the list of all nodes, including the local one. */
void
place_set_nodes(struct place *, msec, const struct place_node *, unsigned int);
/* Sets the configured maximum of a service's servers; 0: not configured. */
void place_set_max_servers(struct place *, name_id service, unsigned int);
/* Sets how a service's servers transfer cached prompts to each other. */
void place_set_transfer(
    struct place *, name_id service, const struct prompt_transfer *);
/* Selects a server; decided() is called before this returns, or later. */
void place_submit(struct place *, msec, struct place_request *);
/*
 * The request, placed and counted as `from`, goes on as `to`, which must not be
 * in use. Its prompt need not be read there. `from` can be used anew.
 */
void place_hand_over(
    struct place *, msec, struct place_request *from, struct place_request *to);
/* The server has read the request's prompt: its response has begun. */
void place_prompt_read(struct place *, msec, struct place_request *);
/*
 * The server missed the target for the first event or for the longest pause of
 * a stream, or it timed out.
 */
void place_mark_late(struct place *, msec, struct place_request *);
/* An answer to the request says that its server is brittle. */
void place_mark_brittle(struct place *, msec, struct place_request *);
/*
 * The request was cancelled or has left its server. The result is recorded for
 * the server here and by the coordinator.
 */
void
place_end(struct place *, msec, struct place_request *, enum server_result);
/* A response to this node carried a changed rate limit of the server. */
void place_rate_received(struct place *, msec, const struct server *);
/* Handles a message from another node. */
void place_receive(struct place *, msec, name_id, const sp_msg *);
/* Runs due timers; returns the time of the next call. */
msec place_tick(struct place *, msec);

#endif /* PLACE_H */
