/*
 * Internal interface between place.c (the node that received the request),
 * place-coordinate.c (the coordinator), place-rate.c and place-baseline.c.
 */

#ifndef PLACE_PRIVATE_H
#define PLACE_PRIVATE_H

#include "place.h"

/* Traffic statistics of a service by route; created on first use. */
struct mix *place_traffic(struct place_mixes *, name_id service);
void place_mixes_free(struct place_mixes *);
/*
 * Records a request in the statistics of its route; `all`: those of all nodes,
 * as coordinator, else those of this node.
 */
void
place_count_request(struct place *, msec, const struct server_wish *, bool all);

/* Number of groups of a service's servers; the group of a request. */
unsigned int place_count_groups(struct place *, name_id service);
unsigned int
place_group(struct place *, const struct server_wish *, unsigned int groups);
/* Returns the node that coordinates a group. */
name_id place_coordinator(struct place *, name_id service, unsigned int group);
/*
 * Returns the best server by the load of this node, and the server that it may
 * fetch the shared part of the prompt from; 0: none.
 */
struct server *
place_choose_server(struct place *, msec, const struct server_wish *,
    unsigned int groups, unsigned int group, name_id *source);

/*
 * Counts a request with its unread prompt tokens on a server; removes the
 * tokens once they are read; removes the request.
 */
void
place_load_add(struct server_load *, unsigned int rank, unsigned int tokens);
void
place_load_read(struct server_load *, unsigned int rank, unsigned int tokens);
void place_load_end(struct server_load *);

/* As coordinator: selects a server for a node's request and counts it. */
struct server *place_coordinate_request(struct place *, msec, name_id, uint32_t,
    const struct server_wish *, struct place_queue *, name_id *source);
/*
 * As coordinator: counts a request, with the queue found when it was placed;
 * NULL: another node placed it. `source`: its server fetches the shared part
 * of the prompt from that one. Returns the record, or
 * NULL if there is none.
 */
struct place_record *place_record_begin(struct place *, msec, name_id node,
    uint32_t id, struct server *, const struct server_wish *,
    const struct place_queue *, struct server *source);
/* As coordinator: handles a status message for a counted request. */
void place_step(struct place *, msec, name_id node, const sp_place_step *);
/* Maps the result of a request to its wire value. */
enum sp_place_what place_result_encode(enum server_result);
/* Drops expired requests; drops all. */
void place_expire_records(struct place *, msec);
void place_records_free(struct place *);

/*
 * Resends the rate limits received recently to the coordinators of their
 * servers; handles a rate limit received from another node.
 */
void place_resend_rates(struct place *, msec);
void place_rate_receive(struct place *, msec, name_id, const sp_place_rate *);
/*
 * As coordinator: lists up to SAVORY_RATED_MAX rate limits for a reply;
 * returns their number.
 */
unsigned int place_rates_list(
    struct place *, msec, const struct server_wish *, sp_place_rate *);

/* Selects a server by the configured baseline; NULL: none is available. */
struct server *
place_pick_baseline(struct place *, msec, const struct server_wish *);

#endif /* PLACE_PRIVATE_H */
