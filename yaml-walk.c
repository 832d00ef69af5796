/*
 * Walks YAML by a schema; see yaml-walk.h. libyaml parses the text twice: once
 * as events, to check the bounds before a document is allocated, and once as
 * a document, whose nodes have their line and column.
 */

#define LOG_PART "yaml"
#include "yaml-walk.h"

#include <errno.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/* Largest edit distance at which an unknown key gets a hint to a known one. */
#define WALK_HINT_EDITS 2

struct walk {
	yaml_document_t doc;
	const char *file;
	struct findings found;
	unsigned int visits;
	bool truncated; /* findings were dropped or the walk ended at a bound */
};

/* Counts over the events of a file. */
struct walk_event_counts {
	unsigned int events;
	unsigned int anchors;
	unsigned int documents;
	unsigned int depth;
};

static void walk_add_finding_at(struct walk *, unsigned int, unsigned int,
    const char *, ...) __attribute__((format(printf, 4, 5)));
static void walk_add_finding_va(struct walk *, unsigned int, unsigned int,
    const char *, va_list) __attribute__((format(printf, 4, 0)));
static void
walk_map(struct walk *, const struct walk_schema *, yaml_node_t *, void *);

static void
walk_add_finding_va(struct walk *w, unsigned int line, unsigned int column,
    const char *fmt, va_list ap)
{
	g_autofree char *text = NULL;

	if (w->found.count >= WALK_FINDINGS_MAX) {
		w->truncated = true;
		return;
	}
	text = g_strdup_vprintf(fmt, ap);
	findings_add(&w->found, w->file, line, column, "%s", text);
}

static void
walk_add_finding_at(struct walk *w, unsigned int line, unsigned int column,
    const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	walk_add_finding_va(w, line, column, fmt, ap);
	va_end(ap);
}

void
walk_add_finding(struct walk *w, const yaml_node_t *node, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	walk_add_finding_va(
	    w, node->start_mark.line + 1, node->start_mark.column + 1, fmt, ap);
	va_end(ap);
}

const char *
walk_text(const yaml_node_t *node)
{
	return (const char *)node->data.scalar.value;
}

const char *
walk_file(const struct walk *w)
{
	return w->file;
}

yaml_node_t *
walk_child(struct walk *w, const yaml_node_t *map, const char *key)
{
	yaml_node_pair_t *pair;
	yaml_node_t *k;

	if (map == NULL || map->type != YAML_MAPPING_NODE)
		return NULL;
	for (pair = map->data.mapping.pairs.start;
	     pair < map->data.mapping.pairs.top; pair++) {
		k = yaml_document_get_node(&w->doc, pair->key);
		if (k->type == YAML_SCALAR_NODE &&
		    strcmp(walk_text(k), key) == 0)
			return yaml_document_get_node(&w->doc, pair->value);
	}
	return NULL;
}

yaml_node_t *
walk_item(struct walk *w, const yaml_node_t *list, unsigned int i)
{
	yaml_node_item_t *item;

	if (list == NULL || list->type != YAML_SEQUENCE_NODE)
		return NULL;
	item = list->data.sequence.items.start + i;
	if (item >= list->data.sequence.items.top)
		return NULL;
	return yaml_document_get_node(&w->doc, *item);
}

/* Levenshtein distance of two strings of at most NAME_LEN bytes. */
static unsigned int
edit_distance(const char *a, const char *b)
{
	unsigned int row[NAME_SIZE + 1];
	unsigned int i, j, corner, up;
	size_t n = strlen(b);

	if (n > NAME_LEN || strlen(a) > NAME_LEN)
		return NAME_SIZE;
	for (j = 0; j <= n; j++)
		row[j] = j;
	for (i = 0; a[i] != '\0'; i++) {
		corner = row[0];
		row[0] = i + 1;
		for (j = 0; j < n; j++) {
			up = row[j + 1];
			row[j + 1] =
			    MIN(corner + (a[i] != b[j]), MIN(up, row[j]) + 1);
			corner = up;
		}
	}
	return row[n];
}

static const char *
field_nearest(const struct walk_field *fields, const char *key)
{
	const struct walk_field *f;
	const char *best = NULL;
	unsigned int d, least = WALK_HINT_EDITS + 1;

	for (f = fields; f->key != NULL; f++) {
		d = edit_distance(key, f->key);
		if (d < least && d < strlen(f->key)) {
			least = d;
			best = f->key;
		}
	}
	return best;
}

static const struct walk_field *
field_find(const struct walk_field *fields, const char *key)
{
	const struct walk_field *f;

	for (f = fields; f->key != NULL; f++) {
		if (strcmp(f->key, key) == 0)
			return f;
	}
	return NULL;
}

/* Count one more node. False when the walk has visited too many. */
static bool
walk_count_visit(struct walk *w, const yaml_node_t *node)
{
	if (w->visits >= WALK_VISITS_MAX) {
		/* Added even above WALK_FINDINGS_MAX, because it ends the walk.
		 */
		if (w->visits++ == WALK_VISITS_MAX)
			findings_add(&w->found, w->file,
			    node->start_mark.line + 1,
			    node->start_mark.column + 1,
			    "too many values with aliases followed, expected "
			    "at most %d",
			    WALK_VISITS_MAX);
		return false;
	}
	w->visits++;
	return true;
}

static const char *
node_kind(const yaml_node_t *node)
{
	switch (node->type) {
	case YAML_SEQUENCE_NODE:
		return "a list";
	case YAML_MAPPING_NODE:
		return "a map";
	case YAML_SCALAR_NODE:
		return "a single value";
	default:
		return "nothing";
	}
}

static bool
walk_expect(struct walk *w, const yaml_node_t *node, yaml_node_type_t type,
    const char *key, const char *what)
{
	static const char *const tags[] = { [YAML_SCALAR_NODE] =
						YAML_DEFAULT_SCALAR_TAG,
		[YAML_SEQUENCE_NODE] = YAML_DEFAULT_SEQUENCE_TAG,
		[YAML_MAPPING_NODE] = YAML_DEFAULT_MAPPING_TAG };

	if (node->type != type) {
		walk_add_finding(w, node, "%s: expected %s, got %s", key, what,
		    node_kind(node));
		return false;
	}
	if (node->tag != NULL &&
	    strcmp((const char *)node->tag, tags[type]) != 0) {
		walk_add_finding(w, node, "%s: expected no tag, got \"%s\"",
		    key, (const char *)node->tag);
		return false;
	}
	return true;
}

static bool
scalar_is_plain(const yaml_node_t *node)
{
	return node->data.scalar.style == YAML_PLAIN_SCALAR_STYLE;
}

/* Scalars may contain NUL bytes by an escape; C strings can't. */
static bool
scalar_is_string(const yaml_node_t *node)
{
	return strlen(walk_text(node)) == node->data.scalar.length;
}

static void
walk_name(struct walk *w, const struct walk_field *f, const yaml_node_t *node,
    char *out)
{
	if (!scalar_is_string(node) || !name_valid(walk_text(node))) {
		walk_add_finding(w, node,
		    "%s: expected a name of at most %d of a-z 0-9 . _ - that "
		    "starts with a letter or digit",
		    f->key, NAME_LEN);
		return;
	}
	g_strlcpy(out, walk_text(node), NAME_SIZE);
}

static void
walk_string(struct walk *w, const struct walk_field *f, const yaml_node_t *node,
    char **out)
{
	if (!scalar_is_string(node) || *walk_text(node) == '\0') {
		walk_add_finding(
		    w, node, "%s: expected text that is not empty", f->key);
		return;
	}
	g_free(*out);
	*out = g_strdup(walk_text(node));
}

static int
walk_choice(struct walk *w, const struct walk_field *f, const yaml_node_t *node)
{
	g_autofree char *all = NULL;
	int i;

	for (i = 0; f->choices[i] != NULL; i++) {
		if (strcmp(f->choices[i], walk_text(node)) == 0)
			return i;
	}
	all = g_strjoinv(", ", (char **)f->choices);
	walk_add_finding(w, node, "%s: expected one of %s, got \"%s\"", f->key,
	    all, walk_text(node));
	return -1;
}

static bool
walk_number(struct walk *w, const struct walk_field *f, const yaml_node_t *node,
    int64_t *out)
{
	const char *s = walk_text(node);
	char *end;
	long long n;

	errno = 0;
	n = strtoll(s, &end, 10);
	if (!scalar_is_plain(node) || end == s || *end != '\0' ||
	    g_ascii_isspace(*s) || errno == EINVAL) {
		walk_add_finding(w, node,
		    "%s: expected a whole number, got %s\"%s\"", f->key,
		    scalar_is_plain(node) ? "" : "text ", s);
		return false;
	}
	if (errno == ERANGE || n < f->min || n > f->max) {
		walk_add_finding(w, node,
		    "%s: expected a number from %" PRId64 " to %" PRId64
		    ", got %s",
		    f->key, f->min, f->max, s);
		return false;
	}
	*out = n;
	return true;
}

static void
walk_bool(struct walk *w, const struct walk_field *f, const yaml_node_t *node,
    bool *out)
{
	const char *s = walk_text(node);

	if (scalar_is_plain(node) && strcmp(s, "true") == 0)
		*out = true;
	else if (scalar_is_plain(node) && strcmp(s, "false") == 0)
		*out = false;
	else
		walk_add_finding(w, node,
		    "%s: expected true or false, got \"%s\"", f->key, s);
}

static void
walk_scalar(struct walk *w, const struct walk_field *f, const yaml_node_t *node,
    void *base)
{
	char *at = (char *)base + f->offset;
	int64_t n;
	int i;

	switch (f->type) {
	case WALK_NAME:
		walk_name(w, f, node, at);
		break;
	case WALK_STRING:
		walk_string(w, f, node, (char **)(void *)at);
		break;
	case WALK_CHOICE_NAME:
		if ((i = walk_choice(w, f, node)) != -1)
			g_strlcpy(at, f->choices[i], WALK_CHOICE_NAME_SIZE);
		break;
	case WALK_CHOICE_INDEX:
		if ((i = walk_choice(w, f, node)) != -1)
			*(unsigned int *)(void *)at = i;
		break;
	case WALK_UINT:
		if (walk_number(w, f, node, &n))
			*(unsigned int *)(void *)at = n;
		break;
	case WALK_MSEC:
		if (walk_number(w, f, node, &n))
			*(msec *)(void *)at = n;
		break;
	case WALK_BOOL:
		walk_bool(w, f, node, (bool *)(void *)at);
		break;
	default:
		if (scalar_is_string(node))
			f->parse(w, node, base);
		else
			walk_add_finding(w, node,
			    "%s: expected text without \"\\0\"", f->key);
		break;
	}
}

static void
walk_list(
    struct walk *w, const struct walk_field *f, yaml_node_t *node, void *base)
{
	void **array = (void **)(void *)((char *)base + f->offset);
	unsigned int *count =
	    (unsigned int *)(void *)((char *)base + f->count_offset);
	unsigned int i, n;

	n = node->data.sequence.items.top - node->data.sequence.items.start;
	if (n < f->min || n > f->max) {
		walk_add_finding(w, node,
		    "%s: expected %" PRId64 " to %" PRId64 " items, got %u",
		    f->key, f->min, f->max, n);
		n = MIN(n, f->max);
	}
	*array = g_malloc0_n(MAX(n, 1), f->schema->size);
	*count = n;
	for (i = 0; i < n; i++)
		walk_map(w, f->schema, walk_item(w, node, i),
		    (char *)*array + i * f->schema->size);
}

static void
walk_value(
    struct walk *w, const struct walk_field *f, yaml_node_t *node, void *base)
{
	if (!walk_count_visit(w, node))
		return;
	if (f->type == WALK_MAP) {
		walk_map(w, f->schema, node, (char *)base + f->offset);
		return;
	}
	if (f->type == WALK_LIST) {
		if (walk_expect(w, node, YAML_SEQUENCE_NODE, f->key, "a list"))
			walk_list(w, f, node, base);
		return;
	}
	if (walk_expect(w, node, YAML_SCALAR_NODE, f->key, "a single value"))
		walk_scalar(w, f, node, base);
}

/* The field of a key; NULL, after a finding, when its value is ignored. */
static const struct walk_field *
walk_key(struct walk *w, const struct walk_schema *schema,
    const yaml_node_t *key, GHashTable *seen)
{
	const struct walk_field *f;
	const char *near;

	if (key->type != YAML_SCALAR_NODE || !scalar_is_string(key)) {
		walk_add_finding(w, key, "expected a key of %s, got %s",
		    schema->what, node_kind(key));
		return NULL;
	}
	if (!g_hash_table_add(seen, (gpointer)walk_text(key))) {
		walk_add_finding(w, key, "\"%s\" appears twice in %s",
		    walk_text(key), schema->what);
		return NULL;
	}
	if ((f = field_find(schema->fields, walk_text(key))) != NULL)
		return f;
	near = field_nearest(schema->fields, walk_text(key));
	if (near != NULL)
		walk_add_finding(w, key,
		    "unknown key \"%s\" in %s, did you mean \"%s\"?",
		    walk_text(key), schema->what, near);
	else
		walk_add_finding(w, key, "unknown key \"%s\" in %s",
		    walk_text(key), schema->what);
	return NULL;
}

static void
walk_required(struct walk *w, const struct walk_schema *schema,
    const yaml_node_t *node, GHashTable *seen)
{
	const struct walk_field *f;

	for (f = schema->fields; f->key != NULL; f++) {
		if (f->required && !g_hash_table_contains(seen, f->key))
			walk_add_finding(w, node, "missing key \"%s\" in %s",
			    f->key, schema->what);
	}
}

static void
walk_map(struct walk *w, const struct walk_schema *schema, yaml_node_t *node,
    void *base)
{
	g_autoptr(GHashTable) seen = NULL;
	const struct walk_field *f;
	yaml_node_pair_t *pair;
	yaml_node_t *key;

	if (!walk_count_visit(w, node))
		return;
	if (!walk_expect(w, node, YAML_MAPPING_NODE, schema->what, "a map"))
		return;
	seen = g_hash_table_new(g_str_hash, g_str_equal);
	for (pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++) {
		key = yaml_document_get_node(&w->doc, pair->key);
		if (!walk_count_visit(w, key))
			return;
		f = walk_key(w, schema, key, seen);
		if (f != NULL)
			walk_value(w, f,
			    yaml_document_get_node(&w->doc, pair->value), base);
	}
	walk_required(w, schema, node, seen);
	if (schema->check != NULL)
		schema->check(w, node, base);
}

/* The characters that libyaml's reader accepts. */
static bool
char_is_allowed(gunichar c)
{
	if (c == '\t' || c == '\n' || c == '\r' || c == 0x85)
		return true;
	return (c >= 0x20 && c <= 0x7e) || (c >= 0xa0 && c <= 0xfffd) ||
	       (c >= 0x10000 && c <= 0x10ffff);
}

/* Adds a finding for an invalid character. */
static bool
walk_check_char(struct walk *w, gunichar c, unsigned char byte,
    unsigned int line, unsigned int column)
{
	if (c == (gunichar)-1 || c == (gunichar)-2)
		walk_add_finding_at(w, line, column,
		    "expected UTF-8, got the byte 0x%02x", byte);
	else if (!char_is_allowed(c))
		walk_add_finding_at(w, line, column,
		    "expected text, got the control character U+%04X", c);
	else
		return true;
	return false;
}

/*
 * A copy of the text in which each invalid byte or control character is
 * replaced by "x", after a finding, so that the walk also reports the errors
 * behind it.
 */
static GString *
walk_sanitize(struct walk *w, const char *text, size_t len)
{
	GString *copy = g_string_sized_new(len + 1);
	const char *p = text, *end = text + len;
	unsigned int line = 1, column = 1;
	size_t n;
	gunichar c;

	while (p < end) {
		c = g_utf8_get_char_validated(p, end - p);
		n = c >= (gunichar)-2 ? 1 : g_utf8_skip[(unsigned char)*p];
		if (walk_check_char(w, c, *p, line, column))
			g_string_append_len(copy, p, n);
		else
			g_string_append_c(copy, 'x');
		p += n;
		column++;
		if (c == '\n') {
			line++;
			column = 1;
		}
	}
	return copy;
}

static void
walk_add_syntax_error(struct walk *w, const yaml_parser_t *parser)
{
	walk_add_finding_at(w, parser->problem_mark.line + 1,
	    parser->problem_mark.column + 1, "not YAML: %s%s%s",
	    parser->problem != NULL ? parser->problem : "unreadable",
	    parser->context != NULL ? " " : "",
	    parser->context != NULL ? parser->context : "");
}

static void
walk_parser_init(yaml_parser_t *parser, const char *text, size_t len)
{
	yaml_parser_initialize(parser);
	yaml_parser_set_encoding(parser, YAML_UTF8_ENCODING);
	yaml_parser_set_input_string(parser, (const unsigned char *)text, len);
}

static const yaml_char_t *
event_anchor(const yaml_event_t *event)
{
	switch (event->type) {
	case YAML_SCALAR_EVENT:
		return event->data.scalar.anchor;
	case YAML_SEQUENCE_START_EVENT:
		return event->data.sequence_start.anchor;
	case YAML_MAPPING_START_EVENT:
		return event->data.mapping_start.anchor;
	default:
		return NULL;
	}
}

static void
event_counts_add(struct walk_event_counts *t, const yaml_event_t *event)
{
	t->events++;
	t->anchors += event_anchor(event) != NULL;
	t->documents += event->type == YAML_DOCUMENT_START_EVENT;
	if (event->type == YAML_SEQUENCE_START_EVENT ||
	    event->type == YAML_MAPPING_START_EVENT)
		t->depth++;
	if (event->type == YAML_SEQUENCE_END_EVENT ||
	    event->type == YAML_MAPPING_END_EVENT)
		t->depth--;
}

/* Checks the counts against the bounds. False after a finding. */
static bool
walk_check_bounds(struct walk *w, const struct walk_event_counts *t,
    const yaml_event_t *event)
{
	unsigned int line = event->start_mark.line + 1;
	unsigned int column = event->start_mark.column + 1;

	if (t->documents > 1)
		walk_add_finding_at(
		    w, line, column, "expected one document, got a second one");
	else if (t->depth > WALK_DEPTH_MAX)
		walk_add_finding_at(w, line, column,
		    "nested too deep, expected at most %d levels",
		    WALK_DEPTH_MAX);
	else if (t->events > WALK_VISITS_MAX)
		walk_add_finding_at(w, line, column,
		    "too many values, expected at most %d", WALK_VISITS_MAX);
	else if (t->anchors > WALK_ANCHORS_MAX)
		walk_add_finding_at(w, line, column,
		    "too many anchors, expected at most %d", WALK_ANCHORS_MAX);
	else
		return true;
	return false;
}

/* Parses the events. True when they are one document within the bounds. */
static bool
walk_check_events(struct walk *w, const char *text, size_t len)
{
	struct walk_event_counts t = { 0 };
	yaml_parser_t parser;
	yaml_event_t event;
	bool ok = true, end = false;

	walk_parser_init(&parser, text, len);
	while (ok && !end) {
		if (!yaml_parser_parse(&parser, &event)) {
			walk_add_syntax_error(w, &parser);
			ok = false;
			break;
		}
		end = event.type == YAML_STREAM_END_EVENT;
		event_counts_add(&t, &event);
		ok = walk_check_bounds(w, &t, &event);
		yaml_event_delete(&event);
	}
	yaml_parser_delete(&parser);
	if (ok && t.documents == 0) {
		walk_add_finding_at(
		    w, 1, 1, "expected a map, got an empty file");
		return false;
	}
	return ok;
}

static void
walk_document(struct walk *w, const struct walk_schema *schema, void *base,
    const char *text, size_t len)
{
	yaml_parser_t parser;

	if (!walk_check_events(w, text, len))
		return;
	walk_parser_init(&parser, text, len);
	/* Only loading detects undefined aliases and duplicate anchors. */
	if (!yaml_parser_load(&parser, &w->doc)) {
		walk_add_syntax_error(w, &parser);
		yaml_parser_delete(&parser);
		return;
	}
	walk_map(w, schema, yaml_document_get_root_node(&w->doc), base);
	yaml_document_delete(&w->doc);
	yaml_parser_delete(&parser);
}

static int
finding_compare(const void *a, const void *b)
{
	const struct finding *x = *(struct finding *const *)a;
	const struct finding *y = *(struct finding *const *)b;

	if (x->line != y->line)
		return x->line < y->line ? -1 : 1;
	if (x->column != y->column)
		return x->column < y->column ? -1 : 1;
	return strcmp(x->text, y->text);
}

/* Adds the findings to `out` in the order of the file. */
static void
walk_copy_findings(struct walk *w, struct findings *out)
{
	g_autofree struct finding **all = NULL;
	struct finding *one;
	unsigned int i = 0, n = w->found.count;

	all = g_new(struct finding *, n + 1);
	TAILQ_FOREACH (one, &w->found.list, entry)
		all[i++] = one;
	qsort(all, n, sizeof(struct finding *), finding_compare);
	for (i = 0; i < n; i++)
		findings_add(out, w->file, all[i]->line, all[i]->column, "%s",
		    all[i]->text);
	if (w->truncated)
		findings_add(out, w->file, 0, 0,
		    "more findings than the %d shown", WALK_FINDINGS_MAX);
}

bool
walk_run(const struct walk_schema *schema, void *base, const char *text,
    size_t len, size_t max, const char *file, struct findings *out)
{
	struct walk w = { .file = file };
	GString *clean;
	unsigned int n;

	findings_init(&w.found);
	if (len > max) {
		walk_add_finding_at(&w, 0, 0,
		    "too large, expected at most %zu bytes, got %zu", max, len);
	} else {
		clean = walk_sanitize(&w, text, len);
		walk_document(&w, schema, base, clean->str, clean->len);
		g_string_free(clean, TRUE);
	}
	n = w.found.count;
	log_debug("%s: %u findings in %zu bytes", file, n, len);
	walk_copy_findings(&w, out);
	findings_finish(&w.found);
	return n == 0;
}
