/*
 * Nodes, servers and callers on virtual time, for requests that end the
 * servers that run them: a server takes with it whatever else is there, and is
 * back after a while as another process.
 */

#ifndef UTIL_POISON_H
#define UTIL_POISON_H

#include "poison.h"
#include "util-mail.h"

#define NODES_MAX 350
#define SERVERS 40
#define SERVER_DOWN_MS 3500
#define ATTEMPTS 3
#define STABLE_MS 3000
#define LATER_MAX 3
#define POISONS_MAX 50
#define DEADLY_PARTS 3
/* An answer that goes on for so long clears its parts, as in entry-poison.c. */
#define BEGUN_MS 300
/* Ends under a part from which the bound of STABLE_MS and LATER_MAX counts. */
#define PART_BOUND_ENDS 5
/* Parts of a request that become suspects by an end; as many as it has. */
#define SUSPECT_PARTS 32
/* Other parts of prompts: one in all, some in many requests, some in few. */
#define PART_COMMON 1
#define PART_SOME 100
#define PART_SOME_COUNT 12
#define PART_MANY 1000
#define PART_MANY_COUNT 200
#define PART_DEADLY 9000

struct world;

struct node {
	struct poisons core;
	bool store_cut; /* its writes to the platform's store fail */
	struct world *world;
	uint64_t incarnation;
	bool cut;  /* hears and says nothing, and the others know */
	bool deaf; /* messages to it are lost */
	bool down; /* its process is away */
};

struct server {
	uint64_t life;
	msec back;
};

/* A caller's request at a node. */
struct request {
	struct poison_run run, part_run;
	struct poison_parts parts;
	unsigned int part; /* that ends servers, from 1 on; 0: none */
	struct node *node;
	struct server *server; /* NULL: at none */
	unsigned int poison;   /* from 1 on; 0: it does no harm */
	unsigned int attempts;
	msec begins;  /* its answer */
	msec ends;    /* it, or its server */
	bool cleared; /* its answer has gone on for BEGUN_MS */
	bool done;
};

struct seen {
	unsigned int ended, later;
	msec third, fifth;
};

struct world {
	struct node nodes[NODES_MAX];
	unsigned int n, servers_n;
	struct server servers[SERVERS];
	struct seen poisons[POISONS_MAX + 1];
	struct seen parts[DEADLY_PARTS + 1];
	bool has_parts;		   /* ordinary requests state parts */
	unsigned int parts_n;	   /* parts that end servers; they come now */
	unsigned int part_every;   /* ms between two requests with each */
	unsigned int end_permille; /* a second, that a server ends by itself */
	/* First tries of ordinary requests, and those that reached a server. */
	unsigned int first, first_sent;
	GPtrArray *requests;
	struct mail mail;
	GHashTable *store; /* of the platform, texts by keys; NULL: none */
	uint64_t writes, written_bytes;
	GRand *rand;
	msec now;
	uint64_t lives;
	unsigned int served, refused, failed; /* that do no harm */
	unsigned int wrongly; /* condemned, of those that do no harm */
	unsigned int poisons_refused,
	    held;     /* of `refused`, those that waited */
	double burst; /* ordinary requests a ms beside those of
			 poison_world_run() */
};

struct poison_id poison_name(unsigned int);
/* A caller's request comes to a node: a poison, from 1 on, or 0. */
struct request *
poison_request_new(struct world *, struct node *, unsigned int poison);
/* The same with a part of its prompt that ends servers, from 1 on, or 0. */
struct request *
poison_part_request_new(struct world *, struct node *, unsigned int part);
/* Servers end by themselves at one moment. */
void poison_servers_end(struct world *, unsigned int);
/* Which nodes are there is known to all that are not cut off. */
void poison_nodes_push(struct world *);
void poison_node_start(struct world *, unsigned int);
/* It reads the platform's store. */
void poison_node_load(struct world *, unsigned int);
/* The wall clock of all nodes, in ms. */
msec poison_world_wall(const struct world *);
/* Its process ends, with all that it had in hand. */
void poison_node_kill(struct world *, unsigned int);
void poison_world_init(
    struct world *, unsigned int nodes, unsigned int servers, uint32_t seed);
void poison_world_finish(struct world *);
/*
 * So many ms, with ordinary requests and copies of so many poisons at such
 * intervals; 0: none.
 */
void poison_world_run(struct world *, msec span, unsigned int every,
    unsigned int poisons, unsigned int poison_every);

/* Parts that are freed when the test ends. */
struct poison_parts poison_test_parts(const uint64_t *, unsigned int);

#endif /* UTIL_POISON_H */
