/*
 * The command-line tool: what its commands share. Each command is an entry
 * of the table in cmd-table.c, defined in a cmd-*.c file of its own family.
 */

#ifndef CMD_H
#define CMD_H

#include "doc-fold.h"
#include "savory.h"

#include <jansson.h>

/* Exit codes of the tool; its manual page explains them. */
enum cmd_retval {
	CMD_OK = 0,
	CMD_REFUSED = 1,     /* findings, or the other side answered no */
	CMD_USAGE = 2,	     /* the command line is wrong */
	CMD_CONFLICT = 3,    /* another edit was first */
	CMD_UNKNOWN = 4,     /* it may have taken effect */
	CMD_UNREACHABLE = 5, /* certainly nothing took effect */
	CMD_NOT_RUN = 6	     /* the request certainly did not run */
};

/* Room for the logs of a few dozen nodes. */
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

/* One run of the tool, as the command line says. */
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

/* The table ends with NULL; so does the list of all commands' options. */
extern const struct cmd_entry *const cmd_table[];
extern const struct cmd_option cmd_globals[];

const struct cmd_entry *cmd_find(const char *);
/*
 * Parse a command line; flags are argp's. Without ARGP_NO_EXIT it prints what
 * is wrong and exits with CMD_USAGE.
 */
bool cmd_parse(struct cmd *, int, char **, unsigned int);
/* The value of an option, or NULL. Flags have "". */
const char *cmd_value(const struct cmd *, const char *);
/* The value of a number option, or the default. */
uint64_t cmd_number(const struct cmd *, const char *, uint64_t);

/* Say what went wrong on standard error; gives the exit code for an error. */
enum cmd_retval cmd_fail(const GError *);
void cmd_say(const char *, ...) __attribute__((format(printf, 1, 2)));
/* Print JSON to standard output; takes the reference. */
void cmd_print_json(json_t *);
/* A wall time as 2026-12-02T21:20:00Z; to be freed. */
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
 * Status of the answer, or 0 and a GError: UNREACHABLE when the other side
 * certainly got nothing, else UNKNOWN.
 */
long http_perform(const struct http_call *, GError **);
/*
 * A control request of the daemon at IP:PORT with the peer key: method, path.
 * Its JSON object, or NULL and a GError.
 */
json_t *control_call(
    const struct cmd *, const char *, const char *, const char *, GError **);
/* The same without the key, for the addresses that callers use. */
json_t *caller_call(const char *, const char *, GError **);

/* The edits on the log with their verdicts, and the fold over them. */
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

struct edits {
	struct doc_fold fold;
	struct edit_list list;
};

void edits_init(struct edits *);
void edits_finish(struct edits *);
void edits_apply(struct edits *, uint64_t, msec, const char *, size_t);
/* The first edit with this id, whose verdict is the id's; NULL: none. */
struct edit *edits_find_id(const struct edits *, const char *);
/* The text of a version of a service, or NULL when it is not kept. */
const char *edits_text(struct edits *, const char *, uint64_t);
const char *verdict_name(enum doc_verdict);
/* Read on to the log's end: base URL. */
bool edits_read(struct edits *, const char *, GError **);
/* The log's URL from the command line; says so when it is missing. */
const char *cmd_log_url(const struct cmd *);

/*
 * A unified line diff of two texts with their names, "" when they are the
 * same; to be freed.
 */
char *text_diff(const char *, const char *, const char *, const char *);

/* The exit code for an edit's verdict. */
enum cmd_retval publish_retval(enum doc_verdict);

/* Is this text a node's settings (true) or a service document? */
bool check_is_settings(const char *);

/* Run a function over each of an array's pointers, several at a time. */
void cmd_each(void **, unsigned int, void (*)(void *));
/* One node's status from its control address; says what is wrong. */
json_t *cmd_status(const struct cmd *, enum cmd_retval *);
/*
 * Which version of each document is in force where: the members and, by name,
 * what each says of itself; who is missing there did not answer. An array of
 * {"service", "version", "in_force", "of", "behind": [name]}.
 */
json_t *status_documents(const json_t *, const json_t *);

/* The answer to `send`, as it streams in. */
struct send_stream {
	GString *line;
	void (*token)(void *, const char *);
	void *arg;
	bool is_events; /* server-sent events, not one JSON object */
	bool done;	/* the whole answer came */
	char *error;	/* what the router said; NULL */
	char outcome[16];
	char code[32]; /* why it was not answered; empty: not told */
};

void
send_stream_init(struct send_stream *, void (*)(void *, const char *), void *);
void send_stream_finish(struct send_stream *);
void send_stream_header(struct send_stream *, const char *, size_t);
void send_stream_body(struct send_stream *, const char *, size_t);
/* The body has ended. */
void send_stream_end(struct send_stream *);
/* The exit code, given the status (0: the exchange broke). */
enum cmd_retval send_retval(const struct send_stream *, long);

/* Metrics text of the nodes, summed by service and class. */
struct top_class;
TAILQ_HEAD(top_class_list, top_class);
struct top {
	struct top_class_list classes; /* by service and class */
};

void top_init(struct top *);
void top_finish(struct top *);
void top_add(struct top *, const char *);
/* A table of the change since an earlier sample (or NULL) in so many ms. */
char *top_table(const struct top *, const struct top *, msec);

#endif /* CMD_H */
