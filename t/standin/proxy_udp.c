#include "t/standin/proxy_route.h"

#include "t/standin/faults.h"

#define MAX_DATAGRAM_BYTES 65536

/* The datagrams of one address that sends to the route.  */
struct flow
{
  struct list_node node; /* on the route's connections */
  struct route *route;
  GSocketAddress *near;
  GSocket *far; /* connected to the target */
  gboolean silent;
};

/* A datagram that is held back.  */
struct delayed
{
  struct flow *flow;
  enum direction direction;
  gsize length;
  char data[];
};

static void
send_datagram (struct flow *flow, enum direction direction, const char *data,
               gsize length)
{
  if (direction == DIRECTION_UP)
    g_socket_send (flow->far, data, length, NULL, NULL);
  else
    g_socket_send_to (flow->route->socket, flow->near, data, length, NULL,
                      NULL);
}

static gboolean
on_due (gpointer data)
{
  struct delayed *delayed = data;

  send_datagram (delayed->flow, delayed->direction, delayed->data,
                 delayed->length);
  g_free (delayed);
  return G_SOURCE_REMOVE;
}

static void
send_later (struct flow *flow, enum direction direction, const char *data,
            gsize length, gint64 delay_ms)
{
  struct delayed *delayed = g_malloc (sizeof *delayed + length);

  delayed->flow = flow;
  delayed->direction = direction;
  delayed->length = length;
  memcpy (delayed->data, data, length);
  g_timeout_add ((guint)delay_ms, on_due, delayed);
}

static void
relay (struct flow *flow, enum direction direction, const char *data,
       gsize length)
{
  struct route *route = flow->route;
  const struct direction_faults *faults = &route->faults.directions[direction];
  gint64 delay_ms = faults->delay_ms;
  int copies = 1;

  route->bytes[direction] += length;
  if (flow->silent || faults->silent
      || faults_draw (route->random, faults->loss_percent))
    return;
  if (faults_draw (route->random, faults->duplicate_percent))
    copies = 2;
  if (faults->jitter_ms > 0)
    delay_ms
        += g_rand_int_range (route->random, 0, (gint32)faults->jitter_ms + 1);
  for (int i = 0; i < copies; i++)
    if (delay_ms > 0)
      send_later (flow, direction, data, length, delay_ms);
    else
      send_datagram (flow, direction, data, length);
}

static gboolean
on_far (GSocket *socket, GIOCondition condition, gpointer data)
{
  char buf[MAX_DATAGRAM_BYTES];
  gssize n = g_socket_receive (socket, buf, sizeof buf, NULL, NULL);

  if (n >= 0)
    relay (data, DIRECTION_DOWN, buf, (gsize)n);
  return G_SOURCE_CONTINUE;
}

static struct flow *
add_flow (struct route *route, GSocketAddress *near)
{
  struct flow *flow = g_new0 (struct flow, 1);
  g_autoptr (GSource) source = NULL;

  flow->route = route;
  flow->near = g_object_ref (near);
  flow->far = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
                            G_SOCKET_PROTOCOL_UDP, NULL);
  g_socket_set_blocking (flow->far, FALSE);
  g_socket_connect (flow->far, route->target, NULL, NULL);
  source = g_socket_create_source (flow->far, G_IO_IN, NULL);
  g_source_set_callback (source, G_SOURCE_FUNC (on_far), flow, NULL);
  g_source_attach (source, NULL);
  list_init (&flow->node);
  list_append (&route->connections, &flow->node);
  route->n_open++;
  route->n_accepted++;
  return flow;
}

static gboolean
is_same (GSocketAddress *a, GSocketAddress *b)
{
  return g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (a))
             == g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (b))
         && g_inet_address_equal (
             g_inet_socket_address_get_address (G_INET_SOCKET_ADDRESS (a)),
             g_inet_socket_address_get_address (G_INET_SOCKET_ADDRESS (b)));
}

static struct flow *
find_flow (struct route *route, GSocketAddress *near)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &route->connections)
    {
      struct flow *flow = list_entry (node, struct flow, node);

      if (is_same (flow->near, near))
        return flow;
    }
  return add_flow (route, near);
}

static gboolean
on_near (GSocket *socket, GIOCondition condition, gpointer data)
{
  g_autoptr (GSocketAddress) near = NULL;
  char buf[MAX_DATAGRAM_BYTES];
  gssize n
      = g_socket_receive_from (socket, &near, buf, sizeof buf, NULL, NULL);

  if (n >= 0)
    relay (find_flow (data, near), DIRECTION_UP, buf, (gsize)n);
  return G_SOURCE_CONTINUE;
}

static void
silence_flows (struct route *route)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &route->connections)
    {
      list_entry (node, struct flow, node)->silent = TRUE;
    }
}

static void
reset_flows (struct route *route)
{
}

static void
set_listening (struct route *route, gboolean is_listening)
{
}

static const struct route_ops udp_ops = { .silence = silence_flows,
                                          .reset = reset_flows,
                                          .set_listening = set_listening };

struct route *
proxy_udp_new (const char *ip, guint16 port, GSocketAddress *target,
               GRand *random, GError **error)
{
  struct route *route = g_new0 (struct route, 1);
  g_autoptr (GSocketAddress) address
      = g_inet_socket_address_new_from_string (ip, port);
  g_autoptr (GSocketAddress) bound = NULL;
  g_autoptr (GSource) source = NULL;

  route->ops = &udp_ops;
  route->ip = ip;
  route->target = target;
  route->random = random;
  proxy_faults_init (&route->faults);
  list_init (&route->connections);
  route->socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
                                G_SOCKET_PROTOCOL_UDP, error);
  if (route->socket == NULL
      || !g_socket_bind (route->socket, address, TRUE, error))
    return NULL;
  bound = g_socket_get_local_address (route->socket, NULL);
  route->port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound));
  g_socket_set_blocking (route->socket, FALSE);
  source = g_socket_create_source (route->socket, G_IO_IN, NULL);
  g_source_set_callback (source, G_SOURCE_FUNC (on_near), route, NULL);
  g_source_attach (source, NULL);
  return route;
}
