#include "transport/metrics_server.h"

#include "base/metrics.h"
#include "transport/client_listener.h"
#include "transport/listener.h"

#include <libsoup/soup.h>
#include <stdlib.h>
#include <string.h>

#define JSON_TYPE "application/json"
#define METRICS_TYPE "text/plain; version=0.0.4; charset=utf-8"

#define REQUEST_TIMEOUT_MS 5000
#define IDLE_TIMEOUT_MS 120000

struct metrics_server
{
  struct metrics_source *source;
  SoupServer *soup;
  struct client_listener *listener;
  guint port;
};

static void
answer_metrics (struct metrics_source *source, SoupServerMessage *message)
{
  g_autoptr (GString) text = g_string_new (NULL);

  if (source->ops->refresh != NULL)
    source->ops->refresh (source);
  metrics_format (text);
  if (source->ops->append != NULL)
    source->ops->append (source, text);
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (message, METRICS_TYPE, SOUP_MEMORY_COPY,
                                    text->str, text->len);
}

static void
answer_dump (struct metrics_source *source, SoupServerMessage *message)
{
  json_t *state
      = source->ops->dump != NULL ? source->ops->dump (source) : NULL;
  char *text = json_dumps (state, JSON_INDENT (2) | JSON_ENCODE_ANY);

  json_decref (state);
  if (text == NULL)
    {
      soup_server_message_set_status (message, SOUP_STATUS_NOT_FOUND, NULL);
      return;
    }
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (message, JSON_TYPE, SOUP_MEMORY_COPY, text,
                                    strlen (text));
  free (text);
}

static void
refuse_method (SoupServerMessage *message)
{
  soup_message_headers_replace (
      soup_server_message_get_response_headers (message), "Allow", "GET");
  soup_server_message_set_status (message, SOUP_STATUS_METHOD_NOT_ALLOWED,
                                  NULL);
}

static void
on_request (SoupServer *soup, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct metrics_server *server = data;
  gboolean is_metrics = g_str_equal (path, "/metrics");

  if (!is_metrics && !g_str_equal (path, "/dump"))
    soup_server_message_set_status (message, SOUP_STATUS_NOT_FOUND, NULL);
  else if (!g_str_equal (soup_server_message_get_method (message), "GET"))
    refuse_method (message);
  else if (is_metrics)
    answer_metrics (server->source, message);
  else
    answer_dump (server->source, message);
}

struct metrics_server *
metrics_server_new (const struct endpoint *endpoint,
                    struct metrics_source *source,
                    struct client_budget *budget, GError **error)
{
  const struct client_listener_options options = {
    .budget = budget,
    .class = CLIENT_METRICS,
    .request_timeout_ms = REQUEST_TIMEOUT_MS,
    .answer_timeout_ms = CLIENT_ANSWER_TIMEOUT_MS,
    .idle_timeout_ms = IDLE_TIMEOUT_MS,
  };
  g_autoptr (GSocket) socket = listener_open (endpoint, error);
  struct metrics_server *server;

  if (socket == NULL)
    return NULL;
  server = g_new0 (struct metrics_server, 1);
  server->source = source;
  server->port = listener_get_port (socket);
  server->soup = soup_server_new ("server-header", "radishchute", NULL);
  soup_server_add_handler (server->soup, NULL, on_request, server, NULL);
  server->listener = client_listener_new (server->soup, socket, &options);
  return server;
}

void
metrics_server_free (struct metrics_server *server)
{
  client_listener_free (server->listener);
  g_object_unref (server->soup);
  g_free (server);
}

guint
metrics_server_get_port (const struct metrics_server *server)
{
  return server->port;
}
