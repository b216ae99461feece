/*
 * One route of the proxy: a port of its own and the target to which it
 * relays.  proxy_tcp.c and proxy_udp.c are the two kinds.
 */
#ifndef T_STANDIN_PROXY_ROUTE_H
#define T_STANDIN_PROXY_ROUTE_H

#include "base/list.h"
#include "t/standin/proxy_faults.h"

#include <gio/gio.h>

struct route;

struct route_ops
{
  /* Drops for good all that the open connections still carry.  */
  void (*silence) (struct route *route);

  /* Resets every open connection.  */
  void (*reset) (struct route *route);

  /* Closes the port, so that connections are refused, or opens it again.  */
  void (*set_listening) (struct route *route, gboolean is_listening);
};

struct route
{
  const struct route_ops *ops;
  GSocketAddress *target;
  GSocket *socket; /* NULL while the port is closed */
  GSource *accept_source;
  const char *ip; /* borrowed; the route listens on it */
  guint16 port;
  struct proxy_faults faults;
  GRand *random;
  struct list_node connections;
  guint n_open;
  guint64 n_accepted;
  guint64 bytes[DIRECTION_COUNT]; /* received, relayed or not */
};

/* Relays the connections to PORT of IP, 0 for any, which must outlive the
   route.  NULL on error.  */
struct route *proxy_tcp_new (const char *ip, guint16 port,
                             GSocketAddress *target, GRand *random,
                             GError **error);

/* The same for datagrams.  */
struct route *proxy_udp_new (const char *ip, guint16 port,
                             GSocketAddress *target, GRand *random,
                             GError **error);

#endif
