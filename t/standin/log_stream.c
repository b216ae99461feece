#include "t/standin/log_stream.h"

#include "base/clock.h"
#include "base/list.h"
#include "t/standin/listener.h"

struct record
{
  gint64 unix_ms;
  char *data;
};

struct reader
{
  struct list_node node; /* on the stream's readers */
  struct log_stream *stream;
  SoupServerMessage *msg;
  gint64 from;
  gint64 limit;
  guint timer;
  gulong finished_handler;
};

struct log_stream
{
  GPtrArray *records; /* of struct record, the first at offset FIRST */
  gint64 first;
  gint64 retention;
  struct list_node readers;
};

static void
free_record (gpointer data)
{
  struct record *record = data;

  g_free (record->data);
  g_free (record);
}

struct log_stream *
log_stream_new (gint64 retention)
{
  struct log_stream *stream = g_new0 (struct log_stream, 1);

  stream->records = g_ptr_array_new_with_free_func (free_record);
  stream->retention = retention;
  list_init (&stream->readers);
  return stream;
}

static gint64
next_offset (const struct log_stream *stream)
{
  return stream->first + stream->records->len;
}

static void
append_bounds (const struct log_stream *stream, GString *text)
{
  g_string_append_printf (
      text, "{\"first\":%" G_GINT64_FORMAT ",\"next\":%" G_GINT64_FORMAT,
      stream->first, next_offset (stream));
}

static void
append_records (const struct log_stream *stream, GString *text, gint64 from,
                gint64 limit)
{
  gint64 end = MIN (next_offset (stream), from + limit);

  g_string_append (text, ",\"records\":[");
  for (gint64 offset = from; offset < end; offset++)
    {
      const struct record *record
          = g_ptr_array_index (stream->records, offset - stream->first);

      g_string_append_printf (text,
                              "%s{\"offset\":%" G_GINT64_FORMAT
                              ",\"unix_ms\":%" G_GINT64_FORMAT ",\"data\":",
                              offset == from ? "" : ",", offset,
                              record->unix_ms);
      g_string_append (text, record->data);
      g_string_append_c (text, '}');
    }
  g_string_append_c (text, ']');
}

static void
answer_records (const struct log_stream *stream, SoupServerMessage *msg,
                gint64 from, gint64 limit)
{
  GString *text = g_string_new (NULL);
  gboolean gone = from < stream->first;

  append_bounds (stream, text);
  if (!gone)
    append_records (stream, text, MIN (from, next_offset (stream)), limit);
  g_string_append_c (text, '}');
  answer_text (msg, gone ? 410 : 200, g_string_free (text, FALSE));
}

static void
free_reader (struct reader *reader)
{
  list_remove (&reader->node);
  g_clear_handle_id (&reader->timer, g_source_remove);
  g_signal_handler_disconnect (reader->msg, reader->finished_handler);
  g_object_unref (reader->msg);
  g_free (reader);
}

static void
finish_reader (struct reader *reader)
{
  answer_records (reader->stream, reader->msg, reader->from, reader->limit);
  soup_server_message_unpause (reader->msg);
  free_reader (reader);
}

static gboolean
on_reader_timeout (gpointer data)
{
  struct reader *reader = data;

  reader->timer = 0;
  finish_reader (reader);
  return G_SOURCE_REMOVE;
}

static void
on_reader_gone (SoupServerMessage *msg, gpointer data)
{
  free_reader (data);
}

static void
add_reader (struct log_stream *stream, SoupServerMessage *msg, gint64 from,
            gint64 limit, gint64 wait_ms)
{
  struct reader *reader = g_new0 (struct reader, 1);

  list_append (&stream->readers, &reader->node);
  reader->stream = stream;
  reader->msg = g_object_ref (msg);
  reader->from = from;
  reader->limit = limit;
  reader->timer = g_timeout_add ((guint)wait_ms, on_reader_timeout, reader);
  reader->finished_handler = g_signal_connect (
      msg, "finished", G_CALLBACK (on_reader_gone), reader);
  soup_server_message_pause (msg);
}

void
log_stream_read (struct log_stream *stream, SoupServerMessage *msg,
                 gint64 from, gint64 limit, gint64 wait_ms)
{
  from = MIN (from, next_offset (stream));
  if (from == next_offset (stream) && wait_ms > 0)
    add_reader (stream, msg, from, limit, wait_ms);
  else
    answer_records (stream, msg, from, limit);
}

gint64
log_stream_append (struct log_stream *stream, const char *data)
{
  struct record *record = g_new (struct record, 1);
  struct list_node *node;
  struct list_node *after;

  record->unix_ms = clock_unix_ms ();
  record->data = g_strdup (data);
  g_ptr_array_add (stream->records, record);
  list_for_each (node, after, &stream->readers)
    {
      finish_reader (list_entry (node, struct reader, node));
    }
  if (stream->retention > 0)
    log_stream_expire (stream, next_offset (stream) - stream->retention);
  return next_offset (stream) - 1;
}

void
log_stream_expire (struct log_stream *stream, gint64 before)
{
  gint64 n = MIN (before, next_offset (stream)) - stream->first;

  if (n <= 0)
    return;
  g_ptr_array_remove_range (stream->records, 0, (guint)n);
  stream->first += n;
}

void
log_stream_abandon_readers (struct log_stream *stream)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &stream->readers)
    {
      free_reader (list_entry (node, struct reader, node));
    }
}

void
log_stream_dump (struct log_stream *stream, SoupServerMessage *msg)
{
  answer_records (stream, msg, stream->first, stream->records->len);
}
