#include "transport/http_connection.h"

#include "base/clock.h"
#include "transport/socket_watch.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#define READ_BYTES 16384

/* How long the kernel retransmits unacknowledged data before it closes the
   connection.  */
#define USER_TIMEOUT_MS 1000

/* A connection that was idle for longer is checked before it is reused: the
   other side may have closed it while this process was paused.  */
#define UNCHECKED_IDLE_US (500 * USEC_PER_MSEC)

void
http_connection_close (struct http_connection *connection)
{
  socket_watch_free (connection->watch);
  g_socket_close (connection->socket, NULL);
  g_object_unref (connection->socket);
  list_remove (&connection->link);
  if (connection->request != NULL)
    http_response_clear (&connection->response);
  g_free (connection);
}

/* Writes as much of the request as the kernel accepts.  Returns FALSE if the
   connection is broken.  */
static gboolean
write_request (struct http_connection *connection)
{
  const GString *text = connection->text;
  g_autoptr (GError) error = NULL;
  gssize n
      = g_socket_send (connection->socket, text->str + connection->written,
                       text->len - connection->written, NULL, &error);

  if (n < 0 && !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return FALSE;
  connection->written += (gsize)MAX (n, 0);
  socket_watch_set (connection->watch, connection->written < text->len
                                           ? G_IO_IN | G_IO_OUT
                                           : G_IO_IN);
  return TRUE;
}

/* Passes the complete answer to the owner, which may free CONNECTION: the
   caller must not use it afterwards.  */
static void
deliver_answer (struct http_connection *connection)
{
  struct http_response *response = &connection->response;
  gpointer request = g_steal_pointer (&connection->request);
  guint status = response->status;
  gboolean keeps_open
      = response->keeps_open && connection->written == connection->text->len;
  g_autoptr (GBytes) body
      = g_byte_array_free_to_bytes (g_steal_pointer (&response->body));

  http_response_clear (response);
  connection->answered_us = clock_now_us ();
  connection->owner->ops->answered (connection, request, status, body,
                                    keeps_open);
}

/* Reads available data.  The owner may free CONNECTION: the caller must not
   use it afterwards.  */
static void
read_answer (struct http_connection *connection)
{
  char bytes[READ_BYTES];
  g_autoptr (GError) error = NULL;
  enum http_response_state state = HTTP_MALFORMED;
  gssize n = g_socket_receive (connection->socket, bytes, sizeof bytes, NULL,
                               &error);

  if (n < 0 && g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return;
  if (n > 0)
    state = http_response_feed (&connection->response, bytes, (gsize)n);
  else if (n == 0)
    state = http_response_feed_end (&connection->response);
  if (state == HTTP_COMPLETE)
    deliver_answer (connection);
  else if (state == HTTP_MALFORMED)
    connection->owner->ops->broken (connection);
}

/* Whether the connection was established before the request's deadline.  The
   process may have been paused, and must not send a request too late.  */
static gboolean
check_connected (struct http_connection *connection)
{
  connection->is_connected
      = g_socket_check_connect_result (connection->socket, NULL)
        && clock_now_us () < connection->deadline_us;
  return connection->is_connected;
}

static void
on_event (GIOCondition condition, gpointer data)
{
  struct http_connection *connection = data;
  gboolean is_new = !connection->is_connected;
  gboolean is_writable = is_new || (condition & G_IO_OUT) != 0;

  /* Any event on an idle connection means that the other side has closed it
     or sent unexpected data.  */
  if (connection->request == NULL || (is_new && !check_connected (connection))
      || (is_writable && !write_request (connection)))
    connection->owner->ops->broken (connection);
  else if ((condition & ~G_IO_OUT) != 0)
    read_answer (connection);
}

struct http_connection *
http_connection_open (GSocketAddress *address,
                      struct http_connection_owner *owner)
{
  struct http_connection *connection;
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocket) socket
      = g_socket_new (g_socket_address_get_family (address),
                      G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);

  if (socket == NULL)
    return NULL;
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS,
                       NULL);
  if (!g_socket_connect (socket, address, NULL, &error)
      && !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_PENDING))
    return NULL;
  connection = g_new0 (struct http_connection, 1);
  connection->watch
      = socket_watch_new (socket, G_IO_OUT, on_event, connection);
  if (connection->watch == NULL)
    {
      g_free (connection);
      return NULL;
    }
  list_init (&connection->link);
  connection->owner = owner;
  connection->socket = g_steal_pointer (&socket);
  return connection;
}

gboolean
http_connection_is_open (const struct http_connection *connection)
{
  return connection->answered_us + UNCHECKED_IDLE_US > clock_now_us ()
         || g_socket_condition_check (connection->socket, G_IO_IN) == 0;
}

gboolean
http_connection_send (struct http_connection *connection, gpointer request,
                      const GString *text, gint64 deadline_us,
                      gsize max_body_bytes)
{
  connection->request = request;
  connection->text = text;
  connection->deadline_us = deadline_us;
  connection->written = 0;
  http_response_init (&connection->response, max_body_bytes);
  return !connection->is_connected || write_request (connection);
}
