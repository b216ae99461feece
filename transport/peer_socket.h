/*
 * A UDP socket for heartbeats or beacons.
 */
#ifndef TRANSPORT_PEER_SOCKET_H
#define TRANSPORT_PEER_SOCKET_H

#include "protocol/settings.h"

#include <gio/gio.h>

struct peer_socket;
struct peer_socket_owner;

struct peer_socket_owner_ops
{
  /* A datagram of LENGTH bytes was received.  DATA is valid only during the
     call.  */
  void (*received) (struct peer_socket_owner *owner, const guint8 *data,
                    gsize length);
};

/* Embedded in the object that owns the socket.  */
struct peer_socket_owner
{
  const struct peer_socket_owner_ops *ops;
};

/* Binds a socket to IP and PORT.  OWNER must outlive the socket.  Returns NULL
   and sets ERROR on failure.  */
struct peer_socket *peer_socket_new (const char *ip, guint port,
                                     struct peer_socket_owner *owner,
                                     GError **error);
void peer_socket_free (struct peer_socket *socket);

/* Sends one datagram.  Returns FALSE if the kernel did not accept it; callers
   treat that like a datagram lost on the network.  */
gboolean peer_socket_send (struct peer_socket *socket, GSocketAddress *to,
                           const guint8 *data, gsize length);

/* Sends the same datagram to each GSocketAddress in TO, with few system
   calls.  */
void peer_socket_send_all (struct peer_socket *socket, GPtrArray *to,
                           const guint8 *data, gsize length);

/* From now on reads datagrams every READ_INTERVAL_US instead of as they
   arrive, so that the loop wakes once for several.  To be called at most once.
 */
void peer_socket_set_read_interval (struct peer_socket *socket,
                                    gint64 read_interval_us);

/* Parses TEXT, "IP:PORT".  Returns NULL if it is invalid; otherwise the caller
   owns the reference.  */
GSocketAddress *peer_address_parse (const char *text);

#endif
