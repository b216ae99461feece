#include "transport/log_request.h"

#include "base/error.h"
#include "protocol/json_read.h"

#include <string.h>

#define MAX_CONNECTIONS 4

struct log_request
{
  SoupSession *session;
  GCancellable *cancellable;
  guint timeout_source;
  gboolean is_timed_out;
  log_request_done_func *ended; /* NULL once cancelled */
  gpointer data;
};

static void
request_free (struct log_request *request)
{
  if (request->timeout_source != 0)
    g_source_remove (request->timeout_source);
  g_object_unref (request->cancellable);
  g_object_unref (request->session);
  g_free (request);
}

static gboolean
on_timeout (gpointer data)
{
  struct log_request *request = data;

  request->timeout_source = 0;
  request->is_timed_out = TRUE;
  g_cancellable_cancel (request->cancellable);
  return G_SOURCE_REMOVE;
}

static json_t *
parse_body (struct log_request *request, GBytes *body, GError **error)
{
  if (body != NULL)
    return json_parse (g_bytes_get_data (body, NULL), g_bytes_get_size (body),
                       error);
  soup_session_abort (request->session);
  if (request->is_timed_out)
    {
      g_clear_error (error);
      error_set (error, ERROR_UNAVAILABLE,
                 "no answer in time; the next request opens a new connection");
    }
  return NULL;
}

static void
on_answered (GObject *source, GAsyncResult *result, gpointer data)
{
  SoupSession *session = SOUP_SESSION (source);
  SoupMessage *message
      = soup_session_get_async_result_message (session, result);
  struct log_request *request = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) body
      = soup_session_send_and_read_finish (session, result, &error);
  json_t *root;

  if (request->ended == NULL)
    {
      request_free (request);
      return;
    }
  root = parse_body (request, body, &error);
  request->ended (soup_message_get_status (message), root, error,
                  request->data);
  json_decref (root);
  request_free (request);
}

struct log_request *
log_request_start (SoupSession *session, const char *method, const char *uri,
                   const char *body, guint timeout_ms,
                   log_request_done_func *ended, gpointer data)
{
  struct log_request *request = g_new0 (struct log_request, 1);
  g_autoptr (SoupMessage) message = soup_message_new (method, uri);

  request->session = g_object_ref (session);
  request->cancellable = g_cancellable_new ();
  request->ended = ended;
  request->data = data;
  request->timeout_source = g_timeout_add (timeout_ms, on_timeout, request);
  if (body != NULL)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));

      soup_message_set_request_body_from_bytes (message, "application/json",
                                                bytes);
    }
  soup_session_send_and_read_async (session, message, G_PRIORITY_DEFAULT,
                                    request->cancellable, on_answered,
                                    request);
  return request;
}

void
log_request_cancel (struct log_request *request)
{
  request->ended = NULL;
  g_cancellable_cancel (request->cancellable);
}

SoupSession *
log_request_new_session (void)
{
  return soup_session_new_with_options ("proxy-resolver", NULL, "max-conns",
                                        MAX_CONNECTIONS, "max-conns-per-host",
                                        MAX_CONNECTIONS, "timeout", 0, NULL);
}

char *
log_request_format_uri (const char *url, const char *stream)
{
  return g_strdup_printf ("%s/v1/streams/%s/records", url, stream);
}

char *
log_request_format_read_uri (const char *url, const char *stream, guint64 from,
                             guint limit, guint wait_ms)
{
  return g_strdup_printf ("%s/v1/streams/%s/records?from=%" G_GUINT64_FORMAT
                          "&limit=%u&wait_ms=%u",
                          url, stream, from, limit, wait_ms);
}
