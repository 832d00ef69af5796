/*
 * The table of commands; parses the command line by it.
 */

#define LOG_PART "tool"
#include "cmd.h"

#include <argp.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Keys of long options, above the characters of short ones. */
#define KEY_GLOBAL 0x100
#define KEY_COMMAND 0x200

extern const struct cmd_entry cmd_publish_entry;
extern const struct cmd_entry cmd_show_entry;
extern const struct cmd_entry cmd_history_entry;
extern const struct cmd_entry cmd_diff_entry;
extern const struct cmd_entry cmd_status_entry;
extern const struct cmd_entry cmd_dump_entry;
extern const struct cmd_entry cmd_drain_entry;
extern const struct cmd_entry cmd_entry_entry;
extern const struct cmd_entry cmd_check_entry;
extern const struct cmd_entry cmd_send_entry;
extern const struct cmd_entry cmd_top_entry;
extern const struct cmd_entry cmd_explain_entry;

static error_t parse_global(int, char *, struct argp_state *);
static error_t parse_name(int, char *, struct argp_state *);
static error_t parse_command(int, char *, struct argp_state *);
static char *help_commands(int, const char *, void *);

const struct cmd_entry *const cmd_table[] = { &cmd_check_entry, &cmd_diff_entry,
	&cmd_drain_entry, &cmd_dump_entry, &cmd_entry_entry, &cmd_explain_entry,
	&cmd_history_entry, &cmd_publish_entry, &cmd_send_entry,
	&cmd_show_entry, &cmd_status_entry, &cmd_top_entry, NULL };

enum global_index {
	GLOBAL_LOG,
	GLOBAL_CONTROL,
	GLOBAL_PEER_KEY_FILE,
	GLOBAL_JSON
};

const struct cmd_option cmd_globals[] = {
	[GLOBAL_LOG] = { "log", "URL",
	    "the log service (default: SAVORYPIER_LOG)" },
	[GLOBAL_CONTROL] = { "control", "IP:PORT",
	    "control address of any node (default: SAVORYPIER_CONTROL)" },
	[GLOBAL_PEER_KEY_FILE] = { "peer-key-file", "FILE",
	    "file with the nodes' key (default: SAVORYPIER_PEER_KEY)" },
	[GLOBAL_JSON] = { "json", NULL, "print JSON" },
	{ NULL },
};

const struct cmd_entry *
cmd_find(const char *name)
{
	unsigned int i;

	for (i = 0; cmd_table[i] != NULL; i++) {
		if (strcmp(cmd_table[i]->name, name) == 0)
			return cmd_table[i];
	}
	return NULL;
}

static unsigned int
options_count(const struct cmd_option *o)
{
	unsigned int n = 0;

	while (o != NULL && o[n].name != NULL)
		n++;
	return n;
}

/* Convert a table of options to argp's. */
static struct argp_option *
options_argp(const struct cmd_option *o, int key)
{
	unsigned int i, n = options_count(o);
	struct argp_option *a = g_new0(struct argp_option, n + 1);

	for (i = 0; i < n; i++) {
		a[i].name = o[i].name;
		a[i].key = key + (int)i;
		a[i].arg = o[i].arg;
		a[i].doc = o[i].about;
	}
	return a;
}

static error_t
parse_global(int key, char *arg, struct argp_state *state)
{
	struct cmd *c = state->input;

	switch (key - KEY_GLOBAL) {
	case GLOBAL_LOG:
		c->log_url = arg;
		return 0;
	case GLOBAL_CONTROL:
		c->control = arg;
		return 0;
	case GLOBAL_PEER_KEY_FILE:
		c->peer_key_file = arg;
		return 0;
	case GLOBAL_JSON:
		c->json = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* The first pass ends at the command's name; its options follow the name. */
static error_t
parse_name(int key, char *arg, struct argp_state *state)
{
	struct cmd *c = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = c;
		return 0;
	case ARGP_KEY_ARG:
		if ((c->entry = cmd_find(arg)) == NULL) {
			argp_error(state, "unknown command \"%s\"", arg);
			return EINVAL;
		}
		c->nargs = state->next - 1;
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "expected a command");
		return EINVAL;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t
parse_option(struct cmd *c, unsigned int i, char *arg, struct argp_state *state)
{
	const struct cmd_option *o = &c->entry->options[i];

	if (o->number &&
	    !g_ascii_string_to_unsigned(arg, 10, 0, INT64_MAX, NULL, NULL)) {
		argp_error(
		    state, "--%s: expected a number, got \"%s\"", o->name, arg);
		return EINVAL;
	}
	c->values[i] = arg != NULL ? arg : "";
	return 0;
}

static error_t
parse_command(int key, char *arg, struct argp_state *state)
{
	struct cmd *c = state->input;
	unsigned int n = options_count(c->entry->options);

	if (key >= KEY_COMMAND && key < KEY_COMMAND + (int)n)
		return parse_option(c, key - KEY_COMMAND, arg, state);
	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = c;
		return 0;
	case ARGP_KEY_ARG:
		if (c->nargs == c->entry->max) {
			argp_error(state, "too many arguments");
			return EINVAL;
		}
		c->args[c->nargs++] = arg;
		return 0;
	case ARGP_KEY_END:
		if (c->nargs < c->entry->min) {
			argp_error(state, "expected %s", c->entry->args);
			return EINVAL;
		}
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* The list of commands under the general help. */
static char *
help_commands(int key, const char *text, void *arg)
{
	GString *s;
	unsigned int i;

	if (key != ARGP_KEY_HELP_POST_DOC)
		return (char *)text;
	s = g_string_new("Commands:\n");
	for (i = 0; cmd_table[i] != NULL; i++)
		g_string_append_printf(s, "  %-8s %-14s %s\n",
		    cmd_table[i]->name, cmd_table[i]->args,
		    cmd_table[i]->usage);
	/* argp frees it with free(), which is what g_free() calls. */
	return g_string_free(s, FALSE);
}

/* Find the command; the index of its name in argv, or 0. */
static int
parse_first(struct cmd *c, int argc, char **argv, unsigned int flags,
    const struct argp_child *children)
{
	const struct argp argp = { NULL, parse_name, "COMMAND [ARG...]",
		"Operate savorypier: publish documents, see and drain nodes.",
		children, help_commands, NULL };
	int at;

	if (argp_parse(&argp, argc, argv, flags | ARGP_IN_ORDER, NULL, c) != 0)
		return 0;
	at = (int)c->nargs;
	c->nargs = 0;
	return at;
}

bool
cmd_parse(struct cmd *c, int argc, char **argv, unsigned int flags)
{
	g_autofree struct argp_option *globals =
	    options_argp(cmd_globals, KEY_GLOBAL);
	g_autofree struct argp_option *options = NULL;
	g_autofree char *title = NULL;
	g_autofree char **rest = NULL;
	const struct argp global = { globals, parse_global };
	const struct argp_child children[] = {
		{ &global, 0, "Options of all commands:", 0 }, { NULL }
	};
	struct argp argp = { NULL, parse_command, .children = children };
	int at;

	memset(c, 0, sizeof *c);
	c->log_url = g_getenv("SAVORYPIER_LOG");
	c->control = g_getenv("SAVORYPIER_CONTROL");
	argp_err_exit_status = CMD_USAGE;
	if ((at = parse_first(c, argc, argv, flags, children)) == 0)
		return false;
	options = options_argp(c->entry->options, KEY_COMMAND);
	title = g_strdup_printf("%s %s", argv[0], c->entry->name);
	rest = g_memdup2(argv + at, (argc - at + 1) * sizeof *argv);
	rest[0] = title;
	argp.options = options;
	argp.args_doc = c->entry->args;
	argp.doc = c->entry->usage;
	return argp_parse(&argp, argc - at, rest, flags, NULL, c) == 0;
}

const char *
cmd_value(const struct cmd *c, const char *name)
{
	const struct cmd_option *o = c->entry->options;
	unsigned int i;

	for (i = 0; o != NULL && o[i].name != NULL; i++) {
		if (strcmp(o[i].name, name) == 0)
			return c->values[i];
	}
	return NULL;
}

uint64_t
cmd_number(const struct cmd *c, const char *name, uint64_t or)
{
	const char *s = cmd_value(c, name);

	return s == NULL ? or : g_ascii_strtoull(s, NULL, 10);
}
