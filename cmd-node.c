/*
 * status, dump, drain, entry: query and control the nodes.
 */

#define LOG_PART "node"
#include "cmd.h"

#include <inttypes.h>
#include <string.h>

static enum cmd_retval cmd_status_exec(struct cmd *);
static enum cmd_retval cmd_dump_exec(struct cmd *);
static enum cmd_retval cmd_drain_exec(struct cmd *);
static enum cmd_retval cmd_entry_exec(struct cmd *);

const struct cmd_entry cmd_status_entry = {
	.name = "status",
	.args = "",
	.usage = "Show nodes, engines and the documents in force.",
	.exec = cmd_status_exec,
};

const struct cmd_entry cmd_dump_entry = {
	.name = "dump",
	.args = "NODE [PART]",
	.usage = "Print the state of a node's process.",
	.min = 1,
	.max = 2,
	.exec = cmd_dump_exec,
};

const struct cmd_entry cmd_drain_entry = {
	.name = "drain",
	.args = "NODE",
	.usage = "Let a node finish its work and leave.",
	.min = 1,
	.max = 1,
	.exec = cmd_drain_exec,
};

const struct cmd_entry cmd_entry_entry = {
	.name = "entry",
	.args = "",
	.usage = "Ask which address callers should use.",
	.options = (const struct cmd_option[]){ { "domain", "D",
						    "the caller's failure "
						    "domain" },
	    { NULL } },
	.exec = cmd_entry_exec,
};

/* A node whose own status is requested. */
struct status_request {
	const struct cmd *cmd;
	const char *name;
	const char *address;
	json_t *answer; /* NULL: it did not answer */
};

static const char *
json_text(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s != NULL ? s : "-";
}

json_t *
cmd_status(const struct cmd *c, enum cmd_retval *retval)
{
	g_autoptr(GError) error = NULL;
	json_t *o;

	if (c->control == NULL) {
		cmd_print_message(
		    "expected --control IP:PORT or SAVORYPIER_CONTROL");
		*retval = CMD_USAGE;
		return NULL;
	}
	o = control_call(c, "GET", c->control, "/control/status", &error);
	if (o != NULL)
		return o;
	/* A GET changes nothing, so it certainly took no effect. */
	if (error->code == SAVORY_ERROR_UNKNOWN)
		error->code = SAVORY_ERROR_UNREACHABLE;
	*retval = cmd_fail(error);
	return NULL;
}

static void
status_request_run(void *item)
{
	struct status_request *a = item;

	a->answer =
	    control_call(a->cmd, "GET", a->address, "/control/status", NULL);
}

static bool
member_is_dead(const json_t *member)
{
	return strcmp(json_text(member, "state"), "dead") == 0;
}

/* Request the status of each member that is not dead: {name: status}. */
static json_t *
status_request_all(const struct cmd *c, const json_t *members)
{
	size_t i, n = json_array_size(members);
	struct status_request *status_requests =
	    g_new0(struct status_request, n + 1);
	void **items = g_new0(void *, n + 1);
	json_t *all = json_object();
	const json_t *m;
	unsigned int nitems = 0;

	for (i = 0; i < n; i++) {
		m = json_array_get(members, i);
		status_requests[i].cmd = c;
		status_requests[i].name = json_text(m, "name");
		status_requests[i].address = json_text(m, "control");
		if (!member_is_dead(m))
			items[nitems++] = &status_requests[i];
	}
	cmd_run_parallel(items, nitems, status_request_run);
	for (i = 0; i < n; i++) {
		if (status_requests[i].answer != NULL)
			json_object_set_new(all, status_requests[i].name,
			    status_requests[i].answer);
	}
	g_free(items);
	g_free(status_requests);
	return all;
}

/* The version of a service in a node's status; 0: none. */
static json_int_t
status_version(const json_t *status, const char *service)
{
	const json_t *list = json_object_get(status, "documents"), *d;
	size_t i;

	json_array_foreach (list, i, d) {
		if (strcmp(json_text(d, "service"), service) == 0)
			return json_integer_value(
			    json_object_get(d, "version"));
	}
	return 0;
}

/* One service's newest version on any node, and the nodes without it. */
static json_t *
status_document(
    const json_t *members, const json_t *statuses, const char *service)
{
	const json_t *one, *m;
	json_int_t newest = 0;
	json_t *behind = json_array();
	unsigned int in_force = 0, of = 0;
	const char *name;
	size_t i;

	json_object_foreach ((json_t *)statuses, name, one)
		newest = MAX(newest, status_version(one, service));
	json_array_foreach (members, i, m) {
		if (member_is_dead(m))
			continue;
		of++;
		name = json_text(m, "name");
		one = json_object_get(statuses, name);
		if (one != NULL && status_version(one, service) == newest)
			in_force++;
		else
			json_array_append_new(behind, json_string(name));
	}
	return json_pack("{ss sI si si so}", "service", service, "version",
	    newest, "in_force", (int)in_force, "of", (int)of, "behind", behind);
}

json_t *
status_documents(const json_t *members, const json_t *statuses)
{
	const json_t *one, *list, *d;
	json_t *services = json_object(), *lines = json_array(), *unused;
	const char *name;
	size_t i;

	json_object_foreach ((json_t *)statuses, name, one) {
		list = json_object_get(one, "documents");
		json_array_foreach (list, i, d)
			json_object_set_new(
			    services, json_text(d, "service"), json_null());
	}
	json_object_foreach (services, name, unused)
		json_array_append_new(
		    lines, status_document(members, statuses, name));
	json_decref(services);
	return lines;
}

static void
status_print_members(const json_t *members, const json_t *statuses)
{
	const json_t *m, *load;
	const char *name;
	size_t i;

	printf("%-20s %-8s %-16s %-21s %s\n", "NODE", "STATE", "DOMAIN",
	    "CALLER", "LOAD");
	json_array_foreach (members, i, m) {
		name = json_text(m, "name");
		load = json_object_get(m, "load_permille");
		printf("%-20s %-8s %-16s %-21s %.0f%%%s\n", name,
		    json_text(m, "state"), json_text(m, "domain"),
		    json_text(m, "caller"),
		    (double)json_integer_value(load) / 10,
		    json_object_get(statuses, name) == NULL ? "  no answer"
							    : "");
	}
}

static void
status_print_engines(const json_t *engines)
{
	const json_t *e;
	size_t i;

	if (json_array_size(engines) == 0)
		return;
	printf("\n%-20s %-16s %-16s %-8s %-21s %s\n", "BACKEND", "SERVICE",
	    "DOMAIN", "STATE", "ADDRESS", "OWNER");
	json_array_foreach (engines, i, e)
		printf("%-20s %-16s %-16s %-8s %-21s %s\n",
		    json_text(e, "name"), json_text(e, "service"),
		    json_text(e, "domain"), json_text(e, "state"),
		    json_text(e, "address"), json_text(e, "owner"));
}

static void
status_print_documents(const json_t *documents)
{
	const json_t *d, *behind, *name;
	size_t i, j;

	if (json_array_size(documents) > 0)
		putchar('\n');
	json_array_foreach (documents, i, d) {
		printf("document %s version %" JSON_INTEGER_FORMAT
		       " in force on %" JSON_INTEGER_FORMAT
		       " of %" JSON_INTEGER_FORMAT,
		    json_text(d, "service"),
		    json_integer_value(json_object_get(d, "version")),
		    json_integer_value(json_object_get(d, "in_force")),
		    json_integer_value(json_object_get(d, "of")));
		behind = json_object_get(d, "behind");
		json_array_foreach (behind, j, name)
			printf("%s%s", j == 0 ? ", not on " : " ",
			    json_string_value(name));
		putchar('\n');
	}
}

static enum cmd_retval
cmd_status_exec(struct cmd *c)
{
	enum cmd_retval retval = CMD_OK;
	json_t *self = cmd_status(c, &retval), *members, *statuses, *documents;

	if (self == NULL)
		return retval;
	members = json_object_get(self, "members");
	statuses = status_request_all(c, members);
	json_object_set(statuses, json_text(self, "node"), self);
	documents = status_documents(members, statuses);
	if (c->json) {
		cmd_print_json(json_pack("{sO sO sO}", "members", members,
		    "nodes", statuses, "documents", documents));
	} else {
		status_print_members(members, statuses);
		status_print_engines(json_object_get(self, "engines"));
		status_print_documents(documents);
	}
	json_decref(documents);
	json_decref(statuses);
	json_decref(self);
	return CMD_OK;
}

/* The control address of a node named on the command line; to be freed. */
static char *
node_address(const struct cmd *c, enum cmd_retval *retval)
{
	const char *name = c->args[0];
	json_t *self, *m;
	char *address = NULL;
	size_t i;

	if (strchr(name, ':') != NULL)
		return g_strdup(name);
	if ((self = cmd_status(c, retval)) == NULL)
		return NULL;
	json_array_foreach (json_object_get(self, "members"), i, m) {
		if (strcmp(json_text(m, "name"), name) == 0 && address == NULL)
			address = g_strdup(json_text(m, "control"));
	}
	json_decref(self);
	if (address == NULL) {
		cmd_print_message("%s: no such node", name);
		*retval = CMD_REFUSED;
	}
	return address;
}

/* Send a request to the named node and print its answer. */
static enum cmd_retval
node_call(const struct cmd *c, const char *method, const char *path)
{
	enum cmd_retval retval = CMD_OK;
	g_autofree char *address = node_address(c, &retval);
	g_autoptr(GError) error = NULL;
	json_t *o;

	if (address == NULL)
		return retval;
	o = control_call(c, method, address, path, &error);
	if (o == NULL)
		return cmd_fail(error);
	cmd_print_json(o);
	return CMD_OK;
}

static enum cmd_retval
cmd_dump_exec(struct cmd *c)
{
	g_autofree char *part = NULL, *path = NULL;

	if (c->nargs > 1)
		part = g_uri_escape_string(c->args[1], NULL, FALSE);
	path =
	    g_strconcat("/control/dump", part != NULL ? "/" : NULL, part, NULL);
	return node_call(c, "GET", path);
}

static enum cmd_retval
cmd_drain_exec(struct cmd *c)
{
	return node_call(c, "POST", "/control/drain");
}

static void
entry_print(const json_t *o)
{
	const json_t *one, *list = json_object_get(o, "alternates");
	size_t i;

	printf("%s\n", json_text(o, "address"));
	json_array_foreach (list, i, one)
		printf("alternate %s\n", json_string_value(one));
	printf("for %" JSON_INTEGER_FORMAT " ms\n",
	    json_integer_value(json_object_get(o, "lifetime_ms")));
}

static enum cmd_retval
cmd_entry_exec(struct cmd *c)
{
	const char *domain = cmd_value(c, "domain");
	g_autofree char *escaped = NULL, *path = NULL;
	enum cmd_retval retval = CMD_OK;
	g_autoptr(GError) error = NULL;
	json_t *self, *o;

	if ((self = cmd_status(c, &retval)) == NULL)
		return retval;
	escaped =
	    g_uri_escape_string(domain != NULL ? domain : "", NULL, FALSE);
	path = g_strconcat("/v1/entry?domain=", escaped, NULL);
	o = caller_call(json_text(self, "caller"), path, &error);
	json_decref(self);
	if (o == NULL)
		return cmd_fail(error);
	if (c->json) {
		cmd_print_json(o);
		return CMD_OK;
	}
	entry_print(o);
	json_decref(o);
	return CMD_OK;
}
