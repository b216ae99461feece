#include "transport/listener.h"

#include "base/error.h"

#include <linux/filter.h>
#include <sys/socket.h>

#define LISTEN_BACKLOG 4096

/* The offset of the flags in a TCP header, and the flag of a new
   connection.  */
#define TCP_FLAGS_OFFSET 13
#define TCP_SYN 0x02

/* The return values of a socket filter: how many bytes of the segment to
   keep.  */
#define DROP_SEGMENT 0
#define KEEP_SEGMENT 0xffffffff

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

gboolean
listener_ignore_connects (GSocket *socket)
{
  struct sock_filter code[] = {
    BPF_STMT (BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
    BPF_JUMP (BPF_JMP | BPF_JSET | BPF_K, TCP_SYN, 0, 1),
    BPF_STMT (BPF_RET | BPF_K, DROP_SEGMENT),
    BPF_STMT (BPF_RET | BPF_K, KEEP_SEGMENT),
  };
  struct sock_fprog filter = { G_N_ELEMENTS (code), code };

  return setsockopt (g_socket_get_fd (socket), SOL_SOCKET, SO_ATTACH_FILTER,
                     &filter, sizeof filter)
         == 0;
}

guint
listener_get_port (GSocket *socket)
{
  g_autoptr (GSocketAddress) address
      = g_socket_get_local_address (socket, NULL);

  return g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (address));
}
