#include "t/standin/listener.h"

#include <string.h>

/* A stand-in waits for requests without a limit.  */
#define NO_TIMEOUT_MS G_MAXINT

GSocket *
listen_on (const char *ip, guint16 port, guint16 *bound_port, GError **error)
{
  g_autoptr (GSocket) socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                      G_SOCKET_PROTOCOL_TCP, error);
  g_autoptr (GSocketAddress) address
      = g_inet_socket_address_new_from_string (ip, port);
  g_autoptr (GSocketAddress) bound = NULL;

  if (socket == NULL)
    return NULL;
  g_socket_set_listen_backlog (socket, LISTEN_BACKLOG);
  if (!g_socket_bind (socket, address, TRUE, error)
      || !g_socket_listen (socket, error))
    return NULL;
  bound = g_socket_get_local_address (socket, error);
  if (bound == NULL)
    return NULL;
  *bound_port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound));
  g_socket_set_blocking (socket, FALSE);
  return g_steal_pointer (&socket);
}

GSocket *
listen_on_loopback (guint16 port, guint16 *bound_port, GError **error)
{
  return listen_on ("127.0.0.1", port, bound_port, error);
}

static struct connection_guard *
guard_server (SoupServer *server, guint max_connections)
{
  struct connection_limits limits = {
    .max_connections = G_MAXUINT,
    .request_timeout_ms = NO_TIMEOUT_MS,
    .idle_timeout_ms = NO_TIMEOUT_MS,
  };

  if (max_connections != 0)
    limits.max_connections = max_connections + SPARE_CONNECTIONS;
  return connection_guard_new (server, &limits);
}

struct listener *
listener_new (SoupServer *server, guint16 port, guint max_connections,
              GError **error)
{
  struct listener *listener;
  guint16 bound_port;
  gboolean is_first;
  GSocket *socket = listen_on_loopback (port, &bound_port, error);

  if (socket == NULL)
    return NULL;
  is_first = soup_server_get_listeners (server) == NULL;
  if (!soup_server_listen_socket (server, socket, 0, error))
    return NULL;
  listener = g_new0 (struct listener, 1);
  listener->server = server;
  listener->socket = socket;
  listener->port = bound_port;
  g_object_set_data_full (G_OBJECT (socket), "listener", listener, g_free);
  if (is_first)
    listener->guard = guard_server (server, max_connections);
  return listener;
}

void
answer_text (SoupServerMessage *msg, guint status, char *body)
{
  soup_server_message_set_status (msg, status, NULL);
  if (body != NULL)
    soup_server_message_set_response (msg, "application/json",
                                      SOUP_MEMORY_TAKE, body, strlen (body));
}

void
answer_json (SoupServerMessage *msg, guint status, json_t *body)
{
  answer_text (msg, status, json_dumps (body, JSON_COMPACT));
  json_decref (body);
}

void
answer_by_closing (SoupServerMessage *msg)
{
  g_autoptr (GIOStream) stream = soup_server_message_steal_connection (msg);

  if (stream != NULL)
    g_io_stream_close (stream, NULL, NULL);
}

void
answer_by_silence (SoupServerMessage *msg)
{
  soup_server_message_pause (msg);
}

const char *
request_text (SoupServerMessage *msg, gsize *length)
{
  SoupMessageBody *body = soup_server_message_get_request_body (msg);

  g_bytes_unref (soup_message_body_flatten (body));
  *length = body->length;
  return body->data == NULL ? "" : body->data;
}

json_t *
request_json (SoupServerMessage *msg)
{
  gsize length;
  const char *text = request_text (msg, &length);

  return json_loadb (text, length, JSON_DECODE_ANY, NULL);
}

gint64
json_int_member (const json_t *object, const char *name, gint64 fallback)
{
  const json_t *member = json_object_get (object, name);

  if (json_is_boolean (member))
    return json_is_true (member);
  return json_is_number (member) ? (gint64)json_number_value (member)
                                 : fallback;
}

const char *
json_text_member (const json_t *object, const char *name)
{
  return json_string_value (json_object_get (object, name));
}

gboolean
request_has_method (SoupServerMessage *msg, const char *method)
{
  return strcmp (soup_server_message_get_method (msg), method) == 0;
}

void
json_add_int (json_t *object, const char *name, gint64 value)
{
  json_object_set_new (object, name, json_integer (value));
}
