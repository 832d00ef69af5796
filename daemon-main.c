/*
 * Start of the daemon's programs: signals, arguments and settings.
 */

#include "daemon-main.h"

#include <argp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>

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

int
main(int argc, char **argv)
{
	struct settings settings = { 0 };
	struct arguments args = { 0 };
	struct findings findings;
	int rc = DAEMON_EXIT_SETTINGS;

	main_block_signals();
	argp_err_exit_status = DAEMON_EXIT_SETTINGS;
	argp_parse(&argp, argc, argv, 0, NULL, &args);
	findings_init(&findings);
	if (!settings_load(&settings, args.config, &findings))
		findings_print(&findings, stderr);
	else if (args.check)
		rc = 0;
	else
		rc = daemon_main(&settings, args.config);
	findings_finish(&findings);
	settings_finish(&settings);
	return rc;
}
