/*
 * savorypierd: the daemon on every entry VM. Reads arguments and settings, then
 * starts and stops the daemon's parts in order.
 */

#define LOG_PART "main"
#include "daemon.h"
#include "platform/main.h"

#include <sys/random.h>

#include <argp.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define EXIT_SETTINGS 2

const char *argp_program_version = "savorypierd " SAVORY_VERSION;

struct arguments {
	const char *config;
	bool check;
};

static const struct argp_option options[] = {
	{ "config", 'c', "FILE", 0, "Settings in YAML (required)", 0 },
	{ "check", 'n', NULL, 0, "Check the settings and exit", 0 },
	{ 0 },
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case 'c':
		a->config = arg;
		return 0;
	case 'n':
		a->check = true;
		return 0;
	case ARGP_KEY_END:
		if (a->config == NULL)
			argp_error(state, "--config is missing");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = { options, parse_option, NULL,
	"Route language-model traffic with service levels and priorities.",
	NULL, NULL, NULL };

/*
 * Blocked in all threads; those that arrive during the start stay pending until
 * the event loop reads them from a signalfd.
 */
static void
main_block_signals(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	sigaddset(&set, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

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
main(int argc, char **argv)
{
	static struct daemon d;
	struct arguments args = { 0 };
	struct findings findings;
	int rc = EXIT_SETTINGS;

	main_block_signals();
	argp_err_exit_status = EXIT_SETTINGS;
	argp_parse(&argp, argc, argv, 0, NULL, &args);
	findings_init(&findings);
	if (!settings_load(&d.settings, args.config, &findings))
		findings_print(&findings, stderr);
	else if (args.check)
		rc = EXIT_SUCCESS;
	else if (d.settings.store.port != 0)
		rc = platform_main(&d.settings, args.config);
	else if (log_open(d.settings.log_level, d.settings.log_json))
		rc = main_run(&d);
	findings_finish(&findings);
	settings_finish(&d.settings);
	return rc;
}
