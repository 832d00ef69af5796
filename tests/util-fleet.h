/*
 * A fleet of membership cores on a simulated network in virtual time: seeded
 * loss, delay, partitions, crashes, pauses and restarts. Messages go through
 * the real codec. Each node reads the VM list every second.
 */

#ifndef UTIL_FLEET_H
#define UTIL_FLEET_H

#include "member.h"
#include "net.h"

/* Node i is in failure domain i % FLEET_DOMAINS. */
#define FLEET_DOMAINS 3

struct fleet;

struct fleet_node {
	struct fleet *fleet;
	unsigned int index;
	struct members members;
	char name[NAME_SIZE];
	uint64_t incarnation;
	bool up;
	bool paused;
	unsigned int region; /* only nodes of one region hear each other */
	msec due;
	msec next_list;
	uint64_t bytes_out, bytes_in, datagrams_out;
	uint64_t bytes_across; /* of bytes_out, to other failure domains */
	/* By node: the incarnation we have known as leaving. */
	uint64_t *known_leaving;
	unsigned int changes;
};

struct fleet {
	GRand *rand;
	GTree *events;
	uint64_t next_event;
	msec now;
	struct fleet_node *nodes;
	unsigned int n;
	unsigned int loss_permille;
	msec delay_min, delay_max;
	/* The VM list as the platform shows it now. */
	struct vm *shown;
	unsigned int nshown;
	/* Members that reverted from leaving within an incarnation. */
	unsigned int reverted;
	void (*message)(struct fleet_node *, name_id, const sp_msg *);
	void *arg;
};

/* All nodes are on the list, none is up. */
void fleet_init(struct fleet *, unsigned int, uint32_t);
void fleet_finish(struct fleet *);
void fleet_start(struct fleet *, unsigned int);
void fleet_crash(struct fleet *, unsigned int);
void fleet_pause(struct fleet *, unsigned int);
void fleet_resume(struct fleet *, unsigned int);
void fleet_start_all(struct fleet *);
/* Let the time pass. */
void fleet_run(struct fleet *, msec);
/* Set a VM's mark on the shown list, or take the VM off it. */
void fleet_list_leaving(struct fleet *, unsigned int, bool);
void fleet_list_remove(struct fleet *, unsigned int);
void fleet_list_restore(struct fleet *);
/* What node a holds of node b; NULL when it does not know it. */
struct member *fleet_view(struct fleet *, unsigned int, unsigned int);
/* Up nodes that hold node b in this state. */
unsigned int fleet_count(struct fleet *, unsigned int, enum member_state);
unsigned int fleet_up(const struct fleet *);
/* True when every up node holds every up node as live, the rest as dead. */
bool fleet_agrees(struct fleet *);
/* Run until it agrees or the time is over; the time it took, -1: did not. */
msec fleet_run_until_agreed(struct fleet *, msec);
/* Run until all hold b in this state, as above. */
msec fleet_run_until(struct fleet *, unsigned int, enum member_state, msec);
/* Send a message of another part between two nodes. */
void fleet_send(struct fleet_node *, uint32_t, uint16_t, const sp_msg *);

#endif /* UTIL_FLEET_H */
