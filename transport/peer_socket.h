/*
 * The UDP socket for heartbeats.
 */
#ifndef TRANSPORT_PEER_SOCKET_H
#define TRANSPORT_PEER_SOCKET_H

#include "protocol/settings.h"

#include <gio/gio.h>

struct peer_socket;
struct peer_socket_owner;

struct peer_socket_owner_ops
{
  /* A datagram of LENGTH bytes came in; DATA lives only during the call.  */
  void (*received) (struct peer_socket_owner *owner, const guint8 *data,
                    gsize length);
};

/* Embedded in whoever owns the socket.  */
struct peer_socket_owner
{
  const struct peer_socket_owner_ops *ops;
};

/* Binds IP and PORT; OWNER must outlive the socket.  Returns NULL with
   ERROR.  */
struct peer_socket *peer_socket_new (const char *ip, guint port,
                                     struct peer_socket_owner *owner,
                                     GError **error);
void peer_socket_free (struct peer_socket *socket);

/* Sends one datagram.  Returns FALSE when the kernel did not take it; that
   counts as a loss.  */
gboolean peer_socket_send (struct peer_socket *socket, GSocketAddress *to,
                           const guint8 *data, gsize length);

/* The same to each GSocketAddress in TO, with fewer calls of the kernel.  */
void peer_socket_send_all (struct peer_socket *socket, GPtrArray *to,
                           const guint8 *data, gsize length);

/* Reads datagrams every GATHER_US from now on, and not as they come, so that
   the loop wakes once for several.  To be called once.  */
void peer_socket_gather (struct peer_socket *socket, gint64 gather_us);

/* The address that TEXT, "IP:PORT", writes, or NULL.  The caller owns it.  */
GSocketAddress *peer_address_parse (const char *text);

#endif
