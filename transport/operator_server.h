/*
 * The HTTP interface for operators: metrics, state, log level, drain.
 *
 * Served on the callers' port.  When the settings name an operator token,
 * each request must carry it as "Authorization: Bearer TOKEN".
 */
#ifndef TRANSPORT_OPERATOR_SERVER_H
#define TRANSPORT_OPERATOR_SERVER_H

#include "protocol/settings.h"
#include "transport/caller_server.h"
#include "transport/config_follower.h"
#include "transport/home.h"

#include <glib.h>

struct operator_server;

/*
 * Adds the operators' paths to the server CALLERS.  REQUEST_DRAIN is called
 * with DATA when an operator requests a drain.  SETTINGS and HOME must outlive
 * the result, and the result must outlive CALLERS.
 */
struct operator_server *
operator_server_attach (struct caller_server *callers,
                        const struct settings *settings, struct home *home,
                        void (*request_drain) (gpointer data), gpointer data);

/* Makes the state dump include CONFIG, which must outlive the callers' server.
   Must be called before the main loop runs.  */
void operator_server_set_config (struct operator_server *server,
                                 const struct config_follower *config);

void operator_server_free (struct operator_server *server);

#endif
