/*
 * The answers of the HTTP server, the same for callers and operators.
 */
#ifndef TRANSPORT_HTTP_ANSWER_H
#define TRANSPORT_HTTP_ANSWER_H

#include <jansson.h>
#include <libsoup/soup.h>

#define HTTP_JSON_TYPE "application/json"

/* Answers MESSAGE with STATUS and BODY, which is of the media type TYPE.  */
void http_answer_bytes (SoupServerMessage *message, guint status,
                        const char *type, GBytes *body);

/* Answers with the JSON of VALUE, whose reference is taken.  */
void http_answer_json (SoupServerMessage *message, guint status,
                       json_t *value);

/* Answers with the status and the body that report ERROR.  */
void http_answer_error (SoupServerMessage *message, const GError *error);

/* Refuses the method of MESSAGE; ALLOWED lists those that are taken.  */
void http_answer_refuse_method (SoupServerMessage *message,
                                const char *allowed);

/* Sets the response header NAME.  */
void http_answer_set_header (SoupServerMessage *message, const char *name,
                             const char *value);

/* Tells to come back in SECONDS, unless they are 0.  */
void http_answer_set_retry_after (SoupServerMessage *message, guint seconds);

/* Tells the shutdown date of the service, unless it is DEADLINE_NEVER.  */
void http_answer_set_sunset (SoupServerMessage *message,
                             gint64 shutdown_unix_ms);

#endif
