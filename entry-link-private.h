/*
 * Internal interface between the files entry-link*.c.
 */

#ifndef ENTRY_LINK_PRIVATE_H
#define ENTRY_LINK_PRIVATE_H

#include "entry.h"

/* Sent bytes unacknowledged for so long: the network path is lost. */
#define LINK_UNACKED_MS 1500
/*
 * The same of a request that no other server can take over, as it may run only
 * once or there is none. A sound server may be silent for seconds.
 */
#define LINK_PATIENT_UNACKED_MS (15 * MSEC_SECOND)

/* ---- The pool and the life of a link: entry-link.c ---- */

/* The pool of the server's links; made if there is none. */
struct link_pool *link_pool_of(struct server *);
/* Move the link to another list of its server's pool; NULL: to none. */
void link_set_list(struct link *, struct link_list *);
/* The link must not be in the pool. */
void link_free(struct link *);
/* End the attempt in this way, and free the link. */
void link_end(struct link *, enum link_end, msec);
/* End the attempt without a complete answer and free the link. */
void link_fail(struct link *, msec);
/*
 * Has the server left an idle connection open? A close may have arrived that
 * the loop has not processed in this turn. A request sent after it cannot be
 * retried if it may run only once, and its caller would get 502. No data is
 * expected on an idle connection, so anything readable means that it is
 * unusable.
 */
bool link_is_open(const struct link *);
/* Wait for the events that the link's state needs. */
void link_watch(struct link *);
/* False when the link failed. */
bool link_flush(struct link *);
/* The answer was whole: keep the connection for a later request. */
void link_to_pool(struct link *, msec);
/* Callbacks of the link's socket and of its timer. */
void link_ready(struct loop_io *, uint32_t);
void link_timer(struct loop_timer *, msec);

/* ---- New connections: entry-link-connect.c ---- */

/* A backend server, not another node. */
bool link_leads_to_server(struct entry *, const struct server *);
/* Opens a socket to the link's server and waits for the connection. */
bool link_begin_connect(struct link *);
/* No connection can be begun, and the attempt has no link yet: free it. */
void link_discard(struct link *, msec);
/* A new link to the server; NULL: no connection can be begun. */
struct link *link_connect(struct entry *, struct server *, bool, msec);
/* The socket is ready; false when the connection failed. */
bool link_connected(struct link *);

/* ---- Before a request is sent: entry-link-prove.c ---- */

/*
 * Does the link lead to the server's current process, which accepts work? Other
 * connections are neither kept nor waited for: the request would go to a
 * stopping process, or to the next user of its address.
 */
bool link_is_current(const struct link *);
/* Has the server's host received all that was sent? */
bool link_is_confirmed(const struct link *);
/*
 * Send the head without its last byte: a server cannot run it, so the request
 * may go elsewhere if the connection turns out to be dead. The last byte sent
 * is a segment of its own, as hosts delay the acknowledgement of a single one
 * for 40 ms. False when nothing can be sent.
 */
bool link_begin_proof(struct link *, msec);
/* The proof failed: connect again. False when that is not possible. */
bool link_prove_anew(struct link *, msec);
/* The connection that was to be proved has ended. */
void link_proof_failed(struct link *, msec);
/* Has the proof arrived? */
void link_check_proof(struct link *, msec);
/* Ask the server first; the request follows link_was_told(). */
void link_hold_request(struct link *, const struct link_terms *);
/* Wait for the answer, if one is due. */
void link_await_told(struct link *, msec);
/* A kept connection may have been dead: ask on a new one. */
bool link_ask_again(struct link *, msec);
/* A process that only paused answers what it was asked as it goes on. */
void link_await_sign_on(struct link *, msec);
/* The answer is complete: send the request on the same connection. */
void link_was_told(struct link *, bool, msec);

/* ---- Answers: entry-link-read.c ---- */

/* Callback of the reader: bytes of the answer's body. */
void link_answer_body(struct http_reader *, const char *, size_t);
/* After the end of the answer: the request was taken, or time is up. */
void link_check_ended(struct link *, msec);
/* The answer has ended: write the rest of the request. */
void link_ended_ready(struct link *, uint32_t, msec);
/* Read from the server; may free the link. */
void link_read(struct link *, msec);

/* ---- Requests that their servers may still find: entry-link-held.c ---- */

/*
 * Guards against a request that was given up and runs later: after an orderly
 * close this host would go on sending what is unacknowledged. Where nothing is,
 * an orderly close is better, as it is repeated until it arrives.
 */
void link_give_up(struct link *);
/* Guards against a request that arrives long after its server has left. */
void link_check_held(struct link *, msec);
/* Its server takes no more work: its timer ends it, if need be, at once or
 * later. */
void link_server_leaves(struct link *, msec);

#endif /* ENTRY_LINK_PRIVATE_H */
