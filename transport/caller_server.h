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

/* Listens on the address in SETTINGS and serves the jobs of HOME.  Both must
   outlive the server.  Returns NULL with ERROR when the address is in use or
   the TLS certificate cannot be loaded.  */
struct caller_server *caller_server_new (const struct settings *settings,
                                         struct home *home, GError **error);

/* Closes all connections.  */
void caller_server_free (struct caller_server *server);

/* Sends requests for jobs of other homes through FORWARD, which must outlive
   the server.  Without it every job id is looked up in this process.  */
void caller_server_set_forward (struct caller_server *server,
                                struct forward *forward);

/* Adds the number of open connections and the state of the peers to STATE, the
   state dump of the process.  */
void caller_server_add_state (struct caller_server *server, json_t *state);

/* The number of requests that are being received or answered.  */
guint caller_server_count_requests (const struct caller_server *server);

/* Sets the gauges of the clients.  */
void caller_server_set_gauges (const struct caller_server *server);

/* Stops taking new connections.  Open connections go on, and so do those that
   still wait in the listen backlog.  */
void caller_server_stop_accepting (struct caller_server *server);

/* The port that the server listens on.  */
guint caller_server_get_port (const struct caller_server *server);

/* Makes HANDLER, called with DATA, serve PATH on the same port and with the
   same limits on connections and bodies.  */
void caller_server_add_handler (struct caller_server *server, const char *path,
                                SoupServerCallback handler, gpointer data);

#endif
