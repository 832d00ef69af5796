/*
 * Internal interface between the member*.c files.
 */

#ifndef MEMBER_PRIVATE_H
#define MEMBER_PRIVATE_H

#include "member.h"

/* Members that are requested to probe a target which did not answer. */
#define MEMBER_INDIRECT_PROBES 3
/* Indirect probes made for other members that can be pending at once. */
#define MEMBER_INDIRECT_PENDING_MAX 32
/* Bytes of updates in one message, as encoded. */
#define MEMBER_UPDATES_BYTES 800
/*
 * Transmissions of an update that the member itself announced to all, enough to
 * repair lost announcements; and of one from the first sync, which others have.
 */
#define MEMBER_ANNOUNCED_TRANSMISSIONS 6
#define MEMBER_SYNCED_TRANSMISSIONS 1
/* Loads of other members in one message. */
#define MEMBER_LOADS_PER_MESSAGE 3
/* Loads older than this are not sent on. */
#define MEMBER_LOAD_MAX_AGE (2 * MSEC_SECOND)
/* Probe periods between probes of a dead listed member, and between syncs. */
#define MEMBER_RECONNECT_PERIODS 5
#define MEMBER_SYNC_PERIODS 30
/* Unlisted dead members are kept for this long, so that stale updates about
 * them are recognised. */
#define MEMBER_DEAD_RETENTION (60 * MSEC_SECOND)
#define MEMBER_SWEEP_INTERVAL (5 * MSEC_SECOND)
/* Bounds memory; further members are ignored. */
#define MEMBERS_MAX 2048
/* Unknown senders requested to identify themselves, per probe period. */
#define MEMBER_UPDATE_REQUESTS_MAX 8

TAILQ_HEAD(member_queue, member);

/* The direct probe of the current period. */
struct member_probe {
	name_id target;	      /* 0: none */
	uint64_t incarnation; /* the target's when it was sent */
	uint32_t seq;
	msec sent;
	bool acked;
	bool relayed; /* indirect probes have been requested */
};

/* An indirect probe made for another member. */
struct indirect_probe {
	uint32_t seq; /* of the probe to the target; 0: unused */
	uint32_t requester_seq;
	uint32_t address;
	uint16_t port;
	name_id target;
};

struct member_state_data {
	msec probe_interval;
	msec probe_timeout;
	msec suspect_timeout;
	msec list_lag;
	GRand *rand;
	struct member_queue
	    update_queue; /* updates to send; the newest first */
	/* Limit of the transmissions of the update being merged; 0: none. */
	unsigned int transmissions_max;
	struct member_queue suspects; /* by state_since, the oldest first */
	unsigned int members;	      /* in the tree, any state */
	unsigned int live;	      /* of these, not dead */
	unsigned int listed_dead;
	/* Probing. */
	struct member_probe probe;
	struct indirect_probe indirect_probes[MEMBER_INDIRECT_PENDING_MAX];
	unsigned int next_indirect_probe;
	uint32_t seq;
	GArray *probe_order; /* name_id, live members, shuffled */
	unsigned int next_in_order;
	unsigned int order_own; /* of probe_order: in the own failure domain */
	unsigned int period;	/* counts up */
	msec next_probe;
	msec next_sweep;
	msec next_tick;
	/* Sync. */
	name_id sync_peer; /* whose page is expected; 0: none */
	uint64_t sync_after;
	bool sync_any;	      /* the next sync is with a member of any domain */
	bool joining;	      /* until the first full sync is complete */
	bool has_unannounced; /* a member was added that may need an
				 announcement */
	msec next_announcement; /* repeat of the leave announcement, or
				   MSEC_NEVER */
	unsigned int update_requests_left;
	/* Greatest document version received from any member. */
	uint64_t newest_version;
	/* Buffers of the message being built. */
	sp_news out_updates[SAVORY_NEWS_MAX];
	sp_load out_loads[SAVORY_LOADS_MAX];
};

/* member.c */
struct member *member_add(struct members *, msec, name_id, const char *);
void member_remove(struct members *, struct member *);
bool member_is_live(const struct member *);
/* Sets state and leaving flag, calls ops->changed() and queues the update. */
void member_set_state(
    struct members *, msec, struct member *, enum member_state, bool);

/* member-news.c */
void member_queue_update(struct members *, struct member *);
void member_unqueue_update(struct members *, struct member *);
/* Fills out_updates: the given member first, if any, then the queued updates;
 * returns their number. */
unsigned int member_fill_updates(struct members *, const struct member *);
void member_merge_update(struct members *, msec, const sp_news *);
void member_make_update(const struct member *, sp_news *);
unsigned int member_fill_loads(struct members *, msec, name_id);
void
member_merge_loads(struct members *, msec, struct member *, const sp_probe *);

/* member-probe.c */
void member_probe_start(struct members *, msec);
void member_probe_check(struct members *, msec);
msec member_probe_due(const struct members *);
void member_probe_send(struct members *, msec, struct member *, uint32_t);
/*
 * Announce the local node's state, alive or leaving: to one member; to all
 * members, or with again == false to those without an announcement yet.
 * `answer`: to its own announcement; it does not answer back.
 */
void member_announce_to(struct members *, struct member *, bool answer);
void member_announce_all(struct members *, bool again);
void member_probe_receive(struct members *, msec, struct member *, name_id,
    uint32_t, uint16_t, const sp_msg *);
struct member *member_random_live(struct members *, name_id);
/* A random live member, a near one if the own domain is large; NULL: none. */
struct member *member_random_near(struct members *);
/* Whether the member is in the own failure domain ("near"). */
bool member_is_near(const struct members *, const struct member *);
/* Whether the own failure domain has enough members to prefer them. */
bool member_domain_is_large(const struct members *);
void member_order_insert(struct members *, const struct member *);

/* member-sync.c */
void member_sync_start(struct members *, msec);
void member_request_update(struct members *, name_id, uint32_t, uint16_t);
void member_sync_receive(
    struct members *, msec, name_id, uint32_t, uint16_t, const sp_msg *);

/* member-list.c */
void member_remove_expired(struct members *, msec);

#endif /* MEMBER_PRIVATE_H */
