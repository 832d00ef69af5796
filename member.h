/*
 * Membership of the fleet: the entry VMs and their states. SWIM-like probes
 * detect which members are alive; the platform's VM list provides the
 * candidates. This module does no I/O: messages, the time and the VM list are
 * passed as arguments, messages to send go out through member_ops.
 */

#ifndef MEMBER_H
#define MEMBER_H

#include "proto.h"
#include "savory.h"

/*
 * States of a member, with their values on the wire. The protocol is SWIM (Das,
 * Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process
 * Group Membership Protocol", 2002): probe, probe indirectly, suspect, declare
 * dead; a suspect refutes with a greater refutation number.
 */
enum member_state {
	MEMBER_ALIVE = SP_ALIVE,
	MEMBER_LEAVING = SP_LEAVING, /* alive, accepts no new requests */
	MEMBER_SUSPECT = SP_SUSPECT,
	MEMBER_DEAD = SP_DEAD
};

/* A member in this node's view. Addresses and ports in host byte order. */
struct member {
	RB_ENTRY(member) entry;
	name_id id;
	char name[NAME_SIZE];
	char domain[NAME_SIZE];
	uint64_t incarnation; /* of the process; 0: no message received yet */
	enum member_state state;
	bool leaving; /* never reset within an incarnation */
	bool listed;  /* on the latest accepted VM list */
	uint32_t address;
	uint16_t peer_port;
	uint16_t caller_port;
	uint16_t control_port;
	uint64_t document_version;
	unsigned int load_permille;
	msec load_at; /* time of the load report; MSEC_NEVER: none */
	msec state_since;
	unsigned int
	    answers_since_load; /* callers directed to it since load_at */
	/* The rest is private to member*.c. */
	TAILQ_ENTRY(member) update_entry;
	TAILQ_ENTRY(member) suspect_entry;
	msec incarnation_since;
	uint64_t listed_live_incarnation; /* incarnation when last listed as not
					     leaving */
	uint32_t refutation;
	unsigned int
	    transmissions_left; /* remaining transmissions of its update */
	bool on_new_list;	/* on the VM list being applied */
	bool announced;		/* the local node was announced to it */
};
RB_HEAD(member_tree, member);
int member_compare(struct member *, struct member *);
RB_PROTOTYPE(member_tree, member, entry, member_compare)

struct members;

/* Callbacks; both are required. */
struct member_ops {
	/*
	 * Sends a message to an address and port. The message is valid during
	 * the call only. Must not call members_*().
	 */
	void (*send)(struct members *, uint32_t, uint16_t, const sp_msg *);
	/*
	 * A member joined, changed its state, or died (MEMBER_DEAD). Also
	 * called for the local node when it begins to leave, or when it has
	 * taken a greater incarnation, which its messages must carry from then
	 * on. Must not call members_*().
	 */
	void (*changed)(struct members *, const struct member *);
};

/* An entry of the platform's VM list. */
struct vm {
	char name[NAME_SIZE];
	char kind[16];		 /* "entry", "engine", "plain" */
	char service[NAME_SIZE]; /* empty for entry VMs */
	char domain[NAME_SIZE];
	bool leaving;
	uint32_t address;
	uint16_t port; /* entry VMs: peer port; others: HTTP */
};

/* The local node and the timing; copied by members_init(). Times of 0 select
 * the defaults. */
struct member_config {
	const char *name;
	const char *domain;
	uint64_t incarnation; /* greater at each start */
	uint32_t address;
	uint16_t peer_port;
	uint16_t caller_port;
	uint16_t control_port;
	msec probe_interval;
	msec probe_timeout;
	msec suspect_timeout;
	msec list_lag; /* maximum lag of the VM list */
	uint32_t seed;
};

/* Counters since the start. */
struct member_counters {
	uint64_t probes, probes_failed, relayed, reconnects;
	uint64_t suspected, died, refuted, syncs, news_sent;
	uint64_t lists_held, pauses;
};

/* The membership table; allocated by the caller, one per node. */
struct members {
	const struct member_ops *ops;
	struct member_tree tree; /* without the local node */
	struct member self;
	struct member_counters counters;
	struct member_state_data *priv; /* private */
	void *arg;			/* for the caller's use */
};

/* members_finish() frees all but the struct itself. */
void members_init(struct members *, const struct member_ops *,
    const struct member_config *, msec);
void members_finish(struct members *);

/*
 * Applies a new VM list; VMs of other kinds than "entry" are ignored. Returns
 * false and changes nothing for a list that is empty or lacks more than half of
 * the live listed members. A listed VM from which no message has arrived yet is
 * a member in state MEMBER_DEAD with incarnation 0.
 */
bool members_set_list(struct members *, msec, const struct vm *, unsigned int);
/*
 * Handles an authenticated message, given the sender's node id, incarnation,
 * address and port. Kinds that are not membership messages are ignored.
 */
void members_receive(struct members *, msec, name_id, uint64_t, uint32_t,
    uint16_t, const sp_msg *);
/* Runs due timers; returns the time of the next call. */
msec members_tick(struct members *, msec);
/* Sets the local node's document version and load (permille). */
void members_set_self(struct members *, uint64_t, unsigned int);
/* Marks the local node as leaving, for good, and announces it to all. */
void members_leave(struct members *, msec);
/* Excludes the local node; NULL if not found. The pointer is valid until the
 * next call of another members_*() function. */
struct member *members_find(struct members *, name_id);
/* The greatest document version of any member or the local node. */
uint64_t members_newest_version(const struct members *);
/* The state as text; the caller frees it. */
char *members_dump(struct members *, msec);
const char *member_state_name(enum member_state);

#endif /* MEMBER_H */
