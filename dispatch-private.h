/*
 * Declarations shared by the dispatch-*.c files only.
 */

#ifndef DISPATCH_PRIVATE_H
#define DISPATCH_PRIVATE_H

#include "dispatch.h"

#include <inttypes.h>
#include <string.h>

/* Candidate engines that one request may have reservations with at a time. */
#define CANDIDATES_MAX 8
/* Engines that refused a request and are not tried again in this round. */
#define TRIED_MAX 32
/* Maximum reservations queued for one engine. */
#define QUEUE_MAX 512
/* Time after which a queued reservation expires unless it is sent again. */
#define QUEUED_EXPIRY (10 * MSEC_SECOND)
/* Time after which a grant expires unless the entry node renews it. */
#define GRANT_EXPIRY (3500)
/* Interval between an entry node's reports of its running requests. */
#define RUNNING_REPORT_INTERVAL (1 * MSEC_SECOND)
/* In sp_running_one: the entry node does not report first tokens. */
#define FIRST_TOKEN_UNREPORTED 0xffffff
/* Fixed cost of any prompt, in prompt tokens. */
#define PROMPT_BASE_TOKENS 200
/* Interval between an owner's checks for expired reservations, in ms. */
#define EXPIRY_INTERVAL (500)

/* ---- timers ---- */

struct timer {
	RB_ENTRY(timer) entry;
	msec at;      /* MSEC_NEVER: not armed */
	uint64_t seq; /* breaks ties: armed first fires first */
	void (*fire)(struct dispatch *, msec, struct timer *);
};
RB_HEAD(timer_tree, timer);

void timer_set(struct dispatch *, struct timer *, msec);
void timer_clear(struct dispatch *, struct timer *);
/* Fires all timers that are due. */
void timers_run(struct dispatch *, msec);
msec timers_next(struct dispatch *);

/* ---- statistics ---- */

#define LENGTH_BUCKETS 64

/* Decaying histogram of answer lengths, in tokens. */
struct lengths {
	uint32_t count[LENGTH_BUCKETS];
	uint32_t total;
};

void lengths_add(struct lengths *, unsigned int);
/* The length that `permille` of the answers do not exceed. */
unsigned int lengths_quantile(const struct lengths *, unsigned int);
unsigned int lengths_mean(const struct lengths *);
/* Updates an exponential moving average; 0: no sample yet. */
void average_add(double *, double);

/* ---- services and classes ---- */

struct class {
	char name[NAME_SIZE];
	unsigned int tier;
	bool is_protected;
	unsigned int floor_permille;
	msec first_token;
	msec between_tokens;
	msec whole_answer;
	struct lengths lengths;
	double refused_fraction; /* moving average at this entry node, 0 to 1 */
};

struct service {
	name_id id;
	enum service_kind kind;
	unsigned int nclasses;
	struct class classes[DOCUMENT_CLASSES_MAX];
	GHashTable *weights; /* organisation to weight */
	TAILQ_HEAD(, engine) engines;
	unsigned int nengines;
	unsigned int next; /* round-robin position */
	/* Moving averages over all its engines, in ms; 0: unknown. */
	double first_token;
	double token_ms;
};

struct service *service_get(struct dispatch *, name_id);
struct class *service_class(struct service *, unsigned int);
unsigned int service_weight(struct service *, name_id);

/* ---- the owner's queue of one engine ---- */

enum reservation_state {
	RESERVATION_QUEUED,
	RESERVATION_GRANTED,
	RESERVATION_ADOPTED /* running; granted by a previous owner */
};

/* A request at the owner of an engine, queued or running. */
struct reservation {
	RB_ENTRY(reservation) entry; /* in owner_state.tree, by node and id */
	RB_ENTRY(reservation) queue_entry;
	name_id node;
	uint64_t incarnation;
	unsigned int id;
	enum reservation_state state;
	unsigned int class_index;
	unsigned int tier;
	bool is_protected;
	bool exempt; /* never refused or evicted */
	name_id organisation;
	unsigned int prompt; /* tokens */
	unsigned int cost;   /* expected answer tokens */
	msec latest_start;   /* latest useful start; MSEC_NEVER: none */
	msec renewed_at;     /* last received or renewed */
	msec queued;	     /* when it was received */
	msec granted;
	bool first_recorded; /* its first token is in the statistics */
	bool reports_first;  /* its entry node reports first tokens */
	uint64_t seq;
	struct org_queue *org;
};
RB_HEAD(reservation_tree, reservation);
RB_HEAD(queue_tree, reservation);

/* Queued reservations of one organisation in one class. */
struct org_queue {
	TAILQ_ENTRY(org_queue) entry;
	name_id id;
	unsigned int weight;
	unsigned int count;
	double virtual_time; /* granted cost divided by weight */
	struct queue_tree tree;
};

struct class_queue {
	TAILQ_HEAD(, org_queue) orgs;
	unsigned int count;
	unsigned int tier;
	bool is_protected;
	unsigned int grants_since_late;
	unsigned int floor_permille;
	double virtual_time; /* of the last grant */
	double floor_credit; /* cost due to the class for its floor share */
	double cost;	     /* decaying maximum of its requests' cost */
	double granted;	     /* cost granted, decaying over some seconds */
	msec granted_at;
};

struct queue {
	struct class_queue classes[DOCUMENT_CLASSES_MAX];
	unsigned int count;
	uint64_t seq;
};

void queue_init(struct queue *);
void queue_insert(struct queue *, struct service *, struct reservation *);
void queue_remove(struct queue *, struct reservation *);
/* The next reservation of a class, or NULL. */
struct reservation *queue_head(struct queue *, unsigned int, msec);
/* Returns the reservation to grant next, ignoring the classes to skip. */
struct reservation *
queue_next(struct queue *, const bool[DOCUMENT_CLASSES_MAX], msec);
/* Accounts for a granted reservation and removes it from the queue. */
void queue_grant(struct queue *, struct reservation *, msec);
/* The reservation to evict for one of this tier, or NULL. */
struct reservation *queue_victim(struct queue *, unsigned int);
/* Queued cost, in tokens, that is granted before this reservation. */
double queue_cost_ahead(struct queue *, const struct reservation *);
/*
 * The part of the engine's given rate, in tokens per ms, that is left for the
 * reservation's class.
 */
double queue_class_rate(
    struct queue *, struct service *, const struct reservation *, double, msec);

/* ---- adaptive slot limit of one engine ---- */

struct slots {
	double limit;
	bool slow_start;
	msec decreased; /* time of the last decrease */
	/* Slowly decaying maximum of the limits that met targets. */
	double best_limit;
	unsigned int epoch_samples; /* good samples in this epoch */
	unsigned int class_misses[DOCUMENT_CLASSES_MAX];
	/*
	 * Lower quartile of the first-token time in ms per prompt token; 0:
	 * unknown.
	 */
	double prompt_token_ms[DOCUMENT_CLASSES_MAX];
	/* Moving averages in ms and tokens; 0: unknown. */
	double first_token;
	double token_ms;
	double request_ms;
	double request_cost;
};

/* Timings of one request, in ms. */
struct slots_sample {
	const struct class *class;
	unsigned int class_index;
	unsigned int prompt; /* tokens */
	msec granted;
	msec first_token;
	msec stream;
	unsigned int tokens;
};

void slots_init(struct slots *, unsigned int, msec);
unsigned int slots_limit(const struct slots *);
/* Records a first token; the flag is true if the engine was full. */
void slots_record_first_token(
    struct slots *, msec, const struct slots_sample *, bool);
/* Whether a first token is late, by class, prompt tokens and ms waited. */
bool slots_first_token_overdue(
    const struct slots *, unsigned int, unsigned int, msec);
/* Of `running` requests, `stalled` are overdue for a first token. */
void slots_record_stalled(
    struct slots *, msec, unsigned int running, unsigned int stalled);
void
slots_record_answer(struct slots *, msec, const struct slots_sample *, bool);
void slots_record_failure(struct slots *, msec);

/* ---- engines ---- */

/* State that only the owner of an engine has. */
struct owner_state {
	struct timer wake; /* first: cast to struct owner_state */
	struct engine *engine;
	struct reservation_tree tree;
	struct queue queue;
	struct slots slots;
	unsigned int running;
	msec hold_until; /* no grants before: entry nodes report what runs */
	msec adopt_limit_until; /* of the previous owner, if higher */
	unsigned int failures;
	msec failed_until;
};

struct engine {
	TAILQ_ENTRY(engine) entry; /* in the service */
	name_id id;
	name_id domain;
	bool leaving;
	bool gone; /* not in the engine list; kept while requests run */
	unsigned int slots_hint;
	struct service *service;
	name_id owner; /* 0: none */
	struct owner_state *owner_state;
	/* State at an entry node. */
	TAILQ_HEAD(, dispatch_request_state) running;
	unsigned int nrunning;
	unsigned int slots; /* from the last grant; 0: unknown */
	double token_ms;    /* 0: unknown */
	/* First-token time in ms per prompt token; 0: unknown. */
	double prompt_token_ms;
	unsigned int failures;
	msec failed_until;
	/* From the engine's last load report. */
	unsigned int load_running;
	unsigned int load_waiting;
	bool listed; /* in the new list, while that is read */
};

/* ---- requests of this entry node ---- */

/* An engine with whose owner a request has an open reservation. */
struct candidate {
	struct engine *engine;
	name_id owner;
	msec sent;
	msec next_send;	 /* when to send it again */
	msec replied_at; /* last reply; 0: none */
	unsigned int send_count;
};

enum request_phase {
	REQUEST_WAITING,
	REQUEST_GRANTED
};

struct dispatch_request_state {
	struct timer timer; /* first: its callback casts it to this struct */
	TAILQ_ENTRY(dispatch_request_state) entry; /* waiting or running */
	struct dispatch_request *request;
	struct service *service;
	struct class *class;
	enum request_phase phase;
	bool exempt; /* never refused for load: protected, or resumed */
	struct candidate candidates[CANDIDATES_MAX];
	unsigned int ncandidates;
	unsigned int candidates_wanted; /* candidates to keep reserved */
	name_id tried[TRIED_MAX];
	unsigned int ntried;
	unsigned int refusals;
	enum dispatch_refusal why; /* reason of the last refusal */
	msec retry_after;
	msec latest_start;
	msec widen_at;
	msec retry_at; /* next round without candidates; else MSEC_NEVER */
	unsigned int widened;  /* times that candidates were added */
	struct engine *engine; /* that granted it */
	msec granted;
	msec first_token; /* ms after the grant; -1: none */
};
TAILQ_HEAD(request_list, dispatch_request_state);

/* ---- policies ---- */

/* How an engine is chosen for a request. */
struct policy {
	const char *name;
	/* Chooses an engine or queues; may grant or refuse at once. */
	void (*submit)(
	    struct dispatch *, msec, struct dispatch_request_state *);
	/* Whether engines have owners and nodes exchange messages. */
	bool owners;
};

const struct policy *policy_find(const char *);

/* ---- common state ---- */

/* A node that may own engines or send reservations. */
struct peer {
	name_id id;
	uint64_t incarnation;
	name_id domain;
	bool takes_work;
	bool listed; /* in the new set, while that is read */
};

/* A message from the local node to itself. */
struct local_msg {
	STAILQ_ENTRY(local_msg) entry;
	sp_msg msg;
};

struct dispatch_data {
	const struct policy *policy;
	name_id self;
	uint64_t incarnation;
	name_id domain;
	bool has_left; /* dispatch_leave() was called */
	GRand *rand;
	GHashTable *peers;    /* name_id to struct peer */
	GHashTable *engines;  /* name_id to struct engine */
	GHashTable *services; /* name_id to struct service */
	GHashTable *requests; /* id to struct dispatch_request_state */
	struct request_list waiting;
	unsigned int nwaiting;
	unsigned int next_id;
	struct timer_tree timers;
	uint64_t timer_seq;
	struct timer running_report_timer; /* next report of running requests */
	struct timer expiry_timer;
	STAILQ_HEAD(, local_msg) local; /* messages to the local node */
	unsigned int depth;		/* nested dispatch_enter() calls */
	bool reports_first_token;	/* dispatch_first_token() is used */
};

/*
 * Public functions run between these two. The outermost dispatch_exit()
 * delivers the messages to the local node.
 */
void dispatch_enter(struct dispatch *);
void dispatch_exit(struct dispatch *, msec);
/* Chooses an engine that the request has not tried, or NULL. */
struct engine *
choose_engine(struct dispatch *, msec, struct dispatch_request_state *);
void choose_exclude(struct dispatch_request_state *, name_id);
/* Updates the statistics from a request that has ended. */
void choose_record_result(
    msec, struct dispatch_request_state *, const struct dispatch_result *);

/* Sends to a node, or queues a message to the local node. */
void dispatch_post(struct dispatch *, name_id, const sp_msg *);
struct engine *engine_find(struct dispatch *, name_id);
/* Frees an engine that is not listed and runs nothing. */
void engine_free_unused(struct dispatch *, struct engine *);

void entry_submit(struct dispatch *, msec, struct dispatch_request_state *);
void entry_cancel(struct dispatch *, msec, struct dispatch_request_state *);
void entry_done(struct dispatch *, msec, struct dispatch_request_state *,
    const struct dispatch_result *);
void entry_grant(
    struct dispatch *, msec, struct dispatch_request_state *, struct engine *);
void entry_refuse(struct dispatch *, struct dispatch_request_state *,
    enum dispatch_refusal, msec);
void entry_on_grant(struct dispatch *, msec, name_id, const sp_grant *);
void entry_on_refuse(struct dispatch *, msec, name_id, const sp_refuse *);
void entry_on_queued(struct dispatch *, msec, name_id, const sp_queued *);
void entry_on_preempt(struct dispatch *, msec, name_id, const sp_preempt *);
/* An engine was removed or is leaving, or its owner changed. */
void entry_engine_gone(struct dispatch *, msec, struct engine *);
void entry_owner_changed(struct dispatch *, msec, struct engine *, name_id);
void entry_report_running(struct dispatch *, msec, struct engine *);
void entry_report_due(struct dispatch *, msec, struct timer *);

void owner_acquire(struct dispatch *, msec, struct engine *);
void owner_release(struct dispatch *, msec, struct engine *, enum sp_refusal);
void owner_free(struct engine *);
void owner_release_node(struct dispatch *, msec, name_id, uint64_t);
void owner_on_reserve(
    struct dispatch *, msec, name_id, uint64_t, const sp_reserve *);
void owner_on_cancel(struct dispatch *, msec, name_id, const sp_cancel *);
void owner_on_done(struct dispatch *, msec, name_id, const sp_done *);
void owner_on_running(
    struct dispatch *, msec, name_id, uint64_t, const sp_running *);
void owner_expire_due(struct dispatch *, msec, struct timer *);

#endif /* DISPATCH_PRIVATE_H */
