/*
 * The daemon of an entry VM in a fleet: puts the parts together and runs the
 * loop.
 *
 * Every VM is alike: it is the home of the jobs that callers hand to it, owns
 * some of the upstreams of its availability zone, and follows the platform.
 */
#ifndef TRANSPORT_FLEET_H
#define TRANSPORT_FLEET_H

#include "protocol/fleet_settings.h"
#include "transport/fleet_home.h"
#include "transport/fleet_platform.h"

#include <jansson.h>

struct fleet;

/* Opens the sockets towards peers.  SETTINGS and PLATFORM must outlive the
   fleet.  Returns NULL with ERROR.  */
struct fleet *fleet_new (const struct fleet_settings *settings,
                         struct fleet_platform *platform, GError **error);
void fleet_free (struct fleet *fleet);

/* Serves until SIGTERM or SIGINT has drained the process.  */
void fleet_run (struct fleet *fleet);

struct fleet_home *fleet_get_home (struct fleet *fleet);

/* The routes in force, or NULL before any are known.  Not referenced.  */
const struct route_table *fleet_get_routes (const struct fleet *fleet);

/* Whether new connections of callers are wanted.  */
gboolean fleet_is_ready (struct fleet *fleet);

/* Whether new jobs are taken: not in the last part of a drain.  */
gboolean fleet_is_accepting_jobs (const struct fleet *fleet);

/* The state of the process, for a dump.  The caller owns the reference.  */
json_t *fleet_describe (struct fleet *fleet);

#endif
