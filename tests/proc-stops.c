/*
 * Planned stops under streaming load: nothing is cut, nothing is lost, no new
 * work after the grace, and the process ends with 0.
 */

#include "util-nodes.h"
#include "util-tool.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>

#define STREAMS 6
#define GRACE "leave_grace_ms: 500\n"
/* From the first notice to the last new work. */
#define LEAVE_MS 3000
/* A node stands still so long after it was told to stop, and for so long. */
#define PAUSE_AFTER_MS 300
#define PAUSE_MS 6000
#define PAUSED_CALLERS 40
#define LOAD_SECONDS 15

static const struct nodes_config two_two = {
	.nodes = 2, .engines = 2, .settings = GRACE
};

enum stop_way {
	STOP_SIGNAL,
	STOP_TOOL,
	STOP_LIST
};

static void
stop_begin(struct nodes *s, unsigned int i, enum stop_way way)
{
	g_autofree char *args = NULL;

	switch (way) {
	case STOP_SIGNAL:
		proc_signal(&s->entries[i].proc, SIGTERM);
		break;
	case STOP_TOOL:
		args = g_strdup_printf("drain %s", s->entries[i].name);
		g_assert_cmpint(tool_run(args, NULL, NULL), ==, 0);
		break;
	case STOP_LIST:
		nodes_vm_entry(s, i, "leaving");
		break;
	}
}

static void
streams_start(
    struct nodes *s, unsigned int node, struct caller *c, unsigned int tokens)
{
	char user[16];
	unsigned int i;

	for (i = 0; i < STREAMS; i++) {
		g_snprintf(user, sizeof user, "stream-%u", i);
		caller_ask(&c[i], s->entries[node].caller, user, tokens);
		caller_start(&c[i]);
	}
	for (i = 0; i < STREAMS; i++)
		caller_wait_bytes(&c[i], NODES_EVENT_BYTES);
}

static void
streams_assert_whole(struct caller *c, unsigned int tokens)
{
	unsigned int i;

	for (i = 0; i < STREAMS; i++) {
		caller_wait(&c[i]);
		caller_assert_whole(&c[i], tokens);
		caller_finish(&c[i]);
	}
}

/* A new caller finds the door shut, or hears that nothing ran. */
static void
assert_takes_no_work(struct nodes *s, unsigned int node)
{
	struct caller c;

	caller_ask(&c, s->entries[node].caller, "new-work", 3);
	caller_run(&c);
	if (c.curl != CURLE_COULDNT_CONNECT)
		g_assert_cmpstr(c.outcome, ==, "not-run");
	g_assert_cmpint(nodes_executions(s, "new-work"), ==, 0);
	caller_finish(&c);
}

static void
stop_scenario(enum stop_way way, bool twice)
{
	struct nodes s;
	struct caller c[STREAMS];

	nodes_up(&s, &two_two);
	streams_start(&s, 1, c, 700);
	stop_begin(&s, 1, way);
	if (twice) {
		g_usleep(100 * 1000);
		proc_signal(&s.entries[1].proc, SIGTERM);
	}
	g_usleep(LEAVE_MS * 1000);
	assert_takes_no_work(&s, 1);
	if (twice)
		proc_signal(&s.entries[1].proc, SIGTERM);
	streams_assert_whole(c, 700);
	g_assert_cmpint(proc_wait(&s.entries[1].proc, PROC_STOP_MS), ==, 0);
	g_assert_cmpint(nodes_engine_sum(&s, "twice"), ==, 0);
	nodes_finish(&s);
}

static void
test_signal(void)
{
	/*
	 * A VM is stopped by SIGTERM while callers read long streams. Each
	 * stream comes to its end; a new caller is turned away unharmed; only
	 * then does the process end.
	 */
	stop_scenario(STOP_SIGNAL, false);
}

static void
test_signal_twice(void)
{
	/*
	 * An impatient operator sends SIGTERM again, twice. It changes
	 * nothing: no stream is cut.
	 */
	stop_scenario(STOP_SIGNAL, true);
}

/* Callers whose connections wait to be accepted as a stop ends are reset. */
static void
test_paused(void)
{
	struct nodes s;
	struct caller c[PAUSED_CALLERS];
	char user[16];
	unsigned int i;

	nodes_up(&s, &two_two);
	stop_begin(&s, 1, STOP_SIGNAL);
	g_usleep(PAUSE_AFTER_MS * 1000);
	proc_pause(&s.entries[1].proc);
	for (i = 0; i < PAUSED_CALLERS; i++) {
		g_snprintf(user, sizeof user, "paused-%u", i);
		caller_ask(&c[i], s.entries[1].caller, user, 3);
		caller_start(&c[i]);
	}
	g_usleep(PAUSE_MS * 1000);
	proc_resume(&s.entries[1].proc);
	for (i = 0; i < PAUSED_CALLERS; i++) {
		caller_wait(&c[i]);
		g_assert_cmpint(c[i].curl, ==, CURLE_OK);
		g_assert_cmpstr(c[i].outcome, ==, "not-run");
		caller_finish(&c[i]);
	}
	g_assert_cmpint(proc_wait(&s.entries[1].proc, PROC_STOP_MS), ==, 0);
	nodes_finish(&s);
}

/* What a node asks engines as it ends is not freed; under AddressSanitizer. */
static void
test_questions_open(void)
{
	struct nodes s;
	unsigned int i;

	nodes_up(&s, &two_two);
	for (i = 0; i < 2; i++)
		proc_pause(&s.engines[i].proc);
	proc_signal(&s.entries[1].proc, SIGTERM);
	g_assert_cmpint(proc_wait(&s.entries[1].proc, PROC_STOP_MS), ==, 0);
	for (i = 0; i < 2; i++)
		proc_resume(&s.engines[i].proc);
	nodes_finish(&s);
}

/* A reload, or the end of the terminal that it was started from, ends a VM. */
static void
test_hangup(void)
{
	struct nodes s;
	struct caller c[STREAMS];

	nodes_up(&s, &two_two);
	streams_start(&s, 1, c, 100);
	proc_signal(&s.entries[1].proc, SIGHUP);
	streams_assert_whole(c, 100);
	streams_start(&s, 1, c, 10);
	streams_assert_whole(c, 10);
	nodes_finish(&s);
}

static void
test_tool(void)
{
	/* The tool's drain is the same stop, asked for over the network. */
	stop_scenario(STOP_TOOL, false);
}

static void
test_list(void)
{
	/*
	 * The platform marks the VM as leaving. Without a word from the
	 * operator it takes no new work within 3 s and ends by itself.
	 */
	stop_scenario(STOP_LIST, false);
}

static void
test_slow_reader(void)
{
	/*
	 * The engine is done, but a caller on a bad line still reads when its
	 * VM is stopped. The last bytes wait in the daemon: it must not end
	 * before they are out.
	 */
	const struct nodes_config config = {
		.nodes = 1, .engines = 1, .settings = GRACE, .token_ms = "0"
	};
	struct nodes s;
	struct caller c;

	nodes_up(&s, &config);
	caller_ask(&c, s.entries[0].caller, "slow", 20000);
	c.read_pause = 10;
	caller_start(&c);
	caller_wait_bytes(&c, NODES_EVENT_BYTES);
	stop_begin(&s, 0, STOP_SIGNAL);
	caller_wait(&c);
	caller_assert_whole(&c, 20000);
	g_assert_cmpint(proc_wait(&s.entries[0].proc, PROC_STOP_MS), ==, 0);
	caller_finish(&c);
	nodes_finish(&s);
}

static void
test_deadline(void)
{
	/*
	 * An operator has set a stop deadline. What isn't done by then is
	 * cut, visibly, and the process ends.
	 */
	const struct nodes_config config = { .nodes = 1,
		.engines = 1,
		.settings = GRACE "stop_deadline_ms: 1500\n" };
	struct nodes s;
	struct caller c;
	msec began;

	nodes_up(&s, &config);
	caller_ask(&c, s.entries[0].caller, "deadline", 5000);
	caller_start(&c);
	caller_wait_bytes(&c, NODES_EVENT_BYTES);
	began = msec_now();
	stop_begin(&s, 0, STOP_SIGNAL);
	caller_wait(&c);
	g_assert_cmpint(c.curl, !=, CURLE_OK);
	g_assert_null(strstr(c.text->str, "[DONE]"));
	g_assert_cmpint(msec_now() - began, >=, 1400);
	g_assert_cmpint(proc_wait(&s.entries[0].proc, PROC_STOP_MS), ==, 0);
	caller_finish(&c);
	nodes_finish(&s);
}

static void
test_engine_leaving(void)
{
	/*
	 * An engine's VM is marked as leaving. Its streams come to their end
	 * on it, and 3 s later it gets no new request, while others do.
	 */
	struct nodes s;
	struct caller c[STREAMS], more[STREAMS];
	int64_t before;

	nodes_up(&s, &two_two);
	streams_start(&s, 0, c, 700);
	nodes_vm_engine(&s, 0, "leaving");
	g_usleep(LEAVE_MS * 1000);
	before = http_get_number(s.engines[0].proc.port, "/stats", "executed");
	streams_start(&s, 1, more, 20);
	streams_assert_whole(more, 20);
	g_assert_cmpint(
	    http_get_number(s.engines[0].proc.port, "/stats", "executed"), ==,
	    before);
	streams_assert_whole(c, 700);
	g_assert_cmpint(nodes_engine_sum(&s, "cut"), ==, 0);
	g_assert_cmpint(nodes_engine_sum(&s, "cancelled"), ==, 0);
	nodes_finish(&s);
}

/* ---- rolling restart ---- */

static void
load_start(struct nodes *s, struct proc *load)
{
	const char *args[40];
	char *entry[NODES_MAX];
	unsigned int i, n = 0;

	for (i = 0; i < s->config.nodes; i++) {
		entry[i] =
		    g_strdup_printf("127.0.0.1:%u", s->entries[i].caller);
		args[n++] = "--entry";
		args[n++] = entry[i];
	}
	args[n++] = "--json";
	args[n++] = "--service";
	args[n++] = "planner-llm";
	args[n++] = "--model";
	args[n++] = "tanker-planner";
	args[n++] = "--org";
	args[n++] = "seyra-office=" NODES_KEY;
	args[n++] = "--class";
	args[n++] = "driver-question=1:40:60:3000:150:30000";
	args[n++] = "--class";
	args[n++] = "replan=1:40:150:3000:150:30000";
	args[n++] = "--rate";
	args[n++] = "30";
	args[n++] = "--seconds";
	args[n++] = G_STRINGIFY(LOAD_SECONDS);
	args[n++] = "--seed";
	args[n++] = "11";
	args[n] = NULL;
	proc_start_unready(load, "savory-load", args);
	for (i = 0; i < s->config.nodes; i++)
		g_free(entry[i]);
}

/* All that it prints. */
static json_t *
load_report(struct proc *load)
{
	GString *text = g_string_new(NULL);
	char buf[4096];
	ssize_t n;
	json_t *v;

	while ((n = read(load->out, buf, sizeof buf)) > 0)
		g_string_append_len(text, buf, n);
	g_assert_cmpint(proc_wait(load, PROC_STOP_MS), !=, G_MININT);
	g_test_message("%s", text->str);
	v = json_loads(text->str, 0, NULL);
	g_assert_nonnull(v);
	g_string_free(text, TRUE);
	return v;
}

static int64_t
report_number(const json_t *v, const char *key)
{
	g_assert_true(json_is_integer(json_object_get(v, key)));
	return json_integer_value(json_object_get(v, key));
}

static void
assert_nothing_lost(const json_t *v)
{
	int64_t sent, told, all = 0;
	const char *name;
	json_t *c;

	g_assert_cmpint(report_number(v, "crossed"), ==, 0);
	g_assert_cmpint(report_number(v, "short"), ==, 0);
	g_assert_cmpint(report_number(v, "unfinished"), ==, 0);
	json_object_foreach (json_object_get(v, "classes"), name, c) {
		sent = report_number(c, "sent");
		told = report_number(c, "ran") + report_number(c, "not_run");
		g_assert_cmpint(report_number(c, "unknown"), ==, 0);
		g_assert_cmpint(sent, ==, told);
		all += sent;
	}
	g_assert_cmpint(all, >, LOAD_SECONDS * 10);
}

static void
test_rolling(void)
{
	/*
	 * Every entry VM is replaced, one after the other, in the middle of
	 * the day. Callers go on asking: none hears of a break, none is left
	 * in doubt, no request runs twice.
	 */
	const struct nodes_config config = {
		.nodes = 3, .engines = 3, .settings = GRACE
	};
	struct nodes s;
	struct proc load;
	unsigned int i;
	json_t *v;

	nodes_up(&s, &config);
	load_start(&s, &load);
	g_usleep(2 * G_USEC_PER_SEC);
	for (i = 0; i < config.nodes; i++) {
		stop_begin(&s, i, STOP_SIGNAL);
		g_assert_cmpint(
		    proc_wait(&s.entries[i].proc, PROC_STOP_MS), ==, 0);
		nodes_entry_start(&s, i);
		nodes_entry_ready(&s, i);
	}
	v = load_report(&load);
	assert_nothing_lost(v);
	json_decref(v);
	g_assert_cmpint(nodes_engine_sum(&s, "twice"), ==, 0);
	g_assert_cmpint(nodes_engine_sum(&s, "cancelled"), ==, 0);
	nodes_finish(&s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stops/signal", test_signal);
	g_test_add_func("/stops/signal-twice", test_signal_twice);
	g_test_add_func("/stops/questions-open", test_questions_open);
	g_test_add_func("/stops/paused", test_paused);
	g_test_add_func("/stops/hangup", test_hangup);
	g_test_add_func("/stops/tool", test_tool);
	g_test_add_func("/stops/list", test_list);
	g_test_add_func("/stops/slow-reader", test_slow_reader);
	g_test_add_func("/stops/deadline", test_deadline);
	g_test_add_func("/stops/engine-leaving", test_engine_leaving);
	g_test_add_func("/stops/rolling", test_rolling);
	return g_test_run();
}
