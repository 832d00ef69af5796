/*
 * What the daemon's programs share: arguments, settings and signals. Each has a
 * daemon_main() of its own.
 */

#ifndef DAEMON_MAIN_H
#define DAEMON_MAIN_H

#include "settings.h"

#define DAEMON_EXIT_SETTINGS 2

/* Runs with the settings read from `file`; returns the exit status. */
int daemon_main(struct settings *, const char *file);

#endif /* DAEMON_MAIN_H */
