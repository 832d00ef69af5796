/*
 * Membership: which entry VMs are there and what state they are in. SWIM-like
 * probes say who is alive, the platform's VM list says who may exist. A core
 * without input or output: messages, time and the list come in as arguments,
 * messages to send go out through the ops.
 */

#ifndef MEMBER_H
#define MEMBER_H

#include "proto.h"
#include "savory.h"

/*
 * States of a member, as they travel on the wire. The method is SWIM's (Das,
 * Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process
 * Group Membership Protocol", 2002): probe, probe through others, suspect,
 * declare dead; a suspect refutes by a greater number.
 */
enum member_state {
	MEMBER_ALIVE = SP_ALIVE,
	MEMBER_LEAVING = SP_LEAVING, /* alive, finishing, takes no work */
	MEMBER_SUSPECT = SP_SUSPECT,
	MEMBER_DEAD = SP_DEAD
};

/* A member as this node sees it. Addresses and ports in host byte order. */
struct member {
	RB_ENTRY(member) entry;
	name_id id;
	char name[NAME_SIZE];
	char domain[NAME_SIZE];
	uint64_t incarnation; /* of the process; 0: never heard of */
	enum member_state state;
	bool leaving; /* sticky for the incarnation, in any state */
	bool listed;  /* on the VM list in force */
	uint32_t address;
	uint16_t peer_port;
	uint16_t caller_port;
	uint16_t control_port;
	uint64_t document_version;
	unsigned int load_permille;
	msec load_at; /* when it said so; MSEC_NEVER: never */
	msec state_since;
	unsigned int offered; /* by directory.c, since load_at */
	/* Private to member-*.c from here. */
	TAILQ_ENTRY(member) news_entry;
	TAILQ_ENTRY(member) suspect_entry;
	msec incarnation_since;
	uint64_t listed_live; /* incarnation the list last had as live */
	uint32_t refutation;
	unsigned int news_left; /* times still to piggyback */
	bool seen;		/* on the list being read */
	bool told;		/* by us what we are, since we know it */
};
RB_HEAD(member_tree, member);
int member_compare(struct member *, struct member *);
RB_PROTOTYPE(member_tree, member, entry, member_compare)

struct members;

/* What the core calls; both must be given. */
struct member_ops {
	/*
	 * Send one message to an address; its memory is lent for the call
	 * only. Must not call back into members.
	 */
	void (*send)(struct members *, uint32_t, uint16_t, const sp_msg *);
	/*
	 * A member came, changed its state, or went (state DEAD); also for
	 * ourselves, when others or the VM list say that we are leaving, or
	 * when we have taken a greater incarnation, which messages must bear
	 * from then on. Must not call back into members.
	 */
	void (*changed)(struct members *, const struct member *);
};

/* One line of the platform's VM list. */
struct vm {
	char name[NAME_SIZE];
	char kind[16];		 /* "entry", "engine", "plain" */
	char service[NAME_SIZE]; /* not for entry VMs */
	char domain[NAME_SIZE];
	bool leaving;
	uint32_t address;
	uint16_t port; /* entry: peer; others: HTTP */
};

/* What a node knows of itself; copied by members_init(). */
struct member_config {
	const char *name;
	const char *domain;
	uint64_t incarnation; /* greater at each start */
	uint32_t address;
	uint16_t peer_port;
	uint16_t caller_port;
	uint16_t control_port;
	msec probe_every; /* 0: the defaults */
	msec probe_timeout;
	msec suspect_for;
	msec list_lag; /* how far the VM list may be behind */
	uint32_t seed;
};

/* Counters; all only grow. */
struct member_counters {
	uint64_t probes, probes_failed, relayed, reconnects;
	uint64_t suspected, died, refuted, syncs, news_sent;
	uint64_t lists_held, pauses;
};

/* The core's state; one per node, in the embedder's memory. */
struct members {
	const struct member_ops *ops;
	struct member_tree tree; /* without ourselves */
	struct member self;
	struct member_counters counters;
	struct member_state_data *priv; /* private */
	void *arg;			/* the embedder's */
};

/* Start at a point in time; the end frees all but the struct itself. */
void members_init(struct members *, const struct member_ops *,
    const struct member_config *, msec);
void members_finish(struct members *);

/*
 * The VM list as just read: entry VMs only are looked at. A list that is
 * empty or has lost more than half of the live members at once is held back;
 * false is returned then. A listed VM that was never heard of is a member in
 * state DEAD with incarnation 0.
 */
bool members_set_list(struct members *, msec, const struct vm *, unsigned int);
/*
 * An authenticated message from the sender's node id and incarnation; kinds
 * of other parts are ignored.
 */
void members_receive(struct members *, msec, name_id, uint64_t, uint32_t,
    uint16_t, const sp_msg *);
/* Do what is due; the time when it wants to be called next. */
msec members_tick(struct members *, msec);
/* What we say of ourselves from now on. */
void members_set_self(struct members *, uint64_t, unsigned int);
/* We are leaving: told to all, never taken back. */
void members_leave(struct members *, msec);
/* Not ourselves. The pointer is good until the next call but this one. */
struct member *members_find(struct members *, name_id);
/* The newest document version that any member says it has, or we. */
uint64_t members_newest_version(const struct members *);
/* The whole state as text into a string that the caller frees. */
char *members_dump(struct members *, msec);
/* A word for a state. */
const char *member_state_name(enum member_state);

#endif /* MEMBER_H */
