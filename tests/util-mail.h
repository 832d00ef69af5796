/*
 * Messages between nodes on virtual time, as they travel: encoded, on their
 * way for a few ms, some lost.
 */

#ifndef UTIL_MAIL_H
#define UTIL_MAIL_H

#include "proto.h"
#include "savory.h"

/* What takes a message that has arrived, from one node of the test at another.
 */
typedef void (*mail_fn)(void *from, void *to, const sp_msg *);

struct mail {
	GQueue queue;
	GRand *rand;
	unsigned int lost_permille;
	uint64_t sent, bytes; /* messages, and their encoded size */
};

void mail_init(struct mail *, GRand *);
void mail_finish(struct mail *);
void mail_send(struct mail *, msec, void *from, void *to, const sp_msg *);
/* What has arrived by now. */
void mail_deliver(struct mail *, msec, mail_fn);

#endif /* UTIL_MAIL_H */
