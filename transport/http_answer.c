#include "transport/http_answer.h"

#include "base/clock.h"
#include "base/error.h"
#include "protocol/job_json.h"
#include "protocol/json_read.h"

#include <string.h>

#define MSEC_PER_SEC 1000

/* The Retry-After of a request that was not run, unless the caller of this
   module sets another one.  */
#define DEFAULT_RETRY_AFTER_SEC 1

void
http_answer_bytes (SoupServerMessage *message, guint status, const char *type,
                   GBytes *body)
{
  soup_server_message_set_status (message, status, NULL);
  http_answer_set_header (message, "Content-Type", type);
  soup_message_body_append_bytes (
      soup_server_message_get_response_body (message), body);
}

void
http_answer_json (SoupServerMessage *message, guint status, json_t *value)
{
  char *text = json_format (value);
  g_autoptr (GBytes) body = g_bytes_new_take (text, strlen (text));

  json_decref (value);
  http_answer_bytes (message, status, HTTP_JSON_TYPE, body);
}

void
http_answer_error (SoupServerMessage *message, const GError *error)
{
  enum error_kind kind = error_get_kind (error);
  g_autoptr (GBytes) body = error_format_answer (error, NULL);

  if (kind == ERROR_NOT_RUN)
    http_answer_set_retry_after (message, DEFAULT_RETRY_AFTER_SEC);
  if (kind == ERROR_DRAINING)
    http_answer_set_header (message, "Connection", "close");
  http_answer_bytes (message, error_kind_http_status (kind), HTTP_JSON_TYPE,
                     body);
}

void
http_answer_refuse_method (SoupServerMessage *message, const char *allowed)
{
  g_autoptr (GError) error = NULL;

  error_set (&error, ERROR_INVALID,
             "this path does not support the method; use %s", allowed);
  http_answer_error (message, error);
  soup_server_message_set_status (message, SOUP_STATUS_METHOD_NOT_ALLOWED,
                                  NULL);
  http_answer_set_header (message, "Allow", allowed);
}

void
http_answer_set_header (SoupServerMessage *message, const char *name,
                        const char *value)
{
  soup_message_headers_replace (
      soup_server_message_get_response_headers (message), name, value);
}

void
http_answer_set_retry_after (SoupServerMessage *message, guint seconds)
{
  char text[16];

  if (seconds == 0)
    return;
  g_snprintf (text, sizeof text, "%u", seconds);
  http_answer_set_header (message, "Retry-After", text);
}

void
http_answer_set_sunset (SoupServerMessage *message, gint64 shutdown_unix_ms)
{
  g_autoptr (GDateTime) when = NULL;
  g_autofree char *text = NULL;

  if (shutdown_unix_ms == DEADLINE_NEVER)
    return;
  when = g_date_time_new_from_unix_utc (shutdown_unix_ms / MSEC_PER_SEC);
  text = soup_date_time_to_string (when, SOUP_DATE_HTTP);
  http_answer_set_header (message, "Sunset", text);
}
