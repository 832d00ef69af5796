/*
 * The HTTP server that all stand-ins share: requests read whole, JSON in and
 * out, fault switches, parked requests, and connections cut on purpose.
 */

#ifndef COMMON_HTTP_H
#define COMMON_HTTP_H

#include "savory.h"

#include <pthread.h>

#include <argp.h>
#include <jansson.h>
#include <microhttpd.h>

enum fault_type {
	FAULT_NUMBER,
	FAULT_BOOL,
	FAULT_NAMES /* a list of strings */
};

/* One fault switch; a stand-in's table of them ends with an empty name. */
struct fault {
	const char *name;
	enum fault_type type;
	double value;  /* a bool is 0 or 1 */
	json_t *names; /* NULL is the empty list */
};

struct http_server;

/* One request, from its first line until its answer is sent or cut. */
struct http_request {
	TAILQ_ENTRY(http_request) parked_entry;
	struct http_server *server;
	struct MHD_Connection *conn;
	char *method;
	char *path;
	GString *body;
	msec arrived;
	bool parked;
	msec wake_at;	     /* when parked */
	const void *channel; /* what it waits for; see http_wake_channel() */
	bool delayed;	     /* its http_delay() is over or under way */
	struct MHD_Response *answer; /* to be queued without the lock */
	unsigned int status;
	void *arg; /* the stand-in's own */
};
TAILQ_HEAD(http_request_list, http_request);

/* All are called with the server's lock held. */
struct http_ops {
	/*
	 * Answer, park or cut. Called again after each parking, then with
	 * the same request.
	 */
	enum MHD_Result (*handle)(struct http_server *, struct http_request *);
	json_t *(*stats)(struct http_server *);
	/* Switches have changed; may be NULL. */
	void (*faulted)(struct http_server *);
	/* The request is over, whole or cut; may be NULL. */
	void (*done)(struct http_server *, struct http_request *);
	/* The server stops; may be NULL. */
	void (*stopping)(struct http_server *);
};

struct http_connection {
	TAILQ_ENTRY(http_connection) entry;
	int fd;
};
TAILQ_HEAD(http_connection_list, http_connection);

struct http_server {
	const struct http_ops *ops;
	struct fault *faults;
	unsigned int port;
	unsigned int threads;
	pthread_mutex_t lock; /* guards all that follows and the stand-in */
	pthread_cond_t timer_cond;
	pthread_t timer_thread;
	struct http_request_list parked;
	struct http_connection_list connections;
	struct MHD_Daemon *daemon;
	int control_fd; /* carries the POST /fault at work, else -1 */
	bool stopping;
};

/* The arguments --port and --threads; a child of each stand-in's argp. */
extern const struct argp http_argp;

/* Memory is the caller's; faults may not be NULL. */
void
http_server_init(struct http_server *, const struct http_ops *, struct fault *);
/* Parse the arguments; exits on a wrong one. */
void http_server_arguments(struct http_server *, const struct argp_option *,
    argp_parser_t, const char *, int, char **);
/* Serve until SIGTERM or SIGINT; the process's exit status. */
int http_server_run(struct http_server *);

double fault_value(struct http_server *, const char *);
void fault_set(struct http_server *, const char *, double);
/* Counts a switch such as lose_answers down; true if it was above 0. */
bool fault_take(struct http_server *, const char *);
bool fault_names(struct http_server *, const char *, const char *);

/* Answers; the JSON is consumed. */
struct MHD_Response *http_json_response(json_t *);
enum MHD_Result
http_send(struct http_request *, unsigned int, struct MHD_Response *);
enum MHD_Result http_json(struct http_request *, unsigned int, json_t *);
enum MHD_Result http_error(struct http_request *, unsigned int, const char *);
/* 429 with Retry-After in seconds. */
enum MHD_Result http_too_many(struct http_request *, unsigned int);
/* Close the connection without an answer. */
enum MHD_Result http_cut(struct http_request *);

/*
 * Put the request aside until the time or a wake-up, whichever is first.
 * Also from a content reader, which is then called again.
 */
enum MHD_Result http_park(struct http_request *, msec, const void *);
/* True when the request was parked for a first delay of so many ms. */
bool http_delay(struct http_request *, msec);
void http_wake(struct http_request *);
void http_wake_channel(struct http_server *, const void *);
void http_wake_all(struct http_server *);
/* Cut every open connection. */
void http_cut_all(struct http_server *);

const char *http_header(struct http_request *, const char *);
const char *http_query(struct http_request *, const char *);
/* A number of the query, or the default. */
int64_t http_query_number(struct http_request *, const char *, int64_t);
bool http_is(struct http_request *, const char *, const char *);
int http_fd(struct http_request *);

#endif /* COMMON_HTTP_H */
