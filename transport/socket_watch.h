/*
 * Watches many sockets with a single source of the default main loop.
 *
 * GLib visits each source several times in every iteration of a loop, and
 * poll () each descriptor.  The cost of an iteration would grow with the
 * number of connections, also of those that are idle.  Here, all sockets are
 * in one epoll set, and the loop watches the descriptor of that set.
 */
#ifndef TRANSPORT_SOCKET_WATCH_H
#define TRANSPORT_SOCKET_WATCH_H

#include <gio/gio.h>

struct socket_watch;

/* CONDITION contains what was asked for, as far as it holds, G_IO_ERR and
   G_IO_HUP.  */
typedef void socket_watch_func (GIOCondition condition, gpointer data);

/* Calls CALLBACK with DATA from the default main loop whenever CONDITION, of
   G_IO_IN and G_IO_OUT, holds for SOCKET, which must stay open until the watch
   is freed.  Returns NULL if the kernel has no memory for it.  */
struct socket_watch *socket_watch_new (GSocket *socket, GIOCondition condition,
                                       socket_watch_func *callback,
                                       gpointer data);

/* Waits for CONDITION from now on.  */
void socket_watch_set (struct socket_watch *watch, GIOCondition condition);

/* May be called from inside any callback.  Ignores NULL.  */
void socket_watch_free (struct socket_watch *watch);

#endif
