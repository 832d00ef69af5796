/*
 * Internal interface between entry-duty.c and entry-duty-notes.c.
 */

#ifndef ENTRY_DUTY_PRIVATE_H
#define ENTRY_DUTY_PRIVATE_H

#include "entry.h"

#include <jansson.h>

/* A usage window with final counts. */
struct duty_window {
	bool used;
	uint64_t number;
	json_t *counts;
	bool saved; /* in the log: all holders report these counts */
	bool done;  /* reported, or past the deadline for reports */
	bool in_pending_append;
};

struct entry_duty {
	struct duty duty;
	struct usage usage;
	struct capacity capacity;
	struct loop_timer timer;
	bool notes_loaded; /* the previous holder's notes have been read */
	/* Servers needed by service, kept while reclaiming in a new era. */
	json_t *needed_before_rewind;
	bool lookup_pending;
	bool core_waits_for_lookup;  /* duty.c requested it */
	struct duty_window *windows; /* usage.nwindows of them */
	bool report_pending;
	uint64_t report_window; /* window of the pending report */
	msec next_report, next_demand, next_node_update;
	/* Renewals of the duty without notes before the next one with notes. */
	unsigned int renewals_until_notes;
	unsigned int orders_pending;
	msec leaving_since;
	struct usage_process *processes;
	unsigned int nprocesses;
	uint64_t reports, repeated, missed, fenced;
	uint64_t skipped; /* windows that a lost record may have reported */
	uint64_t orders_taken, orders_none, orders_failed;
};

/* Where a window has its place. */
struct duty_window *duty_window_slot(struct entry_duty *, uint64_t);
/* Keeps the final counts of a window, which it takes over. */
void
duty_window_set(struct entry_duty *, uint64_t, json_t *, bool saved, bool done);
void duty_windows_clear(struct entry_duty *);
/* The time left until the deadline for reports of a window, in ms. */
msec duty_window_time_left(const struct entry *, uint64_t, msec);
/* Its counts by name of organisation, to be freed. */
json_t *duty_window_counts(struct entry *, uint64_t);
/* Servers needed by service, to be freed. */
json_t *duty_notes_capacity(const struct capacity *);
/* What the holder saves in the log for the next one, to be freed. */
char *duty_notes_write(struct entry *, msec);
void duty_notes_read_capacity(struct capacity *, const json_t *);
/* Takes the notes of an earlier holder. */
void duty_notes_read(struct entry *, const char *, msec);

#endif /* ENTRY_DUTY_PRIVATE_H */
