/*
 * The daemon's settings from YAML; see settings.h.
 */

#define LOG_PART "settings"
#include "settings.h"
#include "ledger.h"

#include "schemas.h"

#include <arpa/inet.h>

#include <stdlib.h>
#include <string.h>

#define SETTINGS_BYTES_MAX (64 * 1024)
#define PEER_KEY_MIN 16
#define PEER_KEY_FILE_MAX 4096
#define RETRY_FIXED_MAX 1000000 /* attempts in a window */
#define MEMORY_MB_MIN 32

/* The struct that the schema fills: the settings and temporary values. */
struct settings_walk {
	struct settings s;
	char *peer_key_file;
	unsigned int log_format;
};

static void parse_caller(struct walk *, const yaml_node_t *, void *);
static void parse_control(struct walk *, const yaml_node_t *, void *);
static void parse_peer(struct walk *, const yaml_node_t *, void *);
static void parse_log_url(struct walk *, const yaml_node_t *, void *);
static void parse_vm_list_url(struct walk *, const yaml_node_t *, void *);
static void parse_weight_url(struct walk *, const yaml_node_t *, void *);
static void parse_ready(struct walk *, const yaml_node_t *, void *);
static void parse_directory(struct walk *, const yaml_node_t *, void *);
static void parse_metrics(struct walk *, const yaml_node_t *, void *);
static void parse_store(struct walk *, const yaml_node_t *, void *);
static void parse_seeds(struct walk *, const yaml_node_t *, void *);
static void parse_duties_address(struct walk *, const yaml_node_t *, void *);
static void parse_usage_window_s(struct walk *, const yaml_node_t *, void *);
static void parse_usage_lateness_s(struct walk *, const yaml_node_t *, void *);
static void parse_stop_s(struct walk *, const yaml_node_t *, void *);
static void parse_retry_window_s(struct walk *, const yaml_node_t *, void *);
static void parse_retry_ratio(struct walk *, const yaml_node_t *, void *);
static void parse_retry_fixed(struct walk *, const yaml_node_t *, void *);
static void parse_sound_parts(struct walk *, const yaml_node_t *, void *);
static void parse_outgoing(struct walk *, const yaml_node_t *, void *);
static void check_platform(struct walk *, yaml_node_t *, void *);
static void check_settings(struct walk *, yaml_node_t *, void *);

static const char *const level_names[] = { "debug", "info", "warning", NULL };
static const char *const format_names[] = { "text", "json", NULL };
static const char *const policy_names[] = { "owner", "random", "round-robin",
	"least-load", "two-choices", NULL };

/* All maps of the file fill this one struct, so nested offsets start at 0. */
#define AT(field) offsetof(struct settings_walk, field)

static const struct walk_schema listen_schema = { "listen", 0,
	(const struct walk_field[]){
	    { "caller", WALK_CUSTOM, true, .parse = parse_caller },
	    { "control", WALK_CUSTOM, true, .parse = parse_control },
	    { "peer", WALK_CUSTOM, true, .parse = parse_peer },
	    { "ready", WALK_CUSTOM, .parse = parse_ready },
	    { "directory", WALK_CUSTOM, .parse = parse_directory },
	    { "metrics", WALK_CUSTOM, .parse = parse_metrics }, { NULL } } };

static const struct walk_schema platform_schema = { "platform", 0,
	(const struct walk_field[]){
	    { "log", WALK_CUSTOM, .parse = parse_log_url },
	    { "vm_list", WALK_CUSTOM, .parse = parse_vm_list_url },
	    { "weights", WALK_CUSTOM, .parse = parse_weight_url },
	    { "log_keeps_ms", WALK_MSEC, .offset = AT(s.log_retention),
		.min = 2 * LEDGER_WINDOW,
		.max = 366 * 24 * 3600 * MSEC_SECOND },
	    { "store", WALK_CUSTOM, .parse = parse_store },
	    { "seeds", WALK_CUSTOM, .parse = parse_seeds },
	    { "seeds_port", WALK_UINT, .offset = AT(s.seeds_port), .min = 1,
		.max = 65535 },
	    { "first_start", WALK_BOOL, .offset = AT(s.first_start) },
	    { NULL } },
	check_platform };

/* Guarantees and requirements of a platform with a store. */
static const struct walk_schema bounds_schema = { "bounds", 0,
	(const struct walk_field[]){
	    { "keys_fail_closed", WALK_BOOL, .offset = AT(s.keys_fail_closed) },
	    { "keys_bound_ms", WALK_MSEC, .offset = AT(s.keys_bound), .min = 1,
		.max = 3600 * MSEC_SECOND },
	    { "change_bound_ms", WALK_MSEC, .offset = AT(s.change_bound),
		.min = 1, .max = 3600 * MSEC_SECOND },
	    { "server_stay_ms", WALK_MSEC, .offset = AT(s.server_stay),
		.min = 0, .max = 3600 * MSEC_SECOND },
	    { "rewrite_ms", WALK_MSEC, .offset = AT(s.rewrite), .min = 0,
		.max = 3600 * MSEC_SECOND },
	    { "retry_ratio", WALK_CUSTOM, .parse = parse_retry_ratio },
	    { "retry_fixed", WALK_CUSTOM, .parse = parse_retry_fixed },
	    { "retry_window_s", WALK_CUSTOM, .parse = parse_retry_window_s },
	    { "stop_s", WALK_CUSTOM, .parse = parse_stop_s }, { NULL } } };

/* Duties that one node at a time performs for all nodes. */
static const struct walk_schema duties_schema = { "duties", 0,
	(const struct walk_field[]){
	    { "address", WALK_CUSTOM, true, .parse = parse_duties_address },
	    { "lease_ms", WALK_MSEC, .offset = AT(s.duty_lease), .min = 500,
		.max = 600 * MSEC_SECOND },
	    { "usage_window_s", WALK_CUSTOM, .parse = parse_usage_window_s },
	    { "usage_lateness_s", WALK_CUSTOM,
		.parse = parse_usage_lateness_s },
	    { "order_servers", WALK_BOOL, .offset = AT(s.order_servers) },
	    { "lasting_percent", WALK_UINT,
		.offset = AT(s.capacity.lasting_percent), .min = 0,
		.max = 100 },
	    { "reclaimable_percent", WALK_UINT,
		.offset = AT(s.capacity.reclaimable_percent), .min = 0,
		.max = 100 },
	    { "spare_percent", WALK_UINT,
		.offset = AT(s.capacity.spare_percent), .min = 0, .max = 1000 },
	    { "stand_in_percent", WALK_UINT,
		.offset = AT(s.capacity.stand_in_percent), .min = 0,
		.max = 100 },
	    { NULL } } };

static const struct walk_schema log_schema = { "log", 0,
	(const struct walk_field[]){
	    { "level", WALK_CHOICE_NAME, .offset = AT(s.log_level),
		.choices = level_names },
	    { "format", WALK_CHOICE_INDEX, .offset = AT(log_format),
		.choices = format_names },
	    { NULL } } };

static const struct walk_schema limits_schema = { "limits", 0,
	(const struct walk_field[]){
	    { "connections", WALK_UINT, .offset = AT(s.max_connections),
		.min = 1, .max = 65536 },
	    { "body_bytes", WALK_UINT, .offset = AT(s.max_body_bytes),
		.min = 1024, .max = 64 * 1024 * 1024 },
	    { "memory_mb", WALK_UINT, .offset = AT(s.memory_mb),
		.min = MEMORY_MB_MIN, .max = 1024 * 1024 },
	    { NULL } } };

static const struct walk_schema threads_schema = { "threads", 0,
	(const struct walk_field[]){
	    { "caller", WALK_UINT, .offset = AT(s.caller_threads), .min = 1,
		.max = 64 },
	    { "engine", WALK_UINT, .offset = AT(s.engine_threads), .min = 1,
		.max = 64 },
	    { NULL } } };

static const struct walk_schema tls_schema = { "tls", 0,
	(const struct walk_field[]){ { "certificate", WALK_STRING, true,
					 .offset = AT(s.tls_certificate) },
	    { "key", WALK_STRING, true, .offset = AT(s.tls_key) }, { NULL } } };

const struct walk_schema settings_schema = { "the settings", 0,
	(const struct walk_field[]){
	    { "node", WALK_NAME, true, .offset = AT(s.node) },
	    { "domain", WALK_NAME, true, .offset = AT(s.domain) },
	    { "listen", WALK_MAP, true, .schema = &listen_schema },
	    { "platform", WALK_MAP, true, .schema = &platform_schema },
	    { "bounds", WALK_MAP, .schema = &bounds_schema },
	    { "duties", WALK_MAP, .schema = &duties_schema },
	    { "peer_key", WALK_STRING, .offset = AT(s.peer_key) },
	    { "peer_key_file", WALK_STRING, .offset = AT(peer_key_file) },
	    { "outgoing_address", WALK_CUSTOM, .parse = parse_outgoing },
	    { "sound_parts", WALK_CUSTOM, .parse = parse_sound_parts },
	    { "log", WALK_MAP, .schema = &log_schema },
	    { "policy", WALK_CHOICE_NAME, .offset = AT(s.policy),
		.choices = policy_names },
	    { "fair_shares", WALK_BOOL, .offset = AT(s.fair_shares) },
	    { "stop_deadline_ms", WALK_MSEC, .offset = AT(s.stop_deadline),
		.min = 0, .max = 24 * 3600 * MSEC_SECOND },
	    { "leave_grace_ms", WALK_MSEC, .offset = AT(s.leave_grace),
		.min = 0, .max = 60 * MSEC_SECOND },
	    { "keep_answers_ms", WALK_MSEC, .offset = AT(s.keep_answers),
		.min = 0, .max = 60 * MSEC_SECOND },
	    { "limits", WALK_MAP, .schema = &limits_schema },
	    { "threads", WALK_MAP, .schema = &threads_schema },
	    { "tls", WALK_MAP, .schema = &tls_schema }, { NULL } },
	check_settings };

/* A port from 1 to 65535 in decimal; 0 when it is invalid. */
static uint16_t
port_parse(const char *s)
{
	guint64 n;

	if (!g_ascii_string_to_unsigned(s, 10, 1, 65535, &n, NULL))
		return 0;
	return n;
}

/*
 * "IP:PORT" with an IPv4 number. The address is told to other nodes, so
 * "any address" (0.0.0.0) is as wrong as a name.
 */
static bool
endpoint_parse(const char *s, struct endpoint *e)
{
	g_auto(GStrv) parts = g_strsplit(s, ":", 3);
	struct in_addr in;

	if (g_strv_length(parts) != 2 || inet_pton(AF_INET, parts[0], &in) != 1)
		return false;
	e->address = ntohl(in.s_addr);
	e->port = port_parse(parts[1]);
	return e->address != INADDR_ANY && e->port != 0;
}

static void
parse_endpoint(struct walk *w, const yaml_node_t *node, struct endpoint *e)
{
	if (endpoint_parse(walk_text(node), e))
		return;
	*e = (struct endpoint){ 0 };
	walk_add_finding(w, node,
	    "expected an IPv4 number and a port like 192.0.2.1:8080, got "
	    "\"%s\"",
	    walk_text(node));
}

static void
parse_caller(struct walk *w, const yaml_node_t *node, void *arg)
{
	parse_endpoint(w, node, &((struct settings_walk *)arg)->s.caller);
}

static void
parse_control(struct walk *w, const yaml_node_t *node, void *arg)
{
	parse_endpoint(w, node, &((struct settings_walk *)arg)->s.control);
}

static void
parse_peer(struct walk *w, const yaml_node_t *node, void *arg)
{
	parse_endpoint(w, node, &((struct settings_walk *)arg)->s.peer);
}

static void
parse_ready(struct walk *w, const yaml_node_t *node, void *arg)
{
	parse_endpoint(w, node, &((struct settings_walk *)arg)->s.ready);
}

static void
parse_directory(struct walk *w, const yaml_node_t *node, void *arg)
{
	parse_endpoint(w, node, &((struct settings_walk *)arg)->s.directory);
}

static void
parse_metrics(struct walk *w, const yaml_node_t *node, void *arg)
{
	parse_endpoint(w, node, &((struct settings_walk *)arg)->s.metrics);
}

static void
parse_outgoing(struct walk *w, const yaml_node_t *node, void *arg)
{
	struct settings *s = &((struct settings_walk *)arg)->s;
	struct in_addr in;

	if (inet_pton(AF_INET, walk_text(node), &in) == 1 &&
	    in.s_addr != INADDR_ANY)
		s->outgoing_address = ntohl(in.s_addr);
	else
		walk_add_finding(w, node,
		    "expected an IPv4 number like 192.0.2.1, got \"%s\"",
		    walk_text(node));
}

static void
parse_store(struct walk *w, const yaml_node_t *node, void *arg)
{
	parse_endpoint(w, node, &((struct settings_walk *)arg)->s.store);
}

/* A comma-separated list of addresses. */
static void
parse_seeds(struct walk *w, const yaml_node_t *node, void *arg)
{
	struct settings *s = &((struct settings_walk *)arg)->s;
	g_auto(GStrv) all = g_strsplit(walk_text(node), ",", -1);
	unsigned int i;

	for (i = 0; all[i] != NULL; i++) {
		if (*g_strstrip(all[i]) == '\0')
			continue;
		if (s->nseeds == SETTINGS_SEEDS_MAX) {
			walk_add_finding(
			    w, node, "more than %d seeds", SETTINGS_SEEDS_MAX);
			return;
		}
		if (endpoint_parse(all[i], &s->seeds[s->nseeds]))
			s->nseeds++;
		else
			walk_add_finding(w, node,
			    "expected an IPv4 number and a port like "
			    "192.0.2.1:8080, got \"%s\"",
			    all[i]);
	}
}

static void
parse_sound_parts(struct walk *w, const yaml_node_t *node, void *arg)
{
	struct settings *s = &((struct settings_walk *)arg)->s;
	g_auto(GStrv) all = g_strsplit(walk_text(node), ",", -1);
	unsigned int i;

	for (i = 0; all[i] != NULL; i++) {
		if (s->nsound_parts == SETTINGS_SOUND_PARTS_MAX) {
			walk_add_finding(w, node, "more than %d parts",
			    SETTINGS_SOUND_PARTS_MAX);
			return;
		}
		if (g_ascii_string_to_unsigned(g_strstrip(all[i]), 16, 0,
			G_MAXUINT64, &s->sound_parts[s->nsound_parts], NULL))
			s->nsound_parts++;
		else
			walk_add_finding(w, node,
			    "expected hexadecimal names of parts like "
			    "5c1e07a2,91bd3f06, got \"%s\"",
			    all[i]);
	}
}

static void
parse_duties_address(struct walk *w, const yaml_node_t *node, void *arg)
{
	parse_endpoint(w, node, &((struct settings_walk *)arg)->s.duties);
}

/* A decimal number from 0 to `max`; false after a finding. */
static bool
parse_fraction(struct walk *w, const yaml_node_t *node, double max, double *out)
{
	const char *s = walk_text(node);
	char *end;
	double x = g_ascii_strtod(s, &end);

	if (end != s && *end == '\0' && x >= 0 && x <= max) {
		*out = x;
		return true;
	}
	walk_add_finding(
	    w, node, "expected a number from 0 to %g, got \"%s\"", max, s);
	return false;
}

static void
parse_seconds(struct walk *w, const yaml_node_t *node, msec *out)
{
	double x;

	if (parse_fraction(w, node, 86400, &x))
		*out = (msec)(x * MSEC_SECOND);
}

static void
parse_stop_s(struct walk *w, const yaml_node_t *node, void *arg)
{
	parse_seconds(w, node, &((struct settings_walk *)arg)->s.stop_deadline);
}

static void
parse_usage_window_s(struct walk *w, const yaml_node_t *node, void *arg)
{
	parse_seconds(w, node, &((struct settings_walk *)arg)->s.usage_window);
}

static void
parse_usage_lateness_s(struct walk *w, const yaml_node_t *node, void *arg)
{
	parse_seconds(
	    w, node, &((struct settings_walk *)arg)->s.usage_lateness);
}

static void
parse_retry_window_s(struct walk *w, const yaml_node_t *node, void *arg)
{
	parse_seconds(w, node, &((struct settings_walk *)arg)->s.retry_window);
}

static void
parse_retry_ratio(struct walk *w, const yaml_node_t *node, void *arg)
{
	double x;

	if (parse_fraction(w, node, 1, &x))
		((struct settings_walk *)arg)->s.retry_permille =
		    (unsigned int)(x * 1000);
}

/* Platforms may compute the number; the fraction is cut off. */
static void
parse_retry_fixed(struct walk *w, const yaml_node_t *node, void *arg)
{
	double x;

	if (parse_fraction(w, node, RETRY_FIXED_MAX, &x))
		((struct settings_walk *)arg)->s.retry_fixed = (unsigned int)x;
}

/* A URL without trailing slashes, since the clients append paths to it. */
static void
parse_url(struct walk *w, const yaml_node_t *node, char **out)
{
	const char *s = walk_text(node);
	g_autoptr(GUri) uri = g_uri_parse(s, G_URI_FLAGS_NONE, NULL);
	size_t n;

	if (uri == NULL || strcmp(g_uri_get_scheme(uri), "http") != 0 ||
	    g_uri_get_host(uri) == NULL || *g_uri_get_host(uri) == '\0' ||
	    g_uri_get_query(uri) != NULL || g_uri_get_fragment(uri) != NULL) {
		walk_add_finding(w, node,
		    "expected a URL like http://192.0.2.1:8080, got \"%s\"", s);
		return;
	}
	for (n = strlen(s); n > 0 && s[n - 1] == '/'; n--)
		;
	g_free(*out);
	*out = g_strndup(s, n);
}

static void
parse_log_url(struct walk *w, const yaml_node_t *node, void *arg)
{
	parse_url(w, node, &((struct settings_walk *)arg)->s.log_url);
}

static void
parse_vm_list_url(struct walk *w, const yaml_node_t *node, void *arg)
{
	parse_url(w, node, &((struct settings_walk *)arg)->s.vm_list_url);
}

static void
parse_weight_url(struct walk *w, const yaml_node_t *node, void *arg)
{
	parse_url(w, node, &((struct settings_walk *)arg)->s.weight_url);
}

/* A relative name is relative to the directory of the settings file. */
static char *
peer_key_read(const struct walk *w, const char *name, GError **error)
{
	g_autofree char *dir = g_path_get_dirname(walk_file(w));
	g_autofree char *path = NULL;
	char *key;
	gsize n;

	path = g_path_is_absolute(name) ? g_strdup(name)
					: g_build_filename(dir, name, NULL);
	if (!g_file_get_contents(path, &key, &n, error))
		return NULL;
	if (n > PEER_KEY_FILE_MAX || strlen(key) != n) {
		g_set_error(error, SAVORY_ERROR, SAVORY_ERROR_INVALID,
		    "%s: expected at most %d bytes of text", path,
		    PEER_KEY_FILE_MAX);
		g_free(key);
		return NULL;
	}
	return g_strchomp(key);
}

static void
check_peer_key(struct walk *w, yaml_node_t *top, struct settings_walk *sw)
{
	yaml_node_t *node = walk_child(w, top, "peer_key");
	yaml_node_t *file = walk_child(w, top, "peer_key_file");
	g_autoptr(GError) error = NULL;

	if (node == NULL && file == NULL) {
		walk_add_finding(w, top,
		    "missing key \"peer_key\" or \"peer_key_file\" in the "
		    "settings");
		return;
	}
	if (node != NULL && file != NULL) {
		walk_add_finding(
		    w, file, "expected only one of peer_key and peer_key_file");
		return;
	}
	if (sw->peer_key_file != NULL) {
		sw->s.peer_key = peer_key_read(w, sw->peer_key_file, &error);
		if (error != NULL)
			walk_add_finding(
			    w, file, "peer_key_file: %s", error->message);
	}
	if (sw->s.peer_key != NULL && strlen(sw->s.peer_key) < PEER_KEY_MIN)
		walk_add_finding(w, node != NULL ? node : file,
		    "peer_key: expected %d bytes or more, got %zu",
		    PEER_KEY_MIN, strlen(sw->s.peer_key));
}

/* Requires either a store, or a log with a VM list and a weight store. */
static void
check_platform(struct walk *w, yaml_node_t *node, void *arg)
{
	static const char *const keys[] = { "log", "vm_list", "weights" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(keys); i++) {
		if (walk_child(w, node, "store") != NULL &&
		    walk_child(w, node, keys[i]) != NULL)
			walk_add_finding(w, walk_child(w, node, keys[i]),
			    "%s: not with a store", keys[i]);
		if (walk_child(w, node, "store") == NULL &&
		    walk_child(w, node, keys[i]) == NULL)
			walk_add_finding(
			    w, node, "missing key \"%s\" in platform", keys[i]);
	}
}

static void
check_store(struct walk *w, yaml_node_t *listen, const struct settings *s)
{
	if (s->store.port == 0 || listen == NULL)
		return;
	if (walk_child(w, listen, "ready") == NULL)
		walk_add_finding(w, listen, "missing key \"ready\" in listen");
	if (walk_child(w, listen, "directory") == NULL)
		walk_add_finding(
		    w, listen, "missing key \"directory\" in listen");
}

size_t
settings_memory(const struct settings *s, unsigned int percent)
{
	return ((size_t)s->memory_mb << 20) / 100 * percent;
}

static void
check_body_bytes(struct walk *w, yaml_node_t *limits, const struct settings *s)
{
	/* One more byte ends it in memory. */
	size_t most = settings_memory(s, SETTINGS_LARGE_BODIES_PERCENT) - 1;

	if (s->store.port == 0 && s->max_body_bytes > most)
		walk_add_finding(w, walk_child(w, limits, "body_bytes"),
		    "body_bytes: expected at most %zu with memory_mb: %u", most,
		    s->memory_mb);
}

static void
check_settings(struct walk *w, yaml_node_t *top, void *arg)
{
	struct settings_walk *sw = arg;
	const struct endpoint *a = &sw->s.caller, *b = &sw->s.control;
	yaml_node_t *listen = walk_child(w, top, "listen");

	check_peer_key(w, top, sw);
	check_store(w, listen, &sw->s);
	check_body_bytes(w, walk_child(w, top, "limits"), &sw->s);
	if (a->port != 0 && a->address == b->address && a->port == b->port)
		walk_add_finding(w, walk_child(w, listen, "control"),
		    "expected another address than caller's");
}

static void
settings_default(struct settings *s)
{
	memset(s, 0, sizeof *s);
	g_strlcpy(s->log_level, "info", sizeof s->log_level);
	g_strlcpy(s->policy, "owner", sizeof s->policy);
	s->leave_grace = 3 * MSEC_SECOND;
	s->log_retention = 24 * 3600 * MSEC_SECOND;
	s->keys_bound = 5 * MSEC_SECOND;
	s->change_bound = 2 * MSEC_SECOND;
	s->rewrite = 5 * MSEC_SECOND;
	s->retry_permille = 100;
	s->retry_window = 10 * MSEC_SECOND;
	s->duty_lease = 3 * MSEC_SECOND;
	s->usage_lateness = 10 * MSEC_SECOND;
	s->order_servers = true;
	s->capacity = capacity_defaults;
	s->keep_answers = 30 * MSEC_SECOND;
	s->max_connections = 4096;
	s->max_body_bytes = 1024 * 1024;
	s->memory_mb = 256;
	s->caller_threads = 2;
	s->engine_threads = 2;
}

bool
settings_parse(struct settings *s, const char *text, size_t len,
    const char *file, struct findings *f)
{
	struct settings_walk sw = { 0 };
	bool ok;

	settings_default(&sw.s);
	ok = walk_run(
	    &settings_schema, &sw, text, len, SETTINGS_BYTES_MAX, file, f);
	g_free(sw.peer_key_file);
	sw.s.log_json = sw.log_format == 1;
	*s = sw.s;
	if (!ok)
		settings_finish(s);
	log_debug("%s: %s", file, ok ? "settings are valid" : "has findings");
	return ok;
}

bool
settings_load(struct settings *s, const char *file, struct findings *f)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	gsize len;

	if (!g_file_get_contents(file, &text, &len, &error)) {
		memset(s, 0, sizeof *s);
		findings_add(f, file, 0, 0, "%s", error->message);
		return false;
	}
	return settings_parse(s, text, len, file, f);
}

void
settings_finish(struct settings *s)
{
	g_free(s->log_url);
	g_free(s->vm_list_url);
	g_free(s->weight_url);
	g_free(s->peer_key);
	g_free(s->tls_certificate);
	g_free(s->tls_key);
	memset(s, 0, sizeof *s);
}
