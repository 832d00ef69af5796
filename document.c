/*
 * The service document from YAML, and its checks; see document.h.
 */

#define LOG_PART "document"
#include "document.h"

#include "schemas.h"

#include <fnmatch.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <gnutls/gnutls.h>

#define DOCUMENT_MODELS_MAX 64
#define DOCUMENT_ORGS_MAX 1024
#define DOCUMENT_TRAITS_MAX 256
/* Upper bounds: targets of one day, limits above any fleet's capacity. */
#define TARGET_MAX (24 * 3600 * MSEC_SECOND)
#define LIMIT_MAX (100 * 1000 * 1000)
#define PERMILLE 1000
#define SHA256_HEX_LEN 64

static void parse_floor(struct walk *, const yaml_node_t *, void *);
static void parse_key(struct walk *, const yaml_node_t *, void *);
static void parse_match(struct walk *, const yaml_node_t *, void *);
static void check_class(struct walk *, yaml_node_t *, void *);
static void check_document(struct walk *, yaml_node_t *, void *);

static const char *const kind_names[] = {
	[SERVICE_MODEL] = "model", [SERVICE_PLAIN] = "plain", NULL
};
static const char *const weighs_names[] = {
	[WEIGHS_ATTAINMENT] = "attainment", [WEIGHS_WASTE] = "waste", NULL
};

static const struct walk_schema model_schema = { "a model",
	sizeof(struct doc_model),
	(const struct walk_field[]){
	    { "name", WALK_NAME, true, offsetof(struct doc_model, name) },
	    { "version", WALK_NAME, true, offsetof(struct doc_model, version) },
	    { NULL } } };

/* Targets are fields of struct doc_class, so offsets are relative to it. */
static const struct walk_schema targets_schema = { "targets", 0,
	(const struct walk_field[]){
	    { "first_token_ms", WALK_MSEC,
		.offset = offsetof(struct doc_class, first_token), .min = 1,
		.max = TARGET_MAX },
	    { "between_tokens_ms", WALK_MSEC,
		.offset = offsetof(struct doc_class, between_tokens), .min = 1,
		.max = TARGET_MAX },
	    { "whole_answer_ms", WALK_MSEC,
		.offset = offsetof(struct doc_class, whole_answer), .min = 1,
		.max = TARGET_MAX },
	    { NULL } } };

static const struct walk_schema class_schema = { "a class",
	sizeof(struct doc_class),
	(const struct walk_field[]){
	    { "name", WALK_NAME, true, offsetof(struct doc_class, name) },
	    { "tier", WALK_UINT, true, offsetof(struct doc_class, tier), 0,
		DOCUMENT_TIERS_MAX - 1 },
	    { "protected", WALK_BOOL,
		.offset = offsetof(struct doc_class, is_protected) },
	    { "repeatable", WALK_BOOL,
		.offset = offsetof(struct doc_class, repeatable) },
	    { "floor", WALK_CUSTOM, .parse = parse_floor },
	    { "targets", WALK_MAP, .schema = &targets_schema }, { NULL } },
	check_class };

static const struct walk_schema limits_schema = { "limits", 0,
	(const struct walk_field[]){
	    { "requests_per_second", WALK_UINT,
		.offset = offsetof(struct doc_limits, requests_per_second),
		.min = 0, .max = LIMIT_MAX },
	    { "tokens_per_second", WALK_UINT,
		.offset = offsetof(struct doc_limits, tokens_per_second),
		.min = 0, .max = LIMIT_MAX },
	    { "in_flight", WALK_UINT,
		.offset = offsetof(struct doc_limits, in_flight), .min = 0,
		.max = LIMIT_MAX },
	    { NULL } } };

static const struct walk_schema org_schema = { "an organisation",
	sizeof(struct doc_org),
	(const struct walk_field[]){
	    { "name", WALK_NAME, true, offsetof(struct doc_org, name) },
	    { "key_sha256", WALK_CUSTOM, true, .parse = parse_key },
	    { "weight", WALK_UINT, .offset = offsetof(struct doc_org, weight),
		.min = 1, .max = 1000 },
	    { "limits", WALK_MAP, .offset = offsetof(struct doc_org, limits),
		.schema = &limits_schema },
	    { NULL } } };

static const struct walk_schema trait_schema = { "backends",
	sizeof(struct doc_trait),
	(const struct walk_field[]){
	    { "match", WALK_CUSTOM, true, .parse = parse_match },
	    { "fenced", WALK_BOOL,
		.offset = offsetof(struct doc_trait, fenced) },
	    { "resumes", WALK_BOOL,
		.offset = offsetof(struct doc_trait, resumes) },
	    { "slots", WALK_UINT, .offset = offsetof(struct doc_trait, slots),
		.min = 1, .max = 1024 },
	    { NULL } } };

const struct walk_schema document_schema = { "the document", 0,
	(const struct walk_field[]){
	    { "service", WALK_NAME, true, offsetof(struct document, service) },
	    { "kind", WALK_CHOICE_INDEX,
		.offset = offsetof(struct document, kind),
		.choices = kind_names },
	    { "weighs", WALK_CHOICE_INDEX,
		.offset = offsetof(struct document, weighs),
		.choices = weighs_names },
	    { "models", WALK_LIST, .offset = offsetof(struct document, models),
		.min = 1, .max = DOCUMENT_MODELS_MAX, .schema = &model_schema,
		.count_offset = offsetof(struct document, nmodels) },
	    { "classes", WALK_LIST, true, offsetof(struct document, classes), 1,
		DOCUMENT_CLASSES_MAX, .schema = &class_schema,
		.count_offset = offsetof(struct document, nclasses) },
	    { "organisations", WALK_LIST, true, offsetof(struct document, orgs),
		1, DOCUMENT_ORGS_MAX, .schema = &org_schema,
		.count_offset = offsetof(struct document, norgs) },
	    { "backends", WALK_LIST,
		.offset = offsetof(struct document, traits), .min = 0,
		.max = DOCUMENT_TRAITS_MAX, .schema = &trait_schema,
		.count_offset = offsetof(struct document, ntraits) },
	    { NULL } },
	check_document };

/* Percent with at most one decimal, as permille: "5%", "2.5%", 5. */
static bool
percent_parse(const char *s, unsigned int *out)
{
	unsigned int whole = 0, tenth = 0;

	if (!g_ascii_isdigit(*s))
		return false;
	for (; g_ascii_isdigit(*s) && whole <= 100; s++)
		whole = whole * 10 + (*s - '0');
	if (s[0] == '.' && g_ascii_isdigit(s[1])) {
		tenth = s[1] - '0';
		s += 2;
	}
	if (*s == '%')
		s++;
	*out = whole * 10 + tenth;
	return *s == '\0' && *out <= PERMILLE;
}

static void
parse_floor(struct walk *w, const yaml_node_t *node, void *arg)
{
	struct doc_class *c = arg;

	if (percent_parse(walk_text(node), &c->floor_permille))
		return;
	c->floor_permille = 0;
	walk_add_finding(w, node,
	    "floor: expected a percentage from 0%% to 100%% in steps of 0.1, "
	    "got \"%s\"",
	    walk_text(node));
}

static void
parse_key(struct walk *w, const yaml_node_t *node, void *arg)
{
	struct doc_org *o = arg;
	const char *s = walk_text(node);

	if (strlen(s) == SHA256_HEX_LEN &&
	    strspn(s, "0123456789abcdef") == SHA256_HEX_LEN) {
		g_strlcpy(o->key_sha256, s, sizeof o->key_sha256);
		return;
	}
	/* The text is not printed: it may be the key, pasted by mistake. */
	walk_add_finding(w, node,
	    "key_sha256: expected the %d lower-case hex digits of the key's "
	    "SHA-256",
	    SHA256_HEX_LEN);
}

static void
parse_match(struct walk *w, const yaml_node_t *node, void *arg)
{
	struct doc_trait *t = arg;
	const char *s = walk_text(node);
	size_t n = strlen(s);

	if (n > 0 && n <= NAME_LEN &&
	    strspn(s, "abcdefghijklmnopqrstuvwxyz0123456789._-*?[]!") == n) {
		g_strlcpy(t->match, s, sizeof t->match);
		return;
	}
	walk_add_finding(w, node,
	    "match: expected a pattern of at most %d of a-z 0-9 . _ - * ? "
	    "[ ] !, got \"%s\"",
	    NAME_LEN, s);
}

/* Rejects token targets that are longer than the whole answer's. */
static void
check_class(struct walk *w, yaml_node_t *node, void *arg)
{
	const struct doc_class *c = arg;
	yaml_node_t *targets = walk_child(w, node, "targets");

	if (c->whole_answer == 0)
		return;
	if (c->first_token > c->whole_answer)
		walk_add_finding(w, walk_child(w, targets, "first_token_ms"),
		    "first_token_ms: expected at most whole_answer_ms, %" PRId64
		    ", got %" PRId64,
		    c->whole_answer, c->first_token);
	if (c->between_tokens > c->whole_answer)
		walk_add_finding(w, walk_child(w, targets, "between_tokens_ms"),
		    "between_tokens_ms: expected at most whole_answer_ms, "
		    "%" PRId64 ", got %" PRId64,
		    c->whole_answer, c->between_tokens);
}

/* The value of a key in item `i` of a top-level list, for a finding. */
static yaml_node_t *
item_value(struct walk *w, yaml_node_t *top, const char *list, unsigned int i,
    const char *key)
{
	yaml_node_t *item = walk_item(w, walk_child(w, top, list), i);
	yaml_node_t *value = walk_child(w, item, key);

	return value != NULL ? value : item;
}

/*
 * Adds the value of item `i` of a list to `seen`, and a finding at its key
 * when an earlier item had it. Empty values are ignored.
 */
static void
check_duplicate(struct walk *w, yaml_node_t *top, GHashTable *seen,
    const char *list, unsigned int i, const char *key, const char *value)
{
	if (*value == '\0' || g_hash_table_add(seen, g_strdup(value)))
		return;
	if (strcmp(key, "key_sha256") == 0)
		value = "this hash";
	walk_add_finding(w, item_value(w, top, list, i, key),
	    "%s: %s appears twice in %s", key, value, list);
}

static GHashTable *
string_set_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void
check_models(struct walk *w, yaml_node_t *top, const struct document *d)
{
	g_autoptr(GHashTable) seen = string_set_new();
	yaml_node_t *node = walk_child(w, top, "models");
	unsigned int i;

	if (d->kind == SERVICE_MODEL && node == NULL)
		walk_add_finding(w, top,
		    "missing key \"models\" in the document of a model "
		    "service");
	if (d->kind == SERVICE_PLAIN && node != NULL)
		walk_add_finding(w, node, "models: a plain service has none");
	for (i = 0; i < d->nmodels; i++)
		check_duplicate(
		    w, top, seen, "models", i, "name", d->models[i].name);
}

static void
check_orgs(struct walk *w, yaml_node_t *top, const struct document *d)
{
	g_autoptr(GHashTable) names = string_set_new();
	g_autoptr(GHashTable) keys = string_set_new();
	unsigned int i;

	for (i = 0; i < d->norgs; i++) {
		check_duplicate(
		    w, top, names, "organisations", i, "name", d->orgs[i].name);
		check_duplicate(w, top, keys, "organisations", i, "key_sha256",
		    d->orgs[i].key_sha256);
	}
}

/* Floors are shares of all slots, so their sum is at most 100%. */
static void
check_floors(struct walk *w, yaml_node_t *top, const struct document *d)
{
	unsigned int i, sum = 0;

	for (i = 0; i < d->nclasses; i++) {
		sum += d->classes[i].floor_permille;
		if (sum <= PERMILLE)
			continue;
		walk_add_finding(w, item_value(w, top, "classes", i, "floor"),
		    "floor: expected at most 100%% over all classes, got "
		    "%u.%u%% up to here",
		    sum / 10, sum % 10);
		return;
	}
}

/*
 * Rejects a protected class in a lower tier than an unprotected one: the tiers
 * would require it to be shed first, and its protection forbids that.
 */
static void
check_protected(struct walk *w, yaml_node_t *top, const struct document *d)
{
	const struct doc_class *c, *other;
	unsigned int i, j;

	for (i = 0; i < d->nclasses; i++) {
		c = &d->classes[i];
		for (j = 0; c->is_protected && j < d->nclasses; j++) {
			other = &d->classes[j];
			if (other->is_protected || other->tier >= c->tier)
				continue;
			walk_add_finding(w,
			    item_value(w, top, "classes", i, "tier"),
			    "tier: expected a protected class in a tier no "
			    "lower than unprotected \"%s\" in %u, got %u",
			    other->name, other->tier, c->tier);
			break;
		}
	}
}

/* Checks and defaults that differ between model and plain services. */
static void
check_kind(struct walk *w, yaml_node_t *top, struct document *d)
{
	struct doc_class *c;
	unsigned int i;
	yaml_node_t *item;

	for (i = 0; i < d->nclasses; i++) {
		c = &d->classes[i];
		item = walk_item(w, walk_child(w, top, "classes"), i);
		/*
		 * A model's answer can be computed again. A second run of a
		 * plain service's call may be a second booking, so its
		 * document has to declare the calls repeatable.
		 */
		if (walk_child(w, item, "repeatable") == NULL)
			c->repeatable = d->kind == SERVICE_MODEL;
		if (d->kind == SERVICE_PLAIN &&
		    (c->first_token != 0 || c->between_tokens != 0))
			walk_add_finding(w,
			    item_value(w, top, "classes", i, "targets"),
			    "targets: a plain service has no tokens, expected "
			    "only whole_answer_ms");
	}
}

static void
check_document(struct walk *w, yaml_node_t *top, void *arg)
{
	struct document *d = arg;
	g_autoptr(GHashTable) seen = string_set_new();
	unsigned int i;

	for (i = 0; i < d->nclasses; i++)
		check_duplicate(
		    w, top, seen, "classes", i, "name", d->classes[i].name);
	check_models(w, top, d);
	check_orgs(w, top, d);
	check_floors(w, top, d);
	check_protected(w, top, d);
	check_kind(w, top, d);
	for (i = 0; i < d->norgs; i++) {
		if (d->orgs[i].weight == 0)
			d->orgs[i].weight = 1;
	}
}

bool
document_parse(struct document *d, const char *text, size_t len,
    const char *file, struct findings *f)
{
	bool ok;

	memset(d, 0, sizeof *d);
	ok = walk_run(
	    &document_schema, d, text, len, DOCUMENT_BYTES_MAX, file, f);
	log_debug("%s: document of \"%s\" %s", file, d->service,
	    ok ? "is valid" : "has findings");
	if (!ok)
		document_finish(d);
	return ok;
}

void
document_finish(struct document *d)
{
	g_free(d->models);
	g_free(d->classes);
	g_free(d->orgs);
	g_free(d->traits);
	memset(d, 0, sizeof *d);
}

int
document_class(const struct document *d, const char *name)
{
	unsigned int i;

	for (i = 0; i < d->nclasses; i++) {
		if (strcmp(d->classes[i].name, name) == 0)
			return i;
	}
	return -1;
}

const struct doc_org *
document_org_by_key(const struct document *d, const char *key)
{
	g_autofree char *hash = NULL;
	const struct doc_org *found = NULL;
	unsigned int i;

	hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
	for (i = 0; i < d->norgs; i++) {
		if (gnutls_memcmp(
			hash, d->orgs[i].key_sha256, SHA256_HEX_LEN) == 0)
			found = &d->orgs[i];
	}
	return found;
}

struct doc_trait
document_trait(const struct document *d, const char *name)
{
	unsigned int i;

	for (i = 0; i < d->ntraits; i++) {
		if (fnmatch(d->traits[i].match, name, 0) == 0)
			return d->traits[i];
	}
	return (struct doc_trait){ .match = "" };
}
