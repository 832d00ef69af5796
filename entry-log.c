/*
 * Writes events as lines of JSON without blocking; see entry-log.h.
 */

#include "entry-log.h"

#include <errno.h>
#include <inttypes.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

/* Holds a second of lines under full load while the reader is stalled. */
#define ENTRY_LOG_BYTES (128 * 1024)
/*
 * Routine lines are a sample of normal operation; the limit of needed lines
 * leaves room for a second with many failures.
 */
#define ENTRY_LOG_ROUTINE_PER_S 40
#define ENTRY_LOG_NEEDED_PER_S 400

const struct entry_log_description entry_log_events[LOG_EVENTS] = {
	[LOG_EVENT_ATTEMPT_FAILED] = { "attempt-failed",
	    "An attempt on a backend server failed; the request goes on or "
	    "ends." },
	[LOG_EVENT_BRITTLE] = { "brittle",
	    "A backend server says that it is brittle: it is sent no more "
	    "than it has slots." },
	[LOG_EVENT_BYTES_DISCARDED] = { "bytes-discarded",
	    "Bytes came on a caller's connection that was being closed; they "
	    "get no answer." },
	[LOG_EVENT_CARRIED] = { "carried",
	    "Another node handed a request off to this one; outcome: accepted, "
	    "or why it was refused." },
	[LOG_EVENT_CARRIER_FAILED] = { "carrier-failed",
	    "The node that a request was handed off to refused it, or broke "
	    "off." },
	[LOG_EVENT_CLEARED] = { "cleared",
	    "A request or part that was condemned was answered completely: it "
	    "is sent again." },
	[LOG_EVENT_CONDEMNED] = { "condemned",
	    "Servers ended under a request, or under requests with a part of "
	    "prompts, one after the other: it is sent to none for a long "
	    "time." },
	[LOG_EVENT_CONFIGURATION] = { "configuration",
	    "A newer configuration is in force." },
	[LOG_EVENT_CONFIGURATION_UNREADABLE] = { "configuration-unreadable",
	    "The newest configuration cannot be understood; the last good one "
	    "stays." },
	[LOG_EVENT_DUTY] = { "duty",
	    "This node holds the duties of one node from now on, or not any "
	    "more." },
	[LOG_EVENT_ERA] = { "era",
	    "The platform's store came back from an older copy of itself, or "
	    "an answer of it is not believed." },
	[LOG_EVENT_EVENT_OUT_OF_ORDER] = { "event-out-of-order",
	    "A stream did not go on at the event that was due." },
	[LOG_EVENT_HANDED_OFF] = { "handed-off",
	    "A request was sent to another node, which sends it to a server." },
	[LOG_EVENT_HOPELESS] = { "hopeless",
	    "A stream that has not begun would not end in time: its server is "
	    "left." },
	[LOG_EVENT_IDLE_CLOSED] = { "idle-closed",
	    "A caller's connection was closed as it had been idle for ms." },
	[LOG_EVENT_LOG_DROPPED] = { "log-dropped",
	    "Lines were left out, to bound the volume or as nobody read." },
	[LOG_EVENT_MEMORY] = { "memory",
	    "How full the memory for requests and answers is has changed." },
	[LOG_EVENT_NO_RETRY_BUDGET] = { "no-retry-budget",
	    "Another attempt was due and the allowance of retries is used "
	    "up." },
	[LOG_EVENT_NO_TIME_LEFT] = { "no-time-left",
	    "This node is leaving and would end before the answer does." },
	[LOG_EVENT_NODE] = { "node",
	    "Another node changed its state, as far as we know." },
	[LOG_EVENT_ORDER] = { "order",
	    "Backend servers are ordered: so many of a kind in a failure "
	    "domain." },
	[LOG_EVENT_ORDER_FAILED] = { "order-failed",
	    "An order of backend servers was not taken." },
	[LOG_EVENT_OUTAGE] = { "outage",
	    "The platform has served no node for a while, as far as this one "
	    "knows, or has served one again; then ms: until servers without an "
	    "entry count as gone." },
	[LOG_EVENT_PATH] = { "path",
	    "No backend server answers on new connections of this node any "
	    "more, or servers answer again; count: servers that failed, ms: "
	    "since the last that answered." },
	[LOG_EVENT_PLATFORM_BACK] = { "platform-back",
	    "The platform answers again." },
	[LOG_EVENT_PLATFORM_LOST] = { "platform-lost",
	    "The platform does not answer." },
	[LOG_EVENT_RATE] = { "rate",
	    "A backend server names the requests a second that it takes, "
	    "another number of them, or none any more." },
	[LOG_EVENT_REFUSED] = { "refused",
	    "What came is no request that can be understood; kind: "
	    "from whom." },
	[LOG_EVENT_RELOAD] = { "reload", "The settings were read again: taken "
					 "up, or what is wrong with them." },
	[LOG_EVENT_REQUEST] = { "request", "A request has ended." },
	[LOG_EVENT_REST] = { "rest",
	    "A backend server refused a request and asks for none for so "
	    "long." },
	[LOG_EVENT_RUN_MOVE_BEGUN] = { "run-move-begun",
	    "The run of a stream is to go on at another backend server, as its "
	    "own leaves or is slow; see reason." },
	[LOG_EVENT_RUN_MOVE_FAILED] = { "run-move-failed",
	    "A run was not moved off its backend server; see reason." },
	[LOG_EVENT_RUN_MOVED] = { "run-moved",
	    "A run that was to move off its backend server goes on at the "
	    "server named, which may be its own." },
	[LOG_EVENT_SERVER] = { "server",
	    "A backend server changed its state." },
	[LOG_EVENT_SERVER_ENDED] = { "server-ended",
	    "A backend server's process ended while it had requests of ours; "
	    "these are suspect." },
	[LOG_EVENT_SERVER_KEPT] = { "server-kept",
	    "A backend server is not listed any more, and kept in use for now: "
	    "its entry may have expired while the platform was away." },
	[LOG_EVENT_SERVER_LEAVING] = { "server-leaving",
	    "An answer of a backend server says that it leaves: its process "
	    "is sent nothing more, whatever is listed." },
	[LOG_EVENT_SERVER_SILENT] = { "server-silent",
	    "A backend server was given up, as it did not answer." },
	[LOG_EVENT_SERVER_UNREADABLE] = { "server-unreadable",
	    "A backend server's entry names none to use." },
	[LOG_EVENT_STARTED] = { "started", "The process has started." },
	[LOG_EVENT_STOPPED] = { "stopped", "The process ends." },
	[LOG_EVENT_STOPPING] = { "stopping", "A planned stop has begun." },
	[LOG_EVENT_STRAY_ANSWER] = { "stray-answer",
	    "An answer to another request came and was thrown away." },
	[LOG_EVENT_STREAM_ENDED] = { "stream-ended",
	    "A server's stream ended without a break; see framing and "
	    "unfinished." },
	[LOG_EVENT_STREAM_VERSION] = { "stream-version",
	    "A caller takes a stream up where its service has, or may have, "
	    "several versions of software; outcome: bound to one, free, or "
	    "unknown." },
	[LOG_EVENT_SUSPECT] = { "suspect",
	    "A server ended under the request, or a part of its prompt, "
	    "before: "
	    "it waits for its turn, goes, or is refused." },
	[LOG_EVENT_SUSPECTS_READ] = { "suspects-read",
	    "Requests and parts that end servers, as the platform's store "
	    "keeps them, were read at the start; count: of them." },
	[LOG_EVENT_TAKEN_BACK] = { "taken-back",
	    "Reclaimable servers of a failure domain left at once without an "
	    "order; count: of them." },
	[LOG_EVENT_TURNED_AWAY] = { "turned-away",
	    "Too much was to be read before the request: see ahead_ms." },
	[LOG_EVENT_USAGE] = { "usage",
	    "The usage of a window was reported to the platform." },
	[LOG_EVENT_VERSIONS] = { "versions",
	    "The versions of a service's software that the platform's store "
	    "keeps: read at the start, or written; count: of them, complete or "
	    "partial." },
};

const struct entry_log_description entry_log_keys[LOG_KEYS] = {
	[LOG_KEY_AHEAD_MS] = { "ahead_ms",
	    "what servers had to read before it, as urgent or more" },
	[LOG_KEY_BY_SHARE] = { "by_share",
	    "1: only its organisation's share of the room was used up" },
	[LOG_KEY_BYTES] = { "bytes", "held by requests and answers" },
	[LOG_KEY_CAME] = { "came", "number of the event that came" },
	[LOG_KEY_CARRIER] = { "carrier",
	    "node that the request was handed off to" },
	[LOG_KEY_CONFIGURATION] = { "configuration", "version in force" },
	[LOG_KEY_COUNT] = { "count",
	    "servers ordered, in all; servers that failed; nodes that "
	    "answered" },
	[LOG_KEY_DOMAIN] = { "domain",
	    "failure domain of this node, or of the servers ordered" },
	[LOG_KEY_ENDS] = { "ends", "servers that ended under such a request" },
	[LOG_KEY_ERA] = { "era", "of the platform's store" },
	[LOG_KEY_FIRST_MS] = { "first_ms",
	    "from the request to the first byte of the answer; -1: none" },
	[LOG_KEY_FRAMING] = { "framing",
	    "what marked the end of a server's answer: length, chunks, or "
	    "close of the connection" },
	[LOG_KEY_GAP_MS] = { "gap_ms",
	    "longest pause between two parts of the answer" },
	[LOG_KEY_HELD] = { "held",
	    "bytes that the server's host had not acknowledged as the last "
	    "attempt was given up; -1: none was" },
	[LOG_KEY_IDLE_LIMIT_MS] = { "idle_limit_ms",
	    "how long callers may leave a connection idle" },
	[LOG_KEY_KIND] = { "kind", "of server: lasting or reclaimable" },
	[LOG_KEY_LAST] = { "last", "why an attempt before the end failed, or "
				   "number of the last event" },
	[LOG_KEY_LEAVING_MS] = { "leaving_ms",
	    "from the start of this node's stop to the request; -1: none" },
	[LOG_KEY_LEFT_MS] = { "left_ms", "until the deadline" },
	[LOG_KEY_LIMIT_MS] = { "limit_ms",
	    "the most that may be read before it, as learned" },
	[LOG_KEY_LINES] = { "lines", "lines left out" },
	[LOG_KEY_LIST_MS] = { "list_ms",
	    "age of the proof that the list of backend servers is the newest, "
	    "at the last attempt or before the change; -1: none" },
	[LOG_KEY_MAY_HAVE_RUN] = { "may_have_run",
	    "may a backend server have run it?" },
	[LOG_KEY_MS] = { "ms", "how long it took" },
	[LOG_KEY_NAME] = { "name", "of the other node" },
	[LOG_KEY_NEEDED] = { "needed",
	    "servers that the service needs, if none is taken back" },
	[LOG_KEY_NEEDS_MS] = { "needs_ms", "its kind hardly ever takes longer; "
					   "0: not asked, this node stays" },
	[LOG_KEY_ORGANISATION] = { "organisation", "that the key belongs to" },
	[LOG_KEY_ORGANISATIONS] = { "organisations", "in the configuration" },
	[LOG_KEY_OUTCOME] = { "outcome", "of the request" },
	[LOG_KEY_PART] = { "part",
	    "of prompts, that servers ended under, as callers name it" },
	[LOG_KEY_PARTS] = { "parts",
	    "of its prompt that other prompts may share, as the caller names "
	    "them" },
	[LOG_KEY_PROOF_MS] = { "proof_ms",
	    "age of the proof that the configuration is the newest; -1: none" },
	[LOG_KEY_RATE] = { "rate", "requests a second from all nodes" },
	[LOG_KEY_READY] = { "ready", "servers of that kind that are ready" },
	[LOG_KEY_REASON] = { "reason", "what was wrong" },
	[LOG_KEY_REQUEST] = { "request", "the caller's name for the request" },
	[LOG_KEY_REQUESTS] = { "requests", "in flight" },
	[LOG_KEY_RESUMES] = { "resumes",
	    "the caller's name for the request that began the stream" },
	[LOG_KEY_ROUTE] = { "route", "that the request took" },
	[LOG_KEY_ROUTES] = { "routes", "in the configuration" },
	[LOG_KEY_RUNNING] = { "running", "requests of ours on the server" },
	[LOG_KEY_RUNS] = { "runs", "attempts that may have run" },
	[LOG_KEY_SAME] = { "same",
	    "names what is asked: path, caller, body, model, tokens and parts "
	    "of the prompt" },
	[LOG_KEY_SEEN] = { "seen", "requests that this was learned from" },
	[LOG_KEY_SENDS] = { "sends", "attempts begun" },
	[LOG_KEY_SENT] = { "sent",
	    "requests of this node since it named the last one" },
	[LOG_KEY_SERVED] = { "served",
	    "requests served since the start, or on the connection" },
	[LOG_KEY_SERVER] = { "server", "name of the backend server" },
	[LOG_KEY_SERVICE] = { "service", "that the backend servers are of" },
	[LOG_KEY_SERVICES] = { "services", "in the configuration" },
	[LOG_KEY_SILENT_MS] = { "silent_ms",
	    "for how long its server had sent nothing, though it was sent "
	    "something, as the last attempt was sent; -1: it had" },
	[LOG_KEY_SOFTWARE] = { "software",
	    "version of the backend server's software" },
	[LOG_KEY_SOURCE] = { "source", "backend server that its server was "
				       "told to fetch the prompt from" },
	[LOG_KEY_STATE] = { "state", "the new one" },
	[LOG_KEY_STATUS] = { "status", "of the answer" },
	[LOG_KEY_STOP_MS] = { "stop_ms", "until this node ends" },
	[LOG_KEY_TARGET_MS] = { "target_ms",
	    "within which the route wants an answer" },
	[LOG_KEY_TOKEN] = { "token", "fencing token of the duty; 0: none" },
	[LOG_KEY_TOKENS_PER_MS] = { "tokens_per_ms",
	    "prompt tokens to be read in a ms, at the peak" },
	[LOG_KEY_TOLD_BY] = { "told_by",
	    "node that passed the change on; null: read from the platform, or "
	    "due by the clock" },
	[LOG_KEY_UNFINISHED] = { "unfinished",
	    "bytes of an event that had begun at the end of the stream" },
	[LOG_KEY_UNLISTED_MS] = { "unlisted_ms",
	    "from the news that its server is not listed to the last attempt; "
	    "-1: it was listed" },
	[LOG_KEY_UNREAD] = { "unread", "bytes of a caller that get no answer" },
	[LOG_KEY_VERSION] = { "version",
	    "of the configuration, or of the program" },
	[LOG_KEY_WINDOW] = { "window", "number of the window of usage" },
};

void
entry_log_init(struct entry_log *l, const char *node)
{
	int flags;

	*l = (struct entry_log){ .fd = STDOUT_FILENO };
	g_strlcpy(l->node, node, sizeof l->node);
	flags = fcntl(l->fd, F_GETFL);
	if (flags != -1)
		fcntl(l->fd, F_SETFL, flags | O_NONBLOCK);
}

void
entry_log_finish(struct entry_log *l)
{
	entry_log_flush(l);
	buffer_finish(&l->out);
}

static void
log_text(struct buffer *b, const char *s)
{
	char escaped[8];

	buffer_add(b, "\"", 1);
	for (; *s != '\0'; s++) {
		if ((guchar)*s >= ' ' && *s != '"' && *s != '\\' &&
		    (guchar)*s < 0x7f) {
			buffer_add(b, s, 1);
			continue;
		}
		g_snprintf(escaped, sizeof escaped, "\\u%04x", (guchar)*s);
		buffer_add_text(b, escaped);
	}
	buffer_add(b, "\"", 1);
}

static void
log_number(struct buffer *b, int64_t n)
{
	char text[24];

	g_snprintf(text, sizeof text, "%" PRId64, n);
	buffer_add_text(b, text);
}

/* Limits of lines per second, by priority. */
static const unsigned int log_limits_per_s[] = {
	[ENTRY_LOG_NEEDED] = ENTRY_LOG_NEEDED_PER_S,
	[ENTRY_LOG_ROUTINE] = ENTRY_LOG_ROUTINE_PER_S,
};

/*
 * Limits the volume. The limits are counted apart, so that routine lines cannot
 * displace needed ones.
 */
static bool
log_admit(struct entry_log *l, msec now, enum entry_log_priority priority)
{
	if (now - l->second_start >= MSEC_SECOND) {
		l->second_start = now;
		memset(l->lines_in_second, 0, sizeof l->lines_in_second);
	}
	if (l->lines_in_second[priority] >= log_limits_per_s[priority] ||
	    buffer_length(&l->out) > ENTRY_LOG_BYTES) {
		l->dropped++;
		return false;
	}
	l->lines_in_second[priority]++;
	l->lines++;
	return true;
}

static void
log_start(struct entry_log *l, enum entry_log_event event)
{
	buffer_add_text(&l->out, "{\"time_ms\":");
	log_number(&l->out, msec_wall());
	buffer_add_text(&l->out, ",\"node\":");
	log_text(&l->out, l->node);
	buffer_add_text(&l->out, ",\"event\":");
	log_text(&l->out, entry_log_events[event].name);
}

static void
log_field(struct buffer *b, const struct entry_log_field *f)
{
	buffer_add(b, ",", 1);
	log_text(b, entry_log_keys[f->key].name);
	buffer_add(b, ":", 1);
	if (f->is_number)
		log_number(b, f->number);
	else if (f->text != NULL)
		log_text(b, f->text);
	else
		buffer_add_text(b, "null");
}

static void
log_dropped(struct entry_log *l)
{
	if (l->dropped == l->dropped_reported ||
	    buffer_length(&l->out) > ENTRY_LOG_BYTES / 2)
		return;
	log_start(l, LOG_EVENT_LOG_DROPPED);
	log_field(&l->out, &(struct entry_log_field)LOG_NUMBER(LOG_KEY_LINES,
			       l->dropped - l->dropped_reported));
	buffer_add_text(&l->out, "}\n");
	l->dropped_reported = l->dropped;
}

void
entry_log_fields(struct entry_log *l, msec now,
    enum entry_log_priority priority, enum entry_log_event event,
    const struct entry_log_field *fields, size_t n)
{
	size_t i;

	if (!log_admit(l, now, priority))
		return;
	log_start(l, event);
	for (i = 0; i < n; i++)
		log_field(&l->out, &fields[i]);
	buffer_add_text(&l->out, "}\n");
}

void
entry_log_flush(struct entry_log *l)
{
	ssize_t n;

	log_dropped(l);
	while (buffer_length(&l->out) > 0) {
		n = write(l->fd, buffer_bytes(&l->out), buffer_length(&l->out));
		if (n == -1 && errno == EINTR)
			continue;
		if (n <= 0)
			return;
		buffer_consume(&l->out, (size_t)n);
	}
}
