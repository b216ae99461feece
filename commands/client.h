/*
 * The HTTP client of the commands.
 *
 * Calls are synchronous and end by a deadline.  Nothing is sent a second time
 * by itself; whoever wants to try again decides so.
 */
#ifndef COMMANDS_CLIENT_H
#define COMMANDS_CLIENT_H

#include "base/error.h"

#include <glib.h>
#include <jansson.h>

struct client;

/* What is sent.  All strings are borrowed for the call.  */
struct client_request
{
  const char *method;
  const char *base;   /* "IP:PORT", or a URL as in "http://10.0.0.2:7000" */
  const char *path;   /* with the query, as in "/v1/tickets?count=1" */
  const char *body;   /* JSON text, or NULL */
  const char *prefer; /* the header Prefer, or NULL */
  gint64 deadline_us; /* on the clock of clock_now_us () */
};

/* What came back.  */
struct client_response
{
  guint status;
  char *text; /* ends in NUL */
  gsize length;
  json_t *json;         /* NULL when the body is not JSON */
  guint retry_after_ms; /* 0 when the answer names none */
};

/* A client that shows TOKEN, which may be NULL, as its credentials.  */
struct client *client_new (const char *token);
void client_free (struct client *client);

/*
 * Sends REQUEST and waits for the whole answer, of any status.  Returns NULL
 * with ERROR_NOT_RUN when no connection could be made, so that nothing was
 * sent, and with ERROR_UNAVAILABLE when no whole answer came.
 */
struct client_response *client_call (struct client *client,
                                     const struct client_request *request,
                                     GError **error);
void client_response_free (struct client_response *answer);

/*
 * Whether ANSWER reports success.  Otherwise ERROR gets the kind and the
 * message that its body carries.
 */
gboolean client_response_check (const struct client_response *answer,
                                GError **error);

/*
 * Calls and checks in one step: the JSON of a successful answer, which the
 * caller owns, or NULL with ERROR.
 */
json_t *client_fetch_json (struct client *client,
                           const struct client_request *request,
                           GError **error);

#endif
