/*
 * Versions of their software at which the servers of each service have been
 * seen lately. Does no I/O.
 */

#ifndef SERVER_VERSION_H
#define SERVER_VERSION_H

#include "savory.h"

/* Versions of all services together. */
#define SERVER_VERSIONS_MAX 64
/*
 * A version that is new beside others begins few streams for this time, until
 * the other nodes know of it as well; see entry-version.c.
 */
#define SERVER_VERSION_HOLD_MS 2000

/* What a node knows about the versions of a service. */
enum version_view {
	VERSION_VIEW_ONE,    /* or none that is told */
	VERSION_VIEW_UNSURE, /* one in its view, which may be old */
	VERSION_VIEW_SEVERAL
};

/* A version of a service's software. */
struct server_version {
	name_id service;
	name_id software; /* 0: not told */
	msec seen;	  /* last time that a server had it */
	msec held_until;
};

/* Owned by the caller; zero is empty. */
struct server_versions {
	struct server_version list[SERVER_VERSIONS_MAX];
	unsigned int n;
	msec kept; /* a version counts for so long after its last server */
	msec full; /* one was dropped that still counted; 0: never */
	/* Services whose versions of before this node's start are known. */
	name_id known[SERVER_VERSIONS_MAX];
	unsigned int nknown;
	bool all_known;
};

/*
 * A server of the service has this version. `hold`: a new version is not used
 * at once.
 */
void server_versions_note(struct server_versions *, msec, name_id service,
    name_id software, bool hold);
/* No server of the service ever had this version: forget it. */
void server_versions_drop(
    struct server_versions *, name_id service, name_id software);
/* Returns true if the service has had several versions lately. */
bool
server_versions_differ(const struct server_versions *, msec, name_id service);
/* Returns true if servers of the service were seen and none told a version. */
bool server_versions_untold(const struct server_versions *, name_id service);
/* The only version that counts for a service; 0: none is told, or several. */
name_id
server_versions_only(const struct server_versions *, msec, name_id service);
/*
 * The list has all versions that a service had within `kept` before this node's
 * start, too; 0: that holds for all services.
 */
void server_versions_set_known(struct server_versions *, name_id service);
bool server_versions_are_known(const struct server_versions *, name_id service);
/* Versions told within the last `span` ms; returns their number. */
unsigned int server_versions_since(const struct server_versions *, msec,
    name_id service, msec span, name_id *, unsigned int most);
/* Returns true while a version is not to be used for new streams. */
bool server_version_is_held(
    const struct server_versions *, msec, name_id service, name_id software);

#endif /* SERVER_VERSION_H */
