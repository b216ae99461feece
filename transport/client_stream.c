#include "transport/client_stream.h"

struct _ClientStream
{
  GIOStream parent;
  GIOStream *base;
  GInputStream *input;
  GOutputStream *output;
  struct client_stream_owner *owner; /* NULL once closed */
  GCancellable *wake;                /* cancelled when detached */
  gboolean is_detached;
  gboolean has_request; /* a byte of the next request was read */
};

G_DEFINE_FINAL_TYPE (ClientStream, client_stream, G_TYPE_IO_STREAM)

#define CLIENT_TYPE_INPUT (client_input_get_type ())
G_DECLARE_FINAL_TYPE (ClientInput, client_input, CLIENT, INPUT, GInputStream)

struct _ClientInput
{
  GInputStream parent;
  ClientStream *stream; /* not referenced; NULL when it is finalized */
};

#define CLIENT_TYPE_OUTPUT (client_output_get_type ())
G_DECLARE_FINAL_TYPE (ClientOutput, client_output, CLIENT, OUTPUT,
                      GOutputStream)

struct _ClientOutput
{
  GOutputStream parent;
  ClientStream *stream; /* not referenced; NULL when it is finalized */
};

static void client_input_init_pollable (GPollableInputStreamInterface *iface);
static void
client_output_init_pollable (GPollableOutputStreamInterface *iface);

G_DEFINE_FINAL_TYPE_WITH_CODE (
    ClientInput, client_input, G_TYPE_INPUT_STREAM,
    G_IMPLEMENT_INTERFACE (G_TYPE_POLLABLE_INPUT_STREAM,
                           client_input_init_pollable))

G_DEFINE_FINAL_TYPE_WITH_CODE (
    ClientOutput, client_output, G_TYPE_OUTPUT_STREAM,
    G_IMPLEMENT_INTERFACE (G_TYPE_POLLABLE_OUTPUT_STREAM,
                           client_output_init_pollable))

/*
 * Ends what the server reads.  libsoup does not notice an end or an error
 * before the first byte of a request, and would keep the connection: it gets a
 * byte first.
 */
static gssize
read_end (ClientStream *stream, char *buffer)
{
  if (stream == NULL || stream->has_request)
    return 0;
  stream->has_request = TRUE;
  buffer[0] = 'x';
  return 1;
}

static gssize
finish_read (ClientStream *stream, char *buffer, gssize n, GError *failure,
             GError **error)
{
  if (n < 0
      && (stream->has_request
          || g_error_matches (failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)))
    {
      g_propagate_error (error, failure);
      return n;
    }
  g_clear_error (&failure);
  if (n <= 0)
    return read_end (stream, buffer);
  stream->has_request = TRUE;
  if (stream->owner != NULL)
    stream->owner->ops->received (stream->owner, (gsize)n);
  return n;
}

static GPollableInputStream *
get_base_input (ClientStream *stream)
{
  return G_POLLABLE_INPUT_STREAM (g_io_stream_get_input_stream (stream->base));
}

static GPollableOutputStream *
get_base_output (ClientStream *stream)
{
  return G_POLLABLE_OUTPUT_STREAM (
      g_io_stream_get_output_stream (stream->base));
}

/* Whether STREAM, NULL when it is finalized, has no connection.  */
static gboolean
is_ended (const ClientStream *stream)
{
  return stream == NULL || stream->is_detached;
}

static gssize
client_input_read (GInputStream *input, void *buffer, gsize count,
                   GCancellable *cancellable, GError **error)
{
  ClientStream *stream = CLIENT_INPUT (input)->stream;
  GError *failure = NULL;
  gssize n;

  if (is_ended (stream))
    return read_end (stream, buffer);
  n = g_input_stream_read (g_io_stream_get_input_stream (stream->base), buffer,
                           count, cancellable, &failure);
  return finish_read (stream, buffer, n, failure, error);
}

static gssize
client_input_read_nonblocking (GPollableInputStream *input, void *buffer,
                               gsize count, GError **error)
{
  ClientStream *stream = CLIENT_INPUT (input)->stream;
  GError *failure = NULL;
  gssize n;

  if (is_ended (stream))
    return read_end (stream, buffer);
  if (stream->owner != NULL)
    count = stream->owner->ops->limit_read (stream->owner, count);
  if (count == 0)
    {
      g_set_error_literal (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK,
                           "other work has to go on");
      return -1;
    }
  n = g_pollable_input_stream_read_nonblocking (get_base_input (stream),
                                                buffer, count, NULL, &failure);
  return finish_read (stream, buffer, n, failure, error);
}

static gboolean
client_input_is_readable (GPollableInputStream *input)
{
  ClientStream *stream = CLIENT_INPUT (input)->stream;

  return is_ended (stream)
         || g_pollable_input_stream_is_readable (get_base_input (stream));
}

/* Whether the owner allows STREAM to be read now.  */
static gboolean
may_read (ClientStream *stream)
{
  return is_ended (stream) || stream->owner == NULL
         || stream->owner->ops->limit_read (stream->owner, 1) > 0;
}

/* Is ready when the connection is, or when its stream was detached.  */
struct input_source
{
  GSource source;
  GPollableInputStream *input;
};

/* Stays as it is while its stream may not be read: the server would try to
   read, and create a new source, for each connection in each turn.  */
static gboolean
dispatch_input (GSource *source, GSourceFunc callback, gpointer data)
{
  struct input_source *self = (struct input_source *)(void *)source;
  GPollableSourceFunc function = (GPollableSourceFunc)(void *)callback;

  if (callback == NULL || !may_read (CLIENT_INPUT (self->input)->stream))
    return G_SOURCE_CONTINUE;
  return function (G_OBJECT (self->input), data);
}

static void
finalize_input_source (GSource *source)
{
  g_object_unref (((struct input_source *)(void *)source)->input);
}

/* The callback of a source whose callback was set as the closure DATA.  */
static gboolean
invoke_closure (GObject *input, gpointer data)
{
  GValue parameter = G_VALUE_INIT;
  GValue result = G_VALUE_INIT;
  gboolean goes_on;

  g_value_init (&parameter, G_TYPE_OBJECT);
  g_value_set_object (&parameter, input);
  g_value_init (&result, G_TYPE_BOOLEAN);
  g_closure_invoke (data, &result, 1, &parameter, NULL);
  goes_on = g_value_get_boolean (&result);
  g_value_unset (&parameter);
  g_value_unset (&result);
  return goes_on;
}

static GSourceFuncs input_source_funcs = {
  .dispatch = dispatch_input,
  .finalize = finalize_input_source,
  .closure_callback = (GSourceFunc)(void *)invoke_closure,
};

static void
add_child (GSource *source, GSource *child)
{
  g_source_set_can_recurse (child, TRUE);
  g_source_set_dummy_callback (child);
  g_source_add_child_source (source, child);
  g_source_unref (child);
}

/* Makes SOURCE ready when the connection of STREAM is.  */
static void
watch_base (GSource *source, ClientStream *stream)
{
  if (G_IS_SOCKET_CONNECTION (stream->base))
    g_source_add_unix_fd (source,
                          g_socket_get_fd (g_socket_connection_get_socket (
                              G_SOCKET_CONNECTION (stream->base))),
                          G_IO_IN | G_IO_HUP | G_IO_ERR);
  else
    add_child (source, g_pollable_input_stream_create_source (
                           get_base_input (stream), NULL));
}

static GSource *
client_input_create_source (GPollableInputStream *input,
                            GCancellable *cancellable)
{
  ClientStream *stream = CLIENT_INPUT (input)->stream;
  GSource *source
      = g_source_new (&input_source_funcs, sizeof (struct input_source));

  ((struct input_source *)(void *)source)->input = g_object_ref (input);
  /* Of other sources GLib takes the descriptors out of its list for each
     dispatch, which takes milliseconds when there are thousands.  */
  g_source_set_can_recurse (source, TRUE);
  if (!is_ended (stream))
    watch_base (source, stream);
  if (stream != NULL)
    add_child (source, g_cancellable_source_new (stream->wake));
  if (cancellable != NULL)
    add_child (source, g_cancellable_source_new (cancellable));
  return source;
}

static void
client_input_init (ClientInput *input)
{
}

static void
client_input_class_init (ClientInputClass *class)
{
  G_INPUT_STREAM_CLASS (class)->read_fn = client_input_read;
}

static void
client_input_init_pollable (GPollableInputStreamInterface *iface)
{
  iface->is_readable = client_input_is_readable;
  iface->create_source = client_input_create_source;
  iface->read_nonblocking = client_input_read_nonblocking;
}

static gssize
client_output_write (GOutputStream *output, const void *buffer, gsize count,
                     GCancellable *cancellable, GError **error)
{
  ClientStream *stream = CLIENT_OUTPUT (output)->stream;

  if (is_ended (stream))
    return (gssize)count;
  return g_output_stream_write (g_io_stream_get_output_stream (stream->base),
                                buffer, count, cancellable, error);
}

static GPollableReturn
client_output_writev_nonblocking (GPollableOutputStream *output,
                                  const GOutputVector *vectors,
                                  gsize n_vectors, gsize *n_written,
                                  GError **error)
{
  ClientStream *stream = CLIENT_OUTPUT (output)->stream;
  GPollableReturn result;

  *n_written = 0;
  if (is_ended (stream))
    {
      for (gsize i = 0; i < n_vectors; i++)
        *n_written += vectors[i].size;
      return G_POLLABLE_RETURN_OK;
    }
  result = g_pollable_output_stream_writev_nonblocking (
      get_base_output (stream), vectors, n_vectors, n_written, NULL, error);
  if (stream->owner != NULL)
    stream->owner->ops->sent (stream->owner,
                              result == G_POLLABLE_RETURN_WOULD_BLOCK);
  return result;
}

static gssize
client_output_write_nonblocking (GPollableOutputStream *output,
                                 const void *buffer, gsize count,
                                 GError **error)
{
  GOutputVector vector = { buffer, count };
  gsize n = 0;

  switch (client_output_writev_nonblocking (output, &vector, 1, &n, error))
    {
    case G_POLLABLE_RETURN_OK:
      return (gssize)n;
    case G_POLLABLE_RETURN_WOULD_BLOCK:
      g_set_error_literal (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK,
                           "the client does not read");
      return -1;
    default:
      return -1;
    }
}

static gboolean
client_output_is_writable (GPollableOutputStream *output)
{
  ClientStream *stream = CLIENT_OUTPUT (output)->stream;

  return is_ended (stream)
         || g_pollable_output_stream_is_writable (get_base_output (stream));
}

static GSource *
client_output_create_source (GPollableOutputStream *output,
                             GCancellable *cancellable)
{
  ClientStream *stream = CLIENT_OUTPUT (output)->stream;
  g_autoptr (GSource) base = NULL;

  if (!is_ended (stream))
    base = g_pollable_output_stream_create_source (get_base_output (stream),
                                                   cancellable);
  return g_pollable_source_new_full (output, base,
                                     stream != NULL ? stream->wake : NULL);
}

static void
client_output_init (ClientOutput *output)
{
}

static void
client_output_class_init (ClientOutputClass *class)
{
  G_OUTPUT_STREAM_CLASS (class)->write_fn = client_output_write;
}

static void
client_output_init_pollable (GPollableOutputStreamInterface *iface)
{
  iface->is_writable = client_output_is_writable;
  iface->create_source = client_output_create_source;
  iface->write_nonblocking = client_output_write_nonblocking;
  iface->writev_nonblocking = client_output_writev_nonblocking;
}

static GInputStream *
get_input (GIOStream *stream)
{
  return CLIENT_STREAM (stream)->input;
}

static GOutputStream *
get_output (GIOStream *stream)
{
  return CLIENT_STREAM (stream)->output;
}

static void
tell_closed (ClientStream *stream)
{
  struct client_stream_owner *owner = g_steal_pointer (&stream->owner);

  stream->is_detached = TRUE;
  if (owner != NULL)
    owner->ops->closed (owner);
}

static gboolean
close_stream (GIOStream *stream, GCancellable *cancellable, GError **error)
{
  tell_closed (CLIENT_STREAM (stream));
  return TRUE;
}

/* Not closed in a thread, unlike GIOStream's own function does it.  */
static void
begin_close (GIOStream *stream, int priority, GCancellable *cancellable,
             GAsyncReadyCallback callback, gpointer data)
{
  g_autoptr (GTask) task = g_task_new (stream, cancellable, callback, data);

  tell_closed (CLIENT_STREAM (stream));
  g_task_return_boolean (task, TRUE);
}

static gboolean
finish_close (GIOStream *stream, GAsyncResult *result, GError **error)
{
  return g_task_propagate_boolean (G_TASK (result), error);
}

static void
dispose (GObject *object)
{
  tell_closed (CLIENT_STREAM (object));
  G_OBJECT_CLASS (client_stream_parent_class)->dispose (object);
}

static void
finalize (GObject *object)
{
  ClientStream *stream = CLIENT_STREAM (object);

  CLIENT_INPUT (stream->input)->stream = NULL;
  CLIENT_OUTPUT (stream->output)->stream = NULL;
  g_object_unref (stream->input);
  g_object_unref (stream->output);
  g_object_unref (stream->base);
  g_object_unref (stream->wake);
  G_OBJECT_CLASS (client_stream_parent_class)->finalize (object);
}

static void
client_stream_init (ClientStream *stream)
{
  ClientInput *input = g_object_new (CLIENT_TYPE_INPUT, NULL);
  ClientOutput *output = g_object_new (CLIENT_TYPE_OUTPUT, NULL);

  input->stream = stream;
  output->stream = stream;
  stream->input = G_INPUT_STREAM (input);
  stream->output = G_OUTPUT_STREAM (output);
  stream->wake = g_cancellable_new ();
}

static void
client_stream_class_init (ClientStreamClass *class)
{
  GIOStreamClass *stream_class = G_IO_STREAM_CLASS (class);

  G_OBJECT_CLASS (class)->dispose = dispose;
  G_OBJECT_CLASS (class)->finalize = finalize;
  stream_class->get_input_stream = get_input;
  stream_class->get_output_stream = get_output;
  stream_class->close_fn = close_stream;
  stream_class->close_async = begin_close;
  stream_class->close_finish = finish_close;
}

ClientStream *
client_stream_new (GIOStream *base, struct client_stream_owner *owner)
{
  ClientStream *stream = g_object_new (CLIENT_TYPE_STREAM, NULL);

  stream->base = g_object_ref (base);
  stream->owner = owner;
  return stream;
}

void
client_stream_detach (ClientStream *stream)
{
  stream->is_detached = TRUE;
  g_cancellable_cancel (stream->wake);
}

void
client_stream_begin_request (ClientStream *stream)
{
  stream->has_request = FALSE;
}
