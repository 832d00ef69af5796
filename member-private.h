/*
 * What the files of the membership core share among themselves.
 */

#ifndef MEMBER_PRIVATE_H
#define MEMBER_PRIVATE_H

#include "member.h"

/* Other members asked to probe a silent one. */
#define MEMBER_RELAYS 3
/* Probes that we make for others and that may be open at once. */
#define MEMBER_RELAYS_OPEN 32
/* News in one message, by its size on the wire. */
#define MEMBER_NEWS_BYTES 800
/* Loads of others in one message. */
#define MEMBER_LOADS 3
/* Older loads are not passed on. */
#define MEMBER_LOAD_LIFE (2 * MSEC_SECOND)
/* Probe periods between tries to reach a dead listed member, and syncs. */
#define MEMBER_RECONNECT_PERIODS 5
#define MEMBER_SYNC_PERIODS 30
/* Unlisted dead members are kept so long, so that stale news is seen as such.
 */
#define MEMBER_FORGET (60 * MSEC_SECOND)
#define MEMBER_SWEEP (5 * MSEC_SECOND)
/* A bound for memory; a list or news of more is cut. */
#define MEMBERS_MAX 2048
/* Unknown senders asked who they are, in one probe period. */
#define MEMBER_ASKS 8

TAILQ_HEAD(member_queue, member);

/* The one probe of the running period. */
struct member_probe {
	name_id target; /* 0: none */
	uint32_t seq;
	msec sent;
	bool acked;
	bool relayed; /* others have been asked */
};

/* A probe made for another member. */
struct member_relay {
	uint32_t seq; /* ours; 0: free */
	uint32_t asker_seq;
	uint32_t address;
	uint16_t port;
	name_id target;
};

struct member_state_data {
	msec probe_every;
	msec probe_timeout;
	msec suspect_for;
	msec list_lag;
	GRand *rand;
	struct member_queue news;     /* to be spread; the newest first */
	struct member_queue suspects; /* the longest suspect first */
	unsigned int members;	      /* in the tree */
	unsigned int live;	      /* of them, not dead */
	unsigned int listed_dead;
	/* Probing. */
	struct member_probe probe;
	struct member_relay relays[MEMBER_RELAYS_OPEN];
	unsigned int next_relay;
	uint32_t seq;
	GArray *order; /* name_id, live members, shuffled */
	unsigned int next_in_order;
	unsigned int period; /* counts up */
	msec next_probe;
	msec next_sweep;
	msec next_tick;
	/* Sync. */
	name_id sync_peer; /* whose page is awaited; 0: none */
	uint64_t sync_after;
	bool joining;	 /* until the first whole sync */
	bool untold;	 /* some members may not have been told of us */
	msec tell_again; /* that we leave; MSEC_NEVER: no more */
	unsigned int asks_left;
	/* What is spread besides states. */
	uint64_t newest_version;
	/* Room for the message being built. */
	sp_news out_news[SAVORY_NEWS_MAX];
	sp_load out_loads[SAVORY_LOADS_MAX];
};

/* member.c */
struct member *member_add(struct members *, msec, name_id, const char *);
void member_remove(struct members *, struct member *);
bool member_is_live(const struct member *);
/* Change state and leaving mark; tells the embedder and queues the news. */
void
member_set(struct members *, msec, struct member *, enum member_state, bool);

/* member-news.c */
void member_news_queue(struct members *, struct member *);
void member_news_drop(struct members *, struct member *);
/* Fill out_news: `about` first, if any, then what is queued. */
unsigned int member_news_fill(struct members *, const struct member *);
void member_news_merge(struct members *, msec, const sp_news *);
void member_news_of(const struct member *, sp_news *);
unsigned int member_loads_fill(struct members *, msec, name_id);
void
member_loads_merge(struct members *, msec, struct member *, const sp_probe *);

/* member-probe.c */
void member_probe_start(struct members *, msec);
void member_probe_check(struct members *, msec);
msec member_probe_due(const struct members *);
void member_probe_send(struct members *, msec, struct member *, uint32_t);
/* Tell one what we are, alive or leaving; all, or those not told yet. */
void member_tell(struct members *, struct member *);
void member_tell_all(struct members *, bool again);
void member_probe_receive(struct members *, msec, struct member *, name_id,
    uint32_t, uint16_t, const sp_msg *);
struct member *member_random_live(struct members *, name_id);
void member_order_insert(struct members *, name_id);

/* member-sync.c */
void member_sync_start(struct members *, msec);
void member_sync_ask(struct members *, name_id, uint32_t, uint16_t);
void member_sync_receive(
    struct members *, msec, name_id, uint32_t, uint16_t, const sp_msg *);

/* member-list.c */
void member_list_sweep(struct members *, msec);

#endif /* MEMBER_PRIVATE_H */
