#include "transport/client_listener_private.h"

#include "base/loop_timer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#define DISCARD_BYTES 4096

static GQuark
get_quark (void)
{
  static GQuark quark;

  if (quark == 0)
    quark = g_quark_from_static_string ("client-connection");
  return quark;
}

struct connection *
client_connection_find (SoupServerMessage *message)
{
  GSocketAddress *address = soup_server_message_get_remote_address (message);

  return address != NULL
             ? g_object_get_qdata (G_OBJECT (address), get_quark ())
             : NULL;
}

gboolean
client_connection_is_over (const struct connection *connection)
{
  return connection->listener == NULL
         || connection->client.state == CLIENT_CLOSING
         || connection->client.state == CLIENT_ENDING;
}

void
client_connection_set_state (struct connection *connection,
                             enum client_state state)
{
  client_budget_set_state (connection->listener->options.budget,
                           &connection->client, state);
}

void
client_connection_charge (struct connection *connection)
{
  client_budget_set_bytes (
      connection->listener->options.budget, &connection->client,
      connection->body_size + connection->taken_bytes
          + connection->answer_bytes
          + (connection->has_header ? 0 : connection->header_bytes));
}

static void
forget_answer (struct connection *connection, struct client_listener *listener)
{
  if (connection->answer_bytes > 0)
    listener->n_unread_answers--;
  connection->answer_bytes = 0;
}

void
client_connection_clear_request (struct connection *connection)
{
  g_clear_pointer (&connection->body, g_free);
  connection->body_length = 0;
  connection->body_size = 0;
  connection->taken_bytes = 0;
  forget_answer (connection, connection->listener);
  if (connection->client.state != CLIENT_ENDING)
    client_connection_charge (connection);
}

void
client_connection_end_request (struct connection *connection)
{
  if (connection->has_request)
    connection->listener->n_requests--;
  connection->has_request = FALSE;
}

void
client_connection_stop_input (struct connection *connection)
{
  if (connection->input_source != NULL)
    g_source_destroy (connection->input_source);
  g_clear_pointer (&connection->input_source, g_source_unref);
}

/* Takes the connection out of its listener's lists and accounts.  */
static void
leave_listener (struct connection *connection)
{
  struct client_listener *listener = g_steal_pointer (&connection->listener);

  if (connection->has_request)
    listener->n_requests--;
  if (connection->client.state == CLIENT_ENDING)
    listener->n_ending--;
  forget_answer (connection, listener);
  client_budget_remove (listener->options.budget, &connection->client);
  list_remove (&connection->link);
  listener->n_connections--;
  client_listener_resume (listener);
}

void
client_connection_free (struct connection *connection)
{
  client_connection_stop_input (connection);
  if (connection->listener != NULL)
    leave_listener (connection);
  g_object_set_qdata (G_OBJECT (connection->address), get_quark (), NULL);
  g_socket_close (connection->socket, NULL);
  g_free (connection->body);
  g_clear_object (&connection->stream);
  g_clear_object (&connection->base);
  g_clear_object (&connection->cancellable);
  g_object_unref (connection->socket);
  g_object_unref (connection->address);
  g_free (connection);
}

void
client_connection_cut (struct connection *connection)
{
  struct client_listener *listener = connection->listener;

  if (connection->client.state == CLIENT_ENDING)
    return;
  connection->deadline_us = DEADLINE_NEVER;
  connection->answer_deadline_us = DEADLINE_NEVER;
  connection->slow_deadline_us = DEADLINE_NEVER;
  client_budget_end (listener->options.budget, &connection->client);
  listener->n_ending++;
  client_connection_clear_request (connection);
  if (connection->cancellable != NULL)
    g_cancellable_cancel (connection->cancellable);
  else if (connection->stream != NULL)
    client_stream_detach (connection->stream);
  else
    client_connection_free (connection);
}

/* Reads and discards what a refused client still sends, so that it gets its
   answer: the kernel would reset the connection otherwise.  */
static gboolean
on_lingering_input (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct connection *connection = data;
  char buffer[DISCARD_BYTES];
  g_autoptr (GError) error = NULL;
  gssize n = g_socket_receive (socket, buffer, sizeof buffer, NULL, &error);

  if (n > 0 || g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return G_SOURCE_CONTINUE;
  client_connection_free (connection);
  return G_SOURCE_REMOVE;
}

void
client_connection_watch_input (struct connection *connection,
                               GSocketSourceFunc callback)
{
  connection->input_source
      = g_socket_create_source (connection->socket, G_IO_IN, NULL);
  g_source_set_callback (connection->input_source, G_SOURCE_FUNC (callback),
                         connection, NULL);
  loop_source_attach (connection->input_source);
}

static struct connection *
from_owner (struct client_stream_owner *owner)
{
  return list_entry (owner, struct connection, owner);
}

/* The server has closed the stream.  A refused client may still read.  */
static void
on_stream_closed (struct client_stream_owner *owner)
{
  struct connection *connection = from_owner (owner);

  g_clear_object (&connection->stream);
  connection->message = NULL;
  if (connection->listener != NULL)
    client_connection_end_request (connection);
  if (connection->listener != NULL
      && connection->client.state == CLIENT_CLOSING)
    client_connection_watch_input (connection, on_lingering_input);
  else
    client_connection_free (connection);
}

/* Charges the client for an answer that it leaves unread, or ends its
   connection if that does not fit.  The only such answer always fits: its
   client may only be slow.  */
static void
keep_answer (struct connection *connection)
{
  struct client_listener *listener = connection->listener;
  gsize n_bytes;

  if (connection->message == NULL)
    return;
  n_bytes = (gsize)soup_server_message_get_response_body (connection->message)
                ->length;
  if (n_bytes == 0)
    return;
  if (listener->n_unread_answers > 0
      && !client_budget_may_grow (listener->options.budget,
                                  listener->options.class, n_bytes))
    {
      client_listener_count_limited (listener, CLIENT_LIMIT_MEMORY);
      client_connection_cut (connection);
      return;
    }
  connection->answer_bytes = n_bytes;
  listener->n_unread_answers++;
  client_connection_charge (connection);
}

static void
on_stream_sent (struct client_stream_owner *owner, gboolean is_blocked)
{
  struct connection *connection = from_owner (owner);

  if (connection->listener == NULL
      || connection->client.state == CLIENT_ENDING)
    return;
  if (!is_blocked)
    {
      connection->answer_deadline_us = DEADLINE_NEVER;
      return;
    }
  if (connection->answer_deadline_us == DEADLINE_NEVER)
    connection->answer_deadline_us
        = clock_now_us ()
          + connection->listener->options.answer_timeout_ms * USEC_PER_MSEC;
  if (connection->slow_deadline_us == DEADLINE_NEVER)
    connection->slow_deadline_us = clock_now_us () + SLOW_ANSWER_US;
  if (connection->answer_bytes == 0)
    keep_answer (connection);
}

/* Frees the memory of CONNECTION's request, which is refused.  */
static void
give_way (struct connection *connection)
{
  if (connection->client.state == CLIENT_READING && connection->stream != NULL)
    client_request_refuse_for_memory (connection);
  else
    client_connection_cut (connection);
}

gboolean
client_connection_make_room (struct connection *connection, gsize n_bytes)
{
  struct client_listener *listener = connection->listener;
  struct client_budget *budget = listener->options.budget;

  while (!client_budget_may_grow (budget, listener->options.class, n_bytes))
    {
      struct client *client
          = client_budget_choose (budget, listener->options.class);

      client_listener_count_limited (listener, CLIENT_LIMIT_MEMORY);
      if (client == NULL || client == &connection->client)
        {
          client_request_refuse_for_memory (connection);
          return FALSE;
        }
      give_way (list_entry (client, struct connection, client));
    }
  return TRUE;
}

/* Takes the cost of reading N bytes from what this turn may cost.  */
static void
pay_for_read (struct connection *connection, gsize n)
{
  struct client_listener *listener = connection->listener;
  gsize cost = connection->has_header ? n / BODY_SHARE : n;

  listener->turn_bytes -= MIN (MAX (cost, READ_BYTES), listener->turn_bytes);
}

static void
on_stream_received (struct client_stream_owner *owner, gsize n)
{
  struct connection *connection = from_owner (owner);
  struct client_listener *listener = connection->listener;

  if (listener == NULL)
    return;
  if (connection->client.state == CLIENT_IDLE)
    {
      client_connection_set_state (connection, CLIENT_READING);
      connection->deadline_us
          = clock_now_us ()
            + listener->options.request_timeout_ms * USEC_PER_MSEC;
    }
  if (connection->client.state == CLIENT_READING)
    pay_for_read (connection, n);
  if (connection->client.state != CLIENT_READING || connection->has_header)
    return;
  connection->header_bytes += n;
  if (connection->header_bytes > CLIENT_HEADER_BYTES)
    client_request_refuse_header (connection);
  else if (client_connection_make_room (connection, n))
    client_connection_charge (connection);
}

/* Requests in very many fields or chunks must not keep the loop from other
   work.  The first bytes of a header are always read: short requests do not
   wait for long ones.  */
static gsize
limit_read (struct client_stream_owner *owner, gsize count)
{
  const struct connection *connection = from_owner (owner);
  gsize n_short = 0;

  if (connection->listener == NULL
      || connection->client.state > CLIENT_READING)
    return count;
  if (!connection->has_header && connection->header_bytes < SHORT_HEADER_BYTES)
    n_short = SHORT_HEADER_BYTES - connection->header_bytes;
  return MIN (count, MAX (connection->listener->turn_bytes, n_short));
}

static const struct client_stream_owner_ops owner_ops = {
  .limit_read = limit_read,
  .received = on_stream_received,
  .sent = on_stream_sent,
  .closed = on_stream_closed,
};

void
client_connection_serve (struct connection *connection)
{
  struct client_listener *listener = connection->listener;
  g_autoptr (GSocketAddress) local
      = g_socket_get_local_address (connection->socket, NULL);
  g_autoptr (GError) error = NULL;

  connection->stream
      = client_stream_new (connection->base, &connection->owner);
  if (!soup_server_accept_iostream (listener->server,
                                    G_IO_STREAM (connection->stream), local,
                                    connection->address, &error))
    {
      g_clear_object (&connection->stream);
      client_connection_free (connection);
    }
}

void
client_connection_add (struct client_listener *listener, GSocket *socket)
{
  struct connection *connection = g_new0 (struct connection, 1);

  connection->listener = listener;
  connection->owner.ops = &owner_ops;
  connection->client.class = listener->options.class;
  connection->client.connection_bytes = listener->options.certificate != NULL
                                            ? TLS_CONNECTION_BYTES
                                            : CONNECTION_BYTES;
  connection->socket = socket;
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  connection->address = g_socket_get_remote_address (socket, NULL);
  if (connection->address == NULL) /* it has left already */
    connection->address = g_inet_socket_address_new_from_string ("0.0.0.0", 0);
  g_object_set_qdata (G_OBJECT (connection->address), get_quark (),
                      connection);
  connection->base
      = G_IO_STREAM (g_socket_connection_factory_create_connection (socket));
  connection->deadline_us
      = clock_now_us () + listener->options.request_timeout_ms * USEC_PER_MSEC;
  connection->answer_deadline_us = DEADLINE_NEVER;
  connection->slow_deadline_us = DEADLINE_NEVER;
  client_budget_add (listener->options.budget, &connection->client);
  list_append (&listener->connections, &connection->link);
  listener->n_connections++;
  if (listener->options.certificate != NULL)
    client_connection_watch_input (connection, client_handshake_on_input);
  else
    client_connection_serve (connection);
}

void
client_connection_drop (struct connection *connection)
{
  leave_listener (connection);
  if (connection->cancellable != NULL)
    g_cancellable_cancel (connection->cancellable);
  else if (connection->stream != NULL)
    client_stream_detach (connection->stream);
  else
    client_connection_free (connection);
}
