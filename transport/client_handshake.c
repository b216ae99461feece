#include "transport/client_listener_private.h"

#include <sys/socket.h>

/* A TLS record begins with its type, its version and its length.  */
#define TLS_HEADER_BYTES 5

/* The start of a handshake is waited for up to this length.  */
#define TLS_HELLO_BYTES 4096

static void
on_handshake_finished (GObject *source, GAsyncResult *result, gpointer data)
{
  struct connection *connection = data;
  gboolean is_secure = g_tls_connection_handshake_finish (
      G_TLS_CONNECTION (source), result, NULL);

  g_clear_object (&connection->cancellable);
  if (is_secure && !client_connection_is_over (connection))
    client_connection_serve (connection);
  else
    client_connection_free (connection);
}

static void
begin_handshake (struct connection *connection)
{
  g_autoptr (GIOStream) plain = g_steal_pointer (&connection->base);

  connection->base = g_tls_server_connection_new (
      plain, connection->listener->options.certificate, NULL);
  if (connection->base == NULL)
    {
      client_connection_free (connection);
      return;
    }
  /* Clients have no certificates to be checked.  The system's authorities
     would take megabytes for each connection.  */
  g_tls_connection_set_database (G_TLS_CONNECTION (connection->base), NULL);
  g_tls_connection_set_require_close_notify (
      G_TLS_CONNECTION (connection->base), FALSE);
  connection->cancellable = g_cancellable_new ();
  g_tls_connection_handshake_async (
      G_TLS_CONNECTION (connection->base), G_PRIORITY_DEFAULT,
      connection->cancellable, on_handshake_finished, connection);
}

/* A handshake takes a thread of GLib, which a silent client must not keep.  */
gboolean
client_handshake_on_input (GSocket *socket, GIOCondition condition,
                           gpointer data)
{
  struct connection *connection = data;
  int fd = g_socket_get_fd (socket);
  guint8 bytes[TLS_HELLO_BYTES];
  ssize_t n = recv (fd, bytes, sizeof bytes, MSG_PEEK | MSG_DONTWAIT);
  int needed = TLS_HEADER_BYTES;

  if (n <= 0)
    {
      client_connection_free (connection);
      return G_SOURCE_REMOVE;
    }
  if (n >= TLS_HEADER_BYTES)
    needed
        = MIN (TLS_HEADER_BYTES + (bytes[3] << 8 | bytes[4]), TLS_HELLO_BYTES);
  if (n < needed && (condition & (G_IO_HUP | G_IO_ERR)) == 0)
    {
      setsockopt (fd, SOL_SOCKET, SO_RCVLOWAT, &needed, sizeof needed);
      return G_SOURCE_CONTINUE;
    }
  needed = 1;
  setsockopt (fd, SOL_SOCKET, SO_RCVLOWAT, &needed, sizeof needed);
  client_connection_stop_input (connection);
  begin_handshake (connection);
  return G_SOURCE_REMOVE;
}
