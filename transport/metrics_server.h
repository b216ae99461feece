/*
 * Serves a VM's metrics and state to operators, on an address of its own.
 *
 *   GET /metrics   the text exposition format, version 0.0.4
 *   GET /dump      the state as JSON
 *
 * Connections are few and bounded; what is answered is built from memory.  It
 * asks for no token, so the address belongs where callers don't reach it.
 */
#ifndef TRANSPORT_METRICS_SERVER_H
#define TRANSPORT_METRICS_SERVER_H

#include "protocol/settings.h"

#include <jansson.h>

struct metrics_source_ops;

/* The first member of whoever knows.  */
struct metrics_source
{
  const struct metrics_source_ops *ops;
};

struct metrics_source_ops
{
  /* Sets the gauges to what they are now.  May be NULL.  */
  void (*refresh) (struct metrics_source *source);

  /* The state as a new JSON value, which the caller owns.  May be NULL.  */
  json_t *(*dump) (struct metrics_source *source);
};

struct metrics_server;

/* Listens on ENDPOINT; SOURCE must outlive the result.  Returns NULL with
   ERROR_UNAVAILABLE when the address is not free.  */
struct metrics_server *metrics_server_new (const struct endpoint *endpoint,
                                           struct metrics_source *source,
                                           GError **error);
void metrics_server_free (struct metrics_server *server);

/* The port it listens on.  */
guint metrics_server_get_port (const struct metrics_server *server);

#endif
