#include "t/standin/listener.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#define SWEEP_INTERVAL_MS 100

GSocket *
listen_on_loopback (guint16 port, guint16 *bound_port, GError **error)
{
  g_autoptr (GSocket) socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                      G_SOCKET_PROTOCOL_TCP, error);
  g_autoptr (GSocketAddress) address
      = g_inet_socket_address_new_from_string ("127.0.0.1", port);
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

/* Whether the other side of SOCKET has closed it.  */
static gboolean
is_at_end (GSocket *socket)
{
  char byte;

  return recv (g_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT)
         == 0;
}

/* libsoup 3.2 does not notice that an idle connection was closed.  */
static void
close_ended_connections (struct listener *listener)
{
  for (guint i = listener->sockets->len; i > 0; i--)
    {
      GSocket *socket = g_ptr_array_index (listener->sockets, i - 1);

      if (!g_socket_is_closed (socket) && is_at_end (socket))
        g_socket_close (socket, NULL);
      if (g_socket_is_closed (socket))
        g_ptr_array_remove_index_fast (listener->sockets, i - 1);
    }
}

static gboolean
on_sweep (gpointer data)
{
  close_ended_connections (data);
  return G_SOURCE_CONTINUE;
}

guint
listener_count_connections (struct listener *listener)
{
  close_ended_connections (listener);
  return listener->sockets->len;
}

static gboolean
is_full (struct listener *listener)
{
  guint most = listener->max_connections + SPARE_CONNECTIONS;

  return listener->max_connections != 0 && listener->sockets->len >= most
         && listener_count_connections (listener) >= most;
}

static void
accept_connection (struct listener *listener, GSocket *socket)
{
  g_autoptr (GSocketConnection) connection
      = g_socket_connection_factory_create_connection (socket);
  g_autoptr (GSocketAddress) local = g_socket_get_local_address (socket, NULL);
  g_autoptr (GSocketAddress) remote
      = g_socket_get_remote_address (socket, NULL);

  if (local == NULL || remote == NULL)
    return;
  if (is_full (listener))
    {
      listener->closed_connections++;
      g_io_stream_close (G_IO_STREAM (connection), NULL, NULL);
      return;
    }
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  g_ptr_array_add (listener->sockets, g_object_ref (socket));
  listener->most_connections
      = MAX (listener->most_connections, listener->sockets->len);
  soup_server_accept_iostream (listener->server, G_IO_STREAM (connection),
                               local, remote, NULL);
}

static gboolean
on_listening_socket (GSocket *listening, GIOCondition condition, gpointer data)
{
  GSocket *socket;

  while ((socket = g_socket_accept (listening, NULL, NULL)) != NULL)
    {
      accept_connection (data, socket);
      g_object_unref (socket);
    }
  return G_SOURCE_CONTINUE;
}

struct listener *
listener_new (SoupServer *server, guint16 port, guint max_connections,
              GError **error)
{
  struct listener *listener;
  guint16 bound_port;
  GSocket *socket = listen_on_loopback (port, &bound_port, error);
  g_autoptr (GSource) source = NULL;

  /* libsoup keeps a connection open between requests only while it has a
     listener.  Ours has the higher priority and takes every connection.  */
  if (socket == NULL || !soup_server_listen_socket (server, socket, 0, error))
    return NULL;
  listener = g_new0 (struct listener, 1);
  listener->server = g_object_ref (server);
  listener->socket = socket;
  listener->sockets = g_ptr_array_new_with_free_func (g_object_unref);
  listener->port = bound_port;
  listener->max_connections = max_connections;
  source = g_socket_create_source (socket, G_IO_IN, NULL);
  g_source_set_priority (source, G_PRIORITY_HIGH);
  g_source_set_callback (source, G_SOURCE_FUNC (on_listening_socket), listener,
                         NULL);
  g_source_attach (source, NULL);
  g_timeout_add (SWEEP_INTERVAL_MS, on_sweep, listener);
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

  if (json_is_true (member))
    return 1;
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
