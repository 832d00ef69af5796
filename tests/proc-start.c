/*
 * An entry VM that starts: it says that it serves once it can, and calls
 * nothing unknown that it has not read yet.
 */

#include "util-nodes.h"

#include <string.h>

/* The parts that it can read are read well within. */
#define READ_MS 1500
#define ASKS 40

static long
caller_status(struct nodes *s, unsigned int i, const char *method,
    const char *path, const char *body)
{
	const char *const headers[] = { "Authorization: Bearer " NODES_KEY,
		"Savorypier-Service: planner-llm", NULL };
	struct http_reply r;
	long status;

	http_call(&r, method, s->entries[i].caller, path, body, headers);
	status = r.status;
	http_reply_free(&r);
	return status;
}

static long
question_status(struct nodes *s, unsigned int i)
{
	return caller_status(s, i, "POST", "/v1/chat/completions",
	    "{\"model\":\"tanker-planner\",\"max_tokens\":3,"
	    "\"messages\":[{\"role\":\"user\",\"content\":\"why\"}]}");
}

static void
proxy_refuse(struct nodes_server *v, bool refuse)
{
	struct proxy_faults f = proxy_no_faults;

	f.refuse = refuse;
	proxy_set(v->proxy, &f);
	if (refuse)
		proxy_cut_all(v->proxy);
}

static void
entry_start_again(struct nodes *s, unsigned int i)
{
	proc_kill(&s->entries[i].proc);
	nodes_entry_start(s, i);
	g_usleep(READ_MS * 1000);
}

/* Guards against a node that serves and knows no backend server. */
static void
test_list_late(void)
{
	const struct nodes_config config = {
		.nodes = 2, .engines = 1, .list_proxy = true
	};
	struct nodes s;
	g_autofree char *other = NULL;
	unsigned int i;
	json_t *o;

	nodes_up(&s, &config);
	proxy_refuse(&s.list, true);
	entry_start_again(&s, 1);
	g_assert_cmpint(caller_status(&s, 1, "GET", "/readyz", NULL), ==, 503);
	g_usleep(6 * G_USEC_PER_SEC);
	other = g_strdup_printf("127.0.0.1:%u", s.entries[0].caller);
	for (i = 0; i < ASKS; i++) {
		o = http_get_json(s.entries[0].caller, "/v1/entry");
		g_assert_cmpstr(
		    json_string_value(json_object_get(o, "address")), ==,
		    other);
		json_decref(o);
	}
	proxy_refuse(&s.list, false);
	nodes_entry_ready(&s, 1);
	g_assert_cmpint(question_status(&s, 1), ==, 200);
	nodes_finish(&s);
}

/* Guards against 404 and 401, which are final, for what was not read yet. */
static void
test_documents_late(void)
{
	const struct nodes_config config = {
		.nodes = 1, .engines = 1, .log_proxy = true
	};
	struct nodes s;

	nodes_up(&s, &config);
	proxy_refuse(&s.log, true);
	entry_start_again(&s, 0);
	g_assert_cmpint(question_status(&s, 0), ==, 503);
	g_assert_cmpint(
	    caller_status(&s, 0, "POST", "/v1/services/yard-app/book", "{}"),
	    ==, 503);
	g_assert_cmpint(
	    caller_status(&s, 0, "POST", "/v1/tickets", ""), ==, 503);
	proxy_refuse(&s.log, false);
	nodes_entry_ready(&s, 0);
	g_assert_cmpint(question_status(&s, 0), ==, 200);
	nodes_finish(&s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/start/list-late", test_list_late);
	g_test_add_func("/start/documents-late", test_documents_late);
	return g_test_run();
}
