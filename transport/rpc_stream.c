#include "transport/rpc_stream.h"

#include "base/clock.h"
#include "protocol/rpc_message.h"
#include "transport/socket_watch.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#define READ_CHUNK_BYTES 65536
#define LAST_FRAGMENT 0x80000000u

struct rpc_stream
{
  guint ref_count;
  struct rpc_stream_owner *owner; /* NULL once closed */
  GSocket *socket;
  struct socket_watch *watch; /* NULL once the connection has ended */
  gboolean is_output_waiting; /* for the kernel to accept more */
  guint end_source;           /* of on_end_idle (), 0 if it is not pending */
  gboolean is_open;           /* the connection is established */
  gboolean was_refused;       /* as for ended () */
  gsize max_record_bytes;
  GByteArray *input;       /* received data, from the start of a record */
  GQueue *output;          /* GBytes that are not written completely */
  gsize head_written;      /* bytes already written of the first of these */
  guint64 n_queued_bytes;  /* queued since the connection was opened */
  guint64 n_written_bytes; /* of these, written to the kernel */
  gint64 received_us;      /* see rpc_stream_get_received_us () */
};

static void
stream_unref (struct rpc_stream *stream)
{
  if (--stream->ref_count > 0)
    return;
  g_byte_array_unref (stream->input);
  g_queue_free_full (stream->output, (GDestroyNotify)g_bytes_unref);
  g_clear_object (&stream->socket);
  g_free (stream);
}

static void
stop_watching (struct rpc_stream *stream)
{
  g_clear_pointer (&stream->watch, socket_watch_free);
}

void
rpc_stream_discard_on_close (struct rpc_stream *stream)
{
  const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (stream->socket != NULL)
    setsockopt (g_socket_get_fd (stream->socket), SOL_SOCKET, SO_LINGER,
                &linger, sizeof linger);
}

void
rpc_stream_close (struct rpc_stream *stream)
{
  stream->owner = NULL;
  stop_watching (stream);
  if (stream->end_source != 0)
    g_source_remove (stream->end_source);
  stream->end_source = 0;
  if (stream->socket != NULL)
    g_socket_close (stream->socket, NULL);
  stream_unref (stream);
}

static void
report_end (struct rpc_stream *stream)
{
  stop_watching (stream);
  if (stream->owner != NULL)
    stream->owner->ops->ended (stream->owner, stream->was_refused);
}

static gboolean
on_end_idle (gpointer data)
{
  struct rpc_stream *stream = data;

  stream->end_source = 0;
  report_end (stream);
  return G_SOURCE_REMOVE;
}

/* Reports the end from the main loop, not from inside a call by the owner.  */
static void
report_end_later (struct rpc_stream *stream)
{
  if (stream->end_source == 0)
    stream->end_source
        = g_idle_add_full (G_PRIORITY_DEFAULT, on_end_idle, stream, NULL);
}

/* Passes complete records to the owner.  Returns FALSE when the other side
   sends what is not a record.  */
static gboolean
deliver_records (struct rpc_stream *stream)
{
  gsize start = 0;

  while (stream->owner != NULL
         && stream->input->len - start >= RPC_MARK_LENGTH)
    {
      guint8 *data = stream->input->data + start;
      guint32 mark;
      gsize length;

      memcpy (&mark, data, sizeof mark);
      mark = GUINT32_FROM_BE (mark);
      length = mark & ~LAST_FRAGMENT;
      if ((mark & LAST_FRAGMENT) == 0 || length > stream->max_record_bytes)
        return FALSE;
      if (stream->input->len - start - RPC_MARK_LENGTH < length)
        break;
      stream->owner->ops->received (stream->owner, data + RPC_MARK_LENGTH,
                                    length);
      start += RPC_MARK_LENGTH + length;
    }
  if (start > 0)
    g_byte_array_remove_range (stream->input, 0, (guint)start);
  return TRUE;
}

static gssize
read_chunk (struct rpc_stream *stream, GError **error)
{
  guint8 chunk[READ_CHUNK_BYTES];
  gssize n = g_socket_receive (stream->socket, (char *)chunk, sizeof chunk,
                               NULL, error);

  if (n > 0)
    g_byte_array_append (stream->input, chunk, (guint)n);
  return n;
}

static void
read_records (struct rpc_stream *stream)
{
  g_autoptr (GError) error = NULL;
  gssize n = read_chunk (stream, &error);
  gboolean is_valid = TRUE;

  if (n < 0 && g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return;
  if (n > 0)
    {
      stream->received_us = clock_now_us ();
      is_valid = deliver_records (stream);
    }
  if (n <= 0 || !is_valid)
    report_end (stream);
}

/* Writes as much as the kernel accepts.  Returns FALSE if the connection is
   broken.  */
static gboolean
write_output (struct rpc_stream *stream)
{
  GBytes *record;

  while ((record = g_queue_peek_head (stream->output)) != NULL)
    {
      g_autoptr (GError) error = NULL;
      gsize size;
      const char *bytes = g_bytes_get_data (record, &size);
      gssize n = g_socket_send (stream->socket, bytes + stream->head_written,
                                size - stream->head_written, NULL, &error);

      if (n < 0)
        return g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
      stream->head_written += (gsize)n;
      stream->n_written_bytes += (guint64)n;
      if (stream->head_written < size)
        continue;
      stream->head_written = 0;
      g_bytes_unref (g_queue_pop_head (stream->output));
    }
  return TRUE;
}

static void
flush (struct rpc_stream *stream)
{
  if (!write_output (stream))
    {
      report_end_later (stream);
      return;
    }
  stream->is_output_waiting = !g_queue_is_empty (stream->output);
  if (stream->watch != NULL)
    socket_watch_set (stream->watch, stream->is_output_waiting
                                         ? G_IO_IN | G_IO_OUT
                                         : G_IO_IN);
}

static void
begin_reading (struct rpc_stream *stream)
{
  stream->is_open = TRUE;
  stream->received_us = clock_now_us ();
  g_socket_set_option (stream->socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  g_socket_set_keepalive (stream->socket, TRUE);
}

static void
finish_connecting (struct rpc_stream *stream)
{
  g_autoptr (GError) error = NULL;

  if (g_socket_check_connect_result (stream->socket, &error))
    {
      begin_reading (stream);
      if (stream->owner->ops->opened != NULL)
        stream->owner->ops->opened (stream->owner);
      return;
    }
  stream->was_refused
      = g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
  report_end (stream);
}

static void
on_event (GIOCondition condition, gpointer data)
{
  struct rpc_stream *stream = data;
  gboolean is_new = !stream->is_open;

  stream->ref_count++;
  if (is_new)
    finish_connecting (stream);
  else if ((condition & ~G_IO_OUT) != 0)
    read_records (stream);
  if (stream->owner != NULL && stream->watch != NULL
      && (is_new || (condition & G_IO_OUT) != 0))
    flush (stream);
  stream_unref (stream);
}

static struct rpc_stream *
stream_new (GSocket *socket, struct rpc_stream_owner *owner)
{
  struct rpc_stream *stream = g_new0 (struct rpc_stream, 1);

  stream->ref_count = 1;
  stream->owner = owner;
  stream->socket = socket;
  stream->max_record_bytes = RPC_MAX_MESSAGE;
  stream->input = g_byte_array_new ();
  stream->output = g_queue_new ();
  return stream;
}

struct rpc_stream *
rpc_stream_connect (GSocketAddress *address, struct rpc_stream_owner *owner)
{
  g_autoptr (GError) error = NULL;
  GSocket *socket
      = g_socket_new (g_socket_address_get_family (address),
                      G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  struct rpc_stream *stream = stream_new (socket, owner);

  if (socket == NULL)
    {
      report_end_later (stream);
      return stream;
    }
  g_socket_set_blocking (socket, FALSE);
  if (g_socket_connect (socket, address, NULL, &error)
      || g_error_matches (error, G_IO_ERROR, G_IO_ERROR_PENDING))
    {
      stream->watch = socket_watch_new (socket, G_IO_OUT, on_event, stream);
      if (stream->watch == NULL)
        report_end_later (stream);
      return stream;
    }
  stream->was_refused
      = g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
  report_end_later (stream);
  return stream;
}

struct rpc_stream *
rpc_stream_accept (GSocket *socket, struct rpc_stream_owner *owner)
{
  struct rpc_stream *stream = stream_new (g_object_ref (socket), owner);

  g_socket_set_blocking (socket, FALSE);
  stream->watch = socket_watch_new (socket, G_IO_IN, on_event, stream);
  if (stream->watch == NULL)
    report_end_later (stream);
  begin_reading (stream);
  return stream;
}

void
rpc_stream_set_limit (struct rpc_stream *stream, gsize max_record_bytes)
{
  stream->max_record_bytes = max_record_bytes;
}

guint64
rpc_stream_send (struct rpc_stream *stream, GBytes *record)
{
  guint64 offset = stream->n_queued_bytes;

  stream->n_queued_bytes += g_bytes_get_size (record);
  g_queue_push_tail (stream->output, g_bytes_ref (record));
  if (stream->is_open && !stream->is_output_waiting)
    flush (stream);
  return offset;
}

guint64
rpc_stream_get_written (const struct rpc_stream *stream)
{
  return stream->n_written_bytes;
}

gsize
rpc_stream_get_unwritten (const struct rpc_stream *stream)
{
  return stream->n_queued_bytes - stream->n_written_bytes;
}

gint64
rpc_stream_get_received_us (const struct rpc_stream *stream)
{
  return stream->received_us;
}
