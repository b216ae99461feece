/*
 * The HTTP interface for callers: tickets, jobs, health.
 */
#ifndef TRANSPORT_CALLER_SERVER_H
#define TRANSPORT_CALLER_SERVER_H

#include "protocol/settings.h"
#include "transport/home.h"

#include <libsoup/soup.h>

struct caller_server;

/* Listens as SETTINGS say and serves jobs of HOME; both must outlive the
   server.  Returns NULL with ERROR when the address is taken.  */
struct caller_server *caller_server_new (const struct settings *settings,
                                         struct home *home, GError **error);

/* Closes all connections.  */
void caller_server_free (struct caller_server *server);

/* The port that it listens on.  */
guint caller_server_get_port (const struct caller_server *server);

/* Connections of callers that are open.  */
guint caller_server_count_connections (const struct caller_server *server);

/* Serves PATH too, by HANDLER with DATA, on the same port and within the same
   limits.  */
void caller_server_add_handler (struct caller_server *server, const char *path,
                                SoupServerCallback handler, gpointer data);

/* The body that came with MESSAGE, whose path was added by
   caller_server_add_handler ().  The caller owns the reference.  */
GBytes *caller_server_get_body (SoupServerMessage *message);

#endif
