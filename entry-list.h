/*
 * The list of servers, passed between nodes. Changes go from a node that read
 * them to those that poll it. A node that the platform refuses, or whose list
 * was not confirmed for a while, asks others for what differs: it sends a mark
 * of each range of server ids, and is sent all servers of the ranges whose
 * marks differ, if the other node has read further in the platform's log.
 */

#ifndef ENTRY_LIST_H
#define ENTRY_LIST_H

#include "proto.h"
#include "savory.h"

struct entry;

/* Servers in one message: fits a datagram even with names of maximum length. */
#define LIST_SERVERS_PER_MESSAGE 3

struct entry_list {
	uint32_t seq;
	msec asked; /* last query; MSEC_NEVER: none */
	/*
	 * Position in the log of the newest list from another node, by range:
	 * older records and parts change nothing there.
	 */
	uint64_t applied[SAVORY_LIST_RANGES];
	uint64_t parts, dropped; /* counters: parts applied, and ignored */
};

void entry_list_init(struct entry *);
/* The log is read anew, perhaps of another era: forgets positions in it. */
void entry_list_reset(struct entry *);
/* Has a newer list from another node been applied to this server? */
bool
entry_list_is_newer(const struct entry *, const char *name, uint64_t position);
/* Sends servers that changed since the last call to these nodes. */
void entry_list_send_changes(struct entry *, const name_id *, unsigned int);
/* Handles a message of kind SP_RELAY_SERVERS. */
void entry_list_receive_changes(
    struct entry *, name_id from, const sp_relay_servers *, msec);
/* Handles a message of kind SP_LIST_ASK or SP_LIST_PART. */
void entry_list_receive(struct entry *, name_id from, uint32_t address,
    uint16_t port, const sp_msg *, msec);
void entry_list_tick(struct entry *, msec);

#endif /* ENTRY_LIST_H */
