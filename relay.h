/*
 * Knowing that nothing is new without everybody asking. Each node must know,
 * about once a second, that the configuration and the list of servers it goes
 * by are the newest. Asked of the platform by each, that is the largest part
 * of all calls. So a few nodes read, and the others ask these: "what do you
 * know, and how old is it?" An answer that names what we have ourselves
 * proves it for us as well; one that names something else makes us read.
 *
 * Nobody is elected. Each node asks the one of its group that rendezvous
 * hashing over the live nodes gives, any node answers by what it knows, and
 * ages add up, so that nodes with different views are slower and never wrong.
 * A node that hears nothing in time reads by itself. When the one that it asks
 * is silent, or knows nothing new since the platform turns it away, the next by
 * weight is asked; who is asked again reads.
 *
 * A core without input or output.
 */

#ifndef RELAY_H
#define RELAY_H

#include "proto.h"
#include "savory.h"

/* Nodes that ask one reader. More of them cost the reader's processor. */
#define RELAY_GROUP_NODES 40

/* What there is to know. */
enum relay_subject {
	RELAY_TABLE,   /* the configuration; its mark is the version */
	RELAY_SERVERS, /* the servers; the mark is servers_mark() */
	RELAY_SUBJECTS
};

/* What this node knows of one. */
struct relay_known {
	uint64_t mark; /* names what is in force here */
	msec proven;   /* it was the newest then; MSEC_NEVER: never */
	msec asked;    /* the newest read of our own that ended; -1: none */
	msec look;     /* another node knew otherwise then; -1: none */
	unsigned int failures; /* of our own reads in a row */
	msec retry_at;	       /* no read before, after failures */
};

/* A node that asked us; it is told of changes for a while. */
struct relay_asker {
	name_id node;
	msec at;
	msec before; /* the question before that one; 0: none */
};

/* Nodes of which a group's reader is one. */
#define RELAY_CANDIDATES 3

/* What a node counts of it. */
struct relay_counters {
	uint64_t asked;	 /* questions */
	uint64_t told;	 /* answers and news heard */
	uint64_t proofs; /* subjects proven by these */
	uint64_t news;	 /* changes that our own reads brought */
};

struct relay;

/* What the core calls; all must be given. */
struct relay_ops {
	/* Send to a node; may be dropped. Must not call back. */
	void (*send)(struct relay *, name_id, const sp_msg *);
	/* What is in force of a subject was the newest then. */
	void (*proven)(struct relay *, enum relay_subject, msec then);
	/* There is news of it: see relay_due(). */
	void (*look)(struct relay *, enum relay_subject, msec);
	/*
	 * Our read brought changes of it, and these nodes are about to be told
	 * so: what is sent to them now spares them a read.
	 */
	void (*news)(
	    struct relay *, enum relay_subject, const name_id *, unsigned int);
};

/* In the embedder's memory. */
struct relay {
	const struct relay_ops *ops;
	name_id self;
	msec every; /* what is known should be no older, in ms */
	struct relay_known known[RELAY_SUBJECTS];
	name_id reader; /* whom we ask; our own id: nobody, we read */
	name_id candidates[RELAY_CANDIDATES]; /* by weight; 0: none */
	unsigned int turn;		      /* which of them is asked */
	msec turned;	   /* since when it is not the first */
	unsigned int vain; /* questions in a row that proved nothing */
	bool answered;	   /* the newest question */
	uint32_t seq;	   /* of the newest question */
	msec asked;	   /* when it was asked */
	msec next_ask;
	struct relay_asker askers[RELAY_GROUP_NODES];
	struct relay_counters counters;
	void *arg; /* the embedder's */
};

/* Knows nothing yet and reads for itself; what it knows is to be no older than
 * ms. */
void
relay_init(struct relay *, const struct relay_ops *, name_id self, msec every);
/* The nodes that take work, ourselves among them when we do. */
void relay_set_nodes(struct relay *, const name_id *, unsigned int);
/*
 * A read of our own, sent at `asked`, came to the end: the mark names what is
 * in force. Those who asked lately are told when it is another than before.
 */
void relay_read(
    struct relay *, msec now, enum relay_subject, uint64_t mark, msec asked);
/* The same, but what was read cannot be put in force. */
void relay_read_in_vain(struct relay *, enum relay_subject, msec asked);
/*
 * A read of our own failed. The next one waits, longer each time, and is not
 * made at all while others prove what we know: a platform that is away for
 * some nodes only would be called by these several times a second.
 */
void relay_read_failed(struct relay *, msec now, enum relay_subject);
/* How long a read of our own can wait, in ms; 0: it is due. */
msec relay_due(const struct relay *, msec now, enum relay_subject);
/*
 * What another node passed on is in force as if we had read it; whether it is
 * the newest is not proven by that.
 */
void relay_took(struct relay *, enum relay_subject, uint64_t mark);
/*
 * What was read before proves nothing any more, whoever read it: all is to be
 * read anew. The marks of what is in force stay until then.
 */
void relay_forget(struct relay *);
/* A message of kind SP_RELAY_ASK or SP_RELAY_TELL. */
void relay_receive(struct relay *, msec now, name_id from, const sp_msg *);
/* Ask when it is time; when to call again. */
msec relay_tick(struct relay *, msec now);

#endif /* RELAY_H */
