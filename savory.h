/*
 * Types and functions that all parts share: time, node ids, findings and
 * logs. Only the log does output.
 */

#ifndef SAVORY_H
#define SAVORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>

#include <glib.h>

/* Release of the library, the daemon and the tool. */
#define SAVORY_VERSION "0.1.0"

/* Longest name of a node, engine, service, class, model or organisation. */
#define NAME_LEN 63
#define NAME_SIZE (NAME_LEN + 1)

/*
 * A point in time or a span, in milliseconds. Points come from a clock that
 * runs through suspension (CLOCK_BOOTTIME), so they compare within a process
 * only. Code without input and output never reads a clock: it gets the time
 * as an argument `now`.
 */
typedef int64_t msec;

/* A point in time that is never reached, and a span of one second. */
#define MSEC_NEVER INT64_MAX
#define MSEC_SECOND ((msec)1000)

/* Now by CLOCK_BOOTTIME, in ms. */
msec msec_now(void);
/* Milliseconds since 1970, for display and for the log only. */
msec msec_wall(void);

/*
 * Identifies a node, engine or service by the 64-bit xxHash of its name.
 * Compact on the wire; among 1,000 names the probability of a collision is
 * 3e-14.
 */
typedef uint64_t name_id;

/* xxHash64 with seed 0 of the bytes of a name: the same on every node. */
name_id name_hash(const char *);
/*
 * Copies a name into a buffer of this size, at least NAME_FIT_MIN. The end of a
 * longer one is replaced by the hash of the whole, so that names which begin
 * alike stay different.
 */
#define NAME_FIT_MIN 24
void name_fit(char *, size_t, const char *);
/* True for 1 to NAME_LEN characters of [a-z0-9._-], starting with [a-z0-9]. */
bool name_valid(const char *);

/* One error in a settings file or document, with its position. */
struct finding {
	TAILQ_ENTRY(finding) entry;
	char *file;
	unsigned int line;   /* from 1; 0 is the whole file */
	unsigned int column; /* from 1 */
	char *text;
};
TAILQ_HEAD(finding_list, finding);

/* Findings in the order found. All are collected, then reported together. */
struct findings {
	struct finding_list list;
	unsigned int count;
};

/* Initialise, free, and add a finding by file, line, column and format. */
void findings_init(struct findings *);
void findings_finish(struct findings *);
void findings_add(struct findings *, const char *, unsigned int, unsigned int,
    const char *, ...) __attribute__((format(printf, 5, 6)));
/* One line each: "file:line:column: text". */
void findings_print(const struct findings *, FILE *);

/*
 * Logs go through GLib with one domain a part; a file defines LOG_PART
 * before it includes this header, and each line starts with it.
 */
#ifndef LOG_PART
#define LOG_PART "main"
#endif
#define log_debug(...) g_log(LOG_PART, G_LOG_LEVEL_DEBUG, __VA_ARGS__)
#define log_info(...) g_log(LOG_PART, G_LOG_LEVEL_INFO, __VA_ARGS__)
#define log_warn(...) g_log(LOG_PART, G_LOG_LEVEL_WARNING, __VA_ARGS__)

/*
 * A line about one object, whose name is logged as a separate field too:
 * log_info_of(LOG_NODE, m->name, "%s is gone", m->name). The JSON format
 * contains the field, the text format only the message.
 */
#define log_debug_of(field, name, ...) \
	log_of(G_LOG_LEVEL_DEBUG, field, name, __VA_ARGS__)
#define log_info_of(field, name, ...) \
	log_of(G_LOG_LEVEL_INFO, field, name, __VA_ARGS__)
#define log_warn_of(field, name, ...) \
	log_of(G_LOG_LEVEL_WARNING, field, name, __VA_ARGS__)
#define log_of(level, field, name, ...)                                   \
	g_log_structured(LOG_PART, level, LOG_FIELD_PREFIX field, (name), \
	    "MESSAGE", __VA_ARGS__)
#define LOG_FIELD_PREFIX "SAVORY_"
#define LOG_REQUEST "REQUEST" /* the router's id of a request */
#define LOG_NODE "NODE"	      /* another node's or a backend server's name */
#define LOG_SERVICE "SERVICE" /* a service's name */
#define LOG_STREAM "STREAM"   /* a stream of the log */

/*
 * Set the least level shown ("debug", "info", "warning") and the format, true
 * for JSON; may be called again. False when there is no such level.
 */
bool log_open(const char *, bool);

/* The error domain of the library's GErrors. */
#define SAVORY_ERROR (savory_error_quark())
GQuark savory_error_quark(void);

/* Codes of the error domain SAVORY_ERROR. */
enum savory_error {
	SAVORY_ERROR_INVALID,	  /* the argument or the text is wrong */
	SAVORY_ERROR_UNREACHABLE, /* the peer certainly received nothing */
	SAVORY_ERROR_UNKNOWN,	  /* the peer may have run the request */
	SAVORY_ERROR_REFUSED,	  /* the peer answered with a refusal */
	SAVORY_ERROR_CONFLICT	  /* another edit won */
};

#endif /* SAVORY_H */
