/*
 * Membership on the core: the peer socket, probes, polling of the platform's VM
 * list, and the lists of nodes and backend servers for dispatch.
 */

#define LOG_PART "peers"
#include "daemon.h"

#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>

#define VM_LIST_EVERY_MS 500
/* Long lists are polled less often, to stay below this rate. */
#define VM_LIST_BYTES_PER_S 3072
#define VM_LIST_TIMEOUT_MS 2000

static void
peers_member_send(struct members *, uint32_t, uint16_t, const sp_msg *);
static void peers_member_changed(struct members *, const struct member *);
static void peers_message(
    struct net *, name_id, uint64_t, uint32_t, uint16_t, const sp_msg *);

RB_GENERATE(backend_tree, backend, entry, backend_compare);

static const struct member_ops peers_member_ops = {
	.send = peers_member_send,
	.changed = peers_member_changed,
};
static const struct net_ops peers_net_ops = {
	.message = peers_message,
};

int
backend_compare(const struct backend *a, const struct backend *b)
{
	return a->id < b->id ? -1 : a->id > b->id;
}

char *
endpoint_text(char *buf, uint32_t address, uint16_t port)
{
	g_snprintf(buf, ENDPOINT_SIZE, "%u.%u.%u.%u:%u", address >> 24,
	    (address >> 16) & 255, (address >> 8) & 255, address & 255, port);
	return buf;
}

/* ---- membership ---- */

static void
peers_member_send(
    struct members *ms, uint32_t address, uint16_t port, const sp_msg *msg)
{
	struct daemon *d = ms->arg;

	net_send(&d->net, address, port, msg);
}

static void
peers_member_changed(struct members *ms, const struct member *m)
{
	struct daemon *d = ms->arg;

	log_info_of(LOG_NODE, m->name, "%s is %s", m->name,
	    member_state_name(m->state));
	if (m == &ms->self && m->incarnation != d->incarnation) {
		d->incarnation = m->incarnation;
		d->tickets.incarnation = m->incarnation;
		net_set_incarnation(&d->net, m->incarnation);
	}
	if (m == &ms->self && m->leaving) {
		/* Called from the membership code: the next tick leaves. */
		d->leave_requested = true;
		return;
	}
	daemon_nodes_update(d, msec_now());
}

void
daemon_nodes_update(struct daemon *d, msec now)
{
	struct dispatch_node *nodes;
	struct member *m;
	unsigned int n = 1;

	RB_FOREACH (m, member_tree, &d->members.tree)
		n++;
	nodes = g_new0(struct dispatch_node, n);
	nodes[0] = (struct dispatch_node){ d->members.self.id, d->incarnation,
		name_hash(d->settings.domain), d->state != DAEMON_LEAVING };
	n = 1;
	RB_FOREACH (m, member_tree, &d->members.tree) {
		nodes[n].id = m->id;
		nodes[n].incarnation = m->incarnation;
		nodes[n].domain = name_hash(m->domain);
		/*
		 * A suspect node is usually just slow: it keeps its duties
		 * until it is declared dead.
		 */
		nodes[n++].takes_work =
		    m->state == MEMBER_ALIVE || m->state == MEMBER_SUSPECT;
	}
	dispatch_set_nodes(&d->dispatch, now, nodes, n);
	daemon_ledger_members(d);
	daemon_limits_nodes(d, now, nodes, n);
	g_free(nodes);
}

static void
peers_message(struct net *net, name_id from, uint64_t incarnation,
    uint32_t address, uint16_t port, const sp_msg *msg)
{
	struct daemon *d = net->arg;
	msec now = msec_now();

	if (msg->kind < SP_RESERVE)
		members_receive(
		    &d->members, now, from, incarnation, address, port, msg);
	else if (msg->kind == SP_SHARE)
		shares_receive(&d->shares, now, from, msg);
	else
		dispatch_receive(&d->dispatch, now, from, incarnation, msg);
}

void
daemon_peers_send(struct daemon *d, name_id node, const sp_msg *msg)
{
	struct member *m = members_find(&d->members, node);

	if (m != NULL)
		net_send(&d->net, m->address, m->peer_port, msg);
}

/* ---- the VM list ---- */

struct backend *
daemon_backend_find(struct daemon *d, name_id id)
{
	struct backend key = { .id = id };

	return RB_FIND(backend_tree, &d->backends, &key);
}

static bool
vm_decode_address(const char *text, struct vm *vm)
{
	struct in_addr in;
	char host[INET_ADDRSTRLEN];
	const char *colon = strchr(text, ':');
	char *end;
	unsigned long port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof host)
		return false;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	port = strtoul(colon + 1, &end, 10);
	if (*end != '\0' || port == 0 || port > UINT16_MAX ||
	    inet_pton(AF_INET, host, &in) != 1)
		return false;
	vm->address = ntohl(in.s_addr);
	vm->port = (uint16_t)port;
	return true;
}

/* Decodes an entry of the list; false when it is malformed. */
static bool
vm_decode(const json_t *o, struct vm *vm)
{
	const char *name, *kind, *state, *address;
	const char *service = "", *domain = "";

	*vm = (struct vm){ 0 };
	if (json_unpack((json_t *)o, "{s:s, s:s, s:s, s:s, s?s, s?s}", "name",
		&name, "kind", &kind, "state", &state, "address", &address,
		"service", &service, "domain", &domain) != 0)
		return false;
	if (!name_valid(name))
		return false;
	g_strlcpy(vm->name, name, sizeof vm->name);
	g_strlcpy(vm->kind, kind, sizeof vm->kind);
	name_fit(vm->service, sizeof vm->service, service);
	name_fit(vm->domain, sizeof vm->domain, domain);
	vm->leaving = strcmp(state, "leaving") == 0;
	return vm_decode_address(address, vm);
}

static void
backends_replace(struct daemon *d, const struct vm *vms, unsigned int n)
{
	struct backend *b, *next;
	unsigned int i;

	RB_FOREACH_SAFE (b, backend_tree, &d->backends, next) {
		RB_REMOVE(backend_tree, &d->backends, b);
		g_free(b);
	}
	for (i = 0; i < n; i++) {
		if (strcmp(vms[i].kind, "entry") == 0)
			continue;
		b = g_new0(struct backend, 1);
		b->id = name_hash(vms[i].name);
		b->vm = vms[i];
		if (RB_INSERT(backend_tree, &d->backends, b) != NULL)
			g_free(b);
	}
}

/* Passes all backend servers to dispatch, with the documents' traits. */
void
daemon_engines_update(struct daemon *d, msec now)
{
	struct dispatch_engine *list;
	struct backend *b;
	struct doc_ref *r;
	unsigned int n = 0;

	RB_FOREACH (b, backend_tree, &d->backends)
		n++;
	list = g_new0(struct dispatch_engine, n + 1);
	n = 0;
	RB_FOREACH (b, backend_tree, &d->backends) {
		list[n].id = b->id;
		list[n].service = name_hash(b->vm.service);
		list[n].domain = name_hash(b->vm.domain);
		list[n].leaving = b->vm.leaving;
		if ((r = doc_set_find(d->docs, b->vm.service)) != NULL)
			list[n].slots_hint =
			    document_trait(&r->doc, b->vm.name).slots;
		n++;
	}
	dispatch_set_engines(&d->dispatch, now, list, n);
	g_free(list);
}

static void
vm_list_fetched(struct daemon *d, struct fetch *f, msec now)
{
	json_t *list, *one;
	struct vm *vms;
	size_t i;
	unsigned int n = 0;

	d->vm_list_busy = false;
	d->vm_list_due = MAX(d->vm_list_due,
	    now + (msec)f->text_len * MSEC_SECOND / VM_LIST_BYTES_PER_S);
	list = f->json != NULL ? json_object_get(f->json, "vms") : NULL;
	if (f->status != 200 || !json_is_array(list)) {
		log_debug("cannot read the VM list");
		return;
	}
	vms = g_new0(struct vm, json_array_size(list) + 1);
	json_array_foreach (list, i, one) {
		if (vm_decode(one, &vms[n]))
			n++;
		else
			log_warn("entry %zu of the VM list is malformed", i);
	}
	if (members_set_list(&d->members, now, vms, n)) {
		d->vm_list_read = true;
		backends_replace(d, vms, n);
		daemon_engines_update(d, now);
	}
	g_free(vms);
}

static void
vm_list_poll(struct daemon *d, msec now)
{
	struct fetch *f;

	if (now < d->vm_list_due || d->vm_list_busy)
		return;
	d->vm_list_due = now + VM_LIST_EVERY_MS;
	d->vm_list_busy = true;
	f = g_new0(struct fetch, 1);
	f->url = g_strdup_printf("%s/v1/vms", d->settings.vm_list_url);
	f->timeout = VM_LIST_TIMEOUT_MS;
	f->done = vm_list_fetched;
	fetch_start(d, f);
}

/*
 * Updates the load that the directory of every node uses to choose an entry VM.
 * A node that is joining or has just started reports full load, because it
 * lacks documents, the VM list or its share of the organisations' limits.
 */
void
daemon_self_update(struct daemon *d, msec now)
{
	unsigned int load = d->ncalls * 1000 / d->settings.max_connections;

	if (d->state == DAEMON_JOINING ||
	    now - d->started < DAEMON_SHARE_WAIT_MS)
		load = 1000;
	members_set_self(&d->members, doc_fold_sum(&d->fold), MIN(load, 1000));
}

/* ---- start and end ---- */

bool
daemon_peers_init(struct daemon *d, msec now)
{
	struct member_config mc = { .name = d->settings.node,
		.domain = d->settings.domain,
		.incarnation = d->incarnation,
		.address = d->settings.peer.address,
		.peer_port = d->settings.peer.port,
		.caller_port = d->settings.caller.port,
		.control_port = d->settings.control.port,
		.seed = g_rand_int(d->rng) };
	struct dispatch_config dc = { .self = name_hash(d->settings.node),
		.incarnation = d->incarnation,
		.domain = name_hash(d->settings.domain),
		.policy = d->settings.policy,
		.seed = g_rand_int(d->rng) };

	RB_INIT(&d->backends);
	d->net.arg = d;
	if (!net_init(&d->net, &peers_net_ops, d->settings.peer.address,
		d->settings.peer.port, dc.self, d->incarnation,
		d->settings.peer_key))
		return false;
	members_init(&d->members, &peers_member_ops, &mc, now);
	d->members.arg = d;
	if (!dispatch_init(&d->dispatch, &daemon_dispatch_ops, &dc, now))
		return false;
	d->dispatch.arg = d;
	daemon_limits_init(d, now);
	daemon_nodes_update(d, now);
	return true;
}

void
daemon_peers_tick(struct daemon *d, msec now)
{
	vm_list_poll(d, now);
	daemon_self_update(d, now);
	if (d->leave_requested)
		daemon_leave(d, now);
}

void
daemon_peers_finish(struct daemon *d)
{
	backends_replace(d, NULL, 0);
	shares_finish(&d->shares);
	dispatch_finish(&d->dispatch);
	members_finish(&d->members);
	net_finish(&d->net);
}
