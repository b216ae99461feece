#include "t/standin/connection_guard.h"

#include "base/clock.h"
#include "base/list.h"
#include "base/loop_timer.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* How often deadlines are checked.  */
#define SWEEP_INTERVAL_MS 250

/* How long a rejected client has to read the response before the connection is
   closed.  */
#define REJECT_LINGER_US USEC_PER_SEC

struct connection
{
  struct list_node link;
  struct connection_guard *guard; /* NULL once the guard is freed */
  GSocket *socket; /* not referenced: see on_socket_finalized () */
  SoupServerMessage *last_message; /* the request answered last, while idle */
  GSource *idle_source; /* detects a close by the client while idle */
  gint64 deadline_us;   /* DEADLINE_NEVER while answering */
  gboolean is_rejected;
};

struct connection_guard
{
  SoupServer *server;
  struct connection_limits limits;
  guint sweep_source;
  gulong handlers[3]; /* of the signals of server */
  struct list_node connections;
  GHashTable *by_socket; /* GSocket -> struct connection */
  guint n_connections;
  guint peak_connections;
  guint64 n_closed;
};

static void
stop_idle_watch (struct connection *connection)
{
  if (connection->idle_source != NULL)
    g_source_destroy (connection->idle_source);
  g_clear_pointer (&connection->idle_source, g_source_unref);
  g_clear_object (&connection->last_message);
}

static void
on_socket_finalized (gpointer data, GObject *former)
{
  struct connection *connection = data;
  struct connection_guard *guard = connection->guard;

  stop_idle_watch (connection);
  if (guard != NULL)
    {
      list_remove (&connection->link);
      g_hash_table_remove (guard->by_socket, connection->socket);
      guard->n_connections--;
    }
  g_free (connection);
}

/*
 * Takes an idle connection away from the server and closes it.  When the
 * client closes the connection between two requests, libsoup does not notice
 * and would keep the file descriptor and the memory forever.
 */
static void
close_idle_connection (struct connection *connection)
{
  g_autoptr (SoupServerMessage) last_message
      = g_steal_pointer (&connection->last_message);
  g_autoptr (GIOStream) stream = NULL;

  stop_idle_watch (connection);
  stream = soup_server_message_steal_connection (last_message);
  if (stream != NULL)
    g_io_stream_close (stream, NULL, NULL);
}

/* An idle connection is readable.  Closes it if the client has closed it.
   Otherwise the next request has begun, and the server reads it.  */
static gboolean
on_idle_event (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct connection *connection = data;
  char byte;
  ssize_t n = 1;

  if (!g_socket_is_closed (socket))
    n = recv (g_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
    close_idle_connection (connection);
  else
    stop_idle_watch (connection);
  return G_SOURCE_REMOVE;
}

static struct connection *
add_connection (struct connection_guard *guard, GSocket *socket)
{
  struct connection *connection = g_new0 (struct connection, 1);

  connection->guard = guard;
  connection->socket = socket;
  list_append (&guard->connections, &connection->link);
  g_hash_table_insert (guard->by_socket, socket, connection);
  guard->n_connections++;
  g_object_weak_ref (G_OBJECT (socket), on_socket_finalized, connection);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  return connection;
}

static struct connection *
find_connection (struct connection_guard *guard, SoupServerMessage *message)
{
  GSocket *socket = soup_server_message_get_socket (message);

  return socket != NULL ? g_hash_table_lookup (guard->by_socket, socket)
                        : NULL;
}

/* Closes a connection because of a limit or a deadline.  */
static void
close_connection (struct connection *connection)
{
  connection->deadline_us = DEADLINE_NEVER;
  connection->guard->n_closed++;
  if (connection->last_message != NULL)
    close_idle_connection (connection);
  else
    g_socket_shutdown (connection->socket, TRUE, TRUE, NULL);
}

/*
 * Drops the last reference to a closed socket.  libsoup's listener keeps one
 * reference to each socket that it has accepted, which would leak.  If a
 * version of libsoup does not keep it, the socket is finalized, and its
 * connection removed from the list, before this function can see it.
 */
static void
release_closed_socket (struct connection *connection)
{
  stop_idle_watch (connection);
  if (G_OBJECT (connection->socket)->ref_count == 1)
    g_object_unref (connection->socket);
}

static void
release_closed_sockets (struct connection_guard *guard)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &guard->connections)
    {
      struct connection *connection
          = list_entry (node, struct connection, link);

      if (g_socket_is_closed (connection->socket))
        release_closed_socket (connection);
    }
}

/* Handles the signal that the server waits for a request on a connection.  */
static void
on_request_started (SoupServer *server, SoupServerMessage *message,
                    gpointer data)
{
  struct connection_guard *guard = data;
  struct connection *connection = find_connection (guard, message);
  GSocket *socket = soup_server_message_get_socket (message);
  guint timeout_ms = guard->limits.idle_timeout_ms;

  if (socket == NULL)
    return;
  if (connection == NULL)
    {
      connection = add_connection (guard, socket);
      timeout_ms = guard->limits.request_timeout_ms;
    }
  if (connection->is_rejected)
    return;
  stop_idle_watch (connection);
  connection->deadline_us = clock_now_us () + timeout_ms * USEC_PER_MSEC;
  if (guard->n_connections > guard->limits.max_connections)
    release_closed_sockets (guard);
  if (guard->n_connections > guard->limits.max_connections)
    close_connection (connection);
  guard->peak_connections
      = MAX (guard->peak_connections, guard->n_connections);
}

static void
on_request_read (SoupServer *server, SoupServerMessage *message, gpointer data)
{
  struct connection *connection = find_connection (data, message);

  if (connection != NULL && !connection->is_rejected)
    connection->deadline_us = DEADLINE_NEVER;
}

static void
on_request_finished (SoupServer *server, SoupServerMessage *message,
                     gpointer data)
{
  struct connection_guard *guard = data;
  struct connection *connection = find_connection (guard, message);

  if (connection == NULL || connection->is_rejected)
    return;
  stop_idle_watch (connection);
  connection->deadline_us
      = clock_now_us () + guard->limits.idle_timeout_ms * USEC_PER_MSEC;
  connection->last_message = g_object_ref (message);
  connection->idle_source
      = g_socket_create_source (connection->socket, G_IO_IN, NULL);
  g_source_set_priority (connection->idle_source, G_PRIORITY_HIGH);
  g_source_set_callback (connection->idle_source,
                         G_SOURCE_FUNC (on_idle_event), connection, NULL);
  loop_source_attach (connection->idle_source);
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

      if (g_socket_is_closed (connection->socket))
        release_closed_socket (connection);
      else if (connection->deadline_us <= now_us)
        close_connection (connection);
    }
  return G_SOURCE_CONTINUE;
}

struct connection_guard *
connection_guard_new (SoupServer *server,
                      const struct connection_limits *limits)
{
  struct connection_guard *guard = g_new0 (struct connection_guard, 1);

  guard->server = g_object_ref (server);
  guard->limits = *limits;
  list_init (&guard->connections);
  guard->by_socket = g_hash_table_new (NULL, NULL);
  guard->handlers[0] = g_signal_connect (
      server, "request-started", G_CALLBACK (on_request_started), guard);
  guard->handlers[1] = g_signal_connect (server, "request-read",
                                         G_CALLBACK (on_request_read), guard);
  guard->handlers[2] = g_signal_connect (
      server, "request-finished", G_CALLBACK (on_request_finished), guard);
  guard->sweep_source = g_timeout_add (SWEEP_INTERVAL_MS, on_sweep, guard);
  return guard;
}

void
connection_guard_free (struct connection_guard *guard)
{
  struct list_node *node;
  struct list_node *after;

  g_source_remove (guard->sweep_source);
  release_closed_sockets (guard);
  for (gsize i = 0; i < G_N_ELEMENTS (guard->handlers); i++)
    g_signal_handler_disconnect (guard->server, guard->handlers[i]);
  list_for_each (node, after, &guard->connections)
    {
      list_entry (node, struct connection, link)->guard = NULL;
      list_remove (node);
    }
  g_hash_table_unref (guard->by_socket);
  g_object_unref (guard->server);
  g_free (guard);
}

void
connection_guard_reject (struct connection_guard *guard,
                         SoupServerMessage *message, const char *response)
{
  struct connection *connection = find_connection (guard, message);

  if (connection == NULL || connection->is_rejected)
    return;
  connection->is_rejected = TRUE;
  connection->deadline_us = clock_now_us () + REJECT_LINGER_US;
  guard->n_closed++;
  g_socket_send (connection->socket, response, strlen (response), NULL, NULL);
  g_socket_shutdown (connection->socket, FALSE, TRUE, NULL);
}

guint
connection_guard_count_open (struct connection_guard *guard)
{
  release_closed_sockets (guard);
  return guard->n_connections;
}

guint
connection_guard_get_peak (const struct connection_guard *guard)
{
  return guard->peak_connections;
}

guint64
connection_guard_count_closed (const struct connection_guard *guard)
{
  return guard->n_closed;
}
