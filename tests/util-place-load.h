/*
 * A load on the nodes of util-place.h: callers of a few kinds, and servers that
 * read one prompt after the other, the most urgent first.
 */

#ifndef UTIL_PLACE_LOAD_H
#define UTIL_PLACE_LOAD_H

#include "util-place.h"

#define LOAD_REQUESTS_MAX 8192

/* One kind of request of a load, with counts of its outcomes. */
struct load_kind {
	double per_s;
	unsigned int rank, shared, own, subjects;
	msec target, gap;
	unsigned int asked, refused, late;
	unsigned int lost; /* refused, and not repeated any more */
};

/* A request at a simulated server. */
struct load_request {
	struct place_request place;
	struct load *load;
	struct load_kind *kind;
	struct places_node *node;
	double unread; /* tokens not yet processed */
	msec sent, ends;
	bool active;
	bool returned;
	msec returns_at; /* 0: it does not wait to return */
};

struct load {
	struct places *ps;
	struct load_request requests[LOAD_REQUESTS_MAX];
	unsigned int n;
	/* The servers before this number read at half the speed. */
	unsigned int slow_servers;
	/* Callers repeat a refused request once, after this time; 0: never. */
	msec return_ms;
	/* Keys of server and prompt in the servers' caches; NULL: no caches. */
	GHashTable *cached_prompts;
};

/* Starts 8 nodes and 9 servers. */
void load_start(struct load *, struct places *);
void load_stop(struct load *);
/* Sends requests of these kinds for a time. */
void load_run(struct load *, struct load_kind *, unsigned int, msec);
/* Starts, runs a load for 10 s and stops. */
void
load_run_all(struct load *, struct places *, struct load_kind *, unsigned int);
/* Servers keep what they have read. */
void load_keep_prompts(struct load *);
/* A server's speed as a part of the usual one. */
double load_speed(const struct load *, name_id);
/* Kills a node: its requests end, and no other node is notified. */
void load_kill_node(struct load *, struct places_node *);

#endif /* UTIL_PLACE_LOAD_H */
