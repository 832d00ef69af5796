/*
 * Encoding of records in the platform's log; see log-record.h.
 */

#define LOG_PART "log"
#include "log-record.h"

#include <sys/random.h>

#include <stdlib.h>
#include <string.h>

static const char *record_string(const json_t *, const char *);

void
log_id_make(char id[LOG_ID_SIZE])
{
	unsigned char b[(LOG_ID_SIZE - 1) / 2];
	unsigned int i;

	/*
	 * Folds ignore the second of two records with the same id, so a record
	 * without a random id could be lost.
	 */
	if (getrandom(b, sizeof b, 0) != (ssize_t)sizeof b)
		g_error("cannot get random numbers for a record id");
	for (i = 0; i < sizeof b; i++)
		g_snprintf(id + 2 * i, 3, "%02x", b[i]);
}

bool
log_id_valid(const char *id)
{
	return strlen(id) == LOG_ID_SIZE - 1 &&
	       strspn(id, "0123456789abcdef") == LOG_ID_SIZE - 1;
}

json_t *
log_record_decode(const char *data, size_t len)
{
	json_t *o, *format;

	if (len > LOG_RECORD_BYTES_MAX)
		return NULL;
	/* Jansson rejects text that is not UTF-8, and duplicate object keys. */
	o = json_loadb(data, len, JSON_REJECT_DUPLICATES, NULL);
	if (o == NULL)
		return NULL;
	format = json_object_get(o, "format");
	if (!json_is_integer(format) ||
	    json_integer_value(format) != LOG_RECORD_FORMAT) {
		json_decref(o);
		return NULL;
	}
	return o;
}

static const char *
record_string(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s != NULL ? s : "";
}

const char *
log_record_kind(const json_t *o)
{
	return record_string(o, "kind");
}

const char *
log_record_id(const json_t *o)
{
	return record_string(o, "id");
}

bool
log_record_uint(const json_t *o, const char *key, uint64_t *value)
{
	const json_t *v = json_object_get(o, key);

	if (!json_is_integer(v) || json_integer_value(v) < 0)
		return false;
	*value = (uint64_t)json_integer_value(v);
	return true;
}

bool
log_record_hex(const json_t *o, const char *key, uint64_t *value)
{
	const char *s = record_string(o, key);

	if (strlen(s) != 16 || strspn(s, "0123456789abcdef") != 16)
		return false;
	*value = g_ascii_strtoull(s, NULL, 16);
	return true;
}

void
log_record_set_hex(json_t *o, const char *key, uint64_t value)
{
	char s[17];

	g_snprintf(s, sizeof s, "%016" G_GINT64_MODIFIER "x", value);
	json_object_set_new(o, key, json_string(s));
}

json_t *
log_record_new(const char *kind, const char *id)
{
	json_t *o = json_object();

	json_object_set_new(o, "format", json_integer(LOG_RECORD_FORMAT));
	json_object_set_new(o, "kind", json_string(kind));
	json_object_set_new(o, "id", json_string(id));
	return o;
}

char *
log_record_encode(json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	if (text != NULL && strlen(text) > LOG_RECORD_BYTES_MAX) {
		free(text);
		return NULL;
	}
	return text;
}
