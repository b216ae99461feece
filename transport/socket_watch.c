#include "transport/socket_watch.h"

#include <glib-unix.h>
#include <sys/epoll.h>

/* Events that are read from the kernel at once.  */
#define MAX_EVENTS 32

struct socket_watch
{
  int fd;
  GIOCondition condition;
  socket_watch_func *callback;
  gpointer data;
};

/* The epoll set of the default main loop.  */
struct socket_poller
{
  GSource source;
  int fd; /* of the epoll set */
  struct epoll_event events[MAX_EVENTS];
  int n_events; /* that are being dispatched */
};

static struct socket_poller *poller;

static GIOCondition
to_condition (guint32 events)
{
  GIOCondition condition = 0;

  condition |= (events & EPOLLIN) != 0 ? G_IO_IN : 0;
  condition |= (events & EPOLLOUT) != 0 ? G_IO_OUT : 0;
  condition |= (events & EPOLLERR) != 0 ? G_IO_ERR : 0;
  condition |= (events & EPOLLHUP) != 0 ? G_IO_HUP : 0;
  return condition;
}

static guint32
to_events (GIOCondition condition)
{
  guint32 events = 0;

  events |= (condition & G_IO_IN) != 0 ? EPOLLIN : 0;
  events |= (condition & G_IO_OUT) != 0 ? EPOLLOUT : 0;
  return events;
}

static gboolean
dispatch (GSource *source, GSourceFunc callback, gpointer data)
{
  struct socket_poller *p = (struct socket_poller *)source;

  p->n_events = epoll_wait (p->fd, p->events, MAX_EVENTS, 0);
  for (int i = 0; i < p->n_events; i++)
    {
      struct socket_watch *watch = p->events[i].data.ptr;

      /* The watch may have been freed by the callback of an earlier event. */
      if (watch != NULL)
        watch->callback (to_condition (p->events[i].events), watch->data);
    }
  p->n_events = 0;
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs funcs = { NULL, NULL, dispatch, NULL, NULL, NULL };

/* The poller, which is made by the first call and never freed.  */
static struct socket_poller *
get_poller (void)
{
  GSource *source;

  if (poller != NULL)
    return poller;
  source = g_source_new (&funcs, sizeof (struct socket_poller));
  poller = (struct socket_poller *)source;
  poller->fd = epoll_create1 (EPOLL_CLOEXEC);
  g_source_add_unix_fd (source, poller->fd, G_IO_IN);
  g_source_set_can_recurse (source, TRUE);
  g_source_attach (source, NULL);
  return poller;
}

/* Tells the kernel what WATCH waits for.  Returns whether it could.  */
static gboolean
control (struct socket_watch *watch, int operation)
{
  struct epoll_event event
      = { .events = to_events (watch->condition), .data.ptr = watch };

  return epoll_ctl (get_poller ()->fd, operation, watch->fd, &event) == 0;
}

struct socket_watch *
socket_watch_new (GSocket *socket, GIOCondition condition,
                  socket_watch_func *callback, gpointer data)
{
  struct socket_watch *watch = g_new0 (struct socket_watch, 1);

  watch->fd = g_socket_get_fd (socket);
  watch->condition = condition;
  watch->callback = callback;
  watch->data = data;
  if (control (watch, EPOLL_CTL_ADD))
    return watch;
  g_free (watch);
  return NULL;
}

void
socket_watch_set (struct socket_watch *watch, GIOCondition condition)
{
  if (watch->condition == condition)
    return;
  watch->condition = condition;
  control (watch, EPOLL_CTL_MOD);
}

void
socket_watch_free (struct socket_watch *watch)
{
  if (watch == NULL)
    return;
  control (watch, EPOLL_CTL_DEL);
  for (int i = 0; i < poller->n_events; i++)
    if (poller->events[i].data.ptr == watch)
      poller->events[i].data.ptr = NULL;
  g_free (watch);
}
