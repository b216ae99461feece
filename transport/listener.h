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

/* The port that SOCKET is bound to.  */
guint listener_get_port (GSocket *socket);

#endif
