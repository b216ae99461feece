/*
 * Listening TCP sockets with a real backlog.
 */
#ifndef TRANSPORT_LISTENER_H
#define TRANSPORT_LISTENER_H

#include "protocol/settings.h"

#include <gio/gio.h>

/*
 * A socket that listens on ENDPOINT, or NULL with ERROR.  The caller owns the
 * reference.
 */
GSocket *listener_open (const struct endpoint *endpoint, GError **error);

/*
 * Makes the kernel ignore attempts to connect to the listening SOCKET, so that
 * it can be closed once those that it has taken before are accepted.  Closing
 * it at once would reset them, and their senders could not tell whether their
 * request was read.  Who is ignored tries again in a second, and is refused
 * then.  Returns whether the kernel does so.
 */
gboolean listener_ignore_connects (GSocket *socket);

/* The port that SOCKET is bound to.  */
guint listener_get_port (GSocket *socket);

#endif
