#include "t/standin/proxy_route.h"

#include "base/clock.h"
#include "t/standin/faults.h"
#include "t/standin/listener.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define READ_BYTES 16384
#define MAX_QUEUED_BYTES (1024 * 1024)
#define CONNECT_TIMEOUT_SEC 2

/* With a bound on the rate, as much is written at a time as fits in this.  */
#define DRIP_INTERVAL_MS 10

struct chunk
{
  gint64 due_us;
  gsize length; /* 0 marks the end of the stream */
  gsize written;
  guint8 data[];
};

struct connection;

/* One direction of a connection.  */
struct pipe
{
  struct connection *connection;
  enum direction direction;
  GSocket *from;
  GSocket *to;
  GSource *readable;
  GSource *writable;
  guint timer;
  GQueue chunks; /* of struct chunk */
  gsize queued;
  gint64 received; /* bytes, in all */
  gboolean silent; /* drops everything, for good */
  gboolean ended;  /* the end of the stream was passed on */
};

struct connection
{
  struct list_node node; /* on the route's connections */
  struct route *route;
  GSocket *near; /* the side that connected */
  GSocket *far;
  struct pipe pipes[DIRECTION_COUNT];
  gboolean has_faults;
};

static void pump (struct pipe *pipe);

static void
clear_source (GSource **source)
{
  if (*source == NULL)
    return;
  g_source_destroy (*source);
  g_clear_pointer (source, g_source_unref);
}

static void
clear_pipe (struct pipe *pipe)
{
  clear_source (&pipe->readable);
  clear_source (&pipe->writable);
  g_clear_handle_id (&pipe->timer, g_source_remove);
  g_queue_clear_full (&pipe->chunks, g_free);
}

static void
close_connection (struct connection *connection)
{
  for (int i = 0; i < DIRECTION_COUNT; i++)
    clear_pipe (&connection->pipes[i]);
  g_socket_close (connection->near, NULL);
  g_socket_close (connection->far, NULL);
  g_object_unref (connection->near);
  g_object_unref (connection->far);
  list_remove (&connection->node);
  connection->route->n_open--;
  g_free (connection);
}

/* Makes the close of SOCKET a reset.  */
static void
set_reset_on_close (GSocket *socket)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (g_socket_get_fd (socket), SOL_SOCKET, SO_LINGER, &linger,
              sizeof linger);
}

static void
reset_connection (struct connection *connection)
{
  set_reset_on_close (connection->near);
  set_reset_on_close (connection->far);
  close_connection (connection);
}

static const struct direction_faults *
pipe_faults (const struct pipe *pipe)
{
  static struct proxy_faults none;

  if (pipe->connection->has_faults)
    return &pipe->connection->route->faults.directions[pipe->direction];
  proxy_faults_init (&none);
  return &none.directions[pipe->direction];
}

static void
queue_chunk (struct pipe *pipe, const void *data, gsize length)
{
  struct chunk *chunk = g_malloc (sizeof *chunk + length);

  chunk->due_us
      = clock_now_us () + pipe_faults (pipe)->delay_ms * USEC_PER_MSEC;
  chunk->length = length;
  chunk->written = 0;
  if (length > 0)
    memcpy (chunk->data, data, length);
  g_queue_push_tail (&pipe->chunks, chunk);
  pipe->queued += length;
}

/* How many of LENGTH further bytes are passed on.  */
static gsize
count_passed (struct pipe *pipe, gint64 length)
{
  const struct direction_faults *faults = pipe_faults (pipe);
  gint64 bound = MIN (faults->cut_after_bytes, faults->close_after_bytes);

  bound = MIN (bound, faults->silent_after_bytes);
  if (faults->silent)
    pipe->silent = TRUE;
  if (pipe->silent)
    return 0;
  return (gsize)CLAMP (bound - pipe->received, 0, length);
}

/* Writes what has been queued without regard to delays.  */
static void
flush (struct pipe *pipe)
{
  for (GList *link = pipe->chunks.head; link != NULL; link = link->next)
    {
      struct chunk *chunk = link->data;

      g_socket_send (pipe->to, (const char *)chunk->data + chunk->written,
                     chunk->length - chunk->written, NULL, NULL);
    }
}

/* Carries out the bounds on bytes; returns FALSE when it closed.  */
static gboolean
apply_bounds (struct pipe *pipe)
{
  const struct direction_faults *faults = pipe_faults (pipe);

  if (pipe->received >= faults->silent_after_bytes)
    pipe->silent = TRUE;
  if (pipe->received >= faults->cut_after_bytes)
    {
      flush (pipe);
      reset_connection (pipe->connection);
      return FALSE;
    }
  if (pipe->received >= faults->close_after_bytes)
    {
      flush (pipe);
      close_connection (pipe->connection);
      return FALSE;
    }
  return TRUE;
}

static gboolean
on_readable (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct pipe *pipe = data;
  char buf[READ_BYTES];
  g_autoptr (GError) error = NULL;
  gssize n = g_socket_receive (socket, buf, sizeof buf, NULL, &error);
  gsize passed;

  if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return G_SOURCE_CONTINUE;
  if (n <= 0)
    {
      clear_source (&pipe->readable);
      if (pipe_faults (pipe)->silent)
        pipe->silent = TRUE;
      if (pipe->silent)
        return G_SOURCE_REMOVE;
      if (n < 0)
        reset_connection (pipe->connection);
      else
        {
          queue_chunk (pipe, NULL, 0);
          pump (pipe);
        }
      return G_SOURCE_REMOVE;
    }
  pipe->connection->route->bytes[pipe->direction] += (guint64)n;
  passed = count_passed (pipe, n);
  pipe->received += n;
  if (passed > 0)
    queue_chunk (pipe, buf, passed);
  if (!apply_bounds (pipe))
    return G_SOURCE_REMOVE;
  if (pipe->queued >= MAX_QUEUED_BYTES)
    clear_source (&pipe->readable);
  pump (pipe);
  return G_SOURCE_CONTINUE;
}

static void
watch_readable (struct pipe *pipe)
{
  if (pipe->readable != NULL || g_socket_is_closed (pipe->from))
    return;
  pipe->readable = g_socket_create_source (pipe->from, G_IO_IN, NULL);
  g_source_set_callback (pipe->readable, G_SOURCE_FUNC (on_readable), pipe,
                         NULL);
  g_source_attach (pipe->readable, NULL);
}

static gboolean
on_writable (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct pipe *pipe = data;

  clear_source (&pipe->writable);
  pump (pipe);
  return G_SOURCE_REMOVE;
}

static void
watch_writable (struct pipe *pipe)
{
  pipe->writable = g_socket_create_source (pipe->to, G_IO_OUT, NULL);
  g_source_set_callback (pipe->writable, G_SOURCE_FUNC (on_writable), pipe,
                         NULL);
  g_source_attach (pipe->writable, NULL);
}

static gboolean
on_timer (gpointer data)
{
  struct pipe *pipe = data;

  pipe->timer = 0;
  pump (pipe);
  return G_SOURCE_REMOVE;
}

static void
wait_until (struct pipe *pipe, gint64 due_us, gint64 now_us)
{
  gint64 wait_ms = (due_us - now_us + USEC_PER_MSEC - 1) / USEC_PER_MSEC;

  pipe->timer = g_timeout_add ((guint)MAX (wait_ms, 0), on_timer, pipe);
}

/* Passes on the end of the stream; returns FALSE when it closed.  */
static gboolean
pass_end (struct pipe *pipe)
{
  struct connection *connection = pipe->connection;

  pipe->ended = TRUE;
  g_socket_shutdown (pipe->to, FALSE, TRUE, NULL);
  if (!connection->pipes[DIRECTION_UP].ended
      || !connection->pipes[DIRECTION_DOWN].ended)
    return TRUE;
  close_connection (connection);
  return FALSE;
}

/* Writes some of CHUNK.  Returns the bytes, 0 when it would block, or -1.  */
static gssize
write_chunk (struct pipe *pipe, struct chunk *chunk)
{
  gsize length = chunk->length - chunk->written;
  gint64 rate = pipe_faults (pipe)->bytes_per_second;
  g_autoptr (GError) error = NULL;
  gssize n;

  if (rate > 0)
    length = MIN (length, (gsize)MAX (1, rate * DRIP_INTERVAL_MS / 1000));
  n = g_socket_send (pipe->to, (const char *)chunk->data + chunk->written,
                     length, NULL, &error);
  if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return 0;
  return n;
}

/* Writes the first chunk, if it is due; returns whether to go on.  */
static gboolean
pump_once (struct pipe *pipe, gint64 now_us)
{
  struct chunk *chunk = g_queue_peek_head (&pipe->chunks);
  gssize n;

  if (chunk->due_us > now_us)
    {
      wait_until (pipe, chunk->due_us, now_us);
      return FALSE;
    }
  if (chunk->length == 0)
    {
      g_free (g_queue_pop_head (&pipe->chunks));
      return pass_end (pipe);
    }
  n = write_chunk (pipe, chunk);
  if (n < 0)
    {
      reset_connection (pipe->connection);
      return FALSE;
    }
  if (n == 0)
    {
      watch_writable (pipe);
      return FALSE;
    }
  chunk->written += (gsize)n;
  pipe->queued -= (gsize)n;
  if (chunk->written == chunk->length)
    g_free (g_queue_pop_head (&pipe->chunks));
  if (pipe_faults (pipe)->bytes_per_second == 0)
    return TRUE;
  wait_until (pipe, now_us + DRIP_INTERVAL_MS * USEC_PER_MSEC, now_us);
  return FALSE;
}

/* Writes what is due, and arranges to go on later.  */
static void
pump (struct pipe *pipe)
{
  if (pipe->timer != 0 || pipe->writable != NULL)
    return;
  while (!g_queue_is_empty (&pipe->chunks))
    if (!pump_once (pipe, clock_now_us ()))
      return;
  if (!pipe->ended && pipe->queued < MAX_QUEUED_BYTES)
    watch_readable (pipe);
}

static GSocket *
connect_to_target (struct route *route)
{
  g_autoptr (GSocket) socket = g_socket_new (
      G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);

  g_socket_set_timeout (socket, CONNECT_TIMEOUT_SEC);
  if (!g_socket_connect (socket, route->target, NULL, NULL))
    return NULL;
  g_socket_set_timeout (socket, 0);
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  return g_steal_pointer (&socket);
}

static void
init_pipe (struct connection *connection, enum direction direction,
           GSocket *from, GSocket *to)
{
  struct pipe *pipe = &connection->pipes[direction];

  pipe->connection = connection;
  pipe->direction = direction;
  pipe->from = from;
  pipe->to = to;
  g_queue_init (&pipe->chunks);
  watch_readable (pipe);
}

static void
add_connection (struct route *route, GSocket *near)
{
  GSocket *far = route->faults.refuse ? NULL : connect_to_target (route);
  struct connection *connection;

  route->n_accepted++;
  if (far == NULL)
    {
      set_reset_on_close (near);
      g_socket_close (near, NULL);
      return;
    }
  g_socket_set_blocking (near, FALSE);
  g_socket_set_option (near, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  connection = g_new0 (struct connection, 1);
  connection->route = route;
  connection->near = g_object_ref (near);
  connection->far = far;
  connection->has_faults
      = faults_draw (route->random, route->faults.connections_percent);
  list_init (&connection->node);
  list_append (&route->connections, &connection->node);
  route->n_open++;
  init_pipe (connection, DIRECTION_UP, near, far);
  init_pipe (connection, DIRECTION_DOWN, far, near);
}

static gboolean
on_acceptable (GSocket *listening, GIOCondition condition, gpointer data)
{
  GSocket *socket;

  while ((socket = g_socket_accept (listening, NULL, NULL)) != NULL)
    {
      add_connection (data, socket);
      g_object_unref (socket);
    }
  return G_SOURCE_CONTINUE;
}

static void
silence_connections (struct route *route)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &route->connections)
    {
      struct connection *connection
          = list_entry (node, struct connection, node);

      for (int i = 0; i < DIRECTION_COUNT; i++)
        connection->pipes[i].silent = TRUE;
    }
}

static void
reset_connections (struct route *route)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &route->connections)
    {
      reset_connection (list_entry (node, struct connection, node));
    }
}

static gboolean
open_port (struct route *route, guint16 port, GError **error)
{
  route->socket = listen_on (route->ip, port, &route->port, error);
  if (route->socket == NULL)
    return FALSE;
  route->accept_source = g_socket_create_source (route->socket, G_IO_IN, NULL);
  g_source_set_callback (route->accept_source, G_SOURCE_FUNC (on_acceptable),
                         route, NULL);
  g_source_attach (route->accept_source, NULL);
  return TRUE;
}

static void
close_port (struct route *route)
{
  clear_source (&route->accept_source);
  g_socket_close (route->socket, NULL);
  g_clear_object (&route->socket);
}

static void
set_listening (struct route *route, gboolean is_listening)
{
  if (is_listening && route->socket == NULL)
    open_port (route, route->port, NULL);
  else if (!is_listening && route->socket != NULL)
    close_port (route);
}

static const struct route_ops tcp_ops = { .silence = silence_connections,
                                          .reset = reset_connections,
                                          .set_listening = set_listening };

struct route *
proxy_tcp_new (const char *ip, guint16 port, GSocketAddress *target,
               GRand *random, GError **error)
{
  struct route *route = g_new0 (struct route, 1);

  route->ops = &tcp_ops;
  route->ip = ip;
  route->target = target;
  route->random = random;
  proxy_faults_init (&route->faults);
  list_init (&route->connections);
  if (open_port (route, port, error))
    return route;
  g_free (route);
  return NULL;
}
