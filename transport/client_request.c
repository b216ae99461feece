#include "transport/client_listener_private.h"

#include "base/error.h"

#include <string.h>

/* How much of a body that nobody needs is read.  */
#define UNNEEDED_BODY_BYTES 16384

/* The first size of a body's buffer.  */
#define MIN_BODY_BYTES 4096

#define RETRY_AFTER_S 1

#define STATUS_HEADER_TOO_LARGE 431

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
  client_connection_clear_request (connection);
  g_pollable_output_stream_write_nonblocking (output, answer->str, answer->len,
                                              NULL, NULL);
  g_socket_shutdown (connection->socket, FALSE, TRUE, NULL);
  connection->deadline_us = clock_now_us () + LINGER_US;
  client_connection_set_state (connection, CLIENT_CLOSING);
  client_stream_detach (connection->stream);
}

void
client_request_refuse_header (struct connection *connection)
{
  g_autoptr (GError) error = NULL;

  error_set (&error, ERROR_TOO_LARGE,
             "the request header exceeds %d bytes or %d fields; nothing was "
             "run; send a shorter one",
             CLIENT_HEADER_BYTES, CLIENT_MAX_FIELDS);
  client_listener_count_limited (connection->listener, CLIENT_LIMIT_HEADER);
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
  client_listener_count_limited (connection->listener, CLIENT_LIMIT_BODY);
  refuse_request (connection, error_kind_http_status (ERROR_TOO_LARGE), error);
}

void
client_request_refuse_for_memory (struct connection *connection)
{
  g_autoptr (GError) error = NULL;

  error_set (&error, ERROR_NOT_RUN,
             "this VM has no memory for more requests; nothing was run; send "
             "it again");
  refuse_request (connection, SOUP_STATUS_SERVICE_UNAVAILABLE, error);
}

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
  struct connection *connection = client_connection_find (message);
  SoupMessageHeaders *headers
      = soup_server_message_get_request_headers (message);
  gint64 length;

  if (connection == NULL || client_connection_is_over (connection))
    return;
  connection->has_header = TRUE;
  connection->has_request = TRUE;
  connection->listener->n_requests++;
  client_connection_charge (connection);
  if (count_fields (headers) > CLIENT_MAX_FIELDS)
    {
      client_request_refuse_header (connection);
      return;
    }
  length = get_announced_length (headers);
  if (!set_body_limit (connection, message, length))
    return;
  if (length != G_MAXINT64 && length > (gint64)connection->body_limit)
    refuse_body (connection);
}

/* Makes the buffer large enough for LENGTH bytes, which are within the limit.
   It doubles, so that a body in small pieces is copied a few times only.  */
static gboolean
resize_body (struct connection *connection, gsize length)
{
  gsize size = MAX (connection->body_size, MIN_BODY_BYTES);

  while (size < length)
    size *= 2;
  size = MIN (size, connection->body_limit);
  if (size <= connection->body_size)
    return TRUE;
  if (!client_connection_make_room (connection, size - connection->body_size))
    return FALSE;
  connection->body = g_realloc (connection->body, size);
  connection->body_size = size;
  client_connection_charge (connection);
  return TRUE;
}

static void
on_got_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  struct connection *connection = client_connection_find (message);
  gsize n = g_bytes_get_size (chunk);

  if (connection == NULL || client_connection_is_over (connection))
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
  struct connection *connection = client_connection_find (message);

  if (connection == NULL)
    return;
  if (client_connection_is_over (connection))
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
  struct connection *connection = client_connection_find (message);

  if (connection == NULL || client_connection_is_over (connection))
    return;
  connection->deadline_us = DEADLINE_NEVER;
  client_connection_set_state (connection, CLIENT_ANSWERING);
}

/* A request was answered.  */
static void
on_request_finished (SoupServer *server, SoupServerMessage *message,
                     gpointer data)
{
  struct connection *connection = client_connection_find (message);

  if (connection == NULL || connection->listener == NULL)
    return;
  client_connection_end_request (connection);
  connection->message = NULL;
  if (connection->stream != NULL)
    client_stream_begin_request (connection->stream);
  if (client_connection_is_over (connection))
    return;
  client_connection_clear_request (connection);
  connection->has_header = FALSE;
  connection->header_bytes = 0;
  connection->answer_deadline_us = DEADLINE_NEVER;
  connection->slow_deadline_us = DEADLINE_NEVER;
  connection->deadline_us
      = clock_now_us ()
        + connection->listener->options.idle_timeout_ms * USEC_PER_MSEC;
  client_connection_set_state (connection, CLIENT_IDLE);
}

static const struct
{
  const char *signal;
  GCallback callback;
} followed[] = {
  { "request-started", G_CALLBACK (on_request_started) },
  { "request-read", G_CALLBACK (on_request_read) },
  { "request-finished", G_CALLBACK (on_request_finished) },
  { "request-aborted", G_CALLBACK (on_request_finished) },
};

void
client_request_follow (struct client_listener *listener)
{
  for (gsize i = 0; i < G_N_ELEMENTS (followed); i++)
    g_signal_connect (listener->server, followed[i].signal,
                      followed[i].callback, listener);
}

void
client_request_unfollow (struct client_listener *listener)
{
  g_signal_handlers_disconnect_by_data (listener->server, listener);
}

GSocket *
client_message_get_socket (SoupServerMessage *message)
{
  struct connection *connection = client_connection_find (message);

  return connection != NULL ? connection->socket : NULL;
}

GBytes *
client_message_take_body (SoupServerMessage *message)
{
  struct connection *connection = client_connection_find (message);
  GBytes *body;

  if (connection == NULL || connection->body == NULL)
    return g_bytes_new (NULL, 0);
  body = g_bytes_new_take (g_steal_pointer (&connection->body),
                           connection->body_length);
  connection->taken_bytes = connection->body_length;
  connection->body_size = 0;
  if (!client_connection_is_over (connection))
    client_connection_charge (connection);
  return body;
}

gsize
client_message_get_body_length (SoupServerMessage *message)
{
  struct connection *connection = client_connection_find (message);

  return connection != NULL ? connection->body_length : 0;
}
