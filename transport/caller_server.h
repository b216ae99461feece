/*
 * The HTTP interface for callers: tickets, jobs, health.
 */
#ifndef TRANSPORT_CALLER_SERVER_H
#define TRANSPORT_CALLER_SERVER_H

#include "protocol/settings.h"
#include "transport/forward.h"
#include "transport/home.h"

#include <jansson.h>
#include <libsoup/soup.h>

struct caller_server;

/* Listens as SETTINGS say and serves jobs of HOME; both must outlive the
   server.  Returns NULL with ERROR when the address is taken.  */
struct caller_server *caller_server_new (const struct settings *settings,
                                         struct home *home, GError **error);

/* Closes all connections.  */
void caller_server_free (struct caller_server *server);

/* Requests on jobs of other homes go through FORWARD, which must outlive the
   server.  */
void caller_server_set_forward (struct caller_server *server,
                                struct forward *forward);

/* Adds the connections and the peers to STATE, the dump of the process.  */
void caller_server_describe (struct caller_server *server, json_t *state);

/* Requests that are being received or answered.  */
guint caller_server_count_busy (const struct caller_server *server);

/* Begins no further connections; those that are there go on, also the ones
   that wait to be accepted.  */
void caller_server_stop_accepting (struct caller_server *server);

/* The port that it listens on.  */
guint caller_server_get_port (const struct caller_server *server);

/* Serves PATH too, by HANDLER with DATA, on the same port and within the same
   limits.  */
void caller_server_add_handler (struct caller_server *server, const char *path,
                                SoupServerCallback handler, gpointer data);

/* The body that came with MESSAGE, whose path was added by
   caller_server_add_handler ().  The caller owns the reference.  */
GBytes *caller_server_get_body (SoupServerMessage *message);

#endif
