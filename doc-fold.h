/*
 * Computes which service document is in force, by a deterministic fold over
 * the records of the documents stream in offset order. All folds with enough
 * history to judge a record reach the same verdict on it, regardless of the
 * offset they started at and of how the records were split into reads. Does
 * no input or output.
 *
 * Records (all with "format", "kind" and "id"; see log-record.h):
 *
 * {"kind": "doc-edit", "service", "base", "by", "text"}
 *	Publishes a text. `base` is the version that it edits, 0 for a new
 *	service. Accepted if the base is the version in force at its offset.
 * {"kind": "doc-checkpoint", "service", "at", "version", "text", "by",
 *  "wall_ms", "seen": [id, ...]}
 *	States what was in force for a service after the record at offset `at`.
 * {"kind": "doc-index", "at", "services": [name, ...]}
 *	Lists the services that had a document after the record at `at`.
 *
 * A fold that has read every record is exact and gains nothing from
 * checkpoints. A fold that lacks earlier records (it started late, or they
 * aged out before it read them) can't judge a service's edits until it reads
 * a *closed* checkpoint: the fold has read every record after `at`, and no
 * edit of that service lies between `at` and the checkpoint. Nothing can have
 * changed since `at` then, and the fold is exact for the service. In the same
 * way a closed index determines which services do not exist. Until then the
 * verdict on an edit is DOC_UNKNOWN. A checkpoint that was delayed past an
 * edit is not closed, for any fold.
 */

#ifndef DOC_FOLD_H
#define DOC_FOLD_H

#include "document.h"
#include "savory.h"

#include <jansson.h>

/* Number of recent edit ids kept for each service, to detect repeated edits. */
#define DOC_FOLD_JUDGED_IDS_MAX 256

/* The result of folding one record. */
enum doc_verdict {
	DOC_ACCEPTED,	/* an edit, in force from this offset on */
	DOC_CONFLICT,	/* its base was not in force; another edit won */
	DOC_REPEATED,	/* an edit with this id was judged before */
	DOC_REFUSED,	/* the text has findings */
	DOC_CHECKPOINT, /* a checkpoint or index with new information */
	DOC_STALE,	/* a checkpoint or index without any */
	DOC_UNKNOWN,	/* an edit that needs missing earlier records */
	DOC_SKIPPED	/* unknown kind, format, malformed or already folded */
};

/* The id of an edit that was judged. */
struct doc_edit_id {
	TAILQ_ENTRY(doc_edit_id) entry;
	char *id;
};
TAILQ_HEAD(doc_edit_id_list, doc_edit_id);

/* One service's document, from the records that this fold has read. */
struct doc_version {
	RB_ENTRY(doc_version) entry;
	char service[NAME_SIZE];
	uint64_t version; /* offset of the accepted edit */
	char *text;
	char *by;  /* who published it */
	msec wall; /* time of the edit's record */

	bool exact;	    /* certainly the version in force */
	uint64_t last_edit; /* newest edit record read, with any verdict */
	uint64_t anchor;    /* a fold reading from here on becomes exact */
	msec anchor_wall;   /* time of the record that makes it exact */
	struct doc_edit_id_list judged_ids;
	unsigned int njudged_ids;
	bool listed_by_index; /* while the document is not read yet */
};
RB_HEAD(doc_version_tree, doc_version);

/* All services as of offset `next`; `counts` by enum doc_verdict. */
struct doc_fold {
	struct doc_version_tree services; /* with a document */
	struct doc_version_tree unknown;  /* not read yet; version is 0 */
	uint64_t next;			  /* offset to read from */
	uint64_t read_from;    /* every record from here to `next` was read */
	bool complete;	       /* a service not in the tree does not exist */
	uint64_t last_create;  /* newest edit record with base 0 */
	uint64_t index_anchor; /* like doc_version.anchor, for `complete` */
	msec index_wall;
	uint64_t counts[DOC_SKIPPED + 1];
};

/* Initialise a fold that reads from offset 1; free what it holds. */
void doc_fold_init(struct doc_fold *);
void doc_fold_finish(struct doc_fold *);
/*
 * Fold one record: offset, wall time, data, length. On DOC_CONFLICT
 * doc_fold_find() returns the winning version.
 */
enum doc_verdict
doc_fold_apply(struct doc_fold *, uint64_t, msec, const char *, size_t);
/* The newest document read of a service, or NULL; see also `exact`. */
struct doc_version *doc_fold_find(struct doc_fold *, const char *);
/*
 * The log has deleted the records before offset `first`. True when the fold
 * had read all of them. False when it missed some: its documents may be out
 * of date until checkpoints or a peer's export make them exact again.
 */
bool doc_fold_gap(struct doc_fold *, uint64_t);
/* True when every service is exact, and no other exists, up to `next`. */
bool doc_fold_exact(const struct doc_fold *);

/*
 * Encode an edit record: service, base, by, text, id. NULL when the text is
 * longer than DOCUMENT_BYTES_MAX or is not UTF-8. To be freed.
 */
char *doc_edit_encode(
    const char *, uint64_t, const char *, const char *, const char *);
/*
 * Encode a checkpoint of an exact version, or an index of a complete fold,
 * with this id. NULL when it is not exact or complete.
 */
char *doc_checkpoint_encode(
    const struct doc_fold *, const struct doc_version *, const char *);
char *doc_index_encode(const struct doc_fold *, const char *);
/* Offsets of the kept records, the log's time now, longest age (0: any). */
struct doc_stream_range {
	uint64_t first;
	uint64_t next;
	msec wall;
	msec age_max;
};
/*
 * The service that most needs a checkpoint, because the record that makes a
 * late reader exact ages out soon, has aged out or does not exist; NULL when
 * none does. Any node may write it and duplicates do no harm, but one node at
 * a time saves appends.
 */
struct doc_version *
doc_fold_checkpoint_due(struct doc_fold *, const struct doc_stream_range *);
/* True when an index is due, for the same reasons. */
bool
doc_fold_index_due(const struct doc_fold *, const struct doc_stream_range *);

/*
 * Export the whole fold for a starting node, and import such an export. An
 * exact fold of a peer that has read further replaces this one, and reading
 * continues at its `next`; otherwise only newer versions are taken over.
 * False when the object is malformed, a text does not match its hash, or an
 * exact export lacks a version of this fold; then nothing has changed.
 */
json_t *doc_fold_export(const struct doc_fold *);
bool doc_fold_import(struct doc_fold *, const json_t *);
/* Sum of all versions: grows with every accepted edit; sent by gossip. */
uint64_t doc_fold_sum(const struct doc_fold *);

RB_PROTOTYPE(doc_version_tree, doc_version, entry, doc_version_cmp)

#endif /* DOC_FOLD_H */
