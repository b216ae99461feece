/*
 * The HTTP client of the commands.
 *
 * Calls are synchronous and bounded by a deadline.  The client never retries a
 * request; retrying is up to the caller.
 */
#ifndef COMMANDS_CLIENT_H
#define COMMANDS_CLIENT_H

#include "base/error.h"

#include <glib.h>
#include <jansson.h>

struct client;

/* A request.  All strings are borrowed until client_call () returns.  */
struct client_request
{
  const char *method;
  const char *address; /* "IP:PORT", or a URL such as "http://10.0.0.2:7000" */
  const char *path;    /* with the query, such as "/v1/tickets?count=1" */
  const char *body;    /* JSON text, or NULL */
  GBytes *bytes;       /* a binary body instead of BODY, or NULL */
  const char *prefer;  /* value of the header Prefer, or NULL for none */
  gint64 deadline_us;  /* on the clock of clock_now_us () */
};

/* A complete response.  */
struct client_response
{
  guint status;         /* HTTP status code */
  char *text;           /* body, NUL-terminated */
  gsize length;         /* of the body in bytes, without the final NUL */
  json_t *json;         /* parsed body; NULL when it is not JSON */
  guint retry_after_ms; /* from Retry-After; 0 when absent or not seconds */
};

/* Returns a client that sends TOKEN as a bearer token, or no credentials when
   TOKEN is NULL.  Free with client_free ().  */
struct client *client_new (const char *token);
void client_free (struct client *client);

/*
 * Sends REQUEST and waits for the complete response, of any status.  Free it
 * with client_response_free ().  On failure returns NULL with
 * - ERROR_INVALID when the address of REQUEST is not valid,
 * - ERROR_NOT_RUN when no connection could be made, so that nothing was sent,
 * - ERROR_UNAVAILABLE when no complete response arrived, so that the request
 *   may have taken effect,
 * - ERROR_TOO_LARGE when the response is too large.
 */
struct client_response *client_call (struct client *client,
                                     const struct client_request *request,
                                     GError **error);
void client_response_free (struct client_response *response);

/*
 * Returns whether RESPONSE has a 2xx status.  Otherwise sets ERROR to the kind
 * and the message in its body, or to ERROR_UNAVAILABLE when the body has no
 * known kind.
 */
gboolean client_response_check (const struct client_response *response,
                                GError **error);

/*
 * Calls client_call () and client_response_check ().  Returns the JSON of a
 * successful response, which the caller owns, or NULL with ERROR.
 */
json_t *client_fetch_json (struct client *client,
                           const struct client_request *request,
                           GError **error);

#endif
