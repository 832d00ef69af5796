/*
 * savorypierd-entry: the daemon on a platform with a store only. It needs few
 * libraries, as a signal that arrives while these are loaded ends the process.
 */

#include "daemon-main.h"
#include "platform/main.h"
#include "savory.h"

#include <stdio.h>

const char *argp_program_version = "savorypierd-entry " SAVORY_VERSION;

int
daemon_main(struct settings *settings, const char *file)
{
	if (settings->store.port != 0)
		return platform_main(settings, file);
	fputs("savorypierd-entry: platform.store is not set\n", stderr);
	return DAEMON_EXIT_SETTINGS;
}
