/*
 * Tickets: at-most-once execution of a request without the log. A ticket is
 * bound to the incarnation (process) of the node that issued it; only that
 * process executes a request with it, once. The result of a ticket whose issuer
 * has ended is reported as "unknown".
 */

#ifndef TICKET_H
#define TICKET_H

#include "savory.h"

/*
 * Used tickets are recorded in blocks of consecutive serial numbers; with more
 * blocks than this, the oldest tickets expire early.
 */
#define TICKET_BLOCKS_MAX 32768

/* Buffer size for the text form of a ticket, with its NUL. */
#define TICKET_SIZE 192
/* Period of validity of a ticket. */
#define TICKET_LIFETIME (60 * 60 * MSEC_SECOND)

/* The contents of a ticket; its text form is protected by a MAC. */
struct ticket {
	char node[NAME_SIZE];
	uint64_t incarnation;
	uint64_t serial;
	name_id organisation;
};

/* Result of ticket_use(). */
enum ticket_verdict {
	TICKET_RUN,	   /* issued here, first use: execute the request */
	TICKET_USED,	   /* issued here, used before: see the first use */
	TICKET_OTHER_NODE, /* issued by another node: forward to it, or answer
			     "unknown" if that incarnation has ended */
	TICKET_OLD_INCARNATION, /* issued by an earlier process here */
	TICKET_EXPIRED, /* too old; this use has not executed anything */
	TICKET_OTHER_ORGANISATION, /* issued to another organisation */
	TICKET_OTHER_BODY,	   /* used before with another request body */
	TICKET_INVALID		   /* malformed or wrong MAC */
};

/* The tickets issued by the local node's current incarnation. */
struct ticket_registry {
	char node[NAME_SIZE];
	uint64_t incarnation;
	const char *key; /* the key of messages between nodes */
	struct ticket_registry_data *priv;
};

/* The key must stay valid until ticket_registry_finish(). */
void ticket_registry_init(
    struct ticket_registry *, const char *, uint64_t, const char *);
void ticket_registry_finish(struct ticket_registry *);
void ticket_issue(struct ticket_registry *, msec, name_id, char[TICKET_SIZE]);
/*
 * Use a ticket, given as text, for a request of an organisation with the given
 * body hash. Stores the ticket's contents unless it is TICKET_INVALID. For
 * TICKET_USED the caller finds the first use by the serial number.
 */
enum ticket_verdict ticket_use(struct ticket_registry *, msec, const char *,
    name_id, uint64_t, struct ticket *);
/*
 * The first use has certainly executed nothing: mark the ticket as unused, so
 * that it may be used for the same or another body.
 */
void ticket_mark_unused(struct ticket_registry *, const char *);
/* Drop the records of tickets issued more than TICKET_LIFETIME ago. */
void ticket_registry_tick(struct ticket_registry *, msec);
/* Memory used by the records of used tickets, in bytes. */
size_t ticket_registry_memory(const struct ticket_registry *);

#endif /* TICKET_H */
