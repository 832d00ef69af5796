/*
 * Streams go on only at the version of a service's software that began them;
 * see stream-version.h. This part connects it to requests and other nodes.
 */

#ifndef ENTRY_VERSION_H
#define ENTRY_VERSION_H

#include "loop.h"
#include "savory.h"
#include "stream-version.h"

struct entry;
struct job;
struct link;

/* The version, as a number, in a carrier's answer to the node that asked it. */
#define VERSION_SOFTWARE_FIELD "Savory-Software"

struct entry_versions {
	struct stream_versions_state core;
	struct loop_timer timer;
	uint64_t replaced; /* servers whose process was another than listed */
};

void entry_versions_init(struct entry *);
void entry_versions_finish(struct entry *);
/* Passes the live nodes to the core. */
void entry_versions_set_nodes(struct entry *);
/* Records may have to be written to the platform's store. */
void entry_versions_arm_timer(struct entry *);
/* Apply a new configuration: how long streams may be resumed. */
void entry_versions_take_table(struct entry *);
void entry_versions_receive(struct entry *, name_id from, const sp_msg *, msec);
/*
 * A request that takes up a stream: returns true if it may be sent now, to
 * servers of j->software_id if that is set. Otherwise the request waits and
 * job_attempt() follows, or has failed.
 */
bool entry_version_admit(struct job *, msec);
/*
 * Must the server's process be known to be the listed one before the request is
 * sent to it? A process may have been replaced by one of another version under
 * the same name since the list was read. entry_version_told() decides by what
 * the process says of itself.
 */
bool entry_version_needs_process(const struct job *);
bool entry_version_told(struct link *, const char *, size_t, msec);
/* The first event of the request's stream is about to be forwarded. */
void entry_version_begin(struct job *, msec);
/* Could another server resume the stream that has begun? */
bool entry_version_is_clear(const struct job *);
/* Has the service one version of software, or one that is not told? */
bool entry_version_is_single(const struct job *);
/* The request ends. */
void entry_version_release(struct job *);
void entry_versions_metrics(const struct entry *, GString *);

#endif /* ENTRY_VERSION_H */
