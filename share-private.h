/*
 * Internal interface between share.c (shares, their targets and admission) and
 * share-loan.c (loans between nodes). Amounts are in 1/1000 of the limit's
 * unit.
 */

#ifndef SHARE_PRIVATE_H
#define SHARE_PRIVATE_H

#include "share.h"

#define SHARE_UNIT 1000
#define SHARE_WINDOW ((msec)250)
/* Loan requests per window, for all limits together. */
#define SHARE_ASKS_MAX 8
/*
 * The share is the minimum of the targets over this many periods: the current
 * one, and the ones before it that add up to SHARE_RAISE_DELAY.
 */
#define SHARE_PERIODS 4
#define SHARE_PERIOD (SHARE_RAISE_DELAY / (SHARE_PERIODS - 1))

/* A part of the local share that is lent to another node. */
struct share_loan {
	TAILQ_ENTRY(share_loan) entry;
	name_id node;
	int64_t amount;
	msec until;
	bool renewable; /* false: the remainder of a loan that was reduced */
};
TAILQ_HEAD(share_loan_list, share_loan);

/* A loan from another node, or a request for one. */
struct share_borrowing {
	TAILQ_ENTRY(share_borrowing) entry;
	name_id node;
	int64_t amount;
	msec until;
	uint32_t seq; /* of the last request */
	msec asked;   /* time of the last request */
};
TAILQ_HEAD(share_borrowing_list, share_borrowing);

/* One limit of one organisation. */
struct share_part {
	int64_t limit;	/* 0: none */
	int64_t target; /* this node's part of the limit */
	/* Minimum target in each period; [0] is the current one. */
	int64_t min_targets[SHARE_PERIODS];
	uint64_t max_owner_rank;     /* nodes up to this rank have a share */
	unsigned int failed_windows; /* with requests, since the last loan */
	unsigned int backoff;	     /* windows until the next request */
	bool asked;		     /* a loan was requested in this window */
	struct share_loan_list loans;
	struct share_borrowing_list borrowings;
	int64_t lent, borrowed;
	/* For rates. */
	int64_t level;		/* of the token bucket */
	int64_t level_fraction; /* fraction of `level`, in 1/1000 of its unit */
	msec filled;		/* time of the last fill */
	int64_t demand; /* demand in this window; in flight: refused only */
	int64_t rate;	/* smoothed demand per second */
	/* For work in flight. */
	int64_t used;
	int64_t peak;	   /* maximum of `used` in this window */
	int64_t last_peak; /* and in the window before */
};

struct share_org {
	RB_ENTRY(share_org) entry;
	name_id service;
	name_id organisation;
	struct share_part parts[SHARE_KINDS];
	msec last_use;
};
RB_HEAD(share_org_tree, share_org);

struct share_data {
	struct share_org_tree orgs;
	unsigned int norgs;
	name_id self;
	GRand *rand;
	GArray *nodes; /* name_id, sorted */
	bool takes_work;
	/* Maximum number of nodes in each period; [0] is the current one. */
	unsigned int max_nodes[SHARE_PERIODS];
	/* Remaining periods in which earlier ones count as 0 after start-up. */
	unsigned int startup_periods;
	msec next_period;
	msec next_window;
	uint32_t seq;
	unsigned int asks_left; /* in this window, for all limits */
};

/* Hash that orders nodes for one organisation; any mixing function will do. */
uint64_t share_rank(const struct share_org *, name_id);
/* Ends the loans whose term is over, in both directions. */
void share_expire_loans(struct share_part *, msec);
/* The local share, before loans. */
int64_t share_base(const struct share_part *);
/* The local share with loans. */
int64_t share_allowance(struct share_part *, msec);
/* Fills the token bucket for the time since the last fill. */
void share_fill_bucket(struct share_part *, enum share_kind, msec);
/* Finds an organisation; NULL: it is not in memory. */
struct share_org *
share_org_find(struct share_data *, name_id service, name_id organisation);
/* Finds or creates one, with its current limits; NULL: no limits. */
struct share_org *
share_org_get(struct shares *, msec, name_id service, name_id organisation);

/* True for an amount that is borrowed for no longer than the span, in ms. */
bool share_expires_within(const struct share_borrowing *, msec, msec span);
/* Requests loans, with exponential backoff while no node lends. */
void
share_request_loans(struct shares *, msec, struct share_org *, enum share_kind);
/* Borrows what this node lacked, and renews loans that are still needed. */
void share_begin_window(struct shares *, msec, struct share_org *);
/* Another node asks for a loan; its answer to our request. */
void share_lend(struct shares *, msec, name_id, const sp_share *);
void share_receive_loan(struct shares *, msec, name_id, const sp_share *);

#endif /* SHARE_PRIVATE_H */
