/*
 * Polls engines for load reports, which lag behind, for the policies that use
 * them. The "owner" policy does not: an owner counts what it has granted.
 */

#define LOG_PART "load"
#include "daemon.h"

#include <string.h>

#define LOAD_EVERY_MS 250
#define LOAD_TIMEOUT_MS 1000

static void
load_fetched(struct daemon *d, struct fetch *f, msec now)
{
	name_id *engine = f->arg;

	if (f->status == 200 && f->json != NULL)
		dispatch_set_load(&d->dispatch, now, *engine,
		    (unsigned int)json_integer_value(
			json_object_get(f->json, "running")),
		    (unsigned int)json_integer_value(
			json_object_get(f->json, "waiting")));
}

static void
load_poll(struct daemon *d, const struct backend *b)
{
	char at[ENDPOINT_SIZE];
	struct fetch *f = g_new0(struct fetch, 1);

	f->url = g_strdup_printf(
	    "http://%s/v1/load", endpoint_text(at, b->vm.address, b->vm.port));
	f->timeout = LOAD_TIMEOUT_MS;
	f->done = load_fetched;
	f->arg = g_memdup2(&b->id, sizeof b->id);
	f->arg_free = g_free;
	fetch_start(d, f);
}

void
daemon_load_tick(struct daemon *d, msec now)
{
	struct backend *b;

	if (now < d->load_due || strcmp(d->settings.policy, "owner") == 0)
		return;
	d->load_due = now + LOAD_EVERY_MS;
	RB_FOREACH (b, backend_tree, &d->backends) {
		if (strcmp(b->vm.kind, "engine") == 0)
			load_poll(d, b);
	}
}
