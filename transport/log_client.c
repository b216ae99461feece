#include "transport/log_client.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "protocol/json_read.h"

#include <libsoup/soup.h>

#define LONG_POLL_MS 20000
#define POLL_LIMIT 200
/* An answer is overdue this long after the long poll's own end.  */
#define POLL_TIMEOUT_SEC 25
#define FIRST_RETRY_MS 100
#define MAX_RETRY_MS 2000

struct log_client
{
  char *url;
  char *stream;
  guint64 next;
  struct log_reader *reader;
  SoupSession *session;
  GCancellable *cancellable;
  guint retry_source;
  guint retry_ms;
  gboolean is_available;
};

static void poll_log (struct log_client *client);

static gboolean
on_retry (gpointer data)
{
  struct log_client *client = data;

  client->retry_source = 0;
  poll_log (client);
  return G_SOURCE_REMOVE;
}

static void
retry_later (struct log_client *client, const char *reason)
{
  if (client->is_available)
    event_log (EVENT_LOG_UNAVAILABLE, "%s: %s", client->url, reason);
  client->is_available = FALSE;
  client->retry_source = g_timeout_add (client->retry_ms, on_retry, client);
  client->retry_ms = MIN (client->retry_ms * 2, MAX_RETRY_MS);
}

static void
deliver_records (struct log_client *client, json_t *root)
{
  json_t *records = json_object_get (root, "records");

  for (size_t i = 0; i < json_array_size (records); i++)
    {
      json_t *record = json_array_get (records, i);
      json_t *offset = json_object_get (record, "offset");
      guint64 number = (guint64)json_integer_value (offset);

      if (!json_is_integer (offset) || number < client->next)
        continue;
      client->next = number + 1;
      client->reader->ops->record (client->reader, number,
                                   json_object_get (record, "data"));
    }
  if (client->next
      >= (guint64)json_integer_value (json_object_get (root, "next")))
    client->reader->ops->caught_up (client->reader, client->next);
}

static void
handle_gap (struct log_client *client, json_t *root)
{
  guint64 first
      = (guint64)json_integer_value (json_object_get (root, "first"));

  client->next = MAX (client->next, first);
  client->reader->ops->gap (client->reader, client->next);
}

static void
handle_answer (struct log_client *client, guint status, json_t *root)
{
  if (status != SOUP_STATUS_OK && status != SOUP_STATUS_GONE)
    {
      retry_later (client, "the log answered with an error");
      return;
    }
  if (!client->is_available)
    event_log (EVENT_LOG_AVAILABLE, "%s", client->url);
  client->is_available = TRUE;
  client->retry_ms = FIRST_RETRY_MS;
  if (status == SOUP_STATUS_OK)
    deliver_records (client, root);
  else
    handle_gap (client, root);
  poll_log (client);
}

static void
on_polled (GObject *source, GAsyncResult *result, gpointer data)
{
  SoupSession *session = SOUP_SESSION (source);
  SoupMessage *message
      = soup_session_get_async_result_message (session, result);
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) body
      = soup_session_send_and_read_finish (session, result, &error);
  struct log_client *client = data;
  json_t *root = NULL;

  if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CANCELLED))
    return;
  if (body != NULL)
    root = json_parse (g_bytes_get_data (body, NULL), g_bytes_get_size (body),
                       &error);
  if (root == NULL)
    {
      retry_later (client, error->message);
      return;
    }
  handle_answer (client, soup_message_get_status (message), root);
  json_decref (root);
}

static void
poll_log (struct log_client *client)
{
  g_autofree char *uri = g_strdup_printf (
      "%s/v1/streams/%s/records?from=%" G_GUINT64_FORMAT
      "&limit=%d&wait_ms=%d",
      client->url, client->stream, client->next, POLL_LIMIT, LONG_POLL_MS);
  g_autoptr (SoupMessage) message = soup_message_new (SOUP_METHOD_GET, uri);

  soup_session_send_and_read_async (client->session, message,
                                    G_PRIORITY_DEFAULT, client->cancellable,
                                    on_polled, client);
}

struct log_client *
log_client_new (const char *url, const char *stream, guint64 from,
                struct log_reader *reader)
{
  struct log_client *client = g_new0 (struct log_client, 1);

  client->url = g_strdup (url);
  client->stream = g_strdup (stream);
  client->next = from;
  client->reader = reader;
  client->retry_ms = FIRST_RETRY_MS;
  client->session = soup_session_new_with_options (
      "proxy-resolver", NULL, "timeout", POLL_TIMEOUT_SEC, NULL);
  client->cancellable = g_cancellable_new ();
  poll_log (client);
  return client;
}

void
log_client_free (struct log_client *client)
{
  g_cancellable_cancel (client->cancellable);
  if (client->retry_source != 0)
    g_source_remove (client->retry_source);
  g_object_unref (client->cancellable);
  g_object_unref (client->session);
  g_free (client->url);
  g_free (client->stream);
  g_free (client);
}

gboolean
log_client_is_available (const struct log_client *client)
{
  return client->is_available;
}
