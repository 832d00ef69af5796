/*
 * Versions of the servers' software; see server-version.h.
 */

#define LOG_PART "server"
#include "server-version.h"

static struct server_version *
version_find(
    const struct server_versions *vs, name_id service, name_id software)
{
	unsigned int i;

	for (i = 0; i < vs->n; i++) {
		if (vs->list[i].service == service &&
		    vs->list[i].software == software)
			return (struct server_version *)&vs->list[i];
	}
	return NULL;
}

static bool
version_counts(
    const struct server_versions *vs, const struct server_version *v, msec now)
{
	return now - v->seen < vs->kept;
}

/* A free place, or that of the version that was not seen for longest. */
static struct server_version *
version_place(struct server_versions *vs, msec now)
{
	struct server_version *oldest = &vs->list[0];
	unsigned int i;

	if (vs->n < SERVER_VERSIONS_MAX)
		return &vs->list[vs->n++];
	for (i = 1; i < vs->n; i++) {
		if (vs->list[i].seen < oldest->seen)
			oldest = &vs->list[i];
	}
	if (version_counts(vs, oldest, now))
		vs->full = now;
	return oldest;
}

/* Number of versions of a service that count. */
static unsigned int
versions_count(const struct server_versions *vs, msec now, name_id service)
{
	unsigned int i, n = 0;

	for (i = 0; i < vs->n; i++)
		n += vs->list[i].service == service &&
		     version_counts(vs, &vs->list[i], now);
	return n;
}

void
server_versions_note(struct server_versions *vs, msec now, name_id service,
    name_id software, bool hold)
{
	struct server_version *v = version_find(vs, service, software);
	bool beside;

	if (v != NULL && version_counts(vs, v, now)) {
		v->seen = now;
		return;
	}
	beside = versions_count(vs, now, service) > 0;
	if (v == NULL)
		v = version_place(vs, now);
	*v = (struct server_version){ .service = service,
		.software = software,
		.seen = now,
		.held_until =
		    hold && beside ? now + SERVER_VERSION_HOLD_MS : 0 };
}

void
server_versions_drop(
    struct server_versions *vs, name_id service, name_id software)
{
	struct server_version *v = version_find(vs, service, software);

	if (v != NULL)
		*v = vs->list[--vs->n];
}

bool
server_versions_differ(
    const struct server_versions *vs, msec now, name_id service)
{
	if (vs->full != 0 && now - vs->full < vs->kept)
		return true;
	return versions_count(vs, now, service) > 1;
}

name_id
server_versions_only(
    const struct server_versions *vs, msec now, name_id service)
{
	name_id only = 0;
	unsigned int i;

	if (server_versions_differ(vs, now, service))
		return 0;
	for (i = 0; i < vs->n; i++) {
		if (vs->list[i].service == service &&
		    version_counts(vs, &vs->list[i], now))
			only = vs->list[i].software;
	}
	return only;
}

bool
server_versions_untold(const struct server_versions *vs, name_id service)
{
	bool seen = false;
	unsigned int i;

	for (i = 0; i < vs->n; i++) {
		if (vs->list[i].service != service)
			continue;
		if (vs->list[i].software != 0)
			return false;
		seen = true;
	}
	return seen;
}

void
server_versions_set_known(struct server_versions *vs, name_id service)
{
	if (service == 0)
		vs->all_known = true;
	else if (!server_versions_are_known(vs, service) &&
		 vs->nknown < SERVER_VERSIONS_MAX)
		vs->known[vs->nknown++] = service;
}

bool
server_versions_are_known(const struct server_versions *vs, name_id service)
{
	unsigned int i;

	for (i = 0; i < vs->nknown; i++) {
		if (vs->known[i] == service)
			return true;
	}
	return vs->all_known;
}

unsigned int
server_versions_since(const struct server_versions *vs, msec now,
    name_id service, msec span, name_id *list, unsigned int most)
{
	unsigned int i, n = 0;

	for (i = 0; i < vs->n && n < most; i++) {
		if (vs->list[i].service == service &&
		    vs->list[i].software != 0 && now - vs->list[i].seen < span)
			list[n++] = vs->list[i].software;
	}
	return n;
}

bool
server_version_is_held(const struct server_versions *vs, msec now,
    name_id service, name_id software)
{
	const struct server_version *v = version_find(vs, service, software);

	return v != NULL && now < v->held_until;
}
