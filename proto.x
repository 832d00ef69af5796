/*
 * The protocol between nodes. A datagram is one ONC RPC call without a reply
 * (batched, one-way) of the procedure SAVORY_BATCH. The call's verifier carries
 * a truncated HMAC-SHA256 over the header fields and the arguments.
 * Names are sent in membership news only; other messages have their 64-bit
 * hashes.
 */

const SAVORY_NAME_MAX = 63;
const SAVORY_BATCH_MAX = 64;
const SAVORY_NEWS_MAX = 12;
const SAVORY_LOADS_MAX = 8;
const SAVORY_RUNNING_MAX = 96;

typedef string sp_name<SAVORY_NAME_MAX>;

/* ---- membership ---- */

enum sp_member_state {
	SP_ALIVE = 0,
	SP_LEAVING = 1,
	SP_SUSPECT = 2,
	SP_DEAD = 3
};

/*
 * A membership update about one node. Addresses are IPv4, host byte order.
 * `incarnation` counts starts of the process, `refutation` how often it refuted
 * being suspect or dead. `leaving` holds for the whole incarnation, whatever
 * the state, so that a refuted suspicion does not revoke it.
 */
struct sp_news {
	sp_name name;
	sp_name domain;
	unsigned hyper incarnation;
	unsigned int refutation;
	sp_member_state state;
	bool leaving;
	unsigned int address;
	unsigned int peer_port;		/* UDP, this protocol */
	unsigned int caller_port;	/* HTTP, callers */
	unsigned int control_port;	/* HTTP, tool and peers */
};

/* The sender's own state, in each probe and each acknowledgement. */
struct sp_self {
	unsigned hyper document_version;	/* sum over services; see member.h */
	unsigned int load_permille;		/* open requests against the limit */
	bool leaving;
};

/* The state of another node as last received, and how long ago it was sent. */
struct sp_load {
	unsigned hyper node;
	unsigned hyper document_version;
	unsigned int load_permille;
	unsigned int age_ms;
};

struct sp_probe {
	unsigned int seq;
	/* 0, the sender of SP_PROBE_REQUEST, or who an answer to news is for */
	unsigned hyper on_behalf_of;
	sp_self self;
	unsigned hyper newest_version;	/* newest that the sender has received */
	sp_load loads<SAVORY_LOADS_MAX>;
	sp_news news<SAVORY_NEWS_MAX>;
};

/* Requests an indirect probe of `target`. */
struct sp_probe_request {
	unsigned int seq;
	unsigned hyper target;
	sp_news news<SAVORY_NEWS_MAX>;
};

/* Requests the members whose id is above `after`, in order of their ids. */
struct sp_sync {
	unsigned hyper after;
	unsigned int limit;
};

/* The response; `last` is the id to continue after, 0 at the end. */
struct sp_sync_page {
	unsigned hyper after;
	unsigned hyper last;
	sp_news news<SAVORY_NEWS_MAX>;
};

/* ---- dispatch ---- */

/* Bits of sp_reserve.flags. */
const SAVORY_RESERVE_PROTECTED = 1;
const SAVORY_RESERVE_RESUMED = 2;

/*
 * An entry node requests a slot from an engine's owner; repeated while the
 * request waits. The entry node sets tier and protection, so that an owner
 * with an older document does not treat a protected request as unprotected.
 */
struct sp_reserve {
	unsigned hyper engine;
	unsigned int id;		/* entry node's number for the request */
	unsigned int class_index;	/* into the service document */
	unsigned int tier;
	unsigned int flags;
	unsigned hyper organisation;
	unsigned hyper prefix;
	unsigned int prompt_tokens;
	unsigned int expect_tokens;
	unsigned int waited_ms;		/* since the caller's request arrived */
	unsigned int start_ms;		/* useful only if granted within; 0: no limit */
};

/* The owner grants a slot; the entry node holds it until it sends sp_done. */
struct sp_grant {
	unsigned hyper engine;
	unsigned int id;
	unsigned int slots;		/* the engine's, as estimated by the owner */
	unsigned int token_us;		/* time between tokens; 0: unknown */
};

/* The owner's response while a reservation waits in its queue. */
struct sp_queued {
	unsigned hyper engine;
	unsigned int id;
	unsigned int wait_ms;		/* the owner's estimate */
};

enum sp_refusal {
	SP_QUEUE_FULL = 0,
	SP_EVICTED = 1,
	SP_HOPELESS = 2,
	SP_NOT_OWNER = 3,
	SP_ENGINE_GONE = 4
};

struct sp_refuse {
	unsigned hyper engine;
	unsigned int id;
	sp_refusal reason;
	unsigned int retry_after_ms;
};

/* Withdraws a reservation, or returns a grant that is not used. */
struct sp_cancel {
	unsigned hyper engine;
	unsigned int id;
};

/* The entry node's measurements of a request that ended on the engine. */
struct sp_done {
	unsigned hyper engine;
	unsigned int id;
	unsigned int ok;		/* 1 ended well, 0 engine failed, 2 caller left */
	unsigned int first_token_ms;
	unsigned int tokens;
	unsigned int stream_ms;		/* first to last token */
};

struct sp_running_one {
	unsigned int id;
	unsigned int class_first;	/* class index, and from bit 8 the
					   first token's ms plus 1; 0: none */
};

/* All requests of the entry node that run on the engine; renews their slots. */
struct sp_running {
	unsigned hyper engine;
	unsigned int slots;		/* from the last grant, for a new owner */
	sp_running_one list<SAVORY_RUNNING_MAX>;
};

/* The owner requests that the entry node stop a resumable lower-tier stream. */
struct sp_preempt {
	unsigned hyper engine;
	unsigned int id;
};

/* ---- limits of organisations ---- */

/*
 * A request for a loan (give 0, credit 0) or the response with the same seq
 * (ask 0). Amounts are thousandths of the limit's unit; see share.h.
 */
struct sp_share {
	unsigned hyper service;
	unsigned hyper organisation;
	unsigned int kind;		/* 0 requests, 1 tokens, 2 in flight */
	unsigned int seq;
	unsigned int ask;		/* total wanted from the receiver */
	unsigned int give;		/* total lent by the sender */
	unsigned int credit;		/* unused rate that is lent with it */
};

/* ---- placement by a coordinator ---- */

const SAVORY_AVOID_MAX = 8;

/* A request's requirements of a server; see server_wish in server.h. */
struct sp_place_wish {
	unsigned hyper service;
	unsigned hyper route;
	unsigned hyper prompt;
	unsigned int shared;		/* tokens */
	unsigned int own;		/* tokens beside the shared part */
	unsigned int gap_ms;		/* longest pause allowed; 0: any */
	unsigned int target_ms;		/* to the first event; 0: any */
	unsigned int rank;		/* 0 is the most urgent */
	unsigned hyper software;	/* version that must serve it; 0: any */
	unsigned hyper repeat;		/* the same for a repetition; 0: not known */
	unsigned hyper organisation;	/* 0: none */
	unsigned hyper avoid<SAVORY_AVOID_MAX>;
};

/* Requests a placement from the coordinator. */
struct sp_place_ask {
	unsigned int id;		/* entry node's number */
	sp_place_wish wish;
};

/* The request rate that a server accepts; see server-rate.h. */
struct sp_place_rate {
	unsigned hyper server;
	unsigned hyper born;		/* identifies its process */
	double per_s;			/* 0: no longer limited */
	unsigned int age_ms;		/* of the server's response with this rate */
};

const SAVORY_RATED_MAX = 4;

/* The coordinator's placement; it counts the request at that server from now. */
struct sp_place_tell {
	unsigned int id;
	unsigned hyper server;		/* 0: none */
	unsigned int wait_ms;		/* to read the prompts there and this one */
	unsigned int ahead_ms;		/* of that, before this one: as urgent or more */
	unsigned int limit_ms;		/* reject if ahead_ms is more; 0: no limit */
	bool by_share;			/* rejected by its organisation's share only */
	unsigned hyper source;		/* fetch the shared part from it; 0: read it */
	bool rated;			/* counted against the server's rate */
	sp_place_rate rates<SAVORY_RATED_MAX>;	/* of some servers of its group */
};

/* The entry node chose a server itself, as no response arrived. */
struct sp_place_took {
	unsigned int id;
	unsigned hyper server;
	sp_place_wish wish;
};

/* A change of a placed request's state. */
enum sp_place_what {
	SP_PLACE_READ = 0,		/* its prompt has been read */
	SP_PLACE_ENDED = 1,		/* it has left the server */
	SP_PLACE_WELL = 2,		/* the same, with a response */
	SP_PLACE_FAILED = 3,		/* the same, and the server failed */
	SP_PLACE_DOWN = 4,		/* the same, and it is unreachable */
	SP_PLACE_LATE = 5,		/* it still runs, but is late */
	SP_PLACE_FULL = 6,		/* it was rejected for want of room */
	SP_PLACE_BRITTLE = 7		/* its server says that it is brittle */
};

/* A coordinator rejected a request; its successor is to expect it again. */
struct sp_place_return {
	unsigned hyper repeat;		/* of its sp_place_wish */
};

struct sp_place_step {
	unsigned int id;
	unsigned hyper service;
	sp_place_what what;
	unsigned int gap_ms;		/* longest pause of its stream; 0: none */
};

/* ---- relayed proofs that configuration and servers are current ---- */

/* A node's version of a subject, and how long ago it was proven the newest. */
struct sp_relay_known {
	unsigned hyper mark;		/* identifies the version in force there */
	unsigned int age_ms;		/* the largest number: never proven */
};

/* Requests sp_relay_tell. */
struct sp_relay_ask {
	unsigned int seq;
};

/* The response, or with seq 0 an update to nodes that asked recently. */
struct sp_relay_tell {
	unsigned int seq;
	sp_relay_known known[2];	/* configuration, servers */
};

/* ---- outages of the platform, as other nodes know of them ---- */

/* Requests sp_outage_tell. */
struct sp_outage_ask {
	unsigned int seq;
};

/* The platform served nodes without an outage for some time; see outage.h. */
struct sp_outage_tell {
	unsigned int seq;
	unsigned int served_age_ms;	/* since it served one last */
	unsigned int steady_ms;		/* since the start of that time */
};

/* ---- duties that one node holds at a time ---- */

const SAVORY_STANDBYS_MAX = 4;
const SAVORY_COUNTS_MAX = 80;

/* The heartbeat of a duty's holder; see duty.h. */
struct sp_duty_beat {
	unsigned hyper token;
	unsigned hyper end;		/* log offset after its newest record */
	unsigned hyper hand_over;	/* 0, or the node that shall take over */
	unsigned hyper standbys<SAVORY_STANDBYS_MAX>;
};

struct sp_usage_count {
	unsigned hyper organisation;
	unsigned int count;		/* total since the window began */
};

/* Requests that started in a window at one node; see usage.h. */
struct sp_usage_counts {
	unsigned hyper node;		/* 0: the sender; else relayed for that node */
	unsigned hyper incarnation;
	unsigned hyper window;
	unsigned hyper wall_ms;		/* the sender's wall clock on sending */
	bool last;			/* final: the window has ended there */
	unsigned int total;		/* over all its organisations */
	sp_usage_count list<SAVORY_COUNTS_MAX>;
};

/* True time as estimated by a node that keeps counts of others. */
struct sp_usage_time {
	unsigned hyper wall_ms;
};

/* A service's demand as counted by a placement coordinator; see capacity.h. */
struct sp_demand {
	unsigned hyper service;
	unsigned int requests;		/* counter */
	unsigned hyper tokens;		/* counter: prompt tokens to read */
	unsigned hyper urgent_tokens;	/* counter: of the most urgent ranks */
	unsigned int running;		/* requests at present */
};

/* ---- relayed changes of servers ---- */

const SAVORY_SERVERS_MAX = 4;
const SAVORY_SERVER_NAME_MAX = 127;
const SAVORY_SOFTWARE_MAX = 47;

enum sp_server_state {
	SP_SERVER_READY = 0,
	SP_SERVER_DRAINING = 1,
	SP_SERVER_GONE = 2
};

struct sp_server {
	string name<SAVORY_SERVER_NAME_MAX>;
	string service<SAVORY_NAME_MAX>;
	sp_name domain;
	unsigned int address;
	unsigned int port;
	unsigned int slots;
	unsigned hyper born;		/* identifies its process */
	sp_server_state state;
	bool reclaimable;
	string software<SAVORY_SOFTWARE_MAX>;	/* its version; "": not known */
};

/* Changes of servers that a node has read from the platform. */
struct sp_relay_servers {
	unsigned hyper before;		/* mark of all servers before the change */
	unsigned hyper after;		/* mark of all servers after it */
	unsigned hyper position;	/* the reader's, after this; 0: more follow */
	sp_server list<SAVORY_SERVERS_MAX>;
};

/* ---- the list of servers, for nodes that the platform refuses ---- */

/* Ranges of server ids, each by the first bits of the id. */
const SAVORY_LIST_RANGES = 16;

/* Requests sp_list_part for the ranges that differ. */
struct sp_list_ask {
	unsigned int seq;
	unsigned hyper position;	/* in the log, of the sender's list */
	unsigned hyper marks[SAVORY_LIST_RANGES];
};

/* All listed servers with ids from `first` to `last`. */
struct sp_list_part {
	unsigned int seq;
	unsigned hyper era;
	unsigned hyper position;
	unsigned hyper mark;		/* of the sender's whole list */
	unsigned hyper first;
	unsigned hyper last;
	sp_server list<SAVORY_SERVERS_MAX>;
};

/* ---- start of a node ---- */

/* Requests sp_start_tell, which is sent to the datagram's source address. */
struct sp_start_ask {
	unsigned int seq;
};

struct sp_start_tell {
	unsigned int seq;
	unsigned hyper era;		/* of the store, see era.h; 0: unknown */
	unsigned int era_age_ms;	/* the largest number: unknown */
	unsigned hyper newest_version;	/* of the configuration; 0: unknown */
};

/* ---- a configuration from another node ---- */

const SAVORY_TABLE_PART_MAX = 1024;

/* Requests the text of a newer configuration, except the parts received. */
struct sp_table_ask {
	unsigned hyper have;		/* version in force at the sender */
	unsigned hyper want;		/* 0, or the version of the parts received */
	unsigned hyper parts;		/* bit mask of the parts received */
};

/* A part of the platform's text; parts may arrive in any order. */
struct sp_table_part {
	unsigned hyper table;		/* version of the configuration */
	unsigned int total;		/* bytes of the text */
	unsigned int part;		/* 0 is the first */
	opaque bytes<SAVORY_TABLE_PART_MAX>;
};

/* ---- requests that crash their servers ---- */

const SAVORY_LIVES_MAX = 8;
const SAVORY_POISONS_MAX = 4;

/* A server process that ended while the request ran on it. */
struct sp_poison_life {
	unsigned hyper life;
	unsigned int age_ms;
};

/* The evidence about a request; see poison.h. */
struct sp_poison_record {
	unsigned hyper high;		/* with low: the request's id */
	unsigned hyper low;
	sp_poison_life lives<SAVORY_LIVES_MAX>;
	unsigned int served_age_ms;	/* since a full response; largest: never */
};

/* Distributes records to other nodes. */
struct sp_poison_tell {
	sp_poison_record list<SAVORY_POISONS_MAX>;
};

/* Requests permission from the request's owner, with the sender's evidence. */
struct sp_poison_ask {
	unsigned int seq;
	sp_poison_record record;
};

enum sp_poison_verdict {
	SP_POISON_GO = 0,
	SP_POISON_WAIT = 1,
	SP_POISON_NO = 2
};

struct sp_poison_answer {
	unsigned int seq;
	sp_poison_verdict verdict;
	sp_poison_record record;
};

/* A request that had permission has ended. */
struct sp_poison_done {
	unsigned int seq;
	unsigned hyper high;
	unsigned hyper low;
};

/* ---- versions of software at which streams began ---- */

const SAVORY_STREAMS_MAX = 16;

struct sp_stream_record {
	unsigned hyper id;		/* of the stream; see stream-version.h */
	unsigned hyper service;
	unsigned hyper software;	/* hash of the version; 0: not clear */
	unsigned int left_ms;		/* the stream is not resumed later */
};

/* Records for a keeper, or for a node that stores them for the sender. */
struct sp_stream_tell {
	sp_stream_record list<SAVORY_STREAMS_MAX>;
};

/* Requests the record of a stream, and the receiver's view of its service. */
struct sp_stream_ask {
	unsigned int seq;
	unsigned hyper id;
	unsigned hyper service;
};

enum sp_stream_view {
	SP_STREAM_ONE = 0,
	SP_STREAM_UNSURE = 1,
	SP_STREAM_SEVERAL = 2
};

struct sp_stream_answer {
	unsigned int seq;
	sp_stream_view view;
	bool known;			/* `record` holds */
	sp_stream_record record;
};

enum sp_kind {
	SP_PROBE = 1,
	SP_PROBE_ACK = 2,
	SP_PROBE_REQUEST = 3,
	SP_SYNC = 4,
	SP_SYNC_PAGE = 5,
	SP_RESERVE = 10,
	SP_GRANT = 11,
	SP_REFUSE = 12,
	SP_CANCEL = 13,
	SP_DONE = 14,
	SP_RUNNING = 15,
	SP_PREEMPT = 16,
	SP_QUEUED = 17,
	SP_SHARE = 20,
	/* 27 to 39: placement; of these 30 to 33 and 35 to 37 are reserved. */
	SP_PLACE_ASK = 27,
	SP_PLACE_TELL = 28,
	SP_PLACE_TOOK = 29,
	SP_PLACE_RATE = 34,
	SP_PLACE_RETURN = 38,
	SP_PLACE_STEP = 39,
	SP_RELAY_ASK = 40,
	SP_RELAY_TELL = 41,
	SP_RELAY_SERVERS = 42,
	SP_OUTAGE_ASK = 43,
	SP_OUTAGE_TELL = 44,
	SP_LIST_ASK = 45,
	SP_LIST_PART = 46,
	SP_DUTY_BEAT = 50,
	SP_USAGE_COUNTS = 51,
	SP_USAGE_TIME = 52,
	SP_DEMAND = 53,
	SP_START_ASK = 60,
	SP_START_TELL = 61,
	SP_TABLE_ASK = 62,
	SP_TABLE_PART = 63,
	SP_POISON_TELL = 70,
	SP_POISON_ASK = 71,
	SP_POISON_ANSWER = 72,
	SP_POISON_DONE = 73,
	SP_STREAM_TELL = 80,
	SP_STREAM_ASK = 81,
	SP_STREAM_ANSWER = 82,
	SP_STREAM_STORE = 83
};

union sp_msg switch (sp_kind kind) {
case SP_PROBE:
	sp_probe probe;
case SP_PROBE_ACK:
	sp_probe probe_ack;
case SP_PROBE_REQUEST:
	sp_probe_request probe_request;
case SP_SYNC:
	sp_sync sync;
case SP_SYNC_PAGE:
	sp_sync_page sync_page;
case SP_RESERVE:
	sp_reserve reserve;
case SP_GRANT:
	sp_grant grant;
case SP_REFUSE:
	sp_refuse refuse;
case SP_CANCEL:
	sp_cancel cancel;
case SP_DONE:
	sp_done done;
case SP_RUNNING:
	sp_running running;
case SP_PREEMPT:
	sp_preempt preempt;
case SP_QUEUED:
	sp_queued queued;
case SP_SHARE:
	sp_share share;
case SP_PLACE_ASK:
	sp_place_ask place_ask;
case SP_PLACE_TELL:
	sp_place_tell place_tell;
case SP_PLACE_TOOK:
	sp_place_took place_took;
case SP_PLACE_STEP:
	sp_place_step place_step;
case SP_PLACE_RATE:
	sp_place_rate place_rate;
case SP_PLACE_RETURN:
	sp_place_return place_return;
case SP_RELAY_ASK:
	sp_relay_ask relay_ask;
case SP_RELAY_TELL:
	sp_relay_tell relay_tell;
case SP_RELAY_SERVERS:
	sp_relay_servers relay_servers;
case SP_OUTAGE_ASK:
	sp_outage_ask outage_ask;
case SP_OUTAGE_TELL:
	sp_outage_tell outage_tell;
case SP_LIST_ASK:
	sp_list_ask list_ask;
case SP_LIST_PART:
	sp_list_part list_part;
case SP_DUTY_BEAT:
	sp_duty_beat duty_beat;
case SP_USAGE_COUNTS:
	sp_usage_counts usage_counts;
case SP_USAGE_TIME:
	sp_usage_time usage_time;
case SP_DEMAND:
	sp_demand demand;
case SP_START_ASK:
	sp_start_ask start_ask;
case SP_START_TELL:
	sp_start_tell start_tell;
case SP_TABLE_ASK:
	sp_table_ask table_ask;
case SP_TABLE_PART:
	sp_table_part table_part;
case SP_POISON_TELL:
	sp_poison_tell poison_tell;
case SP_POISON_ASK:
	sp_poison_ask poison_ask;
case SP_POISON_ANSWER:
	sp_poison_answer poison_answer;
case SP_POISON_DONE:
	sp_poison_done poison_done;
case SP_STREAM_TELL:
	sp_stream_tell stream_tell;
case SP_STREAM_ASK:
	sp_stream_ask stream_ask;
case SP_STREAM_ANSWER:
	sp_stream_answer stream_answer;
case SP_STREAM_STORE:
	sp_stream_tell stream_store;
};

struct sp_batch {
	unsigned hyper from;		/* name_hash of the sender's name */
	unsigned hyper incarnation;
	sp_msg msgs<SAVORY_BATCH_MAX>;
};

program SAVORY_PROGRAM {
	version SAVORY_VERSION_2 {
		void SAVORY_BATCH(sp_batch) = 1;
	} = 2;
} = 0x20534156;
