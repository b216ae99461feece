#include "transport/listener.h"

#include "base/error.h"

#define LISTEN_BACKLOG 4096

static gboolean
bind_and_listen (GSocket *socket, const struct endpoint *endpoint,
                 GError **error)
{
  g_autoptr (GSocketAddress) address
      = g_inet_socket_address_new_from_string (endpoint->ip, endpoint->port);

  g_socket_set_blocking (socket, FALSE);
  g_socket_set_listen_backlog (socket, LISTEN_BACKLOG);
  return g_socket_bind (socket, address, TRUE, error)
         && g_socket_listen (socket, error);
}

GSocket *
listener_open (const struct endpoint *endpoint, GError **error)
{
  g_autoptr (GInetAddress) ip = g_inet_address_new_from_string (endpoint->ip);
  g_autoptr (GError) reason = NULL;
  GSocket *socket
      = g_socket_new (g_inet_address_get_family (ip), G_SOCKET_TYPE_STREAM,
                      G_SOCKET_PROTOCOL_TCP, &reason);

  if (socket != NULL && bind_and_listen (socket, endpoint, &reason))
    return socket;
  g_clear_object (&socket);
  error_set (error, ERROR_UNAVAILABLE,
             "cannot listen on %s:%u: %s; free the address or change the "
             "settings",
             endpoint->ip, endpoint->port, reason->message);
  return NULL;
}

guint
listener_get_port (GSocket *socket)
{
  g_autoptr (GSocketAddress) address
      = g_socket_get_local_address (socket, NULL);

  return g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (address));
}
