/*
 * Listening TCP sockets with a backlog that is long enough for a burst of
 * connections.
 */
#ifndef TRANSPORT_LISTENER_H
#define TRANSPORT_LISTENER_H

#include "protocol/settings.h"

#include <gio/gio.h>

/*
 * A non-blocking socket that listens on ENDPOINT, or NULL with
 * ERROR_UNAVAILABLE.  The caller owns the reference.
 */
GSocket *listener_open (const struct endpoint *endpoint, GError **error);

/*
 * Makes the kernel drop the SYN segments of new connections to the listening
 * SOCKET, so that SOCKET can be closed once the connections in its backlog are
 * accepted.  Closing it at once would reset those connections, and their
 * clients could not tell whether their requests were read.  A client whose SYN
 * is dropped sends it again after a second, and is refused once SOCKET is
 * closed.  Returns FALSE if the kernel does not allow the filter.
 */
gboolean listener_ignore_connects (GSocket *socket);

/* The port that SOCKET is bound to.  */
guint listener_get_port (GSocket *socket);

#endif
