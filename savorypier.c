/*
 * The command-line tool. cmd-table.c lists its commands.
 */

#define LOG_PART "tool"
#include "cmd.h"

#include <argp.h>
#include <curl/curl.h>

const char *argp_program_version = "savorypier " SAVORY_VERSION;

int
main(int argc, char **argv)
{
	const char *level = g_getenv("SAVORYPIER_LOG_LEVEL");
	struct cmd c;

	if (!log_open(level != NULL ? level : "warning", false))
		log_open("warning", false);
	if (!cmd_parse(&c, argc, argv, 0))
		return CMD_USAGE;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return c.entry->exec(&c);
}
