#include "transport/rpc_stream.h"

#include "base/clock.h"
#include "base/loop_timer.h"
#include "protocol/rpc_message.h"

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
  GSource *read_source;
  GSource *write_source; /* NULL unless connecting or output waits */
  guint end_source;      /* of on_end_idle (), 0 if it is not pending */
  gboolean is_open;      /* the connection is established */
  gboolean was_refused;  /* as for ended () */
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
clear_source (GSource **source)
{
  if (*source == NULL)
    return;
  g_source_destroy (*source);
  g_source_unref (*source);
  *source = NULL;
}

void
rpc_stream_close (struct rpc_stream *stream)
{
  stream->owner = NULL;
  clear_source (&stream->read_source);
  clear_source (&stream->write_source);
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
  clear_source (&stream->read_source);
  clear_source (&stream->write_source);
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

static gboolean
on_readable (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct rpc_stream *stream = data;
  g_autoptr (GError) error = NULL;
  gssize n = read_chunk (stream, &error);
  gboolean is_valid = TRUE;

  if (n < 0 && g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return G_SOURCE_CONTINUE;
  stream->ref_count++;
  if (n > 0)
    {
      stream->received_us = clock_now_us ();
      is_valid = deliver_records (stream);
    }
  if (n <= 0 || !is_valid)
    report_end (stream);
  stream_unref (stream);
  return G_SOURCE_CONTINUE;
}

static GSource *
watch (struct rpc_stream *stream, GIOCondition condition,
       GSocketSourceFunc function)
{
  GSource *source = g_socket_create_source (stream->socket, condition, NULL);

  g_source_set_callback (source, G_SOURCE_FUNC (function), stream, NULL);
  loop_source_attach (source);
  return source;
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

static gboolean on_writable (GSocket *socket, GIOCondition condition,
                             gpointer data);

static void
flush (struct rpc_stream *stream)
{
  if (!write_output (stream))
    {
      report_end_later (stream);
      return;
    }
  if (g_queue_is_empty (stream->output))
    clear_source (&stream->write_source);
  else if (stream->write_source == NULL)
    stream->write_source = watch (stream, G_IO_OUT, on_writable);
}

static void
begin_reading (struct rpc_stream *stream)
{
  stream->is_open = TRUE;
  stream->received_us = clock_now_us ();
  g_socket_set_option (stream->socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  g_socket_set_keepalive (stream->socket, TRUE);
  stream->read_source = watch (stream, G_IO_IN, on_readable);
}

static gboolean
on_writable (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct rpc_stream *stream = data;
  g_autoptr (GError) error = NULL;

  stream->ref_count++;
  if (!stream->is_open)
    {
      if (g_socket_check_connect_result (socket, &error))
        {
          begin_reading (stream);
          if (stream->owner->ops->opened != NULL)
            stream->owner->ops->opened (stream->owner);
        }
      else
        {
          stream->was_refused = g_error_matches (
              error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
          report_end (stream);
        }
    }
  if (stream->owner != NULL && stream->is_open)
    flush (stream);
  stream_unref (stream);
  return G_SOURCE_CONTINUE;
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
      stream->write_source = watch (stream, G_IO_OUT, on_writable);
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
  if (stream->is_open && stream->write_source == NULL)
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
