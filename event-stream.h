/*
 * Finds the events in a stream of server-sent events (the HTML standard's
 * text/event-stream): lines end with LF, CR LF or CR, and an empty line ends an
 * event. Does no I/O and keeps no state.
 */

#ifndef EVENT_STREAM_H
#define EVENT_STREAM_H

#include "savory.h"

/*
 * Bytes of the first event with the empty line that ends it; 0: it is not
 * complete, or its last LF is expected after lines that end with CR LF.
 */
size_t event_length(const char *, size_t);
/*
 * True if these bytes, which follow the last complete event, are the start of
 * another one: a field, or a line without its end. Complete comments are not.
 */
bool event_is_unfinished(const char *, size_t);
/* Has the event a field of the standard? Comments and other lines are none. */
bool event_has_field(const char *, size_t);
/* The number in an event's line "id: N"; false without such a line. */
bool event_number(const char *, size_t, uint64_t *number);

#endif /* EVENT_STREAM_H */
