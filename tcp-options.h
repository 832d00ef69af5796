/*
 * Options of a TCP connection that notice a peer whose host, or the path to it,
 * is gone: no reset comes from there.
 */

#ifndef TCP_OPTIONS_H
#define TCP_OPTIONS_H

#include <stdint.h>

/*
 * Send without delay, probe a connection that has been idle for so many seconds
 * each second, twice, and take the peer as gone after `unacked` ms.
 */
void tcp_set_options(int fd, int idle, int unacked);
/* The peer is taken as gone when it confirms no sent bytes for so many ms. */
void tcp_set_unacked(int fd, int unacked);
/* Sent bytes that the peer has not confirmed; -1: not known. */
int64_t tcp_unacknowledged(int fd);
/*
 * Closing the connection resets it: this host does not go on sending what the
 * peer has not confirmed.
 */
void tcp_set_reset(int fd);

#endif /* TCP_OPTIONS_H */
