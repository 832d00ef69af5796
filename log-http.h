/*
 * One HTTP request to the log service and the evaluation of its response,
 * shared by the blocking client (log-client.c) and the daemon's thread
 * (log-io.c).
 */

#ifndef LOG_HTTP_H
#define LOG_HTTP_H

#include "log-client.h"

#include <curl/curl.h>

/* Records requested by one read, at most. */
#define LOG_READ_MAX 32
/* A longer response fails the read, so that none exhausts memory. */
#define LOG_RESPONSE_BYTES_MAX (64 * 1024 * 1024)

struct log_http {
	CURL *easy;
	struct curl_slist *headers;
	GString *response;
	char *url;
	char error[CURL_ERROR_SIZE];
};

/* Initialise libcurl once per process; further calls do nothing. */
void log_http_setup(void);
/*
 * Prepare an append: base URL, stream, text, timeout. The text is not copied
 * and must stay valid until log_http_finish().
 */
void log_http_append(
    struct log_http *, const char *, const char *, const char *, msec);
/*
 * Prepare a read: base URL, stream, from, maximum number of records, how long
 * the service may wait for new ones, timeout.
 */
void log_http_read(struct log_http *, const char *, const char *, uint64_t,
    unsigned int, msec, msec);
/* The result of an append: its offset, or 0 and an error as of log_append(). */
uint64_t log_http_append_result(struct log_http *, CURLcode, GError **);
/* The result of a read; false and an error if it failed. */
bool
log_http_read_result(struct log_http *, CURLcode, struct log_page *, GError **);
/* The response's Retry-After in milliseconds, or 0. */
msec log_http_retry_after(const struct log_http *);
void log_http_finish(struct log_http *);

/* Decode the response body of a read. */
bool log_page_decode(struct log_page *, const char *, size_t);

#endif /* LOG_HTTP_H */
