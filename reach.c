/*
 * The network path to the backend servers; see reach.h.
 */

#define LOG_PART "reach"
#include "reach.h"

#include <string.h>

void
reach_init(struct reach *r, const struct reach_ops *ops)
{
	*r = (struct reach){ .ops = ops,
		.answered_at = MSEC_NEVER,
		.heard_at = MSEC_NEVER,
		.silent_since = MSEC_NEVER };
}

static void
reach_set_cut(struct reach *r, msec now, bool cut)
{
	r->cut = cut;
	r->since = now;
	r->silent_since = MSEC_NEVER;
	r->back = 0;
	r->other_due = false;
	if (cut) {
		r->counters.cuts++;
		r->wanted = REACH_BACK_SERVERS;
		r->next_probe = r->refused ? now : now + REACH_CUT_PROBE_MS;
		r->sweep = REACH_SWEEP_PAIRS;
	} else {
		r->wanted = 0;
		r->next_probe = now + REACH_ROUND_MS;
	}
	r->ops->changed(r, now);
}

/* ---- evidence ---- */

static bool
failure_counts(const struct reach_failure *f, msec now)
{
	return now - f->at < REACH_EVIDENCE_MS;
}

bool
reach_has_failed(const struct reach *r, msec now, name_id server)
{
	unsigned int i;

	for (i = 0; i < r->nfailed; i++) {
		if (r->failed[i].server == server)
			return failure_counts(&r->failed[i], now);
	}
	return false;
}

bool
reach_avoids(const struct reach *r, msec now, name_id server)
{
	return !r->cut && reach_has_failed(r, now, server);
}

unsigned int
reach_count_failed(const struct reach *r, msec now)
{
	unsigned int i, n = 0;

	for (i = 0; i < r->nfailed; i++)
		n += failure_counts(&r->failed[i], now);
	return n;
}

/* Replaces the server's earlier failure, or the oldest one of all. */
static void
reach_add_failure(struct reach *r, msec now, name_id server)
{
	struct reach_failure *oldest = &r->failed[0];
	unsigned int i;

	for (i = 0; i < r->nfailed; i++) {
		if (r->failed[i].server == server) {
			r->failed[i].at = now;
			return;
		}
		if (r->failed[i].at < oldest->at)
			oldest = &r->failed[i];
	}
	if (r->nfailed < REACH_FAILED_MAX)
		oldest = &r->failed[r->nfailed++];
	*oldest = (struct reach_failure){ server, now };
}

/*
 * Requests alone do not decide: those of a short time may all have gone to
 * servers that crashed together. So all probes of a round must have failed.
 */
static void
reach_decide(struct reach *r, msec now, unsigned int nservers)
{
	if (r->cut || r->probing > 0 || r->wanted > 0 || nservers == 0)
		return;
	if (reach_count_failed(r, now) >= MIN(REACH_SERVERS, nservers))
		reach_set_cut(r, now, true);
}

static void
reach_clear_failures(struct reach *r, msec now)
{
	r->nfailed = 0;
	r->refused = false;
	r->answered_at = now;
}

/* ---- witnesses ---- */

static void
reach_add_witness(struct reach *r, name_id server)
{
	unsigned int i;

	for (i = 0; i < r->nwitnesses; i++) {
		if (r->witnesses[i] == server)
			return;
	}
	if (r->nwitnesses < REACH_WITNESSES_MAX) {
		r->witnesses[r->nwitnesses++] = server;
		return;
	}
	r->witnesses[r->next_kept] = server;
	r->next_kept = (r->next_kept + 1) % REACH_WITNESSES_MAX;
}

name_id
reach_next_witness(struct reach *r, msec now)
{
	name_id server;
	unsigned int i;

	r->other_due = !r->other_due;
	if (!r->other_due)
		return 0;
	for (i = 0; i < r->nwitnesses; i++) {
		server = r->witnesses[r->next_witness++ % r->nwitnesses];
		if (!reach_avoids(r, now, server))
			return server;
	}
	return 0;
}

void
reach_sent(struct reach *r, msec now)
{
	if (r->silent_since == MSEC_NEVER)
		r->silent_since = now;
}

void
reach_heard(struct reach *r, msec now)
{
	r->heard_at = now;
	r->silent_since = MSEC_NEVER;
}

void
reach_answered(struct reach *r, msec now, name_id server)
{
	reach_heard(r, now);
	reach_add_witness(r, server);
	/* Only probes end a cut; see reach_probe_ended(). */
	if (r->cut)
		return;
	reach_clear_failures(r, now);
	r->wanted = 0;
}

/* At most one round at a time, and one in REACH_ROUND_MS. */
static void
reach_start_round(struct reach *r, msec now, unsigned int nservers)
{
	if (r->cut || r->probing > 0 || r->wanted > 0 || now < r->next_probe)
		return;
	r->wanted = MIN(REACH_PROBES, nservers);
	r->next_probe = now;
	r->other_due = false;
}

void
reach_failed(struct reach *r, msec now, name_id server, unsigned int nservers)
{
	r->counters.failures++;
	reach_add_failure(r, now, server);
	reach_start_round(r, now, nservers);
}

void
reach_suspect(struct reach *r, msec now, unsigned int nservers)
{
	if (r->answered_at == MSEC_NEVER ||
	    now - r->answered_at >= REACH_ROUND_MS)
		reach_start_round(r, now, nservers);
}

/* MSEC_NEVER: no request waits, or the path is cut or being probed. */
static msec
reach_silence_due(const struct reach *r)
{
	if (r->silent_since == MSEC_NEVER || r->cut || r->probing > 0 ||
	    r->wanted > 0)
		return MSEC_NEVER;
	return MAX(r->silent_since + REACH_SILENT_MS, r->next_probe);
}

void
reach_check_silence(struct reach *r, msec now, unsigned int nservers)
{
	if (now < reach_silence_due(r))
		return;
	r->silent_since = now;
	r->counters.silences++;
	reach_start_round(r, now, nservers);
}

/* ---- probes ---- */

unsigned int
reach_probes_due(struct reach *r, msec now)
{
	return now >= r->next_probe ? r->wanted : 0;
}

void
reach_probe_started(struct reach *r, msec now)
{
	r->counters.probes++;
	r->probing++;
	r->wanted--;
	r->last_probe = now;
	if (r->cut && r->wanted == 0) {
		r->wanted = REACH_BACK_SERVERS;
		r->next_probe = now + REACH_CUT_PROBE_MS;
	}
}

void
reach_hurry(struct reach *r, msec now)
{
	if (r->cut)
		r->next_probe = MIN(
		    r->next_probe, MAX(now, r->last_probe + REACH_HURRY_MS));
}

void
reach_probe_none(struct reach *r)
{
	r->wanted = 0;
}

static void
reach_cut_probe_ended(
    struct reach *r, msec now, name_id server, bool works, unsigned int n)
{
	if (!works) {
		reach_add_failure(r, now, server);
		/* The failures of others say nothing of one that answers. */
		if (r->back == server)
			r->back = 0;
		return;
	}
	reach_add_witness(r, server);
	if (n >= REACH_BACK_SERVERS && (r->back == 0 || r->back == server)) {
		r->back = server;
		return;
	}
	reach_clear_failures(r, now);
	reach_set_cut(r, now, false);
}

/* What is told at once costs no time, so the next servers are asked. */
static void
reach_sweep_on(struct reach *r, msec now)
{
	if (!r->cut || r->probing > 0 || r->sweep == 0)
		return;
	r->sweep--;
	r->next_probe = now;
}

static bool
probe_shows_path(
    const struct reach *r, msec now, enum reach_probe_result result)
{
	if (result == REACH_PROBE_UNANSWERED)
		return r->heard_at != MSEC_NEVER &&
		       now - r->heard_at < REACH_HEARD_MS;
	return result == REACH_PROBE_ANSWERED;
}

void
reach_probe_ended(struct reach *r, msec now, name_id server,
    enum reach_probe_result result, unsigned int nservers)
{
	bool works = probe_shows_path(r, now, result);

	r->probing--;
	r->refused |= result == REACH_PROBE_REFUSED;
	r->counters.probes_failed += result != REACH_PROBE_ANSWERED;
	if (r->cut) {
		reach_cut_probe_ended(r, now, server, works, nservers);
		if (result == REACH_PROBE_REFUSED ||
		    result == REACH_PROBE_ANSWERED)
			reach_sweep_on(r, now);
		return;
	}
	if (result == REACH_PROBE_ANSWERED)
		reach_add_witness(r, server);
	if (works) {
		reach_clear_failures(r, now);
		r->silent_since = MSEC_NEVER;
		r->wanted = 0;
	} else {
		reach_add_failure(r, now, server);
	}
	if (r->probing == 0)
		r->next_probe = now + REACH_ROUND_MS;
	reach_decide(r, now, nservers);
}

/* ---- state ---- */

bool
reach_is_cut(const struct reach *r)
{
	return r->cut;
}

bool
reach_may_be_pause(const struct reach *r, msec now)
{
	return r->cut && !r->refused && now - r->since < REACH_PAUSE_MS;
}

bool
reach_is_silent(const struct reach *r, msec now)
{
	return r->heard_at == MSEC_NEVER ||
	       now - r->heard_at >= REACH_SILENT_MS;
}

bool
reach_in_doubt(const struct reach *r)
{
	return !r->cut && r->nfailed > 0 && r->probing + r->wanted > 0;
}

msec
reach_next(const struct reach *r)
{
	msec silence = reach_silence_due(r);

	return r->wanted > 0 ? r->next_probe : silence;
}
