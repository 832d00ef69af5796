/*
 * Stand-in for the platform's list of VMs, which lags: every version is kept
 * with its time, and the one of lag_ms ago is shown.
 */

#define LOG_PART "vmlist"
#include "common-http.h"

#include <string.h>

#define VMS_PATH "/v1/vms"

struct vm_version {
	TAILQ_ENTRY(vm_version) entry;
	int64_t number;
	msec since;
	json_t *vms; /* by name */
};
TAILQ_HEAD(vm_version_list, vm_version);

static struct fault vmlist_faults[] = { { "outage", FAULT_BOOL },
	{ "delay_ms", FAULT_NUMBER }, { "lag_ms", FAULT_NUMBER },
	{ "empty", FAULT_BOOL }, { "hide", FAULT_NAMES }, {} };

static struct http_server vmlist_server;
static struct vm_version_list vmlist_versions;
static int64_t vmlist_reads;

static void
version_add(json_t *vms)
{
	struct vm_version *last, *v;

	last = TAILQ_LAST(&vmlist_versions, vm_version_list);
	v = g_new0(struct vm_version, 1);
	v->number = last == NULL ? 0 : last->number + 1;
	v->since = last == NULL ? 0 : msec_now();
	v->vms = vms;
	TAILQ_INSERT_TAIL(&vmlist_versions, v, entry);
}

static struct vm_version *
version_newest(void)
{
	return TAILQ_LAST(&vmlist_versions, vm_version_list);
}

static struct vm_version *
version_at(msec when)
{
	struct vm_version *v;

	TAILQ_FOREACH_REVERSE (v, &vmlist_versions, vm_version_list, entry) {
		if (v->since <= when)
			return v;
	}
	return TAILQ_FIRST(&vmlist_versions);
}

static enum MHD_Result
vms_show(struct http_request *req)
{
	struct http_server *srv = req->server;
	struct vm_version *v;
	json_t *list = json_array(), *vm;
	const char *name;

	vmlist_reads++;
	v = version_at(msec_now() - (msec)fault_value(srv, "lag_ms"));
	json_object_foreach (v->vms, name, vm) {
		if (fault_value(srv, "empty") != 0 ||
		    fault_names(srv, "hide", name))
			continue;
		json_array_append(list, vm);
	}
	return http_json(req, 200,
	    json_pack(
		"{s:I,s:o}", "version", (json_int_t)v->number, "vms", list));
}

static bool
text_in(const json_t *vm, const char *key, const char *const *allowed)
{
	const char *text = json_string_value(json_object_get(vm, key));

	return text != NULL &&
	       (allowed == NULL || g_strv_contains(allowed, text));
}

static bool
vm_valid(const json_t *vm)
{
	static const char *const kinds[] = { "entry", "engine", "plain", NULL };
	static const char *const states[] = { "live", "leaving", NULL };

	return text_in(vm, "kind", kinds) && text_in(vm, "state", states) &&
	       text_in(vm, "domain", NULL) && text_in(vm, "address", NULL);
}

static enum MHD_Result
vm_put(struct http_request *req, const char *name)
{
	json_t *vm = json_loadb(req->body->str, req->body->len, 0, NULL);
	json_t *vms;

	if (!vm_valid(vm)) {
		json_decref(vm);
		return http_error(req, 400, "not a VM");
	}
	json_object_set_new(vm, "name", json_string(name));
	vms = json_copy(version_newest()->vms);
	json_object_set_new(vms, name, vm);
	version_add(vms);
	return http_json(req, 200,
	    json_pack(
		"{s:I}", "version", (json_int_t)version_newest()->number));
}

static enum MHD_Result
vm_delete(struct http_request *req, const char *name)
{
	json_t *vms = json_copy(version_newest()->vms);

	if (json_object_del(vms, name) == -1) {
		json_decref(vms);
		return http_error(req, 404, "no such VM");
	}
	version_add(vms);
	return http_json(req, 200,
	    json_pack(
		"{s:I}", "version", (json_int_t)version_newest()->number));
}

static enum MHD_Result
vmlist_handle(struct http_server *srv, struct http_request *req)
{
	const char *name;

	/* Operators' calls work in an outage too. */
	if (g_str_has_prefix(req->path, VMS_PATH "/")) {
		name = req->path + strlen(VMS_PATH "/");
		if (strcmp(req->method, "PUT") == 0)
			return vm_put(req, name);
		if (strcmp(req->method, "DELETE") == 0)
			return vm_delete(req, name);
	}
	if (!http_is(req, "GET", VMS_PATH))
		return http_error(req, 404, "no such path");
	if (http_delay(req, (msec)fault_value(srv, "delay_ms")))
		return MHD_YES;
	if (fault_value(srv, "outage") != 0)
		return http_error(req, 503, "outage");
	return vms_show(req);
}

static json_t *
vmlist_stats(struct http_server *srv)
{
	return json_pack("{s:I,s:I}", "reads", (json_int_t)vmlist_reads,
	    "version", (json_int_t)version_newest()->number);
}

static const struct http_ops vmlist_ops = { .handle = vmlist_handle,
	.stats = vmlist_stats };

int
main(int argc, char **argv)
{
	log_open("info", false);
	TAILQ_INIT(&vmlist_versions);
	version_add(json_object());
	http_server_init(&vmlist_server, &vmlist_ops, vmlist_faults);
	http_server_arguments(&vmlist_server, NULL, NULL,
	    "A stand-in for the list of VMs.", argc, argv);
	return http_server_run(&vmlist_server);
}
