/*
 * Signs of life of a backend server's process: any byte that it has sent. The
 * server's host takes connections and bytes also while the process stands
 * still, and the process reads them when it goes on, so neither a connection
 * nor an acknowledgement is a sign.
 *
 * The module does no I/O.
 */

#ifndef SERVER_SIGN_H
#define SERVER_SIGN_H

#include "savory.h"

/*
 * A process that has sent nothing for so long may stand still: it is asked
 * before it gets another request.
 */
#define SERVER_SIGN_WAIT_MS 500

/* All zero bytes: nothing was sent to the server yet. */
struct server_sign {
	bool awaited; /* something was sent since the last sign */
	msec since;   /* the first of it was sent */
};

/* A request, or a question that is answered at once, was sent. */
void server_sign_sent(struct server_sign *, msec);
/* The process has sent something. */
void server_sign_heard(struct server_sign *);
/* For how many ms a sign has been awaited; -1: none is. */
msec server_sign_awaited(const struct server_sign *, msec);

#endif /* SERVER_SIGN_H */
