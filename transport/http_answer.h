/*
 * Sets the responses of the HTTP server to callers and operators.
 */
#ifndef TRANSPORT_HTTP_ANSWER_H
#define TRANSPORT_HTTP_ANSWER_H

#include <jansson.h>
#include <libsoup/soup.h>

#define HTTP_JSON_TYPE "application/json"

/* Answers MESSAGE with the HTTP status STATUS and with BODY, whose media type
   is TYPE.  */
void http_answer_bytes (SoupServerMessage *message, guint status,
                        const char *type, GBytes *body);

/* Answers MESSAGE with VALUE as JSON.  Takes over the reference to VALUE.  */
void http_answer_json (SoupServerMessage *message, guint status,
                       json_t *value);

/* Answers MESSAGE with the status and the JSON body for ERROR.  Sets
   Retry-After for ERROR_NOT_RUN, and closes the connection for
   ERROR_DRAINING.  */
void http_answer_error (SoupServerMessage *message, const GError *error);

/* Answers MESSAGE with 405.  ALLOWED lists the methods that its path accepts,
   as in "GET, DELETE".  */
void http_answer_refuse_method (SoupServerMessage *message,
                                const char *allowed);

/* Sets the response header NAME of MESSAGE, in place of an earlier value.  */
void http_answer_set_header (SoupServerMessage *message, const char *name,
                             const char *value);

/* Sets Retry-After to SECONDS, unless they are 0.  */
void http_answer_set_retry_after (SoupServerMessage *message, guint seconds);

/* Sets Sunset to the shutdown date of the service, in milliseconds of Unix
   time, unless it is DEADLINE_NEVER.  */
void http_answer_set_sunset (SoupServerMessage *message,
                             gint64 shutdown_unix_ms);

#endif
