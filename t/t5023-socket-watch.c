/* Watching many sockets with one source of the main loop.  */
#include "transport/socket_watch.h"

#include <sys/socket.h>

#define N_PAIRS 40

/* One end of a pair of sockets, and what its watch has told.  */
struct end
{
  GSocket *socket;
  GSocket *other;
  struct socket_watch *watch;
  GIOCondition condition;
  guint n_calls;
  struct end *to_free; /* whose watch the callback frees */
};

static GSocket *
wrap (int fd)
{
  g_autoptr (GError) error = NULL;
  GSocket *socket = g_socket_new_from_fd (fd, &error);

  g_assert_no_error (error);
  g_socket_set_blocking (socket, FALSE);
  return socket;
}

static void
on_event (GIOCondition condition, gpointer data)
{
  struct end *end = data;

  end->n_calls++;
  end->condition = condition;
  if (end->to_free == NULL)
    return;
  g_clear_pointer (&end->to_free->watch, socket_watch_free);
  end->to_free = NULL;
}

static void
end_init (struct end *end, GIOCondition condition)
{
  int fds[2];

  g_assert_cmpint (socketpair (AF_UNIX, SOCK_STREAM, 0, fds), ==, 0);
  *end = (struct end){ .socket = wrap (fds[0]), .other = wrap (fds[1]) };
  end->watch = socket_watch_new (end->socket, condition, on_event, end);
  g_assert_nonnull (end->watch);
}

static void
end_clear (struct end *end)
{
  socket_watch_free (end->watch);
  g_object_unref (end->socket);
  g_object_unref (end->other);
}

static void
iterate (void)
{
  while (g_main_context_iteration (NULL, FALSE))
    ;
}

/* The loop has run once, with what is ready now.  */
static void
iterate_once (void)
{
  g_main_context_iteration (NULL, FALSE);
}

static void
test_conditions (void)
{
  struct end end;

  end_init (&end, G_IO_IN);
  iterate ();
  g_assert_cmpuint (end.n_calls, ==, 0);
  g_socket_send (end.other, "x", 1, NULL, NULL);
  iterate_once ();
  g_assert_cmpuint (end.n_calls, ==, 1);
  g_assert_cmpint (end.condition, ==, G_IO_IN);
  /* Told again until it is read.  */
  iterate_once ();
  g_assert_cmpuint (end.n_calls, ==, 2);
  socket_watch_set (end.watch, G_IO_IN | G_IO_OUT);
  iterate_once ();
  g_assert_cmpint (end.condition, ==, G_IO_IN | G_IO_OUT);
  socket_watch_set (end.watch, 0);
  iterate_once ();
  g_assert_cmpuint (end.n_calls, ==, 3);
  g_socket_close (end.other, NULL);
  iterate_once ();
  g_assert_cmpint (end.condition & G_IO_HUP, ==, G_IO_HUP);
  end_clear (&end);
}

/* More sockets than are read at once, all ready: each is told of.  */
static void
test_many (void)
{
  struct end ends[N_PAIRS];

  for (guint i = 0; i < N_PAIRS; i++)
    end_init (&ends[i], G_IO_IN);
  for (guint i = 0; i < N_PAIRS; i++)
    g_socket_send (ends[i].other, "x", 1, NULL, NULL);
  for (guint i = 0; i < N_PAIRS; i++)
    iterate_once ();
  for (guint i = 0; i < N_PAIRS; i++)
    g_assert_cmpuint (ends[i].n_calls, >, 0);
  for (guint i = 0; i < N_PAIRS; i++)
    end_clear (&ends[i]);
}

/* A callback frees its own watch, or one whose event comes next: no callback
   follows for a watch that was freed.  */
static void
test_freed_in_callback (void)
{
  struct end ends[3];

  for (guint i = 0; i < 3; i++)
    end_init (&ends[i], G_IO_OUT);
  ends[0].to_free = &ends[1];
  ends[1].to_free = &ends[0];
  ends[2].to_free = &ends[2];
  iterate_once ();
  g_assert_cmpuint (ends[0].n_calls + ends[1].n_calls, ==, 1);
  g_assert_cmpuint (ends[2].n_calls, ==, 1);
  iterate_once ();
  g_assert_cmpuint (ends[2].n_calls, ==, 1);
  for (guint i = 0; i < 3; i++)
    end_clear (&ends[i]);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/socket-watch/conditions", test_conditions);
  g_test_add_func ("/socket-watch/many", test_many);
  g_test_add_func ("/socket-watch/freed-in-callback", test_freed_in_callback);
  return g_test_run ();
}
