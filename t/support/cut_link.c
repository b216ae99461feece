#include "t/support/cut_link.h"

#include <gio/gio.h>

#define PUMP_BYTES (64 * 1024)

struct cut_link
{
  GSocketService *service;
  GCancellable *cancellable; /* of the connections that carry data */
  GPtrArray *streams;        /* open ends */
  guint64 n_bytes;
  guint16 port;
  guint16 target;
  gboolean is_silent;
};

/* One direction of a connection.  */
struct pump
{
  struct cut_link *link;
  GIOStream *from;
  GIOStream *to;
  GCancellable *cancellable;
  char bytes[PUMP_BYTES];
};

static void read_some (struct pump *pump);

static void
pump_free (struct pump *pump)
{
  g_object_unref (pump->from);
  g_object_unref (pump->to);
  g_object_unref (pump->cancellable);
  g_free (pump);
}

/* Ends the pump; a link that was silenced leaves both ends open.  */
static void
end_pump (struct pump *pump)
{
  if (!g_cancellable_is_cancelled (pump->cancellable))
    {
      g_io_stream_close (pump->from, NULL, NULL);
      g_io_stream_close (pump->to, NULL, NULL);
    }
  pump_free (pump);
}

static void
on_written (GObject *source, GAsyncResult *result, gpointer data)
{
  struct pump *pump = data;

  if (g_output_stream_write_all_finish (G_OUTPUT_STREAM (source), result, NULL,
                                        NULL))
    read_some (pump);
  else
    end_pump (pump);
}

static void
on_read (GObject *source, GAsyncResult *result, gpointer data)
{
  struct pump *pump = data;
  gssize n
      = g_input_stream_read_finish (G_INPUT_STREAM (source), result, NULL);

  if (n <= 0)
    {
      end_pump (pump);
      return;
    }
  pump->link->n_bytes += (guint64)n;
  g_output_stream_write_all_async (g_io_stream_get_output_stream (pump->to),
                                   pump->bytes, (gsize)n, G_PRIORITY_DEFAULT,
                                   pump->cancellable, on_written, pump);
}

static void
read_some (struct pump *pump)
{
  g_input_stream_read_async (g_io_stream_get_input_stream (pump->from),
                             pump->bytes, PUMP_BYTES, G_PRIORITY_DEFAULT,
                             pump->cancellable, on_read, pump);
}

static void
start_pump (struct cut_link *link, GSocketConnection *from,
            GSocketConnection *to)
{
  struct pump *pump = g_new0 (struct pump, 1);

  pump->link = link;
  pump->from = g_object_ref (G_IO_STREAM (from));
  pump->to = g_object_ref (G_IO_STREAM (to));
  pump->cancellable = g_object_ref (link->cancellable);
  read_some (pump);
}

static gboolean
on_incoming (GSocketService *service, GSocketConnection *connection,
             GObject *source, gpointer data)
{
  struct cut_link *link = data;
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  GSocketConnection *other;

  g_ptr_array_add (link->streams, g_object_ref (connection));
  if (link->is_silent)
    return TRUE;
  other = g_socket_client_connect_to_host (client, "127.0.0.1", link->target,
                                           NULL, NULL);
  if (other == NULL)
    {
      g_io_stream_close (G_IO_STREAM (connection), NULL, NULL);
      return TRUE;
    }
  g_ptr_array_add (link->streams, other);
  start_pump (link, connection, other);
  start_pump (link, other, connection);
  return TRUE;
}

struct cut_link *
cut_link_new (guint16 target)
{
  struct cut_link *link = g_new0 (struct cut_link, 1);
  g_autoptr (GInetAddress) loopback
      = g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new (loopback, 0);
  g_autoptr (GSocketAddress) bound = NULL;
  g_autoptr (GError) error = NULL;

  link->target = target;
  link->service = g_socket_service_new ();
  link->cancellable = g_cancellable_new ();
  link->streams = g_ptr_array_new_with_free_func (g_object_unref);
  g_socket_listener_add_address (G_SOCKET_LISTENER (link->service), any,
                                 G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                                 NULL, &bound, &error);
  g_assert_no_error (error);
  link->port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound));
  g_signal_connect (link->service, "incoming", G_CALLBACK (on_incoming), link);
  return link;
}

void
cut_link_free (struct cut_link *link)
{
  cut_link_silence (link);
  g_socket_service_stop (link->service);
  g_socket_listener_close (G_SOCKET_LISTENER (link->service));
  while (g_main_context_iteration (NULL, FALSE))
    ;
  g_object_unref (link->service);
  g_object_unref (link->cancellable);
  g_ptr_array_unref (link->streams);
  g_free (link);
}

guint16
cut_link_get_port (const struct cut_link *link)
{
  return link->port;
}

guint64
cut_link_get_bytes (const struct cut_link *link)
{
  return link->n_bytes;
}

void
cut_link_silence (struct cut_link *link)
{
  link->is_silent = TRUE;
  g_cancellable_cancel (link->cancellable);
  g_object_unref (link->cancellable);
  link->cancellable = g_cancellable_new ();
}

void
cut_link_mend (struct cut_link *link)
{
  link->is_silent = FALSE;
}
