#include "transport/client_listener.h"

#include "base/error.h"
#include "base/event_log.h"
#include "base/loop_timer.h"
#include "base/metrics.h"
#include "transport/client_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* How often deadlines are checked.  */
#define SWEEP_INTERVAL_MS 250

/* The pause after accept has failed.  */
#define ACCEPT_RETRY_MS 100

/* How many connections are accepted at once before requests are served.  */
#define ACCEPT_BATCH 16

/* How long a refused client has to read its answer before its connection is
   closed.  */
#define LINGER_US USEC_PER_SEC

/* How long a client may leave its answer unread.  */
#define ANSWER_STALL_US (10 * USEC_PER_SEC)

/* The kernel's buffers of a connection.  They are memory of this process.  */
#define RECEIVE_BUFFER_BYTES 8192
#define SEND_BUFFER_BYTES 16384

/* What a connection is charged: its buffers, and those of the HTTP server and
   of TLS.  */
#define CONNECTION_BYTES (40 * 1024)
#define TLS_CONNECTION_BYTES (96 * 1024)

/* How much of a body that nobody needs is read.  */
#define UNNEEDED_BODY_BYTES 16384

/* How much of all bodies is read in one turn of the main loop.  A read counts
   as READ_BYTES at least: the HTTP server makes three for a chunk of a few
   bytes.  */
#define BODY_BYTES_PER_TURN (64 * 1024)
#define READ_BYTES 256

/* By this much a body's buffer grows.  */
#define BODY_STEP_BYTES 4096

/* A TLS record begins with its type, its version and its length.  */
#define TLS_HEADER_BYTES 5

/* The start of a handshake is waited for up to this length.  */
#define TLS_HELLO_BYTES 4096

#define RETRY_AFTER_S 1
#define STATUS_HEADER_TOO_LARGE 431
#define DISCARD_BYTES 4096

struct client_listener
{
  struct client_listener_options options;
  SoupServer *server;
  GSocket *socket;
  GSource *accept_source; /* NULL while accepting is paused */
  GSource *turn_source;   /* see on_turn () */
  guint retry_source;
  guint sweep_source;
  gulong handlers[4];           /* of the signals of server */
  GMainContext *unused_context; /* see let_server_listen () */
  struct list_node connections;
  guint n_connections;
  guint n_ending; /* of them, ended by force and not closed yet */
  guint n_requests;
  gsize turn_bytes; /* of bodies that may still be read in this turn */
  gint64 logged_us[CLIENT_LIMIT_COUNT];
  guint64 n_limited[CLIENT_LIMIT_COUNT]; /* since that was logged */
};

struct connection
{
  struct client client;
  struct client_stream_owner owner;
  struct list_node link;
  struct client_listener *listener; /* NULL once the listener is freed */
  GSocket *socket;
  GIOStream *base;      /* of the socket, or of TLS over it */
  ClientStream *stream; /* NULL when the server has none */
  GSocketAddress *address;
  GSource *input_source;      /* before a handshake, or while it lingers */
  GCancellable *cancellable;  /* of the handshake */
  SoupServerMessage *message; /* the request that is read; not referenced */
  char *body;
  gsize body_length;
  gsize body_size;
  gsize body_limit;
  gsize header_bytes; /* read of the header so far */
  gint64 deadline_us;
  gint64 stalled_us; /* since when the answer is not read; 0: it is */
  gboolean has_header;
  gboolean has_request; /* counted in n_requests */
  gboolean is_needed;   /* the body */
};

static GQuark
get_quark (void)
{
  static GQuark quark;

  if (quark == 0)
    quark = g_quark_from_static_string ("client-connection");
  return quark;
}

/* NULL when the connection has been closed.  */
static struct connection *
find_connection (SoupServerMessage *message)
{
  GSocketAddress *address = soup_server_message_get_remote_address (message);

  return address != NULL
             ? g_object_get_qdata (G_OBJECT (address), get_quark ())
             : NULL;
}

static const char *const class_names[CLIENT_N_CLASSES]
    = { "callers", "readiness", "metrics" };

/* Counts a client that is refused or disconnected because of LIMIT.  */
static void
count_limited (struct client_listener *listener, enum client_limit limit)
{
  gint64 now_us = clock_now_us ();

  metrics_count_label (METRIC_CLIENTS_LIMITED, limit);
  listener->n_limited[limit]++;
  if (listener->logged_us[limit] != 0
      && now_us - listener->logged_us[limit] < CLIENT_LOG_INTERVAL_US)
    return;
  event_log_fields (EVENT_CLIENTS_LIMITED,
                    FIELD_TEXT ("limit", client_limit_name (limit)),
                    FIELD_TEXT ("class", class_names[listener->options.class]),
                    FIELD_INT ("count", listener->n_limited[limit]),
                    FIELD_INT ("open", listener->n_connections));
  listener->logged_us[limit] = now_us;
  listener->n_limited[limit] = 0;
}

static void
set_state (struct connection *connection, enum client_state state)
{
  client_budget_set_state (connection->listener->options.budget,
                           &connection->client, state);
}

/* Charges the client for what is kept of its request.  */
static void
charge (struct connection *connection)
{
  client_budget_set_bytes (
      connection->listener->options.budget, &connection->client,
      connection->body_size
          + (connection->has_header ? 0 : connection->header_bytes));
}

static void
clear_body (struct connection *connection)
{
  g_clear_pointer (&connection->body, g_free);
  connection->body_length = 0;
  connection->body_size = 0;
  if (connection->client.state != CLIENT_ENDING)
    charge (connection);
}

static void
end_request (struct connection *connection)
{
  if (connection->has_request)
    connection->listener->n_requests--;
  connection->has_request = FALSE;
}

static void
stop_input_source (struct connection *connection)
{
  if (connection->input_source != NULL)
    g_source_destroy (connection->input_source);
  g_clear_pointer (&connection->input_source, g_source_unref);
}

static void resume_accepting (struct client_listener *listener);

/* Takes the connection out of its listener's lists and accounts.  */
static void
leave_listener (struct connection *connection)
{
  struct client_listener *listener = g_steal_pointer (&connection->listener);

  if (connection->has_request)
    listener->n_requests--;
  if (connection->client.state == CLIENT_ENDING)
    listener->n_ending--;
  client_budget_remove (listener->options.budget, &connection->client);
  list_remove (&connection->link);
  listener->n_connections--;
  resume_accepting (listener);
}

/* Closes the connection, which the server does not use.  */
static void
connection_free (struct connection *connection)
{
  stop_input_source (connection);
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

/* Ends a connection by force.  It is closed as soon as the server has let go
   of it, or at once when the server does not use it.  */
static void
cut_connection (struct connection *connection)
{
  struct client_listener *listener = connection->listener;

  if (connection->client.state == CLIENT_ENDING)
    return;
  connection->deadline_us = DEADLINE_NEVER;
  connection->stalled_us = 0;
  client_budget_end (listener->options.budget, &connection->client);
  listener->n_ending++;
  clear_body (connection);
  if (connection->cancellable != NULL)
    g_cancellable_cancel (connection->cancellable);
  else if (connection->stream != NULL)
    client_stream_detach (connection->stream);
  else
    connection_free (connection);
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
  connection_free (connection);
  return G_SOURCE_REMOVE;
}

static void
watch_input (struct connection *connection, GSocketSourceFunc callback)
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
    end_request (connection);
  if (connection->listener != NULL
      && connection->client.state == CLIENT_CLOSING)
    watch_input (connection, on_lingering_input);
  else
    connection_free (connection);
}

static void
on_stream_sent (struct client_stream_owner *owner, gboolean is_blocked)
{
  struct connection *connection = from_owner (owner);

  if (!is_blocked)
    connection->stalled_us = 0;
  else if (connection->stalled_us == 0)
    connection->stalled_us = clock_now_us ();
}

/* Formats the answer to a request that is refused with ERROR.  */
static GString *
format_refusal (const struct client_listener *listener, guint status,
                const GError *error)
{
  const struct client_listener_ops *ops = listener->options.ops;
  GString *answer = g_string_new (NULL);
  g_autoptr (GBytes) body = NULL;
  gsize length = 0;

  if (ops != NULL && ops->format_error != NULL)
    body = ops->format_error (listener->options.data, error);
  if (body != NULL)
    length = g_bytes_get_size (body);
  g_string_append_printf (answer,
                          "HTTP/1.1 %u %s\r\nConnection: close\r\n"
                          "Content-Length: %" G_GSIZE_FORMAT "\r\n",
                          status,
                          status == STATUS_HEADER_TOO_LARGE
                              ? "Request Header Fields Too Large"
                              : soup_status_get_phrase (status),
                          length);
  if (status == SOUP_STATUS_SERVICE_UNAVAILABLE)
    g_string_append_printf (answer, "Retry-After: %d\r\n", RETRY_AFTER_S);
  if (length > 0)
    g_string_append (answer, "Content-Type: application/json\r\n");
  g_string_append (answer, "\r\n");
  if (length > 0)
    g_string_append_len (answer, g_bytes_get_data (body, NULL),
                         (gssize)length);
  return answer;
}

/*
 * Answers the request that CONNECTION reads at once, and closes the
 * connection.  libsoup would read the whole body first: it is told the end of
 * the connection instead, and that the request was answered, so that its
 * handler is not called.
 */
static void
refuse_request (struct connection *connection, guint status,
                const GError *error)
{
  g_autoptr (GString) answer
      = format_refusal (connection->listener, status, error);
  GPollableOutputStream *output = G_POLLABLE_OUTPUT_STREAM (
      g_io_stream_get_output_stream (connection->base));

  if (connection->message != NULL)
    soup_server_message_set_status (connection->message, status, NULL);
  clear_body (connection);
  g_pollable_output_stream_write_nonblocking (output, answer->str, answer->len,
                                              NULL, NULL);
  g_socket_shutdown (connection->socket, FALSE, TRUE, NULL);
  connection->deadline_us = clock_now_us () + LINGER_US;
  set_state (connection, CLIENT_CLOSING);
  client_stream_detach (connection->stream);
}

/* Whether the request of CONNECTION was refused, or its connection ended.  */
static gboolean
is_over (const struct connection *connection)
{
  return connection->listener == NULL
         || connection->client.state == CLIENT_CLOSING
         || connection->client.state == CLIENT_ENDING;
}

static void
refuse_header (struct connection *connection)
{
  g_autoptr (GError) error = NULL;

  error_set (&error, ERROR_TOO_LARGE,
             "the request header exceeds %d bytes or %d fields; nothing was "
             "run; send a shorter one",
             CLIENT_HEADER_BYTES, CLIENT_MAX_FIELDS);
  count_limited (connection->listener, CLIENT_LIMIT_HEADER);
  refuse_request (connection, STATUS_HEADER_TOO_LARGE, error);
}

static void
refuse_body (struct connection *connection)
{
  g_autoptr (GError) error = NULL;

  if (connection->is_needed)
    error_set (&error, ERROR_TOO_LARGE,
               "the request body exceeds %" G_GSIZE_FORMAT
               " bytes; nothing was run; send fewer or smaller tasks",
               connection->body_limit);
  else
    error_set (&error, ERROR_TOO_LARGE,
               "this request takes no body; nothing was run; send none");
  count_limited (connection->listener, CLIENT_LIMIT_BODY);
  refuse_request (connection, error_kind_http_status (ERROR_TOO_LARGE), error);
}

static void
refuse_for_memory (struct connection *connection)
{
  g_autoptr (GError) error = NULL;

  error_set (&error, ERROR_NOT_RUN,
             "this VM has no memory for more requests; nothing was run; send "
             "it again");
  refuse_request (connection, SOUP_STATUS_SERVICE_UNAVAILABLE, error);
}

/* Frees the memory of CONNECTION's request, which is refused.  */
static void
give_way (struct connection *connection)
{
  if (connection->client.state == CLIENT_READING && connection->stream != NULL)
    refuse_for_memory (connection);
  else
    cut_connection (connection);
}

/* Makes room for N_BYTES more of CONNECTION's request.  Refuses it and returns
   FALSE if no other client gives way.  */
static gboolean
make_room (struct connection *connection, gsize n_bytes)
{
  struct client_listener *listener = connection->listener;
  struct client_budget *budget = listener->options.budget;

  while (!client_budget_may_grow (budget, listener->options.class, n_bytes))
    {
      struct client *client
          = client_budget_choose (budget, listener->options.class);

      count_limited (listener, CLIENT_LIMIT_MEMORY);
      if (client == NULL || client == &connection->client)
        {
          refuse_for_memory (connection);
          return FALSE;
        }
      give_way (list_entry (client, struct connection, client));
    }
  return TRUE;
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
      set_state (connection, CLIENT_READING);
      connection->deadline_us
          = clock_now_us ()
            + listener->options.request_timeout_ms * USEC_PER_MSEC;
    }
  if (connection->client.state == CLIENT_READING && connection->has_header)
    listener->turn_bytes -= MIN (MAX (n, READ_BYTES), listener->turn_bytes);
  if (connection->client.state != CLIENT_READING || connection->has_header)
    return;
  connection->header_bytes += n;
  if (connection->header_bytes > CLIENT_HEADER_BYTES)
    refuse_header (connection);
  else if (make_room (connection, n))
    charge (connection);
}

/* Requests in very many chunks must not keep the loop from other work.  */
static gsize
limit_read (struct client_stream_owner *owner, gsize count)
{
  const struct connection *connection = from_owner (owner);

  if (connection->listener == NULL || !connection->has_header
      || connection->client.state != CLIENT_READING)
    return count;
  return MIN (count, connection->listener->turn_bytes);
}

static const struct client_stream_owner_ops owner_ops = {
  .limit_read = limit_read,
  .received = on_stream_received,
  .sent = on_stream_sent,
  .closed = on_stream_closed,
};

static guint
count_fields (SoupMessageHeaders *headers)
{
  SoupMessageHeadersIter iter;
  const char *name;
  const char *value;
  guint n = 0;

  soup_message_headers_iter_init (&iter, headers);
  while (soup_message_headers_iter_next (&iter, &name, &value))
    n++;
  return n;
}

/* The announced length of the body; G_MAXINT64 if it comes in chunks.  */
static gint64
get_announced_length (SoupMessageHeaders *headers)
{
  switch (soup_message_headers_get_encoding (headers))
    {
    case SOUP_ENCODING_CONTENT_LENGTH:
      return soup_message_headers_get_content_length (headers);
    case SOUP_ENCODING_CHUNKED:
      return G_MAXINT64;
    default:
      return 0;
    }
}

/* Sets the limit of the body.  Returns FALSE when the request was refused.  */
static gboolean
set_body_limit (struct connection *connection, SoupServerMessage *message,
                gint64 length)
{
  const struct client_listener_options *options
      = &connection->listener->options;
  g_autoptr (GError) error = NULL;
  gsize limit = 0;

  if (options->ops != NULL && length > 0)
    limit = options->ops->get_body_limit (options->data, message, &error);
  if (error != NULL)
    {
      refuse_request (connection,
                      error_kind_http_status (error_get_kind (error)), error);
      return FALSE;
    }
  connection->is_needed = limit > 0;
  connection->body_limit
      = limit > 0 ? client_budget_get_max_body (options->budget, limit)
                  : UNNEEDED_BODY_BYTES;
  return TRUE;
}

static void
on_got_headers (SoupServerMessage *message, gpointer data)
{
  struct connection *connection = find_connection (message);
  SoupMessageHeaders *headers
      = soup_server_message_get_request_headers (message);
  gint64 length;

  if (connection == NULL || is_over (connection))
    return;
  connection->has_header = TRUE;
  connection->has_request = TRUE;
  connection->listener->n_requests++;
  charge (connection);
  if (count_fields (headers) > CLIENT_MAX_FIELDS)
    {
      refuse_header (connection);
      return;
    }
  length = get_announced_length (headers);
  if (!set_body_limit (connection, message, length))
    return;
  if (length != G_MAXINT64 && length > (gint64)connection->body_limit)
    refuse_body (connection);
}

/* Makes the buffer large enough for LENGTH bytes.  */
static gboolean
resize_body (struct connection *connection, gsize length)
{
  gsize size
      = (length + BODY_STEP_BYTES - 1) / BODY_STEP_BYTES * BODY_STEP_BYTES;

  if (size <= connection->body_size)
    return TRUE;
  if (!make_room (connection, size - connection->body_size))
    return FALSE;
  connection->body = g_realloc (connection->body, size);
  connection->body_size = size;
  charge (connection);
  return TRUE;
}

static void
on_got_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  struct connection *connection = find_connection (message);
  gsize n = g_bytes_get_size (chunk);

  if (connection == NULL || is_over (connection))
    return;
  if (connection->body_length + n > connection->body_limit)
    {
      refuse_body (connection);
      return;
    }
  if (connection->is_needed
      && !resize_body (connection, connection->body_length + n))
    return;
  if (connection->is_needed && n > 0)
    memcpy (connection->body + connection->body_length,
            g_bytes_get_data (chunk, NULL), n);
  connection->body_length += n;
}

/* A request begins: the first when its connection is served, the others once
   their first bytes are read.  */
static void
on_request_started (SoupServer *server, SoupServerMessage *message,
                    gpointer data)
{
  struct connection *connection = find_connection (message);

  if (connection == NULL)
    return;
  if (is_over (connection))
    {
      /* Refused while its header was read: it must not be handled.  */
      soup_server_message_set_status (message, SOUP_STATUS_SERVICE_UNAVAILABLE,
                                      NULL);
      return;
    }
  connection->message = message;
  soup_message_body_set_accumulate (
      soup_server_message_get_request_body (message), FALSE);
  g_signal_connect (message, "got-headers", G_CALLBACK (on_got_headers), NULL);
  g_signal_connect (message, "got-chunk", G_CALLBACK (on_got_chunk), NULL);
}

static void
on_request_read (SoupServer *server, SoupServerMessage *message, gpointer data)
{
  struct connection *connection = find_connection (message);

  if (connection == NULL || is_over (connection))
    return;
  connection->deadline_us = DEADLINE_NEVER;
  set_state (connection, CLIENT_ANSWERING);
}

/* A request was answered.  */
static void
on_request_finished (SoupServer *server, SoupServerMessage *message,
                     gpointer data)
{
  struct connection *connection = find_connection (message);

  if (connection == NULL || connection->listener == NULL)
    return;
  end_request (connection);
  connection->message = NULL;
  if (connection->stream != NULL)
    client_stream_begin_request (connection->stream);
  if (is_over (connection))
    return;
  clear_body (connection);
  connection->has_header = FALSE;
  connection->header_bytes = 0;
  connection->stalled_us = 0;
  connection->deadline_us
      = clock_now_us ()
        + connection->listener->options.idle_timeout_ms * USEC_PER_MSEC;
  set_state (connection, CLIENT_IDLE);
}

/* Hands the connection to the server.  */
static void
serve_connection (struct connection *connection)
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
      connection_free (connection);
    }
}

static void
on_handshake_finished (GObject *source, GAsyncResult *result, gpointer data)
{
  struct connection *connection = data;
  gboolean is_secure = g_tls_connection_handshake_finish (
      G_TLS_CONNECTION (source), result, NULL);

  g_clear_object (&connection->cancellable);
  if (is_secure && !is_over (connection))
    serve_connection (connection);
  else
    connection_free (connection);
}

static void
begin_handshake (struct connection *connection)
{
  g_autoptr (GIOStream) plain = g_steal_pointer (&connection->base);

  connection->base = g_tls_server_connection_new (
      plain, connection->listener->options.certificate, NULL);
  if (connection->base == NULL)
    {
      connection_free (connection);
      return;
    }
  /* Clients have no certificates to be checked.  The system's authorities
     would take megabytes for each connection.  */
  g_tls_connection_set_database (G_TLS_CONNECTION (connection->base), NULL);
  g_tls_connection_set_require_close_notify (
      G_TLS_CONNECTION (connection->base), FALSE);
  connection->cancellable = g_cancellable_new ();
  g_tls_connection_handshake_async (
      G_TLS_CONNECTION (connection->base), G_PRIORITY_DEFAULT,
      connection->cancellable, on_handshake_finished, connection);
}

/* Waits until the client's first record has arrived.  The handshake takes a
   thread of GLib, which a silent client must not keep.  */
static gboolean
on_hello_input (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct connection *connection = data;
  int fd = g_socket_get_fd (socket);
  guint8 bytes[TLS_HELLO_BYTES];
  ssize_t n = recv (fd, bytes, sizeof bytes, MSG_PEEK | MSG_DONTWAIT);
  int needed = TLS_HEADER_BYTES;

  if (n <= 0)
    {
      connection_free (connection);
      return G_SOURCE_REMOVE;
    }
  if (n >= TLS_HEADER_BYTES)
    needed
        = MIN (TLS_HEADER_BYTES + (bytes[3] << 8 | bytes[4]), TLS_HELLO_BYTES);
  if (n < needed && (condition & (G_IO_HUP | G_IO_ERR)) == 0)
    {
      setsockopt (fd, SOL_SOCKET, SO_RCVLOWAT, &needed, sizeof needed);
      return G_SOURCE_CONTINUE;
    }
  needed = 1;
  setsockopt (fd, SOL_SOCKET, SO_RCVLOWAT, &needed, sizeof needed);
  stop_input_source (connection);
  begin_handshake (connection);
  return G_SOURCE_REMOVE;
}

static void
add_connection (struct client_listener *listener, GSocket *socket)
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
  client_budget_add (listener->options.budget, &connection->client);
  list_append (&listener->connections, &connection->link);
  listener->n_connections++;
  if (listener->options.certificate != NULL)
    watch_input (connection, on_hello_input);
  else
    serve_connection (connection);
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
  resume_accepting (listener);
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
  cut_connection (list_entry (client, struct connection, client));
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
  count_limited (listener, CLIENT_LIMIT_DESCRIPTORS);
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
        count_limited (listener, get_full_limit (listener));
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
        add_connection (listener, socket);
    }
  return G_SOURCE_CONTINUE;
}

static void
resume_accepting (struct client_listener *listener)
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
      gboolean is_stalled
          = connection->stalled_us != 0
            && now_us - connection->stalled_us >= ANSWER_STALL_US;

      if (connection->deadline_us > now_us && !is_stalled)
        continue;
      if (is_stalled || connection->client.state == CLIENT_READING)
        count_limited (listener, CLIENT_LIMIT_TIME);
      cut_connection (connection);
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
      = BODY_BYTES_PER_TURN;
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

/* Ends a connection whose listener is being freed.  What still uses it frees
   it.  */
static void
drop_connection (struct connection *connection)
{
  leave_listener (connection);
  if (connection->cancellable != NULL)
    g_cancellable_cancel (connection->cancellable);
  else if (connection->stream != NULL)
    client_stream_detach (connection->stream);
  else
    connection_free (connection);
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
  listener->handlers[0] = g_signal_connect (
      server, "request-started", G_CALLBACK (on_request_started), listener);
  listener->handlers[1] = g_signal_connect (
      server, "request-read", G_CALLBACK (on_request_read), listener);
  listener->handlers[2] = g_signal_connect (
      server, "request-finished", G_CALLBACK (on_request_finished), listener);
  listener->handlers[3] = g_signal_connect (
      server, "request-aborted", G_CALLBACK (on_request_finished), listener);
  listener->sweep_source
      = g_timeout_add (SWEEP_INTERVAL_MS, on_sweep, listener);
  listener->turn_source = turn_source_new (listener);
  resume_accepting (listener);
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
    drop_connection (list_entry (node, struct connection, link));
  for (guint i = 0; i < G_N_ELEMENTS (listener->handlers); i++)
    g_signal_handler_disconnect (listener->server, listener->handlers[i]);
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

GSocket *
client_message_get_socket (SoupServerMessage *message)
{
  struct connection *connection = find_connection (message);

  return connection != NULL ? connection->socket : NULL;
}

GBytes *
client_message_take_body (SoupServerMessage *message)
{
  struct connection *connection = find_connection (message);
  GBytes *body;

  if (connection == NULL || connection->body == NULL)
    return g_bytes_new (NULL, 0);
  body = g_bytes_new_take (g_steal_pointer (&connection->body),
                           connection->body_length);
  clear_body (connection);
  return body;
}

gsize
client_message_get_body_length (SoupServerMessage *message)
{
  struct connection *connection = find_connection (message);

  return connection != NULL ? connection->body_length : 0;
}
