/*
 * Continuous batching in the engine stand-in: the requests held, which of them
 * are decoded together, their tokens, and the counts and load reports that
 * come of it. One thread decodes for all streams.
 */

#ifndef COMMON_BATCH_H
#define COMMON_BATCH_H

#include "common-cache.h"
#include "common-http.h"

enum stream_state {
	STREAM_WAITING,
	STREAM_RUNNING,
	STREAM_FINISHED,
	STREAM_CANCELLED,
	STREAM_CUT
};

/* A caller's request id, with what was done for it. */
struct user {
	int64_t executions; /* from token 0 */
	int64_t tokens;
};

struct stream {
	struct batch *batch;
	TAILQ_ENTRY(stream) entry; /* waiting or running */
	struct http_request *req;
	enum stream_state state;
	struct user *user;
	int fd;
	char *id;
	int64_t attempt;
	int64_t priority;
	char *prompt;
	size_t prompt_len;
	char *head; /* of each event, up to the index */
	int64_t first;
	int64_t index; /* of the next token */
	int64_t end;
	int64_t crash_at;      /* index, -1 for never */
	int64_t prefill_until; /* us */
	msec answer_at;	       /* no byte before */
	bool streamed;
	GString *out;
	size_t sent;
};
TAILQ_HEAD(stream_list, stream);

/* The load at one time, for the lagging report. */
struct load {
	TAILQ_ENTRY(load) entry;
	msec when;
	int64_t running, waiting, tokens;
};
TAILQ_HEAD(load_list, load);

/* The server's lock guards all of it. */
struct batch {
	struct http_server *server;
	double token_us, slope, prefill_us; /* see the engine's options */
	unsigned int max;
	struct cache cache;
	GRand *rand;
	GHashTable *users; /* by the caller's id */
	GHashTable *kv;	   /* imported, by the prompt's hash in hex */

	struct stream_list waiting, running;
	unsigned int waiting_count, running_count;
	int64_t next_step; /* us */
	pthread_t thread;
	pthread_cond_t cond; /* there is work */

	struct load_list loads;
	unsigned int loads_count;
	struct load frozen; /* shown while freeze_load is on */

	int64_t executed, finished, cancelled, cut, twice, tokens;
};

/* With the engine's defaults; the cache is made by batch_start(). */
void batch_init(struct batch *, struct http_server *);
/* Start to decode, with a cache of so many prefixes. */
void batch_start(struct batch *, unsigned int);
/* Wait for the thread; the server has stopped. */
void batch_finish(struct batch *);
/* Take a stream in; it waits or runs. */
void batch_enter(struct batch *, struct stream *);
/* Admit and decode what is due. */
void batch_run(struct batch *);
/* Cut off every stream. */
void batch_cut(struct batch *);
struct stream *batch_find(struct batch *, const char *, const json_t *);
struct user *batch_user(struct batch *, const char *);
json_t *batch_load_json(struct batch *);
/* Keep the load as it is for freeze_load. */
void batch_freeze(struct batch *);

/* Waiting or running. */
bool stream_held(const struct stream *);
void stream_end(struct stream *, enum stream_state);
void stream_free(struct stream *);
void stream_count_execution(const struct stream *);
/* The prompt's hash in 16 hex digits, which stands for its KV cache. */
void stream_kv(const struct stream *, char *);

#endif /* COMMON_BATCH_H */
