#include "t/support/cut_link.h"

#include <gio/gio.h>

struct cut_link
{
  GSocketService *service;
  GCancellable *cancellable; /* of the connections that carry data */
  GPtrArray *streams;        /* open ends */
  guint16 port;
  guint16 target;
  gboolean is_silent;
};

static void
forward (struct cut_link *link, GIOStream *from, GIOStream *to)
{
  g_output_stream_splice_async (
      g_io_stream_get_output_stream (to), g_io_stream_get_input_stream (from),
      G_OUTPUT_STREAM_SPLICE_CLOSE_SOURCE
          | G_OUTPUT_STREAM_SPLICE_CLOSE_TARGET,
      G_PRIORITY_DEFAULT, link->cancellable, NULL, NULL);
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
  forward (link, G_IO_STREAM (connection), G_IO_STREAM (other));
  forward (link, G_IO_STREAM (other), G_IO_STREAM (connection));
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
  g_cancellable_cancel (link->cancellable);
  g_socket_service_stop (link->service);
  g_socket_listener_close (G_SOCKET_LISTENER (link->service));
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
