/*
 * One HTTP request to the platform's log, with its own timeout.
 *
 * The timeout detects a dead connection that TCP still considers open.  After
 * a request without an answer all connections of its session are dropped, so
 * that the next request opens a new one.
 */
#ifndef TRANSPORT_LOG_REQUEST_H
#define TRANSPORT_LOG_REQUEST_H

#include <glib.h>
#include <jansson.h>
#include <libsoup/soup.h>

struct log_request;

/*
 * Receives the end of a request: the HTTP status in STATUS and the JSON of the
 * answer in ROOT, which is borrowed.  If no whole answer in JSON has come,
 * ROOT is NULL and ERROR is set.
 */
typedef void log_request_done_func (guint status, json_t *root,
                                    const GError *error, gpointer data);

/*
 * Sends a request to URI.  BODY is the request body, a JSON text, or NULL for
 * none; it is copied.  ENDED is called once from the main loop with DATA,
 * after at most TIMEOUT_MS milliseconds, and not if the request is cancelled.
 * The request is freed after that call.
 */
struct log_request *log_request_start (SoupSession *session,
                                       const char *method, const char *uri,
                                       const char *body, guint timeout_ms,
                                       log_request_done_func *ended,
                                       gpointer data);

/* Cancels REQUEST without calling its function, and frees it.  */
void log_request_cancel (struct log_request *request);

/* A new session for requests to the log.  The caller owns the reference.  */
SoupSession *log_request_new_session (void);

/* The URI of the records of STREAM in the log at URL, to which records are
   appended.  Free with g_free ().  */
char *log_request_format_uri (const char *url, const char *stream);

/* The URI that reads up to LIMIT records from offset FROM on.  If there is
   none, the log waits up to WAIT_MS milliseconds for one before it answers.
   Free with g_free ().  */
char *log_request_format_read_uri (const char *url, const char *stream,
                                   guint64 from, guint limit, guint wait_ms);

#endif
