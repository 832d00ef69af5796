/*
 * savorypierd: the daemon on every entry VM. Starts and stops the daemon's
 * parts in order.
 */

#define LOG_PART "main"
#include "daemon-main.h"
#include "daemon.h"
#include "platform/main.h"

#include <sys/random.h>

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

const char *argp_program_version = "savorypierd " SAVORY_VERSION;

/*
 * Returns a number that grows with each start of a node, on any VM: the wall
 * clock in microseconds. If the clock was set back, peers report their higher
 * incarnation, and the membership code raises this node's above it.
 */
static uint64_t
main_incarnation(void)
{
	return (uint64_t)g_get_real_time();
}

static bool
main_start(struct daemon *d)
{
	msec now = msec_now();
	unsigned int i;

	d->started = now;
	d->incarnation = main_incarnation();
	d->rng = g_rand_new();
	TAILQ_INIT(&d->calls);
	d->metrics = g_new0(struct metrics, 1);
	metrics_init(d->metrics);
	request_shared_init(&d->book, &daemon_request_ops);
	if (!ring_init(&d->events, DAEMON_RING_SIZE) ||
	    !ring_init(&d->log_events, DAEMON_RING_SIZE))
		return false;
	daemon_docs_init(d);
	daemon_placement_init(d);
	if (!daemon_peers_init(d, now)) {
		log_warn("cannot use the peer address");
		return false;
	}
	d->joins = join_table_new();
	ticket_registry_init(&d->tickets, d->settings.node, d->incarnation,
	    d->settings.peer_key);
	if ((d->fetch = fetch_thread_start(d)) == NULL)
		return false;
	d->engines = g_new0(struct engine_thread *, d->settings.engine_threads);
	for (i = 0; i < d->settings.engine_threads; i++) {
		if ((d->engines[i] = engine_thread_start(d)) == NULL)
			return false;
	}
	d->log = log_io_start(d->settings.log_url, &d->log_events, 20);
	daemon_ledger_init(d);
	log_io_follow(d->log, LOG_STREAM_DOCUMENTS, 1);
	return daemon_watch_open(d) && daemon_http_start(d);
}

/* Frees events that will not be handled any more, and their references. */
static void
main_drop_events(struct daemon *d)
{
	struct log_event *le;
	struct event *e;

	while ((e = ring_get(&d->events)) != NULL) {
		if (e->call != NULL)
			call_drop(e->call);
		/* The core has ended: done() is not called. */
		if (e->kind == EVENT_FETCHED)
			fetch_free(e->fetch);
		g_free(e);
	}
	while ((le = ring_get(&d->log_events)) != NULL)
		log_event_free(le);
}

static void
main_stop(struct daemon *d)
{
	unsigned int i;

	daemon_http_stop(d);
	daemon_watch_close(d);
	daemon_ledger_finish(d);
	log_io_stop(d->log);
	for (i = 0; i < d->settings.engine_threads; i++)
		engine_thread_stop(d->engines[i]);
	g_free(d->engines);
	fetch_thread_stop(d->fetch);
	main_drop_events(d);
	join_table_free(d->joins);
	ticket_registry_finish(&d->tickets);
	daemon_peers_finish(d);
	daemon_placement_finish(d);
	daemon_docs_finish(d);
	ring_finish(&d->events);
	ring_finish(&d->log_events);
	metrics_finish(d->metrics);
	g_free(d->metrics);
	g_rand_free(d->rng);
}

static int
main_run(struct daemon *d)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (!main_start(d))
		return EXIT_FAILURE;
	log_info("%s in %s: started", d->settings.node, d->settings.domain);
	if (!daemon_run(d))
		return EXIT_FAILURE;
	main_stop(d);
	curl_global_cleanup();
	log_info("ended");
	return EXIT_SUCCESS;
}

int
daemon_main(struct settings *settings, const char *file)
{
	static struct daemon d;
	int rc;

	if (settings->store.port != 0)
		return platform_main(settings, file);
	if (!log_open(settings->log_level, settings->log_json))
		return DAEMON_EXIT_SETTINGS;
	d.settings = *settings;
	*settings = (struct settings){ 0 };
	rc = main_run(&d);
	settings_finish(&d.settings);
	return rc;
}
