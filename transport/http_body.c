#include "transport/http_body.h"

#include "base/loop_timer.h"

#include <gio/gio.h>

#define READ_BYTES 4096

struct http_body
{
  SoupMessage *message;
  GCancellable *cancellable;
  GInputStream *stream; /* NULL until the headers are read */
  GByteArray *bytes;
  gsize max_bytes;
  http_body_done_func *done;
  gpointer data;
};

static void
finish (struct http_body *body, gboolean is_whole)
{
  g_autoptr (GBytes) bytes
      = g_byte_array_free_to_bytes (g_steal_pointer (&body->bytes));

  /* Closing a stream that was read to its end returns the connection to the
     session for reuse.  */
  if (body->stream != NULL)
    g_input_stream_close (body->stream, NULL, NULL);
  body->done (soup_message_get_status (body->message), is_whole ? bytes : NULL,
              body->data);
  g_clear_object (&body->stream);
  g_object_unref (body->message);
  g_object_unref (body->cancellable);
  g_free (body);
}

static void wait_for_more (struct http_body *body);

/* Reads all bytes that have arrived; waits for more or ends the request.  */
static void
read_available (struct http_body *body)
{
  GPollableInputStream *stream = G_POLLABLE_INPUT_STREAM (body->stream);
  guint8 chunk[READ_BYTES];

  for (;;)
    {
      g_autoptr (GError) error = NULL;
      gssize n = g_pollable_input_stream_read_nonblocking (
          stream, chunk, sizeof chunk, body->cancellable, &error);

      if (n < 0 && g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        {
          wait_for_more (body);
          return;
        }
      if (n <= 0 || body->bytes->len + (gsize)n > body->max_bytes)
        {
          finish (body, n == 0);
          return;
        }
      g_byte_array_append (body->bytes, chunk, (guint)n);
    }
}

static gboolean
on_readable (GObject *stream, gpointer data)
{
  read_available (data);
  return G_SOURCE_REMOVE;
}

static void
wait_for_more (struct http_body *body)
{
  GSource *source = g_pollable_input_stream_create_source (
      G_POLLABLE_INPUT_STREAM (body->stream), body->cancellable);

  g_source_set_callback (source, G_SOURCE_FUNC (on_readable), body, NULL);
  loop_source_attach (source);
  g_source_unref (source);
}

static void
on_sent (GObject *source, GAsyncResult *result, gpointer data)
{
  struct http_body *body = data;

  body->stream
      = soup_session_send_finish (SOUP_SESSION (source), result, NULL);
  if (body->stream == NULL)
    finish (body, FALSE);
  else
    read_available (body);
}

void
http_body_send (SoupSession *session, SoupMessage *message,
                GCancellable *cancellable, gsize max_bytes,
                http_body_done_func *done, gpointer data)
{
  struct http_body *body = g_new0 (struct http_body, 1);

  body->message = g_object_ref (message);
  body->cancellable = g_object_ref (cancellable);
  body->bytes = g_byte_array_new ();
  body->max_bytes = max_bytes;
  body->done = done;
  body->data = data;
  soup_session_send_async (session, message, G_PRIORITY_DEFAULT, cancellable,
                           on_sent, body);
}
