/*
 * Applies the platform's VM list to the membership. The list adds members to
 * probe and marks members as leaving. It never makes a member dead, because
 * the list lags behind the real state of the VMs.
 */

#define LOG_PART "member"
#include "member-private.h"

#include <string.h>

static bool
list_is_implausible(struct members *, const struct vm *, unsigned int);
static unsigned int
list_mark_seen(struct members *, const struct vm *, unsigned int);
static void list_apply_vm(struct members *, msec, const struct vm *);
static void list_apply_leaving(struct members *, msec, struct member *, bool);

/* Marks the members that are listed; returns the number of entry VMs listed. */
static unsigned int
list_mark_seen(struct members *ms, const struct vm *vms, unsigned int n)
{
	unsigned int i, entries = 0;
	struct member *m;

	RB_FOREACH (m, member_tree, &ms->tree)
		m->on_new_list = false;
	for (i = 0; i < n; i++) {
		if (strcmp(vms[i].kind, "entry") != 0)
			continue;
		entries++;
		if ((m = members_find(ms, name_hash(vms[i].name))) != NULL)
			m->on_new_list = true;
	}
	return entries;
}

/*
 * Guards against a platform that returns an empty or partial list while the
 * VMs are healthy: applying it would drop the addresses that are needed to
 * reconnect after a network partition. Such a list is recognised by live
 * members that disappear from it all at once. Rejecting it is safe, because
 * members that really are gone stop answering probes and no longer count here.
 */
static bool
list_is_implausible(struct members *ms, const struct vm *vms, unsigned int n)
{
	unsigned int listed = 0, lost = 0;
	struct member *m;

	if (list_mark_seen(ms, vms, n) == 0)
		return true;
	RB_FOREACH (m, member_tree, &ms->tree) {
		if (!m->listed || !member_is_live(m))
			continue;
		listed++;
		if (!m->on_new_list)
			lost++;
	}
	return lost * 2 > listed;
}

/*
 * Guards against a list that still marks the previous process of a restarted
 * node as leaving: the mark is permanent for an incarnation and would make the
 * new process leave, too. So the mark applies only to an incarnation that the
 * list has shown as live before, or that is older than the list's maximum lag.
 */
static void
list_apply_leaving(struct members *ms, msec now, struct member *m, bool leaving)
{
	if (!leaving) {
		m->listed_live_incarnation = m->incarnation;
		return;
	}
	if (m->leaving || m->incarnation == 0)
		return;
	if (m->listed_live_incarnation != m->incarnation &&
	    now - m->incarnation_since < ms->priv->list_lag) {
		log_debug(
		    "VM list marks %s as leaving, may be an earlier process",
		    m->name);
		return;
	}
	log_debug("VM list marks %s as leaving", m->name);
	if (m == &ms->self)
		members_leave(ms, now);
	else
		member_set_state(ms, now, m, m->state, true);
}

static void
list_apply_vm(struct members *ms, msec now, const struct vm *vm)
{
	name_id id = name_hash(vm->name);
	struct member *m;

	if (id == ms->self.id) {
		ms->self.listed = true;
		list_apply_leaving(ms, now, &ms->self, vm->leaving);
		return;
	}
	if (!name_valid(vm->name) || vm->address == 0 || vm->port == 0)
		return;
	if ((m = members_find(ms, id)) == NULL &&
	    (m = member_add(ms, now, id, vm->name)) == NULL)
		return;
	m->on_new_list = true;
	m->listed = true;
	m->address = vm->address;
	m->peer_port = vm->port;
	if (m->incarnation == 0)
		g_strlcpy(m->domain, vm->domain, sizeof m->domain);
	list_apply_leaving(ms, now, m, vm->leaving);
}

bool
members_set_list(
    struct members *ms, msec now, const struct vm *vms, unsigned int n)
{
	struct member *m;
	unsigned int i;

	if (list_is_implausible(ms, vms, n)) {
		log_debug("implausible VM list of %u entries rejected", n);
		ms->counters.lists_held++;
		return false;
	}
	ms->self.listed = false;
	for (i = 0; i < n; i++) {
		if (strcmp(vms[i].kind, "entry") == 0)
			list_apply_vm(ms, now, &vms[i]);
	}
	RB_FOREACH (m, member_tree, &ms->tree)
		m->listed = m->listed && m->on_new_list;
	return true;
}

/*
 * Removes members that are unlisted and have been dead for
 * MEMBER_DEAD_RETENTION. A member that is not listed but answers stays, as the
 * list lags behind new VMs.
 */
void
member_remove_expired(struct members *ms, msec now)
{
	struct member *m, *next;

	RB_FOREACH_SAFE (m, member_tree, &ms->tree, next) {
		if (m->listed || member_is_live(m))
			continue;
		if (m->incarnation != 0 &&
		    now < m->state_since + MEMBER_DEAD_RETENTION)
			continue;
		log_debug("%s removed: unlisted and dead", m->name);
		member_remove(ms, m);
	}
}
