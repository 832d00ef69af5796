/*
 * Time, names, findings and logs; see savory.h.
 */

#define LOG_PART "main"
#include "savory.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <jansson.h>
#include <xxhash.h>

/* "~" and 16 hexadecimal digits. */
#define NAME_HASH_SIZE 18

static GLogLevelFlags log_min_level = G_LOG_LEVEL_INFO;
static bool log_json;
static bool log_writer_is_set;

static GLogWriterOutput
log_write(GLogLevelFlags, const GLogField *, gsize, gpointer);

static msec
clock_read(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (msec)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

msec
msec_now(void)
{
	return clock_read(CLOCK_BOOTTIME);
}

msec
msec_wall(void)
{
	return clock_read(CLOCK_REALTIME);
}

name_id
name_hash(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

void
name_fit(char *to, size_t size, const char *name)
{
	char hash[NAME_HASH_SIZE];
	size_t n;

	if (g_strlcpy(to, name, size) < size)
		return;
	n = size - sizeof hash;
	/* Keep whole characters of UTF-8. */
	while (n > 0 && ((guchar)name[n] & 0xc0) == 0x80)
		n--;
	g_snprintf(hash, sizeof hash, "~%016" PRIx64, name_hash(name));
	g_strlcpy(to + n, hash, sizeof hash);
}

bool
name_valid(const char *name)
{
	size_t n = strlen(name);

	if (n == 0 || n > NAME_LEN)
		return false;
	if (!g_ascii_islower(name[0]) && !g_ascii_isdigit(name[0]))
		return false;
	return strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789._-") == n;
}

void
findings_init(struct findings *f)
{
	TAILQ_INIT(&f->list);
	f->count = 0;
}

void
findings_finish(struct findings *f)
{
	struct finding *one;

	while ((one = TAILQ_FIRST(&f->list)) != NULL) {
		TAILQ_REMOVE(&f->list, one, entry);
		g_free(one->file);
		g_free(one->text);
		g_free(one);
	}
	f->count = 0;
}

void
findings_add(struct findings *f, const char *file, unsigned int line,
    unsigned int column, const char *fmt, ...)
{
	struct finding *one;
	va_list ap;

	one = g_new0(struct finding, 1);
	one->file = g_strdup(file);
	one->line = line;
	one->column = column;
	va_start(ap, fmt);
	one->text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	TAILQ_INSERT_TAIL(&f->list, one, entry);
	f->count++;
}

void
findings_print(const struct findings *f, FILE *fp)
{
	struct finding *one;

	TAILQ_FOREACH (one, &f->list, entry)
		fprintf(fp, "%s:%u:%u: %s\n", one->file, one->line, one->column,
		    one->text);
}

static const char *
log_field(const GLogField *fields, gsize n, const char *key)
{
	gsize i;

	for (i = 0; i < n; i++) {
		if (strcmp(fields[i].key, key) == 0)
			return fields[i].value;
	}
	return NULL;
}

static const char *
log_level_name(GLogLevelFlags level)
{
	if (level & G_LOG_LEVEL_DEBUG)
		return "debug";
	if (level & G_LOG_LEVEL_INFO)
		return "info";
	if (level & G_LOG_LEVEL_WARNING)
		return "warning";
	return "error";
}

/* Keeps the line valid JSON when a message contains bytes that are not UTF-8.
 */
static void
log_json_set(json_t *o, const char *key, const char *text)
{
	g_autofree char *valid = g_utf8_make_valid(text, -1);

	json_object_set_new(o, key, json_string(valid));
}

/* Fields with savorypier's prefix: "SAVORY_NODE" is shown as "node". */
static void
log_json_fields(json_t *o, const GLogField *fields, gsize n)
{
	size_t skip = strlen(LOG_FIELD_PREFIX);
	gsize i;

	for (i = 0; i < n; i++) {
		g_autofree char *key = NULL;

		if (!g_str_has_prefix(fields[i].key, LOG_FIELD_PREFIX))
			continue;
		key = g_ascii_strdown(fields[i].key + skip, -1);
		log_json_set(o, key, fields[i].value);
	}
}

static void
log_write_json(GLogLevelFlags level, const char *part, const char *text,
    const GLogField *fields, gsize n)
{
	json_t *o = json_object();
	char *line;

	json_object_set_new(o, "time_ms", json_integer(msec_wall()));
	log_json_set(o, "level", log_level_name(level));
	log_json_set(o, "part", part);
	log_json_set(o, "message", text);
	log_json_fields(o, fields, n);
	line = json_dumps(o, JSON_COMPACT);
	fprintf(stderr, "%s\n", line);
	free(line);
	json_decref(o);
}

static GLogWriterOutput
log_write(GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
	const char *part = log_field(fields, n, "GLIB_DOMAIN");
	const char *text = log_field(fields, n, "MESSAGE");

	if ((level & G_LOG_LEVEL_MASK) > log_min_level)
		return G_LOG_WRITER_HANDLED;
	if (part == NULL)
		part = "main";
	if (text == NULL)
		text = "";
	if (log_json)
		log_write_json(level, part, text, fields, n);
	else
		fprintf(stderr, "%s: %s\n", part, text);
	return G_LOG_WRITER_HANDLED;
}

bool
log_open(const char *level, bool json)
{
	if (strcmp(level, "debug") == 0)
		log_min_level = G_LOG_LEVEL_DEBUG;
	else if (strcmp(level, "info") == 0)
		log_min_level = G_LOG_LEVEL_INFO;
	else if (strcmp(level, "warning") == 0)
		log_min_level = G_LOG_LEVEL_WARNING;
	else
		return false;
	log_json = json;
	/* GLib accepts a writer only once per process. */
	if (!log_writer_is_set)
		g_log_set_writer_func(log_write, NULL, NULL);
	log_writer_is_set = true;
	return true;
}

GQuark
savory_error_quark(void)
{
	return g_quark_from_static_string("savory-error");
}
