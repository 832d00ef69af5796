/*
 * The event log of an entry VM: one line of JSON for each decision, written to
 * standard output without blocking. Lines are kept in a bounded buffer; if the
 * reader does not keep up, further lines are dropped and counted.
 */

#ifndef ENTRY_LOG_H
#define ENTRY_LOG_H

#include "buffer.h"
#include "savory.h"

struct entry_log {
	struct buffer out;
	int fd;
	uint64_t lines, dropped;	 /* lines written and left out */
	uint64_t dropped_reported;	 /* dropped lines reported so far */
	msec second_start;		 /* of the second being counted */
	unsigned int lines_in_second[2]; /* lines in this second, by priority */
	char node[NAME_SIZE];
};

/*
 * The priority of a line: needed to explain a failure, or routine. Each has its
 * own limit of lines per second.
 */
enum entry_log_priority {
	ENTRY_LOG_NEEDED,
	ENTRY_LOG_ROUTINE
};

void entry_log_init(struct entry_log *, const char *node);
void entry_log_finish(struct entry_log *);
/* Events; entry_log_events[] has their names in the log. */
enum entry_log_event {
	LOG_EVENT_ATTEMPT_FAILED,
	LOG_EVENT_BRITTLE,
	LOG_EVENT_BYTES_DISCARDED,
	LOG_EVENT_CARRIED,
	LOG_EVENT_CARRIER_FAILED,
	LOG_EVENT_CLEARED,
	LOG_EVENT_CONDEMNED,
	LOG_EVENT_CONFIGURATION,
	LOG_EVENT_CONFIGURATION_UNREADABLE,
	LOG_EVENT_DUTY,
	LOG_EVENT_ERA,
	LOG_EVENT_EVENT_OUT_OF_ORDER,
	LOG_EVENT_HANDED_OFF,
	LOG_EVENT_HOPELESS,
	LOG_EVENT_IDLE_CLOSED,
	LOG_EVENT_LOG_DROPPED,
	LOG_EVENT_MEMORY,
	LOG_EVENT_NO_RETRY_BUDGET,
	LOG_EVENT_NO_TIME_LEFT,
	LOG_EVENT_NODE,
	LOG_EVENT_ORDER,
	LOG_EVENT_ORDER_FAILED,
	LOG_EVENT_OUTAGE,
	LOG_EVENT_PATH,
	LOG_EVENT_PLATFORM_BACK,
	LOG_EVENT_PLATFORM_LOST,
	LOG_EVENT_RATE,
	LOG_EVENT_REFUSED,
	LOG_EVENT_RELOAD,
	LOG_EVENT_REQUEST,
	LOG_EVENT_REST,
	LOG_EVENT_RUN_MOVE_BEGUN,
	LOG_EVENT_RUN_MOVE_FAILED,
	LOG_EVENT_RUN_MOVED,
	LOG_EVENT_SERVER,
	LOG_EVENT_SERVER_ENDED,
	LOG_EVENT_SERVER_KEPT,
	LOG_EVENT_SERVER_LEAVING,
	LOG_EVENT_SERVER_SILENT,
	LOG_EVENT_SERVER_UNREADABLE,
	LOG_EVENT_STARTED,
	LOG_EVENT_STOPPED,
	LOG_EVENT_STOPPING,
	LOG_EVENT_STRAY_ANSWER,
	LOG_EVENT_STREAM_ENDED,
	LOG_EVENT_STREAM_VERSION,
	LOG_EVENT_SUSPECT,
	LOG_EVENT_SUSPECTS_READ,
	LOG_EVENT_TAKEN_BACK,
	LOG_EVENT_TURNED_AWAY,
	LOG_EVENT_USAGE,
	LOG_EVENT_VERSIONS,
	LOG_EVENTS
};

/* Fields of events; entry_log_keys[] has their names in the log. */
enum entry_log_key {
	LOG_KEY_AHEAD_MS,
	LOG_KEY_BY_SHARE,
	LOG_KEY_BYTES,
	LOG_KEY_CAME,
	LOG_KEY_CARRIER,
	LOG_KEY_CONFIGURATION,
	LOG_KEY_COUNT,
	LOG_KEY_DOMAIN,
	LOG_KEY_ENDS,
	LOG_KEY_ERA,
	LOG_KEY_FIRST_MS,
	LOG_KEY_FRAMING,
	LOG_KEY_GAP_MS,
	LOG_KEY_HELD,
	LOG_KEY_IDLE_LIMIT_MS,
	LOG_KEY_KIND,
	LOG_KEY_LAST,
	LOG_KEY_LEAVING_MS,
	LOG_KEY_LEFT_MS,
	LOG_KEY_LIMIT_MS,
	LOG_KEY_LINES,
	LOG_KEY_LIST_MS,
	LOG_KEY_MAY_HAVE_RUN,
	LOG_KEY_MS,
	LOG_KEY_NAME,
	LOG_KEY_NEEDED,
	LOG_KEY_NEEDS_MS,
	LOG_KEY_ORGANISATION,
	LOG_KEY_ORGANISATIONS,
	LOG_KEY_OUTCOME,
	LOG_KEY_PART,
	LOG_KEY_PARTS,
	LOG_KEY_PROOF_MS,
	LOG_KEY_RATE,
	LOG_KEY_READY,
	LOG_KEY_REASON,
	LOG_KEY_REQUEST,
	LOG_KEY_REQUESTS,
	LOG_KEY_RESUMES,
	LOG_KEY_ROUTE,
	LOG_KEY_ROUTES,
	LOG_KEY_RUNNING,
	LOG_KEY_RUNS,
	LOG_KEY_SAME,
	LOG_KEY_SEEN,
	LOG_KEY_SENDS,
	LOG_KEY_SENT,
	LOG_KEY_SERVED,
	LOG_KEY_SERVER,
	LOG_KEY_SERVICE,
	LOG_KEY_SERVICES,
	LOG_KEY_SILENT_MS,
	LOG_KEY_SOFTWARE,
	LOG_KEY_SOURCE,
	LOG_KEY_STATE,
	LOG_KEY_STATUS,
	LOG_KEY_STOP_MS,
	LOG_KEY_TARGET_MS,
	LOG_KEY_TOKEN,
	LOG_KEY_TOKENS_PER_MS,
	LOG_KEY_TOLD_BY,
	LOG_KEY_UNFINISHED,
	LOG_KEY_UNLISTED_MS,
	LOG_KEY_UNREAD,
	LOG_KEY_VERSION,
	LOG_KEY_WINDOW,
	LOG_KEYS
};

struct entry_log_field {
	enum entry_log_key key;
	const char *text; /* NULL: JSON null, or `number` */
	int64_t number;
	bool is_number;
};
#define LOG_TEXT(key, value)             \
	{                                \
		(key), (value), 0, false \
	}
#define LOG_NUMBER(key, value)                      \
	{                                           \
		(key), NULL, (int64_t)(value), true \
	}

/* A name in the log and its meaning, as the documentation lists them. */
struct entry_log_description {
	const char *name;
	const char *meaning;
};
extern const struct entry_log_description entry_log_events[LOG_EVENTS];
extern const struct entry_log_description entry_log_keys[LOG_KEYS];

/*
 * Logs one event: the log, the time, the priority, the event, then its fields
 * as LOG_TEXT() and LOG_NUMBER().
 */
#define entry_log(l, now, priority, event, ...)              \
	entry_log_fields((l), (now), (priority), (event),    \
	    (const struct entry_log_field[]){ __VA_ARGS__ }, \
	    G_N_ELEMENTS(((const struct entry_log_field[]){ __VA_ARGS__ })))
void entry_log_fields(struct entry_log *, msec, enum entry_log_priority,
    enum entry_log_event, const struct entry_log_field *, size_t);
/* Writes as much of the buffer as the reader accepts. */
void entry_log_flush(struct entry_log *);

#endif /* ENTRY_LOG_H */
