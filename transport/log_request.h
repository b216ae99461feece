/*
 * One HTTP request to the platform's log, with a deadline of its own.
 *
 * A connection that has gone silent is noticed by the deadline, whatever the
 * transport believes; after a request without an answer, the connections of
 * the session are dropped, so that the next request opens a fresh one.
 */
#ifndef TRANSPORT_LOG_REQUEST_H
#define TRANSPORT_LOG_REQUEST_H

#include <glib.h>
#include <jansson.h>
#include <libsoup/soup.h>

struct log_request;

/*
 * The end of a request.  STATUS is that of HTTP and ROOT the answer's JSON,
 * borrowed; without a whole answer in JSON, ROOT is NULL and ERROR is set.
 */
typedef void log_request_done_func (guint status, json_t *root,
                                    const GError *error, gpointer data);

/*
 * Sends a request.  BODY, which may be NULL, is JSON text to be appended.
 * ENDED is called once from the main loop, after at most TIMEOUT_MS
 * milliseconds, unless the request is cancelled; the request is freed after
 * it.
 */
struct log_request *log_request_start (SoupSession *session,
                                       const char *method, const char *uri,
                                       const char *body, guint timeout_ms,
                                       log_request_done_func *ended,
                                       gpointer data);

/* Gives the request up without calling its function; frees it.  */
void log_request_cancel (struct log_request *request);

/* A session for requests to the log.  */
SoupSession *log_request_new_session (void);

/* The URI of STREAM's records.  Free with g_free ().  */
char *log_request_format_uri (const char *url, const char *stream);

/* The same with the query of a read.  */
char *log_request_format_read_uri (const char *url, const char *stream,
                                   guint64 from, guint limit, guint wait_ms);

#endif
