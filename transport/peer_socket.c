#include "transport/peer_socket.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/loop_timer.h"
#include "protocol/heartbeat.h"

/* The most datagrams read in one iteration of the main loop, so that a flood
   of them does not starve other sources.  */
#define MAX_DATAGRAMS_PER_READ 64

struct peer_socket
{
  struct peer_socket_owner *owner;
  GSocket *socket;
  GSource *source;          /* NULL if datagrams are read at intervals */
  struct loop_timer *timer; /* NULL if they are read as they arrive */
  gint64 read_interval_us;
};

static void
read_datagrams (struct peer_socket *socket)
{
  guint8 buffer[HEARTBEAT_MAX_LENGTH + 1];

  for (guint i = 0; i < MAX_DATAGRAMS_PER_READ; i++)
    {
      gssize length = g_socket_receive (socket->socket, (char *)buffer,
                                        sizeof buffer, NULL, NULL);

      if (length < 0)
        return;
      socket->owner->ops->received (socket->owner, buffer, (gsize)length);
    }
}

static gboolean
on_readable (GSocket *gsocket, GIOCondition condition, gpointer data)
{
  read_datagrams (data);
  return G_SOURCE_CONTINUE;
}

static void
on_read_timer (gpointer data)
{
  struct peer_socket *socket = data;

  loop_timer_set (socket->timer, clock_now_us () + socket->read_interval_us);
  read_datagrams (socket);
}

static void
stop_watching (struct peer_socket *socket)
{
  if (socket->source == NULL)
    return;
  g_source_destroy (socket->source);
  g_clear_pointer (&socket->source, g_source_unref);
}

static gboolean
bind_socket (struct peer_socket *socket, const char *ip, guint port,
             GError **error)
{
  g_autoptr (GSocketAddress) address
      = g_inet_socket_address_new_from_string (ip, port);

  socket->socket
      = g_socket_new (g_socket_address_get_family (address),
                      G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, error);
  return socket->socket != NULL
         && g_socket_bind (socket->socket, address, FALSE, error);
}

struct peer_socket *
peer_socket_new (const char *ip, guint port, struct peer_socket_owner *owner,
                 GError **error)
{
  struct peer_socket *socket = g_new0 (struct peer_socket, 1);
  g_autoptr (GError) reason = NULL;

  socket->owner = owner;
  if (!bind_socket (socket, ip, port, &reason))
    {
      error_set (error, ERROR_UNAVAILABLE,
                 "cannot bind UDP socket to %s:%u: %s; free the address or "
                 "change the settings",
                 ip, port, reason->message);
      peer_socket_free (socket);
      return NULL;
    }
  g_socket_set_blocking (socket->socket, FALSE);
  socket->source = g_socket_create_source (socket->socket, G_IO_IN, NULL);
  g_source_set_callback (socket->source, G_SOURCE_FUNC (on_readable), socket,
                         NULL);
  loop_source_attach (socket->source);
  return socket;
}

void
peer_socket_set_read_interval (struct peer_socket *socket,
                               gint64 read_interval_us)
{
  stop_watching (socket);
  socket->read_interval_us = read_interval_us;
  socket->timer = loop_timer_new (on_read_timer, socket);
  loop_timer_set (socket->timer, clock_now_us () + read_interval_us);
}

void
peer_socket_free (struct peer_socket *socket)
{
  stop_watching (socket);
  if (socket->timer != NULL)
    loop_timer_free (socket->timer);
  g_clear_object (&socket->socket);
  g_free (socket);
}

gboolean
peer_socket_send (struct peer_socket *socket, GSocketAddress *to,
                  const guint8 *data, gsize length)
{
  return g_socket_send_to (socket->socket, to, (const char *)data, length,
                           NULL, NULL)
         == (gssize)length;
}

void
peer_socket_send_all (struct peer_socket *socket, GPtrArray *to,
                      const guint8 *data, gsize length)
{
  GOutputVector vector = { data, length };
  g_autofree GOutputMessage *messages = g_new0 (GOutputMessage, to->len);
  guint n_sent = 0;

  for (guint i = 0; i < to->len; i++)
    messages[i] = (GOutputMessage){ .address = g_ptr_array_index (to, i),
                                    .vectors = &vector,
                                    .num_vectors = 1 };
  while (n_sent < to->len)
    {
      gint n = g_socket_send_messages (socket->socket, messages + n_sent,
                                       to->len - n_sent, 0, NULL, NULL);

      /* A message that the kernel rejects is skipped, the others are sent.  */
      n_sent += (guint)MAX (n, 1);
    }
}

GSocketAddress *
peer_address_parse (const char *text)
{
  g_autoptr (GSocketConnectable) parsed
      = g_network_address_parse (text, 0, NULL);
  GNetworkAddress *address;

  if (parsed == NULL)
    return NULL;
  address = G_NETWORK_ADDRESS (parsed);
  if (g_network_address_get_port (address) == 0)
    return NULL;
  return g_inet_socket_address_new_from_string (
      g_network_address_get_hostname (address),
      g_network_address_get_port (address));
}
