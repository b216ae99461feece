/*
 * Serves a VM's metrics and state to operators, on an address of its own.
 *
 *   GET /metrics   the text exposition format, version 0.0.4
 *   GET /dump      the state as JSON
 *
 * Clients are kept within the limits of the process; see
 * transport/client_listener.h.  Responses are built from memory without I/O.
 * Requests need no token, so callers must not be able to reach the address.
 */
#ifndef TRANSPORT_METRICS_SERVER_H
#define TRANSPORT_METRICS_SERVER_H

#include "coordination/client_budget.h"
#include "protocol/settings.h"

#include <jansson.h>

struct metrics_source_ops;

/* The first member of the struct that provides the metrics and the state.  */
struct metrics_source
{
  const struct metrics_source_ops *ops;
};

struct metrics_source_ops
{
  /* Updates the gauges before they are served.  May be NULL.  */
  void (*refresh) (struct metrics_source *source);

  /* The state as a new JSON value, which the caller owns.  If the member is
     NULL, /dump does not exist.  */
  json_t *(*dump) (struct metrics_source *source);

  /* Appends metrics whose labels are known only at run time, in the text
     exposition format.  May be NULL.  */
  void (*append) (struct metrics_source *source, GString *text);
};

struct metrics_server;

/* Listens on ENDPOINT for clients, who draw on BUDGET; SOURCE and BUDGET must
   outlive the result.  Returns NULL with ERROR_UNAVAILABLE when the address is
   not free.  */
struct metrics_server *metrics_server_new (const struct endpoint *endpoint,
                                           struct metrics_source *source,
                                           struct client_budget *budget,
                                           GError **error);
void metrics_server_free (struct metrics_server *server);

/* The port that the server listens on.  */
guint metrics_server_get_port (const struct metrics_server *server);

#endif
