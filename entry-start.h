/*
 * Guards the start of a node against a store that was restored from an older
 * copy. Such a store may return an older configuration than the newest one that
 * other nodes have already received. A starting node therefore queries some of
 * them for the newest version and the age of the store's era before it uses the
 * configuration that it has read. If no node answers, because all were killed
 * together, it uses that configuration. Where keys fail closed, the
 * configuration then counts as proven to be the newest only once the store's
 * era has settled (see entry_era_proves_newest()).
 */

#ifndef ENTRY_START_H
#define ENTRY_START_H

#include "loop.h"
#include "member.h"
#include "proto.h"
#include "route.h"
#include "savory.h"

struct entry;

struct entry_start {
	struct loop_timer timer;
	bool querying; /* other nodes are being queried */
	bool done;
	uint32_t seq;		/* of the queries; answers repeat it */
	msec query_deadline;	/* the queries end then at the latest */
	uint64_t version;	/* the newest in any answer */
	bool nodes_listed;	/* the source has listed the nodes */
	GArray *nodes;		/* struct vm: nodes to query, in this order */
	guint next;		/* index in `nodes` */
	GHashTable *responders; /* name_id: nodes that have answered */
	unsigned int informed;	/* answers with a configuration version */
	bool unanswered;	/* no node answered with a version */
	struct route_table *table; /* deferred; NULL: none */
	/*
	 * When the read that found no configuration newer than `table` was
	 * sent; MSEC_NEVER: there was none.
	 */
	msec read_sent_at;
};

void entry_start_init(struct entry *);
void entry_start_finish(struct entry *);
/*
 * Returns true while a configuration must be deferred: during the start, unless
 * the store names no eras.
 */
bool entry_start_must_defer(const struct entry *);
/*
 * Defers a configuration until other nodes have answered, replacing one that is
 * deferred already. Takes over the reference.
 */
void entry_start_defer_table(struct entry *, struct route_table *, msec);
/* A read sent at time `read_sent_at` found no configuration newer than this. */
void entry_start_defer_proof(struct entry *, msec read_sent_at);
/* Called by the source with the nodes that are registered at the platform. */
void
entry_start_set_nodes(struct entry *, const struct vm *, unsigned int, msec);
/* Handles a message of kind SP_START_ASK or SP_START_TELL. */
void entry_start_receive(struct entry *, name_id from, uint32_t address,
    uint16_t port, const sp_msg *, msec);

#endif /* ENTRY_START_H */
