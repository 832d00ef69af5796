/*
 * A client of the platform's log service over HTTP. log_append() and log_read()
 * block, for the tool and for tests. struct log_io is for a daemon: a thread
 * follows streams and appends records, and passes events to the core loop.
 */

#ifndef LOG_CLIENT_H
#define LOG_CLIENT_H

#include "ring.h"
#include "savory.h"

/* A record as read; `data` has `len` bytes and a terminating NUL. */
struct log_entry {
	uint64_t offset;
	msec wall; /* when it was appended, by the log's clock */
	char *data;
	size_t len;
};

/* The result of one read. */
struct log_page {
	uint64_t first; /* oldest offset that the log still keeps */
	uint64_t next;	/* offset after the newest record */
	struct log_entry *entries;
	unsigned int nentries;
};

/* Free the entries; allowed after a failed read too. */
void log_page_finish(struct log_page *);

/*
 * Append a record in a single attempt: base URL, stream, text, timeout. Returns
 * its offset, or 0 and a GError: UNREACHABLE or REFUSED (not appended), or
 * UNKNOWN (possibly appended; read back before a retry).
 */
uint64_t log_append(const char *, const char *, const char *, msec, GError **);
/* Read from an offset: base URL, stream, from, wait, timeout. */
bool log_read(const char *, const char *, uint64_t, msec, msec,
    struct log_page *, GError **);
/* The first record in the page with this id: its offset, or 0. */
uint64_t log_page_find(const struct log_page *, const char *);
/*
 * Search for an id from an offset to the end of the stream: base URL, stream,
 * id, from, deadline. Returns true if the id was found or the end was reached;
 * the offset is 0 if the id is not there.
 */
bool log_find_id(const char *, const char *, const char *, uint64_t, msec,
    uint64_t *, GError **);
/*
 * Append a record at least once, also when a response is lost: base URL,
 * stream, text, id, from, timeout. Appends, on UNKNOWN reads the stream back
 * from the offset `from` and searches for the id, and retries with backoff
 * until the timeout. Returns the record's first offset, or 0 with UNKNOWN,
 * REFUSED or UNREACHABLE.
 */
uint64_t log_append_id(const char *, const char *, const char *, const char *,
    uint64_t, msec, GError **);

/* Events from the log thread to the core loop. */
enum log_event_kind {
	LOG_EVENT_PAGE,	    /* records of a followed stream, in order */
	LOG_EVENT_APPENDED, /* the record is in the stream; offset is set */
	LOG_EVENT_APPEND_FAILED,  /* the record was certainly not appended */
	LOG_EVENT_APPEND_UNKNOWN, /* possibly appended; reading back timed out
				   */
	LOG_EVENT_DOWN,		  /* the service stopped responding */
	LOG_EVENT_UP		  /* the service responds again */
};

/* One event; the fields set depend on its kind. */
struct log_event {
	enum log_event_kind kind;
	char stream[NAME_SIZE];
	struct log_page page; /* PAGE */
	uint64_t from;	      /* PAGE: the offset at which the read began */
	uint64_t cookie;      /* APPEND*: passed to log_io_append() */
	uint64_t offset;      /* APPENDED */
};

struct log_io;

/*
 * Start the thread: base URL, ring for the events, limit of this node's appends
 * per second. A page is delivered at least every few seconds, empty when there
 * is nothing new, so that the receiver learns the stream's first and next
 * offsets. Events are put into the ring as pointers; the receiver frees them
 * with log_event_free().
 */
struct log_io *log_io_start(const char *, struct ring *, unsigned int);
/*
 * Stop the thread without waiting for requests. Appends in progress get no
 * event; events that are already in the ring stay there.
 */
void log_io_stop(struct log_io *);
/*
 * Follow a stream from an offset on until log_io_unfollow() or log_io_stop().
 * May be called from any thread.
 */
void log_io_follow(struct log_io *, const char *, uint64_t);
/*
 * Stop following a stream. Pages of it that were read before may still be
 * delivered. A receiver that follows the stream again with a new fold (the
 * state built from its records) must skip pages whose `from` is beyond what
 * that fold has read.
 */
void log_io_unfollow(struct log_io *, const char *);
/*
 * Append a record (stream, text, id, timeout, cookie), reading the stream back
 * after a lost response. The result is an event with the cookie, at the latest
 * after the timeout. Returns false when the thread's command queue is full:
 * then nothing is appended and no event follows.
 */
bool log_io_append(
    struct log_io *, const char *, const char *, const char *, msec, uint64_t);
void log_event_free(struct log_event *);

#endif /* LOG_CLIENT_H */
