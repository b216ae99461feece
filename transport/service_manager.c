#include "transport/service_manager.h"

#include "base/event_log.h"

#include <gio/gio.h>
#include <gio/gunixsocketaddress.h>
#include <string.h>

/* A path that begins with '@' names an abstract socket.  */
static GSocketAddress *
parse_address (const char *path)
{
  if (path[0] != '@')
    return g_unix_socket_address_new (path);
  return g_unix_socket_address_new_with_type (path + 1, -1,
                                              G_UNIX_SOCKET_ADDRESS_ABSTRACT);
}

static gboolean
send_state (const char *path, const char *state, GError **error)
{
  g_autoptr (GSocketAddress) address = parse_address (path);
  g_autoptr (GSocket) socket
      = g_socket_new (G_SOCKET_FAMILY_UNIX, G_SOCKET_TYPE_DATAGRAM,
                      G_SOCKET_PROTOCOL_DEFAULT, error);

  if (socket == NULL)
    return FALSE;
  return g_socket_send_to (socket, address, state, strlen (state), NULL, error)
         >= 0;
}

void
service_manager_notify (const char *state)
{
  const char *path = g_getenv ("NOTIFY_SOCKET");
  g_autoptr (GError) error = NULL;

  if (path == NULL || path[0] == '\0')
    return;
  if (!send_state (path, state, &error))
    event_log (EVENT_NOTIFY_FAILED, "%s: %s", state, error->message);
}
