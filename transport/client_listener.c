#include "transport/client_listener_private.h"

#include "base/event_log.h"
#include "base/loop_timer.h"

#include <sys/socket.h>

/* How often deadlines are checked.  */
#define SWEEP_INTERVAL_MS 250

/* The pause after accept has failed.  */
#define ACCEPT_RETRY_MS 100

/* How many connections are accepted at once before requests are served.  */
#define ACCEPT_BATCH 64

/* The kernel's buffers of a connection.  They are memory of this process.  */
#define RECEIVE_BUFFER_BYTES 8192
#define SEND_BUFFER_BYTES 16384

static const char *const class_names[CLIENT_N_CLASSES]
    = { "callers", "readiness", "metrics" };

void
client_listener_count_limited (struct client_listener *listener,
                               enum client_limit limit)
{
  gint64 now_us = clock_now_us ();

  metrics_count_label (METRIC_CLIENTS_LIMITED, limit);
  listener->n_limited[limit]++;
  if (now_us < listener->log_due_us[limit])
    return;
  event_log_fields (EVENT_CLIENTS_LIMITED,
                    FIELD_TEXT ("limit", client_limit_name (limit)),
                    FIELD_TEXT ("class", class_names[listener->options.class]),
                    FIELD_INT ("count", listener->n_limited[limit]),
                    FIELD_INT ("open", listener->n_connections));
  listener->log_due_us[limit] = now_us + CLIENT_LOG_INTERVAL_US;
  listener->n_limited[limit] = 0;
}

static void
pause_accepting (struct client_listener *listener)
{
  if (listener->accept_source != NULL)
    g_source_destroy (listener->accept_source);
  g_clear_pointer (&listener->accept_source, g_source_unref);
}

static gboolean
on_retry (gpointer data)
{
  struct client_listener *listener = data;

  listener->retry_source = 0;
  client_listener_resume (listener);
  return G_SOURCE_REMOVE;
}

/* Goes on to accept after a while, or once a connection has been closed.  */
static void
accept_later (struct client_listener *listener)
{
  pause_accepting (listener);
  if (listener->retry_source == 0)
    listener->retry_source
        = g_timeout_add (ACCEPT_RETRY_MS, on_retry, listener);
}

/* Lets another connection give way.  Returns FALSE if there is none.  */
static gboolean
end_another (struct client_listener *listener)
{
  struct client *client = client_budget_choose (listener->options.budget,
                                                listener->options.class);

  if (client == NULL)
    return FALSE;
  client_connection_cut (list_entry (client, struct connection, client));
  return TRUE;
}

static gboolean
has_room (const struct client_listener *listener)
{
  return client_budget_has_room (
      listener->options.budget, listener->options.class,
      listener->options.certificate != NULL ? TLS_CONNECTION_BYTES
                                            : CONNECTION_BYTES);
}

/* Closes a new connection that has no room.  */
static void
reject_connection (GSocket *socket)
{
  g_socket_close (socket, NULL);
  g_object_unref (socket);
}

static void
handle_accept_error (struct client_listener *listener, const GError *error)
{
  if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return;
  client_listener_count_limited (listener, CLIENT_LIMIT_DESCRIPTORS);
  end_another (listener);
  accept_later (listener);
}

static enum client_limit
get_full_limit (const struct client_listener *listener)
{
  const struct client_budget *budget = listener->options.budget;
  enum client_class class = listener->options.class;

  return budget->n_connections[class] >= budget->max_connections[class]
             ? CLIENT_LIMIT_CONNECTIONS
             : CLIENT_LIMIT_MEMORY;
}

static gboolean
on_connect (GSocket *listening, GIOCondition condition, gpointer data)
{
  struct client_listener *listener = data;

  for (guint i = 0; i < ACCEPT_BATCH && listener->accept_source != NULL; i++)
    {
      g_autoptr (GError) error = NULL;
      gboolean is_full = !has_room (listener);
      GSocket *socket;

      if (is_full && g_socket_condition_check (listening, G_IO_IN) == 0)
        break;
      if (is_full)
        client_listener_count_limited (listener, get_full_limit (listener));
      if (is_full && end_another (listener))
        is_full = !has_room (listener);
      if (is_full && listener->n_ending > 0)
        {
          accept_later (listener);
          break;
        }
      socket = g_socket_accept (listening, NULL, &error);
      if (socket == NULL)
        {
          handle_accept_error (listener, error);
          break;
        }
      if (is_full)
        reject_connection (socket);
      else
        client_connection_add (listener, socket);
    }
  return G_SOURCE_CONTINUE;
}

void
client_listener_resume (struct client_listener *listener)
{
  if (listener->accept_source != NULL || listener->socket == NULL)
    return;
  listener->accept_source
      = g_socket_create_source (listener->socket, G_IO_IN, NULL);
  g_source_set_callback (listener->accept_source, G_SOURCE_FUNC (on_connect),
                         listener, NULL);
  loop_source_attach (listener->accept_source);
}

static gboolean
on_sweep (gpointer data)
{
  struct client_listener *listener = data;
  gint64 now_us = clock_now_us ();
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &listener->connections)
    {
      struct connection *connection
          = list_entry (node, struct connection, link);
      gboolean is_unread = connection->answer_deadline_us <= now_us;

      if (connection->slow_deadline_us <= now_us
          && connection->client.state == CLIENT_ANSWERING)
        client_connection_set_state (connection, CLIENT_UNREAD);
      if (connection->deadline_us > now_us && !is_unread)
        continue;
      if (is_unread || connection->client.state == CLIENT_READING)
        client_listener_count_limited (listener, CLIENT_LIMIT_TIME);
      client_connection_cut (connection);
    }
  return G_SOURCE_CONTINUE;
}

struct turn_source
{
  GSource source;
  struct client_listener *listener;
};

/* A turn of the main loop begins.  */
static gboolean
on_turn (GSource *source, int *timeout_ms)
{
  ((struct turn_source *)(void *)source)->listener->turn_bytes
      = BYTES_PER_TURN;
  *timeout_ms = -1;
  return FALSE;
}

static gboolean
on_turn_dispatch (GSource *source, GSourceFunc callback, gpointer data)
{
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs turn_funcs
    = { .prepare = on_turn, .dispatch = on_turn_dispatch };

static GSource *
turn_source_new (struct client_listener *listener)
{
  GSource *source = g_source_new (&turn_funcs, sizeof (struct turn_source));

  ((struct turn_source *)(void *)source)->listener = listener;
  g_source_attach (source, NULL);
  return source;
}

/*
 * Keeps connections of accept_iostream () open between two requests: libsoup
 * closes them unless the server listens itself.  It listens on the same socket
 * in a context that never runs, so that it accepts nothing.
 */
static void
let_server_listen (struct client_listener *listener)
{
  listener->unused_context = g_main_context_new ();
  g_main_context_push_thread_default (listener->unused_context);
  soup_server_listen_socket (listener->server, listener->socket, 0, NULL);
  g_main_context_pop_thread_default (listener->unused_context);
}

static void
set_buffer (GSocket *socket, int option, int n_bytes)
{
  g_socket_set_option (socket, SOL_SOCKET, option, n_bytes, NULL);
}

struct client_listener *
client_listener_new (SoupServer *server, GSocket *socket,
                     const struct client_listener_options *options)
{
  struct client_listener *listener = g_new0 (struct client_listener, 1);

  listener->options = *options;
  listener->server = g_object_ref (server);
  listener->socket = g_object_ref (socket);
  list_init (&listener->connections);
  set_buffer (socket, SO_RCVBUF, RECEIVE_BUFFER_BYTES);
  set_buffer (socket, SO_SNDBUF, SEND_BUFFER_BYTES);
  let_server_listen (listener);
  client_request_follow (listener);
  listener->sweep_source
      = g_timeout_add (SWEEP_INTERVAL_MS, on_sweep, listener);
  listener->turn_source = turn_source_new (listener);
  client_listener_resume (listener);
  return listener;
}

void
client_listener_free (struct client_listener *listener)
{
  struct list_node *node;
  struct list_node *after;

  pause_accepting (listener);
  if (listener->retry_source != 0)
    g_source_remove (listener->retry_source);
  g_source_remove (listener->sweep_source);
  g_source_destroy (listener->turn_source);
  g_source_unref (listener->turn_source);
  g_clear_object (&listener->socket);
  soup_server_disconnect (listener->server);
  list_for_each (node, after, &listener->connections)
    client_connection_drop (list_entry (node, struct connection, link));
  client_request_unfollow (listener);
  g_main_context_unref (listener->unused_context);
  g_object_unref (listener->server);
  g_free (listener);
}

guint
client_listener_count_open (const struct client_listener *listener)
{
  return listener->n_connections;
}

guint
client_listener_count_requests (const struct client_listener *listener)
{
  return listener->n_requests;
}
