#include "transport/connection_guard.h"

#include "base/clock.h"
#include "base/list.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

/* How often deadlines are looked at.  */
#define SWEEP_INTERVAL_MS 250

/* A rejected sender has this long to read the answer.  */
#define LINGER_US USEC_PER_SEC

/* Connections accepted in one turn of the loop.  */
#define MAX_ACCEPTS_PER_TURN 64

struct connection
{
  struct list_node link;
  struct connection_guard *guard; /* NULL once the guard is gone */
  GSocket *socket;                /* not referenced: see on_stream_gone () */
  GIOStream *stream;              /* not referenced */
  GSocketAddress *remote;         /* referenced; identifies the connection */
  gint64 deadline_us;             /* DEADLINE_NEVER while we answer */
  gboolean is_rejected;
};

struct connection_guard
{
  GSocket *listener;
  SoupServer *server;
  GTlsCertificate *certificate;
  struct connection_limits limits;
  GSource *accept_source;
  guint sweep_source;
  gulong handlers[3];
  struct list_node connections;
  GHashTable *by_remote; /* GSocketAddress -> struct connection */
  guint n_connections;
  guint64 n_closed;
};

static void
on_stream_gone (gpointer data, GObject *former)
{
  struct connection *connection = data;
  struct connection_guard *guard = connection->guard;

  if (guard != NULL)
    {
      list_remove (&connection->link);
      g_hash_table_remove (guard->by_remote, connection->remote);
      guard->n_connections--;
    }
  g_object_unref (connection->remote);
  g_free (connection);
}

static struct connection *
add_connection (struct connection_guard *guard, GSocketConnection *stream,
                GSocketAddress *remote)
{
  struct connection *connection = g_new0 (struct connection, 1);

  connection->guard = guard;
  connection->socket = g_socket_connection_get_socket (stream);
  connection->stream = G_IO_STREAM (stream);
  connection->remote = g_object_ref (remote);
  connection->deadline_us
      = clock_now_us () + guard->limits.request_timeout_ms * USEC_PER_MSEC;
  list_append (&guard->connections, &connection->link);
  g_hash_table_insert (guard->by_remote, remote, connection);
  guard->n_connections++;
  g_object_weak_ref (G_OBJECT (stream), on_stream_gone, connection);
  return connection;
}

static void
serve_socket (struct connection_guard *guard, GSocket *socket)
{
  g_autoptr (GSocketConnection) stream
      = g_socket_connection_factory_create_connection (socket);
  g_autoptr (GSocketAddress) local = g_socket_get_local_address (socket, NULL);
  g_autoptr (GSocketAddress) remote
      = g_socket_get_remote_address (socket, NULL);
  struct connection *connection;
  g_autoptr (GIOStream) served = NULL;

  if (local == NULL || remote == NULL)
    return;
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  connection = add_connection (guard, stream, remote);
  if (guard->certificate != NULL)
    {
      served = g_tls_server_connection_new (G_IO_STREAM (stream),
                                            guard->certificate, NULL);
      connection->stream = served;
    }
  else
    served = g_object_ref (G_IO_STREAM (stream));
  if (served != NULL)
    soup_server_accept_iostream (guard->server, served, local, remote, NULL);
}

static gboolean
on_acceptable (GSocket *listener, GIOCondition condition, gpointer data)
{
  struct connection_guard *guard = data;

  for (int i = 0; i < MAX_ACCEPTS_PER_TURN; i++)
    {
      g_autoptr (GSocket) socket = g_socket_accept (listener, NULL, NULL);

      if (socket == NULL)
        break;
      if (guard->n_connections >= guard->limits.max_connections)
        guard->n_closed++;
      else
        serve_socket (guard, socket);
    }
  return G_SOURCE_CONTINUE;
}

static struct connection *
find_connection (struct connection_guard *guard, SoupServerMessage *message)
{
  GSocketAddress *remote = soup_server_message_get_remote_address (message);

  return remote != NULL ? g_hash_table_lookup (guard->by_remote, remote)
                        : NULL;
}

static void
on_request_read (SoupServer *server, SoupServerMessage *message, gpointer data)
{
  struct connection *connection = find_connection (data, message);

  if (connection != NULL && !connection->is_rejected)
    connection->deadline_us = DEADLINE_NEVER;
}

static void
on_request_ended (SoupServer *server, SoupServerMessage *message,
                  gpointer data)
{
  struct connection_guard *guard = data;
  struct connection *connection = find_connection (guard, message);

  if (connection != NULL && !connection->is_rejected)
    connection->deadline_us
        = clock_now_us () + guard->limits.idle_timeout_ms * USEC_PER_MSEC;
}

static gboolean
on_sweep (gpointer data)
{
  struct connection_guard *guard = data;
  gint64 now_us = clock_now_us ();
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &guard->connections)
    {
      struct connection *connection
          = list_entry (node, struct connection, link);

      if (connection->deadline_us > now_us)
        continue;
      connection->deadline_us = DEADLINE_NEVER;
      guard->n_closed++;
      g_socket_shutdown (connection->socket, TRUE, TRUE, NULL);
    }
  return G_SOURCE_CONTINUE;
}

struct connection_guard *
connection_guard_new (GSocket *listener, SoupServer *server,
                      GTlsCertificate *certificate,
                      const struct connection_limits *limits)
{
  struct connection_guard *guard = g_new0 (struct connection_guard, 1);

  guard->listener = g_object_ref (listener);
  guard->server = g_object_ref (server);
  guard->certificate = certificate != NULL ? g_object_ref (certificate) : NULL;
  guard->limits = *limits;
  list_init (&guard->connections);
  guard->by_remote = g_hash_table_new (NULL, NULL);
  guard->handlers[0] = g_signal_connect (server, "request-read",
                                         G_CALLBACK (on_request_read), guard);
  guard->handlers[1] = g_signal_connect (server, "request-finished",
                                         G_CALLBACK (on_request_ended), guard);
  guard->handlers[2] = g_signal_connect (server, "request-aborted",
                                         G_CALLBACK (on_request_ended), guard);
  guard->accept_source = g_socket_create_source (listener, G_IO_IN, NULL);
  g_source_set_callback (guard->accept_source, G_SOURCE_FUNC (on_acceptable),
                         guard, NULL);
  g_source_attach (guard->accept_source, NULL);
  guard->sweep_source = g_timeout_add (SWEEP_INTERVAL_MS, on_sweep, guard);
  return guard;
}

void
connection_guard_stop_accepting (struct connection_guard *guard)
{
  if (guard->accept_source == NULL)
    return;
  g_source_destroy (guard->accept_source);
  g_clear_pointer (&guard->accept_source, g_source_unref);
  g_socket_close (guard->listener, NULL);
}

void
connection_guard_free (struct connection_guard *guard)
{
  struct list_node *node;
  struct list_node *after;

  connection_guard_stop_accepting (guard);
  g_source_remove (guard->sweep_source);
  for (gsize i = 0; i < G_N_ELEMENTS (guard->handlers); i++)
    g_signal_handler_disconnect (guard->server, guard->handlers[i]);
  list_for_each (node, after, &guard->connections)
    {
      list_entry (node, struct connection, link)->guard = NULL;
      list_remove (node);
    }
  g_hash_table_unref (guard->by_remote);
  g_clear_object (&guard->certificate);
  g_object_unref (guard->server);
  g_object_unref (guard->listener);
  g_free (guard);
}

void
connection_guard_reject (struct connection_guard *guard,
                         SoupServerMessage *message, const char *response)
{
  struct connection *connection = find_connection (guard, message);
  GOutputStream *output;

  if (connection == NULL || connection->is_rejected)
    return;
  connection->is_rejected = TRUE;
  connection->deadline_us = clock_now_us () + LINGER_US;
  guard->n_closed++;
  output = g_io_stream_get_output_stream (connection->stream);
  if (G_IS_POLLABLE_OUTPUT_STREAM (output))
    g_pollable_output_stream_write_nonblocking (
        G_POLLABLE_OUTPUT_STREAM (output), response, strlen (response), NULL,
        NULL);
  g_socket_shutdown (connection->socket, FALSE, TRUE, NULL);
}

guint
connection_guard_count (const struct connection_guard *guard)
{
  return guard->n_connections;
}

guint64
connection_guard_count_closed (const struct connection_guard *guard)
{
  return guard->n_closed;
}
