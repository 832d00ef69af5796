/*
 * For process tests: programs started from the build directory, stopped and
 * paused by their pid, HTTP calls to them, free ports and scratch
 * directories. A failure to set up aborts the test with its reason.
 */

#ifndef UTIL_PROC_H
#define UTIL_PROC_H

#include "savory.h"

#include <sys/types.h>

#include <jansson.h>

/* Generous, since a sanitizer or a busy machine makes all slow. */
#define PROC_READY_MS 30000
#define PROC_STOP_MS 30000

struct proc {
	pid_t pid; /* 0 when it does not run */
	int out;   /* its standard output */
	char *name;
	unsigned int port; /* of its "ready PORT" line */
};

/*
 * Start a program with arguments and wait for its line "ready PORT". It is
 * killed when the thread that started it ends.
 */
#define proc_start(p, ...) \
	proc_start_words((p), (const char *const[]){ __VA_ARGS__, NULL })
/* The program and its arguments in one array, or apart; ended by NULL. */
void proc_start_words(struct proc *, const char *const *);
void proc_start_argv(struct proc *, const char *, const char *const *);
/* The same for a program that prints no such line. */
void proc_start_unready(struct proc *, const char *, const char *const *);
/* Run to the end; its standard output, and its exit status or -signal. */
char *proc_run(const char *, const char *const *, int *);
void proc_signal(struct proc *, int);
/* The exit status, -signal, or G_MININT when it still runs after so long. */
int proc_wait(struct proc *, msec);
/* SIGTERM, and wait; what proc_wait() gives. */
int proc_stop(struct proc *);
void proc_kill(struct proc *);
void proc_pause(struct proc *);
/* False when it has ended meanwhile: its status, as proc_wait() gives it. */
bool proc_pause_or_end(struct proc *, int *);
void proc_resume(struct proc *);

struct http_reply {
	long status;  /* 0 when there was no whole answer */
	int curl;     /* libcurl's code, 0 when all went well */
	char *text;   /* what came of the body */
	json_t *json; /* NULL if the body is none */
};

/*
 * Method, port on 127.0.0.1, path, body or NULL, header lines or NULL. One
 * fresh connection, so that nothing is sent twice.
 */
void http_call(struct http_reply *, const char *, unsigned int, const char *,
    const char *, const char *const *);
void http_reply_free(struct http_reply *);
/* Calls that must answer 200; the JSON is the caller's. */
json_t *http_get_json(unsigned int, const char *);
json_t *http_post_json(unsigned int, const char *, const char *);
/* A whole number in the JSON that a GET of the path answers. */
int64_t http_get_number(unsigned int, const char *, const char *);
/* Switch faults of a stand-in: a JSON object. */
void http_fault(unsigned int, const char *);

/* Poll a condition; false when it did not come true in time. */
bool wait_until(bool (*)(void *), void *, msec);

/* A port that was free a moment ago. */
unsigned int port_free_tcp(void);
unsigned int port_free_udp(void);
/* The same, free for UDP and TCP. */
unsigned int port_free_peer(void);

char *dir_temporary(void);
/* Remove it with its files, and free the name. */
void dir_remove(char *);

#endif /* UTIL_PROC_H */
