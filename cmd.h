/*
 * Types and functions that the commands of the command-line tool share. Each
 * command is an entry of the table in cmd-table.c; related commands are
 * defined in one cmd-*.c file.
 */

#ifndef CMD_H
#define CMD_H

#include "doc-fold.h"
#include "savory.h"

#include <jansson.h>

/* Exit codes of the tool; its manual page explains them. */
enum cmd_retval {
	CMD_OK = 0,
	CMD_REFUSED = 1,     /* findings, or the server refused the request */
	CMD_USAGE = 2,	     /* the command line is wrong */
	CMD_CONFLICT = 3,    /* another edit won */
	CMD_UNKNOWN = 4,     /* the request may have taken effect */
	CMD_UNREACHABLE = 5, /* the request certainly took no effect */
	CMD_NOT_RUN = 6	     /* the request certainly did not run */
};

/* Enough for the logs of a few dozen nodes. */
#define CMD_ARGS_MAX 66
#define CMD_OPTIONS_MAX 16

struct cmd_option {
	const char *name;
	const char *arg; /* NULL: a flag */
	const char *about;
	bool number; /* takes a whole number */
};

struct cmd;

struct cmd_entry {
	const char *name;
	const char *args; /* "FILE", "SERVICE A B" */
	const char *usage;
	unsigned int min, max; /* number of arguments */
	const struct cmd_option *options;
	enum cmd_retval (*exec)(struct cmd *);
};

/* One run of the tool, from the parsed command line. */
struct cmd {
	const struct cmd_entry *entry;
	const char *args[CMD_ARGS_MAX];
	unsigned int nargs;
	const char *values[CMD_OPTIONS_MAX]; /* by option; NULL: not given */
	/* Options of all commands. */
	const char *log_url;
	const char *control; /* IP:PORT */
	const char *peer_key_file;
	bool json;
};

/* The table of commands and the options of all commands; NULL ends both. */
extern const struct cmd_entry *const cmd_table[];
extern const struct cmd_option cmd_globals[];

const struct cmd_entry *cmd_find(const char *);
/*
 * Parse a command line with flags of argp. False when it is invalid; without
 * ARGP_NO_EXIT it prints the error and exits with CMD_USAGE instead.
 */
bool cmd_parse(struct cmd *, int, char **, unsigned int);
/* The value of an option ("" for a flag), or NULL when it is not given. */
const char *cmd_value(const struct cmd *, const char *);
/* The value of a number option, or the default. */
uint64_t cmd_number(const struct cmd *, const char *, uint64_t);

/* Print an error on standard error; returns its exit code. */
enum cmd_retval cmd_fail(const GError *);
/* Print a line on standard error. */
void cmd_print_message(const char *, ...) __attribute__((format(printf, 1, 2)));
/* Print JSON to standard output; takes ownership of the reference. */
void cmd_print_json(json_t *);
/* A wall time (ms) as 2026-12-02T21:20:00Z; to be freed. */
char *cmd_time(msec);
/* A whole file, or standard input for "-", with a bound on its size. */
char *cmd_read_file(const char *, size_t *, GError **);

/* One HTTP exchange of the tool. */
struct http_call {
	const char *method;
	const char *url;
	const char *const *headers; /* "Name: value", ends with NULL */
	const char *body;	    /* NULL: none */
	msec timeout;		    /* 0: none */
	/* Called with each piece of the answer's body and header lines. */
	void (*body_fn)(void *, const char *, size_t);
	void (*header_fn)(void *, const char *, size_t);
	void *arg;
};

/*
 * HTTP status of the answer, or 0 and a GError: UNREACHABLE when the server
 * certainly received nothing, else UNKNOWN.
 */
long http_perform(const struct http_call *, GError **);
/*
 * Send a control request with the peer key to a daemon: method, IP:PORT, path.
 * Returns the JSON object of the answer, or NULL and a GError.
 */
json_t *control_call(
    const struct cmd *, const char *, const char *, const char *, GError **);
/* GET a path of a caller address (IP:PORT), without the key. */
json_t *caller_call(const char *, const char *, GError **);

/* One edit on the log with its verdict. */
struct edit {
	TAILQ_ENTRY(edit) entry;
	uint64_t offset;
	uint64_t base;
	msec wall;
	enum doc_verdict verdict;
	char *id;
	char *service;
	char *by;
	char *text;
};
TAILQ_HEAD(edit_list, edit);

/* The edits on the log and the fold that judged them. */
struct edits {
	struct doc_fold fold;
	struct edit_list list;
};

void edits_init(struct edits *);
void edits_finish(struct edits *);
void edits_apply(struct edits *, uint64_t, msec, const char *, size_t);
/* The first edit with this id, which decides the id's verdict; NULL: none. */
struct edit *edits_find_id(const struct edits *, const char *);
/* The text of a service's version, or NULL when the log has deleted it. */
const char *edits_text(struct edits *, const char *, uint64_t);
const char *verdict_name(enum doc_verdict);
/* Read the remaining records up to the log's end; takes its base URL. */
bool edits_read(struct edits *, const char *, GError **);
/* The log's URL from the command line; NULL after an error message. */
const char *cmd_log_url(const struct cmd *);

/*
 * A unified line diff of two texts with their names, "" when they are the
 * same; to be freed.
 */
char *text_diff(const char *, const char *, const char *, const char *);

/* The exit code for an edit's verdict. */
enum cmd_retval publish_retval(enum doc_verdict);

/* True for a node's settings, false for a service document. */
bool check_is_settings(const char *);

/* Call a function for each pointer of an array, on several threads. */
void cmd_run_parallel(void **, unsigned int, void (*)(void *));
/*
 * The status of the node at --control; NULL after an error message, with the
 * exit code.
 */
json_t *cmd_status(const struct cmd *, enum cmd_retval *);
/*
 * Summarise on which nodes each document is in force, from the member list
 * and the nodes' statuses by name; a node without a status did not answer.
 * Returns an array of {"service", "version", "in_force", "of",
 * "behind": [name]}.
 */
json_t *status_documents(const json_t *, const json_t *);

/* The streamed answer to `send`. */
struct send_stream {
	GString *line;
	void (*token)(void *, const char *);
	void *arg;
	bool is_events; /* server-sent events, not one JSON object */
	bool done;	/* the whole answer was received */
	char *error;	/* error message of the answer; NULL: none */
	char outcome[16];
	char code[32]; /* error code of the answer; empty: none */
};

void
send_stream_init(struct send_stream *, void (*)(void *, const char *), void *);
void send_stream_finish(struct send_stream *);
void send_stream_header(struct send_stream *, const char *, size_t);
void send_stream_body(struct send_stream *, const char *, size_t);
/* Handle the end of the body. */
void send_stream_end(struct send_stream *);
/* The exit code, given the HTTP status (0: the exchange failed). */
enum cmd_retval send_retval(const struct send_stream *, long);

/* Request metrics summed over the nodes, by service and class. */
struct top_class;
TAILQ_HEAD(top_class_list, top_class);
struct top {
	struct top_class_list classes; /* sorted by service and class */
};

void top_init(struct top *);
void top_finish(struct top *);
/* Add the metrics text of one node. */
void top_add(struct top *, const char *);
/* A table of the change since an earlier sample (or NULL), in ms; freed by
 * caller. */
char *top_table(const struct top *, const struct top *, msec);

#endif /* CMD_H */
